"""What a supervisor and its workers need of the operating system: processes, links, descriptors, memory.

Here are the protocols and what Linux gives; a simulation gives them its own. Descriptors are numbers; whoever
has one closes it.
"""

from __future__ import annotations

import asyncio
import logging
import os
import secrets
import socket
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple, Protocol

from holdgw.cores.shared_table import SharedTable, attach, create
from holdgw.operation.process_link import ClientHandover, ProcessLink
from holdgw.router.client_listener import ClientListener, duplicate_descriptor
from holdgw.router.config import Config, ConfigError
from holdgw.router.platform import passed_listener
from holdgw.router.process import python_with
from holdgw.wire.address import Address

INDEX_VARIABLE = "HOLDGW_PLACE"
WORKERS_VARIABLE = "HOLDGW_WORKERS"
LINK_VARIABLE = "HOLDGW_LINK"
TABLE_VARIABLE = "HOLDGW_BOARD"
LISTEN_BACKLOG = 1024
MAX_ACCEPTS_PER_TURN = 64  # of the event loop
ACCEPT_RETRY_S = 0.1  # after accepting has failed
MAX_HASH_SEED = 4_000_000_000

log = logging.getLogger("holdgw")


@dataclass(frozen=True, slots=True)
class WorkerParameters:
    """A worker's index among those of its router, and the descriptors that it is started with."""

    index: int
    worker_count: int
    link_descriptor: int
    table_descriptor: int

    @classmethod
    def read(cls, environ: Mapping[str, str]) -> WorkerParameters:
        """Read what the supervisor has set; raises ConfigError."""
        names = (INDEX_VARIABLE, WORKERS_VARIABLE, LINK_VARIABLE, TABLE_VARIABLE)
        try:
            return cls(*(int(environ[name]) for name in names))
        except (KeyError, ValueError) as error:
            raise ConfigError(f"a worker is started by its supervisor alone: {error}") from None

    def variables(self) -> dict[str, str]:
        """The environment variables that `read` reads."""
        return {
            INDEX_VARIABLE: str(self.index),
            WORKERS_VARIABLE: str(self.worker_count),
            LINK_VARIABLE: str(self.link_descriptor),
            TABLE_VARIABLE: str(self.table_descriptor),
        }


def ignore_close(_: ProcessLink[Any]) -> None:
    """For a link whose end is noticed by the end of its process."""


class LinkHandlers(NamedTuple):
    """What a ProcessLink is made with; see there."""

    decode: Callable[[bytes], Any]
    on_message: Callable[[ProcessLink[Any], Any, int | None], None]
    on_closed: Callable[[ProcessLink[Any]], None] = ignore_close


class RunningProcess(Protocol):
    """A worker's process."""

    @property
    def returncode(self) -> int | None:
        """None while it runs."""

    async def wait(self) -> int:
        """Wait for its end; returns its exit code."""

    def send_signal(self, number: int) -> None:
        """Send it a signal; raises ProcessLookupError where it has ended."""


class Acceptor(Protocol):
    """The clients' listening socket."""

    address: Address

    def set_accepting(self, wanted: bool) -> None:
        """Accept connections, or leave them in the kernel's queue."""

    def close(self) -> None:
        """Stop listening."""


class DescriptorOwner(Protocol):
    """Closes descriptors."""

    def close_descriptor(self, descriptor: int) -> None:
        """Close a descriptor."""


class HostSystem(DescriptorOwner, Protocol):
    """What a supervisor needs."""

    def create_table(self, workers: int) -> SharedTable:
        """Create the shared memory; the caller closes it."""

    def listen(self, config: Config, on_connection: Callable[[int], None]) -> Acceptor:
        """Listen for clients; each connection is passed on by its descriptor. Raises OSError."""

    async def start_worker(
        self, index: int, workers: int, environ: Mapping[str, str], handlers: LinkHandlers
    ) -> tuple[RunningProcess, ProcessLink[Any]]:
        """Start a worker process and link to it; raises OSError."""

    def duplicate(self, descriptor: int) -> int:
        """Another descriptor of the same connection."""

    def close(self) -> None:
        """Close what was kept for the start of workers."""


class WorkerHostSystem(DescriptorOwner, Protocol):
    """What a worker needs."""

    def attach_table(self, parameters: WorkerParameters) -> SharedTable:
        """The shared memory as this worker sees it; the caller closes it."""

    def open_link(self, handlers: LinkHandlers) -> ProcessLink[Any]:
        """Open the link to the supervisor."""

    async def adopt_client(
        self, clients: ClientListener, handover: ClientHandover | None, descriptor: int, late_ns: int
    ) -> None:
        """Serve a client's connection; `late_ns`: how long its bytes may have waited unread."""

    def duplicate_client(self, transport: Any) -> int:
        """A descriptor of a client's connection, to hand over."""


class _SocketAcceptor:
    """A listening socket, accepted from without asyncio: a connection is never this process's to read."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, sock: socket.socket, on_connection: Callable[[int], None]
    ) -> None:
        self._loop = loop
        self._sock = sock
        self._on_connection = on_connection
        self._accepting = False
        self._retry: asyncio.TimerHandle | None = None
        sock.setblocking(False)
        self.address: Address = sock.getsockname()[:2]

    def set_accepting(self, wanted: bool) -> None:
        """Accept connections, or leave them in the kernel's queue."""
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None
        if wanted == self._accepting or self._sock.fileno() < 0:
            return
        self._accepting = wanted
        if wanted:
            self._loop.add_reader(self._sock, self._accept)
        else:
            self._loop.remove_reader(self._sock)

    def _accept(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if not self._accepting:
                return
            try:
                sock, _address = self._sock.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                # With no descriptor left the loop would call this again at once, and take the whole core.
                log.warning("accepting failed error=%s retry_s=%g", error, ACCEPT_RETRY_S)
                self.set_accepting(False)
                self._retry = self._loop.call_later(ACCEPT_RETRY_S, self.set_accepting, True)
                return
            self._on_connection(sock.detach())

    def close(self) -> None:
        """Stop listening."""
        self.set_accepting(False)
        self._sock.close()


class _LinuxDescriptors:
    """Descriptors of this process."""

    def duplicate(self, descriptor: int) -> int:
        """Another descriptor of the same connection."""
        return os.dup(descriptor)

    def close_descriptor(self, descriptor: int) -> None:
        """Close a descriptor."""
        os.close(descriptor)


class LinuxHostSystem(_LinuxDescriptors):
    """Linux, for a supervisor."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._table_descriptor = -1
        self._hash_seed = str(secrets.randbelow(MAX_HASH_SEED) + 1)

    def create_table(self, workers: int) -> SharedTable:
        """Create the shared memory; the caller closes it."""
        self._table_descriptor = create(workers)
        return SharedTable(attach(self._table_descriptor, workers), workers)

    def listen(self, config: Config, on_connection: Callable[[int], None]) -> Acceptor:
        """Listen for clients, on the passed socket if there is one."""
        sock = passed_listener(config.passed_descriptor) or socket.create_server(
            config.listen_address, backlog=LISTEN_BACKLOG
        )
        return _SocketAcceptor(self._loop, sock, on_connection)

    async def start_worker(
        self, index: int, workers: int, environ: Mapping[str, str], handlers: LinkHandlers
    ) -> tuple[RunningProcess, ProcessLink[Any]]:
        """Start a worker process and link to it."""
        here, there = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        parameters = WorkerParameters(index, workers, there.fileno(), self._table_descriptor)
        try:
            process = await asyncio.create_subprocess_exec(
                *python_with("holdgw.cores.worker"),
                env={**environ, **parameters.variables(), "PYTHONHASHSEED": self._hash_seed},
                pass_fds=(there.fileno(), self._table_descriptor),
            )
        except OSError:
            here.close()
            raise
        finally:
            there.close()
        return process, ProcessLink(self._loop, here, *handlers)

    def close(self) -> None:
        """Close the descriptor of the shared memory."""
        os.close(self._table_descriptor)


class LinuxWorkerHostSystem(_LinuxDescriptors):
    """Linux, for a worker that was started with these descriptors."""

    def __init__(self, parameters: WorkerParameters) -> None:
        self._parameters = parameters

    def attach_table(self, parameters: WorkerParameters) -> SharedTable:
        """The shared memory as this worker sees it; the caller closes it."""
        memory = attach(parameters.table_descriptor, parameters.worker_count)
        os.close(parameters.table_descriptor)
        return SharedTable(memory, parameters.worker_count, parameters.index)

    def open_link(self, handlers: LinkHandlers) -> ProcessLink[Any]:
        """Open the link to the supervisor."""
        sock = socket.socket(fileno=self._parameters.link_descriptor)
        return ProcessLink(asyncio.get_running_loop(), sock, *handlers)

    async def adopt_client(
        self, clients: ClientListener, handover: ClientHandover | None, descriptor: int, late_ns: int
    ) -> None:
        """Serve a client's connection."""
        await clients.adopt(handover, descriptor, late_ns)

    def duplicate_client(self, transport: Any) -> int:
        """A descriptor of a client's connection, to hand over."""
        return duplicate_descriptor(transport)
