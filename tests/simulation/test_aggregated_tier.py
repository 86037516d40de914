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


def tier(routers: int, aggregators: int, seed: int = 1, **more: object) -> AggregatedTier:
    relay = RelayModel(seed, lambda _a, _b: 0.01, PeerNetworkConditions(loss=0.01))
    return AggregatedTier(routers, aggregators, seed, relay, **more)  # type: ignore[arg-type]


def bytes_per_second(played: AggregatedTier, seconds: float) -> tuple[dict[int, float], dict[int, float]]:
    sent, received = Counter(played.bytes_sent), Counter(played.bytes_received)
    played.run(seconds)
    return (
        {n: (played.bytes_sent[n] - sent[n]) / seconds for n in range(played.size)},
        {n: (played.bytes_received[n] - received[n]) / seconds for n in range(played.size)},
    )


@pytest.mark.parametrize("routers", [1, 3])
def test_small_tier_has_complete_views(routers: int) -> None:
    played = tier(routers, 2)
    played.run(8.0)
    assert played.coverage() == dict.fromkeys(range(routers), routers)
    assert played.in_fallback() == 0
    assert all(len(one.response_times) == 12 for one in played.snapshots.values())


def test_aggregating_router_has_a_view_and_serves_one() -> None:
    played = tier(12, 0, aggregating_routers=(2, 7))
    played.run(8.0)
    assert played.coverage() == dict.fromkeys(range(12), 12)
    played.kill(2)
    played.run(10.0)
    assert {number: count for number, count in played.coverage().items() if count != 11} == {}
    assert played.in_fallback() == 0


def test_one_large_site_and_forty_sites_of_one_router_all_have_views() -> None:
    played = tier(160, 4, site_of=lambda number: 0 if number < 120 else number)
    played.run(8.0)
    assert min(played.coverage().values()) >= 0.9 * 160
    played.kill(*played.aggregators)
    played.run(8.0)
    assert played.in_fallback() == 160
    received = [one.load_view.routers for one in played.members.values()]
    assert min(received) >= 1  # also at a site with a single router


def test_bytes_of_routers_are_bounded_also_after_a_death_and_bytes_of_aggregators_are_linear() -> None:
    shares = []
    for routers in (50, 100):
        played = tier(routers, 4, servers=96, samples_per_s=96, sites=25)
        played.run(6.0)
        sent, received = bytes_per_second(played, 6.0)
        assert max(sent[n] + received[n] for n in played.routers) <= MAX_ROUTER_BYTES_PER_S
        shares.append(sum(sent[n] for n in played.aggregators) / routers)
        played.kill(played.aggregators[0])
        sent, received = bytes_per_second(played, 4.0)
        assert max(sent[n] + received[n] for n in played.routers) <= MAX_ROUTER_BYTES_PER_S
    assert shares[1] == pytest.approx(shares[0], rel=0.1)


def test_a_third_of_routers_replaced_within_five_seconds_is_counted_once_and_all_are_covered() -> None:
    played = tier(60, 3)
    played.run(6.0)
    for number in range(0, 60, 3):
        at = played.now + played.random.randrange(5 * 10**9)
        played.at(at, lambda number=number: played.kill(number))  # type: ignore[misc]
        played.at(at + 10**9, lambda number=number: played.start(number))  # type: ignore[misc]
    for _ in range(16):
        played.run(1.0)
        assert max(played.coverage().values()) <= 60
    assert min(played.coverage().values()) >= 58
    assert played.in_fallback() == 0


def test_load_report_of_the_previous_version_is_accepted_and_a_forged_one_is_dropped() -> None:
    played = tier(4, 2)
    played.run(3.0)
    member = played.members[0]
    played.send(1, 0, load_report.encode(LoadReport(1, 5, requests=77)))
    played.send(1, 0, load_report.encode(LoadReport(2, 5, requests=77)))
    played.run(0.5)
    assert member.load_view.routers == 1
    assert member.exchange.dropped[DropReason.FORGED] == 1
