"""How much is asked for each slot, as snapshots of many routers' requests tell it; it fades with time."""

from __future__ import annotations

import math
from collections.abc import Mapping

from holdgw.policy.units import NS_PER_S

DEMAND_DECAY_S = 20.0  # in which what was counted fades to a third: slots migrate for what lasts
SNAPSHOT_SPAN_S = 3.6  # of requests behind one snapshot: snapshots closer together tell of the same ones
MAX_TRACKED_SLOTS = 2048  # of the highest demand
MAX_SAMPLE_WEIGHT = 1e6  # then all counts are scaled down


class SlotDemand:
    """Counts requests by slot, those of late for more.

    Counts that fade are not touched: newer requests count for more, at a weight that grows with time.
    """

    def __init__(self) -> None:
        self._weighted_requests: dict[int, float] = {}  # by slot
        self._weighted_samples = 0.0  # requests that they were counted from
        self._sample_weight = 1.0  # of a request that is counted now
        self._updated_at_ns = 0

    @property
    def is_empty(self) -> bool:
        """Whether no slot is known."""
        return not self._weighted_requests

    @property
    def samples(self) -> float:
        """The faded number of requests behind the fractions."""
        return self._weighted_samples / self._sample_weight

    @property
    def _total(self) -> float:
        return max(self._weighted_samples, self._sample_weight)

    def add(self, fractions: Mapping[int, float], samples: float, now_ns: int) -> None:
        """Take fractions of all requests by slot, and from how many requests they were counted."""
        elapsed_s = (now_ns - self._updated_at_ns) / NS_PER_S if self._updated_at_ns else 0.0
        self._updated_at_ns = now_ns
        self._sample_weight *= math.exp(elapsed_s / DEMAND_DECAY_S)
        weighted = samples * min(elapsed_s / SNAPSHOT_SPAN_S, 1.0) * self._sample_weight
        self._weighted_samples += weighted
        for slot, fraction in fractions.items():
            self._weighted_requests[slot] = self._weighted_requests.get(slot, 0.0) + fraction * weighted
        if self._sample_weight > MAX_SAMPLE_WEIGHT or len(self._weighted_requests) > MAX_TRACKED_SLOTS:
            self._scale_down()

    def fraction(self, slot: int) -> float:
        """Return the slot's fraction of all requests, 0 to 1; 0 where it is not known."""
        return self._weighted_requests.get(slot, 0.0) / self._total

    def slots_over(self, load: float, endpoints: int) -> list[int]:
        """Return the slots with at least so much of an endpoint's fair load, the least popular first."""
        least = load * self._total / endpoints
        found = [(count, slot) for slot, count in self._weighted_requests.items() if count >= least]
        return [slot for _, slot in sorted(found)]

    def _scale_down(self) -> None:
        """Keep half of the slots, those of the highest demand, at a sample weight of 1."""
        counts = self._weighted_requests
        kept = sorted(counts, key=counts.__getitem__, reverse=True)[: MAX_TRACKED_SLOTS // 2]
        self._weighted_requests = {slot: counts[slot] / self._sample_weight for slot in kept}
        self._weighted_samples = self._weighted_samples / self._sample_weight
        self._sample_weight = 1.0
