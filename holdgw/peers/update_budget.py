"""How many bytes a second a router spends on passing member updates on; pure, with an injected clock."""

from __future__ import annotations

from math import inf

from holdgw.peers.datagram import EMPTY_BYTES, MAX_BYTES, MAX_UPDATES, UPDATE_BYTES
from holdgw.peers.timing import NS_PER_S

MAX_CONTROL_BYTES_PER_S = 2000
"""For all control traffic of a router, sent and received."""
REPORT_BYTES_PER_S = 1315
"""Of these, load reports and views by way of aggregators: 95 of 100 routers in calm (docs/ROADMAP.md, 1,426
with probes)."""
PROBE_BYTES_PER_S = 111
"""Of these, probes and acks (docs/CAPACITY.md, C5)."""
UPDATE_BYTES_PER_S = float((MAX_CONTROL_BYTES_PER_S - REPORT_BYTES_PER_S - PROBE_BYTES_PER_S) // 2)
"""Default: half of what is left, since what one router sends others receive."""
MIN_BYTES_PER_S = 200.0
"""Least that may be set: refutations of several suspicions at once reach all before the suspicions end."""
BURST_S = 0.5
"""So much of the rate is saved up."""
COMPACT_BYTES = 128
"""Largest message of updates in compact form: a bitmap over 760 members fits, and shorter messages spread the
bytes received more evenly."""
MAX_PLAIN_UPDATES = 4
"""More queued updates than these go in compact form."""
PIGGYBACK_SHARE = 0.25
"""Of what is left, that a probe or ack may take meanwhile: the rest is saved up for compact messages."""
MIN_UPDATES_MESSAGE_BYTES = 96
"""A message of updates alone waits until it may be of this size, unless it holds all there are or a
refutation: its header would be most of it."""
MIN_URGENT_MESSAGE_BYTES = EMPTY_BYTES + 2 * UPDATE_BYTES  # the receiver's own state and one update


class UpdateBudget:
    """Bounds the bytes of updates on probes and acks, and of messages of updates alone.

    To the rate in the long run, and to half a second's, or one compact message, at once. Probes and acks
    themselves are free.
    """

    def __init__(self, bytes_per_s: float | None, now: int) -> None:
        """`bytes_per_s`: the rate; None: no bound. `now`: ns of the caller's monotonic clock, as below."""
        self._rate = inf if bytes_per_s is None else bytes_per_s
        self._burst_bytes = max(self._rate * BURST_S, COMPACT_BYTES)
        self._level_bytes = self._burst_bytes
        self._refilled_ns = now

    def refill(self, now: int) -> None:
        """Count the time that has passed; to be called before anything is sent."""
        if now > self._refilled_ns:
            refilled = self._level_bytes + (now - self._refilled_ns) / NS_PER_S * self._rate
            self._level_bytes = min(refilled, self._burst_bytes)
            self._refilled_ns = now

    def piggyback(self, queued: int, urgent: bool) -> int:
        """How many updates a message may carry that is sent in any case; one refutation always."""
        level = self._level_bytes * PIGGYBACK_SHARE if self.compacts(queued) else self._level_bytes
        affordable = int(max(min(level, MAX_BYTES), 0.0)) // UPDATE_BYTES
        return max(affordable, 1) if urgent else affordable

    def compacts(self, queued: int) -> bool:
        """Whether so many updates are to go in compact form."""
        return self._rate < inf and queued > MAX_PLAIN_UPDATES

    def messages(self, queued: int, urgent: bool, fanout: int) -> int:
        """How many messages of updates may be sent now, at most `fanout`."""
        full_bytes = EMPTY_BYTES + UPDATE_BYTES * min(queued + 1, MAX_UPDATES)
        if self._level_bytes >= full_bytes * fanout:
            return fanout
        if urgent:
            min_bytes: float = MIN_URGENT_MESSAGE_BYTES
        else:
            min_bytes = min(MIN_UPDATES_MESSAGE_BYTES, full_bytes, self._burst_bytes)
        return 1 if self._level_bytes >= min_bytes else 0

    def allows_compact(self) -> bool:
        """Whether a compact message may be sent now."""
        return self._level_bytes >= COMPACT_BYTES

    def spend(self, size_bytes: int) -> None:
        """Count bytes that are sent; the level may go below 0."""
        self._level_bytes -= size_bytes
