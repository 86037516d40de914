"""Encoding of reported response times and slot counts, shared by load reports and merged views; pure.

Ages are sent instead of times, so that routers' clocks need not agree.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from typing import NamedTuple

AGE_STEP = 40_000_000  # ns; resolution of an age, which is sent in one byte
MAX_AGE_STEPS = 0xFF
MAX_AGE = MAX_AGE_STEPS * AGE_STEP
RESPONSE_TIME_STEP = 1_000_000  # ns; resolution of a response time, which is sent in two bytes
MAX_RESPONSE_TIME_STEPS = 0xFFFF
MAX_COUNT = 0xFFFF
_SAMPLE = struct.Struct("!IHB")  # hash of the server, response time, age
SAMPLE_BYTES = _SAMPLE.size
SLOT = struct.Struct("!HH")
"""The slot, and its count or share."""


class ServerSample(NamedTuple):
    """A server's reported response time, and how long ago the server reported it; both ns."""

    server_hash: int
    response_time: int
    age: int


def age_steps(age: int) -> int:
    """Return an age (ns) as it is sent, in steps, rounded up so that no sample seems younger than it is."""
    return min(-(-age // AGE_STEP), MAX_AGE_STEPS)


def encode_samples(samples: Iterable[ServerSample]) -> bytes:
    """Encode samples; a value beyond its field's range is sent as the field's maximum."""
    return b"".join(
        _SAMPLE.pack(
            server, min(response_time // RESPONSE_TIME_STEP, MAX_RESPONSE_TIME_STEPS), age_steps(age)
        )
        for server, response_time, age in samples
    )


def decode_samples(data: bytes) -> tuple[ServerSample, ...]:
    """Decode data that consists of samples only."""
    return tuple(
        ServerSample(server, response_time * RESPONSE_TIME_STEP, age * AGE_STEP)
        for server, response_time, age in _SAMPLE.iter_unpack(data)
    )


def encode_slot_counts(counts: Iterable[tuple[int, int]]) -> bytes:
    """Encode pairs of slot and count; a count beyond MAX_COUNT is sent as MAX_COUNT."""
    return b"".join(SLOT.pack(slot, min(count, MAX_COUNT)) for slot, count in counts)


def decode_slot_counts(data: bytes) -> dict[int, int]:
    """Decode data that consists of slots and counts only."""
    return dict(SLOT.iter_unpack(data))
