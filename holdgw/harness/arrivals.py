"""Draws the requests of a run ahead, from the scenario and the seed, without input or output.

Every arrival uses the same number of draws, whether it is kept or not, so that a fault moves no other
arrival.
"""

from __future__ import annotations

import itertools
import random
from bisect import bisect_right
from collections import deque
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from holdgw.emulators.seeded_draws import between
from holdgw.harness import fault_types as t
from holdgw.harness import scenario as s
from holdgw.harness.scenario import Scenario, router_names
from holdgw.harness.schedule import (
    BURST,
    HOT_CALLER,
    HOT_KEY,
    PRELUDE,
    SCAN,
    USUAL,
    ScheduledRequest,
    draw_number,
    generator,
)

QUOTA_WINDOW_S = 1.0
SAFE = "safe"  # an effect of the scenario's classes: the request may be repeated


class _Draws(NamedTuple):
    """The draws of one arrival, each in [0, 1)."""

    keep: float
    request_class: float
    tenant: float
    key: float
    scan: float
    hot_caller: float
    hot_router: float
    zone: float
    spread: float
    patience: float
    backoff: float
    honours: float
    leaves: float
    leaves_at: float
    fresh: float
    burst: float


class _Popularity:
    """Keys by their rank: weight (rank + offset) ** -zipf."""

    def __init__(self, keys: s.Keys) -> None:
        weights = ((rank + 1 + keys.offset) ** -keys.zipf for rank in range(keys.count))
        self._sums = list(itertools.accumulate(weights))

    def key(self, draw: float) -> bytes:
        """Return the key that a draw in [0, 1) selects."""
        return key_name(bisect_right(self._sums, draw * self._sums[-1], hi=len(self._sums) - 1))


@dataclass(slots=True)
class _HotKeys:
    """One fault of hot keys, with the number of its draw and its generator."""

    fault: t.HotKey
    number: int
    rng: random.Random


def key_name(rank: int) -> bytes:
    """Return the name of the key with a popularity rank; 0 is the most popular."""
    return b"pkg-%06d" % rank


def load_at(scenario: Scenario, at: float) -> float:
    """Return the scheduled requests per second at a time of the run, without bursts and client retries."""
    shape = scenario.load.shape
    before = [point for point in shape if point[0] <= at]
    after = [point for point in shape if point[0] > at]
    if not before or not after:
        return scenario.load.rate * (before[-1] if before else after[0])[1]
    (t0, f0), (t1, f1) = before[-1], after[0]
    return scenario.load.rate * (f0 + (f1 - f0) * (at - t0) / (t1 - t0))


def draw_prelude(scenario: Scenario, seed: int) -> Iterator[ScheduledRequest]:
    """Yield one request for each of the most popular keys, at negative times before the run begins."""
    count = min(scenario.emulator.prelude_keys, scenario.keys.count)
    if not scenario.emulator.prelude_s or not count:
        return
    rng = generator(seed, "prelude")
    safe = next((i for i, one in enumerate(scenario.classes) if one.effect == SAFE), None)
    if safe is None:
        return
    for i in range(count):
        at = scenario.emulator.prelude_s * (i / count - 1)
        zone = rng.choice(scenario.fleet.zones)
        # The least popular key comes first, so that the most popular ones are evicted last.
        key = key_name(count - 1 - i)
        yield ScheduledRequest(
            i - count, at, safe, 0, key, PRELUDE, zone, rng.random(), "", 0.8, 0.5, True, 1.0, False, False
        )


def draw_arrivals(scenario: Scenario, seed: int) -> Iterator[ScheduledRequest]:
    """Yield every request of the run, in order of time."""
    return _ArrivalDrawing(scenario, seed).requests()


class _ArrivalDrawing:
    """Draws arrivals as a Poisson process at the scenario's peak, and keeps the fraction due at each time."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self._scenario = scenario
        self._rng = generator(seed, "arrivals")
        self._popularity = _Popularity(scenario.keys)
        self._class_sums = list(itertools.accumulate(one.share for one in scenario.classes))
        self._tenant_sums = list(itertools.accumulate(one.share for one in scenario.tenants))
        self._tenant_names = [one.name for one in scenario.tenants]
        self._tenant_shares = [
            self._tenant_sums[0],
            *(b - a for a, b in itertools.pairwise(self._tenant_sums)),
        ]
        # Arrivals of each tenant in the last second that are within its quota.
        self._within_quota: list[deque[float]] = [deque() for _ in self._tenant_names]
        self._bursts = [one for one in scenario.trouble if isinstance(one, t.Burst)]
        self._scans = [one for one in scenario.trouble if isinstance(one, t.Scan)]
        self._hot_callers = self._draw_hot_callers(seed)
        self._hot_keys = [
            _HotKeys(one, draw_number(i, one), generator(seed, f"hot_key{draw_number(i, one)}"))
            for i, one in enumerate(scenario.trouble)
            if isinstance(one, t.HotKey)
        ]

    def _draw_hot_callers(self, seed: int) -> list[tuple[t.HotCaller, list[str]]]:
        routers = router_names(self._scenario.fleet)
        return [
            (one, generator(seed, f"hot{draw_number(i, one)}").sample(routers, one.routers))
            for i, one in enumerate(self._scenario.trouble)
            if isinstance(one, t.HotCaller)
        ]

    def requests(self) -> Iterator[ScheduledRequest]:
        """Yield every request of the run, in order of time."""
        peak = self._scenario.peak
        at = 0.0
        number = 0
        while True:
            at += self._rng.expovariate(peak)
            if at >= self._scenario.length_s:
                return
            burst_rates = self._burst_load(at)
            rate = load_at(self._scenario, at)
            for burst_rate, _ in burst_rates:
                rate += burst_rate
            draws = _Draws(*(self._rng.random() for _ in _Draws._fields))
            if draws.keep * peak < rate:
                yield self._request(number, at, draws, burst_rates, rate)
                number += 1

    def _burst_load(self, at: float) -> list[tuple[float, t.Burst]]:
        """Return what each burst at that time adds, in requests per second."""
        base = load_at(self._scenario, at)
        burst_rates = []
        for burst in self._bursts:
            if burst.at <= at < burst.at + burst.seconds:
                burst_rates.append((base * self._share_of(burst.tenant) * (burst.factor - 1), burst))
        return burst_rates

    def _share_of(self, tenant: str) -> float:
        """Return a tenant's share of all requests; 1 for an empty name, which means all tenants."""
        if not tenant:
            return 1.0
        return self._tenant_shares[self._tenant_names.index(tenant)] / self._tenant_sums[-1]

    def _request(
        self, number: int, at: float, draws: _Draws, burst_rates: Sequence[tuple[float, t.Burst]], rate: float
    ) -> ScheduledRequest:
        scenario = self._scenario
        clients = scenario.clients
        request_class = _drawn_index(self._class_sums, draws.request_class)
        tenant, source = self._tenant_and_source(draws, burst_rates, rate)
        zone = scenario.fleet.zones[int(draws.zone * len(scenario.fleet.zones))]
        safe = scenario.classes[request_class].effect == SAFE
        key, source = self._key_and_source(number, at, draws, source, zone if safe else None)
        source, router = self._caller(at, draws, source)
        return ScheduledRequest(
            number,
            at,
            request_class,
            tenant,
            key,
            source,
            zone,
            draws.spread,
            router,
            between(draws.patience, clients.try_share),
            draws.backoff,
            draws.honours < clients.honour,
            draws.leaves_at if draws.leaves < clients.impatient else 1.0,
            draws.fresh < clients.fresh,
            self._is_over_quota(tenant, at),
        )

    def _tenant_and_source(
        self, draws: _Draws, burst_rates: Sequence[tuple[float, t.Burst]], rate: float
    ) -> tuple[int, str]:
        """Return the request's tenant, and its source for reports: usual or a burst."""
        tenant = _drawn_index(self._tenant_sums, draws.tenant)
        point = draws.burst * rate
        for burst_rate, burst in burst_rates:
            if 0 <= point < burst_rate:
                return self._tenant_names.index(burst.tenant) if burst.tenant else tenant, BURST
            point -= burst_rate
        return tenant, USUAL

    def _key_and_source(
        self, number: int, at: float, draws: _Draws, source: str, read_zone: str | None
    ) -> tuple[bytes, str]:
        """Return the request's key and its source for reports; a scan or a hot key may change a read's.

        `read_zone` is the zone of a read's client, and None for a write.
        """
        key = self._popularity.key(draws.key)
        if read_zone is not None and any(
            scan.at <= at < scan.at + scan.seconds and draws.scan < scan.share for scan in self._scans
        ):
            key, source = b"once-%08d" % number, SCAN
        for hot_keys in self._hot_keys:
            share_draw, key_index = hot_keys.rng.random(), hot_keys.rng.randrange(hot_keys.fault.keys)
            if (
                read_zone is not None
                and hot_keys.fault.at <= at < hot_keys.fault.at + hot_keys.fault.seconds
                and share_draw < hot_keys.fault.share
                and hot_keys.fault.zone in ("", read_zone)
            ):
                key, source = b"hot-%04d-%04d" % (hot_keys.number, key_index), HOT_KEY
        return key, source

    def _caller(self, at: float, draws: _Draws, source: str) -> tuple[str, str]:
        """Return the request's source, and its router if a hot caller sends it."""
        for fault, routers in self._hot_callers:
            if fault.at <= at < fault.at + fault.seconds and draws.hot_caller < fault.share:
                return HOT_CALLER, routers[int(draws.hot_router * len(routers))]
        return source, ""

    def _is_over_quota(self, tenant: int, at: float) -> bool:
        quota = self._scenario.tenants[tenant].quota_per_s
        if not quota:
            return False
        window = self._within_quota[tenant]
        while window and window[0] <= at - QUOTA_WINDOW_S:
            window.popleft()
        if len(window) >= quota * QUOTA_WINDOW_S:
            return True
        window.append(at)
        return False


def _drawn_index(sums: Sequence[float], draw: float) -> int:
    """Return the index that a draw in [0, 1) selects, by running sums of weights."""
    return min(bisect_right(sums, draw * sums[-1]), len(sums) - 1)
