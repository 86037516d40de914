"""Each rejection reason, by the shortest sequence of events that leads to it."""

from __future__ import annotations

import pytest

from holdgw.policy import Outcome, Reject, RoutingPolicy, Tenant, TimerFired
from holdgw.policy.rejections import RejectionReason
from tests.helpers import MS, S, ended, fleet, only_send, request, settings, started


def test_waiter_of_a_fetch_is_rejected_at_its_deadline() -> None:
    policy = started(settings(), fleet(5))
    leader, waiter = (only_send(policy.handle(request(name), 0)) for name in ("leader", "waiter"))
    policy.handle(ended(leader, Outcome.MISS), 5 * MS)
    policy.handle(ended(waiter, Outcome.MISS), 6 * MS)
    assert policy.handle(TimerFired("waiter"), S) == [Reject("waiter")]
    assert policy.rejections_by_reason == {RejectionReason.DEADLINE: 1}


@pytest.mark.parametrize(("attempts", "now"), [(1, 0), (4, S)])
def test_request_without_an_attempt_or_time_left_is_rejected(attempts: int, now: int) -> None:
    policy = started(settings(max_attempts=attempts), fleet(5))
    send = only_send(policy.handle(request("r"), 0))
    assert policy.handle(ended(send, Outcome.OVERLOADED), now) == [Reject("r")]
    assert policy.rejections_by_reason == {RejectionReason.NO_ATTEMPT_LEFT: 1}


def test_fetch_that_the_origin_limiter_denies_is_rejected() -> None:
    policy = started(settings(tenants=(Tenant("a", 1.0, 0.1),)), fleet(5))
    for i in range(50):
        send = only_send(policy.handle(request(f"r{i}", key=f"k{i}"), 0))
        policy.handle(ended(send, Outcome.MISS), 0)
    assert policy.rejections_by_reason.keys() == {RejectionReason.ORIGIN_LIMIT}


def test_read_is_rejected_where_neither_endpoints_nor_an_origin_are_listed() -> None:
    policy = started(settings(), (), origin=False)
    assert policy.handle(request("r"), 0) == [Reject("r")]
    assert policy.rejections_by_reason == {RejectionReason.NO_ORIGIN: 1}


def test_failed_fetch_of_a_read_is_rejected_and_not_retried_at_the_origin() -> None:
    policy = started(settings(), fleet(5))
    send = only_send(policy.handle(request("r"), 0))
    fetch = only_send(policy.handle(ended(send, Outcome.MISS), 5 * MS))
    assert policy.handle(ended(fetch, Outcome.ERROR, 1), 9 * MS) == [Reject("r")]
    assert policy.rejections_by_reason == {RejectionReason.FETCH_FAILED: 1}


def rejections_of_an_overloaded_endpoint(policy: RoutingPolicy) -> set[RejectionReason]:
    for i in range(200):
        actions = policy.handle(request(f"r{i}", key=f"k{i}"), i * MS)
        if not isinstance(actions[0], Reject):
            policy.handle(ended(only_send(actions), Outcome.OK, latency=900 * MS), i * MS)
    return set(policy.rejections_by_reason)


def test_requests_are_rejected_where_load_is_shed() -> None:
    policy = started(settings(), fleet(1))
    assert rejections_of_an_overloaded_endpoint(policy) == {RejectionReason.ENDPOINT_OVERLOADED}
