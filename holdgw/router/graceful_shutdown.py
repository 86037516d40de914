"""Graceful shutdown: answers all clients, then closes their connections or hands them over."""

from __future__ import annotations

import asyncio
import logging
from typing import Any, Protocol

from holdgw.operation.process_link import ClientHandover, ProcessLink
from holdgw.router.client_listener import ClientListener

ACCEPT_AFTER_SIGTERM_S = 0.5
"""Time for which connections are still accepted: clients keep connecting for up to 0.4 s."""
PARTIAL_COMMAND_WAIT_S = 0.65
"""Time after SIGTERM for which the router waits for the rest of a partly received command."""
SHUTDOWN_SLACK_S = 0.65
"""Time beyond the longest deadline; SIGKILL follows no sooner than 0.7 s beyond that deadline."""
POLL_INTERVAL_S = 0.01

log = logging.getLogger("holdgw")


class ShutdownOwner(Protocol):
    """The process that is shut down, as `GracefulShutdown` uses it."""

    def handover_link(self) -> ProcessLink[Any] | None:
        """The link to the process that takes over clients' connections; None if they are to be closed."""

    def adopt_client(self, handover: ClientHandover | None, descriptor: int) -> None:
        """Serve an accepted connection from which nothing has been read."""


class GracefulShutdown:
    """One shutdown, created when it starts; it ends before the process would be killed."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clients: ClientListener,
        owner: ShutdownOwner,
        max_deadline_s: float,
    ) -> None:
        """`max_deadline_s`: the longest time for which a client waits for an answer."""
        self._loop = loop
        self._clients = clients
        self._owner = owner
        started_s = loop.time()
        self._end_by_s = started_s + max_deadline_s + SHUTDOWN_SLACK_S
        self._partial_commands_until_s = started_s + PARTIAL_COMMAND_WAIT_S

    async def run(self) -> None:
        """Return once no client is connected, or the time limit has passed."""
        if self._owner.handover_link() is not None:
            await self._hand_over()
        else:
            await self._drain()

    async def _drain(self) -> None:
        """Close each client's connection once all commands received on it are answered."""
        # Clients are still directed here for a while; closing the listener now would reset their connections.
        await asyncio.sleep(ACCEPT_AFTER_SIGTERM_S)
        queued = self._clients.accept_queued()
        self._clients.stop_accepting()
        for descriptor in queued:
            self._owner.adopt_client(None, descriptor)
        while self._clients.connection_count and self._loop.time() < self._end_by_s:
            self._close_answered()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _hand_over(self) -> None:
        """Hand each client's connection to the new process once all commands on it are answered."""
        self._clients.stop_accepting()  # the new process accepts on the same socket
        handed_over = 0
        while self._clients.connection_count and self._loop.time() < self._end_by_s:
            link = self._owner.handover_link()
            if link is None:
                self._close_answered()
            else:
                handed_over += self._clients.hand_over(link.send, stop_reading=self._partial_wait_is_over())
            await asyncio.sleep(POLL_INTERVAL_S)
        await self._wait_until_sent()
        remaining = self._clients.connection_count
        log.info("takeover: connections handed over count=%d remaining=%d", handed_over, remaining)

    async def _wait_until_sent(self) -> None:
        while self._loop.time() < self._end_by_s:
            link = self._owner.handover_link()
            if link is None or link.sent:
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    def _close_answered(self) -> None:
        self._clients.close_gracefully(even_mid_command=self._partial_wait_is_over())

    def _partial_wait_is_over(self) -> bool:
        return self._loop.time() >= self._partial_commands_until_s
