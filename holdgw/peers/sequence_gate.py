"""Order of one sender's datagrams across its restarts, and rejection of replays; pure."""

from __future__ import annotations

from enum import Enum

from holdgw.peers.datagram import is_newer
from holdgw.peers.timing import NS_PER_S

REPLACED_AFTER = 3 * NS_PER_S  # of silence, another process of the sender replaces the known one
RETIRED_FOR = 10 * NS_PER_S  # the same, for a process that was replaced before
MAX_RETIRED = 4


class Order(Enum):
    """How a datagram stands to those accepted before it."""

    NEWER = "newer"
    SAME = "same"
    """The latest sequence number again: a duplicate, or another part of the same message."""
    REPLAYED = "replayed"
    """An older sequence number, or one of a process that is not the sender's present one."""


class SequenceGate:
    """Accepts the datagrams of one sender by its boot_id and sequence number, the newest only.

    A boot_id is drawn at each start of a process, and has no order. Another boot_id is therefore accepted
    only once the known one has been silent: a replay of an earlier process can't displace one that speaks. It
    is accepted after a longer silence even if it was replaced before, so that a process that was displaced by
    a replay while it was halted is heard again.
    """

    __slots__ = ("_accepted_at", "_retired", "boot_id", "sequence")

    def __init__(self) -> None:
        self.boot_id: int | None = None
        self.sequence = 0
        self._accepted_at = 0
        self._retired: tuple[int, ...] = ()

    def check(self, boot_id: int, sequence: int, now: int) -> Order:
        """The order of a datagram; one that is NEWER is accepted, and is the latest from now on."""
        if boot_id == self.boot_id:
            if sequence == self.sequence:
                return Order.SAME
            if not is_newer(sequence, self.sequence):
                return Order.REPLAYED
        elif not self._may_replace(boot_id, now):
            return Order.REPLAYED
        else:
            self._replace(boot_id)
        self.sequence, self._accepted_at = sequence, now
        return Order.NEWER

    def _may_replace(self, boot_id: int, now: int) -> bool:
        if self.boot_id is None:
            return True
        silent = now - self._accepted_at
        return silent >= (RETIRED_FOR if boot_id in self._retired else REPLACED_AFTER)

    def _replace(self, boot_id: int) -> None:
        if self.boot_id is not None:
            retired = (self.boot_id, *(one for one in self._retired if one != boot_id))
            self._retired = retired[:MAX_RETIRED]
        self.boot_id = boot_id
