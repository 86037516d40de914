"""What the membership costs and how soon it learns: `python -m bench.membership [--sizes 20 200 2000]`.

In simulated time, memberships alone over the relay's lines: deaths, with and without 5 % of datagrams lost;
no death, 5 % lost and a tenth of the routers slow (they run 20 ms of each 100).
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
LEARN_MOST_S = 120.0  # a death that not all have learnt of by then was not learnt


def line(a: str, b: str) -> float:
    """One way, seconds: within a zone or across."""
    return 0.0002 if int(a[6:]) % 3 == int(b[6:]) % 3 else 0.004


def slow_down(tier: MembershipTier, number: int, run_ms: int) -> None:
    """One that runs for so many ms of each 100."""

    def hold() -> None:
        tier.stop(number)
        tier.at(tier.now + (100 - run_ms) * 1_000_000, go_on)

    def go_on() -> None:
        tier.go_on(number)
        tier.at(tier.now + run_ms * 1_000_000, hold)

    hold()


def learn_of_deaths(
    tier: MembershipTier, deaths: int, most_s: float, unlearnt: float
) -> tuple[list[float], list[float]]:
    """Kill so many one after the other: seconds until the first, and until all living learn of each.

    A death is waited for `most_s` seconds; `unlearnt` stands where it was not learnt by then.
    """
    first: list[float] = []
    last: list[float] = []
    for number in range(deaths):
        learnt: dict[int, float] = {}
        killed = tier.now

        def changed(at: int, which: int, state: MemberState) -> None:
            if which == number and state is MemberState.GONE:  # noqa: B023
                learnt.setdefault(at, (tier.now - killed) / 1e9)  # noqa: B023

        tier.on_change = changed
        tier.kill(number)
        living = sum(member is not None for member in tier.members)
        while len(learnt) < living and tier.now - killed < most_s * 1e9:
            tier.run(0.5)
        first.append(min(learnt.values(), default=unlearnt))
        last.append(max(learnt.values()) if len(learnt) == living else unlearnt)
    return first, last


def deaths(size: int, seed: int, loss: float) -> tuple[list[float], list[float], float]:
    """Seconds until the first, and until all learn of each of some deaths; bytes a second of a router."""
    tier = MembershipTier(size, seed, RelayModel(seed, line, PeerNetworkConditions(loss=loss)))
    tier.run(CALM_S)
    before, began = sum(tier.bytes.values()), tier.now
    first, last = learn_of_deaths(tier, DEATHS, LEARN_MOST_S, unlearnt=inf)
    spent = (sum(tier.bytes.values()) - before) / ((tier.now - began) / 1e9) / size
    return first, last, spent


def falsely(size: int, seed: int, seconds: float) -> dict[str, float]:
    """Suspicions and deaths an hour over the tier, nobody being dead; bytes a second of a router."""
    tier = MembershipTier(size, seed, RelayModel(seed, line, PeerNetworkConditions(loss=0.05)))
    slow = set(tier.random.sample(range(size), size // 10))
    for number in slow:
        slow_down(tier, number, 20)
    tier.run(CALM_S)
    counts: dict[str, set[tuple[int, int]]] = {"suspected": set(), "of slow": set(), "gone": set()}

    def changed(_: int, which: int, state: MemberState) -> None:
        member = tier.members[which]
        incarnation = member.incarnation if member is not None else 0
        if state is MemberState.SUSPECTED:
            counts["of slow" if which in slow else "suspected"].add((which, incarnation))
        elif state is MemberState.GONE:
            counts["gone"].add((which, incarnation))

    tier.on_change = changed
    before = sum(tier.bytes.values())
    tier.run(seconds)
    spent = (sum(tier.bytes.values()) - before) / seconds / size
    return {**{name: len(found) * 3600 / seconds for name, found in counts.items()}, "bytes": spent}


def main() -> None:
    """Measure and print."""
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--sizes", type=int, nargs="+", default=[20, 200, 2000])
    words.add_argument("--seed", type=int, default=1)
    words.add_argument("--seconds", type=float, default=120.0)
    told = words.parse_args()
    for size in told.sizes:
        began = perf_counter()
        for loss in (0.0, 0.05):
            first, last, spent = deaths(size, told.seed, loss)
            print(
                f"{size} routers, {loss:.0%} lost: a death is learnt by the first after "
                f"{statistics.median(first):.1f} s (worst {max(first):.1f}), by all after "
                f"{statistics.median(last):.1f} s (worst {max(last):.1f}); {spent:.0f} bytes a second each",
                flush=True,
            )
        wrong = falsely(size, told.seed, min(told.seconds, 60.0) if size > 500 else told.seconds)
        print(
            f"{size} routers, 5% lost, a tenth slow: in an hour {wrong['suspected']:.0f} well and "
            f"{wrong['of slow']:.0f} slow ones suspected, {wrong['gone']:.0f} held for gone; "
            f"{wrong['bytes']:.0f} bytes a second each ({perf_counter() - began:.0f} s to play)",
            flush=True,
        )


if __name__ == "__main__":
    main()
