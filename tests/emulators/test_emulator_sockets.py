"""Stand-ins over loopback sockets, their clock in the test's hand."""

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


class RecordingRecorder:
    """A witness that keeps everything."""

    def __init__(self) -> None:
        self.records: list[Record] = []
        self.kept: list[tuple[bytes, bytes, int]] = []
        self.void: list[bytes] = []

    def record(self, record: Record) -> None:
        self.records.append(record)

    def stored(self, request: bytes, key: bytes, size: int) -> None:
        self.kept.append((request, key, size))

    def voided(self, key: bytes) -> None:
        self.void.append(key)

    def of(self, kind: type[R]) -> list[R]:
        return [record for record in self.records if isinstance(record, kind)]


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    uvloop.run(asyncio.wait_for(test(), 3 * LIMIT_S))


async def until(holds: Callable[[], object]) -> None:
    async with asyncio.timeout(LIMIT_S):
        while not holds():
            await asyncio.sleep(0.001)


def get(name: str, key: str = "k") -> bytes:
    return command(b"KV.GET", key.encode(), name.encode(), b"c=read,t=a,d=900")


class Scene:
    """A node on a free port, a clock that stands still, and a connection."""

    def __init__(self, spec: NodeSpec = NODE) -> None:
        self.clock, self.recorder = Clock(), RecordingRecorder()
        self.node = NodeServer("n1", spec, WORKLOAD, Host(), self.recorder, self.clock)

    async def start(self, cold: bool = False) -> None:
        await self.node.start(cold)

    async def dial(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, port = self.node.addresses[""]
        return await asyncio.open_connection(host, port)

    async def held(self, count: int) -> None:
        await until(lambda: self.node.model.work.held == count)

    def move(self, seconds: float) -> None:
        """Time passes, and the node looks at the clock."""
        self.clock.now += seconds
        self.node.pause(0.0)


async def answer(reader: asyncio.StreamReader, data: bytes) -> None:
    assert await asyncio.wait_for(reader.readexactly(len(data)), LIMIT_S) == data


def miss(note: bytes = b"miss", queue: int = 0) -> bytes:
    load = format_load_report(0.0, queue)
    return b"*3\r\n$-1\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n" % (len(note), note, len(load), load)


def test_a_miss_then_a_copy_then_a_value_made_for_the_request() -> None:
    async def test() -> None:
        scene = Scene()
        await scene.start()
        reader, writer = await scene.dial()
        writer.write(get("r1"))
        await scene.held(1)
        scene.move(1.0)
        await answer(reader, miss())
        scene.node.stored(b"r1", b"k", 100)
        writer.write(get("r2"))
        await scene.held(1)
        scene.move(1.0)
        value = make_value(b"r2", b"k", "n1", 2, 100)
        assert len(value) == 100
        await answer(reader, b"*3\r\n$100\r\n" + value + b"\r\n$3\r\nhit\r\n")
        seen = scene.recorder.of(Attempt)
        assert [(one.request, one.result, one.serial) for one in seen] == [
            ("r1", "miss", 1),
            ("r2", "hit", 2),
        ]
        writer.close()
        scene.node.close()

    run(test)


@pytest.mark.parametrize("server", ["node", "store"])
@pytest.mark.parametrize("new_connection", [False, True])
def test_a_request_that_a_server_was_late_to_read_is_told_with_when_it_came(
    server: str, new_connection: bool
) -> None:
    stall_s = 0.1

    async def test() -> None:
        scene = Scene()
        at_store = store(scene.recorder, scene.clock)
        await scene.start()
        await at_store.start()
        listener = scene.node if server == "node" else at_store

        def request(name: str) -> bytes:
            return get(name) if server == "node" else http("GET", name)

        def recorded(count: int) -> bool:
            """Whether so many are, after some more time for what is in work."""
            if scene.node.model.work.held + at_store.model.held:
                scene.move(0.06)
                at_store.slow(1.0)  # it looks at the clock
            return len(scene.recorder.of(Attempt)) == count

        sock = socket.create_connection(listener.addresses[""])
        if not new_connection:
            sock.sendall(request("before"))
            await until(lambda: recorded(1))
        begun = time.monotonic()
        sock.sendall(request("late"))  # and nothing of the server runs until the loop goes on
        time.sleep(stall_s)
        await until(lambda: recorded(1 if new_connection else 2))
        longest = time.monotonic() - begun
        seen = scene.recorder.of(Attempt)[-1]
        waited = seen.at - seen.arrived
        assert stall_s - 2 * TICK_NS / 1e9 <= waited <= longest
        if not new_connection:
            before = scene.recorder.of(Attempt)[0]
            assert before.arrived <= before.at
        sock.close()
        scene.node.close()
        at_store.close()

    run(test)


def test_a_pause_is_silent_on_open_and_new_connections_and_ends_with_all_it_held() -> None:
    async def test() -> None:
        scene = Scene()
        await scene.start()
        reader, writer = await scene.dial()
        writer.write(get("r1"))
        await scene.held(1)
        scene.node.pause(3.0)
        fresh, sender = await scene.dial()  # the kernel takes it
        sender.write(get("r2"))
        sender.write(command(b"PING"))
        writer.write(get("r3"))
        await until(lambda: len(scene.node.model._inbox) >= 2)
        scene.move(2.9)
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(fresh.read(1), 0.05)
        at = scene.clock.now
        for _ in range(3):
            scene.move(1.0)
            await asyncio.sleep(0)
        await answer(reader, miss())
        await answer(fresh, b"*3\r\n$-1\r\n")
        seen = {one.request: one for one in scene.recorder.of(Attempt)}
        assert seen["r2"].at < at, "it came in the pause, though it began after it"
        for one in (writer, sender):
            one.close()
        scene.node.close()

    run(test)


def test_a_new_connection_costs_its_handshake_before_its_first_request_begins() -> None:
    async def test() -> None:
        scene = Scene(replace(NODE, handshake_s=0.5))
        await scene.start()
        reader, writer = await scene.dial()
        writer.write(get("r1"))
        await scene.held(1)
        scene.move(0.49)
        assert scene.node.model.work.held == 1, "the handshake alone"
        scene.move(0.02)
        await scene.held(1)
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(1), 0.05)
        scene.move(1.0)
        await answer(reader, miss()[:10])
        assert scene.recorder.of(Attempt)[0].first_on_connection
        writer.close()
        scene.node.close()

    run(test)


def test_a_line_between_zones_takes_its_time_both_ways() -> None:
    async def test() -> None:
        recorder = RecordingRecorder()
        far = Host(links={"here": 0.0, "far": 0.03})
        node = NodeServer("n1", replace(NODE, probe_s=0.0), WORKLOAD, far, recorder, time.monotonic)
        await node.start()
        assert node.addresses["here"] != node.addresses["far"]
        reader, writer = await asyncio.open_connection(*node.addresses["far"])
        begun = time.monotonic()
        writer.write(command(b"PING"))
        await answer(reader, b"+PONG\r\n")
        # Two round trips for the handshake and one for the request; a timer of the loop may be a millisecond
        # early.
        assert time.monotonic() - begun >= 6 * 0.03 - 0.01
        writer.close()
        node.close()

    run(test)


def test_answers_keep_the_order_of_their_commands() -> None:
    async def test() -> None:
        scene = Scene(replace(NODE, work=QueueSpec(cores=4, slots=4, queue=2)))
        await scene.start()
        reader, writer = await scene.dial()
        writer.write(get("slow") + command(b"PING"))
        await scene.held(2)
        scene.move(0.01)  # the probe is done, and waits for the read before it
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(1), 0.05)
        scene.move(1.0)
        await answer(reader, miss() + b"+PONG\r\n")
        writer.close()
        scene.node.close()

    run(test)


def test_too_many_connections_and_a_line_that_is_full_are_turned_away() -> None:
    async def test() -> None:
        scene = Scene(replace(NODE, connections=1))
        await scene.start()
        _, writer = await scene.dial()
        for i in range(7):
            writer.write(get(f"r{i}"))
        await until(lambda: len(scene.recorder.of(Attempt)) == 1)
        assert scene.recorder.of(Attempt)[0].result == "busy"
        extra, other = await scene.dial()
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(extra.readexactly(1), LIMIT_S)
        for one in (writer, other):
            one.close()
        scene.node.close()

    run(test)


def test_an_idle_connection_is_closed_and_a_paused_node_closes_none() -> None:
    async def test() -> None:
        scene = Scene(replace(NODE, idle_s=10.0))
        await scene.start()
        reader, writer = await scene.dial()
        await until(lambda: scene.node._connections)
        scene.node.pause(20.0)
        scene.clock.now += 11.0
        scene.node._check_idle()
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(1), 0.05)
        scene.clock.now += 20.0
        scene.node._check_idle()
        assert await asyncio.wait_for(reader.read(), LIMIT_S) == b""
        writer.close()
        scene.node.close()

    run(test)


@pytest.mark.parametrize("fault", ["reset", "garble", "silence"])
def test_a_spoilt_answer_has_run_and_is_recorded(fault: str) -> None:
    async def test() -> None:
        scene = Scene()
        await scene.start()
        setattr(scene.node.shares, fault, 1.0)
        reader, writer = await scene.dial()
        writer.write(get("r1"))
        await scene.held(1)
        scene.move(1.0)
        if fault == "reset":
            with pytest.raises(ConnectionResetError):
                await asyncio.wait_for(reader.readexactly(1), LIMIT_S)
        elif fault == "garble":
            assert await asyncio.wait_for(reader.read(100), LIMIT_S)
        else:
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(reader.read(1), 0.05)
        (seen,) = scene.recorder.of(Attempt)
        assert (seen.result, seen.fault) == ("miss", fault)
        writer.close()
        scene.node.close()

    run(test)


def test_death_resets_and_refuses_and_a_new_start_is_cold_and_empty_at_the_same_address() -> None:
    async def test() -> None:
        scene = Scene(replace(NODE, work=QueueSpec(slots=4, queue=2, cold_share=0.25, warm_s=8.0)))
        await scene.start()
        where = scene.node.addresses[""]
        scene.node.model.cache.put(b"k", 10, 0.0)
        reader, writer = await scene.dial()
        writer.write(get("r1"))
        await scene.held(1)
        scene.node.kill()
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(reader.readexactly(1), LIMIT_S)
        assert [one.result for one in scene.recorder.of(Attempt)] == ["gone"]
        with pytest.raises(ConnectionRefusedError):
            await scene.dial()
        await scene.start(cold=True)
        assert scene.node.addresses[""] == where
        assert scene.node.model.work.is_cold(scene.clock.now)
        assert not len(scene.node.model.cache)
        writer.close()
        scene.node.close()

    run(test)


def test_a_cold_node_that_is_pushed_over_is_gone_and_says_so() -> None:
    async def test() -> None:
        spec = replace(
            NODE, work=QueueSpec(slots=4, queue=99, cold_share=0.1, warm_s=9.0), fall_multiple=1.0, fall_s=0.5
        )
        scene = Scene(spec)
        await scene.start(cold=True)
        reader, writer = await scene.dial()
        for i in range(9):
            writer.write(get(f"r{i}"))
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(reader.readexactly(1), LIMIT_S)
        assert [one.server for one in scene.recorder.of(WarmUpCrash)] == ["n1"]
        with pytest.raises(ConnectionRefusedError):
            await scene.dial()
        writer.close()
        scene.node.close()

    run(test)


@pytest.mark.parametrize(
    "words",
    [
        (b"KV.GET", b"k", b"r1", b"c=other,t=a,d=900"),
        (b"KV.GET", b"k", b"r1", b"c=read,t=a"),
        (b"KV.DEL", b"k"),
    ],
)
def test_what_no_router_should_send_is_answered_with_an_error_and_noted(words: tuple[bytes, ...]) -> None:
    async def test() -> None:
        scene = Scene()
        await scene.start()
        reader, writer = await scene.dial()
        writer.write(command(*words))
        assert (await asyncio.wait_for(reader.readline(), LIMIT_S)).startswith((b"-SYNTAX", b"-ERR"))
        assert len(scene.recorder.of(ProtocolViolation)) == 1
        writer.close()
        scene.node.close()

    run(test)


# The package store


def store(recorder: RecordingRecorder, clock: Clock) -> OriginServer:
    spec = OriginSpec(slots=2, queue=1, read_s=0.05, write_s=0.05, cv=0.0)
    return OriginServer("store", spec, WORKLOAD, {"edit": 2.5}, Host(), recorder, clock)


def http(method: str, name: str, body: bytes | None = None, info: str = "c=read,t=a,d=900") -> bytes:
    length = f"Content-Length: {len(body)}\r\n" if body is not None else ""
    head = (
        f"{method} /k%2Fx HTTP/1.1\r\nHost: a\r\nRequest-Id: {name}\r\nRequest-Info: {info}\r\n{length}\r\n"
    )
    return head.encode() + (body or b"")


async def http_answer(reader: asyncio.StreamReader) -> tuple[int, bytes, bytes]:
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), LIMIT_S)
    size = int(head.partition(b"Content-Length: ")[2].split(b"\r\n")[0])
    return int(head.split()[1]), head, await reader.readexactly(size)


def test_the_store_serves_drops_repeats_and_turns_away() -> None:
    async def test() -> None:
        recorder, clock = RecordingRecorder(), Clock()
        server = store(recorder, clock)
        await server.start()
        lines = [await asyncio.open_connection(*server.addresses[""]) for _ in range(4)]
        info = "c=edit,t=a,d=900,k=abc"
        lines[0][1].write(http("PUT", "w1", b"new", info))
        await until(lambda: server.model.held == 1)
        lines[1][1].write(http("PUT", "w2", b"new", info))  # a repeat: answered at once
        status, _, receipt = await http_answer(lines[1][0])
        assert (status, receipt[:8]) == (200, b"w2 k/x s")
        for line, name in zip(lines[1:], ("r1", "r2", "r3"), strict=True):
            line[1].write(http("GET", name))
        status, head, _ = await http_answer(lines[3][0])
        assert status == 503
        assert b"Not-Started: 1" in head
        clock.now += 0.2
        server.slow(1.0)
        assert (await http_answer(lines[0][0]))[0] == 200
        assert (await http_answer(lines[1][0]))[2].startswith(b"r1 k/x store ")
        assert recorder.void == [b"k/x"]
        assert recorder.kept[0][:2] == (b"r1", b"k/x")
        seen = [(one.request, one.result, one.effect) for one in recorder.of(Attempt)]
        assert ("w1", "served", True) in seen
        assert ("w2", "repeat", False) in seen
        assert ("r3", "busy", False) in seen
        server.close()
        for _, writer in lines:
            writer.close()

    run(test)


def test_a_store_that_is_down_refuses_and_comes_back_with_what_it_remembers() -> None:
    async def test() -> None:
        recorder, clock = RecordingRecorder(), Clock()
        server = store(recorder, clock)
        await server.start()
        reader, writer = await asyncio.open_connection(*server.addresses[""])
        writer.write(http("PUT", "w1", b"new", "c=edit,t=a,d=900,k=abc"))
        await until(lambda: server.model.held == 1)
        server.down()
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(reader.readexactly(1), LIMIT_S)
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(*server.addresses[""])
        await server.start()
        again, sender = await asyncio.open_connection(*server.addresses[""])
        sender.write(http("PUT", "w1", b"new", "c=edit,t=a,d=900,k=abc"))
        assert (await http_answer(again))[0] == 200
        assert [one.result for one in recorder.of(Attempt)] == ["gone", "repeat"]
        server.close()
        for one in (writer, sender):
            one.close()

    run(test)


# Discovery


def discovery(recorder: RecordingRecorder, clock: Clock, call_s: float = 0.0) -> DiscoveryServer:
    model = DiscoveryModel(
        [Entry("n1", State.UP), Entry("n2", State.UP)], ["r1", "r2"], lambda *_: 1.0, clock()
    )
    return DiscoveryServer(model, ["r1", "r2"], lambda *_: ("127.0.0.1", 9), recorder, clock, call_s=call_s)


async def ask(line: tuple[asyncio.StreamReader, asyncio.StreamWriter], query: str = "") -> None:
    line[1].write(f"GET /registry/instances{query} HTTP/1.1\r\nHost: a\r\n\r\n".encode())


@pytest.mark.parametrize("call_s", [0.0, 0.001])
def test_a_watch_hears_of_a_change_when_its_router_may_and_who_was_told_is_known(call_s: float) -> None:
    async def test() -> None:
        recorder, clock = RecordingRecorder(), Clock()
        server = discovery(recorder, clock, call_s)
        addresses = await server.start()
        line = await asyncio.open_connection(*addresses["r1"])
        await ask(line)
        _, _, body = await http_answer(line[0])
        told = orjson.loads(body)
        assert told["reset"] is True
        assert [entry["instanceId"] for entry in told["instances"]] == ["n1", "n2"]
        await ask(line, f"?index={told['generation']}&wait=20000")
        await until(lambda: any(one.watching for one in server.connections))
        server.change(Entry("n1", State.DRAINING))
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(line[0].read(1), 0.05)
        clock.now += 1.0
        server._answer_watches()
        _, _, body = await http_answer(line[0])
        assert [entry["lifecycle"] for entry in orjson.loads(body)["instances"]] == ["draining"]
        last = recorder.of(EndpointStateSent)[-1]
        assert (last.router, last.server, last.state, last.at) == ("r1", "n1", "draining", 101.0)
        assert {one.router for one in recorder.of(EndpointStateAvailable)} == {"r1", "r2"}
        server.close()
        line[1].close()

    run(test)


def test_a_call_of_one_router_keeps_no_news_from_anothers_watch() -> None:
    async def test() -> None:
        recorder, clock = RecordingRecorder(), Clock()
        server = discovery(recorder, clock)
        addresses = await server.start()
        watch, other = [await asyncio.open_connection(*addresses[name]) for name in ("r1", "r2")]
        await ask(watch, "?index=0&wait=20000")
        await http_answer(watch[0])
        await ask(watch, "?index=1&wait=20000")
        await until(lambda: any(one.watching for one in server.connections))
        server.change(Entry("n1", State.DRAINING))
        clock.now += 1.0  # due for both, and the call comes before the alarm
        await ask(other)
        _, _, body = await http_answer(watch[0])
        assert [entry["lifecycle"] for entry in orjson.loads(body)["instances"]] == ["draining"]
        server.close()
        for _, writer in (watch, other):
            writer.close()

    run(test)


def test_a_whole_list_tells_of_those_it_leaves_out() -> None:
    async def test() -> None:
        recorder, clock = RecordingRecorder(), Clock()
        server = discovery(recorder, clock)
        addresses = await server.start()
        line = await asyncio.open_connection(*addresses["r1"])
        await ask(line)
        await http_answer(line[0])
        server.change(Entry("n2", State.REMOVED))
        clock.now += 1.0
        await ask(line)
        await http_answer(line[0])
        assert [(one.server, one.state) for one in recorder.of(EndpointStateSent)][-2:] == [
            ("n1", "up"),
            ("n2", "removed"),
        ]
        server.close()
        line[1].close()

    run(test)


def test_discovery_that_is_down_ends_watches_and_fails_calls_and_a_move_closes_the_old_door() -> None:
    async def test() -> None:
        recorder, clock = RecordingRecorder(), Clock()
        server = discovery(recorder, clock)
        addresses = await server.start()
        line = await asyncio.open_connection(*addresses["r1"])
        await ask(line, "?index=1&wait=20000")
        await until(lambda: any(one.watching for one in server.connections))
        server.down(5.0)
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(line[0].readexactly(1), LIMIT_S)
        other = await asyncio.open_connection(*addresses["r1"])
        await ask(other)
        assert (await http_answer(other[0]))[0] == 503
        new = await server.listen("r1")
        assert new != addresses["r1"]
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(*addresses["r1"])
        clock.now += 5.0
        third = await asyncio.open_connection(*new)
        await ask(third)
        assert (await http_answer(third[0]))[0] == 200
        server.close()
        for one in (line, other, third):
            one[1].close()

    run(test)
