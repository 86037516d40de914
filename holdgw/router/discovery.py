"""Follows discovery: the complete endpoint list once, then a watch that goes on without a gap.

A change counts as notified 6 s after discovery had it and could be reached, whatever failed meanwhile. So a
watch that falls silent must be found out in time:

- Where lists are pushed by an agent on this machine, a watch waits `PUSHED_WAIT_MS` and `CALL_SLACK_S`.
  After a failed call the complete list is requested until it comes, by a patient call and a quick one beside
  it; what the agent has at its return is known within `QUICK_TIMEOUT_S`.
- Where discovery is polled, one service for all routers, a watch waits `POLL_WAIT_MS` and `POLL_SLACK_S`
  while the service has capacity. Else it waits as `watch_timeout` says: shorter waits would keep an
  overbooked service from answering at all.

While discovery is down the endpoint list last received stays in force.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from holdgw.operation.endpoint_update import EndpointUpdate
from holdgw.router.discovery_client import DiscoveryClient
from holdgw.router.endpoint_list import Clock, read_endpoint_list
from holdgw.router.watch_timeout import WatchTimeout
from holdgw.wire.address import Address

LIST_PATH = "/registry/instances"
PUSHED_WAIT_MS = 2_000  # an agent's answers cost nothing, and a lost one is missed for so long at most
POLL_WAIT_MS = 3_000  # each call costs the service work: so short while it has capacity
MAX_POLL_WAIT_MS = 20_000  # and so long if not
CALL_SLACK_S = 0.5  # beyond a watch's wait, for an agent on this machine
POLL_SLACK_S = 1.0  # the same for a service that works through all routers' calls in turn
LIST_TIMEOUT_S = 2.0  # for a complete list
RETRY_S = 0.1  # a watch goes on if the next call comes within 0.2 s
QUICK_TIMEOUT_S = 0.1  # in which an agent on this machine answers, if it does

log = logging.getLogger("holdgw")


class _Watch:
    """One discovery service that is followed: its address, the client for it, the version of its list."""

    def __init__(self, address: Address, generation: int, needs_full_list: bool) -> None:
        self.address = address
        self.generation = generation
        self.needs_full_list = needs_full_list
        self.is_down = False
        """Whether the last call failed, which was logged."""
        self.task: asyncio.Task[None] | None = None
        self.full_list_calls: list[asyncio.Task[EndpointUpdate]] = []
        self.client = DiscoveryClient(address)
        self.timeout = WatchTimeout(POLL_WAIT_MS / 1000, MAX_POLL_WAIT_MS / 1000)

    @property
    def running(self) -> bool:
        """Whether a task follows the service."""
        return self.task is not None and not self.task.done()

    def failed(self, error: Exception) -> None:
        """Log a failed call, the first of those in a row."""
        if not self.is_down:
            log.warning("discovery call failed error=%s", str(error) or type(error).__name__)
        self.is_down = True

    def close(self) -> None:
        """Stop following the service."""
        for task in (self.task, *self.full_list_calls):
            if task is not None:
                task.cancel()
        self.client.close()


class Discovery:
    """Keeps the endpoint list up to date; a failed call changes nothing of the list last received."""

    def __init__(
        self,
        address: Address,
        is_polled: bool,
        clock: Clock,
        apply: Callable[[EndpointUpdate], None],
        poll_failed: Callable[[], None],
        now_s: Callable[[], float] | None = None,
    ) -> None:
        """Follow the service at an address, once `start` or `subscribe` is called.

        Args:
            address: Where the service is.
            is_polled: Whether one service is polled by all routers; else an agent pushes lists.
            clock: Converts the start times of endpoints.
            apply: Takes each endpoint update.
            poll_failed: Called when a watch ends with a failed call, where discovery is polled.
            now_s: The clock by which a service's delay is measured; the event loop's if None.
        """
        self._is_polled = is_polled
        self._clock = clock
        self._now_s = now_s
        self._apply = apply
        self._poll_failed = poll_failed
        self._watch = _Watch(address, 0, needs_full_list=not is_polled)
        self._previous_watch: _Watch | None = None
        """The address before a change, followed until the new one has given a list."""

    def resume_from(self, generation: int) -> None:
        """Continue from the version of a list that came from elsewhere."""
        self._watch.generation = generation

    def start(self) -> None:
        """Where lists are pushed: get the complete list, and watch from then on."""
        watch = self._watch
        watch.task = asyncio.get_running_loop().create_task(self._follow(watch))

    def subscribe(self) -> None:
        """Where discovery is polled: watch from the version held until a call fails."""
        watch = self._watch
        if not watch.running:
            watch.task = asyncio.get_running_loop().create_task(self._poll(watch))

    def change_address(self, address: Address) -> None:
        """Follow discovery at another address, from its complete list on: versions are each service's own.

        The new address may be wrong or not up yet, so the service at the old one is followed until the new
        one has given a list.
        """
        watch = self._watch
        if address == watch.address:
            return
        if self._previous_watch is not None:
            watch.close()  # it never gave a list
        else:
            self._previous_watch = watch
        self._watch = _Watch(address, 0, needs_full_list=True)
        if not self._is_polled:
            self.start()
        elif watch.running:
            self.subscribe()

    def close(self) -> None:
        """Stop following discovery."""
        self._watch.close()
        self._close_previous_watch()

    def _close_previous_watch(self) -> None:
        if self._previous_watch is not None:
            self._previous_watch.close()
            self._previous_watch = None

    async def _follow(self, watch: _Watch) -> None:
        """Follow an agent for good: it is on this machine, so calls cost nothing."""
        while True:
            if watch.needs_full_list:
                await self._get_full_list(watch)
                continue
            try:
                await self._get_update(watch, PUSHED_WAIT_MS, CALL_SLACK_S)
            except Exception as error:
                watch.failed(error)
                # An agent that was restarted may count its versions anew, and would send nothing until it
                # had passed ours.
                watch.needs_full_list = True

    async def _get_full_list(self, watch: _Watch) -> None:
        """Get the complete list, however often it takes.

        What an agent has counts as notified from the moment of its return. One call whose answer is lost
        would delay it by that call's timeout; a short timeout alone would never get a list from a slow agent.
        Hence two calls at a time, of which one is patient.
        """
        loop = asyncio.get_running_loop()
        patient, quick = watch.client, DiscoveryClient(watch.address)
        clients = [patient, quick]
        watch.full_list_calls = calls = [
            loop.create_task(self._retry_full_list(watch, patient, LIST_TIMEOUT_S, first_delay_s=0.0)),
            loop.create_task(self._retry_full_list(watch, quick, QUICK_TIMEOUT_S, first_delay_s=RETRY_S)),
        ]
        try:
            await asyncio.wait(calls, return_when=asyncio.FIRST_COMPLETED)
            first = next(i for i, call in enumerate(calls) if call.done())
            update = calls[first].result()
            watch.client = clients.pop(first)
        finally:
            for call in calls:
                call.cancel()
            for client in clients:
                client.close()
        self._received(watch, update)

    async def _retry_full_list(
        self, watch: _Watch, client: DiscoveryClient, timeout_s: float, first_delay_s: float
    ) -> EndpointUpdate:
        """Request the complete list until it comes."""
        loop = asyncio.get_running_loop()
        delay_s = first_delay_s
        while True:
            await asyncio.sleep(delay_s)
            started_s = loop.time()
            try:
                return read_endpoint_list(await client.get(LIST_PATH, timeout_s), self._clock)
            except Exception as error:
                watch.failed(error)
            delay_s = max(started_s + RETRY_S - loop.time(), 0.0)

    async def _poll(self, watch: _Watch) -> None:
        """Watch until the first failed call; the routing policy decides when to subscribe again."""
        try:
            while True:
                await self._poll_once(watch)
        except Exception as error:
            watch.failed(error)
            watch.timeout.failed()
        watch.task = None
        if watch is self._watch:
            self._poll_failed()

    async def _poll_once(self, watch: _Watch) -> None:
        """Make one call at a service for all routers; its delay decides on the next call's wait."""
        now_s = self._now_s or asyncio.get_running_loop().time
        was_full_list = watch.needs_full_list
        wait_ms = int(watch.timeout.wait_s * 1000)
        started_s = now_s()
        await self._get_update(watch, wait_ms, POLL_SLACK_S)
        # The loop counts whole milliseconds: in seconds, four in ten answers on the very one come out early.
        delay_ms = round((now_s() - started_s) * 1000) - wait_ms
        # A change ends a call sooner, and does not tell when the service got to it.
        if delay_ms >= 0 and not was_full_list:
            watch.timeout.timed_out(delay_ms / 1000)

    async def _get_update(self, watch: _Watch, wait_ms: int, slack_s: float) -> None:
        """Make one call of a watch, which waits for what is newer than the version held."""
        target = LIST_PATH
        timeout_s = LIST_TIMEOUT_S
        if not watch.needs_full_list:
            target = f"{LIST_PATH}?index={watch.generation}&wait={wait_ms}"
            timeout_s = wait_ms / 1000 + slack_s
        self._received(watch, read_endpoint_list(await watch.client.get(target, timeout_s), self._clock))

    def _received(self, watch: _Watch, update: EndpointUpdate) -> None:
        if watch is self._watch:
            self._close_previous_watch()
        watch.needs_full_list = False
        watch.is_down = False
        watch.generation = update.generation
        self._apply(update)
