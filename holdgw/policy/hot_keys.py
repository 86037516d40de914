"""Popularity of slots and tenants, counted over the latest requests."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Generic, TypeVar

Key = TypeVar("Key", int, str)

MAX_COUNTED_REQUESTS = (
    1024  # requests after which counts are halved: many endpoints' worth, yet seconds when busy
)


class PopularityCounter(Generic[Key]):
    """Each slot's (or tenant's) share of the requests seen lately, by counts halved now and then."""

    def __init__(self) -> None:
        self.counts: dict[Key, float] = {}
        self._total = 0.0

    def add(self, slot: Key) -> float:
        """Count a request; returns the slot's share of those before it."""
        count = self.counts.get(slot, 0.0)
        share = count / max(self._total, 1.0)
        self.counts[slot] = count + 1
        self._total += 1
        if self._total >= MAX_COUNTED_REQUESTS:
            self.counts = {slot: count / 2 for slot, count in self.counts.items() if count > 1}
            self._total = sum(self.counts.values())
        return share

    def restore(self, counts: Mapping[Key, float]) -> None:
        """Add what another process has counted."""
        for slot, count in counts.items():
            self.counts[slot] = self.counts.get(slot, 0.0) + count
        self._total += sum(counts.values())
