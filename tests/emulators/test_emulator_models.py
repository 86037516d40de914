"""The models of the emulators, with an injected clock: scheduling, warm-up, copies, dedup and discovery."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest
from hypothesis import assume, given, settings
from hypothesis import strategies as st

from holdgw.emulators.discovery_model import DiscoveryModel, Entry, State
from holdgw.emulators.faults import Fault, FaultShares
from holdgw.emulators.lru_cache import LruCache, MissReason
from holdgw.emulators.node_model import FinishedJob, Job, JobKind, JobResult, NodeModel, NodeSpec
from holdgw.emulators.origin_model import FinishedOriginJob, OriginJob, OriginModel, OriginResult, OriginSpec
from holdgw.emulators.processor_sharing import ProcessorSharingQueue, QueueSpec
from holdgw.emulators.seeded_draws import lognormal, unit

WARM = NodeSpec(work=QueueSpec(cores=1, slots=4, queue=3))
COLD = QueueSpec(cores=1, slots=4, queue=100, cold_share=0.25, warm_s=8.0)


def test_a_name_has_one_number_and_the_parts_of_a_name_are_separated() -> None:
    assert unit(1, "work", "r1") == unit(1, "work", "r1")
    assert (
        len({unit(1, "work", "r1"), unit(2, "work", "r1"), unit(1, "workr", "1"), unit(1, "work", b"r2")})
        == 4
    )
    drawn = sorted(unit(7, i) for i in range(4000))
    assert max(abs(u - (i + 0.5) / 4000) for i, u in enumerate(drawn)) < 0.03


def test_lognormal_has_its_mean_and_spread() -> None:
    drawn = [lognormal((i + 0.5) / 20000, 0.05, 0.5) for i in range(20000)]
    mean = sum(drawn) / len(drawn)
    spread = math.sqrt(sum((x - mean) ** 2 for x in drawn) / len(drawn)) / mean
    assert mean == pytest.approx(0.05, rel=0.01)
    assert spread == pytest.approx(0.5, rel=0.03)
    assert lognormal(0.0, 1.0, 0.5) > 0


# Processor sharing


def test_one_item_takes_its_work_and_two_share_the_core() -> None:
    work: ProcessorSharingQueue[str] = ProcessorSharingQueue(QueueSpec(cores=1, slots=2, queue=1), 10.0)
    assert work.submit("a", 0.1)
    assert work.submit("b", 0.1)
    assert work.submit("waits", 0.05)
    assert not work.submit("rejected", 0.1)
    assert [(round(at, 9), item) for at, _, item in work.advance(10.199)] == []
    ended = [(round(at, 9), round(began, 9), item) for at, began, item in work.advance(11.0)]
    assert ended == [(10.2, 10.0, "a"), (10.2, 10.0, "b"), (10.25, 10.2, "waits")]


def test_two_cores_do_two_items_at_full_speed_each() -> None:
    work: ProcessorSharingQueue[str] = ProcessorSharingQueue(
        QueueSpec(cores=2, slots=4, queue=0, speed=2.0), 0.0
    )
    for name in "ab":
        work.submit(name, 0.1)
    assert [at for at, _, _ in work.advance(1.0)] == [pytest.approx(0.05)] * 2


def test_a_cold_start_has_reduced_capacity_until_the_warm_up_ends() -> None:
    work: ProcessorSharingQueue[str] = ProcessorSharingQueue(COLD, 0.0, cold=True)
    assert work.capacity(0.0) == 0.25
    assert work.capacity(4.0) == pytest.approx(0.625)
    assert work.capacity(8.0) == 1.0
    work.submit("a", 0.25 * 2 + 0.75 / 8 * 2)  # the integral of the ramp over its first 2 s
    assert work.next_due() == pytest.approx(2.0)


def test_too_many_held_items_reduce_the_efficiency() -> None:
    spec = QueueSpec(cores=1, slots=1, queue=100, thrash=0.5, thrash_at=2)
    work: ProcessorSharingQueue[int] = ProcessorSharingQueue(spec, 0.0)
    for i in range(6):
        work.submit(i, 0.1)
    first = work.advance(10.0)[0]
    assert first.at == pytest.approx(0.1 * (1 + 0.5 * 4 / 2))


PLANS = st.lists(
    st.tuples(st.floats(0, 3), st.floats(0.001, 0.5), st.one_of(st.none(), st.floats(0.01, 1.0))),
    min_size=1,
    max_size=25,
)


@settings(max_examples=150, deadline=None)
@given(plan=PLANS, steps=st.integers(1, 40), cold=st.booleans())
def test_the_finish_time_does_not_depend_on_the_number_of_advances(
    plan: list[tuple[float, float, float | None]], steps: int, cold: bool
) -> None:
    def finish_times(advances: int) -> dict[int, float]:
        work: ProcessorSharingQueue[int] = ProcessorSharingQueue(COLD, 0.0, cold)
        ends: dict[int, float] = {}
        now = 0.0
        for i, (gap, size, pause) in enumerate(plan):
            for k in range(1, advances + 1):
                ends |= {item: at for at, _, item in work.advance(now + gap * k / advances)}
            now += gap
            if pause:
                work.pause(now + pause)
            work.submit(i, size)
        ends |= {item: at for at, _, item in work.advance(now + 1000)}
        return ends

    once, often = finish_times(1), finish_times(steps)
    assert once.keys() == often.keys() == set(range(len(plan)))
    # Rounding decides which is first if an item ends as a pause begins: such plans are skipped.
    pauses = [(sum(gap for gap, _, _ in plan[: i + 1]), pause) for i, (_, _, pause) in enumerate(plan)]
    assume(all(abs(at - start) > 1e-6 for at in once.values() for start, pause in pauses if pause))
    assume(all(abs(at - start) > 1e-6 for at in often.values() for start, pause in pauses if pause))
    for item, at in once.items():
        assert often[item] == pytest.approx(at, abs=1e-6)


@settings(max_examples=100, deadline=None)
@given(plan=PLANS, cold=st.booleans())
def test_the_work_done_does_not_exceed_the_capacity(
    plan: list[tuple[float, float, float | None]], cold: bool
) -> None:
    work: ProcessorSharingQueue[float] = ProcessorSharingQueue(COLD, 0.0, cold)
    now = finished_work = paused = 0.0
    paused_until = 0.0
    for gap, size, pause in plan:
        now += gap
        finished_work += sum(item for _, _, item in work.advance(now))
        if pause:
            paused += max(now + pause - max(paused_until, now), 0.0)
            paused_until = max(paused_until, now + pause)
            work.pause(now + pause)
        work.submit(size, size)
    due = work.next_due()
    assert due is not None
    last_finished = work.advance(due + 1e-9)
    assert last_finished, "an item ends at next_due"
    finished_work += sum(item for _, _, item in last_finished)
    span = min(due, COLD.warm_s)
    ramp = 0.25 * span + 0.75 * span * span / (2 * COLD.warm_s) if cold else span
    max_work = ramp + max(due - COLD.warm_s, 0.0)
    assert finished_work <= max_work + 1e-6


# Cached copies


def test_the_least_recently_used_copy_is_evicted_and_each_miss_has_its_reason() -> None:
    cache = LruCache(memory=300, ttl=10.0)
    for key in (b"a", b"b", b"c"):
        cache.put(key, 100, 0.0)
    assert cache.get(b"a", 1.0) == 100
    cache.put(b"d", 100, 1.0)
    assert cache.get(b"b", 1.0) is None
    assert cache.miss_reason(b"b") is MissReason.EVICTED
    assert cache.miss_reason(b"never") is MissReason.NEVER
    assert cache.invalidate(b"c")
    assert not cache.invalidate(b"c")
    assert cache.miss_reason(b"c") is MissReason.INVALIDATED
    assert cache.get(b"a", 10.0) is None
    assert cache.miss_reason(b"a") is MissReason.EXPIRED
    assert cache.used == 100


def test_a_flush_drops_the_same_keys_at_every_server() -> None:
    nodes = [LruCache(1 << 20) for _ in range(2)]
    keys = [b"key-%d" % i for i in range(1000)]
    for node in nodes:
        for key in keys:
            node.put(key, 10, 0.0)
        assert 650 <= node.flush(0.7, seed=3, serial=1) <= 750
    assert [key in nodes[0] for key in keys] == [key in nodes[1] for key in keys]
    flushed = next(key for key in keys if key not in nodes[0])
    assert nodes[0].miss_reason(flushed) is MissReason.FLUSHED


@settings(max_examples=60, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 30), st.integers(1, 120)), max_size=80))
def test_memory_is_never_exceeded(puts: list[tuple[int, int]]) -> None:
    cache = LruCache(memory=100)
    for key, size in puts:
        cache.put(b"%d" % key, size, 0.0)
        assert cache.used <= 100
    sizes = [cache.get(b"%d" % key, 0.0) for key in {key for key, _ in puts}]
    assert cache.used == sum(size for size in sizes if size is not None)


# Cache servers


def read(name: str, key: bytes = b"k", work: float = 0.05) -> Job:
    return Job(JobKind.READ, name.encode(), key, work, 100)


def results(done: list[FinishedJob]) -> list[tuple[bytes, JobResult]]:
    return [(end.job.id, end.result) for end in done]


def test_a_server_stores_only_objects_that_the_origin_returned_for_its_own_misses() -> None:
    node = NodeModel(WARM, 0.0)
    node.arrive(0.0, read("r1"))
    (miss,) = node.advance(1.0)
    assert (miss.result, miss.missing) == (JobResult.MISS, MissReason.NEVER)
    assert not node.stored(1.0, b"another", b"k", 100)
    assert not node.stored(1.0, b"r1", b"other-key", 100)
    assert node.stored(1.0, b"r1", b"k", 100)
    node.arrive(1.0, read("r2"))
    assert results(node.advance(2.0)) == [(b"r2", JobResult.HIT)]


def test_a_second_miss_is_pending_for_the_lease_of_the_fetch_and_no_longer() -> None:
    node = NodeModel(WARM, 0.0)
    read_results = []
    for i, at in enumerate((0.0, 0.2, 3.0)):
        node.arrive(at, read(f"r{i}"))
        read_results += [finished_job.result for finished_job in node.advance(at + 0.15)]
    assert read_results == [JobResult.MISS, JobResult.PENDING, JobResult.MISS]


def test_requests_beyond_the_queue_are_rejected_and_accepted_ones_are_always_executed() -> None:
    node = NodeModel(replace(WARM, miss_share=1.0), 0.0)
    rejected = []
    for i in range(9):
        rejected += results(node.arrive(0.0, read(f"r{i}")))
    assert rejected == [(b"r7", JobResult.BUSY), (b"r8", JobResult.BUSY)]
    assert len(node.advance(0.5)) == 7  # all accepted requests are executed, though nobody waits for them


def test_a_write_at_a_cache_server_is_a_miss_and_keeps_the_copy() -> None:
    node = NodeModel(WARM, 0.0)
    node.cache.put(b"k", 100, 0.0)
    node.arrive(0.0, Job(JobKind.WRITE, b"w", b"k", 0.05))
    assert results(node.advance(1.0)) == [(b"w", JobResult.MISS)]
    assert b"k" in node.cache


def test_a_paused_server_is_unresponsive_and_then_continues_with_all_its_jobs() -> None:
    node = NodeModel(replace(WARM, miss_share=1.0), 0.0)
    node.arrive(0.0, read("before", work=0.05))
    node.pause(0.02, 3.0)
    for i in range(9):
        assert node.arrive(1.0, read(f"r{i}")) == [], "not even a rejection"
    assert node.arrive(1.5, Job(JobKind.PROBE, b"probe")) == []
    assert node.advance(3.01) == []
    assert node.next_due() == pytest.approx(3.02)
    ended = node.advance(9.0)
    at = {end.job.id: (round(end.at, 6), end.result) for end in ended}
    assert at[b"before"][0] >= 3.05
    assert at[b"before"][1] is JobResult.MISS
    assert (
        sum(result is JobResult.BUSY for _, result in at.values()) == 4
    )  # of ten, three are executed and three are queued
    assert len(at) == 11


def test_a_draining_server_rejects_new_requests_and_finishes_accepted_ones() -> None:
    node = NodeModel(WARM, 0.0)
    node.arrive(0.0, read("held"))
    node.draining = True
    assert results(node.arrive(0.0, read("late"))) == [(b"late", JobResult.BUSY)]
    assert results(node.advance(1.0)) == [(b"held", JobResult.MISS)]


def cold_server_under_load(share: float, seconds: float) -> NodeModel:
    """A cold server after `seconds` at a steady load, given as a share of the capacity of a warm one."""
    spec = NodeSpec(
        work=replace(COLD, cold_share=0.1, warm_s=16.0), fall_multiple=2.0, fall_s=2.0, miss_share=1.0
    )
    node = NodeModel(spec, 0.0, cold=True)
    work = 0.04
    count = int(seconds * share / work)
    for i in range(count):
        node.arrive(i * work / share, read(f"r{i}", work=work))
    return node


def test_a_cold_server_under_full_load_crashes_and_stays_down() -> None:
    node = cold_server_under_load(share=0.6, seconds=8.0)
    assert node.crash is not None
    assert node.crash.sent > node.crash.limit
    assert node.arrive(100.0, read("later")) == []
    assert node.advance(200.0) == []
    assert node.next_due() is None


def test_a_cold_server_within_its_capacity_does_not_crash() -> None:
    assert cold_server_under_load(share=0.12, seconds=8.0).crash is None


def test_a_warm_server_does_not_crash_under_load() -> None:
    node = NodeModel(replace(WARM, fall_multiple=0.1), 0.0)
    for i in range(200):
        node.arrive(i * 0.01, read(f"r{i}"))
    assert node.crash is None


def test_load_reports_are_updated_at_intervals_and_appear_after_a_delay() -> None:
    node = NodeModel(replace(WARM, report_s=0.2, report_late_s=0.1, miss_share=1.0), 0.0)
    for i in range(7):
        node.arrive(0.0, read(f"r{i}", work=1.0))
    node.advance(0.2)
    assert node.report(0.25).queue == 0, "updated at 0.2, in answers from 0.3 on"
    assert node.report(0.31).queue == 3
    node.advance(9.0)
    assert node.report(9.5).queue == 0
    assert node.report(9.5).latency_ms > 1000


def test_a_false_report_stays_until_it_is_ended() -> None:
    node = NodeModel(replace(WARM, report_s=0.25, report_late_s=0.0), 0.0)
    node.set_false_report("full", 0.0)
    assert node.report(1.0).queue == WARM.work.queue
    assert node.report(1.0).latency_ms >= 400.0
    node.set_false_report("still", 0.0)
    for i in range(4):
        node.arrive(0.0, read(f"r{i}", work=0.3))
    node.advance(0.6)
    assert (node.report(0.6).queue, node.report(0.6).latency_ms) == (0, 0.0)
    node.set_false_report("", 0.6)
    assert node.report(0.6).queue > 0 or node.report(0.6).latency_ms > 0.0
    node.set_false_report("idle", 0.6)
    assert (node.report(0.6).queue, node.report(0.6).latency_ms) == (0, 1.0)
    with pytest.raises(ValueError, match="no such report"):
        node.set_false_report("nonsense", 0.6)


def test_open_connections_reduce_the_capacity_and_their_number_is_limited() -> None:
    node = NodeModel(replace(WARM, connections=2, full_tax=0.5, miss_share=1.0), 0.0)
    assert node.set_connections(2)
    assert not node.set_connections(3)
    node.arrive(0.0, read("r1", work=0.1))
    assert node.next_due() == pytest.approx(0.2)


# The origin


def origin_job(name: str, write: bool = True, key: str = "idem", window: float = 2.5) -> OriginJob:
    return OriginJob(
        name.encode(), b"k", write, key.encode() if write else b"", window if write else 0.0, 0.05
    )


def answers(finished: list[FinishedOriginJob]) -> list[tuple[bytes, OriginResult, bool]]:
    return [(end.job.id, end.result, end.effect) for end in finished]


def test_a_repeated_write_is_dropped_within_the_dedup_window_and_executed_after_it() -> None:
    origin = OriginModel(OriginSpec(slots=2, queue=2), 0.0)
    assert origin.arrive(0.0, origin_job("w1")) == []
    assert answers(origin.arrive(0.01, origin_job("w1"))) == [
        (b"w1", OriginResult.REPEAT, False)
    ]  # also while the first one is executed
    assert answers(origin.arrive(2.4, origin_job("w2"))) == [
        (b"w1", OriginResult.SERVED, True),
        (b"w2", OriginResult.REPEAT, False),
    ]
    assert origin.arrive(2.6, origin_job("w3")) == []
    assert answers(origin.advance(9.0)) == [(b"w3", OriginResult.SERVED, True)]


def test_a_rejected_write_opens_no_dedup_window() -> None:
    origin = OriginModel(OriginSpec(slots=1, queue=0), 0.0)
    origin.arrive(0.0, origin_job("r", write=False))
    assert answers(origin.arrive(0.0, origin_job("w"))) == [(b"w", OriginResult.BUSY, False)]
    assert answers(origin.arrive(1.0, origin_job("w"))) == [(b"r", OriginResult.SERVED, False)]
    assert answers(origin.advance(2.0)) == [(b"w", OriginResult.SERVED, True)]


def test_a_slow_origin_takes_longer_and_a_crash_loses_its_jobs_but_no_idempotency_keys() -> None:
    origin = OriginModel(OriginSpec(slots=1, queue=5), 0.0)
    origin.slow(0.0, 4.0)
    origin.arrive(0.0, origin_job("w"))
    assert origin.next_due() == pytest.approx(0.2)
    assert [one.id for one in origin.crash()] == [b"w"]
    assert origin.held == 0
    assert answers(origin.arrive(0.5, origin_job("w"))) == [(b"w", OriginResult.REPEAT, False)]


# Discovery


def discovery_with(count: int, delay: float = 1.0, views: tuple[str, ...] = ("r1", "r2")) -> DiscoveryModel:
    entries = [Entry(f"n{i}", State.UP) for i in range(count)]
    return DiscoveryModel(entries, views, lambda view, _: delay if view == "r1" else 2 * delay, 0.0)


def test_each_view_receives_a_change_after_its_own_delay() -> None:
    model = discovery_with(2)
    assert model.set_state(0.0, "n0", State.DRAINING)
    assert not model.set_state(0.0, "unknown", State.UP)
    assert model.next_due() == 1.0
    assert list(model.advance(1.0)) == ["r1"]
    assert model.views["r1"].newer_than(1) == (False, [Entry("n0", State.DRAINING)])
    assert model.views["r2"].newer_than(1) == (False, [])
    assert list(model.advance(5.0)) == ["r2"]
    assert model.views["r2"].since["n0"] == 2.0
    assert model.next_due() is None


def test_delayed_and_frozen_views_receive_changes_in_order() -> None:
    model = discovery_with(2)
    model.late(0.0, extra=5.0, seconds=1.0)
    model.set_state(0.5, "n0", State.REMOVED)  # reaches the view at 6.5
    model.change(1.5, Entry("n0", State.UP))
    assert model.advance(6.0) == {}, "in order: the later change waits for the delayed one"
    changes = model.advance(6.5)["r1"]
    assert [change.entry.state for change in changes] == [State.REMOVED, State.UP]
    model.stale(7.0, 10.0, ["r1"])
    model.set_state(7.0, "n1", State.REMOVED)
    assert "r1" not in model.advance(16.9)
    assert model.advance(17.0)["r1"][0].at == 17.0


def test_a_watch_from_an_unknown_version_gets_the_full_list() -> None:
    model = discovery_with(3)
    full, entries = model.views["r1"].newer_than(99)
    assert (full, len(entries)) == (True, 3)
    full, _ = model.views["r1"].newer_than(0)
    assert full


# Faults


def test_faults_hit_the_same_answers_in_every_run_at_their_shares() -> None:
    shares = FaultShares(reset=0.1, garble=0.2, silence=0.3)
    drawn = [shares.draw(5, "n1", b"r%d" % i, 1) for i in range(5000)]
    assert drawn == [shares.draw(5, "n1", b"r%d" % i, 1) for i in range(5000)]
    for fault, share in ((Fault.RESET, 0.1), (Fault.GARBLE, 0.2), (Fault.SILENCE, 0.3), (Fault.NONE, 0.4)):
        assert drawn.count(fault) / 5000 == pytest.approx(share, abs=0.03)
    assert FaultShares().draw(5, "n1", b"r", 1) is Fault.NONE


@pytest.mark.parametrize(
    "wrong",
    [{"cores": 0}, {"slots": 0}, {"queue": -1}, {"speed": 0.0}, {"cold_share": 0.0}, {"thrash_at": 0.0}],
)
def test_invalid_queue_parameters_are_rejected(wrong: dict[str, float]) -> None:
    with pytest.raises(ValueError, match="must be"):
        QueueSpec(**wrong)  # type: ignore[arg-type]
