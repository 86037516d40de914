"""Popularity of slots and tenants, counted over the latest requests, and the owners of a hot slot."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Generic, TypeVar

from holdgw.policy.events import LoadSnapshotChanged

Key = TypeVar("Key", int, str)

MAX_COUNTED_REQUESTS = 1024  # then counts are halved: many endpoints' worth, yet seconds when busy
MAX_SLOT_LOAD = 0.25  # fraction of an endpoint's fair load that one slot may bring before it has more owners
# A snapshot replaces a router's own counts if it rests on so many requests, and on few of the router's own:
# it names the most frequent slots alone, and undercounts each, while own counts are complete.
MIN_SNAPSHOT_REQUESTS = 100.0
MAX_OWN_FRACTION = 0.3


class PopularityCounter(Generic[Key]):
    """Counts the latest requests by slot or tenant; counts are halved from time to time."""

    def __init__(self) -> None:
        self.counts: dict[Key, float] = {}
        """Requests by slot or tenant, with those of longer ago at less."""
        self._total = 0.0

    def add(self, key: Key) -> float:
        """Count a request; returns the key's fraction of those before it, 0 to 1."""
        count = self.counts.get(key, 0.0)
        popularity = count / max(self._total, 1.0)
        self.counts[key] = count + 1
        self._total += 1
        if self._total >= MAX_COUNTED_REQUESTS:
            self._halve()
        return popularity

    def _halve(self) -> None:
        """Halve all counts, and drop those of a single request."""
        self.counts = {key: count / 2 for key, count in self.counts.items() if count > 1}
        self._total = sum(self.counts.values())

    def restore(self, counts: Mapping[Key, float]) -> None:
        """Add what another process has counted."""
        for key, count in counts.items():
            self.counts[key] = self.counts.get(key, 0.0) + count
        self._total += sum(counts.values())


class SlotPopularity:
    """Each slot's fraction of all requests: as many routers see it together, else as this one does.

    Told of each request. Its answer decides how many endpoints own the request's slot.
    """

    def __init__(self) -> None:
        self._counter = PopularityCounter[int]()
        self._shared: dict[int, float] | None = None

    @property
    def counts(self) -> dict[int, float]:
        """Requests by slot that this router has counted."""
        return self._counter.counts

    def record_request(self, slot: int) -> float:
        """Count a request; returns the slot's fraction of all requests, 0 to 1."""
        popularity = self._counter.add(slot)
        if self._shared is not None:
            return self._shared.get(slot, 0.0)
        return popularity

    def apply_snapshot(self, snapshot: LoadSnapshotChanged) -> bool:
        """Use a snapshot of many routers' requests if it tells more than this router's own counts.

        Returns whether it does. One router of two hundred sees a hot key once in ten seconds, too seldom to
        find it alone; a router with a large part of all requests finds more hot keys by itself.
        """
        sampled = snapshot.sampled_requests
        usable = sampled >= MIN_SNAPSHOT_REQUESTS and snapshot.own_requests < MAX_OWN_FRACTION * sampled
        self._shared = snapshot.slot_shares if usable else None
        return usable

    def restore(self, counts: Mapping[int, float]) -> None:
        """Add what another process has counted."""
        self._counter.restore(counts)


def owner_count(popularity: float, endpoints: int) -> int:
    """Return how many of the endpoints ranked for a slot share its requests, at least 1."""
    return max(math.ceil(popularity * endpoints / MAX_SLOT_LOAD), 1)
