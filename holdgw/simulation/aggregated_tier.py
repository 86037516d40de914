"""Routers and aggregators that exchange load reports and views, over the relay's lines in simulated time.

No sockets and no requests: each router is told by servers how long an answer takes there, which the caller
knows, and what is looked at is what a router would hand to its decisions.
"""

from __future__ import annotations

import random
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from holdgw.emulators.relay_model import RelayModel
from holdgw.peers.aggregated_exchange import AggregatedExchange, ExchangeConfig, Role
from holdgw.peers.aggregation_client import APPLY_AFTER_S, REPORT_INTERVAL_S
from holdgw.peers.aggregator import Outgoing
from holdgw.peers.datagram import DecodeError
from holdgw.peers.load_view import LoadSnapshot, LoadView, Observations, SampledWait
from holdgw.simulation.event_queue import EventQueue

NS_PER_S = 1_000_000_000
TICK_NS = 100_000_000
REPORT_TICKS = round(REPORT_INTERVAL_S * NS_PER_S / TICK_NS)
APPLY_TICKS = round(APPLY_AFTER_S * NS_PER_S / TICK_NS)
GONE_AFTER = 8 * NS_PER_S  # as long as membership takes to learn of a death among some hundred


@dataclass(slots=True)
class SimulatedMember:
    """One process: its exchange, and what came while it was halted."""

    number: int
    exchange: AggregatedExchange
    load_view: LoadView
    ticks: int
    halted: bool = False
    unread: list[tuple[bytes, int]] = field(default_factory=list)


class AggregatedTier(EventQueue):
    """So many routers, then so many set-aside aggregators; `sites` of equal size, or as `site_of` says."""

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
        """How long an answer takes at a server, ns, by the time."""
        self.slots: Callable[[int], list[int]] = lambda _number: [
            self.random.randrange(8192) for _ in range(20)
        ]
        """The slots that a router is asked for in a second."""
        self.alter: Callable[[int, int, bytes], bytes | None] = lambda _number, _to, data: data
        """What a false member makes of what it sends; None: nothing."""
        self.members: dict[int, SimulatedMember] = {}
        self.dead_since: dict[int, int] = {}
        self.bytes_sent: Counter[int] = Counter()
        self.bytes_received: Counter[int] = Counter()
        self.starts: Counter[int] = Counter()
        self.snapshots: dict[int, LoadSnapshot] = {}
        self.on_snapshot: Callable[[int, LoadSnapshot], None] = lambda _number, _snapshot: None
        """Told of each snapshot that a router hands to its decisions."""
        for number in range(self.size):
            self.start(number)

    # Processes

    def start(self, number: int) -> None:
        """A new process of this member; it knows nothing."""
        self.starts[number] += 1
        self.dead_since.pop(number, None)
        rng = random.Random(f"{self.seed}/{number}/{self.starts[number]}")
        view = LoadView(number, rng.randrange(1, 1 << 32))
        view.set_servers(self.servers)
        role = Role.ROUTER if number in self.routers else Role.SET_ASIDE
        config = ExchangeConfig(number, self.size, self.aggregators, role, TICK_NS)
        exchange = AggregatedExchange(config, self, view, rng.randrange(1 << 30), self.now)
        member = SimulatedMember(number, exchange, view, rng.randrange(REPORT_TICKS))
        self.members[number] = member
        self.at(self.now + rng.randrange(TICK_NS), lambda: self._tick(member))

    def kill(self, *numbers: int) -> None:
        """Their processes are gone without a word."""
        for number in numbers:
            self.members.pop(number, None)
            self.dead_since[number] = self.now

    def halt(self, number: int, seconds: float) -> None:
        """Its process stands still, and then reads what came meanwhile, as its event loop does: before its
        timer.
        """
        member = self.members[number]
        member.halted = True

        def go_on() -> None:
            member.halted = False
            unread, member.unread = member.unread, []
            for data, source in unread:
                self._receive(member, data, source)

        self.at(self.now + int(seconds * NS_PER_S), go_on)

    # What membership would tell, alike at all

    def is_present(self, number: int) -> bool:
        """Whether a member is held present: it lives, or is not known to be dead yet."""
        return number in self.members or self.now - self.dead_since.get(number, self.now) < GONE_AFTER

    def present(self) -> list[int]:
        """Members that are held present."""
        return [number for number in range(self.size) if self.is_present(number)]

    def zone_of(self, number: int) -> int:
        """A member's site."""
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

    def _report(self, member: SimulatedMember) -> None:
        asked = self.random.sample(self.servers, min(self.samples_per_s, len(self.servers)))
        waits = {name: SampledWait(float(self.wait(name, self.now)), self.now) for name in asked}
        member.load_view.record(Observations(waits, Counter(self.slots(member.number))))
        self._send(member.number, member.exchange.report(self.now))

    def _apply(self, member: SimulatedMember) -> None:
        member.exchange.update_fallback(self.now)
        snapshot = member.exchange.snapshot(self.now)
        self.snapshots[member.number] = snapshot
        self.on_snapshot(member.number, snapshot)

    def _send(self, number: int, out: Iterable[Outgoing]) -> None:
        for one in out:
            data = self.alter(number, one.to, one.data)
            if data is not None:
                self.send(number, one.to, data)

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
        """Nothing comes through between these members, either way."""
        names = [[f"router{number:02d}" for number in side] for side in (a, b)]
        self.relay.block(names[0], names[1], self.now / NS_PER_S + seconds, True)

    def run(self, seconds: float) -> None:
        """Go on for so long."""
        self.run_until(self.now + int(seconds * NS_PER_S))

    # What is looked at

    def in_fallback(self) -> int:
        """Routers in fallback."""
        clients = [one.exchange.client for one in self.members.values()]
        return sum(client is not None and client.in_fallback for client in clients)

    def coverage(self) -> dict[int, int]:
        """By router: the reporters that its views rest on."""
        return {
            number: one.exchange.client.views.reporters(self.now)
            for number, one in self.members.items()
            if one.exchange.client is not None
        }

    def oldest_ages(self) -> dict[int, int]:
        """By router: the greatest age of a wait in its last snapshot, ns."""
        ages = defaultdict(int)
        for number, snapshot in self.snapshots.items():
            ages[number] = max((wait.age for wait in snapshot.waits.values()), default=0)
        return ages
