"""What a router takes from the machine it runs on, beside its event loop: clocks, environment, files.

A simulated process is given others of each; a real one takes the defaults.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path


def read_file(path: str) -> bytes:
    """The content of a file; raises OSError."""
    return Path(path).read_bytes()


@dataclass(frozen=True, slots=True)
class Platform:
    """The machine's side. Both clocks count nanoseconds; only `unix_ns` may jump or go back."""

    monotonic_ns: Callable[[], int] = time.monotonic_ns
    unix_ns: Callable[[], int] = time.time_ns
    environ: Mapping[str, str] = field(default_factory=lambda: os.environ)
    read: Callable[[str], bytes] = read_file
    cpu_s: Callable[[], float] = time.process_time
