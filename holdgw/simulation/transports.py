"""Transports as asyncio defines them, over the simulated network, in the manner of uvloop on Linux.

Each end has two halves: the program's (the transport's methods, and calls into its protocol, which are made
only while its process runs) and the kernel's (what arrives, what is held unread, resets, what is closed).
The kernel's goes on while the process stands still, and outlives it while the other side needs an answer.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, cast

from holdgw.simulation.world import Handle, World

if TYPE_CHECKING:
    from holdgw.simulation.network import Address, Connection, Host, Network
    from holdgw.simulation.process import Process

HIGH_WATER_BYTES = 64 << 10  # of a transport's own buffer, before writing is paused
ACCEPT_RETRY_NS = 100_000_000  # until a process without a free descriptor tries again
SEGMENT_BYTES = 1448  # bytes of one segment on an Ethernet
MAX_TRACKED_SEGMENTS = 64
DELAYED_SEGMENT_NS = 30_000_000  # a segment that takes longer than this was held back
RETRANSMITTED_SEGMENT_NS = 100_000_000  # a segment that comes later than this waits to be sent again
CUT_PHASES = {"request": ("request", "behind", "vanish"), "answer": ("answer", "behind", "end", "vanish")}
MAX_PIECE_GAP_NS = 300_000  # between one piece of a segment and the next, at most
MAX_READ_BYTES = 256 << 10  # bytes that uvloop reads at a time


def peer_closed(transport: Any) -> bool:
    """What `router.platform` asks the kernel, of a simulated transport."""
    return isinstance(transport, TcpTransport) and transport.peer_closed


class Socket:
    """As much of a socket as programs look at."""

    def __init__(self, name: Address, peer: Address | None = None) -> None:
        self._name, self._peer = name, peer
        self.resets = False  # closing it is a reset

    def getsockname(self) -> Address:
        """Its own address."""
        return self._name

    def getpeername(self) -> Address:
        """The other side's; raises OSError where there is none."""
        if self._peer is None:
            raise OSError(107, "Transport endpoint is not connected")
        return self._peer

    def setsockopt(self, level: int, option: int, value: int | bytes) -> None:
        """Lingering for 0 s makes the close a reset (socket(7)); nothing else changes anything here."""
        if (level, option) == (socket.SOL_SOCKET, socket.SO_LINGER) and isinstance(value, bytes):
            on, seconds = struct.unpack("ii", value)
            self.resets = bool(on) and seconds == 0

    def getsockopt(self, level: int, option: int, size: int = 0) -> bytes:
        """Tells nothing (ENOPROTOOPT)."""
        raise OSError(92, "Protocol not available")

    def fileno(self) -> int:
        """None: there is no descriptor of this machine."""
        return -1


class TcpTransport(asyncio.Transport):
    """One end of a connection. `process` None: nobody has accepted it yet."""

    def __init__(
        self,
        network: Network,
        process: Process | None,
        host: Host,
        address: Address,
        remote: Address,
        protocol: asyncio.BaseProtocol | None,
        connect_waiter: asyncio.Future[None] | None,
    ) -> None:
        self.network, self.process, self.host = network, process, host
        self.address, self.remote = address, remote
        self.socket = Socket(address, remote)
        self._world: World = network.world
        self._protocol = cast("asyncio.Protocol | None", protocol)
        self._connect_waiter = connect_waiter
        self._established = False
        # The program's half
        self._buffer = bytearray()  # what the kernel has not taken
        self._high, self._low = HIGH_WATER_BYTES, HIGH_WATER_BYTES // 4
        self._writing_paused = self._reading_paused = False
        self._closing = self._eof = self._conn_lost = self._connection_lost_called = False
        # The kernel's half
        self.socket_closed = False  # closed, or never to come up
        self._owner_generation = 0  # how often it went from one process to another
        self.extra_descriptors = (
            0  # descriptors beside the process's own: in another's hands, or on their way
        )
        self._unacked = 0  # sent, and not read by the other side's program
        self._last_arrival = 0  # when the last of what was sent comes in
        self._received: deque[bytes] = deque()
        self._fin_received = self._eof_delivered = self._fin_sent = self._reset_received = False
        self._written_at = 0  # the last write of the program
        self._segments_in_transit: deque[Handle] = deque(maxlen=MAX_TRACKED_SEGMENTS)  # segments, the latest

    def attach(self, connection: Connection, peer: TcpTransport, label: str) -> None:
        """Know the connection and the other end."""
        self.connection, self.peer, self.label = connection, peer, label

    # The program's half: asyncio.Transport

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """The socket and its addresses."""
        return {"socket": self.socket, "sockname": self.address, "peername": self.remote}.get(name, default)

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Another protocol from now on."""
        self._protocol = cast(asyncio.Protocol, protocol)

    def get_protocol(self) -> asyncio.BaseProtocol:
        """The protocol."""
        assert self._protocol is not None
        return self._protocol

    def is_closing(self) -> bool:
        """Whether it is closed or about to be."""
        return self._closing

    def is_reading(self) -> bool:
        """Whether the protocol is given what comes."""
        return not self._reading_paused and not self._closing

    def pause_reading(self) -> None:
        """What comes stays with the kernel."""
        self._reading_paused = True

    def resume_reading(self) -> None:
        """The protocol is given what comes."""
        if not self._reading_paused or self._closing:
            self._reading_paused = False
            return
        self._reading_paused = False
        self._world.soon(self.process, self._read)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """As asyncio has it."""
        if high is None:
            high = HIGH_WATER_BYTES if low is None else 4 * low
        if low is None:
            low = high // 4
        if not high >= low >= 0:
            raise ValueError(f"high ({high!r}) must be >= low ({low!r}) must be >= 0")
        self._high, self._low = high, low
        self._pause_or_resume()

    def get_write_buffer_size(self) -> int:
        """Bytes that the kernel has not taken."""
        return len(self._buffer)

    def get_write_buffer_limits(self) -> tuple[int, int]:
        """Low and high."""
        return self._low, self._high

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send; what the kernel does not take waits here."""
        if self._eof:
            raise RuntimeError("Cannot call write() after write_eof()")
        if not data or self._conn_lost or self._connection_lost_called:
            return
        self._written_at = self._world.now
        if self._eof_delivered:
            self.network.on_write_after_eof(self)
        if self._reset_received:
            # The kernel tells of it at the next write, also where nothing is being read.
            self._conn_lost = True
            self._world.soon(self.process, self._fatal, (BrokenPipeError(32, "Broken pipe"),))
            return
        if self._buffer:
            self._buffer += data
        else:
            room = self.connection.window - self._unacked
            if room >= len(data):
                self._send(bytes(data))
                return
            whole = bytes(data)
            if room > 0:
                self._send(whole[:room])
                self._buffer += whole[room:]
            else:
                self._buffer += whole
        self._pause_or_resume()

    def can_write_eof(self) -> bool:
        """Always."""
        return True

    def write_eof(self) -> None:
        """Send no more, once all is sent; reading goes on."""
        if self._eof or self._closing:
            return
        self._eof = True
        if not self._buffer:
            self._send_fin()

    def close(self) -> None:
        """Close once all is sent; nothing more is read."""
        if self._closing:
            return
        self._closing = True
        if not self._buffer:
            self._conn_lost = True
            self._world.soon(self.process, self._call_connection_lost, (None, self._owner_generation))

    def abort(self) -> None:
        """Close at once."""
        self._force_close(None)

    def _force_close(self, error: Exception | None) -> None:
        if self._connection_lost_called or (self._closing and self._conn_lost):
            return
        self._buffer.clear()
        self._closing = self._conn_lost = True
        self._world.soon(self.process, self._call_connection_lost, (error, self._owner_generation))

    def _fatal(self, error: Exception) -> None:
        if self._connection_lost_called:
            return
        if self._closing and self._conn_lost and not self._buffer and not self._reset_received:
            return
        self._buffer.clear()
        self._closing = self._conn_lost = True
        self._call_connection_lost(error)

    def _call_connection_lost(self, error: Exception | None, owner_generation: int | None = None) -> None:
        if self._connection_lost_called or (
            owner_generation is not None and owner_generation != self._owner_generation
        ):
            return
        self._connection_lost_called = True
        try:
            if self._protocol is not None:
                self._protocol.connection_lost(error)
        finally:
            self._close_socket()

    def _pause_or_resume(self) -> None:
        size = len(self._buffer)
        if size > self._high and not self._writing_paused:
            self._writing_paused = True
            if self._protocol is not None:
                self._protocol.pause_writing()
        elif size <= self._low and self._writing_paused:
            self._writing_paused = False
            if self._protocol is not None:
                self._protocol.resume_writing()

    def _read(self) -> None:
        """Give the protocol what the kernel holds."""
        while self._received and not self._reading_paused and not self._closing:
            data = self._received.popleft()
            while self._received and len(data) + len(self._received[0]) <= MAX_READ_BYTES:
                data += self._received.popleft()
            if not self._deliver(data):
                return
        if self._reading_paused or self._closing:
            return
        if self._reset_received:
            self._fatal(reset_error())
        elif self._fin_received and not self._eof_delivered:
            self._eof_delivered = True
            assert self._protocol is not None
            if self._protocol.eof_received():
                self._reading_paused = True  # as uvloop does: nothing more can come
            else:
                self.close()

    def _deliver(self, data: bytes) -> bool:
        self._release_window(len(data))
        assert self._protocol is not None
        try:
            self._protocol.data_received(data)
        except (SystemExit, KeyboardInterrupt):
            raise
        except BaseException as error:
            assert self.process is not None
            self.process.loop.call_exception_handler(
                {"message": "Fatal error: protocol.data_received() call failed.", "exception": error}
            )
            self._force_close(error if isinstance(error, Exception) else None)
            return False
        return True

    @property
    def peer_closed(self) -> bool:
        """Whether the other side has closed or reset the connection, as poll(2) tells it."""
        return self._fin_received or self._reset_received

    # The kernel's half: sending

    def _send(self, data: bytes) -> None:
        network, peer = self.network, self.peer
        self._unacked += len(data)
        if self.host.silent:
            return
        if self.connection.black_holed:
            network.on_cut(self.connection)
            return
        at = max(network.arrival(self.host, peer.host), self._last_arrival)
        if at - self._written_at > DELAYED_SEGMENT_NS:
            network.on_segment_delayed(self.host, peer.host, self._written_at, at)
        if network.cuts:
            kind = "request" if self is self.connection.client else "answer"
            cut = network.choose_cut_phase(self.host, peer.host, CUT_PHASES[kind])
            if cut == "vanish":
                network.black_hole(self.connection)
                return
            if cut == "end":
                network.on_cut(self.connection)
                self._world.soon(self.process, self.close)
            elif cut:
                if cut == kind:
                    data = data[: network.random_offset(len(data))]
                if data:
                    self._world.at(at, None, peer.receive_data, (data,))
                self._last_arrival = at
                self._world.at(at, None, network.break_connection, (self.connection,))
                return
        if network.conditions.chop:
            for piece in network.split_segment(data):
                at += network.random_offset(MAX_PIECE_GAP_NS)
                self._world.at(at, None, peer.receive_data, (piece,))
            if at - self._written_at > DELAYED_SEGMENT_NS:
                network.on_segment_delayed(self.host, peer.host, self._written_at, at)
        else:
            scheduled = self._world.at(at, None, peer.receive_data, (data,))
            if at - self._world.now > RETRANSMITTED_SEGMENT_NS:
                self._segments_in_transit.append(scheduled)
        self._last_arrival = at

    def set_earliest_arrival(self, at: int) -> None:
        """Nothing that is sent comes in before that: the other side does not know of the connection yet."""
        self._last_arrival = at

    def _send_fin(self) -> None:
        if self._fin_sent or not self._established:
            return
        self._fin_sent = True
        at = max(self.network.arrival(self.host, self.peer.host), self._last_arrival)
        self._last_arrival = at
        self._world.at(at, None, self.peer.receive_fin)

    def _send_reset(self) -> None:
        # A kernel that resets sends nothing again: what the line has held back so far never comes.
        soonest = self._world.now + 2 * self.network.delay(self.host, self.peer.host)
        for held in self._segments_in_transit:
            if held.due > soonest:
                held.cancel()
                self._last_arrival = self._world.now
        self._segments_in_transit.clear()
        if self.network.is_blocked(self.host, self.peer.host):
            return  # a reset is never sent again, either
        at = max(self.network.arrival(self.host, self.peer.host), self._last_arrival)
        self._last_arrival = at
        self._world.at(at, None, self.peer.receive_reset)

    def _release_window(self, size: int) -> None:
        peer = self.peer
        peer._unacked -= size
        if peer._buffer and not peer.socket_closed:
            at = self.network.arrival(self.host, peer.host)
            self._world.at(at, None, peer.window_opened)

    def window_opened(self) -> None:
        """The other side has read: the kernel takes more."""
        if self.socket_closed or self._reset_received or self.host.silent or self.connection.black_holed:
            return
        self._world.soon(self.process, self._flush_buffer)

    def _flush_buffer(self) -> None:
        room = self.connection.window - self._unacked
        if self._connection_lost_called or not self._buffer:
            return
        if room < min(len(self._buffer), SEGMENT_BYTES, self.connection.window // 2):
            return  # RFC 9293, 3.8.6.2: a kernel does not send crumbs; more room comes with the next reading
        data = bytes(self._buffer[:room])
        del self._buffer[:room]
        self._send(data)
        self._pause_or_resume()
        if not self._buffer:
            if self._eof:
                self._send_fin()
            if self._closing and not self._conn_lost:
                self._conn_lost = True
                self._world.soon(self.process, self._call_connection_lost, (None, self._owner_generation))

    # The kernel's half: what comes in

    def _ignores_input(self) -> bool:
        return self.host.silent or self.connection.black_holed

    def receive_data(self, data: bytes) -> None:
        """A segment comes in."""
        if self._ignores_input():
            return
        if self.socket_closed:
            # Nobody is there to read it: RFC 9293, 3.10.7.1.
            self._send_reset()
            return
        if self._reset_received:
            return
        process = self.process
        self._world.trace.add(
            self._world.now, process.name if process is not None else self.host.name, "data", self.label, data
        )
        self._received.append(data)
        if process is None or self._reading_paused or self._closing or not self._established:
            return
        if process.running:
            self._world.call(process, self._read)
        elif len(self._received) == 1:
            self._world.soon(process, self._read)

    def receive_fin(self) -> None:
        """The other side sends no more."""
        if self._ignores_input() or self.socket_closed or self._reset_received:
            return
        self._fin_received = True
        if self.process is not None and self._established and not self._reading_paused and not self._closing:
            self._world.soon(self.process, self._read)

    def receive_reset(self) -> None:
        """The connection is broken: what was held unread is lost, and what is sent goes nowhere."""
        if self._ignores_input() or self.socket_closed or self._reset_received:
            return
        self._reset_received = True
        self._received.clear()
        self._world.trace.add(self._world.now, self.host.name, "reset", self.label)
        if self.process is None:
            if not self.extra_descriptors:
                self._close_socket()
        elif self._connect_waiter is not None and not self._established:
            self.connection_refused()
        elif self._closing:
            # Waiting to send the rest, which can't be sent any more.
            self._world.soon(self.process, self._fatal, (reset_error(),))
        elif not self._reading_paused:
            self._world.soon(self.process, self._read)

    # Beginning and end

    def set_established(self) -> None:
        """The client's side is up: its protocol is told, and then whoever waits for the connection."""
        self._established = True
        self._world.soon(self.process, self._call_connection_made)

    def _call_connection_made(self) -> None:
        up, self._connect_waiter = self._connect_waiter, None
        if self.socket_closed:
            return
        assert self._protocol is not None
        self._protocol.connection_made(self)
        if up is not None and not up.done():
            up.set_result(None)
        if self._protocol is None:
            return  # it was given on to another process
        if self._received or self._fin_received or self._reset_received:
            self._world.soon(self.process, self._read)

    def attach_process(self, process: Process, protocol: asyncio.BaseProtocol) -> None:
        """A server's process has taken the connection."""
        self.process, self._protocol = process, cast(asyncio.Protocol, protocol)
        self._established = True
        self._call_connection_made()

    def detach_process(self) -> None:
        """The process has it no longer, and others do: what comes waits with the kernel."""
        if self.process is not None:
            self.process.free_descriptor(self)
        self.process = self._protocol = None
        self._owner_generation += 1
        self._closing = self._conn_lost = self._connection_lost_called = self._reading_paused = False

    def transfer_to(self, process: Process, protocol: asyncio.BaseProtocol) -> None:
        """Another process has it from now on."""
        if self.process is not None:
            self.detach_process()  # the one before has not heard yet that its own descriptor is closed
        self.attach_process(process, protocol)

    def drop_extra_descriptor(self) -> None:
        """One descriptor beside the process's own is closed; the last one of all closes the connection."""
        self.extra_descriptors -= 1
        if not self.extra_descriptors and self.process is None:
            self._close_socket()

    def connection_refused(self) -> None:
        """Nobody listens there."""
        if self.socket_closed or self._connect_waiter is None:
            return
        up, self._connect_waiter = self._connect_waiter, None
        self._close_socket()
        self._world.soon(self.process, _fail_connect, (up, self.remote))

    def cancel_connect(self) -> None:
        """Whoever wanted the connection wants it no longer."""
        if not self._connection_lost_called and not self.socket_closed:
            self._closing = self._conn_lost = self._connection_lost_called = True
            self._close_socket()

    def reset_after_reboot(self) -> None:
        """This end's machine was away and knows nothing of the connection: it answers with a reset."""
        if not self.socket_closed:
            self.socket_closed = True
        if self.peer._unacked and not self.peer.socket_closed:
            self._send_reset()

    def process_died(self) -> None:
        """The kernel closes what the process held."""
        self._buffer.clear()
        self._connection_lost_called = True
        self._close_socket()

    def _close_socket(self) -> None:
        """The kernel closes it: with a reset if something was left unread, else in good order."""
        if self.socket_closed:
            return
        if self.extra_descriptors:
            self.detach_process()
            return
        self.socket_closed = True
        if self.process is not None:
            self.process.free_descriptor(self)
        if not self.host.silent and not self._reset_received:
            if self.socket.resets or self._received:
                self._send_reset()
            elif self._established:
                self._send_fin()
        self._received.clear()
        if self.peer.socket_closed:
            self.network.forget_connection(self.connection)


def reset_error() -> ConnectionResetError:
    """What a read from a connection that was reset fails with."""
    return ConnectionResetError(104, "Connection reset by peer")


def _fail_connect(up: asyncio.Future[None], remote: Address) -> None:
    if not up.done():
        up.set_exception(ConnectionRefusedError(111, f"Connect call failed {remote}"))


class Listener(asyncio.AbstractServer):
    """A listening socket, and the server that accepts from it."""

    def __init__(
        self,
        network: Network,
        process: Process,
        factory: Callable[[], asyncio.BaseProtocol],
        address: Address,
        backlog: int,
    ) -> None:
        self.network, self.process, self.address = network, process, address
        self._socket = Socket(address)
        self._factory, self._backlog = factory, backlog
        self._pending: dict[Connection, None] = {}
        self._open = True
        self._closed: list[asyncio.Future[None]] = []

    @property
    def sockets(self) -> tuple[Socket, ...]:
        """The listening socket, while it is open."""
        return (self._socket,) if self._open else ()

    @property
    def is_full(self) -> bool:
        """Whether the kernel holds as many connections as it may that nobody has accepted."""
        return len(self._pending) >= self._backlog

    def add_pending(self, connection: Connection) -> None:
        """A connection is coming up."""
        self._pending[connection] = None

    def remove_pending(self, connection: Connection) -> None:
        """It will not."""
        self._pending.pop(connection, None)

    def connection_established(self, connection: Connection) -> None:
        """It is up: the process is to accept it."""
        if not self._open:
            if connection in self._pending:
                self.remove_pending(connection)
            return
        self.network.world.soon(self.process, self._accept, (connection,))

    def _accept(self, connection: Connection) -> None:
        end = connection.server
        if not self._open or connection not in self._pending:
            return
        if end._reset_received or end.socket_closed:
            self.remove_pending(connection)
            return
        try:
            self.process.take_descriptor(end)
        except OSError:
            # The kernel keeps it; the process looks again when it looks again.
            self.network.world.at(
                self.network.world.now + ACCEPT_RETRY_NS, self.process, self._accept, (connection,)
            )
            return
        self.remove_pending(connection)
        self.network.world.trace.add(self.network.world.now, self.process.name, "accept", connection.label)
        end.attach_process(self.process, self._factory())

    def get_loop(self) -> asyncio.AbstractEventLoop:
        """The process's loop."""
        return self.process.loop

    def is_serving(self) -> bool:
        """Whether it listens."""
        return self._open

    async def start_serving(self) -> None:
        """It does already."""

    async def serve_forever(self) -> None:
        """Until it is cancelled."""
        try:
            await self.process.loop.create_future()
        finally:
            self.close()

    def close(self) -> None:
        """Refuse from now on; those that nobody has accepted are reset."""
        if not self._open:
            return
        self._open = False
        self.network.unlisten(self)
        self.process.free_descriptor(self)
        pending, self._pending = self._pending, {}
        for connection in pending:
            if not self.process.host.silent:
                connection.server.socket.resets = True
            connection.server._close_socket()
        for waiter in self._closed:
            if not waiter.done():
                waiter.set_result(None)

    def process_died(self) -> None:
        """The kernel closes it."""
        self._closed.clear()
        self.close()

    async def wait_closed(self) -> None:
        """Until it is closed."""
        if self._open:
            waiter = self.process.loop.create_future()
            self._closed.append(waiter)
            await waiter


class UdpTransport(asyncio.DatagramTransport):
    """A datagram socket."""

    def __init__(
        self,
        network: Network,
        process: Process,
        address: Address,
        remote: Address | None,
        protocol: asyncio.DatagramProtocol,
    ) -> None:
        self.network, self.process, self.address, self.remote = network, process, address, remote
        self._protocol, self._closing = protocol, False
        self.socket = Socket(address, remote)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """The socket and its addresses."""
        return {"socket": self.socket, "sockname": self.address, "peername": self.remote}.get(name, default)

    def get_protocol(self) -> asyncio.BaseProtocol:
        """The protocol."""
        return self._protocol

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Another protocol from now on."""
        self._protocol = cast(asyncio.DatagramProtocol, protocol)

    def is_closing(self) -> bool:
        """Whether it is closed."""
        return self._closing

    def sendto(self, data: bytes | bytearray | memoryview, addr: Any = None) -> None:
        """Send one datagram."""
        to = addr or self.remote
        if to is None:
            raise ValueError("no address to send to")
        if self.remote is not None and addr not in (None, self.remote):
            raise ValueError(f"Invalid address: must be None or {self.remote}")
        if not self._closing and data:
            self.network.send_datagram(self, bytes(data), (to[0], to[1]))

    def receive_datagram(self, data: bytes, sender: Address) -> None:
        """One datagram has come."""
        if not self._closing and (self.remote is None or self.remote == sender):
            self._protocol.datagram_received(data, sender)

    def receive_port_unreachable(self) -> None:
        """Nobody has the port that something was sent to; only a connected socket is told."""
        if not self._closing and self.remote is not None:
            self._protocol.error_received(ConnectionRefusedError(111, "Connection refused"))

    def close(self) -> None:
        """Close."""
        if self._closing:
            return
        self._closing = True
        self.network.unbind(self)
        self.process.free_descriptor(self)
        self.network.world.soon(self.process, self._protocol.connection_lost, (None,))

    def abort(self) -> None:
        """Close."""
        self.close()

    def process_died(self) -> None:
        """The kernel closes it."""
        self._closing = True
        self.network.unbind(self)
