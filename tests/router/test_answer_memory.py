"""Answers that wait for an earlier one on their connection are held within a memory."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from holdgw.router.client_connection import ClientConnection
from tests.emulated_nodes import LIMIT_S, Cache, LoopbackRouter, SilentServer, command, entry, run, until

MEMORY_BYTES = 1 << 20
CLIENTS, READS = 6, 40
WRITE_MS, READ_MS = 800, 900
REJECTED, FAILED = b"-BUSY\r\n", b"-ERR failed\r\n"


def read(name: str, cls: str = "read") -> bytes:
    return command(b"KV.GET", b"key-" + name.encode(), name.encode(), f"c={cls},t=a,d={READ_MS}".encode())


def write(name: str) -> bytes:
    info = f"c=edit,t=a,d={WRITE_MS},k={name}"
    return command(b"KV.SET", b"key-" + name.encode(), name.encode(), info.encode(), b"v")


def waiting_bytes(connection: ClientConnection) -> int:
    """The bytes of the answers that are ready on a connection and not written."""
    return sum(
        reply.streamed.unwritten_bytes if reply.streamed is not None else len(reply.answer or b"")
        for reply in connection.replies
    )


class AnswerMemorySetup:
    """A router with a cache server of long values, and an origin that answers nothing."""

    def __init__(self, router: LoopbackRouter, value: bytes) -> None:
        self.router, self.value = router, value
        self.peak_bytes = 0

    async def watch(self) -> None:
        while True:
            held_bytes = sum(waiting_bytes(connection) for connection in self.router.clients.connections)
            self.peak_bytes = max(self.peak_bytes, held_bytes)
            await asyncio.sleep(0)

    async def answers_behind_a_write(self, client: int, cls: str = "read") -> list[bytes]:
        """Send a write that the origin never answers, with reads behind it; returns the reads' answers."""
        reader, writer = await self.router.dial()
        reads = b"".join(read(f"r{client}-{number}", cls) for number in range(READS))
        writer.write(write(f"w{client}") + reads)
        answers = []
        async with asyncio.timeout(LIMIT_S):
            assert (await reader.readuntil(b"\r\n")).startswith(b"-")
            for _ in range(READS):
                line = await reader.readuntil(b"\r\n")
                if line.startswith(b"$"):
                    line = (await reader.readexactly(len(self.value) + 2))[:-2]
                answers.append(line)
        writer.close()
        return answers


@asynccontextmanager
async def answer_memory_setup(value_bytes: int) -> AsyncIterator[AnswerMemorySetup]:
    value = b"v" * value_bytes

    async def answer(_: list[bytes]) -> bytes:
        return b"*1\r\n$%d\r\n%b\r\n" % (len(value), value)

    cache, origin, router = Cache(answer), SilentServer(), LoopbackRouter()
    await cache.start()
    await origin.start()
    router.clients.waiting_memory.limit_bytes = MEMORY_BYTES
    await router.start(entry("s1", cache.port), entry("o", origin.port, "origin"))
    setup = AnswerMemorySetup(router, value)
    watching = asyncio.create_task(setup.watch())
    yield setup
    watching.cancel()
    router.stop()
    cache.stop()
    origin.stop()


@pytest.mark.parametrize("value_bytes", [60_000, 100_000])
def test_answers_behind_one_that_hangs_stay_within_their_memory_and_each_command_is_answered(
    value_bytes: int,
) -> None:
    # Guards against a router killed over its memory by answers, whole or streamed, that wait for an
    # earlier one.
    async def test() -> None:
        async with answer_memory_setup(value_bytes) as setup:
            answers = await asyncio.gather(
                *(setup.answers_behind_a_write(client) for client in range(CLIENTS))
            )
            assert MEMORY_BYTES // 2 < setup.peak_bytes <= MEMORY_BYTES
            assert all(answer in (setup.value, REJECTED) for client in answers for answer in client)
            assert any(setup.value in client for client in answers)
            await until(lambda: not setup.router.clients.connection_count)
            assert not setup.router.clients.waiting_memory.held_bytes

    run(test)


def test_a_read_that_may_have_an_effect_and_whose_value_can_not_be_kept_has_failed() -> None:
    # Guards against a refusal, which promises that nothing has run, of a request that has.
    async def test() -> None:
        async with answer_memory_setup(60_000) as setup:
            answers = await setup.answers_behind_a_write(0, cls="order")
            assert set(answers) == {setup.value, FAILED}

    run(test)


def test_a_connection_that_holds_many_answers_leaves_memory_for_others() -> None:
    # Guards against one client whose command hangs having the answers of all others dropped.
    async def test() -> None:
        async with answer_memory_setup(60_000) as setup:
            first = asyncio.create_task(setup.answers_behind_a_write(0))
            await until(lambda: setup.peak_bytes > MEMORY_BYTES // 3)
            assert (await setup.answers_behind_a_write(1)).count(setup.value) >= 4
            assert (await first).count(setup.value) >= 4

    run(test)


def test_the_memory_of_answers_is_released_when_their_client_leaves() -> None:
    # Guards against memory that a client's early end takes for good.
    async def test() -> None:
        async with answer_memory_setup(60_000) as setup:
            _, writer = await setup.router.dial()
            writer.write(write("w") + b"".join(read(f"r{number}") for number in range(READS)))
            await until(lambda: setup.router.clients.waiting_memory.held_bytes > MEMORY_BYTES // 3)
            writer.close()
            await until(lambda: not setup.router.clients.waiting_memory.held_bytes)

    run(test)
