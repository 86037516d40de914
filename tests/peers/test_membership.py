"""Membership of the tier: deaths, halts, partitions and false messages; and the datagrams."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from holdgw.emulators.relay_model import PeerNetworkConditions, RelayModel
from holdgw.peers import datagram
from holdgw.peers.datagram import (
    MAX_UPDATES,
    DecodeError,
    MemberState,
    MemberUpdate,
    Message,
    MessageKind,
    is_newer,
)
from holdgw.peers.membership import Membership
from holdgw.peers.timing import NS_PER_S
from holdgw.simulation.membership_tier import MembershipTier
from tests.helpers import damaged

WORDS = st.integers(0, (1 << 32) - 1)
UPDATES = st.builds(
    MemberUpdate, st.integers(0, 399), st.sampled_from(MemberState), WORDS, st.integers(0, 255)
)
MESSAGES = st.builds(
    Message,
    st.sampled_from([kind for kind in MessageKind if kind is not MessageKind.COMPACT_UPDATES]),
    st.integers(0, 399),
    WORDS,
    WORDS,
    st.integers(0, 255),
    WORDS,
    st.integers(0, 65535),
    st.lists(UPDATES, max_size=MAX_UPDATES).map(tuple),
)


def tier(members: int, seed: int = 1, calm: float = 5.0, **weather: float) -> MembershipTier:
    made = MembershipTier(
        members, seed, RelayModel(seed, lambda a, b: 0.002, PeerNetworkConditions(**weather))
    )
    made.run(calm)
    return made


def held(tier: MembershipTier, state: MemberState) -> dict[int, set[int]]:
    """By router that lives: whom it holds to be that."""
    return {
        member.number: {one.number for one in member.members if one.state is state}
        for member in tier.members
        if member is not None
    }


def all_alive(tier: MembershipTier) -> bool:
    return all(len(found) == len(tier.members) for found in held(tier, MemberState.ALIVE).values())


@given(MESSAGES)
def test_a_message_decodes_to_what_was_encoded_and_is_never_over_256_bytes(message: Message) -> None:
    data = datagram.encode(message)
    assert len(data) <= datagram.MAX_BYTES
    assert datagram.decode(data, 400) == message


@given(MESSAGES, st.data())
def test_a_message_damaged_at_any_place_is_not_decoded(message: Message, data: st.DataObject) -> None:
    with pytest.raises(DecodeError):
        datagram.decode(damaged(datagram.encode(message), data), 400)


@given(st.binary(max_size=300))
def test_random_bytes_are_not_decoded(noise: bytes) -> None:
    with pytest.raises(DecodeError):
        datagram.decode(noise, 400)


def test_updates_of_members_beyond_the_list_are_ignored_and_such_a_sender_is_refused() -> None:
    updates = (MemberUpdate(2, MemberState.GONE, 1, 0), MemberUpdate(7, MemberState.GONE, 1, 0))
    data = datagram.encode(Message(MessageKind.PING, 1, 1, 1, 0, 1, 0, updates))
    assert datagram.decode(data, 3).updates == updates[:1]
    with pytest.raises(DecodeError, match="value"):
        datagram.decode(data, 1)


@given(WORDS)
def test_every_incarnation_has_a_newer_one(one: int) -> None:
    after = (one + 1) % (1 << 32)
    assert is_newer(after, one)
    assert not is_newer(one, after)
    assert not is_newer(one, one)


def test_a_death_reaches_all_members_and_a_departure_does_so_sooner() -> None:
    one = tier(40)
    one.kill(7)
    one.leave(9)
    one.run(3.0)
    assert all(9 in found for found in held(one, MemberState.LEFT).values())
    one.run(12.0)
    assert all(found == {7} for found in held(one, MemberState.GONE).values())


def test_routers_that_resume_after_a_halt_suspect_nobody_and_are_not_held_gone() -> None:
    one = tier(40)
    wrong: list[tuple[int, int, MemberState]] = []
    one.on_change = lambda at, number, state: wrong.append((at, number, state))
    for number in range(12):
        one.stop(number)
    one.run(2.5)
    woke = one.now
    for number in range(12):
        one.go_on(number)
    before = len(wrong)
    one.run(10.0)
    assert not [w for w in wrong if w[2] is MemberState.GONE], woke
    assert not [w for w in wrong[before:] if w[0] < 12 and w[1] >= 12 and w[2] is MemberState.SUSPECTED]
    assert all_alive(one)


def test_a_router_restarted_after_its_death_is_alive_for_all_without_stored_state() -> None:
    one = tier(30)
    one.kill(4)
    one.run(15.0)
    assert all(4 in found for found in held(one, MemberState.GONE).values())
    one.start(4)
    one.run(6.0)
    assert all_alive(one)
    assert one.members[4] is not None
    assert one.members[4].incarnation > 0


def test_both_sides_of_a_healed_partition_hold_all_members_alive() -> None:
    one = tier(30)
    near, far = [f"router{n:02d}" for n in range(10)], [f"router{n:02d}" for n in range(10, 30)]
    one.relay.block(near, far, one.now / NS_PER_S + 20.0, both=True)
    one.run(20.0)
    gone = held(one, MemberState.GONE)
    assert all(gone[n] == set(range(10, 30)) for n in range(10))
    assert all(gone[n] == set(range(10)) for n in range(10, 30))
    one.run(12.0)
    assert all_alive(one)


def test_a_blocked_pair_of_routers_is_held_alive_by_indirect_probes() -> None:
    one = tier(12)
    gone: list[int] = []
    one.on_change = lambda _, number, state: gone.append(number) if state is MemberState.GONE else None
    one.relay.block(["router01"], ["router02"], one.now / NS_PER_S + 30.0, both=False)
    one.run(30.0)
    assert gone == []


@pytest.mark.parametrize("leap", [1, (1 << 31) - 1])
def test_false_deaths_are_refuted_by_each_member_named(leap: int) -> None:
    one = tier(30)
    lies = tuple(MemberUpdate(number, MemberState.GONE, leap, 0) for number in range(1, 29))
    for to in range(1, 30):
        one.say(0, to, datagram.encode(Message(MessageKind.PING, 0, 5, 0, 0, 1, 0, lies)))
    one.run(0.05)
    assert any(held(one, MemberState.GONE).values())
    one.run(8.0)
    assert all_alive(one)


def test_a_replayed_suspicion_changes_nothing_once_refuted() -> None:
    one = tier(20)
    old = datagram.encode(
        Message(MessageKind.PING, 3, 5, 0, 0, 1, 0, (MemberUpdate(8, MemberState.SUSPECTED, 0, 0),))
    )
    one.say(3, 5, old)
    one.run(6.0)
    assert all_alive(one)
    changed: list[int] = []
    one.on_change = lambda at, number, state: changed.append(number)
    for _ in range(50):
        one.say(3, 5, old)
        one.run(0.1)
    assert changed == []


def test_two_processes_under_one_number_are_counted_and_harm_no_other_member() -> None:
    one = tier(10)
    twin = Membership(3, 10, 0, 99, one.now)
    for _ in range(60):
        for send in twin.tick(one.now):
            one.say(3, send.to, datagram.encode(send.message))
        one.run(0.1)
    assert sum(member.conflicts for member in one.members if member is not None) > 0
    assert all(found <= {3} for found in held(one, MemberState.GONE).values())
    assert all(found <= {3} for found in held(one, MemberState.SUSPECTED).values())


@pytest.mark.parametrize("members", [1, 2, 3])
def test_a_tier_of_one_to_three_members_finds_all_alive_and_a_death(members: int) -> None:
    one = tier(members, calm=10.0)
    assert all_alive(one)
    one.kill(0)
    one.run(12.0)
    assert all(found == {0} for found in held(one, MemberState.GONE).values())


def test_bytes_sent_by_a_router_do_not_grow_with_the_tier() -> None:
    spent = {}
    for members in (20, 150):
        one = tier(members, loss=0.05)
        before = sum(one.bytes.values())
        one.kill(1)
        one.run(20.0)
        spent[members] = (sum(one.bytes.values()) - before) / 20.0 / members
    assert spent[150] < 250
    assert spent[150] < 2 * spent[20]
