"""The rate limit on each tenant's origin calls: probabilistic suppression, with an adaptive limit.

Source: "How Suppression Works" in the Trypema documentation (PAPER-trypema-suppression). The module uses its
terms: rate limit, window, soft limit, hard limit, hard limit factor, observed, declined and accepted calls,
perceived rate, admission probability. Differences from it are marked "Departure".
"""

from __future__ import annotations

import random
from collections import deque
from itertools import takewhile

from holdgw.policy.handover_state import TenantHandover
from holdgw.policy.settings import Tenant
from holdgw.policy.units import NS_PER_S

HARD_LIMIT_FACTOR = 1.5  # hard limit / soft limit; the source recommends this value
PROBABILITY_CACHE_NS = NS_PER_S // 10  # how long a computed admission probability is used; source's default
MIN_WINDOW_CALLS = 8  # calls that a window should allow at the initial rate limit
MIN_WINDOW_S = 5.0
MAX_WINDOW_S = 20.0
# The window of a busy tenant allows this number of calls. It may be shorter than MIN_WINDOW_S, so that the
# tenant recovers from a cut sooner.
BUSY_WINDOW_CALLS = 400
MIN_BUSY_WINDOW_S = 1.5
DEFAULT_QUOTA_PER_S = 1000.0  # for all routers together, if no quota is stated; generous, as it can be cut
CUT_FACTOR = 0.7  # by which one cut multiplies a limit
RECOVERY_S = 15.0  # time in which a limit that is in use rises from 0 to its maximum
MIN_CUT_EXPONENT = 0.5  # of CUT_FACTOR, for a tenant far below its weight
MAX_CUT_EXPONENT = 2.0  # of CUT_FACTOR, for a tenant far above its weight
MIN_TENANT_WEIGHT = 0.001  # replaces a weight of 0, because quota overuse is divided by the weight


class OriginLimiter:
    """One tenant's rate limit on origin calls.

    The policy calls `admit` once for each fetch after a cache miss. True means that the fetch may be sent; a
    denied fetch is counted too. The limit adapts by additive increase and multiplicative decrease:
    `raise_limit` follows a good answer to any tenant's call, and `cut_limit` an overload of the origin.
    """

    def __init__(self, tenant: Tenant, routers: int, rng: random.Random, workers: int = 1) -> None:
        self.weight = tenant.weight
        self.quota_overuse = 1.0
        self._router_limit = (tenant.quota_per_s or DEFAULT_QUOTA_PER_S) / routers  # of all its workers
        self.max_rate_limit = self._router_limit / workers
        self.rate_limit = self.max_rate_limit
        shortest_s = min(max(BUSY_WINDOW_CALLS / self.max_rate_limit, MIN_BUSY_WINDOW_S), MIN_WINDOW_S)
        self.window_s = min(max(MIN_WINDOW_CALLS / self.max_rate_limit, shortest_s), MAX_WINDOW_S)
        # One call in a window, so that a fetch is admitted whenever the window is empty.
        self.min_rate_limit = min(1 / self.window_s, self.max_rate_limit)
        self._calls: deque[tuple[int, bool]] = deque()  # clock time, and whether it was declined
        self.declined = 0
        self._rng = rng
        self._probability = 1.0
        self._probability_until_ns = 0
        self._raised_at_ns = 0

    def set_share(self, share: float) -> None:
        """Set this worker's limit share; a limit that was cut stays cut in the same proportion."""
        max_rate_limit = self._router_limit * share
        self.rate_limit = self.rate_limit / self.max_rate_limit * max_rate_limit
        self.min_rate_limit = min(1 / self.window_s, max_rate_limit)
        self.max_rate_limit = max_rate_limit

    def set_usage(self, fraction: float) -> None:
        """Set `quota_overuse` by the tenant's fraction of this router's requests, 0 to 1."""
        self.quota_overuse = (fraction / max(self.weight, MIN_TENANT_WEIGHT)) ** 2

    def record_call(self, now: int, declined: bool = False) -> None:
        """Count one origin call, accepted or declined, in the window."""
        self._calls.append((now, declined))
        self.declined += declined

    def accepted_calls(self, now: int) -> int:
        """Return the number of accepted calls in the window; drop the calls before it."""
        while self._calls and self._calls[0][0] <= now - self.window_s * NS_PER_S:
            self.declined -= self._calls.popleft()[1]
        return len(self._calls) - self.declined

    def observed_rate_per_s(self, now: int) -> float:
        """Return the calls a second over the window, accepted or declined."""
        self.accepted_calls(now)
        return len(self._calls) / self.window_s

    def admit(self, now: int) -> bool:
        """Decide on one fetch by the three regimes of the source (see the module), and count it."""
        accepted = self.accepted_calls(now)
        observed = len(self._calls)
        soft_limit = self.window_s * self.rate_limit
        over_soft_limit = accepted >= soft_limit
        over_hard_limit = observed >= soft_limit * HARD_LIMIT_FACTOR
        if over_soft_limit and over_hard_limit:
            admitted = False
        elif observed and (over_soft_limit or over_hard_limit):
            # Departure: the source denies all calls over the hard limit. Retries of denied calls would keep
            # the observed count there for ever. So the probability applies instead while accepted calls are
            # below the soft limit.
            admitted = self._rng.random() < self.admission_probability(now)
        else:
            admitted = True
        self.record_call(now, declined=not admitted)
        return admitted

    def admission_probability(self, now: int) -> float:
        """Return rate limit / perceived rate, at most 1 (the source's 1 - suppression factor); cached."""
        if now >= self._probability_until_ns:
            self._probability_until_ns = now + PROBABILITY_CACHE_NS
            last_second = takewhile(lambda call: call[0] > now - NS_PER_S, reversed(self._calls))
            rate_in_last_second = sum(1 for _ in last_second)
            perceived_rate = max(len(self._calls) / self.window_s, rate_in_last_second)
            self._probability = min(1.0, self.rate_limit / perceived_rate)
        return self._probability

    def raise_limit(self, now: int) -> None:
        """Raise the limit after a good answer, up to its maximum; only if at least half of it is in use."""
        if self.accepted_calls(now) * 2 >= self.rate_limit * self.window_s:
            elapsed_s = min((now - self._raised_at_ns) / NS_PER_S, self.window_s)
            step = self.max_rate_limit / RECOVERY_S * elapsed_s
            self.rate_limit = min(self.max_rate_limit, self.rate_limit + step)
        self._raised_at_ns = now

    def cut_limit(self, now: int) -> None:
        """Cut the limit, starting from its used part; more for a tenant that is further above its weight."""
        self._raised_at_ns = now
        used = min(self.rate_limit, max(self.accepted_calls(now), 1) / self.window_s)
        exponent = min(max(self.quota_overuse, MIN_CUT_EXPONENT), MAX_CUT_EXPONENT)
        self.rate_limit = max(self.min_rate_limit, used * CUT_FACTOR**exponent)

    def handover(self, now: int) -> TenantHandover:
        """Return the state from which another process of this router continues."""
        self.accepted_calls(now)
        return TenantHandover(self.rate_limit, tuple(self._calls))

    def restore(self, state: TenantHandover, now: int) -> None:
        """Continue from another process's limit and window; calls counted here meanwhile are kept."""
        self.rate_limit = min(max(state.rate_limit, self.min_rate_limit), self.max_rate_limit)
        self._raised_at_ns = now
        self._calls = deque(sorted((*state.calls, *self._calls)))
        self.declined = sum(declined for _, declined in self._calls)
