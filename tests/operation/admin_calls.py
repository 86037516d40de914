"""Calls of an admin endpoint, and the configuration of a router for tests of its operation."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path
from typing import Any

import orjson

from holdgw.router.config import Config, load_config
from holdgw.wire import http
from tests.emulated_nodes import LIMIT_S
from tests.helpers import S


def config(tmp_path: Path, discovery: int, **changes: Any) -> Config:
    path = tmp_path / "config.json"
    classes = [
        {"name": "read", "aimNs": 300_000_000, "giveUpNs": S, "semantics": "retryable"},
        {"name": "edit", "aimNs": S, "giveUpNs": S, "semantics": "dedup", "dedupWindowNs": 2 * S},
    ]
    body = {
        "name": "n1",
        "listen": "127.0.0.1:1",
        "discovery": f"127.0.0.1:{discovery}",
        "settings": {"classes": classes},
    }
    path.write_bytes(orjson.dumps({**body, **changes}))
    return load_config({"LB_CONFIG": str(path)})


async def until_serving(address: tuple[str, int], process: asyncio.subprocess.Process) -> None:
    """Wait until the admin endpoint of a process says that it can serve."""
    while True:
        with contextlib.suppress(OSError):
            if (await call(address, get("/status"))).startswith(b"HTTP/1.1 200"):
                return
        assert process.returncode is None
        await asyncio.sleep(0.02)


async def call(address: tuple[str, int], data: bytes) -> bytes:
    reader, writer = await asyncio.open_connection(*address)
    writer.write(data)
    response = await asyncio.wait_for(reader.read(), LIMIT_S)
    writer.close()
    return response


def put(path: str, body: str) -> bytes:
    return http.request("PUT", path, "x", body=body.encode())


def get(path: str) -> bytes:
    return http.request("GET", path, "x")
