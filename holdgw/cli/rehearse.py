"""`holdgw rehearse` and `holdgw scenarios`: a day on real sockets, and its report on the terminal."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Annotated, Any

import orjson
import typer
import uvloop
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn
from rich.table import Table

from holdgw.cli.common import FAILED, INTERRUPTED, UsageError, folder_is_there
from holdgw.harness.deployment import build, run_command
from holdgw.harness.html_report import render
from holdgw.harness.orchestrator import HarnessError, Orchestrator, RunResult, play
from holdgw.harness.report import Report, make_report
from holdgw.harness.scenario import load_scenario, shipped
from holdgw.harness.schedule import Schedule
from holdgw.harness.schedule_drawing import draw_schedule

FILE_WIDTH = 140  # columns of a report that goes to no terminal


def scenarios() -> None:
    """List the scenarios that come with holdgw."""
    for name in shipped():
        print(f"{name:18} {load_scenario(name).about}")


def rehearse(
    file: Annotated[str, typer.Argument(help="A scenario file, or the name of a shipped one.")],
    seed: Annotated[int | None, typer.Option(help="Another day of the same scenario.")] = None,
    seconds: Annotated[float | None, typer.Option("--for", help="End the day after so many seconds.")] = None,
    json: Annotated[Path | None, typer.Option(help="Write the report there.")] = None,
    html: Annotated[Path | None, typer.Option(help="Write a page with plots there.")] = None,
    deploy: Annotated[Path, typer.Option(help="The deploy file that names `run`.")] = Path(
        "deploy/balancer.toml"
    ),
    logs: Annotated[Path | None, typer.Option(help="Keep the routers' logs in this folder.")] = None,
) -> None:
    """Play a scenario: real routers amid a whole fleet of stand-ins on loopback.

    Exit code 0: the rules were kept; 1: one was broken; 2: something given can't be used; 3: the emulator was
    late and the run is void; 4: the day could not be played to its end.
    """
    scenario = load_scenario(file)
    if seconds is not None:
        if seconds <= 0:
            raise UsageError(f"--for: expected a number of seconds above 0, got {seconds:g}")
        scenario = scenario.cut(seconds)
    if why := scenario.not_on_sockets():
        raise UsageError(f"{file}: {why}")
    for path in (json, html):
        folder_is_there(path)
    command = run_command(deploy)
    build(deploy)
    root = deploy.absolute().parent.parent
    day = draw_schedule(scenario, scenario.seed if seed is None else seed)
    console = Console(stderr=True)
    try:
        played = _play(day, command, root, console, logs)
    except (asyncio.CancelledError, KeyboardInterrupt):
        console.print("interrupted; every process that was started is ended")
        raise typer.Exit(INTERRUPTED) from None
    except HarnessError as error:
        print(f"holdgw: the day could not be played: {error}", file=sys.stderr)
        raise typer.Exit(FAILED) from None
    report = make_report(played)
    if json is not None:
        json.write_bytes(orjson.dumps(report.body, option=orjson.OPT_INDENT_2))
    if html is not None:
        html.write_text(render(report, played.usage, played.begun))
    _print(report)
    raise typer.Exit(report.exit_code)


def _play(day: Schedule, command: str, root: Path, console: Console, logs: Path | None) -> RunResult:
    columns = (
        TextColumn("{task.description}"),
        BarColumn(),
        TimeElapsedColumn(),
        TextColumn("{task.fields[told]}"),
    )
    with Progress(*columns, console=console, transient=True) as progress:
        bar = progress.add_task(day.scenario.name, total=day.scenario.length_s, told="starting")

        def show(stage: Orchestrator, at: float) -> None:
            tally = stage.tally()
            over = tally.served + tally.refused + tally.failed
            share = f"{tally.in_aim / over:.1%}" if over else "-"
            told = (
                f"asked {tally.asked}  in aim {share}  refused {tally.refused}  failed {tally.failed}"
                f"  felled {stage.felled}"
            )
            progress.update(bar, completed=max(at, 0.0), told=told)

        return uvloop.run(play(day, command, root, show, logs))


def _print(report: Report) -> None:
    console = Console(highlight=False)
    if not console.is_terminal:
        console.width = FILE_WIDTH
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
    for group in ("classes", "tenants", "sources"):
        if len(body[group]) > 1 or group == "classes":
            console.print(_group(group, body[group]))
    console.print(_windows(body["windows"]))
    console.print(_routers(body["routers"]))
    console.print(_nodes(body["nodes"]))
    for mark in body["troubles"]:
        console.print(f"{mark['at']:6.1f} s  {mark['text']}")
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
    for odd in body["odd"][:5]:
        console.print(f"odd: {odd['at']:.3f} s {odd['server']}: {odd['text']}")
    for one in body["broken"][:20]:
        ids = " ".join(one["requests"])
        console.print(f"[red]broken: {one['rule']}[/] at {one['at']:.3f} s {ids}: {one['text']}")
    rules = ", ".join(f"{name} {number}" for name, number in body["rules"].items())
    if body["void"]:
        console.print(f"[red]void: {body['void']}; nothing is judged[/] ({rules})")
    else:
        console.print(f"rules: {rules}")


COLUMNS = ("asked", "in_aim", "served", "refused", "failed", "service", "p50_ms", "p99_ms")


def _table(first: str, columns: tuple[str, ...]) -> Table:
    table = Table(box=None, pad_edge=False, header_style="bold")
    table.add_column(first)
    for column in columns:
        table.add_column(column.replace("_", " "), justify="right")
    return table


def _group(group: str, rows: dict[str, Any]) -> Table:
    table = _table(group, COLUMNS)
    for name, row in rows.items():
        table.add_row(name, *(str(row[column]) for column in COLUMNS))
    return table


def _windows(rows: list[dict[str, Any]]) -> Table:
    columns = (
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
    table = _table("second", (*columns, "missing"))
    for row in rows:
        missing = " ".join(f"{name} {number}" for name, number in sorted(row["missing"].items()))
        table.add_row(f"{row['at']:g}", *(str(row[column]) for column in columns), missing)
    return table


def _routers(rows: dict[str, Any]) -> Table:
    columns = ("asked", "memory_mb", "memory_mb_end", "descriptors", "cpu_share", "starts")
    table = _table("router", columns)
    for name, row in rows.items():
        table.add_row(name, *(str(row.get(column, "-")) for column in columns))
    return table


def _nodes(rows: dict[str, Any]) -> Table:
    """The busiest and the idlest nodes, by work."""
    columns = ("attempts", "hit", "miss", "pending", "busy", "gone", "spoilt", "work_s")
    table = _table("node", columns)
    ordered = sorted(rows.items(), key=lambda pair: -pair[1]["work_s"])
    shown = ordered if len(ordered) <= 8 else [*ordered[:4], *ordered[-4:]]
    for name, row in shown:
        table.add_row(name, *(str(row.get(column, 0)) for column in columns))
    return table
