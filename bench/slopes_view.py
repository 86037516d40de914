"""Measures one router's membership and load view by the number of routers: cost, coverage and age.

The cost is processor time, bytes and memory. bench.peer_cost generates the peers' messages and the load: 934
requests a second, 96 servers, no failures, nothing lost. The costs of a datagram in the kernel and the event
loop are not included.
"""

from __future__ import annotations

from bench import peer_cost
from bench.capacity_model import Measurement, Scale
from bench.slopes import REPEATS, ROUTER_COUNTS, Readings, build_measurement
from holdgw.peers.gossip import FANOUT

MEASURED_S = 20.0
LOAD_VIEW_PARTS = ("record", "report", "snapshot", "receive")
AGE_QUANTILE = 0.95
REPORT_INTERVAL_S = peer_cost.REPORT_S
REPORTS_PER_S = FANOUT / REPORT_INTERVAL_S


def response_time_ages(control: peer_cost.ControlPart) -> list[float]:
    """Return the ages of the response times in the load view now, in seconds, in ascending order."""
    return sorted(sample.age / 1e9 for sample in control.view.snapshot(control.now).response_times.values())


def measure_router(readings: Readings, load: peer_cost.Load, routers: int, seed: int) -> None:
    """Add the readings of one router in a tier of `routers`, after a warm-up."""
    control = peer_cost.ControlPart(load, routers, peer_cost.RATE, seed)
    control.run(peer_cost.WARM_UP_S)
    control.spent.clear()
    control.bytes.clear()
    control.run(MEASURED_S)
    percent = {part: control.spent[part] / 1e9 / MEASURED_S * 100 for part in peer_cost.PARTS}
    readings.add("view processor", routers, sum(percent[part] for part in LOAD_VIEW_PARTS))
    readings.add("control processor", routers, sum(percent.values()))
    readings.add("report received", routers, percent["receive"] / 100 / REPORTS_PER_S * 1e6)
    readings.add("control bytes", routers, sum(control.bytes.values()) / MEASURED_S)
    ages = response_time_ages(control)
    readings.add("age", routers, ages[int(len(ages) * AGE_QUANTILE)])
    readings.add("routers in view", routers, control.view.routers + 1)
    readings.add("coverage", routers, (control.view.routers + 1) / routers)


def measure() -> Measurement:
    """Run the whole measurement, which takes some minutes on one core."""
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
            measure_router(readings, load, routers, seed)
        held_bytes = peer_cost.held_bytes(
            lambda: peer_cost.ControlPart(load, routers, peer_cost.RATE, 1)  # noqa: B023
        )
        readings.add("memory", routers, held_bytes / 1e6)
    return build_measurement("view", readings)
