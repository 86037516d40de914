"""The event-loop lag monitor: how long data that is read now may have waited for the event loop.

It does no I/O and reads no clock.
"""

from __future__ import annotations

RECENT_LAG_NS = 300_000_000
"""Time after a lag within which data read may have arrived before the lag's end."""
MAX_BEAT_DELAY_NS = 30_000_000
"""The longest delay of a beat on a busy machine; a longer one counts as a lag."""


class LagMonitor:
    """Detects lags by the beats of a timer that the owner runs; all times are monotonic nanoseconds.

    A process that was stopped or had no CPU core finds requests whose clients have waited meanwhile: their
    deadlines count from the requests' arrival. The event loop reads data that is available before the late
    beat or in the iteration after it, so data read at other times has not waited. A request that arrived at
    the end of the lag is given too little time.
    """

    def __init__(self, interval_ns: int, now_ns: int) -> None:
        """`interval_ns`: the time between two beats."""
        self._interval_ns = interval_ns
        self._max_gap_ns = interval_ns + MAX_BEAT_DELAY_NS
        self._total_lag_ns = 0
        self._last_beat_ns = now_ns
        self._previous_beat_ns = now_ns
        self._lag_ended_ns = now_ns - RECENT_LAG_NS

    def beat(self, now_ns: int) -> int:
        """Record a beat; returns the length of the lag that ended with it in nanoseconds, 0 for none."""
        self._previous_beat_ns = self._last_beat_ns
        self._last_beat_ns = now_ns
        gap_ns = now_ns - self._previous_beat_ns
        if gap_ns <= self._max_gap_ns:
            return 0
        self._lag_ended_ns = now_ns
        self._total_lag_ns += gap_ns - self._interval_ns
        return gap_ns

    def total_lag_ns(self, now_ns: int) -> int:
        """The length of all lags so far, with one that no beat has ended yet, in nanoseconds."""
        gap_ns = now_ns - self._last_beat_ns
        current_lag_ns = gap_ns - self._interval_ns if gap_ns > self._max_gap_ns else 0
        return self._total_lag_ns + current_lag_ns

    def lagged_recently(self, now_ns: int) -> bool:
        """Whether a lag ended within RECENT_LAG_NS; if so, ask the kernel when bytes arrived."""
        return now_ns - self._lag_ended_ns < RECENT_LAG_NS

    def possible_lag_ns(self, now_ns: int) -> int:
        """The longest time for which data read now may have waited, in nanoseconds."""
        if now_ns - self._last_beat_ns > self._max_gap_ns:
            return now_ns - self._last_beat_ns
        if self._last_beat_ns - self._previous_beat_ns > self._max_gap_ns:
            return now_ns - self._previous_beat_ns
        return 0
