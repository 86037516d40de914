"""Which answers a peer spoils: decided by the request's name, so the same ones in every run; pure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from holdgw.emulators.seeded_draws import unit


class Fault(Enum):
    """What becomes of an answer."""

    NONE = ""
    RESET = "reset"
    """The work is done and the connection reset in place of the answer."""
    GARBLE = "garble"
    """Bytes come that are no answer."""
    SILENCE = "silence"
    """The work is done and nothing comes."""


@dataclass(slots=True)
class FaultShares:
    """Shares of answers that get a fault, each from 0 to 1."""

    reset: float = 0.0
    garble: float = 0.0
    silence: float = 0.0

    def draw(self, seed: int, server: str, request: bytes, attempt: int) -> Fault:
        """The fate of one answer; `attempt` counts the request's attempts at this server."""
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
"""Spoilt RESP answers: noise, a wrong length, one of 3 GB, a broken header, a length out of bounds."""
MALFORMED_HTTP = (
    b"\xff\xfe\x00 no answer of any kind\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nvalue",
    b"HTTP/1.1 banana\r\n\r\n",
)
