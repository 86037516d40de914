"""The lingering close of a client's connection: our side ends first, then we wait for the client's end.

Closing a socket with unread bytes resets the connection, and the reset may overtake the last answer. So input
is read and discarded until the client ends its side (RFC 9112, section 9.6, describes the same for HTTP).
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from holdgw.router.client_connection import ClientConnection

LINGER_TIMEOUT_S = 0.5
"""How long a client may take to end its side; each lingering connection holds a descriptor so long."""
MAX_DISCARDED_BYTES = 256 << 10
"""Input that is read and discarded meanwhile; a flood beyond it stays in the kernel's buffers."""


class LingeringClose:
    """Waits for the end of the other side, and closes the connection when that takes too long."""

    __slots__ = ("_connection", "_loop", "_timer", "discarded_bytes")

    def __init__(self, connection: ClientConnection, loop: asyncio.AbstractEventLoop) -> None:
        self._connection = connection
        self._loop = loop
        self.discarded_bytes = 0
        """Input that came since, in bytes."""
        self._timer = loop.call_later(LINGER_TIMEOUT_S, self._timed_out)

    def discard(self, data: bytes) -> None:
        """Count input that is dropped."""
        self.discarded_bytes += len(data)

    @property
    def accepts_input(self) -> bool:
        """Whether more input should be read, to be discarded."""
        return self.discarded_bytes <= MAX_DISCARDED_BYTES

    def cancel(self) -> None:
        """Stop waiting."""
        self._timer.cancel()

    def _timed_out(self) -> None:
        # A client that is slow to accept a large answer still gets the rest of it. One that accepts nothing
        # is dropped by ClientConnection.enforce_timeouts.
        if self._connection.unsent_bytes and not self._connection.closed:
            self._timer = self._loop.call_later(LINGER_TIMEOUT_S, self._timed_out)
        else:
            self._connection.abort()
