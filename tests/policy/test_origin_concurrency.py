"""The origin's health, the cuts of its limits, and the queue of writes."""

from __future__ import annotations

from msgspec.structs import replace as changed

from holdgw.policy import (
    EndpointsChanged,
    Outcome,
    Reject,
    SetTimer,
    TimerFired,
    UpdateKind,
)
from holdgw.policy.origin_limiter import CUT_FACTOR
from tests.helpers import MS, ORIGIN, S, ended, fleet, only_send, request, sends, settings, started


def test_one_failed_fetch_cuts_no_limit_and_repeated_ones_cut_the_limits_of_all_tenants() -> None:
    # One fetch in forty is late by chance. If each of them cut the limits, every tenant would starve although
    # the origin is healthy. The policy cuts only after consecutive failed fetches, or if they make up a
    # fifth.
    router = started(settings(), fleet(5))
    limiters = list(router._origin_limiters.values())
    initial_limits = [limiter.rate_limit for limiter in limiters]

    def fetch(i: int, outcome: Outcome) -> None:
        now = (i + 1) * S
        send = only_send(router.handle(request(f"r{i}", now, key=f"k{i}"), now))
        fetch_attempt = only_send(router.handle(ended(send, Outcome.MISS), now))
        router.handle(ended(fetch_attempt, outcome, 1, closed=True, latency=600 * MS), now + S)

    fetch(0, Outcome.TIMEOUT)
    assert [limiter.rate_limit for limiter in limiters] == initial_limits
    fetch(1, Outcome.TIMEOUT)
    assert all(
        limiter.rate_limit < initial_limit
        for limiter, initial_limit in zip(limiters, initial_limits, strict=True)
    )


def test_tenant_over_its_weight_is_cut_more() -> None:
    router = started(settings(), fleet(5))
    a, b, _ = router._origin_limiters.values()
    for i in range(60):  # b has two thirds of the requests, but a weight of 0.4
        now, tenant = (i + 1) * 20 * MS, "a" if i % 3 == 0 else "b"
        send = only_send(router.handle(request(f"r{i}", now, tenant=tenant, key=f"k{i}"), now))
        for fetch in sends(router.handle(ended(send, Outcome.MISS), now)):
            outcome = Outcome.ERROR if i > 57 else Outcome.OK
            router.handle(ended(fetch, outcome, 1, closed=True), now)
    used_a, used_b = (limiter.accepted_calls(2 * S) / limiter.window_s for limiter in (a, b))
    assert b.rate_limit / used_b < CUT_FACTOR < a.rate_limit / used_a


def test_limits_are_cut_once_an_origin_round_trip() -> None:
    router = started(settings(), fleet(5))
    fetches = []
    for i in range(12):
        send = only_send(router.handle(request(f"r{i}", S, key=f"k{i}"), S))
        fetches += sends(router.handle(ended(send, Outcome.MISS), S))
    limiter = router._origin_limiters["b"]
    *most, last = fetches
    for fetch in most:
        router.handle(ended(fetch, Outcome.ERROR, 1), S + 200 * MS)
    limit_after_cut = limiter.rate_limit
    assert limit_after_cut < limiter.max_rate_limit
    router.handle(ended(last, Outcome.ERROR, 1), S + 200 * MS)
    assert limiter.rate_limit == limit_after_cut


def test_writes_over_the_concurrency_limit_are_queued_and_the_newest_goes_first() -> None:
    # The origin times out while writes keep arriving. If they were forwarded, they would be queued there past
    # their deadlines. The policy queues those over the write concurrency limit, and sends the newest first,
    # which has the most time left.
    router = started(settings(), fleet(2))
    writes = [only_send(router.handle(request(f"w{i}", S, cls="edit"), S)) for i in range(8)]
    for write in writes[:6]:
        router.handle(ended(write, Outcome.TIMEOUT, latency=900 * MS), 2 * S)
    more = [router.handle(request(f"x{i}", 2 * S, cls="edit"), 2 * S) for i in range(6)]
    sent = [actions for actions in more if sends(actions)]
    assert 0 < len(sent) < 5
    assert all(isinstance(action, SetTimer) for actions in more[len(sent) :] for action in actions)
    dequeued = []
    for write in writes[6:]:
        dequeued += sends(router.handle(ended(write, Outcome.OK), 2 * S + 10 * MS))
    assert [send.request_id for send in dequeued] == ["x5", "x4", "x3"]
    late = router.handle(request("y", 2 * S, cls="edit"), 2 * S)
    assert sends(late) == []
    assert router.handle(TimerFired("y"), 3 * S) == [Reject("y")]


def test_origin_connection_failures_cut_no_limit_unless_many_in_a_row() -> None:
    # Connections to the origin break. A cut for each would keep the limits low although the origin is idle.
    # The policy sends the fetch again as the same call, and cuts only after many consecutive failures.
    router = started(settings(max_attempts=20), fleet(5))
    limiter = router._origin_limiters["a"]
    for i in range(12):
        read = only_send(router.handle(request(f"r{i}", S, key=f"k{i}"), S))
        fetch = only_send(router.handle(ended(read, Outcome.MISS), S))
        for attempt, outcome in enumerate((Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.RESET), 1):
            fetch = only_send(router.handle(ended(fetch, outcome, attempt, latency=MS), S))
            assert fetch.endpoint_id == ORIGIN.id
        router.handle(ended(fetch, Outcome.OK, 4), S)
    assert limiter.rate_limit == limiter.max_rate_limit
    assert len(limiter._calls) == 12  # a fetch that is sent again counts as the same call
    read = only_send(router.handle(request("s", S), S))
    fetch = only_send(router.handle(ended(read, Outcome.MISS), S))
    for attempt in range(1, 12):
        fetch = only_send(router.handle(ended(fetch, Outcome.RESET, attempt, latency=MS), S))
    assert limiter.rate_limit < limiter.max_rate_limit


def test_queued_writes_are_sent_when_the_origin_is_listed_again() -> None:
    router = started(settings(), fleet(2))
    writes = [only_send(router.handle(request(f"w{i}", S, cls="edit"), S)) for i in range(8)]
    for write in writes[:6]:
        router.handle(ended(write, Outcome.TIMEOUT, latency=900 * MS), 2 * S)
    router.handle(EndpointsChanged(UpdateKind.DELTA, (changed(ORIGIN, started_ns=1),)), 2 * S)
    for i in range(8):
        router.handle(request(f"x{i}", 2 * S, cls="edit"), 2 * S)
    for write in writes[6:]:
        router.handle(ended(write, Outcome.OK), 2 * S)


def test_fetches_lost_in_transit_cut_no_limit() -> None:
    router = started(settings(tenants=()), fleet(3))
    limiter = router._origin_limiters[""]
    for i in range(60):
        now = i * 2 * S
        fetches = []
        for name in "ab":
            read = only_send(router.handle(request(f"{name}{i}", now, key=f"{name}{i}"), now))
            fetches.append(only_send(router.handle(ended(read, Outcome.MISS), now)))
        router.handle(ended(fetches[0], Outcome.OK, 1), now + 20 * MS)
        if i > 20:
            router.handle(ended(fetches[1], Outcome.TIMEOUT, 1, latency=S), now + S)
        else:
            router.handle(ended(fetches[1], Outcome.OK, 1), now + 20 * MS)
    assert limiter.rate_limit == limiter.max_rate_limit
