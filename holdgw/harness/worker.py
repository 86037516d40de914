"""A worker process of the harness, which runs one role of the emulated fleet.

The roles are some of the emulated endpoints, the origin with discovery, some of the clients, and the relay
between routers. The orchestrator starts a worker as `python -m holdgw.harness.worker FD`, where FD is the
worker's end of their socket pair. A worker exits when the orchestrator's end is closed.
"""

from __future__ import annotations

import asyncio
import gc
import signal
import socket
import sys
import time
import traceback
from dataclasses import asdict, replace
from functools import cached_property
from typing import Any, Protocol

import uvloop

from holdgw.emulators.discovery import DiscoveryServer
from holdgw.emulators.discovery_model import DiscoveryModel, Entry, State
from holdgw.emulators.listeners import Clock, Host
from holdgw.emulators.node import NodeServer
from holdgw.emulators.origin import OriginServer
from holdgw.emulators.records import LAG_BOUNDS_MS, Lag, Record
from holdgw.emulators.relay import Relay
from holdgw.emulators.relay_model import PeerNetworkConditions, RelayModel
from holdgw.emulators.seeded_draws import between, unit
from holdgw.harness.channel import (
    Addresses,
    Begin,
    Channel,
    Command,
    CommandResult,
    Finish,
    FrontUpdate,
    Message,
    RecordBatch,
    Setup,
    Stored,
    Voided,
    WorkerFailure,
)
from holdgw.harness.clients import Clients
from holdgw.harness.deployment import NODE_KIND, STORE_KIND
from holdgw.harness.fault_schedule import DATAGRAM_FAULTS, has_partitions, lines_of_routers
from holdgw.harness.scenario import Scenario, node_names, router_names
from holdgw.harness.schedule import ORIGIN, PEERS, Schedule
from holdgw.harness.schedule_drawing import draw_schedule
from holdgw.harness.topology import lines, node_spec, origin_spec, workload, zone_of_router, zone_of_server
from holdgw.wire.address import Address

LAG_SAMPLE_INTERVAL_S = 0.005
FLUSH_INTERVAL_S = 0.25
GC_THRESHOLDS = (20_000, 20, 50)
CLOCK = time.monotonic


def freeze_startup_objects() -> None:
    """Exclude the objects that exist before the run begins from garbage collection.

    A full collection takes 50 ms and more, and would delay everything that the worker emulates.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


class EventLoopLagMonitor:
    """Measures event-loop lag: how late a periodic timer of the loop fires."""

    def __init__(self, loop: asyncio.AbstractEventLoop, name: str) -> None:
        self._loop, self._name = loop, name
        self._buckets = [0] * (len(LAG_BOUNDS_MS) + 1)
        self._worst = 0.0
        self._due = 0.0
        self._schedule_sample()

    def _schedule_sample(self) -> None:
        self._due = CLOCK() + LAG_SAMPLE_INTERVAL_S
        self._loop.call_later(LAG_SAMPLE_INTERVAL_S, self._sample)

    def _sample(self) -> None:
        lag_s = max(CLOCK() - self._due, 0.0)
        self._worst = max(self._worst, lag_s)
        bucket = next(
            (i for i, bound in enumerate(LAG_BOUNDS_MS) if lag_s * 1000 <= bound), len(LAG_BOUNDS_MS)
        )
        self._buckets[bucket] += 1
        self._schedule_sample()

    def read_and_reset(self) -> Lag:
        """Return the readings since the last call, and begin anew."""
        lag = Lag(self._name, CLOCK(), self._worst, tuple(self._buckets))
        self._buckets, self._worst = [0] * len(self._buckets), 0.0
        return lag


class MessageSink(Protocol):
    """Takes a role's messages to the orchestrator."""

    def send(self, message: Message) -> None:
        """Send a message to the orchestrator."""


class WorkerRole:
    """The base class of all roles: keeps the records that its servers or clients take, and sends them on.

    Args:
        channel: Where messages to the orchestrator go.
        setup: The role's assignment.
        clock: The monotonic clock that all workers share, in seconds.
        unix: The wall clock, in seconds since the epoch.
    """

    def __init__(
        self,
        channel: MessageSink,
        setup: Setup,
        clock: Clock = CLOCK,
        unix: Clock = time.time,
    ) -> None:
        self.channel, self.setup, self.clock, self.unix = channel, setup, clock, unix
        self.loop = asyncio.get_running_loop()
        self.records: list[Record] = []

    @cached_property
    def line_of(self) -> dict[str, str]:
        """The line over which each router reaches servers, by the router's name."""
        return lines_of_routers(self.setup.scenario, self.setup.seed)

    def host(self, name: str, zone: str) -> Host:
        """Return where the server of that name listens: its IP address, and the delay of each line."""
        scenario = self.setup.scenario
        delays = lines(scenario, self.setup.seed, name, zone)
        own = {line: delays[zone_of_router(scenario, router)] for router, line in self.line_of.items()}
        return Host(self.setup.ip, delays | own, has_partitions(scenario))

    def record(self, record: Record) -> None:
        """Keep a record until the next flush."""
        self.records.append(record)

    def stored(self, request: bytes, key: bytes, size: int) -> None:
        """Report that the origin answered a read."""
        self.channel.send(Stored(request, key, size))

    def voided(self, key: bytes) -> None:
        """Report that the origin carried out a write."""
        self.channel.send(Voided(key))

    def flush(self) -> None:
        """Send the records that were taken since the last flush."""
        if self.records:
            records, self.records = self.records, []
            self.channel.send(RecordBatch(records))

    async def start(self) -> Any:
        """Start the role's servers or clients; returns what the orchestrator needs to know of them."""

    def set_addresses(self, addresses: Addresses) -> None:
        """Take over the addresses of servers or routers."""

    def begin(self, at: float) -> None:
        """Set second 0 of the run, as a time of `clock`."""

    async def do(self, verb: str, target: str, args: dict[str, Any]) -> Any:
        """Carry out a command; raises ValueError for a verb that the role does not have."""
        if verb == "stall":
            time.sleep(args["seconds"])
            return None
        raise ValueError(f"unknown command: {verb}")

    def close(self) -> None:
        """Close the role's servers or connections."""


class NodesRole(WorkerRole):
    """Runs some of the emulated endpoints."""

    nodes: dict[str, NodeServer]

    async def start(self) -> Any:
        """Start the nodes of this worker; returns each one's addresses by line."""
        self.nodes = {}
        names = node_names(self.setup.scenario.fleet)[self.setup.index :: self.setup.count]
        for name in names:
            node = self._make(name)
            await node.start()
            node.model.prefilling = True
        return {name: self.nodes[name].addresses for name in names}

    def _make(self, name: str) -> NodeServer:
        scenario, seed = self.setup.scenario, self.setup.seed
        zone = zone_of_server(scenario, name)
        spec = node_spec(scenario, seed, name)
        node = self.nodes[name] = NodeServer(
            name, spec, workload(scenario, seed), self.host(name, zone), self, self.clock
        )
        return node

    async def do(self, verb: str, target: str, args: dict[str, Any]) -> Any:
        """Carry out a command on one node, or on all nodes of this worker."""
        if verb == "learn":
            for node in self.nodes.values():
                node.model.prefilling = False
        elif verb == "flush":
            for node in list(self.nodes.values()):
                if node.alive:
                    node.flush(args["share"], self.setup.seed, args["serial"])
                # Flushing forty nodes in one iteration of the loop would delay all of them by 50 ms.
                await asyncio.sleep(0)
        elif verb == "spoil":
            for node in self.nodes.values() if not target else [self.nodes[target]]:
                share = getattr(node.shares, args["fault"]) + args["share"]
                setattr(node.shares, args["fault"], max(share, 0.0))
        elif verb == "pause":
            self.nodes[target].pause(args["seconds"])
        elif verb == "report":
            self.nodes[target].model.set_false_report(args["says"], self.clock())
        elif verb == "kill":
            self.nodes[target].kill()
        elif verb == "start":
            if not self.nodes[target].alive:  # another fault may have restarted the node already
                await self.nodes[target].start(cold=True)
        elif verb == "drain":
            self.nodes[target].drain()
        elif verb == "partition":
            for name in args["servers"]:
                if name in self.nodes:
                    self.nodes[name].block(args["way"], args["seconds"], args["lines"])
        elif verb == "vanish":
            self.nodes[target].block("both", args["seconds"])
            self.nodes[target].kill()
        elif verb == "create":
            node = self._make(target)
            if args["instead"]:
                self.nodes[args["instead"]].kill()  # another fault may have restarted it meanwhile
                node.take_over_addresses(self.nodes[args["instead"]])
            await node.start(cold=True)
            return node.addresses
        else:
            return await super().do(verb, target, args)
        return None

    def received(self, message: Stored | Voided) -> None:
        """Pass a message of the origin on to all nodes of this worker."""
        for node in self.nodes.values():
            if isinstance(message, Stored):
                node.stored(message.request, message.key, message.size)
            else:
                node.voided(message.key)

    def close(self) -> None:
        """Close the role's servers or connections."""
        for node in self.nodes.values():
            node.close()


class HubRole(WorkerRole):
    """Runs the origin and discovery."""

    store: OriginServer
    discovery: DiscoveryServer

    async def start(self) -> Any:
        """Start the origin and discovery; returns discovery's address for each router.

        The nodes' addresses follow in an Addresses message.
        """
        scenario, seed = self.setup.scenario, self.setup.seed
        self._addresses: dict[str, dict[str, Address]] = {}
        routers = router_names(scenario.fleet)
        windows = {one.name: one.window_ms / 1000 for one in scenario.classes}
        zone = zone_of_server(scenario, ORIGIN)
        spec = origin_spec(scenario)
        self.store = OriginServer(
            ORIGIN, spec, workload(scenario, seed), windows, self.host(ORIGIN, zone), self, self.clock
        )
        await self.store.start()
        self._addresses[ORIGIN] = self.store.addresses
        entries = [self._entry(name) for name in node_names(scenario.fleet)]
        entries.append(Entry(ORIGIN, State.UP, zone, STORE_KIND))

        def notice_delay(view: str, version: int) -> float:
            return between(unit(seed, "notice", view, version), scenario.discovery.notice_s)

        model = DiscoveryModel(entries, routers, notice_delay, self.clock())
        call_s = scenario.discovery.call_ms / 1000 if scenario.discovery.mode == "ask" else 0.0
        self.discovery = self.make_discovery(model, routers, call_s)
        return await self.discovery.start()

    def make_discovery(self, model: DiscoveryModel, routers: list[str], call_s: float) -> DiscoveryServer:
        """Return the server of discovery; the simulation overrides this method."""
        proxied = has_partitions(self.setup.scenario)
        return DiscoveryServer(model, routers, self._where, self, self.clock, self.setup.ip, call_s, proxied)

    def _entry(self, name: str, started_ms: int = 0) -> Entry:
        scenario = self.setup.scenario
        cell = int(name[4:]) // scenario.fleet.cell
        return Entry(name, State.UP, zone_of_server(scenario, name), NODE_KIND, cell, started_ms=started_ms)

    def _where(self, router: str, server: str) -> Address:
        return self._addresses[server][self.line_of[router]]

    def set_addresses(self, addresses: Addresses) -> None:
        """Take over the addresses at which nodes listen."""
        self._addresses.update(addresses.servers)

    async def do(self, verb: str, target: str, args: dict[str, Any]) -> Any:
        """Carry out a command on the origin or on discovery, or change the endpoint list."""
        if target == ORIGIN:
            return await self._do_store(verb, args)
        if target == "discovery":
            self._do_discovery(verb, args)
        elif verb == "up":
            self.discovery.change(self._entry(target, int(self.unix() * 1000)))
        elif verb in ("draining", "removed"):
            self.discovery.set_state(target, State(verb))
        elif verb == "known":
            view = self.discovery.model.views[target]
            return self.discovery.form(target, True, list(view.entries.values()))
        elif verb == "move":
            return await self.discovery.listen(target)
        elif verb == "partition":
            self.store.block(args["way"], args["seconds"], args["lines"])
        elif verb == "deafen":
            for router in args["routers"]:
                self.discovery.block(router, args["way"], args["seconds"])
        else:
            return await super().do(verb, target, args)
        return None

    async def _do_store(self, verb: str, args: dict[str, Any]) -> None:
        if verb == "slow":
            self.store.slow(args["factor"])
        elif verb == "down":
            self.store.down()
        elif verb == "up":
            await self.store.start()
        elif verb == "spoil":
            share = getattr(self.store.shares, args["fault"]) + args["share"]
            setattr(self.store.shares, args["fault"], max(share, 0.0))
        else:
            raise ValueError(f"unknown command for the origin: {verb}")

    def _do_discovery(self, verb: str, args: dict[str, Any]) -> None:
        if verb == "late":
            self.discovery.late(args["extra"], args["seconds"])
        elif verb == "stale":
            self.discovery.stale(args["seconds"], args["routers"])
        elif verb == "down":
            self.discovery.down(args["seconds"])
        else:
            raise ValueError(f"unknown command for discovery: {verb}")

    def close(self) -> None:
        """Close the role's servers or connections."""
        self.store.close()
        self.discovery.close()


class ClientsRole(WorkerRole):
    """Runs some of the clients."""

    clients: Clients

    async def start(self) -> Any:
        """Draw the schedule."""
        self.set_schedule(draw_schedule(self.setup.scenario, self.setup.seed))

    def set_schedule(self, schedule: Schedule) -> None:
        """Create the clients of a schedule that is drawn already."""
        self.clients = Clients(schedule, self.setup.index, self.setup.count, self, self.clock)

    def set_addresses(self, addresses: Addresses) -> None:
        """Take over the addresses at which routers listen."""
        self.clients.routers(addresses.routers)

    def begin(self, at: float) -> None:
        """Send the requests, each at its time; `at` is second 0 of the run."""
        self.clients.begin(at)

    def flush(self) -> None:
        """Send the records and the counts of outcomes."""
        super().flush()
        self.channel.send(self.clients.tally)

    async def do(self, verb: str, target: str, args: dict[str, Any]) -> Any:
        """Say whether every request is over (`done`), or carry out a common command."""
        if verb == "done":
            return self.clients.done
        return await super().do(verb, target, args)

    def close(self) -> None:
        """Close the role's servers or connections."""
        self.clients.close()


class RelayRole(WorkerRole):
    """Runs the relay that emulates the lines between routers."""

    relay: Relay

    async def start(self) -> Any:
        """Start nothing: the relay starts with the command `listen`, which names the routers' addresses."""

    async def do(self, verb: str, target: str, args: dict[str, Any]) -> Any:
        """Start the relay, carry out a fault of its lines, or return its counts."""
        if verb == "listen":
            listens = {name: (host, port) for name, (host, port) in args.items()}
            model = relay_model(self.setup.scenario, self.setup.seed)
            self.relay = Relay(model, listens, self.clock, self.setup.ip)
            return await self.relay.start()
        if verb in ("partition", "weather"):
            apply_relay_fault(self.relay.model, verb, args, self.clock())
        elif verb == "counts":
            return {name: asdict(counts) for name, counts in self.relay.model.counts.items()}
        else:
            return await super().do(verb, target, args)
        return None

    def close(self) -> None:
        """Close the role's servers or connections."""
        self.relay.close()


def relay_model(scenario: Scenario, seed: int) -> RelayModel:
    """Return the model of the lines between routers, whose delays are those between their zones."""
    table, fleet = scenario.peers, scenario.fleet
    delays: dict[tuple[str, str], float] = {}

    def link_delay(a: str, b: str) -> float:
        if (a, b) not in delays:
            same_zone = zone_of_router(scenario, a) == zone_of_router(scenario, b)
            span = fleet.same_ms if same_zone else fleet.cross_ms
            delays[a, b] = between(unit(seed, "line", *sorted((a, b))), span) / 1000
        return delays[a, b]

    conditions = PeerNetworkConditions(table.jitter, *(getattr(table, name) for name in DATAGRAM_FAULTS))
    return RelayModel(seed, link_delay, conditions)


def apply_relay_fault(model: RelayModel, verb: str, args: dict[str, Any], now: float) -> None:
    """Begin a partition between routers, or change the conditions of all lines from now on."""
    if verb == "partition":
        senders, receivers = (args["b"], args["a"]) if args["way"] == "from" else (args["a"], args["b"])
        model.block(senders, receivers, now + args["seconds"], args["way"] == "both")
    else:
        model.conditions = replace(model.conditions, **args)


ROLES: dict[str, type[WorkerRole]] = {
    "nodes": NodesRole,
    "hub": HubRole,
    "clients": ClientsRole,
    PEERS: RelayRole,
}


class Worker:
    """Processes the orchestrator's messages one after the other, and closes the role at the end."""

    def __init__(self) -> None:
        self.stopped = asyncio.Event()
        self.role: WorkerRole | None = None
        self.channel: Channel | None = None
        self._messages: asyncio.Queue[Message] = asyncio.Queue()
        self._lag_monitor: EventLoopLagMonitor | None = None
        self._flush_timer: asyncio.TimerHandle | None = None

    async def run(self, sock: socket.socket) -> None:
        """Run until the orchestrator ends the run or closes its end of the socket pair."""
        loop = asyncio.get_running_loop()
        self.channel = await Channel.connect(sock, self._on_message, self.stopped.set)
        processing = loop.create_task(self._process_messages())
        processing.add_done_callback(lambda _: self.stopped.set())
        await self.stopped.wait()
        processing.cancel()
        if self.role is not None:
            self.role.close()
        if self._flush_timer is not None:
            self._flush_timer.cancel()

    def _on_message(self, message: Message) -> None:
        if isinstance(message, Stored | Voided) and isinstance(self.role, NodesRole):
            self.role.received(message)
        elif isinstance(message, FrontUpdate) and isinstance(self.role, ClientsRole):
            self.role.clients.front(message.router, message.up)
        else:
            self._messages.put_nowait(message)

    async def _process_messages(self) -> None:
        assert self.channel is not None
        try:
            while True:
                message = await self._messages.get()
                if isinstance(message, Finish):
                    await self._finish()
                    return
                await self._process(message)
        except Exception:
            self.channel.send(WorkerFailure(traceback.format_exc()))
            await asyncio.sleep(0.2)  # until the message is written

    async def _process(self, message: Message) -> None:
        assert self.channel is not None
        if isinstance(message, Setup):
            loop = asyncio.get_running_loop()
            self.role = ROLES[message.role](self.channel, message)
            value = await self.role.start()
            freeze_startup_objects()
            self._lag_monitor = EventLoopLagMonitor(loop, message.name)
            self._flush()
            self.channel.send(CommandResult(0, value))
        elif self.role is None:
            raise ValueError(f"{type(message).__name__} before the setup")
        elif isinstance(message, Addresses):
            self.role.set_addresses(message)
        elif isinstance(message, Begin):
            self.role.begin(message.at)
        elif isinstance(message, Command):
            self.channel.send(
                CommandResult(message.number, await self.role.do(message.verb, message.target, message.args))
            )

    def _flush(self) -> None:
        assert self.role is not None
        assert self._lag_monitor is not None
        self.role.record(self._lag_monitor.read_and_reset())
        self.role.flush()
        self._flush_timer = self.role.loop.call_later(FLUSH_INTERVAL_S, self._flush)

    async def _finish(self) -> None:
        assert self.role is not None
        assert self.channel is not None
        self.role.close()
        self.role.flush()
        self.channel.send(Finish())
        self.channel.close()
        await asyncio.sleep(10)  # ended by the orchestrator, which reads everything and then closes its end


def main() -> int:
    """Serve the orchestrator over the socket whose descriptor is the first argument."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # Ctrl-C is handled by the orchestrator
    sock = socket.socket(fileno=int(sys.argv[1]))

    async def serve() -> None:
        await Worker().run(sock)

    uvloop.run(serve())
    return 0


if __name__ == "__main__":
    sys.exit(main())
