"""A router's memory stays within its limit whatever its clients send at once, as a real process."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Iterator
from pathlib import Path

import orjson
import pytest

from tests.emulated_nodes import HIT, LIMIT_S, Cache, SilentServer, command, entry, run, unused_address
from tests.helpers import S
from tests.operation.admin_calls import until_serving

ROOT = Path(__file__).resolve().parents[2]
MEMORY_MB = 64
SOCKETS = 1100
"""Enough for 480 clients."""
VALUE = bytes(64 << 10)
LONG_LIST = b"c=put,t=a,d=1500,k=1,x=" + b"x" * 4000
READ_INTERVAL_S = 0.01
WAVES = 3
"""Of requests, so that the memory of those that ended counts if it is not freed."""


class Deployment:
    """One router as a process, one cache server, and an origin that holds all writes open."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.cache, self.origin = Cache(self._answer), SilentServer()
        self.address = unused_address()

    async def _answer(self, _: list[bytes]) -> bytes:
        return HIT

    async def start(self) -> None:
        await self.cache.start()
        await self.origin.start()
        body = {
            "name": "n1",
            "listen": "{}:{}".format(*self.address),
            "discovery": "{}:{}".format(*unused_address()),
            "limits": {"sockets": SOCKETS, "memory_mb": MEMORY_MB},
            "known": {
                "generation": 1,
                "reset": True,
                "instances": [entry("s0", self.cache.port), entry("o", self.origin.port, "origin")],
            },
            "settings": {
                "classes": [
                    {"name": "read", "aimNs": S, "giveUpNs": 2 * S, "semantics": "retryable"},
                    {"name": "put", "aimNs": S, "giveUpNs": 2 * S, "semantics": "dedup", "dedupWindowNs": S},
                ],
                "familyInfo": {"mode": "aside", "originKind": 1},
                "kinds": ["std", "origin"],
            },
        }
        (self.folder / "config.json").write_bytes(orjson.dumps(body))
        admin_address = unused_address()
        environ = {
            **os.environ,
            "LB_CONFIG": str(self.folder / "config.json"),
            "LB_OPS": "{}:{}".format(*admin_address),
            "PYTHONPATH": str(ROOT),
            "TMPDIR": str(self.folder),
        }
        with (self.folder / "router.log").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "holdgw.router", env=environ, cwd=ROOT, stdout=log, stderr=log
            )
        await until_serving(admin_address, self.process)

    async def peak_mb(self) -> float:
        """Read the resident memory until cancelled; returns its maximum."""
        peak = 0.0
        try:
            while self.process.returncode is None:
                pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
                peak = max(peak, pages * os.sysconf("SC_PAGE_SIZE") / (1 << 20))
                await asyncio.sleep(READ_INTERVAL_S)
        except asyncio.CancelledError:
            pass
        return peak

    async def stop(self) -> None:
        self.process.send_signal(signal.SIGKILL)
        await asyncio.wait_for(self.process.wait(), LIMIT_S)
        self.cache.stop()
        self.origin.stop()


def publishes(client: int, count: int) -> Iterator[bytes]:
    """Yield valid writes of the longest value."""
    for number in range(count):
        name = b"%d-%d" % (client, number)
        yield command(b"KV.SET", b"key-" + name, name, b"c=put,t=a,d=1500,k=" + name, VALUE)


def long_lists(client: int, count: int) -> Iterator[bytes]:
    """Yield valid writes of a short value with the longest list of fields."""
    for number in range(count):
        name = b"%d-%d" % (client, number)
        yield command(b"KV.SET", b"key-" + name, name, LONG_LIST, b"v")


def half_publishes(client: int, count: int) -> Iterator[bytes]:
    """Yield one write whose end never comes."""
    yield next(publishes(client, 1))[:-1000]


SHAPES = {"publishes": publishes, "long_lists": long_lists, "half_publishes": half_publishes}


async def send_and_read(address: tuple[str, int], data: bytes, answers: int) -> int:
    """Send everything at once, and read the answers; returns how many came."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(data)
    count = 0
    try:
        async with asyncio.timeout(LIMIT_S):
            while count < answers and await reader.readuntil(b"\r\n"):
                count += 1
    except (asyncio.IncompleteReadError, OSError):
        pass
    if not answers:
        await writer.drain()
        await asyncio.sleep(1.0)
    writer.close()
    return count


@pytest.mark.processes
@pytest.mark.parametrize(
    ("shape", "clients", "commands"),
    [("publishes", 10, 200), ("publishes", 480, 8), ("long_lists", 480, 60), ("half_publishes", 480, 0)],
)
def test_clients_that_send_much_at_once_keep_a_router_within_its_memory(
    tmp_path: Path, shape: str, clients: int, commands: int
) -> None:
    # Guards against a router being killed over its memory limit by what a few or many clients send at once.
    async def test() -> None:
        deployment = Deployment(tmp_path)
        await deployment.start()
        try:
            watching = asyncio.create_task(deployment.peak_mb())
            counts = [
                await asyncio.gather(
                    *(
                        send_and_read(deployment.address, b"".join(SHAPES[shape](client, commands)), commands)
                        for client in range(wave * clients, (wave + 1) * clients)
                    )
                )
                for wave in range(WAVES)
            ]
            watching.cancel()
            peak_mb = await watching
            assert peak_mb < MEMORY_MB
            assert deployment.process.returncode is None
            assert counts == [[commands] * clients] * WAVES
        finally:
            await deployment.stop()

    run(test)
