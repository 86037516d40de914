"""Limits at the origin tuned by routers apart: how far their sum is from what the origin bears.

Each router has the decisions' own `OriginLimiter` with its part of one quota; calls come to each by a Poisson
stream of its part of twice the quota. Where the origin bears half of the quota only, it answers badly while
more than that was admitted in the last second over all, and bad answers cut the limit of the router that got
them, as `origin_concurrency.py` does: two in a row or one in five, once in a round trip.
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

ROUTERS = (10, 50, 100, 200, 400, 760)
QUOTA = 760.0  # calls a second for all routers together
DEMAND = 2.0  # times the quota
TRIP_NS = 100_000_000
WARM_UP_S, MEASURED_S = 30.0, 60.0
END_NS = int((WARM_UP_S + MEASURED_S) * NS_PER_S)
ALL_WELL = float("inf")


class Guard:
    """One router's limiter, and what it makes of the origin's answers."""

    def __init__(self, routers: int, seed: int) -> None:
        self.limiter = OriginLimiter(Tenant("all", 1.0, QUOTA), routers, random.Random(seed))
        self.bad, self.last_cut = 0.0, 0

    def answered(self, well: bool, now: int) -> None:
        """Raise the limit, or cut it, by the rule of `OriginConcurrency.record_attempt`."""
        self.bad += ((not well) - self.bad) / FAILURE_SMOOTHING
        if well:
            self.limiter.raise_limit(now)
        elif self.bad >= OVERLOAD_FAILURE_FRACTION and now - self.last_cut >= TRIP_NS:
            self.limiter.cut_limit(now)
            self.last_cut = now


def admitted(routers: int, seed: int, capacity: float, demands: list[float]) -> list[int]:
    """Times of all calls admitted; past its capacity (calls a second) the origin answers badly."""
    draw = random.Random(f"{seed}/{routers}/limits")
    guards = [Guard(routers, seed * 1000 + i) for i in range(routers)]
    due = [(int(draw.expovariate(demands[i]) * NS_PER_S), i) for i in range(routers)]
    heapify(due)
    times: list[int] = []
    waiting: list[tuple[int, int, bool]] = []
    while due[0][0] < END_NS:
        now, i = due[0]
        while waiting and waiting[0][0] <= now:
            at, which, well = waiting.pop(0)
            guards[which].answered(well, at)
        if guards[i].limiter.admit(now):
            recent = len(times) - bisect_left(times, now - NS_PER_S)
            times.append(now)
            insort(waiting, (now + TRIP_NS, i, recent < capacity))
        heapreplace(due, (now + int(draw.expovariate(demands[i]) * NS_PER_S), i))
    return times


def even_demand(routers: int) -> list[float]:
    """Calls a second that come to each router: as many to each, twice the quota in all."""
    return [DEMAND * QUOTA / routers] * routers


def skewed_demand(routers: int, seed: int) -> list[float]:
    """The same by an exponential law, the quota in all."""
    draw = random.Random(f"{seed}/{routers}/skew")
    drawn = [draw.expovariate(1.0) + 1e-3 for _ in range(routers)]
    return [one * QUOTA / sum(drawn) for one in drawn]


def admitted_rates(times: list[int]) -> tuple[float, float]:
    """Calls a second in the mean, and in the busiest second, after the warm-up."""
    begin = int(WARM_UP_S * NS_PER_S)
    first = bisect_left(times, begin)
    by_second = [0] * int(MEASURED_S)
    for at in times[first:]:
        by_second[min((at - begin) // NS_PER_S, len(by_second) - 1)] += 1
    return (len(times) - first) / MEASURED_S, float(max(by_second))


def measure() -> Measurement:
    """All of it; three minutes."""
    readings = Readings()
    for name in ("mean over quota", "worst second over quota", "mean over capacity", "worst over capacity"):
        readings.declare_series(name, "routers", "times")
    readings.declare_series("mean at skewed demand", "routers", "times")
    readings.declare_series("least of the sum", "routers", "of the quota")
    for seed in range(1, REPEATS + 1):
        for routers in ROUTERS:
            mean, worst = admitted_rates(admitted(routers, seed, ALL_WELL, even_demand(routers)))
            readings.add("mean over quota", routers, mean / QUOTA)
            readings.add("worst second over quota", routers, worst / QUOTA)
            mean, worst = admitted_rates(admitted(routers, seed, QUOTA / 2, even_demand(routers)))
            readings.add("mean over capacity", routers, mean / (QUOTA / 2))
            readings.add("worst over capacity", routers, worst / (QUOTA / 2))
            mean, _ = admitted_rates(admitted(routers, seed, ALL_WELL, skewed_demand(routers, seed)))
            readings.add("mean at skewed demand", routers, mean / QUOTA)
            floor = Guard(routers, seed).limiter.min_rate_limit * routers
            readings.add("least of the sum", routers, floor / QUOTA)
    return build_measurement("limits", readings)
