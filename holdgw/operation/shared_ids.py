"""Request ids in memory that two processes of one router share while one takes over from the other.

Both serve clients then, and a client may come to either with a request that the other has already. Each
process writes its own table and reads that of the other. It writes an id before it looks for it in the other
table, so of two processes that get an id at the same instant at least one finds it.
"""

from __future__ import annotations

import hashlib
import mmap
import os
from collections.abc import Iterable

BUCKETS = 1 << 13
CELLS_PER_BUCKET = 8
"""The latest ids of a bucket are kept: at 4,000 requests a second those of 5 s, but for one in thousands."""
CELL_BYTES = 8
KEY_BYTES = 64
SIZE_BYTES = KEY_BYTES + BUCKETS * CELLS_PER_BUCKET * CELL_BYTES
MEMORY_NAME = "holdgw-ids"


class IdTable:
    """The table of one process, in shared memory; the key of its hash stands at its start."""

    def __init__(self, descriptor: int) -> None:
        """Map the memory of a descriptor, which the caller keeps; raises OSError or ValueError."""
        self._memory = mmap.mmap(descriptor, SIZE_BYTES)
        self._key = bytes(self._memory[:KEY_BYTES])
        self._cells = memoryview(self._memory)[KEY_BYTES:].cast("Q")

    def _digest(self, request_id: str) -> int:
        hashed = hashlib.blake2b(request_id.encode(), digest_size=CELL_BYTES, key=self._key)
        return int.from_bytes(hashed.digest(), "little") or 1

    def __contains__(self, request_id: str) -> bool:
        digest = self._digest(request_id)
        first = digest % BUCKETS * CELLS_PER_BUCKET
        return digest in self._cells[first : first + CELLS_PER_BUCKET].tolist()

    def add(self, request_id: str) -> None:
        """Write an id; the oldest of its bucket goes."""
        digest = self._digest(request_id)
        first = digest % BUCKETS * CELLS_PER_BUCKET
        # From the oldest cell on: a reader finds each id that stays in one cell or in two, never in none.
        for cell in range(first + CELLS_PER_BUCKET - 1, first, -1):
            self._cells[cell] = self._cells[cell - 1]
        self._cells[first] = digest

    def close(self) -> None:
        """Release the memory."""
        self._cells.release()
        self._memory.close()


class SharedIds:
    """This process's table and those of the other processes that are linked to it."""

    def __init__(self) -> None:
        self._descriptor = -1
        self._own: IdTable | None = None
        self._others: list[IdTable] = []

    @property
    def is_shared(self) -> bool:
        """Whether another process may read this one's table."""
        return self._own is not None

    def share(self, known_ids: Iterable[str]) -> int:
        """Create this process's table, unless there is one; returns a new descriptor of it.

        `known_ids`: the ids that this process has already. Raises OSError.
        """
        if self._own is None:
            self._descriptor = os.memfd_create(MEMORY_NAME)
            os.ftruncate(self._descriptor, SIZE_BYTES)
            os.pwrite(self._descriptor, os.urandom(KEY_BYTES), 0)
            self._own = IdTable(self._descriptor)
            for request_id in known_ids:
                self._own.add(request_id)
        return os.dup(self._descriptor)

    def add_other(self, descriptor: int) -> None:
        """Read another process's table from now on; raises OSError or ValueError."""
        self._others.append(IdTable(descriptor))

    def claim(self, request_id: str) -> bool:
        """Write an id to the own table; returns whether no other process has it."""
        if self._own is not None:
            self._own.add(request_id)
        return not any(request_id in other for other in self._others)

    def close(self) -> None:
        """Release all memory."""
        for table in (*self._others, *([self._own] if self._own is not None else [])):
            table.close()
        self._others.clear()
        self._own = None
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1
