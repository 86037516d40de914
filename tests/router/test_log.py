"""The rate limit of the log: what a recurring message may hide."""

from __future__ import annotations

import logging

import pytest

from holdgw.router.log import MAX_LINES_PER_S, LogRateLimit

OVERDUE, RELOAD = "request overdue class=%s", "reload: applied"


class LogLines(logging.Handler):
    """Keeps the lines that pass a rate limit, by a clock that the test sets."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 100.0
        self.lines: list[str] = []
        self.addFilter(LogRateLimit(lambda: self.now_s))

    def emit(self, record: logging.LogRecord) -> None:
        self.lines.append(record.getMessage())


@pytest.fixture
def log_lines() -> LogLines:
    return LogLines()


def log(handler: LogLines, message: str, *args: object) -> None:
    handler.handle(logging.LogRecord("holdgw", logging.INFO, __file__, 0, message, args, None))


def test_a_message_that_recurs_hides_no_other_one(log_lines: LogLines) -> None:
    # Guards against a reload, or a member's change, that leaves no line beside a crowd's closes.
    for name in ("read", "write") * 50:
        log(log_lines, OVERDUE, name)
    log(log_lines, RELOAD)
    assert log_lines.lines[-1] == RELOAD
    assert len(log_lines.lines) == MAX_LINES_PER_S + 1


def test_the_number_of_suppressed_lines_is_told_with_the_next_line_of_their_message(
    log_lines: LogLines,
) -> None:
    for _ in range(MAX_LINES_PER_S + 3):
        log(log_lines, OVERDUE, "read")
    log_lines.now_s += 1.0
    log(log_lines, RELOAD)
    log(log_lines, OVERDUE, "read")
    log(log_lines, OVERDUE, "read")
    assert log_lines.lines[MAX_LINES_PER_S:] == [
        RELOAD,
        "(suppressed lines=3) request overdue class=read",
        "request overdue class=read",
    ]
