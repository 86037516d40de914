"""Routers of several worker processes in simulated time: killed, held up and replaced, and the rules kept."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from holdgw.harness.scenario import load_scenario
from holdgw.policy.slow_start import SlowStart
from holdgw.simulation.search import play_seed, search

STORM = load_scenario(str(Path(__file__).resolve().parent.parent.parent / "bench/scenarios/cores-storm.toml"))


# 67: a killed supervisor that does nearly nothing outlived its kill; the next one found its address in use.
def test_a_corpus_of_seeds_keeps_rules_and_invariants() -> None:
    for outcome in search(STORM, (*range(1, 21), 67), os.cpu_count() or 1):
        assert not outcome.fault, (outcome.seed, outcome.fault)
        assert not outcome.broken, (outcome.seed, outcome.broken[:3])
        assert outcome.served


def test_two_runs_of_a_seed_are_the_same() -> None:
    first, second = play_seed(STORM, 5), play_seed(STORM, 5)
    assert first.digest == second.digest
    assert first.digest != play_seed(STORM, 6).digest


def test_workers_that_all_spend_a_cold_servers_bound_are_told_apart() -> None:
    """The scene has cold servers: without any, the owner of a bound would make no difference."""
    asked = []
    room = SlowStart.has_capacity

    def spy(rule: SlowStart, request: object, endpoint: object, ranking: object, now_ns: int) -> bool:
        found = room(rule, request, endpoint, ranking, now_ns)  # type: ignore[arg-type]
        asked.append((rule._settings.worker_index, endpoint.entry.id, found))  # type: ignore[attr-defined]
        return found

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(SlowStart, "has_capacity", spy)
        play_seed(STORM, 1)
    assert {worker for worker, _, _ in asked} == {0, 1}
