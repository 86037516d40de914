"""Load shedding: decides which requests are rejected because of an endpoint's load."""

from __future__ import annotations

import random

from holdgw.policy.tracked_endpoint import TrackedEndpoint

OVERLOADED_SAMPLES = 64  # requests over which the fraction of overloaded endpoints is smoothed
# Above this fraction of overloaded endpoints a missing answer is a sign of load, and ejects no endpoint.
MAX_OVERLOADED_FOR_EJECTION = 0.3
IDLE_LOAD_FACTOR = 0.25  # with nothing in flight; the load factor is 1 at the usual number in flight
MIN_USUAL_IN_FLIGHT = 0.25
MAX_LOAD_FACTOR = 2.0


class LoadShedder:
    """Decides whether an endpoint is sent a request, by its health, its load and the tenant's quota overuse.

    The policy asks once for each endpoint to which a request would be sent. If the answer is no, the request
    is rejected, because it would miss at any other endpoint. Only for an ejected endpoint does the policy go
    on to the next candidate.
    """

    def __init__(self, rng: random.Random) -> None:
        self.overloaded_fraction = 0.0
        """Fraction of overloaded endpoints, smoothed over the endpoints considered for requests; 0 to 1."""
        self._rng = rng

    @property
    def most_healthy(self) -> bool:
        """Whether the fraction of overloaded endpoints is low enough for missing answers to eject one."""
        return self.overloaded_fraction <= MAX_OVERLOADED_FOR_EJECTION

    def would_miss_deadline(self, endpoint: TrackedEndpoint, time_left_ns: int, now_ns: int) -> bool:
        """Whether the endpoint would answer only after the request's deadline, by its load report.

        Clients that time out retry, while the endpoint still processes the requests that they abandoned. All
        of its answers are then late for as long as clients retry. Requests with more time left are still
        sent, and their answers bring new load reports, so a reported time that was too high does not persist.
        """
        reported = endpoint.reported
        return reported.latest_ns > time_left_ns and reported.expected_ns(now_ns) > time_left_ns

    def record_candidate(self, endpoint: TrackedEndpoint, probability: float) -> None:
        """Update the fraction of overloaded endpoints by one to which a request would be sent."""
        overloaded = not endpoint.health.ejected and probability < 1.0
        self.overloaded_fraction += (overloaded - self.overloaded_fraction) / OVERLOADED_SAMPLES

    def admits(self, endpoint: TrackedEndpoint, probability: float, quota_overuse: float) -> bool:
        """Decide at random whether a request is sent to an endpoint with this admission probability.

        Tenants over their quota are rejected first, and those well within it last. The more attempts are in
        flight at the endpoint compared with the usual number, the more requests are rejected, because its
        queue is longer then.
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
