"""The router processes of a soak run: starts, series of signals, ends, and what they hold."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from bench.soak_clients import Address, RouterTarget, SoakRecords
from bench.soak_plan import Signals, SoakPlan
from holdgw.router.descriptor_limits import descriptor_limits

NS_PER_S = 1_000_000_000
DESCRIPTORS = 256
MEMORY_MB = 128
KILL_AFTER_DEADLINE_S = 0.7
"""SIGKILL comes this long after the longest deadline has passed since SIGTERM, at the earliest."""
FRONT_NOTICES_S = 0.3
"""Time after SIGTERM for which clients still open connections."""
SIGNAL_GAP_S = 0.15
"""Time between two signals of a series."""
RELOAD_S = 4.0
"""Time after SIGHUP from which what the new discovery address has to tell counts as told."""
LOGGED_LINES = 3
"""Lines of a router's log that a violation shows."""
READY_S = 10.0
KIB_PER_MIB = 1024
LOCAL_ADDRESS, REMOTE_ADDRESS, INODE = 1, 2, 9
"""Columns of /proc/net/tcp (proc(5))."""
UNCONNECTED = "00000000:0000"
ASK_TIMEOUT_S = 1.0
RELOAD_LINE = "reload: applied"
RELOAD_POLL_S = 0.01


@dataclass(frozen=True, slots=True)
class ProcessUse:
    """What a process holds."""

    descriptors: int
    resident_kib: int


def process_use(pid: int) -> ProcessUse:
    """Read a process's open descriptors and resident memory; raises OSError."""
    status = Path(f"/proc/{pid}/status").read_text()
    resident = next(line.split()[1] for line in status.splitlines() if line.startswith("VmRSS"))
    return ProcessUse(len(os.listdir(f"/proc/{pid}/fd")), int(resident))


def client_connections(pid: int, listen_port: int) -> int:
    """Count a process's connections at its listening port, by the kernel's table; raises OSError."""
    sockets = set()
    for descriptor in Path(f"/proc/{pid}/fd").iterdir():
        with suppress(OSError):
            sockets.add(os.readlink(descriptor))
    rows = [line.split() for line in Path(f"/proc/{pid}/net/tcp").read_text().splitlines()[1:]]
    return sum(
        int(row[LOCAL_ADDRESS].partition(":")[2], 16) == listen_port
        and row[REMOTE_ADDRESS] != UNCONNECTED
        and f"socket:[{row[INODE]}]" in sockets
        for row in rows
    )


def free_address() -> Address:
    """Return a loopback address that a process may bind soon, of an IP that only this process uses."""
    pid = os.getpid()
    ip = f"127.{130 + (pid >> 8) % 100}.{pid % 256}.7"
    with socket.socket() as listener:
        listener.bind((ip, 0))
        address: Address = listener.getsockname()
    return address


class SoakRouter:
    """One router through its restarts."""

    def __init__(
        self, number: int, plan: SoakPlan, folder: Path, discoveries: list[int], records: SoakRecords
    ) -> None:
        """`discoveries`: the ports of two discovery services, between which reloads move the watch."""
        self.listener = socket.create_server(free_address(), backlog=512)
        self.target = RouterTarget(f"n{number}", self.listener.getsockname())
        self.process: asyncio.subprocess.Process | None = None
        self.use_when_ready: ProcessUse | None = None
        self.slowest_ready_s = 0.0
        self._plan = plan
        self._signals = plan.signals[number]
        self._folder = folder / self.target.name
        self._folder.mkdir()
        self._config = self._folder / "config.json"
        self._discoveries = discoveries
        self._records = records
        self._starts = 0
        self._terminated: set[int] = set()
        self._admin_address: Address = ("", 0)
        if self._signals is not Signals.TAKEOVER:
            self.listener.close()

    @property
    def _log(self) -> Path:
        return self._folder / f"{self._starts}.log"

    def _write_config(self) -> None:
        give_up_ns = int(self._plan.deadline_s * NS_PER_S)
        classes: list[dict[str, Any]] = [
            {"name": name, "aimNs": give_up_ns // 2, "giveUpNs": give_up_ns, "semantics": semantics}
            for name, semantics in (("read", "retryable"), ("once", "fragile"))
        ]
        body = {
            "name": self.target.name,
            "listen": "{}:{}".format(*self.target.address),
            "discovery": f"127.0.0.1:{self._discoveries[0]}",
            "settings": {"classes": classes, "rules": {"drainGraceNs": NS_PER_S}, "balancers": 2},
            "limits": {"sockets": DESCRIPTORS, "memory_mb": MEMORY_MB},
        }
        replacement = self._config.with_suffix(".new")
        replacement.write_bytes(orjson.dumps(body))
        replacement.replace(self._config)

    async def start(self) -> None:
        """Start a process, and wait until it answers PING."""
        self._write_config()
        self._starts += 1
        passed = self.listener.fileno()
        environ = {**os.environ, "LB_CONFIG": str(self._config), "TMPDIR": str(self._folder)}
        self._admin_address = free_address()
        environ["LB_OPS"] = "{}:{}".format(*self._admin_address)
        if passed >= 0:
            environ["LB_PASSED_SOCKET"] = str(passed)
        with self._log.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                f"ulimit -n {DESCRIPTORS}; exec {sys.executable} -m holdgw.router",
                env=environ,
                stdout=log,
                stderr=log,
                pass_fds=[passed] if passed >= 0 else [],
            )
        await self._wait_until_ready()
        self.target.takes_new = True

    async def _wait_until_ready(self) -> None:
        assert self.process is not None
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        # With a passed socket the old process answers PING too: the new one answers at its admin endpoint.
        while not (await self._answers_ping() and await self._can_serve()):
            if self.process.returncode is not None or loop.time() - started_s > READY_S:
                self._violation(f"not ready within {READY_S:.0f} s (code {self.process.returncode})")
                return
            await asyncio.sleep(0.02)
        self.slowest_ready_s = max(self.slowest_ready_s, loop.time() - started_s)
        self.use_when_ready = process_use(self.process.pid)

    async def _can_serve(self) -> bool:
        answer = await self._ask(self._admin_address, b"GET /status HTTP/1.1\r\nHost: a\r\n\r\n")
        return answer.startswith(b"HTTP/1.1 2")

    async def _answers_ping(self) -> bool:
        return await self._ask(self.target.address, b"*1\r\n$4\r\nPING\r\n") == b"+PONG\r\n"

    async def _ask(self, address: Address, data: bytes) -> bytes:
        """Send `data` on a new connection; returns the first line of the answer, or nothing."""
        with suppress(OSError, EOFError, TimeoutError):
            async with asyncio.timeout(ASK_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*address)
                writer.write(data)
                answer = await reader.readline()
                writer.close()
                return answer
        return b""

    # Signals

    async def play_signals(self) -> None:
        """Send the series of the plan; afterwards a process serves again."""
        series = self._signals.value.split(",")
        await asyncio.sleep(self._plan.first_signal_s)
        while series:
            step = series.pop(0)
            if step == "start":
                await self._start_beside_or_after()
            elif step == "hup":
                await self._hang_up(series)
            else:
                await self._terminate_with(series)
        assert self.process is not None
        if self.process.returncode is not None or self.process.pid in self._terminated:
            await self.start()

    async def _start_beside_or_after(self) -> None:
        old = self.process
        await self.start()
        if self._signals is Signals.TAKEOVER:
            await asyncio.sleep(SIGNAL_GAP_S)
            new, self.process = self.process, old
            await self._end(repeat_term=False)
            self.process = new

    async def _hang_up(self, rest: list[str]) -> None:
        self._discoveries.reverse()
        self._write_config()
        self._send(signal.SIGHUP)
        if rest[:1] != ["hup"]:
            await self._wait_for_reload()

    async def _wait_for_reload(self) -> None:
        loop = asyncio.get_running_loop()
        give_up_s = loop.time() + RELOAD_S
        while RELOAD_LINE not in self._log.read_text():
            if loop.time() > give_up_s:
                self._violation(f"no reload within {RELOAD_S} s of SIGHUP")
                return
            await asyncio.sleep(RELOAD_POLL_S)

    async def _terminate_with(self, rest: list[str]) -> None:
        """Send SIGTERM, the signals that follow it, and SIGKILL at the earliest time."""
        if self._signals is Signals.TAKEOVER:
            return  # the old process was ended by its successor's start
        hangs_up = rest[:1] == ["hup"]
        if hangs_up:
            rest.pop(0)
        repeat_term = rest[:1] == ["term"]
        if repeat_term:
            rest.pop(0)
        await self._end(repeat_term, hangs_up)

    async def _end(self, repeat_term: bool, hangs_up: bool = False) -> None:
        process = self.process
        assert process is not None
        loop = asyncio.get_running_loop()
        kill_at_s = loop.time() + self._plan.deadline_s + KILL_AFTER_DEADLINE_S
        self._terminated.add(process.pid)
        self._send(signal.SIGTERM)
        is_takeover = self._signals is Signals.TAKEOVER
        if hangs_up:
            await asyncio.sleep(SIGNAL_GAP_S / 2)
            self._discoveries.reverse()
            self._write_config()
            self._send(signal.SIGHUP)
        if repeat_term:
            self._send(signal.SIGTERM)
        if not is_takeover:
            await asyncio.sleep(FRONT_NOTICES_S - SIGNAL_GAP_S / 2 * hangs_up)
            self.target.takes_new = False
        try:
            async with asyncio.timeout_at(kill_at_s):
                await process.wait()
        except TimeoutError:
            with suppress(ProcessLookupError):  # it may end as the time is over
                process.kill()
            await process.wait()
        if process.returncode == -signal.SIGKILL:
            self._records.counts["killed"] += 1
            return
        if process.returncode != 0:
            self._violation(f"exit code {process.returncode} after SIGTERM")
        if hangs_up and RELOAD_LINE not in self._log.read_text():
            self._violation("ended without the reload of the SIGHUP amid its drain")

    def _send(self, number: signal.Signals) -> None:
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(number)
        elif number is not signal.SIGHUP:
            self._violation(f"ended by itself, code {self.process.returncode}")

    # The end of the run

    def check_use(self, discovery_connections: int) -> None:
        """Check what the last process holds without clients: none of their connections, and its limits."""
        before = self.use_when_ready
        if before is None or self.process is None or self.process.returncode is not None:
            self._violation("no process at the end")
            return
        use = process_use(self.process.pid)
        most = before.descriptors + descriptor_limits(DESCRIPTORS).endpoints + discovery_connections
        if use.descriptors > most:
            self._violation(f"descriptors {before.descriptors} at the start, {use.descriptors} at the end")
        if clients := client_connections(self.process.pid, self.target.address[1]):
            self._violation(f"{clients} connections of clients that have closed them")
        if use.resident_kib > MEMORY_MB * KIB_PER_MIB:
            self._violation(f"resident memory {use.resident_kib} KiB at the end")

    async def finish(self) -> None:
        """End the router, and look for exceptions in its logs."""
        if self.process is not None and self.process.returncode is None:
            await self._end(repeat_term=False)
        for path in sorted(self._folder.glob("*.log")):
            if "Traceback" in path.read_text():
                self._violation(f"an exception in {path.name}")
        if self.listener.fileno() >= 0:
            self.listener.close()

    def _violation(self, text: str) -> None:
        lines = self._log.read_text().splitlines() if self._log.exists() else []
        last = "; last in its log: " + " / ".join(lines[-LOGGED_LINES:]) if lines else ""
        self._records.violations.append(f"router {self.target.name}: {text}{last}")
