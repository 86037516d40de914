"""The metrics of a router or an aggregator as a member among its peers."""

from __future__ import annotations

from holdgw.operation.metrics import PeerMetrics
from holdgw.peers.gossip import PeerNode


def peer_metrics(peers: PeerNode) -> PeerMetrics:
    """The current metrics of a member."""
    return PeerMetrics(
        members=peers.state_counts(),
        load_view=peers.view_counts(),
        dropped=peers.drop_counts(),
        aggregation=peers.aggregation_counts(),
        payload_bytes={"sent": peers.bytes_sent, "received": peers.bytes_received},
    )
