"""Lines between routers and a stand-in that may be cut, on real sockets and without privileges.

A cut line is silent, as one whose segments are all lost: what was written to it comes when it is back, and a
dial neither comes up nor is refused (PROTOCOL, "The network"). The kernel acknowledges bytes meanwhile, which
no program sees.
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
from holdgw.wire.unread import came_at

BACKLOG = 512
LINGER_NONE = struct.pack("ii", 1, 0)
FILLER_CONNECTIONS = 3  # a queue of length 0 takes one connection; those beyond it keep it full should one go
MAX_BUFFERED_BYTES = 1 << 20  # bytes held of one connection and direction; beyond them it is reset

Way = Literal["to", "from", "both"]
"""Seen from the stand-in: nothing comes to it, from it, or both."""


class UnresponsiveListener:
    """A listening socket that answers nobody: its queue is full, so that the kernel drops every SYN, as a cut
    line does.
    """

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
        """The listener may take connections again; those that filled its queue are taken and reset.

        A connection or two may have been established before the queue was full, and what was written there
        would be taken for something that its router sends now. On a cut line none is established (PROTOCOL:
        or it is reset when the machine is back).
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
    """One line's state: until when nothing comes through, in each direction. Cuts that overlap end with the
    last one.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Callable[[], float]) -> None:
        self.loop, self.clock = loop, clock
        self.on_change: Callable[[bool], None] = lambda _cut: None
        """Receives True when the link is cut and with False when it is restored."""
        self._until = {"to": float("-inf"), "from": float("-inf")}
        self._connections: dict[ProxiedConnection, None] = {}
        self._timer: asyncio.TimerHandle | None = None

    @property
    def cut(self) -> bool:
        """Whether either direction is cut: no dial comes up then."""
        return self.is_blocked("to") or self.is_blocked("from")

    def is_blocked(self, direction: Literal["to", "from"]) -> bool:
        """Whether nothing comes through in a direction."""
        return self.clock() < self._until[direction]

    def block(self, way: Way, seconds: float) -> None:
        """Cut the line for so long, from now on."""
        until = self.clock() + seconds
        for direction in ("to", "from") if way == "both" else (way,):
            self._until[direction] = max(self._until[direction], until)
        self.on_change(True)
        self._schedule_check()

    def _schedule_check(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        now = self.clock()
        ahead = [until - now for until in self._until.values() if until > now]
        self._timer = self.loop.call_later(min(ahead), self._check_expired) if ahead else None

    def _check_expired(self) -> None:
        """The time of a direction may be up."""
        self._schedule_check()
        if not self.cut:
            self.on_change(False)
        for connection in list(self._connections):
            connection.release()

    def add(self, connection: ProxiedConnection) -> None:
        """A connection came up on this line."""
        self._connections[connection] = None

    def remove(self, connection: ProxiedConnection) -> None:
        """One has gone."""
        self._connections.pop(connection, None)

    def close(self) -> None:
        """The day is over."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._connections.clear()


class ProxiedConnection(asyncio.Protocol):
    """Between a connection's transport and its protocol, as both of them see it: holds back what a cut line
    would.
    """

    def __init__(self, proxy: FaultProxy, protocol: asyncio.Protocol) -> None:
        self._proxy, self._protocol = proxy, protocol
        self._transport: asyncio.Transport | None = None
        self._incoming: deque[tuple[float, bytes]] = deque()
        self._outgoing: deque[tuple[bytes, Callable[[], None]]] = deque()
        self._buffered = 0
        self._lost: tuple[Exception | None] | None = None  # it has ended, which nobody here was told yet
        self._closing: Literal["", "close", "abort"] = ""

    # What comes

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It is up."""
        self._transport = cast(asyncio.Transport, transport)
        self._proxy.add(self)
        self._protocol.connection_made(cast(asyncio.BaseTransport, self))

    def data_received(self, data: bytes) -> None:
        """Hand bytes on, or keep them until the line is back."""
        if not self._proxy.is_blocked("to") and not self._incoming:
            self._protocol.data_received(data)
        elif self._reserve(len(data)):
            self._incoming.append((came_at(self._transport, self._proxy.clock()), data))

    def eof_received(self) -> bool | None:
        """An end in good order takes the same way as a reset: behind all that came."""
        return None

    def connection_lost(self, exc: Exception | None) -> None:
        """Its end is told once the line is back."""
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

    # What goes: the part of a transport that stand-ins use

    def write(self, data: bytes, then: Callable[[], None] = lambda: None) -> None:
        """Write, and do something once it is written."""
        assert self._transport is not None
        if not self._proxy.is_blocked("from") and not self._outgoing:
            self._transport.write(data)
            then()
        elif self._reserve(len(data)):
            self._outgoing.append((data, then))

    def close(self) -> None:
        """End in good order, behind what is written."""
        self._begin_closing("close")

    def abort(self) -> None:
        """End now."""
        self._begin_closing("abort")

    def _begin_closing(self, how: Literal["close", "abort"]) -> None:
        self._closing = "abort" if "abort" in (how, self._closing) else how
        if not self._proxy.is_blocked("from"):
            self._finish_closing()

    def _finish_closing(self) -> None:
        assert self._transport is not None
        if self._closing == "abort":
            self._incoming.clear()  # whoever would take it has gone
            self._transport.abort()
        elif self._closing == "close" and not self._outgoing:
            self._transport.close()

    def is_closing(self) -> bool:
        """Whether it ends."""
        return bool(self._closing) or self._transport is None or self._transport.is_closing()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Of the transport below."""
        assert self._transport is not None
        return self._transport.get_extra_info(name, default)

    # The line is back

    def release(self) -> None:
        """Hand on what is not to be held any longer, in order."""
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
                # The time when the router sent it; it comes out here only as the line is back.
                self._protocol.held_since = at  # type: ignore[attr-defined]
                self._protocol.data_received(data)
                self._protocol.held_since = 0.0  # type: ignore[attr-defined]
            if self._lost is not None:
                (exc,), self._lost = self._lost, None
                self._report_lost(exc)


class ProxiedListener:
    """Listens at one address for a line with a gate. Closed while the line is cut, it stays silent until the
    line is back, and refuses from then on.
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
        """Take connections there, once the line is whole; returns the address with its port."""
        self._protocol_factory = protocol
        if self._sock is None:
            self._sock = socket.socket()
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._sock.bind(address)
            self._sock.listen(BACKLOG)
            self._sock.setblocking(False)
        self._update(self.proxy.cut)
        host, port = self._sock.getsockname()
        return host, port

    def close(self) -> None:
        """Refuse from now on, or from when the line is back."""
        self._protocol_factory = None
        self._update(self.proxy.cut)

    def end(self) -> None:
        """The day is over."""
        self._protocol_factory = None
        self.proxy.close()
        self._update(False)

    def _update(self, cut: bool) -> None:
        sock = self._sock
        if sock is None:
            return
        reads = self._protocol_factory is not None and not cut
        if self._reading and not reads:
            self.proxy.loop.remove_reader(sock.fileno())
        if cut and self._unresponsive is None:
            # A connection established a moment ago waits in the queue. Accepted when the line is back, it
            # would look as if its router sent then what it has long abandoned.
            if self._reading:
                self._accept()
            self._unresponsive = UnresponsiveListener(sock)
        elif not cut and self._unresponsive is not None:
            self._unresponsive.end()
            self._unresponsive = None
        if reads and not self._reading:
            self.proxy.loop.add_reader(sock.fileno(), self._accept)
        self._reading = reads
        if self._protocol_factory is None and not cut:
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
            work = self.proxy.loop.connect_accepted_socket(
                lambda factory=factory: ProxiedConnection(self.proxy, factory()),  # type: ignore[misc]
                sock,
            )
            task = self.proxy.loop.create_task(cast(Any, work))
            self._accepting.add(task)
            task.add_done_callback(self._accepted)

    def _accepted(self, task: asyncio.Task[Any]) -> None:
        self._accepting.discard(task)
        if not task.cancelled():
            task.exception()  # it had gone before it was there
