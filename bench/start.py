"""Measures the load of a whole fleet's cold start on discovery and on the servers: `python -m bench.start`.

Real processes: 200 routers over 100 nodes, and discovery at 4 ms a call. At second 10 all routers are killed
and started at once, with warm servers; in a black start, with all nodes cold and empty and the store back
after 3 s; or with discovery down for the first 5 s. Figures from the kill on, by 100 ms: calls at discovery,
new connections at the node that gets most of them, refused connections, fetches at the store. Then the
seconds from the last process's start until 95 % of the calm service is reached for a second, attempts per
request after that, nodes knocked out, requests lost.

`--beside FOLDER` also runs the program of another checkout, on the same seeds.
"""

from __future__ import annotations

import argparse
from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import matplotlib as mpl
import orjson

from bench.spread import REPORT_FIELDS, fault_table, run_schedule
from holdgw.harness.deployment import build
from holdgw.harness.orchestrator import RunResult
from holdgw.harness.report import make_report
from holdgw.harness.schedule import ORIGIN

ROOT = Path(__file__).resolve().parent.parent
KILL_AT_S, RUN_S, STEP_S = 10.0, 40.0, 0.1
CALM_SPAN_S, RECOVERED_FRACTION, RECOVERED_FOR_S = (4.0, 10.0), 0.95, 1.0
SCENARIO = """
name = "start"
length_s = {length}
[load]
rate = {rate}
[fleet]
nodes = {nodes}
routers = {routers}
[node]
speed = [0.9, 1.1]
[store]
per_s = 300.0
[discovery]
mode = "ask"
call_ms = 4.0
"""


def cases(routers: int, nodes: int) -> dict[str, str]:
    """Return the fault tables by case."""
    kill = fault_table("router_restart", KILL_AT_S, routers=routers, together=routers, signal="KILL")
    return {
        "warm servers": kill,
        "black start": kill
        + fault_table("restart", KILL_AT_S, nodes=nodes, down_s=0.5)
        + fault_table("origin_down", KILL_AT_S, seconds=3.0),
        "list service down for 5 s": kill + fault_table("discovery_down", KILL_AT_S, seconds=5.0),
    }


def by_step(event_times: Iterable[float]) -> list[int]:
    """Count the events of each 100 ms from the kill on."""
    counts = Counter(int((at - KILL_AT_S) / STEP_S) for at in event_times if at >= KILL_AT_S)
    return [counts[i] for i in range(round((RUN_S - KILL_AT_S) / STEP_S))]


def recovery_time(served: list[tuple[float, bool]], calm: float, since: float) -> float:
    """Return the seconds from `since` until a second's requests are served as in calm; infinity: never.

    `calm` is the fraction of requests served before the kill.
    """
    for i in range(round((RUN_S - since) / STEP_S) - round(RECOVERED_FOR_S / STEP_S)):
        at = since + i * STEP_S
        window = [was_served for when, was_served in served if at <= when < at + RECOVERED_FOR_S]
        if window and sum(window) / len(window) >= RECOVERED_FRACTION * calm:
            return at - since
    return float("inf")


def measure(result: RunResult) -> dict[str, Any]:
    """Return a run's load on discovery, nodes and store after the kill, and when service recovered."""
    history, begun = result.history, result.begun
    report = make_report(result)
    dials_by_node: dict[str, list[float]] = {}
    for one in history.dials:
        dials_by_node.setdefault(one.server, []).append(one.at - begun)
    steps = {name: by_step(times) for name, times in dials_by_node.items()}
    busiest = max(steps, key=lambda name: max(steps[name]))
    instances = [instance for instance in history.lives if instance.started - begun >= KILL_AT_S]
    last_started = max((instance.started - begun for instance in instances), default=KILL_AT_S)
    served = [(fate.request.at, fate.took is not None) for fate in report.outcomes if fate.request.at >= 0]
    calm_results = [good for at, good in served if CALM_SPAN_S[0] <= at < CALM_SPAN_S[1]]
    calm = sum(calm_results) / len(calm_results)
    recovery_s = recovery_time(served, calm, last_started)
    recovered_at = last_started + recovery_s
    requests = sum(at >= recovered_at for at, _ in served)
    sent = [one.sent - begun for one in history.tries if one.sent - begun >= recovered_at]
    calls = [one for one in history.calls if one.at - begun >= KILL_AT_S]
    rows = {
        "calls": by_step(one.at - begun for one in history.calls),
        "dials at the busiest node": steps[busiest],
        "dials": by_step(at for times in dials_by_node.values() for at in times),
        "turned away": by_step(one.at - begun for one in history.dials if not one.accepted),
        "fetches": by_step(
            one.at - begun for one in history.attempts if one.server == ORIGIN and not one.idempotency
        ),
    }
    return {
        **{name: report.body[name] for name in REPORT_FIELDS},
        "void": report.body["void"],
        "lag_worst_ms": report.body["emulator"]["worst_ms"],
        "waited_for_a_core_s": report.body["laboratory"]["waited_for_a_core_s"],
        "start_s": report.body["laboratory"]["start_s"],
        "last_ready_s": round(max((instance.ready or 0.0) - begun for instance in instances) - KILL_AT_S, 2),
        "calm": round(calm, 4),
        "recovered_s": round(recovery_s, 2),
        "tries_after": round(len(sent) / requests, 3) if requests else 0.0,
        "whole_lists": sum(one.full for one in calls),
        "starts": len(instances),
        "served_by_second": [
            round(sum(in_second) / len(in_second), 3)
            if (in_second := [g for at, g in served if i <= at < i + 1])
            else 0.0
            for i in range(int(RUN_S))
        ],
        "rows": rows,
    }


def plot(results: dict[str, dict[str, Any]], path: Path) -> None:
    """Draw the figures, a column for each case and a line for each program."""
    mpl.use("svg")
    mpl.rcParams.update({"svg.hashsalt": "holdgw", "svg.fonttype": "none", "font.size": 8})
    from matplotlib import pyplot as plt

    names = ["calls", "dials", "dials at the busiest node", "fetches"]
    shape = (len(names) + 1, len(results))
    figure, axes = plt.subplots(*shape, figsize=(4.2 * shape[1], 1.7 * shape[0]), squeeze=False, sharex=True)
    for column, (case, programs) in enumerate(results.items()):
        axes[0][column].set_title(case, size=8)
        for i, (program, figures) in enumerate(programs.items()):
            for line, name in enumerate(names):
                row = figures["rows"][name]
                at = [i * STEP_S for i in range(len(row))]
                axes[line][column].plot(at, row, color=f"C{i}", label=program, linewidth=0.8)
                axes[line][0].set_ylabel(f"{name}\nby 100 ms", size=7)
            seconds = figures["served_by_second"][int(KILL_AT_S) :]
            axes[-1][column].plot(range(len(seconds)), seconds, color=f"C{i}", linewidth=0.8)
        axes[-1][column].set_xlabel("s from the kill")
    axes[-1][0].set_ylabel("served", size=7)
    axes[0][0].legend(loc="upper right", fontsize=7)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    plt.close(figure)


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--routers", type=int, default=200)
    parser.add_argument("--nodes", type=int, default=100)
    parser.add_argument("--rate", type=float, default=600.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--beside", type=Path, help="another checkout, already built")
    parser.add_argument("--json", type=Path)
    parser.add_argument("--svg", type=Path)
    parser.add_argument("--logs", type=Path)
    parser.add_argument("cases", nargs="*")
    args = parser.parse_args()
    build(ROOT / "deploy/balancer.toml")
    programs = {"this": ROOT} | ({"beside": args.beside.absolute()} if args.beside else {})
    known = cases(args.routers, args.nodes)
    results: dict[str, dict[str, Any]] = {}
    for case in args.cases or known:
        text = SCENARIO.format(length=RUN_S, rate=args.rate, nodes=args.nodes, routers=args.routers)
        for program, root in programs.items():
            logs = args.logs / program / case.replace(" ", "-") if args.logs else None
            figures = measure(
                run_schedule(text + known[case], args.seed, root / "deploy/balancer.toml", logs)
            )
            results.setdefault(case, {})[program] = figures
            rows = figures.pop("rows")
            worst = {name: max(row) for name, row in rows.items()}
            first_five_s = {name: sum(row[: round(5 / STEP_S)]) for name, row in rows.items()}
            print(f"{case}, {program}: {figures}")
            print(f"  most by 100 ms {worst}; in the first 5 s {first_five_s}", flush=True)
            figures["rows"] = rows
    if args.json is not None:
        args.json.write_bytes(orjson.dumps(results, option=orjson.OPT_INDENT_2))
    if args.svg is not None:
        plot(results, args.svg)


if __name__ == "__main__":
    main()
