"""The timeout of a watch where discovery is one service that all routers poll; no I/O, no clock.

The timeout here is the wait that a call sends to the service: if there is no change by then, the service
answers without one. The router itself gives up on a call `discovery.POLL_SLACK_S` later.

Each call costs the service work. A short timeout soon detects a watch that gets no answer, but means a call
from every router in that time; an overloaded service answers late, and then rejects calls. No router knows
how many others there are, but each sees how late its own answers are. So the timeout is `DELAY_FACTOR` times
the longest delay seen, which decays by the factor `DELAY_DECAY` with each call; at the start and after a
failed call the timeout is the longest allowed. This is fast increase and slow decrease by delay, as in TCP
Vegas (Brakmo and Peterson, 1995).

After a burst in which all routers call at once their delays are spread evenly from 0 to the time A in which
the service takes one call from each. The load they then offer is the fraction (1 + ln(A / D)) / DELAY_FACTOR
of its capacity, D being the shortest timeout / DELAY_FACTOR: 0.25 for an A of 8 s and timeouts from 3 s on.
"""

from __future__ import annotations

DELAY_FACTOR = 20.0
DELAY_DECAY = 0.95


class WatchTimeout:
    """Adapts the timeout of watches at one service to the delays of its answers."""

    def __init__(self, shortest_s: float, longest_s: float) -> None:
        """Begin with the longest timeout: routers that start together could overload the service."""
        self._shortest_s = shortest_s
        self._max_delay_s = longest_s / DELAY_FACTOR
        self._delay_s = self._max_delay_s

    @property
    def wait_s(self) -> float:
        """The timeout to send in the next call, in seconds."""
        return max(DELAY_FACTOR * self._delay_s, self._shortest_s)

    def timed_out(self, delay_s: float) -> None:
        """Record a call that was answered without a change, `delay_s` seconds after its timeout."""
        self._delay_s = min(max(delay_s, DELAY_DECAY * self._delay_s), self._max_delay_s)

    def failed(self) -> None:
        """Record a call that was rejected, broke or was abandoned: the service may be overloaded."""
        self._delay_s = self._max_delay_s
