"""Settings of the routing policy, in its own terms; `settings_reader` maps the settings' keys to them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from holdgw.policy.units import NS_PER_S


class Idempotency(Enum):
    """What a repeat of a request does."""

    IDEMPOTENT = "safe"
    """Nothing more than the first did."""
    IDEMPOTENCY_KEY = "keyed"
    """It is dropped as a duplicate, within the dedup window and the dedup scope."""
    NOT_IDEMPOTENT = "unsafe"
    """It takes effect a second time."""


class DedupScope(Enum):
    """The endpoints that drop repeats of a request, relative to the one that may have run it."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


def _require(ok: bool, key: str, rule: str) -> None:
    if not ok:
        raise ValueError(f"settings: {key} {rule}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Settings for one kind of request.

    Raises:
        ValueError: a value is out of its range.
    """

    name: str
    latency_objective_ns: int
    """An answer within this time is worth the most."""
    deadline_ns: int
    """After this time nothing is owed but an error."""
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    dedup_scope: DedupScope = DedupScope.ALL
    dedup_window_ns: int = 0
    """How long after the first attempt a repeat is dropped."""
    streamed: bool = False

    def __post_init__(self) -> None:
        _require(bool(self.name), "classes.name", "must not be empty")
        _require(self.latency_objective_ns > 0, "classes.latency_objective_ns", "must be above 0")
        _require(self.deadline_ns > 0, "classes.deadline_ns", "must be above 0")
        _require(self.dedup_window_ns >= 0, "classes.dedup_window_ns", "must not be negative")


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer: its weight in the service, and its quota over all routers together.

    Raises:
        ValueError: a value is out of its range.
    """

    name: str
    weight: float
    """0 to 1."""
    quota_per_s: float = 0.0
    """Origin calls a second; 0: not stated."""

    def __post_init__(self) -> None:
        _require(0 <= self.weight <= 1, "tenants.weight", "must lie between 0 and 1")
        _require(self.quota_per_s >= 0, "tenants.quota_per_s", "must not be negative")


@dataclass(frozen=True, slots=True)
class Settings:
    """What a routing policy goes by from its start.

    Raises:
        ValueError: a value is out of its range.
    """

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    routers: int = 1
    origin_kind: str | None = None
    """The `kind` of the origin's entries in the endpoint list; None: caches fetch for themselves."""
    weights_state_capacity: bool = False
    """Whether weights in the endpoint list state the endpoints' capacity."""
    subscription_required: bool = False
    """Whether the policy has to subscribe to the endpoint list."""
    poll_within_ns: int = 10 * NS_PER_S
    """A failed poll of the endpoint list must be repeated within this time."""
    warm_up_initial_weight: float = 1.0
    """Fraction of its weight that an endpoint has as it starts."""
    warm_up_ns: int = 0
    warm_up_overload_factor: float = 4.0
    """An endpoint that warms up and is sent more than this multiple of what it can do falls over."""
    warm_up_overload_window_ns: int = 0
    """The time over which that is counted; 0: not stated."""
    max_attempts: int = 4
    retry_after_allowed: bool = False
    """Whether a rejection may state a Retry-After."""
    max_retry_after_ns: int = NS_PER_S
    health_checks_allowed: bool = False
    load_report_fields: tuple[str, ...] = ()
    """The names of the values in a load report, in order."""
    unrecognized: tuple[tuple[str, str], ...] = ()
    """Features that are off because a setting's word is unknown here, each with the reason."""
    workers: int = 1
    """Worker processes of this router, which share its limits."""
    gossip_allowed: bool = False
    """Whether routers may exchange gossip; the policy then notes its observations for others."""
    worker_index: int = 0
    """This process's number among the workers, from 0."""

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
