"""Detects that this process has stalled, so that datagrams read now may have waited in the socket; pure."""

from __future__ import annotations

from holdgw.peers.timing import NS_PER_S

MAX_LATENESS = NS_PER_S // 4  # ns; a tick that is later means that the process has stalled


class StallGuard:
    """Tells whether datagrams read now are of unknown age, from the lateness of the node's ticks.

    After a stall the event loop may read the socket before or after it runs the timer. Datagrams are
    therefore of unknown age from the moment at which a tick is overdue until the next tick that is on time.
    """

    def __init__(self, interval: int, now: int) -> None:
        """`interval`: time between two ticks, ns; `now`: ns of the caller's monotonic clock."""
        self.stalls = 0
        """Number of ticks that were late by more than MAX_LATENESS."""
        self._max_interval = interval + MAX_LATENESS
        self._last_tick_at = now
        self._stalled = False

    def tick(self, now: int) -> None:
        """Record a tick at `now`, ns."""
        self._stalled = now - self._last_tick_at > self._max_interval
        self.stalls += self._stalled
        self._last_tick_at = now

    def is_stalled(self, now: int) -> bool:
        """Whether datagrams read at `now` are of unknown age."""
        return self._stalled or now - self._last_tick_at > self._max_interval
