"""Which endpoints a request may go to, in order: owners of a hot slot, receivers of a slot that migrated."""

from __future__ import annotations

import math
import random
from collections.abc import Mapping

from holdgw.policy.hot_keys import owner_count
from holdgw.policy.load_reports import LoadReports
from holdgw.policy.slot_rebalancing import SlotRebalancer
from holdgw.policy.slot_table import RANKING_DEPTH, SlotTable
from holdgw.policy.tracked_endpoint import TrackedEndpoint

MAX_OWNER_FACTOR = 2.0  # times its owners may a hot slot have while these are overloaded
DONOR_OBJECTIVE_FRACTION = 0.3  # of the latency objective: a quicker endpoint gives up no more slots


class EndpointSelector:
    """Orders the endpoints for a request's slot.

    Asked once for each attempt; the answer lists the endpoints, the preferred one first, and the attempt goes
    to the first one of them that may take it.
    """

    def __init__(
        self, endpoints: SlotTable, reports: LoadReports, latency_objective_ns: int, rng: random.Random
    ) -> None:
        self.rebalancer = SlotRebalancer()
        self._endpoints = endpoints
        self._reports = reports
        self._min_donor_response_time_ns = latency_objective_ns * DONOR_OBJECTIVE_FRACTION
        self._rng = rng

    def candidates(self, slot: int, popularity: float, now_ns: int) -> list[TrackedEndpoint]:
        """Return the endpoints for a slot with such a fraction of all requests, the preferred one first.

        A slot too hot for one endpoint is shared by the first of its ranking, a departure from the design.
        """
        ranking, owners = self.rank(slot, popularity, now_ns)
        if owners > 1:
            return self._with_owners_drawn(slot, ranking, owners, now_ns)
        receiver = self.rebalancer.receiver_rank(slot, ranking)
        if receiver:
            return [ranking[receiver], *ranking[:receiver], *ranking[receiver + 1 :]]
        return ranking

    def rank(self, slot: int, popularity: float, now_ns: int) -> tuple[list[TrackedEndpoint], int]:
        """Return the endpoints ranked for a slot, and how many of the first own it."""
        owners = owner_count(popularity, len(self._endpoints.endpoints))
        return self._endpoints.rank(slot, now_ns, max(owners, RANKING_DEPTH)), owners

    def _with_owners_drawn(
        self, slot: int, ranking: list[TrackedEndpoint], owners: int, now_ns: int
    ) -> list[TrackedEndpoint]:
        """Put a hot slot's owners in a drawn order; while they are overloaded there are more of them."""
        reported_ns = sum(endpoint.reported_response_time_ns for endpoint in ranking[:owners])
        load_factor = reported_ns / owners / self._reports.overload_response_time_ns()
        if load_factor > 1.0:
            owners = math.ceil(owners * min(load_factor, MAX_OWNER_FACTOR))
            ranking = self._endpoints.rank(slot, now_ns, max(owners, RANKING_DEPTH))
        drawn = sorted(ranking[:owners], key=lambda endpoint: self._preference(endpoint, now_ns))
        return drawn + ranking[owners:]

    def _preference(self, endpoint: TrackedEndpoint, now_ns: int) -> tuple[float, float]:
        """Return a sort key: fewest in flight; ties by a lot in proportion to the weights.

        The weight falls with the reported response time; below half the mean of all it makes no difference.
        """
        weight = endpoint.weight * self._endpoints.warm_up_weight(endpoint, now_ns)
        mean_ns = self._reports.mean_response_time_ns
        weight /= max(endpoint.reported_response_time_ns, mean_ns / 2, 1.0)
        return endpoint.in_flight, self._rng.expovariate(1.0) / weight

    def apply_popularity(self, popularity: Mapping[int, float], samples: float, now_ns: int) -> None:
        """Plan which slots migrate, by fractions of all requests that rest on so many of them.

        Without samples what is known fades, and slots go back to the endpoints ranked first.
        """
        self.rebalancer.add_sample(popularity, samples, now_ns)
        self.rebalancer.plan(
            lambda slot, fraction: self.rank(slot, fraction, now_ns),
            self._endpoints.is_ranked,
            list(self._endpoints.endpoints.values()),
            self._endpoints.warming_up_seeds(now_ns),
            now_ns,
            self._min_donor_response_time_ns,
        )
