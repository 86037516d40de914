"""The measurement of one router's membership and load reports: the counts in its rows, not the times."""

from __future__ import annotations

import pytest

from bench.peer_cost import PARTS, Load, make_load, measure


@pytest.fixture(scope="module")
def load() -> Load:
    return make_load(24)


def test_a_row_holds_every_part_and_the_protocols_bytes(load: Load) -> None:
    (row,) = measure(load, 20, 100.0, 15.0, 1)
    assert row["routers"] == 20
    assert set(row["cpu_ms_per_s"]) == set(PARTS)
    assert row["cpu_ms_per_s_total"] == pytest.approx(sum(row["cpu_ms_per_s"].values()), abs=0.001)
    assert row["routers_in_view"] == 19  # in 0.3 s each router sends to four others
    assert 2500 < row["bytes_per_s"]["sent"] < 3700
    assert 2500 < row["bytes_per_s"]["received"] < 4700
    assert row["tables"]["servers heard of"] == 24
    assert 20_000 < row["memory_bytes"] < 2_000_000
