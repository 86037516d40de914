"""asyncio TCP transports over the simulated network, with the behaviour of uvloop on Linux.

Each end of a connection has two halves. The program's half is the transport's methods and the calls into its
protocol, which are made only while its process runs. The kernel's half receives segments, holds unread data,
and handles resets and closed sockets; it works on while the process is stopped, and after the process's death
for as long as the other end needs an answer.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Any, cast

from holdgw.simulation.simulated_socket import SimulatedSocket
from holdgw.simulation.world import Handle, World

if TYPE_CHECKING:
    from holdgw.simulation.network import Address, Connection, Host, Network
    from holdgw.simulation.process import Process

HIGH_WATER_BYTES = 64 << 10  # a transport pauses writing above this size of its own buffer
SEGMENT_BYTES = 1448  # payload of one TCP segment on an Ethernet
MAX_TRACKED_SEGMENTS = 64  # segments in transit that a reset can still cancel
DELAYED_SEGMENT_NS = 30_000_000  # a segment that takes longer is reported as delayed by the network
RETRANSMITTED_SEGMENT_NS = 100_000_000  # a segment that takes longer is waiting for its retransmission
CUT_PHASES = {"request": ("request", "behind", "vanish"), "answer": ("answer", "behind", "end", "vanish")}
MAX_PIECE_GAP_NS = 300_000  # between two pieces of a split segment
MAX_READ_BYTES = 256 << 10  # uvloop reads this much at a time


class TcpTransport(asyncio.Transport):
    """One end of a TCP connection. Its `process` is None until a process accepts the connection."""

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
        self.socket = SimulatedSocket(address, remote)
        self._world: World = network.world
        self._protocol = cast("asyncio.Protocol | None", protocol)
        self._connect_waiter = connect_waiter
        self._established = False
        # The program's half
        self._buffer = bytearray()  # written data that the kernel has not accepted
        self._high, self._low = HIGH_WATER_BYTES, HIGH_WATER_BYTES // 4
        self._writing_paused = self._reading_paused = False
        self._closing = self._eof = self._conn_lost = self._connection_lost_called = False
        # The kernel's half
        self.socket_closed = False  # closed in the kernel, or never to be established
        self._owner_generation = 0  # number of transfers from one process to another
        self.extra_descriptors = 0  # beside the process's own: held by another process, or being passed
        self._unacked = 0  # bytes sent that the peer's program has not read
        self._last_arrival = 0  # when the last segment sent so far arrives
        self._received: deque[bytes] = deque()
        self._fin_received = self._eof_delivered = self._fin_sent = self._reset_received = False
        self._written_at = 0  # when the program last wrote
        self._segments_in_transit: deque[Handle] = deque(maxlen=MAX_TRACKED_SEGMENTS)  # the latest ones

    def attach_connection(self, connection: Connection, peer: TcpTransport, label: str) -> None:
        """Attach this end to its connection and to the other end."""
        self.connection, self.peer, self.label = connection, peer, label

    # The program's half: asyncio.Transport

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return the socket, or the local or the peer's address."""
        return {"socket": self.socket, "sockname": self.address, "peername": self.remote}.get(name, default)

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Replace the protocol."""
        self._protocol = cast(asyncio.Protocol, protocol)

    def get_protocol(self) -> asyncio.BaseProtocol:
        """Return the protocol."""
        assert self._protocol is not None
        return self._protocol

    def is_closing(self) -> bool:
        """Whether the transport is closed or closing."""
        return self._closing

    def is_reading(self) -> bool:
        """Whether received data is passed to the protocol."""
        return not self._reading_paused and not self._closing

    def pause_reading(self) -> None:
        """Leave received data with the kernel."""
        self._reading_paused = True

    def resume_reading(self) -> None:
        """Pass received data to the protocol again."""
        if not self._reading_paused or self._closing:
            self._reading_paused = False
            return
        self._reading_paused = False
        self._world.soon(self.process, self._read)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Set the limits of flow control, in bytes, with asyncio's defaults and checks."""
        if high is None:
            high = HIGH_WATER_BYTES if low is None else 4 * low
        if low is None:
            low = high // 4
        if not high >= low >= 0:
            raise ValueError(f"high ({high!r}) must be >= low ({low!r}) must be >= 0")
        self._high, self._low = high, low
        self._pause_or_resume()

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that the kernel has not accepted."""
        return len(self._buffer)

    def get_write_buffer_limits(self) -> tuple[int, int]:
        """Return the low and the high limit."""
        return self._low, self._high

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send data; what the kernel does not accept waits in the transport's buffer."""
        if self._eof:
            raise RuntimeError("Cannot call write() after write_eof()")
        if not data or self._conn_lost or self._connection_lost_called:
            return
        self._written_at = self._world.now
        if self._eof_delivered:
            self.network.on_write_after_eof(self)
        if self._reset_received:
            # The kernel reports a reset at the next write, also while reading is paused.
            self._conn_lost = True
            self._world.soon(self.process, self._fatal, (BrokenPipeError(32, "Broken pipe"),))
            return
        if self._buffer:
            self._buffer += data
        else:
            window_left = self.connection.window - self._unacked
            if window_left >= len(data):
                self._send(bytes(data))
                return
            whole = bytes(data)
            if window_left > 0:
                self._send(whole[:window_left])
                self._buffer += whole[window_left:]
            else:
                self._buffer += whole
        self._pause_or_resume()

    def can_write_eof(self) -> bool:
        """Return True: a TCP connection can be half-closed."""
        return True

    def write_eof(self) -> None:
        """Close the sending direction once the buffer is sent; reading continues."""
        if self._eof or self._closing:
            return
        self._eof = True
        if not self._buffer:
            self._send_fin()

    def close(self) -> None:
        """Stop reading, and close once the buffer is sent."""
        if self._closing:
            return
        self._closing = True
        if not self._buffer:
            self._conn_lost = True
            self._world.soon(self.process, self._call_connection_lost, (None, self._owner_generation))

    def abort(self) -> None:
        """Close at once and drop the buffer."""
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
            self.close_socket()

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
        """Pass the data that the kernel holds to the protocol, then the end of the stream or a reset."""
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
                self._reading_paused = True  # as uvloop does after the end of the stream
            else:
                self.close()

    def _deliver(self, data: bytes) -> bool:
        assert self._protocol is not None
        try:
            self._pass_to_protocol(data)
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

    def _pass_to_protocol(self, data: bytes) -> None:
        """Pass data as uvloop does: a buffered protocol gets as much at a time as its buffer holds."""
        assert self._protocol is not None
        if not hasattr(self._protocol, "get_buffer"):
            self._release_window(len(data))
            self._protocol.data_received(data)
            return
        protocol = cast(asyncio.BufferedProtocol, self._protocol)
        rest = data
        while rest and not self._reading_paused and not self._closing:
            buffer = cast(memoryview, protocol.get_buffer(len(rest)))
            size = min(len(buffer), len(rest))
            buffer[:size] = rest[:size]
            rest = rest[size:]
            self._release_window(size)
            protocol.buffer_updated(size)
        if rest:
            self._received.appendleft(rest)

    @property
    def is_reset(self) -> bool:
        """Whether the peer has reset the connection."""
        return self._reset_received

    @property
    def peer_closed(self) -> bool:
        """Whether the other side has closed or reset the connection, as poll(2) reports it."""
        return self._fin_received or self._reset_received

    @property
    def has_unread_input(self) -> bool:
        """Whether received bytes are unread and no end follows them, as poll(2) reports it."""
        return bool(self._received) and not self.peer_closed

    @property
    def has_pending_input(self) -> bool:
        """Whether received bytes or an end of the input are unread, as poll(2) reports it."""
        return bool(self._received) or self.peer_closed

    @property
    def unacknowledged_bytes(self) -> int:
        """The bytes that were sent and that the peer's program has not read."""
        return self._unacked

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
        """Set the time before which no segment arrives: the other side does not know the connection yet."""
        self._last_arrival = at

    def _send_fin(self) -> None:
        if self._fin_sent or not self._established:
            return
        self._fin_sent = True
        at = max(self.network.arrival(self.host, self.peer.host), self._last_arrival)
        self._last_arrival = at
        self._world.at(at, None, self.peer.receive_fin)

    def _send_reset(self) -> None:
        # After a reset the kernel retransmits nothing: segments that still wait for it never arrive.
        earliest_arrival = self._world.now + 2 * self.network.delay(self.host, self.peer.host)
        for segment in self._segments_in_transit:
            if segment.due > earliest_arrival:
                segment.cancel()
                self._last_arrival = self._world.now
        self._segments_in_transit.clear()
        if self.network.is_blocked(self.host, self.peer.host):
            return  # a reset is not retransmitted, either
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
        """Accept more data from the buffer: the other side has read some."""
        if self.socket_closed or self._reset_received or self.host.silent or self.connection.black_holed:
            return
        self._world.soon(self.process, self._flush_buffer)

    def _flush_buffer(self) -> None:
        window_left = self.connection.window - self._unacked
        if self._connection_lost_called or not self._buffer:
            return
        if window_left < min(len(self._buffer), SEGMENT_BYTES, self.connection.window // 2):
            return  # RFC 9293, 3.8.6.2: a kernel sends no tiny segments; the next read opens the window
        data = bytes(self._buffer[:window_left])
        del self._buffer[:window_left]
        self._send(data)
        self._pause_or_resume()
        if not self._buffer:
            if self._eof:
                self._send_fin()
            if self._closing and not self._conn_lost:
                self._conn_lost = True
                self._world.soon(self.process, self._call_connection_lost, (None, self._owner_generation))

    # The kernel's half: receiving

    def _ignores_input(self) -> bool:
        return self.host.silent or self.connection.black_holed

    def receive_data(self, data: bytes) -> None:
        """Receive a segment."""
        if self._ignores_input():
            return
        if self.socket_closed:
            # No socket exists any more to read the segment: RFC 9293, 3.10.7.1.
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
        """Receive a FIN: the other side sends no more data."""
        if self._ignores_input() or self.socket_closed or self._reset_received:
            return
        self._fin_received = True
        if self.process is not None and self._established and not self._reading_paused and not self._closing:
            self._world.soon(self.process, self._read)

    def receive_reset(self) -> None:
        """Receive a reset: unread data is dropped, and writing fails from now on."""
        if self._ignores_input() or self.socket_closed or self._reset_received:
            return
        self._reset_received = True
        self._received.clear()
        self._world.trace.add(self._world.now, self.host.name, "reset", self.label)
        if self.process is None:
            if not self.extra_descriptors:
                self.close_socket()
        elif self._connect_waiter is not None and not self._established:
            self.connection_refused()
        elif self._closing:
            # The transport waited for the rest of its buffer to be sent, which is no longer possible.
            self._world.soon(self.process, self._fatal, (reset_error(),))
        elif not self._reading_paused:
            self._world.soon(self.process, self._read)

    # Establishing, transferring and closing

    def set_established(self) -> None:
        """Mark the client's end as established: its protocol is called, then the connect call returns."""
        self._established = True
        self._world.soon(self.process, self._call_connection_made)

    def _call_connection_made(self) -> None:
        waiter, self._connect_waiter = self._connect_waiter, None
        if self.socket_closed:
            return
        assert self._protocol is not None
        self._protocol.connection_made(self)
        if waiter is not None and not waiter.done():
            waiter.set_result(None)
        if self._protocol is None:
            return  # connection_made has passed the connection to another process
        if self._received or self._fin_received or self._reset_received:
            self._world.soon(self.process, self._read)

    def attach_process(self, process: Process, protocol: asyncio.BaseProtocol) -> None:
        """Attach the connection to a server's process that has accepted it."""
        self.process, self._protocol = process, cast(asyncio.Protocol, protocol)
        self._established = True
        self._call_connection_made()

    def detach_process(self) -> None:
        """Detach the process while other descriptors stay open; received data waits in the kernel."""
        if self.process is not None:
            self.process.free_descriptor(self)
        self.process = self._protocol = None
        self._owner_generation += 1
        self._closing = self._conn_lost = self._connection_lost_called = self._reading_paused = False

    def transfer_to(self, process: Process, protocol: asyncio.BaseProtocol) -> None:
        """Attach the connection to another process."""
        if self.process is not None:
            self.detach_process()  # the previous process has not run the close of its own descriptor yet
        self.attach_process(process, protocol)

    def drop_extra_descriptor(self) -> None:
        """Close one descriptor beside the process's own; closing the last of all closes the connection."""
        self.extra_descriptors -= 1
        if not self.extra_descriptors and self.process is None:
            self.close_socket()

    def connection_refused(self) -> None:
        """Fail the connect call: no socket listens at the address."""
        if self.socket_closed or self._connect_waiter is None:
            return
        waiter, self._connect_waiter = self._connect_waiter, None
        self.close_socket()
        self._world.soon(self.process, _fail_connect, (waiter, self.remote))

    def cancel_connect(self) -> None:
        """Close the socket of a connect call that was cancelled."""
        if not self._connection_lost_called and not self.socket_closed:
            self._closing = self._conn_lost = self._connection_lost_called = True
            self.close_socket()

    def reset_after_reboot(self) -> None:
        """Forget the connection after the host's reboot, and answer data of the other end with a reset."""
        if not self.socket_closed:
            self.socket_closed = True
        if self.peer._unacked and not self.peer.socket_closed:
            self._send_reset()

    def process_died(self) -> None:
        """Close the socket: the kernel closes what a dead process held."""
        self._buffer.clear()
        self._connection_lost_called = True
        self.close_socket()

    def close_socket(self) -> None:
        """Close the socket in the kernel: with a reset if data was left unread, else with a FIN."""
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
    """Return the error that reading from a reset connection raises."""
    return ConnectionResetError(104, "Connection reset by peer")


def _fail_connect(waiter: asyncio.Future[None], remote: Address) -> None:
    if not waiter.done():
        waiter.set_exception(ConnectionRefusedError(111, f"Connect call failed {remote}"))
