"""A dedicated aggregator: a member that merges the load reports of the routers, and routes nothing.

`python -m holdgw.router.aggregator_program` reads the same configuration as a router, accepts no clients, and
does not call discovery. On SIGTERM it notifies the other members that it leaves, and ends.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from dataclasses import replace

from holdgw.operation.admin_endpoint import AdminEndpoint
from holdgw.operation.endpoint_overrides import UnknownEndpointError
from holdgw.operation.metrics import Metrics
from holdgw.peers.aggregated_exchange import Role
from holdgw.peers.gossip import PeerConfig, PeerNode
from holdgw.peers.load_view import LoadSnapshot, Observations
from holdgw.router.config import Config, ConfigError, load_config
from holdgw.router.log import configure_logging, log_callback_errors
from holdgw.router.peer_metrics import peer_metrics
from holdgw.router.platform import Platform
from holdgw.router.process import report_usage_error, run_until_exit


class AggregatorProgram:
    """The aggregator's components; `run` starts them, serves until SIGTERM, and closes them."""

    def __init__(self, config: Config, peers: PeerConfig, platform: Platform | None = None) -> None:
        self.config = config
        self.loop = asyncio.get_running_loop()
        now_ns = (platform or Platform()).monotonic_ns
        self.peers = PeerNode(self.loop, replace(peers, role=Role.DEDICATED), config.seed, now_ns, self)
        self.admin_endpoint = AdminEndpoint(self.loop, self)
        self._shutdown_requested = asyncio.Event()

    async def run(self) -> None:
        """Aggregate until SIGTERM; raises OSError where an address can't be bound."""
        log_callback_errors(self.loop)
        self.loop.add_signal_handler(signal.SIGTERM, self._shutdown_requested.set)
        if self.config.admin_address is not None:
            await self.admin_endpoint.listen(self.config.admin_address)
        self.peers.start()
        await self._shutdown_requested.wait()
        self.peers.leave()
        self.peers.close()
        self.admin_endpoint.close()
        await asyncio.sleep(0)  # lets the transports close

    # The owner's side of PeerNode (peers.gossip.PeerOwner): an aggregator has no load of its own

    def take_observations(self) -> Observations:
        """Nothing: an aggregator sends no requests."""
        return Observations({}, {})

    def demands(self) -> dict[str, float]:
        """Nothing: an aggregator has no clients."""
        return {}

    def apply_load_snapshot(self, snapshot: LoadSnapshot) -> None:
        """Ignored: an aggregator routes nothing."""

    # The calls of the admin endpoint (operation.admin_endpoint.AdminOperations)

    def can_serve(self) -> bool:
        """Whether the aggregator has not been told to shut down."""
        return not self._shutdown_requested.is_set()

    def metrics_text(self) -> bytes:
        """The metrics in their exposition format."""
        return Metrics(()).text(0, 0, 0, peer_metrics(self.peers))

    def enter_maintenance(self, endpoint_id: str) -> None:
        """Raises UnknownEndpointError: an aggregator has no endpoint list."""
        raise UnknownEndpointError(endpoint_id)

    def exit_maintenance(self, endpoint_id: str) -> None:
        """Raises UnknownEndpointError: an aggregator has no endpoint list."""
        raise UnknownEndpointError(endpoint_id)


def aggregator_config(config: Config) -> PeerConfig:
    """Return this process's place among the peers; raises ConfigError if it is no listed aggregator."""
    if config.peers is None:
        raise ConfigError("the settings allow no peers, or the file names none")
    if config.peers.number not in config.peers.aggregators:
        raise ConfigError("peer_aggregators: this machine's address is not among them")
    return config.peers


def main() -> int:
    """Run the aggregator; returns the exit code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        config = load_config(os.environ)
        peers = aggregator_config(config)
    except (ConfigError, ValueError) as error:
        return report_usage_error(error)
    configure_logging(config.name)

    async def run() -> None:
        await AggregatorProgram(config, peers).run()

    return run_until_exit(run)


if __name__ == "__main__":
    sys.exit(main())
