"""LagMonitor: how long data read after a lag of the event loop may have waited."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from holdgw.router.event_loop_lag import MAX_BEAT_DELAY_NS, RECENT_LAG_NS, LagMonitor
from tests.emulated_nodes import HIT, Cache, LoopbackRouter, entry, read, run

MS = 1_000_000
INTERVAL_NS = 20 * MS


def monitor_without_lag(until_ns: int) -> LagMonitor:
    monitor = LagMonitor(INTERVAL_NS, 0)
    for now in range(INTERVAL_NS, until_ns + 1, INTERVAL_NS):
        assert monitor.beat(now) == 0
    return monitor


def test_without_a_lag_nothing_read_has_waited() -> None:
    monitor = monitor_without_lag(200 * MS)
    assert monitor.possible_lag_ns(200 * MS + INTERVAL_NS + MAX_BEAT_DELAY_NS) == 0
    # A late beat on a busy machine is no lag.
    assert monitor.beat(200 * MS + INTERVAL_NS + MAX_BEAT_DELAY_NS) == 0
    assert monitor.possible_lag_ns(260 * MS) == 0


@pytest.mark.parametrize("first", ["read", "beat"])
def test_what_is_read_after_a_lag_may_have_waited_since_the_beat_before_it(first: str) -> None:
    monitor = monitor_without_lag(200 * MS)
    lag_end = 2_200 * MS
    if first == "beat":  # the event loop may run its timers before it reads its sockets
        assert monitor.beat(lag_end) == lag_end - 200 * MS
    assert monitor.possible_lag_ns(lag_end) == lag_end - 200 * MS
    assert monitor.possible_lag_ns(lag_end + MS) == lag_end + MS - 200 * MS


def test_a_second_beat_after_a_lag_ends_the_possible_wait() -> None:
    monitor = monitor_without_lag(200 * MS)
    monitor.beat(2_200 * MS)
    monitor.beat(2_220 * MS)
    assert monitor.possible_lag_ns(2_225 * MS) == 0


def test_a_lag_counts_as_recent_for_a_while() -> None:
    monitor = monitor_without_lag(200 * MS)
    assert not monitor.lagged_recently(210 * MS)
    monitor.beat(2_200 * MS)
    assert monitor.lagged_recently(2_200 * MS + RECENT_LAG_NS - 1)
    assert not monitor.lagged_recently(2_200 * MS + RECENT_LAG_NS)


def test_a_deadline_counts_from_the_arrival_of_bytes_that_are_read_late_after_a_lag() -> None:
    """The event loop stalls while a command waits on a connection that is not read until some beats later.

    The client has waited longer than its timeout, so the command is rejected and no cache server gets it. The
    next command has its full timeout.
    """

    async def steps() -> None:
        async def hit(_: list[bytes]) -> bytes:
            return HIT

        cache, node = Cache(hit), LoopbackRouter()
        await cache.start()
        await node.start(entry("cache", cache.port))
        loop = asyncio.get_running_loop()
        with socket.create_connection(node.address) as client:
            client.setblocking(False)
            while not node.clients.connection_count:
                await asyncio.sleep(0.01)
            (connection,) = node.clients.connections
            assert connection.transport is not None
            connection.transport.pause_reading()
            await loop.sock_sendall(client, read("q1", wait=250))
            time.sleep(0.3)
            await asyncio.sleep(0.06)  # more than two beats of the monitor
            connection.transport.resume_reading()
            answer = await asyncio.wait_for(loop.sock_recv(client, 100), 20.0)
            assert answer.startswith(b"-BUSY")
            assert cache.seen == []
            await loop.sock_sendall(client, read("q2", wait=900))
            assert (await asyncio.wait_for(loop.sock_recv(client, 100), 20.0)).startswith(b"$5")
        node.stop()
        cache.stop()

    run(steps)
