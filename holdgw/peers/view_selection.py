"""The merged views that a router has received, and the values that it takes from them; pure.

Bounds on one lying aggregator, where the view of another aggregator is fresh:

- A server's response time is the median of both views and this router's own sample. A lie thus leaves it
  between the other view's value and the own sample. Without an own sample younger than OWN_VOTE_MAX_AGE the
  lower of both views is taken, and a lie can only lower it.
- A slot's share is the lower of both views, so a lie makes no slot hot. It is at least the ratio of this
  router's own requests for the slot to all requests, so a lie hides no slot that is hot at this router.
- The number of all requests is the median of both views' numbers and of this router's own number times the
  routers present.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from holdgw.peers.load_view import AgedResponseTime, LoadSnapshot
from holdgw.peers.merged_view import ViewPart
from holdgw.peers.sequence_gate import Order, SequenceGate
from holdgw.peers.timing import NS_PER_S

VIEW_MAX_AGE = 3 * NS_PER_S  # time since a view arrived after which it is never used
RESPONSE_TIME_MAX_AGE = 5 * NS_PER_S  # time since its measurement after which a response time is ignored
SHARES_MAX_AGE = 5 * NS_PER_S  # time after which shares are ignored, while other parts of newer views arrive
OWN_MAX_AGE = NS_PER_S  # up to this age an own sample is preferred to a single view
OWN_VOTE_MAX_AGE = 3 * NS_PER_S  # up to this age an own sample is the third vote beside two views
MIN_COVERAGE = 0.5  # fraction of the other view's reporters below which a view is ignored
MAX_SERVERS_PER_AGGREGATOR = 1024  # servers held from the views of one aggregator


class OwnLoad(NamedTuple):
    """This router's own observations. `routers`: number of routers present, including this one."""

    response_times: Mapping[int, AgedResponseTime]
    """By the server's hash."""
    slots: Mapping[int, float]
    """Guaranteed counts of this router's requests by slot."""
    requests: float
    routers: int


class _ReceivedResponseTime(NamedTuple):
    """A server's response time in an aggregator's view, and when it was measured and the view arrived; ns."""

    response_time: int
    measured_at: int
    arrived_at: int


@dataclass(slots=True)
class _ReceivedView:
    """The latest view of one aggregator; for a lost part, the previous view's values stay until too old."""

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
        """Whether a part arrived less than VIEW_MAX_AGE ago."""
        return self.gate.boot_id is not None and now - self.arrived_at < VIEW_MAX_AGE

    def add(self, view: ViewPart, now: int) -> bool:
        """Add a part; returns False where it is a duplicate or a replay."""
        order = self.gate.check(view.boot_id, view.sequence, now)
        if order is Order.REPLAYED or (order is Order.SAME and view.part in self.parts):
            return False
        if order is Order.NEWER:
            self.parts = set()
            self.response_times = {
                server: received
                for server, received in self.response_times.items()
                if now - received.arrived_at < VIEW_MAX_AGE
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
        """Return the slots' shares; empty where they are too old."""
        return self.shares if now - self.shares_arrived_at < SHARES_MAX_AGE else {}

    def response_time_of(self, server: int, now: int) -> AgedResponseTime | None:
        """Return a server's response time and its age; None where it is unknown or too old."""
        received = self.response_times.get(server)
        if received is None or now - received.arrived_at >= VIEW_MAX_AGE:
            return None
        age = now - received.measured_at
        return AgedResponseTime(float(received.response_time), age) if age < RESPONSE_TIME_MAX_AGE else None


class ViewSelection:
    """The views that one router has received, by aggregator, and the selection among them."""

    def __init__(self) -> None:
        self._views: dict[int, _ReceivedView] = {}

    def receive(self, view: ViewPart, now: int) -> bool:
        """Add a part of an aggregator's view; returns False where it is a duplicate or a replay."""
        return self._views.setdefault(view.aggregator, _ReceivedView()).add(view, now)

    def has_fresh(self, now: int) -> bool:
        """Whether at least one view is fresh."""
        return any(view.is_fresh(now) for view in self._views.values())

    def max_reporters(self, now: int) -> int:
        """Return the largest number of reporters of a fresh view; 0 without a fresh view."""
        return max((view.reporters for view in self._views.values() if view.is_fresh(now)), default=0)

    def snapshot(
        self, chosen: Sequence[int], names: Mapping[int, str], own: OwnLoad, now: int
    ) -> LoadSnapshot | None:
        """Return the load snapshot for the routing policy; None without a fresh view.

        `chosen`: the aggregators in use; `names`: listed servers by hash.
        """
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
        """Return at most two views that are fresh or have usable shares, preferably of aggregators in use.

        A view with too few reporters compared to a fresh one is left out. A view counts as having no more
        reporters than there are routers present. Otherwise a false view could exclude the other one.
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
    """Return a server's response time from at most two views and this router's own sample."""
    if len(votes) < 2 and own is not None and own.age < OWN_MAX_AGE:
        return own
    if not votes:
        return None
    if len(votes) == 2 and own is not None and own.age < OWN_VOTE_MAX_AGE:
        votes = [*votes, own]
    ordered = sorted(votes)
    return ordered[(len(ordered) - 1) // 2]


def select_requests(counts: Sequence[int], own: OwnLoad) -> float:
    """Return all routers' requests from one or two views, and at least this router's own."""
    selected = counts[0] if len(counts) == 1 else sorted([*counts, own.requests * own.routers])[1]
    return max(float(selected), own.requests)


def select_shares(shares: Sequence[Mapping[int, float]], own: OwnLoad, requests: float) -> dict[int, float]:
    """Return slots' shares from one or two views, and at least this router's own fraction of all requests.

    A view whose shares were lost in transit is ignored.
    """
    known = [view_shares for view_shares in shares if view_shares]
    selected = {}
    for slot, share in known[0].items() if known else ():
        selected[slot] = min(share, *(view_shares.get(slot, 0.0) for view_shares in known[1:]), share)
    for slot, count in own.slots.items():
        if requests:
            selected[slot] = max(selected.get(slot, 0.0), count / requests)
    return selected
