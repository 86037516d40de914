"""A change of the endpoint list, independent of the source that it was read from."""

from __future__ import annotations

from msgspec import Struct

from holdgw.policy import EndpointsChanged
from holdgw.wire.address import Address


class EndpointUpdate(Struct, frozen=True):
    """An endpoint update: the policy's event, and the addresses of its endpoints whose state is not GONE."""

    generation: int
    """Discovery's generation number of the list, from which a watch continues."""
    change: EndpointsChanged
    addresses: dict[str, Address]
    """By endpoint id."""
