"""Suspicions: how long a member is suspected before it counts as gone; pure.

SWIM's suspicion (Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
Membership Protocol", 2002, section 4.2), with the timeouts of Lifeguard (Dadgar, Phillips and Currey, 2018).
A suspicion is shorter the more members suspect the same one. It is longer in bad local health, as this
router's own suspicions are often false then.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import log, log10

from holdgw.peers.local_health import LocalHealth
from holdgw.peers.timing import Timing, to_ns

MAX_CONFIRMATIONS = 3  # further suspectors of a member with which its suspicion is the shortest


@dataclass(slots=True)
class Suspicion:
    """The suspicion of one member. Times are nanoseconds of the caller's monotonic clock."""

    began_ns: int
    ends_ns: int = 0
    suspectors: set[int] = field(default_factory=set)
    """Numbers of the members that suspect it, up to the number that still shortens the suspicion."""


class Suspicions:
    """The open suspicions, by the suspected member's number."""

    def __init__(self, member_count: int, timing: Timing, health: LocalHealth) -> None:
        self._health = health
        self._min_s = timing.min_suspicion * max(log10(member_count + 1), 1.0)
        self._max_s = self._min_s * timing.max_suspicion_multiple
        self._open: dict[int, Suspicion] = {}

    def begin(self, number: int, now: int) -> None:
        """Start a suspicion of a member, with no suspectors yet; it replaces an earlier one of the member."""
        self.end(number)
        suspicion = Suspicion(now)
        self._open[number] = suspicion
        self._set_end(suspicion)

    def end(self, number: int) -> None:
        """End the suspicion of a member, if there is one."""
        self._open.pop(number, None)

    def add_suspector(self, number: int, suspector: int) -> bool:
        """Add a router that suspects this suspected member; returns whether it shortens the suspicion."""
        suspicion = self._open[number]
        if suspector in suspicion.suspectors or len(suspicion.suspectors) > MAX_CONFIRMATIONS:
            return False
        suspicion.suspectors.add(suspector)
        self._set_end(suspicion)
        return True

    def extend(self, extension_ns: int) -> None:
        """Extend all open suspicions by `extension_ns`."""
        for suspicion in self._open.values():
            suspicion.ends_ns += extension_ns

    def expired(self, now: int) -> list[int]:
        """Return the members whose suspicion has ended without a refutation."""
        return [number for number, suspicion in self._open.items() if now >= suspicion.ends_ns]

    def _set_end(self, suspicion: Suspicion) -> None:
        confirmations = max(len(suspicion.suspectors) - 1, 0)
        progress = min(log(confirmations + 1) / log(MAX_CONFIRMATIONS + 1), 1.0)
        duration_s = max(self._max_s - (self._max_s - self._min_s) * progress, self._min_s)
        suspicion.ends_ns = suspicion.began_ns + to_ns(duration_s * self._health.suspicion_multiplier)
