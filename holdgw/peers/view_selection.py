"""A router's side of aggregation: the views that it has, and what it uses of them against a false one; pure.

Bounds on one lying aggregator, where the other one's view is fresh:

- a server's wait is the median of both views and this router's own sample, so that a lie moves it to the
  other of the two at most; without an own sample of OWN_VOTE_MAX_AGE the lower wait is taken, and a lie can
  only lower it;
- a slot's share is the lower of both, so that it makes none hot, and at least this router's own requests for
  it over all, so that it hides none that is hot here;
- the requests in all are the median of both views' and of this router's own times the routers present.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from holdgw.peers.load_view import AgedResponseTime, LoadSnapshot
from holdgw.peers.merged_view import ViewPart
from holdgw.peers.sequence_gate import Order, SequenceGate
from holdgw.peers.timing import NS_PER_S

VIEW_MAX_AGE = 3 * NS_PER_S  # since it arrived, from which on a view is never used
RESPONSE_TIME_MAX_AGE = 5 * NS_PER_S  # since it was measured, from which on a wait is ignored
SHARES_MAX_AGE = 5 * NS_PER_S  # since they arrived, while other parts of newer views come
OWN_MAX_AGE = NS_PER_S  # of an own sample, up to which it goes before a single view
OWN_VOTE_MAX_AGE = 3 * NS_PER_S  # the same, for it to be the third vote beside two views
MIN_COVERAGE = 0.5  # of the other view's reporters, under which a view is ignored
MAX_SERVERS_PER_AGGREGATOR = 1024  # that its views may name


class OwnLoad(NamedTuple):
    """What this router observed itself. `routers`: how many are present, this one among them."""

    response_times: Mapping[int, AgedResponseTime]
    """By the server's hash."""
    slots: Mapping[int, float]
    """Certain counts of its requests by slot."""
    requests: float
    routers: int


class _ReceivedResponseTime(NamedTuple):
    """A server's wait by an aggregator's view, when it was measured and when the view arrived, all ns."""

    response_time: int
    measured_at: int
    arrived_at: int


@dataclass(slots=True)
class _ReceivedView:
    """The latest view of one aggregator; in place of a lost part the one before it counts until too old."""

    gate: SequenceGate = field(default_factory=SequenceGate)
    parts: set[int] = field(default_factory=set)
    arrived_at: int = 0
    reporters: int = 0
    requests: int = 0
    response_times: dict[int, _ReceivedResponseTime] = field(default_factory=dict)
    shares: Mapping[int, float] = field(default_factory=dict)
    shares_sequence: int = -1
    shares_arrived_at: int = 0

    def is_fresh(self, now: int) -> bool:
        """Whether a part came within VIEW_MAX_AGE."""
        return self.gate.boot_id is not None and now - self.arrived_at < VIEW_MAX_AGE

    def add(self, view: ViewPart, now: int) -> bool:
        """Take a part; False where it is a duplicate or a replay."""
        order = self.gate.check(view.boot_id, view.sequence, now)
        if order is Order.REPLAYED or (order is Order.SAME and view.part in self.parts):
            return False
        if order is Order.NEWER:
            self.parts = set()
            self.response_times = {
                s: one for s, one in self.response_times.items() if now - one.arrived_at < VIEW_MAX_AGE
            }
        self.parts.add(view.part)
        self.arrived_at = now
        self.reporters = view.reporters
        self.requests = view.requests
        self._add_response_times(view, now)
        self._add_shares(view, now)
        return True

    def _add_response_times(self, view: ViewPart, now: int) -> None:
        for server, response_time, age in view.response_times:
            if server in self.response_times or len(self.response_times) < MAX_SERVERS_PER_AGGREGATOR:
                self.response_times[server] = _ReceivedResponseTime(response_time, now - view.age - age, now)

    def _add_shares(self, view: ViewPart, now: int) -> None:
        if view.slot_shares:
            earlier_parts = self.shares if view.sequence == self.shares_sequence else {}
            self.shares = {**earlier_parts, **view.slot_shares}
            self.shares_sequence = view.sequence
            self.shares_arrived_at = now

    def fresh_shares(self, now: int) -> Mapping[int, float]:
        """Slots' shares, if they are not too old."""
        return self.shares if now - self.shares_arrived_at < SHARES_MAX_AGE else {}

    def response_time_of(self, server: int, now: int) -> AgedResponseTime | None:
        """A server's wait and its age, if it is not too old."""
        received = self.response_times.get(server)
        if received is None or now - received.arrived_at >= VIEW_MAX_AGE:
            return None
        age = now - received.measured_at
        return AgedResponseTime(float(received.response_time), age) if age < RESPONSE_TIME_MAX_AGE else None


class ViewSelection:
    """The views that one router has received, by aggregator."""

    def __init__(self) -> None:
        self._views: dict[int, _ReceivedView] = {}

    def receive(self, view: ViewPart, now: int) -> bool:
        """Take a part of an aggregator's view; False where it is a duplicate or a replay."""
        return self._views.setdefault(view.aggregator, _ReceivedView()).add(view, now)

    def has_fresh(self, now: int) -> bool:
        """Whether there is a view that may be used."""
        return any(view.is_fresh(now) for view in self._views.values())

    def reporters(self, now: int) -> int:
        """The reporters that the view resting on the most of them rests on; 0 without a fresh view."""
        return max((view.reporters for view in self._views.values() if view.is_fresh(now)), default=0)

    def snapshot(
        self, chosen: Sequence[int], names: Mapping[int, str], own: OwnLoad, now: int
    ) -> LoadSnapshot | None:
        """What the decisions take; None without a fresh view. `names`: listed servers by hash."""
        usable = self._usable(chosen, own.routers, now)
        views = [view for view in usable if view.is_fresh(now)]
        if not views:
            return None
        response_times = {}
        for server, name in names.items():
            votes = [
                response_time
                for view in views
                if (response_time := view.response_time_of(server, now)) is not None
            ]
            response_time = select_response_time(votes, own.response_times.get(server))
            if response_time is not None:
                response_times[name] = response_time
        requests = select_requests([view.requests for view in views], own)
        shares = select_shares([view.fresh_shares(now) for view in usable], own, requests)
        return LoadSnapshot(response_times, shares, requests, own.requests)

    def _usable(self, chosen: Sequence[int], routers: int, now: int) -> list[_ReceivedView]:
        """At most two views, of the aggregators in use first: fresh ones, or those with usable shares.

        One that rests on too few reporters beside a fresh one is left out. None counts as resting on more
        than the routers that are present: a false one could otherwise have the other left out.
        """
        ordered = sorted(self._views, key=lambda number: (number not in chosen, number))
        views = [self._views[number] for number in ordered]
        usable = [view for view in views if view.is_fresh(now) or view.fresh_shares(now)][:2]
        max_reporters = max((view.reporters for view in usable if view.is_fresh(now)), default=0)
        min_reporters = MIN_COVERAGE * min(max_reporters, routers)
        return [view for view in usable if view.reporters >= min_reporters]


def select_response_time(
    votes: Sequence[AgedResponseTime], own: AgedResponseTime | None
) -> AgedResponseTime | None:
    """A server's wait by at most two views and this router's own sample."""
    if len(votes) < 2 and own is not None and own.age < OWN_MAX_AGE:
        return own
    if not votes:
        return None
    if len(votes) == 2 and own is not None and own.age < OWN_VOTE_MAX_AGE:
        votes = [*votes, own]
    ordered = sorted(votes)
    return ordered[(len(ordered) - 1) // 2]


def select_requests(counts: Sequence[int], own: OwnLoad) -> float:
    """All routers' requests by one or two views, and no fewer than this router's own."""
    found = counts[0] if len(counts) == 1 else sorted([*counts, own.requests * own.routers])[1]
    return max(float(found), own.requests)


def select_shares(shares: Sequence[Mapping[int, float]], own: OwnLoad, requests: float) -> dict[int, float]:
    """Slots' shares by one or two views, and at least this router's own part of all requests.

    Shares of a view that were lost on the way are no vote.
    """
    known = [one for one in shares if one]
    found = {}
    for slot, share in known[0].items() if known else ():
        found[slot] = min(share, *(one.get(slot, 0.0) for one in known[1:]), share)
    for slot, count in own.slots.items():
        if requests:
            found[slot] = max(found.get(slot, 0.0), count / requests)
    return found
