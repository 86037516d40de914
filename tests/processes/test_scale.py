"""Forty hollow routers and three real ones in one membership; assertions are on counts, never on times."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
import uvloop

from bench.scale_plan import FaultKind, FaultStep, ScaleScenario, Window
from bench.scale_rig import Participants, Program, Rig
from holdgw.peers.gossip import MAX_BURST, MAX_BYTES_PER_S
from tests.processes.test_faults import ROOT, ROUTER

pytestmark = [pytest.mark.processes, pytest.mark.xdist_group("processes, faults")]

HOLLOW, REAL = 40, 3
SIZE = HOLLOW + REAL
WITHIN_S = 60.0  # a limit on hangs that a loaded machine does not reach; no assertion depends on it
PROGRAM = Program(ROUTER, ROOT, str(ROOT))
COMMAND = [sys.executable, "-m", "bench.scale", "--sources", "--slow", "1"]


async def until(condition: Callable[[], Awaitable[bool]]) -> None:
    """Poll until the condition holds; time out after WITHIN_S."""
    async with asyncio.timeout(WITHIN_S):
        while not await condition():
            await asyncio.sleep(0.2)


@asynccontextmanager
async def rig(scenario: ScaleScenario) -> AsyncIterator[Rig]:
    """Start hollow and real routers, with a clock that is not slowed; end them all on exit."""
    started_rig = Rig(Participants(SIZE, REAL), scenario, PROGRAM, seed=1, loss=0.01, slow=1.0)
    try:
        await started_rig.start(workers=2)
        yield started_rig
    finally:
        await started_rig.end()


def test_hollow_and_real_routers_form_one_membership_and_all_learn_of_a_death() -> None:
    killed = SIZE - 1
    scenario = ScaleScenario(
        "test",
        (FaultStep(4.0, FaultKind.KILL, (killed,), label="one death"),),
        (Window("calm", 1, 4), Window("after", 4, 6)),
        6,
    )

    async def steps() -> None:
        async with rig(scenario) as started_rig:
            assert started_rig.real is not None

            async def all_have_alive(count: int) -> bool:
                assert started_rig.real is not None
                hollow = list((await started_rig.alive()).values())
                real = [router.alive for router in await started_rig.real.sample()]
                return set(hollow + real) == {count} and len(real) == REAL

            async def real_routers_receive_most() -> bool:
                assert started_rig.real is not None
                return all(
                    router.routers_in_view >= 0.75 * SIZE for router in await started_rig.real.sample()
                )

            await until(lambda: all_have_alive(SIZE))
            await until(real_routers_receive_most)
            result = await started_rig.run(lambda _at: None)
            await until(lambda: all_have_alive(SIZE - 1))
        calm = result.figures["windows"]["calm"]
        assert calm["view"].servers.least == 96
        assert calm["view"].coverage.least >= 0.6
        assert calm["bytes_said"].worst.most <= MAX_BYTES_PER_S + MAX_BURST
        assert 1000 < calm["bytes_both"].mean.median < MAX_BYTES_PER_S
        assert all(1000 < each < 2 * MAX_BYTES_PER_S for each in result.real_bytes)
        assert len(result.real) == REAL
        assert result.rig["over_256_bytes"] == 0
        assert result.rig["dropped_by_routers"] == {}
        assert result.rig["memory_bytes_per_router"] < 32 << 20

    uvloop.run(steps())


def test_more_routers_than_the_machine_can_run_are_refused_in_one_line_with_exit_code_2() -> None:
    completed = subprocess.run(
        [*COMMAND, "--sizes", "43", "1000000"], cwd=ROOT, capture_output=True, text=True, timeout=WITHIN_S
    )
    assert completed.returncode == 2
    assert completed.stdout == ""
    assert completed.stderr.strip().startswith("scale: refused: 1000000 routers: ")
    assert completed.stderr.strip().count("\n") == 0


def descendants(pid: int) -> set[int]:
    """Return the ids of all descendants of a process."""
    pids = [pid]
    for parent in pids:
        try:
            pids += map(int, Path(f"/proc/{parent}/task/{parent}/children").read_text().split())
        except OSError:
            continue
    return set(pids[1:])


def wait_until(condition: Callable[[], bool]) -> None:
    """Poll until the condition holds; fail after WITHIN_S."""
    due = time.monotonic() + WITHIN_S
    while not condition():
        assert time.monotonic() < due
        time.sleep(0.1)


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_an_interrupt_ends_all_hollow_and_real_routers(number: signal.Signals) -> None:
    with subprocess.Popen(
        [*COMMAND, "--sizes", "23", "--plays", "calm", "--real", str(REAL)],
        cwd=ROOT,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        text=True,
        start_new_session=True,
    ) as running:
        try:
            cores = len(os.sched_getaffinity(0))
            # Processes: hollow routers, the relay, four workers of emulated endpoints, and the real routers.
            wait_until(lambda: len(descendants(running.pid)) >= max(min(cores - 1, 20), 1) + 1 + 4 + REAL)
            started = descendants(running.pid)
            running.send_signal(number)
            _, error_output = running.communicate(timeout=WITHIN_S)
        finally:
            running.kill()
    assert running.returncode == 130
    assert "scale: interrupted" in error_output
    wait_until(lambda: not [pid for pid in started if Path(f"/proc/{pid}").exists()])
