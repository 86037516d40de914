"""Weighted rendezvous hashing of slots over the ready endpoints, remembered slot by slot."""

from __future__ import annotations

import math
from heapq import nlargest
from operator import itemgetter

from holdgw.policy.endpoints import Endpoint
from holdgw.policy.settings import Settings
from holdgw.policy.tracked_endpoint import TrackedEndpoint
from holdgw.policy.warm_up import WarmUpCurve

SLOTS = 8192  # far more than endpoints, so that a slot's load is small beside an endpoint's
RANKING_DEPTH = 8  # ranked endpoints remembered for a slot: more than the attempts of any request
SPARE_RANKS = 4  # and more, so that some may leave before all are ranked anew
MAX_RANKS = 2 * RANKING_DEPTH + SPARE_RANKS  # kept for a slot as endpoints come
MAX_PENDING_CHANGES = 64  # comings and goings remembered; past that slots are ranked anew when asked for
MASK_64_BITS = (1 << 64) - 1

ScoredEndpoint = tuple[float, TrackedEndpoint]
"""An endpoint with its score for a slot; the highest score is ranked first."""
Change = tuple[str, TrackedEndpoint | None]
"""The name of an endpoint that has left, or come: then with the endpoint."""


class SlotTable:
    """Ranks the ready endpoints for each slot: the same ranking at every router.

    Asked for a slot's ranking; told of changes to the endpoint list. A change costs nothing until a slot is
    asked for: to go through every slot for each endpoint that comes takes a tenth of a second, in which all
    requests wait.
    """

    def __init__(self, settings: Settings) -> None:
        self.endpoints: dict[str, TrackedEndpoint] = {}
        """The ready endpoints by name; written by `update` alone."""
        self.max_endpoints_listed = 1
        """The most endpoints that were ready at a time."""
        self._weighted = settings.weights_state_capacity
        self._warm_up = WarmUpCurve(settings)
        self._warming_until_ns = 0
        self._changes: list[Change] = []
        # By slot: how many of `_changes` its ranking knows, and the ranking.
        self._rankings: dict[int, tuple[int, list[ScoredEndpoint]]] = {}

    def update(self, ready: list[Endpoint], removed: list[str]) -> None:
        """Take endpoints in and out; one whose entry has changed is tracked anew.

        Its health, its ejection and its attempts in flight are forgotten then.
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
        self._warming_until_ns = newest + self._warm_up.duration_ns

    def warm_up_weight(self, endpoint: TrackedEndpoint, now_ns: int) -> float:
        """Return the fraction of its full weight that an endpoint has, from the initial weight to 1."""
        return self._warm_up.weight(endpoint.entry.started_ns, now_ns)

    def any_warming_up(self, now_ns: int) -> bool:
        """Whether some endpoint may still warm up."""
        return now_ns < self._warming_until_ns

    def warming_up_seeds(self, now_ns: int) -> set[int]:
        """Return the seeds of the endpoints that warm up."""
        if not self.any_warming_up(now_ns):
            return set()
        endpoints = self.endpoints.values()
        return {endpoint.seed for endpoint in endpoints if self.warm_up_weight(endpoint, now_ns) < 1.0}

    def is_ranked(self, slot: int) -> bool:
        """Whether the slot's ranking is remembered."""
        return slot in self._rankings

    def rank(self, slot: int, now_ns: int, depth: int = RANKING_DEPTH) -> list[TrackedEndpoint]:
        """Return the slot's best endpoints, at least `depth` if there are so many, the best one first.

        Warming endpoints count at their warm-up weight, for load and misses alike: a new one is given slots
        only as it warms up (rule 4).
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
        """Return an endpoint's score for a slot: a hash in (0, 1) turned exponential, times its weight."""
        mixed = (endpoint.seed ^ (slot + 1) * 0x9E3779B97F4A7C15) * 0xD6E8FEB86659FD93 & MASK_64_BITS
        mixed = (mixed ^ mixed >> 32) * 0xD6E8FEB86659FD93 & MASK_64_BITS
        return -endpoint.weight / math.log(((mixed ^ mixed >> 32) + 1) / (MASK_64_BITS + 2))

    def _apply_changes(
        self, slot: int, ranking: list[ScoredEndpoint], changes: list[Change]
    ) -> list[ScoredEndpoint]:
        """Return the ranking after endpoints have left and come."""
        for name, endpoint in changes:
            if endpoint is None:
                ranking = [scored for scored in ranking if scored[1].entry.id != name]
                continue
            if ranking and (score := self._score(slot, endpoint)) > ranking[-1][0]:
                ranking = sorted([*ranking, (score, endpoint)], key=itemgetter(0), reverse=True)
        return ranking[:MAX_RANKS] if len(ranking) > MAX_RANKS else ranking
