"""The supervisor's decisions, the workers' shared memory and their words, without sockets."""

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
    BACK_OFF_MOST_S,
    EPSILON,
    InsufficientResourcesError,
    WorkerPool,
    WorkerProcess,
    WorkerState,
    check,
)
from holdgw.operation.endpoint_update import EndpointUpdate
from holdgw.policy import Endpoint, EndpointsChanged, UpdateKind

ROOT = Path(__file__).resolve().parent.parent
MB = 1 << 20


def crew(workers: int) -> tuple[WorkerPool, list[WorkerProcess]]:
    found = WorkerPool(workers, ("a",))
    members = [found.started(place, 0.0) for place in range(workers)]
    for member in members:
        assert found.serving(member) is None
    return found, members


def test_each_client_goes_to_the_worker_with_the_fewest_counting_those_on_the_way() -> None:
    found, (first, second, third) = crew(3)
    found.account(first, 5, 0, {})
    assert [found.deal(1.0) for _ in range(4)] == [second, third, second, third]
    found.took(second, 2, 1.0)
    found.took(third, 2, 1.0)
    found.account(second, 2, 0, {})
    found.account(third, 9, 0, {})
    assert found.deal(1.0) is second
    second.state = WorkerState.LEAVING
    first.state = third.state = WorkerState.STARTING
    assert found.deal(1.0) is None


def test_what_a_worker_has_taken_since_its_account_still_counts() -> None:
    # Found on a loaded machine: of six clients two were dealt to one worker, and four to the other.
    found, (first, second) = crew(2)
    assert [found.deal(1.0) for _ in range(3)] == [first, second, first]
    found.took(first, 2, 1.0)
    found.took(second, 1, 1.0)
    found.account(first, 2, 0, {})  # the other's account is still to come
    assert [found.deal(1.0) for _ in range(2)] == [second, first]


def test_where_all_are_late_the_longest_silent_is_the_last() -> None:
    found, (first, second) = crew(2)
    assert [found.deal(1.0), found.deal(1.3)] == [first, second]
    assert [found.deal(2.0) for _ in range(3)] == [second] * 3


def test_a_worker_that_takes_nothing_is_passed_over_while_others_can() -> None:
    found, (first, second) = crew(2)
    assert [found.deal(1.0), found.deal(1.0)] == [first, second]
    found.took(second, 1, 1.01)
    found.account(second, 40, 0, {})
    assert found.deal(1.09) is first  # no sign yet that it is stuck
    assert found.deal(1.2) is second
    found.took(second, 2, 1.21)
    found.took(first, 1, 1.3)  # it goes on
    assert found.deal(1.35) is first
    assert found.deal(1.5) is second
    found.took(first, 3, 1.6)
    assert found.deal(9.0) is first
    second.waits_since = first.waits_since = 1.0
    assert found.deal(9.0) is first  # all are stuck: it waits for one of them


def test_a_dead_worker_is_started_again_at_once_and_one_that_keeps_dying_ever_later() -> None:
    found, (first, _) = crew(2)
    assert found.exited(first, 100.0) == 0.0
    waits: list[float] = []
    for i in range(9):
        member = found.started(0, 200.0 + i)
        waits.append(found.exited(member, 200.1 + i) or 0.0)
    assert waits[:4] == [0.1, 0.2, 0.4, 0.8]
    assert waits[-1] == BACK_OFF_MOST_S
    steady = found.started(0, 300.0)
    found.serving(steady)
    assert found.exited(steady, 400.0) == 0.0


def test_a_worker_that_was_starting_when_all_were_to_be_replaced_is_replaced_too() -> None:
    # Found on a loaded machine: it counted as its own successor, and stayed at the old version for good.
    found = WorkerPool(1, ())
    old = found.started(0, 1.0)
    assert found.replace(1.5)
    assert found.next_to_replace() is None  # not while it starts
    found.serving(old)
    assert not found.all_replaced()
    assert found.next_to_replace() == 0
    new = found.started(0, 2.0)
    assert found.serving(new) is old
    assert found.all_replaced()
    assert not found.all_replaced()


def test_a_new_version_that_does_not_come_up_leaves_the_old_one_in_its_place() -> None:
    found, (old, _) = crew(2)
    assert found.next_to_replace() is None
    assert found.replace(49.0)
    assert not found.replace(49.5)
    assert found.next_to_replace() == 0
    new = found.started(0, 50.0)
    assert found.next_to_replace() is None
    assert found.exited(new, 50.5) is None
    assert old in found.wanted()
    again = found.started(0, 60.0)
    assert found.serving(again) is old
    assert old.state is WorkerState.LEAVING
    assert found.next_to_replace() is None
    assert found.exited(old, 61.0) is None
    assert found.next_to_replace() == 1
    assert not found.all_replaced()
    assert found.overdue(1000.0) == []
    assert found.overdue(1000.0) == [m for m in found.members if m.state is WorkerState.STARTING]
    late = found.started(1, 70.0)
    assert found.overdue(79.0) == []
    assert found.overdue(81.0) == [late]


def test_nobody_is_started_once_the_end_has_begun() -> None:
    found, (first, _) = crew(2)
    found.ending = True
    assert found.exited(first, 100.0) is None


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
def test_no_tenant_ever_has_more_than_its_limit_over_all_workers(
    steps: list[tuple[str, int, float]], workers: int
) -> None:
    found, members = crew(workers)
    alive = [Led(member) for member in members]

    def beat() -> None:
        for member, shares in found.share_out().items():
            one = next(one for one in alive if one.member is member)
            one.told.append(
                (member.told_number, shares.get("a", one.share if not one.told else one.told[-1][1]))
            )

    for kind, number, amount in steps:
        one = alive[number % len(alive)]
        if kind == "demand":
            found.account(one.member, 0, one.number, {"a": amount})
        elif kind == "hear" and one.told:
            one.number, one.share = one.told.pop(0)
            found.account(one.member, 0, one.number, one.member.demands)
        elif kind == "beat":
            beat()
        elif kind == "die" and len(alive) > 1:
            alive.remove(one)
            found.exited(one.member, 1.0)
        elif kind == "start":
            place = number % workers
            before = found.serving(new := found.started(place, 2.0))
            assert before is None or before.state is WorkerState.LEAVING
            alive.append(Led(new))
        assert sum(one.share for one in alive) <= 1.0 + 1e-6
    for _ in range(30):  # all hear: what is owed by demand is given in the end
        beat()
        for one in alive:
            while one.told:
                one.number, one.share = one.told.pop(0)
            found.account(one.member, 0, one.number, one.member.demands)
    wanted = found.wanted()
    for one in alive:
        if one.member in wanted:
            assert one.share >= wanted[one.member]["a"] - 0.05 * workers
        else:
            assert one.share <= 0.021


def test_the_one_with_the_demand_gets_most_of_the_limit_and_the_others_a_floor() -> None:
    found, (first, second) = crew(2)
    found.account(first, 0, 0, {"a": 90.0})
    found.account(second, 0, 0, {"a": 10.0})
    told = found.share_out()
    assert told[first]["a"] == pytest.approx(0.8)
    assert told[second]["a"] == pytest.approx(0.2)
    assert min(share for shares in told.values() for share in shares.values()) > EPSILON


@pytest.mark.parametrize(
    ("workers", "memory", "sockets", "text"),
    [
        (0, 512 * MB, 4096, "--cores"),
        (65, 512 * MB, 4096, "--cores"),
        (4, 64 * MB, 4096, "need 120 MB"),
        (4, 512 * MB, 256, "need 320 descriptors"),
    ],
)
def test_workers_that_can_not_be_fed_are_refused(workers: int, memory: int, sockets: int, text: str) -> None:
    with pytest.raises(InsufficientResourcesError, match=text):
        check(workers, memory, sockets)
    check(4, 512 * MB, 4096)


CLAIMS = """
import os, sys
from holdgw.cores.shared_table import SharedTable, attach
board = SharedTable(attach(int(sys.argv[1]), 2), 2, int(sys.argv[2]))
print(*(board.claim(name.encode()) for name in sys.argv[3:]), board.revision)
board.close()
"""


def test_an_id_of_one_worker_is_taken_for_the_other_and_for_its_own_successor() -> None:
    descriptor = shared_table.create(2)

    def claims(place: int, *names: str) -> list[str]:
        done = subprocess.run(
            [sys.executable, "-c", CLAIMS, str(descriptor), str(place), *names],
            env={"PYTHONPATH": str(ROOT), "PYTHONHASHSEED": "77"},
            pass_fds=[descriptor],
            capture_output=True,
            text=True,
            check=True,
        )
        return done.stdout.split()

    supervisor = shared_table.SharedTable(shared_table.attach(descriptor, 2), 2)
    supervisor.advance()
    try:
        assert claims(0, "x", "y") == ["True", "True", "1"]
        supervisor.advance()
        assert claims(1, "x", "z") == ["False", "True", "2"]
        assert claims(0, "y", "z", "new") == ["False", "False", "True", "2"]
    finally:
        supervisor.close()
        os.close(descriptor)


@given(st.integers(0, 1300), st.sampled_from([UpdateKind.FULL, UpdateKind.DELTA]))
def test_a_list_of_any_length_comes_whole_or_not_at_all(count: int, kind: UpdateKind) -> None:
    servers = tuple(Endpoint(f"n{i}") for i in range(count))
    news = EndpointUpdate(7, EndpointsChanged(kind, servers), {s.id: ("127.0.0.1", 1) for s in servers})
    joiner = UpdateAssembler()
    sent = [
        msgspec.msgpack.decode(msgspec.msgpack.encode(part), type=EndpointUpdatePart)
        for part in split_update(news)
    ]
    taken = [joiner.take(part) for part in sent]
    assert taken[:-1] == [None] * (len(sent) - 1)
    assert taken[-1] == news
