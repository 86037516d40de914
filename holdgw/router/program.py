"""One router from its start to its end: what it is made of, its reload, and its drain on SIGTERM."""

from __future__ import annotations

import asyncio
import logging
import signal
import socket
from collections.abc import Coroutine
from dataclasses import replace
from pathlib import Path
from typing import Any

from holdgw.operation.admin_endpoint import AdminEndpoint
from holdgw.operation.endpoint_overrides import EndpointOverrides
from holdgw.operation.endpoint_update import EndpointUpdate
from holdgw.operation.interval_counters import IntervalCounters
from holdgw.operation.metrics import Metrics, PeerMetrics
from holdgw.operation.process_link import ClientHandover, ProcessLink
from holdgw.operation.takeover import OverrideChanged, Takeover
from holdgw.peers.gossip import PeerNode
from holdgw.peers.load_view import LoadSnapshot, Observations, SampledWait
from holdgw.policy import NS_PER_S, HandoverState, LoadSnapshotChanged, UpdateKind
from holdgw.router.client_listener import MAX_REJECTING_CONNECTIONS, ClientListener
from holdgw.router.config import Config, ConfigError, load_config
from holdgw.router.connection_pool import ConnectionPool
from holdgw.router.discovery import Clock, Discovery, read_listing
from holdgw.router.dispatcher import Dispatcher
from holdgw.router.log import log_faults
from holdgw.router.platform import Platform
from holdgw.wire.address import Address

COUNTERS_VARIABLE, COUNTERS_INTERVAL_S = "HOLDGW_TALLY", 1.0  # set: what each second brought is logged
READY_S = 1.0  # the wait for discovery's first list, after which the known one must do
ACCEPT_S = 0.5  # from SIGTERM on: new connections go on coming for up to 0.4 s
MIDWAY_S = 0.65  # then commands that are not whole are no longer waited for
KILL_SLACK_S = 0.65  # beyond the longest deadline; SIGKILL comes no sooner than 0.7 s
DRAIN_STEP_S = 0.01
OWN_DESCRIPTORS = 32  # standard streams, the listeners, the event loop, discovery, callers at the door
LONG_VALUES_PART = 8  # of memory, for long values that can't be passed on as they come
UNTAKEN_PART = 8  # of memory, for answers that clients have not taken
CLIENT_SHARE = 0.5  # of the other descriptors: clients' requests hold a third of all at most

log = logging.getLogger("holdgw")


class Program:
    """A router's parts; `run` is its whole life."""

    def __init__(self, config: Config, platform: Platform | None = None) -> None:
        self.config, self.platform = config, platform or Platform()
        self.loop = loop = asyncio.get_running_loop()
        for_clients, for_servers = self._descriptors(1)
        now = self.platform.monotonic_ns
        self.pool = ConnectionPool(
            loop,
            for_servers,
            config.dial_timeout / NS_PER_S,
            config.idle_close / NS_PER_S,
            config.memory // LONG_VALUES_PART,
            config.copies,
        )
        self.host = Dispatcher(loop, config.settings, config.seed, self.pool, config.max_open, now)
        self.clients = ClientListener(
            loop, self.host, for_clients, self.platform.has_left, config.memory // UNTAKEN_PART
        )
        self.clock = Clock(now, self.platform.unix_ns)
        asked = config.settings.subscription_required
        self.discovery = Discovery(
            config.discovery, asked, self.clock, self._take, self.host.discovery_failed
        )
        self.host.subscribe = self.discovery.subscribe
        self.roster = EndpointOverrides(config.settings.origin_kind)
        self.door = AdminEndpoint(loop, self)
        self._learnt: list[HandoverState] = []  # by the elder, for as long as there is no list of servers
        self.takeover = Takeover(loop, self)
        self.peers: PeerNode | None = None
        """This router among its peers, where it has any."""
        if config.peers is not None:
            tenants = (tenant.name for tenant in config.settings.tenants)
            self.peers = PeerNode(loop, config.peers, config.seed, now, self, tenants)
        self._adopting: dict[asyncio.Task[None], None] = {}
        self._leaving = False
        self._terminated = asyncio.Event()
        self._tally_timer: asyncio.TimerHandle | None = None
        if self.platform.environ.get(COUNTERS_VARIABLE):
            self.host.interval_counters = IntervalCounters()
            self._tally()

    async def _open(self, listening: asyncio.Future[Address] | None) -> None:
        """Let clients in, and follow discovery."""
        address = await self.clients.listen(self.config.listen, passed_socket(self.config.passed))
        if listening is not None:
            listening.set_result(address)
        if not self.config.settings.subscription_required:
            self.discovery.start()

    def _descriptors(self, processes: int) -> tuple[int, int]:
        """What clients and servers may hold, where so many processes share the router's descriptors."""
        # Danger: those who are told that there is no room hold descriptors too. Were they not counted, a
        # flood of them would leave none for the call to discovery, or for dials, when these are needed most.
        descriptors = max(self.config.sockets // processes - OWN_DESCRIPTORS - MAX_REJECTING_CONNECTIONS, 8)
        for_clients = int(descriptors * CLIENT_SHARE)
        return for_clients, descriptors - for_clients

    def links_changed(self) -> None:
        """Divide the descriptors anew: another process of this router has come or gone."""
        for_clients, for_servers = self._descriptors(2 if self.takeover.linked else 1)
        self.clients.set_limit(for_clients)
        self.pool.set_limit(for_servers)

    def _take(self, listing: EndpointUpdate) -> None:
        self._show(self.roster.apply(listing))
        self._make_do()

    def _make_do(self) -> None:
        if not self.host.ready:
            self.host.ready = True
            learnt, self._learnt = self._learnt, []
            for part in learnt:
                self.host.restore(part)
            self.takeover.announce_ready()

    async def run(self, listening: asyncio.Future[Address] | None = None) -> None:
        """Serve until SIGTERM, and then until all that was taken is answered; tells where it listens."""
        config, loop = self.config, self.loop
        log_faults(loop)
        loop.add_signal_handler(signal.SIGTERM, self._terminated.set)
        if config.passed is not None and (folder := self.platform.environ.get("TMPDIR")):
            await self.takeover.begin(Path(folder))
        if config.known is not None:
            known = read_listing(config.known, self.clock, UpdateKind.CACHED)
            self.discovery.resume_from(known.generation)
            self._show(self.roster.apply(known))
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        if config.ops is not None:
            await self.door.listen(config.ops)
        await self._open(listening)
        if self.peers is not None:
            self.peers.start()
        make_do = loop.call_later(READY_S, self._make_do) if config.known is not None else None
        await self._terminated.wait()
        self._leaving = True
        if self.peers is not None and self._successor is None:
            self.peers.leave()
        await self._drain()
        if make_do is not None:
            make_do.cancel()
        if self._tally_timer is not None:
            self._tally_timer.cancel()
        if self.peers is not None:
            self.peers.close()
        self.takeover.close()
        self.door.close()
        self.clients.close()
        self.host.close()
        self.discovery.close()
        self.pool.close()
        await asyncio.sleep(0)  # lets the transports close

    def _tally(self) -> None:
        tally = self.host.interval_counters
        assert tally is not None
        self._tally_timer = self.loop.call_later(COUNTERS_INTERVAL_S, self._tally)
        states = {
            **self.host.count_running_totals(tally),
            "clients": self.clients.connection_count,
            "ready": self.host.ready,
        }
        tally.add_growth("cpu", self.platform.cpu_s())
        log.info("%s", tally.log_line(self.platform.unix_ns() / NS_PER_S, states))

    def tables(self) -> dict[str, int]:
        """How much each of the router's tables holds now, for tests of what is left behind."""
        own = {
            "adopting": len(self._adopting),
            "clients": self.clients.connection_count,
            "callers": self.door.connection_count,
        }
        return {**own, **self.host.tables(), **self.pool.tables()}

    # The owner's side of PeerNode

    def take_observations(self) -> Observations:
        """What the module observed since the last call."""
        waits, slot_requests = self.host.take_observations()
        return Observations(
            {server: SampledWait(wait, at) for server, (wait, at) in waits.items()}, slot_requests
        )

    def demands(self) -> dict[str, float]:
        """Each tenant's calls for the origin a second."""
        return self.host.origin_demand()

    def apply_load_snapshot(self, snapshot: LoadSnapshot) -> None:
        """Pass a snapshot of the load view on to the module."""
        shares = dict(snapshot.slot_shares)
        self.host.dispatch(
            LoadSnapshotChanged(snapshot.waits, shares, snapshot.requests, snapshot.own_requests)
        )

    # What operators call for at the door

    def can_serve(self) -> bool:
        """Whether this process can serve clients now."""
        return self.host.ready and not self._leaving

    def metrics_text(self) -> bytes:
        """The figures as text."""
        host, roster, peers = self.host, self.roster, self.peers
        return host.metrics.text(
            host.outstanding,
            roster.discovered_count,
            roster.excluded_count(host.ejected()),
            peer_metrics(peers) if peers is not None else None,
            host.rebalancing_metrics() if peers is not None else None,
        )

    def enter_maintenance(self, server_id: str) -> None:
        """Take a cache server out by hand; raises UnknownServerError."""
        now = self.platform.monotonic_ns()
        self._show(self.roster.enter_maintenance(server_id, now))
        self.takeover.broadcast(OverrideChanged(server_id, True, now))

    def exit_maintenance(self, server_id: str) -> None:
        """Use a cache server again; raises UnknownServerError."""
        now = self.platform.monotonic_ns()
        self._show(self.roster.exit_maintenance(server_id, now))
        self.takeover.broadcast(OverrideChanged(server_id, False, now))

    def _show(self, news: EndpointUpdate | None) -> None:
        if news is not None:
            self.host.apply_endpoint_update(news)
            if self.peers is not None:
                self.peers.load_view.set_servers(self.pool.endpoints())

    # The owner's side of Takeover

    def overridden_endpoints(self) -> dict[str, int]:
        """The administrative overrides, by endpoint id: since when, monotonic ns."""
        return self.roster.overridden

    def handover_state(self) -> HandoverState:
        """What the policy passes to another process."""
        return self.host.handover_state()

    def apply_override(self, change: OverrideChanged) -> None:
        """Apply an override that was set or cleared at another process of this router."""
        if change.overridden:
            self._show(self.roster.restore_override(change.endpoint_id, change.at_ns))
        elif change.endpoint_id in self.roster.overridden:
            self._show(self.roster.exit_maintenance(change.endpoint_id, change.at_ns))

    def restore_state(self, state: HandoverState) -> None:
        """Restore a part of another process's state, once there is an endpoint list."""
        if self.host.ready:
            self.host.restore(state)
        else:
            self._learnt.append(state)

    def adopt_client(self, told: ClientHandover | None, descriptor: int, since: int = 0) -> None:
        """Take over a client's connection; `since`: where it was not handed over, as `unread_since_ns`."""
        since = told.unread_since_ns if told is not None else since
        late = max(self.platform.monotonic_ns() - since, 0) if since else 0
        task = self.loop.create_task(self._take_client(told, descriptor, late))
        self._adopting[task] = None
        task.add_done_callback(self._adopted)

    def _take_client(
        self, told: ClientHandover | None, descriptor: int, late: int
    ) -> Coroutine[Any, Any, None]:
        return self.clients.adopt(told, descriptor, late)

    def _adopted(self, task: asyncio.Task[None]) -> None:
        del self._adopting[task]
        if not task.cancelled() and (error := task.exception()) is not None:
            log.error("takeover: a connection is lost: %s", error)

    def _reload(self) -> None:
        """Read the configuration again, while all goes on; what can't be read changes nothing."""
        new = reload_config(self.platform, self.host.metrics)
        if new is None:
            return
        self.discovery.change_address(new.discovery)
        config = self.config
        kept = replace(
            new, discovery=config.discovery, known=config.known, seed=config.seed, passed=config.passed
        )
        if kept != config:
            log.warning("reload: only the address of discovery is taken over; the rest waits for a restart")

    @property
    def _successor(self) -> ProcessLink[Any] | None:
        """Where clients' connections go when this process ends."""
        return self.takeover.new_process

    async def _drain(self) -> None:
        """Answer all that is taken, close clients' connections between requests, be done before the kill."""
        loop, clients = self.loop, self.clients
        begun = loop.time()
        if self._successor is not None:
            await self._hand_over(begun)
            return
        # Danger: clients are sent here for a while yet, and what they send to a closed door is lost.
        await asyncio.sleep(ACCEPT_S)
        queued = clients.accept_queued()
        clients.stop_accepting()
        for descriptor in queued:
            self.adopt_client(None, descriptor)
        while clients.connection_count and loop.time() < begun + self.config.longest_s + KILL_SLACK_S:
            clients.close_gracefully(even_mid_command=loop.time() >= begun + MIDWAY_S)
            await asyncio.sleep(DRAIN_STEP_S)

    async def _hand_over(self, begun: float) -> None:
        """Give every client's connection to the successor, each once nothing taken on it is unanswered."""
        loop, clients = self.loop, self.clients
        clients.stop_accepting()  # the successor accepts on the same socket
        due = begun + self.config.longest_s + KILL_SLACK_S
        given = 0
        while clients.connection_count and loop.time() < due:
            link = self._successor
            if link is None:
                clients.close_gracefully(even_mid_command=loop.time() >= begun + MIDWAY_S)
            else:
                given += clients.hand_over(link.send, stop_reading=loop.time() >= begun + MIDWAY_S)
            await asyncio.sleep(DRAIN_STEP_S)
        while (link := self._successor) is not None and not link.sent and loop.time() < due:
            await asyncio.sleep(DRAIN_STEP_S)
        log.info("takeover: %d connections handed over, %d left", given, clients.connection_count)


def peer_metrics(peers: PeerNode) -> PeerMetrics:
    """What the metrics say of a router as a member among its peers."""
    return PeerMetrics(
        members=peers.state_counts(),
        load_view=peers.view_counts(),
        dropped=peers.drop_counts(),
        aggregation=peers.aggregation_counts(),
        payload_bytes={"sent": peers.bytes_sent, "received": peers.bytes_received},
    )


def reload_config(platform: Platform, figures: Metrics) -> Config | None:
    """Read the configuration for a reload; None, logged and counted, where it can't be read."""
    try:
        new = load_config(platform.environ, again=True, read=platform.read)
    except ConfigError as error:
        figures.reloads_rejected += 1
        log.error("reload: %s; the old configuration stays", error)
        return None
    figures.reloads_applied += 1
    log.info("reload: discovery at %s:%d", *new.discovery)
    return new


def passed_socket(descriptor: int | None) -> socket.socket | None:
    """The listening socket that the platform holds, if it does; raises OSError where it is none."""
    if descriptor is None:
        return None
    passed = socket.socket(fileno=descriptor)
    if not passed.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        raise OSError(f"LB_PASSED_SOCKET: descriptor {descriptor} listens to nobody")
    return passed


async def serve(
    config: Config, listening: asyncio.Future[Address] | None = None, platform: Platform | None = None
) -> None:
    """Run a router until SIGTERM, and then until all that was taken is answered."""
    await Program(config, platform).run(listening)
