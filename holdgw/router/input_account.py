"""Counts whose input the event loop has worked on, so that a stall can be told from a busy machine.

It does no I/O and reads no clock.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from holdgw.router.client_connection import ClientConnection


class ClientInput:
    """What one client's input has taken since the account was last reset."""

    __slots__ = ("commands", "processing_ns", "received_bytes")

    def __init__(self) -> None:
        self.processing_ns = 0
        self.received_bytes = 0
        self.commands = 0


class InputAccount:
    """The time for which the event loop has processed clients' input, by connection."""

    def __init__(self) -> None:
        self.processing_ns = 0
        """The time that all connections' input has taken, nanoseconds."""
        self._by_connection: dict[ClientConnection, ClientInput] = {}

    def add(
        self, connection: ClientConnection, processing_ns: int, received_bytes: int, commands: int
    ) -> None:
        """Count a read, or commands processed later, with the time that they took."""
        self.processing_ns += processing_ns
        counted = self._by_connection.get(connection)
        if counted is None:
            counted = self._by_connection[connection] = ClientInput()
        counted.processing_ns += processing_ns
        counted.received_bytes += received_bytes
        counted.commands += commands

    def largest(self) -> tuple[ClientConnection, ClientInput] | None:
        """The connection whose input has taken the most time, if any has."""
        if not self._by_connection:
            return None
        return max(self._by_connection.items(), key=lambda entry: entry[1].processing_ns)

    def reset(self) -> None:
        """Start to count anew."""
        self.processing_ns = 0
        self._by_connection.clear()
