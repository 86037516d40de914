"""One command or HTTP request to an endpoint, and its outcome."""

from __future__ import annotations

from abc import abstractmethod
from typing import TYPE_CHECKING

from holdgw.policy import CacheStatus, Outcome
from holdgw.wire.address import Address

if TYPE_CHECKING:
    from holdgw.router.endpoint_connection import EndpointConnection


class Exchange:
    """One request to an endpoint; `on_end` is called exactly once, whatever happens."""

    connection: EndpointConnection | None = None
    """The connection that it is written on; None before and after."""
    ended = False
    is_health_check = False
    first_on_connection = False
    """Whether no exchange was on its connection before."""
    response_started = False
    """Whether some of its answer has arrived."""

    def cancellation_reason(self) -> Outcome | None:
        """Why it must not be written any more; None: it may be. Asked in the turn in which it would be."""
        return None

    def on_written(self) -> None:
        """Note that the kernel has taken the last byte of the request."""

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
        note: CacheStatus | None = None,
        report: bytes | None = None,
    ) -> None:
        """Take the outcome.

        `value`: the value as a RESP2 bulk string, unless it was streamed; `note`: the cache status that the
        answer states; `report`: its encoded load report.
        """

    def end(
        self,
        outcome: Outcome,
        value: bytes | None = None,
        note: CacheStatus | None = None,
        report: bytes | None = None,
    ) -> None:
        """End the exchange as for `on_end`, unless it has ended already."""
        if not self.ended:
            self.ended = True
            self.connection = None
            self.on_end(outcome, value, note, report)

    def abandon(self, outcome: Outcome) -> None:
        """End the exchange without its answer."""
        connection = self.connection
        if connection is not None:
            connection.exchange = None
            pool = connection.endpoint.pool
            pool.counters.abandoned += 1
            # The next exchange would take the late answer for its own. So the connection waits for that
            # answer and drops it, or is closed.
            keeps_connection = (
                outcome is Outcome.TIMEOUT
                and not self.response_started
                and pool.keep_for_late_answer(connection)
            )
            if not keeps_connection:
                connection.close()
        self.end(outcome)
