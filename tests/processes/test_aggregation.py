"""Eight routers and two dedicated aggregators as processes: killed, frozen, partitioned, all lost."""

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
from tests.processes.test_faults import ROOT, ROUTER, SCENARIO, assert_rules_hold
from tests.processes.test_peers import fetch_metrics

pytestmark = [pytest.mark.processes, pytest.mark.xdist_group("processes, peers")]

ROUTERS = 8
SERVERS = 'lb_picture{of="servers"}'
LIMIT_S = 60.0
Metrics = dict[str, float]
MetricsByRouter = dict[str, Metrics]
Steps = Callable[["ScenarioRun"], Awaitable[None]]


class ScenarioRun:
    """A running scenario, with access to its routers' metrics and its two aggregators."""

    def __init__(self, orchestrator: Orchestrator) -> None:
        self.orchestrator = orchestrator
        self.first, self.second = orchestrator.aggregators.values()

    async def wait_until(self, second: float) -> None:
        """Wait until this second of the run."""
        await asyncio.sleep(max(self.orchestrator.begun + second - self.orchestrator.clock(), 0.0))

    async def router_metrics(self) -> MetricsByRouter:
        """Return the current metrics of every router."""
        routers = list(self.orchestrator.routers.values())
        all_metrics = await asyncio.gather(*(fetch_metrics(router.ops) for router in routers))
        return {router.name: metrics for router, metrics in zip(routers, all_metrics, strict=True)}

    async def wait_for_metrics(self, condition: Callable[[MetricsByRouter], bool]) -> MetricsByRouter:
        """Return every router's metrics once the condition holds; fail with the last ones after LIMIT_S."""
        metrics_by_router: MetricsByRouter = {}
        for _ in range(int(LIMIT_S / 0.25)):
            metrics_by_router = await self.router_metrics()
            if condition(metrics_by_router):
                return metrics_by_router
            await asyncio.sleep(0.25)
        raise AssertionError(metrics_by_router)


def view_metric(metrics: Metrics, of: str) -> float:
    """Return one of a router's metrics of its load view."""
    return metrics[f'lb_view{{of="{of}"}}']


def views_cover_all_routers(metrics_by_router: MetricsByRouter) -> bool:
    """Return whether every router uses views that cover the reports of all routers."""
    return all(
        view_metric(metrics, "reporters") == ROUTERS and not view_metric(metrics, "fallback")
        for metrics in metrics_by_router.values()
    )


def run_scenario(steps: Steps, length: float, logs: Path, peers: str = "") -> None:
    """Run a scenario of `length` seconds beside the steps, and assert that no rule is broken."""
    text = SCENARIO.format(length=length) + f"[peers]\nallowed = true\naggregators = 2\n{peers}"

    async def main() -> None:
        orchestrator = Orchestrator(draw_schedule(read_scenario(text, "test"), 1), ROUTER, ROOT, logs)
        scenario_task = asyncio.ensure_future(orchestrator.play())
        while not orchestrator.begun and not scenario_task.done():
            await asyncio.sleep(0.05)
        steps_task = asyncio.ensure_future(steps(ScenarioRun(orchestrator)))
        await asyncio.wait((scenario_task, steps_task), return_when=asyncio.FIRST_COMPLETED)
        await asyncio.wait_for(steps_task, LIMIT_S)
        assert_rules_hold(make_report(await asyncio.wait_for(scenario_task, 90.0)))

    uvloop.run(main())


def fallback_changes(logs: Path) -> dict[str, list[str]]:
    """Return, by router, the changes of its fallback that it logged."""
    return {
        path.stem: re.findall(r"peers: fallback to gossip change=(\w+)", path.read_text())
        for path in logs.glob("router*.log")
    }


def test_after_one_aggregator_is_killed_every_router_has_a_view_of_all_reports(tmp_path: Path) -> None:
    async def steps(run: ScenarioRun) -> None:
        await run.wait_for_metrics(
            lambda metrics_by_router: (
                views_cover_all_routers(metrics_by_router)
                and all(metrics['lb_picture{of="servers"}'] == 9 for metrics in metrics_by_router.values())
            )
        )
        run.first.send_signal(signal.SIGKILL)
        await run.wait_until(8.0)
        for name, metrics in (await run.wait_for_metrics(views_cover_all_routers)).items():
            assert view_metric(metrics, "fallbacks") == 0, name
            assert view_metric(metrics, "age_ms") < 5000, name

    run_scenario(steps, 9.0, tmp_path, "loss = 0.02\nduplicates = 0.05\nreordered = 0.2\n")
    assert fallback_changes(tmp_path) == {f"router0{i}": [] for i in range(ROUTERS)}


def test_an_aggregator_frozen_for_five_seconds_sends_no_stale_view_after_resuming(tmp_path: Path) -> None:
    async def steps(run: ScenarioRun) -> None:
        await run.wait_for_metrics(views_cover_all_routers)
        run.first.send_signal(signal.SIGSTOP)
        await asyncio.sleep(5.0)
        run.first.send_signal(signal.SIGCONT)
        for name, metrics in (await run.wait_for_metrics(views_cover_all_routers)).items():
            assert view_metric(metrics, "fallbacks") == 0, name
            assert view_metric(metrics, "age_ms") < 5000, name
        resumed = await fetch_metrics(run.first.ops)
        assert view_metric(resumed, "halts") >= 1
        # The age of reports that arrived while it was frozen is unknown when they are read.
        assert resumed['lb_peers_dropped{why="stalled"}'] >= 1, resumed

    run_scenario(steps, 12.0, tmp_path)


def test_routers_fall_back_without_aggregators_and_return_with_the_first(tmp_path: Path) -> None:
    async def steps(run: ScenarioRun) -> None:
        await run.wait_for_metrics(views_cover_all_routers)
        run.first.send_signal(signal.SIGKILL)
        run.second.send_signal(signal.SIGKILL)
        metrics_by_router = await run.wait_for_metrics(
            lambda metrics_by_router: all(
                view_metric(metrics, "fallback") for metrics in metrics_by_router.values()
            )
        )
        for name, metrics in metrics_by_router.items():
            assert view_metric(metrics, "reporters") == 0, name
        on_gossip = await run.wait_for_metrics(
            lambda metrics_by_router: all(
                metrics['lb_picture{of="routers"}'] >= 1 for metrics in metrics_by_router.values()
            )
        )
        assert all(metrics['lb_picture{of="servers"}'] > 0 for metrics in on_gossip.values())
        await run.orchestrator.start_aggregator(run.second)
        for name, metrics in (await run.wait_for_metrics(views_cover_all_routers)).items():
            assert view_metric(metrics, "fallbacks") == 1, name

    run_scenario(steps, 16.0, tmp_path)
    assert fallback_changes(tmp_path) == {f"router0{i}": ["entered", "left"] for i in range(ROUTERS)}


def test_two_partitioned_aggregators_count_nothing_twice(tmp_path: Path) -> None:
    async def steps(run: ScenarioRun) -> None:
        await run.wait_for_metrics(views_cover_all_routers)
        partition = {"a": ["aggregator00"], "b": ["aggregator01"], "way": "both", "seconds": 60.0}
        await run.orchestrator.relay.ask("partition", PEERS, partition)
        await asyncio.sleep(4.0)
        for name, metrics in (await run.wait_for_metrics(views_cover_all_routers)).items():
            assert view_metric(metrics, "reporters") == ROUTERS, name
            # 120 requests a second, counted over about 3.6 s, which is 432; counted twice they exceed 600.
            assert metrics['lb_picture{of="requests"}'] < 600, (name, metrics)
        # Then each reaches only half of the routers: both views cover half, and still every router has one.
        half = {"a": ["aggregator00"], "b": [f"router0{i}" for i in range(4)], "way": "both", "seconds": 60.0}
        await run.orchestrator.relay.ask("partition", PEERS, half)
        other = {**half, "a": ["aggregator01"], "b": [f"router0{i}" for i in range(4, 8)]}
        await run.orchestrator.relay.ask("partition", PEERS, other)
        metrics_by_router = await run.wait_for_metrics(
            lambda metrics_by_router: all(
                view_metric(metrics, "reporters") == 4 for metrics in metrics_by_router.values()
            )
        )
        assert not any(view_metric(metrics, "fallbacks") for metrics in metrics_by_router.values()), (
            metrics_by_router
        )

    run_scenario(steps, 16.0, tmp_path)
    assert not any(fallback_changes(tmp_path).values())
