"""Starts the router, and ends it in good order on SIGTERM."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from dataclasses import replace

import uvloop

from holdgw.policy import ListKind
from holdgw.policy.interface import NS_PER_S
from holdgw.router.clients import ClientServer
from holdgw.router.config import Config, ConfigError, load_config
from holdgw.router.discovery import Clock, Discovery, Listing, read_listing
from holdgw.router.host import RouterHost
from holdgw.router.log import make_logger
from holdgw.router.upstream import Pool
from holdgw.wire.address import Address

READY_S = 1.0  # the wait for discovery's first list, after which the known one must do
ACCEPT_S = 0.5  # from SIGTERM on: new connections go on coming for up to 0.4 s
MIDWAY_S = 0.65  # then commands that are not whole are no longer waited for
KILL_SLACK_S = 0.65  # beyond the longest deadline; SIGKILL comes no sooner than 0.7 s
DRAIN_STEP_S = 0.01
OWN_DESCRIPTORS = 32  # standard streams, the listener, the event loop, discovery
CLIENT_SHARE = 0.5  # of the other descriptors: clients' requests hold a third of all at most

log = logging.getLogger("holdgw")


async def serve(config: Config, listening: asyncio.Future[Address] | None = None) -> None:
    """Run until SIGTERM, and then until all that was taken is answered; tells where it listens."""
    loop = asyncio.get_running_loop()
    # Danger: a fault in one callback, printed each time it comes, would take the CPU of the others.
    loop.set_exception_handler(
        lambda _, context: log.error("%s", context["message"], exc_info=context.get("exception"))
    )
    terminated = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, terminated.set)
    descriptors = max(config.sockets - OWN_DESCRIPTORS, 8)
    for_clients = int(descriptors * CLIENT_SHARE)
    pool = Pool(loop, descriptors - for_clients, config.dial_timeout / NS_PER_S, config.idle_close / NS_PER_S)
    host = RouterHost(loop, config.settings, config.seed, pool, config.max_open)
    clients = ClientServer(loop, host, for_clients)

    def take(listing: Listing) -> None:
        host.servers_changed(listing)
        host.ready = True

    def make_do() -> None:
        host.ready = True

    clock = Clock()
    asked = config.settings.must_subscribe
    discovery = Discovery(config.discovery, asked, clock, take, host.discovery_failed)
    host.subscribe = discovery.subscribe
    if config.known is not None:
        known = read_listing(config.known, clock, ListKind.CACHED)
        discovery.know(known.generation)
        host.servers_changed(known)
    loop.add_signal_handler(signal.SIGHUP, _reload, config, discovery)
    address = await clients.listen(config.listen)
    if listening is not None:
        listening.set_result(address)
    if not asked:
        discovery.start()
    if config.known is not None:
        loop.call_later(READY_S, make_do)
    await terminated.wait()
    await _drain(loop, config, host, clients)
    clients.close()
    host.close()
    discovery.close()
    pool.close()
    await asyncio.sleep(0)  # lets the transports close


def _reload(config: Config, discovery: Discovery) -> None:
    """Read the configuration again, while all goes on; what can't be read changes nothing."""
    try:
        new = load_config(os.environ, again=True)
    except ConfigError as error:
        log.error("reload: %s; the old configuration stays", error)
        return
    log.info("reload: discovery at %s:%d", *new.discovery)
    discovery.move(new.discovery)
    kept = replace(new, discovery=config.discovery, known=config.known, seed=config.seed)
    if kept != config:
        log.warning("reload: only the address of discovery is taken over; the rest waits for a restart")


async def _drain(
    loop: asyncio.AbstractEventLoop, config: Config, host: RouterHost, clients: ClientServer
) -> None:
    """Answer all that is taken, close clients' connections between requests, be done before the kill."""
    begun = loop.time()
    longest = max(cls.deadline for cls in config.settings.classes) / NS_PER_S
    # Danger: clients are sent here for a while yet, and what they send to a closed door is lost.
    await asyncio.sleep(ACCEPT_S)
    clients.stop_accepting()
    while clients.connected and loop.time() < begun + longest + KILL_SLACK_S:
        await asyncio.sleep(DRAIN_STEP_S)
        if loop.time() >= begun + MIDWAY_S:
            clients.finish(even_midway=True)


def main() -> int:
    """Start the router; returns the exit code."""
    # Danger: until the loop handles it, SIGHUP would end the process. A reload asked for so early is not
    # missed: the file is read after this.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        config = load_config(os.environ)
        if config.known is not None:
            read_listing(config.known, Clock())
    except (ConfigError, ValueError) as error:
        print(f"holdgw: {error}", file=sys.stderr)
        return 2
    make_logger(config.name)
    try:
        uvloop.run(serve(config))
    except OSError as error:
        print(f"holdgw: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
