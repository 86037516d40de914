"""How long a watch asks discovery to wait for news, where that is one service for all routers; pure.

Each call costs the service work. A short wait finds a silent watch soon, but is a call from every router in
that time; a service that can't take so many answers late, and then turns calls away. No router knows how many
others there are; what it sees is how late its own answers come. So the wait is `DELAYS` times the longest
delay seen, which fades by `FADE` a call; at the start and after a failed call it is the longest one. That is
fast increase and slow decrease by delay, as in TCP Vegas (Brakmo and Peterson, 1995).

After a burst in which all routers call at once their delays are spread evenly from 0 to the time A in which
the service takes one call from each. What they ask for then is the part (1 + ln(A / D)) / DELAYS of what it
can take, D being the shortest wait / DELAYS: 0.25 for an A of 8 s and waits from 3 s on.
"""

from __future__ import annotations

DELAYS = 20.0
FADE = 0.95


class WatchTimeout:
    """The wait to ask for at one service, by its answers so far."""

    def __init__(self, shortest_s: float, longest_s: float) -> None:
        # Danger: a fleet that starts together, at a service not known to have room, would overload it.
        self._shortest_s, self._most_delay_s = shortest_s, longest_s / DELAYS
        self._delay_s = self._most_delay_s

    @property
    def wait_s(self) -> float:
        """The wait of the next call, in seconds."""
        return max(DELAYS * self._delay_s, self._shortest_s)

    def timed_out(self, delay_s: float) -> None:
        """A call came back without news, `delay_s` seconds after its wait was over."""
        self._delay_s = min(max(delay_s, FADE * self._delay_s), self._most_delay_s)

    def failed(self) -> None:
        """A call was turned away, broke or was given up: the service may have too many."""
        self._delay_s = self._most_delay_s
