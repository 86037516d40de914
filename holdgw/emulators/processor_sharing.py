"""Cores that share their time: the queueing half of a stand-in, as a pure model.

At most `slots` items are in work; they share the cores evenly, none faster than one core. Those behind wait
in line, and past the line's end an item is turned away. Capacity may ramp up from a cold start, stand still
in a pause, and shrink when too much is held. Nothing that was taken ever leaves before it is done: a caller
that goes away stops nothing.
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
    """Sizes; work is core-seconds at speed 1."""

    cores: int = 1
    slots: int = 4
    queue: int = 20
    """Items that may wait beyond those in work."""
    speed: float = 1.0
    cold_share: float = 1.0
    """Share of the full capacity right after a start."""
    warm_s: float = 0.0
    """After so long the full capacity is there; it rises evenly until then."""
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
    """An item that is done: when, and when its work (not its wait) began."""

    at: float
    began: float
    item: T


class ProcessorSharingQueue(Generic[T]):
    """The items held by one process. Every call first brings the model up to `now`, which never goes back."""

    def __init__(self, spec: QueueSpec, now: float, cold: bool = False) -> None:
        self.spec = spec
        self.speed = spec.speed
        self.overhead_share = 0.0
        """Share of the capacity that goes elsewhere (a full table of connections)."""
        self._now = now
        self._started = now if cold else -math.inf
        self._paused_until = -math.inf
        self._progress = 0.0  # work that each item in work has had since the model began
        self._active: list[tuple[float, int, float, T]] = []  # (progress at its end, order, began, item)
        self._waiting: deque[tuple[float, T]] = deque()
        self._order = 0

    @property
    def waiting(self) -> int:
        """Items that wait."""
        return len(self._waiting)

    @property
    def held(self) -> int:
        """Items in work and waiting."""
        return len(self._active) + len(self._waiting)

    def warm_up_factor(self, at: float) -> float:
        """Share of the full capacity at a time, by the ramp alone."""
        spec = self.spec
        age = at - self._started
        if age >= spec.warm_s:
            return 1.0
        return spec.cold_share + (1 - spec.cold_share) * age / spec.warm_s

    def is_cold(self, at: float) -> bool:
        """Whether the ramp is not over."""
        return at - self._started < self.spec.warm_s

    def capacity(self, at: float) -> float:
        """Core-seconds of work a second that it can do at that time."""
        return self.spec.cores * self.speed * self.warm_up_factor(at)

    def _rate(self) -> float:
        """Work a second that each item in work has, at full capacity."""
        spec = self.spec
        over = max(0.0, self.held - spec.thrash_at) / spec.thrash_at
        efficiency = (1.0 - min(self.overhead_share, 0.9)) / (1.0 + spec.thrash * over)
        return self.speed * efficiency * min(1.0, spec.cores / len(self._active))

    def _time_for(self, work: float, start: float, rate: float) -> float:
        """Seconds from `start` on in which an item at `rate` has this much work; handles the ramp."""
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
        """Work that an item at `rate` has in so many seconds from `start` on."""
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
        """Do the work up to `now`; returns what got done, in order."""
        done: list[Finished[T]] = []
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
            left = self._active[0][0] - self._progress
            at = self._now + self._time_for(max(left, 0.0), self._now, rate)
            if at > now:
                self._progress += self._work_in(self._now, now - self._now, rate)
                self._now = now
                break
            self._now = at
            self._progress, _, began, item = heapq.heappop(self._active)
            done.append(Finished(at, began, item))
            if self._waiting:
                work, following = self._waiting.popleft()
                self._begin(work, following)
        return done

    def _begin(self, work: float, item: T) -> None:
        heapq.heappush(self._active, (self._progress + work, self._order, self._now, item))
        self._order += 1

    def submit(self, item: T, work: float, force: bool = False) -> bool:
        """Take an item at the time of the last `advance`; False: the line is full. `force` ignores
        the bound.
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
        """Stand still from the last `advance` to `until`; pauses that overlap end with the last one."""
        self._paused_until = max(self._paused_until, until)

    def paused(self, at: float) -> bool:
        """Whether it stands still at that time."""
        return at < self._paused_until

    @property
    def paused_until(self) -> float:
        """The end of the last pause; minus infinity where there was none."""
        return self._paused_until

    def next_due(self) -> float | None:
        """When the next item will be done, as things stand; None where nothing is in work."""
        if not self._active:
            return None
        start = max(self._now, self._paused_until)
        left = max(self._active[0][0] - self._progress, 0.0)
        return start + self._time_for(left, start, self._rate())

    def drop_all(self) -> list[T]:
        """The process died: everything held is gone. Returns it."""
        items = [item for _, _, _, item in self._active] + [item for _, item in self._waiting]
        self._active.clear()
        self._waiting.clear()
        return items
