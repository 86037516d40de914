"""The emulated cache servers and discovery of a soak run, on the event loop of the run."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
from contextlib import suppress
from typing import Any

import orjson

from bench.soak_plan import SoakPlan

LONG_VALUE_BYTES = 100_000
"""Longer than what a router buffers, so that it streams the value."""
LONG_VALUE_FRACTION = 0.03
ANSWER_S = (0.001, 0.06)
MAX_WATCH_S = 20.0
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LoopbackServer:
    """A server on 127.0.0.1 whose connections end with it."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accepted, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            with suppress(OSError, EOFError, asyncio.CancelledError):
                await self.serve(reader, writer)
        finally:
            self._tasks.discard(task)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until its end."""
        raise NotImplementedError

    def stop(self) -> None:
        """Accept no more, and end all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()


class EmulatedCache(LoopbackServer):
    """A cache server that has every key; it delays, breaks off and resets answers as the plan draws."""

    def __init__(self, number: int, plan: SoakPlan) -> None:
        super().__init__()
        self.name = f"cache-{number}"
        self.begun: list[tuple[str, float]] = []
        """Each command that came whole: the request's id, and the time of the event loop."""
        self._plan = plan
        self._random = random.Random(f"{plan.seed}/{number}/cache")

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer commands in turn."""
        loop = asyncio.get_running_loop()
        while True:
            words = await self._read_command(reader)
            request_id = words[2].decode()
            self.begun.append((request_id, loop.time()))
            await asyncio.sleep(self._random.uniform(*ANSWER_S))
            if self._random.random() < self._plan.resets:
                self._reset(writer)
                return
            is_long = self._random.random() < LONG_VALUE_FRACTION
            value = request_id.encode().ljust(LONG_VALUE_BYTES if is_long else 40, b".")
            answer = b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n$-1\r\n" % (len(value), value)
            if is_long and self._random.random() < self._plan.broken_values:
                writer.write(answer[: len(answer) // 2])
                await writer.drain()
                self._reset(writer)
                return
            writer.write(answer)
            await writer.drain()

    async def _read_command(self, reader: asyncio.StreamReader) -> list[bytes]:
        words = []
        for _ in range(int((await reader.readuntil(b"\r\n"))[1:])):
            size = int((await reader.readuntil(b"\r\n"))[1:])
            words.append((await reader.readexactly(size + 2))[:-2])
        return words

    def _reset(self, writer: asyncio.StreamWriter) -> None:
        connection = writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        writer.transport.abort()


class EmulatedDiscovery(LoopbackServer):
    """An agent that pushes the list; while `is_down` it answers nothing."""

    def __init__(self) -> None:
        super().__init__()
        self.instances: list[dict[str, Any]] = []
        self.generation = 1
        self.is_down = False
        self._changed = asyncio.Event()

    def change(self, instances: list[dict[str, Any]]) -> None:
        """Replace the list; watches are answered at once."""
        self.instances = instances
        self.generation += 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer calls for the list and watches."""
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            if self.is_down:
                return
            if b"index=" in head:
                await self._wait_for_change(int(head.split(b"index=")[1].split(b"&")[0]))
                if self.is_down:
                    return
            body = orjson.dumps({"generation": self.generation, "reset": True, "instances": self.instances})
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))

    async def _wait_for_change(self, generation: int) -> None:
        with suppress(TimeoutError):
            async with asyncio.timeout(MAX_WATCH_S):
                while self.generation <= generation:
                    await self._changed.wait()
