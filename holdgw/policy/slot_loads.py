"""Adds up the load that slots bring to endpoints, where they belong and where they are now."""

from __future__ import annotations

MAX_UNSAMPLED_FACTOR = 0.5  # of the demand seen for slots that may migrate, added for slots not seen


class SlotLoads:
    """The load of endpoints (by seed) from the slots of one plan, as fractions of all requests."""

    def __init__(self) -> None:
        self.sticky: set[int] = set()
        """Slots that stay where they are."""
        self._sticky_loads: dict[int, float] = {}
        self._own_loads: dict[int, float] = {}  # of slots that may migrate, at the first-ranked endpoint
        self._placed_loads: dict[int, float] = {}  # of the same, where they are now
        self._unsampled_factor = 0.0
        self._unsampled_load = 0.0

    def add_sticky(self, slot: int, fraction_each: float, owners: list[int]) -> None:
        """Add a slot that stays with its owners, each of which gets such a fraction of all requests by it."""
        self.sticky.add(slot)
        for seed in owners:
            self._sticky_loads[seed] = self._sticky_loads.get(seed, 0.0) + fraction_each

    def add_migrating(self, fraction: float, first: int, receiver: int) -> None:
        """Add a slot that may migrate, with its first-ranked endpoint and the one that has it now."""
        self._own_loads[first] = self._own_loads.get(first, 0.0) + fraction
        self._placed_loads[receiver] = self._placed_loads.get(receiver, 0.0) + fraction

    def extrapolate(self) -> None:
        """Once all slots are added, take account of the requests for slots that were not seen.

        Slots of low demand are seen in part only: the most of what is missing is taken to be spread as the
        slots that were seen, the rest to be equal at all endpoints.
        """
        seen = sum(self._own_loads.values())
        missing = max(1.0 - seen - sum(self._sticky_loads.values()), 0.0)
        factor = min(missing, seen * MAX_UNSAMPLED_FACTOR) / seen if seen > 0.0 else 0.0
        self._unsampled_factor = 1.0 + factor
        self._unsampled_load = missing - factor * seen

    def current(self, seed: int, fair_fraction: float) -> float:
        """Return an endpoint's load as slots are placed now, in units of its fair load."""
        sticky = self._sticky_loads.get(seed, 0.0)
        placed = self._placed_loads.get(seed, 0.0) * self._unsampled_factor
        return (sticky + placed) / fair_fraction + self._unsampled_load

    def own(self, seed: int, fair_fraction: float) -> float:
        """Return an endpoint's load from slots of its own that may migrate, in units of its fair load."""
        own = self._own_loads.get(seed, 0.0) * self._unsampled_factor
        return own / fair_fraction + self._unsampled_load
