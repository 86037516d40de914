"""Who of the tier is there: SWIM (Das, Gupta and Motivala, 2002) with Lifeguard's local health (Dadgar,
Phillips and Currey, 2018); pure: time and messages in, messages out.

Each period one member is pinged, in an order drawn anew each round; without an answer others ping it in our
place; without one to them either it is suspected, and gone when it has not contradicted in time. What changes
is told along with pings and answers, so that a router says as many bytes a second however many there are.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import Enum
from math import log, log2, log10
from typing import NamedTuple

from holdgw.peers.datagram import ENTRIES_MOST, SERIALS, Entry, Kind, Message, State, newer

NS_PER_S = 1_000_000_000
LISTENERS = 2  # that are told of news at once
PROXIES = 3  # that ping a silent member in our place
HEALTH_MOST = 8  # Lifeguard's local health multiplier
CONFIRMED = 3  # others that suspect the same member, after which its time is the least
ASKED_MOST = 64  # pings in another's place that are out
TOLD_TIMES = 3  # times log2 of the members: how often a change is told
CONFLICT_S = 10.0  # in which two lives under one number are held to be at once
CHANGES_MOST = 4096


@dataclass(frozen=True, slots=True)
class Timing:
    """Seconds."""

    period: float = 1.0
    """From one ping to the next."""
    answer: float = 0.3
    """Until others are asked to ping in our place."""
    suspicion: float = 2.5
    """Least time of a suspicion, times log10 of the members: who stands still for 3 s is not gone."""
    suspicion_most: float = 3.0
    """The most, times the least: while nobody else suspects it."""
    gone_again: float = 3.0
    """From one ping of a member that is gone to the next: it may be back, or the line to it be whole."""
    news: float = 0.2
    """From one telling of news to the next, while there are any."""
    late: float = 0.25
    """By which a tick may be late; beyond it this process stood still and accuses nobody."""


class Send(NamedTuple):
    """A message to a member."""

    to: int
    message: Message


class Change(NamedTuple):
    """A member is held to be something else from now on."""

    number: int
    before: State
    now: State


class Phase(Enum):
    """Of a probe."""

    DIRECT = "direct"
    INDIRECT = "indirect"


@dataclass(slots=True)
class Member:
    """One router of the tier, as this one holds it."""

    number: int
    state: State = State.ALIVE
    incarnation: int = 0
    zone: int = 0
    life: int = 0
    heard: int = 0
    """When it last said something itself; 0: never."""
    due: int = 0
    """When a suspicion ends."""
    since: int = 0
    suspectors: set[int] = field(default_factory=set)
    told: int = 0
    """How often its last change may still be told."""

    def entry(self) -> Entry:
        """For others."""
        return Entry(self.number, self.state, self.incarnation, self.zone)


@dataclass(slots=True)
class _Probe:
    number: int
    target: int
    phase: Phase
    due: int
    asked: int = 0
    """Others that were asked to ping in our place."""
    noted: int = 0
    """Those of them that had the wish."""


class Membership:
    """One router's picture of its tier. `me` and `members`: numbers in the list of peers."""

    def __init__(
        self, me: int, members: int, zone: int, seed: int, now: int, timing: Timing | None = None
    ) -> None:
        self.me, self.zone, self.timing = me, zone, timing or Timing()
        self.incarnation = 0
        self.left = False
        self.health = 0
        self.conflicts = 0
        """How often another process under a member's number was heard amid the first."""
        self.false_suspicions = 0
        """Suspicions of this router that it contradicted."""
        self.members = [Member(number) for number in range(members)]
        self.members[me].zone = zone
        self._random = random.Random(seed)
        self.life = self._random.randrange(1, SERIALS)
        self._round: list[int] = []
        self._probe: _Probe | None = None
        self._number = self._random.randrange(SERIALS)
        # Danger: two hundred that start together would ping at the same instants for ever.
        self._next = now + int(self._random.random() * self.timing.period * NS_PER_S)
        self._again = now + int(self._random.random() * self.timing.gone_again * NS_PER_S)
        self._ticked = self._tell = now
        self._asked: dict[int, tuple[int, int, int, int]] = {}  # number -> asker, its number, target, until
        self._suspected: dict[int, None] = {}
        self._news: dict[int, None] = {}
        self._changes: list[Change] = []

    # What others want to know

    def changes(self) -> list[Change]:
        """What has changed since the last call, in order."""
        changes, self._changes = self._changes, []
        return changes

    def state(self, number: int) -> State:
        """What a member is held to be."""
        return self.members[number].state

    def present(self) -> list[int]:
        """Those that are not gone and have not left, this one among them."""
        return [member.number for member in self.members if member.state <= State.SUSPECTED]

    # Time

    def tick(self, now: int) -> list[Send]:
        """Go on; to be called some ten times a second."""
        late = now - self._ticked
        self._ticked = now
        if late > self.timing.late * NS_PER_S:
            # Danger: a process that stood still finds that nobody has answered it, and would accuse the
            # whole tier; what ran out meanwhile ran out here alone.
            self._unwell()
            self._probe = None
            for number in self._suspected:
                self.members[number].due += late
            self._next = max(self._next, now)
        if self.left:
            return []
        out: list[Send] = []
        for number in [n for n in self._suspected if now >= self.members[n].due]:
            self._turn(self.members[number], State.GONE, self.members[number].incarnation, now)
        self._drop_old_pings(now)
        if self._probe is not None and now >= self._probe.due:
            out += self._unanswered(self._probe, now)
        if now >= self._next and self._probe is None:
            self._next = now + int(self.timing.period * (1 + self.health) * NS_PER_S)
            out += self._ping_next(now)
        if self._news and now >= self._tell:
            # Danger: by pings alone a contradiction takes longer to reach all than a suspicion to run out.
            self._tell = now + int(self.timing.news * NS_PER_S)
            others = [n for n in self.present() if n != self.me]
            for number in self._random.sample(others, min(LISTENERS, len(others))):
                out.append(self._send(number, Kind.NEWS, 0))
        if now >= self._again:
            self._again = now + int(self.timing.gone_again * NS_PER_S)
            gone = [m.number for m in self.members if m.state is State.GONE]
            if gone:
                out.append(self._send(self._random.choice(gone), Kind.PING, self._new_number()))
        return out

    def _drop_old_pings(self, now: int) -> None:
        for number in [n for n, asked in self._asked.items() if now >= asked[3]]:
            del self._asked[number]

    def _ping_next(self, now: int) -> list[Send]:
        while self._round:
            number = self._round.pop()
            if self.members[number].state <= State.SUSPECTED:
                break
        else:
            self._round = [n for n in self.present() if n != self.me]
            self._random.shuffle(self._round)
            if not self._round:
                return []
            number = self._round.pop()
        due = now + int(self.timing.answer * (1 + self.health) * NS_PER_S)
        self._probe = _Probe(self._new_number(), number, Phase.DIRECT, due)
        return [self._send(number, Kind.PING, self._probe.number)]

    def _unanswered(self, probe: _Probe, now: int) -> list[Send]:
        member = self.members[probe.target]
        if probe.phase is Phase.DIRECT:
            others = [n for n in self.present() if n not in (self.me, probe.target)]
            probe.phase = Phase.INDIRECT
            probe.due = now + int((self.timing.period - self.timing.answer) * (1 + self.health) * NS_PER_S)
            asked = self._random.sample(others, min(PROXIES, len(others)))
            probe.asked = len(asked)
            again = [self._send(probe.target, Kind.PING, probe.number)]
            return again + [self._send(n, Kind.PING_FOR_ME, probe.number, probe.target) for n in asked]
        self._probe = None
        if probe.asked and not probe.noted:
            # Danger: one who can speak and hears nobody would accuse the whole tier, and be believed.
            self._unwell()
            return []
        if member.state is State.ALIVE:
            self._turn(member, State.SUSPECTED, member.incarnation, now)
        if member.state is State.SUSPECTED:
            self._suspects(member, self.me, now)
        return []

    def _unwell(self) -> None:
        self.health = min(self.health + 1, HEALTH_MOST)

    def _new_number(self) -> int:
        self._number = (self._number + 1) % SERIALS
        return self._number

    # What comes

    def took(self, message: Message, now: int) -> list[Send]:
        """A message came; who it is from is as the message says, and is believed of its sender alone."""
        sender = self.members[message.sender]
        if message.sender == self.me:
            # Danger: two processes under one number would speak against each other without end. Each goes on,
            # and says so; it could do harm to the true one if the other were obeyed.
            if message.life != self.life:
                self.conflicts += 1
            return []
        self._heard(sender, message, now)
        for entry in message.entries:
            self._told(entry, message.sender, now)
        if self.left:
            return []
        match message.kind:
            case Kind.PING:
                return [self._send(message.sender, Kind.ACK, message.number, self.me)]
            case Kind.PING_FOR_ME:
                return self._ping_for(message, now)
            case Kind.ACK:
                return self._answered(message)
            case Kind.NOTED:
                if self._probe is not None and self._probe.number == message.number:
                    self._probe.noted += 1
        return []

    def _heard(self, sender: Member, message: Message, now: int) -> None:
        soon = sender.heard and now - sender.heard < CONFLICT_S * NS_PER_S
        if (
            sender.life
            and message.life != sender.life
            and soon
            and not newer(message.incarnation, sender.incarnation)
        ):
            self.conflicts += 1
        sender.heard, sender.life = now, message.life
        if newer(message.incarnation, sender.incarnation):
            self._turn(sender, State.ALIVE, message.incarnation, now)
        if message.incarnation == sender.incarnation:
            sender.zone = message.zone

    def _told(self, entry: Entry, teller: int, now: int) -> None:
        if entry.number == self.me:
            self._told_of_me(entry)
            return
        member = self.members[entry.number]
        later = newer(entry.incarnation, member.incarnation)
        same = entry.incarnation == member.incarnation
        if later or (same and entry.state > member.state):
            member.zone = entry.zone
            self._turn(member, entry.state, entry.incarnation, now)
        if same and entry.state is State.SUSPECTED and member.state is State.SUSPECTED:
            self._suspects(member, teller, now)

    def _told_of_me(self, entry: Entry) -> None:
        """Contradict what is false; and go on from what an earlier life of this router had come to."""
        wrong = entry.state is not State.ALIVE and not newer(self.incarnation, entry.incarnation)
        if self.left or not (wrong or newer(entry.incarnation, self.incarnation)):
            return
        if entry.state is State.SUSPECTED:
            self.false_suspicions += 1
            self._unwell()
        self.incarnation = (entry.incarnation + 1) % SERIALS
        mine = self.members[self.me]
        mine.incarnation = self.incarnation
        self._spread(mine)

    def _ping_for(self, message: Message, now: int) -> list[Send]:
        if message.about >= len(self.members) or message.about == self.me or len(self._asked) >= ASKED_MOST:
            return []
        number = self._new_number()
        until = now + int(self.timing.period * (1 + HEALTH_MOST) * NS_PER_S)
        self._asked[number] = (message.sender, message.number, message.about, until)
        noted = self._send(message.sender, Kind.NOTED, message.number)
        return [noted, self._send(message.about, Kind.PING, number)]

    def _answered(self, message: Message) -> list[Send]:
        asked = self._asked.get(message.number)
        if asked is not None and asked[2] == message.sender:
            del self._asked[message.number]
            return [self._send(asked[0], Kind.ACK, asked[1], message.sender)]
        probe = self._probe
        if (
            probe is not None
            and probe.number == message.number
            and probe.target in (message.sender, message.about)
        ):
            self._probe = None
            self.health = max(self.health - 1, 0)
        return []

    # What is held of a member

    def _turn(self, member: Member, state: State, incarnation: int, now: int) -> None:
        before = member.state
        member.state, member.incarnation = state, incarnation
        self._suspected.pop(member.number, None)
        member.suspectors.clear()
        if state is State.SUSPECTED:
            self._suspected[member.number] = None
            member.since = now
            self._set_due(member)
        if before is not state and len(self._changes) < CHANGES_MOST:
            self._changes.append(Change(member.number, before, state))
        self._spread(member)

    def _spread(self, member: Member) -> None:
        member.told = int(TOLD_TIMES * (1 + log2(len(self.members) + 1)))
        self._news.pop(member.number, None)
        self._news[member.number] = None

    def _suspects(self, member: Member, who: int, now: int) -> None:
        if who in member.suspectors or len(member.suspectors) > CONFIRMED:
            return
        member.suspectors.add(who)
        self._set_due(member)
        if who != self.me:
            self._spread(member)  # each new suspector is told on, so that all come to the least time

    def _set_due(self, member: Member) -> None:
        least = self.timing.suspicion * max(log10(len(self.members) + 1), 1.0)
        most = least * self.timing.suspicion_most
        others = max(len(member.suspectors) - 1, 0)
        taken = most - (most - least) * min(log(others + 1) / log(CONFIRMED + 1), 1.0)
        # Danger: one that is unwell itself accuses others falsely; it waits for longer (Lifeguard).
        member.due = member.since + int(max(taken, least) * (1 + self.health / HEALTH_MOST) * NS_PER_S)

    # What goes

    def _send(self, to: int, kind: Kind, number: int, about: int = 0) -> Send:
        told = self._entries_for(to)
        return Send(to, Message(kind, self.me, self.life, self.incarnation, self.zone, number, about, told))

    def _entries_for(self, to: int) -> tuple[Entry, ...]:
        """What it should know of itself, then what changed last, each as often as it takes to reach all."""
        entries = []
        member = self.members[to]
        if member.state is not State.ALIVE or member.incarnation:
            entries.append(member.entry())
        for number in list(self._news)[::-1][: ENTRIES_MOST - 1]:
            one = self.members[number]
            if number != to:
                entries.append(one.entry())
            one.told -= 1
            if one.told <= 0:
                del self._news[number]
        return tuple(entries)

    def leave(self, now: int) -> list[Send]:
        """This router ends in good order: some are told, who tell the others."""
        self.left = True
        mine = self.members[self.me]
        mine.state = State.LEFT
        self._spread(mine)
        others = [n for n in self.present() if n != self.me]
        chosen = self._random.sample(others, min(2 * PROXIES, len(others)))
        return [self._send(n, Kind.PING, self._new_number()) for n in chosen]
