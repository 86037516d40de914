"""What a mirror node decides: whom it serves and when, its warmth, its fall, its copies, its load report.

Pure: a model with the caller's clock. The rules it plays by are PROTOCOL's and the brief's: a node stores
only what the package store answered for a request that missed here; a cold one that is sent more than a
multiple of what it can do falls and stays down; a paused one is silent and then goes on with all it held.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple

from holdgw.emulators.lru_cache import LruCache, MissReason
from holdgw.emulators.processor_sharing import ProcessorSharingQueue, QueueSpec

MAX_REMEMBERED_MISSES = 8192  # requests that missed lately and whose object may yet come
FETCH_LEASE_S = 1.0  # for so long a fetch that a miss began is taken to be out
SMOOTHING = 0.2  # of the recent service time
MAX_REPORTS = 8
FALSE_IDLE_MS, FALSE_FULL_EXTRA_MS = (
    1.0,
    400.0,
)  # what a node that lies says an answer takes, or how much longer than it does
PREFILL_WORK_SHARE = 0.1  # of the usual work, before the day begins


@dataclass(frozen=True, slots=True)
class NodeSpec:
    """One mirror node."""

    work: QueueSpec = field(default_factory=QueueSpec)
    memory: int = 16 << 20
    """Bytes of copies."""
    lasts_s: float = 0.0
    fall_multiple: float = 4.0
    fall_s: float = 2.0
    report_s: float = 0.25
    """How often the load report is taken."""
    report_late_s: float = 0.05
    """How long after that it shows in answers."""
    handshake_s: float = 0.0015
    """Work that a new connection costs."""
    connections: int = 120
    full_tax: float = 0.1
    """Share of the capacity that a full table of connections takes."""
    idle_s: float = 10.0
    probe_s: float = 0.0016
    miss_share: float = 0.3
    """A miss costs this share of the work of a hit."""


class JobKind(Enum):
    """What a job is."""

    READ = "read"
    WRITE = "write"
    PROBE = "probe"
    HANDSHAKE = "handshake"


class JobResult(Enum):
    """How a job ended."""

    HIT = "hit"
    MISS = "miss"
    PENDING = "pending"
    """A miss while another fetch of the key is out."""
    BUSY = "busy"
    """Turned away: it never ran."""
    DONE = "done"
    """A probe or a handshake."""


@dataclass(slots=True, eq=False)
class Job:
    """One thing that the node is asked for; `owner` is the caller's."""

    kind: JobKind
    id: bytes = b""
    key: bytes = b""
    work: float = 0.0
    """Of a hit, core-seconds."""
    size: int = 1
    """Bytes of the object."""
    owner: Any = None


class FinishedJob(NamedTuple):
    """The end of a job. `missing` tells why a read missed."""

    at: float
    job: Job
    result: JobResult
    missing: MissReason | None = None


class LoadReport(NamedTuple):
    """A load report."""

    at: float
    latency_ms: float
    queue: int


class Crash(NamedTuple):
    """A cold node was pushed over: at that time it had been sent `sent` of the `limit` it can bear."""

    at: float
    sent: float
    limit: float


class NodeModel:
    """One process of a mirror node, from its start."""

    def __init__(self, spec: NodeSpec, now: float, cold: bool = False) -> None:
        self.spec = spec
        self.work: ProcessorSharingQueue[Job] = ProcessorSharingQueue(spec.work, now, cold)
        self.cache = LruCache(spec.memory, spec.lasts_s)
        self.crash: Crash | None = None
        self.draining = False
        self.prefilling = False
        """Before the day begins: what it is asked for counts as kept since long ago."""
        self._inbox: list[Job] = []  # what came in a pause
        self._sent: deque[tuple[float, float]] = deque()
        self._sent_sum = 0.0
        self._missed: OrderedDict[bytes, bytes] = OrderedDict()  # request id -> key
        self._fetching: OrderedDict[bytes, float] = OrderedDict()  # key -> until
        self._smoothed_service_s = 0.0
        self._next_report = now
        self._reports: deque[LoadReport] = deque([LoadReport(now, 0.0, 0)], maxlen=MAX_REPORTS)
        self._connections = 0
        self._false_report: LoadReport | None = None

    # Time

    def advance(self, now: float) -> list[FinishedJob]:
        """Bring the node up to `now`; returns what ended, in order."""
        if self.crash is not None:
            return []
        done: list[FinishedJob] = []
        if self._inbox and now >= self.work.paused_until:
            resumed = self.work.paused_until
            done += self._finish(resumed)
            inbox, self._inbox = self._inbox, []
            for job in inbox:
                done += self._take(resumed, job)
        done += self._finish(now)
        if now >= self._next_report:
            self._reports.append(LoadReport(now, self._smoothed_service_s * 1000, self.work.waiting))
            periods = int((now - self._next_report) / self.spec.report_s) + 1
            self._next_report += periods * self.spec.report_s
        return done

    def next_due(self) -> float | None:
        """When `advance` will have something to tell, as things stand."""
        if self.crash is not None:
            return None
        return self.work.paused_until if self._inbox else self.work.next_due()

    def _finish(self, now: float) -> Iterator[FinishedJob]:
        for at, began, job in self.work.advance(now):
            self._smoothed_service_s += SMOOTHING * (at - began - self._smoothed_service_s)
            yield self._end(at, job)

    def _end(self, at: float, job: Job) -> FinishedJob:
        if job.kind in (JobKind.PROBE, JobKind.HANDSHAKE):
            return FinishedJob(at, job, JobResult.DONE)
        if job.kind is JobKind.READ and self.cache.get(job.key, at) is not None:
            return FinishedJob(at, job, JobResult.HIT)
        if job.kind is JobKind.READ and self.prefilling:
            self.cache.put(job.key, job.size, at)
            return FinishedJob(at, job, JobResult.HIT)
        if job.kind is JobKind.WRITE:
            return FinishedJob(at, job, JobResult.MISS)  # writes are the package store's
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

    # What comes

    def arrive(self, now: float, job: Job) -> list[FinishedJob]:
        """Take a job; returns what has ended by now, this job among it if it was turned away at once."""
        done = self.advance(now)
        if self.crash is not None:
            return done
        if self.work.paused(now):
            # A stopped process neither rejects a job nor answers a health check; once it goes on it takes
            # what the kernel holds for it.
            self._inbox.append(job)
            return done
        return done + self._take(now, job)

    def _take(self, now: float, job: Job) -> list[FinishedJob]:
        work = self._cost(job, now)
        if self.work.is_cold(now) and self._overloaded_while_cold(now, work):
            return []
        if self.draining and job.kind in (JobKind.READ, JobKind.WRITE):
            return [FinishedJob(now, job, JobResult.BUSY)]
        taken = self.work.submit(job, work, force=job.kind is JobKind.HANDSHAKE)
        return [] if taken else [FinishedJob(now, job, JobResult.BUSY)]

    def _cost(self, job: Job, now: float) -> float:
        if job.kind is JobKind.PROBE:
            return self.spec.probe_s
        if job.kind is JobKind.HANDSHAKE:
            return self.spec.handshake_s
        if self.prefilling:
            return job.work * PREFILL_WORK_SHARE
        kept = job.kind is JobKind.READ and job.key in self.cache
        return job.work if kept else job.work * self.spec.miss_share

    def _overloaded_while_cold(self, now: float, work: float) -> bool:
        """Whether the last `fall_s` brought more than the multiple of what it can do now; then it falls."""
        self._sent.append((now, work))
        self._sent_sum += work
        while self._sent[0][0] <= now - self.spec.fall_s:
            self._sent_sum -= self._sent.popleft()[1]
        limit = self.spec.fall_multiple * self.work.capacity(now) * self.spec.fall_s
        if self._sent_sum <= limit:
            return False
        self.crash = Crash(now, self._sent_sum, limit)
        return True

    # What happens to it

    def pause(self, now: float, seconds: float) -> list[FinishedJob]:
        """Stand still with the process running; returns what had ended by now."""
        done = self.advance(now)
        self.work.pause(now + seconds)
        return done

    def stored(self, now: float, request: bytes, key: bytes, size: int) -> bool:
        """The package store answered a request: kept here if that request missed here."""
        if self._missed.get(request) != key or self.crash is not None:
            return False
        self._fetching.pop(key, None)
        self.cache.put(key, size, now)
        return True

    def set_connections(self, count: int) -> bool:
        """How many connections are open; False: that is more than it takes."""
        self._connections = count
        cap = max(self.spec.connections, 1)
        self.work.overhead_share = self.spec.full_tax * min(count / cap, 1.0)
        return count <= self.spec.connections

    def set_false_report(self, says: str, now: float) -> None:
        """Report from now on that it is "idle", "full", or as it is now ("still"); "": what is true."""
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
        """The load report as it shows at `now`: the newest that is old enough, or what it lies."""
        if self._false_report is not None:
            return self._false_report
        for report in reversed(self._reports):
            if report.at + self.spec.report_late_s <= now:
                return report
        return self._reports[0]
