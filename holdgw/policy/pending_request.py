"""An open request, with the state of its attempts."""

from __future__ import annotations

from holdgw.policy.actions import AttemptPurpose
from holdgw.policy.events import RequestArrived
from holdgw.policy.origin_limiter import OriginLimiter
from holdgw.policy.settings import RequestClass
from holdgw.policy.tracked_endpoint import TrackedEndpoint


class PendingRequest:
    """An open request; after its final answer it is kept until its attempt has ended."""

    def __init__(
        self,
        event: RequestArrived,
        request_class: RequestClass,
        origin_limiter: OriginLimiter,
        slot: int,
    ) -> None:
        self.id = event.request_id
        self.key = event.key
        self.deadline_ns = event.deadline_ns
        self.is_write = event.is_write
        self.request_class = request_class
        self.origin_limiter = origin_limiter
        self.slot = slot
        self.slot_popularity = 0.0  # the slot's fraction of all requests
        self.warm_up_draw = 0.0  # drawn once, to decide whether warming endpoints take it; 0: not drawn
        self.is_answered = False  # also if its client has left
        self.is_waiting = False  # for the fetch of another request, in the queue of writes, or for a retry
        self.leads_fetch = False

        self.attempts = 0
        self.endpoint: TrackedEndpoint | None = None  # of the last attempt
        self.sent_at_ns = 0  # of the last attempt
        self.attempt_timeout_ns = 0  # of the last attempt; 0: that attempt has no timeout of its own
        self.in_flight = False
        self.is_at_origin = False  # of the attempt in flight
        self.is_streaming = False  # whether the answer of the attempt in flight has begun
        self.failed_endpoints: list[TrackedEndpoint] = []
        self.retried_after_loss = False  # a loss in transit is retried once
        self.has_begun_value = False  # its client has a part of a value that broke off
        self.first_run_endpoint: TrackedEndpoint | None = None  # of the first attempt that may have run
        self.first_run_at_ns = 0  # when the first attempt that may have run was sent

    def begin_attempt(self, endpoint: TrackedEndpoint, now: int) -> AttemptPurpose:
        """Record that an attempt is sent, and return its purpose."""
        self.attempts += 1
        purpose = self._purpose(endpoint)
        self.endpoint = endpoint
        self.sent_at_ns = now
        self.in_flight = True
        return purpose

    def _purpose(self, endpoint: TrackedEndpoint) -> AttemptPurpose:
        if self.is_at_origin:
            return AttemptPurpose.WRITE if self.is_write else AttemptPurpose.FETCH
        if endpoint.ejected:
            return AttemptPurpose.TRIAL
        if self.has_begun_value:
            return AttemptPurpose.RESUME
        if self.attempts == 1:
            return AttemptPurpose.FIRST
        if endpoint is self.endpoint:
            return AttemptPurpose.SAME_ENDPOINT
        return AttemptPurpose.NEXT_ENDPOINT

    def end_attempt(self, may_have_run: bool) -> None:
        """Record that the attempt in flight has ended."""
        self.in_flight = False
        self.is_at_origin = False
        self.is_streaming = False
        if may_have_run and self.first_run_endpoint is None:
            self.first_run_endpoint = self.endpoint
            self.first_run_at_ns = self.sent_at_ns
