"""Measures what failures cost the memberships of a tier: messages, time until all know, and peak traffic.

The tier is simulated over 43 sites (bench.slopes_tier). Routers fail alone or by rack (the routers of a
site), zone or region; a restart is a process killed and started again 1 s later. In a second measurement, one
region is partitioned from all others for 5 minutes.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from bench.capacity_model import Measurement, Scale
from bench.slopes import REPEATS, ROUTER_COUNTS, Readings, build_measurement
from bench.slopes_tier import (
    ZONES,
    TrafficPerSecond,
    make_tier,
    membership_converged,
    region,
    router_name,
    zone,
)

DOWN_S = 1.0
MAX_CONVERGENCE_S = 90.0
BASELINE_SECONDS = 5
PARTITION_S = 300.0
REPEATED_SIZES, SINGLE_RUN_SIZE = (50, 100, 200, 400), 760  # a run at 760 takes over ten minutes
ROUTERS_PER_RACK = 18  # 760 routers / 43 sites


@dataclass(frozen=True, slots=True)
class FailureCase:
    """Routers that fail together, and whether they are started again `DOWN_S` later."""

    name: str
    failing_routers: Callable[[int], Sequence[int]]
    """Returns the numbers of the routers that fail in a tier of the given size."""
    restarts: bool = False


def second_zone_routers(size: int) -> list[int]:
    """Return the routers of the second zone."""
    return [number for number in range(size) if zone(number) == 1 % ZONES]


def second_region_routers(size: int) -> list[int]:
    """Return the routers of the second region."""
    return [number for number in range(size) if region(number) == 1]


CASES = (
    FailureCase("one dies", lambda size: [size // 2]),
    FailureCase("one restarts", lambda size: [size // 2], restarts=True),
    FailureCase("a rack dies", lambda size: range(max(size * ROUTERS_PER_RACK // 760, 1))),
    FailureCase("a zone dies", second_zone_routers),
    FailureCase("a zone restarts", second_zone_routers, restarts=True),
    FailureCase("a region dies", second_region_routers),
)


def measure_failure(readings: Readings, case: FailureCase, size: int, seed: int) -> None:
    """Measure one failure until every running router's view is right, at most `MAX_CONVERGENCE_S`.

    Messages are those beyond the rate of `BASELINE_SECONDS` without a failure.
    """
    tier = make_tier(size, seed)
    traffic = TrafficPerSecond(tier)
    for _ in range(BASELINE_SECONDS):
        traffic.run_second()
    baseline = traffic.messages / BASELINE_SECONDS
    traffic.reset()
    failing = list(case.failing_routers(size))
    for number in failing:
        tier.kill(number)
        if case.restarts:
            tier.at(tier.now + int(DOWN_S * 1e9), lambda number=number: tier.start(number))  # type: ignore[misc]
    present = [n for n in range(size) if case.restarts or n not in set(failing)]
    started = tier.now
    while (tier.now - started) / 1e9 < MAX_CONVERGENCE_S:
        traffic.run_second()
        if (tier.now - started) / 1e9 > DOWN_S and membership_converged(tier, present):
            break
    convergence_s = (tier.now - started) / 1e9
    extra_messages = traffic.messages - baseline * convergence_s
    readings.add(f"{case.name}: all know", size, convergence_s)
    readings.add(f"{case.name}: messages", size, max(extra_messages, 0.0) / size)
    readings.add(f"{case.name}: worst second", size, traffic.max_bytes)
    readings.add(f"{case.name}: worst second, mean", size, traffic.max_mean_bytes)


def measure_region_partition(readings: Readings, size: int, seed: int) -> None:
    """Measure the partition of one region from all others, and the recovery of all views after it."""
    tier = make_tier(size, seed)
    partitioned = set(second_region_routers(size))
    until = tier.now / 1e9 + PARTITION_S
    tier.relay.block(
        map(router_name, partitioned),
        [router_name(n) for n in range(size) if n not in partitioned],
        until,
        both=True,
    )
    traffic = TrafficPerSecond(tier)
    while tier.now / 1e9 < until:
        traffic.run_second()
    readings.add("regions apart: worst second", size, traffic.max_bytes)
    traffic.reset()
    started = tier.now
    while (tier.now - started) / 1e9 < MAX_CONVERGENCE_S and not membership_converged(tier, range(size)):
        traffic.run_second()
    readings.add("regions back: one again", size, (tier.now - started) / 1e9)
    readings.add("regions back: worst second", size, traffic.max_bytes)
    readings.add("regions back: worst second, mean", size, traffic.max_mean_bytes)


def declare_failures(readings: Readings) -> None:
    """Declare the series of all failures."""
    for case in CASES:
        readings.declare_series(f"{case.name}: all know", "routers", "s", Scale.LOG2)
        readings.declare_series(f"{case.name}: messages", "routers", "a router")
        readings.declare_series(f"{case.name}: worst second", "routers", "bytes")
        readings.declare_series(f"{case.name}: worst second, mean", "routers", "bytes")


def measure() -> Measurement:
    """Measure all failures except the partition. This takes about ten minutes on one core."""
    readings = Readings()
    declare_failures(readings)
    for seed in range(1, REPEATS + 1):
        for size in ROUTER_COUNTS:
            for case in CASES:
                measure_failure(readings, case, size, seed)
    return build_measurement("failures", readings)


def measure_partition() -> Measurement:
    """Measure the partition of a region. This takes half an hour on one core."""
    readings = Readings()
    readings.declare_series("regions apart: worst second", "routers", "bytes")
    readings.declare_series("regions back: one again", "routers", "s", Scale.LOG2)
    readings.declare_series("regions back: worst second", "routers", "bytes")
    readings.declare_series("regions back: worst second, mean", "routers", "bytes")
    for size in REPEATED_SIZES:
        for seed in range(1, REPEATS + 1):
            measure_region_partition(readings, size, seed)
    measure_region_partition(readings, SINGLE_RUN_SIZE, 1)
    return build_measurement("regions", readings)
