"""Administrative overrides of single endpoints, laid over discovery's list. No I/O, no clock.

An overridden endpoint is shown to the router as draining, whatever discovery says of it, so that everything
that honours a drain honours an override too. All times are nanoseconds of the monotonic clock.
"""

from __future__ import annotations

from typing import NamedTuple

from msgspec.structs import replace

from holdgw.operation.endpoint_update import EndpointUpdate
from holdgw.policy import Endpoint, EndpointsChanged, EndpointState, UpdateKind
from holdgw.wire.address import Address

MAX_OVERRIDES = 4096  # many times the endpoints there are


class UnknownEndpointError(Exception):
    """The id is of no cache server in the list; the text is one plain line."""


class _ListedEndpoint(NamedTuple):
    """An endpoint as discovery lists it."""

    endpoint: Endpoint
    address: Address


class _PastOverride(NamedTuple):
    """An override that was cleared."""

    began_ns: int
    ended_ns: int


class EndpointOverrides:
    """Discovery's list as last received, and which of its endpoints are overridden."""

    def __init__(self, origin_kind: str | None) -> None:
        """`origin_kind`: the kind of the origin, which can't be overridden; None: there is no origin."""
        self._origin_kind = origin_kind
        self._listed: dict[str, _ListedEndpoint] = {}
        self._generation = 0
        self._overridden: dict[str, int] = {}  # id -> since when
        self._past: dict[str, _PastOverride] = {}

    def apply(self, update: EndpointUpdate) -> EndpointUpdate:
        """Apply an update of discovery; returns it with the overrides laid over it."""
        self._generation = update.generation
        is_delta = update.change.kind is UpdateKind.DELTA
        if not is_delta:
            self._listed = {}
        for endpoint in update.change.endpoints:
            if endpoint.state is EndpointState.GONE:
                self._listed.pop(endpoint.id, None)
                self._past.pop(endpoint.id, None)
            else:
                self._listed[endpoint.id] = _ListedEndpoint(endpoint, update.addresses[endpoint.id])
        if not is_delta:
            self._past = {name: past for name, past in self._past.items() if name in self._listed}
        if not self._overridden and not self._past:
            return update
        endpoints = tuple(map(self._effective, update.change.endpoints))
        return replace(update, change=EndpointsChanged(update.change.kind, endpoints))

    def full_update(self) -> EndpointUpdate:
        """The complete list with the overrides laid over it."""
        endpoints = tuple(self._effective(listed.endpoint) for listed in self._listed.values())
        addresses = {name: listed.address for name, listed in self._listed.items()}
        return EndpointUpdate(self._generation, EndpointsChanged(UpdateKind.FULL, endpoints), addresses)

    def enter_maintenance(self, server_id: str, now: int) -> EndpointUpdate | None:
        """Override an endpoint; returns the update for the router, None where it was overridden already.

        Raises UnknownEndpointError, also where MAX_OVERRIDES is reached.
        """
        self._check_overridable(server_id)
        if server_id in self._overridden:
            return None
        if len(self._overridden) >= MAX_OVERRIDES:
            raise UnknownEndpointError("too many servers are out by hand")
        return self.restore_override(server_id, now)

    def restore_override(self, server_id: str, since: int) -> EndpointUpdate | None:
        """Apply an override that another process of this router has sent; the id may not be listed yet."""
        if server_id in self._overridden or len(self._overridden) >= MAX_OVERRIDES:
            return None
        self._overridden[server_id] = since
        self._past.pop(server_id, None)
        return self._update_of(server_id)

    def exit_maintenance(self, server_id: str, now: int) -> EndpointUpdate | None:
        """Clear an override, however often it was set; returns the update for the router.

        Raises UnknownEndpointError.
        """
        since = self._overridden.pop(server_id, None)
        if since is None:
            self._check_overridable(server_id)
            return None
        # The endpoint may have been restarted during its override, which discovery lists seconds late. Taken
        # for warm, it would be sent its full load at once and be overloaded; so it counts as started now. One
        # that was not restarted gets its load back over the warm-up time.
        self._past[server_id] = _PastOverride(since, now)
        return self._update_of(server_id)

    def _check_overridable(self, server_id: str) -> None:
        listed = self._listed.get(server_id)
        if listed is None:
            raise UnknownEndpointError(f"no server {server_id!r} in the list")
        if listed.endpoint.kind == self._origin_kind:
            raise UnknownEndpointError(f"{server_id!r} is the origin, which nothing can stand in for")

    def _update_of(self, server_id: str) -> EndpointUpdate | None:
        listed = self._listed.get(server_id)
        if listed is None:
            return None
        change = EndpointsChanged(UpdateKind.DELTA, (self._effective(listed.endpoint),))
        return EndpointUpdate(self._generation, change, {server_id: listed.address})

    def _effective(self, endpoint: Endpoint) -> Endpoint:
        """The endpoint with its override, or with the start time that a past one stands for."""
        if endpoint.id in self._overridden and endpoint.state is EndpointState.READY:
            return replace(endpoint, state=EndpointState.DRAINING)
        past = self._past.get(endpoint.id)
        if past is not None and endpoint.started_ns < past.began_ns:
            return replace(endpoint, started_ns=past.ended_ns)
        return endpoint

    @property
    def overridden(self) -> dict[str, int]:
        """The overridden ids, listed or not, and since when."""
        return dict(self._overridden)

    @property
    def discovered_count(self) -> int:
        """How many cache servers are listed, draining ones among them."""
        return sum(listed.endpoint.kind != self._origin_kind for listed in self._listed.values())

    def excluded_count(self, ejected: list[str]) -> int:
        """How many listed cache servers are overridden or ejected."""
        return len((self._overridden.keys() | set(ejected)) & self._listed.keys())
