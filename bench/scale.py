"""Measures the control traffic of many routers on one machine: `python -m bench.scale [--sizes 50 760]`.

Hollow routers run the real control code on a synthetic request stream (934 requests a second, 8,192 slots, 96
servers) and exchange datagrams over real sockets through the harness's relay. Where the clock need not be
slowed, real router processes run beside them. docs/scale.md explains the figures and what makes a run void.

Exit code 0: all runs are valid; 1: some are void; 2: refused, with the reason in one line; 130: interrupted.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import os
import resource
import signal
import subprocess
import sys
from collections.abc import Callable, Sequence
from datetime import UTC, datetime
from pathlib import Path
from statistics import median
from typing import Any

import orjson
import uvloop
from rich.console import Console
from rich.status import Status

from bench import scale_plan
from bench.scale_child import ChildError
from bench.scale_plan import Machine, Needs
from bench.scale_report import draw_figure, to_plain
from bench.scale_rig import Participants, Program, Rig, ScenarioResult
from holdgw.harness.deployment import build, run_command
from holdgw.router.process import python_command

ROOT = Path(__file__).resolve().parent.parent
DEPLOY = ROOT / "deploy/balancer.toml"
DEFAULT_REAL_ROUTERS = 3
CALIBRATION_ROUTERS = 40  # hollow routers; the clock is not slowed
COST_GROWTH_FACTOR = 1.5  # CPU time of a router in a large membership, over that of one in the calibration
REFUSED, VOID, INTERRUPTED = 2, 1, 130
PACE_KEYS = ("pace_us", "best_pace_us")


class RefusedError(Exception):
    """This machine can't run what was asked for; the message is one line."""


def inspect_machine() -> Machine:
    """Return the cores, memory and descriptors that this process may use."""
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    return Machine(len(os.sched_getaffinity(0)), memory, resource.getrlimit(resource.RLIMIT_NOFILE)[0])


def source_commit() -> str:
    """Return the last commit that changed holdgw, with "+changes" if the working tree differs from it."""

    def git(*words: str) -> str:
        completed = subprocess.run(["git", *words], cwd=ROOT, capture_output=True, text=True, check=False)
        return completed.stdout.strip()

    dirty = "+changes" * bool(git("status", "--porcelain", "holdgw"))
    return git("log", "-1", "--format=%h", "--", "holdgw") + dirty


def parse_arguments(words: Sequence[str] | None = None) -> argparse.Namespace:
    """Parse the command line."""
    style = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=style)
    parser.add_argument("--sizes", type=int, nargs="*", default=list(scale_plan.SIZES))
    parser.add_argument("--plays", nargs="+", choices=scale_plan.SCENARIOS, default=["deaths", "cut"])
    parser.add_argument(
        "--real", type=int, default=DEFAULT_REAL_ROUTERS, help="real routers where the clock is not slowed"
    )
    parser.add_argument(
        "--slow", type=float, default=0.0, help="factor by which the clock is slowed; 0: calibrated"
    )
    parser.add_argument(
        "--workers", type=int, default=0, help="processes of hollow routers; 0: from the number of cores"
    )
    parser.add_argument("--aggregators", type=int, default=0, help="dedicated aggregators of load reports")
    parser.add_argument("--loss", type=float, default=0.01, help="fraction of datagrams that is lost")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--sources", action="store_true", help="run the sources without a build")
    parser.add_argument("--json", type=Path, help="file that runs are appended to")
    parser.add_argument("--name", default="", help="label of the runs in the figure")
    parser.add_argument("--svg", type=Path, help="file for a figure of the runs in --json and --beside")
    parser.add_argument(
        "--beside", type=Path, nargs="*", default=[], help="more files of runs for the figure"
    )
    return parser.parse_args(words)


class ScaleBenchmark:
    """Runs every size that was asked for, one after the other."""

    def __init__(self, args: argparse.Namespace, program: Program, status: Callable[[str], None]) -> None:
        self.args, self.program, self.status = args, program, status
        self.machine = inspect_machine()
        self.rig: Rig | None = None
        self.cost = 0.0

    def check_sizes(self) -> None:
        """Raise RefusedError if this machine can't run one of the sizes, before any process is started."""
        for size in self.args.sizes:
            if size < 2:
                raise RefusedError(f"{size} routers requested, the minimum is 2")
            workers = self.workers(size)
            needed = scale_plan.needs(size + self.args.aggregators, self.args.real, workers, 0.0)
            slow = self.args.slow or 1.0
            if why := scale_plan.refusal(self.machine, needed, slow, 0):
                raise RefusedError(f"{size} routers: {why}")

    def workers(self, hollow: int) -> int:
        """Return the number of processes that `hollow` hollow routers are spread over."""
        return min(self.args.workers or hollow, scale_plan.worker_count(self.machine, hollow))

    async def run_scenario(
        self, participants: Participants, scenario_name: str, slow: float
    ) -> ScenarioResult:
        """Run one scenario, until all of its processes have ended."""
        scenario = scale_plan.build_scenario(
            scenario_name, participants.size, participants.real, participants.aggregators
        )
        rig = self.rig = Rig(participants, scenario, self.program, self.args.seed, self.args.loss, slow)
        description = f"{participants.size} routers, {scenario_name}, clock slowed by {slow:g}"

        def progress(at: float) -> None:
            self.status(f"{description}: {at:.0f} of {scenario.length} s")

        try:
            self.status(f"{description}: starting")
            await rig.start(self.workers(participants.members - participants.real))
            return await rig.run(progress)
        finally:
            await rig.end()

    async def calibrate(self) -> None:
        """Measure the share of a core that a hollow router takes here, including the rig's overhead."""
        if not self.cost:
            result = await self.run_scenario(Participants(CALIBRATION_ROUTERS), "calm", 1.0)
            self.cost = result.rig["cpu_percent_whole"] / 100 * COST_GROWTH_FACTOR

    def needs(self, size: int, real: int) -> Needs:
        """Return the resources that a run of `size` routers needs."""
        return scale_plan.needs(size, real, self.workers(size), self.cost)

    async def measure_size(self, size: int) -> dict[str, Any]:
        """Run all scenarios at one size; real routers take part if the clock need not be slowed.

        Raises RefusedError if this machine can't run the size.
        """
        slow = self.args.slow
        if not slow:
            await self.calibrate()
            slow = scale_plan.slow_factor(self.needs(size, 0), self.workers(size))
        real = self.args.real if slow == 1.0 else 0
        if why := scale_plan.refusal(self.machine, self.needs(size, real), slow, real):
            raise RefusedError(f"{size} routers: {why}")
        run: dict[str, Any] = {
            "size": size, "windows": {}, "learning": {}, "rig": {}, "void": [], "real": None,
        }  # fmt: skip
        aggregators = self.args.aggregators
        for name in self.args.plays:
            result = await self.run_scenario(Participants(size, real, aggregators=aggregators), name, slow)
            run["windows"] |= to_plain(result.figures["windows"])
            run["learning"] |= to_plain(result.figures["learning"])
            run["rig"][name] = result.rig
            run["void"] += [f"{name}: {why}" for why in result.void]
            if real and run["real"] is None:
                standalone = await self.run_scenario(Participants(size - real, standalone=real), "calm", slow)
                run["void"] += [f"without peers: {why}" for why in standalone.void]
                run["real"] = real_figures(result, standalone, size)
        return run


def real_figures(in_membership: ScenarioResult, without_peers: ScenarioResult, size: int) -> dict[str, Any]:
    """Return the medians over the real routers in the calm window.

    The processor time and memory of control are the differences between routers with peers and routers
    without.
    """
    with_peers, without = (
        median(router.cpu for router in result.real) * 100 for result in (in_membership, without_peers)
    )
    memory = median(router.memory for router in in_membership.real) - median(
        router.memory for router in without_peers.real
    )
    return {
        "routers": len(in_membership.real),
        "cpu_percent": round(with_peers - without, 3),
        "cpu_percent_with_peers": round(with_peers, 3),
        "cpu_percent_without": round(without, 3),
        "memory_bytes": round(memory),
        "bytes_both": round(median(in_membership.real_bytes), 1),
        "coverage": round(
            100 * (1 + median(router.routers_in_view for router in in_membership.real)) / size, 1
        ),
        "light_hollow": in_membership.light,
        "alive_least": min(router.alive for router in in_membership.real),
    }


def format_run(run: dict[str, Any]) -> str:
    """Format a run's figures as a few lines of text."""
    rigs = run["rig"].values()
    worst_figures = [max(rig[name] for rig in rigs) for name in ("slow", "lag_p99_ms", "lag_worst_ms")]
    lines = [
        "{} routers, clock slowed by {:g}, lag p99 {:.1f} ms, worst {:.1f}: ".format(
            run["size"], *worst_figures
        )
        + "pace {:.0f} of {:.0f} us, ".format(*(max(rig[name] for rig in rigs) for name in PACE_KEYS))
        + ("VOID: " + "; ".join(run["void"]) if run["void"] else "holds")
    ]
    lines += [format_window(name, figures) for name, figures in run["windows"].items()]
    for name, times in run["learning"].items():
        lines.append(
            f"  {name}: learnt by the first after {times['first_median']} s, by all {times['all_median']} s "
            f"(worst {times['all_worst']}, {times['unlearnt']} of {times['deaths']} not by all)"
        )
    if run["real"]:
        lines.append(f"  real: {run['real']}")
    return "\n".join(lines)


def format_window(name: str, figures: dict[str, Any]) -> str:
    """Format a window's figures as one line of text."""
    cpu, traffic, view = figures["cpu_percent"], figures["bytes_both"], figures["view"]
    worst_label = "worst second, p95:"
    return (
        f"  {name}: control {cpu['mean']['median']:.2f} % ({worst_label} {cpu['worst']['p95']:.2f}), "
        f"{traffic['mean']['median']:.0f} bytes a second ({worst_label} {traffic['worst']['p95']:.0f}), "
        f"age {view['given_age']['median']:.2f} s (p95 {view['given_age']['p95']:.2f}; worst second "
        f"{view['worst_age']['median']:.2f}, p95 {view['worst_age']['p95']:.2f}), before the next view "
        f"{view['held_age']['median']:.2f} (p95 {view['held_age']['p95']:.2f}), "
        f"coverage {view['coverage']['median']:.0%} (least {view['coverage']['least']:.0%})"
    )


def load_results(path: Path | None) -> dict[str, Any]:
    """Return the results in a file; an empty set of runs if there is none."""
    if path is not None and path.exists():
        results: dict[str, Any] = orjson.loads(path.read_bytes())
        return results
    return {"runs": []}


def save_run(args: argparse.Namespace, run: dict[str, Any]) -> None:
    """Append a run to the results file."""
    if args.json is None:
        return
    body = load_results(args.json)
    body["name"] = args.name or body.get("name", "")
    body["runs"].append(run)
    args.json.parent.mkdir(parents=True, exist_ok=True)
    args.json.write_bytes(orjson.dumps(body, option=orjson.OPT_INDENT_2) + b"\n")


def valid_runs(body: dict[str, Any]) -> list[dict[str, Any]]:
    """Merge the windows of all valid runs by size, in rising order; of a repeated window the latest stays."""
    by_size: dict[int, dict[str, Any]] = {}
    for run in body["runs"]:
        if run["void"]:
            continue
        merged = by_size.setdefault(run["size"], {"size": run["size"], "windows": {}, "real": None})
        merged["windows"] = merged["windows"] | run["windows"]
        merged["real"] = run["real"] or merged["real"]
    return [by_size[size] for size in sorted(by_size)]


def draw_results(args: argparse.Namespace) -> None:
    """Draw the runs of all results files into one figure."""
    bodies = [load_results(path) for path in (*args.beside, args.json) if path is not None]
    draw_figure({body.get("name") or "runs": valid_runs(body) for body in bodies}, args.svg)


async def measure(args: argparse.Namespace, program: Program, status: Status) -> int:
    """Measure all sizes and return the exit code. SIGINT and SIGTERM end every process that was started."""
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    scale = ScaleBenchmark(args, program, status.update)
    scale.check_sizes()
    code = 0
    for size in args.sizes:
        run = await scale.measure_size(size)
        run |= {
            "commit": source_commit(),
            "at": datetime.now(UTC).isoformat(timespec="seconds"),
            "machine": to_plain(scale.machine),
            "loss": args.loss,
            "aggregators": args.aggregators,
            "seed": args.seed,
            "load_average": os.getloadavg()[0],
        }
        print(format_run(run), flush=True)
        save_run(args, run)
        code = VOID if run["void"] else code
    return code


def main() -> int:
    """Measure, print and draw; returns the exit code."""
    args = parse_arguments()
    if args.sources:
        program = Program("exec " + " ".join(python_command("holdgw.router")), ROOT, str(ROOT))
    else:
        program = Program(run_command(DEPLOY), ROOT, f"{ROOT / '.native'}:{ROOT}")
    code = 0
    try:
        with Console(stderr=True).status("scale") as status:
            if args.sizes and not args.sources:
                build(DEPLOY)
            code = uvloop.run(measure(args, program, status))
    except ChildError as error:
        print(f"scale: failed: {error}", file=sys.stderr)
        return VOID
    except RefusedError as error:
        print(f"scale: refused: {error}", file=sys.stderr)
        return REFUSED
    except (asyncio.CancelledError, KeyboardInterrupt):
        print("scale: interrupted; every process that it started has ended", file=sys.stderr)
        return INTERRUPTED
    if args.svg is not None:
        with contextlib.suppress(FileNotFoundError):
            draw_results(args)
    return code


if __name__ == "__main__":
    sys.exit(main())
