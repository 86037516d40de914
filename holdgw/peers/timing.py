"""The intervals and timeouts of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass

NS_PER_S = 1_000_000_000


@dataclass(frozen=True, slots=True)
class Timing:
    """The parameters of the membership protocol, in seconds except for `max_suspicion_multiple`."""

    probe_interval: float = 1.0
    """Time between two probes (SWIM's protocol period)."""
    ack_timeout: float = 0.3
    """Time after which a probe without an ack is also made through other members."""
    min_suspicion: float = 2.5
    """The shortest suspicion, times log10 of the members; a process stalled for 3 s refutes it in time."""
    max_suspicion_multiple: float = 3.0
    """The longest suspicion as a multiple of the shortest; it applies while no other router suspects the
    member."""
    gone_probe_interval: float = 3.0
    """Time between two probes of members that are gone, which find that one is back or a partition has
    ended."""
    update_interval: float = 0.2
    """Time between two messages that carry updates only, while updates are queued."""
    max_lateness: float = 0.25
    """Lateness of a tick beyond which this process itself has stalled."""


def to_ns(seconds: float) -> int:
    """Convert seconds to whole nanoseconds."""
    return int(seconds * NS_PER_S)
