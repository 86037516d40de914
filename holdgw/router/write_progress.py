"""Whether a client goes on taking the answers that were written to it. It does no I/O and reads no clock."""

from __future__ import annotations


class WriteProgress:
    """The progress of one client; times are seconds of the event loop's clock."""

    def __init__(self, now_s: float) -> None:
        self._undelivered_bytes = 0  # at the last check
        self._progress_at_s = now_s

    def check(self, undelivered_bytes: int, now_s: float) -> None:
        """Note how many bytes of answers the client's machine has not acknowledged now."""
        if undelivered_bytes != self._undelivered_bytes:
            self._undelivered_bytes = undelivered_bytes
            self._progress_at_s = now_s

    def all_taken(self) -> None:
        """Note that nothing is undelivered."""
        self._undelivered_bytes = 0

    def stalled_s(self, now_s: float, last_active_s: float) -> float:
        """The seconds since the client took anything, or was active otherwise."""
        return now_s - max(self._progress_at_s, last_active_s)
