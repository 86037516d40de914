"""Connections to the origin, which speaks HTTP/1.1."""

from __future__ import annotations

from holdgw.policy import Outcome
from holdgw.router.connection_pool import Connection, EndpointPool
from holdgw.wire.http import HttpError, HttpReader
from holdgw.wire.resp import LONGEST_VALUE, MAX_VALUE, bulk

_NEVER_RAN = (503, 504)


class _Reader(HttpReader):
    """Reads a connection's answers, and gives it what is too long to be held."""

    def __init__(self, connection: OriginConnection) -> None:
        self._connection = connection
        super().__init__(MAX_VALUE, LONGEST_VALUE)

    def body_begins(self, length: int) -> None:
        """A long value begins."""
        self._connection.value_begins(length)

    def body_part(self, data: bytes) -> None:
        """A part of a long value came."""
        if self._connection.exchange is not None:
            self._connection.exchange.value_part(data)

    def room_for(self, size: int) -> bool:
        """RESP2 needs a value's length first, so a body that tells none is held until it is whole."""
        return self._connection.hold(size)


class OriginConnection(Connection):
    """Speaks HTTP with the origin, one request at a time."""

    def __init__(self, server: EndpointPool) -> None:
        super().__init__(server)
        self._reader = _Reader(self)
        self._held = 0  # bytes taken of the pool's room for bodies without a length

    def hold(self, size: int) -> bool:
        """Take so many bytes of the pool's room."""
        if not self.server.pool.reserve_bytes(size):
            return False
        self._held += size
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """The end of the connection may be the end of the body."""
        if exc is None and self.exchange is not None and self._reader.ended():
            self._take_answer()
        self._let_go()
        super().connection_lost(exc)

    def _let_go(self) -> None:
        self.server.pool.release_bytes(self._held)
        self._held = 0

    def answer_came(self, data: bytes) -> None:
        """Read a part of the answer."""
        try:
            whole = self._reader.read(data)
        except HttpError as error:
            self.spoil(f"broke the protocol: {error}")
            return
        if whole and self.exchange is not None:
            self._take_answer()

    def _take_answer(self) -> None:
        reader = self._reader
        status, report = reader.status, reader.headers.get(b"server-load")
        not_started = reader.headers.get(b"not-started") == b"1"
        value = bulk(bytes(reader.body))
        self._let_go()
        self.retired = not reader.answer_done() or self.retired
        if self.streaming and self.exchange is not None:
            self.exchange.value_complete()
        if status == 200:
            self.finish(Outcome.OK, value, None, report)
        elif status in _NEVER_RAN and not_started:
            self.finish(Outcome.OVERLOADED, None, None, report)
        else:
            self.finish(Outcome.ERROR, None, None, report)
