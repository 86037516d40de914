"""The connections and waiting exchanges of one endpoint."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from holdgw.router.idle_connections import IdleConnections
from holdgw.wire.address import Address

if TYPE_CHECKING:
    from holdgw.router.connection_pool import ConnectionPool
    from holdgw.router.endpoint_connection import EndpointConnection
    from holdgw.router.exchange import Exchange


class EndpointPool:
    """The connection pool's state of one endpoint."""

    def __init__(
        self,
        pool: ConnectionPool,
        endpoint_id: str,
        address: Address,
        connect: Callable[[EndpointPool], EndpointConnection],
    ) -> None:
        """Create an endpoint without connections; `connect` creates the protocol object of a new one."""
        self.pool = pool
        self.id = endpoint_id
        self.address = address
        self.connect = connect
        self.available = True
        """Whether the endpoint is listed and not draining."""
        self.idle = IdleConnections(pool.idle_timeout_ns, pool.has_pending_input)
        """The connections without an exchange."""
        self.rest_timer: asyncio.TimerHandle | None = None
        """Wakes the waiting exchanges when the first of the resting connections may be used."""
        self.serve_next_turn: asyncio.Handle | None = None
        """Wakes the waiting exchanges in the next turn, as there was no time for all in this one."""
        self.connections: dict[EndpointConnection, None] = {}
        """All established connections."""
        self.dials: dict[asyncio.Task[None], None] = {}
        self.streaming: dict[EndpointConnection, None] = {}
        """The connections that stream a long value."""
        self.waiting: deque[Exchange] = deque()
        """Exchanges that wait for a connection, the oldest first."""
        self.awaiting_late_answer: dict[EndpointConnection, float] = {}
        """The connections whose exchange was abandoned, with that time in seconds of the loop's clock."""
        self.idle_connections_closed = False
        """Whether the endpoint has closed an idle connection, and none has been opened since."""

    @property
    def descriptor_count(self) -> int:
        """Connections that are established or being dialled."""
        return len(self.connections) + len(self.dials)

    @property
    def counted_connections(self) -> int:
        """Connections and dials that count towards the limit of exchanges at a time.

        Idle connections don't. Neither do streaming ones, as streaming to a slow client may take seconds, nor
        those that await a late answer.
        """
        exempt = len(self.idle) + len(self.streaming) + len(self.awaiting_late_answer)
        return self.descriptor_count - exempt
