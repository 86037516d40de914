"""Suspicions: how long a member is suspected before it counts as gone; pure.

SWIM's suspicion (Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
Membership Protocol", 2002, section 4.2), with the times of Lifeguard (Dadgar, Phillips and Currey, 2018): the
shorter the more members suspect, and longer in bad local health, in which this router's own suspicions are
often false.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import log, log10

from holdgw.peers.local_health import LocalHealth
from holdgw.peers.timing import Timing, to_ns

MAX_CONFIRMATIONS = 3  # other suspectors of a member, from which on its suspicion is the shortest


@dataclass(slots=True)
class Suspicion:
    """Of one member. Times: nanoseconds of the caller's monotonic clock."""

    began_ns: int
    ends_ns: int = 0
    suspectors: set[int] = field(default_factory=set)
    """Numbers of the members that suspect it, as far as they make the suspicion shorter."""


class Suspicions:
    """The open suspicions, by member."""

    def __init__(self, member_count: int, timing: Timing, health: LocalHealth) -> None:
        self._health = health
        self._min_s = timing.min_suspicion * max(log10(member_count + 1), 1.0)
        self._max_s = self._min_s * timing.max_suspicion_multiple
        self._open: dict[int, Suspicion] = {}

    def begin(self, number: int, now: int) -> None:
        """Suspect a member, with no suspectors yet; an earlier suspicion of it is forgotten."""
        self.end(number)
        suspicion = Suspicion(now)
        self._open[number] = suspicion
        self._set_end(suspicion)

    def end(self, number: int) -> None:
        """A member is no longer suspected."""
        self._open.pop(number, None)

    def add_suspector(self, number: int, suspector: int) -> bool:
        """A router suspects this suspected member, too; returns whether that is new and counts."""
        suspicion = self._open[number]
        if suspector in suspicion.suspectors or len(suspicion.suspectors) > MAX_CONFIRMATIONS:
            return False
        suspicion.suspectors.add(suspector)
        self._set_end(suspicion)
        return True

    def extend(self, duration_ns: int) -> None:
        """Let all suspicions end so much later."""
        for suspicion in self._open.values():
            suspicion.ends_ns += duration_ns

    def expired(self, now: int) -> list[int]:
        """The members whose suspicion has ended without a refutation."""
        return [number for number, suspicion in self._open.items() if now >= suspicion.ends_ns]

    def _set_end(self, suspicion: Suspicion) -> None:
        confirmations = max(len(suspicion.suspectors) - 1, 0)
        progress = min(log(confirmations + 1) / log(MAX_CONFIRMATIONS + 1), 1.0)
        duration_s = max(self._max_s - (self._max_s - self._min_s) * progress, self._min_s)
        suspicion.ends_ns = suspicion.began_ns + to_ns(duration_s * self._health.suspicion_multiplier)
