"""Eight routers and two machines set aside to aggregate, each a process: killed, frozen, parted, all gone."""

from __future__ import annotations

import asyncio
import re
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
import uvloop

from holdgw.harness.orchestrator import Orchestrator
from holdgw.harness.report import make_report
from holdgw.harness.scenario import read_scenario
from holdgw.harness.schedule import PEERS
from holdgw.harness.schedule_drawing import draw_schedule
from tests.processes.test_faults import DAY, ROOT, ROUTER, kept
from tests.processes.test_peers import figures

pytestmark = [pytest.mark.processes, pytest.mark.xdist_group("processes, peers")]

ROUTERS = 8
SERVERS = 'lb_picture{of="servers"}'
LIMIT_S = 60.0
Figures = dict[str, float]
Seen = dict[str, Figures]
Scene = Callable[["Table"], Awaitable[None]]


class Table:
    """A day that runs, its figures, and its aggregators."""

    def __init__(self, stage: Orchestrator) -> None:
        self.stage = stage
        self.first, self.second = stage.aggregators.values()

    async def until(self, second: float) -> None:
        """Wait until this second of the day."""
        await asyncio.sleep(max(self.stage.begun + second - self.stage.clock(), 0.0))

    async def doors(self) -> Seen:
        """Every router's figures now."""
        routers = list(self.stage.routers.values())
        found = await asyncio.gather(*(figures(router.ops) for router in routers))
        return {router.name: told for router, told in zip(routers, found, strict=True)}

    async def soon(self, holds: Callable[[Seen], bool]) -> Seen:
        """Every router's figures, once they are like that; an error, with the last, if they never are."""
        seen: Seen = {}
        for _ in range(int(LIMIT_S / 0.25)):
            seen = await self.doors()
            if holds(seen):
                return seen
            await asyncio.sleep(0.25)
        raise AssertionError(seen)


def view(found: Figures, of: str) -> float:
    return found[f'lb_view{{of="{of}"}}']


def all_covered(seen: Seen) -> bool:
    """Every router goes by views that rest on all."""
    return all(view(one, "reporters") == ROUTERS and not view(one, "fallback") for one in seen.values())


def play(scene: Scene, length: float, logs: Path, peers: str = "") -> None:
    """Play a day through which the scene goes; the rules hold, whatever the scene does."""
    text = DAY.format(length=length) + f"[peers]\nallowed = true\naggregators = 2\n{peers}"

    async def main() -> None:
        stage = Orchestrator(draw_schedule(read_scenario(text, "test"), 1), ROUTER, ROOT, logs)
        playing = asyncio.ensure_future(stage.play())
        while not stage.begun and not playing.done():
            await asyncio.sleep(0.05)
        acting = asyncio.ensure_future(scene(Table(stage)))
        await asyncio.wait((playing, acting), return_when=asyncio.FIRST_COMPLETED)
        await asyncio.wait_for(acting, LIMIT_S)
        kept(make_report(await asyncio.wait_for(playing, 90.0)))

    uvloop.run(main())


def changes(logs: Path) -> dict[str, list[str]]:
    """By router, what it logged of its fallback."""
    return {
        path.stem: re.findall(r"peers: fallback to gossip change=(\w+)", path.read_text())
        for path in logs.glob("router*.log")
    }


def test_one_aggregator_killed_leaves_every_router_a_view_that_rests_on_all(tmp_path: Path) -> None:
    async def scene(table: Table) -> None:
        await table.soon(
            lambda seen: (
                all_covered(seen) and all(one['lb_picture{of="servers"}'] == 9 for one in seen.values())
            )
        )
        table.first.send_signal(signal.SIGKILL)
        await table.until(8.0)
        for name, one in (await table.soon(all_covered)).items():
            assert view(one, "fallbacks") == 0, name
            assert view(one, "age_ms") < 5000, name

    play(scene, 9.0, tmp_path, "loss = 0.02\nduplicates = 0.05\nreordered = 0.2\n")
    assert changes(tmp_path) == {f"router0{i}": [] for i in range(ROUTERS)}


def test_an_aggregator_frozen_for_five_seconds_wakes_with_nothing_old(tmp_path: Path) -> None:
    async def scene(table: Table) -> None:
        await table.soon(all_covered)
        table.first.send_signal(signal.SIGSTOP)
        await asyncio.sleep(5.0)
        table.first.send_signal(signal.SIGCONT)
        for name, one in (await table.soon(all_covered)).items():
            assert view(one, "fallbacks") == 0, name
            assert view(one, "age_ms") < 5000, name
        woken = await figures(table.first.ops)
        assert view(woken, "halts") >= 1
        # What routers told it meanwhile was of unknown age when it was read.
        assert woken['lb_peers_dropped{why="stalled"}'] >= 1, woken

    play(scene, 12.0, tmp_path)


def test_with_all_aggregators_gone_routers_fall_back_and_come_back_with_the_first(tmp_path: Path) -> None:
    async def scene(table: Table) -> None:
        await table.soon(all_covered)
        table.first.send_signal(signal.SIGKILL)
        table.second.send_signal(signal.SIGKILL)
        seen = await table.soon(lambda seen: all(view(one, "fallback") for one in seen.values()))
        for name, one in seen.items():
            assert view(one, "reporters") == 0, name
        alone = await table.soon(
            lambda seen: all(one['lb_picture{of="routers"}'] >= 1 for one in seen.values())
        )
        assert all(one['lb_picture{of="servers"}'] > 0 for one in alone.values())
        await table.stage.start_aggregator(table.second)
        for name, one in (await table.soon(all_covered)).items():
            assert view(one, "fallbacks") == 1, name

    play(scene, 16.0, tmp_path)
    assert changes(tmp_path) == {f"router0{i}": ["entered", "left"] for i in range(ROUTERS)}


def test_two_aggregators_that_do_not_see_each_other_count_nothing_twice(tmp_path: Path) -> None:
    async def scene(table: Table) -> None:
        await table.soon(all_covered)
        parted = {"a": ["aggregator00"], "b": ["aggregator01"], "way": "both", "seconds": 60.0}
        await table.stage.relay.ask("partition", PEERS, parted)
        await asyncio.sleep(4.0)
        for name, one in (await table.soon(all_covered)).items():
            assert view(one, "reporters") == ROUTERS, name
            # 120 requests a second, counted over some 3.6 s: not twice that.
            assert one['lb_picture{of="requests"}'] < 600, (name, one)
        # Then each sees but half of the routers: both views are thin, and still no router is without one.
        half = {"a": ["aggregator00"], "b": [f"router0{i}" for i in range(4)], "way": "both", "seconds": 60.0}
        await table.stage.relay.ask("partition", PEERS, half)
        other = {**half, "a": ["aggregator01"], "b": [f"router0{i}" for i in range(4, 8)]}
        await table.stage.relay.ask("partition", PEERS, other)
        seen = await table.soon(lambda seen: all(view(one, "reporters") == 4 for one in seen.values()))
        assert not any(view(one, "fallbacks") for one in seen.values()), seen

    play(scene, 16.0, tmp_path)
    assert not any(changes(tmp_path).values())
