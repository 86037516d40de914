"""The admin endpoint: an HTTP/1.1 server for operators and scrapers, on an address of its own.

A call is one HTTP request; a connection carries one call and is closed after its response.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol, cast

from holdgw.operation.endpoint_overrides import UnknownEndpointError
from holdgw.operation.metrics import CONTENT_TYPE
from holdgw.wire import http
from holdgw.wire.address import Address

MAX_CONNECTIONS = 12  # a scraper, some operators, and a few callers that never finish a call
MAX_BODY_BYTES = 1 << 10  # the body is one endpoint id
MAX_CALL_BYTES = 16 << 10
CALL_TIMEOUT_S = 3.0  # callers wait for 1 s

log = logging.getLogger("holdgw")


class AdminOperations(Protocol):
    """The operations that calls of the admin endpoint invoke."""

    def can_serve(self) -> bool:
        """Whether this process can serve clients now."""

    def metrics_text(self) -> bytes:
        """The metrics in the exposition format of `holdgw.operation.metrics`."""

    def enter_maintenance(self, endpoint_id: str) -> None:
        """Set the administrative override of a cache server; raises UnknownEndpointError."""

    def exit_maintenance(self, endpoint_id: str) -> None:
        """Clear the administrative override; raises UnknownEndpointError."""


def handle_call(operations: AdminOperations, call: http.HttpRequest) -> bytes:
    """Handle one call; returns the encoded HTTP response."""
    path = call.target.partition(b"?")[0]
    queries: dict[bytes, Callable[[], bytes]] = {
        b"/status": lambda: _status_response(operations.can_serve()),
        b"/status/metrics": lambda: _response(200, operations.metrics_text(), CONTENT_TYPE),
    }
    commands: dict[bytes, Callable[[str], None]] = {
        b"/maintenance/enter": operations.enter_maintenance,
        b"/maintenance/exit": operations.exit_maintenance,
    }
    if path in queries:
        if call.method != b"GET":
            return _response(405, b"use GET\n", allow=b"GET")
        return queries[path]()
    if path in commands:
        if call.method != b"PUT":
            return _response(405, b"use PUT with the server's id as the body\n", allow=b"PUT")
        return _run_command(path.decode(), commands[path], call.body)
    return _response(404, b"no such call\n")


def _run_command(path: str, command: Callable[[str], None], body: bytes) -> bytes:
    try:
        endpoint_id = body.decode().strip()
    except UnicodeDecodeError:
        endpoint_id = ""
    if not endpoint_id:
        return _response(400, b"the body must be a server's id\n")
    try:
        command(endpoint_id)
    except UnknownEndpointError as error:
        return _response(404, f"{error}\n".encode())
    log.info("admin endpoint: command applied path=%s endpoint=%s", path, endpoint_id)
    return _response(200, b"ok\n")


def _status_response(can_serve: bool) -> bytes:
    return _response(200, b"ok\n") if can_serve else _response(503, b"not yet\n")


def _response(
    status: int, body: bytes, content_type: bytes = b"text/plain; charset=utf-8", allow: bytes = b""
) -> bytes:
    headers = b"Content-Type: %b\r\nConnection: close\r\n" % content_type
    if allow:
        headers += b"Allow: %b\r\n" % allow
    return http.response(status, body, headers)


class _AdminConnection(asyncio.Protocol):
    """A connection to the admin endpoint, which carries one call."""

    def __init__(self, endpoint: AdminEndpoint) -> None:
        self._endpoint = endpoint
        self._reader = http.RequestReader(MAX_BODY_BYTES)
        self._received_bytes = 0
        self._answered = False
        self._timeout: asyncio.TimerHandle | None = None
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's transports are not subclasses of it
        self._timeout = self._endpoint.loop.call_later(CALL_TIMEOUT_S, self.abort)
        self._endpoint.add_connection(self)

    def data_received(self, data: bytes) -> None:
        if self._answered:
            return
        self._received_bytes += len(data)
        try:
            calls = self._reader.read(data)
            if not calls and self._received_bytes > MAX_CALL_BYTES:
                raise http.HttpError("too long")
        except http.HttpError as error:
            self._respond(_response(400, f"{error}\n".encode()))
            return
        if calls:
            self._respond(self._handle(calls[0]))

    def _handle(self, call: http.HttpRequest) -> bytes:
        try:
            return handle_call(self._endpoint.operations, call)
        except Exception:
            log.exception("admin endpoint: call failed")
            return _response(500, b"failed\n")

    def _respond(self, response: bytes) -> None:
        assert self._transport is not None
        self._answered = True
        self._transport.write(response)
        self._transport.close()

    def connection_lost(self, _: Exception | None) -> None:
        if self._timeout is not None:
            self._timeout.cancel()
        self._endpoint.remove_connection(self)

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()


class AdminEndpoint:
    """Listens for admin calls and handles them with `operations`."""

    def __init__(self, loop: asyncio.AbstractEventLoop, operations: AdminOperations) -> None:
        self.loop = loop
        self.operations = operations
        self._connections: dict[_AdminConnection, None] = {}  # oldest first
        self._listener: asyncio.Server | None = None

    async def listen(self, address: Address) -> Address:
        """Listen at this address; returns it with the port that was bound. Raises OSError."""
        self._listener = await self.loop.create_server(lambda: _AdminConnection(self), *address)
        host, port = self._listener.sockets[0].getsockname()[:2]
        return str(host), int(port)

    def add_connection(self, connection: _AdminConnection) -> None:
        """Register a new connection; where MAX_CONNECTIONS are open, the oldest one is aborted.

        Without this limit, callers that never finish a call would keep operators out and hold descriptors
        that clients need.
        """
        if len(self._connections) >= MAX_CONNECTIONS:
            oldest = next(iter(self._connections))
            del self._connections[oldest]
            oldest.abort()
        self._connections[connection] = None

    def remove_connection(self, connection: _AdminConnection) -> None:
        """Remove a closed connection."""
        self._connections.pop(connection, None)

    @property
    def connection_count(self) -> int:
        """The number of open connections."""
        return len(self._connections)

    def close(self) -> None:
        """Stop listening and abort every connection."""
        if self._listener is not None:
            self._listener.close()
        for connection in list(self._connections):
            connection.abort()
