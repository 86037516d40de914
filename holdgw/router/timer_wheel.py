"""Time-outs by the millisecond, all on one timer of the event loop.

Nearly every time-out is cancelled: an attempt has its answer long before. A timer of the loop costs 2 to 3 us
to set and cancel; an entry in a table costs a tenth of that. (Varghese and Lauck, "Hashed and Hierarchical
Timing Wheels", 1987, scheme 6; the slots in use are in a heap: a quiet router has few, and far apart.)
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from heapq import heappop, heappush

NS_PER_S = 1_000_000_000
GRAIN = 1_000_000  # ns; the loop's own timers are no finer
ROUNDING_S = 0.0005  # the loop rounds delays to the nearest millisecond


class Timer:
    """One time-out; it is called once or not at all."""

    __slots__ = ("_wheel", "callback", "tick")

    def __init__(self, wheel: TimerWheel, tick: int, callback: Callable[[], None]) -> None:
        self._wheel, self.tick = wheel, tick
        self.callback: Callable[[], None] | None = callback  # None: called or cancelled

    def cancel(self) -> None:
        """Never call back."""
        if self.callback is not None:
            self.callback = None
            self._wheel.drop(self)


class TimerWheel:
    """All time-outs of one owner, who closes it."""

    def __init__(self, loop: asyncio.AbstractEventLoop, now: Callable[[], int]) -> None:
        """`now`: nanoseconds, and never goes back."""
        self._loop, self._now = loop, now
        self._slots: dict[int, dict[Timer, None]] = {}
        self._ticks: list[int] = []  # those of the slots; a heap
        self._timer: asyncio.TimerHandle | None = None
        self._armed = 0  # the tick that the timer is set for
        self._closed = False

    def __len__(self) -> int:
        """How many time-outs are set."""
        return sum(map(len, self._slots.values()))

    def call_at(self, due: int, callback: Callable[[], None]) -> Timer:
        """Call back once the clock shows `due` (ns), at most a few milliseconds later; never before."""
        tick = -(-due // GRAIN)
        time_out = Timer(self, tick, callback)
        if self._closed:
            return time_out
        slot = self._slots.get(tick)
        if slot is None:
            slot = self._slots[tick] = {}
            heappush(self._ticks, tick)
            if self._timer is None or tick < self._armed:
                self._arm()
        slot[time_out] = None
        return time_out

    def drop(self, time_out: Timer) -> None:
        """Forget a time-out. Its slot stays until its time has come: at most one for each millisecond."""
        slot = self._slots.get(time_out.tick)
        if slot is not None:
            slot.pop(time_out, None)

    def _arm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._armed = self._ticks[0]
        delay = max(self._armed * GRAIN - self._now(), 0) / NS_PER_S
        self._timer = self._loop.call_later(delay + ROUNDING_S, self._fire)

    def _fire(self) -> None:
        self._timer = None
        now = self._now()
        due: list[Timer] = []
        while self._ticks and self._ticks[0] * GRAIN <= now:
            due += self._slots.pop(heappop(self._ticks))
        # Danger: what a callback sets for at once would be called in this turn, and so on without end, if
        # the slots were looked at again here. And one that fails would take the others' time-outs with it.
        for time_out in due:
            callback, time_out.callback = time_out.callback, None
            if callback is not None:
                try:
                    callback()
                except Exception as error:
                    self._loop.call_exception_handler(
                        {"message": "a time-out's callback failed", "exception": error}
                    )
        self._arm_again()

    def _arm_again(self) -> None:
        # Apart from `_fire`: there the type checker, and so the compiled code, believes that the timer is
        # still None, though a callback may have set it.
        if self._ticks and self._timer is None:
            self._arm()

    def close(self) -> None:
        """Forget all, and call back for nothing any more."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._slots.clear()
        self._ticks.clear()
