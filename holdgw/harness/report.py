"""Makes the report of a run as one JSON object, for `--json`, the HTML page and the terminal."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import asdict, dataclass, field
from typing import Any

from msgspec.structs import replace

from holdgw.emulators.records import Attempt
from holdgw.harness import scoring
from holdgw.harness.checker import (
    STARVED,
    ClassRule,
    History,
    LagVerdict,
    Violation,
    check_lag,
    counts,
    find_violations,
)
from holdgw.harness.orchestrator import RunResult
from holdgw.harness.routers import Usage
from holdgw.harness.scenario import node_names, router_names
from holdgw.harness.schedule import ORIGIN, Schedule
from holdgw.harness.scoring import RequestOutcome, Service, quantile, request_outcomes
from holdgw.harness.topology import zone_of_router, zone_of_server

WINDOW_S = 5.0
MAX_LISTED_ROUTERS = 5
MAX_LISTED_VIOLATIONS = 200  # all are counted


@dataclass(slots=True)
class Report:
    """A run's report. `body` is what `--json` writes; the other fields are for plots and tests."""

    body: dict[str, Any]
    schedule: Schedule
    broken: list[Violation]
    lag: LagVerdict
    outcomes: list[RequestOutcome]
    service: Service
    attempts: list[Attempt] = field(default_factory=list)
    """The attempts of the run without its prelude, with times in seconds of the run."""
    router_of: dict[str, str] = field(default_factory=dict)

    @property
    def exit_code(self) -> int:
        """0: no rule was violated; 1: a rule was violated; 3: the emulator was late, and the run is void."""
        if self.lag.void:
            return 3
        return 1 if self.broken else 0


def _summary(outcomes: Sequence[RequestOutcome], schedule: Schedule) -> dict[str, Any]:
    """Return counts, service and latencies (ms) of the outcomes of some requests."""
    classes = schedule.scenario.classes
    result_counts = scoring.outcome_counts(outcomes, classes)
    latencies_ms = sorted(outcome.took * 1000 for outcome in outcomes if outcome.took is not None)
    share = scoring.shares(outcomes, classes, lambda _: 0).get(0, scoring.Share())
    return {
        **{name: result_counts[name] for name in ("asked", "served", "in_aim", "refused", "failed")},
        "service": round(share.service, 4),
        "p50_ms": round(quantile(latencies_ms, 0.5), 1),
        "p99_ms": round(quantile(latencies_ms, 0.99), 1),
    }


def _grouped(
    outcomes: Iterable[RequestOutcome], schedule: Schedule, group: Callable[[RequestOutcome], str]
) -> dict[str, Any]:
    outcomes_by_group = defaultdict[str, list[RequestOutcome]](list)
    for outcome in outcomes:
        outcomes_by_group[group(outcome)].append(outcome)
    return {name: _summary(outcomes_by_group[name], schedule) for name in sorted(outcomes_by_group)}


def _router_usage(usage: Sequence[Usage], begun: float) -> dict[str, Any]:
    """Return a router's memory, descriptors and CPU over the run."""
    samples = [sample for sample in usage if sample.at >= begun]
    if not samples:
        return {}
    span = samples[-1].at - samples[0].at
    return {
        "memory_mb": round(max(sample.memory for sample in samples) / (1 << 20), 1),
        "memory_mb_end": round(samples[-1].memory / (1 << 20), 1),
        "descriptors": max(sample.descriptors for sample in samples),
        "cpu_share": round((samples[-1].cpu - samples[0].cpu) / span, 4) if span > 0 else 0.0,
        "cpu_s": round(samples[-1].cpu - samples[0].cpu, 3),
    }


def _harness_usage(played: RunResult) -> dict[str, Any]:
    """Return the harness's own figures: processes, memory, start times, and waits for a core."""
    memory_by_second: dict[int, dict[str, int]] = defaultdict(dict)
    for router, usage in played.usage.items():
        for sample in usage:
            memory_by_second[int(sample.at)][router] = sample.memory
    lives = played.history.lives
    start_durations_s = sorted(life.ready - life.started for life in lives if life.ready is not None)
    first_lives = [life for life in lives if life.started < played.begun]
    waits = defaultdict[str, float](float)
    for router, _, _, waited in played.history.starved:
        waits[router] += waited
    return {
        "processes": played.processes,
        "routers_memory_mb": round(
            max(map(sum, map(dict.values, memory_by_second.values())), default=0) / (1 << 20)
        ),
        "start_s": {
            "all": round(
                max((life.ready or 0.0) for life in first_lives) - min(life.started for life in first_lives),
                2,
            )
            if first_lives
            else 0.0,
            "p50": round(quantile(start_durations_s, 0.5), 2),
            "worst": round(quantile(start_durations_s, 1.0), 2),
        },
        "waited_for_a_core_s": {
            "worst": round(max(waits.values(), default=0.0), 2),
            "all": round(sum(waits.values()), 2),
        },
    }


def _misses_by_cause(attempts: Iterable[Attempt]) -> Counter[str]:
    return Counter(attempt.missing for attempt in attempts if attempt.missing)


def _windows(
    outcomes: Sequence[RequestOutcome],
    attempts: Sequence[Attempt],
    schedule: Schedule,
    router_of: dict[str, str],
) -> list[dict[str, Any]]:
    """Return the requests and outcomes of each 5 s, with the figures that tell overlapping faults apart."""
    outcomes_by_window = defaultdict[int, list[RequestOutcome]](list)
    attempts_by_window = defaultdict[int, list[Attempt]](list)
    for outcome in outcomes:
        outcomes_by_window[int(outcome.request.at / WINDOW_S)].append(outcome)
    for attempt in attempts:
        attempts_by_window[int(attempt.at / WINDOW_S)].append(attempt)
    rows = []
    for i in range(int((schedule.scenario.length_s - 1e-9) / WINDOW_S) + 1):
        window_outcomes, window_attempts = outcomes_by_window[i], attempts_by_window[i]
        attempts_by_router = Counter(
            router for attempt in window_attempts if (router := router_of.get(attempt.request, ""))
        )
        mean = sum(attempts_by_router.values()) / len(router_names(schedule.scenario.fleet))
        rows.append(
            {
                "at": i * WINDOW_S,
                **_summary(window_outcomes, schedule),
                "sources": dict(Counter(outcome.request.source for outcome in window_outcomes)),
                "origin_fetches": sum(
                    attempt.server == ORIGIN and not attempt.idempotency for attempt in window_attempts
                ),
                "attempts": len(window_attempts),
                "missing": dict(_misses_by_cause(window_attempts)),
                "router_skew": round(max(attempts_by_router.values(), default=0) / mean, 2) if mean else 0.0,
            }
        )
    return rows


def _faults_told_apart(
    outcomes: Sequence[RequestOutcome], attempts: Sequence[Attempt], schedule: Schedule, flushed: int
) -> dict[str, Any]:
    """Return the figures that tell overlapping faults apart.

    A scan shows in keys that are requested once, a hot caller in its requests and their routers, and a flush
    in misses of copies that had been cached.
    """
    scan_outcomes = [outcome for outcome in outcomes if outcome.request.source == "scan"]
    hot_caller_outcomes = [outcome for outcome in outcomes if outcome.request.source == "hot_caller"]
    requests_by_router = Counter(outcome.request.router for outcome in hot_caller_outcomes)
    misses_by_cause = _misses_by_cause(attempts)
    return {
        "scan": {
            **_summary(scan_outcomes, schedule),
            "keys": len({outcome.request.key for outcome in scan_outcomes}),
        },
        "hot_caller": {
            **_summary(hot_caller_outcomes, schedule),
            "through": dict(requests_by_router.most_common(MAX_LISTED_ROUTERS)),
        },
        "flush": {"copies_gone": flushed, "misses_of_flushed": misses_by_cause["flushed"]},
        "misses": dict(misses_by_cause),
    }


def _nodes(attempts: Iterable[Attempt], schedule: Schedule) -> dict[str, Any]:
    rows: dict[str, Counter[str]] = defaultdict(Counter)
    work = defaultdict[str, float](float)
    for attempt in attempts:
        row = rows[attempt.server]
        row["attempts"] += 1
        row[attempt.result] += 1
        row["spoilt"] += bool(attempt.fault)
        work[attempt.server] += attempt.work
    names = {*node_names(schedule.scenario.fleet), *rows} - {ORIGIN}
    return {
        name: {**rows[name], "work_s": round(work[name], 2), "zone": zone_of_server(schedule.scenario, name)}
        for name in sorted(names)
    }


def rule_violations(schedule: Schedule, history: History) -> list[Violation]:
    """Return all violations of the four rules in a run, in order of time."""
    return [one for one in all_violations(schedule, history) if one.rule != STARVED]


def all_violations(schedule: Schedule, history: History) -> list[Violation]:
    """Return all violations in a run, and the requests lost for lack of a core, in order of time."""
    classes = schedule.scenario.classes
    rules = {
        request.number: ClassRule(cls.effect, cls.window_ms / 1000)
        for request in schedule.requests
        for cls in (classes[request.request_class],)
    }
    return find_violations(history, rules, schedule.scenario.router.drain_grace_ms / 1000)


def make_report(played: RunResult) -> Report:
    """Check a run against the rules, and compute its report."""
    schedule, scenario, history, begun = (
        played.schedule,
        played.schedule.scenario,
        played.history,
        played.begun,
    )
    violations = all_violations(schedule, history)
    broken = [one for one in violations if one.rule != STARVED]
    lag = check_lag(history.lags, scenario.emulator.lag_ms, scenario.emulator.worst_ms, begun)
    outcomes = request_outcomes(schedule.requests, history.tries, begun)
    routers = router_names(scenario.fleet)
    zones = {name: zone_of_router(scenario, name) for name in routers}
    servers = {attempt.server for attempt in history.attempts}
    zones |= {name: zone_of_server(scenario, name) for name in servers}
    tenants = [one.name for one in scenario.tenants]
    service = scoring.score(outcomes, history, scenario.classes, tenants, scenario.length_s, begun, zones)
    router_of = {one.request: one.router for one in history.tries}
    attempts = sorted(
        (
            replace(one, at=one.at - begun, ended=one.ended - begun)
            for one in history.attempts
            if one.at >= begun
        ),
        key=lambda one: one.at,
    )
    total = _summary(outcomes, schedule)
    flushed = sum(one.gone for one in history.flushed)
    tries = [one for one in history.tries if one.sent >= begun]
    requests_by_router = Counter(one.router for one in tries)
    starts = Counter(life.router for life in history.lives)
    body = {
        "asked": total["asked"],
        "served": total["served"],
        "in_aim": total["in_aim"],
        "refused": total["refused"],
        "failed": total["failed"],
        "service": round(service.service, 4),
        "rules": counts(broken),
        "starved": len(violations) - len(broken),
        "p50_ms": total["p50_ms"],
        "p99_ms": total["p99_ms"],
        "origin_fetches": sum(one.server == ORIGIN and not one.idempotency for one in attempts),
        "nodes": _nodes(attempts, schedule),
        "routers": {
            name: {
                **_router_usage(played.usage.get(name, ()), begun),
                "starts": starts[name],
                "asked": requests_by_router[name],
                "memory_limit_mb": scenario.router.memory_mb,
            }
            for name in routers
        },
        "scenario": scenario.name,
        "seed": schedule.seed,
        "length_s": scenario.length_s,
        "void": lag.void,
        "laboratory": _harness_usage(played),
        "emulator": {
            **asdict(lag),
            "worst_at": round(lag.worst_at - begun, 2),
            "cpu_s": {name: round(cpu, 2) for name, cpu in played.workers.items()},
        },
        "service_parts": asdict(service),
        "attempts": len(attempts),
        "tries": len(tries),
        "classes": _grouped(
            outcomes, schedule, lambda outcome: scenario.classes[outcome.request.request_class].name
        ),
        "tenants": _grouped(outcomes, schedule, lambda outcome: tenants[outcome.request.tenant]),
        "sources": _grouped(outcomes, schedule, lambda outcome: outcome.request.source),
        "told_apart": _faults_told_apart(outcomes, attempts, schedule, flushed),
        "windows": _windows(outcomes, attempts, schedule, router_of),
        "troubles": [asdict(fault) for fault in schedule.drawn_faults],
        "broken": [
            {"rule": one.rule, "at": round(one.at - begun, 3), "requests": one.requests, "text": one.text}
            for one in broken[:MAX_LISTED_VIOLATIONS]
        ],
        "starved_requests": [
            {"at": round(one.at - begun, 3), "requests": one.requests, "text": one.text}
            for one in violations
            if one.rule == STARVED
        ][:MAX_LISTED_VIOLATIONS],
        "odd": [
            {"server": one.server, "at": round(one.at - begun, 3), "text": one.text}
            for one in history.odd[:MAX_LISTED_VIOLATIONS]
        ],
        "spoilt": dict(Counter(one.fault for one in attempts if one.fault)),
        "answers": dict(Counter(one.answer for one in tries)),
    }
    return Report(body, schedule, broken, lag, outcomes, service, attempts, router_of)
