"""A value too long to be held: it is passed on to the client as its endpoint sends it."""

from __future__ import annotations

from holdgw.operation.metrics import Disposition
from holdgw.policy import NS_PER_S, Outcome
from holdgw.router.error_answers import FAILED
from holdgw.router.exchange import Exchange
from holdgw.router.exchange_owner import ExchangeOwner
from holdgw.router.open_request import OpenRequest
from holdgw.router.timer_wheel import Timer
from holdgw.wire import resp

STREAM_STALL_NS = 8 * NS_PER_S
"""Time within which an endpoint must send something of a value that it has begun."""


class StreamedValue:
    """The answer to one request while it is passed on; its request's deadline does not end it.

    The client's connection pauses and resumes it (reply.StreamSource).
    """

    def __init__(self, owner: ExchangeOwner, exchange: Exchange, request: OpenRequest) -> None:
        self._owner = owner
        self._exchange = exchange
        self._request = request
        self.started_ns = owner.now_ns()
        self._progress_ns = self.started_ns  # when the last part came
        self._stall_timer: Timer = owner.timer_wheel.call_at(
            self.started_ns + STREAM_STALL_NS, self._check_progress
        )

    def start_answer(self, length: int) -> None:
        """Begin the client's answer, of a value of `length` bytes."""
        self._request.reply.start_stream(resp.bulk_header(length), self)

    def write(self, data: bytes) -> None:
        """Pass a part of the value on, unless the client has left."""
        self._progress_ns = self._owner.now_ns()
        if self._request.stream is self:
            self._request.reply.write_part(data)

    def complete(self) -> None:
        """The last part has come: end the client's answer."""
        # The endpoint's connection may have been paused for the client and never be resumed by it: what the
        # endpoint sends behind the value would stay unread, and the attempt would not end.
        self.resume()
        if self._detach(Disposition.SUCCEEDED):
            self._request.reply.end_stream(b"\r\n")

    def break_off(self) -> None:
        """The attempt has ended; where the value is not complete, the client must be able to tell."""
        self.cancel_timer()
        if self._detach(Disposition.ABORTED):
            self._request.reply.abort_stream(FAILED)

    def client_disconnected(self) -> None:
        """End the attempt: nobody takes the rest of the value."""
        self._request.stream = None
        self._exchange.abandon(Outcome.CANCELLED)

    def pause(self) -> None:
        """Read no more of the value for now: the client takes nothing."""
        if self._exchange.connection is not None:
            self._exchange.connection.pause_reading()

    def resume(self) -> None:
        """Read on: the client takes parts again."""
        connection = self._exchange.connection
        if connection is not None and connection.reading_paused:
            self._progress_ns = self._owner.now_ns()
            connection.resume_reading()

    def cancel_timer(self) -> None:
        """Stop looking for a stalled endpoint."""
        self._stall_timer.cancel()

    def _detach(self, disposition: Disposition) -> bool:
        """Count the answer's end, once; returns whether this was the end."""
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
            self._progress_ns = now_ns  # the client is slow, and its own connection limits that
        due_ns = self._progress_ns + STREAM_STALL_NS
        if now_ns >= due_ns:
            self._exchange.abandon(Outcome.TIMEOUT)
        else:
            self._stall_timer = self._owner.timer_wheel.call_at(due_ns, self._check_progress)
