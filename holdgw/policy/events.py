"""Events, which a dispatcher passes to the routing policy one at a time by `RoutingPolicy.handle`.

All times are whole nanoseconds of the dispatcher's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

from msgspec import Struct

from holdgw.policy.endpoints import EndpointsChanged


class Outcome(Enum):
    """How an attempt or a health check ended."""

    OK = "ok"
    MISS = "miss"
    """The cache server has no value for the key."""
    ERROR = "error"
    MALFORMED = "malformed"
    """The answer can't be parsed: the attempt ran and its endpoint is up; nothing else is known."""
    OVERLOADED = "overloaded"
    """The endpoint rejected the request because of its load."""
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    """The connection broke after the request was written."""
    CANCELLED = "cancelled"
    """The router cancelled the attempt, because its client had left."""
    NOT_SENT = "not_sent"
    """Nothing of the request was written."""

    @property
    def has_no_effect(self) -> bool:
        """Whether the outcome proves that the attempt had no effect."""
        if self is Outcome.OK:
            return False
        return self in (Outcome.MISS, Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)

    @property
    def was_attempted(self) -> bool:
        """Whether the outcome concerns the endpoint: not if the attempt was cancelled or never sent."""
        return self is not Outcome.CANCELLED and self is not Outcome.NOT_SENT

    @property
    def is_answer(self) -> bool:
        """Whether the endpoint answered anything, even an error."""
        return self.is_good_answer or self in (Outcome.ERROR, Outcome.MALFORMED, Outcome.OVERLOADED)

    @property
    def is_good_answer(self) -> bool:
        """Whether the endpoint answered as requested, with a value or a miss."""
        return self is Outcome.OK or self is Outcome.MISS

    @property
    def is_connection_failure(self) -> bool:
        """Whether the connection could not be established, or broke."""
        return self is Outcome.CONNECT_FAILED or self is Outcome.RESET


class CacheStatus(Enum):
    """Whether the cache server had the value, as its answer states."""

    HIT = 1
    MISS = 2
    MISS_FETCH_PENDING = 3
    """A miss; the cache server has already let another request fetch the value."""


class RequestArrived(Struct, frozen=True, gc=False):
    """A client's request, which must get exactly one final answer by its deadline."""

    request_id: str
    request_class: str
    deadline_ns: int
    """Clock time."""
    tenant: str | None = None
    key: str | None = None
    is_write: bool = False
    is_retry: bool = False


class StreamStarted(Struct, frozen=True, gc=False):
    """A streamed answer has begun: the endpoint has done its work, and the rest depends on the client."""

    request_id: str
    attempt: int


class AttemptEnded(Struct, frozen=True, gc=False):
    """The end of one attempt."""

    request_id: str
    attempt: int
    endpoint_id: str
    outcome: Outcome
    request_answered: bool
    """Whether the request has its final answer already."""
    latency_ns: int
    """Since `SendAttempt`, without the time for which the router was held up; includes `queued_ns`."""
    cache_status: CacheStatus | None = None
    load_report: tuple[float, ...] | None = None
    """The endpoint's load report, in the order of `Settings.load_report_fields`."""
    queued_ns: int = 0
    """The part of the latency before the request was written: the wait for a connection, or for its dial."""
    first_on_connection: bool = False
    """Whether the request was the first on its connection, and so took longer whatever the load."""
    response_started: bool = False
    """Whether part of an answer had arrived, so the attempt ran."""
    value_broke_off: bool = False
    """Whether its value broke off after the client got a part, which only the same value can complete."""
    idle_connections_closed: bool = False
    """With CONNECT_FAILED only: whether the endpoint closed its idle connections, and none was made since."""


class RequestCancelled(Struct, frozen=True, gc=False):
    """The client has left, so the request needs no answer any more."""

    request_id: str


class TimerFired(Struct, frozen=True, gc=False):
    """The delay of a `SetTimer` has passed."""

    token: str


class HealthCheckEnded(Struct, frozen=True, gc=False):
    """The result of a health check."""

    endpoint_id: str
    outcome: Outcome
    latency_ns: int
    load_report: tuple[float, ...] | None = None


class LimitSharesChanged(Struct, frozen=True, gc=False):
    """New limit shares of this worker process."""

    shares: dict[str, float]
    """By tenant: this worker's fraction of the router's limit; tenants that are not named keep theirs."""


class LoadSnapshotChanged(Struct, frozen=True, gc=False):
    """A new snapshot of the load view that routers build from each other's reports, some times a second."""

    response_times: Mapping[str, tuple[float, int]]
    """By endpoint id: the reported response time, and the age of that report, both in nanoseconds."""
    slot_shares: dict[int, float]
    """By slot: its fraction of all requests; slots that are not named have too few for an estimate."""
    sampled_requests: float
    """Number of requests from which the fractions are estimated."""
    own_requests: float = 0.0
    """Number of these requests that this router received itself."""


Event = (
    LimitSharesChanged
    | LoadSnapshotChanged
    | EndpointsChanged
    | RequestArrived
    | StreamStarted
    | AttemptEnded
    | RequestCancelled
    | TimerFired
    | HealthCheckEnded
)
