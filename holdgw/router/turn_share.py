"""Work that gets a share of each turn of the event loop, so that thousands of items hold nothing else up."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

from holdgw.router.turn_budget import MAX_SHARE_NS, MIN_INPUT_NS

Item = TypeVar("Item")


class TurnShare(Generic[Item]):
    """Items that are handled at once while the share of the turn lasts, and else in the next turns."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, now_ns: Callable[[], int], handle: Callable[[Item], None]
    ) -> None:
        """`now_ns`: a monotonic clock in nanoseconds; `handle` raises nothing."""
        self.waiting: deque[Item] = deque()
        """The items that are not handled yet."""
        self._loop = loop
        self._now_ns = now_ns
        self._handle = handle
        self._spent_ns = 0  # since the latest turn that is known to have begun
        self._is_handling = False
        self._next_turn: asyncio.Handle | None = None

    def submit(self, items: Iterable[Item]) -> None:
        """Handle items, now or later."""
        self.waiting.extend(items)
        if not self._is_handling:
            self._handle_waiting()

    def close(self) -> None:
        """Drop the items that wait."""
        self.waiting.clear()
        if self._next_turn is not None:
            self._next_turn.cancel()

    def _handle_waiting(self) -> None:
        self._is_handling = True
        started_ns = self._now_ns() - self._spent_ns
        while self.waiting and self._spent_ns < MAX_SHARE_NS:
            self._handle(self.waiting.popleft())
            self._spent_ns = self._now_ns() - started_ns
        self._is_handling = False
        if (self.waiting or self._spent_ns >= MIN_INPUT_NS) and self._next_turn is None:
            self._next_turn = self._loop.call_soon(self._start_turn)

    def _start_turn(self) -> None:
        self._next_turn = None
        self._spent_ns = 0
        self._handle_waiting()
