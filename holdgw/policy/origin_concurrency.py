"""The origin's health as this router sees it, the write concurrency limit, and the queue of writes."""

from __future__ import annotations

import math
import random
from enum import Enum

from holdgw.policy.events import Outcome
from holdgw.policy.origin_limiter import CUT_FACTOR
from holdgw.policy.pending_request import PendingRequest

FAILURE_SMOOTHING = 8  # attempts (fetches and writes) over which the failure fraction is smoothed
OVERLOAD_FAILURE_FRACTION = 0.2  # reached by two consecutive failed attempts, or by one in five
MAX_CONNECTION_FAILURES = 6  # consecutive and without an answer; from this number on, they count as overload
LATENCY_SMOOTHING = 16  # good answers over which the latency is smoothed
INITIAL_LATENCY_DIVISOR = 2  # the initial latency is the shortest latency objective divided by this


class OriginVerdict(Enum):
    """What the end of an attempt at the origin shows about its load."""

    NEUTRAL = "neutral"
    """No sign of load, or too few failures yet."""
    HEALTHY = "healthy"
    """The origin is healthy: limits may rise."""
    OVERLOADED = "overloaded"
    """The origin is overloaded: limits have to be cut."""


class OriginConcurrency:
    """Adapts the write concurrency limit to the origin's health, and queues the writes over it.

    The policy asks before each write whether it may be sent (`admits_write`), and queues it if not. `dequeue`
    returns the newest queued write, whose client has the most time left. `record_attempt` takes the end of
    each attempt at the origin, adapts the write concurrency limit, and returns whether the tenants' limits
    rise or are cut.
    """

    def __init__(self, latency_objective_ns: int) -> None:
        self.latency_ns = latency_objective_ns / INITIAL_LATENCY_DIVISOR  # smoothed, of good answers
        self.failure_fraction = 0.0
        self.write_limit = math.inf  # number of attempts in flight at which further writes are queued
        self._connection_failures = 0  # consecutive ones
        self._cut_at_ns = 0
        self._queue: list[PendingRequest] = []

    def __len__(self) -> int:
        """Return the number of queued writes, including some that have ended meanwhile."""
        return len(self._queue)

    def admits_write(self, in_flight: int) -> bool:
        """Whether one more write may be sent; further ones would only be queued at the origin."""
        return in_flight < self.write_limit

    def enqueue(self, write: PendingRequest) -> None:
        """Queue a write until an attempt at the origin ends."""
        self._queue.append(write)

    def dequeue(self) -> PendingRequest | None:
        """Remove and return the newest queued write that is still waiting; None: there is none."""
        while self._queue:
            write = self._queue.pop()
            if write.is_waiting:
                return write
        return None

    def retry_delay_ns(self, rng: random.Random) -> int:
        """Return the delay before a failed write is retried: 0.5 to 1.5 times the origin's latency."""
        return int(self.latency_ns * rng.uniform(0.5, 1.5))

    def record_attempt(
        self, outcome: Outcome, latency_ns: int, late: bool, lost: bool, in_flight: int, now: int
    ) -> OriginVerdict:
        """Record the end of an attempt at the origin, and return what it shows about the origin's load.

        Args:
            outcome: how the attempt ended.
            latency_ns: the attempt's latency.
            late: whether the attempt took longer than the latency objective of its request.
            lost: whether its answer was lost in transit.
            in_flight: other attempts in flight at the origin.
            now: clock time, nanoseconds.

        A broken connection or a lost answer is no sign of load: cutting limits for it would starve every
        tenant while the origin is idle, and what is not fetched is missed again. An origin that resets
        connections because it is overloaded causes many consecutive failures, which do count.
        """
        failed = outcome.is_connection_failure
        self._connection_failures = self._connection_failures + 1 if failed else 0
        if (failed or lost) and self._connection_failures < MAX_CONNECTION_FAILURES:
            return OriginVerdict.NEUTRAL
        if outcome is Outcome.OK and not late:
            self.failure_fraction -= self.failure_fraction / FAILURE_SMOOTHING
            self.latency_ns += (latency_ns - self.latency_ns) / LATENCY_SMOOTHING
            self.write_limit += 1 / self.write_limit
            return OriginVerdict.HEALTHY
        if late or outcome not in (Outcome.NOT_SENT, Outcome.CANCELLED, Outcome.TIMEOUT):
            # A timeout that is not late had too little time left, which is no sign of the origin's load.
            return self._record_failure(in_flight, now)
        return OriginVerdict.NEUTRAL

    def _record_failure(self, in_flight: int, now: int) -> OriginVerdict:
        """Record a failed attempt; cut the limit if failures are frequent, at most once per round trip.

        A single failure may be chance (the latency has a heavy tail), and all failures within one round trip
        are one sign of overload.
        """
        self.failure_fraction += (1 - self.failure_fraction) / FAILURE_SMOOTHING
        if self.failure_fraction < OVERLOAD_FAILURE_FRACTION or now - self._cut_at_ns < self.latency_ns:
            return OriginVerdict.NEUTRAL
        self._cut_at_ns = now
        self.write_limit = max(1.0, min(self.write_limit, in_flight + 1) * CUT_FACTOR)
        return OriginVerdict.OVERLOADED

    def restore(self, latency_ns: float, write_limit: float) -> None:
        """Continue from the state of another process; 0: unknown."""
        self.latency_ns = latency_ns or self.latency_ns
        self.write_limit = write_limit or self.write_limit
