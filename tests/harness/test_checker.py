"""Tests of the checker on recorded histories: every rule violated, and every exception to a rule."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from holdgw.emulators.records import (
    LAG_BOUNDS_MS,
    Attempt,
    ClientRequest,
    DiscoveryCall,
    EndpointStateAvailable,
    EndpointStateSent,
    ExtraAnswer,
    Flushed,
    Lag,
    OverrideAccepted,
    ProtocolViolation,
    Record,
    WarmUpCrash,
)
from holdgw.harness.checker import ClassRule, History, ProcessLifetime, check_lag, counts, find_violations

CLASSES = {1: ClassRule("safe"), 2: ClassRule("keyed", 2.5), 3: ClassRule("unsafe")}
GRACE = 0.5


def tried(name: str = "q1", ask: int = 1, **changes: Any) -> ClientRequest:
    fields: dict[str, Any] = {
        "request": name, "ask": ask, "number": 0, "router": "r1", "sent": 10.0, "wait": 0.9,
        "answer": "served", "ended": 10.1, "server": "n1", "serial": 1,
    }  # fmt: skip
    return ClientRequest(**{**fields, **changes})


def attempt(name: str = "q1", **changes: Any) -> Attempt:
    fields: dict[str, Any] = {
        "request": name, "server": "n1", "at": 10.01, "result": "hit", "ended": 10.09, "serial": 1,
    }  # fmt: skip
    return Attempt(**{**fields, **changes})


def history(
    *records: Record, lives: tuple[ProcessLifetime, ...] = (ProcessLifetime("r1", 0.0, 0.1),)
) -> History:
    recorded = History(lives=list(lives))
    for record in records:
        recorded.add(record)
    return recorded


def rules(recorded: History) -> list[str]:
    return [violation.rule for violation in find_violations(recorded, CLASSES, GRACE)]


def test_a_correct_run_violates_no_rule() -> None:
    recorded = history(
        tried(), attempt(),
        tried("q2", ask=2, server="store", serial=1),
        attempt("q2", server="store", result="served", effect=True),
        tried("q3", answer="refused"), tried("q4", answer="failed"),
        attempt("q4", result="open", serial=9),
        tried("q5", answer="left"), tried("q6", answer="unsent"),
        EndpointStateSent("r1", "n2", "draining", 9.0, 8.9),
        EndpointStateAvailable("r1", "n2", "draining", 8.9),
        Flushed("n1", 9.0, 5, 5), ProtocolViolation("n1", 9.0, "x"),
    )  # fmt: skip
    assert find_violations(recorded, CLASSES, GRACE) == []


# The rule "lost"


@pytest.mark.parametrize(
    ("records", "text"),
    [
        ((tried(answer="none", ended=10.95),), "no answer within 900 ms"),
        ((tried(answer="cut"), attempt()), "ended with no whole answer"),
        ((tried(), attempt(), ExtraAnswer("q1", "r1", 10.2)), "one more answer"),
        ((tried(fault="value begins with b'q9'"), attempt()), "not made for it"),
        ((tried(serial=7), attempt()), "no server made for it"),
        (
            (tried(), attempt("q9", serial=1), attempt(serial=2), tried("q9", serial=1)),
            "no server made for it",
        ),
        ((tried(), attempt(result="miss")), "did not answer"),
        ((tried(), attempt(fault="garble")), "did not answer"),
        ((tried(), attempt(), attempt(at=10.2, serial=2)), "after its answer"),
        ((tried(answer="refused"), attempt(at=10.3)), "after its answer"),
        ((attempt("nobody"),), "no client asked"),
        ((tried(crossed=10.05), attempt(at=10.02), attempt(at=10.08, serial=2)), "had been read"),
    ],
)
def test_lost_requests_are_detected(records: tuple[Record, ...], text: str) -> None:
    broken = find_violations(history(*records), CLASSES, GRACE)
    assert {violation.rule for violation in broken} == {"lost"}
    assert any(text in violation.text for violation in broken)


@pytest.mark.parametrize(
    ("came", "rules_broken"),
    [
        (10.09, []),  # arrived in time, and its server's process had no core to read it sooner
        (10.14, []),
        (10.16, ["lost"]),  # within the same 57 ms, but its router did forward it after the answer
        (10.207, ["lost"]),
        (0.0, ["lost"]),  # no record says that it arrived before it was read
    ],
)
def test_attempt_after_an_answer_is_judged_by_its_arrival_and_not_by_its_read_time(
    came: float, rules_broken: list[str]
) -> None:
    recorded = history(tried(answer="refused", ended=10.1), attempt(at=10.207, arrived=came, ended=10.3))
    assert rules(recorded) == rules_broken


def test_failed_requests_that_do_not_count_as_lost() -> None:
    assert rules(history(tried(answer="cut"))) == []  # nothing was forwarded for it
    killed = ProcessLifetime("r1", 0.0, 0.1, told_to_end=10.05, wanted="KILL", exited=10.06, code=-9)
    assert rules(history(tried(answer="cut"), attempt(), lives=(killed,))) == []
    assert rules(history(tried(answer="none", ended=10.95), lives=(killed,))) == []
    assert rules(history(tried(answer="unsent", crossed=10.05), attempt(at=10.0), lives=(killed,))) == []
    elsewhere = replace(killed, router="r2")
    assert rules(history(tried(answer="cut"), attempt(), lives=(elsewhere,))) == ["lost"]
    long_ago = replace(killed, told_to_end=2.0, exited=2.0)
    assert rules(history(tried(answer="cut"), attempt(), lives=(long_ago,))) == ["lost"]


@pytest.mark.parametrize(
    ("waited", "slept_until", "rule"),
    [
        (0.06, 0.0, "starved"),
        (0.04, 0.0, "lost"),  # not over 50 ms, nor over 25 % of the 950 ms that it had
        (0.04, 10.82, "starved"),  # over 25 % of 130 ms: stopped until then, with the request unread
        (0.02, 10.82, "lost"),
    ],
)
def test_request_whose_router_got_no_core_counts_as_starved_and_not_as_lost(
    waited: float, slept_until: float, rule: str
) -> None:
    recorded = history(tried(answer="none", ended=10.95))
    recorded.starved.append(("r1", 10.8, 10.9, waited))
    if slept_until:
        recorded.stops.append(("r1", 9.0, slept_until))
    assert rules(recorded) == [rule]


def test_graceful_shutdown_loses_nothing_and_an_exit_without_a_signal_is_a_crash() -> None:
    planned = ProcessLifetime("r1", 0.0, 0.1, told_to_end=10.05, wanted="TERM", exited=10.8, code=0)
    assert rules(history(lives=(planned,))) == []
    assert rules(history(tried(answer="cut"), attempt(), lives=(planned,))) == ["lost"]
    assert rules(history(lives=(replace(planned, code=1),))) == ["lost"]
    assert rules(history(lives=(ProcessLifetime("r1", 0.0, 0.1, exited=5.0, code=0),))) == ["lost"]


# The rule "twice": no request takes effect twice


@pytest.mark.parametrize(
    ("ask", "first", "second", "broken"),
    [
        (2, "served", 2.4, False),
        (2, "served", 2.6, True),
        (2, "gone", 2.6, True),
        (2, "open", 2.6, True),
        (2, "busy", 2.6, False),
        (3, "served", 0.1, True),
        (3, "gone", 0.1, True),
        (3, "busy", 0.1, False),
        (1, "served", 9.0, False),
    ],
)
def test_request_that_may_have_run_is_sent_again_only_as_its_class_allows(
    ask: int, first: str, second: float, broken: bool
) -> None:
    recorded = history(
        tried(ask=ask, answer="served", server="store", serial=2, ended=30.0, wait=30.0),
        attempt(server="store", result=first, serial=1, at=10.0),
        attempt(server="store", result="served", serial=2, at=10.0 + second),
    )
    assert rules(recorded) == (["twice"] if broken else [])


@pytest.mark.parametrize(
    ("ask", "second", "came", "broken"),
    [
        (3, 10.201, 10.1, True),  # both arrived while their servers had no core, the second one 0.1 s later
        (3, 10.199, 10.1, True),  # and the second one was read first
        (2, 12.6, 12.44, False),  # arrived within the dedup window, and was read after it
        (2, 12.6, 12.58, True),
        (2, 12.0, 11.9, True),  # arrived and was read within the window: its effect is a second one
    ],
)
def test_repeated_attempt_is_judged_by_its_arrival_and_not_by_its_read_time(
    ask: int, second: float, came: float, broken: bool
) -> None:
    recorded = history(
        tried(ask=ask, answer="served", server="store", serial=2, ended=30.0, wait=30.0),
        attempt(
            server="store",
            result="served",
            serial=1,
            at=10.2 if ask == 3 else 10.0,
            arrived=10.0,
            effect=True,
        ),
        attempt(server="store", result="served", serial=2, at=second, arrived=came, effect=True),
    )
    assert set(rules(recorded)) == ({"twice"} if broken else set())


def test_drain_rule_judges_an_attempt_by_its_arrival() -> None:
    sent = EndpointStateSent("r1", "n1", "draining", 9.0, 8.0)
    assert rules(history(sent, tried(), attempt(at=9.7, arrived=9.54))) == []
    assert rules(history(sent, tried(), attempt(at=9.7, arrived=9.56))) == ["late_drain"]


def test_effect_that_happened_twice_is_detected_within_its_dedup_window() -> None:
    recorded = history(
        tried(ask=2, server="store", serial=2, ended=12.0),
        attempt(server="store", result="served", serial=1, effect=True),
        attempt(server="store", result="served", serial=2, effect=True, at=11.0),
    )
    assert rules(recorded) == ["twice"]


def test_unsafe_request_must_not_be_rejected_once_it_may_have_run() -> None:
    refused = tried(ask=3, answer="refused")
    assert rules(history(refused, attempt(server="store", result="served"))) == ["twice"]
    assert rules(history(refused, attempt(server="store", result="busy"))) == []
    assert rules(history(tried(ask=2, answer="refused"), attempt(server="store", result="served"))) == []


def test_cache_miss_at_a_node_has_no_effect() -> None:
    recorded = history(
        tried(ask=3, server="store", serial=5),
        attempt(result="miss"),
        attempt(server="store", result="served", serial=5, at=10.05),
    )
    assert rules(recorded) == []


# The rule "late_drain"


def test_attempt_after_the_drain_grace_is_detected() -> None:
    sent = EndpointStateSent("r1", "n1", "draining", 9.0, 8.0)
    assert rules(history(sent, tried(), attempt(at=9.54))) == []
    assert rules(history(sent, tried(), attempt(at=9.56))) == ["late_drain"]
    assert rules(history(replace_record(sent, state="removed"), tried(), attempt(at=9.56))) == ["late_drain"]


def replace_record(record: EndpointStateSent, **changes: Any) -> EndpointStateSent:
    fields = {name: getattr(record, name) for name in EndpointStateSent.__struct_fields__}
    return EndpointStateSent(**{**fields, **changes})


def test_drain_counts_from_its_first_notice_and_ends_when_the_server_is_up_again() -> None:
    first = EndpointStateSent("r1", "n1", "draining", 9.0, 8.0)
    again = EndpointStateSent("r1", "n1", "removed", 9.9, 9.8)
    up = EndpointStateSent("r1", "n1", "up", 9.95, 9.9)
    assert rules(history(first, again, tried(), attempt())) == ["late_drain"]
    assert rules(history(first, again, up, tried(), attempt())) == []


def test_drain_notice_counts_only_for_the_router_process_that_got_it() -> None:
    sent = EndpointStateSent("r1", "n1", "draining", 5.0, 4.0)
    assert rules(history(sent, tried(router="r2"), attempt(), lives=(ProcessLifetime("r2", 0.0),))) == []
    lives = (
        ProcessLifetime("r1", 0.0, told_to_end=6.0, wanted="KILL", exited=6.0),
        ProcessLifetime("r1", 7.0),
    )
    assert rules(history(sent, tried(), attempt(), lives=lives)) == []


def test_state_that_was_never_written_counts_as_told_after_six_seconds() -> None:
    available = EndpointStateAvailable("r1", "n1", "draining", 3.0)
    assert rules(history(available, tried(), attempt(at=9.5))) == []
    assert rules(history(available, tried(), attempt(at=9.6))) == ["late_drain"]
    # An older state of the view does not replace a newer one that was written to the router.
    newer = EndpointStateSent("r1", "n1", "up", 5.0, 4.5)
    assert rules(history(available, newer, tried(), attempt(at=9.6))) == []


def test_later_state_of_a_view_replaces_an_older_one_when_neither_was_written() -> None:
    # Found by bench/scenarios/by-hand.toml, seed 87: a state that a view had at 4 s counted as older than the
    # state before it, which the view had at 3 s and which counts as told at 9 s.
    removed, up_again = (
        EndpointStateAvailable("r1", "n1", "removed", 3.0),
        EndpointStateAvailable("r1", "n1", "up", 3.5),
    )
    assert rules(history(removed, up_again, tried(), attempt(at=9.7))) == []
    sent = EndpointStateSent("r1", "n1", "up", 3.5, 3.5)  # written at the moment at which the view had both
    removed_then = EndpointStateAvailable("r1", "n1", "removed", 3.5)
    recorded = history(removed_then, up_again, sent, tried(ended=10.5), attempt(at=10.4, ended=10.45))
    assert rules(recorded) == []


def test_new_process_knows_its_view_at_its_start_and_no_earlier_state() -> None:
    # Found by bench/scenarios/black-start.toml, seeds 2 and 6.
    removed, up_again = (
        EndpointStateAvailable("r1", "n1", "removed", 3.0),
        EndpointStateAvailable("r1", "n1", "up", 4.0),
    )
    lives = (
        ProcessLifetime("r1", 0.0, told_to_end=4.1, wanted="KILL", exited=4.1),
        ProcessLifetime("r1", 4.2),
    )
    assert rules(history(removed, up_again, tried(), attempt(at=9.7), lives=lives)) == []
    at_once = EndpointStateAvailable("r1", "n1", "up", 3.0)
    sent = EndpointStateSent("r1", "n1", "up", 3.0, 3.0)  # to the process that was killed
    assert rules(history(removed, at_once, sent, tried(), attempt(at=9.7), lives=lives)) == []
    assert rules(history(removed, tried(), attempt(at=9.7), lives=lives)) == ["late_drain"]


def test_notice_to_a_process_that_has_exited_does_not_count() -> None:
    # Found by bench/scenarios/black-start.toml, seeds 9 and 11: discovery answers the watch of a process
    # before it notices the process's exit.
    lives = (
        ProcessLifetime("r1", 0.0, told_to_end=8.0, wanted="KILL", exited=8.0),
        ProcessLifetime("r1", 8.1),
    )
    sent = EndpointStateSent("r1", "n1", "draining", 8.2, 8.2)
    watch = DiscoveryCall("r1", 7.0, full=False)
    assert rules(history(watch, sent, tried(), attempt(), lives=lives)) == []
    again = DiscoveryCall("r1", 8.15, full=False)
    assert rules(history(watch, again, sent, tried(), attempt(), lives=lives)) == ["late_drain"]


def test_server_in_maintenance_gets_no_attempts_whatever_discovery_says() -> None:
    out, back = OverrideAccepted("r1", "n1", True, 9.0), OverrideAccepted("r1", "n1", False, 9.9)
    up = EndpointStateSent("r1", "n1", "up", 9.2, 9.1)
    assert rules(history(out, up, tried(), attempt())) == ["late_drain"]
    assert rules(history(out, up, tried(), attempt(at=9.54))) == []  # within the grace
    assert rules(history(out, OverrideAccepted("r1", "n1", True, 9.8), back, tried(), attempt())) == []
    assert rules(history(out, OverrideAccepted("r1", "n1", True, 9.8), tried(), attempt())) == ["late_drain"]
    assert rules(history(out, tried(router="r2"), attempt(), lives=(ProcessLifetime("r2", 0.0),))) == []
    lives = (
        ProcessLifetime("r1", 0.0, told_to_end=9.5, wanted="TERM", exited=9.5),
        ProcessLifetime("r1", 9.6),
    )
    assert "late_drain" not in rules(history(out, tried(), attempt(), lives=lives))


# The rule "felled": a cold endpoint is not overloaded


def test_overloaded_cold_node_is_detected() -> None:
    assert rules(history(WarmUpCrash("n1", 5.0, 2.0, 1.0))) == ["felled"]


def test_counts_include_every_rule() -> None:
    broken = find_violations(history(WarmUpCrash("n1", 5.0, 2.0, 1.0), attempt("nobody")), CLASSES, GRACE)
    assert counts(broken) == {"lost": 1, "twice": 0, "late_drain": 0, "felled": 1}
    assert [violation.at for violation in broken] == sorted(violation.at for violation in broken)


# The lag of the emulator


def lag(worst: float, **over: int) -> Lag:
    buckets = [0] * (len(LAG_BOUNDS_MS) + 1)
    buckets[0] = 1000
    for bound, count in over.items():
        buckets[LAG_BOUNDS_MS.index(float(bound.strip("_")))] = count
    return Lag("nodes0", 5.0, worst, tuple(buckets))


def test_run_counts_if_the_emulator_was_in_time() -> None:
    verdict = check_lag([lag(0.004, _4=5)], 5.0, 40.0)
    assert (verdict.p99_ms, verdict.worst_ms, verdict.void) == (0.5, 4.0, "")


def test_late_emulator_makes_the_run_void() -> None:
    assert "late once" in check_lag([lag(0.2)], 5.0, 40.0).void
    assert "99th percentile" in check_lag([lag(0.02, _20=100)], 5.0, 40.0).void
    assert "no reading" in check_lag([], 5.0, 40.0).void
    assert "no reading" in check_lag([lag(0.0)], 5.0, 40.0, begun=6.0).void
