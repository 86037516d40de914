"""The sockets of the emulated origin: HTTP/1.1 to its model (PROTOCOL, "Routers to cache servers")."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import cast
from urllib.parse import unquote_to_bytes

from holdgw.emulators.fault_proxy import Way
from holdgw.emulators.faults import MALFORMED_HTTP, Fault, FaultShares
from holdgw.emulators.listeners import Clock, Host, Listeners, ModelTimer, call_after, reset_connection
from holdgw.emulators.node import Workload, make_value
from holdgw.emulators.origin_model import FinishedOriginJob, OriginJob, OriginModel, OriginResult, OriginSpec
from holdgw.emulators.records import Attempt, ProtocolViolation, Recorder
from holdgw.emulators.seeded_draws import lognormal, unit
from holdgw.wire.address import Address
from holdgw.wire.http import HttpError, HttpRequest, RequestReader, response
from holdgw.wire.unread import arrived_at

MAX_BODY_BYTES = 64 << 10


class OriginServerConnection(asyncio.Protocol):
    """A connection of one router; one request at a time."""

    def __init__(self, server: OriginServer, delay: float) -> None:
        self.server, self.delay = server, delay
        self.transport: asyncio.Transport | None = None
        self.job: OriginJob | None = None
        self.at = 0.0
        self.held_since = 0.0  # when the bytes being read were sent, if a blocked link delayed them
        self.request_held_since = self.request_arrived = 0.0
        self.first_on_connection = True
        self.closed = False
        self._reader = RequestReader(MAX_BODY_BYTES)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        self.transport = cast(asyncio.Transport, transport)
        self.server.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection; the origin still executes its request, without an answer."""
        self.closed = True
        self.server.closed(self)

    def data_received(self, data: bytes) -> None:
        """Handle a complete request."""
        try:
            for request in self._reader.read(data):
                if self.job is not None:
                    raise HttpError("a second request before the first one's answer")
                self.server.request(self, request)
        except HttpError as error:
            self.server.record_violation(str(error))
            self.abort()

    def write(self, data: bytes) -> None:
        """Write an answer after the delay of the link."""

        def write_now() -> None:
            if self.transport is not None and not self.closed:
                self.transport.write(data)

        call_after(self.server.loop, self.delay, write_now)

    def abort(self) -> None:
        """Reset the connection."""
        reset_connection(self.transport)


class OriginServer:
    """The emulated origin: slow, shared by all routers, and the only server that executes writes."""

    def __init__(
        self,
        name: str,
        spec: OriginSpec,
        workload: Workload,
        dedup_windows: dict[str, float],
        host: Host,
        recorder: Recorder,
        clock: Clock,
    ) -> None:
        self.name, self.spec, self.workload, self.clock = name, spec, workload, clock
        self.loop = asyncio.get_running_loop()
        self.shares = FaultShares()
        self.error_share = 0.0
        self.model = OriginModel(spec, clock())
        self._dedup_windows = dedup_windows  # by request class, seconds
        self._recorder = recorder
        self._listeners = Listeners(host, clock)
        self._connections: dict[OriginServerConnection, None] = {}
        self._timer = ModelTimer(self.loop, clock, self._on_timer)
        self._serial = 0

    async def start(self) -> None:
        """Accept connections."""
        if not self._listeners.is_open:
            await self._listeners.open(lambda delay: OriginServerConnection(self, delay))

    @property
    def addresses(self) -> dict[str, Address]:
        """Addresses of the listeners, by link."""
        return self._listeners.addresses

    def down(self) -> None:
        """Refuse connections and lose all requests; idempotency keys are kept."""
        self._listeners.close()
        for job in self.model.crash():
            connection = job.owner
            if isinstance(connection, OriginServerConnection):
                self._record(connection, job, "gone")
                connection.job = None
        for connection in list(self._connections):
            connection.abort()
        self._connections.clear()

    def close(self) -> None:
        """Record the unfinished requests and close all sockets at the end of the run."""
        for connection in self._connections:
            if connection.job is not None:
                self._record(connection, connection.job, "open")
                connection.job = None
        self.down()
        self._listeners.end()
        self._timer.close()

    def block(self, way: Way, seconds: float, links: Iterable[str] | None = None) -> None:
        """Block the given links, or all, for `seconds`."""
        self._listeners.block(way, seconds, links)

    def slow(self, factor: float) -> None:
        """Make each request take `factor` times its usual time."""
        self._handle_finished(self.model.slow(self.clock(), factor))
        self._timer.set(self.model.next_due())

    def opened(self, connection: OriginServerConnection) -> None:
        """Accept a connection; above the limit it is reset."""
        self._connections[connection] = None
        if len(self._connections) > self.spec.connections:
            connection.abort()

    def closed(self, connection: OriginServerConnection) -> None:
        """Unregister a connection that has ended."""
        self._connections.pop(connection, None)

    def record_violation(self, text: str) -> None:
        """Record input that no router may send."""
        self._recorder.record(ProtocolViolation(self.name, self.clock(), text))

    def request(self, connection: OriginServerConnection, request: HttpRequest) -> None:
        """Handle a complete request."""
        connection.at, connection.request_held_since = self.clock(), connection.held_since
        connection.request_arrived = arrived_at(connection.transport, connection.at)
        job = self._parse_request(request)
        if job is None:
            connection.write(response(400))
            return
        job.owner = connection
        connection.job = job
        call_after(self.loop, connection.delay, lambda: self._arrive(job))

    def _parse_request(self, request: HttpRequest) -> OriginJob | None:
        if request.method == b"GET" and request.target in (b"/health/live", b"/stats"):
            return OriginJob(b"", b"", probe=True, work=self.spec.read_s / 20)
        name = request.headers.get(b"request-id", b"")
        info = dict(
            part.split("=", 1)
            for part in request.headers.get(b"request-info", b"").decode("latin-1").split(",")
            if "=" in part
        )
        write = request.method == b"PUT"
        request_class = info.get("c", "")
        if not name or request.method not in (b"GET", b"PUT") or request_class not in self.workload.classes:
            self.record_violation(
                f"{request.method.decode('latin-1')} without an id, or of class {request_class!r}"
            )
            return None
        key = unquote_to_bytes(request.target[1:])
        mean = self.spec.write_s if write else self.spec.read_s
        work = lognormal(unit(self.workload.seed, "store", name), mean, self.spec.cv)
        fails = bool(self.error_share) and unit(self.workload.seed, "error", name) < self.error_share
        dedup_window = self._dedup_windows.get(request_class, 0.0)
        idempotency = info.get("k", "").encode() if write else b""
        return OriginJob(name, key, write, idempotency, dedup_window, work, fails)

    def _arrive(self, job: OriginJob) -> None:
        if self._listeners.is_open:
            self._handle_finished(self.model.arrive(self.clock(), job))
            self._timer.set(self.model.next_due())

    def _on_timer(self) -> None:
        self._handle_finished(self.model.advance(self.clock()))
        self._timer.set(self.model.next_due())

    def _handle_finished(self, finished: list[FinishedOriginJob]) -> None:
        for finished_job in finished:
            connection = finished_job.job.owner
            if isinstance(connection, OriginServerConnection):
                self._answer(connection, finished_job)

    def _answer(self, connection: OriginServerConnection, finished_job: FinishedOriginJob) -> None:
        job = finished_job.job
        connection.job = None
        if job.probe:
            connection.write(response(200, b"queue=%d" % self.model.held))
            return
        fault = Fault.NONE
        if finished_job.result is not OriginResult.BUSY:
            fault = self.shares.draw(self.workload.seed, self.name, job.id, 0)
        self._record(connection, job, finished_job.result.value, fault, finished_job.effect)
        if finished_job.effect:
            self._recorder.voided(job.key)
        if fault is Fault.RESET:
            connection.abort()
        elif fault is Fault.GARBLE:
            connection.write(MALFORMED_HTTP[self._serial % len(MALFORMED_HTTP)])
        elif fault is Fault.SILENCE:
            pass
        elif finished_job.result is OriginResult.BUSY:
            connection.write(response(503, headers=b"Not-Started: 1\r\n"))
        elif finished_job.result is OriginResult.FAILED:
            connection.write(response(500))
        else:
            size = 48 if job.write else self.workload.bytes_of(job.key)
            connection.write(response(200, make_value(job.id, job.key, self.name, self._serial, size)))
            if not job.write and not connection.closed:
                self._recorder.stored(job.id, job.key, size)

    def _record(
        self,
        connection: OriginServerConnection,
        job: OriginJob,
        result: str,
        fault: Fault = Fault.NONE,
        effect: bool = False,
    ) -> None:
        if job.probe:
            return
        self._serial += 1
        first_on_connection, connection.first_on_connection = connection.first_on_connection, False
        self._recorder.record(
            Attempt(
                job.id.decode("latin-1"),
                self.name,
                connection.at,
                result,
                self.clock(),
                self._serial,
                fault=fault.value,
                effect=effect,
                idempotency=job.idempotency.decode("latin-1"),
                first_on_connection=first_on_connection,
                work=job.work,
                held_since=connection.request_held_since,
                arrived=connection.request_arrived,
            )
        )
