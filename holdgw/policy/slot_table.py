"""Weighted rendezvous hashing of slots over the ready endpoints."""

from __future__ import annotations

import math
from heapq import nlargest
from operator import itemgetter

from holdgw.policy.endpoint_health import TrackedEndpoint
from holdgw.policy.endpoints import Endpoint
from holdgw.policy.settings import Settings

SLOTS = 8192  # far more than endpoints, so that a slot's load is small beside an endpoint's
RANKING_DEPTH = 8  # ranked endpoints remembered for a slot: more than the attempts of any request
SPARE_RANKS = 4  # and more, so that some may leave before all are ranked anew
MAX_PENDING_CHANGES = 64  # comings and goings remembered; past that every slot is ranked anew when asked for
WORD = (1 << 64) - 1


class SlotTable:
    """Weighted rendezvous hashing of slots over the ready servers, remembered slot by slot."""

    def __init__(self, settings: Settings) -> None:
        self.endpoints: dict[str, TrackedEndpoint] = {}
        self._settings = settings
        self._rankings: dict[
            int, tuple[int, list[tuple[float, TrackedEndpoint]]]
        ] = {}  # with the changes it knows of
        self._changes: list[
            tuple[str, TrackedEndpoint | None]
        ] = []  # servers that left or, with a node, came
        self._warming_until_ns = 0
        self.max_endpoints_listed = 1  # servers listed at a time, so far

    def update(self, ready: list[Endpoint], left: list[str]) -> None:
        """Take servers in and out; a slot hears of it when it is next asked for."""
        # Danger: to go through every slot for each newcomer takes a tenth of a second; all requests wait.
        changed = [e for e in ready if e.id not in self.endpoints or self.endpoints[e.id].entry != e]
        gone = {*left, *(entry.id for entry in changed)}
        self._changes += [(name, None) for name in gone if self.endpoints.pop(name, None) is not None]
        for node in [TrackedEndpoint(entry, self._settings.weights_state_capacity) for entry in changed]:
            self.endpoints[node.entry.id] = node
            self._changes.append((node.entry.id, node))
        if len(self._changes) > MAX_PENDING_CHANGES:
            self._rankings, self._changes = {}, []
        self.max_endpoints_listed = max(self.max_endpoints_listed, len(self.endpoints))
        newest = max((node.entry.started_ns for node in self.endpoints.values()), default=0)
        self._warming_until_ns = newest + self._settings.warm_up_ns

    def _score(self, slot: int, node: TrackedEndpoint) -> float:
        mixed = (node.seed ^ (slot + 1) * 0x9E3779B97F4A7C15) * 0xD6E8FEB86659FD93 & WORD
        mixed = (mixed ^ mixed >> 32) * 0xD6E8FEB86659FD93 & WORD
        return -node.weight / math.log(((mixed ^ mixed >> 32) + 1) / (WORD + 2))

    def warm_up_weight(self, node: TrackedEndpoint, now: int) -> float:
        """The part of its full weight that a server has: from the cold share to 1 over the warm-up."""
        age, cold, cold_time = (
            now - node.entry.started_ns,
            self._settings.warm_up_initial_weight,
            self._settings.warm_up_ns,
        )
        warm = not node.entry.started_ns or age >= cold_time
        return 1.0 if warm else cold + (1 - cold) * max(age, 0) / cold_time

    def any_warming_up(self, now: int) -> bool:
        """Whether some server may not be warm yet."""
        return now < self._warming_until_ns

    def _apply_changes(
        self,
        slot: int,
        held: list[tuple[float, TrackedEndpoint]],
        changes: list[tuple[str, TrackedEndpoint | None]],
    ) -> list[tuple[float, TrackedEndpoint]]:
        for name, node in changes:
            if node is None:
                held = [pair for pair in held if pair[1].entry.id != name]
            elif held and (score := self._score(slot, node)) > held[-1][0]:
                held = sorted([*held, (score, node)], key=itemgetter(0), reverse=True)
        return (
            held[: 2 * RANKING_DEPTH + SPARE_RANKS] if len(held) > 2 * RANKING_DEPTH + SPARE_RANKS else held
        )

    def is_ranked(self, slot: int) -> bool:
        """Whether the slot's ranking is remembered."""
        return slot in self._rankings

    def rank(self, slot: int, now: int, depth: int = RANKING_DEPTH) -> list[TrackedEndpoint]:
        """The slot's best servers, at least `depth`, best first, with cold ones at their ramped weight."""
        known, held = self._rankings.get(slot, (0, []))
        if known < len(self._changes):
            held = self._apply_changes(slot, held, self._changes[known:]) if held else held
            self._rankings[slot] = len(self._changes), held
        if len(held) < min(depth, len(self.endpoints)):
            scored = ((self._score(slot, node), node) for node in self.endpoints.values())
            held = nlargest(depth + SPARE_RANKS, scored, key=itemgetter(0))
            self._rankings[slot] = len(self._changes), held
        if self.any_warming_up(now):
            # Rule 4, for load and misses alike: a newcomer is given slots only as it warms.
            ramped = [(score * self.warm_up_weight(node, now), node) for score, node in held]
            held = sorted(ramped, key=itemgetter(0), reverse=True)
        return [node for _, node in held]
