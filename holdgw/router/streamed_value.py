"""A value too long to buffer, streamed to the client as its endpoint sends it."""

from __future__ import annotations

from holdgw.operation.metrics import Disposition
from holdgw.policy import NS_PER_S, Outcome
from holdgw.router.error_answers import FAILED
from holdgw.router.exchange import Exchange
from holdgw.router.exchange_owner import ExchangeOwner
from holdgw.router.open_request import OpenRequest
from holdgw.router.reply import MAX_UNSENT_BYTES, HoldTimes
from holdgw.router.timer_wheel import Timer

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
        self.started_ns = owner.now_ns()
        self._progress_ns = self.started_ns  # when the last part arrived
        self._stall_timer: Timer = owner.timer_wheel.call_at(
            self.started_ns + STREAM_STALL_NS, self._check_progress
        )

    def start_answer(self, length: int) -> None:
        """Start the client's answer with a value of `length` bytes."""
        request = self._request
        if not request.reply.reserve(min(length, MAX_WAITING_BYTES), can_drop=request.is_read):
            self._drop_value()
            return
        remaining_s = max(request.deadline_ns - self.started_ns, 0) / NS_PER_S
        request.reply.start_stream(length, self, hold_times(remaining_s))

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
        if self._request.stream is self:
            self._request.reply.write_part(data)

    def complete(self) -> None:
        """End the client's answer; the last part has arrived."""
        # If the endpoint's connection is paused for the client, nothing else may ever resume it. The bytes
        # behind the value would then stay unread, and the attempt would not end.
        self.resume()
        if self._detach(Disposition.SUCCEEDED):
            self._request.reply.end_stream()

    def abort_if_incomplete(self) -> None:
        """End the stream with its attempt; an incomplete value is made recognisable to the client."""
        self.cancel_timer()
        if self._detach(Disposition.ABORTED):
            self._request.reply.abort_stream(FAILED)

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
        due_ns = self._progress_ns + STREAM_STALL_NS
        if now_ns >= due_ns:
            self.give_up()
        else:
            self._stall_timer = self._owner.timer_wheel.call_at(due_ns, self._check_progress)
