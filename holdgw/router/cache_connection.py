"""Connections to cache servers: one command, one answer, the value cut out, the rest read by hiredis."""

from __future__ import annotations

import re

import hiredis

from holdgw.policy import CacheStatus, Outcome
from holdgw.router.connection_pool import Connection, EndpointPool
from holdgw.wire.resp import LONGEST_VALUE, MAX_VALUE, bulk

MAX_REST = 8 << 10  # all of an answer but its value: far more than a note and a load report take
HEADER = re.compile(rb"\*[1-3]\r\n\$(\d{1,8})\r\n")
LONGEST_HEADER = 16
# The usual answer in one look, round its value: what these do not match is read piece by piece, with the same
# result. The number of elements, then the value's length; behind the value the note and the load report.
USUAL_BEGIN = re.compile(rb"\*([1-3])\r\n\$(?:(-1)|(0|[1-9]\d{0,4}))\r\n")
USUAL_END = (
    re.compile(rb""),
    re.compile(rb"\$\d\r\n(hit|miss|pending)\r\n"),
    re.compile(rb"\$\d\r\n(hit|miss|pending)\r\n\$(\d{1,4})\r\n([^\r\n]*)\r\n"),
)
CRLF = b"\r\n"
NIL = b"$-1\r"

_NOTES = {b"hit": CacheStatus.HIT, b"miss": CacheStatus.MISS, b"pending": CacheStatus.MISS_FETCH_PENDING}


def _without_value(begin: bytes | bytearray, end: bytes | bytearray) -> bytes:
    """An answer for hiredis, with an empty value in place of the one that was cut out."""
    return b"".join((begin, b"$0\r\n\r\n", end))


class CacheConnection(Connection):
    """Speaks RESP2 with one cache server."""

    patient = True

    def __init__(self, server: EndpointPool) -> None:
        super().__init__(server)
        self._reader = hiredis.Reader()
        self._buffer = bytearray()  # of an answer with a value, until the value is whole
        self._value: bytes | None = None  # with its length before it and its end behind
        self._left = 0  # bytes of a long value that are still to come, and of the CRLF that ends it
        self._elements = b""  # the beginning of an answer whose value is passed on
        self._plain = False  # what comes goes to hiredis
        self._came = 0  # bytes that hiredis was given

    def answer_came(self, data: bytes) -> None:
        """Cut out the value by its length, strictly; hiredis reads what stands around it."""
        # Danger: hiredis believes any length, holds all that comes for it, and does not look whether a
        # value ends where it should: a wrong length would serve a part of it, or eat what follows.
        if not (self._left or self._plain or self._buffer) and self._usual(data):
            return
        if self._left:
            data = self._pass_on(data)
            if not data:
                return
        elif not self._plain:
            self._buffer += data
            rest = self._cut()
            if rest is None:
                return
            data, self._plain = rest, True
            self._buffer.clear()
        self._came += len(data)
        self._reader.feed(data)
        self._read()

    def _usual(self, data: bytes) -> bool:
        """Take a usual answer that is whole and alone in `data`; returns whether it was one."""
        begin = USUAL_BEGIN.match(data)
        if begin is None:
            return False
        elements, start, end = int(begin[1]), begin.end(), begin.end()
        if begin[2] is None:
            end += int(begin[3])
            if data[end : end + 2] != CRLF or end - start > MAX_VALUE:
                return False
            end += 2
        rest = USUAL_END[elements - 1].fullmatch(data, end)
        if rest is None:
            return False
        note = report = None
        if elements > 1:
            note = rest[1]
            if data[end + 1] - 48 != len(note):
                return False
        if elements > 2:
            report = rest[3]
            if int(rest[2]) != len(report):
                return False
        told = None if note is None else _NOTES.get(note)
        if begin[2] is None:  # the value goes on as it stands, between its length and its end
            self.finish(Outcome.OK, data[start - len(begin[3]) - 3 : end], told, report)
        else:
            self.finish(Outcome.MISS, None, told, report)
        return True

    def _cut(self) -> bytes | None:
        """What hiredis shall read once the value is whole; None until then."""
        held = self._buffer
        if held[0] != 42 or b"\n$-1\r" in held[:9]:
            return bytes(held)
        header = HEADER.match(held)
        if header is None:
            # Danger: a miss may come in two reads that part amid its "$-1"; what is there so far is no fault.
            begun = NIL.startswith(held[4 : 4 + len(NIL)])
            if len(held) >= LONGEST_HEADER or (b"\n$-" in held[:9] and not begun):
                self.spoil("sent an answer with a broken header")
            return None
        start, length = header.end(), int(header[1])
        if length > LONGEST_VALUE:
            self.spoil("sent a value that is too long")
            return None
        if length > MAX_VALUE:
            first, self._elements = bytes(held[start:]), bytes(held[:4])
            held.clear()
            self._left = length + len(CRLF)
            self.value_begins(length)
            return self._pass_on(first) or None
        end = start + length
        if len(held) < end + 2:
            return None
        if held[end : end + 2] != CRLF:
            self.spoil("sent a value of another length than it says")
            return None
        self._value = bulk(bytes(held[start:end]))
        return _without_value(held[:4], held[end + 2 :])

    def _pass_on(self, data: bytes) -> bytes:
        """Pass a part of a long value on; returns what hiredis shall read, once all of it has come."""
        size = min(len(data), self._left - len(CRLF))
        if size and self.exchange is not None:
            self.exchange.value_part(data[:size])
        self._left -= size
        self._buffer += data[size:]
        if self.exchange is None or self._left > len(CRLF) or len(self._buffer) < len(CRLF):
            return b""
        if self._buffer[:2] != CRLF:
            self.spoil("sent a value of another length than it says")
            return b""
        rest = _without_value(self._elements, self._buffer[2:])
        self._left, self._plain = 0, True
        self._buffer.clear()
        self.exchange.value_complete()
        return rest

    def _read(self) -> None:
        try:
            answer = self._reader.gets()
        except hiredis.HiredisError as error:
            self.spoil(f"broke the protocol: {error}")
            return
        if answer is False:
            if self._came > MAX_REST:
                self.spoil("sent more beside the value than an answer has")
            return
        # Danger: more bytes after the answer would be taken for the next request's answer. The answer
        # itself is whole and good.
        self.retired = self.retired or self._reader.has_data()
        value, self._value = self._value, None
        self._plain, self._came = False, 0
        if isinstance(answer, hiredis.ReplyError):
            self._error(str(answer))
        elif isinstance(answer, list) and 1 <= len(answer) <= 3 and isinstance(answer[0], bytes | None):
            note = answer[1] if len(answer) > 1 else None
            report = answer[2] if len(answer) > 2 and isinstance(answer[2], bytes) else None
            outcome = Outcome.OK if value is not None or self.streaming else Outcome.MISS
            self.finish(outcome, value, _NOTES.get(note) if isinstance(note, bytes) else None, report)
        elif isinstance(answer, bytes) and self.exchange is not None and self.exchange.is_health_check:
            self.finish(Outcome.OK, None, None, answer)
        else:
            self.spoil("sent an answer of an unknown form")

    def _error(self, text: str) -> None:
        """An error line; a load report may stand last in it."""
        last = text.rpartition(" ")[2]
        report = last.encode() if "=" in last else None
        if text.startswith("BUSY"):
            self.finish(Outcome.OVERLOADED, None, None, report)
        else:
            self.finish(Outcome.ERROR, None, None, report)
