"""RESP2 clients for the cases of the second review; they read all that they are sent."""

from __future__ import annotations

import asyncio
import os
import socket
import time
from collections import deque
from dataclasses import dataclass, field

from deployment_2 import LATEST_ANSWER_S, Record
from standins_2 import HOST, command

SLOW_RECEIVE_BUFFER_BYTES = 256 << 10
MIN_PAUSE_S = 0.005


@dataclass
class Request:
    """One request of a client, and its answer."""

    id: str
    key: str
    deadline_ms: int
    sent_at: float = 0.0
    """When its last byte was written."""
    answered_at: float = 0.0
    """When the last byte of its answer came; 0: never."""
    answer: str = ""
    waited_until: float = 0.0
    """When the answer before it on its connection came: answers come in the order of the commands, and the
    time for which one waits for those before it does not count (PROTOCOL, "Figures")."""
    data: bytes = field(default=b"", repr=False)

    @property
    def is_lost(self) -> bool:
        """Whether its final answer is missing, or came later than half a second after its time."""
        latest = max(self.sent_at, self.waited_until) + self.deadline_ms / 1000 + LATEST_ANSWER_S
        return not self.answered_at or self.answered_at > latest

    def line(self) -> str:
        """What was sent and answered, for the record."""
        took = f"{(self.answered_at - self.sent_at) * 1000:.0f} ms" if self.answered_at else "never"
        return f"request id={self.id} key={self.key} d={self.deadline_ms} answer={self.answer!r} after {took}"


def new_id() -> str:
    """An id for a request, 16 hex digits."""
    return os.urandom(8).hex()


def fetch(key: str, deadline_ms: int) -> Request:
    """A read."""
    request = Request(new_id(), key, deadline_ms)
    info = f"c=fetch,t=public,d={deadline_ms}"
    request.data = command(b"KV.GET", key.encode(), request.id.encode(), info.encode())
    return request


def publish(key: str, deadline_ms: int, value: bytes) -> Request:
    """A keyed write."""
    request = Request(new_id(), key, deadline_ms)
    info = f"c=publish,t=public,d={deadline_ms},k={new_id()}"
    request.data = command(b"KV.SET", key.encode(), request.id.encode(), info.encode(), value)
    return request


class Client(asyncio.Protocol):
    """A client's connection: writes requests, and matches answers to them in their order."""

    def __init__(self, record: Record, name: str, bytes_per_s: float = 0.0) -> None:
        """`bytes_per_s`: the rate at which the client takes answers; 0: as fast as they come."""
        self.requests: list[Request] = []
        """All that were sent."""
        self.ended_at = 0.0
        """When the router ended the connection; 0: it has not."""
        self.ended = asyncio.Event()
        self._record, self._name = record, name
        self._unanswered: deque[Request] = deque()
        self._last_answer_at = 0.0
        self._buffer = bytearray()
        self._transport: asyncio.Transport | None = None
        self._bytes_per_s = bytes_per_s
        self._read_bytes = 0
        self._reading_since = 0.0

    @classmethod
    async def connect(cls, port: int, record: Record, name: str, bytes_per_s: float = 0.0) -> Client:
        """Connect to the router."""
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setblocking(False)
        if bytes_per_s:  # the machine of such a client has no megabytes of buffers either
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_RECEIVE_BUFFER_BYTES)
        await loop.sock_connect(sock, (HOST, port))
        _, client = await loop.create_connection(lambda: cls(record, name, bytes_per_s), sock=sock)
        return client

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def send(self, *requests: Request) -> None:
        """Write requests in one go."""
        assert self._transport is not None
        now = time.monotonic()
        for request in requests:
            request.sent_at = now
            self.requests.append(request)
            self._unanswered.append(request)
            self._record.write(
                f"{self._name} sends id={request.id} key={request.key} d={request.deadline_ms}"
            )
        self._transport.write(b"".join(request.data for request in requests))

    @property
    def unanswered(self) -> int:
        """The number of requests without an answer so far."""
        return len(self._unanswered)

    def data_received(self, data: bytes) -> None:
        """Take answers, and pause where they come faster than the client's link carries them."""
        if self._bytes_per_s and self._transport is not None:
            now = time.monotonic()
            self._reading_since = self._reading_since or now
            self._read_bytes += len(data)
            ahead_s = self._read_bytes / self._bytes_per_s - (now - self._reading_since)
            if ahead_s > MIN_PAUSE_S:
                self._transport.pause_reading()
                asyncio.get_running_loop().call_later(ahead_s, self._resume)
        self._buffer += data
        position = 0
        while self._unanswered:
            line_end = self._buffer.find(b"\r\n", position)
            if line_end < 0:
                break
            end = line_end + 2
            kind, line = self._buffer[position : position + 1], bytes(self._buffer[position:line_end])
            if kind == b"$" and not line.startswith(b"$-"):
                size = int(line[1:])
                end += size + 2
                if len(self._buffer) < end:
                    break
                line += b" " + bytes(self._buffer[line_end + 2 : line_end + 2 + min(size, 40)])
            position = end
            request = self._unanswered.popleft()
            request.waited_until = self._last_answer_at
            request.answered_at = self._last_answer_at = time.monotonic()
            request.answer = line.decode(errors="replace")
        del self._buffer[:position]

    def _resume(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def eof_received(self) -> bool:
        """Note that the router ends the connection."""
        self._note_end("shut by the router")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the connection has ended."""
        self._note_end(f"ended: {exc}")

    def _note_end(self, how: str) -> None:
        if not self.ended_at:
            self.ended_at = time.monotonic()
            self._record.write(
                f"{self._name}: connection {how}, unanswered requests {len(self._unanswered)}, "
                f"bytes of a partial answer {len(self._buffer)}"
            )
        self.ended.set()

    @property
    def is_open(self) -> bool:
        """Whether the client knows of no end of its connection."""
        return not self.ended_at

    def close(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.close()
