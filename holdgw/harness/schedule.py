"""The schedule of a run, drawn ahead from a scenario and a seed: every arrival, choice and fault.

Nothing in a schedule depends on how the run goes. Each part draws from a generator of its own, so that
another fault does not move the arrivals. Each process that needs the schedule draws the same one for itself
(`schedule_drawing`).
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

from holdgw.emulators.seeded_draws import unit
from holdgw.harness import fault_types as t
from holdgw.harness.scenario import Scenario

# Targets of faults other than nodes, as they stand in `ScheduledFault.target`.
ORIGIN = "store"
NETWORK = "network"
ROUTERS = "routers"  # routers' processes and machines
PEERS = "peers"  # the lines between routers
ADMIN = "doors"  # calls to every router's admin endpoint
LINE_MARK = "+"  # between a zone's name and a number, in the name of a line within the zone

# Sources of requests, as reports name them: which part of the load or which fault a request belongs to.
USUAL = "usual"
SCAN = "scan"
HOT_CALLER = "hot_caller"
HOT_KEY = "hot_key"
BURST = "burst"
PRELUDE = "prelude"


@dataclass(slots=True, frozen=True)
class ScheduledRequest:
    """One request of a client, sent once and retried; `at` is in seconds from the run's start."""

    number: int
    at: float
    request_class: int
    tenant: int
    key: bytes
    source: str
    zone: str
    spread: float
    """Selects one of the available routers; in [0, 1)."""
    router: str
    """The router that a hot caller uses; empty for all other requests."""
    abandon_after_share: float
    """Fraction of the class's give-up time after which the client abandons an attempt and may retry."""
    backoff: float
    honours_retry_after: bool
    disconnect_after_share: float
    """Fraction of the first attempt's time after which an impatient client disconnects; 1: it does not."""
    new_connection: bool
    over_quota: bool
    """Beyond its tenant's quota, and therefore worth little in the service score."""


@dataclass(slots=True, frozen=True)
class ScheduledFault:
    """One change to the fleet, `at` seconds from the run's start."""

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
    """A drawn run: requests and faults in order of time; the prelude's requests have negative times."""

    scenario: Scenario
    seed: int
    requests: tuple[ScheduledRequest, ...]
    faults: tuple[ScheduledFault, ...]
    drawn_faults: tuple[DrawnFault, ...]

    @property
    def zones(self) -> tuple[str, ...]:
        """The zones of the fleet."""
        return self.scenario.fleet.zones


def draw_number(place: int, fault: t.Fault) -> int:
    """Return the number that names a fault's random draws: its field `draw`, or if that is negative `place`.

    `place` is the fault's position in the scenario file.
    """
    return place if fault.draw < 0 else fault.draw


def generator(seed: int, purpose: str) -> random.Random:
    """Return a generator of random numbers for one purpose, independent of those for others."""
    return random.Random(f"{seed}/{purpose}")


def request_id(seed: int, ask: int, number: int) -> str:
    """Return the request id of a client's attempt: another one for each attempt, the same in every run."""
    return f"{int(unit(seed, 'id', ask, number) * (1 << 32)):08x}-{ask}-{number}"


def idempotency_key(seed: int, ask: int) -> str:
    """Return the idempotency key of a keyed write, the same in all its attempts."""
    return f"{int(unit(seed, 'k', ask) * (1 << 48)):012x}"
