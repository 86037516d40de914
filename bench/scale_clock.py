"""The scale rig's clock, which may run slower than the machine's, and its event-loop lag monitor."""

from __future__ import annotations

import asyncio
import time
from typing import NamedTuple

NS_PER_S = 1_000_000_000
LAG_SAMPLE_S = 0.02
PACE_INTERVAL_S = 0.5  # by the machine's clock
PACE_ITERATIONS = 2000


def measure_pace() -> float:
    """Return the CPU time that a fixed piece of work takes at the moment, microseconds.

    Other load on the machine makes the same work take more CPU time; the figure tells whether two runs are
    comparable.
    """
    began, counts = time.thread_time_ns(), dict.fromkeys(range(64), 0.0)
    for i in range(PACE_ITERATIONS):
        counts[i & 63] = counts[i & 63] * 0.5 + 1.0
    return (time.thread_time_ns() - began) / 1000


class SlowClock(NamedTuple):
    """A clock that all processes of a run share.

    It started at the monotonic clock's `base` (ns) and runs slower by the factor `slow`.
    """

    base: int
    slow: float

    def ns(self) -> int:
        """Return nanoseconds now; equal to the monotonic clock if `slow` is 1."""
        return self.base + int((time.monotonic_ns() - self.base) / self.slow)

    def seconds(self) -> float:
        """Return seconds since the clock's start."""
        return (time.monotonic_ns() - self.base) / self.slow / NS_PER_S

    def machine_seconds(self, seconds: float) -> float:
        """Convert a duration by this clock into seconds of the machine's clock."""
        return seconds * self.slow


class LagMonitor:
    """Samples how late an event loop runs its timers, in seconds of the rig's clock."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: SlowClock) -> None:
        self._loop, self._clock = loop, clock
        self._readings: list[float] = []
        self._due = loop.time()
        self._sample()

    def _sample(self) -> None:
        now = self._loop.time()
        self._readings.append(max(now - self._due, 0.0) / self._clock.slow)
        self._due = now + self._clock.machine_seconds(LAG_SAMPLE_S)
        self._loop.call_at(self._due, self._sample)

    def reset(self) -> None:
        """Drop the readings so far: the start of a run is not measured."""
        self._readings.clear()

    def readings(self) -> list[float]:
        """Return all readings since the last reset, each rounded to 0.1 ms."""
        return [round(one, 4) for one in self._readings]
