"""The sockets of the simulated network, as the programs under test see them."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from holdgw.simulation.network import Address


class SimulatedSocket:
    """The subset of the socket interface that the programs under test use."""

    def __init__(self, name: Address, peer: Address | None = None) -> None:
        self._name, self._peer = name, peer
        self.resets = False  # whether closing the socket sends a reset

    def getsockname(self) -> Address:
        """Return the local address."""
        return self._name

    def getpeername(self) -> Address:
        """Return the peer's address; raises OSError (ENOTCONN) where there is no peer."""
        if self._peer is None:
            raise OSError(107, "Transport endpoint is not connected")
        return self._peer

    def setsockopt(self, level: int, option: int, value: int | bytes) -> None:
        """Apply SO_LINGER: with 0 s, closing sends a reset (socket(7)). Other options have no effect."""
        if (level, option) == (socket.SOL_SOCKET, socket.SO_LINGER) and isinstance(value, bytes):
            on, seconds = struct.unpack("ii", value)
            self.resets = bool(on) and seconds == 0

    def getsockopt(self, level: int, option: int, size: int = 0) -> bytes:
        """Raise OSError (ENOPROTOOPT): no option can be read."""
        raise OSError(92, "Protocol not available")

    def fileno(self) -> int:
        """Return -1: a simulated socket has no descriptor of the operating system."""
        return -1
