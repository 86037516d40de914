"""Dissemination of member updates, piggybacked on probes and acks and in messages of their own; pure.

SWIM's infection-style dissemination (Das, Gupta and Motivala, 2002, section 4.1), with a budget of bytes a
second that keeps the traffic of a router the same in a tier of any size. The most urgent updates go first.
"""

from __future__ import annotations

import random
from math import log2
from typing import NamedTuple

from holdgw.peers import compact_updates
from holdgw.peers.datagram import (
    EMPTY_BYTES,
    MAX_UPDATES,
    UPDATE_BYTES,
    MemberState,
    MemberUpdate,
    Message,
    MessageKind,
)
from holdgw.peers.member_table import MemberTable
from holdgw.peers.timing import Timing, to_ns
from holdgw.peers.update_budget import COMPACT_BYTES, UpdateBudget
from holdgw.peers.update_queue import Priority, UpdateQueue

UPDATE_FANOUT = 2  # members that a message of updates is sent to at a time
TRANSMISSION_FACTOR = 3  # transmissions of an update, per 1 + log2 of the number of members


class OutgoingMessage(NamedTuple):
    """A message to send, and the number of the member that it goes to."""

    to: int
    message: Message


def priority(before: MemberState, after: MemberState) -> Priority:
    """Return the priority of the update on a member's change of state."""
    if after is not MemberState.ALIVE:
        return Priority.LOSS
    return Priority.JOIN if before > MemberState.SUSPECTED else Priority.REFUTATION


class Disseminator:
    """Holds the queue of updates to pass on, and builds the messages that carry them."""

    def __init__(
        self, table: MemberTable, timing: Timing, generator: random.Random, budget: UpdateBudget, now: int
    ) -> None:
        self._table = table
        self._random = generator
        self._budget = budget
        self._interval_ns = to_ns(timing.update_interval)
        self._next_send_ns = now
        self._last_was_compact = False  # whether the last message that carried updates only was compact
        self.queue = UpdateQueue(int(TRANSMISSION_FACTOR * (1 + log2(len(table) + 1))))

    def message_to(self, number: int, kind: MessageKind, sequence: int, target: int = 0) -> OutgoingMessage:
        """Return a message to a member, with as many updates as the budget allows it to carry."""
        if kind is MessageKind.UPDATES:
            self._budget.spend(EMPTY_BYTES + UPDATE_BYTES)
        return OutgoingMessage(number, self._message(kind, sequence, target, self._updates_for(number)))

    def _message(
        self, kind: MessageKind, sequence: int, target: int, updates: tuple[MemberUpdate, ...]
    ) -> Message:
        own = self._table.own
        return Message(kind, own.number, own.boot_id, own.incarnation, own.zone, sequence, target, updates)

    def _updates_for(self, receiver: int) -> tuple[MemberUpdate, ...]:
        """Return the receiver's own state where it may have to refute that, then the first updates queued."""
        updates = []
        member = self._table[receiver]
        if member.state is not MemberState.ALIVE or member.incarnation:
            updates.append(member.update())
        affordable = self._budget.piggyback(len(self.queue), self.queue.urgent)
        taken = self.queue.take(min(affordable, MAX_UPDATES - 1))
        self._budget.spend(len(taken) * UPDATE_BYTES)
        updates += [self._table[number].update() for number in taken if number != receiver]
        return tuple(updates)

    def tick(self, now: int) -> list[OutgoingMessage]:
        """Return messages that carry queued updates only, where due and as far as the budget allows.

        A refutation that is only piggybacked on probes would reach all members later than the suspicion ends.
        """
        if not self.queue or now < self._next_send_ns:
            return []
        urgent = self.queue.urgent
        if self._budget.compacts(len(self.queue)) and not (urgent and self._last_was_compact):
            return self._send_compact(now)
        count = self._budget.messages(len(self.queue), urgent, UPDATE_FANOUT)
        if not count:
            return []
        self._last_was_compact = False
        self._next_send_ns = now + self._interval_ns
        others = self._table.others()
        receivers = self._random.sample(others, min(count, len(others)))
        return [self.message_to(number, MessageKind.UPDATES, 0) for number in receivers]

    def _send_compact(self, now: int) -> list[OutgoingMessage]:
        """Return a compact message to a random member, with as many queued updates as fit.

        The updates do not count as transmitted, as a router of an earlier version drops the message.
        """
        others = self._table.others()
        if not self._budget.allows_compact() or not others:
            return []
        queued = (self._table[number].update() for number in self.queue.in_order())
        updates = compact_updates.select(queued, COMPACT_BYTES - EMPTY_BYTES)
        self._budget.spend(EMPTY_BYTES + compact_updates.size_of(updates))
        self._last_was_compact = True
        for update in updates:
            self.queue.note_received(update.number)
        self._next_send_ns = now + self._interval_ns
        receiver = self._random.choice(others)
        return [OutgoingMessage(receiver, self._message(MessageKind.COMPACT_UPDATES, 0, 0, tuple(updates)))]
