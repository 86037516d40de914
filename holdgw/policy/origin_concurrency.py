"""The origin's health as this router sees it, the limit on writes in flight there, and the writes queued."""

from __future__ import annotations

import math
import random
from enum import Enum

from holdgw.policy.events import Outcome
from holdgw.policy.origin_limiter import CUT_FACTOR
from holdgw.policy.pending_request import PendingRequest

FAILURE_SMOOTHING = 8  # fetches over which the failure fraction is smoothed
OVERLOAD_FAILURE_FRACTION = 0.2  # of an overloaded origin: two bad fetches in a row, or one in five
MAX_CONNECTION_FAILURES = 6  # in a row, without an answer: from so many on they count as overload
LATENCY_SMOOTHING = 16  # good fetches over which the latency is smoothed
INITIAL_LATENCY_DIVISOR = 2  # the latency is taken for the shortest objective divided by this, at first


class OriginVerdict(Enum):
    """What the end of an attempt at the origin says of its load."""

    NEUTRAL = "neutral"
    """Nothing, or too little yet."""
    HEALTHY = "healthy"
    """Limits may rise."""
    OVERLOADED = "overloaded"
    """Limits have to be cut."""


class OriginConcurrency:
    """The write concurrency limit, and what it follows from.

    Asked before each write whether it may go (`admits_write`); one that may not is queued, and `dequeue`
    returns the newest one once there is room: its client has the most time left. Told of each attempt's end
    at the origin (`record_attempt`), it answers whether limits rise or are cut; it has changed its own by
    then.
    """

    def __init__(self, latency_objective_ns: int) -> None:
        self.latency_ns = latency_objective_ns / INITIAL_LATENCY_DIVISOR  # smoothed, of good fetches
        self.failure_fraction = 0.0
        self.write_limit = math.inf  # most attempts in flight there before writes are queued
        self._connection_failures = 0  # in a row
        self._cut_at_ns = 0
        self._queue: list[PendingRequest] = []

    def __len__(self) -> int:
        """How many writes are queued, among them some that have ended meanwhile."""
        return len(self._queue)

    def admits_write(self, in_flight: int) -> bool:
        """Whether one more write may go; more would only queue at the origin."""
        return in_flight < self.write_limit

    def enqueue(self, write: PendingRequest) -> None:
        """Queue a write until an attempt at the origin ends."""
        self._queue.append(write)

    def dequeue(self) -> PendingRequest | None:
        """The newest queued write that is still waiting; None: there is none."""
        while self._queue:
            write = self._queue.pop()
            if write.is_waiting:
                return write
        return None

    def retry_delay_ns(self, rng: random.Random) -> int:
        """How long a failed write waits before it is tried again: the origin's latency, give or take half."""
        return int(self.latency_ns * rng.uniform(0.5, 1.5))

    def record_attempt(
        self, outcome: Outcome, latency_ns: int, late: bool, lost: bool, in_flight: int, now: int
    ) -> OriginVerdict:
        """Judge the end of an attempt at the origin.

        Args:
            outcome: how it ended.
            latency_ns: its latency.
            late: whether it took longer than its latency objective.
            lost: whether its answer was lost in transit.
            in_flight: attempts there that are still out.
            now: clock time, nanoseconds.

        A broken connection or a lost answer is no sign of load: to cut for it would starve every tenant while
        the origin is idle, and what is not fetched is missed again. An origin that resets connections because
        it is overloaded shows by many in a row, which do count.
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
            # A timeout that is not late had too little time left, which is not the origin's fault.
            return self._record_failure(in_flight, now)
        return OriginVerdict.NEUTRAL

    def _record_failure(self, in_flight: int, now: int) -> OriginVerdict:
        """One bad fetch is chance (a heavy tail), and all bad ones of one round trip are one sign."""
        self.failure_fraction += (1 - self.failure_fraction) / FAILURE_SMOOTHING
        if self.failure_fraction < OVERLOAD_FAILURE_FRACTION or now - self._cut_at_ns < self.latency_ns:
            return OriginVerdict.NEUTRAL
        self._cut_at_ns = now
        self.write_limit = max(1.0, min(self.write_limit, in_flight + 1) * CUT_FACTOR)
        return OriginVerdict.OVERLOADED

    def restore(self, latency_ns: float, write_limit: float) -> None:
        """Continue from another process's figures; 0: unknown."""
        self.latency_ns = latency_ns or self.latency_ns
        self.write_limit = write_limit or self.write_limit
