"""`holdgw fleet-log`: the interval counters of all routers of a run, merged from their logs."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer
from rich.console import Console
from rich.table import Table

from holdgw.cli.common import UsageError
from holdgw.operation.fleet_log import FleetLog, Interval
from holdgw.operation.interval_counters import LOG_LINE_PREFIX

CONSOLE_COLUMNS = 220
TABLE_COLUMNS = 14  # counters that one table has columns for; further ones get tables of their own
BUSIEST_ENDPOINTS = 8


def fleet_log(
    folder: Annotated[Path, typer.Argument(help="The folder with the routers' logs.")],
    step: Annotated[float, typer.Option(min=0.1, help="Seconds covered by a row.")] = 1.0,
    servers: Annotated[
        bool, typer.Option(help="Also list, for each row, the servers with the most attempts.")
    ] = False,
    everything: Annotated[bool, typer.Option("--all", help="Show counts of any size.")] = False,
) -> int:
    """Merge the interval counters that routers log if HOLDGW_TALLY is set."""
    log = _read_logs(folder, step)
    console = Console(width=CONSOLE_COLUMNS, highlight=False)
    rows = [log.intervals[start_s] for start_s in sorted(log.intervals)]
    names = [name for name, total in log.totals().items() if everything or total >= len(rows)]
    for start in range(0, len(names), TABLE_COLUMNS):
        console.print(_table(names[start : start + TABLE_COLUMNS], rows))
    console.print(_table(log.state_names(), rows, states=True))
    if servers:
        for row in rows:
            console.print(_busiest_endpoints_line(row))
    if log.malformed_lines:
        console.print(f"{log.malformed_lines} lines could not be read")
    return 0


def _read_logs(folder: Path, interval_s: float) -> FleetLog:
    """Read every file in the folder; raises UsageError if there is no record."""
    paths = sorted(path for path in folder.glob("*") if path.is_file()) if folder.is_dir() else []
    if not paths:
        raise UsageError(f"{folder}: holds no logs")
    log = FleetLog(interval_s)
    for path in paths:
        log.read(path.name, path.read_text(errors="replace"))
    if not log.intervals:
        raise UsageError(
            f"{folder}: no line has a tally ({LOG_LINE_PREFIX.strip()!r}); set HOLDGW_TALLY for the routers"
        )
    return log


def _busiest_endpoints_line(row: Interval) -> str:
    busiest = row.busiest(BUSIEST_ENDPOINTS)
    counts = ", ".join(f"{name} {sent}/{late}/{unanswered}" for name, (sent, late, unanswered) in busiest)
    return f"{row.start_s:6.1f} sent/late/unanswered: {counts}"


def _table(names: list[str], rows: list[Interval], states: bool = False) -> Table:
    table = Table(box=None, pad_edge=False)
    table.add_column("s", justify="right")
    table.add_column("routers", justify="right")
    for name in names:
        table.add_column(name, justify="right", overflow="fold")
    for row in rows:
        values = row.states if states else row.counts
        cells = (f"{values[name]:.4g}" if values.get(name) else "" for name in names)
        table.add_row(f"{row.start_s:.1f}", str(len(row.routers)), *cells)
    return table
