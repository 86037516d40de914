"""The simulated network: hosts, TCP and UDP between them, and network faults drawn from the seed.

A link between two hosts has a delay with jitter, retransmits lost segments, holds bytes back during a
partition (also of one direction) until it heals, and breaks connections in any phase. Faults start and end
by calls; a link without a fault consumes no random number except for its jitter.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import count

from holdgw.emulators.relay_model import RelayModel
from holdgw.simulation.disk import Disk
from holdgw.simulation.process import Process
from holdgw.simulation.tcp_listener import TcpListener
from holdgw.simulation.tcp_transport import TcpTransport
from holdgw.simulation.udp_transport import UdpTransport
from holdgw.simulation.world import NS_PER_S, World

Address = tuple[str, int]

FIRST_EPHEMERAL_PORT = 32_768  # of the range for sockets that ask for no port
LAST_EPHEMERAL_PORT = 60_999
WINDOW_BYTES = 256 << 10  # that the kernels of both ends buffer in one direction
RETRANSMISSION_TIMEOUT_NS = 200_000_000  # Linux's minimum
SYN_RETRANSMISSION_TIMEOUT_NS = 1_000_000_000  # Linux's first, of a connection that is not established
LOOPBACK_DELAY_NS = 20_000  # between two processes of a host


@dataclass(eq=False, slots=True)
class Host:
    """A machine. While `silent`, it neither receives nor sends anything; `boot_count` counts its reboots."""

    name: str
    zone: str
    ips: tuple[str, ...]
    silent: bool = False
    boot_count: int = 0
    fault_free: bool = False
    """Its links have delays but no faults."""
    lossless: bool = False
    """Its links have no loss and no extra delay, but connections on them may be cut."""
    disk: Disk = field(default_factory=Disk)

    @property
    def ignores_conditions(self) -> bool:
        """Whether the link conditions have no effect on its links."""
        return self.fault_free or self.lossless


@dataclass(eq=False, slots=True)
class Cut:
    """A fault: a share of the segments on matching links break their connection, in one of PHASES."""

    share: float
    phases: tuple[str, ...]
    matches: Callable[[Host, Host], bool]


@dataclass(slots=True)
class LinkConditions:
    """The faults that are active on links, except cuts and partitions."""

    loss: float = 0.0
    """Share of segments that arrive only after a retransmission."""
    chop: float = 0.0
    """Share of segments that arrive in pieces."""
    extra_delay_ns: int = 0
    """Maximum of a random time added to every delay, nanoseconds."""
    window: int = WINDOW_BYTES
    """Window of new connections, bytes."""
    datagram_loss: float = 0.0
    """Share of datagrams that are lost."""
    datagram_duplication: float = 0.0
    datagram_reordering: float = 0.0
    """Share of datagrams that arrive up to `reordering_ns` later."""
    reordering_ns: int = 50_000_000


LinkDelay = Callable[[Host, Host], tuple[int, int]]
"""Returns the minimum one-way delay between two hosts and its jitter, nanoseconds."""


@dataclass(eq=False, slots=True)
class Connection:
    """One TCP connection: both its ends, and whether the network drops all its segments."""

    number: int
    client: TcpTransport
    server: TcpTransport
    window: int
    black_holed: bool = False
    label: str = ""
    ends: list[TcpTransport] = field(default_factory=list)


class Network:
    """All hosts and the network between them."""

    def __init__(self, world: World, link_delay: LinkDelay) -> None:
        self.world = world
        self.conditions = LinkConditions()
        self.cuts: list[Cut] = []
        self.connections: dict[Connection, None] = {}
        self.on_cut: Callable[[Connection], None] = lambda _: None
        """Called with a connection before the network breaks it, and when the network drops its data."""
        self.on_write_after_eof: Callable[[TcpTransport], None] = lambda _: None
        """Called with an end that writes after its program was told of the peer's end of stream."""
        self.on_segment_delayed: Callable[[Host, Host, int, int], None] = lambda _a, _b, _sent, _arrival: None
        """Called for a delayed segment with sender, receiver, and the times of writing and of arrival."""
        self.peers: RelayModel | None = None
        """The links between routers that exchange datagrams; where it is set, it carries all datagrams."""
        self.groups: dict[Address, list[Address]] = {}
        """Multicast addresses with their members."""
        self._link_delay = link_delay
        self._link_delays: dict[tuple[Host, Host], tuple[int, int]] = {}
        self._hosts: dict[str, Host] = {}
        self._listeners: dict[Address, TcpListener] = {}
        self._endpoints: dict[Address, UdpTransport] = {}
        self._blocked: dict[tuple[Host, Host], int] = {}
        self._numbers = count(1)
        self._ports: dict[Host, int] = {}
        self._random = random.Random(f"{world.seed}/network")

    def host(self, name: str, zone: str, *ips: str) -> Host:
        """Add a machine; raises ValueError if an address is taken."""
        host = Host(name, zone, ips)
        for ip in ips:
            if ip in self._hosts:
                raise ValueError(f"{ip} is {self._hosts[ip].name}'s")
            self._hosts[ip] = host
        return host

    # Links

    def delay(self, a: Host, b: Host) -> int:
        """Draw the one-way delay of a segment sent now, in nanoseconds."""
        if a is b:
            return LOOPBACK_DELAY_NS
        link_delay = self._link_delays.get((a, b))
        if link_delay is None:
            link_delay = self._link_delays[a, b] = self._link_delay(a, b)
        min_delay, jitter = link_delay
        delay = min_delay + int(self._random.random() * jitter)
        max_extra_delay = self.conditions.extra_delay_ns
        if max_extra_delay and not (a.ignores_conditions or b.ignores_conditions):
            delay += int(self._random.random() * max_extra_delay)
        return delay

    def arrival(self, a: Host, b: Host, retransmission_timeout_ns: int = RETRANSMISSION_TIMEOUT_NS) -> int:
        """Draw when a segment sent now arrives, with retransmissions until it gets through."""
        at = self.world.now + self.delay(a, b)
        if a is b:
            return at
        loss = 0.0 if a.ignores_conditions or b.ignores_conditions else self.conditions.loss
        while loss and self._random.random() < loss:
            at += retransmission_timeout_ns
            retransmission_timeout_ns *= 2
        if self._blocked:
            until = self._blocked.get((a, b), 0)
            if until > self.world.now:
                # The first retransmission after the partition; exponential backoff has spaced them apart.
                gap = max((until - self.world.now) // 2, retransmission_timeout_ns)
                at = max(at, until + int(self._random.random() * gap))
        return at

    def is_blocked(self, a: Host, b: Host) -> bool:
        """Whether a partition blocks segments from one host to the other."""
        return self._blocked.get((a, b), 0) > self.world.now

    def block(self, a: Iterable[Host], b: Iterable[Host], seconds: float, both: bool = True) -> None:
        """Block all from `a` to `b`, and back if `both`, for some seconds; TCP's bytes arrive afterwards."""
        until = self.world.now + int(seconds * NS_PER_S)
        receivers = list(b)
        for sender in a:
            for receiver in receivers:
                if sender is receiver:
                    continue
                self._blocked[sender, receiver] = max(self._blocked.get((sender, receiver), 0), until)
                if both:
                    self._blocked[receiver, sender] = max(self._blocked.get((receiver, sender), 0), until)

    def power_off(self, host: Host) -> None:
        """Make a machine silent: its peers get no FIN and no reset.

        Killing its processes, now or at the boot, is up to the caller.
        """
        host.silent = True
        self.world.trace.add(self.world.now, host.name, "vanish")

    def boot(self, host: Host) -> None:
        """Boot the machine after a power loss, with what its disk kept.

        It has lost its connections, and answers segments on them with a reset.
        """
        host.disk.crash(self._random)
        host.silent = False
        host.boot_count += 1
        for connection in list(self.connections):
            for end in connection.ends:
                if end.host is host:
                    end.reset_after_reboot()

    # Cuts

    def choose_cut_phase(self, a: Host, b: Host, phases: Iterable[str]) -> str:
        """Draw the phase in which a segment sent now breaks its connection; empty if it does not."""
        if a.fault_free or b.fault_free:
            return ""
        for cut in self.cuts:
            if cut.matches(a, b) and self._random.random() < cut.share:
                phase = self._random.choice(cut.phases)
                if phase in phases:
                    return phase
        return ""

    def random_offset(self, size: int) -> int:
        """Draw an offset within a segment."""
        return self._random.randrange(size) if size else 0

    def split_segment(self, data: bytes) -> list[bytes]:
        """Return a segment whole or split at random offsets."""
        if not self.conditions.chop or len(data) < 2 or self._random.random() >= self.conditions.chop:
            return [data]
        offsets = sorted({self._random.randrange(1, len(data)) for _ in range(self._random.randint(1, 4))})
        return [data[i:j] for i, j in zip([0, *offsets], [*offsets, len(data)], strict=True)]

    # TCP

    def free_port(self, host: Host, ip: str) -> int:
        """Return a port that no socket uses."""
        port = self._ports.get(host, FIRST_EPHEMERAL_PORT)
        while (ip, port) in self._listeners or (ip, port) in self._endpoints:
            port = port + 1 if port < LAST_EPHEMERAL_PORT else FIRST_EPHEMERAL_PORT
        self._ports[host] = port + 1 if port < LAST_EPHEMERAL_PORT else FIRST_EPHEMERAL_PORT
        return port

    def listen(
        self,
        process: Process,
        factory: Callable[[], asyncio.BaseProtocol],
        address: Address,
        backlog: int,
    ) -> TcpListener:
        """Open a listening socket; raises OSError as the kernel does."""
        ip, port = address
        if all(ip not in host.ips for host in process.listen_hosts):
            raise OSError(99, f"could not bind on {address}: not an address of {process.host.name}")
        port = port or self.free_port(process.host, ip)
        if (ip, port) in self._listeners:
            raise OSError(
                98, f"error while attempting to bind on address {(ip, port)}: address already in use"
            )
        listener = TcpListener(self, process, factory, (ip, port), backlog)
        process.take_descriptor(listener)
        self._listeners[ip, port] = listener
        return listener

    def unlisten(self, listener: TcpListener) -> None:
        """Release the address of a listening socket."""
        if self._listeners.get(listener.address) is listener:
            del self._listeners[listener.address]

    def listener(self, address: Address) -> TcpListener | None:
        """Return the socket that listens on an address."""
        return self._listeners.get(address)

    async def connect(
        self,
        process: Process,
        factory: Callable[[], asyncio.BaseProtocol],
        remote: Address,
        local: Address | None,
    ) -> tuple[asyncio.Transport, asyncio.BaseProtocol]:
        """Connect; raises OSError as the kernel does, and waits without limit for a silent host."""
        remote_host = self._hosts.get(remote[0])
        if remote_host is None:
            raise OSError(113, f"no route to host {remote[0]}")
        ip = (
            local[0]
            if local is not None
            else remote[0]
            if remote_host is process.host
            else process.host.ips[0]
        )
        address = (ip, self.free_port(process.host, ip))
        protocol = factory()
        established = process.loop.create_future()
        end = TcpTransport(self, process, process.host, address, remote, protocol, established)
        process.take_descriptor(end)
        peer = TcpTransport(self, None, remote_host, remote, address, None, None)
        number = next(self._numbers)
        connection = Connection(number, end, peer, self.conditions.window, ends=[end, peer])
        connection.label = f"{process.name}:{number}"
        end.attach_connection(connection, peer, f"{connection.label}<")
        peer.attach_connection(connection, end, f"{connection.label}>")
        self.connections[connection] = None
        self.world.trace.add(
            self.world.now, process.name, "connect", f"{connection.label} {remote[0]}:{remote[1]}"
        )
        self._send_syn(connection)
        try:
            await established
        except BaseException:
            end.cancel_connect()
            raise
        return end, protocol

    def _send_syn(self, connection: Connection) -> None:
        client, server = connection.client, connection.server
        at = self.arrival(client.host, server.host, SYN_RETRANSMISSION_TIMEOUT_NS)
        self.world.at(at, None, self._receive_syn, (connection,))

    def _receive_syn(self, connection: Connection) -> None:
        """Receive a SYN: refuse it, drop it or answer it."""
        client, server = connection.client, connection.server
        if client.socket_closed or server.host.silent:
            return
        listener = self._listeners.get(server.address)
        if listener is None:
            at = self.arrival(server.host, client.host)
            self.world.at(at, None, client.connection_refused)
            return
        if listener.is_full:
            # The kernel drops a SYN that the backlog has no room for; the client sends it again.
            self.world.at(self.world.now + SYN_RETRANSMISSION_TIMEOUT_NS, None, self._send_syn, (connection,))
            return
        listener.add_pending(connection)
        cut = self.choose_cut_phase(server.host, client.host, ("accept",))
        at = self.arrival(server.host, client.host, SYN_RETRANSMISSION_TIMEOUT_NS)
        self.world.at(at, None, self._receive_syn_ack, (connection, listener, cut))

    def _receive_syn_ack(self, connection: Connection, listener: TcpListener, cut: str) -> None:
        """Receive the SYN-ACK: the client's end is established, and the server's once the ACK arrives."""
        client, server = connection.client, connection.server
        if client.socket_closed or client.host.silent:
            listener.remove_pending(connection)
            return
        client.set_established()
        at = self.arrival(client.host, server.host)
        client.set_earliest_arrival(at)
        self.world.at(at, None, listener.connection_established, (connection,))
        if cut:
            self.break_connection(connection)

    def break_connection(self, connection: Connection) -> None:
        """Break a connection: both ends get a reset."""
        if connection not in self.connections:
            return
        self.world.trace.add(self.world.now, "network", "cut", connection.label)
        self.on_cut(connection)
        for end in connection.ends:
            end.receive_reset()

    def black_hole(self, connection: Connection) -> None:
        """Drop all segments of a connection from now on."""
        self.world.trace.add(self.world.now, "network", "swallow", connection.label)
        self.on_cut(connection)
        connection.black_holed = True

    def forget_connection(self, connection: Connection) -> None:
        """Remove a connection whose ends are both closed."""
        self.connections.pop(connection, None)

    # UDP

    async def open_datagram_socket(
        self,
        process: Process,
        factory: Callable[[], asyncio.DatagramProtocol],
        local: Address | None,
        remote: Address | None,
    ) -> tuple[asyncio.DatagramTransport, asyncio.DatagramProtocol]:
        """Open a datagram socket; raises OSError as the kernel does."""
        ip, port = local or (process.host.ips[0], 0)
        if ip not in process.host.ips:
            raise OSError(99, f"cannot assign requested address {ip}")
        port = port or self.free_port(process.host, ip)
        if (ip, port) in self._endpoints:
            raise OSError(98, f"address already in use: {ip}:{port}")
        protocol = factory()
        end = UdpTransport(self, process, (ip, port), remote, protocol)
        process.take_descriptor(end)
        self._endpoints[ip, port] = end
        self.world.soon(process, protocol.connection_made, (end,))
        # As with real loops, the call returns only after connection_made.
        ready = process.loop.create_future()
        self.world.soon(process, ready.set_result, (None,))
        await ready
        return end, protocol

    def unbind(self, end: UdpTransport) -> None:
        """Release the address of a datagram socket."""
        if self._endpoints.get(end.address) is end:
            del self._endpoints[end.address]

    def send_datagram(self, end: UdpTransport, data: bytes, remote: Address) -> None:
        """Send a datagram, which may be lost, duplicated or delayed; a group's members all get one."""
        if remote in self.groups:
            for member in self.groups[remote]:
                if member != end.address:
                    self.send_datagram(end, data, member)
            return
        receiver = self._hosts.get(remote[0])
        sender, conditions, draw = end.process.host, self.conditions, self._random.random
        if receiver is None or sender.silent or self.is_blocked(sender, receiver):
            return
        if self.peers is not None:
            now = self.world.now
            for delay in self.peers.delivery_delays(now / NS_PER_S, sender.name, receiver.name, len(data)):
                self.world.at(now + int(delay * NS_PER_S), None, self._receive_datagram, (end, data, remote))
            return
        for _ in range(
            2 if conditions.datagram_duplication and draw() < conditions.datagram_duplication else 1
        ):
            if conditions.datagram_loss and draw() < conditions.datagram_loss:
                continue
            at = self.world.now + self.delay(sender, receiver)
            if conditions.datagram_reordering and draw() < conditions.datagram_reordering:
                at += int(draw() * conditions.reordering_ns)
            self.world.at(at, None, self._receive_datagram, (end, data, remote))

    def _receive_datagram(self, sender: UdpTransport, data: bytes, remote: Address) -> None:
        host = self._hosts[remote[0]]
        if host.silent:
            return
        end = self._endpoints.get(remote)
        if end is None:
            if sender.remote is None:
                return  # only a connected socket learns that the port is closed
            at = self.world.now + self.delay(host, sender.process.host)
            self.world.at(at, sender.process, sender.receive_port_unreachable)
            return
        self.world.trace.add(self.world.now, end.process.name, "datagram", f"{sender.address}", data)
        self.world.soon(end.process, end.receive_datagram, (data, sender.address))
