"""The takeover: the old process of a router hands its clients' connections over to a new process.

The old process listens on a Unix socket in a private folder, and a new process connects to it as it starts.
Both then serve as one router: each is notified of every administrative override that is set at the other, and
on SIGTERM the old process hands its clients' connections over, each as a message with a descriptor (unix(7),
SCM_RIGHTS).
"""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple, Protocol

import msgspec

from holdgw.operation.process_link import ClientHandover, HandoverPart, ProcessLink, split_handover
from holdgw.policy import HandoverState

VERSION = 1
SOCKET_NAME = "holdgw.link"
HELLO_TIMEOUT_S = 1.0  # without an answer by then, the old process counts as unresponsive
MAX_LINKS = 4  # links to other processes of this router, open at a time

log = logging.getLogger("holdgw")


class Hello(msgspec.Struct, tag="hello", frozen=True):
    """The first message of a new process. Unknown fields of any message are ignored."""

    version: int


class OverrideList(msgspec.Struct, tag="outs", rename={"since_ns": "since"}, frozen=True):
    """The administrative overrides: the old process's answer to Hello, sent after its handover state."""

    version: int
    since_ns: dict[str, int]
    """When each override was set, by endpoint id, on the machine's monotonic clock."""


class OverrideChanged(
    msgspec.Struct,
    tag="hand",
    rename={"endpoint_id": "server", "overridden": "out", "at_ns": "at"},
    frozen=True,
):
    """An administrative override was set or cleared."""

    endpoint_id: str
    overridden: bool
    at_ns: int
    """The time of the change, on the machine's monotonic clock."""


class Ready(msgspec.Struct, tag="ready", frozen=True):
    """The new process can serve."""


Message = Hello | OverrideList | OverrideChanged | HandoverPart | Ready | ClientHandover

decode = msgspec.msgpack.Decoder(Message).decode


class TakeoverOwner(Protocol):
    """The process that a Takeover belongs to, as the Takeover calls it."""

    def overridden_endpoints(self) -> dict[str, int]:
        """Since when endpoints are overridden, monotonic ns, by endpoint id. Called for a new process."""

    def handover_state(self) -> HandoverState:
        """The routing policy's handover state. Called for a new process."""

    def apply_override(self, change: OverrideChanged) -> None:
        """Apply an override that was set or cleared at another process of this router."""

    def restore_state(self, state: HandoverState) -> None:
        """Restore a part of the old process's handover state."""

    def adopt_client(self, handover: ClientHandover, descriptor: int) -> None:
        """Serve a client's connection that was handed over; the owner closes the descriptor."""

    def share_ids(self) -> int | None:
        """A new descriptor of the memory with this process's request ids; None: there is none."""

    def add_shared_ids(self, descriptor: int) -> None:
        """Look for request ids in the memory of another process too; the owner closes the descriptor."""

    def links_changed(self) -> None:
        """Called when another process has connected, or a link to one has closed."""


class _Listener(NamedTuple):
    """The socket that a new process connects to."""

    sock: socket.socket
    path: Path
    inode: int


class Takeover:
    """The links of this process: at most one to its old process, and one to each newer process."""

    def __init__(self, loop: asyncio.AbstractEventLoop, owner: TakeoverOwner) -> None:
        self._loop = loop
        self._owner = owner
        self._links: dict[ProcessLink[Message], None] = {}
        self._old_process: ProcessLink[Message] | None = None
        self._old_process_answered = asyncio.Event()  # also set when its link closes
        self._listener: _Listener | None = None

    async def begin(self, folder: Path) -> None:
        """Connect to the old process in this folder, if there is one, and then listen there for a new one.

        Logs errors instead of raising them: without a link, an upgrade is a restart that closes connections.
        """
        path = folder / SOCKET_NAME
        try:
            await self._connect(path)
            self._listen(path)
        except OSError as error:
            log.warning("takeover: not possible error=%s", error)

    async def _connect(self, path: Path) -> None:
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            sock.connect(os.fspath(path))  # a local connect succeeds or fails at once
        except (FileNotFoundError, ConnectionRefusedError):
            sock.close()
            return
        except OSError:
            sock.close()
            raise
        self._old_process = self._add_link(sock)
        self._old_process.send(Hello(VERSION), self._owner.share_ids())
        # A process that serves before it has the overrides would send requests to overridden endpoints.
        try:
            await asyncio.wait_for(self._old_process_answered.wait(), HELLO_TIMEOUT_S)
        except TimeoutError:
            log.error(
                "takeover: no answer of the old process, starting without it timeout_s=%g", HELLO_TIMEOUT_S
            )

    def _listen(self, path: Path) -> None:
        with suppress(FileNotFoundError):
            path.unlink()  # the old process's path: its link stays open, or it has died
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            sock.bind(os.fspath(path))
            sock.listen(MAX_LINKS)
        except OSError:
            sock.close()
            raise
        sock.setblocking(False)
        self._listener = _Listener(sock, path, path.stat().st_ino)
        self._loop.add_reader(sock, self._accept)

    def _accept(self) -> None:
        assert self._listener is not None
        try:
            sock, _ = self._listener.sock.accept()
        except OSError:
            return
        if len(self._links) >= MAX_LINKS:
            sock.close()
            return
        self._add_link(sock)

    def _add_link(self, sock: socket.socket) -> ProcessLink[Message]:
        link = ProcessLink(self._loop, sock, decode, self._receive, self._link_closed)
        self._links[link] = None
        self._owner.links_changed()
        return link

    def _link_closed(self, link: ProcessLink[Message]) -> None:
        self._links.pop(link, None)
        if link is self._old_process:
            self._old_process = None
            self._old_process_answered.set()
        self._owner.links_changed()

    def _receive(self, link: ProcessLink[Message], message: Message, descriptor: int | None) -> None:
        match message:
            case Hello():
                self._take_ids(descriptor)
                descriptor = None
                self._answer_hello(link)
            case OverrideList():
                self._take_ids(descriptor)
                descriptor = None
                for endpoint_id, since_ns in message.since_ns.items():
                    self._owner.apply_override(OverrideChanged(endpoint_id, True, since_ns))
                self._old_process_answered.set()
            case OverrideChanged():
                self._owner.apply_override(message)
                self.broadcast(message, exclude=link)
            case HandoverPart():
                self._owner.restore_state(message.state)
            case Ready():
                link.ready = True
            case ClientHandover() if descriptor is not None:
                self._owner.adopt_client(message, descriptor)
                descriptor = None
        if descriptor is not None:
            os.close(descriptor)

    def _answer_hello(self, link: ProcessLink[Message]) -> None:
        for part in split_handover(self._owner.handover_state()):
            link.send(HandoverPart(part))
        link.send(OverrideList(VERSION, self._owner.overridden_endpoints()), self._owner.share_ids())

    def _take_ids(self, descriptor: int | None) -> None:
        if descriptor is not None:  # an earlier version sends none
            self._owner.add_shared_ids(descriptor)

    def broadcast(self, message: Message, exclude: ProcessLink[Message] | None = None) -> None:
        """Send to all other processes except the one at the link `exclude`."""
        for link in list(self._links):
            if link is not exclude:
                link.send(message)

    def announce_ready(self) -> None:
        """Notify the old process that this process can serve."""
        if self._old_process is not None:
            self._old_process.send(Ready())

    @property
    def linked(self) -> bool:
        """Whether a link to another process of this router is open."""
        return bool(self._links)

    @property
    def new_process(self) -> ProcessLink[Message] | None:
        """The link to the newest of the new processes that can serve, which takes over."""
        ready = [link for link in self._links if link.ready and link.open]
        return ready[-1] if ready else None

    def close(self) -> None:
        """Close all links and stop listening; the path is kept if a new process has bound it since."""
        if self._listener is not None:
            self._close_listener(self._listener)
        for link in list(self._links):
            link.close()

    def _close_listener(self, listener: _Listener) -> None:
        self._loop.remove_reader(listener.sock)
        listener.sock.close()
        with suppress(OSError):
            if listener.path.stat().st_ino == listener.inode:
                listener.path.unlink()
