"""Compact updates of many members: bitmaps by state and incarnation, alone and in a datagram."""

from __future__ import annotations

import struct
import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from holdgw.peers import compact_updates, datagram
from holdgw.peers.datagram import DecodeError, MemberState, MemberUpdate, Message, MessageKind

MEMBERS = 2000
MAX_GROUP_BYTES = datagram.MAX_BYTES - datagram.EMPTY_BYTES
UPDATES = st.lists(
    st.builds(
        MemberUpdate,
        st.integers(0, MEMBERS - 1),
        st.sampled_from(MemberState),
        st.sampled_from([0, 1, 2, (1 << 32) - 1]),
        st.just(0),
    ),
    unique_by=lambda update: update.number,
    max_size=300,
)


def message(updates: list[MemberUpdate]) -> Message:
    return Message(MessageKind.COMPACT_UPDATES, 3, 5, 1, 2, 0, 0, tuple(updates))


@given(UPDATES, st.integers(0, MAX_GROUP_BYTES))
def test_selected_updates_fit_and_decode_to_themselves(updates: list[MemberUpdate], max_bytes: int) -> None:
    selected = compact_updates.select(updates, max_bytes)
    data = compact_updates.encode_groups(selected)
    assert len(data) <= max_bytes
    assert set(compact_updates.decode_groups(data, MEMBERS)) == set(selected)
    if updates and max_bytes > MAX_GROUP_BYTES // 2:
        assert selected[0] == updates[0]  # the most urgent update


@given(UPDATES)
def test_a_compact_message_decodes_to_what_was_encoded_and_is_never_over_256_bytes(
    updates: list[MemberUpdate],
) -> None:
    sent = message(compact_updates.select(updates, MAX_GROUP_BYTES))
    data = datagram.encode(sent)
    assert len(data) <= datagram.MAX_BYTES
    decoded = datagram.decode(data, MEMBERS)
    assert set(decoded.updates) == set(sent.updates)
    assert decoded[:-1] == sent[:-1]


def test_the_deaths_of_a_region_of_760_routers_fit_into_128_bytes() -> None:
    dead = [MemberUpdate(number, MemberState.GONE, 0, 0) for number in range(1, 760, 8)]
    assert compact_updates.select(dead, 128 - datagram.EMPTY_BYTES) == dead


def test_members_beyond_the_list_are_ignored() -> None:
    dead = [MemberUpdate(number, MemberState.GONE, 7, 0) for number in (2, 7)]
    assert datagram.decode(datagram.encode(message(dead)), 5).updates == (dead[0],)


@pytest.mark.parametrize(
    "groups",
    [b"\x02", struct.pack("!BIHB", 2, 0, 0, 3) + b"ab", struct.pack("!BIHB", 2, 0, 0, 0)],
    ids=["no head", "short", "empty"],
)
def test_groups_of_a_wrong_length_are_rejected(groups: bytes) -> None:
    with pytest.raises(DecodeError, match="length"):
        compact_updates.decode_groups(groups, MEMBERS)


@given(st.binary(max_size=MAX_GROUP_BYTES))
def test_random_groups_decode_to_known_members_or_are_rejected(groups: bytes) -> None:
    header = datagram.encode(message([]))[:-4]
    data = header + groups + struct.pack("!I", zlib.crc32(header + groups))
    try:
        updates = datagram.decode(data, 50).updates
    except DecodeError:
        return
    assert all(0 <= update.number < 50 for update in updates)


def test_an_unknown_kind_is_dropped_and_so_are_groups_in_place_of_updates() -> None:
    data = datagram.encode(message([MemberUpdate(7, MemberState.GONE, 0, 0)]))
    for kind in (MessageKind.UPDATES, 99):
        body = data[:1] + bytes([kind]) + data[2:-4]
        with pytest.raises(DecodeError):
            datagram.decode(body + struct.pack("!I", zlib.crc32(body)), MEMBERS)
