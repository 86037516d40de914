"""A short soak of the restarts with fixed seeds, and the soak's arguments and verdicts."""

from __future__ import annotations

import argparse
import warnings
from collections import Counter

import pytest

from bench.soak import job_count, play_seeds, seed_range
from bench.soak_plan import draw_plan
from bench.soak_run import SoakResult

SHORT_SEEDS = range(1, 9)


@pytest.mark.processes
@pytest.mark.xdist_group("processes, soak")
def test_routers_keep_the_rules_under_signals_in_series() -> None:
    results = list(play_seeds(SHORT_SEEDS, jobs=2))
    for result in results:
        if result.is_void:
            warnings.warn(
                f"soak seed {result.seed} is void: emulators {result.lateness_s:.3f} s late", stacklevel=1
            )
    assert {result.seed: result.violations for result in results if result.verdict == "broken"} == {}


def test_a_seed_always_draws_the_same_plan() -> None:
    assert draw_plan(7) == draw_plan(7)
    assert len({draw_plan(seed) for seed in range(1, 51)}) == 50


@pytest.mark.parametrize(
    ("lateness_s", "violations", "verdict"),
    [(0.0, (), "passed"), (0.0, ("lost",), "broken"), (0.2, (), "void"), (0.2, ("lost",), "void")],
)
def test_a_run_whose_emulators_were_late_is_void(
    lateness_s: float, violations: tuple[str, ...], verdict: str
) -> None:
    assert SoakResult(1, violations, Counter(), lateness_s, 0.5).verdict == verdict


@pytest.mark.parametrize("text", ["", "5", "7..3", "a..b", "0..10000"])
def test_invalid_seeds_are_rejected(text: str) -> None:
    with pytest.raises(argparse.ArgumentTypeError, match=r"expected A\.\.B"):
        seed_range(text)


@pytest.mark.parametrize("text", ["0", "17", "-1", "two"])
def test_invalid_job_counts_are_rejected(text: str) -> None:
    with pytest.raises(argparse.ArgumentTypeError, match="expected a number"):
        job_count(text)
