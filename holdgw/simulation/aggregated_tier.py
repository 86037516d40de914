"""A model of routers and aggregators that exchange load reports and views, in simulated time.

It has no sockets and no requests. Each router samples response times that the caller sets for every server,
and the result is the load snapshot that the router would pass to its routing policy. Datagrams take the
delays and losses of the relay model.
"""

from __future__ import annotations

import random
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from holdgw.emulators.relay_model import RelayModel
from holdgw.peers.aggregated_exchange import AggregatedExchange, ExchangeConfig, Role
from holdgw.peers.aggregation_client import APPLY_AFTER_S, REPORT_INTERVAL_S, RETRY_AFTER_S
from holdgw.peers.aggregator import OutgoingDatagram
from holdgw.peers.datagram import DecodeError
from holdgw.peers.load_view import LoadSnapshot, LoadView, Observations, SampledResponseTime
from holdgw.simulation.event_queue import EventQueue

NS_PER_S = 1_000_000_000
TICK_NS = 100_000_000
REPORT_TICKS = round(REPORT_INTERVAL_S * NS_PER_S / TICK_NS)
APPLY_TICKS = round(APPLY_AFTER_S * NS_PER_S / TICK_NS)
RETRY_TICKS = round(RETRY_AFTER_S * NS_PER_S / TICK_NS)
DEATH_DETECTION_NS = 8 * NS_PER_S  # what membership takes to detect a death among some hundred members


@dataclass(slots=True)
class SimulatedMember:
    """One process with its exchange, and the datagrams that arrived while it was halted."""

    number: int
    exchange: AggregatedExchange
    load_view: LoadView
    ticks: int
    halted: bool = False
    unread: list[tuple[bytes, int]] = field(default_factory=list)


class AggregatedTier(EventQueue):
    """A tier of routers, numbered first, and of dedicated aggregators after them.

    Members belong to `sites` sites of equal size, or to the sites that `site_of` returns. `servers` is the
    number of cache servers, of which each router samples `samples_per_s` a second. `aggregating_routers` are
    the routers that aggregate as well.
    """

    def __init__(
        self,
        routers: int,
        aggregators: int,
        seed: int,
        relay: RelayModel,
        *,
        servers: int = 12,
        sites: int = 4,
        samples_per_s: int = 12,
        aggregating_routers: Iterable[int] = (),
        site_of: Callable[[int], int] | None = None,
    ) -> None:
        super().__init__()
        self.relay, self.seed, self.random = relay, seed, random.Random(f"{seed}/aggregated")
        self.servers = [f"cache-{i}" for i in range(servers)]
        self.routers, self.size = range(routers), routers + aggregators
        self.aggregators = (*aggregating_routers, *range(routers, self.size))
        self.site_of = site_of or (lambda number: number % sites)
        self.samples_per_s = samples_per_s
        self.wait: Callable[[str, int], int] = lambda _server, _now: 20_000_000
        """Returns a server's response time at a time, both in nanoseconds."""
        self.slots: Callable[[int], list[int]] = lambda _number: [
            self.random.randrange(8192) for _ in range(20)
        ]
        """Returns the slots of the requests that a router gets in one second."""
        self.alter: Callable[[int, int, bytes], bytes | None] = lambda _number, _to, data: data
        """Alters a datagram that a faulty member sends, or drops it by returning None."""
        self.members: dict[int, SimulatedMember] = {}
        self.dead_since: dict[int, int] = {}
        self.bytes_sent: Counter[int] = Counter()
        self.bytes_received: Counter[int] = Counter()
        self.starts: Counter[int] = Counter()
        self.snapshots: dict[int, LoadSnapshot] = {}
        self.on_snapshot: Callable[[int, LoadSnapshot], None] = lambda _number, _snapshot: None
        """Called with each snapshot that a router passes to its routing policy."""
        for number in range(self.size):
            self.start(number)

    # Processes

    def start(self, number: int) -> None:
        """Start a new process of a member, without any state."""
        self.starts[number] += 1
        self.dead_since.pop(number, None)
        rng = random.Random(f"{self.seed}/{number}/{self.starts[number]}")
        view = LoadView(number, rng.randrange(1, 1 << 32))
        view.set_servers(self.servers)
        role = Role.ROUTER if number in self.routers else Role.DEDICATED
        config = ExchangeConfig(number, self.size, self.aggregators, role, TICK_NS)
        exchange = AggregatedExchange(config, self, view, rng.randrange(1 << 30), self.now)
        member = SimulatedMember(number, exchange, view, rng.randrange(REPORT_TICKS))
        self.members[number] = member
        self.at(self.now + rng.randrange(TICK_NS), lambda: self._tick(member))

    def kill(self, *numbers: int) -> None:
        """Kill the processes of members; no other member is notified."""
        for number in numbers:
            self.members.pop(number, None)
            self.dead_since[number] = self.now

    def halt(self, number: int, seconds: float) -> None:
        """Halt a member's process for some seconds.

        When it resumes, it reads the datagrams that arrived meanwhile before its timer runs, as an event loop
        does.
        """
        member = self.members[number]
        member.halted = True

        def resume() -> None:
            member.halted = False
            unread, member.unread = member.unread, []
            for data, source in unread:
                self._receive(member, data, source)

        self.at(self.now + int(seconds * NS_PER_S), resume)

    # The membership, the same for all members

    def is_present(self, number: int) -> bool:
        """Whether a member counts as present: it is alive, or its death is not detected yet."""
        return number in self.members or self.now - self.dead_since.get(number, self.now) < DEATH_DETECTION_NS

    def present(self) -> list[int]:
        """Return the members that count as present."""
        return [number for number in range(self.size) if self.is_present(number)]

    def zone_of(self, number: int) -> int:
        """Return a member's site."""
        return self.site_of(number)

    # Time and datagrams

    def _tick(self, member: SimulatedMember) -> None:
        if self.members.get(member.number) is not member:
            return
        self.at(self.now + TICK_NS, lambda: self._tick(member))
        if member.halted:
            return
        member.exchange.tick(self.now)
        member.ticks += 1
        if member.number in self.routers:
            if member.ticks % REPORT_TICKS == 0:
                self._report(member)
            if member.ticks % REPORT_TICKS == APPLY_TICKS:
                self._apply(member)
            if member.ticks % REPORT_TICKS == RETRY_TICKS:
                self._send(member.number, member.exchange.retry_report(self.now))

    def _report(self, member: SimulatedMember) -> None:
        sampled_servers = self.random.sample(self.servers, min(self.samples_per_s, len(self.servers)))
        response_times = {
            name: SampledResponseTime(float(self.wait(name, self.now)), self.now) for name in sampled_servers
        }
        member.load_view.record(Observations(response_times, Counter(self.slots(member.number))))
        self._send(member.number, member.exchange.report(self.now))

    def _apply(self, member: SimulatedMember) -> None:
        member.exchange.update_fallback(self.now)
        snapshot = member.exchange.snapshot(self.now)
        self.snapshots[member.number] = snapshot
        self.on_snapshot(member.number, snapshot)

    def _send(self, number: int, datagrams: Iterable[OutgoingDatagram]) -> None:
        for outgoing in datagrams:
            data = self.alter(number, outgoing.to, outgoing.data)
            if data is not None:
                self.send(number, outgoing.to, data)

    def send(self, number: int, to: int, data: bytes) -> None:
        """Send a datagram from one member's address to another's."""
        self.bytes_sent[number] += len(data)
        names = (f"router{number:02d}", f"router{to:02d}")
        for delay in self.relay.delivery_delays(self.now / NS_PER_S, *names, len(data)):
            self.at(self.now + int(delay * NS_PER_S), lambda: self._arrive(to, data, number))

    def _arrive(self, number: int, data: bytes, source: int) -> None:
        self.bytes_received[number] += len(data)
        member = self.members.get(number)
        if member is None:
            return
        if member.halted:
            member.unread.append((data, source))
        else:
            self._receive(member, data, source)

    def _receive(self, member: SimulatedMember, data: bytes, source: int) -> None:
        if self.members.get(member.number) is not member:
            return
        try:
            out = member.exchange.receive(data, source, self.now)
        except DecodeError as error:
            member.exchange.dropped[error.reason] += 1
            return
        self._send(member.number, out)

    def cut(self, a: Iterable[int], b: Iterable[int], seconds: float) -> None:
        """Block all datagrams between two groups of members for some seconds."""
        names = [[f"router{number:02d}" for number in side] for side in (a, b)]
        self.relay.block(names[0], names[1], self.now / NS_PER_S + seconds, True)

    def run(self, seconds: float) -> None:
        """Run for some seconds of simulated time."""
        self.run_until(self.now + int(seconds * NS_PER_S))

    # Measurements

    def in_fallback(self) -> int:
        """Return the number of routers in fallback."""
        clients = [member.exchange.client for member in self.members.values()]
        return sum(client is not None and client.in_fallback for client in clients)

    def coverage(self) -> dict[int, int]:
        """Return, by router, the number of reporters in its views."""
        return {
            number: member.exchange.client.views.max_reporters(self.now)
            for number, member in self.members.items()
            if member.exchange.client is not None
        }

    def oldest_ages(self) -> dict[int, int]:
        """Return, by router, the greatest age of a response time in its last snapshot, in nanoseconds."""
        ages = defaultdict(int)
        for number, snapshot in self.snapshots.items():
            ages[number] = max(
                (response_time.age for response_time in snapshot.response_times.values()), default=0
            )
        return ages
