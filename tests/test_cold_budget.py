"""What all processes together send a server that has just started: N + 2 x root of N + 2 a window at most."""

from __future__ import annotations

import pytest

from bench.cold_budget import CASES, Case, ColdStartRun

TOLD = [
    "with all processes, 1",
    "one starts, 4",
    "a tenth at a time, 20",
    "old and new together, 30",
    "a hot key, 30",
    "a storm of time-outs, 30",
    "a storm of time-outs, 200",
    "slow and few, 30",
]


@pytest.mark.parametrize("case", [case for case in CASES if case.name in TOLD], ids=lambda case: case.name)
def test_the_sum_of_all_processes_stays_within_what_a_cold_server_bears(case: Case) -> None:
    play = ColdStartRun(case, seed=1)
    assert play.run() <= 2.0
    assert len(play.sent) > 3  # it is sent something
