"""The handover state: the learned values of the routing policy that a new process takes over.

Not compiled (`holdgw/native.py`): msgspec reads these types by their annotations, and compiled code keeps
only the `dict` of an annotation like `dict[str, EndpointHandover]`. `rename` keeps the field names of earlier
versions, so that processes of different versions can hand over to each other.
"""

from __future__ import annotations

from msgspec import Struct, field

_ENDPOINT_FIELD_NAMES = {
    "admission_probability": "chance",
    "ejected": "down",
    "slot_retention": "share",
    "failure_fraction": "bad",
    "latency_ns": "pace",
    "usual_in_flight": "usual_load",
}
_STATE_FIELD_NAMES = {
    "endpoints": "servers",
    "slot_popularity": "heat",
    "tenant_usage": "usage",
    "origin_latency_ns": "origin_time",
    "write_concurrency_limit": "width",
    "cache_answers": "sent",
}


class EndpointHandover(Struct, frozen=True, rename=_ENDPOINT_FIELD_NAMES):
    """The learned state of one cache server."""

    admission_probability: float
    ejected: bool
    slot_retention: float
    """Fraction of its slots that it keeps, 0 to 1."""
    failure_fraction: float
    latency_ns: float
    """Smoothed latency of its answers, nanoseconds; 0: there was none yet."""
    usual_in_flight: float


class TenantHandover(Struct, frozen=True, rename={"rate_limit": "limit"}):
    """The state of a tenant's origin limiter: its rate limit, and the calls in its window."""

    rate_limit: float
    """Origin calls a second."""
    calls: tuple[tuple[int, bool], ...]
    """Each call's clock time in nanoseconds, and whether it was declined."""


class HandoverState(Struct, frozen=True, rename=_STATE_FIELD_NAMES):
    """The state from which another process of the router may continue; any part may be missing."""

    endpoints: dict[str, EndpointHandover] = field(default_factory=dict)
    """State by endpoint id; cache servers only."""
    tenants: dict[str, TenantHandover] = field(default_factory=dict)
    """State by tenant name; "" stands for requests without a known tenant."""
    slot_popularity: dict[int, float] = field(default_factory=dict)
    """Recent requests by slot."""
    tenant_usage: dict[str, float] = field(default_factory=dict)
    """Recent requests by tenant."""
    origin_latency_ns: float = 0.0
    """Smoothed latency of the origin's good answers that were not late, nanoseconds; 0: unknown."""
    write_concurrency_limit: float = 0.0
    """Number of attempts in flight at the origin at which further writes are queued; 0: unknown."""
    cache_answers: float = 0.0
    """Exponentially decaying count of recent answers from cache servers; 0: unknown."""
