"""When the policy subscribes to the endpoint list."""

from __future__ import annotations

from holdgw.policy import (
    EndpointsChanged,
    SetTimer,
    Subscribe,
    TimerFired,
    UpdateKind,
)
from tests.helpers import S, fleet, settings, started


def test_subscribes_at_the_start_and_after_failures_with_backoff() -> None:
    router = started(settings(subscription_required=True, poll_within_ns=8 * S), fleet(2), seed=3)
    router_without_endpoints = started(settings(subscription_required=True), ())
    (timer,) = router_without_endpoints.handle(EndpointsChanged(UpdateKind.FAILED), 0) or [
        SetTimer(0, "subscribe")
    ]
    assert isinstance(timer, SetTimer)
    delays = []
    for _ in range(6):
        assert router.handle(TimerFired("subscribe"), 0) == [Subscribe()]
        (timer,) = router.handle(EndpointsChanged(UpdateKind.FAILED), 0)
        assert isinstance(timer, SetTimer)
        delays.append(timer.delay_ns)
        assert router.handle(EndpointsChanged(UpdateKind.FAILED), 0) == []  # the timer is already set
    assert max(delays) <= 4 * S
    assert delays[0] <= S
    assert router.handle(TimerFired("subscribe"), 0) == [Subscribe()]
    assert router.handle(EndpointsChanged(UpdateKind.DELTA), 0) == []


def test_does_not_subscribe_where_lists_are_pushed() -> None:
    router = started(settings(), fleet(2))
    assert router.handle(EndpointsChanged(UpdateKind.FULL, fleet(2)), 0) == []
