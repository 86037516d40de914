"""One client's RESP2 connection: reads commands, writes answers in the order of the commands, and its end."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol, cast

from holdgw.operation.process_link import MAX_PENDING_COMMAND_BYTES, ClientHandover
from holdgw.router.connection_close import LingeringClose
from holdgw.router.reply import MAX_UNSENT_BYTES, Reply
from holdgw.wire.resp import Command, CommandReader, parse_request
from holdgw.wire.unread import unread_ns

if TYPE_CHECKING:
    from holdgw.router.client_listener import ClientListener

MAX_PIPELINE = 256
"""Commands of one connection without an answer; more stay unread."""
ARRIVED_BEFORE_S = 0.02
"""After connecting: what is read later had not waited for this process."""
COMMAND_TIMEOUT_S = 2.3
"""For a command to be complete, and for a new connection's first one; clients are promised 3 s."""
WRITE_STALL_TIMEOUT_S = 3.0
"""For a client to accept something of the answers that wait for it."""
STREAM_STALL_TIMEOUT_S = 8.0
"""The same within a streamed answer: clients take seconds to read a long value."""
FIRST_COMMAND_S = 0.3
"""For a new connection's first command; a connection without one counts as silent then."""

log = logging.getLogger("holdgw")


class RequestHandler(Protocol):
    """Takes the requests of clients."""

    ready: bool
    """Whether there is an endpoint list, so that requests can be served."""

    def request_arrived(self, command: Command, reply: Reply) -> None:
        """Serve a request; `reply` takes its answer."""

    def reject(self, command: Command, reply: Reply) -> None:
        """Reject a request because its connection is one too many."""

    def client_disconnected(self, reply: Reply) -> None:
        """Note that the client that waits for this reply has gone."""

    def unread_since(self) -> int:
        """Since when input of this process may lie unread, nanoseconds of its monotonic clock."""


class ClientConnection:
    """One client's connection; an asyncio protocol."""

    def __init__(
        self,
        listener: ClientListener,
        handover: ClientHandover | None = None,
        possible_wait_ns: int = 0,
    ) -> None:
        """Create a connection that is accepted, or taken over from another process with `handover`.

        `possible_wait_ns`: how long its unread input may have waited for this process.
        """
        self.listener = listener
        self.possible_wait_ns = possible_wait_ns
        self.transport: asyncio.Transport | None = None
        self.replies: deque[Reply] = deque()  # in the order of the commands; the first is written next
        self.write_blocked = False  # the client does not accept what it asked for
        self.closed = False
        self.last_active_at = listener.loop.time()  # seconds: input came, or output was accepted
        self.command_started_at = self.last_active_at  # seconds: the command that is being received
        self.has_sent_command = False
        self.rejecting = False  # one connection too many: its first request is rejected
        self._handover = handover
        self._connected_at = 0.0
        self._reader = CommandReader()
        self._reading = True
        self._parsing = False
        self._closing_after_replies = False  # nothing more is read
        self._closing_when_idle = False
        self._handing_over = False  # further commands are left to the new process
        self._unsent_at_last_check = 0
        self._lingering: LingeringClose | None = None

    # Protocol callbacks of asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport, and continue where another process left off."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's own class is no subclass
        self._connected_at = self.listener.loop.time()
        self.transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        self.listener.connection_opened(self)
        if self._handover is not None:
            handover = self._handover
            self._handover = None
            self.has_sent_command = handover.has_sent_command
            self.last_active_at = self.listener.loop.time() - handover.waited_s
            self.command_started_at = self.last_active_at
            if handover.pending_bytes:
                self._reader.feed(handover.pending_bytes)
                self._take_commands()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Release what belongs to a client that is gone."""
        self._on_disconnected()

    def eof_received(self) -> bool:
        """Treat a client that ends its sending as gone."""
        self._on_disconnected()
        return False

    def data_received(self, data: bytes) -> None:
        """Read commands; an exception here costs this connection and no other."""
        if self._lingering is not None:
            self._lingering.discard(data)
            self._update_reading()
            return
        if self._closing_after_replies or self.closed:
            return
        self.last_active_at = self.listener.loop.time()
        if self.possible_wait_ns and self.last_active_at - self._connected_at > ARRIVED_BEFORE_S:
            self.possible_wait_ns = 0
        if not self._reader.has_partial_command:
            self.command_started_at = self.last_active_at
        self._reader.feed(data)
        self._take_commands()
        self.possible_wait_ns = 0

    def pause_writing(self) -> None:
        """Read no more from a client that does not accept its answers."""
        self.write_blocked = True
        self.last_active_at = self.listener.loop.time()
        self._update_reading()

    def resume_writing(self) -> None:
        """Go on with a client that accepts answers again."""
        self.write_blocked = False
        self._update_reading()
        self.flush()

    # State

    @property
    def taken_over(self) -> bool:
        """Whether it comes from another process, and is not connected yet."""
        return self._handover is not None

    @property
    def unsent_bytes(self) -> int:
        """Bytes of its answers that the client has not accepted."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    @property
    def is_idle(self) -> bool:
        """Whether it is between requests."""
        return not self.replies and not self._reader.has_partial_command

    @property
    def is_lingering(self) -> bool:
        """Whether its last answer is written, and it waits for the client's end."""
        return self._lingering is not None

    def unread_ns(self) -> int:
        """How long ago the last bytes arrived, nanoseconds; 0 where the kernel doesn't tell."""
        return unread_ns(self.transport)

    def check_disconnected(self) -> bool:
        """Ask the kernel whether the client is gone, and drop the connection if so.

        Its end may lie unread: nothing is read of a client that accepts nothing or has too many requests out,
        nor while this process is stalled. Requests would be forwarded for it long after it left.
        """
        if not self.closed and self.transport is not None and self.listener.peer_closed(self.transport):
            self.abort()
        return self.closed

    @property
    def _awaits_first_command(self) -> bool:
        # A connection that is accepted as the router shuts down has its command unread, and would be closed
        # without an answer.
        return not self.has_sent_command and self.listener.loop.time() - self._connected_at <= FIRST_COMMAND_S

    def is_silent(self, now_s: float) -> bool:
        """Whether it has had its time for a first command, and nothing is owed to it."""
        return (
            not self.has_sent_command
            and not self.replies
            and self.command_started_at <= now_s - FIRST_COMMAND_S
        )

    # Commands and answers

    def _take_commands(self) -> None:
        # An answer that is given at once comes back here through flush; the loop below goes on then. Commands
        # past MAX_PIPELINE have waited here, with the client's end perhaps unread behind them.
        if self._parsing or (not self._reading and self.check_disconnected()):
            return
        self._parsing = True
        try:
            self._parse_commands()
        except Exception:
            log.exception("reading a client's command failed, closing connection")
            self.abort()
        finally:
            self._parsing = False
        self._update_reading()
        if self._closing_after_replies and not self.replies:
            self._start_lingering_close()

    def _parse_commands(self) -> None:
        while not (self._closing_after_replies or self._handing_over) and len(self.replies) < MAX_PIPELINE:
            words = self._reader.next_command()
            if words is None:
                break
            self.command_started_at = self.last_active_at
            self._take_command(words)
        if self._reader.framing_error and not self._closing_after_replies:
            self._add_reply().send_error_and_close(f"Protocol error: {self._reader.framing_error}")

    def _add_reply(self) -> Reply:
        reply = Reply(self)
        self.replies.append(reply)
        return reply

    def _take_command(self, words: list[bytes]) -> None:
        reply = self._add_reply()
        handler = self.listener.handler
        if len(words) == 1 and words[0].upper() == b"PING":
            self.has_sent_command = True
            reply.send(b"+PONG\r\n" if handler.ready else b"-LOADING no list of servers yet\r\n")
            return
        try:
            command = parse_request(words)
        except ValueError as error:
            reply.send_error_and_close(str(error))
            return
        if self.rejecting:
            self._closing_after_replies = True
            handler.reject(command, reply)
            return
        self.has_sent_command = True
        handler.request_arrived(command, reply)

    def flush(self) -> None:
        """Write the answers that are next in order."""
        replies = self.replies
        while replies and self.transport is not None:
            answer = replies[0].answer
            streamed = replies[0].streamed
            if answer is not None:
                self.transport.write(answer)
            elif streamed is None or not streamed.write(self, self.transport):
                break
            replies.popleft()
        if self.transport is None or self._parsing:
            return
        if self._closing_after_replies:
            if not replies:
                self._start_lingering_close()
            return
        if self._reader.has_partial_command or not self._reading:
            self._take_commands()  # commands that were past MAX_PIPELINE
        if self._closing_when_idle and self.is_idle:
            self._start_lingering_close()

    def _update_reading(self) -> None:
        if self._lingering is not None:
            wanted = self._lingering.accepts_input
        else:  # a client that leaves while nothing is read is found by check_disconnected
            wanted = not (
                self.write_blocked
                or self._closing_after_replies
                or self._handing_over
                or len(self.replies) >= MAX_PIPELINE
            )
        if wanted == self._reading or self.transport is None or self.transport.is_closing():
            return
        self._reading = wanted
        if wanted:
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()

    # Its end

    def fail_and_close(self, reply: Reply, message: str) -> None:
        """Answer with an error, and close once everything before it is answered."""
        self._closing_after_replies = True
        self._update_reading()
        reply.send(b"-ERR %b\r\n" % message.encode())

    def close_amid_answer(self) -> None:
        """Close behind the written part of an answer that can't be completed.

        The client would take the next answer's bytes for the rest of this one's. The requests behind it are
        lost with the connection.
        """
        self._closing_after_replies = True
        if self.transport is not None:
            self.transport.close()
        self._on_disconnected()

    def close_gracefully(self, even_mid_command: bool) -> None:
        """Close as soon as no request is unanswered; `even_mid_command`: also amid an incomplete command."""
        if self.transport is None or self.closed or self._lingering is not None:
            return
        self._closing_when_idle = True
        unfinished = self._reader.has_partial_command or self._awaits_first_command
        if not self.replies and (even_mid_command or not unfinished):
            self._start_lingering_close()
        elif even_mid_command:
            # A client that always has a request out would be served until SIGKILL, and lose one.
            self._closing_after_replies = True
            self._update_reading()

    def evict(self, at_once: bool) -> None:
        """Give up its descriptor for another connection, with a lingering close unless `at_once`."""
        if at_once:
            self.abort()
        else:
            self._start_lingering_close()

    def abort(self) -> None:
        """Close at once; what is unsent is dropped."""
        if self.transport is not None:
            self.transport.abort()
        self._on_disconnected()

    def hand_over(self, send: Callable[[ClientHandover, int], None], stop_reading: bool) -> bool:
        """Pass the connection to another process by `send`, unless a request is unanswered; returns whether.

        `stop_reading`: take no more commands, so that this is soon the case.
        """
        transport = self.transport
        if transport is None or self.closed or self._closing_after_replies or self._lingering is not None:
            return False
        if stop_reading and not self._handing_over:
            self._handing_over = True
            self._update_reading()
        if self.replies or self.write_blocked or transport.is_closing() or transport.get_write_buffer_size():
            return False
        buffered = self._reader.buffered
        if len(buffered) > MAX_PENDING_COMMAND_BYTES:
            return False
        # Input between the descriptor's copy and the close would be read here and lost. There is none: both
        # happen in one turn of the loop, and the copy keeps the socket open.
        descriptor = self.listener.duplicate(transport)
        since = self.command_started_at if self._reader.has_partial_command else self.last_active_at
        waited_s = max(self.listener.loop.time() - since, 0.0)
        unread_since = self.listener.handler.unread_since()
        handover = ClientHandover(buffered, self.has_sent_command, waited_s, unread_since)
        self.abort()
        send(handover, descriptor)
        return True

    def _start_lingering_close(self) -> None:
        if self.transport is None or self._lingering is not None or self.transport.is_closing():
            return
        self._closing_after_replies = True
        self.listener.lingering[self] = None
        self._lingering = LingeringClose(self, self.listener.loop)
        self._update_reading()
        self.transport.write_eof()

    def _on_disconnected(self) -> None:
        if self._lingering is not None:
            self._lingering.cancel()
            self._lingering = None
        if self.closed:
            return
        self.closed = True
        self.listener.connection_closed(self)
        replies = self.replies
        self.replies = deque()
        for reply in replies:
            if reply.answer is None:
                self.listener.handler.client_disconnected(reply)

    # Timeouts

    def enforce_timeouts(self, now_s: float, idle_timeout_s: float) -> None:
        """Drop a client that neither accepts nor sends: it holds memory and a descriptor."""
        if self.transport is None:
            return
        unsent = self.unsent_bytes
        # The kernel keeps a closing connection open for a quarter of an hour where the client accepts
        # nothing, and what is left may be too little to count as blocked.
        if self.write_blocked or self.transport.is_closing() or (self._lingering is not None and unsent):
            self._check_write_stall(now_s, unsent)
        elif self.replies or self._closing_after_replies:
            return
        elif not self.has_sent_command or self._reader.has_partial_command:
            # Half a command, a byte now and then, or nothing at all would hold a descriptor for ever. A
            # client that connects ahead of its first request has this time, or has to reconnect.
            if now_s - self.command_started_at > COMMAND_TIMEOUT_S:
                self._add_reply().send_error_and_close("Protocol error: no whole command in time")
        elif now_s - self.last_active_at > idle_timeout_s:
            self._start_lingering_close()

    def _check_write_stall(self, now_s: float, unsent_bytes: int) -> None:
        if unsent_bytes != self._unsent_at_last_check:
            self._unsent_at_last_check = unsent_bytes
            self.last_active_at = now_s
        is_streaming = bool(self.replies) and self.replies[0].streamed is not None
        timeout_s = STREAM_STALL_TIMEOUT_S if is_streaming else WRITE_STALL_TIMEOUT_S
        if now_s - self.last_active_at > timeout_s:
            log.warning("client write stalled, closing connection unsent_bytes=%d", unsent_bytes)
            self.abort()
