"""`holdgw simulate`: a scenario in simulated time, with one seed or many."""

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

from holdgw.cli.common import (
    EXIT_FAILED,
    EXIT_INTERRUPTED,
    EXIT_RULE_BROKEN,
    UsageError,
    require_parent_folder,
)
from holdgw.harness.scenario import Scenario, load_scenario
from holdgw.simulation.fleet_run import Outcome
from holdgw.simulation.random_faults import describe_faults, draw_storm
from holdgw.simulation.search import last_events, play_seed, search
from holdgw.simulation.shrink import as_toml, shrink
from holdgw.simulation.trace import Trace, TraceFile
from holdgw.simulation.world import START_NS

MAX_SEEDS = 10_000_000
MAX_JOBS = 256
MAX_BROKEN_SHOWN = 8
MAX_SEEDS_SHOWN = 20


File = Annotated[str, typer.Argument(help="A scenario file, or the name of a shipped one.")]
Seed = Annotated[int | None, typer.Option(help="One seed; default: the seed in the file.")]
Seeds = Annotated[str | None, typer.Option(help="Many seeds, as A..B, both included.")]
Jobs = Annotated[int, typer.Option(help="Play this many seeds at a time, each on a core.")]
TraceTo = Annotated[
    Path | None, typer.Option(help="Write every event of the seed to this file (JSON lines).")
]
ShrinkTo = Annotated[
    Path | None,
    typer.Option("--shrink", help="Find the smallest scenario that fails alike; write it to this file."),
]
Seconds = Annotated[float | None, typer.Option("--for", help="End the run after N seconds.")]
Json = Annotated[Path | None, typer.Option(help="Write each seed's outcome to this file.")]


def simulate(
    file: File,
    seed: Seed = None,
    seeds: Seeds = None,
    jobs: Jobs = 1,
    trace: TraceTo = None,
    shrink_to: ShrinkTo = None,
    seconds: Seconds = None,
    json: Json = None,
) -> None:
    """Play a scenario in simulated time: the same code on a seeded loop and network, repeatable to the byte.

    Exit code 0: rules and invariants were kept; 1: one was broken; 2: an argument or file is invalid; 4: a
    run could not continue (an endless loop, a hang, or a use of real time, randomness or threads).
    """
    scenario = _load(file, seconds)
    if not 1 <= jobs <= MAX_JOBS:
        raise UsageError(f"--jobs: expected a number from 1 to {MAX_JOBS}, got {jobs}")
    for path in (trace, shrink_to, json):
        require_parent_folder(path)
    chosen = _chosen_seeds(scenario, seed, seeds, trace)
    console = Console(stderr=True, highlight=False)
    try:
        if len(chosen) == 1:
            outcomes = [_play_one(scenario, chosen[0], trace)]
        else:
            outcomes = _play_many(scenario, chosen, jobs, console)
    except KeyboardInterrupt:
        console.print("interrupted")
        raise typer.Exit(EXIT_INTERRUPTED) from None
    if json is not None:
        json.write_bytes(
            orjson.dumps([_outcome_row(outcome) for outcome in outcomes], option=orjson.OPT_INDENT_2)
        )
    failed = _failed_outcomes(outcomes)
    if failed and shrink_to is not None:
        _shrink(scenario, failed[0], shrink_to, console)
    if any(outcome.fault for outcome in failed):
        raise typer.Exit(EXIT_FAILED)
    raise typer.Exit(EXIT_RULE_BROKEN if failed else 0)


def _load(file: str, seconds: float | None) -> Scenario:
    scenario = load_scenario(file)
    if seconds is None:
        return scenario
    if not 0 < seconds < float("inf"):
        raise UsageError(f"--for: expected a number of seconds above 0, got {seconds:g}")
    return scenario.cut(seconds)


def _chosen_seeds(scenario: Scenario, seed: int | None, seeds: str | None, trace: Path | None) -> range:
    if seeds is None:
        only_seed = scenario.seed if seed is None else seed
        return range(only_seed, only_seed + 1)
    if seed is not None:
        raise UsageError("--seed and --seeds: give one of them")
    if trace is not None:
        raise UsageError("--trace: needs one seed; give --seed")
    return _parse_seed_range(seeds)


def _failed_outcomes(outcomes: list[Outcome]) -> list[Outcome]:
    """The outcomes of failed runs, in order of their seeds."""
    return sorted((outcome for outcome in outcomes if outcome.failed), key=lambda outcome: outcome.seed)


def _parse_seed_range(text: str) -> range:
    first, dots, last = text.partition("..")
    try:
        if not dots:
            raise ValueError
        seeds = range(int(first), int(last) + 1)
    except ValueError:
        raise UsageError(f"--seeds: expected two numbers as A..B, got {text!r}") from None
    if not seeds:
        raise UsageError(f"--seeds: {text} is empty")
    if len(seeds) > MAX_SEEDS:
        raise UsageError(f"--seeds: {len(seeds)} seeds, at most {MAX_SEEDS} at a time")
    return seeds


def _outcome_row(outcome: Outcome) -> dict[str, object]:
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
                "rule": violation.rule,
                "at": round(violation.at - outcome.begun, 6),
                "requests": violation.requests,
                "text": violation.text,
            }
            for violation in outcome.broken
        ],
    }


def _play_one(scenario: Scenario, seed: int, trace: Path | None) -> Outcome:
    """Play one seed and print its outcome."""
    began = perf_counter()
    outcome = _play_with_trace(scenario, seed, trace)
    speed = outcome.seconds / max(perf_counter() - began, 1e-9)
    print(
        f"{scenario.name}, seed {outcome.seed}: {outcome.events} events in {outcome.seconds:.1f} s of "
        f"simulated time, {speed:.1f} times as fast as real; asked {outcome.asked}, tries served "
        f"{outcome.served}; digest {outcome.digest}"
    )
    if outcome.failed:
        _print_failure(scenario, outcome)
    else:
        print("rules and invariants: kept")
    return outcome


def _play_many(scenario: Scenario, seeds: range, jobs: int, console: Console) -> list[Outcome]:
    """Play the seeds and print how many failed, by rule."""
    began = perf_counter()
    outcomes = _search_with_progress(scenario, seeds, jobs, console)
    failed = _failed_outcomes(outcomes)
    took_s = perf_counter() - began
    print(
        f"{scenario.name}, seeds {seeds[0]}..{seeds[-1]}: {len(outcomes)} played in {took_s:.1f} s "
        f"({len(outcomes) / took_s * 3600:.0f} an hour), {len(failed)} failed"
    )
    for rule, number in Counter(outcome.first for outcome in failed).most_common():
        shown = [str(outcome.seed) for outcome in failed if outcome.first == rule]
        rest = " ..." if len(shown) > MAX_SEEDS_SHOWN else ""
        print(f"  {rule}: {number}, seeds {' '.join(islice(shown, MAX_SEEDS_SHOWN))}{rest}")
    if failed:
        _print_failure(scenario, failed[0])
    return outcomes


def _search_with_progress(scenario: Scenario, seeds: range, jobs: int, console: Console) -> list[Outcome]:
    """Play the seeds with a progress bar."""
    columns = (
        TextColumn("{task.description}"),
        BarColumn(),
        MofNCompleteColumn(),
        TimeRemainingColumn(),
        TextColumn("{task.fields[status]}"),
    )
    played: list[Outcome] = []
    failures = 0
    with (
        Progress(*columns, console=console, transient=True) as progress,
        closing(search(scenario, seeds, jobs)) as outcomes,
    ):
        bar = progress.add_task(scenario.name, total=len(seeds), status="")
        for outcome in outcomes:
            played.append(outcome)
            failures += outcome.failed
            progress.update(bar, advance=1, status=f"failed {failures}")
    return played


def _play_with_trace(scenario: Scenario, seed: int, trace: Path | None) -> Outcome:
    if trace is None:
        return play_seed(scenario, seed)
    with trace.open("wb") as file:
        return play_seed(scenario, seed, Trace(TraceFile(file, START_NS)))


def _print_failure(scenario: Scenario, outcome: Outcome) -> None:
    """Print the seed, the broken rules, and the last events of the first request concerned."""
    drawn = draw_storm(scenario, outcome.seed)
    print(f"seed {outcome.seed} fails: {describe_faults(drawn)}")
    if outcome.fault:
        print(f"  {outcome.fault}")
    for violation in outcome.broken[:MAX_BROKEN_SHOWN]:
        print(
            f"  broken: {violation.rule} at {violation.at - outcome.begun:.6f} s "
            f"{' '.join(violation.requests)}: {violation.text}"
        )
    if len(outcome.broken) > MAX_BROKEN_SHOWN:
        print(f"  and {len(outcome.broken) - MAX_BROKEN_SHOWN} more")
    request = next((violation.requests[0] for violation in outcome.broken if violation.requests), "")
    if request:
        print(f"the last events of {request}:")
        for line in last_events(scenario, outcome.seed, request):
            print(f"  {line}")


def _shrink(scenario: Scenario, outcome: Outcome, path: Path, console: Console) -> None:
    original = draw_storm(scenario, outcome.seed)

    def play_again(smaller: Scenario) -> Outcome:
        return play_seed(smaller, outcome.seed)

    with console.status("shrinking") as status:

        def show(smaller: Scenario, runs: int) -> None:
            status.update(f"shrinking: {len(smaller.trouble)} troubles, {smaller.length_s:g} s, {runs} runs")

        smallest, smallest_outcome = shrink(original, outcome, play_again, show)
    path.write_text(as_toml(smallest))
    print(
        f"shrunk: {len(original.trouble)} -> {len(smallest.trouble)} troubles, {original.length_s:g} -> "
        f"{smallest.length_s:g} s, {original.load.rate:g} -> {smallest.load.rate:g} a second; "
        f"still {smallest_outcome.first}"
    )
    print(f"  {sys.argv[0].rpartition('/')[2] or 'holdgw'} simulate {path}")
