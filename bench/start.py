"""What a cold start of a whole fleet asks of the list service and of the servers: `python -m bench.start`.

Real processes, 200 routers over 100 nodes, the list asked for at 4 ms a call. At second 10 all routers are
killed and started at once: with servers warm; in a black start, with all nodes cold and empty and the store
back after 3 s; with the list service down for the first 5 s. From the kill on, by 100 ms: calls at the list
service, new connections at the node that gets most of them, those turned away, fetches at the store. Then the
seconds from the last process's start until 95 % of the calm day's service stands (and stays for a second),
tries an ask after that, nodes pushed over, requests lost.

`--beside FOLDER` plays the program of another checkout on the same seeds as well.
"""

from __future__ import annotations

import argparse
from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import matplotlib as mpl
import orjson

from bench.spread import KEPT, played_day, trouble
from holdgw.harness.deployment import build
from holdgw.harness.orchestrator import RunResult
from holdgw.harness.report import make_report
from holdgw.harness.schedule import ORIGIN

ROOT = Path(__file__).resolve().parent.parent
KILL, LENGTH, STEP = 10.0, 40.0, 0.1
CALM, ENOUGH, STEADY_S = (4.0, 10.0), 0.95, 1.0
DAY = """
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
    """Troubles, by case."""
    kill = trouble("router_restart", KILL, routers=routers, together=routers, signal="KILL")
    return {
        "warm servers": kill,
        "black start": kill
        + trouble("restart", KILL, nodes=nodes, down_s=0.5)
        + trouble("origin_down", KILL, seconds=3.0),
        "list service down for 5 s": kill + trouble("discovery_down", KILL, seconds=5.0),
    }


def by_step(times: Iterable[float]) -> list[int]:
    """Counts by 100 ms from the kill on."""
    found = Counter(int((at - KILL) / STEP) for at in times if at >= KILL)
    return [found[i] for i in range(round((LENGTH - KILL) / STEP))]


def recovered(served: list[tuple[float, bool]], calm: float, since: float) -> float:
    """Seconds from then until a second's asks are served as on the calm day; infinity: never."""
    for i in range(round((LENGTH - since) / STEP) - round(STEADY_S / STEP)):
        at = since + i * STEP
        window = [good for when, good in served if at <= when < at + STEADY_S]
        if window and sum(window) / len(window) >= ENOUGH * calm:
            return at - since
    return float("inf")


def measured(played: RunResult) -> dict[str, Any]:
    """What a play asked of whom, and when it was well again."""
    history, begun = played.history, played.begun
    report = make_report(played)
    dials: dict[str, list[float]] = {}
    for one in history.dials:
        dials.setdefault(one.server, []).append(one.at - begun)
    steps = {name: by_step(times) for name, times in dials.items()}
    busiest = max(steps, key=lambda name: max(steps[name]))
    lives = [life for life in history.lives if life.started - begun >= KILL]
    last = max((life.started - begun for life in lives), default=KILL)
    served = [(fate.request.at, fate.took is not None) for fate in report.outcomes if fate.request.at >= 0]
    calm_asks = [good for at, good in served if CALM[0] <= at < CALM[1]]
    calm = sum(calm_asks) / len(calm_asks)
    wait = recovered(served, calm, last)
    after = last + wait
    asks = sum(at >= after for at, _ in served)
    sent = [one.sent - begun for one in history.tries if one.sent - begun >= after]
    calls = [one for one in history.calls if one.at - begun >= KILL]
    rows = {
        "calls": by_step(one.at - begun for one in history.calls),
        "dials at the busiest node": steps[busiest],
        "dials": by_step(at for times in dials.values() for at in times),
        "turned away": by_step(one.at - begun for one in history.dials if not one.taken),
        "fetches": by_step(
            one.at - begun for one in history.attempts if one.server == ORIGIN and not one.idempotency
        ),
    }
    return {
        **{name: report.body[name] for name in KEPT},
        "void": report.body["void"],
        "lag_worst_ms": report.body["emulator"]["worst_ms"],
        "waited_for_a_core_s": report.body["laboratory"]["waited_for_a_core_s"],
        "start_s": report.body["laboratory"]["start_s"],
        "last_ready_s": round(max((life.ready or 0.0) - begun for life in lives) - KILL, 2),
        "calm": round(calm, 4),
        "recovered_s": round(wait, 2),
        "tries_after": round(len(sent) / asks, 3) if asks else 0.0,
        "whole_lists": sum(one.whole for one in calls),
        "starts": len(lives),
        "served_by_second": [
            round(sum(here) / len(here), 3) if (here := [g for at, g in served if i <= at < i + 1]) else 0.0
            for i in range(int(LENGTH))
        ],
        "rows": rows,
    }


def plotted(results: dict[str, dict[str, Any]], path: Path) -> None:
    """The picture: a column a case, a line a program."""
    mpl.use("svg")
    mpl.rcParams.update({"svg.hashsalt": "holdgw", "svg.fonttype": "none", "font.size": 8})
    from matplotlib import pyplot as plt

    names = ["calls", "dials", "dials at the busiest node", "fetches"]
    shape = (len(names) + 1, len(results))
    figure, axes = plt.subplots(*shape, figsize=(4.2 * shape[1], 1.7 * shape[0]), squeeze=False, sharex=True)
    for column, (case, programs) in enumerate(results.items()):
        axes[0][column].set_title(case, size=8)
        for i, (program, found) in enumerate(programs.items()):
            for line, name in enumerate(names):
                row = found["rows"][name]
                at = [i * STEP for i in range(len(row))]
                axes[line][column].plot(at, row, color=f"C{i}", label=program, linewidth=0.8)
                axes[line][0].set_ylabel(f"{name}\nby 100 ms", size=7)
            seconds = found["served_by_second"][int(KILL) :]
            axes[-1][column].plot(range(len(seconds)), seconds, color=f"C{i}", linewidth=0.8)
        axes[-1][column].set_xlabel("s from the kill")
    axes[-1][0].set_ylabel("served", size=7)
    axes[0][0].legend(loc="upper right", fontsize=7)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    plt.close(figure)


def main() -> None:
    """Measure and print."""
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--routers", type=int, default=200)
    words.add_argument("--nodes", type=int, default=100)
    words.add_argument("--rate", type=float, default=600.0)
    words.add_argument("--seed", type=int, default=1)
    words.add_argument("--beside", type=Path, help="another checkout, built")
    words.add_argument("--json", type=Path)
    words.add_argument("--svg", type=Path)
    words.add_argument("--logs", type=Path)
    words.add_argument("cases", nargs="*")
    told = words.parse_args()
    build(ROOT / "deploy/balancer.toml")
    programs = {"this": ROOT} | ({"beside": told.beside.absolute()} if told.beside else {})
    known = cases(told.routers, told.nodes)
    results: dict[str, dict[str, Any]] = {}
    for case in told.cases or known:
        text = DAY.format(length=LENGTH, rate=told.rate, nodes=told.nodes, routers=told.routers)
        for program, root in programs.items():
            logs = told.logs / program / case.replace(" ", "-") if told.logs else None
            found = measured(played_day(text + known[case], told.seed, root / "deploy/balancer.toml", logs))
            results.setdefault(case, {})[program] = found
            rows = found.pop("rows")
            worst = {name: max(row) for name, row in rows.items()}
            five = {name: sum(row[: round(5 / STEP)]) for name, row in rows.items()}
            print(f"{case}, {program}: {found}")
            print(f"  most by 100 ms {worst}; in the first 5 s {five}", flush=True)
            found["rows"] = rows
    if told.json is not None:
        told.json.write_bytes(orjson.dumps(results, option=orjson.OPT_INDENT_2))
    if told.svg is not None:
        plotted(results, told.svg)


if __name__ == "__main__":
    main()
