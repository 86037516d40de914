"""Simulates each kind of inter-process fault alone, on many seeds: `python -m bench.each_trouble [KINDS]`.

The scenario is laboratory-storm with one to three faults of one kind, in simulated time. A seed fails if one
of the checker's rules (one final answer in time, no effect twice, drains kept, no cold endpoint overloaded)
or of the simulation's invariants is violated. Returns 1 if any seed fails.
"""

from __future__ import annotations

import argparse
import sys
from pathlib import Path
from time import perf_counter

import msgspec

from holdgw.harness.scenario import Storm, load_scenario
from holdgw.simulation.search import search

SCENARIO = Path(__file__).resolve().parent / "scenarios" / "laboratory-storm.toml"
KINDS = (
    "freeze", "slow", "machine_loss", "zone_loss", "lossy_peers", "isolate", "hot_key", "false_report"
)  # fmt: skip


def main() -> int:
    """Run the seeds of each kind and print a table."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seeds", type=int, default=500)
    parser.add_argument("--jobs", type=int, default=8)
    parser.add_argument("kinds", nargs="*")
    args = parser.parse_args()
    base = load_scenario(SCENARIO)
    failed = 0
    print("| trouble | seeds | failed | the first | s |\n| --- | --- | --- | --- | --- |", flush=True)
    for kind in args.kinds or KINDS:
        started = perf_counter()
        scenario = msgspec.structs.replace(base, name=kind, storm=Storm(count=(1, 3), kinds=(kind,)))
        failures = sorted(
            (one.seed, one.fault or one.broken[0].text)
            for one in search(scenario, range(1, args.seeds + 1), args.jobs)
            if one.failed
        )
        failed += len(failures)
        first = f"{failures[0][0]}: {failures[0][1]}" if failures else ""
        elapsed_s = perf_counter() - started
        print(f"| {kind} | {args.seeds} | {len(failures)} | {first} | {elapsed_s:.0f} |", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
