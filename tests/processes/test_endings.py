"""Three router processes among loopback peers: shutdown, clients that disconnect, a silent watch.

No assertion depends on speed, so a loaded machine gives the same result: the tests check what each side
received, and in which order.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
import sys
from collections.abc import AsyncIterator
from pathlib import Path

import orjson
import pytest

from holdgw.router.connection_pool import MAX_CONNECTIONS_PER_ENDPOINT
from tests.emulated_nodes import HIT, LIMIT_S, SERVED, Cache, command, entry, read, run
from tests.helpers import S
from tests.router.test_endings import UnresponsiveAgent

pytestmark = [pytest.mark.processes, pytest.mark.xdist_group("processes, faults")]

ROOT = Path(__file__).resolve().parent.parent.parent
ROUTERS = 3
SOCKETS = 256  # descriptors of a router, enforced by the kernel
Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Fleet:
    """The routers, two cache servers that answer only while `answers_allowed` is set, and discovery."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.answers_allowed = asyncio.Event()
        self.caches = [Cache(self._answer), Cache(self._answer)]
        self.agent = UnresponsiveAgent([])
        self.processes: list[asyncio.subprocess.Process] = []
        self.router_addresses: list[tuple[str, int]] = []

    async def _answer(self, _: list[bytes]) -> bytes | None:
        await self.answers_allowed.wait()
        return HIT

    @property
    def seen(self) -> list[str]:
        """Request ids in the order in which each cache server received them."""
        return [words[2].decode() for cache in self.caches for words in cache.seen]

    async def start(self) -> None:
        for cache in self.caches:
            await cache.start()
        self.agent.instances = [entry(f"s{i}", cache.port) for i, cache in enumerate(self.caches)]
        await self.agent.start()
        for number in range(ROUTERS):
            await self._start(number)
        for address in self.router_addresses:
            await self.ping(address)

    async def _start(self, number: int) -> None:
        classes = [{"name": "read", "aimNs": 5 * S, "giveUpNs": 30 * S, "semantics": "retryable"}]
        config = {
            "name": f"n{number}",
            "listen": "127.0.0.1:1",  # the passed socket takes precedence
            "discovery": f"127.0.0.1:{self.agent.port}",
            "settings": {"classes": classes, "balancers": ROUTERS},
            "limits": {"sockets": SOCKETS},
        }
        path = self.folder / f"{number}.json"
        path.write_bytes(orjson.dumps(config))
        with socket.create_server(("127.0.0.1", 0), backlog=512) as held:
            self.router_addresses.append(held.getsockname())
            process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                f"ulimit -n {SOCKETS}; exec {sys.executable} -m holdgw.router",
                env={"LB_CONFIG": str(path), "LB_PASSED_SOCKET": str(held.fileno())},
                cwd=ROOT,
                pass_fds=[held.fileno()],
            )
        self.processes.append(process)

    async def ping(self, address: tuple[str, int]) -> None:
        """Wait until the router has an endpoint list and has read everything that arrived before."""
        async with asyncio.timeout(LIMIT_S):
            answer = b""
            while answer != b"+PONG\r\n":
                reader, writer = await asyncio.open_connection(*address)
                writer.write(command(b"PING"))
                answer = await reader.readline()
                writer.close()

    async def connect(self, number: int, data: bytes = b"") -> Connection:
        """Connect to a router and send these bytes."""
        reader, writer = await asyncio.open_connection(*self.router_addresses[number])
        writer.write(data)
        return reader, writer

    async def wait_for_requests(self, count: int) -> None:
        """Wait until the cache servers have received `count` requests."""
        async with asyncio.timeout(LIMIT_S):
            while len(self.seen) < count:
                await asyncio.sleep(0.005)

    async def end(self) -> None:
        """Kill the remaining routers and stop all peers."""
        for process in self.processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
        self.agent.stop()
        for cache in self.caches:
            cache.stop()


@contextlib.asynccontextmanager
async def running_fleet(folder: Path) -> AsyncIterator[Fleet]:
    """Start the routers and their peers; end them on exit."""
    fleet = Fleet(folder)
    await fleet.start()
    try:
        yield fleet
    finally:
        await fleet.end()


def test_routers_in_graceful_shutdown_answer_accepted_requests_and_accept_no_more(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_fleet(tmp_path) as fleet:
            fleet.answers_allowed.set()
            idle_clients = [await fleet.connect(i, read(f"rest{i}", f"a{i}", 20_000)) for i in range(ROUTERS)]
            for reader, _ in idle_clients:
                assert await asyncio.wait_for(reader.readexactly(len(SERVED)), LIMIT_S) == SERVED
            fleet.answers_allowed.clear()
            busy, partial, silent = [], [], []
            for i in range(ROUTERS):
                two = read(f"one{i}", f"b{i}", 20_000) + read(f"two{i}", f"c{i}", 20_000)
                busy.append(await fleet.connect(i, two + read(f"never{i}")[:20]))
                partial.append(await fleet.connect(i, read(f"half{i}")[:20]))
                silent.append(await fleet.connect(i))
            await fleet.wait_for_requests(3 * ROUTERS)
            for process in fleet.processes:
                process.send_signal(signal.SIGTERM)
            for process in fleet.processes:
                process.send_signal(signal.SIGTERM)
                process.send_signal(signal.SIGHUP)
            for i, (reader, writer) in enumerate(idle_clients):
                # An orderly close between requests; a reset would raise an exception.
                assert await asyncio.wait_for(reader.read(), LIMIT_S) == b""
                with contextlib.suppress(OSError):
                    writer.write(read(f"late{i}"))  # this client keeps sending and never closes
            for reader, _ in partial + silent:
                assert await asyncio.wait_for(reader.read(), LIMIT_S) == b""
            fleet.answers_allowed.set()
            for reader, _ in busy:
                assert await asyncio.wait_for(reader.read(), LIMIT_S) == SERVED * 2
            for process in fleet.processes:
                assert await asyncio.wait_for(process.wait(), LIMIT_S) == 0
            assert not [one for one in fleet.seen if one.startswith(("late", "half", "never"))]
            assert len(fleet.seen) == len(set(fleet.seen)) == 3 * ROUTERS
            for _, writer in idle_clients + busy + partial + silent:
                writer.close()

    run(test)


def test_a_router_killed_during_its_drain_sends_no_partial_answer_and_affects_no_other(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with running_fleet(tmp_path) as fleet:
            fleet.answers_allowed.set()
            idle_clients = [await fleet.connect(i, read(f"rest{i}", f"a{i}", 20_000)) for i in range(ROUTERS)]
            for reader, _ in idle_clients:
                assert await asyncio.wait_for(reader.readexactly(len(SERVED)), LIMIT_S) == SERVED
            fleet.answers_allowed.clear()
            two = [read(f"one{i}", "b", 20_000) + read(f"two{i}", "c", 20_000) for i in range(ROUTERS)]
            busy = [await fleet.connect(i, both) for i, both in enumerate(two)]
            await fleet.wait_for_requests(3 * ROUTERS)
            for process in fleet.processes:
                process.send_signal(signal.SIGTERM)
            for reader, _ in idle_clients:
                assert await asyncio.wait_for(reader.read(), LIMIT_S) == b""  # the router drains
            fleet.processes[0].kill()
            assert await asyncio.wait_for(fleet.processes[0].wait(), LIMIT_S) == -signal.SIGKILL
            with contextlib.suppress(ConnectionResetError):
                assert await asyncio.wait_for(busy[0][0].read(), LIMIT_S) == b""
            await fleet._start(0)  # its replacement starts while the others drain
            await fleet.ping(fleet.router_addresses[-1])
            after_restart = await fleet.connect(-1, read("again", "b"))
            fleet.answers_allowed.set()
            assert await asyncio.wait_for(after_restart[0].readexactly(len(SERVED)), LIMIT_S) == SERVED
            for reader, _ in busy[1:]:
                assert await asyncio.wait_for(reader.read(), LIMIT_S) == SERVED * 2
            for process in fleet.processes[1:ROUTERS]:
                assert await asyncio.wait_for(process.wait(), LIMIT_S) == 0
            assert len(fleet.seen) == len(set(fleet.seen)) == 3 * ROUTERS + 1
            for _, writer in [*idle_clients, *busy, after_restart]:
                writer.close()

    run(test)


def test_no_attempts_are_sent_for_hundreds_of_clients_that_disconnected(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_fleet(tmp_path) as fleet:
            departing: list[Connection] = []
            for i in range(ROUTERS):
                for n in range(80):  # far more than the routers' connections to the servers
                    departing.append(await fleet.connect(i, read(f"gone{i}-{n}", f"k{n}", 20_000)))
            connections = MAX_CONNECTIONS_PER_ENDPOINT * len(fleet.caches) * ROUTERS
            await fleet.wait_for_requests(connections)
            for _, writer in departing:
                writer.close()
            for _ in range(2):
                for address in fleet.router_addresses:
                    await fleet.ping(address)
            received = len(fleet.seen)
            assert received == connections
            fleet.answers_allowed.set()
            for i in range(ROUTERS):
                reader, writer = await fleet.connect(i, read(f"new{i}", "k1"))
                assert await asyncio.wait_for(reader.readexactly(len(SERVED)), LIMIT_S) == SERVED
                writer.close()
            assert sorted(set(fleet.seen) - {one for one in fleet.seen if one.startswith("gone")}) == [
                f"new{i}" for i in range(ROUTERS)
            ]
            assert len(fleet.seen) == received + ROUTERS

    run(test)


def test_idle_clients_using_all_descriptors_block_neither_discovery_nor_dials(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with running_fleet(tmp_path) as fleet:
            fleet.answers_allowed.set()
            await asyncio.wait_for(fleet.agent.watched.wait(), LIMIT_S)
            fleet.agent.ignores = 1 << 30
            idle = [await fleet.connect(i) for _ in range(SOCKETS) for i in range(ROUTERS)]
            # Discovery comes back and lists only one server, to which no router has a connection.
            remaining_cache = Cache(fleet._answer)
            await remaining_cache.start()
            fleet.agent.instances = [entry("s9", remaining_cache.port)]
            fleet.agent.generation += 1
            fleet.agent.ignores = 0
            async with asyncio.timeout(LIMIT_S):
                request_number = 0
                for i in range(ROUTERS):
                    served = False
                    while not served:
                        request_number += 1
                        before = len(remaining_cache.seen)
                        reader, writer = await fleet.connect(
                            i, read(f"n{request_number}", f"k{request_number}")
                        )
                        with contextlib.suppress(OSError, EOFError):
                            served = await reader.readexactly(len(SERVED)) == SERVED
                        served = served and len(remaining_cache.seen) > before
                        writer.close()
            for process in fleet.processes:
                assert process.returncode is None
            for _, writer in idle:
                writer.close()
            remaining_cache.stop()

    run(test)


def test_routers_learn_of_a_drain_despite_silent_watches_and_failed_calls(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_fleet(tmp_path) as fleet:
            fleet.answers_allowed.set()
            await asyncio.wait_for(fleet.agent.watched.wait(), LIMIT_S)
            drains = entry("s0", fleet.caches[0].port, state="draining")
            fleet.agent.instances = [drains, *fleet.agent.instances[1:]]
            fleet.agent.generation += 1
            fleet.agent.ignores, fleet.agent.rejects = (
                ROUTERS,
                ROUTERS,
            )  # the routers' next calls fail as well
            lists_before = fleet.agent.lists
            async with asyncio.timeout(LIMIT_S):
                while (
                    fleet.agent.rejects
                    or fleet.agent.ignores
                    or fleet.agent.lists < lists_before + 3 * ROUTERS
                ):
                    await asyncio.sleep(0.01)
            # Every router repeats its call, and has applied an answer by the next message on its connection.
            served = 0
            async with asyncio.timeout(LIMIT_S):
                while served < ROUTERS:
                    before = len(fleet.caches[0].seen)
                    for i in range(ROUTERS):
                        for n in range(40):
                            reader, writer = await fleet.connect(
                                i, read(f"x{served}-{i}-{n}-{before}", f"k{n}")
                            )
                            assert await reader.readexactly(len(SERVED)) == SERVED
                            writer.close()
                    served = ROUTERS if len(fleet.caches[0].seen) == before else 0
            assert len(fleet.caches[1].seen) >= 40 * ROUTERS

    run(test)
