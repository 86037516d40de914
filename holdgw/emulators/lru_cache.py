"""What a mirror node keeps: least recently used goes first, within a memory; pure.

It also tells why a key is missing. An operator who sees the misses rise wants to know whether copies were
thrown out, went void, or were never there: a flush, a write, a scan and a cold start look alike otherwise.
"""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum

from holdgw.emulators.seeded_draws import unit

MOST_REMEMBERED = 100_000  # keys whose loss is remembered


class MissReason(Enum):
    """Why a key is not kept."""

    NEVER = "never"
    """Not since the process started: wanted for the first time here, or lost with the last process."""
    EVICTED = "evicted"
    FLUSHED = "flushed"
    VOIDED = "voided"
    EXPIRED = "expired"


class LruCache:
    """Copies by key. Sizes are bytes; `lasts` is how long a copy is good, 0 for ever."""

    def __init__(self, memory: int, lasts: float = 0.0) -> None:
        if memory < 0 or lasts < 0:
            raise ValueError("memory and lasts must be at least 0")
        self._memory, self._lasts = memory, lasts
        self._kept: OrderedDict[bytes, tuple[int, float]] = OrderedDict()  # size, stored at
        self._lost: OrderedDict[bytes, MissReason] = OrderedDict()
        self.used = 0

    def __len__(self) -> int:
        return len(self._kept)

    def __contains__(self, key: bytes) -> bool:
        return key in self._kept

    def look(self, key: bytes, now: float) -> int | None:
        """The size of the copy, which counts as used; None: not kept, and `why` tells the reason."""
        held = self._kept.get(key)
        if held is None:
            return None
        size, stored = held
        if self._lasts and now - stored >= self._lasts:
            self._lose(key, MissReason.EXPIRED)
            return None
        self._kept.move_to_end(key)
        return size

    def why(self, key: bytes) -> MissReason:
        """Why a key that is not kept is missing."""
        return self._lost.get(key, MissReason.NEVER)

    def put(self, key: bytes, size: int, now: float) -> None:
        """Keep a copy; what was used longest ago makes room. One larger than the memory is not kept."""
        if size > self._memory:
            return
        old = self._kept.pop(key, None)
        if old is not None:
            self.used -= old[0]
        self._lost.pop(key, None)
        self._kept[key] = (size, now)
        self.used += size
        while self.used > self._memory:
            self._lose(next(iter(self._kept)), MissReason.EVICTED)

    def void(self, key: bytes) -> bool:
        """A write was carried out: the copy is no good. Returns whether there was one."""
        if key not in self._kept:
            return False
        self._lose(key, MissReason.VOIDED)
        return True

    def flush(self, share: float, seed: int, serial: int) -> int:
        """That share of the keys goes void at once, the same keys at every node; returns how many
        did here.
        """
        gone = [key for key in self._kept if unit(seed, "flush", serial, key) < share]
        for key in gone:
            self._lose(key, MissReason.FLUSHED)
        return len(gone)

    def _lose(self, key: bytes, why: MissReason) -> None:
        size, _ = self._kept.pop(key)
        self.used -= size
        self._lost[key] = why
        if len(self._lost) > MOST_REMEMBERED:
            self._lost.popitem(last=False)
