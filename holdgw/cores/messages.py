"""Messages between a supervisor and its worker processes. Unknown fields of any message are ignored."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec
from msgspec.structs import replace

from holdgw.operation.endpoint_update import EndpointUpdate
from holdgw.operation.process_link import MAX_PART_ITEMS, ClientHandover, HandoverPart, batched
from holdgw.policy import EndpointsChanged


class EndpointUpdatePart(msgspec.Struct, tag="listed", rename={"update": "listing"}, frozen=True):
    """An endpoint update or a part of one, which the worker applies once it has all parts."""

    update: EndpointUpdate
    more: bool
    """Whether another part follows."""


class LimitShares(msgspec.Struct, tag="shares", frozen=True):
    """The limit shares that the worker applies from now on."""

    number: int
    """The sequence number of this message among those of its kind to one worker."""
    shares: dict[str, float]
    """By tenant, 0 to 1; a tenant that is absent keeps its share."""


class NewClient(msgspec.Struct, tag="fresh", rename={"accepted_ns": "since"}, frozen=True):
    """A new client's connection, sent with its descriptor."""

    accepted_ns: int
    """When it was accepted, on the machine's monotonic clock; its first request has waited since then."""


class HandOver(msgspec.Struct, tag="handover", frozen=True):
    """Tells the worker to hand back each client's connection once all its requests are answered, and end."""


class Serving(msgspec.Struct, tag="serving", frozen=True):
    """The worker has the endpoint list and can serve."""


class ClientsAccepted(msgspec.Struct, tag="took", rename={"accepted": "dealt"}, frozen=True):
    """Confirms how many of the connections sent the worker owns; it has read nothing of the last one yet."""

    accepted: int
    """The number of connections since the worker's start."""


class WorkerReport(
    msgspec.Struct, tag="account", rename={"shares_number": "shares", "ejected": "avoided"}, frozen=True
):
    """A worker's load, demand and metrics."""

    connected: int
    """The number of connected clients."""
    shares_number: int
    """The number of the last LimitShares that the worker applied."""
    demands: dict[str, float]
    """Calls to the origin that each tenant asks for, per second."""
    results: dict[str, list[int]]
    """Final answers since the worker's start, by request class, in Disposition's order."""
    forwards: int
    """Attempts written completely to endpoints since the worker's start."""
    outstanding: int
    """The number of unanswered requests."""
    ejected: list[str]
    """Ids of ejected endpoints."""


ToWorker = EndpointUpdatePart | LimitShares | HandOver | HandoverPart | NewClient | ClientHandover
ToSupervisor = Serving | ClientsAccepted | WorkerReport | HandoverPart | ClientHandover

decode_to_worker = msgspec.msgpack.Decoder(ToWorker).decode
decode_to_supervisor = msgspec.msgpack.Decoder(ToSupervisor).decode


def split_update(update: EndpointUpdate) -> Iterator[EndpointUpdatePart]:
    """Split an endpoint update into messages of at most MAX_PART_ITEMS endpoints."""
    batches = list(batched(update.change.endpoints, MAX_PART_ITEMS)) or [[]]
    for i, batch in enumerate(batches):
        change = EndpointsChanged(update.change.kind, tuple(batch))
        addresses = {
            endpoint.id: update.addresses[endpoint.id]
            for endpoint in batch
            if endpoint.id in update.addresses
        }
        yield EndpointUpdatePart(replace(update, change=change, addresses=addresses), i + 1 < len(batches))


class UpdateAssembler:
    """Joins the parts of endpoint updates."""

    def __init__(self) -> None:
        self._incomplete: EndpointUpdate | None = None

    def add(self, part: EndpointUpdatePart) -> EndpointUpdate | None:
        """Add a part; returns the update once all its parts are there, else None."""
        update = part.update if self._incomplete is None else _join(self._incomplete, part.update)
        self._incomplete = update if part.more else None
        return None if part.more else update


def _join(update: EndpointUpdate, next_part: EndpointUpdate) -> EndpointUpdate:
    change = EndpointsChanged(update.change.kind, update.change.endpoints + next_part.change.endpoints)
    return replace(update, change=change, addresses=update.addresses | next_part.addresses)
