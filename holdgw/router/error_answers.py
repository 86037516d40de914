"""The RESP2 simple errors that answer a request without a value, or a command that is none."""

from __future__ import annotations

from holdgw.wire.unread import NS_PER_MS

FAILED = b"-ERR failed\r\n"
BUSY = b"-BUSY\r\n"


def busy(retry_after_ns: int) -> bytes:
    """Encode the answer to a rejected request; a Retry-After over 0 is in milliseconds, rounded up."""
    if retry_after_ns <= 0:
        return BUSY
    return b"-BUSY %d\r\n" % -(-retry_after_ns // NS_PER_MS)


def error_answer(message: str) -> bytes:
    """Encode an error for input that is no valid request; `message` is one line."""
    return b"-ERR %b\r\n" % message.encode()
