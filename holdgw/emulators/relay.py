"""The relay's sockets: every datagram from router to router passes here (PROTOCOL, "Between routers").

Each router has one address that all others know it by. A datagram sent there from the sender's `peer_listen`
goes on from the sender's own such address to the receiver's `peer_listen`, or is lost, as the model says.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import cast

from holdgw.emulators.listeners import Clock, call_after
from holdgw.emulators.relay_model import RelayModel
from holdgw.wire.address import Address

ALL = ""  # the name of the address at which all others are reached


class _RelaySocket(asyncio.DatagramProtocol):
    """The address that a router is known by."""

    def __init__(self, relay: Relay, name: str) -> None:
        self.relay, self.name = relay, name
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self.relay.handle_datagram(self.name, data, addr)

    def error_received(self, exc: Exception) -> None:
        """A receiver's process is not there: to its sender it is as lost."""


class Relay:
    """All lines between routers. `listens`: each router's `peer_listen`."""

    def __init__(self, model: RelayModel, listens: Mapping[str, Address], clock: Clock, ip: str) -> None:
        self.model = model
        self.unknown = 0
        """Datagrams from addresses that no router has."""
        self._clock, self._ip = clock, ip
        self._listens = dict(listens)
        self._names = {address: name for name, address in listens.items()}
        self._sockets: dict[str, _RelaySocket] = {}

    async def start(self) -> dict[str, Address]:
        """Listen; returns the address that each router is known by, and under ALL the one of all."""
        loop = asyncio.get_running_loop()
        found = {}
        for name in (*self._listens, ALL):
            transport, relay_socket = await loop.create_datagram_endpoint(
                lambda name=name: _RelaySocket(self, name),  # type: ignore[misc]
                local_addr=(self._ip, 0),
            )
            self._sockets[name] = relay_socket
            found[name] = transport.get_extra_info("sockname")[:2]
        return found

    def handle_datagram(self, to: str, data: bytes, sender: Address) -> None:
        """A datagram came to an address that a router, or all, are known by."""
        origin = self._names.get(sender)
        if origin is None:
            self.unknown += 1
            return
        for name in self._listens if to == ALL else (to,):
            if name == origin:
                continue
            for delay in self.model.delivery_delays(self._clock(), origin, name, len(data)):
                call_after(
                    asyncio.get_running_loop(),
                    delay,
                    lambda name=name: self._deliver(origin, name, data),  # type: ignore[misc]
                )

    def _deliver(self, origin: str, name: str, data: bytes) -> None:
        transport = self._sockets[origin].transport
        if transport is not None and not transport.is_closing():
            transport.sendto(data, self._listens[name])

    def close(self) -> None:
        """The day is over."""
        for relay_socket in self._sockets.values():
            if relay_socket.transport is not None:
                relay_socket.transport.close()
