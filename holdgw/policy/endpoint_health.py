"""Outlier detection: ejects endpoints with consecutive failures, and ends an ejection after a good answer.

An endpoint is ejected after consecutive failures of one kind:

- `MAX_CONSECUTIVE_CONNECT_FAILURES` connections could not be established, or a single one, if the endpoint
  had closed its idle connections;
- `MAX_CONSECUTIVE_RESETS` connections were reset under a request;
- `MAX_CONSECUTIVE_ERRORS` answers were errors;
- `MAX_CONSECUTIVE_UNANSWERED` attempts timed out while the endpoint answered nothing else and the other
  endpoints were healthy (it is unresponsive).

An ejected endpoint is sent nothing for 1.2 s after each failure (`EJECTED_PROBABILITY` times `RECOVERY_NS`),
then trial requests with a probability that grows from 0. The first OK or MISS that is not late ends the
ejection. A late answer, or a rejection by the endpoint, does not change it. Another connection failure, reset
or timeout starts it anew. After the ejection, the fraction of requests sent grows with the admission
probability. An endpoint whose list entry changes is no longer ejected (`SlotTable.update`).
"""

from __future__ import annotations

from holdgw.policy.events import Outcome
from holdgw.policy.units import NS_PER_S

LATE_ANSWER_FACTOR = 0.7  # applied to the admission probability for a late or missing answer
OVERLOADED_ANSWER_FACTOR = 0.85  # the same for a rejection, which cost the endpoint next to nothing
GOOD_ANSWER_STEP = 0.05  # added to the admission probability for a good answer
MIN_ADMISSION_PROBABILITY = 0.05  # of an endpoint that is not ejected
MAX_CONSECUTIVE_CONNECT_FAILURES = 3
MAX_CONSECUTIVE_RESETS = 6
MAX_CONSECUTIVE_ERRORS = 4
MAX_CONSECUTIVE_UNANSWERED = 3
FAILURE_FRACTION_SAMPLES = 32  # answers over which the failure fraction is smoothed
RECOVERY_NS = 60 * NS_PER_S  # time in which the admission probability rises from 0 to 1 without any answer
EJECTED_PROBABILITY = -0.02  # below 0, so nothing is sent for this fraction of RECOVERY_NS


class AttemptResult:
    """How an attempt at an endpoint ended, as far as it concerns the endpoint's health."""

    def __init__(
        self,
        outcome: Outcome,
        late: bool,
        ended_at_ns: int,
        sent_at_ns: int = 0,
        others_healthy: bool = False,
        refused_after_idle_close: bool = False,
    ) -> None:
        self.outcome = outcome
        self.late = late
        """Whether the attempt took longer than the latency objective because of the endpoint itself."""
        self.ended_at_ns = ended_at_ns
        self.sent_at_ns = sent_at_ns
        self.others_healthy = others_healthy
        """Whether few of the other endpoints are overloaded."""
        self.refused_after_idle_close = refused_after_idle_close
        """Whether the connection was refused after the endpoint had closed its idle connections."""

    @property
    def broken(self) -> bool:
        """Whether the connection could not be established, or broke under the request."""
        return self.outcome is Outcome.CONNECT_FAILED or self.outcome is Outcome.RESET


class ConsecutiveFailures:
    """Counts an endpoint's consecutive failures by kind, and decides whether they eject it."""

    def __init__(self) -> None:
        self.unanswered = 0
        """Consecutive attempts during which the endpoint answered nothing at all."""
        self._connect_failures = 0
        self._resets = 0
        self._errors = 0

    def count(self, result: AttemptResult, answered_at_ns: int) -> None:
        """Count an attempt; `answered_at_ns`: when the endpoint last answered anything.

        A connection that could not be established does not clear the count of resets, because it often
        follows a reset.
        """
        outcome = result.outcome
        self._connect_failures = self._connect_failures + 1 if outcome is Outcome.CONNECT_FAILED else 0
        self._errors = self._errors + 1 if outcome is Outcome.ERROR else 0
        if outcome is Outcome.RESET:
            self._resets += 1
        elif not result.broken:
            self._resets = 0
        if answered_at_ns > result.sent_at_ns:
            self.unanswered = 0
        elif outcome is Outcome.TIMEOUT:
            self.unanswered += 1

    def suffice_to_eject(self, result: AttemptResult) -> bool:
        """Whether the consecutive failures mean that the endpoint is down; `result`: the latest of them.

        Single broken connections are ordinary: an idle close that crosses a request, a full connection table,
        a reset while an endpoint starts. Ejecting an endpoint for one of them would send all of its keys to
        the origin. A dead process refuses every connection, and a lost machine or a hanging process answers
        nothing at all. One refusal is enough if the endpoint had closed its idle connections; to wait for
        more would cost each of many routers one request per refusal. Timeouts count only while the other
        endpoints are healthy: where many are overloaded, a missing answer is a sign of load.
        """
        if result.refused_after_idle_close or self._connect_failures >= MAX_CONSECUTIVE_CONNECT_FAILURES:
            return True
        if self._resets >= MAX_CONSECUTIVE_RESETS or self._errors >= MAX_CONSECUTIVE_ERRORS:
            return True
        return self.unanswered >= MAX_CONSECUTIVE_UNANSWERED and result.others_healthy


class EndpointHealth:
    """The health of one endpoint, learned from the outcomes of attempts.

    `record` takes the result of each attempt. `probability` gives the probability with which a request is
    sent to the endpoint: at 1 every request is sent, below 1 some are rejected, and at 0 or less none is sent
    at present.
    """

    def __init__(self) -> None:
        self.ejected = False
        """Whether the endpoint gets trial requests only."""
        self.failure_fraction = 0.0
        """Smoothed fraction of answers that were late, rejected or missing, 0 to 1."""
        self.answered_at_ns = 0
        """Clock time when the endpoint last answered anything."""
        self._failures = ConsecutiveFailures()
        self._probability = 1.0
        self._updated_at_ns = 0

    def probability(self, now_ns: int) -> float:
        """Return the admission probability; it recovers over time, after an ejection from below 0."""
        if self._probability >= 1.0:
            return 1.0
        return min(1.0, self._probability + (now_ns - self._updated_at_ns) / RECOVERY_NS)

    def record_answer(self, now_ns: int) -> None:
        """Record that the endpoint answered something, even if late or an error."""
        self.answered_at_ns = now_ns

    def record(self, result: AttemptResult) -> None:
        """Update the health by the result of an attempt.

        Three results change nothing: a broken connection that does not suffice to eject, a timeout of an
        attempt that had too little time left, and a timeout that may be the first one of an unresponsive
        endpoint.
        """
        outcome = result.outcome
        timed_out = outcome is Outcome.TIMEOUT
        probability = self.probability(result.ended_at_ns)
        self._failures.count(result, self.answered_at_ns)
        if self._failures.suffice_to_eject(result) or (self.ejected and (result.broken or timed_out)):
            probability = EJECTED_PROBABILITY
            self.ejected = True
        elif result.broken or (timed_out and not self._is_sign_of_load(result)):
            pass
        elif result.late or timed_out or outcome is Outcome.OVERLOADED:
            factor = OVERLOADED_ANSWER_FACTOR if outcome is Outcome.OVERLOADED else LATE_ANSWER_FACTOR
            probability = max(probability * factor, MIN_ADMISSION_PROBABILITY)
            self.failure_fraction += (1.0 - self.failure_fraction) / FAILURE_FRACTION_SAMPLES
        elif outcome is Outcome.OK or outcome is Outcome.MISS:
            probability = min(1.0, probability + GOOD_ANSWER_STEP)
            self.ejected = False
            self.failure_fraction -= self.failure_fraction / FAILURE_FRACTION_SAMPLES
        self._probability = probability
        self._updated_at_ns = result.ended_at_ns

    def restore(self, probability: float, ejected: bool, failure_fraction: float, now_ns: int) -> None:
        """Continue from the state of another process of this router."""
        self._probability = probability
        self._updated_at_ns = now_ns
        self.ejected = ejected
        self.failure_fraction = failure_fraction

    def _is_sign_of_load(self, result: AttemptResult) -> bool:
        """Whether a timeout is a sign of load: it was late, and the endpoint does not seem unresponsive."""
        return result.late and not (self._failures.unanswered and result.others_healthy)
