"""Fleets of many routers, in which each router sends few requests to any one endpoint."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path

import orjson
import pytest
from msgspec.structs import replace as changed

from holdgw.harness.scenario import load_scenario
from holdgw.operation.fleet_log import FleetLog
from holdgw.operation.interval_counters import IntervalCounters
from holdgw.policy import AttemptPurpose, Outcome, RoutingPolicy
from holdgw.policy.tracked_endpoint import TrackedEndpoint
from holdgw.simulation.search import play_seed
from tests.emulated_nodes import HIT, SERVED, Cache, LoopbackRouter, entry, read, run
from tests.helpers import MS, S, ended, finals, fleet, only_send, request, sends, settings, started

REPORTS = {"tenants": (), "routers": 40, "load_report_fields": ("recent_ms", "backlog")}


def serve(router: RoutingPolicy, name: str, key: str, now: int, loads: dict[str, tuple[float, float]]) -> str:
    """Answer one read with its endpoint's load report; return the endpoint's id, or "" after a rejection."""
    actions = router.handle(request(name, now, tenant=None, key=key), now)
    if finals(actions):
        return ""
    send = only_send(actions)
    answer = changed(ended(send, Outcome.OK), load_report=loads.get(send.endpoint_id, (30.0, 0.0)))
    router.handle(answer, now + 20 * MS)
    return send.endpoint_id


def fraction_sent(
    router: RoutingPolicy, server: str, start: int, loads: dict[str, tuple[float, float]]
) -> float:
    """Return the fraction of 600 reads for as many keys, in 10 s, that goes to the server."""
    counts = Counter(serve(router, f"{start}-{i}", f"k{i}", start + i * S // 60, loads) for i in range(600))
    return counts[server] / 600


def test_endpoint_that_reports_a_long_queue_releases_slots_before_an_answer_is_late() -> None:
    router = started(settings(**REPORTS), fleet(6))
    overloaded = fleet(6)[2].id
    before = fraction_sent(router, overloaded, 0, {})
    after = fraction_sent(router, overloaded, 10 * S, {overloaded: (150.0, 12.0)})
    assert after < before / 2
    assert fraction_sent(router, overloaded, 60 * S, {}) > before * 0.9  # slots return when it is healthy


def test_slots_are_released_at_the_same_rate_however_few_requests_a_router_sends() -> None:
    retentions = []
    for step in (S // 40, S // 2):
        router = started(settings(**REPORTS), fleet(6))
        endpoint = router._caches.endpoints[fleet(6)[2].id]
        for now in range(S, 4 * S, step):
            endpoint.record_response_time(600.0 * MS, 300.0 * MS, now)
        retentions.append(endpoint.slot_retention)
    assert 0.1 < retentions[0] < 0.4
    assert abs(retentions[0] - retentions[1]) < 0.1


def test_no_endpoint_releases_slots_where_all_report_the_same_load() -> None:
    router = started(settings(**REPORTS), fleet(6))
    loads = {server.id: (200.0, 8.0) for server in fleet(6)}
    fraction_sent(router, "", 0, loads)
    assert {endpoint.slot_retention for endpoint in router._caches.endpoints.values()} == {1.0}


def test_owners_of_a_hot_slot_are_drawn_by_reported_response_time() -> None:
    router = started(settings(**REPORTS), fleet(6))
    slow = serve(router, "first", "hot", 0, {})
    loads = {slow: (140.0, 0.0)}  # below the response time from which slots are released
    counts = Counter(serve(router, f"r{i}", "hot", i * S // 50, loads) for i in range(400))
    others = [counts[server.id] for server in fleet(6) if server.id != slow]
    assert counts[slow] * 3 < sum(others) / len(others)


def test_admission_probability_falls_with_the_reported_response_time() -> None:
    def probability_after(wait_ms: float, report_age_ns: int) -> float:
        router = started(settings(**REPORTS), fleet(1))
        name = fleet(1)[0].id
        serve(router, "first", "k", 0, {name: (wait_ms, 0.0)})
        return router._caches.endpoints[name].admission_probability(20 * MS + report_age_ns)

    assert probability_after(200.0, 0) == 1.0  # within the latency objective of 300 ms
    assert probability_after(480.0, 0) == pytest.approx(0.5)
    assert probability_after(960.0, 0) == pytest.approx(0.25)
    assert probability_after(960.0, 3 * S) == 1.0  # an old report has no effect


@pytest.mark.parametrize(
    ("time_left_s", "report_age_ns", "is_sent"), [(0.5, 0, False), (0.7, 0, True), (0.5, S, True)]
)
def test_request_is_rejected_at_once_if_the_reported_response_time_exceeds_its_time_left(
    time_left_s: float, report_age_ns: int, is_sent: bool
) -> None:
    # Scenario join+mass: 200 routers sent 5,000 requests in 2 s whose time left was too short for an answer.
    router = started(settings(**REPORTS), fleet(1))
    serve(router, "first", "k", 0, {fleet(1)[0].id: (150.0, 12.0)})  # 600 ms
    router._caches.endpoints[fleet(1)[0].id].reported.set_limit(float("inf"))
    now = 20 * MS + report_age_ns
    actions = router.handle(request("r", now, tenant=None, deadline_ns=now + int(time_left_s * S)), now)
    assert bool(sends(actions)) is is_sent
    assert bool(finals(actions)) is not is_sent


def test_endpoint_that_closed_its_idle_connections_is_ejected_by_one_refused_connection() -> None:
    for idle_closed in (True, False):
        router = started(settings(tenants=()), fleet(5))
        first = only_send(router.handle(request("r", tenant=None), 0))
        refused = changed(
            ended(first, Outcome.CONNECT_FAILED, latency=MS), idle_connections_closed=idle_closed
        )
        second = only_send(router.handle(refused, MS))
        assert (second.endpoint_id == first.endpoint_id) is not idle_closed
        assert router._caches.endpoints[first.endpoint_id].ejected is idle_closed


def test_a_hot_slot_has_more_owners_only_while_its_owners_are_overloaded() -> None:
    # Scenario join+vast: nine of 60 endpoints, each an owner of a hot slot, had two thirds of the cache hits
    # that came late.
    router = started(settings(**REPORTS), fleet(24))
    for i in range(320):
        serve(router, f"r{i}", "hot" if i % 32 == 0 else f"k{i}", i * S // 60, {})
    send = only_send(router.handle(request("one", 6 * S, tenant=None, key="hot"), 6 * S))
    hot_request = router._requests["one"]
    router.handle(ended(send, Outcome.OK), 6 * S)

    def owners() -> set[TrackedEndpoint]:
        return {
            router._selector.candidates(hot_request.slot, hot_request.slot_popularity, 6 * S)[0]
            for _ in range(300)
        }

    usual_owners = owners()
    assert 2 <= len(usual_owners) <= 6
    for endpoint in usual_owners:
        endpoint.reported.latest_ns = 200.0 * MS
    assert usual_owners < owners()
    assert len(owners()) <= 2 * len(usual_owners)
    for endpoint in usual_owners:
        endpoint.reported.latest_ns = 100.0 * MS  # not above half the latency objective
    assert owners() == usual_owners


def test_load_reports_without_known_fields_change_nothing() -> None:
    router = started(settings(tenants=(), load_report_fields=("inflight",)), fleet(6))
    send = only_send(router.handle(request("r", tenant=None), 0))
    assert router.handle(changed(ended(send, Outcome.OK), load_report=(900.0,)), 20 * MS) == []


def test_interval_counters_of_a_fleet_are_merged_by_time() -> None:
    log = FleetLog(1.0)
    for router, at in (("n0", 100.1), ("n1", 100.6), ("n1", 101.7)):
        counters = IntervalCounters()
        counters.count_attempt("s-1", "ok", first_on_connection=True, late=False, fetched_key=None)
        counters.count_attempt("origin", "ok", first_on_connection=False, late=True, fetched_key="left-pad")
        counters.add_growth("dials", 3)
        log.read(router, f"12:00 n0 INFO {counters.log_line(at, {'shy': 1.0})}\nsomething else\ntally {{}}\n")
    first, second = (log.intervals[at] for at in sorted(log.intervals))
    assert first.routers == {"n0", "n1"}
    assert second.routers == {"n1"}
    assert first.counts["cache.ok.fresh"] == 2
    assert first.counts["dials"] == 6
    assert first.counts["fetched twice"] == 1  # the same key by two routers in one second
    assert first.busiest(1) == [("s-1", [2, 0, 0])]
    assert log.totals()["origin.ok.late"] == 3
    assert log.malformed_lines == 3


def test_each_attempt_states_its_purpose() -> None:
    router = started(settings(tenants=()), fleet(5))
    first = only_send(router.handle(request("r", tenant=None), 0))
    again = only_send(router.handle(ended(first, Outcome.RESET, latency=MS), MS))
    other = only_send(router.handle(ended(again, Outcome.OVERLOADED, 1, latency=MS), 2 * MS))
    fetch = only_send(router.handle(ended(other, Outcome.MISS, 2), 30 * MS))
    words = [send.purpose.value for send in (first, again, other, fetch)]
    assert words == ["first", "again", "next", "fetch"]
    router = started(settings(tenants=()), fleet(1))
    router._caches.endpoints[fleet(1)[0].id].health.ejected = True
    assert only_send(router.handle(request("t", S, tenant=None), S)).purpose is AttemptPurpose.TRIAL
    assert (
        only_send(router.handle(request("w", S, cls="edit", tenant=None), S)).purpose is AttemptPurpose.WRITE
    )


def test_interval_counters_count_client_requests_and_attempts_by_purpose() -> None:
    counters = IntervalCounters()
    counters.count_client_request(is_retry=False, tight_deadline=False)
    counters.count_client_request(is_retry=True, tight_deadline=True)
    counters.count_attempt(
        "s-1", "timeout", first_on_connection=True, late=False, fetched_key=None, purpose="next"
    )
    counts = orjson.loads(counters.log_line(1.0, {}).removeprefix("tally "))["counts"]
    assert counts == {"tries": 1, "tries again, hasty": 1, "why next.timeout": 1, "cache.timeout.fresh": 1}


def test_interval_counters_report_growth_since_the_last_line() -> None:
    counters = IntervalCounters()
    counters.add_growth("dials", 5)
    counters.log_line(1.0, {})
    counters.add_growth("dials", 7)
    assert orjson.loads(counters.log_line(2.0, {}).removeprefix("tally "))["counts"] == {"dials": 2.0}


def test_dead_endpoint_with_an_idle_connection_costs_one_refused_connection() -> None:
    # Scenario zone+vast: 26 routers each had three connections refused by each of 24 dead endpoints, and the
    # first request there failed.
    async def test() -> None:
        async def answer(_: list[bytes]) -> bytes:
            return HIT

        caches, node = [Cache(answer) for _ in range(3)], LoopbackRouter()
        for cache in caches:
            await cache.start()
        await node.start(*(entry(f"s{i}", cache.port) for i, cache in enumerate(caches)))
        assert await node.ask(read("first"), len(SERVED)) == SERVED
        (holder,) = (cache for cache in caches if cache.seen)
        holder.stop()
        while not node.pool.counters.idle_connections_lost:
            await asyncio.sleep(0)
        for i in range(30):  # a third of the keys belonged to the dead endpoint
            assert await node.ask(read(f"r{i}", f"k{i}"), len(SERVED)) == SERVED
        assert node.pool.counters.dials_refused == 1
        node.stop()
        for cache in caches:
            cache.stop()

    run(test)


@pytest.mark.parametrize("name", ["fleet-herd", "fleet-crowded", "fleet-roll", "fleet-split"])
def test_forty_routers_keep_all_rules(name: str) -> None:
    # Most nodes killed at once with discovery down; connection tables smaller than the number of routers;
    # nodes replaced while routers restart; a zone cut off.
    scenario = load_scenario(Path(f"bench/scenarios/{name}.toml"))
    shorter = changed(scenario.cut(9.0), load=changed(scenario.load, rate=250.0))
    outcome = play_seed(shorter, 3)
    assert (outcome.first, outcome.fault) == ("", "")
    assert outcome.served > 0.8 * 9.0 * 250.0
