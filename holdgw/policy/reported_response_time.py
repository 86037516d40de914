"""The response time that one endpoint reports, its decay, and the bound on admission that follows."""

from __future__ import annotations

import math

from holdgw.policy.units import NS_PER_S

HALF_LIFE_NS = NS_PER_S  # of a reported response time, as a report becomes less meaningful with time


class ReportedResponseTime:
    """The response time of one endpoint by its latest load report.

    The policy asks for the admission bound of each request that would go to the endpoint. Above `limit_ns`
    only a fraction of the requests is admitted, so that the endpoint stays within its limit for them.
    """

    def __init__(self) -> None:
        self.latest_ns = 0.0
        """Response time by the latest report; 0: there was none yet."""
        self.at_ns = 0
        """Clock time of the latest report."""
        self.limit_ns = math.inf
        """Response time above which admission is inversely proportional to the response time."""

    @property
    def over_limit(self) -> bool:
        """Whether the latest report was above the limit, however old it is."""
        return self.latest_ns > self.limit_ns

    def record(self, response_time_ns: float, at_ns: int) -> None:
        """Record a response time that was reported at `at_ns`."""
        self.latest_ns = response_time_ns
        self.at_ns = at_ns

    def set_limit(self, limit_ns: float) -> None:
        """Set the response time above which only a fraction of the requests is admitted."""
        self.limit_ns = limit_ns

    def expected_ns(self, now_ns: int) -> float:
        """Return the expected response time (ns): the latest report, halved with each second since then."""
        return self.latest_ns * math.pow(0.5, (now_ns - self.at_ns) / HALF_LIFE_NS)

    def admission_bound(self, now_ns: int) -> float:
        """Return the upper bound on the admission probability of a request, 0 to 1."""
        expected_ns = self.expected_ns(now_ns)
        return self.limit_ns / expected_ns if expected_ns > self.limit_ns else 1.0
