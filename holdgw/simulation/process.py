"""A simulated process: its event loop, clocks, signals, descriptors and exit."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from holdgw.simulation.loop import ProcessLoop
from holdgw.simulation.world import NS_PER_S, Handle, World

if TYPE_CHECKING:
    from holdgw.simulation.network import Host, Network

UNIX_START_NS = 1_700_000_000 * NS_PER_S
PPM = 1_000_000
MAX_UPTIME_NS = 3_600 * NS_PER_S  # monotonic clocks of processes start at a random value below
OWN_DESCRIPTORS = 3


@dataclass(slots=True)
class Leftovers:
    """The resources that a process still held when it exited."""

    tasks: list[asyncio.Task[Any]]
    descriptors: list[Any]
    timers: list[Handle]


class Process:
    """A program on a host.

    `drift_ppm` is the rate error of its monotonic clock in parts per million, positive for a fast clock.
    With `fine_timers`, its timers have a finer resolution than uvloop's milliseconds. `max_descriptors`
    limits the descriptors that it holds.
    """

    def __init__(
        self,
        world: World,
        network: Network,
        host: Host,
        name: str,
        drift_ppm: int = 0,
        fine_timers: bool = True,
        max_descriptors: int = 1 << 30,
    ) -> None:
        self.world, self.network, self.host, self.name = world, network, host, name
        self.listen_hosts = [host]
        """Hosts on whose addresses the process may listen: its own, and others whose servers it runs."""
        self.alive, self.stopped = True, False
        self.exit_code: int | None = None
        self.on_exit: Callable[[Process], None] = lambda _: None
        self.kill_after: int | None = None  # callbacks that still run before the process is killed
        self.max_descriptors = max_descriptors
        self.open_descriptors: dict[Any, None] = {}  # the holders: transports, listeners and links
        self.peak_descriptors = 0
        self.main: asyncio.Task[int] | None = None
        self.leftovers: Leftovers | None = None
        self.faults: list[str] = []
        """Errors that the process did not handle, as text: in callbacks, its main coroutine or its start."""
        self._drift = drift_ppm
        self._started_at = world.now
        self._initial_local_time = world.random.randrange(MAX_UPTIME_NS)
        self._wall_clock_offset = 0
        self._deferred: list[Handle] = []
        self._handlers: dict[int, Callable[[], object]] = {}
        # Methods of the abstract loop that ProcessLoop lacks raise NotImplementedError, as intended.
        self.loop = ProcessLoop(self, fine_timers)  # type: ignore[abstract]
        world.processes.append(self)

    # Clocks

    def local_time(self, at: int) -> int:
        """Return the process's monotonic clock at a simulated time, both in nanoseconds."""
        elapsed = at - self._started_at
        return self._initial_local_time + elapsed + elapsed * self._drift // PPM

    def world_time(self, local: int) -> int:
        """Return the first simulated time at which the process's monotonic clock shows `local`."""
        elapsed = local - self._initial_local_time
        if not self._drift:
            return self._started_at + elapsed
        at = self._started_at + elapsed * PPM // (PPM + self._drift)
        while self.local_time(at) < local:
            at += 1
        return at

    def monotonic_ns(self) -> int:
        """Return the process's monotonic clock, in nanoseconds."""
        return self.local_time(self.world.now)

    def unix_ns(self) -> int:
        """Return the process's wall clock, in nanoseconds since 1970; a fault may set it."""
        return UNIX_START_NS + self.world.now + self._wall_clock_offset

    def step_wall_clock(self, nanoseconds: int) -> None:
        """Set the wall clock forward or, with a negative value, back."""
        self._wall_clock_offset += nanoseconds
        self.world.trace.add(self.world.now, self.name, "clock", str(nanoseconds))

    def share_clock(self, other: Process) -> None:
        """Use the clocks of another process of the same machine."""
        self._drift, self._started_at, self._initial_local_time, self._wall_clock_offset = (
            other._drift,
            other._started_at,
            other._initial_local_time,
            other._wall_clock_offset,
        )

    # Running and exiting

    @property
    def running(self) -> bool:
        """Whether the process is alive and not stopped."""
        return self.alive and not self.stopped

    def start(self, main: Coroutine[Any, Any, int]) -> None:
        """Run a program's main coroutine; its result is the exit code."""
        self.world.trace.add(self.world.now, self.name, "start")
        self.main = self.loop.create_task(main)
        self.main.add_done_callback(self._exit_with_main)

    def _exit_with_main(self, main: asyncio.Task[int]) -> None:
        if main.cancelled():
            self._end(1)
        elif (error := main.exception()) is not None:
            self.faults.append(f"{type(error).__name__}: {error}")
            self._end(1)
        else:
            self._end(main.result())

    def defer(self, handle: Handle) -> None:
        """Keep a call that is due while the process is stopped until it resumes; a dead process gets none."""
        if self.alive:
            self._deferred.append(handle)

    def stop(self) -> None:
        """Stop running, as by SIGSTOP; the kernel's half of its connections works on."""
        self.stopped = True
        self.world.trace.add(self.world.now, self.name, "stop")

    def resume(self) -> None:
        """Run again, as by SIGCONT."""
        if not self.stopped:
            return
        self.stopped = False
        self.world.trace.add(self.world.now, self.name, "continue")
        deferred, self._deferred = self._deferred, []
        for handle in deferred:
            if not handle.cancelled():
                self.world.requeue(handle)

    def kill(self, after: int = 0) -> None:
        """Exit, as by SIGKILL: at once, or after `after` more callbacks, at whichever await that hits."""
        if after:
            self.kill_after = after
        else:
            self._end(-signal.SIGKILL)

    def count_down_to_kill(self) -> None:
        """Count a callback that ran, and exit after the last one that `kill` allowed."""
        assert self.kill_after is not None
        self.kill_after -= 1
        if self.kill_after <= 0:
            self._end(-signal.SIGKILL)

    def _end(self, code: int) -> None:
        if not self.alive:
            return
        self.alive, self.exit_code = False, code
        self.kill_after = None
        self._deferred.clear()
        self.leftovers = Leftovers(
            [task for task in self.loop.tasks if not task.done()],
            list(self.open_descriptors),
            self.world.pending(self),
        )
        self.world.trace.add(self.world.now, self.name, "exit", str(code))
        for holder in list(self.open_descriptors):
            holder.process_died()
        self.open_descriptors.clear()
        self.on_exit(self)

    # Signals

    def on_signal(self, number: int, callback: Callable[[], object]) -> None:
        """Set the handler of a signal."""
        self._handlers[number] = callback

    def off_signal(self, number: int) -> bool:
        """Remove the handler of a signal; returns whether there was one."""
        return self._handlers.pop(number, None) is not None

    def send_signal(self, number: signal.Signals) -> None:
        """Send the process a signal; without a handler it ends the process."""
        if not self.alive:
            return
        self.world.trace.add(self.world.now, self.name, "signal", number.name)
        if number is signal.SIGKILL:
            self._end(-number)
        elif number is signal.SIGSTOP:
            self.stop()
        elif number is signal.SIGCONT:
            self.resume()
        elif number in self._handlers:
            self.world.soon(self, self._handlers[number])
        else:
            self._end(-number)

    # Descriptors

    def take_descriptor(self, holder: Any) -> None:
        """Open a descriptor for its holder; raises OSError (EMFILE) at the limit."""
        if len(self.open_descriptors) + OWN_DESCRIPTORS >= self.max_descriptors:
            raise OSError(24, "Too many open files")
        self.open_descriptors[holder] = None
        self.peak_descriptors = max(self.peak_descriptors, len(self.open_descriptors))

    def free_descriptor(self, holder: Any) -> None:
        """Close the descriptor of a holder."""
        self.open_descriptors.pop(holder, None)
