"""Measures herding and load spread of many routers: `python -m bench.herd [--jobs 8] [CASES]`.

200 decision modules with their load view and 50 servers that are queues, in simulated time without sockets
(`bench.spread` has real processes). Each case runs with load reports alone ("reports alone"), with the merged
view but no slot migration ("picture"), and with slot migration ("plan"). The quiet case and those of
delayed reports also run with "switch", where a slot goes at once to the ranked server that reports the
shortest response time.

Columns: herd (variance over mean of a server's arrivals by 100 ms; a Poisson stream has 1.00), busiest and
idlest server over the mean after the fault, fraction of requests late or refused, misses, and cold: requests
to a cold server in its worst second, over its capacity then (it fails at 4.00).
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
FAULT_AT_S, RUN_S = 15.0, 45.0
ROUTERS, SERVERS, RATE = 200, 50, 600.0


def _partition(fleet: Fleet) -> None:
    """Cut a third of the routers off from the others for 20 s, while two keys get 5 % of all reads each."""
    fleet.hot = {"north": 0.05, "south": 0.05}
    fleet.can_reach = lambda one, other: (one % 3 == 0) == (other % 3 == 0)

    def heal() -> None:
        fleet.can_reach, fleet.hot = lambda _one, _other: True, {}

    fleet.at(int((FAULT_AT_S + 20.0) * S), heal)


def _hot_keys(count: int, share: float) -> Callable[[Fleet], None]:
    def fault(fleet: Fleet) -> None:
        fleet.hot = {f"hot{i}": share for i in range(count)}
        fleet.at(int((FAULT_AT_S + 10.0) * S), fleet.hot.clear)

    return fault


def _fixed_report(report: tuple[float, float] | None) -> Callable[[Fleet], None]:
    def fault(fleet: Fleet) -> None:
        server = next(iter(fleet.servers.values()))
        server.claimed_load = report or server.report(fleet.now)

    return fault


def _false_router_report(fleet: Fleet) -> None:
    """Make router 5 claim far more requests than it has, all for MAX_SLOTS slots."""
    fleet.falsify = lambda one, report: (
        LoadReport(one.number, 1, report.samples, 60_000, dict.fromkeys(range(MAX_SLOTS), 3_300))
        if one.number == 5
        else report
    )


def _weights(weight_of: Callable[[SimulatedPolicy], float]) -> Callable[[Fleet], None]:
    def fault(fleet: Fleet) -> None:
        for one in fleet.routers:
            one.weight = weight_of(one)

    return fault


def _add_servers(fleet: Fleet) -> None:
    fleet.set_listed([*fleet.listed, *(f"10.9.0.{i}:1" for i in range(5))])


def _remove_servers(fleet: Fleet) -> None:
    for i in range(1, SERVERS // 3 + 1):
        names = list(fleet.servers)[i:SERVERS]
        fleet.at(int((FAULT_AT_S + i * 0.3) * S), lambda names=names: fleet.set_listed(names))  # type: ignore[misc]


CASES: dict[str, tuple[dict[str, Any], Callable[[Fleet], None] | None, float, float]] = {
    # options, fault, second of the fault, second from which the spread is measured
    "quiet": ({}, None, FAULT_AT_S, FAULT_AT_S),
    "news 1 s old": ({"delay": S}, None, FAULT_AT_S, FAULT_AT_S),
    "news 5 s old": ({"delay": 5 * S}, None, FAULT_AT_S, FAULT_AT_S),
    "news 10 s old": ({"delay": 10 * S}, None, FAULT_AT_S, FAULT_AT_S),
    "a server that says it is idle": ({}, _fixed_report((1.0, 0.0)), FAULT_AT_S, FAULT_AT_S + 5),
    "a server that says it is full": ({}, _fixed_report((400.0, 20.0)), FAULT_AT_S, FAULT_AT_S + 5),
    "a server whose reports stand still": ({}, _fixed_report(None), FAULT_AT_S, FAULT_AT_S + 5),
    "a tenth of the routers frozen for 3 s": (
        {},
        lambda fleet: fleet.freeze(range(0, ROUTERS, 10), 3.0),
        FAULT_AT_S,
        FAULT_AT_S + 8,
    ),
    "a third of the routers cut off for 20 s": ({}, _partition, FAULT_AT_S, FAULT_AT_S + 25),
    "a key gets 10 % for 10 s": ({}, _hot_keys(1, 0.1), FAULT_AT_S, FAULT_AT_S + 15),
    "ten keys get 3 % each for 10 s": ({}, _hot_keys(10, 0.03), FAULT_AT_S, FAULT_AT_S + 15),
    "five servers join cold": ({"cold_time": 10 * S}, _add_servers, FAULT_AT_S, FAULT_AT_S + 15),
    "a third of the servers leaves in 5 s": ({}, _remove_servers, FAULT_AT_S, FAULT_AT_S + 10),
    "one router has 25 %": ({}, _weights(lambda one: 66.0 if one.number == 0 else 1.0), 0.0, FAULT_AT_S),
    "fifty routers have none": ({}, _weights(lambda one: 1e-9 if one.number < 50 else 1.0), 0.0, FAULT_AT_S),
    "a router that claims to be all": ({}, _false_router_report, FAULT_AT_S, FAULT_AT_S + 5),
    "1 router": ({"routers": 1}, None, FAULT_AT_S, FAULT_AT_S),
    "3 routers": ({"routers": 3}, None, FAULT_AT_S, FAULT_AT_S),
    "400 routers": ({"routers": 400}, None, FAULT_AT_S, FAULT_AT_S),
    "3 servers": ({"servers": 3, "rate": 36.0}, None, FAULT_AT_S, FAULT_AT_S),
}
VARIANTS = ("reports alone", "picture", "plan")
SWITCH_CASES = ("quiet", "news 1 s old", "news 5 s old", "news 10 s old")


def shortest_response_time_rank(
    _self: slot_rebalancing.SlotRebalancer, _slot: int, ranking: Sequence[Any]
) -> int:
    """Return the rank of the server that reports the shortest response time, in place of slot migration."""
    count = min(len(ranking), slot_rebalancing.MAX_RECEIVER_RANK)
    return min(range(count), key=lambda i: ranking[i].reported_response_time_ns or math.inf)


def run_case(case: str, variant: str, seed: int) -> dict[str, float]:
    """Run a case with one variant of the policy; returns its figures by column."""
    options, fault, fault_at_s, since = CASES[case]
    if variant == "picture":
        slot_rebalancing.MAX_MIGRATION_PER_S = 0.0
    if variant == "switch":
        slot_rebalancing.SlotRebalancer.receiver_rank = shortest_response_time_rank  # type: ignore[method-assign, assignment]
    fleet = Fleet(
        **{
            "routers": ROUTERS,
            "servers": SERVERS,
            "rate": RATE,
            "seed": seed,
            "peers": variant != "reports alone",
            **options,
        }
    )
    fleet.run(fault_at_s)
    if fault is not None:
        fault(fleet)
    fleet.run(RUN_S)
    busiest, idlest = fleet.spread(since, RUN_S)
    cold_overload = 0.0
    for server in fleet.servers.values():
        if server.entry.started_ns:
            arrivals_by_second = Counter((at - server.entry.started_ns) // S for at in server.arrivals)
            for second in range(10):
                capacity = (0.2 + 0.8 * second / 10) / server.service
                cold_overload = max(cold_overload, arrivals_by_second[second] / capacity)
    late_requests = sum(count for at, count in fleet.late_by_second.items() if at >= fault_at_s)
    return {
        "herd": fleet.arrival_dispersion(since, RUN_S),
        "busiest": busiest,
        "idlest": idlest,
        "late": late_requests / fleet.rate / (RUN_S - fault_at_s),
        "misses": float(fleet.request_counts["misses"]),
        "cold": cold_overload,
    }


def main() -> None:
    """Run all cases and print a table."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=8)
    parser.add_argument("cases", nargs="*")
    args = parser.parse_args()
    runs = [
        (case, variant)
        for case in args.cases or CASES
        for variant in (*VARIANTS, "switch")
        if variant != "switch" or case in SWITCH_CASES
    ]
    print("| case | | herd | busiest | idlest | late | misses | cold |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    with ProcessPoolExecutor(args.jobs, mp_context=get_context("spawn"), max_tasks_per_child=1) as pool:
        for (case, variant), row in zip(
            runs, pool.map(run_case, *zip(*((*one, args.seed) for one in runs), strict=True)), strict=True
        ):
            cells = " | ".join(
                f"{value:.0f}" if name == "misses" else f"{value:.3f}" if name == "late" else f"{value:.2f}"
                for name, value in row.items()
            )
            print(f"| {case} | {variant} | {cells} |", flush=True)


if __name__ == "__main__":
    main()
