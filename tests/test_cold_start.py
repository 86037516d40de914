"""A fleet that starts anew, servers and routers alike: what cold servers are sent, with nothing shared."""

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
    """The part of what is asked that routers together send to servers, all of them cold but for some."""
    cold = fleet(listed - warm, started_ns=STARTED)
    servers = (*cold, *fleet(listed)[listed - warm :])
    taken = 0
    for seed in range(routers):
        router = started(settings(**COLD), servers, now=now - 1, seed=seed)
        if named < listed:
            router.handle(EndpointsChanged(UpdateKind.FULL, (*servers[:named], ORIGIN)), now - 1)
        for i in range(ASKED // routers):
            actions = router.handle(request(f"{seed}-{i}", now, key=f"k{seed}-{i}"), now)
            sent = [send for send in sends(actions) if send.endpoint_id != ORIGIN.id]
            assert len(sent) <= 1
            if not sent:
                (final,) = finals(actions)  # at once, and when to come again
                assert isinstance(final, Reject)
                assert final.retry_after_ns > 0
            taken += len(sent)
    return taken / (ASKED // routers * routers)


@pytest.mark.parametrize("routers", [1, 3, 100])
def test_all_cold_servers_are_sent_the_part_that_they_bear_by_however_many_routers(routers: int) -> None:
    for age, warmth in ((0, 0.3), (5 * S, 0.65)):
        bears = warmth * 2.0 * CAPACITY_FRACTION
        assert part_sent(routers, STARTED + age) == pytest.approx(bears, abs=0.03)


def test_one_that_a_list_names_alone_is_sent_the_part_of_one() -> None:
    """Everything is back, and the list names server after server: the first of 20 gets a 20th of that."""
    assert part_sent(100, STARTED, named=1) == pytest.approx(0.3 * 2.0 * CAPACITY_FRACTION / 20, abs=0.006)


def test_a_request_is_drawn_for_once_and_not_for_each_server() -> None:
    """Of eight servers that it may go to each would have a chance of its own, and some one have room."""
    assert part_sent(100, STARTED) < 0.3


def test_where_some_are_warm_all_is_sent() -> None:
    assert part_sent(20, STARTED, warm=10) > 0.95
