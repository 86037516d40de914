"""The final answers to requests that end without an answer from an endpoint, and their reasons."""

from __future__ import annotations

import random
from enum import Enum

from holdgw.policy.actions import Fail, Reject
from holdgw.policy.settings import Settings

MIN_JITTER = 0.5  # a Retry-After lies between this fraction of the longest one and all of it


class RejectionReason(Enum):
    """Why the policy rejected or failed a request (`RetryPolicy.may_reject` decides which).

    The values are the names of the interval counters "given up: ...".
    """

    DEADLINE = "time"
    """Its deadline passed while it waited for the fetch of another request, to be written, or for a retry."""
    NO_ATTEMPT_LEFT = "attempts or time"
    """It had used up its attempts or its time when it was to be sent to a cache server."""
    ENDPOINT_TOO_SLOW = "too late there"
    """By the endpoint's load report, the answer would come after the deadline."""
    ENDPOINT_OVERLOADED = "server"
    """Load was shed at its endpoint, by a draw with the admission probability."""
    WARMING_UP = "cold server"
    """Only endpoints that are warming up could have taken it, and they have no capacity left."""
    NO_ORIGIN = "no origin or attempt"
    """It was to be sent to the origin, but none is listed, no attempt is left, or a repeat is not safe."""
    ORIGIN_LIMIT = "origin limit"
    """Its tenant's origin limiter denied its fetch."""
    FETCH_FAILED = "fetch failed"
    """The origin failed; a read is not retried there, and a write had no time left or timed out."""


class Rejections:
    """Makes the final answers to requests that the policy rejects or fails, and counts them by reason.

    The answer is a `Reject`, with its Retry-After, where the client may retry, and a `Fail` elsewhere.
    """

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.counts: dict[RejectionReason, int] = {}
        self._retry_after_allowed = settings.retry_after_allowed
        self._max_retry_after_ns = settings.max_retry_after_ns
        self._rng = rng

    def final_answer(self, request_id: str, reason: RejectionReason, may_reject: bool) -> Reject | Fail:
        """Count a request by the reason for its end, and return its final answer.

        `may_reject`: whether its client may safely retry.
        """
        self.counts[reason] = self.counts.get(reason, 0) + 1
        if not may_reject:
            return Fail(request_id)
        return Reject(request_id, self._retry_after_ns())

    def _retry_after_ns(self) -> int:
        """Return a Retry-After (ns) with jitter, so that clients don't all retry at once; 0: not allowed."""
        retry_after_ns = int(self._rng.uniform(MIN_JITTER, 1.0) * self._max_retry_after_ns)
        return retry_after_ns if self._retry_after_allowed else 0
