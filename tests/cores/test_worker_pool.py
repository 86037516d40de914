"""The worker pool, the shared table, and the split and assembly of endpoint updates, without sockets."""

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
    processes = [pool.process_started(index, 0.0) for index in range(workers)]
    for process in processes:
        assert pool.process_serving(process) is None
    return pool, processes


def test_each_client_goes_to_the_worker_with_the_fewest_clients_unaccepted_ones_included() -> None:
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
    # On a loaded machine, two of six clients were assigned to one worker and four to the other.
    pool, (first, second) = serving_pool(2)
    assert [pool.assign_client(1.0) for _ in range(3)] == [first, second, first]
    pool.clients_accepted(first, 2, 1.0)
    pool.clients_accepted(second, 1, 1.0)
    pool.apply_report(first, 2, 0, {})  # the other worker's report is still to come
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
    assert pool.assign_client(1.09) is first  # not unresponsive yet
    assert pool.assign_client(1.2) is second
    pool.clients_accepted(second, 2, 1.21)
    pool.clients_accepted(first, 1, 1.3)  # responsive again
    assert pool.assign_client(1.35) is first
    assert pool.assign_client(1.5) is second
    pool.clients_accepted(first, 3, 1.6)
    assert pool.assign_client(9.0) is first
    second.unanswered_since = first.unanswered_since = 1.0
    assert pool.assign_client(9.0) is first  # all are unresponsive: the client waits for one of them


def test_a_dead_worker_is_restarted_at_once_and_one_that_keeps_failing_with_backoff() -> None:
    pool, (first, _) = serving_pool(2)
    assert pool.process_ended(first, 100.0) == 0.0
    delays: list[float] = []
    for i in range(9):
        process = pool.process_started(0, 200.0 + i)
        delays.append(pool.process_ended(process, 200.1 + i) or 0.0)
    assert delays[:4] == [0.1, 0.2, 0.4, 0.8]
    assert delays[-1] == MAX_BACKOFF_S
    stable = pool.process_started(0, 300.0)
    pool.process_serving(stable)
    assert pool.process_ended(stable, 400.0) == 0.0


def test_a_worker_that_was_starting_when_all_were_to_be_replaced_is_replaced_too() -> None:
    # On a loaded machine, such a worker counted as its own replacement and kept running the old version.
    pool = WorkerPool(1, ())
    old = pool.process_started(0, 1.0)
    assert pool.begin_replacement(1.5)
    assert pool.next_to_replace() is None  # not while a process is starting
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
    second_attempt = pool.process_started(0, 60.0)
    assert pool.process_serving(second_attempt) is old
    assert old.state is WorkerState.DRAINING
    assert pool.next_to_replace() is None
    assert pool.process_ended(old, 61.0) is None
    assert pool.next_to_replace() == 1
    assert not pool.finish_replacement()
    assert pool.overdue_starts(1000.0) == []
    assert pool.overdue_starts(1000.0) == [m for m in pool.processes if m.state is WorkerState.STARTING]
    overdue = pool.process_started(1, 70.0)
    assert pool.overdue_starts(79.0) == []
    assert pool.overdue_starts(81.0) == [overdue]


def test_no_worker_is_started_once_the_router_is_ending() -> None:
    pool, (first, _) = serving_pool(2)
    pool.ending = True
    assert pool.process_ended(first, 100.0) is None


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("demand"), st.integers(0, 5), st.floats(0, 1000)),
        st.tuples(st.just("receive"), st.integers(0, 5), st.just(0.0)),
        st.tuples(st.just("rebalance"), st.just(0), st.just(0.0)),
        st.tuples(st.just("end"), st.integers(0, 5), st.just(0.0)),
        st.tuples(st.just("start"), st.integers(0, 5), st.just(0.0)),
    ),
    max_size=60,
)


class SimulatedWorker:
    """A worker that reads and applies the shares sent to it in order, some time later."""

    def __init__(self, process: WorkerProcess) -> None:
        self.process = process
        self.share = 0.0
        self.number = 0
        self.unread: list[tuple[int, float]] = []


@settings(max_examples=200)
@given(STEPS, st.integers(1, 4))
def test_limit_shares_in_use_never_sum_to_more_than_the_limit(
    steps: list[tuple[str, int, float]], workers: int
) -> None:
    pool, processes = serving_pool(workers)
    simulated_workers = [SimulatedWorker(process) for process in processes]

    def rebalance() -> None:
        for process, shares in pool.rebalance_shares().items():
            worker = next(worker for worker in simulated_workers if worker.process is process)
            worker.unread.append(
                (
                    process.shares_number,
                    shares.get("a", worker.share if not worker.unread else worker.unread[-1][1]),
                )
            )

    for kind, number, amount in steps:
        worker = simulated_workers[number % len(simulated_workers)]
        if kind == "demand":
            pool.apply_report(worker.process, 0, worker.number, {"a": amount})
        elif kind == "receive" and worker.unread:
            worker.number, worker.share = worker.unread.pop(0)
            pool.apply_report(worker.process, 0, worker.number, worker.process.demands)
        elif kind == "rebalance":
            rebalance()
        elif kind == "end" and len(simulated_workers) > 1:
            simulated_workers.remove(worker)
            pool.process_ended(worker.process, 1.0)
        elif kind == "start":
            index = number % workers
            replaced = pool.process_serving(started := pool.process_started(index, 2.0))
            assert replaced is None or replaced.state is WorkerState.DRAINING
            simulated_workers.append(SimulatedWorker(started))
        assert sum(worker.share for worker in simulated_workers) <= 1.0 + 1e-6
    for _ in range(30):  # once all workers have read their messages, the shares match the demand
        rebalance()
        for worker in simulated_workers:
            while worker.unread:
                worker.number, worker.share = worker.unread.pop(0)
            pool.apply_report(worker.process, 0, worker.number, worker.process.demands)
    targets = pool.target_shares()
    for worker in simulated_workers:
        if worker.process in targets:
            assert worker.share >= targets[worker.process]["a"] - 0.05 * workers
        else:
            assert worker.share <= 0.021


def test_limit_shares_follow_demand_and_leave_each_worker_an_even_part() -> None:
    pool, (first, second) = serving_pool(2)
    pool.apply_report(first, 0, 0, {"a": 90.0})
    pool.apply_report(second, 0, 0, {"a": 10.0})
    shares = pool.rebalance_shares()
    assert shares[first]["a"] == pytest.approx(0.8)
    assert shares[second]["a"] == pytest.approx(0.2)
    assert min(share for by_tenant in shares.values() for share in by_tenant.values()) > MIN_SHARE


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

    def inserted(index: int, *names: str) -> list[str]:
        done = subprocess.run(
            [sys.executable, "-c", INSERTS, str(descriptor), str(index), *names],
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
    endpoints = tuple(Endpoint(f"n{i}") for i in range(count))
    update = EndpointUpdate(
        7, EndpointsChanged(kind, endpoints), {endpoint.id: ("127.0.0.1", 1) for endpoint in endpoints}
    )
    assembler = UpdateAssembler()
    parts = [
        msgspec.msgpack.decode(msgspec.msgpack.encode(part), type=EndpointUpdatePart)
        for part in split_update(update)
    ]
    results = [assembler.add(part) for part in parts]
    assert results[:-1] == [None] * (len(parts) - 1)
    assert results[-1] == update
