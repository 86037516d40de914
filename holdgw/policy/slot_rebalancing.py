"""Which slots leave a server that is asked for much, for servers asked for little; pure.

By what is asked for, which no move changes, and not by how busy servers say they are: so any number of
routers that act on the same old news do no more than one would, and nothing swings. What follows is a part of
a server's slots, drawn by slot and server: the same ones at each router.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence, Set
from typing import Protocol

from holdgw.policy.slot_retention import releases_slot

NS_PER_S = 1_000_000_000
MEMORY_S = 20.0  # in which what was counted fades to a third: slots move for what lasts
NEWS_S = 3.6  # a picture's counts fade in so long, so pictures closer together tell the same requests again
PLANNED = 2 * NS_PER_S  # between two plans
PRIOR = 4.0  # requests a server that the evidence has to outweigh: few of them differ by chance
SLOTS_MOST = 2048  # remembered, those asked for most
UNIT_MOST = 1e6
STEP = 0.5  # of what a server has too much or lacks, that one plan mends
LACKS_MOST = 4.0  # fair loads: the weight of one that is ranked for too few slots to be filled up
RANKED = 8  # of a slot's servers may have it
UNTOLD_MOST = 0.5  # of what is told of slots asked for little, so much more is taken to be asked of the same
UNMOVED = 0.1  # of a server's fair load, from which a slot stays where it is: others fill up around it
KEPT_LEAST = 0.1  # of its slots, whatever is asked of them
PACE, PASSED_MOST = 0.05, 6.0  # of a server's slots that may move in a second, and seconds made up for
AT_ONCE = 200  # slots gone through in one event
SCORES_AT_ONCE = 600  # servers scored for slots not ranked before, in one event: 2 us each
TOLD_LEAST = 0.005  # of a server's fair load, under which a slot's own part is not looked at
WORD = (1 << 64) - 1


class Endpoint(Protocol):
    """What is asked of a server's entry in the table."""

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


def uniform_hash(slot: int, seed: int) -> float:
    """A number in (0, 1) for this slot and server, the same at every router."""
    mixed = (seed ^ (slot + 0x51ED2701) * 0xBF58476D1CE4E5B9) * 0x94D049BB133111EB & WORD
    mixed = (mixed ^ mixed >> 31) * 0xD6E8FEB86659FD93 & WORD
    return ((mixed ^ mixed >> 32) + 1) / (WORD + 2)


class SlotRebalancer:
    """What slots bring, and which part of theirs servers give up and take for it."""

    def __init__(self) -> None:
        self._popularity: dict[int, float] = {}  # by slot, of `_rests_on`
        self._samples, self._unit = 0.0, 1.0
        self._sampled_at_ns = self._planned_at_ns = 0
        # By a server's seed: what it is to take beyond its own slots, in fair loads; under 0 it gives.
        self._surplus_capacity: dict[int, float] = {}
        self._retention: dict[int, float] = {}  # the part of its slots, where it is under 1
        self._sticky: set[int] = set()
        # The plan in the making: slots not gone through yet, and what servers have of those that were.
        self._remaining: list[int] = []
        self._home: dict[int, float] = {}  # of slots that may move, by the table
        self._placed: dict[int, float] = {}  # the same as they are placed now
        self._fixed: dict[int, float] = {}  # of those that stay
        self._sticky_planned: set[int] = set()

    def add_sample(self, shares: Mapping[int, float], rests_on: float, now: int) -> None:
        """Take what slots bring: shares of all requests, and how many of these were counted."""
        passed = (now - self._sampled_at_ns) / NS_PER_S if self._sampled_at_ns else 0.0
        self._sampled_at_ns = now
        # What fades is not touched: what is new counts for more, in units that grow.
        self._unit *= math.exp(passed / MEMORY_S)
        counted = rests_on * min(passed / NEWS_S, 1.0) * self._unit
        self._samples += counted
        for slot, share in shares.items():
            self._popularity[slot] = self._popularity.get(slot, 0.0) + share * counted
        if self._unit > UNIT_MOST or len(self._popularity) > SLOTS_MOST:
            most = sorted(self._popularity, key=self._popularity.__getitem__, reverse=True)[: SLOTS_MOST // 2]
            self._popularity = {slot: self._popularity[slot] / self._unit for slot in most}
            self._samples, self._unit = self._samples / self._unit, 1.0

    def plan(
        self,
        rank: Callable[[int, float], tuple[Sequence[Endpoint], int]],
        ranked: Callable[[int], bool],
        servers: Sequence[Endpoint],
        cold: Set[int],
        now: int,
        pressed: float = 0.0,
    ) -> None:
        """Lay out what servers give up and take.

        `rank`: the servers ranked for a slot, and how many of the first have it with such a share of all
        requests; `ranked`: whether that is known by now, and costs little; `cold`: the seeds of servers that
        are not warm, which are given nothing; `pressed`: the wait (ns) from which on a server gives up more
        than before: where all answer at once, to level gains nothing, and costs a miss for each key that
        moves.

        Danger: what a few requests tell is chance, and to follow it costs a miss for each key that moves.
        Hence the prior, and a bound on what moves in a second. What is known fades when no news comes, and
        slots go home. To rank a slot anew takes as long as there are servers, and all requests wait (14 ms
        an event, for seconds, at each of 200 routers): hence a few in one call, those asked for most first,
        and a plan when all are gone through.
        """
        if not self._popularity or not servers:
            self._surplus_capacity, self._retention = {}, {}
            return
        if not self._remaining:
            if now - self._planned_at_ns < PLANNED:
                return
            least = TOLD_LEAST * max(self._samples, self._unit) / len(servers)
            found = [(count, slot) for slot, count in self._popularity.items() if count >= least]
            self._remaining = [slot for _, slot in sorted(found)]  # gone through from the end
            self._home, self._placed, self._fixed, self._sticky_planned = {}, {}, {}, set()
        whole = sum(server.weight for server in servers)
        total = max(self._samples, self._unit)
        fresh = max(SCORES_AT_ONCE // len(servers), 1)
        batch, self._remaining = self._remaining[-AT_ONCE:], self._remaining[:-AT_ONCE]
        for slot in reversed(batch):
            if not ranked(slot):
                if not fresh:
                    continue  # one of the rest, this time
                fresh -= 1
            share = self._popularity.get(slot, 0.0) / total
            ranking, owners = rank(slot, share)
            first = ranking[0].seed
            if owners > 1 or share > UNMOVED * ranking[0].weight / whole:
                self._sticky_planned.add(slot)
                for server in ranking[:owners]:
                    self._fixed[server.seed] = self._fixed.get(server.seed, 0.0) + share / owners
                continue
            self._home[first] = self._home.get(first, 0.0) + share
            place = ranking[self._placed_rank(slot, ranking, self._retention.get(first, 1.0))].seed
            self._placed[place] = self._placed.get(place, 0.0) + share
        if not self._remaining:
            self._finish_plan(servers, cold, now, pressed)

    def _finish_plan(self, servers: Sequence[Endpoint], cold: Set[int], now: int, pressed: float) -> None:
        """All slots are gone through: a server that is laid out too much gives, one that lacks takes."""
        passed, self._planned_at_ns = min((now - self._planned_at_ns) / NS_PER_S, PASSED_MOST), now
        home, placed, fixed = self._home, self._placed, self._fixed
        whole = sum(server.weight for server in servers)
        # What is asked for seldom is told in part only: the most of the rest is taken to be more of the same.
        told = sum(home.values())
        rest = max(1.0 - told - sum(fixed.values()), 0.0)
        more = min(rest, told * UNTOLD_MOST) / told if told > 0.0 else 0.0
        rest -= more * told
        counted = self._samples / self._unit
        trust = counted / (counted + PRIOR * len(servers))
        lacks, kept = {}, {}
        for server in servers:
            seed, fair = server.seed, server.weight / whole
            has = (fixed.get(seed, 0.0) + placed.get(seed, 0.0) * (1.0 + more)) / fair + rest
            own = home.get(seed, 0.0) * (1.0 + more) / fair + rest
            before = self._surplus_capacity.get(seed, 0.0)
            change = trust * (1.0 - has) * STEP - before * (1.0 - trust) * STEP
            most = PACE * passed
            after = before + min(max(change, -most), most)
            after = min(max(after, own * (KEPT_LEAST - 1.0)), 0.0 if seed in cold else LACKS_MOST)
            if server.reported_response_time_ns < pressed:
                after = max(after, min(before, 0.0))
            if abs(after) > 0.001:
                lacks[seed] = after
            if after < -0.001:
                kept[seed] = 1.0 + after / own
        self._surplus_capacity, self._retention, self._sticky = lacks, kept, self._sticky_planned

    def receiver_rank(self, slot: int, ranking: Sequence[Endpoint]) -> int:
        """The place in a slot's ranking of the server that has it: 0, or of one that lacks load.

        Danger: a server that this router can't reach, or that is over its load by its own word, would be sent
        more; the picture tells of neither, hence own evidence goes before it.
        """
        if not self._surplus_capacity or not ranking or slot in self._sticky:
            return 0
        first = ranking[0]
        if first.ejected:
            return 0
        return self._placed_rank(
            slot, ranking, min(self._retention.get(first.seed, 1.0), first.slot_retention)
        )

    def _placed_rank(self, slot: int, ranking: Sequence[Endpoint], kept: float) -> int:
        """Where a slot is whose first-ranked server keeps such a part of its slots."""
        if kept >= 1.0 or not releases_slot(slot, ranking[0].seed, kept):
            return 0
        best, place = 0.0, 0
        for i in range(1, min(len(ranking), RANKED)):
            server = ranking[i]
            lacks = self._surplus_capacity.get(server.seed, 0.0)
            if lacks > 0.0 and not server.ejected and server.slot_retention >= 1.0:
                score = -lacks * server.weight / math.log(uniform_hash(slot, server.seed))
                if score > best:
                    best, place = score, i
        return place

    def metrics(self) -> dict[str, float]:
        """How many servers give up slots and take them, and the least part that one keeps."""
        return {
            "giving": len(self._retention),
            "taking": sum(lacks > 0.0 for lacks in self._surplus_capacity.values()),
            "kept_least": min(self._retention.values(), default=1.0),
        }
