"""Tests of scenario files and schedules: clear errors, reproducible draws, faults at the right place.

Also covers the service score and the channel between orchestrator and workers.
"""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from holdgw.emulators.records import ClientRequest
from holdgw.harness import scenario as s
from holdgw.harness.arrivals import load_at
from holdgw.harness.channel import MAX_FRAME_BYTES, Channel, Setup
from holdgw.harness.checker import History
from holdgw.harness.fault_types import kind_of
from holdgw.harness.scenario import Scenario, ScenarioError, load_scenario, read_scenario, shipped
from holdgw.harness.schedule import NETWORK, ScheduledRequest, idempotency_key, request_id
from holdgw.harness.schedule_drawing import draw_schedule
from holdgw.harness.scoring import RequestOutcome, request_outcomes, score, worst_window, worth_of
from holdgw.harness.topology import origin_spec

BASE = 'name = "x"\nlength_s = 20.0\n[load]\nrate = 50.0\n'


def scenario_of(text: str = "") -> Scenario:
    return read_scenario(BASE + text, "x.toml")


@pytest.mark.parametrize(
    ("text", "parts"),
    [
        ("name = ", ("x.toml", "Invalid value")),
        ('name = "x"\nlength_s = 5.0', ("x.toml", "load")),
        ('name = "x"\nlength_s = "5"\n[load]\nrate = 1.0', ("length_s", "float")),
        ('name = "x"\nlength_s = 5.0\n[load]\nrate = 0.0', ("load.rate", "> 0")),
        (BASE + "[fleet]\nnodez = 3", ("fleet", "nodez")),
        (BASE + "[fleet]\nnodes = 0", ("fleet.nodes", ">= 1")),
        (BASE + "[fleet]\nsame_ms = [3.0, 1.0]", ("fleet.same_ms", "3 is over 1")),
        (BASE + '[[trouble]]\nkind = "quake"\nat = 1', ("trouble[0]", "quake")),
        (BASE + '[[trouble]]\nkind = "pause"\nat = 1', ("trouble[0]", "seconds")),
        (BASE + '[[trouble]]\nkind = "pause"\nat = 30\nseconds = 1', ("trouble[0]", "at", "beyond")),
        (BASE + '[[trouble]]\nkind = "kill"\nat = 1\nnodes = 99', ("trouble[0]", "nodes", "99 of 36")),
        (BASE + '[[trouble]]\nkind = "kill"\nat = 1\nnodes = ["node99"]', ("trouble[0]", "node99")),
        (BASE + '[[trouble]]\nkind = "flush"\nat = 1\nshare = 1.5', ("trouble[0].share", "<= 1")),
        (
            BASE + '[[trouble]]\nkind = "burst"\nat = 1\nseconds = 1\nfactor = 2\ntenant = "me"',
            ("tenant", "me"),
        ),
        (BASE + '[[trouble]]\nkind = "router_restart"\nat = 1\nrouters = 9', ("routers", "more than")),
        (
            BASE + '[[trouble]]\nkind = "partition"\nat = 1\nseconds = 1\nzone = "nowhere"',
            ("trouble[0]", "zone", "nowhere", "mladost"),
        ),
        (
            BASE + '[[tenants]]\nname = "a"\nshare = 1\n[[tenants]]\nname = "a"\nshare = 1',
            ("tenants", "twice"),
        ),
        (
            BASE + '[[classes]]\nname = "a"\nshare = 1\nwork_ms = 1\naim_ms = 9\ngive_up_ms = 5',
            ("classes[0].aim_ms", "over"),
        ),
        (
            BASE
            + '[[classes]]\nname = "a"\nshare = 1\nwork_ms = 1\naim_ms = 1\ngive_up_ms = 5\neffect = "keyed"',
            ("classes[0].window_ms",),
        ),
        (BASE + "shape = [[5, 1.0], [1, 2.0]]", ("load.shape", "rise")),
        (BASE + "shape = [[0, 0.0]]", ("load.shape", "above 0")),
    ],
)
def test_invalid_scenario_is_reported_in_one_line_with_file_and_field(
    text: str, parts: tuple[str, ...]
) -> None:
    with pytest.raises(ScenarioError) as caught:
        read_scenario(text, "x.toml")
    line = str(caught.value)
    assert "\n" not in line
    assert line.startswith("x.toml: ")
    for part in parts:
        assert part in line


def test_missing_scenario_file_is_reported_with_the_shipped_names(tmp_path: Path) -> None:
    with pytest.raises(ScenarioError, match="release-morning"):
        load_scenario("no-such")
    with pytest.raises(ScenarioError, match="No such file"):
        load_scenario(tmp_path / "none.toml")
    (tmp_path / "binary.toml").write_bytes(b"\xff\xfe\x00")
    with pytest.raises(ScenarioError, match="is not a text file"):
        load_scenario(tmp_path / "binary.toml")


def test_shipped_scenarios_are_complete() -> None:
    assert {"quiet", "release-morning", "storm", "rolling-restart", "incident-130"} <= set(shipped())
    for name in shipped():
        scenario = load_scenario(name)
        assert scenario.name == name
        assert scenario.about
    incident = load_scenario("incident-130")
    assert (incident.fleet.nodes, incident.fleet.routers, incident.load.rate) == (130, 24, 1300.0)
    kinds = [kind_of(trouble) for trouble in load_scenario("storm").trouble]
    assert len(set(kinds)) >= 5


def test_schedule_depends_on_the_seed_alone() -> None:
    scenario = load_scenario("storm").cut(15.0)
    assert draw_schedule(scenario, 3) == draw_schedule(scenario, 3)
    assert draw_schedule(scenario, 3).requests != draw_schedule(scenario, 4).requests


def test_fault_moves_no_arrival() -> None:
    plain = draw_schedule(scenario_of(), 1)
    scanned = draw_schedule(scenario_of('[[trouble]]\nkind = "scan"\nat = 5\nseconds = 5\nshare = 0.5'), 1)
    assert [request.at for request in plain.requests] == [request.at for request in scanned.requests]
    for a, b in zip(plain.requests, scanned.requests, strict=True):
        assert a == b or (b.source == "scan" and 5 <= b.at < 10)


def test_faults_of_the_load_have_the_stated_rates() -> None:
    text = (
        '[[trouble]]\nkind = "scan"\nat = 5\nseconds = 5\nshare = 0.5\n'
        '[[trouble]]\nkind = "hot_caller"\nat = 5\nseconds = 5\nshare = 0.25\n'
        '[[trouble]]\nkind = "burst"\nat = 10\nseconds = 10\nfactor = 3\ntenant = "public"\n'
    )
    scenario = msgspec.structs.replace(scenario_of(text), load=s.Load(rate=400.0))
    requests = [request for request in draw_schedule(scenario, 1).requests if request.at >= 0]

    def rate(a: float, b: float) -> float:
        return sum(a <= request.at < b for request in requests) / (b - a)

    assert rate(0, 5) == pytest.approx(400, rel=0.1)
    assert rate(5, 10) == pytest.approx(400, rel=0.1)
    assert rate(10, 20) == pytest.approx(400 * (1 + 0.63 * 2), rel=0.1)
    during = [request for request in requests if 5 <= request.at < 10]
    hot = [request for request in during if request.source == "hot_caller"]
    assert len(hot) / len(during) == pytest.approx(0.25, abs=0.04)
    assert len({request.router for request in hot}) == 1
    once = [request.key for request in during if request.key.startswith(b"once-")]
    assert len(once) == len(set(once))
    assert len(once) / len(during) == pytest.approx(0.5 * 0.97, abs=0.04)
    burst = [request for request in requests if request.source == "burst"]
    assert {request.tenant for request in burst} == {0}
    assert all(10 <= request.at < 20 for request in burst)


def test_hot_key_of_a_zone_is_requested_by_its_clients_alone_and_a_false_report_ends() -> None:
    text = (
        '[[trouble]]\nkind = "hot_key"\nat = 2\nseconds = 5\nshare = 0.5\nzone = "mladost"\n'
        '[[trouble]]\nkind = "false_report"\nat = 3\nseconds = 4\nnodes = ["node002"]\nsays = "full"\n'
    )
    schedule = draw_schedule(msgspec.structs.replace(scenario_of(text), load=s.Load(rate=200.0)), 1)
    hot = [request for request in schedule.requests if request.source == "hot_key"]
    assert {request.zone for request in hot} == {"mladost"}
    there = [request for request in schedule.requests if 2 <= request.at < 7 and request.zone == "mladost"]
    assert len(hot) / len(there) == pytest.approx(0.5 * 0.97, abs=0.06)
    reports = [(step.at, step.target, step.args["says"]) for step in schedule.faults if step.verb == "report"]
    assert reports == [(3, "node002", "full"), (7, "node002", "")]


def test_load_shape_is_linear_between_its_points() -> None:
    scenario = scenario_of("shape = [[2, 1.0], [4, 3.0]]")
    assert [load_at(scenario, at) for at in (0, 2, 3, 4, 9)] == [50, 50, 100, 150, 150]


def test_requests_beyond_a_quota_are_marked() -> None:
    text = '[[tenants]]\nname = "a"\nshare = 1\nquota_per_s = 20'
    requests = [request for request in draw_schedule(scenario_of(text), 1).requests if request.at >= 0]
    within = sum(not request.over_quota for request in requests) / 20.0
    assert 15 <= within <= 20.5


def test_request_ids_differ_between_attempts_and_idempotency_keys_do_not() -> None:
    assert request_id(1, 5, 0) != request_id(1, 5, 1)
    assert request_id(1, 5, 0) == request_id(1, 5, 0)
    assert request_id(1, 5, 0) != request_id(2, 5, 0)
    assert idempotency_key(1, 5) != idempotency_key(1, 6)


def test_fault_schedule_never_uses_a_removed_node_again() -> None:
    text = (
        '[[trouble]]\nkind = "replace"\nat = 1\nnodes = 3\nsame_address = true\n'
        '[[trouble]]\nkind = "drain"\nat = 2\nnodes = 20\nseconds = 3\n'
        '[[trouble]]\nkind = "cold_start"\nat = 3\nnodes = 2\n'
        '[[trouble]]\nkind = "kill"\nat = 10\nnodes = 9\n'
    )
    schedule = draw_schedule(scenario_of(text), 1)
    killed = [step.target for step in schedule.faults if step.verb == "kill"]
    assert len(killed) == len(set(killed)) == 32
    created = [step.target for step in schedule.faults if step.verb == "create"]
    assert created == ["node036", "node037", "node038", "node039", "node040"]
    assert [step.args["instead"] for step in schedule.faults if step.verb == "create"][:3] == killed[:3]
    assert [step.at for step in schedule.faults] == sorted(step.at for step in schedule.faults)


def test_routers_restart_in_groups() -> None:
    text = 'kind = "router_restart"\nat = 2\nrouters = 3\ntogether = 2\ngap_s = 1.5'
    steps = [
        step
        for step in draw_schedule(scenario_of(f"[[trouble]]\n{text}"), 1).faults
        if step.verb == "restart"
    ]
    assert [step.at for step in steps] == [2.0, 2.0, 3.5]
    assert len({step.target for step in steps}) == 3


def test_partitioned_zone_is_cut_off_from_the_others_and_not_from_itself() -> None:
    text = '[[trouble]]\nkind = "partition"\nat = 2\nseconds = 3\nzone = "mladost"\nstore = true'
    steps = [
        s for s in draw_schedule(scenario_of(text), 1).faults if s.verb == "partition" and s.target == NETWORK
    ]
    parted = {(router, server) for s in steps for router in s.args["routers"] for server in s.args["servers"]}
    assert ("router01", "node000") in parted
    assert ("router00", "node001") in parted
    assert ("router01", "store") in parted  # the origin is in the first zone
    assert not {("router01", "node001"), ("router00", "node000"), ("router00", "store")} & parted


def test_shortened_run_drops_faults_past_its_end() -> None:
    scenario = load_scenario("storm").cut(14.5)
    assert scenario.length_s == 14.5
    assert all(trouble.at < 14.5 for trouble in scenario.trouble)
    assert all(step.at < 14.5 for step in draw_schedule(scenario, 1).faults)


def test_origin_serves_its_configured_rate() -> None:
    scenario = scenario_of("[store]\nper_s = 77.0\nread_ms = 40.0")
    spec = origin_spec(scenario)
    assert spec.slots / spec.read_s == pytest.approx(77.0)


# The service score


def request(number: int, at: float, cls: int = 0, tenant: int = 0, over: bool = False) -> ScheduledRequest:
    return ScheduledRequest(
        number, at, cls, tenant, b"k", "usual", "a", 0.5, "", 0.8, 0.5, True, 1.0, False, over
    )


def test_request_counts_once_with_all_its_attempts_from_its_first_arrival() -> None:
    tries = [
        ClientRequest("a", 1, 0, "r", 101.0, 0.9, "refused", 101.05),
        ClientRequest("b", 1, 1, "r", 101.1, 0.9, "served", 101.25, server="n", serial=1),
        ClientRequest("c", 2, 0, "r", 102.0, 0.9, "failed", 102.9),
        ClientRequest("d", 3, 0, "r", 103.0, 0.9, "served", 103.1, fault="not its value"),
    ]
    outcomes = request_outcomes(
        [request(1, 1.0), request(2, 2.0), request(3, 3.0), request(4, 4.0)], tries, begun=100.0
    )
    assert [(outcome.result, outcome.tries) for outcome in outcomes] == [
        ("served", 2),
        ("failed", 1),
        ("failed", 1),
        ("failed", 0),
    ]
    assert outcomes[0].took == pytest.approx(0.25)
    assert [outcome.took for outcome in outcomes[1:]] == [None] * 3


def test_worth_is_full_in_time_reduced_when_late_and_small_beyond_the_quota() -> None:
    classes = load_scenario("quiet").classes
    worths = [
        worth_of(RequestOutcome(scheduled, took=took), classes)
        for scheduled, took in (
            (request(1, 0), 0.3),
            (request(1, 0), 0.31),
            (request(1, 0, over=True), 0.1),
            (request(1, 0), None),
        )
    ]
    assert worths == [(3.0, 3.0), (3.0, 0.75), (pytest.approx(0.15), pytest.approx(0.15)), (3.0, 0.0)]
    assert worth_of(RequestOutcome(request(1, 0), took=1.3), classes) == (3.0, 0.0)


def test_score_weighs_the_worst_window_class_and_tenant_as_the_brief_defines() -> None:
    classes = load_scenario("quiet").classes
    outcomes = [RequestOutcome(request(i, i * 0.1, tenant=i % 2), took=0.1) for i in range(400)]
    for outcome in outcomes:
        if outcome.request.tenant == 1 and 10 <= outcome.request.at < 20:
            outcome.took = None
    window, window_at = worst_window(outcomes, classes, 40.0)
    assert (round(window, 6), window_at) == (0.5, 10.0)
    service = score(outcomes, History(), classes, ["public", "municipal"], 40.0, 0.0, {})
    whole, tenant = 350 / 400, 150 / 200
    expected = 0.55 * whole + 0.15 * 0.5 + 0.05 * whole + 0.25 * tenant
    assert service.service == pytest.approx(expected - service.deductions["late_fail"], abs=1e-9)
    assert service.worst_tenant[0] == "municipal"
    assert service.worst_tenant[1] == pytest.approx(tenant)


# The channel


def test_oversized_frame_is_rejected_and_a_scenario_is_decoded_from_pieces() -> None:
    received: list[object] = []
    channel = Channel(received.append, lambda: None)
    setup = Setup("nodes", 0, 1, "nodes0", load_scenario("storm"), 7, "127.0.0.1")
    frame = msgspec.msgpack.encode(setup)
    frame_bytes = len(frame).to_bytes(4, "big") + frame
    for i in range(0, len(frame_bytes), 100):
        channel.data_received(frame_bytes[i : i + 100])
    assert received == [setup]
    with pytest.raises(ValueError, match="a frame of"):
        channel.data_received((MAX_FRAME_BYTES + 1).to_bytes(4, "big"))
