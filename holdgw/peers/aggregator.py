"""An aggregator: it forwards routers' load reports to other aggregators, and answers with merged views; pure.

A report from the reporter itself is forwarded once to the other aggregators, and answered with the latest
merged view. A forwarded report is neither forwarded again nor answered. An aggregator's traffic is therefore
proportional to the number of routers that report to it, and it sends nothing unprompted.
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

MERGE_INTERVAL = NS_PER_S // 2  # ns
VIEW_SENT_FOR = NS_PER_S  # time after the merge in which a view may be sent
MIN_REPORT_INTERVAL = int(0.4 * NS_PER_S)  # in which one report of a reporter is answered and forwarded
BYTES_PER_MEMBER = 1600.0
"""Bytes a second that an aggregator may send for each member. They suffice for a report a second of each
member, answered with five datagrams of 256 bytes and forwarded to one other aggregator; or, where more
aggregators share the members, for half as many reports that are each forwarded to three.
"""


class OutgoingDatagram(NamedTuple):
    """A datagram to send, and the number of the member that it goes to."""

    to: int
    data: bytes


class Aggregator:
    """One aggregator: its table of reports, and the view that it last merged."""

    def __init__(
        self, own_number: int, boot_id: int, aggregators: Iterable[int], zone_of: Callable[[int], int]
    ) -> None:
        """`zone_of`: returns the zone of a member, which determines the aggregators that it reports to."""
        self.own_number = own_number
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
        """Store a report from the reporter itself, and return the datagrams to send.

        `data`: the report's datagram. Returns None where the report is a duplicate or a replay.
        """
        reporter = sequenced.report.sender
        if not self.table.receive(sequenced, reporter, now):
            return None
        if now - self._answered_at.get(reporter, -MIN_REPORT_INTERVAL) < MIN_REPORT_INTERVAL:
            return []
        self._answered_at[reporter] = now
        forwarded = sequenced_report.forward(data, self.own_number)
        others = [n for n in self._aggregators if n not in (self.own_number, reporter) and is_present(n)]
        out = [OutgoingDatagram(number, forwarded) for number in others]
        if reporter != self.own_number:
            out += [OutgoingDatagram(reporter, view) for view in self._view_datagrams(now)]
        return out

    def receive_forwarded(self, forwarded: ForwardedReport, now: int) -> bool:
        """Store a report that another aggregator forwarded; returns False where it is a replay."""
        return self.table.receive(forwarded.sequenced, forwarded.forwarder, now)

    def tick(self, now: int) -> bool:
        """Merge the reports where MERGE_INTERVAL has passed; returns whether it merged."""
        if self._merged_at is not None and now - self._merged_at < MERGE_INTERVAL:
            return False
        self._merged_at = now
        self._sequence = (self._sequence + 1) % SERIALS
        merged = self.merged(now)
        self._parts = []
        if merged.reporters:
            self._parts = merged_view.split(merged, self.own_number, self.boot_id, self._sequence)
        self._bodies = [merged_view.encode_body(part) for part in self._parts]
        return True

    def merged(self, now: int) -> MergedLoad:
        """Merge the reports that the table selects now, one of each reporter."""
        return merge(self.table.fresh(now))

    def _view_age(self, now: int) -> int | None:
        """Return the time since the view was merged, ns; None where no view may be sent."""
        if self._merged_at is None or now - self._merged_at >= VIEW_SENT_FOR:
            return None
        return now - self._merged_at

    def _view_datagrams(self, now: int) -> list[bytes]:
        age = self._view_age(now)
        return [] if age is None else [merged_view.to_datagram(body, age) for body in self._bodies]

    def own_view(self, now: int) -> list[ViewPart]:
        """Return the view for this aggregator's own router; empty where no view may be sent."""
        age = self._view_age(now)
        return [] if age is None else [part._replace(age=age) for part in self._parts]
