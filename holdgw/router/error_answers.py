"""The RESP2 simple errors that answer a request without a value, or a command that is none."""

from __future__ import annotations

from typing import NamedTuple

from holdgw.operation.metrics import Disposition
from holdgw.wire.unread import NS_PER_MS

FAILED = b"-ERR failed\r\n"
BUSY = b"-BUSY\r\n"


class ErrorAnswer(NamedTuple):
    """A final answer without a value."""

    data: bytes
    """Encoded."""
    disposition: Disposition


REJECTION = ErrorAnswer(BUSY, Disposition.DECLINED)
"""Promises that trying again does no harm."""
FAILURE = ErrorAnswer(FAILED, Disposition.ABORTED)
"""The request may have taken effect."""


def busy(retry_after_ns: int) -> bytes:
    """Encode the answer to a rejected request; a Retry-After over 0 is in milliseconds, rounded up."""
    if retry_after_ns <= 0:
        return BUSY
    return b"-BUSY %d\r\n" % -(-retry_after_ns // NS_PER_MS)


def error_answer(message: str) -> bytes:
    """Encode an error for input that is no valid request; `message` is one line."""
    return b"-ERR %b\r\n" % message.encode()
