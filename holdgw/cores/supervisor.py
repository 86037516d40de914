"""The supervisor's sockets and processes: `holdgw run --cores N`. What to do is decided in crew.py.

It owns the clients' listening socket and deals each new connection to a worker by its descriptor; it follows
discovery, once for all, and passes the news on; it has the operators' door. It holds no client's bytes.
"""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from holdgw.cores import messages
from holdgw.cores.host_system import Acceptor, HostSystem, LinuxHostSystem, Running
from holdgw.cores.worker_pool import InsufficientResourcesError, WorkerPool, WorkerProcess, check
from holdgw.operation.admin_endpoint import AdminEndpoint
from holdgw.operation.endpoint_overrides import EndpointOverrides
from holdgw.operation.endpoint_update import EndpointUpdate
from holdgw.operation.metrics import Metrics
from holdgw.operation.process_link import ClientHandover, HandoverPart, ProcessLink
from holdgw.policy import (
    NS_PER_S,
    Action,
    EndpointsChanged,
    RoutingPolicy,
    SetTimer,
    Subscribe,
    TimerFired,
    UpdateKind,
    disabled_features,
)
from holdgw.router.config import Config, ConfigError, load_config
from holdgw.router.discovery import Clock, Discovery, read_listing
from holdgw.router.event_loop_lag import LagMonitor
from holdgw.router.log import log_faults, make_logger
from holdgw.router.platform import Platform
from holdgw.router.process import run_until_exit
from holdgw.router.program import ACCEPT_S, KILL_SLACK_S, READY_S, reload_config
from holdgw.router.timer_wheel import TimerWheel

LOOK_S = 0.02  # whether this process stood still: what it accepts then has waited
BEAT_S = 0.1  # shares, starts that are overdue, replacements
WAITING_MOST = 4096  # connections that no worker can take yet; more wait in the kernel

Connected = messages.NewClient | ClientHandover

log = logging.getLogger("holdgw")


@dataclass(eq=False)
class Worker:
    """A worker's process as the supervisor holds it."""

    member: WorkerProcess
    process: Running
    link: ProcessLink[messages.ToSupervisor]
    copies: deque[tuple[Connected, int]] = field(default_factory=deque)
    """What was dealt and is not said to be there yet, with a copy of each descriptor."""
    account: messages.WorkerReport | None = None
    heir: Worker | None = None
    """The one that its connections go to."""


class Supervisor:
    """One router on several cores; `run` is its whole life."""

    def __init__(
        self,
        config: Config,
        workers: int,
        platform: Platform | None = None,
        machine: HostSystem | None = None,
    ) -> None:
        """Raises CannotFeedError."""
        check(workers, config.memory, config.sockets)
        self.config, self.platform = config, platform or Platform()
        self.loop = loop = asyncio.get_running_loop()
        self.crew = WorkerPool(workers, tuple(tenant.name for tenant in config.settings.tenants))
        self.workers: dict[WorkerProcess, Worker] = {}
        self.roster = EndpointOverrides(config.settings.origin_kind)
        self.door = AdminEndpoint(loop, self)
        self._clock = Clock(self.platform.monotonic_ns, self.platform.unix_ns)
        # Where lists are asked for, the module decides when; this one is told of lists alone.
        self._lists = RoutingPolicy(config.settings, config.seed)
        self.discovery = Discovery(
            config.discovery, config.settings.subscription_required, self._clock, self._take, self._failed
        )
        self.machine = machine or LinuxHostSystem()
        self.board = self.machine.board(workers)
        self._ear: Acceptor | None = None
        self._waiting: deque[tuple[Connected, int]] = deque()
        self._known = False  # there is a list of servers
        classes = (cls.name for cls in config.settings.classes)
        self._ended = Metrics(classes, disabled_features(config.settings))  # by workers that are gone
        self._terminated = asyncio.Event()
        self._tasks: dict[asyncio.Task[None], None] = {}
        self._wheel = TimerWheel(loop, self.platform.monotonic_ns)
        self._beats = LagMonitor(int(LOOK_S * NS_PER_S), self.platform.monotonic_ns())

    async def run(self, listening: asyncio.Future[Any] | None = None) -> None:
        """Serve until SIGTERM, and then until every worker has drained."""
        config, loop = self.config, self.loop
        log_faults(loop)
        self._ear = self.machine.listen(config, self._fresh)
        loop.add_signal_handler(signal.SIGTERM, self._terminated.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        loop.add_signal_handler(signal.SIGUSR2, self.replace)
        if config.known is not None:
            known = read_listing(config.known, self._clock, UpdateKind.CACHED)
            self.discovery.resume_from(known.generation)
            self._take(known)
        if config.ops is not None:
            await self.door.listen(config.ops)
        for place in range(self.crew.workers):
            await self._start(place)
        self._ear.hear(True)
        if listening is not None:
            listening.set_result(self._ear.address)
        if not config.settings.subscription_required:
            self.discovery.start()
        elif config.known is None:
            self._tell_module(EndpointsChanged(UpdateKind.CACHED))
        self._later(READY_S, self._look_for_a_list)
        self._later(BEAT_S, self._beat)
        self._look()
        await self._terminated.wait()
        await self._end()

    async def _end(self) -> None:
        """Drain: clients are sent here for a while yet, and every worker answers what it has taken."""
        self.crew.ending = True
        begun = self.loop.time()
        for one in list(self.workers.values()):
            self._signal(one, signal.SIGTERM)
        await asyncio.sleep(ACCEPT_S)
        if self._ear is not None:
            self._ear.close()
            self._ear = None
        while self.workers and self.loop.time() < begun + self.config.longest_s + KILL_SLACK_S:
            await asyncio.sleep(0.01)
        for one in list(self.workers.values()):
            log.error("worker %d does not end; killed", one.member.place)
            self._signal(one, signal.SIGKILL)
        for task in list(self._tasks):
            await asyncio.wait((task,), timeout=1.0)
        self._wheel.close()
        self.door.close()
        self.discovery.close()
        for _, descriptor in self._waiting:
            self.machine.drop(descriptor)
        self._waiting.clear()
        self.board.close()
        self.machine.close()
        await asyncio.sleep(0)

    def _later(self, delay: float, callback: Callable[[], None]) -> None:
        self._wheel.call_at(self.platform.monotonic_ns() + int(delay * NS_PER_S), callback)

    # Workers

    async def _start(self, place: int) -> None:
        if self.crew.ending:
            return
        member = self.crew.started(place, self.loop.time())
        try:
            process, link = await self.machine.start(
                place,
                self.crew.workers,
                self.platform.environ,
                messages.decode_to_supervisor,
                partial(self._word, member),
            )
        except OSError as error:
            log.error("worker %d can't be started: %s", place, error)
            wait = self.crew.exited(member, self.loop.time())
            if wait is not None:
                self._later(wait, partial(self._start_soon, place))
            return
        one = self.workers[member] = Worker(member, process, link)
        if self._known:
            for part in messages.split_update(self.roster.full_update()):
                link.send(part)
        self._spawn(self._watch(one))
        if self.crew.ending:
            self._signal(one, signal.SIGTERM)

    def _start_soon(self, place: int) -> None:
        self._spawn(self._start(place))

    def _spawn(self, work: Any) -> None:
        task = self.loop.create_task(work)
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))

    async def _watch(self, one: Worker) -> None:
        code = await one.process.wait()
        one.link.read()  # what it said before its end
        one.link.close()
        del self.workers[one.member]
        wait = self.crew.exited(one.member, self.loop.time())
        if one.account is not None:
            self._ended.add(one.account.results, one.account.forwards)
        # Danger: what was dealt to it in its last instant would be lost unread; its client waits for nothing.
        for client, descriptor in one.copies:
            self._deal(client, descriptor)
        one.copies.clear()
        expected = one.heir is not None or self.crew.ending
        log.log(
            logging.INFO if expected else logging.ERROR, "worker %d ended with %d", one.member.place, code
        )
        if not expected and self.crew.not_replaced(one.member.place):
            log.error("replacing: worker %d did not come up; the old ones go on", one.member.place)
        if wait is not None:
            self._later(wait, partial(self._start_soon, one.member.place))

    def _signal(self, one: Worker, number: signal.Signals) -> None:
        if one.process.returncode is None:
            with suppress(ProcessLookupError):  # its end is about to be told
                one.process.send_signal(number)

    def replace(self) -> None:
        """Replace every worker by a new process, one after the other; the sources are read anew."""
        if self.crew.replace(self.loop.time()):
            log.info("replacing %d workers", self.crew.workers)

    def _look(self) -> None:
        self._later(LOOK_S, self._look)
        self._beats.beat(self.platform.monotonic_ns())

    def _beat(self) -> None:
        self._later(BEAT_S, self._beat)
        now = self.loop.time()
        for member in self.crew.overdue(now):
            log.error("worker %d can't serve in time; killed", member.place)
            self._signal(self.workers[member], signal.SIGKILL)
        place = self.crew.next_to_replace()
        if place is not None:
            self._start_soon(place)
        elif self.crew.all_replaced():
            log.info("replaced %d workers", self.crew.workers)
        self._tell_shares()

    def _tell_shares(self) -> None:
        for member, shares in self.crew.share_out().items():
            self.workers[member].link.send(messages.LimitShares(member.told_number, shares))

    def _word(
        self,
        member: WorkerProcess,
        _: ProcessLink[messages.ToSupervisor],
        word: messages.ToSupervisor,
        descriptor: int | None,
    ) -> None:
        one = self.workers[member]
        match word:
            case messages.Serving():
                self._serves(one)
            case messages.ClientsAccepted():
                self.crew.took(member, word.dealt, self.loop.time())
                while len(one.copies) > member.dealt - word.dealt:
                    self.machine.drop(one.copies.popleft()[1])
            case messages.WorkerReport():
                one.account = word
                self.crew.account(member, word.connected, word.shares, word.demands)
            case HandoverPart() if one.heir is not None:
                one.heir.link.send(word)
            case ClientHandover() if descriptor is not None:
                self._deal(word, descriptor)
                descriptor = None
        if descriptor is not None:
            self.machine.drop(descriptor)

    def _serves(self, one: Worker) -> None:
        before = self.crew.serving(one.member)
        self._tell_shares()
        if before is not None:
            elder = self.workers[before]
            elder.heir = one
            elder.link.send(messages.HandOver())
        waiting, self._waiting = self._waiting, deque()
        for client, descriptor in waiting:
            self._deal(client, descriptor)
        if self._ear is not None:
            self._ear.hear(True)

    # Clients

    def _fresh(self, descriptor: int) -> None:
        now = self.platform.monotonic_ns()
        self._deal(messages.NewClient(now - self._beats.possible_lag_ns(now)), descriptor)
        if len(self._waiting) >= WAITING_MOST and self._ear is not None:
            self._ear.hear(False)

    def _deal(self, client: Connected, descriptor: int) -> None:
        member = self.crew.deal(self.loop.time())
        if member is None:
            if self.crew.ending and not self.workers:
                self.machine.drop(descriptor)
            else:
                self._waiting.append((client, descriptor))
            return
        one = self.workers[member]
        one.copies.append((client, descriptor))
        one.link.send(client, self.machine.dup(descriptor))

    # The list of servers

    def _take(self, listing: EndpointUpdate) -> None:
        self._tell_module(listing.change)
        self._known = True
        self._tell_list(self.roster.apply(listing))

    def _tell_list(self, listing: EndpointUpdate | None) -> None:
        if listing is None:
            return
        for part in messages.split_update(listing):
            for one in self.workers.values():
                one.link.send(part)
        self.board.advance()

    def _look_for_a_list(self) -> None:
        if not self._known:
            log.warning("no list of servers yet")

    def _failed(self) -> None:
        self._tell_module(EndpointsChanged(UpdateKind.FAILED))

    def _tell_module(self, event: EndpointsChanged | TimerFired) -> None:
        for action in self._lists.handle(event, self.platform.monotonic_ns()):
            self._carry_out(action)

    def _carry_out(self, action: Action) -> None:
        if isinstance(action, Subscribe):
            self.discovery.subscribe()
        elif isinstance(action, SetTimer):
            self._later(action.delay_ns / NS_PER_S, partial(self._tell_module, TimerFired(action.token)))

    def _reload(self) -> None:
        new = reload_config(self.platform, self._ended)
        if new is None:
            return
        self.discovery.change_address(new.discovery)
        for one in self.workers.values():
            self._signal(one, signal.SIGHUP)

    # What operators call for at the door

    def can_serve(self) -> bool:
        """Whether some worker can serve clients now."""
        return self.crew.can_serve and not self.crew.ending

    def metrics_text(self) -> bytes:
        """The figures of all workers together, as of their last accounts."""
        accounts = [one.account for one in self.workers.values() if one.account is not None]
        total = Metrics((name for name, _ in self._ended.results), self._ended.off)
        total.add(self._ended.counts(), self._ended.forwards)
        total.reloads_applied = self._ended.reloads_applied
        total.reloads_rejected = self._ended.reloads_rejected
        for one in accounts:
            total.add(one.results, one.forwards)
        avoided = list(dict.fromkeys(name for one in accounts for name in one.avoided))
        outstanding = sum(one.outstanding for one in accounts)
        text = total.text(outstanding, self.roster.discovered_count, self.roster.excluded_count(avoided))
        return text + b"# TYPE lb_workers gauge\nlb_workers %d\n" % self.crew.serving_count

    def enter_maintenance(self, server_id: str) -> None:
        """Take a cache server out by hand; raises UnknownServerError."""
        self._tell_list(self.roster.enter_maintenance(server_id, self.platform.monotonic_ns()))

    def exit_maintenance(self, server_id: str) -> None:
        """Use a cache server again; raises UnknownServerError."""
        self._tell_list(self.roster.exit_maintenance(server_id, self.platform.monotonic_ns()))


def main(workers: int) -> int:
    """Run a router on so many cores; returns the exit code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGUSR2, signal.SIG_IGN)
    try:
        config = load_config(os.environ)
        check(workers, config.memory, config.sockets)
        if config.known is not None:
            read_listing(config.known, Clock())
    except (ConfigError, InsufficientResourcesError, ValueError) as error:
        print(f"holdgw: {error}", file=sys.stderr)
        return 2
    make_logger(config.name)

    async def work() -> None:
        await Supervisor(config, workers).run()

    return run_until_exit(work)
