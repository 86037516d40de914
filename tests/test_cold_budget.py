"""The requests that all processes together send a server that has just started.

With N requests allowed to it per window, the sum is at most N + 2 * sqrt(N) + 2.
"""

from __future__ import annotations

import pytest

from bench.cold_budget import CASES, Case, ColdStartRun

NAMES = [
    "with all processes, 1",
    "one starts, 4",
    "a tenth at a time, 20",
    "old and new together, 30",
    "a hot key, 30",
    "a storm of time-outs, 30",
    "a storm of time-outs, 200",
    "slow and few, 30",
]


@pytest.mark.parametrize("case", [case for case in CASES if case.name in NAMES], ids=lambda case: case.name)
def test_all_processes_together_stay_within_the_budget_of_a_cold_server(case: Case) -> None:
    run = ColdStartRun(case, seed=1)
    assert run.run() <= 2.0
    assert len(run.sent) > 3  # the server received requests
