"""Faults of single answers: drawn from the request's name, so that each run hits the same ones; pure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from holdgw.emulators.seeded_draws import unit


class Fault(Enum):
    """What happens to an answer."""

    NONE = ""
    RESET = "reset"
    """The request is executed and the connection is reset in place of the answer."""
    GARBLE = "garble"
    """Bytes that are not a valid answer are sent."""
    SILENCE = "silence"
    """The request is executed and no answer is sent."""


@dataclass(slots=True)
class FaultShares:
    """Shares of answers that get a fault, each from 0 to 1."""

    reset: float = 0.0
    garble: float = 0.0
    silence: float = 0.0

    def draw(self, seed: int, server: str, request: bytes, attempt: int) -> Fault:
        """Return the fault of one answer; `attempt` counts the attempts of the request at this server."""
        if not (self.reset or self.garble or self.silence):
            return Fault.NONE
        remainder = unit(seed, "fault", server, request, attempt)
        for fault, share in (
            (Fault.RESET, self.reset),
            (Fault.GARBLE, self.garble),
            (Fault.SILENCE, self.silence),
        ):
            if remainder < share:
                return fault
            remainder -= share
        return Fault.NONE


MALFORMED_RESP = (
    b"\xff\xfe\x00 no answer of any kind\r\n",
    b"*3\r\n$4\r\nvalue\r\n$3\r\nhit\r\n$-1\r\n",
    b"*3\r\n$3000000000\r\nvalue",
    b"*9\r\n$-7\r\n",
    b"$99999999999999999999\r\n",
)
"""RESP answers: random bytes, a wrong length, one of 3 GB, an invalid header, a length out of range."""
MALFORMED_HTTP = (
    b"\xff\xfe\x00 no answer of any kind\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nvalue",
    b"HTTP/1.1 banana\r\n\r\n",
)
