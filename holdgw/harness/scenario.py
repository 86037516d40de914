"""Reads scenario files (TOML): the fleet, its clients and load, and faults that may overlap freely.

Unknown keys and values out of bounds are rejected with one line that names the file and the field.
"""

from __future__ import annotations

import tomllib
from collections.abc import Sequence
from importlib import resources
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from holdgw.harness.fault_types import (
    KINDS,
    STORM_ONLY,
    Burst,
    ColdStart,
    Fault,
    Stall,
    kind_of,
    only_simulated,
)
from holdgw.harness.scenario_fields import (
    AtLeast0,
    Count,
    Positive,
    ScenarioTable,
    Share,
    Span,
    not_finite,
)

MAX_NODES = 2000
MAX_ROUTERS = 400
MAX_LENGTH_S = 3600.0
MAX_PEAK_RATE = 50_000.0  # scheduled requests a second: ten times what the emulator can play on 8 cores
MAX_REQUESTS = 5_000_000  # of a run: requests are drawn ahead and held in memory, some 500 bytes each


class ScenarioError(Exception):
    """The file cannot be used; the text is one line that names the file and the field."""


class Fleet(ScenarioTable, frozen=True, kw_only=True):
    """Sizes of the fleet of nodes and routers, and the delays between its zones."""

    nodes: Annotated[int, Meta(ge=1, le=MAX_NODES)] = 36
    routers: Annotated[int, Meta(ge=1, le=MAX_ROUTERS)] = 3
    zones: Annotated[tuple[str, ...], Meta(min_length=1)] = ("lozenets", "mladost", "druzhba")
    same_ms: Span = (0.1, 0.3)
    """One-way delay within a zone."""
    cross_ms: Span = (2.8, 5.2)
    """One-way delay between two zones."""
    cell: Count = 6


class Node(ScenarioTable, frozen=True, kw_only=True):
    """An emulated endpoint (emulators/node_model.py); a value within each span is drawn for each node."""

    cores: Count = 1
    slots: tuple[Count, Count] = (2, 6)
    queue: tuple[int, int] = (9, 35)
    speed: tuple[Positive, Positive] = (0.85, 1.1)
    cold_share: Annotated[float, Meta(gt=0, le=1)] = 0.32
    warm_s: AtLeast0 = 8.9
    fall_multiple: Positive = 4.0
    fall_s: Positive = 2.0
    memory_kb: Count = 1024
    lasts_s: AtLeast0 = 0.0
    thrash: AtLeast0 = 0.1
    thrash_at: Positive = 10.0
    report_ms: tuple[Positive, Positive] = (110.0, 420.0)
    report_late_ms: Span = (5.0, 150.0)
    handshake_ms: AtLeast0 = 1.5
    connections: Count = 120
    full_tax: Share = 0.1
    idle_s: Positive = 10.0
    probe_ms: AtLeast0 = 1.6
    miss_share: Share = 0.3
    attempt_noise: AtLeast0 = 0.25


class Store(ScenarioTable, frozen=True, kw_only=True):
    """The origin."""

    per_s: Positive = 120.0
    """Reads per second that the origin can serve."""
    read_ms: Positive = 45.0
    write_ms: Positive = 70.0
    cv: AtLeast0 = 0.5
    queue_s: AtLeast0 = 1.0
    """Length of its queue, in seconds of its work."""
    error_share: Share = 0.0


class Discovery(ScenarioTable, frozen=True, kw_only=True):
    """How the endpoint list reaches the routers: pushed by discovery, or polled by the routers (`ask`)."""

    mode: Literal["push", "ask"] = "push"
    notice_s: Span = (0.5, 3.0)
    """From a change to when a router's view has the change."""
    call_ms: AtLeast0 = 2.0
    """With mode `ask`: work of one call; the calls of all routers share one queue."""


class RequestClass(ScenarioTable, frozen=True, kw_only=True):
    """A request class: its share of requests, its work, its latency objective (`aim_ms`) and its worth."""

    name: Annotated[str, Meta(pattern=r"^[a-z][a-z0-9_-]*$")]
    share: Positive
    work_ms: Positive
    cv: AtLeast0 = 0.5
    aim_ms: Positive
    give_up_ms: Positive
    worth: Positive = 1.0
    late_worth: Share = 0.25
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    window_ms: AtLeast0 = 0.0


class Tenant(ScenarioTable, frozen=True, kw_only=True):
    """A tenant, with its share of requests and its quota; `quota_per_s` 0: no quota."""

    name: Annotated[str, Meta(pattern=r"^[a-z][a-z0-9_-]*$")]
    share: Positive
    quota_per_s: AtLeast0 = 0.0


class Keys(ScenarioTable, frozen=True, kw_only=True):
    """The keys that are requested: their popularity (a Zipf law with an offset) and the sizes of values."""

    count: Count = 4000
    zipf: AtLeast0 = 1.05
    offset: AtLeast0 = 3.0
    size_bytes: Positive = 3000.0
    size_cv: AtLeast0 = 0.6


class Load(ScenarioTable, frozen=True, kw_only=True):
    """Scheduled requests per second of all clients together, without client retries.

    `shape` is a list of (second, factor), with linear interpolation in between.
    """

    rate: Positive
    shape: tuple[tuple[AtLeast0, AtLeast0], ...] = ((0.0, 1.0),)


class Clients(ScenarioTable, frozen=True, kw_only=True):
    """How clients retry, abandon requests and use connections."""

    retries: Annotated[int, Meta(ge=0, le=5)] = 2
    try_share: tuple[Share, Share] = (0.5, 0.8)
    """An attempt of a client is abandoned after this fraction of the class's give-up time."""
    backoff_ms: Span = (20.0, 80.0)
    """Backoff before the first client retry, doubled for each further one."""
    honour: Share = 0.85
    """Share of clients that retry no earlier than Retry-After says."""
    impatient: Share = 0.005
    fresh: Share = 0.0
    """Share of requests that use a new connection, which is closed afterwards."""
    front_notice_s: Span = (1.0, 3.0)
    """Time until the front layer notices that a router has exited."""


class Router(ScenarioTable, frozen=True, kw_only=True):
    """The limits and settings that a router is given."""

    memory_mb: Count = 192
    sockets: Annotated[int, Meta(ge=64)] = 1024
    cores: Positive = 1.0
    attempts: Count = 4
    retry_after: bool = False
    probes: bool = True
    drain_grace_ms: Positive = 500.0


class Peers(ScenarioTable, frozen=True, kw_only=True):
    """Lines between routers: datagrams of at most 256 bytes, with the fleet's delays between zones."""

    allowed: bool = False
    """Whether routers are told each other's addresses (DEPLOY, `peer_listen`, `peers`, `peers_all`)."""
    jitter: Share = 0.2
    """Fraction of a line's delay, drawn for every datagram."""
    loss: Share = 0.0
    duplicates: Share = 0.0
    reordered: Share = 0.0
    late_ms: AtLeast0 = 50.0
    """Largest extra delay of a reordered datagram."""
    bytes_per_s: AtLeast0 = 0.0
    """Limit of each line in one direction; 0: no limit."""
    aggregators: Annotated[int, Meta(ge=0, le=8)] = 0
    """Dedicated aggregators of routers' load reports, one process each; 0: routers gossip their reports. Only
    with real processes: the simulation has none.
    """


class Emulator(ScenarioTable, frozen=True, kw_only=True):
    """Limits of the emulator's own lag, beyond which a run is void, and the prelude before a run."""

    lag_ms: Positive = 5.0
    """Limit of the 99th percentile of the emulator's lag."""
    worst_ms: Positive = 40.0
    """Limit of every single reading of the emulator's lag."""
    prelude_s: AtLeast0 = 4.0
    """Time before the run in which each of the most popular keys is requested once; these count as cached
    since long ago."""
    prelude_keys: int = 2500


AGGREGATOR = "aggregator"
"""Prefix of the names of dedicated aggregators."""

FETCH = RequestClass(name="fetch", share=0.97, work_ms=45.0, aim_ms=300.0, give_up_ms=1200.0, worth=3.0)
YANK = RequestClass(
    name="yank", share=0.022, work_ms=58.0, aim_ms=500.0, give_up_ms=1000.0, worth=2.0, late_worth=0.3,
    effect="keyed", window_ms=5000.0,
)  # fmt: skip
PUBLISH = RequestClass(
    name="publish", share=0.008, work_ms=75.0, aim_ms=500.0, give_up_ms=1200.0, worth=8.0, late_worth=0.3,
    effect="keyed", window_ms=2500.0,
)  # fmt: skip


class Simulation(ScenarioTable, frozen=True, kw_only=True):
    """Settings that only `holdgw simulate` uses."""

    jitter: Annotated[float, Meta(ge=0, le=10)] = 0.2
    """Fraction of a line's delay, drawn for every segment."""
    drift_ppm: Annotated[int, Meta(ge=0, le=1000)] = 100
    """Largest drift of routers' clocks, in either direction."""
    quiet_s: Annotated[float, Meta(ge=1, le=600)] = 34.0
    """From the end of the run until routers are checked for leaks: beyond their longest idle timeout."""
    workers: Annotated[int, Meta(ge=0, le=16)] = 0
    """Worker processes of each router, which are killed, stopped and replaced; 0: no workers."""


class Storm(ScenarioTable, frozen=True, kw_only=True):
    """Faults that are drawn from the seed, in addition to those of the file; for `holdgw simulate`."""

    count: tuple[Annotated[int, Meta(ge=0, le=40)], Annotated[int, Meta(ge=0, le=40)]] = (0, 0)
    kinds: tuple[str, ...] = ()
    """Kinds of faults to draw from; empty: all kinds."""


class Scenario(ScenarioTable, frozen=True, kw_only=True):
    """A whole scenario: fleet, load, clients, settings and faults of one run."""

    name: Annotated[str, Meta(min_length=1)]
    about: str = ""
    seed: int = 1
    length_s: Annotated[float, Meta(gt=0, le=MAX_LENGTH_S)]
    load: Load
    fleet: Fleet = Fleet()
    node: Node = Node()
    store: Store = Store()
    discovery: Discovery = Discovery()
    classes: Annotated[tuple[RequestClass, ...], Meta(min_length=1)] = (FETCH, YANK, PUBLISH)
    tenants: Annotated[tuple[Tenant, ...], Meta(min_length=1)] = (
        Tenant(name="public", share=0.63),
        Tenant(name="municipal", share=0.37),
    )
    keys: Keys = Keys()
    clients: Clients = Clients()
    router: Router = Router()
    peers: Peers = Peers()
    emulator: Emulator = Emulator()
    simulation: Simulation = Simulation()
    storm: Storm = Storm()
    trouble: tuple[Fault, ...] = ()

    def __post_init__(self) -> None:
        """Check what depends on more than one field; raises ValueError naming the field."""
        for name in not_finite(self):
            raise ValueError(f"{name}: expected a finite number")
        _check_unique("classes", [one.name for one in self.classes])
        _check_unique("tenants", [one.name for one in self.tenants])
        _check_unique("fleet.zones", self.fleet.zones)
        for name in ("same_ms", "cross_ms"):
            _check_range(f"fleet.{name}", getattr(self.fleet, name))
        for name in ("slots", "queue", "speed", "report_ms", "report_late_ms"):
            _check_range(f"node.{name}", getattr(self.node, name))
        _check_range("discovery.notice_s", self.discovery.notice_s)
        for name in ("try_share", "backoff_ms", "front_notice_s"):
            _check_range(f"clients.{name}", getattr(self.clients, name))
        for i, cls in enumerate(self.classes):
            if cls.aim_ms > cls.give_up_ms:
                raise ValueError(f"classes[{i}].aim_ms: {cls.aim_ms:g} is over give_up_ms {cls.give_up_ms:g}")
            if (cls.effect == "keyed") != (cls.window_ms > 0):
                raise ValueError(f"classes[{i}].window_ms: a keyed class has a window, and no other has one")
        if [second for second, _ in self.load.shape] != sorted({second for second, _ in self.load.shape}):
            raise ValueError("load.shape: the seconds must rise")
        if not any(factor > 0 for _, factor in self.load.shape):
            raise ValueError("load.shape: some factor must be above 0")
        for i, fault in enumerate(self.trouble):
            self._check_fault(f"trouble[{i}] ({kind_of(fault)})", fault)
        _check_range("storm.count", self.storm.count)
        for kind in self.storm.kinds:
            if kind not in (*KINDS, *STORM_ONLY) or kind == kind_of(Stall(at=0, seconds=1)):
                raise ValueError(f"storm.kinds: no fault of kind {kind!r} that a storm can draw")
        self._check_load()

    def _check_load(self) -> None:
        """Reject a load too large to play: drawing its requests would take too long and exhaust memory."""
        peak_without_bursts = self.load.rate * max(factor for _, factor in self.load.shape)
        for what, peak in (
            ("load.rate times load.shape", peak_without_bursts),
            ("load with its bursts", self.peak),
        ):
            if peak > MAX_PEAK_RATE:
                raise ValueError(
                    f"{what}: a peak of {peak:.6g} requests a second; at most {MAX_PEAK_RATE:g} can be played"
                )
        if self.peak * self.length_s > MAX_REQUESTS:
            raise ValueError(
                f"load.rate: up to {self.peak * self.length_s:.6g} requests in {self.length_s:g} s; at most "
                f"{MAX_REQUESTS} can be played"
            )

    @property
    def peak(self) -> float:
        """The highest rate of scheduled requests per second, with overlapping bursts added up."""
        peak_without_bursts = self.load.rate * max(factor for _, factor in self.load.shape)
        bursts = [burst for burst in self.trouble if isinstance(burst, Burst)]
        if len(bursts) == 1:
            return peak_without_bursts * max(bursts[0].factor, 1.0)
        extra_factors = [
            sum(
                max(other.factor - 1.0, 0.0)
                for other in bursts
                if other.at <= burst.at < other.at + other.seconds
            )
            for burst in bursts
        ]
        return peak_without_bursts * (1.0 + max(extra_factors, default=0.0))

    def simulation_only_reason(self) -> str:
        """Why only the simulation can play the scenario, naming the field; empty if real processes can."""
        if self.storm.count[1]:
            return "storm: only `holdgw simulate` can play drawn faults"
        for i, fault in enumerate(self.trouble):
            if only_simulated(fault):
                return f"trouble[{i}] ({kind_of(fault)}): only `holdgw simulate` can play it"
        return ""

    def _check_fault(self, where: str, fault: Fault) -> None:
        if fault.at >= self.length_s:
            raise ValueError(f"{where}.at: {fault.at:g} is beyond length_s {self.length_s:g}")
        nodes = getattr(fault, "nodes", 1)
        if isinstance(nodes, int) and not isinstance(fault, ColdStart) and nodes > self.fleet.nodes:
            raise ValueError(f"{where}.nodes: {nodes} of {self.fleet.nodes} nodes")
        if isinstance(nodes, tuple):
            names = node_names(self.fleet)
            for name in nodes:
                if name not in names:
                    raise ValueError(f"{where}.nodes: no node {name!r}; they are {names[0]} to {names[-1]}")
        for side in ("routers", "peers"):
            self._check_routers(f"{where}.{side}", getattr(fault, side, 0))
        if (zone := getattr(fault, "zone", "")) and zone not in self.fleet.zones:
            raise ValueError(f"{where}.zone: no zone {zone!r}; they are {', '.join(self.fleet.zones)}")
        if isinstance(fault, Burst) and fault.tenant not in ("", *(one.name for one in self.tenants)):
            raise ValueError(f"{where}.tenant: no tenant {fault.tenant!r}")

    def _check_routers(self, where: str, routers: int | tuple[str, ...]) -> None:
        if isinstance(routers, int):
            if routers > self.fleet.routers:
                raise ValueError(f"{where}: more than the {self.fleet.routers} there are")
            return
        names = router_names(self.fleet)
        for name in routers:
            if name not in names:
                raise ValueError(f"{where}: no router {name!r}; they are {names[0]} to {names[-1]}")

    def cut(self, seconds: float) -> Scenario:
        """Return the same scenario, ended earlier; faults that would begin after its end are left out."""
        length = min(seconds, self.length_s)
        kept = tuple(fault for fault in self.trouble if fault.at < length)
        return msgspec.structs.replace(self, length_s=length, trouble=kept)


def _check_unique(where: str, names: Sequence[str]) -> None:
    if len(set(names)) != len(names):
        raise ValueError(f"{where}: a name is used twice")


def _check_range(where: str, span: tuple[float, float]) -> None:
    if span[0] > span[1]:
        raise ValueError(f"{where}: {span[0]:g} is over {span[1]:g}")


def node_names(fleet: Fleet) -> list[str]:
    """Return the ids of the nodes at the start of the run."""
    return [f"node{i:03d}" for i in range(fleet.nodes)]


def router_names(fleet: Fleet) -> list[str]:
    """Return the names of the routers."""
    return [f"router{i:02d}" for i in range(fleet.routers)]


def member_names(scenario: Scenario) -> list[str]:
    """Return the names of routers, then of dedicated aggregators, in the order of their peer numbers."""
    routers = router_names(scenario.fleet)
    return [*routers, *(f"{AGGREGATOR}{i:02d}" for i in range(scenario.peers.aggregators))]


def zone_of(zones: Sequence[str], number: int) -> str:
    """Return the zone of a node or router by its number; they are spread over the zones in turn."""
    return zones[number % len(zones)]


def shipped() -> list[str]:
    """Return the names of the scenarios that come with holdgw."""
    folder = resources.files("holdgw.harness") / "scenarios"
    return sorted(
        entry.name.removesuffix(".toml") for entry in folder.iterdir() if entry.name.endswith(".toml")
    )


def load_scenario(name: str | Path) -> Scenario:
    """Read a scenario from a file, or by name one that comes with holdgw; raises ScenarioError."""
    path = Path(name)
    if not path.exists() and str(name) in shipped():
        path = Path(str(resources.files("holdgw.harness") / "scenarios" / f"{name}.toml"))
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        reason = error.strerror if isinstance(error, OSError) else "is not a text file"
        raise ScenarioError(f"{name}: {reason}; the shipped ones are {', '.join(shipped())}") from None
    return read_scenario(text, str(name))


def read_scenario(text: str, name: str) -> Scenario:
    """Read a scenario from its text; raises ScenarioError, which names `name` and the field."""
    try:
        return msgspec.convert(tomllib.loads(text), Scenario)
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"{name}: {error}") from None
    except msgspec.ValidationError as error:
        message, _, path = str(error).partition(" - at `$")
        field = path.strip("`.") or ""
        raise ScenarioError(f"{name}: {field + ': ' if field else ''}{message}") from None
