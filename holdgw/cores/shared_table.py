"""Memory that the workers of one router share: ids taken lately, and how new the list of servers is.

Every cell has one writer: the supervisor that of the list, each worker those of its own ids. A worker writes
its cell before it reads the others', so of two that take one id at the same instant at least one sees it.
"""

from __future__ import annotations

import mmap
import os

CELLS = 1 << 16  # ids remembered for a worker: at 10,000 requests a second some 6 s; half a megabyte
HEAD = 512  # cells before the first worker's: one page
WORD = 8


class SharedTable:
    """The shared memory as one process sees it."""

    def __init__(self, memory: mmap.mmap | bytearray, workers: int, worker: int = 0) -> None:
        """`memory`: `size(workers)` bytes that all share."""
        self._memory = memory
        self._cells = memoryview(self._memory).cast("Q")
        bounds = [(HEAD + i * CELLS, HEAD + (i + 1) * CELLS) for i in range(workers)]
        self._mine = self._cells[bounds[worker][0] : bounds[worker][1]]
        self._others = [self._cells[a:b] for i, (a, b) in enumerate(bounds) if i != worker]

    @property
    def revision(self) -> int:
        """How often there was news of the list."""
        return self._cells[0]

    def advance(self) -> None:
        """There is news of the list, and it is on its way to every worker."""
        self._cells[0] += 1

    def claim(self, request_id: bytes) -> bool:
        """Have an id for this worker; returns whether none had it lately, as far as is remembered.

        Python's hash, keyed (SipHash): the supervisor gives all workers one PYTHONHASHSEED, so nobody outside
        can make two ids meet, and by chance they hardly ever do: 64 bits are compared.
        """
        digest = hash(request_id) & 0xFFFF_FFFF_FFFF_FFFF or 1
        at = digest % CELLS
        # One's own first: the worker before this one, in the same place, may have taken it.
        if self._mine[at] == digest:
            return False
        self._mine[at] = digest
        return all(other[at] != digest for other in self._others)

    def close(self) -> None:
        """Let the memory go."""
        for view in (self._mine, *self._others, self._cells):
            view.release()
        if isinstance(self._memory, mmap.mmap):
            self._memory.close()


def size(workers: int) -> int:
    """Bytes of the memory."""
    return (HEAD + workers * CELLS) * WORD


def attach(descriptor: int, workers: int) -> mmap.mmap:
    """The memory behind a descriptor of `create`."""
    return mmap.mmap(descriptor, size(workers))


def create(workers: int) -> int:
    """Make the memory, all zeros; returns its descriptor, which the caller closes."""
    descriptor = os.memfd_create("holdgw")
    os.ftruncate(descriptor, size(workers))
    return descriptor
