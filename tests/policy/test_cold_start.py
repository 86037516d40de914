"""A fleet that starts anew, endpoints and routers alike: what warming endpoints are sent, with no gossip."""

from __future__ import annotations

import pytest

from holdgw.policy import EndpointsChanged, Reject, UpdateKind
from holdgw.policy.slow_start import CAPACITY_FRACTION
from tests.helpers import ORIGIN, S, finals, fleet, request, sends, settings, started

COLD = {
    "warm_up_initial_weight": 0.3,
    "warm_up_ns": 10 * S,
    "warm_up_overload_factor": 2.0,
    "retry_after_allowed": True,
}
STARTED = 100 * S
ASKED = 4000


def part_sent(routers: int, now: int, named: int = 20, listed: int = 20, warm: int = 0) -> float:
    """The fraction of requests that routers together send to endpoints, all warming up but for `warm`."""
    cold = fleet(listed - warm, started_ns=STARTED)
    endpoints = (*cold, *fleet(listed)[listed - warm :])
    taken = 0
    for seed in range(routers):
        router = started(settings(**COLD), endpoints, now=now - 1, seed=seed)
        if named < listed:
            router.handle(EndpointsChanged(UpdateKind.FULL, (*endpoints[:named], ORIGIN)), now - 1)
        for i in range(ASKED // routers):
            actions = router.handle(request(f"{seed}-{i}", now, key=f"k{seed}-{i}"), now)
            sent = [send for send in sends(actions) if send.endpoint_id != ORIGIN.id]
            assert len(sent) <= 1
            if not sent:
                (final,) = finals(actions)  # at once, with a Retry-After
                assert isinstance(final, Reject)
                assert final.retry_after_ns > 0
            taken += len(sent)
    return taken / (ASKED // routers * routers)


@pytest.mark.parametrize("routers", [1, 3, 100])
def test_warming_endpoints_get_the_load_that_they_can_handle_from_any_number_of_routers(routers: int) -> None:
    for age, weight in ((0, 0.3), (5 * S, 0.65)):
        capacity = weight * 2.0 * CAPACITY_FRACTION
        assert part_sent(routers, STARTED + age) == pytest.approx(capacity, abs=0.03)


def test_first_endpoint_of_a_new_list_gets_the_load_of_one_endpoint() -> None:
    """All endpoints are back, and the list names one after another: the first of 20 gets a 20th of that."""
    assert part_sent(100, STARTED, named=1) == pytest.approx(0.3 * 2.0 * CAPACITY_FRACTION / 20, abs=0.006)


def test_a_request_is_drawn_once_and_not_for_each_endpoint() -> None:
    """Drawn anew for each of eight ranked endpoints, a request would nearly always find one with capacity."""
    assert part_sent(100, STARTED) < 0.3


def test_all_requests_are_sent_where_some_endpoints_are_warm() -> None:
    assert part_sent(20, STARTED, warm=10) > 0.95
