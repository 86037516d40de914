"""One command or HTTP request to an endpoint, and its outcome."""

from __future__ import annotations

from abc import abstractmethod
from typing import TYPE_CHECKING

from holdgw.policy import CacheStatus, Outcome
from holdgw.wire.address import Address

if TYPE_CHECKING:
    from holdgw.router.endpoint_connection import EndpointConnection


class Exchange:
    """One request to an endpoint; `on_end` is called exactly once, whatever the outcome."""

    connection: EndpointConnection | None = None
    """The connection that the request is written on; None before the write and after the end."""
    ended = False
    is_health_check = False
    first_on_connection = False
    """Whether the exchange is the first on its connection."""
    response_started = False
    """Whether a part of the answer has arrived."""

    def cancellation_reason(self) -> Outcome | None:
        """The outcome if the request must not be written any more, else None; called right before a write."""
        return None

    def on_written(self) -> None:
        """Note that the kernel has accepted the last byte of the request."""

    @abstractmethod
    def request_bytes(self, address: Address) -> bytes:
        """Encode the request for the endpoint at `address`; called when it is about to be written."""

    def value_started(self, length: int) -> None:
        """Take the start of a value of `length` bytes that is streamed because it is too long to buffer."""

    def value_part(self, data: bytes) -> None:
        """Take a part of the streamed value."""

    def value_complete(self) -> None:
        """Take the end of the streamed value."""

    @abstractmethod
    def on_end(
        self,
        outcome: Outcome,
        value: bytes | None = None,
        cache_status: CacheStatus | None = None,
        report: bytes | None = None,
    ) -> None:
        """Take the outcome.

        Args:
            outcome: How the exchange ended.
            value: The value as a RESP2 bulk string; None if there is none, or it was streamed.
            cache_status: The cache status in the answer.
            report: The load report in the answer, encoded.
        """

    def end(
        self,
        outcome: Outcome,
        value: bytes | None = None,
        cache_status: CacheStatus | None = None,
        report: bytes | None = None,
    ) -> None:
        """End the exchange as for `on_end`, unless it has ended already."""
        if not self.ended:
            self.ended = True
            self.connection = None
            self.on_end(outcome, value, cache_status, report)

    def abandon(self, outcome: Outcome) -> None:
        """End the exchange without its answer."""
        connection = self.connection
        if connection is not None:
            connection.exchange = None
            pool = connection.endpoint.pool
            pool.counters.abandoned += 1
            # The next exchange on this connection would receive the late answer as its own. The connection
            # therefore waits for that answer and drops it, or is closed.
            keeps_connection = (
                outcome is Outcome.TIMEOUT
                and not self.response_started
                and pool.keep_for_late_answer(connection)
            )
            if not keeps_connection:
                connection.close()
        self.end(outcome)
