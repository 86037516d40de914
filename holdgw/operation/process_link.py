"""A link between processes of one router: messages in order, and descriptors with them.

A Unix socket of whole messages; a descriptor is copied into the other process (unix(7), SCM_RIGHTS).
"""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from itertools import islice
from typing import Generic, TypeVar

import msgspec
from msgspec.structs import replace

from holdgw.policy import HandoverState

MAX_PENDING_COMMAND_BYTES = (
    32 << 10
)  # bytes of a command under way that go with a connection; a longer one is waited for
MAX_MESSAGE_BYTES = MAX_PENDING_COMMAND_BYTES + (64 << 10)  # a word of another kind: thousands of ids
MAX_PART_ITEMS = 500  # servers, slots or calls in one message, of some 110 bytes each at most
MAX_UNSENT_MESSAGES = 4096  # messages that the other side has not taken, past which it is taken for stuck

Message = TypeVar("Message")
T = TypeVar("T")

log = logging.getLogger("holdgw")


class HandoverPart(msgspec.Struct, tag="knowledge", frozen=True):
    """A part of what a process's decisions have learnt, so that another need not begin anew."""

    learnt: HandoverState


class ClientHandover(msgspec.Struct, tag="client", frozen=True):
    """A client's connection, whose descriptor comes along, and what has come of a command under way."""

    held: bytes
    asked: bool
    waited: float
    """Seconds since that command began, or since the connection's last."""
    since: int = 0
    """Since when what has not been read may lie there, nanoseconds of the machine's monotonic clock; 0: an
    elder of another version did not say."""


encode = msgspec.msgpack.Encoder().encode


def split_handover(learnt: HandoverState) -> Iterator[HandoverState]:
    """Cut what was learnt into parts that fit a message each."""
    yield replace(learnt, endpoints={}, tenants={}, slot_popularity={}, tenant_usage={})
    for names in batched(learnt.endpoints, MAX_PART_ITEMS):
        yield HandoverState(endpoints={name: learnt.endpoints[name] for name in names})
    for name, tenant in learnt.tenants.items():
        yield HandoverState(tenants={name: replace(tenant, calls=tenant.calls[-MAX_PART_ITEMS:])})
    for slots in batched(learnt.slot_popularity, MAX_PART_ITEMS):
        yield HandoverState(slot_popularity={slot: learnt.slot_popularity[slot] for slot in slots})
    for tenants in batched(learnt.tenant_usage, MAX_PART_ITEMS):
        yield HandoverState(tenant_usage={name: learnt.tenant_usage[name] for name in tenants})


def batched(items: Iterable[T], size: int) -> Iterator[list[T]]:
    """Lists of at most so many items, in order."""
    held = iter(items)
    while batch := list(islice(held, size)):
        yield batch


class ProcessLink(Generic[Message]):
    """One connection between two processes of a router; owns it and every descriptor on the way."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        decode: Callable[[bytes], Message],
        take: Callable[[ProcessLink[Message], Message, int | None], None],
        lost: Callable[[ProcessLink[Message]], None],
    ) -> None:
        self._loop, self._sock, self._decode, self._take, self._lost = loop, sock, decode, take, lost
        self._unsent: deque[tuple[bytes, int | None]] = deque()
        self.open = True
        self.ready = False
        """Whether the other side is a successor that can serve."""
        sock.setblocking(False)
        loop.add_reader(sock, self.read)

    def send(self, message: object, descriptor: int | None = None) -> None:
        """Send in order, and close the descriptor once it is on its way. Nothing is sent on a closed link."""
        if not self.open:
            if descriptor is not None:
                os.close(descriptor)
            return
        self._unsent.append((encode(message), descriptor))
        if len(self._unsent) == 1:
            self._write()
        elif len(self._unsent) > MAX_UNSENT_MESSAGES:
            log.error("link: the other process takes nothing")
            self.close()

    def _write(self) -> None:
        while self._unsent:
            data, descriptor = self._unsent[0]
            try:
                socket.send_fds(self._sock, [data], [] if descriptor is None else [descriptor])
            except (BlockingIOError, InterruptedError):
                self._loop.add_writer(self._sock, self._write)
                return
            except OSError as error:
                log.warning("link: %s", error)
                self.close()
                return
            self._unsent.popleft()
            if descriptor is not None:
                os.close(descriptor)
        self._loop.remove_writer(self._sock)

    @property
    def sent(self) -> bool:
        """Whether the kernel has all that was sent."""
        return not self._unsent

    def read(self) -> None:
        """Take all that has come."""
        # Danger: one message a turn would let a hundred connections wait for as many turns of a busy loop.
        while self.open:
            try:
                data, descriptors, _, _ = socket.recv_fds(self._sock, MAX_MESSAGE_BYTES, 1)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                log.warning("link: %s", error)
                self.close()
                return
            descriptor = descriptors[0] if descriptors else None
            if not data:
                self.close()
                return
            try:
                message = self._decode(data)
            except msgspec.DecodeError as error:
                log.error("link: a message can't be read: %s", error)
                if descriptor is not None:
                    os.close(descriptor)
                self.close()
                return
            self._take(self, message, descriptor)

    def close(self) -> None:
        """End the link; what is not sent yet is dropped with its descriptors."""
        if not self.open:
            return
        self.open = False
        self._loop.remove_reader(self._sock)
        self._loop.remove_writer(self._sock)
        self._sock.close()
        unsent, self._unsent = self._unsent, deque()
        for _, descriptor in unsent:
            if descriptor is not None:
                os.close(descriptor)
        self._lost(self)
