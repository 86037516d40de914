"""Figures that tell a fault which breaks no rule, each with the bound that the program keeps to.

In simulated time, decision modules or memberships alone; `python -m bench.figures [--seeds 4] [NAMES]` prints
them as the program stands, `bench.mutants` plants faults and plays them again.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from typing import Any, NamedTuple

from bench import aggregation_figures
from holdgw.emulators.relay_model import PeerNetworkConditions, RelayModel
from holdgw.peers.datagram import MemberState
from holdgw.peers.timing import NS_PER_S
from holdgw.simulation.fleet import Fleet, SimulatedPolicy
from holdgw.simulation.membership_tier import MembershipTier

S = NS_PER_S
ROUTERS, SERVERS, RATE, SERVICE_S = 60, 20, 300.0, 0.04


def _fleet(seed: int, **more: Any) -> Fleet:
    return Fleet(
        **{"routers": ROUTERS, "servers": SERVERS, "rate": RATE, "seed": seed, "service": SERVICE_S} | more
    )


def herd(seed: int) -> float:
    """Variance over mean of a server's arrivals by 100 ms, by news that is 1 s old."""
    played = _fleet(seed, delay=S)
    played.run(15.0)
    return played.herd(5.0, 15.0)


def stale(seed: int) -> float:
    """What a server that was over its load for 6 s gets less than before, 6 s after that: 1, nothing."""
    played = _fleet(seed)
    played.run(8.0)
    one = played.servers[min(played.servers)]
    one.says = (600.0, 30.0)
    played.run(14.0)
    one.says = None
    played.run(26.0)
    before = sum(2 * S <= at < 8 * S for at in one.arrivals)
    after = sum(20 * S <= at < 26 * S for at in one.arrivals)
    return 1.0 - after / before


def overruled(seed: int) -> float:
    """How often what a router holds of a server's wait goes back to an older word, by news 2 s old."""
    played = _fleet(seed, routers=12, delay=2 * S)
    newest: dict[tuple[int, str], int] = {}
    back = 0
    report = played._report

    def reported(one: SimulatedPolicy) -> None:
        nonlocal back
        report(one)
        for name, node in one.router._caches.endpoints.items():
            back += node.reported.at_ns < newest.get((one.number, name), 0)
            newest[one.number, name] = node.reported.at_ns

    played._report = reported  # type: ignore[method-assign]
    played.run(12.0)
    return float(back)


def returned(seed: int) -> float:
    """Routers held for dead, when all that were frozen or restarted are back and old datagrams come again."""
    weather = PeerNetworkConditions(loss=0.05, duplicates=0.1, reordered=0.3)
    tier = MembershipTier(24, seed, RelayModel(seed, lambda _a, _b: 0.004, weather))
    said: list[tuple[int, int, bytes]] = []
    say = tier.say

    def heard(number: int, to: int, data: bytes) -> None:
        if 12 * S < tier.now < 30 * S:
            said.append((number, to, data))
        say(number, to, data)

    tier.say = heard  # type: ignore[method-assign]
    tier.run(5.0)
    for number in range(6):
        tier.stop(number)
    tier.run(15.0)
    for number in range(6):
        tier.go_on(number)
    for number in range(6, 10):
        tier.kill(number)
    tier.run(12.0)
    for number in range(6, 10):
        tier.start(number)
    tier.run(10.0)
    for number, to, data in tier.random.sample(said, min(300, len(said))):
        say(number, to, data)
    tier.run(15.0)
    held = [one for one in tier.members if one is not None]
    return float(sum(other.state is not MemberState.ALIVE for one in held for other in one.members))


class Figure(NamedTuple):
    """What is measured, and the most that it may be."""

    about: str
    play: Callable[[int], float]
    most: float


FIGURES = {
    "herd": Figure("variance over mean of arrivals", herd, 1.4),
    "stale": Figure("less than before, long after it was over its load", stale, 0.35),
    "overruled": Figure("older words that took a newer one's place", overruled, 0.0),
    "returned": Figure("routers held for dead that are there", returned, 0.0),
    "view-age": Figure(
        "seconds that a wait in a view is older than stated", aggregation_figures.view_age, 0.3
    ),
    "counted-twice": Figure(
        "requests in a view over those that there are", aggregation_figures.counted_twice, 1.05
    ),
    "replayed": Figure("waits that old datagrams brought back", aggregation_figures.replayed, 0.0),
    "blind": Figure("routers that know little without aggregators", aggregation_figures.blind, 0.0),
    "without-view": Figure(
        "routers without a view though an aggregator is there", aggregation_figures.without_view, 0.0
    ),
    "one-liar": Figure(
        "waits and shares that one aggregator's lies moved", aggregation_figures.one_liar, 0.0
    ),
}


def _play(name: str, seed: int) -> float:
    return FIGURES[name].play(seed)


def main() -> None:
    """Play all, and print a table."""
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--seeds", type=int, default=4)
    words.add_argument("--jobs", type=int, default=8)
    words.add_argument("names", nargs="*")
    told = words.parse_args()
    names = told.names or list(FIGURES)
    todo = [(name, seed) for name in names for seed in range(1, told.seeds + 1)]
    with ProcessPoolExecutor(told.jobs, mp_context=get_context("spawn")) as pool:
        found = list(pool.map(_play, *zip(*todo, strict=True)))
    for i, name in enumerate(names):
        row = " ".join(f"{one:.2f}" for one in found[i * told.seeds : (i + 1) * told.seeds])
        print(f"| {name} | {FIGURES[name].about} | {row} | at most {FIGURES[name].most:g} |")


if __name__ == "__main__":
    main()
