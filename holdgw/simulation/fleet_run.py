"""Runs a scenario of the harness in simulated time, with unchanged routers, emulated endpoints and clients.

Each router, each cache server, the origin with discovery, and the clients are processes of one simulated
world. The harness's fault injection drives them from a process of its own, and its checker judges what they
recorded. The invariants of the routers are checked during the run (`invariants`).
"""

from __future__ import annotations

import asyncio
import gc
import logging
import random
import signal
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import dataclass, field, replace
from functools import cached_property
from typing import Any, cast

import orjson

from holdgw.emulators import listeners
from holdgw.emulators.discovery import DiscoveryServer, _Connection
from holdgw.emulators.discovery_model import DiscoveryModel, Entry
from holdgw.emulators.records import DiscoveryCut, Record, WarmUpCrash
from holdgw.emulators.seeded_draws import between, unit
from holdgw.harness.channel import Addresses, Begin, Finish, FrontUpdate, Message, Setup, Stored, Voided
from holdgw.harness.checker import History, ProcessLifetime, Violation
from holdgw.harness.clients import ClientConnection
from holdgw.harness.deployment import Peers
from holdgw.harness.fault_injection import FaultInjector, HarnessError, Worker
from holdgw.harness.orchestrator import RunResult
from holdgw.harness.report import rule_violations
from holdgw.harness.routers import Usage, until_ready
from holdgw.harness.scenario import Scenario, node_names, router_names
from holdgw.harness.schedule import ORIGIN, Schedule, ScheduledFault
from holdgw.harness.schedule_drawing import draw_schedule
from holdgw.harness.topology import zone_of_router, zone_of_server
from holdgw.harness.worker import ClientsRole, HubRole, NodesRole, WorkerRole, apply_relay_fault, relay_model
from holdgw.router.config import ConfigError, load_config
from holdgw.router.platform import Platform
from holdgw.router.program import Program
from holdgw.simulation.determinism_guard import DeterminismGuard, NondeterminismError
from holdgw.simulation.disk import Disk
from holdgw.simulation.invariants import InvariantChecker
from holdgw.simulation.kernel_calls import (
    has_pending_input,
    has_unread_input,
    peer_closed,
    unacknowledged_bytes,
)
from holdgw.simulation.network import Connection, Cut, Host, LinkConditions, Network
from holdgw.simulation.process import Process
from holdgw.simulation.tcp_transport import TcpTransport
from holdgw.simulation.trace import Trace
from holdgw.simulation.world import NS_PER_S, SpinError, World
from holdgw.wire.address import Address, format_address

LISTEN_PORT = 6380
OPS_PORT = 6381
PEER_PORT = 7946
ORIGIN_CHANGE_DELAY_NS = 300_000  # until cache servers learn of a change in the origin
CRASH_NOTICE_S = 0.1  # until discovery removes a crashed cache server
MAX_CALLBACKS_TO_KILL = 400  # a killed router exits within this many callbacks, at any await
NS_PER_MS = 1_000_000
CLIENTS, DISCOVERY = "clients", "discovery"


@dataclass(slots=True)
class Outcome:
    """The outcome of one seed: violated rules and invariants, and the fault that ended the run, if any."""

    seed: int
    digest: str = ""
    events: int = 0
    callbacks: int = 0
    seconds: float = 0.0
    """Simulated time of the run, from the start of the first process."""
    broken: list[Violation] = field(default_factory=list)
    fault: str = ""
    asked: int = 0
    served: int = 0
    begun: float = 0.0
    played: RunResult | None = None

    @property
    def failed(self) -> bool:
        """Whether a rule or an invariant was violated or the run ended by a fault."""
        return bool(self.broken or self.fault)

    @property
    def first(self) -> str:
        """The name of the first violated rule or invariant, `fault`, or empty."""
        return "fault" if self.fault else self.broken[0].rule if self.broken else ""


RouterMain = Callable[["SimulatedRouter", Process, dict[str, str]], Coroutine[Any, Any, int]]


class TraceLogHandler(logging.Handler):
    """Writes the routers' log into the trace, under the process that logged it, while it is entered."""

    def __init__(self, world: World) -> None:
        super().__init__()
        self._world = world
        self._logger = logging.getLogger("holdgw")

    def emit(self, record: logging.LogRecord) -> None:
        """Add a record to the trace."""
        process = self._world.current
        name = process.name if process is not None else "world"
        self._world.trace.add(self._world.now, name, "log", record.getMessage())

    def __enter__(self) -> TraceLogHandler:
        """Replace the other handlers of the log."""
        self._saved_state = (self._logger.handlers, self._logger.propagate, self._logger.level)
        self._logger.handlers, self._logger.propagate = [self], False
        self._logger.setLevel(logging.INFO)
        return self

    def __exit__(self, *_: object) -> None:
        """Restore the other handlers."""
        self._logger.handlers, self._logger.propagate = self._saved_state[:2]
        self._logger.setLevel(self._saved_state[2])


class SimulatedPart:
    """A part of the emulator in a process of its own, as the fault injection sees it."""

    def __init__(self, fleet: SimulatedFleet, process: Process, make: Callable[[], WorkerRole]) -> None:
        self.fleet, self.process, self._make_part = fleet, process, make
        self.part: WorkerRole | None = None

    def start(self) -> asyncio.Future[Any]:
        """Start the part; the future resolves to what its `start` returns."""
        started = self.fleet.stage.loop.create_future()

        async def main() -> int:
            self.part = self._make_part()
            started.set_result(await self.part.start())
            return int(await self.process.loop.create_future())

        self.process.start(main())
        return started

    def ask(self, verb: str, target: str = "", args: dict[str, Any] | None = None) -> asyncio.Future[Any]:
        """Have the part carry out a command; the future resolves to the command's result."""
        future = self.fleet.stage.loop.create_future()
        self.fleet.world.soon(self.process, self._do, (verb, target, args or {}, future))
        return future

    def _do(self, verb: str, target: str, args: dict[str, Any], future: asyncio.Future[Any]) -> None:
        assert self.part is not None

        def copy_result(task: asyncio.Task[Any]) -> None:
            if future.done():
                return
            error = task.exception()
            if error is not None:
                future.set_exception(error)
            else:
                future.set_result(task.result())

        self.process.loop.create_task(self.part.do(verb, target, args)).add_done_callback(copy_result)

    def send(self, message: Message) -> None:
        """Send the part a message."""
        self.fleet.world.soon(self.process, self._receive, (message,))

    def _receive(self, message: Message) -> None:
        part = self.part
        assert part is not None
        if isinstance(message, Addresses):
            part.set_addresses(message)
        elif isinstance(message, Begin):
            part.begin(message.at)
        elif isinstance(message, FrontUpdate) and isinstance(part, ClientsRole):
            part.clients.front(message.router, message.up)
        elif isinstance(message, Finish):
            part.close()


class _PartChannel:
    """The channel from the parts to the harness."""

    def __init__(self, fleet: SimulatedFleet) -> None:
        self._fleet = fleet

    def send(self, message: Message) -> None:
        """Pass changes of the origin on to all cache servers; drop other messages, which are for display."""
        if isinstance(message, Stored | Voided):
            self._fleet.tell_nodes(message)


class _RecordingPart(WorkerRole):
    """A part of the emulator whose records reach the history at once and whose links are simulated."""

    fleet: SimulatedFleet

    def record(self, record: Record) -> None:
        """Add a record to the history."""
        self.fleet.record(record)

    def host(self, name: str, zone: str) -> listeners.Host:
        """Return one listener per zone, as with real sockets; the simulated network adds the delays."""
        ip = self.fleet.ips[name]
        return listeners.Host(ip, dict.fromkeys(self.setup.scenario.fleet.zones, 0.0))

    @cached_property
    def line_of(self) -> dict[str, str]:
        """The link of each router, by its zone: partitions are simulated by the network."""
        scenario = self.setup.scenario
        return {name: zone_of_router(scenario, name) for name in router_names(scenario.fleet)}


class _Nodes(_RecordingPart, NodesRole):
    pass


class _Clients(_RecordingPart, ClientsRole):
    async def start(self) -> None:
        """Create the clients from the fleet's schedule instead of drawing it again."""
        self.set_schedule(self.fleet.schedule)


class _Discovery(DiscoveryServer):
    """Records an update to a router when its bytes arrive, not when they are written."""

    fleet: SimulatedFleet

    def record_sent(self, connection: _Connection, whole: bool, entries: list[Entry]) -> None:
        """Record an update when it arrives: a partition delays its bytes."""
        written, arrival = self.fleet.list_arrivals.get(connection.router, (0.0, 0.0))
        if written == self._clock():
            self.loop.call_later(arrival - written, self._record_arrival, connection, whole, entries)
        else:
            self.loop.call_soon(super().record_sent, connection, whole, entries)

    def _record_arrival(self, connection: _Connection, whole: bool, entries: list[Entry]) -> None:
        # The router has closed the connection before the update arrived, so it has not learnt of it.
        if not cast(TcpTransport, connection.transport).peer.socket_closed:
            super().record_sent(connection, whole, entries)


class _Hub(_RecordingPart, HubRole):
    def make_discovery(self, model: DiscoveryModel, routers: list[str], call_s: float) -> DiscoveryServer:
        """Create discovery on a host of its own."""
        ip = self.fleet.ips[DISCOVERY]
        discovery = _Discovery(model, routers, self._where, self, self.clock, ip, call_s)
        discovery.fleet = self.fleet
        return discovery


class SimulatedRouter:
    """One router with all its processes, as the fault injection sees it."""

    def __init__(self, fleet: SimulatedFleet, name: str, host: Host, main: RouterMain) -> None:
        self.fleet, self.name, self.host = fleet, name, host
        self.address: Address = (host.ips[0], LISTEN_PORT)
        self.ops: Address = (host.ips[0], OPS_PORT)
        self.starts = 0
        self.lives: list[ProcessLifetime] = []
        self.usage: list[Usage] = []
        self.process: Process | None = None
        self.program: Program | None = None
        self._files: dict[str, bytes] = {}
        self._main = main
        self._exit_event: asyncio.Event | None = None
        self._random = random.Random(f"{fleet.schedule.seed}/{name}")

    def configure(self, settings: dict[str, Any]) -> None:
        """Write the router's configuration file."""
        self._files[f"/{self.name}.json"] = orjson.dumps(settings)

    def read(self, path: str) -> bytes:
        """Return the content of one of the router's files; raises FileNotFoundError."""
        if path not in self._files:
            raise FileNotFoundError(2, "No such file or directory")
        return self._files[path]

    def platform(self, process: Process, environ: Mapping[str, str]) -> Platform:
        """Return the system as a process of the router sees it."""
        return Platform(
            process.monotonic_ns,
            process.unix_ns,
            environ,
            self.read,
            cpu_s=lambda: process.monotonic_ns() / NS_PER_S,
            peer_closed=peer_closed,
            has_unread_input=has_unread_input,
            has_pending_input=has_pending_input,
            unacknowledged_bytes=unacknowledged_bytes,
        )

    async def start(self, discovery: Address) -> None:
        """Start a process of the router."""
        # A killed process exits after some of its callbacks; one that runs very few may still be alive.
        if self.process is not None and self.process.alive and self.process.kill_after is not None:
            self.process.kill()
        if self.host.silent:
            self.fleet.network.boot(self.host)
        self.starts += 1
        fleet, scenario = self.fleet, self.fleet.schedule.scenario
        drift = round(
            between(unit(fleet.schedule.seed, "drift", self.name, self.starts), (-1.0, 1.0))
            * scenario.simulation.drift_ppm
        )
        process = Process(
            fleet.world, fleet.network, self.host, self.name, drift, False, scenario.router.sockets
        )
        process.on_signal(
            signal.SIGHUP, lambda: None
        )  # like the program, which ignores SIGHUP until its event loop handles it
        process.on_exit = self._exited
        self.process, self.program, self._exit_event = process, None, asyncio.Event()
        environ = {
            "LB_NAME": self.name,
            "LB_LISTEN": format_address(self.address),
            "LB_DISCOVERY": format_address(discovery),
            "LB_CONFIG": f"/{self.name}.json",
        }
        self.lives.append(ProcessLifetime(self.name, fleet.clock()))
        process.start(self._main(self, process, environ))
        fleet.invariants.process_started(self.name, process)

    def _exited(self, process: Process) -> None:
        lifetime = self.lives[-1]
        now = self.fleet.clock()
        if lifetime.wanted == "KILL":
            lifetime = replace(lifetime, told_to_end=now)  # when the process really exited
        self.lives[-1] = replace(lifetime, exited=now, code=process.exit_code)
        self.fleet.invariants.process_ended(self.name, process, lifetime.wanted)
        if self._exit_event is not None:
            self.fleet.world.soon(self.fleet.stage, self._exit_event.set)

    async def ready(self) -> bool:
        """Wait until the router answers PING with PONG; False if it exits or does not answer in time."""
        if not await until_ready(self.address, lambda: self.running, self.fleet.clock):
            return False
        self.lives[-1] = replace(self.lives[-1], ready=self.fleet.clock())
        return True

    @property
    def running(self) -> bool:
        """Whether the router's process is alive."""
        return self.process is not None and self.process.alive

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, and record that an exit by SIGTERM or SIGKILL is expected."""
        if not self.running:
            return
        assert self.process is not None
        lifetime = self.lives[-1]
        if number is signal.SIGKILL:
            self.lives[-1] = replace(
                lifetime, told_to_end=self.fleet.clock(), wanted=lifetime.wanted or "KILL"
            )
            self.process.kill(after=self._random.randint(1, MAX_CALLBACKS_TO_KILL))
            return
        if number is signal.SIGTERM:
            self.lives[-1] = replace(lifetime, told_to_end=self.fleet.clock(), wanted="TERM")
        self.process.send_signal(number)

    def lose_machine(self) -> None:
        """Power off the router's machine and lose its disk; a later `start` boots the machine."""
        self.fleet.network.power_off(self.host)
        self.host.disk = Disk()
        self._files.clear()
        self.lives[-1] = replace(self.lives[-1], told_to_end=self.fleet.clock(), wanted="KILL")
        assert self.process is not None
        self.process.kill()

    async def ended(self, within: float) -> bool:
        """Wait for the exit of the router's process for `within` seconds; returns whether it has exited."""
        if self._exit_event is not None and self.running:
            try:
                async with asyncio.timeout(within):
                    await self._exit_event.wait()
            except TimeoutError:
                pass
        return not self.running

    def last_log_line(self) -> str:
        """Return the last fault of the router's process."""
        return self.process.faults[-1] if self.process is not None and self.process.faults else ""


async def single_process_router(router: SimulatedRouter, process: Process, environ: dict[str, str]) -> int:
    """Run a router as `python -m holdgw.router` does, on the simulated process's clocks, files and loop."""
    platform = router.platform(process, environ)
    try:
        config = load_config(environ, read=router.read)
    except ConfigError as error:
        process.faults.append(str(error))
        return 2
    router.program = Program(config, platform)
    try:
        await router.program.run()
    except OSError as error:
        process.faults.append(str(error))
        return 1
    return 0


class SimulatedFleet(FaultInjector):
    """A whole fleet in simulated time, with the schedule of one seed."""

    node_workers: list[SimulatedPart]
    client_workers: list[SimulatedPart]
    routers: dict[str, SimulatedRouter]
    hub: SimulatedPart

    def __init__(
        self, schedule: Schedule, trace: Trace | None = None, main: RouterMain = single_process_router
    ) -> None:
        self.world = World(schedule.seed, trace)
        super().__init__(schedule, self._seconds)
        self.network = Network(self.world, self._link_delay)
        self.network.on_cut = self.mark_severed
        self.network.on_segment_delayed = self._record_delayed_segment
        self.network.on_write_after_eof = self._report_write_after_eof
        self.history = History()
        self.invariants = InvariantChecker(self.world, self)
        self.ips: dict[str, str] = {}
        self.hosts: dict[str, Host] = {}
        self.failure = ""
        self._nodes_by_host: dict[Host, list[str]] = {}  # cache servers that used the same address in turn
        self._active_conditions: dict[int, dict[str, Any]] = {}
        self._cuts: dict[int, Cut] = {}
        self.list_arrivals: dict[str, tuple[float, float]] = {}
        """By router: when discovery last wrote a delayed segment, and when that segment arrives."""
        scenario = schedule.scenario
        self._host("stage", "", "10.0.0.1").fault_free = True
        self._host(CLIENTS, "", "10.0.0.2").lossless = True
        self._host(DISCOVERY, scenario.fleet.zones[0], "10.0.0.3").fault_free = True
        self._host(ORIGIN, zone_of_server(scenario, ORIGIN), "10.0.0.4")
        self.stage = Process(self.world, self.network, self.hosts["stage"], "stage")
        self.routers = {}
        for i, name in enumerate(router_names(scenario.fleet)):
            host = self._host(name, zone_of_router(scenario, name), f"10.1.{i // 250}.{1 + i % 250}")
            self.routers[name] = SimulatedRouter(self, name, host, main)
        if scenario.peers.allowed:
            self._join_peers(scenario)
        self.node_workers = []
        self._all_nodes: list[_Nodes] = []

    def _seconds(self) -> float:
        return self.world.now / NS_PER_S

    def _join_peers(self, scenario: Scenario) -> None:
        """Give every router its peer address, those of all routers, and a multicast address of all."""
        group_address = (self._host("tier", "", "10.0.0.5").ips[0], PEER_PORT)
        addresses = tuple((router.address[0], PEER_PORT) for router in self.routers.values())
        self.peers = {
            name: Peers(address, addresses, group_address)
            for name, address in zip(self.routers, addresses, strict=True)
        }
        self.network.peers = relay_model(scenario, self.schedule.seed)
        self.network.groups[group_address] = list(addresses)

    def _host(self, name: str, zone: str, ip: str) -> Host:
        self.ips[name] = ip
        self.hosts[name] = self.network.host(name, zone, ip)
        return self.hosts[name]

    def _link_delay(self, a: Host, b: Host) -> tuple[int, int]:
        """Return the scenario's minimum delay and jitter between two hosts, equal in both directions."""
        fleet = self.schedule.scenario.fleet
        if "" in (a.zone, b.zone) or (
            DISCOVERY in (a.name, b.name) and self.schedule.scenario.discovery.mode == "push"
        ):
            min_delay_ms = (
                0.1  # clients are outside the fleet, and a discovery agent runs on the router's machine
            )
        else:
            delay_range_ms = fleet.same_ms if a.zone == b.zone else fleet.cross_ms
            min_delay_ms = between(
                unit(self.schedule.seed, "line", *sorted((a.name, b.name))), delay_range_ms
            )
        min_delay_ns = int(min_delay_ms * NS_PER_MS)
        return min_delay_ns, int(min_delay_ns * self.schedule.scenario.simulation.jitter)

    # Records and events of the parts

    def record(self, record: Record) -> None:
        """Add a record to the history; a crashed cache server is removed from the endpoint list."""
        self.history.add(record)
        if isinstance(record, WarmUpCrash):
            self.world.soon(self.stage, self.spawn, (self._remove_crashed_server(record.server),))

    async def _remove_crashed_server(self, server: str) -> None:
        await asyncio.sleep(CRASH_NOTICE_S)
        await self.set_endpoint_state("removed", server)

    def tell_nodes(self, message: Stored | Voided) -> None:
        """Pass a change of the origin on to all cache servers."""
        self.world.at(self.world.now + ORIGIN_CHANGE_DELAY_NS, None, self._deliver_to_nodes, (message,))

    def _deliver_to_nodes(self, message: Stored | Voided) -> None:
        for part in self._all_nodes:
            part.received(message)

    def mark_severed(self, connection: Connection) -> None:
        """Record that the open attempt on a broken connection must not be counted against the router."""
        protocol = connection.client.get_protocol()
        if isinstance(protocol, ClientConnection) and protocol.attempt is not None:
            self.history.severed.add(protocol.attempt.id)

    def _report_write_after_eof(self, transport: TcpTransport) -> None:
        if transport.host.name in self.routers:
            self.invariants.report_violation(
                "half_closed", f"{transport.host.name} wrote on a connection that its peer has ended"
            )

    def _record_delayed_segment(self, a: Host, b: Host, sent: int, arrival: int) -> None:
        if a.name == DISCOVERY:
            self.list_arrivals[b.name] = self.clock(), arrival / NS_PER_S
        for name in self._nodes_by_host.get(b, (b.name,)):
            self.history.held[name, arrival / NS_PER_S] = sent / NS_PER_S

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in the background; an exception in it ends the run."""
        self.stage.loop.create_task(work).add_done_callback(self._check_result)

    def _check_result(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and (error := task.exception()) is not None:
            self.fail(f"{type(error).__name__}: {error}")

    def fail(self, text: str) -> None:
        """End the run with a fault; the first one counts."""
        self.failure = self.failure or text
        self.world.stop()

    # The whole run

    def play(self, until: int | None = None) -> Outcome:
        """Run the schedule, and judge the result; `until` is a simulated time in nanoseconds."""
        self.stage.start(self._play())
        self.stage.on_exit = lambda _: self.world.stop()
        before = self.world.now
        collecting = gc.isenabled()
        gc.disable()
        try:
            with DeterminismGuard(self.world), TraceLogHandler(self.world):
                self.world.run(until)
        except (SpinError, NondeterminismError) as error:
            self.failure = str(error)
        finally:
            if collecting:
                gc.enable()
        for text in self.stage.faults:
            self.failure = self.failure or text
        outcome = self._judge((self.world.now - before) / NS_PER_S)
        self.world.end()
        return outcome

    def _judge(self, seconds: float) -> Outcome:
        scenario, history = self.schedule.scenario, self.history
        for name, router in self.routers.items():
            history.lives += router.lives
            self.invariants.report_process_faults(name)
        violations = [] if self.failure else rule_violations(self.schedule, history)
        violations = sorted([*violations, *self.invariants.broken], key=lambda violation: violation.at)
        run_result = RunResult(self.schedule, history, self.begun, scenario.length_s)
        return Outcome(
            self.schedule.seed,
            self.world.trace.digest(),
            self.world.trace.events,
            self.world.callbacks,
            seconds,
            violations,
            self.failure,
            len(self.schedule.requests),
            sum(request.answer == "served" for request in history.tries),
            self.begun,
            run_result,
        )

    def _part(
        self, name: str, host: Host, kind: type[_RecordingPart], index: int = 0, count: int = 1
    ) -> SimulatedPart:
        process = Process(self.world, self.network, host, name)
        setup = Setup("", index, count, name, self.schedule.scenario, self.schedule.seed, host.ips[0])

        def make() -> WorkerRole:
            part = kind(_PartChannel(self), setup, self._seconds, lambda: process.unix_ns() / NS_PER_S)
            part.fleet = self
            if isinstance(part, _Nodes):
                self._all_nodes.append(part)
            return part

        return SimulatedPart(self, process, make)

    async def _play(self) -> int:
        scenario = self.schedule.scenario
        try:
            await self._start_parts(scenario)
            for router in self.routers.values():
                await self.start_router(router)
        except HarnessError as error:
            self.fail(str(error))
            return 1
        self.announce_routers()
        self.begin()
        self.invariants.record_baselines()
        await self.wait_until_finished()
        await self._quiesce()
        await self.stop_routers()
        for worker in (*self.client_workers, *self.node_workers, self.hub):
            worker.send(Finish())
        await asyncio.sleep(0.01)
        return 0

    async def _quiesce(self) -> None:
        """End all faults, close the clients, wait, and check what the routers still hold."""
        self.network.cuts.clear()
        self.network.conditions = LinkConditions()
        self.end_faults()
        for worker in self.client_workers:
            worker.send(Finish())
        await asyncio.sleep(self.max_client_wait + self.schedule.scenario.simulation.quiet_s)
        self.invariants.check_quiet()

    async def _start_parts(self, scenario: Scenario) -> None:
        names = node_names(scenario.fleet)
        for i, name in enumerate(names):
            host = self._host(name, zone_of_server(scenario, name), f"10.2.{i // 250}.{1 + i % 250}")
            worker = self._part(name, host, _Nodes, i, len(names))
            self.node_workers.append(worker)
            self.worker_of[name] = worker
        started = [await worker.start() for worker in self.node_workers]
        for addresses in started:
            for name, places in addresses.items():
                self.add_addresses(name, places)
        hub = self._part("hub", self.hosts[ORIGIN], _Hub)
        hub.process.listen_hosts.append(self.hosts[DISCOVERY])
        self.hub = hub
        for name, (ip, port) in (await hub.start()).items():
            self.discovery[name] = (ip, port)
        hub.send(Addresses(servers=self.addresses))
        clients = self._part(CLIENTS, self.hosts[CLIENTS], _Clients)
        self.client_workers = [clients]
        await clients.start()

    async def worker_for_new_node(self, name: str, instead: str) -> Worker:
        """Start a process for a new cache server, or return the one of the server whose address it takes."""
        if instead:
            host = self.hosts[instead]
            self.ips[name], self.hosts[name] = self.ips[instead], host
            self._nodes_by_host.setdefault(host, [host.name]).append(name)
            return self.worker_of[instead]
        scenario = self.schedule.scenario
        number = int(name[4:])
        host = self._host(name, zone_of_server(scenario, name), f"10.2.{number // 250}.{1 + number % 250}")
        worker = self._part(name, host, _Nodes, number, number + 1)
        await worker.start()
        self.node_workers.append(worker)
        return worker

    # Faults of the network and of processes

    async def apply_fault(self, step: ScheduledFault) -> None:
        """Carry out one step of the schedule on the fleet or the network."""
        if step.verb != "stall":  # simulated time has no event-loop lag
            await super().apply_fault(step)

    async def _apply_peer_fault(self, verb: str, args: dict[str, Any]) -> None:
        if self.network.peers is not None:
            apply_relay_fault(self.network.peers, verb, args, self.clock())

    async def _apply_network_fault(self, verb: str, args: dict[str, Any]) -> None:
        network = self.network
        if "node" in args and args["node"] not in self.hosts:
            return  # the fault chose a cache server that starts later
        if verb == "partition":
            routers = [self.hosts[name] for name in args["routers"]]
            servers = [self.hosts[name] for name in args["servers"] if name in self.hosts]
            pair = (servers, routers) if args["way"] == "from" else (routers, servers)
            network.block(*pair, args["seconds"], args["way"] == "both")
        elif verb == "deafen":
            routers, service = [self.hosts[name] for name in args["routers"]], [self.hosts[DISCOVERY]]
            pair = (service, routers) if args["way"] == "from" else (routers, service)
            network.block(*pair, args["seconds"], args["way"] == "both")
            now = self.clock()
            for name in args["routers"]:
                self.history.add(DiscoveryCut(name, now, now + args["seconds"]))
        elif verb == "vanish":
            network.power_off(self.hosts[args["node"]])
            await self.worker_of[args["node"]].ask("kill", args["node"])
        elif verb == "noticed":
            await self.set_endpoint_state("removed", args["node"])
        elif verb == "return":
            host = self.hosts[args["node"]]
            network.boot(host)
            if self._nodes_by_host.get(host, [args["node"]])[-1] != args["node"]:
                return  # another cache server has taken the address
            await self.worker_of[args["node"]].ask("start", args["node"])
            await self.set_endpoint_state("up", args["node"])
        elif verb == "cut":
            self._cuts[args["name"]] = Cut(
                args["share"], tuple(args["phases"]), self._link_matcher(args["lines"])
            )
            network.cuts = list(self._cuts.values())
        elif verb == "uncut":
            self._cuts.pop(args["name"], None)
            network.cuts = list(self._cuts.values())
        elif verb == "weather":
            self._set_conditions(args)
        elif verb == "clock":
            process = self.routers[args["router"]].process
            if process is not None:
                process.step_wall_clock(int(args["by_s"] * NS_PER_S))

    def _set_conditions(self, args: dict[str, Any]) -> None:
        """Start or end one fault, and set the link conditions to the worst of those that are active."""
        if len(args) > 1:
            self._active_conditions[args["name"]] = args
        else:
            self._active_conditions.pop(args["name"], None)
        conditions = LinkConditions()
        for active in self._active_conditions.values():
            conditions.loss = max(conditions.loss, active["loss"])
            conditions.chop = max(conditions.chop, active["chop"])
            conditions.extra_delay_ns = max(conditions.extra_delay_ns, int(active["slow_ms"] * NS_PER_MS))
            if active["window_kb"]:
                conditions.window = min(conditions.window, active["window_kb"] << 10)
        self.network.conditions = conditions

    def _link_matcher(self, lines: str) -> Callable[[Host, Host], bool]:
        def matches(a: Host, b: Host) -> bool:
            names = (a.name, b.name)
            if CLIENTS in names:
                return lines in ("clients", "all")
            if ORIGIN in names:
                return lines in ("store", "servers", "all")
            return lines in ("nodes", "servers", "all")

        return matches


def simulate(
    scenario: Scenario, seed: int, trace: Trace | None = None, main: RouterMain = single_process_router
) -> Outcome:
    """Run one seed of a scenario whose storm is drawn already."""
    return SimulatedFleet(draw_schedule(scenario, seed), trace, main).play()
