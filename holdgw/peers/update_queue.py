"""The queue of member updates that are still to be sent, ordered by urgency; pure."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum
from itertools import islice

JOIN_HANDICAP = 3
"""A join is ordered like a loss that has been transmitted this many times more."""
FIFO_SHARE = 8
"""One in this many updates taken is the oldest in the queue, whatever its priority, so that none starves. The
first update of a message is always the most urgent."""


class Priority(IntEnum):
    """Priority of an update, the most urgent first."""

    REFUTATION = 0
    """Refutes a suspicion, or tells that this router itself refutes or leaves. It goes before all others
    until its transmissions are used up, as suspicions expire meanwhile."""
    LOSS = 1
    """Tells that a member is suspected, gone or has left."""
    JOIN = 2
    """Tells that a member that was gone or had left is alive."""


@dataclass(slots=True)
class _Entry:
    """A queued update."""

    priority: Priority
    remaining: int
    """Number of transmissions left."""
    transmitted: int = 0
    """Number of transmissions by this router, and by others to it, as far as it affects the order."""


class UpdateQueue:
    """Numbers of the members whose updates are passed on, the least transmitted first (SWIM, section 4.1).

    Each update is transmitted the same number of times. Within a priority, the update with the fewest
    transmissions by this router or to it is first, as fewer members lack an update that was received more
    often. Of several such updates the latest is first.
    """

    def __init__(self, transmissions: int) -> None:
        """`transmissions`: number of times that an update is passed on."""
        self._transmissions = transmissions
        self._entries: dict[int, _Entry] = {}  # by member's number, the oldest first
        first_loss = transmissions + 1
        self._first_level = {
            Priority.REFUTATION: 0,
            Priority.LOSS: first_loss,
            Priority.JOIN: first_loss + JOIN_HANDICAP,
        }
        levels = self._first_level[Priority.JOIN] + transmissions + 1
        self._levels: list[dict[int, None]] = [{} for _ in range(levels)]  # within a level the latest last
        self._fifo_credit = 0  # updates taken since an update was last taken for its age

    def push(self, number: int, priority: Priority = Priority.LOSS) -> None:
        """Queue a member's update; it replaces a queued update of the same member."""
        self._remove(number)
        entry = _Entry(priority, self._transmissions)
        self._entries[number] = entry
        self._level(entry)[number] = None

    def renew(self, number: int, priority: Priority = Priority.LOSS) -> None:
        """Restore the transmissions of an unchanged update; if still queued, it keeps its place."""
        entry = self._entries.get(number)
        if entry is None:
            self.push(number, priority)
        else:
            entry.remaining = self._transmissions

    def note_received(self, number: int) -> None:
        """Note that another router sent the member's queued update, which then moves back in the order."""
        entry = self._entries.get(number)
        if entry is not None:
            self._move_back(number, entry)

    def take(self, limit: int) -> list[int]:
        """Return at most `limit` members, the most urgent first, and count a transmission of each update."""
        limit = min(limit, len(self._entries))
        self._fifo_credit += limit
        fifo_count = max(min(self._fifo_credit // FIFO_SHARE, limit - 1), 0)
        self._fifo_credit -= fifo_count * FIFO_SHARE
        taken = dict.fromkeys(islice(self.in_order(), limit - fifo_count))
        oldest_first = (number for number in self._entries if number not in taken)
        taken |= dict.fromkeys(list(islice(oldest_first, fifo_count)))
        for number in taken:
            self._count_transmission(number)
        return list(taken)

    def in_order(self) -> Iterator[int]:
        """Iterate over all members, the most urgent first, without taking them."""
        for level in self._levels:
            yield from reversed(level)

    def _count_transmission(self, number: int) -> None:
        entry = self._entries[number]
        entry.remaining -= 1
        if entry.remaining <= 0:
            self._remove(number)
        else:
            self._move_back(number, entry)

    def _move_back(self, number: int, entry: _Entry) -> None:
        if entry.transmitted < self._transmissions:
            del self._level(entry)[number]
            entry.transmitted += 1
            self._level(entry)[number] = None

    def _remove(self, number: int) -> None:
        entry = self._entries.pop(number, None)
        if entry is not None:
            del self._level(entry)[number]

    def _level(self, entry: _Entry) -> dict[int, None]:
        return self._levels[self._first_level[entry.priority] + entry.transmitted]

    @property
    def urgent(self) -> bool:
        """Whether a refutation is queued."""
        return any(self._levels[: self._first_level[Priority.LOSS]])

    def __len__(self) -> int:
        return len(self._entries)
