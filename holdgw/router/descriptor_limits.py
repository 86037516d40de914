"""How a router divides its file descriptors between clients and endpoints."""

from __future__ import annotations

from typing import NamedTuple

from holdgw.router.client_listener import MAX_REJECTING_CONNECTIONS

OWN_DESCRIPTORS = 32
"""Standard streams, listeners, the event loop, discovery and the admin endpoint's connections."""
CLIENT_DESCRIPTOR_FRACTION = 0.5
MIN_DIVIDED_DESCRIPTORS = 8


class DescriptorLimits(NamedTuple):
    """The descriptors that each side may hold at a time."""

    clients: int
    endpoints: int


def descriptor_limits(max_descriptors: int, processes: int = 1) -> DescriptorLimits:
    """Divide one process's part of `max_descriptors`, where so many processes share them.

    Clients' connections that are only rejected are set aside: uncounted, a flood of them would leave no
    descriptors for discovery or for connections to endpoints.
    """
    reserved = OWN_DESCRIPTORS + MAX_REJECTING_CONNECTIONS
    divided = max(max_descriptors // processes - reserved, MIN_DIVIDED_DESCRIPTORS)
    clients = int(divided * CLIENT_DESCRIPTOR_FRACTION)
    return DescriptorLimits(clients, divided - clients)
