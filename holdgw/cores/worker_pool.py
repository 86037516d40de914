"""The supervisor's decisions: which workers run, who gets the next client, and the limit shares.

No I/O, no clock. All times are seconds of the caller's monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

STABLE_AFTER_S = 10.0  # a worker that ends sooner has failed at its start
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
UNRESPONSIVE_AFTER_S = 0.1  # without accepting what was assigned, a worker gets no more clients
START_TIMEOUT_S = 10.0  # within which a worker must be able to serve
EVEN_SHARE_FRACTION = 0.25  # of a tenant's limit, divided evenly; the rest is divided by demand
MIN_SHARE_CHANGE = 0.02  # smaller changes are not worth a message
MIN_SHARE = 1e-9  # of a worker that may use nothing
MIN_PROCESS_MEMORY_BYTES = 24 << 20
MIN_PROCESS_SOCKETS = 64
MAX_WORKERS = 64


class InsufficientResourcesError(Exception):
    """The router's limits don't suffice for so many workers; the text is one plain line."""


def check_resources(workers: int, memory_bytes: int, sockets: int) -> None:
    """Check the router's limits for so many workers and their supervisor.

    Raises InsufficientResourcesError.
    """
    processes = workers + 1
    if not 1 <= workers <= MAX_WORKERS:
        raise InsufficientResourcesError(f"--cores: expected 1 to {MAX_WORKERS}, got {workers}")
    if memory_bytes // processes < MIN_PROCESS_MEMORY_BYTES:
        need_mb = processes * MIN_PROCESS_MEMORY_BYTES >> 20
        raise InsufficientResourcesError(
            f"{workers} workers need {need_mb} MB of memory; limits.memory_mb is {memory_bytes >> 20}"
        )
    if sockets // processes < MIN_PROCESS_SOCKETS:
        need = processes * MIN_PROCESS_SOCKETS
        raise InsufficientResourcesError(
            f"{workers} workers need {need} descriptors; limits.sockets is {sockets}"
        )


class WorkerState(Enum):
    """Where a worker process stands in its life."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    """Hands its connections back."""
    ENDED = "ended"


@dataclass(eq=False)
class WorkerProcess:
    """One worker process, as the supervisor knows it."""

    index: int
    """Of its worker; the process that replaces it has the same."""
    started_s: float
    state: WorkerState = WorkerState.STARTING
    connected: int = 0
    """Clients by its last report."""
    assigned: int = 0
    """Connections sent to it so far."""
    accepted: int = 0
    """Those of them that it has accepted."""
    reported: int = 0
    """Those of them that it had accepted at its last report, and so are counted in `connected`."""
    shares: dict[str, float] = field(default_factory=dict)
    """The limit shares that it was sent last."""
    shares_number: int = 0
    """Of the message with them."""
    peak_shares: dict[str, float] = field(default_factory=dict)
    """The largest shares that it was sent since those that it is known to apply."""
    demands: dict[str, float] = field(default_factory=dict)
    """Each tenant's calls for the origin a second."""
    unanswered_since: float | None = None
    """Since when it has accepted nothing of what was sent; None: it has accepted all."""

    @property
    def load(self) -> int:
        """Its clients, as far as is known, those on their way among them."""
        return self.connected + self.assigned - self.reported

    def peak_share(self, tenant: str) -> float:
        """The largest share of a tenant's limit that it may be using now."""
        return self.peak_shares.get(tenant, 0.0)

    def share(self, tenant: str) -> float:
        """The share that it was sent last."""
        return self.shares.get(tenant, 0.0)

    def set_share(self, tenant: str, share: float) -> None:
        """Note a share that it is sent."""
        self.shares[tenant] = share
        self.peak_shares[tenant] = max(self.peak_share(tenant), share)

    def unresponsive_s(self, now: float) -> float:
        """How long it has accepted nothing, 0 where that is within UNRESPONSIVE_AFTER_S."""
        unanswered = now - self.unanswered_since if self.unanswered_since is not None else 0.0
        return unanswered if unanswered > UNRESPONSIVE_AFTER_S else 0.0


Shares = dict[WorkerProcess, dict[str, float]]
"""Limit shares by worker process and tenant, 0 to 1."""


class WorkerPool:
    """The worker processes of one router."""

    def __init__(self, workers: int, tenants: tuple[str, ...]) -> None:
        """`tenants`: their names; requests without a tenant are one more, under an empty name."""
        self.workers = workers
        self._tenants = (*tenants, "")
        self.processes: list[WorkerProcess] = []
        self._failed_starts = [0] * workers  # in a row, by index
        self.ending = False
        """No worker is started any more."""
        self._replaced: set[int] | None = None  # indices done, while all workers are being replaced
        self._replacement_began = 0.0

    # Starts and ends

    def process_started(self, index: int, now: float) -> WorkerProcess:
        """A process was started."""
        assert 0 <= index < self.workers
        process = WorkerProcess(index, now)
        self.processes.append(process)
        return process

    def process_serving(self, process: WorkerProcess) -> WorkerProcess | None:
        """A process can serve; returns the one that it replaces, which is to hand over."""
        if process.state is not WorkerState.STARTING:
            return None
        process.state = WorkerState.SERVING
        # One that was still starting when the replacement began may run the old version: it is replaced too.
        if self._replaced is not None and process.started_s >= self._replacement_began:
            self._replaced.add(process.index)
        old_process = self._serving_at(process.index, but=process)
        if old_process is not None:
            old_process.state = WorkerState.DRAINING
        return old_process

    def _serving(self) -> list[WorkerProcess]:
        return [process for process in self.processes if process.state is WorkerState.SERVING]

    def _serving_at(self, index: int, but: WorkerProcess | None = None) -> WorkerProcess | None:
        found = (one for one in self._serving() if one.index == index and one is not but)
        return next(found, None)

    def process_ended(self, process: WorkerProcess, now: float) -> float | None:
        """A process has ended; returns after how many seconds to start another, None: not at all."""
        before = process.state
        process.state = WorkerState.ENDED
        self.processes.remove(process)
        if before is WorkerState.DRAINING or self.ending:
            return None
        failed = before is WorkerState.STARTING or now - process.started_s < STABLE_AFTER_S
        failures = self._failed_starts[process.index] + 1 if failed else 0
        self._failed_starts[process.index] = failures
        if self._serving_at(process.index) is not None:
            return None  # a new version that does not start: the old process goes on
        if not failures:
            return 0.0
        return float(min(INITIAL_BACKOFF_S * 2 ** (failures - 1), MAX_BACKOFF_S))

    def overdue_starts(self, now: float) -> list[WorkerProcess]:
        """Processes that could not serve within START_TIMEOUT_S, and are to be killed."""
        starting = (process for process in self.processes if process.state is WorkerState.STARTING)
        return [process for process in starting if now - process.started_s > START_TIMEOUT_S]

    # Replacement of all workers

    def begin_replacement(self, now: float) -> bool:
        """Begin to replace every process; False where that is under way, or the router ends."""
        if self._replaced is not None or self.ending:
            return False
        self._replaced = set()
        self._replacement_began = now
        return True

    def next_to_replace(self) -> int | None:
        """The next index to start a new process for, one at a time; None while one is under way."""
        if self._replaced is None:
            return None
        if any(one.state in (WorkerState.STARTING, WorkerState.DRAINING) for one in self.processes):
            return None
        return next((index for index in range(self.workers) if index not in self._replaced), None)

    def abort_replacement(self, index: int) -> bool:
        """A process has ended unexpectedly; returns whether that aborts the replacement.

        It does where that worker was still to be replaced.
        """
        aborts = self._replaced is not None and index not in self._replaced
        if aborts:
            self._replaced = None
        return aborts

    def finish_replacement(self) -> bool:
        """Whether the last worker is replaced; True once."""
        done = self._replaced is not None and len(self._replaced) == self.workers
        if done:
            self._replaced = None
        return done

    @property
    def serving_count(self) -> int:
        """How many processes can serve."""
        return len(self._serving())

    @property
    def can_serve(self) -> bool:
        """Whether any process can serve."""
        return self.serving_count > 0

    # Clients

    def assign_client(self, now: float) -> WorkerProcess | None:
        """Choose who gets the next connection: the process with the fewest; None: none can serve.

        A process whose core is taken away accepts nothing, and what is sent to it can't be taken back, as it
        may read of it at any time: unresponsive ones come last, the longest unresponsive last of all. Reports
        come one after the other, so what was accepted since a process's last one counts beside it: it would
        otherwise get all clients until its next.
        """
        serving = self._serving()
        if not serving:
            return None
        chosen = min(serving, key=lambda one: (one.unresponsive_s(now), one.load, one.assigned))
        if chosen.unanswered_since is None:
            chosen.unanswered_since = now
        chosen.assigned += 1
        return chosen

    def clients_accepted(self, process: WorkerProcess, accepted: int, now: float) -> None:
        """A process has accepted so many of the connections sent to it."""
        process.accepted = accepted
        process.unanswered_since = None if accepted == process.assigned else now

    def apply_report(
        self, process: WorkerProcess, connected: int, shares_number: int, demands: dict[str, float]
    ) -> None:
        """Apply a process's report; `shares_number`: of the limit shares that it applies."""
        process.connected = connected
        process.demands = demands
        process.reported = process.accepted
        if shares_number == process.shares_number:
            process.peak_shares = dict(process.shares)

    # Limit shares

    def target_shares(self) -> Shares:
        """The shares by demand, with an even part for each process that serves."""
        serving = self._serving()
        targets: Shares = {process: {} for process in serving}
        for tenant in self._tenants:
            total = sum(one.demands.get(tenant, 0.0) for one in serving)
            for one in serving:
                by_demand = one.demands.get(tenant, 0.0) / total if total > 0 else 1 / len(serving)
                targets[one][tenant] = (
                    EVEN_SHARE_FRACTION / len(serving) + (1 - EVEN_SHARE_FRACTION) * by_demand
                )
        return targets

    def rebalance_shares(self) -> Shares:
        """The shares to send now, such that all shares in use never sum to more than 1.

        A share that is reduced counts in full until the process reports that it applies less; only what is
        free by then is given to others. A process that is killed keeps its shares until it has ended.
        """
        changes: Shares = {}
        targets = self.target_shares()
        for tenant in self._tenants:
            self._reduce_shares(tenant, targets, changes)
            self._raise_shares(tenant, targets, changes)
        for process in changes:
            process.shares_number += 1
        return changes

    def _reduce_shares(self, tenant: str, targets: Shares, changes: Shares) -> None:
        for one in self.processes:
            target = targets[one][tenant] if one in targets else 0.0
            if one.state is not WorkerState.STARTING and one.share(tenant) - target > MIN_SHARE_CHANGE:
                one.set_share(tenant, max(target, MIN_SHARE))
                changes.setdefault(one, {})[tenant] = one.share(tenant)

    def _raise_shares(self, tenant: str, targets: Shares, changes: Shares) -> None:
        free = 1.0 - sum(one.peak_share(tenant) for one in self.processes)
        for one in sorted(targets, key=lambda one: one.share(tenant)):
            raised_by = min(targets[one][tenant] - one.share(tenant), free)
            if raised_by > MIN_SHARE_CHANGE:
                one.set_share(tenant, one.share(tenant) + raised_by)
                changes.setdefault(one, {})[tenant] = one.share(tenant)
                free -= raised_by
