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
from holdgw.cores.host_system import LISTEN_BACKLOG, Acceptor, LinkHandlers, WorkerSlot
from holdgw.cores.supervisor import Supervisor
from holdgw.cores.worker import Worker
from holdgw.cores.worker_pool import InsufficientResourcesError, WorkerState
from holdgw.operation.process_link import ClientHandover, ProcessLink, encode
from holdgw.router.client_connection import ClientConnection
from holdgw.router.client_listener import ClientListener
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
    """The kernel's table of connections by descriptor, for the processes of a host."""

    def __init__(self) -> None:
        self._ends: dict[int, TcpEnd] = {}
        self._next = 1000

    def open(self, end: TcpEnd) -> int:
        """A new descriptor of a connection, whichever others it has."""
        self._next += 1
        self._ends[self._next] = end
        end.copies += 1
        return self._next

    def duplicate(self, descriptor: int) -> int:
        """Another descriptor of the same connection."""
        return self.open(self._ends[descriptor])

    def close_descriptor(self, descriptor: int) -> None:
        """Close a descriptor; the connection is closed with its last one."""
        self._ends.pop(descriptor).copy_dropped()

    def end_of(self, descriptor: int) -> TcpEnd:
        """The connection."""
        return self._ends[descriptor]

    def __len__(self) -> int:
        return len(self._ends)


class _SupervisorDescriptors:
    """The connections that a supervisor holds by descriptor; the kernel closes them with its process."""

    def __init__(self, supervisor: Supervisor) -> None:
        self._supervisor = supervisor

    def process_died(self) -> None:
        """Close them: a copy left open would keep a connection open that its worker has closed."""
        self._supervisor.close_all_clients()


class SimulatedLink:
    """One end of a link between two processes: what is sent is there at once, and read when it runs."""

    def __init__(self, process: Process, descriptors: Descriptors) -> None:
        self.process, self._descriptors = process, descriptors
        self._handlers: LinkHandlers | None = None  # None: its process has not opened it yet
        self._inbox: deque[tuple[bytes, int | None]] = deque()
        self.peer: SimulatedLink | None = None
        self.open, self.ready, self.sent = True, False, True
        process.take_descriptor(self)

    def begin(self, handlers: LinkHandlers) -> ProcessLink[Any]:
        """Read from now on, and what has arrived already."""
        self._handlers = handlers
        self.process.world.soon(self.process, self.read)
        return self.as_process_link()

    def as_process_link(self) -> ProcessLink[Any]:
        """This link under the type that it stands for."""
        return cast("ProcessLink[Any]", self)

    def send(self, message: object, descriptor: int | None = None) -> None:
        """Send in order; the descriptor is the other side's from here on."""
        peer = self.peer
        if not self.open or peer is None or not peer.open:
            if descriptor is not None:
                self._descriptors.close_descriptor(descriptor)
            return
        peer.arrives(encode(message), descriptor)

    def arrives(self, data: bytes, descriptor: int | None) -> None:
        """A message is there."""
        self._inbox.append((data, descriptor))
        if len(self._inbox) == 1:
            self.process.world.soon(self.process, self.read)

    def read(self) -> None:
        """Read all that has arrived."""
        if self._handlers is None:
            return
        while self.open and self._inbox:
            data, descriptor = self._inbox.popleft()
            message = self._handlers.decode(data)
            self._handlers.on_message(self.as_process_link(), message, descriptor)
        if self.open and self.peer is None:
            self.close()

    def close(self) -> None:
        """End the link."""
        if self.open:
            self._end()
            self.process.free_descriptor(self)
            if self._handlers is not None:
                self._handlers.on_closed(self.as_process_link())

    def process_died(self) -> None:
        """The kernel closes it."""
        if self.open:
            self._end()

    def _end(self) -> None:
        self.open = False
        for _, descriptor in self._inbox:
            if descriptor is not None:
                self._descriptors.close_descriptor(descriptor)
        self._inbox.clear()
        peer, self.peer = self.peer, None
        if peer is not None:
            peer.peer = None
            if peer.open:
                peer.process.world.soon(peer.process, peer.read)


class _AcceptedConnection(asyncio.Protocol):
    """Has an accepted connection for as long as it takes to pass it on."""

    def __init__(self, descriptors: Descriptors, on_connection: Callable[[int], None]) -> None:
        self._descriptors = descriptors
        self._on_connection = on_connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Pass it on unread."""
        end = cast(TcpEnd, transport)
        descriptor = self._descriptors.open(end)
        end.let_go()
        self._on_connection(descriptor)


class _SimulatedAcceptor:
    """The clients' listening socket. It always accepts: connections wait at the supervisor alone."""

    def __init__(self, listener: Listener) -> None:
        self._listener = listener
        self.address = listener.address

    def set_accepting(self, wanted: bool) -> None:
        """Nothing to do."""

    def close(self) -> None:
        """Stop listening."""
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


class _SimulatedWorkerHostSystem:
    """What a worker needs of the operating system."""

    def __init__(self, process: Process, host_system: SimulatedHostSystem, link: SimulatedLink) -> None:
        self._process = process
        self._memory = host_system.memory
        self._descriptors = host_system.descriptors
        self._link = link
        self.duplicate_client: Callable[[Any], int] = self._descriptors.open
        self.close_descriptor = self._descriptors.close_descriptor

    def attach_table(self, slot: WorkerSlot) -> shared_table.SharedTable:
        """The shared memory as this worker sees it."""
        return shared_table.SharedTable(self._memory, slot.worker_count, slot.index)

    def open_link(self, handlers: LinkHandlers) -> ProcessLink[Any]:
        """Open the link to the supervisor."""
        return self._link.begin(handlers)

    async def adopt_client(
        self, clients: ClientListener, handover: ClientHandover | None, descriptor: int, late_ns: int
    ) -> None:
        """Serve a client's connection."""
        end = self._descriptors.end_of(descriptor)
        self._process.take_descriptor(end)
        end.taken(self._process, cast(Any, ClientConnection(clients, handover, late_ns)))
        self._descriptors.close_descriptor(descriptor)


class SimulatedHostSystem:
    """What a supervisor needs of the operating system."""

    def __init__(self, router: SimulatedRouter, process: Process, config: Config) -> None:
        self.router, self.process, self.config = router, process, config
        self.descriptors = Descriptors()
        self.memory = bytearray()
        self.workers: list[Process] = []
        self._random = random.Random(f"{router.theatre.schedule.seed}/{router.name}/{router.starts}/cores")

    def create_table(self, workers: int) -> shared_table.SharedTable:
        """Create the shared memory."""
        self.memory = bytearray(shared_table.size_bytes(workers))
        return shared_table.SharedTable(self.memory, workers)

    def listen(self, config: Config, on_connection: Callable[[int], None]) -> Acceptor:
        """Listen for clients."""
        listener = self.process.network.listen(
            self.process,
            lambda: _AcceptedConnection(self.descriptors, on_connection),
            config.listen_address,
            LISTEN_BACKLOG,
        )
        return _SimulatedAcceptor(listener)

    async def start_worker(
        self, index: int, workers: int, environ: Mapping[str, str], handlers: LinkHandlers
    ) -> tuple[_Running, ProcessLink[Any]]:
        """Start a worker process and link to it."""
        theatre, parent = self.router.theatre, self.process
        name = f"{self.router.name}.{index}"
        child = Process(
            theatre.world, theatre.network, parent.host, name, 0, False, self.config.max_descriptors
        )
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
                child.monotonic_ns, child.unix_ns, environ, self.router.read, peer_closed=has_left
            )
            host_system = _SimulatedWorkerHostSystem(child, self, there)
            await Worker(config, WorkerSlot(index, workers, -1, -1), host_system, platform).run()
            return 0

        child.on_signal(signal.SIGHUP, lambda: None)
        running = _Running(child, parent, self._exited)
        self.workers.append(child)
        child.start(main())
        return running, here.begin(handlers)

    def _exited(self, process: Process) -> None:
        self.workers.remove(process)
        for text in process.faults:
            self.router.theatre.watch.broke("fault", f"{process.name}: {text}")

    def duplicate(self, descriptor: int) -> int:
        """Another descriptor of the same connection."""
        return self.descriptors.duplicate(descriptor)

    def close_descriptor(self, descriptor: int) -> None:
        """Close a descriptor."""
        self.descriptors.close_descriptor(descriptor)

    def close(self) -> None:
        """Nothing is held that the process's end does not free."""

    # Troubles of workers

    def harm_soon(self, supervisor: Supervisor) -> None:
        """Kill, hold up or replace workers now and then, for as long as the supervisor lives."""
        world = self.process.world
        world.at(world.now + self._random.randint(*HARM_NS), None, self._harm, (supervisor,))

    def _harm(self, supervisor: Supervisor) -> None:
        if not self.process.alive or supervisor.pool.ending:
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
        platform = Platform(process.monotonic_ns, process.unix_ns, environ, router.read, peer_closed=has_left)
        try:
            config = load_config(environ, read=router.read)
            host_system = SimulatedHostSystem(router, process, config)
            supervisor = Supervisor(config, workers, platform, host_system)
        except (ConfigError, InsufficientResourcesError) as error:
            process.faults.append(str(error))
            return 2
        held = _SupervisorDescriptors(supervisor)
        process.open[held] = None
        if harm:
            host_system.harm_soon(supervisor)
        try:
            await supervisor.run()
        except OSError as error:
            process.faults.append(str(error))
            return 1
        process.open.pop(held, None)
        if len(host_system.descriptors):
            router.theatre.watch.broke(
                "left_over",
                f"{router.name} ended with {len(host_system.descriptors)} connections in its hands",
            )
        return 0

    return main
