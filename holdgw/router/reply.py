"""The answer to one command of a client: sent as a whole, or streamed as its parts arrive."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

from holdgw.wire.resp import bulk_header

if TYPE_CHECKING:
    from holdgw.router.client_connection import ClientConnection

VALUE_END = b"\r\n"
"""What follows a value in its answer."""
MAX_UNSENT_BYTES = 64 << 10
"""Unsent bytes of answers to a client above which its commands and streamed values are not read."""
STOPPED_AFTER_S = 0.25
"""A value counts as stopped if no part of it has arrived for this time."""
HOLD_CHECK_INTERVAL_S = 0.05
"""Time between two checks whether a stopped value goes on."""


class StreamSource(Protocol):
    """The source of a streamed answer's parts."""

    def pause(self) -> None:
        """Stop delivering parts."""

    def resume(self) -> None:
        """Continue to deliver parts."""

    def give_up(self) -> None:
        """Deliver no more parts; the answer is aborted at once."""


class HoldTimes(NamedTuple):
    """How long a streamed answer is held back for the commands behind it, in seconds since its start."""

    hold_s: float
    """While its value arrives."""
    give_up_s: float
    """While its value has stopped; then the answer is an error."""


class StreamedAnswer:
    """An answer that is written in parts as its source delivers them.

    If a value breaks off after its first part is written, its connection has to be closed, and the commands
    behind it get no answer. While there are such commands the answer is therefore held back, for a limited
    time and as far as the listener has memory for it (`ClientListener.reserve_hold`): a value that breaks off
    meanwhile, or stops for good, becomes an error.
    """

    __slots__ = (
        "complete",
        "give_up_at_s",
        "hold_timer",
        "hold_until_s",
        "last_part_at_s",
        "size_bytes",
        "source",
        "started",
        "unwritten",
        "unwritten_bytes",
    )

    def __init__(self, length: int, source: StreamSource, times: HoldTimes, now_s: float) -> None:
        """Create an answer with a value of `length` bytes; `now_s`: the event loop's time."""
        head = bulk_header(length)
        self.unwritten = deque((head,))
        self.unwritten_bytes = len(head)
        self.source = source
        self.size_bytes = len(head) + length + len(VALUE_END)
        """The size of the whole answer, encoded."""
        self.hold_until_s = now_s + times.hold_s
        self.give_up_at_s = now_s + times.give_up_s
        self.last_part_at_s = now_s
        self.hold_timer: asyncio.TimerHandle | None = None
        self.started = False  # a part is written
        self.complete = False  # its last part has arrived

    def append(self, data: bytes, now_s: float) -> None:
        """Add a part."""
        self.unwritten.append(data)
        self.unwritten_bytes += len(data)
        self.last_part_at_s = now_s

    def is_held(self, connection: ClientConnection) -> bool:
        """Whether the answer is next in turn, and is held back for the sake of the commands behind it."""
        return (
            not (self.started or self.complete)
            and len(connection.replies) > 1
            and connection.replies[0].streamed is self
            and self._has_time(connection.listener.loop.time())
            and self.unwritten_bytes <= connection.listener.reserve_hold(connection, self.size_bytes)
        )

    def _has_time(self, now_s: float) -> bool:
        if self.hold_timer is None:
            # The answer's turn has come, and so far its value may have been paused: its rest needs some time.
            self.hold_until_s = max(self.hold_until_s, now_s + STOPPED_AFTER_S)
            self.give_up_at_s = max(self.give_up_at_s, self.hold_until_s)
        return now_s < self.hold_until_s or self._has_stopped(now_s)

    def _has_stopped(self, now_s: float) -> bool:
        return now_s - self.last_part_at_s >= STOPPED_AFTER_S

    def write(self, connection: ClientConnection, transport: asyncio.Transport) -> bool:
        """Write parts until writing blocks; returns whether the whole answer is written."""
        if self.is_held(connection):
            if self.hold_timer is None:
                loop = connection.listener.loop
                self.hold_timer = loop.call_at(self.hold_until_s, self._check_hold, connection)
            self.source.resume()  # it was paused if the answer had to wait for its turn
            return False
        while self.unwritten and not connection.write_blocked:
            self.started = True
            part = self.unwritten.popleft()
            self.unwritten_bytes -= len(part)
            transport.write(part)
        connection.listener.shrink_hold(connection, self.unwritten_bytes)
        if connection.write_blocked:
            return False
        if not self.complete:
            self.source.resume()
        return self.complete

    def _check_hold(self, connection: ClientConnection) -> None:
        """End the hold: write the answer if its value goes on arriving, and give up one that has stopped."""
        is_next = bool(connection.replies) and connection.replies[0].streamed is self
        if connection.closed or self.started or not is_next:
            return
        loop = connection.listener.loop
        now_s = loop.time()
        if not self._has_stopped(now_s):
            connection.flush()
        elif now_s >= self.give_up_at_s:
            self.source.give_up()
        else:
            check_at_s = min(now_s + HOLD_CHECK_INTERVAL_S, self.give_up_at_s)
            self.hold_timer = loop.call_at(check_at_s, self._check_hold, connection)


class Reply:
    """The answer to one command in its connection's queue.

    Answers are written in the order of the commands, in whichever order they become known.
    """

    __slots__ = ("answer", "connection", "possible_wait_ns", "request", "streamed", "waiting_bytes")

    def __init__(self, connection: ClientConnection) -> None:
        self.connection = connection
        self.possible_wait_ns = 0
        """How long the command may have waited before it was processed, nanoseconds."""
        self.answer: bytes | None = None
        """The encoded answer; None while it is unknown, and where it is streamed."""
        self.streamed: StreamedAnswer | None = None
        """The streamed answer; None where it is sent as a whole."""
        self.waiting_bytes = 0
        """The memory reserved for the answer while it can't be written."""
        self.request: Any = None
        """The request handler's state of the request."""

    def unread_ns(self) -> int:
        """How long ago the command's last bytes arrived, nanoseconds; 0 where the kernel doesn't tell."""
        return self.connection.unread_ns()

    def client_disconnected(self) -> bool:
        """Ask the kernel whether the client has closed its connection; if so, the connection is dropped."""
        return self.connection.check_disconnected()

    def reserve(self, size_bytes: int, can_drop: bool) -> bool:
        """Reserve memory for an answer that may have to wait; returns whether it may be kept.

        `can_drop`: whether the client may get a short answer in place of this one.
        """
        return self.connection.reserve_answer(self, size_bytes, can_drop)

    @property
    def stream_started(self) -> bool:
        """Whether a part of a streamed answer is written."""
        return self.streamed is not None and self.streamed.started

    def send(self, data: bytes) -> None:
        """Send the whole answer, encoded."""
        self.answer = data
        self.request = (
            None  # the answer may have to wait for others, longer than the request's memory is held
        )
        self.connection.flush()

    def start_stream(self, length: int, source: StreamSource, times: HoldTimes) -> None:
        """Start a streamed answer with a value of `length` bytes.

        `source` is paused while the client is slow; `times` bounds how long the answer is held back.
        """
        self.streamed = StreamedAnswer(length, source, times, self._now_s())
        self.connection.flush()

    def resume_stream(self, source: StreamSource) -> None:
        """Continue a streamed answer from another source: the first one can't complete it."""
        assert self.streamed is not None
        self.streamed.source = source

    @property
    def delays_others(self) -> bool:
        """Whether commands wait behind this one, or are arriving."""
        return self.connection.has_commands_behind

    def _now_s(self) -> float:
        return self.connection.listener.loop.time()

    def write_part(self, data: bytes) -> None:
        """Append a part to the streamed answer."""
        assert self.streamed is not None
        self.streamed.append(data, self._now_s())
        self.connection.flush()
        # Without this whole values would be buffered for a slow client.
        is_above_limit = self.streamed.unwritten_bytes > MAX_UNSENT_BYTES
        if self.connection.write_blocked or (is_above_limit and not self.streamed.is_held(self.connection)):
            self.streamed.source.pause()

    def end_stream(self) -> None:
        """End the streamed answer: all parts of its value were appended."""
        assert self.streamed is not None
        self.streamed.append(VALUE_END, self._now_s())
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
            self.connection.listener.end_hold(self.connection)
            self.send(error)

    def send_error(self, message: str) -> None:
        """Answer an invalid command with an error; the commands behind it are served."""
        self.connection.answer_invalid_command(self, message)

    def send_error_and_close(self, message: str) -> None:
        """Answer input that is no command with an error, and close once all earlier commands are answered."""
        self.connection.fail_and_close(self, message)
