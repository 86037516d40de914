"""What a mechanism gains, by paired seeds: `python -m bench.paired SCENARIO [MUTANTS] [--seeds 24]`.

Every seed is played by the router as it is and by each mutant (bench/mutants.py), in simulated time. Printed
are, for each figure, the mean as it is, the mean with the mutant, and the mean of the differences with its
95 % interval. `gain`: the interval lies on the router's side of 0, so the seeds find the mutant by it.
"""

from __future__ import annotations

import argparse
import multiprocessing
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import numpy as np

from bench.mutants import plant

BETTER = {"service": 1, "served": 1, "in_aim": 1, "attempts": -1, "fetches": -1, "broken": -1}
"""The figures, and whether more is better: worth served of all, tries served and in their aim by first tries,
attempts at nodes and fetches from the store by first tries, rules and invariants broken."""


def figures(scenario: str, seed: int, seconds: float) -> dict[str, float]:
    """Play one seed; its figures."""
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


def _planted(mutant: str) -> None:
    if mutant:
        plant(mutant)


def play(
    mutant: str, scenario: str, seeds: Sequence[int], jobs: int, seconds: float = 0.0
) -> dict[str, np.ndarray]:
    """Each figure over the seeds, in their order, with the mutant planted; "": the router as it is."""
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(jobs, context, _planted, (mutant,)) as pool:
        rows = list(pool.map(figures, [scenario] * len(seeds), seeds, [seconds] * len(seeds)))
    return {name: np.array([row[name] for row in rows]) for name in BETTER}


def main() -> None:
    """Play and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("scenario")
    parser.add_argument("mutants", nargs="*")
    parser.add_argument("--seeds", type=int, default=24)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=8)
    parser.add_argument("--for", dest="seconds", type=float, default=0.0)
    told = parser.parse_args()
    seeds = range(told.first, told.first + told.seeds)
    ours = play("", told.scenario, seeds, told.jobs, told.seconds)
    where = Path(told.scenario).stem
    print("| scenario | mutant | figure | as it is | with the mutant | difference | |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for mutant in told.mutants or [""]:
        other = play(mutant, told.scenario, seeds, told.jobs, told.seconds) if mutant else ours
        for name, sign in BETTER.items():
            apart = ours[name] - other[name]
            error = 1.96 * apart.std(ddof=1) / np.sqrt(len(apart))
            gain = "gain" if sign * apart.mean() > error else "loss" if -sign * apart.mean() > error else ""
            means = f"{ours[name].mean():.4f} | {other[name].mean():.4f}"
            print(f"| {where} | {mutant} | {name} | {means} | {apart.mean():+.4f} ± {error:.4f} | {gain} |")


if __name__ == "__main__":
    main()
