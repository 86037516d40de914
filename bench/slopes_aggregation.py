"""Measures one of four aggregators by the number of routers: processor time, bytes, memory and coverage.

The aggregator runs alone on an injected clock. Each router reports once a second, to its two aggregators in
turn; the measured one gets its share of the reports directly and the rest forwarded by the other three.
Nothing is lost. The costs of a datagram in the kernel and the event loop are not included.
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
from holdgw.peers.aggregator_choice import AGGREGATORS_PER_ZONE, rank_aggregators
from holdgw.peers.load_encoding import ServerSample
from holdgw.peers.load_report import LoadReport
from holdgw.peers.sequenced_report import MAX_SAMPLES, MAX_SLOTS, SequencedReport

NS_PER_S = 1_000_000_000
AGGREGATORS = (0, 1, 2, 3)
MEASURED_AGGREGATOR = 0
TICKS_PER_S = 10
WARM_UP_S, MEASURED_S = 4, 10


class AggregatorRun:
    """One aggregator with generated reports of all routers; counts its costs."""

    def __init__(self, load: peer_cost.Load, routers: int, seed: int) -> None:
        self._load, self._size = load, routers + len(AGGREGATORS)
        self._random = random.Random(seed)
        self.aggregator = Aggregator(MEASURED_AGGREGATOR, 1, AGGREGATORS, zone)
        self.cpu_ns = 0
        """Processor time of the aggregator in ns."""
        self.sent_bytes = self.received_bytes = 0
        self._now = NS_PER_S
        aggregators_by_zone = {
            z: rank_aggregators(z, AGGREGATORS)[:AGGREGATORS_PER_ZONE] for z in range(ZONES)
        }
        self._reporters = [(n, aggregators_by_zone[zone(n)]) for n in range(len(AGGREGATORS), self._size)]

    def run(self, seconds: int) -> None:
        """Run for `seconds` of simulated time; each router reports in its own tick of the second."""
        for second in range(seconds):
            for tick in range(TICKS_PER_S):
                self._now += NS_PER_S // TICKS_PER_S
                self._tick()
                for number, aggregators in self._reporters[tick::TICKS_PER_S]:
                    self._report(number, aggregators[second % AGGREGATORS_PER_ZONE])

    def _tick(self) -> None:
        before = time.thread_time_ns()
        self.aggregator.tick(self._now)
        self.cpu_ns += time.thread_time_ns() - before

    def _report(self, number: int, aggregator: int) -> None:
        data = sequenced_report.encode(
            SequencedReport(self._now // (NS_PER_S // TICKS_PER_S), self._make_report(number))
        )
        if aggregator != MEASURED_AGGREGATOR:
            data = sequenced_report.forward(data, aggregator)
        self.received_bytes += len(data)
        before = time.thread_time_ns()
        if aggregator == MEASURED_AGGREGATOR:
            decoded = sequenced_report.decode(data, self._size)
            replies = self.aggregator.receive(data, decoded, lambda _number: True, self._now)
            self.sent_bytes += sum(len(reply.data) for reply in replies or ())
        else:
            forwarded = sequenced_report.decode_forwarded(data, self._size)
            self.aggregator.receive_forwarded(forwarded, self._now)
        self.cpu_ns += time.thread_time_ns() - before

    def _make_report(self, number: int) -> LoadReport:
        rng = self._random
        servers = rng.sample(self._load.hashes, min(MAX_SAMPLES, len(self._load.hashes)))
        samples = tuple(
            ServerSample(server, int(rng.gauss(3e7, 4e6)), int(rng.random() * 3e8)) for server in servers
        )
        requests = peer_cost.RATE * peer_cost.DECAYED_S
        slots = {slot: round(share * requests) for slot, share in self._load.hottest[:MAX_SLOTS]}
        return LoadReport(number, 1, samples, round(requests), slots)


def measure_aggregator(readings: Readings, load: peer_cost.Load, routers: int, seed: int) -> None:
    """Add the readings of one aggregator in a tier of `routers`, after a warm-up."""
    run = AggregatorRun(load, routers, seed)
    run.run(WARM_UP_S)
    run.cpu_ns = run.sent_bytes = run.received_bytes = 0
    run.run(MEASURED_S)
    readings.add("aggregator processor", routers, run.cpu_ns / 1e7 / MEASURED_S)
    readings.add("aggregator sends", routers, run.sent_bytes / 1e3 / MEASURED_S)
    readings.add("aggregator hears", routers, run.received_bytes / 1e3 / MEASURED_S)
    merged = run.aggregator.merged(NS_PER_S * (1 + WARM_UP_S + MEASURED_S))
    readings.add("aggregator coverage", routers, merged.reporters / routers)


def memory_mb(load: peer_cost.Load, routers: int) -> float:
    """Return the memory, in MB, that code of holdgw/peers holds for an aggregator in a tier of `routers`."""
    tracemalloc.start()
    try:
        run = AggregatorRun(load, routers, 1)
        run.run(WARM_UP_S)
        traces = tracemalloc.take_snapshot().filter_traces([tracemalloc.Filter(True, "*/holdgw/peers/*")])
        return sum(statistic.size for statistic in traces.statistics("filename")) / 1e6
    finally:
        tracemalloc.stop()


def measure() -> Measurement:
    """Run the whole measurement, which takes some minutes on one core."""
    readings = Readings()
    readings.declare_series("aggregator processor", "routers", "% of a core")
    readings.declare_series("aggregator sends", "routers", "KB a second")
    readings.declare_series("aggregator hears", "routers", "KB a second")
    readings.declare_series("aggregator coverage", "routers", "of all routers")
    readings.declare_series("aggregator memory", "routers", "MB")
    load = peer_cost.make_load(peer_cost.SERVERS)
    for routers in ROUTER_COUNTS:
        for seed in range(1, REPEATS + 1):
            measure_aggregator(readings, load, routers, seed)
        readings.add("aggregator memory", routers, memory_mb(load, routers))
    return build_measurement("aggregation", readings)
