"""Load reports through aggregators: merging, the effect of one false member, and the age of views."""

from __future__ import annotations

import random
from collections.abc import Sequence
from contextlib import suppress

import pytest
from hypothesis import given
from hypothesis import strategies as st

from holdgw.peers import datagram, load_report, merged_view, sequenced_report
from holdgw.peers.aggregator import MIN_REPORT_INTERVAL, Aggregator
from holdgw.peers.aggregator_choice import (
    RETRY_AFTER,
    AggregatorChoice,
    rank_aggregators,
)
from holdgw.peers.datagram import MAX_BYTES, DecodeError
from holdgw.peers.load_encoding import AGE_STEP, RESPONSE_TIME_STEP, ServerSample
from holdgw.peers.load_merge import (
    MAX_MEDIAN_RATIO,
    MIN_SLOT_SHARE,
    SAMPLE_MAX_AGE,
    MergedLoad,
    merge,
)
from holdgw.peers.load_report import LoadReport
from holdgw.peers.load_view import MAX_ROUTER_SHARE
from holdgw.peers.merged_view import MAX_SERVERS, ViewPart
from holdgw.peers.report_table import DIRECT_PREFERRED, REPORT_MAX_AGE, ReceivedReport, ReportTable
from holdgw.peers.sequence_gate import REPLACED_AFTER, RETIRED_FOR, Order, SequenceGate
from holdgw.peers.sequenced_report import MAX_SAMPLES, MAX_SLOTS, ForwardedReport, SequencedReport
from holdgw.peers.stall_guard import MAX_LATENESS, StallGuard
from tests.helpers import MS, S, damaged

SHORT = st.integers(0, 0xFFFF)
WORD = st.integers(0, (1 << 32) - 1)
SAMPLES = st.builds(
    ServerSample,
    WORD,
    SHORT.map(lambda steps: steps * RESPONSE_TIME_STEP),
    st.integers(0, 255).map(lambda steps: steps * AGE_STEP),
)
REPORTS = st.builds(
    LoadReport,
    st.integers(0, 399),
    WORD,
    st.lists(SAMPLES, max_size=MAX_SAMPLES).map(tuple),
    SHORT,
    st.dictionaries(SHORT, SHORT, max_size=MAX_SLOTS),
    st.just({}),
)
SEQUENCED_REPORTS = st.builds(SequencedReport, WORD, REPORTS)
MERGED_LOADS = st.builds(
    MergedLoad,
    st.lists(SAMPLES, max_size=200, unique_by=lambda sample: sample.server_hash).map(tuple),
    st.dictionaries(SHORT, st.floats(0, 1), max_size=100),
    WORD,
    SHORT,
)


def report(sender: int, response_time: int = 20 * MS, age: int = 0, **overrides: object) -> LoadReport:
    fields = {
        "boot_id": 7,
        "samples": (ServerSample(1, response_time, age),),
        "requests": 100,
        "slots": {},
        **overrides,
    }
    return LoadReport(sender, **fields)  # type: ignore[arg-type]


def direct(load: LoadReport, age: int = 0) -> ReceivedReport:
    return ReceivedReport(load, load.sender, age)


def new_table() -> ReportTable:
    return ReportTable(lambda _reporter: (90, 91))


# Datagrams


@given(SEQUENCED_REPORTS, st.integers(0, 399))
def test_a_report_and_its_forwarded_form_fit_a_datagram_and_decode_to_the_same_report(
    sequenced: SequencedReport, forwarder: int
) -> None:
    data = sequenced_report.encode(sequenced)
    forwarded = sequenced_report.forward(data, forwarder)
    assert max(len(data), len(forwarded)) <= MAX_BYTES
    assert sequenced_report.is_sequenced_report(data)
    assert sequenced_report.is_forwarded_report(forwarded)
    assert sequenced_report.decode(data, 400) == sequenced
    assert sequenced_report.decode_forwarded(forwarded, 400) == ForwardedReport(forwarder, sequenced)


@given(MERGED_LOADS, st.integers(0, 10 * S - 100 * MS))
def test_a_view_decodes_to_what_was_merged_and_each_part_fits_a_datagram(
    merged: MergedLoad, view_age: int
) -> None:
    parts = merged_view.split(merged, 3, 9, 17)
    decoded_parts = [
        merged_view.decode(merged_view.to_datagram(merged_view.encode_body(p), view_age), 400) for p in parts
    ]
    assert all(len(merged_view.to_datagram(merged_view.encode_body(p), view_age)) <= MAX_BYTES for p in parts)
    assert [part.part for part in decoded_parts] == list(range(len(parts)))
    assert all(view_age <= part.age < view_age + AGE_STEP for part in decoded_parts)
    assert sum((part.response_times for part in decoded_parts), ()) == merged.response_times[:MAX_SERVERS]
    shares = {slot: share for part in decoded_parts for slot, share in part.slot_shares.items()}
    assert shares == {slot: pytest.approx(merged.slot_shares[slot], abs=1e-4) for slot in shares}
    assert {(p.aggregator, p.boot_id, p.sequence, p.reporters) for p in decoded_parts} == {
        (3, 9, 17, merged.reporters)
    }


@given(SEQUENCED_REPORTS, MERGED_LOADS, st.data())
def test_a_datagram_damaged_at_any_place_is_not_decoded(
    sequenced: SequencedReport, merged: MergedLoad, data: st.DataObject
) -> None:
    encoded = sequenced_report.encode(sequenced)
    with pytest.raises(DecodeError):
        sequenced_report.decode(damaged(encoded, data), 400)
    with pytest.raises(DecodeError):
        sequenced_report.decode_forwarded(damaged(sequenced_report.forward(encoded, 3), data), 400)
    part = merged_view.split(merged, 3, 9, 17)[0]
    with pytest.raises(DecodeError):
        merged_view.decode(damaged(merged_view.to_datagram(merged_view.encode_body(part), 0), data), 400)


@given(st.binary(max_size=MAX_BYTES))
def test_random_bytes_with_a_valid_checksum_are_decoded_or_raise_decode_error(noise: bytes) -> None:
    for kind, decode in (
        (sequenced_report.REPORT_KIND, sequenced_report.decode),
        (sequenced_report.FORWARDED_KIND, sequenced_report.decode_forwarded),
        (merged_view.VIEW_KIND, merged_view.decode),
    ):
        data = datagram.append_checksum(bytes((datagram.VERSION, kind)) + noise)
        with suppress(DecodeError):
            decode(data, 400)


@given(SEQUENCED_REPORTS, MERGED_LOADS)
def test_a_router_of_the_previous_version_drops_new_kinds_and_its_reports_are_decoded(
    sequenced: SequencedReport, merged: MergedLoad
) -> None:
    encoded = sequenced_report.encode(sequenced)
    view = merged_view.to_datagram(merged_view.encode_body(merged_view.split(merged, 3, 9, 17)[0]), 0)
    for data in (encoded, sequenced_report.forward(encoded, 3), view):
        assert not load_report.is_load_report(data)
        with pytest.raises(DecodeError):
            datagram.decode(data, 400)  # the only kinds of the previous version beside load reports
    old = load_report.encode(sequenced.report._replace(slots={}))
    assert load_report.is_load_report(old)
    assert load_report.decode(old, 400).samples == sequenced.report.samples


# Sequence numbers and restarts


def test_a_sequence_number_of_one_process_is_accepted_once_and_only_if_newest() -> None:
    gate = SequenceGate()
    assert [gate.check(1, n, 0) for n in (5, 5, 4, 6, 5)] == [
        Order.NEWER,
        Order.SAME,
        Order.REPLAYED,
        Order.NEWER,
        Order.REPLAYED,
    ]
    assert gate.check(1, (1 << 32) - 1, 0) is Order.REPLAYED  # older than 6 by serial number arithmetic
    gate = SequenceGate()
    assert [gate.check(1, n, 0) for n in ((1 << 32) - 1, 0)] == [Order.NEWER, Order.NEWER]


def test_a_restarted_process_is_accepted_after_a_silence_and_the_previous_one_is_rejected() -> None:
    gate = SequenceGate()
    gate.check(1, 50, 0)
    assert gate.check(2, 1, REPLACED_AFTER - 1) is Order.REPLAYED
    assert gate.check(2, 1, REPLACED_AFTER) is Order.NEWER
    for at in range(REPLACED_AFTER, REPLACED_AFTER + 20 * S, S):  # replays, while the current process sends
        assert gate.check(2, 2 + at // S, at) is Order.NEWER
        assert gate.check(1, 99, at + 1) is Order.REPLAYED


def test_a_process_displaced_by_a_replay_during_a_stall_is_accepted_again() -> None:
    gate = SequenceGate()
    gate.check(2, 10, 0)
    assert gate.check(1, 5, 3 * S) is Order.NEWER  # a replay of an earlier process
    assert gate.check(2, 11, 4 * S) is Order.REPLAYED
    assert gate.check(2, 12, 3 * S + RETIRED_FOR) is Order.NEWER


def test_datagrams_read_after_a_stall_are_of_unknown_age_until_a_tick_is_on_time() -> None:
    guard = StallGuard(S // 10, 0)
    assert not guard.is_stalled(S // 10 + MAX_LATENESS)
    assert guard.is_stalled(5 * S)  # the socket is read before the timer runs
    guard.tick(5 * S)
    assert guard.is_stalled(5 * S + 1)  # the socket is read after the timer has run
    guard.tick(5 * S + S // 10)
    assert not guard.is_stalled(5 * S + S // 10)
    assert guard.stalls == 1


# Choice of aggregators


def test_zones_choose_two_aggregators_and_a_lost_one_affects_only_the_zones_that_used_it() -> None:
    all_aggregators = (100, 101, 102, 103)
    before = {zone: rank_aggregators(zone, all_aggregators)[:2] for zone in range(43)}
    after = {zone: rank_aggregators(zone, all_aggregators[1:])[:2] for zone in range(43)}
    assert rank_aggregators(5, all_aggregators[::-1]) == rank_aggregators(5, all_aggregators)
    for zone, pair in before.items():
        assert set(pair) - {100} <= set(after[zone])
    use_counts = [sum(number in pair for pair in before.values()) for number in all_aggregators]
    assert min(use_counts) >= 10, use_counts  # of 43 zones; the mean is 21.5


def report_each_second(
    choice: AggregatorChoice, answers: set[int], present: set[int], seconds: range
) -> list[list[int]]:
    """Report once a second; the aggregators in `answers` answer. Returns the targets of each report."""
    reported_to = []
    for second in seconds:
        reported_to.append(choice.next_targets(present.__contains__, second * S))
        for target in reported_to[-1]:
            if target in answers:
                choice.answered(target)
    return reported_to


def test_reports_alternate_and_an_unresponsive_aggregator_is_retried_beside_another() -> None:
    choice = AggregatorChoice(3, (100, 101, 102, 103))
    first, second, third, _ = choice.order
    all_aggregators = set(choice.order)
    assert (
        report_each_second(choice, all_aggregators, all_aggregators, range(1, 9)) == [[first], [second]] * 4
    )
    reported_to = report_each_second(choice, all_aggregators - {first}, all_aggregators, range(9, 40))
    assert reported_to[:4] == [[first], [second, first], [third], [second]]
    assert (
        sum(first in targets for targets in reported_to) == 2 + 2
    )  # 2 until it is unresponsive, then one per RETRY_AFTER
    assert all(targets[0] != first for targets in reported_to[1:])  # each report goes to one that answers
    after_return = report_each_second(choice, all_aggregators, all_aggregators, range(40, 60))
    assert after_return[-4:] in ([[first], [second]] * 2, [[second], [first]] * 2)


def test_one_lost_view_is_made_up_for_without_a_change_of_aggregators() -> None:
    choice = AggregatorChoice(3, (100, 101, 102, 103))
    first, second = choice.order[:2]
    all_aggregators = set(choice.order)
    report_each_second(choice, all_aggregators, all_aggregators, range(1, 9))
    assert report_each_second(choice, set(), all_aggregators, range(9, 10)) == [[first]]
    assert report_each_second(choice, all_aggregators, all_aggregators, range(10, 15)) == [
        [second, first],
        [first],
        [second],
        [first],
        [second],
    ]


def test_a_report_is_sent_again_also_to_an_aggregator_that_counts_as_unresponsive() -> None:
    # Guards against a retry that misses the only reachable aggregator, as two lost datagrams retired it.
    choice = AggregatorChoice(3, (100, 101))
    first, second = choice.order
    report_each_second(choice, {first, second}, {first, second}, range(1, 9))
    report_each_second(choice, {second}, {first, second}, range(9, 12))
    assert choice.chosen({first, second}.__contains__, 12 * S) == (second,)
    assert choice.retry_targets({first, second}.__contains__, 12 * S) == [second, first]
    assert choice.retry_targets({second}.__contains__, 12 * S) == [second]


def test_two_aggregators_lost_at_once_cost_two_views() -> None:
    choice = AggregatorChoice(3, (100, 101, 102, 103))
    first, second, third, _ = choice.order
    all_aggregators = set(choice.order)
    report_each_second(choice, all_aggregators, all_aggregators, range(1, 9))
    reported_to = report_each_second(choice, all_aggregators - {first, second}, all_aggregators, range(9, 12))
    assert reported_to == [[first], [second, first], [third, second]]


def test_an_intermittent_aggregator_is_not_used_until_it_has_stayed_present() -> None:
    choice = AggregatorChoice(3, (100, 101, 102, 103))
    all_aggregators = set(choice.order)
    for second in range(1, 30):
        present = all_aggregators if second % 2 else all_aggregators - {choice.order[0]}
        for target in choice.next_targets(present.__contains__, second * S):
            choice.answered(target)
            assert second <= 2 or target != choice.order[0]
    after = report_each_second(choice, all_aggregators, all_aggregators, range(30, 33 + RETRY_AFTER // S))
    assert [choice.order[0]] in after


def test_unresponsive_aggregators_are_tried_in_turn_and_a_view_is_expected_after_a_report() -> None:
    choice = AggregatorChoice(3, (100, 101, 102, 103))
    reported_to = report_each_second(choice, set(), set(), range(1, 20))
    assert sorted(reported_to[-4:]) == [[100], [101], [102], [103]]
    assert not choice.expects(77, 19 * S)
    assert choice.expects(reported_to[-1][0], 19 * S)
    assert not choice.expects(reported_to[-1][0], 19 * S + 3 * S)


# The table of reports


@given(st.data())
def test_any_order_duplication_and_overlap_of_deliveries_gives_the_same_table(data: st.DataObject) -> None:
    """The same reports from the same sources; each counts once, whichever way it arrived."""
    reports = [
        (SequencedReport(n, report(sender, response_time=n * MS)), source)
        for sender in range(4)
        for n in range(1, 4)
        for source in data.draw(st.sets(st.sampled_from((sender, 90, 91, 92)), min_size=1))
    ]
    tables = []
    for _ in range(2):
        delivered = data.draw(st.permutations(reports + data.draw(st.lists(st.sampled_from(reports)))))
        table = new_table()
        for sequenced, source in delivered:
            table.receive(sequenced, source, S)
        tables.append({received.report.sender: received for received in table.fresh(S)})
        assert len(tables[-1]) == len(table.fresh(S))
    assert tables[0] == tables[1]
    assert merge(list(tables[0].values())).reporters == 4


def test_two_aggregators_that_exchange_reports_count_each_reporter_once() -> None:
    rng = random.Random(1)
    tables = {90: new_table(), 91: new_table()}
    for n in range(1, 4):
        for sender in range(20):
            to = rng.choice((90, 91))
            sequenced = SequencedReport(n, report(sender, requests=10 * n))
            tables[to].receive(sequenced, sender, n * S)
            if rng.random() < 0.8:  # a fifth of the forwarded reports are lost; others may arrive twice
                for _ in range(rng.randrange(1, 3)):
                    tables[181 - to].receive(sequenced, to, n * S)
    for table in tables.values():
        merged = merge(table.fresh(3 * S))
        assert merged.reporters <= 20
        assert merged.requests <= 20 * 30


def test_a_young_direct_report_is_preferred_to_a_forwarded_one_and_an_expired_one_is_ignored() -> None:
    table = new_table()
    table.receive(SequencedReport(1, report(5, response_time=10 * MS)), 5, 0)
    table.receive(SequencedReport(9, report(5, response_time=900 * MS)), 90, S)  # claims to be newer
    assert [received.source for received in table.fresh(DIRECT_PREFERRED - 1)] == [5]
    assert [received.source for received in table.fresh(DIRECT_PREFERRED)] == [90]
    assert [received.source for received in table.fresh(REPORT_MAX_AGE)] == [90]
    assert table.fresh(S + REPORT_MAX_AGE) == []


def test_half_of_the_direct_reports_are_preferred_to_forwarded_ones_when_all_arrive_at_once() -> None:
    for routers in (2, 7, 8):
        table = new_table()
        for sender in range(routers):
            table.receive(SequencedReport(1, report(sender)), sender, sender * MS)
            table.receive(SequencedReport(9, report(sender)), 90, 2 * S)
        received_reports = table.fresh(2 * S)
        assert [received.report.sender for received in received_reports if received.direct] == list(
            range(routers - routers // 2, routers)
        )
        assert len(received_reports) == routers
        assert not any(received.direct for received in table.fresh(REPORT_MAX_AGE + S))


def test_of_two_forwarded_reports_the_one_of_the_reporters_own_aggregator_counts() -> None:
    table = new_table()
    table.receive(SequencedReport(1, report(5)), 90, 0)
    table.receive(SequencedReport(8, report(5)), 92, S)
    assert [received.source for received in table.fresh(S)] == [90]


def test_replays_of_old_reports_and_of_a_previous_process_are_rejected() -> None:
    table = new_table()
    old = SequencedReport(40, report(5, boot_id=1))
    assert table.receive(old, 5, 0)
    assert table.receive(SequencedReport(1, report(5, boot_id=2)), 5, 3 * S)
    for second in range(4, 30):
        assert not table.receive(old, 5, second * S)
        assert table.receive(SequencedReport(second, report(5, boot_id=2)), 5, second * S)


# Merging, with false reports


@given(st.lists(st.integers(1, 1000), min_size=3, max_size=60), st.integers(0, 60_000), st.integers(0, 3000))
def test_one_false_reporter_moves_a_response_time_by_one_rank(
    honest: list[int], false_value: int, age: int
) -> None:
    reports = [direct(report(n, response_time=response_time * MS)) for n, response_time in enumerate(honest)]
    samples = (ServerSample(1, false_value * MS, age * MS), ServerSample(1, false_value * MS, 0))
    (merged_sample,) = merge([*reports, direct(report(99, samples=samples))]).response_times
    ordered = sorted(honest)
    middle = (len(ordered) - 1) // 2
    assert (
        ordered[max(middle - 1, 0)] * MS
        <= merged_sample.response_time
        <= ordered[min(middle + 1, len(ordered) - 1)] * MS
    )


def test_one_false_reporters_requests_count_for_a_bounded_part() -> None:
    reports = [direct(report(n, slots={1: 50})) for n in range(50)]
    merged = merge([*reports, direct(report(99, requests=60_000, slots={9: 60_000}))])
    assert merged.requests <= 50 * 100 + MAX_MEDIAN_RATIO * 100
    assert merged.slot_shares[9] <= MAX_MEDIAN_RATIO / (50 + MAX_MEDIAN_RATIO) + 1e-9
    few = merge([direct(report(1)), direct(report(2, requests=60_000, slots={9: 60_000}))])
    assert few.slot_shares[9] <= 0.31


@given(
    st.lists(st.tuples(st.integers(1, 1000), st.integers(0, 2900)), min_size=2, max_size=12),
    st.sampled_from((0, 60_000)),
    st.integers(0, 3000),
)
def test_one_false_reporter_keeps_a_response_time_within_true_ones_of_any_age(
    honest: list[tuple[int, int]], false_value: int, age: int
) -> None:
    reports = [
        direct(report(n, response_time=response_time * MS, age=sample_age * MS))
        for n, (response_time, sample_age) in enumerate(honest)
    ]
    (merged_sample,) = merge(
        [*reports, direct(report(99, response_time=false_value * MS, age=age * MS))]
    ).response_times
    response_times = [response_time * MS for response_time, _ in honest]
    assert min(response_times) <= merged_sample.response_time <= max(response_times)


def test_one_false_reporters_slot_has_a_bounded_share_where_others_were_forwarded() -> None:
    for direct_count in range(8):
        others = [direct(report(n)) for n in range(direct_count)] + forwarded(
            90, range(direct_count, 8), 0, {}
        )
        merged = merge([*others, direct(report(99, requests=60_000, slots={9: 60_000}))])
        assert merged.slot_shares[9] <= MAX_ROUTER_SHARE + 1e-9, direct_count


@given(st.integers(4, 40), st.integers(0, 120), st.sampled_from((0, 1, 200, 60_000)))
def test_one_lying_aggregator_moves_all_requests_by_at_most_a_factor_of_two(
    honest_count: int, false_count: int, claimed_requests: int
) -> None:
    """Also where it forwarded most reports, so that the median reporter is a false one."""
    reports = [direct(report(n)) for n in range(honest_count)]
    false = [
        ReceivedReport(report(n, requests=claimed_requests), 90, 0) for n in range(100, 100 + false_count)
    ]
    merged = merge([*reports, *false])
    assert 50 * (honest_count + false_count) <= merged.requests <= 200 * (honest_count + false_count), merged


def forwarded(
    forwarder: int, senders: Sequence[int], response_time: int, slots: dict[int, int]
) -> list[ReceivedReport]:
    return [
        ReceivedReport(report(n, response_time=response_time, slots=slots), forwarder, 0) for n in senders
    ]


@given(
    st.lists(st.integers(1, 1000), min_size=4, max_size=40), st.integers(0, 400), st.sampled_from((0, 60_000))
)
def test_one_lying_aggregator_keeps_a_response_time_within_the_quartiles_of_the_others(
    honest: list[int], false_count: int, false_value: int
) -> None:
    """The aggregator forwards any value, for any number of reporters."""
    reports = [direct(report(n, response_time=response_time * MS)) for n, response_time in enumerate(honest)]
    false = forwarded(90, range(100, 100 + false_count), false_value * MS, {})
    (merged_sample,) = merge([*reports, *false]).response_times
    ordered, last = sorted(honest), len(honest) - 1
    assert (
        ordered[last // 4] * MS
        <= merged_sample.response_time
        <= ordered[min(3 * len(honest) // 4 + 1, last)] * MS
    )


def test_one_lying_aggregator_does_not_outvote_two_others() -> None:
    for false_count in (10, 15, 19, 20, 21, 40, 300):
        reports = [
            *forwarded(91, range(20), 20 * MS, {}),
            *forwarded(92, range(20, 40), 30 * MS, {}),
            *forwarded(90, range(100, 100 + false_count), 60 * S, {}),
        ]
        (merged_sample,) = merge(reports).response_times
        assert merged_sample.response_time in (20 * MS, 30 * MS), false_count


def test_one_lying_aggregator_makes_no_slot_hot_by_forwarded_reports() -> None:
    honest = [direct(report(n, slots={1: 10})) for n in range(100)]
    merged = merge([*honest, *forwarded(90, range(200, 300), 0, {9: 100, 1: 100})])
    assert merged.slot_shares[9] <= MIN_SLOT_SHARE
    assert merged.slot_shares[1] <= 0.2
    alone = merge(
        forwarded(90, range(50), 0, {9: 50})
    )  # without other reports there is nothing to compare with
    assert alone.slot_shares[9] == pytest.approx(0.5)


def test_young_samples_count_alone_where_there_are_enough() -> None:
    old = [direct(report(n, response_time=900 * MS, age=2 * S)) for n in range(50)]
    young = [direct(report(n, response_time=20 * MS, age=n * MS)) for n in range(50, 57)]
    (merged_sample,) = merge([*old, *young]).response_times
    assert (merged_sample.response_time, merged_sample.age) == (20 * MS, 53 * MS)
    (with_few_young,) = merge([*old, *young[:3]]).response_times
    assert with_few_young.response_time == 900 * MS
    forwarded_reports = [ReceivedReport(report(n, response_time=0), 90, 0) for n in range(100, 130)]
    (merged_sample,) = merge([*old, *forwarded_reports]).response_times
    assert merged_sample.response_time == 900 * MS


def test_samples_age_with_their_report_and_are_ignored_when_too_old() -> None:
    (merged_sample,) = merge([direct(report(1, age=S), S), direct(report(2, age=0), S)]).response_times
    assert merged_sample.age == 2 * S
    assert merge([direct(report(1, age=2 * S), SAMPLE_MAX_AGE - 2 * S)]).response_times == ()


def test_no_reports_merge_to_an_empty_load() -> None:
    assert merge([]) == MergedLoad((), {}, 0, 0)


# The aggregator


def always_present(_number: int) -> bool:
    return True


def aggregators(count: int = 4) -> dict[int, Aggregator]:
    numbers = tuple(range(90, 90 + count))
    return {
        own_number: Aggregator(own_number, own_number, numbers, lambda reporter: reporter % 5)
        for own_number in numbers
    }


def parts(datagrams: Sequence[object]) -> list[ViewPart]:
    return [merged_view.decode(sent.data, 100) for sent in datagrams if merged_view.is_view(sent.data)]  # type: ignore[attr-defined]


def test_a_report_is_forwarded_once_answered_once_and_not_forwarded_again() -> None:
    all_aggregators = aggregators()
    data = sequenced_report.encode(SequencedReport(1, report(5)))
    out = all_aggregators[90].receive(data, sequenced_report.decode(data, 100), always_present, 0) or []
    assert sorted(outgoing.to for outgoing in out) == [91, 92, 93]
    assert (
        all_aggregators[90].receive(data, sequenced_report.decode(data, 100), always_present, S) is None
    )  # a duplicate
    for outgoing in out:
        all_aggregators[outgoing.to].receive_forwarded(
            sequenced_report.decode_forwarded(outgoing.data, 100), 0
        )
        all_aggregators[outgoing.to].tick(0)
        assert all_aggregators[outgoing.to].merged(0).reporters == 1
    early_data = sequenced_report.encode(SequencedReport(2, report(5)))
    assert not all_aggregators[90].receive(
        early_data, sequenced_report.decode(early_data, 100), always_present, MIN_REPORT_INTERVAL - 1
    )
    assert len(all_aggregators[90].table) == 1


def test_the_age_of_a_view_grows_until_it_is_sent_and_an_old_one_is_not_sent() -> None:
    aggregator = aggregators()[90]
    for n, now in ((1, 0), (2, S // 2), (3, 6 * S)):
        data = sequenced_report.encode(SequencedReport(n, report(5, age=400 * MS)))
        view_parts = parts(
            aggregator.receive(data, sequenced_report.decode(data, 100), always_present, now) or ()
        )
        if n == 1:
            assert view_parts == []  # no view is merged yet
            aggregator.tick(0)
        elif n == 2:
            (view,) = view_parts
            assert S // 2 <= view.age < S // 2 + AGE_STEP
            assert view.response_times[0].age == 400 * MS
        else:
            assert view_parts == []  # the aggregator stalled, and its view is too old


def test_an_aggregator_that_resumes_after_a_stall_has_no_view_and_no_reports() -> None:
    aggregator = aggregators()[90]
    data = sequenced_report.encode(SequencedReport(1, report(5)))
    aggregator.receive(data, sequenced_report.decode(data, 100), always_present, 0)
    aggregator.tick(0)
    assert aggregator.own_view(0)
    aggregator.tick(5 * S)
    assert aggregator.own_view(5 * S) == []
    assert aggregator.merged(5 * S).reporters == 0
