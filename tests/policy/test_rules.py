"""The policy's rules, checked on random sequences of events.

Each request gets one final answer in time, attempts go to ready endpoints only, no request takes effect
twice, and a cold endpoint is not overloaded.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field

from hypothesis import given, strategies
from hypothesis import settings as profile

from holdgw.policy import (
    Action,
    AttemptEnded,
    DedupScope,
    Endpoint,
    EndpointsChanged,
    EndpointState,
    Event,
    Fail,
    Idempotency,
    Outcome,
    Reject,
    RequestArrived,
    RequestCancelled,
    RoutingPolicy,
    SendAttempt,
    SetTimer,
    Settings,
    TimerFired,
    UpdateKind,
)
from holdgw.policy.endpoint_health import AttemptResult
from tests.helpers import MS, ORIGIN, S, settings

CLASSES = {request_class.name: request_class for request_class in settings().classes}
FAILURES = [o for o in Outcome if o not in (Outcome.OK, Outcome.CANCELLED)]


@dataclass
class OpenRequest:
    """A request of the driver: its attempts, those that may have run, and the time of its final answer."""

    event: RequestArrived
    sends: list[tuple[int, str]] = field(default_factory=list)
    in_flight: bool = False
    may_have_run: list[tuple[int, str]] = field(default_factory=list)
    ended_at: int | None = None


class EventDriver:
    """Emulates clients, caches, an origin and an endpoint list, and checks every action against the rules."""

    def __init__(self, config: Settings, seed: int) -> None:
        self.config, self.rng = config, random.Random(seed)
        self.router = RoutingPolicy(config, seed)
        self.queue: list[tuple[int, int, Event]] = []
        self.last_sequence_number = 0
        self.open_requests: dict[str, OpenRequest] = {}
        self.endpoints = {f"s{i}": Endpoint(f"s{i}", zone=f"z{i % 2}", cell=i % 3) for i in range(5)}
        if config.origin_kind is not None:
            self.endpoints[ORIGIN.id] = ORIGIN
        self.log: list[Action] = []

    def schedule(self, at: int, event: Event) -> None:
        self.last_sequence_number += 1
        heapq.heappush(self.queue, (at, self.last_sequence_number, event))

    def run(self, requests: int) -> None:
        self.schedule(0, EndpointsChanged(UpdateKind.CACHED, tuple(self.endpoints.values())))
        for i in range(requests):
            at = self.rng.randrange(3 * S)
            request_class = self.rng.choice(list(CLASSES))
            arrived = RequestArrived(
                request_id=f"r{i}",
                request_class=request_class,
                deadline_ns=at + self.rng.randrange(-10, 900) * MS,
                tenant=self.rng.choice(["a", "b", None]),
                key=self.rng.choice(["k1", "k2", "k3", None]),
                is_write=request_class != "read",
            )
            self.schedule(at, arrived)
            if self.rng.random() < 0.1:
                self.schedule(at + self.rng.randrange(300) * MS, RequestCancelled(f"r{i}"))
        for _ in range(6):
            self.schedule(self.rng.randrange(3 * S), EndpointsChanged(UpdateKind.DELTA, ()))
        while self.queue:
            now, _, event = heapq.heappop(self.queue)
            self.deliver(event, now)
        unanswered = [name for name, request in self.open_requests.items() if request.ended_at is None]
        assert not unanswered
        assert self.router.table_sizes()[:2] == (0, 0)

    def deliver(self, event: Event, now: int) -> None:
        if isinstance(event, RequestArrived):
            self.open_requests[event.request_id] = OpenRequest(event)
        elif isinstance(event, RequestCancelled):
            request = self.open_requests[event.request_id]
            request.ended_at = now if request.ended_at is None else request.ended_at
        elif isinstance(event, AttemptEnded):
            request = self.open_requests[event.request_id]
            request.in_flight = False
            if event.outcome is Outcome.OK and request.ended_at is None:
                request.ended_at = now
            event = AttemptEnded(
                event.request_id,
                event.attempt,
                event.endpoint_id,
                event.outcome,
                request.ended_at is not None,
                event.latency_ns,
            )
            if not event.outcome.has_no_effect:
                request.may_have_run.append(request.sends[event.attempt])
        elif isinstance(event, EndpointsChanged) and event.kind is UpdateKind.DELTA:
            endpoint_id = self.rng.choice(list(self.endpoints))
            old = self.endpoints[endpoint_id]
            new_state = self.rng.choice(list(EndpointState))
            self.endpoints[endpoint_id] = Endpoint(
                endpoint_id, old.kind, new_state, 1.0, now, old.zone, old.cell
            )
            event = EndpointsChanged(UpdateKind.DELTA, (self.endpoints[endpoint_id],))
        for action in self.router.handle(event, now):
            self.log.append(action)
            self.check_action(action, now)

    def check_action(self, action: Action, now: int) -> None:
        if isinstance(action, SetTimer):
            self.schedule(now + max(action.delay_ns, 0) + 1, TimerFired(action.token))
        elif isinstance(action, Reject | Fail):
            request = self.open_requests[action.request_id]
            assert request.ended_at is None, "a second final answer"
            assert (
                now <= max(request.event.deadline_ns, request.sends[0][0] if request.sends else now) + 20 * MS
            )
            request.ended_at = now
            request_class = CLASSES[request.event.request_class]
            if (
                isinstance(action, Reject)
                and request.may_have_run
                and request_class.idempotency is not Idempotency.IDEMPOTENT
            ):
                assert request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
                assert request_class.dedup_scope is DedupScope.ALL
        elif isinstance(action, SendAttempt):
            self.check_send(action, now)

    def check_send(self, action: SendAttempt, now: int) -> None:
        request = self.open_requests[action.request_id]
        request_class = CLASSES[request.event.request_class]
        assert request.ended_at is None, "an attempt after the final answer"
        assert not request.in_flight, "two attempts at once"
        assert len(request.sends) < self.config.max_attempts
        assert self.endpoints[action.endpoint_id].state is EndpointState.READY, (
            "an attempt at an endpoint that is not ready"
        )
        if request.may_have_run and request_class.idempotency is not Idempotency.IDEMPOTENT:
            first_at, first_endpoint = request.may_have_run[0]
            assert request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
            assert now - first_at < request_class.dedup_window_ns
            if request_class.dedup_scope is DedupScope.ZONE:
                assert self.endpoints[first_endpoint].zone == self.endpoints[action.endpoint_id].zone
        request.in_flight = True
        attempt = len(request.sends)
        request.sends.append((now, action.endpoint_id))
        time_to_deadline = request.event.deadline_ns - now
        time_left = min(action.timeout_ns or time_to_deadline, time_to_deadline)
        duration = int(self.rng.expovariate(1.0) * 150) * MS
        outcome = Outcome.OK if self.rng.random() < 0.5 else self.rng.choice(FAILURES)
        if duration >= time_left:
            duration, outcome = max(time_left, 0), Outcome.TIMEOUT
        done = AttemptEnded(action.request_id, attempt, action.endpoint_id, outcome, False, duration)
        self.schedule(now + duration, done)


@given(
    seed=strategies.integers(0, 2**32),
    aside=strategies.booleans(),
    attempts=strategies.integers(1, 5),
    tenants=strategies.booleans(),
)
@profile(derandomize=True, max_examples=60, deadline=None)
def test_rules_hold_and_equal_events_give_equal_actions(
    seed: int, aside: bool, attempts: int, tenants: bool
) -> None:
    config = settings(
        origin_kind="origin" if aside else None,
        max_attempts=attempts,
        tenants=settings().tenants if tenants else (),
        warm_up_initial_weight=0.2,
        warm_up_ns=S,
    )
    first, second = EventDriver(config, seed), EventDriver(config, seed)
    first.run(60)
    second.run(60)
    assert first.log == second.log
    assert any(isinstance(action, SendAttempt) for action in first.log)


@given(seed=strategies.integers(0, 2**32), share=strategies.floats(0.1, 0.5))
@profile(derandomize=True, max_examples=20, deadline=None)
def test_warming_endpoint_gets_about_its_share_of_keys_also_on_failover(seed: int, share: float) -> None:
    config = settings(warm_up_initial_weight=share, warm_up_ns=10 * S, max_attempts=2)
    cold = Endpoint("cold", started_ns=S)
    warm = tuple(Endpoint(f"s{i}") for i in range(9))
    router = RoutingPolicy(config, seed)
    router.handle(EndpointsChanged(UpdateKind.CACHED, (*warm, cold, ORIGIN)), S)
    sent = 0
    for i in range(1000):
        event = RequestArrived(f"r{i}", "read", 9 * S, key=f"k{seed}.{i}")
        for action in router.handle(event, S):
            assert isinstance(action, SendAttempt)
            sent += action.endpoint_id == "cold"
            if i % 2:  # every second request fails there, and goes to the next-ranked endpoint
                router._caches.endpoints[action.endpoint_id].health.record(
                    AttemptResult(Outcome.OK, False, S)
                )
                failed = AttemptEnded(f"r{i}", 0, action.endpoint_id, Outcome.ERROR, False, MS)
                retried = [a.endpoint_id for a in router.handle(failed, S) if isinstance(a, SendAttempt)]
                sent += retried.count("cold")
    assert sent < 1500 * share / 9 * 1.6 + 10  # its warm-up share of attempts and retries, with a margin
