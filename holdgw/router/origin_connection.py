"""Connections to the origin (HTTP/1.1)."""

from __future__ import annotations

from holdgw.policy import Outcome
from holdgw.router.endpoint_connection import EndpointConnection
from holdgw.router.endpoint_pool import EndpointPool
from holdgw.router.origin_protocol import LOAD_REPORT_HEADER, NOT_STARTED, NOT_STARTED_HEADER
from holdgw.wire.http import HttpError, ResponseReader
from holdgw.wire.resp import LONGEST_VALUE, MAX_VALUE, bulk

STATUS_OK = 200
STATUSES_NOT_STARTED = (503, 504)
"""Service Unavailable and Gateway Timeout: with NOT_STARTED_HEADER the request has had no effect."""


class _AnswerReader(ResponseReader):
    """Reads one connection's answers; a body too long to be held is passed on as it comes."""

    def __init__(self, connection: OriginConnection) -> None:
        self._connection = connection
        super().__init__(MAX_VALUE, LONGEST_VALUE)

    def body_begins(self, length: int) -> None:
        """A long value begins."""
        self._connection.start_value(length)

    def body_part(self, data: bytes) -> None:
        """A part of a long value came."""
        if self._connection.exchange is not None:
            self._connection.exchange.value_part(data)

    def room_for(self, size: int) -> bool:
        """Whether `size` more bytes may be held of a body without a stated length.

        RESP2 states a value's length first, so such a body can't be passed on before it is complete.
        """
        return self._connection.reserve_bytes(size)


class OriginConnection(EndpointConnection):
    """A connection to the origin, with one request on it at a time."""

    def __init__(self, endpoint: EndpointPool) -> None:
        super().__init__(endpoint)
        self._reader = _AnswerReader(self)
        self._reserved_bytes = 0

    def reserve_bytes(self, size: int) -> bool:
        """Reserve `size` bytes of the pool's memory for the answer; returns whether they were to be had."""
        if not self.endpoint.pool.reserve_bytes(size):
            return False
        self._reserved_bytes += size
        return True

    def _release_reserved(self) -> None:
        self.endpoint.pool.release_bytes(self._reserved_bytes)
        self._reserved_bytes = 0

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is gone; its orderly end completes a body without a stated length."""
        if exc is None and self.exchange is not None and self._reader.ended():
            self._finish_by_answer()
        self._release_reserved()
        super().connection_lost(exc)

    def read_answer(self, data: bytes) -> None:
        """Read a part of an answer."""
        try:
            is_complete = self._reader.read(data)
        except HttpError as error:
            self.fail_malformed(f"broke the protocol: {error}")
            return
        if is_complete and self.exchange is not None:
            self._finish_by_answer()

    def _finish_by_answer(self) -> None:
        reader = self._reader
        status = reader.status
        report = reader.headers.get(LOAD_REPORT_HEADER)
        is_not_started = reader.headers.get(NOT_STARTED_HEADER) == NOT_STARTED
        value = bulk(bytes(reader.body))
        self._release_reserved()
        self.retired = not reader.finish_response() or self.retired
        if self.is_streaming and self.exchange is not None:
            self.exchange.value_complete()
        if status == STATUS_OK:
            self.complete(Outcome.OK, value, None, report)
        elif status in STATUSES_NOT_STARTED and is_not_started:
            self.complete(Outcome.OVERLOADED, None, None, report)
        else:
            self.complete(Outcome.ERROR, None, None, report)
