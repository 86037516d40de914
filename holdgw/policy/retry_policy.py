"""Retries: whether, where and when a request may be sent again, and the next step after an attempt."""

from __future__ import annotations

from enum import Enum

from holdgw.policy.events import AttemptEnded, Outcome
from holdgw.policy.pending_request import PendingRequest
from holdgw.policy.settings import DedupScope, Idempotency, Settings
from holdgw.policy.tracked_endpoint import TrackedEndpoint
from holdgw.policy.units import NS_PER_S

MAX_TRANSIT_NS = NS_PER_S // 20  # at most, between the write of a request and its arrival at the endpoint
# A connection that breaks within this fraction of the latency objective has cost no time.
QUICK_BREAK_OBJECTIVE_FRACTION = 0.5
# An answer within this fraction of the latency objective is prompt; no attempt timeout is shorter.
PROMPT_OBJECTIVE_FRACTION = 0.5
TIMEOUT_LATENCY_FACTOR = 5.0  # an attempt timeout is at least this multiple of the smoothed latency
# An answer that is missing after this multiple of the smoothed latency, while the endpoint answers other
# requests, is lost in transit.
LOST_LATENCY_FACTOR = 4.0
# Above this fraction of overloaded endpoints no attempt timeout is set.
TIMEOUT_MAX_OVERLOADED_FRACTION = 0.1
RETRY_BUDGET_PER_ANSWER = 0.01  # allows one attempt in a hundred to be abandoned as lost in transit
MAX_RETRY_BUDGET = 4.0


class Loss(Enum):
    """Whether an attempt's answer was lost in transit, which is no sign of its endpoint's load."""

    NONE = "none"
    QUICK_BREAK = "quick break"
    """The connection broke at once, so no time is lost."""
    IN_TRANSIT = "in transit"
    """The answer broke off late, can't be parsed, or is missing although the endpoint is healthy."""


class NextStep(Enum):
    """What to do with a request whose attempt did not answer it."""

    FETCH = "fetch"
    """Fetch the value from the origin: the cache server does not have it."""
    FETCH_AGAIN = "fetch again"
    """Send the same origin call again, which has already been admitted and counted."""
    FETCH_FAILED = "fetch failed"
    """Retry a write after a delay; reject a read."""
    READ_STORED_VALUE = "read stored value"
    """Read from the cache server: the origin had begun to answer, so the value is stored there by now."""
    SAME_ENDPOINT = "same endpoint"
    """Send the request to the same endpoint again."""
    NEXT_ENDPOINT = "next endpoint"
    """Send the request to the next-ranked endpoint, because this one has failed."""


class RetryPolicy:
    """Decides on retries, and keeps the retry budget.

    The policy calls `may_attempt`, `may_send`, `write_within_ns` and `attempt_timeout_ns` before an attempt;
    `classify_loss`, then `record_answer` or `next_step`, at its end; and `may_reject` before a final answer.

    The retry budget is the number of attempts that may be abandoned as lost in transit, at most
    MAX_RETRY_BUDGET. An answer adds RETRY_BUDGET_PER_ANSWER, a proven loss adds 1, and an attempt that ends
    by its attempt timeout takes 1.
    """

    def __init__(self, settings: Settings) -> None:
        self._max_attempts = settings.max_attempts
        self._fetches_misses = settings.origin_kind is not None
        self.budget = MAX_RETRY_BUDGET

    def may_attempt(self, request: PendingRequest, now: int) -> bool:
        """Whether the request has both an attempt and time left."""
        return request.attempts < self._max_attempts and now < request.deadline_ns

    def may_send(self, request: PendingRequest, endpoint: TrackedEndpoint, now: int) -> bool:
        """Whether the request may be sent to this endpoint without taking effect twice.

        No request takes effect twice: one that may have run, and is not idempotent, is sent again only to
        endpoints that drop its repeat, and only within the dedup window.
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
        entry = endpoint.entry
        first_run_entry = request.first_run_endpoint.entry
        if entry.zone != first_run_entry.zone:
            return False
        return rules.dedup_scope is DedupScope.ZONE or entry.cell == first_run_entry.cell

    def write_within_ns(self, request: PendingRequest, now: int) -> int:
        """Return the time (ns) within which an attempt must be written, for `SendAttempt`; 0: no bound.

        A repeat that was allowed in time may still wait for a connection, and arrive after the dedup window.
        It would then take effect twice.
        """
        if request.first_run_endpoint is None:
            return 0
        if request.request_class.idempotency is not Idempotency.IDEMPOTENCY_KEY:
            return 0
        return self._dedup_time_left_ns(request, now)

    def _dedup_time_left_ns(self, request: PendingRequest, now: int) -> int:
        """Return how long (ns) a repeat may still be written so that it arrives within the dedup window."""
        return request.first_run_at_ns + request.request_class.dedup_window_ns - MAX_TRANSIT_NS - now

    def may_reject(self, request: PendingRequest) -> bool:
        """Whether the client may safely retry, as a rejection promises: no request takes effect twice."""
        rules = request.request_class
        dropped_anywhere = (
            rules.idempotency is Idempotency.IDEMPOTENCY_KEY and rules.dedup_scope is DedupScope.ALL
        )
        never_ran = request.first_run_endpoint is None
        return never_ran or rules.idempotency is Idempotency.IDEMPOTENT or dropped_anywhere

    def attempt_timeout_ns(
        self, request: PendingRequest, endpoint: TrackedEndpoint, overloaded_fraction: float, now: int
    ) -> int:
        """Return the attempt timeout (ns), after which the answer counts as lost in transit; 0: none.

        This is a departure from DESIGN: a connection or a single request can stall although its endpoint
        is healthy, and the request would wait until its deadline. No attempt timeout is set where the
        endpoint or too many others are not healthy, or the retry budget is used up, so that slow endpoints
        don't get every request twice.
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
        """Return whether an attempt's answer was lost in transit, and update the retry budget.

        An attempt timeout takes 1 from the budget, and a proven loss adds 1.
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
        """Whether a missing answer is no sign of its endpoint's load.

        A connection or a single request can stall at a healthy endpoint. Shedding the endpoint's load for it
        would reject a hundred times as many requests as were lost. An overloaded endpoint is detected without
        it, as its other answers are late. The check is wrong only where one kind of request is slow, whose
        lateness is then ignored.
        """
        objective_ns = request.request_class.latency_objective_ns
        is_overdue = 0 < endpoint.latency_ns * LOST_LATENCY_FACTOR < took_ns
        is_quick = endpoint.latency_ns < objective_ns * PROMPT_OBJECTIVE_FRACTION
        return is_overdue and is_quick and endpoint.health.answered_at_ns > request.sent_at_ns

    def record_answer(self, request: PendingRequest, took_ns: int) -> None:
        """Add to the retry budget; a prompt answer to a retry proves that the first answer was lost."""
        prompt_ns = request.request_class.latency_objective_ns * PROMPT_OBJECTIVE_FRACTION
        proven = request.retried_after_loss and took_ns <= prompt_ns
        self.budget = min(MAX_RETRY_BUDGET, self.budget + (1.0 if proven else RETRY_BUDGET_PER_ANSWER))

    def next_step(
        self, request: PendingRequest, event: AttemptEnded, loss: Loss, was_at_origin: bool
    ) -> NextStep:
        """Return the next step of a request whose attempt has ended without a final answer.

        After a loss the request is sent to the same endpoint again, a departure from DESIGN: this endpoint
        has the key, while the next-ranked one would miss and need a fetch, and it drops the repeat
        of a write. Retries after quick breaks are bounded by the number of attempts and by the ejection of
        the endpoint; any other loss is retried once. An endpoint that breaks connections because it is
        overloaded gets a read up to four times, until six consecutive resets eject it.

        A value that broke off after its client got a part is read from the next-ranked endpoint: the same one
        may break it off at the same byte, and there is seldom time for a third reading.
        """
        if event.value_broke_off and not was_at_origin:
            return NextStep.NEXT_ENDPOINT
        if event.outcome is Outcome.MISS and not was_at_origin and self._fetches_misses:
            return NextStep.FETCH
        if loss is Loss.QUICK_BREAK:
            return self._after_loss(request, event, was_at_origin)
        if loss is Loss.IN_TRANSIT and not request.retried_after_loss:
            request.retried_after_loss = True
            return self._after_loss(request, event, was_at_origin)
        return NextStep.FETCH_FAILED if was_at_origin else NextStep.NEXT_ENDPOINT

    def _after_loss(self, request: PendingRequest, event: AttemptEnded, was_at_origin: bool) -> NextStep:
        """Return the step after a loss; a fetch that broke before its answer began has stored nothing."""
        if not was_at_origin:
            return NextStep.SAME_ENDPOINT
        if request.is_write:
            # A write can wait, and a restarting origin needs time.
            refused = event.outcome is Outcome.CONNECT_FAILED
            return NextStep.FETCH_FAILED if refused else NextStep.FETCH_AGAIN
        if event.outcome.is_connection_failure and not event.response_started:
            return NextStep.FETCH_AGAIN
        return NextStep.READ_STORED_VALUE
