"""Stand-ins for the review's cases: platform, discovery, cache servers, origin, a delaying proxy, clients.

Only the standard library is used. Every address is a loopback address with a port that was free.
"""
# ruff: noqa: ARG005, BLE001, D102, D103

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import re
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import traceback
from collections import deque
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
MS = 1_000_000
HELD, BROKEN, NOT_RUN = 0, 1, 2
Address = tuple[str, int]


def free_address(ip: str = "127.0.0.1") -> Address:
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return ip, probe.getsockname()[1]


def text_of(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


class CaseError(Exception):
    """The case can't run."""


class Record:
    """The record of one run: what was sent, answered and run, one line each, in seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._start

    def __call__(self, *words: object) -> None:
        self._file.write(f"{self.now():9.4f} {' '.join(map(str, words))}\n")

    def close(self) -> None:
        self._file.close()


def default_settings(zone: str = "lozenets") -> dict[str, Any]:
    """Return the settings of the wire page's example, for one router and with pushed lists."""
    return {
        "balancers": 1,
        "me": 0,
        "ceilings": {
            "cancel": True,
            "dialTimeoutNs": 120 * MS,
            "idleCloseNs": 10_000 * MS,
            "maxOpen": 20_000,
            "maxRetryAfterNs": 1_200 * MS,
            "mayProbe": True,
            "mostTries": 4,
            "peers": False,
            "retryAfter": False,
            "secondCopies": True,
            "streamsPerConn": 32,
        },
        "classes": [
            _request_class("fetch", "retryable", 300, 1200, 5000),
            _request_class("yank", "dedup", 500, 1000, 5000),
            _request_class("publish", "dedup", 500, 1200, 2500),
        ],
        "tenants": [
            {"name": "public", "portion": 0.63, "quotaPerS": 1000.0},
            {"name": "municipal", "portion": 0.37, "quotaPerS": 1000.0},
        ],
        "failureDomains": ["lozenets", "mladost", "druzhba"],
        "zone": zone,
        "familyInfo": {"mode": "aside", "originKind": 1},
        "feedback": {"fields": ["recent_ms", "backlog"], "how": "answers"},
        "kinds": ["std-1c", "origin"],
        "membershipMode": "automatic",
        "weightKind": "none",
        "rules": {
            "askWithinNs": 10_000 * MS,
            "coldNs": 8_900 * MS,
            "coldShare": 0.32,
            "drainGraceNs": 500 * MS,
            "fallMultiple": 4.0,
            "fallNs": 2_000 * MS,
        },
    }


def _request_class(name: str, semantics: str, aim: int, give_up: int, window: int) -> dict[str, Any]:
    return {
        "name": name,
        "semantics": semantics,
        "aimNs": aim * MS,
        "giveUpNs": give_up * MS,
        "dedupWindowNs": window * MS,
        "group": "all",
        "streamed": False,
        "worth": 3.0,
        "lateValue": 0.25,
    }


class Router:
    """One router process, started by `run` of the deploy file."""

    def __init__(
        self,
        folder: Path,
        config: dict[str, Any],
        record: Record,
        label: str = "n1",
        passed: int | None = None,
    ) -> None:
        """`label`: its name in the record; `passed`: the inherited descriptor of a listening socket."""
        self._folder, self._config, self._record, self._name = folder, config, record, label
        self._passed = passed
        self._process: asyncio.subprocess.Process | None = None
        self.config_path = folder / f"{label}.json"
        self._log_path = folder / f"{label}.log"
        host, _, port = config["listen"].rpartition(":")
        self.address: Address = host, int(port)

    async def start(self, ready_s: float = 30.0) -> None:
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.config_path.write_text(json.dumps(self._config))
        private = self._folder / "tmp"
        private.mkdir(exist_ok=True)
        environ = {
            "PATH": os.environ.get("PATH", ""),
            "LB_NAME": self._config["name"],
            "LB_LISTEN": self._config["listen"],
            "LB_DISCOVERY": self._config["discovery"],
            "LB_CONFIG": str(self.config_path),
            "TMPDIR": str(private),
        }
        if self._passed is not None:
            environ["LB_PASSED_SOCKET"] = str(self._passed)
        if "ops" in self._config:
            environ["LB_OPS"] = self._config["ops"]
        passed = () if self._passed is None else (self._passed,)
        with self._log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environ, stdin=asyncio.subprocess.DEVNULL,
                stdout=log, stderr=log, start_new_session=True, pass_fds=passed,
            )  # fmt: skip
        self._record("run", self._name, "started pid", self._process.pid)
        deadline = time.monotonic() + ready_s
        while not await self._is_ready():
            if time.monotonic() > deadline or self._process.returncode is not None:
                raise CaseError(f"the router did not become ready: {self.log_tail()}")
            await asyncio.sleep(0.05)
        self._record("run", self._name, "ready")

    async def _is_ready(self) -> bool:
        try:
            async with asyncio.timeout(1.0):
                if "ops" in self._config:
                    host, _, port = self._config["ops"].rpartition(":")
                    reader, writer = await asyncio.open_connection(host, int(port))
                    writer.write(b"GET /status HTTP/1.1\r\nHost: router\r\n\r\n")
                    line = await reader.readline()
                    writer.close()
                    return b" 200 " in line
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(resp_command(b"PING"))
                line = await reader.readline()
                writer.close()
                return line.startswith(b"+PONG")
        except (OSError, TimeoutError):
            return False

    def signal(self, number: signal.Signals) -> None:
        assert self._process is not None
        self._record("run", self._name, "signal", number.name)
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(number)

    def reload(self, **changes: object) -> None:
        """Replace the file of the configuration, and send SIGHUP."""
        self._config = {**self._config, **changes}
        new = self.config_path.with_suffix(".new")
        new.write_text(json.dumps(self._config))
        new.replace(self.config_path)
        self.signal(signal.SIGHUP)

    @property
    def pid(self) -> int:
        assert self._process is not None
        return self._process.pid

    @property
    def crashed(self) -> bool:
        return self._process is not None and self._process.returncode is not None

    def log_tail(self, lines: int = 20) -> str:
        text = self._log_path.read_text(errors="replace") if self._log_path.exists() else ""
        return "\n".join(text.splitlines()[-lines:])

    async def stop(self) -> None:
        if self._process is None:
            return
        if self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(self._process.pid, signal.SIGKILL)
        await self._process.wait()
        for line in self.log_tail(60).splitlines():
            self._record("log", self._name, line)


# RESP2


def resp_command(*words: bytes) -> bytes:
    return b"*%d\r\n%b" % (len(words), b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words))


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """Read one command of a router; raises IncompleteReadError at the end."""
    head = await reader.readuntil(b"\r\n")
    words = []
    for _ in range(int(head[1:])):
        length = int((await reader.readuntil(b"\r\n"))[1:])
        words.append((await reader.readexactly(length + 2))[:-2])
    return words


async def read_answer(reader: asyncio.StreamReader) -> bytes:
    """Read one answer of a router: an error line, or the bytes of a value."""
    head = await reader.readuntil(b"\r\n")
    if head[:1] != b"$" or head == b"$-1\r\n":
        return head[:-2]
    length = int(head[1:])
    return (await reader.readexactly(length + 2))[:-2]


def make_value(request: bytes, key: bytes, server: str, size: int) -> bytes:
    """Return the value that a server makes for a request: it names both."""
    return (b"made-for=%b key=%b by=%b " % (request, key, server.encode())).ljust(size, b".")


def answer_of(value: bytes | None, word: bytes = b"hit") -> bytes:
    """Return a cache server's answer with a load report; None: a miss."""
    report = b"recent_ms=3.0,backlog=0"
    body = b"$-1\r\n" if value is None else b"$%d\r\n%b\r\n" % (len(value), value)
    return b"*3\r\n%b$%d\r\n%b\r\n$%d\r\n%b\r\n" % (body, len(word), word, len(report), report)


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


ENDED = (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError, ValueError)


class Server:
    """A listener whose connections are served by `serve`, one task each."""

    def __init__(self, name: str, record: Record, address: Address | None = None) -> None:
        self.name, self.record = name, record
        self.address = address or free_address()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._accept, *self.address, limit=1 << 20)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await self.serve(reader, writer)
        except (*ENDED, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()


class CacheServer(Server):
    """A cache server that has every key; `on_get` may deal with a read in another way."""

    def __init__(self, name: str, record: Record, size: int = 200, work_s: float = 0.003) -> None:
        super().__init__(name, record)
        self.size, self.work_s = size, work_s
        self.attempted: set[bytes] = set()
        """The ids of the requests that have come."""
        self.on_get: OnGet | None = None

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        following = asyncio.ensure_future(read_command(reader))
        try:
            while True:
                words = await following
                following = asyncio.ensure_future(read_command(reader))
                await self._answer(words, following, writer)
                await writer.drain()
        finally:
            following.cancel()

    async def _answer(
        self, words: list[bytes], following: asyncio.Future[list[bytes]], writer: asyncio.StreamWriter
    ) -> None:
        if words[0] == b"PING":
            writer.write(b"+PONG\r\n")
            return
        if words[0] != b"KV.GET":
            writer.write(b"-ERR unknown command\r\n")
            return
        self.attempted.add(words[2])
        self.record("attempt", self.name, words[1].decode(), words[2].decode())
        if self.on_get is None or not await self.on_get(self, words, following, writer):
            await asyncio.sleep(self.work_s)
            writer.write(self.good_answer(words))

    def good_answer(self, words: list[bytes]) -> bytes:
        return answer_of(make_value(words[2], words[1], self.name, self.size))


OnGet = Callable[
    [CacheServer, list[bytes], "asyncio.Future[list[bytes]]", asyncio.StreamWriter], Awaitable[bool]
]
"""Takes the server, the words of a read, the command behind it (not done while nothing waits on the
connection) and the way back; returns whether it has dealt with the read."""


class Origin(Server):
    """The origin over HTTP/1.1: answers each GET with a value and each PUT with a receipt."""

    def __init__(self, record: Record, size: int = 200, work_s: float = 0.03) -> None:
        super().__init__("origin", record)
        self.size, self.work_s = size, work_s
        self.attempts = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            method, target, _ = head.split("\r\n", 1)[0].split(" ")
            headers = dict(re.findall(r"(?m)^([^:\r\n]+): *([^\r\n]*)", head.split("\r\n", 1)[1]))
            body = await reader.readexactly(int(headers.get("Content-Length", "0")))
            request = headers.get("Request-Id", "-")
            self.attempts += 1
            self.record("attempt", self.name, method, target[:60], request, len(body))
            await asyncio.sleep(self.work_s)
            value = make_value(request.encode(), target[1:].encode(), self.name, self.size)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(value), value))
            await writer.drain()


class Discovery(Server):
    """Discovery, or the agent that pushes lists: whole lists, watches, and changes."""

    def __init__(self, record: Record, instances: list[dict[str, Any]], generation: int = 1) -> None:
        super().__init__("discovery", record)
        self.instances = {entry["instanceId"]: entry for entry in instances}
        self.generation = generation
        self._changed_at: dict[str, int] = {}
        self._news = asyncio.Event()
        self.delay_s = 0.0
        """How late each call is answered."""
        self.told: Callable[[int], None] = lambda generation: None
        """Called when an answer with this version has been written."""

    def whole(self) -> dict[str, Any]:
        return {"generation": self.generation, "reset": True, "instances": list(self.instances.values())}

    def change(self, instance: str, **fields: object) -> None:
        self.generation += 1
        self.instances[instance] = {**self.instances[instance], **fields}
        self._changed_at[instance] = self.generation
        self.record("discovery", "has", instance, fields, "generation", self.generation)
        news, self._news = self._news, asyncio.Event()
        news.set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            target = head.split(" ", 2)[1]
            self.record("discovery", self.address[1], "call", target)
            watch = re.search(r"index=(\d+)&wait=(\d+)", target)
            document = await self._changes(int(watch[1]), int(watch[2])) if watch else None
            await asyncio.sleep(self.delay_s)
            generation = self.generation
            if document is None:
                document = self.whole()
            body = json.dumps(document).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            await writer.drain()
            self.record("discovery", self.address[1], "answered", target, "generation", generation)
            self.told(document["generation"])

    async def _changes(self, index: int, wait_ms: int) -> dict[str, Any] | None:
        news = self._news
        if index > self.generation:
            return None
        if index == self.generation:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(news.wait(), wait_ms / 1000)
        entries = [self.instances[name] for name, at in self._changed_at.items() if at > index]
        return {"generation": self.generation, "reset": False, "instances": entries}


class DelayProxy(Server):
    """Passes bytes on both ways, each `delay_s` later: the way between two data centres."""

    def __init__(self, target: Address, delay_s: float, record: Record) -> None:
        super().__init__("proxy", record)
        self._target, self._delay_s = target, delay_s

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        there_reader, there_writer = await asyncio.open_connection(*self._target)
        there_writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await asyncio.gather(self._pass(reader, there_writer), self._pass(there_reader, writer))
        finally:
            there_writer.transport.abort()

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        while data := await reader.read(1 << 16):
            loop.call_later(self._delay_s, self._write, writer, data)
        await asyncio.sleep(self._delay_s)
        raise ConnectionResetError  # the end of one side ends both

    @staticmethod
    def _write(writer: asyncio.StreamWriter, data: bytes) -> None:
        if not writer.transport.is_closing():
            writer.write(data)


def instance(name: str, address: Address, zone: str, kind: str = "std-1c") -> dict[str, Any]:
    return {
        "instanceId": name,
        "hostPort": text_of(address),
        "zone": zone,
        "machineType": kind,
        "cell": 0,
        "lifecycle": "up",
        "weight": 1.0,
        "startedAtMs": 0,
    }


class World:
    """What a case has started; everything is ended with it."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.folder, self.record = folder, record
        self.servers: list[Server] = []
        self.routers: list[Router] = []
        self._ids = 0
        self.random = random.Random(int(os.environ.get("SEED", "1")))

    async def add(self, server: Any) -> Any:
        self.servers.append(server)
        await server.start()
        return server

    def router(self, discovery: Address, known: dict[str, Any], settings: dict[str, Any]) -> Router:
        config = {
            "name": "n1",
            "listen": text_of(free_address()),
            "discovery": text_of(discovery),
            "seed": f"{self.random.getrandbits(60):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peers": [],
            "known": known,
            "settings": settings,
        }
        router = Router(self.folder, config, self.record)
        self.routers.append(router)
        return router

    async def deploy(self, caches: list[CacheServer], addresses: list[Address], settings: Any) -> Router:
        """Start an origin, discovery with these cache servers, spread over the zones, and one router."""
        origin = await self.add(Origin(self.record))
        zones = settings["failureDomains"]
        listed = [
            instance(cache.name, address, zones[number % len(zones)])
            for number, (cache, address) in enumerate(zip(caches, addresses, strict=True))
        ]
        listed.append(instance("origin", origin.address, settings["zone"], "origin"))
        discovery = await self.add(Discovery(self.record, listed))
        router = self.router(discovery.address, discovery.whole(), settings)
        await router.start()
        return router

    def new_id(self) -> bytes:
        self._ids += 1
        return b"%08x%08x" % (self._ids, self.random.getrandbits(32))

    async def close(self) -> None:
        for router in self.routers:
            await router.stop()
        for server in self.servers:
            await server.stop()


class Link:
    """A client's connection with commands in order; `outcomes` holds one entry for each request taken."""

    def __init__(self, world: World, router: Router, name: str) -> None:
        self.world, self.record, self.router, self.name = world, world.record, router, name
        self.waiting: deque[bytes] = deque()
        self.answers: dict[bytes, bytes] = {}
        self.sent_at: dict[bytes, float] = {}
        self.answered_at: dict[bytes, float] = {}
        self.keys: dict[bytes, bytes] = {}
        self.closed_by_router = ""
        self.writer: Any = None

    async def open(self, read_ahead: int = 1 << 20) -> None:
        """Connect; the client's machine takes about `read_ahead` bytes that the client has not read."""
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, read_ahead)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await asyncio.get_running_loop().sock_connect(sock, self.router.address)
        self.reader, self.writer = await asyncio.open_connection(sock=sock, limit=read_ahead)

    def command(self, key: bytes, deadline_ms: int = 1200) -> bytes:
        """Return one read as bytes, and expect its answer."""
        request = self.world.new_id()
        self.waiting.append(request)
        self.keys[request] = key
        self.sent_at[request] = self.record.now()
        self.record("sent", self.name, request.decode(), key.decode()[:60])
        return resp_command(b"KV.GET", key, request, b"c=fetch,t=public,d=%d" % deadline_ms)

    async def read_one(self) -> tuple[bytes, bytes]:
        """Read the answer to the oldest request that waits."""
        try:
            answer = await read_answer(self.reader)
        except asyncio.IncompleteReadError as error:
            self.closed_by_router = f"end of the connection after {len(error.partial)} bytes of an answer"
            raise
        except (OSError, ValueError) as error:
            self.closed_by_router = f"{type(error).__name__}"
            raise
        request = self.waiting.popleft()
        self.answers[request] = answer
        self.answered_at[request] = self.record.now()
        self.record(
            "answered", self.name, request.decode(), answer[:60].decode(errors="replace"), len(answer)
        )
        return request, answer

    def close(self) -> None:
        if self.writer is not None:
            self.writer.transport.abort()


def run_case(main: Callable[[World, bool], Coroutine[Any, Any, list[str]]]) -> None:
    """Run a case in its folder: exits with 1 if it names broken requests, else 0; 2 if it could not run."""
    folder = Path(sys.argv[0]).resolve().parent
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    code = NOT_RUN

    async def play() -> int:
        this_task = asyncio.current_task()
        assert this_task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, this_task.cancel)
        with tempfile.TemporaryDirectory() as temporary:
            world = World(Path(temporary), record)
            try:
                async with asyncio.timeout(110):
                    broken = await main(world, trouble)
            finally:
                await world.close()
            for line in broken:
                record("BROKEN", line)
            print(f"trouble={int(trouble)} broken={len(broken)}", *broken[:5], sep="\n  ")
            return BROKEN if broken else HELD

    try:
        code = asyncio.run(play())
    except (Exception, asyncio.CancelledError) as error:
        record("could not run", repr(error))
        traceback.print_exc()
    finally:
        record.close()
    sys.exit(code)
