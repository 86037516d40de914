"""Assigns exchanges to connections, within limits for descriptors and for buffered bytes."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable, Iterator
from functools import partial
from typing import Any

from holdgw.policy import NS_PER_S, Outcome
from holdgw.router.dialing import DialTimeoutError, open_connection
from holdgw.router.endpoint_connection import EndpointConnection
from holdgw.router.endpoint_pool import EndpointPool
from holdgw.router.exchange import Exchange
from holdgw.router.platform import has_pending_input
from holdgw.router.turn_budget import MAX_SHARE_NS
from holdgw.wire.address import Address

MAX_CONNECTIONS_PER_ENDPOINT = 16
"""More than an endpoint works on at a time, so that the excess queues in the router."""
MAX_RESTING_CONNECTIONS_PER_ENDPOINT = 128
"""With so many connections resting after an answer, exchanges wait for one of them."""
IDLE_TIMEOUT_FRACTION = 0.6
"""Fraction of the endpoint's idle timeout after which the router closes an idle connection.

A request that is written as the endpoint closes the connection is lost.
"""
SWEEP_INTERVAL_S = 0.5
LATE_ANSWER_TIMEOUT_S = 2.0
"""Time for the answer of an abandoned exchange to arrive before its connection is closed."""
CONNECTIONS_PER_LATE_ANSWER = 4
"""Of max_per_endpoint, 1 / CONNECTIONS_PER_LATE_ANSWER connections may wait for late answers."""
TIMER_RESOLUTION_S = 0.001
"""The event loop's timers may fire early by as much."""
DEFAULT_MAX_RESERVED_BYTES = 8 << 20


class PoolCounters:
    """Running totals of a connection pool."""

    def __init__(self) -> None:
        self.dials = 0
        self.dials_refused = 0
        self.dials_timed_out = 0
        self.evicted = 0
        self.idle_timeouts = 0
        self.idle_connections_lost = 0
        self.abandoned = 0
        self.late_answers = 0

    def by_name(self) -> dict[str, int]:
        """The totals under their names in the log of interval counters."""
        return {
            "dials": self.dials,
            "dials refused": self.dials_refused,
            "dials timed out": self.dials_timed_out,
            "evicted": self.evicted,
            "rested too long": self.idle_timeouts,
            "deserted": self.idle_connections_lost,
            "given up on": self.abandoned,
            "late answers": self.late_answers,
        }


class ConnectionPool:
    """The connections to all endpoints, and the exchanges that wait for one."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        limit: int,
        dial_timeout_s: float,
        endpoint_idle_timeout_s: float,
        max_reserved_bytes: int = DEFAULT_MAX_RESERVED_BYTES,
        hedging: bool = False,
        now_ns: Callable[[], int] = time.monotonic_ns,
        has_pending_input: Callable[[Any], bool] = has_pending_input,
    ) -> None:
        """Create a pool without endpoints.

        Args:
            loop: The event loop.
            limit: Descriptors that connections and dials may use.
            dial_timeout_s: How long a dial may take.
            endpoint_idle_timeout_s: The idle time after which endpoints close connections.
            max_reserved_bytes: Memory for long values that can't be streamed.
            hedging: Whether a request may be sent again while an earlier attempt is in flight on an open
                connection.
            now_ns: A monotonic clock in nanoseconds. The loop's clock stands still while callbacks run.
            has_pending_input: Whether the kernel holds input of a transport that is not read, or its end.
        """
        self.max_per_endpoint = MAX_CONNECTIONS_PER_ENDPOINT
        self.counters = PoolCounters()
        self._loop = loop
        self._limit = limit
        self._dial_timeout_s = dial_timeout_s
        self.idle_timeout_ns = int(endpoint_idle_timeout_s * IDLE_TIMEOUT_FRACTION * NS_PER_S)
        self.has_pending_input = has_pending_input
        self._now_ns = now_ns
        self._max_reserved_bytes = max_reserved_bytes
        self._reserved_bytes = 0
        self._hedging = hedging
        self._endpoints: dict[str, EndpointPool] = {}
        self._descriptors = 0  # connections and dials
        self._awaiting_descriptor: dict[EndpointPool, None] = {}  # can't dial at the limit; the oldest first
        self._sweep_timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    # Endpoints

    def add_endpoint(
        self, endpoint_id: str, address: Address, connect: Callable[[EndpointPool], EndpointConnection]
    ) -> None:
        """Make an endpoint available at `address`; `connect` creates the protocol object of a connection."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is None:
            self._endpoints[endpoint_id] = EndpointPool(self, endpoint_id, address, connect)
            return
        if endpoint.address != address:
            self._retire(endpoint)
            endpoint.address = address
        endpoint.available = True

    def remove_endpoint(self, endpoint_id: str) -> None:
        """Stop using a draining or removed endpoint: exchanges in flight finish, waiting ones end."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is not None:
            endpoint.available = False
            self._retire(endpoint)
            self._remove_if_unused(endpoint)

    def __contains__(self, endpoint_id: str) -> bool:
        endpoint = self._endpoints.get(endpoint_id)
        return endpoint is not None and endpoint.available

    def endpoints(self) -> Iterator[str]:
        """The ids of the available endpoints."""
        return (endpoint.id for endpoint in self._endpoints.values() if endpoint.available)

    def idle_connections_closed(self, endpoint_id: str) -> bool:
        """Whether the endpoint has closed an idle connection, and none has been opened since."""
        endpoint = self._endpoints.get(endpoint_id)
        return endpoint is not None and endpoint.idle_connections_closed

    def _retire(self, endpoint: EndpointPool) -> None:
        """Retire all connections, close those without an exchange, and end the waiting exchanges."""
        for connection in list(endpoint.awaiting_late_answer):
            connection.close()
        for connection in endpoint.connections:
            connection.retired = True
        for connection in endpoint.idle.remove_all():
            connection.close()
        waiting = endpoint.waiting
        endpoint.waiting = deque()
        for exchange in waiting:
            exchange.end(Outcome.CONNECT_FAILED)

    def _remove_if_unused(self, endpoint: EndpointPool) -> None:
        if not endpoint.available and not endpoint.descriptor_count:
            self._endpoints.pop(endpoint.id, None)

    # Exchanges

    def submit(self, endpoint_id: str, exchange: Exchange) -> None:
        """Start an exchange on an idle connection, or queue it and dial a connection for it."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is None or not endpoint.available:
            exchange.end(Outcome.CONNECT_FAILED)
            return
        if (reason := exchange.cancellation_reason()) is not None:
            exchange.end(reason)
            return
        if not endpoint.waiting and endpoint.counted_connections < self.max_per_endpoint:
            connection = endpoint.idle.take(self._now_ns())
            if connection is not None:
                connection.start(exchange)
                return
        endpoint.waiting.append(exchange)
        self._serve_waiting(endpoint)

    def connection_released(self, connection: EndpointConnection) -> None:
        """Let a connection whose answer is complete rest; its exchange's place is free for a waiting one."""
        endpoint = connection.endpoint
        endpoint.streaming.pop(connection, None)
        if not connection.usable:
            connection.close()
            return
        endpoint.idle.add_answered(connection, self._now_ns())
        if endpoint.waiting:
            self._serve_waiting(endpoint)
        self._dial_deferred()

    def _serve_waiting(self, endpoint: EndpointPool) -> None:
        """Start waiting exchanges on connections that have rested, and dial for the others."""
        while endpoint.waiting and endpoint.counted_connections < self.max_per_endpoint:
            if endpoint.serve_next_turn is not None:
                return
            connection = endpoint.idle.take(self._now_ns())
            if connection is None:
                break
            self._start_waiting(connection)
        self._dial_for(endpoint)

    def _start_waiting(self, connection: EndpointConnection) -> None:
        """Start the exchange that waits longest on a connection; without one, the connection stays idle.

        It may also stay idle for a turn of the event loop, if many exchanges have ended that were before it.
        """
        endpoint = connection.endpoint
        until_ns = self._now_ns() + MAX_SHARE_NS
        while endpoint.waiting and connection.usable:
            exchange = endpoint.waiting.popleft()
            if exchange.ended:
                continue
            if (reason := exchange.cancellation_reason()) is not None:
                exchange.end(reason)
                if self._now_ns() < until_ns:
                    continue
                self._serve_next_turn(endpoint)
                break
            connection.start(exchange)
            return
        if connection.usable:  # ending the exchanges above may have retired it
            endpoint.idle.add_unused(connection, self._now_ns())
        else:
            connection.close()

    def _serve_next_turn(self, endpoint: EndpointPool) -> None:
        if endpoint.serve_next_turn is None:
            endpoint.serve_next_turn = self._loop.call_soon(self._next_turn_began, endpoint)

    def _next_turn_began(self, endpoint: EndpointPool) -> None:
        endpoint.serve_next_turn = None
        self._serve_waiting(endpoint)

    def _await_rest(self, endpoint: EndpointPool) -> None:
        """Serve the waiting exchanges again when the first of the resting connections may be used."""
        if endpoint.waiting and endpoint.idle.resting_count and endpoint.rest_timer is None:
            remaining_s = max(endpoint.idle.rest_ends_ns - self._now_ns(), 0) / NS_PER_S
            endpoint.rest_timer = self._loop.call_later(
                remaining_s + TIMER_RESOLUTION_S, self._rest_ended, endpoint
            )

    def _rest_ended(self, endpoint: EndpointPool) -> None:
        endpoint.rest_timer = None
        self._serve_waiting(endpoint)

    def connection_lost(self, connection: EndpointConnection) -> None:
        """Remove a closed connection; its descriptor is free."""
        endpoint = connection.endpoint
        if connection not in endpoint.connections:
            return
        endpoint.connections.pop(connection, None)
        endpoint.streaming.pop(connection, None)
        endpoint.awaiting_late_answer.pop(connection, None)
        self._descriptors -= 1
        endpoint.idle.remove(connection)
        self._dial_for(endpoint)
        self._remove_if_unused(endpoint)
        self._dial_deferred()

    def idle_connection_lost(self, connection: EndpointConnection) -> None:
        """Note that an endpoint closed an idle connection, as a process does when it ends."""
        connection.endpoint.idle_connections_closed = True
        self.counters.idle_connections_lost += 1

    def stream_started(self, connection: EndpointConnection) -> None:
        """Stop counting a connection that streams a long value towards its endpoint's limit."""
        connection.endpoint.streaming[connection] = None
        self._dial_for(connection.endpoint)

    def keep_for_late_answer(self, connection: EndpointConnection) -> bool:
        """Keep the connection of an abandoned exchange until its answer arrives; returns whether it is kept.

        Closing the connection would not stop the endpoint's work on the request, and would cost an endpoint
        that is already late another dial and handshake. When 60 % of 200 cache servers were replaced, 200
        routers dialled 10,000 times in 2 s instead of 1,200, and continued long after. Only a few connections
        wait, and for a limited time, as answers may be lost.
        """
        endpoint = connection.endpoint
        limit = max(self.max_per_endpoint // CONNECTIONS_PER_LATE_ANSWER, 1)
        if not (self._hedging and connection.can_await_late_answer):
            return False
        if not (connection.usable and endpoint.available):
            return False
        if connection.write_pending or connection.reading_paused:
            return False
        if len(endpoint.awaiting_late_answer) >= limit:
            return False
        endpoint.awaiting_late_answer[connection] = self._loop.time()
        self._dial_for(endpoint)
        return True

    def late_answer_received(self, connection: EndpointConnection) -> None:
        """Note that the answer of an abandoned exchange has arrived and is dropped."""
        del connection.endpoint.awaiting_late_answer[connection]
        self.counters.late_answers += 1

    # Limits

    def reserve_bytes(self, size: int) -> bool:
        """Reserve memory for a long value that can't be streamed; returns whether there is enough."""
        if self._reserved_bytes + size > self._max_reserved_bytes:
            return False
        self._reserved_bytes += size
        return True

    def release_bytes(self, size: int) -> None:
        """Release reserved memory."""
        self._reserved_bytes -= size

    def set_limit(self, limit: int) -> None:
        """Use at most `limit` descriptors; idle connections above it are closed now."""
        self._limit = limit
        while self._descriptors > limit and self._evict():
            pass
        self._dial_deferred()

    def tables(self) -> dict[str, int]:
        """The sizes of the pool's tables under their names in the log of interval counters."""
        endpoints = self._endpoints.values()
        return {
            "servers": len(endpoints),
            "connections": sum(len(endpoint.connections) for endpoint in endpoints),
            "connections_idle": sum(len(endpoint.idle) for endpoint in endpoints),
            "dials": sum(len(endpoint.dials) for endpoint in endpoints),
            "waiting": sum(len(endpoint.waiting) for endpoint in endpoints),
            "descriptors_counted": self._descriptors,
            "starved": len(self._awaiting_descriptor),
            "owed": sum(len(endpoint.awaiting_late_answer) for endpoint in endpoints),
            "streams": sum(len(endpoint.streaming) for endpoint in endpoints),
            "bytes_held": self._reserved_bytes,
        }

    def _evict(self) -> bool:
        """Close a connection that awaits a late answer, else the one idle longest; returns whether any."""
        awaiting = [
            connection
            for endpoint in self._endpoints.values()
            for connection in endpoint.awaiting_late_answer
        ]
        idle = [
            connection
            for endpoint in self._endpoints.values()
            if (connection := endpoint.idle.longest_idle()) is not None
        ]
        if not (awaiting or idle):
            return False
        evicted = awaiting[0] if awaiting else min(idle, key=lambda connection: connection.idle_since_ns)
        endpoint = evicted.endpoint
        if awaiting:
            del endpoint.awaiting_late_answer[evicted]
        else:
            endpoint.idle.remove(evicted)
        endpoint.connections.pop(evicted, None)
        self._descriptors -= 1
        self.counters.evicted += 1
        evicted.close()
        return True

    # Dials

    def _dial_for(self, endpoint: EndpointPool) -> None:
        """Dial for the waiting exchanges, as far as the limits allow; others wait for a rest to end."""
        while endpoint.waiting and endpoint.waiting[0].ended:
            endpoint.waiting.popleft()
        while self._may_dial(endpoint):
            # Without a limit, connections to endpoints would leave no descriptors for clients.
            if self._descriptors >= self._limit:
                rests_suffice = endpoint.idle.resting_count >= len(endpoint.waiting)
                if rests_suffice or not self._evict():
                    self._awaiting_descriptor[endpoint] = None
                    break
            self._descriptors += 1
            self.counters.dials += 1
            dial = self._loop.create_task(self._dial(endpoint))
            endpoint.dials[dial] = None
        self._await_rest(endpoint)

    def _may_dial(self, endpoint: EndpointPool) -> bool:
        return (
            len(endpoint.waiting) > len(endpoint.dials)
            and endpoint.counted_connections < self.max_per_endpoint
            and endpoint.idle.resting_count < MAX_RESTING_CONNECTIONS_PER_ENDPOINT
        )

    def _dial_deferred(self) -> None:
        """Dial for the endpoints that could not dial at the limit of descriptors, the oldest first.

        Otherwise their exchanges would wait although other endpoints have idle connections to evict.
        """
        if self._awaiting_descriptor:
            deferred = self._awaiting_descriptor
            self._awaiting_descriptor = {}
            for endpoint in deferred:
                self._dial_for(endpoint)

    async def _dial(self, endpoint: EndpointPool) -> None:
        """Open one connection for the exchange that waits longest, if any still waits then."""
        connection: EndpointConnection | None = None
        address = endpoint.address
        task = asyncio.current_task()
        assert task is not None
        try:
            connection = await open_connection(
                self._loop, address, partial(endpoint.connect, endpoint), self._dial_timeout_s
            )
        except DialTimeoutError:
            self.counters.dials_timed_out += 1
        except OSError:
            self.counters.dials_refused += 1
        finally:
            endpoint.dials.pop(task, None)
            if connection is None:
                self._descriptors -= 1
        if connection is None or not connection.usable:
            if connection is not None:
                self._descriptors -= 1
            self._dial_failed(endpoint)
            return
        endpoint.connections[connection] = None
        endpoint.idle_connections_closed = False
        connection.retired = not endpoint.available or endpoint.address != address
        self._start_waiting(connection)
        self._dial_deferred()

    def _dial_failed(self, endpoint: EndpointPool) -> None:
        while endpoint.waiting:
            exchange = endpoint.waiting.popleft()
            if not exchange.ended:
                exchange.end(Outcome.CONNECT_FAILED)
                break
        self._dial_for(endpoint)
        self._remove_if_unused(endpoint)

    # Sweep and close

    def _sweep(self) -> None:
        """Close connections that were idle or awaited a late answer for too long.

        An idle connection takes resources of the endpoint, too.
        """
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now = self._loop.time()
        for endpoint in list(self._endpoints.values()):
            for connection in endpoint.idle.remove_expired(self._now_ns()):
                self.counters.idle_timeouts += 1
                connection.close()
            overdue = [
                connection
                for connection, since in endpoint.awaiting_late_answer.items()
                if since < now - LATE_ANSWER_TIMEOUT_S
            ]
            for connection in overdue:
                connection.close()
        self._dial_deferred()

    def close(self) -> None:
        """Cancel all dials and close all connections."""
        self._sweep_timer.cancel()
        for endpoint in list(self._endpoints.values()):
            if endpoint.rest_timer is not None:
                endpoint.rest_timer.cancel()
            if endpoint.serve_next_turn is not None:
                endpoint.serve_next_turn.cancel()
            for dial in list(endpoint.dials):
                dial.cancel()
            for connection in list(endpoint.connections):
                connection.close()
