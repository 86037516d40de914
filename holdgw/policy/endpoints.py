"""The endpoint list: its entries, and the updates that change it.

Not compiled (`holdgw/native.py`): msgspec reads these types by their annotations when processes of one router
exchange them. Renamed fields keep the names that earlier versions wrote.
"""

from __future__ import annotations

from enum import Enum

from msgspec import Struct


class UpdateKind(Enum):
    """What an endpoint update holds."""

    DELTA = "delta"
    """Only the entries that changed."""
    FULL = "full"
    """All entries; an endpoint that is not among them has been removed."""
    CACHED = "cached"
    """All entries as last saved on this machine, possibly outdated."""
    FAILED = "failed"
    """No entries, because discovery could not be reached."""


class EndpointState(Enum):
    """The lifecycle state of a listed endpoint; only ready endpoints get requests."""

    GONE = "gone"
    READY = "ready"
    DRAINING = "draining"


class Endpoint(Struct, frozen=True, rename={"started_ns": "started"}):
    """One entry of the endpoint list: a cache server, or the origin."""

    id: str
    kind: str = ""
    state: EndpointState = EndpointState.READY
    weight: float = 1.0
    started_ns: int = 0
    """Clock time of the endpoint's start; 0: long ago, so its cache is warm."""
    zone: str = ""
    cell: int = 0


class EndpointsChanged(Struct, frozen=True, gc=False, rename={"endpoints": "servers"}):
    """An event: an update of the endpoint list. A FAILED update has no entries, and changes nothing."""

    kind: UpdateKind
    endpoints: tuple[Endpoint, ...] = ()
