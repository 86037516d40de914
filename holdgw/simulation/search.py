"""Goes through seeds, on several cores, and tells of each that fails."""

from __future__ import annotations

import multiprocessing
import signal
from collections.abc import Generator, Iterable
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from itertools import islice
from types import FrameType
from typing import Any

from holdgw.harness.scenario import Scenario
from holdgw.simulation.cores import on_cores
from holdgw.simulation.fleet_run import Outcome, real_router, simulate
from holdgw.simulation.random_faults import draw_storm
from holdgw.simulation.trace import Trace, readable

HUNG_S = 300.0  # of real time, after which a run that does not come back is given up
LAST_EVENTS = 25
AHEAD = 2  # seeds handed out beyond those being played, for each core


class HungError(BaseException):
    """A callback did not come back; the text says where it was."""


def _hung(_: int, frame: FrameType | None) -> None:
    where = "?"
    if frame is not None:
        where = f"{frame.f_globals.get('__name__', '?')}:{frame.f_lineno} in {frame.f_code.co_name}"
    raise HungError(f"did not come back within {HUNG_S:g} s of real time, at {where}")


def play_seed(scenario: Scenario, seed: int, trace: Trace | None = None, limit_s: float = HUNG_S) -> Outcome:
    """One seed, with its storm drawn; a run that hangs in one callback is a fault of that seed."""
    kept: Any = signal.signal(signal.SIGALRM, _hung)
    signal.setitimer(signal.ITIMER_REAL, limit_s)
    try:
        workers = scenario.simulation.workers
        main = on_cores(workers) if workers else real_router
        outcome = simulate(draw_storm(scenario, seed), seed, trace, main)
    except HungError as error:
        outcome = Outcome(seed, fault=str(error))
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)
        signal.signal(signal.SIGALRM, kept)
    return outcome


def _in_worker(scenario: Scenario, seed: int) -> Outcome:
    outcome = play_seed(scenario, seed)
    outcome.played = None  # hundreds of kilobytes that nobody looks at
    return outcome


def search(scenario: Scenario, seeds: Iterable[int], jobs: int) -> Generator[Outcome, None, None]:
    """Play seeds on so many cores; outcomes come as they are ready. Closing the generator ends it all."""
    if jobs == 1:
        for seed in seeds:
            yield _in_worker(scenario, seed)
        return
    # Fresh interpreters: a forked one would carry this one's memory, threads and open files along.
    pool = ProcessPoolExecutor(jobs, mp_context=multiprocessing.get_context("spawn"))
    coming = iter(seeds)
    out: set[Future[Outcome]] = set()
    try:
        while True:
            out |= {
                pool.submit(_in_worker, scenario, seed) for seed in islice(coming, jobs * AHEAD - len(out))
            }
            if not out:
                return
            done, out = wait(out, return_when=FIRST_COMPLETED)
            for future in done:
                yield future.result()
    finally:
        for future in out:
            future.cancel()
        pool.shutdown(wait=True, cancel_futures=True)


def last_events(scenario: Scenario, seed: int, request: str, most: int = LAST_EVENTS) -> list[str]:
    """Play a seed again, and tell of the last things that happened to one request."""
    found: list[dict[str, Any]] = []
    name = request.encode()

    def keep(event: dict[str, Any]) -> None:
        if name in event["data"] or request in event["about"]:
            found.append(event)

    outcome = play_seed(scenario, seed, Trace(keep))
    lines = []
    for event in found[-most:]:
        at = event["at"] / 1e9 - outcome.begun
        text = readable(event["data"], 120) if event["data"] else ""
        lines.append(f"{at:10.6f} s  {event['who']:10} {event['what']:8} {event['about']}  {text}".rstrip())
    return lines
