"""The sockets of an emulated cache server: RESP2 to its model (PROTOCOL, "Routers to cache servers")."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import NamedTuple, cast

import hiredis

from holdgw.emulators.fault_proxy import Way
from holdgw.emulators.faults import MALFORMED_RESP, Fault, FaultShares
from holdgw.emulators.listeners import Clock, Host, Listeners, ModelTimer, call_after, reset_connection
from holdgw.emulators.node_model import FinishedJob, Job, JobKind, JobResult, NodeModel, NodeSpec
from holdgw.emulators.records import (
    Attempt,
    ConnectionOpened,
    Flushed,
    ProtocolViolation,
    Recorder,
    WarmUpCrash,
)
from holdgw.emulators.seeded_draws import lognormal, unit
from holdgw.wire.address import Address
from holdgw.wire.resp import parse_request
from holdgw.wire.unread import arrived_at

PADDING = b"." * (64 << 10)
IDLE_CHECK_S = 0.5
MAX_PENDING_ANSWERS = 4096  # of one connection; a router has at most one
MAX_COUNTED_REQUESTS = 65536

ReportFormatter = Callable[[float, int], bytes]
REPORT_FIELDS = ("recent_ms", "backlog")
"""The platform's names of the fields of a load report: recent service time, number of queued requests."""


def format_load_report(latency_ms: float, queue: int) -> bytes:
    """Return an encoded load report with the fields of REPORT_FIELDS."""
    return b"%b=%.1f,%b=%d" % (REPORT_FIELDS[0].encode(), latency_ms, REPORT_FIELDS[1].encode(), queue)


@dataclass(frozen=True, slots=True)
class Workload:
    """Work and object size of requests, drawn by name: the same at every server and in every run."""

    seed: int
    classes: dict[str, tuple[float, float]]
    """Mean work of a class in core-seconds, and its coefficient of variation."""
    noise: float = 0.2
    """Coefficient of variation between attempts at one request."""
    size: tuple[float, float] = (2048.0, 0.8)
    """Mean bytes of an object, and their coefficient of variation."""

    def work(self, request_class: str, request: bytes, place: str) -> float:
        """Return the core-seconds of an attempt at server `place`; raises KeyError for an unknown class."""
        mean, cv = self.classes[request_class]
        base = lognormal(unit(self.seed, "work", request), mean, cv)
        return base * lognormal(unit(self.seed, "attempt", request, place), 1.0, self.noise)

    def bytes_of(self, key: bytes) -> int:
        """Return the size in bytes of the object of a key."""
        return min(max(int(lognormal(unit(self.seed, "size", key), *self.size)), 16), len(PADDING))


def make_value(request: bytes, key: bytes, server: str, serial: int, size: int) -> bytes:
    """Return the value or receipt that a server makes for a request.

    It contains the request, key, server and serial number, and is padded to `size` bytes.
    """
    head = b"%b %b %b %d " % (request, key, server.encode(), serial)
    return head + PADDING[: max(size - len(head), 0)]


class CommandTimes(NamedTuple):
    """Times of a command, as in its record (`Attempt`)."""

    at: float
    held_since: float
    arrived: float


@dataclass(slots=True, eq=False)
class PendingAnswer:
    """An answer that its connection has yet to write; answers keep the order of the commands."""

    connection: NodeConnection
    job: Job
    times: CommandTimes
    first_on_connection: bool
    data: bytes | None = None
    fault: Fault = Fault.NONE
    ready: bool = False
    recorded: bool = False


class NodeConnection(asyncio.Protocol):
    """A connection of one router."""

    def __init__(self, node: NodeServer, delay: float) -> None:
        self.node, self.delay = node, delay
        self.transport: asyncio.Transport | None = None
        self.pending: deque[PendingAnswer] = deque()
        self.idle_since = node.clock()
        self.ready = False  # whether the handshake is done
        self.held_since = 0.0  # when the bytes being read were sent, if a blocked link delayed them
        self._awaiting_handshake: list[tuple[list[bytes], CommandTimes]] = []
        self._reader = hiredis.Reader()
        self._first = True
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the handshake: it costs the server work and delays the first request, as with TLS."""
        self.transport = cast(asyncio.Transport, transport)
        self.node.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection; the server still executes its requests, without answers."""
        self.closed = True
        self.node.closed(self)

    def data_received(self, data: bytes) -> None:
        """Handle all complete commands."""
        self._reader.feed(data)
        try:
            while (words := self._reader.gets()) is not False:
                if (
                    not isinstance(words, list)
                    or not all(isinstance(word, bytes) for word in words)
                    or not words
                ):
                    raise ValueError("a command is an array of bulk strings")
                self._receive(words)
        except (ValueError, hiredis.HiredisError) as error:
            self.node.record_violation(f"{type(error).__name__}: {error}")
            self.abort()

    def _receive(self, words: list[bytes]) -> None:
        if len(self.pending) + len(self._awaiting_handshake) >= MAX_PENDING_ANSWERS:
            raise ValueError("too many commands without an answer")
        now = self.node.clock()
        times = CommandTimes(now, self.held_since, arrived_at(self.transport, now))
        if self.ready:
            self.node.command(self, words, times, self._is_first())
        else:
            # The times stay those of the bytes, even if a pause delays the handshake by seconds.
            self._awaiting_handshake.append((words, times))

    def _is_first(self) -> bool:
        first, self._first = self._first, False
        return first

    def on_handshake_done(self) -> None:
        """Mark the handshake as done, and start the commands that waited for it."""
        self.ready = True
        waiting, self._awaiting_handshake = self._awaiting_handshake, []
        for words, times in waiting:
            self.node.command(self, words, times, self._is_first())

    def abandon_unstarted(self, result: str) -> None:
        """Record the commands that waited for the handshake when the process ended."""
        waiting, self._awaiting_handshake = self._awaiting_handshake, []
        for words, times in waiting:
            self.node.record_unstarted(words, times, result)

    def flush(self) -> None:
        """Write the answers that are ready, in the order of their commands."""
        while self.pending and self.pending[0].ready:
            pending = self.pending.popleft()
            self.idle_since = self.node.clock()
            if pending.fault is Fault.RESET:
                self.abort()
            elif pending.data is not None and self.transport is not None and not self.closed:
                self.transport.write(pending.data)

    def abort(self) -> None:
        """Reset the connection."""
        reset_connection(self.transport)


class NodeServer:
    """An emulated cache server: its process may be killed and started again, its addresses stay."""

    def __init__(
        self,
        name: str,
        spec: NodeSpec,
        workload: Workload,
        host: Host,
        recorder: Recorder,
        clock: Clock,
        report: ReportFormatter = format_load_report,
    ) -> None:
        self.name, self.spec, self.workload, self.clock = name, spec, workload, clock
        self.shares = FaultShares()
        self.model = NodeModel(spec, clock())
        self._recorder, self._format_report = recorder, report
        self._loop = asyncio.get_running_loop()
        self._listeners = Listeners(host, clock)
        self._connections: dict[NodeConnection, None] = {}
        self._timer = ModelTimer(self._loop, clock, self._on_timer)
        self._serial = 0
        self._flushes = 0
        self._attempt_counts: dict[bytes, int] = {}  # by recent request: its attempts here
        self._idle_timer: asyncio.TimerHandle | None = None
        self.alive = False

    # The process

    async def start(self, cold: bool = False) -> None:
        """Start a process with an empty cache; with `cold` it is still warming up."""
        assert not self.alive
        self.model = NodeModel(self.spec, self.clock(), cold)
        self.alive = True
        await self._listeners.open(lambda delay: NodeConnection(self, delay))
        self._check_idle()

    @property
    def addresses(self) -> dict[str, Address]:
        """Addresses of the listeners, by link."""
        return self._listeners.addresses

    def take_over_addresses(self, other: NodeServer) -> None:
        """Use the addresses of another server, which has ended, when started."""
        self._listeners.adopt_addresses(other._listeners)

    def block(self, way: Way, seconds: float, links: Iterable[str] | None = None) -> None:
        """Block the given links, or all, for `seconds`; a server killed meanwhile is unresponsive."""
        self._listeners.block(way, seconds, links)

    def kill(self) -> None:
        """Kill the process: connections are reset, new ones are refused, its requests and copies are lost."""
        if not self.alive:
            return
        self.alive = False
        self._listeners.close()
        self._timer.close()
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        self.model.work.drop_all()
        for connection in list(self._connections):
            self._record_unanswered(connection, "gone")
            connection.abort()
        self._connections.clear()

    def _record_unanswered(self, connection: NodeConnection, result: str) -> None:
        for pending in connection.pending:
            if not pending.ready:
                self._record(pending, result, Fault.NONE)
        connection.abandon_unstarted(result)
        connection.pending.clear()

    def close(self) -> None:
        """Record the unfinished requests and close all sockets at the end of the run."""
        for connection in list(self._connections):
            self._record_unanswered(connection, "open")
        self.kill()
        self._listeners.end()

    # Faults, and news from the origin

    def pause(self, seconds: float) -> None:
        """Stall for `seconds`: the process stays alive and its connections stay open."""
        self._handle_finished(self.model.pause(self.clock(), seconds))
        self._set_timer()

    def drain(self, on: bool = True) -> None:
        """Reject new requests and finish the accepted ones."""
        self.model.draining = on

    def flush(self, share: float, seed: int, serial: int) -> None:
        """Drop the copies of a share of the keys, and record how many."""
        dropped = self.model.cache.flush(share, seed, serial)
        self._recorder.record(Flushed(self.name, self.clock(), dropped, len(self.model.cache)))

    def stored(self, request: bytes, key: bytes, size: int) -> None:
        """Store the object of a request that the origin answered, if the request missed here."""
        if self.alive:
            self.model.stored(self.clock(), request, key, size)

    def voided(self, key: bytes) -> None:
        """Drop the copy of a key that was written."""
        if self.alive:
            self.model.cache.invalidate(key)

    # Connections

    def opened(self, connection: NodeConnection) -> None:
        """Accept a connection, which costs work; above the limit it is reset."""
        self._connections[connection] = None
        accepted = self.model.set_connections(len(self._connections))
        self._recorder.record(ConnectionOpened(self.name, self.clock(), accepted))
        if not accepted:
            connection.abort()
            return
        handshake = Job(JobKind.HANDSHAKE, owner=connection)
        # Two round trips stand for the handshake of the kernel, which takes no time on loopback.
        call_after(self._loop, 4 * connection.delay, lambda: self._arrive(handshake))

    def closed(self, connection: NodeConnection) -> None:
        """Unregister a connection that has ended."""
        self._connections.pop(connection, None)
        self.model.set_connections(len(self._connections))

    def _check_idle(self) -> None:
        self._idle_timer = self._loop.call_later(IDLE_CHECK_S, self._check_idle)
        now = self.clock()
        if self.model.work.paused(now):
            return
        for connection in list(self._connections):
            if (
                not connection.pending
                and now - connection.idle_since > self.spec.idle_s
                and connection.transport
            ):
                connection.transport.close()

    # Requests

    def record_violation(self, text: str) -> None:
        """Record input that no router may send."""
        self._recorder.record(ProtocolViolation(self.name, self.clock(), text))

    def command(
        self, connection: NodeConnection, words: list[bytes], times: CommandTimes, first: bool
    ) -> None:
        """Handle a complete command; `first` is whether it is the first on its connection."""
        job = self._parse_command(words)
        if isinstance(job, bytes):
            pending = PendingAnswer(connection, Job(JobKind.PROBE), times, first, data=job, ready=True)
            connection.pending.append(pending)
            if job.startswith(b"-"):
                self.record_violation(job.decode().strip())
            call_after(self._loop, 2 * connection.delay, connection.flush)
            return
        pending = PendingAnswer(connection, job, times, first)
        job.owner = pending
        connection.pending.append(pending)
        call_after(self._loop, connection.delay, lambda: self._arrive(job))

    def record_unstarted(self, words: list[bytes], times: CommandTimes, result: str) -> None:
        """Record a command that still waited for the handshake when the process ended."""
        job = self._parse_command(words)
        if isinstance(job, Job) and job.kind is not JobKind.PROBE:
            self._serial += 1
            request_id = job.id.decode()
            ended = self.clock()
            self._recorder.record(
                Attempt(
                    request_id,
                    self.name,
                    times.at,
                    result,
                    ended,
                    self._serial,
                    first_on_connection=True,
                    held_since=times.held_since,
                    arrived=times.arrived,
                )
            )

    def _parse_command(self, words: list[bytes]) -> Job | bytes:
        """Return the job of a command, or the answer to a command that is no job."""
        name = words[0].upper()
        if name == b"PING" and len(words) == 1:
            return Job(JobKind.PROBE)
        if name == b"INFO" and len(words) == 2 and words[1].lower() == b"load":
            return Job(JobKind.PROBE, id=b"load")
        if name in (b"CLIENT", b"SELECT"):
            return b"+OK\r\n"
        if name not in (b"KV.GET", b"KV.SET"):
            return b"-ERR unknown command\r\n"
        try:
            command = parse_request(words)
            work = self.workload.work(command.info.class_name, command.id, self.name)
        except (ValueError, KeyError) as error:
            return b"-SYNTAX %b\r\n" % str(error).encode()
        kind = JobKind.READ if command.value is None else JobKind.WRITE
        return Job(kind, command.id, command.key, work, self.workload.bytes_of(command.key))

    def _arrive(self, job: Job) -> None:
        if self.alive:
            self._handle_finished(self.model.arrive(self.clock(), job))
            self._set_timer()

    def _on_timer(self) -> None:
        if self.alive:
            self._handle_finished(self.model.advance(self.clock()))
            self._set_timer()

    def _set_timer(self) -> None:
        crash = self.model.crash
        if crash is not None and self.alive:
            self._recorder.record(WarmUpCrash(self.name, crash.at, crash.sent, crash.limit))
            self.kill()
        elif self.alive:
            self._timer.set(self.model.next_due())

    def _handle_finished(self, finished: list[FinishedJob]) -> None:
        for finished_job in finished:
            owner = finished_job.job.owner
            if isinstance(owner, NodeConnection):
                owner.on_handshake_done()
            elif isinstance(owner, PendingAnswer):
                self._answer(owner, finished_job)

    def _answer(self, pending: PendingAnswer, finished_job: FinishedJob) -> None:
        job = pending.job
        report = self.model.report(finished_job.at)
        load = self._format_report(report.latency_ms, report.queue)
        fault = Fault.NONE
        if finished_job.result is JobResult.BUSY:
            pending.data = b"-BUSY %b\r\n" % load
        elif job.kind is JobKind.PROBE:
            pending.data = b"$%d\r\n%b\r\n" % (len(load), load) if job.id else b"+PONG\r\n"
        else:
            count = self._attempt_counts[job.id] = self._attempt_counts.pop(job.id, 0) + 1
            if len(self._attempt_counts) > MAX_COUNTED_REQUESTS:
                del self._attempt_counts[next(iter(self._attempt_counts))]
            fault = self.shares.draw(self.workload.seed, self.name, job.id, count)
            result_and_load = b"$%d\r\n%b\r\n$%d\r\n%b\r\n" % (
                len(finished_job.result.value),
                finished_job.result.value.encode(),
                len(load),
                load,
            )
            if fault is Fault.GARBLE:
                pending.data = MALFORMED_RESP[self._serial % len(MALFORMED_RESP)]
            elif finished_job.result is JobResult.HIT:
                value = make_value(job.id, job.key, self.name, self._serial + 1, job.size)
                pending.data = b"*3\r\n$%d\r\n%b\r\n%b" % (len(value), value, result_and_load)
            else:
                pending.data = b"*3\r\n$-1\r\n" + result_and_load
        pending.fault, pending.ready = fault, True
        if job.kind is not JobKind.PROBE:
            self._record(
                pending,
                finished_job.result.value,
                fault,
                finished_job.missing.value if finished_job.missing else "",
            )
        if fault is not Fault.SILENCE:
            call_after(self._loop, pending.connection.delay, pending.connection.flush)
        else:
            pending.ready = False  # later answers of the connection are held back as well

    def _record(self, pending: PendingAnswer, result: str, fault: Fault, missing: str = "") -> None:
        if pending.job.kind is JobKind.PROBE or pending.recorded:
            return
        pending.recorded = True
        self._serial += 1
        self._recorder.record(
            Attempt(
                pending.job.id.decode(),
                self.name,
                pending.times.at,
                result,
                self.clock(),
                self._serial,
                fault=fault.value,
                missing=missing,
                first_on_connection=pending.first_on_connection,
                work=pending.job.work,
                held_since=pending.times.held_since,
                arrived=pending.times.arrived,
            )
        )
