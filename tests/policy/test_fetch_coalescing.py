"""Coalesced fetches: the leader, its waiters, and the waiters' fetch when the leader's client leaves."""

from __future__ import annotations

from holdgw.policy import (
    Outcome,
    Reject,
    RequestCancelled,
    SetTimer,
    TimerFired,
)
from tests.helpers import MS, ORIGIN, S, ended, fleet, only_send, request, settings, started


def test_misses_of_a_key_share_one_fetch_and_read_the_cache_afterwards() -> None:
    router = started(settings(), fleet(5))
    leader_read, waiter_read = (only_send(router.handle(request(name), 0)) for name in ("one", "two"))
    fetch = only_send(router.handle(ended(leader_read, Outcome.MISS), 5 * MS))
    waiting = router.handle(ended(waiter_read, Outcome.MISS), 6 * MS)
    assert [type(action) for action in waiting] == [SetTimer]
    again = only_send(router.handle(ended(fetch, Outcome.OK, 1), 50 * MS))
    assert (again.request_id, again.endpoint_id) == ("two", waiter_read.endpoint_id)


def test_waiter_fetches_when_the_leaders_client_leaves() -> None:
    router = started(settings(), fleet(5))
    leader_read, waiter_read = (only_send(router.handle(request(name), 0)) for name in ("one", "two"))
    router.handle(ended(leader_read, Outcome.MISS), 5 * MS)
    router.handle(ended(waiter_read, Outcome.MISS), 5 * MS)
    fetch = only_send(router.handle(RequestCancelled("one"), 10 * MS))
    assert (fetch.request_id, fetch.endpoint_id) == ("two", ORIGIN.id)


def test_waiter_is_rejected_at_its_deadline() -> None:
    router = started(settings(), fleet(5))
    leader_read, waiter_read = (only_send(router.handle(request(name), 0)) for name in ("one", "two"))
    router.handle(ended(leader_read, Outcome.MISS), 5 * MS)
    (timer,) = router.handle(ended(waiter_read, Outcome.MISS), 6 * MS)
    assert isinstance(timer, SetTimer)
    assert timer.delay_ns == S - 6 * MS
    assert router.handle(TimerFired(timer.token), S) == [Reject("two")]
