"""How evenly load is spread when each router sees little: `python -m bench.spread [--svg FILE]`.

Real processes. Two days, quiet and with a key that gets a tenth of all reads for 10 s, each with reports
alone and with the picture that routers make together. By 5 s windows: work begun at the busiest and the
idlest server over the mean, the mean server's seconds under half of that second's mean, late answers.

Beside them two floors for the same asks: `placed`, the same work laid out by one who knows it all ahead (the
longest first, each to the emptiest), and `chance`, each ask to a server drawn evenly.
"""

from __future__ import annotations

import argparse
import asyncio
import random
from collections import defaultdict
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import matplotlib as mpl
import orjson
import uvloop

from holdgw.rehearsal.day import STORE, draw, workload
from holdgw.rehearsal.deployment import build, run_command
from holdgw.rehearsal.report import make_report
from holdgw.rehearsal.scenario import node_names, read_scenario
from holdgw.rehearsal.stage import Played, play

ROOT = Path(__file__).resolve().parent.parent
WINDOW_S = 5.0
DAY = """
name = "spread"
length_s = {length}
[load]
rate = {rate}
[fleet]
nodes = {nodes}
routers = {routers}
[store]
per_s = 300.0
[peers]
allowed = {peers}
"""
HOT = """
[[trouble]]
kind = "hot_key"
at = 10
seconds = 10
share = 0.1
"""


def over_mean(work: Mapping[str, float], names: Sequence[str]) -> tuple[float, float]:
    """The busiest and the idlest of some servers, over their mean."""
    found = [work.get(name, 0.0) for name in names]
    mean = sum(found) / len(found)
    return (max(found) / mean, min(found) / mean) if mean else (0.0, 0.0)


def measured(played: Played) -> list[dict[str, float]]:
    """A row for each window."""
    day, begun = played.day, played.begun
    names = node_names(day.scenario.fleet)
    windows: dict[int, dict[str, float]] = defaultdict(lambda: defaultdict(float))
    seconds: dict[int, dict[str, float]] = defaultdict(lambda: defaultdict(float))
    for one in played.history.attempts:
        at = one.at - begun
        if one.server != STORE and at >= 0 and one.result in ("hit", "miss", "pending"):
            windows[int(at / WINDOW_S)][one.server] += one.work
            seconds[int(at)][one.server] += one.work
    late: dict[int, int] = defaultdict(int)
    for row in make_report(played).body["windows"]:
        late[int(row["at"] / WINDOW_S)] = row["served"] - row["in_aim"]
    rows = []
    for i in range(int(day.scenario.length_s / WINDOW_S)):
        busiest, idlest = over_mean(windows[i], names)
        idle = 0
        for second in range(int(i * WINDOW_S), int((i + 1) * WINDOW_S)):
            here = seconds[second]
            half = sum(here.values()) / len(names) / 2
            idle += sum(here.get(name, 0.0) < half for name in names)
        rows.append({"busiest": busiest, "idlest": idlest, "idle_s": idle / len(names), "late": late[i]})
    return rows


def floors(played: Played) -> dict[str, list[dict[str, float]]]:
    """What an all-knowing placement of the same asks, and pure chance, would reach."""
    day = played.day
    names = node_names(day.scenario.fleet)
    work = workload(day.scenario, day.seed)
    classes = day.scenario.classes
    rng = random.Random(day.seed)
    by_window: dict[int, list[float]] = defaultdict(list)
    for ask in day.asks:
        if ask.at >= 0 and classes[ask.request_class].effect == "safe":
            name = classes[ask.request_class].name
            by_window[int(ask.at / WINDOW_S)].append(work.work(name, b"%d" % ask.number, "any"))
    found: dict[str, list[dict[str, float]]] = {"placed": [], "chance": []}
    for i in range(int(day.scenario.length_s / WINDOW_S)):
        placed, drawn = dict.fromkeys(names, 0.0), dict.fromkeys(names, 0.0)
        for one in sorted(by_window[i], reverse=True):
            placed[min(names, key=placed.__getitem__)] += one
            drawn[rng.choice(names)] += one
        for which, loads in (("placed", placed), ("chance", drawn)):
            busiest, idlest = over_mean(loads, names)
            found[which].append({"busiest": busiest, "idlest": idlest})
    return found


def plotted(results: dict[str, dict[str, Any]], path: Path) -> None:
    """The picture."""
    mpl.use("svg")
    mpl.rcParams.update({"svg.hashsalt": "holdgw", "svg.fonttype": "none", "font.size": 9})
    from matplotlib import pyplot as plt

    figure, axes = plt.subplots(1, len(results), figsize=(4.5 * len(results), 3.2), sharey=True)
    styles = {"reports alone": "C3", "picture": "C0", "placed": "0.5", "chance": "0.75"}
    for ax, (day, lines) in zip(axes, results.items(), strict=True):
        for name, rows in lines.items():
            at = [i * WINDOW_S for i in range(len(rows))]
            for which, dash in (("busiest", "-"), ("idlest", "--")):
                label = name if which == "busiest" else None
                ax.plot(at, [row[which] for row in rows], dash, color=styles[name], label=label)
        ax.set_title(f"{day}: busiest (solid) and idlest (dashed) over the mean")
        ax.title.set_size(8)
        ax.set_xlabel("s")
    axes[0].set_ylim(0.0, 5.2)
    axes[0].legend(ncol=2, loc="upper right")
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})


def main() -> None:
    """Measure and print."""
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--routers", type=int, default=200)
    words.add_argument("--nodes", type=int, default=100)
    words.add_argument("--rate", type=float, default=600.0)
    words.add_argument("--length", type=float, default=30.0)
    words.add_argument("--seed", type=int, default=1)
    words.add_argument("--json", type=Path)
    words.add_argument("--svg", type=Path)
    told = words.parse_args()
    deploy = ROOT / "deploy/balancer.toml"
    build(deploy)
    results: dict[str, dict[str, Any]] = {}
    for day, trouble in (("quiet", ""), ("hot key", HOT)):
        for name, peers in (("reports alone", "false"), ("picture", "true")):
            text = DAY.format(
                length=told.length, rate=told.rate, nodes=told.nodes, routers=told.routers, peers=peers
            )
            drawn = draw(read_scenario(text + trouble, "spread"), told.seed)

            async def once(drawn: Any = drawn) -> Played:
                return await play(drawn, run_command(deploy), ROOT)

            played = uvloop.run(asyncio.wait_for(once(), 600.0))
            body = make_report(played).body
            results.setdefault(day, {})[name] = rows = measured(played)
            print(
                f"{day}, {name}: service {body['service']}, in aim {body['in_aim']} of {body['asked']}, "
                f"fetches {body['origin_fetches']}, attempts {body['attempts']}, rules {body['rules']}, "
                f"void {body['void'] or 'no'}, lag worst {body['emulator']['worst_ms']} ms",
                flush=True,
            )
            for row in rows:
                print("  " + "  ".join(f"{key} {value:.2f}" for key, value in row.items()), flush=True)
        results[day] |= floors(played)
        for name in ("placed", "chance"):
            worst = max(row["busiest"] for row in results[day][name])
            least = min(row["idlest"] for row in results[day][name])
            print(f"{day}, {name}: busiest {worst:.2f}, idlest {least:.2f}")
    if told.json is not None:
        told.json.write_bytes(orjson.dumps(results, option=orjson.OPT_INDENT_2))
    if told.svg is not None:
        plotted(results, told.svg)


if __name__ == "__main__":
    main()
