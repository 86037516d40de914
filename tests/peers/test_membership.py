"""Membership of the tier: deaths, stalls, partitions and false messages; and the encoding of messages."""

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


def new_tier(members: int, seed: int = 1, settle_s: float = 5.0, **conditions: float) -> MembershipTier:
    tier = MembershipTier(
        members, seed, RelayModel(seed, lambda a, b: 0.002, PeerNetworkConditions(**conditions))
    )
    tier.run(settle_s)
    return tier


def numbers_in_state(tier: MembershipTier, state: MemberState) -> dict[int, set[int]]:
    """Return, for each live router, the numbers of the members that are in this state in its view."""
    return {
        router.number: {member.number for member in router.members if member.state is state}
        for router in tier.members
        if router is not None
    }


def all_alive(tier: MembershipTier) -> bool:
    return all(
        len(alive_numbers) == len(tier.members)
        for alive_numbers in numbers_in_state(tier, MemberState.ALIVE).values()
    )


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


def test_updates_of_members_beyond_the_list_are_ignored_and_such_a_sender_is_rejected() -> None:
    updates = (MemberUpdate(2, MemberState.GONE, 1, 0), MemberUpdate(7, MemberState.GONE, 1, 0))
    data = datagram.encode(Message(MessageKind.PING, 1, 1, 1, 0, 1, 0, updates))
    assert datagram.decode(data, 3).updates == updates[:1]
    with pytest.raises(DecodeError, match="value"):
        datagram.decode(data, 1)


@given(WORDS)
def test_every_incarnation_has_a_newer_one(incarnation: int) -> None:
    after = (incarnation + 1) % (1 << 32)
    assert is_newer(after, incarnation)
    assert not is_newer(incarnation, after)
    assert not is_newer(incarnation, incarnation)


def test_a_death_reaches_all_members_and_a_leave_does_so_sooner() -> None:
    tier = new_tier(40)
    tier.kill(7)
    tier.leave(9)
    tier.run(3.0)
    assert all(9 in numbers for numbers in numbers_in_state(tier, MemberState.LEFT).values())
    tier.run(12.0)
    assert all(numbers == {7} for numbers in numbers_in_state(tier, MemberState.GONE).values())


def test_routers_that_resume_after_a_stall_suspect_no_other_and_are_not_declared_gone() -> None:
    tier = new_tier(40)
    changes: list[tuple[int, int, MemberState]] = []
    tier.on_change = lambda at, number, state: changes.append((at, number, state))
    for number in range(12):
        tier.stop(number)
    tier.run(2.5)
    resumed_at = tier.now
    for number in range(12):
        tier.resume(number)
    changes_before_resume = len(changes)
    tier.run(10.0)
    assert not [change for change in changes if change[2] is MemberState.GONE], resumed_at
    assert not [
        change
        for change in changes[changes_before_resume:]
        if change[0] < 12 and change[1] >= 12 and change[2] is MemberState.SUSPECTED
    ]
    assert all_alive(tier)


def test_a_router_restarted_after_its_death_is_alive_for_all_without_stored_state() -> None:
    tier = new_tier(30)
    tier.kill(4)
    tier.run(15.0)
    assert all(4 in numbers for numbers in numbers_in_state(tier, MemberState.GONE).values())
    tier.start(4)
    tier.run(6.0)
    assert all_alive(tier)
    assert tier.members[4] is not None
    assert tier.members[4].incarnation > 0


def test_both_sides_of_a_healed_partition_see_all_members_alive() -> None:
    tier = new_tier(30)
    near, far = [f"router{n:02d}" for n in range(10)], [f"router{n:02d}" for n in range(10, 30)]
    tier.relay.block(near, far, tier.now / NS_PER_S + 20.0, both=True)
    tier.run(20.0)
    gone = numbers_in_state(tier, MemberState.GONE)
    assert all(gone[n] == set(range(10, 30)) for n in range(10))
    assert all(gone[n] == set(range(10)) for n in range(10, 30))
    tier.run(12.0)
    assert all_alive(tier)


def test_indirect_probes_keep_a_blocked_pair_of_routers_alive() -> None:
    tier = new_tier(12)
    gone: list[int] = []
    tier.on_change = lambda _, number, state: gone.append(number) if state is MemberState.GONE else None
    tier.relay.block(["router01"], ["router02"], tier.now / NS_PER_S + 30.0, both=False)
    tier.run(30.0)
    assert gone == []


@pytest.mark.parametrize("incarnation", [1, (1 << 31) - 1])
def test_false_deaths_are_refuted_by_each_member_named(incarnation: int) -> None:
    tier = new_tier(30)
    false_updates = tuple(MemberUpdate(number, MemberState.GONE, incarnation, 0) for number in range(1, 29))
    for to in range(1, 30):
        tier.send(0, to, datagram.encode(Message(MessageKind.PING, 0, 5, 0, 0, 1, 0, false_updates)))
    tier.run(0.05)
    assert any(numbers_in_state(tier, MemberState.GONE).values())
    tier.run(8.0)
    assert all_alive(tier)


def test_a_replayed_suspicion_changes_nothing_once_refuted() -> None:
    tier = new_tier(20)
    suspicion_data = datagram.encode(
        Message(MessageKind.PING, 3, 5, 0, 0, 1, 0, (MemberUpdate(8, MemberState.SUSPECTED, 0, 0),))
    )
    tier.send(3, 5, suspicion_data)
    tier.run(6.0)
    assert all_alive(tier)
    changed: list[int] = []
    tier.on_change = lambda at, number, state: changed.append(number)
    for _ in range(50):
        tier.send(3, 5, suspicion_data)
        tier.run(0.1)
    assert changed == []


def test_two_processes_under_one_number_are_counted_and_harm_no_other_member() -> None:
    tier = new_tier(10)
    duplicate = Membership(3, 10, 0, 99, tier.now)
    for _ in range(60):
        for outgoing in duplicate.tick(tier.now):
            tier.send(3, outgoing.to, datagram.encode(outgoing.message))
        tier.run(0.1)
    assert sum(member.conflicts for member in tier.members if member is not None) > 0
    assert all(numbers <= {3} for numbers in numbers_in_state(tier, MemberState.GONE).values())
    assert all(numbers <= {3} for numbers in numbers_in_state(tier, MemberState.SUSPECTED).values())


@pytest.mark.parametrize("members", [1, 2, 3])
def test_a_tier_of_one_to_three_members_sees_all_alive_and_detects_a_death(members: int) -> None:
    tier = new_tier(members, settle_s=10.0)
    assert all_alive(tier)
    tier.kill(0)
    tier.run(12.0)
    assert all(numbers == {0} for numbers in numbers_in_state(tier, MemberState.GONE).values())


def test_bytes_sent_by_a_router_do_not_grow_with_the_tier() -> None:
    bytes_per_s = {}
    for members in (20, 150):
        tier = new_tier(members, loss=0.05)
        bytes_before = sum(tier.bytes.values())
        tier.kill(1)
        tier.run(20.0)
        bytes_per_s[members] = (sum(tier.bytes.values()) - bytes_before) / 20.0 / members
    assert bytes_per_s[150] < 250
    assert bytes_per_s[150] < 2 * bytes_per_s[20]
