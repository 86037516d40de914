"""Approximate counts of the most frequent keys, in bounded memory and with decay; pure."""

from __future__ import annotations

import math
from collections.abc import Mapping

from holdgw.peers.timing import NS_PER_S

COUNTERS = 256  # keys counted; the error of a count is below 1/256 of all requests, both decayed
COUNT_HALF_LIFE_S = 2.5
MIN_COUNT = 0.05  # counts that have decayed to this are dropped
MIN_GUARANTEED = 0.5  # guaranteed counts below this would be rounded to 0 in a report, and are left out


class HeavyHitters:
    """A Space-Saving summary with exponential decay, into which batches of counts are merged.

    Sources: Metwally, Agrawal and El Abbadi, 2005; Agarwal et al., "Mergeable Summaries", 2012.

    A key that is not counted may have occurred as often as the largest count ever dropped, decayed: the
    floor. The count of a new key starts at the current floor, which is its error. The parts of the counts
    above the floor form a Misra-Gries summary, from which a merge subtracts (capacity + 1) times the amount
    that it adds to the floor. Hence the floor, and so every error, is at most total / (capacity + 1). A count
    is at least the true one and exceeds it by at most that error; a `guaranteed` count is at most the true
    one and falls short of it by at most that error. A count that has decayed to MIN_COUNT is dropped, so that
    as much may be missing from later counts of the key.
    """

    def __init__(self, capacity: int = COUNTERS, half_life_s: float = COUNT_HALF_LIFE_S) -> None:
        self.total = 0.0
        """Decayed number of all occurrences added."""
        self._capacity = capacity
        self._half_life_ns = half_life_s * NS_PER_S
        self._counts: dict[int, tuple[float, float]] = {}  # by key: count and its error
        self._floor = 0.0  # decayed bound on the occurrences of a key that is not counted
        self._decayed_at = 0

    def decay(self, now: int) -> None:
        """Decay all counts up to `now`, ns of the caller's monotonic clock."""
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
        """Merge a batch of exact counts of new occurrences, by key."""
        counts, floor = self._counts, self._floor
        self.total += sum(batch.values())
        for key, occurrences in batch.items():
            count, error = counts.get(key, (floor, floor))
            counts[key] = (count + occurrences, error)
        if len(counts) > self._capacity:
            largest = sorted(counts.items(), key=lambda item: item[1][0], reverse=True)
            self._counts = dict(largest[: self._capacity])
            self._floor = largest[self._capacity][1][0]

    def guaranteed(self, limit: int) -> dict[int, float]:
        """Return up to `limit` keys with the largest guaranteed counts, and these counts, largest first."""
        guaranteed = sorted(
            ((count - error, key) for key, (count, error) in self._counts.items()), reverse=True
        )
        return {key: count for count, key in guaranteed[:limit] if count >= MIN_GUARANTEED}

    def __len__(self) -> int:
        return len(self._counts)
