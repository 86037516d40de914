"""A router's connection to its peers: one UDP socket, a tick every 100 ms, and a bound on the bytes sent.

The socket carries membership messages and load reports. Membership, load view and aggregation are pure; this
module gives them the time and the datagrams received, and sends what they return.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Protocol

from holdgw.peers import datagram, load_report
from holdgw.peers.aggregated_exchange import AggregatedExchange, ExchangeConfig, Role
from holdgw.peers.aggregation_client import (
    APPLY_AFTER_S,
    REPORT_INTERVAL_S,
    RETRY_AFTER_S,
    FallbackChange,
)
from holdgw.peers.aggregator import BYTES_PER_MEMBER, OutgoingDatagram
from holdgw.peers.datagram import DecodeError, DropReason, MemberState
from holdgw.peers.dissemination import OutgoingMessage
from holdgw.peers.load_view import LoadSnapshot, LoadView, Observations
from holdgw.peers.membership import Membership
from holdgw.peers.timing import NS_PER_S
from holdgw.peers.token_bucket import TokenBucket
from holdgw.peers.update_budget import UPDATE_BYTES_PER_S

Address = tuple[str, int]
TICK_S = 0.1
REPORT_TICKS = 3  # between two load reports, where routers gossip them
FANOUT = 4  # peers that each load report is sent to
AGGREGATED_REPORT_TICKS = round(REPORT_INTERVAL_S / TICK_S)
APPLY_TICKS = round(APPLY_AFTER_S / TICK_S)
RETRY_TICKS = round(RETRY_AFTER_S / TICK_S)
OBSERVE_TICKS = range(0, AGGREGATED_REPORT_TICKS - REPORT_TICKS + 1, REPORT_TICKS)
"""The ticks of a report interval at which the owner's observations are taken: several, as the owner can hold
a bounded number of them only."""
MAX_BYTES_PER_S = 8000.0
MAX_BURST = 4000.0  # bytes
BIND_RETRY_S = 0.5  # in a takeover the old process may still hold the address

log = logging.getLogger("holdgw")


@dataclass(frozen=True, slots=True)
class PeerConfig:
    """A router's place in its tier. `number`: the index of its address in `addresses`."""

    number: int
    listen: Address
    addresses: tuple[Address, ...]
    zone: int = 0
    aggregators: tuple[int, ...] = ()
    """Numbers of the members that aggregate load reports; where it is empty, routers gossip load reports."""
    role: Role = Role.ROUTER
    update_bytes_per_s: float = UPDATE_BYTES_PER_S
    """Bound on the bytes that this router sends for membership updates."""


class PeerOwner(Protocol):
    """The router that a PeerNode belongs to."""

    def take_observations(self) -> Observations:
        """Return what the router observed since the last call."""

    def demands(self) -> dict[str, float]:
        """Return each tenant's demand for the origin, in requests a second."""

    def apply_load_snapshot(self, snapshot: LoadSnapshot) -> None:
        """Apply a new snapshot of the load view to the routing policy."""


class _DatagramReceiver(asyncio.DatagramProtocol):
    """Passes received datagrams to the node."""

    def __init__(self, receive: Callable[[bytes, Address], None]) -> None:
        self._receive = receive

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self._receive(data, (addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        """Ignore the error: the failure detector finds an unreachable peer by its missing acks."""


class PeerNode:
    """This router's membership, load view and aggregation, and the UDP socket that they share.

    The owner starts and closes it.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: PeerConfig,
        seed: int,
        now: Callable[[], int],
        owner: PeerOwner,
        tenants: Iterable[str] = (),
    ) -> None:
        self.membership = Membership(
            config.number,
            len(config.addresses),
            config.zone,
            seed,
            now(),
            update_bytes_per_s=config.update_bytes_per_s,
        )
        self.load_view = LoadView(config.number, self.membership.boot_id, tenants)
        self.dropped: Counter[DropReason] = Counter()
        """Datagrams that were dropped on receipt or before sending, by reason."""
        self.bytes_sent = 0
        self.bytes_received = 0
        self._owner = owner
        self._random = random.Random(seed ^ config.number)
        self._ticks_to_report = REPORT_TICKS
        self._loop = loop
        self._config = config
        self._now = now
        self._number_by_address = {address: number for number, address in enumerate(config.addresses)}
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._bind_task: asyncio.Task[None] | None = None
        self._send_limiter = self._make_send_limiter(now())
        self.exchange: AggregatedExchange | None = None
        """Load reports through aggregators; None where no aggregators are configured."""
        self._ticks = self._random.randrange(AGGREGATED_REPORT_TICKS)
        if config.aggregators:
            self.exchange = self._make_exchange(seed)
        self._closed = False

    def _make_send_limiter(self, now: int) -> TokenBucket:
        """Return the bound on bytes sent; an aggregator's grows linearly with the number of members."""
        config = self._config
        if config.number not in config.aggregators:
            return TokenBucket(MAX_BYTES_PER_S, MAX_BURST, now)
        rate = MAX_BYTES_PER_S + BYTES_PER_MEMBER * len(config.addresses)
        return TokenBucket(rate, max(rate / 4, MAX_BURST), now)

    def _make_exchange(self, seed: int) -> AggregatedExchange:
        config = self._config
        exchange_config = ExchangeConfig(
            config.number, len(config.addresses), config.aggregators, config.role, int(TICK_S * NS_PER_S)
        )
        return AggregatedExchange(exchange_config, self.membership, self.load_view, seed, self._now())

    def start(self) -> None:
        """Bind the socket as soon as its address is free, then start to tick."""
        self._bind_task = self._loop.create_task(self._bind())

    async def _bind(self) -> None:
        logged = False
        while not self._closed:
            try:
                transport, _ = await self._loop.create_datagram_endpoint(
                    lambda: _DatagramReceiver(self._receive), local_addr=self._config.listen
                )
            except OSError as error:
                if not logged:
                    log.warning("peers: bind failed, retrying error=%s interval_s=%g", error, BIND_RETRY_S)
                logged = True
                await asyncio.sleep(BIND_RETRY_S)
                continue
            self._transport = transport
            self._tick()
            return

    def _tick(self) -> None:
        self._timer = self._loop.call_later(TICK_S, self._tick)
        now = self._now()
        self._send_messages(self.membership.tick(now))
        if self.exchange is not None:
            self._tick_exchange(self.exchange, now)
        else:
            self._ticks_to_report -= 1
            if self._ticks_to_report <= 0:
                self._ticks_to_report = REPORT_TICKS
                self._report(now)
        for change in self.membership.changes():
            if max(change.before, change.after) > MemberState.SUSPECTED:
                state = change.after.name.lower()
                log.info("peers: member changed router=%d state=%s", change.number, state)

    def _report(self, now: int) -> None:
        """Gossip a load report to FANOUT random peers, and give the owner a new snapshot."""
        self.load_view.record(self._owner.take_observations())
        data = load_report.encode(self.load_view.report(now, self._owner.demands))
        others = [number for number in self.membership.present() if number != self._config.number]
        for number in self._random.sample(others, min(FANOUT, len(others))):
            self._send(number, data)
        self._owner.apply_load_snapshot(self.load_view.snapshot(now))

    def _tick_exchange(self, exchange: AggregatedExchange, now: int) -> None:
        """Report to an aggregator once a second, and give the owner a snapshot APPLY_AFTER_S later."""
        exchange.tick(now)
        self._ticks += 1
        if self._config.role is not Role.ROUTER:
            return
        phase = self._ticks % AGGREGATED_REPORT_TICKS
        if phase in OBSERVE_TICKS:
            self.load_view.record(self._owner.take_observations())
        if phase == 0:
            self._send_datagrams(exchange.report(now))
        elif phase == APPLY_TICKS:
            change = exchange.update_fallback(now)
            if change is not FallbackChange.NONE:
                log.warning("peers: fallback to gossip change=%s", change.value)
            self._owner.apply_load_snapshot(exchange.snapshot(now))
        elif phase == RETRY_TICKS:
            self._send_datagrams(exchange.retry_report(now))

    def _receive(self, data: bytes, source: Address) -> None:
        self.bytes_received += len(data)
        number = self._number_by_address.get(source)
        if number is None:
            self.dropped[DropReason.UNKNOWN_SOURCE] += 1
            return
        try:
            if self.exchange is not None and self.exchange.handles(data):
                self._send_datagrams(self.exchange.receive(data, number, self._now()))
            elif load_report.is_load_report(data):
                self._receive_report(load_report.decode(data, len(self._config.addresses)), number)
            else:
                self._receive_message(datagram.decode(data, len(self._config.addresses)), number)
        except DecodeError as error:
            self.dropped[error.reason] += 1

    def _receive_report(self, report: load_report.LoadReport, source: int) -> None:
        if report.sender != source:
            self.dropped[DropReason.FORGED] += 1
            return
        self.load_view.receive(report, self._now())

    def _receive_message(self, message: datagram.Message, source: int) -> None:
        # A message under another member's number would be treated as that member's, and answered to it.
        if message.sender != source:
            self.dropped[DropReason.FORGED] += 1
            return
        self._send_messages(self.membership.receive(message, self._now()))

    def _send_messages(self, messages: Sequence[OutgoingMessage]) -> None:
        for outgoing in messages:
            self._send(outgoing.to, datagram.encode(outgoing.message))

    def _send_datagrams(self, datagrams: Sequence[OutgoingDatagram]) -> None:
        for outgoing in datagrams:
            self._send(outgoing.to, outgoing.data)

    def _send(self, to: int, data: bytes) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        if not self._send_limiter.take(len(data), self._now()):
            self.dropped[DropReason.SEND_LIMIT] += 1
            return
        self.bytes_sent += len(data)
        self._transport.sendto(data, self._config.addresses[to])

    def state_counts(self) -> dict[str, int]:
        """Return the number of routers in each state, including this one."""
        counts = Counter(member.state for member in self.membership.members)
        return {state.name.lower(): counts[state] for state in MemberState}

    def view_counts(self) -> dict[str, int]:
        """Return the size of the load view: routers and requests behind it, and servers that it covers."""
        now = self._now()
        if self.exchange is not None:
            return self.exchange.view_counts(now)
        requests = self.load_view.shares(now).requests
        servers = len(self.load_view.loads(now))
        return {"routers": self.load_view.routers, "requests": int(requests), "servers": servers}

    def aggregation_counts(self) -> dict[str, int]:
        """Return the state of aggregation at this member; empty where there are no aggregators."""
        return {} if self.exchange is None else self.exchange.counts(self._now())

    def drop_counts(self) -> dict[str, int]:
        """Return the number of dropped datagrams, received or to be sent, by reason."""
        exchange_dropped = self.exchange.dropped if self.exchange is not None else Counter[DropReason]()
        return {reason.value: count for reason, count in (self.dropped + exchange_dropped).items()}

    def leave(self) -> None:
        """Notify other routers that this one leaves the tier, at a graceful shutdown."""
        self._send_messages(self.membership.leave())

    def close(self) -> None:
        """Close the socket and stop ticking."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        if self._bind_task is not None:
            self._bind_task.cancel()
        if self._transport is not None:
            self._transport.close()
