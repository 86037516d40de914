"""A machine set aside to aggregate routers' load reports: a member among their peers, and nothing else.

It reads the same configuration as a router, takes no clients, and asks discovery nothing. SIGTERM ends it,
once it has told the others that it leaves.
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
from holdgw.router.log import log_faults, make_logger
from holdgw.router.platform import Platform
from holdgw.router.process import run_until_exit
from holdgw.router.program import peer_metrics


class AggregatorProgram:
    """The machine's one part, and what operators ask of it."""

    def __init__(self, config: Config, peers: PeerConfig, platform: Platform | None = None) -> None:
        self.config = config
        self.loop = asyncio.get_running_loop()
        now = (platform or Platform()).monotonic_ns
        self.peers = PeerNode(self.loop, replace(peers, role=Role.SET_ASIDE), config.seed, now, self)
        self.door = AdminEndpoint(self.loop, self)
        self._terminated = asyncio.Event()

    async def run(self) -> None:
        """Aggregate until SIGTERM."""
        log_faults(self.loop)
        self.loop.add_signal_handler(signal.SIGTERM, self._terminated.set)
        if self.config.ops is not None:
            await self.door.listen(self.config.ops)
        self.peers.start()
        await self._terminated.wait()
        self.peers.leave()
        self.peers.close()
        self.door.close()
        await asyncio.sleep(0)  # lets the transports close

    # As the owner of a PeerNode: it has no load of its own

    def take_observations(self) -> Observations:
        """Nothing."""
        return Observations({}, {})

    def demands(self) -> dict[str, float]:
        """Nothing."""
        return {}

    def apply_load_snapshot(self, snapshot: LoadSnapshot) -> None:
        """It decides nothing."""

    # At the operators' door

    def can_serve(self) -> bool:
        """Whether it aggregates."""
        return not self._terminated.is_set()

    def metrics_text(self) -> bytes:
        """The figures as text."""
        return Metrics(()).text(0, 0, 0, peer_metrics(self.peers))

    def enter_maintenance(self, server_id: str) -> None:
        """It knows of no servers; raises UnknownServerError."""
        raise UnknownEndpointError(server_id)

    def exit_maintenance(self, server_id: str) -> None:
        """It knows of no servers; raises UnknownServerError."""
        raise UnknownEndpointError(server_id)


def aggregator_config(config: Config) -> PeerConfig:
    """This machine's place among the peers; raises ConfigError where it is no aggregator there."""
    if config.peers is None:
        raise ConfigError("the settings allow no peers, or the file names none")
    if config.peers.number not in config.peers.aggregators:
        raise ConfigError("peer_aggregators: this machine's address is not among them")
    return config.peers


async def aggregate(config: Config, peers: PeerConfig) -> None:
    """Aggregate until SIGTERM."""
    await AggregatorProgram(config, peers).run()


def main() -> int:
    """Start the aggregator; returns the exit code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        config = load_config(os.environ)
        peers = aggregator_config(config)
    except (ConfigError, ValueError) as error:
        print(f"holdgw: {error}", file=sys.stderr)
        return 2
    make_logger(config.name)
    return run_until_exit(lambda: aggregate(config, peers))


if __name__ == "__main__":
    sys.exit(main())
