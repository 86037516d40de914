"""How the stage and its worker processes talk: length-bounded frames of typed messages over a socket pair.

When one side goes, the other sees the end of the stream: a worker whose stage has gone ends by itself.
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
    """What a worker is: `role` nodes, hub or clients; its part is those whose number fits `index` of
    `count`.
    """

    role: str
    index: int
    count: int
    name: str
    scenario: Scenario
    seed: int
    ip: str


class Addresses(msgspec.Struct, tag="places"):
    """Addresses: of servers by zone, of routers under the zone "" ."""

    servers: dict[str, dict[str, tuple[str, int]]] = {}
    routers: dict[str, tuple[str, int]] = {}


class Begin(msgspec.Struct, tag="begin"):
    """Second 0 of the day on the machine's monotonic clock."""

    at: float


class Command(msgspec.Struct, tag="do"):
    """Do something to a part of the fleet; `number` comes back in Did."""

    verb: str
    target: str = ""
    args: dict[str, Any] = {}
    number: int = 0


class CommandResult(msgspec.Struct, tag="did"):
    """Done."""

    number: int
    value: Any = None


class FrontUpdate(msgspec.Struct, tag="front"):
    """What the front layer sees of a router: whether new connections go there."""

    router: str
    up: bool


class Stored(msgspec.Struct, tag="stored"):
    """The package store answered a read."""

    request: bytes
    key: bytes
    size: int


class Voided(msgspec.Struct, tag="voided"):
    """A write was carried out."""

    key: bytes


class RecordBatch(msgspec.Struct, tag="batch"):
    """What was seen since the last one."""

    records: list[Record]


class ClientCounts(msgspec.Struct, tag="tally"):
    """What a clients' worker has counted so far, for the eye."""

    asked: int = 0
    served: int = 0
    in_aim: int = 0
    refused: int = 0
    failed: int = 0


class Finish(msgspec.Struct, tag="finish"):
    """The day is over: say what is left, and go."""


class WorkerFailure(msgspec.Struct, tag="fault"):
    """A worker can't go on."""

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
    """One end. `take` gets each message, `lost` is called once when the other end has gone."""

    def __init__(self, on_message: Callable[[Message], None], on_disconnect: Callable[[], None]) -> None:
        self._on_message, self._on_disconnect = on_message, on_disconnect
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()

    @classmethod
    async def connect(
        cls, sock: socket.socket, on_message: Callable[[Message], None], on_disconnect: Callable[[], None]
    ) -> Channel:
        """A channel over one end of a socket pair."""
        loop = asyncio.get_running_loop()
        _, channel = await loop.create_connection(lambda: cls(on_message, on_disconnect), sock=sock)
        return channel

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """The other end has gone."""
        self._on_disconnect()

    def data_received(self, data: bytes) -> None:
        """Take whole frames."""
        buffer = self._buffer
        buffer += data
        at = 0
        while len(buffer) - at >= 4:
            size = int.from_bytes(buffer[at : at + 4], "big")
            if size > MAX_FRAME_BYTES:
                raise ValueError(f"a frame of {size} bytes")
            if len(buffer) - at - 4 < size:
                break
            self._on_message(_decoder.decode(memoryview(buffer)[at + 4 : at + 4 + size]))
            at += 4 + size
        if at:
            del buffer[:at]

    def send(self, message: Message) -> None:
        """Send; what can't be sent any more is dropped."""
        if self._transport is None or self._transport.is_closing():
            return
        frame = _encoder.encode(message)
        self._transport.write(len(frame).to_bytes(4, "big") + frame)

    def close(self) -> None:
        """Close once all is sent."""
        if self._transport is not None:
            self._transport.close()
