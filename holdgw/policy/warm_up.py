"""Warm-up of an endpoint with a cold cache: its warm-up weight, and its token bucket for requests."""

from __future__ import annotations

from holdgw.policy.settings import Settings

MAX_TOKENS = 2.0  # requests that an endpoint that is warming up may be sent at once


class WarmUpCurve:
    """The warm-up weight of an endpoint by its age: a linear ramp from the initial weight to 1."""

    def __init__(self, settings: Settings) -> None:
        self.duration_ns = settings.warm_up_ns
        self._initial_weight = settings.warm_up_initial_weight

    def weight(self, started_ns: int, now_ns: int) -> float:
        """Return an endpoint's warm-up weight; `started_ns`: clock time of its start, 0: unknown."""
        if not started_ns:
            return 1.0
        age_ns = now_ns - started_ns
        if age_ns >= self.duration_ns:
            return 1.0
        return self._initial_weight + (1 - self._initial_weight) * max(age_ns, 0) / self.duration_ns


class WarmUpTokens:
    """The token bucket of one endpoint that is warming up: each request to it takes a token."""

    def __init__(self) -> None:
        self.started = False
        """Whether the bucket has its initial tokens."""
        self._tokens = 0.0
        self._refilled_at_ns = 0

    def start(self, tokens: float, now_ns: int) -> None:
        """Set the initial number of tokens."""
        self.started = True
        self._tokens = tokens
        self._refilled_at_ns = now_ns

    def refill(self, tokens_per_ns: float, now_ns: int) -> bool:
        """Add the tokens since the last call, at this rate; return whether there is one for a request."""
        self._tokens = min(MAX_TOKENS, self._tokens + tokens_per_ns * (now_ns - self._refilled_at_ns))
        self._refilled_at_ns = now_ns
        return self._tokens >= 1.0

    def take(self) -> None:
        """Take a token for a request that is sent; requests to warm endpoints take tokens too."""
        self._tokens -= 1
