"""The router as the deploy file starts it, held to what the whole fleet's clock asks of a process."""

from __future__ import annotations

import asyncio
import contextlib
import os
import platform
import signal
import subprocess
import sys
from pathlib import Path

import orjson
import pytest

from holdgw import native
from holdgw.harness.deployment import run_command
from tests.emulated_nodes import (
    HIT,
    LIMIT_S,
    SERVED,
    Cache,
    DiscoveryServer,
    command,
    entry,
    read,
    run,
    unused_address,
)
from tests.helpers import S

ROOT = Path(__file__).resolve().parent.parent
RUN = run_command(ROOT / "deploy/balancer.toml")

# Sets a filter of system calls on itself and becomes what `run` says: new processes end it (clone that is no
# thread, fork, vfork), io_uring, splice and sendfile are not there, and clone3 is not either, as threads can
# do without. Numbers and records as in Linux' headers for x86-64.
LAUNCHER = """
import ctypes, os, struct, sys
LOAD, EQUAL, SET, RETURN = 0x20, 0x15, 0x45, 0x06
KILL, ALLOW, ABSENT = 0x80000000, 0x7FFF0000, 0x00050000 | 38
program = [(LOAD, 0, 0, 0)]
for call in (57, 58):
    program += [(EQUAL, 0, 1, call), (RETURN, 0, 0, KILL)]
for call in (425, 426, 427, 275, 40, 435):
    program += [(EQUAL, 0, 1, call), (RETURN, 0, 0, ABSENT)]
program += [(EQUAL, 0, 3, 56), (LOAD, 0, 0, 16), (SET, 1, 0, 0x10000), (RETURN, 0, 0, KILL)]
program += [(RETURN, 0, 0, ALLOW)]
code = ctypes.create_string_buffer(b"".join(struct.pack("HBBI", *line) for line in program))
filter = ctypes.create_string_buffer(struct.pack("HxxxxxxP", len(program), ctypes.addressof(code)))
libc = ctypes.CDLL(None, use_errno=True)
assert libc.prctl(38, 1, 0, 0, 0) == 0, ctypes.get_errno()
assert libc.prctl(22, 2, filter, 0, 0) == 0, ctypes.get_errno()
os.execv("/bin/sh", ["/bin/sh", "-c", sys.argv[1]])
"""


class Started:
    """A router with one cache server and discovery, started as the platform starts it."""

    def __init__(self, folder: Path, root: Path = ROOT, command: str = RUN) -> None:
        self.folder, self.root, self.command = folder, root, command

    async def begin(self, filtered: bool = True) -> None:
        async def answer(_: list[bytes]) -> bytes:
            return HIT

        self.cache = Cache(answer)
        await self.cache.start()
        self.agent = DiscoveryServer([entry("s0", self.cache.port)])
        await self.agent.start()
        self.address = unused_address()
        classes = [{"name": "read", "aimNs": S, "giveUpNs": 5 * S, "semantics": "retryable"}]
        config = {
            "name": "n1",
            "listen": "{}:{}".format(*self.address),
            "discovery": f"127.0.0.1:{self.agent.port}",
            "limits": {"sockets": 256, "memory_mb": 96},
            "settings": {"classes": classes},
        }
        (self.folder / "config.json").write_bytes(orjson.dumps(config))
        launcher = [sys.executable, "-c", LAUNCHER] if filtered else ["/bin/sh", "-c"]
        self.process = await asyncio.create_subprocess_exec(
            *(*launcher, self.command),
            env={"PATH": os.environ["PATH"], "LB_CONFIG": str(self.folder / "config.json")},
            cwd=self.root,
            stderr=subprocess.PIPE,
            start_new_session=True,
        )

    async def serves(self) -> None:
        """Have one read served."""
        async with asyncio.timeout(LIMIT_S):
            while True:
                with contextlib.suppress(OSError):
                    reader, writer = await asyncio.open_connection(*self.address)
                    break
                assert self.process.returncode is None, "the router ended"
                await asyncio.sleep(0.02)
            answer = b""
            while answer != b"+PONG\r\n":  # a router is asked once it says so
                writer.write(command(b"PING"))
                answer = await reader.readline()
            writer.write(read("r1", "k", 4000))
            assert await reader.readexactly(len(SERVED)) == SERVED
            writer.close()

    async def ended(self) -> str:
        """End it by SIGTERM; returns what it logged."""
        self.process.send_signal(signal.SIGTERM)
        _, told = await asyncio.wait_for(self.process.communicate(), LIMIT_S)
        assert self.process.returncode == 0
        return told.decode()

    def stop(self) -> None:
        if self.process.returncode is None:
            os.killpg(self.process.pid, signal.SIGKILL)
        self.agent.stop()
        self.cache.stop()


def inodes(pid: int, table: str) -> dict[str, list[str]]:
    """The sockets of a table of the kernel, by inode."""
    column = {"unix": 6}.get(table, 9)
    rows = [line.split() for line in Path(f"/proc/{pid}/net/{table}").read_text().splitlines()[1:]]
    return {row[column]: row for row in rows}


def broken_terms(pid: int) -> list[str]:
    """Which terms it breaks: one process with threads only, linked dynamically, allowed kinds of sockets."""
    found = []
    for task in Path(f"/proc/{pid}/task").iterdir():
        found += [f"child {child}" for child in (task / "children").read_text().split()]
    if not any(name in Path(f"/proc/{pid}/maps").read_text() for name in ("/libc.so.6", "/libc-")):
        found.append("no C library")
    ours = [os.readlink(path) for path in Path(f"/proc/{pid}/fd").iterdir()]
    held = [name[8:-1] for name in ours if name.startswith("socket:")]
    known = inodes(pid, "tcp") | inodes(pid, "udp")
    own = {inode for inode, row in inodes(pid, "unix").items() if len(row) == 7}  # without a name: wake-ups
    found += [f"a socket of another kind {inode}" for inode in held if inode not in known.keys() | own]
    return found + [f"holds {name}" for name in ours if "io_uring" in name]


def tasks_at_work(pid: int) -> list[str]:
    """The threads that don't wait."""
    told = [path.read_text() for path in Path(f"/proc/{pid}/task").glob("*/stat")]
    return [text for text in told if text.rpartition(")")[2].split()[0] != "S"]


@pytest.fixture(scope="module")
def built() -> None:
    native.build(ROOT)


@pytest.mark.usefixtures("built")
@pytest.mark.xdist_group("compiled")  # the copy is made once, by whoever comes first
@pytest.mark.skipif(platform.machine() != "x86_64", reason="the filter's numbers are those of x86-64")
def test_run_is_one_compiled_process_that_needs_nothing_the_fleets_clock_refuses(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        router = Started(tmp_path)
        await router.begin()
        try:
            await router.serves()
            assert broken_terms(router.process.pid) == []
            async with asyncio.timeout(LIMIT_S):
                while tasks_at_work(router.process.pid):  # one that spins never rests
                    await asyncio.sleep(0.01)
            assert f"compiled: {len(native.MODULES)} of " in await router.ended()
        finally:
            router.stop()

    run(test)


@pytest.mark.usefixtures("built")
@pytest.mark.xdist_group("compiled")  # a router that starts while an old copy is being replaced can't import
def test_a_run_that_is_not_the_process_itself_is_seen(tmp_path: Path) -> None:
    async def test() -> None:
        router = Started(tmp_path, command=RUN.replace("exec ", "") + "; true")
        await router.begin(filtered=False)
        try:
            await router.serves()
            assert [text for text in broken_terms(router.process.pid) if text.startswith("child")]
        finally:
            router.stop()

    run(test)


def test_a_router_without_a_compiled_copy_says_so(tmp_path: Path) -> None:
    async def test() -> None:
        for name in ("holdgw", ".venv"):
            (tmp_path / name).symlink_to(ROOT / name)
        router = Started(tmp_path, root=tmp_path)
        await router.begin(filtered=False)
        try:
            await router.serves()
            told = await router.ended()
            assert "uncompiled: all " in told
            # And what these few settings leave off.
            assert "settings: off are origin (" in told
            assert "load_reports (reports tell nothing" in told
        finally:
            router.stop()

    run(test)
