"""Bounds the memory of clients' requests: of input that is no whole command yet, and of open requests."""

from __future__ import annotations

from holdgw.router.memory_budget import MemoryBudget
from holdgw.wire.resp import Command

DEFAULT_MAX_REQUEST_BYTES = 8 << 20
VALUE_HEADROOM_DIVISOR = 4
"""The limit divided by this is kept for commands without a value: a flood of values costs no read."""


class RequestMemory:
    """The bytes of clients' requests, counted against a limit."""

    def __init__(self, limit_bytes: int = DEFAULT_MAX_REQUEST_BYTES) -> None:
        """Create an unused memory of `limit_bytes` bytes."""
        self._budget = MemoryBudget(limit_bytes)
        self._value_headroom_bytes = limit_bytes // VALUE_HEADROOM_DIVISOR

    @property
    def held_bytes(self) -> int:
        """The bytes that are held."""
        return self._budget.held_bytes

    @property
    def is_scarce(self) -> bool:
        """Whether less is free than what is kept for commands without a value, and as much again."""
        return self.held_bytes > self._budget.limit_bytes - 2 * self._value_headroom_bytes

    def reserve_command(self, command: Command) -> bool:
        """Hold a command's bytes while its request is open; returns whether they fit."""
        headroom_bytes = self._value_headroom_bytes if command.value else 0
        return self._budget.reserve(command.size_bytes, headroom_bytes)

    def release_command(self, command: Command) -> None:
        """Release a command's bytes; its value, which no attempt needs any more, is dropped."""
        self._budget.release(command.size_bytes)
        command.drop_value()

    def resize_input(self, old_bytes: int, new_bytes: int) -> bool:
        """Hold a connection's unprocessed input in place of what it held; returns whether it fits.

        What doesn't fit isn't held. Less than before always fits. One connection may hold as much as it
        leaves free, so that no pipeline takes the memory of others (the dynamic threshold of shared buffers).
        """
        if new_bytes <= old_bytes:
            self._budget.release(old_bytes - new_bytes)
            return True
        headroom_bytes = max(self._value_headroom_bytes, new_bytes)
        return self._budget.reserve(new_bytes - old_bytes, headroom_bytes)

    def hold_input(self, old_bytes: int, new_bytes: int) -> None:
        """Hold a connection's unprocessed input in place of what it held, whether or not it fits."""
        self._budget.hold(new_bytes - old_bytes)
