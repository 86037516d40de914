"""One exchange with one endpoint for a client's request."""

from __future__ import annotations

from holdgw.operation.interval_counters import IntervalCounters
from holdgw.operation.metrics import Disposition
from holdgw.policy import AttemptEnded, AttemptPurpose, CacheStatus, Outcome, StreamStarted
from holdgw.router import origin_protocol
from holdgw.router.exchange import Exchange
from holdgw.router.exchange_owner import ExchangeOwner
from holdgw.router.open_request import OpenRequest
from holdgw.router.streamed_value import StreamedValue
from holdgw.router.timer_wheel import Timer
from holdgw.router.value_resumption import complete_begun_value
from holdgw.wire.address import Address
from holdgw.wire.unread import NS_PER_MS

DISCONNECT_CHECK_AFTER_NS = 50 * NS_PER_MS
"""Age of a request above which the kernel is asked, before a write, whether its client has disconnected."""


class Attempt(Exchange):
    """One attempt at a request; an answer, a timer or the client's disconnect ends it."""

    def __init__(
        self,
        owner: ExchangeOwner,
        request: OpenRequest,
        endpoint_id: str,
        to_origin: bool,
        purpose: AttemptPurpose,
    ) -> None:
        """Create an attempt that is not written yet; `purpose`: why it is made, for the interval counters."""
        self._owner = owner
        self._request = request
        self._endpoint_id = endpoint_id
        self._to_origin = to_origin
        self._purpose = purpose
        self._number = request.attempts
        self._created_ns = owner.now_ns()
        self._lag_when_created_ns = owner.total_lag_ns(self._created_ns)
        self._lag_while_queued_ns = 0
        self._written_ns = 0  # 0: not written yet
        self._remaining_ms = 0  # the timeout sent to the endpoint, set just before the write
        self._streamed: StreamedValue | None = None
        self._lag_until_streamed_ns = 0
        self._value_broke_off = False  # and another attempt may complete it
        self._timeout_timer: Timer | None = None
        self._timeout_due_ns = 0  # without the time for which this process was held up
        self._write_timer: Timer | None = None
        self._write_by_ns = 0  # 0: no limit but the request's deadline
        request.last_attempt = self
        request.attempts += 1
        request.attempts_in_flight += 1

    def time_out_at(self, due_ns: int) -> None:
        """Abandon the attempt at the time `due_ns`, written or not.

        It gets more time, up to its request's deadline, if this process is held up meanwhile: its answer may
        lie unread, or the attempt may wait for a connection with an unread answer.
        """
        self._timeout_due_ns = due_ns
        self._timeout_timer = self._owner.timer_wheel.call_at(due_ns, self._timed_out)

    def write_by(self, due_ns: int) -> None:
        """Abandon the attempt if it is not written by the time `due_ns`."""
        self._write_by_ns = due_ns
        self._write_timer = self._owner.timer_wheel.call_at(due_ns, self._too_late_to_write)

    def _too_late_to_write(self) -> None:
        if not self._written_ns:
            self.abandon(Outcome.CONNECT_FAILED)

    def _timed_out(self) -> None:
        now_ns = self._owner.now_ns()
        due_ns = min(self._timeout_due_ns + self._lag_ns(now_ns), self._request.deadline_ns)
        if now_ns < due_ns:
            self._timeout_timer = self._owner.timer_wheel.call_at(due_ns, self._timed_out)
        else:
            self.abandon(Outcome.TIMEOUT)

    def _lag_ns(self, now_ns: int) -> int:
        """For how long this process was held up since the attempt was created."""
        return self._owner.total_lag_ns(now_ns) - self._lag_when_created_ns

    def cancel(self) -> None:
        """Cancel the attempt unless it is written already."""
        if not self._written_ns:
            self.abandon(Outcome.CANCELLED)

    def cancellation_reason(self) -> Outcome | None:
        """The outcome of an attempt that must not be written any more; None if it may be written."""
        # The attempt may have waited for a connection, or the process may have stalled since the decision to
        # send it. Timers and a client's disconnect that would end it may be due and not handled yet.
        request = self._request
        now_ns = self._owner.now_ns()
        if request.answered:
            return Outcome.CANCELLED
        self._remaining_ms = request.remaining_ms(now_ns)
        if self._remaining_ms < 1:
            return Outcome.TIMEOUT
        if self._write_by_ns and now_ns >= self._write_by_ns:
            return Outcome.CONNECT_FAILED
        if now_ns - request.arrived_ns > DISCONNECT_CHECK_AFTER_NS and request.reply.client_disconnected():
            return Outcome.CANCELLED
        return None

    def request_bytes(self, address: Address) -> bytes:
        """Encode the client's command with the time that remains until its deadline."""
        command = self._request.command
        self._written_ns = self._owner.now_ns()
        self._lag_while_queued_ns = self._lag_ns(self._written_ns)
        if self._to_origin:
            return origin_protocol.encode_request(command, self._remaining_ms, address)
        return command.encode_with_timeout(self._remaining_ms)

    def on_written(self) -> None:
        """Count the attempt as forwarded."""
        self._owner.metrics.forwards += 1

    def value_started(self, length: int) -> None:
        """Start to stream a value of `length` bytes to the client."""
        request = self._request
        if request.answered:
            self.abandon(Outcome.CANCELLED)
            return
        self._cancel_timers()
        streamed = StreamedValue(self._owner, self, request)
        self._lag_until_streamed_ns = self._lag_ns(streamed.started_ns)
        self._streamed = streamed
        request.answered = True
        request.stream = streamed
        self._owner.dispatch(StreamStarted(request.id, self._number))
        streamed.start_answer(length)

    def value_part(self, data: bytes) -> None:
        """Forward a part of the value."""
        if self._streamed is not None:
            self._streamed.write(data)

    def value_complete(self) -> None:
        """End the client's answer; the attempt ends later, with the rest of the endpoint's answer."""
        if self._streamed is not None:
            self._streamed.complete()

    def on_end(
        self,
        outcome: Outcome,
        value: bytes | None = None,
        cache_status: CacheStatus | None = None,
        report: bytes | None = None,
    ) -> None:
        """Send the first successful answer to the client, and report every end to the routing policy."""
        self._cancel_timers()
        if self._streamed is not None:
            self._value_broke_off = self._streamed.attempt_ended(outcome)
        request = self._request
        request.attempts_in_flight -= 1
        if outcome is Outcome.OK and not request.answered and value is not None:
            self._answer_client(value)
        if self._owner.interval_counters is not None:
            self._count_end(self._owner.interval_counters, outcome)
        event = self._end_event(outcome, cache_status, report)
        self._owner.open_requests.release_if_done(request)
        self._owner.dispatch(event)

    def _answer_client(self, value: bytes) -> None:
        request = self._request
        request.answered = True
        if request.begun_value is not None:
            complete_begun_value(self._owner, request, request.begun_value, value)
            return
        if not request.reply.reserve(len(value), can_drop=request.is_read):
            error = self._owner.answer_without_value(request.class_name)
            self._owner.metrics.count_answer(request.class_name, error.disposition)
            request.reply.send(error.data)
            return
        if self._owner.interval_counters is not None:
            self._count_answer(self._owner.interval_counters)
        self._owner.metrics.count_answer(request.class_name, Disposition.SUCCEEDED)
        request.reply.send(value)

    def _end_event(
        self, outcome: Outcome, cache_status: CacheStatus | None, report: bytes | None
    ) -> AttemptEnded:
        # What the router's own lag adds says nothing of the endpoint.
        now_ns = self._owner.now_ns()
        answered_ns = now_ns if self._streamed is None else self._streamed.started_ns
        lag_ns = self._lag_ns(now_ns) if self._streamed is None else self._lag_until_streamed_ns
        lag_while_queued_ns = self._lag_while_queued_ns if self._written_ns else lag_ns
        return AttemptEnded(
            self._request.id,
            self._number,
            self._endpoint_id,
            outcome,
            self._request.answered,
            latency_ns=max(answered_ns - self._created_ns - lag_ns, 0),
            cache_status=cache_status,
            load_report=self._owner.parse_load_report(report) if self._owner.uses_load_reports else None,
            queued_ns=max((self._written_ns or now_ns) - self._created_ns - lag_while_queued_ns, 0),
            first_on_connection=self.first_on_connection,
            response_started=self.response_started,
            value_broke_off=self._value_broke_off,
            idle_connections_closed=outcome is Outcome.CONNECT_FAILED
            and self._owner.idle_connections_closed(self._endpoint_id),
        )

    def _cancel_timers(self) -> None:
        for timer in (self._timeout_timer, self._write_timer):
            if timer is not None:
                timer.cancel()
        self._timeout_timer = None
        self._write_timer = None

    def _count_end(self, counters: IntervalCounters, outcome: Outcome) -> None:
        objective_ns = self._owner.latency_objective_ns(self._request.class_name)
        late = self._written_ns > 0 and self._owner.now_ns() - self._written_ns > objective_ns
        key = self._request.command.key.decode(errors="replace") if self._to_origin else None
        purpose = self._purpose.value
        counters.count_attempt(self._endpoint_id, outcome.value, self.first_on_connection, late, key, purpose)

    def _count_answer(self, counters: IntervalCounters) -> None:
        latency_ns = self._owner.now_ns() - self._request.arrived_ns
        source = "fetched" if self._to_origin else "kept"
        is_later_attempt = self._number > self._to_origin  # the first fetch is attempt 1, after a miss
        late = latency_ns > self._owner.latency_objective_ns(self._request.class_name)
        counters.add(f"served {source}{', again' if is_later_attempt else ''}{', late' if late else ''}")
