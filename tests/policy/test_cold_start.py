"""Start of a whole fleet, endpoints and routers: the load on endpoints that warm up, without gossip."""

from __future__ import annotations

import pytest

from holdgw.policy import EndpointsChanged, Reject, UpdateKind
from holdgw.policy.slow_start import CAPACITY_FRACTION
from tests.helpers import ORIGIN, S, finals, fleet, request, sends, settings, started

WARM_UP_SETTINGS = {
    "warm_up_initial_weight": 0.3,
    "warm_up_ns": 10 * S,
    "warm_up_overload_factor": 2.0,
    "retry_after_allowed": True,
}
STARTED_NS = 100 * S
REQUESTS = 4000


def fraction_sent(routers: int, now: int, first_listed: int = 20, listed: int = 20, warm: int = 0) -> float:
    """Return the fraction of requests that routers together send to endpoints; `warm` of them are warm."""
    cold = fleet(listed - warm, started_ns=STARTED_NS)
    endpoints = (*cold, *fleet(listed)[listed - warm :])
    sent_count = 0
    for seed in range(routers):
        router = started(settings(**WARM_UP_SETTINGS), endpoints, now=now - 1, seed=seed)
        if first_listed < listed:
            router.handle(EndpointsChanged(UpdateKind.FULL, (*endpoints[:first_listed], ORIGIN)), now - 1)
        for i in range(REQUESTS // routers):
            actions = router.handle(request(f"{seed}-{i}", now, key=f"k{seed}-{i}"), now)
            sent = [send for send in sends(actions) if send.endpoint_id != ORIGIN.id]
            assert len(sent) <= 1
            if not sent:
                (final,) = finals(actions)  # an immediate rejection with a Retry-After
                assert isinstance(final, Reject)
                assert final.retry_after_ns > 0
            sent_count += len(sent)
    return sent_count / (REQUESTS // routers * routers)


@pytest.mark.parametrize("routers", [1, 3, 100])
def test_warming_endpoints_get_the_load_that_they_can_handle_from_any_number_of_routers(routers: int) -> None:
    for age, weight in ((0, 0.3), (5 * S, 0.65)):
        capacity = weight * 2.0 * CAPACITY_FRACTION
        assert fraction_sent(routers, STARTED_NS + age) == pytest.approx(capacity, abs=0.03)


def test_first_endpoint_of_a_new_list_gets_the_load_of_one_endpoint() -> None:
    """All endpoints have restarted, and are listed one by one: the first of 20 gets a 20th of the load."""
    assert fraction_sent(100, STARTED_NS, first_listed=1) == pytest.approx(
        0.3 * 2.0 * CAPACITY_FRACTION / 20, abs=0.006
    )


def test_a_request_is_drawn_once_and_not_for_each_endpoint() -> None:
    """With a draw for each of eight ranked endpoints, nearly every request would find one with capacity."""
    assert fraction_sent(100, STARTED_NS) < 0.3


def test_all_requests_are_sent_where_some_endpoints_are_warm() -> None:
    assert fraction_sent(20, STARTED_NS, warm=10) > 0.95
