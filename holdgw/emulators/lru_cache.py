"""What a mirror node keeps: least recently used goes first, within a memory; pure.

It also tells why a key is missing. An operator who sees the misses rise wants to know whether copies were
thrown out, went void, or were never there: a flush, a write, a scan and a cold start look alike otherwise.
"""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum

from holdgw.emulators.seeded_draws import unit

MAX_REMEMBERED_REMOVALS = 100_000  # keys whose loss is remembered


class MissReason(Enum):
    """Why a key is not kept."""

    NEVER = "never"
    """Not since the process started: wanted for the first time here, or lost with the last process."""
    EVICTED = "evicted"
    FLUSHED = "flushed"
    INVALIDATED = "voided"
    EXPIRED = "expired"


class LruCache:
    """Copies by key. Sizes are bytes; `ttl` is how long a copy is good, 0 for ever."""

    def __init__(self, memory: int, ttl: float = 0.0) -> None:
        if memory < 0 or ttl < 0:
            raise ValueError("memory and ttl must be at least 0")
        self._memory, self._ttl = memory, ttl
        self._entries: OrderedDict[bytes, tuple[int, float]] = OrderedDict()  # size, stored at
        self._removed: OrderedDict[bytes, MissReason] = OrderedDict()
        self.used = 0

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, key: bytes) -> bool:
        return key in self._entries

    def get(self, key: bytes, now: float) -> int | None:
        """The size of the copy, which counts as used; None: not kept, and `why` tells the reason."""
        held = self._entries.get(key)
        if held is None:
            return None
        size, stored = held
        if self._ttl and now - stored >= self._ttl:
            self._remove(key, MissReason.EXPIRED)
            return None
        self._entries.move_to_end(key)
        return size

    def miss_reason(self, key: bytes) -> MissReason:
        """Why a key that is not kept is missing."""
        return self._removed.get(key, MissReason.NEVER)

    def put(self, key: bytes, size: int, now: float) -> None:
        """Keep a copy; what was used longest ago makes room. One larger than the memory is not kept."""
        if size > self._memory:
            return
        old = self._entries.pop(key, None)
        if old is not None:
            self.used -= old[0]
        self._removed.pop(key, None)
        self._entries[key] = (size, now)
        self.used += size
        while self.used > self._memory:
            self._remove(next(iter(self._entries)), MissReason.EVICTED)

    def invalidate(self, key: bytes) -> bool:
        """A write was carried out: the copy is no good. Returns whether there was one."""
        if key not in self._entries:
            return False
        self._remove(key, MissReason.INVALIDATED)
        return True

    def flush(self, share: float, seed: int, serial: int) -> int:
        """That share of the keys goes void at once, the same keys at every node; returns how many
        did here.
        """
        flushed = [key for key in self._entries if unit(seed, "flush", serial, key) < share]
        for key in flushed:
            self._remove(key, MissReason.FLUSHED)
        return len(flushed)

    def _remove(self, key: bytes, reason: MissReason) -> None:
        size, _ = self._entries.pop(key)
        self.used -= size
        self._removed[key] = reason
        if len(self._removed) > MAX_REMEMBERED_REMOVALS:
            self._removed.popitem(last=False)
