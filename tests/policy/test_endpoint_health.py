"""Outlier detection: which failures eject an endpoint, and what ends the ejection."""

from __future__ import annotations

import pytest

from holdgw.policy import Outcome
from holdgw.policy.endpoint_health import (
    EJECTED_PROBABILITY,
    MAX_CONSECUTIVE_CONNECT_FAILURES,
    MAX_CONSECUTIVE_ERRORS,
    MAX_CONSECUTIVE_RESETS,
    MAX_CONSECUTIVE_UNANSWERED,
    MIN_ADMISSION_PROBABILITY,
    RECOVERY_NS,
    AttemptResult,
    EndpointHealth,
)
from tests.helpers import MS, S

FAILURES_IN_A_ROW = [
    (Outcome.CONNECT_FAILED, MAX_CONSECUTIVE_CONNECT_FAILURES),
    (Outcome.RESET, MAX_CONSECUTIVE_RESETS),
    (Outcome.ERROR, MAX_CONSECUTIVE_ERRORS),
    (Outcome.TIMEOUT, MAX_CONSECUTIVE_UNANSWERED),
]


def health_after(*outcomes: Outcome, others_healthy: bool = True, all_late: bool = False) -> EndpointHealth:
    """Return the health after such attempts, one a millisecond, all sent after the endpoint's last answer."""
    health = EndpointHealth()
    for number, outcome in enumerate(outcomes, start=1):
        now_ns = S + number * MS
        health.record(AttemptResult(outcome, all_late, now_ns, now_ns, others_healthy))
    return health


@pytest.mark.parametrize(("outcome", "count"), FAILURES_IN_A_ROW)
def test_failures_of_one_kind_in_a_row_eject(outcome: Outcome, count: int) -> None:
    # A dead process refuses connections, and a hanging one answers nothing: each causes consecutive failures
    # of one kind. One failure fewer may be chance, and the endpoint stays in use.
    assert not health_after(*[outcome] * (count - 1)).ejected
    assert health_after(*[outcome] * count).ejected


@pytest.mark.parametrize(("outcome", "count"), FAILURES_IN_A_ROW[:3])
def test_a_good_answer_in_between_starts_the_count_again(outcome: Outcome, count: int) -> None:
    assert not health_after(*[outcome] * (count - 1), Outcome.OK, *[outcome] * (count - 1)).ejected


def test_failed_connection_keeps_the_count_of_resets() -> None:
    # A reset is often followed by a connection that is not established; the count of resets goes on.
    resets = [Outcome.RESET] * (MAX_CONSECUTIVE_RESETS - 1)
    assert health_after(*resets, Outcome.CONNECT_FAILED, Outcome.RESET).ejected


def test_timeouts_do_not_eject_while_other_endpoints_are_overloaded() -> None:
    # In an overload answers are missing everywhere; ejecting endpoints for it would leave none.
    assert not health_after(*[Outcome.TIMEOUT] * 10, others_healthy=False).ejected


def test_timeouts_do_not_eject_an_endpoint_that_answers_others_meanwhile() -> None:
    health = EndpointHealth()
    for number in range(10):
        sent_at_ns = S + number * MS
        health.record_answer(sent_at_ns + 1)
        health.record(AttemptResult(Outcome.TIMEOUT, False, sent_at_ns + MS, sent_at_ns, True))
    assert not health.ejected


def test_one_refused_connection_ejects_where_idle_connections_were_closed() -> None:
    # A process that ends closes its idle connections first, so the next refusal means that it is gone.
    health = EndpointHealth()
    health.record(AttemptResult(Outcome.CONNECT_FAILED, False, S, refused_after_idle_close=True))
    assert health.ejected


def test_ejected_endpoint_gets_nothing_for_1_2_s_and_then_trials() -> None:
    # The endpoint may come back at any time; a trial request now and then detects it.
    health = EndpointHealth()
    health.record(AttemptResult(Outcome.CONNECT_FAILED, False, S, refused_after_idle_close=True))
    assert health.probability(S) == EJECTED_PROBABILITY
    assert health.probability(S + 1_190 * MS) < 0.0
    assert 0.0 < health.probability(S + 1_210 * MS) < 0.001
    assert health.probability(S + RECOVERY_NS) == pytest.approx(1.0 + EJECTED_PROBABILITY)


def test_failed_trial_ejects_again_and_a_good_answer_ends_the_ejection() -> None:
    health = health_after(*[Outcome.CONNECT_FAILED] * MAX_CONSECUTIVE_CONNECT_FAILURES)
    health.record(AttemptResult(Outcome.RESET, False, 30 * S, 30 * S))
    assert health.ejected
    assert health.probability(30 * S) == EJECTED_PROBABILITY
    health.record(AttemptResult(Outcome.OK, False, 60 * S, 60 * S))
    assert not health.ejected
    assert health.probability(60 * S) == pytest.approx(EJECTED_PROBABILITY + 0.5 + 0.05)


def test_late_answers_lower_the_admission_probability_and_do_not_eject() -> None:
    health = health_after(*[Outcome.OK] * 50, all_late=True)
    assert not health.ejected
    assert health.probability(S + 50 * MS) == MIN_ADMISSION_PROBABILITY
    assert health.failure_fraction > 0.7


def test_one_broken_connection_changes_nothing() -> None:
    for outcome in (Outcome.CONNECT_FAILED, Outcome.RESET):
        health = health_after(outcome)
        assert health.probability(S + MS) == 1.0
        assert health.failure_fraction == 0.0
