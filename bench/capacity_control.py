"""Rows of docs/CAPACITY.md: a router's control part, the list service, and the four control machines."""

from __future__ import annotations

from bench.capacity_model import Need
from bench.capacity_rows import (
    CHANGE_S,
    CHANGES_A_DAY,
    CONTROL_BYTES,
    CONTROL_MB,
    CONTROL_PERCENT,
    DAY_S,
    LETTER,
    MACHINES,
    PURGE_S,
    PURGES_PER_S,
    ROUTERS,
    SERVERS,
    ZONE_ROUTERS,
    Absent,
    Given,
    Kind,
    Read,
    Role,
    Row,
    Said,
    Untold,
    at_least,
    at_most,
)
from holdgw.peers.datagram import MAX_BYTES

BOTH_WAYS = 2.0  # what a router says, others hear: as much in the mean
SWIM = "SWIM with local health: `peers/membership.py`"
VIEW = "load reports to 4 others each 0.3 s: `peers/gossip.py`, `peers/load_view.py`"
WATCH = "watches of 3 s where the service has room, 20 s at most: `router/watch_timeout.py`"
FILE = "a file and SIGHUP: `router/config.py`, `router/program.py`; nothing brings the file"
UPDATES = "nothing; measured as if spread as member updates: `peers/update_queue.py`"
NOTHING = "nothing"
BUDGET = (
    "a budget for updates, bitmaps for many of them: `peers/update_budget.py`, `peers/compact_updates.py`"
)
HEARD_BENDS = "what is said is bounded (`peer_update_bytes`); who hears how much goes by chance"
SUSPICION_BENDS = "loss, slow routers; a suspicion's time grows with log10 of R by design"
PERCENT = at_most(CONTROL_PERCENT, LETTER)
MEGABYTES = at_most(CONTROL_MB, LETTER)
BYTES = at_most(CONTROL_BYTES, LETTER)
PURGED = at_most(PURGE_S, LETTER)
CHANGED = at_most(CHANGE_S, LETTER)
A_MACHINES_ROUTERS = ROUTERS / MACHINES


def control(
    number: str,
    kind: Kind,
    what: str,
    unit: str,
    figure: Read,
    bends: str,
    carried_by: str,
) -> Row:
    """A row of the control part with no stated need."""
    return Row(number, Role.CONTROL, kind, what, unit, figure, bends, carried_by)


def at_all(measurement: str, series: str, times: float = 1.0) -> Read:
    """A figure at 760 routers."""
    return Read(measurement, series, ROUTERS, times)


MEMBERSHIP_ROWS = (
    control(
        "C1",
        Kind.MESSAGES,
        "a death is learnt by the first",
        "s",
        at_all("membership", "death learnt by the first"),
        SUSPICION_BENDS,
        SWIM,
    ),
    control(
        "C2",
        Kind.MESSAGES,
        "a death is learnt by all",
        "s",
        at_all("membership", "death learnt by all"),
        SUSPICION_BENDS,
        SWIM,
    ),
    Row(
        "C3",
        Role.CONTROL,
        Kind.STATE,
        "well ones suspected, 5 % lost, a tenth slow",
        "an hour and router",
        at_all("membership", "well ones suspected"),
        "routers that stand still for over 3 s",
        SWIM,
        at_most(1.0, "docs/peers.md"),
    ),
    control(
        "C4",
        Kind.STATE,
        "held for gone falsely, 5 % lost, a tenth slow",
        "an hour and router",
        at_all("membership", "held for gone falsely"),
        "as C3",
        SWIM,
    ),
    Row(
        "C5",
        Role.CONTROL,
        Kind.MESSAGES,
        "membership's bytes at rest, said and heard",
        "bytes a second",
        at_all("membership", "bytes at rest", BOTH_WAYS),
        "by design not with R: pings one a second; updates while there are any",
        SWIM,
        BYTES,
    ),
    Row(
        "C6",
        Role.CONTROL,
        Kind.PROCESSOR,
        "membership at rest (decisions alone)",
        "% of a core",
        at_all("membership", "processor at rest"),
        "lists of all members made anew each round and each 3 s",
        SWIM,
        PERCENT,
    ),
    Row(
        "C7",
        Role.CONTROL,
        Kind.MEMORY,
        "membership",
        "MB",
        at_all("membership", "memory"),
        "none known: a record a member",
        SWIM,
        MEGABYTES,
    ),
    Row(
        "C8",
        Role.CONTROL,
        Kind.DESCRIPTORS,
        "peers' sockets",
        "descriptors",
        Given(1.0, "one UDP socket for all"),
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
        at_all("view", "coverage"),
        "13 reports a second are heard whatever R is, and count for 10 s: it falls as 1 / R",
        VIEW + "; off by default: aggregators (M1)",
        at_least(0.9, "issue 45, D"),
        decides=True,
    ),
    Row(
        "C10",
        Role.CONTROL,
        Kind.STATE,
        "age of servers' waits, 95 of 100 servers",
        "s",
        at_all("view", "age"),
        "own requests keep it young: 10 a second at each server; long at a router that is asked little",
        VIEW,
        at_most(2.0, "issue 45, D"),
        decides=True,
    ),
    Row(
        "C11",
        Role.CONTROL,
        Kind.MESSAGES,
        "control in all, said and heard",
        "bytes a second",
        at_all("view", "control bytes"),
        "not with R: fixed by the pace of reports",
        VIEW + "; " + SWIM,
        BYTES,
        decides=True,
    ),
    Row(
        "C12",
        Role.CONTROL,
        Kind.PROCESSOR,
        "control in all (decisions, encoding)",
        "% of a core",
        at_all("view", "control processor"),
        "requests (each is counted) and servers; not R once 13 reports a second come; sockets come on top",
        VIEW + "; " + SWIM,
        PERCENT,
        decides=True,
    ),
    Row(
        "C13",
        Role.CONTROL,
        Kind.MEMORY,
        "control in all",
        "MB",
        at_all("view", "memory"),
        "none known: a record a member, and one for each router heard in 10 s",
        VIEW + "; " + SWIM,
        MEGABYTES,
        decides=True,
    ),
)

CUT_ROWS = (
    control(
        "C14",
        Kind.MESSAGES,
        "a region cut off for 5 minutes: worst second while it lasts, one router, said and heard",
        "bytes",
        at_all("regions", "regions apart: worst second"),
        HEARD_BENDS,
        BUDGET,
    ),
    control(
        "C15",
        Kind.MESSAGES,
        "a region back after 5 minutes: until all hold all for alive",
        "s",
        at_all("regions", "regions back: one again"),
        "how many are gone at once: each is pinged again in turn",
        "`Prober.probe_gone`, one each 3 s, and refutations: `peers/probing.py`",
    ),
    Row(
        "C16",
        Role.CONTROL,
        Kind.MESSAGES,
        "a region back after 5 minutes: worst second, one router, said and heard",
        "bytes",
        at_all("regions", "regions back: worst second"),
        HEARD_BENDS,
        BUDGET,
        BYTES,
    ),
    control(
        "C17",
        Kind.MESSAGES,
        "a region back after 5 minutes: worst second, the mean router, said and heard",
        "bytes",
        at_all("regions", "regions back: worst second, mean"),
        "as C16",
        SWIM,
    ),
)


def failure(number: int, case: str, what: str) -> tuple[Row, Row, Row]:
    """The three rows of a failure."""
    return (
        control(
            f"F{number}a",
            Kind.MESSAGES,
            f"{what}: messages that it brings",
            "a router",
            at_all("failures", f"{case}: messages"),
            "several failures at once share datagrams",
            SWIM,
        ),
        control(
            f"F{number}b",
            Kind.STATE,
            f"{what}: until every router holds what is true",
            "s",
            at_all("failures", f"{case}: all know"),
            SUSPICION_BENDS,
            SWIM,
        ),
        Row(
            f"F{number}c",
            Role.CONTROL,
            Kind.MESSAGES,
            f"{what}: worst second, one router, said and heard",
            "bytes",
            at_all("failures", f"{case}: worst second"),
            HEARD_BENDS,
            BUDGET,
            BYTES,
        ),
    )


FAILURE_ROWS = (
    *failure(1, "one dies", "a machine fails (5 a day)"),
    *failure(2, "one restarts", "a router restarts (60 a day)"),
    *failure(3, "a rack dies", "a rack or site of 18 routers"),
    *failure(4, "a zone dies", "a zone of 30"),
    *failure(5, "a zone restarts", "a zone starts again together"),
    *failure(6, "a region dies", "a region of 95"),
)

CHANGE_ROWS = (
    Row(
        "C18",
        Role.CONTROL,
        Kind.MESSAGES,
        "purges: until done everywhere, 13 a second",
        "s",
        Absent(),
        "-",
        NOTHING,
        PURGED,
    ),
    Row(
        "C19",
        Role.CONTROL,
        Kind.MESSAGES,
        "13 changes a second as member updates, 1 % lost: until everywhere, the slowest of 100",
        "s",
        at_all("membership", "13 changes a second: slowest of 100"),
        "newest first, 29 a datagram: past some rate older ones wait",
        UPDATES,
        PURGED,
    ),
    Row(
        "C20",
        Role.CONTROL,
        Kind.MESSAGES,
        "of these, not everywhere 30 s later",
        "of all changes",
        at_all("membership", "13 changes a second: not everywhere"),
        "as C19: each is passed on so many times, and no one asks for what it missed",
        UPDATES,
    ),
    Row(
        "C21",
        Role.CONTROL,
        Kind.MESSAGES,
        "13 changes a second as member updates: bytes, said and heard",
        "bytes a second",
        at_all("membership", "bytes at 13 changes a second", BOTH_WAYS),
        "a purge names a key: some 40 bytes in place of 8",
        UPDATES,
        BYTES,
    ),
    Row(
        "C22",
        Role.CONTROL,
        Kind.PROCESSOR,
        "13 changes a second as member updates: decisions alone",
        "% of a core",
        at_all("membership", "processor at 13 changes a second"),
        "as C21",
        UPDATES,
        PERCENT,
    ),
    control(
        "C23",
        Kind.MESSAGES,
        "one change alone, 1 % lost: until everywhere",
        "s",
        at_all("membership", "one change everywhere"),
        "as C19",
        UPDATES,
    ),
    Row(
        "C24",
        Role.CONTROL,
        Kind.STATE,
        "purges and changes: known to be done everywhere",
        "-",
        Absent(),
        "-",
        NOTHING + ": no router says which version it holds",
        at_least(1.0, LETTER),
    ),
    Row(
        "C25",
        Role.CONTROL,
        Kind.MESSAGES,
        "configuration: in force everywhere",
        "s",
        Absent(),
        "-",
        FILE,
        CHANGED,
    ),
    Row(
        "C31",
        Role.CONTROL,
        Kind.STATE,
        "a router that was cut off: what it may still serve",
        "-",
        Said("what servers hold, by its last list and configuration, without end"),
        "-",
        "routers keep no values: a purge has to be done at the servers and the origin",
    ),
    control(
        "C26",
        Kind.PROCESSOR,
        "a configuration with 760 peers is read",
        "ms",
        at_all("lists", "configuration read"),
        "classes and tenants come on top",
        FILE,
    ),
    control(
        "C27",
        Kind.MESSAGES,
        "850 configurations a day",
        "KB a second",
        at_all("lists", "configuration bytes", CHANGES_A_DAY / DAY_S),
        "the list of peers is in each",
        FILE,
    ),
    control(
        "C28",
        Kind.PROCESSOR,
        "a whole list of 96 servers read",
        "ms",
        Read("lists", "list read", SERVERS),
        "none known",
        WATCH,
    ),
    control(
        "C29",
        Kind.PROCESSOR,
        "a whole list of 96 servers taken in",
        "ms",
        Read("lists", "list taken in", SERVERS),
        "slots are ranked anew as they are asked for (P15)",
        "`SlotTable.update`, `policy/slot_table.py`",
    ),
    Row(
        "C30",
        Role.CONTROL,
        Kind.MESSAGES,
        "a change of the list at all routers, over loopback",
        "s",
        at_all("service", "all told of a change"),
        "loss: TCP sends again after 0.2 s or more (not played); a silent watch: 4 to 21 s",
        WATCH,
        CHANGED,
        decides=True,
    ),
)

LIST_ROWS = (
    Row(
        "L1",
        Role.LISTS,
        Kind.MESSAGES,
        "calls at rest",
        "a second",
        at_all("service", "calls at rest"),
        "a service that is late: watches grow to 20 s, 38 calls a second",
        WATCH,
    ),
    Row(
        "L2",
        Role.LISTS,
        Kind.MESSAGES,
        "calls that a change of the list brings",
        "calls",
        at_all("service", "calls that a change brings"),
        "changes that come together are one call each router",
        WATCH,
    ),
    Row(
        "L3",
        Role.LISTS,
        Kind.MESSAGES,
        "all routers of a zone start together: calls",
        "calls",
        Given(ZONE_ROUTERS, "760 / 25, one watch each; no whole list is asked for where one is known"),
        "none is known after a machine is replaced: a whole list each (L5)",
        WATCH,
    ),
    Row(
        "L4",
        Role.LISTS,
        Kind.STATE,
        "the whole list",
        "KB",
        Read("lists", "list bytes", SERVERS),
        "longer names",
        WATCH,
    ),
    Row(
        "L5",
        Role.LISTS,
        Kind.MEMORY,
        "whole lists for all routers at once",
        "MB",
        Read("lists", "list bytes", SERVERS, ROUTERS / 1e3),
        "compression; one body for all in place of one each",
        WATCH,
    ),
    Row(
        "L6",
        Role.LISTS,
        Kind.DESCRIPTORS,
        "connections",
        "descriptors",
        Given(float(ROUTERS), "one a router; two while a call for the whole list runs beside it"),
        "routers that move to another address hold two",
        WATCH,
    ),
    Row(
        "L7",
        Role.LISTS,
        Kind.PROCESSOR,
        "a call",
        "-",
        Untold("U4"),
        "-",
        "the service is not ours",
    ),
)

AGGREGATION = "`peers/aggregator.py`, off unless the configuration names aggregators"


def machine(
    number: str,
    kind: Kind,
    what: str,
    unit: str,
    series: str,
    bends: str,
    need: Need | None = None,
) -> Row:
    """A row of one of four aggregators."""
    figure = at_all("aggregation", series)
    return Row(number, Role.MACHINES, kind, what, unit, figure, bends, AGGREGATION, need)


MACHINE_ROWS = (
    machine(
        "M1",
        Kind.STATE,
        "routers that its merged view rests on",
        "of all routers",
        "aggregator coverage",
        "reports that are lost for 3 s; routers that can't reach it",
        at_least(0.9, "issue 45, D"),
    ),
    machine(
        "M2",
        Kind.PROCESSOR,
        "reports taken, merged and answered at one of four",
        "% of a core",
        "aggregator processor",
        "one of the four out: 4/3 of the direct ones; the kernel's cost comes on top",
        at_most(100.0, "issue 45, D: one core"),
    ),
    machine(
        "M3",
        Kind.MESSAGES,
        "bytes that one of four hears",
        "KB a second",
        "aggregator hears",
        "every report comes to every aggregator, direct or forwarded: not with their number",
    ),
    machine(
        "M4",
        Kind.MESSAGES,
        "bytes that it sends",
        "KB a second",
        "aggregator sends",
        "servers and slots in the view: five datagrams here",
    ),
    machine(
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
        Given(PURGES_PER_S * A_MACHINES_ROUTERS * MAX_BYTES / 1e3, "13 x 760 / 4 x 256 bytes"),
        "several purges a datagram; repeats for what is lost (1 %)",
        NOTHING,
    ),
    Row(
        "M7",
        Role.MACHINES,
        Kind.MESSAGES,
        "were configurations sent from them: from each, a change within 5 s",
        "KB a second",
        at_all("lists", "configuration bytes", A_MACHINES_ROUTERS / CHANGE_S),
        "differences in place of whole ones",
        NOTHING,
    ),
    Row(
        "M8",
        Role.MACHINES,
        Kind.STATE,
        "purges and versions of configuration, and which router has which",
        "-",
        Absent(),
        "-",
        NOTHING,
        at_least(1.0, LETTER),
    ),
    Row(
        "M9",
        Role.MACHINES,
        Kind.DESCRIPTORS,
        "peers' sockets",
        "descriptors",
        Given(1.0, "one UDP socket for all"),
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
