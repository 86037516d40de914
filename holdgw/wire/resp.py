"""RESP2: reads clients' commands strictly and within size limits, and encodes commands and values.

Answers of cache servers are parsed by hiredis. It is not used for commands, as these come from untrusted
clients and it allocates what a header announces, such as an array of 10**9 elements, before any element has
arrived.
"""

from __future__ import annotations

import math
import re
from functools import lru_cache

# A longer value from a cache server or the origin is streamed; a longer one from a client is refused.
MAX_BUFFERED_VALUE_BYTES = 64 << 10
MAX_VALUE_BYTES = 16 << 20  # a larger length is treated as malformed; the longest values in use have 4 MiB
MAX_ARGUMENTS = 5  # KV.SET has the most
MAX_ARGUMENT_BYTES = 4 << 10  # for each argument except the value; far more than any has
MAX_LENGTH_LINE_BYTES = 16  # the type byte, the digits and CRLF

# Fast path for the common command in one read; other input is parsed incrementally, with the same result.
_COMMON_GET = re.compile(
    rb"\*4\r\n\$6\r\nKV\.GET\r\n\$(\d{1,4})\r\n([^\r\n]*)\r\n"
    rb"\$(\d{1,3})\r\n([^\r\n]*)\r\n\$(\d{1,4})\r\n([^\r\n]*)\r\n"
)
_REQUEST_ID = re.compile(rb"[!-+\--~]{1,128}")  # printable, without space and comma
_MAX_KEY_BYTES = 1 << 10
INFO_CACHE_ENTRIES = 4096  # many, as lists differ in `d`, the client's timeout in milliseconds
MAX_CACHED_INFO_BYTES = 128  # longer lists are not cached: the cache takes 1 to 2 MB at most
_GET_FORMAT = b"*4\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n"
_SET_FORMAT = b"*5" + _GET_FORMAT[2:] + b"$%d\r\n%b\r\n"


class FramingError(Exception):
    """The client's bytes are no valid RESP2 framing; the text is sent to the client."""


class RequestInfo:
    """The list of `name=value` fields of a command, parsed; shared by commands with an equal list."""

    __slots__ = (
        "_prefix",
        "_suffix",
        "class_name",
        "has_idempotency_key",
        "is_retry",
        "size_bytes",
        "tenant",
        "timeout_ms",
    )

    def __init__(self, text: bytes) -> None:
        """Parse the list; raises ValueError with the error text for the client."""
        if not _is_printable_ascii(text) or b" " in text:
            raise ValueError("the list must be plain text without spaces")
        fields = dict[str, str]()
        for part in text.decode("ascii").split(","):
            field, _, value = part.partition("=")
            if not field or not value or field in fields:
                raise ValueError("expected a list of names and values, each once")
            fields[field] = value
        timeout = fields.get("d", "")
        if not timeout.isdecimal() or len(timeout) > 9:
            raise ValueError("d must be a number of milliseconds")
        if not fields.get("c"):
            raise ValueError("c must name a class")
        self.timeout_ms = int(timeout)
        """How long the client waits for the answer, milliseconds; 0 if its time was over as it sent this."""
        self.class_name: str = fields["c"]
        """The request class."""
        self.tenant: str | None = fields.get("t")
        self.is_retry: bool = fields.get("r") == "1"
        self.has_idempotency_key: bool = "k" in fields
        start = (b"," + text).index(b",d=") + len(b"d=")
        self._prefix, self._suffix = text[:start], text[start + len(timeout) :]  # around the value of `d`
        self.size_bytes = len(text)
        """The length of the list."""

    def with_timeout(self, timeout_ms: int) -> bytes:
        """The client's list with the value of `d` replaced by `timeout_ms` milliseconds (1 or more)."""
        return b"%b%d%b" % (self._prefix, timeout_ms, self._suffix)


# Returns the cached `RequestInfo` of an equal list. The cache is bounded in entries and entry size, as
# clients can send any number of distinct lists.
_parse_info_cached = lru_cache(maxsize=INFO_CACHE_ENTRIES)(RequestInfo)


class Command:
    """A client's KV.GET or KV.SET request; `value` is None for KV.GET."""

    __slots__ = ("id", "info", "key", "name", "value")

    def __init__(
        self, name: bytes, key: bytes, request_id: bytes, info: RequestInfo, value: bytes | None
    ) -> None:
        self.name, self.key, self.id, self.info, self.value = name, key, request_id, info, value

    @property
    def size_bytes(self) -> int:
        """The bytes of the words that change from command to command."""
        return len(self.key) + len(self.id) + self.info.size_bytes + (len(self.value) if self.value else 0)

    def drop_value(self) -> None:
        """Free the memory of the value; the command can't be sent any more, and `size_bytes` is smaller."""
        if self.value is not None:
            self.value = b""

    def encode_with_timeout(self, timeout_ms: int) -> bytes:
        """The command for a cache server, with `d` of `timeout_ms` milliseconds (1 or more)."""
        info = self.info.with_timeout(timeout_ms)
        name, key, request_id = self.name, self.key, self.id
        words = (len(name), name, len(key), key, len(request_id), request_id, len(info), info)
        if self.value is None:
            return _GET_FORMAT % words
        return _SET_FORMAT % (*words, len(self.value), self.value)


class _PartialValue:
    """The value of a command of which it is the last word, while it arrives."""

    __slots__ = ("bytes_left", "start", "words")

    def __init__(self, words: list[bytes], start: int, size: int) -> None:
        self.words = words
        """The words before the value."""
        self.start = start
        """The value's offset in the command."""
        self.bytes_left = size
        """While the value is dropped: its bytes that have not arrived."""


class CommandReader:
    """Splits a client's bytes into commands, each a list of its words, and buffers a partial command."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._start = 0  # offset of the current command in the buffer
        self._min_bytes = 1  # known minimum length of the current command
        self._partial_value: _PartialValue | None = None
        self._dropped_value: _PartialValue | None = None
        self.value_dropped = False
        """Whether the last command that was returned came without its value, an empty word in its place."""
        self.framing_error = ""
        """Why the input can't be parsed any further; empty while it can."""
        self.fed_bytes = 0
        """The bytes that were appended to the buffer so far."""

    def feed(self, data: bytes | memoryview) -> None:
        """Append received bytes to the buffer; after a framing error they are dropped."""
        if self._dropped_value is not None:
            dropped_bytes = min(len(data), self._dropped_value.bytes_left)
            self._dropped_value.bytes_left -= dropped_bytes
            data = data[dropped_bytes:]
        if not self.framing_error:
            self._buffer += data
            self.fed_bytes += len(data)

    @property
    def buffered(self) -> bytes:
        """The bytes that are buffered: of a partial command, and of complete ones not returned yet."""
        return bytes(self._buffer[self._start :])

    @property
    def buffered_count(self) -> int:
        """The number of bytes that `buffered` would return."""
        return len(self._buffer) - self._start

    @property
    def returned_bytes(self) -> int:
        """The bytes that were returned or dropped so far, an offset in all that was appended."""
        return self.fed_bytes - self.buffered_count

    @property
    def bytes_to_drop(self) -> int:
        """The bytes of a value that is dropped which have not arrived."""
        return self._dropped_value.bytes_left if self._dropped_value is not None else 0

    def discard_returned(self) -> None:
        """Free the bytes of the commands that were returned; otherwise the next incomplete one does it."""
        if self._start:
            del self._buffer[: self._start]
            self._start = 0

    @property
    def has_partial_command(self) -> bool:
        """Whether a command has arrived in part, or is buffered."""
        return len(self._buffer) > self._start or self._dropped_value is not None

    @property
    def is_dropping_value(self) -> bool:
        """Whether the command that is arriving will be returned without its value."""
        return self._dropped_value is not None

    def drop_partial_value(self) -> bool:
        """Drop the value of a command that has arrived in part, as it arrives; call it after `next_command`.

        Returns whether there is such a value. The command itself is returned once its last byte has come.
        """
        partial = self._partial_value
        if partial is None:
            return False
        value_end = min(len(self._buffer), partial.start + partial.bytes_left)
        partial.bytes_left -= value_end - partial.start
        del self._buffer[:value_end]
        self._partial_value = None
        self._dropped_value = partial
        return True

    def next_command(self) -> list[bytes] | None:
        """The next complete command; None where there is none yet, or `framing_error` is set."""
        if self.framing_error:
            return None
        self.value_dropped = False
        if self._dropped_value is not None:
            return self._end_dropped_value(self._dropped_value)
        words = None
        # A partial command is parsed again only once its known minimum length has arrived. Parsing it at each
        # byte would take time quadratic in its length.
        if len(self._buffer) - self._start >= self._min_bytes:
            try:
                words = self._parse_command()
            except FramingError as error:
                self._fail(error)
        if words is None:
            self.discard_returned()
        return words

    def _fail(self, error: FramingError) -> None:
        self.framing_error = str(error)
        self._buffer.clear()
        self._start = 0
        self._partial_value = None
        self._dropped_value = None

    def _end_dropped_value(self, dropped: _PartialValue) -> list[bytes] | None:
        """The command whose value was dropped; None while its end is missing, or is wrong."""
        if dropped.bytes_left or len(self._buffer) < len(b"\r\n"):
            return None
        if not self._buffer.startswith(b"\r\n"):
            self._fail(FramingError("bulk string without its end"))
            return None
        self._start, self._min_bytes = len(b"\r\n"), 1
        self._dropped_value = None
        self.value_dropped = True
        return [*dropped.words, b""]

    def _parse_command(self) -> list[bytes] | None:
        data, begin = self._buffer, self._start
        self._partial_value = None
        common = self._parse_common_get(data, begin)
        if common is not None:
            return common
        count, position = self._parse_length_line(data, begin, b"*")
        if position and not 1 <= count <= MAX_ARGUMENTS:
            raise FramingError("invalid multibulk length")
        words: list[bytes] = []
        while position and len(words) < count:
            size, start = self._parse_length_line(data, position, b"$")
            if not start:
                position = 0
                break
            position = start + size + 2
            if size > MAX_BUFFERED_VALUE_BYTES or (
                len(words) < MAX_ARGUMENTS - 1 and size > MAX_ARGUMENT_BYTES
            ):
                raise FramingError("invalid bulk length")
            if len(data) < position:
                self._min_bytes = position - begin
                if len(words) == MAX_ARGUMENTS - 1:
                    self._partial_value = _PartialValue(words, start - begin, size)
                return None
            if data[position - 2 : position] != b"\r\n":
                raise FramingError("bulk string without its end")
            words.append(bytes(data[start : position - 2]))
        if not position:
            self._min_bytes = len(data) - begin + 1
            return None
        self._start, self._min_bytes = position, 1
        return words

    def _parse_common_get(self, data: bytearray, begin: int) -> list[bytes] | None:
        common = _COMMON_GET.match(data, begin)
        if common is None:
            return None
        key, request_id, info = common[2], common[4], common[6]
        lengths = int(common[1]), int(common[3]), int(common[5])
        if lengths != (len(key), len(request_id), len(info)) or max(lengths) > MAX_ARGUMENT_BYTES:
            return None
        self._start, self._min_bytes = common.end(), 1
        return [b"KV.GET", key, request_id, info]

    def _parse_length_line(self, data: bytearray, begin: int, mark: bytes) -> tuple[int, int]:
        """Parse a length line; returns its number and the offset behind it, (0, 0) if it is incomplete."""
        end = data.find(b"\r\n", begin, begin + MAX_LENGTH_LINE_BYTES)
        if end < 0 and len(data) - begin < MAX_LENGTH_LINE_BYTES and mark.startswith(data[begin : begin + 1]):
            return 0, 0
        digits = data[begin + 1 : end] if end > 0 else bytearray()
        if data[begin : begin + 1] != mark or not digits.isdigit():
            raise FramingError(f"expected {mark.decode()!r} and a length")
        return int(digits), end + 2


def parse_request(words: list[bytes]) -> Command:
    """Check a KV.GET or KV.SET command; raises ValueError with the error text for the client."""
    name = words[0].upper()
    if name not in (b"KV.GET", b"KV.SET"):
        raise ValueError("unknown command")
    is_write = name == b"KV.SET"
    if len(words) != (5 if is_write else 4):
        raise ValueError(f"wrong number of arguments for {name.decode()}")
    key, request_id, info = words[1:4]
    # The arguments become HTTP lines at the origin, where a line break would inject a header. A cache server
    # closes a connection on which it can't parse a command, and all requests that wait there are lost.
    if not _REQUEST_ID.fullmatch(request_id):
        raise ValueError("id must be plain text without spaces or commas")
    try:
        if not key or len(key) > _MAX_KEY_BYTES or not key.decode().isprintable() or b" " in key:
            raise ValueError("key must be text without spaces")
    except UnicodeDecodeError:
        raise ValueError("key must be text without spaces") from None
    parsed_info = _parse_info_cached(info) if len(info) <= MAX_CACHED_INFO_BYTES else RequestInfo(info)
    return Command(name, key, request_id, parsed_info, words[4] if is_write else None)


def _is_printable_ascii(word: bytes) -> bool:
    return bool(word) and word.isascii() and word.decode("ascii").isprintable()


def bulk_header(length: int) -> bytes:
    """Encode the header of a bulk string of `length` bytes; the value and CRLF follow."""
    return b"$%d\r\n" % length


def bulk(value: bytes) -> bytes:
    """Encode one bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def command(*words: bytes) -> bytes:
    """Encode one command."""
    return b"*%d\r\n%b" % (len(words), b"".join(map(bulk, words)))


def parse_load(report: bytes, names: tuple[str, ...]) -> tuple[float, ...] | None:
    """Parse a load report.

    Returns the values of `names` in their order; None if there are no names, or if any value is missing or
    not a finite number.
    """
    try:
        values = dict(part.split("=", 1) for part in report.decode("ascii").split(","))
        load = tuple(float(values[name]) for name in names)
    except (ValueError, KeyError):
        return None
    # float() accepts inf and nan, which would make every sum that includes them inf or nan.
    return load if load and all(map(math.isfinite, load)) else None
