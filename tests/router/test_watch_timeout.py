"""WatchTimeout: watches at a polled service wait briefly while it has capacity, and long while it has not."""

from __future__ import annotations

import asyncio
import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

import orjson
import pytest

from holdgw.router import discovery, endpoint_list, watch_timeout
from holdgw.router.watch_timeout import WatchTimeout
from tests.emulated_nodes import LIMIT_S, LoopbackServer, run

SHORTEST_S, LONGEST_S = discovery.POLL_WAIT_MS / 1000, discovery.MAX_POLL_WAIT_MS / 1000
MAX_QUEUE_DELAY_S = 2.0  # the service rejects a call that would wait in its queue for longer than this


def adaptive() -> WatchTimeout:
    return WatchTimeout(SHORTEST_S, LONGEST_S)


def fixed(wait_s: float) -> Callable[[], WatchTimeout]:
    return lambda: WatchTimeout(wait_s, wait_s)


@dataclass
class Caller:
    timeout: WatchTimeout
    call: int = 0  # number of the current call; events of earlier calls are ignored
    seen_version: int = 0  # of the list


@dataclass
class Service:
    """A service that answers calls in order of arrival, one from each router within `all_call_s` seconds."""

    new_timeout: Callable[[], WatchTimeout]
    all_call_s: float
    change_interval_s: float  # between two changes of the list
    routers: int = 100
    length_s: float = 600.0
    seed: int = 1
    failed: int = 0
    calls: int = 0
    version: int = 0
    free_at: float = 0.0
    callers: list[Caller] = field(default_factory=list)

    def simulate(self) -> Service:
        """Simulate `length_s` seconds, and count the calls and those that failed."""
        rng, serial = random.Random(self.seed), count()
        self.callers = [Caller(self.new_timeout()) for _ in range(self.routers)]
        events: list[tuple[float, int, Callable[[float], None]]] = []

        def schedule(at: float, act: Callable[[float], None]) -> None:
            heapq.heappush(events, (at, next(serial), act))

        def fail(caller: Caller, now: float) -> None:
            self.failed += 1
            caller.timeout.failed()
            schedule(now + rng.uniform(0.25, 1.0), lambda at: begin(caller, at))

        def begin(caller: Caller, now: float) -> None:
            self.calls += 1
            caller.call += 1
            number, wait_s = caller.call, caller.timeout.wait_s
            if self.free_at - now > MAX_QUEUE_DELAY_S:
                fail(caller, now)
                return
            self.free_at = max(self.free_at, now) + self.all_call_s / self.routers
            schedule(self.free_at, lambda at: serve(caller, number, at))
            schedule(self.free_at + wait_s, lambda at: end(caller, number, at, at - now - wait_s))
            schedule(now + wait_s + discovery.POLL_SLACK_S, lambda at: give_up(caller, number, at))

        def serve(caller: Caller, number: int, now: float) -> None:
            if number == caller.call and caller.seen_version < self.version:
                caller.seen_version = self.version
                begin(caller, now)

        def end(caller: Caller, number: int, now: float, delay: float) -> None:
            if number == caller.call:
                caller.timeout.timed_out(delay)
                begin(caller, now)

        def give_up(caller: Caller, number: int, now: float) -> None:
            if number == caller.call:
                caller.call += 1
                fail(caller, now)

        def change(now: float) -> None:
            self.version += 1
            for caller in self.callers:
                schedule(now, lambda at, one=caller, number=caller.call: serve(one, number, at))  # type: ignore[misc]
            schedule(now + self.change_interval_s, change)

        for caller in self.callers:
            schedule(rng.uniform(0.25, 1.0), lambda at, one=caller: begin(one, at))  # type: ignore[misc]
        schedule(self.change_interval_s, change)
        while events[0][0] < self.length_s:
            now, _, act = heapq.heappop(events)
            act(now)
        return self


@pytest.mark.parametrize("change_interval_s", [60.0, 1e9])
@pytest.mark.parametrize("all_call_s", [2.0, 4.0, 8.0])
def test_an_overloaded_service_fails_at_most_a_tenth_more_calls_than_with_the_longest_wait(
    all_call_s: float, change_interval_s: float
) -> None:
    longest = Service(fixed(LONGEST_S), all_call_s, change_interval_s).simulate()
    shortest = Service(fixed(SHORTEST_S), all_call_s, change_interval_s).simulate()
    adapted = Service(adaptive, all_call_s, change_interval_s).simulate()
    assert adapted.failed <= 1.1 * longest.failed
    if all_call_s > SHORTEST_S:
        assert shortest.failed > 1.5 * longest.failed


@pytest.mark.parametrize("all_call_s", [0.05, 0.5])
def test_a_service_with_capacity_is_polled_with_the_shortest_wait(all_call_s: float) -> None:
    simulated = Service(adaptive, all_call_s, 1e9).simulate()
    assert not simulated.failed
    assert {caller.timeout.wait_s for caller in simulated.callers} == {SHORTEST_S}


def test_the_wait_begins_long_grows_by_one_late_answer_and_shrinks_by_many_quick_ones() -> None:
    timeout, needed = adaptive(), 0
    assert timeout.wait_s == LONGEST_S
    while timeout.wait_s > SHORTEST_S:
        before = timeout.wait_s
        timeout.timed_out(0.001)
        assert timeout.wait_s < before
        needed += 1
    assert needed > 20
    timeout.timed_out(0.5)
    assert timeout.wait_s == 10.0
    timeout.failed()
    assert timeout.wait_s == LONGEST_S
    timeout.timed_out(1e9)
    assert timeout.wait_s == LONGEST_S


class RecordingService(LoopbackServer):
    """A service that answers each watch exactly at the end of its wait, and the third one with 503.

    It advances the test's clock itself, and records the waits.
    """

    def __init__(self, now_ms: int) -> None:
        super().__init__()
        self.now_ms = now_ms
        self.waits_ms: list[int] = []
        self.five_calls_received = asyncio.Event()

    def now(self) -> float:
        """The clock, in seconds."""
        return self.now_ms / 1000

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while len(self.waits_ms) < 5:
            head = await reader.readuntil(b"\r\n\r\n")
            self.waits_ms.append(int(head.partition(b"wait=")[2].split(b" ")[0]))
            if len(self.waits_ms) == 3:
                writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                continue
            self.now_ms += self.waits_ms[-1]
            body = orjson.dumps({"generation": 5, "reset": False, "instances": []})
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        self.five_calls_received.set()
        await asyncio.Event().wait()


@pytest.mark.parametrize(
    "start_ms",
    [
        1_000,
        1_026,  # as differences of seconds these waits would end about 1e-16 s too soon
    ],
)
def test_prompt_answers_shorten_the_wait_of_a_watch_and_a_failure_restores_the_longest(
    monkeypatch: pytest.MonkeyPatch, start_ms: int
) -> None:
    monkeypatch.setattr(discovery, "POLL_WAIT_MS", 10)
    monkeypatch.setattr(discovery, "MAX_POLL_WAIT_MS", 400)
    monkeypatch.setattr(discovery, "POLL_SLACK_S", LIMIT_S)
    monkeypatch.setattr(watch_timeout, "DELAY_FACTOR", 0.02)
    monkeypatch.setattr(watch_timeout, "DELAY_DECAY", 0.5)

    async def test() -> None:
        service, failed = RecordingService(start_ms), asyncio.Event()
        await service.start()
        watching = discovery.Discovery(
            ("127.0.0.1", service.port), True, endpoint_list.Clock(), lambda _: None, failed.set, service.now
        )
        watching.resume_from(5)
        watching.subscribe()
        await asyncio.wait_for(failed.wait(), LIMIT_S)
        watching.subscribe()
        await asyncio.wait_for(service.five_calls_received.wait(), LIMIT_S)
        assert service.waits_ms == [400, 200, 100, 400, 200]
        watching.close()
        service.stop()

    run(test)
