"""A router's side of aggregation: when and to whom it reports, which views it takes, and its fallback; pure.

Without a fresh view for VIEW_MAX_AGE a router falls back on its own observations and those of routers of its
own zone, to which it then reports directly. It goes on reporting to aggregators in turn, and the first view
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
APPLY_AFTER_S = 0.3  # after a report the decisions are given a new snapshot: the answer has come by then
FALLBACK_FANOUT = 2  # routers that a report is sent to in fallback
MIN_ZONE = 3  # routers, from which on a zone is enough for its fallback


class FallbackChange(Enum):
    """What became of the fallback."""

    NONE = "none"
    ENTERED = "entered"
    LEFT = "left"


class ViewResult(Enum):
    """What became of a part of a view."""

    TAKEN = "taken"
    UNEXPECTED = "unexpected"
    """No report went to its aggregator lately."""
    REPLAYED = "replayed"


class ReportDue(NamedTuple):
    """A report's datagram, and the aggregators that it goes to."""

    targets: list[int]
    data: bytes


class AggregationClient:
    """One router's side. `me`: its number; `zone`: its site, by which it chooses among the aggregators."""

    def __init__(self, me: int, zone: int, aggregators: Sequence[int], seed: int, now: int) -> None:
        self.in_fallback = False
        self.fallbacks = 0
        """Times that the fallback was entered."""
        self.choice = AggregatorChoice(zone, [number for number in aggregators if number != me])
        self.views = ViewSelection()
        self._me, self._zone, self._aggregators = me, zone, frozenset(aggregators)
        self._random = random.Random(seed)
        self._sequence = 0
        self._viewed_at = now

    def number_report(self, report: LoadReport) -> SequencedReport:
        """Give a report the next sequence number."""
        self._sequence = (self._sequence + 1) % SERIALS
        return SequencedReport(self._sequence, report)

    def report(self, report: LoadReport, is_present: Callable[[int], bool], now: int) -> ReportDue:
        """The report due now."""
        targets = self.choice.next_targets(is_present, now)
        return ReportDue(targets, sequenced_report.encode(self.number_report(report)))

    def receive(self, view: ViewPart, now: int) -> ViewResult:
        """Take a part of a view, whose sender the caller has checked by the source address."""
        if not self.choice.expects(view.aggregator, now):
            return ViewResult.UNEXPECTED
        return self._take(view, now)

    def receive_own(self, parts: Sequence[ViewPart], now: int) -> None:
        """Take the view of the aggregator that this router is itself."""
        for view in parts:
            self._take(view, now)

    def _take(self, view: ViewPart, now: int) -> ViewResult:
        if not self.views.receive(view, now):
            return ViewResult.REPLAYED
        if view.aggregator != self._me:
            self.choice.answered(view.aggregator)
        self._viewed_at = now
        return ViewResult.TAKEN

    def update_fallback(self, now: int) -> FallbackChange:
        """Enter or leave the fallback."""
        needed = now - self._viewed_at >= VIEW_MAX_AGE
        if needed == self.in_fallback:
            return FallbackChange.NONE
        self.in_fallback = needed
        self.fallbacks += needed
        return FallbackChange.ENTERED if needed else FallbackChange.LEFT

    def fallback_targets(self, present: Collection[int], zone_of: Callable[[int], int]) -> list[int]:
        """The routers that a report goes to in fallback; `zone_of`: the zone of a member.

        Of its own zone, where that has MIN_ZONE routers, else of all the zones that have fewer; any others
        where these are too few.
        """
        others = [number for number in present if number != self._me and number not in self._aggregators]
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
        """What the decisions take; None in fallback, and before the first view."""
        if self.in_fallback:
            return None
        return self.views.snapshot((self._me, *self.choice.chosen(is_present, now)), names, own, now)
