"""Merges the load reports of many routers, and bounds the effect of false ones; pure.

Bounds:

- A reporter moves a server's response time by one rank among all samples. Its requests count for at most
  MAX_MEDIAN_RATIO times the median reporter's, and for at most MAX_ROUTER_SHARE of all requests.
- The reports that one aggregator forwarded weigh, for response times and slots' shares, at most half as much
  as the other reports, where these are direct or forwarded by two other aggregators. A lying aggregator thus
  moves a server's response time no further than to the lower or upper quartile of the other samples.
- A lying aggregator raises a slot's share to at most MAX_SLOT_RATIO times the share among the other reports,
  or to MIN_SLOT_SHARE.
- Each reporter whose report an aggregator forwarded counts on average for between half and twice the requests
  of the mean other reporter. All requests thus stay between half and twice what the other reports imply.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from holdgw.peers.heavy_hitters import COUNT_HALF_LIFE_S
from holdgw.peers.load_encoding import MAX_AGE, ServerSample
from holdgw.peers.load_view import MAX_ROUTER_SHARE, MIN_OTHER_REQUESTS
from holdgw.peers.report_table import ReceivedReport
from holdgw.peers.timing import NS_PER_S

SAMPLE_MAX_AGE = 3 * NS_PER_S  # older samples are ignored
YOUNG_AGE = NS_PER_S // 2  # samples younger than this count alone, where a server has MIN_YOUNG_VOTES of them
MIN_YOUNG_VOTES = 7  # samples; their median withstands three false ones
MIN_VOTES = 3  # samples; their median withstands one false one
MAX_MEDIAN_RATIO = 8.0  # largest ratio of one reporter's requests to the median reporter's
FORWARDER_WEIGHT = 0.5  # largest ratio of the weight of one forwarder's reports to that of the others
MAX_SLOT_RATIO = 2.0  # largest ratio of a slot's share in forwarded reports to that in the others
MAX_MEAN_RATIO = 2.0  # bound, both ways, on the mean requests of forwarded reporters to that of the others
MIN_SLOT_SHARE = 0.005
WEIGHT_TOLERANCE = 1e-9  # relative rounding error of sums of weights, within which two sums count as equal
DIRECT = -1
LARGEST_DIRECT = -2
"""Used in place of a forwarder's number: direct reports, and the direct report that counts most requests."""


class MergedLoad(NamedTuple):
    """The merged load reports of all reporters."""

    response_times: tuple[ServerSample, ...]
    """By server the medians of the samples' response times and ages, the servers with most samples first."""
    slot_shares: Mapping[int, float]
    """Fractions of all requests by slot, the largest first."""
    requests: int
    """Decayed number of all reporters' requests."""
    reporters: int


class _Vote(NamedTuple):
    """One reporter's sample of a server, with its forwarder or DIRECT. Times are ns."""

    response_time: int
    age: int
    forwarder: int


@dataclass(slots=True)
class _SourceCounts:
    """Number of reports from one source, and the weighted requests that they count."""

    reports: int = 0
    requests: float = 0.0
    slots: dict[int, float] = field(default_factory=lambda: defaultdict(float))


def merge(reports: Sequence[ReceivedReport]) -> MergedLoad:
    """Merge reports, one from each reporter."""
    weights = _count_weights(reports)
    counts: dict[int, _SourceCounts] = defaultdict(_SourceCounts)
    largest = _index_of_max(
        [weight * received.report.requests for received, weight in zip(reports, weights, strict=True)]
    )
    for index, (received, weight) in enumerate(zip(reports, weights, strict=True)):
        source = counts[LARGEST_DIRECT if index == largest and received.direct else _forwarder(received)]
        source.reports += 1
        source.requests += weight * received.report.requests
        for slot, count in received.report.slots.items():
            # A slot's count is bounded by the reporter's total.
            source.slots[slot] += weight * min(count, received.report.requests)
    requests = sum(_bounded_requests(forwarder, counts) for forwarder in counts)
    return MergedLoad(_merge_response_times(reports), _merge_slots(counts), round(requests), len(reports))


def _bounded_requests(forwarder: int, counts: Mapping[int, _SourceCounts]) -> float:
    """Return the requests that a source's reporters count for in the total.

    LARGEST_DIRECT is not representative of other reporters, and left out of the mean that bounds them.
    """
    source = counts[forwarder]
    other_sources = [other for number, other in counts.items() if number not in (forwarder, LARGEST_DIRECT)]
    reports = sum(other.reports for other in other_sources)
    if forwarder < 0 or not reports:
        return source.requests
    expected = source.reports * sum(other.requests for other in other_sources) / reports
    return min(max(source.requests, expected / MAX_MEAN_RATIO), expected * MAX_MEAN_RATIO)


def _forwarder(received: ReceivedReport) -> int:
    return DIRECT if received.direct else received.source


def _index_of_max(values: Sequence[float]) -> int:
    """Return the index of the largest value; -1 where there is none."""
    return max(range(len(values)), key=values.__getitem__, default=-1)


def _count_weights(reports: Sequence[ReceivedReport]) -> list[float]:
    """Return the weight of each report's counts, by age and by the bounds on one reporter."""
    if not reports:
        return []
    forwarder_weights = _forwarder_weights(Counter([_forwarder(received) for received in reports]))
    weighted_requests = sorted(
        (received.report.requests, forwarder_weights[_forwarder(received)]) for received in reports
    )
    bound = max(_weighted_median(weighted_requests) * MAX_MEDIAN_RATIO, MIN_OTHER_REQUESTS)
    weights = []
    for received in reports:
        decay = math.pow(0.5, received.age / NS_PER_S / COUNT_HALF_LIFE_S)
        weights.append(decay * min(1.0, bound / max(received.report.requests, 1)))
    counted_requests = [
        weight * received.report.requests for weight, received in zip(weights, reports, strict=True)
    ]
    largest = _index_of_max(counted_requests)
    other_requests = max(sum(counted_requests) - counted_requests[largest], MIN_OTHER_REQUESTS)
    allowed = other_requests * MAX_ROUTER_SHARE / (1.0 - MAX_ROUTER_SHARE)
    if counted_requests[largest] > allowed:
        weights[largest] *= allowed / counted_requests[largest]
    return weights


def _merge_response_times(reports: Sequence[ReceivedReport]) -> tuple[ServerSample, ...]:
    votes: dict[int, list[_Vote]] = defaultdict(list)
    _add_votes(votes, [received for received in reports if received.age <= YOUNG_AGE], frozenset())
    # Older reports count only for servers that have too few votes without them; with 760 reporters there are
    # no such servers.
    skipped = {server for server, server_votes in votes.items() if _has_enough(server_votes)}
    _add_votes(votes, [received for received in reports if received.age > YOUNG_AGE], skipped)
    servers = sorted(votes, key=lambda server: (-len(votes[server]), server))
    return tuple(_median(server, _young_votes(votes[server])) for server in servers)


def _add_votes(
    votes: dict[int, list[_Vote]], reports: Sequence[ReceivedReport], skipped: Collection[int]
) -> None:
    """Add the reports' samples to the votes by server, except those of the `skipped` servers."""
    for received in reports:
        forwarder = _forwarder(received)
        samples = received.report.samples
        latest = {
            server: (response_time, age) for server, response_time, age in samples if server not in skipped
        }  # at most one vote of a report for each server
        for server, (response_time, age) in latest.items():
            # The largest age that a report can hold also stands for every older sample.
            if age < MAX_AGE and age + received.age < SAMPLE_MAX_AGE:
                votes[server].append(_Vote(response_time, age + received.age, forwarder))


def _has_enough(votes: list[_Vote]) -> bool:
    """Whether at least MIN_YOUNG_VOTES direct votes are no older than YOUNG_AGE."""
    return sum(vote.forwarder == DIRECT and vote.age <= YOUNG_AGE for vote in votes) >= MIN_YOUNG_VOTES


def _young_votes(votes: list[_Vote]) -> list[_Vote]:
    """Return the votes no older than YOUNG_AGE, and older ones until they include enough direct ones.

    Enough are MIN_YOUNG_VOTES direct votes, or more than half of all direct votes. All votes are returned
    where none is direct. Whatever ages a forwarder claims, votes of others thus remain beside its own.
    """
    ages = sorted(vote.age for vote in votes if vote.forwarder == DIRECT)
    if not ages:
        return votes
    # More than half of three votes are two, of which the lower is the median. A false vote that claims to be
    # the youngest would then decide alone, hence MIN_VOTES.
    last = min(max(len(ages) // 2, MIN_VOTES - 1), MIN_YOUNG_VOTES - 1, len(ages) - 1)
    max_age = max(YOUNG_AGE, ages[last])
    return [vote for vote in votes if vote.age <= max_age]


def _median(server: int, votes: list[_Vote]) -> ServerSample:
    """Return the weighted medians of response times and of ages.

    Where two are in the middle, it is the lower response time and the greater age.
    """
    weights = _forwarder_weights(Counter([vote.forwarder for vote in votes]))
    if min(weights.values()) == 1.0:
        middle = (len(votes) - 1) // 2
        age = sorted([vote.age for vote in votes], reverse=True)[middle]
        return ServerSample(server, sorted([vote.response_time for vote in votes])[middle], age)
    response_times = sorted((vote.response_time, weights[vote.forwarder]) for vote in votes)
    ages = sorted(((vote.age, weights[vote.forwarder]) for vote in votes), reverse=True)
    return ServerSample(server, _weighted_median(response_times), _weighted_median(ages))


def _weighted_median(values: list[tuple[int, float]]) -> int:
    """Return the first value at which the sum of weights reaches half; `values`: sorted (value, weight)."""
    half = sum(weight for _, weight in values) / 2
    cumulative_weight = 0.0
    for value, weight in values:
        cumulative_weight += weight
        if cumulative_weight >= half * (1.0 - WEIGHT_TOLERANCE):
            return value
    return values[-1][0]


def _forwarder_weights(amounts: Mapping[int, float]) -> dict[int, float]:
    """Return the weight of each vote by forwarder; `amounts`: the sum of votes or requests by forwarder."""
    bound = _forwarder_bound(amounts)
    return {
        forwarder: min(1.0, bound / amount) if forwarder >= 0 and amount > 0 else 1.0
        for forwarder, amount in amounts.items()
    }


def _forwarder_bound(amounts: Mapping[int, float]) -> float:
    """Return the largest weight of a forwarder's votes together, at which none exceeds half of the others'.

    A single source has no others to compare with; of two forwarders without direct votes both weigh the same.
    """
    forwarded = sorted((amount for number, amount in amounts.items() if number >= 0), reverse=True)
    first, second, third = (*forwarded, 0.0, 0.0, 0.0)[:3]
    rest = sum(amounts.values()) - first
    if not rest:
        return first
    bound = FORWARDER_WEIGHT * rest
    if second <= bound:
        return bound
    # Two forwarders exceed the bound. Each may weigh half of the remainder plus the other one, whose weight
    # is at the same bound; hence the bound equals the remainder.
    return max(rest - second, third) or second


def _merge_slots(counts: Mapping[int, _SourceCounts]) -> dict[int, float]:
    weights = _forwarder_weights({forwarder: source.requests for forwarder, source in counts.items()})
    requests = sum(weights[forwarder] * source.requests for forwarder, source in counts.items())
    if not requests:
        return {}
    totals: dict[int, float] = defaultdict(float)
    for source in counts.values():
        for slot, count in source.slots.items():
            totals[slot] += count
    all_requests = sum(source.requests for source in counts.values())
    shares: dict[int, float] = defaultdict(float)
    for forwarder, source in counts.items():
        other_requests = all_requests - source.requests
        for slot, count in source.slots.items():
            if forwarder == LARGEST_DIRECT:
                # Its weight was derived from all requests of the others, before forwarders' parts were
                # reduced.
                count = min(count, MAX_ROUTER_SHARE * requests)
            elif forwarder != DIRECT and other_requests > 0:
                share = MAX_SLOT_RATIO * (totals[slot] - count) / other_requests
                count = min(count, source.requests * max(share, MIN_SLOT_SHARE))
            shares[slot] += weights[forwarder] * count / requests
    return dict(sorted(shares.items(), key=lambda item: (-item[1], item[0])))
