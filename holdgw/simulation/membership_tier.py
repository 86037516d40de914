"""A tier of memberships alone, over the relay's lines: thousands of routers in simulated time."""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Callable

from holdgw.emulators.relay_model import RelayModel
from holdgw.peers import datagram
from holdgw.peers.datagram import MemberState
from holdgw.peers.dissemination import Send
from holdgw.peers.membership import Membership
from holdgw.peers.timing import NS_PER_S, Timing
from holdgw.peers.update_budget import UPDATE_BYTES_PER_S
from holdgw.simulation.event_queue import EventQueue

TICK_NS = 100_000_000


class MembershipTier(EventQueue):
    """So many routers; `stopped` ones neither tick nor take anything, and read what came when they go on."""

    def __init__(
        self,
        members: int,
        seed: int,
        relay: RelayModel,
        timing: Timing | None = None,
        update_bytes_per_s: float | None = UPDATE_BYTES_PER_S,
    ) -> None:
        super().__init__()
        self.update_bytes_per_s = update_bytes_per_s
        self.relay, self.seed, self.timing = relay, seed, timing
        self.random = random.Random(f"{seed}/tier")
        self.size = members
        self.members: list[Membership | None] = [None] * members
        self.stopped: dict[int, list[bytes]] = {}
        self.bytes: dict[int, int] = defaultdict(int)
        self.sent: dict[int, int] = defaultdict(int)
        self.starts = 0
        self.on_change: Callable[[int, int, MemberState], None] = lambda _at, _number, _state: None
        """Told of what a router holds another to be from now on."""
        for number in range(members):
            self.start(number)

    def start(self, number: int) -> None:
        """A new process for this router: it knows nothing."""
        self.starts += 1
        seed = hash((self.seed, number, self.starts)) & 0x7FFFFFFF
        member = Membership(
            number, self.size, number % 3, seed, self.now, self.timing, self.update_bytes_per_s
        )
        self.start_ticking(number, member)

    def start_ticking(self, number: int, member: Membership) -> None:
        """This membership is the router's process from now on."""
        self.members[number] = member
        self.stopped.pop(number, None)
        self.at(self.now + int(self.random.random() * TICK_NS), lambda: self._tick(number, member))

    def kill(self, number: int) -> None:
        """Its process is gone without a word."""
        self.members[number] = None
        self.stopped.pop(number, None)

    def stop(self, number: int) -> None:
        """Its process stands still."""
        self.stopped.setdefault(number, [])

    def go_on(self, number: int) -> None:
        """It goes on, with what came meanwhile still to be read."""
        for data in self.stopped.pop(number, []):
            self._comes(number, data)

    def leave(self, number: int) -> None:
        """It ends in good order."""
        member = self.members[number]
        if member is not None:
            self._send(number, member.leave())
            self.kill(number)

    def _tick(self, number: int, member: Membership) -> None:
        if self.members[number] is not member:
            return
        self.at(self.now + TICK_NS, lambda: self._tick(number, member))
        if number not in self.stopped:
            self._send(number, member.tick(self.now))
            self._look(number, member)

    def _look(self, number: int, member: Membership) -> None:
        for change in member.changes():
            self.on_change(number, change.number, change.after)

    def _send(self, number: int, sends: list[Send]) -> None:
        for send in sends:
            self.say(number, send.to, datagram.encode(send.message))

    def say(self, number: int, to: int, data: bytes) -> None:
        """Send bytes from one router to another, whatever they are."""
        self.bytes[number] += len(data)
        self.sent[number] += 1
        names = (f"router{number:02d}", f"router{to:02d}")
        for delay in self.relay.delivery_delays(self.now / NS_PER_S, *names, len(data)):
            self.at(self.now + int(delay * NS_PER_S), lambda: self._comes(to, data))

    def _comes(self, number: int, data: bytes) -> None:
        if number in self.stopped:
            self.stopped[number].append(data)
            return
        member = self.members[number]
        if member is None:
            return
        try:
            message = datagram.decode(data, self.size)
        except datagram.DecodeError:
            return
        self._send(number, member.receive(message, self.now))
        self._look(number, member)

    def run(self, seconds: float) -> None:
        """Go on for so long."""
        self.run_until(self.now + int(seconds * NS_PER_S))
