"""Slot demand: each slot's fraction of all requests, from load snapshots of many routers, with decay."""

from __future__ import annotations

import math
from collections.abc import Mapping

from holdgw.policy.units import NS_PER_S

DEMAND_DECAY_S = 20.0  # time constant of the exponential decay; slots should migrate for lasting demand only
SNAPSHOT_SPAN_S = 3.6  # time whose requests one snapshot covers; closer snapshots partly cover the same ones
MAX_TRACKED_SLOTS = 2048  # when there are more, the half with the highest demand is kept
MAX_SAMPLE_WEIGHT = 1e6  # when it is exceeded, all counts are scaled down


class SlotDemand:
    """Counts requests by slot, with exponential decay.

    Instead of reducing the stored counts, the class gives newer requests a weight that grows with time.
    """

    def __init__(self) -> None:
        self._weighted_requests: dict[int, float] = {}  # by slot
        self._weighted_samples = 0.0  # all requests sampled, at the same weights
        self._sample_weight = 1.0  # weight of a request counted now
        self._updated_at_ns = 0

    @property
    def is_empty(self) -> bool:
        """Whether no slot has any demand."""
        return not self._weighted_requests

    @property
    def samples(self) -> float:
        """The decayed number of sampled requests from which the fractions are estimated."""
        return self._weighted_samples / self._sample_weight

    @property
    def _total(self) -> float:
        return max(self._weighted_samples, self._sample_weight)

    def add(self, fractions: Mapping[int, float], samples: float, now_ns: int) -> None:
        """Add a snapshot: fractions of all requests by slot, and the number of requests sampled for them."""
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
        """Return the slot's fraction of all requests, 0 to 1; 0 if it is unknown."""
        return self._weighted_requests.get(slot, 0.0) / self._total

    def slots_over(self, load: float, endpoints: int) -> list[int]:
        """Return the slots with at least `load` of an endpoint's fair load, those of least demand first."""
        least = load * self._total / endpoints
        counted_slots = [(count, slot) for slot, count in self._weighted_requests.items() if count >= least]
        return [slot for _, slot in sorted(counted_slots)]

    def _scale_down(self) -> None:
        """Reset the sample weight to 1, and keep only the slots of highest demand, half of the maximum."""
        counts = self._weighted_requests
        kept = sorted(counts, key=counts.__getitem__, reverse=True)[: MAX_TRACKED_SLOTS // 2]
        self._weighted_requests = {slot: counts[slot] / self._sample_weight for slot in kept}
        self._weighted_samples = self._weighted_samples / self._sample_weight
        self._sample_weight = 1.0
