"""The policy's four rules, checked on random sequences of events."""

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

CLASSES = {cls.name: cls for cls in settings().classes}
FAILURES = [o for o in Outcome if o not in (Outcome.OK, Outcome.CANCELLED)]


@dataclass
class Open:
    """A request as the driver sees it."""

    event: RequestArrived
    sends: list[tuple[int, str]] = field(default_factory=list)
    out: bool = False
    may_have_run: list[tuple[int, str]] = field(default_factory=list)
    closed_at: int | None = None


class World:
    """Emulates clients, caches, an origin and an endpoint list, and checks every action against the rules."""

    def __init__(self, config: Settings, seed: int) -> None:
        self.config, self.rng = config, random.Random(seed)
        self.router = RoutingPolicy(config, seed)
        self.queue: list[tuple[int, int, Event]] = []
        self.order = 0
        self.open: dict[str, Open] = {}
        self.servers = {f"s{i}": Endpoint(f"s{i}", zone=f"z{i % 2}", cell=i % 3) for i in range(5)}
        if config.origin_kind is not None:
            self.servers[ORIGIN.id] = ORIGIN
        self.log: list[Action] = []

    def later(self, at: int, event: Event) -> None:
        self.order += 1
        heapq.heappush(self.queue, (at, self.order, event))

    def run(self, requests: int) -> None:
        self.later(0, EndpointsChanged(UpdateKind.CACHED, tuple(self.servers.values())))
        for i in range(requests):
            at = self.rng.randrange(3 * S)
            cls = self.rng.choice(list(CLASSES))
            arrived = RequestArrived(
                request_id=f"r{i}",
                request_class=cls,
                deadline_ns=at + self.rng.randrange(-10, 900) * MS,
                tenant=self.rng.choice(["a", "b", None]),
                key=self.rng.choice(["k1", "k2", "k3", None]),
                is_write=cls != "read",
            )
            self.later(at, arrived)
            if self.rng.random() < 0.1:
                self.later(at + self.rng.randrange(300) * MS, RequestCancelled(f"r{i}"))
        for _ in range(6):
            self.later(self.rng.randrange(3 * S), EndpointsChanged(UpdateKind.DELTA, ()))
        while self.queue:
            now, _, event = heapq.heappop(self.queue)
            self.deliver(event, now)
        unanswered = [name for name, known in self.open.items() if known.closed_at is None]
        assert not unanswered
        assert self.router.table_sizes()[:2] == (0, 0)

    def deliver(self, event: Event, now: int) -> None:
        if isinstance(event, RequestArrived):
            self.open[event.request_id] = Open(event)
        elif isinstance(event, RequestCancelled):
            known = self.open[event.request_id]
            known.closed_at = now if known.closed_at is None else known.closed_at
        elif isinstance(event, AttemptEnded):
            known = self.open[event.request_id]
            known.out = False
            if event.outcome is Outcome.OK and known.closed_at is None:
                known.closed_at = now
            event = AttemptEnded(
                event.request_id,
                event.attempt,
                event.endpoint_id,
                event.outcome,
                known.closed_at is not None,
                event.latency_ns,
            )
            if not event.outcome.has_no_effect:
                known.may_have_run.append(known.sends[event.attempt])
        elif isinstance(event, EndpointsChanged) and event.kind is UpdateKind.DELTA:
            victim = self.rng.choice(list(self.servers))
            old = self.servers[victim]
            state = self.rng.choice(list(EndpointState))
            self.servers[victim] = Endpoint(victim, old.kind, state, 1.0, now, old.zone, old.cell)
            event = EndpointsChanged(UpdateKind.DELTA, (self.servers[victim],))
        for action in self.router.handle(event, now):
            self.log.append(action)
            self.check(action, now)

    def check(self, action: Action, now: int) -> None:
        if isinstance(action, SetTimer):
            self.later(now + max(action.delay_ns, 0) + 1, TimerFired(action.token))
        elif isinstance(action, Reject | Fail):
            known = self.open[action.request_id]
            assert known.closed_at is None, "a second final answer"
            assert now <= max(known.event.deadline_ns, known.sends[0][0] if known.sends else now) + 20 * MS
            known.closed_at = now
            cls = CLASSES[known.event.request_class]
            if (
                isinstance(action, Reject)
                and known.may_have_run
                and cls.idempotency is not Idempotency.IDEMPOTENT
            ):
                assert cls.idempotency is Idempotency.IDEMPOTENCY_KEY
                assert cls.dedup_scope is DedupScope.ALL
        elif isinstance(action, SendAttempt):
            self.check_send(action, now)

    def check_send(self, action: SendAttempt, now: int) -> None:
        known = self.open[action.request_id]
        cls = CLASSES[known.event.request_class]
        assert known.closed_at is None, "an attempt after the final answer"
        assert not known.out, "two attempts at once"
        assert len(known.sends) < self.config.max_attempts
        assert self.servers[action.endpoint_id].state is EndpointState.READY, "a drain broken"
        if known.may_have_run and cls.idempotency is not Idempotency.IDEMPOTENT:
            first_at, first_server = known.may_have_run[0]
            assert cls.idempotency is Idempotency.IDEMPOTENCY_KEY
            assert now - first_at < cls.dedup_window_ns
            if cls.dedup_scope is DedupScope.ZONE:
                assert self.servers[first_server].zone == self.servers[action.endpoint_id].zone
        known.out = True
        attempt = len(known.sends)
        known.sends.append((now, action.endpoint_id))
        left = known.event.deadline_ns - now
        patience = min(action.timeout_ns or left, left)
        takes = int(self.rng.expovariate(1.0) * 150) * MS
        outcome = Outcome.OK if self.rng.random() < 0.5 else self.rng.choice(FAILURES)
        if takes >= patience:
            takes, outcome = max(patience, 0), Outcome.TIMEOUT
        done = AttemptEnded(action.request_id, attempt, action.endpoint_id, outcome, False, takes)
        self.later(now + takes, done)


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
    first, second = World(config, seed), World(config, seed)
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
