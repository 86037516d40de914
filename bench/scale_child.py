"""A process of the rig at both its ends: it is asked something in a line of JSON, and answers in one."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import sys
import traceback
from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path
from typing import Any

import msgspec
import uvloop

from holdgw.harness.routers import cpu_seconds, die_with_parent

LINE_BYTES = 64 << 20  # of one answer, at most
ANSWER_S = 120.0

Handler = Callable[..., Awaitable[Any]]


class ChildError(Exception):
    """A process of the rig failed, or is gone."""


class Child:
    """A process of the rig; whoever starts it ends it."""

    def __init__(self, module: str, root: Path, path: str) -> None:
        self.module = module
        self.process: asyncio.subprocess.Process | None = None
        self._root, self._path = root, path
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._lock = asyncio.Lock()

    async def start(self) -> None:
        """Start it. It ends when this process does, in whatever way."""
        parent_end, child_end = socket.socketpair()
        with child_end:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-P",
                "-m",
                self.module,
                str(child_end.fileno()),
                pass_fds=(child_end.fileno(),),
                cwd=self._root,
                env={**os.environ, "PYTHONPATH": self._path},
                stdin=asyncio.subprocess.DEVNULL,
                start_new_session=True,  # Ctrl-C is for whoever started it
                preexec_fn=die_with_parent,
            )
        self._reader, self._writer = await asyncio.open_connection(sock=parent_end, limit=LINE_BYTES)

    async def ask(self, verb: str, **arguments: Any) -> Any:
        """Have it do something; returns what it answers. Raises ChildError."""
        assert self._reader is not None
        assert self._writer is not None
        async with self._lock:
            self._writer.write(msgspec.json.encode({"verb": verb, **arguments}) + b"\n")
            try:
                data = await asyncio.wait_for(self._reader.readline(), ANSWER_S)
            except (OSError, TimeoutError) as error:
                raise ChildError(f"{self.module}: {verb}: {error!r}") from None
        if not data:
            raise ChildError(f"{self.module}: gone at {verb}")
        answer = msgspec.json.decode(data)
        if "error" in answer:
            raise ChildError(f"{self.module}: {verb}: {answer['error']}")
        return answer["value"]

    def cpu(self) -> float:
        """Its CPU seconds so far; 0 where it is gone."""
        if self.process is not None:
            with contextlib.suppress(OSError, IndexError, ValueError):
                return cpu_seconds(self.process.pid)
        return 0.0

    async def end(self) -> None:
        """End it now."""
        if self._writer is not None:
            self._writer.close()
        if self.process is not None:
            if self.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    self.process.kill()
            await self.process.wait()


async def _serve(sock: socket.socket, handlers: Mapping[str, Handler]) -> None:
    reader, writer = await asyncio.open_connection(sock=sock, limit=LINE_BYTES)
    while data := await reader.readline():
        request = msgspec.json.decode(data)
        try:
            answer = {"value": await handlers[request.pop("verb")](**request)}
        except Exception:
            answer = {"error": traceback.format_exc().strip().splitlines()[-1]}
            traceback.print_exc()
        writer.write(msgspec.json.encode(answer) + b"\n")
        await writer.drain()


def serve(make_handlers: Callable[[], Mapping[str, Handler]]) -> int:
    """Answer whoever is at the other end of the descriptor in the first argument, until it is gone."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    sock = socket.socket(fileno=int(sys.argv[1]))

    async def main() -> None:
        await _serve(sock, make_handlers())

    uvloop.run(main())
    return 0
