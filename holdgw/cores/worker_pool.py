"""The supervisor's decisions: who serves, who gets the next client, who may use how much. No I/O, no clock.

All times are seconds on the caller's own monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

STEADY_S = 10.0  # a worker that lived so long has not failed at its start
BACK_OFF_S, BACK_OFF_MOST_S = 0.1, 5.0
STUCK_S = 0.1  # in which a worker takes what is dealt to it, or is passed over
START_S = 10.0  # in which a worker must be able to serve
FLOOR = 0.25  # part of a tenant's limit that is shared out evenly; the rest goes by demand
MOVE_LEAST = 0.02  # a share is moved by no less: words are not free
MEMORY_LEAST = 24 << 20  # bytes for one process
SOCKETS_LEAST = 64
WORKERS_MOST = 64
EPSILON = 1e-9  # the share of one that may use nothing


class InsufficientResourcesError(Exception):
    """So many workers can't be fed; the text is one plain line."""


def check(workers: int, memory: int, sockets: int) -> None:
    """Raise CannotFeedError where the router's limits don't do for so many workers and their supervisor."""
    if not 1 <= workers <= WORKERS_MOST:
        raise InsufficientResourcesError(f"--cores: expected 1 to {WORKERS_MOST}, got {workers}")
    if memory // (workers + 1) < MEMORY_LEAST:
        need = (workers + 1) * MEMORY_LEAST >> 20
        raise InsufficientResourcesError(
            f"{workers} workers need {need} MB of memory; limits.memory_mb is {memory >> 20}"
        )
    if sockets // (workers + 1) < SOCKETS_LEAST:
        need = (workers + 1) * SOCKETS_LEAST
        raise InsufficientResourcesError(
            f"{workers} workers need {need} descriptors; limits.sockets is {sockets}"
        )


class WorkerState(Enum):
    """Where a worker's process stands in its life."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"  # gives its connections back, or drains
    GONE = "gone"


@dataclass(eq=False)
class WorkerProcess:
    """One worker's process; `place` is what it takes over from the one before it there."""

    place: int
    began: float
    state: WorkerState = WorkerState.STARTING
    connected: int = 0
    dealt: int = 0
    """Connections dealt to it so far."""
    taken: int = 0
    """Those of them that it has taken."""
    counted: int = 0
    """Those of them that were taken when it gave its last account, and so stand in `connected`."""
    told: dict[str, float] = field(default_factory=dict)
    """The shares it was told last."""
    told_number: int = 0
    peak: dict[str, float] = field(default_factory=dict)
    """The most it was told since the shares that it is known to go by."""
    demands: dict[str, float] = field(default_factory=dict)

    waits_since: float | None = None
    """Since when it has said nothing though connections were dealt to it; None: it has taken all."""

    def may_use(self, tenant: str) -> float:
        """The most of a tenant's limit that it may be using now."""
        return self.peak.get(tenant, 0.0)

    def tell(self, tenant: str, share: float) -> float:
        """Note what it is told."""
        self.told[tenant] = share
        self.peak[tenant] = max(self.peak.get(tenant, 0.0), share)
        return share


class WorkerPool:
    """The workers of one router."""

    def __init__(self, workers: int, tenants: tuple[str, ...]) -> None:
        self.workers, self._tenants = workers, (*tenants, "")
        self.members: list[WorkerProcess] = []
        self._failures = [0] * workers  # starts that failed in a row, by place
        self.ending = False
        self.replaced: set[int] | None = None
        """Places done, while all workers are being replaced; None: they are not."""
        self._asked = 0.0  # when that was

    # Lives

    def started(self, place: int, now: float) -> WorkerProcess:
        """A process was started at this place."""
        assert 0 <= place < self.workers
        member = WorkerProcess(place, now)
        self.members.append(member)
        return member

    def serving(self, member: WorkerProcess) -> WorkerProcess | None:
        """A worker can serve; returns the one that it takes the place of, which is to hand over."""
        if member.state is not WorkerState.STARTING:
            return None
        member.state = WorkerState.SERVING
        # Danger: one that was still starting when its replacement was asked for runs the old version, and
        # would be left at it.
        if self.replaced is not None and member.began >= self._asked:
            self.replaced.add(member.place)
        before = self._at(member.place, but=member)
        if before is not None:
            before.state = WorkerState.LEAVING
        return before

    def _at(self, place: int, but: WorkerProcess | None = None) -> WorkerProcess | None:
        return next(
            (m for m in self.members if m.place == place and m.state is WorkerState.SERVING and m is not but),
            None,
        )

    def exited(self, member: WorkerProcess, now: float) -> float | None:
        """A process has ended; returns after how long another is to be started at its place, if any."""
        was, member.state = member.state, WorkerState.GONE
        self.members.remove(member)
        if was is WorkerState.LEAVING or self.ending:
            return None
        failed = was is WorkerState.STARTING or now - member.began < STEADY_S
        self._failures[member.place] = self._failures[member.place] + 1 if failed else 0
        if self._at(member.place) is not None:
            return None  # a new version that did not come up: the old one goes on
        if not self._failures[member.place]:
            return 0.0
        return float(min(BACK_OFF_S * 2 ** (self._failures[member.place] - 1), BACK_OFF_MOST_S))

    def overdue(self, now: float) -> list[WorkerProcess]:
        """Those that should be able to serve by now, and are to be killed."""
        return [m for m in self.members if m.state is WorkerState.STARTING and now - m.began > START_S]

    def replace(self, now: float) -> bool:
        """Have every worker replaced by a new process; False where that is under way, or the end is."""
        if self.replaced is not None or self.ending:
            return False
        self.replaced, self._asked = set(), now
        return True

    def next_to_replace(self) -> int | None:
        """The next place whose worker is to be replaced, one at a time; None while one is on its way."""
        if self.replaced is None or any(
            m.state in (WorkerState.STARTING, WorkerState.LEAVING) for m in self.members
        ):
            return None
        return next((place for place in range(self.workers) if place not in self.replaced), None)

    def not_replaced(self, place: int) -> bool:
        """A worker ended by itself: whether that ends the replacement, as its place was still to be done."""
        ends = self.replaced is not None and place not in self.replaced
        if ends:
            self.replaced = None
        return ends

    def all_replaced(self) -> bool:
        """Whether the last one has just been replaced; tells it once."""
        done = self.replaced is not None and len(self.replaced) == self.workers
        if done:
            self.replaced = None
        return done

    @property
    def serving_count(self) -> int:
        """How many workers can."""
        return sum(m.state is WorkerState.SERVING for m in self.members)

    @property
    def can_serve(self) -> bool:
        """Whether some worker can."""
        return self.serving_count > 0

    # Clients

    def deal(self, now: float) -> WorkerProcess | None:
        """Who gets the next connection: the worker with the fewest, as far as is known; None: nobody can."""
        serving = [m for m in self.members if m.state is WorkerState.SERVING]
        if not serving:
            return None

        def stuck(member: WorkerProcess) -> float:
            waits = now - member.waits_since if member.waits_since is not None else 0.0
            return waits if waits > STUCK_S else 0.0

        # Danger: a worker whose CPU is taken away would be dealt its part of the clients, who would wait for
        # it; what it was dealt already can't be taken back, for it may read of it at any time. Where all are
        # late, on a busy machine, the one that has said nothing for the longest is the last.
        # And accounts come one after the other: what one has taken since its last would count as nothing, and
        # it would be dealt all clients until its next.
        chosen = min(serving, key=lambda m: (stuck(m), m.connected + m.dealt - m.counted, m.dealt))
        if chosen.waits_since is None:
            chosen.waits_since = now
        chosen.dealt += 1
        return chosen

    def took(self, member: WorkerProcess, dealt: int, now: float) -> None:
        """A worker has taken so many of the connections dealt to it."""
        member.taken = dealt
        member.waits_since = None if member.taken == member.dealt else now

    def account(self, member: WorkerProcess, connected: int, shares: int, demands: dict[str, float]) -> None:
        """Take a worker's account; `shares`: the number of those that it goes by."""
        member.connected, member.demands = connected, demands
        member.counted = member.taken
        if shares == member.told_number:
            member.peak = dict(member.told)

    # Shares of the tenants' limits

    def wanted(self) -> dict[WorkerProcess, dict[str, float]]:
        """The shares by demand, with a floor for each worker that serves."""
        serving = [m for m in self.members if m.state is WorkerState.SERVING]
        found: dict[WorkerProcess, dict[str, float]] = {m: {} for m in serving}
        for tenant in self._tenants:
            total = sum(m.demands.get(tenant, 0.0) for m in serving)
            for m in serving:
                part = m.demands.get(tenant, 0.0) / total if total > 0 else 1 / len(serving)
                found[m][tenant] = FLOOR / len(serving) + (1 - FLOOR) * part
        return found

    def share_out(self) -> dict[WorkerProcess, dict[str, float]]:
        """What to tell whom, so that all shares together never pass the whole.

        What a worker is to lose counts as its own until it says that it goes by less; only what is free by
        then is given to others. One that is killed keeps what it had until its process is gone.
        """
        news: dict[WorkerProcess, dict[str, float]] = {}
        wanted = self.wanted()
        for tenant in self._tenants:
            for m in self.members:
                want = wanted[m][tenant] if m in wanted else 0.0
                if m.state is not WorkerState.STARTING and m.told.get(tenant, 0.0) - want > MOVE_LEAST:
                    news.setdefault(m, {})[tenant] = m.tell(tenant, max(want, EPSILON))
            free = 1.0 - sum(m.may_use(tenant) for m in self.members)
            for m in sorted(wanted, key=lambda m: m.told.get(tenant, 0.0)):
                more = min(wanted[m][tenant] - m.told.get(tenant, 0.0), free)
                if more > MOVE_LEAST:
                    news.setdefault(m, {})[tenant] = m.tell(tenant, m.told.get(tenant, 0.0) + more)
                    free -= more
        for m in news:
            m.told_number += 1
        return news
