"""What many routers' load reports say together, against false ones; pure.

Bounds:

- A reporter moves a server's wait by one rank among the samples of all, and its requests count for at most
  MAX_MEDIAN_RATIO times the median reporter's and MAX_ROUTER_SHARE of all.
- What one aggregator forwarded weighs, for a server's wait and for slots' shares, at most half as much as all
  the rest, where that is direct reports or those of two others. So a lying one moves a server's wait no
  further than to the lower or the upper quartile of the rest's samples.
- It raises a slot's share to MAX_SLOT_RATIO times the share among the rest, or MIN_SLOT_SHARE, at the most.
- Those whose reports it forwarded count for between half and twice as many requests as the rest's mean
  reporter each: the requests in all stay within half and twice what the rest say.
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

SAMPLE_MAX_AGE = 3 * NS_PER_S  # from which on a sample is ignored
YOUNG = NS_PER_S // 2  # samples of a server younger than this count alone, where there are enough
ENOUGH = 7  # samples, whose median stands against three false ones
FEWEST = 3  # the same, against a single one
MAX_MEDIAN_RATIO = 8.0
FORWARDER_WEIGHT = 0.5  # of the rest's, the most that one forwarder's reports weigh
MAX_SLOT_RATIO = 2.0
MAX_MEAN_RATIO = 2.0  # of the rest's mean reporter to those that one aggregator forwarded, either way
MIN_SLOT_SHARE = 0.005
ROUNDING = 1e-9  # of sums of weights: two sides that weigh the same are to come out as a tie
DIRECT = -1
LOUDEST = -2
"""In the place of a forwarder's number: direct reports, and the one of these that counts most requests."""


class MergedLoad(NamedTuple):
    """What all reporters say together."""

    response_times: tuple[ServerSample, ...]
    """By server the medians of the samples' waits and ages; the most sampled servers first."""
    slot_shares: Mapping[int, float]
    """Of all requests, the largest first."""
    requests: int
    """Of all reporters, with decay."""
    reporters: int


class _Vote(NamedTuple):
    """One reporter's sample of a server."""

    response_time: int
    age: int
    forwarder: int


@dataclass(slots=True)
class _SourceCounts:
    """Requests by the reports of one source."""

    reports: int = 0
    requests: float = 0.0
    slots: dict[int, float] = field(default_factory=lambda: defaultdict(float))


def merge(reports: Sequence[ReceivedReport]) -> MergedLoad:
    """Merge reports, one of each reporter."""
    weights = _count_weights(reports)
    counts: dict[int, _SourceCounts] = defaultdict(_SourceCounts)
    loudest = _loudest([weight * one.report.requests for one, weight in zip(reports, weights, strict=True)])
    for place, (one, weight) in enumerate(zip(reports, weights, strict=True)):
        source = counts[LOUDEST if place == loudest and one.direct else _forwarder(one)]
        source.reports += 1
        source.requests += weight * one.report.requests
        for slot, count in one.report.slots.items():
            # No more of a slot than the reporter's requests in all.
            source.slots[slot] += weight * min(count, one.report.requests)
    requests = sum(_bounded_requests(forwarder, counts) for forwarder in counts)
    return MergedLoad(_merge_response_times(reports), _merge_slots(counts), round(requests), len(reports))


def _bounded_requests(forwarder: int, counts: Mapping[int, _SourceCounts]) -> float:
    """What a source's reporters count for in all requests.

    The loudest reporter is no measure for the others.
    """
    source = counts[forwarder]
    rest = [one for who, one in counts.items() if who not in (forwarder, LOUDEST)]
    reports = sum(one.reports for one in rest)
    if forwarder < 0 or not reports:
        return source.requests
    expected = source.reports * sum(one.requests for one in rest) / reports
    return min(max(source.requests, expected / MAX_MEAN_RATIO), expected * MAX_MEAN_RATIO)


def _forwarder(received: ReceivedReport) -> int:
    return DIRECT if received.direct else received.source


def _loudest(counted: Sequence[float]) -> int:
    """The place of the largest count; -1 where there is none."""
    return max(range(len(counted)), key=counted.__getitem__, default=-1)


def _count_weights(reports: Sequence[ReceivedReport]) -> list[float]:
    """By report: the weight of its counts, by age and by the bounds on one reporter."""
    if not reports:
        return []
    by_forwarder = _forwarder_weights(Counter([_forwarder(one) for one in reports]))
    weighted_requests = sorted((one.report.requests, by_forwarder[_forwarder(one)]) for one in reports)
    bound = max(_weighted_middle(weighted_requests) * MAX_MEDIAN_RATIO, MIN_OTHER_REQUESTS)
    weights = []
    for one in reports:
        decay = math.pow(0.5, one.age / NS_PER_S / COUNT_HALF_LIFE_S)
        weights.append(decay * min(1.0, bound / max(one.report.requests, 1)))
    counted = [weight * one.report.requests for weight, one in zip(weights, reports, strict=True)]
    loudest = _loudest(counted)
    others = max(sum(counted) - counted[loudest], MIN_OTHER_REQUESTS)
    allowed = others * MAX_ROUTER_SHARE / (1.0 - MAX_ROUTER_SHARE)
    if counted[loudest] > allowed:
        weights[loudest] *= allowed / counted[loudest]
    return weights


def _merge_response_times(reports: Sequence[ReceivedReport]) -> tuple[ServerSample, ...]:
    votes: dict[int, list[_Vote]] = defaultdict(list)
    _add_votes(votes, [one for one in reports if one.age <= YOUNG], frozenset())
    # Older reports count for servers that have too few votes without them: for none at 760 reporters.
    settled = {server for server, cast in votes.items() if _has_enough(cast)}
    _add_votes(votes, [one for one in reports if one.age > YOUNG], settled)
    servers = sorted(votes, key=lambda server: (-len(votes[server]), server))
    return tuple(_median(server, _young_samples(votes[server])) for server in servers)


def _add_votes(
    votes: dict[int, list[_Vote]], reports: Sequence[ReceivedReport], settled: Collection[int]
) -> None:
    for one in reports:
        forwarder = _forwarder(one)
        samples = one.report.samples
        latest = {
            server: (response_time, age) for server, response_time, age in samples if server not in settled
        }  # one vote each
        for server, (response_time, age) in latest.items():
            # The largest age that a report can hold stands for every larger one, too.
            if age < MAX_AGE and age + one.age < SAMPLE_MAX_AGE:
                votes[server].append(_Vote(response_time, age + one.age, forwarder))


def _has_enough(votes: list[_Vote]) -> bool:
    """Whether ENOUGH direct votes are younger than YOUNG."""
    return sum(one.forwarder == DIRECT and one.age <= YOUNG for one in votes) >= ENOUGH


def _young_samples(samples: list[_Vote]) -> list[_Vote]:
    """Those younger than YOUNG, and older ones until ENOUGH direct ones, or most of them, are there.

    All where none is direct. So whatever ages a forwarder claims, others are left to vote beside it.
    """
    ages = sorted(one.age for one in samples if one.forwarder == DIRECT)
    if not ages:
        return samples
    # Of three, half and one more would be two, of which the lower counts: a false one that claims to be the
    # youngest would decide alone.
    last = min(max(len(ages) // 2, FEWEST - 1), ENOUGH - 1, len(ages) - 1)
    horizon = max(YOUNG, ages[last])
    return [one for one in samples if one.age <= horizon]


def _median(server: int, votes: list[_Vote]) -> ServerSample:
    """The medians of waits and of ages by the same weights.

    Of two in the middle the lower wait, the greater age.
    """
    weights = _forwarder_weights(Counter([one.forwarder for one in votes]))
    if min(weights.values()) == 1.0:
        middle = (len(votes) - 1) // 2
        age = sorted([one.age for one in votes], reverse=True)[middle]
        return ServerSample(server, sorted([one.response_time for one in votes])[middle], age)
    response_times = sorted((one.response_time, weights[one.forwarder]) for one in votes)
    ages = sorted(((one.age, weights[one.forwarder]) for one in votes), reverse=True)
    return ServerSample(server, _weighted_middle(response_times), _weighted_middle(ages))


def _weighted_middle(values: list[tuple[int, float]]) -> int:
    """Of values in order, each with its weight, the first that half of the weight is at or before."""
    half = sum(weight for _, weight in values) / 2
    passed = 0.0
    for value, weight in values:
        passed += weight
        if passed >= half * (1.0 - ROUNDING):
            return value
    return values[-1][0]


def _forwarder_weights(amounts: Mapping[int, float]) -> dict[int, float]:
    """By forwarder: the weight of each of its votes, where it gave so much in all."""
    bound = _forwarder_bound(amounts)
    return {
        forwarder: min(1.0, bound / amount) if forwarder >= 0 and amount > 0 else 1.0
        for forwarder, amount in amounts.items()
    }


def _forwarder_bound(amounts: Mapping[int, float]) -> float:
    """The most that a forwarder's votes may weigh together, so that none outweighs half of the rest.

    With a single source there is no rest, and with two forwarders alone both weigh the same.
    """
    forwarded = sorted((amount for one, amount in amounts.items() if one >= 0), reverse=True)
    first, second, third = (*forwarded, 0.0, 0.0, 0.0)[:3]
    rest = sum(amounts.values()) - first
    if not rest:
        return first
    bound = FORWARDER_WEIGHT * rest
    if second <= bound:
        return bound
    # Two are over it: each at most half of the other, at the bound too, and of what remains.
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
    found: dict[int, float] = defaultdict(float)
    for forwarder, source in counts.items():
        rest = all_requests - source.requests
        for slot, count in source.slots.items():
            if forwarder == LOUDEST:
                # Its bound was worked out from all that others count, of which a forwarder's part may weigh
                # less.
                count = min(count, MAX_ROUTER_SHARE * requests)
            elif forwarder != DIRECT and rest > 0:
                share = MAX_SLOT_RATIO * (totals[slot] - count) / rest
                count = min(count, source.requests * max(share, MIN_SLOT_SHARE))
            found[slot] += weights[forwarder] * count / requests
    return dict(sorted(found.items(), key=lambda one: (-one[1], one[0])))
