"""Popularity of slots and tenants over recent requests, and the number of owners of a hot slot."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Generic, TypeVar

from holdgw.policy.events import LoadSnapshotChanged

Key = TypeVar("Key", int, str)

# Number of counted requests at which all counts are halved: enough to compare slots among many endpoints, but
# under load only the requests of some seconds.
MAX_COUNTED_REQUESTS = 1024
# Fraction of an endpoint's fair load, which is all requests divided by the number of endpoints. A slot with
# more load gets more owners.
MAX_SLOT_LOAD = 0.25
# A snapshot replaces a router's own counts if it is based on enough requests, and only a small fraction of
# them are the router's own. It covers only the most frequent slots, and undercounts each of them, while the
# router's own counts are complete.
MIN_SNAPSHOT_REQUESTS = 100.0
MAX_OWN_FRACTION = 0.3


class PopularityCounter(Generic[Key]):
    """Counts recent requests by slot or tenant; all counts are halved from time to time."""

    def __init__(self) -> None:
        self.counts: dict[Key, float] = {}
        """Requests by slot or tenant; earlier requests have a smaller weight."""
        self._total = 0.0

    def add(self, key: Key) -> float:
        """Count a request; return the key's fraction of the requests before it, 0 to 1."""
        count = self.counts.get(key, 0.0)
        popularity = count / max(self._total, 1.0)
        self.counts[key] = count + 1
        self._total += 1
        if self._total >= MAX_COUNTED_REQUESTS:
            self._halve()
        return popularity

    def _halve(self) -> None:
        """Halve all counts, and drop those of at most one request."""
        self.counts = {key: count / 2 for key, count in self.counts.items() if count > 1}
        self._total = sum(self.counts.values())

    def restore(self, counts: Mapping[Key, float]) -> None:
        """Add the counts of another process."""
        for key, count in counts.items():
            self.counts[key] = self.counts.get(key, 0.0) + count
        self._total += sum(counts.values())


class SlotPopularity:
    """Each slot's fraction of all requests: of all routers' requests if known, else of this router's.

    The policy calls `record_request` for each request that it routes to a cache server. The returned fraction
    decides how many endpoints own the slot.
    """

    def __init__(self) -> None:
        self._counter = PopularityCounter[int]()
        self._shared_popularity: dict[int, float] | None = None

    @property
    def counts(self) -> dict[int, float]:
        """Requests by slot that this router has counted."""
        return self._counter.counts

    def record_request(self, slot: int) -> float:
        """Count a request; return the slot's fraction of all requests, 0 to 1."""
        popularity = self._counter.add(slot)
        if self._shared_popularity is not None:
            return self._shared_popularity.get(slot, 0.0)
        return popularity

    def apply_snapshot(self, snapshot: LoadSnapshotChanged) -> bool:
        """Use a snapshot of many routers' requests if it is better than this router's own counts.

        Returns whether it is better. One of two hundred routers gets a hot key once in ten seconds, which is
        too seldom to detect it alone; a router with a large fraction of all requests finds more hot keys by
        its own counts.
        """
        sampled = snapshot.sampled_requests
        usable = sampled >= MIN_SNAPSHOT_REQUESTS and snapshot.own_requests < MAX_OWN_FRACTION * sampled
        self._shared_popularity = snapshot.slot_shares if usable else None
        return usable

    def restore(self, counts: Mapping[int, float]) -> None:
        """Add the counts of another process."""
        self._counter.restore(counts)


def owner_count(popularity: float, endpoints: int) -> int:
    """Return how many endpoints own a slot of this popularity, at least 1."""
    return max(math.ceil(popularity * endpoints / MAX_SLOT_LOAD), 1)
