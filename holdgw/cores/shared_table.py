"""Memory that the workers of one router share: recent request ids, and the revision of the endpoint list.

Every cell has one writer: the supervisor that of the revision, each worker those of its own ids. A worker
writes its cell before it reads the others', so of two that insert one id at the same instant at least one
finds the other's.
"""

from __future__ import annotations

import mmap
import os

CELLS_PER_WORKER = 1 << 16  # 6 s of ids at 10,000 requests a second
HEADER_CELLS = 512  # one page; the first cell is the revision
CELL_BYTES = 8
HASH_MASK = 0xFFFF_FFFF_FFFF_FFFF


class SharedTable:
    """The shared memory as one process sees it."""

    def __init__(self, memory: mmap.mmap | bytearray, workers: int, worker: int = 0) -> None:
        """`memory`: `size_bytes(workers)` bytes that all share; `worker`: index of this worker."""
        self._memory = memory
        self._cells = memoryview(self._memory).cast("Q")
        starts = [HEADER_CELLS + index * CELLS_PER_WORKER for index in range(workers)]
        tables = [self._cells[start : start + CELLS_PER_WORKER] for start in starts]
        self._own_cells = tables.pop(worker)
        self._other_cells = tables

    @property
    def revision(self) -> int:
        """How often the endpoint list has changed."""
        return self._cells[0]

    def advance_revision(self) -> None:
        """The list has changed, and the update is sent to every worker."""
        self._cells[0] += 1

    def insert_if_absent(self, request_id: bytes) -> bool:
        """Insert an id for this worker; returns whether no worker had it, as far as is remembered.

        Python's hash, keyed (SipHash): the supervisor gives all workers one PYTHONHASHSEED, so nobody outside
        can make two ids collide, and by chance they hardly ever do: 64 bits are compared.
        """
        digest = hash(request_id) & HASH_MASK or 1
        cell = digest % CELLS_PER_WORKER
        # The own table first: the process that this one replaces may have inserted the id there.
        if self._own_cells[cell] == digest:
            return False
        self._own_cells[cell] = digest
        return all(other[cell] != digest for other in self._other_cells)

    def close(self) -> None:
        """Release the memory."""
        for view in (self._own_cells, *self._other_cells, self._cells):
            view.release()
        if isinstance(self._memory, mmap.mmap):
            self._memory.close()


def size_bytes(workers: int) -> int:
    """Size of the memory for so many workers."""
    return (HEADER_CELLS + workers * CELLS_PER_WORKER) * CELL_BYTES


def attach(descriptor: int, workers: int) -> mmap.mmap:
    """Map the memory behind a descriptor of `create`; raises OSError."""
    return mmap.mmap(descriptor, size_bytes(workers))


def create(workers: int) -> int:
    """Create the memory, all zeros; returns its descriptor, which the caller closes. Raises OSError."""
    descriptor = os.memfd_create("holdgw")
    os.ftruncate(descriptor, size_bytes(workers))
    return descriptor
