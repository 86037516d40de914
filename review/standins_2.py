"""Stand-ins of the second review: cache servers, the origin and discovery, each a process of its own.

    python standins_2.py cache PORT [--delay-ms N] [--value-bytes N] [--piece-ms N] [--cut-after N]
    python standins_2.py origin PORT [--delay-ms N]
    python standins_2.py discovery PORT --list FILE

All of them listen on 127.0.0.1 and follow PROTOCOL. Each writes what it runs to standard output, a line for a
request: the time (seconds, the machine's monotonic clock), the command, the key, the id and the list of names
and values.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import socket
import struct
import sys
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

HOST = "127.0.0.1"
CRLF = b"\r\n"
LONG_KEY_MARK = "long"
"""Keys with this in them have the long value, where a cache server is told to have one."""


def bulk(value: bytes) -> bytes:
    """Encode a RESP2 bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def command(*words: bytes) -> bytes:
    """Encode a RESP2 command."""
    return b"*%d\r\n%b" % (len(words), b"".join(map(bulk, words)))


def read_command(buffer: bytearray) -> list[bytes] | None:
    """Remove the first whole command from the buffer and return its words; None: it is not whole yet."""
    line_end = buffer.find(CRLF)
    if line_end < 0:
        return None
    words = []
    position = line_end + 2
    for _ in range(int(buffer[1:line_end])):
        line_end = buffer.find(CRLF, position)
        if line_end < 0:
            return None
        size, start = int(buffer[position + 1 : line_end]), line_end + 2
        position = start + size + 2
        if len(buffer) < position:
            return None
        words.append(bytes(buffer[start : start + size]))
    del buffer[:position]
    return words


def reset(transport: asyncio.Transport) -> None:
    """End a connection with a reset."""
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()


def log_run(name: str, key: str, request_id: str, info: str) -> None:
    """Write that a request begins to run."""
    print(f"{time.monotonic():.4f} {name} key={key} id={request_id} info={info}", flush=False)


class CacheConnection(asyncio.Protocol):
    """A connection to a cache server: answers each command in order, after the server's delay."""

    def __init__(self, options: argparse.Namespace) -> None:
        self._options = options
        self._buffer = bytearray()
        self._transport: asyncio.Transport | None = None
        self._last: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Run the commands that are whole."""
        self._buffer += data
        while (words := read_command(self._buffer)) is not None:
            if words[0] == b"PING":
                self._write(b"+PONG\r\n")
                continue
            name, key, request_id, info = (word.decode() for word in words[:4])
            log_run(name, key, request_id, info)
            previous = self._last
            self._last = asyncio.ensure_future(self._answer(key, previous))

    def connection_lost(self, _exc: Exception | None) -> None:
        """Forget the transport."""
        self._transport = None

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    async def _answer(self, key: str, previous: asyncio.Task[None] | None) -> None:
        if previous is not None:
            await previous
        options = self._options
        if options.delay_ms:
            await asyncio.sleep(options.delay_ms / 1000)
        if LONG_KEY_MARK in key and options.long_bytes:
            await self._answer_slowly(key)
            return
        value = f"value of {key} at {options.name} ".encode()
        value += b"x" * (options.value_bytes - len(value))
        self._write(b"*3\r\n" + bulk(value) + bulk(b"hit") + bulk(b"latency_ms=20,queue=0"))

    async def _answer_slowly(self, key: str) -> None:
        """Give a long value in pieces; with `cut_after`, reset the connection after so many bytes."""
        options = self._options
        value = f"value of {key} ".encode()
        value += b"x" * (options.long_bytes - len(value))
        self._write(b"*3\r\n$%d\r\n" % len(value))
        sent = 0
        while sent < len(value):
            if options.cut_after and sent >= options.cut_after and self._transport is not None:
                print(f"{time.monotonic():.4f} RESET key={key} after {sent} bytes", flush=True)
                reset(self._transport)
                return
            piece = value[sent : sent + options.piece_bytes]
            self._write(piece)
            sent += len(piece)
            await asyncio.sleep(options.piece_ms / 1000)
        self._write(CRLF + bulk(b"hit") + bulk(b"latency_ms=20,queue=0"))


class HttpConnection(asyncio.Protocol):
    """A connection to an HTTP/1.1 server: one request at a time."""

    def __init__(self, serve: Callable[[str, str, dict[str, str], bytes], asyncio.Future[bytes]]) -> None:
        self._serve = serve
        self._buffer = bytearray()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def connection_lost(self, _exc: Exception | None) -> None:
        """Forget the transport."""
        self._transport = None

    def data_received(self, data: bytes) -> None:
        """Serve the requests that are whole."""
        self._buffer += data
        while (head_end := self._buffer.find(b"\r\n\r\n")) >= 0:
            lines = self._buffer[:head_end].decode().split("\r\n")
            headers = {line.partition(":")[0].lower(): line.partition(":")[2].strip() for line in lines[1:]}
            end = head_end + 4 + int(headers.get("content-length", "0"))
            if len(self._buffer) < end:
                return
            body = bytes(self._buffer[head_end + 4 : end])
            del self._buffer[:end]
            method, target, _ = lines[0].split(" ")
            self._serve(method, target, headers, body).add_done_callback(self._answer)

    def _answer(self, body: asyncio.Future[bytes]) -> None:
        if self._transport is not None and not self._transport.is_closing() and not body.cancelled():
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body.result())
            self._transport.write(head + body.result())


class Origin:
    """The origin: a value for GET, a receipt for PUT, each after a delay."""

    def __init__(self, options: argparse.Namespace) -> None:
        self._options = options

    def serve(self, method: str, target: str, headers: dict[str, str], _body: bytes) -> asyncio.Future[bytes]:
        """Begin a request; returns its answer's body."""
        log_run(method, target[1:], headers.get("request-id", ""), headers.get("request-info", ""))
        return asyncio.ensure_future(self._run(method, target))

    async def _run(self, method: str, target: str) -> bytes:
        await asyncio.sleep(self._options.delay_ms / 1000)
        return f"{'receipt for' if method == 'PUT' else 'value of'} {target[1:]} ".encode()


class Discovery:
    """An agent beside a router: the list in a file, which doesn't change; watches end without a change."""

    def __init__(self, options: argparse.Namespace) -> None:
        self._instances = json.loads(Path(options.list).read_text())

    def serve(
        self, _method: str, target: str, _headers: dict[str, str], _body: bytes
    ) -> asyncio.Future[bytes]:
        """Begin a call; returns its answer's body."""
        return asyncio.ensure_future(self._run(parse_qs(urlsplit(target).query)))

    async def _run(self, query: dict[str, list[str]]) -> bytes:
        if "index" not in query:
            return json.dumps({"generation": 41, "reset": True, "instances": self._instances}).encode()
        await asyncio.sleep(min(int(query.get("wait", ["0"])[0]), 60_000) / 1000)
        return json.dumps({"generation": 41, "reset": False, "instances": []}).encode()


async def serve(options: argparse.Namespace) -> None:
    """Listen until the process is ended; writes the log out some times a second."""
    loop = asyncio.get_running_loop()
    factories: dict[str, Callable[[], asyncio.Protocol]] = {
        "cache": lambda: CacheConnection(options),
        "origin": partial(HttpConnection, Origin(options).serve),
    }
    if options.role == "discovery":
        factories["discovery"] = partial(HttpConnection, Discovery(options).serve)
    await loop.create_server(factories[options.role], HOST, options.port, backlog=1024)
    while True:
        await asyncio.sleep(0.1)
        sys.stdout.flush()


def main() -> None:
    """Run one stand-in."""
    parser = argparse.ArgumentParser()
    parser.add_argument("role", choices=("cache", "origin", "discovery"))
    parser.add_argument("port", type=int)
    parser.add_argument("--name", default="")
    parser.add_argument("--list")
    parser.add_argument("--delay-ms", type=float, default=5.0)
    parser.add_argument("--value-bytes", type=int, default=200)
    parser.add_argument("--long-bytes", type=int, default=0)
    parser.add_argument("--piece-bytes", type=int, default=32 << 10)
    parser.add_argument("--piece-ms", type=float, default=50.0)
    parser.add_argument("--cut-after", type=int, default=0)
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
