"""What stand-ins and clients saw, as plain records: the only evidence that the rules are judged by.

Times are seconds on the monotonic clock that all processes of one machine share.
"""

from __future__ import annotations

from typing import Protocol

import msgspec


class Attempt(msgspec.Struct, array_like=True, tag="attempt"):
    """A request that reached a mirror node or the package store."""

    request: str
    server: str
    at: float
    """When its last byte had come."""
    result: str
    """hit, miss, pending, served, repeat, failed, busy, gone (the process died with it) or open (never
    ended).
    """
    ended: float
    serial: int
    """Counts the answers of this server; an answer's value names it."""
    fault: str = ""
    effect: bool = False
    """It changed something at the package store, then and there."""
    idempotency: str = ""
    missing: str = ""
    first_on_connection: bool = False
    """The first on its connection."""
    work: float = 0.0
    """Core-seconds, if it ran."""
    held_since: float = 0.0
    """When it was sent, where a cut line held it back; 0: none did."""
    arrived: float = 0.0
    """When its last byte had come to this machine, at the latest: before `at`, where the server's process had
    no core to read it. 0: not told."""


class EndpointStateSent(msgspec.Struct, array_like=True, tag="told"):
    """Discovery wrote a server's state to a router."""

    router: str
    server: str
    state: str
    at: float
    since: float
    """When that router's agent, or its view, had the state."""
    full: bool = False


class EndpointStateAvailable(msgspec.Struct, array_like=True, tag="had"):
    """A router's view has a server's state, whether or not it is written to the router."""

    router: str
    server: str
    state: str
    at: float


class DiscoveryCut(msgspec.Struct, array_like=True, tag="deaf"):
    """The line between a router and discovery is cut, from when to when."""

    router: str
    at: float
    until: float


class OverrideAccepted(msgspec.Struct, array_like=True, tag="handed"):
    """A router said yes to staff who take a server out by hand, or call it back."""

    router: str
    server: str
    out: bool
    at: float


class WarmUpCrash(msgspec.Struct, array_like=True, tag="fallen"):
    """A cold mirror node was pushed over."""

    server: str
    at: float
    sent: float
    limit: float


class ProtocolViolation(msgspec.Struct, array_like=True, tag="odd"):
    """Something came that no router should send."""

    server: str
    at: float
    text: str


class ClientRequest(msgspec.Struct, array_like=True, tag="try"):
    """One try of a client: one request to one router."""

    request: str
    ask: int
    """Which of the day's asks it belongs to."""
    number: int
    """0 for the first try."""
    router: str
    sent: float
    """When its last byte was written."""
    wait: float
    """How long the client said it would wait, seconds."""
    answer: str
    """served, refused, failed; none (its time ran out), cut (the connection ended), left (the client went
    away), unsent (no connection, or it broke before a byte was sent)."""
    ended: float
    server: str = ""
    """Whose value it was served with."""
    serial: int = -1
    fault: str = ""
    """What was wrong with a value that was served."""
    retry_after: float = -1.0
    """Seconds after which a refusal told it to come again; -1: it did not."""
    crossed: float = 0.0
    """When the router closed an idle connection just as this request was sent on it; the client then sent it
    once more on a new one (PROTOCOL, "Clients to routers"). 0: it did not happen."""


class ExtraAnswer(msgspec.Struct, array_like=True, tag="extra"):
    """One more answer came to a request that had its final one."""

    request: str
    router: str
    at: float


LAG_BOUNDS_MS = (0.5, 1.0, 1.5, 2.0, 3.0, 4.0, 5.0, 7.0, 10.0, 15.0, 20.0, 30.0, 40.0, 60.0, 100.0, 200.0)


class Lag(msgspec.Struct, array_like=True, tag="lag"):
    """How late a worker's own timer was, the worst in a stretch that ended at `at`."""

    worker: str
    at: float
    worst: float
    buckets: tuple[int, ...]
    """Readings by LAG_BOUNDS_MS, those beyond the last bound in one more."""


class Flushed(msgspec.Struct, array_like=True, tag="flushed"):
    """Copies went void at once."""

    server: str
    at: float
    gone: int
    kept: int


class DiscoveryCall(msgspec.Struct, array_like=True, tag="called"):
    """A router called the list service."""

    router: str
    at: float
    full: bool
    """For the whole list, and not for what is newer than a version."""
    failed: bool = False
    """The service was down."""


class ConnectionOpened(msgspec.Struct, array_like=True, tag="dialled"):
    """A connection to a mirror node came up."""

    server: str
    at: float
    accepted: bool
    """Its table had room."""


Record = (
    Attempt
    | EndpointStateSent
    | EndpointStateAvailable
    | DiscoveryCut
    | OverrideAccepted
    | WarmUpCrash
    | ProtocolViolation
    | ClientRequest
    | ExtraAnswer
    | Lag
    | Flushed
    | DiscoveryCall
    | ConnectionOpened
)


class Recorder(Protocol):
    """Whoever keeps the records."""

    def record(self, record: Record) -> None:
        """Keep one."""

    def stored(self, request: bytes, key: bytes, size: int) -> None:
        """The package store answered a read that is still waited for: nodes that missed for it keep it."""

    def voided(self, key: bytes) -> None:
        """A write was carried out: every copy of the key is void."""
