"""Connections to cache servers (RESP2): extracts an answer's value, and parses the rest with hiredis."""

from __future__ import annotations

import re

import hiredis

from holdgw.policy import CacheStatus, Outcome
from holdgw.router.endpoint_connection import EndpointConnection
from holdgw.router.endpoint_pool import EndpointPool
from holdgw.wire.resp import MAX_BUFFERED_VALUE_BYTES, MAX_VALUE_BYTES, bulk

MAX_REST_BYTES = 8 << 10
"""Limit for an answer without its value; far more than a cache status and a load report take."""
CRLF = b"\r\n"
ARRAY_MARK = ord("*")
ELEMENT_COUNT_BYTES = 4  # "*1" to "*3" and CRLF
VALUE_HEADER = re.compile(rb"\*[1-3]\r\n\$(\d{1,8})\r\n")
MAX_VALUE_HEADER_BYTES = 16
NULL_BULK = b"$-1\r"
MAX_NULL_HEADER_BYTES = 9  # an answer without a value has NULL_BULK within these

# Fast path for common answers that arrive in one read. COMMON_HEADER matches the number of elements and the
# value's length; COMMON_REST, indexed by the number of elements minus 1, the cache status and the load report
# behind the value. Other answers are parsed incrementally, with the same result.
COMMON_HEADER = re.compile(rb"\*([1-3])\r\n\$(?:(-1)|(0|[1-9]\d{0,4}))\r\n")
COMMON_REST = (
    re.compile(rb""),
    re.compile(rb"\$\d\r\n(hit|miss|pending)\r\n"),
    re.compile(rb"\$\d\r\n(hit|miss|pending)\r\n\$(\d{1,4})\r\n([^\r\n]*)\r\n"),
)

CACHE_STATUSES = {
    b"hit": CacheStatus.HIT,
    b"miss": CacheStatus.MISS,
    b"pending": CacheStatus.MISS_FETCH_PENDING,
}


def _with_empty_value(header: bytes | bytearray, rest: bytes | bytearray) -> bytes:
    """Encode an answer for hiredis with an empty value in place of the extracted one."""
    return b"".join((header, b"$0\r\n\r\n", rest))


class CacheConnection(EndpointConnection):
    """A connection to one cache server.

    hiredis accepts any length, buffers all input up to it, and does not check that CRLF follows the value.
    With a wrong length, a part of a value would be served, or the next answer would be read as its end. This
    class therefore extracts values itself, within limits, and checks where they end.
    """

    can_await_late_answer = True

    def __init__(self, endpoint: EndpointPool) -> None:
        super().__init__(endpoint)
        self._reader = hiredis.Reader()
        self._buffer = bytearray()  # an answer up to the end of its value
        self._value: bytes | None = None  # encoded, as a bulk string
        self._streamed_bytes_left = 0  # bytes of a streamed value still to arrive, with its CRLF
        self._streamed_header = b""  # the array header of the streamed value's answer
        self._value_extracted = False  # further input is the rest of the answer, for hiredis
        self._rest_bytes = 0

    def read_answer(self, data: bytes) -> None:
        """Read a part of an answer."""
        in_answer = self._streamed_bytes_left or self._value_extracted or self._buffer
        if not in_answer and self._read_common_answer(data):
            return
        if self._streamed_bytes_left:
            data = self._stream_part(data)
            if not data:
                return
        elif not self._value_extracted:
            self._buffer += data
            rest = self._extract_value()
            if rest is None:
                return
            data = rest
            self._value_extracted = True
            self._buffer.clear()
        self._rest_bytes += len(data)
        self._reader.feed(data)
        self._read_rest()

    def _read_common_answer(self, data: bytes) -> bool:
        """Complete the exchange if `data` is exactly one common answer; returns whether it was."""
        header = COMMON_HEADER.match(data)
        if header is None:
            return False
        elements = int(header[1])
        value_start = header.end()
        value_end = value_start
        if header[2] is None:
            value_end += int(header[3])
            if data[value_end : value_end + 2] != CRLF or value_end - value_start > MAX_BUFFERED_VALUE_BYTES:
                return False
            value_end += 2
        rest = COMMON_REST[elements - 1].fullmatch(data, value_end)
        if rest is None:
            return False
        status: CacheStatus | None = None
        report: bytes | None = None
        if elements > 1:
            word = rest[1]
            if data[value_end + 1] - ord("0") != len(word):
                return False
            status = CACHE_STATUSES[word]
        if elements > 2:
            report = rest[3]
            if int(rest[2]) != len(report):
                return False
        if header[2] is None:
            encoded_start = value_start - len(header[3]) - len(b"$\r\n")
            self.complete(Outcome.OK, data[encoded_start:value_end], status, report)
        else:
            self.complete(Outcome.MISS, None, status, report)
        return True

    def _extract_value(self) -> bytes | None:
        """Extract the value from the buffer; returns the input for hiredis, None while it is incomplete."""
        buffer = self._buffer
        if buffer[0] != ARRAY_MARK or b"\n" + NULL_BULK in buffer[:MAX_NULL_HEADER_BYTES]:
            return bytes(buffer)
        header = VALUE_HEADER.match(buffer)
        if header is None:
            self._check_partial_header()
            return None
        length = int(header[1])
        if length > MAX_VALUE_BYTES:
            self.fail_malformed("value exceeds the length limit")
            return None
        if length > MAX_BUFFERED_VALUE_BYTES:
            return self._start_stream(header.end(), length)
        return self._extract_buffered_value(header.end(), header.end() + length)

    def _check_partial_header(self) -> None:
        """Fail the exchange if the bytes in the buffer can't be the beginning of a valid header."""
        buffer = self._buffer
        # A miss may arrive in two reads that are split within its null bulk string.
        may_be_miss = NULL_BULK.startswith(buffer[ELEMENT_COUNT_BYTES : ELEMENT_COUNT_BYTES + len(NULL_BULK)])
        is_negative = b"\n$-" in buffer[:MAX_NULL_HEADER_BYTES]
        if len(buffer) >= MAX_VALUE_HEADER_BYTES or (is_negative and not may_be_miss):
            self.fail_malformed("invalid answer header")

    def _extract_buffered_value(self, start: int, end: int) -> bytes | None:
        buffer = self._buffer
        if len(buffer) < end + len(CRLF):
            return None
        if buffer[end : end + len(CRLF)] != CRLF:
            self.fail_malformed("value length differs from its header")
            return None
        self._value = bulk(bytes(buffer[start:end]))
        return _with_empty_value(buffer[:ELEMENT_COUNT_BYTES], buffer[end + len(CRLF) :])

    def _start_stream(self, start: int, length: int) -> bytes | None:
        """Start to stream a long value; returns the input for hiredis if the whole value has arrived."""
        first_part = bytes(self._buffer[start:])
        self._streamed_header = bytes(self._buffer[:ELEMENT_COUNT_BYTES])
        self._buffer.clear()
        self._streamed_bytes_left = length + len(CRLF)
        self.start_value(length)
        return self._stream_part(first_part) or None

    def _stream_part(self, data: bytes) -> bytes:
        """Forward a part of a long value; returns the input for hiredis once the whole value has arrived."""
        size = min(len(data), self._streamed_bytes_left - len(CRLF))
        if size and self.exchange is not None:
            self.exchange.value_part(data[:size])
        self._streamed_bytes_left -= size
        self._buffer += data[size:]
        value_complete = self._streamed_bytes_left <= len(CRLF)
        if self.exchange is None or not value_complete or len(self._buffer) < len(CRLF):
            return b""
        if self._buffer[: len(CRLF)] != CRLF:
            self.fail_malformed("value length differs from its header")
            return b""
        rest = _with_empty_value(self._streamed_header, self._buffer[len(CRLF) :])
        self._streamed_bytes_left = 0
        self._value_extracted = True
        self._buffer.clear()
        self.exchange.value_complete()
        return rest

    def _read_rest(self) -> None:
        try:
            answer = self._reader.gets()
        except hiredis.HiredisError as error:
            self.fail_malformed(f"invalid RESP2: {error}")
            return
        if answer is False:
            if self._rest_bytes > MAX_REST_BYTES:
                self.fail_malformed("answer without its value exceeds the length limit")
            return
        # The answer is valid, but bytes behind it would be read as the answer to the next request.
        self.retired = self.retired or self._reader.has_data()
        self._value_extracted = False
        self._rest_bytes = 0
        self._complete_by(answer)

    def _complete_by(self, answer: object) -> None:
        value = self._value
        self._value = None
        if isinstance(answer, hiredis.ReplyError):
            self._complete_by_error(str(answer))
        elif isinstance(answer, list) and 1 <= len(answer) <= 3 and isinstance(answer[0], bytes | None):
            word = answer[1] if len(answer) > 1 else None
            status = CACHE_STATUSES.get(word) if isinstance(word, bytes) else None
            report = answer[2] if len(answer) > 2 and isinstance(answer[2], bytes) else None
            outcome = Outcome.OK if value is not None or self.is_streaming else Outcome.MISS
            self.complete(outcome, value, status, report)
        elif isinstance(answer, bytes) and self.exchange is not None and self.exchange.is_health_check:
            self.complete(Outcome.OK, None, None, answer)
        else:
            self.fail_malformed("unexpected type of answer")

    def _complete_by_error(self, text: str) -> None:
        """Complete the exchange with a RESP error; its last word may be a load report."""
        last_word = text.rpartition(" ")[2]
        report = last_word.encode() if "=" in last_word else None
        outcome = Outcome.OVERLOADED if text.startswith("BUSY") else Outcome.ERROR
        self.complete(outcome, None, None, report)
