"""One connection to an endpoint, with one exchange at a time; subclasses read the protocol's answers."""

from __future__ import annotations

import asyncio
import logging
import socket
from abc import abstractmethod
from typing import TYPE_CHECKING, cast

from holdgw.policy import CacheStatus, Outcome

if TYPE_CHECKING:
    from holdgw.router.endpoint_pool import EndpointPool
    from holdgw.router.exchange import Exchange

STREAM_RECEIVE_BUFFER_BYTES = 64 << 10
"""SO_RCVBUF while a long value is streamed; the kernel doubles it."""

log = logging.getLogger("holdgw")


class EndpointConnection:
    """One connection; an answer never waits behind another's.

    An asyncio protocol. It has no foreign base class, so that it compiles to a native class.
    """

    can_await_late_answer = False
    """Whether the answer of an abandoned exchange can be told from the next one's here."""

    def __init__(self, endpoint: EndpointPool) -> None:
        self.endpoint = endpoint
        self.exchange: Exchange | None = None
        self.transport: asyncio.Transport | None = None
        self.idle_since = 0.0  # seconds of the loop's clock
        self.write_pending = False  # the kernel has not taken the last byte of the request yet
        self.retired = False  # no further exchange may start here
        self.reading_paused = False
        self.was_overloaded = False  # the last answer was a rejection; the endpoint may close behind it
        self._used = False

    # Protocol callbacks of asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport; a limit of 0 tells precisely whether the kernel has taken every byte."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's own class is no subclass
        self.transport.set_write_buffer_limits(high=0)

    def eof_received(self) -> None:
        """Let the transport close; `connection_lost` follows."""

    def pause_writing(self) -> None:
        """Note that the kernel has not taken all of the request."""
        self.write_pending = True

    def resume_writing(self) -> None:
        """Note that the kernel has taken the last byte of the request."""
        self.write_pending = False
        if self.exchange is not None:
            self.exchange.on_written()

    def data_received(self, data: bytes) -> None:
        """Read an answer; an exception here costs this connection and no other."""
        if self.exchange is not None:
            self.exchange.response_started = True
        elif not self.usable:
            return
        elif not self.awaits_late_answer:
            self.fail_malformed("unsolicited answer")
            return
        try:
            self.read_answer(data)
        except Exception:
            log.exception("reading an answer failed endpoint=%s", self.endpoint.id)
            self.fail_malformed("reading an answer failed")

    def connection_lost(self, _exc: Exception | None) -> None:
        """End the exchange: a request that the kernel did not take completely has surely not run."""
        # An endpoint at its limit of connections rejects one and closes it. To take that for the end of its
        # process would eject a live endpoint.
        closed_while_idle = self.exchange is None and not (
            self.retired or self.was_overloaded or self.awaits_late_answer
        )
        self.retired = True
        exchange = self.exchange
        self.exchange = None
        pool = self.endpoint.pool
        if closed_while_idle:
            pool.idle_connection_lost(self)
        pool.connection_lost(self)
        if exchange is not None:
            exchange.end(Outcome.CONNECT_FAILED if self.write_pending else Outcome.RESET)

    # State

    @property
    def usable(self) -> bool:
        """Whether another exchange may start here."""
        return not self.retired and self.transport is not None and not self.transport.is_closing()

    @property
    def is_streaming(self) -> bool:
        """Whether it streams a long value."""
        return self in self.endpoint.streaming

    @property
    def awaits_late_answer(self) -> bool:
        """Whether the answer of an abandoned exchange is still to come."""
        return self in self.endpoint.awaiting_late_answer

    # Exchanges

    def start(self, exchange: Exchange) -> None:
        """Write the exchange's request."""
        assert self.transport is not None
        self.exchange = exchange
        exchange.connection = self
        exchange.first_on_connection = not self._used
        self._used = True
        self.transport.write(exchange.request_bytes(self.endpoint.address))
        if not self.write_pending:
            exchange.on_written()

    @abstractmethod
    def read_answer(self, data: bytes) -> None:
        """Read a part of the answer; calls `complete` at its end, `fail_malformed` where it is invalid."""

    def start_value(self, length: int) -> None:
        """Stream a value that is too long to buffer: the exchange gets it from here on as it arrives."""
        assert self.transport is not None
        if self.exchange is None:
            self.close()  # nobody wants it, and all of it would have to be read
            return
        # Without this the kernel buffers megabytes of each value. It would cost throughput on long lines;
        # these are short.
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, STREAM_RECEIVE_BUFFER_BYTES)
        self.endpoint.pool.stream_started(self)
        self.exchange.value_started(length)

    def pause_reading(self) -> None:
        """Read no more for now; a retired connection may still be paused, as it finishes its exchange."""
        if not self.reading_paused and self.transport is not None and not self.transport.is_closing():
            self.reading_paused = True
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Read again."""
        if self.reading_paused:
            self.reading_paused = False
            if self.transport is not None and not self.transport.is_closing():
                self.transport.resume_reading()

    def complete(
        self,
        outcome: Outcome,
        value: bytes | None = None,
        note: CacheStatus | None = None,
        report: bytes | None = None,
    ) -> None:
        """End the exchange by a complete answer, as for `Exchange.on_end`, and return to the pool."""
        exchange = self.exchange
        self.exchange = None
        self.was_overloaded = outcome is Outcome.OVERLOADED
        self.resume_reading()
        if self.awaits_late_answer:
            self.endpoint.pool.late_answer_received(self)
        self.endpoint.pool.connection_released(self)
        if exchange is not None:
            exchange.end(outcome, value, note, report)

    def fail_malformed(self, reason: str) -> None:
        """End the exchange as malformed, and close: what follows can't be relied on."""
        log.warning("malformed answer, closing connection endpoint=%s reason=%s", self.endpoint.id, reason)
        exchange = self.exchange
        self.exchange = None
        self.close()
        if exchange is not None:
            exchange.end(Outcome.MALFORMED)

    def close(self) -> None:
        """Close at once; what is unsent is dropped."""
        self.retired = True
        if self.transport is not None:
            self.transport.abort()
