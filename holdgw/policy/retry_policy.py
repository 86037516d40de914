"""Retries: whether, where and when a request may be sent again, and what an attempt's end calls for."""

from __future__ import annotations

from enum import Enum

from holdgw.policy.events import AttemptEnded, Outcome
from holdgw.policy.pending_request import PendingRequest
from holdgw.policy.settings import DedupScope, Idempotency, Settings
from holdgw.policy.tracked_endpoint import TrackedEndpoint
from holdgw.policy.units import NS_PER_S

MAX_TRANSIT_NS = NS_PER_S // 20  # from when a request is written until its endpoint has it, at most
QUICK_BREAK_OBJECTIVE_FRACTION = (
    0.5  # of the latency objective: a connection that breaks within it has cost no time
)
PROMPT_OBJECTIVE_FRACTION = 0.5  # of the latency objective: an attempt timeout is at least so long
TIMEOUT_LATENCY_FACTOR = 5.0  # an attempt timeout is at least so many smoothed latencies of the endpoint
LOST_LATENCY_FACTOR = 4.0  # an answer that is out for so many, while other answers come, is lost in transit
TIMEOUT_MAX_OVERLOADED_FRACTION = 0.1  # of the endpoints: past it no attempt timeout is set
RETRY_BUDGET_PER_ANSWER = 0.01  # one attempt in a hundred may be given up as lost
MAX_RETRY_BUDGET = 4.0


class Loss(Enum):
    """Whether an attempt's answer was lost on its way, which says nothing of its endpoint's load."""

    NONE = "none"
    QUICK_BREAK = "quick break"
    """The connection broke at once: no time is lost."""
    IN_TRANSIT = "in transit"
    """The answer broke off late, can't be parsed, or stays out though the endpoint is well."""


class NextStep(Enum):
    """What a request needs after an attempt that did not answer it."""

    FETCH = "fetch"
    """The cache server has no value: fetch it from the origin."""
    FETCH_AGAIN = "fetch again"
    """Send the same origin call again; it is admitted and counted already."""
    FETCH_FAILED = "fetch failed"
    """Retry a write after a delay; give a read up."""
    READ_STORED_VALUE = "read stored value"
    """The origin had begun to answer, so the value is stored at the cache server by now: read it there."""
    SAME_ENDPOINT = "same endpoint"
    """Send it again where it was."""
    NEXT_ENDPOINT = "next endpoint"
    """Send it to the next-ranked endpoint; this one has failed."""


class RetryPolicy:
    """The rules of retries and the retry budget.

    Asked before each attempt (`may_attempt`, `may_send`, `write_within_ns`, `attempt_timeout_ns`), at the
    end of each (`classify_loss`, then `record_answer` or `next_step`), and before a final answer
    (`may_reject`).

    The retry budget is the number of attempts that may be abandoned as lost in transit, at most
    MAX_RETRY_BUDGET. An answer adds RETRY_BUDGET_PER_ANSWER, a proven loss adds 1, and an attempt that ends
    by its attempt timeout takes 1.
    """

    def __init__(self, settings: Settings) -> None:
        self._max_attempts = settings.max_attempts
        self._fetches_misses = settings.origin_kind is not None
        self.budget = MAX_RETRY_BUDGET

    def may_attempt(self, request: PendingRequest, now: int) -> bool:
        """Whether the request has an attempt and time left."""
        return request.attempts < self._max_attempts and now < request.deadline_ns

    def may_send(self, request: PendingRequest, endpoint: TrackedEndpoint, now: int) -> bool:
        """Whether sending it there does no harm.

        A request that may have run is sent again only where, and while, its repeat is dropped (rule 2).
        """
        if request.first_run_endpoint is None:
            return True
        rules = request.request_class
        if rules.idempotency is Idempotency.IDEMPOTENT:
            return True
        if rules.idempotency is Idempotency.NOT_IDEMPOTENT or self._dedup_time_left_ns(request, now) <= 0:
            return False
        if rules.dedup_scope is DedupScope.ALL:
            return True
        here = endpoint.entry
        there = request.first_run_endpoint.entry
        if here.zone != there.zone:
            return False
        return rules.dedup_scope is DedupScope.ZONE or here.cell == there.cell

    def write_within_ns(self, request: PendingRequest, now: int) -> int:
        """Time within which an attempt must be written, for `SendAttempt`; 0: no bound.

        A repeat that is decided on in time may wait for a connection and arrive when the first one is no
        longer remembered: it would take effect twice.
        """
        if request.first_run_endpoint is None:
            return 0
        if request.request_class.idempotency is not Idempotency.IDEMPOTENCY_KEY:
            return 0
        return self._dedup_time_left_ns(request, now)

    def _dedup_time_left_ns(self, request: PendingRequest, now: int) -> int:
        """How long a repeat may still be written, to be there while the first attempt is remembered."""
        return request.first_run_at_ns + request.request_class.dedup_window_ns - MAX_TRANSIT_NS - now

    def may_reject(self, request: PendingRequest) -> bool:
        """Whether a retry by the client does no harm, which a rejection promises (rule 2)."""
        rules = request.request_class
        dropped_anywhere = (
            rules.idempotency is Idempotency.IDEMPOTENCY_KEY and rules.dedup_scope is DedupScope.ALL
        )
        never_ran = request.first_run_endpoint is None
        return never_ran or rules.idempotency is Idempotency.IDEMPOTENT or dropped_anywhere

    def attempt_timeout_ns(
        self, request: PendingRequest, endpoint: TrackedEndpoint, overloaded_fraction: float, now: int
    ) -> int:
        """How long an attempt's answer is waited for before it counts as lost in transit; 0: to the deadline.

        A departure from the design: a connection or a single request can fall silent while its endpoint is
        well, and the whole deadline would pass. There is no timeout where the endpoint or most others are not
        well, or the retry budget is used up, so that slow endpoints don't get everything twice.
        """
        if request.retried_after_loss or self.budget < 1 or request.attempts + 2 > self._max_attempts:
            return 0
        if not endpoint.latency_ns or endpoint.admission_probability(now) < 1.0:
            return 0
        if overloaded_fraction > TIMEOUT_MAX_OVERLOADED_FRACTION:
            return 0
        objective_ns = request.request_class.latency_objective_ns
        timeout_ns = int(
            max(objective_ns * PROMPT_OBJECTIVE_FRACTION, endpoint.latency_ns * TIMEOUT_LATENCY_FACTOR)
        )
        return timeout_ns if now + 2 * timeout_ns < request.deadline_ns else 0

    def classify_loss(
        self, request: PendingRequest, endpoint: TrackedEndpoint, event: AttemptEnded, now: int
    ) -> Loss:
        """Whether an attempt's answer was lost.

        Also takes 1 from the retry budget for an attempt timeout, and adds 1 for a loss that is proven.
        """
        if event.outcome is Outcome.TIMEOUT:
            took_ns = event.latency_ns - event.queued_ns
            return self._classify_timeout(request, endpoint, took_ns, now)
        if event.outcome.is_connection_failure:
            objective_ns = request.request_class.latency_objective_ns
            if event.latency_ns <= objective_ns * QUICK_BREAK_OBJECTIVE_FRACTION:
                return Loss.QUICK_BREAK
        lost = event.outcome in (Outcome.MALFORMED, Outcome.RESET)
        return Loss.IN_TRANSIT if lost else Loss.NONE

    def _classify_timeout(
        self, request: PendingRequest, endpoint: TrackedEndpoint, took_ns: int, now: int
    ) -> Loss:
        if request.attempt_timeout_ns and now < request.deadline_ns:
            self.budget -= 1
            return Loss.IN_TRANSIT
        if self._is_lost_in_transit(request, endpoint, took_ns):
            self.budget = min(MAX_RETRY_BUDGET, self.budget + 1)
            return Loss.IN_TRANSIT
        return Loss.NONE

    def _is_lost_in_transit(self, request: PendingRequest, endpoint: TrackedEndpoint, took_ns: int) -> bool:
        """Whether an answer that never came says nothing of its endpoint's load.

        A connection or a single request can fall silent at an endpoint that is well; to shed the endpoint
        for it rejects a hundred times what was lost. An overloaded endpoint answers others late, which
        shows by itself. The guard fails only where one kind of request is slow: its lateness then tells
        nothing.
        """
        objective_ns = request.request_class.latency_objective_ns
        is_overdue = 0 < endpoint.latency_ns * LOST_LATENCY_FACTOR < took_ns
        is_quick = endpoint.latency_ns < objective_ns * PROMPT_OBJECTIVE_FRACTION
        return is_overdue and is_quick and endpoint.health.answered_at_ns > request.sent_at_ns

    def record_answer(self, request: PendingRequest, took_ns: int) -> None:
        """Add to the retry budget; a prompt answer to a retry after a loss proves that the first was lost."""
        prompt_ns = request.request_class.latency_objective_ns * PROMPT_OBJECTIVE_FRACTION
        proven = request.retried_after_loss and took_ns <= prompt_ns
        self.budget = min(MAX_RETRY_BUDGET, self.budget + (1.0 if proven else RETRY_BUDGET_PER_ANSWER))

    def next_step(
        self, request: PendingRequest, event: AttemptEnded, loss: Loss, was_at_origin: bool
    ) -> NextStep:
        """What a request that has no final answer needs after an attempt.

        After a loss a request is sent again where it was, a departure from the design: the slot's endpoint
        holds the key, where the next-ranked one would miss and cost a fetch, and a write's repeat is
        dropped there. A quick break is bounded by the attempts and by the endpoint's ejection; any other
        loss is retried once. An endpoint that breaks connections because it is overloaded gets a read up to
        four times, until six breaks in a row eject it.
        """
        if event.outcome is Outcome.MISS and not was_at_origin and self._fetches_misses:
            return NextStep.FETCH
        if loss is Loss.QUICK_BREAK:
            return self._after_loss(request, event, was_at_origin)
        if loss is Loss.IN_TRANSIT and not request.retried_after_loss:
            request.retried_after_loss = True
            return self._after_loss(request, event, was_at_origin)
        return NextStep.FETCH_FAILED if was_at_origin else NextStep.NEXT_ENDPOINT

    def _after_loss(self, request: PendingRequest, event: AttemptEnded, was_at_origin: bool) -> NextStep:
        """A fetch that broke before its answer began has stored nothing; any other has stored its value."""
        if not was_at_origin:
            return NextStep.SAME_ENDPOINT
        if request.is_write:
            # A write can wait, and an origin that restarts needs time.
            refused = event.outcome is Outcome.CONNECT_FAILED
            return NextStep.FETCH_FAILED if refused else NextStep.FETCH_AGAIN
        if event.outcome.is_connection_failure and not event.response_started:
            return NextStep.FETCH_AGAIN
        return NextStep.READ_STORED_VALUE
