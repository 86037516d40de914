"""Renders the report as one self-contained HTML page: plots over time with the faults marked on them."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence
from html import escape
from math import ceil, floor, log10

from holdgw.harness.report import Report
from holdgw.harness.routers import Usage
from holdgw.harness.schedule import ORIGIN, DrawnFault
from holdgw.harness.scoring import quantile

WIDTH, HEIGHT = 960, 190
LEFT, RIGHT, TOP, BOTTOM = 56, 12, 10, 22
LINES = ("#1b7f5a", "#2f6fd0", "#d08a1d", "#c23b3b", "#7a4fb5", "#5b6770")
BANDS = ("#f3c6c0", "#cfe0f7", "#f6e3b4", "#d9cdee", "#cdebdc", "#e3e3e3")
STYLE = """
body{font:15px/1.45 system-ui,sans-serif;color:#1d2429;background:#fbfaf7;max-width:1000px;
margin:2rem auto;padding:0 1rem}
h1{font-size:1.5rem;margin:0 0 .2rem}
h2{font-size:1.05rem;margin:1.6rem 0 .3rem}
p{margin:.3rem 0}
svg{display:block;width:100%;height:auto;background:#fff;border:1px solid #ddd8cc}
table{border-collapse:collapse;width:100%;font-variant-numeric:tabular-nums}
td,th{padding:.2rem .6rem;text-align:right;border-bottom:1px solid #e7e2d6}
td:first-child,th:first-child{text-align:left}
.key span{display:inline-block;margin-right:1.1rem;white-space:nowrap}
.key i{display:inline-block;width:.8rem;height:.8rem;margin-right:.35rem;vertical-align:-1px}
.figures{display:flex;flex-wrap:wrap;gap:1.6rem;margin:1rem 0}
.figures b{display:block;font-size:1.7rem;line-height:1.1}
.bad{color:#b3261e}
.good{color:#1b7f5a}
"""

COLUMNS = ("asked", "in_aim", "served", "refused", "failed", "service", "p50_ms", "p99_ms")

Series = Mapping[str, Sequence[tuple[float, float]]]


def nice_step(highest: float, steps: int = 4) -> float:
    """Return a round distance between grid lines, so that at most `steps` of them reach `highest`."""
    if highest <= 0:
        return 1.0
    raw = highest / steps
    power = 10.0 ** floor(log10(raw))
    return next(factor * power for factor in (1, 2, 5, 10) if factor * power >= raw)


def plot(series: Series, length: float, faults: Sequence[DrawnFault], least: float = 0.0) -> str:
    """Return an SVG plot of lines over the seconds of the run, with faults as coloured bands.

    Args:
        series: Points (second, value) by the line's name.
        length: The length of the run in seconds.
        faults: The faults to mark.
        least: The value that the vertical axis reaches at least.
    """
    highest = max((y for line in series.values() for _, y in line), default=0.0)
    step = nice_step(max(highest, least))
    top = max(step * ceil(max(highest, least) / step), step)
    plot_width, plot_height = WIDTH - LEFT - RIGHT, HEIGHT - TOP - BOTTOM

    def x(at: float) -> float:
        return round(LEFT + plot_width * min(max(at / length, 0.0), 1.0), 1)

    def y(value: float) -> float:
        return round(TOP + plot_height * (1 - value / top), 1)

    parts = [f'<svg viewBox="0 0 {WIDTH} {HEIGHT}" role="img">']
    for i, fault in enumerate(faults):
        width = max(x(fault.until) - x(fault.at), 2.0)
        parts.append(
            f'<rect x="{x(fault.at)}" y="{TOP}" width="{width:.1f}" height="{plot_height}" '
            f'fill="{BANDS[i % len(BANDS)]}" fill-opacity=".6"><title>{escape(fault.text)}</title></rect>'
            f'<text x="{x(fault.at) + 3}" y="{TOP + 11 + i % 6 * 11}" font-size="9" '
            f'fill="#555">{i + 1}</text>'
        )
    for i in range(int(top / step + 0.5) + 1):
        value = i * step
        parts.append(
            f'<line x1="{LEFT}" x2="{WIDTH - RIGHT}" y1="{y(value)}" y2="{y(value)}" stroke="#ddd8cc"/>'
            f'<text x="{LEFT - 6}" y="{y(value) + 4}" text-anchor="end" font-size="11">{value:g}</text>'
        )
    across = nice_step(length, 8)
    for i in range(int(length / across) + 1):
        at = i * across
        parts.append(
            f'<text x="{x(at)}" y="{HEIGHT - 6}" text-anchor="middle" font-size="11">{at:g} s</text>'
        )
    for i, line in enumerate(series.values()):
        points = " ".join(f"{x(at)},{y(value)}" for at, value in line)
        parts.append(
            f'<polyline points="{points}" fill="none" stroke="{LINES[i % len(LINES)]}" stroke-width="1.6"/>'
        )
    return "".join([*parts, "</svg>"])


def _legend(names: Sequence[str]) -> str:
    spans = (
        f'<span><i style="background:{LINES[i % len(LINES)]}"></i>{escape(name)}</span>'
        for i, name in enumerate(names)
    )
    return f'<p class="key">{"".join(spans)}</p>'


def _per_second(times: Sequence[float], length: float) -> list[tuple[float, float]]:
    counts = Counter(int(at) for at in times)
    return [(i + 0.5, counts[i]) for i in range(max(int(length), 1))]


def _figure(title: str, series: Series, report: Report, note: str = "") -> str:
    length, faults = report.schedule.scenario.length_s, report.schedule.drawn_faults
    text = f"<p>{escape(note)}</p>" if note else ""
    return f"<h2>{escape(title)}</h2>{text}{_legend(list(series))}{plot(series, length, faults)}"


def _latency(report: Report) -> Series:
    length = report.schedule.scenario.length_s
    latencies_ms = defaultdict[int, list[float]](list)
    for outcome in report.outcomes:
        if outcome.took is not None:
            latencies_ms[int(outcome.request.at)].append(outcome.took * 1000)
    lines: dict[str, list[tuple[float, float]]] = {"p50": [], "p90": [], "p99": []}
    for i in range(max(int(length), 1)):
        values = sorted(latencies_ms[i])
        for name, q in (("p50", 0.5), ("p90", 0.9), ("p99", 0.99)):
            lines[name].append((i + 0.5, quantile(values, q)))
    return lines


def _outcomes(report: Report) -> Series:
    length, classes = report.schedule.scenario.length_s, report.schedule.scenario.classes
    times: dict[str, list[float]] = {"asked": [], "in aim": [], "late": [], "refused": [], "failed": []}
    for outcome in report.outcomes:
        times["asked"].append(outcome.request.at)
        if outcome.took is None:
            kind = "refused" if outcome.result == "refused" else "failed"
        else:
            kind = (
                "in aim" if outcome.took <= classes[outcome.request.request_class].aim_ms / 1000 else "late"
            )
        times[kind].append(outcome.request.at)
    return {name: _per_second(at, length) for name, at in times.items()}


def _misses(report: Report) -> Series:
    length = report.schedule.scenario.length_s
    times: dict[str, list[float]] = {
        "origin fetches": [
            attempt.at for attempt in report.attempts if attempt.server == ORIGIN and not attempt.idempotency
        ]
    }
    for reason in ("never", "flushed", "evicted", "voided", "expired"):
        miss_times = [attempt.at for attempt in report.attempts if attempt.missing == reason]
        if miss_times:
            times[f"missed: {reason}"] = miss_times
    return {name: _per_second(at, length) for name, at in times.items()}


def _skew(report: Report) -> Series:
    return {
        "busiest router over the mean": [
            (row["at"] + 2.5, row["router_skew"]) for row in report.body["windows"]
        ]
    }


def _node_load(report: Report) -> Series:
    attempts_by_second = defaultdict[int, Counter[str]](Counter)
    for attempt in report.attempts:
        if attempt.server != ORIGIN and attempt.result not in ("busy", "gone"):
            attempts_by_second[int(attempt.at)][attempt.server] += 1
    node_count = len(report.body["nodes"]) or 1
    lines: dict[str, list[tuple[float, float]]] = {"mean": [], "busiest": []}
    for i in range(max(int(report.schedule.scenario.length_s), 1)):
        lines["mean"].append((i + 0.5, sum(attempts_by_second[i].values()) / node_count))
        lines["busiest"].append((i + 0.5, max(attempts_by_second[i].values(), default=0)))
    return lines


def _memory(usage: Mapping[str, Sequence[Usage]], begun: float) -> Series:
    """Return the most memory and the most descriptors of a router, by second."""
    samples_by_second = defaultdict[int, list[Usage]](list)
    for samples in usage.values():
        for sample in samples:
            if sample.at >= begun:
                samples_by_second[int(sample.at - begun)].append(sample)
    return {
        "most memory of a router, MB": [
            (i, max(sample.memory for sample in second_samples) / (1 << 20))
            for i, second_samples in sorted(samples_by_second.items())
        ],
        "most descriptors of a router": [
            (i, max(sample.descriptors for sample in second_samples))
            for i, second_samples in sorted(samples_by_second.items())
        ],
    }


def _table(head: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    top = "".join(f"<th>{escape(word)}</th>" for word in head)
    body = "".join(
        "<tr>" + "".join(f"<td>{escape(str(cell))}</td>" for cell in row) + "</tr>" for row in rows
    )
    return f"<table><tr>{top}</tr>{body}</table>"


def _grouped(report: Report, group: str) -> str:
    rows = [
        (
            name,
            *(
                row[column]
                for column in (
                    "asked",
                    "in_aim",
                    "served",
                    "refused",
                    "failed",
                    "service",
                    "p50_ms",
                    "p99_ms",
                )
            ),
        )
        for name, row in report.body[group].items()
    ]
    return _table(
        (group, "asked", "in aim", "served", "refused", "failed", "service", "p50 ms", "p99 ms"), rows
    )


def _when(fault: DrawnFault) -> str:
    return f"{fault.at:g} to {fault.until:g} s" if fault.until > fault.at else f"{fault.at:g} s"


def render(report: Report, usage: Mapping[str, Sequence[Usage]], begun: float) -> str:
    """Return the whole page.

    Args:
        report: The report of the run.
        usage: The samples of each router's memory and descriptors.
        begun: The time of second 0 on the clock of `usage`.
    """
    body = report.body
    rules = "".join(
        f'<span><b class="{"bad" if number else "good"}">{number}</b>{escape(rule)}</span>'
        for rule, number in body["rules"].items()
    )
    void = f'<p class="bad">Void: {escape(body["void"])}.</p>' if body["void"] else ""
    figures = "".join(
        f"<span><b>{value}</b>{name}</span>"
        for name, value in (
            ("service", f"{body['service']:.3f}"),
            ("asked", body["asked"]),
            ("in aim", body["in_aim"]),
            ("refused", body["refused"]),
            ("failed", body["failed"]),
            ("origin fetches", body["origin_fetches"]),
            ("p50 ms", body["p50_ms"]),
            ("p99 ms", body["p99_ms"]),
        )
    )
    faults = "".join(
        f"<li><b>{_when(fault)}</b> {escape(fault.text)}</li>" for fault in report.schedule.drawn_faults
    )
    broken = _table(
        ("rule", "second", "requests", "what"),
        [(one["rule"], one["at"], " ".join(one["requests"]), one["text"]) for one in body["broken"]],
    )
    return "".join(
        [
            f'<!doctype html><html lang="en"><meta charset="utf-8"><title>{escape(body["scenario"])}</title>',
            f"<style>{STYLE}</style><h1>{escape(body['scenario'])}, seed {body['seed']}</h1>",
            f"<p>{escape(report.schedule.scenario.about)}</p>{void}",
            f'<div class="figures">{figures}</div><div class="figures">{rules}</div>',
            f"<ol>{faults}</ol>" if faults else "<p>No faults.</p>",
            _figure("Requests per second, by outcome", _outcomes(report), report),
            _figure("Latency, ms", _latency(report), report, "By the second of the request."),
            _figure("Misses by cause and origin fetches, per second", _misses(report), report),
            _figure("Attempts per second at a node", _node_load(report), report),
            _figure("Skew of the routers", _skew(report), report, "By 5 s."),
            _figure("Memory and descriptors of routers", _memory(usage, begun), report),
            f"<h2>By class</h2>{_grouped(report, 'classes')}<h2>By tenant</h2>{_grouped(report, 'tenants')}",
            f"<h2>By source</h2>{_grouped(report, 'sources')}",
            f"<h2>Broken rules</h2>{broken}" if body["broken"] else "",
            f"<p>Emulator lag: 99th percentile {body['emulator']['p99_ms']:g} ms, ",
            f"worst {body['emulator']['worst_ms']:g} ms.</p></html>",
        ]
    )
