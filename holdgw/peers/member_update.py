"""The membership update that routers send to one another, and the reasons for dropping a datagram."""

from __future__ import annotations

from enum import IntEnum, StrEnum
from typing import NamedTuple


class MemberState(IntEnum):
    """State of a member. With equal incarnations, the update with the higher state overrides the other."""

    ALIVE = 0
    SUSPECTED = 1
    GONE = 2
    LEFT = 3


class MemberUpdate(NamedTuple):
    """A member's state in the view of the update's sender."""

    number: int
    state: MemberState
    incarnation: int
    zone: int


class DropReason(StrEnum):
    """Why a datagram was dropped; the values are labels in the metrics."""

    SHORT = "short"
    VERSION = "version"
    CHECKSUM = "checksum"
    LENGTH = "length"
    VALUE = "value"
    UNKNOWN_SOURCE = "stranger"
    """The source address belongs to no peer."""
    FORGED = "forged"
    """The sender named in the datagram is not the peer at the source address."""
    SEND_LIMIT = "bound"
    """The datagram was not sent, as it would exceed the bound on bytes sent."""
    STALLED = "stalled"
    """A load report or view of unknown age, as it was read after this process had stalled."""
    REPLAYED = "replayed"
    """A duplicate of a load report or view received before, or one older than that."""
    UNEXPECTED = "unexpected"
    """A view from an aggregator to which this router has sent no report lately, a report to a member that is
    no aggregator, or a report that such a member forwarded."""


class DecodeError(Exception):
    """A datagram can't be decoded or must not be acted on; the error's text is the value of `reason`."""

    def __init__(self, reason: DropReason) -> None:
        super().__init__(reason.value)
        self.reason = reason
