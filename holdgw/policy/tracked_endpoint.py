"""A ready endpoint with this router's state of it: attempts in flight, latency, health, load, slots."""

from __future__ import annotations

from hashlib import blake2b

from holdgw.policy.endpoint_health import EndpointHealth
from holdgw.policy.endpoints import Endpoint
from holdgw.policy.handover_state import EndpointHandover
from holdgw.policy.reported_response_time import ReportedResponseTime
from holdgw.policy.slot_retention import (
    DONOR_FAILURE_FRACTION,
    RECEIVER_FAILURE_FRACTION,
    SlotRetention,
)
from holdgw.policy.warm_up import WarmUpTokens

IN_FLIGHT_SAMPLES = 32  # attempts over which the usual number in flight is smoothed
LATENCY_SAMPLES = 16  # answers over which the latency is smoothed


class TrackedEndpoint:
    """A ready endpoint with what this router has learned about it."""

    def __init__(self, entry: Endpoint, weighted: bool) -> None:
        """Track an endpoint of the list; `weighted`: whether the list's weights are capacities."""
        self.entry = entry
        self.weight = entry.weight if weighted else 1.0
        self.seed = int.from_bytes(blake2b(entry.id.encode(), digest_size=8).digest(), "big")
        """A hash of the endpoint's id, which is the same at every router."""
        self.in_flight = 0
        """Number of this router's attempts in flight there."""
        self.usual_in_flight = 0.0
        """Usual number in flight, smoothed over the attempts sent."""
        self.latency_ns = 0.0
        """Smoothed latency of answers; 0: there was none yet."""
        self.health = EndpointHealth()
        self.retention = SlotRetention(self.seed)
        self.reported = ReportedResponseTime()
        self.warm_up_tokens = WarmUpTokens()

    @property
    def ejected(self) -> bool:
        """Whether the endpoint gets trial requests only."""
        return self.health.ejected

    @property
    def slot_retention(self) -> float:
        """Fraction of its slots that the endpoint keeps, 0 to 1."""
        return self.retention.fraction

    @property
    def reported_response_time_ns(self) -> float:
        """Response time by the endpoint's latest load report; 0: there was none yet."""
        return self.reported.latest_ns

    def admission_probability(self, now_ns: int) -> float:
        """Return the probability with which a request is sent there; 0 or less shortly after an ejection."""
        probability = self.health.probability(now_ns)
        if self.reported.over_limit:
            probability = min(probability, self.reported.admission_bound(now_ns))
        return probability

    def start_attempt(self) -> None:
        """Count an attempt that is sent."""
        self.usual_in_flight += (self.in_flight - self.usual_in_flight) / IN_FLIGHT_SAMPLES
        self.in_flight += 1

    def release_attempt(self) -> None:
        """Count an attempt that is no longer in flight."""
        self.in_flight -= 1

    def record_latency(self, latency_ns: int) -> None:
        """Record the latency of an answer on a connection that was already established."""
        if self.latency_ns:
            self.latency_ns += (latency_ns - self.latency_ns) / LATENCY_SAMPLES
        else:
            self.latency_ns = float(latency_ns)

    def record_response_time(self, response_time_ns: float, overload_ns: float, now_ns: int) -> None:
        """Record a load report's response time; above `overload_ns` the endpoint releases slots."""
        if response_time_ns > overload_ns:
            since_report_ns = now_ns - self.reported.at_ns
            self.retention.release_by_reported_load(response_time_ns / overload_ns, since_report_ns, now_ns)
        self.reported.record(response_time_ns, now_ns)

    def retains(self, slot: int, now_ns: int) -> bool:
        """Whether the endpoint keeps the slot; at every router the same slots leave first and return last."""
        return self.retention.retains(slot, self.health.failure_fraction, now_ns)

    @property
    def is_donor(self) -> bool:
        """Whether the failure fraction is so high that the endpoint releases slots."""
        return self.health.failure_fraction > DONOR_FAILURE_FRACTION and not self.health.ejected

    def release_slots(self, next_ranked: list[TrackedEndpoint], now_ns: int) -> None:
        """Release slots to the next-ranked endpoint, if that one is healthy (a departure from DESIGN).

        Otherwise requests for the keys of an endpoint that is slow, or limits its request rate, would be
        rejected for as long as it is so, although other endpoints are idle. A single request sent elsewhere
        misses every time; a slot that migrates, the same one at every router, misses once. This also handles
        an endpoint that fails gradually, or that has too much of the load. The receiver must be healthy
        because slots would otherwise keep migrating, and missing, where all endpoints are overloaded.
        """
        receiver = next((endpoint for endpoint in next_ranked if not endpoint.ejected), None)
        if receiver is not None and receiver.health.failure_fraction < RECEIVER_FAILURE_FRACTION:
            self.retention.release_by_failures(self.health.failure_fraction, now_ns)

    def handover(self, now_ns: int) -> EndpointHandover:
        """Return the state from which another process of this router continues."""
        return EndpointHandover(
            admission_probability=self.admission_probability(now_ns),
            ejected=self.health.ejected,
            slot_retention=self.retention.fraction,
            failure_fraction=self.health.failure_fraction,
            latency_ns=self.latency_ns,
            usual_in_flight=self.usual_in_flight,
        )

    def restore(self, state: EndpointHandover, now_ns: int) -> None:
        """Continue from the state of another process of this router."""
        self.health.restore(state.admission_probability, state.ejected, state.failure_fraction, now_ns)
        self.retention.restore(state.slot_retention, now_ns)
        self.latency_ns = state.latency_ns
        self.usual_in_flight = state.usual_in_flight
