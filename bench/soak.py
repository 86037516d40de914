"""Soak of the restarts: `python -m bench.soak [--seeds 1..50] [--jobs 2]`.

Each seed is a run of some seconds: two router processes receive signals in series while clients keep using
their connections, beside broken values, resets, an outage of discovery with a drain at its end, and a crowd
(`soak_plan`). It is judged by lost and repeated requests, attempts at a draining server, exits, exceptions,
time to ready, descriptors and memory. A run whose emulators were late is void, and is played again, alone.
Exit code 0: no seed broke a rule; 1: one did, or stayed void; 2: an argument is invalid.
"""

from __future__ import annotations

import argparse
import re
import sys
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

from bench.soak_plan import draw_plan
from bench.soak_run import SoakResult, play_seed

MAX_JOBS = 16
MAX_SEEDS = 10_000
EXIT_BROKEN = 1
REPEAT = "python -m bench.soak --seeds {seed}..{seed}"


def seed_range(text: str) -> range:
    """Parse `A..B`, both included; raises argparse.ArgumentTypeError."""
    bounds = re.fullmatch(r"(\d+)\.\.(\d+)", text)
    seeds = range(int(bounds[1]), int(bounds[2]) + 1) if bounds else range(0)
    if not 1 <= len(seeds) <= MAX_SEEDS:
        raise argparse.ArgumentTypeError(f"expected A..B with 1 to {MAX_SEEDS} seeds, got {text!r}")
    return seeds


def job_count(text: str) -> int:
    """Parse the number of jobs; raises argparse.ArgumentTypeError."""
    if not text.isdecimal() or not 1 <= int(text) <= MAX_JOBS:
        raise argparse.ArgumentTypeError(f"expected a number from 1 to {MAX_JOBS}, got {text!r}")
    return int(text)


def play_seeds(seeds: range, jobs: int) -> Iterator[SoakResult]:
    """Play all seeds; void ones are played once more at the end, one at a time."""
    void: list[int] = []
    with ProcessPoolExecutor(jobs, mp_context=get_context("spawn"), max_tasks_per_child=1) as pool:
        for result in pool.map(play_seed, seeds):
            if result.is_void:
                void.append(result.seed)
                print(f"seed {result.seed}: void, emulators {result.lateness_s:.3f} s late", file=sys.stderr)
            else:
                yield result
    with ProcessPoolExecutor(1, mp_context=get_context("spawn"), max_tasks_per_child=1) as pool:
        yield from pool.map(play_seed, void)


def table_row(result: SoakResult) -> str:
    """A result as a row of the summary table."""
    plan = draw_plan(result.seed)
    signals = ", ".join(series.value for series in plan.signals)
    counts = result.counts
    numbers = (counts[name] for name in ("requests", "served", "rejected", "failed", "crossed", "killed"))
    cells = [str(result.seed), signals.replace(",", " "), *map(str, numbers)]
    return "| " + " | ".join([*cells, f"{result.slowest_ready_s:.2f}", result.verdict]) + " |"


def main() -> int:
    """Play the seeds, print a table and each violation; returns the exit code."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seeds", type=seed_range, default=range(1, 51), help="A..B, both included")
    parser.add_argument("--jobs", type=job_count, default=2, help="seeds played at a time")
    args = parser.parse_args()
    print(
        "| seed | signals by router | requests | served | rejected | failed | crossed | killed | ready s | |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    verdicts: dict[str, int] = {"passed": 0, "broken": 0, "void": 0}
    for result in play_seeds(args.seeds, args.jobs):
        verdicts[result.verdict] += 1
        print(table_row(result), flush=True)
        for violation in result.violations:
            print(f"seed {result.seed}: {violation}", file=sys.stderr, flush=True)
        if result.violations:
            print(f"seed {result.seed}: repeat with {REPEAT.format(seed=result.seed)}", file=sys.stderr)
    print(", ".join(f"{count} {verdict}" for verdict, count in verdicts.items()))
    return EXIT_BROKEN if verdicts["broken"] or verdicts["void"] else 0


if __name__ == "__main__":
    sys.exit(main())
