"""Accepts clients' connections, limits their number and memory, and closes them or hands them over."""

from __future__ import annotations

import asyncio
import heapq
import logging
import os
import socket
from collections.abc import Callable
from functools import partial
from typing import Any

from holdgw.operation.process_link import ClientHandover
from holdgw.router.client_connection import READ_BUFFER_BYTES, ClientConnection, RequestHandler
from holdgw.router.connection_close import CloseCause
from holdgw.router.input_scheduler import InputScheduler
from holdgw.router.memory_budget import MemoryBudget
from holdgw.router.platform import Platform, accept_queued
from holdgw.wire.address import Address

LISTEN_BACKLOG = 1024
"""Connections that the kernel queues while the event loop is busy."""
IDLE_TIMEOUT_S = 30.0
"""Idle timeout of a connection between requests."""
BUSY_IDLE_TIMEOUT_S = 2.2
"""The same timeout above BUSY_FRACTION; clients are promised 2 s."""
BUSY_FRACTION = 0.25
"""Fraction of the limit of connections above which BUSY_IDLE_TIMEOUT_S applies."""
MAX_IDLE_FRACTION = 0.4
"""Fraction of the limit that connections between requests may take."""
MIN_IDLE_S = 0.3
"""Idle time before a connection is closed because too many are idle."""
MAX_EVICTION_CANDIDATES = 16
"""Connections of which the kernel is asked whether they may be evicted."""
MAX_REJECTING_CONNECTIONS = 32
"""Connections above the limit that are accepted only to reject their requests."""
SWEEP_INTERVAL_S = 0.25
DEFAULT_MAX_UNSENT_BYTES = 8 << 20
DEFAULT_MAX_WAITING_BYTES = 4 << 20

log = logging.getLogger("holdgw")


def duplicate_descriptor(transport: Any) -> int:
    """Duplicate the descriptor of a transport's socket; raises OSError."""
    return os.dup(transport.get_extra_info("socket").fileno())


class ClientListener:
    """The listening socket and all clients' connections, within a limit of descriptors."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        handler: RequestHandler,
        limit: int,
        platform: Platform | None = None,
        max_unsent_bytes: int = DEFAULT_MAX_UNSENT_BYTES,
        max_waiting_bytes: int = DEFAULT_MAX_WAITING_BYTES,
    ) -> None:
        """Create a listener that does not accept yet.

        Args:
            loop: The event loop.
            handler: Serves the requests.
            limit: Connections that are served at a time.
            platform: Tells what the kernel knows of a connection.
            max_unsent_bytes: Limit for the unsent answers of all clients together.
            max_waiting_bytes: Limit for the answers of all clients together that can't be written yet.
        """
        self.loop = loop
        self.handler = handler
        self.scheduler = InputScheduler(loop, handler.now_ns, handler.input_account)
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))  # all are read through it
        platform = platform or Platform()
        self.peer_closed = platform.peer_closed
        self.has_unread_input = platform.has_unread_input
        self.unacknowledged_bytes = platform.unacknowledged_bytes
        self.duplicate_descriptor: Callable[[Any], int] = duplicate_descriptor
        """Duplicates a transport's descriptor for another process; the sender closes the duplicate."""
        self.lingering: dict[ClientConnection, None] = {}
        """Connections in a lingering close, the oldest first."""
        self.holding: dict[ClientConnection, int] = {}
        """Connections that hold a streamed answer back, with the bytes of memory reserved for it."""
        self._limit = limit
        self._max_unsent_bytes = max_unsent_bytes
        self.waiting_memory = MemoryBudget(max_waiting_bytes)
        """Bounds the answers that wait for an earlier one or for their client, and those held back."""
        self._connections: dict[ClientConnection, None] = {}
        self._server: asyncio.Server | None = None
        self._sweep_timer: asyncio.Handle = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    async def listen(self, address: Address, passed: socket.socket | None = None) -> Address:
        """Accept clients at `address`, or on `passed`, a listening socket; returns the bound address."""
        factory: Any = partial(ClientConnection, self)
        create = partial(self.loop.create_server, factory, backlog=LISTEN_BACKLOG)
        self._server = await (create(*address) if passed is None else create(sock=passed))
        server: Any = self._server  # its sockets are a tuple by its type, and a list in uvloop
        host, port = server.sockets[0].getsockname()[:2]
        return str(host), int(port)

    def stop_accepting(self) -> None:
        """Accept no new connections."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def accept_queued(self) -> list[int]:
        """Accept the connections in the kernel's queue, within the limit; returns their descriptors.

        Closing the listening socket would reset these connections, and lose requests that the kernel has
        already acknowledged.
        """
        server: Any = self._server
        if server is None:
            return []
        capacity = self._limit + MAX_REJECTING_CONNECTIONS - len(self._connections)
        return accept_queued(server.sockets, max(capacity, 0))

    @property
    def connection_count(self) -> int:
        """The number of open connections."""
        return len(self._connections)

    @property
    def connections(self) -> tuple[ClientConnection, ...]:
        """The open connections, the oldest first."""
        return tuple(self._connections)

    def set_limit(self, limit: int) -> None:
        """Serve at most `limit` connections at a time; connections above it that are open stay open."""
        self._limit = limit

    def connection_opened(self, connection: ClientConnection) -> None:
        """Admit a new connection; at the limit, evict another one or have this one reject its requests."""
        if connection.taken_over:  # it was counted in the old process, which is about to end
            self._connections[connection] = None
            return
        # Without a limit, clients that only connect would leave no descriptors for endpoints or others.
        is_full = len(self._connections) >= self._limit + MAX_REJECTING_CONNECTIONS
        if is_full and self.lingering:
            self._longest_lingering().abort(CloseCause.EVICTED)
            is_full = False
        if len(self._connections) - len(self.lingering) >= self._limit:
            candidate = self._eviction_candidate()
            if candidate is not None:
                candidate.evict(at_once=is_full)
            elif is_full:
                connection.abort(CloseCause.OVER_LIMIT)
                return
            else:
                connection.rejects_requests = True
        self._connections[connection] = None

    def connection_closed(self, connection: ClientConnection) -> None:
        """Remove a closed connection."""
        self._connections.pop(connection, None)
        self.lingering.pop(connection, None)
        self.end_hold(connection)

    def reserve_hold(self, connection: ClientConnection, wanted_bytes: int) -> int:
        """Reserve memory for an answer that is held back, until it is written; returns the bytes reserved.

        It gets as much as it leaves free: a few long values must not take the memory of others' answers.
        """
        reserved_bytes = self.holding.get(connection, 0)
        if not reserved_bytes:
            reserved_bytes = min(wanted_bytes, self.waiting_memory.free_bytes // 2)
            if reserved_bytes:
                self.waiting_memory.hold(reserved_bytes)
                self.holding[connection] = reserved_bytes
        return reserved_bytes

    def shrink_hold(self, connection: ClientConnection, needed_bytes: int) -> None:
        """Release the memory that a connection has reserved for a held answer beyond `needed_bytes`."""
        reserved_bytes = self.holding.get(connection, 0)
        if not needed_bytes:
            self.end_hold(connection)
        elif needed_bytes < reserved_bytes:
            self.waiting_memory.release(reserved_bytes - needed_bytes)
            self.holding[connection] = needed_bytes

    def end_hold(self, connection: ClientConnection) -> None:
        """Release the memory that a connection has reserved for its streamed answer, if any."""
        self.waiting_memory.release(self.holding.pop(connection, 0))

    def _longest_lingering(self) -> ClientConnection:
        """The oldest lingering connection whose client has all answers; without any, the oldest."""
        oldest = next(iter(self.lingering))
        delivered = (connection for connection in self.lingering if not connection.undelivered_bytes)
        return next(delivered, oldest)

    def _eviction_candidate(self) -> ClientConnection | None:
        """The connection to evict: a silent one if there is any, else the one idle longest.

        None that owes its client something, nor one behind MAX_EVICTION_CANDIDATES of these: after a stall
        most connections do, and many new ones come.

        By idle time alone, a flood of silent connections would evict the clients that send requests. If
        connections with a partial command were kept, they would have every new client rejected.
        """
        now = self.loop.time()
        candidates = [
            connection
            for connection in self._connections
            if not connection.is_lingering and (connection.is_idle or connection.is_silent(now))
        ]
        first_candidates = heapq.nsmallest(
            MAX_EVICTION_CANDIDATES,
            candidates,
            key=lambda connection: (not connection.is_silent(now), connection.last_active_at),
        )
        return next((candidate for candidate in first_candidates if not candidate.owes_client), None)

    # Handover of connections between processes

    async def adopt(
        self, handover: ClientHandover | None, descriptor: int, possible_wait_ns: int = 0
    ) -> None:
        """Take a connection over from another process.

        Args:
            handover: The connection's state; None if the other process read nothing from it.
            descriptor: The descriptor of its socket, which the connection owns from now on.
            possible_wait_ns: How long its unread input may have waited, nanoseconds.

        Raises:
            OSError: The descriptor can't be used as a connection.
        """
        factory: Any = partial(ClientConnection, self, handover, possible_wait_ns)
        await self.loop.connect_accepted_socket(factory, socket.socket(fileno=descriptor))

    def hand_over(self, send: Callable[[ClientHandover, int], None], stop_reading: bool) -> int:
        """Pass each connection without an unanswered request to another process; returns their number.

        Args:
            send: Called with a connection's state and a duplicate of its descriptor.
            stop_reading: Whether to read no more commands on the other connections.
        """
        handed_over = 0
        for connection in self.connections:
            try:
                handed_over += connection.hand_over(send, stop_reading)
            except OSError as error:
                # A descriptor can't be duplicated while the process is at its limit: the next call retries.
                log.warning("client connection not handed over, will retry error=%s", error)
        return handed_over

    # Graceful close and sweep

    def close_gracefully(self, even_mid_command: bool) -> None:
        """Close connections between requests; `even_mid_command`: also those with a partial command."""
        for connection in self.connections:
            connection.close_gracefully(even_mid_command)

    def close(self) -> None:
        """Close everything at once."""
        self._sweep_timer.cancel()
        self.scheduler.close()
        if self._server is not None:
            self._server.close()
        for connection in self.connections:
            connection.abort(CloseCause.SHUTDOWN)

    def _sweep(self) -> None:
        """Enforce the timeouts and limits, after the sockets were read once.

        After a stall timers run before the sockets are read: a connection would be closed for want of input
        that has arrived. What is called soon runs before the sockets are read, what that calls soon after it.
        """
        self._sweep_timer = self.loop.call_soon(self._sweep_after_reading)

    def _sweep_after_reading(self) -> None:
        self._sweep_timer = self.loop.call_soon(self._enforce_limits)

    def _enforce_limits(self) -> None:
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now = self.loop.time()
        is_busy = len(self._connections) > self._limit * BUSY_FRACTION
        for connection in self.connections:
            connection.enforce_timeouts(now, BUSY_IDLE_TIMEOUT_S if is_busy else IDLE_TIMEOUT_S)
        self._bound_unsent_bytes()
        self._bound_idle_connections(now)

    def _bound_idle_connections(self, now_s: float) -> None:
        """Close the connections idle longest if idle ones exceed MAX_IDLE_FRACTION of the limit.

        Clients that send one request and stay connected would otherwise leave no connections for others.
        """
        idle = [
            connection
            for connection in self._connections
            if connection.has_sent_command and connection.is_idle and not connection.is_lingering
        ]
        excess = len(idle) - int(self._limit * MAX_IDLE_FRACTION)
        if excess <= 0:
            return
        for connection in sorted(idle, key=lambda connection: connection.last_active_at)[:excess]:
            if now_s - connection.last_active_at > MIN_IDLE_S:
                connection.close_if_settled(CloseCause.IDLE)

    def _bound_unsent_bytes(self) -> None:
        """Close the clients with the most unsent bytes if all unsent bytes exceed the limit.

        A client that pipelines hundreds of requests and accepts nothing holds megabytes long before
        WRITE_STALL_TIMEOUT_S has passed. A client that is only slow may be closed as well.
        """
        unsent = sum(connection.unsent_bytes for connection in self._connections)
        if unsent <= self._max_unsent_bytes:
            return
        for connection in sorted(
            self._connections, key=lambda connection: connection.unsent_bytes, reverse=True
        ):
            if unsent <= self._max_unsent_bytes:
                break
            unsent -= connection.unsent_bytes
            log.warning(
                "unsent answers exceed limit, closing connection unsent_bytes=%d limit_bytes=%d",
                connection.unsent_bytes,
                self._max_unsent_bytes,
            )
            connection.abort(CloseCause.UNSENT_LIMIT)
