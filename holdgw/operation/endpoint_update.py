"""News of the server list in the router's own terms, whoever it comes from."""

from __future__ import annotations

from msgspec import Struct

from holdgw.policy import EndpointsChanged
from holdgw.wire.address import Address


class EndpointUpdate(Struct, frozen=True):
    """One piece of news: the module's event, and the address of each server in it that is not gone."""

    generation: int
    change: EndpointsChanged
    addresses: dict[str, Address]
