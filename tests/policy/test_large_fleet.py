"""What a router knows of servers that it meets seldom; found on days with forty routers."""

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
from tests.emulated_nodes import HIT, SERVED, Cache, Node, entry, read, run
from tests.helpers import MS, S, ended, finals, fleet, only_send, request, sends, settings, started

REPORTS = {"tenants": (), "routers": 40, "load_report_fields": ("recent_ms", "backlog")}


def serve(router: RoutingPolicy, name: str, key: str, now: int, loads: dict[str, tuple[float, float]]) -> str:
    """Have one read served by whatever server it goes to, which tells its load; "" where it is refused."""
    actions = router.handle(request(name, now, tenant=None, key=key), now)
    if finals(actions):
        return ""
    send = only_send(actions)
    answer = changed(ended(send, Outcome.OK), load_report=loads.get(send.endpoint_id, (30.0, 0.0)))
    router.handle(answer, now + 20 * MS)
    return send.endpoint_id


def sent_to(router: RoutingPolicy, server: str, start: int, loads: dict[str, tuple[float, float]]) -> float:
    """The part of 600 reads of as many keys, in 10 s, that goes to the server."""
    counts = Counter(serve(router, f"{start}-{i}", f"k{i}", start + i * S // 60, loads) for i in range(600))
    return counts[server] / 600


def test_endpoint_that_reports_a_long_queue_releases_slots_before_an_answer_is_late() -> None:
    router = started(settings(**REPORTS), fleet(6))
    full = fleet(6)[2].id
    before = sent_to(router, full, 0, {})
    after = sent_to(router, full, 10 * S, {full: (150.0, 12.0)})
    assert after < before / 2
    assert sent_to(router, full, 60 * S, {}) > before * 0.9  # and has them back when it is well


def test_slots_are_given_up_at_one_pace_however_seldom_a_router_meets_the_server() -> None:
    shares = []
    for step in (S // 40, S // 2):
        router = started(settings(**REPORTS), fleet(6))
        node = router._caches.endpoints[fleet(6)[2].id]
        for now in range(S, 4 * S, step):
            node.record_response_time(600.0 * MS, 300.0 * MS, now)
        shares.append(node.slot_retention)
    assert 0.1 < shares[0] < 0.4
    assert abs(shares[0] - shares[1]) < 0.1


def test_no_endpoint_releases_slots_where_all_report_the_same_load() -> None:
    router = started(settings(**REPORTS), fleet(6))
    loads = {server.id: (200.0, 8.0) for server in fleet(6)}
    sent_to(router, "", 0, loads)
    assert {node.slot_retention for node in router._caches.endpoints.values()} == {1.0}


def test_owners_of_a_hot_slot_are_drawn_by_what_they_tell() -> None:
    router = started(settings(**REPORTS), fleet(6))
    slow = serve(router, "first", "hot", 0, {})
    loads = {slow: (140.0, 0.0)}  # under what gives slots up
    counts = Counter(serve(router, f"r{i}", "hot", i * S // 50, loads) for i in range(400))
    others = [counts[server.id] for server in fleet(6) if server.id != slow]
    assert counts[slow] * 3 < sum(others) / len(others)


def test_a_server_is_sent_less_the_longer_it_says_a_request_waits() -> None:
    def chance(wait_ms: float, after: int) -> float:
        router = started(settings(**REPORTS), fleet(1))
        name = fleet(1)[0].id
        serve(router, "first", "k", 0, {name: (wait_ms, 0.0)})
        return router._caches.endpoints[name].admission_probability(20 * MS + after)

    assert chance(200.0, 0) == 1.0  # an aim of 300 ms is kept
    assert chance(480.0, 0) == pytest.approx(0.5)
    assert chance(960.0, 0) == pytest.approx(0.25)
    assert chance(960.0, 3 * S) == 1.0  # old news says nothing


@pytest.mark.parametrize(("left", "after", "goes"), [(0.5, 0, False), (0.7, 0, True), (0.5, S, True)])
def test_a_request_is_refused_at_once_where_its_time_is_shorter_than_the_reported_wait(
    left: float, after: int, goes: bool
) -> None:
    # Found on join+mass: 200 routers sent 5,000 requests in 2 s that had no time left to be answered in.
    router = started(settings(**REPORTS), fleet(1))
    serve(router, "first", "k", 0, {fleet(1)[0].id: (150.0, 12.0)})  # 600 ms
    router._caches.endpoints[fleet(1)[0].id].reported.set_limit(float("inf"))
    now = 20 * MS + after
    actions = router.handle(request("r", now, tenant=None, deadline_ns=now + int(left * S)), now)
    assert bool(sends(actions)) is goes
    assert bool(finals(actions)) is not goes


def test_a_server_that_closed_what_rested_is_dead_at_the_first_refused_connection() -> None:
    for deserted in (True, False):
        router = started(settings(tenants=()), fleet(5))
        first = only_send(router.handle(request("r", tenant=None), 0))
        refused = changed(ended(first, Outcome.CONNECT_FAILED, latency=MS), idle_connections_closed=deserted)
        second = only_send(router.handle(refused, MS))
        assert (second.endpoint_id == first.endpoint_id) is not deserted
        assert router._caches.endpoints[first.endpoint_id].ejected is deserted


def test_a_hot_slot_has_more_owners_only_while_its_own_are_over_their_load() -> None:
    # Found on join+vast: nine of 60 servers had two thirds of the late hits, each with a part of a hot slot.
    router = started(settings(**REPORTS), fleet(24))
    for i in range(320):
        serve(router, f"r{i}", "hot" if i % 32 == 0 else f"k{i}", i * S // 60, {})
    send = only_send(router.handle(request("one", 6 * S, tenant=None, key="hot"), 6 * S))
    one = router._requests["one"]
    router.handle(ended(send, Outcome.OK), 6 * S)

    def owners() -> set[TrackedEndpoint]:
        return {router._selector.candidates(one.slot, one.slot_popularity, 6 * S)[0] for _ in range(300)}

    usual = owners()
    assert 2 <= len(usual) <= 6
    for node in usual:
        node.reported.latest_ns = 200.0 * MS
    assert usual < owners()
    assert len(owners()) <= 2 * len(usual)
    for node in usual:
        node.reported.latest_ns = 100.0 * MS  # not over half the aim
    assert owners() == usual


def test_load_reports_without_known_fields_change_nothing() -> None:
    router = started(settings(tenants=(), load_report_fields=("inflight",)), fleet(6))
    send = only_send(router.handle(request("r", tenant=None), 0))
    assert router.handle(changed(ended(send, Outcome.OK), load_report=(900.0,)), 20 * MS) == []


def test_the_tallies_of_a_fleet_are_merged_by_time() -> None:
    log = FleetLog(1.0)
    for router, at in (("n0", 100.1), ("n1", 100.6), ("n1", 101.7)):
        tally = IntervalCounters()
        tally.count_attempt("s-1", "ok", first_on_connection=True, late=False, fetched_key=None)
        tally.count_attempt("origin", "ok", first_on_connection=False, late=True, fetched_key="left-pad")
        tally.add_growth("dials", 3)
        log.read(router, f"12:00 n0 INFO {tally.log_line(at, {'shy': 1.0})}\nsomething else\ntally {{}}\n")
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


def test_a_tally_counts_tries_and_attempts_by_their_reason() -> None:
    tally = IntervalCounters()
    tally.count_client_request(is_retry=False, tight_deadline=False)
    tally.count_client_request(is_retry=True, tight_deadline=True)
    tally.count_attempt(
        "s-1", "timeout", first_on_connection=True, late=False, fetched_key=None, purpose="next"
    )
    counts = orjson.loads(tally.log_line(1.0, {}).removeprefix("tally "))["counts"]
    assert counts == {"tries": 1, "tries again, hasty": 1, "why next.timeout": 1, "cache.timeout.fresh": 1}


def test_a_tally_tells_of_what_has_grown_since_the_last_line() -> None:
    tally = IntervalCounters()
    tally.add_growth("dials", 5)
    tally.log_line(1.0, {})
    tally.add_growth("dials", 7)
    assert orjson.loads(tally.log_line(2.0, {}).removeprefix("tally "))["counts"] == {"dials": 2.0}


def test_a_dead_server_costs_one_refused_connection_where_one_rested() -> None:
    # Found on zone+vast: 26 routers spent three at each of 24 dead servers, and the first request there.
    async def test() -> None:
        async def answer(_: list[bytes]) -> bytes:
            return HIT

        caches, node = [Cache(answer) for _ in range(3)], Node()
        for cache in caches:
            await cache.start()
        await node.start(*(entry(f"s{i}", cache.port) for i, cache in enumerate(caches)))
        assert await node.ask(read("first"), len(SERVED)) == SERVED
        (holder,) = (cache for cache in caches if cache.seen)
        holder.stop()
        while not node.pool.counters.idle_connections_lost:
            await asyncio.sleep(0)
        for i in range(30):  # a third of the keys were the dead server's
            assert await node.ask(read(f"r{i}", f"k{i}"), len(SERVED)) == SERVED
        assert node.pool.counters.dials_refused == 1
        node.stop()
        for cache in caches:
            cache.stop()

    run(test)


@pytest.mark.parametrize("name", ["fleet-herd", "fleet-crowded", "fleet-roll", "fleet-split"])
def test_forty_routers_keep_all_rules(name: str) -> None:
    # Most killed at once with discovery down; fewer places for connections than routers; nodes replaced while
    # routers restart; a zone cut off.
    scenario = load_scenario(Path(f"bench/scenarios/{name}.toml"))
    shorter = changed(scenario.cut(9.0), load=changed(scenario.load, rate=250.0))
    outcome = play_seed(shorter, 3)
    assert (outcome.first, outcome.fault) == ("", "")
    assert outcome.served > 0.8 * 9.0 * 250.0
