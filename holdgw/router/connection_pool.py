"""Connections to cache servers and the origin: exchanges, the connections they run on, and their pool."""

from __future__ import annotations

import asyncio
import logging
import socket
from abc import abstractmethod
from collections import deque
from collections.abc import Callable, Iterator
from functools import partial
from typing import Any, cast

from holdgw.policy import CacheStatus, Outcome
from holdgw.wire.address import Address

MAX_CONNECTIONS_PER_ENDPOINT = (
    16  # connections to one server: more than it works on at a time, so that a jam waits here
)
IDLE_SHARE = 0.6  # of the server's idle limit: well before it, for a request that crosses its close is lost
SWEEP_INTERVAL_S = 0.5
STREAM_BUFFER = 64 << 10  # bytes of a long value that the kernel may take in, which it doubles
LINGER_S = 2.0  # in which an answer that nobody waits for any more must come, for its connection to be kept
LINGER_SHARE = 4  # of a server's connections one in so many may wait for such an answer
LATE_NOTICE_S = 0.02  # a timer this late means that the loop was held up, and news may wait in the kernel

log = logging.getLogger("holdgw")


class Exchange:
    """One command or HTTP request to a server and what comes of it; told of its end exactly once."""

    connection: Connection | None = None
    over = False
    is_health_check = False
    fresh = False  # the first one on its connection
    begun = False  # some of its answer has come

    def cancellation_reason(self) -> Outcome | None:
        """Why it must not be written any more; asked in the turn in which it would be. None: it may be."""
        return None

    def on_written(self) -> None:
        """The kernel has taken the last byte of the request."""

    @abstractmethod
    def request_bytes(self, address: Address) -> bytes:
        """Write the request down; called when the connection for it is at hand."""

    def value_started(self, length: int) -> None:
        """A value follows that is too long to be held; its parts come as the server gives them."""

    def value_part(self, data: bytes) -> None:
        """A part of that value came."""

    def value_complete(self) -> None:
        """All of that value has come."""

    @abstractmethod
    def on_end(
        self,
        outcome: Outcome,
        value: bytes | None = None,
        note: CacheStatus | None = None,
        report: bytes | None = None,
    ) -> None:
        """Take the end."""

    def end(
        self,
        outcome: Outcome,
        value: bytes | None = None,
        note: CacheStatus | None = None,
        report: bytes | None = None,
    ) -> None:
        """End the exchange, unless it is over already."""
        if not self.over:
            self.over, self.connection = True, None
            self.on_end(outcome, value, note, report)

    def abandon(self, outcome: Outcome) -> None:
        """Stop waiting."""
        connection = self.connection
        if connection is not None:
            connection.exchange = None
            pool = connection.server.pool
            pool.counts["given up on"] += 1
            # Danger: a late answer would be taken for the next request's. So the connection takes it first
            # and drops it, or goes too.
            if outcome is not Outcome.TIMEOUT or self.begun or not pool.awaits_late_answer(connection):
                connection.close()
        self.end(outcome)


class Connection:
    """One connection, with at most one exchange on it: an answer never waits behind another's.

    A protocol in asyncio's sense; a class of no foreign base is one that compiles to plain fields.
    """

    patient = False
    """Whether an answer that nobody waits for any more can be told from the next one here."""

    def __init__(self, server: EndpointPool) -> None:
        self.server = server
        self.exchange: Exchange | None = None
        self.transport: asyncio.Transport | None = None
        self.idle_since = 0.0
        self.unsent = False  # the kernel has not taken the last byte of the request yet
        self.retired = False
        self._used = False
        self.paused = False  # nothing is read: what has come is not taken
        self.turned_away = False  # its last answer was that the server is full, which may close it then

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport; a limit of 0 tells precisely whether the kernel has taken every byte."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's own class is no subclass
        self.transport.set_write_buffer_limits(high=0)

    def eof_received(self) -> None:
        """The server sends no more: the transport closes, and its loss tells."""

    def pause_writing(self) -> None:
        """The kernel has not taken all."""
        self.unsent = True

    def resume_writing(self) -> None:
        """The kernel has taken the last byte."""
        self.unsent = False
        if self.exchange is not None:
            self.exchange.on_written()

    @property
    def usable(self) -> bool:
        """Whether another exchange may start here."""
        return not self.retired and self.transport is not None and not self.transport.is_closing()

    def start(self, exchange: Exchange) -> None:
        """Send the exchange's request."""
        assert self.transport is not None
        self.exchange, exchange.connection = exchange, self
        exchange.fresh, self._used = not self._used, True
        self.transport.write(exchange.request_bytes(self.server.address))
        if not self.unsent:
            exchange.on_written()

    def value_begins(self, length: int) -> None:
        """The answer's value is too long to be held: from here on the exchange has it as it comes."""
        assert self.transport is not None
        if self.exchange is None:
            self.close()  # it would all have to be read, for nobody
            return
        # Danger: the kernel would take in megabytes of each value, and one read give a quarter of one. It
        # could do harm to throughput over long lines; these are short.
        self.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, STREAM_BUFFER)
        self.server.pool.streams(self)
        self.exchange.value_started(length)

    @property
    def streaming(self) -> bool:
        """Whether it passes a long value on."""
        return self in self.server.streams

    @property
    def owed(self) -> bool:
        """Whether an answer that nobody waits for any more is to come."""
        return self in self.server.owed

    def pause(self) -> None:
        """Read no more for now."""
        # Danger: one that is retired (its server drains) still brings what is under way.
        if not self.paused and self.transport is not None and not self.transport.is_closing():
            self.paused = True
            self.transport.pause_reading()

    def resume(self) -> None:
        """Read again."""
        if self.paused:
            self.paused = False
            if self.transport is not None and not self.transport.is_closing():
                self.transport.resume_reading()

    def close(self) -> None:
        """Close at once; what is unsent is dropped."""
        self.retired = True
        if self.transport is not None:
            self.transport.abort()

    def finish(
        self,
        outcome: Outcome,
        value: bytes | None = None,
        note: CacheStatus | None = None,
        report: bytes | None = None,
    ) -> None:
        """End the exchange by a whole answer, and go back to the pool."""
        exchange, self.exchange = self.exchange, None
        self.turned_away = outcome is Outcome.OVERLOADED
        self.resume()
        if self.owed:
            self.server.pool.late_answer_received(self)
        self.server.pool.connection_released(self)
        if exchange is not None:
            exchange.end(outcome, value, note, report)

    def spoil(self, reason: str) -> None:
        """Bytes came that are no answer: the exchange failed, and nothing more is believed here."""
        log.warning("%s: %s", self.server.id, reason)
        exchange, self.exchange = self.exchange, None
        self.close()
        if exchange is not None:
            exchange.end(Outcome.MALFORMED)

    def data_received(self, data: bytes) -> None:
        """Read an answer; an exception here costs this connection and no other."""
        if self.exchange is not None:
            self.exchange.begun = True
        elif not self.usable:
            return
        elif not self.owed:
            self.spoil("sent an answer that nobody asked for")
            return
        try:
            self.answer_came(data)
        except Exception:
            log.exception("%s: reading an answer failed", self.server.id)
            self.spoil("reading an answer failed")

    @abstractmethod
    def answer_came(self, data: bytes) -> None:
        """Read a part of the answer."""

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell a waiting exchange; only a request that the kernel never took whole has surely not run."""
        # Danger: one that found the server's table full is answered so and closed. To take that for a death
        # leaves out a server that lives, at the next connection that it refuses.
        rested = self.exchange is None and not (self.retired or self.turned_away or self.owed)
        self.retired = True
        exchange, self.exchange = self.exchange, None
        # A process that dies resets what rests: whoever meets it next need not find out by himself.
        self.server.deserted |= rested
        self.server.pool.counts["deserted"] += rested
        self.server.pool.connection_lost(self)
        if exchange is not None:
            exchange.end(Outcome.CONNECT_FAILED if self.unsent else Outcome.RESET)


class EndpointPool:
    """One listed server as the pool sees it."""

    def __init__(
        self,
        pool: ConnectionPool,
        server_id: str,
        address: Address,
        connect: Callable[[EndpointPool], Connection],
    ):
        self.pool, self.id, self.address, self.connect = pool, server_id, address, connect
        self.open = True  # listed, and not draining
        self.idle: list[Connection] = []  # the one used last at the end: spares grow old and are retired
        self.connections: dict[Connection, None] = {}
        self.dials: dict[asyncio.Task[None], None] = {}
        self.streams: dict[Connection, None] = {}  # those of the connections that pass long values on
        self.waiting: deque[Exchange] = deque()
        self.owed: dict[Connection, float] = {}  # those on which a late answer is to come, and since when
        self.deserted = False  # it closed one that rested, and none has come up since

    @property
    def held(self) -> int:
        """Connections that are up or being dialled."""
        return len(self.connections) + len(self.dials)

    @property
    def at_work(self) -> int:
        """Those of them that count towards the most: a long value may take a slow client seconds."""
        return self.held - len(self.streams) - len(self.owed)


class ConnectionPool:
    """Deals exchanges out to connections, within the share of descriptors that servers have."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        limit: int,
        dial_timeout: float,
        idle_close: float,
        room: int = 8 << 20,
        copies: bool = False,
    ) -> None:
        """`limit`: descriptors; times in seconds; `room`: bytes of long values that may be held; `copies`:
        whether a request may go out again while an earlier attempt is still out on an open connection.
        """
        self._copies = copies
        self._loop, self._limit, self._dial_timeout = loop, limit, dial_timeout
        self.per_server = MAX_CONNECTIONS_PER_ENDPOINT
        self._idle_limit = idle_close * IDLE_SHARE
        self._servers: dict[str, EndpointPool] = {}
        self._held = 0  # descriptors: connections and dials
        self._room, self._held_bytes = room, 0
        self.counts = {
            "dials": 0,
            "dials refused": 0,
            "dials timed out": 0,
            "evicted": 0,
            "rested too long": 0,
            "deserted": 0,
            "given up on": 0,
            "late answers": 0,
        }
        self._starved: dict[EndpointPool, None] = {}  # those for whose waiters there was no descriptor
        self._sweep_timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def add_endpoint(
        self, server_id: str, address: Address, connect: Callable[[EndpointPool], Connection]
    ) -> None:
        """A server may be sent to, at this address."""
        server = self._servers.get(server_id)
        if server is None:
            self._servers[server_id] = EndpointPool(self, server_id, address, connect)
            return
        if server.address != address:
            self._retire(server)
            server.address = address
        server.open = True

    def remove_endpoint(self, server_id: str) -> None:
        """A server drains or is gone: it finishes what it has, and nothing waits for it any longer."""
        server = self._servers.get(server_id)
        if server is not None:
            server.open = False
            self._retire(server)
            self._forget(server)

    def streams(self, connection: Connection) -> None:
        """A connection begins to pass a long value on: it no longer keeps another from being dialled."""
        connection.server.streams[connection] = None
        self._dial_for(connection.server)

    def awaits_late_answer(self, connection: Connection) -> bool:
        """Keep a connection whose answer nobody waits for any more until that has come; returns whether.

        Danger: where servers are late, each request given up on would close its connection, and the next one
        be a dial and a handshake that the server has even less time for: as six in ten of 200 servers were
        replaced, 200 routers dialled 10,000 times in 2 s in place of 1,200, until long after. What is given
        up on is worked on all the same. It could do harm where answers are lost: hence a few only, and not
        for long.
        """
        server = connection.server
        most = max(self.per_server // LINGER_SHARE, 1)
        if not (self._copies and connection.patient and connection.usable and server.open):
            return False
        if connection.unsent or connection.paused or len(server.owed) >= most:
            return False
        server.owed[connection] = self._loop.time()
        self._dial_for(server)
        return True

    def late_answer_received(self, connection: Connection) -> None:
        """The late answer has come, and is dropped."""
        del connection.server.owed[connection]
        self.counts["late answers"] += 1

    def reserve_bytes(self, size: int) -> bool:
        """Take so many bytes of the room for long values that can't be passed on as they come."""
        if self._held_bytes + size > self._room:
            return False
        self._held_bytes += size
        return True

    def release_bytes(self, size: int) -> None:
        """Give room back."""
        self._held_bytes -= size

    def set_limit(self, limit: int) -> None:
        """Hold so many descriptors at most; idle connections past that are closed now."""
        self._limit = limit
        while self._held > limit and self._evict():
            pass
        self._feed_starved()

    def idle_connections_closed(self, server_id: str) -> bool:
        """Whether the server has closed connections that rested, and none has come up since."""
        server = self._servers.get(server_id)
        return server is not None and server.deserted

    def __contains__(self, server_id: str) -> bool:
        server = self._servers.get(server_id)
        return server is not None and server.open

    def endpoints(self) -> Iterator[str]:
        """The servers that may be sent to."""
        return (server.id for server in self._servers.values() if server.open)

    def submit(self, server_id: str, exchange: Exchange) -> None:
        """Start an exchange on an idle connection, or have it wait for one."""
        server = self._servers.get(server_id)
        if server is None or not server.open:
            exchange.end(Outcome.CONNECT_FAILED)
            return
        if (unwanted := exchange.cancellation_reason()) is not None:
            exchange.end(unwanted)
            return
        oldest = self._loop.time() - self._idle_limit
        while server.idle:
            connection = server.idle.pop()
            if connection.usable and connection.idle_since >= oldest:
                connection.start(exchange)
                return
            connection.close()
        server.waiting.append(exchange)
        self._dial_for(server)

    def connection_released(self, connection: Connection) -> None:
        """A connection has its answer: it takes what waits, or rests."""
        server = connection.server
        server.streams.pop(connection, None)
        if not connection.usable:
            connection.close()
            return
        while server.waiting and connection.usable:
            exchange = server.waiting.popleft()
            if exchange.over:
                continue
            if (unwanted := exchange.cancellation_reason()) is not None:
                exchange.end(unwanted)
                continue
            connection.start(exchange)
            return
        if not connection.usable:  # what followed from an end may have retired it
            connection.close()
            return
        connection.idle_since = self._loop.time()
        server.idle.append(connection)
        self._feed_starved()

    def connection_lost(self, connection: Connection) -> None:
        """A connection is gone, and its descriptor is free."""
        server = connection.server
        if connection not in server.connections:
            return
        server.connections.pop(connection, None)
        server.streams.pop(connection, None)
        server.owed.pop(connection, None)
        self._held -= 1
        if connection in server.idle:
            server.idle.remove(connection)
        self._dial_for(server)
        self._forget(server)
        self._feed_starved()

    def tables(self) -> dict[str, int]:
        """How much each table holds: connections, those in use, dials, waiters, and descriptors counted."""
        servers = self._servers.values()
        return {
            "servers": len(servers),
            "connections": sum(len(server.connections) for server in servers),
            "connections_idle": sum(len(server.idle) for server in servers),
            "dials": sum(len(server.dials) for server in servers),
            "waiting": sum(len(server.waiting) for server in servers),
            "descriptors_counted": self._held,
            "starved": len(self._starved),
            "owed": sum(len(server.owed) for server in servers),
            "streams": sum(len(server.streams) for server in servers),
            "bytes_held": self._held_bytes,
        }

    def _feed_starved(self) -> None:
        """A descriptor may be had now: dial for those who waited for one, the longest first."""
        # Danger: at the limit a server's waiters would sit out their time beside idle connections of others.
        if self._starved:
            starved, self._starved = self._starved, {}
            for server in starved:
                self._dial_for(server)

    def close(self) -> None:
        """Close everything."""
        self._sweep_timer.cancel()
        for server in list(self._servers.values()):
            for dial in list(server.dials):
                dial.cancel()
            for connection in list(server.connections):
                connection.close()

    def _dial_for(self, server: EndpointPool) -> None:
        while server.waiting and server.waiting[0].over:
            server.waiting.popleft()
        while len(server.waiting) > len(server.dials) and server.at_work < self.per_server:
            # Danger: without a bound of their own, connections to servers starve clients of descriptors.
            if self._held >= self._limit and not self._evict():
                self._starved[server] = None
                return
            self._held += 1
            self.counts["dials"] += 1
            dial = self._loop.create_task(self._dial(server))
            server.dials[dial] = None

    def _evict(self) -> bool:
        """Free one descriptor: that of one that is owed an answer, or the longest idle connection's."""
        owed = [one for server in self._servers.values() for one in server.owed]
        idle = [server.idle[0] for server in self._servers.values() if server.idle]
        if not (owed or idle):
            return False
        oldest = owed[0] if owed else min(idle, key=lambda connection: connection.idle_since)
        server = oldest.server
        if owed:
            del server.owed[oldest]
        else:
            server.idle.remove(oldest)
        server.connections.pop(oldest, None)
        self._held -= 1
        self.counts["evicted"] += 1
        oldest.close()
        return True

    async def _dial(self, server: EndpointPool) -> None:
        """Open one connection; it serves whoever waits longest, and rests if nobody does any more."""
        connection: Connection | None = None
        address = server.address
        factory: Any = partial(server.connect, server)
        attempt = self._loop.create_connection(factory, *address)
        connecting = self._loop.create_task(attempt)
        task = asyncio.current_task()
        assert task is not None
        try:
            due = self._loop.time() + self._dial_timeout
            await asyncio.wait((connecting,), timeout=self._dial_timeout)
            if not connecting.done() and self._loop.time() - due > LATE_NOTICE_S:
                # Danger: after a stall of the loop the timer runs before the news that the connection is up.
                await asyncio.wait((connecting,), timeout=LATE_NOTICE_S)
            if connecting.done():
                _, connection = connecting.result()
            else:
                self.counts["dials timed out"] += 1
        except OSError:
            self.counts["dials refused"] += 1
        finally:
            server.dials.pop(task, None)
            if connection is None:
                connecting.cancel()
                self._held -= 1
        if connection is None or not connection.usable:
            if connection is not None:
                self._held -= 1
            self._dial_failed(server)
            return
        server.connections[connection] = None
        server.deserted = False
        connection.retired = not server.open or server.address != address
        self.connection_released(connection)

    def _dial_failed(self, server: EndpointPool) -> None:
        while server.waiting:
            exchange = server.waiting.popleft()
            if not exchange.over:
                exchange.end(Outcome.CONNECT_FAILED)
                break
        self._dial_for(server)
        self._forget(server)

    def _retire(self, server: EndpointPool) -> None:
        """Let no connection be used again, and nothing wait."""
        for connection in list(server.owed):
            connection.close()
        for connection in server.connections:
            connection.retired = True
        idle, server.idle = server.idle, []
        for connection in idle:
            connection.close()
        waiting, server.waiting = server.waiting, deque()
        for exchange in waiting:
            exchange.end(Outcome.CONNECT_FAILED)

    def _forget(self, server: EndpointPool) -> None:
        if not server.open and not server.held:
            self._servers.pop(server.id, None)

    def _sweep(self) -> None:
        """Retire what has been idle for long: an idle connection costs the server, too."""
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        oldest, late = self._loop.time() - self._idle_limit, self._loop.time() - LINGER_S
        for server in list(self._servers.values()):
            while server.idle and server.idle[0].idle_since < oldest:
                self.counts["rested too long"] += 1
                server.idle.pop(0).close()
            for connection in [one for one, since in server.owed.items() if since < late]:
                connection.close()
        self._feed_starved()
