"""What a run does, drawn ahead from a scenario and a seed: every arrival, every choice and fault.

Nothing in it depends on how the run goes. Each part draws from a generator of its own, so that another fault
does not move the arrivals, and whoever needs the schedule (each worker process does) draws the same one for
itself (`schedule_drawing`).
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

from holdgw.emulators.seeded_draws import unit
from holdgw.harness import fault_types as t
from holdgw.harness.scenario import Scenario

# Targets of faults beside nodes, by the names that the schedule gives them.
ORIGIN = "store"
NETWORK = "network"
ROUTERS = "routers"  # processes and machines of routers
PEERS = "peers"  # lines from router to router
ADMIN = "doors"  # calls at every router's admin endpoint
LINE_MARK = "+"  # behind a zone's name, in the name of one of its lines

# Where a request comes from.
USUAL = "usual"
SCAN = "scan"
HOT_CALLER = "hot_caller"
HOT_KEY = "hot_key"
BURST = "burst"
PRELUDE = "prelude"


@dataclass(slots=True, frozen=True)
class ScheduledRequest:
    """What one client wants once, with its retries; `at` is seconds from the run's start."""

    number: int
    at: float
    request_class: int
    tenant: int
    key: bytes
    source: str
    zone: str
    spread: float
    """Which of the routers that may be had it goes through."""
    router: str
    """The router that a hot caller goes through; empty for all others."""
    abandon_after_share: float
    """The share of the give-up time after which a try is given up."""
    backoff: float
    honours_retry_after: bool
    disconnect_after_share: float
    """The share of its first try's time after which an impatient client leaves; 1 for the patient."""
    new_connection: bool
    over_quota: bool
    """Beyond its tenant's quota: worth little."""


@dataclass(slots=True, frozen=True)
class ScheduledFault:
    """Something that is done to the fleet `at` seconds from the run's start."""

    at: float
    verb: str
    target: str = ""
    args: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class DrawnFault:
    """A fault as a report shows it, with what was drawn for it."""

    kind: str
    at: float
    until: float
    text: str


@dataclass(slots=True, frozen=True)
class Schedule:
    """A drawn run. `asks` and `steps` are in order of time; the prelude's requests lie before 0."""

    scenario: Scenario
    seed: int
    requests: tuple[ScheduledRequest, ...]
    faults: tuple[ScheduledFault, ...]
    drawn_faults: tuple[DrawnFault, ...]

    @property
    def zones(self) -> tuple[str, ...]:
        """The zones."""
        return self.scenario.fleet.zones


def draw_number(place: int, fault: t.Fault) -> int:
    """The number of the draw that a fault takes its targets from."""
    return place if fault.draw < 0 else fault.draw


def generator(seed: int, purpose: str) -> random.Random:
    """A generator of random numbers for one purpose."""
    return random.Random(f"{seed}/{purpose}")


def request_id(seed: int, ask: int, number: int) -> str:
    """A try's id; new with every try, and always the same in every run."""
    return f"{int(unit(seed, 'id', ask, number) * (1 << 32)):08x}-{ask}-{number}"


def idempotency_key(seed: int, ask: int) -> str:
    """A keyed write's key; the same in all its tries."""
    return f"{int(unit(seed, 'k', ask) * (1 << 48)):012x}"
