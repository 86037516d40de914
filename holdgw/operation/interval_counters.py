"""Interval counters: what a router did in each second, logged as a line of JSON for `holdgw fleet-log`.

Off unless HOLDGW_TALLY is set, as each line takes a kilobyte or two. The set of counted names is bounded:
outcomes, reasons and listed endpoints. Keys are logged as short hashes, at most MAX_KEYS in a line.
"""

from __future__ import annotations

from zlib import crc32

import msgspec
import orjson

LOG_LINE_PREFIX = "tally "
"""Begins the record in its log line, after whatever the log's formatter puts before it."""
MAX_KEYS = 64


class IntervalRecord(msgspec.Struct, frozen=True):
    """The record of one line: the counts since the previous line, and states as of the line's time."""

    time_s: float = msgspec.field(name="t")
    """Unix time, seconds."""
    counts: dict[str, float]
    states: dict[str, float | bool]
    endpoints: dict[str, list[int]] = msgspec.field(name="servers", default_factory=dict)
    """By endpoint id: all attempts, attempts answered late, attempts without a usable answer."""
    fetched_keys: list[int] = msgspec.field(name="fetched", default_factory=list)
    """The CRC-32 of each key fetched from the origin."""


def parse_log_line(line: str) -> IntervalRecord | None:
    """Decode the record of a log line; None if the line has none. Raises msgspec.DecodeError."""
    _, prefix, record = line.partition(LOG_LINE_PREFIX)
    return msgspec.json.decode(record, type=IntervalRecord) if prefix else None


class IntervalCounters:
    """Counts events since the last logged line."""

    def __init__(self) -> None:
        self._counts: dict[str, float] = {}
        self._endpoints: dict[str, list[int]] = {}
        self._fetched_key_hashes: list[int] = []
        self._running_totals: dict[str, float] = {}

    def add(self, name: str, amount: float = 1) -> None:
        """Add to a count."""
        self._counts[name] = self._counts.get(name, 0) + amount

    def add_growth(self, name: str, total: float) -> None:
        """Add the increase of a running total since the last call for this name."""
        self.add(name, total - self._running_totals.get(name, 0))
        self._running_totals[name] = total

    def count_client_request(self, is_retry: bool, tight_deadline: bool) -> None:
        """Count a client's request.

        `is_retry`: marked as a retry; `tight_deadline`: its deadline is nearer than its class's latency
        objective.
        """
        self.add(f"tries{' again' if is_retry else ''}{', hasty' if tight_deadline else ''}")

    def count_attempt(
        self,
        endpoint_id: str,
        outcome: str,
        first_on_connection: bool,
        late: bool,
        fetched_key: str | None,
        purpose: str = "",
    ) -> None:
        """Count a finished attempt.

        `first_on_connection`: whether it was its connection's first; `late`: whether it ended after its
        class's latency objective; `fetched_key`: the key, if the attempt went to the origin, else None;
        `purpose`: why the attempt was made.
        """
        if purpose:
            self.add(f"why {purpose}.{outcome}")
        target = "origin" if fetched_key is not None else "cache"
        self.add(f"{target}.{outcome}{'.fresh' if first_on_connection else ''}{'.late' if late else ''}")
        if fetched_key is None:
            self._count_endpoint(endpoint_id, late, answered=outcome in ("ok", "miss"))
        elif len(self._fetched_key_hashes) < MAX_KEYS:
            self._fetched_key_hashes.append(crc32(fetched_key.encode()))

    def _count_endpoint(self, endpoint_id: str, late: bool, answered: bool) -> None:
        row = self._endpoints.setdefault(endpoint_id, [0, 0, 0])
        row[0] += 1
        row[1] += late
        row[2] += not answered

    def log_line(self, time_s: float, states: dict[str, float]) -> str:
        """The log line of the counts since the last one, which are reset.

        `time_s`: Unix time, seconds; `states`: gauges as of now, by name.
        """
        line = {
            "t": round(time_s, 3),
            "counts": {name: round(amount, 6) for name, amount in self._counts.items() if amount},
            "states": states,
            "servers": self._endpoints,
            "fetched": self._fetched_key_hashes,
        }
        self._counts = {}
        self._endpoints = {}
        self._fetched_key_hashes = []
        return LOG_LINE_PREFIX + orjson.dumps(line).decode()
