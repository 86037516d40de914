"""Membership with a byte budget for updates: peak traffic, time to converge, and the order of updates."""

from __future__ import annotations

import asyncio
from collections import Counter
from math import log2

import pytest

from bench.slopes_failures import second_region_routers
from bench.slopes_tier import (
    TrafficPerSecond,
    membership_converged,
    one_way_delay,
    router_name,
    running_members,
)
from holdgw.emulators.relay_model import PeerNetworkConditions, RelayModel
from holdgw.peers import datagram
from holdgw.peers.datagram import MemberState, MemberUpdate, Message, MessageKind
from holdgw.peers.dissemination import TRANSMISSION_FACTOR
from holdgw.peers.gossip import PeerConfig, PeerNode
from holdgw.peers.load_view import LoadSnapshot, Observations
from holdgw.peers.membership import Membership
from holdgw.peers.timing import NS_PER_S, Timing
from holdgw.peers.update_budget import MIN_BYTES_PER_S, UPDATE_BYTES_PER_S
from holdgw.simulation.membership_tier import MembershipTier

MAX_BYTES_PER_S = 2000.0  # of a router, sent and received
PARTITION_S = 40.0
S = NS_PER_S
UPDATE_KINDS = (MessageKind.COMPACT_UPDATES, MessageKind.UPDATES)


class IdleOwner:
    """An owner of a node that never starts: none of its methods is called."""

    def take_observations(self) -> Observations:
        raise NotImplementedError

    def demands(self) -> dict[str, float]:
        raise NotImplementedError

    def apply_load_snapshot(self, snapshot: LoadSnapshot) -> None:
        raise NotImplementedError


def new_tier(size: int, seed: int = 1, rate: float | None = UPDATE_BYTES_PER_S) -> MembershipTier:
    relay = RelayModel(seed, one_way_delay, PeerNetworkConditions(loss=0.01))
    tier = MembershipTier(size, seed, relay, update_bytes_per_s=rate)
    tier.run(3.0)
    return tier


def kill_members(rate: float | None, size: int = 120) -> tuple[float, float]:
    """Kill 8 % of the routers within 5 s.

    Returns the bytes of the busiest router in its busiest second, and the seconds until all routers know.
    """
    tier = new_tier(size, rate=rate)
    traffic, started_ns = TrafficPerSecond(tier), tier.now
    dead = tier.random.sample(range(size), size * 8 // 100)
    for number in dead:
        tier.at(started_ns + int(tier.random.random() * 5 * S), lambda number=number: tier.kill(number))  # type: ignore[misc]
    alive = set(range(size)) - set(dead)
    while tier.now < started_ns + 5 * S or not (
        membership_converged(tier, alive) or tier.now > started_ns + 60 * S
    ):
        traffic.run_second()
    return traffic.max_bytes, (tier.now - started_ns) / S


def test_no_router_exceeds_its_byte_bound_when_8_percent_die_within_5_s() -> None:
    worst_bytes, took_s = kill_members(UPDATE_BYTES_PER_S)
    assert worst_bytes < MAX_BYTES_PER_S
    unbounded_bytes, took_unbounded_s = kill_members(None)
    assert unbounded_bytes > MAX_BYTES_PER_S
    assert took_s < took_unbounded_s + 5.0


def test_a_regions_return_stays_within_the_byte_bound_and_all_members_are_present_again() -> None:
    size = 80
    tier = new_tier(size)
    region = set(second_region_routers(size))
    partition_end_ns = tier.now + int(PARTITION_S * S)
    others = [router_name(n) for n in range(size) if n not in region]
    tier.relay.block(map(router_name, region), others, partition_end_ns / S, both=True)
    tier.run(PARTITION_S)
    assert not membership_converged(tier, range(size))
    traffic = TrafficPerSecond(tier)
    while not membership_converged(tier, range(size)) and tier.now < partition_end_ns + 60 * S:
        traffic.run_second()
    assert traffic.max_bytes < MAX_BYTES_PER_S
    assert tier.now < partition_end_ns + 15 * S


def test_many_deaths_reach_all_members_when_half_of_them_drop_compact_messages() -> None:
    """Half of the routers have the previous version.

    They drop compact messages, and send each update in plain form without a budget.
    """
    size, dead = 80, set(range(20))
    tier = new_tier(size)
    for number in range(0, size, 2):
        old_version = tier.members[number] = Membership(
            number, size, 0, number, tier.now, update_bytes_per_s=None
        )
        tier.start_ticking(number, old_version)
    receive = tier._receive
    dropped = 0

    def receive_or_drop(number: int, data: bytes) -> None:
        nonlocal dropped
        if number % 2 == 0 and data[1] == MessageKind.COMPACT_UPDATES:
            dropped += 1
        else:
            receive(number, data)

    tier._receive = receive_or_drop  # type: ignore[method-assign]
    tier.run(3.0)
    for number in dead:
        tier.kill(number)
    tier.run(25.0)
    assert dropped > 0
    assert membership_converged(tier, set(range(size)) - dead)


@pytest.mark.parametrize(("rate", "deaths"), [(MIN_BYTES_PER_S, 8), (UPDATE_BYTES_PER_S, 0)])
def test_no_falsely_suspected_router_is_declared_gone_with_or_without_deaths(
    rate: float, deaths: int
) -> None:
    size = 100
    tier = new_tier(size, rate=rate)
    gone: set[int] = set()
    tier.on_change = lambda _, member_number, state: (
        gone.add(member_number) if state is MemberState.GONE else None
    )
    for number in range(deaths):
        tier.kill(number)
    tier.run(3.0)  # while the dead are suspected, and their updates fill the queues
    false_updates = tuple(MemberUpdate(number, MemberState.SUSPECTED, 0, 0) for number in range(20, 30))
    for to in range(60, 64):  # four suspectors, so that suspicions are the shortest
        tier.send(50, to, datagram.encode(Message(MessageKind.UPDATES, 50, 1, 0, 0, 0, 0, false_updates)))
    tier.run(25.0)
    assert gone == set(range(deaths))
    assert sum(member.false_suspicions for member in running_members(tier)) >= 10


def member_without_budget() -> tuple[Membership, int]:
    """Return a member of 50 that sees ten others as gone and has spent its budget, and the time."""
    member, now = Membership(0, 50, 0, 1, 0), S // 20
    false_updates = tuple(MemberUpdate(number, MemberState.GONE, 0, 0) for number in range(10, 20))
    member.receive(Message(MessageKind.UPDATES, 1, 1, 0, 0, 0, 0, false_updates), now)
    for _ in range(40):
        member.receive(Message(MessageKind.PING, 1, 1, 0, 0, 7, 0), now)
    return member, now


def test_a_ping_is_answered_with_no_budget_left_and_the_ack_carries_only_a_refutation() -> None:
    member, now = member_without_budget()
    (outgoing,) = member.receive(Message(MessageKind.PING, 1, 1, 0, 0, 7, 0), now)
    assert outgoing.message.kind is MessageKind.ACK
    assert outgoing.message.updates == ()
    suspected = (MemberUpdate(0, MemberState.SUSPECTED, 0, 0),)
    (outgoing,) = member.receive(Message(MessageKind.PING, 1, 1, 0, 0, 7, 0, suspected), now)
    assert outgoing.message.updates == (MemberUpdate(0, MemberState.ALIVE, 1, 0),)


def test_an_update_sent_in_compact_messages_is_sent_in_plain_form_as_often_as_without() -> None:
    members, gone_numbers = 50, range(10, 30)
    timing = Timing(gone_probe_interval=1e6)  # else probes of members that are gone would carry updates, too
    member, plain_counts, compact_count = Membership(0, members, 0, 1, 0, timing), Counter[int](), 0
    false_updates = tuple(MemberUpdate(number, MemberState.GONE, 0, 0) for number in gone_numbers)
    now = S // 20
    outgoing_messages = member.receive(Message(MessageKind.PING, 1, 1, 0, 0, 7, 0, false_updates), now)
    while now < 60 * S:
        for outgoing in outgoing_messages:
            if outgoing.message.kind is MessageKind.COMPACT_UPDATES:
                compact_count += 1
            elif outgoing.to not in gone_numbers:
                plain_counts.update(
                    update.number for update in outgoing.message.updates if update.number in gone_numbers
                )
        now += S // 10
        outgoing_messages = member.tick(now) + member.receive(
            Message(MessageKind.PING, 1, 1, 0, 0, 7, 0), now
        )
    assert compact_count > 5
    assert {plain_counts[number] for number in gone_numbers} == {
        int(TRANSMISSION_FACTOR * (1 + log2(members + 1)))
    }


def test_a_refutation_among_many_updates_is_sent_in_both_forms_alternately() -> None:
    member, now = Membership(0, 50, 0, 1, 0), S // 20
    false_updates = [MemberUpdate(number, MemberState.GONE, 0, 0) for number in range(10, 30)]
    suspected = MemberUpdate(0, MemberState.SUSPECTED, 0, 0)
    member.receive(Message(MessageKind.UPDATES, 1, 1, 0, 0, 0, 0, (suspected, *false_updates)), now)
    update_messages = []
    while now < 3 * S:
        now += S // 10
        update_messages += [
            outgoing.message for outgoing in member.tick(now) if outgoing.message.kind in UPDATE_KINDS
        ]
    assert [message.kind for message in update_messages[:6]] == [*UPDATE_KINDS] * 3
    assert all(MemberUpdate(0, MemberState.ALIVE, 1, 0) in message.updates for message in update_messages[:6])


@pytest.mark.parametrize(("rate", "updates"), [(5000.0, 28), (UPDATE_BYTES_PER_S, 4)])
def test_a_node_uses_the_configured_update_budget(rate: float, updates: int) -> None:
    addresses = tuple(("127.0.0.1", port) for port in range(1, 51))
    config = PeerConfig(0, addresses[0], addresses, update_bytes_per_s=rate)
    loop = asyncio.new_event_loop()
    try:
        member = PeerNode(loop, config, 1, lambda: 0, IdleOwner()).membership
    finally:
        loop.close()
    false_updates = tuple(MemberUpdate(number, MemberState.GONE, 0, 0) for number in range(20, 48))
    (outgoing,) = member.receive(Message(MessageKind.PING, 1, 1, 0, 0, 7, 0, false_updates), S // 20)
    assert len(outgoing.message.updates) == updates


def test_a_leave_is_sent_with_no_budget_left() -> None:
    member, _ = member_without_budget()
    outgoing_messages = member.leave()
    assert len(outgoing_messages) == 6
    assert all(
        MemberUpdate(0, MemberState.LEFT, 0, 0) in outgoing.message.updates for outgoing in outgoing_messages
    )
