"""What programs ask the kernel about a connection, answered by the simulated network.

These functions replace the ones of `router.platform`.
"""

from __future__ import annotations

from typing import Any

from holdgw.simulation.tcp_transport import TcpTransport


def peer_closed(transport: Any) -> bool:
    """Whether the peer has closed or reset the connection; replaces the kernel call of `router.platform`."""
    return isinstance(transport, TcpTransport) and transport.peer_closed


def has_unread_input(transport: Any) -> bool:
    """Whether received bytes are unread and no end follows them; replaces the call of `router.platform`."""
    return isinstance(transport, TcpTransport) and transport.has_unread_input


def has_pending_input(transport: Any) -> bool:
    """Whether a read would return bytes or an end of the input; replaces the call of `router.platform`."""
    return isinstance(transport, TcpTransport) and transport.has_pending_input


def unacknowledged_bytes(transport: Any) -> int:
    """The bytes sent that the peer has not read; replaces the kernel call of `router.platform`."""
    return transport.unacknowledged_bytes if isinstance(transport, TcpTransport) else 0
