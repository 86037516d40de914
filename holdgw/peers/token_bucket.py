"""A token bucket over bytes; pure, with an injected clock."""

from __future__ import annotations

from holdgw.peers.timing import NS_PER_S


class TokenBucket:
    """Bounds what is sent to `rate` bytes a second in the long run and to `burst` bytes at once."""

    def __init__(self, rate: float, burst: float, now: int) -> None:
        self._rate, self._burst = rate, burst
        self._level, self._filled_at = burst, now

    def take(self, size: int, now: int) -> bool:
        """Take so many bytes; False, with nothing taken, where fewer are left."""
        self._level = min(self._level + (now - self._filled_at) * self._rate / NS_PER_S, self._burst)
        self._filled_at = now
        if size > self._level:
            return False
        self._level -= size
        return True
