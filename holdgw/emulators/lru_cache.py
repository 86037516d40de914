"""The copies of an emulated cache server: a cache of bounded size with least-recently-used eviction; pure.

The cache also gives the reason for a miss. When misses rise, an operator needs to know whether copies were
evicted, were invalidated or never existed: a flush, a write, a scan and a cold start look alike otherwise.
"""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum

from holdgw.emulators.seeded_draws import unit

MAX_REMEMBERED_REMOVALS = 100_000  # keys whose reason for removal is remembered


class MissReason(Enum):
    """Why a key is not cached."""

    NEVER = "never"
    """Not cached since the process started: never requested here, or lost with the previous process."""
    EVICTED = "evicted"
    FLUSHED = "flushed"
    INVALIDATED = "voided"
    EXPIRED = "expired"


class LruCache:
    """Copies by key. Sizes are bytes; `ttl` is the lifetime of a copy in seconds, 0 for unlimited."""

    def __init__(self, memory: int, ttl: float = 0.0) -> None:
        if memory < 0 or ttl < 0:
            raise ValueError("memory and ttl must be at least 0")
        self._memory, self._ttl = memory, ttl
        self._entries: OrderedDict[bytes, tuple[int, float]] = OrderedDict()  # size, when stored
        self._removed: OrderedDict[bytes, MissReason] = OrderedDict()
        self.used = 0

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, key: bytes) -> bool:
        return key in self._entries

    def get(self, key: bytes, now: float) -> int | None:
        """Return the size of the copy and mark it as used; None if not cached, see `miss_reason`."""
        entry = self._entries.get(key)
        if entry is None:
            return None
        size, stored = entry
        if self._ttl and now - stored >= self._ttl:
            self._remove(key, MissReason.EXPIRED)
            return None
        self._entries.move_to_end(key)
        return size

    def miss_reason(self, key: bytes) -> MissReason:
        """Return why a key is not cached."""
        return self._removed.get(key, MissReason.NEVER)

    def put(self, key: bytes, size: int, now: float) -> None:
        """Store a copy, evicting the least recently used; a copy larger than the memory is not stored."""
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
        """Drop the copy of a key that was written; return whether there was one."""
        if key not in self._entries:
            return False
        self._remove(key, MissReason.INVALIDATED)
        return True

    def flush(self, share: float, seed: int, serial: int) -> int:
        """Drop a share of the keys, the same keys at every server; return how many were dropped here."""
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
