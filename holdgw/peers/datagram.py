"""What routers say to one another: one datagram of 256 bytes at most, versioned and checked; pure.

The layout is this project's own; what carries it is PROTOCOL, "Between routers".
"""

from __future__ import annotations

import struct
import zlib
from enum import IntEnum
from typing import NamedTuple

MOST_BYTES = 256
VERSION = 1
_HEAD = struct.Struct("!BBHIIBIHB")  # version, kind, sender, life, incarnation, zone, number, about, entries
_SUM = struct.Struct("!I")
_ENTRY = struct.Struct("!HBIB")
ENTRIES_MOST = (MOST_BYTES - _HEAD.size - _SUM.size) // _ENTRY.size
SERIALS = 1 << 32


class State(IntEnum):
    """What a member is held to be; of two words on one incarnation the higher one stands."""

    ALIVE = 0
    SUSPECTED = 1
    GONE = 2
    LEFT = 3


class Kind(IntEnum):
    """What a datagram is."""

    PING = 1
    ACK = 2
    PING_FOR_ME = 3
    """Asks whoever gets it to ping another, `about`, in the sender's place."""
    NEWS = 5
    """Tells what has changed, and wants no answer."""
    NOTED = 4
    """Says at once that such a wish has come, whatever becomes of it: the line from here is well."""


class Entry(NamedTuple):
    """One member, as its sender holds it."""

    number: int
    state: State
    incarnation: int
    zone: int


class Message(NamedTuple):
    """One datagram. `life` is new with each start of a process, `number` is a probe's."""

    kind: Kind
    sender: int
    life: int
    incarnation: int
    zone: int
    number: int
    about: int
    entries: tuple[Entry, ...] = ()


class UnreadableError(Exception):
    """A datagram can't be read; one word says why: short, version, checksum, length or value."""


def newer(a: int, b: int) -> bool:
    """Whether incarnation `a` follows `b`: in serial number arithmetic (RFC 1982), so that nobody can claim
    the last one.
    """
    return 0 < (a - b) % SERIALS < SERIALS // 2


def write(message: Message) -> bytes:
    """The datagram; at most ENTRIES_MOST entries fit."""
    assert len(message.entries) <= ENTRIES_MOST
    head = _HEAD.pack(VERSION, *message[:-1], len(message.entries))
    return sealed(head + b"".join(_ENTRY.pack(*entry) for entry in message.entries))


def sealed(body: bytes) -> bytes:
    """The datagram of a body that begins with the version: with its checksum behind it."""
    return body + _SUM.pack(zlib.crc32(body))


def opened(data: bytes, least: int) -> bytes:
    """The body of a datagram, of at least so many bytes; raises UnreadableError."""
    if len(data) < least + _SUM.size:
        raise UnreadableError("short")
    if data[0] != VERSION:
        raise UnreadableError("version")
    body = data[: -_SUM.size]
    if _SUM.unpack(data[-_SUM.size :])[0] != zlib.crc32(body):
        raise UnreadableError("checksum")
    return body


def read(data: bytes, members: int) -> Message:
    """The message of a datagram among so many members; raises UnreadableError."""
    body = opened(data, _HEAD.size)
    _, kind, sender, life, incarnation, zone, number, about, count = _HEAD.unpack_from(body)
    if len(body) != _HEAD.size + count * _ENTRY.size or count > ENTRIES_MOST:
        raise UnreadableError("length")
    try:
        entries = tuple(
            Entry(which, State(state), since, where)
            for which, state, since, where in _ENTRY.iter_unpack(body[_HEAD.size :])
            if which < members  # other lists of peers than ours may know more
        )
        message = Message(Kind(kind), sender, life, incarnation, zone, number, about, entries)
    except ValueError:
        raise UnreadableError("value") from None
    if sender >= members:
        raise UnreadableError("value")
    return message
