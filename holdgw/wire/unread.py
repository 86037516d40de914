"""Tells from the kernel's TCP statistics how long received bytes have waited unread."""

from __future__ import annotations

import asyncio
import socket
import sys

NS_PER_MS, NS_PER_S = 1_000_000, 1_000_000_000
TICK_NS = 10 * NS_PER_MS
"""The kernel's tick is 1 to 10 ms (CONFIG_HZ): a time that it reports may be too long by as much."""

# Linux, tcp(7): the field tcpi_last_data_recv of tcp_info, milliseconds since data was last received.
TCP_INFO, TCP_INFO_BYTES, LAST_DATA_RECV_OFFSET = getattr(socket, "TCP_INFO", None), 64, 52


def unread_ns(transport: asyncio.BaseTransport | None) -> int:
    """How long ago the last bytes arrived, nanoseconds, within `TICK_NS`; 0 where the kernel doesn't tell."""
    sock = transport.get_extra_info("socket") if transport is not None else None
    if sock is None or TCP_INFO is None:
        return 0
    try:
        tcp_info = sock.getsockopt(socket.IPPROTO_TCP, TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return 0
    if len(tcp_info) < LAST_DATA_RECV_OFFSET + 4:
        return 0
    return (
        int.from_bytes(tcp_info[LAST_DATA_RECV_OFFSET : LAST_DATA_RECV_OFFSET + 4], sys.byteorder) * NS_PER_MS
    )


def arrived_at(transport: asyncio.BaseTransport | None, now: float) -> float:
    """The latest time at which bytes that are read at `now` can have reached this machine, seconds.

    That is before `now` if this process got no CPU time, or was stopped, for longer than a tick.
    """
    return now - max(unread_ns(transport) - TICK_NS, 0) / NS_PER_S
