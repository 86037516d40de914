"""Discovery's client: the whole list once, then a watch that goes on without a gap.

A change counts as told 6 s after discovery had it and could be reached, whatever failed meanwhile. A watch
that falls silent is found out when its wait and the slack are over; then, where lists are pushed, the whole
list is asked for until it comes, by a call that is patient and by others beside it that are not. So what an
agent has is known here within `PUSHED_WAIT_MS`, `CALL_SLACK_S` and a quick call (2.7 s) of when it last fell
silent, and within a quick call of its return. Where discovery is asked, a watch that falls silent is found
out within `ASKED_WAIT_MS` and the slack where the service has room. Else it is when the wait given by
`watch_wait` is over, as shorter waits keep an overbooked service from answering at all.
"""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections.abc import Callable
from typing import Any, cast

import orjson

from holdgw.operation.endpoint_update import EndpointUpdate
from holdgw.policy import Endpoint, EndpointsChanged, EndpointState, UpdateKind
from holdgw.router.watch_timeout import WatchTimeout
from holdgw.wire.address import Address, parse_address
from holdgw.wire.http import HttpError, HttpReader, request

MAX_BODY = 8 << 20  # tens of thousands of entries
LIST_PATH = "/registry/instances"
PUSHED_WAIT_MS = 2_000  # an agent's answers cost nothing, and a lost one is missed for so long at most
POLL_WAIT_MS = 3_000  # where discovery is asked each call costs it work: so short if it has room
MAX_POLL_WAIT_MS = 20_000  # and so long if not
CALL_SLACK_S = 0.5  # beyond a watch's wait, by an agent of this machine
POLL_SLACK_S = 1.0  # the same by a service that works through all routers' calls in turn
LIST_TIMEOUT_S = 2.0  # for a whole list
RETRY_S = 0.1  # a watch goes on if the next call comes within 0.2 s
QUICK_S = 0.1  # in which an agent of this machine answers, if it does

_STATES = {"up": EndpointState.READY, "draining": EndpointState.DRAINING, "removed": EndpointState.GONE}

log = logging.getLogger("holdgw")


class Clock:
    """Turns Unix times into times of the monotonic clock, always by the same difference."""

    def __init__(
        self,
        monotonic_ns: Callable[[], int] = time.monotonic_ns,
        unix_ns: Callable[[], int] = time.time_ns,
    ) -> None:
        self._behind = unix_ns() - monotonic_ns()

    def monotonic(self, unix_ms: int) -> int:
        """The monotonic time in nanoseconds; 0 stays 0, for long ago."""
        return unix_ms * 1_000_000 - self._behind if unix_ms else 0


def read_listing(body: Any, clock: Clock, kind: UpdateKind | None = None) -> EndpointUpdate:
    """Read discovery's form; raises ValueError where it is no list at all."""
    servers: dict[str, Endpoint] = {}
    addresses: dict[str, Address] = {}
    try:
        if kind is None:
            kind = UpdateKind.FULL if body["reset"] else UpdateKind.DELTA
        generation = int(body["generation"])
        entries = list(body["instances"])
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"not a list of servers: {type(error).__name__}: {error}") from None
    for entry in entries:
        # Danger: one entry that can't be read would void all the others, drains among them, and the same
        # list would be asked for again and again. It could do harm where every entry of a whole list is
        # bad, which would empty it: such a list is refused.
        try:
            server = _server(entry, clock)
            if server.state is not EndpointState.GONE:
                addresses[server.id] = parse_address("hostPort", entry["hostPort"])
            servers[server.id] = server
        except (KeyError, TypeError, AttributeError, ValueError, OverflowError) as error:
            log.warning("discovery: an entry can't be read: %s: %s", type(error).__name__, error)
    if entries and not servers:
        raise ValueError("not a list of servers: no entry can be read")
    return EndpointUpdate(generation, EndpointsChanged(kind, tuple(servers.values())), addresses)


def _server(entry: dict[str, Any], clock: Clock) -> Endpoint:
    if not isinstance(entry["instanceId"], str):
        raise TypeError("instanceId must be a string")
    weight = 1.0 if entry.get("weight") is None else float(entry["weight"])
    if not 0 <= weight < math.inf:
        raise ValueError("weight must be a number of 0 or more")
    return Endpoint(
        id=entry["instanceId"],
        kind=entry.get("machineType") or "",
        state=_STATES[entry["lifecycle"]],
        weight=weight,
        started_ns=clock.monotonic(int(entry.get("startedAtMs") or 0)),
        zone=entry.get("zone") or "",
        cell=int(entry.get("cell") or 0),
    )


class _Call(asyncio.Protocol, HttpReader):
    """One connection to discovery."""

    def __init__(self) -> None:
        HttpReader.__init__(self, MAX_BODY)
        self.transport: asyncio.Transport | None = None
        self._answer: asyncio.Future[tuple[int, bytes]] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's own class is no subclass

    def ask(self, target: str, host: str) -> asyncio.Future[tuple[int, bytes]]:
        assert self.transport is not None
        self._answer = asyncio.get_running_loop().create_future()
        self.transport.write(request("GET", target, host))
        return self._answer

    def data_received(self, data: bytes) -> None:
        try:
            if self.read(data):
                status, body = self.status, bytes(self.body)
                if not self.answer_done():
                    self.close()
                if self._answer is not None and not self._answer.done():
                    self._answer.set_result((status, body))
        except HttpError as error:
            self._fail(error)
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self._fail(ConnectionResetError("discovery closed the connection"))

    def _fail(self, error: Exception) -> None:
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(error)

    @property
    def usable(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class _Line:
    """The way to one discovery service: a connection, made anew after each call that failed."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._call: _Call | None = None

    async def get(self, target: str, limit: float) -> Any:
        """Ask for a list; raises what went wrong, also when it takes longer than the limit."""
        try:
            async with asyncio.timeout(limit):
                if self._call is None or not self._call.usable:
                    loop = asyncio.get_running_loop()
                    _, self._call = await loop.create_connection(_Call, *self._address)
                host, port = self._address
                status, body = await self._call.ask(target, f"{host}:{port}")
        except BaseException:
            # Danger: the late answer of a call given up would be taken for the next one's.
            self.close()
            raise
        if status != 200:
            raise ValueError(f"answered {status}")
        return orjson.loads(body)

    def close(self) -> None:
        """Drop the connection."""
        if self._call is not None:
            self._call.close()


class _Watch:
    """One discovery service being followed: its address, the way there and the version held of it."""

    def __init__(self, address: Address, generation: int, first: bool) -> None:
        self.address, self.generation = address, generation
        self.whole = first  # the whole list is asked for first
        self.down = False  # the last call failed, and the log tells of it
        self.task: asyncio.Task[None] | None = None
        self.calls: list[asyncio.Task[EndpointUpdate]] = []  # for the whole list, beside one another
        self.line = _Line(address)
        self.wait = WatchTimeout(POLL_WAIT_MS / 1000, MAX_POLL_WAIT_MS / 1000)  # where discovery is asked

    @property
    def running(self) -> bool:
        """Whether a task follows it."""
        return self.task is not None and not self.task.done()

    def failed(self, error: Exception) -> None:
        """Tell the log, once until a call comes back."""
        if not self.down:
            log.warning("discovery: %s", str(error) or type(error).__name__)
        self.down = True

    def close(self) -> None:
        """Stop watching."""
        for task in (self.task, *self.calls):
            if task is not None:
                task.cancel()
        self.line.close()


class Discovery:
    """Keeps the list of servers up to date; a failed call changes nothing of what is held."""

    def __init__(
        self,
        address: Address,
        asked: bool,
        clock: Clock,
        take: Callable[[EndpointUpdate], None],
        failed: Callable[[], None],
        now: Callable[[], float] | None = None,
    ) -> None:
        """`now`: seconds, by which a service's delay is taken; the event loop's time if None."""
        self._asked, self._clock, self._now = asked, clock, now
        self._take, self._failed = take, failed
        self._watch = _Watch(address, 0, first=not asked)
        self._old: _Watch | None = None  # followed until its successor has given a list

    def resume_from(self, generation: int) -> None:
        """Take over the version of a list that came from elsewhere."""
        self._watch.generation = generation

    def start(self) -> None:
        """Where lists are pushed: get the whole list, and watch from then on."""
        watch = self._watch
        watch.task = asyncio.get_running_loop().create_task(self._follow(watch))

    def subscribe(self) -> None:
        """Where discovery is asked: watch from the version held until a call fails."""
        watch = self._watch
        if not watch.running:
            watch.task = asyncio.get_running_loop().create_task(self._watch_asked(watch))

    def change_address(self, address: Address) -> None:
        """Follow discovery at another address, from its whole list on: versions are each service's own."""
        old = self._watch
        if address == old.address:
            return
        # Danger: the new address may be wrong or not up yet, so the old one, as long as it talks, goes on
        # being believed until the new one has given a list. No harm: its news is as good as before.
        if self._old is not None:
            old.close()  # moved on before it was of use
        else:
            self._old = old
        self._watch = _Watch(address, 0, first=True)
        if not self._asked:
            self.start()
        elif old.running:
            self.subscribe()

    def close(self) -> None:
        """Stop watching."""
        self._watch.close()
        self._leave_old()

    def _leave_old(self) -> None:
        if self._old is not None:
            self._old.close()
            self._old = None

    async def _follow(self, watch: _Watch) -> None:
        """Never ends: the agent is on this machine, so asking again costs nothing."""
        while True:
            if watch.whole:
                await self._reach(watch)
                continue
            try:
                await self._ask_once(watch, PUSHED_WAIT_MS, CALL_SLACK_S)
            except Exception as error:
                watch.failed(error)
                # Danger: an agent that comes back may count its versions anew, and would tell us nothing
                # until it had passed ours. The whole list costs nothing here.
                watch.whole = True

    async def _reach(self, watch: _Watch) -> None:
        """Get the whole list, however often it takes.

        Danger: what an agent has counts as told from the moment of its return. One call whose answer is lost
        would keep its news from us for as long as that call waits; a short wait alone would never get a list
        from an agent that is slow. Hence two calls at a time, of which one is patient.
        """
        loop = asyncio.get_running_loop()
        lines = [watch.line, _Line(watch.address)]
        watch.calls = calls = [
            loop.create_task(self._insist(watch, line, limit, pause))
            for line, limit, pause in zip(lines, (LIST_TIMEOUT_S, QUICK_S), (0.0, RETRY_S), strict=True)
        ]
        try:
            await asyncio.wait(calls, return_when=asyncio.FIRST_COMPLETED)
            first = next(i for i, call in enumerate(calls) if call.done())
            listing = calls[first].result()
            watch.line = lines.pop(first)
        finally:
            for call in calls:
                call.cancel()
            for line in lines:
                line.close()
        self._took(watch, listing)

    async def _insist(self, watch: _Watch, line: _Line, limit: float, pause: float) -> EndpointUpdate:
        """Ask for the whole list until it comes."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(pause)
            begun = loop.time()
            try:
                return read_listing(await line.get(LIST_PATH, limit), self._clock)
            except Exception as error:
                watch.failed(error)
            pause = max(begun + RETRY_S - loop.time(), 0.0)

    async def _watch_asked(self, watch: _Watch) -> None:
        """Ends with the first failed call, which the module is told of: it decides when to ask again."""
        try:
            while True:
                await self._ask_and_time(watch)
        except Exception as error:
            watch.failed(error)
            watch.wait.failed()
        watch.task = None
        if watch is self._watch:
            self._failed()

    async def _ask_and_time(self, watch: _Watch) -> None:
        """One call of a watch at a service for all routers; its delay decides on the next call's wait."""
        now = self._now or asyncio.get_running_loop().time
        whole, wait_ms, begun = watch.whole, int(watch.wait.wait_s * 1000), now()
        await self._ask_once(watch, wait_ms, POLL_SLACK_S)
        # The loop counts whole milliseconds: as seconds, four in ten answers on the very one come out early.
        delay_ms = round((now() - begun) * 1000) - wait_ms
        if delay_ms >= 0 and not whole:  # news end a call sooner, and leave open when its turn came
            watch.wait.timed_out(delay_ms / 1000)

    async def _ask_once(self, watch: _Watch, wait_ms: int, slack: float) -> None:
        """One call of a watch: a wait for what is newer than the version held."""
        target = LIST_PATH if watch.whole else f"{LIST_PATH}?index={watch.generation}&wait={wait_ms}"
        limit = LIST_TIMEOUT_S if watch.whole else wait_ms / 1000 + slack
        self._took(watch, read_listing(await watch.line.get(target, limit), self._clock))

    def _took(self, watch: _Watch, listing: EndpointUpdate) -> None:
        if watch is self._watch:
            self._leave_old()
        watch.whole = watch.down = False
        watch.generation = listing.generation
        self._take(listing)
