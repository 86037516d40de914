"""What a played day came to, as one plain object for `--json`, the page and the terminal; pure."""

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
    counts,
    judge,
    judge_lag,
)
from holdgw.harness.orchestrator import RunResult
from holdgw.harness.routers import Usage
from holdgw.harness.scenario import node_names, router_names
from holdgw.harness.schedule import ORIGIN, Schedule
from holdgw.harness.scoring import Fate, Service, fates, quantile
from holdgw.harness.topology import zone_of_router, zone_of_server

WINDOW_S = 5.0
BUSIEST = 5
MOST_BROKEN = 200  # breaks listed; all are counted


@dataclass(slots=True)
class Report:
    """A day's report. `body` is what `--json` writes; the rest is for those who draw."""

    body: dict[str, Any]
    day: Schedule
    broken: list[Violation]
    lag: LagVerdict
    fates: list[Fate]
    service: Service
    attempts: list[Attempt] = field(default_factory=list)
    """Of the day itself, times in seconds of the day."""
    router_of: dict[str, str] = field(default_factory=dict)

    @property
    def exit_code(self) -> int:
        """0: the rules were kept; 1: one was broken; 3: the emulator was late, and nothing is judged."""
        if self.lag.void:
            return 3
        return 1 if self.broken else 0


def _summary(found: Sequence[Fate], day: Schedule) -> dict[str, Any]:
    """Counts, service and latencies of some asks."""
    classes = day.scenario.classes
    counted = scoring.outcomes(found, classes)
    took = sorted(fate.took * 1000 for fate in found if fate.took is not None)
    share = scoring.shares(found, classes, lambda _: 0).get(0, scoring.Share())
    return {
        **{name: counted[name] for name in ("asked", "served", "in_aim", "refused", "failed")},
        "service": round(share.service, 4),
        "p50_ms": round(quantile(took, 0.5), 1),
        "p99_ms": round(quantile(took, 0.99), 1),
    }


def _grouped(found: Iterable[Fate], day: Schedule, group: Callable[[Fate], str]) -> dict[str, Any]:
    parts = defaultdict[str, list[Fate]](list)
    for fate in found:
        parts[group(fate)].append(fate)
    return {name: _summary(parts[name], day) for name in sorted(parts)}


def _used(usage: Sequence[Usage], begun: float) -> dict[str, Any]:
    """A router's memory, descriptors and CPU over the day."""
    day = [one for one in usage if one.at >= begun]
    if not day:
        return {}
    span = day[-1].at - day[0].at
    return {
        "memory_mb": round(max(one.memory for one in day) / (1 << 20), 1),
        "memory_mb_end": round(day[-1].memory / (1 << 20), 1),
        "descriptors": max(one.descriptors for one in day),
        "cpu_share": round((day[-1].cpu - day[0].cpu) / span, 4) if span > 0 else 0.0,
        "cpu_s": round(day[-1].cpu - day[0].cpu, 3),
    }


def _laboratory(played: RunResult) -> dict[str, Any]:
    """What the laboratory itself took: processes, memory, starts, and cores that were waited for."""
    latest: dict[int, dict[str, int]] = defaultdict(dict)
    for router, usage in played.usage.items():
        for one in usage:
            latest[int(one.at)][router] = one.memory
    lives = played.history.lives
    took = sorted(life.ready - life.started for life in lives if life.ready is not None)
    first = [life for life in lives if life.started < played.begun]
    waits = defaultdict[str, float](float)
    for router, _, _, waited in played.history.starved:
        waits[router] += waited
    return {
        "processes": played.processes,
        "routers_memory_mb": round(max(map(sum, map(dict.values, latest.values())), default=0) / (1 << 20)),
        "start_s": {
            "all": round(max((life.ready or 0.0) for life in first) - min(life.started for life in first), 2)
            if first
            else 0.0,
            "p50": round(quantile(took, 0.5), 2),
            "worst": round(quantile(took, 1.0), 2),
        },
        "waited_for_a_core_s": {
            "worst": round(max(waits.values(), default=0.0), 2),
            "all": round(sum(waits.values()), 2),
        },
    }


def _missing(attempts: Iterable[Attempt]) -> Counter[str]:
    return Counter(attempt.missing for attempt in attempts if attempt.missing)


def _windows(
    found: Sequence[Fate], attempts: Sequence[Attempt], day: Schedule, router_of: dict[str, str]
) -> list[dict[str, Any]]:
    """Every 5 s: what was asked, what became of it, and the signs by which troubles are told apart."""
    asks = defaultdict[int, list[Fate]](list)
    sent = defaultdict[int, list[Attempt]](list)
    for fate in found:
        asks[int(fate.ask.at / WINDOW_S)].append(fate)
    for attempt in attempts:
        sent[int(attempt.at / WINDOW_S)].append(attempt)
    rows = []
    for i in range(int((day.scenario.length_s - 1e-9) / WINDOW_S) + 1):
        here, tried = asks[i], sent[i]
        routers = Counter(router for attempt in tried if (router := router_of.get(attempt.request, "")))
        mean = sum(routers.values()) / len(router_names(day.scenario.fleet))
        rows.append(
            {
                "at": i * WINDOW_S,
                **_summary(here, day),
                "sources": dict(Counter(fate.ask.source for fate in here)),
                "origin_fetches": sum(one.server == ORIGIN and not one.idempotency for one in tried),
                "attempts": len(tried),
                "missing": dict(_missing(tried)),
                "router_skew": round(max(routers.values(), default=0) / mean, 2) if mean else 0.0,
            }
        )
    return rows


def _told_apart(
    found: Sequence[Fate], attempts: Sequence[Attempt], day: Schedule, flushed: int
) -> dict[str, Any]:
    """Troubles that overlap, each by its own sign: a scan by keys wanted once, a hot caller by who asked and
    through which router, a flush by copies that had been kept and were missed.
    """
    scanned = [fate for fate in found if fate.ask.source == "scan"]
    hot = [fate for fate in found if fate.ask.source == "hot_caller"]
    through = Counter(fate.ask.router for fate in hot)
    missing = _missing(attempts)
    return {
        "scan": {**_summary(scanned, day), "keys": len({fate.ask.key for fate in scanned})},
        "hot_caller": {**_summary(hot, day), "through": dict(through.most_common(BUSIEST))},
        "flush": {"copies_gone": flushed, "misses_of_flushed": missing["flushed"]},
        "misses": dict(missing),
    }


def _nodes(attempts: Iterable[Attempt], day: Schedule) -> dict[str, Any]:
    rows: dict[str, Counter[str]] = defaultdict(Counter)
    work = defaultdict[str, float](float)
    for attempt in attempts:
        row = rows[attempt.server]
        row["attempts"] += 1
        row[attempt.result] += 1
        row["spoilt"] += bool(attempt.fault)
        work[attempt.server] += attempt.work
    names = {*node_names(day.scenario.fleet), *rows} - {ORIGIN}
    return {
        name: {**rows[name], "work_s": round(work[name], 2), "zone": zone_of_server(day.scenario, name)}
        for name in sorted(names)
    }


def rule_violations(day: Schedule, history: History) -> list[Violation]:
    """All breaks of the four rules on a day, in order of time."""
    return [one for one in failures_of(day, history) if one.rule != STARVED]


def failures_of(day: Schedule, history: History) -> list[Violation]:
    """All breaks on a day, and requests lost for want of a core, in order of time."""
    classes = day.scenario.classes
    rules = {
        ask.number: ClassRule(cls.effect, cls.window_ms / 1000)
        for ask in day.requests
        for cls in (classes[ask.request_class],)
    }
    return judge(history, rules, day.scenario.router.drain_grace_ms / 1000)


def make_report(played: RunResult) -> Report:
    """Judge and count a played day."""
    day, scenario, history, begun = played.schedule, played.schedule.scenario, played.history, played.begun
    wrong = failures_of(day, history)
    broken = [one for one in wrong if one.rule != STARVED]
    lag = judge_lag(history.lags, scenario.emulator.lag_ms, scenario.emulator.worst_ms, begun)
    found = fates(day.requests, history.tries, begun)
    routers = router_names(scenario.fleet)
    zones = {name: zone_of_router(scenario, name) for name in routers}
    servers = {attempt.server for attempt in history.attempts}
    zones |= {name: zone_of_server(scenario, name) for name in servers}
    tenants = [one.name for one in scenario.tenants]
    service = scoring.count(found, history, scenario.classes, tenants, scenario.length_s, begun, zones)
    router_of = {one.request: one.router for one in history.tries}
    attempts = sorted(
        (
            replace(one, at=one.at - begun, ended=one.ended - begun)
            for one in history.attempts
            if one.at >= begun
        ),
        key=lambda one: one.at,
    )
    total = _summary(found, day)
    flushed = sum(one.gone for one in history.flushed)
    tries = [one for one in history.tries if one.sent >= begun]
    asked = Counter(one.router for one in tries)
    starts = Counter(life.router for life in history.lives)
    body = {
        "asked": total["asked"],
        "served": total["served"],
        "in_aim": total["in_aim"],
        "refused": total["refused"],
        "failed": total["failed"],
        "service": round(service.service, 4),
        "rules": counts(broken),
        "starved": len(wrong) - len(broken),
        "p50_ms": total["p50_ms"],
        "p99_ms": total["p99_ms"],
        "origin_fetches": sum(one.server == ORIGIN and not one.idempotency for one in attempts),
        "nodes": _nodes(attempts, day),
        "routers": {
            name: {
                **_used(played.usage.get(name, ()), begun),
                "starts": starts[name],
                "asked": asked[name],
                "memory_limit_mb": scenario.router.memory_mb,
            }
            for name in routers
        },
        "scenario": scenario.name,
        "seed": day.seed,
        "length_s": scenario.length_s,
        "void": lag.void,
        "laboratory": _laboratory(played),
        "emulator": {
            **asdict(lag),
            "worst_at": round(lag.worst_at - begun, 2),
            "cpu_s": {name: round(cpu, 2) for name, cpu in played.workers.items()},
        },
        "service_parts": asdict(service),
        "attempts": len(attempts),
        "tries": len(tries),
        "classes": _grouped(found, day, lambda fate: scenario.classes[fate.ask.request_class].name),
        "tenants": _grouped(found, day, lambda fate: tenants[fate.ask.tenant]),
        "sources": _grouped(found, day, lambda fate: fate.ask.source),
        "told_apart": _told_apart(found, attempts, day, flushed),
        "windows": _windows(found, attempts, day, router_of),
        "troubles": [asdict(mark) for mark in day.drawn_faults],
        "broken": [
            {"rule": one.rule, "at": round(one.at - begun, 3), "requests": one.requests, "text": one.text}
            for one in broken[:MOST_BROKEN]
        ],
        "starved_requests": [
            {"at": round(one.at - begun, 3), "requests": one.requests, "text": one.text}
            for one in wrong
            if one.rule == STARVED
        ][:MOST_BROKEN],
        "odd": [
            {"server": one.server, "at": round(one.at - begun, 3), "text": one.text}
            for one in history.odd[:MOST_BROKEN]
        ],
        "spoilt": dict(Counter(one.fault for one in attempts if one.fault)),
        "answers": dict(Counter(one.answer for one in tries)),
    }
    return Report(body, day, broken, lag, found, service, attempts, router_of)
