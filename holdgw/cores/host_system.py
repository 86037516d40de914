"""The operating system as a supervisor and its workers use it: processes, links, descriptors, shared memory.

Defines the protocols and their implementation on Linux; the simulation has its own. Descriptors are plain
numbers, and the owner of a descriptor closes it.
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
from holdgw.router.process import python_command
from holdgw.wire.address import Address

INDEX_VARIABLE = "HOLDGW_PLACE"
WORKERS_VARIABLE = "HOLDGW_WORKERS"
LINK_VARIABLE = "HOLDGW_LINK"
TABLE_VARIABLE = "HOLDGW_BOARD"
LISTEN_BACKLOG = 1024
MAX_ACCEPTS_PER_TURN = 64  # connections accepted in one iteration of the event loop
ACCEPT_RETRY_S = 0.1  # pause after a failed accept
MAX_HASH_SEED = 4_000_000_000

log = logging.getLogger("holdgw")


@dataclass(frozen=True, slots=True)
class WorkerParameters:
    """A worker's index among the workers of its router, and the descriptors that it inherits."""

    index: int
    worker_count: int
    link_descriptor: int
    table_descriptor: int

    @classmethod
    def read(cls, environ: Mapping[str, str]) -> WorkerParameters:
        """Read the environment variables that the supervisor has set; raises ConfigError."""
        names = (INDEX_VARIABLE, WORKERS_VARIABLE, LINK_VARIABLE, TABLE_VARIABLE)
        try:
            return cls(*(int(environ[name]) for name in names))
        except (KeyError, ValueError) as error:
            raise ConfigError(f"a worker can only be started by its supervisor: {error}") from None

    def variables(self) -> dict[str, str]:
        """The environment variables from which `read` restores these parameters."""
        return {
            INDEX_VARIABLE: str(self.index),
            WORKERS_VARIABLE: str(self.worker_count),
            LINK_VARIABLE: str(self.link_descriptor),
            TABLE_VARIABLE: str(self.table_descriptor),
        }


def ignore_close(_: ProcessLink[Any]) -> None:
    """The `on_closed` handler of a link whose owner watches the process at its other end instead."""


class LinkHandlers(NamedTuple):
    """The callbacks of a ProcessLink; see its constructor."""

    decode: Callable[[bytes], Any]
    on_message: Callable[[ProcessLink[Any], Any, int | None], None]
    on_closed: Callable[[ProcessLink[Any]], None] = ignore_close


class RunningProcess(Protocol):
    """A worker's process."""

    @property
    def returncode(self) -> int | None:
        """The exit code; None while the process runs."""

    async def wait(self) -> int:
        """Wait until the process ends; returns its exit code."""

    def send_signal(self, number: int) -> None:
        """Send the process a signal; raises ProcessLookupError if it has ended."""


class Acceptor(Protocol):
    """The listening socket for clients."""

    address: Address

    def set_accepting(self, wanted: bool) -> None:
        """Start or stop accepting connections; while stopped, they stay in the kernel's queue."""

    def close(self) -> None:
        """Stop listening."""


class DescriptorOwner(Protocol):
    """Closes descriptors."""

    def close_descriptor(self, descriptor: int) -> None:
        """Close a descriptor."""


class HostSystem(DescriptorOwner, Protocol):
    """The operating system's services for a supervisor."""

    def create_table(self, workers: int) -> SharedTable:
        """Create the shared memory; the caller closes it."""

    def listen(self, config: Config, on_connection: Callable[[int], None]) -> Acceptor:
        """Listen for clients; `on_connection` is given each connection's descriptor. Raises OSError."""

    async def start_worker(
        self, index: int, workers: int, environ: Mapping[str, str], handlers: LinkHandlers
    ) -> tuple[RunningProcess, ProcessLink[Any]]:
        """Start a worker process and open the link to it; raises OSError."""

    def duplicate(self, descriptor: int) -> int:
        """Return another descriptor of the same connection."""

    def close(self) -> None:
        """Close the descriptors kept for starting workers, such as the one of the shared memory."""


class WorkerHostSystem(DescriptorOwner, Protocol):
    """The operating system's services for a worker."""

    def attach_table(self, parameters: WorkerParameters) -> SharedTable:
        """Attach the shared memory as this worker's; the caller closes it."""

    def open_link(self, handlers: LinkHandlers) -> ProcessLink[Any]:
        """Open the link to the supervisor."""

    async def adopt_client(
        self, clients: ClientListener, handover: ClientHandover | None, descriptor: int, late_ns: int
    ) -> None:
        """Serve a client's connection; `late_ns`: how long its bytes may have waited unread."""

    def duplicate_client(self, transport: Any) -> int:
        """Return another descriptor of a client's connection, to hand over."""


class _SocketAcceptor:
    """A listening socket accepted from without asyncio, as this process never reads from its connections."""

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
        """Start or stop accepting connections; while stopped, they stay in the kernel's queue."""
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
                # With no descriptor left, the event loop would call this method again at once and use a
                # whole core.
                log.warning("accept failed error=%s retry_s=%g", error, ACCEPT_RETRY_S)
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
        """Return another descriptor of the same connection."""
        return os.dup(descriptor)

    def close_descriptor(self, descriptor: int) -> None:
        """Close a descriptor."""
        os.close(descriptor)


class LinuxHostSystem(_LinuxDescriptors):
    """The services for a supervisor on Linux."""

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
        """Start a worker process and open the link to it."""
        supervisor_end, worker_end = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        parameters = WorkerParameters(index, workers, worker_end.fileno(), self._table_descriptor)
        try:
            process = await asyncio.create_subprocess_exec(
                *python_command("holdgw.cores.worker"),
                env={**environ, **parameters.variables(), "PYTHONHASHSEED": self._hash_seed},
                pass_fds=(worker_end.fileno(), self._table_descriptor),
            )
        except OSError:
            supervisor_end.close()
            raise
        finally:
            worker_end.close()
        return process, ProcessLink(self._loop, supervisor_end, *handlers)

    def close(self) -> None:
        """Close the descriptor of the shared memory."""
        os.close(self._table_descriptor)


class LinuxWorkerHostSystem(_LinuxDescriptors):
    """The services for a worker on Linux, using the descriptors that it was started with."""

    def __init__(self, parameters: WorkerParameters) -> None:
        self._parameters = parameters

    def attach_table(self, parameters: WorkerParameters) -> SharedTable:
        """Attach the shared memory as this worker's; the caller closes it."""
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
        """Return another descriptor of a client's connection, to hand over."""
        return duplicate_descriptor(transport)
