"""The aggregator process: its configuration, its admin endpoint and its shutdown."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
from pathlib import Path
from typing import Any

import orjson
import pytest

from holdgw.peers.update_budget import UPDATE_BYTES_PER_S
from holdgw.router.aggregator_program import aggregator_config
from holdgw.router.config import Config, ConfigError, load_config
from tests.emulated_nodes import LIMIT_S, run, unused_address

PEERS = [f"127.0.0.1:{port}" for port in (7001, 7002, 7003)]
CLASSES = [{"name": "read", "aimNs": 300_000_000, "giveUpNs": 1_000_000_000, "semantics": "retryable"}]


def config(tmp_path: Path, allowed: bool = True, me: int = 2, **more: Any) -> Config:
    document = {
        "name": "m1",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:9",
        "peer_listen": PEERS[me],
        "peers": PEERS,
        "settings": {"classes": CLASSES, "me": me, "ceilings": {"peers": allowed}},
    }
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps({**document, **more}))
    return load_config({"LB_CONFIG": str(path)})


def test_aggregators_are_found_among_the_peers_by_address_and_none_without_the_key(tmp_path: Path) -> None:
    peer_config = config(tmp_path, peer_aggregators=[PEERS[2], PEERS[0], PEERS[2]]).peers
    assert peer_config is not None
    assert peer_config.aggregators == (0, 2)
    assert aggregator_config(config(tmp_path, peer_aggregators=PEERS[1:])).number == 2
    without_key = config(tmp_path).peers
    assert without_key is not None
    assert without_key.aggregators == ()


def test_an_aggregator_that_is_no_peer_or_not_allowed_is_a_configuration_error(tmp_path: Path) -> None:
    with pytest.raises(ConfigError, match=r"peer_aggregators: 127\.0\.0\.1:9 is none of the 3 peers"):
        config(tmp_path, peer_aggregators=["127.0.0.1:9"])
    with pytest.raises(ConfigError, match="peer_aggregators"):
        aggregator_config(config(tmp_path, peer_aggregators=PEERS[:2]))
    assert config(tmp_path, allowed=False, peer_aggregators=PEERS[1:]).peers is None
    with pytest.raises(ConfigError, match="allow no peers"):
        aggregator_config(config(tmp_path, allowed=False, peer_aggregators=PEERS[1:]))


def test_the_update_budget_has_a_default_and_a_value_too_low_is_an_error(tmp_path: Path) -> None:
    default, configured = config(tmp_path).peers, config(tmp_path, peer_update_bytes=250).peers
    assert default is not None
    assert default.update_bytes_per_s == UPDATE_BYTES_PER_S
    assert configured is not None
    assert configured.update_bytes_per_s == 250.0
    for invalid in (199, -400, True, "400"):
        with pytest.raises(ConfigError, match="peer_update_bytes: expected a number of at least 200"):
            config(tmp_path, peer_update_bytes=invalid)


async def status(address: tuple[str, int], path: str) -> bytes:
    """Return the admin endpoint's answer; empty while the endpoint does not listen."""
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return b""
    writer.write(f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
    answer = await reader.read()
    writer.close()
    return answer


def test_the_aggregator_process_answers_its_admin_endpoint_until_sigterm_and_exits_with_0(
    tmp_path: Path,
) -> None:
    async def steps() -> None:
        ops, listen = unused_address(), unused_address(socket.SOCK_DGRAM)
        peers = [*PEERS[:2], "{}:{}".format(*listen)]
        more: dict[str, Any] = {"peers": peers, "peer_listen": peers[2], "peer_aggregators": peers[2:]}
        config(tmp_path, ops="{}:{}".format(*ops), **more)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "holdgw.router.aggregator_program",
            env={**os.environ, "LB_CONFIG": str(tmp_path / "config.json")},
            stderr=asyncio.subprocess.DEVNULL,
        )
        try:
            async with asyncio.timeout(LIMIT_S):
                while not (await status(ops, "/status")).startswith(b"HTTP/1.1 200"):
                    assert process.returncode is None
                    await asyncio.sleep(0.02)
                text = await status(ops, "/status/metrics")
                assert b'lb_view{of="merged_reporters"} 0' in text
                assert b'lb_peers{state="alive"} 3' in text
                process.send_signal(signal.SIGHUP)
                process.terminate()
                assert await process.wait() == 0
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()

    run(steps)
