"""The public interface of the decisions: settings, events and actions. No decisions are made here.

All times are whole nanoseconds on the caller's own monotonic clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from msgspec import Struct

from holdgw.policy.records import Endpoint as Endpoint
from holdgw.policy.records import EndpointHandover as EndpointHandover
from holdgw.policy.records import EndpointsChanged as EndpointsChanged
from holdgw.policy.records import EndpointState as EndpointState
from holdgw.policy.records import HandoverState as HandoverState
from holdgw.policy.records import TenantHandover as TenantHandover
from holdgw.policy.records import UpdateKind as UpdateKind

NS_PER_S = 1_000_000_000


class Idempotency(Enum):
    """What repeating a request does: nothing, dropped as a duplicate for a while, or harm."""

    IDEMPOTENT = "safe"
    IDEMPOTENCY_KEY = "keyed"
    NOT_IDEMPOTENT = "unsafe"


class DedupScope(Enum):
    """The servers that drop repeats of a keyed request, seen from the one that may have run it."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    MISS = "miss"
    ERROR = "error"
    MALFORMED = "malformed"
    """An answer came that can't be read: the attempt ran, its server is up, and nothing else is known."""
    OVERLOADED = "overloaded"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"

    @property
    def has_no_effect(self) -> bool:
        """Whether the outcome proves that the attempt had no effect."""
        return self in (Outcome.MISS, Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


class CacheStatus(Enum):
    """A cache's remark on an outcome; FETCH_OUT: a miss whose fetch another request was told to do."""

    HIT = 1
    MISS = 2
    MISS_FETCH_PENDING = 3


def _require(ok: bool, key: str, rule: str) -> None:
    if not ok:
        raise ValueError(f"settings: {key} {rule}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests; an answer within `aim` is worth the most."""

    name: str
    latency_objective_ns: int
    deadline_ns: int
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    dedup_scope: DedupScope = DedupScope.ALL
    dedup_window_ns: int = 0
    streamed: bool = False

    def __post_init__(self) -> None:
        _require(bool(self.name), "classes.name", "must not be empty")
        _require(self.latency_objective_ns > 0, "classes.latency_objective_ns", "must be above 0")
        _require(self.deadline_ns > 0, "classes.deadline_ns", "must be above 0")
        _require(self.dedup_window_ns >= 0, "classes.dedup_window_ns", "must not be negative")


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant, its portion of the service, and its requests a second over all routers together."""

    name: str
    weight: float
    quota_per_s: float = 0.0

    def __post_init__(self) -> None:
        _require(0 <= self.weight <= 1, "tenants.weight", "must lie between 0 and 1")
        _require(self.quota_per_s >= 0, "tenants.quota_per_s", "must not be negative")


@dataclass(frozen=True, slots=True)
class Settings:
    """What a router is told at its start."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    routers: int = 1
    origin_kind: str | None = None
    """The machine kind of the origin's list entries; None: the caches fetch for themselves."""
    weights_state_capacity: bool = False
    """Whether list weights state the servers' sizes."""
    subscription_required: bool = False
    """Whether the server list has to be asked for."""
    poll_within_ns: int = 10 * NS_PER_S
    warm_up_initial_weight: float = 1.0
    warm_up_ns: int = 0
    warm_up_overload_factor: float = 4.0
    """A cold server that is sent more than this multiple of what it can do falls over."""
    warm_up_overload_window_ns: int = 0
    """The time in which it is, nanoseconds; 0: not told."""
    max_attempts: int = 4
    retry_after_allowed: bool = False
    max_retry_after_ns: int = NS_PER_S
    health_checks_allowed: bool = False
    load_report_fields: tuple[str, ...] = ()
    """The names of the values in a load report, in order."""
    unrecognized: tuple[tuple[str, str], ...] = ()
    """Parts of the decisions that are off for words that could not be read, each with the reason."""
    workers: int = 1
    gossip_allowed: bool = False
    """Whether routers may speak to one another: then what this one saw is noted for others."""
    worker_index: int = 0
    """This module's number among the workers of one router, which share its limits."""

    def __post_init__(self) -> None:
        _require(bool(self.classes), "classes", "must name at least one class")
        _require(self.routers >= 1, "routers", "must be at least 1")
        _require(self.poll_within_ns > 0, "poll_within_ns", "must be above 0")
        _require(
            0 < self.warm_up_initial_weight <= 1, "warm_up_initial_weight", "must lie above 0 and not over 1"
        )
        _require(self.warm_up_overload_factor > 0, "warm_up_overload_factor", "must be above 0")
        _require(self.warm_up_ns >= 0, "warm_up_ns", "must not be negative")
        _require(self.warm_up_overload_window_ns >= 0, "warm_up_overload_window_ns", "must not be negative")
        _require(self.max_attempts >= 1, "max_attempts", "must be at least 1")
        _require(self.max_retry_after_ns >= 0, "max_retry_after_ns", "must not be negative")
        _require(
            0 <= self.worker_index < self.workers, "worker_index", "must be the number of one of the workers"
        )


class RequestArrived(Struct, frozen=True, gc=False):
    """A client's request; one final answer is owed by `deadline` (clock time)."""

    request_id: str
    request_class: str
    deadline_ns: int
    tenant: str | None = None
    key: str | None = None
    is_write: bool = False
    is_retry: bool = False


class StreamStarted(Struct, frozen=True, gc=False):
    """A streamed answer has begun: the attempt belongs to the client from here on."""

    request_id: str
    attempt: int


class AttemptEnded(Struct, frozen=True, gc=False):
    """The end of one attempt. `closed`: the request has its final answer already."""

    request_id: str
    attempt: int
    endpoint_id: str
    outcome: Outcome
    request_answered: bool
    latency_ns: int
    cache_status: CacheStatus | None = None
    load_report: tuple[float, ...] | None = None
    queued_ns: int = 0
    """The part of `latency` before the request was written: for a connection, or for its dial."""
    first_on_connection: bool = False
    """It was the first on its connection, which takes longer whatever the server's load."""
    response_started: bool = False
    """Some of an answer had come: the attempt ran."""
    idle_connections_closed: bool = False
    """The server had closed connections that rested, before their time, and none has come up since."""


class RequestCancelled(Struct, frozen=True, gc=False):
    """The client has left; nothing is owed any more."""

    request_id: str


class TimerFired(Struct, frozen=True, gc=False):
    """A timer that the router set is due."""

    token: str


class HealthCheckEnded(Struct, frozen=True, gc=False):
    """The result of a probe."""

    endpoint_id: str
    outcome: Outcome
    latency_ns: int
    load_report: tuple[float, ...] | None = None


class LimitSharesChanged(Struct, frozen=True, gc=False):
    """The part of each tenant's limit that this worker may use, of the whole router's; others keep theirs."""

    shares: dict[str, float]


class LoadSnapshotChanged(Struct, frozen=True, gc=False):
    """A new snapshot of the load view that many routers make together; it comes some times a second."""

    response_times: Mapping[str, tuple[float, int]]
    """By server: how long an answer takes there by its load reports, and the age of that figure, both ns."""
    slot_shares: dict[int, float]
    """Of all requests, by slot; what is not named is too small to tell."""
    sampled_requests: float
    """Requests that the shares are counted from."""
    own_requests: float = 0.0
    """Of these, what this router was asked itself."""


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


class SendAttempt(Struct, frozen=True, gc=False):
    """Start an attempt at a server; `timeout` 0: until the client gives up.

    `within`: if its bytes can't be written in so long, they must not be written at all; 0: no bound.
    `why`: what it was made for, in a word for counts: first, next (the one before had failed elsewhere),
    again (where it was), trial (of a server that is left out), fetch or write (at the origin).
    """

    request_id: str
    endpoint_id: str
    timeout_ns: int = 0
    write_within_ns: int = 0
    purpose: str = "first"


class Reject(Struct, frozen=True, gc=False):
    """Final answer: not done, and trying again does no harm."""

    request_id: str
    retry_after_ns: int = 0


class Fail(Struct, frozen=True, gc=False):
    """Final answer: failed. It promises nothing about the effect."""

    request_id: str


class SetTimer(Struct, frozen=True, gc=False):
    """Ask for a TimerFired after `delay`."""

    delay_ns: int
    token: str


class Subscribe(Struct, frozen=True, gc=False):
    """Ask for the changes of the server list from now on."""


class CheckHealth(Struct, frozen=True, gc=False):
    """Examine a server."""

    endpoint_id: str


Action = SendAttempt | Reject | Fail | SetTimer | Subscribe | CheckHealth
