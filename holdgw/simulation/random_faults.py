"""Storms: faults of all kinds, drawn from the seed into a scenario's list, so that each can be left out.

The module has no side effects.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import msgspec

from holdgw.harness.fault_types import KINDS, PHASES, Fault, kind_of
from holdgw.harness.scenario import Scenario, Storm, node_names

FIRST_START_SHARE, LAST_START_SHARE = 0.05, 0.8  # a storm's faults start between these shares of the schedule
MAX_NODES_SHARE = 0.25  # of the cache servers, that one fault affects

Draw = Callable[[random.Random, Scenario], dict[str, Any]]


def _random_nodes(rng: random.Random, scenario: Scenario) -> tuple[str, ...]:
    names = node_names(scenario.fleet)
    max_nodes = max(1, int(len(names) * MAX_NODES_SHARE))
    return tuple(sorted(rng.sample(names, rng.randint(1, max_nodes))))


def _router_count(rng: random.Random, scenario: Scenario) -> int:
    return rng.randint(1, max(1, scenario.fleet.routers // 2))


def _seconds(rng: random.Random, low: float, high: float) -> float:
    return round(rng.uniform(low, high), 3)


def _reply_fault(rng: random.Random, scenario: Scenario) -> dict[str, Any]:
    return {
        "seconds": _seconds(rng, 0.5, 6),
        "share": round(rng.uniform(0.01, 0.2), 3),
        "nodes": rng.choice(("all", _random_nodes(rng, scenario))),
        "store": rng.random() < 0.5,
    }


DRAWS: dict[str, Draw] = {
    "pause": lambda r, s: {"seconds": _seconds(r, 0.3, 4), "nodes": _random_nodes(r, s)},
    "kill": lambda r, s: {"nodes": _random_nodes(r, s)},
    "restart": lambda r, s: {"nodes": _random_nodes(r, s), "down_s": _seconds(r, 0.1, 3)},
    "replace": lambda r, s: {
        "nodes": _random_nodes(r, s), "down_s": _seconds(r, 0.1, 2), "same_address": r.random() < 0.5
    },
    "drain": lambda r, s: {"nodes": _random_nodes(r, s), "seconds": _seconds(r, 1, 6)},
    "cold_start": lambda r, s: {"nodes": r.randint(1, 3)},
    "flush": lambda r, s: {"share": round(r.uniform(0.2, 1), 2)},
    "scan": lambda r, s: {"seconds": _seconds(r, 1, 6), "share": round(r.uniform(0.05, 0.6), 2)},
    "hot_caller": lambda r, s: {"seconds": _seconds(r, 1, 6), "share": round(r.uniform(0.1, 0.6), 2)},
    "burst": lambda r, s: {
        "seconds": _seconds(r, 0.5, 4),
        "factor": round(r.uniform(1.5, 4), 2),
        "tenant": r.choice(("", *(tenant.name for tenant in s.tenants))),
    },
    "origin_slow": lambda r, s: {"seconds": _seconds(r, 0.5, 6), "factor": round(r.uniform(1.5, 6), 2)},
    "origin_down": lambda r, s: {"seconds": _seconds(r, 0.2, 3)},
    "reset": _reply_fault,
    "garble": _reply_fault,
    "silence": _reply_fault,
    "discovery_late": lambda r, s: {"seconds": _seconds(r, 1, 6), "extra_s": _seconds(r, 0.5, 3)},
    "discovery_stale": lambda r, s: {"seconds": _seconds(r, 0.5, 4), "routers": _router_count(r, s)},
    "discovery_down": lambda r, s: {"seconds": _seconds(r, 0.5, 4)},
    "by_hand": lambda r, s: {"seconds": _seconds(r, 1, 5), "nodes": _random_nodes(r, s)},
    "router_restart": lambda r, s: {
        "routers": _router_count(r, s), "signal": r.choice(("TERM", "KILL")), "gap_s": _seconds(r, 0, 1)
    },
    "router_reload": lambda r, s: {"routers": _router_count(r, s)},
    "partition": lambda r, s: {
        "seconds": _seconds(r, 0.1, 3),
        "nodes": _random_nodes(r, s),
        "routers": r.choice((0, _router_count(r, s))),
        "way": r.choice(("both", "to", "from")),
        "store": r.random() < 0.4,
    },
    "vanish": lambda r, s: {"seconds": _seconds(r, 3, 6), "nodes": _random_nodes(r, s)},
    "cut": lambda r, s: {
        "seconds": _seconds(r, 0.5, 5),
        "share": round(r.uniform(0.005, 0.15), 3),
        "phases": tuple(r.sample(PHASES, r.randint(1, len(PHASES)))),
        "lines": r.choice(("nodes", "store", "servers", "clients", "all")),
    },
    "weather": lambda r, s: {
        "seconds": _seconds(r, 0.5, 5),
        "loss": r.choice((0.0, round(r.uniform(0.001, 0.05), 3))),
        "chop": r.choice((0.0, 0.3, 1.0)),
        "slow_ms": r.choice((0.0, round(r.uniform(1, 40), 1))),
        "window_kb": r.choice((0, 1, 8)),
    },
    "router_stop": lambda r, s: {"seconds": _seconds(r, 0.01, 0.3), "routers": _router_count(r, s)},
    "clock_jump": lambda r, s: {"by_s": _seconds(r, -3600, 3600), "routers": _router_count(r, s)},
    "freeze": lambda r, s: {"seconds": _seconds(r, 0.3, 5), "routers": _router_count(r, s)},
    "slow": lambda r, s: {
        "seconds": _seconds(r, 1, 5), "routers": _router_count(r, s), "run_ms": r.randint(10, 60)
    },
    "machine_loss": lambda r, s: {
        "routers": _router_count(r, s), "down_s": r.choice((0.0, _seconds(r, 0.5, 5)))
    },
    "zone_loss": lambda r, s: {"seconds": _seconds(r, 2, 6), "zone": r.choice(s.fleet.zones)},
    "hot_key": lambda r, s: {
        "seconds": _seconds(r, 1, 6), "share": round(r.uniform(0.02, 0.3), 2), "keys": r.choice((1, 1, 10))
    },
    "lossy_peers": lambda r, s: {
        "seconds": _seconds(r, 1, 6),
        "loss": round(r.uniform(0, 0.5), 2),
        "duplicates": round(r.uniform(0, 0.3), 2),
        "reordered": round(r.uniform(0, 0.5), 2),
        "bytes_per_s": r.choice((0.0, 2000.0)),
    },
    "false_report": lambda r, s: {
        "seconds": _seconds(r, 1, 8),
        "nodes": _random_nodes(r, s),
        "says": r.choice(("idle", "full", "still"))
    },
    "isolate": lambda r, s: {
        "kind": "partition",
        "seconds": _seconds(r, 0.5, 8),
        "nodes": r.choice(((), _random_nodes(r, s))),
        "routers": _router_count(r, s),
        "way": r.choice(("both", "to", "from")),
        "discovery": r.random() < 0.5,
        "peers": r.choice((0, _router_count(r, s))),
    },
}  # fmt: skip


OPT_IN_KINDS = (
    "by_hand", "freeze", "slow", "machine_loss", "zone_loss", "lossy_peers", "isolate", "hot_key",
    "false_report",
)  # fmt: skip
"""Drawn only in storms that name them: a new default kind would change the faults of every known seed."""


def draw_storm(scenario: Scenario, seed: int) -> Scenario:
    """Return the scenario with the storm's faults drawn from the seed.

    Each fault gets a number for its own random draws, so that removing one changes no other.
    """
    rng = random.Random(f"{seed}/storm")
    kinds = scenario.storm.kinds or tuple(
        kind for kind in KINDS if kind in DRAWS and kind not in OPT_IN_KINDS
    )
    listed = [
        msgspec.structs.replace(fault, draw=i if fault.draw < 0 else fault.draw)
        for i, fault in enumerate(scenario.trouble)
    ]
    drawn = []
    for i in range(rng.randint(*scenario.storm.count)):
        kind = rng.choice(kinds)
        at = round(scenario.length_s * rng.uniform(FIRST_START_SHARE, LAST_START_SHARE), 3)
        fields = {"kind": kind, "at": at, "draw": 1000 + i, **DRAWS[kind](rng, scenario)}
        drawn.append(msgspec.convert(fields, Fault, strict=False))
    all_faults = sorted([*listed, *drawn], key=lambda fault: fault.at)
    return msgspec.structs.replace(scenario, seed=seed, storm=Storm(), trouble=tuple(all_faults))


def describe_faults(scenario: Scenario) -> str:
    """Return the kinds and start times of the faults, for a message."""
    return ", ".join(f"{kind_of(fault)} at {fault.at:g}" for fault in scenario.trouble)
