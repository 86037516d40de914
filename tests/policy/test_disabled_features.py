"""No part of the decisions is off unsaid, and the stand-ins speak the platform's words."""

from __future__ import annotations

import asyncio
import logging
from pathlib import Path
from typing import Any

import pytest
from msgspec.structs import replace as changed

from holdgw.emulators.node import format_load_report
from holdgw.harness.deployment import configuration
from holdgw.harness.scenario import load_scenario, shipped
from holdgw.operation.endpoint_update import EndpointUpdate
from holdgw.policy import Outcome, RoutingPolicy, disabled_features
from holdgw.policy.disabled_features import load_report_indexes
from holdgw.policy.settings_reader import read_settings
from holdgw.router import discovery
from holdgw.router.connection_pool import ConnectionPool
from holdgw.router.dispatcher import Dispatcher
from holdgw.router.endpoint_list import read_endpoint_list
from holdgw.simulation.fleet_run import simulate
from holdgw.wire.resp import parse_load
from tests.helpers import MS, ended, fleet, only_send, request, settings, started

Fields = dict[str, Any]

# What the published pages say a router is told, in our own words: a field's kind, an object's fields.
# A list's kind is that of its members.
LIMITS = {"cores": float, "memory_mb": int, "sockets": int}
CEILINGS = {
    "cancel": bool, "cpuUsPerRequest": float, "cpuUsPerS": int, "dialTimeoutNs": int, "idleCloseNs": int,
    "maxOpen": int, "maxRetryAfterNs": int, "mayProbe": bool, "mostTries": int, "peers": bool,
    "retryAfter": bool, "secondCopies": bool, "streamsPerConn": int,
}  # fmt: skip
CLASS = {
    "aimNs": int, "aimStretch": float, "dedupWindowNs": int, "giveUpNs": int,
    "group": {"all", "zone", "cell"}, "lateValue": float, "name": str,
    "semantics": {"retryable", "dedup", "fragile"}, "streamed": bool, "worth": float,
}  # fmt: skip
TENANT = {"name": str, "portion": float, "quotaPerS": float}
FAMILY = {
    "mode": {"aside", "through"}, "notes": str, "originFallMultiple": float, "originFallNs": int,
    "originKind": int, "reportX0": str, "reportX1": str,
}  # fmt: skip
REPORT_WORDS = {"recent_ms", "backlog", "outstanding", "utilization", "throughput", "x0", "x1"}
FEEDBACK = {"fields": [REPORT_WORDS], "how": {"answers", "probe", "none"}}
RULES = {
    "askWithinNs": int, "coldNs": int, "coldShare": float, "drainGraceNs": int, "fallMultiple": float,
    "fallNs": int, "graceToAnswerNs": int,
}  # fmt: skip
SETTINGS = {
    "balancers": int, "blend": dict, "callers": dict, "ceilings": CEILINGS, "classes": [CLASS],
    "domainType": str, "failureDomains": [str], "familyInfo": FAMILY, "feedback": FEEDBACK, "kinds": [str],
    "layer": int, "me": int, "membershipMode": {"automatic", "subscribe"}, "overShareWorth": float,
    "penalties": dict, "roundNs": int, "rules": RULES, "tenants": [TENANT], "tiers": [str], "valueBy": str,
    "weightKind": {"none", "nominal", "rough", "live"}, "zone": str,
}  # fmt: skip
ENTRY = {
    "instanceId": str, "hostPort": str, "zone": str, "machineType": str, "cell": int,
    "lifecycle": {"up", "draining"}, "weight": float, "startedAtMs": int,
}  # fmt: skip
KNOWN = {"generation": int, "reset": bool, "instances": [ENTRY]}
CONFIGURATION = {
    "name": str, "listen": str, "discovery": str, "ops": str, "seed": str, "limits": LIMITS,
    "peer_listen": str, "peers": [str], "peers_all": str, "known": KNOWN, "settings": SETTINGS,
}  # fmt: skip
# A router is told all but these, which some sites leave out.
OPTIONAL = {"aimStretch", "notes", "reportX0", "reportX1", "ops", "peer_listen", "peers_all", "quotaPerS"}
# And what only says how a day is priced, or what no router goes by: the stand-ins do not tell it.
UNTOLD = {
    "blend", "callers", "cpuUsPerRequest", "cpuUsPerS", "domainType", "graceToAnswerNs", "layer",
    "originFallMultiple", "originFallNs", "overShareWorth", "penalties", "roundNs", "tiers", "valueBy",
}  # fmt: skip


def strays(where: str, told: Any, form: Any) -> list[str]:
    """Where what is told departs from the published form."""
    if isinstance(form, dict):
        if not isinstance(told, dict):
            return [f"{where}: no object"]
        found = [f"{where}.{name}: not published" for name in told.keys() - form.keys()]
        found += [f"{where}.{name}: not told" for name in form.keys() - told.keys() - OPTIONAL - UNTOLD]
        for name in told.keys() & form.keys():
            found += strays(f"{where}.{name}", told[name], form[name])
        return found
    if isinstance(form, list):
        if not isinstance(told, list):
            return [f"{where}: no list"]
        return [one for i, member in enumerate(told) for one in strays(f"{where}[{i}]", member, form[0])]
    if isinstance(form, set):
        return [] if told in form else [f"{where}: {told!r} is none of {sorted(form)}"]
    kinds = (int, float) if form is float else (form,)
    fits = isinstance(told, kinds) and isinstance(told, bool) == (form is bool)
    return [] if fits else [f"{where}: {told!r}"]


def told_by(name: str) -> Fields:
    known = {"generation": 1, "reset": True, "instances": []}
    scenario = load_scenario(name)
    return configuration(scenario, 1, "router00", 0, ("127.0.0.1", 1), ("127.0.0.1", 2), known)


@pytest.mark.parametrize("name", shipped())
def test_the_stand_ins_tell_a_router_what_the_platform_publishes(name: str) -> None:
    told = told_by(name)
    assert strays("", told, CONFIGURATION) == []
    read = read_settings(told["settings"])
    assert read.unrecognized == ()
    assert set(disabled_features(read)) <= {"origin_limits"}


def test_a_departure_from_the_published_form_is_seen() -> None:
    told = told_by("storm")
    told["settings"]["feedback"]["fields"] = ["latency_ms"]
    del told["settings"]["rules"]["coldNs"]
    told["settings"]["ceilings"]["mostTrys"] = 4
    told["settings"]["classes"][0]["aimNs"] = 0.3
    assert {text.partition(":")[0] for text in strays("", told, CONFIGURATION)} == {
        ".settings.feedback.fields[0]",
        ".settings.rules.coldNs",
        ".settings.ceilings.mostTrys",
        ".settings.classes[0].aimNs",
    }


def test_what_a_node_reports_is_what_the_settings_name() -> None:
    names = read_settings(told_by("storm")["settings"]).load_report_fields
    assert parse_load(format_load_report(12.5, 3), names) == (12.5, 3.0)


@pytest.mark.parametrize(
    "fields",
    [
        ("recent_ms", "backlog"),
        ("latency_ms", "queue"),
        ("backlog", "recent_ms"),
        ("outstanding", "queue", "x0", "latency_ms"),
        ("latency_ms", "backlog", "recent_ms"),
    ],
)
def test_both_pairs_of_names_mean_the_same_in_any_order(fields: tuple[str, ...]) -> None:
    values = {"recent_ms": 150.0, "latency_ms": 150.0, "backlog": 12.0, "queue": 12.0}
    router = started(settings(tenants=(), load_report_fields=fields), fleet(1))
    send = only_send(router.handle(request("r", tenant=None), 0))
    load = tuple(values.get(name, 999.0) for name in fields)
    router.handle(changed(ended(send, Outcome.OK), load_report=load), 20 * MS)
    assert router._caches.endpoints[send.endpoint_id].reported_response_time_ns == 600.0 * MS


@pytest.mark.parametrize("fields", [(), ("recent_ms",), ("queue", "x0"), ("Latency_ms", "queue")])
def test_fields_that_do_not_tell_are_said_to(fields: tuple[str, ...]) -> None:
    assert load_report_indexes(fields) is None
    assert "load_reports" in disabled_features(settings(load_report_fields=fields))


@pytest.mark.parametrize(
    ("part", "change"),
    [
        ("load_reports", {"feedback": {"fields": ["recent_ms", "backlog"], "how": "probe"}}),
        ("load_reports", {"feedback": None}),
        ("weights", {"weightKind": "Nominal"}),
        ("subscription", {"membershipMode": "ask"}),
        ("origin", {"familyInfo": {"mode": "beside", "originKind": 1}}),
        ("origin", {"familyInfo": {"mode": "aside", "originKind": 2}}),
        ("origin", {"kinds": []}),
        ("cold_bound", {"rules": {}}),
        ("origin_limits", {"tenants": [{"name": "a", "portion": 1.0}]}),
    ],
)
def test_each_setting_that_switches_a_part_off_is_said(part: str, change: Fields) -> None:
    facts = told_by("storm")["settings"]
    facts["tenants"] = [{"name": "a", "portion": 1.0, "quotaPerS": 9.0}]
    assert disabled_features(read_settings(facts)) == {}
    assert list(disabled_features(read_settings({**facts, **change}))) == [part]


def test_what_is_off_stands_once_in_the_log_and_in_the_figures(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        for fields, lines in ((("x0",), 1), (("queue", "latency_ms"), 0)):
            caplog.clear()
            told = settings(load_report_fields=fields, warm_up_ns=1)
            host = Dispatcher(loop, told, 1, ConnectionPool(loop, 8, 1.0, 1.0, 1 << 20), 9)
            assert len(caplog.records) == lines
            assert host.metrics.text(0, 0, 0).count(b'lb_off{part="load_reports"} 1\n') == lines
            host.close()

    with caplog.at_level(logging.WARNING, "holdgw"):
        asyncio.run(test())


def test_load_reports_and_lists_reach_the_router_in_a_simulated_day(monkeypatch: pytest.MonkeyPatch) -> None:
    # Reports did not: the module knew them by the platform's names only, and the stand-ins said others.
    waits: list[float] = []
    lists: list[Any] = []
    told, listed = RoutingPolicy._apply_load_report, read_endpoint_list

    def seen(router: RoutingPolicy, node: Any, load: tuple[float, ...]) -> None:
        told(router, node, load)
        waits.append(node.reported_response_time_ns)

    def heard(body: Any, *words: Any) -> EndpointUpdate:
        lists.append(body)
        return listed(body, *words)

    monkeypatch.setattr(RoutingPolicy, "_apply_load_report", seen)
    monkeypatch.setattr(discovery, "read_endpoint_list", heard)
    scenario = load_scenario(Path("bench/scenarios/fleet-zone.toml"))
    simulate(changed(scenario.cut(1.0), load=changed(scenario.load, rate=100.0)), 1)
    assert max(waits) > 0
    assert any(body["instances"] for body in lists)
    assert [stray for body in lists for stray in strays("", body, KNOWN)] == []
