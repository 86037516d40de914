"""Both ends of a child process of the scale rig: requests and answers are lines of JSON over a socket."""

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

LINE_BYTES = 64 << 20  # the longest answer
ANSWER_S = 120.0

Handler = Callable[..., Awaitable[Any]]


class ChildError(Exception):
    """A child process failed, or closed its socket."""


class Child:
    """The parent's end of a child process. Whoever starts the process ends it."""

    def __init__(self, module: str, root: Path, path: str) -> None:
        self.module = module
        self.process: asyncio.subprocess.Process | None = None
        self._root, self._path = root, path
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._lock = asyncio.Lock()

    async def start(self) -> None:
        """Start the process. The kernel kills it when this process ends, however that happens."""
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
                start_new_session=True,  # so that Ctrl-C reaches only the parent
                preexec_fn=die_with_parent,
            )
        self._reader, self._writer = await asyncio.open_connection(sock=parent_end, limit=LINE_BYTES)

    async def ask(self, verb: str, **arguments: Any) -> Any:
        """Send a request and return the answer's value.

        Raises ChildError if the child reports an error, closes its socket, or takes longer than ANSWER_S.
        """
        assert self._reader is not None
        assert self._writer is not None
        async with self._lock:
            self._writer.write(msgspec.json.encode({"verb": verb, **arguments}) + b"\n")
            try:
                data = await asyncio.wait_for(self._reader.readline(), ANSWER_S)
            except (OSError, TimeoutError) as error:
                raise ChildError(f"{self.module}: {verb}: {error!r}") from None
        if not data:
            raise ChildError(f"{self.module}: {verb}: the process closed its socket")
        answer = msgspec.json.decode(data)
        if "error" in answer:
            raise ChildError(f"{self.module}: {verb}: {answer['error']}")
        return answer["value"]

    def cpu(self) -> float:
        """Return the process's CPU seconds so far; 0 if it has ended."""
        if self.process is not None:
            with contextlib.suppress(OSError, IndexError, ValueError):
                return cpu_seconds(self.process.pid)
        return 0.0

    async def end(self) -> None:
        """Kill the process and wait for it."""
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
    """Answer requests on the socket whose descriptor is the first argument, until its other end closes."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    sock = socket.socket(fileno=int(sys.argv[1]))

    async def main() -> None:
        await _serve(sock, make_handlers())

    uvloop.run(main())
    return 0
