"""Values that break off after their client got a part: another endpoint completes them, or nobody."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable

import pytest
from msgspec.structs import replace

from holdgw.policy import (
    AttemptEnded,
    AttemptPurpose,
    Outcome,
    RequestCancelled,
    RequestClass,
    SendAttempt,
    StreamStarted,
)
from holdgw.router import streamed_value
from holdgw.router.begun_value import BeginningCheck, BegunValue, ValueDiffersError
from holdgw.router.connection_close import CloseCause
from tests.emulated_nodes import LIMIT_S, MISS, LoopbackRouter, LoopbackServer, entry, read, run, until
from tests.helpers import MS, S, ended, finals, fleet, only_send, request, sends, settings, started

TAIL = b"\r\n$3\r\nhit\r\n$-1\r\n"
SIZE = 400_000
VALUE = bytes(range(250)) * (SIZE // 250)
HEAD = b"$%d\r\n" % SIZE
SHORT = b"$5\r\nvalue\r\n"
PATIENT = settings(classes=(RequestClass("read", latency_objective_ns=300 * MS, deadline_ns=3 * S),))
"""Settings whose clients wait for 3 s."""
MAX_ATTEMPT_DELAY_S = 0.1
"""An attempt that begins later after its client's close is one too many."""

Writer = asyncio.StreamWriter
Answer = Callable[[Writer], Awaitable[bool]]
"""Writes an answer; returns whether the connection stays open."""


def header(length: int = SIZE) -> bytes:
    return b"*3\r\n$%d\r\n" % length


def whole(value: bytes = VALUE) -> Answer:
    async def answer(writer: Writer) -> bool:
        writer.write(header(len(value)) + value + TAIL)
        return True

    return answer


def breaks_after(size: int, value: bytes = VALUE, allowed: asyncio.Event | None = None) -> Answer:
    """Write the first `size` bytes of a value, and reset the connection once `allowed` is set."""

    async def answer(writer: Writer) -> bool:
        writer.write(header(len(value)) + value[:size])
        if allowed is not None:
            await allowed.wait()
        return False

    return answer


async def has_none(writer: Writer) -> bool:
    writer.write(MISS)
    return True


async def without_tail(writer: Writer) -> bool:
    writer.write(header() + VALUE + b"??" + TAIL)
    return True


class Plan:
    """The answers to the attempts at the request `long`, in their order, whichever endpoint gets them."""

    def __init__(self, *answers: Answer) -> None:
        self.answers = list(answers)
        self.attempts: list[tuple[str, float, int]] = []
        """For each attempt: the endpoint, the time in seconds and the timeout in milliseconds."""

    async def answer(self, name: str, timeout_ms: int, writer: Writer) -> bool:
        self.attempts.append((name, time.monotonic(), timeout_ms))
        return await self.answers.pop(0)(writer)


class PlannedCache(LoopbackServer):
    """A cache server that answers the request `long` by a plan, and all others at once."""

    def __init__(self, name: str, plan: Plan) -> None:
        super().__init__()
        self.name, self.plan = name, plan

    async def serve(self, reader: asyncio.StreamReader, writer: Writer) -> None:
        while True:
            words = []
            for _ in range(int((await reader.readuntil(b"\r\n"))[1:])):
                size = int((await reader.readuntil(b"\r\n"))[1:])
                words.append((await reader.readexactly(size + 2))[:-2])
            if not words[2].startswith(b"long"):
                writer.write(b"*3\r\n" + SHORT + TAIL[2:])
            elif not await self.plan.answer(self.name, int(words[3].rpartition(b"d=")[2]), writer):
                sock = writer.get_extra_info("socket")
                await writer.drain()
                await asyncio.sleep(0.05)  # a reset would take what its client's machine has not read yet
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                return


class PlannedOrigin(LoopbackServer):
    """An origin that answers by a plan."""

    def __init__(self, plan: Plan) -> None:
        super().__init__()
        self.plan = plan

    async def serve(self, reader: asyncio.StreamReader, writer: Writer) -> None:
        while True:
            await reader.readuntil(b"\r\n\r\n")
            if not await self.plan.answer("origin", 0, writer):
                return


class ResumingSetup:
    """A router before some cache servers and perhaps an origin that follow one plan, and one client."""

    def __init__(self, *answers: Answer, caches: int = 3, has_origin: bool = False) -> None:
        self.plan = Plan(*answers)
        self.router = LoopbackRouter(config=PATIENT)
        self.servers: list[LoopbackServer] = [PlannedCache(f"s{n}", self.plan) for n in range(caches)]
        if has_origin:
            self.servers.append(PlannedOrigin(self.plan))

    async def __aenter__(self) -> ResumingSetup:
        instances = []
        for number, server in enumerate(self.servers):
            await server.start()
            is_origin = isinstance(server, PlannedOrigin)
            instances.append(entry(f"s{number}", server.port, "origin" if is_origin else "std"))
        await self.router.start(*instances)
        self.reader, self.writer = await self.router.dial()
        return self

    async def __aexit__(self, *_: object) -> None:
        self.writer.close()
        self.router.stop()
        for server in self.servers:
            server.stop()

    def send(self, *names: str, wait_ms: int = 3000) -> None:
        self.writer.write(b"".join(read(name, f"key-{name}", wait_ms) for name in names))

    async def read(self, size: int) -> bytes:
        return await asyncio.wait_for(self.reader.readexactly(size), LIMIT_S)

    async def read_to_end(self) -> bytes:
        return await asyncio.wait_for(self.reader.read(), LIMIT_S)

    async def read_value(self) -> bytes:
        return (await self.read(len(HEAD) + SIZE + 2))[len(HEAD) : -2]

    @property
    def metrics(self) -> str:
        return self.router.dispatcher.metrics.text(0, 0, 0).decode()

    async def until_idle(self) -> None:
        tables = self.router.dispatcher.tables
        await until(lambda: not any(tables()[name] for name in ("requests", "policy_requests")))


@pytest.mark.parametrize(
    ("answers", "resumed"),
    [
        ((breaks_after(1), whole()), 1),
        ((breaks_after(130_000), whole()), 1),
        ((breaks_after(SIZE), whole()), 1),
        ((without_tail, whole()), 1),
        ((breaks_after(130_000), breaks_after(90_000), whole()), 1),
        ((breaks_after(130_000), breaks_after(SIZE - 1), whole()), 2),
    ],
    ids=["at its start", "amid it", "at its end", "framing behind it", "twice, earlier", "twice, later"],
)
def test_a_value_that_breaks_off_is_completed_by_another_endpoint(
    answers: tuple[Answer, ...], resumed: int
) -> None:
    # Guards against requests lost behind a value that broke off after its client got a part of it.
    async def test() -> None:
        async with ResumingSetup(*answers) as setup:
            setup.send("long")
            assert await setup.read(1) == b"$"  # the commands behind it come once the head is written
            setup.send("behind1", "behind2")
            assert await setup.read(len(HEAD) - 1) == HEAD[1:]
            assert await setup.read(SIZE + 2) == VALUE + b"\r\n"
            assert await setup.read(2 * len(SHORT)) == 2 * SHORT
            await setup.until_idle()
            names = [name for name, _, _ in setup.plan.attempts]
            assert len(names) == len(set(names)) == len(answers)
            assert f'lb_broken_values{{outcome="resumed"}} {resumed}\n' in setup.metrics
            assert 'succeeded"} 3' in setup.metrics
            assert 'aborted"} 0' in setup.metrics

    run(test)


def test_an_answer_cut_off_behind_its_complete_value_is_not_read_again() -> None:
    async def test() -> None:
        async def cut_off(writer: Writer) -> bool:
            writer.write(header() + VALUE + TAIL[:4])
            return False

        async with ResumingSetup(cut_off, whole()) as setup:
            setup.send("long", "behind")
            assert await setup.read_value() == VALUE
            assert await setup.read(len(SHORT)) == SHORT
            await setup.until_idle()
            assert len(setup.plan.attempts) == 1
            assert 'succeeded"} 2' in setup.metrics

    run(test)


def test_values_that_no_memory_holds_are_completed_by_another_endpoint() -> None:
    # Guards against requests lost behind values that memory doesn't hold, on many connections.
    async def test() -> None:
        clients, behind = 20, 5
        answers = [breaks_after(130_000)] * clients + [whole()] * clients
        async with ResumingSetup(*answers) as setup:
            setup.router.clients.waiting_memory.limit_bytes = 64 << 10
            names = ("long", *(f"b{number}" for number in range(behind)))
            dialled = [await setup.router.dial() for _ in range(clients)]
            for number, (_, writer) in enumerate(dialled):
                unique = ((name, f"{name}-{number}") for name in names)
                writer.write(b"".join(read(other, f"key-{name}", 3000) for name, other in unique))
            for reader, writer in dialled:
                expected = HEAD + VALUE + b"\r\n" + behind * SHORT
                assert await asyncio.wait_for(reader.readexactly(len(expected)), LIMIT_S) == expected
                writer.close()
            await setup.until_idle()
            assert f'outcome="resumed"}} {clients}\n' in setup.metrics

    run(test)


@pytest.mark.parametrize(
    "second",
    [
        whole(VALUE[:-1] + b"?" * 2),
        whole(VALUE[:-1]),
        whole(b"?" + VALUE[1:]),
        whole(VALUE[:129_999] + b"?" + VALUE[130_000:]),
        whole(b"short"),
    ],
    ids=["longer", "shorter", "other first byte", "other last byte", "short"],
)
def test_a_value_that_differs_from_the_begun_one_is_not_passed_on(second: Answer) -> None:
    # Guards against a value that no endpoint made: the beginning of one and the rest of another.
    async def test() -> None:
        async with ResumingSetup(breaks_after(130_000), second) as setup:
            setup.send("long")
            received = await setup.read_to_end()
            assert (HEAD + VALUE[:130_000]).startswith(received)
            assert received.startswith(b"$")
            await setup.until_idle()
            assert len(setup.plan.attempts) == 2
            assert 'lb_broken_values{outcome="differed"} 1\n' in setup.metrics
            assert 'aborted"} 1' in setup.metrics

    run(test)


def test_a_value_that_differs_behind_what_its_client_has_is_passed_on_as_the_other_endpoint_gives_it() -> (
    None
):
    async def test() -> None:
        other = VALUE[:130_000] + b"?" * (SIZE - 130_000)
        async with ResumingSetup(breaks_after(130_000), whole(other)) as setup:
            setup.send("long")
            assert await setup.read_value() == other
            await setup.until_idle()

    run(test)


def test_a_value_that_every_endpoint_breaks_off_closes_the_connection_after_the_allowed_attempts() -> None:
    # Guards against a value that is read again without end.
    async def test() -> None:
        answers = [breaks_after(130_000)] * 9
        async with ResumingSetup(*answers, caches=8) as setup:
            setup.send("long")
            received = await setup.read_to_end()
            assert (HEAD + VALUE[:130_000]).startswith(received)
            await setup.until_idle()
            assert len(setup.plan.attempts) == PATIENT.max_attempts
            assert 'lb_broken_values{outcome="abandoned"} 1\n' in setup.metrics

    run(test)


def test_a_value_that_breaks_off_after_the_deadline_is_not_read_again() -> None:
    # Guards against an attempt for which its client has no time left.
    async def test() -> None:
        late = asyncio.Event()
        async with ResumingSetup(breaks_after(130_000, allowed=late), whole()) as setup:
            setup.send("long", wait_ms=200)
            await setup.read(1)
            await asyncio.sleep(0.3)
            late.set()
            assert len(await setup.read_to_end()) <= len(HEAD) + 130_000
            await setup.until_idle()
            assert len(setup.plan.attempts) == 1

    run(test)


def test_the_timeout_told_to_the_other_endpoint_is_what_is_left_to_the_client() -> None:
    async def test() -> None:
        late = asyncio.Event()
        async with ResumingSetup(breaks_after(130_000, allowed=late), whole()) as setup:
            setup.send("long", wait_ms=3000)
            await setup.read(1)
            await asyncio.sleep(0.5)
            late.set()
            await setup.read(SIZE)
            (_, first_s, first_ms), (_, second_s, second_ms) = setup.plan.attempts
            assert second_ms <= first_ms - 1000 * (second_s - first_s) + 150

    run(test)


def test_no_attempt_begins_for_a_client_that_left_before_its_value_broke_off() -> None:
    # Guards against the rest of a value being fetched for nobody.
    async def test() -> None:
        late = asyncio.Event()
        async with ResumingSetup(breaks_after(130_000, allowed=late), whole()) as setup:
            setup.send("long")
            await setup.read(1)
            setup.writer.transport.abort()
            closed_s = time.monotonic()
            late.set()
            await setup.until_idle()
            assert all(at_s <= closed_s + MAX_ATTEMPT_DELAY_S for _, at_s, _ in setup.plan.attempts)

    run(test)


def test_no_attempt_begins_for_a_client_whose_value_breaks_off_in_the_turn_in_which_it_leaves() -> None:
    # Guards against a request that is open again, though it is about to be cancelled.
    async def test() -> None:
        never = asyncio.Event()
        async with ResumingSetup(breaks_after(130_000, allowed=never), whole()) as setup:
            setup.send("long")
            await setup.read(1)
            (client,) = setup.router.clients.connections
            (endpoint,) = (pool for pool in setup.router.pool._endpoints.values() if pool.streaming)
            (connection,) = endpoint.streaming
            client.abort(CloseCause.CLIENT_LEFT)
            connection.connection_lost(None)
            assert not setup.router.dispatcher.outstanding
            await setup.until_idle()
            assert len(setup.plan.attempts) == 1
            never.set()

    run(test)


@pytest.mark.sources_only
def test_an_answer_whose_end_stays_out_behind_its_complete_value_is_not_read_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(streamed_value, "MAX_HOLD_NS", 200 * MS)

    async def test() -> None:
        late = asyncio.Event()

        async def ends_late(writer: Writer) -> bool:
            writer.write(header() + VALUE + TAIL[:4])
            await late.wait()
            writer.write(TAIL[4:])
            return True

        async with ResumingSetup(ends_late, whole()) as setup:
            setup.send("long")
            assert await setup.read_value() == VALUE
            setup.send("behind")
            assert await setup.read(len(SHORT)) == SHORT
            await asyncio.sleep(0.5)
            late.set()
            await setup.until_idle()
            assert len(setup.plan.attempts) == 1
            assert not setup.router.pool.counters.abandoned

    run(test)


def test_a_client_that_leaves_while_its_value_is_read_again_ends_that_attempt() -> None:
    async def test() -> None:
        never = asyncio.Event()
        async with ResumingSetup(breaks_after(130_000), breaks_after(10, allowed=never)) as setup:
            setup.send("long")
            await until(lambda: len(setup.plan.attempts) == 2)
            setup.writer.transport.abort()
            await setup.until_idle()
            assert len(setup.plan.attempts) == 2

    run(test)


def test_a_slow_client_gets_its_resumed_value_without_its_being_buffered() -> None:
    # Guards against a source that is never resumed, or never paused, once it has taken another one's place.
    async def test() -> None:
        value = VALUE * 10
        async with ResumingSetup(breaks_after(300_000, value), whole(value)) as setup:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_connect(sock, setup.router.address)
            reader, writer = await asyncio.open_connection(sock=sock, limit=4096)
            writer.write(read("long", "key-long", 3000))
            assert await asyncio.wait_for(reader.readexactly(1), LIMIT_S) == b"$"
            writer.write(read("behind", "key-behind", 3000))
            await until(lambda: 'outcome="resumed"} 1' in setup.metrics)
            await asyncio.sleep(0.2)  # lets the value arrive; the assertions don't depend on it
            buffered = [
                connection.unsent_bytes + streamed.unwritten_bytes
                for connection in setup.router.clients.connections
                if connection.replies and (streamed := connection.replies[0].streamed) is not None
            ]
            assert all(size < 1 << 20 for size in buffered)
            expected = b"%d\r\n" % len(value) + value + b"\r\n" + SHORT
            assert await asyncio.wait_for(reader.readexactly(len(expected)), LIMIT_S) == expected
            writer.close()
            await setup.until_idle()

    run(test)


@pytest.mark.sources_only
@pytest.mark.parametrize("commands_behind", [0, 1])
def test_the_rest_of_a_value_that_comes_too_late_is_awaited_for_the_commands_behind_it_only(
    commands_behind: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # By the operators' page a value whose rest is held back for 2 s is lost, and one that ends early is not.
    monkeypatch.setattr(streamed_value, "MAX_HOLD_NS", 200 * MS)

    async def test() -> None:
        late = asyncio.Event()

        async def gives_late(writer: Writer) -> bool:
            await late.wait()
            return await whole()(writer)

        async with ResumingSetup(breaks_after(130_000), gives_late) as setup:
            setup.send("long")
            await setup.read(1)
            setup.send(*("behind",) * commands_behind)
            await until(lambda: len(setup.plan.attempts) == 2)
            await asyncio.sleep(0.4)
            late.set()
            received = await setup.read_to_end() if not commands_behind else b""
            assert len(received) <= len(HEAD) + 130_000
            if commands_behind:
                assert await setup.read(len(HEAD) - 1 + SIZE + 2) == HEAD[1:] + VALUE + b"\r\n"
                assert await setup.read(len(SHORT)) == SHORT
            await setup.until_idle()

    run(test)


@pytest.mark.sources_only
@pytest.mark.parametrize("caches", [1, 3])
@pytest.mark.parametrize("commands_behind", [0, 1])
def test_a_value_that_falls_silent_is_read_from_another_endpoint_for_the_commands_behind_it(
    commands_behind: int, caches: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against commands that wait for a server that hangs amid a value. A server that may still give the
    # rest is not given up on where no other could, nor where nobody waits behind the value.
    monkeypatch.setattr(streamed_value, "MAX_HOLD_NS", 200 * MS)

    async def test() -> None:
        goes_on = asyncio.Event()

        async def falls_silent(writer: Writer) -> bool:
            writer.write(header() + VALUE[:130_000])
            await goes_on.wait()
            writer.write(VALUE[130_000:] + TAIL)
            return True

        async with ResumingSetup(falls_silent, whole(), caches=caches) as setup:
            setup.send("long")
            assert await setup.read(1) == b"$"
            setup.send(*("behind",) * commands_behind)
            is_resumed = caches > 1 and commands_behind > 0
            if not is_resumed:
                await asyncio.sleep(0.5)
                assert len(setup.plan.attempts) == 1
                goes_on.set()
            assert await setup.read(len(HEAD) - 1 + SIZE + 2) == HEAD[1:] + VALUE + b"\r\n"
            assert await setup.read(commands_behind * len(SHORT)) == commands_behind * SHORT
            assert len(setup.plan.attempts) == 1 + is_resumed
            goes_on.set()
            await setup.until_idle()

    run(test)


def test_the_end_of_a_shutdown_closes_a_connection_whose_value_is_being_read_again() -> None:
    async def test() -> None:
        never = asyncio.Event()
        async with ResumingSetup(breaks_after(130_000), breaks_after(0, allowed=never)) as setup:
            setup.send("long")
            await until(lambda: len(setup.plan.attempts) == 2)
            await setup.read(1)
            setup.router.dispatcher.answer_open_requests()
            assert len(await setup.read_to_end()) <= len(HEAD) + 130_000
            never.set()
            await setup.until_idle()

    run(test)


# The origin


def response(body: bytes, *headers: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\n%b\r\n\r\n%b" % (b"\r\n".join(headers), body)


def origin_gives(data: bytes, stays_open: bool = True) -> Answer:
    async def answer(writer: Writer) -> bool:
        writer.write(data)
        return stays_open

    return answer


LENGTH = b"Content-Length: %d" % SIZE


@pytest.mark.parametrize(
    "answers",
    [
        (breaks_after(130_000), has_none, origin_gives(response(VALUE, LENGTH))),
        (breaks_after(130_000), has_none, origin_gives(response(VALUE, b"Connection: close"), False)),
        (has_none, origin_gives(response(VALUE[:130_000], LENGTH), False), whole()),
        (has_none, origin_gives(response(VALUE[:130_000], LENGTH), False), breaks_after(SIZE - 1), whole()),
    ],
    ids=["the origin", "the origin, without a length", "stored by the origin", "stored, breaks off again"],
)
def test_a_value_is_completed_by_the_origin_or_after_it(answers: tuple[Answer, ...]) -> None:
    async def test() -> None:
        async with ResumingSetup(*answers, caches=2, has_origin=True) as setup:
            setup.send("long")
            await setup.read(1)
            setup.send("behind")
            assert await setup.read(len(HEAD) - 1 + SIZE + 2) == HEAD[1:] + VALUE + b"\r\n"
            assert await setup.read(len(SHORT)) == SHORT
            await setup.until_idle()
            assert len(setup.plan.attempts) == len(answers)

    run(test)


def test_an_answer_without_a_length_that_differs_is_not_passed_on() -> None:
    async def test() -> None:
        other = response(b"?" + VALUE[1:], b"Connection: close")
        answers = (breaks_after(130_000), has_none, origin_gives(other, False))
        async with ResumingSetup(*answers, caches=2, has_origin=True) as setup:
            setup.send("long")
            received = await setup.read_to_end()
            assert (HEAD + VALUE[:130_000]).startswith(received)
            await setup.until_idle()
            assert 'lb_broken_values{outcome="differed"} 1\n' in setup.metrics

    run(test)


# The comparison


def begun_value(value: bytes) -> BegunValue:
    begun = BegunValue(SIZE)
    for at in range(0, len(value), 70_000):
        begun.add(value[at : at + 70_000])
    return begun


@pytest.mark.parametrize("size", [0, 1, 130_000, SIZE])
@pytest.mark.parametrize("part_bytes", [999, 65_536, SIZE])
def test_the_rest_behind_an_equal_beginning_is_returned_in_any_parts(size: int, part_bytes: int) -> None:
    check = BeginningCheck(begun_value(VALUE[:size]), SIZE)
    parts = [check.feed(VALUE[at : at + part_bytes]) for at in range(0, SIZE, part_bytes)]
    assert b"".join(parts) == VALUE[size:]
    assert check.is_complete


def test_another_length_or_beginning_is_told_apart() -> None:
    with pytest.raises(ValueDiffersError):
        BeginningCheck(begun_value(VALUE[:10]), SIZE + 1)
    with pytest.raises(ValueDiffersError):
        BeginningCheck(begun_value(VALUE[:10]), SIZE).feed(b"?" + VALUE[1:])


# The routing policy


def broke_off(send: SendAttempt, outcome: Outcome = Outcome.RESET) -> AttemptEnded:
    return replace(ended(send, outcome, closed=False), value_broke_off=True, response_started=True)


def test_a_value_that_broke_off_is_read_from_the_next_ranked_endpoint() -> None:
    policy = started(settings(), fleet(5))
    first = only_send(policy.handle(request("a"), 1))
    policy.handle(StreamStarted("a", 0), 2)
    second = only_send(policy.handle(broke_off(first), 3))
    assert second.endpoint_id != first.endpoint_id
    assert second.purpose is AttemptPurpose.RESUME
    assert all(endpoint.in_flight <= 1 for endpoint in policy._caches.endpoints.values())
    policy.handle(ended(second, Outcome.OK), 4)
    assert not policy.table_sizes().requests


def test_a_value_that_broke_off_is_not_read_again_where_a_repeat_may_do_harm_or_no_time_is_left() -> None:
    policy = started(settings(), fleet(5), origin=False)
    for name, cls, end in (("a", "order", 3), ("b", "read", 2 * S)):
        first = only_send(policy.handle(request(name, cls=cls, is_write=False), 1))
        policy.handle(StreamStarted(name, 0), 2)
        actions = policy.handle(broke_off(first), end)
        assert not sends(actions)
        assert len(finals(actions)) == 1
        assert not policy.table_sizes().requests


def test_a_value_that_broke_off_is_not_read_again_for_a_client_that_has_left() -> None:
    policy = started(settings(), fleet(5))
    first = only_send(policy.handle(request("a"), 1))
    policy.handle(StreamStarted("a", 0), 2)
    policy.handle(RequestCancelled("a"), 3)
    assert not policy.handle(broke_off(first), 4)


def test_a_value_that_broke_off_is_read_again_within_the_allowed_attempts_and_from_ready_endpoints_only() -> (
    None
):
    policy = started(settings(max_attempts=3), fleet(5), origin=False)
    send = only_send(policy.handle(request("a"), 1))
    used = [send.endpoint_id]
    for now in (2, 3):
        policy.handle(StreamStarted("a", len(used) - 1), now)
        send = only_send(policy.handle(broke_off(send), now))
        used.append(send.endpoint_id)
    policy.handle(StreamStarted("a", 2), 4)
    assert len(finals(policy.handle(broke_off(send), 4))) == 1
    assert len(set(used)) == 3


def test_a_silent_value_has_an_alternative_only_where_another_endpoint_may_be_sent_the_request() -> None:
    for endpoints, has_origin, cls, now, expected in (
        (2, False, "read", 2, True),
        (1, True, "read", 2, True),
        (1, False, "read", 2, False),
        (2, False, "edit", 2, False),
        (2, False, "read", S, False),
    ):
        policy = started(settings(), fleet(endpoints), origin=has_origin)
        only_send(policy.handle(request("a", cls=cls, is_write=False), 0))
        policy.handle(StreamStarted("a", 0), 1)
        assert policy.has_alternative("a", now) is expected
    assert not policy.has_alternative("unknown", 2)
