"""Eight routers that know one another, each a process: one lost, three frozen, two parted, one restarted."""

from __future__ import annotations

import asyncio
import re
from pathlib import Path

import pytest
import uvloop

from holdgw.rehearsal.day import draw
from holdgw.rehearsal.report import make_report
from holdgw.rehearsal.scenario import read_scenario
from holdgw.rehearsal.stage import play
from tests.processes.test_faults import DAY, ROOT, ROUTER, kept

pytestmark = [pytest.mark.processes, pytest.mark.xdist_group("processes")]

TROUBLES = """
[peers]
allowed = true
loss = 0.05
duplicates = 0.05
reordered = 0.2
[[trouble]]
kind = "machine_loss"
at = 0.3
routers = ["router07"]
[[trouble]]
kind = "partition"
at = 0.3
seconds = 30
nodes = 0
routers = ["router00"]
peers = ["router01"]
[[trouble]]
kind = "freeze"
at = 1.0
seconds = 1.5
routers = ["router03", "router04", "router05"]
[[trouble]]
kind = "router_restart"
at = 1.5
routers = ["router06"]
"""
RESTARTED = "router06"


def test_a_lost_router_is_gone_for_all_and_nobody_else_is(tmp_path: Path) -> None:
    scenario = read_scenario(DAY.format(length=11.0) + TROUBLES, "test")
    day = draw(scenario, 1)

    async def scene() -> None:
        played = await asyncio.wait_for(play(day, ROUTER, ROOT, keep_logs=tmp_path), 90.0)
        kept(make_report(played))

    uvloop.run(scene())
    said = {
        path.stem: re.findall(r"peers: router (\d+) is (\w+)", path.read_text())
        for path in tmp_path.glob("router*.log")
    }
    assert len(said) == 8
    for name, words in said.items():
        if name in ("router07", RESTARTED):
            continue
        assert ("7", "gone") in words, (name, words)
        assert ("6", "left") in words, (name, words)
        assert ("6", "alive") in words, (name, words)  # without a clock or a disk
    assert not [word for words in said.values() for word in words if word[1] == "gone" and word[0] != "7"]
