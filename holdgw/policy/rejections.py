"""Why a request ends without an answer from an endpoint, and with which final answer."""

from __future__ import annotations

import random
from enum import Enum

from holdgw.policy.actions import Fail, Reject
from holdgw.policy.settings import Settings

MIN_JITTER = 0.5  # a Retry-After lies between this fraction of the longest one and the whole of it


class RejectionReason(Enum):
    """Why the policy gave a request up, by a rejection or a failure (`RetryPolicy.may_reject`).

    The values are the words of the interval counters "given up: ...".
    """

    DEADLINE = "time"
    """Its deadline came while it waited for another's fetch, in the queue of writes, or for a retry."""
    NO_ATTEMPT_LEFT = "attempts or time"
    """It has had all its attempts, or its deadline has passed, as it was to be sent to a cache server."""
    ENDPOINT_TOO_SLOW = "too late there"
    """By the endpoint's load report the answer would come after the deadline."""
    ENDPOINT_OVERLOADED = "server"
    """Load was shed at its endpoint: the draw against the admission probability was lost."""
    WARMING_UP = "cold server"
    """Only endpoints that warm up could have taken it, and they have no capacity left."""
    NO_ORIGIN = "no origin or attempt"
    """It was to be sent to the origin; none is listed, no attempt is left, or a repeat would do harm."""
    ORIGIN_LIMIT = "origin limit"
    """Its tenant's origin limiter denied the fetch."""
    FETCH_FAILED = "fetch failed"
    """The origin failed; a read is not retried there, and a write had no time left or had timed out."""


class Rejections:
    """The final answers to requests that are given up, and their number by reason.

    Asked once for each of them; the answer is `Reject`, with its Retry-After, where a client may retry, else
    `Fail`.
    """

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.counts: dict[RejectionReason, int] = {}
        self._retry_after_allowed = settings.retry_after_allowed
        self._max_retry_after_ns = settings.max_retry_after_ns
        self._rng = rng

    def final_answer(self, request_id: str, reason: RejectionReason, may_reject: bool) -> Reject | Fail:
        """Count a request that is given up, and return its answer.

        `may_reject`: a retry by its client does no harm.
        """
        self.counts[reason] = self.counts.get(reason, 0) + 1
        if not may_reject:
            return Fail(request_id)
        return Reject(request_id, self._retry_after_ns())

    def _retry_after_ns(self) -> int:
        """A Retry-After with jitter, so that clients don't all come back at once; 0: not allowed."""
        retry_after_ns = int(self._rng.uniform(MIN_JITTER, 1.0) * self._max_retry_after_ns)
        return retry_after_ns if self._retry_after_allowed else 0
