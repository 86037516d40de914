"""Startup and exit of all kinds of router processes: usage errors, the event loop, exit codes."""

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
    """Print why the process can't start; returns its exit code."""
    print(f"holdgw: {error}", file=sys.stderr)
    return EXIT_USAGE


def describe_build() -> str:
    """Say how many of the package's loaded modules are compiled, in one line for the log."""
    modules = [module for name, module in sys.modules.items() if name.startswith("holdgw.")]
    compiled = sum(not (getattr(module, "__file__", None) or ".py").endswith(".py") for module in modules)
    if compiled:
        return f"compiled: {compiled} of {len(modules)} modules"
    return f"uncompiled: all {len(modules)} modules run as sources, at twice the CPU a request or more"


def run_until_exit(main: Callable[[], Coroutine[Any, Any, None]]) -> int:
    """Run the process's main coroutine on its event loop; returns the exit code."""
    # A garbage collection of all generations visits the objects of all modules, which stalls every client for
    # 10 to 20 ms. Objects that exist now live until the process ends, and need not be visited.
    gc.collect()
    gc.freeze()
    # A build without a compiler falls back to the Python sources; without this line only the higher CPU load
    # would show that.
    log.info("%s", describe_build())
    try:
        uvloop.run(main())
    except OSError as error:
        print(f"holdgw: {error}", file=sys.stderr)
        return EXIT_OS_ERROR
    return EXIT_OK


def python_command(module: str, *arguments: str) -> list[str]:
    """The command line that runs a module with this process's interpreter and module path."""
    flags = ["-P"] if sys.flags.safe_path else []
    return [sys.executable, *flags, "-m", module, *arguments]
