"""What a router takes from the machine it runs on, beside its event loop: clocks, environment, files.

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

GONE = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def read_file(path: str) -> bytes:
    """The content of a file; raises OSError."""
    return Path(path).read_bytes()


def has_left(transport: Any) -> bool:
    """Whether the other side of a connection has closed or reset it, even behind bytes not read yet."""
    sock = transport.get_extra_info("socket")
    number = sock.fileno() if sock is not None else -1
    if number < 0:
        return False
    poll = select.poll()
    poll.register(number, select.POLLRDHUP)
    try:
        return any(events & GONE for _, events in poll.poll(0))
    except OSError:
        return False


def accept_queued(listening: Iterable[Any], most: int) -> list[int]:
    """The descriptors of connections that wait to be accepted there, so many at most: the caller's now."""
    found: list[int] = []
    for pseudo in listening:
        number = pseudo.fileno()
        if number < 0:
            continue
        sock = socket.socket(fileno=number)
        try:
            sock.setblocking(False)
            while len(found) < most:
                found.append(sock.accept()[0].detach())
        except OSError:
            pass  # none is left, or there is no descriptor for it
        finally:
            sock.detach()
    return found


@dataclass(frozen=True, slots=True)
class Platform:
    """The machine's side. Both clocks count nanoseconds; only `unix_ns` may jump or go back."""

    monotonic_ns: Callable[[], int] = time.monotonic_ns
    unix_ns: Callable[[], int] = time.time_ns
    environ: Mapping[str, str] = field(default_factory=lambda: os.environ)
    read: Callable[[str], bytes] = read_file
    cpu_s: Callable[[], float] = time.process_time
    has_left: Callable[[Any], bool] = has_left
