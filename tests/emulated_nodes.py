"""Loopback servers (cache, origin, discovery) and an in-process router for the socket tests."""

from __future__ import annotations

import asyncio
import os
import socket
import time
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import suppress
from itertools import count
from typing import Any

import orjson
import uvloop

from holdgw.policy import NS_PER_S, Settings, UpdateKind
from holdgw.router.client_listener import ClientListener
from holdgw.router.connection_pool import ConnectionPool
from holdgw.router.dispatcher import Dispatcher
from holdgw.router.endpoint_list import Clock, read_endpoint_list
from holdgw.router.idle_connections import REST_NS
from holdgw.router.request_memory import DEFAULT_MAX_REQUEST_BYTES
from tests.helpers import settings

LIMIT_S = 60.0  # a step that takes longer is hung, even on a machine with ten times more load than cores

HIT = b"*3\r\n$5\r\nvalue\r\n$3\r\nhit\r\n$-1\r\n"
MISS = b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"
SERVED = b"$5\r\nvalue\r\n"

_addresses_used = count()

Handler = Callable[[list[bytes]], Awaitable[bytes | None]]


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a test on the router's kind of event loop, within a time limit."""
    uvloop.run(asyncio.wait_for(test(), 3 * LIMIT_S))


async def until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds that other tasks bring about."""
    async with asyncio.timeout(LIMIT_S):
        while not condition():
            await asyncio.sleep(0.002)


def unused_address(kind: socket.SocketKind = socket.SOCK_STREAM) -> tuple[str, int]:
    """Return an address that a process under test can bind some time later.

    Its loopback IP is used by this test process only. On 127.0.0.1 the kernel could give the port to a
    connection of another test as its ephemeral port before the process binds it.
    """
    pid, number = os.getpid(), next(_addresses_used)
    ip = f"127.{128 + (pid >> 8) % 120}.{pid % 256}.{1 + number % 250}"
    with socket.socket(type=kind) as sock:
        sock.bind((ip, 0))
        address: tuple[str, int] = sock.getsockname()
    return address


class LoopbackServer:
    """A server on a free loopback port; subclasses serve a connection in `serve`."""

    def __init__(self) -> None:
        self.port = 0
        self.connections = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._writers.add(writer)
        with suppress(OSError, EOFError):
            await self.serve(reader, writer)
        self._writers.discard(writer)
        writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()


class Cache(LoopbackServer):
    """A cache server: `answer` returns the bytes for a command, or None to close the connection."""

    def __init__(self, answer: Handler) -> None:
        super().__init__()
        self.answer = answer
        self.seen: list[list[bytes]] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            words = []
            for _ in range(int((await reader.readuntil(b"\r\n"))[1:])):
                size = int((await reader.readuntil(b"\r\n"))[1:])
                words.append((await reader.readexactly(size + 2))[:-2])
            self.seen.append(words)
            data = await self.answer(words)
            if data is None:
                return
            writer.write(data)


class Origin(LoopbackServer):
    """An origin that closes its first `breaks` connections on a request, and answers others with `data`."""

    def __init__(self, data: bytes) -> None:
        super().__init__()
        self.data = data
        self.breaks = 0
        self.seen = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await reader.readuntil(b"\r\n\r\n")
            self.seen += 1
            if self.breaks:
                self.breaks -= 1
                return
            writer.write(self.data)


class SilentServer(LoopbackServer):
    """An origin that reads and never answers."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while await reader.read(1 << 16):
            pass


class DiscoveryServer(LoopbackServer):
    """A discovery server: a poll gets the full endpoint list at once, a watch gets no answer."""

    def __init__(self, instances: list[dict[str, Any]]) -> None:
        super().__init__()
        self.instances, self.generation = instances, 5
        self.asked = asyncio.Event()
        self.watched = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            if b"index=" in head:
                self.watched.set()
                continue
            self.asked.set()
            self.send_endpoint_list(writer)

    def send_endpoint_list(self, writer: asyncio.StreamWriter) -> None:
        """Answer with the full endpoint list."""
        body = orjson.dumps({"generation": self.generation, "reset": True, "instances": self.instances})
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


def entry(name: str, port: int, kind: str = "std", state: str = "up") -> dict[str, Any]:
    return {
        "instanceId": name,
        "hostPort": f"127.0.0.1:{port}",
        "machineType": kind,
        "lifecycle": state,
        "startedAtMs": 0,
    }


class LoopbackRouter:
    """The parts of a router on the test's event loop, with an endpoint list from the test."""

    def __init__(
        self,
        limit: int = 64,
        config: Settings | None = None,
        hedging: bool = False,
        now: Callable[[], int] = time.monotonic_ns,
        max_request_bytes: int = DEFAULT_MAX_REQUEST_BYTES,
    ) -> None:
        loop = asyncio.get_running_loop()
        self.pool = ConnectionPool(loop, 64, 5.0, 10.0, hedging=hedging)
        self.dispatcher = Dispatcher(loop, config or settings(), 7, self.pool, 1000, now, max_request_bytes)
        self.dispatcher.ready = True
        self.clients = ClientListener(loop, self.dispatcher, limit)
        self.address = ("", 0)

    async def start(self, *instances: dict[str, Any]) -> None:
        body = {"generation": 1, "reset": True, "instances": list(instances)}
        self.dispatcher.apply_endpoint_update(read_endpoint_list(body, Clock(), UpdateKind.FULL))
        self.address = await self.clients.listen(("127.0.0.1", 0))

    async def dial(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(*self.address)

    async def ask(self, data: bytes, size: int) -> bytes:
        """Send `data` on a new connection and read `size` bytes, or fewer up to the end of the connection."""
        reader, writer = await self.dial()
        writer.write(data)
        try:
            return await asyncio.wait_for(reader.readexactly(size), LIMIT_S)
        except asyncio.IncompleteReadError as error:
            return error.partial
        finally:
            writer.close()

    async def connections_rested(self) -> None:
        """Wait until every connection to an endpoint that has no exchange may be used again."""
        await asyncio.sleep(2 * REST_NS / NS_PER_S)

    def stop(self) -> None:
        self.clients.close()
        self.dispatcher.close()
        self.pool.close()


def command(*words: bytes) -> bytes:
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


def read(name: str, key: str = "k", wait: int = 900) -> bytes:
    return command(b"KV.GET", key.encode(), name.encode(), f"c=read,t=a,d={wait}".encode())
