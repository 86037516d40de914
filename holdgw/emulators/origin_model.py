"""The model of the origin: one slow service for reads and writes that drops repeated writes; pure."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from typing import Any, NamedTuple

from holdgw.emulators.processor_sharing import ProcessorSharingQueue, QueueSpec

MAX_REMEMBERED_KEYS = 100_000  # idempotency keys; the oldest are forgotten first


@dataclass(frozen=True, slots=True)
class OriginSpec:
    """Parameters of the origin."""

    slots: int = 12
    """Maximum number of requests executed at a time, each at full speed."""
    queue: int = 120
    read_s: float = 0.05
    """Mean execution time of a read."""
    write_s: float = 0.08
    """Mean execution time of a write."""
    cv: float = 0.5
    """Coefficient of variation of the execution times."""
    connections: int = 1000


class OriginResult(Enum):
    """How a request ended at the origin."""

    SERVED = "served"
    REPEAT = "repeat"
    """A write whose idempotency key is within its dedup window: dropped, and answered with a receipt."""
    FAILED = "failed"
    BUSY = "busy"
    """Rejected without being executed; the answer says so."""


@dataclass(slots=True, eq=False)
class OriginJob:
    """One request to the origin. `idempotency` is set for keyed writes only."""

    id: bytes
    key: bytes
    write: bool = False
    idempotency: bytes = b""
    dedup_window: float = 0.0
    work: float = 0.0
    fails: bool = False
    probe: bool = False
    owner: Any = None


class FinishedOriginJob(NamedTuple):
    """A finished job; `effect`: whether it changed data."""

    at: float
    job: OriginJob
    result: OriginResult
    effect: bool = False


class OriginModel:
    """The process of the origin."""

    def __init__(self, spec: OriginSpec, now: float) -> None:
        self.spec = spec
        self._work: ProcessorSharingQueue[OriginJob] = ProcessorSharingQueue(
            QueueSpec(cores=spec.slots, slots=spec.slots, queue=spec.queue), now
        )
        self._dedup_until: OrderedDict[bytes, float] = OrderedDict()  # idempotency key -> until

    def advance(self, now: float) -> list[FinishedOriginJob]:
        """Advance the origin to `now`; return the finished jobs, in order."""
        return [self._finish_job(at, job) for at, _, job in self._work.advance(now)]

    def next_due(self) -> float | None:
        """Return when `advance` will next finish a job, if nothing else happens; None if no job is queued."""
        return self._work.next_due()

    def _finish_job(self, at: float, job: OriginJob) -> FinishedOriginJob:
        if job.probe:
            return FinishedOriginJob(at, job, OriginResult.SERVED)
        if job.fails:
            return FinishedOriginJob(at, job, OriginResult.FAILED, effect=job.write)
        return FinishedOriginJob(at, job, OriginResult.SERVED, effect=job.write)

    def arrive(self, now: float, job: OriginJob) -> list[FinishedOriginJob]:
        """Accept a job; return the jobs finished by now, including this one if it is dropped or rejected."""
        finished = self.advance(now)
        keyed = job.write and bool(job.idempotency)
        # The dedup window of a key begins when its first write arrives, finished or not.
        if keyed and self._dedup_until.get(job.idempotency, now) > now:
            return [*finished, FinishedOriginJob(now, job, OriginResult.REPEAT)]
        if not self._work.submit(job, job.work):
            return [*finished, FinishedOriginJob(now, job, OriginResult.BUSY)]
        if keyed:
            self._dedup_until[job.idempotency] = now + job.dedup_window
            self._dedup_until.move_to_end(job.idempotency)
            if len(self._dedup_until) > MAX_REMEMBERED_KEYS:
                self._dedup_until.popitem(last=False)
        return finished

    def slow(self, now: float, factor: float) -> list[FinishedOriginJob]:
        """Make each job take `factor` times its usual time from now on; return the jobs finished by now."""
        if factor <= 0:
            raise ValueError("factor must be above 0")
        finished = self.advance(now)
        self._work.speed = 1.0 / factor
        return finished

    def pause(self, now: float, seconds: float) -> list[FinishedOriginJob]:
        """Stall for `seconds`; return the jobs finished by now."""
        finished = self.advance(now)
        self._work.pause(now + seconds)
        return finished

    @property
    def held(self) -> int:
        """Number of jobs being executed or queued."""
        return self._work.held

    def crash(self) -> list[OriginJob]:
        """Lose all jobs and return them; idempotency keys are on disk and stay."""
        return self._work.drop_all()
