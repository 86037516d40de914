"""The origin limiter: the three regimes of its source, by values computed by hand, and the adaptive limit.

The source is the Trypema documentation that `holdgw/policy/origin_limiter.py` names.
"""

from __future__ import annotations

import random

import pytest

from holdgw.policy import Tenant
from holdgw.policy.origin_limiter import CUT_FACTOR, RECOVERY_S, OriginLimiter
from tests.helpers import MS, S


class FixedRandom(random.Random):
    """A random number generator that always returns the same number."""

    def __init__(self, value: float) -> None:
        super().__init__(0)
        self.value = value

    def random(self) -> float:
        return self.value


def limiter_of(limit: float = 10.0, window_s: float = 60.0, draw: float = 0.5) -> OriginLimiter:
    limiter = OriginLimiter(Tenant("t", 1.0, limit), 1, FixedRandom(draw))
    limiter.window_s = window_s
    return limiter


def fill(limiter: OriginLimiter, start: int, count: int, per_s: float, declined: bool = False) -> int:
    """Record calls at a constant rate from `start`; return the time after the last one."""
    now = start
    for _ in range(count):
        limiter.record_call(now, declined)
        now += int(S / per_s)
    return now


def test_all_fetches_are_admitted_below_the_soft_limit() -> None:
    limiter = limiter_of(limit=1.0, window_s=10.0, draw=0.999)
    assert [limiter.admit(i * 100 * MS) for i in range(10)] == [True] * 10
    assert len(limiter._calls) == 10
    assert limiter.declined == 0


def test_worked_example_with_700_calls_in_the_window_and_12_in_the_last_second() -> None:
    # 700 / 60 = 11.67 a second on average, 12 in the last 1000 ms: probability 10 / 12.
    limiter = limiter_of()
    fill(limiter, 0, 688, per_s=12.0)
    now = 59 * S
    fill(limiter, now, 12, per_s=100.0)
    assert len(limiter._calls) == 700
    assert limiter.admission_probability(now + 500 * MS) == pytest.approx(10 / 12)


def test_perceived_rate_is_the_window_average_where_that_is_higher() -> None:
    limiter = limiter_of()
    now = fill(limiter, 0, 840, per_s=15.0)  # 56 s; 840 / 60 = 14 a second
    assert limiter.admission_probability(now + 2 * S) == pytest.approx(10 / 14)


@pytest.mark.parametrize(("draw", "allowed"), [(0.70, True), (0.72, False)])
def test_between_the_limits_a_fetch_is_admitted_by_the_probability(draw: float, allowed: bool) -> None:
    limiter = limiter_of(draw=draw)
    now = fill(limiter, 0, 840, per_s=15.0)
    assert limiter.admit(now + 2 * S) is allowed
    assert len(limiter._calls) == 841
    assert limiter.declined == (not allowed)


def test_over_the_hard_limit_every_fetch_is_denied() -> None:
    limiter = limiter_of(draw=0.0)
    now = fill(limiter, 0, 899, per_s=15.0)
    assert limiter.admit(now)  # 899: still between the limits
    assert not limiter.admit(now)  # 900 = 60 x 10 x 1.5


def test_admission_probability_is_cached_for_100_ms_and_at_most_1() -> None:
    limiter = limiter_of()
    limiter.record_call(0)
    assert limiter.admission_probability(0) == 1.0
    fill(limiter, 10 * MS, 30, per_s=1000.0)
    assert limiter.admission_probability(99 * MS) == 1.0
    assert limiter.admission_probability(100 * MS) == pytest.approx(10 / 31)


def test_calls_before_the_window_are_forgotten() -> None:
    limiter = limiter_of(window_s=10.0)
    fill(limiter, 0, 50, per_s=100.0)
    assert limiter.accepted_calls(9 * S) == 50
    assert limiter.accepted_calls(11 * S) == 0
    assert len(limiter._calls) == 0


def test_denied_calls_alone_do_not_hold_a_tenant_at_the_hard_limit() -> None:
    # Clients retry denied fetches, and each retry counts as an observed call. Observed calls alone would stay
    # over the hard limit for ever, with every fetch denied. The limiter therefore admits some by the
    # probability.
    limiter = limiter_of(limit=1.0, window_s=10.0, draw=0.05)
    fill(limiter, 0, 100, per_s=20.0, declined=True)
    assert limiter.accepted_calls(5 * S) == 0
    assert limiter.admit(5 * S)  # with probability 1 / 20, instead of a denial
    denied = limiter_of(limit=1.0, window_s=10.0, draw=0.06)
    fill(denied, 0, 100, per_s=20.0, declined=True)
    assert not denied.admit(5 * S)


def test_cut_starts_from_the_used_rate_and_ends_at_the_minimum() -> None:
    limiter = limiter_of(limit=100.0, window_s=10.0)
    now = fill(limiter, 0, 100, per_s=20.0)
    limiter.cut_limit(now)
    assert limiter.rate_limit == pytest.approx(10.0 * CUT_FACTOR)  # from 100 calls in 10 s
    for i in range(1, 40):
        limiter.cut_limit(now + i * S)
    assert limiter.rate_limit == limiter.min_rate_limit > 0


def test_limit_rises_only_while_in_use_and_up_to_its_maximum() -> None:
    limiter = limiter_of(limit=10.0, window_s=10.0)
    limiter.rate_limit = 4.0
    limiter.raise_limit(S)
    assert limiter.rate_limit == 4.0
    now = fill(limiter, S, 60, per_s=10.0)
    limiter.raise_limit(now)
    assert limiter.rate_limit == pytest.approx(4.0 + 10.0 / RECOVERY_S * 6.0)  # 6 s since the last rise
    for i in range(1, 200):
        limiter.record_call(now + i * 50 * MS)
        limiter.raise_limit(now + i * 50 * MS)
    assert limiter.rate_limit <= 10.0
