"""One day, drawn ahead from a scenario and a seed: every arrival, every choice of a client, every trouble;
pure.

Nothing in it depends on how the day goes. Each part draws from a generator of its own, so that another
trouble does not move the arrivals, and whoever needs the day (each worker process does) draws the same one
for itself.
"""

from __future__ import annotations

import itertools
import random
from bisect import bisect_right
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from typing import Any

from holdgw.emulators.node import Workload
from holdgw.emulators.node_model import NodeSpec
from holdgw.emulators.origin_model import OriginSpec
from holdgw.emulators.processor_sharing import QueueSpec
from holdgw.emulators.seeded_draws import between, unit
from holdgw.harness import fault_types as t
from holdgw.harness import scenario as s
from holdgw.harness.fault_types import kind_of
from holdgw.harness.scenario import AGGREGATOR, Scenario, node_names, router_names, zone_of

STORE = "store"
NETWORK = "network"
ROUTERS = "routers"  # the target of what befalls routers' processes and machines
PEERS = "peers"  # the target of what befalls lines from router to router
DOORS = "doors"  # the target of what staff call for at every router
LINE_MARK = "+"  # behind a zone's name, in the name of one of its lines
USUAL, SCAN, HOT, BURST, PRELUDE = "usual", "scan", "hot_caller", "burst", "prelude"
HOT_KEY = "hot_key"
QUOTA_WINDOW_S = 1.0


@dataclass(slots=True, frozen=True)
class ScheduledRequest:
    """What one client wants once, with its retries: all of it drawn ahead. `at` is seconds from the day's
    start.
    """

    number: int
    at: float
    request_class: int
    tenant: int
    key: bytes
    source: str
    zone: str
    spread: float
    """Which of the routers that may be had it goes through."""
    router: str
    """The router that a hot caller goes through; empty for all others."""
    patience: float
    """The share of the give-up time after which a try is given up."""
    backoff: float
    honours: bool
    leaves: float
    """The share of its first try's time after which an impatient client leaves; 1 for the patient."""
    fresh: bool
    over: bool
    """Beyond its tenant's quota: worth little."""


@dataclass(slots=True, frozen=True)
class ScheduledFault:
    """Something that is done to the fleet at a second of the day."""

    at: float
    verb: str
    target: str = ""
    args: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Mark:
    """A trouble as a report shows it."""

    kind: str
    at: float
    until: float
    text: str


@dataclass(slots=True, frozen=True)
class Schedule:
    """A drawn day. `asks` and `steps` are in order of time; the prelude's asks lie before 0."""

    scenario: Scenario
    seed: int
    asks: tuple[ScheduledRequest, ...]
    steps: tuple[ScheduledFault, ...]
    marks: tuple[Mark, ...]

    @property
    def zones(self) -> tuple[str, ...]:
        """The zones."""
        return self.scenario.fleet.zones


def draw_schedule(scenario: Scenario, seed: int) -> Schedule:
    """Draw the day."""
    asks = tuple(_prelude(scenario, seed)) + tuple(_arrivals(scenario, seed))
    steps, marks = _troubles(scenario, seed)
    return Schedule(scenario, seed, asks, tuple(steps), tuple(marks))


def drawing(place: int, trouble: t.Trouble) -> int:
    """The number of the draw that a trouble takes its targets from."""
    return place if trouble.draw < 0 else trouble.draw


def _generator(seed: int, purpose: str) -> random.Random:
    return random.Random(f"{seed}/{purpose}")


class _Popularity:
    """Keys by their rank: weight (rank + offset) ** -zipf."""

    def __init__(self, keys: s.Keys) -> None:
        weights = ((rank + 1 + keys.offset) ** -keys.zipf for rank in range(keys.count))
        self._sums = list(itertools.accumulate(weights))

    def key(self, u: float) -> bytes:
        return key_name(bisect_right(self._sums, u * self._sums[-1], hi=len(self._sums) - 1))


def key_name(rank: int) -> bytes:
    """The name of the key of that popularity, 0 for the most popular."""
    return b"pkg-%06d" % rank


def load_at(scenario: Scenario, at: float) -> float:
    """First tries a second at a time, without bursts."""
    shape = scenario.load.shape
    before = [point for point in shape if point[0] <= at]
    after = [point for point in shape if point[0] > at]
    if not before or not after:
        return scenario.load.rate * (before[-1] if before else after[0])[1]
    (t0, f0), (t1, f1) = before[-1], after[0]
    return scenario.load.rate * (f0 + (f1 - f0) * (at - t0) / (t1 - t0))


def _prelude(scenario: Scenario, seed: int) -> Iterator[ScheduledRequest]:
    """The keys asked for most, each once, before the day begins."""
    count = min(scenario.emulator.prelude_keys, scenario.keys.count)
    if not scenario.emulator.prelude_s or not count:
        return
    rng = _generator(seed, "prelude")
    safe = next((i for i, one in enumerate(scenario.classes) if one.effect == "safe"), None)
    if safe is None:
        return
    for i in range(count):
        at = scenario.emulator.prelude_s * (i / count - 1)
        zone = rng.choice(scenario.fleet.zones)
        # The rarest first: those asked for most are the last to be forgotten.
        key = key_name(count - 1 - i)
        yield ScheduledRequest(
            i - count, at, safe, 0, key, PRELUDE, zone, rng.random(), "", 0.8, 0.5, True, 1.0, False, False
        )


def _arrivals(scenario: Scenario, seed: int) -> Iterator[ScheduledRequest]:
    rng = _generator(seed, "arrivals")
    popularity = _Popularity(scenario.keys)
    classes = list(itertools.accumulate(one.share for one in scenario.classes))
    tenants = list(itertools.accumulate(one.share for one in scenario.tenants))
    names = [one.name for one in scenario.tenants]
    routers = router_names(scenario.fleet)
    bursts = [trouble for trouble in scenario.trouble if isinstance(trouble, t.Burst)]
    scans = [trouble for trouble in scenario.trouble if isinstance(trouble, t.Scan)]
    hot = [
        (trouble, _generator(seed, f"hot{drawing(i, trouble)}").sample(routers, trouble.routers))
        for i, trouble in enumerate(scenario.trouble)
        if isinstance(trouble, t.HotCaller)
    ]
    hot_keys = [
        (trouble, drawing(i, trouble), _generator(seed, f"hot_key{drawing(i, trouble)}"))
        for i, trouble in enumerate(scenario.trouble)
        if isinstance(trouble, t.HotKey)
    ]
    portions = [tenants[0], *(b - a for a, b in itertools.pairwise(tenants))]
    most = scenario.peak
    used: list[list[float]] = [
        [] for _ in names
    ]  # arrivals of each tenant in the last second, within its quota
    at, number = 0.0, 0
    while True:
        at += rng.expovariate(most)
        if at >= scenario.length_s:
            return
        base = load_at(scenario, at)
        rate, extra = base, list[tuple[float, t.Burst]]()
        for burst in bursts:
            if burst.at <= at < burst.at + burst.seconds:
                part = portions[names.index(burst.tenant)] / tenants[-1] if burst.tenant else 1.0
                more = base * part * (burst.factor - 1)
                rate += more
                extra.append((more, burst))
        # Every arrival uses the same count of draws, kept or not, so that one trouble moves nothing else.
        draws = [rng.random() for _ in range(16)]
        keep, u_class, u_tenant, u_key, u_scan, u_hot, u_hot_router, u_zone = draws[:8]
        spread, patience, backoff, honours, leaves, when, fresh, u_burst = draws[8:]
        if keep * most >= rate:
            continue
        cls = min(bisect_right(classes, u_class * classes[-1]), len(classes) - 1)
        tenant = min(bisect_right(tenants, u_tenant * tenants[-1]), len(tenants) - 1)
        key, source, router = popularity.key(u_key), USUAL, ""
        zone = scenario.fleet.zones[int(u_zone * len(scenario.fleet.zones))]
        drawn = u_burst * rate
        for more, burst in extra:
            if 0 <= drawn < more:
                source = BURST
                tenant = names.index(burst.tenant) if burst.tenant else tenant
                break
            drawn -= more
        if scenario.classes[cls].effect == "safe" and any(
            scan.at <= at < scan.at + scan.seconds and u_scan < scan.share for scan in scans
        ):
            key, source = b"once-%08d" % number, SCAN
        for hot_key, place, own in hot_keys:
            wanted, which = own.random(), own.randrange(hot_key.keys)
            if (
                scenario.classes[cls].effect == "safe"
                and hot_key.at <= at < hot_key.at + hot_key.seconds
                and wanted < hot_key.share
                and hot_key.zone in ("", zone)
            ):
                key, source = b"hot-%04d-%04d" % (place, which), HOT_KEY
        for trouble, through in hot:
            if trouble.at <= at < trouble.at + trouble.seconds and u_hot < trouble.share:
                source, router = HOT, through[int(u_hot_router * len(through))]
                break
        quota, window = scenario.tenants[tenant].quota_per_s, used[tenant]
        over = False
        if quota:
            while window and window[0] <= at - QUOTA_WINDOW_S:
                window.pop(0)
            over = len(window) >= quota * QUOTA_WINDOW_S
            if not over:
                window.append(at)
        clients = scenario.clients
        yield ScheduledRequest(
            number,
            at,
            cls,
            tenant,
            key,
            source,
            zone,
            spread,
            router,
            between(patience, clients.try_share),
            backoff,
            honours < clients.honour,
            when if leaves < clients.impatient else 1.0,
            fresh < clients.fresh,
            over,
        )
        number += 1


# Troubles


def _troubles(scenario: Scenario, seed: int) -> tuple[list[ScheduledFault], list[Mark]]:
    steps: list[ScheduledFault] = []
    marks: list[Mark] = []
    alive = node_names(scenario.fleet)  # those that no trouble so far has taken away for good
    fresh = itertools.count(scenario.fleet.nodes)
    routers = router_names(scenario.fleet)
    order = sorted(enumerate(scenario.trouble), key=lambda pair: pair[1].at)
    for number, trouble in order:
        place = drawing(number, trouble)
        rng = _generator(seed, f"trouble{place}")
        until = trouble.at + getattr(trouble, "seconds", 0.0)
        text = kind_of(trouble)

        def chosen(wanted: Any, rng: random.Random = rng, alive: Sequence[str] = tuple(alive)) -> list[str]:
            if isinstance(wanted, int):
                return sorted(rng.sample(alive, min(wanted, len(alive))))
            return [name for name in wanted if name in alive]

        match trouble:
            case t.Pause():
                nodes = chosen(trouble.nodes)
                steps += [
                    ScheduledFault(trouble.at, "pause", name, {"seconds": trouble.seconds}) for name in nodes
                ]
                text = f"{', '.join(nodes)} paused {trouble.seconds:g} s"
            case t.FalseReport():
                nodes = chosen(trouble.nodes)
                for name in nodes:
                    steps.append(ScheduledFault(trouble.at, "report", name, {"says": trouble.says}))
                    steps.append(ScheduledFault(until, "report", name, {"says": ""}))
                text = f"{', '.join(nodes)} report: {trouble.says}"
            case t.Kill():
                nodes = chosen(trouble.nodes)
                steps += [ScheduledFault(trouble.at, "kill", name) for name in nodes]
                alive = [name for name in alive if name not in nodes]
                text = f"{', '.join(nodes)} killed"
            case t.Restart():
                nodes = chosen(trouble.nodes)
                until = trouble.at + trouble.down_s
                for name in nodes:
                    steps += [ScheduledFault(trouble.at, "kill", name), ScheduledFault(until, "start", name)]
                text = f"{', '.join(nodes)} restarted, cold"
            case t.Replace():
                nodes = chosen(trouble.nodes)
                until = trouble.at + trouble.down_s
                alive = [name for name in alive if name not in nodes]
                for name in nodes:
                    new = f"node{next(fresh):03d}"
                    place_of = {"instead": name if trouble.same_address else ""}
                    steps += [
                        ScheduledFault(trouble.at, "kill", name),
                        ScheduledFault(until, "create", new, place_of),
                    ]
                    alive.append(new)
                text = f"{', '.join(nodes)} replaced"
            case t.Drain():
                nodes = chosen(trouble.nodes)
                for name in nodes:
                    steps += [ScheduledFault(trouble.at, "drain", name), ScheduledFault(until, "kill", name)]
                alive = [name for name in alive if name not in nodes]
                text = f"{', '.join(nodes)} drain, gone after {trouble.seconds:g} s"
            case t.ByHand():
                nodes = chosen(trouble.nodes)
                for name in nodes:
                    steps += [
                        ScheduledFault(trouble.at, "out", DOORS, {"node": name}),
                        ScheduledFault(trouble.at + trouble.seconds * 0.4, "kill", name),
                        ScheduledFault(trouble.at + trouble.seconds * 0.6, "start", name),
                        ScheduledFault(until, "back", DOORS, {"node": name}),
                    ]
                text = f"{', '.join(nodes)} out by hand for {trouble.seconds:g} s, restarted meanwhile"
            case t.ColdStart():
                new_nodes = [f"node{next(fresh):03d}" for _ in range(trouble.nodes)]
                steps += [ScheduledFault(trouble.at, "create", name, {"instead": ""}) for name in new_nodes]
                alive += new_nodes
                text = f"{', '.join(new_nodes)} join, cold"
            case t.Flush():
                steps.append(
                    ScheduledFault(trouble.at, "flush", "", {"share": trouble.share, "serial": place})
                )
                text = f"{trouble.share:.0%} of the keys flushed"
            case t.Scan():
                text = f"scan: {trouble.share:.0%} of the reads"
            case t.HotKey():
                whose = f" of {trouble.zone}" if trouble.zone else ""
                text = f"{trouble.keys} keys get {trouble.share:.0%} of the reads{whose}"
            case t.HotCaller():
                through = _generator(seed, f"hot{place}").sample(routers, trouble.routers)
                text = f"hot caller: {trouble.share:.0%} through {', '.join(through)}"
            case t.Burst():
                text = (
                    f"burst: {trouble.factor:g} times the load{' of ' * bool(trouble.tenant)}{trouble.tenant}"
                )
            case t.OriginSlow():
                steps += [
                    ScheduledFault(trouble.at, "slow", STORE, {"factor": trouble.factor}),
                    ScheduledFault(until, "slow", STORE, {"factor": 1.0}),
                ]
                text = f"package store {trouble.factor:g} times as slow"
            case t.OriginDown():
                steps += [ScheduledFault(trouble.at, "down", STORE), ScheduledFault(until, "up", STORE)]
                text = "package store down"
            case t.Reset() | t.Garble() | t.Silence():
                nodes = [""] if trouble.nodes == "all" else chosen(trouble.nodes)
                if trouble.store:
                    nodes.append(STORE)
                for name in nodes:
                    for at, share in ((trouble.at, trouble.share), (until, -trouble.share)):
                        spoil = {"fault": kind_of(trouble), "share": share}
                        steps.append(ScheduledFault(at, "spoil", name, spoil))
                text = f"{kind_of(trouble)}: {trouble.share:.1%} of the answers"
            case t.DiscoveryLate():
                lateness = {"extra": trouble.extra_s, "seconds": trouble.seconds}
                steps.append(ScheduledFault(trouble.at, "late", "discovery", lateness))
                text = f"discovery {trouble.extra_s:g} s late"
            case t.DiscoveryStale():
                views = rng.sample(routers, trouble.routers) if trouble.routers else routers
                steps.append(
                    ScheduledFault(
                        trouble.at, "stale", "discovery", {"seconds": trouble.seconds, "routers": views}
                    )
                )
                text = f"discovery stale at {len(views)} routers"
            case t.DiscoveryDown():
                steps.append(ScheduledFault(trouble.at, "down", "discovery", {"seconds": trouble.seconds}))
                text = "discovery down"
            case t.RouterRestart():
                picked = _picked(rng, routers, trouble.routers)
                for i, name in enumerate(picked):
                    at = trouble.at + i // trouble.together * trouble.gap_s
                    step = ScheduledFault(at, "restart", name, {"signal": trouble.signal})
                    steps.append(step)
                    until = step.at
                text = f"{', '.join(picked)}: SIG{trouble.signal} and a new start"
            case t.RouterReload():
                picked = rng.sample(routers, trouble.routers)
                steps += [ScheduledFault(trouble.at, "reload", name) for name in picked]
                text = f"{', '.join(picked)}: new configuration, SIGHUP"
            case t.Partition():
                nodes = alive if trouble.nodes == "all" else chosen(trouble.nodes)
                servers = [*nodes, *([STORE] if trouble.store else [])]
                picked = _picked(rng, routers, trouble.routers) if trouble.routers else routers
                others = _picked(rng, [name for name in routers if name not in picked], trouble.peers)
                parted, deaf = [(picked, servers)], picked
                parts = [f"{len(others)} routers"] * bool(others) + servers
                parts += ["discovery"] * trouble.discovery
                text = f"{len(picked)} routers and {', '.join(parts)} parted ({trouble.way})"
                if trouble.zone:
                    every = [*alive, *([STORE] if trouble.store else [])]
                    parted = _apart(scenario, trouble.zone, routers, every)
                    picked = [name for name in routers if zone_of_router(scenario, name) == trouble.zone]
                    others = [name for name in routers if name not in picked]
                    deaf = others if trouble.zone == scenario.fleet.zones[0] else picked
                    text = f"zone {trouble.zone} parted from the others ({trouble.way})"
                words = {"way": trouble.way, "seconds": trouble.seconds}
                for one, other in parted:
                    sides = {"routers": one, "servers": other}
                    steps.append(ScheduledFault(trouble.at, "partition", NETWORK, {**sides, **words}))
                if trouble.discovery:
                    steps.append(ScheduledFault(trouble.at, "deafen", NETWORK, {"routers": deaf, **words}))
                if others:
                    steps.append(
                        ScheduledFault(trouble.at, "partition", PEERS, {"a": picked, "b": others, **words})
                    )
            case t.Freeze() | t.RouterStop():
                picked = _picked(rng, routers, trouble.routers)
                steps += [ScheduledFault(trouble.at, "stop", ROUTERS, {"router": name}) for name in picked]
                steps += [ScheduledFault(until, "continue", ROUTERS, {"router": name}) for name in picked]
                word = "frozen" if isinstance(trouble, t.Freeze) else "stand still"
                text = f"{', '.join(picked)} {word} for {trouble.seconds:g} s"
            case t.Slow():
                picked = _picked(rng, routers, trouble.routers)
                pace = {"seconds": trouble.seconds, "run_ms": trouble.run_ms}
                steps += [
                    ScheduledFault(trouble.at, "slow", ROUTERS, {"router": name} | pace) for name in picked
                ]
                text = f"{', '.join(picked)} run {trouble.run_ms} ms of each 100"
            case t.MachineLoss():
                picked = _picked(rng, routers, trouble.routers)
                until = trouble.at + trouble.down_s
                steps += _machines_lost(trouble.at, until if trouble.down_s else None, picked)
                text = f"{', '.join(picked)}: machine lost, " + (
                    f"back empty after {trouble.down_s:g} s" if trouble.down_s else "for good"
                )
            case t.ZoneLoss():
                gone = [name for name in alive if zone_of_server(scenario, name) == trouble.zone]
                picked = [name for name in routers if zone_of_router(scenario, name) == trouble.zone]
                for name in gone:
                    steps += _vanishes(name, trouble.at, trouble.at + trouble.notice_s, until)
                steps += _machines_lost(trouble.at, until, picked)
                text = f"zone {trouble.zone} lost: {len(gone)} nodes and {len(picked)} routers"
            case t.LossyPeers():
                table = scenario.peers
                bad = {name: getattr(trouble, name) for name in PEER_TROUBLES}
                well = {name: getattr(table, name) for name in PEER_TROUBLES}
                steps += [
                    ScheduledFault(trouble.at, "weather", PEERS, bad),
                    ScheduledFault(until, "weather", PEERS, well),
                ]
                text = f"lines between routers: {trouble.loss:.1%} lost"
            case t.Vanish():
                nodes = chosen(trouble.nodes)
                for name in nodes:
                    steps += _vanishes(name, trouble.at, trouble.at + trouble.notice_s, until)
                text = f"{', '.join(nodes)} vanish for {trouble.seconds:g} s"
            case t.Cut():
                cut = {"share": trouble.share, "phases": list(trouble.phases), "lines": trouble.lines}
                steps += [
                    ScheduledFault(trouble.at, "cut", NETWORK, {**cut, "name": place}),
                    ScheduledFault(until, "uncut", NETWORK, {"name": place}),
                ]
                text = f"{trouble.share:.1%} of what is sent breaks off ({trouble.lines})"
            case t.Weather():
                weather = {
                    "loss": trouble.loss,
                    "chop": trouble.chop,
                    "slow_ms": trouble.slow_ms,
                    "window_kb": trouble.window_kb,
                }
                steps += [
                    ScheduledFault(trouble.at, "weather", NETWORK, {**weather, "name": place}),
                    ScheduledFault(until, "weather", NETWORK, {"name": place}),
                ]
                text = f"bad lines: {trouble.loss:.1%} lost, {trouble.chop:.0%} in pieces"
            case t.ClockJump():
                picked = rng.sample(routers, trouble.routers)
                steps += [
                    ScheduledFault(trouble.at, "clock", NETWORK, {"router": name, "by_s": trouble.by_s})
                    for name in picked
                ]
                text = f"{', '.join(picked)}: clock set by {trouble.by_s:+g} s"
            case t.Stall():
                steps.append(ScheduledFault(trouble.at, "stall", trouble.where, {"seconds": trouble.seconds}))
                text = f"the emulator's {trouble.where} stand still"
        marks.append(Mark(kind_of(trouble), trouble.at, until, text))
    steps.sort(key=lambda step: step.at)
    return [step for step in steps if step.at < scenario.length_s], marks


PEER_TROUBLES = ("loss", "duplicates", "reordered", "late_ms", "bytes_per_s")


def _picked(rng: random.Random, routers: Sequence[str], wanted: int | tuple[str, ...]) -> list[str]:
    """Routers by name, or so many drawn."""
    if isinstance(wanted, tuple):
        return [name for name in wanted if name in routers]
    return rng.sample(routers, min(wanted, len(routers)))


def _vanishes(name: str, at: float, noticed: float, back: float) -> list[ScheduledFault]:
    return [
        ScheduledFault(at, "vanish", NETWORK, {"node": name, "seconds": back - at}),
        ScheduledFault(noticed, "noticed", NETWORK, {"node": name}),
        ScheduledFault(back, "return", NETWORK, {"node": name}),
    ]


def _machines_lost(at: float, back: float | None, routers: Sequence[str]) -> list[ScheduledFault]:
    steps = [ScheduledFault(at, "lose", ROUTERS, {"router": name}) for name in routers]
    if back is not None:
        steps += [ScheduledFault(back, "return", ROUTERS, {"router": name}) for name in routers]
    return steps


# Lines


def lines_of_routers(scenario: Scenario, seed: int) -> dict[str, str]:
    """The line over which each router comes to servers: its zone, or, for those that a partition of the day
    cuts off, one of a zone's lines of their own, shared by all that share their fate.
    """
    cuts = [step.args["routers"] for step in _troubles(scenario, seed)[0] if step.verb == "partition"
            and step.target == NETWORK]  # fmt: skip
    numbers: dict[tuple[str, tuple[int, ...]], str] = {}
    found = {}
    for name in router_names(scenario.fleet):
        zone = zone_of_router(scenario, name)
        fate = tuple(i for i, routers in enumerate(cuts) if name in routers)
        line = f"{zone}{LINE_MARK}{len(numbers)}" if fate else zone
        found[name] = numbers.setdefault((zone, fate), line)
    return found


def may_be_cut(scenario: Scenario) -> bool:
    """Whether a trouble of the day cuts lines to servers or discovery."""
    return any(isinstance(one, t.Partition | t.Vanish | t.ZoneLoss) for one in scenario.trouble)


# Sizes that are drawn by name


def node_spec(scenario: Scenario, seed: int, name: str) -> NodeSpec:
    """A node's sizes."""
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


def store_spec(scenario: Scenario) -> OriginSpec:
    """The package store's sizes: as many slots as its rate takes, each at the speed that gives just that
    rate.
    """
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
    """Work and sizes by request and key."""
    return Workload(
        seed,
        {one.name: (one.work_ms / 1000, one.cv) for one in scenario.classes},
        scenario.node.attempt_noise,
        (scenario.keys.size_bytes, scenario.keys.size_cv),
    )


def lines(scenario: Scenario, seed: int, name: str, zone: str) -> dict[str, float]:
    """One-way delays in seconds from each zone to a server in `zone`."""
    fleet = scenario.fleet
    return {
        other: between(unit(seed, "line", name, other), fleet.same_ms if other == zone else fleet.cross_ms)
        / 1000
        for other in fleet.zones
    }


def _apart(
    scenario: Scenario, zone: str, routers: Sequence[str], servers: Sequence[str]
) -> list[tuple[list[str], list[str]]]:
    """Routers and servers between which nothing comes through while a zone is cut off."""
    near = [name for name in routers if zone_of_router(scenario, name) == zone]
    own = [name for name in servers if zone_of_server(scenario, name) == zone]
    far = [name for name in routers if name not in near]
    return [(near, [name for name in servers if name not in own]), (far, own)]


def zone_of_server(scenario: Scenario, name: str) -> str:
    """A node's zone; the package store stands in the first one."""
    return zone_of(scenario.fleet.zones, int(name[4:]) if name != STORE else 0)


def zone_of_router(scenario: Scenario, name: str) -> str:
    """The zone of a router, or of a machine set aside."""
    prefix = AGGREGATOR if name.startswith(AGGREGATOR) else "router"
    return zone_of(scenario.fleet.zones, int(name.removeprefix(prefix)))


def request_id(seed: int, ask: int, number: int) -> str:
    """A try's id; new with every try, and always the same in every run."""
    return f"{int(unit(seed, 'id', ask, number) * (1 << 32)):08x}-{ask}-{number}"


def idempotency_key(seed: int, ask: int) -> str:
    """A keyed write's key; the same in all its tries."""
    return f"{int(unit(seed, 'k', ask) * (1 << 48)):012x}"
