"""The package store's sockets: HTTP/1.1 in front of its model (PROTOCOL, "Routers to cache servers")."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import cast
from urllib.parse import unquote_to_bytes

from holdgw.emulators.fault_proxy import Way
from holdgw.emulators.faults import HTTP_NOISE, Fault, Shares
from holdgw.emulators.listeners import Alarm, Clock, Host, Listeners, after, reset
from holdgw.emulators.node import Workload, made_for
from holdgw.emulators.origin_model import Answer, Filled, Order, OriginModel, OriginSpec
from holdgw.emulators.records import Attempt, Odd, Witness
from holdgw.emulators.seeded_draws import lognormal, unit
from holdgw.wire.address import Address
from holdgw.wire.http import HttpError, HttpRequest, RequestReader, response
from holdgw.wire.unread import arrived_at

MAX_BODY = 64 << 10


class OriginServerConnection(asyncio.Protocol):
    """One router's connection; a request at a time."""

    def __init__(self, store: OriginServer, delay: float) -> None:
        self.store, self.delay = store, delay
        self.transport: asyncio.Transport | None = None
        self.order: Order | None = None
        self.at = 0.0
        self.left = 0.0  # when what comes now was sent, where a cut line held it back
        self.left_at = self.arrived_at = 0.0
        self.fresh = True
        self.gone = False
        self._reader = RequestReader(MAX_BODY)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self.transport = cast(asyncio.Transport, transport)
        self.store.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """What was asked here goes on; nobody hears of it."""
        self.gone = True
        self.store.closed(self)

    def data_received(self, data: bytes) -> None:
        """Take a whole request."""
        try:
            for request in self._reader.read(data):
                if self.order is not None:
                    raise HttpError("a second request before the first one's answer")
                self.store.request(self, request)
        except HttpError as error:
            self.store.odd(str(error))
            self.abort()

    def write(self, data: bytes) -> None:
        """Answer, after the line's delay."""

        def now() -> None:
            if self.transport is not None and not self.gone:
                self.transport.write(data)

        after(self.store.loop, self.delay, now)

    def abort(self) -> None:
        """Reset."""
        reset(self.transport)


class OriginServer:
    """The package store: slow, shared, and the only place where effects happen."""

    def __init__(
        self,
        name: str,
        spec: OriginSpec,
        workload: Workload,
        windows: dict[str, float],
        host: Host,
        witness: Witness,
        clock: Clock,
    ) -> None:
        self.name, self.spec, self.workload, self.clock = name, spec, workload, clock
        self.loop = asyncio.get_running_loop()
        self.shares = Shares()
        self.error_share = 0.0
        self.model = OriginModel(spec, clock())
        self._windows = windows  # class -> seconds for which repeats of its writes are dropped
        self._witness = witness
        self._listeners = Listeners(host, clock)
        self._connections: dict[OriginServerConnection, None] = {}
        self._alarm = Alarm(self.loop, clock, self._rings)
        self._serial = 0

    async def start(self) -> None:
        """Take connections."""
        if not self._listeners.is_open:
            await self._listeners.open(lambda delay: OriginServerConnection(self, delay))

    @property
    def addresses(self) -> dict[str, Address]:
        """Where it listens, by the zone of who connects."""
        return self._listeners.addresses

    def down(self) -> None:
        """Out of reach, with all it had in work; what it remembers of writes stays."""
        self._listeners.close()
        for order in self.model.die():
            connection = order.owner
            if isinstance(connection, OriginServerConnection):
                self._record(connection, order, "gone")
                connection.order = None
        for connection in list(self._connections):
            connection.abort()
        self._connections.clear()

    def close(self) -> None:
        """The day is over."""
        for connection in self._connections:
            if connection.order is not None:
                self._record(connection, connection.order, "open")
                connection.order = None
        self.down()
        self._listeners.end()
        self._alarm.close()

    def block(self, way: Way, seconds: float, lines: Iterable[str] | None = None) -> None:
        """Cut lines to it, or all of them, for so long."""
        self._listeners.block(way, seconds, lines)

    def slow(self, factor: float) -> None:
        """Everything takes so many times as long."""
        self._ended(self.model.slow(self.clock(), factor))
        self._alarm.set(self.model.next_due())

    def opened(self, connection: OriginServerConnection) -> None:
        """A connection came up; one too many is reset."""
        self._connections[connection] = None
        if len(self._connections) > self.spec.connections:
            connection.abort()

    def closed(self, connection: OriginServerConnection) -> None:
        """A connection is gone."""
        self._connections.pop(connection, None)

    def odd(self, text: str) -> None:
        """Something came that no router should send."""
        self._witness.saw(Odd(self.name, self.clock(), text))

    def request(self, connection: OriginServerConnection, request: HttpRequest) -> None:
        """One request is whole."""
        connection.at, connection.left_at = self.clock(), connection.left
        connection.arrived_at = arrived_at(connection.transport, connection.at)
        order = self._order(request)
        if order is None:
            connection.write(response(400))
            return
        order.owner = connection
        connection.order = order
        after(self.loop, connection.delay, lambda: self._arrive(order))

    def _order(self, request: HttpRequest) -> Order | None:
        if request.method == b"GET" and request.target in (b"/health/live", b"/stats"):
            return Order(b"", b"", probe=True, work=self.spec.read_s / 20)
        name = request.headers.get(b"request-id", b"")
        info = dict(
            part.split("=", 1)
            for part in request.headers.get(b"request-info", b"").decode("latin-1").split(",")
            if "=" in part
        )
        write = request.method == b"PUT"
        request_class = info.get("c", "")
        if not name or request.method not in (b"GET", b"PUT") or request_class not in self.workload.classes:
            self.odd(f"{request.method.decode('latin-1')} without an id, or of class {request_class!r}")
            return None
        key = unquote_to_bytes(request.target[1:])
        mean = self.spec.write_s if write else self.spec.read_s
        work = lognormal(unit(self.workload.seed, "store", name), mean, self.spec.cv)
        fails = bool(self.error_share) and unit(self.workload.seed, "error", name) < self.error_share
        window = self._windows.get(request_class, 0.0)
        idempotency = info.get("k", "").encode() if write else b""
        return Order(name, key, write, idempotency, window, work, fails)

    def _arrive(self, order: Order) -> None:
        if self._listeners.is_open:
            self._ended(self.model.arrive(self.clock(), order))
            self._alarm.set(self.model.next_due())

    def _rings(self) -> None:
        self._ended(self.model.advance(self.clock()))
        self._alarm.set(self.model.next_due())

    def _ended(self, filled: list[Filled]) -> None:
        for end in filled:
            connection = end.order.owner
            if isinstance(connection, OriginServerConnection):
                self._answer(connection, end)

    def _answer(self, connection: OriginServerConnection, end: Filled) -> None:
        order = end.order
        connection.order = None
        if order.probe:
            connection.write(response(200, b"queue=%d" % self.model.held))
            return
        fault = Fault.NONE
        if end.answer is not Answer.BUSY:
            fault = self.shares.of(self.workload.seed, self.name, order.id, 0)
        self._record(connection, order, end.answer.value, fault, end.effect)
        if end.effect:
            self._witness.voided(order.key)
        if fault is Fault.RESET:
            connection.abort()
        elif fault is Fault.GARBLE:
            connection.write(HTTP_NOISE[self._serial % len(HTTP_NOISE)])
        elif fault is Fault.SILENCE:
            pass
        elif end.answer is Answer.BUSY:
            connection.write(response(503, headers=b"Not-Started: 1\r\n"))
        elif end.answer is Answer.FAILED:
            connection.write(response(500))
        else:
            size = 48 if order.write else self.workload.bytes_of(order.key)
            connection.write(response(200, made_for(order.id, order.key, self.name, self._serial, size)))
            if not order.write and not connection.gone:
                self._witness.stored(order.id, order.key, size)

    def _record(
        self,
        connection: OriginServerConnection,
        order: Order,
        result: str,
        fault: Fault = Fault.NONE,
        effect: bool = False,
    ) -> None:
        if order.probe:
            return
        self._serial += 1
        fresh, connection.fresh = connection.fresh, False
        self._witness.saw(
            Attempt(
                order.id.decode("latin-1"),
                self.name,
                connection.at,
                result,
                self.clock(),
                self._serial,
                fault=fault.value,
                effect=effect,
                idempotency=order.idempotency.decode("latin-1"),
                fresh=fresh,
                work=order.work,
                left=connection.left_at,
                came=connection.arrived_at,
            )
        )
