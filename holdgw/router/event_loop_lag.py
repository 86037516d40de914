"""How long the event loop has stood still, and what is read may therefore have waited; no I/O, no clock."""

from __future__ import annotations

RECENT_LAG_NS = 300_000_000
"""Time after a lag within which what is read may have come before the lag's end."""
MAX_BEAT_DELAY_NS = 30_000_000
"""Delay of a beat on a busy machine; one that is later shows a lag."""


class LagMonitor:
    """Finds lags by a timer that the owner runs; all times are of one monotonic clock, in nanoseconds.

    A process that was stopped or had no core finds requests whose clients have waited meanwhile: their
    deadlines count from when the requests came. The loop reads what is there before the late beat or in the
    turn after it, so what is read outside of these has not waited. A request that came at the end of the lag
    is given too little time.
    """

    def __init__(self, interval_ns: int, now_ns: int) -> None:
        """`interval_ns`: the time between two beats."""
        self._max_gap_ns = interval_ns + MAX_BEAT_DELAY_NS
        self._last_beat_ns = now_ns
        self._previous_beat_ns = now_ns
        self._lag_ended_ns = now_ns - RECENT_LAG_NS

    def beat(self, now_ns: int) -> int:
        """Take one beat; returns the nanoseconds for which the loop stood still before it, 0 for none."""
        self._previous_beat_ns = self._last_beat_ns
        self._last_beat_ns = now_ns
        gap_ns = now_ns - self._previous_beat_ns
        if gap_ns <= self._max_gap_ns:
            return 0
        self._lag_ended_ns = now_ns
        return gap_ns

    def lagged_recently(self, now_ns: int) -> bool:
        """Whether a lag ended within RECENT_LAG_NS; then the kernel is to be asked when bytes came."""
        return now_ns - self._lag_ended_ns < RECENT_LAG_NS

    def possible_lag_ns(self, now_ns: int) -> int:
        """The longest time for which what is read now may have waited, nanoseconds."""
        if now_ns - self._last_beat_ns > self._max_gap_ns:
            return now_ns - self._last_beat_ns
        if self._last_beat_ns - self._previous_beat_ns > self._max_gap_ns:
            return now_ns - self._previous_beat_ns
        return 0
