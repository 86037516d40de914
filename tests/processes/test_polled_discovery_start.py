"""Routers that start without a cached endpoint list where discovery is polled, as real processes."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import sys
from collections.abc import AsyncIterator
from pathlib import Path

import orjson
import pytest

from tests.emulated_nodes import (
    HIT,
    LIMIT_S,
    SERVED,
    Cache,
    DiscoveryServer,
    entry,
    read,
    run,
    unused_address,
)
from tests.helpers import S
from tests.operation.admin_calls import until_serving

ROOT = Path(__file__).resolve().parents[2]
ONE_PROCESS = ("holdgw.router",)
TWO_CORES = ("holdgw", "run", "--cores", "2")


class PolledDiscovery(DiscoveryServer):
    """Discovery whose list is of generation 0 and never changes, so that no watch from 0 gets an answer."""

    def __init__(self, is_down: bool) -> None:
        super().__init__([])
        self.generation = 0
        self.is_down = is_down
        self.refused = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.is_down:
            await reader.readuntil(b"\r\n\r\n")
            self.refused.set()
            return
        await super().serve(reader, writer)


class Deployment:
    """One cache server, discovery, and the configuration of a router that has no cached endpoint list."""

    def __init__(self, folder: Path, discovery_is_down: bool = False) -> None:
        self.folder = folder
        self.cache = Cache(self._answer)
        self.discovery = PolledDiscovery(discovery_is_down)
        self.address = unused_address()
        self.processes: list[asyncio.subprocess.Process] = []

    async def _answer(self, _: list[bytes]) -> bytes:
        return HIT

    async def start(self) -> None:
        await self.cache.start()
        self.discovery.instances = [entry("s0", self.cache.port)]
        await self.discovery.start()
        classes = [{"name": "read", "aimNs": S, "giveUpNs": 5 * S, "semantics": "retryable"}]
        body = {
            "name": "n1",
            "listen": "{}:{}".format(*self.address),
            "discovery": f"127.0.0.1:{self.discovery.port}",
            "limits": {"sockets": 512, "memory_mb": 512},
            "settings": {"classes": classes, "membershipMode": "subscribe"},
        }
        (self.folder / "config.json").write_bytes(orjson.dumps(body))

    async def start_process(
        self, module: tuple[str, ...], listener: socket.socket | None = None
    ) -> tuple[asyncio.subprocess.Process, tuple[str, int]]:
        """Start a router; returns its process and the address of its admin endpoint."""
        admin_address = unused_address()
        environ = {
            **os.environ,
            "LB_CONFIG": str(self.folder / "config.json"),
            "LB_OPS": "{}:{}".format(*admin_address),
            "PYTHONPATH": str(ROOT),
            "TMPDIR": str(self.folder),
        }
        passed: list[int] = []
        if listener is not None:
            passed = [listener.fileno()]
            environ["LB_PASSED_SOCKET"] = str(listener.fileno())
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", *module), env=environ, cwd=ROOT, pass_fds=passed
        )
        self.processes.append(process)
        return process, admin_address

    async def stop(self) -> None:
        for process in self.processes:
            if process.returncode is None:
                process.send_signal(signal.SIGTERM)
            await asyncio.wait_for(process.wait(), LIMIT_S)
        self.cache.stop()
        self.discovery.stop()


@contextlib.asynccontextmanager
async def deployed(folder: Path, discovery_is_down: bool = False) -> AsyncIterator[Deployment]:
    deployment = Deployment(folder, discovery_is_down)
    await deployment.start()
    try:
        yield deployment
    finally:
        await deployment.stop()


async def expect_service(address: tuple[str, int]) -> None:
    reader, writer = await asyncio.open_connection(*address)
    writer.write(read("r1", "k1", 4000))
    assert await asyncio.wait_for(reader.readexactly(len(SERVED)), LIMIT_S) == SERVED
    writer.close()


@pytest.mark.parametrize("module", [ONE_PROCESS, TWO_CORES], ids=["one-process", "two-cores"])
def test_a_router_without_a_cached_list_asks_polled_discovery_for_the_whole_list(
    tmp_path: Path, module: tuple[str, ...]
) -> None:
    # Guards against a router that never polls, or polls for changes to a list that it does not have.
    async def test() -> None:
        async with deployed(tmp_path) as deployment:
            process, admin_address = await deployment.start_process(module)
            await asyncio.wait_for(until_serving(admin_address, process), LIMIT_S)
            await expect_service(deployment.address)

    run(test)


@pytest.mark.parametrize("module", [ONE_PROCESS, TWO_CORES], ids=["one-process", "two-cores"])
def test_a_router_without_a_cached_list_polls_again_after_discovery_was_down_at_its_start(
    tmp_path: Path, module: tuple[str, ...]
) -> None:
    # Guards against a router that stays without a list when its first call fails.
    async def test() -> None:
        async with deployed(tmp_path, discovery_is_down=True) as deployment:
            process, admin_address = await deployment.start_process(module)
            await asyncio.wait_for(deployment.discovery.refused.wait(), LIMIT_S)
            deployment.discovery.is_down = False
            await asyncio.wait_for(until_serving(admin_address, process), LIMIT_S)
            await expect_service(deployment.address)

    run(test)


def test_a_new_process_without_a_cached_list_polls_discovery_during_a_takeover(tmp_path: Path) -> None:
    # Guards against a new process that never becomes ready, so that the old one can't be replaced.
    async def test() -> None:
        with socket.create_server(("127.0.0.1", 0), backlog=64) as listener:
            async with deployed(tmp_path) as deployment:
                old, old_admin = await deployment.start_process(ONE_PROCESS, listener)
                await asyncio.wait_for(until_serving(old_admin, old), LIMIT_S)
                new, new_admin = await deployment.start_process(ONE_PROCESS, listener)
                await asyncio.wait_for(until_serving(new_admin, new), LIMIT_S)
                old.send_signal(signal.SIGTERM)
                assert await asyncio.wait_for(old.wait(), LIMIT_S) == 0
                await expect_service(listener.getsockname())

    run(test)
