"""`holdgw rehearse` runs a scenario on real sockets; `holdgw scenarios` lists the shipped scenarios."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Annotated

import orjson
import typer
import uvloop
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

from holdgw.cli.common import EXIT_FAILED, EXIT_INTERRUPTED, UsageError, require_parent_folder
from holdgw.cli.run_report import print_report
from holdgw.harness.deployment import build, run_command
from holdgw.harness.html_report import render
from holdgw.harness.orchestrator import HarnessError, Orchestrator, RunResult, play
from holdgw.harness.report import make_report
from holdgw.harness.scenario import Scenario, load_scenario, shipped
from holdgw.harness.schedule import Schedule
from holdgw.harness.schedule_drawing import draw_schedule


def scenarios() -> None:
    """List the scenarios shipped with holdgw."""
    for name in shipped():
        print(f"{name:18} {load_scenario(name).about}")


def rehearse(
    file: Annotated[str, typer.Argument(help="A scenario file, or the name of a shipped one.")],
    seed: Annotated[int | None, typer.Option(help="Draw the schedule from another seed.")] = None,
    seconds: Annotated[float | None, typer.Option("--for", help="End the run after N seconds.")] = None,
    json: Annotated[Path | None, typer.Option(help="Write the report to this file.")] = None,
    html: Annotated[Path | None, typer.Option(help="Write a page with plots to this file.")] = None,
    deploy: Annotated[Path, typer.Option(help="The deploy file that names `run`.")] = Path(
        "deploy/balancer.toml"
    ),
    logs: Annotated[Path | None, typer.Option(help="Keep the routers' logs in this folder.")] = None,
) -> None:
    """Play a scenario: real routers in an emulated fleet on loopback.

    Exit code 0: the rules were kept; 1: a rule was broken; 2: an argument or file is invalid; 3: the emulator
    was late and the run is void; 4: the scenario could not be played to its end.
    """
    scenario = _load(file, seconds)
    for path in (json, html):
        require_parent_folder(path)
    command = run_command(deploy)
    build(deploy)
    program_folder = deploy.absolute().parent.parent
    schedule = draw_schedule(scenario, scenario.seed if seed is None else seed)
    console = Console(stderr=True)
    try:
        result = _play(schedule, command, program_folder, console, logs)
    except (asyncio.CancelledError, KeyboardInterrupt):
        console.print("interrupted; every process that was started is ended")
        raise typer.Exit(EXIT_INTERRUPTED) from None
    except HarnessError as error:
        print(f"holdgw: the scenario could not be played: {error}", file=sys.stderr)
        raise typer.Exit(EXIT_FAILED) from None
    report = make_report(result)
    if json is not None:
        json.write_bytes(orjson.dumps(report.body, option=orjson.OPT_INDENT_2))
    if html is not None:
        html.write_text(render(report, result.usage, result.begun))
    print_report(report)
    raise typer.Exit(report.exit_code)


def _load(file: str, seconds: float | None) -> Scenario:
    """Load a scenario, cut to this many seconds; raises UsageError if it can't be played on sockets."""
    scenario = load_scenario(file)
    if seconds is not None:
        if seconds <= 0:
            raise UsageError(f"--for: expected a number of seconds above 0, got {seconds:g}")
        scenario = scenario.cut(seconds)
    if reason := scenario.simulation_only_reason():
        raise UsageError(f"{file}: {reason}")
    return scenario


def _play(
    schedule: Schedule, command: str, program_folder: Path, console: Console, logs: Path | None
) -> RunResult:
    columns = (
        TextColumn("{task.description}"),
        BarColumn(),
        TimeElapsedColumn(),
        TextColumn("{task.fields[status]}"),
    )
    with Progress(*columns, console=console, transient=True) as progress:
        bar = progress.add_task(schedule.scenario.name, total=schedule.scenario.length_s, status="starting")

        def show(orchestrator: Orchestrator, at: float) -> None:
            counts = orchestrator.tally()
            finished = counts.served + counts.refused + counts.failed
            share = f"{counts.in_aim / finished:.1%}" if finished else "-"
            status = (
                f"asked {counts.asked}  in aim {share}  refused {counts.refused}  failed {counts.failed}"
                f"  felled {orchestrator.felled}"
            )
            progress.update(bar, completed=max(at, 0.0), status=status)

        return uvloop.run(play(schedule, command, program_folder, show, logs))
