"""Eight router processes among emulated endpoints on loopback: frozen, slowed, partitioned, lost.

The assertions hold on a loaded machine as well: they check which endpoints were reached, what was answered
and which routers were notified, never how fast. The rules are checked from outside the routers; requests for
which the machine gave a router no core are counted separately (docs/laboratory.md).
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import pytest
import uvloop

from holdgw.emulators.records import Attempt, ClientRequest
from holdgw.harness.orchestrator import RunResult, play
from holdgw.harness.report import Report, make_report
from holdgw.harness.scenario import read_scenario
from holdgw.harness.schedule_drawing import draw_schedule
from tests.helpers import trouble

pytestmark = [pytest.mark.processes, pytest.mark.xdist_group("processes, faults")]

ROOT = Path(__file__).resolve().parent.parent.parent
ROUTER = f"exec {sys.executable} -m holdgw.router"
SCENARIO = """
name = "processes"
length_s = {length}
[load]
rate = 120.0
[fleet]
nodes = 9
routers = 8
[keys]
count = 300
[clients]
front_notice_s = [0.4, 0.6]
[discovery]
notice_s = [0.05, 0.1]
[emulator]
prelude_s = 1.0
prelude_keys = 300
worst_ms = 10000.0
lag_ms = 1000.0
"""
SLACK_S = 0.3  # tolerance for a loaded machine, on top of a fault's scheduled times


def run_scenario(text: str, length: float = 5.0) -> tuple[RunResult, Report]:
    """Run SCENARIO with additional TOML text for `length` seconds; return the result and the report."""
    schedule = draw_schedule(read_scenario(SCENARIO.format(length=length) + text, "test"), 1)
    result = uvloop.run(asyncio.wait_for(play(schedule, ROUTER, ROOT), 90.0))
    return result, make_report(result)


def assert_rules_hold(report: Report) -> None:
    """Assert that no rule is broken, nothing unexpected occurred and over half of requests were served."""
    assert not any(report.body["rules"].values()), report.body["broken"]
    assert report.body["odd"] == []
    assert report.body["served"] > report.body["asked"] / 2


def attempts_sent(result: RunResult, since: float, until: float) -> list[tuple[str, Attempt]]:
    """Return the attempts that left routers between two seconds of the run, each with its router's name."""
    router_of = {attempt.request: attempt.router for attempt in result.history.tries}
    begun = result.begun
    attempts = []
    for attempt in result.history.attempts:
        at = result.history.left_at(attempt) - begun
        if since <= at <= until and attempt.request in router_of:
            attempts.append((router_of[attempt.request], attempt))
    return attempts


def tries(result: RunResult, router: str, since: float, until: float) -> list[ClientRequest]:
    """Return the client attempts sent to a router between two seconds of the run."""
    return [
        attempt
        for attempt in result.history.tries
        if attempt.router == router and since <= attempt.sent - result.begun <= until
    ]


def test_frozen_routers_resume_with_stale_state_and_break_no_rule() -> None:
    """A node drains while three routers are frozen; once resumed, they answer requests that are still due."""
    text = trouble("freeze", 1.0, seconds=1.5, routers=["router00", "router03", "router05"]) + trouble(
        "drain", 1.2, nodes=["node004"], seconds=3.0
    )
    result, report = run_scenario(text)
    assert_rules_hold(report)
    assert len(result.history.stops) == 3
    for name in ("router00", "router03", "router05"):
        while_frozen = tries(result, name, 1.1, 2.2)
        assert while_frozen, name
        assert not any(
            attempt.answer == "served" and attempt.ended - result.begun < 2.4 for attempt in while_frozen
        )
        assert any(attempt.answer == "served" for attempt in tries(result, name, 2.6, 5.0)), name


def test_a_partition_is_silent_in_both_directions_for_the_partitioned_routers_only() -> None:
    """Two routers cannot reach a node that others reach; their requests arrive when the partition ends."""
    text = trouble("partition", 1.0, seconds=2.0, nodes=["node002"], routers=["router01", "router04"])
    result, report = run_scenario(text)
    assert_rules_hold(report)
    cut = {"router01", "router04"}
    begun = result.begun
    arrived = [
        (router, attempt)
        for router, attempt in attempts_sent(result, 0.0, 5.0)
        if attempt.server == "node002" and 1.0 + SLACK_S < attempt.at - begun < 3.0 - SLACK_S
    ]
    assert arrived
    assert not [router for router, _ in arrived if router in cut]
    afterwards = [
        router for router, attempt in attempts_sent(result, 3.0, 5.0) if attempt.server == "node002"
    ]
    assert set(afterwards) & cut


def test_answers_lost_in_a_one_way_partition_time_out_and_no_write_is_sent_twice() -> None:
    text = trouble(
        "partition",
        1.0,
        seconds=2.0,
        nodes=["node001", "node002"],
        store=True,
        routers=["router00", "router02"],
        way="from",
    )
    result, report = run_scenario(text)
    assert_rules_hold(report)
    reached = [
        router for router, attempt in attempts_sent(result, 1.0, 3.0 - SLACK_S) if attempt.server == "store"
    ]
    assert set(reached) & {"router00", "router02"}, "the partition blocked requests to the store"


def test_a_router_cut_off_from_discovery_learns_of_a_drain_when_the_partition_ends() -> None:
    text = trouble("partition", 1.0, seconds=2.0, nodes=0, routers=["router06"], discovery=True) + trouble(
        "drain", 1.4, nodes=["node003"], seconds=3.4
    )
    result, report = run_scenario(text)
    assert_rules_hold(report)
    notified = {
        notification.router: notification.at - result.begun
        for notification in result.history.told
        if notification.server == "node003" and notification.state == "draining"
    }
    assert len(notified) == 8
    assert notified["router06"] >= 3.0
    assert max(at for router, at in notified.items() if router != "router06") < 3.0


def test_a_lost_machine_is_silent_and_restarts_empty_under_its_name() -> None:
    text = trouble("machine_loss", 1.0, routers=["router02"], down_s=2.0) + trouble(
        "machine_loss", 1.0, routers=["router07"]
    )
    result, report = run_scenario(text, length=6.0)
    assert_rules_hold(report)
    assert [life.router for life in result.history.lives].count("router02") == 2
    assert [life.router for life in result.history.lives].count("router07") == 1
    lost_at = {life.router: life.told_to_end or 0.0 for life in reversed(result.history.lives)}
    assert all(0.9 < lost_at[name] - result.begun < 2.5 for name in ("router02", "router07"))
    since_lost = [
        attempt
        for name in ("router02", "router07")
        for attempt in tries(
            result, name, lost_at[name] - result.begun, 2.9
        )  # the actual loss: a loaded machine delays it
    ]
    assert since_lost, "the clients noticed the loss at once"
    assert {attempt.answer for attempt in since_lost} <= {"none", "left", "unsent"}
    assert not [router for router, _ in attempts_sent(result, 1.0 + SLACK_S, 6.0) if router == "router07"]
    assert any(attempt.answer == "served" for attempt in tries(result, "router02", 3.0, 6.0))


def test_a_lost_zone_restarts_cold_while_slow_routers_keep_serving() -> None:
    text = trouble("zone_loss", 1.0, zone="mladost", seconds=2.5, notice_s=0.5) + trouble(
        "slow", 1.0, seconds=2.0, routers=["router00"], run_ms=30
    )
    result, report = run_scenario(text, length=6.0)
    assert_rules_hold(report)
    gone = {f"node{i:03d}" for i in (1, 4, 7)}
    begun = result.begun
    served_attempts = [
        attempt
        for _, attempt in attempts_sent(result, 0.0, 6.0)
        if attempt.server in gone and attempt.result in ("hit", "miss")
    ]
    assert not [attempt for attempt in served_attempts if 1.0 + SLACK_S < attempt.ended - begun < 3.5]
    assert [attempt for attempt in served_attempts if attempt.at - begun > 3.5]
    assert len([stop for stop in result.history.stops if stop[0] == "router00"]) > 5
    assert any(attempt.answer == "served" for attempt in tries(result, "router00", 1.0, 3.0))
