"""Connections to cache servers: one RESP2 command, one answer.

The value is cut out of the answer here, by its length; hiredis reads what is around it. hiredis believes any
length, buffers all that comes for it, and does not check how a value ends: a wrong length would serve a part
of a value, or eat what follows it.
"""

from __future__ import annotations

import re

import hiredis

from holdgw.policy import CacheStatus, Outcome
from holdgw.router.endpoint_connection import EndpointConnection
from holdgw.router.endpoint_pool import EndpointPool
from holdgw.wire.resp import LONGEST_VALUE, MAX_VALUE, bulk

MAX_REST_BYTES = 8 << 10
"""All of an answer but its value: far more than a cache status and a load report take."""
MAX_HEAD_BYTES = 16
"""An answer's number of elements and its value's length."""
HEAD = re.compile(rb"\*[1-3]\r\n\$(\d{1,8})\r\n")
# The common answer is matched at once; what these don't match is read piece by piece, with the same result.
# The head has the number of elements and the value's length, the tails the cache status and the load report.
COMMON_HEAD = re.compile(rb"\*([1-3])\r\n\$(?:(-1)|(0|[1-9]\d{0,4}))\r\n")
COMMON_TAILS = (
    re.compile(rb""),
    re.compile(rb"\$\d\r\n(hit|miss|pending)\r\n"),
    re.compile(rb"\$\d\r\n(hit|miss|pending)\r\n\$(\d{1,4})\r\n([^\r\n]*)\r\n"),
)
CRLF = b"\r\n"
NIL = b"$-1\r"
ARRAY_MARK = ord("*")
DIGIT_ZERO = ord("0")

_CACHE_STATUSES = {
    b"hit": CacheStatus.HIT,
    b"miss": CacheStatus.MISS,
    b"pending": CacheStatus.MISS_FETCH_PENDING,
}


def _without_value(head: bytes | bytearray, tail: bytes | bytearray) -> bytes:
    """An answer for hiredis, with an empty value in place of the one that was cut out."""
    return b"".join((head, b"$0\r\n\r\n", tail))


class CacheConnection(EndpointConnection):
    """A connection to one cache server."""

    can_await_late_answer = True

    def __init__(self, endpoint: EndpointPool) -> None:
        super().__init__(endpoint)
        self._reader = hiredis.Reader()
        self._buffer = bytearray()  # an answer with a value, until the value is complete
        self._value: bytes | None = None  # the value, cut out, as a bulk string
        self._streamed_bytes_left = 0  # of a streamed value, with the CRLF that ends it
        self._streamed_head = b""  # the answer's first bytes, before a streamed value
        self._value_is_cut = False  # what arrives goes to hiredis
        self._rest_bytes = 0  # bytes that hiredis was given

    def read_answer(self, data: bytes) -> None:
        """Read a part of the answer."""
        at_start = not (self._streamed_bytes_left or self._value_is_cut or self._buffer)
        if at_start and self._read_common_answer(data):
            return
        if self._streamed_bytes_left:
            data = self._stream_value(data)
            if not data:
                return
        elif not self._value_is_cut:
            self._buffer += data
            rest = self._cut_value()
            if rest is None:
                return
            data = rest
            self._value_is_cut = True
            self._buffer.clear()
        self._rest_bytes += len(data)
        self._reader.feed(data)
        self._read_rest()

    def _read_common_answer(self, data: bytes) -> bool:
        """Read a common answer that is complete and alone in `data`; returns whether it is one."""
        head = COMMON_HEAD.match(data)
        if head is None:
            return False
        is_miss = head[2] is not None
        start = head.end()
        end = start
        if not is_miss:
            end += int(head[3])
            if data[end : end + 2] != CRLF or end - start > MAX_VALUE:
                return False
            end += 2
        elements = int(head[1])
        tail = COMMON_TAILS[elements - 1].fullmatch(data, end)
        if tail is None:
            return False
        status: CacheStatus | None = None
        report: bytes | None = None
        if elements > 1:
            if data[end + 1] - DIGIT_ZERO != len(tail[1]):
                return False
            status = _CACHE_STATUSES.get(tail[1])
        if elements > 2:
            report = tail[3]
            if int(tail[2]) != len(report):
                return False
        if is_miss:
            self.complete(Outcome.MISS, None, status, report)
        else:  # the value is passed on as it is, with its length before it and CRLF behind
            self.complete(Outcome.OK, data[start - len(head[3]) - 3 : end], status, report)
        return True

    def _cut_value(self) -> bytes | None:
        """Cut the value out of the buffer; returns what hiredis shall read, None while that is incomplete."""
        buffer = self._buffer
        if buffer[0] != ARRAY_MARK or b"\n$-1\r" in buffer[:9]:
            return bytes(buffer)
        head = HEAD.match(buffer)
        if head is None:
            # A miss may arrive in two reads that part within its "$-1": that is no fault.
            is_partial_nil = NIL.startswith(buffer[4 : 4 + len(NIL)])
            if len(buffer) >= MAX_HEAD_BYTES or (b"\n$-" in buffer[:9] and not is_partial_nil):
                self.fail_malformed("broken header")
            return None
        start = head.end()
        length = int(head[1])
        if length > LONGEST_VALUE:
            self.fail_malformed(f"value too long length_bytes={length} limit_bytes={LONGEST_VALUE}")
            return None
        if length > MAX_VALUE:
            return self._start_streaming(start, length)
        end = start + length
        if len(buffer) < end + 2:
            return None
        if buffer[end : end + 2] != CRLF:
            self._fail_wrong_length()
            return None
        self._value = bulk(bytes(buffer[start:end]))
        return _without_value(buffer[:4], buffer[end + 2 :])

    def _fail_wrong_length(self) -> None:
        self.fail_malformed("value of another length than stated")

    def _start_streaming(self, start: int, length: int) -> bytes | None:
        first = bytes(self._buffer[start:])
        self._streamed_head = bytes(self._buffer[:4])
        self._buffer.clear()
        self._streamed_bytes_left = length + len(CRLF)
        self.start_value(length)
        return self._stream_value(first) or None

    def _stream_value(self, data: bytes) -> bytes:
        """Pass on a part of a streamed value; returns what hiredis shall read, once the value is complete."""
        size = min(len(data), self._streamed_bytes_left - len(CRLF))
        if size and self.exchange is not None:
            self.exchange.value_part(data[:size])
        self._streamed_bytes_left -= size
        self._buffer += data[size:]
        if self._streamed_bytes_left > len(CRLF) or len(self._buffer) < len(CRLF):
            return b""
        if self.exchange is None:
            return b""
        if self._buffer[:2] != CRLF:
            self._fail_wrong_length()
            return b""
        rest = _without_value(self._streamed_head, self._buffer[2:])
        self._streamed_bytes_left = 0
        self._value_is_cut = True
        self._buffer.clear()
        self.exchange.value_complete()
        return rest

    def _read_rest(self) -> None:
        try:
            answer = self._reader.gets()
        except hiredis.HiredisError as error:
            self.fail_malformed(f"RESP2 error: {error}")
            return
        if answer is False:
            if self._rest_bytes > MAX_REST_BYTES:
                self.fail_malformed(f"more than {MAX_REST_BYTES} bytes beside the value")
            return
        # Bytes behind the answer would be taken for the next request's answer, so the connection is not used
        # again. This answer is complete and good.
        self.retired = self.retired or self._reader.has_data()
        value = self._value
        self._value = None
        self._value_is_cut = False
        self._rest_bytes = 0
        if isinstance(answer, hiredis.ReplyError):
            self._complete_error(str(answer))
        elif isinstance(answer, list) and 1 <= len(answer) <= 3 and isinstance(answer[0], bytes | None):
            self._complete_value(value, answer)
        elif isinstance(answer, bytes) and self.exchange is not None and self.exchange.is_health_check:
            self.complete(Outcome.OK, None, None, answer)
        else:
            self.fail_malformed("answer of an unknown form")

    def _complete_value(self, value: bytes | None, elements: list[object]) -> None:
        """Complete with an array: the value, the cache status, the load report."""
        word = elements[1] if len(elements) > 1 else None
        status = _CACHE_STATUSES.get(word) if isinstance(word, bytes) else None
        last = elements[2] if len(elements) > 2 else None
        report = last if isinstance(last, bytes) else None
        outcome = Outcome.OK if value is not None or self.is_streaming else Outcome.MISS
        self.complete(outcome, value, status, report)

    def _complete_error(self, text: str) -> None:
        """Complete with an error line, whose last word may be a load report."""
        last_word = text.rpartition(" ")[2]
        report = last_word.encode() if "=" in last_word else None
        outcome = Outcome.OVERLOADED if text.startswith("BUSY") else Outcome.ERROR
        self.complete(outcome, None, None, report)
