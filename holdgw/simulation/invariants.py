"""Invariants of the routers that a simulated run checks beside the four rules of the harness's checker.

No request stays open past its deadline, and no table exceeds its bound. Once the load has ended, tables,
descriptors, timers and tasks are back to their number before the schedule began. A router that ended by a
graceful shutdown left no task, descriptor or timer.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from holdgw.harness.checker import Violation
from holdgw.router.client_listener import MAX_REJECTING_CONNECTIONS
from holdgw.router.descriptor_limits import CLIENT_DESCRIPTOR_FRACTION, OWN_DESCRIPTORS
from holdgw.router.recent_ids import MAX_RECENT_IDS
from holdgw.simulation.process import Process
from holdgw.simulation.world import NS_PER_MS, World, callback_name

if TYPE_CHECKING:
    from holdgw.simulation.fleet_run import SimulatedFleet

CHECK_INTERVAL_NS = 250 * NS_PER_MS
OWN_SOCKETS = 3  # of a router itself: two listeners (clients, admin endpoint) and the discovery connection
TIMER_TOLERANCE = 2  # timers that a quiet router may have beyond its baseline
TABLES_EMPTY_WHEN_QUIET = (
    "callers",
    "adopting",
    "streams",
    "bytes_held",
    "requests",
    "request_bytes",
    "events",
    "policy_requests",
    "policy_coalesced_fetches",
    "policy_queued_writes",
    "clients",
    "dials",
    "waiting",
    "starved",
)
"""Tables of a router that must be empty when it has no requests."""


@dataclass(slots=True)
class ResourceCounts:
    """The timers and tasks that a router holds."""

    timers: int
    tasks: int


def _names(tasks: Iterable[asyncio.Task[Any]]) -> str:
    return ", ".join(sorted(str(getattr(task.get_coro(), "__qualname__", "?")) for task in tasks))


class InvariantChecker:
    """Checks all routers periodically during a run, when the load has ended, and at a router's exit."""

    def __init__(self, world: World, fleet: SimulatedFleet) -> None:
        self._world, self._fleet = world, fleet
        self.broken: list[Violation] = []
        self._lives: dict[str, list[Process]] = {}
        self._baselines: dict[str, ResourceCounts] = {}
        self._reported: set[tuple[str, str]] = set()

    def report_violation(self, what: str, text: str) -> None:
        """Record a violated invariant; the same text is recorded once."""
        if (what, text) not in self._reported:
            self._reported.add((what, text))
            self.broken.append(Violation(what, self._world.seconds, (), text))

    def process_started(self, name: str, process: Process) -> None:
        """Register a router's new process."""
        self._lives.setdefault(name, []).append(process)

    def report_process_faults(self, name: str) -> None:
        """Report the unhandled errors of each process of a router as violations."""
        for start_number, process in enumerate(self._lives.get(name, ()), 1):
            for text in process.faults:
                self.report_violation("fault", f"{name} (life {start_number}): {text}")

    def record_baselines(self) -> None:
        """Record what routers hold before the load begins, and start the periodic checks."""
        for name, router in self._fleet.routers.items():
            if router.process is not None:
                self._baselines[name] = self._count_resources(router.process)
        self._world.at(self._world.now + CHECK_INTERVAL_NS, None, self._check_all)

    def _count_resources(self, process: Process) -> ResourceCounts:
        return ResourceCounts(len(self._world.pending(process)), len(process.loop.tasks))

    def _check_all(self) -> None:
        self._world.at(self._world.now + CHECK_INTERVAL_NS, None, self._check_all)
        for name, router in self._fleet.routers.items():
            program, process = router.program, router.process
            if program is None or process is None or not process.running:
                continue
            tables, config = program.tables(), program.config
            if tables["requests_unanswered_late"] and not self._resumed_recently(name):
                self.report_violation("overdue", f"{name}: a request is unanswered past its deadline")
            if tables["requests_out_late"] and not self._resumed_recently(name):
                self.report_violation("overdue", f"{name}: an attempt is open past its request's deadline")
            connection_descriptors = max(config.max_descriptors - OWN_DESCRIPTORS, 8)
            client_descriptors = int(connection_descriptors * CLIENT_DESCRIPTOR_FRACTION)
            bounds = {
                "requests": config.max_open_requests,
                "recent": MAX_RECENT_IDS,
                "clients": client_descriptors + MAX_REJECTING_CONNECTIONS + 1,
                "descriptors_counted": connection_descriptors - client_descriptors,
                "events": 10_000,
            }
            for table, bound in bounds.items():
                if tables[table] > bound:
                    self.report_violation("unbounded", f"{name}: {table} holds {tables[table]}, over {bound}")
            in_use = tables["connections"] + tables["dials"]
            if tables["descriptors_counted"] != in_use:
                text = (
                    f"{name}: {tables['descriptors_counted']} descriptors counted for servers, {in_use} held"
                )
                self.report_violation("miscounted", text)
            if process.peak_descriptors > config.max_descriptors:
                self.report_violation(
                    "unbounded",
                    f"{name}: held {process.peak_descriptors} descriptors of {config.max_descriptors}",
                )

    def _resumed_recently(self, name: str) -> bool:
        now = self._fleet.clock()
        stops = self._fleet.history.stops
        return any(router == name and now - until < CHECK_INTERVAL_NS / 1e9 for router, _, until in stops)

    def check_quiet(self) -> None:
        """Check that routers released their resources; called some time after the load has ended."""
        for name, router in self._fleet.routers.items():
            program, process = router.program, router.process
            if program is None or process is None or not process.running:
                continue
            tables = program.tables()
            for table in TABLES_EMPTY_WHEN_QUIET:
                if tables[table]:
                    self.report_violation(
                        "left_over", f"{name}: {table} still holds {tables[table]} after the load has ended"
                    )
            accounted_for = tables["clients"] + tables["descriptors_counted"] + OWN_SOCKETS
            accounted_for += program.peers is not None  # the socket for other routers
            if len(process.open_descriptors) > accounted_for:
                text = (
                    f"{name}: {len(process.open_descriptors)} descriptors are open, "
                    f"and {accounted_for} are accounted for"
                )
                self.report_violation("left_over", text)
            baseline, current = self._baselines.get(name), self._count_resources(process)
            if baseline is None:
                continue
            if current.timers > baseline.timers + TIMER_TOLERANCE:
                names = ", ".join(
                    sorted({callback_name(call._callback) for call in self._world.pending(process)})
                )
                self.report_violation(
                    "left_over",
                    f"{name}: {current.timers} timers, {baseline.timers} before the load began: {names}",
                )
            if current.tasks > baseline.tasks:
                names = _names(process.loop.tasks)
                self.report_violation(
                    "left_over",
                    f"{name}: {current.tasks} tasks, {baseline.tasks} before the load began: {names}",
                )

    def process_ended(self, name: str, process: Process, wanted: str) -> None:
        """Check that a router left nothing behind if it ended by a graceful shutdown."""
        leftovers = process.leftovers
        if wanted != "TERM" or process.exit_code != 0 or leftovers is None:
            return
        tasks = [task for task in leftovers.tasks if task is not process.main]
        if tasks:
            names = _names(tasks)
            self.report_violation("left_over", f"{name} ended with tasks left: {names}")
        if leftovers.descriptors:
            kinds = ", ".join(sorted({type(holder).__name__ for holder in leftovers.descriptors}))
            self.report_violation(
                "left_over", f"{name} ended with {len(leftovers.descriptors)} descriptors open: {kinds}"
            )
        if leftovers.timers:
            names = ", ".join(sorted({callback_name(call._callback) for call in leftovers.timers}))
            self.report_violation(
                "left_over", f"{name} ended with {len(leftovers.timers)} timers left: {names}"
            )
