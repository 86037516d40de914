"""Eight routers, each a process, amid stand-ins on loopback: frozen, slowed, cut off, lost.

What is asserted holds on a loaded machine as well: who was reached, what was answered and who was told what,
never how fast. The rules are judged from outside; requests that this machine gave a router no core for are
counted apart (docs/laboratory.md).
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
DAY = """
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
SLACK_S = 0.3  # of a loaded machine, beside what a trouble's own times say


def rehearse(text: str, length: float = 5.0) -> tuple[RunResult, Report]:
    day = draw_schedule(read_scenario(DAY.format(length=length) + text, "test"), 1)
    played = uvloop.run(asyncio.wait_for(play(day, ROUTER, ROOT), 90.0))
    return played, make_report(played)


def kept(report: Report) -> None:
    assert not any(report.body["rules"].values()), report.body["broken"]
    assert report.body["odd"] == []
    assert report.body["served"] > report.body["asked"] / 2


def sent(played: RunResult, since: float, until: float) -> list[tuple[str, Attempt]]:
    """What left routers within those seconds of the day, and which router it was."""
    router_of = {one.request: one.router for one in played.history.tries}
    begun = played.begun
    found = []
    for one in played.history.attempts:
        at = played.history.left_at(one) - begun
        if since <= at <= until and one.request in router_of:
            found.append((router_of[one.request], one))
    return found


def tries(played: RunResult, router: str, since: float, until: float) -> list[ClientRequest]:
    return [
        one
        for one in played.history.tries
        if one.router == router and since <= one.sent - played.begun <= until
    ]


def test_frozen_routers_wake_with_old_beliefs_and_break_no_rule() -> None:
    """A node drains while three routers stand still: when these go on, they answer what still can be."""
    text = trouble("freeze", 1.0, seconds=1.5, routers=["router00", "router03", "router05"]) + trouble(
        "drain", 1.2, nodes=["node004"], seconds=3.0
    )
    played, report = rehearse(text)
    kept(report)
    assert len(played.history.stops) == 3
    for name in ("router00", "router03", "router05"):
        asleep = tries(played, name, 1.1, 2.2)
        assert asleep, name
        assert not any(one.answer == "served" and one.ended - played.begun < 2.4 for one in asleep)
        assert any(one.answer == "served" for one in tries(played, name, 2.6, 5.0)), name


def test_a_line_that_is_cut_is_silent_both_ways_for_those_it_is_cut_for_alone() -> None:
    """A does not reach the node and C does; what was written to it comes when the line is back."""
    text = trouble("partition", 1.0, seconds=2.0, nodes=["node002"], routers=["router01", "router04"])
    played, report = rehearse(text)
    kept(report)
    cut = {"router01", "router04"}
    begun = played.begun
    came = [
        (router, one)
        for router, one in sent(played, 0.0, 5.0)
        if one.server == "node002" and 1.0 + SLACK_S < one.at - begun < 3.0 - SLACK_S
    ]
    assert came
    assert not [router for router, _ in came if router in cut]
    again = [router for router, one in sent(played, 3.0, 5.0) if one.server == "node002"]
    assert set(again) & cut


def test_answers_that_one_way_swallows_are_given_up_on_and_no_write_is_sent_twice() -> None:
    text = trouble(
        "partition",
        1.0,
        seconds=2.0,
        nodes=["node001", "node002"],
        store=True,
        routers=["router00", "router02"],
        way="from",
    )
    played, report = rehearse(text)
    kept(report)
    reached = [router for router, one in sent(played, 1.0, 3.0 - SLACK_S) if one.server == "store"]
    assert set(reached) & {"router00", "router02"}, "the way to the store was not cut"


def test_a_router_cut_off_from_the_list_service_hears_of_a_drain_when_the_line_is_back() -> None:
    text = trouble("partition", 1.0, seconds=2.0, nodes=0, routers=["router06"], discovery=True) + trouble(
        "drain", 1.4, nodes=["node003"], seconds=3.4
    )
    played, report = rehearse(text)
    kept(report)
    told = {
        one.router: one.at - played.begun
        for one in played.history.told
        if one.server == "node003" and one.state == "draining"
    }
    assert len(told) == 8
    assert told["router06"] >= 3.0
    assert max(at for router, at in told.items() if router != "router06") < 3.0


def test_a_lost_machine_is_silent_and_comes_back_empty_under_its_name() -> None:
    text = trouble("machine_loss", 1.0, routers=["router02"], down_s=2.0) + trouble(
        "machine_loss", 1.0, routers=["router07"]
    )
    played, report = rehearse(text, length=6.0)
    kept(report)
    assert [life.router for life in played.history.lives].count("router02") == 2
    assert [life.router for life in played.history.lives].count("router07") == 1
    lost = {life.router: life.told_to_end or 0.0 for life in reversed(played.history.lives)}
    assert all(0.9 < lost[name] - played.begun < 2.5 for name in ("router02", "router07"))
    since_lost = [
        one
        for name in ("router02", "router07")
        for one in tries(played, name, lost[name] - played.begun, 2.9)  # on a loaded machine it is lost late
    ]
    assert since_lost, "the front had noticed at once"
    assert {one.answer for one in since_lost} <= {"none", "left", "unsent"}
    assert not [router for router, _ in sent(played, 1.0 + SLACK_S, 6.0) if router == "router07"]
    assert any(one.answer == "served" for one in tries(played, "router02", 3.0, 6.0))


def test_a_lost_zone_comes_back_cold_while_slow_routers_serve_on() -> None:
    text = trouble("zone_loss", 1.0, zone="mladost", seconds=2.5, notice_s=0.5) + trouble(
        "slow", 1.0, seconds=2.0, routers=["router00"], run_ms=30
    )
    played, report = rehearse(text, length=6.0)
    kept(report)
    gone = {f"node{i:03d}" for i in (1, 4, 7)}
    begun = played.begun
    ran = [one for _, one in sent(played, 0.0, 6.0) if one.server in gone and one.result in ("hit", "miss")]
    assert not [one for one in ran if 1.0 + SLACK_S < one.ended - begun < 3.5]
    assert [one for one in ran if one.at - begun > 3.5]
    assert len([stop for stop in played.history.stops if stop[0] == "router00"]) > 5
    assert any(one.answer == "served" for one in tries(played, "router00", 1.0, 3.0))
