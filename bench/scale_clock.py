"""The rig's clock, slower than the machine's by a factor, and how late a process of the rig was by it."""

from __future__ import annotations

import asyncio
import time
from typing import NamedTuple

NS_PER_S = 1_000_000_000
LAG_SAMPLE_S = 0.02
PACE_INTERVAL_S = 0.5  # of the machine's clock
PACE_ITERATIONS = 2000


def measure_pace() -> float:
    """How long the machine takes for a fixed piece of work at the moment, microseconds of CPU time.

    What runs beside makes the same work take more CPU time; two runs are held against each other by this.
    """
    began, counts = time.thread_time_ns(), dict.fromkeys(range(64), 0.0)
    for i in range(PACE_ITERATIONS):
        counts[i & 63] = counts[i & 63] * 0.5 + 1.0
    return (time.thread_time_ns() - began) / 1000


class SlowClock(NamedTuple):
    """A clock that all processes of a run share: it began at the monotonic clock's `base`, and runs slower
    by the factor `slow`.
    """

    base: int
    slow: float

    def ns(self) -> int:
        """Nanoseconds now; like the monotonic clock itself where it is not slowed."""
        return self.base + int((time.monotonic_ns() - self.base) / self.slow)

    def seconds(self) -> float:
        """Seconds since its beginning."""
        return (time.monotonic_ns() - self.base) / self.slow / NS_PER_S

    def machine_seconds(self, seconds: float) -> float:
        """How long so many of its seconds last."""
        return seconds * self.slow


class LagMonitor:
    """How late a loop comes to what is due, in seconds of the rig's clock, since `begin`."""

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
        """Forget what was: the start of a run is not measured."""
        self._readings.clear()

    def readings(self) -> list[float]:
        """All readings, each rounded to 0.1 ms."""
        return [round(one, 4) for one in self._readings]
