"""A router's view of the load on the fleet, from its own observations and other routers' reports; pure.

A server's reported response time is the median of several routers' samples, weighted by age. One false sample
moves the median to a neighbouring sample at most, and old samples lose their weight. A slot's share is
counted over the requests of all routers that reported.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from holdgw.peers.heavy_hitters import COUNT_HALF_LIFE_S, COUNTERS, HeavyHitters
from holdgw.peers.load_encoding import MAX_AGE, ServerSample
from holdgw.peers.load_report import MAX_SERVERS, MAX_SLOTS, MAX_TENANTS, LoadReport, hash_server
from holdgw.peers.timing import NS_PER_S

MAX_SAMPLES = 7  # of a server, each the latest of one router; their median withstands three false ones
SAMPLE_HALF_LIFE_S = 1.0  # time in which a sample loses half its weight
MAX_SAMPLE_AGE = 5 * NS_PER_S  # older samples are ignored
MAX_COUNT_AGE = 10 * NS_PER_S  # older counts of a router's requests are ignored
MAX_ROUTER_SHARE = 0.3  # largest fraction of all reported requests that one router's report counts for
MIN_OTHER_REQUESTS = 50.0  # MAX_ROUTER_SHARE assumes at least this many requests of the other routers
MAX_OWN_SAMPLE_AGE = 3 * NS_PER_S  # older own samples are not reported


class SampledResponseTime(NamedTuple):
    """A server's reported response time (ns), and the time at which the router read it (ns)."""

    response_time: float
    at: int


class AgedResponseTime(NamedTuple):
    """A server's reported response time (ns), and the age of that value (ns)."""

    response_time: float
    age: int


class Observations(NamedTuple):
    """A router's observations since it was last asked: response times by server id, requests by slot."""

    response_times: Mapping[str, SampledResponseTime]
    slot_requests: Mapping[int, int]


class LoadSnapshot(NamedTuple):
    """The view at one time: response times by server id, fractions of all requests by slot."""

    response_times: Mapping[str, AgedResponseTime]
    slot_shares: Mapping[int, float]
    requests: float
    """Decayed number of requests that the shares are counted from."""
    own_requests: float
    """The part of `requests` that this router received itself."""


class SlotShares(NamedTuple):
    """Fractions of all requests by slot, and the number of requests that they are counted from."""

    shares: dict[int, float]
    requests: float


class ServerLoad(NamedTuple):
    """A server's median reported response time and its mean age, both ns, and the number of samples."""

    response_time: int
    age: int
    samples: int


class _Sample(NamedTuple):
    """A server's reported response time (ns), and when it was reported (ns)."""

    at: int
    response_time: int


@dataclass(slots=True)
class _RouterCounts:
    """The counts of one router's latest report, and when it arrived (ns)."""

    at: int
    requests: int
    slots: dict[int, int]
    """By slot, each at most `requests`."""
    demands: dict[int, int]


def _weighted_median(samples: list[tuple[int, int]]) -> ServerLoad:
    """Return the median load of at least one sample, given as (response time, age)."""
    weighted = [
        (response_time, math.pow(0.5, age / NS_PER_S / SAMPLE_HALF_LIFE_S), age)
        for response_time, age in samples
    ]
    weighted.sort()
    half, cumulative_weight = sum([weight for _, weight, _ in weighted]) / 2, 0.0
    median = weighted[-1][0]
    for response_time, weight, _ in weighted:
        cumulative_weight += weight
        if cumulative_weight >= half:
            median = response_time
            break
    age = sum([weight * age for _, weight, age in weighted]) / (2 * half)
    return ServerLoad(median, int(age), len(samples))


class LoadView:
    """One router's view, from its own observations and other routers' reports."""

    def __init__(self, own_number: int, boot_id: int, tenants: Iterable[str] = ()) -> None:
        """`own_number`: this router's number; `tenants`: names, in the order of the settings."""
        self.own_number = own_number
        self.boot_id = boot_id
        self.slot_counts = HeavyHitters()
        self._tenants = tuple(tenants)[:MAX_TENANTS]
        self._names_by_hash: dict[int, str] = {}  # listed servers by hash
        self._samples: dict[int, dict[int, _Sample]] = {}  # by server, then by router
        self._counts: dict[int, _RouterCounts] = {}  # by router
        self._own_samples: dict[int, _Sample] = {}  # by server, the latest last

    def set_servers(self, servers: Iterable[str]) -> None:
        """Set the listed servers; the samples of all others are dropped."""
        names: dict[int, str] = {}
        collided = set()
        for name in servers:
            server = hash_server(name)
            if server in names:
                collided.add(server)
            names[server] = name
        self._names_by_hash = {server: name for server, name in names.items() if server not in collided}
        self._samples = {
            server: by_router for server, by_router in self._samples.items() if server in self._names_by_hash
        }
        self._own_samples = {
            server: sample for server, sample in self._own_samples.items() if server in self._names_by_hash
        }

    def record(self, observations: Observations) -> None:
        """Add this router's own observations."""
        for name, sampled in observations.response_times.items():
            self.record_response_time(name, int(sampled.response_time), sampled.at)
        self.slot_counts.add_counts(observations.slot_requests)

    def record_response_time(self, name: str, response_time: int, at: int) -> None:
        """Add a response time (ns) that a server reported to this router at the time `at` (ns)."""
        server = hash_server(name)
        if server in self._names_by_hash:
            self._own_samples.pop(server, None)
            self._own_samples[server] = _Sample(at, response_time)
            self._add_sample(server, self.own_number, _Sample(at, response_time))

    def snapshot(self, now: int) -> LoadSnapshot:
        """Return the part of the view that the routing policy uses."""
        slots = self.shares(now)
        response_times = {
            name: AgedResponseTime(float(load.response_time), load.age)
            for name, load in self.loads(now).items()
        }
        return LoadSnapshot(response_times, slots.shares, slots.requests, self.slot_counts.total)

    def _add_sample(self, server: int, router: int, sample: _Sample) -> None:
        by_router = self._samples.setdefault(server, {})
        before = by_router.get(router)
        if before is not None and before.at >= sample.at:
            return  # a duplicate, or older than the sample held
        by_router.pop(router, None)
        by_router[router] = sample
        while len(by_router) > MAX_SAMPLES:
            del by_router[min(by_router, key=lambda number: by_router[number].at)]

    def receive(self, report: LoadReport, now: int) -> None:
        """Add another router's report, received at `now`."""
        if report.sender == self.own_number:
            return
        for server, response_time, age in report.samples:
            # The largest age that a report can hold also stands for every older sample.
            if server in self._names_by_hash and age < min(MAX_SAMPLE_AGE, MAX_AGE):
                self._add_sample(server, report.sender, _Sample(now - age, response_time))
        # A slot's count is bounded by the total of the same report. Otherwise one false report could make any
        # slot hot.
        slots = {slot: min(count, report.requests) for slot, count in report.slots.items()}
        self._counts[report.sender] = _RouterCounts(now, report.requests, slots, dict(report.demands))

    def report(self, now: int, demands: Callable[[], dict[str, float]] = dict) -> LoadReport:
        """Return the report of this router's latest own observations.

        `demands`: returns each tenant's demand for the origin, in requests a second.
        """
        self.slot_counts.decay(now)
        self._own_samples = {
            server: sample
            for server, sample in self._own_samples.items()
            if now - sample.at < MAX_OWN_SAMPLE_AGE
        }
        latest = list(self._own_samples.items())[-MAX_SERVERS:]
        rates = demands() if self._tenants else {}
        return LoadReport(
            self.own_number,
            self.boot_id,
            tuple(ServerSample(server, sample.response_time, now - sample.at) for server, sample in latest),
            round(self.slot_counts.total),
            {slot: round(count) for slot, count in self.slot_counts.guaranteed(MAX_SLOTS).items()},
            {i: round(rates[name] * 10) for i, name in enumerate(self._tenants) if name in rates},
        )

    @property
    def names(self) -> Mapping[int, str]:
        """The listed servers by hash."""
        return self._names_by_hash

    def own_response_times(self, now: int) -> dict[int, AgedResponseTime]:
        """Return the latest own samples younger than MAX_OWN_SAMPLE_AGE, by hash of the server."""
        return {
            server: AgedResponseTime(float(sample.response_time), now - sample.at)
            for server, sample in self._own_samples.items()
            if now - sample.at < MAX_OWN_SAMPLE_AGE
        }

    def loads(self, now: int) -> dict[str, ServerLoad]:
        """Return the load of each server with a sample younger than MAX_SAMPLE_AGE, by server id."""
        loads = {}
        for server, samples in self._samples.items():
            young = [
                (response_time, now - at)
                for at, response_time in samples.values()
                if now - at < MAX_SAMPLE_AGE
            ]
            if young:
                loads[self._names_by_hash[server]] = _weighted_median(young)
        return loads

    def shares(self, now: int) -> SlotShares:
        """Return each slot's fraction of all reported requests, decayed by age."""
        self._counts = {
            router: reported for router, reported in self._counts.items() if now - reported.at < MAX_COUNT_AGE
        }
        self.slot_counts.decay(now)
        total, counts = self.slot_counts.total, dict(self.slot_counts.guaranteed(COUNTERS))
        weights = self._count_weights(now)
        count_of = counts.get
        for router, reported in self._counts.items():
            weight = weights[router]
            total += weight * reported.requests
            for slot, count in reported.slots.items():
                counts[slot] = count_of(slot, 0.0) + weight * count
        return SlotShares({slot: count / total for slot, count in counts.items()} if total else {}, total)

    def _count_weights(self, now: int) -> dict[int, float]:
        """Return the weight of each router's counts: by age, and bounded for the router that reports most.

        Without the bound, a router that claims an arbitrary number of requests would determine all shares.
        With it, a router that really has more than MAX_ROUTER_SHARE of all requests counts for that fraction
        only.
        """
        weights = {
            router: math.pow(0.5, (now - reported.at) / NS_PER_S / COUNT_HALF_LIFE_S)
            for router, reported in self._counts.items()
        }
        weighted_requests = {
            router: weights[router] * reported.requests for router, reported in self._counts.items()
        }
        largest = max(weighted_requests, key=weighted_requests.__getitem__, default=-1)
        other_requests = (
            self.slot_counts.total + sum(weighted_requests.values()) - weighted_requests.get(largest, 0.0)
        )
        allowed = max(other_requests, MIN_OTHER_REQUESTS) * MAX_ROUTER_SHARE / (1.0 - MAX_ROUTER_SHARE)
        if allowed < weighted_requests.get(largest, 0.0):
            weights[largest] *= allowed / weighted_requests[largest]
        return weights

    @property
    def routers(self) -> int:
        """Number of other routers whose reports the shares were last counted from."""
        return len(self._counts)

    def demand(self, now: int) -> dict[str, float]:
        """Return each tenant's demand for the origin: mean requests a second of the routers that reported."""
        rates: dict[str, list[float]] = {}
        for reported in self._counts.values():
            if now - reported.at < MAX_COUNT_AGE:
                for index, rate in reported.demands.items():
                    if index < len(self._tenants):
                        rates.setdefault(self._tenants[index], []).append(rate / 10)
        return {name: sum(reported_rates) / len(reported_rates) for name, reported_rates in rates.items()}

    def tables(self) -> dict[str, int]:
        """Return the size of each table, by name."""
        return {
            "servers heard of": len(self._samples),
            "routers heard": len(self._counts),
            "slots counted": len(self.slot_counts),
        }
