"""The log on standard error, with a bound on its rate: a fault that repeats must not take the CPU."""

from __future__ import annotations

import asyncio
import logging
import time

MAX_LINES_PER_S = 5


class _RateLimit(logging.Filter):
    """Passes the first lines of each second, and counts the rest."""

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
    """Send the log of this process to standard error, each line with the router's name."""
    handler = logging.StreamHandler()
    handler.setFormatter(logging.Formatter(f"%(asctime)s {name} %(levelname)s %(message)s"))
    handler.addFilter(_RateLimit())
    logger = logging.getLogger("holdgw")
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    logger.propagate = False


def log_callback_errors(loop: asyncio.AbstractEventLoop) -> None:
    """Send the exceptions of the loop's callbacks to the log, and so through its rate limit."""
    log = logging.getLogger("holdgw")
    loop.set_exception_handler(
        lambda _, context: log.error("%s", context["message"], exc_info=context.get("exception"))
    )
