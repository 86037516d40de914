"""A worker process: a router that gets its clients and its endpoint list from a supervisor.

Only the supervisor starts it, with the environment variables of WorkerParameters.
"""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from collections.abc import Coroutine
from dataclasses import replace
from typing import Any

from holdgw.cores.host_system import LinkHandlers, LinuxWorkerHostSystem, WorkerHostSystem, WorkerParameters
from holdgw.cores.messages import (
    ClientsAccepted,
    EndpointUpdatePart,
    HandOver,
    LimitShares,
    NewClient,
    Serving,
    ToWorker,
    UpdateAssembler,
    WorkerReport,
    decode_to_worker,
)
from holdgw.cores.worker_pool import MIN_SHARE
from holdgw.operation.process_link import ClientHandover, HandoverPart, ProcessLink, split_handover
from holdgw.policy import LimitSharesChanged
from holdgw.router.config import Config, ConfigError, load_config
from holdgw.router.connection_pool import MAX_CONNECTIONS_PER_ENDPOINT
from holdgw.router.log import configure_logging
from holdgw.router.platform import Platform
from holdgw.router.process import report_usage_error, run_until_exit
from holdgw.router.program import Program

REPORT_INTERVAL_S = 0.05
SEED_STRIDE = 1009  # above MAX_WORKERS, so that workers of different routers never share a seed
MIN_CONNECTIONS_PER_ENDPOINT = 2  # with 1, a connection that is slow to close makes the endpoint unreachable

log = logging.getLogger("holdgw")


def worker_config(config: Config, parameters: WorkerParameters) -> Config:
    """A worker's part of its router's configuration; the supervisor gets a part of memory and descriptors."""
    processes = parameters.worker_count + 1
    settings = replace(
        config.settings,
        workers=parameters.worker_count,
        worker_index=parameters.index,
        subscription_required=False,
    )
    return replace(
        config,
        settings=settings,
        seed=config.seed * SEED_STRIDE + parameters.index,
        max_open_requests=max(config.max_open_requests // parameters.worker_count, 1),
        memory_bytes=config.memory_bytes // processes,
        max_descriptors=config.max_descriptors // processes,
        admin_address=None,
        passed_descriptor=None,
        peers=None,
        known_endpoints=None,
    )


class Worker(Program):
    """A router program whose clients, endpoint list and shutdown are controlled by a supervisor."""

    def __init__(
        self,
        config: Config,
        parameters: WorkerParameters,
        host_system: WorkerHostSystem,
        platform: Platform | None = None,
    ) -> None:
        super().__init__(worker_config(config, parameters), platform)
        self.pool.max_per_endpoint = max(
            MAX_CONNECTIONS_PER_ENDPOINT // parameters.worker_count, MIN_CONNECTIONS_PER_ENDPOINT
        )
        self._host_system = host_system
        self._shared_table = host_system.attach_table(parameters)
        self.clients.duplicate_descriptor = host_system.duplicate_client
        self._update_assembler = UpdateAssembler()
        self._accepted_clients = 0
        self._shares_number = 0
        self._seen_revision = 0
        self._announced_serving = False
        self._handing_over = False
        self._report_timer: asyncio.TimerHandle | None = None
        # Until the worker is sent its limit shares, it must not use shares that other workers still have.
        tenants = (*(tenant.name for tenant in config.settings.tenants), "")
        self.dispatcher.dispatch(LimitSharesChanged(dict.fromkeys(tenants, MIN_SHARE)))
        self.dispatcher.shared_state = self
        self.link: ProcessLink[ToWorker] = host_system.open_link(
            LinkHandlers(decode_to_worker, self._receive, self._link_closed)
        )

    # Calls of the dispatcher

    def claim(self, request_id: bytes) -> bool:
        """Reserve a request id for this worker; returns False if any worker has used it recently."""
        return self._shared_table.insert_if_absent(request_id)

    def catch_up(self) -> None:
        """Apply endpoint updates that were sent to this worker and not read yet."""
        revision = self._shared_table.revision
        if revision != self._seen_revision:
            self._seen_revision = revision
            if self.link.open:
                self.link.read()

    # Messages from the supervisor

    def _receive(self, _: ProcessLink[ToWorker], message: ToWorker, descriptor: int | None) -> None:
        match message:
            case NewClient() if descriptor is not None:
                self._confirm_client()
                self.adopt_client(None, descriptor, message.accepted_ns)
                descriptor = None
            case ClientHandover() if descriptor is not None:
                self._confirm_client()
                self.adopt_client(message, descriptor)
                descriptor = None
            case EndpointUpdatePart():
                self._apply_update_part(message)
            case LimitShares():
                self.dispatcher.dispatch(LimitSharesChanged(message.shares))
                self._shares_number = message.number
                self._report()
            case HandoverPart():
                self.restore_state(message.state)
            case HandOver():
                self._begin_handover()
        if descriptor is not None:
            self._host_system.close_descriptor(descriptor)

    def _confirm_client(self) -> None:
        """Confirm a client's connection, before anything is read from it.

        Until then the supervisor keeps a duplicate of the descriptor. If this process read from the
        connection before confirming and then ended, the bytes read would be lost, and the supervisor would
        send the duplicate to another worker in the middle of a command.
        """
        self._accepted_clients += 1
        self.link.send(ClientsAccepted(self._accepted_clients))

    def _apply_update_part(self, part: EndpointUpdatePart) -> None:
        update = self._update_assembler.add(part)
        if update is None:
            return
        self._apply_discovery_update(update)
        if not self._announced_serving:
            self._announced_serving = True
            self.link.send(Serving())

    def _begin_handover(self) -> None:
        for part in split_handover(self.dispatcher.handover_state()):
            self.link.send(HandoverPart(part))
        self._handing_over = True
        self._shutdown_requested.set()

    def _link_closed(self, _: ProcessLink[ToWorker]) -> None:
        """Drain: without a supervisor, this worker would not learn of draining endpoints, nor be ended."""
        if not self._shutdown_requested.is_set():
            log.error("worker: the supervisor has ended, draining")
        self._shutdown_requested.set()

    # Reports to the supervisor

    def _report(self) -> None:
        dispatcher = self.dispatcher
        self.link.send(
            WorkerReport(
                connected=self.clients.connection_count,
                shares_number=self._shares_number,
                demands=dispatcher.origin_demand(),
                results=dispatcher.metrics.counts(),
                forwards=dispatcher.metrics.forwards,
                outstanding=dispatcher.outstanding,
                ejected=dispatcher.ejected(),
            )
        )

    def _report_periodically(self) -> None:
        self._report_timer = self.loop.call_later(REPORT_INTERVAL_S, self._report_periodically)
        self._report()

    # Overridden methods of Program

    def _connect_client(
        self, handover: ClientHandover | None, descriptor: int, wait_ns: int
    ) -> Coroutine[Any, Any, None]:
        return self._host_system.adopt_client(self.clients, handover, descriptor, wait_ns)

    def _reload(self) -> None:
        """Count the reload: the supervisor applies the discovery address, and nothing else."""
        self.dispatcher.metrics.reloads_applied += 1

    async def _start_serving(self, _: asyncio.Future[Any] | None) -> None:
        self.link.read()
        self._report_periodically()

    def handover_link(self) -> ProcessLink[Any] | None:
        """The link to the supervisor, once the supervisor has requested the handover."""
        return self.link if self._handing_over and self.link.open else None

    async def run(self, listening: asyncio.Future[Any] | None = None) -> None:
        """Serve until the supervisor ends this worker."""
        try:
            await super().run(listening)
        finally:
            if self._report_timer is not None:
                self._report_timer.cancel()
            if self.link.open:
                self._report()
            self.link.close()
            self._shared_table.close()


def main() -> int:
    """Run a worker process; returns the exit code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        parameters = WorkerParameters.read(os.environ)
        config = load_config(os.environ)
        if os.environ.get("PYTHONHASHSEED", "random") in ("", "random", "0"):
            raise ConfigError("PYTHONHASHSEED must be set to a number that all workers share")
    except ConfigError as error:
        return report_usage_error(error)
    configure_logging(f"{config.name}.{parameters.index}")

    async def run() -> None:
        await Worker(config, parameters, LinuxWorkerHostSystem(parameters)).run()

    return run_until_exit(run)


if __name__ == "__main__":
    sys.exit(main())
