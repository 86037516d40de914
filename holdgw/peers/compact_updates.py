"""Compact encoding of many member updates: one bitmap for each pair of state and incarnation; pure.

A rack, a zone or a region that fails or returns causes many updates that differ in the member's number only.
Zones are not sent; the receiver keeps the zones that it knows.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from itertools import groupby
from typing import NamedTuple

from holdgw.peers.member_update import DecodeError, DropReason, MemberState, MemberUpdate

_GROUP = struct.Struct("!BIHB")
"""State, incarnation, number of the bitmap's first member, length of the bitmap in bytes."""
MAX_BITMAP_BYTES = 255


class _Group(NamedTuple):
    """The bytes, of a bitmap over all members, that the members of one state and incarnation occupy."""

    first_byte: int
    last_byte: int

    @property
    def size(self) -> int:
        return _GROUP.size + self.last_byte - self.first_byte + 1

    def with_byte(self, byte: int) -> _Group:
        return _Group(min(self.first_byte, byte), max(self.last_byte, byte))


def select(updates: Iterable[MemberUpdate], max_bytes: int) -> list[MemberUpdate]:
    """Return those of the updates, in their order, whose groups fit into `max_bytes`."""
    groups: dict[tuple[MemberState, int], _Group] = {}
    selected, used = [], 0
    for update in updates:
        key, byte = (update.state, update.incarnation), update.number // 8
        before = groups.get(key)
        after = before.with_byte(byte) if before is not None else _Group(byte, byte)
        added = after.size - (before.size if before is not None else 0)
        if used + added <= max_bytes and after.last_byte - after.first_byte < MAX_BITMAP_BYTES:
            groups[key] = after
            selected.append(update)
            used += added
    return selected


def size_of(updates: Iterable[MemberUpdate]) -> int:
    """Return the encoded size of the updates, in bytes."""
    return len(encode_groups(updates))


def encode_groups(updates: Iterable[MemberUpdate]) -> bytes:
    """Encode the updates as groups, in the size that `select` assumes."""
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
    """Decode groups; updates on members beyond the list of peers are left out. Raises DecodeError."""
    updates: list[MemberUpdate] = []
    offset = 0
    while offset < len(data):
        if offset + _GROUP.size > len(data):
            raise DecodeError(DropReason.LENGTH)
        state, incarnation, first, length = _GROUP.unpack_from(data, offset)
        offset += _GROUP.size
        if offset + length > len(data) or not length:
            raise DecodeError(DropReason.LENGTH)
        try:
            member_state = MemberState(state)
        except ValueError:
            raise DecodeError(DropReason.VALUE) from None
        bits = int.from_bytes(data[offset : offset + length], "little")
        numbers = (first + bit for bit in range(length * 8) if bits >> bit & 1)
        updates += [
            MemberUpdate(number, member_state, incarnation, 0) for number in numbers if number < members
        ]
        offset += length
    return tuple(updates)
