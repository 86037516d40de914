"""One router process: creates its components and runs them from startup to graceful shutdown."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
from collections.abc import Coroutine
from dataclasses import replace
from pathlib import Path
from typing import Any

from holdgw.operation.admin_endpoint import AdminEndpoint
from holdgw.operation.endpoint_overrides import EndpointOverrides
from holdgw.operation.endpoint_update import EndpointUpdate
from holdgw.operation.interval_counters import IntervalCounters
from holdgw.operation.process_link import ClientHandover, ProcessLink
from holdgw.operation.shared_ids import SharedIds
from holdgw.operation.takeover import OverrideChanged, Takeover
from holdgw.peers.gossip import PeerNode
from holdgw.peers.load_view import LoadSnapshot, Observations, SampledResponseTime
from holdgw.policy import NS_PER_S, EndpointsChanged, HandoverState, LoadSnapshotChanged, UpdateKind
from holdgw.router.client_listener import ClientListener
from holdgw.router.config import Config
from holdgw.router.connection_pool import ConnectionPool
from holdgw.router.descriptor_limits import descriptor_limits
from holdgw.router.discovery import Discovery
from holdgw.router.dispatcher import Dispatcher
from holdgw.router.endpoint_list import Clock, read_endpoint_list
from holdgw.router.graceful_shutdown import GracefulShutdown
from holdgw.router.log import log_callback_errors
from holdgw.router.peer_metrics import peer_metrics
from holdgw.router.platform import Platform, passed_listener
from holdgw.router.reload import reload_config
from holdgw.wire.address import Address

COUNTERS_VARIABLE = "HOLDGW_TALLY"
COUNTERS_INTERVAL_S = 1.0
KNOWN_ENDPOINTS_WAIT_S = 1.0
"""Time to wait for discovery's first list; after it the router serves by the one in the configuration."""
BUFFERED_VALUE_MEMORY_DIVISOR = 8
"""The memory limit divided by this is the most that long values take which can't be streamed."""
REQUEST_MEMORY_DIVISOR = 8
"""The memory limit divided by this is the most that clients' requests take."""
UNSENT_MEMORY_DIVISOR = 8
"""The memory limit divided by this is the most that answers take which clients have not read."""
WAITING_MEMORY_DIVISOR = 2
"""The memory limit divided by this, less BASE_MEMORY_BYTES, is for answers that can't be written yet."""
BASE_MEMORY_BYTES = 48 << 20
"""What a process takes that serves no request."""
MIN_WAITING_MEMORY_DIVISOR = 16
"""The memory limit divided by this is the least for answers that can't be written yet."""

log = logging.getLogger("holdgw")


def max_waiting_bytes(memory_bytes: int) -> int:
    """The limit for answers that can't be written yet: with the other limits it fits in the memory limit."""
    spare_bytes = memory_bytes // WAITING_MEMORY_DIVISOR - BASE_MEMORY_BYTES
    return max(spare_bytes, memory_bytes // MIN_WAITING_MEMORY_DIVISOR)


class Program:
    """A router's components; `run` starts them, serves until shutdown, and closes them."""

    def __init__(self, config: Config, platform: Platform | None = None) -> None:
        self.config = config
        self.platform = platform or Platform()
        self.loop = asyncio.get_running_loop()
        self._states_to_restore: list[HandoverState] = []  # kept until there is an endpoint list
        self._adoptions: dict[asyncio.Task[None], None] = {}
        self._shutdown_requested = asyncio.Event()
        self._shutting_down = False
        self._ready_timer: asyncio.TimerHandle | None = None
        self._counters_timer: asyncio.TimerHandle | None = None
        self._create_request_path()
        self.clock = Clock(self.platform.monotonic_ns, self.platform.unix_ns)
        self.discovery = Discovery(
            config.discovery_address,
            config.settings.subscription_required,
            self.clock,
            self._apply_discovery_update,
            self.dispatcher.discovery_failed,
        )
        self.dispatcher.subscribe = self.discovery.subscribe
        self.overrides = EndpointOverrides(config.settings.origin_kind)
        self.admin_endpoint = AdminEndpoint(self.loop, self)
        self.takeover = Takeover(self.loop, self)
        self.shared_ids = SharedIds()
        self.peers = self._create_peers()
        """This router as a member among its peers; None if it has no peers."""
        if self.platform.environ.get(COUNTERS_VARIABLE):
            self.dispatcher.interval_counters = IntervalCounters()
            self._log_counters()

    def _create_request_path(self) -> None:
        config = self.config
        limits = descriptor_limits(config.max_descriptors)
        self.pool = ConnectionPool(
            self.loop,
            limits.endpoints,
            config.dial_timeout_ns / NS_PER_S,
            config.idle_timeout_ns / NS_PER_S,
            config.memory_bytes // BUFFERED_VALUE_MEMORY_DIVISOR,
            config.hedging_allowed,
            self.platform.monotonic_ns,
            self.platform.has_pending_input,
        )
        self.dispatcher = Dispatcher(
            self.loop,
            config.settings,
            config.seed,
            self.pool,
            config.max_open_requests,
            self.platform.monotonic_ns,
            config.memory_bytes // REQUEST_MEMORY_DIVISOR,
            self.platform.cpu_s,
        )
        self.clients = ClientListener(
            self.loop,
            self.dispatcher,
            limits.clients,
            self.platform,
            config.memory_bytes // UNSENT_MEMORY_DIVISOR,
            max_waiting_bytes(config.memory_bytes),
        )

    def _create_peers(self) -> PeerNode | None:
        config = self.config
        if config.peers is None:
            return None
        tenants = (tenant.name for tenant in config.settings.tenants)
        return PeerNode(self.loop, config.peers, config.seed, self.platform.monotonic_ns, self, tenants)

    # Lifecycle

    async def run(self, listening: asyncio.Future[Address] | None = None) -> None:
        """Serve until SIGTERM, and then until all requests are answered.

        `listening` is set to the address at which clients connect. Raises OSError where it can't be bound.
        """
        await self._start(listening)
        await self._shutdown_requested.wait()
        self._shutting_down = True
        if self.peers is not None and self.handover_link() is None:
            self.peers.leave()
        await GracefulShutdown(self.loop, self.clients, self, self.config.max_deadline_s).run()
        self._close_components()
        await asyncio.sleep(0)  # lets the transports close

    async def _start(self, listening: asyncio.Future[Address] | None) -> None:
        config = self.config
        log_callback_errors(self.loop)
        self.loop.add_signal_handler(signal.SIGTERM, self._shutdown_requested.set)
        directory = self.platform.environ.get("TMPDIR")
        if config.passed_descriptor is not None and directory:
            await self.takeover.begin(Path(directory))
        if config.known_endpoints is not None:
            cached = read_endpoint_list(config.known_endpoints, self.clock, UpdateKind.CACHED)
            self.discovery.resume_from(cached.generation)
            self._dispatch_update(self.overrides.apply(cached))
        self.loop.add_signal_handler(signal.SIGHUP, self._reload)
        if config.admin_address is not None:
            await self.admin_endpoint.listen(config.admin_address)
        await self._start_serving(listening)
        if self.peers is not None:
            self.peers.start()
        if config.known_endpoints is not None:
            self._ready_timer = self.loop.call_later(KNOWN_ENDPOINTS_WAIT_S, self._become_ready)

    async def _start_serving(self, listening: asyncio.Future[Address] | None) -> None:
        """Start to accept clients and to watch discovery."""
        listener = passed_listener(self.config.passed_descriptor)
        address = await self.clients.listen(self.config.listen_address, listener)
        if listening is not None:
            listening.set_result(address)
        if not self.config.settings.subscription_required:
            self.discovery.start()
        elif self.config.known_endpoints is None:
            # The routing policy subscribes after a cached list; without one it is told of an empty one.
            self.dispatcher.dispatch(EndpointsChanged(UpdateKind.CACHED))

    def _close_components(self) -> None:
        for timer in (self._ready_timer, self._counters_timer):
            if timer is not None:
                timer.cancel()
        if self.peers is not None:
            self.peers.close()
        self.takeover.close()
        self.shared_ids.close()
        self.admin_endpoint.close()
        self.clients.close()
        self.dispatcher.close()
        self.discovery.close()
        self.pool.close()

    def _reload(self) -> None:
        """Read the configuration again and apply discovery's address; all else needs a restart."""
        new_config = reload_config(self.platform, self.dispatcher.metrics)
        if new_config is None:
            return
        self.discovery.change_address(new_config.discovery_address)
        config = self.config
        comparable = replace(
            new_config,
            discovery_address=config.discovery_address,
            known_endpoints=config.known_endpoints,
            seed=config.seed,
            passed_descriptor=config.passed_descriptor,
        )
        if comparable != config:
            log.warning("reload: only the address of discovery is applied, other changes need a restart")

    # Metrics

    def _log_counters(self) -> None:
        counters = self.dispatcher.interval_counters
        assert counters is not None
        self._counters_timer = self.loop.call_later(COUNTERS_INTERVAL_S, self._log_counters)
        states = {
            **self.dispatcher.count_running_totals(counters),
            "clients": self.clients.connection_count,
            "ready": self.dispatcher.ready,
        }
        counters.add_growth("cpu", self.platform.cpu_s())
        log.info("%s", counters.log_line(self.platform.unix_ns() / NS_PER_S, states))

    def tables(self) -> dict[str, int]:
        """The number of entries in each of the router's tables, for tests that check for leaks."""
        return {
            "adopting": self.adopting_count(),
            "clients": self.clients.connection_count,
            "callers": self.admin_endpoint.connection_count,
            **self.dispatcher.tables(),
            **self.pool.tables(),
        }

    # The endpoint list

    def _apply_discovery_update(self, update: EndpointUpdate) -> None:
        self._dispatch_update(self.overrides.apply(update))
        self._become_ready()

    def _dispatch_update(self, update: EndpointUpdate | None) -> None:
        if update is not None:
            self.dispatcher.apply_endpoint_update(update)
            if self.peers is not None:
                self.peers.load_view.set_servers(self.pool.endpoints())

    def _become_ready(self) -> None:
        """Restore the states that waited for an endpoint list, and notify the old process."""
        if self.dispatcher.ready:
            return
        self.dispatcher.ready = True
        states = self._states_to_restore
        self._states_to_restore = []
        for state in states:
            self.dispatcher.restore(state)
        self.takeover.announce_ready()

    # The owner's side of PeerNode (peers.gossip.PeerOwner)

    def take_observations(self) -> Observations:
        """The routing policy's observations since the last call."""
        response_times, slot_requests = self.dispatcher.take_observations()
        sampled = {
            endpoint_id: SampledResponseTime(response_time_ns, reported_ns)
            for endpoint_id, (response_time_ns, reported_ns) in response_times.items()
        }
        return Observations(sampled, slot_requests)

    def demands(self) -> dict[str, float]:
        """Each tenant's demand for the origin in calls per second."""
        return self.dispatcher.origin_demand()

    def apply_load_snapshot(self, snapshot: LoadSnapshot) -> None:
        """Pass a snapshot of the load view to the routing policy."""
        slot_shares = dict(snapshot.slot_shares)
        self.dispatcher.dispatch(
            LoadSnapshotChanged(
                snapshot.response_times, slot_shares, snapshot.requests, snapshot.own_requests
            )
        )

    # The calls of the admin endpoint (operation.admin_endpoint.AdminOperations)

    def can_serve(self) -> bool:
        """Whether this process can serve clients now."""
        return self.dispatcher.ready and not self._shutting_down

    def metrics_text(self) -> bytes:
        """The metrics in their exposition format."""
        dispatcher = self.dispatcher
        return dispatcher.metrics.text(
            dispatcher.outstanding,
            self.overrides.discovered_count,
            self.overrides.excluded_count(dispatcher.ejected()),
            peer_metrics(self.peers) if self.peers is not None else None,
            dispatcher.rebalancing_metrics() if self.peers is not None else None,
        )

    def enter_maintenance(self, endpoint_id: str) -> None:
        """Set an administrative override in all processes of this router.

        Raises UnknownEndpointError.
        """
        now_ns = self.platform.monotonic_ns()
        self._dispatch_update(self.overrides.enter_maintenance(endpoint_id, now_ns))
        self.takeover.broadcast(OverrideChanged(endpoint_id, True, now_ns))

    def exit_maintenance(self, endpoint_id: str) -> None:
        """Clear an administrative override in all processes of this router.

        Raises UnknownEndpointError.
        """
        now_ns = self.platform.monotonic_ns()
        self._dispatch_update(self.overrides.exit_maintenance(endpoint_id, now_ns))
        self.takeover.broadcast(OverrideChanged(endpoint_id, False, now_ns))

    # The owner's side of Takeover (operation.takeover.TakeoverOwner)

    def overridden_endpoints(self) -> dict[str, int]:
        """The administrative overrides: by endpoint id, the monotonic time in ns at which each was set."""
        return self.overrides.overridden

    def handover_state(self) -> HandoverState:
        """The routing policy's state, for another process of this router to restore."""
        return self.dispatcher.handover_state()

    def apply_override(self, change: OverrideChanged) -> None:
        """Apply an override that was set or cleared in another process of this router."""
        if change.overridden:
            self._dispatch_update(self.overrides.restore_override(change.endpoint_id, change.at_ns))
        elif change.endpoint_id in self.overrides.overridden:
            self._dispatch_update(self.overrides.exit_maintenance(change.endpoint_id, change.at_ns))

    def restore_state(self, state: HandoverState) -> None:
        """Restore a part of another process's handover state, once there is an endpoint list."""
        if self.dispatcher.ready:
            self.dispatcher.restore(state)
        else:
            self._states_to_restore.append(state)

    def share_ids(self) -> int | None:
        """A descriptor of the memory with this process's request ids; None where it can't be created."""
        open_requests = self.dispatcher.open_requests
        try:
            descriptor = self.shared_ids.share((*open_requests.recent_ids, *open_requests.by_id))
        except OSError as error:
            log.warning("takeover: request ids are not shared error=%s", error)
            return None
        self.dispatcher.shared_ids = self.shared_ids
        return descriptor

    def add_shared_ids(self, descriptor: int) -> None:
        """Look for request ids in the memory of another process too, and close its descriptor."""
        try:
            self.shared_ids.add_other(descriptor)
        except (OSError, ValueError) as error:
            log.warning("takeover: another process's request ids are not read error=%s", error)
        finally:
            os.close(descriptor)

    def links_changed(self) -> None:
        """Divide the descriptors again after another process of this router connected or ended."""
        limits = descriptor_limits(self.config.max_descriptors, 2 if self.takeover.linked else 1)
        self.clients.set_limit(limits.clients)
        self.pool.set_limit(limits.endpoints)

    def handover_link(self) -> ProcessLink[Any] | None:
        """The link to the new process that takes over clients' connections, if there is one."""
        return self.takeover.new_process

    # The owner's side of GracefulShutdown (router.graceful_shutdown.ShutdownOwner)

    def sigterm_wait_s(self) -> float:
        """How long SIGTERM may have waited for this process, in seconds."""
        return (self.platform.monotonic_ns() - self.dispatcher.unread_since()) / NS_PER_S

    def reject_unanswerable(self, answer_within_s: float) -> None:
        """From now on reject requests whose deadline is more than `answer_within_s` seconds from now."""
        self.dispatcher.latest_deadline_ns = self.platform.monotonic_ns() + int(answer_within_s * NS_PER_S)

    def answer_open_requests(self) -> None:
        """Give every unanswered request its final answer now."""
        self.dispatcher.answer_open_requests()

    # Clients' connections that this process did not accept itself

    def adopt_client(
        self, handover: ClientHandover | None, descriptor: int, unread_since_ns: int = 0
    ) -> None:
        """Serve a client's connection taken over from another process or from the accept queue.

        `unread_since_ns`: without a `handover`, the earliest time at which its unread bytes may have arrived,
        monotonic ns; 0 if they have not waited.
        """
        if handover is not None:
            unread_since_ns = handover.unread_since_ns
        wait_ns = max(self.platform.monotonic_ns() - unread_since_ns, 0) if unread_since_ns else 0
        task = self.loop.create_task(self._connect_client(handover, descriptor, wait_ns))
        self._adoptions[task] = None
        task.add_done_callback(self._adoption_ended)

    def adopting_count(self) -> int:
        """The number of connections that `adopt_client` was called for and that are not served yet."""
        return len(self._adoptions)

    def _connect_client(
        self, handover: ClientHandover | None, descriptor: int, wait_ns: int
    ) -> Coroutine[Any, Any, None]:
        return self.clients.adopt(handover, descriptor, wait_ns)

    def _adoption_ended(self, task: asyncio.Task[None]) -> None:
        del self._adoptions[task]
        if not task.cancelled() and (error := task.exception()) is not None:
            log.error("takeover: connection lost error=%s", error)


async def serve(
    config: Config, listening: asyncio.Future[Address] | None = None, platform: Platform | None = None
) -> None:
    """Run a router until SIGTERM, and then until all requests are answered."""
    await Program(config, platform).run(listening)
