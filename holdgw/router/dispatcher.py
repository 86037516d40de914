"""The host of the decision module: open requests, attempts, timers and the clock."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Protocol
from urllib.parse import quote

from holdgw.operation.endpoint_update import EndpointUpdate
from holdgw.operation.interval_counters import IntervalCounters
from holdgw.operation.metrics import Disposition, Metrics
from holdgw.policy import (
    NS_PER_S,
    Action,
    AttemptEnded,
    CacheStatus,
    CheckHealth,
    EndpointsChanged,
    EndpointState,
    Event,
    Fail,
    HandoverState,
    HealthCheckEnded,
    Idempotency,
    Outcome,
    Reject,
    RequestArrived,
    RequestCancelled,
    RoutingPolicy,
    SendAttempt,
    SetTimer,
    Settings,
    StreamStarted,
    Subscribe,
    TimerFired,
    UpdateKind,
    disabled_features,
)
from holdgw.router.cache_connection import CacheConnection
from holdgw.router.connection_pool import ConnectionPool
from holdgw.router.event_loop_lag import LagMonitor
from holdgw.router.exchange import Exchange
from holdgw.router.origin_connection import OriginConnection
from holdgw.router.reply import Reply
from holdgw.router.timer_wheel import Timer, TimerWheel
from holdgw.wire import http, resp
from holdgw.wire.address import Address
from holdgw.wire.resp import Command
from holdgw.wire.unread import NS_PER_MS

SWEEP_INTERVAL_S = 0.02
LOGGED_LAG_NS = NS_PER_S  # one that the log tells of
STREAM_STALL_NS = 8 * NS_PER_S  # in which a server must give something of a long value
DISCONNECT_CHECK_AFTER_NS = (
    50 * NS_PER_MS
)  # from when a request came: then it is looked up if its client is still there
OVERDUE_NS = 10 * NS_PER_MS  # past its deadline, after which a request is answered whatever the module does
FAILED = b"-ERR failed\r\n"
MAX_RECENT_IDS = 2048  # ids of requests that are over; a repeat of one is no request
MAX_TIMEOUT_FACTOR = 2  # times its class's deadline: no client waits longer
KEY_SAFE = "/:@!$&'()*+,;=-._~"  # what a path may hold as it is

log = logging.getLogger("holdgw")


class Shared(Protocol):
    """What the workers of one router have in common."""

    def claim(self, request_id: bytes) -> bool:
        """Have the id for a request of this worker; returns whether no worker had it lately."""

    def catch_up(self) -> None:
        """Take the news of the list that is on its way to this worker."""


class OpenRequest:
    """A request that is owed an answer, or has attempts out still."""

    __slots__ = (
        "answered",
        "arrived_ns",
        "attempts",
        "attempts_in_flight",
        "class_name",
        "command",
        "deadline_ns",
        "id",
        "last_attempt",
        "reply",
        "stream",
    )

    def __init__(self, request_id: str, command: Command, reply: Reply, deadline: int, arrived: int) -> None:
        self.id, self.command, self.reply, self.deadline_ns = request_id, command, reply, deadline
        self.arrived_ns = arrived
        self.class_name = command.info.fields["c"]
        self.attempts = self.attempts_in_flight = 0
        self.answered = False
        self.last_attempt: Attempt | None = None  # the attempt made last
        self.stream: Attempt | None = None  # passes a long value on; the answer is begun

    def remaining_ms(self, now: int) -> int:
        """Whole milliseconds until the deadline, rounded down; 0 or less: too little for an attempt."""
        return (self.deadline_ns - now) // NS_PER_MS


class Attempt(Exchange):
    """One attempt at a request."""

    def __init__(
        self, host: Dispatcher, request: OpenRequest, server: str, to_origin: bool, why: str
    ) -> None:
        self._host, self._request, self._server, self._to_origin = host, request, server, to_origin
        self._why = why
        self._number = request.attempts
        self._sent_at = host.now()
        self._written_at = 0  # 0: not yet
        self._timeout_ms = 0  # what the server is told, as of when the attempt was last found to be wanted
        self._began_at = self._moved_at = 0  # a long value, and when the last of it came
        self._timer: Timer | None = None
        self._write_timer: Timer | None = None
        self._write_by = 0  # when it must not be written any more; 0: no bound but the request's time
        request.last_attempt = self
        request.attempts += 1
        request.attempts_in_flight += 1

    def wait_until(self, due: int) -> None:
        """Give up at the time `due`."""
        self._timer = self._host.timer_wheel.call_at(due, self._timed_out)

    def write_by(self, due: int) -> None:
        """Not be written any more at the time `due`."""
        self._write_by = due
        self._write_timer = self._host.timer_wheel.call_at(due, self._too_late_to_write)

    def _too_late_to_write(self) -> None:
        if not self._written_at:
            self.abandon(Outcome.CONNECT_FAILED)

    def _timed_out(self) -> None:
        self.abandon(Outcome.TIMEOUT)

    def cancellation_reason(self) -> Outcome | None:
        """Why it must not be written any more, though it was decided on; None: it may be."""
        # Danger: it may have waited for a connection, or this process have stood still, and what was so when
        # it was decided on is so no more; the timers and the client's end that would tell may be yet to come.
        request, now = self._request, self._host.now()
        if request.answered:
            return Outcome.CANCELLED
        self._timeout_ms = request.remaining_ms(now)
        if self._timeout_ms < 1:
            # Danger: what is left must be told as a whole number of milliseconds. 0 is no time to tell, and 1
            # more than is left; no server answers in less.
            return Outcome.TIMEOUT
        if self._write_by and now >= self._write_by:
            return Outcome.CONNECT_FAILED
        if now - request.arrived_ns > DISCONNECT_CHECK_AFTER_NS and request.reply.client_disconnected():
            return Outcome.CANCELLED
        return None

    def cancel(self) -> None:
        """Not to be written any more, unless it is already."""
        if not self._written_at:
            self.abandon(Outcome.CANCELLED)

    def request_bytes(self, address: Address) -> bytes:
        """The client's command again, with what is left of its time, for cache servers and origin alike."""
        command = self._request.command
        self._written_at = self._host.now()
        if not self._to_origin:
            return command.encode_with_timeout(self._timeout_ms)
        method = "GET" if command.value is None else "PUT"
        info = command.info.with_timeout(self._timeout_ms)
        headers = b"Request-Id: %b\r\nRequest-Info: %b\r\n" % (command.id, info)
        target = "/" + quote(command.key, safe=KEY_SAFE)
        return http.request(method, target, f"{address[0]}:{address[1]}", headers, command.value)

    # A long value

    def value_started(self, length: int) -> None:
        """From here on the answer is the client's, as it comes: no deadline of ours ends it."""
        request = self._request
        if request.answered:
            self.abandon(Outcome.CANCELLED)  # nobody wants megabytes that are on their way
            return
        self._stop_timers()
        self._began_at = self._moved_at = self._host.now()
        self._timer = self._host.timer_wheel.call_at(self._moved_at + STREAM_STALL_NS, self._look_if_stalled)
        request.answered, request.stream = True, self
        self._host.dispatch(StreamStarted(request.id, self._number))
        request.reply.start_stream(resp.bulk_head(length), self)

    def value_part(self, data: bytes) -> None:
        """Pass a part on."""
        self._moved_at = self._host.now()
        if self._request.stream is self:
            self._request.reply.write_part(data)

    def value_complete(self) -> None:
        """All of it has come."""
        # Danger: what stands behind the value would never be read, and the attempt never end, where the
        # client's slowness had paused the server's side for the last time.
        self.resume()
        self._end_stream(whole=True)

    def _end_stream(self, whole: bool) -> None:
        request = self._request
        if request.stream is not self:
            return
        request.stream = None
        self._host.metrics.count_answer(
            request.class_name, Disposition.SUCCEEDED if whole else Disposition.ABORTED
        )
        if whole:
            request.reply.end_stream(b"\r\n")
        else:
            request.reply.abort_stream(FAILED)

    def _look_if_stalled(self) -> None:
        if self.connection is not None and self.connection.reading_paused:
            self._moved_at = self._host.now()  # it is the client who takes nothing, and its side sees to that
        due = self._moved_at + STREAM_STALL_NS
        if self._host.now() >= due:
            self.abandon(Outcome.TIMEOUT)
        else:
            self._timer = self._host.timer_wheel.call_at(due, self._look_if_stalled)

    def pause(self) -> None:
        """The client takes no more for now."""
        if self.connection is not None:
            self.connection.pause_reading()

    def resume(self) -> None:
        """The client takes again."""
        if self.connection is not None and self.connection.reading_paused:
            self._moved_at = self._host.now()
            self.connection.resume_reading()

    def _stop_timers(self) -> None:
        for timer in (self._timer, self._write_timer):
            if timer is not None:
                timer.cancel()
        self._timer = self._write_timer = None

    def on_written(self) -> None:
        """Count what has gone out."""
        self._host.metrics.forwards += 1

    def on_end(
        self,
        outcome: Outcome,
        value: bytes | None = None,
        note: CacheStatus | None = None,
        report: bytes | None = None,
    ) -> None:
        """The first OK is the client's answer; the module is told of every end."""
        self._stop_timers()
        self._end_stream(whole=False)
        request, reply = self._request, self._request.reply
        request.attempts_in_flight -= 1
        if outcome is Outcome.OK and not request.answered and value is not None:
            request.answered = True
            if self._host.interval_counters is not None:
                self._count_served(self._host.interval_counters)
            self._host.metrics.count_answer(request.class_name, Disposition.SUCCEEDED)
            reply.send(value)
        if self._host.interval_counters is not None:
            self._count(self._host.interval_counters, outcome)
        now = self._host.now()
        event = AttemptEnded(
            request.id,
            self._number,
            self._server,
            outcome,
            request.answered,
            latency_ns=(self._began_at or now) - self._sent_at,
            cache_status=note,
            load_report=self._host.parse_load_report(report) if self._host.uses_load_reports else None,
            queued_ns=(self._written_at or now) - self._sent_at,
            first_on_connection=self.first_on_connection,
            response_started=self.response_started,
            idle_connections_closed=outcome is Outcome.CONNECT_FAILED
            and self._host.idle_connections_closed(self._server),
        )
        self._host.release_if_done(request)
        self._host.dispatch(event)

    def _count(self, tally: IntervalCounters, outcome: Outcome) -> None:
        late = self._written_at > 0 and self._host.now() - self._written_at > self._host.latency_objective_ns(
            self._request.class_name
        )
        key = self._request.command.key.decode(errors="replace") if self._to_origin else None
        tally.count_attempt(self._server, outcome.value, self.first_on_connection, late, key, self._why)

    def _count_served(self, tally: IntervalCounters) -> None:
        took = self._host.now() - self._request.arrived_ns
        path = ("fetched" if self._to_origin else "kept") + (
            ", again" if self._number > self._to_origin else ""
        )
        late = took > self._host.latency_objective_ns(self._request.class_name)
        tally.add(f"served {path}{', late' if late else ''}")


class HealthCheckExchange(Exchange):
    """One probe of a server."""

    is_health_check = True

    def __init__(self, host: Dispatcher, server: str, to_origin: bool, timeout: int) -> None:
        self._host, self._server, self._to_origin = host, server, to_origin
        self._sent_at = host.now()
        self._timer = host.timer_wheel.call_at(self._sent_at + timeout, self._timed_out)

    def _timed_out(self) -> None:
        self.abandon(Outcome.TIMEOUT)

    def request_bytes(self, address: Address) -> bytes:
        """Ask for a load report where there are any, else for a sign of life."""
        reports = bool(self._host.settings.load_report_fields)
        if self._to_origin:
            path = "/stats" if reports else "/health/live"
            return http.request("GET", path, f"{address[0]}:{address[1]}")
        return resp.command(b"INFO", b"load") if reports else resp.command(b"PING")

    def on_end(
        self,
        outcome: Outcome,
        value: bytes | None = None,
        note: CacheStatus | None = None,
        report: bytes | None = None,
    ) -> None:
        """Tell the module."""
        self._timer.cancel()
        latency = self._host.now() - self._sent_at
        load = self._host.parse_load_report(report or value)
        self._host.dispatch(HealthCheckEnded(self._server, outcome, latency, load))


class Dispatcher:
    """Feeds the module events one at a time and carries out its actions."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: Settings,
        seed: int,
        pool: ConnectionPool,
        max_open: int,
        now: Callable[[], int] = time.monotonic_ns,
    ) -> None:
        self.loop, self.settings, self.now = loop, settings, now
        self.ready = False
        self.subscribe: Callable[[], None] = lambda: None
        """Begins a watch where discovery is asked; whoever owns the watch sets it."""
        self.shared: Shared | None = None
        """What the workers of one router have in common; None: this process is the router."""
        off = disabled_features(settings)
        self.metrics = Metrics((cls.name for cls in settings.classes), off)
        self.interval_counters: IntervalCounters | None = None
        """Counts what each second brought, where that is asked for."""
        self._policy = RoutingPolicy(settings, seed)
        self.uses_load_reports = self._policy.uses_load_reports
        self._pool, self._max_open = pool, max_open
        self._classes = {cls.name: cls for cls in settings.classes}
        self._recent: dict[str, None] = {}  # the oldest first
        self._probe_timeout = min(cls.latency_objective_ns for cls in settings.classes)
        self._requests: dict[str, OpenRequest] = {}
        self._origins: set[str] = set()
        self._events: deque[Event] = deque()
        self._handling = False
        self.timer_wheel = TimerWheel(loop, now)
        self._lag_monitor = LagMonitor(int(SWEEP_INTERVAL_S * NS_PER_S), now())
        self._sweep_soon: asyncio.Handle | None = None
        self._sweep_timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        if off:
            log.warning("settings: off are %s", "; ".join(f"{part} ({why})" for part, why in off.items()))

    def close(self) -> None:
        """Stop the sweep, and what the module still waits for."""
        self._sweep_timer.cancel()
        if self._sweep_soon is not None:
            self._sweep_soon.cancel()
        self.timer_wheel.close()

    def tables(self) -> dict[str, int]:
        """How much each table holds: requests, those past their deadline, and the module's own."""
        now = self.now()
        late = [request for request in self._requests.values() if now > request.deadline_ns + OVERDUE_NS]
        return {
            "requests": len(self._requests),
            "requests_unanswered_late": sum(not request.answered for request in late),
            "requests_out_late": sum(request.attempts_in_flight > 0 for request in late),
            "recent": len(self._recent),
            "time_outs": len(self.timer_wheel),
            "events": len(self._events),
            "module_requests": len(self._policy._requests),
            "module_flights": len(self._policy._flights),
            "module_held": len(self._policy._held),
        }

    def _sweep(self) -> None:
        """Answer what is past its deadline; there should be none."""
        # Danger: a fault in the decisions, or a timer that was lost, would leave a client without its answer,
        # and the request in the tables. Should also catch waiters of a fetch that never ends. It could do
        # harm only if the module still meant to answer, and by now it is late for that.
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        stood = self._lag_monitor.beat(self.now())
        if stood > LOGGED_LAG_NS:
            log.warning("stood still for %.1f s", stood / NS_PER_S)
        # Danger: after a stall of the loop this runs before the timers that were due meanwhile, and would
        # fail requests that the module is about to refuse. Those timers run before what is called soon.
        self._sweep_soon = self.loop.call_soon(self._answer_overdue)

    def _answer_overdue(self) -> None:
        due = self.now() - OVERDUE_NS
        for request in [r for r in self._requests.values() if r.deadline_ns < due and not r.answered]:
            log.warning("a request was past its deadline with no answer")
            self._answer(request.id, FAILED, Disposition.ABORTED)
            self.dispatch(RequestCancelled(request.id))

    def unread_since(self) -> int:
        """Since when what this process has not read may lie there, nanoseconds of its monotonic clock."""
        now = self.now()
        return now - self._lag_monitor.possible_lag_ns(now)

    def _timer_fired(self, token: str) -> None:
        self.dispatch(TimerFired(token))

    def parse_load_report(self, report: bytes | None) -> tuple[float, ...] | None:
        """A load report in the order of the settings."""
        return resp.parse_load(report, self.settings.load_report_fields) if report else None

    # Clients

    def request_arrived(self, command: Command, reply: Reply) -> None:
        """Take a request: from here on it is owed one final answer."""
        request_id = command.id.decode("ascii")
        info, now = command.info, self.now()
        # Danger: a client counts its time from when it asked. A connection may have waited, unread, for a
        # process that can serve; to give it the whole time from here on answers too late.
        late = reply.possible_wait_ns or self._lag_monitor.possible_lag_ns(now)
        if not late and self._lag_monitor.lagged_recently(now):
            # Danger: seconds of clients wait for a process that goes on, on connections that it has yet to
            # take; twenty such on few cores are at it for longer than a beat.
            late = reply.unread_ns()
        deadline = now + info.timeout_ms * NS_PER_MS - late
        fault = self._fault(command)
        if fault:
            reply.send_error_and_close(fault)
        elif (
            request_id in self._requests
            or request_id in self._recent
            or (self.shared is not None and not self.shared.claim(command.id))
        ):
            # Danger: two requests under one id would share attempts, and one would have the other's answer.
            reply.send_error_and_close("duplicate id")
        elif len(self._requests) >= self._max_open or deadline <= now:
            self.reject(command, reply)
        else:
            request = OpenRequest(request_id, command, reply, deadline, now - late)
            reply.request = request
            self._requests[request_id] = request
            if self.interval_counters is not None:
                self.interval_counters.count_client_request(
                    info.fields.get("r") == "1",
                    deadline - now < self.latency_objective_ns(request.class_name),
                )
            self.dispatch(
                RequestArrived(
                    request_id=request_id,
                    request_class=info.fields["c"],
                    deadline_ns=deadline,
                    tenant=info.fields.get("t"),
                    key=command.key.decode(),
                    is_write=command.value is not None,
                    is_retry=info.fields.get("r") == "1",
                )
            )

    def reject(self, command: Command, reply: Reply) -> None:
        """Turn a request away for which there is no room."""
        self.metrics.count_answer(command.info.fields["c"], Disposition.DECLINED)
        reply.send(b"-BUSY\r\n")

    def idle_connections_closed(self, server_id: str) -> bool:
        """Whether the server has closed connections that rested, and none has come up since."""
        return self._pool.idle_connections_closed(server_id)

    def latency_objective_ns(self, cls: str) -> int:
        """The time in nanoseconds after which an answer of the class is late."""
        return self._classes[cls].latency_objective_ns

    def count_running_totals(self, tally: IntervalCounters) -> dict[str, float]:
        """Count what has its own running totals; returns what is so now."""
        for why, count in self._policy.rejections_by_reason.items():
            tally.add_growth(f"given up: {why}", count)
        for (name, disposition), count in self.metrics.results.items():
            tally.add_growth(f"{name} {disposition.value}", count)
        for word, count in self._pool.counters.by_name().items():
            tally.add_growth(word, count)
        return {**self._pool.tables(), **self._policy.metrics(self.now())}

    @property
    def outstanding(self) -> int:
        """Requests taken that have no final answer yet."""
        return sum(not r.answered or r.stream is not None for r in self._requests.values())

    def origin_demand(self) -> dict[str, float]:
        """Each tenant's calls for the origin a second, admitted or not."""
        return self._policy.origin_demand(self.now())

    def ejected(self) -> list[str]:
        """The cache servers that the module leaves out by choice."""
        return self._policy.ejected()

    def take_observations(self) -> tuple[dict[str, tuple[float, int]], dict[int, int]]:
        """What the module observed since the last call, for other routers."""
        return self._policy.take_observations()

    def rebalancing_metrics(self) -> dict[str, float]:
        """How many servers give slots up and take some, and the least part that one keeps."""
        return self._policy.rebalancing_metrics()

    def handover_state(self) -> HandoverState:
        """What the module has learnt, for another process of this router."""
        return self._policy.handover_state(self.now())

    def restore(self, learnt: HandoverState) -> None:
        """Go on from what another process has learnt."""
        self._policy.restore(learnt, self.now())

    def _fault(self, command: Command) -> str:
        """What makes a command unfit for any server, by the settings; empty where nothing does."""
        cls = self._classes.get(command.info.fields["c"])
        if cls is None:
            return "unknown class"
        if command.info.timeout_ms * NS_PER_MS > MAX_TIMEOUT_FACTOR * cls.deadline_ns:
            return "d is longer than the class allows"
        if cls.idempotency is Idempotency.IDEMPOTENCY_KEY and "k" not in command.info.fields:
            return "k must give the idempotency key"
        return ""

    def client_disconnected(self, reply: Reply) -> None:
        """The client that waits for this reply has left."""
        request = reply.request
        if not isinstance(request, OpenRequest):
            return
        request.answered = True
        self.release_if_done(request)
        self.dispatch(RequestCancelled(request.id))
        # Danger: an attempt that waits for a connection would begin when nobody wants it any more, at a
        # server that has others to serve.
        if request.last_attempt is not None:
            request.last_attempt.cancel()
        if request.stream is not None:
            stream, request.stream = request.stream, None
            stream.abandon(Outcome.CANCELLED)  # there is nobody to take the rest

    def release_if_done(self, request: OpenRequest) -> None:
        """Forget a request that is answered and has nothing out."""
        if request.answered and not request.attempts_in_flight and request.id in self._requests:
            del self._requests[request.id]
            self._recent[request.id] = None
            if len(self._recent) > MAX_RECENT_IDS:
                del self._recent[next(iter(self._recent))]

    def _answer(self, request_id: str, data: bytes, disposition: Disposition) -> None:
        request = self._requests.get(request_id)
        if request is not None and not request.answered:
            request.answered = True
            self.metrics.count_answer(request.class_name, disposition)
            request.reply.send(data)
            self.release_if_done(request)

    # The list of servers

    def apply_endpoint_update(self, listing: EndpointUpdate) -> None:
        """Take news of the list: the module hears of it before anything that follows from it."""
        self._events.append(listing.change)
        handling, self._handling = self._handling, True
        try:
            self._list_servers(listing)
        finally:
            self._handling = handling
        self._handle_events()

    def _list_servers(self, listing: EndpointUpdate) -> None:
        whole = listing.change.kind is not UpdateKind.DELTA
        # In the list's order: how exchanges end must not hang on the hashes of names.
        gone = dict.fromkeys(self._pool.endpoints()) if whole else {}
        for server in listing.change.endpoints:
            if server.state is EndpointState.READY:
                gone.pop(server.id, None)
                is_origin = server.kind == self.settings.origin_kind
                (self._origins.add if is_origin else self._origins.discard)(server.id)
                connect = OriginConnection if is_origin else CacheConnection
                self._pool.add_endpoint(server.id, listing.addresses[server.id], connect)
            else:
                gone[server.id] = None
        for server_id in gone:
            # Danger: an attempt that waits for a connection would reach a draining server long after.
            self._pool.remove_endpoint(server_id)

    def discovery_failed(self) -> None:
        """A call failed where the module decides when to call again."""
        self.dispatch(EndpointsChanged(UpdateKind.FAILED))

    # Events and actions

    def dispatch(self, event: Event) -> None:
        """Give the module an event; one made while actions are carried out waits for its turn."""
        # Danger: a worker that was held up may find clients' commands and the list's news at once, and the
        # commands first: it would send to a server long after it was told that this one drains.
        if self.shared is not None and not self._handling:
            self.shared.catch_up()
        self._events.append(event)
        self._handle_events()

    def _handle_events(self) -> None:
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                event = self._events.popleft()
                try:
                    for action in self._policy.handle(event, self.now()):
                        self._carry_out(action)
                except Exception:
                    log.exception("handling %s failed", type(event).__name__)
                    self._give_what_is_owed(event)
        finally:
            self._handling = False

    def _give_what_is_owed(self, event: Event) -> None:
        """A fault in the decisions must not leave a client without its answer."""
        if isinstance(event, RequestArrived | AttemptEnded):
            request = self._requests.get(event.request_id)
            if request is not None and not request.attempts_in_flight:
                self._answer(event.request_id, FAILED, Disposition.ABORTED)

    def _carry_out(self, action: Action) -> None:
        match action:
            case SendAttempt():
                self._send(action)
            case SetTimer():
                self.timer_wheel.call_at(
                    self.now() + action.delay_ns, partial(self._timer_fired, action.token)
                )
            case Reject():
                wait = b" %d" % -(-action.retry_after_ns // NS_PER_MS) if action.retry_after_ns > 0 else b""
                self._answer(action.request_id, b"-BUSY%b\r\n" % wait, Disposition.DECLINED)
            case Fail():
                self._answer(action.request_id, FAILED, Disposition.ABORTED)
            case Subscribe():
                self.subscribe()
            case CheckHealth():
                to_origin = action.endpoint_id in self._origins
                self._pool.submit(
                    action.endpoint_id,
                    HealthCheckExchange(self, action.endpoint_id, to_origin, self._probe_timeout),
                )

    def _send(self, action: SendAttempt) -> None:
        request = self._requests.get(action.request_id)
        if request is None:
            log.error("the module sent a request that is over")
            return
        now = self.now()
        attempt = Attempt(
            self, request, action.endpoint_id, action.endpoint_id in self._origins, action.purpose
        )
        if request.answered or request.remaining_ms(now) < 1 or request.attempts > self.settings.max_attempts:
            attempt.end(Outcome.NOT_SENT)
            return
        due = min(now + action.timeout_ns, request.deadline_ns) if action.timeout_ns else request.deadline_ns
        attempt.wait_until(due)
        if action.write_within_ns:
            attempt.write_by(now + action.write_within_ns)
        self._pool.submit(action.endpoint_id, attempt)
