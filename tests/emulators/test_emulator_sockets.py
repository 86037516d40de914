"""The emulators over loopback sockets, with a clock that the tests advance."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import Any, TypeVar

import orjson
import pytest
import uvloop

from holdgw.emulators.discovery import DiscoveryServer
from holdgw.emulators.discovery_model import DiscoveryModel, Entry, State
from holdgw.emulators.listeners import Host
from holdgw.emulators.node import NodeServer, Workload, format_load_report, make_value
from holdgw.emulators.node_model import NodeSpec
from holdgw.emulators.origin import OriginServer
from holdgw.emulators.origin_model import OriginSpec
from holdgw.emulators.processor_sharing import QueueSpec
from holdgw.emulators.records import (
    Attempt,
    EndpointStateAvailable,
    EndpointStateSent,
    ProtocolViolation,
    Record,
    WarmUpCrash,
)
from holdgw.wire.resp import command
from holdgw.wire.unread import TICK_NS
from tests.emulated_nodes import LIMIT_S

R = TypeVar("R")

WORKLOAD = Workload(1, {"read": (0.05, 0.0), "edit": (0.05, 0.0)}, 0.0, (100.0, 0.0))
NODE = NodeSpec(work=QueueSpec(slots=4, queue=2), handshake_s=0.0, miss_share=1.0)


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


class InMemoryRecorder:
    """A recorder that keeps everything in memory."""

    def __init__(self) -> None:
        self.records: list[Record] = []
        self.stored_objects: list[tuple[bytes, bytes, int]] = []
        self.invalidated: list[bytes] = []

    def record(self, record: Record) -> None:
        self.records.append(record)

    def stored(self, request: bytes, key: bytes, size: int) -> None:
        self.stored_objects.append((request, key, size))

    def voided(self, key: bytes) -> None:
        self.invalidated.append(key)

    def of_type(self, kind: type[R]) -> list[R]:
        return [record for record in self.records if isinstance(record, kind)]


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    uvloop.run(asyncio.wait_for(test(), 3 * LIMIT_S))


async def wait_until(condition: Callable[[], object]) -> None:
    async with asyncio.timeout(LIMIT_S):
        while not condition():
            await asyncio.sleep(0.001)


def read_command(name: str, key: str = "k") -> bytes:
    return command(b"KV.GET", key.encode(), name.encode(), b"c=read,t=a,d=900")


class NodeFixture:
    """A cache server on a free port and a clock that only the test advances."""

    def __init__(self, spec: NodeSpec = NODE) -> None:
        self.clock, self.recorder = Clock(), InMemoryRecorder()
        self.node = NodeServer("n1", spec, WORKLOAD, Host(), self.recorder, self.clock)

    async def start(self, cold: bool = False) -> None:
        await self.node.start(cold)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, port = self.node.addresses[""]
        return await asyncio.open_connection(host, port)

    async def wait_for_held(self, count: int) -> None:
        await wait_until(lambda: self.node.model.work.held == count)

    def advance(self, seconds: float) -> None:
        """Advance the clock and the server."""
        self.clock.now += seconds
        self.node.pause(0.0)


async def expect_bytes(reader: asyncio.StreamReader, data: bytes) -> None:
    assert await asyncio.wait_for(reader.readexactly(len(data)), LIMIT_S) == data


def miss_answer(note: bytes = b"miss", queue: int = 0) -> bytes:
    load = format_load_report(0.0, queue)
    return b"*3\r\n$-1\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n" % (len(note), note, len(load), load)


def test_a_read_misses_until_the_object_is_stored_and_then_gets_a_value_made_for_it() -> None:
    async def test() -> None:
        fixture = NodeFixture()
        await fixture.start()
        reader, writer = await fixture.connect()
        writer.write(read_command("r1"))
        await fixture.wait_for_held(1)
        fixture.advance(1.0)
        await expect_bytes(reader, miss_answer())
        fixture.node.stored(b"r1", b"k", 100)
        writer.write(read_command("r2"))
        await fixture.wait_for_held(1)
        fixture.advance(1.0)
        value = make_value(b"r2", b"k", "n1", 2, 100)
        assert len(value) == 100
        await expect_bytes(reader, b"*3\r\n$100\r\n" + value + b"\r\n$3\r\nhit\r\n")
        attempts = fixture.recorder.of_type(Attempt)
        assert [(attempt.request, attempt.result, attempt.serial) for attempt in attempts] == [
            ("r1", "miss", 1),
            ("r2", "hit", 2),
        ]
        writer.close()
        fixture.node.close()

    run(test)


@pytest.mark.parametrize("server", ["node", "store"])
@pytest.mark.parametrize("new_connection", [False, True])
def test_a_request_that_was_read_late_is_recorded_with_its_arrival_time(
    server: str, new_connection: bool
) -> None:
    stall_s = 0.1

    async def test() -> None:
        fixture = NodeFixture()
        origin = origin_server(fixture.recorder, fixture.clock)
        await fixture.start()
        await origin.start()
        server_under_test = fixture.node if server == "node" else origin

        def request(name: str) -> bytes:
            return read_command(name) if server == "node" else http_request_bytes("GET", name)

        def recorded(count: int) -> bool:
            """Return whether `count` attempts are recorded; advances the servers while they execute any."""
            if fixture.node.model.work.held + origin.model.held:
                fixture.advance(0.06)
                origin.slow(1.0)  # advances the model to the current time
            return len(fixture.recorder.of_type(Attempt)) == count

        sock = socket.create_connection(server_under_test.addresses[""])
        if not new_connection:
            sock.sendall(request("before"))
            await wait_until(lambda: recorded(1))
        started = time.monotonic()
        sock.sendall(request("late"))  # the server can't run before this test yields to the event loop
        time.sleep(stall_s)
        await wait_until(lambda: recorded(1 if new_connection else 2))
        longest = time.monotonic() - started
        late_attempt = fixture.recorder.of_type(Attempt)[-1]
        waited = late_attempt.at - late_attempt.arrived
        assert stall_s - 2 * TICK_NS / 1e9 <= waited <= longest
        if not new_connection:
            before = fixture.recorder.of_type(Attempt)[0]
            assert before.arrived <= before.at
        sock.close()
        fixture.node.close()
        origin.close()

    run(test)


def test_a_paused_server_answers_on_no_connection_until_it_resumes() -> None:
    async def test() -> None:
        fixture = NodeFixture()
        await fixture.start()
        reader, writer = await fixture.connect()
        writer.write(read_command("r1"))
        await fixture.wait_for_held(1)
        fixture.node.pause(3.0)
        new_reader, new_writer = await fixture.connect()  # accepted by the kernel
        new_writer.write(read_command("r2"))
        new_writer.write(command(b"PING"))
        writer.write(read_command("r3"))
        await wait_until(lambda: len(fixture.node.model._inbox) >= 2)
        fixture.advance(2.9)
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(new_reader.read(1), 0.05)
        at = fixture.clock.now
        for _ in range(3):
            fixture.advance(1.0)
            await asyncio.sleep(0)
        await expect_bytes(reader, miss_answer())
        await expect_bytes(new_reader, b"*3\r\n$-1\r\n")
        attempts = {attempt.request: attempt for attempt in fixture.recorder.of_type(Attempt)}
        assert attempts["r2"].at < at, "the time of its arrival in the pause, not of its execution"
        for one in (writer, new_writer):
            one.close()
        fixture.node.close()

    run(test)


def test_the_first_request_of_a_connection_waits_for_its_handshake() -> None:
    async def test() -> None:
        fixture = NodeFixture(replace(NODE, handshake_s=0.5))
        await fixture.start()
        reader, writer = await fixture.connect()
        writer.write(read_command("r1"))
        await fixture.wait_for_held(1)
        fixture.advance(0.49)
        assert fixture.node.model.work.held == 1, "only the handshake"
        fixture.advance(0.02)
        await fixture.wait_for_held(1)
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(1), 0.05)
        fixture.advance(1.0)
        await expect_bytes(reader, miss_answer()[:10])
        assert fixture.recorder.of_type(Attempt)[0].first_on_connection
        writer.close()
        fixture.node.close()

    run(test)


def test_a_link_between_zones_delays_both_directions() -> None:
    async def test() -> None:
        recorder = InMemoryRecorder()
        far = Host(links={"here": 0.0, "far": 0.03})
        node = NodeServer("n1", replace(NODE, probe_s=0.0), WORKLOAD, far, recorder, time.monotonic)
        await node.start()
        assert node.addresses["here"] != node.addresses["far"]
        reader, writer = await asyncio.open_connection(*node.addresses["far"])
        started = time.monotonic()
        writer.write(command(b"PING"))
        await expect_bytes(reader, b"+PONG\r\n")
        # Two round trips for the handshake and one for the request; timers of the event loop may fire a
        # millisecond early.
        assert time.monotonic() - started >= 6 * 0.03 - 0.01
        writer.close()
        node.close()

    run(test)


def test_answers_keep_the_order_of_their_commands() -> None:
    async def test() -> None:
        fixture = NodeFixture(replace(NODE, work=QueueSpec(cores=4, slots=4, queue=2)))
        await fixture.start()
        reader, writer = await fixture.connect()
        writer.write(read_command("slow") + command(b"PING"))
        await fixture.wait_for_held(2)
        fixture.advance(0.01)  # the PING is finished and waits for the answer to the read
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(1), 0.05)
        fixture.advance(1.0)
        await expect_bytes(reader, miss_answer() + b"+PONG\r\n")
        writer.close()
        fixture.node.close()

    run(test)


def test_requests_beyond_the_queue_and_connections_beyond_the_limit_are_rejected() -> None:
    async def test() -> None:
        fixture = NodeFixture(replace(NODE, connections=1))
        await fixture.start()
        _, writer = await fixture.connect()
        for i in range(7):
            writer.write(read_command(f"r{i}"))
        await wait_until(lambda: len(fixture.recorder.of_type(Attempt)) == 1)
        assert fixture.recorder.of_type(Attempt)[0].result == "busy"
        extra, other = await fixture.connect()
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(extra.readexactly(1), LIMIT_S)
        for one in (writer, other):
            one.close()
        fixture.node.close()

    run(test)


def test_an_idle_connection_is_closed_except_by_a_paused_server() -> None:
    async def test() -> None:
        fixture = NodeFixture(replace(NODE, idle_s=10.0))
        await fixture.start()
        reader, writer = await fixture.connect()
        await wait_until(lambda: fixture.node._connections)
        fixture.node.pause(20.0)
        fixture.clock.now += 11.0
        fixture.node._check_idle()
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(1), 0.05)
        fixture.clock.now += 20.0
        fixture.node._check_idle()
        assert await asyncio.wait_for(reader.read(), LIMIT_S) == b""
        writer.close()
        fixture.node.close()

    run(test)


@pytest.mark.parametrize("fault", ["reset", "garble", "silence"])
def test_a_request_with_a_faulty_answer_is_executed_and_recorded(fault: str) -> None:
    async def test() -> None:
        fixture = NodeFixture()
        await fixture.start()
        setattr(fixture.node.shares, fault, 1.0)
        reader, writer = await fixture.connect()
        writer.write(read_command("r1"))
        await fixture.wait_for_held(1)
        fixture.advance(1.0)
        if fault == "reset":
            with pytest.raises(ConnectionResetError):
                await asyncio.wait_for(reader.readexactly(1), LIMIT_S)
        elif fault == "garble":
            assert await asyncio.wait_for(reader.read(100), LIMIT_S)
        else:
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(reader.read(1), 0.05)
        (attempt,) = fixture.recorder.of_type(Attempt)
        assert (attempt.result, attempt.fault) == ("miss", fault)
        writer.close()
        fixture.node.close()

    run(test)


def test_a_killed_server_refuses_connections_and_restarts_cold_and_empty_at_its_address() -> None:
    async def test() -> None:
        fixture = NodeFixture(replace(NODE, work=QueueSpec(slots=4, queue=2, cold_share=0.25, warm_s=8.0)))
        await fixture.start()
        where = fixture.node.addresses[""]
        fixture.node.model.cache.put(b"k", 10, 0.0)
        reader, writer = await fixture.connect()
        writer.write(read_command("r1"))
        await fixture.wait_for_held(1)
        fixture.node.kill()
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(reader.readexactly(1), LIMIT_S)
        assert [one.result for one in fixture.recorder.of_type(Attempt)] == ["gone"]
        with pytest.raises(ConnectionRefusedError):
            await fixture.connect()
        await fixture.start(cold=True)
        assert fixture.node.addresses[""] == where
        assert fixture.node.model.work.is_cold(fixture.clock.now)
        assert not len(fixture.node.model.cache)
        writer.close()
        fixture.node.close()

    run(test)


def test_a_crash_during_warm_up_is_recorded_and_ends_the_server() -> None:
    async def test() -> None:
        spec = replace(
            NODE, work=QueueSpec(slots=4, queue=99, cold_share=0.1, warm_s=9.0), fall_multiple=1.0, fall_s=0.5
        )
        fixture = NodeFixture(spec)
        await fixture.start(cold=True)
        reader, writer = await fixture.connect()
        for i in range(9):
            writer.write(read_command(f"r{i}"))
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(reader.readexactly(1), LIMIT_S)
        assert [one.server for one in fixture.recorder.of_type(WarmUpCrash)] == ["n1"]
        with pytest.raises(ConnectionRefusedError):
            await fixture.connect()
        writer.close()
        fixture.node.close()

    run(test)


@pytest.mark.parametrize(
    "words",
    [
        (b"KV.GET", b"k", b"r1", b"c=other,t=a,d=900"),
        (b"KV.GET", b"k", b"r1", b"c=read,t=a"),
        (b"KV.DEL", b"k"),
    ],
)
def test_an_invalid_command_is_answered_with_an_error_and_recorded(words: tuple[bytes, ...]) -> None:
    async def test() -> None:
        fixture = NodeFixture()
        await fixture.start()
        reader, writer = await fixture.connect()
        writer.write(command(*words))
        assert (await asyncio.wait_for(reader.readline(), LIMIT_S)).startswith((b"-SYNTAX", b"-ERR"))
        assert len(fixture.recorder.of_type(ProtocolViolation)) == 1
        writer.close()
        fixture.node.close()

    run(test)


# The origin


def origin_server(recorder: InMemoryRecorder, clock: Clock) -> OriginServer:
    spec = OriginSpec(slots=2, queue=1, read_s=0.05, write_s=0.05, cv=0.0)
    return OriginServer("store", spec, WORKLOAD, {"edit": 2.5}, Host(), recorder, clock)


def http_request_bytes(
    method: str, name: str, body: bytes | None = None, info: str = "c=read,t=a,d=900"
) -> bytes:
    length = f"Content-Length: {len(body)}\r\n" if body is not None else ""
    head = (
        f"{method} /k%2Fx HTTP/1.1\r\nHost: a\r\nRequest-Id: {name}\r\nRequest-Info: {info}\r\n{length}\r\n"
    )
    return head.encode() + (body or b"")


async def read_http_answer(reader: asyncio.StreamReader) -> tuple[int, bytes, bytes]:
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), LIMIT_S)
    size = int(head.partition(b"Content-Length: ")[2].split(b"\r\n")[0])
    return int(head.split()[1]), head, await reader.readexactly(size)


def test_the_origin_serves_requests_drops_repeated_writes_and_rejects_overload() -> None:
    async def test() -> None:
        recorder, clock = InMemoryRecorder(), Clock()
        server = origin_server(recorder, clock)
        await server.start()
        connections = [await asyncio.open_connection(*server.addresses[""]) for _ in range(4)]
        info = "c=edit,t=a,d=900,k=abc"
        connections[0][1].write(http_request_bytes("PUT", "w1", b"new", info))
        await wait_until(lambda: server.model.held == 1)
        connections[1][1].write(
            http_request_bytes("PUT", "w2", b"new", info)
        )  # a repeated write: answered at once
        status, _, receipt = await read_http_answer(connections[1][0])
        assert (status, receipt[:8]) == (200, b"w2 k/x s")
        for connection, name in zip(connections[1:], ("r1", "r2", "r3"), strict=True):
            connection[1].write(http_request_bytes("GET", name))
        status, head, _ = await read_http_answer(connections[3][0])
        assert status == 503
        assert b"Not-Started: 1" in head
        clock.now += 0.2
        server.slow(1.0)
        assert (await read_http_answer(connections[0][0]))[0] == 200
        assert (await read_http_answer(connections[1][0]))[2].startswith(b"r1 k/x store ")
        assert recorder.invalidated == [b"k/x"]
        assert recorder.stored_objects[0][:2] == (b"r1", b"k/x")
        attempts = [
            (attempt.request, attempt.result, attempt.effect) for attempt in recorder.of_type(Attempt)
        ]
        assert ("w1", "served", True) in attempts
        assert ("w2", "repeat", False) in attempts
        assert ("r3", "busy", False) in attempts
        server.close()
        for _, writer in connections:
            writer.close()

    run(test)


def test_an_origin_that_was_down_still_knows_its_idempotency_keys() -> None:
    async def test() -> None:
        recorder, clock = InMemoryRecorder(), Clock()
        server = origin_server(recorder, clock)
        await server.start()
        reader, writer = await asyncio.open_connection(*server.addresses[""])
        writer.write(http_request_bytes("PUT", "w1", b"new", "c=edit,t=a,d=900,k=abc"))
        await wait_until(lambda: server.model.held == 1)
        server.down()
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(reader.readexactly(1), LIMIT_S)
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(*server.addresses[""])
        await server.start()
        again, new_writer = await asyncio.open_connection(*server.addresses[""])
        new_writer.write(http_request_bytes("PUT", "w1", b"new", "c=edit,t=a,d=900,k=abc"))
        assert (await read_http_answer(again))[0] == 200
        assert [one.result for one in recorder.of_type(Attempt)] == ["gone", "repeat"]
        server.close()
        for one in (writer, new_writer):
            one.close()

    run(test)


# Discovery


def discovery_server(recorder: InMemoryRecorder, clock: Clock, call_s: float = 0.0) -> DiscoveryServer:
    model = DiscoveryModel(
        [Entry("n1", State.UP), Entry("n2", State.UP)], ["r1", "r2"], lambda *_: 1.0, clock()
    )
    return DiscoveryServer(model, ["r1", "r2"], lambda *_: ("127.0.0.1", 9), recorder, clock, call_s=call_s)


async def send_call(connection: tuple[asyncio.StreamReader, asyncio.StreamWriter], query: str = "") -> None:
    connection[1].write(f"GET /registry/instances{query} HTTP/1.1\r\nHost: a\r\n\r\n".encode())


@pytest.mark.parametrize("call_s", [0.0, 0.001])
def test_a_watch_receives_a_change_after_the_delay_of_its_router_and_it_is_recorded(call_s: float) -> None:
    async def test() -> None:
        recorder, clock = InMemoryRecorder(), Clock()
        server = discovery_server(recorder, clock, call_s)
        addresses = await server.start()
        connection = await asyncio.open_connection(*addresses["r1"])
        await send_call(connection)
        _, _, body = await read_http_answer(connection[0])
        document = orjson.loads(body)
        assert document["reset"] is True
        assert [entry["instanceId"] for entry in document["instances"]] == ["n1", "n2"]
        await send_call(connection, f"?index={document['generation']}&wait=20000")
        await wait_until(lambda: any(one.watching for one in server.connections))
        server.change(Entry("n1", State.DRAINING))
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(connection[0].read(1), 0.05)
        clock.now += 1.0
        server._answer_watches()
        _, _, body = await read_http_answer(connection[0])
        assert [entry["lifecycle"] for entry in orjson.loads(body)["instances"]] == ["draining"]
        last = recorder.of_type(EndpointStateSent)[-1]
        assert (last.router, last.server, last.state, last.at) == ("r1", "n1", "draining", 101.0)
        assert {one.router for one in recorder.of_type(EndpointStateAvailable)} == {"r1", "r2"}
        server.close()
        connection[1].close()

    run(test)


def test_a_call_of_one_router_does_not_withhold_changes_from_the_watch_of_another() -> None:
    async def test() -> None:
        recorder, clock = InMemoryRecorder(), Clock()
        server = discovery_server(recorder, clock)
        addresses = await server.start()
        watch, other = [await asyncio.open_connection(*addresses[name]) for name in ("r1", "r2")]
        await send_call(watch, "?index=0&wait=20000")
        await read_http_answer(watch[0])
        await send_call(watch, "?index=1&wait=20000")
        await wait_until(lambda: any(one.watching for one in server.connections))
        server.change(Entry("n1", State.DRAINING))
        clock.now += 1.0  # due for both routers, and the call arrives before the timer fires
        await send_call(other)
        _, _, body = await read_http_answer(watch[0])
        assert [entry["lifecycle"] for entry in orjson.loads(body)["instances"]] == ["draining"]
        server.close()
        for _, writer in (watch, other):
            writer.close()

    run(test)


def test_a_full_list_removes_the_endpoints_that_it_does_not_contain() -> None:
    async def test() -> None:
        recorder, clock = InMemoryRecorder(), Clock()
        server = discovery_server(recorder, clock)
        addresses = await server.start()
        connection = await asyncio.open_connection(*addresses["r1"])
        await send_call(connection)
        await read_http_answer(connection[0])
        server.change(Entry("n2", State.REMOVED))
        clock.now += 1.0
        await send_call(connection)
        await read_http_answer(connection[0])
        assert [(one.server, one.state) for one in recorder.of_type(EndpointStateSent)][-2:] == [
            ("n1", "up"),
            ("n2", "removed"),
        ]
        server.close()
        connection[1].close()

    run(test)


def test_discovery_that_is_down_ends_watches_and_fails_calls_and_a_move_closes_the_old_address() -> None:
    async def test() -> None:
        recorder, clock = InMemoryRecorder(), Clock()
        server = discovery_server(recorder, clock)
        addresses = await server.start()
        connection = await asyncio.open_connection(*addresses["r1"])
        await send_call(connection, "?index=1&wait=20000")
        await wait_until(lambda: any(one.watching for one in server.connections))
        server.down(5.0)
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(connection[0].readexactly(1), LIMIT_S)
        other = await asyncio.open_connection(*addresses["r1"])
        await send_call(other)
        assert (await read_http_answer(other[0]))[0] == 503
        new = await server.listen("r1")
        assert new != addresses["r1"]
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(*addresses["r1"])
        clock.now += 5.0
        third = await asyncio.open_connection(*new)
        await send_call(third)
        assert (await read_http_answer(third[0]))[0] == 200
        server.close()
        for one in (connection, other, third):
            one[1].close()

    run(test)
