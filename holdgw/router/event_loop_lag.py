"""When a process stood still, and for how long what it reads next may have lain unread; pure."""

from __future__ import annotations

AFTER_NS = 300_000_000  # from a stall's end, in which what is read may have come before it
SLACK_NS = 30_000_000  # by which a beat may be late on a busy machine; beyond it the process stood still


class LagMonitor:
    """Beats of a process, `every` so many nanoseconds; times are of its monotonic clock."""

    def __init__(self, every: int, now: int) -> None:
        self._most = every + SLACK_NS
        self._last = self._before = now
        self._ended = now - AFTER_NS

    def beat(self, now: int) -> int:
        """One beat; returns the nanoseconds for which the process stood still, 0 where it did not."""
        self._before, self._last = self._last, now
        gap = now - self._before
        if gap <= self._most:
            return 0
        self._ended = now
        return gap

    def lagged_recently(self, now: int) -> bool:
        """Whether it stood still a moment ago: where the kernel tells when bytes came, it is to be asked."""
        return now - self._ended < AFTER_NS

    def possible_lag_ns(self, now: int) -> int:
        """Nanoseconds for which what is read now may have lain unread, since this process stood still."""
        # Danger: a process that was stopped, or had no core, finds requests whose clients have waited all the
        # while. Given their whole time from here on, they are answered when nobody waits any more. Should act
        # on nothing else: the loop reads what is there before a late beat, or in the turn after it. It could
        # do harm to those that came just as the process went on: they are given too little time.
        if now - self._last > self._most:
            return now - self._last
        if self._last - self._before > self._most:
            return now - self._before
        return 0
