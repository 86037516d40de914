"""The sockets of the relay, which forwards all datagrams between routers (PROTOCOL, "Between routers").

The relay has one address for each router, and the other routers know the router by that address. The relay
forwards a datagram that arrives there from the sender's `peer_listen`: it sends the datagram from the
sender's relay address to the receiver's `peer_listen`, unless the model drops it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import cast

from holdgw.emulators.listeners import Clock, call_after
from holdgw.emulators.relay_model import RelayModel
from holdgw.wire.address import Address

ALL = ""  # name of the relay address that reaches all other routers


class _RelaySocket(asyncio.DatagramProtocol):
    """The socket at the relay address of one router, or of all."""

    def __init__(self, relay: Relay, name: str) -> None:
        self.relay, self.name = relay, name
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self.relay.handle_datagram(self.name, data, addr)

    def error_received(self, exc: Exception) -> None:
        """Ignore the error: without a receiving process the datagram counts as lost."""


class Relay:
    """Forwards the datagrams between all routers; `listens` gives the `peer_listen` of each."""

    def __init__(self, model: RelayModel, listens: Mapping[str, Address], clock: Clock, ip: str) -> None:
        self.model = model
        self.unknown = 0
        """Number of datagrams from addresses that belong to no router."""
        self._clock, self._ip = clock, ip
        self._listens = dict(listens)
        self._names = {address: name for name, address in listens.items()}
        self._sockets: dict[str, _RelaySocket] = {}

    async def start(self) -> dict[str, Address]:
        """Listen; return the relay address of each router, and under ALL the one that reaches all."""
        loop = asyncio.get_running_loop()
        addresses = {}
        for name in (*self._listens, ALL):
            transport, relay_socket = await loop.create_datagram_endpoint(
                lambda name=name: _RelaySocket(self, name),  # type: ignore[misc]
                local_addr=(self._ip, 0),
            )
            self._sockets[name] = relay_socket
            addresses[name] = transport.get_extra_info("sockname")[:2]
        return addresses

    def handle_datagram(self, to: str, data: bytes, sender: Address) -> None:
        """Forward a datagram that arrived at the relay address `to`."""
        source = self._names.get(sender)
        if source is None:
            self.unknown += 1
            return
        for name in self._listens if to == ALL else (to,):
            if name == source:
                continue
            for delay in self.model.delivery_delays(self._clock(), source, name, len(data)):
                call_after(
                    asyncio.get_running_loop(),
                    delay,
                    lambda name=name: self._deliver(source, name, data),  # type: ignore[misc]
                )

    def _deliver(self, source: str, name: str, data: bytes) -> None:
        transport = self._sockets[source].transport
        if transport is not None and not transport.is_closing():
            transport.sendto(data, self._listens[name])

    def close(self) -> None:
        """Close the sockets at the end of the run."""
        for relay_socket in self._sockets.values():
            if relay_socket.transport is not None:
                relay_socket.transport.close()
