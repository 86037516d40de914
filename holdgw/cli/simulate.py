"""`holdgw simulate`: a scenario in simulated time, one seed or many."""

from __future__ import annotations

import sys
from collections import Counter
from contextlib import closing
from itertools import islice
from pathlib import Path
from time import perf_counter
from typing import Annotated

import orjson
import typer
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn

from holdgw.cli.common import BROKEN, FAILED, INTERRUPTED, UsageError, folder_is_there
from holdgw.harness.scenario import Scenario, load_scenario
from holdgw.simulation.fleet_run import Outcome
from holdgw.simulation.random_faults import told, written_out
from holdgw.simulation.search import last_events, play_seed, search
from holdgw.simulation.shrink import as_toml, shrink
from holdgw.simulation.trace import Trace, TraceFile
from holdgw.simulation.world import START_NS

MOST_SEEDS = 10_000_000
MOST_JOBS = 256
SHOWN_BROKEN = 8
SHOWN_SEEDS = 20


def simulate(
    file: Annotated[str, typer.Argument(help="A scenario file, or the name of a shipped one.")],
    seed: Annotated[int | None, typer.Option(help="One seed; the file's own where none is given.")] = None,
    seeds: Annotated[str | None, typer.Option(help="Many seeds, as A..B, both ends played.")] = None,
    jobs: Annotated[int, typer.Option(help="Play so many seeds at a time, each on a core.")] = 1,
    trace: Annotated[
        Path | None, typer.Option(help="Write every event of the one seed there (JSON lines).")
    ] = None,
    shrink_to: Annotated[
        Path | None,
        typer.Option(
            "--shrink", help="Look for the least scenario that still fails alike, and write it there."
        ),
    ] = None,
    seconds: Annotated[float | None, typer.Option("--for", help="End the day after so many seconds.")] = None,
    json: Annotated[Path | None, typer.Option(help="Write what came of each seed there.")] = None,
) -> None:
    """Play a scenario in simulated time: the same code on a seeded loop and network, repeatable to the byte.

    Exit code 0: rules and invariants were kept; 1: one was broken; 2: something given can't be used; 4: a run
    could not go on (a spin, a hang, a leak of the real world).
    """
    scenario = load_scenario(file)
    if seconds is not None:
        if not 0 < seconds < float("inf"):
            raise UsageError(f"--for: expected a number of seconds above 0, got {seconds:g}")
        scenario = scenario.cut(seconds)
    if not 1 <= jobs <= MOST_JOBS:
        raise UsageError(f"--jobs: expected a number from 1 to {MOST_JOBS}, got {jobs}")
    for path in (trace, shrink_to, json):
        folder_is_there(path)
    if seeds is not None:
        if seed is not None:
            raise UsageError("--seed and --seeds: give one of them")
        if trace is not None:
            raise UsageError("--trace: needs one seed; give --seed")
        wanted = _range(seeds)
    else:
        one = scenario.seed if seed is None else seed
        wanted = range(one, one + 1)
    console = Console(stderr=True, highlight=False)
    try:
        failed, played = _all(scenario, wanted, jobs, trace, console)
    except KeyboardInterrupt:
        console.print("interrupted")
        raise typer.Exit(INTERRUPTED) from None
    if json is not None:
        json.write_bytes(orjson.dumps([_line(one) for one in played], option=orjson.OPT_INDENT_2))
    if failed and shrink_to is not None:
        _shrink(scenario, failed[0], shrink_to, console)
    raise typer.Exit(FAILED if any(one.fault for one in failed) else BROKEN if failed else 0)


def _range(text: str) -> range:
    first, dots, last = text.partition("..")
    try:
        if not dots:
            raise ValueError
        found = range(int(first), int(last) + 1)
    except ValueError:
        raise UsageError(f"--seeds: expected two numbers as A..B, got {text!r}") from None
    if not found:
        raise UsageError(f"--seeds: {text} is empty")
    if len(found) > MOST_SEEDS:
        raise UsageError(f"--seeds: {len(found)} seeds, at most {MOST_SEEDS} at a time")
    return found


def _line(outcome: Outcome) -> dict[str, object]:
    return {
        "seed": outcome.seed,
        "digest": outcome.digest,
        "events": outcome.events,
        "seconds": round(outcome.seconds, 6),
        "asked": outcome.asked,
        "served": outcome.served,
        "fault": outcome.fault,
        "broken": [
            {
                "rule": one.rule,
                "at": round(one.at - outcome.begun, 6),
                "requests": one.requests,
                "text": one.text,
            }
            for one in outcome.broken
        ],
    }


def _all(
    scenario: Scenario, wanted: range, jobs: int, trace: Path | None, console: Console
) -> tuple[list[Outcome], list[Outcome]]:
    begun = perf_counter()
    failed: list[Outcome] = []
    played: list[Outcome] = []
    if len(wanted) == 1:
        outcome = _one(scenario, wanted[0], trace)
        played.append(outcome)
        speed = outcome.seconds / max(perf_counter() - begun, 1e-9)
        print(
            f"{scenario.name}, seed {outcome.seed}: {outcome.events} events in {outcome.seconds:.1f} s of "
            f"simulated time, {speed:.1f} times as fast as real; asked {outcome.asked}, tries served "
            f"{outcome.served}; digest {outcome.digest}"
        )
        if outcome.failed:
            failed.append(outcome)
            _explain(scenario, outcome)
        else:
            print("rules and invariants: kept")
        return failed, played
    columns = (
        TextColumn("{task.description}"),
        BarColumn(),
        MofNCompleteColumn(),
        TimeRemainingColumn(),
        TextColumn("{task.fields[told]}"),
    )
    with (
        Progress(*columns, console=console, transient=True) as progress,
        closing(search(scenario, wanted, jobs)) as outcomes,
    ):
        bar = progress.add_task(scenario.name, total=len(wanted), told="")
        for outcome in outcomes:
            played.append(outcome)
            if outcome.failed:
                failed.append(outcome)
            progress.update(bar, advance=1, told=f"failed {len(failed)}")
    failed.sort(key=lambda one: one.seed)
    took = perf_counter() - begun
    print(
        f"{scenario.name}, seeds {wanted[0]}..{wanted[-1]}: {len(played)} played in {took:.1f} s "
        f"({len(played) / took * 3600:.0f} an hour), {len(failed)} failed"
    )
    for rule, number in Counter(one.first for one in failed).most_common():
        seeds = [str(one.seed) for one in failed if one.first == rule]
        rest = " ..." if len(seeds) > SHOWN_SEEDS else ""
        print(f"  {rule}: {number}, seeds {' '.join(islice(seeds, SHOWN_SEEDS))}{rest}")
    if failed:
        _explain(scenario, failed[0])
    return failed, played


def _one(scenario: Scenario, seed: int, trace: Path | None) -> Outcome:
    if trace is None:
        return play_seed(scenario, seed)
    with trace.open("wb") as file:
        return play_seed(scenario, seed, Trace(TraceFile(file, START_NS)))


def _explain(scenario: Scenario, outcome: Outcome) -> None:
    """The rule, the seed, and the last events of the request concerned."""
    drawn = written_out(scenario, outcome.seed)
    print(f"seed {outcome.seed} fails: {told(drawn)}")
    if outcome.fault:
        print(f"  {outcome.fault}")
    for one in outcome.broken[:SHOWN_BROKEN]:
        print(f"  broken: {one.rule} at {one.at - outcome.begun:.6f} s {' '.join(one.requests)}: {one.text}")
    if len(outcome.broken) > SHOWN_BROKEN:
        print(f"  and {len(outcome.broken) - SHOWN_BROKEN} more")
    request = next((one.requests[0] for one in outcome.broken if one.requests), "")
    if request:
        print(f"the last events of {request}:")
        for line in last_events(scenario, outcome.seed, request):
            print(f"  {line}")


def _shrink(scenario: Scenario, outcome: Outcome, path: Path, console: Console) -> None:
    whole = written_out(scenario, outcome.seed)

    def again(smaller: Scenario) -> Outcome:
        return play_seed(smaller, outcome.seed)

    with console.status("shrinking") as status:

        def show(smaller: Scenario, runs: int) -> None:
            status.update(f"shrinking: {len(smaller.trouble)} troubles, {smaller.length_s:g} s, {runs} runs")

        least, found = shrink(whole, outcome, again, show)
    path.write_text(as_toml(least))
    print(
        f"shrunk: {len(whole.trouble)} -> {len(least.trouble)} troubles, {whole.length_s:g} -> "
        f"{least.length_s:g} s, {whole.load.rate:g} -> {least.load.rate:g} a second; still {found.first}"
    )
    print(f"  {sys.argv[0].rpartition('/')[2] or 'holdgw'} simulate {path}")
