"""What a client still gets as the router closes its connection, and what the router logs."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable

import pytest

from holdgw.router import client_connection, client_listener, connection_close
from holdgw.router.connection_close import CloseCause, ConnectionEnd
from tests.emulated_nodes import LIMIT_S, Cache, LoopbackRouter, entry, read, run, until


@pytest.mark.parametrize(
    ("end", "is_logged"),
    [
        (ConnectionEnd(CloseCause.SHUTDOWN, 1, 0, 0, 0), True),
        (ConnectionEnd(CloseCause.IDLE, 0, 0, 0, 80), True),
        (ConnectionEnd(CloseCause.EVICTED, 0, 0, 5, 0), True),
        (ConnectionEnd(CloseCause.FAULT, 0, 7, 0, 0), True),
        (ConnectionEnd(CloseCause.SHUTDOWN, 0, 0, 0, 0), False),
        (ConnectionEnd(CloseCause.CLIENT_LEFT, 3, 9, 5, 1), False),
    ],
)
def test_a_close_by_the_router_is_logged_if_something_is_left_over(
    end: ConnectionEnd, is_logged: bool, caplog: pytest.LogCaptureFixture
) -> None:
    with caplog.at_level(logging.WARNING, "holdgw"):
        end.log()
    assert [record.getMessage() for record in caplog.records] == (
        [
            f"client connection closed cause={end.cause.value} unanswered={end.unanswered} "
            f"buffered_bytes={end.buffered_bytes} unsent_bytes={end.unsent_bytes} "
            f"discarded_bytes={end.discarded_bytes}"
        ]
        if is_logged
        else []
    )


def test_requests_that_the_end_of_the_process_leaves_unanswered_are_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def test() -> None:
        request_received, answers_released = asyncio.Event(), asyncio.Event()

        async def answer(_: list[bytes]) -> bytes:
            request_received.set()
            await answers_released.wait()
            return b""

        cache, router = Cache(answer), LoopbackRouter()
        await cache.start()
        await router.start(entry("s1", cache.port))
        asked = asyncio.create_task(router.ask(read("r1") + read("r2", "k2") + b"*4\r\n", 1000))
        await asyncio.wait_for(request_received.wait(), LIMIT_S)
        router.stop()
        assert await asyncio.wait_for(asked, LIMIT_S) == b""
        answers_released.set()
        cache.stop()

    with caplog.at_level(logging.WARNING, "holdgw"):
        run(test)
    lines = [record.getMessage() for record in caplog.records]
    assert [line for line in lines if line.startswith("client connection")] == [
        "client connection closed cause=shutdown unanswered=2 buffered_bytes=4 unsent_bytes=0 "
        "discarded_bytes=0"
    ]


# Answers that the kernel still holds

VALUE = b"v" * 65536
ANSWERS = 5
SMALL_BUFFER_BYTES, LARGE_BUFFER_BYTES = 64 << 10, 1 << 20
REJECTED = b"-BUSY\r\n"


class SlowReader:
    """A client that takes nothing of its answers until it is told to, and a router that has written them."""

    def __init__(self, limit: int = 64) -> None:
        self.cache, self.router = Cache(self._answer), LoopbackRouter(limit)

    async def _answer(self, _: list[bytes]) -> bytes:
        return b"*1\r\n$%d\r\n%b\r\n" % (len(VALUE), VALUE)

    async def __aenter__(self) -> SlowReader:
        await self.cache.start()
        await self.router.start(entry("s1", self.cache.port))
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        self.socket.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self.socket, self.router.address)
        await until(lambda: self.router.clients.connection_count == 1)
        (self.connection,) = self.router.clients.connections
        assert self.connection.transport is not None
        router_socket = self.connection.transport.get_extra_info("socket")
        router_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, LARGE_BUFFER_BYTES)
        for number in range(ANSWERS):
            await loop.sock_sendall(self.socket, read(f"r{number}"))
            await until(lambda: len(self.cache.seen) == number + 1 and not self.connection.replies)  # noqa: B023
        await until(lambda: not self.connection.unsent_bytes)
        assert self.connection.undelivered_bytes > SMALL_BUFFER_BYTES
        return self

    async def __aexit__(self, *_: object) -> None:
        self.socket.close()
        self.router.stop()
        self.cache.stop()

    async def send(self, data: bytes) -> None:
        await asyncio.get_running_loop().sock_sendall(self.socket, data)

    async def read_to_end(self) -> bytes:
        """Read up to the end of the connection; raises ConnectionResetError on a reset."""
        received = bytearray()
        async with asyncio.timeout(LIMIT_S):
            while data := await asyncio.get_running_loop().sock_recv(self.socket, 1 << 16):
                received += data
        return bytes(received)


def shut_down(client: SlowReader) -> None:
    client.router.clients.close_gracefully(even_mid_command=True)


def shut_down_early(client: SlowReader) -> None:
    client.router.clients.close_gracefully(even_mid_command=False)


def pass_idle_timeout(client: SlowReader) -> None:
    now_s = asyncio.get_running_loop().time()
    client.connection.enforce_timeouts(now_s, idle_timeout_s=0.0)


def exceed_idle_connections(client: SlowReader) -> None:
    client.router.clients._bound_idle_connections(asyncio.get_running_loop().time())


CLOSES: dict[str, Callable[[SlowReader], None]] = {
    "shutdown": shut_down,
    "shutdown, between requests": shut_down_early,
    "idle timeout": pass_idle_timeout,
    "too many idle connections": exceed_idle_connections,
}


@pytest.mark.parametrize("cause", CLOSES)
def test_a_client_that_takes_its_answers_slowly_gets_them_whole_before_the_close(
    cause: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a reset over answers that the kernel still holds, as their client goes on sending.
    monkeypatch.setattr(connection_close, "LINGER_TIMEOUT_S", 0.05)
    monkeypatch.setattr(client_listener, "MAX_IDLE_FRACTION", 0.0)
    monkeypatch.setattr(client_listener, "MIN_IDLE_S", 0.0)

    async def test() -> None:
        async with SlowReader() as client:
            await asyncio.sleep(0.02)  # it has been idle for a moment
            for number in range(8):
                CLOSES[cause](client)
                await asyncio.sleep(connection_close.LINGER_TIMEOUT_S)
                await client.send(read(f"later{number}"))
            reading = asyncio.create_task(client.read_to_end())
            while not reading.done():
                CLOSES[cause](client)
                await asyncio.sleep(0.01)
            served = b"$%d\r\n%b\r\n" % (len(VALUE), VALUE)
            assert await reading == ANSWERS * served + 8 * (REJECTED if cause == "shutdown" else served)

    run(test)


def test_a_client_that_is_not_done_with_its_answers_is_not_evicted(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a new connection that takes the place of one whose answers are still on the way.
    monkeypatch.setattr(connection_close, "LINGER_TIMEOUT_S", 0.05)

    async def test() -> None:
        async with SlowReader(limit=1) as client:
            assert await client.router.ask(read("new"), len(REJECTED)) == REJECTED
            await asyncio.sleep(4 * connection_close.LINGER_TIMEOUT_S)
            assert not client.connection.closed
            await client.send(read("later"))
            size = (ANSWERS + 1) * len(b"$%d\r\n%b\r\n" % (len(VALUE), VALUE))
            received = 0
            async with asyncio.timeout(LIMIT_S):
                while received < size:
                    received += len(await asyncio.get_running_loop().sock_recv(client.socket, 1 << 16))
            assert received == size

    run(test)


def test_a_client_that_takes_nothing_is_closed_though_answers_are_on_their_way(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against connections that a client keeps for good by not reading.
    monkeypatch.setattr(client_connection, "WRITE_STALL_TIMEOUT_S", 0.4)

    async def test() -> None:
        async with SlowReader() as client:
            client.router.clients.close_gracefully(even_mid_command=True)
            await until(lambda: client.connection.closed)

    run(test)
