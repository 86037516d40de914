"""Records of what emulated servers and clients observed: the only evidence that the checker uses.

Times are seconds on the monotonic clock that all processes of one machine share. Records are encoded as
arrays with a tag, so the order of their fields is part of the format.
"""

from __future__ import annotations

from typing import Protocol

import msgspec


class Attempt(msgspec.Struct, array_like=True, tag="attempt"):
    """An attempt that reached an emulated cache server or the emulated origin."""

    request: str
    server: str
    at: float
    """When the server read its last byte."""
    result: str
    """hit, miss, pending, served, repeat, failed, busy, gone (the process died while it held the attempt) or
    open (not finished when the run ended).
    """
    ended: float
    serial: int
    """Number of this record at its server; the value of an answer contains it."""
    fault: str = ""
    effect: bool = False
    """Whether this attempt changed data at the origin."""
    idempotency: str = ""
    missing: str = ""
    first_on_connection: bool = False
    """Whether it was the first request on its connection."""
    work: float = 0.0
    """Core-seconds that it costs when executed."""
    held_since: float = 0.0
    """When the router sent it, if a blocked link delayed it; 0 if none did."""
    arrived: float = 0.0
    """Latest time at which its last byte can have reached this machine; before `at` if the server's process
    had no core to read it. 0: unknown.
    """


class EndpointStateSent(msgspec.Struct, array_like=True, tag="told"):
    """Discovery wrote the state of an endpoint to a router."""

    router: str
    server: str
    state: str
    at: float
    since: float
    """When the router's discovery agent, or its view of the endpoint list, had the state."""
    full: bool = False
    """Whether it was written as part of a full endpoint list."""


class EndpointStateAvailable(msgspec.Struct, array_like=True, tag="had"):
    """The view of a router received the state of an endpoint, whether or not it was written to the router."""

    router: str
    server: str
    state: str
    at: float


class DiscoveryCut(msgspec.Struct, array_like=True, tag="deaf"):
    """The link between a router and discovery is blocked from `at` until `until`."""

    router: str
    at: float
    until: float


class OverrideAccepted(msgspec.Struct, array_like=True, tag="handed"):
    """A router accepted an administrative override: `out` of rotation, or its withdrawal."""

    router: str
    server: str
    out: bool
    at: float


class WarmUpCrash(msgspec.Struct, array_like=True, tag="fallen"):
    """A cache server crashed because it was overloaded while it was warming up.

    `sent` and `limit` are core-seconds of work.
    """

    server: str
    at: float
    sent: float
    limit: float


class ProtocolViolation(msgspec.Struct, array_like=True, tag="odd"):
    """A server received something that no router may send."""

    server: str
    at: float
    text: str


class ClientRequest(msgspec.Struct, array_like=True, tag="try"):
    """One request of a client to one router; a client retry is a further record."""

    request: str
    ask: int
    """The scheduled request to which it belongs."""
    number: int
    """0 for the first request, counting client retries."""
    router: str
    sent: float
    """When its last byte was written."""
    wait: float
    """The client's deadline as it was sent, seconds."""
    answer: str
    """served, refused, failed; none (its deadline passed), cut (the connection ended), left (the client
    disconnected), unsent (no connection, or the connection failed before a byte was sent).
    """
    ended: float
    server: str = ""
    """The server whose value it was served with."""
    serial: int = -1
    fault: str = ""
    """What was wrong with the served value."""
    retry_after: float = -1.0
    """Seconds of Retry-After in a rejection; -1 if there was none."""
    crossed: float = 0.0
    """When the router closed an idle connection while this request was being sent on it; the client then sent
    the request again on a new connection (PROTOCOL, "Clients to routers"). 0 if this did not happen.
    """


class ExtraAnswer(msgspec.Struct, array_like=True, tag="extra"):
    """A further answer arrived for a request that already had its final answer."""

    request: str
    router: str
    at: float


LAG_BOUNDS_MS = (0.5, 1.0, 1.5, 2.0, 3.0, 4.0, 5.0, 7.0, 10.0, 15.0, 20.0, 30.0, 40.0, 60.0, 100.0, 200.0)


class Lag(msgspec.Struct, array_like=True, tag="lag"):
    """Event-loop lag of a worker process: how late its timer fired in the interval that ended at `at`."""

    worker: str
    at: float
    worst: float
    buckets: tuple[int, ...]
    """Number of readings up to each bound of LAG_BOUNDS_MS, and of those above the last one."""


class Flushed(msgspec.Struct, array_like=True, tag="flushed"):
    """A share of a cache server's copies was flushed: `gone` copies were dropped, `kept` remain."""

    server: str
    at: float
    gone: int
    kept: int


class DiscoveryCall(msgspec.Struct, array_like=True, tag="called"):
    """A router called discovery."""

    router: str
    at: float
    full: bool
    """Whether it requested the full list, and not the changes after a version."""
    failed: bool = False
    """Whether discovery was down and rejected the call."""


class ConnectionOpened(msgspec.Struct, array_like=True, tag="dialled"):
    """A router opened a connection to a cache server."""

    server: str
    at: float
    accepted: bool
    """Whether the server kept it; above its limit it resets new connections."""


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
    """Receives the records of emulated servers and clients, and the origin's reads and writes.

    It passes the reads and writes of the origin on to all cache servers.
    """

    def record(self, record: Record) -> None:
        """Store a record."""

    def stored(self, request: bytes, key: bytes, size: int) -> None:
        """The origin answered a read of a connected router: servers that missed for it store the value."""

    def voided(self, key: bytes) -> None:
        """A write was executed: every copy of the key is invalid."""
