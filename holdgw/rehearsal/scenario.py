"""A scenario file (TOML): the fleet, its clients and load, and a time line of troubles that overlap freely.

Anything unknown or out of bounds is refused with one line that names the file and the field.
"""

from __future__ import annotations

import tomllib
from collections.abc import Sequence
from importlib import resources
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

Share = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0)]
AtLeast0 = Annotated[float, Meta(ge=0)]
Count = Annotated[int, Meta(ge=1)]
Span = tuple[AtLeast0, AtLeast0]
MOST_NODES = 2000
MOST_ROUTERS = 400
MOST_SECONDS = 3600.0


class ScenarioError(Exception):
    """The file can't be used; the text is one plain line that names file and field."""


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A table of the file."""


class Fleet(Table, frozen=True, kw_only=True):
    """Mirror nodes and routers, and the lines between their zones."""

    nodes: Annotated[int, Meta(ge=1, le=MOST_NODES)] = 36
    routers: Annotated[int, Meta(ge=1, le=MOST_ROUTERS)] = 3
    zones: Annotated[tuple[str, ...], Meta(min_length=1)] = ("lozenets", "mladost", "druzhba")
    same_ms: Span = (0.1, 0.3)
    """One way, within a zone."""
    cross_ms: Span = (2.8, 5.2)
    """One way, between two zones."""
    cell: Count = 6


class Node(Table, frozen=True, kw_only=True):
    """A mirror node (standins/node_model.py); spans are drawn for each node."""

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


class Store(Table, frozen=True, kw_only=True):
    """The package store."""

    per_s: Positive = 120.0
    """Reads a second that it can do."""
    read_ms: Positive = 45.0
    write_ms: Positive = 70.0
    cv: AtLeast0 = 0.5
    queue_s: AtLeast0 = 1.0
    """Its line, as seconds of its work."""
    error_share: Share = 0.0


class Discovery(Table, frozen=True, kw_only=True):
    """How the list of nodes reaches the routers."""

    mode: Literal["push", "ask"] = "push"
    notice_s: Span = (0.5, 3.0)
    """From a change to when a router's view has it."""
    call_ms: AtLeast0 = 2.0
    """Asked: work of one call, all routers in one line."""


class RequestClass(Table, frozen=True, kw_only=True):
    """A class of requests."""

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


class Tenant(Table, frozen=True, kw_only=True):
    """A namespace. `quota_per_s` 0: no quota."""

    name: Annotated[str, Meta(pattern=r"^[a-z][a-z0-9_-]*$")]
    share: Positive
    quota_per_s: AtLeast0 = 0.0


class Keys(Table, frozen=True, kw_only=True):
    """What is asked for."""

    count: Count = 4000
    zipf: AtLeast0 = 1.05
    offset: AtLeast0 = 3.0
    size_bytes: Positive = 3000.0
    size_cv: AtLeast0 = 0.6


class Load(Table, frozen=True, kw_only=True):
    """First tries a second, all clients together; `shape` is a list of (second, factor), straight in
    between.
    """

    rate: Positive
    shape: tuple[tuple[AtLeast0, AtLeast0], ...] = ((0.0, 1.0),)


class Clients(Table, frozen=True, kw_only=True):
    """What clients do."""

    retries: Annotated[int, Meta(ge=0, le=5)] = 2
    try_share: tuple[Share, Share] = (0.5, 0.8)
    """A try is given up after this share of the class's give-up time."""
    backoff_ms: Span = (20.0, 80.0)
    """Before the first retry; doubled for each one after it."""
    honour: Share = 0.85
    """Share of clients that come again no sooner than a refusal says."""
    impatient: Share = 0.005
    fresh: Share = 0.0
    """Share of tries that come on a new connection, closed after it."""
    front_notice_s: Span = (1.0, 3.0)
    """Until the front sees that a router is gone."""


class Router(Table, frozen=True, kw_only=True):
    """What a router is given."""

    memory_mb: Count = 192
    sockets: Annotated[int, Meta(ge=64)] = 1024
    cores: Positive = 1.0
    attempts: Count = 4
    retry_after: bool = False
    probes: bool = True
    drain_grace_ms: Positive = 500.0


class Emulator(Table, frozen=True, kw_only=True):
    """When the emulator itself is too late to judge by."""

    lag_ms: Positive = 5.0
    """The 99th percentile of its lag may not be over this."""
    worst_ms: Positive = 40.0
    """Nor any reading over this."""
    prelude_s: AtLeast0 = 4.0
    """Before the day begins the keys asked for most are asked for once, and count as kept since long ago."""
    prelude_keys: int = 2500


class _Trouble(Table, frozen=True, kw_only=True, tag_field="kind"):
    """Something that goes wrong at a second of the day."""

    at: AtLeast0


Nodes = Count | tuple[str, ...]
"""So many nodes, drawn by the seed, or these by name."""


class Pause(_Trouble, frozen=True, kw_only=True, tag="pause"):
    """Nodes stand still with their processes running."""

    seconds: Positive
    nodes: Nodes = 1


class Kill(_Trouble, frozen=True, kw_only=True, tag="kill"):
    """Nodes' processes die and stay away."""

    nodes: Nodes = 1


class Restart(_Trouble, frozen=True, kw_only=True, tag="restart"):
    """Nodes' processes die and start again, cold and empty, under the same ids."""

    nodes: Nodes = 1
    down_s: AtLeast0 = 0.5


class Replace(_Trouble, frozen=True, kw_only=True, tag="replace"):
    """Nodes die, and others take their place under new ids, cold and empty."""

    nodes: Nodes = 1
    down_s: AtLeast0 = 1.0
    same_address: bool = False


class Drain(_Trouble, frozen=True, kw_only=True, tag="drain"):
    """Nodes drain for so long and leave."""

    nodes: Nodes = 1
    seconds: Positive = 5.0


class ColdStart(_Trouble, frozen=True, kw_only=True, tag="cold_start"):
    """New nodes join, cold and empty."""

    nodes: Count = 1


class Flush(_Trouble, frozen=True, kw_only=True, tag="flush"):
    """The copies of a share of the keys go void at once."""

    share: Share


class Scan(_Trouble, frozen=True, kw_only=True, tag="scan"):
    """A share of the reads asks for keys that are wanted once only."""

    seconds: Positive
    share: Share


class HotCaller(_Trouble, frozen=True, kw_only=True, tag="hot_caller"):
    """One caller sends a share of all traffic through few routers."""

    seconds: Positive
    share: Share
    routers: Count = 1


class Burst(_Trouble, frozen=True, kw_only=True, tag="burst"):
    """The load is so many times as high; of one tenant only, if it is named."""

    seconds: Positive
    factor: Positive
    tenant: str = ""


class OriginSlow(_Trouble, frozen=True, kw_only=True, tag="origin_slow"):
    """The package store takes so many times as long."""

    seconds: Positive
    factor: Positive


class OriginDown(_Trouble, frozen=True, kw_only=True, tag="origin_down"):
    """The package store can't be reached."""

    seconds: Positive


class _Spoil(_Trouble, frozen=True, kw_only=True):
    seconds: Positive
    share: Share
    nodes: Nodes | Literal["all"] = "all"
    store: bool = False


class Reset(_Spoil, frozen=True, kw_only=True, tag="reset"):
    """A share of the answers is a reset; `store`: the package store's too."""


class Garble(_Spoil, frozen=True, kw_only=True, tag="garble"):
    """A share of the answers is noise."""


class Silence(_Spoil, frozen=True, kw_only=True, tag="silence"):
    """A share of the answers never comes."""


class DiscoveryLate(_Trouble, frozen=True, kw_only=True, tag="discovery_late"):
    """Changes of the list come so much later."""

    seconds: Positive
    extra_s: Positive


class DiscoveryStale(_Trouble, frozen=True, kw_only=True, tag="discovery_stale"):
    """Routers' views of the list stand still; 0 routers: all of them."""

    seconds: Positive
    routers: Annotated[int, Meta(ge=0)] = 0


class DiscoveryDown(_Trouble, frozen=True, kw_only=True, tag="discovery_down"):
    """Discovery is out."""

    seconds: Positive


class RouterRestart(_Trouble, frozen=True, kw_only=True, tag="router_restart"):
    """Routers are restarted; TERM: as planned, KILL: they die. `gap_s` lies between one and the next."""

    routers: Count = 1
    signal: Literal["TERM", "KILL"] = "TERM"
    gap_s: AtLeast0 = 0.0


class RouterReload(_Trouble, frozen=True, kw_only=True, tag="router_reload"):
    """Routers get a new configuration that names another address of discovery, and SIGHUP."""

    routers: Count = 1


class Stall(_Trouble, frozen=True, kw_only=True, tag="emulator_stall"):
    """The emulator itself stands still: to see that such a run is marked void."""

    seconds: Positive
    where: Literal["nodes", "clients"] = "nodes"


Trouble = (
    Pause
    | Kill
    | Restart
    | Replace
    | Drain
    | ColdStart
    | Flush
    | Scan
    | HotCaller
    | Burst
    | OriginSlow
    | OriginDown
    | Reset
    | Garble
    | Silence
    | DiscoveryLate
    | DiscoveryStale
    | DiscoveryDown
    | RouterRestart
    | RouterReload
    | Stall
)

FETCH = RequestClass(name="fetch", share=0.97, work_ms=45.0, aim_ms=300.0, give_up_ms=1200.0, worth=3.0)
YANK = RequestClass(
    name="yank", share=0.022, work_ms=58.0, aim_ms=500.0, give_up_ms=1000.0, worth=2.0, late_worth=0.3,
    effect="keyed", window_ms=5000.0,
)  # fmt: skip
PUBLISH = RequestClass(
    name="publish", share=0.008, work_ms=75.0, aim_ms=500.0, give_up_ms=1200.0, worth=8.0, late_worth=0.3,
    effect="keyed", window_ms=2500.0,
)  # fmt: skip


class Scenario(Table, frozen=True, kw_only=True):
    """A whole day."""

    name: Annotated[str, Meta(min_length=1)]
    about: str = ""
    seed: int = 1
    length_s: Annotated[float, Meta(gt=0, le=MOST_SECONDS)]
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
    emulator: Emulator = Emulator()
    trouble: tuple[Trouble, ...] = ()

    def __post_init__(self) -> None:
        """Hold what no single field can: raises ValueError naming the field."""
        _no_twins("classes", [one.name for one in self.classes])
        _no_twins("tenants", [one.name for one in self.tenants])
        _no_twins("fleet.zones", self.fleet.zones)
        for name in ("same_ms", "cross_ms"):
            _span(f"fleet.{name}", getattr(self.fleet, name))
        for name in ("slots", "queue", "speed", "report_ms", "report_late_ms"):
            _span(f"node.{name}", getattr(self.node, name))
        _span("discovery.notice_s", self.discovery.notice_s)
        for name in ("try_share", "backoff_ms", "front_notice_s"):
            _span(f"clients.{name}", getattr(self.clients, name))
        for i, one in enumerate(self.classes):
            if one.aim_ms > one.give_up_ms:
                raise ValueError(f"classes[{i}].aim_ms: {one.aim_ms:g} is over give_up_ms {one.give_up_ms:g}")
            if (one.effect == "keyed") != (one.window_ms > 0):
                raise ValueError(f"classes[{i}].window_ms: a keyed class has a window, and no other has one")
        if [second for second, _ in self.load.shape] != sorted({second for second, _ in self.load.shape}):
            raise ValueError("load.shape: the seconds must rise")
        if not any(factor > 0 for _, factor in self.load.shape):
            raise ValueError("load.shape: some factor must be above 0")
        for i, trouble in enumerate(self.trouble):
            self._check_trouble(f"trouble[{i}] ({kind_of(trouble)})", trouble)

    def _check_trouble(self, where: str, trouble: Trouble) -> None:
        if trouble.at >= self.length_s:
            raise ValueError(f"{where}.at: {trouble.at:g} is beyond length_s {self.length_s:g}")
        nodes = getattr(trouble, "nodes", 1)
        if isinstance(nodes, int) and not isinstance(trouble, ColdStart) and nodes > self.fleet.nodes:
            raise ValueError(f"{where}.nodes: {nodes} of {self.fleet.nodes} nodes")
        if isinstance(nodes, tuple):
            names = node_names(self.fleet)
            for name in nodes:
                if name not in names:
                    raise ValueError(f"{where}.nodes: no node {name!r}; they are {names[0]} to {names[-1]}")
        if getattr(trouble, "routers", 1) > self.fleet.routers:
            raise ValueError(f"{where}.routers: more than the {self.fleet.routers} there are")
        if isinstance(trouble, Burst) and trouble.tenant not in ("", *(one.name for one in self.tenants)):
            raise ValueError(f"{where}.tenant: no tenant {trouble.tenant!r}")

    def cut(self, seconds: float) -> Scenario:
        """The same day, ended earlier; troubles past its end are left out."""
        length = min(seconds, self.length_s)
        kept = tuple(trouble for trouble in self.trouble if trouble.at < length)
        return msgspec.structs.replace(self, length_s=length, trouble=kept)


def _no_twins(where: str, names: Sequence[str]) -> None:
    if len(set(names)) != len(names):
        raise ValueError(f"{where}: a name stands there twice")


def _span(where: str, span: tuple[float, float]) -> None:
    if span[0] > span[1]:
        raise ValueError(f"{where}: {span[0]:g} is over {span[1]:g}")


def kind_of(trouble: Trouble) -> str:
    """The kind as the file words it."""
    return str(type(trouble).__struct_config__.tag)


def node_names(fleet: Fleet) -> list[str]:
    """The nodes' ids at the start of the day."""
    return [f"node{i:03d}" for i in range(fleet.nodes)]


def router_names(fleet: Fleet) -> list[str]:
    """The routers' names."""
    return [f"router{i:02d}" for i in range(fleet.routers)]


def zone_of(zones: Sequence[str], number: int) -> str:
    """Nodes and routers take the zones in turn."""
    return zones[number % len(zones)]


def shipped() -> list[str]:
    """Names of the scenarios that come with holdgw."""
    folder = resources.files("holdgw.rehearsal") / "scenarios"
    return sorted(
        entry.name.removesuffix(".toml") for entry in folder.iterdir() if entry.name.endswith(".toml")
    )


def load_scenario(name: str | Path) -> Scenario:
    """Read a file, or a scenario that comes with holdgw, by its name; raises ScenarioError."""
    path = Path(name)
    if not path.exists() and str(name) in shipped():
        path = Path(str(resources.files("holdgw.rehearsal") / "scenarios" / f"{name}.toml"))
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        reason = error.strerror if isinstance(error, OSError) else "is no text"
        raise ScenarioError(f"{name}: {reason}; the shipped ones are {', '.join(shipped())}") from None
    return read_scenario(text, str(name))


def read_scenario(text: str, name: str) -> Scenario:
    """Read a scenario's text; raises ScenarioError that names `name` and the field."""
    try:
        return msgspec.convert(tomllib.loads(text), Scenario)
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"{name}: {error}") from None
    except msgspec.ValidationError as error:
        message, _, place = str(error).partition(" - at `$")
        field = place.strip("`.") or ""
        raise ScenarioError(f"{name}: {field + ': ' if field else ''}{message}") from None
