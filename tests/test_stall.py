"""A process that stood still knows for how long what it reads next may have waited."""

from __future__ import annotations

import pytest

from holdgw.router.stall import SLACK_NS, Beats

MS = 1_000_000
EVERY = 20 * MS


def beating(until: int) -> Beats:
    beats = Beats(EVERY, 0)
    for now in range(EVERY, until + 1, EVERY):
        assert beats.beat(now) == 0
    return beats


def test_a_process_that_beats_has_let_nothing_wait() -> None:
    beats = beating(200 * MS)
    assert beats.may_have_waited(200 * MS + EVERY + SLACK_NS) == 0
    assert beats.beat(200 * MS + EVERY + SLACK_NS) == 0  # a late beat on a busy machine is no stall
    assert beats.may_have_waited(260 * MS) == 0


@pytest.mark.parametrize("first", ["read", "beat"])
def test_what_is_read_after_a_stall_may_have_waited_since_it_began(first: str) -> None:
    beats = beating(200 * MS)
    wakes = 2_200 * MS
    if first == "beat":  # the loop may look at its timers before its sockets
        assert beats.beat(wakes) == wakes - 200 * MS
    assert beats.may_have_waited(wakes) == wakes - 200 * MS
    assert beats.may_have_waited(wakes + MS) == wakes + MS - 200 * MS


def test_a_beat_after_the_stall_ends_the_doubt() -> None:
    beats = beating(200 * MS)
    beats.beat(2_200 * MS)
    beats.beat(2_220 * MS)
    assert beats.may_have_waited(2_225 * MS) == 0
