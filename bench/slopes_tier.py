"""A tier of memberships over 43 sites, 25 zones and 8 regions, in simulated time: what it says and knows."""

from __future__ import annotations

import time
from collections.abc import Callable, Collection
from typing import Any

from holdgw.emulators.relay_model import PeerWeather, RelayModel
from holdgw.peers.membership import Membership
from holdgw.simulation.membership_tier import MembershipTier

SITES, ZONES, REGIONS = 43, 25, 8
SAME_SITE_S, SAME_ZONE_S, SAME_REGION_S, ACROSS_REGIONS_S = 0.0001, 0.0005, 0.002, 0.04
LOSS = 0.01
CALM_S = 10.0


def zone(number: int) -> int:
    """The zone of a router by its number: sites are dealt to zones in turn, routers to sites."""
    return number % SITES % ZONES


def region(number: int) -> int:
    """The region of a router by its number."""
    return zone(number) % REGIONS


def one_way_delay(a: str, b: str) -> float:
    """The least one-way delay between two routers, seconds; assumed, not measured."""
    one, other = int(a[6:]), int(b[6:])
    if one % SITES == other % SITES:
        return SAME_SITE_S
    if zone(one) == zone(other):
        return SAME_ZONE_S
    return SAME_REGION_S if region(one) == region(other) else ACROSS_REGIONS_S


def router_name(number: int) -> str:
    """What the relay calls a router."""
    return f"router{number:02d}"


def make_tier(size: int, seed: int, loss: float = LOSS) -> MembershipTier:
    """So many routers that know one another, after a calm stretch."""
    tier = MembershipTier(size, seed, RelayModel(seed, one_way_delay, PeerWeather(loss=loss)))
    tier.run(CALM_S)
    return tier


def timed(tier: MembershipTier) -> list[float]:
    """Count the processor time of the members' own code from now on; the sum is the list's one entry."""
    spent = [0.0]

    def wrap(call: Callable[..., Any]) -> Callable[..., Any]:
        def counted(*words: Any) -> Any:
            before = time.thread_time_ns()
            result = call(*words)
            spent[0] += (time.thread_time_ns() - before) / 1e9
            return result

        return counted

    for member in tier.members:
        if member is not None:
            for method in ("tick", "receive"):
                setattr(member, method, wrap(getattr(member, method)))
    return spent


def running_members(tier: MembershipTier) -> list[Membership]:
    """The members whose processes run."""
    return [member for member in tier.members if member is not None]


def membership_converged(tier: MembershipTier, present: Collection[int]) -> bool:
    """Whether each living router holds just these for present."""
    wanted = set(present)
    return all(set(member.present()) == wanted for member in running_members(tier))


class TrafficPerSecond:
    """What each second brought: bytes said and heard by routers, and messages."""

    def __init__(self, tier: MembershipTier) -> None:
        self._tier = tier
        self._heard: dict[int, int] = {}
        comes = tier._comes

        def heard(number: int, data: bytes) -> None:
            self._heard[number] = self._heard.get(number, 0) + len(data)
            comes(number, data)

        tier._comes = heard  # type: ignore[method-assign]
        self.reset()

    def reset(self) -> None:
        """Count anew."""
        self.max_bytes = 0.0
        """Bytes said and heard by one router in one second, the most."""
        self.max_mean_bytes = 0.0
        """The same of the mean router, in its worst second."""
        self.messages = 0
        """Said by all, so far."""

    def run_second(self) -> None:
        """Let a second pass."""
        tier, before = self._tier, dict(self._tier.bytes)
        sent = sum(tier.sent.values())
        self._heard.clear()
        tier.run(1.0)
        both = [
            tier.bytes.get(number, 0) - before.get(number, 0) + self._heard.get(number, 0)
            for number, member in enumerate(tier.members)
            if member is not None
        ]
        self.max_bytes = max(self.max_bytes, float(max(both)))
        self.max_mean_bytes = max(self.max_mean_bytes, sum(both) / len(both))
        self.messages += sum(tier.sent.values()) - sent
