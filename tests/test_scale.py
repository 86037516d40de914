"""The pure parts of the scale runs: locations, timelines, limits of the machine, summary figures."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import cast

import pytest

from bench import scale_plan
from bench.hollow import MAX_HELD_DATAGRAMS, Meter, MeteredLoop, draw_segments, merge_segments
from bench.scale import valid_runs
from bench.scale_clock import NS_PER_S, SlowClock
from bench.scale_plan import (
    FaultKind,
    Machine,
    Window,
    assign_routers,
    build_scenario,
    location_of,
    needs,
    one_way_delay,
    refusal,
)
from bench.scale_report import cost, death_detection, kernel_drops, quantile, summarize, view, void_reasons

BIG = Machine(cores=64, memory=256 << 30, descriptors=20_000)
WINDOW = Window("calm", 10, 13)


def test_routers_are_spread_evenly_over_43_sites_in_25_zones_and_8_regions() -> None:
    locations = [location_of(number) for number in range(760)]
    assert {len({location[i] for location in locations}) for i in range(3)} == {43, 25, 8}
    assert set(Counter(location.site for location in locations).values()) == {17, 18}
    zone_of = {location.site: location.zone for location in locations}
    assert all(zone_of[location.site] == location.zone for location in locations)
    region_of = {location.zone: location.region for location in locations}
    assert all(region_of[location.zone] == location.region for location in locations)


def test_the_delay_is_the_same_in_both_directions_and_grows_with_distance() -> None:
    assert one_way_delay(0, 43) < one_way_delay(0, 4) < one_way_delay(0, 16) < one_way_delay(0, 1)
    assert [location_of(n).region for n in (0, 43, 4, 16)] == [0] * 4
    assert len({location_of(number).region for number in range(760, 764)}) == 4
    assert all(one_way_delay(a, b) == one_way_delay(b, a) for a in range(0, 86, 7) for b in range(0, 86, 5))


@pytest.mark.parametrize("size", scale_plan.SIZES)
@pytest.mark.parametrize("name", scale_plan.SCENARIOS)
def test_a_play_is_under_40_seconds_contains_its_windows_and_affects_no_real_router(
    name: str, size: int
) -> None:
    scenario = build_scenario(name, size, real=3, aggregators=4)
    assert scenario.length < 40
    assert all(0 <= window.since < window.until <= scenario.length for window in scenario.windows)
    assert all(0 <= step.at < scenario.length for step in scenario.steps)
    affected = {member for step in scenario.steps for member in step.members}
    assert affected <= set(range(size, size + 4) if name == "aggregators" else range(3, size))


def test_at_760_one_router_dies_and_then_60_within_five_seconds() -> None:
    steps = [step for step in build_scenario("deaths", 760, 0).steps if step.kind is FaultKind.KILL]
    first, *others = [step.at for step in steps]
    assert len({member for step in steps for member in step.members}) == len(steps) == 61
    assert max(others) - min(others) <= 5.0
    assert first < min(others)


def test_at_760_a_tenth_of_the_routers_is_slow() -> None:
    (slow,) = (step for step in build_scenario("cut", 760, 0).steps if step.kind is FaultKind.SLOW)
    assert len(slow.members) == 76


def test_aggregators_are_killed_and_paused_and_no_router_is_affected() -> None:
    scenario = build_scenario("aggregators", 760, 0, 4)
    assert {member for step in scenario.steps for member in step.members} == set(range(760, 764))
    assert [step.kind for step in scenario.steps] == [FaultKind.KILL, FaultKind.PAUSE, FaultKind.KILL]


def test_every_router_has_one_process_and_routers_are_divided_evenly() -> None:
    shares = assign_routers(range(3, 760), 7)
    assert sorted(number for share in shares for number in share) == list(range(3, 760))
    assert max(map(len, shares)) - min(map(len, shares)) <= 1


def test_all_sizes_are_allowed_on_a_machine_with_enough_resources() -> None:
    for size in scale_plan.SIZES:
        assert not refusal(BIG, needs(size, 3, 8, 0.02), 1.0, 3)


@pytest.mark.parametrize(
    ("machine", "size", "slow", "real", "word"),
    [
        (BIG._replace(memory=2 << 30), 760, 1.0, 0, "memory"),
        (BIG._replace(descriptors=256), 760, 1.0, 0, "descriptors"),
        (BIG._replace(cores=1), 50, 1.0, 0, "cores"),
        (BIG, 760, 2.0, 3, "not slowed"),
        (BIG, 760, 31.0, 0, "slowed by 31"),
        (BIG, 760, 1.0, 190, "processes"),
    ],
)
def test_a_run_beyond_the_machine_is_refused_in_one_line_that_names_the_resource(
    machine: Machine, size: int, slow: float, real: int, word: str
) -> None:
    why = refusal(machine, needs(size, real, 6, 0.05), slow, real)
    assert word in why
    assert "\n" not in why


def test_a_run_uses_at_most_half_of_the_memory_and_200_processes() -> None:
    needed = needs(760, 3, 6, 0.05)
    just = BIG._replace(memory=needed.memory * 2)
    assert not refusal(just, needed, 1.0, 3)
    assert refusal(just._replace(memory=needed.memory * 2 - 2), needed, 1.0, 3)
    assert not refusal(BIG, needed._replace(processes=200), 1.0, 3)
    assert refusal(BIG, needed._replace(processes=201), 1.0, 3)


def test_the_clock_is_slowed_in_proportion_to_missing_cores_and_never_sped_up() -> None:
    workers = 8
    few, many = (scale_plan.needs(size, 0, workers, 0.05) for size in (50, 760))
    assert scale_plan.slow_factor(few, workers) == 1.0
    factor = scale_plan.slow_factor(many, workers)
    assert many.cores / factor <= workers * scale_plan.PLANNED_CORE_FRACTION
    assert factor == pytest.approx(many.cores / (workers * scale_plan.PLANNED_CORE_FRACTION), abs=0.25)


def test_a_slowed_clock_starts_at_the_machines_time_and_is_slower_by_its_factor(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clock = SlowClock(5 * NS_PER_S, 4.0)
    monkeypatch.setattr("time.monotonic_ns", lambda: 13 * NS_PER_S)
    assert clock.ns() == 7 * NS_PER_S
    assert clock.seconds() == 2.0
    assert clock.machine_seconds(2.0) == 8.0


# CPU time and pauses of a hollow router


def replace_cpu_clock(monkeypatch: pytest.MonkeyPatch) -> Callable[[int], None]:
    """Replace the thread's CPU clock; return a function that advances it by nanoseconds."""
    spent = [0]

    def advance(ns: int) -> None:
        spent[0] += ns

    monkeypatch.setattr("bench.hollow.thread_time_ns", lambda: spent[0])
    return advance


def test_cpu_time_of_the_generated_stream_is_not_counted_as_control(monkeypatch: pytest.MonkeyPatch) -> None:
    advance = replace_cpu_clock(monkeypatch)
    meter = Meter(lambda: 3.7)

    def tick() -> None:
        advance(100)
        advance(40)  # the generated stream
        meter.stream_ns += 40

    meter.run(tick)
    meter.run(tick)
    assert meter.spent_ns == {3: 200}


def test_a_paused_router_runs_deferred_calls_in_order_and_drops_datagrams_beyond_its_buffer() -> None:
    meter = Meter(lambda: 0.0)
    done: list[str] = []
    meter.pause()
    meter.run(done.append, "tick")
    for i in range(MAX_HELD_DATAGRAMS + 5):
        meter.run_datagram(done.append, f"datagram {i}")
    meter.run(done.append, "tick again")
    assert not done
    meter.resume()
    assert done[0] == "tick"
    assert done[-1] == "tick again"
    assert len(done) == MAX_HELD_DATAGRAMS + 1
    assert meter.dropped_datagrams == 6


def test_a_stretch_of_the_stream_has_its_rate_its_servers_and_a_skew_over_the_slots() -> None:
    servers = [f"s{i}" for i in range(96)]
    segments = draw_segments(servers, 1, 934.0)
    assert {sum(segment.slots.values()) for segment in segments} == {280}
    assert {name for segment in segments for name in segment.response_times} == set(servers)
    total = Counter(dict.fromkeys(range(8192), 0))
    for segment in segments:
        total.update(segment.slots)
    assert max(total.values()) > 20 * sum(total.values()) / 8192
    assert segments == draw_segments(servers, 1, 934.0)


def test_two_stretches_together_have_the_requests_and_sample_times_of_both() -> None:
    earlier, later = draw_segments([f"s{i}" for i in range(96)], 1, 934.0)[:2]
    now = 100 * NS_PER_S
    observations = merge_segments([earlier, later], now)
    assert sum(observations.slot_requests.values()) == 560
    for server, (_, at) in observations.response_times.items():
        age = (
            later.response_times[server][1]
            if server in later.response_times
            else earlier.response_times[server][1] + NS_PER_S * 3 // 10
        )
        assert now - at == age


# Summary figures


def test_the_cost_of_a_window_is_given_as_mean_and_as_each_routers_worst_second() -> None:
    routers = [{"9": 99.0, "10": 1.0, "11": 2.0, "12": 3.0, "13": 99.0}, {"10": 9.0}]
    summary = cost(routers, WINDOW)
    assert summary.mean == (2.0, 2.5, 3.0, 3.0)
    assert summary.worst == (3.0, 6.0, 9.0, 9.0)


def test_a_quantile_is_a_value_that_was_measured() -> None:
    values = [float(i) for i in range(1, 101)]
    assert quantile(values, 0.95) == 96.0
    assert quantile([5.0], 0.95) == 5.0


def test_view_figures_use_the_worst_second_and_count_live_routers_only() -> None:
    seen = [
        (9, 0, 9.0, 9.0, 9.0, 1),
        (10, 96, 0.5, 0.8, 2.0, 50),
        (11, 95, 0.7, 0.9, 1.0, 40),
        (13, 0, 9.0, 9.0, 9.0, 1),
    ]
    summary = view([{"seen": seen}], WINDOW, alive=80)
    assert summary.given_age.median == 0.6
    assert summary.worst_age.median == 0.7
    assert summary.held_age.median == 0.9
    assert summary.oldest_age.median == 2.0
    assert summary.servers.median == 95
    assert summary.coverage.median == 0.5


def test_a_death_is_learnt_by_all_only_once_every_live_router_has_learnt_of_it() -> None:
    def router(dead: bool = False, **learnt: float) -> dict[str, object]:
        return {"dead": dead, "learnt": {name[1:]: at for name, at in learnt.items()}}

    death_times = {7: 10.0, 8: 12.0}
    reports = [router(n7=16.0, n8=20.0), router(n7=17.5), router(dead=True)]
    summary = death_detection(reports, death_times, [7, 8])
    assert summary == (2, 7.0, 7.5, 7.5, 1)


def test_a_late_rig_or_a_full_buffer_voids_a_run_and_punctual_readings_do_not() -> None:
    punctual = [0.001] * 990 + [0.049] * 9 + [0.149]
    assert void_reasons({"relay": punctual}, 0, 0) == []
    assert len(void_reasons({"relay": [*punctual, 0.151]}, 0, 0)) == 1
    assert len(void_reasons({"relay": [0.051] * 100}, 0, 0)) == 1
    assert len(void_reasons({"relay": []}, 0, 0)) == 1
    assert len(void_reasons({"relay": punctual}, 1, 0)) == 1
    assert len(void_reasons({"relay": punctual}, 0, 1)) == 1
    assert len(void_reasons({"relay": punctual}, 0, 0, silent=1)) == 1


def test_kernel_drops_are_read_for_the_runs_own_sockets_only() -> None:
    rest = "00000000:0000 07 00000000:00000000 00:00000000 00000000     0        0 4 2 0"
    table = (
        "   sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt uid timeout inode ref\n"
        f"  190: 0500407F:A1B2 {rest} 3\n"
        f"  191: 0100007F:A1B2 {rest} 9\n"
    )
    assert kernel_drops(table, ["127.64.0.5"]) == 3


def test_figures_of_routers_leave_out_dead_and_light_ones_and_aggregators() -> None:
    timeline = build_scenario("calm", 4, 0)
    (window,) = timeline.windows
    seconds = [str(second) for second in range(window.since, window.until)]

    def router(number: int, ns: float, *, dead: bool = False, light: bool = False) -> dict[str, object]:
        return {
            "number": number,
            "dead": dead,
            "light": light,
            "aggregator": number == 4,
            "cpu_ns": dict.fromkeys(seconds, ns),
            "seen": [(window.since, 96, 0.5, 0.8, 1.0, 3)],
            "learnt": {},
        }

    hollow = [router(0, 2e7), router(1, 9e7, dead=True), router(2, 9e7, light=True), router(3, 4e7)]
    hollow.append(router(4, 8e7))
    bytes_by_member = {str(number): dict.fromkeys(seconds, 1000 * (number + 1)) for number in range(5)}
    summary = summarize(timeline, hollow, {"said": bytes_by_member, "heard": bytes_by_member}, {1: 1.0}, 4)
    figures = summary["windows"]["calm"]
    assert figures["cpu_percent"].mean[0::3] == (2.0, 4.0)
    assert figures["bytes_both"].mean[0::3] == (2000.0, 8000.0)
    assert figures["view"].coverage.median == 1.0
    assert figures["aggregators"]["cpu_percent"].mean.most == 8.0
    assert figures["aggregators"]["bytes_both"].mean.most == 10_000.0


class RecordingLoop:
    """Stands in for an event loop: records calls and their due times, and runs them on a clock of its own."""

    def __init__(self) -> None:
        self.now = 100.0
        self.due: list[float] = []
        self.calls: list[Callable[[], None]] = []

    def time(self) -> float:
        return self.now

    def call_at(self, due: float, call: Callable[..., None], *words: object) -> None:
        self.due.append(due)
        self.calls.append(lambda: call(*words))

    def run_late(self, by: float) -> None:
        self.now = self.due[-1] + by
        self.calls.pop()()


def test_a_tick_that_ran_late_does_not_move_the_next_unless_it_was_late_by_a_tick() -> None:
    recorded = RecordingLoop()
    loop = MeteredLoop(cast(asyncio.AbstractEventLoop, recorded), 4.0, Meter(lambda: 0.0))

    def tick() -> None:
        loop.call_later(0.1, tick)

    tick()
    recorded.run_late(0.3)
    assert recorded.due[-1] == pytest.approx(100.8)
    recorded.run_late(0.5)
    assert recorded.due[-1] == pytest.approx(101.3 + 0.4)


def test_all_valid_windows_of_each_size_are_drawn_and_no_void_one() -> None:
    def run(size: int, window: str, figure: int, *, void: bool = False) -> dict[str, object]:
        return {"size": size, "windows": {window: figure}, "void": ["late"] * void, "real": None}

    runs = [run(760, "calm", 1), run(50, "calm", 2), run(760, "cut", 3), run(760, "calm", 4, void=True)]
    found = valid_runs({"runs": runs})
    assert [(one["size"], one["windows"]) for one in found] == [
        (50, {"calm": 2}),
        (760, {"calm": 1, "cut": 3}),
    ]
