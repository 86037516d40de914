"""Faults that break no rule are told by figures, each within its bound as the program stands."""

from __future__ import annotations

import pytest

from bench.figures import FIGURES
from bench.mutants import MUTANTS
from tests.simulation.test_simulation_play import in_a_process

AGGREGATION = (
    "view-age-ignored",
    "counted-twice",
    "no-fallback",
    "sequence-ignored",
    "answers-unwatched",
    "first-view-alone",
)


@pytest.mark.parametrize("name", ["incarnation-ignored", "own-evidence-below", "age-ignored", *AGGREGATION])
def test_a_planted_fault_is_over_its_figures_bound(name: str) -> None:
    which = MUTANTS[name].figure
    figure = FIGURES[which]
    planted = (
        f"from bench.mutants import plant; plant({name!r})\n"
        f"from bench.figures import FIGURES\nprint(FIGURES[{which!r}].measure(1))"
    )
    assert figure.measure(1) <= figure.bound < float(in_a_process(planted, "0"))


def test_every_figure_is_some_mutants() -> None:
    assert {mutant.figure for mutant in MUTANTS.values() if mutant.figure} == set(FIGURES)
