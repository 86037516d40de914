"""One member's part in aggregation, as a router, an aggregator, or both; pure.

The caller sends the datagrams that are returned. It passes in only datagrams from members' addresses.
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
    """Whether a member also routes requests; the list of aggregators says whether it aggregates."""

    ROUTER = "router"
    DEDICATED = "set_aside"
    """A dedicated aggregator: it has no load of its own to report, and accepts no views."""


class Members(Protocol):
    """The part of `Membership` that aggregation uses."""

    def is_present(self, number: int) -> bool:
        """Whether a member is alive or suspected."""

    def present(self) -> list[int]:
        """Return the numbers of the members that are alive or suspected."""

    def zone_of(self, number: int) -> int:
        """Return a member's zone."""


class ExchangeConfig(NamedTuple):
    """One member's configuration for aggregation."""

    number: int
    """This member's number."""
    member_count: int
    """Number of members of the tier."""
    aggregators: Sequence[int]
    """Numbers of the members that aggregate."""
    role: Role
    tick_interval: int
    """Time between two calls of `AggregatedExchange.tick`, ns."""


class AggregatedExchange:
    """Sends, forwards and receives load reports and merged views at one member, as its role requires."""

    def __init__(
        self, config: ExchangeConfig, members: Members, load_view: LoadView, seed: int, now: int
    ) -> None:
        """`seed`: for the random choice of routers in fallback; `now`: ns of the caller's monotonic clock."""
        number = config.number
        self.dropped: Counter[DropReason] = Counter()
        """Reports and views that were dropped, by reason."""
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
        """Merge reports where that is due; to be called once per tick interval."""
        self.guard.tick(now)
        if self.aggregator is not None and self.aggregator.tick(now) and self.client is not None:
            self.client.receive_own_view(self.aggregator.own_view(now), now)

    def report(self, now: int) -> list[OutgoingDatagram]:
        """Return the datagrams of this router's report; to be called once per REPORT_INTERVAL_S.

        The report goes to an aggregator, and in fallback also to some routers of this router's zone.
        """
        if self.client is None:
            return []
        report = self._load_view.report(now)
        if self.aggregator is not None:
            sequenced = self.client.add_sequence(report)
            data = sequenced_report.encode(sequenced)
            return self.aggregator.receive(data, sequenced, self._members.is_present, now) or []
        due = self.client.report(report, self._members.is_present, now)
        out = [OutgoingDatagram(number, due.data) for number in due.targets]
        if self.client.in_fallback:
            gossiped = load_report.encode(report)
            targets = self.client.fallback_targets(self._members.present(), self._members.zone_of)
            out += [OutgoingDatagram(number, gossiped) for number in targets]
        return out

    def retry_report(self, now: int) -> list[OutgoingDatagram]:
        """Return the datagrams of this router's report once more, where the last reports brought no view.

        To be called RETRY_AFTER_S after each report. Datagrams lost beside a dead aggregator thus bring no
        router into its fallback.
        """
        if self.client is None or self.aggregator is not None or not self.client.needs_retry:
            return []
        due = self.client.retry(self._load_view.report(now), self._members.is_present, now)
        return [OutgoingDatagram(number, due.data) for number in due.targets]

    def update_fallback(self, now: int) -> FallbackChange:
        """Enter or leave the fallback, where this member is a router."""
        return FallbackChange.NONE if self.client is None else self.client.update_fallback(now)

    def receive(self, data: bytes, source: int, now: int) -> list[OutgoingDatagram]:
        """Act on a datagram from a member, and return the datagrams to send; raises DecodeError."""
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
        """Return the load snapshot for the routing policy, from aggregators' views.

        In fallback and before the first view it comes from own observations and gossiped reports.
        """
        snapshot = None
        if self.client is not None:
            view = self._load_view
            slots = view.slot_counts.guaranteed(COUNTERS)
            own = OwnLoad(
                view.own_response_times(now), slots, view.slot_counts.total, len(self._members.present())
            )
            snapshot = self.client.snapshot(self._members.is_present, view.names, own, now)
        return self._load_view.snapshot(now) if snapshot is None else snapshot

    def counts(self, now: int) -> dict[str, int]:
        """Return the state of aggregation at this member, by metric name; ages are in milliseconds."""
        counts = {"halts": self.guard.stalls}
        if self.client is not None:
            counts["reporters"] = self._reporters(now)
            counts["age_ms"] = self._median_age(now) // NS_PER_MS
            counts["fallback"] = int(self.client.in_fallback)
            counts["fallbacks"] = self.client.fallbacks
        if self.aggregator is not None:
            counts["merged_reporters"] = self.aggregator.merged(now).reporters
        return counts

    def view_counts(self, now: int) -> dict[str, int]:
        """Return the size of the snapshot: routers and requests behind it, and servers that it covers."""
        snapshot = self.snapshot(now)
        viewed_routers = 0 if self.client is None or self.client.in_fallback else self._reporters(now)
        routers = viewed_routers or self._load_view.routers
        return {
            "routers": routers,
            "requests": int(snapshot.requests),
            "servers": len(snapshot.response_times),
        }

    def _reporters(self, now: int) -> int:
        """Return the number of reporters behind the views, at most the number of members present.

        The bound keeps a false view from claiming more.
        """
        reporters = 0 if self.client is None else self.client.views.max_reporters(now)
        return min(reporters, len(self._members.present()))

    def _median_age(self, now: int) -> int:
        """Return the median age (ns) of the response times in the current snapshot."""
        ages = sorted(response_time.age for response_time in self.snapshot(now).response_times.values())
        return ages[len(ages) // 2] if ages else 0
