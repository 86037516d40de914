"""Measures the sum of the origin limits that routers tune independently, against the quota and the capacity.

Each router has the routing policy's `OriginLimiter` with its share of one quota, and gets calls in a Poisson
stream at its share of twice the quota. Where the origin has a capacity of half the quota, its answers are
failures while all routers together admitted more than that in the last second. Failures cut the limit of the
router that got them, as in `origin_concurrency.py`: two in a row or one in five, once in a round trip.
"""

from __future__ import annotations

import random
from bisect import bisect_left, insort
from heapq import heapify, heapreplace

from bench.capacity_model import Measurement
from bench.slopes import REPEATS, Readings, build_measurement
from holdgw.policy import NS_PER_S, Tenant
from holdgw.policy.origin_concurrency import FAILURE_SMOOTHING, OVERLOAD_FAILURE_FRACTION
from holdgw.policy.origin_limiter import OriginLimiter

ROUTER_COUNTS = (10, 50, 100, 200, 400, 760)
QUOTA = 760.0  # calls a second for all routers together
DEMAND_FACTOR = 2.0  # of the quota
ROUND_TRIP_NS = 100_000_000
WARM_UP_S, MEASURED_S = 30.0, 60.0
END_NS = int((WARM_UP_S + MEASURED_S) * NS_PER_S)
UNLIMITED_CAPACITY = float("inf")


class RouterLimiter:
    """One router's origin limiter, with the rule that raises and cuts its limit by the origin's answers."""

    def __init__(self, routers: int, seed: int) -> None:
        self.limiter = OriginLimiter(Tenant("all", 1.0, QUOTA), routers, random.Random(seed))
        self.failure_fraction, self.last_cut_ns = 0.0, 0

    def record_answer(self, succeeded: bool, now: int) -> None:
        """Raise the limit, or cut it, by the rule of `OriginConcurrency.record_attempt`."""
        self.failure_fraction += ((not succeeded) - self.failure_fraction) / FAILURE_SMOOTHING
        if succeeded:
            self.limiter.raise_limit(now)
        elif self.failure_fraction >= OVERLOAD_FAILURE_FRACTION and now - self.last_cut_ns >= ROUND_TRIP_NS:
            self.limiter.cut_limit(now)
            self.last_cut_ns = now


def simulate_admissions(routers: int, seed: int, capacity: float, demands: list[float]) -> list[int]:
    """Return the times of all admitted calls, in ns.

    `capacity` and `demands` are in calls a second: beyond the capacity, the origin's answers are failures;
    `demands` has the rate of the calls that each router gets.
    """
    rng = random.Random(f"{seed}/{routers}/limits")
    limiters = [RouterLimiter(routers, seed * 1000 + i) for i in range(routers)]
    arrivals = [(int(rng.expovariate(demands[i]) * NS_PER_S), i) for i in range(routers)]
    heapify(arrivals)
    times: list[int] = []
    pending_answers: list[tuple[int, int, bool]] = []
    while arrivals[0][0] < END_NS:
        now, i = arrivals[0]
        while pending_answers and pending_answers[0][0] <= now:
            at, router, succeeded = pending_answers.pop(0)
            limiters[router].record_answer(succeeded, at)
        if limiters[i].limiter.admit(now):
            admitted_last_s = len(times) - bisect_left(times, now - NS_PER_S)
            times.append(now)
            insort(pending_answers, (now + ROUND_TRIP_NS, i, admitted_last_s < capacity))
        heapreplace(arrivals, (now + int(rng.expovariate(demands[i]) * NS_PER_S), i))
    return times


def even_demand(routers: int) -> list[float]:
    """Return each router's demand in calls a second: the same for all, twice the quota in total."""
    return [DEMAND_FACTOR * QUOTA / routers] * routers


def skewed_demand(routers: int, seed: int) -> list[float]:
    """Return each router's demand in calls a second: drawn from an exponential law, the quota in total."""
    rng = random.Random(f"{seed}/{routers}/skew")
    weights = [rng.expovariate(1.0) + 1e-3 for _ in range(routers)]
    return [weight * QUOTA / sum(weights) for weight in weights]


def admitted_rates(times: list[int]) -> tuple[float, float]:
    """Return the mean rate and that of the busiest second after the warm-up, in admitted calls a second."""
    begin = int(WARM_UP_S * NS_PER_S)
    first = bisect_left(times, begin)
    by_second = [0] * int(MEASURED_S)
    for at in times[first:]:
        by_second[min((at - begin) // NS_PER_S, len(by_second) - 1)] += 1
    return (len(times) - first) / MEASURED_S, float(max(by_second))


def measure() -> Measurement:
    """Run the whole measurement, which takes three minutes."""
    readings = Readings()
    for name in ("mean over quota", "worst second over quota", "mean over capacity", "worst over capacity"):
        readings.declare_series(name, "routers", "times")
    readings.declare_series("mean at skewed demand", "routers", "times")
    readings.declare_series("least of the sum", "routers", "of the quota")
    for seed in range(1, REPEATS + 1):
        for routers in ROUTER_COUNTS:
            mean, worst = admitted_rates(
                simulate_admissions(routers, seed, UNLIMITED_CAPACITY, even_demand(routers))
            )
            readings.add("mean over quota", routers, mean / QUOTA)
            readings.add("worst second over quota", routers, worst / QUOTA)
            mean, worst = admitted_rates(simulate_admissions(routers, seed, QUOTA / 2, even_demand(routers)))
            readings.add("mean over capacity", routers, mean / (QUOTA / 2))
            readings.add("worst over capacity", routers, worst / (QUOTA / 2))
            mean, _ = admitted_rates(
                simulate_admissions(routers, seed, UNLIMITED_CAPACITY, skewed_demand(routers, seed))
            )
            readings.add("mean at skewed demand", routers, mean / QUOTA)
            min_sum = RouterLimiter(routers, seed).limiter.min_rate_limit * routers
            readings.add("least of the sum", routers, min_sum / QUOTA)
    return build_measurement("limits", readings)
