"""A router on several simulated cores: its supervisor and workers run unchanged, each a process of its own.

What they take from the machine is made here: links between processes, descriptors that go from one to
another, processes that are started, shared memory. Workers are killed, held up and replaced amid the day.
"""

from __future__ import annotations

import asyncio
import random
import signal
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any, cast

from holdgw.cores import shared_table
from holdgw.cores.host_system import BACKLOG, Acceptor, Decode, Lost, Take
from holdgw.cores.supervisor import Supervisor
from holdgw.cores.worker import Worker, WorkerSlot
from holdgw.cores.worker_pool import InsufficientResourcesError, WorkerState
from holdgw.operation.process_link import ProcessLink, encode
from holdgw.router.client_connection import ClientConnection, ClientListener
from holdgw.router.config import Config, ConfigError, load_config
from holdgw.router.platform import Platform
from holdgw.simulation.fleet_run import RouterMain, SimulatedRouter
from holdgw.simulation.process import Process
from holdgw.simulation.transports import Listener, TcpEnd, has_left
from holdgw.simulation.world import NS_PER_MS, NS_PER_S

HARM_NS = (400 * NS_PER_MS, 2500 * NS_PER_MS)  # between one trouble of a router's workers and the next
HELD_UP_NS = (50 * NS_PER_MS, 1500 * NS_PER_MS)
START_NS = (80 * NS_PER_MS, 400 * NS_PER_MS)  # until a process that was started runs our code


class Descriptors:
    """The kernel's table of connections that are held by number, for a host."""

    def __init__(self) -> None:
        self._ends: dict[int, TcpEnd] = {}
        self._next = 1000

    def hold(self, end: TcpEnd) -> int:
        """A number for a connection, whoever else has it."""
        self._next += 1
        self._ends[self._next] = end
        end.copies += 1
        return self._next

    def dup(self, number: int) -> int:
        """Another number of the same connection."""
        return self.hold(self._ends[number])

    def drop(self, number: int) -> None:
        """Close a number; the connection is closed with the last one."""
        self._ends.pop(number).copy_dropped()

    def end_of(self, number: int) -> TcpEnd:
        """The connection."""
        return self._ends[number]

    def __len__(self) -> int:
        return len(self._ends)


class _InHand:
    """The connections that a supervisor holds by number; the kernel closes them with its process."""

    def __init__(self, supervisor: Supervisor, descriptors: Descriptors) -> None:
        self._supervisor, self._descriptors = supervisor, descriptors

    def process_died(self) -> None:
        """Drop them: a copy that stayed would keep a connection open whose worker has closed it."""
        for one in self._supervisor.workers.values():
            while one.copies:
                self._descriptors.drop(one.copies.popleft()[1])
        waiting = self._supervisor._waiting
        while waiting:
            self._descriptors.drop(waiting.popleft()[1])


class SimulatedLink:
    """One end of a link between two processes: what is sent is there at once, and read when it runs."""

    def __init__(self, process: Process, descriptors: Descriptors) -> None:
        self.process, self._descriptors = process, descriptors
        self._decode: Decode | None = None  # None: its process has not come to it yet
        self._take: Callable[[Any, Any, int | None], None] = lambda *_: None
        self._lost: Callable[[Any], None] = lambda _: None
        self._inbox: deque[tuple[bytes, int | None]] = deque()
        self.peer: SimulatedLink | None = None
        self.open, self.ready, self.sent = True, False, True
        process.take_descriptor(self)

    def begin(self, decode: Decode, take: Take, lost: Lost) -> ProcessLink[Any]:
        """Read from now on, and what is there already."""
        self._decode, self._take, self._lost = decode, take, lost
        self.process.world.soon(self.process, self.read)
        return cast("ProcessLink[Any]", self)

    def send(self, message: object, descriptor: int | None = None) -> None:
        """Send in order; the descriptor is the other side's from here on."""
        peer = self.peer
        if not self.open or peer is None or not peer.open:
            if descriptor is not None:
                self._descriptors.drop(descriptor)
            return
        peer.arrives(encode(message), descriptor)

    def arrives(self, data: bytes, descriptor: int | None) -> None:
        """A message is there."""
        self._inbox.append((data, descriptor))
        if len(self._inbox) == 1:
            self.process.world.soon(self.process, self.read)

    def read(self) -> None:
        """Take all that has come."""
        if self._decode is None:
            return
        while self.open and self._inbox:
            data, descriptor = self._inbox.popleft()
            self._take(self, self._decode(data), descriptor)
        if self.open and self.peer is None:
            self.close()

    def close(self) -> None:
        """End the link."""
        if self.open:
            self._end()
            self.process.free_descriptor(self)
            self._lost(self)

    def process_died(self) -> None:
        """The kernel closes it."""
        if self.open:
            self._end()

    def _end(self) -> None:
        self.open = False
        for _, descriptor in self._inbox:
            if descriptor is not None:
                self._descriptors.drop(descriptor)
        self._inbox.clear()
        peer, self.peer = self.peer, None
        if peer is not None:
            peer.peer = None
            if peer.open:
                peer.process.world.soon(peer.process, peer.read)


class _Porter(asyncio.Protocol):
    """Has an accepted connection for as long as it takes to give it on."""

    def __init__(self, descriptors: Descriptors, take: Callable[[int], None]) -> None:
        self._descriptors, self._take = descriptors, take

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Give it on unread."""
        end = cast(TcpEnd, transport)
        number = self._descriptors.hold(end)
        end.let_go()
        self._take(number)


class _Ear:
    """The clients' listening socket. It always hears: the simulation's waiting room is the supervisor's."""

    def __init__(self, listener: Listener) -> None:
        self._listener = listener
        self.address = listener.address

    def hear(self, wanted: bool) -> None:
        """Nothing to do."""

    def close(self) -> None:
        """Listen no more."""
        self._listener.close()


class _Running:
    """A worker's process as its supervisor has it."""

    def __init__(self, process: Process, parent: Process, over: Callable[[Process], None]) -> None:
        self.process = process
        self._ended: asyncio.Future[int] = parent.loop.create_future()
        self._parent, self._over = parent, over
        process.on_exit = self._exited

    def _exited(self, process: Process) -> None:
        self._over(process)
        if self._parent.alive:
            self._parent.world.soon(self._parent, self._tell)

    def _tell(self) -> None:
        if not self._ended.done():
            self._ended.set_result(self.process.code or 0)

    @property
    def returncode(self) -> int | None:
        """None while it runs."""
        return None if self.process.alive else self.process.code

    async def wait(self) -> int:
        """Wait for its end."""
        return await self._ended

    def send_signal(self, number: int) -> None:
        """Send it a signal."""
        if not self.process.alive:
            raise ProcessLookupError
        self.process.tell(signal.Signals(number))


class _WorkerMachine:
    """What a worker takes from its machine."""

    def __init__(self, process: Process, machine: SimulatedMachine, link: SimulatedLink) -> None:
        self._process, self._machine, self._link = process, machine, link

    def board(self, workers: int, place: int) -> shared_table.SharedTable:
        """The shared memory as this worker sees it."""
        return shared_table.SharedTable(self._machine.memory, workers, place)

    def link(self, decode: Decode, take: Take, lost: Lost) -> ProcessLink[Any]:
        """The link to the supervisor."""
        return self._link.begin(decode, take, lost)

    async def adopt(self, clients: ClientListener, told: Any, descriptor: int, late: int) -> None:
        """Take a client's connection."""
        end = self._machine.descriptors.end_of(descriptor)
        self._process.take_descriptor(end)
        end.taken(self._process, cast(Any, ClientConnection(clients, told, late)))
        self._machine.descriptors.drop(descriptor)

    def copy(self, transport: Any) -> int:
        """A descriptor of a client's connection."""
        return self._machine.descriptors.hold(transport)

    def drop(self, descriptor: int) -> None:
        """Close a descriptor."""
        self._machine.descriptors.drop(descriptor)


class SimulatedMachine:
    """What a supervisor takes from its machine."""

    def __init__(self, router: SimulatedRouter, process: Process, config: Config) -> None:
        self.router, self.process, self.config = router, process, config
        self.descriptors = Descriptors()
        self.memory = bytearray()
        self.workers: list[Process] = []
        self._random = random.Random(f"{router.theatre.day.seed}/{router.name}/{router.starts}/cores")

    def board(self, workers: int) -> shared_table.SharedTable:
        """Make the shared memory."""
        self.memory = bytearray(shared_table.size(workers))
        return shared_table.SharedTable(self.memory, workers)

    def listen(self, config: Config, take: Callable[[int], None]) -> Acceptor:
        """Listen for clients."""
        listener = self.process.network.listen(
            self.process, lambda: _Porter(self.descriptors, take), config.listen, BACKLOG
        )
        return _Ear(listener)

    async def start(
        self,
        place: int,
        workers: int,
        environ: Mapping[str, str],
        decode: Decode,
        take: Take,
    ) -> tuple[_Running, ProcessLink[Any]]:
        """Start a worker."""
        theatre, parent = self.router.theatre, self.process
        name = f"{self.router.name}.{place}"
        child = Process(theatre.world, theatre.network, parent.host, name, 0, False, self.config.sockets)
        child.share_clock(parent)
        here, there = SimulatedLink(parent, self.descriptors), SimulatedLink(child, self.descriptors)
        here.peer, there.peer = there, here

        async def main() -> int:
            await asyncio.sleep(self._random.randint(*START_NS) / NS_PER_S)
            try:
                config = load_config(environ, read=self.router.read)
            except ConfigError as error:
                child.faults.append(str(error))
                return 2
            platform = Platform(
                child.monotonic_ns, child.unix_ns, environ, self.router.read, has_left=has_left
            )
            machine = _WorkerMachine(child, self, there)
            await Worker(config, WorkerSlot(place, workers, -1, -1), machine, platform).run()
            return 0

        child.on_signal(signal.SIGHUP, lambda: None)
        running = _Running(child, parent, self._exited)
        self.workers.append(child)
        child.start(main())
        return running, here.begin(decode, take, lambda _: None)

    def _exited(self, process: Process) -> None:
        self.workers.remove(process)
        for text in process.faults:
            self.router.theatre.watch.broke("fault", f"{process.name}: {text}")

    def dup(self, descriptor: int) -> int:
        """Another descriptor of the same connection."""
        return self.descriptors.dup(descriptor)

    def drop(self, descriptor: int) -> None:
        """Close a descriptor."""
        self.descriptors.drop(descriptor)

    def close(self) -> None:
        """Nothing is held that the process's end does not free."""

    # Troubles of workers

    def harm_soon(self, supervisor: Supervisor) -> None:
        """Kill, hold up or replace workers now and then, for as long as the supervisor lives."""
        world = self.process.world
        world.at(world.now + self._random.randint(*HARM_NS), None, self._harm, (supervisor,))

    def _harm(self, supervisor: Supervisor) -> None:
        if not self.process.alive or supervisor.crew.ending:
            return
        self.harm_soon(supervisor)
        theatre = self.router.theatre
        if theatre.clock() < theatre.begun or not self.workers or not self.process.running:
            return
        chosen = self.workers[self._random.randrange(len(self.workers))]
        kind = self._random.choice(("kill", "kill", "stop", "replace"))
        # The last one that serves is not killed: that is a killed router, which is a trouble of its own.
        others = [
            member
            for member, one in supervisor.workers.items()
            if member.state is WorkerState.SERVING
            and cast(_Running, one.process).process is not chosen
            and cast(_Running, one.process).process.running
        ]
        if kind == "kill" and chosen.running and others:
            # Danger to the judgement: what a killed process held is its client's to ask for again.
            for held in list(chosen.open):
                if isinstance(held, TcpEnd) and held is held.connection.server:
                    theatre.sever(held.connection)
            chosen.tell(signal.SIGKILL)
        elif kind == "stop" and chosen.running:
            chosen.stop()
            world = self.process.world
            until = self._random.randint(*HELD_UP_NS)
            now = theatre.clock()
            theatre.history.stops.append((self.router.name, now, now + until / NS_PER_S))
            world.at(world.now + until, None, chosen.go_on)
        elif kind == "replace":
            self.process.tell(signal.SIGUSR2)


def on_cores(workers: int, harm: bool = True) -> RouterMain:
    """Routers as `python -m holdgw.cores` runs them; `harm`: their workers have troubles of their own."""

    async def main(router: SimulatedRouter, process: Process, environ: dict[str, str]) -> int:
        platform = Platform(process.monotonic_ns, process.unix_ns, environ, router.read, has_left=has_left)
        try:
            config = load_config(environ, read=router.read)
            machine = SimulatedMachine(router, process, config)
            supervisor = Supervisor(config, workers, platform, cast(Any, machine))
        except (ConfigError, InsufficientResourcesError) as error:
            process.faults.append(str(error))
            return 2
        in_hand = _InHand(supervisor, machine.descriptors)
        process.open[in_hand] = None
        if harm:
            machine.harm_soon(supervisor)
        try:
            await supervisor.run()
        except OSError as error:
            process.faults.append(str(error))
            return 1
        process.open.pop(in_hand, None)
        if len(machine.descriptors):
            router.theatre.watch.broke(
                "left_over", f"{router.name} ended with {len(machine.descriptors)} connections in its hands"
            )
        return 0

    return main
