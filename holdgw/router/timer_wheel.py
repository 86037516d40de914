"""Timers with a resolution of one millisecond, all driven by one timer of the event loop.

Nearly every timer is cancelled, because an attempt is answered long before its timeout. An entry in a table
costs a tenth of a timer of the event loop. The method is scheme 6 of Varghese and Lauck, "Hashed and
Hierarchical Timing Wheels", 1987; a heap orders the ticks in use, because at low load these are few and far
apart.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from heapq import heappop, heappush

from holdgw.policy import NS_PER_S
from holdgw.router.turn_share import TurnShare

TICK_NS = 1_000_000
"""Resolution of the timers; the event loop's own timers have no finer one."""
LOOP_ROUNDING_S = 0.0005
"""Half the event loop's resolution: it rounds delays to the nearest millisecond."""


class Timer:
    """One timer; its callback is called at most once."""

    __slots__ = ("_wheel", "callback", "tick")

    def __init__(self, wheel: TimerWheel, tick: int, callback: Callable[[], None]) -> None:
        self._wheel = wheel
        self.tick = tick
        self.callback: Callable[[], None] | None = callback
        """None once called or cancelled."""

    def cancel(self) -> None:
        """Cancel the callback, if it has not been called."""
        if self.callback is not None:
            self.callback = None
            self._wheel.remove(self)


class TimerWheel:
    """The timers of one owner, which closes the wheel."""

    def __init__(self, loop: asyncio.AbstractEventLoop, now_ns: Callable[[], int]) -> None:
        """`now_ns`: a monotonic clock in nanoseconds."""
        self._loop = loop
        self._now_ns = now_ns
        self._timers_by_tick: dict[int, dict[Timer, None]] = {}
        self._ticks: list[int] = []  # a heap of the keys above
        # Thousands of requests may fall due at once; the answers to others would wait for all of them.
        self._due: TurnShare[Timer] = TurnShare(loop, now_ns, self._call)
        self._loop_timer: asyncio.TimerHandle | None = None
        self._armed_tick = 0  # the tick that the loop's timer is set for
        self._closed = False

    def __len__(self) -> int:
        """The number of timers that are set."""
        due = sum(timer.callback is not None for timer in self._due.waiting)
        return due + sum(map(len, self._timers_by_tick.values()))

    def call_at(self, due_ns: int, callback: Callable[[], None]) -> Timer:
        """Call back once the clock shows `due_ns`, never before that and at most a few milliseconds later."""
        tick = -(-due_ns // TICK_NS)
        timer = Timer(self, tick, callback)
        if self._closed:
            return timer
        timers = self._timers_by_tick.get(tick)
        if timers is None:
            timers = {}
            self._timers_by_tick[tick] = timers
            heappush(self._ticks, tick)
            if self._loop_timer is None or tick < self._armed_tick:
                self._arm()
        timers[timer] = None
        return timer

    def remove(self, timer: Timer) -> None:
        """Remove a timer. Its tick stays in the heap until it is due: at most one for each millisecond."""
        timers = self._timers_by_tick.get(timer.tick)
        if timers is not None:
            timers.pop(timer, None)

    def close(self) -> None:
        """Remove all timers; those set later are never called."""
        self._closed = True
        if self._loop_timer is not None:
            self._loop_timer.cancel()
            self._loop_timer = None
        self._due.close()
        self._timers_by_tick.clear()
        self._ticks.clear()

    def _arm(self) -> None:
        if self._loop_timer is not None:
            self._loop_timer.cancel()
        self._armed_tick = self._ticks[0]
        delay_s = max(self._armed_tick * TICK_NS - self._now_ns(), 0) / NS_PER_S
        self._loop_timer = self._loop.call_later(delay_s + LOOP_ROUNDING_S, self._fire)

    def _fire(self) -> None:
        self._loop_timer = None
        now_ns = self._now_ns()
        due: list[Timer] = []
        while self._ticks and self._ticks[0] * TICK_NS <= now_ns:
            due += self._timers_by_tick.pop(heappop(self._ticks))
        # The heap is not checked again here: a callback that always sets a timer for now would keep this call
        # from returning.
        self._due.submit(due)
        self._arm_again()

    def _call(self, timer: Timer) -> None:
        """Call a timer's callback; an exception there must not keep the other timers from being called."""
        callback = timer.callback
        timer.callback = None
        if callback is not None:
            try:
                callback()
            except Exception as error:
                context = {"message": "timer callback failed", "exception": error}
                self._loop.call_exception_handler(context)

    def _arm_again(self) -> None:
        # A method of its own: within `_fire` the type checker, and so the compiled code, takes `_loop_timer`
        # for None, though a callback may have set it.
        if self._ticks and self._loop_timer is None:
            self._arm()
