"""The operators' word on single servers, laid over discovery's list. No I/O, no clock.

A server out by hand is shown to the router as draining, whatever discovery says of it, so that everything
that keeps drains keeps this one too.
"""

from __future__ import annotations

from msgspec.structs import replace

from holdgw.operation.endpoint_update import EndpointUpdate
from holdgw.policy import Endpoint, EndpointsChanged, EndpointState, UpdateKind
from holdgw.wire.address import Address

MAX_OVERRIDES = 4096  # ids out by hand: many times the servers there are


class UnknownEndpointError(Exception):
    """The id is of no cache server in the list; the text is one plain line."""


class EndpointOverrides:
    """Discovery's list as last told, and which of its servers are out by hand. Times: monotonic ns."""

    def __init__(self, origin_kind: str | None) -> None:
        self._origin_kind = origin_kind
        self._listed: dict[str, tuple[Endpoint, Address]] = {}
        self._generation = 0
        self._out: dict[str, int] = {}  # id -> since when
        self._back: dict[str, tuple[int, int]] = {}  # id -> how long it was out: from, until

    def apply(self, listing: EndpointUpdate) -> EndpointUpdate:
        """Take news of discovery; returns it as the router is to see it."""
        self._generation = listing.generation
        if listing.change.kind is not UpdateKind.DELTA:
            self._listed = {}
        for server in listing.change.endpoints:
            if server.state is EndpointState.GONE:
                self._listed.pop(server.id, None)
                self._back.pop(server.id, None)
            else:
                self._listed[server.id] = server, listing.addresses[server.id]
        if listing.change.kind is not UpdateKind.DELTA:
            self._back = {name: spell for name, spell in self._back.items() if name in self._listed}
        if not self._out and not self._back:
            return listing
        seen = tuple(map(self._seen, listing.change.endpoints))
        return replace(listing, change=EndpointsChanged(listing.change.kind, seen))

    def full_update(self) -> EndpointUpdate:
        """The whole list as the router is to see it."""
        servers = tuple(self._seen(server) for server, _ in self._listed.values())
        addresses = {name: address for name, (_, address) in self._listed.items()}
        return EndpointUpdate(self._generation, EndpointsChanged(UpdateKind.FULL, servers), addresses)

    def enter_maintenance(self, server_id: str, now: int) -> EndpointUpdate | None:
        """Take a server out by hand; returns the news for the router, None where it was out already.

        Raises UnknownServerError.
        """
        self._known(server_id)
        if server_id in self._out:
            return None
        if len(self._out) >= MAX_OVERRIDES:
            raise UnknownEndpointError("too many servers are out by hand")
        return self.restore_override(server_id, now)

    def restore_override(self, server_id: str, since: int) -> EndpointUpdate | None:
        """The same for an id that may not be listed yet: the word of another process of this router."""
        if server_id in self._out or len(self._out) >= MAX_OVERRIDES:
            return None
        self._out[server_id] = since
        self._back.pop(server_id, None)
        return self._news(server_id)

    def exit_maintenance(self, server_id: str, now: int) -> EndpointUpdate | None:
        """Undo it, however often it was asked for; returns the news. Raises UnknownServerError."""
        since = self._out.pop(server_id, None)
        if since is None:
            self._known(server_id)
            return None
        # Danger: the server was restarted while it was out, and discovery tells of it seconds late. Believed
        # to be as warm as it was, it would be sent its full load at once, and pushed over. It could do harm
        # to one that was not restarted: it gets its load back over the time that a cold one takes.
        self._back[server_id] = since, now
        return self._news(server_id)

    def _known(self, server_id: str) -> None:
        entry = self._listed.get(server_id)
        if entry is None:
            raise UnknownEndpointError(f"no server {server_id!r} in the list")
        if entry[0].kind == self._origin_kind:
            raise UnknownEndpointError(f"{server_id!r} is the origin, which nothing can stand in for")

    def _news(self, server_id: str) -> EndpointUpdate | None:
        entry = self._listed.get(server_id)
        if entry is None:
            return None
        change = EndpointsChanged(UpdateKind.DELTA, (self._seen(entry[0]),))
        return EndpointUpdate(self._generation, change, {server_id: entry[1]})

    def _seen(self, server: Endpoint) -> Endpoint:
        if server.id in self._out and server.state is EndpointState.READY:
            return replace(server, state=EndpointState.DRAINING)
        spell = self._back.get(server.id)
        if spell is not None and server.started_ns < spell[0]:
            return replace(server, started_ns=spell[1])
        return server

    @property
    def overridden(self) -> dict[str, int]:
        """The ids out by hand, listed or not, and since when."""
        return dict(self._out)

    @property
    def discovered_count(self) -> int:
        """How many cache servers are in the list, those that drain among them."""
        return sum(server.kind != self._origin_kind for server, _ in self._listed.values())

    def excluded_count(self, by_choice: list[str]) -> int:
        """How many listed cache servers are avoided: by hand, or by the module's choice."""
        return len((self._out.keys() | set(by_choice)) & self._listed.keys())
