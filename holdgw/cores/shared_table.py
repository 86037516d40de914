"""Memory shared by the workers of one router: recent request ids, and the revision of the endpoint list.

Every cell has a single writer: the supervisor writes the revision, each worker its own ids. A worker writes
its cell before it reads those of the others, so when two workers insert the same id at the same instant, at
least one of them finds the other's entry.
"""

from __future__ import annotations

import mmap
import os

CELLS_PER_WORKER = 1 << 16  # a cell holds a request id: room for those of 6 s at 10,000 requests a second
HEADER_CELLS = 512  # one page; the first cell is the revision of the endpoint list
CELL_BYTES = 8
HASH_MASK = 0xFFFF_FFFF_FFFF_FFFF


class SharedTable:
    """One process's view of the shared memory: recent request ids, and the revision of the endpoint list."""

    def __init__(self, memory: mmap.mmap | bytearray, workers: int, worker: int = 0) -> None:
        """`memory`: the `size_bytes(workers)` shared bytes; `worker`: the index of this worker."""
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
        """Note a change of the endpoint list, after the update was sent to every worker."""
        self._cells[0] += 1

    def insert_if_absent(self, request_id: bytes) -> bool:
        """Insert a request id for this worker; returns whether no worker's cells held it.

        The cells hold Python's keyed hash (SipHash). The supervisor gives all workers the same secret
        PYTHONHASHSEED, so clients can't construct colliding ids. Accidental collisions are negligible, as 64
        bits are compared.
        """
        digest = hash(request_id) & HASH_MASK or 1
        cell = digest % CELLS_PER_WORKER
        # The worker's own cells first: the process that this one replaces may have inserted the id there.
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
    """The size of the memory for this many workers."""
    return (HEADER_CELLS + workers * CELLS_PER_WORKER) * CELL_BYTES


def attach(descriptor: int, workers: int) -> mmap.mmap:
    """Map the memory of a descriptor that `create` returned; raises OSError."""
    return mmap.mmap(descriptor, size_bytes(workers))


def create(workers: int) -> int:
    """Create the memory, zeroed; returns its descriptor, which the caller closes. Raises OSError."""
    descriptor = os.memfd_create("holdgw")
    os.ftruncate(descriptor, size_bytes(workers))
    return descriptor
