"""Runs one scenario of a scale run: starts the processes, applies the faults, collects the figures."""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from statistics import median
from typing import Any, NamedTuple

from bench import scale_plan
from bench.scale_child import Child
from bench.scale_clock import NS_PER_S, SlowClock
from bench.scale_plan import MAX_WORKERS, FaultKind, FaultStep, ScaleScenario
from bench.scale_real import RealFigures, RealRouters, RouterSample, figures_between
from bench.scale_report import kernel_drops, light_figures, mean_bytes_per_s, summarize, void_reasons
from holdgw.wire.address import Address

LOW_RATE_ROUTERS = 10  # hollow routers with the real routers' request rate, for comparison with them
SLOW_ROUTER_RUN_MS = 20  # of each 100 ms
REAL_MARGIN_S = 60.0  # added to the real routers' schedule, which must not end before the rig ends them
PROGRESS_INTERVAL_S = 0.2


class Program(NamedTuple):
    """The program under test: a real router's command, its working directory, hollow routers' PYTHONPATH."""

    command: str
    root: Path
    path: str


class Participants(NamedTuple):
    """The routers and aggregators of a run.

    `size`: routers in the membership; `real`: how many of these are real processes; `standalone`: real
    routers without peers outside the membership, the baseline for the cost of peers; `aggregators`: dedicated
    aggregators, with the numbers after the routers'.
    """

    size: int
    real: int = 0
    standalone: int = 0
    aggregators: int = 0

    @property
    def members(self) -> int:
        """The number of members: routers and aggregators."""
        return self.size + self.aggregators


class ScenarioResult(NamedTuple):
    """The figures of a scenario. `void`: the reasons why they are void; empty if they are valid."""

    figures: dict[str, Any]
    real: list[RealFigures]
    real_bytes: list[float]
    light: dict[str, float]
    rig: dict[str, Any]
    void: list[str]


class Rig:
    """Runs one scenario; `end` ends every process that it started."""

    def __init__(
        self,
        participants: Participants,
        scenario: ScaleScenario,
        program: Program,
        seed: int,
        loss: float,
        slow: float,
    ):
        self.participants, self.scenario, self.program = participants, scenario, program
        self.seed, self.loss = seed, loss
        self.clock = SlowClock(time.monotonic_ns(), slow)
        self.hollow: list[Child] = []
        self.relay = Child("bench.scale_relay", program.root, program.path)
        self.real: RealRouters | None = None
        self.death_times: dict[int, float] = {}
        net = f"127.{64 + os.getpid() % 128}.{os.getpid() // 128 % 250}."
        # Each hollow process has an address of its own: two processes that look for free ports at one address
        # may find the same port.
        self._relay_ip = net + "5"
        self._hollow_ips = [f"{net}{100 + i}" for i in range(MAX_WORKERS)]
        self._listens: dict[str, Any] = {}

    async def start(self, workers: int) -> None:
        """Start all processes and wait until each of them is ready."""
        participants, program = self.participants, self.program
        self.hollow = [Child("bench.hollow", program.root, program.path) for _ in range(workers)]
        for child in (*self.hollow, self.relay):
            await child.start()
        assignments = scale_plan.assign_routers(range(participants.real, participants.members), workers)
        low_rate = list(
            range(participants.real, participants.real + LOW_RATE_ROUTERS * bool(participants.real))
        )
        listen_addresses = await asyncio.gather(
            *(
                child.ask(
                    "setup",
                    ip=ip,
                    numbers=numbers,
                    light=low_rate,
                    seed=self.seed,
                    servers=scale_plan.SERVERS,
                    base=self.clock.base,
                    slow=self.clock.slow,
                )
                for child, numbers, ip in zip(self.hollow, assignments, self._hollow_ips, strict=False)
            )
        )
        for listens in listen_addresses:
            self._listens.update(listens)
        if participants.real or participants.standalone:
            length = self.scenario.length + REAL_MARGIN_S
            count, join = (
                (participants.real, self._join) if participants.real else (participants.standalone, None)
            )
            self.real = RealRouters(
                count, self.seed, program.command, program.root, length, join, participants.aggregators
            )
        if not participants.real:
            await self._join({})
        if self.real is not None:
            await self.real.ready()

    async def _join(self, real: dict[int, Address]) -> tuple[tuple[Address, ...], Address]:
        self._listens.update({str(number): address for number, address in real.items()})
        relay_addresses = await self.relay.ask(
            "listen",
            ip=self._relay_ip,
            listens=self._listens,
            seed=self.seed,
            loss=self.loss,
            base=self.clock.base,
            slow=self.clock.slow,
        )
        each = tuple(
            (relay_addresses["each"][str(n)][0], relay_addresses["each"][str(n)][1])
            for n in range(self.participants.members)
        )
        await asyncio.gather(
            *(
                child.ask("start", each=each, aggregators=self.participants.aggregators)
                for child in self.hollow
            )
        )
        return each, (relay_addresses["all"][0], relay_addresses["all"][1])

    async def run(self, progress: Callable[[float], None]) -> ScenarioResult:
        """Run the scenario and return its figures; `progress` is called with the second of the scenario."""
        clock = SlowClock(time.monotonic_ns(), self.clock.slow)
        await self._ask_all("begin", base=clock.base)
        samples: list[list[RouterSample]] = []
        calm = self.scenario.windows[0]
        marks = [(float(calm.since), None), (float(calm.until), None)] if self.real is not None else []
        steps: list[tuple[float, FaultStep | None]] = [
            *marks,
            *((step.at, step) for step in self.scenario.steps),
        ]
        for at, step in sorted(steps, key=lambda entry: entry[0]):
            await self._wait_until(clock, at, progress)
            if step is not None:
                await self._apply_step(step, clock)
            elif self.real is not None:
                samples.append(await self.real.sample())
        await self._wait_until(clock, self.scenario.length, progress)
        return await self._collect(samples)

    async def _wait_until(self, clock: SlowClock, at: float, progress: Callable[[float], None]) -> None:
        while (remaining := at - clock.seconds()) > 0:
            progress(clock.seconds())
            await asyncio.sleep(min(clock.machine_seconds(remaining), PROGRESS_INTERVAL_S))

    async def _ask_all(self, verb: str, **arguments: Any) -> list[Any]:
        return await asyncio.gather(*(child.ask(verb, **arguments) for child in (*self.hollow, self.relay)))

    async def _apply_step(self, step: FaultStep, clock: SlowClock) -> None:
        if step.kind is FaultKind.CUT:
            members = scale_plan.routers_in_region(self.participants.members, 0)
            await self.relay.ask("cut", members=members, seconds=step.seconds)
            return
        if step.kind is FaultKind.KILL:
            self.death_times.update(dict.fromkeys(step.members, clock.seconds()))
            arguments: dict[str, Any] = {}
        elif step.kind is FaultKind.PAUSE:
            arguments = {"seconds": step.seconds}
        else:
            arguments = {"seconds": step.seconds, "run_ms": SLOW_ROUTER_RUN_MS}
        requests = (child.ask(step.kind.value, members=step.members, **arguments) for child in self.hollow)
        await asyncio.gather(*requests)

    async def alive(self) -> dict[int, int]:
        """Return how many members each living hollow router holds to be alive, by number."""
        answers = await asyncio.gather(*(child.ask("alive") for child in self.hollow))
        return {int(number): count for answer in answers for number, count in answer.items()}

    async def _collect(self, samples: Sequence[list[RouterSample]]) -> ScenarioResult:
        drops = kernel_drops(Path("/proc/net/udp").read_text(), [self._relay_ip, *self._hollow_ips])
        relay = await self.relay.ask("report")
        hollow = await asyncio.gather(*(child.ask("report") for child in self.hollow))
        routers = [router for report in hollow for router in report["routers"]]
        calm = self.scenario.windows[0]
        lags = {f"hollow {i}": report["lag"] for i, report in enumerate(hollow)} | {"relay": relay["lag"]}
        return ScenarioResult(
            summarize(self.scenario, routers, relay, self.death_times, self.participants.size),
            figures_between(*samples) if len(samples) == 2 else [],
            [mean_bytes_per_s(relay, str(number), calm) for number in range(self.participants.real)],
            light_figures(routers, relay, calm, self.participants.size),
            self._rig_figures(hollow, lags, drops, relay),
            void_reasons(lags, drops, relay["unknown"], self.participants.members - len(relay["said"])),
        )

    def _rig_figures(
        self,
        hollow: Sequence[dict[str, Any]],
        lags: dict[str, list[float]],
        drops: int,
        relay: dict[str, Any],
    ) -> dict[str, Any]:
        count = self.participants.members - self.participants.real
        seconds = max(report["seconds"] for report in hollow)
        router_seconds = count * seconds - sum(seconds - at for at in self.death_times.values())
        without_stream_s = sum(report["cpu_ns"] - report["stream_ns"] for report in hollow) / NS_PER_S
        in_calls_ns = sum(
            ns for report in hollow for one in report["routers"] for ns in one["cpu_ns"].values()
        )
        process_s = sum(report["cpu_ns"] for report in hollow) / NS_PER_S
        all_readings = [one for readings in lags.values() for one in readings]
        dropped: dict[str, int] = {}
        for report in hollow:
            for router in report["routers"]:
                for reason, times in router["dropped"].items():
                    dropped[reason] = dropped.get(reason, 0) + times
        return {
            "slow": self.clock.slow,
            "workers": len(hollow),
            "lag_p99_ms": round(sorted(all_readings)[int(0.99 * len(all_readings))] * 1000, 1),
            "lag_worst_ms": round(max(all_readings) * 1000, 1),
            "pace_us": round(median(report["pace_us"] for report in hollow), 1),
            "best_pace_us": round(min(report["best_pace_us"] for report in hollow), 1),
            "kernel_drops": drops,
            "over_256_bytes": relay["long"],
            "memory_bytes_per_router": round(sum(report["memory"] for report in hollow) / count),
            "cpu_percent_in_calls": round(in_calls_ns / NS_PER_S / router_seconds * 100, 3),
            "cpu_percent_with_loop": round(without_stream_s / router_seconds * 100, 3),
            "cpu_percent_whole": round(process_s / router_seconds * 100, 3),
            "dropped_by_routers": dropped,
        }

    async def end(self) -> int:
        """End every process that was started.

        Returns how many child processes were ended: those of the hollow routers and the relay, without the
        harness's processes of the real routers.
        """
        if self.real is not None:
            await self.real.end()
        children = [child for child in (*self.hollow, self.relay) if child.process is not None]
        await asyncio.gather(*(child.end() for child in children))
        return len(children)
