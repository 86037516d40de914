"""A router's side of aggregation: selection between two views, one of them false, and the fallback."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from holdgw.peers.aggregation_client import (
    FALLBACK_FANOUT,
    AggregationClient,
    FallbackChange,
    ViewResult,
)
from holdgw.peers.load_encoding import ServerSample
from holdgw.peers.load_report import LoadReport
from holdgw.peers.load_view import AgedResponseTime
from holdgw.peers.merged_view import ViewPart
from holdgw.peers.sequence_gate import REPLACED_AFTER
from holdgw.peers.view_selection import (
    MAX_SERVERS_PER_AGGREGATOR,
    OWN_MAX_AGE,
    OWN_VOTE_MAX_AGE,
    RESPONSE_TIME_MAX_AGE,
    VIEW_MAX_AGE,
    OwnLoad,
    ViewSelection,
    select_requests,
    select_response_time,
    select_shares,
)
from tests.helpers import MS, S

NAMES = {1: "cache-1", 2: "cache-2"}
NO_OWN_LOAD = OwnLoad({}, {}, 0.0, 760)
MILLISECONDS = st.integers(0, 60_000).map(lambda ms: float(ms * MS))
AGES = st.integers(0, int(OWN_VOTE_MAX_AGE) - 1)
SHARES = st.dictionaries(st.integers(0, 5), st.floats(0, 1), min_size=1)


def view(
    aggregator: int = 90, sequence: int = 1, response_time: int = 20 * MS, **overrides: object
) -> ViewPart:
    fields: dict[str, object] = {
        "boot_id": 7,
        "age": 0,
        "part": 0,
        "parts": 1,
        "reporters": 700,
        "requests": 1000,
        "response_times": (ServerSample(1, response_time, 0),),
        "slot_shares": {5: 0.1},
        **overrides,
    }
    return ViewPart(aggregator, sequence=sequence, **fields)  # type: ignore[arg-type]


# Selection of values


@given(MILLISECONDS, MILLISECONDS, MILLISECONDS, AGES, AGES)
def test_a_lying_aggregator_keeps_a_response_time_between_own_sample_and_honest_view(
    honest: float, own: float, false_value: float, age: int, own_age: int
) -> None:
    selected = select_response_time(
        [AgedResponseTime(honest, age), AgedResponseTime(false_value, 0)], AgedResponseTime(own, own_age)
    )
    assert selected is not None
    assert min(honest, own) <= selected.response_time <= max(honest, own)


def test_without_an_own_sample_a_lie_can_only_lower_a_response_time() -> None:
    honest = AgedResponseTime(50.0 * MS, S)
    assert select_response_time([honest, AgedResponseTime(9e12, 0)], None) == honest
    assert select_response_time([honest, AgedResponseTime(0.0, 0)], None) == AgedResponseTime(0.0, 0)


def test_a_young_own_sample_is_preferred_to_a_single_view() -> None:
    from_view = AgedResponseTime(50.0 * MS, S)
    assert select_response_time([from_view], AgedResponseTime(9.0, OWN_MAX_AGE - 1)) == AgedResponseTime(
        9.0, OWN_MAX_AGE - 1
    )
    assert select_response_time([from_view], AgedResponseTime(9.0, OWN_MAX_AGE)) == from_view
    assert select_response_time([], None) is None


@given(SHARES, SHARES, st.dictionaries(st.integers(0, 5), st.floats(1, 50)))
def test_a_slots_share_is_the_lower_of_both_views_and_at_least_the_routers_own_fraction(
    a: dict[int, float], b: dict[int, float], own: dict[int, float]
) -> None:
    selected = select_shares([a, b], OwnLoad({}, own, 100.0, 760), 1000.0)
    for slot, share in selected.items():
        assert share == max(min(a.get(slot, 0.0), b.get(slot, 0.0)), own.get(slot, 0.0) / 1000.0)
    assert own.keys() <= selected.keys()


def test_shares_that_were_lost_in_transit_are_ignored() -> None:
    assert select_shares([{5: 0.1}, {}], NO_OWN_LOAD, 1000.0) == {5: 0.1}
    assert select_shares([{}, {}], NO_OWN_LOAD, 1000.0) == {}


@given(st.integers(0, 1 << 32), st.integers(1000, 2000), st.integers(1, 1 << 20))
def test_a_lying_aggregator_keeps_all_requests_between_honest_view_and_own_estimate(
    false_value: int, honest: int, own: int
) -> None:
    selected = select_requests([false_value, honest], OwnLoad({}, {}, float(own), 760))
    assert min(honest, own * 760) <= selected <= max(honest, own * 760)


# Received views


def test_a_views_ages_include_how_long_it_was_held_and_the_time_since_it_arrived() -> None:
    selection = ViewSelection()
    selection.receive(view(age=400 * MS, response_times=(ServerSample(1, 20 * MS, 200 * MS),)), S)
    snapshot = selection.snapshot((90,), NAMES, NO_OWN_LOAD, 2 * S)
    assert snapshot is not None
    assert snapshot.response_times == {"cache-1": AgedResponseTime(20.0 * MS, 1600 * MS)}
    assert snapshot.slot_shares == {5: 0.1}


def test_a_view_or_response_time_past_its_maximum_age_is_never_used() -> None:
    selection = ViewSelection()
    old_sample = ServerSample(2, 20 * MS, RESPONSE_TIME_MAX_AGE - S)
    selection.receive(view(response_times=(ServerSample(1, 20 * MS, 0), old_sample)), 0)
    snapshot = selection.snapshot((90,), NAMES, NO_OWN_LOAD, S)
    assert snapshot is not None
    assert snapshot.response_times.keys() == {"cache-1"}
    assert selection.has_fresh(VIEW_MAX_AGE - 1)
    assert selection.snapshot((90,), NAMES, NO_OWN_LOAD, VIEW_MAX_AGE) is None
    assert selection.max_reporters(VIEW_MAX_AGE) == 0


def test_the_part_before_a_lost_part_is_used_until_it_is_too_old() -> None:
    selection = ViewSelection()
    selection.receive(view(sequence=1, part=0, parts=2), 0)
    selection.receive(view(sequence=1, part=1, parts=2, response_times=(ServerSample(2, 9 * MS, 0),)), 0)
    selection.receive(view(sequence=2, part=0, parts=2, response_time=30 * MS), 2 * S)
    snapshot = selection.snapshot((90,), NAMES, NO_OWN_LOAD, 2 * S)
    assert snapshot is not None
    assert snapshot.response_times == {
        "cache-1": AgedResponseTime(30.0 * MS, 0),
        "cache-2": AgedResponseTime(9.0 * MS, 2 * S),
    }
    later_snapshot = selection.snapshot((90,), NAMES, NO_OWN_LOAD, VIEW_MAX_AGE)
    assert later_snapshot is not None
    assert later_snapshot.response_times.keys() == {"cache-1"}


def test_a_duplicate_part_or_one_of_an_older_view_or_earlier_process_is_dropped() -> None:
    selection = ViewSelection()
    assert selection.receive(view(sequence=5), 0)
    assert not selection.receive(view(sequence=5), S)
    assert not selection.receive(view(sequence=4), S)
    assert selection.receive(view(sequence=5, part=1, parts=2), S)
    assert not selection.receive(view(sequence=1, boot_id=8), REPLACED_AFTER - 1)
    assert selection.receive(view(sequence=1, boot_id=8), REPLACED_AFTER)
    assert not selection.receive(view(sequence=6), 4 * S)


def test_a_view_with_under_half_of_the_others_reporters_is_ignored_while_the_other_is_fresh() -> None:
    selection = ViewSelection()
    selection.receive(view(90, response_time=900 * MS, reporters=349), 0)
    selection.receive(view(91, response_time=20 * MS, reporters=700), 0)
    snapshot = selection.snapshot((90, 91), NAMES, NO_OWN_LOAD, S)
    assert snapshot is not None
    assert snapshot.response_times["cache-1"].response_time == 20 * MS
    selection.receive(view(90, sequence=2, response_time=900 * MS, reporters=349), 2 * S)
    later_snapshot = selection.snapshot((90, 91), NAMES, NO_OWN_LOAD, VIEW_MAX_AGE)
    assert later_snapshot is not None
    assert later_snapshot.response_times["cache-1"].response_time == 900 * MS


def test_a_view_that_claims_too_many_reporters_does_not_exclude_another() -> None:
    selection = ViewSelection()
    selection.receive(view(90, response_time=900 * MS, reporters=0xFFFF), 0)
    selection.receive(view(91, response_time=20 * MS, reporters=700), 0)
    snapshot = selection.snapshot((90, 91), NAMES, NO_OWN_LOAD, S)
    assert snapshot is not None
    assert snapshot.response_times["cache-1"].response_time == 20 * MS


def test_of_three_views_those_of_the_aggregators_in_use_count() -> None:
    selection = ViewSelection()
    for number, response_time in ((90, 0), (91, 40), (92, 50)):
        selection.receive(view(number, response_time=response_time * MS), 0)
    snapshot = selection.snapshot((92, 91), NAMES, NO_OWN_LOAD, 0)
    assert snapshot is not None
    assert snapshot.response_times["cache-1"].response_time == 40 * MS


def test_servers_of_a_view_that_are_not_listed_are_left_out_and_bounded() -> None:
    selection = ViewSelection()
    for sequence in range(20):
        response_times = tuple(ServerSample(sequence * 200 + i, MS, 0) for i in range(3, 203))
        selection.receive(view(sequence=sequence, response_times=response_times), sequence * MS)
    assert len(selection._views[90].response_times) <= MAX_SERVERS_PER_AGGREGATOR
    snapshot = selection.snapshot((90,), NAMES, NO_OWN_LOAD, S)
    assert snapshot is not None
    assert snapshot.response_times.keys() <= set(NAMES.values())


# The client


def always_present(_number: int) -> bool:
    return True


def new_client(seed: int = 1) -> AggregationClient:
    return AggregationClient(5, 3, (90, 91, 92, 93), seed, 0)


def test_a_view_is_accepted_only_from_an_aggregator_that_was_reported_to() -> None:
    client = new_client()
    due = client.report(LoadReport(5, 7), always_present, 0)
    (target,) = due.targets
    assert client.receive(view(target), MS) is ViewResult.TAKEN
    assert client.receive(view(target), 2 * MS) is ViewResult.REPLAYED
    other = next(number for number in (90, 91, 92, 93) if number != target)
    assert client.receive(view(other), MS) is ViewResult.UNEXPECTED
    assert client.receive(view(77), MS) is ViewResult.UNEXPECTED


def test_the_fallback_is_entered_without_a_view_and_left_with_the_first() -> None:
    client = new_client()
    changes = []
    for second in range(12):
        due = client.report(LoadReport(5, 7), always_present, second * S)
        if second in (0, 1, 8, 9, 10, 11):
            for target in due.targets:
                client.receive(view(target, sequence=second + 1), second * S)
        changes.append(client.update_fallback(second * S))
        assert client.in_fallback == (4 <= second < 8)
        snapshot = client.snapshot(always_present, NAMES, NO_OWN_LOAD, second * S)
        assert (snapshot is None) == (4 <= second < 8)
    assert (
        changes.count(FallbackChange.ENTERED) == changes.count(FallbackChange.LEFT) == client.fallbacks == 1
    )


def test_in_fallback_a_router_reports_to_few_of_its_own_zone_and_to_no_aggregator() -> None:
    zones = {number: 3 if number < 10 else 4 for number in range(100)} | {90: 3, 91: 3}
    for seed in range(20):
        targets = new_client(seed).fallback_targets(range(100), zones.__getitem__)
        assert len(targets) == FALLBACK_FANOUT
        assert set(targets) <= set(range(10)) - {5}
    assert new_client().fallback_targets([5, 90], zones.__getitem__) == []


def test_in_fallback_routers_of_small_zones_report_to_one_another() -> None:
    zones = dict.fromkeys(range(100), 4) | {number: number for number in range(5, 12)} | {5: 3, 6: 3}
    routers_of_small_zones = set(range(6, 12)) - {4}
    for seed in range(20):
        targets = new_client(seed).fallback_targets(range(100), zones.__getitem__)
        assert len(targets) == FALLBACK_FANOUT
        assert set(targets) <= routers_of_small_zones
    zones = {number: 3 if number in (5, 6) else 4 for number in range(100)}
    for seed in range(20):  # a single small zone: its other router, and any router of another zone
        targets = new_client(seed).fallback_targets(range(100), zones.__getitem__)
        assert len(set(targets)) == FALLBACK_FANOUT
        assert targets[0] == 6


@pytest.mark.parametrize("present", [set(), {90, 91, 92, 93, 5}])
def test_reports_go_on_in_fallback_to_aggregators_in_turn(present: set[int]) -> None:
    client = new_client()
    reported_to = []
    for second in range(30):
        due = client.report(LoadReport(5, 7), present.__contains__, second * S)
        client.update_fallback(second * S)
        reported_to += due.targets
    assert client.in_fallback
    assert set(reported_to[-8:]) == {90, 91, 92, 93}
