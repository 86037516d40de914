"""Counts the bytes that objects of one kind hold against a limit."""

from __future__ import annotations


class MemoryBudget:
    """Bytes that are held, and their limit."""

    def __init__(self, limit_bytes: int) -> None:
        """Create an unused budget."""
        self.limit_bytes = limit_bytes
        self.held_bytes = 0

    @property
    def free_bytes(self) -> int:
        """The bytes that are left; 0 if the holders are beyond the limit."""
        return max(self.limit_bytes - self.held_bytes, 0)

    def reserve(self, size_bytes: int, headroom_bytes: int = 0) -> bool:
        """Hold bytes if they fit; returns whether they do.

        `headroom_bytes`: what has to stay free beside them, for holders that are more important.
        """
        if self.held_bytes + size_bytes + headroom_bytes > self.limit_bytes:
            return False
        self.held_bytes += size_bytes
        return True

    def hold(self, size_bytes: int) -> None:
        """Hold bytes that can't be refused, beyond the limit if they don't fit."""
        self.held_bytes += size_bytes

    def release(self, size_bytes: int) -> None:
        """Release bytes."""
        self.held_bytes -= size_bytes
