"""For how long bytes lay unread, as the kernel tells it."""

from __future__ import annotations

import asyncio
import socket
import sys

NS_PER_MS, NS_PER_S = 1_000_000, 1_000_000_000
TICK_NS = 10 * NS_PER_MS
"""The kernel counts in ticks of its own, of 1 to 10 ms (CONFIG_HZ): so much longer than true may be told."""

# Linux: tcp_info, and in it the ms since data last came (tcp(7)).
TCP_INFO, TCP_INFO_BYTES, LAST_DATA_AT = getattr(socket, "TCP_INFO", None), 64, 52


def unread_ns(transport: asyncio.BaseTransport | None) -> int:
    """How long ago the last bytes came, nanoseconds, true to `TICK_NS`; 0 where the kernel does not tell."""
    sock = transport.get_extra_info("socket") if transport is not None else None
    if sock is None or TCP_INFO is None:
        return 0
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return 0
    if len(info) < LAST_DATA_AT + 4:
        return 0
    return int.from_bytes(info[LAST_DATA_AT : LAST_DATA_AT + 4], sys.byteorder) * NS_PER_MS


def arrived_at(transport: asyncio.BaseTransport | None, now: float) -> float:
    """When bytes that are read at `now` had come to this machine, at the latest, seconds.

    That is before `now` where this process had no core, or stood still, for longer than a tick.
    """
    return now - max(unread_ns(transport) - TICK_NS, 0) / NS_PER_S
