"""Outlier detection: why an endpoint is ejected, and when it comes back.

An endpoint is ejected when attempts at it fail in one way, in a row:

- `MAX_CONSECUTIVE_CONNECT_FAILURES` connections were not established, or one was not, after the endpoint had
  closed its idle connections;
- `MAX_CONSECUTIVE_RESETS` connections broke under a request;
- `MAX_CONSECUTIVE_ERRORS` answers were errors;
- `MAX_CONSECUTIVE_UNANSWERED` attempts got no answer, nor did anything else there, while the other endpoints
  are well (unresponsive).

It gets nothing for 1.2 s after each failure (`EJECTED_PROBABILITY` times `RECOVERY_NS`); then requests come
as trials, with a probability that grows from 0. The first OK or MISS that is not late ends the ejection; a
late answer, or a rejection by the endpoint, leaves it as it is; another connection failure, reset or time-out
begins it anew. What is sent after that grows with the admission probability. An endpoint whose list entry
changes begins without the ejection (`SlotTable.update`).
"""

from __future__ import annotations

from holdgw.policy.events import Outcome
from holdgw.policy.units import NS_PER_S

LATE_ANSWER_FACTOR = 0.7  # of the admission probability, for a late or missing answer
OVERLOADED_ANSWER_FACTOR = 0.85  # the same for a rejection, which cost the endpoint next to nothing
GOOD_ANSWER_STEP = 0.05  # added to the admission probability by a good answer
MIN_ADMISSION_PROBABILITY = 0.05  # of an endpoint that is not ejected
MAX_CONSECUTIVE_CONNECT_FAILURES = 3
MAX_CONSECUTIVE_RESETS = 6
MAX_CONSECUTIVE_ERRORS = 4
MAX_CONSECUTIVE_UNANSWERED = 3
FAILURE_FRACTION_SAMPLES = 32  # answers over which the failure fraction is smoothed
RECOVERY_NS = 60 * NS_PER_S  # in which the probability returns from 0 to 1 where answers are too few for it
EJECTED_PROBABILITY = -0.02  # below 0: nothing is sent for that part of RECOVERY_NS


class AttemptResult:
    """How an attempt at an endpoint ended, as far as it tells of the endpoint's health."""

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
        """Whether it took longer than the latency objective by the endpoint's own doing."""
        self.ended_at_ns = ended_at_ns
        self.sent_at_ns = sent_at_ns
        self.others_healthy = others_healthy
        """Whether few of the other endpoints are overloaded."""
        self.refused_after_idle_close = refused_after_idle_close
        """Whether the connection was refused after the endpoint had closed its idle connections."""

    @property
    def broken(self) -> bool:
        """Whether the connection failed, at its start or under the request."""
        return self.outcome is Outcome.CONNECT_FAILED or self.outcome is Outcome.RESET


class ConsecutiveFailures:
    """Counts an endpoint's failures of each kind in a row; asked after each attempt whether they suffice."""

    def __init__(self) -> None:
        self.unanswered = 0
        """Attempts in a row during which the endpoint answered nothing at all."""
        self._connect_failures = 0
        self._resets = 0
        self._errors = 0

    def count(self, result: AttemptResult, answered_at_ns: int) -> None:
        """Count an attempt; `answered_at_ns`: when the endpoint last answered anything.

        A failed connection leaves the count of resets as it is: the two often follow each other.
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
        """Whether the failures in a row mean that the endpoint is gone; `result`: the latest of them.

        Single broken connections are ordinary: an idle close that crosses a request, a full table, a reset
        while an endpoint comes up. To eject for one sends all of the endpoint's keys to the origin. A dead
        process refuses every connection, and a lost machine or a hanging process answers nothing at all.
        One refusal is enough where the endpoint has closed its idle connections: each of many routers would
        lose a request for every further one. Time-outs count only while the other endpoints are well: where
        many are overloaded, a missing answer is a sign of load.
        """
        if result.refused_after_idle_close or self._connect_failures >= MAX_CONSECUTIVE_CONNECT_FAILURES:
            return True
        if self._resets >= MAX_CONSECUTIVE_RESETS or self._errors >= MAX_CONSECUTIVE_ERRORS:
            return True
        return self.unanswered >= MAX_CONSECUTIVE_UNANSWERED and result.others_healthy


class EndpointHealth:
    """The health of one endpoint, learnt from attempts.

    Asked for each request that would go to the endpoint, by `probability`: 1 means that all are sent, less
    that some are rejected, 0 or less that none is sent at present. Told of each attempt's end by `record`.
    """

    def __init__(self) -> None:
        self.ejected = False
        """Whether it gets trial requests only."""
        self.failure_fraction = 0.0
        """Smoothed fraction of answers that were late, rejected or missing, 0 to 1."""
        self.answered_at_ns = 0
        """When it last answered anything (clock time)."""
        self._failures = ConsecutiveFailures()
        self._probability = 1.0
        self._updated_at_ns = 0

    def probability(self, now_ns: int) -> float:
        """Return the admission probability; it recovers with time, from 0 or less after an ejection."""
        if self._probability >= 1.0:
            return 1.0
        return min(1.0, self._probability + (now_ns - self._updated_at_ns) / RECOVERY_NS)

    def record_answer(self, now_ns: int) -> None:
        """Note that the endpoint answered something, be it late or an error."""
        self.answered_at_ns = now_ns

    def record(self, result: AttemptResult) -> None:
        """Learn from an attempt's end.

        A broken connection that does not suffice to eject changes nothing, nor does a time-out with too
        little time left, or one that may be the first of an unresponsive endpoint.
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
        """Go on from what another process of this router has learnt."""
        self._probability = probability
        self._updated_at_ns = now_ns
        self.ejected = ejected
        self.failure_fraction = failure_fraction

    def _is_sign_of_load(self, result: AttemptResult) -> bool:
        """Whether a time-out tells of load: it was late, and the endpoint does not look unresponsive."""
        return result.late and not (self._failures.unanswered and result.others_healthy)
