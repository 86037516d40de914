"""The rate limit on each tenant's origin calls: probabilistic suppression, with a limit that adapts.

Source: "How Suppression Works" of the Trypema documentation (PAPER-trypema-suppression). Its terms are used
here: rate limit, window, soft limit, hard limit, hard limit factor, observed, declined and accepted calls,
perceived rate, admission probability. What differs from it is marked "Departure".
"""

from __future__ import annotations

import random
from collections import deque
from itertools import takewhile

from holdgw.policy.handover_state import TenantHandover
from holdgw.policy.settings import Tenant
from holdgw.policy.units import NS_PER_S

HARD_LIMIT_FACTOR = 1.5  # hard limit / soft limit; the source recommends this value
PROBABILITY_CACHE_NS = NS_PER_S // 10  # an admission probability is used for so long; the source's default
MIN_WINDOW_CALLS = 8  # calls that a window should be able to hold at the initial rate limit
MIN_WINDOW_S = 5.0
MAX_WINDOW_S = 20.0
# A busy tenant has a window of so many calls, shorter than MIN_WINDOW_S, so that it recovers from a cut
# sooner.
BUSY_WINDOW_CALLS = 400
MIN_BUSY_WINDOW_S = 1.5
DEFAULT_QUOTA_PER_S = 1000.0  # of all routers together, where none is stated: generous, and cut when needed
CUT_FACTOR = 0.7  # one cut multiplies a limit by this
RECOVERY_S = 15.0  # time in which a limit that is in use rises from nothing to its maximum
MIN_CUT_EXPONENT = 0.5  # a tenant far below its weight is cut by CUT_FACTOR to this power
MAX_CUT_EXPONENT = 2.0  # a tenant far over its weight is cut by CUT_FACTOR to this power
MIN_TENANT_WEIGHT = 0.001  # stands in for a weight of 0, as quota overuse is divided by the weight


class OriginLimiter:
    """One tenant's rate limit on origin calls.

    `admit` is asked once for each fetch that a cache miss calls for; True means that the fetch may go. A
    denied fetch is counted too. The limit adapts: `raise_limit` after a good fetch of any tenant,
    `cut_limit` when the origin is overloaded (additive increase, multiplicative decrease).
    """

    def __init__(self, tenant: Tenant, routers: int, rng: random.Random, workers: int = 1) -> None:
        self.weight = tenant.weight
        self.quota_overuse = 1.0
        self._router_limit = (tenant.quota_per_s or DEFAULT_QUOTA_PER_S) / routers  # by all its workers
        self.max_rate_limit = self._router_limit / workers
        self.rate_limit = self.max_rate_limit
        shortest_s = min(max(BUSY_WINDOW_CALLS / self.max_rate_limit, MIN_BUSY_WINDOW_S), MIN_WINDOW_S)
        self.window_s = min(max(MIN_WINDOW_CALLS / self.max_rate_limit, shortest_s), MAX_WINDOW_S)
        # One call in a window, so that a fetch goes whenever none is counted.
        self.min_rate_limit = min(1 / self.window_s, self.max_rate_limit)
        self._calls: deque[tuple[int, bool]] = deque()  # clock time, and whether it was declined
        self.declined = 0
        self._rng = rng
        self._probability = 1.0
        self._probability_until_ns = 0
        self._raised_at_ns = 0

    def set_share(self, share: float) -> None:
        """Take another share of the router's limit; a limit that was cut stays cut in the same proportion."""
        max_rate_limit = self._router_limit * share
        self.rate_limit = self.rate_limit / self.max_rate_limit * max_rate_limit
        self.min_rate_limit = min(1 / self.window_s, max_rate_limit)
        self.max_rate_limit = max_rate_limit

    def set_usage(self, fraction: float) -> None:
        """Take the tenant's fraction of all requests here, 0 to 1; sets `quota_overuse`."""
        self.quota_overuse = (fraction / max(self.weight, MIN_TENANT_WEIGHT)) ** 2

    def record_call(self, now: int, declined: bool = False) -> None:
        """Count one origin call in the window."""
        self._calls.append((now, declined))
        self.declined += declined

    def accepted_calls(self, now: int) -> int:
        """Calls of the window that went to the origin; forgets those before it."""
        while self._calls and self._calls[0][0] <= now - self.window_s * NS_PER_S:
            self.declined -= self._calls.popleft()[1]
        return len(self._calls) - self.declined

    def observed_rate_per_s(self, now: int) -> float:
        """Calls a second over the window, accepted or declined."""
        self.accepted_calls(now)
        return len(self._calls) / self.window_s

    def admit(self, now: int) -> bool:
        """Decide on one fetch, by the three regimes, and count it."""
        accepted = self.accepted_calls(now)
        observed = len(self._calls)
        soft_limit = self.window_s * self.rate_limit
        over_soft_limit = accepted >= soft_limit
        over_hard_limit = observed >= soft_limit * HARD_LIMIT_FACTOR
        if over_soft_limit and over_hard_limit:
            admitted = False
        elif observed and (over_soft_limit or over_hard_limit):
            # Departure: the source denies all calls over the hard limit. Denied calls that are retried would
            # hold the observed count there for ever; while accepted calls are below the soft limit, the
            # probability applies instead.
            admitted = self._rng.random() < self.admission_probability(now)
        else:
            admitted = True
        self.record_call(now, declined=not admitted)
        return admitted

    def admission_probability(self, now: int) -> float:
        """Rate limit / perceived rate, at most 1: the source's 1 - suppression factor; cached."""
        if now >= self._probability_until_ns:
            self._probability_until_ns = now + PROBABILITY_CACHE_NS
            last_second = takewhile(lambda call: call[0] > now - NS_PER_S, reversed(self._calls))
            rate_in_last_second = sum(1 for _ in last_second)
            perceived_rate = max(len(self._calls) / self.window_s, rate_in_last_second)
            self._probability = min(1.0, self.rate_limit / perceived_rate)
        return self._probability

    def raise_limit(self, now: int) -> None:
        """Raise the limit after a good fetch, up to its maximum; only while half of it is in use."""
        if self.accepted_calls(now) * 2 >= self.rate_limit * self.window_s:
            elapsed_s = min((now - self._raised_at_ns) / NS_PER_S, self.window_s)
            step = self.max_rate_limit / RECOVERY_S * elapsed_s
            self.rate_limit = min(self.max_rate_limit, self.rate_limit + step)
        self._raised_at_ns = now

    def cut_limit(self, now: int) -> None:
        """Cut the limit from what was used of it, the more the tenant is over its weight."""
        self._raised_at_ns = now
        used = min(self.rate_limit, max(self.accepted_calls(now), 1) / self.window_s)
        exponent = min(max(self.quota_overuse, MIN_CUT_EXPONENT), MAX_CUT_EXPONENT)
        self.rate_limit = max(self.min_rate_limit, used * CUT_FACTOR**exponent)

    def handover(self, now: int) -> TenantHandover:
        """What another process of this router continues from."""
        self.accepted_calls(now)
        return TenantHandover(self.rate_limit, tuple(self._calls))

    def restore(self, state: TenantHandover, now: int) -> None:
        """Continue from another process's limit and window; calls counted here meanwhile stay."""
        self.rate_limit = min(max(state.rate_limit, self.min_rate_limit), self.max_rate_limit)
        self._raised_at_ns = now
        self._calls = deque(sorted((*state.calls, *self._calls)))
        self.declined = sum(declined for _, declined in self._calls)
