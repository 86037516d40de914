"""A ready endpoint as this router sees it: attempts in flight, latency, health, reported load, slots."""

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
    """A ready endpoint with what this router has learnt of it; each part writes its own state."""

    def __init__(self, entry: Endpoint, weighted: bool) -> None:
        """Track an endpoint of the list; `weighted`: whether the list's weights state capacities."""
        self.entry = entry
        self.weight = entry.weight if weighted else 1.0
        self.seed = int.from_bytes(blake2b(entry.id.encode(), digest_size=8).digest(), "big")
        """A number drawn from the name, the same at every router."""
        self.in_flight = 0
        """Attempts of this router that are out."""
        self.usual_in_flight = 0.0
        """Smoothed number in flight at the time when one more was sent."""
        self.latency_ns = 0.0
        """Smoothed latency of answers; 0: none yet."""
        self.health = EndpointHealth()
        self.slots = SlotRetention(self.seed)
        self.reported = ReportedResponseTime()
        self.warm_up_tokens = WarmUpTokens()

    @property
    def ejected(self) -> bool:
        """Whether it gets trial requests only."""
        return self.health.ejected

    @property
    def slot_retention(self) -> float:
        """The fraction of its slots that it keeps, 0 to 1."""
        return self.slots.fraction

    @property
    def reported_response_time_ns(self) -> float:
        """The time an answer takes there by its last load report; 0: none yet."""
        return self.reported.latest_ns

    def admission_probability(self, now_ns: int) -> float:
        """Return the probability with which a request is sent there; 0 or less soon after an ejection."""
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
        """Take the latency of an answer on a connection that was already established."""
        if self.latency_ns:
            self.latency_ns += (latency_ns - self.latency_ns) / LATENCY_SAMPLES
        else:
            self.latency_ns = float(latency_ns)

    def record_response_time(self, response_time_ns: float, overload_ns: float, now_ns: int) -> None:
        """Take a load report's response time; above `overload_ns` the endpoint releases slots."""
        if response_time_ns > overload_ns:
            since_report_ns = now_ns - self.reported.at_ns
            self.slots.release_by_reported_load(response_time_ns / overload_ns, since_report_ns, now_ns)
        self.reported.record(response_time_ns, now_ns)

    def retains(self, slot: int, now_ns: int) -> bool:
        """Whether it keeps the slot; the same ones are released first at every router, and come back last."""
        return self.slots.retains(slot, self.health.failure_fraction, now_ns)

    @property
    def is_donor(self) -> bool:
        """Whether so many of its answers fail that it is to release slots."""
        return self.health.failure_fraction > DONOR_FAILURE_FRACTION and not self.health.ejected

    def release_slots(self, next_ranked: list[TrackedEndpoint], now_ns: int) -> None:
        """Release slots to the endpoint ranked next, if that one is well (a departure from the design).

        The keys of an endpoint that is slow, or takes only so many requests a second, would be rejected for
        as long as it is so, beside idle endpoints. Single requests that go elsewhere miss each time; a slot
        that migrates, the same one at every router, misses once. This also serves where an endpoint fails by
        degrees, or has too much of the load. Where all are overloaded slots would wander, and miss: hence
        the receiver has to be well.
        """
        receiver = next((endpoint for endpoint in next_ranked if not endpoint.ejected), None)
        if receiver is not None and receiver.health.failure_fraction < RECEIVER_FAILURE_FRACTION:
            self.slots.release_by_failures(self.health.failure_fraction, now_ns)

    def handover(self, now_ns: int) -> EndpointHandover:
        """Return what another process of this router may go on from."""
        return EndpointHandover(
            admission_probability=self.admission_probability(now_ns),
            ejected=self.health.ejected,
            slot_retention=self.slots.fraction,
            failure_fraction=self.health.failure_fraction,
            latency_ns=self.latency_ns,
            usual_in_flight=self.usual_in_flight,
        )

    def restore(self, state: EndpointHandover, now_ns: int) -> None:
        """Go on from what another process of this router has learnt."""
        self.health.restore(state.admission_probability, state.ejected, state.failure_fraction, now_ns)
        self.slots.restore(state.slot_retention, now_ns)
        self.latency_ns = state.latency_ns
        self.usual_in_flight = state.usual_in_flight
