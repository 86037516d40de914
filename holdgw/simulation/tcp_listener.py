"""Listening sockets of the simulated network: their backlog, and the asyncio servers that accept from it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from holdgw.simulation.simulated_socket import SimulatedSocket

if TYPE_CHECKING:
    from holdgw.simulation.network import Address, Connection, Network
    from holdgw.simulation.process import Process

ACCEPT_RETRY_NS = 100_000_000  # a process without a free descriptor retries accept after this time


class TcpListener(asyncio.AbstractServer):
    """A listening socket and the asyncio server that accepts from it."""

    def __init__(
        self,
        network: Network,
        process: Process,
        factory: Callable[[], asyncio.BaseProtocol],
        address: Address,
        backlog: int,
    ) -> None:
        self.network, self.process, self.address = network, process, address
        self._socket = SimulatedSocket(address)
        self._factory, self._backlog = factory, backlog
        self._pending: dict[Connection, None] = {}
        self._open = True
        self._closed: list[asyncio.Future[None]] = []

    @property
    def sockets(self) -> tuple[SimulatedSocket, ...]:
        """The listening socket while it is open, else empty."""
        return (self._socket,) if self._open else ()

    @property
    def is_full(self) -> bool:
        """Whether the backlog is full of connections that no process has accepted."""
        return len(self._pending) >= self._backlog

    def add_pending(self, connection: Connection) -> None:
        """Add a connection that is being established to the backlog."""
        self._pending[connection] = None

    def remove_pending(self, connection: Connection) -> None:
        """Take a connection out of the backlog."""
        self._pending.pop(connection, None)

    def connection_established(self, connection: Connection) -> None:
        """Have the process accept a connection that is established."""
        if not self._open:
            if connection in self._pending:
                self.remove_pending(connection)
            return
        self.network.world.soon(self.process, self._accept, (connection,))

    def _accept(self, connection: Connection) -> None:
        end = connection.server
        if not self._open or connection not in self._pending:
            return
        if end.is_reset or end.socket_closed:
            self.remove_pending(connection)
            return
        try:
            self.process.take_descriptor(end)
        except OSError:
            # The connection stays in the backlog until the process tries again.
            self.network.world.at(
                self.network.world.now + ACCEPT_RETRY_NS, self.process, self._accept, (connection,)
            )
            return
        self.remove_pending(connection)
        self.network.world.trace.add(self.network.world.now, self.process.name, "accept", connection.label)
        end.attach_process(self.process, self._factory())

    def get_loop(self) -> asyncio.AbstractEventLoop:
        """Return the process's event loop."""
        return self.process.loop

    def is_serving(self) -> bool:
        """Whether the socket listens."""
        return self._open

    async def start_serving(self) -> None:
        """Do nothing: the socket listens from its creation on."""

    async def serve_forever(self) -> None:
        """Wait until the task is cancelled, then close."""
        try:
            await self.process.loop.create_future()
        finally:
            self.close()

    def close(self) -> None:
        """Stop listening; connections that no process has accepted are reset."""
        if not self._open:
            return
        self._open = False
        self.network.unlisten(self)
        self.process.free_descriptor(self)
        pending, self._pending = self._pending, {}
        for connection in pending:
            if not self.process.host.silent:
                connection.server.socket.resets = True
            connection.server.close_socket()
        for waiter in self._closed:
            if not waiter.done():
                waiter.set_result(None)

    def process_died(self) -> None:
        """Close the socket, as the kernel does."""
        self._closed.clear()
        self.close()

    async def wait_closed(self) -> None:
        """Wait until the socket is closed."""
        if self._open:
            waiter = self.process.loop.create_future()
            self._closed.append(waiter)
            await waiter
