"""Runs real routers as processes: starts them by the deploy file's `run` command, watches and ends them."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import os
import shutil
import signal
import socket
from collections.abc import Callable, Collection
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import Any

import msgspec
import orjson

from holdgw.emulators.listeners import Clock
from holdgw.harness.checker import ProcessLifetime
from holdgw.wire import http, resp
from holdgw.wire.address import Address, format_address

READY_S = 30.0
PING_INTERVAL_S = 0.02
PING_S = 1.0
MIN_CORES_TO_SPLIT = 4
MIN_RECORDED_WAIT_S = 0.004  # shorter waits for a core are normal scheduling
_PR_SET_PDEATHSIG = 1
_TICKS = os.sysconf("SC_CLK_TCK")
_PAGE = os.sysconf("SC_PAGE_SIZE")
_libc = ctypes.CDLL(None, use_errno=True)


def die_with_parent() -> None:
    """Have the kernel kill this process when its parent exits for any reason; for use as `preexec_fn`."""
    _libc.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)


def child_of_orchestrator(cores: Collection[int]) -> None:
    """Have this process end with the orchestrator and run on these cores; for use as `preexec_fn`."""
    die_with_parent()
    os.sched_setaffinity(0, cores)


def split_cores(cores: Collection[int]) -> tuple[set[int], set[int]]:
    """Split the cores; returns those of the emulator and those of the routers."""
    # When the endpoint list changes, all routers apply it at the same time. In production each has a machine
    # of its own; here, on shared cores, they would delay the emulator by 50 ms. Few cores have to be shared.
    ordered = sorted(cores)
    if len(ordered) < MIN_CORES_TO_SPLIT:
        return set(ordered), set(ordered)
    emulator_count = len(ordered) * 3 // 8
    return set(ordered[:emulator_count]), set(ordered[emulator_count:])


def cpu_seconds(pid: int) -> float:
    """Return the CPU time of a process so far; raises OSError if it has exited."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process now; raises OSError if it has exited."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * _PAGE


def core_wait_seconds(pid: int) -> float:
    """Return how many seconds a process has waited for a core so far; raises OSError if it has exited."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e9


def free_address(
    ip: str, kind: socket.SocketKind = socket.SOCK_STREAM, taken: Collection[Address] = ()
) -> Address:
    """Return an address that nobody listens on and that is not among `taken`.

    The caller has the IP address to itself.
    """
    # The kernel may pick a port again that was found free before and is reserved for another listener, which
    # has not bound it yet: in one of some hundred runs one of 200 routers failed to start. Hence `taken`.
    while True:
        with socket.socket(type=kind) as probe:
            probe.bind((ip, 0))
            address = ip, probe.getsockname()[1]
        if address not in taken:
            return address


async def read_first_line(address: Address, data: bytes) -> bytes:
    """Send `data` to a router and return the first line of its answer; empty if none came within PING_S."""
    writer = None
    try:
        async with asyncio.timeout(PING_S):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(data)
            return await reader.readline()
    except (OSError, TimeoutError):
        return b""
    finally:
        if writer is not None:
            writer.close()


async def answers_ping(address: Address) -> bool:
    """Whether a router answers PING with PONG, as it does once it has a list and accepts requests."""
    return (await read_first_line(address, resp.command(b"PING"))).startswith(b"+PONG")


async def call_admin_endpoint(address: Address, path: str, body: str) -> bool:
    """Send a PUT to a router's admin endpoint; returns whether it answered 200 in time."""
    call = http.request("PUT", path, format_address(address), body=body.encode())
    return (await read_first_line(address, call)).startswith(b"HTTP/1.1 200")


async def until_ready(address: Address, running: Callable[[], bool], clock: Clock) -> bool:
    """Wait until a router answers PING; False if it exited or did not answer within READY_S."""
    deadline = clock() + READY_S
    while running() and clock() < deadline:
        if await answers_ping(address):
            return True
        await asyncio.sleep(PING_INTERVAL_S)
    return False


class Usage(msgspec.Struct, array_like=True):
    """One sample of a router's processes: memory in bytes, descriptors, and CPU seconds since its start."""

    at: float
    memory: int
    descriptors: int
    cpu: float


class RouterProcess:
    """One router: its addresses and configuration, its process, and the lifetimes of all its processes."""

    def __init__(
        self,
        name: str,
        command: str,
        root: Path,
        folder: Path,
        address: Address,
        clock: Clock,
        cores: Collection[int],
    ) -> None:
        self.name, self.address, self.starts = name, address, 0
        self.ops = free_address(address[0], taken=[address])
        self.peer = free_address(address[0], socket.SOCK_DGRAM)
        """Address for datagrams of other routers, if peers are allowed."""
        self.lost = False
        """Whether its machine is lost: the process stays stopped and so sends nothing."""
        self.lives: list[ProcessLifetime] = []
        self.usage: list[Usage] = []
        self.starved: list[tuple[str, float, float, float]] = []
        """When it waited for a core, in the form of `History.starved`."""
        self._last_wait_sample = (0.0, 0.0)  # time of the last sample, and seconds waited until then
        self._command, self._root, self._clock = command, root, clock
        self._folder = folder / name
        self._config = self._folder / "config.json"
        self.log = folder / f"{name}.log"
        """Its standard output and error; kept by the harness when the router's machine is lost."""
        self._cores = cores
        self._process: asyncio.subprocess.Process | None = None
        self._watch: asyncio.Task[None] | None = None
        self._cpu_of_ended = 0.0  # CPU seconds of processes that have exited

    def configure(self, settings: dict[str, Any]) -> None:
        """Write its configuration file atomically."""
        self._folder.mkdir(exist_ok=True)
        new_config = self._config.with_suffix(".new")
        new_config.write_bytes(orjson.dumps(settings))
        new_config.replace(self._config)

    async def start(self, discovery: Address) -> None:
        """Start a process; returns as soon as the process exists."""
        if self.lost:  # a machine that boots resets the connections that peers still hold open to it
            await self.end()
            self.lost = False
        self.starts += 1
        temp_folder = self._folder / f"tmp-{self.starts}"
        temp_folder.mkdir()
        environment = {
            **os.environ,
            "LB_NAME": self.name,
            "LB_LISTEN": format_address(self.address),
            "LB_DISCOVERY": format_address(discovery),
            "LB_CONFIG": str(self._config),
            "TMPDIR": str(temp_folder),
        }
        with self.log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                self._command,
                cwd=self._root,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
                preexec_fn=partial(child_of_orchestrator, self._cores),
            )
        self.lives.append(ProcessLifetime(self.name, self._clock()))
        self._last_wait_sample = self._clock(), 0.0
        self._watch = asyncio.create_task(self._wait_for_exit(self._process, len(self.lives) - 1))

    def last_log_line(self) -> str:
        """The last line of its log; empty if there is none."""
        lines = self.log.read_text(errors="replace").strip().splitlines()
        return lines[-1] if lines else ""

    async def _wait_for_exit(self, process: asyncio.subprocess.Process, index: int) -> None:
        code = await process.wait()
        self._update_lifetime(index, exited=self._clock(), code=code)
        if self.usage:
            self._cpu_of_ended = self.usage[-1].cpu

    def _update_lifetime(self, index: int, **changes: Any) -> None:
        self.lives[index] = replace(self.lives[index], **changes)

    async def ready(self) -> bool:
        """Wait until it answers PING with PONG; False if it exited or did not answer in time."""
        assert self._process is not None
        if not await until_ready(self.address, lambda: self.running, self._clock):
            return False
        self._update_lifetime(-1, ready=self._clock())
        return True

    @property
    def running(self) -> bool:
        """Whether its process exists, running or stopped, on a machine that is not lost."""
        return self._process is not None and self._process.returncode is None and not self.lost

    @property
    def pid(self) -> int:
        """The process id of the program that `run` started, not that of the shell around it."""
        assert self._process is not None
        pid = self._process.pid
        with contextlib.suppress(OSError, IndexError, ValueError):
            if Path(f"/proc/{pid}/comm").read_text().strip() in ("sh", "dash", "bash"):
                return int(Path(f"/proc/{pid}/task/{pid}/children").read_text().split()[0])
        return pid

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal; after SIGTERM or SIGKILL the end of the process is expected."""
        if not self.running:
            return
        if number is signal.SIGKILL:
            wanted = self.lives[-1].wanted or "KILL"
            self._update_lifetime(-1, told_to_end=self._clock(), wanted=wanted)
            self._to_group(signal.SIGKILL)
            return
        if number in (signal.SIGSTOP, signal.SIGCONT):
            self._to_group(number)
            return
        if number is signal.SIGTERM:
            self._update_lifetime(-1, told_to_end=self._clock(), wanted="TERM")
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.pid, number)

    def lose_machine(self) -> None:
        """Lose its machine with everything on it.

        The connections of a lost machine stay open and silent until the machine starts again, and are reset
        then (PROTOCOL, "The network"). The process is therefore only stopped until the next start.
        """
        # After SIGKILL the kernel would reset all connections at once; a lost machine resets none.
        self._to_group(signal.SIGSTOP)
        self._update_lifetime(-1, told_to_end=self._clock(), wanted="KILL")
        self.lost = True
        shutil.rmtree(self._folder, ignore_errors=True)

    def _to_group(self, number: signal.Signals) -> None:
        assert self._process is not None
        with contextlib.suppress(ProcessLookupError):
            os.killpg(self._process.pid, number)

    async def ended(self, timeout: float) -> bool:
        """Wait for its exit at most `timeout` seconds; False if it still runs."""
        if self._watch is not None:
            await asyncio.wait((self._watch,), timeout=timeout)
        return not self.running

    async def end(self) -> None:
        """Kill its process and everything the process started."""
        if self._process is not None:
            self._to_group(signal.SIGKILL)
            if self._watch is not None:
                await self._watch

    def sample_core_waits(self) -> None:
        """Record how long its process has waited for a core since the last sample."""
        if not self.running:
            return
        try:
            now, waited = self._clock(), core_wait_seconds(self.pid)
        except (OSError, IndexError, ValueError):
            return  # the process is exiting
        last_at, last_waited = self._last_wait_sample
        self._last_wait_sample = now, waited
        if last_at and waited - last_waited > MIN_RECORDED_WAIT_S:
            self.starved.append((self.name, last_at, now, waited - last_waited))

    def sample(self) -> None:
        """Record the memory, descriptors and CPU time of its process and all descendants."""
        if not self.running:
            return
        memory = descriptors = 0
        cpu = self._cpu_of_ended
        try:
            for pid in _process_tree(self.pid):
                cpu += cpu_seconds(pid)
                memory += resident_bytes(pid)
                descriptors += len(os.listdir(f"/proc/{pid}/fd"))
        except (OSError, IndexError, ValueError):
            return  # the process is exiting
        self.usage.append(Usage(self._clock(), memory, descriptors, cpu))


def _process_tree(pid: int) -> list[int]:
    """Return a process and all its descendants."""
    pids = [pid]
    for parent in pids:
        with contextlib.suppress(OSError):
            pids += map(int, Path(f"/proc/{parent}/task/{parent}/children").read_text().split())
    return pids
