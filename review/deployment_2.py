"""A small deployment for the cases of the second review: the stand-ins, and a router by the deploy file.

It runs on loopback addresses and free ports, with its files in a temporary folder, and ends every process
that it started.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

from standins_2 import HOST, command

ROOT = Path(__file__).resolve().parent.parent
STANDINS = Path(__file__).resolve().parent / "standins_2.py"
NS_PER_MS = 1_000_000
READY_S = 30.0
HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit codes of a case."""
LATEST_ANSWER_S = 0.5
"""Up to so long after its time an answer only earns nothing; later, or never, the request is lost."""


class CaseNotRunError(Exception):
    """The case could not run."""


def trouble_wanted() -> bool:
    """Whether the disruption takes place."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    """A port of the loopback address that nobody listens on."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


class Record:
    """The case's record: what was sent, answered and run, a line each."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self.started = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line with the time since the start of the case."""
        if not self._file.closed:
            self._file.write(f"{time.monotonic() - self.started:9.4f} {text}\n")

    def append_file(self, title: str, path: Path) -> None:
        """Append a process's output, line by line."""
        self._file.write(f"--- {title}\n")
        for line in path.read_text(errors="replace").splitlines():
            stamp, _, rest = line.partition(" ")
            try:
                self._file.write(f"{float(stamp) - self.started:9.4f} {rest}\n")
            except ValueError:
                self._file.write(f"{line}\n")

    def close(self) -> None:
        """Write everything out."""
        self._file.close()


def settings(deadline_ms: int) -> dict[str, Any]:
    """The settings of a small deployment: those of WIRE's example, with one deadline for all classes."""

    def request_class(name: str, semantics: str, window_ms: int, worth: float) -> dict[str, Any]:
        return {
            "name": name,
            "semantics": semantics,
            "aimNs": 300 * NS_PER_MS,
            "giveUpNs": deadline_ms * NS_PER_MS,
            "dedupWindowNs": window_ms * NS_PER_MS,
            "group": "all",
            "lateValue": 0.25,
            "streamed": False,
            "worth": worth,
        }

    return {
        "balancers": 1,
        "me": 0,
        "ceilings": {
            "cancel": True,
            "dialTimeoutNs": 120 * NS_PER_MS,
            "idleCloseNs": 10_000 * NS_PER_MS,
            "maxOpen": 20_000,
            "maxRetryAfterNs": 1200 * NS_PER_MS,
            "mayProbe": True,
            "mostTries": 4,
            "peers": False,
            "retryAfter": False,
            "secondCopies": True,
            "streamsPerConn": 32,
        },
        "classes": [
            request_class("fetch", "retryable", 5000, 3.0),
            request_class("publish", "dedup", 2500, 8.0),
        ],
        "tenants": [{"name": "public", "portion": 1.0, "quotaPerS": 113.0}],
        "failureDomains": ["lozenets"],
        "zone": "lozenets",
        "familyInfo": {"mode": "aside", "originKind": 1},
        "feedback": {"fields": ["latency_ms", "queue"], "how": "answers"},
        "kinds": ["std-1c", "origin"],
        "membershipMode": "automatic",
        "weightKind": "none",
        "rules": {
            "askWithinNs": 10_000 * NS_PER_MS,
            "coldNs": 8900 * NS_PER_MS,
            "coldShare": 0.32,
            "drainGraceNs": 500 * NS_PER_MS,
            "fallMultiple": 4.0,
            "fallNs": 2000 * NS_PER_MS,
            "graceToAnswerNs": 20 * NS_PER_MS,
        },
    }


class Deployment:
    """One router, its cache servers, the origin and discovery."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.port = free_port()
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._ports: dict[str, int] = {}
        self._environment: dict[str, str] = {}

    def add(self, name: str, *options: str) -> None:
        """Start a cache server, or the origin if that is its name."""
        self._ports[name] = free_port()
        role = "origin" if name == "origin" else "cache"
        self._start(
            name, [sys.executable, str(STANDINS), role, str(self._ports[name]), "--name", name, *options]
        )

    def _start(
        self,
        name: str,
        arguments: list[str],
        environment: dict[str, str] | None = None,
    ) -> None:
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                arguments,
                cwd=ROOT,
                env={**os.environ, **(environment or {})},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    def _instances(self) -> list[dict[str, Any]]:
        return [
            {
                "instanceId": name,
                "hostPort": f"{HOST}:{port}",
                "zone": "lozenets",
                "machineType": "origin" if name == "origin" else "std-1c",
                "cell": 0,
                "lifecycle": "up",
                "weight": 1.0,
                "startedAtMs": 0,
            }
            for name, port in self._ports.items()
        ]

    async def start_router(self, deadline_ms: int, memory_mb: int = 192, sockets: int = 1024) -> None:
        """Start discovery and the router, and wait until the router answers PING."""
        instances = self._instances()
        list_path = self.folder / "list.json"
        list_path.write_text(json.dumps(instances))
        discovery_port = free_port()
        self._start(
            "discovery",
            [sys.executable, str(STANDINS), "discovery", str(discovery_port), "--list", str(list_path)],
        )
        config_path = self.folder / "config.json"
        config_path.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": f"{HOST}:{self.port}",
                    "discovery": f"{HOST}:{discovery_port}",
                    "seed": "8c1f30d27a5be964",
                    "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
                    "known": {"generation": 41, "reset": True, "instances": instances},
                    "settings": settings(deadline_ms),
                }
            )
        )
        temp_folder = self.folder / "tmp"
        temp_folder.mkdir()
        self._environment = {
            "LB_NAME": "n0",
            "LB_LISTEN": f"{HOST}:{self.port}",
            "LB_DISCOVERY": f"{HOST}:{discovery_port}",
            "LB_CONFIG": str(config_path),
            "TMPDIR": str(temp_folder),
        }
        self._start_process("router")
        await self._await_ready()

    async def restart_router(self) -> None:
        """Start the router again after it has ended, and wait until it answers PING."""
        self._start_process("router")
        await self._await_ready()

    def _start_process(self, name: str) -> None:
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self._start(name, ["/bin/sh", "-c", run], self._environment)

    async def _await_ready(self) -> None:
        give_up_at = time.monotonic() + READY_S
        while time.monotonic() < give_up_at:
            if self.processes["router"].poll() is not None:
                raise CaseNotRunError("the router ended at its start")
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(command(b"PING"))
                line = await reader.readline()
                writer.close()
                if line == b"+PONG\r\n":
                    self.record.write("the router answers PING")
                    return
            await asyncio.sleep(0.02)
        raise CaseNotRunError("the router was not ready in time")

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a process a signal."""
        self.record.write(f"{number.name} to {name}")
        self.processes[name].send_signal(number)

    def end(self) -> None:
        """End all processes, append what they wrote to the record, and remove the temporary folder."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for name in self.processes:
            self.record.append_file(f"output of {name}", self.folder / f"{name}.log")
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)
