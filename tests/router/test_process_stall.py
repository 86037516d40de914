"""A process that is held up itself: what its own lag adds is not held against endpoints."""

from __future__ import annotations

import asyncio
import threading
import time

import pytest

from holdgw.policy.retry_policy import MAX_RETRY_BUDGET
from holdgw.router.connection_pool import MAX_CONNECTIONS_PER_ENDPOINT
from holdgw.router.event_loop_lag import LagMonitor
from holdgw.router.recent_ids import RecentIds
from tests.emulated_nodes import HIT, LIMIT_S, SERVED, Cache, LoopbackRouter, entry, read, run, until
from tests.helpers import MS, S

STALL_S = 0.46
REQUESTS = 100


class CacheThread:
    """A cache server on an event loop of its own, which a stall of the router's loop doesn't hold up.

    It answers after `delay_s`, so that a stall comes before the answers; the first attempts at the request
    `silent` get none, as many as `silent` says.
    """

    def __init__(self, delay_s: float = 0.0, silent: int = 0) -> None:
        self.cache = Cache(self._answer)
        self._delay_s, self._silent = delay_s, silent
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)

    async def _answer(self, words: list[bytes]) -> bytes:
        if words[2] == b"silent" and self._silent:
            self._silent -= 1
            await asyncio.sleep(LIMIT_S)
        await asyncio.sleep(self._delay_s)
        return HIT

    def start(self) -> int:
        """Start; returns the port."""
        self._thread.start()
        asyncio.run_coroutine_threadsafe(self.cache.start(), self._loop).result(LIMIT_S)
        return self.cache.port

    def stop(self) -> None:
        self._loop.call_soon_threadsafe(self.cache.stop)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(LIMIT_S)


@pytest.mark.parametrize("forwarded", [1, 8, MAX_CONNECTIONS_PER_ENDPOINT])
def test_requests_with_time_left_are_served_after_a_stall_of_the_process(forwarded: int) -> None:
    # Guards against requests rejected, as a stall of the router itself was held against its endpoint.
    async def test() -> None:
        server, router = CacheThread(delay_s=0.03), LoopbackRouter()
        await router.start(entry("s1", server.start()))
        reader, writer = await router.dial()
        for number in range(20):
            writer.write(read(f"first{number}"))
            assert await asyncio.wait_for(reader.readexactly(len(SERVED)), LIMIT_S) == SERVED
        seen = len(server.cache.seen)
        writer.write(b"".join(read(f"r{number}") for number in range(REQUESTS)))
        await until(lambda: len(server.cache.seen) - seen >= forwarded)
        time.sleep(STALL_S)
        answers = await asyncio.wait_for(reader.readexactly(REQUESTS * len(SERVED)), LIMIT_S)
        assert answers == REQUESTS * SERVED
        (endpoint,) = router.dispatcher._policy._caches.endpoints.values()
        assert endpoint.admission_probability(time.monotonic_ns()) == 1.0
        assert router.dispatcher._policy._retries.budget >= MAX_RETRY_BUDGET - 1
        writer.close()
        router.stop()
        server.stop()

    run(test)


def test_an_attempt_whose_answer_stays_out_is_retried_after_a_stall_of_the_process() -> None:
    # Guards against an attempt timeout that a stall puts off for good.
    async def test() -> None:
        server, router = CacheThread(silent=1), LoopbackRouter()
        await router.start(entry("s1", server.start()))
        reader, writer = await router.dial()
        for number in range(20):
            writer.write(read(f"first{number}"))
            assert await asyncio.wait_for(reader.readexactly(len(SERVED)), LIMIT_S) == SERVED
        await router.connections_rested()  # only an answer on a used connection tells the endpoint's latency
        assert await router.ask(read("used"), len(SERVED)) == SERVED
        await router.connections_rested()
        seen = len(server.cache.seen)
        writer.write(read("silent"))
        await until(lambda: len(server.cache.seen) > seen)
        time.sleep(STALL_S)
        assert await asyncio.wait_for(reader.readexactly(len(SERVED)), LIMIT_S) == SERVED
        assert [words[2] for words in server.cache.seen[seen:]] == [b"silent"] * 2
        writer.close()
        router.stop()
        server.stop()

    run(test)


@pytest.mark.sources_only
@pytest.mark.parametrize("stalled_at", [288, 399])
def test_a_stall_as_an_id_is_remembered_rejects_no_request(
    stalled_at: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The moments at which a stall of 0.46 s brought -BUSY to 3 and 50 of 100 requests.
    ids_added = 0
    add = RecentIds.add

    def add_slowly(self: RecentIds, request_id: str, now_ns: int) -> None:
        nonlocal ids_added
        ids_added += 1
        if ids_added == stalled_at:
            time.sleep(STALL_S)
        add(self, request_id, now_ns)

    monkeypatch.setattr(RecentIds, "add", add_slowly)

    async def test() -> None:
        server, router = CacheThread(), LoopbackRouter()
        await router.start(entry("s1", server.start()))
        reader, writer = await router.dial()
        for start in range(0, 600, REQUESTS):
            writer.write(b"".join(read(f"r{start + number}") for number in range(REQUESTS)))
            answers = await asyncio.wait_for(reader.readexactly(REQUESTS * len(SERVED)), LIMIT_S)
            assert answers == REQUESTS * SERVED
        writer.close()
        router.stop()
        server.stop()

    run(test)


def test_the_lag_of_a_monitor_grows_by_what_exceeds_its_interval() -> None:
    interval_ns, start_ns = 20 * MS, 7 * S
    monitor = LagMonitor(interval_ns, start_ns)
    monitor.beat(start_ns + interval_ns)
    assert monitor.total_lag_ns(start_ns + interval_ns) == 0
    late_ns = start_ns + interval_ns + 500 * MS
    assert monitor.total_lag_ns(late_ns) == 480 * MS
    monitor.beat(late_ns)
    assert monitor.total_lag_ns(late_ns) == 480 * MS
    monitor.beat(late_ns + interval_ns)
    assert monitor.total_lag_ns(late_ns + interval_ns) == 480 * MS
