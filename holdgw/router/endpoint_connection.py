"""One connection to an endpoint, with one exchange at a time; subclasses parse the protocol's answers."""

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
"""SO_RCVBUF from a connection's first streamed value on; the kernel doubles it."""

log = logging.getLogger("holdgw")


class EndpointConnection:
    """An asyncio protocol for one connection, without pipelining: no answer waits behind another.

    It has no base class from another package, so that it compiles to a native class.
    """

    can_await_late_answer = False
    """Whether an abandoned exchange's answer can be told apart from the next one on such a connection."""

    def __init__(self, endpoint: EndpointPool) -> None:
        self.endpoint = endpoint
        self.exchange: Exchange | None = None
        self.transport: asyncio.Transport | None = None
        self.idle_since_ns = 0  # of the pool's clock
        self.write_pending = False  # the kernel has not accepted the last byte of the request yet
        self.retired = False  # no further exchange may start
        self.reading_paused = False
        # Whether the last answer was a rejection, which the endpoint may follow by a close.
        self.was_overloaded = False
        self._had_exchange = False

    # Protocol callbacks of asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport; with a limit of 0, `write_pending` is set until the kernel has every byte."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's own class is no subclass
        self.transport.set_write_buffer_limits(high=0)

    def eof_received(self) -> None:
        """Let the transport close; `connection_lost` follows."""

    def pause_writing(self) -> None:
        """Note that the kernel has not accepted the whole request."""
        self.write_pending = True

    def resume_writing(self) -> None:
        """Note that the kernel has accepted the last byte of the request."""
        self.write_pending = False
        if self.exchange is not None:
            self.exchange.on_written()

    def data_received(self, data: bytes) -> None:
        """Read an answer; an exception here closes this connection and no other."""
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
        """End the exchange; a request that the kernel did not accept completely has certainly not run."""
        # An endpoint at its limit of connections rejects a request and closes the connection. Treating that
        # as the end of its process would eject a live endpoint.
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
        """Whether another exchange may start on the connection."""
        return not self.retired and self.transport is not None and not self.transport.is_closing()

    @property
    def is_streaming(self) -> bool:
        """Whether the connection streams a long value."""
        return self in self.endpoint.streaming

    @property
    def awaits_late_answer(self) -> bool:
        """Whether the answer of an abandoned exchange has not arrived yet."""
        return self in self.endpoint.awaiting_late_answer

    # Exchanges

    def start(self, exchange: Exchange) -> None:
        """Start an exchange by writing its request."""
        assert self.transport is not None
        self.exchange = exchange
        exchange.connection = self
        exchange.first_on_connection = not self._had_exchange
        self._had_exchange = True
        self.transport.write(exchange.request_bytes(self.endpoint.address))
        if not self.write_pending:
            exchange.on_written()

    @abstractmethod
    def read_answer(self, data: bytes) -> None:
        """Parse a part of the answer; calls `complete` at its end, `fail_malformed` where it is invalid."""

    def start_value(self, length: int) -> None:
        """Start to stream a value that is too long to buffer; the exchange gets its parts as they arrive."""
        assert self.transport is not None
        if self.exchange is None:
            self.close()  # the whole value of the abandoned exchange would have to be read
            return
        # Without this the kernel buffers megabytes of each value. A small buffer limits the throughput on
        # paths with a long round-trip time; paths to endpoints are short.
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, STREAM_RECEIVE_BUFFER_BYTES)
        self.endpoint.pool.stream_started(self)
        self.exchange.value_started(length)

    def pause_reading(self) -> None:
        """Pause reading; a retired connection may also be paused while it finishes its exchange."""
        if not self.reading_paused and self.transport is not None and not self.transport.is_closing():
            self.reading_paused = True
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading if it is paused."""
        if self.reading_paused:
            self.reading_paused = False
            if self.transport is not None and not self.transport.is_closing():
                self.transport.resume_reading()

    def complete(
        self,
        outcome: Outcome,
        value: bytes | None = None,
        cache_status: CacheStatus | None = None,
        report: bytes | None = None,
    ) -> None:
        """End the exchange with a complete answer, as for `Exchange.on_end`, and return to the pool."""
        exchange = self.exchange
        self.exchange = None
        self.was_overloaded = outcome is Outcome.OVERLOADED
        self.resume_reading()
        if self.awaits_late_answer:
            self.endpoint.pool.late_answer_received(self)
        self.endpoint.pool.connection_released(self)
        if exchange is not None:
            exchange.end(outcome, value, cache_status, report)

    def fail_malformed(self, reason: str) -> None:
        """End the exchange as malformed, and close, as further input can't be parsed reliably."""
        log.warning("malformed answer, closing connection endpoint=%s reason=%s", self.endpoint.id, reason)
        exchange = self.exchange
        self.exchange = None
        self.close()
        if exchange is not None:
            exchange.end(Outcome.MALFORMED)

    def close(self) -> None:
        """Close at once and drop unsent bytes."""
        self.retired = True
        if self.transport is not None:
            self.transport.abort()
