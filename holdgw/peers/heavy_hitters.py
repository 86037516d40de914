"""Approximate counts of the most frequent keys, in bounded memory and with decay; pure."""

from __future__ import annotations

import math
from collections.abc import Mapping

from holdgw.peers.timing import NS_PER_S

COUNTERS = 256  # keys counted; the error of a count is below one in so many of the requests, with decay
COUNT_HALF_LIFE_S = 2.5
MIN_COUNT = 0.05  # a count that decayed to this is dropped
MIN_CERTAIN = 0.5  # certain counts below this round to nothing in a report, and are left out


class HeavyHitters:
    """A Space-Saving summary with exponential decay, into which batches of counts are merged.

    Sources: Metwally, Agrawal and El Abbadi, 2005; Agarwal et al., "Mergeable Summaries", 2012.

    A key that is not counted may have occurred as often as the largest count ever dropped, decayed: the
    floor. A key's count begins with the floor of that time as its error. In units above the floor the counts
    are those of a Misra-Gries summary, of which a merge takes (capacity + 1) times what it adds to the floor;
    hence the floor, and so every error, is at most total / (capacity + 1): a count is at least the true one
    and exceeds it by no more than that, and a `certain` count is never above the true one and no more than
    that below it. What has decayed to MIN_COUNT is forgotten, and may be missing from a count.
    """

    def __init__(self, capacity: int = COUNTERS, half_life_s: float = COUNT_HALF_LIFE_S) -> None:
        self.total = 0.0
        """Requests counted, with decay."""
        self._capacity = capacity
        self._half_life_ns = half_life_s * NS_PER_S
        self._counts: dict[int, tuple[float, float]] = {}  # key: (count, of which may be another key's)
        self._floor = 0.0  # how often a key that is not counted may have occurred
        self._decayed_at = 0

    def fade(self, now: int) -> None:
        """Apply the decay up to now."""
        if now == self._decayed_at:
            return
        factor = math.pow(0.5, (now - self._decayed_at) / self._half_life_ns) if self._decayed_at else 1.0
        self._decayed_at = now
        self.total *= factor
        self._floor *= factor
        self._counts = {
            key: (count * factor, error * factor)
            for key, (count, error) in self._counts.items()
            if count * factor > MIN_COUNT
        }

    def add_counts(self, batch: Mapping[int, int]) -> None:
        """Add exact counts of new occurrences, by key."""
        counts, floor = self._counts, self._floor
        self.total += sum(batch.values())
        for key, occurrences in batch.items():
            count, error = counts.get(key, (floor, floor))
            counts[key] = (count + occurrences, error)
        if len(counts) > self._capacity:
            largest = sorted(counts.items(), key=lambda one: one[1][0], reverse=True)
            self._counts = dict(largest[: self._capacity])
            self._floor = largest[self._capacity][1][0]

    def guaranteed(self, limit: int) -> dict[int, float]:
        """At most so many keys with the largest certain counts, the largest first."""
        certain = sorted(((count - error, key) for key, (count, error) in self._counts.items()), reverse=True)
        return {key: count for count, key in certain[:limit] if count >= MIN_CERTAIN}

    def __len__(self) -> int:
        return len(self._counts)
