"""What clients send is held within the memory for requests; what doesn't fit is rejected in its turn."""

from __future__ import annotations

import asyncio
import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from holdgw.router.client_connection import MAX_PIPELINE
from holdgw.wire.resp import CommandReader
from tests.emulated_nodes import (
    HIT,
    LIMIT_S,
    SERVED,
    Cache,
    LoopbackRouter,
    SilentServer,
    command,
    entry,
    read,
    run,
    until,
)

MEMORY_BYTES = 1 << 20
VALUE = bytes(60_000)
BUSY = b"-BUSY\r\n"
DEADLINE_MS = 500
_names = itertools.count()


def write(value: bytes = VALUE) -> bytes:
    name = b"w%d" % next(_names)
    return command(b"KV.SET", b"key-" + name, name, b"c=edit,t=a,d=%d,k=" % DEADLINE_MS + name, value)


class MemorySetup:
    """A router with little memory for requests, a cache server, and an origin that holds all writes open."""

    async def __aenter__(self) -> MemorySetup:
        async def answer(_: list[bytes]) -> bytes:
            return HIT

        self.cache, self.origin = Cache(answer), SilentServer()
        self.router = LoopbackRouter(limit=256, max_request_bytes=MEMORY_BYTES)
        await self.cache.start()
        await self.origin.start()
        await self.router.start(entry("s1", self.cache.port), entry("o", self.origin.port, "origin"))
        self.peak_bytes = 0
        self._watching = asyncio.create_task(self._watch())
        return self

    async def __aexit__(self, *_: object) -> None:
        self._watching.cancel()
        self.router.stop()
        self.cache.stop()
        self.origin.stop()

    async def _watch(self) -> None:
        while True:
            self.peak_bytes = max(self.peak_bytes, self.held_bytes)
            await asyncio.sleep(0)

    @property
    def held_bytes(self) -> int:
        return self.router.dispatcher.request_memory.held_bytes


async def read_lines(reader: asyncio.StreamReader, count: int) -> list[bytes]:
    async with asyncio.timeout(LIMIT_S):
        return [await reader.readuntil(b"\r\n") for _ in range(count)]


def test_writes_beyond_the_memory_for_requests_are_rejected_and_reads_are_served() -> None:
    # Guards against memory that grows with what clients send at once, and against reads that pay for writes.
    async def test() -> None:
        async with MemorySetup() as setup:
            clients = [await setup.router.dial() for _ in range(8)]
            for _, writer in clients:
                writer.write(b"".join(write() for _ in range(20)))
            await until(lambda: setup.held_bytes > MEMORY_BYTES // 2)
            assert await setup.router.ask(read("r1"), len(SERVED)) == SERVED
            answers = [await read_lines(reader, 20) for reader, _ in clients]
            assert all(line.startswith(b"-") for lines in answers for line in lines)
            assert sum(line == BUSY for lines in answers for line in lines) > 100
            assert setup.peak_bytes <= MEMORY_BYTES
            await until(lambda: not setup.held_bytes)

    run(test)


def test_partial_commands_beyond_the_memory_for_requests_are_dropped_and_rejected() -> None:
    # Guards against memory that grows with the number of clients that are amid a command.
    async def test() -> None:
        async with MemorySetup() as setup:
            clients = [await setup.router.dial() for _ in range(40)]
            commands = [write() for _ in clients]
            for (_, writer), data in zip(clients, commands, strict=True):
                writer.write(data[:-100])
                await writer.drain()
            await until(lambda: setup.held_bytes > MEMORY_BYTES // 2)
            for part in (slice(-100, -1), slice(-1, None)):
                for (_, writer), data in zip(clients, commands, strict=True):
                    writer.write(data[part])
                await asyncio.sleep(0.01)
            for reader, writer in clients:
                (line,) = await read_lines(reader, 1)
                assert line.startswith(b"-")
                writer.write(read(f"r{next(_names)}"))
                assert await asyncio.wait_for(reader.readexactly(len(SERVED)), LIMIT_S) == SERVED
            assert setup.peak_bytes <= MEMORY_BYTES
            await until(lambda: not setup.held_bytes)

    run(test)


def test_buffered_commands_past_the_pipeline_limit_are_rejected_without_memory_for_them() -> None:
    # Guards against input that waits behind a full pipeline, a part of a megabyte for each connection.
    async def test() -> None:
        async with MemorySetup() as setup:
            holder, pipelined = await setup.router.dial(), await setup.router.dial()
            holder[1].write(b"".join(write() for _ in range(30)))
            await until(lambda: setup.held_bytes > MEMORY_BYTES // 2)
            commands = [write(b"v" * 1_500) for _ in range(MAX_PIPELINE + 300)]
            pipelined[1].write(b"".join(commands))
            lines = await read_lines(pipelined[0], len(commands))
            assert all(line.startswith(b"-") for line in lines)
            assert setup.peak_bytes <= MEMORY_BYTES
            await read_lines(holder[0], 30)
            await until(lambda: not setup.held_bytes)

    run(test)


def test_commands_read_before_a_full_pipeline_leave_nothing_in_the_buffer() -> None:
    # Guards against input that is not counted: the bytes of returned commands before those that wait.
    async def test() -> None:
        async with MemorySetup() as setup:
            _, writer = await setup.router.dial()
            writer.write(b"".join(write(b"v" * 300) for _ in range(MAX_PIPELINE + 20)))
            await until(lambda: bool(setup.router.clients.connections))
            (connection,) = setup.router.clients.connections
            await until(
                lambda: connection._reader.buffered_count > 0 and len(connection.replies) >= MAX_PIPELINE
            )
            assert len(connection._reader._buffer) == connection._reader.buffered_count
            writer.close()
            await until(lambda: not setup.held_bytes)

    run(test)


def test_the_memory_of_a_client_that_leaves_is_released() -> None:
    # Guards against a memory for requests that fills up for good.
    async def test() -> None:
        async with MemorySetup() as setup:
            for _ in range(3):
                _, writer = await setup.router.dial()
                writer.write(b"".join(write() for _ in range(20)) + write()[:-10])
                await until(lambda: setup.held_bytes > MEMORY_BYTES // 2)
                writer.transport.abort()
                await until(lambda: not setup.held_bytes)

    run(test)


def test_a_dropped_value_with_a_wrong_end_is_a_protocol_error() -> None:
    # Guards against a command being answered whose framing is wrong, as the next one can't be found then.
    reader = CommandReader()
    data = write()
    reader.feed(data[:1000])
    assert reader.next_command() is None
    assert reader.drop_partial_value()
    reader.feed(data[1000:-2] + b"xx" + read("r1"))
    assert reader.next_command() is None
    assert reader.framing_error
    assert not reader.has_partial_command


@given(st.integers(0, 70_000), st.lists(st.integers(0, 70_100), max_size=5), st.integers(0, 5))
@pytest.mark.parametrize("following", [b"", read("r1")])
def test_a_command_whose_value_is_dropped_is_returned_without_it(
    following: bytes, size: int, cuts: list[int], drop_after: int
) -> None:
    # Guards against bytes of a dropped value being read as a command, and against a command without an end.
    words = [b"KV.SET", b"k", b"w", b"c=edit,t=a,d=900,k=1", b"v" * min(size, 64 << 10)]
    data = command(*words) + following
    boundaries = sorted({min(cut, len(data)) for cut in cuts})
    reader, commands_read, dropped = CommandReader(), [], False
    for part, (start, end) in enumerate(zip([0, *boundaries], [*boundaries, len(data)], strict=True)):
        reader.feed(data[start:end])
        while (found := reader.next_command()) is not None:
            commands_read.append((found, reader.value_dropped))
        if part == drop_after and reader.drop_partial_value():
            dropped = True
            assert reader.buffered_count < len(b"\r\n" + following) + 1
            assert reader.is_dropping_value
    expected = ([*words[:4], b""], True) if dropped else (words, False)
    assert commands_read[0] == expected
    assert len(commands_read) == 1 + bool(following)
    assert not reader.has_partial_command
