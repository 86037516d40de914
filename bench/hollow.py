"""Hollow routers, many to a process: the real control code, with a made-up request stream for an owner.

What a router's control takes is the thread's CPU time in the calls that its loop makes of it (timers,
datagrams that came), less that of the made-up stream. The loop's own part (waking, reading the socket) is not
in it; the whole process's CPU time, which is told besides, has it.
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
from holdgw.peers.load_view import LoadSnapshot, Observations, SampledWait, TimedWait

REQUESTS_PER_S = 934
SLOTS = 8192
ZIPF = 0.9
SEGMENTS = 64  # stretches of a made-up stream that are drawn ahead, and come in any order
SEGMENT_S = 0.3
MIN_COUNTED_LATENESS_S = 0.1  # from which on a timer's lateness counts for the next one
MAX_SEGMENTS_PER_CALL = 10  # that are told at once: after a while of standing still
MAX_HELD_DATAGRAMS = 256  # datagrams that a socket's buffer keeps for a process that stands still
SLOW_PERIOD_S = 0.1
TENANTS = ("public", "municipal")


class StreamSegment(NamedTuple):
    """What a router was asked and told in 0.3 s: waits by server (ns, and how long ago, ns), and slots."""

    waits: dict[str, tuple[float, int]]
    slots: dict[int, int]


def draw_segments(servers: list[str], seed: int, rate: float) -> list[StreamSegment]:
    """Stretches of a stream of so many requests a second, Zipf over 8,192 slots, evenly over all servers."""
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
        waits = {}
        for i in range(count):
            server = rng.choice(servers)
            age = int((count - i) * SEGMENT_S / count * NS_PER_S)
            waits[server] = (mean_ns[server] * rng.uniform(0.7, 1.4), age)
        segments.append(StreamSegment(waits, dict(slots)))
    return segments


def merge_segments(segments: list[StreamSegment], now: int) -> Observations:
    """What a router observed in these stretches, the last of which ends now (ns)."""
    waits: dict[str, SampledWait] = {}
    slots: Counter[int] = Counter()
    for i, segment in enumerate(segments):
        end = now - int((len(segments) - 1 - i) * SEGMENT_S * NS_PER_S)
        waits.update((server, SampledWait(wait, end - age)) for server, (wait, age) in segment.waits.items())
        slots.update(segment.slots)
    return Observations(waits, slots)


class Meter:
    """One router's control: its CPU time by second, and what is put off while its process stands still."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.spent_ns: Counter[int] = Counter()
        """Nanoseconds of CPU by second of the play."""
        self.owner_ns = 0
        """CPU time of the made-up stream, which is no control's."""
        self.after_call: Callable[[], None] = lambda: None
        self.dropped_datagrams = 0
        """Datagrams that came while it stood still, beyond what a socket keeps."""
        self._pauses = 0
        self._held_calls: deque[tuple[Callable[..., Any], tuple[Any, ...]]] = deque()

    def run(self, call: Callable[..., Any], *args: Any) -> None:
        """Call, and count what that takes; later, while this router stands still."""
        if self._pauses:
            self._held_calls.append((call, args))
            return
        owner_before_ns, began = self.owner_ns, thread_time_ns()
        call(*args)
        took_ns = thread_time_ns() - began - (self.owner_ns - owner_before_ns)
        self.spent_ns[int(self.clock())] += took_ns
        self.after_call()

    def run_datagram(self, call: Callable[..., Any], *args: Any) -> None:
        """A datagram: the same, but lost where too many wait."""
        if self._pauses and len(self._held_calls) >= MAX_HELD_DATAGRAMS:
            self.dropped_datagrams += 1
            return
        self.run(call, *args)

    def pause(self) -> None:
        """Stand still."""
        self._pauses += 1

    def resume(self) -> None:
        """Stand still no longer: all that came meanwhile is done now."""
        self._pauses -= 1
        while self._held_calls and not self._pauses:
            call, args = self._held_calls.popleft()
            self.run(call, *args)


class MeteredProtocol(asyncio.DatagramProtocol):
    """Counts what a control's protocol takes."""

    def __init__(self, inner: asyncio.DatagramProtocol, meter: Meter) -> None:
        self._inner, self._meter = inner, meter

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Hand on."""
        self._inner.connection_made(transport)  # type: ignore[arg-type]

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Hand on, counted."""
        self._meter.run_datagram(self._inner.datagram_received, data, addr)

    def error_received(self, exc: Exception) -> None:
        """Hand on, counted."""
        self._meter.run(self._inner.error_received, exc)


class MeteredLoop:
    """What a control sees of the event loop: on the rig's clock, and counted."""

    def __init__(self, loop: asyncio.AbstractEventLoop, slow: float, meter: Meter) -> None:
        self._loop, self._slow, self._meter = loop, slow, meter
        self._due: float | None = None  # of the timer that runs now

    def time(self) -> float:
        """Seconds."""
        return self._loop.time() / self._slow

    def call_later(self, delay: float, call: Callable[..., Any], *args: Any) -> asyncio.TimerHandle:
        """Call after so long by the rig's clock."""
        now = self._loop.time()
        # Danger: counted from when a late timer ran, late ticks would stay together for ever: all routers
        # of a process would tick right after one another, which those of their own machines never do.
        nearly_on_time = self._due is not None and now - self._due < MIN_COUNTED_LATENESS_S * self._slow
        due = (self._due if nearly_on_time and self._due is not None else now) + delay * self._slow
        return self._loop.call_at(due, self._run_timer, due, call, args)

    def _run_timer(self, due: float, call: Callable[..., Any], args: tuple[Any, ...]) -> None:
        self._due = due
        try:
            self._meter.run(call, *args)
        finally:
            self._due = None

    def call_soon(self, call: Callable[..., Any], *args: Any) -> asyncio.Handle:
        """Call in the loop's next turn."""
        return self._loop.call_soon(self._meter.run, call, *args)

    def create_task(self, work: Any) -> asyncio.Task[Any]:
        """Binding only: not counted."""
        return self._loop.create_task(work)

    async def create_datagram_endpoint(self, make: Callable[[], Any], **args: Any) -> Any:
        """A socket whose datagrams are counted."""
        return await self._loop.create_datagram_endpoint(lambda: MeteredProtocol(make(), self._meter), **args)


class ViewReading(NamedTuple):
    """A router's view in one second. Ages: seconds, of the median server's wait when the router is given the
    view, and of this and of the oldest one just before the next view replaces it.
    """

    second: int
    servers: int
    given_age: float
    held_age: float
    oldest_age: float
    routers: int


class HeldView(NamedTuple):
    """A view that its owner was given, when (seconds of the play), and the ages of its waits then (s)."""

    at: float
    ages: list[float]


class HollowRouter:
    """One router's control and its made-up owner."""

    def __init__(self, number: int, listen: Address, process: HollowProcess, light: bool) -> None:
        self.number, self.listen = number, listen
        self.view_readings: list[ViewReading] = []
        self.learnt: dict[int, float] = {}
        """When it held a dead one for gone, seconds of the play."""
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
        """Begin."""
        self.aggregator = self.number in aggregators
        role = Role.SET_ASIDE if self.aggregator else Role.ROUTER
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
        """Forget what was measured before the play."""
        self.meter.spent_ns.clear()
        self.view_readings.clear()
        self._held_view = None

    def kill(self) -> None:
        """Its machine is gone."""
        self.dead = True
        self.meter.pause()
        if self.node is not None:
            self.node.close()

    # The control's owner

    def take_observations(self) -> Observations:
        """As many stretches of the made-up stream as have passed since the last call."""
        began = thread_time_ns()
        now = self._process.clock.ns()
        count = round((now - self._observed_ns) / NS_PER_S / SEGMENT_S)
        count = min(max(count, 1), MAX_SEGMENTS_PER_CALL)
        self._observed_ns = now
        found = merge_segments(
            [self._random.choice(self._process.segments[self.light]) for _ in range(count)], now
        )
        self.meter.owner_ns += thread_time_ns() - began
        return found

    def demands(self) -> dict[str, float]:
        """Each tenant's calls for the origin a second."""
        return {"public": 12.0, "municipal": 5.0}

    def apply_load_snapshot(self, snapshot: LoadSnapshot) -> None:
        """The view of all: looked at once a second, and not acted on."""
        began = thread_time_ns()
        self._record_view(snapshot.waits)
        self.meter.owner_ns += thread_time_ns() - began

    def _record_view(self, waits: Mapping[str, TimedWait]) -> None:
        """Note the view that is replaced now, as old as it has become."""
        now = self._process.play_clock.seconds()
        before, self._held_view = (
            self._held_view,
            HeldView(now, [wait.age / NS_PER_S for wait in waits.values()]),
        )
        if before is None or (self.view_readings and self.view_readings[-1].second == int(now)):
            return
        ages = before.ages or [0.0]
        held_s = now - before.at
        middle = statistics.median(ages)
        given, held, oldest = (round(age, 3) for age in (middle, middle + held_s, max(ages) + held_s))
        self.view_readings.append(
            ViewReading(int(now), len(before.ages), given, held, oldest, 1 + self._other_routers_in_view())
        )

    def _other_routers_in_view(self) -> int:
        """Other routers that the view rests on."""
        if self.node is None:
            return 0
        client = self.node.exchange.client if self.node.exchange is not None else None
        if client is None or client.in_fallback:
            return self.node.load_view.routers
        # A merged view counts every router that reported, this one among them.
        return client.views.reporters(self._process.clock.ns()) - 1

    # What the rig wants to know

    def _note_deaths(self) -> None:
        if self.node is None or len(self.learnt) == len(self._process.killed):
            return
        for number in self._process.killed:
            if number not in self.learnt and self.node.membership.state(number) is MemberState.GONE:
                self.learnt[number] = round(self._process.play_clock.seconds(), 3)

    def report(self) -> dict[str, Any]:
        """All that was measured of it."""
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
    """What the process is asked to do."""

    def __init__(self) -> None:
        self.clock = self.play_clock = SlowClock(0, 1.0)
        self.seed = 0
        self.servers: list[str] = []
        self.segments: dict[bool, list[StreamSegment]] = {}
        """Of light routers, and of the others."""
        self.routers: dict[int, HollowRouter] = {}
        self.killed: set[int] = set()
        self._lag: LagMonitor | None = None
        self._pace_readings: list[float] = []
        self._memory_bytes = 0  # before there was any router
        self._cpu_ns = 0
        self._stream_ns = 0

    def handlers(self) -> Mapping[str, Handler]:
        """By verb."""
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
        """Draw the stream, and choose where each router listens; returns that by number. `light`: those that
        are asked as little as real routers are.
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
        gc.freeze()  # as `run` does
        self._memory_bytes = resident_bytes(os.getpid())
        probes = [socket.socket(type=socket.SOCK_DGRAM) for _ in numbers]
        for number, probe in zip(numbers, probes, strict=True):
            probe.bind((ip, 0))
            self.routers[number] = HollowRouter(number, (ip, probe.getsockname()[1]), self, number in light)
        for probe in probes:
            probe.close()
        return {str(number): router.listen for number, router in self.routers.items()}

    async def start(self, each: list[list[Any]], aggregators: int) -> None:
        """Begin, each a while after the other, so that they do not tell all at the same instants."""
        addresses = tuple((host, port) for host, port in each)
        aggregator_numbers = tuple(range(len(addresses) - aggregators, len(addresses)))
        for router in self.routers.values():
            router.start(addresses, aggregator_numbers)
            await asyncio.sleep(self.clock.machine_seconds(SEGMENT_S) / len(self.routers))

    async def begin(self, base: int) -> None:
        """The play begins: its second 0 is at that reading of the monotonic clock."""
        assert self._lag is not None
        self.play_clock = SlowClock(base, self.clock.slow)
        # Danger: a collection of all generations goes through the tables of hundreds of routers, a second in
        # which none of them runs; a process of one router has no such pause.
        gc.collect()
        gc.freeze()
        for router in self.routers.values():
            router.begin()
        self._cpu_ns, self._stream_ns = process_time_ns(), self._total_stream_ns()
        self._lag.reset()
        self._note_pace()

    def _note_pace(self) -> None:
        self._pace_readings.append(measure_pace())
        asyncio.get_running_loop().call_later(PACE_INTERVAL_S, self._note_pace)

    def _total_stream_ns(self) -> int:
        return sum(router.meter.owner_ns for router in self.routers.values())

    async def kill(self, members: list[int]) -> None:
        """These die; the others are watched for when they learn of it."""
        for number in members:
            if number in self.routers:
                self.routers[number].kill()
        self.killed.update(members)

    async def hold(self, members: list[int], seconds: float) -> None:
        """These stand still for so long."""
        for number in members:
            if number in self.routers:
                self._pause_for(self.routers[number], seconds)

    async def slow(self, members: list[int], seconds: float, run_ms: int) -> None:
        """These run for so many ms of each 100."""
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
        """How many each living router holds to be alive, itself among them, by number."""
        return {
            str(router.number): router.node.state_counts()["alive"]
            for router in self.routers.values()
            if router.node is not None and not router.dead
        }

    async def report(self) -> dict[str, Any]:
        """All that was measured."""
        assert self._lag is not None
        memory = resident_bytes(os.getpid()) - self._memory_bytes
        return {
            "routers": [router.report() for router in self.routers.values()],
            "memory": memory,
            "cpu_ns": process_time_ns() - self._cpu_ns,
            "stream_ns": self._total_stream_ns() - self._stream_ns,
            "seconds": self.play_clock.seconds(),
            "lag": self._lag.readings(),
            "pace_us": statistics.median(self._pace_readings),
            "best_pace_us": min(self._pace_readings),
        }


if __name__ == "__main__":
    logging.getLogger("holdgw").setLevel(logging.ERROR)  # what each of hundreds notes of its peers
    sys.exit(serve(lambda: HollowProcess().handlers()))
