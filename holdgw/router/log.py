"""Logging to standard error with a rate limit, so that a recurring fault can't use up the CPU."""

from __future__ import annotations

import asyncio
import logging
import time

MAX_LINES_PER_S = 5


class _RateLimit(logging.Filter):
    """Passes the first MAX_LINES_PER_S lines of each second, and counts the others."""

    def __init__(self) -> None:
        super().__init__()
        self._second = 0
        self._lines = 0
        self._suppressed = 0

    def filter(self, record: logging.LogRecord) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            if self._suppressed:
                record.msg = f"(suppressed lines={self._suppressed}) {record.msg}"
            self._second = second
            self._lines = 0
            self._suppressed = 0
        self._lines += 1
        if self._lines > MAX_LINES_PER_S:
            self._suppressed += 1
            return False
        return True


def configure_logging(name: str) -> None:
    """Log this process's messages to standard error, each line with the router's name."""
    handler = logging.StreamHandler()
    handler.setFormatter(logging.Formatter(f"%(asctime)s {name} %(levelname)s %(message)s"))
    handler.addFilter(_RateLimit())
    logger = logging.getLogger("holdgw")
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    logger.propagate = False


def log_callback_errors(loop: asyncio.AbstractEventLoop) -> None:
    """Log exceptions in the event loop's callbacks, subject to the rate limit."""
    log = logging.getLogger("holdgw")
    loop.set_exception_handler(
        lambda _, context: log.error("%s", context["message"], exc_info=context.get("exception"))
    )
