"""Measures a router on 1, 2, 4 and 8 cores, compared with as many relay processes, in one run.

`python -m bench.cores [--seconds S] [--counts 1 2 4 8] [--json OUT] [--picture docs/cores.svg]`. Clients and
nodes have processes of their own on the same machine. If the workers leave them fewer than two cores, all
processes share all cores and the table says so: the machine is then the bottleneck, not the router. Each
client expects exactly one answer to a request; an extra or wrong answer or a closed connection counts as bad.
"""

from __future__ import annotations

import argparse
import json
import os
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from bench.router_core import (
    NODES,
    ROOT,
    Children,
    Figures,
    measure,
    serve_discovery,
    serve_nodes,
    serve_relay,
    show,
    start_router,
)
from holdgw.harness.deployment import build

LIMITS = {"memory_mb": 1024, "sockets": 8192}
COLOURS = {"router": "#1b6ca8", "relay": "#8a8a8a"}


def process_and_children(pid: int) -> list[int]:
    """Return the ids of a process and its children."""
    children = Path(f"/proc/{pid}/task/{pid}/children").read_text().split()
    return [pid, *map(int, children)]


def main() -> None:
    """Measure, print and draw."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--rounds", type=int, default=1)
    parser.add_argument("--counts", type=int, nargs="*", default=[1, 2, 4, 8])
    parser.add_argument("--connections", type=int, default=192)
    parser.add_argument("--clients", type=int, default=3, help="processes of clients")
    parser.add_argument("--nodes", type=int, default=2, help="processes of nodes")
    parser.add_argument("--json", type=Path)
    parser.add_argument("--picture", type=Path)
    args = parser.parse_args()
    all_cores = sorted(os.sched_getaffinity(0))
    build(ROOT / "deploy/balancer.toml")
    figures: list[tuple[int, bool, Figures]] = []
    for count in args.counts * args.rounds:
        # Clients and nodes get the cores that the workers leave, if these are enough; else all share all.
        dedicated = len(all_cores) - count >= 2
        other_cores = all_cores[count:] if dedicated else all_cores
        worker_cores = set(all_cores[:count]) if dedicated else set(all_cores)
        figures += [
            (count, dedicated, figures_of_run)
            for figures_of_run in run_round(count, worker_cores, other_cores, args)
        ]
    show([figures_of_run for _, _, figures_of_run in figures], with_ratio=False)
    body = [
        {
            "workers": count,
            "apart": dedicated,
            **{name: getattr(figures_of_run, name) for name in Figures.__slots__},
        }
        for count, dedicated, figures_of_run in figures
    ]
    if args.json is not None:
        args.json.write_text(json.dumps(body, indent=1) + "\n")
    if args.picture is not None:
        draw(body, args.picture)


def run_round(
    count: int, worker_cores: set[int], other_cores: list[int], args: argparse.Namespace
) -> list[Figures]:
    """Measure `count` relays, then a router with `count` workers, under the same clients and nodes."""
    children, relays = Children(), Children()
    client_cores = [other_cores[i % len(other_cores)] for i in range(args.clients)]
    results: list[Figures] = []
    router = None
    try:
        node_addresses = []
        for i in range(args.nodes):
            core = other_cores[-1 - i % len(other_cores)]
            node_addresses += [(h, p) for h, p in children.start(serve_nodes, NODES // args.nodes, {core})]
        pid, target = relays.start(serve_relay, node_addresses, worker_cores)
        pids = [
            pid,
            *(relays.start(serve_relay, node_addresses, worker_cores, target)[0] for _ in range(count - 1)),
        ]
        results.append(
            measure(
                f"relay x{count}", "full", pids, target, args.connections, 0.0, args.seconds, client_cores
            )
        )
        relays.kill()
        discovery, known = children.start(serve_discovery, node_addresses, {other_cores[-1]})
        with tempfile.TemporaryDirectory() as folder:
            run = f"PYTHONPATH=.native:. exec {sys.executable} -P -m holdgw run --cores {count}"
            router, address = start_router(Path(folder), discovery, known, worker_cores, run, LIMITS)
            time.sleep(1.0)  # until every worker serves and has its limit shares
            pids = process_and_children(router.pid)
            assert len(pids) == count + 1, pids
            what = f"router x{count}"
            full = measure(what, "full", pids, address, args.connections, 0.0, args.seconds, client_cores)
            rate = full.per_s / 2
            half = measure(what, "half", pids, address, args.connections, rate, args.seconds, client_cores)
            results += [full, half]
            assert process_and_children(router.pid) == pids, "a worker died"
    finally:
        if router is not None:
            router.terminate()
            router.wait()
        relays.kill()
        children.kill()
    return results


def draw(body: list[dict[str, Any]], path: Path) -> None:
    """Draw throughput and latency over the number of workers."""
    import matplotlib as mpl

    mpl.use("svg")
    mpl.rcParams["svg.hashsalt"] = "holdgw"
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(10, 4))
    counts = sorted({one["workers"] for one in body})
    for what, colour in COLOURS.items():
        rates = [
            max(o["per_s"] for o in body if o["what"] == f"{what} x{n}" and o["load"] == "full")
            for n in counts
        ]
        left.plot(counts, [rate / 1000 for rate in rates], "o-", color=colour, label=what)
    first = max(o["per_s"] for o in body if o["what"] == "router x1" and o["load"] == "full")
    left.plot(
        counts, [first / 1000 * n for n in counts], ":", color=COLOURS["router"], label="router, in line"
    )
    for name, style in (("p50_ms", "-"), ("p99_ms", "--"), ("p999_ms", ":")):
        values = [
            min(o[name] for o in body if o["what"] == f"router x{n}" and o["load"] == "half") for n in counts
        ]
        right.plot(counts, values, f"o{style}", color=COLOURS["router"], label=name.removesuffix("_ms"))
    shared = [n for n in counts if not all(o["apart"] for o in body if o["workers"] == n)]
    for axis in (left, right):
        axis.set_xlabel("workers")
        axis.set_xticks(counts)
        axis.set_ylim(bottom=0)
        axis.grid(alpha=0.3)
        if shared:
            axis.axvspan(
                min(shared) - 0.5, max(shared) + 0.5, color="#f3e3c3", label="cores shared with clients"
            )
        axis.legend(frameon=False)
    left.set_ylabel("thousand requests a second, full load")
    right.set_ylabel("ms, half load")
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})


if __name__ == "__main__":
    main()
