"""Requests that clients write behind an invalid command, or while their connection is about to close."""

from __future__ import annotations

import asyncio
import os
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from holdgw.router import client_connection, connection_close
from holdgw.router.reply import Reply
from holdgw.wire.resp import MAX_BUFFERED_VALUE_BYTES
from tests.emulated_nodes import HIT, LIMIT_S, SERVED, Cache, LoopbackRouter, command, entry, read, run, until

REJECTED = b"-BUSY\r\n"
LONGEST_WAIT_MS = 2000
"""The longest time that a client may set: no request of it is past its deadline after a stall of a second."""
MAX_READ_BYTES = 256 << 10
"""uvloop reads this much at a time."""
EXPIRED = command(b"KV.GET", b"k", b"expired", b"c=read,t=a,d=0")
INVALID = command(b"KV.GET", b"k", b"invalid", b"c=read,t=a,d=soon")
ERROR = b"-ERR d must be a number of milliseconds\r\n"


def request(name: str) -> bytes:
    """A read that outlasts a stall of the machine, in which one of the usual time is rejected."""
    return read(name, wait=LONGEST_WAIT_MS)


class HeldCache(Cache):
    """A cache server that answers nothing until `release` is called."""

    def __init__(self) -> None:
        super().__init__(self._answer)
        self._request_received, self._released = asyncio.Event(), asyncio.Event()

    async def _answer(self, _: list[bytes]) -> bytes:
        self._request_received.set()
        await self._released.wait()
        return HIT

    async def request_received(self) -> None:
        """Return once a request has arrived."""
        await asyncio.wait_for(self._request_received.wait(), LIMIT_S)

    def release(self) -> None:
        """Answer all requests from now on."""
        self._released.set()


@asynccontextmanager
async def held_cache_and_router() -> AsyncIterator[tuple[HeldCache, LoopbackRouter]]:
    """Start a cache server that holds its answers back, and a router before it."""
    cache, router = HeldCache(), LoopbackRouter()
    await cache.start()
    await router.start(entry("s1", cache.port))
    try:
        yield cache, router
    finally:
        router.stop()
        cache.stop()


async def write_into_kernel(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Return once all of the data is in the receiver's kernel: on loopback, as soon as it is sent."""
    writer.write(data)
    await until(lambda: writer.transport.get_write_buffer_size() == 0)


async def read_to_end(reader: asyncio.StreamReader) -> bytes:
    """Read everything up to the end of the connection."""
    return await asyncio.wait_for(reader.read(), LIMIT_S)


async def read_exactly(reader: asyncio.StreamReader, size: int) -> bytes:
    """Read `size` bytes, or fewer up to the end of the connection."""
    try:
        return await asyncio.wait_for(reader.readexactly(size), LIMIT_S)
    except asyncio.IncompleteReadError as error:
        return error.partial


@pytest.mark.parametrize(("words", "answer"), [(EXPIRED, REJECTED), (INVALID, ERROR)])
def test_requests_written_behind_one_that_is_not_served_are_answered(words: bytes, answer: bytes) -> None:
    # Guards against the requests that a client writes while the earlier ones are in work being lost, as the
    # connection closes behind one whose client has no time left, or behind an invalid one.
    async def test() -> None:
        async with held_cache_and_router() as (cache, router):
            reader, writer = await router.dial()
            writer.write(request("first"))
            await cache.request_received()
            writer.write(words)
            (connection,) = router.clients.connections
            await until(lambda: len(connection.replies) == 2)
            await write_into_kernel(writer, b"".join(request(f"behind{i}") for i in range(5)))
            cache.release()
            expected = SERVED + answer + 5 * SERVED
            assert await read_exactly(reader, len(expected)) == expected
            assert {words[2] for words in cache.seen} == {b"first", *(b"behind%d" % i for i in range(5))}
            writer.close()

    run(test)


@pytest.mark.parametrize("cause", ["shutdown", "invalid commands"])
def test_requests_written_before_a_close_whose_earlier_ones_are_in_work_are_rejected(cause: str) -> None:
    # Guards against requests that come while a connection waits for its last answers being discarded: their
    # client doesn't know yet that it will be closed.
    async def test() -> None:
        async with held_cache_and_router() as (cache, router):
            reader, writer = await router.dial()
            writer.write(request("first"))
            await cache.request_received()
            (connection,) = router.clients.connections
            errors = 0
            if cause == "shutdown":
                router.clients.close_gracefully(even_mid_command=True)
            else:
                errors = client_connection.MAX_INVALID_COMMANDS
                writer.write(INVALID * errors)
                await until(lambda: len(connection.replies) == 1 + errors)
            await write_into_kernel(writer, b"".join(request(f"behind{i}") for i in range(5)))
            cache.release()
            assert await read_to_end(reader) == SERVED + errors * ERROR + 5 * REJECTED
            assert [words[2] for words in cache.seen] == [b"first"]
            writer.close()

    run(test)


@pytest.mark.parametrize("cause", ["shutdown", "shutdown, between requests", "over the limit"])
def test_requests_that_arrive_as_the_last_answer_is_written_are_answered(
    cause: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against requests being discarded that reach the kernel in the turn of the event loop in which the
    # router answers the earlier ones and closes.
    send = Reply.send

    async def test() -> None:
        async with held_cache_and_router() as (cache, router):
            reader, writer = await router.dial()
            sock = writer.get_extra_info("socket")
            late = b"".join(request(f"late{i}") for i in range(5))

            def write_late_requests_and_send(reply: Reply, data: bytes) -> None:
                monkeypatch.setattr(Reply, "send", send)
                os.write(sock.fileno(), late)
                send(reply, data)

            if cause == "over the limit":
                router.clients.connections[0].rejects_requests = True
            monkeypatch.setattr(Reply, "send", write_late_requests_and_send)
            writer.write(request("first"))
            if cause != "over the limit":
                await cache.request_received()
                router.clients.close_gracefully(even_mid_command=cause == "shutdown")
                cache.release()
            first = REJECTED if cause == "over the limit" else SERVED
            later = SERVED if cause == "shutdown, between requests" else REJECTED
            assert await read_to_end(reader) == first + 5 * later
            writer.close()

    run(test)


@pytest.mark.parametrize(("count", "value_bytes"), [(20, 60_000), (2 * client_connection.MAX_PIPELINE, 0)])
def test_every_request_written_to_a_closing_connection_is_answered_however_much_it_is(
    count: int, value_bytes: int
) -> None:
    # Guards against requests being dropped behind a number of bytes of others that were rejected already.
    async def test() -> None:
        async with held_cache_and_router() as (cache, router):
            reader, writer = await router.dial()
            writer.write(request("first"))
            await cache.request_received()
            (connection,) = router.clients.connections
            router.clients.close_gracefully(even_mid_command=True)
            for number in range(count):
                name = b"late%d" % number
                info = b"c=edit,t=a,d=900,k=" + name
                writer.write(command(b"KV.SET", b"k", name, info, bytes(value_bytes)))
                await asyncio.sleep(0)
            await until(lambda: len(connection.replies) >= min(count + 1, client_connection.MAX_PIPELINE))
            read_at_once = MAX_READ_BYTES // len(request("late1"))
            assert len(connection.replies) <= client_connection.MAX_PIPELINE + read_at_once
            assert router.dispatcher.request_memory.held_bytes < 2 * MAX_BUFFERED_VALUE_BYTES
            cache.release()
            assert await read_to_end(reader) == SERVED + count * REJECTED
            writer.close()

    run(test)


def test_a_client_that_floods_a_closing_connection_is_cut_off_once_its_commands_are_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A client that always has a request on the way would keep its connection for as long as it likes.
    limit = 1 << 10
    monkeypatch.setattr(connection_close, "MAX_INPUT_AFTER_ANSWERS_BYTES", limit)

    async def test() -> None:
        async with held_cache_and_router() as (cache, router):
            reader, writer = await router.dial()
            writer.write(request("first"))
            await cache.request_received()
            (connection,) = router.clients.connections
            router.clients.has_unread_input = lambda _: True
            router.clients.close_gracefully(even_mid_command=True)
            cache.release()
            assert await read_exactly(reader, len(SERVED)) == SERVED
            await until(lambda: connection._pending_close is not None)
            await asyncio.sleep(2 * connection_close.DELIVERY_CHECK_INTERVAL_S)
            flood_request = request("flood")
            for _ in range(limit // len(flood_request) + 1):
                assert not connection.is_lingering
                await write_into_kernel(writer, flood_request)
                assert await read_exactly(reader, len(REJECTED)) == REJECTED
            assert connection.is_lingering
            assert await read_to_end(reader) == b""
            writer.close()

    run(test)
