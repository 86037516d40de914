"""A model of routing policies that share load reports, to measure how load spreads and whether they herd.

It has no sockets and no wire format: hundreds of routing policies send requests to servers that are queues,
in simulated time. `fleet_run` and the harness run complete routers and servers; this model isolates single
causes, in runs that take seconds.
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
from holdgw.peers.load_view import LoadView, Observations, SampledResponseTime
from holdgw.peers.timing import NS_PER_S
from holdgw.policy import (
    AttemptEnded,
    Endpoint,
    EndpointsChanged,
    EndpointState,
    Fail,
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
LATENCY_OBJECTIVE_NS, DEADLINE_NS = 300_000_000, NS_PER_S


@dataclass
class SimulatedServer:
    """A cache server that serves one request at a time; `claimed_load` replaces its true load report."""

    entry: Endpoint
    service: float
    free_at: int = 0
    ends: list[int] = field(default_factory=list)
    recent_ms: float = 20.0
    keys: set[str] = field(default_factory=set)
    claimed_load: tuple[float, float] | None = None
    arrivals: list[int] = field(default_factory=list)

    def report(self, now: int) -> tuple[float, float]:
        """Return the recent response time in milliseconds and the number of waiting requests."""
        self.ends = [end for end in self.ends if end > now]
        return self.claimed_load or (self.recent_ms, float(len(self.ends)))


@dataclass
class SimulatedPolicy:
    """A router of the model: its routing policy and, where it has peers, its load view."""

    number: int
    policy: RoutingPolicy
    load_view: LoadView
    frozen: list[Callable[[], None]] | None = None
    weight: float = 1.0


class Fleet(EventQueue):
    """Routers and servers under one load, drawn from the seed.

    `rate` is in requests per second. `delay` is that of a load report and `cold_time` the servers' warm-up
    time, both in nanoseconds. `service` is a server's mean time per request in seconds, and `skew` the Zipf
    exponent of the keys' popularity.
    """

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
            classes=(
                RequestClass("read", latency_objective_ns=LATENCY_OBJECTIVE_NS, deadline_ns=DEADLINE_NS),
            ),
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
        self.hot: dict[str, float] = {}  # keys with an extra share of all reads each
        self.falsify: Callable[[SimulatedPolicy, LoadReport], LoadReport] = lambda _router, report: report
        """Returns the load report that a router sends, given its true report."""
        self._keys = [f"key{i}" for i in range(keys)]
        self.random.shuffle(self._keys)
        self._cumulative_popularity = list(accumulate((i + 1) ** -skew for i in range(keys)))
        self._ids = count()
        self._open: dict[
            str, tuple[SimulatedPolicy, str, int, int]
        ] = {}  # request: router, key, start time, attempt
        self._missed: dict[str, str] = {}  # request: the server of its cache miss
        self.request_counts: Counter[str] = Counter()
        self.late_by_second: dict[int, int] = defaultdict(int)  # late, rejected or failed requests
        for router in self.routers:
            self._send_list(router, UpdateKind.FULL)
            self.at(int(self.random.random() * REPORT_NS), lambda router=router: self._report(router))  # type: ignore[misc]
        self._schedule_request()

    @property
    def open_count(self) -> int:
        """The number of requests that have arrived at a router and have no final answer yet."""
        return len(self._open)

    def run(self, until_s: float) -> None:
        """Run until a second of simulated time."""
        self.run_until(int(until_s * NS_PER_S))

    # Endpoint lists and freezes

    def _send_list(self, router: SimulatedPolicy, kind: UpdateKind) -> None:
        def apply() -> None:
            entries = tuple(self.servers[name].entry for name in self.listed)
            router.load_view.set_servers(self.listed)
            self._apply_actions(
                router, router.policy.handle(EndpointsChanged(kind, (*entries, ORIGIN)), self.now)
            )

        self._unless_frozen(router, apply)

    def set_listed(self, names: Sequence[str], within: int = 100_000_000) -> None:
        """Change the listed servers; each router learns of it within `within` nanoseconds."""
        for name in names:
            if name not in self.servers:
                entry = Endpoint(name, kind="c", state=EndpointState.READY, started_ns=self.now)
                self.servers[name] = SimulatedServer(entry, self._service)
        self.listed = list(names)
        for router in self.routers:
            self.at(
                self.now + int(self.random.random() * within),
                lambda router=router: self._send_list(router, UpdateKind.FULL),  # type: ignore[misc]
            )

    def freeze(self, numbers: Sequence[int], seconds: float) -> None:
        """Stop routers for some seconds; they all resume at once and handle what arrived meanwhile."""
        for number in numbers:
            self.routers[number].frozen = []

        def resume() -> None:
            for number in numbers:
                deferred, self.routers[number].frozen = self.routers[number].frozen or [], None
                for callback in deferred:
                    callback()

        self.at(self.now + int(seconds * NS_PER_S), resume)

    def _unless_frozen(self, router: SimulatedPolicy, callback: Callable[[], None]) -> None:
        if router.frozen is not None:
            router.frozen.append(callback)
        else:
            callback()

    # Requests

    def _schedule_request(self) -> None:
        self.at(self.now + int(self.random.expovariate(self.rate) * NS_PER_S), self._request)

    def _request(self) -> None:
        self._schedule_request()
        router = self.random.choices(self.routers, [router.weight for router in self.routers])[0]
        draw, key = self.random.random(), ""
        for hot_key, share in self.hot.items():
            draw -= share
            if draw < 0:
                key = hot_key
                break
        if not key:
            key = self._keys[
                bisect(self._cumulative_popularity, self.random.random() * self._cumulative_popularity[-1])
            ]
        self.request_counts["asked"] += 1
        started_at = self.now

        def arrive() -> None:
            request_id = f"r{next(self._ids)}"
            self._open[request_id] = router, key, started_at, 0
            event = RequestArrived(request_id, "read", self.now + DEADLINE_NS, key=key)
            self._apply_actions(router, router.policy.handle(event, self.now))

        self._unless_frozen(router, arrive)

    def _apply_actions(self, router: SimulatedPolicy, actions: Sequence[object]) -> None:
        for action in actions:
            if isinstance(action, SendAttempt):
                self._send_attempt(router, action)
            elif isinstance(action, Reject | Fail):
                self.request_counts["refused" if isinstance(action, Reject) else "failed"] += 1
                self.late_by_second[self.now // NS_PER_S] += 1
                self._open.pop(action.request_id, None)

    def _send_attempt(self, router: SimulatedPolicy, send: SendAttempt) -> None:
        _, key, started_at, attempt = self._open[send.request_id]
        self._open[send.request_id] = router, key, started_at, attempt + 1
        server = self.servers.get(send.endpoint_id)
        if server is None:
            self.request_counts["fetches"] += 1
            self._end_attempt(router, send, self.now + FETCH_NS, Outcome.OK, None)
            return
        server.arrivals.append(self.now)
        start = max(self.now, server.free_at)
        server.free_at = end = start + int(server.service * self.random.uniform(0.5, 1.5) * NS_PER_S)
        server.ends.append(end)
        hit = key in server.keys
        if not hit:
            self.request_counts["misses"] += 1
            self._missed[send.request_id] = send.endpoint_id
        self._end_attempt(router, send, end, Outcome.OK if hit else Outcome.MISS, server)

    def _end_attempt(
        self,
        router: SimulatedPolicy,
        send: SendAttempt,
        end: int,
        outcome: Outcome,
        server: SimulatedServer | None,
    ) -> None:
        sent, attempt = self.now, self._open[send.request_id][3]

        def receive_reply() -> None:
            self._unless_frozen(router, handle_reply)

        def handle_reply() -> None:
            duration = self.now - sent
            load = None
            if server is not None:
                server.recent_ms += ((end - sent) / 1e6 - server.recent_ms) / 8
                load = server.report(self.now)
            request = self._open.get(send.request_id)
            if request is not None and request[3] == attempt and outcome is Outcome.OK:
                self._open.pop(send.request_id)
                self.request_counts["served"] += 1
                late = self.now - request[2] > LATENCY_OBJECTIVE_NS
                self.request_counts["late"] += late
                self.late_by_second[self.now // NS_PER_S] += late
                missed = self._missed.pop(send.request_id, "")
                if server is None and missed in self.servers:
                    self.servers[missed].keys.add(request[1])
            event = AttemptEnded(
                send.request_id,
                attempt,
                send.endpoint_id,
                outcome,
                outcome is Outcome.OK,
                duration,
                load_report=load,
            )
            self._apply_actions(router, router.policy.handle(event, self.now))

        self.at(end, receive_reply)

    # Load reports

    def _report(self, router: SimulatedPolicy) -> None:
        self.at(self.now + REPORT_NS, lambda: self._report(router))
        if not self.peers or router.frozen is not None:
            return
        response_times, slot_requests = router.policy.take_observations()
        sampled = {
            server: SampledResponseTime(response_time, at)
            for server, (response_time, at) in response_times.items()
        }
        router.load_view.record(Observations(sampled, slot_requests))
        report = self.falsify(router, router.load_view.report(self.now))
        others = self.random.sample(self.routers, min(FANOUT + 1, len(self.routers)))
        for other in [other for other in others if other is not router][:FANOUT]:
            if self.can_reach(router.number, other.number):
                self.at(self.now + self.delay, lambda other=other: self._receive(other, report))  # type: ignore[misc]
        view = router.load_view.snapshot(self.now)
        event = LoadSnapshotChanged(
            view.response_times, dict(view.slot_shares), view.requests, view.own_requests
        )
        self._apply_actions(router, router.policy.handle(event, self.now))

    def _receive(self, router: SimulatedPolicy, report: LoadReport) -> None:
        self._unless_frozen(router, lambda: router.load_view.receive(report, self.now))

    # Measurements

    def spread(self, since_s: float, until_s: float) -> tuple[float, float]:
        """Return the most and the fewest arrivals of a listed server, each divided by the mean."""
        arrival_counts = [
            sum(since_s * NS_PER_S <= at < until_s * NS_PER_S for at in self.servers[name].arrivals)
            for name in self.listed
        ]
        mean = sum(arrival_counts) / len(arrival_counts)
        return max(arrival_counts) / mean, min(arrival_counts) / mean

    def arrival_dispersion(self, since_s: float, until_s: float, window: int = 100_000_000) -> float:
        """Return the mean over servers of the index of dispersion of arrivals per window (Poisson: 1)."""
        dispersions = []
        first, last = int(since_s * NS_PER_S) // window, int(until_s * NS_PER_S) // window
        for name in self.listed:
            counts = Counter(at // window for at in self.servers[name].arrivals)
            counts_by_window = [counts[i] for i in range(first, last)]
            mean = sum(counts_by_window) / len(counts_by_window)
            if mean:
                dispersions.append(
                    sum((arrivals - mean) ** 2 for arrivals in counts_by_window)
                    / len(counts_by_window)
                    / mean
                )
        return sum(dispersions) / len(dispersions)
