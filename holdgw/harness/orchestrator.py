"""Plays a run with real processes: starts workers and routers, injects faults and collects the records.

Every process that the orchestrator started has exited before it returns, also after Ctrl-C, the crash of a
router or the failure of a worker. If the orchestrator itself is killed, the kernel kills the routers, and the
workers see the end of their channel and exit.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from functools import partial
from math import ceil
from pathlib import Path
from typing import Any

from holdgw.emulators.records import WarmUpCrash
from holdgw.emulators.relay import ALL
from holdgw.harness.channel import (
    Addresses,
    Channel,
    ClientCounts,
    Command,
    CommandResult,
    Finish,
    Message,
    RecordBatch,
    Setup,
    Stored,
    Voided,
    WorkerFailure,
)
from holdgw.harness.checker import History
from holdgw.harness.deployment import Peers, configuration
from holdgw.harness.fault_injection import WORKER_TIMEOUT_S, FaultInjector, HarnessError
from holdgw.harness.loopback import aggregator_ip, emulator_ip, router_ip
from holdgw.harness.routers import (
    PING_INTERVAL_S,
    READY_S,
    RouterProcess,
    Usage,
    child_of_orchestrator,
    cpu_seconds,
    free_address,
    read_first_line,
    split_cores,
)
from holdgw.harness.scenario import Scenario, member_names, router_names
from holdgw.harness.schedule import PEERS, Schedule

CLOCK = time.monotonic
AGGREGATOR_COMMAND = f"exec {sys.executable} -m holdgw.router.aggregator_program"
STATUS_REQUEST = b"GET /status HTTP/1.1\r\nHost: stage\r\n\r\n"
REQUESTS_PER_NODE_WORKER, REQUESTS_PER_CLIENT_WORKER = (
    500.0,
    700.0,
)  # requests a second for each worker
MAX_NODE_WORKERS, MAX_CLIENT_WORKERS = 4, 4
USAGE_INTERVAL_S = 1.0
CORE_WAIT_INTERVAL_S = 0.1  # between samples of how long routers waited for a core


@dataclass(slots=True)
class RunResult:
    """The records of a run that was played to its end.

    `begun` is the time of second 0 on the harness's clock.
    """

    schedule: Schedule
    history: History
    begun: float
    length: float
    usage: dict[str, list[Usage]] = field(default_factory=dict)
    workers: dict[str, float] = field(default_factory=dict)
    """CPU seconds of each worker and of the orchestrator (under `stage`)."""
    processes: int = 0
    """The number of routers, workers and orchestrator at the beginning."""


class WorkerProcess:
    """A worker process, as the orchestrator uses it."""

    def __init__(self, orchestrator: Orchestrator, name: str) -> None:
        self.orchestrator, self.name = orchestrator, name
        self.channel: Channel | None = None
        self.process: asyncio.subprocess.Process | None = None
        self.finished = asyncio.Event()
        self.tally = ClientCounts()
        self.cpu = 0.0
        self._answers: dict[int, asyncio.Future[Any]] = {}
        self._number = 0

    async def start(self, setup: Setup, environment: dict[str, str]) -> None:
        """Start the process and assign its role."""
        own_end, worker_end = socket.socketpair()
        with worker_end:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "holdgw.harness.worker",
                str(worker_end.fileno()),
                pass_fds=(worker_end.fileno(),),
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                start_new_session=True,
                preexec_fn=partial(child_of_orchestrator, self.orchestrator.cores),
            )
        self.channel = await Channel.connect(own_end, self._on_message, self._on_disconnect)
        self.channel.send(setup)

    def ask(self, verb: str, target: str = "", args: dict[str, Any] | None = None) -> asyncio.Future[Any]:
        """Have the worker carry out a command; the future gets its value."""
        self._number += 1
        self.send(Command(verb, target, args or {}, self._number))
        return self._expect(self._number)

    def ready(self) -> asyncio.Future[Any]:
        """Return a future for what the worker reports once its role has started."""
        return self._expect(0)

    def _expect(self, number: int) -> asyncio.Future[Any]:
        future = asyncio.get_running_loop().create_future()
        self._answers[number] = future
        return future

    def send(self, message: Message) -> None:
        """Send the worker a message."""
        if self.channel is not None:
            self.channel.send(message)

    def _on_message(self, message: Message) -> None:
        if isinstance(message, RecordBatch):
            self.orchestrator.add_records(message)
        elif isinstance(message, Stored | Voided):
            self.orchestrator.forward_to_nodes(message)
        elif isinstance(message, ClientCounts):
            self.tally = message
        elif isinstance(message, CommandResult):
            future = self._answers.pop(message.number, None)
            if future is not None and not future.done():
                future.set_result(message.value)
        elif isinstance(message, Finish):
            self.finished.set()
        elif isinstance(message, WorkerFailure):
            self.orchestrator.fail(
                f"worker {self.name}: {message.text.strip().splitlines()[-1]}", message.text
            )

    def _on_disconnect(self) -> None:
        if not self.finished.is_set():
            self.orchestrator.fail(f"worker {self.name} exited before the end of the run")

    def sample(self) -> None:
        """Read the worker's CPU time."""
        if self.process is not None:
            with contextlib.suppress(OSError, IndexError, ValueError):
                self.cpu = cpu_seconds(self.process.pid)

    async def end(self) -> None:
        """Kill the process and wait for its exit."""
        if self.channel is not None:
            self.channel.close()
        if self.process is not None:
            if self.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    self.process.kill()
            await self.process.wait()


class Orchestrator(FaultInjector):
    """Plays one run with real processes."""

    def __init__(self, schedule: Schedule, command: str, root: Path, keep_logs: Path | None = None) -> None:
        super().__init__(schedule, CLOCK)
        self.history = History()
        self.felled = 0
        self.cores, self._router_cores = split_cores(os.sched_getaffinity(0))
        self._command, self._root, self._keep_logs = command, root, keep_logs
        self.node_workers: list[WorkerProcess] = []
        self.client_workers: list[WorkerProcess] = []
        self.routers: dict[str, RouterProcess] = {}
        self.aggregators: dict[str, RouterProcess] = {}
        """Dedicated aggregators by name; tests kill or stop one by its process."""
        self._workers: list[WorkerProcess] = []
        self._failure: asyncio.Future[None] | None = None
        self._fault_text = ""
        self._tasks: set[asyncio.Task[None]] = set()

    # Messages of workers

    def add_records(self, batch: RecordBatch) -> None:
        """Keep a worker's records; a node that crashed while warming up is removed from the endpoint list."""
        for record in batch.records:
            self.history.add(record)
            if isinstance(record, WarmUpCrash):
                self.felled += 1
                self.spawn(self.set_endpoint_state("removed", record.server))

    def forward_to_nodes(self, message: Stored | Voided) -> None:
        """Pass a message of the origin on to all workers of nodes."""
        for worker in self.node_workers:
            worker.send(message)

    def fail(self, text: str, details: str = "") -> None:
        """End the run with a HarnessError; `details` is written to `fault.txt` beside the kept logs."""
        if self._failure is not None and not self._failure.done():
            self._fault_text = details
            self._failure.set_exception(HarnessError(text))

    def tally(self) -> ClientCounts:
        """Return the sum of what all workers of clients have counted so far."""
        total = ClientCounts()
        for worker in self.client_workers:
            for name in ClientCounts.__struct_fields__:
                setattr(total, name, getattr(total, name) + getattr(worker.tally, name))
        return total

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Start a task in the background; an exception in it ends the run."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.fail(f"{type(error).__name__}: {error}")

    # The whole run

    async def play(
        self, progress: Callable[[Orchestrator, float], None] = lambda _orchestrator, _at: None
    ) -> RunResult:
        """Play the run; `progress` is called several times a second with the second of the run.

        Raises:
            HarnessError: The run could not be played to its end.
        """
        self._failure = asyncio.get_running_loop().create_future()
        with tempfile.TemporaryDirectory(prefix="holdgw-rehearsal-") as folder:
            main = asyncio.ensure_future(self._play(Path(folder), progress))
            try:
                await asyncio.wait((main, self._failure), return_when=asyncio.FIRST_COMPLETED)
                if not main.done():
                    await self._failure
                return await main
            finally:
                main.cancel()
                await asyncio.gather(main, return_exceptions=True)
                await self._end_all()
                if self._failure.done() and not self._failure.cancelled():
                    self._failure.exception()
                self._save_logs(Path(folder))

    def _save_logs(self, folder: Path) -> None:
        if self._keep_logs is not None:
            self._keep_logs.mkdir(parents=True, exist_ok=True)
            for log in folder.glob("*.log"):
                (self._keep_logs / log.name).write_bytes(log.read_bytes())
            if self._fault_text:
                (self._keep_logs / "fault.txt").write_text(self._fault_text)

    async def _play(self, folder: Path, progress: Callable[[Orchestrator, float], None]) -> RunResult:
        scenario = self.schedule.scenario
        await self._start_workers(scenario)
        await self._start_routers(scenario, folder)
        self.begin()
        self.spawn(self._sample())
        self.spawn(self._sample_core_waits())
        await self.wait_until_finished(partial(progress, self))
        return await self._gather()

    async def _gather(self) -> RunResult:
        """Shut down the routers gracefully, and collect the workers' last records."""
        for task in list(self._tasks):
            task.cancel()
        for router in self.routers.values():
            router.sample()
        await self.stop_routers()
        workers = self._workers
        for worker in workers:
            worker.sample()
            worker.send(Finish())
        for worker in workers:
            await asyncio.wait_for(worker.finished.wait(), WORKER_TIMEOUT_S)
        for router in self.routers.values():
            self.history.lives += router.lives
            self.history.starved += router.starved
        times = os.times()
        return RunResult(
            self.schedule,
            self.history,
            self.begun,
            self.schedule.scenario.length_s,
            {router.name: router.usage for router in self.routers.values()},
            {**{worker.name: worker.cpu for worker in workers}, "stage": times.user + times.system},
            len(self.routers) + len(workers) + 1,
        )

    async def _end_all(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        ends = [one.end() for one in (*self.routers.values(), *self.aggregators.values())]
        ends += [worker.end() for worker in self._workers]
        await asyncio.shield(asyncio.gather(*ends, return_exceptions=True))

    # Start

    async def _start_workers(self, scenario: Scenario) -> None:
        cores = max(len(self.cores), 1)
        peak_rate = scenario.peak
        node_worker_count = min(
            ceil(peak_rate / REQUESTS_PER_NODE_WORKER), MAX_NODE_WORKERS, cores, scenario.fleet.nodes
        )
        client_worker_count = min(ceil(peak_rate / REQUESTS_PER_CLIENT_WORKER), MAX_CLIENT_WORKERS, cores)
        environment = dict(os.environ)
        setups = [("nodes", i, node_worker_count) for i in range(node_worker_count)]
        setups += [("hub", 0, 1), *(("clients", i, client_worker_count) for i in range(client_worker_count))]
        setups += [(PEERS, 0, 1)] * scenario.peers.allowed
        for role, index, count in setups:
            worker = WorkerProcess(self, f"{role}{index}")
            self._workers.append(worker)
            if role == "nodes":
                self.node_workers.append(worker)
            elif role == "hub":
                self.hub = worker
            elif role == PEERS:
                self.relay = worker
            else:
                self.client_workers.append(worker)
            setup = Setup(role, index, count, worker.name, scenario, self.schedule.seed, emulator_ip())
            ready = worker.ready()
            await worker.start(setup, environment)
            self._tasks.add(asyncio.ensure_future(self._register_worker(worker, ready, role)))
        await asyncio.wait_for(asyncio.gather(*self._tasks), WORKER_TIMEOUT_S + 30)
        self._tasks.clear()
        self.hub.send(Addresses(servers=self.addresses))

    async def _register_worker(self, worker: WorkerProcess, ready: asyncio.Future[Any], role: str) -> None:
        reply = await ready
        if role == "nodes":
            for name, addresses in reply.items():
                self.worker_of[name] = worker
                self.add_addresses(name, addresses)
        elif role == "hub":
            self.discovery = {name: (host, port) for name, (host, port) in reply.items()}

    async def _start_routers(self, scenario: Scenario, folder: Path) -> None:
        for i, name in enumerate(router_names(scenario.fleet)):
            address = free_address(router_ip(i))
            self.routers[name] = RouterProcess(
                name, self._command, self._root, folder, address, CLOCK, self._router_cores
            )
        if scenario.peers.allowed:
            self._create_aggregators(scenario, folder)
            await self._join_peers()
        await asyncio.gather(*(self.start_aggregator(one) for one in self.aggregators.values()))
        await asyncio.gather(*(self.start_router(router) for router in self.routers.values()))
        self.announce_routers()

    def _create_aggregators(self, scenario: Scenario, folder: Path) -> None:
        for i, name in enumerate(member_names(scenario)[len(self.routers) :]):
            address = free_address(aggregator_ip(i, len(self.routers)))
            self.aggregators[name] = RouterProcess(
                name, AGGREGATOR_COMMAND, self._root, folder, address, CLOCK, self._router_cores
            )

    async def start_aggregator(self, machine: RouterProcess) -> None:
        """Start a dedicated aggregator, and wait until its status says that it aggregates."""
        schedule, discovery = self.schedule, next(iter(self.discovery.values()))
        member_args = machine.address, discovery, None, machine.ops, self.peers[machine.name]
        machine.configure(
            configuration(schedule.scenario, schedule.seed, machine.name, machine.starts, *member_args)
        )
        await machine.start(discovery)
        deadline = self.clock() + READY_S
        while not (await read_first_line(machine.ops, STATUS_REQUEST)).startswith(b"HTTP/1.1 200"):
            if not machine.running or self.clock() > deadline:
                raise HarnessError(
                    f"{machine.name} did not get ready: {machine.last_log_line()}".rstrip(": ")
                )
            await asyncio.sleep(PING_INTERVAL_S)

    async def _join_peers(self) -> None:
        """Start the relay; every router is told the relay's address for each peer, and no peer's own."""
        members = {**self.routers, **self.aggregators}
        listens = {name: member.peer for name, member in members.items()}
        reply = await asyncio.wait_for(self.relay.ask("listen", "", listens), WORKER_TIMEOUT_S)
        relay_addresses = {name: (host, port) for name, (host, port) in reply.items()}
        member_addresses = tuple(relay_addresses[name] for name in members)
        aggregators = tuple(relay_addresses[name] for name in self.aggregators)
        self.peers = {
            name: Peers(listen, member_addresses, relay_addresses[ALL], aggregators)
            for name, listen in listens.items()
        }

    async def _sample_core_waits(self) -> None:
        while True:
            for router in self.routers.values():
                router.sample_core_waits()
            await asyncio.sleep(CORE_WAIT_INTERVAL_S)

    async def _sample(self) -> None:
        while True:
            for router in self.routers.values():
                router.sample()
            await asyncio.sleep(USAGE_INTERVAL_S)


async def play(
    schedule: Schedule,
    command: str,
    root: Path,
    progress: Callable[[Orchestrator, float], None] = lambda _orchestrator, _at: None,
    keep_logs: Path | None = None,
) -> RunResult:
    """Play a run with real routers; SIGTERM ends it as Ctrl-C does.

    Args:
        schedule: The drawn run.
        command: The shell command that starts one router, run in `root`.
        root: The working directory of routers.
        progress: Called several times a second with the orchestrator and the second of the run.
        keep_logs: Folder for the routers' logs; None: they are deleted.

    Raises:
        HarnessError: The run could not be played to its end.
    """
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    with contextlib.suppress(ValueError, RuntimeError):  # not the main thread
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        loop.add_signal_handler(signal.SIGINT, task.cancel)
    try:
        return await Orchestrator(schedule, command, root, keep_logs).play(progress)
    finally:
        with contextlib.suppress(ValueError, RuntimeError):
            loop.remove_signal_handler(signal.SIGTERM)
            loop.remove_signal_handler(signal.SIGINT)


__all__ = ["HarnessError", "Orchestrator", "RunResult", "play"]
