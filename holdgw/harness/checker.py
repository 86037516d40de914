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
"""A router counts as told of a state this long after its view had the state (PROTOCOL), whether or not
discovery wrote the state to the router."""
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
    """Requests of clients to routers, including client retries."""
    attempts: list[Attempt] = field(default_factory=list)
    """Attempts of routers that reached an endpoint or the origin."""
    told: list[EndpointStateSent] = field(default_factory=list)
    """Endpoint states that discovery wrote to routers."""
    had: list[EndpointStateAvailable] = field(default_factory=list)
    """Endpoint states that routers' views received, written to the routers or not."""
    handed: list[OverrideAccepted] = field(default_factory=list)
    """Administrative overrides that routers accepted."""
    fallen: list[WarmUpCrash] = field(default_factory=list)
    """Crashes of endpoints that were overloaded while they were warming up."""
    odd: list[ProtocolViolation] = field(default_factory=list)
    """Input of servers that no router may send."""
    extras: list[ExtraAnswer] = field(default_factory=list)
    """Answers that came after the final answer of their request."""
    lags: list[Lag] = field(default_factory=list)
    """Event-loop lag of the emulator's workers."""
    flushed: list[Flushed] = field(default_factory=list)
    calls: list[DiscoveryCall] = field(default_factory=list)
    """Calls of routers to discovery."""
    dials: list[ConnectionOpened] = field(default_factory=list)
    """Connections that routers opened to endpoints."""
    lives: list[ProcessLifetime] = field(default_factory=list)
    """All processes of all routers."""
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
    """When a router wrote bytes that the network delayed, by server and the time at which it read them."""

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
    return sorted(violations, key=lambda violation: violation.at)


def counts(violations: Iterable[Violation]) -> dict[str, int]:
    """Return the number of violations of each rule."""
    violation_counts = dict.fromkeys(RULES, 0)
    for violation in violations:
        violation_counts[violation.rule] += 1
    return violation_counts


# The rule "lost": an accepted request gets exactly one final answer


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
    by_router = defaultdict[str, list[tuple[*Fields]]](list)
    for interval in sorted(intervals):
        by_router[interval[0]].append(interval[1:])
    return by_router


def _overlaps(intervals: Sequence[tuple[float, float]], since: float, until: float) -> bool:
    """Whether an interval overlaps the time from `since` to `until`, within SLACK_S."""
    return any(start <= until + SLACK_S and since - SLACK_S <= end for start, end in intervals)


def _running_from(stops: Sequence[tuple[float, float]], at: float) -> float:
    """When a router's process could first read what arrived at `at`: when it continued if it was stopped."""
    for since, until in stops:
        if since - SLACK_S <= at < until:
            return until
    return at


def _lost_requests(
    history: History,
    attempts: Mapping[str, list[Attempt]],
    lives: Mapping[str, list[ProcessLifetime]],
    stops: Intervals,
) -> Iterable[Violation]:
    for extra_answer in history.extras:
        yield Violation(
            "lost",
            extra_answer.at,
            (extra_answer.request,),
            f"one more answer came after its final one ({extra_answer.router})",
        )
    attempts_by_serial = {(attempt.server, attempt.serial): attempt for attempt in history.attempts}
    known_request_ids = {request.request for request in history.tries}
    machine_losses = _by_router(history.gone)
    core_waits = _by_router(history.starved)
    for request in history.tries:
        forwarded = attempts.get(request.request, [])

        def lost(text: str, request: ClientRequest = request) -> Violation:
            return Violation("lost", request.ended, (request.request,), f"{text} ({request.router})")

        excused = (
            request.request in history.severed
            or _killed_during(lives.get(request.router, []), request.sent, request.ended)
            or _overlaps(machine_losses.get(request.router, ()), request.sent, request.ended)
        )
        # A process that continues before the request's deadline has to answer the request.
        due = request.sent + request.wait
        asleep = _overlaps(stops.get(request.router, ()), due, due)
        if request.crossed and not excused and any(attempt.at < request.crossed for attempt in forwarded):
            yield lost("the connection was closed on a request that had been read")
        if request.answer == "none" and not excused and not asleep:
            waits = core_waits.get(request.router, ())
            waited = sum(
                seconds for since, until, seconds in waits if since <= due + SLACK_S and request.sent <= until
            )
            text = f"no answer within {request.wait * 1000:.0f} ms"
            # A router that was stopped with the request unread had only the rest of the request's time.
            available_s = due + SLACK_S - _running_from(stops.get(request.router, ()), request.sent)
            if waited > min(SLACK_S, available_s * STARVED_FRACTION):
                text += f", of which its process waited {waited * 1000:.0f} ms for a core"
                yield replace(lost(text), rule=STARVED)
            else:
                yield lost(text)
        elif request.answer == "cut" and not excused and forwarded:
            # A request of which nothing was forwarded has failed and is not lost (DAYS).
            yield lost("the connection ended with no whole answer")
        elif request.answer == "served":
            producer = attempts_by_serial.get((request.server, request.serial))
            if request.fault:
                yield lost(f"served with a value that was not made for it: {request.fault}")
            elif producer is None or producer.request != request.request:
                yield lost("served with a value that no server made for it")
            elif producer.result not in GOOD or producer.fault:
                yield lost(
                    f"served with what {producer.server} did not answer ({producer.result} {producer.fault})"
                )
        if request.answer in ("served", "refused", "failed") and not request.crossed:
            for attempt in forwarded:
                late_s = history.left_at(attempt) - request.ended
                if late_s > SLACK_S:
                    text = f"sent to {attempt.server} {late_s:.3f} s after its answer"
                    yield Violation("lost", attempt.at, (request.request,), text)
    for request_id, group in attempts.items():
        if request_id not in known_request_ids:
            text = f"{group[0].server} was sent a request that no client asked"
            yield Violation("lost", group[0].at, (request_id,), text)


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


# The rule "twice": no request takes effect twice


def _repeated_effects(
    history: History,
    attempts: Mapping[str, list[Attempt]],
    classes: Mapping[int, ClassRule],
    lives: Mapping[str, list[ProcessLifetime]],
) -> Iterable[Violation]:
    for request in history.tries:
        rule = classes.get(request.ask, ClassRule("safe"))
        if rule.effect == "safe":
            continue
        if request.crossed and (
            request.request in history.severed
            or _killed_during(lives.get(request.router, []), request.sent, request.ended)
        ):
            # The client itself sent the request twice, on a connection that no router could have kept open.
            continue
        may_have_run = [
            attempt for attempt in attempts.get(request.request, []) if attempt.result not in NO_EFFECT
        ]
        if not may_have_run:
            continue
        # The first attempt is the one that arrived first, not the one that was read first: a server whose
        # process had no core reads an attempt late, possibly after a second attempt that arrived later.
        first_attempt, first_read_at = min(may_have_run, key=history.reached_at), may_have_run[0].at
        for attempt in attempts[request.request]:
            late_s = history.left_at(attempt) - history.reached_at(first_attempt)
            if attempt is first_attempt or late_s < 0:
                continue
            if rule.effect == "unsafe":
                text = f"sent again to {attempt.server} after {first_attempt.server} may have run it"
                yield Violation("twice", attempt.at, (request.request,), f"{text} ({request.router})")
            elif late_s > rule.window + SLACK_S:
                text = (
                    f"sent again {late_s:.3f} s after it may have run, beyond its window of {rule.window:g} s"
                )
                yield Violation("twice", attempt.at, (request.request,), f"{text} ({request.router})")
        # A repeat that was sent within the window counts as dropped if only the network, or a process of the
        # emulator that had no core, delayed it beyond the window.
        held_back = {
            attempt.serial
            for attempt in may_have_run
            if history.left_at(attempt) < attempt.at
            and history.left_at(attempt) + SLACK_S <= first_read_at + rule.window < attempt.at + SLACK_S
        }
        effects = sum(attempt.effect and attempt.serial not in held_back for attempt in may_have_run)
        if effects > 1 and all(
            attempt.at - first_read_at <= rule.window + SLACK_S for attempt in may_have_run
        ):
            yield Violation(
                "twice",
                may_have_run[-1].at,
                (request.request,),
                f"its effect happened twice ({request.router})",
            )
        if rule.effect == "unsafe" and request.answer == "refused":
            text = f"refused after {first_attempt.server} may have run it"
            yield Violation("twice", request.ended, (request.request,), f"{text} ({request.router})")


# The rule "late_drain": nothing new is forwarded to a draining endpoint after the drain grace


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
    times_by_view = defaultdict[tuple[str, str], list[float]](
        list
    )  # since when a view had each state, in order
    for sent in history.told:
        # A stopped process reads what arrived meanwhile once it continues.
        at = _running_from(stops.get(sent.router, ()), sent.at) if sent.state != "up" else sent.at
        # Discovery still answers the watch of a process that was killed a moment ago.
        index = bisect_right(calls.get(sent.router, ()), (sent.at,)) - 1
        asked_at = calls[sent.router][index][0] if index >= 0 else sent.at
        knowledge[sent.router, sent.server].append((at, sent.state, sent.at, asked_at))
    discovery_cuts = _by_router((cut.router, cut.at, cut.until) for cut in history.deaf)
    for available in history.had:
        # Statements that were written to the router take precedence. What its view had counts only where
        # nothing newer was written, and only from when the connection to discovery was whole.
        at = _running_from(discovery_cuts.get(available.router, ()), available.at) + MAX_NOTICE_DELAY_S
        knowledge[available.router, available.server].append((at, available.state, available.at, None))
        times_by_view[available.router, available.server].append(available.at)
    for statements in knowledge.values():
        statements.sort(key=lambda entry: entry[0])  # stable: of one time, in the order of the view
    starts = {router: sorted(life.started for life in group) for router, group in lives.items()}
    request_by_id = {request.request: request for request in history.tries}
    for attempt in history.attempts:
        request = request_by_id.get(attempt.request)
        if request is None:
            continue
        statements = knowledge.get((request.router, attempt.server), [])
        process_starts = starts.get(request.router, [])
        index = bisect_right(process_starts, attempt.at) - 1
        since = process_starts[index] if index >= 0 else float("-inf")
        closed_since: float | None = None  # since when the router knows that the server drains or is removed
        newest = float("-inf")  # since when the newest state so far holds
        from_wire = False
        # A process is told at its start what its view is then; earlier states of the view don't count.
        state_times = times_by_view.get((request.router, attempt.server), [])
        index = bisect_right(state_times, since) - 1
        oldest = state_times[index] if index >= 0 else float("-inf")
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
            text = f"sent to {attempt.server} {since_told:.3f} s after {request.router} was told it goes"
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
    request_by_id = {request.request: request for request in history.tries}
    for attempt in history.attempts:
        request = request_by_id.get(attempt.request)
        if request is None or (request.router, attempt.server) not in statements:
            continue
        started = max(
            (life.started for life in lives[request.router] if life.started <= attempt.at), default=0.0
        )
        since: float | None = None
        for statement in statements[request.router, attempt.server]:
            if started <= statement.at <= attempt.at:
                since = (since if since is not None else statement.at) if statement.out else None
        if since is not None and history.left_at(attempt) > since + grace + SLACK_S:
            late_s = history.left_at(attempt) - since
            text = (
                f"sent to {attempt.server} {late_s:.3f} s after {request.router} said yes to leaving it out"
            )
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
    remaining, p99 = sum(buckets) * 0.99, LAG_BOUNDS_MS[-1]
    for bound, count in zip(LAG_BOUNDS_MS, buckets, strict=False):
        remaining -= count
        if remaining <= 0:
            p99 = bound
            break
    worst_reading, reason = max(readings, key=lambda lag: lag.worst), ""
    if worst_reading.worst * 1000 > worst_ms:
        reason = (
            f"{worst_reading.worker} was {worst_reading.worst * 1000:.0f} ms late once, over {worst_ms:g}"
        )
    elif p99 > p99_ms:
        reason = f"the 99th percentile of its lag is {p99:g} ms, over {p99_ms:g}"
    return LagVerdict(
        p99, round(worst_reading.worst * 1000, 2), worst_reading.worker, reason, worst_reading.at
    )
