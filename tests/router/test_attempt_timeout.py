"""The remaining time that each attempt sends to its endpoint, over loopback sockets and a test clock.

No attempt may send more time than is left when it is written. This holds for first attempts and retries, to
cache servers and to the origin, however late an attempt is written or its request was read.
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
    until,
)
from tests.helpers import MS
from tests.router.test_endings import GatedLoop, write_now

PAGE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nvalue"
WAIT_MS = 900


class Clock:
    """A clock in nanoseconds that only the test advances."""

    def __init__(self) -> None:
        self.now = 1_000 * MS

    def __call__(self) -> int:
        return self.now


class RecordingOrigin(LoopbackServer):
    """An origin that records Request-Info headers, and breaks the connections of the first `breaks` ones."""

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


class RouterSetup:
    """A router on a test clock, one cache server and an origin.

    Each attempt takes `work_ns` nanoseconds, by default `WORK_NS`.
    """

    WORK_NS = 100 * MS + 1  # not whole milliseconds: the remaining time is rounded down

    def __init__(self, answer: bytes) -> None:
        self.clock, self.work_ns = Clock(), self.WORK_NS
        self.cache, self.origin = Cache(self._answer), RecordingOrigin(self._work)
        self.answers = [answer]  # the last one is repeated
        self.node = LoopbackRouter(now=self.clock)

    def _work(self) -> None:
        self.clock.now += self.work_ns

    async def _answer(self, _: list[bytes]) -> bytes | None:
        self._work()
        return self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]

    async def __aenter__(self) -> RouterSetup:
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


def run_with_setup(steps: Callable[[RouterSetup], Awaitable[None]], answer: bytes = HIT) -> None:
    async def test() -> None:
        async with RouterSetup(answer) as setup:
            await steps(setup)

    run(test)


def read(name: str, info: str = f"c=read,t=a,d={WAIT_MS}") -> bytes:
    return command(b"KV.GET", b"k", name.encode(), info.encode())


def timeouts(infos: list[bytes]) -> list[int]:
    return [int(dict(part.split(b"=", 1) for part in info.split(b","))[b"d"]) for info in infos]


def test_each_attempt_at_a_read_sends_the_remaining_time_to_cache_and_origin() -> None:
    async def steps(setup: RouterSetup) -> None:
        setup.origin.breaks = 2
        assert await setup.node.ask(read("r"), len(SERVED)) == SERVED
        assert timeouts(setup.cache_infos) == [900]
        assert timeouts(setup.origin.infos) == [799, 699, 599]

    run_with_setup(steps, MISS)


def test_a_second_attempt_at_a_cache_sends_the_remaining_time() -> None:
    async def steps(setup: RouterSetup) -> None:
        setup.answers = [b"x", HIT]  # an invalid answer is retried at the same cache server
        assert await setup.node.ask(read("r"), len(SERVED)) == SERVED
        assert timeouts(setup.cache_infos + setup.origin.infos) == [900, 799]

    run_with_setup(steps)


def test_each_attempt_at_a_write_sends_the_remaining_time() -> None:
    async def steps(setup: RouterSetup) -> None:
        setup.origin.breaks = 1
        write = command(b"KV.SET", b"k", b"w", b"c=edit,t=a,d=900,k=11", b"v")
        assert await setup.node.ask(write, len(SERVED)) == SERVED
        first, second = timeouts(setup.origin.infos)
        assert first == 900
        assert second <= 799

    run_with_setup(steps)


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
def test_the_request_info_is_forwarded_unchanged_except_for_the_value_of_d(info: str) -> None:
    async def steps(setup: RouterSetup) -> None:
        assert await setup.node.ask(read("r", info % WAIT_MS), len(SERVED)) == SERVED
        assert setup.cache_infos == [(info % 900).encode()]
        assert setup.origin.infos == [(info % 799).encode()]

    run_with_setup(steps, MISS)


async def read_on_late_connection(
    setup: RouterSetup, delay: int, target: str, wait_ms: int = WAIT_MS
) -> bytes:
    """Send a read while the connection to its target is established `delay` ns after the request arrived.

    Returns the first 4 bytes of the answer.
    """
    loop, node = GatedLoop(), setup.node
    if target == "origin":
        delay -= setup.WORK_NS  # the time of the attempt at the cache server, which is connected already
        # The router takes a jump of its clock for a stall, after which it asks the kernel when a request
        # arrived: by the machine's clock, in steps of 4 ms. So the clock must not jump before the request.
        setup.work_ns = 0
        assert await node.ask(read("warm-up"), len(SERVED)) == SERVED
        setup.work_ns = setup.WORK_NS
        (origin,) = [server for server in node.pool._endpoints.values() if server.id == "o"]
        for connection in list(origin.idle):
            connection.close()
        await until(lambda: node.pool.tables()["connections"] == 1)
        await node.connections_rested()
        setup.cache.seen.clear()
        setup.origin.infos.clear()
    node.pool._loop = cast(Any, loop)
    client = asyncio.create_task(node.ask(read("r", f"c=read,t=a,d={wait_ms}"), 4))
    await asyncio.wait_for(loop.dialled.wait(), LIMIT_S)
    setup.clock.now += delay
    # Nor may the answer take longer than the remaining time: the router's sweep would answer first.
    setup.work_ns = 0
    loop.up.set()
    return await client


@pytest.mark.parametrize("target", ["cache", "origin"])
@pytest.mark.parametrize(
    ("left_ns", "expected_ms"),
    [(600 * MS, 600), (600 * MS - 1, 599), (2 * MS - 1, 1), (MS, 1), (MS - 1, None), (1, None), (0, None)],
)
def test_an_attempt_on_a_late_connection_sends_the_time_left_then(
    target: str, left_ns: int, expected_ms: int | None
) -> None:
    async def steps(setup: RouterSetup) -> None:
        answer_start = await read_on_late_connection(setup, WAIT_MS * MS - left_ns, target)
        infos = setup.cache_infos if target == "cache" else setup.origin.infos
        assert timeouts(infos) == ([] if expected_ms is None else [expected_ms])
        assert (answer_start == SERVED[:4]) is (expected_ms is not None)

    run_with_setup(steps, HIT if target == "cache" else MISS)


@pytest.mark.parametrize(("ticks", "expected_ms"), [(0, 25), (1, 15), (2, 5), (3, None)])
def test_a_coarse_clock_sends_neither_zero_nor_more_than_the_remaining_time(
    ticks: int, expected_ms: int | None
) -> None:
    tick = 10 * MS

    async def steps(setup: RouterSetup) -> None:
        await read_on_late_connection(setup, ticks * tick, "cache", wait_ms=25)
        assert timeouts(setup.cache_infos) == ([] if expected_ms is None else [expected_ms])

    run_with_setup(steps)


def test_an_attempt_that_waited_for_a_connection_sends_the_time_left_then() -> None:
    async def steps(setup: RouterSetup) -> None:
        setup.node.pool.max_per_endpoint = 1
        answer_released = asyncio.Event()

        async def answer(_: list[bytes]) -> bytes:
            await answer_released.wait()
            return HIT

        setup.cache.answer = answer
        first = asyncio.create_task(setup.node.ask(read("r1"), len(SERVED)))
        await until(lambda: len(setup.cache.seen) == 1)
        second = asyncio.create_task(setup.node.ask(read("r2"), len(SERVED)))
        await until(lambda: setup.node.pool.tables()["waiting"] == 1)
        setup.clock.now += 300 * MS
        answer_released.set()
        assert [await first, await second] == [SERVED, SERVED]
        assert timeouts(setup.cache_infos) == [900, 600]

    run_with_setup(steps)


def test_a_request_read_after_a_stall_sends_no_more_than_the_remaining_time() -> None:
    async def steps(setup: RouterSetup) -> None:
        reader, writer = await setup.node.dial()
        await until(lambda: setup.node.clients.connection_count == 1)
        write_now(writer, read("r"))
        setup.clock.now += 300 * MS  # in the same event loop iteration, before any code of the router runs
        assert await asyncio.wait_for(reader.readexactly(len(SERVED)), LIMIT_S) == SERVED
        writer.close()
        assert 0 < timeouts(setup.cache_infos)[0] <= 600
        assert 0 < timeouts(setup.origin.infos)[0] <= 499

    run_with_setup(steps, MISS)


def test_a_request_that_waited_for_a_worker_sends_no_more_than_the_remaining_time() -> None:
    async def steps(setup: RouterSetup) -> None:
        client_socket, router_socket = socket.socketpair()
        reader, writer = await asyncio.open_connection(sock=client_socket)
        writer.write(read("r"))
        await setup.node.clients.adopt(None, router_socket.detach(), possible_wait_ns=200 * MS)
        assert await asyncio.wait_for(reader.readexactly(len(SERVED)), LIMIT_S) == SERVED
        writer.close()
        assert timeouts(setup.cache_infos) == [700]
        assert timeouts(setup.origin.infos) == [599]

    run_with_setup(steps, MISS)
