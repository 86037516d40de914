"""Decides when to subscribe to the endpoint list: at the start, and with backoff after failed polls."""

from __future__ import annotations

import random

from holdgw.policy.endpoints import UpdateKind
from holdgw.policy.settings import Settings
from holdgw.policy.units import NS_PER_S

# By PROTOCOL, a change counts as notified 6 s after discovery had it and could be reached; a longer delay
# would use up that time.
MAX_BACKOFF_NS = 2 * NS_PER_S
MAX_DOUBLINGS = 8  # bounds the bit shift; MAX_BACKOFF_NS is reached long before


class EndpointSubscription:
    """Decides when the next `Subscribe` is due.

    The policy calls `on_update` for each endpoint update. It returns the delay until the next `Subscribe`,
    with jitter, so that many routers don't poll discovery at once. The policy calls `on_timer` after this
    delay.
    """

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self._required = settings.subscription_required
        self._poll_within_ns = settings.poll_within_ns
        self._rng = rng
        self._timer_set = False
        self._failures = 0  # consecutive failed polls

    def on_update(self, kind: UpdateKind) -> int | None:
        """Return the delay (ns) until the next `Subscribe`; None: none is due, or its timer is already set.

        A `Subscribe` is due after a cached list, with which a router starts, and after every failed poll.
        """
        if not self._required:
            return None
        if kind not in (UpdateKind.CACHED, UpdateKind.FAILED):
            self._failures = 0
            return None
        if self._timer_set:
            return None
        self._timer_set = True
        max_delay_ns = min(self._poll_within_ns // 2, self._backoff_ns())
        self._failures += kind is UpdateKind.FAILED
        return self._rng.randint(max_delay_ns // 4, max_delay_ns)

    def _backoff_ns(self) -> int:
        return min(NS_PER_S << min(self._failures, MAX_DOUBLINGS), MAX_BACKOFF_NS)

    def on_timer(self) -> None:
        """Record that the delay has passed and `Subscribe` is sent."""
        self._timer_set = False
