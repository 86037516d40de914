"""A load report to an aggregator, and its forwarding to other aggregators, in at most 256 bytes; pure.

Unlike the load report that routers gossip (`load_report`), it has a sequence number, and no tenants' demand,
which a merged view doesn't carry. A forwarded report contains the reporter's own bytes unchanged.
"""

from __future__ import annotations

import struct
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
    MAX_COUNT,
    SAMPLE_BYTES,
    SLOT,
    decode_samples,
    decode_slot_counts,
    encode_samples,
    encode_slot_counts,
)
from holdgw.peers.load_report import LoadReport

REPORT_KIND = 65
FORWARDED_KIND = 66
"""Stand in the byte of a membership message's kind; a router that doesn't know them drops the datagram."""
_PREFIX = struct.Struct("!BB")  # version, kind
_FORWARDER = struct.Struct("!H")
_HEADER = struct.Struct("!HIIHBB")  # sender, boot_id, sequence, requests, samples, slots
MAX_SAMPLES = 22
MAX_SLOTS = 20
_MIN_BYTES = _PREFIX.size + _HEADER.size


class SequencedReport(NamedTuple):
    """A load report with the sequence number that its sender increments for each report."""

    sequence: int
    report: LoadReport


class ForwardedReport(NamedTuple):
    """A report that the aggregator `forwarder` received from the reporter itself and forwarded."""

    forwarder: int
    sequenced: SequencedReport


def is_sequenced_report(data: bytes) -> bool:
    """Whether a datagram is a report to an aggregator, by its header."""
    return len(data) > 1 and data[0] == VERSION and data[1] == REPORT_KIND


def is_forwarded_report(data: bytes) -> bool:
    """Whether a datagram is a forwarded report, by its header."""
    return len(data) > 1 and data[0] == VERSION and data[1] == FORWARDED_KIND


def encode(sequenced: SequencedReport) -> bytes:
    """Encode a report with the last MAX_SAMPLES of its samples and the first MAX_SLOTS of its slots."""
    return append_checksum(_PREFIX.pack(VERSION, REPORT_KIND) + _encode_body(sequenced))


def _encode_body(sequenced: SequencedReport) -> bytes:
    report = sequenced.report
    samples = report.samples[-MAX_SAMPLES:]
    slots = list(report.slots.items())[:MAX_SLOTS]
    requests = min(report.requests, MAX_COUNT)
    counts = len(samples), len(slots)
    header = _HEADER.pack(report.sender, report.boot_id, sequenced.sequence, requests, *counts)
    return header + encode_samples(samples) + encode_slot_counts(slots)


def decode(data: bytes, members: int) -> SequencedReport:
    """Decode a report in a tier of `members` members; raises DecodeError."""
    body = verify_checksum(data, _MIN_BYTES)
    if body[1] != REPORT_KIND:
        raise DecodeError(DropReason.VALUE)
    return _decode_body(body[_PREFIX.size :], members)


def _decode_body(body: bytes, members: int) -> SequencedReport:
    if len(body) < _HEADER.size:
        raise DecodeError(DropReason.SHORT)
    sender, boot_id, sequence, requests, samples, slots = _HEADER.unpack_from(body)
    samples_end = _HEADER.size + samples * SAMPLE_BYTES
    if len(body) != samples_end + slots * SLOT.size:
        raise DecodeError(DropReason.LENGTH)
    if sender >= members or samples > MAX_SAMPLES or slots > MAX_SLOTS:
        raise DecodeError(DropReason.VALUE)
    report = LoadReport(
        sender,
        boot_id,
        decode_samples(body[_HEADER.size : samples_end]),
        requests,
        decode_slot_counts(body[samples_end:]),
    )
    return SequencedReport(sequence, report)


def forward(data: bytes, forwarder: int) -> bytes:
    """Return the datagram by which the aggregator `forwarder` forwards a report's datagram."""
    report = data[_PREFIX.size : -CHECKSUM_BYTES]
    return append_checksum(_PREFIX.pack(VERSION, FORWARDED_KIND) + _FORWARDER.pack(forwarder) + report)


def decode_forwarded(data: bytes, members: int) -> ForwardedReport:
    """Decode a forwarded report in a tier of `members` members; raises DecodeError."""
    body = verify_checksum(data, _MIN_BYTES + _FORWARDER.size)
    if body[1] != FORWARDED_KIND:
        raise DecodeError(DropReason.VALUE)
    (forwarder,) = _FORWARDER.unpack_from(body, _PREFIX.size)
    if forwarder >= members:
        raise DecodeError(DropReason.VALUE)
    return ForwardedReport(forwarder, _decode_body(body[_PREFIX.size + _FORWARDER.size :], members))


MAX_REPORT_BYTES = _MIN_BYTES + MAX_SAMPLES * SAMPLE_BYTES + MAX_SLOTS * SLOT.size + CHECKSUM_BYTES
assert MAX_REPORT_BYTES + _FORWARDER.size <= MAX_BYTES
