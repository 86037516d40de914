"""Administrative overrides of single endpoints, applied on top of discovery's list. No I/O, no clock.

An overridden endpoint is presented to the router as draining, whatever state discovery lists, so all code
that handles draining endpoints handles overrides too. All times are nanoseconds of the monotonic clock.
"""

from __future__ import annotations

from typing import NamedTuple

from msgspec.structs import replace

from holdgw.operation.endpoint_update import EndpointUpdate
from holdgw.policy import Endpoint, EndpointsChanged, EndpointState, UpdateKind
from holdgw.wire.address import Address

MAX_OVERRIDES = 4096  # many times the number of endpoints


class UnknownEndpointError(Exception):
    """The endpoint id can't be overridden, mostly as no cache server is listed with it.

    The text is one plain line, which the admin endpoint returns to its caller.
    """


class _ListedEndpoint(NamedTuple):
    """An endpoint as discovery lists it."""

    endpoint: Endpoint
    address: Address


class _ClearedOverride(NamedTuple):
    """An override that was cleared."""

    began_ns: int
    ended_ns: int


class EndpointOverrides:
    """The endpoint list as last received from discovery, and the overrides of its endpoints."""

    def __init__(self, origin_kind: str | None) -> None:
        """`origin_kind`: the kind of the origin, which can't be overridden; None if there is no origin."""
        self._origin_kind = origin_kind
        self._listed: dict[str, _ListedEndpoint] = {}
        self._generation = 0
        self._overridden: dict[str, int] = {}  # endpoint id -> when its override was set
        self._cleared: dict[str, _ClearedOverride] = {}

    def apply(self, update: EndpointUpdate) -> EndpointUpdate:
        """Apply an endpoint update from discovery; returns it with the overrides applied."""
        self._generation = update.generation
        is_delta = update.change.kind is UpdateKind.DELTA
        if not is_delta:
            self._listed = {}
        for endpoint in update.change.endpoints:
            if endpoint.state is EndpointState.GONE:
                self._listed.pop(endpoint.id, None)
                self._cleared.pop(endpoint.id, None)
            else:
                self._listed[endpoint.id] = _ListedEndpoint(endpoint, update.addresses[endpoint.id])
        if not is_delta:
            self._cleared = {
                name: override for name, override in self._cleared.items() if name in self._listed
            }
        if not self._overridden and not self._cleared:
            return update
        endpoints = tuple(map(self._effective, update.change.endpoints))
        return replace(update, change=EndpointsChanged(update.change.kind, endpoints))

    def full_update(self) -> EndpointUpdate:
        """The complete endpoint list with the overrides applied."""
        endpoints = tuple(self._effective(listed.endpoint) for listed in self._listed.values())
        addresses = {name: listed.address for name, listed in self._listed.items()}
        return EndpointUpdate(self._generation, EndpointsChanged(UpdateKind.FULL, endpoints), addresses)

    def enter_maintenance(self, endpoint_id: str, now_ns: int) -> EndpointUpdate | None:
        """Override an endpoint; returns the update for the router, None if it was overridden already.

        Raises UnknownEndpointError, also if there are MAX_OVERRIDES already.
        """
        self._check_overridable(endpoint_id)
        if endpoint_id in self._overridden:
            return None
        if len(self._overridden) >= MAX_OVERRIDES:
            raise UnknownEndpointError("too many servers are out by hand")
        return self.restore_override(endpoint_id, now_ns)

    def restore_override(self, endpoint_id: str, since_ns: int) -> EndpointUpdate | None:
        """Apply an override sent by another process of this router; the endpoint may not be listed yet."""
        if endpoint_id in self._overridden or len(self._overridden) >= MAX_OVERRIDES:
            return None
        self._overridden[endpoint_id] = since_ns
        self._cleared.pop(endpoint_id, None)
        return self._update_of(endpoint_id)

    def exit_maintenance(self, endpoint_id: str, now_ns: int) -> EndpointUpdate | None:
        """Clear an override, however often it was set; returns the update for the router, or None.

        Raises UnknownEndpointError where there was no override and no cache server is listed by this id.
        """
        since_ns = self._overridden.pop(endpoint_id, None)
        if since_ns is None:
            self._check_overridable(endpoint_id)
            return None
        # The endpoint may have been restarted during its override, and discovery lists the new start time
        # seconds late. Taken for warm, the endpoint would get its full load at once and be overloaded, so its
        # start time is set to now. An endpoint that was not restarted regains its load over the warm-up time.
        self._cleared[endpoint_id] = _ClearedOverride(since_ns, now_ns)
        return self._update_of(endpoint_id)

    def _check_overridable(self, endpoint_id: str) -> None:
        listed = self._listed.get(endpoint_id)
        if listed is None:
            raise UnknownEndpointError(f"no server {endpoint_id!r} in the list")
        if listed.endpoint.kind == self._origin_kind:
            raise UnknownEndpointError(f"{endpoint_id!r} is the origin, which nothing can stand in for")

    def _update_of(self, endpoint_id: str) -> EndpointUpdate | None:
        listed = self._listed.get(endpoint_id)
        if listed is None:
            return None
        change = EndpointsChanged(UpdateKind.DELTA, (self._effective(listed.endpoint),))
        return EndpointUpdate(self._generation, change, {endpoint_id: listed.address})

    def _effective(self, endpoint: Endpoint) -> Endpoint:
        """The endpoint as the router is to see it.

        An overridden endpoint that discovery lists as ready is draining. One whose override was cleared has
        the time of the clearing as its start time, until discovery lists a start since the override was set.
        """
        if endpoint.id in self._overridden and endpoint.state is EndpointState.READY:
            return replace(endpoint, state=EndpointState.DRAINING)
        cleared = self._cleared.get(endpoint.id)
        if cleared is not None and endpoint.started_ns < cleared.began_ns:
            return replace(endpoint, started_ns=cleared.ended_ns)
        return endpoint

    @property
    def overridden(self) -> dict[str, int]:
        """When each override was set, monotonic ns, by endpoint id; the endpoint may not be listed now."""
        return dict(self._overridden)

    @property
    def discovered_count(self) -> int:
        """How many cache servers are listed, draining ones included."""
        return sum(listed.endpoint.kind != self._origin_kind for listed in self._listed.values())

    def excluded_count(self, ejected: list[str]) -> int:
        """How many listed cache servers are overridden or ejected."""
        return len((self._overridden.keys() | set(ejected)) & self._listed.keys())
