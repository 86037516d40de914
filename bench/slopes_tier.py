"""Simulates the memberships of routers at 43 sites in 25 zones and 8 regions; measures traffic and views."""

from __future__ import annotations

import time
from collections.abc import Callable, Collection
from typing import Any

from holdgw.emulators.relay_model import PeerNetworkConditions, RelayModel
from holdgw.peers.membership import Membership
from holdgw.simulation.membership_tier import MembershipTier

SITES, ZONES, REGIONS = 43, 25, 8
SAME_SITE_S, SAME_ZONE_S, SAME_REGION_S, ACROSS_REGIONS_S = 0.0001, 0.0005, 0.002, 0.04
LOSS_FRACTION = 0.01
SETTLE_S = 10.0


def zone(number: int) -> int:
    """Return the zone of a router; routers are assigned to sites, and sites to zones, in turn."""
    return number % SITES % ZONES


def region(number: int) -> int:
    """Return the region of a router; zones are assigned to regions in turn."""
    return zone(number) % REGIONS


def one_way_delay(a: str, b: str) -> float:
    """Return the assumed minimum one-way delay in seconds between two routers, given by their names."""
    first, second = int(a[6:]), int(b[6:])
    if first % SITES == second % SITES:
        return SAME_SITE_S
    if zone(first) == zone(second):
        return SAME_ZONE_S
    return SAME_REGION_S if region(first) == region(second) else ACROSS_REGIONS_S


def router_name(number: int) -> str:
    """Return the name of a router at the relay."""
    return f"router{number:02d}"


def make_tier(size: int, seed: int, loss: float = LOSS_FRACTION) -> MembershipTier:
    """Return a tier of `size` routers that know one another, after `SETTLE_S` without failures."""
    tier = MembershipTier(size, seed, RelayModel(seed, one_way_delay, PeerNetworkConditions(loss=loss)))
    tier.run(SETTLE_S)
    return tier


def measure_members_cpu(tier: MembershipTier) -> list[float]:
    """Measure the processor time of the present members from now on.

    Returns a list with one entry, which the calls of `tick` and `receive` update: their sum in seconds.
    """
    cpu_s = [0.0]

    def wrap(call: Callable[..., Any]) -> Callable[..., Any]:
        def measured(*arguments: Any) -> Any:
            before = time.thread_time_ns()
            result = call(*arguments)
            cpu_s[0] += (time.thread_time_ns() - before) / 1e9
            return result

        return measured

    for member in tier.members:
        if member is not None:
            for method in ("tick", "receive"):
                setattr(member, method, wrap(getattr(member, method)))
    return cpu_s


def running_members(tier: MembershipTier) -> list[Membership]:
    """Return the members whose processes run."""
    return [member for member in tier.members if member is not None]


def membership_converged(tier: MembershipTier, present: Collection[int]) -> bool:
    """Return whether each running router considers exactly the routers in `present` to be present."""
    expected = set(present)
    return all(set(member.present()) == expected for member in running_members(tier))


class TrafficPerSecond:
    """Measures the traffic of a tier second by second: bytes sent and received by a router, and messages."""

    def __init__(self, tier: MembershipTier) -> None:
        self._tier = tier
        self._received: dict[int, int] = {}
        receive = tier._receive

        def count_received(number: int, data: bytes) -> None:
            self._received[number] = self._received.get(number, 0) + len(data)
            receive(number, data)

        tier._receive = count_received  # type: ignore[method-assign]
        self.reset()

    def reset(self) -> None:
        """Reset the maxima and the number of messages."""
        self.max_bytes = 0.0
        """The most bytes sent and received by one router in one second."""
        self.max_mean_bytes = 0.0
        """The largest mean over the routers of the bytes sent and received in one second."""
        self.messages = 0
        """Messages sent by all routers since the last reset."""

    def run_second(self) -> None:
        """Run the tier for one second of simulated time and record its traffic."""
        tier, bytes_before = self._tier, dict(self._tier.bytes)
        sent_before = sum(tier.sent.values())
        self._received.clear()
        tier.run(1.0)
        traffic = [
            tier.bytes.get(number, 0) - bytes_before.get(number, 0) + self._received.get(number, 0)
            for number, member in enumerate(tier.members)
            if member is not None
        ]
        self.max_bytes = max(self.max_bytes, float(max(traffic)))
        self.max_mean_bytes = max(self.max_mean_bytes, sum(traffic) / len(traffic))
        self.messages += sum(tier.sent.values()) - sent_before
