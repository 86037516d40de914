"""Opens a connection to an endpoint within a timeout."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from holdgw.wire.address import Address, format_address

if TYPE_CHECKING:
    from holdgw.router.endpoint_connection import EndpointConnection

LATE_TIMER_S = 0.02
"""A timer this late shows that the event loop stalled; completed dials may not have been handled yet."""


class DialTimeoutError(Exception):
    """The connection was not established in time; not an OSError, which a refused connection raises."""

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
        due_s = loop.time() + timeout_s
        await asyncio.wait((connecting,), timeout=timeout_s)
        if not connecting.done() and loop.time() - due_s > LATE_TIMER_S:
            # After a stall the event loop runs the timer before it handles the established connection.
            await asyncio.wait((connecting,), timeout=LATE_TIMER_S)
        if not connecting.done():
            raise DialTimeoutError(address, timeout_s)
        _, connection = connecting.result()
    except BaseException:
        connecting.cancel()
        raise
    opened: EndpointConnection = connection
    return opened
