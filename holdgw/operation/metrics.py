"""The router's metrics: counters since its start and gauges, as text for a scraper.

The text is in the Prometheus exposition format, version 0.0.4. The `lb_...` names occur only in this module.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum
from typing import NamedTuple

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class Disposition(Enum):
    """How a request ended."""

    SUCCEEDED = "succeeded"
    DECLINED = "declined"
    """Rejected, without effect."""
    ABORTED = "aborted"
    """Failed."""


class BrokenValueOutcome(Enum):
    """What became of a streamed value that broke off after its client got a part of it."""

    RESUMED = "resumed"
    """Another endpoint's value completed the answer."""
    DIFFERED = "differed"
    """Another endpoint's value was not the same, and the client's connection was closed."""
    ABANDONED = "abandoned"
    """No other endpoint gave the value in time, and the client's connection was closed."""


class PeerMetrics(NamedTuple):
    """The metrics of a router as a member of the membership."""

    members: Mapping[str, int]
    """The number of routers by membership state."""
    load_view: Mapping[str, int]
    """The numbers of routers and requests that the load view is based on, and of endpoints in it."""
    dropped: Mapping[str, int]
    """Datagrams that were not read or not sent, by reason."""
    aggregation: Mapping[str, int]
    """The state of aggregation at this member."""
    payload_bytes: Mapping[str, int]
    """Payload bytes of datagrams by direction."""


class Metrics:
    """The router's counters, updated where an answer is given or an attempt is made."""

    def __init__(self, classes: Iterable[str], disabled_features: Iterable[str] = ()) -> None:
        """`classes`: names of the request classes; `disabled_features`: those that the settings disable."""
        self.results = {(name, disposition): 0 for name in classes for disposition in Disposition}
        self.forwards = 0
        """Attempts written completely to endpoints, the origin included."""
        self.broken_values = dict.fromkeys(BrokenValueOutcome, 0)
        self.reloads_applied = 0
        self.reloads_rejected = 0
        self.disabled_features = tuple(disabled_features)

    def count_answer(self, request_class: str, disposition: Disposition) -> None:
        """Count a request's final answer; ignored for a request class that the settings don't name."""
        key = request_class, disposition
        if key in self.results:
            self.results[key] += 1

    def counts(self) -> dict[str, list[int]]:
        """The final answers of each request class, in Disposition's order, to send to another process."""
        rows: dict[str, list[int]] = {}
        for (name, _), count in self.results.items():
            rows.setdefault(name, []).append(count)
        return rows

    def add(self, counts: dict[str, list[int]], forwards: int) -> None:
        """Add the counts of another process of this router."""
        for name, row in counts.items():
            for disposition, count in zip(Disposition, row, strict=True):
                self.results[name, disposition] += count
        self.forwards += forwards

    def text(
        self,
        outstanding: int,
        discovered: int,
        ejected: int,
        peers: PeerMetrics | None = None,
        rebalancing: Mapping[str, float] | None = None,
    ) -> bytes:
        """Write all metrics in the exposition format.

        `outstanding`: unanswered requests; `discovered`, `ejected`: numbers of cache servers; `rebalancing`:
        numbers of donors and receivers, and the lowest slot retention.
        """
        lines = self._result_lines()
        lines += _metric("forwards", "counter", self.forwards)
        lines += _metric("outstanding", "gauge", outstanding)
        lines += _metric("discovered", "gauge", discovered)
        lines += _metric("ejected", "gauge", ejected)
        broken_values = {outcome.value: count for outcome, count in self.broken_values.items()}
        lines += _labelled("broken_values", "counter", "outcome", broken_values)
        lines += _metric("sighup_applied", "counter", self.reloads_applied)
        lines += _metric("sighup_rejected", "counter", self.reloads_rejected)
        if peers is not None:
            lines += _labelled("peers", "gauge", "state", peers.members)
            lines += _labelled("peers_dropped", "counter", "why", peers.dropped)
            lines += _labelled("picture", "gauge", "of", peers.load_view)
        if rebalancing is not None:
            lines += _labelled("levels", "gauge", "of", rebalancing)
        if peers is not None:
            lines += _labelled("view", "gauge", "of", peers.aggregation)
            lines += _labelled("peer_bytes", "counter", "way", peers.payload_bytes)
        lines += _labelled("off", "gauge", "part", dict.fromkeys(self.disabled_features, 1))
        return "\n".join([*lines, ""]).encode()

    def _result_lines(self) -> list[str]:
        lines = ["# TYPE lb_results counter"]
        for (name, disposition), count in self.results.items():
            escaped = name.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
            lines.append(f'lb_results{{service="{escaped}",disposition="{disposition.value}"}} {count}')
        return lines


def worker_count_text(serving: int) -> bytes:
    """The metric of how many worker processes can serve, to append to a supervisor's text."""
    return "\n".join([*_metric("workers", "gauge", serving), ""]).encode()


def _metric(name: str, kind: str, value: int) -> list[str]:
    return [f"# TYPE lb_{name} {kind}", f"lb_{name} {value}"]


def _labelled(name: str, kind: str, label: str, values: Mapping[str, float]) -> list[str]:
    """One metric with a sample for each value of its label; nothing if there are no samples."""
    if not values:
        return []
    rows = [f'lb_{name}{{{label}="{label_value}"}} {value}' for label_value, value in values.items()]
    return [f"# TYPE lb_{name} {kind}", *rows]
