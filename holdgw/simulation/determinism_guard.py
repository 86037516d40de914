"""Detects nondeterminism in a run: code that asks the machine for time, random numbers or a thread.

While a run is guarded, the functions below raise if a module of this package calls them. A reference taken
earlier (a default argument, a name imported from its module) is not detected here but by the digest, which
must be the same for two runs of one seed in two processes.
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
    """Code under test called a forbidden function; a BaseException that no `except Exception` can hide."""


class DeterminismGuard:
    """Replaces the forbidden functions while it is entered; at most one may be active in a process."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._originals: list[tuple[Any, str, Any]] = []

    def __enter__(self) -> DeterminismGuard:
        """Replace the functions."""
        for owner, name in FORBIDDEN_CALLS:
            original = getattr(owner, name)
            self._originals.append((owner, name, original))
            setattr(owner, name, self._guarded(f"{getattr(owner, '__name__', owner)}.{name}", original))
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Restore the functions."""
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
