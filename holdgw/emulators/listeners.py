"""Shared by the sockets of all emulators: a timer for a model, listeners for each link, delays of links."""

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

MIN_DELAY_S = 0.0007  # shorter delays are skipped: event-loop timers have a resolution of one millisecond

Clock = Callable[[], float]
LinkDelays = Mapping[str, float]


@dataclass(frozen=True, slots=True)
class Host:
    """Where an emulator listens.

    `links` gives the one-way delay of each link in seconds; each link has a listener of its own, and the
    routers that connect over it are affected by the same faults. With `proxied`, links can be blocked.
    """

    ip: str = "127.0.0.1"
    links: LinkDelays = field(default_factory=lambda: {"": 0.0})
    proxied: bool = False


def reset_connection(transport: asyncio.BaseTransport | None) -> None:
    """Close a connection with a reset, whatever is unsent or unread, as when its process is killed."""
    if transport is None:
        return
    sock = transport.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):  # the socket is already closed
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
    cast(asyncio.Transport, transport).abort()


class ModelTimer:
    """One timer for the next event of a model; setting it to a later time than before costs nothing."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock, on_due: Callable[[], None]) -> None:
        self._loop, self._clock, self._on_due = loop, clock, on_due
        self._timer: asyncio.TimerHandle | None = None
        self._due = 0.0

    def set(self, due: float | None) -> None:
        """Fire at `due`; None sets nothing."""
        if due is None:
            return  # a pending timer may fire without effect
        if self._timer is not None:
            if self._due <= due:
                return  # the pending timer fires earlier and is set again then
            self._timer.cancel()
        self._due = due
        self._timer = self._loop.call_later(max(due - self._clock(), 0.0), self._fire)

    def _fire(self) -> None:
        self._timer = None
        self._on_due()

    def close(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class Listeners:
    """The listeners of an emulator, one for each link; each keeps its port when it is opened again."""

    def __init__(self, host: Host, clock: Clock) -> None:
        self.host = host
        self.addresses: dict[str, Address] = {}
        self.is_open = False
        """Whether the emulated process runs and accepts connections."""
        self._clock = clock
        self._servers: list[asyncio.Server] = []
        self._proxied: dict[str, ProxiedListener] = {}

    async def open(self, protocol: Callable[[float], asyncio.Protocol]) -> None:
        """Listen; `protocol` creates the protocol of a connection, given the one-way delay of its link."""
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
        """Use the addresses and links of another emulator, which has ended, when opened."""
        self.addresses = dict(other.addresses)
        self._proxied = other._proxied

    def proxy(self, link: str) -> FaultProxy:
        """Return the fault proxy of a link; raises KeyError if the links have none."""
        return self._proxied[link].proxy

    def block(self, way: Way, seconds: float, links: Iterable[str] | None = None) -> None:
        """Block the given links, or all, for `seconds`."""
        for link in self.host.links if links is None else links:
            self.proxy(link).block(way, seconds)

    def close(self) -> None:
        """Refuse connections from now on, or on a blocked link from when it is restored."""
        self.is_open = False
        servers, self._servers = self._servers, []
        for server in servers:
            server.close()
        for listener in self._proxied.values():
            listener.close()

    def end(self) -> None:
        """Close the listeners at the end of the run."""
        self.close()
        for listener in self._proxied.values():
            listener.end()


def call_after(loop: asyncio.AbstractEventLoop, delay: float, call: Callable[[], None]) -> None:
    """Call after the delay of a link, or at once if the delay is too short for a timer."""
    if delay < MIN_DELAY_S:
        call()
    else:
        loop.call_later(delay, call)
