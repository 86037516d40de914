"""The end of a client's connection: its cause and what it leaves unanswered, and the lingering close.

In a lingering close the router shuts down its side, then waits for the client to close its own.

Closing a socket with unread bytes resets the connection, and the reset may discard the last answer before
the client reads it. Input is therefore read and discarded until the client closes its side (RFC 9112, section
9.6, describes the same for HTTP).
"""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from holdgw.router.client_connection import ClientConnection

LINGER_TIMEOUT_S = 0.5
"""How long a client may take to close its side; meanwhile the connection holds a descriptor."""
MAX_DISCARDED_BYTES = 256 << 10
"""Input that is read and discarded meanwhile; more stays in the kernel's buffers."""
MAX_INPUT_AFTER_ANSWERS_BYTES = 256 << 10
"""Input for which a close is put off once the client has the answers to all earlier commands."""
DELIVERY_CHECK_INTERVAL_S = 0.05
"""Time between two checks whether a client that is about to be closed has its last answers."""

log = logging.getLogger("holdgw")


class CloseCause(Enum):
    """Why a client's connection ends."""

    CLIENT_LEFT = "client left"
    INVALID_COMMAND = "invalid command"
    IDLE = "idle"
    EVICTED = "evicted"
    OVER_LIMIT = "over the connection limit"
    SHUTDOWN = "shutdown"
    HANDED_OVER = "handed over"
    BROKEN_VALUE = "streamed value broke off"
    WRITE_STALL = "client accepts nothing"
    UNSENT_LIMIT = "unsent answers over the limit"
    FAULT = "fault"


UNLOGGED_CAUSES = frozenset({CloseCause.CLIENT_LEFT, CloseCause.INVALID_COMMAND, CloseCause.OVER_LIMIT})
"""Causes that clients bring about, as often as they like."""


@dataclass(frozen=True, slots=True)
class ConnectionEnd:
    """The state of a client's connection when it ends."""

    cause: CloseCause
    unanswered: int
    """Commands whose answers were not written."""
    buffered_bytes: int
    """Input that was read and not processed."""
    unsent_bytes: int
    """Bytes of answers that the kernel had not accepted."""
    discarded_bytes: int
    """Input that arrived after the router had shut down its side."""

    @property
    def is_clean(self) -> bool:
        """Whether nothing was left over."""
        return not (self.unanswered or self.buffered_bytes or self.unsent_bytes or self.discarded_bytes)

    def log(self) -> None:
        """Write a line if the router closed the connection and something was left over."""
        if self.is_clean or self.cause in UNLOGGED_CAUSES:
            return
        log.warning(
            "client connection closed cause=%s unanswered=%d buffered_bytes=%d unsent_bytes=%d "
            "discarded_bytes=%d",
            self.cause.value.replace(" ", "_"),
            self.unanswered,
            self.buffered_bytes,
            self.unsent_bytes,
            self.discarded_bytes,
        )


class PendingClose:
    """A close whose connection has answered all commands but those that still come, which are rejected.

    It waits until the client has the answers, and until no input is unread; a client that floods is cut off.
    """

    __slots__ = ("_input_bytes", "_is_delivered", "_rejection_bytes")

    def __init__(self) -> None:
        self._rejection_bytes = 0
        self._input_bytes = 0  # since the client has the answers to all earlier commands
        self._is_delivered = False

    def rejection_written(self, size_bytes: int) -> None:
        """Count an answer to a command that came too late."""
        self._rejection_bytes += size_bytes

    def input_received(self, size_bytes: int) -> None:
        """Count input, for which the close is put off."""
        if self._is_delivered:
            self._input_bytes += size_bytes

    def is_flooded(self, undelivered_bytes: int) -> bool:
        """Whether only a client that goes on sending delays the close, and has done so for long.

        `undelivered_bytes`: the bytes of answers that the client's machine has not acknowledged. It
        acknowledges them in their order, and the last ones are those of rejections.
        """
        self._is_delivered = undelivered_bytes <= self._rejection_bytes
        return self._is_delivered and self._input_bytes > MAX_INPUT_AFTER_ANSWERS_BYTES


class LingeringClose:
    """Discards input until the client closes its side, and aborts the connection after a timeout."""

    __slots__ = ("_connection", "_loop", "_timer", "discarded_bytes")

    def __init__(self, connection: ClientConnection, loop: asyncio.AbstractEventLoop) -> None:
        self._connection = connection
        self._loop = loop
        self.discarded_bytes = 0
        """Input received since the start of the close."""
        self._timer = loop.call_later(LINGER_TIMEOUT_S, self._timed_out)

    def discard(self, size_bytes: int) -> None:
        """Count input that is discarded."""
        self.discarded_bytes += size_bytes

    @property
    def accepts_input(self) -> bool:
        """Whether more input should be read and discarded.

        A reset over unread input would discard answers that are on their way.
        """
        return self.discarded_bytes <= MAX_DISCARDED_BYTES or self._connection.undelivered_bytes > 0

    def cancel(self) -> None:
        """Stop waiting."""
        self._timer.cancel()

    def _timed_out(self) -> None:
        # A client that is slow to take a large answer still gets the rest of it.
        # ClientConnection.enforce_timeouts drops one that takes nothing.
        if not self._connection.closed and self._connection.undelivered_bytes:
            self._timer = self._loop.call_later(LINGER_TIMEOUT_S, self._timed_out)
        else:
            self._connection.abort(CloseCause.CLIENT_LEFT)
