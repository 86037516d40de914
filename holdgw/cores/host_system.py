"""What a supervisor and its workers take from the machine: processes, links, descriptors, shared memory.

A simulated one is given to them in simulations. Descriptors are numbers; whoever has one `drop`s it.
"""

from __future__ import annotations

import asyncio
import logging
import os
import secrets
import socket
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from holdgw.cores.shared_table import SharedTable, attach, create
from holdgw.operation.process_link import ProcessLink
from holdgw.router.client_listener import ClientListener, duplicate_descriptor
from holdgw.router.config import Config
from holdgw.router.process import python_with
from holdgw.router.program import passed_socket
from holdgw.wire.address import Address

PLACE, WORKERS, LINK, BOARD = "HOLDGW_PLACE", "HOLDGW_WORKERS", "HOLDGW_LINK", "HOLDGW_BOARD"
BACKLOG = 1024
ACCEPTS_MOST = 64  # connections taken in one turn of the loop
AGAIN_S = 0.1  # after which accepting is tried again where it failed

Decode = Callable[[bytes], Any]
Take = Callable[[ProcessLink[Any], Any, int | None], None]
"""Takes a message, and a descriptor that came with it."""
Lost = Callable[[ProcessLink[Any]], None]

log = logging.getLogger("holdgw")


class Running(Protocol):
    """A worker's process."""

    @property
    def returncode(self) -> int | None:
        """None while it runs."""

    async def wait(self) -> int:
        """Wait for its end."""

    def send_signal(self, number: int) -> None:
        """Send it a signal; raises ProcessLookupError where it is gone."""


class Acceptor(Protocol):
    """The clients' listening socket."""

    address: Address

    def hear(self, wanted: bool) -> None:
        """Take connections, or leave them with the kernel."""

    def close(self) -> None:
        """Listen no more."""


class HostSystem(Protocol):
    """What a supervisor needs."""

    def board(self, workers: int) -> SharedTable:
        """Make the shared memory; its owner closes it."""

    def listen(self, config: Config, take: Callable[[int], None]) -> Acceptor:
        """Listen for clients; each connection is given on by its descriptor. Raises OSError."""

    async def start(
        self,
        place: int,
        workers: int,
        environ: Mapping[str, str],
        decode: Decode,
        take: Take,
    ) -> tuple[Running, ProcessLink[Any]]:
        """Start a worker; raises OSError."""

    def dup(self, descriptor: int) -> int:
        """Another descriptor of the same connection."""

    def drop(self, descriptor: int) -> None:
        """Close a descriptor."""

    def close(self) -> None:
        """Let go of what no worker will need any more."""


class WorkerHostSystem(Protocol):
    """What a worker needs."""

    def board(self, workers: int, place: int) -> SharedTable:
        """The shared memory as this worker sees it."""

    def link(
        self,
        decode: Decode,
        take: Take,
        lost: Lost,
    ) -> ProcessLink[Any]:
        """The link to the supervisor."""

    async def adopt(self, clients: ClientListener, told: Any, descriptor: int, late: int) -> None:
        """Take a client's connection."""

    def copy(self, transport: Any) -> int:
        """A descriptor of a client's connection."""

    def drop(self, descriptor: int) -> None:
        """Close a descriptor."""


class _Ear:
    """A listening socket, accepted from by hand: a connection is never this process's to read."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, sock: socket.socket, take: Callable[[int], None]
    ) -> None:
        self._loop, self._sock, self._take = loop, sock, take
        self._hearing = False
        self._again: asyncio.TimerHandle | None = None
        sock.setblocking(False)
        self.address: Address = sock.getsockname()[:2]

    def hear(self, wanted: bool) -> None:
        """Take connections, or leave them with the kernel."""
        if self._again is not None:
            self._again.cancel()
            self._again = None
        if wanted == self._hearing or self._sock.fileno() < 0:
            return
        self._hearing = wanted
        if wanted:
            self._loop.add_reader(self._sock, self._accept)
        else:
            self._loop.remove_reader(self._sock)

    def _accept(self) -> None:
        for _ in range(ACCEPTS_MOST):
            if not self._hearing:
                return
            try:
                sock, _address = self._sock.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                # Danger: with no descriptor left this would be called again at once, and take the whole core.
                log.warning("accepting: %s", error)
                self.hear(False)
                self._again = self._loop.call_later(AGAIN_S, self.hear, True)
                return
            self._take(sock.detach())

    def close(self) -> None:
        """Listen no more."""
        self.hear(False)
        self._sock.close()


class LinuxHostSystem:
    """This machine, for a supervisor."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._descriptor = -1
        self._hash_seed = str(secrets.randbelow(4_000_000_000) + 1)

    def board(self, workers: int) -> SharedTable:
        """Make the shared memory; its owner closes it."""
        self._descriptor = create(workers)
        return SharedTable(attach(self._descriptor, workers), workers)

    def listen(self, config: Config, take: Callable[[int], None]) -> Acceptor:
        """Listen for clients."""
        sock = passed_socket(config.passed) or socket.create_server(config.listen, backlog=BACKLOG)
        return _Ear(self._loop, sock, take)

    async def start(
        self,
        place: int,
        workers: int,
        environ: Mapping[str, str],
        decode: Decode,
        take: Take,
    ) -> tuple[Running, ProcessLink[Any]]:
        """Start a worker."""
        here, there = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        told = {
            PLACE: str(place),
            WORKERS: str(workers),
            LINK: str(there.fileno()),
            BOARD: str(self._descriptor),
            "PYTHONHASHSEED": self._hash_seed,
        }
        try:
            process = await asyncio.create_subprocess_exec(
                *python_with("holdgw.cores.worker"),
                env={**environ, **told},
                pass_fds=(there.fileno(), self._descriptor),
            )
        except OSError:
            here.close()
            raise
        finally:
            there.close()
        return process, ProcessLink(self._loop, here, decode, take, lambda _: None)

    def dup(self, descriptor: int) -> int:
        """Another descriptor of the same connection."""
        return os.dup(descriptor)

    def drop(self, descriptor: int) -> None:
        """Close a descriptor."""
        os.close(descriptor)

    def close(self) -> None:
        """Let go of the shared memory's descriptor."""
        os.close(self._descriptor)


class LinuxWorkerHostSystem:
    """This machine, for a worker that came with these descriptors."""

    def __init__(self, link: int, board: int) -> None:
        self._link, self._board = link, board

    def board(self, workers: int, place: int) -> SharedTable:
        """The shared memory as this worker sees it."""
        memory = attach(self._board, workers)
        os.close(self._board)
        return SharedTable(memory, workers, place)

    def link(
        self,
        decode: Decode,
        take: Take,
        lost: Lost,
    ) -> ProcessLink[Any]:
        """The link to the supervisor."""
        return ProcessLink(asyncio.get_running_loop(), socket.socket(fileno=self._link), decode, take, lost)

    async def adopt(self, clients: ClientListener, told: Any, descriptor: int, late: int) -> None:
        """Take a client's connection."""
        await clients.adopt(told, descriptor, late)

    def copy(self, transport: Any) -> int:
        """A descriptor of a client's connection."""
        return duplicate_descriptor(transport)

    def drop(self, descriptor: int) -> None:
        """Close a descriptor."""
        os.close(descriptor)
