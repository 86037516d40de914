"""The operators' door, servers out by hand, and figures: decisions first, then over sockets."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
from pathlib import Path
from typing import Any

import orjson
import pytest

from holdgw.operation import admin_endpoint
from holdgw.operation.endpoint_overrides import EndpointOverrides, UnknownEndpointError
from holdgw.operation.endpoint_update import EndpointUpdate
from holdgw.operation.metrics import Disposition, Metrics
from holdgw.policy import Endpoint, EndpointsChanged, EndpointState, UpdateKind
from holdgw.router.config import Config, ConfigError, load_config
from holdgw.router.program import Program
from holdgw.wire import http
from tests.emulated_nodes import HIT, LIMIT_S, SERVED, Agent, Cache, command, entry, read, run
from tests.helpers import S


def listing(kind: UpdateKind, *servers: Endpoint) -> EndpointUpdate:
    here = {server.id: ("127.0.0.1", 1) for server in servers if server.state is not EndpointState.GONE}
    return EndpointUpdate(1, EndpointsChanged(kind, servers), here)


def only(news: EndpointUpdate | None) -> Endpoint:
    assert news is not None
    (server,) = news.change.endpoints
    return server


# Servers out by hand


def test_a_server_out_by_hand_drains_whatever_discovery_says_until_one_call_back() -> None:
    roster = EndpointOverrides("origin")
    roster.apply(listing(UpdateKind.FULL, Endpoint("a"), Endpoint("b")))
    assert only(roster.enter_maintenance("a", 5)).state is EndpointState.DRAINING
    assert roster.enter_maintenance("a", 6) is None  # the call may arrive twice
    for kind in (UpdateKind.DELTA, UpdateKind.FULL):
        seen = roster.apply(listing(kind, Endpoint("a"), Endpoint("b")))
        assert [server.state for server in seen.change.endpoints] == [
            EndpointState.DRAINING,
            EndpointState.READY,
        ]
    assert only(roster.exit_maintenance("a", 9)).state is EndpointState.READY
    assert roster.exit_maintenance("a", 10) is None
    assert (
        roster.apply(listing(UpdateKind.DELTA, Endpoint("a"))).change.endpoints[0].state
        is EndpointState.READY
    )


def test_a_server_out_by_hand_stays_out_when_it_leaves_the_list_and_comes_back() -> None:
    roster = EndpointOverrides(None)
    roster.apply(listing(UpdateKind.FULL, Endpoint("a"), Endpoint("b")))
    roster.enter_maintenance("a", 5)
    roster.apply(listing(UpdateKind.DELTA, Endpoint("a", state=EndpointState.GONE)))
    assert (roster.discovered_count, roster.excluded_count([])) == (1, 0)
    seen = roster.apply(listing(UpdateKind.DELTA, Endpoint("a", started_ns=7)))
    assert seen.change.endpoints[0].state is EndpointState.DRAINING


def test_a_server_called_back_is_cold_until_discovery_tells_when_it_started() -> None:
    # Its restart is told seconds late: believed to be warm, it would get its full load at once.
    roster = EndpointOverrides(None)
    roster.apply(listing(UpdateKind.FULL, Endpoint("a", started_ns=1)))
    roster.enter_maintenance("a", 5 * S)
    assert only(roster.exit_maintenance("a", 9 * S)).started_ns == 9 * S
    assert (
        roster.apply(listing(UpdateKind.FULL, Endpoint("a", started_ns=1))).change.endpoints[0].started_ns
        == 9 * S
    )
    assert (
        roster.apply(listing(UpdateKind.DELTA, Endpoint("a", started_ns=6 * S)))
        .change.endpoints[0]
        .started_ns
        == 6 * S
    )


def test_an_unknown_id_and_the_origin_are_no_cache_servers() -> None:
    roster = EndpointOverrides("origin")
    roster.apply(listing(UpdateKind.FULL, Endpoint("a"), Endpoint("o", kind="origin")))
    for name in ("b", "o", ""):
        with pytest.raises(UnknownEndpointError):
            roster.enter_maintenance(name, 1)
        with pytest.raises(UnknownEndpointError):
            roster.exit_maintenance(name, 1)
    assert roster.discovered_count == 1


def test_a_server_is_counted_once_that_is_out_by_hand_and_by_choice() -> None:
    roster = EndpointOverrides(None)
    roster.apply(listing(UpdateKind.FULL, *map(Endpoint, "abc")))
    roster.enter_maintenance("a", 1)
    assert roster.excluded_count(["a", "b", "unlisted"]) == 2


# Figures and configuration


def test_figures_stand_under_their_names() -> None:
    figures = Metrics(["fetch"])
    for _ in range(3):
        figures.count_answer("fetch", Disposition.SUCCEEDED)
    figures.count_answer("no such class", Disposition.ABORTED)
    text = figures.text(14, 3, 1).decode().splitlines()
    assert 'lb_results{service="fetch",disposition="succeeded"} 3' in text
    assert 'lb_results{service="fetch",disposition="aborted"} 0' in text
    assert {"lb_outstanding 14", "lb_discovered 3", "lb_ejected 1", "lb_forwards 0"} <= set(text)


def config(tmp_path: Path, discovery: int, **more: Any) -> Config:
    path = tmp_path / "config.json"
    classes = [
        {"name": "read", "aimNs": 300_000_000, "giveUpNs": S, "semantics": "retryable"},
        {"name": "edit", "aimNs": S, "giveUpNs": S, "semantics": "dedup", "dedupWindowNs": 2 * S},
    ]
    told = {
        "name": "n1",
        "listen": "127.0.0.1:1",
        "discovery": f"127.0.0.1:{discovery}",
        "settings": {"classes": classes},
    }
    path.write_bytes(orjson.dumps({**told, **more}))
    return load_config({"LB_CONFIG": str(path)})


def test_the_door_and_the_passed_socket_are_named_by_variables(tmp_path: Path) -> None:
    config(tmp_path, 9)
    environ = {"LB_CONFIG": str(tmp_path / "config.json")}
    loaded = load_config({**environ, "LB_OPS": "127.0.0.1:7", "LB_PASSED_SOCKET": "5"})
    assert (loaded.ops, loaded.passed) == (("127.0.0.1", 7), 5)
    assert config(tmp_path, 9).ops is None
    assert config(tmp_path, 9, ops="127.0.0.1:8").ops == ("127.0.0.1", 8)
    for bad in ({"LB_OPS": "nowhere"}, {"LB_PASSED_SOCKET": "-5"}):
        with pytest.raises(ConfigError, match=r"ops|LB_PASSED_SOCKET"):
            load_config({**environ, **bad})


# The door over sockets


class Operator:
    """What the door opens on, for tests of the door alone."""

    def __init__(self) -> None:
        self.ready, self.out = True, list[str]()

    def can_serve(self) -> bool:
        return self.ready

    def metrics_text(self) -> bytes:
        return b"lb_outstanding 0\n"

    def enter_maintenance(self, server_id: str) -> None:
        if server_id == "fault":
            raise RuntimeError(server_id)
        if server_id != "a":
            raise UnknownEndpointError(server_id)
        self.out.append(server_id)

    def exit_maintenance(self, server_id: str) -> None:
        self.out.remove(server_id)


async def until_serving(ops: tuple[str, int], process: asyncio.subprocess.Process) -> None:
    """Wait for the yes at a process's door."""
    while True:
        with contextlib.suppress(OSError):
            if (await call(ops, get("/status"))).startswith(b"HTTP/1.1 200"):
                return
        assert process.returncode is None
        await asyncio.sleep(0.02)


async def call(address: tuple[str, int], data: bytes) -> bytes:
    reader, writer = await asyncio.open_connection(*address)
    writer.write(data)
    answer = await asyncio.wait_for(reader.read(), LIMIT_S)
    writer.close()
    return answer


def put(path: str, body: str) -> bytes:
    return http.request("PUT", path, "x", body=body.encode())


def get(path: str) -> bytes:
    return http.request("GET", path, "x")


@pytest.mark.parametrize(
    ("asked", "status"),
    [
        (get("/status"), 200),
        (get("/status/metrics?x=1"), 200),
        (put("/maintenance/enter", "a"), 200),
        (put("/maintenance/enter", " a\n"), 200),
        (put("/maintenance/enter", "b"), 404),
        (put("/maintenance/enter", ""), 400),
        (put("/maintenance/enter", "fault"), 500),
        (b"PUT /maintenance/enter HTTP/1.1\r\nContent-Length: 1\r\n\r\n\xff", 400),
        (put("/maintenance/enter", "a" * 5000), 400),
        (get("/maintenance/enter"), 405),
        (put("/status", "a"), 405),
        (get("/nothing"), 404),
        (b"\x00noise\r\n\r\n", 400),
        (b"GET /status HTTP/1.1\r\n" + b"A: b\r\n" * 4000, 400),
    ],
)
def test_each_call_has_its_answer_and_a_close(asked: bytes, status: int) -> None:
    async def test() -> None:
        opened = admin_endpoint.AdminEndpoint(asyncio.get_running_loop(), Operator())
        address = await opened.listen(("127.0.0.1", 0))
        answer = await call(address, asked)
        assert answer.startswith(b"HTTP/1.1 %d " % status)
        assert b"\r\nConnection: close\r\n" in answer
        opened.close()

    run(test)


def test_callers_who_finish_no_call_hold_back_nobody() -> None:
    async def test() -> None:
        opened = admin_endpoint.AdminEndpoint(asyncio.get_running_loop(), Operator())
        address = await opened.listen(("127.0.0.1", 0))
        stuck = [await asyncio.open_connection(*address) for _ in range(3 * admin_endpoint.MAX_CONNECTIONS)]
        for _, writer in stuck:
            writer.write(b"PUT /maintenance/enter HTTP/1.1\r\n")
        assert (await call(address, get("/status"))).startswith(b"HTTP/1.1 200")
        assert opened.callers <= admin_endpoint.MAX_CONNECTIONS
        assert await asyncio.wait_for(stuck[0][0].read(), LIMIT_S) == b""
        for _, writer in stuck:
            writer.close()
        opened.close()

    run(test)


def test_staff_take_a_server_out_and_back_while_clients_ask(tmp_path: Path) -> None:
    async def test() -> None:
        async def answer(_: list[bytes]) -> bytes:
            return HIT

        caches = [Cache(answer), Cache(answer)]
        for cache in caches:
            await cache.start()
        agent = Agent([entry(f"s{i}", cache.port) for i, cache in enumerate(caches)])
        await agent.start()
        program = Program(config(tmp_path, agent.port))
        program.discovery.start()
        address = await program.clients.listen(("127.0.0.1", 0))
        ops = await program.door.listen(("127.0.0.1", 0))
        await asyncio.wait_for(agent.watched.wait(), LIMIT_S)
        asked = 0

        async def ask(times: int) -> list[int]:
            nonlocal asked
            before = [len(cache.seen) for cache in caches]
            reader, writer = await asyncio.open_connection(*address)
            for _ in range(times):
                asked += 1
                writer.write(read(f"r{asked}", f"key{asked}"))
                assert await asyncio.wait_for(reader.readexactly(len(SERVED)), LIMIT_S) == SERVED
            writer.close()
            return [len(cache.seen) - n for cache, n in zip(caches, before, strict=True)]

        assert all(await ask(60))
        assert (await call(ops, put("/maintenance/enter", "s0"))).startswith(b"HTTP/1.1 200")
        assert await ask(60) == [0, 60]
        figures = await call(ops, get("/status/metrics"))
        assert b"\nlb_discovered 2\n" in figures
        assert b"\nlb_ejected 1\n" in figures
        assert b'{service="read",disposition="succeeded"} 120\n' in figures
        assert b"\nlb_forwards 120\n" in figures
        assert (await call(ops, put("/maintenance/exit", "s0"))).startswith(b"HTTP/1.1 200")
        assert all(await ask(60))
        program.door.close()
        program.clients.close()
        program.host.close()
        program.discovery.close()
        program.pool.close()
        agent.stop()
        for cache in caches:
            cache.stop()

    run(test)


def test_clients_are_served_on_a_socket_that_was_passed_and_it_outlives_the_router(tmp_path: Path) -> None:
    async def test() -> None:
        held = socket.create_server(("127.0.0.1", 0), backlog=16)
        agent = Agent([])
        await agent.start()
        passed = os.dup(held.fileno())
        told = config(tmp_path, agent.port)
        environ = {"LB_CONFIG": str(tmp_path / "config.json"), "LB_PASSED_SOCKET": str(passed)}
        assert told.passed is None
        serving = asyncio.create_task(Program(load_config(environ)).run())
        await asyncio.wait_for(agent.watched.wait(), LIMIT_S)
        reader, writer = await asyncio.open_connection(*held.getsockname())
        writer.write(command(b"PING"))
        assert await asyncio.wait_for(reader.readline(), LIMIT_S) == b"+PONG\r\n"
        writer.close()
        os.kill(os.getpid(), signal.SIGTERM)
        await asyncio.wait_for(serving, LIMIT_S)
        later = socket.create_connection(held.getsockname(), LIMIT_S)  # the door is still there
        later.close()
        held.close()
        agent.stop()

    run(test)


def test_a_passed_descriptor_that_listens_to_nobody_ends_the_start(tmp_path: Path) -> None:
    async def test() -> None:
        ours, theirs = socket.socketpair()
        config(tmp_path, 9)
        environ = {"LB_CONFIG": str(tmp_path / "config.json"), "LB_PASSED_SOCKET": str(os.dup(ours.fileno()))}
        with pytest.raises(OSError, match="listens to nobody"):
            await Program(load_config(environ)).run()
        ours.close()
        theirs.close()

    run(test)
