"""What a supervisor and its workers say to each other. Unknown fields of any message are ignored."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec
from msgspec.structs import replace

from holdgw.operation.endpoint_update import EndpointUpdate
from holdgw.operation.process_link import MAX_PART_ITEMS, ClientHandover, HandoverPart, batched
from holdgw.policy import EndpointsChanged


class EndpointUpdatePart(msgspec.Struct, tag="listed", frozen=True):
    """News of the list, or a part of it; it is taken once all parts are there."""

    listing: EndpointUpdate
    more: bool


class LimitShares(msgspec.Struct, tag="shares", frozen=True):
    """The part of each tenant's limit that is the worker's from now on."""

    number: int
    shares: dict[str, float]


class NewClient(msgspec.Struct, tag="fresh", frozen=True):
    """A new client's connection, whose descriptor comes along."""

    since: int
    """When it was accepted (monotonic ns, the machine's): what it asked since has waited so long."""


class HandOver(msgspec.Struct, tag="handover", frozen=True):
    """Give every client's connection back, each once nothing taken on it is unanswered, and end."""


class Serving(msgspec.Struct, tag="serving", frozen=True):
    """The worker has the list of servers and can serve."""


class ClientsAccepted(msgspec.Struct, tag="took", frozen=True):
    """So many connections of those dealt are the worker's now; nothing was read of the last one yet."""

    dealt: int


class WorkerReport(msgspec.Struct, tag="account", frozen=True):
    """How the worker stands."""

    connected: int
    shares: int
    """Number of the shares that it goes by."""
    demands: dict[str, float]
    results: dict[str, list[int]]
    """Final answers since its start, by class, in Disposition's order."""
    forwards: int
    outstanding: int
    avoided: list[str]


ToWorker = EndpointUpdatePart | LimitShares | HandOver | HandoverPart | NewClient | ClientHandover
ToSupervisor = Serving | ClientsAccepted | WorkerReport | HandoverPart | ClientHandover

decode_to_worker = msgspec.msgpack.Decoder(ToWorker).decode
decode_to_supervisor = msgspec.msgpack.Decoder(ToSupervisor).decode


def split_update(listing: EndpointUpdate) -> Iterator[EndpointUpdatePart]:
    """Cut news of the list into messages."""
    batches = list(batched(listing.change.endpoints, MAX_PART_ITEMS)) or [[]]
    for i, batch in enumerate(batches):
        change = EndpointsChanged(listing.change.kind, tuple(batch))
        addresses = {one.id: listing.addresses[one.id] for one in batch if one.id in listing.addresses}
        yield EndpointUpdatePart(replace(listing, change=change, addresses=addresses), i + 1 < len(batches))


class UpdateAssembler:
    """Puts news of the list together again."""

    def __init__(self) -> None:
        self._held: EndpointUpdate | None = None

    def take(self, part: EndpointUpdatePart) -> EndpointUpdate | None:
        """Take a part; returns the news once it is whole."""
        listing = part.listing
        if self._held is not None:
            held = self._held
            change = EndpointsChanged(held.change.kind, held.change.endpoints + listing.change.endpoints)
            listing = replace(held, change=change, addresses=held.addresses | listing.addresses)
        self._held = listing if part.more else None
        return None if part.more else listing
