"""What one of four aggregators takes by the number of routers: processor time, bytes, memory, coverage.

The aggregator alone on an injected clock: each router reports once a second, to its two aggregators in turn;
this one gets its part of the reports and the others forwarded by the other three. Nothing is lost. The
kernel's and the event loop's cost of a datagram are not in it.
"""

from __future__ import annotations

import random
import time
import tracemalloc

from bench import peer_cost
from bench.capacity_model import Measurement
from bench.slopes import REPEATS, ROUTER_COUNTS, Readings, build_measurement
from bench.slopes_tier import ZONES, zone
from holdgw.peers import sequenced_report
from holdgw.peers.aggregator import Aggregator
from holdgw.peers.aggregator_choice import CHOSEN, rank_aggregators
from holdgw.peers.load_encoding import ServerSample
from holdgw.peers.load_report import LoadReport
from holdgw.peers.sequenced_report import MAX_SAMPLES, MAX_SLOTS, SequencedReport

NS_PER_S = 1_000_000_000
AGGREGATORS = (0, 1, 2, 3)
ME = 0
TICKS = 10  # a second
WARM_UP_S, SECONDS = 4, 10


class Played:
    """One aggregator amid made-up reports."""

    def __init__(self, load: peer_cost.Load, routers: int, seed: int) -> None:
        self._load, self._size = load, routers + len(AGGREGATORS)
        self._random = random.Random(seed)
        self.aggregator = Aggregator(ME, 1, AGGREGATORS, zone)
        self.spent = 0
        """Processor time, ns."""
        self.sent = self.heard = 0
        """Bytes."""
        self._now = NS_PER_S
        chosen = {z: rank_aggregators(z, AGGREGATORS)[:CHOSEN] for z in range(ZONES)}
        self._reporters = [(n, chosen[zone(n)]) for n in range(len(AGGREGATORS), self._size)]

    def run(self, seconds: int) -> None:
        """Let so many seconds pass; each router's report comes at its own tenth."""
        for second in range(seconds):
            for tick in range(TICKS):
                self._now += NS_PER_S // TICKS
                self._tick()
                for number, chosen in self._reporters[tick::TICKS]:
                    self._report(number, chosen[second % CHOSEN])

    def _tick(self) -> None:
        before = time.thread_time_ns()
        self.aggregator.tick(self._now)
        self.spent += time.thread_time_ns() - before

    def _report(self, number: int, to: int) -> None:
        data = sequenced_report.encode(SequencedReport(self._now // (NS_PER_S // TICKS), self._made(number)))
        if to != ME:
            data = sequenced_report.forward(data, to)
        self.heard += len(data)
        before = time.thread_time_ns()
        if to == ME:
            decoded = sequenced_report.decode(data, self._size)
            out = self.aggregator.receive(data, decoded, lambda _number: True, self._now)
            self.sent += sum(len(one.data) for one in out or ())
        else:
            forwarded = sequenced_report.decode_forwarded(data, self._size)
            self.aggregator.receive_forwarded(forwarded, self._now)
        self.spent += time.thread_time_ns() - before

    def _made(self, number: int) -> LoadReport:
        draw = self._random
        servers = draw.sample(self._load.hashes, min(MAX_SAMPLES, len(self._load.hashes)))
        samples = tuple(
            ServerSample(one, int(draw.gauss(3e7, 4e6)), int(draw.random() * 3e8)) for one in servers
        )
        requests = peer_cost.RATE * peer_cost.DECAYED_S
        slots = {slot: round(share * requests) for slot, share in self._load.hottest[:MAX_SLOTS]}
        return LoadReport(number, 1, samples, round(requests), slots)


def play(readings: Readings, load: peer_cost.Load, routers: int, seed: int) -> None:
    """One aggregator of so many routers."""
    played = Played(load, routers, seed)
    played.run(WARM_UP_S)
    played.spent = played.sent = played.heard = 0
    played.run(SECONDS)
    readings.add("aggregator processor", routers, played.spent / 1e7 / SECONDS)
    readings.add("aggregator sends", routers, played.sent / 1e3 / SECONDS)
    readings.add("aggregator hears", routers, played.heard / 1e3 / SECONDS)
    merged = played.aggregator.merged(NS_PER_S * (1 + WARM_UP_S + SECONDS))
    readings.add("aggregator coverage", routers, merged.reporters / routers)


def held(load: peer_cost.Load, routers: int) -> float:
    """MB that code of holdgw/peers holds at an aggregator of so many routers."""
    tracemalloc.start()
    try:
        played = Played(load, routers, 1)
        played.run(WARM_UP_S)
        taken = tracemalloc.take_snapshot().filter_traces([tracemalloc.Filter(True, "*/holdgw/peers/*")])
        return sum(one.size for one in taken.statistics("filename")) / 1e6
    finally:
        tracemalloc.stop()


def measure() -> Measurement:
    """All of it; some minutes on one core."""
    readings = Readings()
    readings.declare_series("aggregator processor", "routers", "% of a core")
    readings.declare_series("aggregator sends", "routers", "KB a second")
    readings.declare_series("aggregator hears", "routers", "KB a second")
    readings.declare_series("aggregator coverage", "routers", "of all routers")
    readings.declare_series("aggregator memory", "routers", "MB")
    load = peer_cost.make_load(peer_cost.SERVERS)
    for routers in ROUTER_COUNTS:
        for seed in range(1, REPEATS + 1):
            play(readings, load, routers, seed)
        readings.add("aggregator memory", routers, held(load, routers))
    return build_measurement("aggregation", readings)
