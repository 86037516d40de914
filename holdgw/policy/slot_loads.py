"""Sums the loads of endpoints from their slots: by the ranking, and by the current placement."""

from __future__ import annotations

# Bound on the demand added for slots without samples, relative to that of the sampled slots that may migrate.
MAX_UNSAMPLED_FACTOR = 0.5


class SlotLoads:
    """The loads of endpoints (by seed) from the slots of one plan, as fractions of all requests."""

    def __init__(self) -> None:
        self.sticky: set[int] = set()
        """Slots that do not migrate."""
        self._sticky_loads: dict[int, float] = {}
        self._own_loads: dict[int, float] = {}  # of slots that may migrate, at their first-ranked endpoint
        self._placed_loads: dict[int, float] = {}  # of slots that may migrate, at their current endpoint
        self._extrapolation_factor = 0.0  # multiplies the sampled loads of slots that may migrate
        self._unsampled_load = 0.0  # in fair loads, the same at every endpoint

    def add_sticky(self, slot: int, fraction_each: float, owners: list[int]) -> None:
        """Add a slot that stays with its owners; each of them gets `fraction_each` of all requests for it."""
        self.sticky.add(slot)
        for seed in owners:
            self._sticky_loads[seed] = self._sticky_loads.get(seed, 0.0) + fraction_each

    def add_migrating(self, fraction: float, first: int, receiver: int) -> None:
        """Add a slot that may migrate; `first`, `receiver`: its first-ranked and its current endpoint."""
        self._own_loads[first] = self._own_loads.get(first, 0.0) + fraction
        self._placed_loads[receiver] = self._placed_loads.get(receiver, 0.0) + fraction

    def extrapolate(self) -> None:
        """Account for the requests for slots without samples, after all slots have been added.

        Samples cover slots of low demand only in part. As much of the missing demand as
        `MAX_UNSAMPLED_FACTOR` allows is assumed to be distributed as that of the sampled slots, and the rest
        to be equal at all endpoints.
        """
        sampled = sum(self._own_loads.values())
        missing = max(1.0 - sampled - sum(self._sticky_loads.values()), 0.0)
        added_fraction = min(missing, sampled * MAX_UNSAMPLED_FACTOR) / sampled if sampled > 0.0 else 0.0
        self._extrapolation_factor = 1.0 + added_fraction
        self._unsampled_load = missing - added_fraction * sampled

    def current_load(self, seed: int, fair_fraction: float) -> float:
        """Return an endpoint's load by the current placement of slots, in units of its fair load."""
        sticky = self._sticky_loads.get(seed, 0.0)
        placed = self._placed_loads.get(seed, 0.0) * self._extrapolation_factor
        return (sticky + placed) / fair_fraction + self._unsampled_load

    def own_load(self, seed: int, fair_fraction: float) -> float:
        """Return an endpoint's load from its own slots that may migrate, in units of its fair load."""
        own_load = self._own_loads.get(seed, 0.0) * self._extrapolation_factor
        return own_load / fair_fraction + self._unsampled_load
