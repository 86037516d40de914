"""Simulated time and the queue of all calls of a run.

Calls that are ready run first; time advances only when none is left, to the time of the next scheduled call.
One heap serves all processes and the network. Calls of one instant run in the order in which they were
scheduled, so a run depends on nothing but its seed, as in FoundationDB's simulation and TigerBeetle's VOPR.
"""

from __future__ import annotations

import asyncio
import contextlib
import heapq
import random
from asyncio import events
from collections import Counter, deque
from collections.abc import Callable
from contextvars import Context
from typing import TYPE_CHECKING, Any

from holdgw.simulation.trace import Trace

if TYPE_CHECKING:
    from holdgw.simulation.process import Process

NS_PER_S = 1_000_000_000
NS_PER_MS = 1_000_000
START_NS = 1_000 * NS_PER_S
MAX_CALLBACKS_PER_INSTANT = 100_000  # callbacks of one instant, beyond which it is a spin
SPIN_SAMPLE_SIZE = 1_000  # of them, the last ones, to name who spins


class SpinError(Exception):
    """Callbacks follow each other without time passing; the text names the recent."""


class Handle(asyncio.TimerHandle):
    """A call that is to be made in a process, or, where `process` is None, by the world itself."""

    __slots__ = ("due", "process")

    def __init__(
        self,
        process: Process | None,
        callback: Callable[..., object],
        args: tuple[Any, ...],
        context: Context | None,
        due: int = 0,
    ) -> None:
        self.process, self.due = process, due
        self._callback: Callable[..., object] | None = callback
        self._args: tuple[Any, ...] | None = args  # type: ignore[assignment]
        self._context: Context | None = context
        self._cancelled = False

    def cancel(self) -> None:
        """Never make the call."""
        self._cancelled = True
        # The heap keeps a cancelled entry until its time; what it would have called need not be kept so long.
        self._callback = self._args = None

    def cancelled(self) -> bool:
        """Whether it was cancelled."""
        return self._cancelled

    def when(self) -> float:
        """On its process's own clock, seconds."""
        return (
            self.process.local_time(self.due) / NS_PER_S if self.process is not None else self.due / NS_PER_S
        )

    def __repr__(self) -> str:
        return f"<{'cancelled ' * self._cancelled}{callback_name(self._callback)} due {self.due}>"

    def __hash__(self) -> int:
        return id(self)

    def __eq__(self, other: object) -> bool:
        return self is other


def callback_name(callback: Callable[..., object] | None) -> str:
    """What a callback is called; a task's step by its coroutine."""
    owner = getattr(callback, "__self__", None)
    if isinstance(owner, asyncio.Task):
        coroutine = owner.get_coro()
        return f"task {getattr(coroutine, '__qualname__', coroutine)}"
    name = getattr(callback, "__qualname__", None) or type(callback).__name__
    if owner is not None and "." not in name:
        name = f"{type(owner).__name__}.{name}"
    return f"{getattr(callback, '__module__', None) or ''}.{name}".lstrip(".")


class World:
    """Time, chance, and the queue of what happens."""

    def __init__(self, seed: int, trace: Trace | None = None) -> None:
        self.seed, self.now = seed, START_NS
        self.trace = trace or Trace()
        self.random = random.Random(f"{seed}/world")
        self.processes: list[Process] = []
        self.current: Process | None = None
        self.callbacks = 0
        self.failure: BaseException | None = None
        self.ended = False
        """Nothing is made of what comes now: the run is being taken down."""
        self._ready: deque[Handle] = deque()
        self._scheduled: list[tuple[int, int, Handle]] = []
        self._sequence = 0
        self._running = False

    @property
    def seconds(self) -> float:
        """The world's time in seconds."""
        return self.now / NS_PER_S

    def soon(
        self,
        process: Process | None,
        callback: Callable[..., object],
        args: tuple[Any, ...] = (),
        context: Context | None = None,
    ) -> Handle:
        """Call at this instant, behind what is ready already."""
        handle = Handle(process, callback, args, context, self.now)
        self._ready.append(handle)
        return handle

    def at(
        self,
        due: int,
        process: Process | None,
        callback: Callable[..., object],
        args: tuple[Any, ...] = (),
        context: Context | None = None,
    ) -> Handle:
        """Call when the world's clock shows `due`."""
        handle = Handle(process, callback, args, context, due)
        self._sequence += 1
        heapq.heappush(self._scheduled, (max(due, self.now), self._sequence, handle))
        return handle

    def requeue(self, handle: Handle) -> None:
        """Make a call that had been put off, behind what is ready already."""
        self._ready.append(handle)

    def pending(self, process: Process) -> list[Handle]:
        """Calls that a process is still to be given, in no order."""
        calls = (*self._ready, *(handle for _, _, handle in self._scheduled))
        return [call for call in calls if call.process is process and not call._cancelled]

    def enter(self, process: Process | None) -> None:
        """From here on this process is the one whose code runs."""
        if self.current is not process:
            self.current = process
            events._set_running_loop(process.loop if process is not None else None)

    def call(self, process: Process, callback: Callable[..., object], *args: Any) -> None:
        """Call into a process from the world; a fault there is that process's own."""
        before = self.current
        self.enter(process)
        try:
            callback(*args)
        except (SystemExit, KeyboardInterrupt):
            raise
        except BaseException as error:
            process.loop.call_exception_handler(
                {"message": f"fault in {callback_name(callback)}", "exception": error}
            )
        finally:
            self.enter(before)

    def end(self) -> None:
        """The run is over: what was left of its tasks is forgotten without a word."""
        self.ended = True
        for process in self.processes:
            process.alive = False
            for task in process.loop.tasks:
                task._log_destroy_pending = False  # type: ignore[attr-defined]
                # What it would still do to end itself in good order goes to a loop that takes nothing in.
                with contextlib.suppress(Exception):
                    task.get_coro().close()
        self._ready.clear()
        self._scheduled.clear()

    def stop(self) -> None:
        """Let `run` return before it goes on to the next call."""
        self._running = False

    def fail(self, error: BaseException) -> None:
        """The run can't go on: `run` raises this."""
        if self.failure is None:
            self.failure = error
        self._running = False

    def run(self, until: int | None = None) -> None:
        """Go on until nothing is left to do, `until` is reached, or `stop` is called. Raises SpinError, and
        what `fail` was given.
        """
        if events._get_running_loop() is not None:
            raise RuntimeError("a world can't run inside a running loop")
        self._running = True
        ready, scheduled = self._ready, self._scheduled
        in_this_instant = 0
        recent: deque[str] = deque(maxlen=SPIN_SAMPLE_SIZE)
        try:
            while self._running:
                if ready:
                    handle = ready.popleft()
                    in_this_instant += 1
                    if in_this_instant > MAX_CALLBACKS_PER_INSTANT - SPIN_SAMPLE_SIZE:
                        recent.append(callback_name(handle._callback))
                        if in_this_instant > MAX_CALLBACKS_PER_INSTANT:
                            raise self._spin_error(recent)
                elif scheduled:
                    due, _, handle = scheduled[0]
                    if until is not None and due > until:
                        self.now = until
                        break
                    heapq.heappop(scheduled)
                    if handle._cancelled:
                        continue
                    if due > self.now:
                        self.now = due
                        in_this_instant = 0
                else:
                    break
                if not handle._cancelled:
                    self._run_handle(handle)
        finally:
            self.enter(None)
            self._running = False
        if self.failure is not None:
            raise self.failure

    def _run_handle(self, handle: Handle) -> None:
        process = handle.process
        if process is not None:
            if not process.running:
                process.defer(handle)
                return
            if self.current is not process:
                self.current = process
                events._set_running_loop(process.loop)
        elif self.current is not None:
            self.enter(None)
        self.callbacks += 1
        callback, args, context = handle._callback, handle._args, handle._context
        assert callback is not None
        assert args is not None
        try:
            if context is None:
                callback(*args)
            else:
                context.run(callback, *args)
        except (SystemExit, KeyboardInterrupt):
            raise
        except BaseException as error:
            if process is None:
                raise
            process.loop.call_exception_handler(
                {"message": f"fault in {callback_name(callback)}", "exception": error}
            )
        if process is not None and process.kill_after is not None:
            process.count_down_to_kill()

    def _spin_error(self, recent: deque[str]) -> SpinError:
        names = Counter(recent).most_common(3)
        listing = ", ".join(f"{name} ({count} of the last {len(recent)})" for name, count in names)
        return SpinError(
            f"a spin at {self.seconds:.6f} s: {MAX_CALLBACKS_PER_INSTANT} callbacks in one instant: {listing}"
        )
