"""Figures of aggregated load reports, in simulated time; `bench.figures` prints them, each with its bound.

They tell how far views understate their age, what is counted twice, which routers lack a view, and what
false members change. Where ages are measured, a server's response time encodes when it was reported, so
that its true age is known wherever it is passed on.
"""

from __future__ import annotations

from collections.abc import Callable

from holdgw.emulators.relay_model import PeerNetworkConditions, RelayModel
from holdgw.peers import merged_view, sequenced_report
from holdgw.peers.load_encoding import ServerSample
from holdgw.peers.load_report import hash_server
from holdgw.peers.load_view import LoadSnapshot
from holdgw.simulation.aggregated_tier import NS_PER_S, AggregatedTier

MS = 1_000_000
ROUTERS, SERVERS, SITES = 40, 24, 5
REQUESTS_PER_S = 20  # by each router
DECAYED_S = 3.6  # seconds of requests that a decayed count holds
HONEST_MIN_MS, HONEST_RANGE_MS = 20, 10  # range of honest servers' response times
FALSE_RESPONSE_TIME_MS = 60_000
NETWORK_CONDITIONS = PeerNetworkConditions(loss=0.02, duplicates=0.05, reordered=0.1)


def make_tier(seed: int, aggregators: int = 3, **more: object) -> AggregatedTier:
    """Return a tier of 40 routers at five sites, with delays of 4 ms within a site and 20 ms between."""

    def one_way_delay(a: str, b: str) -> float:
        return 0.004 if int(a[6:]) % SITES == int(b[6:]) % SITES else 0.02

    relay = RelayModel(seed, one_way_delay, NETWORK_CONDITIONS)
    return AggregatedTier(ROUTERS, aggregators, seed, relay, servers=SERVERS, sites=SITES, **more)  # type: ignore[arg-type]


def watch_ages(tier: AggregatedTier) -> list[float]:
    """Make response times encode when they were reported.

    Returns a list that receives, for each response time in a router's view, by how many seconds it is older
    than the view states.
    """
    tier.wait = lambda _server, now: now // MS * MS
    understated: list[float] = []

    def check(_number: int, snapshot: LoadSnapshot) -> None:
        for wait, age in snapshot.response_times.values():
            understated.append((tier.now - wait - age) / NS_PER_S)

    tier.on_snapshot = check
    return understated


def view_age(seed: int) -> float:
    """Return by how many seconds views understate ages at most, with one aggregator halted and one killed."""
    tier = make_tier(seed)
    understated = watch_ages(tier)
    tier.run(8.0)
    tier.halt(tier.aggregators[0], 5.0)
    tier.run(10.0)
    tier.kill(tier.aggregators[1])
    tier.run(12.0)
    return max(understated)


def double_counting(seed: int) -> float:
    """Return the highest ratio of requests in a view to actual requests.

    Meanwhile aggregators are cut off from one another, and reporters change aggregators and restart.
    """
    tier = make_tier(seed)
    highest = 0.0

    def check(_number: int, snapshot: LoadSnapshot) -> None:
        nonlocal highest
        highest = max(highest, snapshot.requests / (ROUTERS * REQUESTS_PER_S * DECAYED_S))

    tier.run(12.0)
    tier.on_snapshot = check
    first, second, third = tier.aggregators
    tier.cut([first], [second], 6.0)
    tier.run(6.0)
    tier.halt(third, 5.0)
    tier.run(8.0)
    for number in range(0, ROUTERS, 4):
        tier.kill(number)
    tier.run(1.0)
    for number in range(0, ROUTERS, 4):
        tier.start(number)
    tier.run(10.0)
    return highest


def replayed(seed: int) -> float:
    """Count response times that are over a second older than stated, while old datagrams are replayed."""
    tier = make_tier(seed)
    understated = watch_ages(tier)
    recorded: list[tuple[int, int, bytes]] = []

    def record(number: int, to: int, data: bytes) -> bytes:
        recorded.append((number, to, data))
        return data

    tier.alter = record
    tier.run(10.0)
    tier.alter = lambda _number, _to, data: data
    old = tier.random.sample(recorded, 600)
    for number, to, data in old:
        at = tier.now + tier.random.randrange(10 * NS_PER_S)
        tier.at(at, lambda number=number, to=to, data=data: tier.send(number, to, data))  # type: ignore[misc]
    tier.run(14.0)
    return float(sum(one > 1.0 for one in understated))


def uninformed(seed: int) -> float:
    """Count routers that lack a usable view 8 s after all aggregators died, and 6 s after one has restarted.

    Such a router knows the response times of under three in four servers, or, without aggregators, still uses
    a merged view, or, with one, is still in fallback.
    """
    tier = make_tier(seed, samples_per_s=4)
    tier.run(8.0)
    tier.kill(*tier.aggregators)
    tier.run(8.0)
    count = sum(len(one.response_times) < 0.75 * SERVERS for one in tier.snapshots.values())
    count += ROUTERS - tier.in_fallback()
    tier.start(tier.aggregators[1])
    tier.run(6.0)
    count += sum(len(one.response_times) < 0.75 * SERVERS for one in tier.snapshots.values())
    return float(count + tier.in_fallback())


def without_view(seed: int) -> float:
    """Count fallbacks of routers although an aggregator was reachable.

    One of three aggregators is killed and one halted for 5 s; later all are cut off from one another, and two
    of them from half of the routers each.
    """
    tier = make_tier(seed)
    first, second, third = tier.aggregators
    tier.run(6.0)
    tier.kill(first)
    tier.run(8.0)
    tier.halt(second, 5.0)
    tier.run(8.0)
    tier.start(first)
    tier.run(14.0)
    tier.cut([first], [second, third], 20.0)
    tier.cut([second], [third], 20.0)
    tier.cut([first], range(0, ROUTERS // 2), 20.0)
    tier.cut([second], range(ROUTERS // 2, ROUTERS), 20.0)
    tier.run(20.0)
    clients = [one.exchange.client for one in tier.members.values()]
    return float(sum(one.fallbacks for one in clients if one is not None))


def _falsifier(tier: AggregatedTier) -> Callable[[bytes], bytes]:
    """Return what a false aggregator does to the views it sends and the reports it forwards.

    Every server then reports a response time of 60 s, and all requests are for slot 9.
    """
    wait = FALSE_RESPONSE_TIME_MS * MS

    def falsify(data: bytes) -> bytes:
        if merged_view.is_view(data):
            view = merged_view.decode(data, tier.size)
            waits = tuple(one._replace(response_time=wait, age=0) for one in view.response_times)
            false = view._replace(
                response_times=waits, slot_shares={9: 1.0}, requests=1 << 31, reporters=0xFFFF
            )
            return merged_view.to_datagram(merged_view.encode_body(false), 0)
        if sequenced_report.is_forwarded_report(data):
            forwarder, (sequence, report) = sequenced_report.decode_forwarded(data, tier.size)
            samples = tuple(ServerSample(hash_server(name), wait, 0) for name in tier.servers[:22])
            claimed = report._replace(samples=samples, requests=0xFFFF, slots={9: 0xFFFF})
            encoded = sequenced_report.encode(sequenced_report.SequencedReport(sequence + 1000, claimed))
            return sequenced_report.forward(encoded, forwarder)
        return data

    return falsify


def single_false_aggregator(seed: int) -> float:
    """Count the effects of a false aggregator, which also forwards false reports that claim all requests.

    An effect is a response time in a view above what any server reported, or a view in which slot 9 is hot.
    """
    tier = make_tier(seed, samples_per_s=SERVERS)
    tier.wait = lambda _server, _now: (
        tier.random.randrange(HONEST_MIN_MS, HONEST_MIN_MS + HONEST_RANGE_MS) * MS
    )
    false_aggregator, moved = tier.aggregators[0], 0

    def check(_number: int, snapshot: LoadSnapshot) -> None:
        nonlocal moved
        moved += sum(
            wait > (HONEST_MIN_MS + HONEST_RANGE_MS) * MS for wait, _ in snapshot.response_times.values()
        )
        moved += snapshot.slot_shares.get(9, 0.0) > 0.05

    tier.run(8.0)
    falsify = _falsifier(tier)
    tier.alter = lambda number, _to, data: falsify(data) if number == false_aggregator else data
    tier.on_snapshot = check
    tier.run(12.0)
    return float(moved)
