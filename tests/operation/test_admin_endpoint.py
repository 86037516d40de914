"""The admin endpoint over sockets, on its own and in a router."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
from pathlib import Path

import pytest

from holdgw.operation import admin_endpoint
from holdgw.operation.endpoint_overrides import UnknownEndpointError
from holdgw.router.config import ConfigError, load_config
from holdgw.router.program import Program
from tests.emulated_nodes import HIT, LIMIT_S, SERVED, Cache, DiscoveryServer, command, entry, read, run
from tests.operation.admin_calls import call, config, get, put


def test_the_admin_endpoint_and_the_passed_socket_are_named_by_variables(tmp_path: Path) -> None:
    config(tmp_path, 9)
    environ = {"LB_CONFIG": str(tmp_path / "config.json")}
    loaded = load_config({**environ, "LB_OPS": "127.0.0.1:7", "LB_PASSED_SOCKET": "5"})
    assert (loaded.admin_address, loaded.passed_descriptor) == (("127.0.0.1", 7), 5)
    assert config(tmp_path, 9).admin_address is None
    assert config(tmp_path, 9, ops="127.0.0.1:8").admin_address == ("127.0.0.1", 8)
    for bad in ({"LB_OPS": "nowhere"}, {"LB_PASSED_SOCKET": "-5"}):
        with pytest.raises(ConfigError, match=r"ops|LB_PASSED_SOCKET"):
            load_config({**environ, **bad})


class RecordingOperations:
    """Operations that record the calls of an admin endpoint."""

    def __init__(self) -> None:
        self.ready, self.overridden_ids = True, list[str]()

    def can_serve(self) -> bool:
        return self.ready

    def metrics_text(self) -> bytes:
        return b"lb_outstanding 0\n"

    def enter_maintenance(self, endpoint_id: str) -> None:
        if endpoint_id == "fault":
            raise RuntimeError(endpoint_id)
        if endpoint_id != "a":
            raise UnknownEndpointError(endpoint_id)
        self.overridden_ids.append(endpoint_id)

    def exit_maintenance(self, endpoint_id: str) -> None:
        self.overridden_ids.remove(endpoint_id)


@pytest.mark.parametrize(
    ("data", "status"),
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
def test_each_call_is_answered_and_its_connection_closed(data: bytes, status: int) -> None:
    async def test() -> None:
        endpoint = admin_endpoint.AdminEndpoint(asyncio.get_running_loop(), RecordingOperations())
        address = await endpoint.listen(("127.0.0.1", 0))
        answer = await call(address, data)
        assert answer.startswith(b"HTTP/1.1 %d " % status)
        assert b"\r\nConnection: close\r\n" in answer
        endpoint.close()

    run(test)


def test_callers_that_never_finish_a_call_do_not_keep_others_out() -> None:
    async def test() -> None:
        endpoint = admin_endpoint.AdminEndpoint(asyncio.get_running_loop(), RecordingOperations())
        address = await endpoint.listen(("127.0.0.1", 0))
        unfinished = [
            await asyncio.open_connection(*address) for _ in range(3 * admin_endpoint.MAX_CONNECTIONS)
        ]
        for _, writer in unfinished:
            writer.write(b"PUT /maintenance/enter HTTP/1.1\r\n")
        assert (await call(address, get("/status"))).startswith(b"HTTP/1.1 200")
        assert endpoint.connection_count <= admin_endpoint.MAX_CONNECTIONS
        assert await asyncio.wait_for(unfinished[0][0].read(), LIMIT_S) == b""
        for _, writer in unfinished:
            writer.close()
        endpoint.close()

    run(test)


def test_maintenance_moves_requests_away_from_an_endpoint_and_back(tmp_path: Path) -> None:
    async def test() -> None:
        async def answer(_: list[bytes]) -> bytes:
            return HIT

        caches = [Cache(answer), Cache(answer)]
        for cache in caches:
            await cache.start()
        agent = DiscoveryServer([entry(f"s{i}", cache.port) for i, cache in enumerate(caches)])
        await agent.start()
        program = Program(config(tmp_path, agent.port))
        program.discovery.start()
        address = await program.clients.listen(("127.0.0.1", 0))
        admin_address = await program.admin_endpoint.listen(("127.0.0.1", 0))
        await asyncio.wait_for(agent.watched.wait(), LIMIT_S)
        request_count = 0

        async def ask(times: int) -> list[int]:
            nonlocal request_count
            before = [len(cache.seen) for cache in caches]
            reader, writer = await asyncio.open_connection(*address)
            for _ in range(times):
                request_count += 1
                writer.write(read(f"r{request_count}", f"key{request_count}"))
                assert await asyncio.wait_for(reader.readexactly(len(SERVED)), LIMIT_S) == SERVED
            writer.close()
            return [len(cache.seen) - n for cache, n in zip(caches, before, strict=True)]

        assert all(await ask(60))
        assert (await call(admin_address, put("/maintenance/enter", "s0"))).startswith(b"HTTP/1.1 200")
        assert await ask(60) == [0, 60]
        metrics = await call(admin_address, get("/status/metrics"))
        assert b"\nlb_discovered 2\n" in metrics
        assert b"\nlb_ejected 1\n" in metrics
        assert b'{service="read",disposition="succeeded"} 120\n' in metrics
        assert b"\nlb_forwards 120\n" in metrics
        assert (await call(admin_address, put("/maintenance/exit", "s0"))).startswith(b"HTTP/1.1 200")
        assert all(await ask(60))
        program.admin_endpoint.close()
        program.clients.close()
        program.dispatcher.close()
        program.discovery.close()
        program.pool.close()
        agent.stop()
        for cache in caches:
            cache.stop()

    run(test)


def test_clients_are_served_on_a_passed_socket_that_outlives_the_router(tmp_path: Path) -> None:
    async def test() -> None:
        listener = socket.create_server(("127.0.0.1", 0), backlog=16)
        agent = DiscoveryServer([])
        await agent.start()
        passed = os.dup(listener.fileno())
        without_socket = config(tmp_path, agent.port)
        environ = {"LB_CONFIG": str(tmp_path / "config.json"), "LB_PASSED_SOCKET": str(passed)}
        assert without_socket.passed_descriptor is None
        router_task = asyncio.create_task(Program(load_config(environ)).run())
        await asyncio.wait_for(agent.watched.wait(), LIMIT_S)
        reader, writer = await asyncio.open_connection(*listener.getsockname())
        writer.write(command(b"PING"))
        assert await asyncio.wait_for(reader.readline(), LIMIT_S) == b"+PONG\r\n"
        writer.close()
        os.kill(os.getpid(), signal.SIGTERM)
        await asyncio.wait_for(router_task, LIMIT_S)
        later_client = socket.create_connection(listener.getsockname(), LIMIT_S)  # the socket still listens
        later_client.close()
        listener.close()
        agent.stop()

    run(test)


def test_a_passed_descriptor_that_is_not_listening_ends_the_start(tmp_path: Path) -> None:
    async def test() -> None:
        sock, peer = socket.socketpair()
        config(tmp_path, 9)
        environ = {"LB_CONFIG": str(tmp_path / "config.json"), "LB_PASSED_SOCKET": str(os.dup(sock.fileno()))}
        with pytest.raises(OSError, match="is not a listening socket"):
            await Program(load_config(environ)).run()
        sock.close()
        peer.close()

    run(test)
