"""Routers with several worker processes in simulated time: workers are killed, stopped and replaced."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from holdgw.harness.scenario import load_scenario
from holdgw.policy.slow_start import SlowStart
from holdgw.simulation.search import play_seed, search

STORM = load_scenario(str(Path(__file__).resolve().parent.parent.parent / "bench/scenarios/cores-storm.toml"))


# Seed 67: a killed supervisor that ran few callbacks outlived its kill; the next found the address in use.
def test_a_corpus_of_seeds_keeps_rules_and_invariants() -> None:
    for outcome in search(STORM, (*range(1, 21), 67), os.cpu_count() or 1):
        assert not outcome.fault, (outcome.seed, outcome.fault)
        assert not outcome.broken, (outcome.seed, outcome.broken[:3])
        assert outcome.served


def test_two_runs_of_a_seed_are_the_same() -> None:
    first, second = play_seed(STORM, 5), play_seed(STORM, 5)
    assert first.digest == second.digest
    assert first.digest != play_seed(STORM, 6).digest


def test_each_worker_spends_its_own_bound_of_a_cold_server() -> None:
    """The scenario has cold servers: without any, it would not matter which worker owns a bound."""
    calls = []
    has_capacity = SlowStart.has_capacity

    def spy(rule: SlowStart, request: object, endpoint: object, ranking: object, now_ns: int) -> bool:
        result = has_capacity(rule, request, endpoint, ranking, now_ns)  # type: ignore[arg-type]
        calls.append((rule._settings.worker_index, endpoint.entry.id, result))  # type: ignore[attr-defined]
        return result

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(SlowStart, "has_capacity", spy)
        play_seed(STORM, 1)
    assert {worker for worker, _, _ in calls} == {0, 1}
