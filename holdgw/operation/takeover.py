"""The takeover: the old process of a router passes its clients' connections to a new one.

The old process listens on a Unix socket in a private folder; a new process that starts beside it connects
there. Both then belong to one router: each is notified of every administrative override that is set at the
other, and on SIGTERM the old process sends its clients' connections over, a message and a descriptor each
(unix(7), SCM_RIGHTS).
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
HELLO_TIMEOUT_S = 1.0  # without an answer by then the old process counts as stuck
MAX_LINKS = 4  # processes of one router beside this one

log = logging.getLogger("holdgw")


class Hello(msgspec.Struct, tag="hello", frozen=True):
    """The new process's first message. Unknown fields of any message are ignored."""

    version: int


class OverrideList(msgspec.Struct, tag="outs", rename={"since_ns": "since"}, frozen=True):
    """The old process's answer, after its handover state: the administrative overrides."""

    version: int
    since_ns: dict[str, int]
    """By endpoint id: when the override was set, on the machine's monotonic clock."""


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
    """When, on the machine's monotonic clock."""


class Ready(msgspec.Struct, tag="ready", frozen=True):
    """The new process can serve."""


Message = Hello | OverrideList | OverrideChanged | HandoverPart | Ready | ClientHandover

decode = msgspec.msgpack.Decoder(Message).decode


class TakeoverOwner(Protocol):
    """What a Takeover calls of the process that it belongs to."""

    def overridden_endpoints(self) -> dict[str, int]:
        """The administrative overrides, by endpoint id: since when, monotonic ns. Asked by a new process."""

    def handover_state(self) -> HandoverState:
        """What the routing policy passes on. Asked by a new process."""

    def apply_override(self, change: OverrideChanged) -> None:
        """An override was set or cleared at another process of this router."""

    def restore_state(self, state: HandoverState) -> None:
        """A part of the old process's handover state has come."""

    def adopt_client(self, handover: ClientHandover, descriptor: int) -> None:
        """A client's connection has come; the descriptor is the owner's from here on."""

    def links_changed(self) -> None:
        """Another process has connected, or a link to one is closed."""


class _Listener(NamedTuple):
    """The socket on which a new process is awaited."""

    sock: socket.socket
    path: Path
    inode: int


class Takeover:
    """The links of this process: at most one to an old process, and one to each new process."""

    def __init__(self, loop: asyncio.AbstractEventLoop, owner: TakeoverOwner) -> None:
        self._loop = loop
        self._owner = owner
        self._links: dict[ProcessLink[Message], None] = {}
        self._old_process: ProcessLink[Message] | None = None
        self._old_process_answered = asyncio.Event()  # or its link is closed
        self._listener: _Listener | None = None

    async def begin(self, folder: Path) -> None:
        """Connect to the old process in this folder, if there is one, and then await a new one there.

        Never fails: without a link an upgrade is a plain restart, and the log says why.
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
            sock.connect(os.fspath(path))  # local: it succeeds or fails at once
        except (FileNotFoundError, ConnectionRefusedError):
            sock.close()
            return
        except OSError:
            sock.close()
            raise
        self._old_process = self._add_link(sock)
        self._old_process.send(Hello(VERSION))
        # A process that served before it knows the overrides would send requests to overridden endpoints.
        try:
            await asyncio.wait_for(self._old_process_answered.wait(), HELLO_TIMEOUT_S)
        except TimeoutError:
            log.error("takeover: no answer of the old process, going on timeout_s=%g", HELLO_TIMEOUT_S)

    def _listen(self, path: Path) -> None:
        with suppress(FileNotFoundError):
            path.unlink()  # the old process's: its link goes on, or it is dead
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
                self._answer_hello(link)
            case OverrideList():
                for endpoint_id, since_ns in message.since_ns.items():
                    self._owner.apply_override(OverrideChanged(endpoint_id, True, since_ns))
                self._old_process_answered.set()
            case OverrideChanged():
                self._owner.apply_override(message)
                self.broadcast(message, but=link)
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
        link.send(OverrideList(VERSION, self._owner.overridden_endpoints()))

    def broadcast(self, message: Message, but: ProcessLink[Message] | None = None) -> None:
        """Send to all other processes, except by the link `but`."""
        for link in list(self._links):
            if link is not but:
                link.send(message)

    def announce_ready(self) -> None:
        """Notify the old process that this one can serve."""
        if self._old_process is not None:
            self._old_process.send(Ready())

    @property
    def linked(self) -> bool:
        """Whether another process of this router is alive."""
        return bool(self._links)

    @property
    def new_process(self) -> ProcessLink[Message] | None:
        """The link to the process that takes over, once it can serve; the newest of several."""
        ready = [link for link in self._links if link.ready and link.open]
        return ready[-1] if ready else None

    def close(self) -> None:
        """Close all links and stop listening; the path stays if a new process has bound it by now."""
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
