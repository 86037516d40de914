"""The emulated clients: send the scheduled requests over real connections, with timeouts and client retries.

A connection carries one request at a time. Idle connections are kept in a pool, and more are opened when all
are busy.
"""

from __future__ import annotations

import asyncio
from typing import cast

import hiredis

from holdgw.emulators.listeners import Clock
from holdgw.emulators.records import ClientRequest, ExtraAnswer, Recorder
from holdgw.harness.channel import ClientCounts
from holdgw.harness.checker import SLACK_S
from holdgw.harness.scenario import router_names
from holdgw.harness.schedule import PRELUDE, Schedule, ScheduledRequest, idempotency_key, request_id
from holdgw.harness.topology import zone_of_router
from holdgw.wire.address import Address
from holdgw.wire.resp import command

MAX_IDLE_CONNECTIONS = 64  # of one worker to one router
CONNECT_TIMEOUT_S = 0.5
MIN_ATTEMPT_TIME_S = 0.02  # with less time left before the deadline a client does not retry
WRITE_VALUE = b"w" * 256


class ClientConnection(asyncio.Protocol):
    """One connection to a router."""

    def __init__(self, router: str) -> None:
        self.router = router
        self.transport: asyncio.Transport | None = None
        self.attempt: ClientAttempt | None = None
        self.requests_sent = 0
        self.lost = False
        self.last_attempt: ClientAttempt | None = None
        self._reader = hiredis.Reader(replyError=ReplyError)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Read replies; an unexpected one is a second reply to the last request."""
        try:
            self._reader.feed(data)
            while (reply := self._reader.gets()) is not False:
                attempt, self.attempt = self.attempt, None
                if attempt is None:
                    if self.last_attempt is not None:
                        self.last_attempt.on_extra_reply()
                    self.abort()
                    return
                self.last_attempt = attempt
                attempt.on_reply(reply)
        except hiredis.HiredisError:
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection to the client attempt that was open on it."""
        self.lost = True
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            attempt.on_disconnect()

    def abort(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()


class ReplyError(Exception):
    """An error reply of a router, with its text."""


class ClientAttempt:
    """One request to one router: the first for a scheduled request, or a client retry.

    Args:
        clients: The clients that it belongs to.
        request: The scheduled request.
        number: 0 for the first, the number of the client retry for the others.
        deadline: When the client gives up, on the clients' clock.
    """

    def __init__(self, clients: Clients, request: ScheduledRequest, number: int, deadline: float) -> None:
        self.clients, self.request, self.number, self.deadline = clients, request, number, deadline
        self.id = request_id(clients.schedule.seed, request.number, number)
        cls = clients.schedule.scenario.classes[request.request_class]
        self.wait = min(cls.give_up_ms / 1000 * request.abandon_after_share, deadline - clients.clock())
        self.sent = 0.0
        self.crossed = 0.0
        self.connection: ClientConnection | None = None
        self.record: ClientRequest | None = None
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Send the request on an idle connection, or open a connection for it."""
        self.sent = self.clients.clock()
        router = self.clients.choose_router(self.request, self.number)
        if router is None:
            self.finish("unsent")
            return
        connection = None if self.request.new_connection else self.clients.take_idle(router)
        if connection is not None:
            self._send(connection)
        else:
            self.clients.connect(router, self)

    def on_connected(self, connection: ClientConnection | None) -> None:
        """Send the request on the new connection; None: the connection could not be opened."""
        if connection is None:
            self.finish("unsent")
        else:
            self._send(connection)

    def _send(self, connection: ClientConnection) -> None:
        assert connection.transport is not None
        request, clients = self.request, self.clients
        scenario = clients.schedule.scenario
        cls = scenario.classes[request.request_class]
        tenant = scenario.tenants[request.tenant].name
        if not self.crossed:
            self.sent = clients.clock()
        info = f"c={cls.name},t={tenant},d={max(int(self.wait * 1000), 1)}"
        fields = [b"KV.GET", request.key, self.id.encode()]
        if cls.effect != "safe":
            fields[0] = b"KV.SET"
            if cls.effect == "keyed":
                info += f",k={idempotency_key(clients.schedule.seed, request.number)}"
        fields.append(info.encode())
        if cls.effect != "safe":
            fields.append(WRITE_VALUE)
        connection.attempt, self.connection = self, connection
        connection.requests_sent += 1
        connection.transport.write(command(*fields))
        if self._timer is None:
            disconnect_share = request.disconnect_after_share if self.number == 0 else 1.0
            if disconnect_share < 1.0:
                self._timer = clients.loop.call_later(self.wait * disconnect_share, self._disconnect)
            else:
                self._timer = clients.loop.call_later(self.wait + SLACK_S, self._time_out)

    def _disconnect(self) -> None:
        self._abort_connection()
        self.finish("left")

    def _time_out(self) -> None:
        self._abort_connection()
        self.finish("none")

    def _abort_connection(self) -> None:
        if self.connection is not None:
            self.connection.attempt = None
            self.connection.abort()

    def on_reply(self, reply: object) -> None:
        """Take a complete reply, and return the connection to the pool."""
        connection = self.connection
        if connection is not None and not connection.lost:
            if self.request.new_connection:
                connection.abort()
            else:
                self.clients.release(connection)
        if isinstance(reply, list) and reply:
            reply = reply[0]
        if isinstance(reply, bytes):
            self._on_value(reply)
        elif isinstance(reply, ReplyError) and str(reply).startswith("BUSY"):
            fields = str(reply).split()
            retry_after = int(fields[1]) / 1000 if len(fields) > 1 and fields[1].isdigit() else -1.0
            self.finish("refused", retry_after=retry_after)
        else:
            self.finish("failed")

    def _on_value(self, value: bytes) -> None:
        fields = value.split(b" ", 4)
        if (
            len(fields) < 5
            or fields[0] != self.id.encode()
            or fields[1] != self.request.key
            or not fields[3].isdigit()
        ):
            self.finish("served", fault=f"value begins with {value[:40]!r}")
        else:
            self.finish("served", server=fields[2].decode("latin-1"), serial=int(fields[3]))

    def on_disconnect(self) -> None:
        """Take the end of the connection before a complete reply."""
        connection = self.connection
        if connection is not None and connection.requests_sent > 1 and not self.crossed:
            # The router may have closed the idle connection as the request was sent: send it once more, on a
            # new connection.
            self.crossed = self.clients.clock()
            self.clients.connect(connection.router, self)
            return
        self.finish("cut")

    def on_extra_reply(self) -> None:
        """Record a second reply to this request."""
        router = self.connection.router if self.connection is not None else ""
        self.clients.recorder.record(ExtraAnswer(self.id, router, self.clients.clock()))

    def finish(
        self, answer: str, server: str = "", serial: int = -1, fault: str = "", retry_after: float = -1.0
    ) -> None:
        """Record the client attempt with its answer; only the first call counts.

        Args:
            answer: As in `ClientRequest.answer`.
            server: The server whose value was received.
            serial: The serial number of the server's answer; -1 without one.
            fault: What is wrong with the value.
            retry_after: Seconds of the router's Retry-After; -1 without one.
        """
        if self._timer is not None:
            self._timer.cancel()
        if self.record is not None:
            return
        self.record = ClientRequest(
            self.id,
            self.request.number,
            self.number,
            self.connection.router if self.connection is not None else "",
            self.sent,
            self.wait,
            answer,
            self.clients.clock(),
            server=server,
            serial=serial,
            fault=fault,
            retry_after=retry_after,
            crossed=self.crossed,
        )
        self.clients.on_attempt_finished(self, self.record)


class Clients:
    """The clients of one worker: the scheduled requests whose number modulo `count` is `index`."""

    def __init__(self, schedule: Schedule, index: int, count: int, recorder: Recorder, clock: Clock) -> None:
        self.schedule, self.clock, self.loop = schedule, clock, asyncio.get_running_loop()
        self.tally = ClientCounts()
        self.unfinished = 0  # requests that were started and have no outcome yet
        self._requests = [request for request in schedule.requests if request.number % count == index]
        self._next_index = 0
        self.recorder = recorder
        self._begun = 0.0
        self._routers: dict[str, Address] = {}
        self._up: set[str] = set()
        self._idle: dict[str, list[ClientConnection]] = {}
        self._connecting: dict[asyncio.Task[None], None] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._zone = {
            name: zone_of_router(schedule.scenario, name) for name in router_names(schedule.scenario.fleet)
        }

    def routers(self, addresses: dict[str, Address]) -> None:
        """Take over the addresses of routers."""
        self._routers.update(addresses)

    def front(self, router: str, up: bool) -> None:
        """Take over whether the front layer sends new connections to a router."""
        (self._up.add if up else self._up.discard)(router)

    def begin(self, at: float) -> None:
        """Start sending: second 0 of the run is at `at`, and the prelude's requests come before it."""
        self._begun = at
        self._start_due()

    @property
    def done(self) -> bool:
        """Whether all requests have been sent and have their outcomes."""
        return self._next_index >= len(self._requests) and not self.unfinished

    def _start_due(self) -> None:
        now = self.clock() - self._begun
        requests = self._requests
        while self._next_index < len(requests) and requests[self._next_index].at <= now:
            request = requests[self._next_index]
            self._next_index += 1
            self.unfinished += 1
            counts = request.source != PRELUDE
            self.tally.asked += counts
            cls = self.schedule.scenario.classes[request.request_class]
            ClientAttempt(self, request, 0, self._begun + request.at + cls.give_up_ms / 1000).start()
        if self._next_index < len(requests):
            self._timer = self.loop.call_later(max(requests[self._next_index].at - now, 0.0), self._start_due)

    def choose_router(self, request: ScheduledRequest, number: int) -> str | None:
        """Return the router for a client attempt, None if no router is up.

        That is the hot caller's own router, else one in the client's zone, else any.
        """
        if request.router and request.router in self._up:
            return request.router
        same_zone = [name for name in sorted(self._up) if self._zone[name] == request.zone]
        candidates = same_zone or sorted(self._up)
        if not candidates:
            return None
        return candidates[(int(request.spread * len(candidates)) + number) % len(candidates)]

    def take_idle(self, router: str) -> ClientConnection | None:
        """Take the most recently used idle connection out of the pool; None if there is none."""
        idle_connections = self._idle.get(router, [])
        while idle_connections:
            connection = idle_connections.pop()
            if not connection.lost:
                return connection
        return None

    def release(self, connection: ClientConnection) -> None:
        """Return a connection to the pool, or close it if the pool is full."""
        idle_connections = self._idle.setdefault(connection.router, [])
        if len(idle_connections) < MAX_IDLE_CONNECTIONS:
            idle_connections.append(connection)
        else:
            connection.abort()

    def connect(self, router: str, attempt: ClientAttempt) -> None:
        """Open a connection for a client attempt."""
        task = self.loop.create_task(self._connect(router, attempt))
        self._connecting[task] = None
        task.add_done_callback(lambda done: self._connecting.pop(done, None))

    async def _connect(self, router: str, attempt: ClientAttempt) -> None:
        connection: ClientConnection | None = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await self.loop.create_connection(
                    lambda: ClientConnection(router), *self._routers[router]
                )
        except (OSError, TimeoutError):
            pass
        if connection is not None and connection.lost:
            connection = None  # closed between the handshake and here
        if attempt.record is None:
            attempt.on_connected(connection)
        elif connection is not None:
            connection.abort()

    def on_attempt_finished(self, attempt: ClientAttempt, record: ClientRequest) -> None:
        """Schedule a client retry after its backoff, or count the request's outcome."""
        self.recorder.record(record)
        request, now = attempt.request, self.clock()
        clients = self.schedule.scenario.clients
        retryable = (
            record.answer in ("refused", "failed", "none", "cut", "unsent")
            and attempt.number < clients.retries
        )
        if retryable and request.source != PRELUDE:
            low, high = (one / 1000 for one in clients.backoff_ms)
            wait = (low + request.backoff * (high - low)) * 2**attempt.number
            if record.retry_after > 0 and request.honours_retry_after:
                wait = max(wait, record.retry_after)
            if now + wait + MIN_ATTEMPT_TIME_S < attempt.deadline:
                next_attempt = ClientAttempt(self, request, attempt.number + 1, attempt.deadline)
                self.loop.call_later(wait, self._retry, next_attempt)
                return
        self.unfinished -= 1
        if request.source == PRELUDE:
            return
        cls = self.schedule.scenario.classes[request.request_class]
        if record.answer == "served":
            self.tally.served += 1
            self.tally.in_aim += now - self._begun - request.at <= cls.aim_ms / 1000
        elif record.answer == "refused":
            self.tally.refused += 1
        else:
            self.tally.failed += 1

    def _retry(self, next_attempt: ClientAttempt) -> None:
        cls = self.schedule.scenario.classes[next_attempt.request.request_class]
        next_attempt.wait = min(
            cls.give_up_ms / 1000 * next_attempt.request.abandon_after_share,
            next_attempt.deadline - self.clock(),
        )
        next_attempt.start()

    def close(self) -> None:
        """Cancel what is still to be sent and close all idle connections."""
        if self._timer is not None:
            self._timer.cancel()
        for connect in list(self._connecting):
            connect.cancel()
        for idle_connections in self._idle.values():
            for connection in idle_connections:
                connection.abort()
