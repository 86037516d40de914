"""Carries out a schedule's faults on the fleet, and tells discovery and the front layer of their effects.

The workers and routers stand behind one interface each, for real processes on loopback (`orchestrator`) and
for the simulation.
"""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from holdgw.emulators.listeners import Clock
from holdgw.emulators.records import OverrideAccepted
from holdgw.emulators.seeded_draws import between, unit
from holdgw.harness.channel import Addresses, Begin, FrontUpdate, Message
from holdgw.harness.checker import History, ProcessLifetime
from holdgw.harness.deployment import Peers, configuration
from holdgw.harness.fault_schedule import lines_of_routers
from holdgw.harness.routers import call_admin_endpoint
from holdgw.harness.schedule import ADMIN, NETWORK, ORIGIN, PEERS, ROUTERS, Schedule, ScheduledFault
from holdgw.wire.address import Address

WORKER_TIMEOUT_S = 30.0  # for a worker to carry out a command
START_DELAY_S = 0.7  # from when everything is ready to the start of the prelude
SETTLE_TIME_S = 0.6  # after the last answer that can still come
FRONT_DELAY_S = 0.3  # the front layer still sends new connections to a router this long after its SIGTERM
KILL_MARGIN_S = 0.75  # beyond the longest deadline of a client, until a draining router is killed
EXIT_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.2
SLOW_PERIOD_S = 0.1  # a slowed process runs for a part of each period


class HarnessError(Exception):
    """The run could not be played to its end; the text is one line that names the cause."""


class Worker(Protocol):
    """A worker of the emulator, as the fault injector uses it."""

    def ask(self, verb: str, target: str = "", args: dict[str, Any] | None = None) -> Awaitable[Any]:
        """Have the worker carry out a command; returns its value."""

    def send(self, message: Message) -> None:
        """Send the worker a message."""


class RouterHandle(Protocol):
    """A router, as the fault injector uses it."""

    name: str
    address: Address
    ops: Address
    """Address of its admin endpoint."""
    starts: int
    lives: list[ProcessLifetime]

    def configure(self, settings: dict[str, Any]) -> None:
        """Write its configuration file."""

    async def start(self, discovery: Address) -> None:
        """Start a process."""

    async def ready(self) -> bool:
        """Wait until it accepts requests; False if it does not."""

    async def ended(self, timeout: float) -> bool:
        """Wait for its exit at most `timeout` seconds; False if it still runs."""

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal."""

    def lose_machine(self) -> None:
        """Lose its machine with everything on it; its addresses are silent until the next start."""

    def last_log_line(self) -> str:
        """The last line of its log; empty if there is none."""

    @property
    def running(self) -> bool:
        """Whether its process runs."""


@dataclass(slots=True)
class Suspension:
    """A stopped router process: since when, the number of its start, and by how many faults that overlap."""

    since: float
    start: int
    reasons: int = 0


class FaultInjector:
    """Plays a schedule: begins the run, carries out its faults and waits for its end.

    A subclass creates the workers and routers: real processes, or simulated ones.
    """

    node_workers: Sequence[Worker]
    client_workers: Sequence[Worker]
    hub: Worker
    relay: Worker
    routers: dict[str, Any]
    history: History

    def __init__(self, schedule: Schedule, clock: Clock = time.monotonic) -> None:
        self.schedule, self.clock = schedule, clock
        self.begun = 0.0
        self.worker_of: dict[str, Worker] = {}  # by node
        self.addresses: dict[str, dict[str, Address]] = {}
        self.discovery: dict[str, Address] = {}
        self.peers: dict[str, Peers] = {}
        """Addresses of peers for each router; empty if the scenario allows no peers."""
        self._restarting: set[str] = set()
        self._lost_since: dict[str, float] = {}  # by router, of lost machines
        self._suspensions: dict[str, Suspension] = {}  # by router, of stopped processes

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Start a task in the background; an exception in it ends the run."""
        raise NotImplementedError

    @property
    def max_client_wait(self) -> float:
        """The longest time that a client of any class waits, in seconds."""
        return max(one.give_up_ms for one in self.schedule.scenario.classes) / 1000

    async def run_at(self, at: float, action: Callable[..., Any], *args: Any) -> None:
        """Call `action` at a second of the run, and await its result if it returns an awaitable."""
        await asyncio.sleep(max(self.begun + at - self.clock(), 0.0))
        result = action(*args)
        if result is not None:
            await result

    def announce_routers(self) -> None:
        """Tell clients the addresses of the routers, all of which run."""
        addresses = Addresses(routers={name: router.address for name, router in self.routers.items()})
        for worker in self.client_workers:
            worker.send(addresses)
        for name in self.routers:
            self._front(name, True)

    def begin(self) -> None:
        """Begin the prelude and then the run, and schedule every fault."""
        self.begun = self.clock() + START_DELAY_S + self.schedule.scenario.emulator.prelude_s
        for worker in self.client_workers:
            worker.send(Begin(self.begun))
        self.spawn(self.watch_routers())
        for worker in self.node_workers:
            self.spawn(self.run_at(0.0, worker.ask, "learn"))
        for fault in self.schedule.faults:
            self.spawn(self.run_at(fault.at, self.apply_fault, fault))

    async def wait_until_finished(self, progress: Callable[[float], None] = lambda _at: None) -> None:
        """Wait until the run is over and every request has its outcome, or can't get one any more.

        Args:
            progress: Called every POLL_INTERVAL_S with the second of the run.
        """
        length = self.schedule.scenario.length_s
        while (now := self.clock() - self.begun) < length + self.max_client_wait + SETTLE_TIME_S:
            progress(now)
            if now > length and await self._all_done():
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        await asyncio.sleep(SETTLE_TIME_S)
        progress(self.clock() - self.begun)

    async def _all_done(self) -> bool:
        return all([await asyncio.wait_for(one.ask("done"), WORKER_TIMEOUT_S) for one in self.client_workers])

    async def stop_routers(self) -> None:
        """Shut down all routers gracefully, and kill those that do not exit in time."""
        self.end_faults()
        running = [router for router in self.routers.values() if router.running]
        for router in running:
            router.send_signal(signal.SIGTERM)
        await asyncio.gather(
            *(router.ended(self.max_client_wait + KILL_MARGIN_S + 2.0) for router in running)
        )
        for router in running:
            if router.running:
                router.send_signal(signal.SIGKILL)
        await asyncio.gather(*(router.ended(EXIT_TIMEOUT_S) for router in running))

    def add_addresses(self, name: str, addresses: dict[str, Any]) -> None:
        """Take over a server's addresses, by line."""
        self.addresses[name] = {zone: (host, port) for zone, (host, port) in addresses.items()}

    async def start_router(self, router: RouterHandle) -> None:
        """Start a router with discovery's current endpoint list, and wait until it accepts requests."""
        await self._configure(router)
        await router.start(self.discovery[router.name])
        if not await router.ready():
            raise HarnessError(f"{router.name} did not get ready: {router.last_log_line()}".rstrip(": "))

    async def _configure(self, router: RouterHandle) -> None:
        endpoint_list = await asyncio.wait_for(self.hub.ask("known", router.name), WORKER_TIMEOUT_S)
        settings = configuration(
            self.schedule.scenario,
            self.schedule.seed,
            router.name,
            router.starts,
            router.address,
            self.discovery[router.name],
            endpoint_list,
            router.ops,
            self.peers.get(router.name),
        )
        router.configure(settings)

    async def watch_routers(self) -> None:
        """Let the front layer notice routers that exit by themselves; these are not restarted."""
        reported: set[str] = set()
        while True:
            for name, router in self.routers.items():
                if not router.running and not router.lives[-1].wanted and name not in reported:
                    reported.add(name)
                    self.spawn(self._front_notices(name))
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _front_notices(self, name: str) -> None:
        delay_range = self.schedule.scenario.clients.front_notice_s
        starts = self.routers[name].starts
        await asyncio.sleep(between(unit(self.schedule.seed, "front", name, starts), delay_range))
        if not self.routers[name].running:
            self._front(name, False)

    def _front(self, name: str, up: bool) -> None:
        for worker in self.client_workers:
            worker.send(FrontUpdate(name, up))

    async def set_endpoint_state(self, state: str, server: str) -> None:
        """Change an endpoint's state in the endpoint list."""
        await asyncio.wait_for(self.hub.ask(state, server), WORKER_TIMEOUT_S)

    async def apply_fault(self, fault: ScheduledFault) -> None:
        """Carry out one scheduled fault; the fault's verb and target decide who does it."""
        verb, target, args = fault.verb, fault.target, fault.args
        if verb == "restart":
            await self._restart(self.routers[target], args["signal"])
        elif verb == "reload":
            await self._reload(self.routers[target])
        elif verb == "stall":
            group = self.node_workers if target == "nodes" else self.client_workers
            await asyncio.gather(*(worker.ask("stall", "", args) for worker in group))
        elif target == ROUTERS:
            await self._apply_router_fault(verb, self.routers[args["router"]], args)
        elif target == NETWORK:
            await self._apply_network_fault(verb, args)
        elif target == PEERS:
            await self._apply_peer_fault(verb, args)
        elif target == ADMIN:
            await asyncio.gather(
                *(
                    self._call_maintenance(router, verb == "out", args["node"])
                    for router in self.routers.values()
                )
            )
        elif target in (ORIGIN, "discovery"):
            await self.hub.ask(verb, target, args)
        elif not target:
            await asyncio.gather(*(worker.ask(verb, "", args) for worker in self.node_workers))
        else:
            await self._change_node(verb, target, args)

    # Stopped routers and lost machines

    async def _apply_router_fault(self, verb: str, router: RouterHandle, args: dict[str, Any]) -> None:
        if verb == "stop":
            self.suspend(router)
        elif verb == "continue":
            self.resume(router)
        elif verb == "slow":
            await self._slow(router, args["seconds"], args["run_ms"] / 1000)
        elif verb == "lose":
            self._lose(router)
        elif verb == "return":
            await self._return(router)
        else:
            raise ValueError(f"unknown fault of a router: {verb}")

    def suspend(self, router: RouterHandle) -> None:
        """Stop a router's process; of faults that overlap, the last one to end lets it continue."""
        if not router.running:
            return
        suspension = self._suspensions.get(router.name)
        if suspension is None or suspension.start != router.starts:
            suspension = self._suspensions[router.name] = Suspension(self.clock(), router.starts)
            router.send_signal(signal.SIGSTOP)
        suspension.reasons += 1

    def resume(self, router: RouterHandle) -> None:
        """End one reason for a stop; the process continues when no reason is left."""
        suspension = self._suspensions.get(router.name)
        if suspension is None:
            return
        suspension.reasons -= 1
        if suspension.reasons > 0:
            return
        del self._suspensions[router.name]
        if suspension.start == router.starts:
            router.send_signal(signal.SIGCONT)
        ended = router.lives[
            suspension.start - 1
        ].exited  # set if the process was killed while it was stopped
        self.history.stops.append((router.name, suspension.since, self.clock() if ended is None else ended))

    async def _slow(self, router: RouterHandle, seconds: float, run_s: float) -> None:
        until = self.clock() + seconds
        while self.clock() < until:
            self.suspend(router)
            await asyncio.sleep(SLOW_PERIOD_S - run_s)
            self.resume(router)
            await asyncio.sleep(run_s)

    def _lose(self, router: RouterHandle) -> None:
        if not router.running or router.name in self._restarting:
            return
        self._restarting.add(router.name)
        self._lost_since[router.name] = self.clock()
        router.lose_machine()
        self.spawn(self._front_notices(router.name))

    async def _return(self, router: RouterHandle) -> None:
        since = self._lost_since.pop(router.name, None)
        if since is None:
            return  # the router was being restarted when its machine was to be lost, so it was not
        try:
            await self.start_router(router)
        finally:
            self._restarting.discard(router.name)
        self.history.gone.append((router.name, since, self.clock()))
        self._front(router.name, True)

    def end_faults(self) -> None:
        """Let every stopped process continue, and record machines that are still lost as lost for good."""
        for name, suspension in list(self._suspensions.items()):
            suspension.reasons = 1
            self.resume(self.routers[name])
        for name, since in self._lost_since.items():
            self.history.gone.append((name, since, float("inf")))

    # Network

    async def _apply_network_fault(self, verb: str, args: dict[str, Any]) -> None:
        if "node" in args and args["node"] not in self.worker_of:
            return  # the fault chose a node whose own start comes later
        if verb == "partition":
            line_of = lines_of_routers(self.schedule.scenario, self.schedule.seed)
            lines = sorted({line_of[name] for name in args["routers"]})
            command_args = {name: args[name] for name in ("servers", "way", "seconds")} | {"lines": lines}
            workers = [*self.node_workers, *([self.hub] if ORIGIN in args["servers"] else [])]
            await asyncio.gather(*(worker.ask("partition", "", command_args) for worker in workers))
        elif verb == "deafen":
            await self.hub.ask("deafen", "", args)
        elif verb == "vanish":
            await self.worker_of[args["node"]].ask("vanish", args["node"], args)
        elif verb == "noticed":
            await self.set_endpoint_state("removed", args["node"])
        elif verb == "return":
            await self.worker_of[args["node"]].ask("start", args["node"])
            await self.set_endpoint_state("up", args["node"])
        else:
            raise ValueError(f"unknown network fault, or one that only the simulation has: {verb}")

    async def _apply_peer_fault(self, verb: str, args: dict[str, Any]) -> None:
        if self.peers:
            await self.relay.ask(verb, "", args)

    async def _call_maintenance(self, router: RouterHandle, out: bool, node: str) -> None:
        """Set or end a node's maintenance at one router; recorded only if the router answers 200."""
        path = "/maintenance/enter" if out else "/maintenance/exit"
        if router.running and await call_admin_endpoint(router.ops, path, node):
            self.history.add(OverrideAccepted(router.name, node, out, self.clock()))

    async def worker_for_new_node(self, name: str, instead: str) -> Worker:
        """Return the worker for a new node; `instead` names the node whose address it takes, if any."""
        return self.worker_of[instead] if instead else self.node_workers[0]

    async def _change_node(self, verb: str, target: str, args: dict[str, Any]) -> None:
        """Carry out a fault on a node.

        Discovery sees only whether a process runs, so the endpoint list changes only when a node starts,
        drains or exits.
        """
        if verb == "create":
            worker = self.worker_of[target] = await self.worker_for_new_node(target, args["instead"])
            self.add_addresses(target, await worker.ask(verb, target, args))
            self.hub.send(Addresses(servers={target: self.addresses[target]}))
            await self.set_endpoint_state("up", target)
            return
        host_worker = self.worker_of.get(target)
        if host_worker is None:
            return  # the fault chose a node whose own start comes later
        await host_worker.ask(verb, target, args)
        state = {"kill": "removed", "start": "up", "drain": "draining"}.get(verb)
        if state is not None:
            await self.set_endpoint_state(state, target)

    async def _restart(self, router: RouterHandle, signal_name: str) -> None:
        """Restart a router: as planned (PROTOCOL), or by SIGKILL, which the front layer notices later."""
        if router.name in self._restarting:
            return  # two faults chose the same router
        self._restarting.add(router.name)
        try:
            await self._stop_and_start(router, signal_name)
        finally:
            self._restarting.discard(router.name)

    async def _stop_and_start(self, router: RouterHandle, signal_name: str) -> None:
        if signal_name == "KILL":
            router.send_signal(signal.SIGKILL)
            await router.ended(EXIT_TIMEOUT_S)
            self.spawn(self._front_notices(router.name))
        else:
            router.send_signal(signal.SIGTERM)
            await asyncio.sleep(FRONT_DELAY_S)
            self._front(router.name, False)
            if not await router.ended(self.max_client_wait + KILL_MARGIN_S - FRONT_DELAY_S):
                router.send_signal(signal.SIGKILL)
                await router.ended(EXIT_TIMEOUT_S)
        await self.start_router(router)
        self._front(router.name, True)

    async def _reload(self, router: RouterHandle) -> None:
        """Write a configuration with another address of discovery, and have the router read it by SIGHUP."""
        if not router.running:
            return
        host, port = await asyncio.wait_for(self.hub.ask("move", router.name), WORKER_TIMEOUT_S)
        self.discovery[router.name] = (host, port)
        await self._configure(router)
        router.send_signal(signal.SIGHUP)
