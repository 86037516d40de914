"""Figures that detect faults which break no rule; the unmodified program stays within their bounds."""

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
def test_a_planted_fault_exceeds_the_bound_of_its_figure(name: str) -> None:
    figure_name = MUTANTS[name].figure
    figure = FIGURES[figure_name]
    planted = (
        f"from bench.mutants import plant; plant({name!r})\n"
        f"from bench.figures import FIGURES\nprint(FIGURES[{figure_name!r}].measure(1))"
    )
    assert figure.measure(1) <= figure.bound < float(in_a_process(planted, "0"))


def test_every_figure_belongs_to_a_mutant() -> None:
    assert {mutant.figure for mutant in MUTANTS.values() if mutant.figure} == set(FIGURES)
