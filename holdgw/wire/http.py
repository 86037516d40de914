"""HTTP/1.1 for both sides of a connection: reads and encodes requests and responses."""

from __future__ import annotations

from dataclasses import dataclass

import httptools

MAX_HEAD_BYTES = 32 << 10  # bytes of the start line and headers; a longer head is an error
MAX_HEADERS = 100


class HttpError(Exception):
    """The peer's bytes are not valid HTTP/1.1, or exceed a limit."""


class ResponseReader:
    """Reads the responses of one connection; a subclass may stream long bodies.

    A body of up to `max_buffered` bytes is buffered. A longer one, up to `max_body` bytes, is passed to
    `body_started` and `body_part` as it arrives if it has a Content-Length; without one it is buffered as
    far as `reserve_body_bytes` allows.
    """

    def __init__(self, max_buffered: int, max_body: int = 0) -> None:
        self._max_buffered, self._max_body = max_buffered, max(max_body, max_buffered)
        self._reset()

    def body_started(self, length: int) -> None:
        """Take the start of a body of `length` bytes that is streamed because it is too long to buffer."""

    def body_part(self, data: bytes) -> None:
        """Take a part of the streamed body."""

    def reserve_body_bytes(self, size: int) -> bool:
        """Reserve `size` bytes to buffer beyond `max_buffered`; returns whether they are available."""
        return False

    def _reset(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self.headers: dict[bytes, bytes] = {}
        self.body = bytearray()
        self.status = 0
        self._head_bytes = 0
        self._length: int | None = None
        self._in_body = self._complete = self._must_close = False
        self._streamed: int | None = None  # bytes of the streamed body so far; None: not streamed
        self._ends_at_close = False  # the close of the connection ends the body

    def read(self, data: bytes) -> bool:
        """Read bytes; returns whether a response is complete. Raises HttpError where it is invalid."""
        if not self._in_body:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            # Invalid bytes behind a complete response must not discard that response; they only make the
            # connection unusable. This includes a body longer than its Content-Length: the response ends
            # where the header says.
            if self._complete:
                self._must_close = True
                return True
            cause = error.__context__
            raise HttpError(str(cause if isinstance(cause, HttpError) else error)) from None
        if not self._in_body and self._head_bytes > MAX_HEAD_BYTES:
            raise HttpError("head too long")
        return self._complete

    def connection_closed(self) -> bool:
        """Note an orderly close of the connection; returns whether it completes a response."""
        # RFC 9112, section 6.3: without Content-Length and chunks the close ends the body. A truncated body
        # would look complete, so the response must have announced the close with "Connection: close", and a
        # reset does not count as a close.
        if self._ends_at_close and not self._complete:
            self._complete = self._must_close = True
            return True
        return False

    def finish_response(self) -> bool:
        """Discard the complete response; returns whether the connection can be used for another request."""
        reusable = not self._must_close and self._keep_alive
        self._reset()
        return reusable

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by httptools."""
        if self._complete:
            return
        name, value = name.lower(), value.strip(b" \t")  # RFC 9110, section 5.5
        if name == b"content-length" and self.headers.get(name, value) != value:
            raise HttpError("conflicting Content-Length headers")
        self.headers[name] = value

    def on_headers_complete(self) -> None:
        """Called by httptools."""
        if self._complete:
            return
        self.status = self._parser.get_status_code()
        if 100 <= self.status < 200:
            return  # an interim response: the final one follows
        self._in_body = True
        length = self.headers.get(b"content-length")
        if length is not None:
            if not length.isdigit() or int(length) > self._max_body:
                raise HttpError("invalid or too large Content-Length")
            self._length = int(length)
            if self._length > self._max_buffered:
                if self.status != 200:
                    raise HttpError("invalid or too large Content-Length")
                self._streamed = 0
                self.body_started(self._length)
        elif self.status != 200:
            self._complete = self._must_close = True  # the body of an error is not needed
        elif b"chunked" not in self.headers.get(b"transfer-encoding", b"").lower():
            if b"close" not in self.headers.get(b"connection", b"").lower():
                raise HttpError("neither Content-Length nor chunked nor Connection: close")
            self._ends_at_close = True

    def on_body(self, data: bytes) -> None:
        """Called by httptools."""
        if self._complete:
            return
        if self._streamed is not None:
            self._streamed += len(data)
            self.body_part(data)
            return
        self.body += data
        if len(self.body) > self._max_buffered and not (
            len(self.body) <= self._max_body and self.reserve_body_bytes(len(data))
        ):
            raise HttpError("body too long")

    def on_message_begin(self) -> None:
        """Called by httptools."""
        if self._complete:
            self._must_close = True  # a second response answers no request: the connection is not reused

    def on_message_complete(self) -> None:
        """Called by httptools."""
        if self._complete:
            return
        if 100 <= self.status < 200:
            self.headers.clear()
            self.status = 0
            return
        received = len(self.body) if self._streamed is None else self._streamed
        if self._length is not None and received != self._length:
            raise HttpError("body length differs from Content-Length")
        self._keep_alive = self._parser.should_keep_alive()
        self._complete = True

    _keep_alive = False


def request(method: str, target: str, host: str, headers: bytes = b"", body: bytes | None = None) -> bytes:
    """Encode a request; `headers` are complete lines, each with its CRLF."""
    length = b"" if body is None else b"Content-Length: %d\r\n" % len(body)
    head = f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n".encode("ascii")
    return b"%b%b%b\r\n%b" % (head, headers, length, body or b"")


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request as a server reads it; header names are in lower case."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes


class RequestReader:
    """Reads the requests of one connection; a body of more than `max_body` bytes is an error."""

    def __init__(self, max_body: int) -> None:
        self._max_body = max_body
        self._parser = httptools.HttpRequestParser(self)
        self._complete_requests: list[HttpRequest] = []
        self._target, self._headers, self._body = b"", dict[bytes, bytes](), bytearray()

    def read(self, data: bytes) -> list[HttpRequest]:
        """Read bytes; returns the requests that are complete now. Raises HttpError where one is invalid."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise HttpError(str(error.__context__ or error)) from None
        complete, self._complete_requests = self._complete_requests, []
        return complete

    def on_message_begin(self) -> None:
        """Called by httptools."""
        self._target, self._headers, self._body = b"", {}, bytearray()

    def on_url(self, data: bytes) -> None:
        """Called by httptools."""
        self._target += data
        if len(self._target) > MAX_HEAD_BYTES:
            raise HttpError("target too long")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by httptools."""
        self._headers[name.lower()] = value
        if len(self._headers) > MAX_HEADERS:
            raise HttpError("too many headers")

    def on_body(self, data: bytes) -> None:
        """Called by httptools."""
        self._body += data
        if len(self._body) > self._max_body:
            raise HttpError("body too long")

    def on_message_complete(self) -> None:
        """Called by httptools."""
        method = self._parser.get_method()
        self._complete_requests.append(HttpRequest(method, self._target, self._headers, bytes(self._body)))


_REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


def response(status: int, body: bytes = b"", headers: bytes = b"") -> bytes:
    """Encode a response; `headers` are complete lines, each with its CRLF."""
    head = f"HTTP/1.1 {status} {_REASONS.get(status, 'Unknown')}\r\n".encode("ascii")
    return b"%bContent-Length: %d\r\n%b\r\n%b" % (head, len(body), headers, body)
