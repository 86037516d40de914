"""How a router divides its file descriptors between clients and endpoints."""

from __future__ import annotations

from typing import NamedTuple

from holdgw.router.client_listener import MAX_REJECTING_CONNECTIONS

OWN_DESCRIPTORS = 32
"""Reserved for standard streams, listeners, the event loop, discovery and admin endpoint connections."""
CLIENT_DESCRIPTOR_FRACTION = 0.5
MIN_DIVIDED_DESCRIPTORS = 8


class DescriptorLimits(NamedTuple):
    """The most descriptors for connections to clients and to endpoints at a time."""

    clients: int
    endpoints: int


def descriptor_limits(max_descriptors: int, processes: int = 1) -> DescriptorLimits:
    """Divide one process's part of the `max_descriptors` that `processes` processes share.

    Descriptors are also reserved for clients' connections that are only rejected: without that, a flood of
    them would leave no descriptors for discovery or for connections to endpoints.
    """
    reserved = OWN_DESCRIPTORS + MAX_REJECTING_CONNECTIONS
    available = max(max_descriptors // processes - reserved, MIN_DIVIDED_DESCRIPTORS)
    clients = int(available * CLIENT_DESCRIPTOR_FRACTION)
    return DescriptorLimits(clients, available - clients)
