"""Messages between the orchestrator and its worker processes: bounded frames over a socket pair.

When one process exits, the other sees the end of the stream. A worker whose orchestrator has exited therefore
exits by itself.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any, cast

import msgspec

from holdgw.emulators.records import Record
from holdgw.harness.scenario import Scenario

MAX_FRAME_BYTES = 64 << 20


class Setup(msgspec.Struct, tag="setup"):
    """Assigns a worker its role: nodes, hub (origin and discovery), clients or peers (the relay).

    Of the nodes or clients, the worker runs those whose number modulo `count` is `index`.
    """

    role: str
    index: int
    count: int
    name: str
    scenario: Scenario
    seed: int
    ip: str


class Addresses(msgspec.Struct, tag="places"):
    """Addresses of servers, by name and by the line over which they are reached, and of routers by name."""

    servers: dict[str, dict[str, tuple[str, int]]] = {}
    routers: dict[str, tuple[str, int]] = {}


class Begin(msgspec.Struct, tag="begin"):
    """Gives second 0 of the run on the machine's monotonic clock."""

    at: float


class Command(msgspec.Struct, tag="do"):
    """Has a worker act on its part of the fleet; `number` comes back in the CommandResult."""

    verb: str
    target: str = ""
    args: dict[str, Any] = {}
    number: int = 0


class CommandResult(msgspec.Struct, tag="did"):
    """Says that the command of that number was carried out, and returns its value."""

    number: int
    value: Any = None


class FrontUpdate(msgspec.Struct, tag="front"):
    """Says whether the front layer sends new connections of clients to a router."""

    router: str
    up: bool


class Stored(msgspec.Struct, tag="stored"):
    """Says that the origin answered a read; endpoints that missed for the request store the value."""

    request: bytes
    key: bytes
    size: int


class Voided(msgspec.Struct, tag="voided"):
    """Says that the origin carried out a write; every cached copy of the key is invalid."""

    key: bytes


class RecordBatch(msgspec.Struct, tag="batch"):
    """Carries the records that a worker took since its last batch."""

    records: list[Record]


class ClientCounts(msgspec.Struct, tag="tally"):
    """The outcomes that a worker of clients has counted so far, for the progress display."""

    asked: int = 0
    served: int = 0
    in_aim: int = 0
    refused: int = 0
    failed: int = 0


class Finish(msgspec.Struct, tag="finish"):
    """Ends the run: the worker sends its last records, answers with Finish and exits."""


class WorkerFailure(msgspec.Struct, tag="fault"):
    """Reports an exception after which a worker cannot continue; `text` is its traceback."""

    text: str


Message = (
    Setup
    | Addresses
    | Begin
    | Command
    | CommandResult
    | FrontUpdate
    | Stored
    | Voided
    | RecordBatch
    | ClientCounts
    | Finish
    | WorkerFailure
)
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


class Channel(asyncio.Protocol):
    """One end of the connection.

    Args:
        on_message: Called with each message.
        on_disconnect: Called once, when the other end has closed.
    """

    def __init__(self, on_message: Callable[[Message], None], on_disconnect: Callable[[], None]) -> None:
        self._on_message, self._on_disconnect = on_message, on_disconnect
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()

    @classmethod
    async def connect(
        cls, sock: socket.socket, on_message: Callable[[Message], None], on_disconnect: Callable[[], None]
    ) -> Channel:
        """Return a channel over one end of a socket pair."""
        loop = asyncio.get_running_loop()
        _, channel = await loop.create_connection(lambda: cls(on_message, on_disconnect), sock=sock)
        return channel

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report that the other end has closed."""
        self._on_disconnect()

    def data_received(self, data: bytes) -> None:
        """Decode every complete frame; raises ValueError for one over MAX_FRAME_BYTES."""
        buffer = self._buffer
        buffer += data
        at = 0
        while len(buffer) - at >= 4:
            size = int.from_bytes(buffer[at : at + 4], "big")
            if size > MAX_FRAME_BYTES:
                raise ValueError(f"a frame of {size} bytes is over the limit")
            if len(buffer) - at - 4 < size:
                break
            self._on_message(_decoder.decode(memoryview(buffer)[at + 4 : at + 4 + size]))
            at += 4 + size
        if at:
            del buffer[:at]

    def send(self, message: Message) -> None:
        """Send a message; a message on a closed channel is dropped."""
        if self._transport is None or self._transport.is_closing():
            return
        frame = _encoder.encode(message)
        self._transport.write(len(frame).to_bytes(4, "big") + frame)

    def close(self) -> None:
        """Close the connection once everything is written."""
        if self._transport is not None:
            self._transport.close()
