"""A link between two processes of one router: ordered messages, each with at most one file descriptor.

The link is a Unix socket of type SOCK_SEQPACKET; the kernel duplicates a descriptor that is sent into the
receiving process (unix(7), SCM_RIGHTS).
"""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from itertools import islice
from typing import Generic, NamedTuple, TypeVar

import msgspec
from msgspec.structs import replace

from holdgw.policy import HandoverState

MAX_PENDING_COMMAND_BYTES = 32 << 10  # with more, a connection stays until the command is complete
MAX_MESSAGE_BYTES = MAX_PENDING_COMMAND_BYTES + (64 << 10)  # other messages hold thousands of ids
MAX_PART_ITEMS = 500  # endpoints, slots or calls in a message, each up to some 110 bytes
MAX_UNSENT_MESSAGES = 4096  # beyond this the other process counts as unresponsive

Message = TypeVar("Message")
Item = TypeVar("Item")

log = logging.getLogger("holdgw")


class HandoverPart(msgspec.Struct, tag="knowledge", rename={"state": "learnt"}, frozen=True):
    """A part of a process's handover state."""

    state: HandoverState


class ClientHandover(
    msgspec.Struct,
    tag="client",
    rename={
        "pending_bytes": "held",
        "has_sent_command": "asked",
        "waited_s": "waited",
        "unread_since_ns": "since",
    },
    frozen=True,
):
    """A client's connection, handed over with its descriptor."""

    pending_bytes: bytes
    """The bytes that were read of an incomplete command."""
    has_sent_command: bool
    """Whether a complete command was received on the connection."""
    waited_s: float
    """Seconds since the pending command began or, where there is none, since the last command."""
    unread_since_ns: int = 0
    """Since when the socket may hold unread bytes, on the machine's monotonic clock; 0 if unknown, as from an
    earlier version, which does not send the field."""


encode = msgspec.msgpack.Encoder().encode


def split_handover(state: HandoverState) -> Iterator[HandoverState]:
    """Split handover state into parts that each fit into one message.

    Of a tenant's calls only the last MAX_PART_ITEMS are kept.
    """
    yield replace(state, endpoints={}, tenants={}, slot_popularity={}, tenant_usage={})
    for names in batched(state.endpoints, MAX_PART_ITEMS):
        yield HandoverState(endpoints={name: state.endpoints[name] for name in names})
    for name, tenant in state.tenants.items():
        yield HandoverState(tenants={name: replace(tenant, calls=tenant.calls[-MAX_PART_ITEMS:])})
    for slots in batched(state.slot_popularity, MAX_PART_ITEMS):
        yield HandoverState(slot_popularity={slot: state.slot_popularity[slot] for slot in slots})
    for tenants in batched(state.tenant_usage, MAX_PART_ITEMS):
        yield HandoverState(tenant_usage={name: state.tenant_usage[name] for name in tenants})


def batched(items: Iterable[Item], size: int) -> Iterator[list[Item]]:
    """Split items into lists of at most `size`, in order."""
    remaining = iter(items)
    while batch := list(islice(remaining, size)):
        yield batch


class _UnsentMessage(NamedTuple):
    """An encoded message, and the descriptor to send with it, which the link owns and closes."""

    data: bytes
    descriptor: int | None

    def close_descriptor(self) -> None:
        if self.descriptor is not None:
            os.close(self.descriptor)


class ProcessLink(Generic[Message]):
    """A connection between two processes of a router; owns its socket and the descriptors not sent yet."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        decode: Callable[[bytes], Message],
        on_message: Callable[[ProcessLink[Message], Message, int | None], None],
        on_closed: Callable[[ProcessLink[Message]], None],
    ) -> None:
        """`on_message`: given each message and the descriptor received with it, which the callee then owns.

        `decode` may raise msgspec.DecodeError. `on_closed`: called once, whichever side closes the link.
        """
        self._loop = loop
        self._sock = sock
        self._decode = decode
        self._on_message = on_message
        self._on_closed = on_closed
        self._unsent: deque[_UnsentMessage] = deque()
        self.open = True
        self.ready = False
        """Whether the other process is a new one that can serve; set by the link's owner."""
        sock.setblocking(False)
        loop.add_reader(sock, self.read)

    def send(self, message: object, descriptor: int | None = None) -> None:
        """Send in order, and close the descriptor once the kernel has it. A closed link drops both."""
        if not self.open:
            if descriptor is not None:
                os.close(descriptor)
            return
        self._unsent.append(_UnsentMessage(encode(message), descriptor))
        if len(self._unsent) == 1:
            self._write()
        elif len(self._unsent) > MAX_UNSENT_MESSAGES:
            log.error("link: closed, the other process does not read unsent=%d", len(self._unsent))
            self.close()

    def _write(self) -> None:
        while self._unsent:
            unsent = self._unsent[0]
            descriptors = [] if unsent.descriptor is None else [unsent.descriptor]
            try:
                socket.send_fds(self._sock, [unsent.data], descriptors)
            except (BlockingIOError, InterruptedError):
                self._loop.add_writer(self._sock, self._write)
                return
            except OSError as error:
                log.warning("link: closed, send failed error=%s", error)
                self.close()
                return
            self._unsent.popleft()
            unsent.close_descriptor()
        self._loop.remove_writer(self._sock)

    @property
    def sent(self) -> bool:
        """Whether the kernel has accepted all messages."""
        return not self._unsent

    def read(self) -> None:
        """Read all messages that have arrived.

        With one message per iteration of a busy event loop, a hundred handed-over connections would wait for
        a hundred iterations.
        """
        while self.open:
            try:
                data, descriptors, _, _ = socket.recv_fds(self._sock, MAX_MESSAGE_BYTES, 1)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                log.warning("link: closed, receive failed error=%s", error)
                self.close()
                return
            if not data:
                self.close()
                return
            self._receive(data, descriptors[0] if descriptors else None)

    def _receive(self, data: bytes, descriptor: int | None) -> None:
        try:
            message = self._decode(data)
        except msgspec.DecodeError as error:
            log.error("link: closed, received a malformed message error=%s", error)
            if descriptor is not None:
                os.close(descriptor)
            self.close()
            return
        self._on_message(self, message, descriptor)

    def close(self) -> None:
        """Close the link, and drop the messages not sent yet with their descriptors."""
        if not self.open:
            return
        self.open = False
        self._loop.remove_reader(self._sock)
        self._loop.remove_writer(self._sock)
        self._sock.close()
        while self._unsent:
            self._unsent.popleft().close_descriptor()
        self._on_closed(self)
