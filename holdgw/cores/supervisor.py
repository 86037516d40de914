"""The supervisor of `holdgw run --cores N`: its sockets and processes. WorkerPool makes its decisions.

The supervisor owns the listening socket for clients and sends the descriptor of each new connection to a
worker, follows discovery for all workers, and serves the admin endpoint. It reads nothing from clients.
"""

from __future__ import annotations

import asyncio
import logging
import signal
from collections import deque
from collections.abc import Callable, Coroutine
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial
from typing import Any, NamedTuple

from holdgw.cores import messages
from holdgw.cores.endpoint_feed import EndpointFeed
from holdgw.cores.host_system import Acceptor, HostSystem, LinkHandlers, LinuxHostSystem, RunningProcess
from holdgw.cores.worker_pool import WorkerPool, WorkerProcess, check_resources
from holdgw.operation.admin_endpoint import AdminEndpoint
from holdgw.operation.endpoint_update import EndpointUpdate
from holdgw.operation.metrics import Metrics, worker_count_text
from holdgw.operation.process_link import ClientHandover, HandoverPart, ProcessLink
from holdgw.policy import NS_PER_S, disabled_features
from holdgw.router.config import Config
from holdgw.router.event_loop_lag import LagMonitor
from holdgw.router.graceful_shutdown import ACCEPT_AFTER_SIGTERM_S, KILL_SLACK_S
from holdgw.router.log import log_callback_errors
from holdgw.router.platform import Platform
from holdgw.router.program import KNOWN_ENDPOINTS_WAIT_S
from holdgw.router.reload import reload_config
from holdgw.router.timer_wheel import TimerWheel

LAG_CHECK_INTERVAL_S = 0.02
TICK_S = 0.1  # interval at which limit shares, overdue starts and replacements are handled
DRAIN_CHECK_INTERVAL_S = 0.01
MAX_WAITING_CLIENTS = 4096  # accepted while no worker can serve; more stay in the kernel's queue
TASK_TIMEOUT_S = 1.0  # at shutdown, for each task that waits for a worker's end

log = logging.getLogger("holdgw")


class ClientTransfer(NamedTuple):
    """A client's connection on its way to a worker."""

    message: messages.NewClient | ClientHandover
    descriptor: int
    """The supervisor's descriptor; a worker is sent a duplicate."""


@dataclass(eq=False)
class WorkerHandle:
    """A worker process, the link to it, and its record in the worker pool."""

    record: WorkerProcess
    process: RunningProcess
    link: ProcessLink[messages.ToSupervisor]
    unconfirmed: deque[ClientTransfer] = field(default_factory=deque)
    """Connections that were sent to the worker and are not confirmed yet."""
    report: messages.WorkerReport | None = None
    replacement: WorkerHandle | None = None
    """The new process that its connections are handed over to."""


class Supervisor:
    """A router on several cores; `run` serves until SIGTERM."""

    def __init__(
        self,
        config: Config,
        workers: int,
        platform: Platform | None = None,
        host_system: HostSystem | None = None,
    ) -> None:
        """Raises InsufficientResourcesError."""
        check_resources(workers, config.memory_bytes, config.max_descriptors)
        self.config = config
        self.platform = platform or Platform()
        self.loop = asyncio.get_running_loop()
        self.pool = WorkerPool(workers, tuple(tenant.name for tenant in config.settings.tenants))
        self.workers: dict[WorkerProcess, WorkerHandle] = {}
        self._admin_endpoint = AdminEndpoint(self.loop, self)
        self._feed = EndpointFeed(config, self.platform, self._call_later, self._send_update)
        self._host_system = host_system or LinuxHostSystem()
        self._shared_table = self._host_system.create_table(workers)
        self._acceptor: Acceptor | None = None
        self._waiting_clients: deque[ClientTransfer] = deque()
        classes = (cls.name for cls in config.settings.classes)
        # The counts of workers that have ended.
        self._ended_metrics = Metrics(classes, disabled_features(config.settings))
        self._terminated = asyncio.Event()
        self._tasks: dict[asyncio.Task[None], None] = {}
        self._timer_wheel = TimerWheel(self.loop, self.platform.monotonic_ns)
        self._lag_monitor = LagMonitor(int(LAG_CHECK_INTERVAL_S * NS_PER_S), self.platform.monotonic_ns())

    async def run(self, listening: asyncio.Future[Any] | None = None) -> None:
        """Serve until SIGTERM, then drain every worker; `listening`: resolved with the bound address."""
        log_callback_errors(self.loop)
        self._acceptor = self._host_system.listen(self.config, self._accept_client)
        self.loop.add_signal_handler(signal.SIGTERM, self._terminated.set)
        self.loop.add_signal_handler(signal.SIGHUP, self._reload)
        self.loop.add_signal_handler(signal.SIGUSR2, self.replace_workers)
        self._feed.load_cached()
        if self.config.admin_address is not None:
            await self._admin_endpoint.listen(self.config.admin_address)
        for index in range(self.pool.workers):
            await self._start_worker(index)
        self._acceptor.set_accepting(True)
        if listening is not None:
            listening.set_result(self._acceptor.address)
        self._feed.start()
        self._call_later(KNOWN_ENDPOINTS_WAIT_S, self._check_for_list)
        self._call_later(TICK_S, self._tick)
        self._check_lag()
        await self._terminated.wait()
        await self._drain()
        await self._close()

    async def _drain(self) -> None:
        """Accept clients for ACCEPT_AFTER_SIGTERM_S more, as they still connect; then await the workers."""
        self.pool.ending = True
        started_s = self.loop.time()
        for worker in list(self.workers.values()):
            self._signal(worker, signal.SIGTERM)
        await asyncio.sleep(ACCEPT_AFTER_SIGTERM_S)
        if self._acceptor is not None:
            self._acceptor.close()
            self._acceptor = None
        while self.workers and self.loop.time() < started_s + self.config.max_deadline_s + KILL_SLACK_S:
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
        for worker in list(self.workers.values()):
            log.error("worker did not drain in time, killing it worker=%d", worker.record.index)
            self._signal(worker, signal.SIGKILL)
        for task in list(self._tasks):
            await asyncio.wait((task,), timeout=TASK_TIMEOUT_S)

    async def _close(self) -> None:
        self._timer_wheel.close()
        self._admin_endpoint.close()
        self._feed.close()
        self._close_clients(self._waiting_clients)
        self._shared_table.close()
        self._host_system.close()
        await asyncio.sleep(0)  # lets the transports close

    def _call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        self._timer_wheel.call_at(self.platform.monotonic_ns() + int(delay_s * NS_PER_S), callback)

    # Worker processes

    async def _start_worker(self, index: int) -> None:
        if self.pool.ending:
            return
        record = self.pool.process_started(index, self.loop.time())
        handlers = LinkHandlers(messages.decode_to_supervisor, partial(self._receive, record))
        try:
            process, link = await self._host_system.start_worker(
                index, self.pool.workers, self.platform.environ, handlers
            )
        except OSError as error:
            log.error("worker can't be started worker=%d error=%s", index, error)
            self._restart_after(index, self.pool.process_ended(record, self.loop.time()))
            return
        worker = WorkerHandle(record, process, link)
        self.workers[record] = worker
        if self._feed.has_list:
            for part in messages.split_update(self._feed.overrides.full_update()):
                link.send(part)
        self._create_task(self._await_end(worker))
        if self.pool.ending:
            self._signal(worker, signal.SIGTERM)

    def _restart_after(self, index: int, delay_s: float | None) -> None:
        if delay_s is not None:
            self._call_later(delay_s, partial(self._schedule_start, index))

    def _schedule_start(self, index: int) -> None:
        self._create_task(self._start_worker(index))

    def _create_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(work)
        self._tasks[task] = None
        task.add_done_callback(lambda finished: self._tasks.pop(finished, None))

    async def _await_end(self, worker: WorkerHandle) -> None:
        code = await worker.process.wait()
        worker.link.read()  # messages that it sent before its end
        worker.link.close()
        del self.workers[worker.record]
        delay_s = self.pool.process_ended(worker.record, self.loop.time())
        if worker.report is not None:
            self._ended_metrics.add(worker.report.results, worker.report.forwards)
        # The worker has read nothing from connections that it did not confirm: other workers can serve them.
        for client in worker.unconfirmed:
            self._assign(client)
        worker.unconfirmed.clear()
        self._worker_ended(worker, code)
        self._restart_after(worker.record.index, delay_s)

    def _worker_ended(self, worker: WorkerHandle, code: int) -> None:
        index = worker.record.index
        expected = worker.replacement is not None or self.pool.ending
        log.log(
            logging.INFO if expected else logging.ERROR, "worker ended worker=%d exit_code=%d", index, code
        )
        if not expected and self.pool.abort_replacement(index):
            log.error("replacement of workers aborted, old processes keep serving worker=%d", index)

    def _signal(self, worker: WorkerHandle, number: signal.Signals) -> None:
        if worker.process.returncode is None:
            with suppress(ProcessLookupError):  # the process has just ended
                worker.process.send_signal(number)

    def replace_workers(self) -> None:
        """Replace the worker processes one after the other; the new ones load the current sources."""
        if self.pool.begin_replacement(self.loop.time()):
            log.info("replacement of workers began workers=%d", self.pool.workers)

    def _check_lag(self) -> None:
        self._call_later(LAG_CHECK_INTERVAL_S, self._check_lag)
        self._lag_monitor.beat(self.platform.monotonic_ns())

    def _tick(self) -> None:
        self._call_later(TICK_S, self._tick)
        for record in self.pool.overdue_starts(self.loop.time()):
            log.error("worker did not start serving in time, killing it worker=%d", record.index)
            self._signal(self.workers[record], signal.SIGKILL)
        index = self.pool.next_to_replace()
        if index is not None:
            self._schedule_start(index)
        elif self.pool.finish_replacement():
            log.info("replacement of workers finished workers=%d", self.pool.workers)
        self._send_shares()

    def _send_shares(self) -> None:
        for record, shares in self.pool.rebalance_shares().items():
            self.workers[record].link.send(messages.LimitShares(record.shares_number, shares))

    def _receive(
        self,
        record: WorkerProcess,
        _: ProcessLink[messages.ToSupervisor],
        message: messages.ToSupervisor,
        descriptor: int | None,
    ) -> None:
        worker = self.workers[record]
        match message:
            case messages.Serving():
                self._worker_serving(worker)
            case messages.ClientsAccepted():
                self._clients_accepted(worker, message.accepted)
            case messages.WorkerReport():
                worker.report = message
                self.pool.apply_report(record, message.connected, message.shares_number, message.demands)
            case HandoverPart() if worker.replacement is not None:
                worker.replacement.link.send(message)
            case ClientHandover() if descriptor is not None:
                self._assign(ClientTransfer(message, descriptor))
                descriptor = None
        if descriptor is not None:
            self._host_system.close_descriptor(descriptor)

    def _worker_serving(self, worker: WorkerHandle) -> None:
        replaced = self.pool.process_serving(worker.record)
        self._send_shares()
        if replaced is not None:
            old_worker = self.workers[replaced]
            old_worker.replacement = worker
            old_worker.link.send(messages.HandOver())
        waiting_clients = self._waiting_clients
        self._waiting_clients = deque()
        for client in waiting_clients:
            self._assign(client)
        if self._acceptor is not None:
            self._acceptor.set_accepting(True)

    # Clients

    def _accept_client(self, descriptor: int) -> None:
        now = self.platform.monotonic_ns()
        accepted_ns = now - self._lag_monitor.possible_lag_ns(now)
        self._assign(ClientTransfer(messages.NewClient(accepted_ns), descriptor))
        if len(self._waiting_clients) >= MAX_WAITING_CLIENTS and self._acceptor is not None:
            self._acceptor.set_accepting(False)

    def _assign(self, client: ClientTransfer) -> None:
        """Send a connection to a worker, or queue it until one can serve; close it if none will any more."""
        record = self.pool.assign_client(self.loop.time())
        if record is not None:
            worker = self.workers[record]
            worker.unconfirmed.append(client)
            worker.link.send(client.message, self._host_system.duplicate(client.descriptor))
        elif self.pool.ending and not self.workers:
            self._host_system.close_descriptor(client.descriptor)
        else:
            self._waiting_clients.append(client)

    def _clients_accepted(self, worker: WorkerHandle, accepted: int) -> None:
        self.pool.clients_accepted(worker.record, accepted, self.loop.time())
        while len(worker.unconfirmed) > worker.record.assigned - accepted:
            self._host_system.close_descriptor(worker.unconfirmed.popleft().descriptor)

    def close_all_clients(self) -> None:
        """Close every connection that this process holds, as the kernel does when the process ends."""
        for worker in self.workers.values():
            self._close_clients(worker.unconfirmed)
        self._close_clients(self._waiting_clients)

    def _close_clients(self, clients: deque[ClientTransfer]) -> None:
        while clients:
            self._host_system.close_descriptor(clients.popleft().descriptor)

    # Endpoint list

    def _send_update(self, update: EndpointUpdate) -> None:
        for part in messages.split_update(update):
            for worker in self.workers.values():
                worker.link.send(part)
        self._shared_table.advance_revision()

    def _check_for_list(self) -> None:
        if not self._feed.has_list:
            log.warning("no endpoint list yet")

    def _reload(self) -> None:
        config = reload_config(self.platform, self._ended_metrics)
        if config is None:
            return
        self._feed.change_address(config)
        for worker in self.workers.values():
            self._signal(worker, signal.SIGHUP)

    # AdminOperations

    def can_serve(self) -> bool:
        """Whether any worker can serve clients now."""
        return self.pool.can_serve and not self.pool.ending

    def metrics_text(self) -> bytes:
        """The metrics summed over all workers, as of their last reports."""
        reports = [worker.report for worker in self.workers.values() if worker.report is not None]
        ended = self._ended_metrics
        total = Metrics((name for name, _ in ended.results), ended.disabled_features)
        total.add(ended.counts(), ended.forwards)
        total.reloads_applied = ended.reloads_applied
        total.reloads_rejected = ended.reloads_rejected
        for report in reports:
            total.add(report.results, report.forwards)
        ejected = list(dict.fromkeys(name for report in reports for name in report.ejected))
        outstanding = sum(report.outstanding for report in reports)
        overrides = self._feed.overrides
        text = total.text(outstanding, overrides.discovered_count, overrides.excluded_count(ejected))
        return text + worker_count_text(self.pool.serving_count)

    def enter_maintenance(self, endpoint_id: str) -> None:
        """Set the administrative override of a cache server; raises UnknownEndpointError."""
        self._feed.enter_maintenance(endpoint_id)

    def exit_maintenance(self, endpoint_id: str) -> None:
        """Clear the administrative override; raises UnknownEndpointError."""
        self._feed.exit_maintenance(endpoint_id)
