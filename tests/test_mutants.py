"""Planted faults of shutdown and of the cold servers' budget: each is detected by the test that it names."""

from __future__ import annotations

import pytest

from bench.mutants import MUTANTS, _run_mutant_process


@pytest.mark.parametrize("name", [name for name, mutant in MUTANTS.items() if mutant.test])
def test_a_planted_fault_is_detected_by_its_test(name: str) -> None:
    _, line, _ = _run_mutant_process(name, 1)
    assert line == f"1\t{MUTANTS[name].test} fails"
