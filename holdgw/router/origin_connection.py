"""Connections to the origin, which speaks HTTP/1.1."""

from __future__ import annotations

from holdgw.policy import Outcome
from holdgw.router.endpoint_connection import EndpointConnection
from holdgw.router.endpoint_pool import EndpointPool
from holdgw.wire.http import HttpError, HttpReader
from holdgw.wire.resp import LONGEST_VALUE, MAX_VALUE, bulk

STATUS_OK = 200
STATUSES_NOT_STARTED = (503, 504)
"""With "Not-Started: 1" the origin says by these that the request did not run."""


class _AnswerReader(HttpReader):
    """Reads a connection's answers, and passes on bodies that are too long to buffer."""

    def __init__(self, connection: OriginConnection) -> None:
        self._connection = connection
        super().__init__(MAX_VALUE, LONGEST_VALUE)

    def body_begins(self, length: int) -> None:
        """Start to stream a long value."""
        self._connection.start_value(length)

    def body_part(self, data: bytes) -> None:
        """Pass on a part of a long value."""
        if self._connection.exchange is not None:
            self._connection.exchange.value_part(data)

    def room_for(self, size: int) -> bool:
        """Reserve memory: RESP2 states a value's length first, so a body without one has to be buffered."""
        return self._connection.reserve_body_bytes(size)


class OriginConnection(EndpointConnection):
    """A connection to the origin."""

    def __init__(self, endpoint: EndpointPool) -> None:
        super().__init__(endpoint)
        self._reader = _AnswerReader(self)
        self._reserved_bytes = 0  # of the pool's, for a long body without a stated length

    def reserve_body_bytes(self, size: int) -> bool:
        """Reserve memory of the pool for the answer's body; returns whether there is enough."""
        if not self.endpoint.pool.reserve_bytes(size):
            return False
        self._reserved_bytes += size
        return True

    def _release_body_bytes(self) -> None:
        self.endpoint.pool.release_bytes(self._reserved_bytes)
        self._reserved_bytes = 0

    def connection_lost(self, exc: Exception | None) -> None:
        """Take the end of the connection, which may be the end of the body."""
        if exc is None and self.exchange is not None and self._reader.ended():
            self._complete_answer()
        self._release_body_bytes()
        super().connection_lost(exc)

    def read_answer(self, data: bytes) -> None:
        """Read a part of the answer."""
        try:
            is_complete = self._reader.read(data)
        except HttpError as error:
            self.fail_malformed(f"HTTP error: {error}")
            return
        if is_complete and self.exchange is not None:
            self._complete_answer()

    def _complete_answer(self) -> None:
        reader = self._reader
        status = reader.status
        report = reader.headers.get(b"server-load")
        not_started = reader.headers.get(b"not-started") == b"1"
        value = bulk(bytes(reader.body))
        self._release_body_bytes()
        self.retired = not reader.answer_done() or self.retired
        if self.is_streaming and self.exchange is not None:
            self.exchange.value_complete()
        if status == STATUS_OK:
            self.complete(Outcome.OK, value, None, report)
        elif status in STATUSES_NOT_STARTED and not_started:
            self.complete(Outcome.OVERLOADED, None, None, report)
        else:
            self.complete(Outcome.ERROR, None, None, report)
