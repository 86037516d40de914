"""Measures a mechanism's gain by paired seeds: `python -m bench.paired SCENARIO [MUTANTS] [--seeds 24]`.

The unmodified router and each mutant (bench/mutants.py) run every seed in simulated time. Printed are, for
each figure, the mean of the unmodified router, the mean with the mutant, and the mean of the differences with
its 95 % interval. `gain`: the interval lies on the unmodified router's side of 0, so the seeds detect the
mutant by this figure.
"""

from __future__ import annotations

import argparse
import multiprocessing
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import numpy as np

from bench.mutants import plant

FIGURE_SIGNS = {"service": 1, "served": 1, "in_aim": 1, "attempts": -1, "fetches": -1, "broken": -1}
"""The figures, with 1 if more is better and -1 if less is.

They are the fraction of worth served, requests served and served within their objective by first attempts of
clients, attempts at nodes and fetches from the store by first attempts of clients, and violations of rules
and invariants.
"""


def figures(scenario: str, seed: int, seconds: float) -> dict[str, float]:
    """Run one seed and return its figures; raises RuntimeError if the run itself fails."""
    from holdgw.harness.report import make_report
    from holdgw.harness.scenario import load_scenario
    from holdgw.harness.schedule import ORIGIN
    from holdgw.harness.scoring import outcome_counts
    from holdgw.simulation.search import play_seed

    loaded = load_scenario(scenario)
    outcome = play_seed(loaded.cut(seconds) if seconds else loaded, seed)
    if outcome.fault or outcome.played is None:
        raise RuntimeError(f"{scenario}, seed {seed}: {outcome.fault}")
    report = make_report(outcome.played)
    counted = outcome_counts(report.outcomes, loaded.classes)
    asked = counted["asked"]
    fetches = sum(one.server == ORIGIN for one in report.attempts)
    return {
        "service": report.service.whole,
        "served": counted["served"] / asked,
        "in_aim": counted["in_aim"] / asked,
        "attempts": (len(report.attempts) - fetches) / asked,
        "fetches": fetches / asked,
        "broken": float(len(outcome.broken)),
    }


def _plant_mutant(mutant: str) -> None:
    if mutant:
        plant(mutant)


def play_seeds(
    mutant: str, scenario: str, seeds: Sequence[int], jobs: int, seconds: float = 0.0
) -> dict[str, np.ndarray]:
    """Return each figure over the seeds, in their order, with a mutant; "": the unmodified router."""
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(jobs, context, _plant_mutant, (mutant,)) as pool:
        rows = list(pool.map(figures, [scenario] * len(seeds), seeds, [seconds] * len(seeds)))
    return {name: np.array([row[name] for row in rows]) for name in FIGURE_SIGNS}


def main() -> None:
    """Run the seeds and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("scenario")
    parser.add_argument("mutants", nargs="*")
    parser.add_argument("--seeds", type=int, default=24)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=8)
    parser.add_argument("--for", dest="seconds", type=float, default=0.0)
    args = parser.parse_args()
    seeds = range(args.first, args.first + args.seeds)
    baseline = play_seeds("", args.scenario, seeds, args.jobs, args.seconds)
    stem = Path(args.scenario).stem
    print("| scenario | mutant | figure | as it is | with the mutant | difference | |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for mutant in args.mutants or [""]:
        with_mutant = (
            play_seeds(mutant, args.scenario, seeds, args.jobs, args.seconds) if mutant else baseline
        )
        for name, sign in FIGURE_SIGNS.items():
            difference = baseline[name] - with_mutant[name]
            error = 1.96 * difference.std(ddof=1) / np.sqrt(len(difference))
            gain = (
                "gain"
                if sign * difference.mean() > error
                else "loss"
                if -sign * difference.mean() > error
                else ""
            )
            means = f"{baseline[name].mean():.4f} | {with_mutant[name].mean():.4f}"
            print(
                f"| {stem} | {mutant} | {name} | {means} | {difference.mean():+.4f} ± {error:.4f} | {gain} |"
            )


if __name__ == "__main__":
    main()
