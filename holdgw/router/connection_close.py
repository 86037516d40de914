"""The lingering close of a client's connection: the router shuts down its side, then waits for the client's.

Closing a socket with unread bytes resets the connection, and the reset may discard the last answer before
the client reads it. Input is therefore read and discarded until the client closes its side (RFC 9112, section
9.6, describes the same for HTTP).
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from holdgw.router.client_connection import ClientConnection

LINGER_TIMEOUT_S = 0.5
"""How long a client may take to close its side; meanwhile the connection holds a descriptor."""
MAX_DISCARDED_BYTES = 256 << 10
"""Input that is read and discarded meanwhile; more stays in the kernel's buffers."""


class LingeringClose:
    """Discards input until the client closes its side, and aborts the connection after a timeout."""

    __slots__ = ("_connection", "_loop", "_timer", "discarded_bytes")

    def __init__(self, connection: ClientConnection, loop: asyncio.AbstractEventLoop) -> None:
        self._connection = connection
        self._loop = loop
        self.discarded_bytes = 0
        """Input received since the start of the close."""
        self._timer = loop.call_later(LINGER_TIMEOUT_S, self._timed_out)

    def discard(self, data: bytes) -> None:
        """Count input that is discarded."""
        self.discarded_bytes += len(data)

    @property
    def accepts_input(self) -> bool:
        """Whether more input should be read and discarded."""
        return self.discarded_bytes <= MAX_DISCARDED_BYTES

    def cancel(self) -> None:
        """Stop waiting."""
        self._timer.cancel()

    def _timed_out(self) -> None:
        # A client that is slow to accept a large answer still gets the rest of it.
        # ClientConnection.enforce_timeouts drops one that accepts nothing.
        if self._connection.unsent_bytes and not self._connection.closed:
            self._timer = self._loop.call_later(LINGER_TIMEOUT_S, self._timed_out)
        else:
            self._connection.abort()
