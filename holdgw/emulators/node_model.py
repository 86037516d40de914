"""The model of a cache server: scheduling, warm-up, crashes under load, copies and load reports; pure.

The rules are those of PROTOCOL and of the brief: a server stores an object only if the origin answered a
request that missed here; a server that is warming up crashes, and stays down, if it is sent more than a
multiple of its capacity; a paused server is unresponsive and then continues with all its jobs.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple

from holdgw.emulators.lru_cache import LruCache, MissReason
from holdgw.emulators.processor_sharing import ProcessorSharingQueue, QueueSpec

MAX_REMEMBERED_MISSES = 8192  # recent requests that missed and whose object may still arrive
FETCH_LEASE_S = 1.0  # time for which the fetch that a miss starts counts as in flight
SMOOTHING = 0.2  # weight of a new sample in the smoothed service time
MAX_REPORTS = 8
# Service time in a false report: of an idle server, and added to the true one of a full server.
FALSE_IDLE_MS, FALSE_FULL_EXTRA_MS = 1.0, 400.0
PREFILL_WORK_SHARE = 0.1  # of the usual work, before the run begins


@dataclass(frozen=True, slots=True)
class NodeSpec:
    """Parameters of a cache server."""

    work: QueueSpec = field(default_factory=QueueSpec)
    memory: int = 16 << 20
    """Capacity of the cache in bytes."""
    lasts_s: float = 0.0
    """Lifetime of a copy, 0 for unlimited."""
    fall_multiple: float = 4.0
    """While warming up, the server crashes if it is sent this multiple of its capacity within `fall_s`."""
    fall_s: float = 2.0
    report_s: float = 0.25
    """Interval at which the load report is updated."""
    report_late_s: float = 0.05
    """Delay after which an updated load report appears in answers."""
    handshake_s: float = 0.0015
    """Work of a new connection, core-seconds."""
    connections: int = 120
    """Maximum number of open connections."""
    full_tax: float = 0.1
    """Share of the capacity that is lost when the maximum number of connections is open."""
    idle_s: float = 10.0
    """Idle time after which a connection is closed."""
    probe_s: float = 0.0016
    """Work of a health check or of a request for the load report, core-seconds."""
    miss_share: float = 0.3
    """Work of a miss, as a share of the work of a hit."""


class JobKind(Enum):
    """Kind of a job."""

    READ = "read"
    WRITE = "write"
    PROBE = "probe"
    HANDSHAKE = "handshake"


class JobResult(Enum):
    """How a job ended."""

    HIT = "hit"
    MISS = "miss"
    PENDING = "pending"
    """A miss while a fetch of the key is in flight."""
    BUSY = "busy"
    """Rejected without being executed."""
    DONE = "done"
    """A finished probe or handshake."""


@dataclass(slots=True, eq=False)
class Job:
    """A unit of work for the server; `owner` is opaque and belongs to the caller."""

    kind: JobKind
    id: bytes = b""
    key: bytes = b""
    work: float = 0.0
    """Core-seconds of a hit."""
    size: int = 1
    """Size of the object in bytes."""
    owner: Any = None


class FinishedJob(NamedTuple):
    """A finished job; `missing` is the reason why a read missed."""

    at: float
    job: Job
    result: JobResult
    missing: MissReason | None = None


class LoadReport(NamedTuple):
    """A load report: smoothed service time and number of queued jobs at a time."""

    at: float
    latency_ms: float
    queue: int


class Crash(NamedTuple):
    """A crash under load during warm-up: the work sent within `fall_s`, and the limit, in core-seconds."""

    at: float
    sent: float
    limit: float


class NodeModel:
    """One process of a cache server, from its start."""

    def __init__(self, spec: NodeSpec, now: float, cold: bool = False) -> None:
        self.spec = spec
        self.work: ProcessorSharingQueue[Job] = ProcessorSharingQueue(spec.work, now, cold)
        self.cache = LruCache(spec.memory, spec.lasts_s)
        self.crash: Crash | None = None
        self.draining = False
        self.prefilling = False
        """Set before the run begins: requested keys are stored at once and count as hits."""
        self._inbox: list[Job] = []  # jobs that arrived during a pause
        self._sent: deque[tuple[float, float]] = deque()
        self._sent_sum = 0.0
        self._missed: OrderedDict[bytes, bytes] = OrderedDict()  # request id -> key
        self._fetching: OrderedDict[bytes, float] = (
            OrderedDict()
        )  # key -> when its fetch stops counting as in flight
        self._smoothed_service_s = 0.0
        self._next_report = now
        self._reports: deque[LoadReport] = deque([LoadReport(now, 0.0, 0)], maxlen=MAX_REPORTS)
        self._connections = 0
        self._false_report: LoadReport | None = None

    # Time

    def advance(self, now: float) -> list[FinishedJob]:
        """Advance the server to `now`; return the finished jobs, in order."""
        if self.crash is not None:
            return []
        finished: list[FinishedJob] = []
        if self._inbox and now >= self.work.paused_until:
            resumed = self.work.paused_until
            finished += self._finish(resumed)
            inbox, self._inbox = self._inbox, []
            for job in inbox:
                finished += self._take(resumed, job)
        finished += self._finish(now)
        if now >= self._next_report:
            self._reports.append(LoadReport(now, self._smoothed_service_s * 1000, self.work.waiting))
            periods = int((now - self._next_report) / self.spec.report_s) + 1
            self._next_report += periods * self.spec.report_s
        return finished

    def next_due(self) -> float | None:
        """Return when `advance` will next have an effect, if nothing else happens; None if never."""
        if self.crash is not None:
            return None
        return self.work.paused_until if self._inbox else self.work.next_due()

    def _finish(self, now: float) -> Iterator[FinishedJob]:
        for at, began, job in self.work.advance(now):
            self._smoothed_service_s += SMOOTHING * (at - began - self._smoothed_service_s)
            yield self._finish_job(at, job)

    def _finish_job(self, at: float, job: Job) -> FinishedJob:
        if job.kind in (JobKind.PROBE, JobKind.HANDSHAKE):
            return FinishedJob(at, job, JobResult.DONE)
        if job.kind is JobKind.READ and self.cache.get(job.key, at) is not None:
            return FinishedJob(at, job, JobResult.HIT)
        if job.kind is JobKind.READ and self.prefilling:
            self.cache.put(job.key, job.size, at)
            return FinishedJob(at, job, JobResult.HIT)
        if job.kind is JobKind.WRITE:
            return FinishedJob(at, job, JobResult.MISS)  # writes belong to the origin
        missing = self.cache.miss_reason(job.key)
        self._missed[job.id] = job.key
        if len(self._missed) > MAX_REMEMBERED_MISSES:
            self._missed.popitem(last=False)
        if self._fetching.get(job.key, at) > at:
            return FinishedJob(at, job, JobResult.PENDING, missing)
        self._fetching[job.key] = at + FETCH_LEASE_S
        self._fetching.move_to_end(job.key)
        if len(self._fetching) > MAX_REMEMBERED_MISSES:
            self._fetching.popitem(last=False)
        return FinishedJob(at, job, JobResult.MISS, missing)

    # Jobs

    def arrive(self, now: float, job: Job) -> list[FinishedJob]:
        """Accept a job; return the jobs finished by now, including this one if it is rejected."""
        finished = self.advance(now)
        if self.crash is not None:
            return finished
        if self.work.paused(now):
            # A stopped process neither rejects a job nor answers a health check; when it resumes, it reads
            # what the kernel has buffered.
            self._inbox.append(job)
            return finished
        return finished + self._take(now, job)

    def _take(self, now: float, job: Job) -> list[FinishedJob]:
        work = self._cost(job, now)
        if self.work.is_cold(now) and self._overloaded_while_cold(now, work):
            return []
        if self.draining and job.kind in (JobKind.READ, JobKind.WRITE):
            return [FinishedJob(now, job, JobResult.BUSY)]
        accepted = self.work.submit(job, work, force=job.kind is JobKind.HANDSHAKE)
        return [] if accepted else [FinishedJob(now, job, JobResult.BUSY)]

    def _cost(self, job: Job, now: float) -> float:
        if job.kind is JobKind.PROBE:
            return self.spec.probe_s
        if job.kind is JobKind.HANDSHAKE:
            return self.spec.handshake_s
        if self.prefilling:
            return job.work * PREFILL_WORK_SHARE
        cached = job.kind is JobKind.READ and job.key in self.cache
        return job.work if cached else job.work * self.spec.miss_share

    def _overloaded_while_cold(self, now: float, work: float) -> bool:
        """Crash, and return True, if the work sent within `fall_s` exceeds the limit of a cold server."""
        self._sent.append((now, work))
        self._sent_sum += work
        while self._sent[0][0] <= now - self.spec.fall_s:
            self._sent_sum -= self._sent.popleft()[1]
        limit = self.spec.fall_multiple * self.work.capacity(now) * self.spec.fall_s
        if self._sent_sum <= limit:
            return False
        self.crash = Crash(now, self._sent_sum, limit)
        return True

    # Faults, and news from the origin

    def pause(self, now: float, seconds: float) -> list[FinishedJob]:
        """Stall for `seconds` with the process alive; return the jobs finished by now."""
        finished = self.advance(now)
        self.work.pause(now + seconds)
        return finished

    def stored(self, now: float, request: bytes, key: bytes, size: int) -> bool:
        """Store the object of a request that the origin answered; return False if it did not miss here."""
        if self._missed.get(request) != key or self.crash is not None:
            return False
        self._fetching.pop(key, None)
        self.cache.put(key, size, now)
        return True

    def set_connections(self, count: int) -> bool:
        """Set the number of open connections; return False if it exceeds the maximum."""
        self._connections = count
        cap = max(self.spec.connections, 1)
        self.work.overhead_share = self.spec.full_tax * min(count / cap, 1.0)
        return count <= self.spec.connections

    def set_false_report(self, says: str, now: float) -> None:
        """Report a false load from now on: "idle", "full", or the current report ("still"); "" ends this."""
        self._false_report = None
        if says == "idle":
            self._false_report = LoadReport(now, FALSE_IDLE_MS, 0)
        elif says == "full":
            self._false_report = LoadReport(
                now, self._smoothed_service_s * 1000 + FALSE_FULL_EXTRA_MS, self.spec.work.queue
            )
        elif says == "still":
            self._false_report = self.report(now)
        elif says:
            raise ValueError(f"no such report: {says}")

    def report(self, now: float) -> LoadReport:
        """Return the load report in answers at `now`: the newest one old enough, or the false one."""
        if self._false_report is not None:
            return self._false_report
        for report in reversed(self._reports):
            if report.at + self.spec.report_late_s <= now:
                return report
        return self._reports[0]
