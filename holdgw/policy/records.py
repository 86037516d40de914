"""What processes of a router tell each other in the module's terms: the list of servers, and what was learnt.

Apart from the rest of the interface, which is compiled: msgspec reads these by their annotations, and of an
annotation like dict[str, LearntServer] compiled code keeps the dict alone. All times are whole nanoseconds.
"""

from __future__ import annotations

from enum import Enum

from msgspec import Struct, field

# Field names in messages between processes. They are kept, so that a process of an earlier version and one of
# this version can hand over to each other.
_ENDPOINT_HANDOVER_KEYS = {
    "admission_probability": "chance",
    "ejected": "down",
    "slot_retention": "share",
    "failure_fraction": "bad",
    "latency_ns": "pace",
    "usual_in_flight": "usual_load",
}
_HANDOVER_KEYS = {
    "endpoints": "servers",
    "slot_popularity": "heat",
    "tenant_usage": "usage",
    "origin_latency_ns": "origin_time",
    "write_concurrency_limit": "width",
    "cache_answers": "sent",
}


class UpdateKind(Enum):
    """What a membership event holds."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class EndpointState(Enum):
    """The state of a listed server."""

    GONE = "gone"
    READY = "ready"
    DRAINING = "draining"


class Endpoint(Struct, frozen=True, rename={"started_ns": "started"}):
    """One entry of the server list; `started` 0: long ago."""

    id: str
    kind: str = ""
    state: EndpointState = EndpointState.READY
    weight: float = 1.0
    started_ns: int = 0
    zone: str = ""
    cell: int = 0


class EndpointsChanged(Struct, frozen=True, gc=False, rename={"endpoints": "servers"}):
    """News of the server list. FAILED has no entries, and the list held stays valid."""

    kind: UpdateKind
    endpoints: tuple[Endpoint, ...] = ()


class EndpointHandover(Struct, frozen=True, rename=_ENDPOINT_HANDOVER_KEYS):
    """What a router has found out about one cache server; times in nanoseconds."""

    admission_probability: float
    ejected: bool
    slot_retention: float
    failure_fraction: float
    latency_ns: float
    usual_in_flight: float


class TenantHandover(Struct, frozen=True, rename={"rate_limit": "limit"}):
    """A tenant's limit of origin fetches a second, and its calls lately: clock time, and if declined."""

    rate_limit: float
    calls: tuple[tuple[int, bool], ...]


class HandoverState(Struct, frozen=True, rename=_HANDOVER_KEYS):
    """What a router has learnt and another process of it may go on from; any part may be missing."""

    endpoints: dict[str, EndpointHandover] = field(default_factory=dict)
    tenants: dict[str, TenantHandover] = field(default_factory=dict)
    slot_popularity: dict[int, float] = field(default_factory=dict)
    tenant_usage: dict[str, float] = field(default_factory=dict)
    origin_latency_ns: float = 0.0
    """Smoothed time of good fetches in nanoseconds; 0: not told."""
    write_concurrency_limit: float = 0.0
    """Most attempts at the origin before writes are held; 0: not told."""
    cache_answers: float = 0.0
    """Attempts at caches, fading; 0: not told."""
