"""docs/CAPACITY.md is what its generator makes of the kept data; the fit and the stretch on made-up data."""

from __future__ import annotations

import json
import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any
from unittest.mock import Mock

import pytest

from bench import (
    capacity_scale,
    slopes_keys,
    slopes_limits,
    slopes_membership,
    slopes_run,
    slopes_slots,
    slopes_tier,
)
from bench.capacity import MEASUREMENTS, PAGE, ROWS, rendered
from bench.capacity_model import (
    Bound,
    FitError,
    Measurement,
    Need,
    Point,
    Scale,
    Series,
    fit,
    read,
    written,
)
from bench.capacity_page import factor, find, number, page, ranking
from bench.capacity_rows import Absent, Given, Kind, Read, Role, Row, Untold
from bench.capacity_text import HEAD, UNKNOWNS
from bench.slopes import ROOT, load, store
from holdgw.policy import NS_PER_S
from tests.test_architecture import imports

SIZES = (50, 100, 200, 400, 760)


def series(points: list[tuple[float, float]], scale: Scale = Scale.LINEAR) -> Series:
    return Series("made up", "routers", "ms", tuple(Point(*point) for point in points), scale)


def measurement(*points: tuple[float, float]) -> Measurement:
    return Measurement("made", "made --up", "0", "now", 8, True, 40.0, (series(list(points)),))


def row(figure: Read | Given | Absent, need: Need | None = None, decides: bool = False) -> Row:
    return Row("X1", Role.CONTROL, Kind.STATE, "it", "ms", figure, "-", "-", need, decides)


def test_the_page_is_what_the_generator_makes_of_the_kept_data() -> None:
    assert PAGE.read_text() == rendered()


def test_a_reading_that_changes_changes_the_page() -> None:
    kept = load()
    first = kept["lists"].series[0]
    changed = replace(first, points=(replace(first.points[0], value=1e6), *first.points[1:]))
    other = {**kept, "lists": replace(kept["lists"], series=(changed, *kept["lists"].series[1:]))}
    assert page(HEAD, ROWS, UNKNOWNS, other) != PAGE.read_text()


@pytest.mark.parametrize("scale", list(Scale))
def test_a_line_without_noise_is_found_exactly(scale: Scale) -> None:
    laws: dict[Scale, Callable[[float], float]] = {
        Scale.LINEAR: float,
        Scale.LOG2: math.log2,
        Scale.INVERSE: lambda x: 1 / x,
        Scale.INVERSE_ROOT: lambda x: x**-0.5,
    }
    scaled = laws[scale]
    found = fit(series([(x, 7.0 + 3.0 * scaled(x)) for x in SIZES], scale))
    assert found.slope.value == pytest.approx(3.0)
    assert found.intercept == pytest.approx(7.0)
    assert found.largest_residual < 1e-9
    assert found.at(1520).value == pytest.approx(7.0 + 3.0 * scaled(1520))


def test_the_interval_is_the_textbooks() -> None:
    # By hand: means 2.5 and 2.75, Sxx 5, slope 1.1, residuals -0.1, 0.8, -1.3, 0.6; s^2 = 2.7 / 2;
    # t(0.975, 2) = 4.3027.
    found = fit(series([(1, 1.0), (2, 3.0), (3, 2.0), (4, 5.0)]))
    assert found.slope.value == pytest.approx(1.1)
    assert found.largest_residual == pytest.approx(1.3)
    assert found.slope.high - found.slope.value == pytest.approx(4.3027 * math.sqrt(1.35 / 5), rel=1e-4)
    half = 4.3027 * math.sqrt(1.35) * math.sqrt(1 / 4 + (8 - 2.5) ** 2 / 5)
    assert found.at(8).high - found.at(8).value == pytest.approx(half, rel=1e-4)


def test_the_interval_holds_the_true_slope_as_often_as_it_says() -> None:
    held = 0
    for seed in range(200):
        draw = random.Random(seed)
        points = [(float(x), 5.0 + 0.02 * x + draw.gauss(0, 1)) for x in SIZES for _ in range(3)]
        slope = fit(series(points)).slope
        held += slope.low <= 0.02 <= slope.high
    assert 180 <= held <= 199


def test_the_largest_residual_is_of_the_worst_reading() -> None:
    points = [(float(x), 2.0 * x) for x in SIZES] * 4
    assert fit(series([*points, (200.0, 450.0)])).largest_residual == pytest.approx(50.0, rel=0.1)


def test_a_quantity_that_does_not_change_has_a_slope_of_nothing_with_no_width() -> None:
    found = fit(series([(float(x), 2.0) for x in SIZES] * 3))
    assert (found.slope.value, found.slope.low, found.slope.high) == (0.0, 0.0, 0.0)


def test_fewer_than_four_sizes_are_refused_whatever_the_repeats() -> None:
    with pytest.raises(FitError, match="3 sizes, 4 are needed"):
        fit(series([(50, 1.0), (100, 2.0), (200, 3.0)] * 5))


def test_the_stretch_is_beyond_what_was_measured_either_way_and_one_between() -> None:
    line = fit(series([(float(x), float(x)) for x in SIZES]))
    assert line.stretch(7600) == pytest.approx(10.0)
    assert line.stretch(760) == line.stretch(300) == line.stretch(50) == 1.0
    assert line.stretch(5) == pytest.approx(10.0)


def test_a_figure_is_the_mean_of_the_readings_there_and_else_the_lines() -> None:
    kept = {"made": measurement((1, 1), (2, 2), (3, 3), (4, 4), (4, 6))}
    there = find(row(Read("made", "made up", 4, times=10)), kept)
    assert there.value == pytest.approx(50.0)
    beyond = find(row(Read("made", "made up", 8, times=10)), kept)
    assert beyond.fit is not None
    assert beyond.value == pytest.approx(10 * beyond.fit.at(8).value)


def test_a_gap_is_what_is_taken_over_what_is_allowed_and_what_is_needed_over_what_there_is() -> None:
    assert Need(2.0, Bound.AT_MOST, "").gap(5.0) == pytest.approx(2.5)
    assert Need(0.9, Bound.AT_LEAST, "").gap(0.18) == pytest.approx(5.0)
    assert Need(0.9, Bound.AT_LEAST, "").gap(0.0) == math.inf
    absent = find(row(Absent(), Need(5.0, Bound.AT_MOST, "")), {})
    assert factor(absent.gap) == "nothing carries it"


def test_what_decides_today_is_ranked_first_and_what_meets_its_need_not_at_all() -> None:
    need = Need(1.0, Bound.AT_MOST, "")
    rows = [
        row(Absent(), need),
        row(Given(2.0, ""), need, decides=True),
        row(Given(0.5, ""), need, decides=True),
        row(Given(9.0, ""), need, decides=True),
    ]
    lines = ranking([find(one, {}) for one in rows])[2:]
    assert [line.split(" | ")[1:3] for line in lines] == [
        ["yes", "9"],
        ["yes", "2"],
        ["no", "nothing carries it"],
    ]


def test_a_row_without_its_measurement_says_so() -> None:
    assert find(row(Read("never run", "it", 4)), {}).value is None
    assert "not measured" in page("", [row(Read("never run", "it", 4))], [], {})


def test_each_role_has_rows_of_each_kind_under_numbers_of_their_own() -> None:
    assert {(one.role, one.kind) for one in ROWS} == {(role, kind) for role in Role for kind in Kind}
    assert len({one.number for one in ROWS}) == len(ROWS)


def test_each_row_reads_a_series_of_a_measurement_that_can_be_run() -> None:
    kept = load()
    for one in ROWS:
        if isinstance(one.figure, Read):
            assert one.figure.measurement in MEASUREMENTS, one.number
            if one.figure.measurement in kept:
                kept[one.figure.measurement].find(one.figure.series)
        if isinstance(one.figure, Untold):
            assert one.figure.unknown in {unknown.number for unknown in UNKNOWNS}


def scale_run(size: int, share: float, void: list[str]) -> dict[str, Any]:
    every = {"least": share, "median": share, "p95": share, "most": share}
    window = {
        "cpu_percent": {"mean": every, "worst": every},
        "bytes_both": {"mean": every, "worst": every},
        "view": {"held_age": every, "coverage": every},
    }
    known = {"all_median": 8.0, "all_worst": 9.0, "unlearnt": 0, "deaths": 1}
    return {
        "size": size,
        "void": void,
        "windows": {"calm": window},
        "learning": {"one death": known},
        "machine": {"cores": 8},
        "commit": "0",
        "at": "2026-12-02T05:00:00+00:00",
    }


def test_scale_runs_that_are_void_are_left_out_and_four_sizes_that_hold_give_rows(tmp_path: Path) -> None:
    runs = [scale_run(size, size / 1000, []) for size in SIZES[:4]]
    voided = scale_run(760, 9.0, ["late"])
    (tmp_path / "scale-a.json").write_text(json.dumps({"name": "a", "runs": [*runs, voided]}))
    (tmp_path / "scale-b.json").write_text(json.dumps({"name": "b", "runs": runs[:3]}))
    kept = capacity_scale.measured(tmp_path)
    assert set(kept) == {"scale-a"}
    rows = capacity_scale.rows(kept, tmp_path)
    assert [one.number for one in rows] == ["H1a", "H1c", "H1e", "H1f"]
    assert find(rows[0], kept).value == pytest.approx(0.76)
    text = "\n".join(capacity_scale.lines(number, tmp_path))
    assert "Void and left out: 760 (late)" in text
    assert "| 760 |" not in text


def test_a_measurement_is_kept_in_a_file_that_gives_it_back(tmp_path: Path) -> None:
    made = measurement((1, 1), (2, 2), (3, 3), (4, 4))
    store(made, tmp_path)
    assert load(tmp_path) == {"made": made}


def test_the_busiest_servers_excess_is_over_the_mean_of_all_even_those_with_nothing() -> None:
    assert slopes_slots.excess(["a", "a", "a", "b"], 4) == pytest.approx(2.0)
    assert slopes_slots.excess(["a", "b", "c", "d"], 4) == pytest.approx(0.0)


def test_only_the_slots_of_the_server_that_leaves_move() -> None:
    ranked = slopes_slots.make_table(12, 1)
    before = slopes_slots.owners(ranked, 500)
    ranked.update([], [before[0]])
    after = slopes_slots.owners(ranked, 500)
    assert all(b == a for b, a in zip(before, after, strict=True) if b != before[0])
    assert before[0] not in after


@pytest.mark.parametrize("seed", range(5))
def test_the_sketch_misses_no_more_of_a_hot_slot_than_its_bound(seed: int) -> None:
    assert 0 <= slopes_keys.error(64, 2_000, seed) <= 1 / 65


def test_keys_are_of_just_so_many_slots() -> None:
    keys = slopes_keys.keys_of(256)
    slots = Counter(slopes_keys.slot(int(key.removeprefix("object-"))) for key in keys)
    assert slots == dict.fromkeys(range(256), slopes_keys.KEYS_PER_SLOT)


def test_calls_are_summed_up_after_the_warm_up_alone() -> None:
    begin = int(slopes_limits.WARM_UP_S * NS_PER_S)
    times = [5, begin, begin + 1, begin + 2 * NS_PER_S]
    assert slopes_limits.admitted_rates(times) == (3 / slopes_limits.MEASURED_S, 2.0)


def test_an_even_demand_is_twice_the_quota_and_a_skewed_one_as_much_as_it() -> None:
    assert sum(slopes_limits.even_demand(50)) == pytest.approx(2 * slopes_limits.QUOTA)
    assert sum(slopes_limits.skewed_demand(50, 1)) == pytest.approx(slopes_limits.QUOTA)


def test_routers_lie_in_43_sites_25_zones_and_8_regions() -> None:
    assert {slopes_tier.zone(n) for n in range(760)} == set(range(25))
    sizes = Counter(slopes_tier.region(n) for n in range(760))
    assert set(sizes) == set(range(8))
    assert 60 <= min(sizes.values()) <= max(sizes.values()) <= 130
    assert slopes_tier.one_way_delay("router00", "router43") == slopes_tier.SAME_SITE_S
    assert slopes_tier.one_way_delay("router00", "router01") == slopes_tier.ACROSS_REGIONS_S


def test_what_a_second_brought_counts_bytes_said_and_heard() -> None:
    tier = slopes_tier.make_tier(8, 1, loss=0.0)
    seconds = slopes_tier.TrafficPerSecond(tier)
    before = sum(tier.bytes.values())
    for _ in range(5):
        seconds.run_second()
    said = (sum(tier.bytes.values()) - before) / 8 / 5
    assert said < seconds.max_mean_bytes <= seconds.max_bytes
    assert seconds.messages > 0


def test_a_change_is_everywhere_when_the_last_router_has_it() -> None:
    tier = slopes_tier.make_tier(8, 1, loss=0.0)
    told = slopes_membership.ChangePropagation(tier)
    told.change(3)
    told.update()
    assert (told.pending, told.durations_s) == (1, [])
    tier.run(5.0)
    told.update()
    assert told.pending == 0
    assert 0 < told.durations_s[0] <= 5.0


def test_an_answer_that_comes_in_parts_is_counted_once_and_an_error_as_wrong() -> None:
    load_ = slopes_run.ClientLoad("c", [], 1, 3, rate=1.0)
    caller = slopes_run.FixedSizeClient(load_)
    caller.transport = Mock(is_closing=lambda: False)
    caller.send_request()
    caller.data_received(b"$3\r\nab")
    assert load_.answers == 0
    caller.data_received(b"c\r\n")
    assert (load_.answers, load_.failures) == (1, 0)
    caller.send_request()
    caller.data_received(b"-BUSY\r\n")
    assert (load_.answers, load_.failures) == (2, 1)


def test_what_runs_imports_neither_the_generator_nor_its_libraries() -> None:
    for path in sorted((ROOT / "holdgw").rglob("*.py")):
        used = {name.split(".")[0] for name in imports(path.read_text())}
        assert not used & {"bench", "scipy", "numpy"}, path


def test_a_measurement_comes_back_from_its_json_as_it_was() -> None:
    made = measurement((1, 1), (2, 2), (3, 3), (4, 4))
    assert read(written(made)) == made


@pytest.mark.parametrize(
    ("value", "text"),
    [(12345, "12,300"), (934.4, "934"), (1.2345, "1.23"), (0.05, "0.05"), (0.00012, "0.00012"), (0, "0")],
)
def test_figures_have_three_digits(value: float, text: str) -> None:
    assert number(value) == text
