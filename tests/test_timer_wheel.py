"""Time-outs on one timer: never early, none lost, none twice."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

from hypothesis import given
from hypothesis import strategies as st

from holdgw.router.timer_wheel import GRAIN, TimerWheel


class Clock:
    """A clock that is set, and the one timer of a loop that goes by it."""

    def __init__(self) -> None:
        self.now = 7 * GRAIN + 3
        self.due: int | None = None
        self.callback: Callable[[], None] | None = None
        self.faults: list[dict[str, Any]] = []
        self.timers = 0

    def call_later(self, delay: float, callback: Callable[[], None]) -> Clock:
        assert self.callback is None, "two timers of the loop at once"
        self.due, self.callback = self.now + int(delay * 1e9), callback
        self.timers += 1
        return self

    def cancel(self) -> None:
        self.due = self.callback = None

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        self.faults.append(context)

    def run_until(self, end: int) -> None:
        while self.due is not None and self.due <= end:
            callback = self.callback
            assert callback is not None
            self.now = max(self.now, self.due)
            self.cancel()
            callback()
        self.now = end


def wheel() -> tuple[Clock, TimerWheel]:
    clock = Clock()
    return clock, TimerWheel(cast(asyncio.AbstractEventLoop, clock), lambda: clock.now)


@given(
    st.lists(
        st.tuples(st.integers(0, 50 * GRAIN), st.integers(-5 * GRAIN, 60 * GRAIN), st.booleans()), max_size=40
    )
)
def test_each_comes_once_in_its_time_unless_cancelled(plan: list[tuple[int, int, bool]]) -> None:
    clock, timeouts = wheel()
    begun, came = clock.now, dict[int, list[int]]()
    set_at: dict[int, int] = {}
    for i, (at, wait, _) in sorted(enumerate(plan), key=lambda pair: pair[1][0]):
        clock.run_until(max(begun + at, clock.now))
        set_at[i] = clock.now
        one = timeouts.call_at(clock.now + wait, lambda i=i: came.setdefault(i, []).append(clock.now))  # type: ignore[misc]
        if plan[i][2]:
            one.cancel()
            one.cancel()
    clock.run_until(clock.now + 100 * GRAIN)
    assert len(timeouts) == 0
    assert clock.callback is None
    for i, (_, wait, cancelled) in enumerate(plan):
        if cancelled:
            assert i not in came
        else:
            due = set_at[i] + wait
            (when,) = came[i]
            assert due <= when <= max(due, set_at[i]) + 2 * GRAIN


def test_what_a_callback_sets_for_at_once_waits_for_the_next_turn() -> None:
    clock, timeouts = wheel()
    times: list[int] = []

    def again() -> None:
        times.append(clock.timers)
        if len(times) < 3:
            timeouts.call_at(clock.now, again)

    timeouts.call_at(clock.now, again)
    clock.run_until(clock.now + 5 * GRAIN)
    assert len(set(times)) == 3


def test_a_callback_that_fails_takes_no_other_with_it_and_one_may_cancel_its_neighbour() -> None:
    clock, timeouts = wheel()
    came: list[str] = []

    def fails() -> None:
        raise ValueError("planted")

    timeouts.call_at(clock.now, fails)
    timeouts.call_at(clock.now, lambda: came.append("kept"))
    timeouts.call_at(clock.now, lambda: neighbour.cancel())
    neighbour = timeouts.call_at(clock.now, lambda: came.append("cancelled"))
    clock.run_until(clock.now + 5 * GRAIN)
    assert came == ["kept"]
    assert [str(fault["exception"]) for fault in clock.faults] == ["planted"]


def test_an_earlier_one_moves_the_timer_and_a_closed_wheel_sets_none() -> None:
    clock, timeouts = wheel()
    came: list[str] = []
    timeouts.call_at(clock.now + 40 * GRAIN, lambda: came.append("late"))
    timeouts.call_at(clock.now + 5 * GRAIN, lambda: came.append("soon"))
    clock.run_until(clock.now + 8 * GRAIN)
    assert came == ["soon"]
    timeouts.close()
    timeouts.call_at(clock.now, lambda: came.append("closed")).cancel()
    timeouts.call_at(clock.now, lambda: came.append("closed"))
    assert clock.callback is None
    clock.run_until(clock.now + 90 * GRAIN)
    assert came == ["soon"]
