"""A graceful shutdown answers everything that it has taken before it ends the process."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace
from typing import Any, NamedTuple

import pytest

from holdgw.operation.process_link import ClientHandover
from holdgw.policy import RequestClass
from holdgw.router import program
from holdgw.router.graceful_shutdown import (
    ACCEPT_AFTER_SIGTERM_S,
    KILL_SLACK_S,
    POLL_INTERVAL_S,
    GracefulShutdown,
    ShutdownSchedule,
)
from tests.emulated_nodes import (
    HIT,
    LIMIT_S,
    SERVED,
    Cache,
    DiscoveryServer,
    LoopbackRouter,
    entry,
    read,
    run,
)
from tests.helpers import S, settings
from tests.router.test_sockets import config_of

DEADLINE_S = 1.0
DEADLINE_MS = int(1000 * DEADLINE_S)
LONGEST_WAIT_MS = 2 * DEADLINE_MS
"""The longest time that a client may set; it ends after the process."""
FAILED, REJECTED = b"-ERR failed\r\n", b"-BUSY\r\n"
SCHEDULE = ShutdownSchedule.after_sigterm(0.0, DEADLINE_S)


class SilentCache(Cache):
    """A cache server that never answers."""

    def __init__(self) -> None:
        super().__init__(self._answer)
        self.request_received = asyncio.Event()

    async def _answer(self, _: list[bytes]) -> bytes | None:
        self.request_received.set()
        await asyncio.Event().wait()
        return None


async def answer_value(_: list[bytes]) -> bytes:
    """A cache server's answer to any command."""
    return HIT


@asynccontextmanager
async def silent_cache() -> AsyncIterator[SilentCache]:
    cache = SilentCache()
    await cache.start()
    try:
        yield cache
    finally:
        cache.stop()


class RunningProgram(NamedTuple):
    """A router that serves clients at `address`; `task` ends as its process would."""

    address: tuple[str, int]
    task: asyncio.Task[None]


@asynccontextmanager
async def serving_program(cache: Cache, folder: Path) -> AsyncIterator[RunningProgram]:
    """Run a whole router until the test ends it by SIGTERM."""
    agent = DiscoveryServer([entry("s1", cache.port)])
    await agent.start()
    request_class = RequestClass("read", latency_objective_ns=S // 2, deadline_ns=int(DEADLINE_S * S))
    config = replace(
        config_of(folder / "config.json", agent.port),
        listen_address=("127.0.0.1", 0),
        settings=settings(classes=(request_class,)),
    )
    listening: asyncio.Future[tuple[str, int]] = asyncio.get_running_loop().create_future()
    router = asyncio.create_task(program.serve(config, listening))
    address = await asyncio.wait_for(listening, LIMIT_S)
    await asyncio.wait_for(agent.watched.wait(), LIMIT_S)
    yield RunningProgram(address, router)
    await asyncio.wait_for(router, LIMIT_S)
    agent.stop()


async def open_request(address: tuple[str, int], cache: SilentCache) -> Any:
    """Send a request that is open until the process ends; returns its connection."""
    connection = await asyncio.open_connection(*address)
    connection[1].write(read("first", wait=LONGEST_WAIT_MS))
    await asyncio.wait_for(cache.request_received.wait(), LIMIT_S)
    return connection


@pytest.mark.parametrize("stall_s", [0.0, 0.4])
def test_what_is_open_at_the_end_of_a_shutdown_is_answered_and_so_is_what_waits_behind_it(
    tmp_path: Path, stall_s: float
) -> None:
    # Guards against a connection that is aborted at the process's end over a request that is open, and over
    # answers that wait behind it; also after a stall from before the last answers until after the end.
    async def test() -> None:
        async with silent_cache() as cache, serving_program(cache, tmp_path) as router:
            reader, writer = await open_request(router.address, cache)
            sigterm_s = time.monotonic()
            os.kill(os.getpid(), signal.SIGTERM)
            await asyncio.sleep(SCHEDULE.partial_commands_until_s + 0.05)
            writer.write(b"".join(read(f"behind{i}", wait=DEADLINE_MS) for i in range(5)))
            if stall_s:
                await asyncio.sleep(SCHEDULE.answer_by_s - 0.1 - (time.monotonic() - sigterm_s))
                time.sleep(stall_s)
            assert await asyncio.wait_for(reader.read(), LIMIT_S) == FAILED + 5 * REJECTED
            assert [words[2] for words in cache.seen] == [b"first"]
            writer.close()

    run(test)


def test_a_request_that_can_not_be_answered_before_the_end_of_the_process_is_not_forwarded(
    tmp_path: Path,
) -> None:
    # Guards against requests that are taken during a shutdown and outlive the process.
    async def test() -> None:
        async with silent_cache() as cache, serving_program(cache, tmp_path) as router:
            reader, writer = await open_request(router.address, cache)
            os.kill(os.getpid(), signal.SIGTERM)
            await asyncio.sleep(0.1)
            writer.write(read("later", wait=LONGEST_WAIT_MS))
            assert await asyncio.wait_for(reader.read(), LIMIT_S) == FAILED + REJECTED
            assert [words[2] for words in cache.seen] == [b"first"]
            writer.close()

    run(test)


def stall_until(until_s: float) -> None:
    """Stall the event loop until `until_s`, monotonic seconds."""
    time.sleep(max(until_s - time.monotonic(), 0.0))


async def hold_up(from_s: float, until_s: float) -> None:
    """Stall the event loop from `from_s` until `until_s`, monotonic seconds."""
    await asyncio.sleep(max(from_s - time.monotonic(), 0.0))
    stall_until(until_s)


def test_a_request_taken_between_two_polls_of_a_shutdown_is_answered_before_the_process_ends(
    tmp_path: Path,
) -> None:
    # Guards against a request that is taken by one poll of the shutdown's clock and outlives another one.
    async def test() -> None:
        async with silent_cache() as cache, serving_program(cache, tmp_path) as router:
            reader, writer = await asyncio.open_connection(*router.address)
            writer.write(read("first", wait=DEADLINE_MS))
            await asyncio.wait_for(cache.request_received.wait(), LIMIT_S)
            os.kill(os.getpid(), signal.SIGTERM)
            sigterm_s = time.monotonic()
            partial_commands_until_s = sigterm_s + SCHEDULE.partial_commands_until_s
            await hold_up(partial_commands_until_s - POLL_INTERVAL_S, partial_commands_until_s - 0.001)
            await asyncio.sleep(0.4 * POLL_INTERVAL_S)
            writer.write(b"".join(read(f"late{i}", wait=DEADLINE_MS) for i in range(5)))
            end_by_s = sigterm_s + SCHEDULE.end_by_s
            await hold_up(end_by_s - POLL_INTERVAL_S, end_by_s + 0.001)
            assert await asyncio.wait_for(reader.read(), LIMIT_S) == 6 * REJECTED
            writer.close()

    run(test)


async def connect_during_a_stall(address: tuple[str, int], data: bytes, until_s: float) -> socket.socket:
    """Connect and send `data` in a callback that stalls the event loop until `until_s`, monotonic seconds.

    A reader's callback is the last step of an iteration, so timers that are due run before the listener.
    """
    loop = asyncio.get_running_loop()
    connected: asyncio.Future[socket.socket] = loop.create_future()
    trigger, triggered = socket.socketpair()

    def connect() -> None:
        loop.remove_reader(triggered)
        try:
            client = socket.create_connection(address, LIMIT_S)
            client.sendall(data)
        except OSError as error:
            connected.set_exception(error)
            return
        client.setblocking(False)
        stall_until(until_s)
        connected.set_result(client)

    loop.add_reader(triggered, connect)
    trigger.send(b"x")
    client = await connected
    trigger.close()
    triggered.close()
    return client


def test_a_connection_that_comes_while_the_process_is_held_up_is_served_though_no_other_is_open(
    tmp_path: Path,
) -> None:
    # Guards against a process that ends over a connection taken from the accept queue and not adopted yet.
    async def test() -> None:
        cache = Cache(answer_value)
        await cache.start()
        async with serving_program(cache, tmp_path) as router:
            stalled_until_s = time.monotonic() + ACCEPT_AFTER_SIGTERM_S + 0.05
            os.kill(os.getpid(), signal.SIGTERM)
            await asyncio.sleep(ACCEPT_AFTER_SIGTERM_S - 0.2)
            request = read("late", wait=DEADLINE_MS // 2)
            with await connect_during_a_stall(router.address, request, stalled_until_s) as client:
                answer = await asyncio.get_running_loop().sock_recv(client, 64)
                assert answer == SERVED
                assert not router.task.done()  # the event loop outlives it here, and would answer later
        cache.stop()

    run(test)


def test_a_process_that_is_held_up_as_sigterm_comes_still_answers_before_it_would_be_killed(
    tmp_path: Path,
) -> None:
    # Guards against a shutdown that counts its time from when it reads the signal: SIGKILL doesn't.
    async def test() -> None:
        async with silent_cache() as cache, serving_program(cache, tmp_path) as router:
            reader, writer = await open_request(router.address, cache)
            sigterm_s = time.monotonic()
            os.kill(os.getpid(), signal.SIGTERM)
            await hold_up(sigterm_s, sigterm_s + 0.3)
            assert await asyncio.wait_for(reader.readexactly(len(FAILED)), LIMIT_S) == FAILED
            assert time.monotonic() - sigterm_s < DEADLINE_S + KILL_SLACK_S
            writer.close()

    run(test)


class TakeoverOwner:
    """The owner of a router whose connections another process takes over."""

    def __init__(self, router: LoopbackRouter) -> None:
        self._router = router
        self.taken_over: list[ClientHandover] = []
        self._link: Any = SimpleNamespace(send=self._send, sent=True)

    def _send(self, handover: ClientHandover, descriptor: int) -> None:
        os.close(descriptor)
        self.taken_over.append(handover)

    def sigterm_wait_s(self) -> float:
        return 0.0

    def reject_unanswerable(self, answer_within_s: float) -> None:
        self._router.dispatcher.latest_deadline_ns = time.monotonic_ns() + int(answer_within_s * S)

    def answer_open_requests(self) -> None:
        self._router.dispatcher.answer_open_requests()

    def handover_link(self) -> Any:
        return self._link

    def adopt_client(self, handover: ClientHandover | None, descriptor: int) -> None:
        raise NotImplementedError

    def adopting_count(self) -> int:
        return 0


def test_what_is_open_at_the_end_of_an_upgrade_is_answered_and_its_connection_handed_over() -> None:
    # Guards against the old process of an upgrade ending over requests that it has taken.
    async def test() -> None:
        async with silent_cache() as cache:
            router = LoopbackRouter()
            await router.start(entry("s1", cache.port))
            reader, writer = await open_request(router.address, cache)
            owner = TakeoverOwner(router)
            loop = asyncio.get_running_loop()
            await GracefulShutdown(loop, router.clients, owner, DEADLINE_S).run()
            assert await asyncio.wait_for(reader.readexactly(len(FAILED)), LIMIT_S) == FAILED
            assert len(owner.taken_over) == 1
            writer.close()
            router.stop()

    run(test)


def test_the_schedule_counts_from_the_signal_and_not_from_when_it_is_read() -> None:
    # Guards against a process that was held up as SIGTERM came and ends after SIGKILL.
    async def test() -> None:
        async with silent_cache() as cache:
            router = LoopbackRouter()
            await router.start(entry("s1", cache.port))
            owner = TakeoverOwner(router)
            owner.sigterm_wait_s = lambda: 0.1  # type: ignore[method-assign]
            loop = asyncio.get_running_loop()
            shutdown = GracefulShutdown(loop, router.clients, owner, DEADLINE_S)
            assert shutdown._schedule.end_by_s - loop.time() < SCHEDULE.end_by_s - 0.09
            router.stop()

    run(test)
