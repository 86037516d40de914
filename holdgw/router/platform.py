"""What a router takes from the system it runs on, beside its event loop: clocks, environment, files, sockets.

A simulated process is given others of each; a real one takes the defaults.
"""

from __future__ import annotations

import os
import select
import socket
import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def read_file(path: str) -> bytes:
    """The content of a file; raises OSError."""
    return Path(path).read_bytes()


def peer_closed(transport: Any) -> bool:
    """Whether the other side of a connection has closed or reset it, even behind bytes not read yet."""
    sock = transport.get_extra_info("socket")
    descriptor = sock.fileno() if sock is not None else -1
    if descriptor < 0:
        return False
    poll = select.poll()
    poll.register(descriptor, select.POLLRDHUP)
    try:
        return any(events & CLOSED_EVENTS for _, events in poll.poll(0))
    except OSError:
        return False


def accept_queued(listeners: Iterable[Any], max_count: int) -> list[int]:
    """Accept connections that wait at listeners, `max_count` at most; the caller owns the descriptors."""
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
            pass  # none is left, or there is no descriptor for it
        finally:
            sock.detach()
    return accepted


def passed_listener(descriptor: int | None) -> socket.socket | None:
    """The listening socket that the system passed in, if any; raises OSError where it is no such socket."""
    if descriptor is None:
        return None
    sock = socket.socket(fileno=descriptor)
    if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        raise OSError(f"LB_PASSED_SOCKET: descriptor {descriptor} listens to nobody")
    return sock


@dataclass(frozen=True, slots=True)
class Platform:
    """The system's side. Both clocks count nanoseconds; only `unix_ns` may jump or go back."""

    monotonic_ns: Callable[[], int] = time.monotonic_ns
    unix_ns: Callable[[], int] = time.time_ns
    environ: Mapping[str, str] = field(default_factory=lambda: os.environ)
    read: Callable[[str], bytes] = read_file
    """Raises OSError."""
    cpu_s: Callable[[], float] = time.process_time
    peer_closed: Callable[[Any], bool] = peer_closed
