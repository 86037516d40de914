"""A router's load report: its own observations in one datagram of at most 256 bytes; pure.

Routers never report observations received from others, so that a false report counts as one router's only.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Mapping
from typing import NamedTuple

from holdgw.peers.datagram import (
    MAX_BYTES,
    VERSION,
    DecodeError,
    DropReason,
    append_checksum,
    verify_checksum,
)
from holdgw.peers.load_encoding import (
    MAX_COUNT,
    SAMPLE_BYTES,
    SLOT,
    ServerSample,
    decode_samples,
    decode_slot_counts,
    encode_samples,
    encode_slot_counts,
)

KIND = 64
"""Stands in the byte of a membership message's kind, and differs from all of these kinds."""
_HEADER = struct.Struct("!BBHIHBBB")  # version, kind, sender, boot_id, requests, samples, slots, tenants
_TENANT = struct.Struct("!BH")
MAX_SERVERS = 22
MAX_SLOTS = 18
MAX_TENANTS = 4


class LoadReport(NamedTuple):
    """One router's recent observations. `requests` and `slots`: decayed counts of its requests."""

    sender: int
    boot_id: int
    samples: tuple[ServerSample, ...] = ()
    requests: int = 0
    slots: Mapping[int, int] = {}
    demands: Mapping[int, int] = {}
    """By the tenant's index in the settings: demand for the origin, in tenths of a request a second."""


def hash_server(server_id: str) -> int:
    """Return the hash that stands for a server in reports; views leave out servers whose hashes collide."""
    return zlib.crc32(server_id.encode())


def is_load_report(data: bytes) -> bool:
    """Whether a datagram is a load report, by its header."""
    return len(data) > 1 and data[0] == VERSION and data[1] == KIND


def encode(report: LoadReport) -> bytes:
    """Encode a report; a value beyond its field's range is sent as the field's maximum."""
    assert len(report.samples) <= MAX_SERVERS
    assert len(report.slots) <= MAX_SLOTS
    assert len(report.demands) <= MAX_TENANTS
    counts = len(report.samples), len(report.slots), len(report.demands)
    requests = min(report.requests, MAX_COUNT)
    header = _HEADER.pack(VERSION, KIND, report.sender, report.boot_id, requests, *counts)
    demands = b"".join(_TENANT.pack(index, min(rate, MAX_COUNT)) for index, rate in report.demands.items())
    body = encode_samples(report.samples) + encode_slot_counts(report.slots.items()) + demands
    data = append_checksum(header + body)
    assert len(data) <= MAX_BYTES
    return data


def decode(data: bytes, members: int) -> LoadReport:
    """Decode a report in a tier of `members` members; raises DecodeError."""
    body = verify_checksum(data, _HEADER.size)
    _, kind, sender, boot_id, requests, samples, slots, tenants = _HEADER.unpack_from(body)
    samples_end = _HEADER.size + samples * SAMPLE_BYTES
    slots_end = samples_end + slots * SLOT.size
    if len(body) != slots_end + tenants * _TENANT.size:
        raise DecodeError(DropReason.LENGTH)
    if kind != KIND or sender >= members:
        raise DecodeError(DropReason.VALUE)
    return LoadReport(
        sender,
        boot_id,
        decode_samples(body[_HEADER.size : samples_end]),
        requests,
        decode_slot_counts(body[samples_end:slots_end]),
        dict(_TENANT.iter_unpack(body[slots_end:])),
    )
