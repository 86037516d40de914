"""Logging to standard error with a rate limit, so that a recurring fault can't use up the CPU."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from dataclasses import dataclass

MAX_LINES_PER_S = 5
"""Lines of one message that are logged in a second."""


@dataclass(slots=True)
class _MessageCount:
    """The lines of one message in the current second."""

    second: int
    lines: int = 0
    suppressed: int = 0


class LogRateLimit(logging.Filter):
    """Passes the first MAX_LINES_PER_S lines of each message in a second, and counts the others.

    A message is what the logging call gives before its arguments are filled in. Each has its own limit, so
    that one that recurs hides no other: a reload is logged also while a crowd of connections closes.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """`clock`: returns seconds that never decrease."""
        super().__init__()
        self._clock = clock
        self._counts: dict[str, _MessageCount] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether to log the record; the first after a second with suppressed lines tells their number."""
        second = int(self._clock())
        message = str(record.msg)
        count = self._counts.setdefault(message, _MessageCount(second))
        if second != count.second:
            if count.suppressed:
                record.msg = f"(suppressed lines={count.suppressed}) {message}"
            count = self._counts[message] = _MessageCount(second)
        count.lines += 1
        if count.lines > MAX_LINES_PER_S:
            count.suppressed += 1
            return False
        return True


def configure_logging(name: str) -> None:
    """Log this process's messages to standard error, each line with the router's name."""
    handler = logging.StreamHandler()
    handler.setFormatter(logging.Formatter(f"%(asctime)s {name} %(levelname)s %(message)s"))
    handler.addFilter(LogRateLimit())
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
