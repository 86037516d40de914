"""Answers that nobody asked for: a connection rests after each answer, and what comes meanwhile closes it."""

from __future__ import annotations

import asyncio
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import Any

import pytest

from holdgw.policy import NS_PER_S, Idempotency, Outcome
from holdgw.router import connection_pool
from holdgw.router.exchange import Exchange
from holdgw.router.idle_connections import REST_NS
from holdgw.wire.address import Address
from tests.emulated_nodes import (
    LIMIT_S,
    MISS,
    LoopbackRouter,
    LoopbackServer,
    entry,
    read,
    run,
    until,
)
from tests.helpers import settings

REST_S = REST_NS / NS_PER_S
REQUESTS = 20
LATE_S = (0.0, 0.003, 0.012)
"""How late a second answer comes: "some milliseconds" (STANDING), or right behind."""


def value_for(request: str) -> bytes:
    return b"made-for-" + request.encode()


def answer_for(request: str) -> bytes:
    value = value_for(request)
    return b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n$-1\r\n" % (len(value), value)


class SecondAnswers(LoopbackServer):
    """A cache server, or an origin, that gives each answer twice; each names the request it is made for."""

    def __init__(self, late_s: float, http: bool = False) -> None:
        super().__init__()
        self.late_s, self.http = late_s, http

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        while True:
            answer = await (self._answer_http(reader) if self.http else self._answer_resp(reader))
            writer.write(answer)
            loop.call_later(self.late_s, writer.write, answer)

    async def _answer_http(self, reader: asyncio.StreamReader) -> bytes:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        request = head.split("Request-Id: ")[1].split("\r\n")[0]
        value = value_for(request)
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(value), value)

    async def _answer_resp(self, reader: asyncio.StreamReader) -> bytes:
        words = []
        for _ in range(int((await reader.readuntil(b"\r\n"))[1:])):
            size = int((await reader.readuntil(b"\r\n"))[1:])
            words.append((await reader.readexactly(size + 2))[:-2])
        return answer_for(words[2].decode())


class MissingCache(LoopbackServer):
    """A cache server that has no key."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while await reader.read(1 << 16):  # a client that waits for its answer sends one command at a time
            writer.write(MISS)


async def ask_in_turn(router: LoopbackRouter, client: str) -> list[bytes]:
    """Send reads, each as soon as the one before it is answered; returns the values served."""
    reader, writer = await router.dial()
    served = []
    for number in range(REQUESTS):
        request = f"{client}-{number}"
        writer.write(read(request, f"key-{request}"))
        length = int((await asyncio.wait_for(reader.readuntil(b"\r\n"), LIMIT_S))[1:])
        served.append((await reader.readexactly(length + 2))[:-2])
    writer.close()
    return served


@pytest.mark.parametrize("late_s", LATE_S)
@pytest.mark.parametrize("target", ["cache", "origin"])
def test_a_second_answer_is_not_served_to_the_next_request(target: str, late_s: float) -> None:
    # Guards against a value made for one request being served to another, when its server answers twice.
    async def test() -> None:
        cache: LoopbackServer = SecondAnswers(late_s) if target == "cache" else MissingCache()
        origin, router = SecondAnswers(late_s, http=True), LoopbackRouter()
        await cache.start()
        await origin.start()
        await router.start(entry("s1", cache.port), entry("o", origin.port, "origin"))
        served = await asyncio.gather(*(ask_in_turn(router, client) for client in ("a", "b")))
        for client, values in zip(("a", "b"), served, strict=True):
            assert values == [value_for(f"{client}-{number}") for number in range(REQUESTS)]
        router.stop()
        cache.stop()
        origin.stop()

    run(test)


class CountingCache(SecondAnswers):
    """Misses every second request, and serves the others, which counts as a run; gives each answer twice."""

    def __init__(self, late_s: float, runs: Counter[str]) -> None:
        super().__init__(late_s)
        self.runs = runs
        self.requests = 0

    async def _answer_resp(self, reader: asyncio.StreamReader) -> bytes:
        answer = await super()._answer_resp(reader)
        self.requests += 1
        if self.requests % 2:
            return MISS
        self.runs[answer.split(b"made-for-")[1].split(b"\r\n")[0].decode()] += 1
        return answer


class CountingOrigin(SecondAnswers):
    """Rejects every fourth request before it runs, and serves the others; gives each answer twice."""

    def __init__(self, late_s: float, runs: Counter[str]) -> None:
        super().__init__(late_s, http=True)
        self.runs = runs
        self.requests = 0

    async def _answer_http(self, reader: asyncio.StreamReader) -> bytes:
        answer = await super()._answer_http(reader)
        self.requests += 1
        if not self.requests % 4:
            return b"HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
        self.runs[answer.split(b"made-for-")[1].decode()] += 1
        return answer


async def ask_for_lines(router: LoopbackRouter, client: str) -> dict[str, bytes]:
    """Send reads, each as soon as the one before it is answered; returns the value or the error of each."""
    reader, writer = await router.dial()
    answers = {}
    for number in range(REQUESTS):
        request = f"{client}-{number}"
        writer.write(read(request, f"key-{request}"))
        line = await asyncio.wait_for(reader.readuntil(b"\r\n"), LIMIT_S)
        answers[request] = (await reader.readuntil(b"\r\n"))[:-2] if line.startswith(b"$") else line
    writer.close()
    return answers


@pytest.mark.parametrize("late_s", LATE_S[1:])
def test_second_answers_run_no_unsafe_request_twice_and_have_none_refused_that_ran(late_s: float) -> None:
    # Guards against a miss or a rejection of another request being taken for this one's.
    async def test() -> None:
        runs: Counter[str] = Counter()
        cache, origin = CountingCache(late_s, runs), CountingOrigin(late_s, runs)
        classes = tuple(
            replace(request_class, idempotency=Idempotency.NOT_IDEMPOTENT)
            for request_class in settings().classes
        )
        router = LoopbackRouter(config=replace(settings(), classes=classes))
        await cache.start()
        await origin.start()
        await router.start(entry("s1", cache.port), entry("o", origin.port, "origin"))
        clients = [f"c{number}" for number in range(4)]
        for answers in await asyncio.gather(*(ask_for_lines(router, client) for client in clients)):
            for request, answer in answers.items():
                if answer.startswith(b"-"):
                    assert not (answer.startswith(b"-BUSY") and runs[request])
                else:
                    assert answer == value_for(request)
        assert max(runs.values()) == 1
        router.stop()
        cache.stop()
        origin.stop()

    run(test)


class RecordingExchange(Exchange):
    """An exchange that records its outcome and value."""

    def __init__(self, request: str) -> None:
        self.request = request
        self.done = asyncio.get_running_loop().create_future()

    def request_bytes(self, address: Address) -> bytes:
        return read(self.request)

    def on_end(self, outcome: Outcome, value: bytes | None = None, *_: object) -> None:
        self.done.set_result((outcome, value))


def serve_from_thread(listener: socket.socket, answered: threading.Event, again: threading.Event) -> None:
    """Answer each command of each connection; the first answer is repeated as soon as `again` is set."""

    def serve(sock: socket.socket) -> None:
        with sock:
            while data := sock.recv(1 << 16):
                request = data.split(b"\r\n")[6].decode()
                sock.sendall(answer_for(request))
                if not answered.is_set():
                    answered.set()
                    again.wait(LIMIT_S)
                    sock.sendall(answer_for(request))

    while True:
        try:
            sock, _ = listener.accept()
        except OSError:
            return
        threading.Thread(target=serve, args=(sock,), daemon=True).start()


def test_a_second_answer_that_is_unread_after_a_stall_is_not_served() -> None:
    # Guards against a connection being reused while the kernel holds a second answer that was not read.
    async def test() -> None:
        answered, again = threading.Event(), threading.Event()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            threading.Thread(target=serve_from_thread, args=(listener, answered, again), daemon=True).start()
            router = LoopbackRouter()
            await router.start(entry("s1", listener.getsockname()[1]))
            first = RecordingExchange("first")
            router.pool.submit("s1", first)
            assert await first.done == (Outcome.OK, b"$14\r\nmade-for-first\r\n")
            # The event loop stands still while the second answer arrives and the rest ends by the clock.
            again.set()
            time.sleep(4 * REST_S)
            second = RecordingExchange("second")
            router.pool.submit("s1", second)
            assert await asyncio.wait_for(second.done, LIMIT_S) == (Outcome.OK, b"$15\r\nmade-for-second\r\n")
            await until(lambda: len(router.pool._endpoints["s1"].idle) == 1)
            router.stop()
            listener.shutdown(socket.SHUT_RDWR)

    run(test)


async def ask(router: LoopbackRouter, request: str) -> float:
    """Send a request to the endpoint s1; returns the seconds until its answer came."""
    started = time.monotonic()
    exchange = RecordingExchange(request)
    router.pool.submit("s1", exchange)
    outcome, _ = await asyncio.wait_for(exchange.done, LIMIT_S)
    assert outcome is Outcome.OK
    return time.monotonic() - started


def run_with_pool(steps: Callable[[LoopbackRouter], Coroutine[Any, Any, None]]) -> None:
    """Run a test with a router whose only endpoint, s1, answers each request once."""

    async def test() -> None:
        server, router = SecondAnswers(LIMIT_S), LoopbackRouter()
        await server.start()
        await router.start(entry("s1", server.port))
        await steps(router)
        router.stop()
        server.stop()

    run(test)


def test_at_the_limit_of_resting_connections_an_exchange_waits_for_a_rest(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a connection being reused before its rest is over where no further one may be dialled.
    monkeypatch.setattr(connection_pool, "MAX_RESTING_CONNECTIONS_PER_ENDPOINT", 2)

    async def steps(router: LoopbackRouter) -> None:
        await asyncio.gather(ask(router, "a"), ask(router, "b"))
        waited_s = await asyncio.gather(ask(router, "c"), ask(router, "d"))
        assert min(waited_s) > 0.5 * REST_S
        assert router.pool.counters.dials == 2

    run_with_pool(steps)


def test_at_the_limit_of_descriptors_an_exchange_waits_for_a_rest() -> None:
    # Guards against connections being evicted and dialled again for each exchange under full load.
    async def steps(router: LoopbackRouter) -> None:
        router.pool.set_limit(1)
        await ask(router, "a")
        assert await ask(router, "b") > 0.5 * REST_S
        assert router.pool.counters.dials == 1
        assert router.pool.counters.evicted == 0

    run_with_pool(steps)


def test_resting_connections_leave_room_for_others_and_are_used_again() -> None:
    # Guards against a rest taking an exchange's place, which would bound the rate of one endpoint.
    async def steps(router: LoopbackRouter) -> None:
        for _ in range(2 * connection_pool.MAX_CONNECTIONS_PER_ENDPOINT):
            await ask(router, "a")
        dials = router.pool.counters.dials
        assert dials <= router.pool.tables()["connections_idle"] == router.pool.tables()["connections"]
        await router.connections_rested()
        await ask(router, "b")
        assert router.pool.counters.dials == dials

    run_with_pool(steps)


@pytest.mark.parametrize("by", ["drain", "address"])
def test_a_resting_connection_is_closed_with_its_endpoint(by: str) -> None:
    # Guards against a rest that outlives a drain, a removal or a change of the address.
    async def steps(router: LoopbackRouter) -> None:
        await ask(router, "a")
        endpoint = router.pool._endpoints["s1"]
        waiting = RecordingExchange("b")
        router.pool.set_limit(1)
        router.pool.submit("s1", waiting)
        if by == "drain":
            router.pool.remove_endpoint("s1")
        else:
            router.pool.add_endpoint("s1", ("127.0.0.1", 1), endpoint.connect)
        assert (await waiting.done)[0] is Outcome.CONNECT_FAILED
        await router.connections_rested()
        assert router.pool.tables()["connections"] == router.pool.tables()["descriptors_counted"] == 0

    run_with_pool(steps)
