"""A client's input that is not processed yet: its bytes, when they arrived, and the memory that they take."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from holdgw.router.request_memory import RequestMemory
from holdgw.wire.resp import CommandReader

WAITED_INPUT_WINDOW_S = 0.02
"""Only input that is read within this time after reading began or went on can have waited for it."""
ARRIVAL_RESOLUTION_NS = 5_000_000
"""Bytes that arrive within this time of earlier ones count as arrived with them."""


class _Arrival:
    """A part of the input that arrived at one time."""

    __slots__ = ("arrived_ns", "end")

    def __init__(self, end: int, arrived_ns: int) -> None:
        self.end = end
        """The offset of the part's end in all input."""
        self.arrived_ns = arrived_ns


class ClientInput:
    """The input of one connection; times are monotonic nanoseconds, or seconds of the event loop's clock."""

    def __init__(
        self, memory: RequestMemory, process_unread_since: Callable[[], int], unread_since_ns: int
    ) -> None:
        """Create an empty input.

        Args:
            memory: Counts the bytes that wait.
            process_unread_since: Tells since when this process may have unread input of any connection.
            unread_since_ns: Since when the kernel may hold unread input of this one; 0: it holds none.
        """
        self.reader = CommandReader()
        self._memory = memory
        self._process_unread_since = process_unread_since
        self._unread_since_ns = unread_since_ns
        self._reading_since_s = 0.0
        self._held_bytes = 0  # counted in the memory
        self._is_beyond_limit = False  # they didn't fit
        self._read_arrived_ns = 0  # of the latest read; 0: it has not waited for this connection
        self._arrivals: deque[_Arrival] = deque()  # of the bytes in the reader

    def reading_paused(self, now_ns: int) -> None:
        """Note that the kernel holds what arrives from now on."""
        self._unread_since_ns = self._unread_since_ns or now_ns

    def reading_resumed(self, now_s: float) -> None:
        """Note that what the kernel holds is read from now on."""
        self._reading_since_s = now_s

    def feed(self, data: bytes | memoryview, now_s: float, is_drained: bool) -> None:
        """Take bytes; `is_drained`: whether the kernel holds no more."""
        if now_s - self._reading_since_s > WAITED_INPUT_WINDOW_S:
            self._unread_since_ns = 0
        self._read_arrived_ns = self._unread_since_ns
        if is_drained:
            self._unread_since_ns = 0
        self.reader.feed(data)

    def command_arrived_ns(self) -> int:
        """When the last byte of the latest command may have arrived at the earliest; 0 if just before."""
        command_end = self.reader.returned_bytes
        while self._arrivals and self._arrivals[0].end < command_end:
            self._arrivals.popleft()
        return self._arrivals[0].arrived_ns if self._arrivals else self._read_arrived_ns

    def keep_rest(self) -> None:
        """Note when the bytes arrived that stay in the reader; call it after the commands were processed."""
        if not self.reader.buffered_count:
            self._arrivals.clear()
            return
        arrived_ns = self._read_arrived_ns or self._process_unread_since()
        end = self.reader.fed_bytes
        latest = self._arrivals[-1] if self._arrivals else None
        if latest is not None and (
            latest.end == end or arrived_ns - latest.arrived_ns < ARRIVAL_RESOLUTION_NS
        ):
            latest.end = end
        else:
            self._arrivals.append(_Arrival(end, arrived_ns))

    def waiting_since_ns(self) -> int:
        """When the oldest byte in the reader may have arrived at the earliest; 0 if there is none."""
        return self._arrivals[0].arrived_ns if self._arrivals else 0

    def hold(self) -> bool:
        """Count the bytes in the reader as memory; returns whether they fit, else no more is counted."""
        self.reader.discard_returned()
        if self._is_beyond_limit:  # what was counted before doesn't count as fitting
            self.release()
        if not self._memory.resize_input(self._held_bytes, self.reader.buffered_count):
            return False
        self._held_bytes = self.reader.buffered_count
        self._is_beyond_limit = False
        return True

    def hold_beyond_limit(self) -> None:
        """Count the bytes in the reader as memory, whether or not they fit."""
        self._memory.hold_input(self._held_bytes, self.reader.buffered_count)
        self._held_bytes = self.reader.buffered_count
        self._is_beyond_limit = True

    def release(self) -> None:
        """Count nothing any more; the connection has ended."""
        self._memory.resize_input(self._held_bytes, 0)
        self._held_bytes = 0
