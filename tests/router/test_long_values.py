"""Values too long to be held: passed on as they come, from caches and the origin, to clients of any speed."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from holdgw.policy import Outcome, RoutingPolicy, StreamStarted
from holdgw.router import client_connection, streamed_value
from holdgw.wire.http import HttpError, ResponseReader
from holdgw.wire.resp import MAX_BUFFERED_VALUE_BYTES, MAX_VALUE_BYTES
from tests.emulated_nodes import LIMIT_S, MISS, LoopbackRouter, LoopbackServer, command, entry, read, run
from tests.helpers import ended, fleet, only_send, request, sends, settings, started

TAIL = b"\r\n$3\r\nhit\r\n$-1\r\n"
VALUE = bytes(range(256)) * 4096 * 4  # 4 MiB

Writer = asyncio.StreamWriter


class Giver(LoopbackServer):
    """A cache or an origin that gives each answer by a function of its own, then reads on."""

    def __init__(self, *answers: Callable[[Writer], Coroutine[Any, Any, bool]], http: bool = False) -> None:
        super().__init__()
        self.answers, self.http = list(answers), http
        self.left = asyncio.Event()

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
            self.left.set()


def gives(*parts: bytes, stays: bool = True) -> Callable[[Writer], Coroutine[Any, Any, bool]]:
    async def answer(writer: Writer) -> bool:
        for part in parts:
            writer.write(part)
            await writer.drain()
        return stays

    return answer


def head(length: int) -> bytes:
    return b"*3\r\n$%d\r\n" % length


class Scene:
    """A router between one cache, an origin, and the clients of a test."""

    def __init__(self, cache: Giver, origin: Giver | None = None) -> None:
        self.cache, self.origin, self.node = cache, origin, LoopbackRouter()

    async def __aenter__(self) -> Scene:
        await self.cache.start()
        listed = [entry("s1", self.cache.port)]
        if self.origin is not None:
            await self.origin.start()
            listed.append(entry("o1", self.origin.port, "origin"))
        await self.node.start(*listed)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.node.stop()
        self.cache.stop()
        if self.origin is not None:
            self.origin.stop()

    async def ask(self, *names: str, wait: int = 900) -> tuple[asyncio.StreamReader, Writer]:
        reader, writer = await self.node.dial()
        writer.write(b"".join(read(name, f"key-{name}", wait) for name in names))
        return reader, writer

    async def at_rest(self) -> None:
        """Wait until nothing of a request or a long value is left in any table."""
        while True:
            tables = {**self.node.dispatcher.tables(), **self.node.pool.tables()}
            kept = (
                "requests",
                "policy_requests",
                "policy_coalesced_fetches",
                "streams",
                "bytes_held",
                "waiting",
            )
            if not any(tables[name] for name in kept):
                return
            await asyncio.sleep(0.01)


async def took(reader: asyncio.StreamReader, size: int) -> bytes:
    return await asyncio.wait_for(reader.readexactly(size), LIMIT_S)


async def rest(reader: asyncio.StreamReader) -> bytes:
    return await asyncio.wait_for(reader.read(), LIMIT_S)


def bulk(value: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(value), value)


@pytest.mark.parametrize("size", [MAX_BUFFERED_VALUE_BYTES, MAX_BUFFERED_VALUE_BYTES + 1, len(VALUE)])
def test_a_value_comes_whole_whatever_its_length_and_the_connection_serves_on(size: int) -> None:
    async def test() -> None:
        value = VALUE[:size]
        pieces = [head(size)[:5], head(size)[5:] + value[:7], value[7:-1], value[-1:] + TAIL[:1], TAIL[1:]]
        async with Scene(Giver(gives(*pieces), gives(head(5) + b"short" + TAIL))) as scene:
            reader, writer = await scene.ask("a", "b")
            assert await took(reader, len(bulk(value))) == bulk(value)
            assert await took(reader, 11) == bulk(b"short")
            writer.close()
            await scene.at_rest()
            assert scene.node.dispatcher.metrics.text(0, 0, 0).count(b'succeeded"} 2') == 1

    run(test)


def test_the_first_bytes_go_on_before_the_last_come_and_no_deadline_ends_them() -> None:
    async def test() -> None:
        go = asyncio.Event()

        async def slowly(writer: Writer) -> bool:
            writer.write(head(len(VALUE)) + VALUE[:1000])
            await go.wait()
            writer.write(VALUE[1000:] + TAIL)
            return True

        async with Scene(Giver(slowly)) as scene:
            reader, writer = await scene.ask("a", wait=150)
            begin = b"$%d\r\n" % len(VALUE) + VALUE[:1000]
            assert await took(reader, len(begin)) == begin
            await asyncio.sleep(0.3)  # its client's time is up, and the sweep has been round
            assert scene.node.dispatcher.outstanding == 1
            go.set()
            assert await took(reader, len(VALUE) - 998) == VALUE[1000:] + b"\r\n"
            writer.close()
            await scene.at_rest()

    run(test)


def test_a_client_that_does_not_take_its_value_holds_back_the_server_and_not_memory() -> None:
    async def test() -> None:
        gone = 0

        async def all_of_it(writer: Writer) -> bool:
            nonlocal gone
            writer.write(head(MAX_VALUE_BYTES))
            for _ in range(MAX_VALUE_BYTES // (64 << 10)):
                writer.write(VALUE[: 64 << 10])
                await writer.drain()
                gone += 64 << 10
            writer.write(TAIL)
            return True

        async with Scene(Giver(all_of_it)) as scene:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_connect(sock, scene.node.address)
            reader, writer = await asyncio.open_connection(sock=sock, limit=4096)
            writer.write(read("slow"))
            assert await took(reader, 4) == b"$167"
            seen = -1
            while seen != gone:  # until nothing moves any more
                seen = gone
                await asyncio.sleep(0.2)
            assert gone < MAX_VALUE_BYTES // 2
            (connection,) = scene.node.clients.connections
            assert connection.transport is not None
            assert connection.transport.get_write_buffer_size() < 1 << 20
            length = 0
            while length < MAX_VALUE_BYTES:
                length += len(await asyncio.wait_for(reader.read(1 << 20), LIMIT_S))
            writer.close()
            await scene.at_rest()

    run(test)


@pytest.mark.parametrize(
    "parts",
    [
        (head(len(VALUE)), VALUE[:500_000]),
        (head(len(VALUE) - 9), VALUE, TAIL),
    ],
    ids=["broken off", "longer than it says"],
)
def test_a_value_that_cannot_be_finished_closes_the_clients_connection(parts: tuple[bytes, ...]) -> None:
    async def test() -> None:
        async with Scene(Giver(gives(*parts, stays=False))) as scene:
            reader, writer = await scene.ask("a")
            came = await rest(reader)
            assert came.startswith(b"$")
            assert not came.endswith(b"\r\n")
            writer.close()
            await scene.at_rest()
            assert scene.cache.connections == 1
            assert b'aborted"} 1' in scene.node.dispatcher.metrics.text(0, 0, 0)

    run(test)


def test_one_that_breaks_before_its_turn_is_an_error_in_its_place() -> None:
    async def test() -> None:
        go = asyncio.Event()

        async def later(writer: Writer) -> bool:
            await go.wait()
            writer.write(head(5) + b"first" + TAIL)
            return True

        async def breaks(writer: Writer) -> bool:
            writer.write(head(len(VALUE)) + VALUE[:100])
            return False

        async with Scene(Giver(later, breaks, gives(head(5) + b"third" + TAIL))) as scene:
            reader, writer = await scene.ask("a")
            while not scene.cache.connections:
                await asyncio.sleep(0.01)
            writer.write(read("b", "key-b"))
            while b'aborted"} 1' not in scene.node.dispatcher.metrics.text(0, 0, 0):
                await asyncio.sleep(0.01)
            go.set()
            assert await took(reader, 11) == bulk(b"first")
            assert await took(reader, 13) == b"-ERR failed\r\n"
            writer.write(read("c", "key-c"))
            assert await took(reader, 11) == bulk(b"third")
            writer.close()

    run(test)


def test_a_client_holds_its_server_back_though_that_server_drains_meanwhile() -> None:
    # Found on reading: a connection of a server that drains was not paused, and its value piled up here.
    async def test() -> None:
        go = asyncio.Event()

        async def all_of_it(writer: Writer) -> bool:
            writer.write(head(MAX_VALUE_BYTES) + VALUE[:100])
            await go.wait()
            for _ in range(4):
                writer.write(VALUE)
                await writer.drain()
            return True

        async with Scene(Giver(all_of_it)) as scene:
            reader, writer = await scene.ask("a")
            await took(reader, 50)
            scene.node.pool.remove_endpoint("s1")
            (connection,) = scene.node.clients.connections
            connection.pause_writing()
            go.set()
            (upstream,) = scene.node.pool._endpoints["s1"].connections
            while upstream.exchange is not None and not upstream.reading_paused:
                await asyncio.sleep(0.01)
            assert upstream.reading_paused
            writer.transport.abort()
            await scene.at_rest()

    run(test)


def test_what_stands_behind_a_value_is_read_though_its_client_was_slow() -> None:
    # Found on reading: a client that took its last bytes late left the server's side paused for ever.
    async def test() -> None:
        last, tail = asyncio.Event(), asyncio.Event()

        async def in_three(writer: Writer) -> bool:
            writer.write(head(len(VALUE)) + VALUE[:-10])
            await last.wait()
            writer.write(VALUE[-10:] + TAIL[:2])
            await tail.wait()
            writer.write(TAIL[2:])
            return True

        async with Scene(Giver(in_three)) as scene:
            reader, writer = await scene.ask("a")
            begin = len(bulk(VALUE)) - 12
            await took(reader, begin)
            (connection,) = scene.node.clients.connections
            connection.pause_writing()
            last.set()
            while b'succeeded"} 1' not in scene.node.dispatcher.metrics.text(0, 0, 0):
                await asyncio.sleep(0.01)
            connection.resume_writing()
            assert await took(reader, 12) == VALUE[-10:] + b"\r\n"
            tail.set()
            await asyncio.wait_for(scene.at_rest(), LIMIT_S)
            writer.close()

    run(test)


def test_a_client_that_leaves_midway_ends_the_servers_sending() -> None:
    async def test() -> None:
        async with Scene(Giver(gives(head(MAX_VALUE_BYTES), VALUE, VALUE))) as scene:
            reader, writer = await scene.ask("a")
            await took(reader, 10)
            writer.transport.abort()
            await asyncio.wait_for(scene.cache.left.wait(), LIMIT_S)
            await scene.at_rest()

    run(test)


@pytest.mark.sources_only
def test_a_server_that_gives_nothing_more_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(streamed_value, "STREAM_STALL_NS", 200_000_000)

    async def test() -> None:
        async with Scene(Giver(gives(head(len(VALUE)), VALUE[:1000]))) as scene:
            reader, writer = await scene.ask("a")
            assert len(await rest(reader)) < len(VALUE)
            writer.close()
            await scene.at_rest()

    run(test)


def test_a_client_that_takes_nothing_of_its_value_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client_connection, "STREAM_STALL_TIMEOUT_S", 0.2)

    async def test() -> None:
        async with Scene(Giver(gives(head(MAX_VALUE_BYTES), *[VALUE] * 4, TAIL))) as scene:
            _, writer = await scene.ask("a")
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            await asyncio.wait_for(scene.cache.left.wait(), LIMIT_S)
            await scene.at_rest()
            assert not scene.node.clients.connection_count
            writer.close()

    run(test)


# The origin


def page(value: bytes, *headers: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\n%b\r\n\r\n%b" % (b"\r\n".join(headers), value)


def chunks(value: bytes) -> bytes:
    return b"%x\r\n%b\r\n0\r\n\r\n" % (len(value), value)


@pytest.mark.parametrize(
    ("told", "stays"),
    [
        (page(VALUE, b"Content-Length: %d" % len(VALUE)), True),
        (page(VALUE, b"Content-Length: %d  " % len(VALUE), b"X-Note: " + b"n" * 9000), True),
        (page(chunks(VALUE), b"Transfer-Encoding: chunked"), True),
        (page(VALUE, b"Connection: close"), False),
    ],
    ids=["length", "length and spaces", "chunks", "to the close"],
)
def test_the_origins_long_values_come_whole(told: bytes, stays: bool) -> None:
    async def test() -> None:
        origin = Giver(gives(told[:100], told[100:], stays=stays), http=True)
        async with Scene(Giver(gives(MISS)), origin) as scene:
            reader, writer = await scene.ask("a")
            assert await took(reader, len(bulk(VALUE))) == bulk(VALUE)
            writer.close()
            await scene.at_rest()

    run(test)


@pytest.mark.parametrize(
    "told",
    [
        page(b"x" * 100),  # neither a length nor a word that the close ends it
        page(VALUE[:100], b"Content-Length: %d" % (MAX_VALUE_BYTES + 1)),
        page(chunks(VALUE * 3), b"Transfer-Encoding: chunked"),  # more than there is room to hold
    ],
    ids=["no length", "too long", "no room"],
)
def test_a_page_that_can_neither_be_passed_on_nor_held_is_none(told: bytes) -> None:
    async def test() -> None:
        origin = Giver(*[gives(told, stays=False)] * 4, http=True)
        async with Scene(Giver(*[gives(MISS)] * 4), origin) as scene:
            reader, writer = await scene.ask("a")
            assert (await took(reader, 4)) in (b"-ERR", b"-BUS")
            writer.close()
            await scene.at_rest()

    run(test)


def test_a_body_that_ends_with_its_connection_is_whole_only_by_a_good_end() -> None:
    reader = ResponseReader(1000)
    assert not reader.read(page(b"abc", b"Connection: close"))
    assert reader.connection_closed()
    assert (reader.status, bytes(reader.body)) == (200, b"abc")
    assert not reader.finish_response()
    assert not reader.connection_closed()
    with pytest.raises(HttpError):
        ResponseReader(1000).read(page(b"abc"))


# Decisions


def test_a_value_under_way_is_no_load_and_frees_those_who_wait_for_its_key() -> None:
    router: RoutingPolicy = started(settings(), fleet(1))
    first = only_send(router.handle(request("a"), 1))
    fetch = only_send(router.handle(ended(first, Outcome.MISS), 2))
    second = only_send(router.handle(request("b"), 3))
    assert not sends(router.handle(ended(second, Outcome.MISS), 4))  # it waits for the fetch
    load = [node.in_flight for node in router._origins.endpoints.values()]
    again = only_send(router.handle(StreamStarted("a", 1), 5))
    assert (again.request_id, again.endpoint_id) == ("b", second.endpoint_id)
    assert [node.in_flight for node in router._origins.endpoints.values()] == [load[0] - 1]
    assert not router.handle(StreamStarted("a", 1), 6)  # told twice, it counts once
    router.handle(ended(fetch, Outcome.OK, attempt=1), 7)
    assert [node.in_flight for node in router._origins.endpoints.values()] == [0]
    assert not router.handle(StreamStarted("gone", 1), 8)


def test_a_long_command_is_still_none() -> None:
    async def test() -> None:
        async with Scene(Giver()) as scene:
            data = command(b"KV.SET", b"k", b"id", b"c=edit,d=500,k=1", b"x" * (MAX_BUFFERED_VALUE_BYTES + 1))
            assert (await scene.node.ask(data, 4)) == b"-ERR"

    run(test)
