"""Membership of the tier by SWIM and Lifeguard, which combines probing, suspicion and dissemination.

Pure: it takes the time and the messages received, and returns messages to send. In each period one member is
probed (`probing`). A member that does not acknowledge is suspected, and counts as gone unless it refutes the
suspicion in time (`suspicion`). Changes are piggybacked on probes and acks, and also sent in messages of
their own (`dissemination`).

Sources: Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol", 2002; Dadgar, Phillips and Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
Detection", 2018.
"""

from __future__ import annotations

import random

from holdgw.peers.datagram import (
    SERIALS,
    MemberState,
    MemberUpdate,
    Message,
    MessageKind,
    is_newer,
)
from holdgw.peers.dissemination import Disseminator, OutgoingMessage, priority
from holdgw.peers.local_health import LocalHealth
from holdgw.peers.member_table import Change, Member, MemberTable
from holdgw.peers.probing import MAX_PROXIES, Prober
from holdgw.peers.suspicion import Suspicions
from holdgw.peers.timing import Timing, to_ns
from holdgw.peers.update_budget import UPDATE_BYTES_PER_S, UpdateBudget
from holdgw.peers.update_queue import Priority

CONFLICT_S = 10.0  # within this time two boot ids under one number mean two processes at once
LEAVE_FANOUT = 2 * MAX_PROXIES  # members that are notified of a leave


class Membership:
    """One router's view of its tier. Times are nanoseconds of the caller's monotonic clock."""

    def __init__(
        self,
        own_number: int,
        members: int,
        zone: int,
        seed: int,
        now: int,
        timing: Timing | None = None,
        update_bytes_per_s: float | None = UPDATE_BYTES_PER_S,
    ) -> None:
        """`own_number`: this router's index in the list of peers; `members`: the list's length.

        `update_bytes_per_s`: bound on the bytes sent for updates; None for no bound.
        """
        timing = timing or Timing()
        generator = random.Random(seed)
        self._table = MemberTable(own_number, members, zone, boot_id=generator.randrange(1, SERIALS))
        self._health = LocalHealth()
        self._suspicions = Suspicions(members, timing, self._health)
        self._budget = UpdateBudget(update_bytes_per_s, now)
        self._disseminator = Disseminator(self._table, timing, generator, self._budget, now)
        self._prober = Prober(
            self._table, self._disseminator, self._health, timing, generator, self._suspect, now
        )
        self._random = generator
        self._max_lateness_ns = to_ns(timing.max_lateness)
        self._last_tick_ns = now
        self.has_left = False
        self.conflicts = 0
        """Messages that showed two processes using one member's number at the same time."""
        self.false_suspicions = 0
        """Number of suspicions of this router that it refuted."""

    # Queries

    @property
    def number(self) -> int:
        """This router's number."""
        return self._table.own.number

    @property
    def boot_id(self) -> int:
        """This router's boot_id, drawn at the start of the process."""
        return self._table.own.boot_id

    @property
    def incarnation(self) -> int:
        """This router's incarnation."""
        return self._table.own.incarnation

    @property
    def members(self) -> list[Member]:
        """All members by number, including this router."""
        return self._table.members

    def changes(self) -> list[Change]:
        """Return the changes of members' states since the last call, oldest first."""
        return self._table.take_changes()

    def state(self, number: int) -> MemberState:
        """Return a member's state."""
        return self._table[number].state

    def present(self) -> list[int]:
        """Return the numbers of the members that are alive or suspected, including this router."""
        return self._table.present()

    def is_present(self, number: int) -> bool:
        """Whether a member is alive or suspected."""
        return self._table[number].is_present

    def zone_of(self, number: int) -> int:
        """Return a member's zone; 0 until it is known."""
        return self._table[number].zone

    # Time

    def tick(self, now: int) -> list[OutgoingMessage]:
        """Run the probes, suspicions and updates that are due, and return the messages to send.

        The caller ticks about ten times a second.
        """
        self._check_lateness(now)
        self._budget.refill(now)
        if self.has_left:
            return []
        for number in self._suspicions.expired(now):
            member = self._table[number]
            self._set_state(member, MemberState.GONE, member.incarnation, now)
        messages = self._prober.tick(now)
        messages += self._disseminator.tick(now)
        messages += self._prober.probe_gone(now)
        return messages

    def _check_lateness(self, now: int) -> None:
        """After a stall of this process, abandon the open probe and extend all suspicions by the stall.

        Acks and refutations that arrived during the stall are still unread, so the timeouts that expired
        meanwhile say nothing about other members. Otherwise a process that resumes would suspect the whole
        tier.
        """
        late_ns = now - self._last_tick_ns
        self._last_tick_ns = now
        if late_ns > self._max_lateness_ns:
            self._health.degrade()
            self._prober.abandon(now)
            self._suspicions.extend(late_ns)

    def _suspect(self, number: int, now: int) -> None:
        """Suspect a member that did not acknowledge this router's probe."""
        member = self._table[number]
        if member.state is MemberState.ALIVE:
            self._set_state(member, MemberState.SUSPECTED, member.incarnation, now)
        if member.state is MemberState.SUSPECTED:
            self._suspicions.add_suspector(number, self._table.own.number)

    # Messages received

    def receive(self, message: Message, now: int) -> list[OutgoingMessage]:
        """Act on a message, and return the answers.

        The caller has verified the message's sender by the source address.
        """
        if message.sender == self._table.own.number:
            # A misconfigured process uses this router's number. Both keep running, and the conflict is
            # counted. Acting on its messages would make the two refute each other without end.
            if message.boot_id != self.boot_id:
                self.conflicts += 1
            return []
        self._budget.refill(now)
        self._note_sender(self._table[message.sender], message, now)
        for update in message.updates:
            self._apply_update(update, message, now)
        return [] if self.has_left else self._prober.receive(message, now)

    def _note_sender(self, sender: Member, message: Message, now: int) -> None:
        newer = is_newer(message.incarnation, sender.incarnation)
        recent = sender.last_received_ns and now - sender.last_received_ns < to_ns(CONFLICT_S)
        if sender.boot_id and message.boot_id != sender.boot_id and recent and not newer:
            self.conflicts += 1
        sender.last_received_ns = now
        sender.boot_id = message.boot_id
        if newer:
            self._set_state(sender, MemberState.ALIVE, message.incarnation, now)
        if message.incarnation == sender.incarnation:
            sender.zone = message.zone

    def _apply_update(self, update: MemberUpdate, message: Message, now: int) -> None:
        if update.number == self._table.own.number:
            self._refute(update)
            return
        member = self._table[update.number]
        newer = is_newer(update.incarnation, member.incarnation)
        same = update.incarnation == member.incarnation
        if newer or (same and update.state > member.state):
            if message.kind is not MessageKind.COMPACT_UPDATES:
                member.zone = update.zone
            self._set_state(member, update.state, update.incarnation, now)
        elif same and update.state is member.state:
            self._disseminator.queue.note_received(update.number)
        if same and update.state is member.state is MemberState.SUSPECTED:
            self._confirm_suspicion(member, message.sender)

    def _confirm_suspicion(self, member: Member, suspector: int) -> None:
        """Count another router's suspicion of the member; it is passed on so that all shorten theirs."""
        if self._suspicions.add_suspector(member.number, suspector):
            self._disseminator.queue.renew(member.number)

    def _refute(self, update: MemberUpdate) -> None:
        """Refute a false state of this router with a newer incarnation.

        A newer incarnation in the update stems from an earlier process of this router; the own incarnation
        then continues from it.
        """
        newer = is_newer(update.incarnation, self.incarnation)
        false = update.state is not MemberState.ALIVE and not is_newer(self.incarnation, update.incarnation)
        if self.has_left or not (false or newer):
            return
        if update.state is MemberState.SUSPECTED:
            self.false_suspicions += 1
            self._health.degrade()
        self._table.own.incarnation = (update.incarnation + 1) % SERIALS
        self._disseminator.queue.push(self._table.own.number, Priority.REFUTATION)

    def _set_state(self, member: Member, state: MemberState, incarnation: int, now: int) -> None:
        before = member.state
        self._table.set_state(member, state, incarnation)
        if state is MemberState.SUSPECTED:
            self._suspicions.begin(member.number, now)
        else:
            self._suspicions.end(member.number)
        self._disseminator.queue.push(member.number, priority(before, state))

    # Leaving the tier

    def leave(self) -> list[OutgoingMessage]:
        """Leave the tier, and return messages that notify some members, which pass the leave on."""
        self.has_left = True
        self._table.own.state = MemberState.LEFT
        self._disseminator.queue.push(self._table.own.number, Priority.REFUTATION)
        others = self._table.others()
        receivers = self._random.sample(others, min(LEAVE_FANOUT, len(others)))
        return [self._prober.ping(number) for number in receivers]
