"""What a process hands to its successor: the values that the routing policy has learned.

Not compiled (`holdgw/native.py`): msgspec reads these types by their annotations, and of an annotation like
`dict[str, EndpointHandover]` compiled code keeps the dict alone. `rename` keeps the field names that earlier
versions wrote, so that processes of different versions can hand over to each other.
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
    """What was learned of one cache server."""

    admission_probability: float
    ejected: bool
    slot_retention: float
    """Fraction of its slots that it keeps, 0 to 1."""
    failure_fraction: float
    latency_ns: float
    """Smoothed latency of its answers, nanoseconds; 0: none came yet."""
    usual_in_flight: float


class TenantHandover(Struct, frozen=True, rename={"rate_limit": "limit"}):
    """A tenant's origin limiter: its rate limit, and the calls in its window."""

    rate_limit: float
    """Origin calls a second."""
    calls: tuple[tuple[int, bool], ...]
    """Each call's clock time in nanoseconds, and whether it was declined."""


class HandoverState(Struct, frozen=True, rename=_STATE_FIELD_NAMES):
    """What a router has learned and another process of it may continue from; any part may be missing."""

    endpoints: dict[str, EndpointHandover] = field(default_factory=dict)
    """By endpoint id; cache servers only."""
    tenants: dict[str, TenantHandover] = field(default_factory=dict)
    """By tenant name; "" for requests of no known tenant."""
    slot_popularity: dict[int, float] = field(default_factory=dict)
    """Requests lately, by slot."""
    tenant_usage: dict[str, float] = field(default_factory=dict)
    """Requests lately, by tenant."""
    origin_latency_ns: float = 0.0
    """Smoothed latency of good fetches, nanoseconds; 0: unknown."""
    write_concurrency_limit: float = 0.0
    """Most attempts in flight at the origin before writes are queued; 0: unknown."""
    cache_answers: float = 0.0
    """Answers of cache servers lately, as an exponentially decaying count; 0: unknown."""
