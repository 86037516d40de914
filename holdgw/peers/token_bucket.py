"""A token bucket over bytes; pure, with an injected clock."""

from __future__ import annotations

from holdgw.peers.timing import NS_PER_S


class TokenBucket:
    """Bounds the bytes sent to `rate` bytes a second in the long run and to `burst` bytes at once."""

    def __init__(self, rate: float, burst: float, now: int) -> None:
        """`now`: ns of the caller's monotonic clock, here and in `take`."""
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._filled_at = now

    def take(self, size: int, now: int) -> bool:
        """Take `size` bytes; returns False, and takes nothing, where fewer are left."""
        self._tokens = min(self._tokens + (now - self._filled_at) * self._rate / NS_PER_S, self._burst)
        self._filled_at = now
        if size > self._tokens:
            return False
        self._tokens -= size
        return True
