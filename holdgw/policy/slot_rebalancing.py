"""Which slots migrate from an endpoint of high demand (donor) to those of low demand (receivers).

The plan goes by demand, which no migration changes, and not by the load that endpoints report: any number of
routers that act on the same old news do no more than one would, and nothing oscillates. It says what fraction
of its slots a donor keeps; which slots these are is hashed from slot and endpoint, the same at every router.
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
PRIOR_SAMPLES_PER_ENDPOINT = 4.0  # requests that the evidence has to outweigh: few of them differ by chance
CORRECTION_FRACTION = 0.5  # of what an endpoint has too much or too little, that one plan corrects
MAX_SPARE_LOAD = 4.0  # fair loads that an endpoint may take, if it is ranked for too few slots
MAX_RECEIVER_RANK = 8  # endpoints of a slot's ranking that may get it
STICKY_SLOT_LOAD = 0.1  # of an endpoint's fair load, from which a slot stays where it is
MIN_DONOR_RETENTION = 0.1  # fraction of its slots that a donor keeps, whatever the demand
MAX_MIGRATION_PER_S = 0.05  # of an endpoint's slots
MAX_ELAPSED_S = 6.0  # between two plans, as far as the bound on migration goes
MAX_SLOTS_PER_EVENT = 200
MAX_SCORES_PER_EVENT = 600  # of endpoints, for slots that were not ranked before: 2 us each
MIN_SLOT_LOAD = 0.005  # of an endpoint's fair load, under which a slot is not looked at by itself
NEGLIGIBLE_LOAD = 0.001  # fair loads that no slot migrates for
MASK_64_BITS = (1 << 64) - 1


class Endpoint(Protocol):
    """What the plan reads of an endpoint."""

    seed: int
    weight: float

    @property
    def ejected(self) -> bool:
        """Whether it gets trial requests only."""

    @property
    def slot_retention(self) -> float:
        """The fraction of its slots that it keeps by this router's own evidence, 0 to 1."""

    @property
    def reported_response_time_ns(self) -> float:
        """The time an answer takes there by its last load report."""


class SlotRebalancer:
    """Plans which slots migrate, from samples of the demand, and says for each request where its slot is.

    Told of samples by `add_sample`, some times a second, then asked to go on with its plan by `plan`. Asked
    for each request by `receiver_rank`: 0 means the first-ranked endpoint, another rank the endpoint that has
    the slot for now.
    """

    def __init__(self) -> None:
        self._demand = SlotDemand()
        # The plan in force. Spare load is by endpoint's seed, in fair loads: what it is to take beyond its
        # own slots; a donor's is below 0.
        self._spare_load: dict[int, float] = {}
        self._retention: dict[int, float] = {}  # by donor's seed: the fraction of its slots that it keeps
        self._sticky: set[int] = set()
        self._planned_at_ns = 0
        # The plan in the making: slots to go through, from the end, and the loads of the others.
        self._remaining: list[int] = []
        self._loads = SlotLoads()

    def add_sample(self, fractions: Mapping[int, float], samples: float, now_ns: int) -> None:
        """Take fractions of all requests by slot, and from how many requests they were counted."""
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
        """Go on with the plan of what endpoints release and take.

        Few requests tell little, and to follow them costs a miss for each key that migrates: hence the prior
        and the bound on migration. Without new samples the demand fades, and slots go back. To rank a slot
        anew takes 2 us an endpoint, in which all requests wait: hence a plan takes several calls, each with a
        bound on slots ranked anew, those of the highest demand first.

        Args:
            rank: the endpoints ranked for a slot, and how many of the first own it at such a fraction of all
                requests.
            is_ranked: whether a slot's ranking is remembered, and costs little.
            endpoints: the ready endpoints.
            warming_up: the seeds of those that warm up, which get no slots.
            now_ns: the clock time.
            min_donor_response_time_ns: the reported response time from which on an endpoint releases more
                slots than before: where all answer at once there is nothing to gain.
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
        """Add up the loads of some of the remaining slots; slots past the bound on ranking are left out."""
        total_weight = sum(endpoint.weight for endpoint in endpoints)
        may_be_ranked = max(MAX_SCORES_PER_EVENT // len(endpoints), 1)
        batch = self._remaining[-MAX_SLOTS_PER_EVENT:]
        self._remaining = self._remaining[:-MAX_SLOTS_PER_EVENT]
        for slot in reversed(batch):
            if not is_ranked(slot):
                if not may_be_ranked:
                    continue
                may_be_ranked -= 1
            fraction = self._demand.fraction(slot)
            ranking, owners = rank(slot, fraction)
            self._place(slot, fraction, ranking, owners, total_weight)

    def _place(
        self, slot: int, fraction: float, ranking: Sequence[Endpoint], owners: int, total_weight: float
    ) -> None:
        """Add up the load of one slot, as sticky or where it is by the plan in force."""
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
        """Put the plan in force: endpoints with more than their fair load release slots, others take them."""
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
            own_load = self._loads.own(seed, fair_fraction)
            before = self._spare_load.get(seed, 0.0)
            spare = before + self._correction(
                self._loads.current(seed, fair_fraction), before, confidence, elapsed_s
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

    def _correction(self, load: float, spare_before: float, confidence: float, elapsed_s: float) -> float:
        """Return by how much an endpoint's spare load changes, in fair loads, within the bound on migration.

        It goes to where the endpoint has its fair load as far as the samples tell, and to 0 as far as they
        do not (`confidence`, 0 to 1).
        """
        change = (
            confidence * (1.0 - load) * CORRECTION_FRACTION
            - spare_before * (1.0 - confidence) * CORRECTION_FRACTION
        )
        max_change = MAX_MIGRATION_PER_S * elapsed_s
        return min(max(change, -max_change), max_change)

    def receiver_rank(self, slot: int, ranking: Sequence[Endpoint]) -> int:
        """Return the rank of the endpoint that has the slot: 0, or that of a receiver.

        This router's own evidence goes before the plan, which does not know which endpoints it can reach, nor
        how overloaded they are: an ejected endpoint's slots go to the next-ranked, not to a receiver.
        """
        if not self._spare_load or not ranking or slot in self._sticky:
            return 0
        first = ranking[0]
        if first.ejected:
            return 0
        planned = self._retention.get(first.seed, 1.0)
        return self._placed_rank(slot, ranking, min(planned, first.slot_retention))

    def _placed_rank(self, slot: int, ranking: Sequence[Endpoint], retention: float) -> int:
        """Return the rank of the endpoint that has a slot, at such a retention of the first-ranked one.

        Receivers are drawn by weighted rendezvous hashing, in proportion to their spare load.
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
        """Return how many endpoints give up slots and take some, and the least fraction that one keeps."""
        return {
            "giving": len(self._retention),
            "taking": sum(spare > 0.0 for spare in self._spare_load.values()),
            "kept_least": min(self._retention.values(), default=1.0),
        }


def uniform_hash(slot: int, seed: int) -> float:
    """Return a number in (0, 1) for a slot and an endpoint's seed, the same at every router."""
    mixed = (seed ^ (slot + 0x51ED2701) * 0xBF58476D1CE4E5B9) * 0x94D049BB133111EB & MASK_64_BITS
    mixed = (mixed ^ mixed >> 31) * 0xD6E8FEB86659FD93 & MASK_64_BITS
    return ((mixed ^ mixed >> 32) + 1) / (MASK_64_BITS + 2)
