"""What must hold beyond the four rules, looked at as a run goes on.

No request stands open past its deadline; no table outgrows its bound; once all is quiet, tables, descriptors,
timers and tasks are back to what they were before the day; a router that ended in good order left nothing.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from holdgw.harness.checker import Violation
from holdgw.router.client_listener import MAX_REJECTING_CONNECTIONS
from holdgw.router.descriptor_limits import CLIENT_DESCRIPTOR_FRACTION, OWN_DESCRIPTORS
from holdgw.router.open_request import MAX_RECENT_IDS
from holdgw.simulation.process import Process
from holdgw.simulation.world import NS_PER_MS, World, name_of

if TYPE_CHECKING:
    from holdgw.simulation.fleet_run import SimulatedFleet

LOOK_NS = 250 * NS_PER_MS
LISTENERS = 3  # descriptors that are neither a client's nor a server's: two doors, and discovery's call
SPARE_TIMERS = 2
EMPTY = (
    "callers",
    "adopting",
    "streams",
    "bytes_held",
    "requests",
    "events",
    "policy_requests",
    "policy_coalesced_fetches",
    "policy_queued_writes",
    "clients",
    "dials",
    "waiting",
    "starved",
)
"""Tables that hold nothing once nobody asks."""


@dataclass(slots=True)
class Reading:
    """What a quiet router holds."""

    timers: int
    tasks: int


def _names(tasks: Iterable[asyncio.Task[Any]]) -> str:
    return ", ".join(sorted(str(getattr(task.get_coro(), "__qualname__", "?")) for task in tasks))


class Watch:
    """Looks at all routers now and then."""

    def __init__(self, world: World, theatre: SimulatedFleet) -> None:
        self._world, self._theatre = world, theatre
        self.broken: list[Violation] = []
        self._lives: dict[str, list[Process]] = {}
        self._base: dict[str, Reading] = {}
        self._said: set[tuple[str, str]] = set()

    def broke(self, what: str, text: str) -> None:
        """An invariant is broken; each is told of once a router."""
        if (what, text) not in self._said:
            self._said.add((what, text))
            self.broken.append(Violation(what, self._world.seconds, (), text))

    def began(self, name: str, process: Process) -> None:
        """A router's process has started."""
        self._lives.setdefault(name, []).append(process)

    def tell_faults(self, name: str) -> None:
        """Faults in callbacks of each of a router's lives break an invariant, too."""
        for life, process in enumerate(self._lives.get(name, ()), 1):
            for text in process.faults:
                self.broke("fault", f"{name} (life {life}): {text}")

    def begin(self) -> None:
        """The day begins: what routers hold now is their base."""
        for name, router in self._theatre.routers.items():
            if router.process is not None:
                self._base[name] = self._reading(router.process)
        self._world.at(self._world.now + LOOK_NS, None, self._look)

    def _reading(self, process: Process) -> Reading:
        return Reading(len(self._world.pending(process)), len(process.loop.tasks))

    def _look(self) -> None:
        self._world.at(self._world.now + LOOK_NS, None, self._look)
        for name, router in self._theatre.routers.items():
            program, process = router.program, router.process
            if program is None or process is None or not process.running:
                continue
            tables, config = program.tables(), program.config
            if tables["requests_unanswered_late"] and not self._just_went_on(name):
                self.broke("overdue", f"{name}: a request stands unanswered past its deadline")
            if tables["requests_out_late"] and not self._just_went_on(name):
                self.broke("overdue", f"{name}: an attempt is out past its request's deadline")
            others = max(config.max_descriptors - OWN_DESCRIPTORS, 8)
            for_clients = int(others * CLIENT_DESCRIPTOR_FRACTION)
            bounds = {
                "requests": config.max_open_requests,
                "recent": MAX_RECENT_IDS,
                "clients": for_clients + MAX_REJECTING_CONNECTIONS + 1,
                "descriptors_counted": others - for_clients,
                "events": 10_000,
            }
            for table, bound in bounds.items():
                if tables[table] > bound:
                    self.broke("unbounded", f"{name}: {table} holds {tables[table]}, over {bound}")
            held = tables["connections"] + tables["dials"]
            if tables["descriptors_counted"] != held:
                text = f"{name}: {tables['descriptors_counted']} descriptors counted for servers, {held} held"
                self.broke("miscounted", text)
            if process.most_open > config.max_descriptors:
                self.broke(
                    "unbounded", f"{name}: held {process.most_open} descriptors of {config.max_descriptors}"
                )

    def _just_went_on(self, name: str) -> bool:
        now = self._theatre.clock()
        stops = self._theatre.history.stops
        return any(router == name and now - until < LOOK_NS / 1e9 for router, _, until in stops)

    def quiet(self) -> None:
        """All is over and has been for a while."""
        for name, router in self._theatre.routers.items():
            program, process = router.program, router.process
            if program is None or process is None or not process.running:
                continue
            tables = program.tables()
            for table in EMPTY:
                if tables[table]:
                    self.broke("left_over", f"{name}: {table} still holds {tables[table]} when all is quiet")
            known = tables["clients"] + tables["descriptors_counted"] + LISTENERS
            known += program.peers is not None  # its one socket
            if len(process.open) > known:
                text = f"{name}: {len(process.open)} descriptors are open, and {known} are accounted for"
                self.broke("left_over", text)
            base, now = self._base.get(name), self._reading(process)
            if base is None:
                continue
            if now.timers > base.timers + SPARE_TIMERS:
                names = ", ".join(sorted({name_of(call._callback) for call in self._world.pending(process)}))
                self.broke("left_over", f"{name}: {now.timers} timers, {base.timers} before the day: {names}")
            if now.tasks > base.tasks:
                names = _names(process.loop.tasks)
                self.broke("left_over", f"{name}: {now.tasks} tasks, {base.tasks} before the day: {names}")

    def ended(self, name: str, process: Process, wanted: str) -> None:
        """A router's process has ended."""
        left = process.left
        if wanted != "TERM" or process.code != 0 or left is None:
            return
        tasks = [task for task in left.tasks if task is not process.main]
        if tasks:
            names = _names(tasks)
            self.broke("left_over", f"{name} ended with tasks left: {names}")
        if left.descriptors:
            kinds = ", ".join(sorted({type(one).__name__ for one in left.descriptors}))
            self.broke("left_over", f"{name} ended with {len(left.descriptors)} descriptors open: {kinds}")
        if left.timers:
            names = ", ".join(sorted({name_of(call._callback) for call in left.timers}))
            self.broke("left_over", f"{name} ended with {len(left.timers)} timers left: {names}")
