"""Writes a log line for each stall of the event loop: how long, by which process, and by whose input."""

from __future__ import annotations

import logging
from collections.abc import Callable

from holdgw.policy import NS_PER_S
from holdgw.router.input_account import InputAccount

log = logging.getLogger("holdgw")


class StallLog:
    """Compares the processor time used and the clients' input processed between beats of the event loop."""

    def __init__(self, account: InputAccount, cpu_s: Callable[[], float]) -> None:
        """`cpu_s`: the seconds of processor time that the process has used so far."""
        self._account = account
        self._cpu_s = cpu_s
        self._cpu_s_at_last_beat = cpu_s()

    def beat(self, lag_ns: int) -> None:
        """Start to count anew, after a line if the beat was `lag_ns` nanoseconds late; 0: it was not."""
        cpu_s = self._cpu_s()
        if lag_ns:
            log.warning(
                "event loop stalled lag_s=%.3f cpu_s=%.3f client_input_s=%.3f %s",
                lag_ns / NS_PER_S,
                cpu_s - self._cpu_s_at_last_beat,
                self._account.processing_ns / NS_PER_S,
                self._describe_largest(),
            )
        self._cpu_s_at_last_beat = cpu_s
        self._account.reset()

    def _describe_largest(self) -> str:
        largest = self._account.largest()
        if largest is None:
            return "client=none"
        connection, client_input = largest
        return (
            f"client={connection.peer_name} client_s={client_input.processing_ns / NS_PER_S:.3f} "
            f"received_bytes={client_input.received_bytes} commands={client_input.commands}"
        )
