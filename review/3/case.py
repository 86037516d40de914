"""A spoilt answer with a wrong length costs the requests behind it on its client's connection."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import ENDED, CacheServer, Link, World, default_settings, make_value, run_case

SHARE = 0.01
"""Of the answers, which are spoilt: "some"."""
SAID_BYTES = 100_000
"""The length that a spoilt answer names; 200 bytes follow."""
SECONDS = 30
CLIENTS = 6
COMMANDS = 20
"""That a client sends at once; it sends the next ones when all of these are answered."""
MEAN_PAUSE_S = 0.2
KEYS = 500
PATIENCE_S = 20.0
"""For which a client waits for each answer, although its requests have 1.2 s."""


async def send_and_read(link: Link) -> None:
    """Send commands together, and read all answers."""
    keys = [b"item/%d" % link.world.random.randrange(KEYS) for _ in range(COMMANDS)]
    link.writer.write(b"".join(link.command(key) for key in keys))
    while link.waiting:
        async with asyncio.timeout(PATIENCE_S):
            await link.read_one()


def lost_requests(link: Link, error: Exception, caches: list[CacheServer], spoilt: set[bytes]) -> list[str]:
    """Return the requests of a connection that were forwarded, are not spoilt and have no answer."""
    age_s = link.record.now() - link.sent_at[link.waiting[0]]
    link.record("connection", link.name, repr(error), "unanswered", len(link.waiting))
    why = link.closed_by_router or "nothing came"
    return [
        f"request {request.decode()} was forwarded and has no answer after {age_s:.1f} s: {why}"
        for request in list(link.waiting)[1:]  # of the first one, a part was passed on
        if request not in spoilt and any(request in cache.attempted for cache in caches)
    ]


async def main(world: World, trouble: bool) -> list[str]:
    """Play the case; returns the requests that were forwarded, are not spoilt and have no answer."""
    spoilt: set[bytes] = set()

    async def on_get(server, words, following, writer) -> bool:
        if not trouble or world.random.random() >= SHARE:
            return False
        await asyncio.sleep(server.work_s)
        spoilt.add(words[2])
        world.record("spoilt answer", server.name, words[2].decode())
        value = make_value(words[2], words[1], server.name, server.size)
        writer.write(b"*3\r\n$%d\r\n%b" % (SAID_BYTES, value))
        await asyncio.wait((following,))  # the connection stays open and is of no further use
        return True

    caches = [await world.add(CacheServer(f"s{number}", world.record)) for number in range(6)]
    for cache in caches:
        cache.on_get = on_get
    router = await world.deploy(caches, [cache.address for cache in caches], default_settings())
    broken: list[str] = []

    async def stay_connected(number: int, end: float) -> None:
        link = Link(world, router, f"c{number}")
        await link.open()
        try:
            while world.record.now() < end:
                await send_and_read(link)
                await asyncio.sleep(world.random.expovariate(1 / MEAN_PAUSE_S))
        except (*ENDED, TimeoutError) as error:
            broken.extend(lost_requests(link, error, caches, spoilt))
        link.close()

    async def client(number: int) -> None:
        end = world.record.now() + SECONDS
        while world.record.now() < end:
            await stay_connected(number, end)

    await asyncio.gather(*(client(number) for number in range(CLIENTS)))
    return broken


run_case(main)
