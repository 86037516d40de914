"""Interval counters of all routers of a fleet, merged by time from the text of their logs. No I/O."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field
from heapq import nlargest
from typing import NamedTuple

import msgspec

from holdgw.operation.interval_counters import IntervalRecord, parse_log_line


def _add(sums: dict[str, float], amounts: Mapping[str, float]) -> None:
    for name, amount in amounts.items():
        sums[name] += amount


@dataclass
class Interval:
    """The sums over all routers for one interval."""

    start_s: float
    """Seconds after the first record of any router."""
    routers: set[str] = field(default_factory=set)
    counts: dict[str, float] = field(default_factory=lambda: defaultdict(float))
    states: dict[str, float] = field(default_factory=lambda: defaultdict(float))
    endpoints: dict[str, list[int]] = field(default_factory=dict)
    """By endpoint id: all attempts, attempts answered late, attempts without a usable answer."""
    fetched_keys: Counter[int] = field(default_factory=Counter)
    last_states: dict[str, Mapping[str, float]] = field(default_factory=dict)
    """Each router's last logged states of the interval."""

    def busiest(self, count: int) -> list[tuple[str, list[int]]]:
        """The endpoints with the most attempts."""
        return nlargest(count, self.endpoints.items(), key=lambda item: item[1][0])

    def add(self, router: str, record: IntervalRecord) -> None:
        """Add a record of a router."""
        self.routers.add(router)
        _add(self.counts, record.counts)
        self.last_states[router] = record.states
        for name, row in record.endpoints.items():
            sums = self.endpoints.setdefault(name, [0] * len(row))
            self.endpoints[name] = [a + b for a, b in zip(sums, row, strict=True)]
        self.fetched_keys.update(record.fetched_keys)

    def derive(self) -> None:
        """Sum the states and compute the fleet-wide values; called once, after all records are added."""
        for states in self.last_states.values():
            _add(self.states, states)
        # Fetches of keys that another router, or the same one, had already fetched in this interval.
        self.counts["fetched twice"] = self.fetched_keys.total() - len(self.fetched_keys)
        attempts = [row[0] for row in self.endpoints.values()]
        if attempts:
            self.states["busiest server / mean"] = max(attempts) * len(attempts) / max(sum(attempts), 1)


class _RouterRecord(NamedTuple):
    router: str
    record: IntervalRecord


class FleetLog:
    """The merged logs of a fleet; routers' logs may be read in any order."""

    def __init__(self, interval_s: float) -> None:
        """`interval_s`: length of an interval, seconds."""
        self._interval_s = interval_s
        self._records: list[_RouterRecord] = []
        self._intervals: dict[float, Interval] | None = None
        self.malformed_lines = 0
        """Lines with a record's prefix that can't be decoded."""

    def read(self, router: str, text: str) -> None:
        """Read the log of one router; lines without a record are ignored."""
        for line in text.splitlines():
            try:
                record = parse_log_line(line)
            except msgspec.DecodeError:
                self.malformed_lines += 1
                continue
            if record is not None:
                self._records.append(_RouterRecord(router, record))
        self._intervals = None

    @property
    def intervals(self) -> dict[float, Interval]:
        """The intervals by start time, seconds after the first record."""
        if self._intervals is None:
            self._intervals = self._merge()
        return self._intervals

    def _merge(self) -> dict[float, Interval]:
        first_s = min((entry.record.time_s for entry in self._records), default=0.0)
        merged: dict[float, Interval] = {}
        for router, record in self._records:
            start_s = (record.time_s - first_s) // self._interval_s * self._interval_s
            merged.setdefault(start_s, Interval(start_s)).add(router, record)
        for interval in merged.values():
            interval.derive()
        return merged

    def totals(self) -> dict[str, float]:
        """All counts summed over all intervals, by name."""
        sums: dict[str, float] = defaultdict(float)
        for interval in self.intervals.values():
            _add(sums, interval.counts)
        return dict(sorted(sums.items()))

    def state_names(self) -> list[str]:
        """The names of the states that were nonzero in some interval."""
        intervals = self.intervals.values()
        return sorted({name for interval in intervals for name, value in interval.states.items() if value})
