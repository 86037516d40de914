"""What every process of a router does alike at its beginning and end, whatever it serves as."""

from __future__ import annotations

import gc
import logging
import sys
from collections.abc import Callable, Coroutine
from typing import Any

import uvloop

log = logging.getLogger("holdgw")


def log_build() -> str:
    """Which of the loaded modules of ours are compiled, in one line."""
    ours = [module for name, module in sys.modules.items() if name.startswith("holdgw.")]
    compiled = sum(not (getattr(module, "__file__", None) or ".py").endswith(".py") for module in ours)
    if compiled:
        return f"compiled: {compiled} of {len(ours)} modules"
    return f"uncompiled: all {len(ours)} modules run as sources, at twice the CPU a request or more"


def run_until_exit(work: Callable[[], Coroutine[Any, Any, None]]) -> int:
    """Run the process's work on its loop; returns the exit code."""
    # Danger: a collection of all generations goes through every module's objects, 10 to 20 ms in which every
    # client waits. What is here now is here until the end.
    gc.collect()
    gc.freeze()
    # Danger: a build without a compiler falls back to the sources, and staff would learn of it by the load.
    log.info("%s", log_build())
    try:
        uvloop.run(work())
    except OSError as error:
        print(f"holdgw: {error}", file=sys.stderr)
        return 1
    return 0


def python_with(module: str, *words: str) -> list[str]:
    """The command that runs a module of ours, found where this process finds its own."""
    flags = ["-P"] if sys.flags.safe_path else []
    return [sys.executable, *flags, "-m", module, *words]
