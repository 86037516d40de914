"""Connections to the origin, which speaks HTTP/1.1."""

from __future__ import annotations

from holdgw.policy import Outcome
from holdgw.router.upstream import Connection, Server
from holdgw.wire.http import HttpError, HttpReader
from holdgw.wire.resp import MAX_VALUE

_NEVER_RAN = (503, 504)


class OriginConnection(Connection, HttpReader):
    """Speaks HTTP with the origin, one request at a time."""

    def __init__(self, server: Server) -> None:
        Connection.__init__(self, server)
        HttpReader.__init__(self, MAX_VALUE)

    def answer_came(self, data: bytes) -> None:
        """Read a part of the answer."""
        try:
            whole = self.read(data)
        except HttpError as error:
            self.spoil(f"broke the protocol: {error}")
            return
        if not whole:
            return
        status, report = self.status, self.headers.get(b"server-load")
        not_started = self.headers.get(b"not-started") == b"1"
        value = bytes(self.body)
        self.retired = not self.answer_done() or self.retired
        if status == 200:
            self.finish(Outcome.OK, value, None, report)
        elif status in _NEVER_RAN and not_started:
            self.finish(Outcome.FULL, None, None, report)
        else:
            self.finish(Outcome.ERROR, None, None, report)
