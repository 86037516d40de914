"""The aggregator's role: it exchanges routers' load reports, and answers each with a merged view; pure.

A report that came from the reporter itself is forwarded once to the other aggregators, and answered with the
view that was last merged; what was forwarded is neither forwarded again nor answered. So an aggregator sends
in proportion to the routers that report to it, and nothing on its own.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

from holdgw.peers import merged_view, sequenced_report
from holdgw.peers.aggregator_choice import AGGREGATORS_PER_ZONE, rank_aggregators
from holdgw.peers.datagram import SERIALS
from holdgw.peers.load_merge import MergedLoad, merge
from holdgw.peers.merged_view import ViewPart
from holdgw.peers.report_table import ReportTable
from holdgw.peers.sequenced_report import ForwardedReport, SequencedReport
from holdgw.peers.timing import NS_PER_S

MERGE_INTERVAL = NS_PER_S // 2
VIEW_SENT_FOR = NS_PER_S  # after it was merged; an older one is not sent
MIN_REPORT_INTERVAL = int(0.4 * NS_PER_S)  # in which a reporter is answered, and forwarded, once
BYTES_PER_MEMBER = 1600.0
"""Bytes a second that an aggregator may send for each member: a report a second of each, answered by five
datagrams of 256 bytes and forwarded to one other; or half as many, where more aggregators share them,
forwarded to three.
"""


class OutgoingDatagram(NamedTuple):
    """A datagram to a member."""

    to: int
    data: bytes


class Aggregator:
    """One aggregator. `zone_of`: the zone of a member, by which it chooses its aggregators."""

    def __init__(
        self, me: int, boot_id: int, aggregators: Iterable[int], zone_of: Callable[[int], int]
    ) -> None:
        self.me = me
        self.boot_id = boot_id
        self._aggregators = tuple(aggregators)
        self._zone_of = zone_of
        self._ranks: dict[int, tuple[int, ...]] = {}  # by zone
        self.table = ReportTable(self._aggregators_of)
        self._answered_at: dict[int, int] = {}  # by reporter
        self._sequence = 0
        self._parts: list[ViewPart] = []
        self._bodies: list[bytes] = []
        self._merged_at: int | None = None

    def _aggregators_of(self, reporter: int) -> tuple[int, ...]:
        zone = self._zone_of(reporter)
        if zone not in self._ranks:
            self._ranks[zone] = rank_aggregators(zone, self._aggregators)[:AGGREGATORS_PER_ZONE]
        return self._ranks[zone]

    def receive(
        self, data: bytes, sequenced: SequencedReport, is_present: Callable[[int], bool], now: int
    ) -> list[OutgoingDatagram] | None:
        """Take a report from the reporter itself, `data` being its datagram; None where it is a replay."""
        reporter = sequenced.report.sender
        if not self.table.receive(sequenced, reporter, now):
            return None
        if now - self._answered_at.get(reporter, -MIN_REPORT_INTERVAL) < MIN_REPORT_INTERVAL:
            return []
        self._answered_at[reporter] = now
        forwarded = sequenced_report.forward(data, self.me)
        others = [n for n in self._aggregators if n not in (self.me, reporter) and is_present(n)]
        out = [OutgoingDatagram(number, forwarded) for number in others]
        if reporter != self.me:
            out += [OutgoingDatagram(reporter, view) for view in self._view_datagrams(now)]
        return out

    def receive_forwarded(self, forwarded: ForwardedReport, now: int) -> bool:
        """Take a report that another aggregator forwarded; False where it is a replay."""
        return self.table.receive(forwarded.sequenced, forwarded.forwarder, now)

    def tick(self, now: int) -> bool:
        """Merge once a MERGE_INTERVAL; whether it did."""
        if self._merged_at is not None and now - self._merged_at < MERGE_INTERVAL:
            return False
        self._merged_at = now
        self._sequence = (self._sequence + 1) % SERIALS
        merged = self.merged(now)
        self._parts = []
        if merged.reporters:
            self._parts = merged_view.split(merged, self.me, self.boot_id, self._sequence)
        self._bodies = [merged_view.encode_body(part) for part in self._parts]
        return True

    def merged(self, now: int) -> MergedLoad:
        """What all reports that count say together."""
        return merge(self.table.fresh(now))

    def _view_age(self, now: int) -> int | None:
        """How long ago the view was merged, ns; None where there is none that may be sent."""
        if self._merged_at is None or now - self._merged_at >= VIEW_SENT_FOR:
            return None
        return now - self._merged_at

    def _view_datagrams(self, now: int) -> list[bytes]:
        age = self._view_age(now)
        return [] if age is None else [merged_view.to_datagram(body, age) for body in self._bodies]

    def own_view(self, now: int) -> list[ViewPart]:
        """The view for the router that this aggregator is."""
        age = self._view_age(now)
        return [] if age is None else [part._replace(age=age) for part in self._parts]
