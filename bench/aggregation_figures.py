"""Figures of aggregated load reports, in simulated time: how old views truly are, what is counted twice, who
knows nothing, and what false members move. `bench.figures` prints them, each with its bound.

Servers' waits in these plays tell when they were measured, so that a wait's true age is known wherever it
goes.
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
SLOTS_A_SECOND = 20  # requests of each router
COUNTED_S = 3.6  # seconds of requests that a decayed count holds
WELL_MS, BAND_MS = 20, 10  # what honest servers' waits lie between, where these tell load
LIE_MS = 60_000
WEATHER = PeerNetworkConditions(loss=0.02, duplicates=0.05, reordered=0.1)


def tier(seed: int, aggregators: int = 3, **more: object) -> AggregatedTier:
    """Forty routers at five sites; lines of 4 and 20 ms."""

    def line(a: str, b: str) -> float:
        return 0.004 if int(a[6:]) % SITES == int(b[6:]) % SITES else 0.02

    relay = RelayModel(seed, line, WEATHER)
    return AggregatedTier(ROUTERS, aggregators, seed, relay, servers=SERVERS, sites=SITES, **more)  # type: ignore[arg-type]


def watch_ages(played: AggregatedTier) -> list[float]:
    """Have waits tell when they were measured; returns the list to which each wait that is handed to
    decisions adds how much older it is than stated, s.
    """
    played.wait = lambda _server, now: now // MS * MS
    found: list[float] = []

    def look(_number: int, snapshot: LoadSnapshot) -> None:
        for wait, age in snapshot.waits.values():
            found.append((played.now - wait - age) / NS_PER_S)

    played.on_snapshot = look
    return found


def view_age(seed: int) -> float:
    """By how much a wait is older than stated at the most, s, with one aggregator halted and one killed."""
    played = tier(seed)
    understated = watch_ages(played)
    played.run(8.0)
    played.halt(played.aggregators[0], 5.0)
    played.run(10.0)
    played.kill(played.aggregators[1])
    played.run(12.0)
    return max(understated)


def counted_twice(seed: int) -> float:
    """Requests in views over those that there are, at the most, while aggregators are parted, and reporters
    move and restart.
    """
    played = tier(seed)
    most = 0.0

    def look(_number: int, snapshot: LoadSnapshot) -> None:
        nonlocal most
        most = max(most, snapshot.requests / (ROUTERS * SLOTS_A_SECOND * COUNTED_S))

    played.run(12.0)
    played.on_snapshot = look
    first, second, third = played.aggregators
    played.cut([first], [second], 6.0)
    played.run(6.0)
    played.halt(third, 5.0)
    played.run(8.0)
    for number in range(0, ROUTERS, 4):
        played.kill(number)
    played.run(1.0)
    for number in range(0, ROUTERS, 4):
        played.start(number)
    played.run(10.0)
    return most


def replayed(seed: int) -> float:
    """Waits that are older than stated by over a second, while old datagrams come again."""
    played = tier(seed)
    understated = watch_ages(played)
    said: list[tuple[int, int, bytes]] = []

    def keep(number: int, to: int, data: bytes) -> bytes:
        said.append((number, to, data))
        return data

    played.alter = keep
    played.run(10.0)
    played.alter = lambda _number, _to, data: data
    old = played.random.sample(said, 600)
    for number, to, data in old:
        at = played.now + played.random.randrange(10 * NS_PER_S)
        played.at(at, lambda number=number, to=to, data=data: played.send(number, to, data))  # type: ignore[misc]
    played.run(14.0)
    return float(sum(one > 1.0 for one in understated))


def blind(seed: int) -> float:
    """Routers that know the wait of under three in four servers, or go by an old view, 8 s after all
    aggregators are gone, and 6 s after one is back.
    """
    played = tier(seed, samples_per_s=4)
    played.run(8.0)
    played.kill(*played.aggregators)
    played.run(8.0)
    without = sum(len(one.waits) < 0.75 * SERVERS for one in played.snapshots.values())
    without += ROUTERS - played.in_fallback()
    played.start(played.aggregators[1])
    played.run(6.0)
    without += sum(len(one.waits) < 0.75 * SERVERS for one in played.snapshots.values())
    return float(without + played.in_fallback())


def without_view(seed: int) -> float:
    """Routers that fell back though an aggregator was there: one of three killed, one halted for 5 s, all
    parted from one another, and each cut off from half of the routers.
    """
    played = tier(seed)
    first, second, third = played.aggregators
    played.run(6.0)
    played.kill(first)
    played.run(8.0)
    played.halt(second, 5.0)
    played.run(8.0)
    played.start(first)
    played.run(14.0)
    played.cut([first], [second, third], 20.0)
    played.cut([second], [third], 20.0)
    played.cut([first], range(0, ROUTERS // 2), 20.0)
    played.cut([second], range(ROUTERS // 2, ROUTERS), 20.0)
    played.run(20.0)
    clients = [one.exchange.client for one in played.members.values()]
    return float(sum(one.fallbacks for one in clients if one is not None))


def _lies(played: AggregatedTier) -> Callable[[bytes], bytes]:
    """What a lying aggregator makes of its views, and of what it forwards: every server is full, or none is,
    and slot 9 alone is asked for.
    """
    wait = LIE_MS * MS

    def lie(data: bytes) -> bytes:
        if merged_view.is_view(data):
            view = merged_view.decode(data, played.size)
            waits = tuple(one._replace(wait=wait, age=0) for one in view.waits)
            false = view._replace(waits=waits, slot_shares={9: 1.0}, requests=1 << 31, reporters=0xFFFF)
            return merged_view.finish(merged_view.encode_body(false), 0)
        if sequenced_report.is_forwarded_report(data):
            forwarder, (sequence, report) = sequenced_report.decode_forwarded(data, played.size)
            samples = tuple(ServerSample(hash_server(name), wait, 0) for name in played.servers[:22])
            claimed = report._replace(samples=samples, requests=0xFFFF, slots={9: 0xFFFF})
            said = sequenced_report.encode(sequenced_report.SequencedReport(sequence + 1000, claimed))
            return sequenced_report.forward(said, forwarder)
        return data

    return lie


def one_liar(seed: int) -> float:
    """Waits that a lying aggregator moved beyond what servers told, and slots that it made hot, in a tier
    where it also forwards falsely and a reporter claims everything.
    """
    played = tier(seed, samples_per_s=SERVERS)
    played.wait = lambda _server, _now: played.random.randrange(WELL_MS, WELL_MS + BAND_MS) * MS
    liar, moved = played.aggregators[0], 0

    def look(_number: int, snapshot: LoadSnapshot) -> None:
        nonlocal moved
        moved += sum(wait > (WELL_MS + BAND_MS) * MS for wait, _ in snapshot.waits.values())
        moved += snapshot.slot_shares.get(9, 0.0) > 0.05

    played.run(8.0)
    lie = _lies(played)
    played.alter = lambda number, _to, data: lie(data) if number == liar else data
    played.on_snapshot = look
    played.run(12.0)
    return float(moved)
