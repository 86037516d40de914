"""Real router processes with clients and emulated servers, in one membership with the hollow routers."""

from __future__ import annotations

import asyncio
import re
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import NamedTuple

from bench.scale_plan import LOW_RATE_PER_S, SERVERS
from holdgw.harness.deployment import Peers
from holdgw.harness.orchestrator import Orchestrator
from holdgw.harness.routers import resident_bytes
from holdgw.harness.scenario import read_scenario
from holdgw.harness.schedule import Schedule
from holdgw.harness.schedule_drawing import draw_schedule
from holdgw.wire.address import Address

SCENARIO = """
name = "scale"
length_s = {length}
[load]
rate = {rate}
[fleet]
nodes = {nodes}
routers = {routers}
[keys]
count = 1000
[peers]
allowed = {peers}
[emulator]
prelude_s = 1.0
prelude_keys = 300
worst_ms = 10000.0
lag_ms = 1000.0
"""

JoinMembership = Callable[[dict[int, Address]], Awaitable[tuple[tuple[Address, ...], Address]]]
"""Takes the real routers' listen addresses by number.

Returns the relay's address for each member, in the order of their numbers, and its address for all.
"""


class RouterSample(NamedTuple):
    """A real router's state at one time, from /proc and its admin endpoint.

    `at`: seconds of the monotonic clock; `cpu`: CPU seconds so far; `memory`: bytes; `alive`: members that
    the router holds to be alive; `routers_in_view`: other routers that its load view rests on.
    """

    at: float
    cpu: float
    memory: int
    alive: int
    routers_in_view: int


class RealFigures(NamedTuple):
    """A real router's figures between two samples.

    `cpu`: share of a core; `memory`: bytes; `alive` and `routers_in_view`: as in the later RouterSample.
    """

    cpu: float
    memory: int
    alive: int
    routers_in_view: int


class MixedOrchestrator(Orchestrator):
    """A harness orchestrator whose routers join the membership of a scale run."""

    def __init__(
        self, schedule: Schedule, command: str, root: Path, join: JoinMembership | None, aggregators: int
    ) -> None:
        super().__init__(schedule, command, root)
        self._join, self._aggregator_count = join, aggregators

    async def _join_peers(self) -> None:
        assert self._join is not None
        listens = {name: router.peer for name, router in self.routers.items()}
        addresses, shared_address = await self._join(dict(enumerate(listens.values())))
        aggregators = addresses[len(addresses) - self._aggregator_count :]
        self.peers = {
            name: Peers(listen, addresses, shared_address, aggregators) for name, listen in listens.items()
        }


class RealRouters:
    """Real routers with their clients and emulated servers. Whoever creates the object ends it.

    Without `join` the routers know no peers.
    """

    def __init__(
        self,
        count: int,
        seed: int,
        command: str,
        root: Path,
        length: float,
        join: JoinMembership | None,
        aggregators: int = 0,
    ) -> None:
        text = SCENARIO.format(
            length=length,
            rate=LOW_RATE_PER_S * count,
            nodes=SERVERS,
            routers=count,
            peers=str(join is not None).lower(),
        )
        schedule = draw_schedule(read_scenario(text, "bench"), seed)
        self.orchestrator = MixedOrchestrator(schedule, command, root, join, aggregators)
        self.started = asyncio.Event()
        self._play_task = asyncio.ensure_future(self.orchestrator.play(self._progress))

    def _progress(self, _orchestrator: Orchestrator, at: float) -> None:
        if at >= 0:
            self.started.set()

    async def ready(self) -> None:
        """Wait until the routers serve clients; raises the orchestrator's error if it failed."""
        waiting = asyncio.ensure_future(self.started.wait())
        await asyncio.wait((waiting, self._play_task), return_when=asyncio.FIRST_COMPLETED)
        if not waiting.done():
            waiting.cancel()
            await self._play_task
            raise RuntimeError("the orchestrator ended before the schedule started")

    async def sample(self) -> list[RouterSample]:
        """Read each router's state from /proc and its admin endpoint."""
        samples = []
        for router in self.orchestrator.routers.values():
            at, cpu = time.monotonic(), cpu_run_seconds(router.pid)
            metrics = await admin_metrics(router.ops) if self.orchestrator.peers else {}
            samples.append(
                RouterSample(
                    at,
                    cpu,
                    resident_bytes(router.pid),
                    int(metrics.get('lb_peers{state="alive"}', 0)),
                    int(metrics.get('lb_picture{of="routers"}', 0)),
                )
            )
        return samples

    async def end(self) -> None:
        """Cancel the run, which ends all of its processes."""
        self._play_task.cancel()
        await asyncio.gather(self._play_task, return_exceptions=True)


async def admin_metrics(address: Address) -> dict[str, float]:
    """Return the metrics of a router's admin endpoint, by name with labels."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(b"GET /status/metrics HTTP/1.1\r\nHost: bench\r\n\r\n")
        text = (await reader.read()).decode()
    finally:
        writer.close()
    return {name: float(value) for name, value in re.findall(r"^(lb_\S+) (\S+)$", text, re.MULTILINE)}


def cpu_run_seconds(pid: int) -> float:
    """Return how long a process's main thread has run, more finely than in kernel ticks; raises OSError."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def figures_between(before: list[RouterSample], after: list[RouterSample]) -> list[RealFigures]:
    """Return each router's figures between two samplings of the same routers."""
    return [
        RealFigures(
            (late.cpu - early.cpu) / (late.at - early.at), late.memory, late.alive, late.routers_in_view
        )
        for early, late in zip(before, after, strict=True)
    ]
