"""Checks the four rules on a recorded history, without input or output.

The evidence is what emulated servers and clients recorded, never what a router reports of itself.

1. lost: a request that a router accepted gets exactly one final answer in time, made for this request, and
   the router forwards nothing more for it afterwards.
2. twice: no effect happens twice, and a request that may have run is sent again only as its class allows.
3. late_drain: a router forwards nothing new to an endpoint later than the drain grace after the router was
   told that the endpoint is draining or removed.
4. felled: no cold endpoint is overloaded until it fails.

Every time limit is 50 ms (SLACK_S) longer here than in the rule, for network delay and for the emulator's
clocks.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import TypeVarTuple

from holdgw.emulators.records import (
    LAG_BOUNDS_MS,
    Attempt,
    ClientRequest,
    ConnectionOpened,
    DiscoveryCall,
    DiscoveryCut,
    EndpointStateAvailable,
    EndpointStateSent,
    ExtraAnswer,
    Flushed,
    Lag,
    OverrideAccepted,
    ProtocolViolation,
    Record,
    WarmUpCrash,
)

SLACK_S = 0.05
MAX_NOTICE_DELAY_S = 6.0
"""A router counts as told of a state this long after its view had the state, whether or not discovery wrote
the state to the router."""
RULES = ("lost", "twice", "late_drain", "felled")
STARVED_FRACTION = 0.25
"""A lost request counts as starved if its router waited for a core for more than this fraction of the time it
had, or for more than SLACK_S."""
STARVED = "starved"
"""Marks a request that was lost because the test machine gave its router no core in time, which breaks no
rule: in production each router has a core of its own."""
GOOD = ("hit", "served", "repeat")
NO_EFFECT = ("busy", "miss", "pending")  # rejected with an answer that says so, or only a cache lookup


@dataclass(frozen=True, slots=True)
class ProcessLifetime:
    """One process of a router, from its start to its exit; times are seconds on the harness's clock.

    `exited` is None if the process never ended. `wanted` names the signal that ended it (TERM or KILL) and is
    empty if none was sent.
    """

    router: str
    started: float
    ready: float | None = None
    told_to_end: float | None = None
    wanted: str = ""
    exited: float | None = None
    code: int | None = None


@dataclass(slots=True)
class History:
    """Everything that a run recorded, sorted by the kind of record."""

    tries: list[ClientRequest] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    told: list[EndpointStateSent] = field(default_factory=list)
    had: list[EndpointStateAvailable] = field(default_factory=list)
    handed: list[OverrideAccepted] = field(default_factory=list)
    fallen: list[WarmUpCrash] = field(default_factory=list)
    odd: list[ProtocolViolation] = field(default_factory=list)
    extras: list[ExtraAnswer] = field(default_factory=list)
    lags: list[Lag] = field(default_factory=list)
    flushed: list[Flushed] = field(default_factory=list)
    calls: list[DiscoveryCall] = field(default_factory=list)
    dials: list[ConnectionOpened] = field(default_factory=list)
    lives: list[ProcessLifetime] = field(default_factory=list)
    severed: set[str] = field(default_factory=set)
    """Requests whose client's connection was broken by the network: no router could have answered them."""
    stops: list[tuple[str, float, float]] = field(default_factory=list)
    """When processes of routers were stopped: (router, from, to)."""
    gone: list[tuple[str, float, float]] = field(default_factory=list)
    """When machines of routers were lost: (router, from, until the router took requests again)."""
    starved: list[tuple[str, float, float, float]] = field(default_factory=list)
    """When processes of routers waited for a core of this machine: (router, from, to, seconds waited)."""
    deaf: list[DiscoveryCut] = field(default_factory=list)
    """When connections from routers to discovery were cut."""
    held: dict[tuple[str, float], float] = field(default_factory=dict)
    """When a router had written what the network held back, by server and time of arrival."""

    def left_at(self, attempt: Attempt) -> float:
        """Return the latest time at which an attempt can have left its router.

        That is when the attempt came to the server's machine, unless the network held it back.
        """
        return self._held_since(attempt) or attempt.arrived or attempt.at

    def reached_at(self, attempt: Attempt) -> float:
        """Return when an attempt reached its server's machine: before `at` if the process read it late."""
        return attempt.at if self._held_since(attempt) else attempt.arrived or attempt.at

    def _held_since(self, attempt: Attempt) -> float:
        return attempt.held_since or self.held.get((attempt.server, attempt.at), 0.0)

    def add(self, record: Record) -> None:
        """Add a record to the list of its kind."""
        match record:
            case ClientRequest():
                self.tries.append(record)
            case Attempt():
                self.attempts.append(record)
            case EndpointStateSent():
                self.told.append(record)
            case EndpointStateAvailable():
                self.had.append(record)
            case DiscoveryCut():
                self.deaf.append(record)
            case OverrideAccepted():
                self.handed.append(record)
            case WarmUpCrash():
                self.fallen.append(record)
            case ProtocolViolation():
                self.odd.append(record)
            case ExtraAnswer():
                self.extras.append(record)
            case Lag():
                self.lags.append(record)
            case Flushed():
                self.flushed.append(record)
            case DiscoveryCall():
                self.calls.append(record)
            case ConnectionOpened():
                self.dials.append(record)


@dataclass(frozen=True, slots=True)
class ClassRule:
    """What a request class allows: its effect (safe, keyed or unsafe) and its dedup window."""

    effect: str
    window: float = 0.0
    """Seconds for which the origin drops repeats of a keyed request."""


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation of a rule: when, by which requests, and a text for reports."""

    rule: str
    at: float
    requests: tuple[str, ...]
    text: str


def find_violations(history: History, classes: Mapping[int, ClassRule], grace: float) -> list[Violation]:
    """Return all violations, and the requests that count as STARVED, in order of time.

    Args:
        history: The records of the run.
        classes: What the class of each request allows, by the request's number.
        grace: The drain grace in seconds.
    """
    attempts = defaultdict[str, list[Attempt]](list)
    for attempt in history.attempts:
        attempts[attempt.request].append(attempt)
    for group in attempts.values():
        group.sort(key=lambda attempt: attempt.at)
    lives = defaultdict[str, list[ProcessLifetime]](list)
    for life in history.lives:
        lives[life.router].append(life)
    stops = _by_router(history.stops)
    violations = [
        *_lost_requests(history, attempts, lives, stops),
        *_crashes(history.lives, stops),
        *_repeated_effects(history, attempts, classes, lives),
        *_late_drains(history, lives, stops, grace),
        *_sent_in_maintenance(history, lives, grace),
        *(
            Violation(
                "felled",
                fall.at,
                (),
                f"{fall.server} was sent {fall.sent:.2f} of {fall.limit:.2f} core-seconds",
            )
            for fall in history.fallen
        ),
    ]
    return sorted(violations, key=lambda one: one.at)


def counts(violations: Iterable[Violation]) -> dict[str, int]:
    """Return the number of violations of each rule."""
    found = dict.fromkeys(RULES, 0)
    for one in violations:
        found[one.rule] += 1
    return found


# Rule 1: lost


def _killed_during(lives: list[ProcessLifetime], start: float, end: float) -> bool:
    """Whether the router was killed while a request was open; the client has to retry such a request."""
    return any(
        life.wanted == "KILL"
        and life.told_to_end is not None
        and start - SLACK_S <= life.told_to_end <= end + SLACK_S
        for life in lives
    )


Fields = TypeVarTuple("Fields")
Intervals = Mapping[str, Sequence[tuple[float, float]]]
"""Intervals (from, to) in order of time, by router."""


def _by_router(intervals: Iterable[tuple[str, *Fields]]) -> Mapping[str, list[tuple[*Fields]]]:
    found = defaultdict[str, list[tuple[*Fields]]](list)
    for interval in sorted(intervals):
        found[interval[0]].append(interval[1:])
    return found


def _overlaps(intervals: Sequence[tuple[float, float]], begun: float, until: float) -> bool:
    """Whether an interval overlaps the time from `begun` to `until`, within SLACK_S."""
    return any(first <= until + SLACK_S and begun - SLACK_S <= last for first, last in intervals)


def _running_from(stops: Sequence[tuple[float, float]], at: float) -> float:
    """When a router's process could first read what arrived at `at`: when it continued if it was stopped."""
    for begun, until in stops:
        if begun - SLACK_S <= at < until:
            return until
    return at


def _lost_requests(
    history: History,
    attempts: Mapping[str, list[Attempt]],
    lives: Mapping[str, list[ProcessLifetime]],
    stops: Intervals,
) -> Iterable[Violation]:
    for extra in history.extras:
        yield Violation(
            "lost", extra.at, (extra.request,), f"one more answer came after its final one ({extra.router})"
        )
    attempts_by_serial = {(attempt.server, attempt.serial): attempt for attempt in history.attempts}
    known_requests = {one.request for one in history.tries}
    gone = _by_router(history.gone)
    starved = _by_router(history.starved)
    for one in history.tries:
        sent_on = attempts.get(one.request, [])

        def lost(text: str, one: ClientRequest = one) -> Violation:
            return Violation("lost", one.ended, (one.request,), f"{text} ({one.router})")

        excused = (
            one.request in history.severed
            or _killed_during(lives.get(one.router, []), one.sent, one.ended)
            or _overlaps(gone.get(one.router, ()), one.sent, one.ended)
        )
        # A process that continues before the request's deadline has to answer the request.
        due = one.sent + one.wait
        asleep = _overlaps(stops.get(one.router, ()), due, due)
        if one.crossed and not excused and any(attempt.at < one.crossed for attempt in sent_on):
            yield lost("the connection was closed on a request that had been read")
        if one.answer == "none" and not excused and not asleep:
            waits = starved.get(one.router, ())
            waited = sum(took for since, until, took in waits if since <= due + SLACK_S and one.sent <= until)
            text = f"no answer within {one.wait * 1000:.0f} ms"
            # A router that was stopped with the request unread had only the rest of the request's time.
            had = due + SLACK_S - _running_from(stops.get(one.router, ()), one.sent)
            if waited > min(SLACK_S, had * STARVED_FRACTION):
                text += f", of which its process waited {waited * 1000:.0f} ms for a core"
                yield replace(lost(text), rule=STARVED)
            else:
                yield lost(text)
        elif one.answer == "cut" and not excused and sent_on:
            # A request of which nothing was forwarded has failed and is not lost (DAYS).
            yield lost("the connection ended with no whole answer")
        elif one.answer == "served":
            producer = attempts_by_serial.get((one.server, one.serial))
            if one.fault:
                yield lost(f"served with a value that was not made for it: {one.fault}")
            elif producer is None or producer.request != one.request:
                yield lost("served with a value that no server made for it")
            elif producer.result not in GOOD or producer.fault:
                yield lost(
                    f"served with what {producer.server} did not answer ({producer.result} {producer.fault})"
                )
        if one.answer in ("served", "refused", "failed") and not one.crossed:
            for attempt in sent_on:
                late = history.left_at(attempt) - one.ended
                if late > SLACK_S:
                    text = f"sent to {attempt.server} {late:.3f} s after its answer"
                    yield Violation("lost", attempt.at, (one.request,), text)
    for request, group in attempts.items():
        if request not in known_requests:
            text = f"{group[0].server} was sent a request that no client asked"
            yield Violation("lost", group[0].at, (request,), text)


def _crashes(lives: Iterable[ProcessLifetime], stops: Intervals) -> Iterable[Violation]:
    for life in lives:
        if life.exited is None or life.wanted == "KILL":
            continue
        signalled_at = life.told_to_end
        if signalled_at is not None and _overlaps(stops.get(life.router, ()), signalled_at, life.exited):
            continue  # a stopped process cannot exit in time
        if life.wanted != "TERM":
            yield Violation("lost", life.exited, (), f"{life.router} ended by itself with code {life.code}")
        elif life.code != 0:
            yield Violation("lost", life.exited, (), f"{life.router} ended on SIGTERM with code {life.code}")


# Rule 2: twice


def _repeated_effects(
    history: History,
    attempts: Mapping[str, list[Attempt]],
    classes: Mapping[int, ClassRule],
    lives: Mapping[str, list[ProcessLifetime]],
) -> Iterable[Violation]:
    for one in history.tries:
        rule = classes.get(one.ask, ClassRule("safe"))
        if rule.effect == "safe":
            continue
        if one.crossed and (
            one.request in history.severed or _killed_during(lives.get(one.router, []), one.sent, one.ended)
        ):
            # The client itself sent the request twice, on a connection that no router could have kept open.
            continue
        ran = [attempt for attempt in attempts.get(one.request, []) if attempt.result not in NO_EFFECT]
        if not ran:
            continue
        # Ordered by arrival and not by when they were read: a server that read late could read the second
        # attempt first, with no time between the two.
        first, began = min(ran, key=history.reached_at), ran[0].at
        for attempt in attempts[one.request]:
            late = history.left_at(attempt) - history.reached_at(first)
            if attempt is first or late < 0:
                continue
            if rule.effect == "unsafe":
                text = f"sent again to {attempt.server} after {first.server} may have run it"
                yield Violation("twice", attempt.at, (one.request,), f"{text} ({one.router})")
            elif late > rule.window + SLACK_S:
                text = (
                    f"sent again {late:.3f} s after it may have run, beyond its window of {rule.window:g} s"
                )
                yield Violation("twice", attempt.at, (one.request,), f"{text} ({one.router})")
        # A repeat that was sent within the window counts as dropped if only the network, or a process of the
        # emulator that had no core, delayed it beyond the window.
        held_back = {
            attempt.serial
            for attempt in ran
            if history.left_at(attempt) < attempt.at
            and history.left_at(attempt) + SLACK_S <= began + rule.window < attempt.at + SLACK_S
        }
        effects = sum(attempt.effect and attempt.serial not in held_back for attempt in ran)
        if effects > 1 and all(attempt.at - began <= rule.window + SLACK_S for attempt in ran):
            yield Violation("twice", ran[-1].at, (one.request,), f"its effect happened twice ({one.router})")
        if rule.effect == "unsafe" and one.answer == "refused":
            text = f"refused after {first.server} may have run it"
            yield Violation("twice", one.ended, (one.request,), f"{text} ({one.router})")


# Rule 3: late_drain


def _late_drains(
    history: History, lives: Mapping[str, list[ProcessLifetime]], stops: Intervals, grace: float
) -> Iterable[Violation]:
    """Find attempts sent after the drain grace, from what each router knew of each server and since when.

    A new process of a router has been told nothing yet.
    """
    # For each router and server, one entry for each statement: when it counts as told; the state; since when
    # the state holds, which decides between two statements; and, of a statement that discovery wrote to the
    # router, when the router called for it (None of one that only the view had).
    knowledge = defaultdict[tuple[str, str], list[tuple[float, str, float, float | None]]](list)
    calls = _by_router((call.router, call.at) for call in history.calls)
    views = defaultdict[tuple[str, str], list[float]](list)  # since when a view had each state, in order
    for told in history.told:
        # A stopped process reads what arrived meanwhile once it continues.
        at = _running_from(stops.get(told.router, ()), told.at) if told.state != "up" else told.at
        # Discovery still answers the watch of a process that was killed a moment ago.
        index = bisect_right(calls.get(told.router, ()), (told.at,)) - 1
        asked_at = calls[told.router][index][0] if index >= 0 else told.at
        knowledge[told.router, told.server].append((at, told.state, told.at, asked_at))
    deaf = _by_router((one.router, one.at, one.until) for one in history.deaf)
    for had in history.had:
        # Statements that were written to the router take precedence. What its view had counts only where
        # nothing newer was written, and only from when the connection to discovery was whole.
        at = _running_from(deaf.get(had.router, ()), had.at) + MAX_NOTICE_DELAY_S
        knowledge[had.router, had.server].append((at, had.state, had.at, None))
        views[had.router, had.server].append(had.at)
    for statements in knowledge.values():
        statements.sort(key=lambda entry: entry[0])  # stable: of one time, in the order of the view
    starts = {router: sorted(life.started for life in group) for router, group in lives.items()}
    asked = {one.request: one for one in history.tries}
    for attempt in history.attempts:
        one = asked.get(attempt.request)
        if one is None:
            continue
        statements = knowledge.get((one.router, attempt.server), [])
        begun = starts.get(one.router, [])
        index = bisect_right(begun, attempt.at) - 1
        since = begun[index] if index >= 0 else float("-inf")
        closed_since: float | None = None  # since when the router knows that the server drains or is removed
        newest = float("-inf")  # since when the newest state so far holds
        from_wire = False
        # A process is told at its start what its view is then; earlier states of the view don't count.
        view_times = views.get((one.router, attempt.server), [])
        index = bisect_right(view_times, since) - 1
        oldest = view_times[index] if index >= 0 else float("-inf")
        for at, state, fact_time, called_at in statements:
            if at > attempt.at or at < since or fact_time < newest:
                continue
            if fact_time < oldest if called_at is None else called_at < since:
                continue
            # A view's state that is no newer than the last written statement adds nothing.
            if fact_time == newest and from_wire and called_at is None:
                continue
            newest, from_wire = fact_time, called_at is not None
            if state == "up":
                closed_since = None
            elif closed_since is None:
                closed_since = at
        if closed_since is not None and history.left_at(attempt) > closed_since + grace + SLACK_S:
            since_told = history.left_at(attempt) - closed_since
            text = f"sent to {attempt.server} {since_told:.3f} s after {one.router} was told it goes"
            yield Violation("late_drain", attempt.at, (attempt.request,), text)


def _sent_in_maintenance(
    history: History, lives: Mapping[str, list[ProcessLifetime]], grace: float
) -> Iterable[Violation]:
    """Find attempts sent to servers in maintenance by administrative override.

    The router may forward nothing new from when it acknowledged the override, plus the grace, until the
    override ends, whatever discovery says. A new process of the router knows of no override.
    """
    statements = defaultdict[tuple[str, str], list[OverrideAccepted]](list)
    for statement in sorted(history.handed, key=lambda statement: statement.at):
        statements[statement.router, statement.server].append(statement)
    asked = {one.request: one for one in history.tries}
    for attempt in history.attempts:
        one = asked.get(attempt.request)
        if one is None or (one.router, attempt.server) not in statements:
            continue
        started = max((life.started for life in lives[one.router] if life.started <= attempt.at), default=0.0)
        since: float | None = None
        for statement in statements[one.router, attempt.server]:
            if started <= statement.at <= attempt.at:
                since = (since if since is not None else statement.at) if statement.out else None
        if since is not None and history.left_at(attempt) > since + grace + SLACK_S:
            late = history.left_at(attempt) - since
            text = f"sent to {attempt.server} {late:.3f} s after {one.router} said yes to leaving it out"
            yield Violation("late_drain", attempt.at, (attempt.request,), text)


# The lag of the emulator


@dataclass(frozen=True, slots=True)
class LagVerdict:
    """The emulator's event-loop lag in milliseconds, and why it makes the run void.

    `void` is empty if the run counts.
    """

    p99_ms: float
    worst_ms: float
    worker: str
    void: str = ""
    worst_at: float = 0.0
    """End of the interval with the worst reading, in seconds on the emulator's clock."""


def check_lag(
    lags: Iterable[Lag], p99_ms: float, worst_ms: float, begun: float = float("-inf")
) -> LagVerdict:
    """Judge from its own lag readings whether the emulator was in time.

    The run is void if the 99th percentile or a single reading is over its limit, or if there are no readings.

    Args:
        lags: The readings of all workers.
        p99_ms: Limit of the 99th percentile.
        worst_ms: Limit of every single reading.
        begun: Readings before this time are left out; seconds on the emulator's clock.
    """
    readings = [lag for lag in lags if lag.at >= begun]
    if not readings:
        return LagVerdict(0.0, 0.0, "", "the emulator took no reading of its own lag")
    buckets = [sum(column) for column in zip(*(lag.buckets for lag in readings), strict=True)]
    left, p99 = sum(buckets) * 0.99, LAG_BOUNDS_MS[-1]
    for bound, count in zip(LAG_BOUNDS_MS, buckets, strict=False):
        left -= count
        if left <= 0:
            p99 = bound
            break
    late, why = max(readings, key=lambda lag: lag.worst), ""
    if late.worst * 1000 > worst_ms:
        why = f"{late.worker} was {late.worst * 1000:.0f} ms late once, over {worst_ms:g}"
    elif p99 > p99_ms:
        why = f"the 99th percentile of its lag is {p99:g} ms, over {p99_ms:g}"
    return LagVerdict(p99, round(late.worst * 1000, 2), late.worker, why, late.at)
