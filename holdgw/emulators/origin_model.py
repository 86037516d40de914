"""What the package store decides: one slow service that all share, reads and writes, repeats
dropped; pure.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from typing import Any, NamedTuple

from holdgw.emulators.processor_sharing import ProcessorSharingQueue, QueueSpec

MAX_REMEMBERED_KEYS = 100_000  # keyed writes, the oldest go first


@dataclass(frozen=True, slots=True)
class OriginSpec:
    """The package store."""

    slots: int = 12
    """Requests in work at a time, each at full speed."""
    queue: int = 120
    read_s: float = 0.05
    write_s: float = 0.08
    cv: float = 0.5
    connections: int = 1000


class OriginResult(Enum):
    """How a request ended at the store."""

    SERVED = "served"
    REPEAT = "repeat"
    """A keyed write whose first copy is remembered: dropped, and answered with its receipt."""
    FAILED = "failed"
    BUSY = "busy"
    """Turned away, and told so: it never ran."""


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
    """A finished job; `effect`: it changed something now."""

    at: float
    job: OriginJob
    result: OriginResult
    effect: bool = False


class OriginModel:
    """The package store's process."""

    def __init__(self, spec: OriginSpec, now: float) -> None:
        self.spec = spec
        self._work: ProcessorSharingQueue[OriginJob] = ProcessorSharingQueue(
            QueueSpec(cores=spec.slots, slots=spec.slots, queue=spec.queue), now
        )
        self._dedup_until: OrderedDict[bytes, float] = OrderedDict()  # idempotency key -> until

    def advance(self, now: float) -> list[FinishedOriginJob]:
        """Bring it up to `now`; returns the finished jobs, in order."""
        return [self._end(at, job) for at, _, job in self._work.advance(now)]

    def next_due(self) -> float | None:
        """When `advance` will have something to tell, as things stand."""
        return self._work.next_due()

    def _end(self, at: float, job: OriginJob) -> FinishedOriginJob:
        if job.probe:
            return FinishedOriginJob(at, job, OriginResult.SERVED)
        if job.fails:
            return FinishedOriginJob(at, job, OriginResult.FAILED, effect=job.write)
        return FinishedOriginJob(at, job, OriginResult.SERVED, effect=job.write)

    def arrive(self, now: float, job: OriginJob) -> list[FinishedOriginJob]:
        """Accept a job; returns the jobs finished by now, including this one if it needs no work."""
        done = self.advance(now)
        keyed = job.write and bool(job.idempotency)
        # A repeat is known by its key from when the first copy came, whether that one is done or not.
        if keyed and self._dedup_until.get(job.idempotency, now) > now:
            return [*done, FinishedOriginJob(now, job, OriginResult.REPEAT)]
        if not self._work.submit(job, job.work):
            return [*done, FinishedOriginJob(now, job, OriginResult.BUSY)]
        if keyed:
            self._dedup_until[job.idempotency] = now + job.dedup_window
            self._dedup_until.move_to_end(job.idempotency)
            if len(self._dedup_until) > MAX_REMEMBERED_KEYS:
                self._dedup_until.popitem(last=False)
        return done

    def slow(self, now: float, factor: float) -> list[FinishedOriginJob]:
        """From now on everything takes `factor` times as long; returns what had ended."""
        if factor <= 0:
            raise ValueError("factor must be above 0")
        done = self.advance(now)
        self._work.speed = 1.0 / factor
        return done

    def pause(self, now: float, seconds: float) -> list[FinishedOriginJob]:
        """Stand still; returns what had ended."""
        done = self.advance(now)
        self._work.pause(now + seconds)
        return done

    @property
    def held(self) -> int:
        """Orders in work and waiting."""
        return self._work.held

    def crash(self) -> list[OriginJob]:
        """The process is gone with all it held; what it remembers is on its disk. Returns what it held."""
        return self._work.drop_all()
