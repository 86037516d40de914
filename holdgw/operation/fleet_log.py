"""Routers' tallies, merged by time over a whole fleet. No I/O: text goes in."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field
from heapq import nlargest
from typing import Any

import orjson

from holdgw.operation.interval_counters import LOG_LINE_PREFIX


def _add(sums: dict[str, float], more: Mapping[str, float]) -> None:
    for name, much in more.items():
        sums[name] += much


@dataclass
class Second:
    """What all routers together did in one step; `at` seconds after the first tally of all."""

    at: float
    routers: set[str] = field(default_factory=set)
    counts: dict[str, float] = field(default_factory=lambda: defaultdict(float))
    states: dict[str, float] = field(default_factory=lambda: defaultdict(float))
    servers: dict[str, list[int]] = field(default_factory=dict)
    fetched: Counter[int] = field(default_factory=Counter)

    def busiest(self, count: int) -> list[tuple[str, list[int]]]:
        """The servers that were sent most: attempts, those late, those without an answer."""
        return nlargest(count, self.servers.items(), key=lambda item: item[1][0])


class FleetLog:
    """Takes logs in, any order of routers; a line that can't be read is counted and passed over."""

    def __init__(self, step: float) -> None:
        """`step`: seconds to a row."""
        self._step = step
        self._lines: list[tuple[str, dict[str, Any]]] = []
        self._seconds: dict[float, Second] | None = None
        self.unread = 0

    def read(self, router: str, text: str) -> None:
        """Take the log of one router."""
        for line in text.splitlines():
            _, mark, told = line.partition(LOG_LINE_PREFIX)
            if not mark:
                continue
            try:
                tally = orjson.loads(told)
                float(tally["t"]), tally["counts"].items(), tally["states"].items()
            except (ValueError, KeyError, TypeError, AttributeError):
                self.unread += 1
                continue
            self._lines.append((router, tally))
        self._seconds = None

    @property
    def seconds(self) -> dict[float, Second]:
        """The steps, by their beginnings."""
        if self._seconds is None:
            self._seconds = self._merge()
        return self._seconds

    def _merge(self) -> dict[float, Second]:
        first = min((tally["t"] for _, tally in self._lines), default=0.0)
        merged: dict[float, Second] = {}
        told: dict[float, dict[str, dict[str, float]]] = {}
        for router, tally in self._lines:
            at = (tally["t"] - first) // self._step * self._step
            second = merged.setdefault(at, Second(at))
            second.routers.add(router)
            _add(second.counts, tally["counts"])
            told.setdefault(at, {})[router] = tally["states"]  # the last one of a step stands
            for name, met in tally.get("servers", {}).items():
                held = second.servers.setdefault(name, [0] * len(met))
                second.servers[name] = [a + b for a, b in zip(held, met, strict=True)]
            second.fetched.update(tally.get("fetched", ()))
        for at, second in merged.items():
            for states in told[at].values():
                _add(second.states, states)
            # Fetches of a key that some router fetched in the same step already.
            second.counts["fetched twice"] = second.fetched.total() - len(second.fetched)
            loads = [met[0] for met in second.servers.values()]
            if loads:
                second.states["busiest server / mean"] = max(loads) * len(loads) / max(sum(loads), 1)
        return merged

    def totals(self) -> dict[str, float]:
        """All counts of the whole play, by name."""
        sums: dict[str, float] = defaultdict(float)
        for second in self.seconds.values():
            _add(sums, second.counts)
        return dict(sorted(sums.items()))

    def state_names(self) -> list[str]:
        """The states that were ever other than 0."""
        seconds = self.seconds.values()
        return sorted({name for second in seconds for name, value in second.states.items() if value})
