"""Graceful shutdown: answers all clients, then closes their connections or hands them over.

A request is forwarded only if its deadline lies before `ShutdownSchedule.answer_by_s`; what is still open
then gets its final answer. Connections are closed, or handed over, once nothing on them is unanswered.
"""

from __future__ import annotations

import asyncio
import logging
from typing import Any, NamedTuple, Protocol

from holdgw.operation.process_link import ClientHandover, ProcessLink
from holdgw.router.client_listener import ClientListener

ACCEPT_AFTER_SIGTERM_S = 0.5
"""Time for which connections are still accepted: clients keep connecting for up to 0.4 s."""
PARTIAL_COMMAND_WAIT_S = 0.65
"""Time after SIGTERM for which the router waits for the rest of a partly received command."""
SHUTDOWN_SLACK_S = 0.65
"""Time beyond the longest deadline; SIGKILL follows no sooner than 0.7 s beyond that deadline."""
WRITE_TIME_S = 0.15
"""Time kept for writing the last answers: a process may be held up for so long before it writes."""
KILL_SLACK_S = 0.7
"""Time beyond the longest deadline after which a process that has not ended is killed."""
POLL_INTERVAL_S = 0.01

log = logging.getLogger("holdgw")


class ShutdownSchedule(NamedTuple):
    """The times of one shutdown, in seconds of the event loop's clock."""

    partial_commands_until_s: float
    """Until then the router waits for the rest of a partly received command."""
    answer_by_s: float
    """By then every request is answered."""
    end_by_s: float
    """By then the process ends."""

    @classmethod
    def after_sigterm(cls, sigterm_s: float, max_deadline_s: float) -> ShutdownSchedule:
        """The schedule for a SIGTERM at `sigterm_s`; `max_deadline_s`: the longest deadline of a class."""
        end_by_s = sigterm_s + max_deadline_s + SHUTDOWN_SLACK_S
        return cls(sigterm_s + PARTIAL_COMMAND_WAIT_S, end_by_s - WRITE_TIME_S, end_by_s)


class ShutdownOwner(Protocol):
    """The process that is shut down, as `GracefulShutdown` uses it."""

    def sigterm_wait_s(self) -> float:
        """How long SIGTERM may have waited for this process, in seconds."""

    def reject_unanswerable(self, answer_within_s: float) -> None:
        """From now on reject requests whose deadline is more than `answer_within_s` seconds from now."""

    def answer_open_requests(self) -> None:
        """Give every unanswered request its final answer now."""

    def handover_link(self) -> ProcessLink[Any] | None:
        """The link to the process that takes over clients' connections; None if they are to be closed."""

    def adopt_client(self, handover: ClientHandover | None, descriptor: int) -> None:
        """Start to serve an accepted connection from which nothing has been read."""

    def adopting_count(self) -> int:
        """The number of connections that `adopt_client` was called for and that are not served yet."""


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
        sigterm_s = loop.time() - owner.sigterm_wait_s()
        self._schedule = ShutdownSchedule.after_sigterm(sigterm_s, max_deadline_s)
        self._handed_over = 0

    async def run(self) -> None:
        """Return once no client is connected, or the time limit has passed."""
        self._owner.reject_unanswerable(self._schedule.answer_by_s - self._loop.time())
        is_takeover = self._owner.handover_link() is not None
        if is_takeover:
            self._clients.stop_accepting()  # the new process accepts on the same socket
        else:
            await self._accept_last_clients()
        await self._end_connections(self._schedule.answer_by_s)
        self._owner.answer_open_requests()
        await self._end_connections(self._schedule.end_by_s)
        if is_takeover:
            await self._wait_until_sent()
            remaining = self._clients.connection_count
            log.info("takeover: connections handed over count=%d remaining=%d", self._handed_over, remaining)

    async def _accept_last_clients(self) -> None:
        # Clients are still directed here for a while; closing the listener now would reset their connections.
        await asyncio.sleep(ACCEPT_AFTER_SIGTERM_S)
        queued = self._clients.accept_queued()
        self._clients.stop_accepting()
        for descriptor in queued:
            self._owner.adopt_client(None, descriptor)

    async def _end_connections(self, until_s: float) -> None:
        """Close or hand over each connection on which all commands are answered.

        Returns once none is left, or at the time `until_s`. Even if that has passed, answers that were just
        written get one iteration of the event loop, in which they reach the kernel.
        """
        while self._clients.connection_count or self._owner.adopting_count():
            link = self._owner.handover_link()
            if link is None:
                self._clients.close_gracefully(even_mid_command=self._partial_wait_is_over())
            else:
                self._handed_over += self._clients.hand_over(link.send, self._partial_wait_is_over())
            await asyncio.sleep(POLL_INTERVAL_S)
            if self._loop.time() >= until_s:
                return

    async def _wait_until_sent(self) -> None:
        while self._loop.time() < self._schedule.end_by_s:
            link = self._owner.handover_link()
            if link is None or link.sent:
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    def _partial_wait_is_over(self) -> bool:
        return self._loop.time() >= self._schedule.partial_commands_until_s
