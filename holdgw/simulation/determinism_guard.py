"""Sees the real world leak into a run: code of ours that asks the machine for time, chance or a thread.

While a world runs, the functions below raise where a module of this package calls them. What was taken hold
of before (a default argument, a name imported from its module) is not seen here but by the digest: two runs
of one seed, in two processes, must have the same.
"""

from __future__ import annotations

import os
import random
import sys
import threading
import time
import uuid
from collections.abc import Callable
from types import TracebackType
from typing import Any

from holdgw.simulation.world import World

FORBIDDEN_CALLS: tuple[tuple[Any, str], ...] = (
    *((time, name) for name in ("time", "time_ns", "monotonic", "monotonic_ns", "perf_counter", "sleep")),
    *(
        (random, name)
        for name in ("random", "randint", "randrange", "uniform", "choice", "shuffle", "sample")
    ),
    (random, "SystemRandom"),
    (os, "urandom"),
    (uuid, "uuid1"),
    (uuid, "uuid4"),
    (threading.Thread, "start"),
)


class NondeterminismError(BaseException):
    """The real world leaked into a run. No `except Exception` of the program under test may swallow it."""


class DeterminismGuard:
    """Watches while it is entered; one at a time in a process."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._originals: list[tuple[Any, str, Any]] = []

    def __enter__(self) -> DeterminismGuard:
        """Begin to watch."""
        for owner, name in FORBIDDEN_CALLS:
            original = getattr(owner, name)
            self._originals.append((owner, name, original))
            setattr(owner, name, self._guarded(f"{getattr(owner, '__name__', owner)}.{name}", original))
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Stop watching."""
        for owner, name, original in reversed(self._originals):
            setattr(owner, name, original)
        self._originals.clear()

    def _guarded(self, name: str, original: Callable[..., Any]) -> Callable[..., Any]:
        def guarded(*args: Any, **kwargs: Any) -> Any:
            caller = sys._getframe(1).f_globals.get("__name__", "")
            if caller.startswith("holdgw."):
                error = NondeterminismError(f"{caller} called {name} in a simulated run")
                self._world.fail(error)
                raise error
            return original(*args, **kwargs)

        return guarded
