"""Draws the faults of a run ahead, from the scenario and the seed, without input or output.

Each fault draws from a generator of its own, so that another fault in the file changes none of its targets.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Sequence
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Any

from holdgw.harness import fault_types as t
from holdgw.harness.fault_types import kind_of
from holdgw.harness.scenario import Scenario, node_names, router_names
from holdgw.harness.schedule import (
    ADMIN,
    LINE_MARK,
    NETWORK,
    ORIGIN,
    PEERS,
    ROUTERS,
    DrawnFault,
    ScheduledFault,
    draw_number,
    generator,
)
from holdgw.harness.topology import zone_of_router, zone_of_server

DISCOVERY = "discovery"
DATAGRAM_FAULTS = ("loss", "duplicates", "reordered", "late_ms", "bytes_per_s")
"""Settings of the lines between routers that a fault may change."""
# A node in maintenance is killed and started again at these fractions of the maintenance.
MAINTENANCE_KILL = 0.4
MAINTENANCE_START = 0.6


def draw_faults(scenario: Scenario, seed: int) -> tuple[list[ScheduledFault], list[DrawnFault]]:
    """Draw every fault of the scenario.

    Returns:
        The scheduled faults in order of time, and one entry for reports of each fault of the scenario.
    """
    drawing = _FaultDrawing(scenario, seed)
    order = sorted(enumerate(scenario.trouble), key=lambda pair: pair[1].at)
    drawn_faults = [drawing.draw(number, fault) for number, fault in order]
    steps = sorted(drawing.steps, key=lambda step: step.at)
    return [step for step in steps if step.at < scenario.length_s], drawn_faults


@dataclass(slots=True)
class _Current:
    """The fault that is being drawn.

    It has its generator, the number of its draw, the second at which it ends, and the nodes that are up at
    its start.
    """

    rng: random.Random
    number: int
    until: float
    alive: tuple[str, ...]

    def chosen_nodes(self, wanted: int | tuple[str, ...]) -> list[str]:
        """Return the nodes given by name, or a number of them drawn among those that are up."""
        if isinstance(wanted, int):
            return sorted(self.rng.sample(self.alive, min(wanted, len(self.alive))))
        return [name for name in wanted if name in self.alive]

    def chosen_routers(self, routers: Sequence[str], wanted: int | tuple[str, ...]) -> list[str]:
        """Return the routers given by name, or a number of them drawn."""
        if isinstance(wanted, tuple):
            return [name for name in wanted if name in routers]
        return self.rng.sample(routers, min(wanted, len(routers)))


class _FaultDrawing:
    """Draws faults in order of their beginnings, and tracks which nodes no fault has removed for good.

    Each method of `_draw` schedules one kind of fault and returns its text for reports. The method sets
    `_current.until` where the fault does not end after its `seconds`.
    """

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self._scenario = scenario
        self._seed = seed
        self._alive = node_names(scenario.fleet)
        self._new_numbers = itertools.count(scenario.fleet.nodes)
        self._routers = router_names(scenario.fleet)
        self._current = _Current(random.Random(0), 0, 0.0, ())
        self.steps: list[ScheduledFault] = []

    def draw(self, number: int, fault: t.Fault) -> DrawnFault:
        """Draw one fault, at position `number` of the scenario file."""
        place = draw_number(number, fault)
        until = fault.at + getattr(fault, "seconds", 0.0)
        self._current = _Current(generator(self._seed, f"trouble{place}"), place, until, tuple(self._alive))
        text = self._draw(fault)
        return DrawnFault(kind_of(fault), fault.at, self._current.until, text)

    def _add(self, at: float, verb: str, target: str = "", args: dict[str, Any] | None = None) -> None:
        self.steps.append(ScheduledFault(at, verb, target, {} if args is None else args))

    def _remove_nodes(self, nodes: Sequence[str]) -> None:
        self._alive = [name for name in self._alive if name not in nodes]

    def _new_node(self) -> str:
        return f"node{next(self._new_numbers):03d}"

    @singledispatchmethod
    def _draw(self, fault: t.Fault) -> str:
        raise NotImplementedError(kind_of(fault))

    # Nodes

    @_draw.register
    def _(self, fault: t.Pause) -> str:
        nodes = self._current.chosen_nodes(fault.nodes)
        for name in nodes:
            self._add(fault.at, "pause", name, {"seconds": fault.seconds})
        return f"{', '.join(nodes)} paused {fault.seconds:g} s"

    @_draw.register
    def _(self, fault: t.FalseReport) -> str:
        nodes = self._current.chosen_nodes(fault.nodes)
        for name in nodes:
            self._add(fault.at, "report", name, {"says": fault.says})
            self._add(self._current.until, "report", name, {"says": ""})
        return f"{', '.join(nodes)} report: {fault.says}"

    @_draw.register
    def _(self, fault: t.Kill) -> str:
        nodes = self._current.chosen_nodes(fault.nodes)
        for name in nodes:
            self._add(fault.at, "kill", name)
        self._remove_nodes(nodes)
        return f"{', '.join(nodes)} killed"

    @_draw.register
    def _(self, fault: t.Restart) -> str:
        nodes = self._current.chosen_nodes(fault.nodes)
        self._current.until = fault.at + fault.down_s
        for name in nodes:
            self._add(fault.at, "kill", name)
            self._add(self._current.until, "start", name)
        return f"{', '.join(nodes)} restarted, cold"

    @_draw.register
    def _(self, fault: t.Replace) -> str:
        nodes = self._current.chosen_nodes(fault.nodes)
        self._current.until = fault.at + fault.down_s
        self._remove_nodes(nodes)
        for name in nodes:
            new_node = self._new_node()
            self._add(fault.at, "kill", name)
            self._add(
                self._current.until, "create", new_node, {"instead": name if fault.same_address else ""}
            )
            self._alive.append(new_node)
        return f"{', '.join(nodes)} replaced"

    @_draw.register
    def _(self, fault: t.Drain) -> str:
        nodes = self._current.chosen_nodes(fault.nodes)
        for name in nodes:
            self._add(fault.at, "drain", name)
            self._add(self._current.until, "kill", name)
        self._remove_nodes(nodes)
        return f"{', '.join(nodes)} drain, gone after {fault.seconds:g} s"

    @_draw.register
    def _(self, fault: t.Maintenance) -> str:
        nodes = self._current.chosen_nodes(fault.nodes)
        for name in nodes:
            self._add(fault.at, "out", ADMIN, {"node": name})
            self._add(fault.at + fault.seconds * MAINTENANCE_KILL, "kill", name)
            self._add(fault.at + fault.seconds * MAINTENANCE_START, "start", name)
            self._add(self._current.until, "back", ADMIN, {"node": name})
        return f"{', '.join(nodes)} out by hand for {fault.seconds:g} s, restarted meanwhile"

    @_draw.register
    def _(self, fault: t.ColdStart) -> str:
        new_nodes = [self._new_node() for _ in range(fault.nodes)]
        for name in new_nodes:
            self._add(fault.at, "create", name, {"instead": ""})
        self._alive += new_nodes
        return f"{', '.join(new_nodes)} join, cold"

    @_draw.register
    def _(self, fault: t.Flush) -> str:
        self._add(fault.at, "flush", "", {"share": fault.share, "serial": self._current.number})
        return f"{fault.share:.0%} of the keys flushed"

    @_draw.register
    def _(self, fault: t.Vanish) -> str:
        nodes = self._current.chosen_nodes(fault.nodes)
        for name in nodes:
            self._vanish(name, fault.at, fault.at + fault.notice_s, self._current.until)
        return f"{', '.join(nodes)} vanish for {fault.seconds:g} s"

    def _vanish(self, name: str, at: float, noticed: float, back: float) -> None:
        self._add(at, "vanish", NETWORK, {"node": name, "seconds": back - at})
        self._add(noticed, "noticed", NETWORK, {"node": name})
        self._add(back, "return", NETWORK, {"node": name})

    # Load

    @_draw.register
    def _(self, fault: t.Scan) -> str:
        return f"scan: {fault.share:.0%} of the reads"

    @_draw.register
    def _(self, fault: t.HotKey) -> str:
        whose = f" of {fault.zone}" if fault.zone else ""
        return f"{fault.keys} keys get {fault.share:.0%} of the reads{whose}"

    @_draw.register
    def _(self, fault: t.HotCaller) -> str:
        hot_routers = generator(self._seed, f"hot{self._current.number}").sample(self._routers, fault.routers)
        return f"hot caller: {fault.share:.0%} through {', '.join(hot_routers)}"

    @_draw.register
    def _(self, fault: t.Burst) -> str:
        whose = f" of {fault.tenant}" if fault.tenant else ""
        return f"burst: {fault.factor:g} times the load{whose}"

    # Origin and faulty answers

    @_draw.register
    def _(self, fault: t.OriginSlow) -> str:
        self._add(fault.at, "slow", ORIGIN, {"factor": fault.factor})
        self._add(self._current.until, "slow", ORIGIN, {"factor": 1.0})
        return f"package store {fault.factor:g} times as slow"

    @_draw.register
    def _(self, fault: t.OriginDown) -> str:
        self._add(fault.at, "down", ORIGIN)
        self._add(self._current.until, "up", ORIGIN)
        return "package store down"

    @_draw.register(t.Reset)
    @_draw.register(t.Garble)
    @_draw.register(t.Silence)
    def _(self, fault: t.Reset | t.Garble | t.Silence) -> str:
        kind = kind_of(fault)
        nodes = [""] if fault.nodes == "all" else self._current.chosen_nodes(fault.nodes)
        if fault.store:
            nodes.append(ORIGIN)
        for name in nodes:
            self._add(fault.at, "spoil", name, {"fault": kind, "share": fault.share})
            self._add(self._current.until, "spoil", name, {"fault": kind, "share": -fault.share})
        return f"{kind}: {fault.share:.1%} of the answers"

    # Discovery

    @_draw.register
    def _(self, fault: t.DiscoveryLate) -> str:
        self._add(fault.at, "late", DISCOVERY, {"extra": fault.extra_s, "seconds": fault.seconds})
        return f"discovery {fault.extra_s:g} s late"

    @_draw.register
    def _(self, fault: t.DiscoveryStale) -> str:
        views = self._current.rng.sample(self._routers, fault.routers) if fault.routers else self._routers
        self._add(fault.at, "stale", DISCOVERY, {"seconds": fault.seconds, "routers": views})
        return f"discovery stale at {len(views)} routers"

    @_draw.register
    def _(self, fault: t.DiscoveryDown) -> str:
        self._add(fault.at, "down", DISCOVERY, {"seconds": fault.seconds})
        return "discovery down"

    # Routers

    @_draw.register
    def _(self, fault: t.RouterRestart) -> str:
        chosen = self._current.chosen_routers(self._routers, fault.routers)
        for i, name in enumerate(chosen):
            at = fault.at + i // fault.together * fault.gap_s
            self._add(at, "restart", name, {"signal": fault.signal})
            self._current.until = at
        return f"{', '.join(chosen)}: SIG{fault.signal} and a new start"

    @_draw.register
    def _(self, fault: t.RouterReload) -> str:
        chosen = self._current.rng.sample(self._routers, fault.routers)
        for name in chosen:
            self._add(fault.at, "reload", name)
        return f"{', '.join(chosen)}: new configuration, SIGHUP"

    @_draw.register(t.Freeze)
    @_draw.register(t.RouterStop)
    def _(self, fault: t.Freeze | t.RouterStop) -> str:
        chosen = self._current.chosen_routers(self._routers, fault.routers)
        for name in chosen:
            self._add(fault.at, "stop", ROUTERS, {"router": name})
        for name in chosen:
            self._add(self._current.until, "continue", ROUTERS, {"router": name})
        what = "frozen" if isinstance(fault, t.Freeze) else "stand still"
        return f"{', '.join(chosen)} {what} for {fault.seconds:g} s"

    @_draw.register
    def _(self, fault: t.Slow) -> str:
        chosen = self._current.chosen_routers(self._routers, fault.routers)
        for name in chosen:
            self._add(
                fault.at,
                "slow",
                ROUTERS,
                {"router": name, "seconds": fault.seconds, "run_ms": fault.run_ms},
            )
        return f"{', '.join(chosen)} run {fault.run_ms} ms of each 100"

    @_draw.register
    def _(self, fault: t.ClockJump) -> str:
        chosen = self._current.rng.sample(self._routers, fault.routers)
        for name in chosen:
            self._add(fault.at, "clock", NETWORK, {"router": name, "by_s": fault.by_s})
        return f"{', '.join(chosen)}: clock set by {fault.by_s:+g} s"

    @_draw.register
    def _(self, fault: t.MachineLoss) -> str:
        chosen = self._current.chosen_routers(self._routers, fault.routers)
        self._current.until = fault.at + fault.down_s
        self._lose_machines(fault.at, self._current.until if fault.down_s else None, chosen)
        back = f"back empty after {fault.down_s:g} s" if fault.down_s else "for good"
        return f"{', '.join(chosen)}: machine lost, {back}"

    @_draw.register
    def _(self, fault: t.ZoneLoss) -> str:
        lost_nodes = [name for name in self._alive if zone_of_server(self._scenario, name) == fault.zone]
        chosen = [name for name in self._routers if zone_of_router(self._scenario, name) == fault.zone]
        for name in lost_nodes:
            self._vanish(name, fault.at, fault.at + fault.notice_s, self._current.until)
        self._lose_machines(fault.at, self._current.until, chosen)
        return f"zone {fault.zone} lost: {len(lost_nodes)} nodes and {len(chosen)} routers"

    def _lose_machines(self, at: float, back: float | None, routers: Sequence[str]) -> None:
        for name in routers:
            self._add(at, "lose", ROUTERS, {"router": name})
        if back is not None:
            for name in routers:
                self._add(back, "return", ROUTERS, {"router": name})

    # Network

    @_draw.register
    def _(self, fault: t.Partition) -> str:
        nodes = self._alive if fault.nodes == "all" else self._current.chosen_nodes(fault.nodes)
        servers = [*nodes, *([ORIGIN] if fault.store else [])]
        chosen = (
            self._current.chosen_routers(self._routers, fault.routers) if fault.routers else self._routers
        )
        remaining_routers = [name for name in self._routers if name not in chosen]
        other_routers = self._current.chosen_routers(remaining_routers, fault.peers)
        if fault.zone:
            return self._partition_zone(fault)
        parts = [f"{len(other_routers)} routers"] * bool(other_routers) + servers
        parts += [DISCOVERY] * fault.discovery
        self._add_partition(fault, [(chosen, servers)], chosen, (chosen, other_routers))
        return f"{len(chosen)} routers and {', '.join(parts)} parted ({fault.way})"

    def _partition_zone(self, fault: t.Partition) -> str:
        all_servers = [*self._alive, *([ORIGIN] if fault.store else [])]
        chosen = [name for name in self._routers if zone_of_router(self._scenario, name) == fault.zone]
        other_routers = [name for name in self._routers if name not in chosen]
        own = [name for name in all_servers if zone_of_server(self._scenario, name) == fault.zone]
        sides = [(chosen, [name for name in all_servers if name not in own]), (other_routers, own)]
        without_discovery = other_routers if fault.zone == self._scenario.fleet.zones[0] else chosen
        self._add_partition(fault, sides, without_discovery, (chosen, other_routers))
        return f"zone {fault.zone} parted from the others ({fault.way})"

    def _add_partition(
        self,
        fault: t.Partition,
        sides: Sequence[tuple[list[str], list[str]]],
        without_discovery: list[str],
        peers: tuple[list[str], list[str]],
    ) -> None:
        """Schedule a partition.

        Args:
            fault: The fault, for its time and direction.
            sides: Pairs of routers and the servers they are cut off from.
            without_discovery: Routers cut off from discovery, if the fault includes discovery.
            peers: Two groups of routers cut off from each other; none if the second one is empty.
        """
        common = {"way": fault.way, "seconds": fault.seconds}
        for routers, servers in sides:
            self._add(fault.at, "partition", NETWORK, {"routers": routers, "servers": servers, **common})
        if fault.discovery:
            self._add(fault.at, "deafen", NETWORK, {"routers": without_discovery, **common})
        if peers[1]:
            self._add(fault.at, "partition", PEERS, {"a": peers[0], "b": peers[1], **common})

    @_draw.register
    def _(self, fault: t.LossyPeers) -> str:
        self._add(fault.at, "weather", PEERS, {name: getattr(fault, name) for name in DATAGRAM_FAULTS})
        usual_conditions = {name: getattr(self._scenario.peers, name) for name in DATAGRAM_FAULTS}
        self._add(self._current.until, "weather", PEERS, usual_conditions)
        return f"lines between routers: {fault.loss:.1%} lost"

    @_draw.register
    def _(self, fault: t.Cut) -> str:
        cut = {"share": fault.share, "phases": list(fault.phases), "lines": fault.lines}
        self._add(fault.at, "cut", NETWORK, {**cut, "name": self._current.number})
        self._add(self._current.until, "uncut", NETWORK, {"name": self._current.number})
        return f"{fault.share:.1%} of what is sent breaks off ({fault.lines})"

    @_draw.register
    def _(self, fault: t.LineConditions) -> str:
        conditions = {
            "loss": fault.loss,
            "chop": fault.chop,
            "slow_ms": fault.slow_ms,
            "window_kb": fault.window_kb,
        }
        self._add(fault.at, "weather", NETWORK, {**conditions, "name": self._current.number})
        self._add(self._current.until, "weather", NETWORK, {"name": self._current.number})
        return f"bad lines: {fault.loss:.1%} lost, {fault.chop:.0%} in pieces"

    @_draw.register
    def _(self, fault: t.Stall) -> str:
        self._add(fault.at, "stall", fault.where, {"seconds": fault.seconds})
        return f"the emulator's {fault.where} stand still"


def lines_of_routers(scenario: Scenario, seed: int) -> dict[str, str]:
    """Return the line over which each router reaches servers, by router.

    That is the router's zone. Routers that a partition of the run cuts off have a line of their own within
    the zone, shared by all routers that the same partitions cut off.
    """
    steps, _ = draw_faults(scenario, seed)
    routers_by_partition = [
        step.args["routers"] for step in steps if step.verb == "partition" and step.target == NETWORK
    ]
    line_by_partitions: dict[tuple[str, tuple[int, ...]], str] = {}
    line_by_router = {}
    for name in router_names(scenario.fleet):
        zone = zone_of_router(scenario, name)
        partitions = tuple(i for i, routers in enumerate(routers_by_partition) if name in routers)
        line = f"{zone}{LINE_MARK}{len(line_by_partitions)}" if partitions else zone
        line_by_router[name] = line_by_partitions.setdefault((zone, partitions), line)
    return line_by_router


def has_partitions(scenario: Scenario) -> bool:
    """Whether a fault of the run cuts connections to servers or to discovery."""
    return any(isinstance(one, t.Partition | t.Vanish | t.ZoneLoss) for one in scenario.trouble)
