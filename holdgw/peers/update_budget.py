"""Budget of bytes that a router may spend on passing on member updates; pure, with an injected clock."""

from __future__ import annotations

from math import inf

from holdgw.peers.datagram import EMPTY_BYTES, MAX_BYTES, MAX_UPDATES, UPDATE_BYTES
from holdgw.peers.timing import NS_PER_S

MAX_CONTROL_BYTES_PER_S = 2000
"""Bound on all control traffic of a router, sent and received."""
REPORT_BYTES_PER_S = 1315
"""Part of it for load reports and views through aggregators: the 95th percentile of routers, without faults
(docs/ROADMAP.md, 1,426 with probes)."""
PROBE_BYTES_PER_S = 111
"""Part of it for probes and acks (docs/CAPACITY.md, C5)."""
UPDATE_BYTES_PER_S = float((MAX_CONTROL_BYTES_PER_S - REPORT_BYTES_PER_S - PROBE_BYTES_PER_S) // 2)
"""Default rate: half of the remainder, as each byte that a router sends is also received by another."""
MIN_BYTES_PER_S = 200.0
"""Smallest rate that may be configured. With it, refutations of several suspicions at once reach all members
before the suspicions end."""
BURST_S = 0.5
"""Seconds of the rate that may be saved up."""
COMPACT_BYTES = 128
"""Largest message of updates in compact form. A bitmap over 760 members fits, and shorter messages spread the
bytes received more evenly."""
MAX_PLAIN_UPDATES = 4
"""Longest queue of updates that is sent in plain form; longer ones are sent in compact form."""
PIGGYBACK_SHARE = 0.25
"""Fraction of the level that a probe or ack may use while updates are sent in compact form; the rest is saved
up for compact messages."""
MIN_UPDATES_MESSAGE_BYTES = 96
"""A message that carries updates only is delayed until it may have this size, as a shorter one would consist
mostly of its header. Exempt are messages that carry all queued updates, or a refutation."""
MIN_URGENT_MESSAGE_BYTES = EMPTY_BYTES + 2 * UPDATE_BYTES  # the receiver's own state and one update


class UpdateBudget:
    """Bounds the bytes of updates on probes and acks, and of messages that carry updates only.

    The bound is `bytes_per_s` in the long run, and half a second of it or one compact message at once. The
    other bytes of probes and acks are not counted.
    """

    def __init__(self, bytes_per_s: float | None, now: int) -> None:
        """`bytes_per_s`: the rate, None for no bound; `now`: ns of the caller's monotonic clock."""
        self._rate = inf if bytes_per_s is None else bytes_per_s
        self._burst_bytes = max(self._rate * BURST_S, COMPACT_BYTES)
        self._level_bytes = self._burst_bytes
        self._refilled_ns = now

    def refill(self, now: int) -> None:
        """Refill the budget for the time passed; to be called before anything is sent."""
        if now > self._refilled_ns:
            refilled = self._level_bytes + (now - self._refilled_ns) / NS_PER_S * self._rate
            self._level_bytes = min(refilled, self._burst_bytes)
            self._refilled_ns = now

    def piggyback(self, queued: int, urgent: bool) -> int:
        """Return the number of updates that a probe or ack may carry, at least one where one is urgent."""
        level = self._level_bytes * PIGGYBACK_SHARE if self.compacts(queued) else self._level_bytes
        affordable = int(max(min(level, MAX_BYTES), 0.0)) // UPDATE_BYTES
        return max(affordable, 1) if urgent else affordable

    def compacts(self, queued: int) -> bool:
        """Whether a queue of `queued` updates is to be sent in compact form."""
        return self._rate < inf and queued > MAX_PLAIN_UPDATES

    def messages(self, queued: int, urgent: bool, fanout: int) -> int:
        """Return the number of messages of updates that may be sent now, at most `fanout`."""
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
        """Subtract the bytes sent; the level may go below 0."""
        self._level_bytes -= size_bytes
