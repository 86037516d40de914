"""Settings of the routing policy; `settings_reader` reads them from the keys of the settings file."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from holdgw.policy.units import NS_PER_S


class Idempotency(Enum):
    """The effect of a repeated request."""

    IDEMPOTENT = "safe"
    """A repeat has no further effect."""
    IDEMPOTENCY_KEY = "keyed"
    """A repeat is dropped as a duplicate, within the dedup window and the dedup scope."""
    NOT_IDEMPOTENT = "unsafe"
    """A repeat takes effect a second time."""


class DedupScope(Enum):
    """Which endpoints drop a repeat: all, or those in the zone or cell of the one that may have run it."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


def _require(ok: bool, key: str, rule: str) -> None:
    if not ok:
        raise ValueError(f"settings: {key} {rule}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """The settings of one request class.

    Raises:
        ValueError: a value is out of its range.
    """

    name: str
    latency_objective_ns: int
    """An answer within this time has the highest value."""
    deadline_ns: int
    """After this time an error is the only answer that is due."""
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    dedup_scope: DedupScope = DedupScope.ALL
    dedup_window_ns: int = 0
    """How long after the first attempt endpoints drop a repeat."""
    streamed: bool = False

    def __post_init__(self) -> None:
        _require(bool(self.name), "classes.name", "must not be empty")
        _require(self.latency_objective_ns > 0, "classes.latency_objective_ns", "must be above 0")
        _require(self.deadline_ns > 0, "classes.deadline_ns", "must be above 0")
        _require(self.dedup_window_ns >= 0, "classes.dedup_window_ns", "must not be negative")


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant: its weight in the service, and its quota for all routers together.

    Raises:
        ValueError: a value is out of its range.
    """

    name: str
    weight: float
    """The tenant's share of the service, 0 to 1."""
    quota_per_s: float = 0.0
    """Origin calls a second; 0: no quota is stated."""

    def __post_init__(self) -> None:
        _require(0 <= self.weight <= 1, "tenants.weight", "must lie between 0 and 1")
        _require(self.quota_per_s >= 0, "tenants.quota_per_s", "must not be negative")


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of a routing policy; they do not change while it runs.

    Raises:
        ValueError: a value is out of its range.
    """

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    routers: int = 1
    origin_kind: str | None = None
    """The `kind` of the origin's entries in the endpoint list; None: cache servers fetch by themselves."""
    weights_state_capacity: bool = False
    """Whether weights in the endpoint list are the endpoints' capacities."""
    subscription_required: bool = False
    """Whether the policy has to subscribe to the endpoint list."""
    poll_within_ns: int = 10 * NS_PER_S
    """Time within which a failed poll of the endpoint list must be repeated."""
    warm_up_initial_weight: float = 1.0
    """Warm-up weight of an endpoint at its start: a fraction of its weight."""
    warm_up_ns: int = 0
    warm_up_overload_factor: float = 4.0
    """An endpoint that is warming up fails if it gets more than this multiple of what it can handle."""
    warm_up_overload_window_ns: int = 0
    """Time over which its requests are counted for `warm_up_overload_factor`; 0: not stated."""
    max_attempts: int = 4
    retry_after_allowed: bool = False
    """Whether a rejection may state a Retry-After."""
    max_retry_after_ns: int = NS_PER_S
    health_checks_allowed: bool = False
    load_report_fields: tuple[str, ...] = ()
    """Names of the values in a load report, in their order."""
    unrecognized: tuple[tuple[str, str], ...] = ()
    """Features that are disabled because a setting has an unknown value, each with the reason."""
    workers: int = 1
    """Number of worker processes of this router, which share its limits."""
    gossip_allowed: bool = False
    """Whether routers may exchange gossip; if so, the policy collects observations for other routers."""
    worker_index: int = 0
    """Index of this process among the workers, from 0."""

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
