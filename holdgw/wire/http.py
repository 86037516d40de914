"""A small HTTP/1.1 client on one connection: a request at a time, and never sent twice."""

from __future__ import annotations

import httptools

MAX_HEAD = 32 << 10  # bytes before the body: a peer that sends more is broken


class HttpError(Exception):
    """The bytes are no HTTP/1.1 answer."""


class HttpReader:
    """Reads the answers of one connection, each with a body of at most so many bytes."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._next_answer()

    def _next_answer(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self.headers: dict[bytes, bytes] = {}
        self.body = bytearray()
        self.status = 0
        self._head = 0
        self._length: int | None = None
        self._in_body = self._whole = self._more = False

    def read(self, data: bytes) -> bool:
        """Take bytes; returns whether an answer is whole. Raises HttpError on broken ones."""
        if not self._in_body:
            self._head += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            # Danger: what follows a whole answer is none of its business; to fail on it would throw a
            # good answer away. The connection is of no further use. It could do harm only where a length
            # is stated too short, and then what follows makes the answer's end no less what was stated.
            if self._whole:
                self._more = True
                return True
            cause = error.__context__
            raise HttpError(str(cause if isinstance(cause, HttpError) else error)) from None
        if not self._in_body and self._head > MAX_HEAD:
            raise HttpError("head too long")
        return self._whole

    def answer_done(self) -> bool:
        """Make ready for the next answer; returns whether the connection may serve one."""
        keep = not self._more and self._keep
        self._next_answer()
        return keep

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by httptools."""
        if self._whole:
            return
        name = name.lower()
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
            if not length.isdigit() or int(length) > self._most:
                raise HttpError("a length out of bounds")
            self._length = int(length)
        elif self.status != 200:
            self._whole = self._more = True  # it says all that it has to
        elif b"chunked" not in self.headers.get(b"transfer-encoding", b"").lower():
            # Danger: such a body ends with the connection, and one that was cut short looks whole.
            raise HttpError("no length")

    def on_body(self, data: bytes) -> None:
        """Called by httptools."""
        if self._whole:
            return
        self.body += data
        if len(self.body) > self._most:
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
        if self._length is not None and len(self.body) != self._length:
            raise HttpError("a body of another length than it says")
        self._keep = self._parser.should_keep_alive()
        self._whole = True

    _keep = False


def request(method: str, target: str, host: str, headers: bytes = b"", body: bytes | None = None) -> bytes:
    """Write a request down; `headers` are whole lines."""
    length = b"" if body is None else b"Content-Length: %d\r\n" % len(body)
    head = f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n".encode("ascii")
    return b"%b%b%b\r\n%b" % (head, headers, length, body or b"")
