"""A model of membership alone, for thousands of routers in simulated time, over the relay model's links."""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Callable

from holdgw.emulators.relay_model import RelayModel
from holdgw.peers import datagram
from holdgw.peers.datagram import MemberState
from holdgw.peers.dissemination import OutgoingMessage
from holdgw.peers.membership import Membership
from holdgw.peers.timing import NS_PER_S, Timing
from holdgw.peers.update_budget import UPDATE_BYTES_PER_S
from holdgw.simulation.event_queue import EventQueue

TICK_NS = 100_000_000


class MembershipTier(EventQueue):
    """A tier of routers. A stopped one neither ticks nor receives, and reads what arrived when it resumes."""

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
        """Called with a router, another member, and the state that the router now assigns to that member."""
        for number in range(members):
            self.start(number)

    def start(self, number: int) -> None:
        """Start a new process of a router, without any state."""
        self.starts += 1
        seed = hash((self.seed, number, self.starts)) & 0x7FFFFFFF
        member = Membership(
            number, self.size, number % 3, seed, self.now, self.timing, self.update_bytes_per_s
        )
        self.start_ticking(number, member)

    def start_ticking(self, number: int, member: Membership) -> None:
        """Make a membership the router's process, and schedule its ticks."""
        self.members[number] = member
        self.stopped.pop(number, None)
        self.at(self.now + int(self.random.random() * TICK_NS), lambda: self._tick(number, member))

    def kill(self, number: int) -> None:
        """Kill a router's process; no other router is notified."""
        self.members[number] = None
        self.stopped.pop(number, None)

    def stop(self, number: int) -> None:
        """Stop a router's process."""
        self.stopped.setdefault(number, [])

    def resume(self, number: int) -> None:
        """Resume a router's process, which first reads the datagrams that arrived meanwhile."""
        for data in self.stopped.pop(number, []):
            self._receive(number, data)

    def leave(self, number: int) -> None:
        """End a router's process by a graceful shutdown: it announces that it leaves."""
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
            self._report_changes(number, member)

    def _report_changes(self, number: int, member: Membership) -> None:
        for change in member.changes():
            self.on_change(number, change.number, change.after)

    def _send(self, number: int, sends: list[OutgoingMessage]) -> None:
        for send in sends:
            self.send(number, send.to, datagram.encode(send.message))

    def send(self, number: int, to: int, data: bytes) -> None:
        """Send any bytes as a datagram from one router to another."""
        self.bytes[number] += len(data)
        self.sent[number] += 1
        names = (f"router{number:02d}", f"router{to:02d}")
        for delay in self.relay.delivery_delays(self.now / NS_PER_S, *names, len(data)):
            self.at(self.now + int(delay * NS_PER_S), lambda: self._receive(to, data))

    def _receive(self, number: int, data: bytes) -> None:
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
        self._report_changes(number, member)

    def run(self, seconds: float) -> None:
        """Run for some seconds of simulated time."""
        self.run_until(self.now + int(seconds * NS_PER_S))
