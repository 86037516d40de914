"""News of the server list in the router's own terms, whoever it comes from."""

from __future__ import annotations

from dataclasses import dataclass

from holdgw.policy import ServersChanged
from holdgw.wire.address import Address


@dataclass(frozen=True, slots=True)
class Listing:
    """One piece of news: the module's event, and the address of each server in it that is not gone."""

    generation: int
    change: ServersChanged
    addresses: dict[str, Address]
