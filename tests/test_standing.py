"""The router as the deploy file starts it: one process, which the standing test allows few system calls."""

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

# Installs a system call filter on itself and executes `run`. Creating a process (fork, vfork, clone without
# CLONE_THREAD) kills it; io_uring, splice and sendfile fail with ENOSYS, and so does clone3, which threads do
# not need. System call numbers and structures are those of the Linux headers for x86-64.
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


class RouterProcess:
    """A router process with one cache server and discovery, started the way the platform starts it."""

    def __init__(self, folder: Path, root: Path = ROOT, command: str = RUN) -> None:
        self.folder, self.root, self.command = folder, root, command

    async def start(self, filtered: bool = True) -> None:
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

    async def serve_one_read(self) -> None:
        """Wait until the router is ready, and have one read served."""
        async with asyncio.timeout(LIMIT_S):
            while True:
                with contextlib.suppress(OSError):
                    reader, writer = await asyncio.open_connection(*self.address)
                    break
                assert self.process.returncode is None, "the router ended"
                await asyncio.sleep(0.02)
            answer = b""
            while answer != b"+PONG\r\n":  # the router answers PING once it is ready
                writer.write(command(b"PING"))
                answer = await reader.readline()
            writer.write(read("r1", "k", 4000))
            assert await reader.readexactly(len(SERVED)) == SERVED
            writer.close()

    async def terminate(self) -> str:
        """End the router by SIGTERM and return its log."""
        self.process.send_signal(signal.SIGTERM)
        _, log = await asyncio.wait_for(self.process.communicate(), LIMIT_S)
        assert self.process.returncode == 0
        return log.decode()

    def stop(self) -> None:
        if self.process.returncode is None:
            os.killpg(self.process.pid, signal.SIGKILL)
        self.agent.stop()
        self.cache.stop()


def sockets_by_inode(pid: int, table: str) -> dict[str, list[str]]:
    """Return the rows of one of the kernel's socket tables by inode."""
    column = {"unix": 6}.get(table, 9)
    rows = [line.split() for line in Path(f"/proc/{pid}/net/{table}").read_text().splitlines()[1:]]
    return {row[column]: row for row in rows}


def violations(pid: int) -> list[str]:
    """Return broken restrictions: no child process, a dynamic C library, only allowed kinds of sockets."""
    broken = []
    for task in Path(f"/proc/{pid}/task").iterdir():
        broken += [f"child {child}" for child in (task / "children").read_text().split()]
    if not any(name in Path(f"/proc/{pid}/maps").read_text() for name in ("/libc.so.6", "/libc-")):
        broken.append("no C library")
    descriptor_targets = [os.readlink(path) for path in Path(f"/proc/{pid}/fd").iterdir()]
    own_sockets = [name[8:-1] for name in descriptor_targets if name.startswith("socket:")]
    inet_sockets = sockets_by_inode(pid, "tcp") | sockets_by_inode(pid, "udp")
    # Unix sockets without a name are allowed: they serve as wake-ups.
    unnamed_unix_sockets = {inode for inode, row in sockets_by_inode(pid, "unix").items() if len(row) == 7}
    broken += [
        f"socket of a forbidden kind {inode}"
        for inode in own_sockets
        if inode not in inet_sockets.keys() | unnamed_unix_sockets
    ]
    return broken + [f"holds {name}" for name in descriptor_targets if "io_uring" in name]


def running_threads(pid: int) -> list[str]:
    """Return the status lines of threads that are not sleeping."""
    stat_lines = [path.read_text() for path in Path(f"/proc/{pid}/task").glob("*/stat")]
    return [line for line in stat_lines if line.rpartition(")")[2].split()[0] != "S"]


@pytest.fixture(scope="module")
def built() -> None:
    native.build(ROOT)


@pytest.mark.usefixtures("built")
@pytest.mark.xdist_group("compiled")  # the copy is built once, by the first test that needs it
@pytest.mark.skipif(
    platform.machine() != "x86_64", reason="the filter's system call numbers are those of x86-64"
)
def test_run_is_one_compiled_process_without_forbidden_system_calls(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        router = RouterProcess(tmp_path)
        await router.start()
        try:
            await router.serve_one_read()
            assert violations(router.process.pid) == []
            async with asyncio.timeout(LIMIT_S):
                while running_threads(router.process.pid):  # a thread in a busy loop never sleeps
                    await asyncio.sleep(0.01)
            assert f"compiled: {len(native.MODULES)} of " in await router.terminate()
        finally:
            router.stop()

    run(test)


@pytest.mark.usefixtures("built")
@pytest.mark.xdist_group("compiled")  # a router that starts while the copy is being replaced can't import it
def test_a_run_command_that_forks_the_router_is_detected(tmp_path: Path) -> None:
    async def test() -> None:
        router = RouterProcess(tmp_path, command=RUN.replace("exec ", "") + "; true")
        await router.start(filtered=False)
        try:
            await router.serve_one_read()
            assert [text for text in violations(router.process.pid) if text.startswith("child")]
        finally:
            router.stop()

    run(test)


def test_a_router_without_a_compiled_copy_logs_it(tmp_path: Path) -> None:
    async def test() -> None:
        for name in ("holdgw", ".venv"):
            (tmp_path / name).symlink_to(ROOT / name)
        router = RouterProcess(tmp_path, root=tmp_path)
        await router.start(filtered=False)
        try:
            await router.serve_one_read()
            log = await router.terminate()
            assert "uncompiled: all " in log
            # The router also logs which functions this minimal configuration leaves off.
            assert "settings: off are origin (" in log
            assert "load_reports (load reports state nothing" in log
        finally:
            router.stop()

    run(test)
