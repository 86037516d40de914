"""The operators' door: a second address that speaks HTTP/1.1, with one call to a connection."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol, cast

from holdgw.operation.endpoint_overrides import UnknownEndpointError
from holdgw.operation.metrics import CONTENT_TYPE
from holdgw.wire import http
from holdgw.wire.address import Address

MAX_CONNECTIONS = 12  # connections at a time: a scraper, some staff, and a few that finish nothing
MAX_BODY = 1 << 10  # an id
MAX_CALL = 16 << 10  # bytes of a whole call
CALL_S = 3.0  # in which a call must be whole; callers wait for 1 s

log = logging.getLogger("holdgw")


class AdminOperations(Protocol):
    """What the door opens on."""

    def can_serve(self) -> bool:
        """Whether this process can serve clients now."""

    def metrics_text(self) -> bytes:
        """The figures as text."""

    def enter_maintenance(self, server_id: str) -> None:
        """Take a cache server out by hand; raises UnknownServerError."""

    def exit_maintenance(self, server_id: str) -> None:
        """Use it again; raises UnknownServerError."""


def answer(router: AdminOperations, call: http.HttpRequest) -> bytes:
    """Carry one call out; returns the whole HTTP answer."""
    path = call.target.partition(b"?")[0]
    gets: dict[bytes, Callable[[], bytes]] = {
        b"/status": lambda: _answer(*((200, b"ok\n") if router.can_serve() else (503, b"not yet\n"))),
        b"/status/metrics": lambda: _answer(200, router.metrics_text(), CONTENT_TYPE),
    }
    puts: dict[bytes, Callable[[str], None]] = {
        b"/maintenance/enter": router.enter_maintenance,
        b"/maintenance/exit": router.exit_maintenance,
    }
    if path in gets:
        return gets[path]() if call.method == b"GET" else _answer(405, b"use GET\n", allow=b"GET")
    if path not in puts:
        return _answer(404, b"no such call\n")
    if call.method != b"PUT":
        return _answer(405, b"use PUT with the server's id as the body\n", allow=b"PUT")
    try:
        server_id = call.body.decode().strip()
    except UnicodeDecodeError:
        server_id = ""
    if not server_id:
        return _answer(400, b"the body must be a server's id\n")
    try:
        puts[path](server_id)
    except UnknownEndpointError as error:
        return _answer(404, f"{error}\n".encode())
    log.info("%s %s", path.decode(), server_id)
    return _answer(200, b"ok\n")


def _answer(
    status: int, body: bytes, content_type: bytes = b"text/plain; charset=utf-8", allow: bytes = b""
) -> bytes:
    headers = b"Content-Type: %b\r\nConnection: close\r\n" % content_type
    return http.response(status, body, headers + (b"Allow: %b\r\n" % allow if allow else b""))


class _Caller(asyncio.Protocol):
    """One connection, and the one call on it."""

    def __init__(self, door: AdminEndpoint) -> None:
        self._door = door
        self._reader = http.RequestReader(MAX_BODY)
        self._came = 0
        self._done = False
        self._timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's own class is no subclass
        self._timer = self._door.loop.call_later(CALL_S, self.abort)
        self._door.opened(self)

    def data_received(self, data: bytes) -> None:
        if self._done:
            return
        self._came += len(data)
        try:
            calls = self._reader.read(data)
            if not calls and self._came > MAX_CALL:
                raise http.HttpError("too long")
        except http.HttpError as error:
            self._finish(_answer(400, f"{error}\n".encode()))
            return
        if calls:
            try:
                told = answer(self._door.router, calls[0])
            except Exception:
                log.exception("a call at the door failed")
                told = _answer(500, b"failed\n")
            self._finish(told)

    def _finish(self, told: bytes) -> None:
        assert self._transport is not None
        self._done = True
        self._transport.write(told)
        self._transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._door.closed(self)

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()


class AdminEndpoint:
    """The listener and its callers; `router` is what they ask."""

    def __init__(self, loop: asyncio.AbstractEventLoop, router: AdminOperations) -> None:
        self.loop, self.router = loop, router
        self._callers: dict[_Caller, None] = {}  # the one that stands longest first
        self._listener: asyncio.Server | None = None

    async def listen(self, address: Address) -> Address:
        """Open the door at this address; returns it, with the port that was got. Raises OSError."""
        self._listener = await self.loop.create_server(lambda: _Caller(self), *address)
        host, port = self._listener.sockets[0].getsockname()[:2]
        return str(host), int(port)

    def opened(self, caller: _Caller) -> None:
        """Take a caller in."""
        # Danger: callers that connect and finish no call would keep out the one who takes a server out by
        # hand, and hold descriptors that clients need. It could do harm past MOST honest calls at once.
        if len(self._callers) >= MAX_CONNECTIONS:
            oldest = next(iter(self._callers))
            del self._callers[oldest]
            oldest.abort()
        self._callers[caller] = None

    def closed(self, caller: _Caller) -> None:
        """A caller is gone."""
        self._callers.pop(caller, None)

    @property
    def callers(self) -> int:
        """Connections now."""
        return len(self._callers)

    def close(self) -> None:
        """Close the door and every connection."""
        if self._listener is not None:
            self._listener.close()
        for caller in list(self._callers):
            caller.abort()
