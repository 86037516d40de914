"""What a router tells others of what it saw itself: one datagram of 256 bytes at most; pure.

Never what it heard: so a liar speaks for one router alone, whoever passes its word on. Ages are told, not
times: no two clocks need agree.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Mapping
from typing import NamedTuple

from holdgw.peers.datagram import MOST_BYTES, VERSION, UnreadableError, opened, sealed

KIND = 64
"""Stands where a membership's kind does, and is none of these."""
_HEAD = struct.Struct("!BBHIHBBB")  # version, kind, sender, life, requests, servers, slots, tenants
_SERVER = struct.Struct("!IHB")
_SLOT = struct.Struct("!HH")
_TENANT = struct.Struct("!BH")
SERVERS_MOST, SLOTS_MOST, TENANTS_MOST = 22, 18, 4
AGE_STEP = 40_000_000  # ns: of an age, told in a byte
AGE_MOST = 255 * AGE_STEP
WAIT_STEP = 1_000_000  # ns: of a wait, told in two bytes


class Saw(NamedTuple):
    """What a server said of itself: how long an answer takes there, and how long ago that was (ns)."""

    server: int
    wait: int
    age: int


class News(NamedTuple):
    """What one router saw lately. `slots` and `requests`: counts of its requests, fading."""

    sender: int
    life: int
    servers: tuple[Saw, ...] = ()
    requests: int = 0
    slots: Mapping[int, int] = {}
    demands: Mapping[int, int] = {}
    """By tenant's place in the settings: calls for the origin, tenths a second."""


def server_word(server_id: str) -> int:
    """The word by which routers speak of a server; where two share one, neither is spoken of."""
    return zlib.crc32(server_id.encode())


def is_news(data: bytes) -> bool:
    """Whether a datagram is of this kind."""
    return len(data) > 1 and data[0] == VERSION and data[1] == KIND


def write(news: News) -> bytes:
    """The datagram. What is over its field is told as the most that this holds."""
    assert len(news.servers) <= SERVERS_MOST
    assert len(news.slots) <= SLOTS_MOST
    assert len(news.demands) <= TENANTS_MOST
    counts = len(news.servers), len(news.slots), len(news.demands)
    parts = [_HEAD.pack(VERSION, KIND, news.sender, news.life, min(news.requests, 0xFFFF), *counts)]
    for saw in news.servers:
        age = min(-(-saw.age // AGE_STEP), 255)  # never younger than it is
        parts.append(_SERVER.pack(saw.server, min(saw.wait // WAIT_STEP, 0xFFFF), age))
    parts += [_SLOT.pack(slot, min(count, 0xFFFF)) for slot, count in news.slots.items()]
    parts += [_TENANT.pack(place, min(rate, 0xFFFF)) for place, rate in news.demands.items()]
    data = sealed(b"".join(parts))
    assert len(data) <= MOST_BYTES
    return data


def read(data: bytes, members: int) -> News:
    """The news of a datagram among so many members; raises UnreadableError."""
    body = opened(data, _HEAD.size)
    _, kind, sender, life, requests, servers, slots, tenants = _HEAD.unpack_from(body)
    to_servers = _HEAD.size + servers * _SERVER.size
    to_slots = to_servers + slots * _SLOT.size
    if len(body) != to_slots + tenants * _TENANT.size:
        raise UnreadableError("length")
    if kind != KIND or sender >= members:
        raise UnreadableError("value")
    return News(
        sender,
        life,
        tuple(
            Saw(server, wait * WAIT_STEP, age * AGE_STEP)
            for server, wait, age in _SERVER.iter_unpack(body[_HEAD.size : to_servers])
        ),
        requests,
        dict(_SLOT.iter_unpack(body[to_servers:to_slots])),
        dict(_TENANT.iter_unpack(body[to_slots:])),
    )
