"""A value too long to buffer, streamed to the client as its endpoint sends it.

A value that breaks off after its client got a part may be completed by another attempt (`begun_value`). The
client would read any other answer as the rest of the value, so its connection is closed if that fails, and
the commands behind the value get no answer.
"""

from __future__ import annotations

import logging

from holdgw.operation.metrics import BrokenValueOutcome, Disposition
from holdgw.policy import NS_PER_S, Outcome
from holdgw.router.begun_value import BeginningCheck, BegunValue, ValueDiffersError
from holdgw.router.error_answers import FAILED
from holdgw.router.exchange import Exchange
from holdgw.router.exchange_owner import ExchangeOwner
from holdgw.router.open_request import OpenRequest
from holdgw.router.reply import MAX_UNSENT_BYTES, HoldTimes
from holdgw.router.timer_wheel import Timer
from holdgw.router.value_resumption import abandon_value, count_resumed

STREAM_STALL_NS = 8 * NS_PER_S
"""Longest pause within a value before its endpoint counts as stalled."""
MAX_WAITING_BYTES = 2 * MAX_UNSENT_BYTES
"""What is read of a value while its answer waits for an earlier one: up to a limit, and one more part."""
MAX_HOLD_FRACTION = 0.9
"""Fraction of the time until the request's deadline for which a value is held back at most."""
REST_TIMEOUT_S = 2.0
"""A client takes a long value for lost if its rest is held back for this time."""
MAX_PROCESS_STALL_S = 0.15
"""Longest time for which the machine may hold up this process."""
MAX_HOLD_S = REST_TIMEOUT_S - MAX_PROCESS_STALL_S
MAX_HOLD_NS = int(MAX_HOLD_S * NS_PER_S)
BREAK_OUTCOMES = (Outcome.RESET, Outcome.MALFORMED, Outcome.TIMEOUT)
"""The ends of an attempt after which another one may complete its value."""

log = logging.getLogger("holdgw")


def hold_times(remaining_s: float) -> HoldTimes:
    """How long a value is held back if `remaining_s` seconds are left for its request."""
    return HoldTimes(min(remaining_s * MAX_HOLD_FRACTION, MAX_HOLD_S), remaining_s)


class StreamedValue:
    """The streamed answer to one request; the request's deadline does not end it.

    The client's connection pauses and resumes the stream (reply.StreamSource).
    """

    def __init__(self, owner: ExchangeOwner, exchange: Exchange, request: OpenRequest) -> None:
        self._owner = owner
        self._exchange = exchange
        self._request = request
        self._check: BeginningCheck | None = None  # of a value that completes a begun one
        self.started_ns = owner.now_ns()
        self._progress_ns = self.started_ns  # when the last part arrived
        self._stall_timer: Timer = owner.timer_wheel.call_at(
            self.started_ns + MAX_HOLD_NS, self._check_progress
        )

    def start_answer(self, length: int) -> None:
        """Start the client's answer with a value of `length` bytes, or resume a begun one."""
        request = self._request
        if request.begun_value is not None:
            self._resume_answer(request.begun_value, length)
            return
        if self._owner.may_resume_value(request):
            request.begun_value = BegunValue(length)
        if not request.reply.reserve(min(length, MAX_WAITING_BYTES), can_drop=request.is_read):
            self._drop_value()
            return
        remaining_s = max(request.deadline_ns - self.started_ns, 0) / NS_PER_S
        request.reply.start_stream(length, self, hold_times(remaining_s))

    def _resume_answer(self, begun: BegunValue, length: int) -> None:
        try:
            self._check = BeginningCheck(begun, length)
        except ValueDiffersError:
            self._value_differs()
        else:
            self._request.reply.resume_stream(self)

    def _value_differs(self) -> None:
        """Close the client's connection, as this value can't complete the begun one; abandon the attempt."""
        self._request.stream = None
        abandon_value(self._owner, self._request, BrokenValueOutcome.DIFFERED)
        self._exchange.abandon(Outcome.CANCELLED)

    def _drop_value(self) -> None:
        """Answer without the value, for which there is no memory, and abandon the attempt."""
        request = self._request
        request.stream = None
        error = self._owner.answer_without_value(request.class_name)
        self._owner.metrics.count_answer(request.class_name, error.disposition)
        request.reply.send(error.data)
        self._exchange.abandon(Outcome.CANCELLED)

    def write(self, data: bytes) -> None:
        """Forward a part of the value, unless the client has disconnected."""
        self._progress_ns = self._owner.now_ns()
        if self._request.stream is self and self._check is not None:
            data = self._skip_beginning(self._check, data)
        if self._request.stream is self and data:
            if self._request.begun_value is not None:
                self._request.begun_value.add(data)
            self._request.reply.write_part(data)

    def _skip_beginning(self, check: BeginningCheck, data: bytes) -> bytes:
        """Return what of a part lies behind the begun value; abandon the attempt if the value differs."""
        try:
            rest = check.feed(data)
        except ValueDiffersError:
            self._value_differs()
            return b""
        if check.is_complete:
            self._check = None
            count_resumed(self._owner, self._request)
        return rest

    def complete(self) -> None:
        """End the client's answer; the last part has arrived."""
        # If the endpoint's connection is paused for the client, nothing else may ever resume it. The bytes
        # behind the value would then stay unread, and the attempt would not end.
        self.resume()
        if self._detach(Disposition.SUCCEEDED):
            self._request.reply.end_stream()

    def attempt_ended(self, outcome: Outcome) -> bool:
        """End the stream with its attempt; returns whether its value broke off and another may complete it.

        Otherwise an incomplete value is made recognisable to the client.
        """
        self.cancel_timer()
        if outcome in BREAK_OUTCOMES and self._can_be_resumed():
            self._await_resumption(outcome)
            return True
        if self._detach(Disposition.ABORTED):
            self._request.reply.abort_stream(FAILED)
        return False

    def _can_be_resumed(self) -> bool:
        """Whether a connected client has a part of this value, whose rest other attempts may give."""
        request = self._request
        if request.stream is not self or request.begun_value is None:
            return False
        return request.reply.stream_started and not request.reply.connection.closed

    def _await_resumption(self, outcome: Outcome) -> None:
        """Leave the answer to further attempts: the request has no final answer any more."""
        request = self._request
        begun = request.begun_value
        assert begun is not None
        log.info(
            "streamed value broke off class=%s outcome=%s passed_bytes=%d length=%d",
            request.class_name,
            outcome.value,
            begun.passed_bytes,
            begun.length,
        )
        request.stream = None
        request.answered = False
        if begun.resume_timer is None:
            due_ns = self._owner.now_ns() + MAX_HOLD_NS
            begun.resume_timer = self._owner.timer_wheel.call_at(due_ns, self._resumption_overdue)

    def _resumption_overdue(self) -> None:
        """Close the connection if no other command is behind the value.

        The client takes a value whose rest is held back for this long for lost, but one that ends early for
        failed only. The commands behind the value would be lost with their connection.
        """
        request = self._request
        if not (request.reply.connection.closed or request.reply.delays_others):
            abandon_value(self._owner, request)

    def client_disconnected(self) -> None:
        """Abandon the attempt: the client does not take the rest of the value."""
        self._request.stream = None
        self._exchange.abandon(Outcome.CANCELLED)

    def pause(self) -> None:
        """Stop reading the value while the client accepts nothing."""
        if self._exchange.connection is not None:
            self._exchange.connection.pause_reading()

    def resume(self) -> None:
        """Read the value again: the client accepts parts."""
        connection = self._exchange.connection
        if connection is not None and connection.reading_paused:
            self._progress_ns = self._owner.now_ns()
            connection.resume_reading()

    def give_up(self) -> None:
        """Abandon the attempt, whose value has stopped arriving."""
        self._exchange.abandon(Outcome.TIMEOUT)

    def cancel_timer(self) -> None:
        """Stop checking for a stalled endpoint."""
        self._stall_timer.cancel()

    def _detach(self, disposition: Disposition) -> bool:
        """Detach the stream from its request and count the answer; returns False if that was done before."""
        request = self._request
        if request.stream is not self:
            return False
        request.stream = None
        self._owner.metrics.count_answer(request.class_name, disposition)
        return True

    def _check_progress(self) -> None:
        now_ns = self._owner.now_ns()
        connection = self._exchange.connection
        if connection is not None and connection.reading_paused:
            self._progress_ns = now_ns  # the client is slow; its connection has a timeout of its own
        silent_ns = now_ns - self._progress_ns
        if silent_ns >= STREAM_STALL_NS or (silent_ns >= MAX_HOLD_NS and self._should_be_resumed()):
            self.give_up()
            return
        timeout_ns = MAX_HOLD_NS if silent_ns < MAX_HOLD_NS else STREAM_STALL_NS
        self._stall_timer = self._owner.timer_wheel.call_at(
            self._progress_ns + timeout_ns, self._check_progress
        )

    def _should_be_resumed(self) -> bool:
        """Whether a silent value is better read from another endpoint.

        Its client takes it for lost by now, and the commands behind it wait.
        """
        request = self._request
        return self._can_be_resumed() and request.reply.delays_others and self._owner.has_alternative(request)
