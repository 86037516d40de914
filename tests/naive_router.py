"""A test double: the router as it is, but blind to how long a node has run, so a newcomer gets its
full load.
"""

from __future__ import annotations

import sys

from holdgw.router import __main__ as program
from holdgw.router.discovery import Clock


def long_ago(_clock: Clock, _unix_ms: int) -> int:
    return 0


if __name__ == "__main__":
    setattr(Clock, "monotonic", long_ago)  # noqa: B010  (mypy forbids the plain assignment)
    sys.exit(program.main())
