"""Reads endpoint lists in discovery's JSON format; no other module knows its field names."""

from __future__ import annotations

import logging
import math
import time
from collections.abc import Callable
from typing import Any

from holdgw.operation.endpoint_update import EndpointUpdate
from holdgw.policy import Endpoint, EndpointsChanged, EndpointState, UpdateKind
from holdgw.wire.address import Address, parse_address

NS_PER_MS = 1_000_000
_STATES = {"up": EndpointState.READY, "draining": EndpointState.DRAINING, "removed": EndpointState.GONE}

log = logging.getLogger("holdgw")


class Clock:
    """Converts Unix times to monotonic times, by the difference between both clocks at its creation."""

    def __init__(
        self,
        monotonic_ns: Callable[[], int] = time.monotonic_ns,
        unix_ns: Callable[[], int] = time.time_ns,
    ) -> None:
        self._difference_ns = unix_ns() - monotonic_ns()

    def monotonic(self, unix_ms: int) -> int:
        """Return the monotonic time in nanoseconds; 0, which stands for long ago, stays 0."""
        return unix_ms * NS_PER_MS - self._difference_ns if unix_ms else 0


def read_endpoint_list(body: Any, clock: Clock, kind: UpdateKind | None = None) -> EndpointUpdate:
    """Read the JSON document of an endpoint list or of a change.

    Args:
        body: The decoded document.
        clock: Converts the start times of endpoints.
        kind: The kind of the update; None for the kind that the document states.

    Raises:
        ValueError: The document is not a list, or none of its entries can be read.
    """
    endpoints: dict[str, Endpoint] = {}
    addresses: dict[str, Address] = {}
    try:
        if kind is None:
            kind = UpdateKind.FULL if body["reset"] else UpdateKind.DELTA
        generation = int(body["generation"])
        entries = list(body["instances"])
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"not a list of servers: {type(error).__name__}: {error}") from None
    for entry in entries:
        # One malformed entry must not invalidate the others, which may report draining endpoints: the same
        # list would be polled again and again. A list with only malformed entries is refused, because it
        # would empty the endpoint list.
        try:
            endpoint = _read_endpoint(entry, clock)
            if endpoint.state is not EndpointState.GONE:
                addresses[endpoint.id] = parse_address("hostPort", entry["hostPort"])
            endpoints[endpoint.id] = endpoint
        except (KeyError, TypeError, AttributeError, ValueError, OverflowError) as error:
            log.warning("endpoint entry malformed, skipped error=%s: %s", type(error).__name__, error)
    if entries and not endpoints:
        raise ValueError("not a list of servers: no entry can be read")
    return EndpointUpdate(generation, EndpointsChanged(kind, tuple(endpoints.values())), addresses)


def _read_endpoint(entry: dict[str, Any], clock: Clock) -> Endpoint:
    if not isinstance(entry["instanceId"], str):
        raise TypeError("instanceId must be a string")
    weight = 1.0 if entry.get("weight") is None else float(entry["weight"])
    if not 0 <= weight < math.inf:
        raise ValueError("weight must be a number of 0 or more")
    return Endpoint(
        id=entry["instanceId"],
        kind=entry.get("machineType") or "",
        state=_STATES[entry["lifecycle"]],
        weight=weight,
        started_ns=clock.monotonic(int(entry.get("startedAtMs") or 0)),
        zone=entry.get("zone") or "",
        cell=int(entry.get("cell") or 0),
    )
