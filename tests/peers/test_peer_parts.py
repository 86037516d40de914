"""Parts of holdgw/peers: the token bucket, the queue of updates, and the budget of bytes for updates."""

from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from holdgw.peers.timing import NS_PER_S
from holdgw.peers.token_bucket import TokenBucket
from holdgw.peers.update_budget import COMPACT_BYTES, MIN_BYTES_PER_S, UpdateBudget
from holdgw.peers.update_queue import FIFO_SHARE, JOIN_HANDICAP, Priority, UpdateQueue


@given(st.lists(st.tuples(st.integers(0, NS_PER_S), st.integers(1, 600)), max_size=200))
def test_a_token_bucket_grants_no_more_than_its_burst_and_its_rate(takes: list[tuple[int, int]]) -> None:
    bucket, now, granted = TokenBucket(100.0, 500.0, 0), 0, 0
    for pause, size in takes:
        now += pause
        granted += size * bucket.take(size, now)
        assert granted <= 500.0 + 100.0 * now / NS_PER_S + 1e-6


def test_a_token_bucket_grants_its_whole_burst_and_after_a_pause_its_rate() -> None:
    bucket = TokenBucket(100.0, 500.0, 7)
    assert bucket.take(500, 7)
    assert not bucket.take(1, 7)
    assert not bucket.take(101, 7 + NS_PER_S)  # a refused size takes nothing
    assert bucket.take(100, 7 + NS_PER_S)
    assert not bucket.take(501, 7 + 100 * NS_PER_S)  # no more than the burst is saved up
    assert bucket.take(500, 7 + 100 * NS_PER_S)


def test_each_update_is_transmitted_equally_often_the_least_transmitted_and_latest_first() -> None:
    queue = UpdateQueue(2)
    for number in (1, 2, 3, 1):
        queue.push(number)
    assert queue.take(2) == [1, 3]
    assert queue.take(3) == [2, 3, 1]
    assert queue.take(3) == [2]
    assert len(queue) == 0


def test_an_update_pushed_again_is_passed_on_in_full_again() -> None:
    queue = UpdateQueue(2)
    queue.push(1)
    queue.take(1)
    queue.push(1)
    assert [queue.take(1) for _ in range(3)] == [[1], [1], []]


def test_a_refutation_goes_before_all_losses_until_its_transmissions_are_used_up() -> None:
    queue = UpdateQueue(4)
    queue.push(1, Priority.REFUTATION)
    assert queue.urgent
    for number in range(2, 6):
        queue.push(number, Priority.LOSS)
        assert queue.take(1) == [1]
    assert not queue.urgent
    assert queue.take(1) == [5]


def test_a_loss_goes_before_a_join_until_it_was_transmitted_join_handicap_times_more() -> None:
    queue = UpdateQueue(100)
    queue.push(1, Priority.LOSS)
    queue.push(2, Priority.JOIN)
    assert [queue.take(1) for _ in range(JOIN_HANDICAP)] == [[1]] * JOIN_HANDICAP
    assert sorted(queue.take(1) + queue.take(1)) == [1, 2]


def test_an_update_received_from_others_is_sent_later_but_no_less_often() -> None:
    queue = UpdateQueue(2)
    queue.push(1)
    queue.push(2)
    queue.note_received(2)
    queue.note_received(3)  # not queued
    assert queue.take(1) == [1]
    assert Counter(n for _ in range(3) for n in queue.take(1)) == {1: 1, 2: 2}


def test_an_update_renewed_is_passed_on_in_full_again_and_keeps_its_place() -> None:
    queue = UpdateQueue(2)
    queue.push(1)
    queue.push(2)
    assert queue.take(1) == [2]
    queue.renew(2)
    queue.renew(3)
    assert queue.take(2) == [3, 1]
    assert Counter(n for _ in range(4) for n in queue.take(1)) == {1: 1, 2: 2, 3: 1}


@given(
    st.lists(st.tuples(st.integers(0, 20), st.sampled_from(Priority)), max_size=60),
    st.integers(1, 5),
    st.lists(st.integers(0, 20), max_size=60),
)
def test_every_update_is_transmitted_its_number_of_times_after_its_last_push(
    pushes: list[tuple[int, Priority]], transmissions: int, received: list[int]
) -> None:
    queue = UpdateQueue(transmissions)
    transmitted: Counter[int] = Counter()
    for number, priority in pushes:
        queue.push(number, priority)
        transmitted[number] = 0
        for taken_number in queue.take(2):
            transmitted[taken_number] += 1
        for received_number in received[:2]:
            queue.note_received(received_number)
        received = received[2:]
    while len(queue):
        taken = queue.take(3)
        assert len(taken) == len(set(taken)) > 0
        transmitted.update(taken)
    assert all(count == transmissions for count in transmitted.values())
    assert queue.take(3) == []


@given(st.integers(2, 6), st.integers(1, 6), st.sampled_from(Priority))
def test_no_update_starves_under_endless_refutations(limit: int, transmissions: int, kind: Priority) -> None:
    queue = UpdateQueue(transmissions)
    queue.push(0, kind)
    transmitted = 0
    for number in range(1, FIFO_SHARE * transmissions + 1):
        queue.push(number, Priority.REFUTATION)
        transmitted += queue.take(limit).count(0)
    assert transmitted == transmissions


RATES = st.floats(MIN_BYTES_PER_S, 5000.0)


@given(
    RATES,
    st.lists(st.tuples(st.integers(0, NS_PER_S), st.integers(1, 200), st.booleans()), max_size=100),
)
def test_updates_never_cost_more_than_the_rate_and_what_was_saved_up(
    rate: float, events: list[tuple[int, int, bool]]
) -> None:
    budget, now, spent = UpdateBudget(rate, 0), 0, 0
    for pause, queued, probe in events:
        now += pause
        budget.refill(now)
        messages = 1 if probe else budget.messages(queued, False, 2)
        for _ in range(messages):
            if not probe and budget.compacts(queued) and budget.allows_compact():
                budget.spend(COMPACT_BYTES)
                spent += COMPACT_BYTES
                continue
            size = 0 if probe else 32
            budget.spend(size)
            updates = 8 * min(budget.piggyback(queued, urgent=False), queued, 28)
            budget.spend(updates)
            spent += size + updates
        assert spent <= rate * now / NS_PER_S + max(rate / 2, COMPACT_BYTES) + 1e-6


@given(RATES, st.integers(1, 2000), st.booleans())
def test_an_empty_budget_lets_a_message_of_updates_go_in_time_at_any_rate(
    rate: float, queued: int, urgent: bool
) -> None:
    budget = UpdateBudget(rate, 0)
    budget.spend(int(max(rate / 2, COMPACT_BYTES)) + 1)
    assert budget.messages(queued, urgent, 2) == 0
    assert budget.piggyback(1, urgent=False) == 0
    assert budget.piggyback(1, urgent=True) == 1
    budget.refill(2 * NS_PER_S)
    assert budget.allows_compact()
    assert budget.messages(queued, urgent, 2) >= 1
    budget.spend(32)
    assert budget.piggyback(1, urgent=False) >= 1


def test_a_budget_without_a_rate_bounds_nothing() -> None:
    budget = UpdateBudget(None, 0)
    for now in range(50):
        budget.refill(now)
        assert budget.messages(1000, False, 2) == 2
        assert budget.piggyback(1, urgent=False) >= 28
        budget.spend(256)
