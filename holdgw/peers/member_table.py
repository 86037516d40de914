"""The members of the tier in one router's view, with their states and incarnations; pure."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from holdgw.peers.datagram import MemberState, MemberUpdate

MAX_CHANGES = 4096  # state changes kept until they are taken; later ones are dropped


class Change(NamedTuple):
    """A change of a member's state in this router's view."""

    number: int
    before: MemberState
    after: MemberState


@dataclass(slots=True)
class Member:
    """One router of the tier. Times are nanoseconds of the caller's monotonic clock."""

    number: int
    state: MemberState = MemberState.ALIVE
    incarnation: int = 0
    zone: int = 0
    """0 until it is known."""
    boot_id: int = 0
    """Of the process that sent the member's latest message; 0 until there is one."""
    last_received_ns: int = 0
    """When the latest message from the member itself arrived; 0 until there is one."""

    @property
    def is_present(self) -> bool:
        """Whether the member is alive or suspected."""
        return self.state <= MemberState.SUSPECTED

    def update(self) -> MemberUpdate:
        """Return the update that tells other routers this member's state."""
        return MemberUpdate(self.number, self.state, self.incarnation, self.zone)


class MemberTable:
    """All members by number, including this router."""

    def __init__(self, own_number: int, count: int, zone: int, boot_id: int) -> None:
        """`count`: length of the list of peers; `zone` and `boot_id`: of this router."""
        self.members = [Member(number) for number in range(count)]
        self.own = self.members[own_number]
        self.own.zone = zone
        self.own.boot_id = boot_id
        self._changes: list[Change] = []

    def __len__(self) -> int:
        return len(self.members)

    def __getitem__(self, number: int) -> Member:
        return self.members[number]

    def present(self) -> list[int]:
        """Return the numbers of the members that are alive or suspected, including this router."""
        return [member.number for member in self.members if member.state <= MemberState.SUSPECTED]

    def others(self) -> list[int]:
        """Return the numbers of the members that are alive or suspected, except this router."""
        return [number for number in self.present() if number != self.own.number]

    def gone(self) -> list[int]:
        """Return the numbers of the members that are gone."""
        return [member.number for member in self.members if member.state is MemberState.GONE]

    def set_state(self, member: Member, state: MemberState, incarnation: int) -> None:
        """Set a member's state and incarnation, and record a change of state for `take_changes`."""
        before = member.state
        member.state = state
        member.incarnation = incarnation
        if before is not state and len(self._changes) < MAX_CHANGES:
            self._changes.append(Change(member.number, before, state))

    def take_changes(self) -> list[Change]:
        """Return the changes of state since the last call, oldest first."""
        changes = self._changes
        self._changes = []
        return changes
