"""Measures load spread when each router sees few requests: `python -m bench.spread [--svg FILE] [CASES]`.

Real processes: 200 routers over 100 nodes that are nearly half loaded on average, the busiest fully. A quiet
run and hard cases, each with load reports alone ("reports alone") and with the merged load view and slot
migration ("peers"). Figures: work begun in windows of 5 s at the busiest and the idlest node that is listed
and warm, over the mean; the same over the whole time from five seconds after the fault's end on; how long one
node stays under half of the mean (of the last 5 s, checked each second); late answers.

Two baselines for the same requests: `placed`, the work assigned with full knowledge in advance (the longest
request first, each to the least loaded node), and `chance`, each request at a node drawn evenly.
"""

from __future__ import annotations

import argparse
import asyncio
import random
from collections import defaultdict
from collections.abc import Mapping, Sequence
from math import ceil
from pathlib import Path
from typing import Any, NamedTuple

import matplotlib as mpl
import orjson
import uvloop

from holdgw.harness.deployment import build, run_command
from holdgw.harness.orchestrator import RunResult, play
from holdgw.harness.report import make_report
from holdgw.harness.scenario import node_names, read_scenario
from holdgw.harness.schedule import ORIGIN, Schedule
from holdgw.harness.schedule_drawing import draw_schedule
from holdgw.harness.topology import workload

ROOT = Path(__file__).resolve().parent.parent
WINDOW_S = 5.0
SETTLE_S = 5.0  # from the fault's end until the load must be even again
SCENARIO = """
name = "spread"
length_s = {length}
[load]
rate = {rate}
[fleet]
nodes = {nodes}
routers = {routers}
[node]
speed = [{slowest}, {fastest}]
[store]
per_s = 300.0
[peers]
allowed = {peers}
"""
REPORT_FIELDS = (
    "service", "asked", "served", "in_aim", "refused", "failed", "origin_fetches", "attempts", "rules",
    "starved",
)  # fields of the report  # fmt: skip
FAULT_AT_S, RUN_S, FAULT_S = 10.0, 35.0, 10.0  # FAULT_S: duration of most faults


class Case(NamedTuple):
    """A case: fault tables of the scenario, the second when the faults are over, and the run's length, s."""

    faults: str = ""
    faults_end: float = FAULT_AT_S + FAULT_S
    length: float = RUN_S


def fault_table(kind: str, at: float = FAULT_AT_S, **fields: Any) -> str:
    """Return a fault as a table of the scenario file."""
    lines = "".join(f"{name} = {orjson.dumps(value).decode()}\n" for name, value in fields.items())
    return f'[[trouble]]\nkind = "{kind}"\nat = {at}\n{lines}'


def drain_third(nodes: int) -> str:
    """Return drains of a third of the nodes within 5 s."""
    third = nodes // 3
    return "".join(
        fault_table("drain", FAULT_AT_S + i * 0.5, nodes=third // 10 + (i < third % 10), seconds=0.6)
        for i in range(10)
    )


def cases(routers: int, nodes: int) -> dict[str, Case]:
    """Return the cases by name."""
    cut = fault_table("partition", 5.0, seconds=20, zone="mladost", nodes=0)
    hot_keys = "".join(
        fault_table("hot_key", 5.0, seconds=20, share=0.1, zone=zone) for zone in ("mladost", "lozenets")
    )
    return {
        "quiet": Case(faults_end=FAULT_AT_S - SETTLE_S),
        "a key of 10 %": Case(fault_table("hot_key", seconds=FAULT_S, share=0.1)),
        "ten keys of 3 %": Case(fault_table("hot_key", seconds=FAULT_S, share=0.3, keys=10)),
        "one says it is idle": Case(fault_table("false_report", seconds=25, says="idle"), FAULT_AT_S),
        "one says it is full": Case(fault_table("false_report", seconds=25, says="full"), FAULT_AT_S),
        "one's reports stand still": Case(fault_table("false_report", seconds=25, says="still"), FAULT_AT_S),
        "a tenth frozen for 3 s": Case(
            fault_table("freeze", seconds=3, routers=max(routers // 10, 1)), FAULT_AT_S + 3.0
        ),
        "a zone cut off for 20 s": Case(cut + hot_keys, 25.0, 40.0),
        "five join cold": Case(fault_table("cold_start", nodes=5), FAULT_AT_S + 9.0),
        "a third leaves in 5 s": Case(drain_third(nodes), FAULT_AT_S + 5.0),
        "one router has 25 %": Case(
            fault_table("hot_caller", 0.0, seconds=RUN_S, share=0.25, routers=1), FAULT_AT_S - SETTLE_S
        ),
        "a quarter of the routers has none": Case(
            fault_table("hot_caller", 0.0, seconds=RUN_S, share=1.0, routers=ceil(routers * 0.75)),
            FAULT_AT_S - SETTLE_S,
        ),
    }


class StartedWork(NamedTuple):
    """Work that a node began, seconds of the schedule."""

    at: float
    node: str
    work: float


def available_nodes(schedule: Schedule, since: float, until: float) -> list[str]:
    """Return the nodes that are listed and warm for the whole time span."""
    names = set(node_names(schedule.scenario.fleet))
    for step in schedule.faults:
        if step.verb == "create" and step.at + schedule.scenario.node.warm_s <= since:
            names.add(step.target)
        elif step.verb in ("drain", "kill") and step.at < until:
            names.discard(step.target)
    return sorted(names)


def extremes_over_mean(work: Mapping[str, float], names: Sequence[str]) -> tuple[float, float]:
    """Return the work of the busiest and the idlest of some nodes, over their mean."""
    amounts = [work.get(name, 0.0) for name in names]
    mean = sum(amounts) / len(amounts)
    return (max(amounts) / mean, min(amounts) / mean) if mean else (0.0, 0.0)


def work_by_node(started: Sequence[StartedWork], since: float, until: float) -> dict[str, float]:
    """Return the work by node within a time span."""
    totals: dict[str, float] = defaultdict(float)
    for entry in started:
        if since <= entry.at < until:
            totals[entry.node] += entry.work
    return totals


def longest_underloaded(
    started: Sequence[StartedWork], schedule: Schedule, since: float, until: float
) -> float:
    """Return the longest time, s, for which one node began under half of the mean work of all nodes.

    Each second, the work that nodes began in the last 5 s is compared.
    """
    by_second: dict[int, list[StartedWork]] = defaultdict(list)
    for entry in started:
        by_second[int(entry.at)].append(entry)
    runs: dict[str, int] = defaultdict(int)
    longest = 0
    for second in range(int(since), int(until)):
        window = range(second - int(WINDOW_S) + 1, second + 1)
        work = work_by_node([entry for i in window for entry in by_second[i]], window[0], second + 1)
        names = available_nodes(schedule, window[0], second + 1)
        half = sum(work.get(name, 0.0) for name in names) / len(names) / 2
        runs = defaultdict(int, {name: runs[name] + 1 for name in names if work.get(name, 0.0) < half})
        longest = max(longest, *runs.values(), 0)
    return float(longest)


def spread(started: Sequence[StartedWork], schedule: Schedule, faults_end: float) -> dict[str, Any]:
    """Return the figures by window, and over the time from SETTLE_S after `faults_end` on."""
    length = schedule.scenario.length_s
    since = faults_end + SETTLE_S
    rows = []
    for i in range(int(length / WINDOW_S)):
        first, last = i * WINDOW_S, (i + 1) * WINDOW_S
        busiest, idlest = extremes_over_mean(
            work_by_node(started, first, last), available_nodes(schedule, first, last)
        )
        rows.append({"busiest": busiest, "idlest": idlest})
    busiest, idlest = extremes_over_mean(
        work_by_node(started, since, length), available_nodes(schedule, since, length)
    )
    longest = longest_underloaded(started, schedule, since, length)
    return {"windows": rows, "busiest": busiest, "idlest": idlest, "idle_longest": longest}


def started_work(result: RunResult) -> list[StartedWork]:
    """Return the work that nodes began during the schedule."""
    return [
        StartedWork(attempt.at - result.begun, attempt.server, attempt.work)
        for attempt in result.history.attempts
        if attempt.server != ORIGIN
        and attempt.at >= result.begun
        and attempt.result in ("hit", "miss", "pending")
    ]


def baselines(schedule: Schedule) -> dict[str, list[StartedWork]]:
    """Return the same requests as assigned with full knowledge in advance, and evenly at random."""
    work = workload(schedule.scenario, schedule.seed)
    classes = schedule.scenario.classes
    rng = random.Random(schedule.seed)
    by_window: dict[int, list[tuple[float, float]]] = defaultdict(list)
    for request in schedule.requests:
        if request.at >= 0 and classes[request.request_class].effect == "safe":
            name = classes[request.request_class].name
            cost = work.work(name, b"%d" % request.number, "any")
            by_window[int(request.at / WINDOW_S)].append((cost, request.at))
    layouts: dict[str, list[StartedWork]] = {"placed": [], "chance": []}
    for i, requests in by_window.items():
        names = available_nodes(schedule, i * WINDOW_S, (i + 1) * WINDOW_S)
        placed = dict.fromkeys(names, 0.0)
        for cost, at in sorted(requests, reverse=True):
            least_loaded = min(names, key=placed.__getitem__)
            placed[least_loaded] += cost
            layouts["placed"].append(StartedWork(at, least_loaded, cost))
            layouts["chance"].append(StartedWork(at, rng.choice(names), cost))
    return layouts


def plot(results: dict[str, dict[str, Any]], path: Path) -> None:
    """Draw the figures by window, a panel for each case."""
    mpl.use("svg")
    mpl.rcParams.update({"svg.hashsalt": "holdgw", "svg.fonttype": "none", "font.size": 8})
    from matplotlib import pyplot as plt

    columns = min(len(results), 3)
    lines = ceil(len(results) / columns)
    figure, axes = plt.subplots(
        lines, columns, figsize=(3.6 * columns, 2.5 * lines), sharey=True, squeeze=False
    )
    colours = {"reports alone": "C3", "peers": "C0", "placed": "0.5", "chance": "0.75"}
    for ax in axes.flat[len(results) :]:
        ax.set_axis_off()
    for ax, (case, variants) in zip(axes.flat, results.items(), strict=False):
        for variant, figures in variants.items():
            at = [i * WINDOW_S for i in range(len(figures["windows"]))]
            for extreme, dash in (("busiest", "-"), ("idlest", "--")):
                label = variant if extreme == "busiest" else None
                ax.plot(
                    at,
                    [row[extreme] for row in figures["windows"]],
                    dash,
                    color=colours[variant],
                    label=label,
                )
        ax.set_title(case, size=8)
    axes[0][0].set_ylim(0.0, 4.5)
    axes[0][0].legend(ncol=2, loc="upper right", fontsize=7)
    figure.supxlabel("s; busiest (solid) and idlest (dashed) node over the mean", size=8)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    plt.close(figure)


def run_schedule(text: str, seed: int, deploy: Path, logs: Path | None = None) -> RunResult:
    """Run a scenario's schedule with the program of a deploy file's checkout."""
    schedule = draw_schedule(read_scenario(text, "bench"), seed)

    async def run() -> RunResult:
        root = deploy.absolute().parent.parent
        return await asyncio.wait_for(play(schedule, run_command(deploy), root, keep_logs=logs), 600.0)

    return uvloop.run(run())


def measure_case(text: str, seed: int, deploy: Path, faults_end: float) -> tuple[dict[str, Any], Schedule]:
    """Run a scenario; returns its figures and its schedule."""
    result = run_schedule(text, seed, deploy)
    body = make_report(result).body
    figures = {
        **{name: body[name] for name in REPORT_FIELDS},
        "void": body["void"],
        "lag_worst_ms": body["emulator"]["worst_ms"],
        "start_s": body["laboratory"]["start_s"]["all"],
        "memory_mb": body["laboratory"]["routers_memory_mb"],
        "late": [row["served"] - row["in_aim"] for row in body["windows"]],
        **spread(started_work(result), result.schedule, faults_end),
    }
    return figures, result.schedule


def format_row(case: str, variant: str, figures: dict[str, Any]) -> str:
    """Format a row of the table."""
    if "service" not in figures:
        cells = ["-"] * 6
    else:
        broken = ", ".join(f"{name} {count}" for name, count in figures["rules"].items() if count)
        cells = [
            f"{figures['service']:.3f}",
            f"{figures['in_aim'] / figures['asked']:.3f}",
            str(figures["origin_fetches"]),
            " ".join(map(str, figures["late"])),
            broken or "kept",
            f"{figures['lag_worst_ms']:.0f} ms" if figures["void"] else "no",
        ]
    spans = [" ".join(f"{row[name]:.1f}" for row in figures["windows"]) for name in ("busiest", "idlest")]
    settled = [f"{figures['busiest']:.2f}", f"{figures['idlest']:.2f}", f"{figures['idle_longest']:.0f}"]
    return f"| {' | '.join([case, variant, *cells, *spans, *settled])} |"


COLUMNS = (
    "case", "", "service", "in aim", "fetches", "late by window", "rules", "void",
    "busiest by window", "idlest by window", "busiest then", "idlest then", "longest idle, s",
)  # fmt: skip


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--routers", type=int, default=200)
    parser.add_argument("--nodes", type=int, default=100)
    parser.add_argument("--rate", type=float, default=600.0)
    parser.add_argument("--speed", type=float, default=0.6, help="of the nodes; 1 loads them by a quarter")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--deploy", type=Path, default=ROOT / "deploy/balancer.toml")
    parser.add_argument("--json", type=Path, help="results file; cases already in it stay")
    parser.add_argument("--svg", type=Path)
    parser.add_argument("cases", nargs="*")
    args = parser.parse_args()
    build(args.deploy)
    known = cases(args.routers, args.nodes)
    results: dict[str, dict[str, Any]] = {}
    if args.json is not None and args.json.exists():
        results = orjson.loads(args.json.read_bytes())
    print(f"| {' | '.join(COLUMNS)} |\n|{' --- |' * len(COLUMNS)}", flush=True)
    for case in args.cases or known:
        parameters = known[case]
        figures_by_variant = results[case] = {}
        for variant, peers in (("reports alone", "false"), ("peers", "true")):
            text = SCENARIO.format(
                length=parameters.length, rate=args.rate, nodes=args.nodes, routers=args.routers, peers=peers,
                slowest=args.speed * 0.9, fastest=args.speed * 1.1,
            )  # fmt: skip
            figures_by_variant[variant], schedule = measure_case(
                text + parameters.faults, args.seed, args.deploy, parameters.faults_end
            )
            print(format_row(case, variant, figures_by_variant[variant]), flush=True)
        for variant, started in baselines(schedule).items():
            figures_by_variant[variant] = spread(started, schedule, parameters.faults_end)
            print(format_row(case, variant, figures_by_variant[variant]), flush=True)
        if args.json is not None:
            args.json.write_bytes(orjson.dumps(results, option=orjson.OPT_INDENT_2))
    if args.svg is not None:
        plot(results, args.svg)


if __name__ == "__main__":
    main()
