"""Orders the endpoints for a request: owners of a hot slot, and the receiver of a slot that migrated."""

from __future__ import annotations

import math
import random
from collections.abc import Mapping

from holdgw.policy.hot_keys import owner_count
from holdgw.policy.load_reports import LoadReports
from holdgw.policy.slot_rebalancing import SlotRebalancer
from holdgw.policy.slot_table import RANKING_DEPTH, SlotTable
from holdgw.policy.tracked_endpoint import TrackedEndpoint

MAX_OWNER_FACTOR = 2.0  # by which the number of a hot slot's owners may grow while they are overloaded
# An endpoint whose response time is below this fraction of the latency objective releases no more slots.
DONOR_OBJECTIVE_FRACTION = 0.3


class EndpointSelector:
    """Orders the endpoints for a request's slot.

    The policy asks once for each attempt, and sends it to the first endpoint in the list that may take it.
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
        """Return the endpoints for a slot, the preferred one first.

        A slot that is too hot for one endpoint is shared by the first endpoints of its ranking, a departure
        from DESIGN. `popularity`: the slot's fraction of all requests.
        """
        ranking, owners = self.rank(slot, popularity, now_ns)
        if owners > 1:
            return self._with_ordered_owners(slot, ranking, owners, now_ns)
        receiver = self.rebalancer.receiver_rank(slot, ranking)
        if receiver:
            return [ranking[receiver], *ranking[:receiver], *ranking[receiver + 1 :]]
        return ranking

    def rank(self, slot: int, popularity: float, now_ns: int) -> tuple[list[TrackedEndpoint], int]:
        """Return the endpoints ranked for a slot, and how many of them, from the first, own it."""
        owners = owner_count(popularity, len(self._endpoints.endpoints))
        return self._endpoints.rank(slot, now_ns, max(owners, RANKING_DEPTH)), owners

    def _with_ordered_owners(
        self, slot: int, ranking: list[TrackedEndpoint], owners: int, now_ns: int
    ) -> list[TrackedEndpoint]:
        """Order a hot slot's owners by preference; there are more of them while they are overloaded."""
        reported_ns = sum(endpoint.reported_response_time_ns for endpoint in ranking[:owners])
        load_factor = reported_ns / owners / self._reports.overload_response_time_ns()
        if load_factor > 1.0:
            owners = math.ceil(owners * min(load_factor, MAX_OWNER_FACTOR))
            ranking = self._endpoints.rank(slot, now_ns, max(owners, RANKING_DEPTH))
        ordered_owners = sorted(ranking[:owners], key=lambda endpoint: self._preference(endpoint, now_ns))
        return ordered_owners + ranking[owners:]

    def _preference(self, endpoint: TrackedEndpoint, now_ns: int) -> tuple[float, float]:
        """Return a sort key: fewest attempts in flight first; ties in random order, by weight.

        The weight is divided by the reported response time, which counts as at least half the mean of all.
        """
        weight = endpoint.weight * self._endpoints.warm_up_weight(endpoint, now_ns)
        mean_ns = self._reports.mean_response_time_ns
        weight /= max(endpoint.reported_response_time_ns, mean_ns / 2, 1.0)
        return endpoint.in_flight, self._rng.expovariate(1.0) / weight

    def apply_popularity(self, popularity: Mapping[int, float], samples: float, now_ns: int) -> None:
        """Plan which slots migrate.

        Without samples the known demand decays, and slots return to their first-ranked endpoints.

        Args:
            popularity: each slot's fraction of all requests.
            samples: the number of requests from which the fractions are estimated; 0: there are none.
            now_ns: the clock time.
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
