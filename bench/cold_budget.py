"""Measures what all processes together send to a cold server: `python -m bench.cold_budget [--seeds 5]`.

Decision modules run alone, each with its share of the clients' requests; one server of the fleet has just
started. In each window the settings allow this server N calls (fall multiple x its present capacity x the
window); the sum over all processes must stay within N + 2 x root of N + 2. The table has the window with the
largest (calls - 2 - N) / root of N, which must be at most 2.
"""

from __future__ import annotations

import argparse
import math
import random
from bisect import bisect
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from functools import partial
from itertools import accumulate, count
from statistics import mean

from holdgw.policy import (
    NS_PER_S,
    AttemptEnded,
    Endpoint,
    EndpointsChanged,
    Event,
    Outcome,
    RequestArrived,
    RequestClass,
    RoutingPolicy,
    SendAttempt,
    SetTimer,
    Settings,
    TimerFired,
    UpdateKind,
)
from holdgw.simulation.event_queue import EventQueue

ORIGIN = Endpoint("origin:1", kind="store")
START_S, BEFORE_S, AFTER_S = (
    100,
    12.0,
    10.0,
)  # the cold server's start, and the time simulated before and after it
ANSWER_NS, FETCH_NS = 40_000_000, 150_000_000
DEADLINE_NS = 1_200_000_000
TENTHS, TENTH_S = 10, 0.5  # a tenth of the processes restarts each half second
KEYS, ZIPF = 3000, 1.1


@dataclass(frozen=True)
class Case:
    """A fleet and the faults that accompany the start of one of its servers."""

    name: str
    processes: int
    servers: int = 20
    load: float = 0.6
    """Of the warm servers' capacity."""
    warm_per_s: float = 50.0
    """Capacity of a warm server, requests a second."""
    fall_multiple: float = 4.0
    window_s: float = 2.0
    cold_share: float = 0.3
    cold_s: float = 8.0
    restarts: str = ""
    """all: every process restarts with the server; tenths: a tenth at a time from then on; pairs: for each
    process a new one starts beside the old one.
    """
    dead_servers: int = 0
    """Servers that refuse connections from the cold server's start on."""
    hot_share: float = 0.0
    """Share of requests for one key, in addition to the usual keys."""
    timeout_share: float = 0.0
    """Share of attempts that time out and are retried, so that far more is sent than is answered."""


CASES = [
    *(Case(f"one starts, {n}", n) for n in (1, 4, 20, 30, 200)),
    *(Case(f"with all processes, {n}", n, restarts="all") for n in (1, 4, 20, 30, 200)),
    *(Case(f"a tenth at a time, {n}", n, restarts="tenths") for n in (20, 30, 200)),
    *(Case(f"old and new together, {n}", n, restarts="pairs") for n in (4, 20, 30, 200)),
    *(Case(f"a hot key, {n}", n, hot_share=0.25, load=0.8) for n in (4, 30, 200)),
    *(Case(f"others die, {n}", n, dead_servers=8, load=0.9) for n in (4, 30, 200)),
    *(Case(f"a storm of time-outs, {n}", n, timeout_share=0.8, load=1.1) for n in (4, 30, 200)),
    *(Case(f"slow and few, {n}", n, 12, warm_per_s=16.0, fall_multiple=3.0, window_s=3.0, cold_share=0.12,
           cold_s=20.0, load=0.8, hot_share=0.1) for n in (4, 30)),
]  # fmt: skip


def _settings(case: Case) -> Settings:
    return Settings(
        classes=(RequestClass("get", latency_objective_ns=300_000_000, deadline_ns=DEADLINE_NS),),
        routers=case.processes,
        origin_kind="store",
        warm_up_initial_weight=case.cold_share,
        warm_up_ns=int(case.cold_s * NS_PER_S),
        warm_up_overload_factor=case.fall_multiple,
        warm_up_overload_window_ns=int(case.window_s * NS_PER_S),
    )


class ColdStartRun:
    """A simulation of one case with one seed."""

    def __init__(self, case: Case, seed: int) -> None:
        self._events, self._requests = EventQueue(), count()
        self.case, self._rng = case, random.Random(seed)
        self._servers = [Endpoint(f"10.0.0.{i}:80") for i in range(case.servers)]
        self._cold = self._servers[seed % case.servers]
        self._refusing = {server.id for server in self._servers if server is not self._cold}
        self._refusing = set(sorted(self._refusing)[: case.dead_servers])
        self._processes = [self._start_process(i) for i in range(case.processes)]
        self.sent: list[float] = []  # attempts at the cold server, seconds since its start
        self._is_announced = False
        weights = [1 / (rank + 3) ** ZIPF for rank in range(KEYS)]
        self._cumulative_weights = list(accumulate(weights))

    def _start_process(self, number: int) -> RoutingPolicy:
        policy = RoutingPolicy(_settings(self.case), self._rng.getrandbits(32))
        policy.handle(EndpointsChanged(UpdateKind.CACHED, (*self._servers, ORIGIN)), 0)
        return policy

    def _arrivals(self) -> Iterator[float]:
        rate, at = self.case.load * self.case.warm_per_s * self.case.servers, START_S - BEFORE_S
        while at < START_S + AFTER_S:
            at += self._rng.expovariate(rate)
            yield at

    def _key(self) -> str:
        if self._rng.random() < self.case.hot_share:
            return "hot"
        return f"k{bisect(self._cumulative_weights, self._rng.random() * self._cumulative_weights[-1])}"

    def run(self) -> float:
        """Run the simulation.

        Returns by how many roots of N the attempts exceed N (after the allowance of 2) in the worst window.
        """
        for at in self._arrivals():
            self._events.at(int(at * NS_PER_S), self._send_request)
        self._events.at(START_S * NS_PER_S, self._start_server)
        if self.case.restarts == "tenths":
            for tenth in range(TENTHS):
                at_ns = int((START_S + TENTH_S * tenth) * NS_PER_S)
                self._events.at(at_ns, partial(self._restart_tenth, tenth))
        self._events.run_all()
        return self._worst_window()

    def _restart_tenth(self, tenth: int) -> None:
        for i in range(tenth, len(self._processes), TENTHS):
            self._processes[i] = self._start_process(i)

    def _start_server(self) -> None:
        self._cold = Endpoint(self._cold.id, started_ns=self._events.now)
        self._servers = [self._cold if server.id == self._cold.id else server for server in self._servers]
        if self.case.restarts == "all":
            self._processes = [self._start_process(i) for i in range(self.case.processes)]
        elif self.case.restarts == "pairs":
            self._processes += [self._start_process(i) for i in range(self.case.processes)]
        for policy in self._processes:
            policy.handle(EndpointsChanged(UpdateKind.DELTA, (self._cold,)), self._events.now)
        self._is_announced = True

    def _send_request(self) -> None:
        process = self._rng.randrange(len(self._processes))
        deadline = self._events.now + DEADLINE_NS
        self._handle(process, RequestArrived(f"r{next(self._requests)}", "get", deadline, key=self._key()))

    def _handle(self, process: int, event: Event) -> None:
        policy, now = self._processes[process], self._events.now
        for action in policy.handle(event, now):
            if isinstance(action, SetTimer):
                self._handle_later(action.delay_ns, process, TimerFired(action.token))
            elif isinstance(action, SendAttempt):
                self._send(process, action)

    def _handle_later(self, delay: int, process: int, event: Event) -> None:
        self._events.at(self._events.now + delay, partial(self._handle, process, event))

    def _send(self, process: int, action: SendAttempt) -> None:
        now = self._events.now
        if action.endpoint_id == self._cold.id and self._is_announced:
            self.sent.append((now - START_S * NS_PER_S) / NS_PER_S)
        took, outcome = ANSWER_NS, Outcome.OK
        if action.endpoint_id == ORIGIN.id:
            took = FETCH_NS
        elif action.endpoint_id in self._refusing and self._is_announced:
            took, outcome = 1_000_000, Outcome.CONNECT_FAILED
        elif self._rng.random() < self.case.timeout_share:
            took, outcome = 300_000_000, Outcome.RESET
        closed = outcome is Outcome.OK
        self._handle_later(
            took, process, AttemptEnded(action.request_id, 0, action.endpoint_id, outcome, closed, took)
        )

    def _worst_window(self) -> float:
        case, window, worst = self.case, deque[float](), -math.inf
        for at in self.sent:
            if at >= case.cold_s:
                break  # a warm server is not knocked out
            window.append(at)
            while window[0] <= at - case.window_s:
                window.popleft()
            age = max(at - case.window_s, 0.0)  # at the window's start, where the capacity is least
            warmth = min(case.cold_share + (1 - case.cold_share) * age / case.cold_s, 1.0)
            allowed = case.fall_multiple * case.warm_per_s * warmth * case.window_s
            worst = max(worst, (len(window) - 2 - allowed) / math.sqrt(allowed))
        return worst


def main() -> int:
    """Print a table; returns 1 if a window exceeded the bound."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    seeds = parser.parse_args().seeds
    exceeded = False
    print("| case | worst window, roots of N over N (2 at most) | mean over seeds | sent a seed |")
    print("| --- | --- | --- | --- |")
    for case in CASES:
        runs = [ColdStartRun(case, seed) for seed in range(seeds)]
        worst_windows = [run.run() for run in runs]
        sent = mean(len(run.sent) for run in runs)
        exceeded |= max(worst_windows) > 2
        print(
            f"| {case.name} | {max(worst_windows):.1f} | {mean(worst_windows):.1f} | {sent:.0f} |", flush=True
        )
    return int(exceeded)


if __name__ == "__main__":
    raise SystemExit(main())
