"""Membership of the tier by SWIM and Lifeguard: joins probing, suspicion and dissemination.

Pure: time and messages in, messages out. In each period one member is probed (`probing`). One that
acknowledges nothing is suspected, and counts as gone when it has not refuted that in time (`suspicion`).
Changes are piggybacked on probes and acks, and sent on their own (`dissemination`).

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

CONFLICT_S = 10.0  # in which two boot ids under one number count as two processes at the same time
LEAVE_FANOUT = 2 * MAX_PROXIES  # members that are notified of a leave


class Membership:
    """One router's view of its tier. Times: nanoseconds of the caller's monotonic clock."""

    def __init__(
        self,
        me: int,
        members: int,
        zone: int,
        seed: int,
        now: int,
        timing: Timing | None = None,
        update_bytes_per_s: float | None = UPDATE_BYTES_PER_S,
    ) -> None:
        """`me`: this router's number in the list of peers; `members`: the list's length.

        `update_bytes_per_s`: what updates may cost; None: no bound.
        """
        timing = timing or Timing()
        generator = random.Random(seed)
        self._table = MemberTable(me, members, zone, boot_id=generator.randrange(1, SERIALS))
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
        """How often a message under a member's number came from another process than the ones before."""
        self.false_suspicions = 0
        """Suspicions of this router that it refuted."""

    # Queries

    @property
    def number(self) -> int:
        """This router's own."""
        return self._table.own.number

    @property
    def boot_id(self) -> int:
        """Drawn at the start of this process."""
        return self._table.own.boot_id

    @property
    def incarnation(self) -> int:
        """This router's own."""
        return self._table.own.incarnation

    @property
    def members(self) -> list[Member]:
        """All members by number."""
        return self._table.members

    def changes(self) -> list[Change]:
        """What has changed since the last call, in order."""
        return self._table.take_changes()

    def state(self, number: int) -> MemberState:
        """A member's state."""
        return self._table[number].state

    def present(self) -> list[int]:
        """Members alive or suspected, this router among them."""
        return self._table.present()

    def is_present(self, number: int) -> bool:
        """Whether a member is alive or suspected."""
        return self._table[number].is_present

    def zone_of(self, number: int) -> int:
        """A member's zone, 0 until it is known."""
        return self._table[number].zone

    # Time

    def tick(self, now: int) -> list[OutgoingMessage]:
        """Act on what is due; to be called some ten times a second."""
        self._check_lateness(now)
        self._budget.refill(now)
        if self.has_left:
            return []
        for number in self._suspicions.expired(now):
            member = self._table[number]
            self._set_state(member, MemberState.GONE, member.incarnation, now)
        sends = self._prober.tick(now)
        sends += self._disseminator.tick(now)
        sends += self._prober.probe_gone(now)
        return sends

    def _check_lateness(self, now: int) -> None:
        """After this process has halted, abandon the open probe and extend all suspicions by the halt.

        Acks and refutations that came meanwhile are still unread, so that what expired during the halt says
        nothing of other members: without this, a process that resumes would suspect the whole tier.
        """
        late_ns = now - self._last_tick_ns
        self._last_tick_ns = now
        if late_ns > self._max_lateness_ns:
            self._health.degrade()
            self._prober.abandon(now)
            self._suspicions.extend(late_ns)

    def _suspect(self, number: int, now: int) -> None:
        """A member has acknowledged no probe of this router."""
        member = self._table[number]
        if member.state is MemberState.ALIVE:
            self._set_state(member, MemberState.SUSPECTED, member.incarnation, now)
        if member.state is MemberState.SUSPECTED:
            self._suspicions.add_suspector(number, self._table.own.number)

    # Messages received

    def receive(self, message: Message, now: int) -> list[OutgoingMessage]:
        """Act on a message. Its sender is as it says; the caller has checked that by the source address."""
        if message.sender == self._table.own.number:
            # Another process uses this router's number, by a mistake in a configuration. Both go on, and the
            # conflict is counted: were its messages acted on, the two would refute each other without end.
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
        """Another router suspects a member, too: passed on, so that all come to the shortest suspicion."""
        if self._suspicions.add_suspector(member.number, suspector):
            self._disseminator.queue.renew(member.number)

    def _refute(self, update: MemberUpdate) -> None:
        """Refute a false state of this router with a newer incarnation.

        Also go on from the incarnation that an earlier process of this router had come to.
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

    # The end

    def leave(self) -> list[OutgoingMessage]:
        """Leave in good order: some members are notified, and pass it on."""
        self.has_left = True
        self._table.own.state = MemberState.LEFT
        self._disseminator.queue.push(self._table.own.number, Priority.REFUTATION)
        others = self._table.others()
        receivers = self._random.sample(others, min(LEAVE_FANOUT, len(others)))
        return [self._prober.ping(number) for number in receivers]
