"""The RESP2 server that clients talk to: their connections, and answers in the order of the commands."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any, Protocol, cast

from holdgw.operation.process_link import MAX_PENDING_COMMAND_BYTES, ClientHandover
from holdgw.router.platform import accept_queued, has_left
from holdgw.wire.address import Address
from holdgw.wire.resp import Command, CommandReader, parse_request
from holdgw.wire.unread import unread_ns

BACKLOG = 1024  # connections that arrive while the loop is busy
MAX_PIPELINE = 256  # commands of one connection without an answer; more are left unread
HIGH_WATER = 64 << 10  # bytes that the kernel did not take, past which nothing more is read for a client
THERE_S = 0.02  # after a connection came up: what is read later had not waited for this process
COMMAND_S = 2.3  # in which a command must be whole, and a new connection's first; 3 s are owed
STALL_S = 3.0  # in which a client must take something of what waits for it
STREAM_STALL_S = 8.0  # the same in a long value: clients take seconds to read one
IDLE_MANY_S = 2.2  # a connection between requests may be closed after 2 s; so are they where they are many
IDLE_FEW_S = 30.0  # and where they are few
MANY_SHARE = 0.25  # of the table
STANDING_SHARE = 0.4  # of the table, for connections between requests
FRESH_S = 0.3  # in which a new connection brings its first command, unless the client is silent
LINGER_S = 0.5  # in which a client may end its side after ours: then nothing unread is left to reset it
MAX_DISCARDED_BYTES = 256 << 10  # bytes that it may send meanwhile, which are read and dropped
SWEEP_INTERVAL_S = 0.25
MAX_REJECTING_CONNECTIONS = 32  # connections over the limit that are answered with a refusal

log = logging.getLogger("holdgw")


class Host(Protocol):
    """What takes the clients' requests."""

    ready: bool

    def request_arrived(self, command: Command, reply: Reply) -> None:
        """A request is whole."""

    def reject(self, command: Command, reply: Reply) -> None:
        """A request is whole that there is no room for."""

    def client_disconnected(self, reply: Reply) -> None:
        """The client that waits for this reply has left."""

    def unread_since(self) -> int:
        """Since when what this process has not read may lie there, nanoseconds of its monotonic clock."""


class Source(Protocol):
    """Where a long answer comes from."""

    def pause(self) -> None:
        """Give no more for now."""

    def resume(self) -> None:
        """Give again."""


class LongAnswer:
    """An answer that is given in parts, as they come from its source."""

    __slots__ = ("begun", "parts", "source", "whole")

    def __init__(self, head: bytes, source: Source) -> None:
        self.parts, self.source = deque((head,)), source  # the parts that are not written yet
        self.begun = self.whole = False  # some of it is written; the last part is here

    def write(self, connection: ClientConnection, transport: asyncio.Transport) -> bool:
        """Write what there is, as far as the client takes it; returns whether that was the last of it."""
        while self.parts and not connection.blocked:
            self.begun = True
            transport.write(self.parts.popleft())
        if connection.blocked:
            return False
        if not self.whole:
            self.source.resume()
        return self.whole


class Reply:
    """The place of one answer among those of its connection."""

    __slots__ = ("_connection", "data", "late", "long", "request")

    def __init__(self, connection: ClientConnection) -> None:
        self._connection = connection
        self.late = connection.late
        self.data: bytes | None = None  # the answer, once there is one
        self.long: LongAnswer | None = None  # in place of `data`
        self.request: Any = None  # the host's

    def unread_ns(self) -> int:
        """For how long its command lay there before it was read, as far as the kernel tells."""
        return self._connection.unread_ns()

    def client_disconnected(self) -> bool:
        """Whether the client has closed its connection, asked of the kernel; its connection goes then."""
        return self._connection.has_left()

    def send(self, data: bytes) -> None:
        """Give the answer."""
        self.data = data
        self._connection.flush()

    def begin(self, head: bytes, source: Source) -> None:
        """Begin a long answer, whose parts come from there."""
        self.long = LongAnswer(head, source)
        self._connection.flush()

    def part(self, data: bytes) -> None:
        """Give a part of it."""
        assert self.long is not None
        self.long.parts.append(data)
        self._connection.flush()
        # Danger: what a client does not take would pile up here, value by value, until memory is full.
        if self._connection.blocked or sum(map(len, self.long.parts)) > HIGH_WATER:
            self.long.source.pause()

    def finish(self, tail: bytes) -> None:
        """Give the end of it."""
        assert self.long is not None
        self.long.parts.append(tail)
        self.long.whole = True
        self._connection.flush()

    def break_off(self, error: bytes) -> None:
        """The rest of it won't come: the client must be able to tell."""
        assert self.long is not None
        if self.long.begun:
            self._connection.break_off()
        else:
            self.long = None
            self.send(error)

    def fail(self, fault: str) -> None:
        """Answer what is no request; its sender is not listened to any further."""
        # Danger: one who sends what can't be used goes on, at full speed, and each command costs the time
        # of others' requests. What a client has asked for before is still answered. It could do harm to a
        # client that means to go on after an error of its own: it has to connect anew.
        self._connection.end_after(self, fault)


class ClientConnection:
    """One client's connection; a protocol in asyncio's sense."""

    def __init__(
        self, server: ClientListener, taken_over: ClientHandover | None = None, late: int = 0
    ) -> None:
        self.server = server
        self.late = late  # nanoseconds for which what is there to be read may have waited for this process
        self._made_at = 0.0
        self._taken_over = taken_over  # what came with it from another process
        self.transport: asyncio.Transport | None = None
        self.replies: deque[Reply] = deque()
        self.blocked = self.closed = False
        self.used_at = self.begun_at = server.loop.time()  # last read or taken; the command under way begun
        self.asked = False  # has sent a whole command
        self.refusing = False
        self._reader = CommandReader()
        self._reading = True
        self._parsing = False
        self._last = False  # nothing more is read, and it closes once all is answered
        self._closing = False  # it closes as soon as it stands between requests
        self._handing = False  # no more commands are taken: another process is to have them
        self._unsent_before = 0  # as of the last look that found it otherwise
        self._linger: asyncio.TimerHandle | None = None  # set: our side is shut, what comes is dropped
        self._dropped = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport, if there is room."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's own class is no subclass
        self._made_at = self.server.loop.time()
        self.transport.set_write_buffer_limits(high=HIGH_WATER)
        self.server.opened(self)
        if self._taken_over is not None:
            handed, self._taken_over = self._taken_over, None
            self.asked = handed.has_sent_command
            self.used_at = self.begun_at = self.server.loop.time() - handed.waited_s
            if handed.pending_bytes:
                self._reader.feed(handed.pending_bytes)
                self._take_commands()

    @property
    def taken_over(self) -> bool:
        """Whether it comes from another process, and is not begun yet."""
        return self._taken_over is not None

    def hand_over(self, send: Callable[[ClientHandover, int], None], even_amid: bool) -> bool:
        """Give the connection to another process, if nothing taken on it is unanswered.

        `even_amid`: from now on nothing more is taken, so that it soon comes to that.
        """
        transport = self.transport
        if transport is None or self.closed or self._last or self._linger is not None:
            return False
        if even_amid and not self._handing:
            self._handing = True
            self._set_reading()
        if self.replies or self.blocked or transport.is_closing() or transport.get_write_buffer_size():
            return False
        held = self._reader.held
        if len(held) > MAX_PENDING_COMMAND_BYTES:
            return False
        # Danger: bytes that came between the descriptor's copy and the close would be read here and lost.
        # Nothing is read in between: both happen in one turn of the loop, and the copy keeps the socket up.
        descriptor = self.server.copy(transport)
        since = self.begun_at if self._reader.midway else self.used_at
        waited = max(self.server.loop.time() - since, 0.0)
        handed = ClientHandover(held, self.asked, waited, self.server.host.unread_since())
        self.abort()
        send(handed, descriptor)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """The client has gone; nothing more can be told to it."""
        self._leave()

    def eof_received(self) -> bool:
        """A client that ends its sending has gone away."""
        self._leave()
        return False

    def _leave(self) -> None:
        if self._linger is not None:
            self._linger.cancel()
            self._linger = None
        if self.closed:
            return
        self.closed = True
        self.server.closed(self)
        replies, self.replies = self.replies, deque()
        for reply in replies:
            if reply.data is None:
                self.server.host.client_disconnected(reply)

    def data_received(self, data: bytes) -> None:
        """Read commands; an exception here costs this connection and no other."""
        if self._linger is not None:
            self._dropped += len(data)
            self._set_reading()
            return
        if self._last or self.closed:
            return
        self.used_at = self.server.loop.time()
        if self.late and self.used_at - self._made_at > THERE_S:
            self.late = 0  # it came since
        if not self._reader.midway:
            self.begun_at = self.used_at
        self._reader.feed(data)
        self._take_commands()
        self.late = 0

    def unread_ns(self) -> int:
        """How long ago the last bytes came, nanoseconds; 0 where the kernel does not tell, or just now."""
        return unread_ns(self.transport)

    def _take_commands(self) -> None:
        # An answer given at once comes back here through flush: the loop below goes on then.
        # Those that were too many have waited here, and the client's end behind them is not read yet.
        if self._parsing or (not self._reading and self.has_left()):
            return
        self._parsing = True
        try:
            while not (self._last or self._handing) and len(self.replies) < MAX_PIPELINE:
                words = self._reader.next()
                if words is None:
                    break
                self.begun_at = self.used_at
                self._take(words)
            if self._reader.broken and not self._last:
                self._add_reply().fail(f"Protocol error: {self._reader.broken}")
        except Exception:
            log.exception("reading a command failed")
            self.abort()
        finally:
            self._parsing = False
        self._set_reading()
        if self._last and not self.replies:
            self._end()

    def _add_reply(self) -> Reply:
        reply = Reply(self)
        self.replies.append(reply)
        return reply

    def _take(self, words: list[bytes]) -> None:
        reply = self._add_reply()
        if len(words) == 1 and words[0].upper() == b"PING":
            self.asked = True
            reply.send(b"+PONG\r\n" if self.server.host.ready else b"-LOADING no list of servers yet\r\n")
            return
        try:
            command = parse_request(words)
        except ValueError as error:
            reply.fail(str(error))
            return
        if self.refusing:
            self._last = True
            self.server.host.reject(command, reply)
            return
        self.asked = True
        self.server.host.request_arrived(command, reply)

    def end_after(self, reply: Reply, fault: str) -> None:
        """Answer with an error, and close once all before it is answered."""
        self._last = True
        self._set_reading()
        reply.send(b"-ERR %b\r\n" % fault.encode())

    def flush(self) -> None:
        """Write the answers whose turn it is."""
        replies = self.replies
        while replies and self.transport is not None:
            data, long = replies[0].data, replies[0].long
            if data is not None:
                self.transport.write(data)
            elif long is None or not long.write(self, self.transport):
                break
            replies.popleft()
        if self.transport is None or self._parsing:
            return
        if self._last:
            if not replies:
                self._end()
            return
        if self._reader.midway or not self._reading:
            self._take_commands()  # those left, or unread, when there were too many without an answer
        if self._closing and self.idle:
            self._end()

    def break_off(self) -> None:
        """An answer that is begun can't be finished: close behind what is written of it."""
        # Danger: the client would take the next answer's bytes for the rest of this one's. What it has asked
        # for behind it is lost with the connection; there is no place for its answers any more.
        self._last = True
        if self.transport is not None:
            self.transport.close()
        self._leave()

    def _end(self) -> None:
        """Close in good order: our side first, and all of it once the client has ended its own.

        Danger: to close with bytes unread resets the connection, and the reset may overtake the last answer.
        What comes from here on is read and dropped, so that the client sees an end with no answer to it, and
        asks elsewhere; a flood is read up to a bound, and then stops at the kernel's buffers. It could do
        harm where clients never end their side: each holds a descriptor for so long.
        """
        if self.transport is None or self._linger is not None or self.transport.is_closing():
            return
        self._last = True
        self.server.ending[self] = None
        self._linger = self.server.loop.call_later(LINGER_S, self._lingered)
        self._set_reading()
        self.transport.write_eof()

    def _lingered(self) -> None:
        # Danger: a client that is slow to take a large answer would lose the rest of it. One that takes
        # nothing at all is the sweep's.
        if self.transport is not None and self.transport.get_write_buffer_size() and not self.closed:
            self._linger = self.server.loop.call_later(LINGER_S, self._lingered)
        else:
            self.abort()

    def pause_writing(self) -> None:
        """The client does not take what it asked for: read no more from it."""
        self.blocked = True
        self.used_at = self.server.loop.time()
        self._set_reading()

    def resume_writing(self) -> None:
        """The client takes again."""
        self.blocked = False
        self._set_reading()
        self.flush()

    def _set_reading(self) -> None:
        if self._linger is not None:
            wanted = self._dropped <= MAX_DISCARDED_BYTES
        else:  # a client that leaves meanwhile is found where something is about to be sent on for it
            wanted = not (self.blocked or self._last or self._handing or len(self.replies) >= MAX_PIPELINE)
        if wanted == self._reading or self.transport is None or self.transport.is_closing():
            return
        self._reading = wanted
        if wanted:
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()

    @property
    def unsent(self) -> int:
        """Bytes of its answers that it has not taken."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    @property
    def idle(self) -> bool:
        """Whether it stands between requests."""
        return not self.replies and not self._reader.midway

    @property
    def ending(self) -> bool:
        """Whether its last answer is written, and it only lingers."""
        return self._linger is not None

    def finish(self, even_midway: bool) -> None:
        """Close as soon as nothing taken is unanswered."""
        if self.transport is None or self.closed or self._linger is not None:
            return
        self._closing = True
        if not self.replies and (even_midway or not (self._reader.midway or self._newly_made)):
            self._end()
        elif even_midway:
            # Danger: a client that always has a request out would be served until the kill, and lose one.
            self._last = True
            self._set_reading()

    @property
    def _newly_made(self) -> bool:
        """Whether it has just come, and its first command may still be on its way."""
        # Danger: one that is accepted as the router ends has its command unread, and would see a new
        # connection closed with no answer.
        return not self.asked and self.server.loop.time() - self._made_at <= FRESH_S

    def has_left(self) -> bool:
        """Whether the client is gone, though that may not have been read here; its connection goes then."""
        # Danger: one that is read no more (it takes nothing, asks too much, or this process ends), or whose
        # end came while the process stood still, would have requests sent on for it long after it left.
        if not self.closed and self.transport is not None and self.server.has_left(self.transport):
            self.abort()
        return self.closed

    def make_room(self, at_once: bool) -> None:
        """Close, in good order if there is time for it."""
        if at_once:
            self.abort()
        else:
            self._end()

    def abort(self) -> None:
        """Close at once."""
        if self.transport is not None:
            self.transport.abort()
        self._leave()

    def check(self, now: float, idle_limit: float) -> None:
        """Drop a client that neither takes nor sends: it holds memory and a descriptor."""
        if self.transport is None:
            return
        unsent = self.unsent
        # Danger: a client that takes nothing keeps a connection that is being closed open for as long as
        # the kernel tries, a quarter of an hour; what is left may be too little to count as blocked.
        if self.blocked or self.transport.is_closing() or (self._linger is not None and unsent):
            if unsent != self._unsent_before:
                self._unsent_before, self.used_at = unsent, now
            streams = bool(self.replies) and self.replies[0].long is not None
            if now - self.used_at > (STREAM_STALL_S if streams else STALL_S):
                log.warning("a client takes nothing of its answer")
                self.abort()
        elif self.replies or self._last:
            return
        elif not self.asked or self._reader.midway:
            # Danger: half a command, a byte now and then, or nothing at all, holds a descriptor for ever.
            # It could do harm to a usual client that dials ahead: it must ask within this time, or redial.
            if now - self.begun_at > COMMAND_S:
                self._add_reply().fail("Protocol error: no whole command in time")
        elif now - self.used_at > idle_limit:
            self._end()


def copy_of(transport: Any) -> int:
    """Another descriptor of a connection; raises OSError."""
    return os.dup(transport.get_extra_info("socket").fileno())


class ClientListener:
    """The listener and all clients' connections, within their share of descriptors."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        host: Host,
        limit: int,
        has_left: Callable[[Any], bool] = has_left,
        room: int = 8 << 20,
    ) -> None:
        """`has_left`: whether the other side of a transport is closed, read or not; `room`: bytes that they
        may leave untaken, all clients together.
        """
        self.loop, self.host, self._limit, self.has_left = loop, host, limit, has_left
        self._room = room
        self.copy: Callable[[Any], int] = copy_of
        """Gives a connection's descriptor for another process; whoever passes it on closes it."""
        self._connections: dict[ClientConnection, None] = {}
        self.ending: dict[ClientConnection, None] = {}
        """Those of them whose last answer is written and that only linger, the longest first."""
        self._listener: asyncio.Server | None = None
        self._timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    async def listen(self, address: Address, passed: socket.socket | None = None) -> Address:
        """Accept clients at this address, or on a socket that listens already; returns where that is."""
        factory: Any = partial(ClientConnection, self)
        create = partial(self.loop.create_server, factory, backlog=BACKLOG)
        self._listener = await (create(*address) if passed is None else create(sock=passed))
        listener: Any = self._listener  # its sockets are a tuple by its type, and a list in uvloop
        host, port = listener.sockets[0].getsockname()[:2]
        return str(host), int(port)

    def opened(self, connection: ClientConnection) -> None:
        """Make room for a new connection, by closing one that stands idle if need be."""
        if connection.taken_over:  # the other process had room for it, and is about to end
            self._connections[connection] = None
            return
        # Danger: clients that only connect would leave no descriptors for servers, and none for new clients.
        full = len(self._connections) >= self._limit + MAX_REJECTING_CONNECTIONS
        if full and self.ending:
            next(iter(self.ending)).abort()
            full = False
        if len(self._connections) - len(self.ending) >= self._limit:
            idle = self._spare()
            if idle is not None:
                idle.make_room(at_once=full)
            elif full:
                connection.abort()
                return
            else:
                connection.refusing = True
        self._connections[connection] = None

    def _spare(self) -> ClientConnection | None:
        """The idle connection that is missed least: a silent one, else the one idle longest."""
        # Danger: by age alone a flood of silent connections would push out the clients that ask; and those
        # with half a command, if they were not spare too, would have every newcomer refused.
        fresh = self.loop.time() - FRESH_S
        return min(
            (
                other
                for other in self._connections
                if not other.ending
                and (other.idle or (not other.asked and not other.replies and other.begun_at <= fresh))
            ),
            key=lambda other: (other.asked or other.begun_at > fresh, other.used_at),
            default=None,
        )

    def closed(self, connection: ClientConnection) -> None:
        """A connection is gone."""
        self._connections.pop(connection, None)
        self.ending.pop(connection, None)

    @property
    def connected(self) -> int:
        """Connections now."""
        return len(self._connections)

    def set_limit(self, limit: int) -> None:
        """Have room for so many connections; those there are stay."""
        self._limit = limit

    def stop_accepting(self) -> None:
        """Take no new connections."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def take_queued(self) -> list[int]:
        """The descriptors of connections that have come and are not accepted yet, as far as there is room."""
        # Danger: to close a listener resets what waits in its queue, requests and all, and they are taken:
        # the machine has accepted their connections.
        listener: Any = self._listener
        if listener is None:
            return []
        return accept_queued(
            listener.sockets, max(self._limit + MAX_REJECTING_CONNECTIONS - len(self._connections), 0)
        )

    async def adopt(self, client: ClientHandover | None, descriptor: int, late: int = 0) -> None:
        """Take a connection over from another process; None: nothing was read of it there.

        `late`: nanoseconds for which what is there to be read may have waited.
        """
        factory: Any = partial(ClientConnection, self, client, late)
        await self.loop.connect_accepted_socket(factory, socket.socket(fileno=descriptor))

    def hand_over(self, send: Callable[[ClientHandover, int], None], even_amid: bool) -> int:
        """Give every connection that can be given to another process; returns how many were."""
        given = 0
        for connection in list(self._connections):
            try:
                given += connection.hand_over(send, even_amid)
            except OSError as error:
                # Danger: one connection that can't be copied (descriptors are at their limit) would end the
                # process with all the others. It stays here, and is tried again.
                log.warning("takeover: a connection can't be handed over: %s", error)
        return given

    def finish(self, even_midway: bool) -> None:
        """Close connections between requests; also amid a command, if so told."""
        for connection in list(self._connections):
            connection.finish(even_midway)

    def _sweep(self) -> None:
        self._timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now = self.loop.time()
        many = len(self._connections) > self._limit * MANY_SHARE
        for connection in list(self._connections):
            connection.check(now, IDLE_MANY_S if many else IDLE_FEW_S)
        self._keep_within_room()
        # Danger: clients that ask once and stay would hold all the connections that clients may have, and
        # the next ones find none. Those idle longest go; it could do harm to more clients than this that
        # take turns within a second, who would have to dial again each time.
        standing = [c for c in self._connections if c.asked and c.idle and not c.ending]
        spare = len(standing) - int(self._limit * STANDING_SHARE)
        if spare > 0:
            for connection in sorted(standing, key=lambda c: c.used_at)[:spare]:
                if now - connection.used_at > FRESH_S:
                    connection.finish(even_midway=False)

    def _keep_within_room(self) -> None:
        """End those who take least of their answers, where these fill the memory."""
        # Danger: a few that ask hundreds of times and take nothing hold megabytes each, long before the time
        # to take something is over. It could do harm to one that is only slow: it goes where many are.
        untaken = sum(connection.unsent for connection in self._connections)
        if untaken <= self._room:
            return
        for connection in sorted(self._connections, key=lambda c: c.unsent, reverse=True):
            if untaken <= self._room:
                break
            untaken -= connection.unsent
            log.warning("a client takes too little of its answers")
            connection.abort()

    def close(self) -> None:
        """Close everything."""
        self._timer.cancel()
        if self._listener is not None:
            self._listener.close()
        for connection in list(self._connections):
            connection.abort()
