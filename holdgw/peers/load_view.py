"""A router's view of the load on the fleet, from its own observations and other routers' reports; pure.

A server's wait is the median of what several routers were told by it, weighted by age: one false sample moves
it to a neighbouring one at most, and old samples lose their weight. A slot's share is counted over all
routers that reported.
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

MAX_SAMPLES = 7  # of a server, the latest of as many routers; their median stands against three false ones
SAMPLE_HALF_LIFE_S = 1.0  # in which a sample loses half its weight
MAX_SAMPLE_AGE = 5 * NS_PER_S  # from which on a sample is ignored
MAX_COUNT_AGE = 10 * NS_PER_S  # from which on a router's counts of requests are ignored
MAX_ROUTER_SHARE = 0.3  # of all requests reported, the most that one router's report counts for
MIN_OTHER_REQUESTS = 50.0  # others' requests that this bound is worked out from at the least
MAX_OWN_SAMPLE_AGE = 3 * NS_PER_S  # from which on an own sample is no longer reported


class SampledResponseTime(NamedTuple):
    """A server's wait by its own load report (ns), and the time at which the router read it (ns)."""

    response_time: float
    at: int


class AgedResponseTime(NamedTuple):
    """A server's wait (ns) and the age of that figure (ns)."""

    response_time: float
    age: int


class Observations(NamedTuple):
    """What a router observed since it was last asked: waits by server, requests by slot."""

    response_times: Mapping[str, SampledResponseTime]
    slot_requests: Mapping[int, int]


class LoadSnapshot(NamedTuple):
    """The view at one time: waits by server, shares of all requests by slot."""

    response_times: Mapping[str, AgedResponseTime]
    slot_shares: Mapping[int, float]
    requests: float
    """That the shares are counted from."""
    own_requests: float
    """Of these, the router's own."""


class SlotShares(NamedTuple):
    """Shares of all requests by slot, and the requests that they are counted from."""

    shares: dict[int, float]
    requests: float


class ServerLoad(NamedTuple):
    """A server's wait by several routers' samples and its mean age, both ns, and the number of samples."""

    response_time: int
    age: int
    samples: int


class _Sample(NamedTuple):
    """A server's wait, ns, as it was at that time, ns."""

    at: int
    response_time: int


@dataclass(slots=True)
class _RouterCounts:
    """The counts of one router's latest report, and when it came."""

    at: int
    requests: int
    slots: dict[int, int]
    """By slot, each at most `requests`."""
    demands: dict[int, int]


def _weighted_median(samples: list[tuple[int, int]]) -> ServerLoad:
    """The load by samples of (wait, age), at least one."""
    weighted = [
        (response_time, math.pow(0.5, age / NS_PER_S / SAMPLE_HALF_LIFE_S), age)
        for response_time, age in samples
    ]
    weighted.sort()
    half, passed = sum([weight for _, weight, _ in weighted]) / 2, 0.0
    median = weighted[-1][0]
    for response_time, weight, _ in weighted:
        passed += weight
        if passed >= half:
            median = response_time
            break
    age = sum([weight * age for _, weight, age in weighted]) / (2 * half)
    return ServerLoad(median, int(age), len(samples))


class LoadView:
    """One router's view: what it observed itself, and what others reported. `me`: its number."""

    def __init__(self, me: int, boot_id: int, tenants: Iterable[str] = ()) -> None:
        self.me = me
        self.boot_id = boot_id
        self.slot_counts = HeavyHitters()
        self._tenants = tuple(tenants)[:MAX_TENANTS]
        self._names: dict[int, str] = {}  # listed servers by hash
        self._samples: dict[int, dict[int, _Sample]] = {}  # by server, then by router
        self._counts: dict[int, _RouterCounts] = {}  # by router
        self._own: dict[int, _Sample] = {}  # own samples by server, the latest last

    def set_servers(self, servers: Iterable[str]) -> None:
        """Set the servers that are listed; samples of all others are dropped."""
        names: dict[int, str] = {}
        collided = set()
        for name in servers:
            server = hash_server(name)
            if server in names:
                collided.add(server)
            names[server] = name
        self._names = {server: name for server, name in names.items() if server not in collided}
        self._samples = {server: by for server, by in self._samples.items() if server in self._names}
        self._own = {server: sample for server, sample in self._own.items() if server in self._names}

    def record(self, observations: Observations) -> None:
        """Add this router's own observations."""
        for name, sampled in observations.response_times.items():
            self.record_response_time(name, int(sampled.response_time), sampled.at)
        self.slot_counts.add_counts(observations.slot_requests)

    def record_response_time(self, name: str, response_time: int, at: int) -> None:
        """Add a wait, ns, that a server reported to this router."""
        server = hash_server(name)
        if server in self._names:
            self._own.pop(server, None)
            self._own[server] = _Sample(at, response_time)
            self._add_sample(server, self.me, _Sample(at, response_time))

    def snapshot(self, now: int) -> LoadSnapshot:
        """All that the decisions take of the view."""
        slots = self.shares(now)
        response_times = {
            name: AgedResponseTime(float(load.response_time), load.age)
            for name, load in self.loads(now).items()
        }
        return LoadSnapshot(response_times, slots.shares, slots.requests, self.slot_counts.total)

    def _add_sample(self, server: int, router: int, sample: _Sample) -> None:
        by = self._samples.setdefault(server, {})
        before = by.get(router)
        if before is not None and before.at >= sample.at:
            return  # a repetition, or overtaken by a newer one
        by.pop(router, None)
        by[router] = sample
        while len(by) > MAX_SAMPLES:
            del by[min(by, key=lambda one: by[one].at)]

    def receive(self, report: LoadReport, now: int) -> None:
        """Take another router's report."""
        if report.sender == self.me:
            return
        for server, response_time, age in report.samples:
            # The largest age that a report can hold stands for every larger one, too.
            if server in self._names and age < min(MAX_SAMPLE_AGE, MAX_AGE):
                self._add_sample(server, report.sender, _Sample(now - age, response_time))
        # A report can't claim more requests for a slot than its router had in all: without this bound one
        # false report could make any slot hot.
        slots = {slot: min(count, report.requests) for slot, count in report.slots.items()}
        self._counts[report.sender] = _RouterCounts(now, report.requests, slots, dict(report.demands))

    def report(self, now: int, demands: Callable[[], dict[str, float]] = dict) -> LoadReport:
        """What to report to others: this router's latest own observations."""
        self.slot_counts.fade(now)
        self._own = {server: one for server, one in self._own.items() if now - one.at < MAX_OWN_SAMPLE_AGE}
        latest = list(self._own.items())[-MAX_SERVERS:]
        rates = demands() if self._tenants else {}
        return LoadReport(
            self.me,
            self.boot_id,
            tuple(ServerSample(server, sample.response_time, now - sample.at) for server, sample in latest),
            round(self.slot_counts.total),
            {slot: round(count) for slot, count in self.slot_counts.guaranteed(MAX_SLOTS).items()},
            {i: round(rates[name] * 10) for i, name in enumerate(self._tenants) if name in rates},
        )

    @property
    def names(self) -> Mapping[int, str]:
        """The listed servers by hash."""
        return self._names

    def own_response_times(self, now: int) -> dict[int, AgedResponseTime]:
        """By server's hash: the wait that this router was told last, no older than MAX_OWN_SAMPLE_AGE."""
        return {
            server: AgedResponseTime(float(one.response_time), now - one.at)
            for server, one in self._own.items()
            if now - one.at < MAX_OWN_SAMPLE_AGE
        }

    def loads(self, now: int) -> dict[str, ServerLoad]:
        """The load of each server that a sample younger than MAX_SAMPLE_AGE tells of."""
        found = {}
        for server, samples in self._samples.items():
            young = [
                (response_time, now - at)
                for at, response_time in samples.values()
                if now - at < MAX_SAMPLE_AGE
            ]
            if young:
                found[self._names[server]] = _weighted_median(young)
        return found

    def shares(self, now: int) -> SlotShares:
        """Each slot's share of all requests reported, decayed by age."""
        self._counts = {who: one for who, one in self._counts.items() if now - one.at < MAX_COUNT_AGE}
        self.slot_counts.fade(now)
        total, counts = self.slot_counts.total, dict(self.slot_counts.guaranteed(COUNTERS))
        weights = self._count_weights(now)
        counted = counts.get
        for who, one in self._counts.items():
            weight = weights[who]
            total += weight * one.requests
            for slot, count in one.slots.items():
                counts[slot] = counted(slot, 0.0) + weight * count
        return SlotShares({slot: count / total for slot, count in counts.items()} if total else {}, total)

    def _count_weights(self, now: int) -> dict[int, float]:
        """By router: the weight of its counts, by age, and bounded for the one that reports the most.

        Without the bound a router that claims requests without end would make up all of the shares. With it,
        a router that truly has more than MAX_ROUTER_SHARE of all requests counts for that share only.
        """
        weights = {
            who: math.pow(0.5, (now - one.at) / NS_PER_S / COUNT_HALF_LIFE_S)
            for who, one in self._counts.items()
        }
        claimed = {who: weights[who] * one.requests for who, one in self._counts.items()}
        largest = max(claimed, key=claimed.__getitem__, default=-1)
        others = self.slot_counts.total + sum(claimed.values()) - claimed.get(largest, 0.0)
        allowed = max(others, MIN_OTHER_REQUESTS) * MAX_ROUTER_SHARE / (1.0 - MAX_ROUTER_SHARE)
        if allowed < claimed.get(largest, 0.0):
            weights[largest] *= allowed / claimed[largest]
        return weights

    @property
    def routers(self) -> int:
        """Routers whose reports the shares were last counted from, this one aside."""
        return len(self._counts)

    def demand(self, now: int) -> dict[str, float]:
        """Each tenant's calls for the origin a second, at the mean router that reported."""
        rates: dict[str, list[float]] = {}
        for one in self._counts.values():
            if now - one.at < MAX_COUNT_AGE:
                for place, rate in one.demands.items():
                    if place < len(self._tenants):
                        rates.setdefault(self._tenants[place], []).append(rate / 10)
        return {name: sum(found) / len(found) for name, found in rates.items()}

    def tables(self) -> dict[str, int]:
        """How much each table holds."""
        return {
            "servers heard of": len(self._samples),
            "routers heard": len(self._counts),
            "slots counted": len(self.slot_counts),
        }
