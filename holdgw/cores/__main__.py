"""`python -m holdgw.cores N`: a router on N cores, without loading the command line's libraries."""

from __future__ import annotations

import os
import signal
import sys

from holdgw.cores.supervisor import Supervisor
from holdgw.cores.worker_pool import InsufficientResourcesError, check_resources
from holdgw.router.config import ConfigError, load_config
from holdgw.router.endpoint_list import Clock, read_endpoint_list
from holdgw.router.log import configure_logging
from holdgw.router.process import EXIT_USAGE, report_usage_error, run_until_exit


def main(workers: int) -> int:
    """Run a router with this many worker processes; returns the exit code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGUSR2, signal.SIG_IGN)
    try:
        config = load_config(os.environ)
        check_resources(workers, config.memory_bytes, config.max_descriptors)
        if config.known_endpoints is not None:
            read_endpoint_list(config.known_endpoints, Clock())
    except (ConfigError, InsufficientResourcesError, ValueError) as error:
        return report_usage_error(error)
    configure_logging(config.name)

    async def run() -> None:
        await Supervisor(config, workers).run()

    return run_until_exit(run)


if __name__ == "__main__":
    if len(sys.argv) != 2 or not sys.argv[1].isdecimal():
        print("holdgw: usage: python -m holdgw.cores N", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    sys.exit(main(int(sys.argv[1])))
