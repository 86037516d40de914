"""An endpoint with a cold cache: its warm-up weight, and the tokens for requests that it may be sent."""

from __future__ import annotations

from holdgw.policy.settings import Settings

MAX_TOKENS = 2.0  # requests that a warming endpoint may be sent at once


class WarmUpCurve:
    """The weight of an endpoint by its age: from the initial weight to 1 over the warm-up time, in a line."""

    def __init__(self, settings: Settings) -> None:
        self.duration_ns = settings.warm_up_ns
        self._initial_weight = settings.warm_up_initial_weight

    def weight(self, started_ns: int, now_ns: int) -> float:
        """Return the warm-up weight of an endpoint; `started_ns`: its start, 0 where that is not known."""
        if not started_ns:
            return 1.0
        age_ns = now_ns - started_ns
        if age_ns >= self.duration_ns:
            return 1.0
        return self._initial_weight + (1 - self._initial_weight) * max(age_ns, 0) / self.duration_ns


class WarmUpTokens:
    """A token bucket of one warming endpoint: a request to it takes a token, which come at a given rate."""

    def __init__(self) -> None:
        self.started = False
        """Whether it has been filled for the first time."""
        self._tokens = 0.0
        self._refilled_at_ns = 0

    def start(self, tokens: float, now_ns: int) -> None:
        """Begin with so many tokens."""
        self.started = True
        self._tokens = tokens
        self._refilled_at_ns = now_ns

    def refill(self, tokens_per_ns: float, now_ns: int) -> bool:
        """Add the tokens that have come since; returns whether there is one for a request."""
        self._tokens = min(MAX_TOKENS, self._tokens + tokens_per_ns * (now_ns - self._refilled_at_ns))
        self._refilled_at_ns = now_ns
        return self._tokens >= 1.0

    def take(self) -> None:
        """Take a token for a request that is sent; requests to a warm endpoint take them too."""
        self._tokens -= 1
