"""The response time that one endpoint reports, how it fades, and the bound that it puts on admission."""

from __future__ import annotations

import math

from holdgw.policy.units import NS_PER_S

HALF_LIFE_NS = NS_PER_S  # of a reported response time: a report says less with each second


class ReportedResponseTime:
    """The time that an answer takes at one endpoint by its latest load report.

    Asked for each request that would go there: over `limit_ns` only a part of the requests is admitted, so
    that those admitted find the endpoint within its limit.
    """

    def __init__(self) -> None:
        self.latest_ns = 0.0
        """By the latest report, ns; 0: none yet."""
        self.at_ns = 0
        """As of when that was (clock time)."""
        self.limit_ns = math.inf
        """Past which requests are admitted in proportion."""

    @property
    def over_limit(self) -> bool:
        """Whether the latest report was over the limit, however long ago."""
        return self.latest_ns > self.limit_ns

    def record(self, response_time_ns: float, at_ns: int) -> None:
        """Take a response time that was reported at a time."""
        self.latest_ns = response_time_ns
        self.at_ns = at_ns

    def set_limit(self, limit_ns: float) -> None:
        """Set the response time past which requests are admitted in proportion."""
        self.limit_ns = limit_ns

    def expected_ns(self, now_ns: int) -> float:
        """Return the response time to expect now: the latest one, halved with each second since."""
        return self.latest_ns * math.pow(0.5, (now_ns - self.at_ns) / HALF_LIFE_NS)

    def admission_bound(self, now_ns: int) -> float:
        """Return the highest probability with which a request is admitted, 0 to 1."""
        expected_ns = self.expected_ns(now_ns)
        return self.limit_ns / expected_ns if expected_ns > self.limit_ns else 1.0
