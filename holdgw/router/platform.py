"""A router's interface to the operating system beside its event loop: clocks, environment, files, sockets.

A real process uses the defaults; a simulated process is given substitutes.
"""

from __future__ import annotations

import fcntl
import os
import select
import socket
import sys
import termios
import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
SIOCOUTQ = termios.TIOCOUTQ
"""Linux, tcp(7): the bytes in a socket's send queue. Both names stand for one request."""
INT_BYTES = 4


def read_file(path: str) -> bytes:
    """The content of a file; raises OSError."""
    return Path(path).read_bytes()


def _descriptor(transport: Any) -> int:
    """The descriptor of a transport's socket; negative if it has none."""
    sock = transport.get_extra_info("socket")
    return sock.fileno() if sock is not None else -1


def _poll_events(transport: Any, events: int) -> int:
    """The events of poll(2) that hold for a transport's socket now; 0 if it has none."""
    descriptor = _descriptor(transport)
    if descriptor < 0:
        return 0
    poll = select.poll()
    poll.register(descriptor, events)
    try:
        return sum(found for _, found in poll.poll(0))
    except OSError:
        return 0


def peer_closed(transport: Any) -> bool:
    """Whether the other side has closed or reset a connection, even if unread bytes precede the close."""
    return bool(_poll_events(transport, select.POLLRDHUP) & CLOSED_EVENTS)


def has_unread_input(transport: Any) -> bool:
    """Whether the kernel holds unread bytes of a connection, and no end of the input behind them."""
    found = _poll_events(transport, select.POLLIN | select.POLLRDHUP)
    return bool(found & select.POLLIN) and not found & CLOSED_EVENTS


def has_pending_input(transport: Any) -> bool:
    """Whether a read from a connection would return something now: bytes, an end of the input or an error."""
    return bool(_poll_events(transport, select.POLLIN))


def unacknowledged_bytes(transport: Any) -> int:
    """The bytes of a connection that the kernel has accepted and the other side has not acknowledged.

    An end of the output counts as one. 0 where the kernel doesn't tell.
    """
    descriptor = _descriptor(transport)
    if descriptor < 0:
        return 0
    try:
        return int.from_bytes(fcntl.ioctl(descriptor, SIOCOUTQ, bytes(INT_BYTES)), sys.byteorder)
    except OSError:
        return 0


def accept_queued(listeners: Iterable[Any], max_count: int) -> list[int]:
    """Accept at most `max_count` connections queued at listeners; the caller owns the descriptors."""
    accepted: list[int] = []
    for listener in listeners:
        descriptor = listener.fileno()
        if descriptor < 0:
            continue
        sock = socket.socket(fileno=descriptor)
        try:
            sock.setblocking(False)
            while len(accepted) < max_count:
                accepted.append(sock.accept()[0].detach())
        except OSError:
            pass  # the queue is empty, or the process has no free descriptor
        finally:
            sock.detach()
    return accepted


def passed_listener(descriptor: int | None) -> socket.socket | None:
    """The listening socket that the system passed to the process, if any; raises OSError if it isn't one."""
    if descriptor is None:
        return None
    sock = socket.socket(fileno=descriptor)
    if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        raise OSError(f"LB_PASSED_SOCKET: descriptor {descriptor} is not a listening socket")
    return sock


@dataclass(frozen=True, slots=True)
class Platform:
    """The system as a router sees it. Both clocks count nanoseconds; only `unix_ns` may jump or go back."""

    monotonic_ns: Callable[[], int] = time.monotonic_ns
    unix_ns: Callable[[], int] = time.time_ns
    environ: Mapping[str, str] = field(default_factory=lambda: os.environ)
    read: Callable[[str], bytes] = read_file
    """Raises OSError."""
    cpu_s: Callable[[], float] = time.process_time
    peer_closed: Callable[[Any], bool] = peer_closed
    has_unread_input: Callable[[Any], bool] = has_unread_input
    has_pending_input: Callable[[Any], bool] = has_pending_input
    unacknowledged_bytes: Callable[[Any], int] = unacknowledged_bytes
