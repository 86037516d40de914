"""Runs a scenario with many seeds on several cores, and reports the outcome of each."""

from __future__ import annotations

import multiprocessing
import signal
from collections.abc import Generator, Iterable
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from itertools import islice
from types import FrameType
from typing import Any

from holdgw.harness.scenario import Scenario
from holdgw.simulation.cores import multi_process_router
from holdgw.simulation.fleet_run import Outcome, simulate, single_process_router
from holdgw.simulation.random_faults import draw_storm
from holdgw.simulation.trace import Trace, readable

HANG_TIMEOUT_S = 300.0  # real time after which a run is aborted
LAST_EVENTS = 25
QUEUED_SEEDS_PER_JOB = 2  # submitted at a time, including the one that runs


class HangError(BaseException):
    """A callback did not return in time; the message names the line where it was."""


def _raise_hang(_: int, frame: FrameType | None) -> None:
    where = "?"
    if frame is not None:
        where = f"{frame.f_globals.get('__name__', '?')}:{frame.f_lineno} in {frame.f_code.co_name}"
    raise HangError(f"did not return within {HANG_TIMEOUT_S:g} s of real time, at {where}")


def play_seed(
    scenario: Scenario, seed: int, trace: Trace | None = None, limit_s: float = HANG_TIMEOUT_S
) -> Outcome:
    """Run one seed, with its storm drawn; a callback that does not return in `limit_s` is the run's fault."""
    previous: Any = signal.signal(signal.SIGALRM, _raise_hang)
    signal.setitimer(signal.ITIMER_REAL, limit_s)
    try:
        workers = scenario.simulation.workers
        main = multi_process_router(workers) if workers else single_process_router
        outcome = simulate(draw_storm(scenario, seed), seed, trace, main)
    except HangError as error:
        outcome = Outcome(seed, fault=str(error))
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)
        signal.signal(signal.SIGALRM, previous)
    return outcome


def _play_without_result(scenario: Scenario, seed: int) -> Outcome:
    outcome = play_seed(scenario, seed)
    outcome.played = None  # hundreds of kilobytes that no caller needs
    return outcome


def search(scenario: Scenario, seeds: Iterable[int], jobs: int) -> Generator[Outcome, None, None]:
    """Run seeds on `jobs` cores and yield outcomes as they finish; closing the generator ends all runs."""
    if jobs == 1:
        for seed in seeds:
            yield _play_without_result(scenario, seed)
        return
    # Processes are spawned: forked ones would inherit this process's memory, threads and open files.
    pool = ProcessPoolExecutor(jobs, mp_context=multiprocessing.get_context("spawn"))
    remaining = iter(seeds)
    running: set[Future[Outcome]] = set()
    try:
        while True:
            running |= {
                pool.submit(_play_without_result, scenario, seed)
                for seed in islice(remaining, jobs * QUEUED_SEEDS_PER_JOB - len(running))
            }
            if not running:
                return
            done, running = wait(running, return_when=FIRST_COMPLETED)
            for future in done:
                yield future.result()
    finally:
        for future in running:
            future.cancel()
        pool.shutdown(wait=True, cancel_futures=True)


def last_events(scenario: Scenario, seed: int, request: str, max_events: int = LAST_EVENTS) -> list[str]:
    """Run a seed again, and return the last `max_events` events of one request as lines of text."""
    matching_events: list[dict[str, Any]] = []
    name = request.encode()

    def record(event: dict[str, Any]) -> None:
        if name in event["data"] or request in event["about"]:
            matching_events.append(event)

    outcome = play_seed(scenario, seed, Trace(record))
    lines = []
    for event in matching_events[-max_events:]:
        at = event["at"] / 1e9 - outcome.begun
        text = readable(event["data"], 120) if event["data"] else ""
        lines.append(f"{at:10.6f} s  {event['who']:10} {event['what']:8} {event['about']}  {text}".rstrip())
    return lines
