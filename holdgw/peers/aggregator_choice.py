"""The aggregators that a router reports to: two for each zone, by rendezvous hashing, with hysteresis; pure.

Highest random weight (Thaler and Ravishankar, 1998): each zone ranks all aggregators by a hash of zone and
aggregator. All routers of a zone thus use the same two without coordination, and the loss of an aggregator
affects only the zones that used it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import islice

from holdgw.peers.timing import NS_PER_S

AGGREGATORS_PER_ZONE = 2  # aggregators that a router reports to, alternately
MAX_UNANSWERED = 2  # consecutive reports without a view after which an aggregator counts as unresponsive
ANSWER_WITHIN = int(0.9 * NS_PER_S)  # time after a report in which its view is expected
VIEW_EXPECTED_FOR = 3 * NS_PER_S  # time after a report in which a view of its aggregator is accepted
RETRY_AFTER = 10 * NS_PER_S  # time after which an unresponsive aggregator is used again
_MASK_64_BITS = (1 << 64) - 1


def rank_aggregators(zone: int, aggregators: Iterable[int]) -> tuple[int, ...]:
    """Return the aggregators by descending weight for a zone; the order is the same at every member."""
    return tuple(sorted(aggregators, key=lambda number: (_weight(zone, number), number), reverse=True))


def _weight(zone: int, number: int) -> int:
    """Return a hash of zone and aggregator, by the finalizer of SplitMix64 (Steele, Lea and Flood, 2014)."""
    mixed = (zone << 32 | number) * 0x9E3779B97F4A7C15 + 0x9E3779B97F4A7C15 & _MASK_64_BITS
    mixed = (mixed ^ mixed >> 30) * 0xBF58476D1CE4E5B9 & _MASK_64_BITS
    mixed = (mixed ^ mixed >> 27) * 0x94D049BB133111EB & _MASK_64_BITS
    return mixed ^ mixed >> 31


@dataclass(slots=True)
class _AggregatorState:
    """The state of this router's reports to one aggregator. Times are ns."""

    reported_at: int | None = None
    pending: bool = False
    """Whether the last report awaits its view."""
    unanswered: int = 0
    """Number of consecutive reports without a view."""
    retry_at: int = 0
    """The aggregator counts as unresponsive until this time."""


class AggregatorChoice:
    """One router's choice of the aggregators that it reports to."""

    def __init__(self, zone: int, aggregators: Iterable[int]) -> None:
        """`zone`: the router's zone; `aggregators`: numbers of the members that aggregate."""
        self.order = rank_aggregators(zone, aggregators)
        self._states = {number: _AggregatorState() for number in self.order}

    def chosen(self, is_present: Callable[[int], bool], now: int) -> tuple[int, ...]:
        """Return the aggregators in use: the first two that are present and responsive.

        Where there are none, all are tried in turn: this router itself may be disconnected. A view from an
        aggregator makes it responsive again at once.
        """
        return self._usable(is_present, now) or self.order

    def _usable(self, is_present: Callable[[int], bool], now: int) -> tuple[int, ...]:
        usable = (n for n in self.order if is_present(n) and now >= self._states[n].retry_at)
        return tuple(islice(usable, AGGREGATORS_PER_ZONE))

    def next_targets(self, is_present: Callable[[int], bool], now: int) -> list[int]:
        """Return the aggregators that the report due now goes to.

        These are the aggregator in use whose last report is oldest, and each one in use that has left a
        report unanswered. Neither a lost datagram nor a dead aggregator thus costs more than one view.
        """
        for number, state in self._states.items():
            self._check_answer(state, now)
            if not is_present(number):
                state.retry_at = now + RETRY_AFTER  # stays unused for RETRY_AFTER after its return
        usable = self._usable(is_present, now)
        unanswered = [number for number in usable if self._states[number].unanswered]
        answered = [number for number in usable if number not in unanswered]
        target = min(answered or usable or self.order, key=self._last_reported, default=None)
        targets = [] if target is None else [target, *(number for number in unanswered if number != target)]
        for number in targets:
            state = self._states[number]
            state.reported_at = now
            state.pending = True
        return targets

    def retry_targets(self, is_present: Callable[[int], bool], now: int) -> list[int]:
        """Return the aggregators that a report is sent to again: those in use, then unresponsive ones.

        Lost datagrams may have made the only reachable aggregator count as unresponsive. One whose view is
        pending keeps the time of its report, so that it counts as unresponsive no later than without the
        retry.
        """
        usable = self._usable(is_present, now)
        others = [number for number in self.order if is_present(number) and number not in usable]
        targets = [*usable, *others][:AGGREGATORS_PER_ZONE]
        for number in targets:
            state = self._states[number]
            if not state.pending:
                state.reported_at = now
                state.pending = True
        return targets

    def _last_reported(self, number: int) -> int:
        reported_at = self._states[number].reported_at
        return -1 if reported_at is None else reported_at

    def _check_answer(self, state: _AggregatorState, now: int) -> None:
        if not state.pending or state.reported_at is None or now - state.reported_at < ANSWER_WITHIN:
            return
        state.pending = False
        state.unanswered += 1
        if state.unanswered >= MAX_UNANSWERED:
            # When it is used again, one unanswered report is enough to make it unresponsive.
            state.unanswered = MAX_UNANSWERED - 1
            state.retry_at = now + RETRY_AFTER

    def answered(self, number: int) -> None:
        """Note that a view of this aggregator arrived."""
        state = self._states[number]
        state.pending = False
        state.unanswered = 0
        state.retry_at = 0

    def expects(self, number: int, now: int) -> bool:
        """Whether a view of this member is accepted, as a report went to it within VIEW_EXPECTED_FOR."""
        state = self._states.get(number)
        if state is None or state.reported_at is None:
            return False
        return now - state.reported_at < VIEW_EXPECTED_FOR
