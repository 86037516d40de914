"""Short scenes run on uvloop over loopback and on the simulated loop; protocols must see the same calls."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import uvloop

from holdgw.simulation.network import Network
from holdgw.simulation.process import Process
from holdgw.simulation.world import NS_PER_S, World

LARGE_BYTES = 8 << 20  # more than kernels buffer in one direction


class RecordingProtocol(asyncio.Protocol):
    """Records the calls of a protocol; consecutive data calls count as one."""

    def __init__(self, keep_open: bool = False) -> None:
        self.log: list[str] = []
        self.transport: Any = None
        self.total, self.faulty = 0, False
        self._keep_open = keep_open
        self._waiters: list[tuple[Callable[[], bool], asyncio.Future[None]]] = []

    def record(self, what: str) -> None:
        if what != "data" or self.log[-1:] != ["data"]:
            self.log.append(what)
        for ready, waiter in self._waiters:
            if ready() and not waiter.done():
                waiter.set_result(None)

    async def until(self, ready: Callable[[], bool]) -> None:
        if not ready():
            waiter = asyncio.get_running_loop().create_future()
            self._waiters.append((ready, waiter))
            async with asyncio.timeout(20):
                await waiter

    async def until_logged(self, what: str) -> None:
        await self.until(lambda: any(line.startswith(what) for line in self.log))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.record("made")

    def data_received(self, data: bytes) -> None:
        if self.faulty:
            raise LookupError("planted")
        self.total += len(data)
        self.record("data")

    def eof_received(self) -> bool:
        self.record("eof")
        return self._keep_open

    def pause_writing(self) -> None:
        self.record("pause")

    def resume_writing(self) -> None:
        self.record("resume")

    def connection_lost(self, exc: Exception | None) -> None:
        self.record(f"lost {type(exc).__name__ if exc is not None else None}")


class Pair:
    """Both ends of one connection."""

    def __init__(
        self, client: RecordingProtocol, server: RecordingProtocol, listener: asyncio.AbstractServer
    ) -> None:
        self.client, self.server, self.listener = client, server, listener

    def calls_and_bytes(self) -> tuple[list[str], int, list[str], int]:
        return self.client.log, self.client.total, self.server.log, self.server.total


IP = "127.0.0.1"  # of loopback and of the simulated host


async def connected(client_keeps_open: bool = False, server_keeps_open: bool = False) -> Pair:
    loop = asyncio.get_running_loop()
    accepted: asyncio.Future[RecordingProtocol] = loop.create_future()

    def accept() -> RecordingProtocol:
        server = RecordingProtocol(server_keeps_open)
        accepted.set_result(server)
        return server

    listener = await loop.create_server(accept, IP, 0)
    port = listener.sockets[0].getsockname()[1]
    _, client = await loop.create_connection(lambda: RecordingProtocol(client_keeps_open), IP, port)
    server = await accepted
    await server.until_logged("made")
    return Pair(client, server, listener)


def set_zero_linger(transport: Any) -> None:
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


async def client_closes() -> Any:
    pair = await connected()
    pair.client.transport.write(b"hello")
    pair.client.transport.close()
    await pair.server.until_logged("lost")
    await pair.client.until_logged("lost")
    return pair.calls_and_bytes()


async def server_closes_after_its_reply() -> Any:
    pair = await connected()
    pair.server.transport.write(b"x" * 70_000)
    pair.server.transport.close()
    await pair.client.until_logged("lost")
    await pair.server.until_logged("lost")
    return pair.calls_and_bytes()


async def half_closed_client_gets_its_reply() -> Any:
    pair = await connected(server_keeps_open=True)
    pair.client.transport.write(b"request")
    pair.client.transport.write_eof()
    await pair.server.until_logged("eof")
    pair.server.transport.write(b"answer")
    await pair.client.until(lambda: pair.client.total == 6)
    pair.server.transport.close()
    await pair.client.until_logged("lost")
    return pair.calls_and_bytes()


async def write_after_write_eof_raises() -> Any:
    pair = await connected(server_keeps_open=True)
    pair.client.transport.write_eof()
    with pytest.raises(RuntimeError):
        pair.client.transport.write(b"more")
    pair.client.transport.abort()
    await pair.client.until_logged("lost")
    return pair.client.log


async def abort_without_unread_data_sends_a_fin() -> Any:
    pair = await connected()
    pair.server.transport.abort()
    await pair.client.until_logged("lost")
    return pair.calls_and_bytes()


async def zero_linger_sends_a_reset() -> Any:
    pair = await connected()
    set_zero_linger(pair.server.transport)
    pair.server.transport.abort()
    await pair.client.until_logged("lost")
    return pair.calls_and_bytes()


async def closing_with_unread_data_sends_a_reset() -> Any:
    pair = await connected()
    pair.server.transport.pause_reading()
    pair.client.transport.write(b"never read")
    await asyncio.sleep(0.05)
    pair.server.transport.abort()
    await pair.client.until_logged("lost")
    return pair.client.log


async def paused_reader_gets_a_reset_when_it_reads() -> Any:
    pair = await connected()
    pair.client.transport.pause_reading()
    set_zero_linger(pair.server.transport)
    pair.server.transport.abort()
    await asyncio.sleep(0.05)
    before = list(pair.client.log)
    pair.client.transport.resume_reading()
    await pair.client.until_logged("lost")
    return before, pair.client.log


async def paused_reader_gets_a_reset_when_it_writes() -> Any:
    pair = await connected()
    pair.client.transport.pause_reading()
    set_zero_linger(pair.server.transport)
    pair.server.transport.abort()
    await asyncio.sleep(0.05)
    pair.client.transport.write(b"into nothing")
    await pair.client.until_logged("lost")
    return [line.split()[0] for line in pair.client.log]


async def writing_to_a_closed_peer_is_reset() -> Any:
    pair = await connected(client_keeps_open=True)
    pair.server.transport.abort()
    await pair.client.until_logged("eof")
    pair.client.transport.write(b"first: answered by a reset")
    await asyncio.sleep(0.05)
    pair.client.transport.write(b"second: the kernel refuses it")
    await pair.client.until_logged("lost")
    return [line.split()[0] for line in pair.client.log]


async def connecting_to_a_closed_listener_is_refused() -> Any:
    pair = await connected()
    port = pair.listener.sockets[0].getsockname()[1]  # type: ignore[attr-defined]
    pair.listener.close()
    pair.client.transport.write(b"the old one stays")
    await pair.server.until(lambda: pair.server.total > 0)
    with pytest.raises(ConnectionRefusedError):
        await asyncio.get_running_loop().create_connection(RecordingProtocol, IP, port)
    return pair.calls_and_bytes()


async def paused_reading_delays_data() -> Any:
    pair = await connected()
    pair.server.transport.pause_reading()
    pair.client.transport.write(b"y" * 10_000)
    await asyncio.sleep(0.05)
    before = pair.server.total
    pair.server.transport.resume_reading()
    await pair.server.until(lambda: pair.server.total == 10_000)
    return before, pair.calls_and_bytes()


async def paused_reading_delays_the_end_of_stream() -> Any:
    pair = await connected()
    pair.server.transport.pause_reading()
    pair.client.transport.write(b"last words")
    pair.client.transport.close()
    await asyncio.sleep(0.05)
    before = list(pair.server.log)
    pair.server.transport.resume_reading()
    await pair.server.until_logged("lost")
    return before, pair.server.log, pair.server.total


async def paused_reader_pauses_the_writer() -> Any:
    pair = await connected()
    pair.server.transport.pause_reading()
    pair.client.transport.write(b"z" * LARGE_BYTES)
    await pair.client.until_logged("pause")
    waiting = pair.client.transport.get_write_buffer_size() > 0
    pair.server.transport.resume_reading()
    await pair.client.until_logged("resume")
    await pair.server.until(lambda: pair.server.total == LARGE_BYTES)
    return waiting, pair.client.log, pair.client.transport.get_write_buffer_size()


async def zero_write_limit_shows_whether_the_kernel_accepted_all() -> Any:
    pair = await connected()
    pair.client.transport.set_write_buffer_limits(high=0)
    pair.client.transport.write(b"small")
    await pair.server.until(lambda: pair.server.total == 5)
    before = list(pair.client.log)
    pair.server.transport.pause_reading()
    pair.client.transport.write(b"z" * LARGE_BYTES)
    paused = pair.client.log[-1]
    pair.server.transport.resume_reading()
    await pair.client.until_logged("resume")
    return before, paused, pair.client.log[-1]


async def closing_waits_for_unsent_data() -> Any:
    pair = await connected()
    pair.server.transport.pause_reading()
    pair.client.transport.write(b"z" * LARGE_BYTES)
    pair.client.transport.close()
    closing = pair.client.transport.is_closing()
    early = list(pair.client.log)
    pair.server.transport.resume_reading()
    await pair.client.until_logged("lost")
    await pair.server.until_logged("lost")
    return closing, "lost None" in early, pair.server.total, pair.server.log[-2:]


async def aborting_drops_unsent_data() -> Any:
    pair = await connected()
    pair.server.transport.pause_reading()
    pair.client.transport.write(b"z" * LARGE_BYTES)
    await pair.client.until_logged("pause")
    pair.client.transport.abort()
    await pair.client.until_logged("lost")
    pair.server.transport.resume_reading()
    await pair.server.until_logged("lost")
    return pair.client.log, 0 < pair.server.total < LARGE_BYTES


async def writing_after_closing_is_ignored() -> Any:
    pair = await connected()
    pair.client.transport.close()
    pair.client.transport.write(b"too late")
    await pair.server.until_logged("lost")
    return pair.calls_and_bytes()


async def closing_twice_calls_connection_lost_once() -> Any:
    pair = await connected()
    pair.client.transport.close()
    pair.client.transport.abort()
    pair.client.transport.close()
    await pair.client.until_logged("lost")
    await asyncio.sleep(0.02)
    return pair.client.log


async def exception_in_a_protocol_closes_its_connection() -> Any:
    loop = asyncio.get_running_loop()
    reported: list[str] = []
    loop.set_exception_handler(lambda _, context: reported.append(type(context["exception"]).__name__))
    pair = await connected()

    pair.server.faulty = True
    pair.client.transport.write(b"go")
    await pair.server.until_logged("lost")
    return reported, pair.server.log


async def timers_of_one_instant_keep_their_order() -> Any:
    loop = asyncio.get_running_loop()
    order: list[str] = []
    done = loop.create_future()
    loop.call_later(0.030, order.append, "30")
    loop.call_later(0.0304, order.append, "30.4")  # the same millisecond
    loop.call_later(0.0297, order.append, "29.7")  # rounded up to the same millisecond
    loop.call_later(0.0004, order.append, "0.4")  # rounded to zero: runs after the calls that are ready
    loop.call_soon(order.append, "soon")
    loop.call_later(0.060, done.set_result, None)
    await done
    return order


async def cancelled_call_is_never_made() -> Any:
    loop = asyncio.get_running_loop()
    order: list[str] = []
    delayed_call = loop.call_later(0.01, order.append, "cancelled")
    ready_call = loop.call_soon(order.append, "cancelled at once")
    delayed_call.cancel()
    ready_call.cancel()
    await asyncio.sleep(0.03)
    return order, delayed_call.cancelled(), ready_call.cancelled()


async def wait_times_out() -> Any:
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.02):
            await asyncio.get_running_loop().create_future()
    task = asyncio.ensure_future(asyncio.sleep(10))
    await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    return "timed out"


async def datagrams_arrive_whole_and_a_closed_port_is_reported() -> Any:
    loop = asyncio.get_running_loop()
    events: list[str] = []

    class Datagrams(asyncio.DatagramProtocol):
        def __init__(self) -> None:
            self.first_event = loop.create_future()

        def datagram_received(self, data: bytes, addr: Any) -> None:
            events.append(data.decode())
            if not self.first_event.done():
                self.first_event.set_result(None)

        def error_received(self, exc: Exception) -> None:
            events.append(type(exc).__name__)
            if not self.first_event.done():
                self.first_event.set_result(None)

    server, server_protocol = await loop.create_datagram_endpoint(Datagrams, local_addr=(IP, 0))
    address = server.get_extra_info("sockname")[:2]
    client, client_protocol = await loop.create_datagram_endpoint(Datagrams, remote_addr=address)
    client.sendto(b"one")
    await server_protocol.first_event
    server.close()
    await asyncio.sleep(0.02)
    client.sendto(b"two")
    await client_protocol.first_event
    client.close()
    return events


SCENES: list[Callable[[], Awaitable[Any]]] = [
    client_closes,
    server_closes_after_its_reply,
    half_closed_client_gets_its_reply,
    write_after_write_eof_raises,
    abort_without_unread_data_sends_a_fin,
    zero_linger_sends_a_reset,
    closing_with_unread_data_sends_a_reset,
    paused_reader_gets_a_reset_when_it_reads,
    paused_reader_gets_a_reset_when_it_writes,
    writing_to_a_closed_peer_is_reset,
    connecting_to_a_closed_listener_is_refused,
    paused_reading_delays_data,
    paused_reading_delays_the_end_of_stream,
    paused_reader_pauses_the_writer,
    zero_write_limit_shows_whether_the_kernel_accepted_all,
    closing_waits_for_unsent_data,
    aborting_drops_unsent_data,
    writing_after_closing_is_ignored,
    closing_twice_calls_connection_lost_once,
    exception_in_a_protocol_closes_its_connection,
    timers_of_one_instant_keep_their_order,
    cancelled_call_is_never_made,
    wait_times_out,
    datagrams_arrive_whole_and_a_closed_port_is_reported,
]


def on_the_simulated_loop(scene: Callable[[], Awaitable[Any]]) -> Any:
    world = World(1)
    network = Network(world, lambda _a, _b: (100_000, 0))
    process = Process(world, network, network.host("here", "z", IP), "scene", fine_timers=False)
    results: list[Any] = []

    async def main() -> int:
        results.append(await scene())
        return 0

    process.start(main())
    world.run(world.now + 60 * NS_PER_S)
    assert not process.faults or scene is exception_in_a_protocol_closes_its_connection, process.faults
    world.end()
    return results[0]


@pytest.mark.parametrize("scene", SCENES, ids=lambda scene: scene.__name__)
def test_protocols_see_the_same_on_both(scene: Callable[[], Awaitable[Any]]) -> None:
    async def real() -> Any:
        async with asyncio.timeout(30):
            return await scene()

    assert on_the_simulated_loop(scene) == uvloop.run(real())
