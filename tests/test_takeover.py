"""A new process takes over from the old one: real processes on a passed socket, and the link alone."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import sys
from collections.abc import AsyncIterator
from pathlib import Path

import msgspec
import orjson
import pytest

from holdgw.operation.process_link import (
    MAX_MESSAGE_BYTES,
    ClientHandover,
    HandoverPart,
    ProcessLink,
    split_handover,
)
from holdgw.operation.takeover import Hello, Message, OverrideChanged, Takeover, decode
from holdgw.policy import EndpointHandover, HandoverState, Outcome, TenantHandover
from holdgw.router.program import Program
from tests.emulated_nodes import HIT, LIMIT_S, SERVED, Agent, Cache, command, entry, read, run, unused_address
from tests.helpers import MS, S, ended, fleet, only_send, request, sends, settings, started
from tests.test_operation import call, config, get, put, until_serving

ROOT = Path(__file__).resolve().parent.parent


class Process:
    """One process of the router, and the address of its door."""

    def __init__(self, process: asyncio.subprocess.Process, ops: tuple[str, int]) -> None:
        self.process, self.ops = process, ops

    async def serving(self) -> None:
        """Wait for the yes at the door."""
        await until_serving(self.ops, self.process)

    async def ask(self, data: bytes) -> bytes:
        return await call(self.ops, data)

    async def ended(self) -> int:
        return await asyncio.wait_for(self.process.wait(), LIMIT_S)


class Stage:
    """A listening socket held for the router, two caches and discovery; caches wait while held back."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.go = asyncio.Event()
        self.go.set()
        self.held = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.caches = [Cache(self._answer), Cache(self._answer)]
        self.processes: list[Process] = []

    async def _answer(self, _: list[bytes]) -> bytes:
        await self.go.wait()
        return HIT

    async def begin(self) -> None:
        for cache in self.caches:
            await cache.start()
        self.agent = Agent([entry(f"s{i}", cache.port) for i, cache in enumerate(self.caches)])
        await self.agent.start()
        classes = [{"name": "read", "aimNs": S, "giveUpNs": 5 * S, "semantics": "retryable"}]
        (self.folder / "config.json").write_bytes(
            orjson.dumps(
                {
                    "name": "n1",
                    "listen": "127.0.0.1:1",
                    "discovery": f"127.0.0.1:{self.agent.port}",
                    "limits": {"sockets": 256},
                    "settings": {"classes": classes},
                }
            )
        )

    async def start(self) -> Process:
        ops = unused_address()
        environ = {
            "LB_CONFIG": str(self.folder / "config.json"),
            "LB_OPS": "{}:{}".format(*ops),
            "LB_PASSED_SOCKET": str(self.held.fileno()),
            "TMPDIR": str(self.folder),
        }
        started = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "holdgw.router", env=environ, cwd=ROOT, pass_fds=[self.held.fileno()]
        )
        process = Process(started, ops)
        self.processes.append(process)
        await asyncio.wait_for(process.serving(), LIMIT_S)
        return process

    async def dial(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(*self.held.getsockname())

    async def end(self) -> None:
        for process in self.processes:
            if process.process.returncode is None:
                process.process.kill()
            await process.ended()
        self.agent.stop()
        for cache in self.caches:
            cache.stop()
        self.held.close()


@contextlib.asynccontextmanager
async def stage(folder: Path) -> AsyncIterator[Stage]:
    play = Stage(folder)
    await play.begin()
    try:
        yield play
    finally:
        await play.end()


async def served(reader: asyncio.StreamReader) -> None:
    assert await asyncio.wait_for(reader.readexactly(len(SERVED)), LIMIT_S) == SERVED


def test_clients_see_no_close_when_a_new_process_takes_over(tmp_path: Path) -> None:
    async def test() -> None:
        async with stage(tmp_path) as play:
            old = await play.start()
            idle, amid, waiting, piped = [await play.dial() for _ in range(4)]
            for number, (reader, writer) in enumerate((idle, amid, waiting, piped)):
                writer.write(read(f"first{number}", f"k{number}"))
                await served(reader)
            new = await play.start()
            play.go.clear()
            half = read("amid", "k1")
            amid[1].write(half[:30])
            waiting[1].write(read("waiting", "k2", 4000))
            piped[1].write(read("piped0", "k3", 4000) + read("piped1", "k4", 4000))
            before = sum(len(cache.seen) for cache in play.caches)
            while sum(len(cache.seen) for cache in play.caches) < before + 3 - 1:
                await asyncio.sleep(0.01)
            old.process.send_signal(signal.SIGTERM)
            idle[1].write(read("idle", "k0", 4000))  # at whichever process it is by now
            amid[1].write(half[30:])
            late = await play.dial()
            late[1].write(read("late", "k5", 4000))
            play.go.set()
            for reader, _ in (idle, amid, waiting, late, piped, piped):
                await served(reader)
            assert await old.ended() == 0
            for number, (reader, writer) in enumerate((idle, amid, waiting, piped)):
                writer.write(read(f"last{number}", f"k{number}"))
                await served(reader)
                writer.close()
            assert b'disposition="succeeded"} ' in await new.ask(get("/status/metrics"))

    run(test)


def test_servers_out_by_hand_are_out_at_both_processes_and_after(tmp_path: Path) -> None:
    async def test() -> None:
        async with stage(tmp_path) as play:
            old = await play.start()
            assert (await old.ask(put("/maintenance/enter", "s0"))).startswith(b"HTTP/1.1 200")
            new = await play.start()
            assert b"\nlb_ejected 1\n" in await new.ask(get("/status/metrics"))
            assert (await old.ask(put("/maintenance/enter", "s1"))).startswith(b"HTTP/1.1 200")
            while b"\nlb_ejected 2\n" not in await new.ask(get("/status/metrics")):
                await asyncio.sleep(0.01)
            assert (await new.ask(put("/maintenance/exit", "s0"))).startswith(b"HTTP/1.1 200")
            while b"\nlb_ejected 1\n" not in await old.ask(get("/status/metrics")):
                await asyncio.sleep(0.01)
            old.process.send_signal(signal.SIGTERM)
            assert await old.ended() == 0
            reader, writer = await play.dial()
            for number in range(20):
                writer.write(read(f"r{number}", f"k{number}"))
                await served(reader)
            assert [len(cache.seen) for cache in play.caches] == [20, 0]
            writer.close()

    run(test)


def test_a_successor_that_dies_costs_the_old_process_nothing(tmp_path: Path) -> None:
    async def test() -> None:
        async with stage(tmp_path) as play:
            old = await play.start()
            reader, writer = await play.dial()
            writer.write(read("a"))
            await served(reader)
            new = await play.start()
            new.process.kill()
            await new.ended()
            writer.write(read("b"))
            await served(reader)
            fresh = await play.dial()
            fresh[1].write(read("c"))
            await served(fresh[0])
            third = await play.start()  # a path that a dead process left behind is no hindrance
            old.process.send_signal(signal.SIGTERM)
            assert await old.ended() == 0
            assert third.process.returncode is None
            later = await play.dial()
            later[1].write(read("d"))
            await served(later[0])

    run(test)


def test_with_no_successor_connections_end_as_at_any_restart(tmp_path: Path) -> None:
    async def test() -> None:
        async with stage(tmp_path) as play:
            old = await play.start()
            reader, writer = await play.dial()
            writer.write(command(b"PING"))
            assert await asyncio.wait_for(reader.readline(), LIMIT_S) == b"+PONG\r\n"
            old.process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(reader.read(), LIMIT_S) == b""
            assert await old.ended() == 0
            assert not (tmp_path / "holdgw.link").exists()

    run(test)


# The link alone


class Ends:
    """Both ends of a link, and what came of it."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.here, self.there = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self.there.setblocking(False)
        self.taken: list[tuple[Message, int | None]] = []
        self.lost = asyncio.Event()
        self.link = ProcessLink(loop, self.here, decode, self._take, lambda _: self.lost.set())

    def _take(self, _: ProcessLink[Message], message: Message, descriptor: int | None) -> None:
        self.taken.append((message, descriptor))


def descriptors() -> int:
    return len(os.listdir("/proc/self/fd"))


@pytest.mark.parametrize("data", [b"noise", b"\x80", b"\x81\xa4type\xa7unknown"])
def test_a_message_that_cannot_be_read_ends_the_link_and_keeps_no_descriptor(data: bytes) -> None:
    async def test() -> None:
        ends = Ends()
        before = descriptors()
        with open(os.devnull) as passed:
            socket.send_fds(ends.there, [data], [passed.fileno()])
        await asyncio.wait_for(ends.lost.wait(), LIMIT_S)
        assert not ends.taken
        assert descriptors() == before - 1  # the link's own
        ends.there.close()

    run(test)


def test_connections_that_the_other_side_never_takes_are_closed_with_the_link() -> None:
    async def test() -> None:
        ends = Ends()
        before = descriptors()
        for _ in range(200):
            passed = os.open(os.devnull, os.O_RDONLY)
            ends.link.send(ClientHandover(b"x" * 4096, True, 0.0), passed)
        assert not ends.link.sent
        ends.link.close()
        ends.there.close()
        assert descriptors() <= before - 2

    run(test)


def test_words_go_on_from_one_process_to_the_others_but_not_back(tmp_path: Path) -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        heard: dict[str, list[str]] = {name: [] for name in "abc"}
        known: dict[str, list[HandoverState]] = {name: [] for name in "abc"}
        changed = asyncio.Event()

        def takeover(name: str) -> Takeover:
            def hand(word: OverrideChanged) -> None:
                heard[name].append(word.server)
                changed.set()

            return Takeover(
                loop,
                lambda: {f"out-{name}": 1},
                lambda: HandoverState(tenant_usage={name: 1.0}),
                hand,
                lambda learnt: known[name].append(learnt),
                lambda told, fd: os.close(fd),
                lambda: None,
            )

        first, second, third = (takeover(name) for name in "abc")
        for process in (first, second, third):
            await process.begin(tmp_path)
        assert heard["b"] == ["out-a"]
        assert heard["c"] == ["out-b"]
        assert [part.tenant_usage for part in known["c"] if part.tenant_usage] == [{"b": 1.0}]
        assert not known["a"]
        third.broadcast(OverrideChanged("s", True, 5))
        while "s" not in heard["a"]:
            changed.clear()
            await asyncio.wait_for(changed.wait(), LIMIT_S)
        assert (heard["a"], heard["b"], heard["c"]) == (["s"], ["out-a", "s"], ["out-b"])
        for process in (first, second, third):
            process.close()
        assert not list(tmp_path.iterdir())

    run(test)


def test_an_elder_that_says_nothing_is_not_waited_for_for_ever(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("holdgw.operation.takeover.HELLO_TIMEOUT_S", 0.05)

    async def test() -> None:
        stuck = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        stuck.bind(str(tmp_path / "holdgw.link"))
        stuck.listen()
        process = Takeover(
            asyncio.get_running_loop(),
            dict,
            HandoverState,
            lambda word: None,
            lambda learnt: None,
            lambda told, fd: None,
            lambda: None,
        )
        await process.begin(tmp_path)
        assert process.linked
        assert process.successor is None
        assert msg(stuck) == Hello(1)
        process.close()
        stuck.close()

    def msg(stuck: socket.socket) -> Message:
        peer, _ = stuck.accept()
        with peer:
            return msgspec.msgpack.decode(peer.recv(1000), type=Message)

    run(test)


# What is learnt


def test_a_successor_goes_on_from_what_the_elder_has_learnt() -> None:
    elder = started(settings(), fleet(3))
    # An origin that answers badly has taught it low limits, and a dead server to leave it out.
    for number in range(40):
        now = number * 100 * MS
        send = only_send(elder.handle(request(f"r{number}", now, key=f"k{number}"), now))
        (fetch, *_) = sends(elder.handle(ended(send, Outcome.MISS), now)) or (None,)
        if fetch is not None:
            elder.handle(ended(fetch, Outcome.ERROR, attempt=1, closed=True), now + MS)
    dead = next(iter(elder._caches.endpoints.values()))
    for _ in range(4):
        dead.record_attempt(Outcome.CONNECT_FAILED, False, 4 * S)
    assert elder.ejected() == [dead.entry.id]
    successor = started(settings(), fleet(3), now=4 * S)
    fresh = successor._guards["a"].limit
    for part in split_handover(elder.handover_state(4 * S)):
        successor.restore(msgspec.msgpack.decode(msgspec.msgpack.encode(part), type=HandoverState), 4 * S)
    assert successor.ejected() == elder.ejected()
    assert successor._guards["a"].limit == elder._guards["a"].limit < fresh / 2
    assert successor._guards["a"].accepted(4 * S) == elder._guards["a"].accepted(4 * S) > 0
    assert successor._guards["a"].declined == elder._guards["a"].declined
    assert successor.handover_state(4 * S) == elder.handover_state(4 * S)


def test_what_an_elder_tells_late_is_learnt_too(tmp_path: Path) -> None:
    # Found on reading: parts that came once there was a list of servers were kept, and never used.
    async def test() -> None:
        program = Program(config(tmp_path, 9))
        early, late = (HandoverState(tenant_usage={name: 2.0}) for name in ("early", "late"))
        program._learn(early)
        assert not program.host.handover_state().tenant_usage
        program._make_do()
        program._learn(late)
        assert program.host.handover_state().tenant_usage == {"early": 2.0, "late": 2.0}
        assert not program._learnt
        program.host.close()
        program.clients.close()
        program.pool.close()

    run(test)


def test_what_is_learnt_of_unknown_servers_and_tenants_is_passed_over() -> None:
    router = started(settings(), fleet(1))
    before = router.handover_state(0)
    gone = EndpointHandover(0.1, True, 0.1, 1.0, 1.0, 1.0)
    router.restore(HandoverState(endpoints={"gone": gone}, tenants={"none": TenantHandover(1.0, ())}), 0)
    assert router.handover_state(0) == before


def test_what_a_large_router_has_learnt_comes_in_messages_of_bounded_size() -> None:
    server = EndpointHandover(0.123456789, True, 0.987654321, 0.111111111, 1e9, 7.7777777)
    calls = tuple((1 << 60, True) for _ in range(50_000))
    learnt = HandoverState(
        endpoints={f"server-with-a-long-id-{i:06}": server for i in range(5000)},
        tenants={f"tenant-{i}": TenantHandover(1.0, calls) for i in range(3)},
        slot_popularity=dict.fromkeys(range(8192), 1.0),
        tenant_usage={f"tenant-{i}": 1.0 for i in range(3)},
    )
    cut = list(split_handover(learnt))
    assert max(len(msgspec.msgpack.encode(HandoverPart(part))) for part in cut) < MAX_MESSAGE_BYTES
    assert sum(len(part.endpoints) for part in cut) == 5000
    assert sum(len(part.slot_popularity) for part in cut) == 8192
