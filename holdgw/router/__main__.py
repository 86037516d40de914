"""The router: `python -m holdgw.router`. SIGTERM starts a graceful shutdown, SIGHUP a reload."""

from __future__ import annotations

import os
import signal
import sys

from holdgw.router.config import ConfigError, load_config
from holdgw.router.endpoint_list import Clock, read_endpoint_list
from holdgw.router.log import configure_logging
from holdgw.router.process import report_usage_error, run_until_exit
from holdgw.router.program import serve

__all__ = ["main", "serve"]


def main() -> int:
    """Run the router; returns the exit code."""
    # Until the event loop handles SIGHUP, the signal would end the process. No reload is missed by ignoring
    # it here: the file is read later.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        config = load_config(os.environ)
        if config.known_endpoints is not None:
            read_endpoint_list(config.known_endpoints, Clock())
    except (ConfigError, ValueError) as error:
        return report_usage_error(error)
    configure_logging(config.name)
    return run_until_exit(lambda: serve(config))


if __name__ == "__main__":
    sys.exit(main())
