"""HTTP calls to a discovery service, one at a time on one connection."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import orjson

from holdgw.wire.address import Address
from holdgw.wire.http import HttpError, ResponseReader, request

MAX_BODY_BYTES = 8 << 20  # enough for tens of thousands of endpoints


class _HttpConnection(asyncio.Protocol, ResponseReader):
    """One connection to discovery."""

    def __init__(self) -> None:
        ResponseReader.__init__(self, MAX_BODY_BYTES)
        self.transport: asyncio.Transport | None = None
        self._answer: asyncio.Future[tuple[int, bytes]] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transport is not a subclass

    def send_request(self, target: str, host: str) -> asyncio.Future[tuple[int, bytes]]:
        """Send a GET request; the future's result is the answer's status and body."""
        assert self.transport is not None
        self._answer = asyncio.get_running_loop().create_future()
        self.transport.write(request("GET", target, host))
        return self._answer

    def data_received(self, data: bytes) -> None:
        try:
            if self.read(data):
                status, body = self.status, bytes(self.body)
                if not self.finish_response():
                    self.close()
                if self._answer is not None and not self._answer.done():
                    self._answer.set_result((status, body))
        except HttpError as error:
            self._fail(error)
            self.close()

    def connection_lost(self, _exc: Exception | None) -> None:
        self._fail(ConnectionResetError("discovery closed the connection"))

    def _fail(self, error: Exception) -> None:
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(error)

    @property
    def usable(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class DiscoveryClient:
    """Calls one discovery service, on a connection that is replaced after each failed call."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._connection: _HttpConnection | None = None

    async def get(self, target: str, timeout_s: float) -> Any:
        """Return the decoded JSON body of a GET request.

        Raises:
            TimeoutError: There is no answer within `timeout_s` seconds.
            OSError: The connection failed.
            HttpError: The answer is not valid HTTP.
            ValueError: The status is not 200, or the body is not valid JSON.
        """
        try:
            async with asyncio.timeout(timeout_s):
                if self._connection is None or not self._connection.usable:
                    loop = asyncio.get_running_loop()
                    _, self._connection = await loop.create_connection(_HttpConnection, *self._address)
                host, port = self._address
                status, body = await self._connection.send_request(target, f"{host}:{port}")
        except BaseException:
            # On a reused connection the late answer to an abandoned call would be taken for the next answer.
            self.close()
            raise
        if status != 200:
            raise ValueError(f"answered {status}")
        return orjson.loads(body)

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
