"""Plays a rehearsal's scenario in simulated time: its routers, stand-ins and clients, unchanged.

Each router, mirror node, the package store with discovery, and the clients are processes of one world; the
rehearsal's time line drives them from a process of its own. What was seen is judged by the rehearsal's
checker, and the routers are looked into as it goes (`invariants`).
"""

from __future__ import annotations

import asyncio
import gc
import logging
import random
import signal
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field, replace
from functools import cached_property
from typing import Any, cast

import orjson

from holdgw.emulators import listeners
from holdgw.emulators.discovery import DiscoveryServer, _Connection
from holdgw.emulators.discovery_model import DiscoveryModel, Entry
from holdgw.emulators.records import Deaf, Fallen, Record
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
from holdgw.simulation.determinism_guard import DeterminismGuard, LeakError
from holdgw.simulation.disk import Disk
from holdgw.simulation.invariants import Watch
from holdgw.simulation.network import Connection, Cut, Host, Network, Weather
from holdgw.simulation.process import Process
from holdgw.simulation.trace import Trace
from holdgw.simulation.transports import TcpEnd, has_left
from holdgw.simulation.world import NS_PER_S, SpinError, World
from holdgw.wire.address import Address, format_address

LISTEN_PORT = 6380
OPS_PORT = 6381
PEER_PORT = 7946
NEWS_NS = 300_000  # until nodes hear of the package store
FALLEN_S = 0.1  # until the stage hears of a fallen node
KILL_WITHIN = 400  # a killed router dies within so many of its callbacks, at any await
NS_PER_MS = 1_000_000
CLIENTS, DISCOVERY = "clients", "discovery"


@dataclass(slots=True)
class Outcome:
    """How one seed went. `broken`: rules and invariants; `fault`: why the run could not go on."""

    seed: int
    digest: str = ""
    events: int = 0
    callbacks: int = 0
    seconds: float = 0.0
    """Simulated, from the first process's start on."""
    broken: list[Violation] = field(default_factory=list)
    fault: str = ""
    asked: int = 0
    served: int = 0
    begun: float = 0.0
    played: RunResult | None = None

    @property
    def failed(self) -> bool:
        """Whether anything was broken."""
        return bool(self.broken or self.fault)

    @property
    def first(self) -> str:
        """What broke first, as one word: a rule, an invariant, or `fault`."""
        return "fault" if self.fault else self.broken[0].rule if self.broken else ""


RouterMain = Callable[["SimulatedRouter", Process, dict[str, str]], Coroutine[Any, Any, int]]


class Logs(logging.Handler):
    """What routers log goes into the trace, under the process that logged it, while this is entered."""

    def __init__(self, world: World) -> None:
        super().__init__()
        self._world = world
        self._logger = logging.getLogger("holdgw")

    def emit(self, record: logging.LogRecord) -> None:
        """Take one record."""
        process = self._world.current
        name = process.name if process is not None else "world"
        self._world.trace.add(self._world.now, name, "log", record.getMessage())

    def __enter__(self) -> Logs:
        """Take the place of other handlers."""
        self._kept = (self._logger.handlers, self._logger.propagate, self._logger.level)
        self._logger.handlers, self._logger.propagate = [self], False
        self._logger.setLevel(logging.INFO)
        return self

    def __exit__(self, *_: object) -> None:
        """Give it back."""
        self._logger.handlers, self._logger.propagate = self._kept[:2]
        self._logger.setLevel(self._kept[2])


class SimulatedPart:
    """A part of the emulator in a process of its own, as the time line sees it."""

    def __init__(self, theatre: SimulatedFleet, process: Process, make: Callable[[], WorkerRole]) -> None:
        self.theatre, self.process, self._make = theatre, process, make
        self.part: WorkerRole | None = None

    def start(self) -> asyncio.Future[Any]:
        """Start it; the future is what it tells of itself."""
        told = self.theatre.stage.loop.create_future()

        async def main() -> int:
            self.part = self._make()
            told.set_result(await self.part.start())
            return int(await self.process.loop.create_future())

        self.process.start(main())
        return told

    def ask(self, verb: str, target: str = "", args: dict[str, Any] | None = None) -> asyncio.Future[Any]:
        """Have it do something."""
        future = self.theatre.stage.loop.create_future()
        self.theatre.world.soon(self.process, self._do, (verb, target, args or {}, future))
        return future

    def _do(self, verb: str, target: str, args: dict[str, Any], future: asyncio.Future[Any]) -> None:
        assert self.part is not None

        def done(task: asyncio.Task[Any]) -> None:
            if future.done():
                return
            error = task.exception()
            if error is not None:
                future.set_exception(error)
            else:
                future.set_result(task.result())

        self.process.loop.create_task(self.part.do(verb, target, args)).add_done_callback(done)

    def send(self, message: Message) -> None:
        """Send it a message."""
        self.theatre.world.soon(self.process, self._took, (message,))

    def _took(self, message: Message) -> None:
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


class _Outlet:
    """The parts' way to the stage."""

    def __init__(self, theatre: SimulatedFleet) -> None:
        self._theatre = theatre

    def send(self, message: Message) -> None:
        """News of the package store goes to all nodes; all else is for the eye."""
        if isinstance(message, Stored | Voided):
            self._theatre.tell_nodes(message)


class _Seen(WorkerRole):
    """A part that hands on at once what it saw, over lines that the network plays."""

    theatre: SimulatedFleet

    def saw(self, record: Record) -> None:
        """Keep a record."""
        self.theatre.saw(record)

    def host(self, name: str, zone: str) -> listeners.Host:
        """One listener for each zone, as on the machine; delays are the network's."""
        ip = self.theatre.ips[name]
        return listeners.Host(ip, dict.fromkeys(self.setup.scenario.fleet.zones, 0.0))

    @cached_property
    def line_of(self) -> dict[str, str]:
        """Partitions are the network's: a router's line is its zone's."""
        scenario = self.setup.scenario
        return {name: zone_of_router(scenario, name) for name in router_names(scenario.fleet)}


class _Nodes(_Seen, NodesRole):
    pass


class _Clients(_Seen, ClientsRole):
    async def start(self) -> None:
        """The day is drawn already."""
        self.set_schedule(self.theatre.schedule)


class _Discovery(DiscoveryServer):
    """Tells of what a router was told once the bytes are there."""

    theatre: SimulatedFleet

    def told(self, connection: _Connection, whole: bool, entries: list[Entry]) -> None:
        """Remember what was written once it comes: a cut line holds it back."""
        written, comes = self.theatre.list_comes.get(connection.router, (0.0, 0.0))
        if written == self._clock():
            self.loop.call_later(comes - written, self._come, connection, whole, entries)
        else:
            self.loop.call_soon(super().told, connection, whole, entries)

    def _come(self, connection: _Connection, whole: bool, entries: list[Entry]) -> None:
        # What comes on a connection that its router has closed meanwhile tells nobody anything.
        if not cast(TcpEnd, connection.transport).peer.shut:
            super().told(connection, whole, entries)


class _Hub(_Seen, HubRole):
    def make_discovery(self, model: DiscoveryModel, routers: list[str], call_s: float) -> DiscoveryServer:
        """On a host of its own."""
        ip = self.theatre.ips[DISCOVERY]
        made = _Discovery(model, routers, self._where, self, self.clock, ip, call_s)
        made.theatre = self.theatre
        return made


class SimulatedRouter:
    """One router and its lives, as the time line sees it."""

    def __init__(self, theatre: SimulatedFleet, name: str, host: Host, main: RouterMain) -> None:
        self.theatre, self.name, self.host = theatre, name, host
        self.address: Address = (host.ips[0], LISTEN_PORT)
        self.ops: Address = (host.ips[0], OPS_PORT)
        self.starts = 0
        self.lives: list[ProcessLifetime] = []
        self.usage: list[Usage] = []
        self.process: Process | None = None
        self.program: Program | None = None
        self._files: dict[str, bytes] = {}
        self._main = main
        self._ended: asyncio.Event | None = None
        self._random = random.Random(f"{theatre.schedule.seed}/{name}")

    def configure(self, told: dict[str, Any]) -> None:
        """Write its configuration."""
        self._files[f"/{self.name}.json"] = orjson.dumps(told)

    def read(self, path: str) -> bytes:
        """Its files."""
        if path not in self._files:
            raise FileNotFoundError(2, "No such file or directory")
        return self._files[path]

    async def start(self, discovery: Address) -> None:
        """Start a process."""
        # A killed process dies some callbacks on, and one that does next to nothing may still not have.
        if self.process is not None and self.process.alive and self.process.kill_after is not None:
            self.process.kill()
        if self.host.silent:
            self.theatre.network.boot(self.host)
        self.starts += 1
        theatre, scenario = self.theatre, self.theatre.schedule.scenario
        drift = round(
            between(unit(theatre.schedule.seed, "drift", self.name, self.starts), (-1.0, 1.0))
            * scenario.simulation.drift_ppm
        )
        process = Process(
            theatre.world, theatre.network, self.host, self.name, drift, False, scenario.router.sockets
        )
        process.on_signal(signal.SIGHUP, lambda: None)  # as `main` has it until the loop takes it over
        process.on_exit = self._exited
        self.process, self.program, self._ended = process, None, asyncio.Event()
        environ = {
            "LB_NAME": self.name,
            "LB_LISTEN": format_address(self.address),
            "LB_DISCOVERY": format_address(discovery),
            "LB_CONFIG": f"/{self.name}.json",
        }
        self.lives.append(ProcessLifetime(self.name, theatre.clock()))
        process.start(self._main(self, process, environ))
        theatre.watch.began(self.name, process)

    def _exited(self, process: Process) -> None:
        life = self.lives[-1]
        now = self.theatre.clock()
        if life.wanted == "KILL":
            life = replace(life, told_to_end=now)  # when it really died
        self.lives[-1] = replace(life, exited=now, code=process.code)
        self.theatre.watch.ended(self.name, process, life.wanted)
        if self._ended is not None:
            self.theatre.world.soon(self.theatre.stage, self._ended.set)

    async def ready(self) -> bool:
        """Wait until it answers PING with PONG; False: it ended, or did not in time."""
        if not await until_ready(self.address, lambda: self.running, self.theatre.clock):
            return False
        self.lives[-1] = replace(self.lives[-1], ready=self.theatre.clock())
        return True

    @property
    def running(self) -> bool:
        """Whether its process lives."""
        return self.process is not None and self.process.alive

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal; its end by SIGTERM or SIGKILL is wanted then."""
        if not self.running:
            return
        assert self.process is not None
        life = self.lives[-1]
        if number is signal.SIGKILL:
            self.lives[-1] = replace(life, told_to_end=self.theatre.clock(), wanted=life.wanted or "KILL")
            self.process.kill(after=self._random.randint(1, KILL_WITHIN))
            return
        if number is signal.SIGTERM:
            self.lives[-1] = replace(life, told_to_end=self.theatre.clock(), wanted="TERM")
        self.process.tell(number)

    def lose_machine(self) -> None:
        """Its machine is gone without a word, with its disk."""
        self.theatre.network.vanish(self.host)
        self.host.disk = Disk()
        self._files.clear()
        self.lives[-1] = replace(self.lives[-1], told_to_end=self.theatre.clock(), wanted="KILL")
        assert self.process is not None
        self.process.kill()

    async def ended(self, within: float) -> bool:
        """Wait for its end; False: it still runs."""
        if self._ended is not None and self.running:
            try:
                async with asyncio.timeout(within):
                    await self._ended.wait()
            except TimeoutError:
                pass
        return not self.running

    def last_log_line(self) -> str:
        """The last fault of its process."""
        return self.process.faults[-1] if self.process is not None and self.process.faults else ""


async def real_router(router: SimulatedRouter, process: Process, environ: dict[str, str]) -> int:
    """The router as `python -m holdgw.router` runs it, on the process's own clocks, files and loop."""
    platform = Platform(process.monotonic_ns, process.unix_ns, environ, router.read, peer_closed=has_left)
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
    """A day in simulated time."""

    node_workers: list[SimulatedPart]
    client_workers: list[SimulatedPart]
    routers: dict[str, SimulatedRouter]
    hub: SimulatedPart

    def __init__(self, day: Schedule, trace: Trace | None = None, main: RouterMain = real_router) -> None:
        self.world = World(day.seed, trace)
        super().__init__(day, self._seconds)
        self.network = Network(self.world, self._line)
        self.network.on_cut = self.sever
        self.network.on_held = self._held_back
        self.network.on_wrote_behind_end = self._wrote_behind_end
        self.history = History()
        self.watch = Watch(self.world, self)
        self.ips: dict[str, str] = {}
        self.hosts: dict[str, Host] = {}
        self.failure = ""
        self._names: dict[Host, list[str]] = {}  # of nodes that came to the same address one after the other
        self._weathers: dict[int, dict[str, Any]] = {}
        self._cuts: dict[int, Cut] = {}
        self.list_comes: dict[str, tuple[float, float]] = {}
        """When discovery last wrote to a router what a cut line held back, and when that comes there."""
        scenario = day.scenario
        self._host("stage", "", "10.0.0.1").sheltered = True
        self._host(CLIENTS, "", "10.0.0.2").steady = True
        self._host(DISCOVERY, scenario.fleet.zones[0], "10.0.0.3").sheltered = True
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
        """Every router is told of the others, and of one address for all of them."""
        every = (self._host("tier", "", "10.0.0.5").ips[0], PEER_PORT)
        each = tuple((router.address[0], PEER_PORT) for router in self.routers.values())
        self.peers = {name: Peers(one, each, every) for name, one in zip(self.routers, each, strict=True)}
        self.network.peers = relay_model(scenario, self.schedule.seed)
        self.network.groups[every] = list(each)

    def _host(self, name: str, zone: str, ip: str) -> Host:
        self.ips[name] = ip
        self.hosts[name] = self.network.host(name, zone, ip)
        return self.hosts[name]

    def _line(self, a: Host, b: Host) -> tuple[int, int]:
        """The least delay and the jitter between two hosts: as the scenario has it, the same both ways."""
        fleet = self.schedule.scenario.fleet
        if "" in (a.zone, b.zone) or (
            DISCOVERY in (a.name, b.name) and self.schedule.scenario.discovery.mode == "push"
        ):
            least = 0.1  # the clients' line is not the fleet's, and an agent is on the router's own machine
        else:
            span = fleet.same_ms if a.zone == b.zone else fleet.cross_ms
            least = between(unit(self.schedule.seed, "line", *sorted((a.name, b.name))), span)
        least_ns = int(least * NS_PER_MS)
        return least_ns, int(least_ns * self.schedule.scenario.simulation.jitter)

    # What parts tell

    def saw(self, record: Record) -> None:
        """Keep what was seen."""
        self.history.add(record)
        if isinstance(record, Fallen):
            self.world.soon(self.stage, self.spawn, (self._fell(record.server),))

    async def _fell(self, server: str) -> None:
        await asyncio.sleep(FALLEN_S)
        await self.set_endpoint_state("removed", server)

    def tell_nodes(self, message: Stored | Voided) -> None:
        """The package store's news goes to all nodes."""
        self.world.at(self.world.now + NEWS_NS, None, self._nodes_hear, (message,))

    def _nodes_hear(self, message: Stored | Voided) -> None:
        for part in self._all_nodes:
            part.received(message)

    def sever(self, connection: Connection) -> None:
        """What the client has open there is not held against the router."""
        protocol = connection.client.get_protocol()
        if isinstance(protocol, ClientConnection) and protocol.attempt is not None:
            self.history.severed.add(protocol.attempt.id)

    def _wrote_behind_end(self, end: TcpEnd) -> None:
        if end.host.name in self.routers:
            self.watch.broke("half_closed", f"{end.host.name} wrote on a connection that its peer has ended")

    def _held_back(self, a: Host, b: Host, sent: int, comes: int) -> None:
        if a.name == DISCOVERY:
            self.list_comes[b.name] = self.clock(), comes / NS_PER_S
        for name in self._names.get(b, (b.name,)):
            self.history.held[name, comes / NS_PER_S] = sent / NS_PER_S

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Do something beside all else; a fault in it ends the day."""
        self.stage.loop.create_task(work).add_done_callback(self._work_over)

    def _work_over(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and (error := task.exception()) is not None:
            self.fail(f"{type(error).__name__}: {error}")

    def fail(self, text: str) -> None:
        """The day can't be played on."""
        self.failure = self.failure or text
        self.world.stop()

    # The whole day

    def play(self, until: int | None = None) -> Outcome:
        """Play the day, and judge it."""
        self.stage.start(self._play())
        self.stage.on_exit = lambda _: self.world.stop()
        before = self.world.now
        collecting = gc.isenabled()
        gc.disable()
        try:
            with DeterminismGuard(self.world), Logs(self.world):
                self.world.run(until)
        except (SpinError, LeakError) as error:
            self.failure = str(error)
        finally:
            if collecting:
                gc.enable()
        for text in self.stage.faults:
            self.failure = self.failure or text
        outcome = self._judged((self.world.now - before) / NS_PER_S)
        self.world.end()
        return outcome

    def _judged(self, seconds: float) -> Outcome:
        scenario, history = self.schedule.scenario, self.history
        for name, router in self.routers.items():
            history.lives += router.lives
            self.watch.tell_faults(name)
        broken = [] if self.failure else rule_violations(self.schedule, history)
        broken = sorted([*broken, *self.watch.broken], key=lambda one: one.at)
        played = RunResult(self.schedule, history, self.begun, scenario.length_s)
        return Outcome(
            self.schedule.seed,
            self.world.trace.digest(),
            self.world.trace.events,
            self.world.callbacks,
            seconds,
            broken,
            self.failure,
            len(self.schedule.requests),
            sum(one.answer == "served" for one in history.tries),
            self.begun,
            played,
        )

    def _part(
        self, name: str, host: Host, kind: type[_Seen], index: int = 0, count: int = 1
    ) -> SimulatedPart:
        process = Process(self.world, self.network, host, name)
        setup = Setup("", index, count, name, self.schedule.scenario, self.schedule.seed, host.ips[0])

        def make() -> WorkerRole:
            part = kind(_Outlet(self), setup, self._seconds, lambda: process.unix_ns() / NS_PER_S)
            part.theatre = self
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
        self.watch.begin()
        await self.wait_until_finished()
        await self._grow_quiet()
        await self.stop_routers()
        for worker in (*self.client_workers, *self.node_workers, self.hub):
            worker.send(Finish())
        await asyncio.sleep(0.01)
        return 0

    async def _grow_quiet(self) -> None:
        """End what is still wrong, have the clients leave, and look at what routers still hold."""
        self.network.cuts.clear()
        self.network.weather = Weather()
        self.end_faults()
        for worker in self.client_workers:
            worker.send(Finish())
        await asyncio.sleep(self.max_client_wait + self.schedule.scenario.simulation.quiet_s)
        self.watch.quiet()

    async def _start_parts(self, scenario: Scenario) -> None:
        names = node_names(scenario.fleet)
        for i, name in enumerate(names):
            host = self._host(name, zone_of_server(scenario, name), f"10.2.{i // 250}.{1 + i % 250}")
            worker = self._part(name, host, _Nodes, i, len(names))
            self.node_workers.append(worker)
            self.worker_of[name] = worker
        told = [await worker.start() for worker in self.node_workers]
        for addresses in told:
            for name, places in addresses.items():
                self.add_addresses(name, places)
        hub = self._part("hub", self.hosts[ORIGIN], _Hub)
        hub.process.homes.append(self.hosts[DISCOVERY])
        self.hub = hub
        for name, (ip, port) in (await hub.start()).items():
            self.discovery[name] = (ip, port)
        hub.send(Addresses(servers=self.addresses))
        clients = self._part(CLIENTS, self.hosts[CLIENTS], _Clients)
        self.client_workers = [clients]
        await clients.start()

    async def worker_for_new_node(self, name: str, instead: str) -> Worker:
        """A process of its own, or the one whose address it takes."""
        if instead:
            host = self.hosts[instead]
            self.ips[name], self.hosts[name] = self.ips[instead], host
            self._names.setdefault(host, [host.name]).append(name)
            return self.worker_of[instead]
        scenario = self.schedule.scenario
        number = int(name[4:])
        host = self._host(name, zone_of_server(scenario, name), f"10.2.{number // 250}.{1 + number % 250}")
        worker = self._part(name, host, _Nodes, number, number + 1)
        await worker.start()
        self.node_workers.append(worker)
        return worker

    # Troubles of the network and of processes

    async def apply_fault(self, step: ScheduledFault) -> None:
        """Do one thing to the fleet, or to what lies between."""
        if step.verb != "stall":  # virtual time is never late
            await super().apply_fault(step)

    async def _apply_peer_fault(self, verb: str, args: dict[str, Any]) -> None:
        if self.network.peers is not None:
            apply_relay_fault(self.network.peers, verb, args, self.clock())

    async def _apply_network_fault(self, verb: str, args: dict[str, Any]) -> None:
        network = self.network
        if "node" in args and args["node"] not in self.hosts:
            return  # a trouble chose a node whose own start lies later
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
                self.history.add(Deaf(name, now, now + args["seconds"]))
        elif verb == "vanish":
            network.vanish(self.hosts[args["node"]])
            await self.worker_of[args["node"]].ask("kill", args["node"])
        elif verb == "noticed":
            await self.set_endpoint_state("removed", args["node"])
        elif verb == "return":
            host = self.hosts[args["node"]]
            network.boot(host)
            if self._names.get(host, [args["node"]])[-1] != args["node"]:
                return  # another node has its address by now
            await self.worker_of[args["node"]].ask("start", args["node"])
            await self.set_endpoint_state("up", args["node"])
        elif verb == "cut":
            self._cuts[args["name"]] = Cut(args["share"], tuple(args["phases"]), self._hits(args["lines"]))
            network.cuts = list(self._cuts.values())
        elif verb == "uncut":
            self._cuts.pop(args["name"], None)
            network.cuts = list(self._cuts.values())
        elif verb == "weather":
            self._weather(args)
        elif verb == "clock":
            process = self.routers[args["router"]].process
            if process is not None:
                process.jump(int(args["by_s"] * NS_PER_S))

    def _weather(self, args: dict[str, Any]) -> None:
        """The worst of all that is on now."""
        if len(args) > 1:
            self._weathers[args["name"]] = args
        else:
            self._weathers.pop(args["name"], None)
        weather = Weather()
        for one in self._weathers.values():
            weather.loss = max(weather.loss, one["loss"])
            weather.chop = max(weather.chop, one["chop"])
            weather.slow_ns = max(weather.slow_ns, int(one["slow_ms"] * NS_PER_MS))
            if one["window_kb"]:
                weather.window = min(weather.window, one["window_kb"] << 10)
        self.network.weather = weather

    def _hits(self, lines: str) -> Callable[[Host, Host], bool]:
        def hits(a: Host, b: Host) -> bool:
            names = (a.name, b.name)
            if CLIENTS in names:
                return lines in ("clients", "all")
            if ORIGIN in names:
                return lines in ("store", "servers", "all")
            return lines in ("nodes", "servers", "all")

        return hits


def simulate(
    scenario: Scenario, seed: int, trace: Trace | None = None, main: RouterMain = real_router
) -> Outcome:
    """Play one seed of a scenario whose troubles are all drawn."""
    return SimulatedFleet(draw_schedule(scenario, seed), trace, main).play()
