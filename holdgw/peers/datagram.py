"""Membership messages between routers: one datagram of at most 256 bytes, with version and checksum; pure.

The layout is this project's own. PROTOCOL, "Between routers", describes its transport.
"""

from __future__ import annotations

import struct
import zlib
from enum import IntEnum
from typing import NamedTuple

from holdgw.peers import compact_updates
from holdgw.peers.member_update import DecodeError as DecodeError
from holdgw.peers.member_update import DropReason as DropReason
from holdgw.peers.member_update import MemberState as MemberState
from holdgw.peers.member_update import MemberUpdate as MemberUpdate

MAX_BYTES = 256
VERSION = 1
_HEADER = struct.Struct("!BBHIIBIHB")
"""Version, kind, sender, boot_id, incarnation, zone, sequence, target, number of updates."""
_CHECKSUM = struct.Struct("!I")
CHECKSUM_BYTES = _CHECKSUM.size
_UPDATE = struct.Struct("!HBIB")
EMPTY_BYTES = _HEADER.size + CHECKSUM_BYTES  # size of a message without updates
UPDATE_BYTES = _UPDATE.size
MAX_UPDATES = (MAX_BYTES - EMPTY_BYTES) // UPDATE_BYTES
SERIALS = 1 << 32
"""Incarnations and sequence numbers wrap around at this value."""


class MessageKind(IntEnum):
    """Kind of a membership message."""

    PING = 1
    ACK = 2
    PING_REQUEST = 3
    """Asks the receiver to ping `target` on behalf of the sender (SWIM's ping-req)."""
    PING_REQUEST_ACK = 4
    """Acknowledges a PING_REQUEST at once, before the target has answered, which shows that the path between
    requester and proxy works. Its absence means the same as a missing nack in Lifeguard.
    """
    UPDATES = 5
    """Carries member updates only, and is not answered."""
    COMPACT_UPDATES = 6
    """Like UPDATES, encoded by `compact_updates`; routers of earlier versions drop it."""


class Message(NamedTuple):
    """A membership message. `boot_id` is drawn at each start of a process; `sequence` identifies a probe."""

    kind: MessageKind
    sender: int
    boot_id: int
    incarnation: int
    zone: int
    sequence: int
    target: int
    updates: tuple[MemberUpdate, ...] = ()


def is_newer(a: int, b: int) -> bool:
    """Whether incarnation `a` is newer than `b` by serial number arithmetic (RFC 1982).

    Every incarnation has a newer one under this order.
    """
    return 0 < (a - b) % SERIALS < SERIALS // 2


def encode(message: Message) -> bytes:
    """Encode a message with at most MAX_UPDATES updates, or as many as `compact_updates.select` returned."""
    if message.kind is MessageKind.COMPACT_UPDATES:
        groups = compact_updates.encode_groups(message.updates)
        return append_checksum(_HEADER.pack(VERSION, *message[:-1], 0) + groups)
    assert len(message.updates) <= MAX_UPDATES
    header = _HEADER.pack(VERSION, *message[:-1], len(message.updates))
    return append_checksum(header + b"".join(_UPDATE.pack(*update) for update in message.updates))


def append_checksum(body: bytes) -> bytes:
    """Return the datagram of a body that begins with the version."""
    return body + _CHECKSUM.pack(zlib.crc32(body))


def verify_checksum(data: bytes, min_bytes: int) -> bytes:
    """Return the body of a datagram, without its checksum.

    Raises DecodeError where the body is shorter than `min_bytes`, or the version or checksum is wrong.
    """
    if len(data) < min_bytes + _CHECKSUM.size:
        raise DecodeError(DropReason.SHORT)
    if data[0] != VERSION:
        raise DecodeError(DropReason.VERSION)
    body = data[: -_CHECKSUM.size]
    if _CHECKSUM.unpack(data[-_CHECKSUM.size :])[0] != zlib.crc32(body):
        raise DecodeError(DropReason.CHECKSUM)
    return body


def decode(data: bytes, members: int) -> Message:
    """Decode a message in a tier of `members` members; raises DecodeError."""
    body = verify_checksum(data, _HEADER.size)
    _, kind, sender, boot_id, incarnation, zone, sequence, target, count = _HEADER.unpack_from(body)
    if kind == MessageKind.COMPACT_UPDATES:
        updates = compact_updates.decode_groups(body[_HEADER.size :], members)
    else:
        updates = _decode_updates(body[_HEADER.size :], count, members)
    try:
        message = Message(MessageKind(kind), sender, boot_id, incarnation, zone, sequence, target, updates)
    except ValueError:
        raise DecodeError(DropReason.VALUE) from None
    if sender >= members:
        raise DecodeError(DropReason.VALUE)
    return message


def _decode_updates(data: bytes, count: int, members: int) -> tuple[MemberUpdate, ...]:
    if len(data) != count * UPDATE_BYTES or count > MAX_UPDATES:
        raise DecodeError(DropReason.LENGTH)
    try:
        return tuple(
            MemberUpdate(number, MemberState(state), incarnation, zone)
            for number, state, incarnation, zone in _UPDATE.iter_unpack(data)
            if number < members  # the sender's list of peers may be longer than this router's
        )
    except ValueError:
        raise DecodeError(DropReason.VALUE) from None
