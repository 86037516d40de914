"""The ids of requests that have ended, for as long as a copy of one may still come.

It does no I/O and reads no clock.
"""

from __future__ import annotations

from collections.abc import Iterator

MAX_RECENT_IDS = 1 << 16
"""Ids that are remembered at most, each some 150 bytes; more are forgotten sooner."""


class RecentIds:
    """Remembers each id for `window_ns` at least, and twice that at most: two generations take turns."""

    def __init__(self, window_ns: int) -> None:
        self._window_ns = window_ns
        self._current: set[str] = set()
        self._previous: set[str] = set()
        self._started_ns = 0

    def add(self, request_id: str, now_ns: int) -> None:
        """Remember an id; `now_ns`: monotonic nanoseconds."""
        if now_ns - self._started_ns >= self._window_ns or len(self._current) >= MAX_RECENT_IDS // 2:
            if now_ns - self._started_ns >= 2 * self._window_ns:
                self._current = set()
            self._previous = self._current
            self._current = set()
            self._started_ns = now_ns
        self._current.add(request_id)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._current or request_id in self._previous

    def __len__(self) -> int:
        return len(self._current) + len(self._previous)

    def __iter__(self) -> Iterator[str]:
        yield from self._previous
        yield from self._current
