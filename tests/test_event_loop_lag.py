"""A process that stood still knows for how long what it reads next may have waited."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from holdgw.router.event_loop_lag import AFTER_NS, SLACK_NS, LagMonitor
from tests.emulated_nodes import HIT, Cache, Node, entry, read, run

MS = 1_000_000
EVERY = 20 * MS


def beating(until: int) -> LagMonitor:
    beats = LagMonitor(EVERY, 0)
    for now in range(EVERY, until + 1, EVERY):
        assert beats.beat(now) == 0
    return beats


def test_a_process_that_beats_has_let_nothing_wait() -> None:
    beats = beating(200 * MS)
    assert beats.possible_lag_ns(200 * MS + EVERY + SLACK_NS) == 0
    assert beats.beat(200 * MS + EVERY + SLACK_NS) == 0  # a late beat on a busy machine is no stall
    assert beats.possible_lag_ns(260 * MS) == 0


@pytest.mark.parametrize("first", ["read", "beat"])
def test_what_is_read_after_a_stall_may_have_waited_since_it_began(first: str) -> None:
    beats = beating(200 * MS)
    wakes = 2_200 * MS
    if first == "beat":  # the loop may look at its timers before its sockets
        assert beats.beat(wakes) == wakes - 200 * MS
    assert beats.possible_lag_ns(wakes) == wakes - 200 * MS
    assert beats.possible_lag_ns(wakes + MS) == wakes + MS - 200 * MS


def test_a_beat_after_the_stall_ends_the_doubt() -> None:
    beats = beating(200 * MS)
    beats.beat(2_200 * MS)
    beats.beat(2_220 * MS)
    assert beats.possible_lag_ns(2_225 * MS) == 0


def test_for_a_while_after_a_stall_the_kernel_is_to_be_asked() -> None:
    beats = beating(200 * MS)
    assert not beats.lagged_recently(210 * MS)
    beats.beat(2_200 * MS)
    assert beats.lagged_recently(2_200 * MS + AFTER_NS - 1)
    assert not beats.lagged_recently(2_200 * MS + AFTER_NS)


def test_what_is_read_some_beats_after_a_stall_is_answered_by_when_it_came() -> None:
    """As on a connection that the process takes when it has gone on for a while."""

    async def scene() -> None:
        async def hit(_: list[bytes]) -> bytes:
            return HIT

        cache, node = Cache(hit), Node()
        await cache.start()
        await node.start(entry("cache", cache.port))
        loop = asyncio.get_running_loop()
        with socket.create_connection(node.address) as client:
            client.setblocking(False)
            while not node.clients.connected:
                await asyncio.sleep(0.01)
            (connection,) = node.clients._connections
            assert connection.transport is not None
            connection.transport.pause_reading()
            await loop.sock_sendall(client, read("q1", wait=250))
            time.sleep(0.3)
            await asyncio.sleep(0.06)  # two beats and more
            connection.transport.resume_reading()
            answer = await asyncio.wait_for(loop.sock_recv(client, 100), 20.0)
            assert answer.startswith(b"-BUSY")
            assert cache.seen == []
            await loop.sock_sendall(client, read("q2", wait=900))
            assert (await asyncio.wait_for(loop.sock_recv(client, 100), 20.0)).startswith(b"$5")
        node.stop()
        cache.stop()

    run(scene)
