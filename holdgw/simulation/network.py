"""Hosts, the lines between them, and what goes wrong on those: decided by the world's seed.

What a line does to a connection: delay with jitter, segments that are sent again after a loss, partitions
(also one way) that hold bytes back until they heal, and cuts in every phase. Faults start and end by calls; a
line that no fault is on costs no draw but its jitter.
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
from holdgw.simulation.transports import Listener, TcpTransport, UdpTransport
from holdgw.simulation.world import NS_PER_S, World

Address = tuple[str, int]

FIRST_EPHEMERAL_PORT = 32_768  # ports from here on are given out where none is asked for
LAST_EPHEMERAL_PORT = 60_999
WINDOW_BYTES = 256 << 10  # bytes that the kernels of both sides hold of one direction
RETRANSMISSION_TIMEOUT_NS = 200_000_000  # Linux's least retransmission time-out
SYN_RETRANSMISSION_TIMEOUT_NS = 1_000_000_000  # its first one for a connection that is not up
LOOPBACK_DELAY_NS = 20_000  # within a host


@dataclass(eq=False, slots=True)
class Host:
    """A machine. `silent`: it takes and sends nothing, and nobody is told; `boot_count` counts its boots."""

    name: str
    zone: str
    ips: tuple[str, ...]
    silent: bool = False
    boot_count: int = 0
    fault_free: bool = False
    """Its lines know nothing but delay."""
    lossless: bool = False
    """Its lines lose nothing, and are no slower than usual; they may be cut."""
    disk: Disk = field(default_factory=Disk)

    @property
    def ignores_conditions(self) -> bool:
        """Whether the conditions leaves its lines alone."""
        return self.fault_free or self.lossless


@dataclass(eq=False, slots=True)
class Cut:
    """A share of what is sent on matching lines breaks its connection, in one of troubles.PHASES."""

    share: float
    phases: tuple[str, ...]
    matches: Callable[[Host, Host], bool]


@dataclass(slots=True)
class LinkConditions:
    """What befalls lines at the moment, beside cuts and partitions."""

    loss: float = 0.0
    """Share of segments that come only when they are sent again."""
    chop: float = 0.0
    """Share of segments that come in pieces."""
    extra_delay_ns: int = 0
    """Added to every delay, drawn up to it."""
    window: int = WINDOW_BYTES
    """Of connections made from now on."""
    datagram_loss: float = 0.0
    """Share of open_datagram_socket lost."""
    datagram_duplication: float = 0.0
    datagram_reordering: float = 0.0
    """Share of open_datagram_socket that come up to `late_ns` later."""
    reordering_ns: int = 50_000_000


LinkDelay = Callable[[Host, Host], tuple[int, int]]
"""The least one-way delay between two hosts and its jitter, nanoseconds."""


@dataclass(eq=False, slots=True)
class Connection:
    """One TCP connection: both ends, and whether the line has swallowed it."""

    number: int
    client: TcpTransport
    server: TcpTransport
    window: int
    black_holed: bool = False
    label: str = ""
    ends: list[TcpTransport] = field(default_factory=list)


class Network:
    """All hosts and what lies between them."""

    def __init__(self, world: World, link_delay: LinkDelay) -> None:
        self.world = world
        self.conditions = LinkConditions()
        self.cuts: list[Cut] = []
        self.connections: dict[Connection, None] = {}
        self.on_cut: Callable[[Connection], None] = lambda _: None
        """Told of a connection that the network broke, before its ends are, or that it swallows things on."""
        self.on_write_after_eof: Callable[[TcpTransport], None] = lambda _: None
        """Told of an end that writes though its program was told that the other side has ended."""
        self.on_segment_delayed: Callable[[Host, Host, int, int], None] = lambda _a, _b, _sent, _comes: None
        """Told of a segment that the network held back: from, to, when it was written and when it comes."""
        self.peers: RelayModel | None = None
        """The links between routers that exchange datagrams; where it is set, it carries all datagrams."""
        self.groups: dict[Address, list[Address]] = {}
        """Addresses at which several are reached."""
        self._link_delay = link_delay
        self._link_delays: dict[tuple[Host, Host], tuple[int, int]] = {}
        self._hosts: dict[str, Host] = {}
        self._listeners: dict[Address, Listener] = {}
        self._endpoints: dict[Address, UdpTransport] = {}
        self._blocked: dict[tuple[Host, Host], int] = {}
        self._numbers = count(1)
        self._ports: dict[Host, int] = {}
        self._random = random.Random(f"{world.seed}/network")

    def host(self, name: str, zone: str, *ips: str) -> Host:
        """A new machine."""
        host = Host(name, zone, ips)
        for ip in ips:
            if ip in self._hosts:
                raise ValueError(f"{ip} is {self._hosts[ip].name}'s")
            self._hosts[ip] = host
        return host

    # Lines

    def delay(self, a: Host, b: Host) -> int:
        """How long something takes from one host to the other, if it were sent now."""
        if a is b:
            return LOOPBACK_DELAY_NS
        link_delay = self._link_delays.get((a, b))
        if link_delay is None:
            link_delay = self._link_delays[a, b] = self._link_delay(a, b)
        least, jitter = link_delay
        taken = least + int(self._random.random() * jitter)
        slow = self.conditions.extra_delay_ns
        if slow and not (a.ignores_conditions or b.ignores_conditions):
            taken += int(self._random.random() * slow)
        return taken

    def arrival(self, a: Host, b: Host, retransmission_timeout_ns: int = RETRANSMISSION_TIMEOUT_NS) -> int:
        """When a segment sent now comes in, with what is lost being sent again until it comes."""
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
                # TCP's next try after the line is back; the tries lie ever further apart.
                gap = max((until - self.world.now) // 2, retransmission_timeout_ns)
                at = max(at, until + int(self._random.random() * gap))
        return at

    def is_blocked(self, a: Host, b: Host) -> bool:
        """Whether a partition lies between them."""
        return self._blocked.get((a, b), 0) > self.world.now

    def block(self, a: Iterable[Host], b: Iterable[Host], seconds: float, both: bool = True) -> None:
        """Nothing comes from `a` to `b` for so long, nor back if `both`; TCP's bytes come afterwards."""
        until = self.world.now + int(seconds * NS_PER_S)
        others = list(b)
        for one in a:
            for other in others:
                if one is other:
                    continue
                self._blocked[one, other] = max(self._blocked.get((one, other), 0), until)
                if both:
                    self._blocked[other, one] = max(self._blocked.get((other, one), 0), until)

    def power_off(self, host: Host) -> None:
        """A machine is gone without a word: whoever waits for it is told nothing. Its processes are whoever
        started them's to kill, now or at the boot.
        """
        host.silent = True
        self.world.trace.add(self.world.now, host.name, "vanish")

    def boot(self, host: Host) -> None:
        """The machine is back, with what its disk kept; it knows nothing of its connections, and says so to
        whoever sends on them.
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
        """The phase in which something that is sent now breaks its connection; empty: it does not."""
        if a.fault_free or b.fault_free:
            return ""
        for cut in self.cuts:
            if cut.matches(a, b) and self._random.random() < cut.share:
                phase = self._random.choice(cut.phases)
                if phase in phases:
                    return phase
        return ""

    def random_offset(self, size: int) -> int:
        """A place within a segment."""
        return self._random.randrange(size) if size else 0

    def split_segment(self, data: bytes) -> list[bytes]:
        """A segment as it comes: whole, or cut anywhere."""
        if not self.conditions.chop or len(data) < 2 or self._random.random() >= self.conditions.chop:
            return [data]
        places = sorted({self._random.randrange(1, len(data)) for _ in range(self._random.randint(1, 4))})
        return [data[i:j] for i, j in zip([0, *places], [*places, len(data)], strict=True)]

    # TCP

    def free_port(self, host: Host, ip: str) -> int:
        """A port that nothing listens on."""
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
    ) -> Listener:
        """Listen there; raises OSError as the kernel does."""
        ip, port = address
        if all(ip not in host.ips for host in process.listen_hosts):
            raise OSError(99, f"could not bind on {address}: not an address of {process.host.name}")
        port = port or self.free_port(process.host, ip)
        if (ip, port) in self._listeners:
            raise OSError(
                98, f"error while attempting to bind on address {(ip, port)}: address already in use"
            )
        listener = Listener(self, process, factory, (ip, port), backlog)
        process.take_descriptor(listener)
        self._listeners[ip, port] = listener
        return listener

    def unlisten(self, listener: Listener) -> None:
        """The address is free again."""
        if self._listeners.get(listener.address) is listener:
            del self._listeners[listener.address]

    def listener(self, address: Address) -> Listener | None:
        """Who listens there."""
        return self._listeners.get(address)

    async def connect(
        self,
        process: Process,
        factory: Callable[[], asyncio.BaseProtocol],
        remote: Address,
        local: Address | None,
    ) -> tuple[asyncio.Transport, asyncio.BaseProtocol]:
        """Connect; raises OSError as the kernel does, and waits for as long as nobody answers."""
        other = self._hosts.get(remote[0])
        if other is None:
            raise OSError(113, f"no route to host {remote[0]}")
        ip = local[0] if local is not None else remote[0] if other is process.host else process.host.ips[0]
        address = (ip, self.free_port(process.host, ip))
        protocol = factory()
        up = process.loop.create_future()
        end = TcpTransport(self, process, process.host, address, remote, protocol, up)
        process.take_descriptor(end)
        peer = TcpTransport(self, None, other, remote, address, None, None)
        number = next(self._numbers)
        connection = Connection(number, end, peer, self.conditions.window, ends=[end, peer])
        connection.label = f"{process.name}:{number}"
        end.attach(connection, peer, f"{connection.label}<")
        peer.attach(connection, end, f"{connection.label}>")
        self.connections[connection] = None
        self.world.trace.add(
            self.world.now, process.name, "connect", f"{connection.label} {remote[0]}:{remote[1]}"
        )
        self._send_syn(connection)
        try:
            await up
        except BaseException:
            end.cancel_connect()
            raise
        return end, protocol

    def _send_syn(self, connection: Connection) -> None:
        client, server = connection.client, connection.server
        at = self.arrival(client.host, server.host, SYN_RETRANSMISSION_TIMEOUT_NS)
        self.world.at(at, None, self._receive_syn, (connection,))

    def _receive_syn(self, connection: Connection) -> None:
        """The SYN comes in."""
        client, server = connection.client, connection.server
        if client.socket_closed or server.host.silent:
            return
        listener = self._listeners.get(server.address)
        if listener is None:
            at = self.arrival(server.host, client.host)
            self.world.at(at, None, client.connection_refused)
            return
        if listener.is_full:
            # The kernel drops what there is no room for; the other side knocks again.
            self.world.at(self.world.now + SYN_RETRANSMISSION_TIMEOUT_NS, None, self._send_syn, (connection,))
            return
        listener.add_pending(connection)
        cut = self.choose_cut_phase(server.host, client.host, ("accept",))
        at = self.arrival(server.host, client.host, SYN_RETRANSMISSION_TIMEOUT_NS)
        self.world.at(at, None, self._receive_syn_ack, (connection, listener, cut))

    def _receive_syn_ack(self, connection: Connection, listener: Listener, cut: str) -> None:
        """The SYN's answer comes in: the client's side is up, and the server's as soon as it hears."""
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
        """The line breaks a connection now: both ends get a reset."""
        if connection not in self.connections:
            return
        self.world.trace.add(self.world.now, "network", "cut", connection.label)
        self.on_cut(connection)
        for end in connection.ends:
            end.receive_reset()

    def black_hole(self, connection: Connection) -> None:
        """From now on the line takes everything on a connection and hands nothing on."""
        self.world.trace.add(self.world.now, "network", "swallow", connection.label)
        self.on_cut(connection)
        connection.black_holed = True

    def forget_connection(self, connection: Connection) -> None:
        """Both ends are closed."""
        self.connections.pop(connection, None)

    # UDP

    async def open_datagram_socket(
        self,
        process: Process,
        factory: Callable[[], asyncio.DatagramProtocol],
        local: Address | None,
        remote: Address | None,
    ) -> tuple[asyncio.DatagramTransport, asyncio.DatagramProtocol]:
        """A datagram socket."""
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
        # As with real loops, it is usable only once the protocol knows its transport.
        ready = process.loop.create_future()
        self.world.soon(process, ready.set_result, (None,))
        await ready
        return end, protocol

    def unbind(self, end: UdpTransport) -> None:
        """The address is free again."""
        if self._endpoints.get(end.address) is end:
            del self._endpoints[end.address]

    def send_datagram(self, end: UdpTransport, data: bytes, remote: Address) -> None:
        """A datagram on its way: it may be lost, come twice, or late."""
        if remote in self.groups:
            for one in self.groups[remote]:
                if one != end.address:
                    self.send_datagram(end, data, one)
            return
        other = self._hosts.get(remote[0])
        here, conditions, draw = end.process.host, self.conditions, self._random.random
        if other is None or here.silent or self.is_blocked(here, other):
            return
        if self.peers is not None:
            now = self.world.now
            for delay in self.peers.carries(now / NS_PER_S, here.name, other.name, len(data)):
                self.world.at(now + int(delay * NS_PER_S), None, self._receive_datagram, (end, data, remote))
            return
        for _ in range(
            2 if conditions.datagram_duplication and draw() < conditions.datagram_duplication else 1
        ):
            if conditions.datagram_loss and draw() < conditions.datagram_loss:
                continue
            at = self.world.now + self.delay(here, other)
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
                return  # only a connected socket is told
            at = self.world.now + self.delay(host, sender.process.host)
            self.world.at(at, sender.process, sender.receive_port_unreachable)
            return
        self.world.trace.add(self.world.now, end.process.name, "datagram", f"{sender.address}", data)
        self.world.soon(end.process, end.receive_datagram, (data, sender.address))
