"""asyncio datagram transports over the simulated network."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, cast

from holdgw.simulation.simulated_socket import SimulatedSocket

if TYPE_CHECKING:
    from holdgw.simulation.network import Address, Network
    from holdgw.simulation.process import Process


class UdpTransport(asyncio.DatagramTransport):
    """The transport of a UDP socket, bound to a local address and, with `remote`, connected."""

    def __init__(
        self,
        network: Network,
        process: Process,
        address: Address,
        remote: Address | None,
        protocol: asyncio.DatagramProtocol,
    ) -> None:
        self.network, self.process, self.address, self.remote = network, process, address, remote
        self._protocol, self._closing = protocol, False
        self.socket = SimulatedSocket(address, remote)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return the socket, or the local or the peer's address."""
        return {"socket": self.socket, "sockname": self.address, "peername": self.remote}.get(name, default)

    def get_protocol(self) -> asyncio.BaseProtocol:
        """Return the protocol."""
        return self._protocol

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Replace the protocol."""
        self._protocol = cast(asyncio.DatagramProtocol, protocol)

    def is_closing(self) -> bool:
        """Whether the socket is closed."""
        return self._closing

    def sendto(self, data: bytes | bytearray | memoryview, addr: Any = None) -> None:
        """Send one datagram; raises ValueError without an address, or with another than the connected one."""
        to = addr or self.remote
        if to is None:
            raise ValueError("no address to send to")
        if self.remote is not None and addr not in (None, self.remote):
            raise ValueError(f"Invalid address: must be None or {self.remote}")
        if not self._closing and data:
            self.network.send_datagram(self, bytes(data), (to[0], to[1]))

    def receive_datagram(self, data: bytes, sender: Address) -> None:
        """Pass a received datagram to the protocol."""
        if not self._closing and (self.remote is None or self.remote == sender):
            self._protocol.datagram_received(data, sender)

    def receive_port_unreachable(self) -> None:
        """Report that the destination port is closed; only a connected socket learns of it."""
        if not self._closing and self.remote is not None:
            self._protocol.error_received(ConnectionRefusedError(111, "Connection refused"))

    def close(self) -> None:
        """Close the socket."""
        if self._closing:
            return
        self._closing = True
        self.network.unbind(self)
        self.process.free_descriptor(self)
        self.network.world.soon(self.process, self._protocol.connection_lost, (None,))

    def abort(self) -> None:
        """Close the socket."""
        self.close()

    def process_died(self) -> None:
        """Close the socket, as the kernel does."""
        self._closing = True
        self.network.unbind(self)
