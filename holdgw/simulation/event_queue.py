"""A queue of callbacks in simulated time, for models without an event loop."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count


class EventQueue:
    """Runs callbacks in the order of their times, in nanoseconds; those of one time in insertion order."""

    def __init__(self) -> None:
        self.now = 0
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._order = count()

    def at(self, when: int, callback: Callable[[], None]) -> None:
        """Schedule a callback at a time."""
        heappush(self._heap, (when, next(self._order), callback))

    def run_all(self) -> None:
        """Run callbacks until none is left."""
        while self._heap:
            self._next()

    def run_until(self, until: int) -> None:
        """Run the callbacks due until `until`, and set the time to it."""
        while self._heap and self._heap[0][0] <= until:
            self._next()
        self.now = until

    def _next(self) -> None:
        self.now, _, callback = heappop(self._heap)
        callback()
