"""The answer to one command of a client: sent as a whole, or streamed as its parts arrive."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from holdgw.router.client_connection import ClientConnection

MAX_UNSENT_BYTES = 64 << 10
"""Unsent bytes of answers to a client above which its commands and streamed values are not read."""
MAX_HELD_BYTES = 512 << 10
"""The most of a streamed value that is held back while commands behind it wait for their answers."""


class StreamSource(Protocol):
    """The source of a streamed answer's parts."""

    def pause(self) -> None:
        """Stop delivering parts."""

    def resume(self) -> None:
        """Continue to deliver parts."""


class StreamedAnswer:
    """An answer that is written in parts as its source delivers them.

    If a value breaks off after its first part is written, its connection has to be closed, and the commands
    behind it get no answer. While there are such commands the answer is therefore held back, for a limited
    time and up to `MAX_HELD_BYTES`: a value that breaks off meanwhile becomes an error.
    """

    __slots__ = (
        "complete",
        "hold_timer",
        "hold_until_s",
        "source",
        "started",
        "unwritten",
        "unwritten_bytes",
    )

    def __init__(self, head: bytes, source: StreamSource, hold_until_s: float) -> None:
        """`hold_until_s`: the event loop's time until which the answer may be held back."""
        self.unwritten = deque((head,))
        self.unwritten_bytes = len(head)
        self.source = source
        self.hold_until_s = hold_until_s
        self.hold_timer: asyncio.TimerHandle | None = None
        self.started = False  # a part is written
        self.complete = False  # its last part has arrived

    def append(self, data: bytes) -> None:
        """Add a part."""
        self.unwritten.append(data)
        self.unwritten_bytes += len(data)

    def is_held(self, connection: ClientConnection) -> bool:
        """Whether the answer is next in turn, and is held back for the sake of the commands behind it."""
        return (
            not (self.started or self.complete)
            and len(connection.replies) > 1
            and connection.replies[0].streamed is self
            and self.unwritten_bytes <= MAX_HELD_BYTES
            and connection.listener.loop.time() < self.hold_until_s
            and connection.listener.may_hold(connection)
        )

    def write(self, connection: ClientConnection, transport: asyncio.Transport) -> bool:
        """Write parts until writing blocks; returns whether the whole answer is written."""
        if self.is_held(connection):
            if self.hold_timer is None:
                loop = connection.listener.loop
                self.hold_timer = loop.call_at(self.hold_until_s, self._stop_holding, connection)
            self.source.resume()  # it was paused if the answer had to wait for its turn
            return False
        connection.listener.holding.pop(connection, None)
        while self.unwritten and not connection.write_blocked:
            self.started = True
            part = self.unwritten.popleft()
            self.unwritten_bytes -= len(part)
            transport.write(part)
        if connection.write_blocked:
            return False
        if not self.complete:
            self.source.resume()
        return self.complete

    def _stop_holding(self, connection: ClientConnection) -> None:
        self.hold_until_s = 0.0
        if not connection.closed:
            connection.flush()


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
        self.request = (
            None  # the answer may have to wait for others, longer than the request's memory is held
        )
        self.connection.flush()

    def start_stream(self, head: bytes, source: StreamSource, max_hold_s: float) -> None:
        """Start a streamed answer with its first bytes; `source` is paused while the client is slow.

        `max_hold_s`: how long the answer may be held back for the sake of commands behind it.
        """
        hold_until_s = self.connection.listener.loop.time() + max_hold_s
        self.streamed = StreamedAnswer(head, source, hold_until_s)
        self.connection.flush()

    def write_part(self, data: bytes) -> None:
        """Append a part to the streamed answer."""
        assert self.streamed is not None
        self.streamed.append(data)
        self.connection.flush()
        # Without this whole values would be buffered for a slow client.
        is_above_limit = self.streamed.unwritten_bytes > MAX_UNSENT_BYTES
        if self.connection.write_blocked or (is_above_limit and not self.streamed.is_held(self.connection)):
            self.streamed.source.pause()

    def end_stream(self, tail: bytes) -> None:
        """Append the last part of the streamed answer."""
        assert self.streamed is not None
        self.streamed.append(tail)
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
            self.connection.listener.holding.pop(self.connection, None)
            self.send(error)

    def send_error(self, message: str) -> None:
        """Answer an invalid command with an error; the commands behind it are served."""
        self.connection.answer_invalid_command(self, message)

    def send_error_and_close(self, message: str) -> None:
        """Answer input that is no command with an error, and close once all earlier commands are answered."""
        self.connection.fail_and_close(self, message)
