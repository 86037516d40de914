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
MAX_CALLBACKS_PER_INSTANT = 100_000  # more without time advancing count as a spin
SPIN_SAMPLE_SIZE = 1_000  # the last callbacks of a spin, counted to name the busiest


class SpinError(Exception):
    """Callbacks schedule each other without time advancing; the message names the most frequent ones."""


class Handle(asyncio.TimerHandle):
    """A scheduled call into a process or, where `process` is None, into the simulation itself."""

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
        """Cancel the call."""
        self._cancelled = True
        # The heap keeps a cancelled entry until it is due; its callback and arguments are released now.
        self._callback = self._args = None

    def cancelled(self) -> bool:
        """Whether the call was cancelled."""
        return self._cancelled

    def when(self) -> float:
        """Return the due time in seconds, on the clock of its process if it has one."""
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
    """Return a callback's qualified name for messages; a step of a task is named after its coroutine."""
    owner = getattr(callback, "__self__", None)
    if isinstance(owner, asyncio.Task):
        coroutine = owner.get_coro()
        return f"task {getattr(coroutine, '__qualname__', coroutine)}"
    name = getattr(callback, "__qualname__", None) or type(callback).__name__
    if owner is not None and "." not in name:
        name = f"{type(owner).__name__}.{name}"
    return f"{getattr(callback, '__module__', None) or ''}.{name}".lstrip(".")


class World:
    """The clock, the random source and the queue of calls of one simulated run."""

    def __init__(self, seed: int, trace: Trace | None = None) -> None:
        self.seed, self.now = seed, START_NS
        self.trace = trace or Trace()
        self.random = random.Random(f"{seed}/world")
        self.processes: list[Process] = []
        self.current: Process | None = None
        self.callbacks = 0
        self.failure: BaseException | None = None
        self.ended = False
        """True while the run is taken down: faults that still occur are ignored."""
        self._ready: deque[Handle] = deque()
        self._scheduled: list[tuple[int, int, Handle]] = []
        self._sequence = 0
        self._running = False

    @property
    def seconds(self) -> float:
        """The simulated time in seconds."""
        return self.now / NS_PER_S

    def soon(
        self,
        process: Process | None,
        callback: Callable[..., object],
        args: tuple[Any, ...] = (),
        context: Context | None = None,
    ) -> Handle:
        """Schedule a call at this instant, after the calls that are ready already."""
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
        """Schedule a call at the simulated time `due`, in nanoseconds."""
        handle = Handle(process, callback, args, context, due)
        self._sequence += 1
        heapq.heappush(self._scheduled, (max(due, self.now), self._sequence, handle))
        return handle

    def requeue(self, handle: Handle) -> None:
        """Schedule a deferred call at this instant, after the calls that are ready already."""
        self._ready.append(handle)

    def pending(self, process: Process) -> list[Handle]:
        """Return the calls scheduled for a process, in no particular order."""
        calls = (*self._ready, *(handle for _, _, handle in self._scheduled))
        return [call for call in calls if call.process is process and not call._cancelled]

    def enter(self, process: Process | None) -> None:
        """Make a process the current one, and its loop the running loop of asyncio."""
        if self.current is not process:
            self.current = process
            events._set_running_loop(process.loop if process is not None else None)

    def call(self, process: Process, callback: Callable[..., object], *args: Any) -> None:
        """Call into a process at once; an exception goes to that process's exception handler."""
        previous = self.current
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
            self.enter(previous)

    def end(self) -> None:
        """Take down the run, and drop all tasks and calls that are left without a warning."""
        self.ended = True
        for process in self.processes:
            process.alive = False
            for task in process.loop.tasks:
                task._log_destroy_pending = False  # type: ignore[attr-defined]
                # `finally` blocks run here, but their process is dead and all that they schedule is dropped.
                with contextlib.suppress(Exception):
                    task.get_coro().close()
        self._ready.clear()
        self._scheduled.clear()

    def stop(self) -> None:
        """Have `run` return before the next call."""
        self._running = False

    def fail(self, error: BaseException) -> None:
        """End the run with an error, which `run` raises; the first one counts."""
        if self.failure is None:
            self.failure = error
        self._running = False

    def run(self, until: int | None = None) -> None:
        """Run until no call is left, the time `until` (ns) is reached, or `stop` is called.

        Raises SpinError, and the error given to `fail`.
        """
        if events._get_running_loop() is not None:
            raise RuntimeError("a world can't run inside a running loop")
        self._running = True
        ready, scheduled = self._ready, self._scheduled
        callbacks_in_instant = 0
        recent: deque[str] = deque(maxlen=SPIN_SAMPLE_SIZE)
        try:
            while self._running:
                if ready:
                    handle = ready.popleft()
                    callbacks_in_instant += 1
                    if callbacks_in_instant > MAX_CALLBACKS_PER_INSTANT - SPIN_SAMPLE_SIZE:
                        recent.append(callback_name(handle._callback))
                        if callbacks_in_instant > MAX_CALLBACKS_PER_INSTANT:
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
                        callbacks_in_instant = 0
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
