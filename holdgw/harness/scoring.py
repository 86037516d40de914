"""Computes the service score of a run as the brief defines it, from scheduled requests and their outcomes.

Service is the worth of requests answered within the latency objective over the worth of all requests. A late
answer counts with its class's late share, and a request beyond its tenant's quota with 5 % of its worth. The
score weighs the service of the whole run with 55 %, of the worst 10 s with 15 %, of the worst-served class
with 5 % and of the worst-served tenant with 25 %.

Deductions, in points of 100: 15 for one origin fetch per request, 8 if all requests fail only after their
latency objective, 4 for as much wasted work as was requested, 1 for one health check per request, and 1 for
one attempt across zones per request.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import TypeVar

from holdgw.emulators.records import ClientRequest
from holdgw.harness.checker import GOOD, History
from holdgw.harness.scenario import RequestClass
from holdgw.harness.schedule import ORIGIN, PRELUDE, ScheduledRequest

K = TypeVar("K")

OVER_QUOTA_FACTOR = 0.05
WORST_WINDOW_S = 10.0
WINDOW_STEP_S = 1.0
# Weights of the parts of the score, which add up to 1.
TOTAL_WEIGHT = 0.55
WINDOW_WEIGHT = 0.15
CLASS_WEIGHT = 0.05
TENANT_WEIGHT = 0.25
# Deductions from the score at a ratio of 1.
ORIGIN_DEDUCTION = 0.15
LATE_FAILURE_DEDUCTION = 0.08
WASTE_DEDUCTION = 0.04
HEALTH_CHECK_DEDUCTION = 0.01
CROSSING_DEDUCTION = 0.01


@dataclass(slots=True)
class RequestOutcome:
    """The outcome of a scheduled request with all its attempts.

    `took` is the time in seconds from the request's first arrival to its good answer, None without one.
    """

    request: ScheduledRequest
    took: float | None = None
    result: str = "failed"
    """The result of the last attempt: served, refused or failed; `left` if the client disconnected."""
    tries: int = 0
    ended: float = 0.0
    """In seconds of the run."""


def request_outcomes(
    requests: Iterable[ScheduledRequest], tries: Iterable[ClientRequest], begun: float
) -> list[RequestOutcome]:
    """Return the outcome of every request of the run itself, without those of the prelude.

    Args:
        requests: The scheduled requests.
        tries: The recorded attempts of clients.
        begun: The time of second 0 on the clock of `tries`.
    """
    tries_by_request = defaultdict[int, list[ClientRequest]](list)
    for client_request in tries:
        tries_by_request[client_request.ask].append(client_request)
    outcomes = []
    for request in requests:
        if request.source == PRELUDE:
            continue
        outcome = RequestOutcome(request, ended=request.at)
        for client_request in sorted(
            tries_by_request.get(request.number, ()), key=lambda client_request: client_request.number
        ):
            outcome.tries += 1
            outcome.ended = max(outcome.ended, client_request.ended - begun)
            if client_request.answer == "served" and not client_request.fault:
                outcome.result, outcome.took = "served", client_request.ended - begun - request.at
            elif outcome.took is None:
                outcome.result = (
                    client_request.answer if client_request.answer in ("refused", "left") else "failed"
                )
        outcomes.append(outcome)
    return outcomes


@dataclass(frozen=True, slots=True)
class Share:
    """The worth of some requests (`asked`), and the worth of their answers (`got`)."""

    asked: float = 0.0
    got: float = 0.0

    @property
    def service(self) -> float:
        """The worth of answers over that of requests; 1 without requests."""
        return self.got / self.asked if self.asked else 1.0


@dataclass(frozen=True, slots=True)
class Service:
    """The service score and its parts, each from 0 to 1; `deductions` are already subtracted."""

    service: float
    whole: float
    worst_window: float
    worst_window_at: float
    worst_class: tuple[str, float]
    worst_tenant: tuple[str, float]
    deductions: dict[str, float] = field(default_factory=dict)


def worth_of(outcome: RequestOutcome, classes: Sequence[RequestClass]) -> tuple[float, float]:
    """Return the worth of one request, and the worth of its answer."""
    cls = classes[outcome.request.request_class]
    worth = cls.worth * (OVER_QUOTA_FACTOR if outcome.request.over_quota else 1.0)
    if outcome.took is None or outcome.took > cls.give_up_ms / 1000:
        return worth, 0.0
    return worth, worth * (1.0 if outcome.took <= cls.aim_ms / 1000 else cls.late_worth)


def shares(
    outcomes: Iterable[RequestOutcome], classes: Sequence[RequestClass], group: Callable[[RequestOutcome], K]
) -> dict[K, Share]:
    """Return the worth of requests and answers by group."""
    asked, got = defaultdict[K, float](float), defaultdict[K, float](float)
    for outcome in outcomes:
        request_worth, answer_worth = worth_of(outcome, classes)
        asked[group(outcome)] += request_worth
        got[group(outcome)] += answer_worth
    return {name: Share(asked[name], got[name]) for name in asked}


def worst_window(
    outcomes: Sequence[RequestOutcome], classes: Sequence[RequestClass], length: float
) -> tuple[float, float]:
    """Return the service of the worst 10 s and the second at which they begin.

    Of a shorter run, return the service of the whole run.
    """
    if length <= WORST_WINDOW_S:
        total = shares(outcomes, classes, lambda _: 0).get(0, Share())
        return total.service, 0.0
    steps = shares(outcomes, classes, lambda outcome: int(outcome.request.at / WINDOW_STEP_S))
    window_steps = int(WORST_WINDOW_S / WINDOW_STEP_S)
    worst, at = 1.0, 0.0
    for start in range(max(int(length / WINDOW_STEP_S) - window_steps + 1, 1)):
        part = [steps.get(i, Share()) for i in range(start, start + window_steps)]
        service = Share(sum(share.asked for share in part), sum(share.got for share in part)).service
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
    """Return the service score of a run.

    Args:
        outcomes: The outcomes of all requests.
        history: The records of the run.
        classes: The scenario's request classes.
        tenants: The names of the scenario's tenants.
        length: The length of the run in seconds.
        begun: The time of second 0 on the clock of the records.
        zones: The zone of each router and server.
        probes: The number of health checks.
    """
    total = shares(outcomes, classes, lambda _: 0).get(0, Share())
    by_class = shares(outcomes, classes, lambda outcome: outcome.request.request_class)
    by_tenant = shares(outcomes, classes, lambda outcome: outcome.request.tenant)
    window, window_at = worst_window(outcomes, classes, length)
    worst_class = min(((classes[i].name, share.service) for i, share in by_class.items()), key=lambda x: x[1])
    worst_tenant = min(((tenants[i], share.service) for i, share in by_tenant.items()), key=lambda x: x[1])
    goal = (
        TOTAL_WEIGHT * total.service
        + WINDOW_WEIGHT * window
        + CLASS_WEIGHT * worst_class[1]
        + TENANT_WEIGHT * worst_tenant[1]
    )
    deducted = deductions(outcomes, history, classes, begun, zones, probes)
    return Service(
        max(goal - sum(deducted.values()), 0.0),
        total.service,
        window,
        window_at,
        worst_class,
        worst_tenant,
        deducted,
    )


def deductions(
    outcomes: Sequence[RequestOutcome],
    history: History,
    classes: Sequence[RequestClass],
    begun: float,
    zones: Mapping[str, str],
    probes: int = 0,
) -> dict[str, float]:
    """Return the deductions from the score by name; the arguments are those of `score`."""
    request_count = max(len(outcomes), 1)
    attempts = [attempt for attempt in history.attempts if attempt.at >= begun]
    router_by_request = {client_request.request: client_request.router for client_request in history.tries}
    used_answers = {
        (client_request.server, client_request.serial)
        for client_request in history.tries
        if client_request.answer == "served"
    }
    fetches = sum(attempt.server == ORIGIN and not attempt.idempotency for attempt in attempts)
    crossings = sum(
        zones.get(attempt.server) != zones.get(router_by_request.get(attempt.request, ""))
        for attempt in attempts
        if attempt.server != ORIGIN
    )
    answered = [attempt for attempt in attempts if attempt.server != ORIGIN and attempt.result in GOOD]
    wasted = sum(attempt.work for attempt in answered if (attempt.server, attempt.serial) not in used_answers)
    work = sum(classes[outcome.request.request_class].work_ms / 1000 for outcome in outcomes)
    late_failure_worth = sum(
        worth_of(outcome, classes)[0]
        for outcome in outcomes
        if outcome.took is None
        and outcome.ended - outcome.request.at > classes[outcome.request.request_class].aim_ms / 1000
    )
    worth = sum(worth_of(outcome, classes)[0] for outcome in outcomes)
    return {
        "origin": ORIGIN_DEDUCTION * fetches / request_count,
        "late_fail": LATE_FAILURE_DEDUCTION * late_failure_worth / worth if worth else 0.0,
        "waste": WASTE_DEDUCTION * wasted / work if work else 0.0,
        "probes": HEALTH_CHECK_DEDUCTION * probes / request_count,
        "crossing": CROSSING_DEDUCTION * crossings / request_count,
    }


def quantile(sorted_values: Sequence[float], q: float) -> float:
    """Return a quantile of sorted values by nearest rank; 0 without values."""
    if not sorted_values:
        return 0.0
    return sorted_values[min(int(q * len(sorted_values)), len(sorted_values) - 1)]


def outcome_counts(outcomes: Iterable[RequestOutcome], classes: Sequence[RequestClass]) -> Counter[str]:
    """Count the requests that were served, in time, refused and failed.

    Requests abandoned by their clients count as failed.
    """
    result_counts = Counter[str]()
    for outcome in outcomes:
        result_counts["asked"] += 1
        result = outcome.result if outcome.result in ("served", "refused") else "failed"
        result_counts[result] += 1
        in_aim = (
            outcome.took is not None and outcome.took <= classes[outcome.request.request_class].aim_ms / 1000
        )
        result_counts["in_aim"] += in_aim
    return result_counts
