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
from holdgw.simulation.transports import DatagramEnd, Listener, TcpEnd
from holdgw.simulation.world import NS_PER_S, World

Address = tuple[str, int]

EPHEMERAL = 32_768  # ports from here on are given out where none is asked for
LAST_PORT = 60_999
WINDOW = 256 << 10  # bytes that the kernels of both sides hold of one direction
SEND_AGAIN_NS = 200_000_000  # Linux's least retransmission time-out
SYN_AGAIN_NS = 1_000_000_000  # its first one for a connection that is not up
LOCAL_NS = 20_000  # within a host


@dataclass(eq=False, slots=True)
class Host:
    """A machine. `silent`: it takes and sends nothing, and nobody is told; `epoch` counts its boots."""

    name: str
    zone: str
    ips: tuple[str, ...]
    silent: bool = False
    epoch: int = 0
    sheltered: bool = False
    """Its lines know nothing but delay."""
    steady: bool = False
    """Its lines lose nothing, and are no slower than usual; they may be cut."""
    disk: Disk = field(default_factory=Disk)

    @property
    def fair(self) -> bool:
        """Whether the weather leaves its lines alone."""
        return self.sheltered or self.steady


@dataclass(eq=False, slots=True)
class Cut:
    """A share of what is sent on matching lines breaks its connection, in one of troubles.PHASES."""

    share: float
    phases: tuple[str, ...]
    hits: Callable[[Host, Host], bool]


@dataclass(slots=True)
class Weather:
    """What befalls lines at the moment, beside cuts and partitions."""

    loss: float = 0.0
    """Share of segments that come only when they are sent again."""
    chop: float = 0.0
    """Share of segments that come in pieces."""
    slow_ns: int = 0
    """Added to every delay, drawn up to it."""
    window: int = WINDOW
    """Of connections made from now on."""
    drop: float = 0.0
    """Share of datagrams lost."""
    double: float = 0.0
    late: float = 0.0
    """Share of datagrams that come up to `late_ns` later."""
    late_ns: int = 50_000_000


Line = Callable[[Host, Host], tuple[int, int]]
"""The least one-way delay between two hosts and its jitter, nanoseconds."""


@dataclass(eq=False, slots=True)
class Connection:
    """One TCP connection: both ends, and whether the line has swallowed it."""

    number: int
    client: TcpEnd
    server: TcpEnd
    window: int
    vanished: bool = False
    label: str = ""
    ends: list[TcpEnd] = field(default_factory=list)


class Network:
    """All hosts and what lies between them."""

    def __init__(self, world: World, line: Line) -> None:
        self.world = world
        self.weather = Weather()
        self.cuts: list[Cut] = []
        self.connections: dict[Connection, None] = {}
        self.on_cut: Callable[[Connection], None] = lambda _: None
        """Told of a connection that the network broke, before its ends are, or that it swallows things on."""
        self.on_wrote_behind_end: Callable[[TcpEnd], None] = lambda _: None
        """Told of an end that writes though its program was told that the other side has ended."""
        self.on_held: Callable[[Host, Host, int, int], None] = lambda _a, _b, _sent, _comes: None
        """Told of a segment that the network held back: from, to, when it was written and when it comes."""
        self.peers: RelayModel | None = None
        """The lines between routers, where they may speak to one another; datagrams go by these then."""
        self.groups: dict[Address, list[Address]] = {}
        """Addresses at which several are reached."""
        self._line = line
        self._lines: dict[tuple[Host, Host], tuple[int, int]] = {}
        self._hosts: dict[str, Host] = {}
        self._listeners: dict[Address, Listener] = {}
        self._endpoints: dict[Address, DatagramEnd] = {}
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
            return LOCAL_NS
        line = self._lines.get((a, b))
        if line is None:
            line = self._lines[a, b] = self._line(a, b)
        least, jitter = line
        taken = least + int(self._random.random() * jitter)
        slow = self.weather.slow_ns
        if slow and not (a.fair or b.fair):
            taken += int(self._random.random() * slow)
        return taken

    def arrival(self, a: Host, b: Host, again_ns: int = SEND_AGAIN_NS) -> int:
        """When a segment sent now comes in, with what is lost being sent again until it comes."""
        at = self.world.now + self.delay(a, b)
        if a is b:
            return at
        loss = 0.0 if a.fair or b.fair else self.weather.loss
        while loss and self._random.random() < loss:
            at += again_ns
            again_ns *= 2
        if self._blocked:
            until = self._blocked.get((a, b), 0)
            if until > self.world.now:
                # TCP's next try after the line is back; the tries lie ever further apart.
                gap = max((until - self.world.now) // 2, again_ns)
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

    def vanish(self, host: Host) -> None:
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
        host.epoch += 1
        for connection in list(self.connections):
            for end in connection.ends:
                if end.host is host:
                    end.forgotten()

    # Cuts

    def cut_of(self, a: Host, b: Host, phases: Iterable[str]) -> str:
        """The phase in which something that is sent now breaks its connection; empty: it does not."""
        if a.sheltered or b.sheltered:
            return ""
        for cut in self.cuts:
            if cut.hits(a, b) and self._random.random() < cut.share:
                phase = self._random.choice(cut.phases)
                if phase in phases:
                    return phase
        return ""

    def part_of(self, size: int) -> int:
        """A place within a segment."""
        return self._random.randrange(size) if size else 0

    def pieces(self, data: bytes) -> list[bytes]:
        """A segment as it comes: whole, or cut anywhere."""
        if not self.weather.chop or len(data) < 2 or self._random.random() >= self.weather.chop:
            return [data]
        places = sorted({self._random.randrange(1, len(data)) for _ in range(self._random.randint(1, 4))})
        return [data[i:j] for i, j in zip([0, *places], [*places, len(data)], strict=True)]

    # TCP

    def free_port(self, host: Host, ip: str) -> int:
        """A port that nothing listens on."""
        port = self._ports.get(host, EPHEMERAL)
        while (ip, port) in self._listeners or (ip, port) in self._endpoints:
            port = port + 1 if port < LAST_PORT else EPHEMERAL
        self._ports[host] = port + 1 if port < LAST_PORT else EPHEMERAL
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
        if all(ip not in host.ips for host in process.homes):
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
        end = TcpEnd(self, process, process.host, address, remote, protocol, up)
        process.take_descriptor(end)
        peer = TcpEnd(self, None, other, remote, address, None, None)
        number = next(self._numbers)
        connection = Connection(number, end, peer, self.weather.window, ends=[end, peer])
        connection.label = f"{process.name}:{number}"
        end.join(connection, peer, f"{connection.label}<")
        peer.join(connection, end, f"{connection.label}>")
        self.connections[connection] = None
        self.world.trace.add(
            self.world.now, process.name, "connect", f"{connection.label} {remote[0]}:{remote[1]}"
        )
        self._knock(connection)
        try:
            await up
        except BaseException:
            end.given_up()
            raise
        return end, protocol

    def _knock(self, connection: Connection) -> None:
        client, server = connection.client, connection.server
        at = self.arrival(client.host, server.host, SYN_AGAIN_NS)
        self.world.at(at, None, self._knocks, (connection,))

    def _knocks(self, connection: Connection) -> None:
        """The SYN comes in."""
        client, server = connection.client, connection.server
        if client.shut or server.host.silent:
            return
        listener = self._listeners.get(server.address)
        if listener is None:
            at = self.arrival(server.host, client.host)
            self.world.at(at, None, client.refused)
            return
        if listener.is_full:
            # The kernel drops what there is no room for; the other side knocks again.
            self.world.at(self.world.now + SYN_AGAIN_NS, None, self._knock, (connection,))
            return
        listener.expect(connection)
        cut = self.cut_of(server.host, client.host, ("accept",))
        at = self.arrival(server.host, client.host, SYN_AGAIN_NS)
        self.world.at(at, None, self._answered, (connection, listener, cut))

    def _answered(self, connection: Connection, listener: Listener, cut: str) -> None:
        """The SYN's answer comes in: the client's side is up, and the server's as soon as it hears."""
        client, server = connection.client, connection.server
        if client.shut or client.host.silent:
            listener.unexpect(connection)
            return
        client.came_up()
        at = self.arrival(client.host, server.host)
        client.first_at(at)
        self.world.at(at, None, listener.arrived, (connection,))
        if cut:
            self.break_off(connection)

    def break_off(self, connection: Connection) -> None:
        """The line breaks a connection now: both ends get a reset."""
        if connection not in self.connections:
            return
        self.world.trace.add(self.world.now, "network", "cut", connection.label)
        self.on_cut(connection)
        for end in connection.ends:
            end.reset_comes()

    def swallow(self, connection: Connection) -> None:
        """From now on the line takes everything on a connection and hands nothing on."""
        self.world.trace.add(self.world.now, "network", "swallow", connection.label)
        self.on_cut(connection)
        connection.vanished = True

    def over(self, connection: Connection) -> None:
        """Both ends are closed."""
        self.connections.pop(connection, None)

    # UDP

    async def datagrams(
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
        end = DatagramEnd(self, process, (ip, port), remote, protocol)
        process.take_descriptor(end)
        self._endpoints[ip, port] = end
        self.world.soon(process, protocol.connection_made, (end,))
        # As with real loops, it is usable only once the protocol knows its transport.
        ready = process.loop.create_future()
        self.world.soon(process, ready.set_result, (None,))
        await ready
        return end, protocol

    def unbind(self, end: DatagramEnd) -> None:
        """The address is free again."""
        if self._endpoints.get(end.address) is end:
            del self._endpoints[end.address]

    def send_datagram(self, end: DatagramEnd, data: bytes, remote: Address) -> None:
        """A datagram on its way: it may be lost, come twice, or late."""
        if remote in self.groups:
            for one in self.groups[remote]:
                if one != end.address:
                    self.send_datagram(end, data, one)
            return
        other = self._hosts.get(remote[0])
        here, weather, draw = end.process.host, self.weather, self._random.random
        if other is None or here.silent or self.is_blocked(here, other):
            return
        if self.peers is not None:
            now = self.world.now
            for delay in self.peers.delivery_delays(now / NS_PER_S, here.name, other.name, len(data)):
                self.world.at(now + int(delay * NS_PER_S), None, self._datagram_comes, (end, data, remote))
            return
        for _ in range(2 if weather.double and draw() < weather.double else 1):
            if weather.drop and draw() < weather.drop:
                continue
            at = self.world.now + self.delay(here, other)
            if weather.late and draw() < weather.late:
                at += int(draw() * weather.late_ns)
            self.world.at(at, None, self._datagram_comes, (end, data, remote))

    def _datagram_comes(self, sender: DatagramEnd, data: bytes, remote: Address) -> None:
        host = self._hosts[remote[0]]
        if host.silent:
            return
        end = self._endpoints.get(remote)
        if end is None:
            if sender.remote is None:
                return  # only a connected socket is told
            at = self.world.now + self.delay(host, sender.process.host)
            self.world.at(at, sender.process, sender.was_refused)
            return
        self.world.trace.add(self.world.now, end.process.name, "datagram", f"{sender.address}", data)
        self.world.soon(end.process, end.came, (data, sender.address))
