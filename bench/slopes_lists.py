"""Measures endpoint lists, configurations and discovery watches: bytes, processor time and calls a second.

The router's own discovery client and its parsers of lists and configurations are measured. The discovery
service is the harness's emulation, so the cost of a call at a real service is not measured.
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
from holdgw.emulators.records import DiscoveryCall, Record
from holdgw.harness.deployment import Peers, configuration
from holdgw.harness.scenario import load_scenario
from holdgw.policy import RequestClass, RoutingPolicy, Settings
from holdgw.router.config import load_config
from holdgw.router.discovery import Discovery
from holdgw.router.endpoint_list import Clock, read_endpoint_list

SERVER_COUNTS = (12, 24, 48, 96, 192)
ITERATIONS = 200
WATCH_S = 12.0  # a multiple of the shortest watch timeout, 3 s
PROMPT_ANSWERS = 60  # after which a watch has its shortest timeout
SETTLE_S = 3.0
RETRY_S = 1.0  # after a failed call; the routing policy retries after 0.25 to 2 s
MAX_NOTIFICATION_S = 20.0


def full_update(count: int) -> dict[str, Any]:
    """Return a full endpoint update of `count` servers in the discovery service's JSON form."""
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


def measure_lists(readings: Readings, count: int) -> None:
    """Add the bytes of a full update and the processor time of parsing it and of applying it."""
    body, clock = orjson.dumps(full_update(count)), Clock()
    readings.add("list bytes", count, len(body) / 1e3)
    cpu_s, parsed = measure_cpu_seconds(
        lambda: [read_endpoint_list(orjson.loads(body), clock) for _ in range(ITERATIONS)]
    )
    readings.add("list read", count, cpu_s / ITERATIONS * 1e3)
    settings = Settings(
        classes=(RequestClass("read", latency_objective_ns=300_000_000, deadline_ns=1_000_000_000),)
    )
    policies = [RoutingPolicy(settings, seed) for seed in range(ITERATIONS)]
    event = parsed[0].change
    cpu_s, _ = measure_cpu_seconds(lambda: [policy.handle(event, 1) for policy in policies])
    readings.add("list taken in", count, cpu_s / ITERATIONS * 1e3)


def measure_configuration(readings: Readings, routers: int, folder: Path) -> None:
    """Add the bytes of one router's configuration with its peers, and the processor time of loading it."""
    addresses = tuple((f"10.1.{i // 250}.{i % 250}", 7000) for i in range(routers))
    peers = Peers(addresses[0], addresses, ("10.1.255.255", 7000))
    document = configuration(
        load_scenario("quiet"), 1, "router00", 1, addresses[0], addresses[0], full_update(96), None, peers
    )
    document["settings"]["ceilings"]["peers"] = True
    path = folder / f"config-{routers}.json"
    path.write_bytes(orjson.dumps(document))
    readings.add("configuration bytes", routers, path.stat().st_size / 1e3)
    environ = {"LB_CONFIG": str(path)}
    cpu_s, _ = measure_cpu_seconds(lambda: [load_config(environ, is_reload=True) for _ in range(ITERATIONS)])
    readings.add("configuration read", routers, cpu_s / ITERATIONS * 1e3)


class CallCounter:
    """A recorder that counts discovery calls."""

    def __init__(self) -> None:
        self.count = 0

    def record(self, record: Record) -> None:
        """Count the record if it is a discovery call."""
        self.count += isinstance(record, DiscoveryCall)

    def stored(self, request: bytes, key: bytes, size: int) -> None:
        """Ignore a value that a server has stored."""

    def voided(self, key: bytes) -> None:
        """Ignore a key that was voided."""


async def measure_watches(routers: int) -> tuple[float, float, int]:
    """Measure the watches of `routers` discovery clients at one service.

    Returns the calls a second without changes, the seconds in which a change reaches all clients, and the
    calls that it causes. Watches have the timeout that they reach at a service with spare capacity in six
    minutes.
    """
    names = [f"router{i:03d}" for i in range(routers)]
    entries = [Entry(f"node{i:03d}", State.UP, "zone0", "std-1c") for i in range(96)]
    model = DiscoveryModel(entries, names, lambda *_: 0.0, time.monotonic())
    calls = CallCounter()
    server = DiscoveryServer(model, names, lambda _r, s: ("127.0.0.1", 1 + int(s[4:])), calls, time.monotonic)
    addresses = await server.start()
    notified_routers: set[str] = set()

    def on_update(name: str) -> Callable[[object], None]:
        return lambda _update: notified_routers.add(name)

    clients: list[Discovery] = []
    loop = asyncio.get_running_loop()

    def on_failure(number: int) -> Callable[[], None]:
        def retry() -> None:
            loop.call_later(RETRY_S, clients[number].subscribe)

        return retry

    for i, name in enumerate(names):
        client = Discovery(addresses[name], True, Clock(), on_update(name), on_failure(i))
        client.resume_from(model.views[name].version)
        for _ in range(PROMPT_ANSWERS):
            client._watch.timeout.timed_out(0.0)
        client.subscribe()
        clients.append(client)
        await asyncio.sleep(SETTLE_S / routers)
    calls_before = calls.count
    await asyncio.sleep(WATCH_S)
    rate = (calls.count - calls_before) / WATCH_S
    notified_routers.clear()
    calls_before, started = calls.count, time.monotonic()
    server.set_state(entries[0].id, State.DRAINING)
    while len(notified_routers) < routers and time.monotonic() - started < MAX_NOTIFICATION_S:
        await asyncio.sleep(0.005)
    notification_s = time.monotonic() - started
    await asyncio.sleep(0.2)
    caused_calls = calls.count - calls_before
    for client in clients:
        client.close()
    server.close()
    await asyncio.sleep(0.1)
    return rate, notification_s, caused_calls


def measure() -> Measurement:
    """Measure lists and configurations, which takes half a minute."""
    readings = Readings()
    readings.declare_series("list bytes", "servers", "KB")
    readings.declare_series("list read", "servers", "ms")
    readings.declare_series("list taken in", "servers", "ms")
    readings.declare_series("configuration bytes", "peers", "KB")
    readings.declare_series("configuration read", "peers", "ms")
    with tempfile.TemporaryDirectory() as folder:
        for _ in range(REPEATS):
            for count in SERVER_COUNTS:
                measure_lists(readings, count)
            for routers in ROUTER_COUNTS:
                measure_configuration(readings, routers, Path(folder))
    return build_measurement("lists", readings)


def measure_service() -> Measurement:
    """Measure watches at the discovery service, which takes five minutes."""
    readings = Readings()
    readings.declare_series("calls at rest", "routers", "a second")
    readings.declare_series("all told of a change", "routers", "s", Scale.LINEAR)
    readings.declare_series("calls that a change brings", "routers", "calls")
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)

    async def measure_all() -> None:
        for _ in range(REPEATS):
            for size in ROUTER_COUNTS:
                rate, notification_s, caused_calls = await measure_watches(size)
                readings.add("calls at rest", size, rate)
                readings.add("all told of a change", size, notification_s)
                readings.add("calls that a change brings", size, caused_calls)

    asyncio.run(measure_all())
    return build_measurement("service", readings)
