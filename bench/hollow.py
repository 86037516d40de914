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
from bench.scale_clock import NS_PER_S, PACE_S, Lag, SlowClock, pace
from bench.scale_plan import LIGHT_PER_S, place
from holdgw.harness.routers import resident_bytes
from holdgw.peers.aggregated_exchange import Role
from holdgw.peers.datagram import MemberState
from holdgw.peers.gossip import Address, PeerConfig, PeerNode
from holdgw.peers.load_view import AgedResponseTime, LoadSnapshot, Observations, SampledResponseTime

REQUESTS_PER_S = 934
SLOTS = 8192
ZIPF = 0.9
STREAMS = 64  # stretches of a made-up stream that are drawn ahead, and come in any order
STRETCH_S = 0.3
LATE_S = 0.1  # from which on a timer's lateness counts for the next one
MOST_STRETCHES = 10  # that are told at once: after a while of standing still
HELD_MOST = 256  # datagrams that a socket's buffer keeps for a process that stands still
SLICE_S = 0.1
TENANTS = ("public", "municipal")


class Stretch(NamedTuple):
    """What a router was asked and told in 0.3 s: waits by server (ns, and how long ago, ns), and slots."""

    waits: dict[str, tuple[float, int]]
    slots: dict[int, int]


def stretches(servers: list[str], seed: int, rate: float) -> list[Stretch]:
    """Stretches of a stream of so many requests a second, Zipf over 8,192 slots, evenly over all servers."""
    draw = random.Random(f"{seed}/stream")
    popular = list(itertools.accumulate((rank + 1) ** -ZIPF for rank in range(SLOTS)))
    slot_of = list(range(SLOTS))
    draw.shuffle(slot_of)
    usual = {server: draw.lognormvariate(18.2, 0.4) for server in servers}  # about 80 ms
    count = round(rate * STRETCH_S)
    found = []
    for _ in range(STREAMS):
        slots = Counter(slot_of[bisect.bisect(popular, draw.random() * popular[-1])] for _ in range(count))
        waits = {}
        for i in range(count):
            server = draw.choice(servers)
            age = int((count - i) * STRETCH_S / count * NS_PER_S)
            waits[server] = (usual[server] * draw.uniform(0.7, 1.4), age)
        found.append(Stretch(waits, dict(slots)))
    return found


def together(stretches: list[Stretch], now: int) -> Observations:
    """What a router observed in these stretches, the last of which ends now (ns)."""
    waits: dict[str, SampledResponseTime] = {}
    slots: Counter[int] = Counter()
    for i, stretch in enumerate(stretches):
        end = now - int((len(stretches) - 1 - i) * STRETCH_S * NS_PER_S)
        waits.update(
            (server, SampledResponseTime(wait, end - age)) for server, (wait, age) in stretch.waits.items()
        )
        slots.update(stretch.slots)
    return Observations(waits, slots)


class Meter:
    """One router's control: its CPU time by second, and what is put off while its process stands still."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.spent: Counter[int] = Counter()
        """Nanoseconds of CPU by second of the play."""
        self.owner = 0
        """CPU time of the made-up stream, which is no control's."""
        self.after: Callable[[], None] = lambda: None
        self.lost = 0
        """Datagrams that came while it stood still, beyond what a socket keeps."""
        self._holds = 0
        self._held: deque[tuple[Callable[..., Any], tuple[Any, ...]]] = deque()

    def run(self, call: Callable[..., Any], *words: Any) -> None:
        """Call, and count what that takes; later, while this router stands still."""
        if self._holds:
            self._held.append((call, words))
            return
        owner, began = self.owner, thread_time_ns()
        call(*words)
        took = thread_time_ns() - began - (self.owner - owner)
        self.spent[int(self.clock())] += took
        self.after()

    def came(self, call: Callable[..., Any], *words: Any) -> None:
        """A datagram: the same, but lost where too many wait."""
        if self._holds and len(self._held) >= HELD_MOST:
            self.lost += 1
            return
        self.run(call, *words)

    def hold(self) -> None:
        """Stand still."""
        self._holds += 1

    def go_on(self) -> None:
        """Stand still no longer: all that came meanwhile is done now."""
        self._holds -= 1
        while self._held and not self._holds:
            call, words = self._held.popleft()
            self.run(call, *words)


class MeteredProtocol(asyncio.DatagramProtocol):
    """Counts what a control's protocol takes."""

    def __init__(self, inner: asyncio.DatagramProtocol, meter: Meter) -> None:
        self._inner, self._meter = inner, meter

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Hand on."""
        self._inner.connection_made(transport)  # type: ignore[arg-type]

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Hand on, counted."""
        self._meter.came(self._inner.datagram_received, data, addr)

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

    def call_later(self, delay: float, call: Callable[..., Any], *words: Any) -> asyncio.TimerHandle:
        """Call after so long by the rig's clock."""
        now = self._loop.time()
        # Danger: counted from when a late timer ran, late ticks would stay together for ever: all routers
        # of a process would tick right after one another, which those of their own machines never do.
        prompt = self._due is not None and now - self._due < LATE_S * self._slow
        due = (self._due if prompt and self._due is not None else now) + delay * self._slow
        return self._loop.call_at(due, self._run_timer, due, call, words)

    def _run_timer(self, due: float, call: Callable[..., Any], words: tuple[Any, ...]) -> None:
        self._due = due
        try:
            self._meter.run(call, *words)
        finally:
            self._due = None

    def call_soon(self, call: Callable[..., Any], *words: Any) -> asyncio.Handle:
        """Call in the loop's next turn."""
        return self._loop.call_soon(self._meter.run, call, *words)

    def create_task(self, work: Any) -> asyncio.Task[Any]:
        """Binding only: not counted."""
        return self._loop.create_task(work)

    async def create_datagram_endpoint(self, make: Callable[[], Any], **words: Any) -> Any:
        """A socket whose datagrams are counted."""
        return await self._loop.create_datagram_endpoint(
            lambda: MeteredProtocol(make(), self._meter), **words
        )


class Seen(NamedTuple):
    """A router's view in one second. Ages: seconds, of the median server's wait when the router is given the
    view, and of this and of the oldest one just before the next view replaces it.
    """

    second: int
    servers: int
    given_age: float
    held_age: float
    oldest_age: float
    routers: int


class Held(NamedTuple):
    """A view that its owner was given, when (seconds of the play), and the ages of its waits then (s)."""

    at: float
    ages: list[float]


class HollowRouter:
    """One router's control and its made-up owner."""

    def __init__(self, number: int, listen: Address, process: HollowProcess, light: bool) -> None:
        self.number, self.listen = number, listen
        self.seen: list[Seen] = []
        self.learnt: dict[int, float] = {}
        """When it held a dead one for gone, seconds of the play."""
        self.meter = Meter(lambda: process.play_clock.seconds())
        self.meter.after = self._look_for_deaths
        self.node: PeerNode | None = None
        self.dead = False
        self.light = light
        self.aggregator = False
        self._held: Held | None = None
        self._observed = process.clock.ns()
        self._process = process
        self._draw = random.Random(f"{process.seed}/{number}")

    def start(self, each: tuple[Address, ...], aggregators: tuple[int, ...]) -> None:
        """Begin."""
        self.aggregator = self.number in aggregators
        role = Role.DEDICATED if self.aggregator else Role.ROUTER
        process = self._process
        loop = MeteredLoop(asyncio.get_running_loop(), process.clock.slow, self.meter)
        config = PeerConfig(self.number, self.listen, each, place(self.number).site, aggregators, role)
        self.node = PeerNode(
            cast(asyncio.AbstractEventLoop, loop),
            config,
            self._draw.randrange(1 << 60),
            process.clock.ns,
            self,
            TENANTS,
        )
        self.node.load_view.set_servers(process.servers)
        self.node.start()

    def begin(self) -> None:
        """Forget what was measured before the play."""
        self.meter.spent.clear()
        self.seen.clear()
        self._held = None

    def kill(self) -> None:
        """Its machine is gone."""
        self.dead = True
        self.meter.hold()
        if self.node is not None:
            self.node.close()

    # The control's owner

    def take_observations(self) -> Observations:
        """As many stretches of the made-up stream as have passed since the last call."""
        began = thread_time_ns()
        now = self._process.clock.ns()
        count = round((now - self._observed) / NS_PER_S / STRETCH_S)
        count = min(max(count, 1), MOST_STRETCHES)
        self._observed = now
        found = together([self._draw.choice(self._process.stretches[self.light]) for _ in range(count)], now)
        self.meter.owner += thread_time_ns() - began
        return found

    def demands(self) -> dict[str, float]:
        """Each tenant's calls for the origin a second."""
        return {"public": 12.0, "municipal": 5.0}

    def apply_load_snapshot(self, snapshot: LoadSnapshot) -> None:
        """The view of all: looked at once a second, and not acted on."""
        began = thread_time_ns()
        self._note(snapshot.response_times)
        self.meter.owner += thread_time_ns() - began

    def _note(self, waits: Mapping[str, AgedResponseTime]) -> None:
        """Note the view that is replaced now, as old as it has become."""
        now = self._process.play_clock.seconds()
        before, self._held = self._held, Held(now, [wait.age / NS_PER_S for wait in waits.values()])
        if before is None or (self.seen and self.seen[-1].second == int(now)):
            return
        ages = before.ages or [0.0]
        kept = now - before.at
        middle = statistics.median(ages)
        given, held, oldest = (round(age, 3) for age in (middle, middle + kept, max(ages) + kept))
        self.seen.append(Seen(int(now), len(before.ages), given, held, oldest, 1 + self._routers_behind()))

    def _routers_behind(self) -> int:
        """Other routers that the view rests on."""
        if self.node is None:
            return 0
        client = self.node.exchange.client if self.node.exchange is not None else None
        if client is None or client.in_fallback:
            return self.node.load_view.routers
        # A merged view counts every router that reported, this one among them.
        return client.views.reporters(self._process.clock.ns()) - 1

    # What the rig wants to know

    def _look_for_deaths(self) -> None:
        if self.node is None or len(self.learnt) == len(self._process.killed):
            return
        for number in self._process.killed:
            if number not in self.learnt and self.node.membership.state(number) is MemberState.GONE:
                self.learnt[number] = round(self._process.play_clock.seconds(), 3)

    def told(self) -> dict[str, Any]:
        """All that was measured of it."""
        assert self.node is not None
        states = {} if self.dead else self.node.state_counts()
        return {
            "number": self.number,
            "dead": self.dead,
            "light": self.light,
            "aggregator": self.aggregator,
            "cpu_ns": dict(self.meter.spent),
            "seen": self.seen,
            "learnt": self.learnt,
            "states": states,
            "dropped": {str(why): times for why, times in self.node.dropped.items()},
        }


class HollowProcess:
    """What the process is asked to do."""

    def __init__(self) -> None:
        self.clock = self.play_clock = SlowClock(0, 1.0)
        self.seed = 0
        self.servers: list[str] = []
        self.stretches: dict[bool, list[Stretch]] = {}
        """Of light routers, and of the others."""
        self.routers: dict[int, HollowRouter] = {}
        self.killed: set[int] = set()
        self._lag: Lag | None = None
        self._paces: list[float] = []
        self._memory = 0  # before there was any router
        self._cpu = 0
        self._owner = 0

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
        self.stretches = {
            False: stretches(self.servers, seed, REQUESTS_PER_S),
            True: stretches(self.servers, seed, LIGHT_PER_S),
        }
        self._lag = Lag(asyncio.get_running_loop(), self.clock)
        gc.collect()
        gc.freeze()  # as `run` does
        self._memory = resident_bytes(os.getpid())
        probes = [socket.socket(type=socket.SOCK_DGRAM) for _ in numbers]
        for number, probe in zip(numbers, probes, strict=True):
            probe.bind((ip, 0))
            self.routers[number] = HollowRouter(number, (ip, probe.getsockname()[1]), self, number in light)
        for probe in probes:
            probe.close()
        return {str(number): router.listen for number, router in self.routers.items()}

    async def start(self, each: list[list[Any]], aggregators: int) -> None:
        """Begin, each a while after the other, so that they do not tell all at the same instants."""
        known = tuple((host, port) for host, port in each)
        set_aside = tuple(range(len(known) - aggregators, len(known)))
        for router in self.routers.values():
            router.start(known, set_aside)
            await asyncio.sleep(self.clock.real(STRETCH_S) / len(self.routers))

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
        self._cpu, self._owner = process_time_ns(), self._owner_ns()
        self._lag.begin()
        self._note_pace()

    def _note_pace(self) -> None:
        self._paces.append(pace())
        asyncio.get_running_loop().call_later(PACE_S, self._note_pace)

    def _owner_ns(self) -> int:
        return sum(router.meter.owner for router in self.routers.values())

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
                self._still(self.routers[number], seconds)

    async def slow(self, members: list[int], seconds: float, run_ms: int) -> None:
        """These run for so many ms of each 100."""
        until = self.play_clock.seconds() + seconds
        for number in members:
            if number in self.routers:
                self._slice(self.routers[number], until, run_ms / 1000)

    def _slice(self, router: HollowRouter, until: float, run_s: float) -> None:
        if self.play_clock.seconds() >= until:
            return
        self._still(router, SLICE_S - run_s)
        loop = asyncio.get_running_loop()
        loop.call_later(self.clock.real(SLICE_S), self._slice, router, until, run_s)

    def _still(self, router: HollowRouter, seconds: float) -> None:
        router.meter.hold()
        asyncio.get_running_loop().call_later(self.clock.real(seconds), router.meter.go_on)

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
        memory = resident_bytes(os.getpid()) - self._memory
        return {
            "routers": [router.told() for router in self.routers.values()],
            "memory": memory,
            "cpu_ns": process_time_ns() - self._cpu,
            "stream_ns": self._owner_ns() - self._owner,
            "seconds": self.play_clock.seconds(),
            "lag": self._lag.told(),
            "pace_us": statistics.median(self._paces),
            "best_pace_us": min(self._paces),
        }


if __name__ == "__main__":
    logging.getLogger("holdgw").setLevel(logging.ERROR)  # what each of hundreds notes of its peers
    sys.exit(serve(lambda: HollowProcess().handlers()))
