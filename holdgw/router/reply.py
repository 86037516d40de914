"""The answer to one command of a client: sent as a whole, or streamed as its parts arrive."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from holdgw.router.client_connection import ClientConnection

MAX_UNSENT_BYTES = 64 << 10
"""Unsent bytes of answers to a client above which its commands and streamed values are not read."""


class StreamSource(Protocol):
    """The source of a streamed answer's parts."""

    def pause(self) -> None:
        """Stop delivering parts."""

    def resume(self) -> None:
        """Continue to deliver parts."""


class StreamedAnswer:
    """An answer that is written in parts as its source delivers them."""

    __slots__ = ("complete", "source", "started", "unwritten")

    def __init__(self, head: bytes, source: StreamSource) -> None:
        self.unwritten = deque((head,))
        self.source = source
        self.started = False  # a part is written
        self.complete = False  # its last part has arrived

    def write(self, connection: ClientConnection, transport: asyncio.Transport) -> bool:
        """Write parts until writing blocks; returns whether the whole answer is written."""
        while self.unwritten and not connection.write_blocked:
            self.started = True
            transport.write(self.unwritten.popleft())
        if connection.write_blocked:
            return False
        if not self.complete:
            self.source.resume()
        return self.complete


class Reply:
    """The answer to one command in its connection's queue.

    Answers are written in the order of the commands, in whichever order they become known.
    """

    __slots__ = ("answer", "connection", "possible_wait_ns", "request", "streamed")

    def __init__(self, connection: ClientConnection) -> None:
        self.connection = connection
        self.possible_wait_ns = connection.possible_wait_ns
        """How long the command may have waited before this process could read it, nanoseconds."""
        self.answer: bytes | None = None
        """The encoded answer; None while it is unknown, and where it is streamed."""
        self.streamed: StreamedAnswer | None = None
        """The streamed answer; None where it is sent as a whole."""
        self.request: Any = None
        """The request handler's state of the request."""

    def unread_ns(self) -> int:
        """How long ago the command's last bytes arrived, nanoseconds; 0 where the kernel doesn't tell."""
        return self.connection.unread_ns()

    def client_disconnected(self) -> bool:
        """Ask the kernel whether the client has closed its connection; if so, the connection is dropped."""
        return self.connection.check_disconnected()

    def send(self, data: bytes) -> None:
        """Send the whole answer, encoded."""
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
        # Without this whole values would be buffered for a slow client.
        if self.connection.write_blocked or sum(map(len, self.streamed.unwritten)) > MAX_UNSENT_BYTES:
            self.streamed.source.pause()

    def end_stream(self, tail: bytes) -> None:
        """Append the last part of the streamed answer."""
        assert self.streamed is not None
        self.streamed.unwritten.append(tail)
        self.streamed.complete = True
        self.connection.flush()

    def abort_stream(self, error: bytes) -> None:
        """End a streamed answer that can't be completed.

        The client gets the encoded `error` if no part of the answer is written yet; else its connection is
        closed.
        """
        assert self.streamed is not None
        if self.streamed.started:
            self.connection.close_amid_answer()
        else:
            self.streamed = None
            self.send(error)

    def send_error_and_close(self, message: str) -> None:
        """Answer an invalid command with an error, and close once all earlier commands are answered.

        A client that keeps sending invalid commands would take processing time from others' requests. To
        continue after its error, a client has to reconnect.
        """
        self.connection.fail_and_close(self, message)
