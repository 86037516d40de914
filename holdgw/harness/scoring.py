"""Service as the brief counts it, from drawn asks and what became of them; pure.

Worth answered within the aim over the worth asked for, a late answer at its class's late share, what goes
beyond a tenant's quota at 5 %: 55 % the whole run, 15 % the worst 10 s, 5 % the worst-served class, 25 % the
worst-served tenant. Deductions: 15 points in 100 for a fetch from the package store for each request, 8 for
all failing only after the wanted time, 4 for as much work wasted as was asked for, 1 for one probe a request,
1 for each request crossing zones once.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import TypeVar

from holdgw.emulators.records import Try
from holdgw.harness.checker import GOOD, History
from holdgw.harness.scenario import RequestClass
from holdgw.harness.schedule import ORIGIN, PRELUDE, ScheduledRequest

K = TypeVar("K")

OVER_QUOTA_FACTOR = 0.05
WORST_WINDOW_S = 10.0
WINDOW_STEP_S = 1.0
# Weights of the parts of the score; together 1.
TOTAL_WEIGHT = 0.55
WINDOW_WEIGHT = 0.15
CLASS_WEIGHT = 0.05
TENANT_WEIGHT = 0.25
# Deductions, at a ratio of 1.
ORIGIN_DEDUCTION = 0.15
LATE_FAILURE_DEDUCTION = 0.08
WASTE_DEDUCTION = 0.04
HEALTH_CHECK_DEDUCTION = 0.01
CROSSING_DEDUCTION = 0.01


@dataclass(slots=True)
class RequestOutcome:
    """What became of an ask. `took`: seconds from its first try to its good answer, None without one."""

    request: ScheduledRequest
    took: float | None = None
    result: str = "failed"
    """served, refused or failed: what its last try got; `left` where the client went away by itself."""
    tries: int = 0
    ended: float = 0.0
    """Seconds of the day."""


def request_outcomes(
    requests: Iterable[ScheduledRequest], tries: Iterable[Try], begun: float
) -> list[RequestOutcome]:
    """Every ask of the day itself and what became of it. `begun`: the clock's time of second 0."""
    tries_by_request = defaultdict[int, list[Try]](list)
    for one in tries:
        tries_by_request[one.ask].append(one)
    outcomes = []
    for ask in requests:
        if ask.source == PRELUDE:
            continue
        outcome = RequestOutcome(ask, ended=ask.at)
        for one in sorted(tries_by_request.get(ask.number, ()), key=lambda one: one.number):
            outcome.tries += 1
            outcome.ended = max(outcome.ended, one.ended - begun)
            if one.answer == "served" and not one.fault:
                outcome.result, outcome.took = "served", one.ended - begun - ask.at
            elif outcome.took is None:
                outcome.result = one.answer if one.answer in ("refused", "left") else "failed"
        outcomes.append(outcome)
    return outcomes


@dataclass(frozen=True, slots=True)
class Share:
    """Worth asked for and worth got."""

    asked: float = 0.0
    got: float = 0.0

    @property
    def service(self) -> float:
        """Got over asked; 1 where nothing was asked for."""
        return self.got / self.asked if self.asked else 1.0


@dataclass(frozen=True, slots=True)
class Service:
    """The figure and its parts, each from 0 to 1; deductions as they are taken off."""

    service: float
    whole: float
    worst_window: float
    worst_window_at: float
    worst_class: tuple[str, float]
    worst_tenant: tuple[str, float]
    deductions: dict[str, float] = field(default_factory=dict)


def worth_of(outcome: RequestOutcome, classes: Sequence[RequestClass]) -> tuple[float, float]:
    """Worth asked for and worth got by one ask."""
    cls = classes[outcome.request.request_class]
    worth = cls.worth * (OVER_QUOTA_FACTOR if outcome.request.over_quota else 1.0)
    if outcome.took is None or outcome.took > cls.give_up_ms / 1000:
        return worth, 0.0
    return worth, worth * (1.0 if outcome.took <= cls.aim_ms / 1000 else cls.late_worth)


def shares(
    outcomes: Iterable[RequestOutcome], classes: Sequence[RequestClass], group: Callable[[RequestOutcome], K]
) -> dict[K, Share]:
    """Worth by group."""
    asked, got = defaultdict[K, float](float), defaultdict[K, float](float)
    for outcome in outcomes:
        a, g = worth_of(outcome, classes)
        asked[group(outcome)] += a
        got[group(outcome)] += g
    return {name: Share(asked[name], got[name]) for name in asked}


def worst_window(
    outcomes: Sequence[RequestOutcome], classes: Sequence[RequestClass], length: float
) -> tuple[float, float]:
    """The service of the worst 10 s and where they begin; of the whole day where it is shorter."""
    if length <= WORST_WINDOW_S:
        total = shares(outcomes, classes, lambda _: 0).get(0, Share())
        return total.service, 0.0
    steps = shares(outcomes, classes, lambda outcome: int(outcome.request.at / WINDOW_STEP_S))
    window_steps = int(WORST_WINDOW_S / WINDOW_STEP_S)
    worst, at = 1.0, 0.0
    for start in range(max(int(length / WINDOW_STEP_S) - window_steps + 1, 1)):
        part = [steps.get(i, Share()) for i in range(start, start + window_steps)]
        service = Share(sum(one.asked for one in part), sum(one.got for one in part)).service
        if service < worst:
            worst, at = service, start * WINDOW_STEP_S
    return worst, at


def score(
    outcomes: Sequence[RequestOutcome],
    history: History,
    classes: Sequence[RequestClass],
    tenants: Sequence[str],
    length: float,
    begun: float,
    zones: Mapping[str, str],
    probes: int = 0,
) -> Service:
    """The service of a day. `zones`: of each router and server."""
    total = shares(outcomes, classes, lambda _: 0).get(0, Share())
    by_class = shares(outcomes, classes, lambda outcome: outcome.request.request_class)
    by_tenant = shares(outcomes, classes, lambda outcome: outcome.request.tenant)
    window, window_at = worst_window(outcomes, classes, length)
    worst_class = min(((classes[i].name, one.service) for i, one in by_class.items()), key=lambda x: x[1])
    worst_tenant = min(((tenants[i], one.service) for i, one in by_tenant.items()), key=lambda x: x[1])
    goal = (
        TOTAL_WEIGHT * total.service
        + WINDOW_WEIGHT * window
        + CLASS_WEIGHT * worst_class[1]
        + TENANT_WEIGHT * worst_tenant[1]
    )
    taken = deductions(outcomes, history, classes, begun, zones, probes)
    return Service(
        max(goal - sum(taken.values()), 0.0),
        total.service,
        window,
        window_at,
        worst_class,
        worst_tenant,
        taken,
    )


def deductions(
    outcomes: Sequence[RequestOutcome],
    history: History,
    classes: Sequence[RequestClass],
    begun: float,
    zones: Mapping[str, str],
    probes: int = 0,
) -> dict[str, float]:
    """What is taken off, by its name."""
    asked = max(len(outcomes), 1)
    attempts = [attempt for attempt in history.attempts if attempt.at >= begun]
    router = {one.request: one.router for one in history.tries}
    used = {(one.server, one.serial) for one in history.tries if one.answer == "served"}
    fetches = sum(attempt.server == ORIGIN and not attempt.idempotency for attempt in attempts)
    crossing = sum(
        zones.get(attempt.server) != zones.get(router.get(attempt.request, ""))
        for attempt in attempts
        if attempt.server != ORIGIN
    )
    ran = [attempt for attempt in attempts if attempt.server != ORIGIN and attempt.result in GOOD]
    wasted = sum(attempt.work for attempt in ran if (attempt.server, attempt.serial) not in used)
    work = sum(classes[outcome.request.request_class].work_ms / 1000 for outcome in outcomes)
    late = sum(
        worth_of(outcome, classes)[0]
        for outcome in outcomes
        if outcome.took is None
        and outcome.ended - outcome.request.at > classes[outcome.request.request_class].aim_ms / 1000
    )
    worth = sum(worth_of(outcome, classes)[0] for outcome in outcomes)
    return {
        "origin": ORIGIN_DEDUCTION * fetches / asked,
        "late_fail": LATE_FAILURE_DEDUCTION * late / worth if worth else 0.0,
        "waste": WASTE_DEDUCTION * wasted / work if work else 0.0,
        "probes": HEALTH_CHECK_DEDUCTION * probes / asked,
        "crossing": CROSSING_DEDUCTION * crossing / asked,
    }


def quantile(sorted_values: Sequence[float], q: float) -> float:
    """A quantile of sorted values by nearest rank; 0 of none."""
    if not sorted_values:
        return 0.0
    return sorted_values[min(int(q * len(sorted_values)), len(sorted_values) - 1)]


def outcome_counts(outcomes: Iterable[RequestOutcome], classes: Sequence[RequestClass]) -> Counter[str]:
    """How many asks were served, in their aim, refused, and failed (with those left by their clients)."""
    counted = Counter[str]()
    for outcome in outcomes:
        counted["asked"] += 1
        kind = outcome.result if outcome.result in ("served", "refused") else "failed"
        counted[kind] += 1
        in_aim = (
            outcome.took is not None and outcome.took <= classes[outcome.request.request_class].aim_ms / 1000
        )
        counted["in_aim"] += in_aim
    return counted
