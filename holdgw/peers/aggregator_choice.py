"""Which aggregators a router reports to: two for each site, by rendezvous hashing, with hysteresis; pure.

Highest random weight (Thaler and Ravishankar, 1998): each site ranks all aggregators by a hash of both, so
that all routers of a site use the same two without agreeing on them, and a lost aggregator moves its own
sites only.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import islice

from holdgw.peers.timing import NS_PER_S

AGGREGATORS_PER_ZONE = 2  # aggregators that a router reports to, alternately
MAX_UNANSWERED = 2  # reports in a row without a view, from which on an aggregator counts as silent
ANSWER_WITHIN = int(0.9 * NS_PER_S)  # of a report, in which its view is expected
VIEW_EXPECTED_FOR = 3 * NS_PER_S  # after a report, in which a view of its aggregator is accepted
RETRY_AFTER = 10 * NS_PER_S  # from which on a silent aggregator is used again
_MASK_64_BITS = (1 << 64) - 1


def rank_aggregators(site: int, aggregators: Iterable[int]) -> tuple[int, ...]:
    """Aggregators by their weight for a site, the highest first; the same at every member."""
    return tuple(sorted(aggregators, key=lambda number: (_weight(site, number), number), reverse=True))


def _weight(site: int, number: int) -> int:
    """A hash of both: the finalizer of SplitMix64 (Steele, Lea and Flood, 2014) over their combination."""
    mixed = (site << 32 | number) * 0x9E3779B97F4A7C15 + 0x9E3779B97F4A7C15 & _MASK_64_BITS
    mixed = (mixed ^ mixed >> 30) * 0xBF58476D1CE4E5B9 & _MASK_64_BITS
    mixed = (mixed ^ mixed >> 27) * 0x94D049BB133111EB & _MASK_64_BITS
    return mixed ^ mixed >> 31


@dataclass(slots=True)
class _Link:
    """What this router knows of its exchange with one aggregator; times are ns."""

    reported_at: int | None = None
    pending: bool = False
    """Whether the last report is not answered yet."""
    unanswered: int = 0
    retry_at: int = 0
    """Until then it is silent."""


class AggregatorChoice:
    """One router's choice among the aggregators, which are members' numbers. `site`: the router's zone."""

    def __init__(self, site: int, aggregators: Iterable[int]) -> None:
        self.order = rank_aggregators(site, aggregators)
        self._links = {number: _Link() for number in self.order}

    def chosen(self, is_present: Callable[[int], bool], now: int) -> tuple[int, ...]:
        """The aggregators in use: the first two that are present and not silent.

        Where there are none, all are tried in turn: it may be this router itself that is cut off, and a view
        that comes ends the silence at once.
        """
        return self._usable(is_present, now) or self.order

    def _usable(self, is_present: Callable[[int], bool], now: int) -> tuple[int, ...]:
        usable = (n for n in self.order if is_present(n) and now >= self._links[n].retry_at)
        return tuple(islice(usable, AGGREGATORS_PER_ZONE))

    def next_targets(self, is_present: Callable[[int], bool], now: int) -> list[int]:
        """The aggregators that the report due now goes to.

        Of those in use the one reported to longest ago, and beside it each that has left a report unanswered,
        so that neither a lost datagram nor a dead aggregator costs more than one view.
        """
        for number, link in self._links.items():
            self._check_answer(link, now)
            if not is_present(number):
                link.retry_at = now + RETRY_AFTER  # it stays unused for a while after it is back
        usable = self._usable(is_present, now)
        doubtful = [number for number in usable if self._links[number].unanswered]
        sure = [number for number in usable if number not in doubtful]
        target = min(sure or usable or self.order, key=self._last_reported, default=None)
        targets = [] if target is None else [target, *(number for number in doubtful if number != target)]
        for number in targets:
            link = self._links[number]
            link.reported_at = now
            link.pending = True
        return targets

    def _last_reported(self, number: int) -> int:
        reported_at = self._links[number].reported_at
        return -1 if reported_at is None else reported_at

    def _check_answer(self, link: _Link, now: int) -> None:
        if not link.pending or link.reported_at is None or now - link.reported_at < ANSWER_WITHIN:
            return
        link.pending = False
        link.unanswered += 1
        if link.unanswered >= MAX_UNANSWERED:
            # Tried again later with a single report.
            link.unanswered = MAX_UNANSWERED - 1
            link.retry_at = now + RETRY_AFTER

    def answered(self, number: int) -> None:
        """A view of this aggregator came."""
        link = self._links[number]
        link.pending = False
        link.unanswered = 0
        link.retry_at = 0

    def expects(self, number: int, now: int) -> bool:
        """Whether a view of this member is accepted: a report went to it a short time ago."""
        link = self._links.get(number)
        if link is None or link.reported_at is None:
            return False
        return now - link.reported_at < VIEW_EXPECTED_FOR
