"""One worker: a router that gets its clients and its list of servers from a supervisor.

Started by the supervisor alone, which tells it in the environment who it is.
"""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from collections.abc import Coroutine, Mapping
from dataclasses import dataclass, replace
from typing import Any

from holdgw.cores.host_system import BOARD, LINK, PLACE, WORKERS, LinuxWorkerHostSystem, WorkerHostSystem
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
from holdgw.cores.worker_pool import EPSILON
from holdgw.operation.process_link import ClientHandover, HandoverPart, ProcessLink, split_handover
from holdgw.policy import LimitSharesChanged
from holdgw.router.config import Config, ConfigError, load_config
from holdgw.router.connection_pool import MAX_CONNECTIONS_PER_ENDPOINT
from holdgw.router.log import make_logger
from holdgw.router.platform import Platform
from holdgw.router.process import run_until_exit
from holdgw.router.program import Program

ACCOUNT_S = 0.05
WORKERS_APART = 1009  # so that no two workers of any two routers draw the same
PER_SERVER_LEAST = 2  # connections to one server: less, and one that is slow to close keeps a node unreached

log = logging.getLogger("holdgw")


@dataclass(frozen=True, slots=True)
class WorkerSlot:
    """Where a worker stands among those of its router, and the descriptors that it came with."""

    place: int
    workers: int
    link: int
    board: int

    @classmethod
    def read(cls, environ: Mapping[str, str]) -> WorkerSlot:
        """Read what the supervisor told; raises ConfigError."""
        try:
            told = [int(environ[name]) for name in (PLACE, WORKERS, LINK, BOARD)]
        except (KeyError, ValueError) as error:
            raise ConfigError(f"a worker is started by its supervisor alone: {error}") from None
        return cls(*told)


def share_of(config: Config, place: WorkerSlot) -> Config:
    """A worker's part of its router's configuration; the supervisor counts as one more."""
    shares = place.workers + 1
    settings = replace(
        config.settings, workers=place.workers, worker_index=place.place, subscription_required=False
    )
    return replace(
        config,
        settings=settings,
        seed=config.seed * WORKERS_APART + place.place,
        max_open=max(config.max_open // place.workers, 1),
        memory=config.memory // shares,
        sockets=config.sockets // shares,
        ops=None,
        passed=None,
        peers=None,
        known=None,
    )


class Worker(Program):
    """A router's parts, led by a supervisor."""

    def __init__(
        self, config: Config, place: WorkerSlot, machine: WorkerHostSystem, platform: Platform | None = None
    ) -> None:
        super().__init__(share_of(config, place), platform)
        self.pool.max_per_endpoint = max(MAX_CONNECTIONS_PER_ENDPOINT // place.workers, PER_SERVER_LEAST)
        self._machine = machine
        self._board = machine.board(place.workers, place.place)
        self.clients.duplicate = machine.copy
        self._joiner = UpdateAssembler()
        self._dealt = self._shares = self._seen = 0
        self._serving_is_due = True  # the supervisor is to hear that there is a list
        self._handing = False  # connections go back to the supervisor
        self._account_timer: asyncio.TimerHandle | None = None
        # Danger: until it is told its share it would use one that others still have.
        tenants = (*(tenant.name for tenant in config.settings.tenants), "")
        self.host.dispatch(LimitSharesChanged(dict.fromkeys(tenants, EPSILON)))
        self.host.shared = self
        self.link: ProcessLink[ToWorker] = machine.link(decode_to_worker, self._word, self._link_lost)

    # What the host asks

    def claim(self, request_id: bytes) -> bool:
        """Have the id for a request of this worker; returns whether no worker had it lately."""
        return self._board.claim(request_id)

    def catch_up(self) -> None:
        """Take the news of the list that is on its way to this worker."""
        if self._board.revision != self._seen:
            self._seen = self._board.revision
            if self.link.open:
                self.link.read()

    # What the supervisor says

    def _word(self, _: ProcessLink[ToWorker], word: ToWorker, descriptor: int | None) -> None:
        match word:
            case NewClient() | ClientHandover() if descriptor is not None:
                # Danger: what is read of a connection before the supervisor knows that it is here would be
                # lost with this process, and the supervisor's copy be dealt to another from its middle.
                self._dealt += 1
                self.link.send(ClientsAccepted(self._dealt))
                self._adopt(word if isinstance(word, ClientHandover) else None, descriptor, word.since)
                descriptor = None
            case EndpointUpdatePart():
                listing = self._joiner.take(word)
                if listing is not None:
                    self._take(listing)
                    if self._serving_is_due:
                        self._serving_is_due = False
                        self.link.send(Serving())
            case LimitShares():
                self.host.dispatch(LimitSharesChanged(word.shares))
                self._shares = word.number
                self._tell_account()
            case HandoverPart():
                self._learn(word.learnt)
            case HandOver():
                for part in split_handover(self.host.handover_state()):
                    self.link.send(HandoverPart(part))
                self._handing = True
                self._terminated.set()
        if descriptor is not None:
            self._machine.drop(descriptor)

    def _link_lost(self, _: ProcessLink[ToWorker]) -> None:
        # Danger: without a supervisor nobody would tell this worker of drains, or end it.
        if not self._terminated.is_set():
            log.error("worker: the supervisor is gone; draining")
        self._terminated.set()

    def _tell_account(self) -> None:
        host = self.host
        self.link.send(
            WorkerReport(
                self.clients.connection_count,
                self._shares,
                host.origin_demand(),
                host.metrics.counts(),
                host.metrics.forwards,
                host.outstanding,
                host.ejected(),
            )
        )

    def _account_often(self) -> None:
        self._account_timer = self.loop.call_later(ACCOUNT_S, self._account_often)
        self._tell_account()

    # A router's life, where it differs

    def _take_client(
        self, told: ClientHandover | None, descriptor: int, late: int
    ) -> Coroutine[Any, Any, None]:
        return self._machine.adopt(self.clients, told, descriptor, late)

    def _reload(self) -> None:
        """Discovery is the supervisor's to move; there is nothing else that a reload takes over."""
        self.host.metrics.reloads_applied += 1

    async def _open(self, listening: asyncio.Future[Any] | None) -> None:
        self.link.read()
        self._account_often()

    @property
    def _successor(self) -> ProcessLink[Any] | None:
        return self.link if self._handing and self.link.open else None

    async def run(self, listening: asyncio.Future[Any] | None = None) -> None:
        """Serve until told to end."""
        try:
            await super().run(listening)
        finally:
            if self._account_timer is not None:
                self._account_timer.cancel()
            if self.link.open:
                self._tell_account()
            self.link.close()
            self._board.close()


def main() -> int:
    """Run one worker; returns the exit code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        place = WorkerSlot.read(os.environ)
        config = load_config(os.environ)
        if os.environ.get("PYTHONHASHSEED", "random") in ("", "random", "0"):
            raise ConfigError("workers need one PYTHONHASHSEED")
    except ConfigError as error:
        print(f"holdgw: {error}", file=sys.stderr)
        return 2
    make_logger(f"{config.name}.{place.place}")

    async def work() -> None:
        await Worker(config, place, LinuxWorkerHostSystem(place.link, place.board)).run()

    return run_until_exit(work)


if __name__ == "__main__":
    sys.exit(main())
