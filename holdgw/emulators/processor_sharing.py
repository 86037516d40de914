"""Processor sharing with a bounded queue: the service times of emulated servers, as a pure model.

At most `slots` items are executed at a time; they share the cores evenly, none faster than one core. Further
items are queued, and rejected when the queue is full. The capacity may ramp up after a cold start, is zero
during a pause, and shrinks when too many items are held. An accepted item is always completed: a caller that
disconnects cancels nothing.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from dataclasses import dataclass
from typing import Generic, NamedTuple, TypeVar

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class QueueSpec:
    """Parameters of a queue; work is in core-seconds at speed 1."""

    cores: int = 1
    slots: int = 4
    queue: int = 20
    """Maximum number of queued items, beyond those being executed."""
    speed: float = 1.0
    cold_share: float = 1.0
    """Share of the full capacity right after a cold start."""
    warm_s: float = 0.0
    """Duration of the warm-up, in which the capacity rises linearly to its full value."""
    thrash: float = 0.0
    """Share of efficiency lost for each `thrash_at` items held beyond `thrash_at`."""
    thrash_at: float = 10.0

    def __post_init__(self) -> None:
        if self.cores < 1 or self.slots < 1 or self.queue < 0:
            raise ValueError("cores and slots must be at least 1, queue at least 0")
        if not (self.speed > 0 and 0 < self.cold_share <= 1 and self.warm_s >= 0):
            raise ValueError("speed must be above 0, cold_share in (0, 1], warm_s at least 0")
        if self.thrash < 0 or self.thrash_at <= 0:
            raise ValueError("thrash must be at least 0 and thrash_at above 0")


class Finished(NamedTuple, Generic[T]):
    """A finished item: when it finished, and when its execution (not its wait) began."""

    at: float
    began: float
    item: T


class ProcessorSharingQueue(Generic[T]):
    """The items held by one process; the time passed to `advance` never goes back."""

    def __init__(self, spec: QueueSpec, now: float, cold: bool = False) -> None:
        self.spec = spec
        self.speed = spec.speed
        self.overhead_share = 0.0
        """Share of the capacity that is not available to items (taken by open connections)."""
        self._now = now
        self._started = now if cold else -math.inf
        self._paused_until = -math.inf
        self._progress = 0.0  # cumulative work that each executed item has received
        self._active: list[tuple[float, int, float, T]] = []  # (progress at its end, order, start, item)
        self._waiting: deque[tuple[float, T]] = deque()
        self._order = 0

    @property
    def waiting(self) -> int:
        """Number of queued items."""
        return len(self._waiting)

    @property
    def held(self) -> int:
        """Number of items being executed or queued."""
        return len(self._active) + len(self._waiting)

    def warm_up_factor(self, at: float) -> float:
        """Return the share of the full capacity at a time, by the warm-up alone."""
        spec = self.spec
        age = at - self._started
        if age >= spec.warm_s:
            return 1.0
        return spec.cold_share + (1 - spec.cold_share) * age / spec.warm_s

    def is_cold(self, at: float) -> bool:
        """Return whether the process is still warming up."""
        return at - self._started < self.spec.warm_s

    def capacity(self, at: float) -> float:
        """Return the capacity at a time, in core-seconds of work per second."""
        return self.spec.cores * self.speed * self.warm_up_factor(at)

    def _rate(self) -> float:
        """Return the work per second of each executed item, without the effect of the warm-up."""
        spec = self.spec
        over = max(0.0, self.held - spec.thrash_at) / spec.thrash_at
        efficiency = (1.0 - min(self.overhead_share, 0.9)) / (1.0 + spec.thrash * over)
        return self.speed * efficiency * min(1.0, spec.cores / len(self._active))

    def _time_for(self, work: float, start: float, rate: float) -> float:
        """Return the seconds from `start` that an item at `rate` needs for `work`, including the warm-up."""
        end = self._started + self.spec.warm_s
        if start >= end:
            return work / rate
        warm, slope = self.warm_up_factor(start), (1 - self.spec.cold_share) / self.spec.warm_s
        need = work / rate
        ramp = end - start
        within = warm * ramp + slope * ramp * ramp / 2
        if need > within:
            return ramp + (need - within)
        if slope == 0:
            return need / warm
        return (math.sqrt(warm * warm + 2 * slope * need) - warm) / slope

    def _work_in(self, start: float, seconds: float, rate: float) -> float:
        """Return the work that an item at `rate` receives within `seconds` from `start`."""
        ramp = min(max(self._started + self.spec.warm_s - start, 0.0), seconds)
        warm = 0.0
        if ramp > 0:
            warm = (
                (
                    self.warm_up_factor(start)
                    + self.warm_up_factor(min(start + ramp, self._started + self.spec.warm_s))
                )
                / 2
                * ramp
            )
        return rate * (warm + seconds - ramp)

    def advance(self, now: float) -> list[Finished[T]]:
        """Execute items up to `now`; return the finished ones, in order."""
        finished: list[Finished[T]] = []
        while self._now <= now:
            if self._now < self._paused_until:
                if self._now == now:
                    break
                self._now = min(now, self._paused_until)
                continue
            if not self._active:
                self._now = now
                break
            rate = self._rate()
            remaining_work = self._active[0][0] - self._progress
            at = self._now + self._time_for(max(remaining_work, 0.0), self._now, rate)
            if at > now:
                self._progress += self._work_in(self._now, now - self._now, rate)
                self._now = now
                break
            self._now = at
            self._progress, _, began, item = heapq.heappop(self._active)
            finished.append(Finished(at, began, item))
            if self._waiting:
                work, following = self._waiting.popleft()
                self._begin(work, following)
        return finished

    def _begin(self, work: float, item: T) -> None:
        heapq.heappush(self._active, (self._progress + work, self._order, self._now, item))
        self._order += 1

    def submit(self, item: T, work: float, force: bool = False) -> bool:
        """Accept an item at the time of the last `advance`; return False if the queue is full.

        `force` ignores the limit of the queue.
        """
        assert work >= 0
        if len(self._active) < self.spec.slots:
            self._begin(work, item)
        elif force or len(self._waiting) < self.spec.queue:
            self._waiting.append((work, item))
        else:
            return False
        return True

    def pause(self, until: float) -> None:
        """Execute nothing from the last `advance` until `until`; overlapping pauses end with the last one."""
        self._paused_until = max(self._paused_until, until)

    def paused(self, at: float) -> bool:
        """Return whether the process is paused at a time."""
        return at < self._paused_until

    @property
    def paused_until(self) -> float:
        """End of the last pause; minus infinity if there was none."""
        return self._paused_until

    def next_due(self) -> float | None:
        """Return when the next item will finish if nothing else happens; None if no item is executed."""
        if not self._active:
            return None
        start = max(self._now, self._paused_until)
        remaining_work = max(self._active[0][0] - self._progress, 0.0)
        return start + self._time_for(remaining_work, start, self._rate())

    def drop_all(self) -> list[T]:
        """Drop all items, as when the process dies, and return them."""
        items = [item for _, _, _, item in self._active] + [item for _, item in self._waiting]
        self._active.clear()
        self._waiting.clear()
        return items
