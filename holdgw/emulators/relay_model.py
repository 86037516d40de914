"""The network between routers: each link delays, drops, duplicates and reorders datagrams; pure.

A link may also have a limit of bytes per second, and may be blocked in one direction.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

MAX_DATAGRAM_BYTES = 256
BURST_S = 0.25  # burst of a rate-limited link, as seconds of its byte rate

LinkDelay = Callable[[str, str], float]
"""Returns the minimum one-way delay between two routers, seconds."""


@dataclass(frozen=True, slots=True)
class PeerNetworkConditions:
    """Current conditions of all links.

    `jitter` is a share of the delay; `loss`, `duplicates` and `reordered` are shares of datagrams; `late_ms`
    is the largest additional delay of a reordered datagram; `bytes_per_s` limits each link, 0 for unlimited.
    """

    jitter: float = 0.2
    loss: float = 0.0
    duplicates: float = 0.0
    reordered: float = 0.0
    late_ms: float = 50.0
    bytes_per_s: float = 0.0


@dataclass(slots=True)
class Counts:
    """Counters of the datagrams sent by one router."""

    sent: int = 0
    bytes: int = 0
    lost: int = 0
    cut: int = 0
    over: int = 0
    """Dropped above the byte rate of the link."""
    long: int = 0
    """Over 256 bytes: always dropped."""


class RelayModel:
    """The links between all routers, with draws from the seed. Times are seconds on the caller's clock."""

    def __init__(self, seed: int, link_delay: LinkDelay, conditions: PeerNetworkConditions) -> None:
        self.conditions = conditions
        self.counts: dict[str, Counts] = {}
        self._link_delay = link_delay
        self._random = random.Random(f"{seed}/relay")
        self._cut: dict[tuple[str, str], float] = {}
        # Bytes that a link may still carry, and as of when.
        self._allowance: dict[tuple[str, str], tuple[float, float]] = {}

    def block(self, a: Iterable[str], b: Iterable[str], until: float, both: bool) -> None:
        """Drop all datagrams from `a` to `b` until then, and with `both` also those from `b` to `a`."""
        other_routers = list(b)
        for router in a:
            for other_router in other_routers:
                if router == other_router:
                    continue
                for pair in (
                    ((router, other_router), (other_router, router)) if both else ((router, other_router),)
                ):
                    self._cut[pair] = max(self._cut.get(pair, until), until)

    def delivery_delays(self, now: float, a: str, b: str, size: int) -> list[float]:
        """Return the delay in seconds of each copy of a datagram that reaches `b`; empty if it is lost."""
        counts, conditions, draw = self.counts.setdefault(a, Counts()), self.conditions, self._random.random
        counts.sent += 1
        counts.bytes += size
        if size > MAX_DATAGRAM_BYTES:
            counts.long += 1
            return []
        if now < self._cut.get((a, b), float("-inf")):
            counts.cut += 1
            return []
        if conditions.bytes_per_s and not self._within_rate(now, a, b, size):
            counts.over += 1
            return []
        delays = []
        for _ in range(2 if conditions.duplicates and draw() < conditions.duplicates else 1):
            if conditions.loss and draw() < conditions.loss:
                counts.lost += 1
                continue
            delay = self._link_delay(a, b) * (1.0 + draw() * conditions.jitter)
            if conditions.reordered and draw() < conditions.reordered:
                delay += draw() * conditions.late_ms / 1000
            delays.append(delay)
        return delays

    def _within_rate(self, now: float, a: str, b: str, size: int) -> bool:
        rate = self.conditions.bytes_per_s
        burst = max(rate * BURST_S, float(MAX_DATAGRAM_BYTES))
        allowance, since = self._allowance.get((a, b), (burst, now))
        allowance = min(allowance + (now - since) * rate, burst)
        fits = size <= allowance
        self._allowance[a, b] = (allowance - size if fits else allowance, now)
        return fits
