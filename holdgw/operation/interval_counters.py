"""What a router did in each second, as a line of JSON in its log, for `holdgw fleet-log`.

Off unless HOLDGW_TALLY is set: a line is a kilobyte or two. The names that are counted are bounded: outcomes,
reasons, listed endpoints. A key is logged as a short hash, at most MAX_KEYS a line.
"""

from __future__ import annotations

from zlib import crc32

import msgspec
import orjson

LOG_LINE_PREFIX = "tally "
"""Begins the line, behind whatever the platform puts before it."""
MAX_KEYS = 64


class IntervalRecord(msgspec.Struct, frozen=True):
    """One line: what was counted since the line before, and states as of the line's time."""

    time_s: float = msgspec.field(name="t")
    """Unix time, seconds."""
    counts: dict[str, float]
    states: dict[str, float | bool]
    endpoints: dict[str, list[int]] = msgspec.field(name="servers", default_factory=dict)
    """By endpoint id: attempts, those answered late, those without a usable answer."""
    fetched_keys: list[int] = msgspec.field(name="fetched", default_factory=list)
    """CRC-32 of keys fetched from the origin."""


def parse_log_line(line: str) -> IntervalRecord | None:
    """The record of a log line; None where the line has none. Raises msgspec.DecodeError."""
    _, prefix, record = line.partition(LOG_LINE_PREFIX)
    return msgspec.json.decode(record, type=IntervalRecord) if prefix else None


class IntervalCounters:
    """Counts since the last line."""

    def __init__(self) -> None:
        self._counts: dict[str, float] = {}
        self._endpoints: dict[str, list[int]] = {}
        self._fetched_keys: list[int] = []
        self._running_totals: dict[str, float] = {}

    def add(self, name: str, amount: float = 1) -> None:
        """Add to a count."""
        self._counts[name] = self._counts.get(name, 0) + amount

    def add_growth(self, name: str, total: float) -> None:
        """Add what a running total has grown by since the last call for this name."""
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
        """Count an attempt's end.

        `first_on_connection`: whether it was its connection's first; `late`: whether it ended after its
        class's latency objective; `fetched_key`: the key, if the attempt went to the origin, else None;
        `purpose`: why the attempt was made.
        """
        if purpose:
            self.add(f"why {purpose}.{outcome}")
        where = "origin" if fetched_key is not None else "cache"
        self.add(f"{where}.{outcome}{'.fresh' if first_on_connection else ''}{'.late' if late else ''}")
        if fetched_key is None:
            self._count_endpoint(endpoint_id, late, answered=outcome in ("ok", "miss"))
        elif len(self._fetched_keys) < MAX_KEYS:
            self._fetched_keys.append(crc32(fetched_key.encode()))

    def _count_endpoint(self, endpoint_id: str, late: bool, answered: bool) -> None:
        row = self._endpoints.setdefault(endpoint_id, [0, 0, 0])
        row[0] += 1
        row[1] += late
        row[2] += not answered

    def log_line(self, time_s: float, states: dict[str, float]) -> str:
        """The line for what was counted since the last one. `time_s`: Unix time; `states`: as of now."""
        line = {
            "t": round(time_s, 3),
            "counts": {name: round(amount, 6) for name, amount in self._counts.items() if amount},
            "states": states,
            "servers": self._endpoints,
            "fetched": self._fetched_keys,
        }
        self._counts = {}
        self._endpoints = {}
        self._fetched_keys = []
        return LOG_LINE_PREFIX + orjson.dumps(line).decode()
