"""Series, rows and tables from the scale runs of `python -m bench.scale` in bench/data/scale-*.json.

Void runs are left out. A file with fewer than `MIN_SIZES` sizes that have a valid run gives no rows.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any, NamedTuple

import orjson

from bench.capacity_model import MIN_SIZES, Measurement, Need, Point, Scale, Series
from bench.capacity_rows import (
    MAX_CONTROL_BYTES_PER_S,
    MAX_CONTROL_CPU_PERCENT,
    OPERATORS_LETTER,
    ROUTERS,
    FittedFigure,
    Kind,
    Role,
    Row,
    at_least,
    at_most,
)
from bench.slopes import ROOT

FOLDER = ROOT / "bench/data"
TARGETS_SOURCE = "issue 45, D"


class RunMetric(NamedTuple):
    """A figure that is read from each scale run.

    Attributes:
        name: Name of its series, as the page shows it.
        window: Key of a time window in the run's "windows".
        value_keys: Keys that lead to the value within the window, outermost first.
        kind: What the figure counts.
        unit: Unit of the value and of `need`.
        need: The bound that the figure has to meet at the planned size.
        scale: The function of the number of routers in which the fit is linear.
        caveat: Effects under which the fitted line would no longer hold.
    """

    name: str
    window: str
    value_keys: tuple[str, ...]
    kind: Kind
    unit: str
    need: Need
    scale: Scale
    caveat: str


CPU_NEED, TRAFFIC_NEED = (
    at_most(MAX_CONTROL_CPU_PERCENT, OPERATORS_LETTER),
    at_most(MAX_CONTROL_BYTES_PER_S, OPERATORS_LETTER),
)
SCALE_RUN_CAVEAT = "lines that are longer than the relay's; requests at a rate of their own at each router"
RUN_METRICS = (
    RunMetric(
        "control, calm, the median router",
        "calm",
        ("cpu_percent", "mean", "median"),
        Kind.PROCESSOR,
        "% of a core",
        CPU_NEED,
        Scale.LINEAR,
        SCALE_RUN_CAVEAT,
    ),
    RunMetric(
        "control, worst second as 8 % die in 5 s, 95 of 100 routers",
        "8 % die in 5 s",
        ("cpu_percent", "worst", "p95"),
        Kind.PROCESSOR,
        "% of a core",
        CPU_NEED,
        Scale.LINEAR,
        SCALE_RUN_CAVEAT,
    ),
    RunMetric(
        "said and heard, calm, the median router",
        "calm",
        ("bytes_both", "mean", "median"),
        Kind.MESSAGES,
        "bytes a second",
        TRAFFIC_NEED,
        Scale.LINEAR,
        SCALE_RUN_CAVEAT,
    ),
    RunMetric(
        "said and heard, worst second as 8 % die in 5 s, 95 of 100 routers",
        "8 % die in 5 s",
        ("bytes_both", "worst", "p95"),
        Kind.MESSAGES,
        "bytes",
        TRAFFIC_NEED,
        Scale.LINEAR,
        SCALE_RUN_CAVEAT,
    ),
    RunMetric(
        "age of the median server's wait just before a new view, calm, 95 of 100 routers",
        "calm",
        ("view", "held_age", "p95"),
        Kind.STATE,
        "s",
        at_most(2.0, TARGETS_SOURCE),
        Scale.LOG2,
        SCALE_RUN_CAVEAT,
    ),
    RunMetric(
        "routers that the view rests on, calm, the median router",
        "calm",
        ("view", "coverage", "median"),
        Kind.STATE,
        "of those alive",
        at_least(0.9, TARGETS_SOURCE),
        Scale.LOG2,
        SCALE_RUN_CAVEAT,
    ),
)


def load_files(folder: Path = FOLDER) -> dict[str, dict[str, Any]]:
    """Return the contents of the scale runs' files, by file name without suffix."""
    return {path.stem: orjson.loads(path.read_bytes()) for path in sorted(folder.glob("scale-*.json"))}


def valid_runs(body: Mapping[str, Any]) -> list[dict[str, Any]]:
    """Return the last run of each size that isn't void, sorted by size."""
    latest = {run["size"]: run for run in body["runs"] if not run["void"]}
    return [latest[size] for size in sorted(latest)]


def metric_value(run: Mapping[str, Any], metric: RunMetric) -> float | None:
    """Return a metric's value in a run; None if the run doesn't have its window or value."""
    value: Any = run["windows"].get(metric.window)
    for key in metric.value_keys:
        if value is None:
            return None
        value = value[key]
    return None if value is None else float(value)


def metric_series(runs: Sequence[Mapping[str, Any]], metric: RunMetric) -> Series:
    """Return the series of a metric over the sizes of the runs that have it."""
    points = [(run["size"], metric_value(run, metric)) for run in runs]
    present = tuple(Point(size, value) for size, value in points if value is not None)
    return Series(metric.name, "routers", metric.unit, present, metric.scale)


def load_measurements(folder: Path = FOLDER) -> dict[str, Measurement]:
    """Return the measurement of each file, with the metrics that have at least `MIN_SIZES` sizes."""
    measurements = {}
    for stem, body in load_files(folder).items():
        runs = valid_runs(body)
        series = tuple(
            candidate
            for metric in RUN_METRICS
            if len((candidate := metric_series(runs, metric)).points) >= MIN_SIZES
        )
        if series:
            last = runs[-1]
            command = f"python -m bench.scale --json bench/data/{stem}.json"
            cores = int(last["machine"]["cores"])
            measurements[stem] = Measurement(
                stem, command, str(last["commit"]), str(last["at"])[:16] + "Z", cores, True, 0.0, series
            )
    return measurements


def rows(measurements: Mapping[str, Measurement], folder: Path = FOLDER) -> list[Row]:
    """Return a row for each series of the scale runs' measurements, as `load_measurements` returns them."""
    bodies = load_files(folder)
    result = []
    for position, (stem, measurement) in enumerate(measurements.items(), 1):
        name = bodies[stem].get("name") or stem
        for letter, metric in zip("abcdef", RUN_METRICS, strict=True):
            if any(series.name == metric.name for series in measurement.series):
                what = f"scale runs, {name}: {metric.name}"
                figure = FittedFigure(stem, metric.name, ROUTERS)
                mechanism = f"as it stood at {measurement.commit}: `peers/`"
                result.append(
                    Row(
                        f"H{position}{letter}",
                        Role.CONTROL,
                        metric.kind,
                        what,
                        metric.unit,
                        figure,
                        metric.caveat,
                        mechanism,
                        metric.need,
                        True,
                    )
                )
    return result


def format_learning(run: Mapping[str, Any]) -> str:
    """Format the seconds until all routers knew of the failed ones, by case of a run."""
    return "; ".join(
        f"{name} {times['all_median']:g} s (worst {times['all_worst']:g})"
        + (f", {times['unlearnt']} of {times['deaths']} not" if times["unlearnt"] else "")
        for name, times in run["learning"].items()
    )


def void_reasons(runs: Sequence[Mapping[str, Any]]) -> str:
    """Format the sizes of the void runs, each with its first reason."""
    return "; ".join(f"{run['size']} ({run['void'][0]})" for run in runs if run["void"])


def run_tables(format_number: Callable[[float], str], folder: Path = FOLDER) -> list[str]:
    """Return the Markdown lines of a table of valid runs for each file; void runs are named above it.

    Args:
        format_number: Formats the value of a cell.
        folder: Folder of the scale runs' files.
    """
    lines: list[str] = []
    for stem, body in load_files(folder).items():
        runs, void = valid_runs(body), void_reasons(body["runs"])
        lines += ["", f"`bench/data/{stem}.json` ({body.get('name') or 'no name'}): {len(runs)} sizes hold."]
        if void:
            lines += ["", f"Void and left out: {void}."]
        if not runs:
            continue
        lines += [
            "",
            "| routers | " + " | ".join(metric.name for metric in RUN_METRICS) + " | learnt by all |",
        ]
        lines.append("|" + " --- |" * (len(RUN_METRICS) + 2))
        for run in runs:
            cells = [metric_value(run, metric) for metric in RUN_METRICS]
            joined_cells = " | ".join("-" if cell is None else format_number(cell) for cell in cells)
            lines.append(f"| {run['size']} | {joined_cells} | {format_learning(run) or '-'} |")
    return lines or ["", "None is kept yet."]
