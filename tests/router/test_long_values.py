"""Values too long to buffer, streamed from cache servers and the origin to clients of any speed."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from holdgw.policy import Outcome, RequestClass, RoutingPolicy, Settings, StreamStarted
from holdgw.router import client_connection, streamed_value
from holdgw.wire.http import HttpError, ResponseReader
from holdgw.wire.resp import MAX_BUFFERED_VALUE_BYTES, MAX_VALUE_BYTES
from tests.emulated_nodes import (
    LIMIT_S,
    MISS,
    LoopbackRouter,
    LoopbackServer,
    command,
    entry,
    read,
    run,
    until,
)
from tests.helpers import MS, S, ended, fleet, only_send, request, sends, settings, started

TAIL = b"\r\n$3\r\nhit\r\n$-1\r\n"
VALUE = bytes(range(256)) * 4096 * 4  # 4 MiB
HALF_MIB = 512 << 10
REST_TIMEOUT_S = 2.0
"""By the operators' page a long value is lost if its rest is held back for this time."""
PATIENT = settings(classes=(RequestClass("read", latency_objective_ns=300 * MS, deadline_ns=3 * S),))
"""Settings whose clients wait for 3 s and longer."""

Writer = asyncio.StreamWriter


class ScriptedServer(LoopbackServer):
    """A cache server or an origin that writes each answer by a function from the test.

    Such a function returns whether the connection stays open.
    """

    def __init__(self, *answers: Callable[[Writer], Coroutine[Any, Any, bool]], http: bool = False) -> None:
        super().__init__()
        self.answers, self.http = list(answers), http
        self.disconnected = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: Writer) -> None:
        try:
            while True:
                if self.http:
                    await reader.readuntil(b"\r\n\r\n")
                else:
                    for _ in range(int((await reader.readuntil(b"\r\n"))[1:])):
                        size = int((await reader.readuntil(b"\r\n"))[1:])
                        await reader.readexactly(size + 2)
                if not await self.answers.pop(0)(writer):
                    return
        finally:
            self.disconnected.set()


def answer_with(*parts: bytes, stays_open: bool = True) -> Callable[[Writer], Coroutine[Any, Any, bool]]:
    async def answer(writer: Writer) -> bool:
        for part in parts:
            writer.write(part)
            await writer.drain()
        return stays_open

    return answer


def array_header(length: int) -> bytes:
    return b"*3\r\n$%d\r\n" % length


class StreamingSetup:
    """A router with one cache server, perhaps an origin, and the clients of a test."""

    def __init__(
        self, cache: ScriptedServer, origin: ScriptedServer | None = None, config: Settings | None = None
    ) -> None:
        self.cache, self.origin, self.router = cache, origin, LoopbackRouter(config=config)

    async def __aenter__(self) -> StreamingSetup:
        await self.cache.start()
        listed = [entry("s1", self.cache.port)]
        if self.origin is not None:
            await self.origin.start()
            listed.append(entry("o1", self.origin.port, "origin"))
        await self.router.start(*listed)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.router.stop()
        self.cache.stop()
        if self.origin is not None:
            self.origin.stop()

    async def ask(self, *names: str, wait: int = 900) -> tuple[asyncio.StreamReader, Writer]:
        reader, writer = await self.router.dial()
        writer.write(b"".join(read(name, f"key-{name}", wait) for name in names))
        return reader, writer

    async def until_idle(self) -> None:
        """Wait until no request and no long value is left in any table."""
        while True:
            table_sizes = {**self.router.dispatcher.tables(), **self.router.pool.tables()}
            names = (
                "requests",
                "policy_requests",
                "policy_coalesced_fetches",
                "streams",
                "bytes_held",
                "waiting",
            )
            if not any(table_sizes[name] for name in names):
                return
            await asyncio.sleep(0.01)


async def read_exactly(reader: asyncio.StreamReader, size: int) -> bytes:
    return await asyncio.wait_for(reader.readexactly(size), LIMIT_S)


async def read_to_end(reader: asyncio.StreamReader) -> bytes:
    return await asyncio.wait_for(reader.read(), LIMIT_S)


def bulk(value: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(value), value)


@pytest.mark.parametrize("size", [MAX_BUFFERED_VALUE_BYTES, MAX_BUFFERED_VALUE_BYTES + 1, len(VALUE)])
def test_a_value_of_any_length_arrives_complete_and_its_connection_is_reused(size: int) -> None:
    async def test() -> None:
        value = VALUE[:size]
        pieces = [
            array_header(size)[:5],
            array_header(size)[5:] + value[:7],
            value[7:-1],
            value[-1:] + TAIL[:1],
            TAIL[1:],
        ]
        async with StreamingSetup(
            ScriptedServer(answer_with(*pieces), answer_with(array_header(5) + b"short" + TAIL))
        ) as scene:
            reader, writer = await scene.ask("a", "b")
            assert await read_exactly(reader, len(bulk(value))) == bulk(value)
            assert await read_exactly(reader, 11) == bulk(b"short")
            writer.close()
            await scene.until_idle()
            assert scene.router.dispatcher.metrics.text(0, 0, 0).count(b'succeeded"} 2') == 1

    run(test)


def test_a_long_value_is_streamed_while_it_arrives_and_beyond_the_deadline() -> None:
    async def test() -> None:
        rest_released = asyncio.Event()

        async def in_two_parts(writer: Writer) -> bool:
            writer.write(array_header(len(VALUE)) + VALUE[:1000])
            await rest_released.wait()
            writer.write(VALUE[1000:] + TAIL)
            return True

        async with StreamingSetup(ScriptedServer(in_two_parts)) as scene:
            reader, writer = await scene.ask("a", wait=150)
            begin = b"$%d\r\n" % len(VALUE) + VALUE[:1000]
            assert await read_exactly(reader, len(begin)) == begin
            await asyncio.sleep(0.3)  # beyond the client's timeout, and the sweep has run
            assert scene.router.dispatcher.outstanding == 1
            rest_released.set()
            assert await read_exactly(reader, len(VALUE) - 998) == VALUE[1000:] + b"\r\n"
            writer.close()
            await scene.until_idle()

    run(test)


def test_a_client_that_does_not_read_its_value_pauses_the_endpoint_and_takes_no_memory() -> None:
    async def test() -> None:
        written = 0

        async def whole_value(writer: Writer) -> bool:
            nonlocal written
            writer.write(array_header(MAX_VALUE_BYTES))
            for _ in range(MAX_VALUE_BYTES // (64 << 10)):
                writer.write(VALUE[: 64 << 10])
                await writer.drain()
                written += 64 << 10
            writer.write(TAIL)
            return True

        async with StreamingSetup(ScriptedServer(whole_value)) as scene:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_connect(sock, scene.router.address)
            reader, writer = await asyncio.open_connection(sock=sock, limit=4096)
            writer.write(read("slow"))
            assert await read_exactly(reader, 4) == b"$167"
            seen = -1
            while seen != written:  # until no more bytes are written
                seen = written
                await asyncio.sleep(0.2)
            assert written < MAX_VALUE_BYTES // 2
            (connection,) = scene.router.clients.connections
            assert connection.transport is not None
            assert connection.transport.get_write_buffer_size() < 1 << 20
            length = 0
            while length < MAX_VALUE_BYTES:
                length += len(await asyncio.wait_for(reader.read(1 << 20), LIMIT_S))
            writer.close()
            await scene.until_idle()

    run(test)


@pytest.mark.parametrize(
    "parts",
    [
        (array_header(len(VALUE)), VALUE[:500_000]),
        (array_header(len(VALUE) - 9), VALUE, TAIL),
    ],
    ids=["broken off", "longer than it says"],
)
def test_a_streamed_value_that_cannot_be_completed_closes_the_clients_connection(
    parts: tuple[bytes, ...],
) -> None:
    async def test() -> None:
        async with StreamingSetup(ScriptedServer(answer_with(*parts, stays_open=False))) as scene:
            reader, writer = await scene.ask("a")
            received = await read_to_end(reader)
            assert received.startswith(b"$")
            assert not received.endswith(b"\r\n")
            writer.close()
            await scene.until_idle()
            assert scene.cache.connections == 1
            assert b'aborted"} 1' in scene.router.dispatcher.metrics.text(0, 0, 0)

    run(test)


class BreakingCache(LoopbackServer):
    """A cache server whose value breaks off for the request `broken`, and is short for all others."""

    def __init__(self, size: int, arrived: bytes) -> None:
        super().__init__()
        self.size, self.arrived = size, arrived
        self.first_allowed: asyncio.Event | None = None
        """The request `first` is answered once this is set; None: at once."""
        self.break_allowed: asyncio.Event | None = None
        """Values break off once this is set; None: at once."""

    async def serve(self, reader: asyncio.StreamReader, writer: Writer) -> None:
        while True:
            words = []
            for _ in range(int((await reader.readuntil(b"\r\n"))[1:])):
                size = int((await reader.readuntil(b"\r\n"))[1:])
                words.append((await reader.readexactly(size + 2))[:-2])
            if words[2].startswith(b"broken"):
                writer.write(array_header(self.size) + self.arrived)
                if self.break_allowed is not None:
                    await self.break_allowed.wait()
                return
            if words[2] == b"whole":
                writer.write(array_header(self.size) + self.arrived)
                continue
            if words[2] == b"first" and self.first_allowed is not None:
                await self.first_allowed.wait()
            writer.write(array_header(5) + b"value" + TAIL)


@pytest.mark.parametrize("size", [MAX_BUFFERED_VALUE_BYTES + 1, 300_000])
@pytest.mark.parametrize("arrived_fraction", [0.0, 0.3, 0.99])
def test_commands_behind_a_value_that_breaks_off_are_answered(size: int, arrived_fraction: float) -> None:
    # Guards against requests that are read and then lost with the connection on which a value broke off.
    async def test() -> None:
        behind = [f"behind{i}" for i in range(10)]
        cache = BreakingCache(size, b"v" * int(size * arrived_fraction))
        await cache.start()
        router = LoopbackRouter()
        await router.start(entry("s1", cache.port))
        reader, writer = await router.dial()
        writer.write(b"".join(read(name, f"key-{name}", 1900) for name in ("first", "broken", *behind)))
        assert await read_exactly(reader, len(bulk(b"value"))) == bulk(b"value")
        assert (await asyncio.wait_for(reader.readline(), LIMIT_S)).startswith(b"-ERR")
        assert await read_exactly(reader, 10 * len(bulk(b"value"))) == 10 * bulk(b"value")
        writer.close()
        router.stop()
        cache.stop()

    run(test)


def test_a_value_held_back_is_read_on_after_it_waited_for_its_turn() -> None:
    # Guards against a value whose source was paused while it waited, and is never resumed.
    async def test() -> None:
        first_allowed = asyncio.Event()
        cache = BreakingCache(300_000, b"v" * 300_000 + TAIL)
        cache.first_allowed = first_allowed
        await cache.start()
        router = LoopbackRouter()
        await router.start(entry("s1", cache.port))
        reader, writer = await router.dial()
        writer.write(b"".join(read(name, f"key-{name}", 1900) for name in ("first", "whole", "behind")))
        while not any(pool.streaming for pool in router.pool._endpoints.values()):
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.05)  # lets the value arrive up to its limit; the assertions don't depend on it
        first_allowed.set()
        assert await read_exactly(reader, len(bulk(b"value"))) == bulk(b"value")
        assert await read_exactly(reader, len(bulk(b"v" * 300_000))) == bulk(b"v" * 300_000)
        assert await read_exactly(reader, len(bulk(b"value"))) == bulk(b"value")
        writer.close()
        router.stop()
        cache.stop()

    run(test)


@pytest.mark.parametrize(
    ("size", "wait_ms", "latest_s"),
    [(HALF_MIB, 900, 0.9 * 0.95), (len(VALUE), 900, 0.9 * 0.95), (HALF_MIB + 1, 3000, REST_TIMEOUT_S)],
)
def test_a_value_that_goes_on_arriving_is_not_held_back_for_longer_than_its_clients_time(
    size: int, wait_ms: int, latest_s: float
) -> None:
    # Guards against a long value that is delayed until its client has given up.
    async def test() -> None:
        head_read = asyncio.Event()

        async def slow(writer: Writer) -> bool:
            writer.write(array_header(size) + b"v" * 70)
            sent = 70
            while not head_read.is_set():
                await asyncio.sleep(0.02)
                writer.write(b"v" * 10)
                sent += 10
            writer.write(b"v" * (size - sent) + TAIL)
            return True

        second = answer_with(array_header(5) + b"value" + TAIL)
        async with StreamingSetup(ScriptedServer(slow, second), config=PATIENT) as setup:
            started = time.monotonic()
            reader, writer = await setup.ask("slow", "behind", wait=wait_ms)
            head = b"$%d\r\n" % size + b"v" * 70
            assert await read_exactly(reader, len(head)) == head
            assert time.monotonic() - started < latest_s
            head_read.set()
            assert await read_exactly(reader, size - 70 + 2) == b"v" * (size - 70) + b"\r\n"
            assert await read_exactly(reader, len(bulk(b"value"))) == bulk(b"value")
            writer.close()
            await setup.until_idle()

    run(test)


@pytest.mark.parametrize("size", [100_000, HALF_MIB + 1])
@pytest.mark.parametrize("ending", ["reset", "silence"])
def test_commands_behind_a_value_that_stops_for_long_are_answered(ending: str, size: int) -> None:
    # Guards against the head of a value being sent though its rest has stopped, and those behind it lost.
    async def test() -> None:
        async def stops(writer: Writer) -> bool:
            writer.write(array_header(size) + b"v" * 40_000)
            await asyncio.sleep(0.7 if ending == "reset" else LIMIT_S)
            return False

        behind = answer_with(array_header(5) + b"value" + TAIL)
        async with StreamingSetup(ScriptedServer(stops, behind, behind)) as setup:
            started = time.monotonic()
            reader, writer = await setup.ask("stops", "behind1", "behind2", wait=1000)
            assert (await asyncio.wait_for(reader.readline(), LIMIT_S)).startswith(b"-ERR")
            assert time.monotonic() - started < 1.5  # half a second after its time
            assert await read_exactly(reader, 2 * len(bulk(b"value"))) == 2 * bulk(b"value")
            writer.close()
            await setup.until_idle()

    run(test)


@pytest.mark.parametrize(
    ("size", "arrived", "arrives_s"),
    [(900 << 10, 760 << 10, 0.0), (1 << 20, 800 << 10, 1.25), (4 << 20, 4 << 20, 0.7)],
)
def test_commands_behind_a_value_of_a_megabyte_that_breaks_off_late_are_answered(
    size: int, arrived: int, arrives_s: float
) -> None:
    # Guards against the head of a value being sent, and those behind it lost, though memory could hold it.
    async def test() -> None:
        async def breaks(writer: Writer) -> bool:
            pieces = 25
            writer.write(array_header(size))
            for _ in range(pieces):
                writer.write(b"v" * (arrived // pieces))
                await asyncio.sleep(arrives_s / pieces)
            return False

        behind = answer_with(array_header(5) + b"value" + TAIL)
        async with StreamingSetup(ScriptedServer(breaks, behind, behind), config=PATIENT) as setup:
            setup.router.clients.waiting_memory.limit_bytes = 16 << 20
            reader, writer = await setup.ask("breaks", "behind1", "behind2", wait=3000)
            assert (await asyncio.wait_for(reader.readline(), LIMIT_S)).startswith(b"-ERR")
            assert await read_exactly(reader, 2 * len(bulk(b"value"))) == 2 * bulk(b"value")
            writer.close()
            await setup.until_idle()
            assert not setup.router.clients.waiting_memory.held_bytes

    run(test)


def test_a_value_that_memory_does_not_hold_is_written_as_soon_as_its_memory_is_used_up() -> None:
    # Guards against a value that is delayed though its end can't be held back.
    async def test() -> None:
        size, limit_bytes = 1 << 20, 256 << 10
        rest_released = asyncio.Event()

        async def in_two_parts(writer: Writer) -> bool:
            writer.write(array_header(size) + b"v" * limit_bytes)
            await rest_released.wait()
            writer.write(b"v" * (size - limit_bytes) + TAIL)
            return True

        behind = answer_with(array_header(5) + b"value" + TAIL)
        async with StreamingSetup(ScriptedServer(in_two_parts, behind), config=PATIENT) as setup:
            memory = setup.router.clients.waiting_memory
            memory.limit_bytes = limit_bytes
            started = time.monotonic()
            reader, writer = await setup.ask("long", "behind", wait=6000)
            head = b"$%d\r\n" % size
            assert await read_exactly(reader, len(head) + limit_bytes // 2) == head + b"v" * (
                limit_bytes // 2
            )
            assert time.monotonic() - started < 1.0
            assert memory.held_bytes <= limit_bytes // 2
            rest_released.set()
            await read_exactly(reader, size - limit_bytes // 2 + 2 + len(bulk(b"value")))
            assert not memory.held_bytes
            writer.close()
            await setup.until_idle()

    run(test)


def test_a_held_value_counts_as_memory_until_its_client_has_taken_it() -> None:
    # Guards against held values of clients that read slowly, which would take memory that nothing counts.
    async def test() -> None:
        rest_released = asyncio.Event()

        async def in_two_parts(writer: Writer) -> bool:
            writer.write(array_header(len(VALUE)) + VALUE[:-1000])
            await rest_released.wait()
            writer.write(VALUE[-1000:] + TAIL)
            return True

        behind = answer_with(array_header(5) + b"value" + TAIL)
        async with StreamingSetup(ScriptedServer(in_two_parts, behind), config=PATIENT) as setup:
            memory = setup.router.clients.waiting_memory
            memory.limit_bytes = 16 << 20
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_connect(sock, setup.router.address)
            reader, writer = await asyncio.open_connection(sock=sock, limit=4096)
            writer.write(read("whole", "key-whole", 6000) + read("behind", "key-behind", 6000))
            await until(lambda: bool(setup.router.clients.holding))
            (connection,) = setup.router.clients.connections
            streamed = connection.replies[0].streamed
            assert streamed is not None
            rest_released.set()
            await until(lambda: connection.write_blocked)
            assert memory.held_bytes >= streamed.unwritten_bytes > 0
            assert await read_exactly(reader, len(bulk(VALUE))) == bulk(VALUE)
            assert await read_exactly(reader, len(bulk(b"value"))) == bulk(b"value")
            assert not memory.held_bytes
            writer.close()
            await setup.until_idle()

    run(test)


def test_the_memory_of_held_values_is_counted_in_bytes() -> None:
    # Guards against values that are sent before they are whole though the memory would hold many of them.
    async def test() -> None:
        size = 100_000
        clients = HALF_MIB // size
        cache = BreakingCache(size, b"v" * 40_000)
        cache.break_allowed = asyncio.Event()
        await cache.start()
        router = LoopbackRouter()
        router.clients.waiting_memory.limit_bytes = HALF_MIB
        await router.start(entry("s1", cache.port))
        dialled = [await router.dial() for _ in range(clients)]
        for number, (_, writer) in enumerate(dialled):
            writer.write(
                read(f"broken{number}", f"key-broken{number}", 1900) + read(f"b{number}", "key-b", 1900)
            )
        await until(lambda: len(router.clients.holding) == clients)
        cache.break_allowed.set()
        for reader, writer in dialled:
            assert (await asyncio.wait_for(reader.readline(), LIMIT_S)).startswith(b"-ERR")
            assert await read_exactly(reader, len(bulk(b"value"))) == bulk(b"value")
            writer.close()
        assert not router.clients.holding
        assert not router.clients.waiting_memory.held_bytes
        router.stop()
        cache.stop()

    run(test)


def test_a_streamed_value_that_breaks_before_its_turn_becomes_an_error() -> None:
    async def test() -> None:
        first_released = asyncio.Event()

        async def first_answer(writer: Writer) -> bool:
            await first_released.wait()
            writer.write(array_header(5) + b"first" + TAIL)
            return True

        async def breaks(writer: Writer) -> bool:
            writer.write(array_header(len(VALUE)) + VALUE[:100])
            return False

        async with StreamingSetup(
            ScriptedServer(first_answer, breaks, answer_with(array_header(5) + b"third" + TAIL))
        ) as scene:
            reader, writer = await scene.ask("a")
            while not scene.cache.connections:
                await asyncio.sleep(0.01)
            writer.write(read("b", "key-b"))
            while b'aborted"} 1' not in scene.router.dispatcher.metrics.text(0, 0, 0):
                await asyncio.sleep(0.01)
            first_released.set()
            assert await read_exactly(reader, 11) == bulk(b"first")
            assert await read_exactly(reader, 13) == b"-ERR failed\r\n"
            writer.write(read("c", "key-c"))
            assert await read_exactly(reader, 11) == bulk(b"third")
            writer.close()

    run(test)


def test_a_slow_client_pauses_the_stream_of_a_draining_endpoint() -> None:
    # A connection to a draining server used not to be paused, and its value was buffered in the router.
    async def test() -> None:
        rest_released = asyncio.Event()

        async def in_two_parts(writer: Writer) -> bool:
            writer.write(array_header(MAX_VALUE_BYTES) + VALUE[:100])
            await rest_released.wait()
            for _ in range(4):
                writer.write(VALUE)
                await writer.drain()
            return True

        async with StreamingSetup(ScriptedServer(in_two_parts)) as scene:
            reader, writer = await scene.ask("a")
            await read_exactly(reader, 50)
            scene.router.pool.remove_endpoint("s1")
            (connection,) = scene.router.clients.connections
            connection.pause_writing()
            rest_released.set()
            (upstream,) = scene.router.pool._endpoints["s1"].connections
            while upstream.exchange is not None and not upstream.reading_paused:
                await asyncio.sleep(0.01)
            assert upstream.reading_paused
            writer.transport.abort()
            await scene.until_idle()

    run(test)


def test_the_rest_of_an_answer_after_a_streamed_value_is_read_despite_a_slow_client() -> None:
    # A client that accepted its last bytes late used to leave the connection to the server paused forever.
    async def test() -> None:
        value_end_released, tail_released = asyncio.Event(), asyncio.Event()

        async def in_three_parts(writer: Writer) -> bool:
            writer.write(array_header(len(VALUE)) + VALUE[:-10])
            await value_end_released.wait()
            writer.write(VALUE[-10:] + TAIL[:2])
            await tail_released.wait()
            writer.write(TAIL[2:])
            return True

        async with StreamingSetup(ScriptedServer(in_three_parts)) as scene:
            reader, writer = await scene.ask("a")
            start_bytes = len(bulk(VALUE)) - 12
            await read_exactly(reader, start_bytes)
            (connection,) = scene.router.clients.connections
            connection.pause_writing()
            value_end_released.set()
            while b'succeeded"} 1' not in scene.router.dispatcher.metrics.text(0, 0, 0):
                await asyncio.sleep(0.01)
            connection.resume_writing()
            assert await read_exactly(reader, 12) == VALUE[-10:] + b"\r\n"
            tail_released.set()
            await asyncio.wait_for(scene.until_idle(), LIMIT_S)
            writer.close()

    run(test)


def test_a_client_that_disconnects_during_a_stream_ends_the_endpoints_sending() -> None:
    async def test() -> None:
        async with StreamingSetup(
            ScriptedServer(answer_with(array_header(MAX_VALUE_BYTES), VALUE, VALUE))
        ) as scene:
            reader, writer = await scene.ask("a")
            await read_exactly(reader, 10)
            writer.transport.abort()
            await asyncio.wait_for(scene.cache.disconnected.wait(), LIMIT_S)
            await scene.until_idle()

    run(test)


@pytest.mark.sources_only
def test_a_stream_from_a_stalled_endpoint_is_abandoned(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(streamed_value, "STREAM_STALL_NS", 200_000_000)

    async def test() -> None:
        async with StreamingSetup(
            ScriptedServer(answer_with(array_header(len(VALUE)), VALUE[:1000]))
        ) as scene:
            reader, writer = await scene.ask("a")
            assert len(await read_to_end(reader)) < len(VALUE)
            writer.close()
            await scene.until_idle()

    run(test)


def test_a_client_that_reads_nothing_of_its_stream_is_disconnected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client_connection, "STREAM_STALL_TIMEOUT_S", 0.2)

    async def test() -> None:
        async with StreamingSetup(
            ScriptedServer(answer_with(array_header(MAX_VALUE_BYTES), *[VALUE] * 4, TAIL))
        ) as scene:
            _, writer = await scene.ask("a")
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            await asyncio.wait_for(scene.cache.disconnected.wait(), LIMIT_S)
            await scene.until_idle()
            assert not scene.router.clients.connection_count
            writer.close()

    run(test)


# The origin


def response(value: bytes, *headers: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\n%b\r\n\r\n%b" % (b"\r\n".join(headers), value)


def chunked_body(value: bytes) -> bytes:
    return b"%x\r\n%b\r\n0\r\n\r\n" % (len(value), value)


@pytest.mark.parametrize(
    ("response_bytes", "stays_open"),
    [
        (response(VALUE, b"Content-Length: %d" % len(VALUE)), True),
        (response(VALUE, b"Content-Length: %d  " % len(VALUE), b"X-Note: " + b"n" * 9000), True),
        (response(chunked_body(VALUE), b"Transfer-Encoding: chunked"), True),
        (response(VALUE, b"Connection: close"), False),
    ],
    ids=["length", "length and spaces", "chunks", "to the close"],
)
def test_long_values_from_the_origin_arrive_complete(response_bytes: bytes, stays_open: bool) -> None:
    async def test() -> None:
        origin = ScriptedServer(
            answer_with(response_bytes[:100], response_bytes[100:], stays_open=stays_open), http=True
        )
        async with StreamingSetup(ScriptedServer(answer_with(MISS)), origin) as scene:
            reader, writer = await scene.ask("a")
            assert await read_exactly(reader, len(bulk(VALUE))) == bulk(VALUE)
            writer.close()
            await scene.until_idle()

    run(test)


@pytest.mark.parametrize(
    "response_bytes",
    [
        response(b"x" * 100),  # neither a length nor "Connection: close"
        response(VALUE[:100], b"Content-Length: %d" % (MAX_VALUE_BYTES + 1)),
        response(chunked_body(VALUE * 3), b"Transfer-Encoding: chunked"),  # more than the pool reserves
    ],
    ids=["no length", "too long", "no room"],
)
def test_an_origin_response_that_can_neither_be_streamed_nor_buffered_is_an_error(
    response_bytes: bytes,
) -> None:
    async def test() -> None:
        origin = ScriptedServer(*[answer_with(response_bytes, stays_open=False)] * 4, http=True)
        async with StreamingSetup(ScriptedServer(*[answer_with(MISS)] * 4), origin) as scene:
            reader, writer = await scene.ask("a")
            assert (await read_exactly(reader, 4)) in (b"-ERR", b"-BUS")
            writer.close()
            await scene.until_idle()

    run(test)


def test_a_body_that_ends_with_its_connection_needs_an_announced_close() -> None:
    reader = ResponseReader(1000)
    assert not reader.read(response(b"abc", b"Connection: close"))
    assert reader.connection_closed()
    assert (reader.status, bytes(reader.body)) == (200, b"abc")
    assert not reader.finish_response()
    assert not reader.connection_closed()
    with pytest.raises(HttpError):
        ResponseReader(1000).read(response(b"abc"))


# The routing policy


def test_a_started_stream_is_not_in_flight_and_releases_the_requests_that_wait_for_its_fetch() -> None:
    policy: RoutingPolicy = started(settings(), fleet(1))
    first = only_send(policy.handle(request("a"), 1))
    fetch = only_send(policy.handle(ended(first, Outcome.MISS), 2))
    second = only_send(policy.handle(request("b"), 3))
    assert not sends(policy.handle(ended(second, Outcome.MISS), 4))  # the request waits for the fetch
    in_flight = [endpoint.in_flight for endpoint in policy._origins.endpoints.values()]
    second_retry = only_send(policy.handle(StreamStarted("a", 1), 5))
    assert (second_retry.request_id, second_retry.endpoint_id) == ("b", second.endpoint_id)
    assert [endpoint.in_flight for endpoint in policy._origins.endpoints.values()] == [in_flight[0] - 1]
    assert not policy.handle(StreamStarted("a", 1), 6)  # a repeated event counts once
    policy.handle(ended(fetch, Outcome.OK, attempt=1), 7)
    assert [endpoint.in_flight for endpoint in policy._origins.endpoints.values()] == [0]
    assert not policy.handle(StreamStarted("gone", 1), 8)


def test_a_command_with_a_long_value_is_still_invalid() -> None:
    async def test() -> None:
        async with StreamingSetup(ScriptedServer()) as scene:
            data = command(b"KV.SET", b"k", b"id", b"c=edit,d=500,k=1", b"x" * (MAX_BUFFERED_VALUE_BYTES + 1))
            assert (await scene.router.ask(data, 4)) == b"-ERR"

    run(test)
