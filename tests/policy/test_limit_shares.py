"""Decisions of several workers of one router: what holds for one process holds for their sum."""

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

COLD = Endpoint("10.0.1.1:80", kind="std", started_ns=20 * S)


class Workers:
    """Modules that get one router's requests by turns; hits are answered at once, fetches as told."""

    def __init__(self, count: int, config: dict[str, object], led: bool = True) -> None:
        def told(place: int) -> Settings:
            return settings(**config, **({"workers": count, "worker_index": place} if led else {}))

        self.modules = [started(told(i), fleet(8), seed=7 + i) for i in range(count)]
        self.asked = 0
        self.sent: list[tuple[int, str]] = []  # to which worker, which server

    def ask(self, key: str, now: int, outcome: Outcome) -> None:
        place = self.asked % len(self.modules)
        self.asked += 1
        module = self.modules[place]
        self._carry_out(
            module, place, module.handle(request(f"r{self.asked}", now, key=key), now), now, outcome
        )

    def _carry_out(
        self, module: RoutingPolicy, place: int, actions: list[Action], now: int, outcome: Outcome
    ) -> None:
        for send in sends(actions):
            self.sent.append((place, send.endpoint_id))
            how = Outcome.OK if send.endpoint_id == ORIGIN.id else outcome
            self._carry_out(module, place, module.handle(ended(send, how), now), now, outcome)

    def tell(self, news: EndpointsChanged) -> None:
        for module in self.modules:
            module.handle(news, 20 * S)


def burst_at_a_newcomer(count: int, led: bool = True) -> tuple[int, set[int]]:
    """What a server that has just joined is sent in a burst right after, and by which workers."""
    workers = Workers(
        count, {"warm_up_initial_weight": 0.25, "warm_up_ns": 20 * S, "warm_up_overload_factor": 2.0}, led
    )
    for i in range(20_000):  # a second for each thousand
        workers.ask(f"k{i % 900}", i * MS, Outcome.OK)
    workers.tell(EndpointsChanged(UpdateKind.DELTA, (COLD,)))
    workers.sent.clear()
    for i in range(4000):
        workers.ask(f"k{i % 900}", 20 * S + i * MS // 16, Outcome.OK)
    mine = [place for place, server in workers.sent if server == COLD.id]
    return len(mine), set(mine)


def test_bound_on_a_warming_endpoint_holds_for_all_workers_together() -> None:
    alone, _ = burst_at_a_newcomer(1)
    together, who = burst_at_a_newcomer(4)
    unled, several = burst_at_a_newcomer(4, led=False)
    assert alone
    assert len(who) == 1
    assert together <= alone + 2
    assert len(several) > 1  # each with a bound of its own, by its own part of what is asked
    assert unled <= alone + 2


@pytest.mark.parametrize("shares", [(0.25, 0.25, 0.25, 0.25), (0.7, 0.1, 0.1, 0.1)])
def test_a_tenants_limit_holds_for_all_workers_together(shares: tuple[float, ...]) -> None:
    def fetches(led: bool) -> int:
        workers = Workers(4, {}, led)
        if led:
            for module, share in zip(workers.modules, shares, strict=True):
                module.handle(LimitSharesChanged({"a": share, "unknown": 0.5}), 0)
        count = 0
        for i in range(20_000):
            now = i * MS
            workers.sent.clear()
            workers.ask(f"k{i}", now, Outcome.MISS)
            if now >= 10 * S:
                count += sum(server == ORIGIN.id for _, server in workers.sent)
        return count

    whole = 60 * 10  # of tenant a's 60 a second, in 10 s
    assert fetches(led=True) <= whole * 1.2
    assert fetches(led=False) > whole * 2


def test_a_new_limit_share_keeps_the_proportion_of_a_cut() -> None:
    module = started(settings(workers=2, worker_index=1), fleet(2))
    limiter = module._origin_limiters["a"]
    assert limiter.max_rate_limit == limiter.rate_limit == 30.0
    limiter.rate_limit = 15.0
    module.handle(LimitSharesChanged({"a": 0.9}), 0)
    assert (limiter.max_rate_limit, limiter.rate_limit) == (54.0, 27.0)
    module.handle(
        LimitSharesChanged({"a": 0.0}), 0
    )  # none is no share: a worker's least is told by a tiny one
    assert limiter.max_rate_limit == 54.0


def test_worker_index_must_be_below_the_number_of_workers() -> None:
    with pytest.raises(ValueError, match="worker_index"):
        settings(workers=2, worker_index=2)


def test_a_single_worker_decides_as_a_router_without_workers() -> None:
    plain = started(settings(), fleet(5))
    alone = started(settings(workers=1, worker_index=0), fleet(5))
    for i in range(200):
        told = request(f"r{i}", i * MS, key=f"k{i % 17}")
        first, second = plain.handle(told, i * MS), alone.handle(told, i * MS)
        assert first == second
        (send,) = first
        assert isinstance(send, SendAttempt)
        for module in (plain, alone):
            module.handle(ended(send, Outcome.OK), i * MS)


def test_a_hot_key_whose_clients_are_all_at_one_worker_has_several_owners_there() -> None:
    workers = Workers(4, {})
    for i in range(4000):
        # Three workers have the usual keys; the fourth has one key beside them, ten times as often.
        hot = workers.asked % 4 == 3 and i % 10
        workers.ask("hot" if hot else f"k{i % 700}", i * MS, Outcome.OK)
        if i == 2000:
            workers.sent.clear()
    servers = [server for place, server in workers.sent if place == 3]
    busiest = max(map(servers.count, set(servers)))
    assert busiest < 0.6 * len(servers)  # one server alone would have nine tenths
