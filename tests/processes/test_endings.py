"""Three routers, each a process, amid loopback peers: their end, clients that leave, a silent watch.

Nothing here is asserted about how fast, so a loaded machine gives the same verdict; what counts is what each
side saw, and in which order.
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
SOCKETS = 256  # descriptors of a router, held to by the kernel
Dialled = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Fleet:
    """The routers, two cache servers whose answers wait for `go`, and the list service."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.go = asyncio.Event()
        self.caches = [Cache(self._answer), Cache(self._answer)]
        self.agent = UnresponsiveAgent([])
        self.processes: list[asyncio.subprocess.Process] = []
        self.addresses: list[tuple[str, int]] = []

    async def _answer(self, _: list[bytes]) -> bytes | None:
        await self.go.wait()
        return HIT

    @property
    def seen(self) -> list[str]:
        return [words[2].decode() for cache in self.caches for words in cache.seen]

    async def begin(self) -> None:
        for cache in self.caches:
            await cache.start()
        self.agent.instances = [entry(f"s{i}", cache.port) for i, cache in enumerate(self.caches)]
        await self.agent.start()
        for number in range(ROUTERS):
            await self._start(number)
        for address in self.addresses:
            await self.ping(address)

    async def _start(self, number: int) -> None:
        classes = [{"name": "read", "aimNs": 5 * S, "giveUpNs": 30 * S, "semantics": "retryable"}]
        told = {
            "name": f"n{number}",
            "listen": "127.0.0.1:1",  # the socket that is passed goes before
            "discovery": f"127.0.0.1:{self.agent.port}",
            "settings": {"classes": classes, "balancers": ROUTERS},
            "limits": {"sockets": SOCKETS},
        }
        path = self.folder / f"{number}.json"
        path.write_bytes(orjson.dumps(told))
        with socket.create_server(("127.0.0.1", 0), backlog=512) as held:
            self.addresses.append(held.getsockname())
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
        """Until the router has a list, and has read all that came before this."""
        async with asyncio.timeout(LIMIT_S):
            answer = b""
            while answer != b"+PONG\r\n":
                reader, writer = await asyncio.open_connection(*address)
                writer.write(command(b"PING"))
                answer = await reader.readline()
                writer.close()

    async def dial(self, number: int, data: bytes = b"") -> Dialled:
        reader, writer = await asyncio.open_connection(*self.addresses[number])
        writer.write(data)
        return reader, writer

    async def begun(self, count: int) -> None:
        async with asyncio.timeout(LIMIT_S):
            while len(self.seen) < count:
                await asyncio.sleep(0.005)

    async def end(self) -> None:
        for process in self.processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
        self.agent.stop()
        for cache in self.caches:
            cache.stop()


@contextlib.asynccontextmanager
async def fleet(folder: Path) -> AsyncIterator[Fleet]:
    play = Fleet(folder)
    await play.begin()
    try:
        yield play
    finally:
        await play.end()


def test_routers_that_are_told_to_end_answer_what_they_took_and_take_no_more(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path) as play:
            play.go.set()
            rests = [await play.dial(i, read(f"rest{i}", f"a{i}", 20_000)) for i in range(ROUTERS)]
            for reader, _ in rests:
                assert await asyncio.wait_for(reader.readexactly(len(SERVED)), LIMIT_S) == SERVED
            play.go.clear()
            busy, halves, silent = [], [], []
            for i in range(ROUTERS):
                two = read(f"one{i}", f"b{i}", 20_000) + read(f"two{i}", f"c{i}", 20_000)
                busy.append(await play.dial(i, two + read(f"never{i}")[:20]))
                halves.append(await play.dial(i, read(f"half{i}")[:20]))
                silent.append(await play.dial(i))
            await play.begun(3 * ROUTERS)
            for process in play.processes:
                process.send_signal(signal.SIGTERM)
            for process in play.processes:
                process.send_signal(signal.SIGTERM)
                process.send_signal(signal.SIGHUP)
            for i, (reader, writer) in enumerate(rests):
                # No reset, which would be an exception: an end between requests.
                assert await asyncio.wait_for(reader.read(), LIMIT_S) == b""
                with contextlib.suppress(OSError):
                    writer.write(read(f"late{i}"))  # it goes on sending, and never closes
            for reader, _ in halves + silent:
                assert await asyncio.wait_for(reader.read(), LIMIT_S) == b""
            play.go.set()
            for reader, _ in busy:
                assert await asyncio.wait_for(reader.read(), LIMIT_S) == SERVED * 2
            for process in play.processes:
                assert await asyncio.wait_for(process.wait(), LIMIT_S) == 0
            assert not [one for one in play.seen if one.startswith(("late", "half", "never"))]
            assert len(play.seen) == len(set(play.seen)) == 3 * ROUTERS
            for _, writer in rests + busy + halves + silent:
                writer.close()

    run(test)


def test_a_router_killed_amid_its_drain_gives_no_part_of_an_answer_and_hinders_no_other(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with fleet(tmp_path) as play:
            play.go.set()
            rests = [await play.dial(i, read(f"rest{i}", f"a{i}", 20_000)) for i in range(ROUTERS)]
            for reader, _ in rests:
                assert await asyncio.wait_for(reader.readexactly(len(SERVED)), LIMIT_S) == SERVED
            play.go.clear()
            two = [read(f"one{i}", "b", 20_000) + read(f"two{i}", "c", 20_000) for i in range(ROUTERS)]
            busy = [await play.dial(i, both) for i, both in enumerate(two)]
            await play.begun(3 * ROUTERS)
            for process in play.processes:
                process.send_signal(signal.SIGTERM)
            for reader, _ in rests:
                assert await asyncio.wait_for(reader.read(), LIMIT_S) == b""  # each is in its drain
            play.processes[0].kill()
            assert await asyncio.wait_for(play.processes[0].wait(), LIMIT_S) == -signal.SIGKILL
            with contextlib.suppress(ConnectionResetError):
                assert await asyncio.wait_for(busy[0][0].read(), LIMIT_S) == b""
            await play._start(0)  # its successor, beside the others' drain
            await play.ping(play.addresses[-1])
            again = await play.dial(-1, read("again", "b"))
            play.go.set()
            assert await asyncio.wait_for(again[0].readexactly(len(SERVED)), LIMIT_S) == SERVED
            for reader, _ in busy[1:]:
                assert await asyncio.wait_for(reader.read(), LIMIT_S) == SERVED * 2
            for process in play.processes[1:ROUTERS]:
                assert await asyncio.wait_for(process.wait(), LIMIT_S) == 0
            assert len(play.seen) == len(set(play.seen)) == 3 * ROUTERS + 1
            for _, writer in [*rests, *busy, again]:
                writer.close()

    run(test)


def test_hundreds_of_clients_that_leave_have_nothing_begun_for_them(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path) as play:
            leavers: list[Dialled] = []
            for i in range(ROUTERS):
                for n in range(80):  # far more than there are places at the servers
                    leavers.append(await play.dial(i, read(f"gone{i}-{n}", f"k{n}", 20_000)))
            places = MAX_CONNECTIONS_PER_ENDPOINT * len(play.caches) * ROUTERS
            await play.begun(places)
            for _, writer in leavers:
                writer.close()
            for _ in range(2):
                for address in play.addresses:
                    await play.ping(address)
            begun = len(play.seen)
            assert begun == places
            play.go.set()
            for i in range(ROUTERS):
                reader, writer = await play.dial(i, read(f"new{i}", "k1"))
                assert await asyncio.wait_for(reader.readexactly(len(SERVED)), LIMIT_S) == SERVED
                writer.close()
            assert sorted(set(play.seen) - {one for one in play.seen if one.startswith("gone")}) == [
                f"new{i}" for i in range(ROUTERS)
            ]
            assert len(play.seen) == begun + ROUTERS

    run(test)


def test_idle_clients_that_fill_the_descriptors_while_discovery_is_down_keep_no_news_and_no_dial_out(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with fleet(tmp_path) as play:
            play.go.set()
            await asyncio.wait_for(play.agent.watched.wait(), LIMIT_S)
            play.agent.ignores = 1 << 30
            idle = [await play.dial(i) for _ in range(SOCKETS) for i in range(ROUTERS)]
            # It comes back, and knows one server alone, to which no router has a connection.
            new = Cache(play._answer)
            await new.start()
            play.agent.instances = [entry("s9", new.port)]
            play.agent.generation += 1
            play.agent.ignores = 0
            async with asyncio.timeout(LIMIT_S):
                asked = 0
                for i in range(ROUTERS):
                    served = False
                    while not served:
                        asked += 1
                        before = len(new.seen)
                        reader, writer = await play.dial(i, read(f"n{asked}", f"k{asked}"))
                        with contextlib.suppress(OSError, EOFError):
                            served = await reader.readexactly(len(SERVED)) == SERVED
                        served = served and len(new.seen) > before
                        writer.close()
            for process in play.processes:
                assert process.returncode is None
            for _, writer in idle:
                writer.close()
            new.stop()

    run(test)


def test_routers_whose_watches_are_silent_and_whose_calls_fail_hear_of_a_drain(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path) as play:
            play.go.set()
            await asyncio.wait_for(play.agent.watched.wait(), LIMIT_S)
            drains = entry("s0", play.caches[0].port, state="draining")
            play.agent.instances = [drains, *play.agent.instances[1:]]
            play.agent.generation += 1
            play.agent.ignores, play.agent.rejects = ROUTERS, ROUTERS  # what they ask next fails as well
            asked = play.agent.lists
            async with asyncio.timeout(LIMIT_S):
                while play.agent.rejects or play.agent.ignores or play.agent.lists < asked + 3 * ROUTERS:
                    await asyncio.sleep(0.01)
            # Every router asks again and again, and what it is given it has by the next word on its line.
            served = 0
            async with asyncio.timeout(LIMIT_S):
                while served < ROUTERS:
                    before = len(play.caches[0].seen)
                    for i in range(ROUTERS):
                        for n in range(40):
                            reader, writer = await play.dial(i, read(f"x{served}-{i}-{n}-{before}", f"k{n}"))
                            assert await reader.readexactly(len(SERVED)) == SERVED
                            writer.close()
                    served = ROUTERS if len(play.caches[0].seen) == before else 0
            assert len(play.caches[1].seen) >= 40 * ROUTERS

    run(test)
