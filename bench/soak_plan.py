"""Draws a soak run from its seed: deadlines, signals in series, and the disturbances beside them."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

DEADLINES_S = (0.4, 0.6, 0.9)
FIRST_SIGNAL_S = (1.2, 1.8)
"""Range of the time of the first signal after the start of the load."""


class Signals(Enum):
    """A series of signals that one router receives."""

    HANGUPS_THEN_TERM = "hup,hup,term"
    HANGUP_AMID_DRAIN = "term,hup"
    TERM_TWICE = "term,term"
    HANGUP_AND_TERM_TWICE = "hup,term,hup,term"
    RESTART_AS_SOON_AS_READY = "term,start,term"
    TAKEOVER = "start,term"


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """What one run plays."""

    seed: int
    deadline_s: float
    """The longest deadline: clients wait so long, and SIGKILL follows SIGTERM after this time and 0.7 s."""
    signals: tuple[Signals, Signals]
    """For each router in turn."""
    first_signal_s: float
    clients: int
    """Clients of each router, which keep their connections."""
    max_pipeline: int
    """The most commands that a client sends at once."""
    crowd: int
    """Idle and half-open connections to each router, beyond its limit; 0: none."""
    broken_values: float
    """Fraction of the long values that break off."""
    resets: float
    """Fraction of the requests whose connection a cache server resets."""
    drain_after_outage: bool
    """Whether discovery is down for a while, and a cache server drains at its return."""
    invalid_commands: float
    """Fraction of the commands that are invalid or have no time left; each gets an error in its turn."""


def draw_plan(seed: int) -> SoakPlan:
    """Draw the plan of a seed; each field has a draw of its own."""
    draw = random.Random(f"{seed}/soak")
    first, second = draw.choice(list(Signals)), draw.choice(list(Signals))
    return SoakPlan(
        seed=seed,
        deadline_s=draw.choice(DEADLINES_S),
        signals=(first, second),
        first_signal_s=draw.uniform(*FIRST_SIGNAL_S),
        clients=draw.randint(4, 10),
        max_pipeline=draw.choice((1, 4, 12)),
        crowd=draw.choice((0, 0, 150)),
        broken_values=draw.choice((0.0, 0.1)),
        resets=draw.choice((0.0, 0.03)),
        drain_after_outage=draw.random() < 0.5,
        invalid_commands=draw.choice((0.0, 0.02)),
    )
