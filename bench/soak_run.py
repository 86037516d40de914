"""One run of the soak: real router processes among emulated peers, and the verdict on what each side saw."""

from __future__ import annotations

import asyncio
import tempfile
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from bench.soak_clients import SoakClient, SoakRecords
from bench.soak_peers import EmulatedCache, EmulatedDiscovery
from bench.soak_plan import SoakPlan, draw_plan
from bench.soak_routers import SoakRouter

CACHES = 3
OUTAGE_AT_S = 0.8
OUTAGE_S = 1.2
DRAIN_GRACE_S = 1.05
"""The grace of the settings, and the 50 ms by which each time limit is longer on sockets."""
CROWD_AT_S = 0.6
CROWD_S = 2.5
AFTER_SIGNALS_S = 0.7
"""Load after the last signal has been played."""
SETTLE_S = 0.5
"""Time for closed connections to be released."""
TICK_S = 0.01
DISCOVERY_CONNECTIONS = 4
"""Two calls at a time to each of two addresses, the most that a watch has while a reload moves it."""
MAX_LATENESS_S = 0.1
"""The run is void if the emulators' event loop was later than this: its verdicts rest on its clock."""
HALF_COMMAND = b"*4\r\n$6\r\nKV.GET\r\n$3\r\nab"


@dataclass(frozen=True, slots=True)
class SoakResult:
    """The verdict on one seed."""

    seed: int
    violations: tuple[str, ...]
    counts: Counter[str]
    lateness_s: float
    slowest_ready_s: float

    @property
    def is_void(self) -> bool:
        """Whether the emulators were late, so that the run shows nothing."""
        return self.lateness_s > MAX_LATENESS_S

    @property
    def verdict(self) -> str:
        """`void`, `broken` or `passed`."""
        if self.is_void:
            return "void"
        return "broken" if self.violations else "passed"


class SoakRun:
    """The routers, peers and clients of one seed."""

    def __init__(self, plan: SoakPlan, folder: Path) -> None:
        self._plan = plan
        self._folder = folder
        self._records = SoakRecords()
        self._caches = [EmulatedCache(number, plan) for number in range(CACHES)]
        self._discoveries = [EmulatedDiscovery(), EmulatedDiscovery()]
        self._routers: list[SoakRouter] = []
        self._drain_told_s: float | None = None
        self._lateness_s = 0.0

    async def play(self) -> SoakResult:
        """Play the whole run."""
        ticking = asyncio.create_task(self._measure_lateness())
        await self._start()
        clients = [
            SoakClient(number, self._plan, [router.target for router in self._routers], self._records)
            for number in range(self._plan.clients * len(self._routers))
        ]
        running = [asyncio.create_task(client.run()) for client in clients]
        beside = [asyncio.create_task(self._play_outage()), asyncio.create_task(self._play_crowd())]
        await asyncio.gather(*(router.play_signals() for router in self._routers), *beside)
        await asyncio.sleep(AFTER_SIGNALS_S)
        for client in clients:
            client.stopping = True
        await asyncio.gather(*running)
        await asyncio.sleep(SETTLE_S)
        await self._finish()
        ticking.cancel()
        self._judge_attempts()
        return SoakResult(
            self._plan.seed,
            tuple(self._records.violations),
            self._records.counts,
            self._lateness_s,
            max(router.slowest_ready_s for router in self._routers),
        )

    async def _start(self) -> None:
        for server in (*self._caches, *self._discoveries):
            await server.start()
        for discovery in self._discoveries:
            discovery.instances = self._instances("up")
        for number in range(len(self._plan.signals)):
            ports = [discovery.port for discovery in self._discoveries]
            self._routers.append(SoakRouter(number, self._plan, self._folder, ports, self._records))
        await asyncio.gather(*(router.start() for router in self._routers))

    async def _finish(self) -> None:
        for router in self._routers:
            router.check_use(DISCOVERY_CONNECTIONS)
        await asyncio.gather(*(router.finish() for router in self._routers))
        for server in (*self._caches, *self._discoveries):
            server.stop()

    def _instances(self, state_of_last: str) -> list[dict[str, Any]]:
        return [
            {
                "instanceId": cache.name,
                "hostPort": f"127.0.0.1:{cache.port}",
                "machineType": "std",
                "lifecycle": state_of_last if cache is self._caches[-1] else "up",
                "startedAtMs": 0,
            }
            for cache in self._caches
        ]

    # What happens beside the signals

    async def _play_outage(self) -> None:
        if not self._plan.drain_after_outage:
            return
        await asyncio.sleep(OUTAGE_AT_S)
        for discovery in self._discoveries:
            discovery.is_down = True
        await asyncio.sleep(OUTAGE_S)
        for discovery in self._discoveries:
            discovery.is_down = False
            discovery.change(self._instances("draining"))
        self._drain_told_s = asyncio.get_running_loop().time()

    async def _play_crowd(self) -> None:
        if not self._plan.crowd:
            return
        await asyncio.sleep(CROWD_AT_S)
        crowd: list[asyncio.StreamWriter] = []
        for router in self._routers:
            for number in range(self._plan.crowd):
                with suppress(OSError):
                    _, writer = await asyncio.open_connection(*router.target.address)
                    crowd.append(writer)
                    if number % 2:
                        writer.write(HALF_COMMAND)
        await asyncio.sleep(CROWD_S)
        for writer in crowd:
            writer.close()

    async def _measure_lateness(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + TICK_S
            await asyncio.sleep(TICK_S)
            self._lateness_s = max(self._lateness_s, loop.time() - due_s)

    # Verdicts on what the cache servers saw

    def _judge_attempts(self) -> None:
        begun = [attempt for cache in self._caches for attempt in cache.begun]
        times_begun = Counter(name for name, _ in begun if name in self._records.once_ids)
        repeated = [name for name, count in times_begun.items() if count > 1]
        if repeated:
            self._records.violations.append(f"duplicate: {len(repeated)} requests, first {repeated[0]}")
        if self._drain_told_s is None:
            return
        due_s = self._drain_told_s + DRAIN_GRACE_S
        late = [(name, at_s - due_s) for name, at_s in self._caches[-1].begun if at_s > due_s]
        if late:
            self._records.violations.append(
                f"drain: {len(late)} attempts, first {late[0][0]} {late[0][1]:.3f} s after the grace"
            )


def play_seed(seed: int) -> SoakResult:
    """Play one seed on an event loop of its own."""
    plan = draw_plan(seed)

    async def play() -> SoakResult:
        with tempfile.TemporaryDirectory(prefix="soak-") as folder:
            return await SoakRun(plan, Path(folder)).play()

    return asyncio.run(play())
