"""What a router did in each second, as a line of JSON, for counting across a fleet (`holdgw fleet-log`).

Off unless HOLDGW_TALLY is set: a line is a kilobyte or two a second. What is counted under a name is bounded
by what there is to count: outcomes, reasons, listed servers. A key is told as a short hash, KEYS a second.
"""

from __future__ import annotations

from zlib import crc32

import orjson

LOG_LINE_PREFIX = "tally "
"""What such a line begins with, behind whatever the platform puts before it."""
MAX_KEYS = 64


class IntervalCounters:
    """Counts since the last line."""

    def __init__(self) -> None:
        self._counts: dict[str, float] = {}
        self._servers: dict[str, list[int]] = {}
        self._fetched: list[int] = []
        self._before: dict[str, float] = {}

    def add(self, name: str, much: float = 1) -> None:
        """Count something."""
        self._counts[name] = self._counts.get(name, 0) + much

    def add_growth(self, name: str, value: float) -> None:
        """Count what a running total has grown by since it was last told of."""
        self.add(name, value - self._before.get(name, 0))
        self._before[name] = value

    def count_client_request(self, again: bool, hasty: bool) -> None:
        """Count a client's try. `again`: marked as a retry; `hasty`: it waits less than its aim."""
        self.add(f"tries{' again' if again else ''}{', hasty' if hasty else ''}")

    def count_attempt(
        self, server: str, word: str, fresh: bool, late: bool, fetched: str | None, why: str = ""
    ) -> None:
        """Count an attempt's end: `word` is its outcome, `fetched` the key where it went to the origin.

        `late`: after its class's aim. `fresh`: the first on its connection. `why`: what it was made for.
        """
        if why:
            self.add(f"why {why}.{word}")
        where = "origin" if fetched is not None else "cache"
        self.add(f"{where}.{word}{'.fresh' if fresh else ''}{'.late' if late else ''}")
        if fetched is not None:
            if len(self._fetched) < MAX_KEYS:
                self._fetched.append(crc32(fetched.encode()))
        else:
            met = self._servers.setdefault(server, [0, 0, 0])
            met[0] += 1
            met[1] += late
            met[2] += word not in ("ok", "miss")

    def log_line(self, second: float, states: dict[str, float]) -> str:
        """The line for what was counted since the last one; `states` are of now."""
        told = {
            "t": round(second, 3),
            "counts": {name: round(much, 6) for name, much in self._counts.items() if much},
            "states": states,
            "servers": self._servers,
            "fetched": self._fetched,
        }
        self._counts, self._servers, self._fetched = {}, {}, []
        return LOG_LINE_PREFIX + orjson.dumps(told).decode()
