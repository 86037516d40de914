"""Connections to the origin (HTTP/1.1)."""

from __future__ import annotations

from holdgw.policy import Outcome
from holdgw.router.endpoint_connection import EndpointConnection
from holdgw.router.endpoint_pool import EndpointPool
from holdgw.router.origin_protocol import LOAD_REPORT_HEADER, NOT_STARTED, NOT_STARTED_HEADER
from holdgw.wire.http import HttpError, ResponseReader
from holdgw.wire.resp import MAX_BUFFERED_VALUE_BYTES, MAX_VALUE_BYTES, bulk

STATUS_OK = 200
STATUSES_NOT_STARTED = (503, 504)
"""Service Unavailable and Gateway Timeout: with NOT_STARTED_HEADER the request has had no effect."""


class _OriginResponseReader(ResponseReader):
    """Reads one connection's responses; a body too long to buffer is streamed to the exchange."""

    def __init__(self, connection: OriginConnection) -> None:
        self._connection = connection
        super().__init__(MAX_BUFFERED_VALUE_BYTES, MAX_VALUE_BYTES)

    def body_started(self, length: int) -> None:
        """Start to stream a long value."""
        self._connection.start_value(length)

    def body_part(self, data: bytes) -> None:
        """Pass a part of a long value to the exchange."""
        if self._connection.exchange is not None:
            self._connection.exchange.value_part(data)

    def reserve_body_bytes(self, size: int) -> bool:
        """Reserve `size` bytes for a body without Content-Length; returns whether they are available.

        RESP2 sends a value's length first, so such a body can't be streamed before it is complete.
        """
        return self._connection.reserve_bytes(size)


class OriginConnection(EndpointConnection):
    """A connection to the origin, with one request on it at a time."""

    def __init__(self, endpoint: EndpointPool) -> None:
        super().__init__(endpoint)
        self._reader = _OriginResponseReader(self)
        self._reserved_bytes = 0

    def reserve_bytes(self, size: int) -> bool:
        """Reserve `size` bytes of the pool's memory for the answer; returns whether they were available."""
        if not self.endpoint.pool.reserve_bytes(size):
            return False
        self._reserved_bytes += size
        return True

    def _release_reserved(self) -> None:
        self.endpoint.pool.release_bytes(self._reserved_bytes)
        self._reserved_bytes = 0

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the end of the connection; an orderly close completes a body without Content-Length."""
        if exc is None and self.exchange is not None and self._reader.connection_closed():
            self._complete_by_answer()
        self._release_reserved()
        super().connection_lost(exc)

    def read_answer(self, data: bytes) -> None:
        """Read a part of an answer."""
        try:
            is_complete = self._reader.read(data)
        except HttpError as error:
            self.fail_malformed(f"invalid HTTP response: {error}")
            return
        if is_complete and self.exchange is not None:
            self._complete_by_answer()

    def _complete_by_answer(self) -> None:
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
