"""How evenly load is spread when each router sees little: `python -m bench.spread [--svg FILE] [CASES]`.

Real processes, 200 routers over 100 nodes that have nearly half of what they can do to do, the busiest all
of it. A quiet day and hard cases, each with reports alone and with peers: the picture that routers make
together, and the plan that follows from it. Work begun by windows of 5 s, at the busiest and the idlest node
that is listed and warm, over the mean; the same over all from five seconds after the trouble's end on; how
long one node stays under half of the mean (of the last 5 s, looked at each second); late answers.

Beside them two floors for the same asks: `placed`, the same work laid out by one who knows it all ahead (the
longest first, each to the emptiest), and `chance`, each ask to a node drawn evenly.
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
AFTER_S = 5.0  # from a trouble's end on until the load has to be level again
DAY = """
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
KEPT = (
    "service", "asked", "served", "in_aim", "refused", "failed", "origin_fetches", "attempts", "rules",
    "starved",
)  # of the report  # fmt: skip
BEGIN, LENGTH, PAUSE = 10.0, 35.0, 10.0  # of the trouble, of the day, and how long most troubles last


class Case(NamedTuple):
    """A trouble, and when it is over."""

    troubles: str = ""
    over: float = BEGIN + PAUSE
    length: float = LENGTH


def trouble(kind: str, at: float = BEGIN, **fields: Any) -> str:
    """A table of the scenario file."""
    words = "".join(f"{name} = {orjson.dumps(value).decode()}\n" for name, value in fields.items())
    return f'[[trouble]]\nkind = "{kind}"\nat = {at}\n{words}'


def leaving(nodes: int) -> str:
    """A third of the nodes leaves within 5 s."""
    third = nodes // 3
    return "".join(
        trouble("drain", BEGIN + i * 0.5, nodes=third // 10 + (i < third % 10), seconds=0.6)
        for i in range(10)
    )


def cases(routers: int, nodes: int) -> dict[str, Case]:
    """What is played, by name."""
    cut = trouble("partition", 5.0, seconds=20, zone="mladost", nodes=0)
    own = "".join(
        trouble("hot_key", 5.0, seconds=20, share=0.1, zone=zone) for zone in ("mladost", "lozenets")
    )
    return {
        "quiet": Case(over=BEGIN - AFTER_S),
        "a key of 10 %": Case(trouble("hot_key", seconds=PAUSE, share=0.1)),
        "ten keys of 3 %": Case(trouble("hot_key", seconds=PAUSE, share=0.3, keys=10)),
        "one says it is idle": Case(trouble("false_report", seconds=25, says="idle"), BEGIN),
        "one says it is full": Case(trouble("false_report", seconds=25, says="full"), BEGIN),
        "one's reports stand still": Case(trouble("false_report", seconds=25, says="still"), BEGIN),
        "a tenth frozen for 3 s": Case(
            trouble("freeze", seconds=3, routers=max(routers // 10, 1)), BEGIN + 3.0
        ),
        "a zone cut off for 20 s": Case(cut + own, 25.0, 40.0),
        "five join cold": Case(trouble("cold_start", nodes=5), BEGIN + 9.0),
        "a third leaves in 5 s": Case(leaving(nodes), BEGIN + 5.0),
        "one router has 25 %": Case(
            trouble("hot_caller", 0.0, seconds=LENGTH, share=0.25, routers=1), BEGIN - AFTER_S
        ),
        "a quarter of the routers has none": Case(
            trouble("hot_caller", 0.0, seconds=LENGTH, share=1.0, routers=ceil(routers * 0.75)),
            BEGIN - AFTER_S,
        ),
    }


class Begun(NamedTuple):
    """Work that a node began."""

    at: float
    node: str
    work: float


def there(day: Schedule, since: float, until: float) -> list[str]:
    """The nodes that are listed and warm for the whole of that time."""
    names = set(node_names(day.scenario.fleet))
    for step in day.faults:
        if step.verb == "create" and step.at + day.scenario.node.warm_s <= since:
            names.add(step.target)
        elif step.verb in ("drain", "kill") and step.at < until:
            names.discard(step.target)
    return sorted(names)


def over_mean(work: Mapping[str, float], names: Sequence[str]) -> tuple[float, float]:
    """The busiest and the idlest of some nodes, over their mean."""
    found = [work.get(name, 0.0) for name in names]
    mean = sum(found) / len(found)
    return (max(found) / mean, min(found) / mean) if mean else (0.0, 0.0)


def summed(begun: Sequence[Begun], since: float, until: float) -> dict[str, float]:
    """Work by node within a time."""
    found: dict[str, float] = defaultdict(float)
    for one in begun:
        if since <= one.at < until:
            found[one.node] += one.work
    return found


def idle_longest(begun: Sequence[Begun], day: Schedule, since: float, until: float) -> float:
    """For how many seconds on end some node's last five were under half of the mean."""
    by_second: dict[int, list[Begun]] = defaultdict(list)
    for one in begun:
        by_second[int(one.at)].append(one)
    runs: dict[str, int] = defaultdict(int)
    longest = 0
    for second in range(int(since), int(until)):
        span = range(second - int(WINDOW_S) + 1, second + 1)
        work = summed([one for i in span for one in by_second[i]], span[0], second + 1)
        names = there(day, span[0], second + 1)
        half = sum(work.get(name, 0.0) for name in names) / len(names) / 2
        runs = defaultdict(int, {name: runs[name] + 1 for name in names if work.get(name, 0.0) < half})
        longest = max(longest, *runs.values(), 0)
    return float(longest)


def spread(begun: Sequence[Begun], day: Schedule, over: float) -> dict[str, Any]:
    """The windows, and all from when the load has to be level again."""
    length = day.scenario.length_s
    since = over + AFTER_S
    rows = []
    for i in range(int(length / WINDOW_S)):
        first, last = i * WINDOW_S, (i + 1) * WINDOW_S
        busiest, idlest = over_mean(summed(begun, first, last), there(day, first, last))
        rows.append({"busiest": busiest, "idlest": idlest})
    busiest, idlest = over_mean(summed(begun, since, length), there(day, since, length))
    longest = idle_longest(begun, day, since, length)
    return {"windows": rows, "busiest": busiest, "idlest": idlest, "idle_longest": longest}


def work_begun(played: RunResult) -> list[Begun]:
    """What nodes began on the day."""
    return [
        Begun(one.at - played.begun, one.server, one.work)
        for one in played.history.attempts
        if one.server != ORIGIN and one.at >= played.begun and one.result in ("hit", "miss", "pending")
    ]


def floors(day: Schedule) -> dict[str, list[Begun]]:
    """The same asks as an all-knowing placement, and as pure chance, would lay them out."""
    work = workload(day.scenario, day.seed)
    classes = day.scenario.classes
    rng = random.Random(day.seed)
    by_window: dict[int, list[tuple[float, float]]] = defaultdict(list)
    for ask in day.requests:
        if ask.at >= 0 and classes[ask.request_class].effect == "safe":
            name = classes[ask.request_class].name
            cost = work.work(name, b"%d" % ask.number, "any")
            by_window[int(ask.at / WINDOW_S)].append((cost, ask.at))
    found: dict[str, list[Begun]] = {"placed": [], "chance": []}
    for i, asks in by_window.items():
        names = there(day, i * WINDOW_S, (i + 1) * WINDOW_S)
        placed = dict.fromkeys(names, 0.0)
        for cost, at in sorted(asks, reverse=True):
            emptiest = min(names, key=placed.__getitem__)
            placed[emptiest] += cost
            found["placed"].append(Begun(at, emptiest, cost))
            found["chance"].append(Begun(at, rng.choice(names), cost))
    return found


def plotted(results: dict[str, dict[str, Any]], path: Path) -> None:
    """The picture."""
    mpl.use("svg")
    mpl.rcParams.update({"svg.hashsalt": "holdgw", "svg.fonttype": "none", "font.size": 8})
    from matplotlib import pyplot as plt

    columns = min(len(results), 3)
    lines = ceil(len(results) / columns)
    figure, axes = plt.subplots(
        lines, columns, figsize=(3.6 * columns, 2.5 * lines), sharey=True, squeeze=False
    )
    styles = {"reports alone": "C3", "peers": "C0", "placed": "0.5", "chance": "0.75"}
    for ax in axes.flat[len(results) :]:
        ax.set_axis_off()
    for ax, (case, ways) in zip(axes.flat, results.items(), strict=False):
        for way, found in ways.items():
            at = [i * WINDOW_S for i in range(len(found["windows"]))]
            for which, dash in (("busiest", "-"), ("idlest", "--")):
                label = way if which == "busiest" else None
                ax.plot(at, [row[which] for row in found["windows"]], dash, color=styles[way], label=label)
        ax.set_title(case, size=8)
    axes[0][0].set_ylim(0.0, 4.5)
    axes[0][0].legend(ncol=2, loc="upper right", fontsize=7)
    figure.supxlabel("s; busiest (solid) and idlest (dashed) node over the mean", size=8)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    plt.close(figure)


def played_day(text: str, seed: int, deploy: Path, logs: Path | None = None) -> RunResult:
    """Play a day with the program of a deploy file's checkout."""
    day = draw_schedule(read_scenario(text, "bench"), seed)

    async def scene() -> RunResult:
        root = deploy.absolute().parent.parent
        return await asyncio.wait_for(play(day, run_command(deploy), root, keep_logs=logs), 600.0)

    return uvloop.run(scene())


def once(text: str, seed: int, deploy: Path, over: float) -> tuple[dict[str, Any], Schedule]:
    """Play a day; returns what is measured of it, and the day."""
    played = played_day(text, seed, deploy)
    body = make_report(played).body
    found = {
        **{name: body[name] for name in KEPT},
        "void": body["void"],
        "lag_worst_ms": body["emulator"]["worst_ms"],
        "start_s": body["laboratory"]["start_s"]["all"],
        "memory_mb": body["laboratory"]["routers_memory_mb"],
        "late": [row["served"] - row["in_aim"] for row in body["windows"]],
        **spread(work_begun(played), played.schedule, over),
    }
    return found, played.schedule


def shown(case: str, way: str, found: dict[str, Any]) -> str:
    """A row of the table."""
    if "service" not in found:
        told = ["-"] * 6
    else:
        broken = ", ".join(f"{name} {count}" for name, count in found["rules"].items() if count)
        told = [
            f"{found['service']:.3f}",
            f"{found['in_aim'] / found['asked']:.3f}",
            str(found["origin_fetches"]),
            " ".join(map(str, found["late"])),
            broken or "kept",
            f"{found['lag_worst_ms']:.0f} ms" if found["void"] else "no",
        ]
    spans = [" ".join(f"{row[name]:.1f}" for row in found["windows"]) for name in ("busiest", "idlest")]
    level = [f"{found['busiest']:.2f}", f"{found['idlest']:.2f}", f"{found['idle_longest']:.0f}"]
    return f"| {' | '.join([case, way, *told, *spans, *level])} |"


COLUMNS = (
    "case", "", "service", "in aim", "fetches", "late by window", "rules", "void",
    "busiest by window", "idlest by window", "busiest then", "idlest then", "longest idle, s",
)  # fmt: skip


def main() -> None:
    """Measure and print."""
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--routers", type=int, default=200)
    words.add_argument("--nodes", type=int, default=100)
    words.add_argument("--rate", type=float, default=600.0)
    words.add_argument(
        "--speed", type=float, default=0.6, help="of the nodes; at 1 they have a quarter to do"
    )
    words.add_argument("--seed", type=int, default=1)
    words.add_argument("--deploy", type=Path, default=ROOT / "deploy/balancer.toml")
    words.add_argument("--json", type=Path, help="added to: cases played before stay in it")
    words.add_argument("--svg", type=Path)
    words.add_argument("cases", nargs="*")
    told = words.parse_args()
    build(told.deploy)
    known = cases(told.routers, told.nodes)
    results: dict[str, dict[str, Any]] = {}
    if told.json is not None and told.json.exists():
        results = orjson.loads(told.json.read_bytes())
    print(f"| {' | '.join(COLUMNS)} |\n|{' --- |' * len(COLUMNS)}", flush=True)
    for case in told.cases or known:
        one = known[case]
        found = results[case] = {}
        for way, peers in (("reports alone", "false"), ("peers", "true")):
            text = DAY.format(
                length=one.length, rate=told.rate, nodes=told.nodes, routers=told.routers, peers=peers,
                slowest=told.speed * 0.9, fastest=told.speed * 1.1,
            )  # fmt: skip
            found[way], day = once(text + one.troubles, told.seed, told.deploy, one.over)
            print(shown(case, way, found[way]), flush=True)
        for way, begun in floors(day).items():
            found[way] = spread(begun, day, one.over)
            print(shown(case, way, found[way]), flush=True)
        if told.json is not None:
            told.json.write_bytes(orjson.dumps(results, option=orjson.OPT_INDENT_2))
    if told.svg is not None:
        plotted(results, told.svg)


if __name__ == "__main__":
    main()
