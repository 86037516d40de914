"""Measures the membership's traffic and detection times: `python -m bench.membership [--sizes 20 200 2000]`.

Memberships run alone in simulated time over the relay's model: with deaths, at 0 and 5 % of datagrams lost;
and without a death, at 5 % lost, with a tenth of the routers slow (running 20 ms of each 100).
"""

from __future__ import annotations

import argparse
import statistics
from math import inf
from time import perf_counter

from holdgw.emulators.relay_model import PeerNetworkConditions, RelayModel
from holdgw.peers.datagram import MemberState
from holdgw.simulation.membership_tier import MembershipTier

DEATHS = 5
CALM_S = 10.0
MAX_LEARN_S = 120.0  # a death that not all have learnt of by then counts as not learnt


def one_way_delay(a: str, b: str) -> float:
    """Return the one-way delay between two routers, seconds: within a zone or between zones."""
    return 0.0002 if int(a[6:]) % 3 == int(b[6:]) % 3 else 0.004


def slow_down(tier: MembershipTier, number: int, run_ms: int) -> None:
    """Let a member run for only `run_ms` of each 100 ms."""

    def hold() -> None:
        tier.stop(number)
        tier.at(tier.now + (100 - run_ms) * 1_000_000, resume)

    def resume() -> None:
        tier.resume(number)
        tier.at(tier.now + run_ms * 1_000_000, hold)

    hold()


def learn_of_deaths(
    tier: MembershipTier, deaths: int, max_s: float, unlearnt: float
) -> tuple[list[float], list[float]]:
    """Kill `deaths` members one after the other.

    Returns for each death the seconds until the first and until all living members learnt of it, or
    `unlearnt` if that took more than `max_s` seconds.
    """
    first: list[float] = []
    last: list[float] = []
    for number in range(deaths):
        learnt: dict[int, float] = {}
        killed = tier.now

        def changed(at: int, member: int, state: MemberState) -> None:
            if member == number and state is MemberState.GONE:  # noqa: B023
                learnt.setdefault(at, (tier.now - killed) / 1e9)  # noqa: B023

        tier.on_change = changed
        tier.kill(number)
        living = sum(member is not None for member in tier.members)
        while len(learnt) < living and tier.now - killed < max_s * 1e9:
            tier.run(0.5)
        first.append(min(learnt.values(), default=unlearnt))
        last.append(max(learnt.values()) if len(learnt) == living else unlearnt)
    return first, last


def measure_deaths(size: int, seed: int, loss: float) -> tuple[list[float], list[float], float]:
    """Return seconds until the first and until all learn of each death, and a router's bytes per second."""
    tier = MembershipTier(size, seed, RelayModel(seed, one_way_delay, PeerNetworkConditions(loss=loss)))
    tier.run(CALM_S)
    before, began = sum(tier.bytes.values()), tier.now
    first, last = learn_of_deaths(tier, DEATHS, MAX_LEARN_S, unlearnt=inf)
    bytes_per_s = (sum(tier.bytes.values()) - before) / ((tier.now - began) / 1e9) / size
    return first, last, bytes_per_s


def false_suspicions(size: int, seed: int, seconds: float) -> dict[str, float]:
    """Return false suspicions and deaths per hour over the tier, and a router's bytes per second.

    No member dies, 5 % of datagrams are lost and a tenth of the members are slow.
    """
    tier = MembershipTier(size, seed, RelayModel(seed, one_way_delay, PeerNetworkConditions(loss=0.05)))
    slow = set(tier.random.sample(range(size), size // 10))
    for number in slow:
        slow_down(tier, number, 20)
    tier.run(CALM_S)
    counts: dict[str, set[tuple[int, int]]] = {"suspected": set(), "of slow": set(), "gone": set()}

    def changed(_: int, number: int, state: MemberState) -> None:
        member = tier.members[number]
        incarnation = member.incarnation if member is not None else 0
        if state is MemberState.SUSPECTED:
            counts["of slow" if number in slow else "suspected"].add((number, incarnation))
        elif state is MemberState.GONE:
            counts["gone"].add((number, incarnation))

    tier.on_change = changed
    before = sum(tier.bytes.values())
    tier.run(seconds)
    bytes_per_s = (sum(tier.bytes.values()) - before) / seconds / size
    return {**{name: len(found) * 3600 / seconds for name, found in counts.items()}, "bytes": bytes_per_s}


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--sizes", type=int, nargs="+", default=[20, 200, 2000])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=120.0)
    args = parser.parse_args()
    for size in args.sizes:
        began = perf_counter()
        for loss in (0.0, 0.05):
            first, last, bytes_per_s = measure_deaths(size, args.seed, loss)
            print(
                f"{size} routers, {loss:.0%} lost: a death is learnt by the first after "
                f"{statistics.median(first):.1f} s (worst {max(first):.1f}), by all after "
                f"{statistics.median(last):.1f} s (worst {max(last):.1f}); "
                f"{bytes_per_s:.0f} bytes a second each",
                flush=True,
            )
        false_alarms = false_suspicions(
            size, args.seed, min(args.seconds, 60.0) if size > 500 else args.seconds
        )
        print(
            f"{size} routers, 5% lost, a tenth slow: in an hour {false_alarms['suspected']:.0f} well and "
            f"{false_alarms['of slow']:.0f} slow ones suspected, {false_alarms['gone']:.0f} held for gone; "
            f"{false_alarms['bytes']:.0f} bytes a second each ({perf_counter() - began:.0f} s to play)",
            flush=True,
        )


if __name__ == "__main__":
    main()
