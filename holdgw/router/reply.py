"""The answer that one command of a client is owed: sent at once, or streamed as its parts arrive."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from holdgw.router.client_connection import ClientConnection

MAX_UNSENT_BYTES = 64 << 10
"""Bytes of answers that the kernel has not taken, past which nothing more is read for a client."""


class StreamSource(Protocol):
    """Where the parts of a streamed answer come from."""

    def pause(self) -> None:
        """Deliver no more parts for now."""

    def resume(self) -> None:
        """Deliver parts again."""


class StreamedAnswer:
    """An answer that is written in parts, as they come from its source."""

    __slots__ = ("complete", "source", "started", "unwritten")

    def __init__(self, head: bytes, source: StreamSource) -> None:
        self.unwritten = deque((head,))
        self.source = source
        self.started = False  # some of it is written
        self.complete = False  # its last part has arrived

    def write(self, connection: ClientConnection, transport: asyncio.Transport) -> bool:
        """Write the parts that the client accepts; returns whether the last of them is written."""
        while self.unwritten and not connection.write_blocked:
            self.started = True
            transport.write(self.unwritten.popleft())
        if connection.write_blocked:
            return False
        if not self.complete:
            self.source.resume()
        return self.complete


class Reply:
    """The place of one command's answer among the answers of its connection.

    Answers are written in the order of the commands, whichever comes first.
    """

    __slots__ = ("answer", "connection", "possible_wait_ns", "request", "streamed")

    def __init__(self, connection: ClientConnection) -> None:
        self.connection = connection
        self.possible_wait_ns = connection.possible_wait_ns
        """For how long the command may have waited before this process could read it, nanoseconds."""
        self.answer: bytes | None = None
        """The encoded answer, once it is known."""
        self.streamed: StreamedAnswer | None = None
        """The answer where it is streamed; `answer` stays None then."""
        self.request: Any = None
        """The request handler's own record of the request."""

    def unread_ns(self) -> int:
        """How long ago the command's last bytes arrived, nanoseconds; 0 where the kernel doesn't tell."""
        return self.connection.unread_ns()

    def client_disconnected(self) -> bool:
        """Ask the kernel whether the client has closed its connection; if so the connection is dropped."""
        return self.connection.check_disconnected()

    def send(self, data: bytes) -> None:
        """Give the whole answer, encoded."""
        self.answer = data
        self.connection.flush()

    def start_stream(self, head: bytes, source: StreamSource) -> None:
        """Start a streamed answer with its first bytes; `source` is paused while the client is slow."""
        self.streamed = StreamedAnswer(head, source)
        self.connection.flush()

    def write_part(self, data: bytes) -> None:
        """Append a part to the streamed answer."""
        assert self.streamed is not None
        self.streamed.unwritten.append(data)
        self.connection.flush()
        # Without this a slow client would make whole values pile up in memory.
        if self.connection.write_blocked or sum(map(len, self.streamed.unwritten)) > MAX_UNSENT_BYTES:
            self.streamed.source.pause()

    def end_stream(self, tail: bytes) -> None:
        """Append the last part of the streamed answer."""
        assert self.streamed is not None
        self.streamed.unwritten.append(tail)
        self.streamed.complete = True
        self.connection.flush()

    def abort_stream(self, error: bytes) -> None:
        """End a streamed answer whose rest won't come: by the encoded error, or by closing the connection.

        An error can be sent only while nothing of the answer is written.
        """
        assert self.streamed is not None
        if self.streamed.started:
            self.connection.close_amid_answer()
        else:
            self.streamed = None
            self.send(error)

    def send_error_and_close(self, message: str) -> None:
        """Answer an invalid command, and close the connection behind the answers that are due before it.

        A client that keeps sending invalid commands would cost the time of others' requests. One that means
        to go on after its own error has to reconnect.
        """
        self.connection.fail_and_close(self, message)
