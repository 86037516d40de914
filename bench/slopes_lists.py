"""Lists of servers, configurations and discovery's watches: bytes, processor time, calls a second.

The router's own client of discovery and its own reading of lists and configurations; the service is the
rehearsal's stand-in, so what a call costs the real one is not told by this.
"""

from __future__ import annotations

import asyncio
import resource
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson

from bench.capacity_model import Measurement, Scale
from bench.slopes import REPEATS, ROUTER_COUNTS, Readings, build_measurement, measure_cpu_seconds
from holdgw.emulators.discovery import DiscoveryServer
from holdgw.emulators.discovery_model import DiscoveryModel, Entry, State
from holdgw.emulators.records import Called, Record
from holdgw.harness.deployment import Peers, configuration
from holdgw.harness.scenario import load_scenario
from holdgw.policy import RequestClass, RoutingPolicy, Settings
from holdgw.router.config import load_config
from holdgw.router.discovery import Discovery
from holdgw.router.endpoint_list import Clock, read_endpoint_list

SERVERS = (12, 24, 48, 96, 192)
TIMES = 200
WATCH_S = 12.0  # whole rounds of watches of 3 s
ANSWERED = 60  # calls answered in time, after which a watch is as short as it gets
SETTLE_S = 3.0
AGAIN_S = 1.0  # after a call that failed: the decisions ask again after 0.25 to 2 s
ALL_TOLD_S = 20.0


def listing(count: int) -> dict[str, Any]:
    """A whole list of so many servers in discovery's form."""
    entries = [
        {
            "instanceId": f"s-{i:08x}",
            "hostPort": f"10.0.{i // 250}.{i % 250}:6379",
            "machineType": "std-1c",
            "lifecycle": "up",
            "startedAtMs": 1_700_000_000_000 + i,
            "zone": f"zone{i % 25}",
            "cell": i % 6,
            "weight": None,
        }
        for i in range(count)
    ]
    return {"generation": count, "reset": True, "instances": entries}


def lists(readings: Readings, count: int) -> None:
    """Bytes of a whole list, and the processor time of reading it and of taking it in."""
    body, clock = orjson.dumps(listing(count)), Clock()
    readings.add("list bytes", count, len(body) / 1e3)
    seconds, found = measure_cpu_seconds(
        lambda: [read_endpoint_list(orjson.loads(body), clock) for _ in range(TIMES)]
    )
    readings.add("list read", count, seconds / TIMES * 1e3)
    settings = Settings(
        classes=(RequestClass("read", latency_objective_ns=300_000_000, deadline_ns=1_000_000_000),)
    )
    routers = [RoutingPolicy(settings, seed) for seed in range(TIMES)]
    event = found[0].change
    seconds, _ = measure_cpu_seconds(lambda: [router.handle(event, 1) for router in routers])
    readings.add("list taken in", count, seconds / TIMES * 1e3)


def configurations(readings: Readings, routers: int, folder: Path) -> None:
    """Bytes of one router's configuration with its peers, and the processor time of reading it."""
    each = tuple((f"10.1.{i // 250}.{i % 250}", 7000) for i in range(routers))
    peers = Peers(each[0], each, ("10.1.255.255", 7000))
    told = configuration(load_scenario("quiet"), 1, "router00", 1, each[0], each[0], listing(96), None, peers)
    told["settings"]["ceilings"]["peers"] = True
    path = folder / f"config-{routers}.json"
    path.write_bytes(orjson.dumps(told))
    readings.add("configuration bytes", routers, path.stat().st_size / 1e3)
    environ = {"LB_CONFIG": str(path)}
    seconds, _ = measure_cpu_seconds(lambda: [load_config(environ, again=True) for _ in range(TIMES)])
    readings.add("configuration read", routers, seconds / TIMES * 1e3)


class Calls:
    """A witness that counts calls."""

    def __init__(self) -> None:
        self.count = 0

    def saw(self, record: Record) -> None:
        """Count a call."""
        self.count += isinstance(record, Called)

    def stored(self, request: bytes, key: bytes, size: int) -> None:
        """Drop it."""

    def voided(self, key: bytes) -> None:
        """Drop it."""


async def watched(routers: int) -> tuple[float, float, int]:
    """Calls a second at rest, seconds until all were told of a change, and the calls that it brought.

    Watches are as short as at a service that has had room for six minutes.
    """
    names = [f"router{i:03d}" for i in range(routers)]
    entries = [Entry(f"node{i:03d}", State.UP, "zone0", "std-1c") for i in range(96)]
    model = DiscoveryModel(entries, names, lambda *_: 0.0, time.monotonic())
    calls = Calls()
    server = DiscoveryServer(model, names, lambda _r, s: ("127.0.0.1", 1 + int(s[4:])), calls, time.monotonic)
    addresses = await server.start()
    told: set[str] = set()

    def take(name: str) -> Callable[[object], None]:
        return lambda _listing: told.add(name)

    clients: list[Discovery] = []
    loop = asyncio.get_running_loop()

    def again(which: int) -> Callable[[], None]:
        def ask() -> None:
            loop.call_later(AGAIN_S, clients[which].subscribe)

        return ask

    for i, name in enumerate(names):
        client = Discovery(addresses[name], True, Clock(), take(name), again(i))
        client.resume_from(model.views[name].version)
        for _ in range(ANSWERED):
            client._watch.timeout.timed_out(0.0)
        client.subscribe()
        clients.append(client)
        await asyncio.sleep(SETTLE_S / routers)
    before = calls.count
    await asyncio.sleep(WATCH_S)
    rate = (calls.count - before) / WATCH_S
    told.clear()
    before, begun = calls.count, time.monotonic()
    server.set_state(entries[0].id, State.DRAINING)
    while len(told) < routers and time.monotonic() - begun < ALL_TOLD_S:
        await asyncio.sleep(0.005)
    took = time.monotonic() - begun
    await asyncio.sleep(0.2)
    brought = calls.count - before
    for client in clients:
        client.close()
    server.close()
    await asyncio.sleep(0.1)
    return rate, took, brought


def measure() -> Measurement:
    """Lists and configurations; half a minute."""
    readings = Readings()
    readings.declare_series("list bytes", "servers", "KB")
    readings.declare_series("list read", "servers", "ms")
    readings.declare_series("list taken in", "servers", "ms")
    readings.declare_series("configuration bytes", "peers", "KB")
    readings.declare_series("configuration read", "peers", "ms")
    with tempfile.TemporaryDirectory() as folder:
        for _ in range(REPEATS):
            for count in SERVERS:
                lists(readings, count)
            for routers in ROUTER_COUNTS:
                configurations(readings, routers, Path(folder))
    return build_measurement("lists", readings)


def measure_service() -> Measurement:
    """Watches at the list service; five minutes."""
    readings = Readings()
    readings.declare_series("calls at rest", "routers", "a second")
    readings.declare_series("all told of a change", "routers", "s", Scale.LINEAR)
    readings.declare_series("calls that a change brings", "routers", "calls")
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)

    async def each() -> None:
        for _ in range(REPEATS):
            for size in ROUTER_COUNTS:
                rate, took, brought = await watched(size)
                readings.add("calls at rest", size, rate)
                readings.add("all told of a change", size, took)
                readings.add("calls that a change brings", size, brought)

    asyncio.run(each())
    return build_measurement("service", readings)
