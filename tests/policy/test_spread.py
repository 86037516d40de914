"""Load snapshots of many routers: their effect on decisions, and the observations collected for them."""

from __future__ import annotations

from collections import Counter
from itertools import product
from zlib import crc32

import pytest

from holdgw.harness.scenario import read_scenario
from holdgw.policy import LoadSnapshotChanged, RoutingPolicy, slot_rebalancing
from holdgw.policy.hot_keys import MIN_SNAPSHOT_REQUESTS
from holdgw.policy.load_reports import MAX_OBSERVED_SLOTS
from holdgw.policy.slot_table import SLOTS
from holdgw.simulation.search import play_seed
from tests.helpers import MS, S, fleet, request, settings, started
from tests.policy.test_large_fleet import REPORTS, serve

SERVERS = fleet(20)
GOSSIP_SETTINGS = {**REPORTS, "gossip_allowed": True}
ENOUGH_REQUESTS = 2 * MIN_SNAPSHOT_REQUESTS
SPREAD_SEEDS = (3, 4, 5)  # the ratio of a single seed varies by 0.04 with unrelated random draws


def slot(key: str) -> int:
    return crc32(key.encode()) % SLOTS


def owners(router: RoutingPolicy, key: str, now: int) -> set[str]:
    """Return the servers that get forty requests of one router for a key."""
    return {serve(router, f"{key}-{now}-{i}", key, now + i * 30 * MS, {}) for i in range(40)}


def test_key_hot_at_all_routers_has_more_owners_at_a_router_that_gets_it_first() -> None:
    router = started(settings(**GOSSIP_SETTINGS), SERVERS)
    first = {serve(router, "a", "hot", 0, {})}
    router.handle(LoadSnapshotChanged({}, {slot("hot"): 0.1}, ENOUGH_REQUESTS), 0)
    assert first < owners(router, "hot", S)
    assert 5 <= len(owners(router, "hot", 3 * S)) <= 8  # 0.1 of 20 endpoints' load, a quarter of one for each


def test_key_popular_at_one_router_only_is_not_hot() -> None:
    router = started(settings(**GOSSIP_SETTINGS), SERVERS)
    assert len(owners(router, "mine", S)) > 5  # the only key requested from this router
    router.handle(LoadSnapshotChanged({}, {slot("hot"): 0.1}, ENOUGH_REQUESTS), 3 * S)
    assert len(owners(router, "mine", 3 * S)) == 1


def test_router_with_a_large_fraction_of_all_requests_uses_its_own_counts() -> None:
    router = started(settings(**GOSSIP_SETTINGS), SERVERS)
    router.handle(LoadSnapshotChanged({}, {slot("other"): 0.1}, ENOUGH_REQUESTS, 0.5 * ENOUGH_REQUESTS), 0)
    assert len(owners(router, "mine", S)) > 5  # the only key requested from this router
    router.handle(
        LoadSnapshotChanged({}, {slot("other"): 0.1}, ENOUGH_REQUESTS, 0.25 * ENOUGH_REQUESTS), 3 * S
    )
    assert len(owners(router, "mine", 3 * S)) == 1


def test_snapshot_of_too_few_requests_is_ignored() -> None:
    router = started(settings(**GOSSIP_SETTINGS), SERVERS)
    router.handle(LoadSnapshotChanged({}, {}, MIN_SNAPSHOT_REQUESTS - 1), 0)
    assert len(owners(router, "mine", S)) > 5
    router.handle(LoadSnapshotChanged({}, {}, ENOUGH_REQUESTS), 3 * S)
    assert len(owners(router, "mine", 3 * S)) == 1
    router.handle(LoadSnapshotChanged({}, {}, 0.0), 6 * S)  # partitioned from all other routers
    assert len(owners(router, "mine", 6 * S)) > 5


def test_response_time_older_than_the_endpoints_own_report_is_ignored() -> None:
    router = started(settings(**GOSSIP_SETTINGS), SERVERS)
    name = serve(router, "a", "k", 0, {SERVERS[i].id: (30.0, 0.0) for i in range(20)})
    endpoint = router._caches.endpoints[name]
    own, at = endpoint.reported_response_time_ns, endpoint.reported.at_ns
    router.handle(LoadSnapshotChanged({name: (900.0 * MS, 2 * S)}, {}, ENOUGH_REQUESTS), at + S)
    assert (endpoint.reported_response_time_ns, endpoint.reported.at_ns) == (own, at)
    router.handle(LoadSnapshotChanged({name: (900.0 * MS, S // 2)}, {}, ENOUGH_REQUESTS), at + S)
    assert (endpoint.reported_response_time_ns, endpoint.reported.at_ns) == (900.0 * MS, at + S // 2)
    assert endpoint.slot_retention < 1.0  # released because of a report to another router


def test_repeated_old_load_report_releases_no_more_slots() -> None:
    router = started(settings(**GOSSIP_SETTINGS), SERVERS)
    endpoint = router._caches.endpoints[SERVERS[3].id]
    for i in range(1, 30):
        router.handle(
            LoadSnapshotChanged({SERVERS[3].id: (900.0 * MS, i * S // 3)}, {}, ENOUGH_REQUESTS),
            S + i * S // 3,
        )
    assert endpoint.reported.at_ns == S
    assert endpoint.slot_retention > 0.3  # as after a single report


def test_load_snapshot_ends_no_ejection() -> None:
    router = started(settings(**GOSSIP_SETTINGS), SERVERS)
    endpoint = router._caches.endpoints[SERVERS[3].id]
    endpoint.health.ejected = True
    endpoint.health._probability = -0.02
    router.handle(
        LoadSnapshotChanged({SERVERS[3].id: (1.0 * MS, 0), "unknown": (1.0, 0)}, {}, ENOUGH_REQUESTS), S
    )
    assert endpoint.ejected
    assert endpoint.health._probability < 0


def test_observations_are_returned_once_and_bounded() -> None:
    router = started(settings(**GOSSIP_SETTINGS), SERVERS)
    requests_by_endpoint = Counter(serve(router, f"r{i}", f"k{i % 3}", i * 30 * MS, {}) for i in range(9))
    response_times, slot_requests = router.take_observations()
    assert response_times.keys() == requests_by_endpoint.keys()
    assert all(response_time > 0 for response_time, _ in response_times.values())
    assert slot_requests == {slot(f"k{i}"): 3 for i in range(3)}
    assert router.take_observations() == ({}, {})
    for i in range(2 * MAX_OBSERVED_SLOTS):
        router.handle(request(f"x{i}", 0, tenant=None, key=f"x{i}"), 0)
    assert len(router.take_observations()[1]) <= MAX_OBSERVED_SLOTS


def test_router_without_gossip_records_no_observations() -> None:
    router = started(settings(**REPORTS), SERVERS)
    serve(router, "a", "k", 0, {})
    assert router.take_observations() == ({}, {})


def test_shared_load_view_saves_fetches_for_many_routers_with_few_requests_each(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Simulate 40 routers with 6 requests a second each and 20 endpoints, with and without gossip."""
    monkeypatch.setattr(
        slot_rebalancing, "MAX_MIGRATION_PER_S", 0.0
    )  # no slot migrates: that costs fetches, and other tests check the benefit of migration
    scenario_toml = """
name = "x"
length_s = 7.0
[load]
rate = 240.0
[fleet]
nodes = 20
routers = 40
[store]
per_s = 120.0
[emulator]
prelude_s = 1.0
prelude_keys = 1500
[peers]
allowed = {}
"""
    fetched = {"true": 0, "false": 0}
    for peers, seed in product(fetched, SPREAD_SEEDS):
        outcome = play_seed(read_scenario(scenario_toml.format(peers), "x"), seed)
        assert not outcome.failed, (outcome.fault, outcome.broken[:3])
        assert outcome.played is not None
        history = outcome.played.history
        fetched[peers] += sum(
            attempt.server == "store" and not attempt.idempotency for attempt in history.attempts
        )
    assert fetched["true"] < 0.95 * fetched["false"]
