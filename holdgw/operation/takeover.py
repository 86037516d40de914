"""The link between a router's process and the one that takes its place: words, and clients' descriptors.

The one who serves listens on a Unix socket in a private folder; a successor that starts beside it connects
there. Both then belong to one router: each is told of every server that is taken out by hand at the other,
and on SIGTERM the elder hands its clients' connections over, a message and a descriptor each (unix(7),
SCM_RIGHTS).
"""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

import msgspec

from holdgw.operation.process_link import ClientHandover, HandoverPart, ProcessLink, split_handover
from holdgw.policy import HandoverState

VERSION = 1
NAME = "holdgw.link"
HELLO_TIMEOUT_S = 1.0  # the elder tells what it has in so long, or is taken for stuck
MAX_LINKS = 4  # processes of one router beside this one

log = logging.getLogger("holdgw")


class Hello(msgspec.Struct, tag="hello", frozen=True):
    """The successor's first word. Unknown fields of any message are ignored."""

    version: int


class OverrideList(msgspec.Struct, tag="outs", frozen=True):
    """The elder's answer: the servers out by hand, and since when (monotonic ns, the machine's)."""

    version: int
    since: dict[str, int]


class OverrideChanged(msgspec.Struct, tag="hand", frozen=True):
    """A server was taken out by hand at this time, or is used again from then on."""

    server: str
    out: bool
    at: int


class Ready(msgspec.Struct, tag="ready", frozen=True):
    """The successor can serve."""


Message = Hello | OverrideList | OverrideChanged | HandoverPart | Ready | ClientHandover

decode = msgspec.msgpack.Decoder(Message).decode


class Takeover:
    """This process among those of its router: at most an elder before it and a successor after it."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        outs: Callable[[], dict[str, int]],
        learnt: Callable[[], HandoverState],
        hand: Callable[[OverrideChanged], None],
        learn: Callable[[HandoverState], None],
        adopt: Callable[[ClientHandover, int], None],
        changed: Callable[[], None],
    ) -> None:
        """`outs`, `learnt`: what this process knows; `hand`, `learn`, `adopt`: take what another sends.

        `changed`: links have come or gone.
        """
        self._loop, self._outs, self._learnt, self._changed = loop, outs, learnt, changed
        self._hand, self._learn, self._adopt = hand, learn, adopt
        self._links: dict[ProcessLink[Message], None] = {}
        self._elder: ProcessLink[Message] | None = None
        self._met = asyncio.Event()  # the elder has told what it has, or is gone
        self._door: socket.socket | None = None
        self._path: Path | None = None
        self._inode = 0

    async def begin(self, folder: Path) -> None:
        """Meet the elder in this folder, if there is one, and then wait for a successor there.

        Never fails: without a link an upgrade is a plain restart, and the log says why.
        """
        path = folder / NAME
        try:
            await self._meet(path)
            self._wait_at(path)
        except OSError as error:
            log.warning("takeover: none is possible: %s", error)

    async def _meet(self, path: Path) -> None:
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            sock.connect(os.fspath(path))  # local: it is there at once, or not at all
        except (FileNotFoundError, ConnectionRefusedError):
            sock.close()
            return
        except OSError:
            sock.close()
            raise
        self._elder = self._add(sock)
        self._elder.send(Hello(VERSION))
        # Danger: to serve before the elder has told which servers are out by hand would send to one of them.
        try:
            await asyncio.wait_for(self._met.wait(), HELLO_TIMEOUT_S)
        except TimeoutError:
            log.error("takeover: the elder says nothing; going on without its word")

    def _wait_at(self, path: Path) -> None:
        with suppress(FileNotFoundError):
            path.unlink()  # the elder's: it goes on by its link, or its owner is dead
        door = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            door.bind(os.fspath(path))
            door.listen(MAX_LINKS)
        except OSError:
            door.close()
            raise
        door.setblocking(False)
        self._door, self._path, self._inode = door, path, path.stat().st_ino
        self._loop.add_reader(door, self._accept)

    def _accept(self) -> None:
        assert self._door is not None
        try:
            sock, _ = self._door.accept()
        except OSError:
            return
        if len(self._links) >= MAX_LINKS:
            sock.close()
            return
        self._add(sock)

    def _add(self, sock: socket.socket) -> ProcessLink[Message]:
        link = ProcessLink(self._loop, sock, decode, self._take, self._lost)
        self._links[link] = None
        self._changed()
        return link

    def _lost(self, link: ProcessLink[Message]) -> None:
        self._links.pop(link, None)
        if link is self._elder:
            self._elder = None
            self._met.set()
        self._changed()

    def _take(self, link: ProcessLink[Message], message: Message, descriptor: int | None) -> None:
        match message:
            case Hello():
                for part in split_handover(self._learnt()):
                    link.send(HandoverPart(part))
                link.send(OverrideList(VERSION, self._outs()))
            case OverrideList():
                for server, since in message.since.items():
                    self._hand(OverrideChanged(server, True, since))
                self._met.set()
            case OverrideChanged():
                self._hand(message)
                self.broadcast(message, but=link)
            case HandoverPart():
                self._learn(message.learnt)
            case Ready():
                link.ready = True
            case ClientHandover() if descriptor is not None:
                self._adopt(message, descriptor)
                descriptor = None
        if descriptor is not None:
            os.close(descriptor)

    def broadcast(self, message: Message, but: ProcessLink[Message] | None = None) -> None:
        """Tell the other processes."""
        for link in list(self._links):
            if link is not but:
                link.send(message)

    def announce_ready(self) -> None:
        """Tell the elder that this process can serve."""
        if self._elder is not None:
            self._elder.send(Ready())

    @property
    def linked(self) -> bool:
        """Whether another process of this router is alive."""
        return bool(self._links)

    @property
    def successor(self) -> ProcessLink[Message] | None:
        """The process that takes over, once it can serve; the newest of several."""
        ready = [link for link in self._links if link.ready and link.open]
        return ready[-1] if ready else None

    def close(self) -> None:
        """Leave; the path stays if it is a successor's by now."""
        if self._door is not None and self._path is not None:
            self._loop.remove_reader(self._door)
            self._door.close()
            with suppress(OSError):
                if self._path.stat().st_ino == self._inode:
                    self._path.unlink()
        for link in list(self._links):
            link.close()
