"""`holdgw fleet-log`: what all routers of a play did, second by second, from their logs."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer
from rich.console import Console
from rich.table import Table

from holdgw.cli.common import UsageError
from holdgw.operation.fleet_log import FleetLog, Second
from holdgw.operation.interval_counters import LOG_LINE_PREFIX


def fleet_log(
    folder: Annotated[Path, typer.Argument(help="The folder with the routers' logs.")],
    step: Annotated[float, typer.Option(min=0.1, help="Seconds a row.")] = 1.0,
    servers: Annotated[bool, typer.Option(help="The servers that were sent the most, row by row.")] = False,
    everything: Annotated[bool, typer.Option("--all", help="Counts of any size.")] = False,
) -> int:
    """Merge the tallies that routers log where HOLDGW_TALLY is set."""
    paths = sorted(path for path in folder.glob("*") if path.is_file()) if folder.is_dir() else []
    if not paths:
        raise UsageError(f"{folder}: holds no logs")
    log = FleetLog(step)
    for path in paths:
        log.read(path.name, path.read_text(errors="replace"))
    if not log.seconds:
        raise UsageError(
            f"{folder}: no line has a tally ({LOG_LINE_PREFIX.strip()!r}); set HOLDGW_TALLY for the routers"
        )
    console = Console(width=220, highlight=False)
    rows = [log.seconds[at] for at in sorted(log.seconds)]
    names = [name for name, much in log.totals().items() if everything or much >= len(rows)]
    for part in (names[i : i + 14] for i in range(0, len(names), 14)):
        console.print(_table(part, rows))
    console.print(_table(log.state_names(), rows, states=True))
    if servers:
        for row in rows:
            most = ", ".join(f"{name} {a}/{b}/{c}" for name, (a, b, c) in row.busiest(8))
            console.print(f"{row.at:6.1f} sent/late/unanswered: {most}")
    if log.unread:
        console.print(f"{log.unread} lines could not be read")
    return 0


def _table(names: list[str], rows: list[Second], states: bool = False) -> Table:
    table = Table(box=None, pad_edge=False)
    table.add_column("s", justify="right")
    table.add_column("routers", justify="right")
    for name in names:
        table.add_column(name, justify="right", overflow="fold")
    for row in rows:
        held = row.states if states else row.counts
        cells = (f"{held[name]:.4g}" if held.get(name) else "" for name in names)
        table.add_row(f"{row.at:.1f}", str(len(row.routers)), *cells)
    return table
