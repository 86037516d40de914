"""Retries: where a request is sent again, attempt timeouts, the retry budget, and unsafe repeats."""

from __future__ import annotations

import pytest
from msgspec.structs import replace as changed

from holdgw.policy import (
    Endpoint,
    Fail,
    Outcome,
    Reject,
    RequestClass,
    SetTimer,
    TimerFired,
)
from tests.helpers import MS, ORIGIN, S, ended, fleet, only_send, request, settings, started


def test_idempotent_read_is_rejected_when_its_attempts_are_used_up() -> None:
    router = started(settings(max_attempts=2), fleet(5))
    first = only_send(router.handle(request("r"), 0))
    second = only_send(router.handle(ended(first, Outcome.OVERLOADED), 0))
    assert router.handle(ended(second, Outcome.OVERLOADED, 1), 0) == [Reject("r")]


def test_non_idempotent_write_fails_if_it_may_have_run_and_is_retried_if_not() -> None:
    router = started(settings(), fleet(3))
    send = only_send(router.handle(request("w", cls="order"), 0))
    assert router.handle(ended(send, Outcome.ERROR), 5 * MS)[-1] != Fail("w")
    (final,) = router.handle(TimerFired("w"), 300 * MS)
    assert final == Fail("w")
    send = only_send(router.handle(request("x", cls="order"), 0))
    (timer,) = router.handle(ended(send, Outcome.OVERLOADED), 5 * MS)
    assert isinstance(timer, SetTimer)
    assert only_send(router.handle(TimerFired(timer.token), 300 * MS)).endpoint_id == ORIGIN.id


def test_write_with_a_key_is_not_retried_after_its_dedup_window() -> None:
    short = RequestClass(
        "edit",
        latency_objective_ns=S,
        deadline_ns=9 * S,
        idempotency=settings().classes[1].idempotency,
        dedup_window_ns=10,
    )
    router = started(settings(classes=(short,)), fleet(3))
    send = only_send(router.handle(request("w", cls="edit", deadline_ns=9 * S), 0))
    (timer,) = router.handle(ended(send, Outcome.ERROR), 5 * MS)
    assert isinstance(timer, SetTimer)
    assert router.handle(TimerFired(timer.token), 500 * MS) == [Reject("w")]


def test_write_with_a_key_is_retried_only_within_its_dedup_scope() -> None:
    zones = tuple(Endpoint(f"s{i}", zone=f"z{i % 2}") for i in range(6))
    router = started(settings(origin_kind=None), zones, origin=False)
    send = only_send(router.handle(request("w", cls="zonal"), 0))
    retry = only_send(router.handle(ended(send, Outcome.ERROR), 5 * MS))
    zone_of = {server.id: server.zone for server in zones}
    assert retry.endpoint_id != send.endpoint_id
    assert zone_of[retry.endpoint_id] == zone_of[send.endpoint_id]
    third = only_send(router.handle(ended(retry, Outcome.ERROR, 1), 6 * MS))
    assert router.handle(ended(third, Outcome.ERROR, 2), 7 * MS) == [Fail("w")]


@pytest.mark.parametrize("outcome", [Outcome.MALFORMED, Outcome.RESET])
def test_answer_lost_in_transit_is_retried_once_at_the_same_endpoint(outcome: Outcome) -> None:
    # A connection breaks late, or an answer can't be parsed, at a healthy endpoint. The next-ranked endpoint
    # would miss, and need a fetch. The policy retries once at the same endpoint, which has the key, and then
    # at the next one.
    router = started(settings(), fleet(5))
    first = only_send(router.handle(request("r"), 0))
    second = only_send(router.handle(ended(first, outcome, latency=200 * MS), 5 * MS))
    assert second.endpoint_id == first.endpoint_id
    third = only_send(router.handle(ended(second, outcome, 1, latency=200 * MS), 6 * MS))
    assert third.endpoint_id not in (first.endpoint_id, ORIGIN.id)


@pytest.mark.parametrize("outcome", [Outcome.RESET, Outcome.CONNECT_FAILED])
def test_quick_connection_failure_is_retried_at_the_same_endpoint(outcome: Outcome) -> None:
    # Two consecutive connections break at once. No time is lost, and the next-ranked endpoint would miss.
    # The policy retries at the same endpoint while attempts are left, and the endpoint stays healthy.
    router = started(settings(tenants=()), fleet(5))
    send = only_send(router.handle(request("r"), 0))
    first, endpoint = send.endpoint_id, router._caches.endpoints[send.endpoint_id]
    for attempt in range(2):
        send = only_send(router.handle(ended(send, outcome, attempt, latency=MS), 0))
        assert send.endpoint_id == first
    router.handle(ended(send, Outcome.OK, 2), 0)
    assert (endpoint.ejected, endpoint.admission_probability(0)) == (False, 1.0)


def test_fetch_that_broke_after_its_answer_began_is_read_from_the_cache() -> None:
    router = started(settings(), fleet(5))
    read = only_send(router.handle(request("r"), 0))
    fetch = only_send(router.handle(ended(read, Outcome.MISS), 5 * MS))
    broke = changed(ended(fetch, Outcome.RESET, 1), response_started=True)
    assert only_send(router.handle(broke, 9 * MS)).endpoint_id == read.endpoint_id


def test_fetch_with_a_malformed_answer_is_read_from_the_cache_and_cuts_no_limit() -> None:
    router = started(settings(), fleet(5))
    initial_limits = [limiter.rate_limit for limiter in router._origin_limiters.values()]
    for i in range(9):
        first = only_send(router.handle(request(f"r{i}", key=f"k{i}"), 0))
        fetch = only_send(router.handle(ended(first, Outcome.MISS), 5 * MS))
        retry = only_send(router.handle(ended(fetch, Outcome.MALFORMED, 1), 9 * MS))
        assert (fetch.endpoint_id, retry.endpoint_id) == (ORIGIN.id, first.endpoint_id)
        router.handle(ended(retry, Outcome.OK, 2), 9 * MS)
    assert [limiter.rate_limit for limiter in router._origin_limiters.values()] == initial_limits


@pytest.mark.parametrize(("retry_outcome", "least", "most"), [(Outcome.ERROR, 3, 6), (Outcome.OK, 40, 40)])
def test_missing_answer_is_retried_by_attempt_timeout_within_the_retry_budget(
    retry_outcome: Outcome, least: int, most: int
) -> None:
    # A connection stalls although its endpoint is healthy, and the request would wait until its deadline. The
    # policy retries after the attempt timeout, and the retry budget keeps this rare unless prompt answers
    # prove the losses.
    router = started(settings(), fleet(1), origin=False)
    router.handle(ended(only_send(router.handle(request("first"), 0)), Outcome.OK), 0)
    retries = 0
    for i in range(40):
        send = only_send(router.handle(request(f"r{i}"), 0))
        if send.timeout_ns:
            assert send.timeout_ns < 200 * MS
            late = ended(send, Outcome.TIMEOUT, latency=send.timeout_ns)
            second = only_send(router.handle(late, send.timeout_ns))
            assert (second.endpoint_id, second.timeout_ns) == (send.endpoint_id, 0)
            assert router._caches.endpoints[send.endpoint_id].admission_probability(0) == 1.0
            router.handle(ended(second, retry_outcome, 1, closed=True), send.timeout_ns)
            retries += 1
    assert least <= retries <= most  # prompt answers prove that the first ones were lost


def test_no_attempt_timeout_where_the_endpoint_is_slow_for_all() -> None:
    router = started(settings(), fleet(1))
    for i in range(60):
        send = only_send(router.handle(request(f"r{i}"), 0))
        router.handle(ended(send, Outcome.OK, latency=190 * MS), 0)
    assert (
        only_send(router.handle(request("s"), 0)).timeout_ns == 0
    )  # an attempt timeout of five times the latency would leave no time for a retry
