"""What is to be done at which simulated time, in order, for models that have no event loop."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count


class EventQueue:
    """Acts by their times, nanoseconds; those of one time in the order in which they were asked for."""

    def __init__(self) -> None:
        self.now = 0
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._order = count()

    def at(self, when: int, callback: Callable[[], None]) -> None:
        """Do something at a time."""
        heappush(self._heap, (when, next(self._order), callback))

    def run_all(self) -> None:
        """Let time pass until nothing is left to do."""
        while self._heap:
            self._next()

    def run_until(self, until: int) -> None:
        """Let time pass."""
        while self._heap and self._heap[0][0] <= until:
            self._next()
        self.now = until

    def _next(self) -> None:
        self.now, _, callback = heappop(self._heap)
        callback()
