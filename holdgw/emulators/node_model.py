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

MISSES_KEPT = 8192  # requests that missed lately and whose object may yet come
FETCH_LEASE_S = 1.0  # for so long a fetch that a miss began is taken to be out
SMOOTHING = 0.2  # of the recent service time
REPORTS_KEPT = 8
IDLE_MS, FULL_MS = 1.0, 400.0  # what a node that lies says an answer takes, or how much longer than it does
LEARNING_SHARE = 0.1  # of the usual work, before the day begins


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


class Kind(Enum):
    """What a job is."""

    READ = "read"
    WRITE = "write"
    PROBE = "probe"
    HANDSHAKE = "handshake"


class Result(Enum):
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

    kind: Kind
    id: bytes = b""
    key: bytes = b""
    work: float = 0.0
    """Of a hit, core-seconds."""
    size: int = 1
    """Bytes of the object."""
    owner: Any = None


class Done(NamedTuple):
    """The end of a job. `missing` tells why a read missed."""

    at: float
    job: Job
    result: Result
    missing: MissReason | None = None


class Report(NamedTuple):
    """A load report."""

    at: float
    latency_ms: float
    queue: int


class Fell(NamedTuple):
    """A cold node was pushed over: at that time it had been sent `sent` of the `most` it can bear."""

    at: float
    sent: float
    most: float


class NodeModel:
    """One process of a mirror node, from its start."""

    def __init__(self, spec: NodeSpec, now: float, cold: bool = False) -> None:
        self.spec = spec
        self.work: ProcessorSharingQueue[Job] = ProcessorSharingQueue(spec.work, now, cold)
        self.keeping = LruCache(spec.memory, spec.lasts_s)
        self.fell: Fell | None = None
        self.draining = False
        self.learning = False
        """Before the day begins: what it is asked for counts as kept since long ago."""
        self._inbox: list[Job] = []  # what came in a pause
        self._sent: deque[tuple[float, float]] = deque()
        self._sent_sum = 0.0
        self._missed: OrderedDict[bytes, bytes] = OrderedDict()  # request id -> key
        self._fetching: OrderedDict[bytes, float] = OrderedDict()  # key -> until
        self._recent = 0.0
        self._next_report = now
        self._reports: deque[Report] = deque([Report(now, 0.0, 0)], maxlen=REPORTS_KEPT)
        self._connections = 0
        self._lie: Report | None = None

    # Time

    def advance(self, now: float) -> list[Done]:
        """Bring the node up to `now`; returns what ended, in order."""
        if self.fell is not None:
            return []
        done: list[Done] = []
        if self._inbox and now >= self.work.paused_until:
            resumed = self.work.paused_until
            done += self._finish(resumed)
            inbox, self._inbox = self._inbox, []
            for job in inbox:
                done += self._take(resumed, job)
        done += self._finish(now)
        if now >= self._next_report:
            self._reports.append(Report(now, self._recent * 1000, self.work.waiting))
            periods = int((now - self._next_report) / self.spec.report_s) + 1
            self._next_report += periods * self.spec.report_s
        return done

    def next_due(self) -> float | None:
        """When `advance` will have something to tell, as things stand."""
        if self.fell is not None:
            return None
        return self.work.paused_until if self._inbox else self.work.next_due()

    def _finish(self, now: float) -> Iterator[Done]:
        for at, began, job in self.work.advance(now):
            self._recent += SMOOTHING * (at - began - self._recent)
            yield self._end(at, job)

    def _end(self, at: float, job: Job) -> Done:
        if job.kind in (Kind.PROBE, Kind.HANDSHAKE):
            return Done(at, job, Result.DONE)
        if job.kind is Kind.READ and self.keeping.look(job.key, at) is not None:
            return Done(at, job, Result.HIT)
        if job.kind is Kind.READ and self.learning:
            self.keeping.put(job.key, job.size, at)
            return Done(at, job, Result.HIT)
        if job.kind is Kind.WRITE:
            return Done(at, job, Result.MISS)  # writes are the package store's
        missing = self.keeping.why(job.key)
        self._missed[job.id] = job.key
        if len(self._missed) > MISSES_KEPT:
            self._missed.popitem(last=False)
        if self._fetching.get(job.key, at) > at:
            return Done(at, job, Result.PENDING, missing)
        self._fetching[job.key] = at + FETCH_LEASE_S
        self._fetching.move_to_end(job.key)
        if len(self._fetching) > MISSES_KEPT:
            self._fetching.popitem(last=False)
        return Done(at, job, Result.MISS, missing)

    # What comes

    def arrive(self, now: float, job: Job) -> list[Done]:
        """Take a job; returns what has ended by now, this job among it if it was turned away at once."""
        done = self.advance(now)
        if self.fell is not None:
            return done
        if self.work.paused(now):
            # A stopped process neither rejects a job nor answers a health check; once it goes on it takes
            # what the kernel holds for it.
            self._inbox.append(job)
            return done
        return done + self._take(now, job)

    def _take(self, now: float, job: Job) -> list[Done]:
        work = self._cost(job, now)
        if self.work.is_cold(now) and self._pushed_over(now, work):
            return []
        if self.draining and job.kind in (Kind.READ, Kind.WRITE):
            return [Done(now, job, Result.BUSY)]
        taken = self.work.submit(job, work, force=job.kind is Kind.HANDSHAKE)
        return [] if taken else [Done(now, job, Result.BUSY)]

    def _cost(self, job: Job, now: float) -> float:
        if job.kind is Kind.PROBE:
            return self.spec.probe_s
        if job.kind is Kind.HANDSHAKE:
            return self.spec.handshake_s
        if self.learning:
            return job.work * LEARNING_SHARE
        kept = job.kind is Kind.READ and job.key in self.keeping
        return job.work if kept else job.work * self.spec.miss_share

    def _pushed_over(self, now: float, work: float) -> bool:
        """Whether the last `fall_s` brought more than the multiple of what it can do now; then it falls."""
        self._sent.append((now, work))
        self._sent_sum += work
        while self._sent[0][0] <= now - self.spec.fall_s:
            self._sent_sum -= self._sent.popleft()[1]
        most = self.spec.fall_multiple * self.work.capacity(now) * self.spec.fall_s
        if self._sent_sum <= most:
            return False
        self.fell = Fell(now, self._sent_sum, most)
        return True

    # What happens to it

    def pause(self, now: float, seconds: float) -> list[Done]:
        """Stand still with the process running; returns what had ended by now."""
        done = self.advance(now)
        self.work.pause(now + seconds)
        return done

    def stored(self, now: float, request: bytes, key: bytes, size: int) -> bool:
        """The package store answered a request: kept here if that request missed here."""
        if self._missed.get(request) != key or self.fell is not None:
            return False
        self._fetching.pop(key, None)
        self.keeping.put(key, size, now)
        return True

    def connections_now(self, count: int) -> bool:
        """How many connections are open; False: that is more than it takes."""
        self._connections = count
        cap = max(self.spec.connections, 1)
        self.work.tax = self.spec.full_tax * min(count / cap, 1.0)
        return count <= self.spec.connections

    def lie(self, says: str, now: float) -> None:
        """Report from now on that it is "idle", "full", or as it is now ("still"); "": what is true."""
        self._lie = None
        if says == "idle":
            self._lie = Report(now, IDLE_MS, 0)
        elif says == "full":
            self._lie = Report(now, self._recent * 1000 + FULL_MS, self.spec.work.queue)
        elif says == "still":
            self._lie = self.report(now)
        elif says:
            raise ValueError(f"no such report: {says}")

    def report(self, now: float) -> Report:
        """The load report as it shows at `now`: the newest that is old enough, or what it lies."""
        if self._lie is not None:
            return self._lie
        for report in reversed(self._reports):
            if report.at + self.spec.report_late_s <= now:
                return report
        return self._reports[0]
