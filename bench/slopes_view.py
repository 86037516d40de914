"""One router's whole control part by the number of routers: processor time, bytes, memory, coverage and age.

The surroundings are made up by bench.peer_cost: 934 requests a second, 96 servers, calm, nothing lost. The
kernel's and the event loop's cost of a datagram are not in it.
"""

from __future__ import annotations

from bench import peer_cost
from bench.capacity_model import Measurement, Scale
from bench.slopes import REPEATS, ROUTER_COUNTS, Readings, build_measurement
from holdgw.peers.gossip import FANOUT

SECONDS = 20.0
PARTS_OF_VIEW = ("record", "report", "snapshot", "receive")
OLD = 0.95
REPORT_S = peer_cost.REPORT_S
REPORTS_PER_S = FANOUT / REPORT_S


def ages(control: peer_cost.ControlPart) -> list[float]:
    """Ages of the waits in the view now, seconds, the youngest first."""
    return sorted(wait.age / 1e9 for wait in control.view.snapshot(control.now).waits.values())


def play(readings: Readings, load: peer_cost.Load, routers: int, seed: int) -> None:
    """One router among so many."""
    control = peer_cost.ControlPart(load, routers, peer_cost.RATE, seed)
    control.run(peer_cost.WARM_UP_S)
    control.spent.clear()
    control.bytes.clear()
    control.run(SECONDS)
    percent = {part: control.spent[part] / 1e9 / SECONDS * 100 for part in peer_cost.PARTS}
    readings.add("view processor", routers, sum(percent[part] for part in PARTS_OF_VIEW))
    readings.add("control processor", routers, sum(percent.values()))
    readings.add("report received", routers, percent["receive"] / 100 / REPORTS_PER_S * 1e6)
    readings.add("control bytes", routers, sum(control.bytes.values()) / SECONDS)
    held = ages(control)
    readings.add("age", routers, held[int(len(held) * OLD)])
    readings.add("routers in view", routers, control.view.routers + 1)
    readings.add("coverage", routers, (control.view.routers + 1) / routers)


def measure() -> Measurement:
    """All of it; some minutes on one core."""
    readings = Readings()
    readings.declare_series("view processor", "routers", "% of a core")
    readings.declare_series("control processor", "routers", "% of a core")
    readings.declare_series("report received", "routers", "us a report")
    readings.declare_series("control bytes", "routers", "bytes a second")
    readings.declare_series("age", "routers", "s")
    readings.declare_series("routers in view", "routers", "routers", Scale.LOG2)
    readings.declare_series("coverage", "routers", "of all routers", Scale.LOG2)
    readings.declare_series("memory", "routers", "MB")
    load = peer_cost.make_load(peer_cost.SERVERS)
    for routers in ROUTER_COUNTS:
        for seed in range(1, REPEATS + 1):
            play(readings, load, routers, seed)
        held = peer_cost.held_bytes(
            lambda: peer_cost.ControlPart(load, routers, peer_cost.RATE, 1)  # noqa: B023
        )
        readings.add("memory", routers, held / 1e6)
    return build_measurement("view", readings)
