"""The clients of a soak run: they keep their connections, send pipelines, and note what was owed to them.

A request that gets no answer is lost, with two exceptions that PROTOCOL names: a value that breaks off has
failed, and a request that crosses the close of a resting connection may be sent again on another.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field

from bench.soak_plan import SoakPlan

LATE_S = 0.5
"""Time after its deadline within which an answer only earns nothing; a later one is lost."""
CROSSING_S = 0.1
"""A request sent less than this time before its connection's end may not have been read."""
RECONNECT_S = 0.02
PAUSE_S = 0.03
"""The longest pause between two pipelines of a client, and between the pieces of one."""
PIECES_FRACTION = 0.2
KEYS = 500
CLASSES = (b"read", b"once")
UNKNOWN_CLASS = b"nosuch"

Address = tuple[str, int]


class BrokenValueError(Exception):
    """A value ended before its announced length."""


@dataclass(slots=True)
class SoakRecords:
    """What all clients of a run saw."""

    counts: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)
    once_ids: set[str] = field(default_factory=set)
    """Requests of the class whose requests may not be sent twice."""
    invalid_ids: set[str] = field(default_factory=set)
    """Commands that a router has to answer with an error."""


@dataclass(slots=True)
class RouterTarget:
    """A router as clients see it."""

    name: str
    address: Address
    takes_new: bool = False
    """Whether the front deals out new connections to it."""


@dataclass(slots=True)
class SentRequest:
    """A request whose answer is owed."""

    id: str
    sent_s: float
    deadline_s: float


def encode_read(key: str, request_id: str, class_name: bytes, wait_ms: int) -> bytes:
    """Encode a KV.GET command."""
    words = (b"KV.GET", key.encode(), request_id.encode(), b"c=%b,t=a,d=%d" % (class_name, wait_ms))
    return b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


async def read_answer(reader: asyncio.StreamReader) -> bytes:
    """Read one answer: an error line, or a value; raises EOFError, OSError or BrokenValueError."""
    line = await reader.readuntil(b"\r\n")
    if not line.startswith(b"$"):
        return line
    try:
        return await reader.readexactly(int(line[1:]) + 2)
    except (EOFError, OSError) as error:
        raise BrokenValueError from error


class SoakClient:
    """One client: uses a connection until it ends, then opens another."""

    def __init__(
        self, number: int, plan: SoakPlan, targets: list[RouterTarget], records: SoakRecords
    ) -> None:
        self._name = f"{plan.seed}-{number}"
        self._plan = plan
        self._targets = targets
        self._first_target = number % len(targets)
        self._records = records
        self._random = random.Random(f"{plan.seed}/{number}/client")
        self._sent = 0
        self.stopping = False

    async def run(self) -> None:
        """Send requests until `stopping`."""
        while not self.stopping:
            target = self._choose_target()
            if target is None:
                await asyncio.sleep(RECONNECT_S)
                continue
            try:
                reader, writer = await asyncio.open_connection(*target.address)
            except OSError:
                self._records.counts["refused connections"] += 1
                await asyncio.sleep(RECONNECT_S)
                continue
            with suppress(OSError, EOFError, BrokenValueError):
                while not (self.stopping or reader.at_eof()):
                    await self._exchange(target, reader, writer)
                    await asyncio.sleep(self._random.uniform(0, PAUSE_S))
            writer.close()

    def _choose_target(self) -> RouterTarget | None:
        order = [*self._targets[self._first_target :], *self._targets[: self._first_target]]
        return next((target for target in order if target.takes_new), None)

    async def _exchange(
        self, target: RouterTarget, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Send one pipeline and read its answers; raises what ends the connection."""
        loop = asyncio.get_running_loop()
        commands, ids = self._draw_pipeline()
        await self._write(writer, b"".join(commands))
        sent_s = loop.time()
        open_requests = [SentRequest(name, sent_s, sent_s + self._plan.deadline_s) for name in ids]
        self._records.counts["requests"] += len(open_requests)
        answered = 0
        due_s = sent_s + self._plan.deadline_s + LATE_S
        try:
            for request in open_requests:
                async with asyncio.timeout_at(due_s):
                    answer = await read_answer(reader)
                answered += 1
                self._judge_answer(request, answer)
                due_s = loop.time() + self._plan.deadline_s + LATE_S
        except TimeoutError:
            self._records.violations.append(
                f"lost: no answer in time, router {target.name}, request {open_requests[answered].id}"
            )
            raise EOFError from None
        except BrokenValueError:
            self._records.counts["broken values"] += 1
            behind = len(open_requests) - answered - 1
            if behind:
                self._records.violations.append(
                    f"lost: {behind} behind a value that broke off, router {target.name}, "
                    f"request {open_requests[answered + 1].id}"
                )
            raise
        except (OSError, EOFError) as error:
            self._judge_end(target, open_requests, answered, type(error).__name__)
            raise

    async def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        if self._random.random() < PIECES_FRACTION:
            cut = self._random.randrange(len(data))
            writer.write(data[:cut])
            await asyncio.sleep(self._random.uniform(0, PAUSE_S))
            data = data[cut:]
        writer.write(data)

    def _draw_pipeline(self) -> tuple[list[bytes], list[str]]:
        deadline_ms = int(self._plan.deadline_s * 1000)
        commands: list[bytes] = []
        ids: list[str] = []
        for _ in range(self._random.randint(1, self._plan.max_pipeline)):
            self._sent += 1
            request_id = f"{self._name}-{self._sent}"
            class_name, wait_ms = self._random.choice(CLASSES), deadline_ms
            if class_name == b"once":
                self._records.once_ids.add(request_id)
            if self._random.random() < self._plan.invalid_commands:
                self._records.invalid_ids.add(request_id)
                class_name, wait_ms = self._random.choice(((UNKNOWN_CLASS, deadline_ms), (class_name, 0)))
            key = f"key{self._random.randrange(KEYS)}"
            commands.append(encode_read(key, request_id, class_name, wait_ms))
            ids.append(request_id)
        return commands, ids

    def _judge_answer(self, request: SentRequest, answer: bytes) -> None:
        if request.id in self._records.invalid_ids and not answer.startswith(b"-"):
            self._records.violations.append(f"lost: invalid command {request.id} got {answer[:40]!r}")
        elif answer.startswith(b"-BUSY"):
            self._records.counts["rejected"] += 1
        elif answer.startswith(b"-"):
            self._records.counts["failed"] += 1
        elif answer.startswith(request.id.encode() + b"."):
            self._records.counts["served"] += 1
        else:
            self._records.violations.append(f"lost: request {request.id} got {answer[:40]!r}")

    def _judge_end(
        self, target: RouterTarget, requests: list[SentRequest], answered: int, ending: str
    ) -> None:
        unanswered = requests[answered:]
        elapsed_s = asyncio.get_running_loop().time() - unanswered[0].sent_s
        if answered == 0 and elapsed_s < CROSSING_S:
            self._records.counts["crossed"] += len(unanswered)
            return
        self._records.violations.append(
            f"lost: {len(unanswered)} of {len(requests)} at the connection's end ({ending}) "
            f"{elapsed_s:.3f} s after they were sent, router {target.name}, request {unanswered[0].id}"
        )
