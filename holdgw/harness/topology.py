"""Zones, sizes and delays of a run's fleet, given by name or drawn from the seed by name."""

from __future__ import annotations

from holdgw.emulators.node import Workload
from holdgw.emulators.node_model import NodeSpec
from holdgw.emulators.origin_model import OriginSpec
from holdgw.emulators.processor_sharing import QueueSpec
from holdgw.emulators.seeded_draws import between, unit
from holdgw.harness.scenario import AGGREGATOR, Scenario, zone_of
from holdgw.harness.schedule import ORIGIN


def node_spec(scenario: Scenario, seed: int, name: str) -> NodeSpec:
    """Return a node's sizes; those with bounds in the scenario are drawn from the seed by name."""
    table = scenario.node

    def span(what: str, bounds: tuple[float, float]) -> float:
        return between(unit(seed, "node", name, what), bounds)

    return NodeSpec(
        work=QueueSpec(
            cores=table.cores,
            slots=round(span("slots", table.slots)) * table.cores,
            queue=round(span("queue", table.queue)),
            speed=span("speed", table.speed),
            cold_share=table.cold_share,
            warm_s=table.warm_s,
            thrash=table.thrash,
            thrash_at=table.thrash_at,
        ),
        memory=table.memory_kb << 10,
        lasts_s=table.lasts_s,
        fall_multiple=table.fall_multiple,
        fall_s=table.fall_s,
        report_s=span("report", table.report_ms) / 1000,
        report_late_s=span("late", table.report_late_ms) / 1000,
        handshake_s=table.handshake_ms / 1000,
        connections=table.connections,
        full_tax=table.full_tax,
        idle_s=table.idle_s,
        probe_s=table.probe_ms / 1000,
        miss_share=table.miss_share,
    )


def origin_spec(scenario: Scenario) -> OriginSpec:
    """Return the origin's sizes: enough slots for its rate, at the speed that gives exactly that rate."""
    table = scenario.store
    slots = max(1, round(table.per_s * table.read_ms / 1000))
    fit = slots / (table.per_s * table.read_ms / 1000)
    return OriginSpec(
        slots=slots,
        queue=round(table.queue_s * table.per_s),
        read_s=table.read_ms / 1000 * fit,
        write_s=table.write_ms / 1000 * fit,
        cv=table.cv,
    )


def workload(scenario: Scenario, seed: int) -> Workload:
    """Return the work of each class's requests and the sizes of values."""
    return Workload(
        seed,
        {one.name: (one.work_ms / 1000, one.cv) for one in scenario.classes},
        scenario.node.attempt_noise,
        (scenario.keys.size_bytes, scenario.keys.size_cv),
    )


def lines(scenario: Scenario, seed: int, name: str, zone: str) -> dict[str, float]:
    """Return the one-way delays in seconds from each zone to a server in `zone`."""
    fleet = scenario.fleet
    return {
        other: between(unit(seed, "line", name, other), fleet.same_ms if other == zone else fleet.cross_ms)
        / 1000
        for other in fleet.zones
    }


def zone_of_server(scenario: Scenario, name: str) -> str:
    """Return a server's zone; the origin is in the first one."""
    return zone_of(scenario.fleet.zones, int(name[4:]) if name != ORIGIN else 0)


def zone_of_router(scenario: Scenario, name: str) -> str:
    """Return the zone of a router or of a dedicated aggregator."""
    prefix = AGGREGATOR if name.startswith(AGGREGATOR) else "router"
    return zone_of(scenario.fleet.zones, int(name.removeprefix(prefix)))
