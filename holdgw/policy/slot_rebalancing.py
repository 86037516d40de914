"""Slot rebalancing: plans which slots migrate from endpoints of high demand (donors) to others (receivers).

The plan depends on the demand, which migration does not change, and not on the reported load. So any number
of routers that act on the same old reports do no more than one router would, and nothing oscillates. The
plan sets the fraction of its slots that a donor keeps. Which slots these are is a hash of slot and endpoint,
the same at every router.

An endpoint's fair load is its fraction of all requests by its weight; spare loads are multiples of it.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence, Set
from typing import Protocol

from holdgw.policy.slot_demand import SlotDemand
from holdgw.policy.slot_loads import SlotLoads
from holdgw.policy.slot_retention import releases_slot
from holdgw.policy.units import NS_PER_S

PLAN_INTERVAL_NS = 2 * NS_PER_S
# Samples per endpoint at which the confidence in them is one half; a few samples differ by chance.
PRIOR_SAMPLES_PER_ENDPOINT = 4.0
CORRECTION_FRACTION = 0.5  # of an endpoint's deviation from its fair load, corrected by one plan
MAX_SPARE_LOAD = 4.0  # fair loads that an endpoint may take if it is ranked first for too few slots
MAX_RECEIVER_RANK = 8  # receivers are among the first so many endpoints of a slot's ranking
STICKY_SLOT_LOAD = 0.1  # of an endpoint's fair load; a slot with more load does not migrate
MIN_DONOR_RETENTION = 0.1  # fraction of its slots that a donor keeps, whatever the demand
MAX_MIGRATION_PER_S = 0.05  # of an endpoint's slots
MAX_ELAPSED_S = 6.0  # longest time between two plans that counts for the bound on migration
MAX_SLOTS_PER_EVENT = 200
MAX_SCORES_PER_EVENT = 600  # endpoints scored for slots without a cached ranking, 2 us each
MIN_SLOT_LOAD = 0.005  # of an endpoint's fair load; a slot with less load is not considered individually
NEGLIGIBLE_LOAD = 0.001  # fair loads; no slot migrates for less
MASK_64_BITS = (1 << 64) - 1


class Endpoint(Protocol):
    """The attributes of an endpoint that the plan reads."""

    seed: int
    weight: float

    @property
    def ejected(self) -> bool:
        """Whether the endpoint gets trial requests only."""

    @property
    def slot_retention(self) -> float:
        """Fraction of its slots that the endpoint keeps by this router's own measurements, 0 to 1."""

    @property
    def reported_response_time_ns(self) -> float:
        """Response time by the endpoint's latest load report."""


class SlotRebalancer:
    """Plans which slots migrate, from samples of the demand, and finds the current endpoint of each slot.

    The policy calls `add_sample`, and then `plan`, some times a second, and `receiver_rank` for each request:
    rank 0 is the first-ranked endpoint, and any other rank is the receiver that has the slot for now.
    """

    def __init__(self) -> None:
        self._demand = SlotDemand()
        # The active plan. Spare load, by endpoint's seed and in fair loads, is the load that an endpoint
        # takes beyond its own slots; a donor's is below 0.
        self._spare_load: dict[int, float] = {}
        self._retention: dict[int, float] = {}  # by donor's seed: the fraction of its slots that it keeps
        self._sticky: set[int] = set()
        self._planned_at_ns = 0
        # The next plan: slots still to be processed, from the end, and the loads of those processed.
        self._remaining: list[int] = []
        self._loads = SlotLoads()

    def add_sample(self, fractions: Mapping[int, float], samples: float, now_ns: int) -> None:
        """Add fractions of all requests by slot, and the number of requests sampled for them."""
        self._demand.add(fractions, samples, now_ns)

    def plan(
        self,
        rank: Callable[[int, float], tuple[Sequence[Endpoint], int]],
        is_ranked: Callable[[int], bool],
        endpoints: Sequence[Endpoint],
        warming_up: Set[int],
        now_ns: int,
        min_donor_response_time_ns: float = 0.0,
    ) -> None:
        """Continue the next plan of the slots that endpoints release and take.

        Few samples carry little information, and each key that migrates costs a miss; hence the prior and the
        bound on migration. Without new samples the demand decays, and slots return. Ranking a slot without a
        cached ranking takes 2 us per endpoint, during which all requests wait. A plan therefore takes several
        calls, each of which ranks a bounded number of slots anew, those of the highest demand first.

        Args:
            rank: returns the endpoints ranked for a slot, and how many of them, from the first, own it at the
                given fraction of all requests.
            is_ranked: whether a slot's ranking is cached, and costs little.
            endpoints: the ready endpoints.
            warming_up: seeds of the endpoints that are warming up, which receive no slots.
            now_ns: the clock time.
            min_donor_response_time_ns: endpoints with a lower reported response time release no more slots
                than before, as there is nothing to gain where all answers are quick.
        """
        if self._demand.is_empty or not endpoints:
            self._spare_load = {}
            self._retention = {}
            return
        if not self._remaining:
            if now_ns - self._planned_at_ns < PLAN_INTERVAL_NS:
                return
            self._remaining = self._demand.slots_over(MIN_SLOT_LOAD, len(endpoints))
            self._loads = SlotLoads()
        self._place_batch(rank, is_ranked, endpoints)
        if not self._remaining:
            self._finish_plan(endpoints, warming_up, now_ns, min_donor_response_time_ns)

    def _place_batch(
        self,
        rank: Callable[[int, float], tuple[Sequence[Endpoint], int]],
        is_ranked: Callable[[int], bool],
        endpoints: Sequence[Endpoint],
    ) -> None:
        """Add the loads of a batch of the remaining slots; slots beyond the bound on ranking are left out."""
        total_weight = sum(endpoint.weight for endpoint in endpoints)
        uncached_left = max(MAX_SCORES_PER_EVENT // len(endpoints), 1)
        batch = self._remaining[-MAX_SLOTS_PER_EVENT:]
        self._remaining = self._remaining[:-MAX_SLOTS_PER_EVENT]
        for slot in reversed(batch):
            if not is_ranked(slot):
                if not uncached_left:
                    continue
                uncached_left -= 1
            fraction = self._demand.fraction(slot)
            ranking, owners = rank(slot, fraction)
            self._place(slot, fraction, ranking, owners, total_weight)

    def _place(
        self, slot: int, fraction: float, ranking: Sequence[Endpoint], owners: int, total_weight: float
    ) -> None:
        """Add the load of one slot: to its owners if it is sticky, else to its endpoint by the active plan.

        A sticky slot does not migrate: it has several owners, or more load than `STICKY_SLOT_LOAD`.
        """
        first = ranking[0]
        if owners > 1 or fraction > STICKY_SLOT_LOAD * first.weight / total_weight:
            self._loads.add_sticky(slot, fraction / owners, [endpoint.seed for endpoint in ranking[:owners]])
            return
        receiver = ranking[self._placed_rank(slot, ranking, self._retention.get(first.seed, 1.0))]
        self._loads.add_migrating(fraction, first.seed, receiver.seed)

    def _finish_plan(
        self,
        endpoints: Sequence[Endpoint],
        warming_up: Set[int],
        now_ns: int,
        min_donor_response_time_ns: float,
    ) -> None:
        """Activate the next plan: endpoints above their fair load release slots, and the others take them."""
        elapsed_s = min((now_ns - self._planned_at_ns) / NS_PER_S, MAX_ELAPSED_S)
        self._planned_at_ns = now_ns
        self._loads.extrapolate()
        total_weight = sum(endpoint.weight for endpoint in endpoints)
        samples = self._demand.samples
        confidence = samples / (samples + PRIOR_SAMPLES_PER_ENDPOINT * len(endpoints))
        spare_load: dict[int, float] = {}
        retention: dict[int, float] = {}
        for endpoint in endpoints:
            seed = endpoint.seed
            fair_fraction = endpoint.weight / total_weight
            own_load = self._loads.own_load(seed, fair_fraction)
            before = self._spare_load.get(seed, 0.0)
            spare = before + self._spare_load_change(
                self._loads.current_load(seed, fair_fraction), before, confidence, elapsed_s
            )
            max_spare = 0.0 if seed in warming_up else MAX_SPARE_LOAD
            spare = min(max(spare, own_load * (MIN_DONOR_RETENTION - 1.0)), max_spare)
            if endpoint.reported_response_time_ns < min_donor_response_time_ns:
                spare = max(spare, min(before, 0.0))
            if abs(spare) > NEGLIGIBLE_LOAD:
                spare_load[seed] = spare
            if spare < -NEGLIGIBLE_LOAD:
                retention[seed] = 1.0 + spare / own_load
        self._spare_load = spare_load
        self._retention = retention
        self._sticky = self._loads.sticky

    def _spare_load_change(
        self, load: float, spare_before: float, confidence: float, elapsed_s: float
    ) -> float:
        """Return the change of an endpoint's spare load, in fair loads, within the bound on migration.

        The spare load moves towards the value at which the endpoint has its fair load, and towards 0. The
        weight of the first move is `confidence`, the confidence in the samples (0 to 1); that of the second
        is 1 - `confidence`.
        """
        change = (
            confidence * (1.0 - load) * CORRECTION_FRACTION
            - spare_before * (1.0 - confidence) * CORRECTION_FRACTION
        )
        max_change = MAX_MIGRATION_PER_S * elapsed_s
        return min(max(change, -max_change), max_change)

    def receiver_rank(self, slot: int, ranking: Sequence[Endpoint]) -> int:
        """Return the rank of the endpoint that has the slot: 0, or the rank of a receiver.

        This router's own measurements take precedence over the plan, which does not know which endpoints this
        router can reach, nor how overloaded they are. The slots of an ejected endpoint go to the next-ranked
        one, not to a receiver.
        """
        if not self._spare_load or not ranking or slot in self._sticky:
            return 0
        first = ranking[0]
        if first.ejected:
            return 0
        planned = self._retention.get(first.seed, 1.0)
        return self._placed_rank(slot, ranking, min(planned, first.slot_retention))

    def _placed_rank(self, slot: int, ranking: Sequence[Endpoint], retention: float) -> int:
        """Return the rank of the endpoint that has a slot; `retention`: that of the first-ranked endpoint.

        Weighted rendezvous hashing selects receivers in proportion to their spare load.
        """
        if retention >= 1.0 or not releases_slot(slot, ranking[0].seed, retention):
            return 0
        best_score = 0.0
        best_rank = 0
        for rank in range(1, min(len(ranking), MAX_RECEIVER_RANK)):
            endpoint = ranking[rank]
            spare = self._spare_load.get(endpoint.seed, 0.0)
            if spare > 0.0 and not endpoint.ejected and endpoint.slot_retention >= 1.0:
                score = -spare * endpoint.weight / math.log(uniform_hash(slot, endpoint.seed))
                if score > best_score:
                    best_score = score
                    best_rank = rank
        return best_rank

    def metrics(self) -> dict[str, float]:
        """Return the numbers of donors and receivers, and the lowest slot retention of a donor."""
        return {
            "giving": len(self._retention),
            "taking": sum(spare > 0.0 for spare in self._spare_load.values()),
            "kept_least": min(self._retention.values(), default=1.0),
        }


def uniform_hash(slot: int, seed: int) -> float:
    """Hash a slot and an endpoint's seed to a number in (0, 1), the same at every router."""
    mixed = (seed ^ (slot + 0x51ED2701) * 0xBF58476D1CE4E5B9) * 0x94D049BB133111EB & MASK_64_BITS
    mixed = (mixed ^ mixed >> 31) * 0xD6E8FEB86659FD93 & MASK_64_BITS
    return ((mixed ^ mixed >> 32) + 1) / (MASK_64_BITS + 2)
