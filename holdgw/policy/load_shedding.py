"""Which requests are rejected because of an endpoint's load."""

from __future__ import annotations

import random

from holdgw.policy.tracked_endpoint import TrackedEndpoint

OVERLOADED_SAMPLES = 64  # requests over which the fraction of overloaded endpoints is smoothed
MAX_OVERLOADED_FOR_EJECTION = 0.3  # fraction past which missing answers eject nobody: a sign of load
IDLE_LOAD_FACTOR = 0.25  # of an endpoint with nothing in flight; 1 with the usual number
MIN_USUAL_IN_FLIGHT = 0.25
MAX_LOAD_FACTOR = 2.0


class LoadShedder:
    """Decides whether an endpoint is sent a request, by its health, its load and the tenant's quota overuse.

    Asked once for each endpoint that a request would go to. Yes means that the request is sent there. No
    means a rejection, as another endpoint would miss; if this one is ejected, the next one is asked.
    """

    def __init__(self, rng: random.Random) -> None:
        self.overloaded_fraction = 0.0
        """Smoothed fraction of the endpoints met by requests that are overloaded, 0 to 1."""
        self._rng = rng

    @property
    def most_healthy(self) -> bool:
        """Whether few of the endpoints are overloaded."""
        return self.overloaded_fraction <= MAX_OVERLOADED_FOR_EJECTION

    def would_miss_deadline(self, endpoint: TrackedEndpoint, time_left_ns: int, now_ns: int) -> bool:
        """Whether the request's deadline passes before the endpoint would answer, by its load report.

        Clients that give a request up early come again, and the endpoint goes on with what nobody waits for:
        all it does is late then, for as long as they come. Requests with more time left still go there, and
        bring a new report, so one that was too high does not last.
        """
        reported = endpoint.reported
        return reported.latest_ns > time_left_ns and reported.expected_ns(now_ns) > time_left_ns

    def record_candidate(self, endpoint: TrackedEndpoint, probability: float) -> None:
        """Count an endpoint that a request has met, with its admission probability."""
        overloaded = not endpoint.health.ejected and probability < 1.0
        self.overloaded_fraction += (overloaded - self.overloaded_fraction) / OVERLOADED_SAMPLES

    def admits(self, endpoint: TrackedEndpoint, probability: float, quota_overuse: float) -> bool:
        """Decide by lot whether a request is sent to an endpoint with such an admission probability.

        Tenants over their quota are rejected first, those well within it last; and more is rejected while
        more than usual is in flight there, which is when the endpoint's queue is long.
        """
        if probability >= 1.0:
            return True
        if probability <= 0:
            return False
        usual = max(endpoint.usual_in_flight, MIN_USUAL_IN_FLIGHT)
        load_factor = min(
            IDLE_LOAD_FACTOR + (1.0 - IDLE_LOAD_FACTOR) * endpoint.in_flight / usual, MAX_LOAD_FACTOR
        )
        return bool(self._rng.random() < probability ** (quota_overuse * load_factor))
