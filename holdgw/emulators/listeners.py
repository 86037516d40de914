"""What the sockets of all stand-ins share: one timer on a model, listeners by zone, delayed lines."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from functools import partial
from typing import cast

from holdgw.emulators.fault_proxy import LINGER_NONE, FaultProxy, ProxiedListener, Way
from holdgw.wire.address import Address

MIN_DELAY_S = 0.0007  # delays under this are left out: a timer of the loop is no finer than a millisecond

Clock = Callable[[], float]
LinkDelays = Mapping[str, float]


@dataclass(frozen=True, slots=True)
class Host:
    """Where a stand-in listens: `lines` gives each line's one-way delay in seconds, a listener each. Routers
    that come over the same line share what befalls it; `gated`: those lines may be cut.
    """

    ip: str = "127.0.0.1"
    links: LinkDelays = field(default_factory=lambda: {"": 0.0})
    proxied: bool = False


def reset_connection(transport: asyncio.BaseTransport | None) -> None:
    """End a connection as the death of its process does: by a reset, whatever is unsent or unread."""
    if transport is None:
        return
    sock = transport.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):  # it is closed already
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
    cast(asyncio.Transport, transport).abort()


class ModelTimer:
    """One timer that is set to the model's next event; setting it later than it stands costs nothing."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock, on_due: Callable[[], None]) -> None:
        self._loop, self._clock, self._on_due = loop, clock, on_due
        self._timer: asyncio.TimerHandle | None = None
        self._due = 0.0

    def set(self, due: float | None) -> None:
        """Ring at `due`, or not at all."""
        if due is None:
            return  # it may ring once for nothing
        if self._timer is not None:
            if self._due <= due:
                return  # it rings earlier and is set anew then
            self._timer.cancel()
        self._due = due
        self._timer = self._loop.call_later(max(due - self._clock(), 0.0), self._fire)

    def _fire(self) -> None:
        self._timer = None
        self._on_due()

    def close(self) -> None:
        """Never ring again."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class Listeners:
    """A stand-in's listeners, one for each line that routers come over; ports stay the same when reopened."""

    def __init__(self, host: Host, clock: Clock) -> None:
        self.host = host
        self.addresses: dict[str, Address] = {}
        self.is_open = False
        """Whether its process runs, and takes what comes in."""
        self._clock = clock
        self._servers: list[asyncio.Server] = []
        self._proxied: dict[str, ProxiedListener] = {}

    async def open(self, protocol: Callable[[float], asyncio.Protocol]) -> None:
        """Listen; `protocol` makes one for a connection over a line with that one-way delay."""
        loop = asyncio.get_running_loop()
        for link, delay in self.host.links.items():
            port = self.addresses[link][1] if link in self.addresses else 0
            make = partial(protocol, delay)
            if self.host.proxied:
                if link not in self._proxied:
                    self._proxied[link] = ProxiedListener(FaultProxy(loop, self._clock))
                self.addresses[link] = self._proxied[link].open((self.host.ip, port), make)
                continue
            server = await loop.create_server(make, self.host.ip, port, backlog=512)
            self._servers.append(server)
            self.addresses[link] = (self.host.ip, server.sockets[0].getsockname()[1])
        self.is_open = True

    def adopt_addresses(self, other: Listeners) -> None:
        """Listen, when opened, where another's stand-in did that has gone, over the same lines."""
        self.addresses = dict(other.addresses)
        self._proxied = other._proxied

    def proxy(self, link: str) -> FaultProxy:
        """What may cut a line; raises KeyError where no line may be cut."""
        return self._proxied[link].proxy

    def block(self, way: Way, seconds: float, links: Iterable[str] | None = None) -> None:
        """Cut lines, or all there are, for so long."""
        for link in self.host.links if links is None else links:
            self.proxy(link).block(way, seconds)

    def close(self) -> None:
        """Refuse connections from now on; where a line is cut, from when it is back."""
        self.is_open = False
        servers, self._servers = self._servers, []
        for server in servers:
            server.close()
        for one in self._proxied.values():
            one.close()

    def end(self) -> None:
        """The day is over."""
        self.close()
        for one in self._proxied.values():
            one.end()


def call_after(loop: asyncio.AbstractEventLoop, delay: float, call: Callable[[], None]) -> None:
    """Call after a line's delay; lines too short for a timer are no delay."""
    if delay < MIN_DELAY_S:
        call()
    else:
        loop.call_later(delay, call)
