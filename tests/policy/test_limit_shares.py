"""Decisions of several workers of one router: the bounds of one process hold for their sum."""

from __future__ import annotations

import pytest

from holdgw.policy import (
    Action,
    Endpoint,
    EndpointsChanged,
    LimitSharesChanged,
    Outcome,
    RoutingPolicy,
    SendAttempt,
    Settings,
    UpdateKind,
)
from tests.helpers import MS, ORIGIN, S, ended, fleet, request, sends, settings, started

NEW_ENDPOINT = Endpoint("10.0.1.1:80", kind="std", started_ns=20 * S)


class Workers:
    """Policies of workers that get one router's requests in turn; every attempt ends at once."""

    def __init__(self, count: int, config: dict[str, object], coordinated: bool = True) -> None:
        def worker_settings(index: int) -> Settings:
            return settings(**config, **({"workers": count, "worker_index": index} if coordinated else {}))

        self.policies = [started(worker_settings(i), fleet(8), seed=7 + i) for i in range(count)]
        self.request_count = 0
        self.sent: list[tuple[int, str]] = []  # worker index, endpoint id

    def send_request(self, key: str, now: int, outcome: Outcome) -> None:
        index = self.request_count % len(self.policies)
        self.request_count += 1
        policy = self.policies[index]
        self._carry_out(
            policy, index, policy.handle(request(f"r{self.request_count}", now, key=key), now), now, outcome
        )

    def _carry_out(
        self, policy: RoutingPolicy, index: int, actions: list[Action], now: int, outcome: Outcome
    ) -> None:
        for send in sends(actions):
            self.sent.append((index, send.endpoint_id))
            attempt_outcome = Outcome.OK if send.endpoint_id == ORIGIN.id else outcome
            self._carry_out(policy, index, policy.handle(ended(send, attempt_outcome), now), now, outcome)

    def update_endpoints(self, update: EndpointsChanged) -> None:
        for policy in self.policies:
            policy.handle(update, 20 * S)


def requests_to_new_endpoint(count: int, coordinated: bool = True) -> tuple[int, set[int]]:
    """Return the requests to an endpoint in a burst right after it joined, and the workers that sent them."""
    workers = Workers(
        count,
        {"warm_up_initial_weight": 0.25, "warm_up_ns": 20 * S, "warm_up_overload_factor": 2.0},
        coordinated,
    )
    for i in range(20_000):  # a second for each thousand
        workers.send_request(f"k{i % 900}", i * MS, Outcome.OK)
    workers.update_endpoints(EndpointsChanged(UpdateKind.DELTA, (NEW_ENDPOINT,)))
    workers.sent.clear()
    for i in range(4000):
        workers.send_request(f"k{i % 900}", 20 * S + i * MS // 16, Outcome.OK)
    senders = [index for index, server in workers.sent if server == NEW_ENDPOINT.id]
    return len(senders), set(senders)


def test_bound_on_a_warming_endpoint_holds_for_all_workers_together() -> None:
    alone, _ = requests_to_new_endpoint(1)
    together, sending_workers = requests_to_new_endpoint(4)
    uncoordinated, uncoordinated_workers = requests_to_new_endpoint(4, coordinated=False)
    assert alone
    assert len(sending_workers) == 1
    assert together <= alone + 2
    assert (
        len(uncoordinated_workers) > 1
    )  # without coordination each has its own bound, by its part of the requests
    assert uncoordinated <= alone + 2


@pytest.mark.parametrize("shares", [(0.25, 0.25, 0.25, 0.25), (0.7, 0.1, 0.1, 0.1)])
def test_a_tenants_limit_holds_for_all_workers_together(shares: tuple[float, ...]) -> None:
    def fetches(coordinated: bool) -> int:
        workers = Workers(4, {}, coordinated)
        if coordinated:
            for policy, share in zip(workers.policies, shares, strict=True):
                policy.handle(LimitSharesChanged({"a": share, "unknown": 0.5}), 0)
        count = 0
        for i in range(20_000):
            now = i * MS
            workers.sent.clear()
            workers.send_request(f"k{i}", now, Outcome.MISS)
            if now >= 10 * S:
                count += sum(server == ORIGIN.id for _, server in workers.sent)
        return count

    full_limit = 60 * 10  # of tenant a's 60 a second, in 10 s
    assert fetches(coordinated=True) <= full_limit * 1.2
    assert fetches(coordinated=False) > full_limit * 2


def test_a_new_limit_share_keeps_the_proportion_of_a_cut() -> None:
    policy = started(settings(workers=2, worker_index=1), fleet(2))
    limiter = policy._origin_limiters["a"]
    assert limiter.max_rate_limit == limiter.rate_limit == 30.0
    limiter.rate_limit = 15.0
    policy.handle(LimitSharesChanged({"a": 0.9}), 0)
    assert (limiter.max_rate_limit, limiter.rate_limit) == (54.0, 27.0)
    policy.handle(
        LimitSharesChanged({"a": 0.0}), 0
    )  # 0 is no valid share; the lowest share of a worker is a small positive number
    assert limiter.max_rate_limit == 54.0


def test_worker_index_must_be_below_the_number_of_workers() -> None:
    with pytest.raises(ValueError, match="worker_index"):
        settings(workers=2, worker_index=2)


def test_a_single_worker_decides_as_a_router_without_workers() -> None:
    without_workers = started(settings(), fleet(5))
    single_worker = started(settings(workers=1, worker_index=0), fleet(5))
    for i in range(200):
        event = request(f"r{i}", i * MS, key=f"k{i % 17}")
        first, second = without_workers.handle(event, i * MS), single_worker.handle(event, i * MS)
        assert first == second
        (send,) = first
        assert isinstance(send, SendAttempt)
        for policy in (without_workers, single_worker):
            policy.handle(ended(send, Outcome.OK), i * MS)


def test_a_hot_key_whose_clients_are_all_at_one_worker_has_several_owners_there() -> None:
    workers = Workers(4, {})
    for i in range(4000):
        # Three workers get the usual keys; the fourth also gets one key, ten times as often.
        hot = workers.request_count % 4 == 3 and i % 10
        workers.send_request("hot" if hot else f"k{i % 700}", i * MS, Outcome.OK)
        if i == 2000:
            workers.sent.clear()
    servers = [server for index, server in workers.sent if index == 3]
    busiest = max(map(servers.count, set(servers)))
    assert busiest < 0.6 * len(servers)  # a single owner would get nine tenths
