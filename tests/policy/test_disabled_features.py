"""Every disabled feature is reported, and the emulators use the published names of the platform."""

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

# The published format of a router's configuration: the type of each field, the fields of each object, and the
# type of a list's members.
LIMITS_FORMAT = {"cores": float, "memory_mb": int, "sockets": int}
CEILINGS_FORMAT = {
    "cancel": bool, "cpuUsPerRequest": float, "cpuUsPerS": int, "dialTimeoutNs": int, "idleCloseNs": int,
    "maxOpen": int, "maxRetryAfterNs": int, "mayProbe": bool, "mostTries": int, "peers": bool,
    "retryAfter": bool, "secondCopies": bool, "streamsPerConn": int,
}  # fmt: skip
CLASS_FORMAT = {
    "aimNs": int, "aimStretch": float, "dedupWindowNs": int, "giveUpNs": int,
    "group": {"all", "zone", "cell"}, "lateValue": float, "name": str,
    "semantics": {"retryable", "dedup", "fragile"}, "streamed": bool, "worth": float,
}  # fmt: skip
TENANT_FORMAT = {"name": str, "portion": float, "quotaPerS": float}
FAMILY_FORMAT = {
    "mode": {"aside", "through"}, "notes": str, "originFallMultiple": float, "originFallNs": int,
    "originKind": int, "reportX0": str, "reportX1": str,
}  # fmt: skip
REPORT_WORDS = {"recent_ms", "backlog", "outstanding", "utilization", "throughput", "x0", "x1"}
FEEDBACK_FORMAT = {"fields": [REPORT_WORDS], "how": {"answers", "probe", "none"}}
RULES_FORMAT = {
    "askWithinNs": int, "coldNs": int, "coldShare": float, "drainGraceNs": int, "fallMultiple": float,
    "fallNs": int, "graceToAnswerNs": int,
}  # fmt: skip
SETTINGS_FORMAT = {
    "balancers": int, "blend": dict, "callers": dict, "ceilings": CEILINGS_FORMAT, "classes": [CLASS_FORMAT],
    "domainType": str, "failureDomains": [str], "familyInfo": FAMILY_FORMAT, "feedback": FEEDBACK_FORMAT,
    "kinds": [str], "layer": int, "me": int, "membershipMode": {"automatic", "subscribe"},
    "overShareWorth": float, "penalties": dict, "roundNs": int, "rules": RULES_FORMAT,
    "tenants": [TENANT_FORMAT], "tiers": [str], "valueBy": str,
    "weightKind": {"none", "nominal", "rough", "live"}, "zone": str,
}  # fmt: skip
ENTRY_FORMAT = {
    "instanceId": str, "hostPort": str, "zone": str, "machineType": str, "cell": int,
    "lifecycle": {"up", "draining"}, "weight": float, "startedAtMs": int,
}  # fmt: skip
KNOWN_FORMAT = {"generation": int, "reset": bool, "instances": [ENTRY_FORMAT]}
CONFIGURATION_FORMAT = {
    "name": str, "listen": str, "discovery": str, "ops": str, "seed": str, "limits": LIMITS_FORMAT,
    "peer_listen": str, "peers": [str], "peers_all": str, "known": KNOWN_FORMAT, "settings": SETTINGS_FORMAT,
}  # fmt: skip
# Fields that some sites leave out; a router's configuration has all others.
OPTIONAL = {"aimStretch", "notes", "reportX0", "reportX1", "ops", "peer_listen", "peers_all", "quotaPerS"}
# Fields that the emulators leave out, because they only state how the results of a run are valued, or because
# no router reads them.
NOT_CONFIGURED = {
    "blend", "callers", "cpuUsPerRequest", "cpuUsPerS", "domainType", "graceToAnswerNs", "layer",
    "originFallMultiple", "originFallNs", "overShareWorth", "penalties", "roundNs", "tiers", "valueBy",
}  # fmt: skip


def format_deviations(where: str, actual: Any, published: Any) -> list[str]:
    """List the places where a configuration deviates from the published format."""
    if isinstance(published, dict):
        if not isinstance(actual, dict):
            return [f"{where}: no object"]
        deviations = [f"{where}.{name}: not published" for name in actual.keys() - published.keys()]
        deviations += [
            f"{where}.{name}: missing"
            for name in published.keys() - actual.keys() - OPTIONAL - NOT_CONFIGURED
        ]
        for name in actual.keys() & published.keys():
            deviations += format_deviations(f"{where}.{name}", actual[name], published[name])
        return deviations
    if isinstance(published, list):
        if not isinstance(actual, list):
            return [f"{where}: no list"]
        return [
            deviation
            for i, member in enumerate(actual)
            for deviation in format_deviations(f"{where}[{i}]", member, published[0])
        ]
    if isinstance(published, set):
        return [] if actual in published else [f"{where}: {actual!r} is none of {sorted(published)}"]
    kinds = (int, float) if published is float else (published,)
    fits = isinstance(actual, kinds) and isinstance(actual, bool) == (published is bool)
    return [] if fits else [f"{where}: {actual!r}"]


def router_configuration(name: str) -> Fields:
    known_endpoints = {"generation": 1, "reset": True, "instances": []}
    scenario = load_scenario(name)
    return configuration(scenario, 1, "router00", 0, ("127.0.0.1", 1), ("127.0.0.1", 2), known_endpoints)


@pytest.mark.parametrize("name", shipped())
def test_emulators_configure_a_router_as_published(name: str) -> None:
    config = router_configuration(name)
    assert format_deviations("", config, CONFIGURATION_FORMAT) == []
    policy_settings = read_settings(config["settings"])
    assert policy_settings.unrecognized == ()
    assert set(disabled_features(policy_settings)) <= {"origin_limits"}


def test_a_deviation_from_the_published_format_is_detected() -> None:
    config = router_configuration("storm")
    config["settings"]["feedback"]["fields"] = ["latency_ms"]
    del config["settings"]["rules"]["coldNs"]
    config["settings"]["ceilings"]["mostTrys"] = 4
    config["settings"]["classes"][0]["aimNs"] = 0.3
    assert {text.partition(":")[0] for text in format_deviations("", config, CONFIGURATION_FORMAT)} == {
        ".settings.feedback.fields[0]",
        ".settings.rules.coldNs",
        ".settings.ceilings.mostTrys",
        ".settings.classes[0].aimNs",
    }


def test_emulated_load_report_has_the_fields_that_the_settings_name() -> None:
    names = read_settings(router_configuration("storm")["settings"]).load_report_fields
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
def test_both_pairs_of_load_report_fields_are_read_in_any_order(fields: tuple[str, ...]) -> None:
    values = {"recent_ms": 150.0, "latency_ms": 150.0, "backlog": 12.0, "queue": 12.0}
    router = started(settings(tenants=(), load_report_fields=fields), fleet(1))
    send = only_send(router.handle(request("r", tenant=None), 0))
    load = tuple(values.get(name, 999.0) for name in fields)
    router.handle(changed(ended(send, Outcome.OK), load_report=load), 20 * MS)
    assert router._caches.endpoints[send.endpoint_id].reported_response_time_ns == 600.0 * MS


@pytest.mark.parametrize("fields", [(), ("recent_ms",), ("queue", "x0"), ("Latency_ms", "queue")])
def test_load_reports_without_latency_or_queue_are_reported_as_disabled(fields: tuple[str, ...]) -> None:
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
def test_each_setting_that_disables_a_feature_is_reported(part: str, change: Fields) -> None:
    facts = router_configuration("storm")["settings"]
    facts["tenants"] = [{"name": "a", "portion": 1.0, "quotaPerS": 9.0}]
    assert disabled_features(read_settings(facts)) == {}
    assert list(disabled_features(read_settings({**facts, **change}))) == [part]


def test_disabled_features_are_logged_once_and_shown_in_the_metrics(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        for fields, lines in ((("x0",), 1), (("queue", "latency_ms"), 0)):
            caplog.clear()
            config = settings(load_report_fields=fields, warm_up_ns=1)
            dispatcher = Dispatcher(loop, config, 1, ConnectionPool(loop, 8, 1.0, 1.0, 1 << 20), 9)
            assert len(caplog.records) == lines
            assert dispatcher.metrics.text(0, 0, 0).count(b'lb_off{part="load_reports"} 1\n') == lines
            dispatcher.close()

    with caplog.at_level(logging.WARNING, "holdgw"):
        asyncio.run(test())


def test_load_reports_and_endpoint_lists_reach_the_router_in_a_simulation(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Load reports were ignored when the policy knew only the platform's names of their fields, while the
    # emulators used others.
    response_times: list[float] = []
    lists: list[Any] = []
    apply_load_report, read_list = RoutingPolicy._apply_load_report, read_endpoint_list

    def record_load_report(router: RoutingPolicy, endpoint: Any, values: tuple[float, ...]) -> None:
        apply_load_report(router, endpoint, values)
        response_times.append(endpoint.reported_response_time_ns)

    def record_list(body: Any, *args: Any) -> EndpointUpdate:
        lists.append(body)
        return read_list(body, *args)

    monkeypatch.setattr(RoutingPolicy, "_apply_load_report", record_load_report)
    monkeypatch.setattr(discovery, "read_endpoint_list", record_list)
    scenario = load_scenario(Path("bench/scenarios/fleet-zone.toml"))
    simulate(changed(scenario.cut(1.0), load=changed(scenario.load, rate=100.0)), 1)
    assert max(response_times) > 0
    assert any(body["instances"] for body in lists)
    assert [deviation for body in lists for deviation in format_deviations("", body, KNOWN_FORMAT)] == []
