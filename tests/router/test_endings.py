"""Every path that ends something, over loopback sockets: what is owed at that instant, and what settles it.

Each crossing is forced by the order of events: a stand-in that holds back its answer or its dial, bytes that
are written in the very turn in which the router acts, a time set to nothing. docs/endings.md names the tests.
"""

from __future__ import annotations

import asyncio
import os
import re
import signal
import socket
import struct
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import replace
from pathlib import Path
from typing import Any, cast

import orjson
import pytest

from holdgw.policy import (
    EndpointsChanged,
    Idempotency,
    RequestClass,
    RoutingPolicy,
    SetTimer,
    TimerFired,
    UpdateKind,
)
from holdgw.router import (
    attempt,
    client_connection,
    client_listener,
    connection_close,
    connection_pool,
    descriptor_limits,
    discovery,
    endpoint_list,
    graceful_shutdown,
    program,
)
from holdgw.router.endpoint_pool import EndpointPool
from holdgw.router.platform import accept_queued, peer_closed
from tests.emulated_nodes import (
    HIT,
    LIMIT_S,
    MISS,
    SERVED,
    Cache,
    DiscoveryServer,
    LoopbackRouter,
    LoopbackServer,
    Origin,
    command,
    entry,
    read,
    run,
)
from tests.helpers import S, settings
from tests.router.test_sockets import config_of

PAGE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nvalue"
NO_LINGER = struct.pack("ii", 1, 0)
IDLE_S = 1.0  # an idle client is closed after so long where a test reads up to the end


async def until(what: Callable[[], bool]) -> None:
    """Wait for what other tasks bring about."""
    async with asyncio.timeout(LIMIT_S):
        while not what():
            await asyncio.sleep(0.002)


def ids(cache: Cache) -> list[str]:
    return [words[2].decode() for words in cache.seen]


class Stage:
    """A router, one cache server whose answers wait for `go`, and an origin."""

    def __init__(self, page: bytes = PAGE, answer: bytes = HIT, limit: int = 64) -> None:
        self.go, self.asked = asyncio.Event(), asyncio.Event()
        self.answer: bytes | None = answer
        self.cache, self.origin = Cache(self._answer), Origin(page)
        self.node = LoopbackRouter(limit=limit)

    async def _answer(self, _: list[bytes]) -> bytes | None:
        self.asked.set()
        await self.go.wait()
        return self.answer

    async def __aenter__(self) -> Stage:
        await self.cache.start()
        await self.origin.start()
        listed = entry("s1", self.cache.port), entry("o", self.origin.port, "origin")
        await self.node.start(*listed)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.node.stop()
        self.cache.stop()
        self.origin.stop()

    def connection(self, i: int = 0) -> client_connection.ClientConnection:
        return self.node.clients.connections[i]

    async def alone(self, count: int = 0) -> None:
        """Until the router has so many connections to clients."""
        await until(lambda: self.node.clients.connection_count == count)


Play = Callable[[Stage], Awaitable[None]]


def staged(play: Play, **how: Any) -> None:
    async def test() -> None:
        async with Stage(**how) as stage:
            await play(stage)

    run(test)


class GatedLoop:
    """A loop whose dials come up when they are let."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self.up, self.dialled = asyncio.Event(), asyncio.Event()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)

    async def create_connection(self, *told: Any, **how: Any) -> Any:
        self.dialled.set()
        await self.up.wait()
        return await self._loop.create_connection(*told, **how)


# Clients that leave while their request waits


@pytest.mark.parametrize("count", [1, 200])
@pytest.mark.parametrize("reset", [False, True])
def test_nothing_begins_for_a_client_that_left_while_waiting_for_a_place(
    count: int, reset: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(connection_pool, "MAX_CONNECTIONS_PER_ENDPOINT", 1)

    async def play(stage: Stage) -> None:
        first = asyncio.create_task(stage.node.ask(read("r0"), len(SERVED)))
        await asyncio.wait_for(stage.asked.wait(), LIMIT_S)
        leavers = [await stage.node.dial() for _ in range(count)]
        for i, (_, writer) in enumerate(leavers):
            writer.write(read(f"g{i}", f"k{i}"))
        await until(lambda: len(stage.node.dispatcher.open_requests.by_id) == 1 + count)
        for _, writer in leavers:
            if reset:
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            writer.close()
        await stage.alone(1)
        assert stage.node.pool.tables()["waiting"] in (0, count)  # those left are over
        assert len(stage.node.dispatcher.open_requests.by_id) == 1
        stage.go.set()
        assert await first == SERVED
        assert await stage.node.ask(read("r1"), len(SERVED)) == SERVED
        assert ids(stage.cache) == ["r0", "r1"]

    staged(play, limit=512)


def test_a_dial_that_comes_up_late_carries_nothing_for_a_client_that_left() -> None:
    async def play(stage: Stage) -> None:
        loop = GatedLoop()
        stage.node.pool._loop = cast(Any, loop)
        stage.go.set()
        _, writer = await stage.node.dial()
        writer.write(read("gone"))
        await asyncio.wait_for(loop.dialled.wait(), LIMIT_S)
        writer.close()
        await stage.alone()
        loop.up.set()
        assert await stage.node.ask(read("r1"), len(SERVED)) == SERVED
        assert ids(stage.cache) == ["r1"]

    staged(play)


def test_those_who_wait_for_the_fetch_of_a_client_that_left_are_served() -> None:
    async def play(stage: Stage) -> None:
        stage.answer = MISS
        stage.go.set()
        node = stage.node
        assert await node.ask(read("r0", "warm"), len(SERVED)) == SERVED
        assert stage.origin.seen == 1
        loop = GatedLoop()
        for server in node.pool._endpoints.values():  # the next fetch has to dial
            for connection in list(server.idle) if server.id == "o" else ():
                connection.close()
        await until(lambda: node.pool.tables()["connections"] == 1)
        node.pool._loop = cast(Any, loop)
        _, leader = await node.dial()
        leader.write(read("gone"))
        await asyncio.wait_for(loop.dialled.wait(), LIMIT_S)
        follower = asyncio.create_task(node.ask(read("r2"), len(SERVED)))
        await until(
            lambda: ids(stage.cache)[-1] == "r2" and bool(node.dispatcher._policy._fetches._waiters["k"])
        )
        leader.close()
        await until(lambda: "gone" not in node.dispatcher.open_requests.by_id)
        loop.up.set()
        assert await follower == SERVED
        assert stage.origin.seen == 2

    staged(play)


PAUSED = ["behind a fault", "too many", "too many, answered", "takes nothing", "at the router's end"]


@pytest.mark.parametrize("why", PAUSED)
def test_nothing_more_begins_for_a_client_that_left_while_it_was_not_read(
    why: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(attempt, "DISCONNECT_CHECK_AFTER_NS", 1 << 60 if "answered" in why else -1)
    monkeypatch.setattr(client_connection, "MAX_PIPELINE", 3)

    async def play(stage: Stage) -> None:
        # It closes the connection, and the request is sent again while its client is there; or answers, and
        # the next command has its turn.
        stage.answer = HIT if "answered" in why else None
        _, writer = await stage.node.dial()
        more = command(b"NOSUCH") if why == "behind a fault" else b""
        writer.write(read("r1") + more)
        if "too many" in why:
            writer.write(read("r2", "k2") + read("r3", "k3") + read("r4", "k4"))
        await asyncio.wait_for(stage.asked.wait(), LIMIT_S)
        connection = stage.connection()
        assert connection.transport is not None
        if why == "takes nothing":
            connection.pause_writing()
        elif why == "at the router's end":
            stage.node.clients.close_gracefully(even_mid_command=True)
        begun = 3 if "too many" in why else 1
        await until(lambda: not connection._reading and len(stage.cache.seen) == begun)
        writer.transport.abort()
        await until(lambda: peer_closed(connection.transport))
        assert not connection.closed  # it has not been read that it left
        stage.go.set()
        await stage.alone()
        assert await stage.node.ask(read("r9"), 4) in (b"-BUS", b"$5\r\n")
        assert not {"r1", "r2", "r3", "r4"} & {*ids(stage.cache)[begun:]}

    staged(play)


def test_a_write_that_waits_for_its_next_try_is_none_for_a_client_that_left() -> None:
    async def test() -> None:
        with socket.create_server(("127.0.0.1", 0)) as closed:
            port = closed.getsockname()[1]
        node = LoopbackRouter()
        await node.start(entry("o", port, "origin"))  # it refuses connections
        router = node.dispatcher._policy
        router._origin_concurrency.latency_ns = 1e9  # the delay goes by it
        _, writer = await node.dial()
        writer.write(command(b"KV.SET", b"k", b"w1", b"c=edit,t=a,d=2000,k=11", b"v"))
        await until(lambda: any(one.is_waiting for one in router._requests.values()))
        dials = node.pool.counters.dials
        writer.close()
        await until(lambda: not node.clients.connection_count)
        node.dispatcher._timer_fired("w1")
        assert not router._requests
        assert node.pool.counters.dials == dials == 1
        node.stop()

    run(test)


@pytest.mark.parametrize("read_here", [False, True])
def test_no_second_copy_begins_for_a_client_that_left_while_its_timer_ran(
    read_here: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(attempt, "DISCONNECT_CHECK_AFTER_NS", -1)

    async def play(stage: Stage) -> None:
        node = stage.node
        first = [asyncio.create_task(node.ask(read(name), len(SERVED))) for name in ("r1", "r2")]
        await until(lambda: len(stage.cache.seen) == 2)
        stage.go.set()
        assert await asyncio.gather(*first) == [SERVED, SERVED]
        assert await node.ask(read("r3"), len(SERVED)) == SERVED  # only a server of known pace is asked twice
        assert node.pool.tables()["connections_idle"] == 2  # and the second copy needs no dial
        stage.go.clear()
        _, writer = await node.dial()
        writer.write(read("gone"))
        await until(lambda: ids(stage.cache)[-1] == "gone")
        attempt = node.dispatcher.open_requests.by_id["gone"].last_attempt
        assert attempt is not None
        assert node.dispatcher._policy._requests["gone"].attempt_timeout_ns > 0
        if read_here:
            writer.close()
            await stage.alone(0)
        else:
            with socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno())) as sock:
                sock.shutdown(socket.SHUT_RDWR)  # the router reads it in a later turn than this
        attempt._timed_out()
        writer.close()
        await stage.alone(0)
        stage.go.set()
        assert await node.ask(read("r4"), len(SERVED)) == SERVED
        assert ids(stage.cache)[2:] == ["r3", "gone", "r4"]
        assert not node.dispatcher.open_requests.by_id

    staged(play)


# The moment of writing


def test_what_was_decided_in_time_is_not_written_when_its_time_is_over() -> None:
    async def play(stage: Stage) -> None:
        loop = GatedLoop()
        stage.node.pool._loop = cast(Any, loop)
        stage.go.set()
        asked = asyncio.create_task(stage.node.ask(read("late"), 7))
        await asyncio.wait_for(loop.dialled.wait(), LIMIT_S)
        (request,) = stage.node.dispatcher.open_requests.by_id.values()
        request.deadline_ns = 0  # over, and its timer has yet to run
        loop.up.set()
        assert await asked == b"-BUSY\r\n"
        assert not stage.cache.seen

    staged(play)


def test_a_dial_to_a_server_that_drains_meanwhile_carries_nothing() -> None:
    async def play(stage: Stage) -> None:
        loop = GatedLoop()
        node = stage.node
        node.pool._loop = cast(Any, loop)
        stage.go.set()
        asked = asyncio.create_task(node.ask(read("r1"), len(SERVED)))
        await asyncio.wait_for(loop.dialled.wait(), LIMIT_S)
        told = [entry("s1", stage.cache.port, state="draining")]
        body = {"generation": 2, "reset": False, "instances": told}
        node.dispatcher.apply_endpoint_update(endpoint_list.read_endpoint_list(body, endpoint_list.Clock()))
        loop.up.set()
        assert await asked == SERVED  # by the origin
        assert not stage.cache.seen
        assert stage.origin.seen == 1
        await until(lambda: node.pool.tables()["connections"] == 1)

    staged(play)


@pytest.mark.parametrize("over", [False, True])
def test_a_repeat_is_written_only_while_the_first_one_is_remembered(over: bool) -> None:
    async def test() -> None:
        cls = RequestClass(
            "put",
            latency_objective_ns=S,
            deadline_ns=S,
            idempotency=Idempotency.IDEMPOTENCY_KEY,
            dedup_window_ns=S // 2,
        )
        node, origin = LoopbackRouter(config=settings(classes=(cls,))), Origin(PAGE)
        origin.breaks = 1  # the first attempt is reset, and may have run
        await origin.start()
        await node.start(entry("o", origin.port, "origin"))
        loop = GatedLoop()
        reader, writer = await node.dial()
        dial = node.pool._dial_for

        def gated(server: EndpointPool) -> None:
            if origin.seen:
                node.pool._loop = cast(Any, loop)
            dial(server)

        cast(Any, node.pool)._dial_for = gated
        writer.write(command(b"KV.SET", b"k", b"w1", b"c=put,t=a,d=900,k=11", b"v"))
        await asyncio.wait_for(loop.dialled.wait(), LIMIT_S)
        (request,) = node.dispatcher.open_requests.by_id.values()
        attempt = request.last_attempt
        assert attempt is not None
        assert attempt._write_by_ns > 0
        if over:
            attempt._write_by_ns = 1  # over, and its timer has yet to run
        loop.up.set()
        if over:
            node.dispatcher._policy._classes["put"] = replace(cls, dedup_window_ns=0)
            request.deadline_ns = 0
            assert (await asyncio.wait_for(reader.readline(), LIMIT_S)).startswith(b"-")
            assert origin.seen == 1
        else:
            assert await asyncio.wait_for(reader.readexactly(len(SERVED)), LIMIT_S) == SERVED
            assert origin.seen == 2
        writer.close()
        node.stop()
        origin.stop()

    run(test)


# Closing a client's connection


def write_now(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Write at once, so that the router has it unread in this very turn."""
    sock = socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno()))
    with sock:
        assert sock.send(data) == len(data)


END: dict[str, Callable[[Stage], None]] = {
    "shutdown": lambda stage: stage.node.clients.close_gracefully(even_mid_command=False),
    "late in the shutdown": lambda stage: stage.node.clients.close_gracefully(even_mid_command=True),
    "idle for long": lambda stage: stage.connection().enforce_timeouts(1e12, 1.0),
}


@pytest.mark.parametrize("end", END)
@pytest.mark.parametrize("crossing", [read("r2"), read("r2")[:9], read("r2") * 300])
def test_a_request_that_crosses_the_end_of_a_resting_connection_is_none_and_resets_nothing(
    end: str, crossing: bytes
) -> None:
    async def play(stage: Stage) -> None:
        stage.go.set()
        reader, writer = await stage.node.dial()
        writer.write(read("r1"))
        await until(lambda: bool(stage.cache.seen) and stage.connection().is_idle)
        write_now(writer, crossing)
        END[end](stage)
        # The answer and the end, and no reset: that would be an exception here.
        assert await asyncio.wait_for(reader.read(), LIMIT_S) == SERVED
        with suppress(OSError):
            writer.write(read("r3"))  # after the shutdown
            writer.write_eof()
        await stage.alone()
        assert ids(stage.cache) == ["r1"]

    staged(play)


def test_a_client_that_floods_or_never_ends_its_side_holds_its_connection_for_a_moment_only(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(connection_close, "MAX_DISCARDED_BYTES", 4096)
    monkeypatch.setattr(connection_close, "LINGER_TIMEOUT_S", 0.2)
    closes: list[connection_close.LingeringClose] = []

    def recorded(*arguments: Any) -> connection_close.LingeringClose:
        closes.append(connection_close.LingeringClose(*arguments))
        return closes[-1]

    monkeypatch.setattr(client_connection, "LingeringClose", recorded)

    async def play(stage: Stage) -> None:
        stage.go.set()
        pairs = [await stage.node.dial() for _ in range(2)]
        for i, (_, writer) in enumerate(pairs):
            writer.write(read(f"r{i}", f"k{i}"))
        await until(lambda: stage.node.clients.connection_count == 2 and stage.connection(0).is_idle)
        await until(lambda: stage.connection(1).is_idle)
        both = [stage.connection(0), stage.connection(1)]
        stage.node.clients.close_gracefully(even_mid_command=False)
        pairs[0][1].write(b"x" * (8 << 20))
        await until(lambda: any(one.discarded_bytes > 4096 for one in closes) or both[0].closed)
        await stage.alone()
        assert len(closes) == 2
        assert max(one.discarded_bytes for one in closes) < 1 << 20
        assert ids(stage.cache) == ["r0", "r1"]

    staged(play)


def test_a_slow_client_gets_its_whole_answer_though_the_router_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection_close, "LINGER_TIMEOUT_S", 0.05)
    value = b"v" * 65536
    whole = b"$65536\r\n%b\r\n" % value
    many = 32

    async def play(stage: Stage) -> None:
        stage.answer = b"*1\r\n" + whole
        stage.go.set()
        reader, writer = await stage.node.dial()
        await stage.alone(1)
        transport = stage.connection().transport
        assert transport is not None
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65536)
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        cast(Any, writer.transport).pause_reading()
        writer.write(b"".join(read(f"r{i}") for i in range(many)))
        await until(lambda: stage.node.clients.connection_count == 1 and stage.connection().write_blocked)
        stage.node.clients.close_gracefully(even_mid_command=True)
        await until(lambda: not stage.connection().replies)
        begun = asyncio.get_running_loop().time()
        await until(lambda: asyncio.get_running_loop().time() > begun + 4 * connection_close.LINGER_TIMEOUT_S)
        cast(Any, writer.transport).resume_reading()
        got = await asyncio.wait_for(reader.read(), LIMIT_S)
        assert got
        assert len(got) % len(whole) == 0
        assert len(got) // len(whole) == len(stage.cache.seen)
        writer.close()

    staged(play)


# The end of a process


def test_what_waits_in_the_accept_queue_as_the_door_closes_is_served() -> None:
    async def play(stage: Stage) -> None:
        stage.go.set()
        sock = socket.create_connection(stage.node.address)
        sock.sendall(read("r1"))  # in this turn: nobody has accepted it
        queued = stage.node.clients.accept_queued()
        stage.node.clients.stop_accepting()
        assert len(queued) == 1
        await stage.node.clients.adopt(None, queued[0])
        stage.node.clients.close_gracefully(even_mid_command=False)
        reader, writer = await asyncio.open_connection(sock=sock)
        assert await asyncio.wait_for(reader.read(), LIMIT_S) == SERVED
        writer.close()
        await stage.alone()

    staged(play)


def test_the_accept_queue_is_taken_up_to_the_room_there_is() -> None:
    with socket.create_server(("127.0.0.1", 0), backlog=8) as listening:
        callers = [socket.create_connection(listening.getsockname()) for _ in range(5)]
        taken = accept_queued([listening], 3)
        assert len(taken) == 3
        assert len(accept_queued([listening], 9)) == 2
        assert not accept_queued([listening], 9)
        for number in taken:
            os.close(number)
        for caller in callers:
            caller.close()


def test_a_router_told_twice_to_end_and_to_read_its_file_again_ends_once_all_is_answered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(graceful_shutdown, "ACCEPT_AFTER_SIGTERM_S", 0.05)
    monkeypatch.setenv("LB_CONFIG", str(tmp_path / "config.json"))

    async def test() -> None:
        go, asked = asyncio.Event(), asyncio.Event()

        async def answer(_: list[bytes]) -> bytes:
            asked.set()
            await go.wait()
            return HIT

        cache = Cache(answer)
        await cache.start()
        agent, other = DiscoveryServer([entry("s1", cache.port)]), DiscoveryServer([entry("s1", cache.port)])
        await agent.start()
        await other.start()
        told = config_of(tmp_path / "config.json", agent.port)
        cls = RequestClass("read", latency_objective_ns=9 * S, deadline_ns=20 * S)
        config = replace(told, listen_address=("127.0.0.1", 0), settings=settings(classes=(cls,)))
        listening: asyncio.Future[tuple[str, int]] = asyncio.get_running_loop().create_future()
        router = asyncio.create_task(program.serve(config, listening))
        address = await asyncio.wait_for(listening, LIMIT_S)
        await asyncio.wait_for(agent.watched.wait(), LIMIT_S)
        reader, writer = await asyncio.open_connection(*address)
        writer.write(read("r1", wait=20_000))
        await asyncio.wait_for(asked.wait(), LIMIT_S)
        os.kill(os.getpid(), signal.SIGTERM)
        config_of(tmp_path / "config.json", other.port)
        os.kill(os.getpid(), signal.SIGHUP)
        await asyncio.wait_for(other.watched.wait(), LIMIT_S)  # it follows its new file to the end
        os.kill(os.getpid(), signal.SIGTERM)
        await asyncio.sleep(0)
        go.set()
        assert await asyncio.wait_for(reader.read(), LIMIT_S) == SERVED
        await asyncio.wait_for(router, LIMIT_S)
        writer.close()
        agent.stop()
        other.stop()
        cache.stop()

    run(test)


def test_a_router_told_to_end_before_it_is_ready_ends(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(graceful_shutdown, "ACCEPT_AFTER_SIGTERM_S", 0.05)

    async def test() -> None:
        config = replace(
            config_of(tmp_path / "c.json", 1), listen_address=("127.0.0.1", 0), known_endpoints=None
        )
        listening: asyncio.Future[tuple[str, int]] = asyncio.get_running_loop().create_future()
        router = asyncio.create_task(program.serve(config, listening))
        address = await asyncio.wait_for(listening, LIMIT_S)
        reader, writer = await asyncio.open_connection(*address)
        writer.write(command(b"PING"))
        assert (await asyncio.wait_for(reader.readline(), LIMIT_S)).startswith(b"-LOADING")
        os.kill(os.getpid(), signal.SIGTERM)
        assert await asyncio.wait_for(reader.read(), LIMIT_S) == b""
        writer.close()
        await asyncio.wait_for(router, LIMIT_S)

    run(test)


# Answers


@pytest.mark.parametrize("reset", [False, True])
def test_a_page_without_a_length_ends_with_its_connection_and_not_with_a_reset(
    reset: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(client_listener, "IDLE_TIMEOUT_S", IDLE_S)

    async def test() -> None:
        head = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nvalue"

        class Ends(LoopbackServer):
            seen = 0

            async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await reader.readuntil(b"\r\n\r\n")
                self.seen += 1
                writer.write(head)
                await writer.drain()
                if reset:
                    sock = writer.get_extra_info("socket")
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
                    writer.transport.abort()

        origin, node = Ends(), LoopbackRouter()
        await origin.start()
        await node.start(entry("o", origin.port, "origin"))
        told = await node.ask(read("r1"), len(SERVED))
        if reset:
            assert told == b"-BUSY\r\n"
            assert origin.seen > 1
        else:
            assert told == SERVED
            assert origin.seen == 1
        node.stop()
        origin.stop()

    run(test)


def test_a_second_answer_behind_the_first_costs_its_connection_and_is_nobodys() -> None:
    async def play(stage: Stage) -> None:
        stage.go.set()
        node = stage.node
        assert await node.ask(read("r1"), len(SERVED)) == SERVED
        for writer in list(stage.cache._writers):
            writer.write(b"*3\r\n$5\r\nwrong\r\n$3\r\nhit\r\n$-1\r\n")
        await until(lambda: node.pool.tables()["connections"] == 0)
        assert await node.ask(read("r2"), len(SERVED)) == SERVED
        assert stage.cache.connections == 2

    staged(play)


def test_a_time_out_and_the_answer_in_one_turn_are_one_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client_listener, "IDLE_TIMEOUT_S", IDLE_S)

    async def play(stage: Stage) -> None:
        node = stage.node
        asked = asyncio.create_task(node.ask(read("r1"), 100))
        await asyncio.wait_for(stage.asked.wait(), LIMIT_S)
        (request,) = node.dispatcher.open_requests.by_id.values()
        attempt = request.last_attempt
        assert attempt is not None
        connection = attempt.connection
        assert connection is not None
        attempt._timed_out()
        connection.data_received(HIT)  # read in the turn in which its time was over
        assert node.dispatcher.outstanding in (0, 1)
        stage.go.set()
        told = await asyncio.wait_for(asked, LIMIT_S) if node.dispatcher.outstanding else b""
        assert told.count(b"\r\n") <= 2
        results = {key: count for key, count in node.dispatcher.metrics.results.items() if count}
        assert sum(results.values()) == 1

    staged(play)


# Lists


class Mute(DiscoveryServer):
    """Discovery that answers no watch, and only so many of the other calls."""

    def __init__(self, instances: list[dict[str, Any]]) -> None:
        super().__init__(instances)
        self.mute = 0  # calls for the whole list that are to be left without an answer
        self.refuse = 0  # and those to be answered 503
        self.wholes = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            if b"index=" in head:
                self.watched.set()
                continue
            self.wholes += 1
            self.asked.set()
            if self.mute:
                self.mute -= 1
            elif self.refuse:
                self.refuse -= 1
                writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            else:
                self.send_endpoint_list(writer)


@pytest.mark.parametrize(("mute", "refuse"), [(0, 0), (3, 0), (0, 3), (2, 2)])
def test_a_watch_that_falls_silent_and_calls_that_fail_after_it_keep_no_change_from_us(
    mute: int, refuse: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(discovery, "PUSHED_WAIT_MS", 20)
    monkeypatch.setattr(discovery, "CALL_SLACK_S", 0.02)
    monkeypatch.setattr(discovery, "LIST_TIMEOUT_S", 1000.0)  # the patient call alone would never get there

    async def test() -> None:
        agent = Mute([entry("s1", 9)])
        agent.mute = mute  # from the first second on
        await agent.start()
        lists: asyncio.Queue[int] = asyncio.Queue()
        watching = discovery.Discovery(
            ("127.0.0.1", agent.port),
            False,
            endpoint_list.Clock(),
            lambda listing: lists.put_nowait(listing.generation),
            lambda: None,
        )
        watching.start()
        for version in (5, 6, 7):
            agent.generation = version
            while await asyncio.wait_for(lists.get(), LIMIT_S) != version:
                pass
            agent.mute, agent.refuse = mute, refuse
        watching.close()
        agent.stop()

    run(test)


def test_the_longest_waits_added_up_stay_within_what_counts_as_told() -> None:
    told = 6.0
    pushed = discovery.PUSHED_WAIT_MS / 1000 + discovery.CALL_SLACK_S
    assert pushed + 2 * (discovery.RETRY_S + discovery.QUICK_TIMEOUT_S) < told
    first_pause = 1.0
    assert discovery.POLL_SLACK_S + first_pause <= 2.0  # behind a call's wait, by the page
    longest = 0
    router = RoutingPolicy(settings(subscription_required=True, poll_within_ns=3600 * S), 7)
    for i in range(40):
        for action in router.handle(EndpointsChanged(UpdateKind.FAILED), i * S):
            assert isinstance(action, SetTimer)
            longest = max(longest, action.delay_ns)
            router.handle(TimerFired("subscribe"), i * S)
    assert told > longest / S + discovery.POLL_SLACK_S
    first = RoutingPolicy(settings(subscription_required=True, poll_within_ns=3600 * S), 7)
    (action,) = first.handle(EndpointsChanged(UpdateKind.FAILED), 0)
    assert isinstance(action, SetTimer)
    assert action.delay_ns <= first_pause * S


def test_a_silent_watch_where_discovery_is_asked_is_found_out_in_six_seconds() -> None:
    assert discovery.POLL_WAIT_MS / 1000 + 2 * discovery.POLL_SLACK_S + 1.0 <= 6.0
    wait = discovery._Watch(("127.0.0.1", 9), 0, needs_full_list=True).timeout
    for _ in range(60):
        wait.timed_out(0.1)  # by a service that has room
    assert wait.wait_s + 2 * discovery.POLL_SLACK_S + 1.0 <= 6.0


def test_a_list_from_before_a_move_goes_when_the_new_service_has_given_one(tmp_path: Path) -> None:
    async def test() -> None:
        old, new = Mute([entry("s1", 9)]), Mute([entry("s1", 10)])
        old.generation, new.generation = 500, 3  # with older versions, and the same server elsewhere
        await old.start()
        await new.start()
        lists: asyncio.Queue[tuple[int, int]] = asyncio.Queue()
        watching = discovery.Discovery(
            ("127.0.0.1", old.port),
            False,
            endpoint_list.Clock(),
            lambda listing: lists.put_nowait((listing.generation, listing.addresses["s1"][1])),
            lambda: None,
        )
        watching.start()
        assert await asyncio.wait_for(lists.get(), LIMIT_S) == (500, 9)
        watching.change_address(("127.0.0.1", new.port))
        assert await asyncio.wait_for(lists.get(), LIMIT_S) == (3, 10)
        await asyncio.wait_for(new.watched.wait(), LIMIT_S)
        watching.close()
        old.stop()
        new.stop()

    run(test)


# Descriptors


def test_clients_that_are_refused_leave_the_descriptors_of_discovery_and_servers(tmp_path: Path) -> None:
    async def test() -> None:
        for sockets in (256, 512, 1024):
            config = replace(config_of(tmp_path / "c.json", 1), max_descriptors=sockets)
            router = program.Program(config)
            for_clients, for_servers = descriptor_limits.descriptor_limits(sockets)
            held = for_clients + client_listener.MAX_REJECTING_CONNECTIONS + for_servers
            assert held + descriptor_limits.OWN_DESCRIPTORS <= sockets
            assert router.clients._limit == for_clients
            router.clients.close()
            router.dispatcher.close()
            router.pool.close()

    run(test)


def test_a_burst_that_waits_in_the_accept_queue_never_holds_more_descriptors_than_there_are(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    made = client_connection.ClientConnection.connection_made
    most = accepted = 0

    def counted(connection: client_connection.ClientConnection, transport: asyncio.BaseTransport) -> None:
        nonlocal most, accepted
        accepted += 1
        most = max(most, len(os.listdir("/proc/self/fd")))
        made(connection, transport)

    monkeypatch.setattr(client_connection.ClientConnection, "connection_made", counted)

    async def play(stage: Stage) -> None:
        before = len(os.listdir("/proc/self/fd"))
        callers = [socket.create_connection(stage.node.address) for _ in range(300)]  # in one turn
        await until(lambda: accepted == len(callers))
        assert 0 < most - before - len(callers) <= 8 + client_listener.MAX_REJECTING_CONNECTIONS + 1
        for caller in callers:
            caller.close()

    staged(play, limit=8)


def test_newcomers_find_room_beside_connections_that_linger(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client_connection, "FIRST_COMMAND_S", 0.0)
    monkeypatch.setattr(client_listener, "MIN_IDLE_S", 0.0)
    monkeypatch.setattr(client_listener, "MAX_REJECTING_CONNECTIONS", 2)

    async def play(stage: Stage) -> None:
        stage.go.set()
        pairs = []
        for i in range(12):
            pairs.append(await stage.node.dial())
            pairs[-1][1].write(read(f"r{i}", f"k{i}"))
            assert await asyncio.wait_for(pairs[-1][0].readexactly(len(SERVED)), LIMIT_S) == SERVED
            assert stage.node.clients.connection_count <= 4 + 2
        assert len(stage.cache.seen) == 12
        for _, writer in pairs:
            writer.close()

    staged(play, limit=4)


def test_no_list_is_taken_from_bytes_that_are_none() -> None:
    with pytest.raises(ValueError, match="not a list"):
        endpoint_list.read_endpoint_list(orjson.loads(b"[]"), endpoint_list.Clock())


# Floods


def test_clients_that_ask_much_and_take_nothing_are_ended_before_they_fill_the_memory() -> None:
    whole = b"$65536\r\n%b\r\n" % (b"v" * 65536)

    async def play(stage: Stage) -> None:
        stage.answer = b"*1\r\n" + whole
        stage.go.set()
        stage.node.clients._max_unsent_bytes = 1 << 20
        usual = await stage.node.dial()
        usual[1].write(read("r0"))
        assert await asyncio.wait_for(usual[0].readexactly(len(whole)), LIMIT_S) == whole
        _, taker = await stage.node.dial()
        await stage.alone(2)
        transport = stage.connection(1).transport
        assert transport is not None
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65536)
        taker.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        cast(Any, taker.transport).pause_reading()
        taker.write(b"".join(read(f"f{i}") for i in range(200)))
        await stage.alone(1)
        usual[1].write(read("r1"))
        assert await asyncio.wait_for(usual[0].readexactly(len(whole)), LIMIT_S) == whole

    staged(play)


def test_thousands_of_half_heads_leave_room_for_those_who_ask() -> None:
    async def play(stage: Stage) -> None:
        stage.go.set()
        for i in range(1500):
            _, writer = await stage.node.dial()
            writer.write(b"*4\r\n$6\r\nKV.")
            if i % 100 == 99:
                assert await stage.node.ask(read(f"r{i}"), 4) in (b"-BUS", b"$5\r\n")
            assert stage.node.clients.connection_count <= 64 + client_listener.MAX_REJECTING_CONNECTIONS
        assert len(stage.cache.seen) > 3

    staged(play)


# Connections to servers


def test_a_connection_that_goes_for_its_descriptor_owes_nothing_and_who_waits_for_it_is_served() -> None:
    async def test() -> None:
        async def answer(_: list[bytes]) -> bytes:
            return HIT

        caches, node = [Cache(answer), Cache(answer)], LoopbackRouter()
        for cache in caches:
            await cache.start()
        await node.start(*(entry(f"s{i}", cache.port) for i, cache in enumerate(caches)))
        node.pool._limit = 1
        for i in range(40):
            assert await node.ask(read(f"r{i}", f"k{i}"), len(SERVED)) == SERVED
        assert all(cache.seen for cache in caches)
        assert node.pool.counters.evicted > 0
        assert node.pool.tables()["descriptors_counted"] == 1
        node.stop()
        for cache in caches:
            cache.stop()

    run(test)


def test_a_dial_that_is_given_up_ends_who_waits_for_it_and_leaves_no_descriptor() -> None:
    async def play(stage: Stage) -> None:
        loop, pool = GatedLoop(), stage.node.pool
        pool._loop, pool._dial_timeout_s = cast(Any, loop), 0.01
        stage.go.set()
        asked = asyncio.create_task(stage.node.ask(read("r1"), len(SERVED)))
        await until(lambda: pool.counters.dials_timed_out > 0)
        pool._dial_timeout_s = LIMIT_S
        loop.up.set()
        assert await asked == SERVED
        await until(lambda: pool.tables()["dials"] == 0)
        assert pool.tables()["descriptors_counted"] == pool.tables()["connections"]

    staged(play)


@pytest.mark.parametrize("effect", list(Idempotency))
def test_a_resting_connection_that_its_server_closes_as_a_request_is_written(effect: Idempotency) -> None:
    async def test() -> None:
        cls = RequestClass(
            "put", latency_objective_ns=S, deadline_ns=S, idempotency=effect, dedup_window_ns=S // 2
        )
        node, origin = LoopbackRouter(config=settings(classes=(cls,))), Origin(PAGE)
        await origin.start()
        await node.start(entry("o", origin.port, "origin"))
        told = b"c=put,t=a,d=900" + b",k=11" * (effect is Idempotency.IDEMPOTENCY_KEY)

        def put(name: bytes) -> bytes:
            return command(b"KV.SET", b"k", name, told, b"v")

        assert await node.ask(put(b"w1"), len(SERVED)) == SERVED
        reader, writer = await node.dial()
        await until(lambda: node.clients.connection_count > 0)
        await asyncio.sleep(0)
        for server in origin._writers:
            server.transport.abort()
        write_now(writer, put(b"w2"))  # the router reads both in one turn, and may read this first
        answer = await asyncio.wait_for(reader.readline(), LIMIT_S)
        assert origin.seen <= 2
        assert answer == b"$5\r\n" if origin.seen == 2 else answer.startswith(b"-")
        if answer.startswith(b"-BUSY"):  # it says that another try does no harm
            assert effect is not Idempotency.NOT_IDEMPOTENT
        writer.close()
        node.stop()
        origin.stop()

    run(test)


def test_every_ending_on_the_page_names_tests_that_there_are() -> None:
    root = Path(__file__).resolve().parents[1]
    there = {
        name for path in root.rglob("*.py") for name in re.findall(r"^def (test_\w+)", path.read_text(), re.M)
    }
    rows = [
        line
        for line in (root.parent / "docs" / "endings.md").read_text().splitlines()
        if line.startswith("| ") and not line.startswith(("| ending", "| ---"))
    ]
    assert len(rows) > 20
    for row in rows:
        named = re.findall(r"`(test_\w+)`", row)
        assert named, row
        assert set(named) <= there, row
