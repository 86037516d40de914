"""Ordering of one sender's datagrams across its restarts, and rejection of replays; pure."""

from __future__ import annotations

from enum import Enum

from holdgw.peers.datagram import is_newer
from holdgw.peers.timing import NS_PER_S

REPLACED_AFTER = 3 * NS_PER_S  # silence after which another process of the sender replaces the known one
RETIRED_FOR = 10 * NS_PER_S  # silence after which a process that was replaced before may return
MAX_RETIRED = 4  # replaced processes that are remembered


class Order(Enum):
    """Order of a datagram relative to those accepted before it."""

    NEWER = "newer"
    SAME = "same"
    """The latest sequence number again: a duplicate, or another part of the same message."""
    REPLAYED = "replayed"
    """An older sequence number, or a datagram of a process that is not the sender's current one."""


class SequenceGate:
    """Accepts only datagrams that are newer than the last accepted one, by boot_id and sequence number.

    A boot_id is drawn at each start of a process, and boot_ids have no order. Another boot_id is therefore
    accepted only after a silence of the known one, so that a replay of an earlier process can't displace a
    process that is sending. A boot_id that was replaced before is accepted after a longer silence, so that a
    process that was displaced by a replay during a stall is accepted again.
    """

    __slots__ = ("_accepted_at", "_retired", "boot_id", "sequence")

    def __init__(self) -> None:
        self.boot_id: int | None = None
        self.sequence = 0
        self._accepted_at = 0
        self._retired: tuple[int, ...] = ()

    def check(self, boot_id: int, sequence: int, now: int) -> Order:
        """Return the order of a datagram; a NEWER one becomes the last accepted one."""
        if boot_id == self.boot_id:
            if sequence == self.sequence:
                return Order.SAME
            if not is_newer(sequence, self.sequence):
                return Order.REPLAYED
        elif not self._may_replace(boot_id, now):
            return Order.REPLAYED
        else:
            self._replace(boot_id)
        self.sequence = sequence
        self._accepted_at = now
        return Order.NEWER

    def _may_replace(self, boot_id: int, now: int) -> bool:
        if self.boot_id is None:
            return True
        silence = now - self._accepted_at
        return silence >= (RETIRED_FOR if boot_id in self._retired else REPLACED_AFTER)

    def _replace(self, boot_id: int) -> None:
        if self.boot_id is not None:
            retired = (self.boot_id, *(replaced for replaced in self._retired if replaced != boot_id))
            self._retired = retired[:MAX_RETIRED]
        self.boot_id = boot_id
