"""Gets the complete endpoint list from discovery once, then watches discovery for changes without a gap.

By PROTOCOL a change counts as notified to the router 6 s after discovery had it and could be reached,
whatever failed meanwhile. A watch that gets no answer must therefore be detected in time:

- Where lists are pushed by an agent on this machine, a call of a watch times out after `PUSHED_WAIT_MS` and
  `CALL_SLACK_S`. After a failed call the complete list is requested until it comes, by concurrent calls with
  a long and with a short timeout; the list of an agent that has come back is received within
  `QUICK_TIMEOUT_S`.
- Where discovery is polled, one service for all routers, a call of a watch times out after `POLL_WAIT_MS` and
  `POLL_SLACK_S` while the service has capacity. Otherwise `watch_timeout` sets the wait: shorter waits
  would keep an overloaded service from answering at all.

While discovery is down the endpoint list last received stays in force.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from holdgw.operation.endpoint_update import EndpointUpdate
from holdgw.policy import UpdateKind
from holdgw.router.discovery_client import DiscoveryClient
from holdgw.router.endpoint_list import Clock, read_endpoint_list
from holdgw.router.watch_timeout import WatchTimeout
from holdgw.wire.address import Address

LIST_PATH = "/registry/instances"
# The wait of a call of a watch: how long discovery may hold the call until there is a change.
PUSHED_WAIT_MS = 2_000  # calls to an agent are cheap; a lost answer delays a change by at most this wait
POLL_WAIT_MS = 3_000  # while the polled service has capacity; each call costs the service work
MAX_POLL_WAIT_MS = 20_000  # while the polled service is overloaded
# The call times out this long after its wait.
CALL_SLACK_S = 0.5  # at an agent on this machine
POLL_SLACK_S = 1.0  # at a polled service, which answers all routers' calls one after the other
LIST_TIMEOUT_S = 2.0  # timeout of a call for the complete list
# Shortest time between the starts of two calls for the complete list. A watch counts as uninterrupted if its
# next call comes within 0.2 s (PROTOCOL, "Discovery").
RETRY_S = 0.1
# Short timeout of a call for the complete list: an agent on this machine answers by then or not at all.
QUICK_TIMEOUT_S = 0.1

log = logging.getLogger("holdgw")


class _Watch:
    """The watch at one discovery service: its address, its client, and the version of the list received."""

    def __init__(self, address: Address, generation: int, needs_full_list: bool) -> None:
        self.address = address
        self.generation = generation
        self.needs_full_list = needs_full_list
        self.is_down = False
        """Whether the last call failed; then the failure has been logged."""
        self.task: asyncio.Task[None] | None = None
        self.full_list_calls: list[asyncio.Task[EndpointUpdate]] = []
        self.client = DiscoveryClient(address)
        self.timeout = WatchTimeout(POLL_WAIT_MS / 1000, MAX_POLL_WAIT_MS / 1000)

    @property
    def running(self) -> bool:
        """Whether a task is watching the service."""
        return self.task is not None and not self.task.done()

    def record_failure(self, error: Exception) -> None:
        """Record a failed call; only the first of consecutive failures is logged."""
        if not self.is_down:
            log.warning("discovery call failed error=%s", str(error) or type(error).__name__)
        self.is_down = True

    def close(self) -> None:
        """Stop watching the service."""
        for task in (self.task, *self.full_list_calls):
            if task is not None:
                task.cancel()
        self.client.close()


class Discovery:
    """Keeps the endpoint list up to date; a failed call leaves the list last received unchanged."""

    def __init__(
        self,
        address: Address,
        is_polled: bool,
        clock: Clock,
        apply: Callable[[EndpointUpdate], None],
        poll_failed: Callable[[], None],
        now_s: Callable[[], float] | None = None,
    ) -> None:
        """Prepare to watch the service at an address; `start` or `subscribe` begins the watch.

        Args:
            address: The service's address.
            is_polled: Whether one service is polled by all routers; otherwise an agent pushes lists.
            clock: Converts the start times of endpoints.
            apply: Called with each endpoint update.
            poll_failed: Called when a watch ends with a failed call, where discovery is polled.
            now_s: The clock, in seconds, that measures a service's delay; the event loop's if None.
        """
        self._is_polled = is_polled
        self._clock = clock
        self._now_s = now_s
        self._apply = apply
        self._poll_failed = poll_failed
        self._watch = _Watch(address, 0, needs_full_list=True)
        self._previous_watch: _Watch | None = None
        """The watch at the address before a change; it goes on until the new address has sent a list."""

    def resume_from(self, generation: int) -> None:
        """Continue from the version of a list that was received from another source.

        Where discovery is polled, the watch begins with the changes since that version. Calls to an agent
        are cheap, so its complete list is requested all the same.
        """
        self._watch.generation = generation
        self._watch.needs_full_list = not self._is_polled

    def start(self) -> None:
        """Get the complete list and watch from then on, where lists are pushed."""
        watch = self._watch
        watch.task = asyncio.get_running_loop().create_task(self._follow(watch))

    def subscribe(self) -> None:
        """Watch from the current version until a call fails, where discovery is polled."""
        watch = self._watch
        if not watch.running:
            watch.task = asyncio.get_running_loop().create_task(self._poll(watch))

    def change_address(self, address: Address) -> None:
        """Watch discovery at another address, beginning with its complete list.

        Each service numbers its versions on its own. The new address may be wrong or its service not up yet,
        so the old address is watched until the new one has sent a list.
        """
        watch = self._watch
        if address == watch.address:
            return
        if self._previous_watch is not None:
            watch.close()  # its service has never sent a list
        else:
            self._previous_watch = watch
        self._watch = _Watch(address, 0, needs_full_list=True)
        if not self._is_polled:
            self.start()
        elif watch.running:
            self.subscribe()

    def close(self) -> None:
        """Stop watching discovery, at the previous address too."""
        self._watch.close()
        self._close_previous_watch()

    def _close_previous_watch(self) -> None:
        if self._previous_watch is not None:
            self._previous_watch.close()
            self._previous_watch = None

    async def _follow(self, watch: _Watch) -> None:
        """Watch an agent without end; the agent is on this machine, so calls are cheap."""
        while True:
            if watch.needs_full_list:
                await self._get_full_list(watch)
                continue
            try:
                await self._get_update(watch, PUSHED_WAIT_MS, CALL_SLACK_S)
            except Exception as error:
                watch.record_failure(error)
                # A restarted agent may count its versions from the start again, and would send nothing until
                # these had passed the version held here.
                watch.needs_full_list = True

    async def _get_full_list(self, watch: _Watch) -> None:
        """Get the complete list, with as many calls as that takes.

        An agent's list counts as notified to the router from the moment at which the agent comes back. One
        call whose answer is lost would delay the list by that call's timeout; short timeouts alone would
        never get a list from a slow agent. Hence two calls at a time, one with a long and one with a short
        timeout.
        """
        loop = asyncio.get_running_loop()
        long_timeout_client, short_timeout_client = watch.client, DiscoveryClient(watch.address)
        clients = [long_timeout_client, short_timeout_client]
        watch.full_list_calls = calls = [
            loop.create_task(
                self._retry_full_list(watch, long_timeout_client, LIST_TIMEOUT_S, first_delay_s=0.0)
            ),
            loop.create_task(
                self._retry_full_list(watch, short_timeout_client, QUICK_TIMEOUT_S, first_delay_s=RETRY_S)
            ),
        ]
        try:
            await asyncio.wait(calls, return_when=asyncio.FIRST_COMPLETED)
            first_done = next(i for i, call in enumerate(calls) if call.done())
            update = calls[first_done].result()
            watch.client = clients.pop(first_done)
        finally:
            for call in calls:
                call.cancel()
            for client in clients:
                client.close()
        self._received(watch, update)

    async def _retry_full_list(
        self, watch: _Watch, client: DiscoveryClient, timeout_s: float, first_delay_s: float
    ) -> EndpointUpdate:
        """Request the complete list until a call succeeds."""
        loop = asyncio.get_running_loop()
        delay_s = first_delay_s
        while True:
            await asyncio.sleep(delay_s)
            started_s = loop.time()
            try:
                return read_endpoint_list(await client.get(LIST_PATH, timeout_s), self._clock)
            except Exception as error:
                watch.record_failure(error)
            delay_s = max(started_s + RETRY_S - loop.time(), 0.0)

    async def _poll(self, watch: _Watch) -> None:
        """Watch until the first failed call; the routing policy decides when to subscribe again."""
        try:
            while True:
                await self._poll_once(watch)
        except Exception as error:
            watch.record_failure(error)
            watch.timeout.failed()
        watch.task = None
        if watch is self._watch:
            self._poll_failed()

    async def _poll_once(self, watch: _Watch) -> None:
        """Make one call to a service that all routers poll; its delay sets the next call's wait."""
        now_s = self._now_s or asyncio.get_running_loop().time
        was_full_list = watch.needs_full_list
        wait_ms = int(watch.timeout.wait_s * 1000)
        started_s = now_s()
        await self._get_update(watch, wait_ms, POLL_SLACK_S)
        # The event loop's clock counts whole milliseconds. In seconds, rounding errors would make four in ten
        # answers that come exactly at the end of the wait seem early.
        delay_ms = round((now_s() - started_s) * 1000) - wait_ms
        # A change ends a call sooner; its time doesn't show how late the service handled the call.
        if delay_ms >= 0 and not was_full_list:
            watch.timeout.timed_out(delay_ms / 1000)

    async def _get_update(self, watch: _Watch, wait_ms: int, slack_s: float) -> None:
        """Make one call of a watch, which waits for changes after the version held."""
        target = LIST_PATH
        timeout_s = LIST_TIMEOUT_S
        if not watch.needs_full_list:
            target = f"{LIST_PATH}?index={watch.generation}&wait={wait_ms}"
            timeout_s = wait_ms / 1000 + slack_s
        self._received(watch, read_endpoint_list(await watch.client.get(target, timeout_s), self._clock))

    def _received(self, watch: _Watch, update: EndpointUpdate) -> None:
        if watch is self._watch:
            self._close_previous_watch()
        # Versions that have gone back are those of another process at this address, which sends what is newer
        # than the version that it is asked for: what its list has beside that is only in the complete list.
        is_older = update.generation < watch.generation
        watch.needs_full_list = is_older and update.change.kind is UpdateKind.DELTA
        watch.is_down = False
        watch.generation = update.generation
        self._apply(update)
