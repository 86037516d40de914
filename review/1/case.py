"""A second answer that comes some milliseconds late is served to the next client as its own."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import CacheServer, DelayProxy, Link, World, default_settings, run_case

ONE_WAY_S = 0.004
"""Between two data centres; the brief says 2.8 to 5.2 ms."""
LATE_S = 0.003
"""How late a second answer is: "some milliseconds"."""
SHARE = 0.02
"""Of the good answers, which bring a second one: "some"."""
SECONDS = 40
CLIENTS = 30
MEAN_PAUSE_S = 0.15
KEYS = 500


async def main(world: World, trouble: bool) -> list[str]:
    """Play the case; returns the answers that were made for another request."""
    second_answers = 0

    async def on_get(server, words, following, writer) -> bool:
        nonlocal second_answers
        if not trouble or world.random.random() >= SHARE:
            return False
        await asyncio.sleep(server.work_s)
        writer.write(server.good_answer(words))
        await asyncio.sleep(LATE_S)
        if not following.done():  # nothing else waits on the connection
            second_answers += 1
            world.record("second answer", server.name, words[2].decode())
            writer.write(server.good_answer(words))
        return True

    settings = default_settings()
    caches, addresses = [], []
    for number in range(6):
        cache = await world.add(CacheServer(f"s{number}", world.record))
        cache.on_get = on_get
        caches.append(cache)
        # The router is in the first zone; every third cache server is, too.
        proxy = await world.add(DelayProxy(cache.address, ONE_WAY_S, world.record)) if number % 3 else cache
        addresses.append(proxy.address)
    router = await world.deploy(caches, addresses, settings)
    broken: list[str] = []

    async def client(number: int) -> None:
        link = Link(world, router, f"c{number}")
        await link.open()
        end = world.record.now() + SECONDS
        while world.record.now() < end:
            await asyncio.sleep(world.random.expovariate(1 / MEAN_PAUSE_S))
            key = b"item/%d" % world.random.randrange(KEYS)
            link.writer.write(link.command(key))
            request, answer = await link.read_one()
            own = b"made-for=%b key=%b " % (request, key)
            if not answer.startswith((b"-", own)):
                got = answer[:60].decode().rstrip(".")
                broken.append(f"request {request.decode()} for {key.decode()} was served {got}")
        link.close()

    await asyncio.gather(*(client(number) for number in range(CLIENTS)))
    world.record("second answers sent:", second_answers)
    return broken


run_case(main)
