"""The scale runs' sizes, locations, fault scenarios and resource limits. Pure functions and data.

The topology is the operators': 43 sites in 25 zones in 8 regions. Times are seconds of the rig's clock, which
may run slower than the machine's by a factor (see `slow_factor`).
"""

from __future__ import annotations

from enum import Enum
from math import ceil
from typing import NamedTuple
from zlib import crc32

SIZES = (50, 100, 200, 400, 760)
SITES, ZONES, REGIONS = 43, 25, 8
SITE_STRIDE = 11  # sites between routers of consecutive numbers
SERVERS = 96
LOW_RATE_PER_S = 10.0  # requests a second of each real router, and of the hollow routers compared with them
MAX_PROCESSES = 200
MAX_MEMORY_FRACTION = 0.5  # of the machine's memory that a run may take
MAX_WORKERS = 100
MAX_SLOW_FACTOR = 30.0
PLANNED_CORE_FRACTION = 0.8  # of a core that the hollow routers of one process may take
RESERVED_CORES = 1  # for the relay and the parent process

HOLLOW_ROUTER_BYTES = 3_000_000  # reserved for each hollow router; the run measures the memory it takes
PROCESS_BYTES = 80_000_000
REAL_ROUTER_BYTES = 200_000_000  # reserved for a real router, and for a worker of the harness
HARNESS_PROCESSES = 12  # at most, beside real routers: emulators, clients and their orchestrator
RESERVED_DESCRIPTORS = 64
REAL_DESCRIPTORS = 4000  # of the process with the most connections, when there are real routers

SAME_SITE_DELAY_S, SAME_ZONE_DELAY_S, SAME_REGION_DELAY_S, INTER_REGION_DELAY_S = (
    0.0001,
    0.0003,
    0.001,
    (0.015, 0.060),
)


class Location(NamedTuple):
    """A router's location in the topology."""

    site: int
    zone: int
    region: int


class Machine(NamedTuple):
    """The machine's resources. `memory`: bytes; `descriptors`: the limit of one process."""

    cores: int
    memory: int
    descriptors: int


class Needs(NamedTuple):
    """The most that a run takes. `memory`: bytes; `cores`: at a clock that is not slowed."""

    processes: int
    memory: int
    descriptors: int
    cores: float


class FaultKind(Enum):
    """A kind of fault. The values are verbs of the hollow process, except CUT, which the relay handles."""

    KILL = "kill"
    CUT = "cut"
    SLOW = "slow"
    """The process runs for only a part of each 100 ms."""
    PAUSE = "hold"
    """The process stops running for a while, then resumes."""


class FaultStep(NamedTuple):
    """A fault at a time of the scenario.

    `members` are the affected routers, none for a cut; `seconds` is its duration, 0 for ever; `label` names
    the fault in the figures.
    """

    at: float
    kind: FaultKind
    members: tuple[int, ...] = ()
    seconds: float = 0.0
    label: str = ""


class Window(NamedTuple):
    """A span of a scenario, in whole seconds, that figures are reported for."""

    name: str
    since: int
    until: int


class ScaleScenario(NamedTuple):
    """The faults of a run, the windows that are measured, and the run's length in seconds."""

    name: str
    steps: tuple[FaultStep, ...]
    windows: tuple[Window, ...]
    length: int


class LagBounds(NamedTuple):
    """Bounds on the rig's event-loop lag, seconds; figures of a run that exceeds one are void."""

    lag_p99: float = 0.05
    lag_worst: float = 0.15
    """A membership's 0.1 s tick that runs 0.15 s late takes its own process for one that was paused."""


LAG_BOUNDS = LagBounds()
WARM_UP_S = 10


def location_of(number: int) -> Location:
    """Return a router's location. Sites have equally many routers, and consecutive numbers lie far apart."""
    site = number * SITE_STRIDE % SITES
    zone = site * ZONES // SITES
    return Location(site, zone, zone * REGIONS // ZONES)


def one_way_delay(a: int, b: int) -> float:
    """Return the least one-way delay between two routers, seconds."""
    location, other_location = location_of(a), location_of(b)
    if location.site == other_location.site:
        return SAME_SITE_DELAY_S
    if location.zone == other_location.zone:
        return SAME_ZONE_DELAY_S
    if location.region == other_location.region:
        return SAME_REGION_DELAY_S
    low, high = sorted((location.region, other_location.region))
    return (
        INTER_REGION_DELAY_S[0]
        + (INTER_REGION_DELAY_S[1] - INTER_REGION_DELAY_S[0]) * (crc32(b"%d-%d" % (low, high)) % 1000) / 1000
    )


def routers_in_region(size: int, region: int) -> tuple[int, ...]:
    """Return the numbers of a region's routers."""
    return tuple(number for number in range(size) if location_of(number).region == region)


def build_scenario(name: str, size: int, real: int, aggregators: int = 0) -> ScaleScenario:
    """Return the scenario of a name for `size` routers.

    The first `real` routers are real processes and suffer no fault. Aggregators have the numbers after the
    routers'. Raises KeyError if there is no such scenario.
    """
    if name == "aggregators":
        return _aggregators(size, aggregators)
    return {"calm": _calm, "deaths": _deaths, "cut": _cut}[name](size, real)


SCENARIOS = ("calm", "deaths", "cut", "aggregators")


def _calm(size: int, real: int) -> ScaleScenario:
    return ScaleScenario("calm", (), (Window("calm", WARM_UP_S, WARM_UP_S + 4),), WARM_UP_S + 4)


def _deaths(size: int, real: int) -> ScaleScenario:
    """One router dies; then 8 % (60 of 760) within 5 s, at neighbouring sites, as in the loss of a zone."""
    first, *others = sorted(range(real, size), key=lambda number: (location_of(number).site, number))
    several = others[: max(round(size * 60 / 760), 1)]
    begin = WARM_UP_S + 8
    steps = [FaultStep(WARM_UP_S + 4, FaultKind.KILL, (first,), label="one death")]
    steps += [
        FaultStep(begin + 5 * i / len(several), FaultKind.KILL, (number,), label="8 % die in 5 s")
        for i, number in enumerate(several)
    ]
    windows = (
        Window("calm", WARM_UP_S, WARM_UP_S + 4),
        Window("one death", WARM_UP_S + 4, begin),
        Window("8 % die in 5 s", begin, begin + 8),
    )
    return ScaleScenario("deaths", tuple(steps), windows, begin + 17)


def _cut(size: int, real: int) -> ScaleScenario:
    """A region is cut off for 5 s; later a tenth of the routers run for 20 ms of each 100."""
    hollow = range(real, size)
    slow = tuple(hollow[:: max(len(hollow) * 10 // size, 10)])
    steps = (
        FaultStep(WARM_UP_S, FaultKind.CUT, seconds=5.0, label="region cut"),
        FaultStep(WARM_UP_S + 10, FaultKind.SLOW, slow, seconds=8.0, label="10 % slow"),
    )
    windows = (
        Window("region cut", WARM_UP_S, WARM_UP_S + 5),
        Window("region back", WARM_UP_S + 5, WARM_UP_S + 10),
        Window("10 % slow", WARM_UP_S + 10, WARM_UP_S + 18),
    )
    return ScaleScenario("cut", steps, windows, WARM_UP_S + 18)


def _aggregators(size: int, count: int) -> ScaleScenario:
    """An aggregator dies, another is paused for 5 s and resumes, and at last all of them die."""
    first, *others = range(size, size + max(count, 2))
    steps = (
        FaultStep(WARM_UP_S, FaultKind.KILL, (first,), label="an aggregator dies"),
        FaultStep(WARM_UP_S + 6, FaultKind.PAUSE, (others[0],), 5.0, label="an aggregator frozen"),
        FaultStep(WARM_UP_S + 16, FaultKind.KILL, tuple(others), label="all aggregators die"),
    )
    windows = (
        Window("an aggregator dies", WARM_UP_S, WARM_UP_S + 6),
        Window("an aggregator frozen", WARM_UP_S + 6, WARM_UP_S + 11),
        Window("it wakes", WARM_UP_S + 11, WARM_UP_S + 16),
        Window("all aggregators die", WARM_UP_S + 16, WARM_UP_S + 24),
    )
    return ScaleScenario("aggregators", steps, windows, WARM_UP_S + 24)


def worker_count(machine: Machine, hollow: int) -> int:
    """Return the number of processes that `hollow` hollow routers are spread over."""
    return max(min(machine.cores - RESERVED_CORES, hollow, MAX_WORKERS), 1)


def assign_routers(numbers: range, workers: int) -> list[list[int]]:
    """Return each worker's routers: equally many, and from all sites."""
    return [list(numbers[i::workers]) for i in range(workers)]


def needs(size: int, real: int, workers: int, cost: float) -> Needs:
    """Return the resources of a run; `cost`: CPU seconds that a router's control takes per second."""
    hollow = size - real
    harness_processes = real + HARNESS_PROCESSES if real else 0
    processes = workers + 2 + harness_processes
    memory = (
        hollow * HOLLOW_ROUTER_BYTES + (workers + 2) * PROCESS_BYTES + harness_processes * REAL_ROUTER_BYTES
    )
    descriptors = RESERVED_DESCRIPTORS + max(size + 1, ceil(hollow / workers))
    return Needs(processes, memory, max(descriptors, REAL_DESCRIPTORS * bool(real)), size * cost)


def slow_factor(needed: Needs, workers: int) -> float:
    """Return the factor, at least 1, by which the clock must be slowed for hollow routers to run on time."""
    factor = needed.cores / (workers * PLANNED_CORE_FRACTION)
    return max(ceil(factor * 4) / 4, 1.0)


def refusal(machine: Machine, needed: Needs, slow: float, real: int) -> str:
    """Return in one line why a run can't start on this machine; empty if it can."""
    if needed.processes > MAX_PROCESSES:
        return f"{needed.processes} processes needed, {MAX_PROCESSES} are the most"
    if needed.memory > machine.memory * MAX_MEMORY_FRACTION:
        allowed_mb = int(machine.memory * MAX_MEMORY_FRACTION) >> 20
        return f"{needed.memory >> 20} MB needed, half of this machine's memory is {allowed_mb} MB"
    if needed.descriptors > machine.descriptors:
        return f"{needed.descriptors} descriptors needed in one process, its limit is {machine.descriptors}"
    if machine.cores < 2:
        return "2 cores needed, this machine has 1"
    if real and slow > 1.0:
        return f"real routers need a clock that is not slowed, hollow ones here one slowed by {slow:g}"
    if slow > MAX_SLOW_FACTOR:
        return f"a clock slowed by {slow:g} needed, {MAX_SLOW_FACTOR:g} is the most: more cores needed"
    return ""
