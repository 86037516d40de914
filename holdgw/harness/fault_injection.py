"""The time line of a day: what is done to the fleet, to whom, and what discovery and the front hear of it.

Whoever plays a day (real processes on loopback, or simulated ones) has these parts under one interface each.
"""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from holdgw.emulators.listeners import Clock
from holdgw.emulators.records import Handed
from holdgw.emulators.seeded_draws import between, unit
from holdgw.harness.channel import Addresses, Begin, FrontUpdate, Message
from holdgw.harness.checker import History, ProcessLifetime
from holdgw.harness.deployment import Peers, configuration
from holdgw.harness.fault_schedule import lines_of_routers
from holdgw.harness.routers import call_admin_endpoint
from holdgw.harness.schedule import ADMIN, NETWORK, ORIGIN, PEERS, ROUTERS, Schedule, ScheduledFault
from holdgw.wire.address import Address

WORKER_TIMEOUT_S = 30.0  # for a worker to do what it is told
START_DELAY_S = 0.7  # from when all is ready to the prelude
SETTLE_TIME_S = 0.6  # after the last answer that may still come
FRONT_DELAY_S = 0.3  # new connections still go to a router that was told to end
KILL_MARGIN_S = 0.75  # beyond the longest deadline
EXIT_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.2
SLOW_PERIOD_S = 0.1  # a slow process runs for a part of each


class HarnessError(Exception):
    """The day could not be played to its end; one plain line."""


class Worker(Protocol):
    """A part of the emulator."""

    def ask(self, verb: str, target: str = "", args: dict[str, Any] | None = None) -> Awaitable[Any]:
        """Have it do something; returns what came of it."""

    def send(self, message: Message) -> None:
        """Send it a message."""


class RouterHandle(Protocol):
    """A router and its lives."""

    name: str
    address: Address
    ops: Address
    """Where its door is."""
    starts: int
    lives: list[ProcessLifetime]

    def configure(self, settings: dict[str, Any]) -> None:
        """Write its configuration."""

    async def start(self, discovery: Address) -> None:
        """Start a process."""

    async def ready(self) -> bool:
        """Wait until it takes requests."""

    async def ended(self, timeout: float) -> bool:
        """Wait for its end."""

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal."""

    def lose_machine(self) -> None:
        """Its machine is gone, with all that was on it, and silent until it is started again."""

    def last_log_line(self) -> str:
        """The last line of its log."""

    @property
    def running(self) -> bool:
        """Whether its process runs."""


@dataclass(slots=True)
class Suspension:
    """A router's process that stands still: since when, in which of its lives, and for how many reasons."""

    since: float
    start: int
    reasons: int = 0


class FaultInjector:
    """Carries out a day's steps. Whoever plays the day fills in who is there."""

    node_workers: Sequence[Worker]
    client_workers: Sequence[Worker]
    hub: Worker
    relay: Worker
    routers: dict[str, Any]
    history: History

    def __init__(self, schedule: Schedule, clock: Clock = time.monotonic) -> None:
        self.schedule, self.clock = schedule, clock
        self.begun = 0.0
        self.worker_of: dict[str, Worker] = {}  # of each node
        self.addresses: dict[str, dict[str, Address]] = {}
        self.discovery: dict[str, Address] = {}
        self.peers: dict[str, Peers] = {}
        """What each router is told of the others; empty where they are not allowed to speak."""
        self._restarting: set[str] = set()
        self._lost_since: dict[str, float] = {}  # routers whose machines are gone, and since when
        self._suspensions: dict[str, Suspension] = {}  # routers whose processes stand still

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Do something beside all else; a fault in it ends the day."""
        raise NotImplementedError

    @property
    def max_client_wait(self) -> float:
        """Seconds for which a client waits at most."""
        return max(one.give_up_ms for one in self.schedule.scenario.classes) / 1000

    async def run_at(self, at: float, action: Callable[..., Any], *args: Any) -> None:
        """Act at a second of the day."""
        await asyncio.sleep(max(self.begun + at - self.clock(), 0.0))
        result = action(*args)
        if result is not None:
            await result

    def announce_routers(self) -> None:
        """Clients learn of the routers, all of which run."""
        addresses = Addresses(routers={name: router.address for name, router in self.routers.items()})
        for worker in self.client_workers:
            worker.send(addresses)
        for name in self.routers:
            self._front(name, True)

    def begin(self) -> None:
        """The day, with its prelude before it, begins now; its steps follow by themselves."""
        self.begun = self.clock() + START_DELAY_S + self.schedule.scenario.emulator.prelude_s
        for worker in self.client_workers:
            worker.send(Begin(self.begun))
        self.spawn(self.watch_routers())
        for worker in self.node_workers:
            self.spawn(self.run_at(0.0, worker.ask, "learn"))
        for fault in self.schedule.faults:
            self.spawn(self.run_at(fault.at, self.apply_fault, fault))

    async def wait_until_finished(self, progress: Callable[[float], None] = lambda _at: None) -> None:
        """Wait until the day is over and all its requests are, or can't be answered any more; `progress` is
        called some times a second with the second of the day.
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
        """Have all routers end in good order, and those that don't, anyhow."""
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
        """Where a server listens, by zone."""
        self.addresses[name] = {zone: (host, port) for zone, (host, port) in addresses.items()}

    async def start_router(self, router: RouterHandle) -> None:
        """Start one, and wait until it takes requests; it is told the list as discovery has it now."""
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
        """A router that ends by itself is seen by the front, too; it stays away."""
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
        """The list changes."""
        await asyncio.wait_for(self.hub.ask(state, server), WORKER_TIMEOUT_S)

    async def apply_fault(self, fault: ScheduledFault) -> None:
        """Do one thing to the fleet."""
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

    # Routers that stand still, and machines that are gone

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
            raise ValueError(f"no such thing to do to a router: {verb}")

    def suspend(self, router: RouterHandle) -> None:
        """Have its process stand still; reasons that overlap end with the last one."""
        if not router.running:
            return
        suspension = self._suspensions.get(router.name)
        if suspension is None or suspension.start != router.starts:
            suspension = self._suspensions[router.name] = Suspension(self.clock(), router.starts)
            router.send_signal(signal.SIGSTOP)
        suspension.reasons += 1

    def resume(self, router: RouterHandle) -> None:
        """One reason less to stand still; it goes on with the last."""
        suspension = self._suspensions.get(router.name)
        if suspension is None:
            return
        suspension.reasons -= 1
        if suspension.reasons > 0:
            return
        del self._suspensions[router.name]
        if suspension.start == router.starts:
            router.send_signal(signal.SIGCONT)
        ended = router.lives[suspension.start - 1].exited  # it may have been killed as it stood
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
            return  # it was being restarted when its machine was to be lost
        try:
            await self.start_router(router)
        finally:
            self._restarting.discard(router.name)
        self.history.gone.append((router.name, since, self.clock()))
        self._front(router.name, True)

    def end_faults(self) -> None:
        """Whatever still stands still goes on; what is lost for good is told."""
        for name, suspension in list(self._suspensions.items()):
            suspension.reasons = 1
            self.resume(self.routers[name])
        for name, since in self._lost_since.items():
            self.history.gone.append((name, since, float("inf")))

    # Lines

    async def _apply_network_fault(self, verb: str, args: dict[str, Any]) -> None:
        if "node" in args and args["node"] not in self.worker_of:
            return  # a trouble chose a node whose own start lies later
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
            raise ValueError(f"only the simulation can have the network {verb}")

    async def _apply_peer_fault(self, verb: str, args: dict[str, Any]) -> None:
        if self.peers:
            await self.relay.ask(verb, "", args)

    async def _call_maintenance(self, router: RouterHandle, out: bool, node: str) -> None:
        """Staff call at one router's door, and believe it only when it says yes."""
        path = "/maintenance/enter" if out else "/maintenance/exit"
        if router.running and await call_admin_endpoint(router.ops, path, node):
            self.history.add(Handed(router.name, node, out, self.clock()))

    async def worker_for_new_node(self, name: str, instead: str) -> Worker:
        """The worker that a new node runs in; `instead`: the node whose address it takes, if it does."""
        return self.worker_of[instead] if instead else self.node_workers[0]

    async def _change_node(self, verb: str, target: str, args: dict[str, Any]) -> None:
        """Discovery sees only whether a process runs, so the list changes with starts and ends alone."""
        if verb == "create":
            worker = self.worker_of[target] = await self.worker_for_new_node(target, args["instead"])
            self.add_addresses(target, await worker.ask(verb, target, args))
            self.hub.send(Addresses(servers={target: self.addresses[target]}))
            await self.set_endpoint_state("up", target)
            return
        host_worker = self.worker_of.get(target)
        if host_worker is None:
            return  # a trouble chose a node whose own start lies later
        await host_worker.ask(verb, target, args)
        state = {"kill": "removed", "start": "up", "drain": "draining"}.get(verb)
        if state is not None:
            await self.set_endpoint_state(state, target)

    async def _restart(self, router: RouterHandle, signal_name: str) -> None:
        """A planned restart as PROTOCOL has it, or a death that the front sees in its time."""
        if router.name in self._restarting:
            return  # two troubles chose the same one
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
        """A new file names another address of discovery, and SIGHUP has it read."""
        if not router.running:
            return
        host, port = await asyncio.wait_for(self.hub.ask("move", router.name), WORKER_TIMEOUT_S)
        self.discovery[router.name] = (host, port)
        await self._configure(router)
        router.send_signal(signal.SIGHUP)
