"""Opens one connection within a time limit."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from holdgw.wire.address import Address, format_address

if TYPE_CHECKING:
    from holdgw.router.endpoint_connection import EndpointConnection

LATE_TIMER_S = 0.02
"""A timer this late means that the event loop was held up, and that news may wait in the kernel."""


class DialTimeoutError(Exception):
    """The connection did not come up in time; not an OSError, which is what a refusal raises."""

    def __init__(self, address: Address, timeout_s: float) -> None:
        super().__init__(f"dial timed out address={format_address(address)} timeout_s={timeout_s:g}")
        self.address = address
        self.timeout_s = timeout_s


async def open_connection(
    loop: asyncio.AbstractEventLoop,
    address: Address,
    factory: Callable[[], EndpointConnection],
    timeout_s: float,
) -> EndpointConnection:
    """Connect to `address`; raises DialTimeoutError, or OSError where the connection is refused."""
    protocol_factory: Any = factory
    connecting = loop.create_task(loop.create_connection(protocol_factory, *address))
    try:
        due = loop.time() + timeout_s
        await asyncio.wait((connecting,), timeout=timeout_s)
        if not connecting.done() and loop.time() - due > LATE_TIMER_S:
            # After a stall of the loop the timer runs before the news that the connection is up.
            await asyncio.wait((connecting,), timeout=LATE_TIMER_S)
        if not connecting.done():
            raise DialTimeoutError(address, timeout_s)
        _, connection = connecting.result()
    except BaseException:
        connecting.cancel()
        raise
    opened: EndpointConnection = connection
    return opened
