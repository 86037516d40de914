"""Whether many routers herd, and what hard cases do to the spread: `python -m bench.herd [--jobs 8] [CASES]`.

200 decision modules and what they tell one another, 50 servers that are queues, in simulated time; without
sockets (`bench.spread` has real processes). Each case is played with reports alone, with the picture but no
plan of who gives slots up, and with the plan; the old news also with a switch in the plan's place: a slot
goes to the ranked server that says the shortest wait.

Columns: herd (variance over mean of a server's arrivals by 100 ms; a Poisson stream has 1.00), busiest and
idlest server over the mean once the trouble is over, late or refused of all, misses; how much of what it can
do a cold server was sent in its worst second (it falls at 4.00).
"""

from __future__ import annotations

import argparse
import math
from collections import Counter
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from typing import Any

from holdgw.peers.load_report import MAX_SLOTS, LoadReport
from holdgw.peers.timing import NS_PER_S
from holdgw.policy import slot_rebalancing
from holdgw.simulation.fleet import Fleet, SimulatedPolicy

S = NS_PER_S
BEGIN, LENGTH = 15.0, 45.0  # of the trouble, and of the whole
ROUTERS, SERVERS, RATE = 200, 50, 600.0


def _zone(fleet: Fleet) -> None:
    """A third of the routers hears only its own for 20 s, and has a hot key of its own."""
    fleet.hot = {"north": 0.05, "south": 0.05}
    fleet.can_reach = lambda one, other: (one % 3 == 0) == (other % 3 == 0)

    def heal() -> None:
        fleet.can_reach, fleet.hot = lambda _one, _other: True, {}

    fleet.at(int((BEGIN + 20.0) * S), heal)


def _hot(count: int, each: float) -> Callable[[Fleet], None]:
    def trouble(fleet: Fleet) -> None:
        fleet.hot = {f"hot{i}": each for i in range(count)}
        fleet.at(int((BEGIN + 10.0) * S), fleet.hot.clear)

    return trouble


def _says(report: tuple[float, float] | None) -> Callable[[Fleet], None]:
    def trouble(fleet: Fleet) -> None:
        liar = next(iter(fleet.servers.values()))
        liar.claimed_load = report or liar.report(fleet.now)

    return trouble


def _claims(fleet: Fleet) -> None:
    """One router claims that eighteen slots of its choice are all that anybody asks for."""
    fleet.falsify = lambda one, report: (
        LoadReport(one.number, 1, report.samples, 60_000, dict.fromkeys(range(MAX_SLOTS), 3_300))
        if one.number == 5
        else report
    )


def _weights(weigh: Callable[[SimulatedPolicy], float]) -> Callable[[Fleet], None]:
    def trouble(fleet: Fleet) -> None:
        for one in fleet.routers:
            one.weight = weigh(one)

    return trouble


def _joins(fleet: Fleet) -> None:
    fleet.set_listed([*fleet.listed, *(f"10.9.0.{i}:1" for i in range(5))])


def _leave(fleet: Fleet) -> None:
    for i in range(1, SERVERS // 3 + 1):
        names = list(fleet.servers)[i:SERVERS]
        fleet.at(int((BEGIN + i * 0.3) * S), lambda names=names: fleet.set_listed(names))  # type: ignore[misc]


CASES: dict[str, tuple[dict[str, Any], Callable[[Fleet], None] | None, float, float]] = {
    # options, trouble, when it comes, and from when on the spread is measured
    "quiet": ({}, None, BEGIN, BEGIN),
    "news 1 s old": ({"delay": S}, None, BEGIN, BEGIN),
    "news 5 s old": ({"delay": 5 * S}, None, BEGIN, BEGIN),
    "news 10 s old": ({"delay": 10 * S}, None, BEGIN, BEGIN),
    "a server that says it is idle": ({}, _says((1.0, 0.0)), BEGIN, BEGIN + 5),
    "a server that says it is full": ({}, _says((400.0, 20.0)), BEGIN, BEGIN + 5),
    "a server whose reports stand still": ({}, _says(None), BEGIN, BEGIN + 5),
    "a tenth of the routers frozen for 3 s": (
        {},
        lambda fleet: fleet.freeze(range(0, ROUTERS, 10), 3.0),
        BEGIN,
        BEGIN + 8,
    ),
    "a third of the routers cut off for 20 s": ({}, _zone, BEGIN, BEGIN + 25),
    "a key gets 10 % for 10 s": ({}, _hot(1, 0.1), BEGIN, BEGIN + 15),
    "ten keys get 3 % each for 10 s": ({}, _hot(10, 0.03), BEGIN, BEGIN + 15),
    "five servers join cold": ({"cold_time": 10 * S}, _joins, BEGIN, BEGIN + 15),
    "a third of the servers leaves in 5 s": ({}, _leave, BEGIN, BEGIN + 10),
    "one router has 25 %": ({}, _weights(lambda one: 66.0 if one.number == 0 else 1.0), 0.0, BEGIN),
    "fifty routers have none": ({}, _weights(lambda one: 1e-9 if one.number < 50 else 1.0), 0.0, BEGIN),
    "a router that claims to be all": ({}, _claims, BEGIN, BEGIN + 5),
    "1 router": ({"routers": 1}, None, BEGIN, BEGIN),
    "3 routers": ({"routers": 3}, None, BEGIN, BEGIN),
    "400 routers": ({"routers": 400}, None, BEGIN, BEGIN),
    "3 servers": ({"servers": 3, "rate": 36.0}, None, BEGIN, BEGIN),
}
WAYS = ("reports alone", "picture", "plan")
SWITCHED = ("quiet", "news 1 s old", "news 5 s old", "news 10 s old")


def switch(_self: slot_rebalancing.SlotRebalancer, _slot: int, ranking: Sequence[Any]) -> int:
    """Where a slot would be were it the one that says the shortest wait who has it."""
    count = min(len(ranking), slot_rebalancing.MAX_RECEIVER_RANK)
    return min(range(count), key=lambda i: ranking[i].reported_response_time_ns or math.inf)


def once(case: str, way: str, seed: int) -> dict[str, float]:
    """Play a case."""
    options, trouble, when, since = CASES[case]
    if way == "picture":
        slot_rebalancing.MAX_MIGRATION_PER_S = 0.0
    if way == "switch":
        slot_rebalancing.SlotRebalancer.receiver_rank = switch  # type: ignore[method-assign, assignment]
    played = Fleet(
        **{
            "routers": ROUTERS,
            "servers": SERVERS,
            "rate": RATE,
            "seed": seed,
            "peers": way != "reports alone",
            **options,
        }
    )
    played.run(when)
    if trouble is not None:
        trouble(played)
    played.run(LENGTH)
    busiest, idlest = played.spread(since, LENGTH)
    cold = 0.0
    for server in played.servers.values():
        if server.entry.started_ns:
            seconds = Counter((at - server.entry.started_ns) // S for at in server.arrivals)
            for second in range(10):
                can = (0.2 + 0.8 * second / 10) / server.service
                cold = max(cold, seconds[second] / can)
    bad = sum(count for at, count in played.late_by_second.items() if at >= when)
    return {
        "herd": played.herd(since, LENGTH),
        "busiest": busiest,
        "idlest": idlest,
        "late": bad / played.rate / (LENGTH - when),
        "misses": float(played.count["misses"]),
        "cold": cold,
    }


def main() -> None:
    """Play all, and print a table."""
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--seed", type=int, default=1)
    words.add_argument("--jobs", type=int, default=8)
    words.add_argument("cases", nargs="*")
    told = words.parse_args()
    todo = [
        (case, way)
        for case in told.cases or CASES
        for way in (*WAYS, "switch")
        if way != "switch" or case in SWITCHED
    ]
    print("| case | | herd | busiest | idlest | late | misses | cold |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    with ProcessPoolExecutor(told.jobs, mp_context=get_context("spawn"), max_tasks_per_child=1) as pool:
        for (case, way), row in zip(
            todo, pool.map(once, *zip(*((*one, told.seed) for one in todo), strict=True)), strict=True
        ):
            shown = " | ".join(
                f"{value:.0f}" if name == "misses" else f"{value:.3f}" if name == "late" else f"{value:.2f}"
                for name, value in row.items()
            )
            print(f"| {case} | {way} | {shown} |", flush=True)


if __name__ == "__main__":
    main()
