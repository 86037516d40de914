"""Hollow routers, many to a process: the real control code, driven by a synthetic request stream.

The cost of a router's control is the thread's CPU time in the event loop's calls into it (timers, received
datagrams), without the time of the synthetic stream. The loop's own work (waking, reading sockets) is not
included; the CPU time of the whole process, which is reported too, includes it.
"""

from __future__ import annotations

import asyncio
import bisect
import gc
import itertools
import logging
import os
import random
import socket
import statistics
import sys
from collections import Counter, deque
from collections.abc import Callable, Mapping
from time import process_time_ns, thread_time_ns
from typing import Any, NamedTuple, cast

from bench.scale_child import Handler, serve
from bench.scale_clock import NS_PER_S, PACE_INTERVAL_S, LagMonitor, SlowClock, measure_pace
from bench.scale_plan import LOW_RATE_PER_S, location_of
from holdgw.harness.routers import resident_bytes
from holdgw.peers.aggregated_exchange import Role
from holdgw.peers.datagram import MemberState
from holdgw.peers.gossip import Address, PeerConfig, PeerNode
from holdgw.peers.load_view import AgedResponseTime, LoadSnapshot, Observations, SampledResponseTime

REQUESTS_PER_S = 934
SLOTS = 8192
ZIPF = 0.9
SEGMENTS = 64  # drawn ahead; each router replays them in a random order
SEGMENT_S = 0.3
MAX_CORRECTED_LATENESS_S = 0.1  # after a later timer, the next delay counts from the current time
MAX_SEGMENTS_PER_CALL = 10  # of the stream, that one call reports after however long a pause
MAX_HELD_DATAGRAMS = 256  # that the socket buffer of a paused process keeps
SLOW_PERIOD_S = 0.1
TENANTS = ("public", "municipal")


class StreamSegment(NamedTuple):
    """A router's observations in 0.3 s of the stream.

    `response_times`: by server, the last reported response time and how long before the segment's end it
    came, ns; `slots`: requests by slot.
    """

    response_times: dict[str, tuple[float, int]]
    slots: dict[int, int]


def draw_segments(servers: list[str], seed: int, rate: float) -> list[StreamSegment]:
    """Draw segments of a stream of `rate` requests a second: Zipf over the slots, even over the servers."""
    rng = random.Random(f"{seed}/stream")
    cumulative_weights = list(itertools.accumulate((rank + 1) ** -ZIPF for rank in range(SLOTS)))
    slot_of = list(range(SLOTS))
    rng.shuffle(slot_of)
    mean_ns = {server: rng.lognormvariate(18.2, 0.4) for server in servers}  # about 80 ms
    count = round(rate * SEGMENT_S)
    segments = []
    for _ in range(SEGMENTS):
        slots = Counter(
            slot_of[bisect.bisect(cumulative_weights, rng.random() * cumulative_weights[-1])]
            for _ in range(count)
        )
        response_times = {}
        for i in range(count):
            server = rng.choice(servers)
            age = int((count - i) * SEGMENT_S / count * NS_PER_S)
            response_times[server] = (mean_ns[server] * rng.uniform(0.7, 1.4), age)
        segments.append(StreamSegment(response_times, dict(slots)))
    return segments


def merge_segments(segments: list[StreamSegment], now: int) -> Observations:
    """Return a router's observations in consecutive segments, of which the last ends now (ns)."""
    response_times: dict[str, SampledResponseTime] = {}
    slots: Counter[int] = Counter()
    for i, segment in enumerate(segments):
        end = now - int((len(segments) - 1 - i) * SEGMENT_S * NS_PER_S)
        response_times.update(
            (server, SampledResponseTime(wait, end - age))
            for server, (wait, age) in segment.response_times.items()
        )
        slots.update(segment.slots)
    return Observations(response_times, slots)


class Meter:
    """Measures one router's control by second, and holds its calls back while the router is paused."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.spent_ns: Counter[int] = Counter()
        """CPU time by second of the scenario, ns."""
        self.stream_ns = 0
        """CPU time of the synthetic stream, ns; not part of the control's."""
        self.after_call: Callable[[], None] = lambda: None
        self.dropped_datagrams = 0
        """Datagrams received during pauses beyond what a socket buffer keeps."""
        self._pauses = 0
        self._held_calls: deque[tuple[Callable[..., Any], tuple[Any, ...]]] = deque()

    def run(self, call: Callable[..., Any], *args: Any) -> None:
        """Make a call and add its CPU time; while the router is paused, hold the call back."""
        if self._pauses:
            self._held_calls.append((call, args))
            return
        stream_before_ns, began = self.stream_ns, thread_time_ns()
        call(*args)
        took_ns = thread_time_ns() - began - (self.stream_ns - stream_before_ns)
        self.spent_ns[int(self.clock())] += took_ns
        self.after_call()

    def run_datagram(self, call: Callable[..., Any], *args: Any) -> None:
        """Handle a datagram as `run` does, but drop it if too many calls are held back."""
        if self._pauses and len(self._held_calls) >= MAX_HELD_DATAGRAMS:
            self.dropped_datagrams += 1
            return
        self.run(call, *args)

    def pause(self) -> None:
        """Pause the router. Pauses nest."""
        self._pauses += 1

    def resume(self) -> None:
        """End a pause; after the last one, make the calls held back, in their order."""
        self._pauses -= 1
        while self._held_calls and not self._pauses:
            call, args = self._held_calls.popleft()
            self.run(call, *args)


class MeteredProtocol(asyncio.DatagramProtocol):
    """Wraps the control's datagram protocol and measures its calls."""

    def __init__(self, inner: asyncio.DatagramProtocol, meter: Meter) -> None:
        self._inner, self._meter = inner, meter

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Forward the transport."""
        self._inner.connection_made(transport)  # type: ignore[arg-type]

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Forward a datagram, measured."""
        self._meter.run_datagram(self._inner.datagram_received, data, addr)

    def error_received(self, exc: Exception) -> None:
        """Forward an error, measured."""
        self._meter.run(self._inner.error_received, exc)


class MeteredLoop:
    """The event loop as the control uses it: on the rig's clock, with every call measured."""

    def __init__(self, loop: asyncio.AbstractEventLoop, slow: float, meter: Meter) -> None:
        self._loop, self._slow, self._meter = loop, slow, meter
        self._due: float | None = None  # due time of the timer that is running

    def time(self) -> float:
        """Return the loop's time in seconds of the rig's clock."""
        return self._loop.time() / self._slow

    def call_later(self, delay: float, call: Callable[..., Any], *args: Any) -> asyncio.TimerHandle:
        """Schedule a call after `delay` seconds of the rig's clock."""
        now = self._loop.time()
        # The delay counts from when the running timer was due. Counted from when a late timer ran, late ticks
        # would stay bunched for ever: all routers of a process would tick right after one another, which
        # routers on machines of their own never do.
        nearly_on_time = self._due is not None and now - self._due < MAX_CORRECTED_LATENESS_S * self._slow
        due = (self._due if nearly_on_time and self._due is not None else now) + delay * self._slow
        return self._loop.call_at(due, self._run_timer, due, call, args)

    def _run_timer(self, due: float, call: Callable[..., Any], args: tuple[Any, ...]) -> None:
        self._due = due
        try:
            self._meter.run(call, *args)
        finally:
            self._due = None

    def call_soon(self, call: Callable[..., Any], *args: Any) -> asyncio.Handle:
        """Schedule a call in the loop's next iteration."""
        return self._loop.call_soon(self._meter.run, call, *args)

    def create_task(self, work: Any) -> asyncio.Task[Any]:
        """Create a task, unmeasured: the control only binds its socket in one."""
        return self._loop.create_task(work)

    async def create_datagram_endpoint(self, make: Callable[[], Any], **args: Any) -> Any:
        """Create a socket whose datagrams are measured."""
        return await self._loop.create_datagram_endpoint(lambda: MeteredProtocol(make(), self._meter), **args)


class ViewReading(NamedTuple):
    """A router's load view in one second of the scenario.

    `servers`: servers in the view; ages in seconds: `given_age` of the median response time when the router
    receives the view, `held_age` and `oldest_age` of the median and the oldest one just before the next view
    replaces it; `routers`: routers that the view rests on.
    """

    second: int
    servers: int
    given_age: float
    held_age: float
    oldest_age: float
    routers: int


class HeldView(NamedTuple):
    """A view that a router received at a second of the scenario, and its response times' ages then, s."""

    at: float
    ages: list[float]


class HollowRouter:
    """One router's control, and the synthetic router that owns it."""

    def __init__(self, number: int, listen: Address, process: HollowProcess, light: bool) -> None:
        self.number, self.listen = number, listen
        self.view_readings: list[ViewReading] = []
        self.learnt: dict[int, float] = {}
        """When the router first held each killed member to be gone, seconds of the scenario."""
        self.meter = Meter(lambda: process.play_clock.seconds())
        self.meter.after_call = self._note_deaths
        self.node: PeerNode | None = None
        self.dead = False
        self.light = light
        self.aggregator = False
        self._held_view: HeldView | None = None
        self._observed_ns = process.clock.ns()
        self._process = process
        self._random = random.Random(f"{process.seed}/{number}")

    def start(self, each: tuple[Address, ...], aggregators: tuple[int, ...]) -> None:
        """Start the control, as a dedicated aggregator if its number is among `aggregators`."""
        self.aggregator = self.number in aggregators
        role = Role.DEDICATED if self.aggregator else Role.ROUTER
        process = self._process
        loop = MeteredLoop(asyncio.get_running_loop(), process.clock.slow, self.meter)
        config = PeerConfig(self.number, self.listen, each, location_of(self.number).site, aggregators, role)
        self.node = PeerNode(
            cast(asyncio.AbstractEventLoop, loop),
            config,
            self._random.randrange(1 << 60),
            process.clock.ns,
            self,
            TENANTS,
        )
        self.node.load_view.set_servers(process.servers)
        self.node.start()

    def begin(self) -> None:
        """Drop what was measured before the scenario."""
        self.meter.spent_ns.clear()
        self.view_readings.clear()
        self._held_view = None

    def kill(self) -> None:
        """Stop the router as if its machine were lost."""
        self.dead = True
        self.meter.pause()
        if self.node is not None:
            self.node.close()

    # Interface of the control's owner

    def take_observations(self) -> Observations:
        """Return the segments of the synthetic stream that have passed since the last call, at least one."""
        began = thread_time_ns()
        now = self._process.clock.ns()
        count = round((now - self._observed_ns) / NS_PER_S / SEGMENT_S)
        count = min(max(count, 1), MAX_SEGMENTS_PER_CALL)
        self._observed_ns = now
        observations = merge_segments(
            [self._random.choice(self._process.segments[self.light]) for _ in range(count)], now
        )
        self.meter.stream_ns += thread_time_ns() - began
        return observations

    def demands(self) -> dict[str, float]:
        """Return each tenant's demand for the origin, requests a second."""
        return {"public": 12.0, "municipal": 5.0}

    def apply_load_snapshot(self, snapshot: LoadSnapshot) -> None:
        """Record the merged view once a second; it has no effect."""
        began = thread_time_ns()
        self._record_view(snapshot.response_times)
        self.meter.stream_ns += thread_time_ns() - began

    def _record_view(self, response_times: Mapping[str, AgedResponseTime]) -> None:
        """Record the view that is replaced now, with the ages it has reached."""
        now = self._process.play_clock.seconds()
        before, self._held_view = (
            self._held_view,
            HeldView(now, [response_time.age / NS_PER_S for response_time in response_times.values()]),
        )
        if before is None or (self.view_readings and self.view_readings[-1].second == int(now)):
            return
        ages = before.ages or [0.0]
        held_s = now - before.at
        middle = statistics.median(ages)
        given_age, held_age, oldest_age = (
            round(age, 3) for age in (middle, middle + held_s, max(ages) + held_s)
        )
        self.view_readings.append(
            ViewReading(
                int(now), len(before.ages), given_age, held_age, oldest_age, 1 + self._other_routers_in_view()
            )
        )

    def _other_routers_in_view(self) -> int:
        """Return the number of other routers that the view rests on."""
        if self.node is None:
            return 0
        client = self.node.exchange.client if self.node.exchange is not None else None
        if client is None or client.in_fallback:
            return self.node.load_view.routers
        # A merged view counts every router that reported, this one among them.
        return client.views.max_reporters(self._process.clock.ns()) - 1

    # Figures for the rig

    def _note_deaths(self) -> None:
        if self.node is None or len(self.learnt) == len(self._process.killed):
            return
        for number in self._process.killed:
            if number not in self.learnt and self.node.membership.state(number) is MemberState.GONE:
                self.learnt[number] = round(self._process.play_clock.seconds(), 3)

    def report(self) -> dict[str, Any]:
        """Return what was measured of this router."""
        assert self.node is not None
        states = {} if self.dead else self.node.state_counts()
        return {
            "number": self.number,
            "dead": self.dead,
            "light": self.light,
            "aggregator": self.aggregator,
            "cpu_ns": dict(self.meter.spent_ns),
            "seen": self.view_readings,
            "learnt": self.learnt,
            "states": states,
            "dropped": {str(reason): count for reason, count in self.node.dropped.items()},
        }


class HollowProcess:
    """Handles the parent's requests to a process of hollow routers."""

    def __init__(self) -> None:
        self.clock = self.play_clock = SlowClock(0, 1.0)
        self.seed = 0
        self.servers: list[str] = []
        self.segments: dict[bool, list[StreamSegment]] = {}
        """By whether a router has the low request rate."""
        self.routers: dict[int, HollowRouter] = {}
        self.killed: set[int] = set()
        self._lag: LagMonitor | None = None
        self._pace_readings: list[float] = []
        self._memory_bytes = 0  # of the process before its routers exist
        self._cpu_start_ns = 0
        self._stream_start_ns = 0

    def handlers(self) -> Mapping[str, Handler]:
        """Return the handlers by verb."""
        return {
            "setup": self.setup,
            "start": self.start,
            "begin": self.begin,
            "kill": self.kill,
            "slow": self.slow,
            "hold": self.hold,
            "alive": self.alive,
            "report": self.report,
        }

    async def setup(
        self,
        ip: str,
        numbers: list[int],
        light: list[int],
        seed: int,
        servers: int,
        base: int,
        slow: float,
    ) -> dict[str, Any]:
        """Draw the stream and choose the routers' listen addresses, which are returned by number.

        `light`: numbers of the routers that have the real routers' low request rate.
        """
        self.clock = self.play_clock = SlowClock(base, slow)
        self.seed = seed
        self.servers = [f"10.0.{i // 250}.{i % 250}:1" for i in range(servers)]
        self.segments = {
            False: draw_segments(self.servers, seed, REQUESTS_PER_S),
            True: draw_segments(self.servers, seed, LOW_RATE_PER_S),
        }
        self._lag = LagMonitor(asyncio.get_running_loop(), self.clock)
        gc.collect()
        gc.freeze()  # as `holdgw run` does
        self._memory_bytes = resident_bytes(os.getpid())
        probes = [socket.socket(type=socket.SOCK_DGRAM) for _ in numbers]
        for number, probe in zip(numbers, probes, strict=True):
            probe.bind((ip, 0))
            self.routers[number] = HollowRouter(number, (ip, probe.getsockname()[1]), self, number in light)
        for probe in probes:
            probe.close()
        return {str(number): router.listen for number, router in self.routers.items()}

    async def start(self, each: list[list[Any]], aggregators: int) -> None:
        """Start the routers spread over a segment, so that they don't all report at the same instants."""
        addresses = tuple((host, port) for host, port in each)
        aggregator_numbers = tuple(range(len(addresses) - aggregators, len(addresses)))
        for router in self.routers.values():
            router.start(addresses, aggregator_numbers)
            await asyncio.sleep(self.clock.machine_seconds(SEGMENT_S) / len(self.routers))

    async def begin(self, base: int) -> None:
        """Start the scenario: its second 0 is at `base` of the monotonic clock."""
        assert self._lag is not None
        self.play_clock = SlowClock(base, self.clock.slow)
        # A full garbage collection would traverse the tables of hundreds of routers and stop them all for a
        # second; a process of one router has no such pause.
        gc.collect()
        gc.freeze()
        for router in self.routers.values():
            router.begin()
        self._cpu_start_ns, self._stream_start_ns = process_time_ns(), self._total_stream_ns()
        self._lag.reset()
        self._note_pace()

    def _note_pace(self) -> None:
        self._pace_readings.append(measure_pace())
        asyncio.get_running_loop().call_later(PACE_INTERVAL_S, self._note_pace)

    def _total_stream_ns(self) -> int:
        return sum(router.meter.stream_ns for router in self.routers.values())

    async def kill(self, members: list[int]) -> None:
        """Kill these members; the others record when they learn of it."""
        for number in members:
            if number in self.routers:
                self.routers[number].kill()
        self.killed.update(members)

    async def hold(self, members: list[int], seconds: float) -> None:
        """Pause these members for a time."""
        for number in members:
            if number in self.routers:
                self._pause_for(self.routers[number], seconds)

    async def slow(self, members: list[int], seconds: float, run_ms: int) -> None:
        """Let these members run for `run_ms` of each 100 ms, for a time."""
        until = self.play_clock.seconds() + seconds
        for number in members:
            if number in self.routers:
                self._run_slowly(self.routers[number], until, run_ms / 1000)

    def _run_slowly(self, router: HollowRouter, until: float, run_s: float) -> None:
        if self.play_clock.seconds() >= until:
            return
        self._pause_for(router, SLOW_PERIOD_S - run_s)
        loop = asyncio.get_running_loop()
        loop.call_later(self.clock.machine_seconds(SLOW_PERIOD_S), self._run_slowly, router, until, run_s)

    def _pause_for(self, router: HollowRouter, seconds: float) -> None:
        router.meter.pause()
        asyncio.get_running_loop().call_later(self.clock.machine_seconds(seconds), router.meter.resume)

    async def alive(self) -> dict[str, int]:
        """Return how many members each living router holds to be alive, itself included, by number."""
        return {
            str(router.number): router.node.state_counts()["alive"]
            for router in self.routers.values()
            if router.node is not None and not router.dead
        }

    async def report(self) -> dict[str, Any]:
        """Return what was measured of the process and its routers."""
        assert self._lag is not None
        memory = resident_bytes(os.getpid()) - self._memory_bytes
        return {
            "routers": [router.report() for router in self.routers.values()],
            "memory": memory,
            "cpu_ns": process_time_ns() - self._cpu_start_ns,
            "stream_ns": self._total_stream_ns() - self._stream_start_ns,
            "seconds": self.play_clock.seconds(),
            "lag": self._lag.readings(),
            "pace_us": statistics.median(self._pace_readings),
            "best_pace_us": min(self._pace_readings),
        }


if __name__ == "__main__":
    logging.getLogger("holdgw").setLevel(
        logging.ERROR
    )  # hundreds of routers would each log their peers' changes
    sys.exit(serve(lambda: HollowProcess().handlers()))
