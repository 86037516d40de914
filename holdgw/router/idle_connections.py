"""One endpoint's connections between two exchanges, each of which rests after an answer before its next use.

Answers in RESP2 and HTTP/1.1 carry no id. An answer that nobody asked for, such as a second copy of one,
would therefore be read as the answer to whatever is written next on its connection. What arrives while a
connection has no exchange belongs to none, and closes it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Any

from holdgw.policy import NS_PER_S

if TYPE_CHECKING:
    from holdgw.router.endpoint_connection import EndpointConnection

REST_NS = 25 * NS_PER_S // 1000
"""Time between an answer and the next request on its connection; a second answer comes sooner."""


class IdleConnections:
    """The connections of one endpoint that have no exchange: those that rest, and those that may be used.

    Both are in the order of their last use. The one that was used last is used first, so that surplus ones
    reach the idle timeout.
    """

    def __init__(self, idle_timeout_ns: int, has_pending_input: Callable[[Any], bool]) -> None:
        """Create an empty collection.

        Args:
            idle_timeout_ns: Idle time after which a connection is closed instead of being used.
            has_pending_input: Whether the kernel holds input of a transport that is not read, or its end.
        """
        self._idle_timeout_ns = idle_timeout_ns
        self._has_pending_input = has_pending_input
        self._resting: deque[EndpointConnection] = deque()
        self._rested: deque[EndpointConnection] = deque()

    def __len__(self) -> int:
        return len(self._resting) + len(self._rested)

    def __iter__(self) -> Iterator[EndpointConnection]:
        yield from self._rested
        yield from self._resting

    @property
    def resting_count(self) -> int:
        """The number of connections whose rest has not ended, as of the last call of `take`."""
        return len(self._resting)

    @property
    def rest_ends_ns(self) -> int:
        """When the first of the resting connections may be used; only valid if there is one."""
        return self._resting[0].idle_since_ns + REST_NS

    def add_answered(self, connection: EndpointConnection, now_ns: int) -> None:
        """Add a connection whose answer has just arrived; its rest begins."""
        connection.idle_since_ns = now_ns
        self._resting.append(connection)

    def add_unused(self, connection: EndpointConnection, now_ns: int) -> None:
        """Add a connection that needs no rest: a new one, or one that `take` has returned."""
        connection.idle_since_ns = now_ns
        self._rested.append(connection)

    def take(self, now_ns: int) -> EndpointConnection | None:
        """Remove and return a connection on which a request may be written; None if there is none.

        One with pending input stays out of the collection, and the event loop closes it once it has read that
        input. After a stall of the process a rest may have ended by the clock before the input was read.
        """
        resting = self._resting
        while resting and resting[0].idle_since_ns + REST_NS <= now_ns:
            self._rested.append(resting.popleft())
        while self._rested:
            connection = self._rested.pop()
            if not connection.usable or connection.idle_since_ns + self._idle_timeout_ns < now_ns:
                connection.close()
            elif not self._has_pending_input(connection.transport):
                return connection
        return None

    def remove(self, connection: EndpointConnection) -> None:
        """Remove a connection if it is here."""
        for connections in (self._rested, self._resting):
            if connection in connections:
                connections.remove(connection)

    def remove_all(self) -> list[EndpointConnection]:
        """Remove and return all connections."""
        removed = list(self)
        self._rested.clear()
        self._resting.clear()
        return removed

    def remove_expired(self, now_ns: int) -> list[EndpointConnection]:
        """Remove and return the connections that have reached the idle timeout."""
        expired: list[EndpointConnection] = []
        for connections in (self._rested, self._resting):
            while connections and connections[0].idle_since_ns + self._idle_timeout_ns < now_ns:
                expired.append(connections.popleft())
        return expired

    def longest_idle(self) -> EndpointConnection | None:
        """The connection that was used the longest time ago; None if there is none."""
        return next(iter(self), None)
