"""The slot table: ranks the ready endpoints for each slot by weighted rendezvous hashing, with a cache."""

from __future__ import annotations

import math
from heapq import nlargest
from operator import itemgetter

from holdgw.policy.endpoints import Endpoint
from holdgw.policy.settings import Settings
from holdgw.policy.tracked_endpoint import TrackedEndpoint
from holdgw.policy.warm_up import WarmUpCurve

SLOTS = 8192  # many more than endpoints, so that the load of one slot is small compared with an endpoint's
RANKING_DEPTH = 8  # endpoints in a slot's ranking: more than any request has attempts
SPARE_RANKS = 4  # additional cached ranks, so that some endpoints may leave before the slot is ranked again
MAX_RANKS = 2 * RANKING_DEPTH + SPARE_RANKS  # cached for a slot while endpoints join
MAX_PENDING_CHANGES = 64  # joins and leaves applied to cached rankings; after more, the cache is cleared
MASK_64_BITS = (1 << 64) - 1

ScoredEndpoint = tuple[float, TrackedEndpoint]
"""A score for a slot, and the endpoint that has it; the highest score is ranked first."""
Change = tuple[str, TrackedEndpoint | None]
"""An endpoint's id, and the endpoint if it has joined; None: it has left."""


class SlotTable:
    """Ranks the ready endpoints for each slot; the ranking is the same at every router.

    The policy passes every change of the endpoint list to `update`, and asks for a slot's ranking by `rank`.
    A change is applied to a slot's cached ranking only when that slot is next asked for: ranking every slot
    for each endpoint that joins would block the event loop for a tenth of a second.
    """

    def __init__(self, settings: Settings) -> None:
        self.endpoints: dict[str, TrackedEndpoint] = {}
        """The ready endpoints by id; only `update` changes them."""
        self.max_endpoints_listed = 1
        """The highest number of endpoints that were ready at the same time."""
        self._weighted = settings.weights_state_capacity
        self._warm_up = WarmUpCurve(settings)
        self._warm_up_end_ns = 0
        self._changes: list[Change] = []
        # By slot: how many of `_changes` are applied to its cached ranking, and the ranking.
        self._rankings: dict[int, tuple[int, list[ScoredEndpoint]]] = {}

    def update(self, ready: list[Endpoint], removed: list[str]) -> None:
        """Add and remove endpoints.

        An endpoint whose list entry has changed is replaced by a new one, without the old one's health,
        ejection and attempts in flight.
        """
        changed = [
            entry
            for entry in ready
            if entry.id not in self.endpoints or self.endpoints[entry.id].entry != entry
        ]
        gone = {*removed, *(entry.id for entry in changed)}
        self._changes += [(name, None) for name in gone if self.endpoints.pop(name, None) is not None]
        for entry in changed:
            endpoint = TrackedEndpoint(entry, self._weighted)
            self.endpoints[entry.id] = endpoint
            self._changes.append((entry.id, endpoint))
        if len(self._changes) > MAX_PENDING_CHANGES:
            self._rankings = {}
            self._changes = []
        self.max_endpoints_listed = max(self.max_endpoints_listed, len(self.endpoints))
        newest = max((endpoint.entry.started_ns for endpoint in self.endpoints.values()), default=0)
        self._warm_up_end_ns = newest + self._warm_up.duration_ns

    def warm_up_weight(self, endpoint: TrackedEndpoint, now_ns: int) -> float:
        """Return an endpoint's warm-up weight: the fraction of its weight, from the initial weight to 1."""
        return self._warm_up.weight(endpoint.entry.started_ns, now_ns)

    def any_warming_up(self, now_ns: int) -> bool:
        """Whether some endpoint may still be warming up."""
        return now_ns < self._warm_up_end_ns

    def warming_up_seeds(self, now_ns: int) -> set[int]:
        """Return the seeds of the endpoints that are warming up."""
        if not self.any_warming_up(now_ns):
            return set()
        endpoints = self.endpoints.values()
        return {endpoint.seed for endpoint in endpoints if self.warm_up_weight(endpoint, now_ns) < 1.0}

    def is_ranked(self, slot: int) -> bool:
        """Whether the slot's ranking is cached."""
        return slot in self._rankings

    def rank(self, slot: int, now_ns: int, depth: int = RANKING_DEPTH) -> list[TrackedEndpoint]:
        """Return the endpoints ranked for a slot, best first: at least `depth`, if there are so many.

        The score of an endpoint that is warming up is multiplied by its warm-up weight, so that it gets slots
        only as it warms up: a cold endpoint is not overloaded. This limits its load and its misses alike.
        """
        applied_changes, ranking = self._rankings.get(slot, (0, []))
        if applied_changes < len(self._changes):
            if ranking:
                ranking = self._apply_changes(slot, ranking, self._changes[applied_changes:])
            self._rankings[slot] = len(self._changes), ranking
        if len(ranking) < min(depth, len(self.endpoints)):
            scored = ((self._score(slot, endpoint), endpoint) for endpoint in self.endpoints.values())
            ranking = nlargest(depth + SPARE_RANKS, scored, key=itemgetter(0))
            self._rankings[slot] = len(self._changes), ranking
        if self.any_warming_up(now_ns):
            weighted = [
                (score * self.warm_up_weight(endpoint, now_ns), endpoint) for score, endpoint in ranking
            ]
            ranking = sorted(weighted, key=itemgetter(0), reverse=True)
        return [endpoint for _, endpoint in ranking]

    def _score(self, slot: int, endpoint: TrackedEndpoint) -> float:
        """Return an endpoint's score for a slot: its weight over an exponential variate drawn by a hash."""
        mixed = (endpoint.seed ^ (slot + 1) * 0x9E3779B97F4A7C15) * 0xD6E8FEB86659FD93 & MASK_64_BITS
        mixed = (mixed ^ mixed >> 32) * 0xD6E8FEB86659FD93 & MASK_64_BITS
        return -endpoint.weight / math.log(((mixed ^ mixed >> 32) + 1) / (MASK_64_BITS + 2))

    def _apply_changes(
        self, slot: int, ranking: list[ScoredEndpoint], changes: list[Change]
    ) -> list[ScoredEndpoint]:
        """Return the ranking after endpoints have joined and left."""
        for name, endpoint in changes:
            if endpoint is None:
                ranking = [scored for scored in ranking if scored[1].entry.id != name]
                continue
            if ranking and (score := self._score(slot, endpoint)) > ranking[-1][0]:
                ranking = sorted([*ranking, (score, endpoint)], key=itemgetter(0), reverse=True)
        return ranking[:MAX_RANKS] if len(ranking) > MAX_RANKS else ranking
