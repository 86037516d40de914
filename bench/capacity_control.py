"""Rows of docs/CAPACITY.md for a router's control part, the list service, and the four control machines."""

from __future__ import annotations

from bench.capacity_model import Need
from bench.capacity_rows import (
    CHANGES_PER_DAY,
    CONTROL_MACHINES,
    MAX_CHANGE_S,
    MAX_CONTROL_BYTES_PER_S,
    MAX_CONTROL_CPU_PERCENT,
    MAX_CONTROL_MB,
    MAX_PURGE_S,
    OPERATORS_LETTER,
    PURGES_PER_S,
    ROUTERS,
    ROUTERS_PER_ZONE,
    SECONDS_PER_DAY,
    SERVERS,
    AbsentFigure,
    ComputedFigure,
    FittedFigure,
    Kind,
    Role,
    Row,
    TextFigure,
    UnknownFigure,
    at_least,
    at_most,
)
from holdgw.peers.datagram import MAX_BYTES

SENT_AND_RECEIVED = 2.0  # factor from bytes sent: on average a router receives as many bytes as it sends
SWIM = "SWIM with local health: `peers/membership.py`"
LOAD_REPORTS = "load reports to 4 others each 0.3 s: `peers/gossip.py`, `peers/load_view.py`"
LIST_WATCH = "watches of 3 s where the service has room, 20 s at most: `router/watch_timeout.py`"
CONFIG_FILE = "a file and SIGHUP: `router/config.py`, `router/reload.py`; nothing brings the file"
MEMBER_UPDATES = "nothing; measured as if spread as member updates: `peers/update_queue.py`"
NO_MECHANISM = "nothing"
UPDATE_BUDGET = (
    "a budget for updates, bitmaps for many of them: `peers/update_budget.py`, `peers/compact_updates.py`"
)
RECEIVED_BYTES_CAVEAT = "what is said is bounded (`peer_update_bytes`); who hears how much goes by chance"
SUSPICION_CAVEAT = "loss, slow routers; a suspicion's time grows with log10 of R by design"
CPU_NEED = at_most(MAX_CONTROL_CPU_PERCENT, OPERATORS_LETTER)
MEMORY_NEED = at_most(MAX_CONTROL_MB, OPERATORS_LETTER)
TRAFFIC_NEED = at_most(MAX_CONTROL_BYTES_PER_S, OPERATORS_LETTER)
PURGE_NEED = at_most(MAX_PURGE_S, OPERATORS_LETTER)
CHANGE_NEED = at_most(MAX_CHANGE_S, OPERATORS_LETTER)
ROUTERS_PER_CONTROL_MACHINE = ROUTERS / CONTROL_MACHINES


def control_row(
    number: str,
    kind: Kind,
    what: str,
    unit: str,
    figure: FittedFigure,
    caveat: str,
    mechanism: str,
) -> Row:
    """Return a row of a router's control part without a stated need."""
    return Row(number, Role.CONTROL, kind, what, unit, figure, caveat, mechanism)


def at_full_size(measurement: str, series: str, factor: float = 1.0) -> FittedFigure:
    """Return the fitted figure at `ROUTERS` routers, times `factor`."""
    return FittedFigure(measurement, series, ROUTERS, factor)


MEMBERSHIP_ROWS = (
    control_row(
        "C1",
        Kind.MESSAGES,
        "a death is learnt by the first",
        "s",
        at_full_size("membership", "death learnt by the first"),
        SUSPICION_CAVEAT,
        SWIM,
    ),
    control_row(
        "C2",
        Kind.MESSAGES,
        "a death is learnt by all",
        "s",
        at_full_size("membership", "death learnt by all"),
        SUSPICION_CAVEAT,
        SWIM,
    ),
    Row(
        "C3",
        Role.CONTROL,
        Kind.STATE,
        "well ones suspected, 5 % lost, a tenth slow",
        "an hour and router",
        at_full_size("membership", "well ones suspected"),
        "routers that stand still for over 3 s",
        SWIM,
        at_most(1.0, "docs/peers.md"),
    ),
    control_row(
        "C4",
        Kind.STATE,
        "held for gone falsely, 5 % lost, a tenth slow",
        "an hour and router",
        at_full_size("membership", "held for gone falsely"),
        "as C3",
        SWIM,
    ),
    Row(
        "C5",
        Role.CONTROL,
        Kind.MESSAGES,
        "membership's bytes at rest, said and heard",
        "bytes a second",
        at_full_size("membership", "bytes at rest", SENT_AND_RECEIVED),
        "by design not with R: pings one a second; updates while there are any",
        SWIM,
        TRAFFIC_NEED,
    ),
    Row(
        "C6",
        Role.CONTROL,
        Kind.PROCESSOR,
        "membership at rest (decisions alone)",
        "% of a core",
        at_full_size("membership", "processor at rest"),
        "lists of all members made anew each round and each 3 s",
        SWIM,
        CPU_NEED,
    ),
    Row(
        "C7",
        Role.CONTROL,
        Kind.MEMORY,
        "membership",
        "MB",
        at_full_size("membership", "memory"),
        "none known: a record a member",
        SWIM,
        MEMORY_NEED,
    ),
    Row(
        "C8",
        Role.CONTROL,
        Kind.DESCRIPTORS,
        "peers' sockets",
        "descriptors",
        ComputedFigure(1.0, "one UDP socket for all"),
        "none",
        "`peers/gossip.py`",
    ),
)

VIEW_ROWS = (
    Row(
        "C9",
        Role.CONTROL,
        Kind.STATE,
        "routers that a router's view of load rests on",
        "of all routers",
        at_full_size("view", "coverage"),
        "13 reports a second are heard whatever R is, and count for 10 s: it falls as 1 / R",
        LOAD_REPORTS + "; off by default: aggregators (M1)",
        at_least(0.9, "issue 45, D"),
        affects_decisions=True,
    ),
    Row(
        "C10",
        Role.CONTROL,
        Kind.STATE,
        "age of servers' waits, 95 of 100 servers",
        "s",
        at_full_size("view", "age"),
        "own requests keep it young: 10 a second at each server; long at a router that is asked little",
        LOAD_REPORTS,
        at_most(2.0, "issue 45, D"),
        affects_decisions=True,
    ),
    Row(
        "C11",
        Role.CONTROL,
        Kind.MESSAGES,
        "control in all, said and heard",
        "bytes a second",
        at_full_size("view", "control bytes"),
        "not with R: fixed by the pace of reports",
        LOAD_REPORTS + "; " + SWIM,
        TRAFFIC_NEED,
        affects_decisions=True,
    ),
    Row(
        "C12",
        Role.CONTROL,
        Kind.PROCESSOR,
        "control in all (decisions, encoding)",
        "% of a core",
        at_full_size("view", "control processor"),
        "requests (each is counted) and servers; not R once 13 reports a second come; sockets come on top",
        LOAD_REPORTS + "; " + SWIM,
        CPU_NEED,
        affects_decisions=True,
    ),
    Row(
        "C13",
        Role.CONTROL,
        Kind.MEMORY,
        "control in all",
        "MB",
        at_full_size("view", "memory"),
        "none known: a record a member, and one for each router heard in 10 s",
        LOAD_REPORTS + "; " + SWIM,
        MEMORY_NEED,
        affects_decisions=True,
    ),
)

CUT_ROWS = (
    control_row(
        "C14",
        Kind.MESSAGES,
        "a region cut off for 5 minutes: worst second while it lasts, one router, said and heard",
        "bytes",
        at_full_size("regions", "regions apart: worst second"),
        RECEIVED_BYTES_CAVEAT,
        UPDATE_BUDGET,
    ),
    control_row(
        "C15",
        Kind.MESSAGES,
        "a region back after 5 minutes: until all hold all for alive",
        "s",
        at_full_size("regions", "regions back: one again"),
        "how many are gone at once: each is pinged again in turn",
        "`Prober.probe_gone`, one each 3 s, and refutations: `peers/probing.py`",
    ),
    Row(
        "C16",
        Role.CONTROL,
        Kind.MESSAGES,
        "a region back after 5 minutes: worst second, one router, said and heard",
        "bytes",
        at_full_size("regions", "regions back: worst second"),
        RECEIVED_BYTES_CAVEAT,
        UPDATE_BUDGET,
        TRAFFIC_NEED,
    ),
    control_row(
        "C17",
        Kind.MESSAGES,
        "a region back after 5 minutes: worst second, the mean router, said and heard",
        "bytes",
        at_full_size("regions", "regions back: worst second, mean"),
        "as C16",
        SWIM,
    ),
)


def failure_rows(number: int, case: str, what: str) -> tuple[Row, Row, Row]:
    """Return the three rows of a failure: messages, time until all routers know, and worst second.

    Args:
        number: Number of the failure in the rows' labels.
        case: Prefix of the names of its series in the measurement "failures".
        what: Description of the failure.
    """
    return (
        control_row(
            f"F{number}a",
            Kind.MESSAGES,
            f"{what}: messages that it brings",
            "a router",
            at_full_size("failures", f"{case}: messages"),
            "several failures at once share datagrams",
            SWIM,
        ),
        control_row(
            f"F{number}b",
            Kind.STATE,
            f"{what}: until every router holds what is true",
            "s",
            at_full_size("failures", f"{case}: all know"),
            SUSPICION_CAVEAT,
            SWIM,
        ),
        Row(
            f"F{number}c",
            Role.CONTROL,
            Kind.MESSAGES,
            f"{what}: worst second, one router, said and heard",
            "bytes",
            at_full_size("failures", f"{case}: worst second"),
            RECEIVED_BYTES_CAVEAT,
            UPDATE_BUDGET,
            TRAFFIC_NEED,
        ),
    )


FAILURE_ROWS = (
    *failure_rows(1, "one dies", "a machine fails (5 a day)"),
    *failure_rows(2, "one restarts", "a router restarts (60 a day)"),
    *failure_rows(3, "a rack dies", "a rack or site of 18 routers"),
    *failure_rows(4, "a zone dies", "a zone of 30"),
    *failure_rows(5, "a zone restarts", "a zone starts again together"),
    *failure_rows(6, "a region dies", "a region of 95"),
)

CHANGE_ROWS = (
    Row(
        "C18",
        Role.CONTROL,
        Kind.MESSAGES,
        "purges: until done everywhere, 13 a second",
        "s",
        AbsentFigure(),
        "-",
        NO_MECHANISM,
        PURGE_NEED,
    ),
    Row(
        "C19",
        Role.CONTROL,
        Kind.MESSAGES,
        "13 changes a second as member updates, 1 % lost: until everywhere, the slowest of 100",
        "s",
        at_full_size("membership", "13 changes a second: slowest of 100"),
        "newest first, 29 a datagram: past some rate older ones wait",
        MEMBER_UPDATES,
        PURGE_NEED,
    ),
    Row(
        "C20",
        Role.CONTROL,
        Kind.MESSAGES,
        "of these, not everywhere 30 s later",
        "of all changes",
        at_full_size("membership", "13 changes a second: not everywhere"),
        "as C19: each is passed on so many times, and no one asks for what it missed",
        MEMBER_UPDATES,
    ),
    Row(
        "C21",
        Role.CONTROL,
        Kind.MESSAGES,
        "13 changes a second as member updates: bytes, said and heard",
        "bytes a second",
        at_full_size("membership", "bytes at 13 changes a second", SENT_AND_RECEIVED),
        "a purge names a key: some 40 bytes in place of 8",
        MEMBER_UPDATES,
        TRAFFIC_NEED,
    ),
    Row(
        "C22",
        Role.CONTROL,
        Kind.PROCESSOR,
        "13 changes a second as member updates: decisions alone",
        "% of a core",
        at_full_size("membership", "processor at 13 changes a second"),
        "as C21",
        MEMBER_UPDATES,
        CPU_NEED,
    ),
    control_row(
        "C23",
        Kind.MESSAGES,
        "one change alone, 1 % lost: until everywhere",
        "s",
        at_full_size("membership", "one change everywhere"),
        "as C19",
        MEMBER_UPDATES,
    ),
    Row(
        "C24",
        Role.CONTROL,
        Kind.STATE,
        "purges and changes: known to be done everywhere",
        "-",
        AbsentFigure(),
        "-",
        NO_MECHANISM + ": no router says which version it holds",
        at_least(1.0, OPERATORS_LETTER),
    ),
    Row(
        "C25",
        Role.CONTROL,
        Kind.MESSAGES,
        "configuration: in force everywhere",
        "s",
        AbsentFigure(),
        "-",
        CONFIG_FILE,
        CHANGE_NEED,
    ),
    Row(
        "C31",
        Role.CONTROL,
        Kind.STATE,
        "a router that was cut off: what it may still serve",
        "-",
        TextFigure("what servers hold, by its last list and configuration, without end"),
        "-",
        "routers keep no values: a purge has to be done at the servers and the origin",
    ),
    control_row(
        "C26",
        Kind.PROCESSOR,
        "a configuration with 760 peers is read",
        "ms",
        at_full_size("lists", "configuration read"),
        "classes and tenants come on top",
        CONFIG_FILE,
    ),
    control_row(
        "C27",
        Kind.MESSAGES,
        "850 configurations a day",
        "KB a second",
        at_full_size("lists", "configuration bytes", CHANGES_PER_DAY / SECONDS_PER_DAY),
        "the list of peers is in each",
        CONFIG_FILE,
    ),
    control_row(
        "C28",
        Kind.PROCESSOR,
        "a whole list of 96 servers read",
        "ms",
        FittedFigure("lists", "list read", SERVERS),
        "none known",
        LIST_WATCH,
    ),
    control_row(
        "C29",
        Kind.PROCESSOR,
        "a whole list of 96 servers taken in",
        "ms",
        FittedFigure("lists", "list taken in", SERVERS),
        "slots are ranked anew as they are asked for (P15)",
        "`SlotTable.update`, `policy/slot_table.py`",
    ),
    Row(
        "C30",
        Role.CONTROL,
        Kind.MESSAGES,
        "a change of the list at all routers, over loopback",
        "s",
        at_full_size("service", "all told of a change"),
        "loss: TCP sends again after 0.2 s or more (not played); a silent watch: 4 to 21 s",
        LIST_WATCH,
        CHANGE_NEED,
        affects_decisions=True,
    ),
)

LIST_ROWS = (
    Row(
        "L1",
        Role.LISTS,
        Kind.MESSAGES,
        "calls at rest",
        "a second",
        at_full_size("service", "calls at rest"),
        "a service that is late: watches grow to 20 s, 38 calls a second",
        LIST_WATCH,
    ),
    Row(
        "L2",
        Role.LISTS,
        Kind.MESSAGES,
        "calls that a change of the list brings",
        "calls",
        at_full_size("service", "calls that a change brings"),
        "changes that come together are one call each router",
        LIST_WATCH,
    ),
    Row(
        "L3",
        Role.LISTS,
        Kind.MESSAGES,
        "all routers of a zone start together: calls",
        "calls",
        ComputedFigure(
            ROUTERS_PER_ZONE, "760 / 25, one watch each; no whole list is asked for where one is known"
        ),
        "none is known after a machine is replaced: a whole list each (L5)",
        LIST_WATCH,
    ),
    Row(
        "L4",
        Role.LISTS,
        Kind.STATE,
        "the whole list",
        "KB",
        FittedFigure("lists", "list bytes", SERVERS),
        "longer names",
        LIST_WATCH,
    ),
    Row(
        "L5",
        Role.LISTS,
        Kind.MEMORY,
        "whole lists for all routers at once",
        "MB",
        FittedFigure("lists", "list bytes", SERVERS, ROUTERS / 1e3),
        "compression; one body for all in place of one each",
        LIST_WATCH,
    ),
    Row(
        "L6",
        Role.LISTS,
        Kind.DESCRIPTORS,
        "connections",
        "descriptors",
        ComputedFigure(float(ROUTERS), "one a router; two while a call for the whole list runs beside it"),
        "routers that move to another address hold two",
        LIST_WATCH,
    ),
    Row(
        "L7",
        Role.LISTS,
        Kind.PROCESSOR,
        "a call",
        "-",
        UnknownFigure("U4"),
        "-",
        "the service is not ours",
    ),
)

AGGREGATION = "`peers/aggregator.py`, off unless the configuration names aggregators"


def aggregator_row(
    number: str,
    kind: Kind,
    what: str,
    unit: str,
    series: str,
    caveat: str,
    need: Need | None = None,
) -> Row:
    """Return a row of one of the four aggregators; `series` is of the measurement "aggregation"."""
    figure = at_full_size("aggregation", series)
    return Row(number, Role.MACHINES, kind, what, unit, figure, caveat, AGGREGATION, need)


MACHINE_ROWS = (
    aggregator_row(
        "M1",
        Kind.STATE,
        "routers that its merged view rests on",
        "of all routers",
        "aggregator coverage",
        "reports that are lost for 3 s; routers that can't reach it",
        at_least(0.9, "issue 45, D"),
    ),
    aggregator_row(
        "M2",
        Kind.PROCESSOR,
        "reports taken, merged and answered at one of four",
        "% of a core",
        "aggregator processor",
        "one of the four out: 4/3 of the direct ones; the kernel's cost comes on top",
        at_most(100.0, "issue 45, D: one core"),
    ),
    aggregator_row(
        "M3",
        Kind.MESSAGES,
        "bytes that one of four hears",
        "KB a second",
        "aggregator hears",
        "every report comes to every aggregator, direct or forwarded: not with their number",
    ),
    aggregator_row(
        "M4",
        Kind.MESSAGES,
        "bytes that it sends",
        "KB a second",
        "aggregator sends",
        "servers and slots in the view: five datagrams here",
    ),
    aggregator_row(
        "M5",
        Kind.MEMORY,
        "its tables",
        "MB",
        "aggregator memory",
        "none known: a report for each router and source",
    ),
    Row(
        "M6",
        Role.MACHINES,
        Kind.MESSAGES,
        "were purges sent from the four: from each",
        "KB a second",
        ComputedFigure(
            PURGES_PER_S * ROUTERS_PER_CONTROL_MACHINE * MAX_BYTES / 1e3, "13 x 760 / 4 x 256 bytes"
        ),
        "several purges a datagram; repeats for what is lost (1 %)",
        NO_MECHANISM,
    ),
    Row(
        "M7",
        Role.MACHINES,
        Kind.MESSAGES,
        "were configurations sent from them: from each, a change within 5 s",
        "KB a second",
        at_full_size("lists", "configuration bytes", ROUTERS_PER_CONTROL_MACHINE / MAX_CHANGE_S),
        "differences in place of whole ones",
        NO_MECHANISM,
    ),
    Row(
        "M8",
        Role.MACHINES,
        Kind.STATE,
        "purges and versions of configuration, and which router has which",
        "-",
        AbsentFigure(),
        "-",
        NO_MECHANISM,
        at_least(1.0, OPERATORS_LETTER),
    ),
    Row(
        "M9",
        Role.MACHINES,
        Kind.DESCRIPTORS,
        "peers' sockets",
        "descriptors",
        ComputedFigure(1.0, "one UDP socket for all"),
        "TCP to each router were 190",
        "`peers/gossip.py`",
    ),
)

CONTROL_ROWS = (
    *MEMBERSHIP_ROWS,
    *VIEW_ROWS,
    *CUT_ROWS,
    *FAILURE_ROWS,
    *CHANGE_ROWS,
    *LIST_ROWS,
    *MACHINE_ROWS,
)
