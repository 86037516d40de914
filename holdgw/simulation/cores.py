"""A router with several worker processes in simulated time: the supervisor and the workers run unchanged.

This module simulates what they need of the operating system: links between processes, passing of
descriptors, starting of processes, and shared memory. Workers are killed, stopped and replaced during a run.
"""

from __future__ import annotations

import asyncio
import random
import signal
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any, cast

from holdgw.cores import shared_table
from holdgw.cores.host_system import LISTEN_BACKLOG, Acceptor, LinkHandlers, WorkerParameters
from holdgw.cores.supervisor import Supervisor
from holdgw.cores.worker import Worker
from holdgw.cores.worker_pool import InsufficientResourcesError, WorkerState
from holdgw.operation.process_link import ClientHandover, ProcessLink, encode
from holdgw.router.client_connection import ClientConnection
from holdgw.router.client_listener import ClientListener
from holdgw.router.config import Config, ConfigError, load_config
from holdgw.simulation.fleet_run import RouterMain, SimulatedRouter
from holdgw.simulation.process import Process
from holdgw.simulation.tcp_listener import TcpListener
from holdgw.simulation.tcp_transport import TcpTransport
from holdgw.simulation.world import NS_PER_MS, NS_PER_S

WORKER_FAULT_INTERVAL_NS = (400 * NS_PER_MS, 2500 * NS_PER_MS)  # between faults of a router's workers
WORKER_STOP_NS = (50 * NS_PER_MS, 1500 * NS_PER_MS)
WORKER_START_NS = (80 * NS_PER_MS, 400 * NS_PER_MS)  # until a started process runs the program


class DescriptorTable:
    """The kernel's table of connections by descriptor, for a router's processes."""

    def __init__(self) -> None:
        self._connections: dict[int, TcpTransport] = {}
        self._next = 1000

    def open(self, connection: TcpTransport) -> int:
        """Open one more descriptor of a connection."""
        self._next += 1
        self._connections[self._next] = connection
        connection.extra_descriptors += 1
        return self._next

    def duplicate(self, descriptor: int) -> int:
        """Open another descriptor of the same connection."""
        return self.open(self._connections[descriptor])

    def close_descriptor(self, descriptor: int) -> None:
        """Close a descriptor; closing the last one closes the connection."""
        self._connections.pop(descriptor).drop_extra_descriptor()

    def connection(self, descriptor: int) -> TcpTransport:
        """Return the connection of a descriptor."""
        return self._connections[descriptor]

    def __len__(self) -> int:
        return len(self._connections)


class _SupervisorClientConnections:
    """The client connections that a supervisor holds by descriptor; the kernel closes them at its exit."""

    def __init__(self, supervisor: Supervisor) -> None:
        self._supervisor = supervisor

    def process_died(self) -> None:
        """Close them: a duplicate left open would keep a connection open that its worker has closed."""
        self._supervisor.close_all_clients()


class SimulatedLink:
    """One end of a link between two processes; messages arrive at once and are read when the process runs."""

    def __init__(self, process: Process, descriptors: DescriptorTable) -> None:
        self.process, self._descriptors = process, descriptors
        self._handlers: LinkHandlers | None = None  # None until the process opens the link
        self._inbox: deque[tuple[bytes, int | None]] = deque()
        self.peer: SimulatedLink | None = None
        self.open, self.ready, self.sent = True, False, True
        process.take_descriptor(self)

    def begin(self, handlers: LinkHandlers) -> ProcessLink[Any]:
        """Open the link: read messages from now on, with those that have arrived already."""
        self._handlers = handlers
        self.process.world.soon(self.process, self.read)
        return self.as_process_link()

    def as_process_link(self) -> ProcessLink[Any]:
        """Return this link under the type that it replaces."""
        return cast("ProcessLink[Any]", self)

    def send(self, message: object, descriptor: int | None = None) -> None:
        """Send a message; the ownership of the descriptor passes to the other process."""
        peer = self.peer
        if not self.open or peer is None or not peer.open:
            if descriptor is not None:
                self._descriptors.close_descriptor(descriptor)
            return
        peer.receive(encode(message), descriptor)

    def receive(self, data: bytes, descriptor: int | None) -> None:
        """Receive a message."""
        self._inbox.append((data, descriptor))
        if len(self._inbox) == 1:
            self.process.world.soon(self.process, self.read)

    def read(self) -> None:
        """Handle all messages that have arrived."""
        if self._handlers is None:
            return
        while self.open and self._inbox:
            data, descriptor = self._inbox.popleft()
            message = self._handlers.decode(data)
            self._handlers.on_message(self.as_process_link(), message, descriptor)
        if self.open and self.peer is None:
            self.close()

    def close(self) -> None:
        """Close the link."""
        if self.open:
            self._end()
            self.process.free_descriptor(self)
            if self._handlers is not None:
                self._handlers.on_closed(self.as_process_link())

    def process_died(self) -> None:
        """Close the link, as the kernel does."""
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


class _HandoverProtocol(asyncio.Protocol):
    """Passes an accepted connection on to a worker without reading from it."""

    def __init__(self, descriptors: DescriptorTable, on_connection: Callable[[int], None]) -> None:
        self._descriptors = descriptors
        self._on_connection = on_connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Open a descriptor for the connection and hand it over."""
        connection = cast(TcpTransport, transport)
        descriptor = self._descriptors.open(connection)
        connection.detach_process()
        self._on_connection(descriptor)


class _SimulatedAcceptor:
    """The clients' listening socket. It always accepts: connections wait only in the supervisor."""

    def __init__(self, listener: TcpListener) -> None:
        self._listener = listener
        self.address = listener.address

    def set_accepting(self, wanted: bool) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Stop listening."""
        self._listener.close()


class _WorkerProcess:
    """A worker's process as its supervisor sees it."""

    def __init__(self, process: Process, parent: Process, on_exit: Callable[[Process], None]) -> None:
        self.process = process
        self._exit_code: asyncio.Future[int] = parent.loop.create_future()
        self._parent, self._on_exit = parent, on_exit
        process.on_exit = self._exited

    def _exited(self, process: Process) -> None:
        self._on_exit(process)
        if self._parent.alive:
            self._parent.world.soon(self._parent, self._set_exit_code)

    def _set_exit_code(self) -> None:
        if not self._exit_code.done():
            self._exit_code.set_result(self.process.exit_code or 0)

    @property
    def returncode(self) -> int | None:
        """The exit code; None while the process runs."""
        return None if self.process.alive else self.process.exit_code

    async def wait(self) -> int:
        """Wait until the process exits, and return its exit code."""
        return await self._exit_code

    def send_signal(self, number: int) -> None:
        """Send a signal; raises ProcessLookupError if the process has exited."""
        if not self.process.alive:
            raise ProcessLookupError
        self.process.send_signal(signal.Signals(number))


class _SimulatedWorkerHostSystem:
    """The operating system's services that a worker uses."""

    def __init__(self, process: Process, host_system: SimulatedHostSystem, link: SimulatedLink) -> None:
        self._process = process
        self._memory = host_system.memory
        self._descriptors = host_system.descriptors
        self._link = link
        self.duplicate_client: Callable[[Any], int] = self._descriptors.open
        self.close_descriptor = self._descriptors.close_descriptor

    def attach_table(self, parameters: WorkerParameters) -> shared_table.SharedTable:
        """Attach the shared table as this worker."""
        return shared_table.SharedTable(self._memory, parameters.worker_count, parameters.index)

    def open_link(self, handlers: LinkHandlers) -> ProcessLink[Any]:
        """Open the link to the supervisor."""
        return self._link.begin(handlers)

    async def adopt_client(
        self, clients: ClientListener, handover: ClientHandover | None, descriptor: int, late_ns: int
    ) -> None:
        """Serve a client's connection that another process passed on."""
        connection = self._descriptors.connection(descriptor)
        self._process.take_descriptor(connection)
        connection.transfer_to(self._process, cast(Any, ClientConnection(clients, handover, late_ns)))
        self._descriptors.close_descriptor(descriptor)


class SimulatedHostSystem:
    """The operating system's services that a supervisor uses."""

    def __init__(self, router: SimulatedRouter, process: Process, config: Config) -> None:
        self.router, self.process, self.config = router, process, config
        self.descriptors = DescriptorTable()
        self.memory = bytearray()
        self.workers: list[Process] = []
        self._random = random.Random(f"{router.fleet.schedule.seed}/{router.name}/{router.starts}/cores")

    def create_table(self, workers: int) -> shared_table.SharedTable:
        """Create the shared table."""
        self.memory = bytearray(shared_table.size_bytes(workers))
        return shared_table.SharedTable(self.memory, workers)

    def listen(self, config: Config, on_connection: Callable[[int], None]) -> Acceptor:
        """Listen for clients' connections."""
        listener = self.process.network.listen(
            self.process,
            lambda: _HandoverProtocol(self.descriptors, on_connection),
            config.listen_address,
            LISTEN_BACKLOG,
        )
        return _SimulatedAcceptor(listener)

    async def start_worker(
        self, index: int, workers: int, environ: Mapping[str, str], handlers: LinkHandlers
    ) -> tuple[_WorkerProcess, ProcessLink[Any]]:
        """Start a worker process, with a link to it."""
        fleet, parent = self.router.fleet, self.process
        name = f"{self.router.name}.{index}"
        child = Process(fleet.world, fleet.network, parent.host, name, 0, False, self.config.max_descriptors)
        child.share_clock(parent)
        supervisor_end, worker_end = (
            SimulatedLink(parent, self.descriptors),
            SimulatedLink(child, self.descriptors),
        )
        supervisor_end.peer, worker_end.peer = worker_end, supervisor_end

        async def main() -> int:
            await asyncio.sleep(self._random.randint(*WORKER_START_NS) / NS_PER_S)
            try:
                config = load_config(environ, read=self.router.read)
            except ConfigError as error:
                child.faults.append(str(error))
                return 2
            platform = self.router.platform(child, environ)
            host_system = _SimulatedWorkerHostSystem(child, self, worker_end)
            await Worker(config, WorkerParameters(index, workers, -1, -1), host_system, platform).run()
            return 0

        child.on_signal(signal.SIGHUP, lambda: None)
        worker_process = _WorkerProcess(child, parent, self._exited)
        self.workers.append(child)
        child.start(main())
        return worker_process, supervisor_end.begin(handlers)

    def _exited(self, process: Process) -> None:
        self.workers.remove(process)
        for text in process.faults:
            self.router.fleet.invariants.report_violation("fault", f"{process.name}: {text}")

    def duplicate(self, descriptor: int) -> int:
        """Open another descriptor of the same connection."""
        return self.descriptors.duplicate(descriptor)

    def close_descriptor(self, descriptor: int) -> None:
        """Close a descriptor."""
        self.descriptors.close_descriptor(descriptor)

    def close(self) -> None:
        """Do nothing: the end of the process frees all resources."""

    # Faults of workers

    def schedule_worker_fault(self, supervisor: Supervisor) -> None:
        """Kill, stop or replace a worker after a random time, again and again until the supervisor ends."""
        world = self.process.world
        world.at(
            world.now + self._random.randint(*WORKER_FAULT_INTERVAL_NS),
            None,
            self._inject_worker_fault,
            (supervisor,),
        )

    def _inject_worker_fault(self, supervisor: Supervisor) -> None:
        if not self.process.alive or supervisor.pool.ending:
            return
        self.schedule_worker_fault(supervisor)
        fleet = self.router.fleet
        if fleet.clock() < fleet.begun or not self.workers or not self.process.running:
            return
        chosen = self.workers[self._random.randrange(len(self.workers))]
        kind = self._random.choice(("kill", "kill", "stop", "replace"))
        # The last serving worker is not killed: that would kill the router, which is a fault of its own kind.
        others = [
            member
            for member, worker in supervisor.workers.items()
            if member.state is WorkerState.SERVING
            and cast(_WorkerProcess, worker.process).process is not chosen
            and cast(_WorkerProcess, worker.process).process.running
        ]
        if kind == "kill" and chosen.running and others:
            # The checker must not count the killed worker's requests against the router: their clients retry.
            for holder in list(chosen.open_descriptors):
                if isinstance(holder, TcpTransport) and holder is holder.connection.server:
                    fleet.mark_severed(holder.connection)
            chosen.send_signal(signal.SIGKILL)
        elif kind == "stop" and chosen.running:
            chosen.stop()
            world = self.process.world
            stop_ns = self._random.randint(*WORKER_STOP_NS)
            now = fleet.clock()
            fleet.history.stops.append((self.router.name, now, now + stop_ns / NS_PER_S))
            world.at(world.now + stop_ns, None, chosen.resume)
        elif kind == "replace":
            self.process.send_signal(signal.SIGUSR2)


def multi_process_router(workers: int, inject_faults: bool = True) -> RouterMain:
    """Return the main of a router with so many workers, as `python -m holdgw.cores` runs it.

    With `inject_faults`, its workers are killed, stopped and replaced during the run.
    """

    async def main(router: SimulatedRouter, process: Process, environ: dict[str, str]) -> int:
        platform = router.platform(process, environ)
        try:
            config = load_config(environ, read=router.read)
            host_system = SimulatedHostSystem(router, process, config)
            supervisor = Supervisor(config, workers, platform, host_system)
        except (ConfigError, InsufficientResourcesError) as error:
            process.faults.append(str(error))
            return 2
        client_connections = _SupervisorClientConnections(supervisor)
        process.open_descriptors[client_connections] = None
        if inject_faults:
            host_system.schedule_worker_fault(supervisor)
        try:
            await supervisor.run()
        except OSError as error:
            process.faults.append(str(error))
            return 1
        process.open_descriptors.pop(client_connections, None)
        if len(host_system.descriptors):
            router.fleet.invariants.report_violation(
                "left_over",
                f"{router.name} ended with {len(host_system.descriptors)} client connections still held",
            )
        return 0

    return main
