"""One client's RESP2 connection: reads commands, answers them in order, enforces timeouts and closes."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol, cast

from holdgw.operation.process_link import MAX_PENDING_COMMAND_BYTES, ClientHandover
from holdgw.router.client_input import ClientInput
from holdgw.router.connection_close import (
    DELIVERY_CHECK_INTERVAL_S,
    CloseCause,
    ConnectionEnd,
    LingeringClose,
    PendingClose,
)
from holdgw.router.error_answers import error_answer
from holdgw.router.input_account import InputAccount
from holdgw.router.reply import MAX_UNSENT_BYTES, Reply
from holdgw.router.request_memory import RequestMemory
from holdgw.router.write_progress import WriteProgress
from holdgw.wire.resp import Command, parse_request
from holdgw.wire.unread import unread_ns

if TYPE_CHECKING:
    from holdgw.router.client_listener import ClientListener

MAX_PIPELINE = 256
"""Commands of one connection that may be unanswered; more wait, or are rejected if there is no memory."""
READ_BUFFER_BYTES = 64 << 10
"""The most that is read at a time, of a value that is dropped."""
READ_BYTES = 16 << 10
"""Input of one connection that is read at a time."""
SMALL_READ_BYTES = 2 << 10
"""The same while there is little memory: hundreds of connections may each hold a read beyond the limit."""
COMMAND_TIMEOUT_S = 2.3
"""Timeout for a command to arrive completely, for the first one, and for the next one after an invalid one.

Clients are promised 3 s.
"""
MAX_INVALID_COMMANDS = 16
"""Invalid commands in a row after which a connection is closed."""
WRITE_STALL_TIMEOUT_S = 3.0
"""Timeout for a client to take any bytes of the answers that wait for it."""
END_OF_OUTPUT_BYTES = 1
"""What the end of a connection's output counts for among its unacknowledged bytes."""
STREAM_STALL_TIMEOUT_S = 8.0
"""The same timeout within a streamed answer, as clients take seconds to read a long value."""
FIRST_COMMAND_S = 0.3
"""A new connection without a command counts as silent after this time."""

log = logging.getLogger("holdgw")


class RequestHandler(Protocol):
    """Serves or rejects the requests of clients."""

    ready: bool
    """Whether there is an endpoint list, so that requests can be served."""
    request_memory: RequestMemory
    """Bounds the memory of clients' requests."""
    input_account: InputAccount
    """Counts the time that clients' input takes."""
    now_ns: Callable[[], int]
    """A monotonic clock, nanoseconds."""

    def request_arrived(self, command: Command, reply: Reply) -> bool:
        """Serve a request and send its answer through `reply`; returns whether the command is valid."""

    def reject(self, command: Command, reply: Reply) -> None:
        """Reject a request that is in no table: its connection closes, or there is no memory for it."""

    def client_disconnected(self, reply: Reply) -> None:
        """Note that the client that waits for this reply has disconnected."""

    def unread_since(self) -> int:
        """The time since which this process may have unread input, nanoseconds of its monotonic clock."""


class ClientConnection:
    """One client's connection; an asyncio protocol."""

    def __init__(
        self,
        listener: ClientListener,
        handover: ClientHandover | None = None,
        possible_wait_ns: int = 0,
    ) -> None:
        """Create an accepted connection, or one taken over from another process with `handover`.

        `possible_wait_ns`: how long its unread input may have waited for this process.
        """
        self.listener = listener
        self.transport: asyncio.Transport | None = None
        self.replies: deque[Reply] = deque()  # in the order of the commands; the first is written next
        self.write_blocked = False  # too many bytes of answers are unsent
        self.waiting_bytes = 0  # of answers that can't be written yet, counted in the listener's memory
        self.closed = False
        self.last_active_at = listener.loop.time()  # seconds; when input arrived or output was accepted
        self.command_started_at = self.last_active_at  # seconds; when the current command began to arrive
        self.has_sent_command = False
        self.rejects_requests = False  # above the limit of connections: the first request is rejected
        self._handover = handover
        self._connected_at = 0.0
        self.input_queued = False  # the listener's scheduler will process the input in a later turn
        self.read_ahead_paused = False  # by the scheduler, while the input is queued
        self.command_count = 0  # commands that were processed
        self._lent_bytes = 0  # of the read buffer, for the read that is under way
        self._start_input(possible_wait_ns)
        self._rejects_buffered = False  # there is no memory for the commands that wait
        self._reading = True
        self._parsing = False
        self._closing_after_replies = False  # further commands are rejected
        self._pending_close: PendingClose | None = None
        self._invalid_commands = 0  # since the latest valid request; PING doesn't count as one
        self._drops_commands = False  # further commands are not answered
        self._closing_when_idle = False
        self._handing_over = False  # further commands are left to the new process
        self._write_progress = WriteProgress(self.last_active_at)
        self._delivery_timer: asyncio.TimerHandle | None = None  # checks for the end of `undelivered_bytes`
        self._lingering: LingeringClose | None = None
        self._close_cause: CloseCause | None = None  # of the lingering close

    # Protocol callbacks of asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport, and continue where another process left off."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's own class is no subclass
        self._connected_at = self.listener.loop.time()
        self._input.reading_resumed(self._connected_at)
        self.transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        self.listener.connection_opened(self)
        if self._handover is not None:
            handover = self._handover
            self._handover = None
            self.has_sent_command = handover.has_sent_command
            self.last_active_at = self.listener.loop.time() - handover.waited_s
            self.command_started_at = self.last_active_at
            if handover.pending_bytes:
                self._input.feed(handover.pending_bytes, self._connected_at, is_drained=False)
                self._process_commands()
                self._input.keep_rest()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Release the resources of a disconnected client."""
        self._on_disconnected(CloseCause.CLIENT_LEFT)

    def eof_received(self) -> bool:
        """Treat a client that shuts down its sending side as disconnected."""
        self._on_disconnected(CloseCause.CLIENT_LEFT)
        return False

    def get_buffer(self, _size_hint: int) -> memoryview:
        """Lend the listener's read buffer; `buffer_updated` follows before any other connection is read."""
        size_bytes = READ_BYTES
        if self.listener.handler.request_memory.is_scarce:
            size_bytes = max(self._reader.bytes_to_drop, SMALL_READ_BYTES)
        self._lent_bytes = min(size_bytes, READ_BUFFER_BYTES)
        return self.listener.read_buffer[: self._lent_bytes]

    def buffer_updated(self, size_bytes: int) -> None:
        """Take input from the read buffer; an exception here closes this connection and no other."""
        if self._lingering is not None:
            self._lingering.discard(size_bytes)
            self.update_reading()
            return
        if self.closed:
            return
        if self._pending_close is not None:
            self._pending_close.input_received(size_bytes)
        self.last_active_at = self.listener.loop.time()
        if not self._reader.has_partial_command:
            self.command_started_at = self.last_active_at
        data = self.listener.read_buffer[:size_bytes]
        self._input.feed(data, self.last_active_at, is_drained=size_bytes < self._lent_bytes)
        self.listener.scheduler.submit(self, size_bytes)
        if self.closed:
            return
        if self.input_queued:
            self._hold_input(has_more=True)
            self.update_reading()
        self._input.keep_rest()

    def pause_writing(self) -> None:
        """Stop reading from a client that does not accept its answers."""
        self.write_blocked = True
        self.last_active_at = self.listener.loop.time()
        self.update_reading()

    def resume_writing(self) -> None:
        """Read from and write to a client that accepts answers again."""
        self.write_blocked = False
        self.update_reading()
        self.flush()

    # State

    def _start_input(self, possible_wait_ns: int) -> None:
        handler = self.listener.handler
        unread_since_ns = handler.now_ns() - possible_wait_ns if possible_wait_ns else 0
        self._input = ClientInput(handler.request_memory, handler.unread_since, unread_since_ns)
        self._reader = self._input.reader

    @property
    def taken_over(self) -> bool:
        """Whether the connection is taken over from another process and has no transport yet."""
        return self._handover is not None

    @property
    def peer_name(self) -> str:
        """The client's address for the log."""
        peer = self.transport.get_extra_info("peername") if self.transport is not None else None
        return "{}:{}".format(*peer[:2]) if peer else "unknown"

    @property
    def unsent_bytes(self) -> int:
        """Bytes of its answers that the client has not accepted."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    @property
    def undelivered_bytes(self) -> int:
        """Bytes of its answers that the client's machine has not acknowledged, unsent ones among them."""
        if self.transport is None:
            return 0
        unacknowledged_bytes = self.listener.unacknowledged_bytes(self.transport)
        if self._lingering is not None:
            unacknowledged_bytes = max(unacknowledged_bytes - END_OF_OUTPUT_BYTES, 0)
        return self.unsent_bytes + unacknowledged_bytes

    @property
    def owes_client(self) -> bool:
        """Whether a close now could cost the client an answer.

        One is not known, written or acknowledged, or a command lies unread. Whatever closes a connection
        between requests asks this first.

        Answers that were written in this iteration of the event loop to a client that has taken all earlier
        ones don't count: the end of the output follows them.
        """
        if self.transport is None or self.replies or self.write_blocked or self.input_queued:
            return True
        return (
            self.listener.has_unread_input(self.transport)
            or self.listener.unacknowledged_bytes(self.transport) > 0
        )

    @property
    def has_commands_behind(self) -> bool:
        """Whether commands are read, or lie unread, behind the one whose answer is written next."""
        if len(self.replies) > 1 or self.input_queued or self._reader.has_partial_command:
            return True
        return self.transport is not None and self.listener.has_unread_input(self.transport)

    @property
    def is_idle(self) -> bool:
        """Whether no command is unanswered or partly received."""
        return not self.replies and not self._reader.has_partial_command

    @property
    def is_lingering(self) -> bool:
        """Whether a lingering close is under way."""
        return self._lingering is not None

    def unread_ns(self) -> int:
        """How long ago the last bytes arrived, nanoseconds; 0 where the kernel doesn't tell."""
        return unread_ns(self.transport)

    def check_disconnected(self) -> bool:
        """Ask the kernel whether the client has disconnected; if so, drop the connection.

        The end of its input may be unread: the router doesn't read from a client that accepts nothing, or for
        whose input there is no memory, nor while the process is stalled. Without this check requests would be
        forwarded long after their client left. The kernel doesn't know of an end behind bytes that the
        client's machine can't send as they lie unread here.
        """
        if not self.closed and self.transport is not None and self.listener.peer_closed(self.transport):
            self.abort(CloseCause.CLIENT_LEFT)
        return self.closed

    @property
    def _awaits_first_command(self) -> bool:
        # Without this check, a connection accepted during the graceful shutdown would be closed before its
        # first command is read, and would get no answer.
        return not self.has_sent_command and self.listener.loop.time() - self._connected_at <= FIRST_COMMAND_S

    def reserve_answer(self, reply: Reply, size_bytes: int, can_drop: bool) -> bool:
        """Reserve memory for an answer that can't be written at once; returns whether it may be kept.

        It waits for an earlier one, or for the client to accept what is written.
        A connection may hold as much as it leaves free, so that a few of them can't take all of the memory
        (the dynamic threshold of shared buffers). Answers that can't be dropped count beyond the limit.
        """
        if self.closed or (self.replies[0] is reply and not self.write_blocked):
            return True
        memory = self.listener.waiting_memory
        if not can_drop:
            memory.hold(size_bytes)
        elif not memory.reserve(size_bytes, self.waiting_bytes):
            return False
        reply.waiting_bytes += size_bytes
        self.waiting_bytes += size_bytes
        return True

    def _release_answer_memory(self, size_bytes: int) -> None:
        self.listener.waiting_memory.release(size_bytes)
        self.waiting_bytes -= size_bytes

    def is_silent(self, now_s: float) -> bool:
        """Whether no answer waits, and the client has sent no command, or no request since an invalid one.

        A client has FIRST_COMMAND_S for its next command before it counts as silent.
        """
        return (
            (not self.has_sent_command or self._invalid_commands > 0)
            and not self.replies
            and not self.input_queued
            and self.command_started_at <= now_s - FIRST_COMMAND_S
        )

    # Commands and answers

    def _process_commands(self) -> None:
        # An immediate answer calls this method again through flush; the outer call then continues its loop.
        if not self._parsing:
            self.listener.scheduler.submit(self)

    def process_input(self, until_ns: int) -> bool:
        """Process commands until the time `until_ns`, but at least one; returns whether some are left.

        To be called by the listener's scheduler only.
        """
        # While reading was paused, commands waited in the buffer, and the client may have disconnected
        # without the router having read that: the kernel is asked first.
        if self.closed or (not self._reading and self.check_disconnected()):
            return False
        self._parsing = True
        has_more = False
        try:
            has_more = self._parse_commands(until_ns)
        except Exception:
            log.exception("reading a client's command failed, closing connection")
            self.abort(CloseCause.FAULT)
        finally:
            self._parsing = False
        if self.closed:
            return False
        has_more = self._hold_input(has_more)
        if self._closing_after_replies and not has_more:
            self._close_if_answered()
        return has_more and not self.closed

    def _hold_input(self, has_more: bool) -> bool:
        """Count the input that is no whole command yet, or waits for its turn, as memory of requests.

        Without memory for it, commands that wait are rejected, and so is the one that is arriving as soon as
        it is complete: the client is owed an answer, so its bytes have to be read.

        Returns whether commands are left to process; `has_more`: whether there were any before.
        """
        if self._input.hold():
            return has_more
        self._input.hold_beyond_limit()
        if has_more or len(self.replies) >= MAX_PIPELINE:
            self._rejects_buffered = not self._handing_over
        else:
            self._drop_partial_value()
        return self._may_parse and (has_more or self._rejects_buffered)

    def _drop_partial_value(self) -> None:
        if self._reader.drop_partial_value():
            self._input.hold_beyond_limit()

    @property
    def _input_is_full(self) -> bool:
        """Whether no more input can be taken before some of it is processed, or its answers are written."""
        if self._closing_after_replies:
            return len(self.replies) >= MAX_PIPELINE
        return self._rejects_buffered or self.read_ahead_paused

    @property
    def _answers_are_full(self) -> bool:
        """Whether the joined answers to rejected commands take as much as a client may leave unsent."""
        if len(self.replies) < MAX_PIPELINE:
            return False
        last_answer = self.replies[-1].answer
        return last_answer is not None and len(last_answer) >= MAX_UNSENT_BYTES

    @property
    def _accepts_commands(self) -> bool:
        if self._closing_after_replies:
            return not (self._drops_commands or self._reader.framing_error)
        return not self._handing_over

    @property
    def _may_parse(self) -> bool:
        if self._answers_are_full:
            return False
        if self._closing_after_replies:
            return not self._drops_commands
        if self._handing_over and self._reader.buffered_count <= MAX_PENDING_COMMAND_BYTES:
            return False
        return len(self.replies) < MAX_PIPELINE or self._rejects_buffered

    def _parse_commands(self, until_ns: int) -> bool:
        """Process commands until the time `until_ns`; returns whether some may be left to process."""
        now_ns = self.listener.handler.now_ns
        now_s = self.listener.loop.time()
        while self._may_parse:
            words = self._reader.next_command()
            if words is None:
                self._rejects_buffered = False
                break
            self.command_started_at = now_s
            self._process_command(words)
            self._merge_last_answers()
            if now_ns() >= until_ns and self._reader.has_partial_command:
                return self._may_parse
        if self._reader.framing_error and not self._closing_after_replies:
            self._add_reply().send_error_and_close(f"Protocol error: {self._reader.framing_error}")
        return False

    def _add_reply(self) -> Reply:
        reply = Reply(self)
        self.replies.append(reply)
        return reply

    def _process_command(self, words: list[bytes]) -> None:
        reply = self._add_reply()
        handler = self.listener.handler
        self.has_sent_command = True
        self.command_count += 1
        if len(words) == 1 and words[0].upper() == b"PING":
            reply.send(b"+PONG\r\n" if handler.ready else b"-LOADING no list of servers yet\r\n")
            return
        try:
            command = parse_request(words)
        except ValueError as error:
            reply.send_error(str(error))
            return
        if self.rejects_requests or self._closing_after_replies:
            # Commands behind this one may have been read with it. They are rejected too: a request that was
            # read and got no answer is lost.
            self._close_after_replies(CloseCause.OVER_LIMIT)
            handler.reject(command, reply)
            return
        reply.possible_wait_ns = self._command_wait_ns()
        if self._reader.value_dropped or self._rejects_buffered:
            handler.reject(command, reply)
        elif handler.request_arrived(command, reply):
            self._invalid_commands = 0

    def _command_wait_ns(self) -> int:
        """How long the latest command may have waited before it was processed, nanoseconds."""
        arrived_ns = self._input.command_arrived_ns()
        return max(self.listener.handler.now_ns() - arrived_ns, 0) if arrived_ns else 0

    def _merge_last_answers(self) -> None:
        """Join the last answer to the one before it: a reply for each would take more than the commands."""
        replies = self.replies
        if len(replies) <= MAX_PIPELINE:
            return
        last_answer, previous_answer = replies[-1].answer, replies[-2].answer
        if last_answer is not None and previous_answer is not None:
            replies[-2].answer = previous_answer + last_answer
            replies.pop()

    def flush(self) -> None:
        """Write the answers that are due in command order."""
        replies = self.replies
        while replies and not self.write_blocked and self.transport is not None:
            answer = replies[0].answer
            streamed = replies[0].streamed
            if answer is not None:
                self.transport.write(answer)
                if self._pending_close is not None:
                    self._pending_close.rejection_written(len(answer))
            elif streamed is None or not streamed.write(self, self.transport):
                break
            written = replies.popleft()
            if written.waiting_bytes:
                self._release_answer_memory(written.waiting_bytes)
        if self.transport is not None and not self._parsing:
            self._process_waiting()

    def _process_waiting(self) -> None:
        """Process the commands past MAX_PIPELINE, which waited in the buffer, or close if all is answered."""
        has_input = self._reader.has_partial_command or not self._reading
        if self._closing_after_replies and (self._drops_commands or not has_input):
            self._close_if_answered()
            return
        if has_input:
            self._process_commands()
        if self._closing_when_idle and self.is_idle and not self._closing_after_replies:
            self.close_if_settled(CloseCause.SHUTDOWN)

    def update_reading(self) -> None:
        """Read from the client, or leave its input with the kernel, as the connection's state asks for."""
        if self._lingering is not None:
            should_read = self._lingering.accepts_input
        else:  # check_disconnected finds a client that disconnects while reading is paused
            should_read = not (self.write_blocked or self._input_is_full) and self._accepts_commands
        if should_read == self._reading or self.transport is None or self.transport.is_closing():
            return
        self._reading = should_read
        if should_read:
            self._input.reading_resumed(self.listener.loop.time())
            self.transport.resume_reading()
        else:
            self._input.reading_paused(self.listener.handler.now_ns())
            self.transport.pause_reading()

    # Closing

    def fail_and_close(self, reply: Reply, message: str) -> None:
        """Answer malformed input with an error, and close once the commands before it are answered."""
        self._close_after_replies(CloseCause.INVALID_COMMAND)
        self._drops_commands = True
        self.update_reading()
        reply.send(error_answer(message))

    def answer_invalid_command(self, reply: Reply, message: str) -> None:
        """Answer a command that is framed right and not valid with an error; those behind it are served.

        A client that sends nothing else would take processing time from others' requests. At
        MAX_INVALID_COMMANDS in a row its connection is closed once the commands that were read are answered;
        one more ends the answers.
        """
        if self._invalid_commands >= MAX_INVALID_COMMANDS:
            self._drops_commands = True
            self.replies.remove(reply)
            return
        self._invalid_commands += 1
        if self._invalid_commands == MAX_INVALID_COMMANDS:
            self._close_after_replies(CloseCause.INVALID_COMMAND)
            self.update_reading()
        reply.send(error_answer(message))

    def close_amid_answer(self) -> None:
        """Close after the written part of an answer that can't be completed.

        The client would read the next answer's bytes as the rest of this one. The later requests on the
        connection are lost.
        """
        self._close_after_replies(CloseCause.BROKEN_VALUE)
        if self.transport is not None:
            self.transport.close()
        self._on_disconnected(CloseCause.BROKEN_VALUE)

    def close_if_settled(self, cause: CloseCause) -> None:
        """Close a connection between requests, unless its client is owed something."""
        if not self.owes_client:
            self._start_lingering_close(cause)

    def close_gracefully(self, even_mid_command: bool) -> None:
        """Close as soon as no request is unanswered; `even_mid_command`: also amid an incomplete command.

        To be called again until the connection is closed.
        """
        if self.transport is None or self.closed or self._lingering is not None:
            return
        self._closing_when_idle = True
        unfinished = self._reader.has_partial_command or self._awaits_first_command
        if self._closing_after_replies:
            self._close_if_answered()
        elif not self.owes_client and (even_mid_command or not unfinished):
            self._start_lingering_close(CloseCause.SHUTDOWN)
        elif even_mid_command:
            # A client that always has an unanswered request would be served until SIGKILL, and lose one then.
            self._close_after_replies(CloseCause.SHUTDOWN)
            self._process_commands()

    def evict(self, at_once: bool) -> None:
        """Close to free the descriptor for another connection; `at_once`: without a lingering close."""
        if at_once:
            self.abort(CloseCause.EVICTED)
        else:
            self._start_lingering_close(CloseCause.EVICTED)

    def abort(self, cause: CloseCause) -> None:
        """Close at once and drop unsent bytes."""
        unsent_bytes = self.unsent_bytes
        if self.transport is not None:
            self.transport.abort()
        self._on_disconnected(cause, unsent_bytes)

    def _close_after_replies(self, cause: CloseCause) -> None:
        """Close once no command is unanswered.

        The client doesn't know that yet and may go on writing: until then further commands are read and
        rejected, as a request whose last byte reached this machine is lost if its connection ends without an
        answer.
        """
        self._closing_after_replies = True
        self._close_cause = self._close_cause or cause

    def _close_if_answered(self) -> None:
        if self.replies or self.input_queued or self.transport is None or self.closed:
            return
        if self._lingering is not None:
            return
        if self._pending_close is None:
            self._pending_close = PendingClose()
        undelivered_bytes = self.listener.unacknowledged_bytes(self.transport)
        if self.write_blocked:
            undelivered_bytes += self.unsent_bytes
        if self._pending_close.is_flooded(undelivered_bytes):
            self._start_lingering_close()
        elif self._accepts_commands and self.listener.has_unread_input(self.transport):
            self.update_reading()  # it was paused if the pipeline was full
        elif undelivered_bytes:
            self._check_delivery_later()
        else:
            self._start_lingering_close()

    def _check_delivery_later(self) -> None:
        if self._delivery_timer is None:
            self._delivery_timer = self.listener.loop.call_later(
                DELIVERY_CHECK_INTERVAL_S, self._check_delivery
            )

    def _check_delivery(self) -> None:
        self._delivery_timer = None
        self._close_if_answered()

    def hand_over(self, send: Callable[[ClientHandover, int], None], stop_reading: bool) -> bool:
        """Pass the connection to another process if no request is unanswered; returns whether it was passed.

        Args:
            send: Called with the connection's state and a duplicate of its descriptor.
            stop_reading: Whether to read no more commands, so that no request is unanswered soon.
        """
        transport = self.transport
        if transport is None or self.closed or self._closing_after_replies or self._lingering is not None:
            return False
        if stop_reading and not self._handing_over:
            self._handing_over = True
            self.update_reading()
        if self.replies or self.write_blocked or self.input_queued:
            return False
        if transport.is_closing() or transport.get_write_buffer_size():
            return False
        pending_bytes = self._reader.buffered
        if len(pending_bytes) > MAX_PENDING_COMMAND_BYTES or self._reader.is_dropping_value:
            return False
        # Input that this process reads between the duplication and the close would be lost. None is read, as
        # both happen in one iteration of the event loop; the duplicate keeps the socket open.
        descriptor = self.listener.duplicate_descriptor(transport)
        waiting_since_s = self.command_started_at if self._reader.has_partial_command else self.last_active_at
        waited_s = max(self.listener.loop.time() - waiting_since_s, 0.0)
        unread_since = self.listener.handler.unread_since()
        if pending_bytes:
            unread_since = min(unread_since, self._input.waiting_since_ns() or unread_since)
        handover = ClientHandover(pending_bytes, self.has_sent_command, waited_s, unread_since)
        self._input.release()
        self._start_input(0)  # what the old one holds is passed on
        self.abort(CloseCause.HANDED_OVER)
        send(handover, descriptor)
        return True

    def _start_lingering_close(self, cause: CloseCause = CloseCause.SHUTDOWN) -> None:
        if self.transport is None or self._lingering is not None or self.transport.is_closing():
            return
        self._close_after_replies(cause)
        self.listener.lingering[self] = None
        self._lingering = LingeringClose(self, self.listener.loop)
        self.update_reading()
        self.transport.write_eof()

    def _on_disconnected(self, cause: CloseCause, unsent_bytes: int = 0) -> None:
        discarded_bytes = 0
        if self._lingering is not None:
            cause = self._close_cause or cause
            discarded_bytes = self._lingering.discarded_bytes
            self._lingering.cancel()
            self._lingering = None
        if self.closed:
            return
        self.closed = True
        if self._delivery_timer is not None:
            self._delivery_timer.cancel()
        ConnectionEnd(
            cause,
            len(self.replies),
            self._reader.buffered_count,
            unsent_bytes,
            discarded_bytes,
        ).log()
        self.listener.connection_closed(self)
        self._input.release()
        self._release_answer_memory(self.waiting_bytes)
        replies = self.replies
        self.replies = deque()
        for reply in replies:
            if reply.answer is None:
                self.listener.handler.client_disconnected(reply)

    # Timeouts

    def enforce_timeouts(self, now_s: float, idle_timeout_s: float) -> None:
        """Close the connection if its client accepts no answers, completes no command or idles for too long.

        Meanwhile the connection holds memory and a descriptor.
        """
        if self.transport is None:
            return
        # If the client accepts nothing, the kernel keeps a closing connection open for 15 minutes. The bytes
        # left may be too few to set `write_blocked`.
        if self.write_blocked or self.transport.is_closing():
            self._check_write_stall(now_s)
        elif self.replies or self.input_queued:
            return
        elif self._closing_after_replies:
            self._check_write_stall(now_s)
        elif self._invalid_commands and not self._reader.has_partial_command:
            if now_s - self.command_started_at > COMMAND_TIMEOUT_S:
                self._close_or_check_stall(CloseCause.INVALID_COMMAND, now_s)
        elif not self.has_sent_command or self._reader.has_partial_command:
            # A client that sends a partial command, a byte from time to time, or nothing would hold a
            # descriptor forever. A client that connects before it has a request must send the request within
            # COMMAND_TIMEOUT_S, or reconnect.
            if now_s - self.command_started_at > COMMAND_TIMEOUT_S:
                self._add_reply().send_error_and_close("Protocol error: no whole command in time")
        elif now_s - self.last_active_at > idle_timeout_s:
            self._close_or_check_stall(CloseCause.IDLE, now_s)

    def _close_or_check_stall(self, cause: CloseCause, now_s: float) -> None:
        """Close, unless the client is still taking answers."""
        self.close_if_settled(cause)
        if self._lingering is None:
            self._check_write_stall(now_s)

    def _check_write_stall(self, now_s: float) -> None:
        undelivered_bytes = self.undelivered_bytes
        if not undelivered_bytes and not self.write_blocked:
            self._write_progress.all_taken()
            return
        self._write_progress.check(undelivered_bytes, now_s)
        is_streaming = bool(self.replies) and self.replies[0].streamed is not None
        timeout_s = STREAM_STALL_TIMEOUT_S if is_streaming else WRITE_STALL_TIMEOUT_S
        if self._write_progress.stalled_s(now_s, self.last_active_at) > timeout_s:
            log.warning("client write stalled, closing connection unsent_bytes=%d", undelivered_bytes)
            self.abort(CloseCause.WRITE_STALL)
