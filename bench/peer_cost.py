"""Measures the cost of one router's control: `python -m bench.peer_cost --routers 50 100 200 400 760`.

The membership and the load view of one router run on an injected clock, as `holdgw.peers.gossip` drives
them, without sockets: a tick each 0.1 s, a load report each 0.3 s. Their surroundings are synthetic: the
router's own requests (934 a second, Zipf over a million keys in 8,192 slots), the response times that 96
servers report with each answer, and calm peers: each probes one member a second, acknowledges at once, and
sends its load reports to as many others as the protocol does, so that a router receives some 13 a second at
any size. Nothing is lost.

Printed per simulated second: CPU time of the process by part (encoding and decoding belong to the part that
needs them; the synthetic surroundings are not measured), bytes sent and received, and, by tracemalloc in a
separate run, the memory that code of `holdgw/peers` holds at the end. `--json FILE` writes a line of JSON for
each size and round. The costs of the kernel, the event loop and the policy are not included.
"""

from __future__ import annotations

import argparse
import json
import random
import tracemalloc
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from itertools import accumulate
from pathlib import Path
from statistics import median
from time import process_time_ns
from typing import Any, NamedTuple

from holdgw.peers import datagram, load_report
from holdgw.peers.datagram import Message, MessageKind
from holdgw.peers.dissemination import OutgoingMessage
from holdgw.peers.gossip import FANOUT, REPORT_TICKS, TICK_S
from holdgw.peers.load_encoding import ServerSample
from holdgw.peers.load_report import MAX_SERVERS, MAX_SLOTS, LoadReport, hash_server
from holdgw.peers.load_view import LoadView, Observations, SampledResponseTime
from holdgw.peers.membership import Membership
from holdgw.peers.timing import NS_PER_S

PARTS = ("record", "report", "snapshot", "receive", "membership")
SLOTS, KEYS, ZIPF = 8192, 1_000_000, 0.9
RATE, SERVERS = 934.0, 96
SIZES = (50, 100, 200, 400, 760)
WARM_UP_S, MEMORY_S = 12.0, 15.0
TICK_NS = int(TICK_S * NS_PER_S)
REPORT_S = REPORT_TICKS * TICK_S
MEAN_RESPONSE_TIME_NS, RESPONSE_TIME_DEVIATION_NS = 30e6, 8e6
DECAYED_S = 3.6  # seconds of requests that a router's decayed count holds: the half-life over ln 2
SEED = 1


class Load(NamedTuple):
    """The distributions of the synthetic load: slots, running sums of shares, hottest slots, servers."""

    slots: range
    sums: list[float]
    hottest: list[tuple[int, float]]
    servers: list[str]
    hashes: list[int]


def make_load(servers: int) -> Load:
    """Return a load with Zipf shares of the keys, each key in a random slot."""
    rng = random.Random(SEED)
    shares = [0.0] * SLOTS
    for rank in range(1, KEYS + 1):
        shares[rng.randrange(SLOTS)] += rank**-ZIPF
    total = sum(shares)
    shares = [share / total for share in shares]
    hottest = sorted(enumerate(shares), key=lambda one: -one[1])[:MAX_SLOTS]
    names = [f"10.1.0.{i}:6379" for i in range(servers)]
    return Load(range(SLOTS), list(accumulate(shares)), hottest, names, [hash_server(one) for one in names])


class ControlPart:
    """One router's membership and load view among synthetic peers. Its number is 0."""

    def __init__(self, load: Load, routers: int, rate: float, seed: int) -> None:
        self.load, self.routers, self.rate = load, routers, rate
        self.random = random.Random(seed)
        self.now = NS_PER_S
        self.membership = Membership(0, routers, 0, seed, self.now)
        self.view = LoadView(0, self.membership.boot_id)
        self.view.set_servers(load.servers)
        self.spent: dict[str, int] = defaultdict(int)
        """CPU time by part, ns."""
        self.bytes: Counter[str] = Counter()

    @contextmanager
    def _timed(self, part: str) -> Iterator[None]:
        begun = process_time_ns()
        yield
        self.spent[part] += process_time_ns() - begun

    def run(self, seconds: float) -> None:
        """Advance the simulated time."""
        for tick in range(round(seconds / TICK_S)):
            self.now += TICK_NS
            self._tick()
            if tick % REPORT_TICKS == 0:
                self._report()
            for _ in range(self._poisson(TICK_S)):
                self._receive(
                    Message(MessageKind.PING, self._peer(), 1, 0, 0, self.random.randrange(1 << 32), 0)
                )
            for _ in range(self._poisson(TICK_S * FANOUT / REPORT_S)):
                self._receive_report()

    def _tick(self) -> None:
        with self._timed("membership"):
            sends = self.membership.tick(self.now)
            self._send(sends)
        for to, message in sends:
            if message.kind is MessageKind.PING:
                self._receive(Message(MessageKind.ACK, to, 1, 0, 0, message.sequence, to))

    def _send(self, sends: list[OutgoingMessage]) -> None:
        self.bytes["sent"] += sum(len(datagram.encode(send.message)) for send in sends)

    def _receive(self, message: Message) -> None:
        data = datagram.encode(message)
        self.bytes["received"] += len(data)
        with self._timed("membership"):
            self._send(self.membership.receive(datagram.decode(data, self.routers), self.now))

    def _report(self) -> None:
        observations = self._observations()
        with self._timed("record"):
            self.view.record(observations)
        with self._timed("report"):
            data = load_report.encode(self.view.report(self.now))
        self.bytes["sent"] += len(data) * min(FANOUT, self.routers - 1)
        with self._timed("snapshot"):
            self.view.snapshot(self.now)

    def _receive_report(self) -> None:
        data = load_report.encode(self._peer_report())
        self.bytes["received"] += len(data)
        with self._timed("receive"):
            self.view.receive(load_report.decode(data, self.routers), self.now)

    # Synthetic surroundings

    def _peer(self) -> int:
        return self.random.randrange(1, self.routers)

    def _poisson(self, mean: float) -> int:
        count, passed = 0, self.random.expovariate(1.0)
        while passed < mean:
            count, passed = count + 1, passed + self.random.expovariate(1.0)
        return count

    def _response_time(self) -> float:
        return max(self.random.gauss(MEAN_RESPONSE_TIME_NS, RESPONSE_TIME_DEVIATION_NS), 1e6)

    def _observations(self) -> Observations:
        requests = self._poisson(self.rate * REPORT_S)
        slots = self.random.choices(self.load.slots, cum_weights=self.load.sums, k=requests)
        response_times: dict[str, SampledResponseTime] = {}
        for i in range(requests):
            at = self.now - int((requests - i) / requests * REPORT_S * NS_PER_S)
            response_times[self.random.choice(self.load.servers)] = SampledResponseTime(
                self._response_time(), at
            )
        return Observations(response_times, Counter(slots))

    def _peer_report(self) -> LoadReport:
        requests = self.rate * DECAYED_S
        servers = self.random.sample(self.load.hashes, min(MAX_SERVERS, len(self.load.hashes)))
        samples = (
            ServerSample(server, int(self._response_time()), int(self.random.random() * REPORT_S * NS_PER_S))
            for server in servers
        )
        slots = {slot: round(share * requests) for slot, share in self.load.hottest}
        return LoadReport(self._peer(), 1, tuple(samples), round(requests), slots)


def held_bytes(make_control: Callable[[], ControlPart]) -> int:
    """Return the memory that code of holdgw/peers holds after a run, bytes."""
    tracemalloc.start()
    try:
        control = make_control()
        control.run(MEMORY_S)
        traces = tracemalloc.take_snapshot().filter_traces([tracemalloc.Filter(True, "*/holdgw/peers/*")])
        return sum(one.size for one in traces.statistics("filename"))
    finally:
        tracemalloc.stop()


def measure(load: Load, routers: int, rate: float, seconds: float, rounds: int) -> Iterator[dict[str, Any]]:
    """Yield a row of figures for each round."""
    memory = held_bytes(lambda: ControlPart(load, routers, rate, SEED))
    for i in range(rounds):
        control = ControlPart(load, routers, rate, SEED + i)
        control.run(WARM_UP_S)
        control.spent.clear()
        control.bytes.clear()
        control.run(seconds)
        cpu = {part: control.spent[part] / 1e6 / seconds for part in PARTS}
        yield {
            "routers": routers,
            "round": i,
            "seconds": seconds,
            "rate": rate,
            "servers": len(load.servers),
            "cpu_ms_per_s": {part: round(spent, 4) for part, spent in cpu.items()},
            "cpu_ms_per_s_total": round(sum(cpu.values()), 4),
            "bytes_per_s": {
                direction: round(control.bytes[direction] / seconds, 1) for direction in ("sent", "received")
            },
            "memory_bytes": memory,
            "routers_in_view": control.view.routers,
            "tables": control.view.tables(),
        }


def format_row(rows: list[dict[str, Any]]) -> str:
    """Format the medians of a size's rounds as a table row."""
    first = rows[0]
    cells = [median(row["cpu_ms_per_s"][part] for row in rows) for part in PARTS]
    cells.append(median(row["cpu_ms_per_s_total"] for row in rows))
    sent, received = (
        median(row["bytes_per_s"][direction] for row in rows) for direction in ("sent", "received")
    )
    return (
        f"| {first['routers']} | "
        + " | ".join(f"{cell:.2f}" for cell in cells)
        + f" | {cells[-1] / 10:.2f} % | {sent:.0f} | {received:.0f}"
        + f" | {first['memory_bytes'] / 1024:.0f} | {first['routers_in_view']} |"
    )


def main() -> None:
    """Measure and print a table with the medians of the rounds."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--routers", type=int, nargs="+", default=SIZES)
    parser.add_argument("--rate", type=float, default=RATE, help="requests a second at the router")
    parser.add_argument("--servers", type=int, default=SERVERS)
    parser.add_argument("--seconds", type=float, default=30.0, help="simulated, after the warm-up")
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--json", type=Path)
    args = parser.parse_args()
    load = make_load(args.servers)
    print(f"CPU ms by simulated second | {args.rate:g} requests a second, {args.servers} servers")
    print(f"| routers | {' | '.join(PARTS)} | total | of a core | sent B/s | received B/s | KB | in view |")
    print("| --- " * (len(PARTS) + 7) + "|")
    all_rows = []
    for routers in args.routers:
        rows = list(measure(load, routers, args.rate, args.seconds, args.rounds))
        all_rows += rows
        print(format_row(rows), flush=True)
    if args.json is not None:
        args.json.write_text("".join(json.dumps(row) + "\n" for row in all_rows))


if __name__ == "__main__":
    main()
