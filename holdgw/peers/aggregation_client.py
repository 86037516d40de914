"""A router's side of aggregation: its reports, the views that it accepts, and its fallback to gossip; pure.

After VIEW_MAX_AGE without a view, a router falls back to its own observations and those of other routers of
its zone, to which it then reports directly. It still reports to the aggregators in turn, and the first view
ends the fallback.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Collection, Mapping, Sequence
from enum import Enum
from typing import NamedTuple

from holdgw.peers import sequenced_report
from holdgw.peers.aggregator_choice import AggregatorChoice
from holdgw.peers.datagram import SERIALS
from holdgw.peers.load_report import LoadReport
from holdgw.peers.load_view import LoadSnapshot
from holdgw.peers.merged_view import ViewPart
from holdgw.peers.sequenced_report import SequencedReport
from holdgw.peers.view_selection import VIEW_MAX_AGE, OwnLoad, ViewSelection

REPORT_INTERVAL_S = 1.0
REPORTS_BEFORE_RETRY = 2  # consecutive reports without a view, of which the last is sent again
RETRY_AFTER_S = 0.5  # time from a report to its retry; aggregators answer a router at most each 0.4 s
APPLY_AFTER_S = 0.3  # time from a report to the new snapshot; the answer has arrived by then
FALLBACK_FANOUT = 2  # routers that a report is sent to in fallback
MIN_ZONE = 3  # routers of a zone with which it needs no other zone in its fallback


class FallbackChange(Enum):
    """Result of `AggregationClient.update_fallback`."""

    NONE = "none"
    ENTERED = "entered"
    LEFT = "left"


class ViewResult(Enum):
    """Result of receiving a part of a view."""

    TAKEN = "taken"
    UNEXPECTED = "unexpected"
    """This router has sent no report to the view's aggregator lately."""
    REPLAYED = "replayed"


class ReportDue(NamedTuple):
    """A report's datagram, and the numbers of the aggregators that it goes to."""

    targets: list[int]
    data: bytes


class AggregationClient:
    """One router's side of aggregation."""

    def __init__(self, own_number: int, zone: int, aggregators: Sequence[int], seed: int, now: int) -> None:
        """`own_number` and `zone`: this router's number and zone; the zone determines its aggregators."""
        self.in_fallback = False
        self.fallbacks = 0
        """Number of times that the fallback was entered."""
        self.choice = AggregatorChoice(zone, [number for number in aggregators if number != own_number])
        self.views = ViewSelection()
        self._own_number = own_number
        self._zone = zone
        self._aggregators = frozenset(aggregators)
        self._random = random.Random(seed)
        self._sequence = 0
        self._last_view_at = now
        self._reports_without_view = 0

    def add_sequence(self, report: LoadReport) -> SequencedReport:
        """Return the report with the next sequence number."""
        self._sequence = (self._sequence + 1) % SERIALS
        return SequencedReport(self._sequence, report)

    def report(self, report: LoadReport, is_present: Callable[[int], bool], now: int) -> ReportDue:
        """Return the datagram of the report due now, and the aggregators that it goes to."""
        targets = self.choice.next_targets(is_present, now)
        self._reports_without_view += 1
        return ReportDue(targets, sequenced_report.encode(self.add_sequence(report)))

    @property
    def needs_retry(self) -> bool:
        """Whether the last reports have brought no view; never in fallback, where other routers are heard."""
        return self._reports_without_view >= REPORTS_BEFORE_RETRY and not self.in_fallback

    def retry(self, report: LoadReport, is_present: Callable[[int], bool], now: int) -> ReportDue:
        """Return the datagram of a report that is sent again, and the aggregators that it goes to.

        It has a sequence number of its own, as aggregators answer none that they have received already.
        """
        targets = self.choice.retry_targets(is_present, now)
        return ReportDue(targets, sequenced_report.encode(self.add_sequence(report)))

    def receive(self, view: ViewPart, now: int) -> ViewResult:
        """Accept or reject a part of a view; the caller has verified its sender by the source address."""
        if not self.choice.expects(view.aggregator, now):
            return ViewResult.UNEXPECTED
        return self._take(view, now)

    def receive_own_view(self, parts: Sequence[ViewPart], now: int) -> None:
        """Accept the view of the aggregator in this process."""
        for view in parts:
            self._take(view, now)

    def _take(self, view: ViewPart, now: int) -> ViewResult:
        if not self.views.receive(view, now):
            return ViewResult.REPLAYED
        if view.aggregator != self._own_number:
            self.choice.answered(view.aggregator)
        self._last_view_at = now
        self._reports_without_view = 0
        return ViewResult.TAKEN

    def update_fallback(self, now: int) -> FallbackChange:
        """Enter or leave the fallback, by the time since the last view."""
        needed = now - self._last_view_at >= VIEW_MAX_AGE
        if needed == self.in_fallback:
            return FallbackChange.NONE
        self.in_fallback = needed
        self.fallbacks += needed
        return FallbackChange.ENTERED if needed else FallbackChange.LEFT

    def fallback_targets(self, present: Collection[int], zone_of: Callable[[int], int]) -> list[int]:
        """Return random routers that a report goes to in fallback; `zone_of`: returns the zone of a member.

        They are of this router's zone, where it has MIN_ZONE routers, else of all zones with fewer routers.
        Any other routers are added where these are fewer than FALLBACK_FANOUT.
        """
        others = [
            number for number in present if number != self._own_number and number not in self._aggregators
        ]
        sizes = Counter([self._zone, *(zone_of(number) for number in others)])
        near = [number for number in others if zone_of(number) == self._zone]
        if sizes[self._zone] < MIN_ZONE:
            near = [number for number in others if sizes[zone_of(number)] < MIN_ZONE]
        chosen = self._random.sample(near, min(FALLBACK_FANOUT, len(near)))
        rest = [number for number in others if number not in near]
        return chosen + self._random.sample(rest, min(FALLBACK_FANOUT - len(chosen), len(rest)))

    def snapshot(
        self, is_present: Callable[[int], bool], names: Mapping[int, str], own: OwnLoad, now: int
    ) -> LoadSnapshot | None:
        """Return the load snapshot for the routing policy; None in fallback and before the first view."""
        if self.in_fallback:
            return None
        return self.views.snapshot((self._own_number, *self.choice.chosen(is_present, now)), names, own, now)
