"""One router core beside a bare uvloop relay, under the same clients and the same nodes, in one run.

`make bench`, or `python -m bench.router_core [--seconds S] [--connections C] [--json OUT]`. The router is the
deploy file's `run`, bound to one core; clients and nodes have the other cores. The relay moves bytes and
knows nothing: what it does a second is the most that any router in this process model could. At full load
every connection asks again as soon as it is answered; at half load the same connections ask at half that
rate, evenly.
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
    """Keep this process to some cores."""
    child_of_orchestrator(cores)
    signal.signal(signal.SIGINT, signal.SIG_IGN)


class Children:
    """Processes that serve until they are killed, each with a pipe through which it says where."""

    def __init__(self) -> None:
        self._started: list[Any] = []

    def start(self, serve: Callable[..., None], *words: Any) -> Any:
        """Start one; returns what it says first."""
        mine, its = CONTEXT.Pipe()
        child = CONTEXT.Process(target=serve, args=(its, *words), daemon=True)
        child.start()
        self._started.append(child)
        return mine.recv()

    def kill(self) -> None:
        """Kill all."""
        started, self._started = self._started, []
        for child in started:
            child.kill()


class FastNode(asyncio.Protocol):
    """Answers every read with a hit, at once: the router is what is measured."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """One answer for each command; probes get theirs."""
        if b"KV.GET" in data:
            self.transport.write(ANSWER * data.count(b"KV.GET"))
        elif b"PING" in data:
            self.transport.write(b"+PONG\r\n")
        else:
            self.transport.write(b"$%d\r\n%b\r\n" % (len(REPORT), REPORT))


def serve_nodes(pipe: Connection, count: int, cores: set[int]) -> None:
    """A process of nodes."""
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
        self.other: RelaySide | None = None
        self.before = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Hand it on."""
        if self.other is not None and self.other.transport is not None:
            self.other.transport.write(data)
        else:
            self.before += data

    def connection_lost(self, exc: Exception | None) -> None:
        """Both end together."""
        if self.other is not None and self.other.transport is not None:
            self.other.transport.abort()


def serve_relay(
    pipe: Connection, targets: list[Address], cores: set[int], address: Address = ("127.0.0.1", 0)
) -> None:
    """A process that moves bytes between clients and nodes; others may share its address."""
    bind_to(cores)

    async def serve() -> None:
        loop = asyncio.get_running_loop()
        dials: set[asyncio.Task[None]] = set()
        turn = 0

        async def join(side: RelaySide, target: Address) -> None:
            _, other = await loop.create_connection(RelaySide, *target)
            side.other, other.other = other, side
            assert other.transport is not None
            other.transport.write(bytes(side.before))

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


class Caller(asyncio.Protocol):
    """One connection: a request at a time, at once again or evenly spaced."""

    def __init__(self, calls: Calls) -> None:
        self.calls = calls
        self.transport: asyncio.Transport | None = None
        self.reader = hiredis.Reader()
        self.sent = 0.0
        self.waits = False  # for an answer: there is exactly one to each request

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def ask(self) -> None:
        """Send the next request."""
        if self.transport is not None and not self.transport.is_closing():
            self.sent, self.waits = time.perf_counter(), True
            self.transport.write(self.calls.next())

    def data_received(self, data: bytes) -> None:
        """Count an answer."""
        self.reader.feed(data)
        while (reply := self.reader.gets()) is not False:
            good = isinstance(reply, bytes) or (isinstance(reply, list) and isinstance(reply[0], bytes))
            if not self.waits:
                self.calls.lost += 1
                continue
            self.waits = False
            self.calls.answered(self, good, time.perf_counter() - self.sent)

    def connection_lost(self, exc: Exception | None) -> None:
        """The server closed."""
        self.calls.lost += 1


class Calls:
    """All of a process's connections. `rate` 0: as fast as they are answered."""

    def __init__(self, name: str, rate: float) -> None:
        self.rate, self.good, self.bad, self.lost = rate, 0, 0, 0
        self.took: list[float] = []
        self.free: list[Caller] = []
        self.missed = 0  # requests that found no free connection at their time
        self.counting = False
        self._name, self._number = name, 0
        self._info = b"$24\r\nc=fetch,t=public,d=1000\r\n".replace(
            b"$24", b"$%d" % len("c=fetch,t=public,d=1000")
        )

    def next(self) -> bytes:
        """The next request: a new id, keys in turn."""
        self._number += 1
        name = b"%b%011d" % (self._name.encode(), self._number)
        key = b"pkg-%06d" % (self._number * 7919 % KEYS)
        return b"*4\r\n$6\r\nKV.GET\r\n$10\r\n%b\r\n$%d\r\n%b\r\n%b" % (key, len(name), name, self._info)

    def answered(self, caller: Caller, good: bool, took: float) -> None:
        """An answer came."""
        if self.counting:
            self.good += good
            self.bad += not good
            self.took.append(took)
        if self.rate:
            self.free.append(caller)
        else:
            caller.ask()


def call(
    pipe: Connection,
    name: str,
    target: Address,
    connections: int,
    rate: float,
    seconds: float,
    cores: set[int],
) -> None:
    """A process of clients; sends what it counted through the pipe."""
    bind_to(cores)

    async def work() -> None:
        loop = asyncio.get_running_loop()
        calls = Calls(name, rate)
        callers = []
        for _ in range(connections):
            _, caller = await loop.create_connection(lambda: Caller(calls), *target)
            callers.append(caller)
        pacer = None
        if rate:
            calls.free = list(callers)
            pacer = loop.create_task(pace(calls))
        else:
            for caller in callers:
                caller.ask()
        await asyncio.sleep(WARM_UP_S)
        pipe.send("warm")
        calls.counting = True
        begun = time.perf_counter()
        await asyncio.sleep(seconds)
        calls.counting = False
        span = time.perf_counter() - begun
        if pacer is not None:
            pacer.cancel()
        calls.took.sort()
        pipe.send((calls.good, calls.bad, calls.lost, calls.missed, span, calls.took))

    uvloop.run(work())


async def pace(calls: Calls) -> None:
    """Ask evenly, whether or not answers come: a free connection takes each."""
    begun, made = time.perf_counter(), 0
    while True:
        due = int((time.perf_counter() - begun) * calls.rate)
        while made < due:
            made += 1
            if calls.free:
                calls.free.pop(0).ask()
            else:
                calls.missed += calls.counting
        await asyncio.sleep(0.001)


@dataclass(frozen=True, slots=True)
class Figures:
    """What one run came to."""

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
    """Run the clients, a process on each of these cores, against a server, and read what it took."""
    pipes, children = [], []
    for i in range(len(cores)):
        mine, its = CONTEXT.Pipe()
        part = connections // len(cores)
        words = (its, f"{what[0]}{load[0]}{i}", target, part, rate / len(cores), seconds, {cores[i]})
        child = CONTEXT.Process(target=call, args=words)
        child.start()
        pipes.append(mine)
        children.append(child)
    for pipe in pipes:
        assert pipe.recv() == "warm"
    before = sum(map(cpu_seconds, pids))
    time.sleep(seconds)
    after, memory = sum(map(cpu_seconds, pids)), sum(map(resident_bytes, pids)) / (1 << 20)
    told = [pipe.recv() for pipe in pipes]
    for child in children:
        child.join()
    good = sum(one[0] for one in told)
    took = sorted(value for one in told for value in one[5])
    span = sum(one[4] for one in told) / len(told)

    def quantile(q: float) -> float:
        return took[min(int(q * len(took)), len(took) - 1)] * 1000 if took else 0.0

    answers = max(len(took), 1)
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
        sum(one[1] + one[2] for one in told),
        sum(one[3] for one in told),
    )


class Nobody:
    """A recorder that keeps nothing."""

    def record(self, record: Record) -> None:
        """Drop it."""

    def stored(self, request: bytes, key: bytes, size: int) -> None:
        """Drop it."""

    def voided(self, key: bytes) -> None:
        """Drop it."""


def serve_discovery(pipe: Connection, places: list[Address], cores: set[int]) -> None:
    """A process of discovery."""
    bind_to(cores)

    async def serve() -> None:
        entries = [Entry(f"node{i:03d}", State.UP, "lozenets", NODE_KIND) for i in range(len(places))]
        model = DiscoveryModel(entries, [ROUTER], lambda *_: 0.0, time.monotonic())
        where: Callable[[str, str], Address] = lambda _, server: places[int(server[4:])]  # noqa: E731
        server = DiscoveryServer(model, [ROUTER], where, Nobody(), time.monotonic)
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
    """A router, bound to these cores: the deploy file's `run`, or another command with other limits."""
    address = free_address("127.0.0.1")
    scenario = load_scenario("quiet")
    told = configuration(scenario, 1, ROUTER, 1, address, discovery, known)
    if limits is not None:
        told["limits"] = limits
    path = folder / "config.json"
    path.write_text(json.dumps(told))

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
        if pings(address):
            return process, address
        time.sleep(0.05)
    raise SystemExit("the router did not get ready")


def pings(address: Address) -> bool:
    """Whether PING is answered with PONG."""
    try:
        with socket.create_connection(address, timeout=1) as line:
            line.sendall(b"*1\r\n$4\r\nPING\r\n")
            return line.recv(64).startswith(b"+PONG")
    except OSError:
        return False


def main() -> None:
    """Measure and print."""
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--seconds", type=float, default=3.0)
    words.add_argument("--rounds", type=int, default=3, help="relay and router take turns so often")
    words.add_argument("--connections", type=int, default=96)
    words.add_argument("--json", type=Path)
    told = words.parse_args()
    cores = sorted(os.sched_getaffinity(0))
    if len(cores) < 2 + NODE_PROCESSES + CLIENT_PROCESSES:
        raise SystemExit(f"needs {2 + NODE_PROCESSES + CLIENT_PROCESSES} cores, has {len(cores)}")
    # A router's clients may hold half of its descriptors, two fifths of that between requests.
    limits = {"memory_mb": 192, "sockets": max(1024, 8 * told.connections)}
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    client_cores = cores[1 : 1 + CLIENT_PROCESSES]
    node_cores = cores[1 + CLIENT_PROCESSES :]
    children = Children()
    router: subprocess.Popen[bytes] | None = None
    figures: list[Figures] = []
    try:
        places: list[Address] = []
        for i in range(NODE_PROCESSES):
            places += [
                (h, p) for h, p in children.start(serve_nodes, NODES // NODE_PROCESSES, {node_cores[i]})
            ]
        relay_pid, relay = children.start(serve_relay, places, {cores[0]})
        discovery, known = children.start(serve_discovery, places, {node_cores[-1]})
        with tempfile.TemporaryDirectory() as folder:
            router, address = start_router(Path(folder), discovery, known, {cores[0]}, limits=limits)
            turns = (("relay", relay_pid, relay), ("router", router.pid, address))
            for what, pid, target in turns * told.rounds:
                full = measure(what, "full", [pid], target, told.connections, 0.0, told.seconds, client_cores)
                rate = full.per_s / 2
                half = measure(
                    what, "half", [pid], target, told.connections, rate, told.seconds, client_cores
                )
                figures += [full, half]
    finally:
        if router is not None:
            router.kill()
            router.wait()
        children.kill()
    show(figures)
    if told.json is not None:
        told.json.write_text(json.dumps([{k: getattr(one, k) for k in Figures.__slots__} for one in figures]))


def show(figures: list[Figures], with_ratio: bool = True) -> None:
    """Print the table."""
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
    told = ", ".join(f"{ratio:.3f}" for ratio in ratios)
    console.print(f"router over relay, median of rounds: {ratios[len(ratios) // 2]:.3f} ({told})")


if __name__ == "__main__":
    main()
