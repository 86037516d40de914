"""Shares the event loop between clients: none has its input processed for longer than a slice at a time.

Meanwhile its connection is read on, as the end of a client that has left may follow.

A client may send faster than its commands can be served. Without this one turn of the event loop would last
as long as it sends, and timers, answers of endpoints and all other clients would wait.

The order is that of flow queues (RFC 8290, section 4.2): connections whose input has just arrived come before
those that have used up a slice and still have some, and these take turns. So a client that sends little waits
for no one that sends much.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from holdgw.router.input_account import InputAccount
from holdgw.router.turn_budget import TurnBudget

if TYPE_CHECKING:
    from holdgw.router.client_connection import ClientConnection

SLICE_NS = 1_000_000
"""The time for which one connection's input is processed before that of others."""
MIN_SLICE_NS = 50_000
"""The same for input that has just arrived on many connections: about a request's time."""
MAX_READ_AHEAD_BYTES = 1 << 20
"""Input that is read in a turn of connections whose input waits: to find the end of one that has left."""
MAX_RESUMED_CONNECTIONS = 16
"""Connections that read ahead again in a turn, after the ones before them have."""
BACKLOG_DIVISOR = 2
"""The turn's limit divided by this is for input that has waited, the rest for what arrives in the turn."""


class InputScheduler:
    """Decides when the input of clients' connections is processed; a connection's own code processes it."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, now_ns: Callable[[], int], account: InputAccount
    ) -> None:
        """`now_ns`: a monotonic clock in nanoseconds; the loop's own counts milliseconds."""
        self._loop = loop
        self._now_ns = now_ns
        self._account = account
        self._budget = TurnBudget()
        self._is_processing = False
        self._new: deque[ClientConnection] = deque()  # their input arrived as the turn's time was spent
        self._backlogged: deque[ClientConnection] = deque()  # they have used up a slice
        self._read_ahead_bytes = 0  # in the current turn
        self._read_ahead_paused: deque[ClientConnection] = deque()
        self._next_turn: asyncio.Handle | None = None

    def submit(self, connection: ClientConnection, received_bytes: int = 0) -> None:
        """Process a connection's input now, or in its turn; `received_bytes`: new input, for the account."""
        if received_bytes:
            self._account.add(connection, 0, received_bytes, 0)
        if connection.input_queued:
            self._count_read_ahead(connection, received_bytes)
            return
        if self._may_process():
            self._process(connection, SLICE_NS)
            connection.update_reading()
        else:
            self._queue(connection, self._new)
            connection.update_reading()

    def close(self) -> None:
        """Process no more input."""
        if self._next_turn is not None:
            self._next_turn.cancel()
        self._new.clear()
        self._backlogged.clear()
        self._read_ahead_paused.clear()

    def _count_read_ahead(self, connection: ClientConnection, received_bytes: int) -> None:
        self._read_ahead_bytes += received_bytes
        if self._read_ahead_bytes >= MAX_READ_AHEAD_BYTES and not connection.read_ahead_paused:
            connection.read_ahead_paused = True
            self._read_ahead_paused.append(connection)
        connection.update_reading()

    def _resume_read_ahead(self) -> None:
        self._read_ahead_bytes = 0
        for _ in range(min(len(self._read_ahead_paused), MAX_RESUMED_CONNECTIONS)):
            connection = self._read_ahead_paused.popleft()
            connection.read_ahead_paused = False
            if not connection.closed:
                connection.update_reading()

    def _may_process(self) -> bool:
        if self._is_processing:  # an answer to one client may let another one's commands go on
            return False
        return not self._budget.is_spent

    def _queue(self, connection: ClientConnection, queue: deque[ClientConnection]) -> None:
        connection.input_queued = True
        queue.append(connection)
        self._await_next_turn()

    def _await_next_turn(self) -> None:
        if self._next_turn is None:
            self._next_turn = self._loop.call_soon(self._start_turn)

    def _process(self, connection: ClientConnection, slice_ns: int) -> None:
        """Process a connection's input for a slice; queue it if some is left."""
        started_ns = self._now_ns()
        commands_before = connection.command_count
        self._is_processing = True
        try:
            has_more = connection.process_input(started_ns + slice_ns)
        finally:
            self._is_processing = False
        duration_ns = self._now_ns() - started_ns
        self._budget.spend(duration_ns)
        self._account.add(connection, duration_ns, 0, connection.command_count - commands_before)
        if has_more:
            self._queue(connection, self._backlogged)
        elif self._budget.is_large:
            self._await_next_turn()

    def _start_turn(self) -> None:
        """Serve the connections that have waited; what is called soon runs before the sockets are read."""
        self._next_turn = None
        self._budget.start_turn(self._now_ns())
        self._resume_read_ahead()
        try:
            self._serve_queues()
        finally:
            if self._new or self._backlogged or self._read_ahead_paused:
                self._await_next_turn()
            else:
                self._budget.end_backlog()

    def _serve_queues(self) -> None:
        while self._new and not self._budget.is_spent:
            slice_ns = max(SLICE_NS // len(self._new), MIN_SLICE_NS)
            self._serve(self._new.popleft(), slice_ns)
        backlog_limit_ns = self._budget.limit_ns // BACKLOG_DIVISOR
        is_first = True
        while self._backlogged and (is_first or self._budget.spent_ns < backlog_limit_ns):
            self._serve(self._backlogged.popleft(), SLICE_NS)
            is_first = False

    def _serve(self, connection: ClientConnection, slice_ns: int) -> None:
        connection.input_queued = False
        if not connection.closed:
            self._process(connection, slice_ns)
            connection.update_reading()
