"""What the failures of the days bring to the memberships of a tier: messages, time, the worst second.

Simulated time over 43 sites (bench.slopes_tier). A rack is a site's routers, a zone and a region are their
parts of the tier; `restart` is a process killed and started 1 s later. Regions: one loses all others for 5
minutes.
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
LEARN_MOST_S = 90.0
CALM_SECONDS = 5
CUT_S = 300.0
CUT_SIZES, CUT_ONCE = (50, 100, 200, 400), 760  # the last takes ten minutes and more
RACK = 18  # routers of a site at the size, 760 / 43


@dataclass(frozen=True, slots=True)
class Case:
    """Who fails together, and whether they come back at once."""

    name: str
    who: Callable[[int], Sequence[int]]
    back: bool = False


def of_zone(size: int) -> list[int]:
    """The routers of the second zone."""
    return [number for number in range(size) if zone(number) == 1 % ZONES]


def second_region_routers(size: int) -> list[int]:
    """The routers of the second region."""
    return [number for number in range(size) if region(number) == 1]


CASES = (
    Case("one dies", lambda size: [size // 2]),
    Case("one restarts", lambda size: [size // 2], back=True),
    Case("a rack dies", lambda size: range(max(size * RACK // 760, 1))),
    Case("a zone dies", of_zone),
    Case("a zone restarts", of_zone, back=True),
    Case("a region dies", second_region_routers),
)


def play(readings: Readings, case: Case, size: int, seed: int) -> None:
    """One failure: what it brings beyond calm, until every router holds what is true."""
    tier = make_tier(size, seed)
    seconds = TrafficPerSecond(tier)
    for _ in range(CALM_SECONDS):
        seconds.run_second()
    calm = seconds.messages / CALM_SECONDS
    seconds.reset()
    who = list(case.who(size))
    for number in who:
        tier.kill(number)
        if case.back:
            tier.at(tier.now + int(DOWN_S * 1e9), lambda number=number: tier.start(number))  # type: ignore[misc]
    present = [n for n in range(size) if case.back or n not in set(who)]
    began = tier.now
    while (tier.now - began) / 1e9 < LEARN_MOST_S:
        seconds.run_second()
        if (tier.now - began) / 1e9 > DOWN_S and membership_converged(tier, present):
            break
    took = (tier.now - began) / 1e9
    more = seconds.messages - calm * took
    readings.add(f"{case.name}: all know", size, took)
    readings.add(f"{case.name}: messages", size, max(more, 0.0) / size)
    readings.add(f"{case.name}: worst second", size, seconds.max_bytes)
    readings.add(f"{case.name}: worst second, mean", size, seconds.max_mean_bytes)


def cut(readings: Readings, size: int, seed: int) -> None:
    """A region loses the others for 5 minutes and comes back."""
    tier = make_tier(size, seed)
    away = set(second_region_routers(size))
    until = tier.now / 1e9 + CUT_S
    tier.relay.block(
        map(router_name, away), [router_name(n) for n in range(size) if n not in away], until, both=True
    )
    seconds = TrafficPerSecond(tier)
    while tier.now / 1e9 < until:
        seconds.run_second()
    readings.add("regions apart: worst second", size, seconds.max_bytes)
    seconds.reset()
    began = tier.now
    while (tier.now - began) / 1e9 < LEARN_MOST_S and not membership_converged(tier, range(size)):
        seconds.run_second()
    readings.add("regions back: one again", size, (tier.now - began) / 1e9)
    readings.add("regions back: worst second", size, seconds.max_bytes)
    readings.add("regions back: worst second, mean", size, seconds.max_mean_bytes)


def declare(readings: Readings) -> None:
    """All series."""
    for case in CASES:
        readings.declare_series(f"{case.name}: all know", "routers", "s", Scale.LOG2)
        readings.declare_series(f"{case.name}: messages", "routers", "a router")
        readings.declare_series(f"{case.name}: worst second", "routers", "bytes")
        readings.declare_series(f"{case.name}: worst second, mean", "routers", "bytes")


def measure() -> Measurement:
    """All failures but the cut; some ten minutes on one core."""
    readings = Readings()
    declare(readings)
    for seed in range(1, REPEATS + 1):
        for size in ROUTER_COUNTS:
            for case in CASES:
                play(readings, case, size, seed)
    return build_measurement("failures", readings)


def measure_partition() -> Measurement:
    """The regions that lose each other; half an hour on one core."""
    readings = Readings()
    readings.declare_series("regions apart: worst second", "routers", "bytes")
    readings.declare_series("regions back: one again", "routers", "s", Scale.LOG2)
    readings.declare_series("regions back: worst second", "routers", "bytes")
    readings.declare_series("regions back: worst second, mean", "routers", "bytes")
    for size in CUT_SIZES:
        for seed in range(1, REPEATS + 1):
            cut(readings, size, seed)
    cut(readings, CUT_ONCE, 1)
    return build_measurement("regions", readings)
