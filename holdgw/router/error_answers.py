"""The error lines (RESP2 simple errors) by which a request ends without a value."""

from __future__ import annotations

from holdgw.wire.unread import NS_PER_MS

FAILED = b"-ERR failed\r\n"
BUSY = b"-BUSY\r\n"


def busy(retry_after_ns: int) -> bytes:
    """The answer to a rejected request; it names the Retry-After in milliseconds, rounded up, if over 0."""
    if retry_after_ns <= 0:
        return BUSY
    return b"-BUSY %d\r\n" % -(-retry_after_ns // NS_PER_MS)
