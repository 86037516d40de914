"""One tenant's suppressed rate limit on fetches from the origin."""

from __future__ import annotations

import random
from collections import deque
from itertools import takewhile

from holdgw.policy.settings import Tenant
from holdgw.policy.units import NS_PER_S

HARD_LIMIT_FACTOR = 1.5  # the paper's recommendation
CHANCE_CACHED = NS_PER_S // 10  # the paper's default
WINDOW_CALLS = 8  # calls that a window should be able to hold at the generous limit
WINDOW_MIN_S = 5.0  # long enough to count
WINDOW_MAX_S = 20.0  # short enough to forget a spike
# A busier tenant's window is shorter, for so many calls: after a cut it is over its limit for a part of it.
WINDOW_BUSY_CALLS = 400
WINDOW_BUSY_S = 1.5
UNSTATED_LIMIT = 1000.0  # generous start for all routers together where no quota is stated
CUT = 0.7  # one cut's factor
RISE_S = 15.0  # seconds in which a used limit rises from nothing to its cap


class OriginLimiter:
    """One tenant's guard of the origin: sliding-window counts, three regimes, AIMD rate limit."""

    def __init__(self, tenant: Tenant, routers: int, rng: random.Random, workers: int = 1) -> None:
        self.weight, self.excess = tenant.weight, 1.0  # excess: (share of requests here / portion) squared
        self._whole = (tenant.quota_per_s or UNSTATED_LIMIT) / routers  # of the router, by all its workers
        self.cap = self.limit = self._whole / workers
        least = min(max(WINDOW_BUSY_CALLS / self.cap, WINDOW_BUSY_S), WINDOW_MIN_S)
        self.window_s = min(max(WINDOW_CALLS / self.cap, least), WINDOW_MAX_S)
        self.floor = min(1 / self.window_s, self.cap)  # one call a window: with none counted a fetch goes
        self._calls: deque[tuple[int, bool]] = deque()  # when, and whether declined
        self.declined = 0
        self._rng = rng
        self._chance, self._chance_until = 1.0, 0
        self._last_rise = 0

    def resize(self, share: float) -> None:
        """Have another part of the router's limit; what is cut of it stays cut in the same proportion."""
        cap = self._whole * share
        self.limit, self.floor = self.limit / self.cap * cap, min(1 / self.window_s, cap)
        self.cap = cap

    def count(self, now: int, declined: bool = False) -> None:
        """Count one call to the origin."""
        self._calls.append((now, declined))
        self.declined += declined

    def recall(self, limit: float, calls: tuple[tuple[int, bool], ...], now: int) -> None:
        """Go on from the limit and the window of another process; what was counted here meanwhile stays."""
        self.limit, self._last_rise = min(max(limit, self.floor), self.cap), now
        self._calls = deque(sorted((*calls, *self._calls)))
        self.declined = sum(declined for _, declined in self._calls)

    def accepted(self, now: int) -> int:
        """Calls of the window that went to the origin."""
        while self._calls and self._calls[0][0] <= now - self.window_s * NS_PER_S:
            self.declined -= self._calls.popleft()[1]
        return len(self._calls) - self.declined

    def admit(self, now: int) -> bool:
        """Decide on one fetch, and count it."""
        accepted, soft = self.accepted(now), self.window_s * self.limit
        over = len(self._calls) >= soft * HARD_LIMIT_FACTOR
        allowed = not (over and accepted >= soft)
        if allowed and self._calls and (over or accepted >= soft):
            # Departure: refusals alone that hold total at the hard limit would pin a tenant there, as
            # every retry counts anew; while accepted is under the soft limit the chance holds instead.
            allowed = self._rng.random() < self.chance(now)
        self.count(now, declined=not allowed)
        return allowed

    def chance(self, now: int) -> float:
        """The chance of a fetch between the limits: rate limit / perceived rate, cached, at most 1."""
        if now >= self._chance_until:
            self._chance_until = now + CHANCE_CACHED
            last = sum(1 for _ in takewhile(lambda call: call[0] > now - NS_PER_S, reversed(self._calls)))
            self._chance = min(1.0, self.limit / max(len(self._calls) / self.window_s, last))
        return self._chance

    def rise(self, now: int) -> None:
        """Additive rise after a good fetch, up to the cap, and only while the limit is in use."""
        if self.accepted(now) * 2 >= self.limit * self.window_s:
            idle = min((now - self._last_rise) / NS_PER_S, self.window_s)
            self.limit = min(self.cap, self.limit + self.cap / RISE_S * idle)
        self._last_rise = now

    def cut(self, now: int) -> None:
        """Multiplicative cut from what was really used, harder for a tenant over its portion."""
        self._last_rise = now
        used = min(self.limit, max(self.accepted(now), 1) / self.window_s)
        self.limit = max(self.floor, used * CUT ** min(max(self.excess, 0.5), 2.0))
