"""Tests of the generator of the capacity page: page, linear fits, rows, and the measurements behind them."""

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
from bench.capacity import MEASUREMENTS, PAGE, ROWS, render_page
from bench.capacity_model import (
    Bound,
    FitError,
    Measurement,
    Need,
    Point,
    Scale,
    Series,
    fit,
    measurement_from_json,
    measurement_to_json,
)
from bench.capacity_page import format_gap, format_number, ranking_table, render, resolve
from bench.capacity_rows import AbsentFigure, ComputedFigure, FittedFigure, Kind, Role, Row, UnknownFigure
from bench.capacity_text import HEAD, UNKNOWNS
from bench.slopes import ROOT, load, store
from holdgw.policy import NS_PER_S
from tests.test_architecture import imported_names

SIZES = (50, 100, 200, 400, 760)


def series(points: list[tuple[float, float]], scale: Scale = Scale.LINEAR) -> Series:
    return Series("made up", "routers", "ms", tuple(Point(*point) for point in points), scale)


def measurement(*points: tuple[float, float]) -> Measurement:
    return Measurement("made", "made --up", "0", "now", 8, True, 40.0, (series(list(points)),))


def row(
    figure: FittedFigure | ComputedFigure | AbsentFigure,
    need: Need | None = None,
    affects_decisions: bool = False,
) -> Row:
    return Row("X1", Role.CONTROL, Kind.STATE, "it", "ms", figure, "-", "-", need, affects_decisions)


def test_the_page_matches_the_text_generated_from_the_stored_data() -> None:
    assert PAGE.read_text() == render_page()


def test_a_changed_reading_changes_the_page() -> None:
    stored = load()
    first = stored["lists"].series[0]
    changed = replace(first, points=(replace(first.points[0], value=1e6), *first.points[1:]))
    other = {**stored, "lists": replace(stored["lists"], series=(changed, *stored["lists"].series[1:]))}
    assert render(HEAD, ROWS, UNKNOWNS, other) != PAGE.read_text()


@pytest.mark.parametrize("scale", list(Scale))
def test_the_fit_of_noiseless_points_is_exact(scale: Scale) -> None:
    functions: dict[Scale, Callable[[float], float]] = {
        Scale.LINEAR: float,
        Scale.LOG2: math.log2,
        Scale.INVERSE: lambda x: 1 / x,
        Scale.INVERSE_ROOT: lambda x: x**-0.5,
    }
    scaled = functions[scale]
    line = fit(series([(x, 7.0 + 3.0 * scaled(x)) for x in SIZES], scale))
    assert line.slope.value == pytest.approx(3.0)
    assert line.intercept == pytest.approx(7.0)
    assert line.largest_residual < 1e-9
    assert line.estimate(1520).value == pytest.approx(7.0 + 3.0 * scaled(1520))


def test_the_intervals_match_a_calculation_by_hand() -> None:
    # Calculated by hand: means 2.5 and 2.75, Sxx 5, slope 1.1, residuals -0.1, 0.8, -1.3, 0.6; s^2 = 2.7 / 2;
    # t(0.975, 2) = 4.3027.
    line = fit(series([(1, 1.0), (2, 3.0), (3, 2.0), (4, 5.0)]))
    assert line.slope.value == pytest.approx(1.1)
    assert line.largest_residual == pytest.approx(1.3)
    assert line.slope.high - line.slope.value == pytest.approx(4.3027 * math.sqrt(1.35 / 5), rel=1e-4)
    half_width = 4.3027 * math.sqrt(1.35) * math.sqrt(1 / 4 + (8 - 2.5) ** 2 / 5)
    assert line.estimate(8).high - line.estimate(8).value == pytest.approx(half_width, rel=1e-4)


def test_the_slope_interval_contains_the_true_slope_as_often_as_stated() -> None:
    contained = 0
    for seed in range(200):
        draw = random.Random(seed)
        points = [(float(x), 5.0 + 0.02 * x + draw.gauss(0, 1)) for x in SIZES for _ in range(3)]
        slope = fit(series(points)).slope
        contained += slope.low <= 0.02 <= slope.high
    assert 180 <= contained <= 199


def test_the_largest_residual_is_that_of_the_worst_reading() -> None:
    points = [(float(x), 2.0 * x) for x in SIZES] * 4
    assert fit(series([*points, (200.0, 450.0)])).largest_residual == pytest.approx(50.0, rel=0.1)


def test_constant_values_have_slope_zero_with_an_interval_of_zero_width() -> None:
    line = fit(series([(float(x), 2.0) for x in SIZES] * 3))
    assert (line.slope.value, line.slope.low, line.slope.high) == (0.0, 0.0, 0.0)


def test_fewer_than_four_sizes_are_rejected_regardless_of_repeats() -> None:
    with pytest.raises(FitError, match="3 sizes, 4 are needed"):
        fit(series([(50, 1.0), (100, 2.0), (200, 3.0)] * 5))


def test_the_extrapolation_factor_exceeds_one_only_outside_the_measured_range() -> None:
    line = fit(series([(float(x), float(x)) for x in SIZES]))
    assert line.extrapolation_factor(7600) == pytest.approx(10.0)
    assert (
        line.extrapolation_factor(760)
        == line.extrapolation_factor(300)
        == line.extrapolation_factor(50)
        == 1.0
    )
    assert line.extrapolation_factor(5) == pytest.approx(10.0)


def test_a_figure_is_the_mean_reading_at_its_size_or_else_the_fitted_value() -> None:
    measurements = {"made": measurement((1, 1), (2, 2), (3, 3), (4, 4), (4, 6))}
    measured = resolve(row(FittedFigure("made", "made up", 4, factor=10)), measurements)
    assert measured.value == pytest.approx(50.0)
    extrapolated = resolve(row(FittedFigure("made", "made up", 8, factor=10)), measurements)
    assert extrapolated.fit is not None
    assert extrapolated.value == pytest.approx(10 * extrapolated.fit.estimate(8).value)


def test_a_gap_is_the_factor_by_which_a_need_is_missed() -> None:
    assert Need(2.0, Bound.AT_MOST, "").gap(5.0) == pytest.approx(2.5)
    assert Need(0.9, Bound.AT_LEAST, "").gap(0.18) == pytest.approx(5.0)
    assert Need(0.9, Bound.AT_LEAST, "").gap(0.0) == math.inf
    absent = resolve(row(AbsentFigure(), Need(5.0, Bound.AT_MOST, "")), {})
    assert format_gap(absent.gap) == "nothing carries it"


def test_gaps_that_affect_decisions_rank_first_and_met_needs_are_left_out() -> None:
    need = Need(1.0, Bound.AT_MOST, "")
    rows = [
        row(AbsentFigure(), need),
        row(ComputedFigure(2.0, ""), need, affects_decisions=True),
        row(ComputedFigure(0.5, ""), need, affects_decisions=True),
        row(ComputedFigure(9.0, ""), need, affects_decisions=True),
    ]
    lines = ranking_table([resolve(entry, {}) for entry in rows])[2:]
    assert [line.split(" | ")[1:3] for line in lines] == [
        ["yes", "9"],
        ["yes", "2"],
        ["no", "nothing carries it"],
    ]


def test_a_row_without_its_measurement_is_shown_as_not_measured() -> None:
    assert resolve(row(FittedFigure("never run", "it", 4)), {}).value is None
    assert "not measured" in render("", [row(FittedFigure("never run", "it", 4))], [], {})


def test_each_role_has_rows_of_each_kind_and_row_numbers_are_unique() -> None:
    assert {(entry.role, entry.kind) for entry in ROWS} == {(role, kind) for role in Role for kind in Kind}
    assert len({entry.number for entry in ROWS}) == len(ROWS)


def test_each_row_refers_to_an_existing_measurement_series_or_unknown() -> None:
    stored = load()
    for entry in ROWS:
        if isinstance(entry.figure, FittedFigure):
            assert entry.figure.measurement in MEASUREMENTS, entry.number
            if entry.figure.measurement in stored:
                stored[entry.figure.measurement].find(entry.figure.series)
        if isinstance(entry.figure, UnknownFigure):
            assert entry.figure.unknown in {unknown.number for unknown in UNKNOWNS}


def scale_run(size: int, share: float, void: list[str]) -> dict[str, Any]:
    quantiles = {"least": share, "median": share, "p95": share, "most": share}
    window = {
        "cpu_percent": {"mean": quantiles, "worst": quantiles},
        "bytes_both": {"mean": quantiles, "worst": quantiles},
        "view": {"held_age": quantiles, "coverage": quantiles},
    }
    learning = {"all_median": 8.0, "all_worst": 9.0, "unlearnt": 0, "deaths": 1}
    return {
        "size": size,
        "void": void,
        "windows": {"calm": window},
        "learning": {"one death": learning},
        "machine": {"cores": 8},
        "commit": "0",
        "at": "2026-12-02T05:00:00+00:00",
    }


def test_void_scale_runs_are_left_out_and_four_valid_sizes_give_rows(tmp_path: Path) -> None:
    runs = [scale_run(size, size / 1000, []) for size in SIZES[:4]]
    voided = scale_run(760, 9.0, ["late"])
    (tmp_path / "scale-a.json").write_text(json.dumps({"name": "a", "runs": [*runs, voided]}))
    (tmp_path / "scale-b.json").write_text(json.dumps({"name": "b", "runs": runs[:3]}))
    measurements = capacity_scale.load_measurements(tmp_path)
    assert set(measurements) == {"scale-a"}
    rows = capacity_scale.rows(measurements, tmp_path)
    assert [entry.number for entry in rows] == ["H1a", "H1c", "H1e", "H1f"]
    assert resolve(rows[0], measurements).value == pytest.approx(0.76)
    text = "\n".join(capacity_scale.run_tables(format_number, tmp_path))
    assert "Void and left out: 760 (late)" in text
    assert "| 760 |" not in text


def test_a_stored_measurement_is_loaded_unchanged(tmp_path: Path) -> None:
    original = measurement((1, 1), (2, 2), (3, 3), (4, 4))
    store(original, tmp_path)
    assert load(tmp_path) == {"made": original}


def test_the_busiest_servers_excess_is_over_the_mean_of_all_servers_including_idle_ones() -> None:
    assert slopes_slots.excess(["a", "a", "a", "b"], 4) == pytest.approx(2.0)
    assert slopes_slots.excess(["a", "b", "c", "d"], 4) == pytest.approx(0.0)


def test_only_the_slots_of_a_removed_server_move() -> None:
    table = slopes_slots.make_table(12, 1)
    before = slopes_slots.owners(table, 500)
    table.update([], [before[0]])
    after = slopes_slots.owners(table, 500)
    assert all(b == a for b, a in zip(before, after, strict=True) if b != before[0])
    assert before[0] not in after


@pytest.mark.parametrize("seed", range(5))
def test_the_sketch_error_for_a_hot_slot_stays_within_its_bound(seed: int) -> None:
    assert 0 <= slopes_keys.sketch_error(64, 2_000, seed) <= 1 / 65


def test_keys_cover_exactly_the_requested_number_of_slots() -> None:
    object_keys = slopes_keys.keys_of(256)
    slots = Counter(slopes_keys.slot(int(key.removeprefix("object-"))) for key in object_keys)
    assert slots == dict.fromkeys(range(256), slopes_keys.KEYS_PER_SLOT)


def test_only_calls_after_the_warm_up_are_counted() -> None:
    begin = int(slopes_limits.WARM_UP_S * NS_PER_S)
    times = [5, begin, begin + 1, begin + 2 * NS_PER_S]
    assert slopes_limits.admitted_rates(times) == (3 / slopes_limits.MEASURED_S, 2.0)


def test_even_demand_is_twice_the_quota_and_skewed_demand_equals_it() -> None:
    assert sum(slopes_limits.even_demand(50)) == pytest.approx(2 * slopes_limits.QUOTA)
    assert sum(slopes_limits.skewed_demand(50, 1)) == pytest.approx(slopes_limits.QUOTA)


def test_routers_are_in_43_sites_25_zones_and_8_regions() -> None:
    assert {slopes_tier.zone(n) for n in range(760)} == set(range(25))
    sizes = Counter(slopes_tier.region(n) for n in range(760))
    assert set(sizes) == set(range(8))
    assert 60 <= min(sizes.values()) <= max(sizes.values()) <= 130
    assert slopes_tier.one_way_delay("router00", "router43") == slopes_tier.SAME_SITE_S
    assert slopes_tier.one_way_delay("router00", "router01") == slopes_tier.ACROSS_REGIONS_S


def test_bytes_per_second_include_sent_and_received_bytes() -> None:
    tier = slopes_tier.make_tier(8, 1, loss=0.0)
    seconds = slopes_tier.TrafficPerSecond(tier)
    before = sum(tier.bytes.values())
    for _ in range(5):
        seconds.run_second()
    sent = (sum(tier.bytes.values()) - before) / 8 / 5
    assert sent < seconds.max_mean_bytes <= seconds.max_bytes
    assert seconds.messages > 0


def test_a_change_is_complete_when_the_last_router_has_it() -> None:
    tier = slopes_tier.make_tier(8, 1, loss=0.0)
    propagation = slopes_membership.ChangePropagation(tier)
    propagation.change(3)
    propagation.update()
    assert (propagation.pending, propagation.durations_s) == (1, [])
    tier.run(5.0)
    propagation.update()
    assert propagation.pending == 0
    assert 0 < propagation.durations_s[0] <= 5.0


def test_a_response_in_parts_is_counted_once_and_an_error_as_wrong() -> None:
    client_load = slopes_run.ClientLoad("c", [], 1, 3, rate=1.0)
    client = slopes_run.FixedSizeClient(client_load)
    client.transport = Mock(is_closing=lambda: False)
    client.send_request()
    client.data_received(b"$3\r\nab")
    assert client_load.answers == 0
    client.data_received(b"c\r\n")
    assert (client_load.answers, client_load.failures) == (1, 0)
    client.send_request()
    client.data_received(b"-BUSY\r\n")
    assert (client_load.answers, client_load.failures) == (2, 1)


def test_holdgw_imports_neither_the_bench_nor_its_libraries() -> None:
    for path in sorted((ROOT / "holdgw").rglob("*.py")):
        used = {name.split(".")[0] for name in imported_names(path.read_text())}
        assert not used & {"bench", "scipy", "numpy"}, path


def test_a_measurement_survives_conversion_to_json_and_back() -> None:
    original = measurement((1, 1), (2, 2), (3, 3), (4, 4))
    assert measurement_from_json(measurement_to_json(original)) == original


@pytest.mark.parametrize(
    ("value", "text"),
    [(12345, "12,300"), (934.4, "934"), (1.2345, "1.23"), (0.05, "0.05"), (0.00012, "0.00012"), (0, "0")],
)
def test_numbers_are_formatted_with_three_significant_digits(value: float, text: str) -> None:
    assert format_number(value) == text
