"""Prints the report of a run on the terminal."""

from __future__ import annotations

from typing import Any

from rich.console import Console
from rich.table import Table

from holdgw.harness.report import Report

FILE_WIDTH = 140  # columns, where the output is not a terminal
MAX_UNEXPECTED_SHOWN = 5
MAX_BROKEN_SHOWN = 20
MAX_NODES_SHOWN = 8
COLUMNS = ("asked", "in_aim", "served", "refused", "failed", "service", "p50_ms", "p99_ms")
WINDOW_COLUMNS = (
    "asked",
    "in_aim",
    "refused",
    "failed",
    "service",
    "p99_ms",
    "origin_fetches",
    "attempts",
    "router_skew",
)
ROUTER_COLUMNS = ("asked", "memory_mb", "memory_mb_end", "descriptors", "cpu_share", "starts")
NODE_COLUMNS = ("attempts", "hit", "miss", "pending", "busy", "gone", "spoilt", "work_s")


def print_report(report: Report) -> None:
    """Print the service, tables by request class, window, router and node, and the broken rules."""
    console = Console(highlight=False)
    if not console.is_terminal:
        console.width = FILE_WIDTH
    _print_totals(console, report)
    body = report.body
    for group in ("classes", "tenants", "sources"):
        if len(body[group]) > 1 or group == "classes":
            console.print(_group_table(group, body[group]))
    console.print(_window_table(body["windows"]))
    console.print(_router_table(body["routers"]))
    console.print(_node_table(body["nodes"]))
    for fault in body["troubles"]:
        console.print(f"{fault['at']:6.1f} s  {fault['text']}")
    _print_machine(console, body)
    _print_verdict(console, body)


def _print_totals(console: Console, report: Report) -> None:
    body = report.body
    parts = report.service
    console.print(
        f"[bold]{body['scenario']}[/], seed {body['seed']}: service [bold]{body['service']:.3f}[/] "
        f"(whole {parts.whole:.3f}, worst 10 s {parts.worst_window:.3f} from {parts.worst_window_at:g} s, "
        f"worst class {parts.worst_class[0]} {parts.worst_class[1]:.3f}, "
        f"worst tenant {parts.worst_tenant[0]} {parts.worst_tenant[1]:.3f}, "
        f"taken off {sum(parts.deductions.values()):.3f})"
    )
    console.print(
        f"asked {body['asked']}, in aim {body['in_aim']}, served {body['served']}, "
        f"refused {body['refused']}, failed {body['failed']}; "
        f"p50 {body['p50_ms']:g} ms, p99 {body['p99_ms']:g} ms; "
        f"{body['attempts']} attempts, {body['origin_fetches']} fetches from the package store"
    )


def _print_machine(console: Console, body: dict[str, Any]) -> None:
    """Print the emulator's lag and the processes' use of the machine."""
    lag = body["emulator"]
    console.print(
        f"emulator: lag p99 {lag['p99_ms']:g} ms, worst {lag['worst_ms']:g} ms "
        f"({lag['worker']}, {lag['worst_at']:g} s)"
    )
    lab = body["laboratory"]
    console.print(
        f"laboratory: {lab['processes']} processes, routers {lab['routers_memory_mb']} MB, all ready after "
        f"{lab['start_s']['all']:g} s; one waited {lab['waited_for_a_core_s']['worst']:g} s for a core; "
        f"{body['starved']} requests lost for that"
    )


def _print_verdict(console: Console, body: dict[str, Any]) -> None:
    for unexpected in body["odd"][:MAX_UNEXPECTED_SHOWN]:
        console.print(f"odd: {unexpected['at']:.3f} s {unexpected['server']}: {unexpected['text']}")
    for broken in body["broken"][:MAX_BROKEN_SHOWN]:
        ids = " ".join(broken["requests"])
        console.print(f"[red]broken: {broken['rule']}[/] at {broken['at']:.3f} s {ids}: {broken['text']}")
    rules = ", ".join(f"{name} {number}" for name, number in body["rules"].items())
    if body["void"]:
        console.print(f"[red]void: {body['void']}; nothing is judged[/] ({rules})")
    else:
        console.print(f"rules: {rules}")


def _empty_table(first: str, columns: tuple[str, ...]) -> Table:
    table = Table(box=None, pad_edge=False, header_style="bold")
    table.add_column(first)
    for column in columns:
        table.add_column(column.replace("_", " "), justify="right")
    return table


def _group_table(group: str, rows: dict[str, Any]) -> Table:
    table = _empty_table(group, COLUMNS)
    for name, row in rows.items():
        table.add_row(name, *(str(row[column]) for column in COLUMNS))
    return table


def _window_table(rows: list[dict[str, Any]]) -> Table:
    table = _empty_table("second", (*WINDOW_COLUMNS, "missing"))
    for row in rows:
        missing = " ".join(f"{name} {number}" for name, number in sorted(row["missing"].items()))
        table.add_row(f"{row['at']:g}", *(str(row[column]) for column in WINDOW_COLUMNS), missing)
    return table


def _router_table(rows: dict[str, Any]) -> Table:
    table = _empty_table("router", ROUTER_COLUMNS)
    for name, row in rows.items():
        table.add_row(name, *(str(row.get(column, "-")) for column in ROUTER_COLUMNS))
    return table


def _node_table(rows: dict[str, Any]) -> Table:
    """A table of the nodes with the most and the least work."""
    table = _empty_table("node", NODE_COLUMNS)
    ordered = sorted(rows.items(), key=lambda pair: -pair[1]["work_s"])
    shown = (
        ordered
        if len(ordered) <= MAX_NODES_SHOWN
        else [*ordered[: MAX_NODES_SHOWN // 2], *ordered[-MAX_NODES_SHOWN // 2 :]]
    )
    for name, row in shown:
        table.add_row(name, *(str(row.get(column, 0)) for column in NODE_COLUMNS))
    return table
