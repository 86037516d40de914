"""Probing: in each period one member is pinged, and without an ack also through other members; pure.

SWIM's failure detector (Das, Gupta and Motivala, 2002, sections 3.1 and 4.3), with Lifeguard's local health
(Dadgar, Phillips and Currey, 2018): a router that may be unable to receive suspects no other member.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from holdgw.peers.datagram import SERIALS, Message, MessageKind
from holdgw.peers.dissemination import Disseminator, OutgoingMessage
from holdgw.peers.local_health import MAX_SCORE, LocalHealth
from holdgw.peers.member_table import MemberTable
from holdgw.peers.timing import Timing, to_ns

MAX_PROXIES = 3  # members that are asked to probe an unresponsive one
MAX_RELAYED = 64  # open probes made for other routers


class Phase(Enum):
    """Phase of this router's own probe."""

    DIRECT = "direct"
    INDIRECT = "indirect"


@dataclass(slots=True)
class _Probe:
    """This router's own probe; at most one is open at a time."""

    sequence: int
    target: int
    phase: Phase
    due_ns: int
    proxies: int = 0
    """Members that were sent a ping request."""
    proxies_reached: int = 0
    """Members that acknowledged the ping request."""


class _RelayedProbe(NamedTuple):
    """A probe that another router requested with a ping request."""

    requester: int
    requester_sequence: int
    target: int
    expires_ns: int


class Prober:
    """Makes this router's own probes and those that other routers request."""

    def __init__(
        self,
        table: MemberTable,
        disseminator: Disseminator,
        health: LocalHealth,
        timing: Timing,
        generator: random.Random,
        on_failure: Callable[[int, int], None],
        now: int,
    ) -> None:
        """`on_failure`: called with the number of a member that acknowledged no probe, and the time, ns."""
        self._table = table
        self._disseminator = disseminator
        self._health = health
        self._timing = timing
        self._random = generator
        self._on_failure = on_failure
        self._unprobed: list[int] = []  # members not yet probed in this round
        self._probe: _Probe | None = None
        self._relayed: dict[int, _RelayedProbe] = {}  # by own sequence number
        self._sequence = generator.randrange(SERIALS)
        # The first probe is made at a random time of the interval. Otherwise routers that start together
        # would probe at the same instants for as long as they run.
        self._next_probe_ns = now + to_ns(generator.random() * timing.probe_interval)
        self._next_gone_probe_ns = now + to_ns(generator.random() * timing.gone_probe_interval)

    def tick(self, now: int) -> list[OutgoingMessage]:
        """Continue the open probe or start the next one, where due, and return the messages to send."""
        self._drop_expired_relays(now)
        messages: list[OutgoingMessage] = []
        if self._probe is not None and now >= self._probe.due_ns:
            messages += self._probe_timed_out(self._probe, now)
        if now >= self._next_probe_ns and self._probe is None:
            self._next_probe_ns = now + self._scaled_ns(self._timing.probe_interval)
            messages += self._probe_next(now)
        return messages

    def probe_gone(self, now: int) -> list[OutgoingMessage]:
        """Ping one member that is gone, where due: it may be back, or a partition may have ended."""
        if now < self._next_gone_probe_ns:
            return []
        self._next_gone_probe_ns = now + to_ns(self._timing.gone_probe_interval)
        gone = self._table.gone()
        return [self.ping(self._random.choice(gone))] if gone else []

    def ping(self, number: int) -> OutgoingMessage:
        """Return a ping whose ack is not awaited."""
        return self._disseminator.message_to(number, MessageKind.PING, self._new_sequence())

    def abandon(self, now: int) -> None:
        """Abandon the open probe after a stall of this process, as its acks may still be unread."""
        self._probe = None
        self._next_probe_ns = max(self._next_probe_ns, now)

    def _scaled_ns(self, seconds: float) -> int:
        return to_ns(seconds * self._health.probe_multiplier)

    def _new_sequence(self) -> int:
        self._sequence = (self._sequence + 1) % SERIALS
        return self._sequence

    def _probe_next(self, now: int) -> list[OutgoingMessage]:
        target = self._next_target()
        if target is None:
            return []
        due_ns = now + self._scaled_ns(self._timing.ack_timeout)
        self._probe = _Probe(self._new_sequence(), target, Phase.DIRECT, due_ns)
        return [self._disseminator.message_to(target, MessageKind.PING, self._probe.sequence)]

    def _next_target(self) -> int | None:
        """Return the next present member of the round; after the last one, a new round in random order."""
        while self._unprobed:
            number = self._unprobed.pop()
            if self._table[number].is_present:
                return number
        self._unprobed = self._table.others()
        self._random.shuffle(self._unprobed)
        return self._unprobed.pop() if self._unprobed else None

    def _probe_timed_out(self, probe: _Probe, now: int) -> list[OutgoingMessage]:
        if probe.phase is Phase.DIRECT:
            return self._probe_indirectly(probe, now)
        self._probe = None
        if probe.proxies and not probe.proxies_reached:
            # No proxy has acknowledged its request, so this router itself may be unable to receive. It must
            # not suspect the target, since others would accept the suspicion.
            self._health.degrade()
        else:
            self._on_failure(probe.target, now)
        return []

    def _probe_indirectly(self, probe: _Probe, now: int) -> list[OutgoingMessage]:
        """Ping the target again, and ask other members to ping it."""
        candidates = [number for number in self._table.others() if number != probe.target]
        proxies = self._random.sample(candidates, min(MAX_PROXIES, len(candidates)))
        probe.phase = Phase.INDIRECT
        probe.due_ns = now + self._scaled_ns(self._timing.probe_interval - self._timing.ack_timeout)
        probe.proxies = len(proxies)
        message_to = self._disseminator.message_to
        ping = message_to(probe.target, MessageKind.PING, probe.sequence)
        requests = [
            message_to(number, MessageKind.PING_REQUEST, probe.sequence, probe.target) for number in proxies
        ]
        return [ping, *requests]

    # Messages received

    def receive(self, message: Message, now: int) -> list[OutgoingMessage]:
        """Act on a ping, an ack or a ping request, and return the answers; other kinds are ignored."""
        match message.kind:
            case MessageKind.PING:
                return [self._ack(message.sender, message.sequence, self._table.own.number)]
            case MessageKind.PING_REQUEST:
                return self._relay_probe(message, now)
            case MessageKind.ACK:
                return self._receive_ack(message)
            case MessageKind.PING_REQUEST_ACK:
                if self._probe is not None and self._probe.sequence == message.sequence:
                    self._probe.proxies_reached += 1
        return []

    def _ack(self, to: int, sequence: int, target: int) -> OutgoingMessage:
        return self._disseminator.message_to(to, MessageKind.ACK, sequence, target)

    def _relay_probe(self, message: Message, now: int) -> list[OutgoingMessage]:
        """Accept a ping request, and ping its target."""
        target = message.target
        is_other = target < len(self._table) and target != self._table.own.number
        if not is_other or len(self._relayed) >= MAX_RELAYED:
            return []
        sequence = self._new_sequence()
        expires_ns = now + to_ns(self._timing.probe_interval * (1 + MAX_SCORE))
        self._relayed[sequence] = _RelayedProbe(message.sender, message.sequence, target, expires_ns)
        message_to = self._disseminator.message_to
        accepted = message_to(message.sender, MessageKind.PING_REQUEST_ACK, message.sequence)
        return [accepted, message_to(target, MessageKind.PING, sequence)]

    def _receive_ack(self, message: Message) -> list[OutgoingMessage]:
        relayed = self._relayed.get(message.sequence)
        if relayed is not None and relayed.target == message.sender:
            del self._relayed[message.sequence]
            return [self._ack(relayed.requester, relayed.requester_sequence, message.sender)]
        probe = self._probe
        if probe is None or probe.sequence != message.sequence:
            return []
        if probe.target in (message.sender, message.target):
            self._probe = None
            self._health.improve()
        return []

    def _drop_expired_relays(self, now: int) -> None:
        for sequence in [s for s, relayed in self._relayed.items() if now >= relayed.expires_ns]:
            del self._relayed[sequence]
