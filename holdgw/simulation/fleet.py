"""Decision modules alone, with what they tell one another: how load spreads, and whether they herd.

No sockets, no wire: hundreds of modules ask servers that are queues, in simulated time. What routers and
servers really do is `play` and the laboratory of processes; here single causes are told apart, seconds a run.
"""

from __future__ import annotations

import random
from bisect import bisect
from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from itertools import accumulate, count

from holdgw.peers.gossip import FANOUT, REPORT_TICKS, TICK_S
from holdgw.peers.load_report import LoadReport
from holdgw.peers.load_view import LoadView, Observations, SampledWait
from holdgw.peers.timing import NS_PER_S
from holdgw.policy import (
    AttemptEnded,
    Endpoint,
    EndpointsChanged,
    EndpointState,
    LoadSnapshotChanged,
    Outcome,
    Reject,
    RequestArrived,
    RequestClass,
    RoutingPolicy,
    SendAttempt,
    Settings,
    UpdateKind,
)
from holdgw.simulation.event_queue import EventQueue

REPORT_NS = round(REPORT_TICKS * TICK_S * NS_PER_S)
ORIGIN = Endpoint("origin:1", kind="store")
FETCH_NS = 150_000_000
AIM_NS, DEADLINE_NS = 300_000_000, NS_PER_S


@dataclass
class SimulatedServer:
    """A cache server: one request after the other; `claimed_load` stands in for a report that is not true."""

    entry: Endpoint
    service: float
    free_at: int = 0
    ends: list[int] = field(default_factory=list)
    recent_ms: float = 20.0
    keys: set[str] = field(default_factory=set)
    claimed_load: tuple[float, float] | None = None
    arrivals: list[int] = field(default_factory=list)

    def report(self, now: int) -> tuple[float, float]:
        """How long an answer took here lately, ms, and how many wait."""
        self.ends = [end for end in self.ends if end > now]
        return self.claimed_load or (self.recent_ms, float(len(self.ends)))


@dataclass
class SimulatedPolicy:
    """A router: its module, and its load view where it has peers."""

    number: int
    router: RoutingPolicy
    load_view: LoadView
    frozen: list[Callable[[], None]] | None = None
    weight: float = 1.0


class Fleet(EventQueue):
    """So many routers and servers under one load, drawn by the seed."""

    def __init__(
        self,
        routers: int,
        servers: int,
        rate: float,
        seed: int,
        *,
        peers: bool = True,
        delay: int = 50_000_000,
        service: float = 0.05,
        keys: int = 6000,
        cold_time: int = 0,
        skew: float = 0.9,
    ) -> None:
        super().__init__()
        self.random = random.Random(f"{seed}/fleet")
        self.rate, self.peers, self.delay = rate, peers, delay
        self.settings = Settings(
            classes=(RequestClass("read", latency_objective_ns=AIM_NS, deadline_ns=DEADLINE_NS),),
            origin_kind="store",
            routers=routers,
            load_report_fields=("recent_ms", "backlog"),
            warm_up_initial_weight=0.2 if cold_time else 1.0,
            warm_up_ns=cold_time,
            gossip_allowed=peers,
        )
        self.servers = {
            f"10.1.{i // 250}.{i % 250}:1": SimulatedServer(
                Endpoint(f"10.1.{i // 250}.{i % 250}:1", kind="c"), service
            )
            for i in range(servers)
        }
        self._service = service
        self.routers = [
            SimulatedPolicy(n, RoutingPolicy(self.settings, seed * 1000 + n), LoadView(n, 1))
            for n in range(routers)
        ]
        self.listed = list(self.servers)
        self.can_reach: Callable[[int, int], bool] = lambda _from, _to: True
        self.hot: dict[str, float] = {}  # keys that get such a part of all reads besides
        self.falsify: Callable[[SimulatedPolicy, LoadReport], LoadReport] = lambda _one, report: report
        """What a router sends in place of its true report."""
        self._keys = [f"key{i}" for i in range(keys)]
        self.random.shuffle(self._keys)
        self._popular = list(accumulate((i + 1) ** -skew for i in range(keys)))
        self._ids = count()
        self._open: dict[
            str, tuple[SimulatedPolicy, str, int, int]
        ] = {}  # request: router, key, begun, attempt
        self._missed: dict[str, str] = {}  # request: the server where it missed
        self.count: Counter[str] = Counter()
        self.late_by_second: dict[int, int] = defaultdict(int)  # late or refused, by second
        for one in self.routers:
            self._send_list(one, UpdateKind.FULL)
            self.at(int(self.random.random() * REPORT_NS), lambda one=one: self._report(one))  # type: ignore[misc]
        self._schedule_request()

    def run(self, until_s: float) -> None:
        """Let time pass until this second."""
        self.run_until(int(until_s * NS_PER_S))

    # Lists, freezes

    def _send_list(self, one: SimulatedPolicy, kind: UpdateKind) -> None:
        def told() -> None:
            entries = tuple(self.servers[name].entry for name in self.listed)
            one.load_view.set_servers(self.listed)
            self._act(one, one.router.handle(EndpointsChanged(kind, (*entries, ORIGIN)), self.now))

        self._unless_frozen(one, told)

    def set_listed(self, names: Sequence[str], within: int = 100_000_000) -> None:
        """From now on these servers are listed; each router learns it within so many nanoseconds."""
        for name in names:
            if name not in self.servers:
                entry = Endpoint(name, kind="c", state=EndpointState.READY, started_ns=self.now)
                self.servers[name] = SimulatedServer(entry, self._service)
        self.listed = list(names)
        for one in self.routers:
            self.at(
                self.now + int(self.random.random() * within),
                lambda one=one: self._send_list(one, UpdateKind.FULL),  # type: ignore[misc]
            )

    def freeze(self, numbers: Sequence[int], seconds: float) -> None:
        """These routers stand still, and wake all at once with what came meanwhile."""
        for number in numbers:
            self.routers[number].frozen = []

        def wake() -> None:
            for number in numbers:
                held, self.routers[number].frozen = self.routers[number].frozen or [], None
                for act in held:
                    act()

        self.at(self.now + int(seconds * NS_PER_S), wake)

    def _unless_frozen(self, one: SimulatedPolicy, act: Callable[[], None]) -> None:
        if one.frozen is not None:
            one.frozen.append(act)
        else:
            act()

    # Requests

    def _schedule_request(self) -> None:
        self.at(self.now + int(self.random.expovariate(self.rate) * NS_PER_S), self._request)

    def _request(self) -> None:
        self._schedule_request()
        one = self.random.choices(self.routers, [one.weight for one in self.routers])[0]
        draw, key = self.random.random(), ""
        for name, share in self.hot.items():
            draw -= share
            if draw < 0:
                key = name
                break
        if not key:
            key = self._keys[bisect(self._popular, self.random.random() * self._popular[-1])]
        self.count["asked"] += 1
        begun = self.now

        def arrive() -> None:
            name = f"r{next(self._ids)}"
            self._open[name] = one, key, begun, 0
            event = RequestArrived(name, "read", self.now + DEADLINE_NS, key=key)
            self._act(one, one.router.handle(event, self.now))

        self._unless_frozen(one, arrive)

    def _act(self, one: SimulatedPolicy, actions: Sequence[object]) -> None:
        for action in actions:
            if isinstance(action, SendAttempt):
                self._send_attempt(one, action)
            elif hasattr(action, "request"):
                self.count["refused" if isinstance(action, Reject) else "failed"] += 1
                self.late_by_second[self.now // NS_PER_S] += 1
                self._open.pop(action.request, None)

    def _send_attempt(self, one: SimulatedPolicy, send: SendAttempt) -> None:
        _, key, begun, attempt = self._open[send.request_id]
        self._open[send.request_id] = one, key, begun, attempt + 1
        server = self.servers.get(send.endpoint_id)
        if server is None:
            self.count["fetches"] += 1
            self._end_attempt(one, send, self.now + FETCH_NS, Outcome.OK, None)
            return
        server.arrivals.append(self.now)
        start = max(self.now, server.free_at)
        server.free_at = end = start + int(server.service * self.random.uniform(0.5, 1.5) * NS_PER_S)
        server.ends.append(end)
        hit = key in server.keys
        if not hit:
            self.count["misses"] += 1
            self._missed[send.request_id] = send.endpoint_id
        self._end_attempt(one, send, end, Outcome.OK if hit else Outcome.MISS, server)

    def _end_attempt(
        self,
        one: SimulatedPolicy,
        send: SendAttempt,
        end: int,
        outcome: Outcome,
        server: SimulatedServer | None,
    ) -> None:
        sent, attempt = self.now, self._open[send.request_id][3]

        def over() -> None:
            self._unless_frozen(one, answered)

        def answered() -> None:
            took = self.now - sent
            load = None
            if server is not None:
                server.recent_ms += ((end - sent) / 1e6 - server.recent_ms) / 8
                load = server.report(self.now)
            known = self._open.get(send.request_id)
            if known is not None and known[3] == attempt and outcome is Outcome.OK:
                self._open.pop(send.request_id)
                self.count["served"] += 1
                late = self.now - known[2] > AIM_NS
                self.count["late"] += late
                self.late_by_second[self.now // NS_PER_S] += late
                missed = self._missed.pop(send.request_id, "")
                if server is None and missed in self.servers:
                    self.servers[missed].keys.add(known[1])
            event = AttemptEnded(
                send.request_id,
                attempt,
                send.endpoint_id,
                outcome,
                outcome is Outcome.OK,
                took,
                load_report=load,
            )
            self._act(one, one.router.handle(event, self.now))

        self.at(end, over)

    # Load reports

    def _report(self, one: SimulatedPolicy) -> None:
        self.at(self.now + REPORT_NS, lambda: self._report(one))
        if not self.peers or one.frozen is not None:
            return
        waits, slot_requests = one.router.take_observations()
        sampled = {server: SampledWait(wait, at) for server, (wait, at) in waits.items()}
        one.load_view.record(Observations(sampled, slot_requests))
        report = self.falsify(one, one.load_view.report(self.now))
        others = self.random.sample(self.routers, min(FANOUT + 1, len(self.routers)))
        for other in [other for other in others if other is not one][:FANOUT]:
            if self.can_reach(one.number, other.number):
                self.at(self.now + self.delay, lambda other=other: self._receive(other, report))  # type: ignore[misc]
        view = one.load_view.snapshot(self.now)
        event = LoadSnapshotChanged(view.waits, dict(view.slot_shares), view.requests, view.own_requests)
        self._act(one, one.router.handle(event, self.now))

    def _receive(self, one: SimulatedPolicy, report: LoadReport) -> None:
        self._unless_frozen(one, lambda: one.load_view.receive(report, self.now))

    # What is measured

    def spread(self, since_s: float, until_s: float) -> tuple[float, float]:
        """The busiest and the idlest listed server's arrivals over the mean."""
        found = [
            sum(since_s * NS_PER_S <= at < until_s * NS_PER_S for at in self.servers[name].arrivals)
            for name in self.listed
        ]
        mean = sum(found) / len(found)
        return max(found) / mean, min(found) / mean

    def herd(self, since_s: float, until_s: float, window: int = 100_000_000) -> float:
        """Variance over mean of a server's arrivals by window, in the mean; a Poisson stream's is 1."""
        found = []
        first, last = int(since_s * NS_PER_S) // window, int(until_s * NS_PER_S) // window
        for name in self.listed:
            counts = Counter(at // window for at in self.servers[name].arrivals)
            row = [counts[i] for i in range(first, last)]
            mean = sum(row) / len(row)
            if mean:
                found.append(sum((one - mean) ** 2 for one in row) / len(row) / mean)
        return sum(found) / len(found)
