"""Slot rebalancing: donors release a fraction of their slots, the same ones at every router."""

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
from tests.policy.test_large_fleet import REPORTS, serve

GOSSIP_SETTINGS = {**REPORTS, "gossip_allowed": True}


@dataclass
class FakeEndpoint:
    seed: int
    weight: float = 1.0
    ejected: bool = False
    slot_retention: float = 1.0
    reported_response_time_ns: float = 0.0


ENDPOINTS = [FakeEndpoint(random.Random(i).getrandbits(64)) for i in range(20)]


def ranked(slot: int) -> list[FakeEndpoint]:
    return sorted(
        ENDPOINTS, key=lambda endpoint: uniform_hash(slot + 1_000_003, endpoint.seed), reverse=True
    )[:8]


RANKINGS = {slot: ranked(slot) for slot in range(2000)}
DONOR, RECEIVER = ENDPOINTS[3], ENDPOINTS[7]


def fractions(noise: int = 0) -> dict[int, float]:
    """Return fractions of 2,000 slots: donor's at 3 times, receiver's at 0.1 times the usual demand."""
    rng = random.Random(noise)
    demand = {DONOR.seed: 3.0, RECEIVER.seed: 0.1}
    count = {
        slot: demand.get(first[0].seed, 1.0) * (rng.uniform(0.7, 1.3) if noise else 1.0)
        for slot, first in RANKINGS.items()
    }
    total = sum(count.values())
    return {slot: requests / total for slot, requests in count.items()}


def rebalancer_after(
    seconds: float,
    noise: int = 0,
    samples: float = 2000.0,
    rebalancer: SlotRebalancer | None = None,
    start_s: float = 0.0,
) -> SlotRebalancer:
    sampled_rebalancer = rebalancer or SlotRebalancer()
    for i in range(1, int(seconds * 10 / 3) + 1):
        now = int((start_s + i * 0.3) * S)
        sampled_rebalancer.add_sample(fractions(noise and noise * 1000 + i) if samples else {}, samples, now)
        sampled_rebalancer.plan(lambda slot, _: (RANKINGS[slot], 1), lambda _: True, ENDPOINTS, set(), now)
    return sampled_rebalancer


def placement(rebalancer: SlotRebalancer) -> dict[int, int]:
    return {slot: RANKINGS[slot][rebalancer.receiver_rank(slot, RANKINGS[slot])].seed for slot in RANKINGS}


def loads(rebalancer: SlotRebalancer) -> dict[int, float]:
    load_by_seed: Counter[int] = Counter()
    fraction_by_slot = fractions()
    for slot, seed in placement(rebalancer).items():
        load_by_seed[seed] += fraction_by_slot[slot] * len(ENDPOINTS)  # type: ignore[assignment]
    return dict(load_by_seed)


def test_excess_load_of_a_donor_migrates_to_receivers() -> None:
    before, after = loads(SlotRebalancer()), loads(rebalancer_after(90.0))
    assert before[DONOR.seed] > 2.3
    assert before[RECEIVER.seed] < 0.3
    assert after[DONOR.seed] < 1.25
    assert after[RECEIVER.seed] > 0.5
    migrated = [
        slot for slot, seed in placement(rebalancer_after(90.0)).items() if seed != RANKINGS[slot][0].seed
    ]
    assert len(migrated) < 0.2 * len(RANKINGS)  # few more than necessary


def test_slots_migrate_at_no_more_than_the_bound_a_second() -> None:
    rebalancer, before = SlotRebalancer(), dict.fromkeys((endpoint.seed for endpoint in ENDPOINTS), 1.0)
    for i in range(24):
        rebalancer_after(3.0, rebalancer=rebalancer, start_s=i * 3.0)
        after = {seed: rebalancer._retention.get(seed, 1.0) for seed in before}
        assert (
            max(abs(after[seed] - before[seed]) for seed in before)
            <= MAX_MIGRATION_PER_S * MAX_ELAPSED_S + 0.01
        )
        before = after
    assert before[DONOR.seed] < 0.6


def test_routers_with_different_samples_place_slots_alike() -> None:
    first, second = (
        placement(rebalancer_after(90.0, noise=1, samples=300.0)),
        placement(rebalancer_after(90.0, noise=2, samples=300.0)),
    )
    assert sum(first[slot] == second[slot] for slot in RANKINGS) > 0.97 * len(RANKINGS)


def test_few_samples_cause_almost_no_migration() -> None:
    # A few samples carry little information about the demand, and each key that migrates misses once.
    rebalancer = rebalancer_after(0.9, samples=5.0)
    assert rebalancer._retention.get(DONOR.seed, 1.0) > 0.9


def test_slots_return_when_no_samples_come() -> None:
    rebalancer = rebalancer_after(90.0)
    before = rebalancer._retention[DONOR.seed]
    assert before < 0.6
    rebalancer_after(100.0, samples=0.0, rebalancer=rebalancer, start_s=90.0)
    assert before < rebalancer._retention[DONOR.seed] < 1.0
    rebalancer_after(100.0, samples=0.0, rebalancer=rebalancer, start_s=190.0)
    assert rebalancer._retention.get(DONOR.seed, 1.0) > 0.98


def test_popular_slot_is_sticky_and_other_slots_migrate() -> None:
    rebalancer = SlotRebalancer()
    popular = next(slot for slot in RANKINGS if RANKINGS[slot][0] is DONOR)
    fraction_by_slot = fractions()
    fraction_by_slot = {slot: fraction * 0.99 for slot, fraction in fraction_by_slot.items()} | {
        popular: fraction_by_slot[popular] + 0.01
    }
    for i in range(1, 300):
        rebalancer.add_sample(fraction_by_slot, 2000.0, i * 3 * S // 10)
        rebalancer.plan(
            lambda slot, _: (RANKINGS[slot], 1), lambda _: True, ENDPOINTS, set(), i * 3 * S // 10
        )
    assert rebalancer.receiver_rank(popular, RANKINGS[popular]) == 0
    assert rebalancer._retention[DONOR.seed] < 0.6


def test_own_measurements_take_precedence_over_the_plan(monkeypatch: pytest.MonkeyPatch) -> None:
    # The plan does not know which endpoints this router cannot reach, or that one has become overloaded.
    # Slots do not go to such a receiver, and an ejected donor's slots are not distributed to receivers.
    rebalancer = rebalancer_after(90.0)
    migrated = [
        slot
        for slot, seed in placement(rebalancer).items()
        if seed == RECEIVER.seed and RANKINGS[slot][0] is DONOR
    ]
    assert migrated
    monkeypatch.setattr(RECEIVER, "ejected", True)
    assert all(placement(rebalancer)[slot] != RECEIVER.seed for slot in migrated)
    monkeypatch.setattr(RECEIVER, "ejected", False)
    monkeypatch.setattr(RECEIVER, "slot_retention", 0.9)  # overloaded by its own load reports
    assert all(placement(rebalancer)[slot] != RECEIVER.seed for slot in migrated)
    monkeypatch.setattr(RECEIVER, "slot_retention", 1.0)
    monkeypatch.setattr(DONOR, "ejected", True)  # its slots go to the next-ranked one, which has its keys
    assert all(rebalancer.receiver_rank(slot, RANKINGS[slot]) == 0 for slot in migrated)


def test_endpoint_with_a_short_response_time_releases_no_more_slots(monkeypatch: pytest.MonkeyPatch) -> None:
    rebalancer, kept = SlotRebalancer(), []
    for i in range(1, 300):
        monkeypatch.setattr(DONOR, "reported_response_time_ns", 0.0 if i < 100 or i >= 200 else 2.0)
        rebalancer.add_sample(fractions(), 2000.0, i * 3 * S // 10)
        now = i * 3 * S // 10
        rebalancer.plan(
            lambda slot, _: (RANKINGS[slot], 1),
            lambda _: True,
            ENDPOINTS,
            set(),
            now,
            min_donor_response_time_ns=1.0,
        )
        kept.append(rebalancer._retention.get(DONOR.seed, 1.0))
    assert kept[98] == 1.0
    assert kept[198] < 0.8
    assert kept[-1] == pytest.approx(kept[205], abs=0.02)  # it does not take slots back either


def test_warming_endpoint_receives_no_slots() -> None:
    rebalancer = SlotRebalancer()
    for i in range(1, 300):
        rebalancer.add_sample(fractions(), 2000.0, i * 3 * S // 10)
        rebalancer.plan(
            lambda slot, _: (RANKINGS[slot], 1), lambda _: True, ENDPOINTS, {RECEIVER.seed}, i * 3 * S // 10
        )
    assert RECEIVER.seed not in rebalancer._spare_load
    assert rebalancer._spare_load


def test_one_event_ranks_a_bounded_number_of_slots() -> None:
    # Ranking a slot anew takes 2 us per endpoint; ranking all slots of a large fleet in one event stalled the
    # router. Each event ranks a few, and the plan is complete after several events.
    rebalancer, ranked_anew = SlotRebalancer(), 0
    known: set[int] = set()

    def rank(slot: int, _share: float) -> tuple[list[FakeEndpoint], int]:
        nonlocal ranked_anew
        ranked_anew += slot not in known
        known.add(slot)
        return RANKINGS[slot], 1

    for i in range(1, 120):
        ranked_anew = 0
        rebalancer.add_sample(fractions(), 2000.0, i * 3 * S // 10)
        rebalancer.plan(rank, lambda slot: slot in known, ENDPOINTS, set(), i * 3 * S // 10)
        assert ranked_anew <= MAX_SCORES_PER_EVENT // len(ENDPOINTS)
        assert len(rebalancer._demand._weighted_requests) <= MAX_TRACKED_SLOTS
    assert DONOR.seed in rebalancer._retention


def test_requests_of_a_migrated_slot_go_to_its_receiver() -> None:
    servers = fleet(20)
    router = started(settings(**GOSSIP_SETTINGS), servers)
    rng = random.Random(5)
    ranks = {slot: router._caches.rank(slot, 0) for slot in rng.sample(range(SLOTS), 1600)}
    donor = servers[4].id
    fraction_by_slot = {
        slot: 4.0 if endpoint[0].entry.id == donor else 1.0 for slot, endpoint in ranks.items()
    }
    total = sum(fraction_by_slot.values())
    fraction_by_slot = {slot: demand / total for slot, demand in fraction_by_slot.items()}
    for i in range(1, 100):
        router.handle(
            LoadSnapshotChanged({donor: (100.0 * MS, 0)}, fraction_by_slot, 1000.0), i * 3 * S // 10
        )
    assert router._selector.rebalancer.metrics()["giving"] >= 1
    migrated = [slot for slot in ranks if router._selector.rebalancer.receiver_rank(slot, ranks[slot])]
    assert migrated
    assert all(ranks[slot][0].entry.id == donor for slot in migrated) or len(migrated) < 160
    keys = {
        slot: f"k{i}" for i in range(200_000) if (slot := crc32(f"k{i}".encode()) % SLOTS) in migrated[:5]
    }
    assert keys
    for slot, key in keys.items():
        receiver = ranks[slot][router._selector.rebalancer.receiver_rank(slot, ranks[slot])].entry.id
        assert serve(router, f"a{slot}", key, 31 * S, {}) == receiver


def test_router_with_false_reports_counts_for_no_more_than_the_bound() -> None:
    # One router reports far more requests than it received, all for one slot. Its reports are scaled down.
    view = LoadView(0, 1)
    for router_id in range(1, 20):
        view.receive(LoadReport(router_id, 1, (), 11, {100 + router_id: 11}), S)
    before, total = view.shares(S)
    view.receive(LoadReport(20, 1, (), 60_000, {7: 60_000}), S)
    after, _ = view.shares(S)
    assert total == pytest.approx(19 * 11)
    assert after[7] <= MAX_ROUTER_SHARE + 0.001
    assert after[101] >= before[101] * (1.0 - MAX_ROUTER_SHARE) * 0.999


def test_a_router_with_a_quarter_of_all_requests_counts_in_full() -> None:
    view = LoadView(0, 1)
    for router_id in range(1, 20):
        view.receive(LoadReport(router_id, 1, (), 12, {100 + router_id: 12}), S)
    view.receive(LoadReport(20, 1, (), 76, {7: 76}), S)
    assert view.shares(S)[0][7] == pytest.approx(0.25)


def test_forty_routers_together_leave_no_endpoint_idle() -> None:
    """40 routing policies with 20 endpoints, without networking: the same load with and without migration."""
    spreads = {}
    for migration_per_s in (0.0, MAX_MIGRATION_PER_S):
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(slot_rebalancing, "MAX_MIGRATION_PER_S", migration_per_s)
            simulated_fleet = Fleet(40, 20, 400.0, 3, service=0.03, keys=2000)
            simulated_fleet.run(24.0)
            spreads[migration_per_s] = simulated_fleet.spread(12.0, 24.0)
    assert spreads[MAX_MIGRATION_PER_S][1] > spreads[0.0][1] + 0.1
    assert spreads[MAX_MIGRATION_PER_S][0] < spreads[0.0][0] + 0.05
    assert PLAN_INTERVAL_NS <= 2 * S
    assert MIN_DONOR_RETENTION > 0.0
