"""One change of the endpoint list, in the router's own terms, whatever it was learnt from."""

from __future__ import annotations

from msgspec import Struct

from holdgw.policy import EndpointsChanged
from holdgw.wire.address import Address


class EndpointUpdate(Struct, frozen=True):
    """An endpoint update: the policy's event, and the addresses of the endpoints in it that are not gone."""

    generation: int
    """Discovery's number of the list, from which a watch goes on."""
    change: EndpointsChanged
    addresses: dict[str, Address]
    """By endpoint id."""
