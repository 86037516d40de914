"""Each trouble between processes by itself, over many seeds: `python -m bench.each_trouble [KINDS]`.

The day is laboratory-storm's, its storm of one kind alone, one to three of them; in simulated time, by the
four rules and the simulation's invariants. Returns 1 if any seed fails.
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
    """Play and print."""
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--seeds", type=int, default=500)
    words.add_argument("--jobs", type=int, default=8)
    words.add_argument("kinds", nargs="*")
    told = words.parse_args()
    day = load_scenario(SCENARIO)
    failed = 0
    print("| trouble | seeds | failed | the first | s |\n| --- | --- | --- | --- | --- |", flush=True)
    for kind in told.kinds or KINDS:
        begun = perf_counter()
        scenario = msgspec.structs.replace(day, name=kind, storm=Storm(count=(1, 3), kinds=(kind,)))
        found = sorted(
            (one.seed, one.fault or one.broken[0].text)
            for one in search(scenario, range(1, told.seeds + 1), told.jobs)
            if one.failed
        )
        failed += len(found)
        first = f"{found[0][0]}: {found[0][1]}" if found else ""
        took = perf_counter() - begun
        print(f"| {kind} | {told.seeds} | {len(found)} | {first} | {took:.0f} |", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
