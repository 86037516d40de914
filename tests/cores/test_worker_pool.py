"""The supervisor's decisions, the shared table and the endpoint updates, without sockets."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from holdgw.cores import shared_table
from holdgw.cores.messages import EndpointUpdatePart, UpdateAssembler, split_update
from holdgw.cores.worker_pool import (
    MAX_BACKOFF_S,
    MIN_SHARE,
    InsufficientResourcesError,
    WorkerPool,
    WorkerProcess,
    WorkerState,
    check_resources,
)
from holdgw.operation.endpoint_update import EndpointUpdate
from holdgw.policy import Endpoint, EndpointsChanged, UpdateKind

ROOT = Path(__file__).resolve().parents[2]
MB = 1 << 20


def serving_pool(workers: int) -> tuple[WorkerPool, list[WorkerProcess]]:
    pool = WorkerPool(workers, ("a",))
    members = [pool.process_started(place, 0.0) for place in range(workers)]
    for member in members:
        assert pool.process_serving(member) is None
    return pool, members


def test_each_client_goes_to_the_worker_with_the_fewest_those_on_their_way_counted() -> None:
    pool, (first, second, third) = serving_pool(3)
    pool.apply_report(first, 5, 0, {})
    assert [pool.assign_client(1.0) for _ in range(4)] == [second, third, second, third]
    pool.clients_accepted(second, 2, 1.0)
    pool.clients_accepted(third, 2, 1.0)
    pool.apply_report(second, 2, 0, {})
    pool.apply_report(third, 9, 0, {})
    assert pool.assign_client(1.0) is second
    second.state = WorkerState.DRAINING
    first.state = third.state = WorkerState.STARTING
    assert pool.assign_client(1.0) is None


def test_clients_that_a_worker_accepted_since_its_report_still_count() -> None:
    # Found on a loaded machine: of six clients two were dealt to one worker, and four to the other.
    pool, (first, second) = serving_pool(2)
    assert [pool.assign_client(1.0) for _ in range(3)] == [first, second, first]
    pool.clients_accepted(first, 2, 1.0)
    pool.clients_accepted(second, 1, 1.0)
    pool.apply_report(first, 2, 0, {})  # the other's account is still to come
    assert [pool.assign_client(1.0) for _ in range(2)] == [second, first]


def test_where_all_are_unresponsive_the_longest_unresponsive_is_the_last() -> None:
    pool, (first, second) = serving_pool(2)
    assert [pool.assign_client(1.0), pool.assign_client(1.3)] == [first, second]
    assert [pool.assign_client(2.0) for _ in range(3)] == [second] * 3


def test_an_unresponsive_worker_gets_no_client_while_others_respond() -> None:
    pool, (first, second) = serving_pool(2)
    assert [pool.assign_client(1.0), pool.assign_client(1.0)] == [first, second]
    pool.clients_accepted(second, 1, 1.01)
    pool.apply_report(second, 40, 0, {})
    assert pool.assign_client(1.09) is first  # no sign yet that it is stuck
    assert pool.assign_client(1.2) is second
    pool.clients_accepted(second, 2, 1.21)
    pool.clients_accepted(first, 1, 1.3)  # it goes on
    assert pool.assign_client(1.35) is first
    assert pool.assign_client(1.5) is second
    pool.clients_accepted(first, 3, 1.6)
    assert pool.assign_client(9.0) is first
    second.unanswered_since = first.unanswered_since = 1.0
    assert pool.assign_client(9.0) is first  # all are stuck: it waits for one of them


def test_a_dead_worker_is_restarted_at_once_and_one_that_keeps_failing_with_backoff() -> None:
    pool, (first, _) = serving_pool(2)
    assert pool.process_ended(first, 100.0) == 0.0
    waits: list[float] = []
    for i in range(9):
        member = pool.process_started(0, 200.0 + i)
        waits.append(pool.process_ended(member, 200.1 + i) or 0.0)
    assert waits[:4] == [0.1, 0.2, 0.4, 0.8]
    assert waits[-1] == MAX_BACKOFF_S
    steady = pool.process_started(0, 300.0)
    pool.process_serving(steady)
    assert pool.process_ended(steady, 400.0) == 0.0


def test_a_worker_that_was_starting_when_all_were_to_be_replaced_is_replaced_too() -> None:
    # Found on a loaded machine: it counted as its own successor, and stayed at the old version for good.
    pool = WorkerPool(1, ())
    old = pool.process_started(0, 1.0)
    assert pool.begin_replacement(1.5)
    assert pool.next_to_replace() is None  # not while it starts
    pool.process_serving(old)
    assert not pool.finish_replacement()
    assert pool.next_to_replace() == 0
    new = pool.process_started(0, 2.0)
    assert pool.process_serving(new) is old
    assert pool.finish_replacement()
    assert not pool.finish_replacement()


def test_a_new_version_that_does_not_start_leaves_the_old_process_serving() -> None:
    pool, (old, _) = serving_pool(2)
    assert pool.next_to_replace() is None
    assert pool.begin_replacement(49.0)
    assert not pool.begin_replacement(49.5)
    assert pool.next_to_replace() == 0
    new = pool.process_started(0, 50.0)
    assert pool.next_to_replace() is None
    assert pool.process_ended(new, 50.5) is None
    assert old in pool.target_shares()
    again = pool.process_started(0, 60.0)
    assert pool.process_serving(again) is old
    assert old.state is WorkerState.DRAINING
    assert pool.next_to_replace() is None
    assert pool.process_ended(old, 61.0) is None
    assert pool.next_to_replace() == 1
    assert not pool.finish_replacement()
    assert pool.overdue_starts(1000.0) == []
    assert pool.overdue_starts(1000.0) == [m for m in pool.processes if m.state is WorkerState.STARTING]
    late = pool.process_started(1, 70.0)
    assert pool.overdue_starts(79.0) == []
    assert pool.overdue_starts(81.0) == [late]


def test_no_worker_is_started_once_the_router_is_ending() -> None:
    pool, (first, _) = serving_pool(2)
    pool.ending = True
    assert pool.process_ended(first, 100.0) is None


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("demand"), st.integers(0, 5), st.floats(0, 1000)),
        st.tuples(st.just("hear"), st.integers(0, 5), st.just(0.0)),
        st.tuples(st.just("beat"), st.just(0), st.just(0.0)),
        st.tuples(st.just("die"), st.integers(0, 5), st.just(0.0)),
        st.tuples(st.just("start"), st.integers(0, 5), st.just(0.0)),
    ),
    max_size=60,
)


class Led:
    """A worker as it is: it goes by shares some time after it was told, in order."""

    def __init__(self, member: WorkerProcess) -> None:
        self.member = member
        self.share = 0.0
        self.number = 0
        self.told: list[tuple[int, float]] = []


@settings(max_examples=200)
@given(STEPS, st.integers(1, 4))
def test_limit_shares_in_use_never_sum_to_more_than_the_limit(
    steps: list[tuple[str, int, float]], workers: int
) -> None:
    pool, members = serving_pool(workers)
    alive = [Led(member) for member in members]

    def beat() -> None:
        for member, shares in pool.rebalance_shares().items():
            one = next(one for one in alive if one.member is member)
            one.told.append(
                (member.shares_number, shares.get("a", one.share if not one.told else one.told[-1][1]))
            )

    for kind, number, amount in steps:
        one = alive[number % len(alive)]
        if kind == "demand":
            pool.apply_report(one.member, 0, one.number, {"a": amount})
        elif kind == "hear" and one.told:
            one.number, one.share = one.told.pop(0)
            pool.apply_report(one.member, 0, one.number, one.member.demands)
        elif kind == "beat":
            beat()
        elif kind == "die" and len(alive) > 1:
            alive.remove(one)
            pool.process_ended(one.member, 1.0)
        elif kind == "start":
            place = number % workers
            before = pool.process_serving(new := pool.process_started(place, 2.0))
            assert before is None or before.state is WorkerState.DRAINING
            alive.append(Led(new))
        assert sum(one.share for one in alive) <= 1.0 + 1e-6
    for _ in range(30):  # all hear: what is owed by demand is given in the end
        beat()
        for one in alive:
            while one.told:
                one.number, one.share = one.told.pop(0)
            pool.apply_report(one.member, 0, one.number, one.member.demands)
    wanted = pool.target_shares()
    for one in alive:
        if one.member in wanted:
            assert one.share >= wanted[one.member]["a"] - 0.05 * workers
        else:
            assert one.share <= 0.021


def test_limit_shares_follow_demand_and_leave_each_worker_an_even_part() -> None:
    pool, (first, second) = serving_pool(2)
    pool.apply_report(first, 0, 0, {"a": 90.0})
    pool.apply_report(second, 0, 0, {"a": 10.0})
    told = pool.rebalance_shares()
    assert told[first]["a"] == pytest.approx(0.8)
    assert told[second]["a"] == pytest.approx(0.2)
    assert min(share for shares in told.values() for share in shares.values()) > MIN_SHARE


@pytest.mark.parametrize(
    ("workers", "memory", "sockets", "text"),
    [
        (0, 512 * MB, 4096, "--cores"),
        (65, 512 * MB, 4096, "--cores"),
        (4, 64 * MB, 4096, "need 120 MB"),
        (4, 512 * MB, 256, "need 320 descriptors"),
    ],
)
def test_limits_that_do_not_suffice_for_the_workers_are_rejected(
    workers: int, memory: int, sockets: int, text: str
) -> None:
    with pytest.raises(InsufficientResourcesError, match=text):
        check_resources(workers, memory, sockets)
    check_resources(4, 512 * MB, 4096)


INSERTS = """
import os, sys
from holdgw.cores.shared_table import SharedTable, attach
table = SharedTable(attach(int(sys.argv[1]), 2), 2, int(sys.argv[2]))
print(*(table.insert_if_absent(name.encode()) for name in sys.argv[3:]), table.revision)
table.close()
"""


def test_an_id_of_one_worker_is_found_by_the_others_and_by_its_replacement() -> None:
    descriptor = shared_table.create(2)

    def inserted(place: int, *names: str) -> list[str]:
        done = subprocess.run(
            [sys.executable, "-c", INSERTS, str(descriptor), str(place), *names],
            env={"PYTHONPATH": str(ROOT), "PYTHONHASHSEED": "77"},
            pass_fds=[descriptor],
            capture_output=True,
            text=True,
            check=True,
        )
        return done.stdout.split()

    supervisor = shared_table.SharedTable(shared_table.attach(descriptor, 2), 2)
    supervisor.advance_revision()
    try:
        assert inserted(0, "x", "y") == ["True", "True", "1"]
        supervisor.advance_revision()
        assert inserted(1, "x", "z") == ["False", "True", "2"]
        assert inserted(0, "y", "z", "new") == ["False", "False", "True", "2"]
    finally:
        supervisor.close()
        os.close(descriptor)


@given(st.integers(0, 1300), st.sampled_from([UpdateKind.FULL, UpdateKind.DELTA]))
def test_an_endpoint_update_of_any_length_is_applied_completely_or_not_at_all(
    count: int, kind: UpdateKind
) -> None:
    servers = tuple(Endpoint(f"n{i}") for i in range(count))
    news = EndpointUpdate(7, EndpointsChanged(kind, servers), {s.id: ("127.0.0.1", 1) for s in servers})
    assembler = UpdateAssembler()
    sent = [
        msgspec.msgpack.decode(msgspec.msgpack.encode(part), type=EndpointUpdatePart)
        for part in split_update(news)
    ]
    taken = [assembler.add(part) for part in sent]
    assert taken[:-1] == [None] * (len(sent) - 1)
    assert taken[-1] == news
