"""Clients' commands off the wire: arrays of bulk strings, read strictly and within bounds.

Caches' answers are left to hiredis. For commands it would allocate whatever a header claims (an array of
a thousand million places, say) before anything of it has come, and strangers write those headers.
"""

from __future__ import annotations

import math
import re
from functools import lru_cache

MAX_VALUE = 64 << 10  # bytes that are buffered; a longer value is streamed
LONGEST_VALUE = 16 << 20  # past which a length is no length; the longest values in use have 4 MiB
MAX_PARTS = 5  # a KV.SET's
MAX_WORD = 4 << 10  # all words of a command but its value together: far more than any has
MAX_HEADER = 16  # a length line: its mark, digits and end

# The usual command in one look: what it does not match is read piece by piece, with the same result.
_GET = re.compile(
    rb"\*4\r\n\$6\r\nKV\.GET\r\n\$(\d{1,4})\r\n([^\r\n]*)\r\n"
    rb"\$(\d{1,3})\r\n([^\r\n]*)\r\n\$(\d{1,4})\r\n([^\r\n]*)\r\n"
)
_ID = re.compile(rb"[!-+\--~]{1,128}")  # printable, without space and comma
_KEY_MOST = 1 << 10
KNOWN_LISTS = 4096  # lists of names and values that are remembered; `d` differs by the millisecond
KNOWN_LENGTH = 128  # bytes of one, at most: a megabyte or two in all
_READ = b"*4\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n"
_WRITE = b"*5" + _READ[2:] + b"$%d\r\n%b\r\n"


class FramingError(Exception):
    """The stream breaks the protocol's framing; the text is for the client."""


class Info:
    """A command's list of names and values, parsed; shared by all commands that have the same list."""

    __slots__ = (
        "_prefix",
        "_suffix",
        "class_name",
        "has_idempotency_key",
        "is_retry",
        "tenant",
        "timeout_ms",
    )

    def __init__(self, text: bytes) -> None:
        """Parse the list; raises ValueError, with the text for the client."""
        if not _plain(text) or b" " in text:
            raise ValueError("the list must be plain text without spaces")
        fields = dict[str, str]()
        for part in text.decode("ascii").split(","):
            field, _, value = part.partition("=")
            if not field or not value or field in fields:
                raise ValueError("expected a list of names and values, each once")
            fields[field] = value
        timeout = fields.get("d", "")
        if not timeout.isdecimal() or len(timeout) > 9 or not int(timeout):
            raise ValueError("d must be a number of milliseconds")
        if not fields.get("c"):
            raise ValueError("c must name a class")
        self.timeout_ms = int(timeout)
        """How long the client waits for the answer, milliseconds."""
        self.class_name: str = fields["c"]
        """The request class."""
        self.tenant: str | None = fields.get("t")
        self.is_retry: bool = fields.get("r") == "1"
        self.has_idempotency_key: bool = "k" in fields
        start = (b"," + text).index(b",d=") + len(b"d=")
        self._prefix, self._suffix = text[:start], text[start + len(timeout) :]  # around the value of `d`

    def with_timeout(self, timeout_ms: int) -> bytes:
        """The list as the client wrote it, but for `d`, which is `timeout_ms` milliseconds (1 or more)."""
        return b"%b%d%b" % (self._prefix, timeout_ms, self._suffix)


# Clients can make up any number of lists: only so many are remembered, and only short ones.
_known_info = lru_cache(maxsize=KNOWN_LISTS)(Info)


class Command:
    """A request as it came, and its list of names and values taken apart."""

    __slots__ = ("id", "info", "key", "name", "value")

    def __init__(self, name: bytes, key: bytes, request: bytes, info: Info, value: bytes | None) -> None:
        self.name, self.key, self.id, self.info, self.value = name, key, request, info, value

    def encode_with_timeout(self, timeout_ms: int) -> bytes:
        """The command for a cache server, with `d` of `timeout_ms` milliseconds (1 or more)."""
        info = self.info.with_timeout(timeout_ms)
        name, key, request = self.name, self.key, self.id
        words = (len(name), name, len(key), key, len(request), request, len(info), info)
        if self.value is None:
            return _READ % words
        return _WRITE % (*words, len(self.value), self.value)


class CommandReader:
    """Cuts a client's bytes into commands, each a list of its words; buffers at most one that is partial."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._at = 0  # where the command under way begins
        self._need = 1  # bytes from there on that it is known to need
        self.framing_error = ""
        """Why the stream can't be followed any further, once that is so."""

    def feed(self, data: bytes) -> None:
        """Take bytes."""
        if not self.framing_error:
            self._buffer += data

    @property
    def buffered(self) -> bytes:
        """The bytes that are buffered: of a partial command, and of complete ones not returned yet."""
        return bytes(self._buffer[self._at :])

    @property
    def has_partial_command(self) -> bool:
        """Whether bytes of a command are buffered."""
        return len(self._buffer) > self._at

    def next_command(self) -> list[bytes] | None:
        """The next complete command; None where there is none yet, or `framing_error` is set."""
        if self.framing_error:
            return None
        words = None
        # A command that arrives byte by byte is parsed again only once the bytes it is known to need are
        # there; parsing at each byte would take time in the square of its length.
        if len(self._buffer) - self._at >= self._need:
            try:
                words = self._command()
            except FramingError as error:
                self.framing_error = str(error)
                self._buffer.clear()
                self._at = 0
        if words is None and self._at:
            del self._buffer[: self._at]
            self._at = 0
        return words

    def _command(self) -> list[bytes] | None:
        data, begin = self._buffer, self._at
        usual = _GET.match(data, begin)
        if usual is not None:
            key, request, info = usual[2], usual[4], usual[6]
            lengths = int(usual[1]), int(usual[3]), int(usual[5])
            if lengths == (len(key), len(request), len(info)) and max(lengths) <= MAX_WORD:
                self._at, self._need = usual.end(), 1
                return [b"KV.GET", key, request, info]
        count, position = self._length(data, begin, b"*")
        if position and not 1 <= count <= MAX_PARTS:
            raise FramingError("invalid multibulk length")
        words: list[bytes] = []
        while position and len(words) < count:
            size, start = self._length(data, position, b"$")
            if not start:
                position = 0
                break
            position = start + size + 2
            if size > MAX_VALUE or (len(words) < MAX_PARTS - 1 and size > MAX_WORD):
                raise FramingError("invalid bulk length")
            if len(data) < position:
                self._need = position - begin
                return None
            if data[position - 2 : position] != b"\r\n":
                raise FramingError("bulk string without its end")
            words.append(bytes(data[start : position - 2]))
        if not position:
            self._need = len(data) - begin + 1
            return None
        self._at, self._need = position, 1
        return words

    def _length(self, data: bytearray, begin: int, mark: bytes) -> tuple[int, int]:
        """A length line's number and where the line ends; 0 where it is not whole."""
        end = data.find(b"\r\n", begin, begin + MAX_HEADER)
        if end < 0 and len(data) - begin < MAX_HEADER and mark.startswith(data[begin : begin + 1]):
            return 0, 0
        digits = data[begin + 1 : end] if end > 0 else bytearray()
        if data[begin : begin + 1] != mark or not digits.isdigit():
            raise FramingError(f"expected {mark.decode()!r} and a length")
        return int(digits), end + 2


def parse_request(words: list[bytes]) -> Command:
    """Read KV.GET or KV.SET; raises ValueError with the client's error text."""
    name = words[0].upper()
    if name not in (b"KV.GET", b"KV.SET"):
        raise ValueError("unknown command")
    is_write = name == b"KV.SET"
    if len(words) != (5 if is_write else 4):
        raise ValueError(f"wrong number of arguments for {name.decode()}")
    key, request, info = words[1:4]
    # These words become HTTP lines at the origin, where a line break would forge a header; and a cache server
    # closes a connection on what it can't read, with all that waits there. So they are checked here.
    if not _ID.fullmatch(request):
        raise ValueError("id must be plain text without spaces or commas")
    try:
        if not key or len(key) > _KEY_MOST or not key.decode().isprintable() or b" " in key:
            raise ValueError("key must be text without spaces")
    except UnicodeDecodeError:
        raise ValueError("key must be text without spaces") from None
    known = _known_info(info) if len(info) <= KNOWN_LENGTH else Info(info)
    return Command(name, key, request, known, words[4] if is_write else None)


def _plain(word: bytes) -> bool:
    return bool(word) and word.isascii() and word.decode("ascii").isprintable()


def bulk_head(length: int) -> bytes:
    """Begin a bulk string of so many bytes; CRLF ends it."""
    return b"$%d\r\n" % length


def bulk(value: bytes) -> bytes:
    """Encode one bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def command(*words: bytes) -> bytes:
    """Encode one command."""
    return b"*%d\r\n%b" % (len(words), b"".join(map(bulk, words)))


def parse_load(report: bytes, names: tuple[str, ...]) -> tuple[float, ...] | None:
    """Read a load report into the order of the settings; None where a value is missing or no number."""
    try:
        values = dict(part.split("=", 1) for part in report.decode("ascii").split(","))
        load = tuple(float(values[name]) for name in names)
    except (ValueError, KeyError):
        return None
    # float() reads inf and nan, which would spoil every sum they enter.
    return load if load and all(map(math.isfinite, load)) else None
