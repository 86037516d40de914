"""One endpoint's connections and the exchanges that wait for one."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from holdgw.wire.address import Address

if TYPE_CHECKING:
    from holdgw.router.connection_pool import ConnectionPool
    from holdgw.router.endpoint_connection import EndpointConnection
    from holdgw.router.exchange import Exchange


class EndpointPool:
    """What the connection pool knows of one endpoint."""

    def __init__(
        self,
        pool: ConnectionPool,
        endpoint_id: str,
        address: Address,
        connect: Callable[[EndpointPool], EndpointConnection],
    ) -> None:
        """Create an endpoint without connections; `connect` makes the protocol object of a new one."""
        self.pool = pool
        self.id = endpoint_id
        self.address = address
        self.connect = connect
        self.available = True
        """Listed, and not draining."""
        self.idle: list[EndpointConnection] = []
        """The one used last at the end: those not needed grow old, and are closed."""
        self.connections: dict[EndpointConnection, None] = {}
        """All that are up."""
        self.dials: dict[asyncio.Task[None], None] = {}
        self.streaming: dict[EndpointConnection, None] = {}
        """Those of the connections that stream a long value."""
        self.waiting: deque[Exchange] = deque()
        """Exchanges without a connection, the oldest first."""
        self.awaiting_late_answer: dict[EndpointConnection, float] = {}
        """Those of the connections whose exchange was abandoned, with the time of that in seconds."""
        self.idle_connections_closed = False
        """The endpoint closed an idle connection, and none has come up since."""

    @property
    def descriptor_count(self) -> int:
        """Connections that are up or being dialled."""
        return len(self.connections) + len(self.dials)

    @property
    def counted_connections(self) -> int:
        """Those that count towards the limit: streaming to a slow client may take seconds."""
        return self.descriptor_count - len(self.streaming) - len(self.awaiting_late_answer)
