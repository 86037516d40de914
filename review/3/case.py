"""A long value that breaks off costs the requests behind it on its client's connection."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import ENDED, CacheServer, Link, World, answer_of, default_settings, make_value, reset, run_case

LONG_BYTES = 100_000
LONG_KEYS = 25
"""Of the keys, which have long values: one in twenty."""
KEYS = 500
SHARE = 0.1
"""Of the long answers, under which the connection is reset: "some"."""
SENT_BYTES = 40_000
"""Of such an answer, before the reset."""
RESET_AFTER_S = 0.8
"""When the reset comes: "also long after"; the requests have 1.2 s."""
SECONDS = 30
CLIENTS = 6
COMMANDS = 20
"""That a client sends at once; it sends the next ones when all of these are answered."""
MEAN_PAUSE_S = 0.2
PATIENCE_S = 20.0


async def send_and_read(link: Link) -> None:
    """Send commands together, and read all answers."""
    keys = [b"item/%d" % link.world.random.randrange(KEYS) for _ in range(COMMANDS)]
    link.writer.write(b"".join(link.command(key) for key in keys))
    while link.waiting:
        async with asyncio.timeout(PATIENCE_S):
            await link.read_one()


def lost_requests(link: Link, error: Exception, caches: list[CacheServer], cut_off: set[bytes]) -> list[str]:
    """Return the requests that were forwarded, whose answers came whole, and that have no answer."""
    age_s = link.record.now() - link.sent_at[link.waiting[0]]
    link.record("connection", link.name, repr(error), "unanswered", len(link.waiting))
    why = link.closed_by_router or "nothing came"
    return [
        f"request {request.decode()} was forwarded and has no answer after {age_s:.2f} s: {why}"
        for request in list(link.waiting)[1:]  # of the first one, a part was passed on
        if request not in cut_off and any(request in cache.attempted for cache in caches)
    ]


async def main(world: World, trouble: bool) -> list[str]:
    """Play the case; returns what `lost_requests` finds on all connections."""
    cut_off: set[bytes] = set()

    async def on_get(server, words, _following, writer) -> bool:
        if int(words[1][len(b"item/") :]) >= LONG_KEYS:
            return False
        await asyncio.sleep(server.work_s)
        answer = answer_of(make_value(words[2], words[1], server.name, LONG_BYTES))
        if not trouble or world.random.random() >= SHARE:
            writer.write(answer)
            return True
        cut_off.add(words[2])
        writer.write(answer[:SENT_BYTES])
        await asyncio.sleep(RESET_AFTER_S)
        world.record("reset under", server.name, words[2].decode())
        reset(writer)
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
            broken.extend(lost_requests(link, error, caches, cut_off))
        link.close()

    async def client(number: int) -> None:
        end = world.record.now() + SECONDS
        while world.record.now() < end:
            await stay_connected(number, end)

    await asyncio.gather(*(client(number) for number in range(CLIENTS)))
    return broken


run_case(main)
