"""What each attempt tells its server of the client's remaining time, over loopback sockets and a test clock.

No attempt may tell more than is left when it is written: first and further ones, to cache servers and to the
origin, however late they are written or their request was read.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any, cast

import pytest

from tests.emulated_nodes import (
    HIT,
    LIMIT_S,
    MISS,
    SERVED,
    Cache,
    LoopbackRouter,
    LoopbackServer,
    command,
    entry,
    run,
)
from tests.helpers import MS
from tests.router.test_endings import GatedLoop, until, write_now

PAGE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nvalue"
WAIT_MS = 900


class Clock:
    """Nanoseconds that pass only where a test says so."""

    def __init__(self) -> None:
        self.now = 1_000 * MS

    def __call__(self) -> int:
        return self.now


class RecordingOrigin(LoopbackServer):
    """An origin that keeps each request's list, and breaks the connections of the first `breaks` ones."""

    def __init__(self, work: Callable[[], None]) -> None:
        super().__init__()
        self.infos: list[bytes] = []
        self.breaks = 0
        self._work = work

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            headers = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:-2])
            await reader.readexactly(int(headers.get(b"Content-Length", b"0")))
            self.infos.append(headers[b"Request-Info"])
            self._work()
            if len(self.infos) <= self.breaks:
                return
            writer.write(PAGE)


class Stage:
    """A router on a test clock, one cache server and an origin; each attempt takes `work_ns`, by default
    `WORK_NS`.
    """

    WORK_NS = 100 * MS + 1  # no whole milliseconds: what is left is rounded down

    def __init__(self, answer: bytes) -> None:
        self.clock, self.work_ns = Clock(), self.WORK_NS
        self.cache, self.origin = Cache(self._answer), RecordingOrigin(self._work)
        self.answers = [answer]  # the last one again and again
        self.node = LoopbackRouter(now=self.clock)

    def _work(self) -> None:
        self.clock.now += self.work_ns

    async def _answer(self, _: list[bytes]) -> bytes | None:
        self._work()
        return self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]

    async def __aenter__(self) -> Stage:
        await self.cache.start()
        await self.origin.start()
        await self.node.start(entry("s1", self.cache.port), entry("o", self.origin.port, "origin"))
        return self

    async def __aexit__(self, *_: object) -> None:
        self.node.stop()
        self.cache.stop()
        self.origin.stop()

    @property
    def cache_infos(self) -> list[bytes]:
        return [words[3] for words in self.cache.seen]


def staged(play: Callable[[Stage], Awaitable[None]], answer: bytes = HIT) -> None:
    async def test() -> None:
        async with Stage(answer) as stage:
            await play(stage)

    run(test)


def read(name: str, info: str = f"c=read,t=a,d={WAIT_MS}") -> bytes:
    return command(b"KV.GET", b"k", name.encode(), info.encode())


def timeouts(infos: list[bytes]) -> list[int]:
    return [int(dict(part.split(b"=", 1) for part in info.split(b","))[b"d"]) for info in infos]


def test_each_attempt_at_a_read_tells_what_is_left_to_cache_and_origin() -> None:
    async def play(stage: Stage) -> None:
        stage.origin.breaks = 2
        assert await stage.node.ask(read("r"), len(SERVED)) == SERVED
        assert timeouts(stage.cache_infos) == [900]
        assert timeouts(stage.origin.infos) == [799, 699, 599]

    staged(play, MISS)


def test_a_further_attempt_at_a_cache_tells_what_is_left() -> None:
    async def play(stage: Stage) -> None:
        stage.answers = [b"x", HIT]  # what is no answer is asked for again where it was made
        assert await stage.node.ask(read("r"), len(SERVED)) == SERVED
        assert timeouts(stage.cache_infos + stage.origin.infos) == [900, 799]

    staged(play)


def test_each_attempt_at_a_write_tells_what_is_left() -> None:
    async def play(stage: Stage) -> None:
        stage.origin.breaks = 1
        write = command(b"KV.SET", b"k", b"w", b"c=edit,t=a,d=900,k=11", b"v")
        assert await stage.node.ask(write, len(SERVED)) == SERVED
        first, second = timeouts(stage.origin.infos)
        assert first == 900
        assert second <= 799

    staged(play)


@pytest.mark.parametrize(
    "info",
    [
        "d=%d,dd=900,c=read,t=a",
        "dd=900,d=%d,c=read,t=a",
        "c=read,dd=900,d=%d,ddd=900,t=a",
        "c=read,t=a,xd=900,d=%d",
        "c=read,x=d=900,t=a,d=%d,h=900",
    ],
)
def test_the_list_goes_on_unchanged_but_for_the_value_of_d_wherever_it_stands(info: str) -> None:
    async def play(stage: Stage) -> None:
        assert await stage.node.ask(read("r", info % WAIT_MS), len(SERVED)) == SERVED
        assert stage.cache_infos == [(info % 900).encode()]
        assert stage.origin.infos == [(info % 799).encode()]

    staged(play, MISS)


async def delayed(stage: Stage, delay: int, target: str, wait_ms: int = WAIT_MS) -> bytes:
    """Ask; the dial to the target comes up `delay` ns after the request came. Returns the answer's begin."""
    loop, node = GatedLoop(), stage.node
    if target == "origin":
        delay -= stage.WORK_NS  # the cache server's, whose connection is up
        # To the router a clock that jumps is a stall of its own, after which it asks the kernel since when a
        # request lay there: by the machine's clock, in steps of 4 ms. So it must not jump before the request.
        stage.work_ns = 0
        assert await node.ask(read("warm-up"), len(SERVED)) == SERVED
        stage.work_ns = stage.WORK_NS
        (origin,) = [server for server in node.pool._endpoints.values() if server.id == "o"]
        for connection in list(origin.idle):
            connection.close()
        await until(lambda: node.pool.tables()["connections"] == 1)
        stage.cache.seen.clear()
        stage.origin.infos.clear()
    node.pool._loop = cast(Any, loop)
    asked = asyncio.create_task(node.ask(read("r", f"c=read,t=a,d={wait_ms}"), 4))
    await asyncio.wait_for(loop.dialled.wait(), LIMIT_S)
    stage.clock.now += delay
    # Nor may the answer take longer than is left: the router's sweep would come between, and answer first.
    stage.work_ns = 0
    loop.up.set()
    return await asked


@pytest.mark.parametrize("target", ["cache", "origin"])
@pytest.mark.parametrize(
    ("left_ns", "told"),
    [(600 * MS, 600), (600 * MS - 1, 599), (2 * MS - 1, 1), (MS, 1), (MS - 1, None), (1, None), (0, None)],
)
def test_an_attempt_whose_dial_comes_up_late_tells_what_is_left_then(
    target: str, left_ns: int, told: int | None
) -> None:
    async def play(stage: Stage) -> None:
        begin = await delayed(stage, WAIT_MS * MS - left_ns, target)
        seen = stage.cache_infos if target == "cache" else stage.origin.infos
        assert timeouts(seen) == ([] if told is None else [told])
        assert (begin == SERVED[:4]) is (told is not None)

    staged(play, HIT if target == "cache" else MISS)


@pytest.mark.parametrize(("ticks", "told"), [(0, 25), (1, 15), (2, 5), (3, None)])
def test_a_clock_of_coarse_ticks_tells_neither_zero_nor_more_than_is_left(
    ticks: int, told: int | None
) -> None:
    tick = 10 * MS

    async def play(stage: Stage) -> None:
        await delayed(stage, ticks * tick, "cache", wait_ms=25)
        assert timeouts(stage.cache_infos) == ([] if told is None else [told])

    staged(play)


def test_an_attempt_that_waited_for_a_connection_tells_what_is_left_then() -> None:
    async def play(stage: Stage) -> None:
        stage.node.pool.max_per_endpoint = 1
        go = asyncio.Event()

        async def answer(_: list[bytes]) -> bytes:
            await go.wait()
            return HIT

        stage.cache.answer = answer
        first = asyncio.create_task(stage.node.ask(read("r1"), len(SERVED)))
        await until(lambda: len(stage.cache.seen) == 1)
        second = asyncio.create_task(stage.node.ask(read("r2"), len(SERVED)))
        await until(lambda: stage.node.pool.tables()["waiting"] == 1)
        stage.clock.now += 300 * MS
        go.set()
        assert [await first, await second] == [SERVED, SERVED]
        assert timeouts(stage.cache_infos) == [900, 600]

    staged(play)


def test_a_request_read_after_the_process_stood_still_tells_no_more_than_is_left() -> None:
    async def play(stage: Stage) -> None:
        reader, writer = await stage.node.dial()
        await until(lambda: stage.node.clients.connection_count == 1)
        write_now(writer, read("r"))
        stage.clock.now += 300 * MS  # in the same turn of the loop: nothing of the router has run
        assert await asyncio.wait_for(reader.readexactly(len(SERVED)), LIMIT_S) == SERVED
        writer.close()
        assert 0 < timeouts(stage.cache_infos)[0] <= 600
        assert 0 < timeouts(stage.origin.infos)[0] <= 499

    staged(play, MISS)


def test_a_request_that_waited_for_a_worker_tells_no_more_than_is_left() -> None:
    async def play(stage: Stage) -> None:
        here, there = socket.socketpair()
        reader, writer = await asyncio.open_connection(sock=here)
        writer.write(read("r"))
        await stage.node.clients.adopt(None, there.detach(), possible_wait_ns=200 * MS)
        assert await asyncio.wait_for(reader.readexactly(len(SERVED)), LIMIT_S) == SERVED
        writer.close()
        assert timeouts(stage.cache_infos) == [700]
        assert timeouts(stage.origin.infos) == [599]

    staged(play, MISS)
