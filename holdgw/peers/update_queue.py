"""Member updates that are still to be piggybacked on messages, the most urgent first; pure."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum
from itertools import islice

JOIN_HANDICAP = 3
"""A join goes as late as a loss that was transmitted so many times more."""
FIFO_SHARE = 8
"""One in so many updates taken is the one queued first, whatever its priority: none waits for ever. The first
place of a message is never its."""


class Priority(IntEnum):
    """What an update says, the most urgent first."""

    REFUTATION = 0
    """A suspicion is false, or this router itself refutes or leaves. Goes before all others until it is
    transmitted its number of times: suspicions expire meanwhile."""
    LOSS = 1
    """A suspicion, a death or a leave."""
    JOIN = 2
    """A member that was gone or had left is alive."""


@dataclass(slots=True)
class _Entry:
    """A member whose update is queued."""

    priority: Priority
    remaining: int
    """Transmissions."""
    transmitted: int = 0
    """By this router, and by others to it, as far as that counts for the order."""


class UpdateQueue:
    """Members whose updates are passed on, each so many times, the least transmitted first (SWIM, 4.1).

    Of updates of one priority the one that was transmitted the fewest times is first, by this router or to it
    (the more often it was received, the fewer lack it), and of these the latest.
    """

    def __init__(self, transmissions: int) -> None:
        """`transmissions`: how often an update is passed on."""
        self._transmissions = transmissions
        self._entries: dict[int, _Entry] = {}  # by member's number, the one queued first at the front
        first_loss = transmissions + 1
        self._first_level = {
            Priority.REFUTATION: 0,
            Priority.LOSS: first_loss,
            Priority.JOIN: first_loss + JOIN_HANDICAP,
        }
        levels = self._first_level[Priority.JOIN] + transmissions + 1
        self._levels: list[dict[int, None]] = [{} for _ in range(levels)]  # in each the latest last
        self._taken_since_fifo = 0  # updates taken since the last that was taken as the one queued first

    def push(self, number: int, priority: Priority = Priority.LOSS) -> None:
        """Pass a member's update on from now on; what was queued of it is replaced."""
        self._remove(number)
        entry = _Entry(priority, self._transmissions)
        self._entries[number] = entry
        self._level(entry)[number] = None

    def renew(self, number: int, priority: Priority = Priority.LOSS) -> None:
        """Pass on in full again what has not changed: its place in the order stays where it is queued."""
        entry = self._entries.get(number)
        if entry is None:
            self.push(number, priority)
        else:
            entry.remaining = self._transmissions

    def note_received(self, number: int) -> None:
        """Another router sent the same update of this member: others' updates come first."""
        entry = self._entries.get(number)
        if entry is not None:
            self._move_back(number, entry)

    def take(self, limit: int) -> list[int]:
        """The numbers of at most so many members, the most urgent first; counts as one transmission."""
        limit = min(limit, len(self._entries))
        self._taken_since_fifo += limit
        fifo_count = max(min(self._taken_since_fifo // FIFO_SHARE, limit - 1), 0)
        self._taken_since_fifo -= fifo_count * FIFO_SHARE
        taken = dict.fromkeys(islice(self.in_order(), limit - fifo_count))
        queued_first = (number for number in self._entries if number not in taken)
        taken |= dict.fromkeys(list(islice(queued_first, fifo_count)))
        for number in taken:
            self._count_transmission(number)
        return list(taken)

    def in_order(self) -> Iterator[int]:
        """All numbers, the most urgent first; none is taken."""
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
