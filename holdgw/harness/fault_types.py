"""What may go wrong on a day: one table a kind, each a `[[trouble]]` of the scenario file."""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta

from holdgw.harness.scenario_fields import AtLeast0, Count, Positive, ScenarioTable, Share


class _Fault(ScenarioTable, frozen=True, kw_only=True, tag_field="kind"):
    """Something that goes wrong at a second of the day."""

    at: AtLeast0
    draw: int = -1
    """Which draw of the seed it takes its nodes and routers from; -1: the one of its place in the file."""


class _SimulationOnlyFault(_Fault, frozen=True, kw_only=True):
    """A trouble that only simulated lines and clocks can have."""


Nodes = Count | tuple[str, ...]
"""So many nodes, drawn by the seed, or these by name."""
Routers = Count | tuple[str, ...]
"""So many routers, drawn by the seed, or these by name."""


class Pause(_Fault, frozen=True, kw_only=True, tag="pause"):
    """Nodes stand still with their processes running."""

    seconds: Positive
    nodes: Nodes = 1


class FalseReport(_Fault, frozen=True, kw_only=True, tag="false_report"):
    """Nodes' load reports are not true: always idle, always full, or as they were when it began."""

    seconds: Positive
    nodes: Nodes = 1
    says: Literal["idle", "full", "still"] = "idle"


class Kill(_Fault, frozen=True, kw_only=True, tag="kill"):
    """Nodes' processes die and stay away."""

    nodes: Nodes = 1


class Restart(_Fault, frozen=True, kw_only=True, tag="restart"):
    """Nodes' processes die and start again, cold and empty, under the same ids."""

    nodes: Nodes = 1
    down_s: AtLeast0 = 0.5


class Replace(_Fault, frozen=True, kw_only=True, tag="replace"):
    """Nodes die, and others take their place under new ids, cold and empty."""

    nodes: Nodes = 1
    down_s: AtLeast0 = 1.0
    same_address: bool = False


class Drain(_Fault, frozen=True, kw_only=True, tag="drain"):
    """Nodes drain for so long and leave."""

    nodes: Nodes = 1
    seconds: Positive = 5.0


class Maintenance(_Fault, frozen=True, kw_only=True, tag="by_hand"):
    """Staff take nodes out at every router's door, restart them meanwhile, and call them back."""

    nodes: Nodes = 1
    seconds: Positive = 5.0


class ColdStart(_Fault, frozen=True, kw_only=True, tag="cold_start"):
    """New nodes join, cold and empty."""

    nodes: Count = 1


class Flush(_Fault, frozen=True, kw_only=True, tag="flush"):
    """The copies of a share of the keys go void at once."""

    share: Share


class Scan(_Fault, frozen=True, kw_only=True, tag="scan"):
    """A share of the reads asks for keys that are wanted once only."""

    seconds: Positive
    share: Share


class HotKey(_Fault, frozen=True, kw_only=True, tag="hot_key"):
    """Keys that nobody wanted get a share of all reads, from one moment to the next, and then none; of the
    reads of one `zone`'s clients only, if it is named.
    """

    seconds: Positive
    share: Share
    keys: Count = 1
    zone: str = ""


class HotCaller(_Fault, frozen=True, kw_only=True, tag="hot_caller"):
    """One caller sends a share of all traffic through few routers."""

    seconds: Positive
    share: Share
    routers: Count = 1


class Burst(_Fault, frozen=True, kw_only=True, tag="burst"):
    """The load is so many times as high; of one tenant only, if it is named."""

    seconds: Positive
    factor: Positive
    tenant: str = ""


class OriginSlow(_Fault, frozen=True, kw_only=True, tag="origin_slow"):
    """The package store takes so many times as long."""

    seconds: Positive
    factor: Positive


class OriginDown(_Fault, frozen=True, kw_only=True, tag="origin_down"):
    """The package store can't be reached."""

    seconds: Positive


class _AnswerFault(_Fault, frozen=True, kw_only=True):
    seconds: Positive
    share: Share
    nodes: Nodes | Literal["all"] = "all"
    store: bool = False


class Reset(_AnswerFault, frozen=True, kw_only=True, tag="reset"):
    """A share of the answers is a reset; `store`: the package store's too."""


class Garble(_AnswerFault, frozen=True, kw_only=True, tag="garble"):
    """A share of the answers is noise."""


class Silence(_AnswerFault, frozen=True, kw_only=True, tag="silence"):
    """A share of the answers never comes."""


class DiscoveryLate(_Fault, frozen=True, kw_only=True, tag="discovery_late"):
    """Changes of the list come so much later."""

    seconds: Positive
    extra_s: Positive


class DiscoveryStale(_Fault, frozen=True, kw_only=True, tag="discovery_stale"):
    """Routers' views of the list stand still; 0 routers: all of them."""

    seconds: Positive
    routers: Annotated[int, Meta(ge=0)] = 0


class DiscoveryDown(_Fault, frozen=True, kw_only=True, tag="discovery_down"):
    """Discovery is out."""

    seconds: Positive


class RouterRestart(_Fault, frozen=True, kw_only=True, tag="router_restart"):
    """Routers are restarted; TERM: as planned, KILL: they die. `gap_s` lies between one and the next, or
    between so many `together` and the next ones.
    """

    routers: Routers = 1
    signal: Literal["TERM", "KILL"] = "TERM"
    gap_s: AtLeast0 = 0.0
    together: Count = 1


class RouterReload(_Fault, frozen=True, kw_only=True, tag="router_reload"):
    """Routers get a new configuration that names another address of discovery, and SIGHUP."""

    routers: Count = 1


class Stall(_Fault, frozen=True, kw_only=True, tag="emulator_stall"):
    """The emulator itself stands still: to see that such a run is marked void."""

    seconds: Positive
    where: Literal["nodes", "clients"] = "nodes"


class Partition(_Fault, frozen=True, kw_only=True, tag="partition"):
    """Nothing comes through between routers and nodes; `way`: both ways, or only to or from the nodes. With a
    `zone`, that zone's routers and nodes are cut off from those of the others, routers from routers too, and
    `nodes`, `routers` and `peers` say nothing.
    """

    seconds: Positive
    nodes: Annotated[int, Meta(ge=0)] | tuple[str, ...] | Literal["all"] = 1
    routers: Annotated[int, Meta(ge=0)] | tuple[str, ...] = 0
    """So many, drawn by the seed, or these by name; 0: all of them."""
    way: Literal["both", "to", "from"] = "both"
    store: bool = False
    discovery: bool = False
    """From the list service as well; with a `zone`, those routers that it does not stand beside."""
    peers: Annotated[int, Meta(ge=0)] | tuple[str, ...] = 0
    """From so many other routers, or these by name."""
    zone: str = ""


class Freeze(_Fault, frozen=True, kw_only=True, tag="freeze"):
    """Routers' processes stand still (SIGSTOP), and go on with all they believed; their kernels go on."""

    seconds: Positive
    routers: Routers = 1


class Slow(_Fault, frozen=True, kw_only=True, tag="slow"):
    """Routers' processes run for `run_ms` of each 100 ms."""

    seconds: Positive
    routers: Routers = 1
    run_ms: Annotated[int, Meta(ge=1, le=99)] = 20


class MachineLoss(_Fault, frozen=True, kw_only=True, tag="machine_loss"):
    """Routers' machines are gone with all that was on them, and their addresses are silent. They come back
    empty under their old names after `down_s`, or, with 0, never.
    """

    routers: Routers = 1
    down_s: AtLeast0 = 0.0


class ZoneLoss(_Fault, frozen=True, kw_only=True, tag="zone_loss"):
    """Every machine of a zone is gone without a word, nodes and routers; the list hears of the nodes after
    `notice_s`. All come back after `seconds`, cold and empty.
    """

    zone: str
    seconds: Positive
    notice_s: AtLeast0 = 2.0


class LossyPeers(_Fault, frozen=True, kw_only=True, tag="lossy_peers"):
    """Lines from router to router are bad: shares of the datagrams are lost, come twice, or come up to
    `late_ms` late and so behind later ones; `bytes_per_s` bounds each line, 0: not at all.
    """

    seconds: Positive
    loss: Share = 0.0
    duplicates: Share = 0.0
    reordered: Share = 0.0
    late_ms: AtLeast0 = 50.0
    bytes_per_s: AtLeast0 = 0.0


class Vanish(_Fault, frozen=True, kw_only=True, tag="vanish"):
    """Nodes' machines are gone without a word; the list hears of it after `notice_s`. They come back cold."""

    seconds: Positive
    nodes: Nodes = 1
    notice_s: AtLeast0 = 2.0


Phase = Literal["accept", "request", "answer", "behind", "end", "vanish"]
PHASES: tuple[Phase, ...] = ("accept", "request", "answer", "behind", "end", "vanish")


class Cut(_SimulationOnlyFault, frozen=True, kw_only=True, tag="cut"):
    """A share of what is sent breaks its connection: before it is accepted, amid a request or an answer,
    right behind either, by an end in good order behind an answer, or (`vanish`) so that nobody is told.
    """

    seconds: Positive
    share: Share
    phases: Annotated[tuple[Phase, ...], Meta(min_length=1)] = PHASES
    lines: Literal["nodes", "store", "servers", "clients", "all"] = "servers"


class LineConditions(_SimulationOnlyFault, frozen=True, kw_only=True, tag="weather"):
    """All lines are bad: segments are lost and sent again, come in pieces, late, into small buffers."""

    seconds: Positive
    loss: Annotated[float, Meta(ge=0, le=0.9)] = 0.0
    chop: Share = 0.0
    slow_ms: AtLeast0 = 0.0
    window_kb: Annotated[int, Meta(ge=0)] = 0
    """Of connections made meanwhile: the bytes that kernels hold of one direction; 0: as usual."""


class RouterStop(_Fault, frozen=True, kw_only=True, tag="router_stop"):
    """Routers' processes stand still, as by SIGSTOP; their kernels go on."""

    seconds: Annotated[float, Meta(gt=0, le=0.3)]
    routers: Count = 1


class ClockJump(_SimulationOnlyFault, frozen=True, kw_only=True, tag="clock_jump"):
    """Routers' wall clocks are set forward, or back."""

    by_s: float
    routers: Count = 1


Fault = (
    Pause
    | FalseReport
    | Kill
    | Restart
    | Replace
    | Drain
    | Maintenance
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
    | Partition
    | Vanish
    | Cut
    | LineConditions
    | RouterStop
    | ClockJump
    | Freeze
    | Slow
    | MachineLoss
    | ZoneLoss
    | LossyPeers
    | HotKey
)


def kind_of(fault: Fault) -> str:
    """The kind as the file words it."""
    return str(type(fault).__struct_config__.tag)


def only_simulated(fault: Fault) -> bool:
    """Whether real sockets and processes can't play it."""
    return isinstance(fault, _SimulationOnlyFault)


STORM_ONLY = ("isolate",)
"""Kinds that a storm may name, and that are drawn as others: routers cut off from some of all there is."""
KINDS: tuple[str, ...] = tuple(str(one.__struct_config__.tag) for one in Fault.__args__)
