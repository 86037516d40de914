"""A few clients that send hundreds of commands at once take the router over its memory limit."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import ENDED, Link, Router, World, default_settings, read_answer, resp_command, run_case
from standins import CacheServer as Cache

MEMORY_MB = 192
"""The limit in the configuration; on the days that are scored it is 192 MB at most."""
BAD_CLIENTS = 16
COMMANDS = 200
"""That a bad client sends at once: "hundreds"."""
VALUE_BYTES = 64 << 10
"""Values hold at most 64 KiB."""
USUAL_CLIENTS = 10
MEAN_PAUSE_S = 0.1
SECONDS = 12
ROUNDS_AT_S = (2.0, 7.0)
PATIENCE_S = 4.0
KEYS = 500


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / (1 << 20)


async def watch_memory(world: World, router: Router, broken: list[str]) -> None:
    """Do what the platform does: kill the router when it is over its limit."""
    peak_mb = 0.0
    while not router.crashed:
        try:
            resident = resident_mb(router.pid)
        except OSError:
            break
        if resident > peak_mb:
            peak_mb = resident
            world.record(f"memory {resident:.1f} MB")
        if resident > MEMORY_MB:
            broken.append(
                f"the router has {resident:.1f} MB, over its limit of {MEMORY_MB} MB, and is killed"
            )
            router.signal(signal.SIGKILL)
            return
        await asyncio.sleep(0.01)
    broken.append("the router has ended")


def publishes(world: World) -> bytes:
    """Return the commands that a bad client sends at once."""
    commands = []
    for _ in range(COMMANDS):
        request, key = world.new_id(), b"item/%d" % world.random.randrange(KEYS)
        info = b"c=publish,t=public,d=1200,k=%b" % request
        commands.append(resp_command(b"KV.SET", key, request, info, bytes(VALUE_BYTES)))
    return b"".join(commands)


async def bad_client(world: World, router: Router, name: str) -> None:
    """Send hundreds of commands at once, and read what comes."""
    link = Link(world, router, name)
    commands = publishes(world)
    answers = 0
    try:
        async with asyncio.timeout(PATIENCE_S):
            await link.open()
            link.writer.write(commands)
            world.record("sent", name, COMMANDS, "commands,", len(commands), "bytes")
            while answers < COMMANDS:
                await read_answer(link.reader)
                answers += 1
    except (*ENDED, TimeoutError) as error:
        world.record(name, repr(error))
    world.record("answered", name, answers)
    link.close()


async def usual_client(world: World, router: Router, name: str) -> None:
    """Send one read after the other."""
    link = Link(world, router, name)
    await link.open()
    end = world.record.now() + SECONDS
    try:
        while world.record.now() < end:
            await asyncio.sleep(world.random.expovariate(1 / MEAN_PAUSE_S))
            link.writer.write(link.command(b"item/%d" % world.random.randrange(KEYS)))
            await link.read_one()
    except ENDED as error:
        world.record(name, repr(error))
    link.close()


async def main(world: World, trouble: bool) -> list[str]:
    """Play the case; returns whether the router went over its limit, or ended."""
    caches = [await world.add(Cache(f"s{number}", world.record)) for number in range(6)]
    router = await world.deploy(caches, [cache.address for cache in caches], default_settings())
    broken: list[str] = []
    watching = asyncio.create_task(watch_memory(world, router, broken))

    async def bad_clients(at_s: float) -> None:
        await asyncio.sleep(at_s)
        await asyncio.gather(*(bad_client(world, router, f"bad{number}") for number in range(BAD_CLIENTS)))

    clients = [usual_client(world, router, f"c{number}") for number in range(USUAL_CLIENTS)]
    if trouble:
        clients += [bad_clients(at_s) for at_s in ROUNDS_AT_S]
    await asyncio.gather(*clients)
    watching.cancel()
    return broken


run_case(main)
