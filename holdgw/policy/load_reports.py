"""Load reports of endpoints: those in answers to this router, and observations for other routers."""

from __future__ import annotations

from holdgw.policy.disabled_features import load_report_indexes
from holdgw.policy.settings import Settings
from holdgw.policy.tracked_endpoint import TrackedEndpoint

NS_PER_MS = 1e6
ASSUMED_CONCURRENCY = 4.0  # requests that an endpoint is assumed to serve at the same time
RESPONSE_TIME_SAMPLES = 32  # reports over which the mean response time is smoothed
# An endpoint is overloaded above both this fraction of the latency objective and this multiple of the mean.
OVERLOAD_OBJECTIVE_FRACTION = 0.5
OVERLOAD_MEAN_FACTOR = 1.6
# Above this fraction of the latency objective, admission is inversely proportional to the response time.
LIMIT_OBJECTIVE_FRACTION = 0.8
MAX_OBSERVED_SLOTS = 1024  # slots counted for other routers between two calls of `Observations.take`


class Observations:
    """What this router has observed since the last `take`, for other routers."""

    def __init__(self, enabled: bool) -> None:
        self._enabled = enabled
        self._response_times: dict[str, tuple[float, int]] = {}
        self._slot_requests: dict[int, int] = {}

    def count_request(self, slot: int) -> None:
        """Count a request for a slot."""
        if self._enabled and len(self._slot_requests) < MAX_OBSERVED_SLOTS:
            self._slot_requests[slot] = self._slot_requests.get(slot, 0) + 1

    def record_response_time(self, endpoint_id: str, response_time_ns: float, now_ns: int) -> None:
        """Record the response time that an endpoint has reported."""
        if self._enabled:
            self._response_times[endpoint_id] = response_time_ns, now_ns

    def take(self) -> tuple[dict[str, tuple[float, int]], dict[int, int]]:
        """Return and clear the response times (ns, clock time) by endpoint and the requests by slot."""
        taken = self._response_times, self._slot_requests
        self._response_times = {}
        self._slot_requests = {}
        return taken


class LoadReports:
    """Records the load reports of all endpoints, and determines when an endpoint is overloaded.

    The policy passes each report in an answer, and those that other routers received. It asks for the
    overload response time when a report comes and when the owners of a hot slot are chosen.
    """

    def __init__(self, settings: Settings, latency_objective_ns: int) -> None:
        self.mean_response_time_ns = 0.0
        """Mean response time, smoothed over the reports of all endpoints; 0: there was none yet."""
        self._latency_objective_ns = latency_objective_ns
        self._indexes = load_report_indexes(settings.load_report_fields)

    def response_time_ns(self, values: tuple[float, ...]) -> float | None:
        """Return the response time by a load report's values; None: the settings do not name these values."""
        if self._indexes is None:
            return None
        latency_ms = values[self._indexes[0]]
        queued = values[self._indexes[1]]
        return latency_ms * NS_PER_MS * (1.0 + queued / ASSUMED_CONCURRENCY)

    def record(self, endpoint: TrackedEndpoint, response_time_ns: float, at_ns: int) -> None:
        """Record the response time that an endpoint reported at `at_ns`, to this router or to another one."""
        if self.mean_response_time_ns:
            self.mean_response_time_ns += (
                response_time_ns - self.mean_response_time_ns
            ) / RESPONSE_TIME_SAMPLES
        else:
            self.mean_response_time_ns = response_time_ns
        endpoint.reported.set_limit(self._latency_objective_ns * LIMIT_OBJECTIVE_FRACTION)
        endpoint.record_response_time(response_time_ns, self.overload_response_time_ns(), at_ns)

    def overload_response_time_ns(self) -> float:
        """Return the reported response time (ns) above which an endpoint is overloaded."""
        return max(
            self._latency_objective_ns * OVERLOAD_OBJECTIVE_FRACTION,
            self.mean_response_time_ns * OVERLOAD_MEAN_FACTOR,
        )
