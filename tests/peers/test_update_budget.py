"""Membership under its budget of bytes for updates: the worst seconds, the time it takes, who goes first."""

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
from holdgw.emulators.relay_model import PeerWeather, RelayModel
from holdgw.peers import datagram
from holdgw.peers.datagram import MemberState, MemberUpdate, Message, MessageKind
from holdgw.peers.dissemination import TRANSMISSION_FACTOR
from holdgw.peers.gossip import PeerConfig, PeerNode
from holdgw.peers.load_view import LoadSnapshot, Observations
from holdgw.peers.membership import Membership
from holdgw.peers.timing import NS_PER_S, Timing
from holdgw.peers.update_budget import MIN_BYTES_PER_S, UPDATE_BYTES_PER_S
from holdgw.simulation.membership_tier import MembershipTier

ALLOWED = 2000.0  # bytes a second of a router, said and heard
CUT_S = 40.0
S = NS_PER_S
NEWS = (MessageKind.COMPACT_UPDATES, MessageKind.UPDATES)


class Owner:
    """A router that nothing is asked of."""

    def take_observations(self) -> Observations:
        raise NotImplementedError

    def demands(self) -> dict[str, float]:
        raise NotImplementedError

    def apply_load_snapshot(self, snapshot: LoadSnapshot) -> None:
        raise NotImplementedError


def tier(size: int, seed: int = 1, rate: float | None = UPDATE_BYTES_PER_S) -> MembershipTier:
    relay = RelayModel(seed, one_way_delay, PeerWeather(loss=0.01))
    made = MembershipTier(size, seed, relay, update_bytes_per_s=rate)
    made.run(3.0)
    return made


def some_die(rate: float | None, size: int = 120) -> tuple[float, float]:
    """8 % die within 5 s: bytes of the worst router in its worst second, seconds until all know."""
    one = tier(size, rate=rate)
    seconds, began = TrafficPerSecond(one), one.now
    dead = one.random.sample(range(size), size * 8 // 100)
    for number in dead:
        one.at(began + int(one.random.random() * 5 * S), lambda number=number: one.kill(number))  # type: ignore[misc]
    alive = set(range(size)) - set(dead)
    while one.now < began + 5 * S or not (membership_converged(one, alive) or one.now > began + 60 * S):
        seconds.run_second()
    return seconds.max_bytes, (one.now - began) / S


def test_as_8_percent_die_within_5_s_no_router_says_and_hears_more_than_it_may() -> None:
    worst, took = some_die(UPDATE_BYTES_PER_S)
    assert worst < ALLOWED
    unbounded, took_unbounded = some_die(None)
    assert unbounded > ALLOWED
    assert took < took_unbounded + 5.0


def test_a_regions_return_stays_within_the_bytes_and_all_are_one_again() -> None:
    size = 80
    one = tier(size)
    away = set(second_region_routers(size))
    until = one.now + int(CUT_S * S)
    others = [router_name(n) for n in range(size) if n not in away]
    one.relay.block(map(router_name, away), others, until / S, both=True)
    one.run(CUT_S)
    assert not membership_converged(one, range(size))
    seconds = TrafficPerSecond(one)
    while not membership_converged(one, range(size)) and one.now < until + 60 * S:
        seconds.run_second()
    assert seconds.max_bytes < ALLOWED
    assert one.now < until + 15 * S


def test_where_half_read_no_compact_messages_all_learn_of_many_deaths_and_hold_nobody_else_for_gone() -> None:
    """The version before: it drops them, and tells every update on its own without a budget."""
    size, dead = 80, set(range(20))
    one = tier(size)
    for number in range(0, size, 2):
        old = one.members[number] = Membership(number, size, 0, number, one.now, update_bytes_per_s=None)
        one.start_ticking(number, old)
    comes = one._comes
    dropped = 0

    def old_drops(number: int, data: bytes) -> None:
        nonlocal dropped
        if number % 2 == 0 and data[1] == MessageKind.COMPACT_UPDATES:
            dropped += 1
        else:
            comes(number, data)

    one._comes = old_drops  # type: ignore[method-assign]
    one.run(3.0)
    for number in dead:
        one.kill(number)
    one.run(25.0)
    assert dropped > 0
    assert membership_converged(one, set(range(size)) - dead)


@pytest.mark.parametrize(("rate", "deaths"), [(MIN_BYTES_PER_S, 8), (UPDATE_BYTES_PER_S, 0)])
def test_no_router_that_is_wrongly_suspected_is_held_for_gone_amid_deaths_or_not(
    rate: float, deaths: int
) -> None:
    size = 100
    one = tier(size, rate=rate)
    gone: set[int] = set()
    one.on_change = lambda _, who, state: gone.add(who) if state is MemberState.GONE else None
    for number in range(deaths):
        one.kill(number)
    one.run(3.0)  # while the dead are suspected, and queues are full of them
    lies = tuple(MemberUpdate(number, MemberState.SUSPECTED, 0, 0) for number in range(20, 30))
    for to in range(60, 64):  # four tellers, so that suspicions last the least time
        one.say(50, to, datagram.encode(Message(MessageKind.UPDATES, 50, 1, 0, 0, 0, 0, lies)))
    one.run(25.0)
    assert gone == set(range(deaths))
    assert sum(member.false_suspicions for member in running_members(one)) >= 10


def member_without_budget() -> tuple[Membership, int]:
    """One of 50 that holds ten others for gone, its budget spent."""
    one, now = Membership(0, 50, 0, 1, 0), S // 20
    lies = tuple(MemberUpdate(number, MemberState.GONE, 0, 0) for number in range(10, 20))
    one.receive(Message(MessageKind.UPDATES, 1, 1, 0, 0, 0, 0, lies), now)
    for _ in range(40):
        one.receive(Message(MessageKind.PING, 1, 1, 0, 0, 7, 0), now)
    return one, now


def test_a_ping_is_answered_with_no_budget_left_and_the_answer_holds_a_refutation_alone() -> None:
    one, now = member_without_budget()
    (send,) = one.receive(Message(MessageKind.PING, 1, 1, 0, 0, 7, 0), now)
    assert send.message.kind is MessageKind.ACK
    assert send.message.updates == ()
    suspected = (MemberUpdate(0, MemberState.SUSPECTED, 0, 0),)
    (send,) = one.receive(Message(MessageKind.PING, 1, 1, 0, 0, 7, 0, suspected), now)
    assert send.message.updates == (MemberUpdate(0, MemberState.ALIVE, 1, 0),)


def test_an_update_in_compact_messages_is_still_told_on_its_own_as_often_as_without() -> None:
    members, named = 50, range(10, 30)
    timing = Timing(gone_probe_interval=1e6)  # probes of those that are gone would carry updates, too
    one, told, compact = Membership(0, members, 0, 1, 0, timing), Counter[int](), 0
    lies = tuple(MemberUpdate(number, MemberState.GONE, 0, 0) for number in named)
    now = S // 20
    sends = one.receive(Message(MessageKind.PING, 1, 1, 0, 0, 7, 0, lies), now)
    while now < 60 * S:
        for send in sends:
            if send.message.kind is MessageKind.COMPACT_UPDATES:
                compact += 1
            elif send.to not in named:
                told.update(update.number for update in send.message.updates if update.number in named)
        now += S // 10
        sends = one.tick(now) + one.receive(Message(MessageKind.PING, 1, 1, 0, 0, 7, 0), now)
    assert compact > 5
    assert {told[number] for number in named} == {int(TRANSMISSION_FACTOR * (1 + log2(members + 1)))}


def test_a_refutation_amid_many_updates_goes_in_messages_of_both_forms_by_turns() -> None:
    one, now = Membership(0, 50, 0, 1, 0), S // 20
    lies = [MemberUpdate(number, MemberState.GONE, 0, 0) for number in range(10, 30)]
    suspected = MemberUpdate(0, MemberState.SUSPECTED, 0, 0)
    one.receive(Message(MessageKind.UPDATES, 1, 1, 0, 0, 0, 0, (suspected, *lies)), now)
    news = []
    while now < 3 * S:
        now += S // 10
        news += [send.message for send in one.tick(now) if send.message.kind in NEWS]
    assert [message.kind for message in news[:6]] == [*NEWS] * 3
    assert all(MemberUpdate(0, MemberState.ALIVE, 1, 0) in message.updates for message in news[:6])


@pytest.mark.parametrize(("rate", "updates"), [(5000.0, 28), (UPDATE_BYTES_PER_S, 4)])
def test_a_node_goes_by_the_budget_of_its_configuration(rate: float, updates: int) -> None:
    addresses = tuple(("127.0.0.1", port) for port in range(1, 51))
    config = PeerConfig(0, addresses[0], addresses, update_bytes_per_s=rate)
    loop = asyncio.new_event_loop()
    try:
        one = PeerNode(loop, config, 1, lambda: 0, Owner()).membership
    finally:
        loop.close()
    lies = tuple(MemberUpdate(number, MemberState.GONE, 0, 0) for number in range(20, 48))
    (send,) = one.receive(Message(MessageKind.PING, 1, 1, 0, 0, 7, 0, lies), S // 20)
    assert len(send.message.updates) == updates


def test_a_leave_is_told_with_no_budget_left() -> None:
    one, _ = member_without_budget()
    sends = one.leave()
    assert len(sends) == 6
    assert all(MemberUpdate(0, MemberState.LEFT, 0, 0) in send.message.updates for send in sends)
