"""The slot table: balance, few moves by joins and leaves, the warm-up ramp, and weights."""

from __future__ import annotations

import itertools
import random

from msgspec.structs import replace

from holdgw.policy import Endpoint
from holdgw.policy.slot_table import RANKING_DEPTH, SLOTS, SlotTable
from tests.helpers import S, fleet, settings

WARM_UP_SETTINGS = {"warm_up_initial_weight": 0.25, "warm_up_ns": 10 * S}


def table_of(servers: tuple[Endpoint, ...], **changes: object) -> SlotTable:
    table = SlotTable(settings(**changes))
    table.update(list(servers), [])
    return table


def first_ranked(table: SlotTable, now: int = 0, slots: int = 2000) -> list[str]:
    return [table.rank(slot, now)[0].entry.id for slot in range(slots)]


def test_slots_are_balanced_within_a_fifth_of_the_mean() -> None:
    owners = first_ranked(table_of(fleet(10)), slots=SLOTS)
    counts = [owners.count(server.id) for server in fleet(10)]
    assert sum(counts) == SLOTS
    assert max(counts) < 1.2 * SLOTS / 10
    assert min(counts) > 0.8 * SLOTS / 10


def test_ranking_does_not_depend_on_the_order_of_arrival() -> None:
    other = table_of(tuple(reversed(fleet(10))))
    assert first_ranked(table_of(fleet(10))) == first_ranked(other)


def test_join_and_leave_move_only_slots_of_that_endpoint() -> None:
    table = table_of(fleet(10))
    before = first_ranked(table)
    added = Endpoint("10.9.9.9:80")
    table.update([added], [])
    joined = first_ranked(table)
    moved = [slot for slot, pair in enumerate(zip(before, joined, strict=True)) if pair[0] != pair[1]]
    assert moved
    assert all(joined[slot] == added.id for slot in moved)
    table.update([], [added.id])
    assert first_ranked(table) == before


def test_mass_change_gives_the_same_ranking_as_a_fresh_table() -> None:
    table = table_of(fleet(30))
    first_ranked(table)
    table.update([], [server.id for server in fleet(30)[10:]])
    assert first_ranked(table) == first_ranked(table_of(fleet(10)))


def test_cached_ranking_equals_a_fresh_one_after_small_changes() -> None:
    table = table_of(fleet(12))
    first_ranked(table)
    table.update([Endpoint("10.9.9.9:80")], [fleet(12)[3].id])
    fresh = table_of((*fleet(12)[:3], *fleet(12)[4:], Endpoint("10.9.9.9:80")))
    for slot in range(300):
        cached = [endpoint.entry.id for endpoint in table.rank(slot, 0)]
        assert (
            cached[:RANKING_DEPTH] == [endpoint.entry.id for endpoint in fresh.rank(slot, 0)][:RANKING_DEPTH]
        )
        assert len(cached) >= RANKING_DEPTH


def test_warm_up_ramp_starts_at_the_initial_weight_and_rises_monotonically() -> None:
    cold = Endpoint("10.9.9.9:80", started_ns=100 * S)
    table = table_of((*fleet(9), cold), **WARM_UP_SETTINGS)
    owned = [
        {slot for slot, owner in enumerate(first_ranked(table, now)) if owner == cold.id}
        for now in (100 * S, 103 * S, 106 * S, 110 * S)
    ]
    assert all(early < late for early, late in itertools.pairwise(owned))
    assert 0.015 < len(owned[0]) / 2000 < 0.04  # about a quarter of the full share of a tenth
    assert 0.08 < len(owned[-1]) / 2000 < 0.12
    warm = first_ranked(table_of(fleet(9)))
    at_start = first_ranked(table, 100 * S)
    assert all(
        owner == warm_owner for owner, warm_owner in zip(at_start, warm, strict=True) if owner != cold.id
    )


def test_fleet_that_warms_up_together_keeps_its_placement() -> None:
    restarted = tuple(replace(server, started_ns=50 * S) for server in fleet(12))
    assert first_ranked(table_of(restarted, **WARM_UP_SETTINGS), 52 * S) == first_ranked(table_of(fleet(12)))


def test_list_weights_count_only_where_they_state_capacities() -> None:
    servers = tuple(Endpoint(f"s{i}", weight=3.0 if i == 0 else 1.0) for i in range(10))
    sized = first_ranked(table_of(servers, weights_state_capacity=True), slots=SLOTS).count("s0")
    equal = first_ranked(table_of(servers), slots=SLOTS).count("s0")
    assert 0.2 < sized / SLOTS < 0.3  # 3 of 12
    assert 0.08 < equal / SLOTS < 0.12


def test_cached_rankings_equal_fresh_ones_through_many_changes() -> None:
    # Ranking every slot for each endpoint that joins stalled the router for 125 ms, so the table applies
    # changes to cached rankings.
    rng = random.Random(1)
    live = {f"s{i}" for i in range(30)}
    table = table_of(tuple(map(Endpoint, sorted(live))))
    for step in range(200):
        if rng.random() < 0.5 and len(live) > 3:
            removed_id = rng.choice(sorted(live))
            live.discard(removed_id)
            table.update([], [removed_id])
        else:
            live.add(f"n{step}")
            table.update([Endpoint(f"n{step}")], [])
        fresh = table_of(tuple(map(Endpoint, sorted(live))))
        for slot in rng.sample(range(100), 10):
            ranks = [
                [endpoint.entry.id for endpoint in t.rank(slot, 0)][:RANKING_DEPTH] for t in (table, fresh)
            ]
            assert ranks[0] == ranks[1]
