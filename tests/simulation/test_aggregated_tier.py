"""The model of routers and aggregators: sizes, sites, replacements, bytes, and routers that aggregate."""

from __future__ import annotations

from collections import Counter

import pytest

from holdgw.emulators.relay_model import PeerNetworkConditions, RelayModel
from holdgw.peers import load_report
from holdgw.peers.datagram import DropReason
from holdgw.peers.load_report import LoadReport
from holdgw.simulation.aggregated_tier import AggregatedTier

# Sent and received by a router: its bound, less what membership uses at 760 routers.
MAX_ROUTER_BYTES_PER_S = 2000.0 - 430.0


def tier(routers: int, aggregators: int, seed: int = 1, **options: object) -> AggregatedTier:
    relay = RelayModel(seed, lambda _a, _b: 0.01, PeerNetworkConditions(loss=0.01))
    return AggregatedTier(routers, aggregators, seed, relay, **options)  # type: ignore[arg-type]


def bytes_per_second(model: AggregatedTier, seconds: float) -> tuple[dict[int, float], dict[int, float]]:
    sent, received = Counter(model.bytes_sent), Counter(model.bytes_received)
    model.run(seconds)
    return (
        {n: (model.bytes_sent[n] - sent[n]) / seconds for n in range(model.size)},
        {n: (model.bytes_received[n] - received[n]) / seconds for n in range(model.size)},
    )


@pytest.mark.parametrize("routers", [1, 3])
def test_small_tier_has_complete_views(routers: int) -> None:
    model = tier(routers, 2)
    model.run(8.0)
    assert model.coverage() == dict.fromkeys(range(routers), routers)
    assert model.in_fallback() == 0
    assert all(len(snapshot.response_times) == 12 for snapshot in model.snapshots.values())


def test_aggregating_router_has_a_view_and_serves_one() -> None:
    model = tier(12, 0, aggregating_routers=(2, 7))
    model.run(8.0)
    assert model.coverage() == dict.fromkeys(range(12), 12)
    model.kill(2)
    model.run(10.0)
    assert {number: count for number, count in model.coverage().items() if count != 11} == {}
    assert model.in_fallback() == 0


def test_one_large_site_and_forty_sites_of_one_router_all_have_views() -> None:
    model = tier(160, 4, site_of=lambda number: 0 if number < 120 else number)
    model.run(8.0)
    assert min(model.coverage().values()) >= 0.9 * 160
    model.kill(*model.aggregators)
    model.run(8.0)
    assert model.in_fallback() == 160
    reporter_counts = [member.load_view.routers for member in model.members.values()]
    assert min(reporter_counts) >= 1  # also at a site with a single router


def test_bytes_of_routers_are_bounded_also_after_a_death_and_bytes_of_aggregators_are_linear() -> None:
    aggregator_bytes_per_router = []
    for routers in (50, 100):
        model = tier(routers, 4, servers=96, samples_per_s=96, sites=25)
        model.run(6.0)
        sent, received = bytes_per_second(model, 6.0)
        assert max(sent[n] + received[n] for n in model.routers) <= MAX_ROUTER_BYTES_PER_S
        aggregator_bytes_per_router.append(sum(sent[n] for n in model.aggregators) / routers)
        model.kill(model.aggregators[0])
        sent, received = bytes_per_second(model, 4.0)
        assert max(sent[n] + received[n] for n in model.routers) <= MAX_ROUTER_BYTES_PER_S
    assert aggregator_bytes_per_router[1] == pytest.approx(aggregator_bytes_per_router[0], rel=0.1)


def test_a_third_of_routers_replaced_within_five_seconds_is_counted_once_and_all_are_covered() -> None:
    model = tier(60, 3)
    model.run(6.0)
    for number in range(0, 60, 3):
        at = model.now + model.random.randrange(5 * 10**9)
        model.at(at, lambda number=number: model.kill(number))  # type: ignore[misc]
        model.at(at + 10**9, lambda number=number: model.start(number))  # type: ignore[misc]
    for _ in range(16):
        model.run(1.0)
        assert max(model.coverage().values()) <= 60
    assert min(model.coverage().values()) >= 58
    assert model.in_fallback() == 0


def test_datagrams_lost_beside_a_dead_aggregator_bring_no_router_into_its_fallback() -> None:
    # Guards against a living aggregator that is given up on, while the report due goes to the dead one alone.
    model = tier(8, 2)
    model.run(6.0)
    dead, living = model.aggregators
    lost: Counter[int] = Counter()

    def lose_two_reports(sender: int, to: int, data: bytes) -> bytes | None:
        if to != living or lost[sender] == 2:
            return data
        lost[sender] += 1
        return None

    model.alter = lose_two_reports
    model.kill(dead)
    model.run(8.0)
    assert lost == dict.fromkeys(model.routers, 2)
    clients = [member.exchange.client for member in model.members.values()]
    assert sum(client.fallbacks for client in clients if client is not None) == 0


def test_load_report_of_the_previous_version_is_accepted_and_a_forged_one_is_dropped() -> None:
    model = tier(4, 2)
    model.run(3.0)
    member = model.members[0]
    model.send(1, 0, load_report.encode(LoadReport(1, 5, requests=77)))
    model.send(1, 0, load_report.encode(LoadReport(2, 5, requests=77)))
    model.run(0.5)
    assert member.load_view.routers == 1
    assert member.exchange.dropped[DropReason.FORGED] == 1
