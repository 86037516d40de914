"""Updates of many members in few bytes: those of one state and incarnation as one bitmap; pure.

A rack, a zone or a region that fails or returns gives many updates that differ in the member's number alone.
Zones are not sent: the receiver keeps those it knows.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from itertools import groupby
from typing import NamedTuple

from holdgw.peers.member_update import DecodeError, DropReason, MemberState, MemberUpdate

_GROUP = struct.Struct("!BIHB")
"""State, incarnation, number of the bitmap's first member, bytes of the bitmap."""
MAX_BITMAP_BYTES = 255


class _Group(NamedTuple):
    """Members of one state and incarnation, those of whole bytes of a bitmap over all members."""

    first_byte: int
    last_byte: int

    @property
    def size(self) -> int:
        return _GROUP.size + self.last_byte - self.first_byte + 1

    def with_byte(self, byte: int) -> _Group:
        return _Group(min(self.first_byte, byte), max(self.last_byte, byte))


def select(updates: Iterable[MemberUpdate], max_bytes: int) -> list[MemberUpdate]:
    """Of these updates, in their order, those that go into so many bytes."""
    groups: dict[tuple[MemberState, int], _Group] = {}
    selected, used = [], 0
    for update in updates:
        key, byte = (update.state, update.incarnation), update.number // 8
        before = groups.get(key)
        after = before.with_byte(byte) if before is not None else _Group(byte, byte)
        more = after.size - (before.size if before is not None else 0)
        if used + more <= max_bytes and after.last_byte - after.first_byte < MAX_BITMAP_BYTES:
            groups[key] = after
            selected.append(update)
            used += more
    return selected


def size_of(updates: Iterable[MemberUpdate]) -> int:
    """Bytes of these updates' groups."""
    return len(encode_groups(updates))


def encode_groups(updates: Iterable[MemberUpdate]) -> bytes:
    """The bitmaps of these updates; as long as `select` holds."""
    parts = []
    for (state, incarnation), group in groupby(sorted(updates, key=_key), key=_key):
        numbers = [update.number for update in group]
        first, last = min(numbers) // 8, max(numbers) // 8
        bits = sum(1 << (number - first * 8) for number in set(numbers))
        length = last - first + 1
        parts.append(_GROUP.pack(state, incarnation, first * 8, length) + bits.to_bytes(length, "little"))
    return b"".join(parts)


def _key(update: MemberUpdate) -> tuple[MemberState, int]:
    return update.state, update.incarnation


def decode_groups(data: bytes, members: int) -> tuple[MemberUpdate, ...]:
    """The updates of bitmaps, of members there are; raises DecodeError."""
    found: list[MemberUpdate] = []
    at = 0
    while at < len(data):
        if at + _GROUP.size > len(data):
            raise DecodeError(DropReason.LENGTH)
        state, incarnation, first, length = _GROUP.unpack_from(data, at)
        at += _GROUP.size
        if at + length > len(data) or not length:
            raise DecodeError(DropReason.LENGTH)
        try:
            member_state = MemberState(state)
        except ValueError:
            raise DecodeError(DropReason.VALUE) from None
        bits = int.from_bytes(data[at : at + length], "little")
        numbers = (first + place for place in range(length * 8) if bits >> place & 1)
        found += [
            MemberUpdate(number, member_state, incarnation, 0) for number in numbers if number < members
        ]
        at += length
    return tuple(found)
