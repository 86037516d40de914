"""The kinds of faults, each a `[[trouble]]` table of the scenario file with its kind as the tag."""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta

from holdgw.harness.scenario_fields import AtLeast0, Count, Positive, ScenarioTable, Share


class _Fault(ScenarioTable, frozen=True, kw_only=True, tag_field="kind"):
    """The base of all faults; `at` is the second of the run at which the fault begins."""

    at: AtLeast0
    draw: int = -1
    """Number of the random draw for its nodes and routers; -1: its position in the file."""


class _SimulationOnlyFault(_Fault, frozen=True, kw_only=True):
    """A fault that only the simulation's network and clocks can have."""


Nodes = Count | tuple[str, ...]
"""A number of nodes, drawn from the seed, or nodes by name."""
Routers = Count | tuple[str, ...]
"""A number of routers, drawn from the seed, or routers by name."""


class Pause(_Fault, frozen=True, kw_only=True, tag="pause"):
    """Nodes are unresponsive, with their processes running and their connections open."""

    seconds: Positive
    nodes: Nodes = 1


class FalseReport(_Fault, frozen=True, kw_only=True, tag="false_report"):
    """Nodes send false load reports: always idle, always full, or unchanged since the fault began."""

    seconds: Positive
    nodes: Nodes = 1
    says: Literal["idle", "full", "still"] = "idle"


class Kill(_Fault, frozen=True, kw_only=True, tag="kill"):
    """Nodes' processes are killed and not restarted."""

    nodes: Nodes = 1


class Restart(_Fault, frozen=True, kw_only=True, tag="restart"):
    """Nodes' processes are killed and restarted, cold and empty, under the same ids."""

    nodes: Nodes = 1
    down_s: AtLeast0 = 0.5


class Replace(_Fault, frozen=True, kw_only=True, tag="replace"):
    """Nodes are killed and replaced by others under new ids, cold and empty."""

    nodes: Nodes = 1
    down_s: AtLeast0 = 1.0
    same_address: bool = False


class Drain(_Fault, frozen=True, kw_only=True, tag="drain"):
    """Nodes drain for `seconds` and are then removed."""

    nodes: Nodes = 1
    seconds: Positive = 5.0


class Maintenance(_Fault, frozen=True, kw_only=True, tag="by_hand"):
    """Nodes are put into maintenance at every router's admin endpoint, restarted, and taken out of it."""

    nodes: Nodes = 1
    seconds: Positive = 5.0


class ColdStart(_Fault, frozen=True, kw_only=True, tag="cold_start"):
    """New nodes join, cold and empty."""

    nodes: Count = 1


class Flush(_Fault, frozen=True, kw_only=True, tag="flush"):
    """The cached copies of a share of the keys become invalid at the same moment."""

    share: Share


class Scan(_Fault, frozen=True, kw_only=True, tag="scan"):
    """A share of the reads asks for keys that are requested only once."""

    seconds: Positive
    share: Share


class HotKey(_Fault, frozen=True, kw_only=True, tag="hot_key"):
    """Keys that were never requested suddenly get a share of all reads, and none after the fault.

    With a `zone`, only reads of that zone's clients change.
    """

    seconds: Positive
    share: Share
    keys: Count = 1
    zone: str = ""


class HotCaller(_Fault, frozen=True, kw_only=True, tag="hot_caller"):
    """One client sends a share of all traffic through a few routers."""

    seconds: Positive
    share: Share
    routers: Count = 1


class Burst(_Fault, frozen=True, kw_only=True, tag="burst"):
    """The load is multiplied by `factor`; with a `tenant`, only that tenant's."""

    seconds: Positive
    factor: Positive
    tenant: str = ""


class OriginSlow(_Fault, frozen=True, kw_only=True, tag="origin_slow"):
    """The origin takes `factor` times as long."""

    seconds: Positive
    factor: Positive


class OriginDown(_Fault, frozen=True, kw_only=True, tag="origin_down"):
    """The origin is unreachable."""

    seconds: Positive


class _AnswerFault(_Fault, frozen=True, kw_only=True):
    seconds: Positive
    share: Share
    nodes: Nodes | Literal["all"] = "all"
    store: bool = False


class Reset(_AnswerFault, frozen=True, kw_only=True, tag="reset"):
    """A share of the answers is replaced by a connection reset; with `store`, the origin's as well."""


class Garble(_AnswerFault, frozen=True, kw_only=True, tag="garble"):
    """A share of the answers is replaced by bytes that are no valid answer."""


class Silence(_AnswerFault, frozen=True, kw_only=True, tag="silence"):
    """A share of the answers is never sent, though the work is done."""


class DiscoveryLate(_Fault, frozen=True, kw_only=True, tag="discovery_late"):
    """Changes of the endpoint list reach the routers `extra_s` later."""

    seconds: Positive
    extra_s: Positive


class DiscoveryStale(_Fault, frozen=True, kw_only=True, tag="discovery_stale"):
    """Routers' views of the endpoint list do not change; 0 routers: those of all routers."""

    seconds: Positive
    routers: Annotated[int, Meta(ge=0)] = 0


class DiscoveryDown(_Fault, frozen=True, kw_only=True, tag="discovery_down"):
    """Discovery is unreachable."""

    seconds: Positive


class RouterRestart(_Fault, frozen=True, kw_only=True, tag="router_restart"):
    """Routers are restarted: gracefully by TERM, or by KILL.

    `together` routers are restarted at the same time, and `gap_s` passes between one group and the next.
    """

    routers: Routers = 1
    signal: Literal["TERM", "KILL"] = "TERM"
    gap_s: AtLeast0 = 0.0
    together: Count = 1


class RouterReload(_Fault, frozen=True, kw_only=True, tag="router_reload"):
    """Routers get a new configuration, with another address of discovery, and SIGHUP."""

    routers: Count = 1


class Stall(_Fault, frozen=True, kw_only=True, tag="emulator_stall"):
    """The emulator itself stalls, to check that such a run is marked void."""

    seconds: Positive
    where: Literal["nodes", "clients"] = "nodes"


class Partition(_Fault, frozen=True, kw_only=True, tag="partition"):
    """Nothing passes between routers and nodes: both ways, or only to or only from the nodes (`way`).

    With a `zone`, that zone's routers and nodes are cut off from those of the other zones, and routers from
    routers as well; `nodes`, `routers` and `peers` are then ignored.
    """

    seconds: Positive
    nodes: Annotated[int, Meta(ge=0)] | tuple[str, ...] | Literal["all"] = 1
    routers: Annotated[int, Meta(ge=0)] | tuple[str, ...] = 0
    """A number of routers, drawn from the seed, or routers by name; 0: all of them."""
    way: Literal["both", "to", "from"] = "both"
    store: bool = False
    discovery: bool = False
    """Also cuts the routers off from discovery; with a `zone`, the routers on the side without discovery."""
    peers: Annotated[int, Meta(ge=0)] | tuple[str, ...] = 0
    """A number of other routers from which they are cut off as well, or such routers by name."""
    zone: str = ""


class Freeze(_Fault, frozen=True, kw_only=True, tag="freeze"):
    """Routers' processes are stopped (SIGSTOP) and continue with all their state; their kernels run on."""

    seconds: Positive
    routers: Routers = 1


class Slow(_Fault, frozen=True, kw_only=True, tag="slow"):
    """Routers' processes run for `run_ms` of each 100 ms."""

    seconds: Positive
    routers: Routers = 1
    run_ms: Annotated[int, Meta(ge=1, le=99)] = 20


class MachineLoss(_Fault, frozen=True, kw_only=True, tag="machine_loss"):
    """Routers' machines are lost with everything on them, and their addresses are silent.

    They come back empty under their old names after `down_s`; with 0 they never come back.
    """

    routers: Routers = 1
    down_s: AtLeast0 = 0.0


class ZoneLoss(_Fault, frozen=True, kw_only=True, tag="zone_loss"):
    """Every machine of a zone is lost without notice, nodes and routers.

    The endpoint list loses the nodes after `notice_s`. All machines come back after `seconds`, cold and
    empty.
    """

    zone: str
    seconds: Positive
    notice_s: AtLeast0 = 2.0


class LossyPeers(_Fault, frozen=True, kw_only=True, tag="lossy_peers"):
    """Datagrams between routers are disturbed: shares of them are lost, duplicated or reordered.

    A reordered datagram arrives up to `late_ms` late. `bytes_per_s` limits each line; 0: no limit.
    """

    seconds: Positive
    loss: Share = 0.0
    duplicates: Share = 0.0
    reordered: Share = 0.0
    late_ms: AtLeast0 = 50.0
    bytes_per_s: AtLeast0 = 0.0


class Vanish(_Fault, frozen=True, kw_only=True, tag="vanish"):
    """Nodes' machines are lost without notice; the endpoint list loses them after `notice_s`.

    The nodes come back cold after `seconds`.
    """

    seconds: Positive
    nodes: Nodes = 1
    notice_s: AtLeast0 = 2.0


Phase = Literal["accept", "request", "answer", "behind", "end", "vanish"]
PHASES: tuple[Phase, ...] = ("accept", "request", "answer", "behind", "end", "vanish")


class Cut(_SimulationOnlyFault, frozen=True, kw_only=True, tag="cut"):
    """A share of what is sent breaks its connection, at one of `phases`.

    The connection breaks before it is accepted, within a request, within an answer, right behind either, by
    an orderly close behind an answer, or (`vanish`) without either end being told.
    """

    seconds: Positive
    share: Share
    phases: Annotated[tuple[Phase, ...], Meta(min_length=1)] = PHASES
    lines: Literal["nodes", "store", "servers", "clients", "all"] = "servers"


class LineConditions(_SimulationOnlyFault, frozen=True, kw_only=True, tag="weather"):
    """All connections are disturbed: segments are lost and retransmitted, split or delayed.

    New connections may have small kernel buffers (`window_kb`).
    """

    seconds: Positive
    loss: Annotated[float, Meta(ge=0, le=0.9)] = 0.0
    chop: Share = 0.0
    slow_ms: AtLeast0 = 0.0
    window_kb: Annotated[int, Meta(ge=0)] = 0
    """Kernel buffer of one direction, in KiB, for connections opened during the fault; 0: the usual size."""


class RouterStop(_Fault, frozen=True, kw_only=True, tag="router_stop"):
    """Routers' processes are stopped briefly, as by SIGSTOP; their kernels run on."""

    seconds: Annotated[float, Meta(gt=0, le=0.3)]
    routers: Count = 1


class ClockJump(_SimulationOnlyFault, frozen=True, kw_only=True, tag="clock_jump"):
    """Routers' wall clocks are set forward or back by `by_s`."""

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
    """The kind of a fault, as the scenario file names it."""
    return str(type(fault).__struct_config__.tag)


def only_simulated(fault: Fault) -> bool:
    """Whether only the simulation can play a fault."""
    return isinstance(fault, _SimulationOnlyFault)


STORM_ONLY = ("isolate",)
"""Kinds that only a storm may name and that are drawn as other kinds: `isolate` cuts routers off from some
nodes, peers or discovery."""
KINDS: tuple[str, ...] = tuple(str(one.__struct_config__.tag) for one in Fault.__args__)
