"""Which slots leave busy servers for idle ones: a share and no switch, the same at every router."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass
from zlib import crc32

import pytest

from holdgw.peers.load_report import LoadReport
from holdgw.peers.load_view import MAX_ROUTER_SHARE, LoadView
from holdgw.policy import LoadSnapshotChanged, slot_rebalancing
from holdgw.policy.slot_demand import MAX_TRACKED_SLOTS
from holdgw.policy.slot_rebalancing import (
    MAX_ELAPSED_S,
    MAX_MIGRATION_PER_S,
    MAX_SCORES_PER_EVENT,
    MIN_DONOR_RETENTION,
    PLAN_INTERVAL_NS,
    SlotRebalancer,
    uniform_hash,
)
from holdgw.policy.slot_table import SLOTS
from holdgw.simulation.fleet import Fleet
from tests.helpers import MS, S, fleet, settings, started
from tests.test_large_fleet import REPORTS, serve

KNOWN = {**REPORTS, "gossip_allowed": True}


@dataclass
class Node:
    seed: int
    weight: float = 1.0
    ejected: bool = False
    slot_retention: float = 1.0
    reported_response_time_ns: float = 0.0


NODES = [Node(random.Random(i).getrandbits(64)) for i in range(20)]


def ranked(slot: int) -> list[Node]:
    return sorted(NODES, key=lambda node: uniform_hash(slot + 1_000_003, node.seed), reverse=True)[:8]


RANKS = {slot: ranked(slot) for slot in range(2000)}
BUSY, IDLE = NODES[3], NODES[7]


def asks(noise: int = 0) -> dict[int, float]:
    """Shares of 2,000 slots: the busy server's are asked for three times as much, the idle one's hardly."""
    lot = random.Random(noise)
    brings = {BUSY.seed: 3.0, IDLE.seed: 0.1}
    count = {
        slot: brings.get(first[0].seed, 1.0) * (lot.uniform(0.7, 1.3) if noise else 1.0)
        for slot, first in RANKS.items()
    }
    whole = sum(count.values())
    return {slot: one / whole for slot, one in count.items()}


def fed(
    seconds: float,
    noise: int = 0,
    rests_on: float = 2000.0,
    table: SlotRebalancer | None = None,
    begun: float = 0.0,
) -> SlotRebalancer:
    found = table or SlotRebalancer()
    for i in range(1, int(seconds * 10 / 3) + 1):
        now = int((begun + i * 0.3) * S)
        found.add_sample(asks(noise and noise * 1000 + i) if rests_on else {}, rests_on, now)
        found.plan(lambda slot, _: (RANKS[slot], 1), lambda _: True, NODES, set(), now)
    return found


def placed(table: SlotRebalancer) -> dict[int, int]:
    return {slot: RANKS[slot][table.receiver_rank(slot, RANKS[slot])].seed for slot in RANKS}


def loads(table: SlotRebalancer) -> dict[int, float]:
    found: Counter[int] = Counter()
    share = asks()
    for slot, seed in placed(table).items():
        found[seed] += share[slot] * len(NODES)  # type: ignore[assignment]
    return dict(found)


def test_what_a_busy_server_has_too_much_fills_up_the_idle_ones() -> None:
    before, after = loads(SlotRebalancer()), loads(fed(90.0))
    assert before[BUSY.seed] > 2.3
    assert before[IDLE.seed] < 0.3
    assert after[BUSY.seed] < 1.25
    assert after[IDLE.seed] > 0.5
    moved = [slot for slot, seed in placed(fed(90.0)).items() if seed != RANKS[slot][0].seed]
    assert len(moved) < 0.2 * len(RANKS)  # and hardly a slot more than must


def test_no_more_moves_in_a_second_than_is_stated() -> None:
    table, before = SlotRebalancer(), dict.fromkeys((node.seed for node in NODES), 1.0)
    for i in range(24):
        fed(3.0, table=table, begun=i * 3.0)
        after = {seed: table._retention.get(seed, 1.0) for seed in before}
        assert (
            max(abs(after[seed] - before[seed]) for seed in before)
            <= MAX_MIGRATION_PER_S * MAX_ELAPSED_S + 0.01
        )
        before = after
    assert before[BUSY.seed] < 0.6


def test_routers_that_hear_different_parts_place_the_slots_alike() -> None:
    one, other = placed(fed(90.0, noise=1, rests_on=300.0)), placed(fed(90.0, noise=2, rests_on=300.0))
    assert sum(one[slot] == other[slot] for slot in RANKS) > 0.97 * len(RANKS)


def test_a_few_requests_move_next_to_nothing() -> None:
    table = fed(0.9, rests_on=5.0)
    assert table._retention.get(BUSY.seed, 1.0) > 0.9


def test_slots_go_home_when_no_news_comes() -> None:
    table = fed(90.0)
    before = table._retention[BUSY.seed]
    assert before < 0.6
    fed(100.0, rests_on=0.0, table=table, begun=90.0)
    assert before < table._retention[BUSY.seed] < 1.0
    fed(100.0, rests_on=0.0, table=table, begun=190.0)
    assert table._retention.get(BUSY.seed, 1.0) > 0.98


def test_a_slot_asked_for_much_stays_and_others_make_room() -> None:
    table = SlotRebalancer()
    heavy = next(slot for slot in RANKS if RANKS[slot][0] is BUSY)
    share = asks()
    share = {slot: one * 0.99 for slot, one in share.items()} | {heavy: share[heavy] + 0.01}
    for i in range(1, 300):
        table.add_sample(share, 2000.0, i * 3 * S // 10)
        table.plan(lambda slot, _: (RANKS[slot], 1), lambda _: True, NODES, set(), i * 3 * S // 10)
    assert table.receiver_rank(heavy, RANKS[heavy]) == 0
    assert table._retention[BUSY.seed] < 0.6


def test_own_evidence_goes_before_the_picture(monkeypatch: pytest.MonkeyPatch) -> None:
    table = fed(90.0)
    to_idle = [slot for slot, seed in placed(table).items() if seed == IDLE.seed and RANKS[slot][0] is BUSY]
    assert to_idle
    monkeypatch.setattr(IDLE, "ejected", True)
    assert all(placed(table)[slot] != IDLE.seed for slot in to_idle)
    monkeypatch.setattr(IDLE, "ejected", False)
    monkeypatch.setattr(IDLE, "slot_retention", 0.9)  # by its own word it is over its load
    assert all(placed(table)[slot] != IDLE.seed for slot in to_idle)
    monkeypatch.setattr(IDLE, "slot_retention", 1.0)
    monkeypatch.setattr(
        BUSY, "ejected", True
    )  # what can't be reached gives nothing up: its keys are next door
    assert all(table.receiver_rank(slot, RANKS[slot]) == 0 for slot in to_idle)


def test_a_server_that_answers_at_once_gives_nothing_more_up(monkeypatch: pytest.MonkeyPatch) -> None:
    table, kept = SlotRebalancer(), []
    for i in range(1, 300):
        monkeypatch.setattr(BUSY, "reported_response_time_ns", 0.0 if i < 100 or i >= 200 else 2.0)
        table.add_sample(asks(), 2000.0, i * 3 * S // 10)
        now = i * 3 * S // 10
        table.plan(
            lambda slot, _: (RANKS[slot], 1),
            lambda _: True,
            NODES,
            set(),
            now,
            min_donor_response_time_ns=1.0,
        )
        kept.append(table._retention.get(BUSY.seed, 1.0))
    assert kept[98] == 1.0
    assert kept[198] < 0.8
    assert kept[-1] == pytest.approx(kept[205], abs=0.02)  # nor does it take back what it gave


def test_a_cold_server_is_given_nothing() -> None:
    table = SlotRebalancer()
    for i in range(1, 300):
        table.add_sample(asks(), 2000.0, i * 3 * S // 10)
        table.plan(lambda slot, _: (RANKS[slot], 1), lambda _: True, NODES, {IDLE.seed}, i * 3 * S // 10)
    assert IDLE.seed not in table._spare_load
    assert table._spare_load


def test_one_event_goes_through_so_many_slots_and_no_more() -> None:
    table, asked = SlotRebalancer(), 0
    known: set[int] = set()

    def rank(slot: int, _share: float) -> tuple[list[Node], int]:
        nonlocal asked
        asked += slot not in known
        known.add(slot)
        return RANKS[slot], 1

    for i in range(1, 120):
        asked = 0
        table.add_sample(asks(), 2000.0, i * 3 * S // 10)
        table.plan(rank, lambda slot: slot in known, NODES, set(), i * 3 * S // 10)
        assert asked <= MAX_SCORES_PER_EVENT // len(NODES)
        assert len(table._demand._weighted_requests) <= MAX_TRACKED_SLOTS
    assert BUSY.seed in table._retention


def test_the_module_follows_the_plan_and_a_hot_slot_does_not() -> None:
    servers = fleet(20)
    router = started(settings(**KNOWN), servers)
    lot = random.Random(5)
    ranks = {slot: router._caches.rank(slot, 0) for slot in lot.sample(range(SLOTS), 1600)}
    busy = servers[4].id
    share = {slot: 4.0 if node[0].entry.id == busy else 1.0 for slot, node in ranks.items()}
    whole = sum(share.values())
    share = {slot: one / whole for slot, one in share.items()}
    for i in range(1, 100):
        router.handle(LoadSnapshotChanged({busy: (100.0 * MS, 0)}, share, 1000.0), i * 3 * S // 10)
    assert router._selector.rebalancer.metrics()["giving"] >= 1
    moved = [slot for slot in ranks if router._selector.rebalancer.receiver_rank(slot, ranks[slot])]
    assert moved
    assert all(ranks[slot][0].entry.id == busy for slot in moved) or len(moved) < 160
    keys = {slot: f"k{i}" for i in range(200_000) if (slot := crc32(f"k{i}".encode()) % SLOTS) in moved[:5]}
    assert keys
    for slot, key in keys.items():
        taker = ranks[slot][router._selector.rebalancer.receiver_rank(slot, ranks[slot])].entry.id
        assert serve(router, f"a{slot}", key, 31 * S, {}) == taker


def test_one_liar_counts_for_no_more_than_its_bound() -> None:
    view = LoadView(0, 1)
    for who in range(1, 20):
        view.receive(LoadReport(who, 1, (), 11, {100 + who: 11}), S)
    before, total = view.shares(S)
    view.receive(LoadReport(20, 1, (), 60_000, {7: 60_000}), S)
    after, _ = view.shares(S)
    assert total == pytest.approx(19 * 11)
    assert after[7] <= MAX_ROUTER_SHARE + 0.001
    assert after[101] >= before[101] * (1.0 - MAX_ROUTER_SHARE) * 0.999


def test_a_router_with_a_quarter_of_all_requests_counts_in_full() -> None:
    view = LoadView(0, 1)
    for who in range(1, 20):
        view.receive(LoadReport(who, 1, (), 12, {100 + who: 12}), S)
    view.receive(LoadReport(20, 1, (), 76, {7: 76}), S)
    assert view.shares(S)[0][7] == pytest.approx(0.25)


def test_forty_routers_together_leave_no_server_idle() -> None:
    """The decision modules alone, 40 of them over 20 servers: the same load with the plan and without."""
    found = {}
    for pace in (0.0, MAX_MIGRATION_PER_S):
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(slot_rebalancing, "MAX_MIGRATION_PER_S", pace)
            played = Fleet(40, 20, 400.0, 3, service=0.03, keys=2000)
            played.run(24.0)
            found[pace] = played.spread(12.0, 24.0)
    assert found[MAX_MIGRATION_PER_S][1] > found[0.0][1] + 0.1
    assert found[MAX_MIGRATION_PER_S][0] < found[0.0][0] + 0.05
    assert PLAN_INTERVAL_NS <= 2 * S
    assert MIN_DONOR_RETENTION > 0.0
