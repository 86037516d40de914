"""Measures a router on one core and a bare uvloop relay, under the same clients and nodes, in one run.

`make bench`, or `python -m bench.router_core [--seconds S] [--connections C] [--json OUT]`. The router is the
deploy file's `run`, bound to one core; clients and nodes have the other cores. The relay only copies bytes:
its throughput is the upper bound for any router in this process model. At full load every connection sends a
request as soon as the last one is answered; at half load the same connections send at half that rate, evenly.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import resource
import signal
import socket
import subprocess
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from multiprocessing import get_context
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any, cast

import hiredis
import uvloop
from rich.console import Console
from rich.table import Table

from holdgw.emulators.discovery import DiscoveryServer
from holdgw.emulators.discovery_model import DiscoveryModel, Entry, State
from holdgw.emulators.records import Record
from holdgw.harness.deployment import NODE_KIND, build, configuration, run_command
from holdgw.harness.routers import child_of_orchestrator, cpu_seconds, free_address, resident_bytes
from holdgw.harness.scenario import load_scenario
from holdgw.wire.address import Address

ROOT = Path(__file__).resolve().parent.parent
NODES = 8
NODE_PROCESSES, CLIENT_PROCESSES = 2, 3
KEYS = 2000
WARM_UP_S = 2.0
VALUE = b"v" * 512
REPORT = b"latency_ms=1.0,queue=0"
ANSWER = b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n$%d\r\n%b\r\n" % (len(VALUE), VALUE, len(REPORT), REPORT)
ROUTER = "router00"
CONTEXT = get_context("fork")


def bind_to(cores: set[int]) -> None:
    """Bind this process to some cores, and leave SIGINT to its parent."""
    child_of_orchestrator(cores)
    signal.signal(signal.SIGINT, signal.SIG_IGN)


class Children:
    """Child processes that serve until they are killed. Each sends its address through a pipe."""

    def __init__(self) -> None:
        self._started: list[Any] = []

    def start(self, serve: Callable[..., None], *arguments: Any) -> Any:
        """Start a process; returns the first object that it sends through its pipe."""
        parent_end, child_end = CONTEXT.Pipe()
        child = CONTEXT.Process(target=serve, args=(child_end, *arguments), daemon=True)
        child.start()
        self._started.append(child)
        return parent_end.recv()

    def kill(self) -> None:
        """Kill all processes."""
        started, self._started = self._started, []
        for child in started:
            child.kill()


class FastNode(asyncio.Protocol):
    """A node that answers every read with a hit at once, so that only the router is measured."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Answer each command; health checks get a PONG or a load report."""
        if b"KV.GET" in data:
            self.transport.write(ANSWER * data.count(b"KV.GET"))
        elif b"PING" in data:
            self.transport.write(b"+PONG\r\n")
        else:
            self.transport.write(b"$%d\r\n%b\r\n" % (len(REPORT), REPORT))


def serve_nodes(pipe: Connection, count: int, cores: set[int]) -> None:
    """Run `count` nodes in this process; their addresses are sent through the pipe."""
    bind_to(cores)

    async def serve() -> None:
        loop = asyncio.get_running_loop()
        servers = [await loop.create_server(FastNode, "127.0.0.1", 0, backlog=512) for _ in range(count)]
        pipe.send([server.sockets[0].getsockname()[:2] for server in servers])
        await asyncio.Event().wait()

    uvloop.run(serve())


class RelaySide(asyncio.Protocol):
    """One side of a relayed connection."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.peer: RelaySide | None = None
        self.buffered = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Forward the data, or buffer it until the other side is connected."""
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.write(data)
        else:
            self.buffered += data

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the other side too."""
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.abort()


def serve_relay(
    pipe: Connection, targets: list[Address], cores: set[int], address: Address = ("127.0.0.1", 0)
) -> None:
    """Copy bytes between clients and nodes in this process; several processes may share an address.

    The process id and the address are sent through the pipe.
    """
    bind_to(cores)

    async def serve() -> None:
        loop = asyncio.get_running_loop()
        dials: set[asyncio.Task[None]] = set()
        turn = 0

        async def join(side: RelaySide, target: Address) -> None:
            _, other = await loop.create_connection(RelaySide, *target)
            side.peer, other.peer = other, side
            assert other.transport is not None
            other.transport.write(bytes(side.buffered))

        def accept() -> RelaySide:
            nonlocal turn
            side = RelaySide()
            turn += 1
            task = loop.create_task(join(side, targets[turn % len(targets)]))
            dials.add(task)
            task.add_done_callback(dials.discard)
            return side

        server = await loop.create_server(accept, *address, backlog=1024, reuse_port=True)
        pipe.send((os.getpid(), server.sockets[0].getsockname()[:2]))
        await asyncio.Event().wait()

    uvloop.run(serve())


class LoadConnection(asyncio.Protocol):
    """A client's connection with one request at a time, sent back to back or evenly spaced."""

    def __init__(self, load_generator: LoadGenerator) -> None:
        self.load_generator = load_generator
        self.transport: asyncio.Transport | None = None
        self.reader = hiredis.Reader()
        self.sent = 0.0
        self.awaiting_answer = False  # each request has one answer; any other counts as lost

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def send_request(self) -> None:
        """Send the next request."""
        if self.transport is not None and not self.transport.is_closing():
            self.sent, self.awaiting_answer = time.perf_counter(), True
            self.transport.write(self.load_generator.next())

    def data_received(self, data: bytes) -> None:
        """Count each answer; one that no request awaits counts as lost."""
        self.reader.feed(data)
        while (reply := self.reader.gets()) is not False:
            good = isinstance(reply, bytes) or (isinstance(reply, list) and isinstance(reply[0], bytes))
            if not self.awaiting_answer:
                self.load_generator.lost += 1
                continue
            self.awaiting_answer = False
            self.load_generator.answered(self, good, time.perf_counter() - self.sent)

    def connection_lost(self, exc: Exception | None) -> None:
        """Count a connection that the server closed."""
        self.load_generator.lost += 1


class LoadGenerator:
    """The connections of a client process. `rate`: requests a second; 0: as fast as they are answered."""

    def __init__(self, name: str, rate: float) -> None:
        self.rate, self.good, self.bad, self.lost = rate, 0, 0, 0
        self.latencies: list[float] = []
        self.free: list[LoadConnection] = []
        self.missed = 0  # requests that found no free connection when they were due
        self.counting = False
        self._name, self._number = name, 0
        self._info = b"$24\r\nc=fetch,t=public,d=1000\r\n".replace(
            b"$24", b"$%d" % len("c=fetch,t=public,d=1000")
        )

    def next(self) -> bytes:
        """Return the next request, with a new id and the next key."""
        self._number += 1
        name = b"%b%011d" % (self._name.encode(), self._number)
        key = b"pkg-%06d" % (self._number * 7919 % KEYS)
        return b"*4\r\n$6\r\nKV.GET\r\n$10\r\n%b\r\n$%d\r\n%b\r\n%b" % (key, len(name), name, self._info)

    def answered(self, connection: LoadConnection, good: bool, latency: float) -> None:
        """Count an answer, and reuse its connection."""
        if self.counting:
            self.good += good
            self.bad += not good
            self.latencies.append(latency)
        if self.rate:
            self.free.append(connection)
        else:
            connection.send_request()


def run_clients(
    pipe: Connection,
    name: str,
    target: Address,
    connections: int,
    rate: float,
    seconds: float,
    cores: set[int],
) -> None:
    """Run clients in this process; "warm" and then their counts are sent through the pipe."""
    bind_to(cores)

    async def run() -> None:
        loop = asyncio.get_running_loop()
        load_generator = LoadGenerator(name, rate)
        open_connections = []
        for _ in range(connections):
            _, connection = await loop.create_connection(lambda: LoadConnection(load_generator), *target)
            open_connections.append(connection)
        pacer = None
        if rate:
            load_generator.free = list(open_connections)
            pacer = loop.create_task(send_evenly(load_generator))
        else:
            for connection in open_connections:
                connection.send_request()
        await asyncio.sleep(WARM_UP_S)
        pipe.send("warm")
        load_generator.counting = True
        begun = time.perf_counter()
        await asyncio.sleep(seconds)
        load_generator.counting = False
        span = time.perf_counter() - begun
        if pacer is not None:
            pacer.cancel()
        load_generator.latencies.sort()
        pipe.send(
            (
                load_generator.good,
                load_generator.bad,
                load_generator.lost,
                load_generator.missed,
                span,
                load_generator.latencies,
            )
        )

    uvloop.run(run())


async def send_evenly(load_generator: LoadGenerator) -> None:
    """Send requests evenly on free connections, whether or not answers come."""
    begun, scheduled = time.perf_counter(), 0
    while True:
        due = int((time.perf_counter() - begun) * load_generator.rate)
        while scheduled < due:
            scheduled += 1
            if load_generator.free:
                load_generator.free.pop(0).send_request()
            else:
                load_generator.missed += load_generator.counting
        await asyncio.sleep(0.001)


@dataclass(frozen=True, slots=True)
class Figures:
    """The figures of one measurement; `cpu_us` is per answer."""

    what: str
    load: str
    per_s: float
    cpu_us: float
    cpu_share: float
    p50_ms: float
    p99_ms: float
    p999_ms: float
    memory_mb: float
    bad: int
    missed: int


def measure(
    what: str,
    load: str,
    pids: list[int],
    target: Address,
    connections: int,
    rate: float,
    seconds: float,
    cores: list[int],
) -> Figures:
    """Run clients, a process on each of `cores`, against a server; returns the figures of its processes."""
    pipes, children = [], []
    for i in range(len(cores)):
        parent_end, child_end = CONTEXT.Pipe()
        connections_per_process = connections // len(cores)
        arguments = (
            child_end,
            f"{what[0]}{load[0]}{i}",
            target,
            connections_per_process,
            rate / len(cores),
            seconds,
            {cores[i]},
        )
        child = CONTEXT.Process(target=run_clients, args=arguments)
        child.start()
        pipes.append(parent_end)
        children.append(child)
    for pipe in pipes:
        assert pipe.recv() == "warm"
    before = sum(map(cpu_seconds, pids))
    time.sleep(seconds)
    after, memory = sum(map(cpu_seconds, pids)), sum(map(resident_bytes, pids)) / (1 << 20)
    results = [pipe.recv() for pipe in pipes]
    for child in children:
        child.join()
    good = sum(one[0] for one in results)
    latencies = sorted(value for one in results for value in one[5])
    span = sum(one[4] for one in results) / len(results)

    def quantile(q: float) -> float:
        return latencies[min(int(q * len(latencies)), len(latencies) - 1)] * 1000 if latencies else 0.0

    answers = max(len(latencies), 1)
    return Figures(
        what,
        load,
        round(good / span, 0),
        round((after - before) / answers * 1e6, 1),
        round((after - before) / span, 3),
        round(quantile(0.5), 3),
        round(quantile(0.99), 3),
        round(quantile(0.999), 3),
        round(memory, 1),
        sum(one[1] + one[2] for one in results),
        sum(one[3] for one in results),
    )


class NullRecorder:
    """A recorder of emulator events that discards them."""

    def record(self, record: Record) -> None:
        """Do nothing."""

    def stored(self, request: bytes, key: bytes, size: int) -> None:
        """Do nothing."""

    def voided(self, key: bytes) -> None:
        """Do nothing."""


def serve_discovery(pipe: Connection, node_addresses: list[Address], cores: set[int]) -> None:
    """Run emulated discovery in this process; its address and the endpoint list are sent through the pipe."""
    bind_to(cores)

    async def serve() -> None:
        entries = [Entry(f"node{i:03d}", State.UP, "lozenets", NODE_KIND) for i in range(len(node_addresses))]
        model = DiscoveryModel(entries, [ROUTER], lambda *_: 0.0, time.monotonic())
        address_of: Callable[[str, str], Address] = lambda _, server: node_addresses[int(server[4:])]  # noqa: E731
        server = DiscoveryServer(model, [ROUTER], address_of, NullRecorder(), time.monotonic)
        addresses = await server.start()
        pipe.send((addresses[ROUTER], server.form(ROUTER, True, entries)))
        await asyncio.Event().wait()

    uvloop.run(serve())


def start_router(
    folder: Path,
    discovery: Address,
    known: Any,
    cores: set[int],
    run: str | None = None,
    limits: dict[str, int] | None = None,
) -> tuple[subprocess.Popen[bytes], Address]:
    """Start a router on some cores and wait until it serves.

    It runs the deploy file's `run` or another command, with other limits if given. Raises SystemExit if the
    router doesn't answer within 30 s.
    """
    address = free_address("127.0.0.1")
    scenario = load_scenario("quiet")
    configured = configuration(scenario, 1, ROUTER, 1, address, discovery, known)
    if limits is not None:
        configured["limits"] = limits
    path = folder / "config.json"
    path.write_text(json.dumps(configured))

    environment = {**os.environ, "LB_CONFIG": str(path)}
    deploy = ROOT / "deploy/balancer.toml"
    build(deploy)
    command = run_command(deploy) if run is None else run
    process = subprocess.Popen(
        ["/bin/sh", "-c", command],
        cwd=ROOT,
        env=environment,
        preexec_fn=partial(child_of_orchestrator, cores),
    )
    due = time.monotonic() + 30
    while time.monotonic() < due and process.poll() is None:
        if answers_ping(address):
            return process, address
        time.sleep(0.05)
    raise SystemExit("the router did not answer PING within 30 s")


def answers_ping(address: Address) -> bool:
    """Return whether the server answers PING with PONG."""
    try:
        with socket.create_connection(address, timeout=1) as connection:
            connection.sendall(b"*1\r\n$4\r\nPING\r\n")
            return connection.recv(64).startswith(b"+PONG")
    except OSError:
        return False


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--rounds", type=int, default=3, help="measurements of relay and router, in turn")
    parser.add_argument("--connections", type=int, default=96)
    parser.add_argument("--json", type=Path)
    args = parser.parse_args()
    cores = sorted(os.sched_getaffinity(0))
    if len(cores) < 2 + NODE_PROCESSES + CLIENT_PROCESSES:
        raise SystemExit(f"needs {2 + NODE_PROCESSES + CLIENT_PROCESSES} cores, has {len(cores)}")
    # A router's clients may hold half of its descriptors, and two fifths of those between requests.
    limits = {"memory_mb": 192, "sockets": max(1024, 8 * args.connections)}
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    client_cores = cores[1 : 1 + CLIENT_PROCESSES]
    node_cores = cores[1 + CLIENT_PROCESSES :]
    children = Children()
    router: subprocess.Popen[bytes] | None = None
    figures: list[Figures] = []
    try:
        node_addresses: list[Address] = []
        for i in range(NODE_PROCESSES):
            node_addresses += [
                (h, p) for h, p in children.start(serve_nodes, NODES // NODE_PROCESSES, {node_cores[i]})
            ]
        relay_pid, relay = children.start(serve_relay, node_addresses, {cores[0]})
        discovery, known = children.start(serve_discovery, node_addresses, {node_cores[-1]})
        with tempfile.TemporaryDirectory() as folder:
            router, address = start_router(Path(folder), discovery, known, {cores[0]}, limits=limits)
            turns = (("relay", relay_pid, relay), ("router", router.pid, address))
            for what, pid, target in turns * args.rounds:
                full = measure(what, "full", [pid], target, args.connections, 0.0, args.seconds, client_cores)
                rate = full.per_s / 2
                half = measure(
                    what, "half", [pid], target, args.connections, rate, args.seconds, client_cores
                )
                figures += [full, half]
    finally:
        if router is not None:
            router.kill()
            router.wait()
        children.kill()
    show(figures)
    if args.json is not None:
        args.json.write_text(json.dumps([{k: getattr(one, k) for k in Figures.__slots__} for one in figures]))


def show(figures: list[Figures], with_ratio: bool = True) -> None:
    """Print the table, with the ratio of router to relay at full load if asked for."""
    table = Table(box=None, header_style="bold")
    for name in Figures.__slots__:
        table.add_column(name.replace("_", " "), justify="left" if name in ("what", "load") else "right")
    for one in figures:
        table.add_row(*(str(getattr(one, name)) for name in Figures.__slots__))
    console = Console(highlight=False)
    console.width = max(console.width, 110)
    console.print(table)
    if not with_ratio:
        return
    full = [one.per_s for one in figures if one.load == "full"]
    ratios = sorted(router / relay for relay, router in zip(full[::2], full[1::2], strict=True))
    listed = ", ".join(f"{ratio:.3f}" for ratio in ratios)
    console.print(f"router over relay, median of rounds: {ratios[len(ratios) // 2]:.3f} ({listed})")


if __name__ == "__main__":
    main()
