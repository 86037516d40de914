"""The sockets of discovery: full lists, watches, and what was sent to whom (PROTOCOL, "Discovery").

Each router has a listener of its own. In push mode the listener stands for an agent beside the router. In
poll mode there is one service, which handles calls in sequence; the listener then only identifies the router,
so that the checker knows what was sent to it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import cast
from urllib.parse import parse_qsl, urlsplit

import orjson

from holdgw.emulators.discovery_model import DiscoveryModel, Entry, State
from holdgw.emulators.fault_proxy import ProxiedConnection, Way
from holdgw.emulators.listeners import Clock, Host, Listeners, ModelTimer, reset_connection
from holdgw.emulators.records import (
    DiscoveryCall,
    DiscoveryCut,
    EndpointStateAvailable,
    EndpointStateSent,
    ProtocolViolation,
    Recorder,
)
from holdgw.wire.address import Address, format_address
from holdgw.wire.http import HttpError, HttpRequest, RequestReader, response

LIST_PATH = "/registry/instances"
MAX_WAIT_MS = 60_000
OLD_ADDRESS_OPEN_S = 1.5  # for which connections to the address before a move are still answered

AddressLookup = Callable[[str, str], Address]
"""Returns the address at which a router reaches a server: (router, server)."""


class _Connection(asyncio.Protocol):
    """A connection of one router to discovery."""

    def __init__(self, server: DiscoveryServer, router: str) -> None:
        self.server, self.router = server, router
        self.transport: asyncio.Transport | None = None
        self._reader = RequestReader(1 << 16)
        self._wait_timer: asyncio.TimerHandle | None = None
        self._version = 0
        self.watching = False
        self.held_since = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.server.connections[self] = None

    def connection_lost(self, exc: Exception | None) -> None:
        self._stop_waiting()
        self.server.connections.pop(self, None)

    def data_received(self, data: bytes) -> None:
        try:
            for request in self._reader.read(data):
                self._handle_request(request)
        except (HttpError, ValueError) as error:
            self.server.record_violation(str(error))
            self.abort()

    def _handle_request(self, request: HttpRequest) -> None:
        target = urlsplit(request.target.decode("latin-1"))
        if request.method != b"GET" or target.path != LIST_PATH:
            raise ValueError(f"asked for {target.path}")
        query = dict(parse_qsl(target.query))
        if self.watching:
            raise ValueError("a second call before the first one's answer")
        self.server.handle_call(self, query)

    def wait(self, version: int, milliseconds: int) -> None:
        """Answer when there are changes after `version`, or after `milliseconds` without one."""
        self._version, self.watching = version, True
        if self.answer_if_newer():
            return
        delay = min(milliseconds, MAX_WAIT_MS) / 1000
        self._wait_timer = self.server.loop.call_later(delay, self.answer, False, [])

    def answer_if_newer(self) -> bool:
        """Answer an open watch if there are newer changes; return whether it was answered."""
        if not self.watching:
            return False
        reset, entries = self.server.model.views[self.router].newer_than(self._version)
        if not reset and not entries:
            return False
        self.answer(reset, entries)
        return True

    def answer(self, reset: bool, entries: list[Entry]) -> None:
        """Write the full list or the changes, and record what was sent."""
        self._stop_waiting()
        if self.transport is None:
            return
        answer = response(200, self.server.body(self.router, reset, entries))
        if isinstance(self.transport, ProxiedConnection):
            self.transport.write(answer, lambda: self.server.record_sent(self, reset, entries))
        else:
            self.transport.write(answer)
            self.server.record_sent(self, reset, entries)

    def fail(self) -> None:
        """Answer the call with 503."""
        self._stop_waiting()
        if self.transport is not None:
            self.transport.write(response(503))

    def _stop_waiting(self) -> None:
        self.watching = False
        if self._wait_timer is not None:
            self._wait_timer.cancel()
            self._wait_timer = None

    def abort(self) -> None:
        reset_connection(self.transport)


class DiscoveryServer:
    """Discovery for all routers.

    `call_s` is the service time of a call in poll mode, 0 in push mode; with `proxied`, links can be blocked.
    """

    def __init__(
        self,
        model: DiscoveryModel,
        routers: Iterable[str],
        address_of: AddressLookup,
        recorder: Recorder,
        clock: Clock,
        ip: str = "127.0.0.1",
        call_s: float = 0.0,
        proxied: bool = False,
    ) -> None:
        self.model, self.loop = model, asyncio.get_running_loop()
        self.connections: dict[_Connection, None] = {}
        self._routers, self._address_of, self._recorder, self._clock = (
            list(routers),
            address_of,
            recorder,
            clock,
        )
        self._ip, self._call_s, self._proxied = ip, call_s, proxied
        self._listeners: dict[str, Listeners] = {}
        self._known_endpoints: dict[str, dict[str, None]] = {}  # by router: what was sent to it as present
        self._timer = ModelTimer(self.loop, clock, self._answer_watches)
        self._down_until = float("-inf")
        self._blocked: dict[str, tuple[Way, float]] = {}  # by router: direction and end of its block
        self._free_at = float("-inf")  # poll mode: when the service has handled all calls so far

    async def start(self) -> dict[str, Address]:
        """Listen; return the address of discovery for each router."""
        for router in self._routers:
            await self.listen(router)
        return {router: listeners.addresses[""] for router, listeners in self._listeners.items()}

    async def listen(self, router: str) -> Address:
        """Listen for a router at a new address; the old one refuses new connections and closes later."""
        listeners = Listeners(Host(self._ip, proxied=self._proxied), self._clock)
        await listeners.open(lambda _: _Connection(self, router))
        old_listeners = self._listeners.get(router)
        if old_listeners is not None:
            old_listeners.close()
            for connection in [
                open_connection for open_connection in self.connections if open_connection.router == router
            ]:
                self.loop.call_later(OLD_ADDRESS_OPEN_S, connection.abort)
        self._listeners[router] = listeners
        way, until = self._blocked.get(router, ("both", 0.0))
        if until > self._clock():
            listeners.block(way, until - self._clock())
        return listeners.addresses[""]

    def close(self) -> None:
        """Close all sockets at the end of the run."""
        self._timer.close()
        for listeners in self._listeners.values():
            listeners.end()
        for connection in list(self.connections):
            connection.abort()

    def record_violation(self, text: str) -> None:
        """Record input that no router may send."""
        self._recorder.record(ProtocolViolation("discovery", self._clock(), text))

    # Changes and faults

    def change(self, entry: Entry) -> None:
        """Change the endpoint list."""
        self.model.change(self._clock(), entry)
        self._answer_watches()

    def set_state(self, server: str, state: State) -> None:
        """Change the state of a listed server; a server that is not listed is ignored."""
        self.model.set_state(self._clock(), server, state)
        self._answer_watches()

    def late(self, extra: float, seconds: float) -> None:
        """Delay changes that are made within the next `seconds` by `extra` seconds more than usual."""
        self.model.late(self._clock(), extra, seconds)

    def stale(self, seconds: float, routers: Iterable[str]) -> None:
        """Freeze the views of those routers for `seconds`."""
        self.model.stale(self._clock(), seconds, routers)

    def down(self, seconds: float) -> None:
        """Close all connections now; for `seconds` calls fail and views are frozen."""
        self._down_until = max(self._down_until, self._clock() + seconds)
        self.model.stale(self._clock(), seconds, self._routers)
        for connection in list(self.connections):
            connection.abort()

    def block(self, router: str, way: Way, seconds: float) -> None:
        """Block the link between a router and discovery for `seconds`."""
        now = self._clock()
        self._blocked[router] = way, now + seconds
        self._listeners[router].block(way, seconds)
        self._recorder.record(DiscoveryCut(router, now, now + seconds))

    # Calls

    def handle_call(self, connection: _Connection, query: dict[str, str]) -> None:
        """Handle one call; in poll mode calls are handled in sequence, each for `call_s`."""
        now = self._clock()
        down = now < self._down_until
        self._recorder.record(DiscoveryCall(connection.router, now, "index" not in query, down))
        if down:
            connection.fail()
            return
        if not self._call_s:
            self._serve(connection, query)
            return
        self._free_at = max(self._free_at, now) + self._call_s
        self.loop.call_later(self._free_at - now, self._serve, connection, query)

    def _serve(self, connection: _Connection, query: dict[str, str]) -> None:
        # Serving this call advances the views of all routers, so due watches of others are answered first.
        self._answer_watches()
        if "index" in query:
            connection.wait(int(query["index"]), int(query.get("wait", "0")))
        else:
            connection.answer(True, list(self.model.views[connection.router].entries.values()))

    def _advance_views(self) -> set[str]:
        changed = self.model.advance(self._clock())
        for router, changes in changed.items():
            for change in changes:
                entry = change.entry
                self._recorder.record(EndpointStateAvailable(router, entry.id, entry.state.value, change.at))
        self._timer.set(self.model.next_due())
        return set(changed)

    def _answer_watches(self) -> None:
        changed_routers = self._advance_views()
        if self._clock() < self._down_until:
            return
        for connection in [
            open_connection
            for open_connection in self.connections
            if open_connection.router in changed_routers
        ]:
            connection.answer_if_newer()

    def body(self, router: str, reset: bool, entries: list[Entry]) -> bytes:
        """Return the encoded document of a full list or of changes."""
        return orjson.dumps(self.form(router, reset, entries))

    def form(self, router: str, reset: bool, entries: list[Entry]) -> dict[str, object]:
        """Return the document as an object; also used for `known` in a router's configuration."""
        return {
            "generation": self.model.views[router].version,
            "reset": reset,
            "instances": [
                {
                    "instanceId": entry.id,
                    "hostPort": format_address(self._address_of(router, entry.id)),
                    "zone": entry.zone,
                    "machineType": entry.kind,
                    "cell": entry.cell,
                    "lifecycle": entry.state.value,
                    "weight": entry.weight,
                    "startedAtMs": entry.started_ms,
                }
                for entry in entries
            ],
        }

    def record_sent(self, connection: _Connection, full: bool, entries: list[Entry]) -> None:
        """Record what was written to a router."""
        router, now = connection.router, self._clock()
        view = self.model.views[router]
        known_endpoints = self._known_endpoints.setdefault(router, {})
        for entry in entries:
            since = view.since.get(entry.id, now)
            self._recorder.record(EndpointStateSent(router, entry.id, entry.state.value, now, since, full))
        if full:
            # A full list also removes the servers that it does not contain.
            for server in [name for name in known_endpoints if name not in {entry.id for entry in entries}]:
                self._recorder.record(EndpointStateSent(router, server, State.REMOVED.value, now, now, full))
            known_endpoints.clear()
        for entry in entries:
            if entry.state is State.REMOVED:
                known_endpoints.pop(entry.id, None)
            else:
                known_endpoints[entry.id] = None
