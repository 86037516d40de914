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
from holdgw.wire.unread import arrived_at

BACKLOG = 512
LINGER_NONE = struct.pack("ii", 1, 0)
KNOCKS = 3  # a queue of length 0 takes one connection; those beyond it keep it full should one go
MOST_HELD = 1 << 20  # bytes held of one connection and direction; beyond them it is reset

Way = Literal["to", "from", "both"]
"""Seen from the stand-in: nothing comes to it, from it, or both."""


class Silence:
    """A listening socket that answers nobody: its queue is full, so that the kernel drops every SYN, as a cut
    line does.
    """

    def __init__(self, listener: socket.socket) -> None:
        self._listener = listener
        self._knocks: list[socket.socket] = []
        listener.listen(0)
        for _ in range(KNOCKS):
            knock = socket.socket()
            knock.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                knock.connect(listener.getsockname())
            self._knocks.append(knock)

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
        for knock in self._knocks:
            knock.close()
        self._knocks.clear()
        with contextlib.suppress(OSError):
            self._listener.listen(BACKLOG)


class FaultProxy:
    """One line's state: until when nothing comes through, in each direction. Cuts that overlap end with the
    last one.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Callable[[], float]) -> None:
        self.loop, self.clock = loop, clock
        self.on_change: Callable[[bool], None] = lambda _cut: None
        """Told of the line being cut, and of its being whole again."""
        self._until = {"to": float("-inf"), "from": float("-inf")}
        self._connections: dict[ProxiedConnection, None] = {}
        self._timer: asyncio.TimerHandle | None = None

    @property
    def cut(self) -> bool:
        """Whether either direction is cut: no dial comes up then."""
        return self.holds("to") or self.holds("from")

    def holds(self, direction: Literal["to", "from"]) -> bool:
        """Whether nothing comes through in a direction."""
        return self.clock() < self._until[direction]

    def block(self, way: Way, seconds: float) -> None:
        """Cut the line for so long, from now on."""
        until = self.clock() + seconds
        for direction in ("to", "from") if way == "both" else (way,):
            self._until[direction] = max(self._until[direction], until)
        self.on_change(True)
        self._look_later()

    def _look_later(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        now = self.clock()
        ahead = [until - now for until in self._until.values() if until > now]
        self._timer = self.loop.call_later(min(ahead), self._look) if ahead else None

    def _look(self) -> None:
        """The time of a direction may be up."""
        self._look_later()
        if not self.cut:
            self.on_change(False)
        for connection in list(self._connections):
            connection.release()

    def joined(self, connection: ProxiedConnection) -> None:
        """A connection came up on this line."""
        self._connections[connection] = None

    def left(self, connection: ProxiedConnection) -> None:
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

    def __init__(self, gate: FaultProxy, protocol: asyncio.Protocol) -> None:
        self._gate, self._protocol = gate, protocol
        self._transport: asyncio.Transport | None = None
        self._came: deque[tuple[float, bytes]] = deque()
        self._written: deque[tuple[bytes, Callable[[], None]]] = deque()
        self._held = 0
        self._over: tuple[Exception | None] | None = None  # it has ended, which nobody here was told yet
        self._ends: Literal["", "close", "abort"] = ""

    # What comes

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It is up."""
        self._transport = cast(asyncio.Transport, transport)
        self._gate.joined(self)
        self._protocol.connection_made(cast(asyncio.BaseTransport, self))

    def data_received(self, data: bytes) -> None:
        """Hand bytes on, or keep them until the line is back."""
        if not self._gate.holds("to") and not self._came:
            self._protocol.data_received(data)
        elif self._may_hold(len(data)):
            self._came.append((arrived_at(self._transport, self._gate.clock()), data))

    def eof_received(self) -> bool | None:
        """An end in good order takes the same way as a reset: behind all that came."""
        return None

    def connection_lost(self, exc: Exception | None) -> None:
        """Its end is told once the line is back."""
        if self._gate.holds("to") or self._came:
            self._over = (exc,)
        else:
            self._tell_end(exc)

    def _tell_end(self, exc: Exception | None) -> None:
        self._gate.left(self)
        self._protocol.connection_lost(exc)

    def _may_hold(self, size: int) -> bool:
        self._held += size
        if self._held > MOST_HELD and self._transport is not None:
            self._transport.abort()
        return self._held <= MOST_HELD

    # What goes: the part of a transport that stand-ins use

    def write(self, data: bytes, then: Callable[[], None] = lambda: None) -> None:
        """Write, and do something once it is written."""
        assert self._transport is not None
        if not self._gate.holds("from") and not self._written:
            self._transport.write(data)
            then()
        elif self._may_hold(len(data)):
            self._written.append((data, then))

    def close(self) -> None:
        """End in good order, behind what is written."""
        self._end("close")

    def abort(self) -> None:
        """End now."""
        self._end("abort")

    def _end(self, how: Literal["close", "abort"]) -> None:
        self._ends = "abort" if "abort" in (how, self._ends) else how
        if not self._gate.holds("from"):
            self._carry_out_end()

    def _carry_out_end(self) -> None:
        assert self._transport is not None
        if self._ends == "abort":
            self._came.clear()  # whoever would take it has gone
            self._transport.abort()
        elif self._ends == "close" and not self._written:
            self._transport.close()

    def is_closing(self) -> bool:
        """Whether it ends."""
        return bool(self._ends) or self._transport is None or self._transport.is_closing()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Of the transport below."""
        assert self._transport is not None
        return self._transport.get_extra_info(name, default)

    # The line is back

    def release(self) -> None:
        """Hand on what is not to be held any longer, in order."""
        if not self._gate.holds("from"):
            while self._written:
                data, then = self._written.popleft()
                self._held -= len(data)
                if self._transport is not None and not self._transport.is_closing():
                    self._transport.write(data)
                    then()
            self._carry_out_end()
        if not self._gate.holds("to"):
            while self._came:
                at, data = self._came.popleft()
                self._held -= len(data)
                # The time when the router sent it; it comes out here only as the line is back.
                self._protocol.left = at  # type: ignore[attr-defined]
                self._protocol.data_received(data)
                self._protocol.left = 0.0  # type: ignore[attr-defined]
            if self._over is not None:
                (exc,), self._over = self._over, None
                self._tell_end(exc)


class ProxiedListener:
    """Listens at one address for a line with a gate. Closed while the line is cut, it stays silent until the
    line is back, and refuses from then on.
    """

    def __init__(self, gate: FaultProxy) -> None:
        self.gate = gate
        self._sock: socket.socket | None = None
        self._make: Callable[[], asyncio.Protocol] | None = None
        self._silence: Silence | None = None
        self._reading = False
        self._joining: set[asyncio.Task[Any]] = set()
        gate.on_change = self._changed

    def open(self, address: Address, protocol: Callable[[], asyncio.Protocol]) -> Address:
        """Take connections there, once the line is whole; returns the address with its port."""
        self._make = protocol
        if self._sock is None:
            self._sock = socket.socket()
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._sock.bind(address)
            self._sock.listen(BACKLOG)
            self._sock.setblocking(False)
        self._changed(self.gate.cut)
        host, port = self._sock.getsockname()
        return host, port

    def close(self) -> None:
        """Refuse from now on, or from when the line is back."""
        self._make = None
        self._changed(self.gate.cut)

    def end(self) -> None:
        """The day is over."""
        self._make = None
        self.gate.close()
        self._changed(False)

    def _changed(self, cut: bool) -> None:
        sock = self._sock
        if sock is None:
            return
        reads = self._make is not None and not cut
        if self._reading and not reads:
            self.gate.loop.remove_reader(sock.fileno())
        if cut and self._silence is None:
            # A connection established a moment ago waits in the queue. Accepted when the line is back, it
            # would look as if its router sent then what it has long abandoned.
            if self._reading:
                self._accept()
            self._silence = Silence(sock)
        elif not cut and self._silence is not None:
            self._silence.end()
            self._silence = None
        if reads and not self._reading:
            self.gate.loop.add_reader(sock.fileno(), self._accept)
        self._reading = reads
        if self._make is None and not cut:
            self._sock = None
            sock.close()

    def _accept(self) -> None:
        for _ in range(BACKLOG):
            try:
                sock, _ = cast(socket.socket, self._sock).accept()
            except OSError:
                return
            sock.setblocking(False)
            make = cast(Callable[[], asyncio.Protocol], self._make)
            work = self.gate.loop.connect_accepted_socket(
                lambda make=make: ProxiedConnection(self.gate, make()),  # type: ignore[misc]
                sock,
            )
            task = self.gate.loop.create_task(cast(Any, work))
            self._joining.add(task)
            task.add_done_callback(self._joined)

    def _joined(self, task: asyncio.Task[Any]) -> None:
        self._joining.discard(task)
        if not task.cancelled():
            task.exception()  # it had gone before it was there
