"""Requests that are unanswered or have attempts in flight, and the ids of recently released requests."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from holdgw.router.recent_ids import RecentIds
from holdgw.router.reply import Reply
from holdgw.router.request_memory import RequestMemory
from holdgw.wire.resp import Command
from holdgw.wire.unread import NS_PER_MS

if TYPE_CHECKING:
    from holdgw.router.attempt import Attempt
    from holdgw.router.begun_value import BegunValue
    from holdgw.router.streamed_value import StreamedValue


class OpenRequest:
    """One request, until it is answered and none of its attempts is in flight."""

    __slots__ = (
        "answered",
        "arrived_ns",
        "attempts",
        "attempts_in_flight",
        "begun_value",
        "class_name",
        "command",
        "deadline_ns",
        "id",
        "last_attempt",
        "reply",
        "stream",
    )

    def __init__(
        self, request_id: str, command: Command, reply: Reply, deadline_ns: int, arrived_ns: int
    ) -> None:
        """Create an unanswered request; times are nanoseconds of the router's monotonic clock."""
        self.id = request_id
        self.command = command
        self.reply = reply
        self.deadline_ns = deadline_ns
        self.arrived_ns = arrived_ns
        self.class_name = command.info.class_name
        self.attempts = 0
        self.attempts_in_flight = 0
        self.answered = False
        """Whether the answer is sent, or is being streamed, or the client has disconnected."""
        self.last_attempt: Attempt | None = None
        self.stream: StreamedValue | None = None
        """The long value that is being streamed as the answer."""
        self.begun_value: BegunValue | None = None
        """What is passed on of a streamed value that another endpoint could complete if it breaks off."""

    @property
    def is_read(self) -> bool:
        """Whether the request changes nothing at the origin."""
        return self.command.value is None

    def remaining_ms(self, now_ns: int) -> int:
        """Milliseconds until the deadline, rounded down; below 1 there is no time for an attempt."""
        return (self.deadline_ns - now_ns) // NS_PER_MS


class OpenRequestTable:
    """The open requests by id, and the ids of requests released recently."""

    def __init__(
        self, max_open: int, memory: RequestMemory, id_window_ns: int, now_ns: Callable[[], int]
    ) -> None:
        """Create an empty table.

        Args:
            max_open: The number of open requests at which the table is full.
            memory: Bounds their bytes.
            id_window_ns: How long the id of a released request is remembered.
            now_ns: A monotonic clock in nanoseconds.
        """
        self.by_id: dict[str, OpenRequest] = {}
        self._max_open = max_open
        self._memory = memory
        self.recent_ids = RecentIds(id_window_ns)
        """The ids of released requests."""
        self._now_ns = now_ns

    def reserve(self, command: Command) -> bool:
        """Reserve the memory of a request that is about to be added; returns whether the table has room."""
        return len(self.by_id) < self._max_open and self._memory.reserve_command(command)

    def add(self, request: OpenRequest) -> None:
        """Add a request whose memory is reserved."""
        self.by_id[request.id] = request

    def knows(self, request_id: str) -> bool:
        """Whether a request with this id is open, or was released recently."""
        return request_id in self.by_id or request_id in self.recent_ids

    def release_if_done(self, request: OpenRequest) -> None:
        """Release a request that is answered and has no attempt in flight; others stay open."""
        if request.answered and not request.attempts_in_flight and request.id in self.by_id:
            del self.by_id[request.id]
            request.last_attempt = None  # the two hold each other, and would stay until a garbage collection
            self._memory.release_command(request.command)
            self.recent_ids.add(request.id, self._now_ns())

    def past_deadline(self, due_ns: int) -> list[OpenRequest]:
        """The requests, answered or not, whose deadline is before the time `due_ns`."""
        return [request for request in self.by_id.values() if request.deadline_ns < due_ns]

    @property
    def outstanding(self) -> int:
        """The number of requests without a complete answer."""
        return sum(not request.answered or request.stream is not None for request in self.by_id.values())
