"""HTTP/1.1 on one connection, both sides of it: answers as a client reads them, requests as a server does."""

from __future__ import annotations

from dataclasses import dataclass

import httptools

MAX_HEAD = 32 << 10  # bytes before the body: a peer that sends more is broken
MAX_HEADERS = 100


class HttpError(Exception):
    """The bytes are no HTTP/1.1 answer."""


class ResponseReader:
    """Reads the answers of one connection, each with a body of at most so many bytes.

    A longer body, of at most `longest` bytes and a stated length, is given to `body_begins` and `body_part`
    as it comes, where those are overridden; one whose length nobody stated can only be held.
    """

    def __init__(self, most: int, longest: int = 0) -> None:
        self._most, self._longest = most, max(longest, most)
        self._next_answer()

    def body_begins(self, length: int) -> None:
        """A body follows that is too long to be held."""

    def body_part(self, data: bytes) -> None:
        """A part of that body came."""

    def room_for(self, size: int) -> bool:
        """Whether `size` more bytes of a body may be buffered past the usual limit."""
        return False

    def _next_answer(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self.headers: dict[bytes, bytes] = {}
        self.body = bytearray()
        self.status = 0
        self._head = 0
        self._length: int | None = None
        self._in_body = self._whole = self._more = False
        self._passed_on: int | None = None  # bytes of a long body so far
        self._to_end = False  # the body ends with the connection

    def read(self, data: bytes) -> bool:
        """Take bytes; returns whether an answer is whole. Raises HttpError on broken ones."""
        if not self._in_body:
            self._head += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            # What follows a complete answer is not part of it: to fail on it would throw a good answer away.
            # The connection is of no further use. Where the stated length is too short, the answer still ends
            # where it was stated to.
            if self._whole:
                self._more = True
                return True
            cause = error.__context__
            raise HttpError(str(cause if isinstance(cause, HttpError) else error)) from None
        if not self._in_body and self._head > MAX_HEAD:
            raise HttpError("head too long")
        return self._whole

    def ended(self) -> bool:
        """The connection ended in good order; returns whether that ends an answer, which is whole then."""
        # RFC 9112, section 6.3: with neither a length nor chunks the close ends the body. A body that was cut
        # short would look complete; so the answer must have announced the close, and a reset is none.
        if self._to_end and not self._whole:
            self._whole = self._more = True
            return True
        return False

    def finish_response(self) -> bool:
        """Make ready for the next answer; returns whether the connection may serve one."""
        keep = not self._more and self._keep
        self._next_answer()
        return keep

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by httptools."""
        if self._whole:
            return
        name, value = name.lower(), value.strip(b" \t")  # RFC 9110, section 5.5
        if name == b"content-length" and self.headers.get(name, value) != value:
            raise HttpError("two lengths")
        self.headers[name] = value

    def on_headers_complete(self) -> None:
        """Called by httptools."""
        if self._whole:
            return
        self.status = self._parser.get_status_code()
        if 100 <= self.status < 200:
            return  # an interim answer: the final one follows
        self._in_body = True
        length = self.headers.get(b"content-length")
        if length is not None:
            if not length.isdigit() or int(length) > self._longest:
                raise HttpError("a length out of bounds")
            self._length = int(length)
            if self._length > self._most:
                if self.status != 200:
                    raise HttpError("a length out of bounds")
                self._passed_on = 0
                self.body_begins(self._length)
        elif self.status != 200:
            self._whole = self._more = True  # it says all that it has to
        elif b"chunked" not in self.headers.get(b"transfer-encoding", b"").lower():
            if b"close" not in self.headers.get(b"connection", b"").lower():
                raise HttpError("no length")
            self._to_end = True

    def on_body(self, data: bytes) -> None:
        """Called by httptools."""
        if self._whole:
            return
        if self._passed_on is not None:
            self._passed_on += len(data)
            self.body_part(data)
            return
        self.body += data
        if len(self.body) > self._most and not (len(self.body) <= self._longest and self.room_for(len(data))):
            raise HttpError("body too long")

    def on_message_begin(self) -> None:
        """Called by httptools."""
        if self._whole:
            self._more = True  # a second answer in the same bytes is none that was asked for

    def on_message_complete(self) -> None:
        """Called by httptools."""
        if self._whole:
            return
        if 100 <= self.status < 200:
            self.headers.clear()
            self.status = 0
            return
        came = len(self.body) if self._passed_on is None else self._passed_on
        if self._length is not None and came != self._length:
            raise HttpError("a body of another length than it says")
        self._keep = self._parser.should_keep_alive()
        self._whole = True

    _keep = False


def request(method: str, target: str, host: str, headers: bytes = b"", body: bytes | None = None) -> bytes:
    """Write a request down; `headers` are whole lines."""
    length = b"" if body is None else b"Content-Length: %d\r\n" % len(body)
    head = f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n".encode("ascii")
    return b"%b%b%b\r\n%b" % (head, headers, length, body or b"")


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A whole request, as a server reads it; names of headers are in lower case."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes


class RequestReader:
    """Reads the requests of one connection, each with a body of at most so many bytes."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._parser = httptools.HttpRequestParser(self)
        self._whole: list[HttpRequest] = []
        self._target, self._headers, self._body = b"", dict[bytes, bytes](), bytearray()

    def read(self, data: bytes) -> list[HttpRequest]:
        """Take bytes; returns the requests that are whole now. Raises HttpError on broken ones."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise HttpError(str(error.__context__ or error)) from None
        whole, self._whole = self._whole, []
        return whole

    def on_message_begin(self) -> None:
        """Called by httptools."""
        self._target, self._headers, self._body = b"", {}, bytearray()

    def on_url(self, data: bytes) -> None:
        """Called by httptools."""
        self._target += data
        if len(self._target) > MAX_HEAD:
            raise HttpError("target too long")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by httptools."""
        self._headers[name.lower()] = value
        if len(self._headers) > MAX_HEADERS:
            raise HttpError("too many headers")

    def on_body(self, data: bytes) -> None:
        """Called by httptools."""
        self._body += data
        if len(self._body) > self._most:
            raise HttpError("body too long")

    def on_message_complete(self) -> None:
        """Called by httptools."""
        method = self._parser.get_method()
        self._whole.append(HttpRequest(method, self._target, self._headers, bytes(self._body)))


_REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


def response(status: int, body: bytes = b"", headers: bytes = b"") -> bytes:
    """Write an answer down; `headers` are whole lines."""
    head = f"HTTP/1.1 {status} {_REASONS.get(status, 'Unknown')}\r\n".encode("ascii")
    return b"%bContent-Length: %d\r\n%b\r\n%b" % (head, len(body), headers, body)
