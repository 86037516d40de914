"""An aggregator's merged view of the load on the fleet, in datagrams of at most 256 bytes; pure.

Each datagram is usable without the others. Ages are sent instead of times. The view's own age is the time
since the aggregator merged the reports; it is written when the datagram is sent, and the receiver adds it to
each age in the view.
"""

from __future__ import annotations

import struct
from collections.abc import Mapping
from typing import NamedTuple

from holdgw.peers.datagram import (
    CHECKSUM_BYTES,
    MAX_BYTES,
    VERSION,
    DecodeError,
    DropReason,
    append_checksum,
    verify_checksum,
)
from holdgw.peers.load_encoding import (
    AGE_STEP,
    MAX_AGE,
    SAMPLE_BYTES,
    SLOT,
    ServerSample,
    age_steps,
    decode_samples,
    encode_samples,
)
from holdgw.peers.load_merge import MergedLoad

VIEW_KIND = 67
"""Stands in the byte of a membership message's kind; a router that doesn't know it drops the datagram."""
_HEADER = struct.Struct("!BBHIIBBBHIBB")
"""Version, kind, aggregator, boot_id, sequence, age, part, parts, reporters, requests, number of response
times, number of slots."""
_AGE_OFFSET = 12  # byte of the age in a datagram
_CONTENT_BYTES = MAX_BYTES - _HEADER.size - CHECKSUM_BYTES  # for response times and slots
MAX_SERVERS_PER_PART = _CONTENT_BYTES // SAMPLE_BYTES
MAX_SLOTS = _CONTENT_BYTES // SLOT.size
MAX_SERVERS = 4 * MAX_SERVERS_PER_PART
"""In one view; of more servers, those with the most samples are sent."""
MAX_SHARE_STEPS = 0xFFFF
SHARE_STEP = 1.0 / MAX_SHARE_STEPS


class ViewPart(NamedTuple):
    """One datagram of a view. `sequence` is the view's number, which its aggregator increments."""

    aggregator: int
    boot_id: int
    sequence: int
    age: int
    """Time since the reports were merged, ns."""
    part: int
    parts: int
    reporters: int
    requests: int
    response_times: tuple[ServerSample, ...] = ()
    """Ages as of the time at which the reports were merged."""
    slot_shares: Mapping[int, float] = {}


def is_view(data: bytes) -> bool:
    """Whether a datagram is a part of a view, by its header."""
    return len(data) > 1 and data[0] == VERSION and data[1] == VIEW_KIND


def split(merged: MergedLoad, aggregator: int, boot_id: int, sequence: int) -> list[ViewPart]:
    """Split a view into parts: first the response times, then the largest shares in the remaining bytes."""
    response_times = merged.response_times[:MAX_SERVERS]
    slots = list(merged.slot_shares.items())[:MAX_SLOTS]
    contents: list[tuple[tuple[ServerSample, ...], dict[int, float]]] = []
    while response_times or slots or not contents:
        part_response_times = response_times[:MAX_SERVERS_PER_PART]
        response_times = response_times[MAX_SERVERS_PER_PART:]
        slot_count = (_CONTENT_BYTES - len(part_response_times) * SAMPLE_BYTES) // SLOT.size
        contents.append((part_response_times, dict(slots[:slot_count])))
        slots = slots[slot_count:]
    totals = len(contents), min(merged.reporters, 0xFFFF), min(merged.requests, 0xFFFFFFFF)
    return [
        ViewPart(aggregator, boot_id, sequence, 0, part, *totals, *content)
        for part, content in enumerate(contents)
    ]


def encode_body(view: ViewPart) -> bytes:
    """Encode a part without its checksum."""
    header = _HEADER.pack(
        VERSION,
        VIEW_KIND,
        *view[:3],
        age_steps(view.age),
        *view[4:8],
        len(view.response_times),
        len(view.slot_shares),
    )
    slots = b"".join(
        SLOT.pack(slot, min(round(share / SHARE_STEP), MAX_SHARE_STEPS))
        for slot, share in view.slot_shares.items()
    )
    return header + encode_samples(view.response_times) + slots


def to_datagram(body: bytes, age: int) -> bytes:
    """Return the datagram of an encoded part; `age`: time since the reports were merged, ns."""
    return append_checksum(body[:_AGE_OFFSET] + bytes((age_steps(age),)) + body[_AGE_OFFSET + 1 :])


def decode(data: bytes, members: int) -> ViewPart:
    """Decode a part in a tier of `members` members; raises DecodeError."""
    body = verify_checksum(data, _HEADER.size)
    header = _HEADER.unpack_from(body)
    _, kind, aggregator, boot_id, sequence, age, part, parts, reporters, requests, response_times, slots = (
        header
    )
    response_times_end = _HEADER.size + response_times * SAMPLE_BYTES
    if len(body) != response_times_end + slots * SLOT.size:
        raise DecodeError(DropReason.LENGTH)
    # The largest age also stands for every greater one, so a view that carries it is of unknown age.
    if kind != VIEW_KIND or aggregator >= members or part >= parts or age * AGE_STEP >= MAX_AGE:
        raise DecodeError(DropReason.VALUE)
    return ViewPart(
        aggregator,
        boot_id,
        sequence,
        age * AGE_STEP,
        part,
        parts,
        reporters,
        requests,
        decode_samples(body[_HEADER.size : response_times_end]),
        {slot: share * SHARE_STEP for slot, share in SLOT.iter_unpack(body[response_times_end:])},
    )
