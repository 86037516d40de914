"""Figures that detect faults which violate no rule, each with the bound that the program must meet.

They are measured in simulated time, on decision modules or memberships alone. `python -m bench.figures
[--seeds 4] [NAMES]` prints them for the unmodified program; `bench.mutants` measures them with planted
faults.
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


def arrival_dispersion(seed: int) -> float:
    """Return variance over mean of a server's arrivals by 100 ms, with load reports delayed by 1 s."""
    fleet = _fleet(seed, delay=S)
    fleet.run(15.0)
    return fleet.arrival_dispersion(5.0, 15.0)


def lasting_loss(seed: int) -> float:
    """Return the fraction of its former requests that a server lacks from 6 s after an overload of 6 s on."""
    fleet = _fleet(seed)
    fleet.run(8.0)
    server = fleet.servers[min(fleet.servers)]
    server.claimed_load = (600.0, 30.0)
    fleet.run(14.0)
    server.claimed_load = None
    fleet.run(26.0)
    before = sum(2 * S <= at < 8 * S for at in server.arrivals)
    after = sum(20 * S <= at < 26 * S for at in server.arrivals)
    return 1.0 - after / before


def older_reports_applied(seed: int) -> float:
    """Count how often an older report replaces a newer response time, with load reports delayed by 2 s."""
    fleet = _fleet(seed, routers=12, delay=2 * S)
    newest: dict[tuple[int, str], int] = {}
    older_count = 0
    report = fleet._report

    def reported(router: SimulatedPolicy) -> None:
        nonlocal older_count
        report(router)
        for name, node in router.policy._caches.endpoints.items():
            older_count += node.reported.at_ns < newest.get((router.number, name), 0)
            newest[router.number, name] = node.reported.at_ns

    fleet._report = reported  # type: ignore[method-assign]
    fleet.run(12.0)
    return float(older_count)


def wrongly_dead(seed: int) -> float:
    """Count the pairs of members of which one wrongly holds the other not to be alive.

    All members run at the end: some were paused or restarted before, and old datagrams are replayed.
    """
    conditions = PeerNetworkConditions(loss=0.05, duplicates=0.1, reordered=0.3)
    tier = MembershipTier(24, seed, RelayModel(seed, lambda _a, _b: 0.004, conditions))
    recorded: list[tuple[int, int, bytes]] = []
    send = tier.send

    def record(number: int, to: int, data: bytes) -> None:
        if 12 * S < tier.now < 30 * S:
            recorded.append((number, to, data))
        send(number, to, data)

    tier.send = record  # type: ignore[method-assign]
    tier.run(5.0)
    for number in range(6):
        tier.stop(number)
    tier.run(15.0)
    for number in range(6):
        tier.resume(number)
    for number in range(6, 10):
        tier.kill(number)
    tier.run(12.0)
    for number in range(6, 10):
        tier.start(number)
    tier.run(10.0)
    for number, to, data in tier.random.sample(recorded, min(300, len(recorded))):
        send(number, to, data)
    tier.run(15.0)
    members = [member for member in tier.members if member is not None]
    return float(sum(other.state is not MemberState.ALIVE for member in members for other in member.members))


class Figure(NamedTuple):
    """A measurement, its description, and the highest value allowed. `measure` takes a seed."""

    about: str
    measure: Callable[[int], float]
    bound: float


FIGURES = {
    "herd": Figure("variance over mean of arrivals", arrival_dispersion, 1.4),
    "stale": Figure("fraction of requests lacking long after an overload", lasting_loss, 0.35),
    "overruled": Figure("older reports that replaced a newer one", older_reports_applied, 0.0),
    "returned": Figure("living routers held to be dead", wrongly_dead, 0.0),
    "view-age": Figure("seconds by which a view understates an age", aggregation_figures.view_age, 0.3),
    "counted-twice": Figure(
        "requests in a view over actual requests", aggregation_figures.double_counting, 1.05
    ),
    "replayed": Figure("response times that old datagrams brought back", aggregation_figures.replayed, 0.0),
    "blind": Figure(
        "routers without a usable view when aggregators are lost", aggregation_figures.uninformed, 0.0
    ),
    "without-view": Figure(
        "routers in fallback although an aggregator is reachable", aggregation_figures.without_view, 0.0
    ),
    "one-liar": Figure(
        "response times and shares changed by one false aggregator",
        aggregation_figures.single_false_aggregator,
        0.0,
    ),
}


def _measure(name: str, seed: int) -> float:
    return FIGURES[name].measure(seed)


def main() -> None:
    """Measure the figures and print a table."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--jobs", type=int, default=8)
    parser.add_argument("names", nargs="*")
    args = parser.parse_args()
    names = args.names or list(FIGURES)
    runs = [(name, seed) for name in names for seed in range(1, args.seeds + 1)]
    with ProcessPoolExecutor(args.jobs, mp_context=get_context("spawn")) as pool:
        values = list(pool.map(_measure, *zip(*runs, strict=True)))
    for i, name in enumerate(names):
        row = " ".join(f"{value:.2f}" for value in values[i * args.seeds : (i + 1) * args.seeds])
        print(f"| {name} | {FIGURES[name].about} | {row} | at most {FIGURES[name].bound:g} |")


if __name__ == "__main__":
    main()
