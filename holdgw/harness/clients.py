"""The clients: drawn asks as requests on real connections, with time-outs, retries and impatience.

A connection carries one request at a time; a client keeps its connections and opens more when all are busy.
"""

from __future__ import annotations

import asyncio
from typing import cast

import hiredis

from holdgw.emulators.listeners import Clock
from holdgw.emulators.records import Extra, Try, Witness
from holdgw.harness.channel import ClientCounts
from holdgw.harness.checker import SLACK_S
from holdgw.harness.scenario import router_names
from holdgw.harness.schedule import PRELUDE, Schedule, ScheduledRequest, idempotency_key, request_id
from holdgw.harness.topology import zone_of_router
from holdgw.wire.address import Address
from holdgw.wire.resp import command

IDLE_KEPT = 64  # connections to one router that one worker keeps
DIAL_S = 0.5
LEAST_TRY_S = 0.02  # with less time left no further try is made
WRITE_VALUE = b"w" * 256


class ClientConnection(asyncio.Protocol):
    """One connection to a router."""

    def __init__(self, router: str) -> None:
        self.router = router
        self.transport: asyncio.Transport | None = None
        self.attempt: AttemptAbandoned | None = None
        self.used = 0
        self.lost = False
        self.last: AttemptAbandoned | None = None
        self._reader = hiredis.Reader(replyError=RefusalError)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Read an answer; what comes unasked for is a second answer to the last request."""
        try:
            self._reader.feed(data)
            while (reply := self._reader.gets()) is not False:
                attempt, self.attempt = self.attempt, None
                if attempt is None:
                    if self.last is not None:
                        self.last.extra_answer()
                    self.abort()
                    return
                self.last = attempt
                attempt.answered(reply)
        except hiredis.HiredisError:
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """The router closed, or the client did."""
        self.lost = True
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            attempt.cut()

    def abort(self) -> None:
        """Close at once."""
        if self.transport is not None:
            self.transport.abort()


class RefusalError(Exception):
    """An error line."""


class AttemptAbandoned:
    """One try on its way."""

    def __init__(self, clients: Clients, ask: ScheduledRequest, number: int, deadline: float) -> None:
        self.clients, self.ask, self.number, self.deadline = clients, ask, number, deadline
        self.id = request_id(clients.schedule.seed, ask.number, number)
        cls = clients.schedule.scenario.classes[ask.request_class]
        self.wait = min(cls.give_up_ms / 1000 * ask.abandon_after_share, deadline - clients.clock())
        self.sent = 0.0
        self.crossed = 0.0
        self.connection: ClientConnection | None = None
        self.record: Try | None = None
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Send it on an idle connection, or dial."""
        self.sent = self.clients.clock()
        router = self.clients.choose(self.ask, self.number)
        if router is None:
            self.ended("unsent")
            return
        connection = None if self.ask.new_connection else self.clients.idle(router)
        if connection is not None:
            self._send(connection)
        else:
            self.clients.dial(router, self)

    def dialled(self, connection: ClientConnection | None) -> None:
        """The connection is up, or it never came up."""
        if connection is None:
            self.ended("unsent")
        else:
            self._send(connection)

    def _send(self, connection: ClientConnection) -> None:
        assert connection.transport is not None
        ask, clients = self.ask, self.clients
        scenario = clients.schedule.scenario
        cls = scenario.classes[ask.request_class]
        tenant = scenario.tenants[ask.tenant].name
        if not self.crossed:
            self.sent = clients.clock()
        info = f"c={cls.name},t={tenant},d={max(int(self.wait * 1000), 1)}"
        words = [b"KV.GET", ask.key, self.id.encode()]
        if cls.effect != "safe":
            words[0] = b"KV.SET"
            if cls.effect == "keyed":
                info += f",k={idempotency_key(clients.schedule.seed, ask.number)}"
        words.append(info.encode())
        if cls.effect != "safe":
            words.append(WRITE_VALUE)
        connection.attempt, self.connection = self, connection
        connection.used += 1
        connection.transport.write(command(*words))
        if self._timer is None:
            leaves = ask.disconnect_after_share if self.number == 0 else 1.0
            if leaves < 1.0:
                self._timer = clients.loop.call_later(self.wait * leaves, self._leave)
            else:
                self._timer = clients.loop.call_later(self.wait + SLACK_S, self._too_late)

    def _leave(self) -> None:
        self._drop()
        self.ended("left")

    def _too_late(self) -> None:
        self._drop()
        self.ended("none")

    def _drop(self) -> None:
        if self.connection is not None:
            self.connection.attempt = None
            self.connection.abort()

    def answered(self, reply: object) -> None:
        """A whole answer came."""
        connection = self.connection
        if connection is not None and not connection.lost:
            if self.ask.new_connection:
                connection.abort()
            else:
                self.clients.rest(connection)
        if isinstance(reply, list) and reply:
            reply = reply[0]
        if isinstance(reply, bytes):
            self._served(reply)
        elif isinstance(reply, RefusalError) and str(reply).startswith("BUSY"):
            words = str(reply).split()
            again = int(words[1]) / 1000 if len(words) > 1 and words[1].isdigit() else -1.0
            self.ended("refused", come_again=again)
        else:
            self.ended("failed")

    def _served(self, value: bytes) -> None:
        words = value.split(b" ", 4)
        if (
            len(words) < 5
            or words[0] != self.id.encode()
            or words[1] != self.ask.key
            or not words[3].isdigit()
        ):
            self.ended("served", fault=f"value begins with {value[:40]!r}")
        else:
            self.ended("served", server=words[2].decode("latin-1"), serial=int(words[3]))

    def cut(self) -> None:
        """The connection ended with no whole answer."""
        connection = self.connection
        if connection is not None and connection.used > 1 and not self.crossed:
            # The router may have closed an idle connection just then: sent once more, on a new one.
            self.crossed = self.clients.clock()
            self.clients.dial(connection.router, self)
            return
        self.ended("cut")

    def extra_answer(self) -> None:
        """One more answer came than was asked for."""
        router = self.connection.router if self.connection is not None else ""
        self.clients.witness.saw(Extra(self.id, router, self.clients.clock()))

    def ended(
        self, answer: str, server: str = "", serial: int = -1, fault: str = "", come_again: float = -1.0
    ) -> None:
        """The try is over; the ask may go on."""
        if self._timer is not None:
            self._timer.cancel()
        if self.record is not None:
            return
        self.record = Try(
            self.id,
            self.ask.number,
            self.number,
            self.connection.router if self.connection is not None else "",
            self.sent,
            self.wait,
            answer,
            self.clients.clock(),
            server=server,
            serial=serial,
            fault=fault,
            come_again=come_again,
            crossed=self.crossed,
        )
        self.clients.over(self, self.record)


class Clients:
    """A part of all clients: the asks whose number fits."""

    def __init__(self, day: Schedule, index: int, count: int, witness: Witness, clock: Clock) -> None:
        self.schedule, self.clock, self.loop = day, clock, asyncio.get_running_loop()
        self.tally = ClientCounts()
        self.open = 0  # asks that are not over
        self._asks = [ask for ask in day.requests if ask.number % count == index]
        self._next = 0
        self.witness = witness
        self._begun = 0.0
        self._routers: dict[str, Address] = {}
        self._up: set[str] = set()
        self._idle: dict[str, list[ClientConnection]] = {}
        self._dials: dict[asyncio.Task[None], None] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._zone = {name: zone_of_router(day.scenario, name) for name in router_names(day.scenario.fleet)}

    def routers(self, addresses: dict[str, Address]) -> None:
        """Where routers listen."""
        self._routers.update(addresses)

    def front(self, router: str, up: bool) -> None:
        """What the front layer sees."""
        (self._up.add if up else self._up.discard)(router)

    def begin(self, at: float) -> None:
        """The day begins at that time; the prelude before it."""
        self._begun = at
        self._fire()

    @property
    def done(self) -> bool:
        """Whether all asks are made and over."""
        return self._next >= len(self._asks) and not self.open

    def _fire(self) -> None:
        now = self.clock() - self._begun
        asks = self._asks
        while self._next < len(asks) and asks[self._next].at <= now:
            ask = asks[self._next]
            self._next += 1
            self.open += 1
            counts = ask.source != PRELUDE
            self.tally.asked += counts
            cls = self.schedule.scenario.classes[ask.request_class]
            AttemptAbandoned(self, ask, 0, self._begun + ask.at + cls.give_up_ms / 1000).start()
        if self._next < len(asks):
            self._timer = self.loop.call_later(max(asks[self._next].at - now, 0.0), self._fire)

    def choose(self, ask: ScheduledRequest, number: int) -> str | None:
        """The router of a try: the hot caller's own, else one that is up in the client's zone, else any."""
        if ask.router and ask.router in self._up:
            return ask.router
        near = [name for name in sorted(self._up) if self._zone[name] == ask.zone]
        those = near or sorted(self._up)
        if not those:
            return None
        return those[(int(ask.spread * len(those)) + number) % len(those)]

    def idle(self, router: str) -> ClientConnection | None:
        """A connection that rests, the one used last."""
        resting = self._idle.get(router, [])
        while resting:
            connection = resting.pop()
            if not connection.lost:
                return connection
        return None

    def rest(self, connection: ClientConnection) -> None:
        """A connection is free again."""
        resting = self._idle.setdefault(connection.router, [])
        if len(resting) < IDLE_KEPT:
            resting.append(connection)
        else:
            connection.abort()

    def dial(self, router: str, attempt: AttemptAbandoned) -> None:
        """Open a connection for a try."""
        task = self.loop.create_task(self._dial(router, attempt))
        self._dials[task] = None
        task.add_done_callback(lambda over: self._dials.pop(over, None))

    async def _dial(self, router: str, attempt: AttemptAbandoned) -> None:
        connection: ClientConnection | None = None
        try:
            async with asyncio.timeout(DIAL_S):
                _, connection = await self.loop.create_connection(
                    lambda: ClientConnection(router), *self._routers[router]
                )
        except (OSError, TimeoutError):
            pass
        if connection is not None and connection.lost:
            connection = None  # it broke between its coming up and this
        if attempt.record is None:
            attempt.dialled(connection)
        elif connection is not None:
            connection.abort()

    def over(self, attempt: AttemptAbandoned, record: Try) -> None:
        """A try is over: the ask is too, or it goes on after a wait."""
        self.witness.saw(record)
        ask, now = attempt.ask, self.clock()
        clients = self.schedule.scenario.clients
        again = (
            record.answer in ("refused", "failed", "none", "cut", "unsent")
            and attempt.number < clients.retries
        )
        if again and ask.source != PRELUDE:
            low, high = (one / 1000 for one in clients.backoff_ms)
            wait = (low + ask.backoff * (high - low)) * 2**attempt.number
            if record.come_again > 0 and ask.honours_retry_after:
                wait = max(wait, record.come_again)
            if now + wait + LEAST_TRY_S < attempt.deadline:
                following = AttemptAbandoned(self, ask, attempt.number + 1, attempt.deadline)
                self.loop.call_later(wait, self._retry, following)
                return
        self.open -= 1
        if ask.source == PRELUDE:
            return
        cls = self.schedule.scenario.classes[ask.request_class]
        if record.answer == "served":
            self.tally.served += 1
            self.tally.in_aim += now - self._begun - ask.at <= cls.aim_ms / 1000
        elif record.answer == "refused":
            self.tally.refused += 1
        else:
            self.tally.failed += 1

    def _retry(self, following: AttemptAbandoned) -> None:
        cls = self.schedule.scenario.classes[following.ask.request_class]
        following.wait = min(
            cls.give_up_ms / 1000 * following.ask.abandon_after_share, following.deadline - self.clock()
        )
        following.start()

    def close(self) -> None:
        """The day is over."""
        if self._timer is not None:
            self._timer.cancel()
        for dial in list(self._dials):
            dial.cancel()
        for resting in self._idle.values():
            for connection in resting:
                connection.abort()
