"""The beginning and the end of a router's processes, whatever they serve as."""

from __future__ import annotations

import gc
import logging
import sys
from collections.abc import Callable, Coroutine
from typing import Any

import uvloop

EXIT_OK = 0
EXIT_OS_ERROR = 1
EXIT_USAGE = 2

log = logging.getLogger("holdgw")


def report_usage_error(error: Exception) -> int:
    """Print why a process can't start; returns its exit code."""
    print(f"holdgw: {error}", file=sys.stderr)
    return EXIT_USAGE


def describe_build() -> str:
    """Which of the package's loaded modules are compiled, in one line for the log."""
    modules = [module for name, module in sys.modules.items() if name.startswith("holdgw.")]
    compiled = sum(not (getattr(module, "__file__", None) or ".py").endswith(".py") for module in modules)
    if compiled:
        return f"compiled: {compiled} of {len(modules)} modules"
    return f"uncompiled: all {len(modules)} modules run as sources, at twice the CPU a request or more"


def run_until_exit(main: Callable[[], Coroutine[Any, Any, None]]) -> int:
    """Run a process's main coroutine on its event loop; returns the exit code."""
    # A collection of all generations visits every module's objects, 10 to 20 ms in which every client waits.
    # What exists now exists until the end, and need not be visited.
    gc.collect()
    gc.freeze()
    # A build without a compiler falls back to the sources, which otherwise shows by the load only.
    log.info("%s", describe_build())
    try:
        uvloop.run(main())
    except OSError as error:
        print(f"holdgw: {error}", file=sys.stderr)
        return EXIT_OS_ERROR
    return EXIT_OK


def python_with(module: str, *arguments: str) -> list[str]:
    """The command that runs a module of this package with this process's interpreter and module path."""
    flags = ["-P"] if sys.flags.safe_path else []
    return [sys.executable, *flags, "-m", module, *arguments]
