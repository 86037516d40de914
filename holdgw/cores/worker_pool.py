"""The supervisor's decisions: which worker processes run, which of them gets a client, and the limit shares.

No I/O, no clock. All times are seconds of the caller's monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

STABLE_AFTER_S = 10.0  # a worker that ends sooner counts as a failed start
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
UNRESPONSIVE_AFTER_S = 0.1  # a worker that accepts none of its assigned clients for longer is chosen last
START_TIMEOUT_S = 10.0  # a starting worker that cannot serve by then is killed
EVEN_SHARE_FRACTION = 0.25  # of a tenant's limit is divided evenly, the rest by demand
MIN_SHARE_CHANGE = 0.02  # smaller changes of a limit share are not sent
MIN_SHARE = 1e-9  # the limit share of a worker that may use none of the limit
MIN_PROCESS_MEMORY_BYTES = 24 << 20
MIN_PROCESS_SOCKETS = 64
MAX_WORKERS = 64


class InsufficientResourcesError(Exception):
    """The router's limits don't suffice for this many workers; the text is one plain line."""


def check_resources(workers: int, memory_bytes: int, sockets: int) -> None:
    """Check that the router's limits suffice for this many workers and their supervisor.

    Raises InsufficientResourcesError.
    """
    processes = workers + 1
    if not 1 <= workers <= MAX_WORKERS:
        raise InsufficientResourcesError(f"--cores: expected 1 to {MAX_WORKERS}, got {workers}")
    if memory_bytes // processes < MIN_PROCESS_MEMORY_BYTES:
        needed_mb = processes * MIN_PROCESS_MEMORY_BYTES >> 20
        raise InsufficientResourcesError(
            f"{workers} workers need {needed_mb} MB of memory; limits.memory_mb is {memory_bytes >> 20}"
        )
    if sockets // processes < MIN_PROCESS_SOCKETS:
        needed_descriptors = processes * MIN_PROCESS_SOCKETS
        raise InsufficientResourcesError(
            f"{workers} workers need {needed_descriptors} descriptors; limits.sockets is {sockets}"
        )


class WorkerState(Enum):
    """The life-cycle state of a worker process."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    """The process hands its connections back, and then ends."""
    ENDED = "ended"


@dataclass(eq=False)
class WorkerProcess:
    """The supervisor's record of a worker process."""

    index: int
    """The worker's index; a process that replaces this one has the same."""
    started_s: float
    state: WorkerState = WorkerState.STARTING
    connected: int = 0
    """The number of its clients by its last report."""
    assigned: int = 0
    """The number of connections sent to the process so far."""
    accepted: int = 0
    """How many of the assigned connections it has accepted."""
    reported: int = 0
    """How many it had accepted at its last report; these are counted in `connected`."""
    shares: dict[str, float] = field(default_factory=dict)
    """The limit shares last sent to the process, by tenant."""
    shares_number: int = 0
    """The number of the message with these shares."""
    peak_shares: dict[str, float] = field(default_factory=dict)
    """The largest limit shares sent since the ones that the process is known to apply, by tenant."""
    demands: dict[str, float] = field(default_factory=dict)
    """Origin calls per second, admitted or not, by tenant, of its last report."""
    unanswered_since: float | None = None
    """Since when the process has accepted none of the connections sent; None if it has accepted all."""

    @property
    def load(self) -> int:
        """The estimated number of its clients, including those sent and not accepted yet."""
        return self.connected + self.assigned - self.reported

    def peak_share(self, tenant: str) -> float:
        """The largest share of a tenant's limit that the process may be applying now."""
        return self.peak_shares.get(tenant, 0.0)

    def share(self, tenant: str) -> float:
        """The last share of a tenant's limit that was sent to the process."""
        return self.shares.get(tenant, 0.0)

    def set_share(self, tenant: str, share: float) -> None:
        """Record a limit share that is sent to the process."""
        self.shares[tenant] = share
        self.peak_shares[tenant] = max(self.peak_share(tenant), share)

    def unresponsive_s(self, now: float) -> float:
        """How long the process has accepted no connection; 0 up to UNRESPONSIVE_AFTER_S."""
        unanswered = now - self.unanswered_since if self.unanswered_since is not None else 0.0
        return unanswered if unanswered > UNRESPONSIVE_AFTER_S else 0.0


Shares = dict[WorkerProcess, dict[str, float]]
"""Limit shares by worker process and tenant, 0 to 1."""


class WorkerPool:
    """The worker processes of one router."""

    def __init__(self, workers: int, tenants: tuple[str, ...]) -> None:
        """`tenants`: the tenants' names; requests without a tenant belong to one more, with an empty name."""
        self.workers = workers
        self._tenants = (*tenants, "")
        self.processes: list[WorkerProcess] = []
        self._failed_starts = [0] * workers  # in a row, by index
        self.ending = False
        """Whether the router is shutting down, so that no worker is started any more."""
        # The indices of the workers replaced so far; None: no replacement is in progress.
        self._replaced: set[int] | None = None
        self._replacement_began = 0.0

    # Starts and ends

    def process_started(self, index: int, now: float) -> WorkerProcess:
        """Add the record of a process that was started."""
        assert 0 <= index < self.workers
        process = WorkerProcess(index, now)
        self.processes.append(process)
        return process

    def process_serving(self, process: WorkerProcess) -> WorkerProcess | None:
        """Note that a process can serve; returns the process that it replaces, which is to hand over."""
        if process.state is not WorkerState.STARTING:
            return None
        process.state = WorkerState.SERVING
        # A process that was starting when the replacement began may run the old version: it is replaced too.
        if self._replaced is not None and process.started_s >= self._replacement_began:
            self._replaced.add(process.index)
        old_process = self._serving_at(process.index, exclude=process)
        if old_process is not None:
            old_process.state = WorkerState.DRAINING
        return old_process

    def _serving(self) -> list[WorkerProcess]:
        return [process for process in self.processes if process.state is WorkerState.SERVING]

    def _serving_at(self, index: int, exclude: WorkerProcess | None = None) -> WorkerProcess | None:
        matches = (
            process for process in self._serving() if process.index == index and process is not exclude
        )
        return next(matches, None)

    def process_ended(self, process: WorkerProcess, now: float) -> float | None:
        """Remove a process that has ended; returns the seconds until its restart, None for no restart."""
        last_state = process.state
        process.state = WorkerState.ENDED
        self.processes.remove(process)
        if last_state is WorkerState.DRAINING or self.ending:
            return None
        failed = last_state is WorkerState.STARTING or now - process.started_s < STABLE_AFTER_S
        failures = self._failed_starts[process.index] + 1 if failed else 0
        self._failed_starts[process.index] = failures
        if self._serving_at(process.index) is not None:
            return None  # a new version that does not start: the old process keeps serving
        if not failures:
            return 0.0
        return float(min(INITIAL_BACKOFF_S * 2 ** (failures - 1), MAX_BACKOFF_S))

    def overdue_starts(self, now: float) -> list[WorkerProcess]:
        """The processes that could not serve within START_TIMEOUT_S, to be killed."""
        starting = (process for process in self.processes if process.state is WorkerState.STARTING)
        return [process for process in starting if now - process.started_s > START_TIMEOUT_S]

    # Replacement of all workers

    def begin_replacement(self, now: float) -> bool:
        """Begin to replace every process; False if a replacement is in progress or the router is ending."""
        if self._replaced is not None or self.ending:
            return False
        self._replaced = set()
        self._replacement_began = now
        return True

    def next_to_replace(self) -> int | None:
        """The index to start the next new process for; None while one is starting or draining."""
        if self._replaced is None:
            return None
        if any(process.state in (WorkerState.STARTING, WorkerState.DRAINING) for process in self.processes):
            return None
        return next((index for index in range(self.workers) if index not in self._replaced), None)

    def abort_replacement(self, index: int) -> bool:
        """Handle the unexpected end of a process; returns whether this aborts the replacement.

        The replacement is aborted if the worker at this index was still to be replaced.
        """
        aborts = self._replaced is not None and index not in self._replaced
        if aborts:
            self._replaced = None
        return aborts

    def finish_replacement(self) -> bool:
        """Whether every worker is replaced; returns True once for each replacement."""
        finished = self._replaced is not None and len(self._replaced) == self.workers
        if finished:
            self._replaced = None
        return finished

    @property
    def serving_count(self) -> int:
        """The number of processes that can serve."""
        return len(self._serving())

    @property
    def can_serve(self) -> bool:
        """Whether any process can serve."""
        return self.serving_count > 0

    # Clients

    def assign_client(self, now: float) -> WorkerProcess | None:
        """Choose the process with the fewest clients for the next connection; None if none can serve.

        A process without CPU time accepts no connections, and those sent to it can't be withdrawn, as it may
        read from them at any time. Unresponsive processes are therefore chosen last, the longest unresponsive
        last of all. Connections accepted since a process's last report count as load too, because the process
        would otherwise get all clients until its next report.
        """
        serving = self._serving()
        if not serving:
            return None
        chosen = min(
            serving, key=lambda process: (process.unresponsive_s(now), process.load, process.assigned)
        )
        if chosen.unanswered_since is None:
            chosen.unanswered_since = now
        chosen.assigned += 1
        return chosen

    def clients_accepted(self, process: WorkerProcess, accepted: int, now: float) -> None:
        """Note how many of the connections sent to a process it has accepted since its start."""
        process.accepted = accepted
        process.unanswered_since = None if accepted == process.assigned else now

    def apply_report(
        self, process: WorkerProcess, connected: int, shares_number: int, demands: dict[str, float]
    ) -> None:
        """Apply a process's report; `shares_number`: the number of the limit shares that it applies."""
        process.connected = connected
        process.demands = demands
        process.reported = process.accepted
        if shares_number == process.shares_number:
            process.peak_shares = dict(process.shares)

    # Limit shares

    def target_shares(self) -> Shares:
        """The limit shares by demand, with an even part for each process that can serve."""
        serving = self._serving()
        targets: Shares = {process: {} for process in serving}
        for tenant in self._tenants:
            total = sum(process.demands.get(tenant, 0.0) for process in serving)
            for process in serving:
                by_demand = process.demands.get(tenant, 0.0) / total if total > 0 else 1 / len(serving)
                targets[process][tenant] = (
                    EVEN_SHARE_FRACTION / len(serving) + (1 - EVEN_SHARE_FRACTION) * by_demand
                )
        return targets

    def rebalance_shares(self) -> Shares:
        """The changed limit shares to send now, such that the shares in use never sum to more than 1.

        A reduced share counts in full until its process reports that it applies the reduction; only then is
        the difference given to other processes. A process that is killed keeps its shares until it has ended.
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
        for process in self.processes:
            target = targets[process][tenant] if process in targets else 0.0
            if (
                process.state is not WorkerState.STARTING
                and process.share(tenant) - target > MIN_SHARE_CHANGE
            ):
                process.set_share(tenant, max(target, MIN_SHARE))
                changes.setdefault(process, {})[tenant] = process.share(tenant)

    def _raise_shares(self, tenant: str, targets: Shares, changes: Shares) -> None:
        unassigned = 1.0 - sum(process.peak_share(tenant) for process in self.processes)
        for process in sorted(targets, key=lambda process: process.share(tenant)):
            raised_by = min(targets[process][tenant] - process.share(tenant), unassigned)
            if raised_by > MIN_SHARE_CHANGE:
                process.set_share(tenant, process.share(tenant) + raised_by)
                changes.setdefault(process, {})[tenant] = process.share(tenant)
                unassigned -= raised_by
