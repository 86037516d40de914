"""A mirror node's sockets: RESP2 in front of the node's model (PROTOCOL, "Routers to cache servers")."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import NamedTuple, cast

import hiredis

from holdgw.emulators.fault_proxy import Way
from holdgw.emulators.faults import NOISE, Fault, Shares
from holdgw.emulators.listeners import Alarm, Clock, Host, Listeners, after, reset
from holdgw.emulators.node_model import Done, Job, Kind, NodeModel, NodeSpec, Result
from holdgw.emulators.records import Attempt, Dialled, Fallen, Flushed, Odd, Witness
from holdgw.emulators.seeded_draws import lognormal, unit
from holdgw.wire.address import Address
from holdgw.wire.resp import parse_request
from holdgw.wire.unread import arrived_at

PADDING = b"." * (64 << 10)
IDLE_CHECK_S = 0.5
MOST_WAITING = 4096  # answers that one connection may have outstanding; a router has one
ATTEMPTS_KEPT = 65536

Report = Callable[[float, int], bytes]
REPORT_FIELDS = ("recent_ms", "backlog")
"""A load report's values, in the platform's words: service time lately, and requests waiting."""


def platform_report(latency_ms: float, queue: int) -> bytes:
    """A load report with those fields."""
    return b"%b=%.1f,%b=%d" % (REPORT_FIELDS[0].encode(), latency_ms, REPORT_FIELDS[1].encode(), queue)


@dataclass(frozen=True, slots=True)
class Workload:
    """How much work and how many bytes a request is, by its names; the same at every node and in
    every run.
    """

    seed: int
    classes: dict[str, tuple[float, float]]
    """Mean work of a class in core-seconds, and its coefficient of variation."""
    noise: float = 0.2
    """Coefficient of variation between attempts at one request."""
    size: tuple[float, float] = (2048.0, 0.8)
    """Mean bytes of an object, and their coefficient of variation."""

    def work(self, request_class: str, request: bytes, place: str) -> float:
        """Core-seconds of one attempt; raises KeyError for a class that is not known."""
        mean, cv = self.classes[request_class]
        whole = lognormal(unit(self.seed, "work", request), mean, cv)
        return whole * lognormal(unit(self.seed, "attempt", request, place), 1.0, self.noise)

    def bytes_of(self, key: bytes) -> int:
        """Size of a key's object."""
        return min(max(int(lognormal(unit(self.seed, "size", key), *self.size)), 16), len(PADDING))


def made_for(request: bytes, key: bytes, server: str, serial: int, size: int) -> bytes:
    """The value or receipt that a server makes for one request: it names all four, and is padded to
    its size.
    """
    head = b"%b %b %b %d " % (request, key, server.encode(), serial)
    return head + PADDING[: max(size - len(head), 0)]


class Times(NamedTuple):
    """Of one command: as in its record."""

    at: float
    left: float
    came: float


@dataclass(slots=True, eq=False)
class Slot:
    """The place of an answer among those of its connection."""

    connection: NodeConnection
    job: Job
    times: Times
    fresh: bool
    data: bytes | None = None
    fault: Fault = Fault.NONE
    ready: bool = False
    recorded: bool = False


class NodeConnection(asyncio.Protocol):
    """One router's connection."""

    def __init__(self, node: NodeServer, delay: float) -> None:
        self.node, self.delay = node, delay
        self.transport: asyncio.Transport | None = None
        self.slots: deque[Slot] = deque()
        self.quiet_since = node.clock()
        self.ready = False  # its handshake is done
        self.left = 0.0  # when what comes now was sent, where a cut line held it back
        self._before: list[tuple[list[bytes], Times]] = []  # what came before the handshake was done
        self._reader = hiredis.Reader()
        self._first = True
        self.gone = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A new one costs the node work and the first request time, as a TLS handshake would."""
        self.transport = cast(asyncio.Transport, transport)
        self.node.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """What was asked here goes on; nobody hears of it."""
        self.gone = True
        self.node.closed(self)

    def data_received(self, data: bytes) -> None:
        """Take whole commands."""
        self._reader.feed(data)
        try:
            while (words := self._reader.gets()) is not False:
                if (
                    not isinstance(words, list)
                    or not all(isinstance(word, bytes) for word in words)
                    or not words
                ):
                    raise ValueError("a command is an array of bulk strings")
                self._came(words)
        except (ValueError, hiredis.HiredisError) as error:
            self.node.odd(f"{type(error).__name__}: {error}")
            self.abort()

    def _came(self, words: list[bytes]) -> None:
        if len(self.slots) + len(self._before) >= MOST_WAITING:
            raise ValueError("too many commands without an answer")
        now = self.node.clock()
        times = Times(now, self.left, arrived_at(self.transport, now))
        if self.ready:
            self.node.command(self, words, times, self._is_first())
        else:
            # The time is that of its bytes, also where a pause holds the handshake up for seconds.
            self._before.append((words, times))

    def _is_first(self) -> bool:
        first, self._first = self._first, False
        return first

    def begin(self) -> None:
        """The handshake is done: what came meanwhile begins."""
        self.ready = True
        before, self._before = self._before, []
        for words, times in before:
            self.node.command(self, words, times, self._is_first())

    def unbegun(self, result: str) -> None:
        """The process ends: what had come before the handshake was done never began."""
        before, self._before = self._before, []
        for words, times in before:
            self.node.never_began(words, times, result)

    def flush(self) -> None:
        """Write the answers whose turn it is."""
        while self.slots and self.slots[0].ready:
            slot = self.slots.popleft()
            self.quiet_since = self.node.clock()
            if slot.fault is Fault.RESET:
                self.abort()
            elif slot.data is not None and self.transport is not None and not self.gone:
                self.transport.write(slot.data)

    def abort(self) -> None:
        """Reset."""
        reset(self.transport)


class NodeServer:
    """One mirror node: its process may die and start again, its address stays."""

    def __init__(
        self,
        name: str,
        spec: NodeSpec,
        workload: Workload,
        host: Host,
        witness: Witness,
        clock: Clock,
        report: Report = platform_report,
    ) -> None:
        self.name, self.spec, self.workload, self.clock = name, spec, workload, clock
        self.shares = Shares()
        self.model = NodeModel(spec, clock())
        self._witness, self._report = witness, report
        self._loop = asyncio.get_running_loop()
        self._listeners = Listeners(host, clock)
        self._connections: dict[NodeConnection, None] = {}
        self._alarm = Alarm(self._loop, clock, self._rings)
        self._serial = 0
        self._flushes = 0
        self._asked: dict[bytes, int] = {}  # attempts of a request here, the latest requests
        self._idle_timer: asyncio.TimerHandle | None = None
        self.alive = False

    # The process

    async def start(self, cold: bool = False) -> None:
        """Start a process: empty and cold if so told."""
        assert not self.alive
        self.model = NodeModel(self.spec, self.clock(), cold)
        self.alive = True
        await self._listeners.open(lambda delay: NodeConnection(self, delay))
        self._check_idle()

    @property
    def addresses(self) -> dict[str, Address]:
        """Where it listens, by the zone of who connects."""
        return self._listeners.addresses

    def take_place_of(self, other: NodeServer) -> None:
        """Listen, when it starts, where another one did that has gone."""
        self._listeners.take(other._listeners)

    def block(self, way: Way, seconds: float, lines: Iterable[str] | None = None) -> None:
        """Cut lines to it, or all of them, for so long; a node that dies meanwhile has vanished."""
        self._listeners.block(way, seconds, lines)

    def kill(self) -> None:
        """The process dies: connections are reset, new ones refused, all that it held is gone."""
        if not self.alive:
            return
        self.alive = False
        self._listeners.close()
        self._alarm.close()
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        self.model.work.drop_all()
        for connection in list(self._connections):
            self._leave_unanswered(connection, "gone")
            connection.abort()
        self._connections.clear()

    def _leave_unanswered(self, connection: NodeConnection, result: str) -> None:
        for slot in connection.slots:
            if not slot.ready:
                self._record(slot, result, Fault.NONE)
        connection.unbegun(result)
        connection.slots.clear()

    def close(self) -> None:
        """The day is over: what never ended is told."""
        for connection in list(self._connections):
            self._leave_unanswered(connection, "open")
        self.kill()
        self._listeners.end()

    # Troubles

    def pause(self, seconds: float) -> None:
        """Stand still; the process runs on, connections stay open."""
        self._ended(self.model.pause(self.clock(), seconds))
        self._set_alarm()

    def drain(self, on: bool = True) -> None:
        """Take nothing new; finish what there is."""
        self.model.draining = on

    def flush(self, share: float, seed: int, serial: int) -> None:
        """Copies of a share of the keys go void."""
        gone = self.model.keeping.flush(share, seed, serial)
        self._witness.saw(Flushed(self.name, self.clock(), gone, len(self.model.keeping)))

    def stored(self, request: bytes, key: bytes, size: int) -> None:
        """The package store answered a request."""
        if self.alive:
            self.model.stored(self.clock(), request, key, size)

    def voided(self, key: bytes) -> None:
        """A write was carried out."""
        if self.alive:
            self.model.keeping.void(key)

    # Connections

    def opened(self, connection: NodeConnection) -> None:
        """A connection came up: it costs work, and one too many is turned away."""
        self._connections[connection] = None
        taken = self.model.connections_now(len(self._connections))
        self._witness.saw(Dialled(self.name, self.clock(), taken))
        if not taken:
            connection.abort()
            return
        handshake = Job(Kind.HANDSHAKE, owner=connection)
        # A round trip each way stands for the kernel's handshake, which loopback does in no time.
        after(self._loop, 4 * connection.delay, lambda: self._arrive(handshake))

    def closed(self, connection: NodeConnection) -> None:
        """A connection is gone."""
        self._connections.pop(connection, None)
        self.model.connections_now(len(self._connections))

    def _check_idle(self) -> None:
        self._idle_timer = self._loop.call_later(IDLE_CHECK_S, self._check_idle)
        now = self.clock()
        if self.model.work.paused(now):
            return
        for connection in list(self._connections):
            if (
                not connection.slots
                and now - connection.quiet_since > self.spec.idle_s
                and connection.transport
            ):
                connection.transport.close()

    # Requests

    def odd(self, text: str) -> None:
        """Something came that no router should send."""
        self._witness.saw(Odd(self.name, self.clock(), text))

    def command(self, connection: NodeConnection, words: list[bytes], times: Times, first: bool) -> None:
        """One command, which is whole."""
        job = self._read(words)
        if isinstance(job, bytes):
            slot = Slot(connection, Job(Kind.PROBE), times, first, data=job, ready=True)
            connection.slots.append(slot)
            if job.startswith(b"-"):
                self.odd(job.decode().strip())
            after(self._loop, 2 * connection.delay, connection.flush)
            return
        slot = Slot(connection, job, times, first)
        job.owner = slot
        connection.slots.append(slot)
        after(self._loop, connection.delay, lambda: self._arrive(job))

    def never_began(self, words: list[bytes], times: Times, result: str) -> None:
        """A command that waited for its connection's handshake when the process ended."""
        job = self._read(words)
        if isinstance(job, Job) and job.kind is not Kind.PROBE:
            self._serial += 1
            name = job.id.decode()
            ended = self.clock()
            self._witness.saw(
                Attempt(
                    name,
                    self.name,
                    times.at,
                    result,
                    ended,
                    self._serial,
                    fresh=True,
                    left=times.left,
                    came=times.came,
                )
            )

    def _read(self, words: list[bytes]) -> Job | bytes:
        """The job that a command is; bytes: the answer to one that is none."""
        name = words[0].upper()
        if name == b"PING" and len(words) == 1:
            return Job(Kind.PROBE)
        if name == b"INFO" and len(words) == 2 and words[1].lower() == b"load":
            return Job(Kind.PROBE, id=b"load")
        if name in (b"CLIENT", b"SELECT"):
            return b"+OK\r\n"
        if name not in (b"KV.GET", b"KV.SET"):
            return b"-ERR unknown command\r\n"
        try:
            command = parse_request(words)
            work = self.workload.work(command.info.class_name, command.id, self.name)
        except (ValueError, KeyError) as error:
            return b"-SYNTAX %b\r\n" % str(error).encode()
        kind = Kind.READ if command.value is None else Kind.WRITE
        return Job(kind, command.id, command.key, work, self.workload.bytes_of(command.key))

    def _arrive(self, job: Job) -> None:
        if self.alive:
            self._ended(self.model.arrive(self.clock(), job))
            self._set_alarm()

    def _rings(self) -> None:
        if self.alive:
            self._ended(self.model.advance(self.clock()))
            self._set_alarm()

    def _set_alarm(self) -> None:
        fell = self.model.fell
        if fell is not None and self.alive:
            self._witness.saw(Fallen(self.name, fell.at, fell.sent, fell.most))
            self.kill()
        elif self.alive:
            self._alarm.set(self.model.next_due())

    def _ended(self, done: list[Done]) -> None:
        for end in done:
            owner = end.job.owner
            if isinstance(owner, NodeConnection):
                owner.begin()
            elif isinstance(owner, Slot):
                self._answer(owner, end)

    def _answer(self, slot: Slot, end: Done) -> None:
        job = slot.job
        report = self.model.report(end.at)
        load = self._report(report.latency_ms, report.queue)
        fault = Fault.NONE
        if end.result is Result.BUSY:
            slot.data = b"-BUSY %b\r\n" % load
        elif job.kind is Kind.PROBE:
            slot.data = b"$%d\r\n%b\r\n" % (len(load), load) if job.id else b"+PONG\r\n"
        else:
            count = self._asked[job.id] = self._asked.pop(job.id, 0) + 1
            if len(self._asked) > ATTEMPTS_KEPT:
                del self._asked[next(iter(self._asked))]
            fault = self.shares.of(self.workload.seed, self.name, job.id, count)
            note = b"$%d\r\n%b\r\n$%d\r\n%b\r\n" % (
                len(end.result.value),
                end.result.value.encode(),
                len(load),
                load,
            )
            if fault is Fault.GARBLE:
                slot.data = NOISE[self._serial % len(NOISE)]
            elif end.result is Result.HIT:
                value = made_for(job.id, job.key, self.name, self._serial + 1, job.size)
                slot.data = b"*3\r\n$%d\r\n%b\r\n%b" % (len(value), value, note)
            else:
                slot.data = b"*3\r\n$-1\r\n" + note
        slot.fault, slot.ready = fault, True
        if job.kind is not Kind.PROBE:
            self._record(slot, end.result.value, fault, end.missing.value if end.missing else "")
        if fault is not Fault.SILENCE:
            after(self._loop, slot.connection.delay, slot.connection.flush)
        else:
            slot.ready = False  # and so nothing behind it comes either

    def _record(self, slot: Slot, result: str, fault: Fault, missing: str = "") -> None:
        if slot.job.kind is Kind.PROBE or slot.recorded:
            return
        slot.recorded = True
        self._serial += 1
        self._witness.saw(
            Attempt(
                slot.job.id.decode(),
                self.name,
                slot.times.at,
                result,
                self.clock(),
                self._serial,
                fault=fault.value,
                missing=missing,
                fresh=slot.fresh,
                work=slot.job.work,
                left=slot.times.left,
                came=slot.times.came,
            )
        )
