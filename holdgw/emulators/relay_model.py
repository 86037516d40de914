"""What lies between routers: each line from one to another delays, loses, doubles and reorders datagrams,
carries so many bytes a second, and may be cut one way; pure.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

MAX_DATAGRAM_BYTES = 256
BURST_S = 0.25  # a line with a bound carries so much of a second's bytes at once

LinkDelay = Callable[[str, str], float]
"""The least one-way delay between two routers, seconds."""


@dataclass(frozen=True, slots=True)
class PeerNetworkConditions:
    """What befalls every line at the moment."""

    jitter: float = 0.2
    loss: float = 0.0
    duplicates: float = 0.0
    reordered: float = 0.0
    late_ms: float = 50.0
    bytes_per_s: float = 0.0


@dataclass(slots=True)
class Counts:
    """What became of the datagrams."""

    sent: int = 0
    bytes: int = 0
    lost: int = 0
    cut: int = 0
    over: int = 0
    """Beyond a line's bytes a second."""
    long: int = 0
    """Over 256 bytes: never carried."""


class RelayModel:
    """All lines between routers, by the seed. Times are seconds on the caller's clock."""

    def __init__(self, seed: int, link_delay: LinkDelay, conditions: PeerNetworkConditions) -> None:
        self.conditions = conditions
        self.counts: dict[str, Counts] = {}
        self._link_delay = link_delay
        self._random = random.Random(f"{seed}/relay")
        self._cut: dict[tuple[str, str], float] = {}
        self._allowance: dict[
            tuple[str, str], tuple[float, float]
        ] = {}  # bytes that a line may carry, and when

    def block(self, a: Iterable[str], b: Iterable[str], until: float, both: bool) -> None:
        """Nothing comes from `a` to `b` until then, nor back if `both`; what is sent meanwhile is lost."""
        others = list(b)
        for one in a:
            for other in others:
                if one == other:
                    continue
                for pair in ((one, other), (other, one)) if both else ((one, other),):
                    self._cut[pair] = max(self._cut.get(pair, until), until)

    def delivery_delays(self, now: float, a: str, b: str, size: int) -> list[float]:
        """Delays after which copies of a datagram come to `b`; none where it is lost."""
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
        most = max(rate * BURST_S, float(MAX_DATAGRAM_BYTES))
        room, since = self._allowance.get((a, b), (most, now))
        room = min(room + (now - since) * rate, most)
        fits = size <= room
        self._allowance[a, b] = (room - size if fits else room, now)
        return fits
