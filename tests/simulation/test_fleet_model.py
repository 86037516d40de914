"""The model of routing policies that share load reports counts every request once."""

from __future__ import annotations

import pytest

from holdgw.simulation.fleet import Fleet

RUN_S = 6.0


@pytest.mark.parametrize(
    ("routers", "servers", "rate", "seed"), [(10, 4, 400.0, 1), (10, 4, 200.0, 2), (40, 20, 400.0, 3)]
)
def test_each_request_is_served_rejected_failed_or_open(
    routers: int, servers: int, rate: float, seed: int
) -> None:
    # Guards against final answers that the model takes for no answer, so that their requests stay open.
    fleet = Fleet(routers, servers, rate, seed)
    fleet.run(RUN_S)
    counts = fleet.request_counts
    answered = counts["served"] + counts["refused"] + counts["failed"]
    assert counts["refused"] > 0
    assert counts["asked"] == answered + fleet.open_count
