"""Blocks links between routers and an emulator, on real sockets and without privileges.

A blocked link behaves as if all segments were lost: bytes written to it arrive when it is restored, and a
connection attempt is neither established nor refused (PROTOCOL, "The network"). The kernel acknowledges bytes
in the meantime, which programs can't observe.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections import deque
from collections.abc import Callable
from typing import Any, Literal, cast

from holdgw.wire.address import Address
from holdgw.wire.unread import arrived_at

BACKLOG = 512
LINGER_NONE = struct.pack("ii", 1, 0)
FILLER_CONNECTIONS = 3  # a queue of length 0 holds one connection; the others keep it full if that one ends
MAX_BUFFERED_BYTES = 1 << 20  # of one connection, in both directions; above this it is reset

Way = Literal["to", "from", "both"]
"""Blocked direction, seen from the emulator: bytes to it, from it, or both."""


class UnresponsiveListener:
    """A listening socket with a full accept queue: the kernel drops each SYN, as on a blocked link."""

    def __init__(self, listener: socket.socket) -> None:
        self._listener = listener
        self._fillers: list[socket.socket] = []
        listener.listen(0)
        for _ in range(FILLER_CONNECTIONS):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(listener.getsockname())
            self._fillers.append(filler)

    def end(self) -> None:
        """Let the listener accept connections again; reset those in its queue.

        Besides the filling connections, one or two of routers may have been established before the queue was
        full. Bytes written to them would look as if the router sent them now. On a blocked link no connection
        is established, or it is reset when the machine is back (PROTOCOL).
        """
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
                sock.close()
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        with contextlib.suppress(OSError):
            self._listener.listen(BACKLOG)


class FaultProxy:
    """The state of one link: until when each direction is blocked. Blocks that overlap end with the last."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Callable[[], float]) -> None:
        self.loop, self.clock = loop, clock
        self.on_change: Callable[[bool], None] = lambda _blocked: None
        """Receives True when the link is blocked and False when it is restored."""
        self._until = {"to": float("-inf"), "from": float("-inf")}
        self._connections: dict[ProxiedConnection, None] = {}
        self._timer: asyncio.TimerHandle | None = None

    @property
    def blocked(self) -> bool:
        """Whether either direction is blocked; connections can't be established then."""
        return self.is_blocked("to") or self.is_blocked("from")

    def is_blocked(self, direction: Literal["to", "from"]) -> bool:
        """Return whether a direction is blocked."""
        return self.clock() < self._until[direction]

    def block(self, way: Way, seconds: float) -> None:
        """Block the link for `seconds` from now on."""
        until = self.clock() + seconds
        for direction in ("to", "from") if way == "both" else (way,):
            self._until[direction] = max(self._until[direction], until)
        self.on_change(True)
        self._schedule_check()

    def _schedule_check(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        now = self.clock()
        remaining = [until - now for until in self._until.values() if until > now]
        self._timer = self.loop.call_later(min(remaining), self._check_expired) if remaining else None

    def _check_expired(self) -> None:
        """Restore the directions whose block has ended."""
        self._schedule_check()
        if not self.blocked:
            self.on_change(False)
        for connection in list(self._connections):
            connection.release()

    def add(self, connection: ProxiedConnection) -> None:
        """Register a connection that was established over this link."""
        self._connections[connection] = None

    def remove(self, connection: ProxiedConnection) -> None:
        """Unregister a connection that has ended."""
        self._connections.pop(connection, None)

    def close(self) -> None:
        """Stop the timer at the end of the run."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._connections.clear()


class ProxiedConnection(asyncio.Protocol):
    """Holds back the bytes of one connection while its link is blocked.

    It stands between the transport and the protocol: it is the protocol of the transport and the transport of
    the protocol.
    """

    def __init__(self, proxy: FaultProxy, protocol: asyncio.Protocol) -> None:
        self._proxy, self._protocol = proxy, protocol
        self._transport: asyncio.Transport | None = None
        self._incoming: deque[tuple[float, bytes]] = deque()
        self._outgoing: deque[tuple[bytes, Callable[[], None]]] = deque()
        self._buffered = 0
        self._lost: tuple[Exception | None] | None = None  # an end not yet reported to the protocol
        self._closing: Literal["", "close", "abort"] = ""

    # Protocol side: bytes to the emulator

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and hand it to the protocol."""
        self._transport = cast(asyncio.Transport, transport)
        self._proxy.add(self)
        self._protocol.connection_made(cast(asyncio.BaseTransport, self))

    def data_received(self, data: bytes) -> None:
        """Pass bytes to the protocol, or buffer them until the link is restored."""
        if not self._proxy.is_blocked("to") and not self._incoming:
            self._protocol.data_received(data)
        elif self._reserve(len(data)):
            self._incoming.append((arrived_at(self._transport, self._proxy.clock()), data))

    def eof_received(self) -> bool | None:
        """Close the transport; like a reset, the protocol learns of the end after all buffered bytes."""
        return None

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end to the protocol, or postpone it until the link is restored."""
        if self._proxy.is_blocked("to") or self._incoming:
            self._lost = (exc,)
        else:
            self._report_lost(exc)

    def _report_lost(self, exc: Exception | None) -> None:
        self._proxy.remove(self)
        self._protocol.connection_lost(exc)

    def _reserve(self, size: int) -> bool:
        self._buffered += size
        if self._buffered > MAX_BUFFERED_BYTES and self._transport is not None:
            self._transport.abort()
        return self._buffered <= MAX_BUFFERED_BYTES

    # Transport side: the methods that emulators use

    def write(self, data: bytes, then: Callable[[], None] = lambda: None) -> None:
        """Write, and call `then` once the bytes are written."""
        assert self._transport is not None
        if not self._proxy.is_blocked("from") and not self._outgoing:
            self._transport.write(data)
            then()
        elif self._reserve(len(data)):
            self._outgoing.append((data, then))

    def close(self) -> None:
        """Close after all written bytes."""
        self._begin_closing("close")

    def abort(self) -> None:
        """Reset the connection."""
        self._begin_closing("abort")

    def _begin_closing(self, how: Literal["close", "abort"]) -> None:
        self._closing = "abort" if "abort" in (how, self._closing) else how
        if not self._proxy.is_blocked("from"):
            self._finish_closing()

    def _finish_closing(self) -> None:
        assert self._transport is not None
        if self._closing == "abort":
            self._incoming.clear()  # the protocol that would receive it has closed the connection
            self._transport.abort()
        elif self._closing == "close" and not self._outgoing:
            self._transport.close()

    def is_closing(self) -> bool:
        """Return whether the connection is closing or closed."""
        return bool(self._closing) or self._transport is None or self._transport.is_closing()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return extra information of the underlying transport."""
        assert self._transport is not None
        return self._transport.get_extra_info(name, default)

    # The link is restored

    def release(self) -> None:
        """Pass on, in order, the buffered bytes of directions that are no longer blocked."""
        if not self._proxy.is_blocked("from"):
            while self._outgoing:
                data, then = self._outgoing.popleft()
                self._buffered -= len(data)
                if self._transport is not None and not self._transport.is_closing():
                    self._transport.write(data)
                    then()
            self._finish_closing()
        if not self._proxy.is_blocked("to"):
            while self._incoming:
                at, data = self._incoming.popleft()
                self._buffered -= len(data)
                # The router sent the bytes at this time; the emulator receives them only now.
                self._protocol.held_since = at  # type: ignore[attr-defined]
                self._protocol.data_received(data)
                self._protocol.held_since = 0.0  # type: ignore[attr-defined]
            if self._lost is not None:
                (exc,), self._lost = self._lost, None
                self._report_lost(exc)


class ProxiedListener:
    """Listens at one address for a link with a fault proxy.

    If it is closed while the link is blocked, it stays unresponsive until the link is restored, and refuses
    connections from then on.
    """

    def __init__(self, proxy: FaultProxy) -> None:
        self.proxy = proxy
        self._sock: socket.socket | None = None
        self._protocol_factory: Callable[[], asyncio.Protocol] | None = None
        self._unresponsive: UnresponsiveListener | None = None
        self._reading = False
        self._accepting: set[asyncio.Task[Any]] = set()
        proxy.on_change = self._update

    def open(self, address: Address, protocol: Callable[[], asyncio.Protocol]) -> Address:
        """Accept connections while the link is not blocked; return the address with its port."""
        self._protocol_factory = protocol
        if self._sock is None:
            self._sock = socket.socket()
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._sock.bind(address)
            self._sock.listen(BACKLOG)
            self._sock.setblocking(False)
        self._update(self.proxy.blocked)
        host, port = self._sock.getsockname()
        return host, port

    def close(self) -> None:
        """Refuse connections from now on, or from when the link is restored."""
        self._protocol_factory = None
        self._update(self.proxy.blocked)

    def end(self) -> None:
        """Close the listener and its fault proxy at the end of the run."""
        self._protocol_factory = None
        self.proxy.close()
        self._update(False)

    def _update(self, blocked: bool) -> None:
        sock = self._sock
        if sock is None:
            return
        reads = self._protocol_factory is not None and not blocked
        if self._reading and not reads:
            self.proxy.loop.remove_reader(sock.fileno())
        if blocked and self._unresponsive is None:
            # A connection that was established just before the block may be in the accept queue. If it were
            # accepted only after the block, its router would seem to send then what it abandoned long before.
            if self._reading:
                self._accept()
            self._unresponsive = UnresponsiveListener(sock)
        elif not blocked and self._unresponsive is not None:
            self._unresponsive.end()
            self._unresponsive = None
        if reads and not self._reading:
            self.proxy.loop.add_reader(sock.fileno(), self._accept)
        self._reading = reads
        if self._protocol_factory is None and not blocked:
            self._sock = None
            sock.close()

    def _accept(self) -> None:
        for _ in range(BACKLOG):
            try:
                sock, _ = cast(socket.socket, self._sock).accept()
            except OSError:
                return
            sock.setblocking(False)
            factory = cast(Callable[[], asyncio.Protocol], self._protocol_factory)
            coroutine = self.proxy.loop.connect_accepted_socket(
                lambda factory=factory: ProxiedConnection(self.proxy, factory()),  # type: ignore[misc]
                sock,
            )
            task = self.proxy.loop.create_task(cast(Any, coroutine))
            self._accepting.add(task)
            task.add_done_callback(self._accepted)

    def _accepted(self, task: asyncio.Task[Any]) -> None:
        self._accepting.discard(task)
        if not task.cancelled():
            task.exception()  # retrieve the exception: the connection ended before it was set up
