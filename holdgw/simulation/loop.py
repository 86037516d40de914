"""asyncio's event loop over simulated time: one loop per process, on the process's own clock.

A router's timers are rounded as uvloop rounds them (to whole milliseconds, counted from a clock that is
itself truncated to milliseconds), so that code which relies on a finer resolution fails here as it would
there; the emulator's timers are exact. Features that need a real machine (threads, subprocesses, name
resolution, existing sockets, TLS) raise NotImplementedError.
"""

from __future__ import annotations

import asyncio
import contextvars
import math
from collections.abc import Callable, Coroutine, Generator
from contextvars import Context
from typing import TYPE_CHECKING, Any, NoReturn

from holdgw.simulation.world import NS_PER_MS, NS_PER_S, Handle

if TYPE_CHECKING:
    from holdgw.simulation.process import Process


class ProcessLoop(asyncio.AbstractEventLoop):
    """The event loop of one simulated process."""

    def __init__(self, process: Process, fine_timers: bool = False) -> None:
        self.process, self._fine_timers = process, fine_timers
        self._world = process.world
        self._handler: Callable[[asyncio.AbstractEventLoop, dict[str, Any]], object] | None = None
        self.tasks: dict[asyncio.Task[Any], None] = {}

    # Time and calls

    def time(self) -> float:
        """Return the monotonic clock in seconds, truncated to milliseconds like libuv's cached time."""
        if self._fine_timers:
            return self.process.monotonic_ns() / NS_PER_S
        return self.process.monotonic_ns() // NS_PER_MS / 1000

    def call_soon(  # type: ignore[override]
        self, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> Handle:
        """Schedule a call after those that are ready already."""
        return self._world.soon(self.process, callback, args, context or contextvars.copy_context())

    def call_soon_threadsafe(  # type: ignore[override]
        self, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> Handle:
        """Schedule a call like `call_soon`: there are no threads."""
        return self.call_soon(callback, *args, context=context)

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> Handle:
        """Schedule a call after `delay` seconds, rounded to milliseconds unless timers are fine."""
        process = self.process
        if self._fine_timers:
            if delay <= 0:
                return self.call_soon(callback, *args, context=context)
            local = process.monotonic_ns() + math.ceil(delay * NS_PER_S)
        else:
            step = round(delay * 1000)
            if step <= 0:
                return self.call_soon(callback, *args, context=context)
            local = (process.monotonic_ns() // NS_PER_MS + step) * NS_PER_MS
        return self._world.at(
            process.world_time(local), process, callback, args, context or contextvars.copy_context()
        )

    def call_at(  # type: ignore[override]
        self, when: float, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> Handle:
        """Schedule a call for the time `when` of the loop's clock."""
        return self.call_later(when - self.time(), callback, *args, context=context)

    def is_running(self) -> bool:
        """Whether the process's code is running now."""
        return self._world.current is self.process

    def is_closed(self) -> bool:
        """Whether the process has ended."""
        return not self.process.alive

    def get_debug(self) -> bool:
        """Return False: there is no debug mode."""
        return False

    def set_debug(self, enabled: bool) -> None:
        """Do nothing: there is no debug mode."""

    # Tasks and futures

    def create_future(self) -> asyncio.Future[Any]:
        """Create a future of this loop."""
        return asyncio.Future(loop=self)

    def create_task(
        self,
        coro: Coroutine[Any, Any, Any] | Generator[Any, None, Any],
        *,
        name: str | None = None,
        context: Context | None = None,
    ) -> asyncio.Task[Any]:
        """Create a task of this process, and keep a reference to it until it is done."""
        task: asyncio.Task[Any] = asyncio.Task(coro, loop=self, name=name, context=context)
        # The garbage collector frees an unreferenced task at a time that the seed does not determine, and a
        # task of a dead process would then run its `finally` blocks. This reference prevents it.
        self.tasks[task] = None
        task.add_done_callback(self._forget_task)
        return task

    def _forget_task(self, task: asyncio.Task[Any]) -> None:
        self.tasks.pop(task, None)

    # Faults

    def set_exception_handler(
        self, handler: Callable[[asyncio.AbstractEventLoop, dict[str, Any]], object] | None
    ) -> None:
        """Set the handler of exceptions in callbacks."""
        self._handler = handler

    def get_exception_handler(self) -> Callable[[asyncio.AbstractEventLoop, dict[str, Any]], object] | None:
        """Return the handler of exceptions in callbacks."""
        return self._handler

    def default_exception_handler(self, context: dict[str, Any]) -> None:
        """Record the exception in the trace."""
        self._world.trace.add(self._world.now, self.process.name, "fault", _describe_fault(context))

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Record the exception with the process, and call the handler."""
        if not self.process.alive or self._world.ended:
            return
        self.process.faults.append(_describe_fault(context))
        if self._handler is None:
            self.default_exception_handler(context)
        else:
            self._handler(self, context)

    # Signals

    def add_signal_handler(  # type: ignore[override]
        self, sig: int, callback: Callable[..., object], *args: Any
    ) -> None:
        """Set the process's handler of a signal."""
        self.process.on_signal(sig, lambda: callback(*args))

    def remove_signal_handler(self, sig: int) -> bool:
        """Remove the process's handler of a signal; returns whether there was one."""
        return self.process.off_signal(sig)

    # Network

    async def create_connection(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        host: str,
        port: int,
        *,
        local_addr: tuple[str, int] | None = None,
        **options: Any,
    ) -> tuple[asyncio.Transport, asyncio.BaseProtocol]:
        """Connect to a literal IP address."""
        _reject_options(options)
        return await self.process.network.connect(self.process, protocol_factory, (host, port), local_addr)

    async def create_server(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        host: str,
        port: int,
        *,
        backlog: int = 100,
        start_serving: bool = True,
        reuse_address: bool | None = None,
        **options: Any,
    ) -> asyncio.AbstractServer:
        """Listen on a literal IP address of the process's host; port 0 chooses a free port."""
        _reject_options(options)
        server = self.process.network.listen(self.process, protocol_factory, (host, port), backlog)
        if start_serving:
            await server.start_serving()
        return server

    async def create_datagram_endpoint(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], asyncio.DatagramProtocol],
        local_addr: tuple[str, int] | None = None,
        remote_addr: tuple[str, int] | None = None,
        **options: Any,
    ) -> tuple[asyncio.DatagramTransport, asyncio.DatagramProtocol]:
        """Open a datagram socket, bound or connected or both."""
        _reject_options(options)
        return await self.process.network.open_datagram_socket(
            self.process, protocol_factory, local_addr, remote_addr
        )

    async def getaddrinfo(self, host: Any, port: Any, **_: Any) -> NoReturn:
        """Raise NotImplementedError: there is no name resolution."""
        raise NotImplementedError("the simulation supports literal addresses only")

    def run_in_executor(self, executor: Any, func: Any, *args: Any) -> NoReturn:  # type: ignore[override]
        """Raise NotImplementedError: the seed could not determine when a thread runs."""
        raise NotImplementedError("threads can't be simulated")

    async def shutdown_asyncgens(self) -> None:
        """Do nothing: asynchronous generators are not tracked."""


def _describe_fault(context: dict[str, Any]) -> str:
    error = context.get("exception")
    return f"{context.get('message')}: {type(error).__name__}: {error}"


def _reject_options(options: dict[str, Any]) -> None:
    unsupported = [name for name, value in options.items() if value]
    if unsupported:
        raise NotImplementedError(f"the simulation does not support {', '.join(unsupported)}")
