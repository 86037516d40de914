"""Whether what is read now may have waited unread while this process was halted; pure."""

from __future__ import annotations

from holdgw.peers.timing import NS_PER_S

MAX_LATENESS = NS_PER_S // 4  # of a tick; beyond it the process was halted


class StallGuard:
    """Tells whether datagrams read now are of unknown age: a tick is overdue, or the last one was late.

    After a halt the event loop may read the socket before it runs the timer, or after it. Hence datagrams are
    of unknown age from the moment a tick is overdue until the next tick that is on time.
    """

    def __init__(self, interval: int, now: int) -> None:
        self.stalls = 0
        """Ticks that were late by more than MAX_LATENESS."""
        self._allowed = interval + MAX_LATENESS
        self._ticked_at = now
        self._stalled = False

    def tick(self, now: int) -> None:
        """Note a tick."""
        self._stalled = now - self._ticked_at > self._allowed
        self.stalls += self._stalled
        self._ticked_at = now

    def is_stalled(self, now: int) -> bool:
        """Whether what is read now may be old."""
        return self._stalled or now - self._ticked_at > self._allowed
