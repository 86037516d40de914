"""One member's part in aggregation, whatever its role: a router, an aggregator, or both; pure.

The caller sends what is returned, and has checked that the source of what it passes in is a member's
address.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from enum import Enum
from typing import NamedTuple, Protocol

from holdgw.peers import load_report, merged_view, sequenced_report
from holdgw.peers.aggregation_client import AggregationClient, FallbackChange, ViewResult
from holdgw.peers.aggregator import Aggregator, OutgoingDatagram
from holdgw.peers.datagram import DecodeError, DropReason
from holdgw.peers.heavy_hitters import COUNTERS
from holdgw.peers.load_view import LoadSnapshot, LoadView
from holdgw.peers.stall_guard import StallGuard
from holdgw.peers.view_selection import OwnLoad

NS_PER_MS = 1_000_000


class Role(Enum):
    """What a member does in aggregation beside what the list of aggregators says."""

    ROUTER = "router"
    DEDICATED = "set_aside"
    """It has no load of its own to report, and takes no view."""


class Members(Protocol):
    """What is asked of membership."""

    def is_present(self, number: int) -> bool:
        """Whether a member is alive or suspected."""

    def present(self) -> list[int]:
        """All these."""

    def zone_of(self, number: int) -> int:
        """A member's zone."""


class ExchangeConfig(NamedTuple):
    """One member's place in aggregation."""

    number: int
    """The member's."""
    member_count: int
    """Of the tier."""
    aggregators: Sequence[int]
    """Numbers of the members that aggregate."""
    role: Role
    tick_interval: int
    """From one call of `AggregatedExchange.tick` to the next, ns."""


class AggregatedExchange:
    """Load reports to aggregators, their exchange, and the views that come back, at one member."""

    def __init__(
        self, config: ExchangeConfig, members: Members, load_view: LoadView, seed: int, now: int
    ) -> None:
        """`seed`: of the choice of routers in fallback; `now`: ns of the monotonic clock, as below."""
        number = config.number
        self.dropped: Counter[DropReason] = Counter()
        """Reports and views that were not taken."""
        self.guard = StallGuard(config.tick_interval, now)
        self.client: AggregationClient | None = None
        self.aggregator: Aggregator | None = None
        self._member_count = config.member_count
        self._members = members
        self._load_view = load_view
        self._aggregators = frozenset(config.aggregators)
        if config.role is Role.ROUTER:
            zone = members.zone_of(number)
            self.client = AggregationClient(number, zone, config.aggregators, seed, now)
        if number in self._aggregators:
            self.aggregator = Aggregator(number, load_view.boot_id, config.aggregators, members.zone_of)

    @staticmethod
    def handles(data: bytes) -> bool:
        """Whether a datagram is a load report or a view, by its header."""
        return (
            load_report.is_load_report(data)
            or sequenced_report.is_sequenced_report(data)
            or sequenced_report.is_forwarded_report(data)
            or merged_view.is_view(data)
        )

    def tick(self, now: int) -> None:
        """Merge what is due; to be called each tick interval."""
        self.guard.tick(now)
        if self.aggregator is not None and self.aggregator.tick(now) and self.client is not None:
            self.client.receive_own(self.aggregator.own_view(now), now)

    def report(self, now: int) -> list[OutgoingDatagram]:
        """This router's report, to be called once a REPORT_INTERVAL_S.

        It goes to an aggregator, and in fallback to some routers of its zone as well.
        """
        if self.client is None:
            return []
        report = self._load_view.report(now)
        if self.aggregator is not None:
            sequenced = self.client.number_report(report)
            data = sequenced_report.encode(sequenced)
            return self.aggregator.receive(data, sequenced, self._members.is_present, now) or []
        due = self.client.report(report, self._members.is_present, now)
        out = [OutgoingDatagram(number, due.data) for number in due.targets]
        if self.client.in_fallback:
            gossiped = load_report.encode(report)
            targets = self.client.fallback_targets(self._members.present(), self._members.zone_of)
            out += [OutgoingDatagram(number, gossiped) for number in targets]
        return out

    def update_fallback(self, now: int) -> FallbackChange:
        """Enter or leave the fallback, where this is a router."""
        return FallbackChange.NONE if self.client is None else self.client.update_fallback(now)

    def receive(self, data: bytes, source: int, now: int) -> list[OutgoingDatagram]:
        """Take a datagram that a member sent; raises DecodeError."""
        if self.guard.is_stalled(now):
            self.dropped[DropReason.STALLED] += 1
            return []
        if merged_view.is_view(data):
            self._receive_view(data, source, now)
        elif sequenced_report.is_forwarded_report(data):
            self._receive_forwarded(data, source, now)
        elif sequenced_report.is_sequenced_report(data):
            return self._receive_report(data, source, now)
        else:
            report = load_report.decode(data, self._member_count)
            self._check_sender(report.sender, source)
            self._load_view.receive(report, now)
        return []

    def _check_sender(self, sender: int, source: int) -> None:
        if sender != source:
            raise DecodeError(DropReason.FORGED)

    def _receive_view(self, data: bytes, source: int, now: int) -> None:
        view = merged_view.decode(data, self._member_count)
        self._check_sender(view.aggregator, source)
        result = ViewResult.UNEXPECTED if self.client is None else self.client.receive(view, now)
        if result is not ViewResult.TAKEN:
            replayed = result is ViewResult.REPLAYED
            self.dropped[DropReason.REPLAYED if replayed else DropReason.UNEXPECTED] += 1

    def _receive_forwarded(self, data: bytes, source: int, now: int) -> None:
        forwarded = sequenced_report.decode_forwarded(data, self._member_count)
        self._check_sender(forwarded.forwarder, source)
        if self.aggregator is None or source not in self._aggregators:
            self.dropped[DropReason.UNEXPECTED] += 1
        elif not self.aggregator.receive_forwarded(forwarded, now):
            self.dropped[DropReason.REPLAYED] += 1

    def _receive_report(self, data: bytes, source: int, now: int) -> list[OutgoingDatagram]:
        sequenced = sequenced_report.decode(data, self._member_count)
        self._check_sender(sequenced.report.sender, source)
        if self.aggregator is None:
            self.dropped[DropReason.UNEXPECTED] += 1
            return []
        out = self.aggregator.receive(data, sequenced, self._members.is_present, now)
        if out is None:
            self.dropped[DropReason.REPLAYED] += 1
        return out or []

    def snapshot(self, now: int) -> LoadSnapshot:
        """What the decisions take: by aggregators' views, or by gossip.

        In fallback and before the first view: own observations and other routers' gossiped reports.
        """
        found = None
        if self.client is not None:
            view = self._load_view
            slots = view.slot_counts.guaranteed(COUNTERS)
            own = OwnLoad(
                view.own_response_times(now), slots, view.slot_counts.total, len(self._members.present())
            )
            found = self.client.snapshot(self._members.is_present, view.names, own, now)
        return self._load_view.snapshot(now) if found is None else found

    def counts(self, now: int) -> dict[str, int]:
        """How this member stands in aggregation; ages in milliseconds."""
        found = {"halts": self.guard.stalls}
        if self.client is not None:
            found["reporters"] = self._reporters(now)
            found["age_ms"] = self._median_age(now) // NS_PER_MS
            found["fallback"] = int(self.client.in_fallback)
            found["fallbacks"] = self.client.fallbacks
        if self.aggregator is not None:
            found["merged_reporters"] = self.aggregator.merged(now).reporters
        return found

    def view_counts(self, now: int) -> dict[str, int]:
        """Routers and requests that the snapshot rests on, and servers whose wait it holds."""
        snapshot = self.snapshot(now)
        viewed = 0 if self.client is None or self.client.in_fallback else self._reporters(now)
        routers = viewed or self._load_view.routers
        return {
            "routers": routers,
            "requests": int(snapshot.requests),
            "servers": len(snapshot.response_times),
        }

    def _reporters(self, now: int) -> int:
        """The reporters that views rest on; a false one can't have it more than the members present."""
        found = 0 if self.client is None else self.client.views.reporters(now)
        return min(found, len(self._members.present()))

    def _median_age(self, now: int) -> int:
        """The median age of the waits that the decisions would be given now."""
        ages = sorted(response_time.age for response_time in self.snapshot(now).response_times.values())
        return ages[len(ages) // 2] if ages else 0
