"""The intervals and timeouts of membership."""

from __future__ import annotations

from dataclasses import dataclass

NS_PER_S = 1_000_000_000


@dataclass(frozen=True, slots=True)
class Timing:
    """All in seconds, but for the multiple."""

    probe_interval: float = 1.0
    """From one probe to the next (SWIM's protocol period)."""
    ack_timeout: float = 0.3
    """Until a probe without an ack is made indirectly as well."""
    min_suspicion: float = 2.5
    """Shortest suspicion, times log10 of the members; a process that halts for 3 s outlives it."""
    max_suspicion_multiple: float = 3.0
    """The longest suspicion, as a multiple of the shortest: while no other router suspects the member."""
    gone_probe_interval: float = 3.0
    """From one probe of a member that is gone to the next, for its return or a partition's end."""
    update_interval: float = 0.2
    """From one message of updates to the next, while any are queued."""
    max_lateness: float = 0.25
    """Of a tick; one that is later means that this process has halted itself."""


def to_ns(seconds: float) -> int:
    """Seconds as nanoseconds."""
    return int(seconds * NS_PER_S)
