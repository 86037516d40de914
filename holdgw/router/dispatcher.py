"""Passes events to the routing policy, one at a time, and carries out its actions."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Protocol

from holdgw.operation.endpoint_update import EndpointUpdate
from holdgw.operation.interval_counters import IntervalCounters
from holdgw.operation.metrics import Disposition, Metrics
from holdgw.operation.shared_ids import SharedIds
from holdgw.policy import (
    NS_PER_S,
    Action,
    AttemptEnded,
    CheckHealth,
    EndpointsChanged,
    EndpointState,
    Event,
    Fail,
    HandoverState,
    Idempotency,
    Outcome,
    Reject,
    RequestArrived,
    RequestCancelled,
    RequestClass,
    RoutingPolicy,
    SendAttempt,
    SetTimer,
    Settings,
    Subscribe,
    TimerFired,
    UpdateKind,
    disabled_features,
)
from holdgw.router.attempt import Attempt
from holdgw.router.cache_connection import CacheConnection
from holdgw.router.connection_pool import ConnectionPool
from holdgw.router.error_answers import BUSY, FAILED, FAILURE, REJECTION, ErrorAnswer, busy
from holdgw.router.event_loop_lag import LagMonitor
from holdgw.router.exchange_owner import ExchangeOwner
from holdgw.router.health_check import HealthCheckExchange
from holdgw.router.input_account import InputAccount
from holdgw.router.open_request import OpenRequest, OpenRequestTable
from holdgw.router.origin_connection import OriginConnection
from holdgw.router.reply import Reply
from holdgw.router.request_memory import DEFAULT_MAX_REQUEST_BYTES, RequestMemory
from holdgw.router.stall_log import StallLog
from holdgw.router.timer_wheel import TimerWheel
from holdgw.router.turn_budget import MAX_SHARE_NS
from holdgw.router.turn_share import TurnShare
from holdgw.router.value_resumption import abandon_value
from holdgw.wire import resp
from holdgw.wire.resp import Command
from holdgw.wire.unread import NS_PER_MS

SWEEP_INTERVAL_S = 0.02
"""Time between two checks for event-loop lag and overdue requests."""
SWEEP_INTERVAL_NS = int(SWEEP_INTERVAL_S * NS_PER_S)
OVERDUE_NS = 10 * NS_PER_MS
"""Time past its deadline after which the dispatcher answers a request that the routing policy has not."""
DUPLICATE_ID = "duplicate id"
MAX_TIMEOUT_FACTOR = 2
"""The longest timeout that a client may set, as a multiple of its request class's deadline."""

log = logging.getLogger("holdgw")


class SharedState(Protocol):
    """The state that the worker processes of one router share."""

    def claim(self, request_id: bytes) -> bool:
        """Reserve a request id for this worker; returns False if any worker has used it recently."""

    def catch_up(self) -> None:
        """Apply endpoint updates that were sent to this worker and are not applied yet."""


def command_error(command: Command, request_class: RequestClass | None) -> str:
    """Return the error text for a command that the settings don't allow; empty if they allow it."""
    if request_class is None:
        return "unknown class"
    if command.info.timeout_ms * NS_PER_MS > MAX_TIMEOUT_FACTOR * request_class.deadline_ns:
        return "d is longer than the class allows"
    if request_class.idempotency is Idempotency.IDEMPOTENCY_KEY and not command.info.has_idempotency_key:
        return "k must give the idempotency key"
    return ""


def log_disabled_features(reasons: dict[str, str]) -> None:
    """Write which features the settings switch off, with the reason of each, if there are any."""
    if reasons:
        log.warning("settings: off are %s", "; ".join(f"{name} ({why})" for name, why in reasons.items()))


def id_window_ns(settings: Settings) -> int:
    """How long a copy of a request may come: as long as any client may wait for its answer, nanoseconds."""
    return MAX_TIMEOUT_FACTOR * max(request_class.deadline_ns for request_class in settings.classes)


class Dispatcher(ExchangeOwner):
    """Owns the open requests, the routing policy and its timers, and starts exchanges with endpoints."""

    shared_ids: SharedIds | None = None
    """The request ids of this process and of those that it takes over from, or that take over from it."""
    latest_deadline_ns: int | None = None
    """Requests with a later deadline are rejected, as the process ends before it; None: it goes on."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: Settings,
        seed: int,
        pool: ConnectionPool,
        max_open: int,
        now_ns: Callable[[], int] = time.monotonic_ns,
        max_request_bytes: int = DEFAULT_MAX_REQUEST_BYTES,
        cpu_s: Callable[[], float] = time.process_time,
    ) -> None:
        """Create a dispatcher without requests and endpoints.

        `max_open` and `max_request_bytes` bound the number and the memory of requests open at a time;
        `now_ns` is a monotonic clock in nanoseconds, `cpu_s` the seconds of processor time used so far.
        """
        disabled = disabled_features(settings)
        metrics = Metrics((request_class.name for request_class in settings.classes), disabled)
        self.request_memory = RequestMemory(max_request_bytes)
        self.input_account = InputAccount()
        open_requests = OpenRequestTable(max_open, self.request_memory, id_window_ns(settings), now_ns)
        super().__init__(settings, now_ns, TimerWheel(loop, now_ns), metrics, open_requests)
        self.loop = loop
        self.ready = False  # there is no endpoint list: a client's PING is answered with an error
        self.subscribe: Callable[[], None] = lambda: None  # starts a watch; set by the watch's owner
        self.shared_state: SharedState | None = None
        """None if this process is the whole router."""
        self._policy = RoutingPolicy(settings, seed)
        self.uses_load_reports = self._policy.uses_load_reports
        self._pool = pool
        self._classes = {request_class.name: request_class for request_class in settings.classes}
        self._origins: set[str] = set()
        self._cancellations: TurnShare[OpenRequest] = TurnShare(loop, now_ns, self._cancel)
        self._events: deque[Event] = deque()
        self._handling = False
        self._lag_monitor = LagMonitor(SWEEP_INTERVAL_NS, now_ns())
        self._stall_log = StallLog(self.input_account, cpu_s)
        self._overdue_check: asyncio.Handle | None = None
        self._sweep_timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        log_disabled_features(disabled)

    def close(self) -> None:
        """Stop the sweep and all timers."""
        self._sweep_timer.cancel()
        if self._overdue_check is not None:
            self._overdue_check.cancel()
        self._cancellations.close()
        self.timer_wheel.close()

    # Metrics

    def tables(self) -> dict[str, int]:
        """The sizes of the tables of dispatcher and routing policy, and the counts of overdue requests."""
        overdue = self.open_requests.past_deadline(self.now_ns() - OVERDUE_NS)
        return {
            "requests": len(self.open_requests.by_id),
            "request_bytes": self.request_memory.held_bytes,
            "requests_unanswered_late": sum(not request.answered for request in overdue),
            "requests_out_late": sum(request.attempts_in_flight > 0 for request in overdue),
            "recent": len(self.open_requests.recent_ids),
            "timers": len(self.timer_wheel),
            "events": len(self._events),
            **{f"policy_{name}": size for name, size in self._policy.table_sizes()._asdict().items()},
        }

    def count_running_totals(self, counters: IntervalCounters) -> dict[str, float]:
        """Add the growth of the running totals to `counters`; returns the current values of the gauges."""
        for reason, count in self._policy.rejections_by_reason.items():
            counters.add_growth(f"given up: {reason.value}", count)
        for (class_name, disposition), count in self.metrics.results.items():
            counters.add_growth(f"{class_name} {disposition.value}", count)
        for name, count in self._pool.counters.by_name().items():
            counters.add_growth(name, count)
        return {**self._pool.tables(), **self._policy.metrics(self.now_ns())}

    @property
    def outstanding(self) -> int:
        """The number of requests that have no complete answer yet."""
        return self.open_requests.outstanding

    # What the routing policy has observed

    def origin_demand(self) -> dict[str, float]:
        """Each tenant's demand for the origin in calls per second, admitted or not."""
        return self._policy.origin_demand(self.now_ns())

    def ejected(self) -> list[str]:
        """The ids of the ejected cache servers, which get trial requests only."""
        return self._policy.ejected()

    def take_observations(self) -> tuple[dict[str, tuple[float, int]], dict[int, int]]:
        """Return the observations since the last call, for other routers.

        By endpoint id: the reported response time and the time of the report, both in nanoseconds; by slot:
        the number of requests.
        """
        return self._policy.take_observations()

    def rebalancing_metrics(self) -> dict[str, float]:
        """The numbers of donors and receivers of slots, and the smallest slot retention."""
        return self._policy.rebalancing_metrics()

    def handover_state(self) -> HandoverState:
        """The routing policy's state, for another process of this router to restore."""
        return self._policy.handover_state(self.now_ns())

    def restore(self, state: HandoverState) -> None:
        """Restore another process's handover state."""
        self._policy.restore(state, self.now_ns())

    # Requests from client connections (RequestHandler)

    def request_arrived(self, command: Command, reply: Reply) -> bool:
        """Open a request or answer it at once; each request gets exactly one final answer.

        Returns whether the command is valid.
        """
        request_id = command.id.decode("ascii")
        now_ns = self.now_ns()
        unread_ns = self._unread_for_ns(reply, now_ns)
        deadline_ns = now_ns + command.info.timeout_ms * NS_PER_MS - unread_ns
        error_text = command_error(command, self._classes.get(command.info.class_name))
        if not error_text and self._is_duplicate(command):
            # Two requests with one id would share attempts, and one would get the other's answer.
            error_text = DUPLICATE_ID
        if error_text:
            reply.send_error(error_text)
        elif not self._can_answer_by(deadline_ns, now_ns) or not self.open_requests.reserve(command):
            self._send_busy(command, reply)
        else:
            self._open(OpenRequest(request_id, command, reply, deadline_ns, now_ns - unread_ns), now_ns)
        return not error_text

    def _can_answer_by(self, deadline_ns: int, now_ns: int) -> bool:
        """Whether a request may be open until its deadline: it has time left, and the process runs then."""
        return now_ns < deadline_ns and (
            self.latest_deadline_ns is None or deadline_ns <= self.latest_deadline_ns
        )

    def _is_duplicate(self, command: Command) -> bool:
        request_id = command.id.decode("ascii")
        if self.open_requests.knows(request_id):
            return True
        if self.shared_ids is not None and not self.shared_ids.claim(request_id):
            return True
        return self.shared_state is not None and not self.shared_state.claim(command.id)

    def _unread_for_ns(self, reply: Reply, now_ns: int) -> int:
        """How long the command may have waited unread; this time counts towards its deadline."""
        unread_ns = max(reply.possible_wait_ns, self._lag_monitor.possible_lag_ns(now_ns))
        if not unread_ns and self._lag_monitor.lagged_recently(now_ns):
            # After a stall, accepting clients' connections one by one can take longer than a sweep interval:
            # then only the kernel knows when a command arrived.
            return reply.unread_ns()
        return unread_ns

    def _open(self, request: OpenRequest, now_ns: int) -> None:
        info = request.command.info
        request.reply.request = request
        self.open_requests.add(request)
        if self.interval_counters is not None:
            has_tight_deadline = request.deadline_ns - now_ns < self.latency_objective_ns(request.class_name)
            self.interval_counters.count_client_request(info.is_retry, has_tight_deadline)
        self.dispatch(
            RequestArrived(
                request_id=request.id,
                request_class=request.class_name,
                deadline_ns=request.deadline_ns,
                tenant=info.tenant,
                key=request.command.key.decode(),
                is_write=request.command.value is not None,
                is_retry=info.is_retry,
            )
        )

    def reject(self, command: Command, reply: Reply) -> None:
        """Reject a request that can't be served, or answer it with an error if it is invalid."""
        error_text = command_error(command, self._classes.get(command.info.class_name))
        if error_text:
            reply.send_error(error_text)
        elif self.open_requests.knows(command.id.decode("ascii")):
            reply.send_error(DUPLICATE_ID)  # a rejection promises that no attempt was made
        else:
            self._send_busy(command, reply)

    def _send_busy(self, command: Command, reply: Reply) -> None:
        """Reject a request that is past its deadline or over a limit, without a Retry-After."""
        self.metrics.count_answer(command.info.class_name, Disposition.DECLINED)
        reply.send(BUSY)

    def client_disconnected(self, reply: Reply) -> None:
        """Cancel the request of a client that disconnected while it waited for this reply.

        No attempt begins for it from now on. The rest may wait for the next turns of the event loop, as
        clients with hundreds of requests may disconnect at once.
        """
        request = reply.request
        if not isinstance(request, OpenRequest):
            return
        request.answered = True
        self._cancellations.submit((request,))

    def _cancel(self, request: OpenRequest) -> None:
        self.open_requests.release_if_done(request)
        self.dispatch(RequestCancelled(request.id))
        # An attempt that waits for a connection would otherwise be sent later, with no client to answer.
        if request.last_attempt is not None:
            request.last_attempt.cancel()
        if request.stream is not None:
            request.stream.client_disconnected()

    def unread_since(self) -> int:
        """The earliest time at which bytes still unread in this process may have arrived, monotonic ns."""
        now_ns = self.now_ns()
        return now_ns - self._lag_monitor.possible_lag_ns(now_ns)

    def _answer(self, request_id: str, data: bytes, disposition: Disposition) -> None:
        request = self.open_requests.by_id.get(request_id)
        if request is None or request.answered:
            return
        if request.begun_value is not None:
            abandon_value(self, request)
            return
        request.answered = True
        self.metrics.count_answer(request.class_name, disposition)
        request.reply.send(data)
        self.open_requests.release_if_done(request)

    # Overdue requests

    def _sweep(self) -> None:
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        self._stall_log.beat(self._lag_monitor.beat(self.now_ns()))
        # After a stall the sweep runs before the timers that came due meanwhile. A check here would fail
        # requests that the routing policy is about to reject; `call_soon` defers the check until those timers
        # have run.
        self._overdue_check = self.loop.call_soon(self._answer_overdue)

    def _answer_overdue(self) -> None:
        """Answer overdue requests, which a fault in the routing policy or a lost timer left unanswered.

        Those that there is no time for in this turn stay for the timers, or the next sweep.
        """
        now_ns = self.now_ns()
        for request in self.open_requests.past_deadline(now_ns - OVERDUE_NS):
            if request.answered:
                continue
            log.warning("request overdue, answering with an error class=%s", request.class_name)
            self._give_up(request)
            if self.now_ns() - now_ns >= MAX_SHARE_NS:
                return

    def answer_open_requests(self) -> None:
        """Give every unanswered request its final answer now, as the process is about to end."""
        for request in list(self.open_requests.by_id.values()):
            if not request.answered:
                self._give_up(request)
            elif request.stream is not None and not request.reply.stream_started:
                request.stream.give_up()

    def _give_up(self, request: OpenRequest) -> None:
        """Answer a request that the routing policy has not answered, and cancel it there."""
        error = FAILURE if request.attempts else REJECTION
        self._answer(request.id, error.data, error.disposition)
        self.dispatch(RequestCancelled(request.id))

    # Called by exchanges (ExchangeOwner)

    def parse_load_report(self, report: bytes | None) -> tuple[float, ...] | None:
        """A load report's numbers in the order of `load_report_fields`; None if it is missing or invalid."""
        return resp.parse_load(report, self.settings.load_report_fields) if report else None

    def latency_objective_ns(self, class_name: str) -> int:
        """The latency objective of a request class in nanoseconds."""
        return self._classes[class_name].latency_objective_ns

    def answer_without_value(self, class_name: str) -> ErrorAnswer:
        """The answer to a request that ran and whose value can't be kept."""
        is_idempotent = self._classes[class_name].idempotency is Idempotency.IDEMPOTENT
        return REJECTION if is_idempotent else FAILURE

    def total_lag_ns(self, now_ns: int) -> int:
        """For how long this process was held up until the time `now_ns`, nanoseconds."""
        return self._lag_monitor.total_lag_ns(now_ns)

    def may_resume_value(self, request: OpenRequest) -> bool:
        """Whether another attempt could complete the request's value if it breaks off."""
        idempotency = self._classes[request.class_name].idempotency
        return request.is_read and idempotency is not Idempotency.NOT_IDEMPOTENT

    def has_alternative(self, request: OpenRequest) -> bool:
        """Whether another endpoint could complete the request's value right now."""
        return self._policy.has_alternative(request.id, self.now_ns())

    def idle_connections_closed(self, endpoint_id: str) -> bool:
        """Whether the endpoint has closed an idle connection, and none has been opened since."""
        return self._pool.idle_connections_closed(endpoint_id)

    # The endpoint list

    def apply_endpoint_update(self, update: EndpointUpdate) -> None:
        """Apply an endpoint update to the connection pool and the routing policy.

        The policy's event is queued before the pool is updated: so the policy receives the update before the
        ends of exchanges that the pool's update causes.
        """
        self._events.append(update.change)
        was_handling = self._handling
        self._handling = True
        try:
            self._update_pool(update)
        finally:
            self._handling = was_handling
        self._handle_events()

    def _update_pool(self, update: EndpointUpdate) -> None:
        is_complete = update.change.kind is not UpdateKind.DELTA
        # A dict instead of a set: the order in which exchanges end must not depend on the hashes of names.
        removed = dict.fromkeys(self._pool.endpoints()) if is_complete else {}
        for endpoint in update.change.endpoints:
            if endpoint.state is not EndpointState.READY:
                removed[endpoint.id] = None
                continue
            removed.pop(endpoint.id, None)
            address = update.addresses[endpoint.id]
            if endpoint.kind == self.settings.origin_kind:
                self._origins.add(endpoint.id)
                self._pool.add_endpoint(endpoint.id, address, OriginConnection)
            else:
                self._origins.discard(endpoint.id)
                self._pool.add_endpoint(endpoint.id, address, CacheConnection)
        for endpoint_id in removed:
            # Ends exchanges that wait for a connection, which would reach a draining endpoint much later.
            self._pool.remove_endpoint(endpoint_id)

    def discovery_failed(self) -> None:
        """Tell the routing policy, which decides when to poll again, that a poll failed."""
        self.dispatch(EndpointsChanged(UpdateKind.FAILED))

    # Events and actions

    def dispatch(self, event: Event) -> None:
        """Pass the routing policy an event; one caused by an action is queued until all actions are done."""
        # A worker that was stalled may find clients' commands and an endpoint update at once, and read the
        # commands first: without this it would send attempts to an endpoint announced long ago as draining.
        if self.shared_state is not None and not self._handling:
            self.shared_state.catch_up()
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
                    for action in self._policy.handle(event, self.now_ns()):
                        self._carry_out(action)
                except Exception:
                    log.exception("handling event failed event=%s", type(event).__name__)
                    self._answer_after_fault(event)
        finally:
            self._handling = False

    def _answer_after_fault(self, event: Event) -> None:
        """Fail the request whose event raised an exception in the routing policy, if no attempt is in flight.

        Otherwise its client would get no answer.
        """
        if isinstance(event, RequestArrived | AttemptEnded):
            request = self.open_requests.by_id.get(event.request_id)
            if request is not None and not request.attempts_in_flight:
                self._answer(event.request_id, FAILED, Disposition.ABORTED)

    def _carry_out(self, action: Action) -> None:
        match action:
            case SendAttempt():
                self._send(action)
            case SetTimer():
                due_ns = self.now_ns() + action.delay_ns
                self.timer_wheel.call_at(due_ns, partial(self._timer_fired, action.token))
            case Reject():
                self._answer(action.request_id, busy(action.retry_after_ns), Disposition.DECLINED)
            case Fail():
                self._answer(action.request_id, FAILED, Disposition.ABORTED)
            case Subscribe():
                self.subscribe()
            case CheckHealth():
                self._check_health(action.endpoint_id)

    def _timer_fired(self, token: str) -> None:
        self.dispatch(TimerFired(token))

    def _check_health(self, endpoint_id: str) -> None:
        to_origin = endpoint_id in self._origins
        timeout_ns = min(cls.latency_objective_ns for cls in self._classes.values())
        exchange = HealthCheckExchange(self, endpoint_id, to_origin, timeout_ns)
        self._pool.submit(endpoint_id, exchange)

    def _send(self, action: SendAttempt) -> None:
        request = self.open_requests.by_id.get(action.request_id)
        if request is None:
            log.error("attempt for a released request request_id=%s", action.request_id)
            return
        now_ns = self.now_ns()
        to_origin = action.endpoint_id in self._origins
        attempt = Attempt(self, request, action.endpoint_id, to_origin, action.purpose)
        has_too_many_attempts = request.attempts > self.settings.max_attempts
        if request.answered or request.remaining_ms(now_ns) < 1 or has_too_many_attempts:
            attempt.end(Outcome.NOT_SENT)
            return
        due_ns = request.deadline_ns
        if action.timeout_ns:
            due_ns = min(now_ns + action.timeout_ns, due_ns)
        attempt.time_out_at(due_ns)
        if action.write_within_ns:
            attempt.write_by(now_ns + action.write_within_ns)
        self._pool.submit(action.endpoint_id, attempt)
