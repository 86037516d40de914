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
from holdgw.policy.endpoint_health import AttemptResult
from holdgw.router.program import Program
from tests.emulated_nodes import (
    HIT,
    LIMIT_S,
    SERVED,
    Cache,
    DiscoveryServer,
    command,
    entry,
    read,
    run,
    unused_address,
)
from tests.helpers import MS, S, ended, fleet, only_send, request, sends, settings, started
from tests.operation.admin_calls import call, config, get, put, until_serving

ROOT = Path(__file__).resolve().parents[2]


class Process:
    """One process of the router, and the address of its admin endpoint."""

    def __init__(self, process: asyncio.subprocess.Process, ops: tuple[str, int]) -> None:
        self.process, self.ops = process, ops

    async def serving(self) -> None:
        """Wait until the admin endpoint says that it can serve."""
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
        self.agent = DiscoveryServer([entry(f"s{i}", cache.port) for i, cache in enumerate(self.caches)])
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
    """A new version is started and the old process gets SIGTERM while clients have idle, half-sent,
    waiting and pipelined commands. Without the handover each would see a close. The old process answers
    what it has taken, and passes each connection on.
    """

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


def test_overrides_hold_at_both_processes_and_after_the_takeover(tmp_path: Path) -> None:
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


def test_a_new_process_that_dies_does_not_disturb_the_old_one(tmp_path: Path) -> None:
    """The new process is killed before it has taken over. Its link is closed; the old process serves on,
    and a third process can take over.
    """

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


def test_without_a_new_process_connections_are_closed_as_at_any_restart(tmp_path: Path) -> None:
    """No new process is there at SIGTERM. Connections are closed between requests, and the socket's path
    is removed.
    """

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
        self.received: list[tuple[Message, int | None]] = []
        self.closed = asyncio.Event()
        self.link = ProcessLink(loop, self.here, decode, self._receive, lambda _: self.closed.set())

    def _receive(self, _: ProcessLink[Message], message: Message, descriptor: int | None) -> None:
        self.received.append((message, descriptor))


def descriptors() -> int:
    return len(os.listdir("/proc/self/fd"))


@pytest.mark.parametrize("data", [b"noise", b"\x80", b"\x81\xa4type\xa7unknown"])
def test_a_message_that_cannot_be_decoded_closes_the_link_and_its_descriptor(data: bytes) -> None:
    """The other process sends bytes that are no message, with a descriptor. The link is closed, and so is
    the descriptor: it would otherwise leak, and its client wait for ever.
    """

    async def test() -> None:
        ends = Ends()
        before = descriptors()
        with open(os.devnull) as passed:
            socket.send_fds(ends.there, [data], [passed.fileno()])
        await asyncio.wait_for(ends.closed.wait(), LIMIT_S)
        assert not ends.received
        assert descriptors() == before - 1  # the link's own
        ends.there.close()

    run(test)


def test_connections_that_the_other_process_never_reads_are_closed_with_the_link() -> None:
    """The other process reads nothing, so that messages and their descriptors queue up here. When the link
    is closed all of them are closed with it.
    """

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


class RecordingOwner:
    """A process that has one override and some usage under its name, and ignores what others send."""

    def __init__(self, name: str) -> None:
        self.name = name

    def overridden_endpoints(self) -> dict[str, int]:
        return {f"out-{self.name}": 1}

    def handover_state(self) -> HandoverState:
        return HandoverState(tenant_usage={self.name: 1.0})

    def apply_override(self, change: OverrideChanged) -> None:
        pass

    def restore_state(self, state: HandoverState) -> None:
        pass

    def adopt_client(self, handover: ClientHandover, descriptor: int) -> None:
        os.close(descriptor)

    def links_changed(self) -> None:
        pass


def test_an_override_is_passed_on_to_the_other_processes_but_not_back(tmp_path: Path) -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        overrides: dict[str, list[str]] = {name: [] for name in "abc"}
        states: dict[str, list[HandoverState]] = {name: [] for name in "abc"}
        changed = asyncio.Event()

        class Owner(RecordingOwner):
            def apply_override(self, change: OverrideChanged) -> None:
                overrides[self.name].append(change.endpoint_id)
                changed.set()

            def restore_state(self, state: HandoverState) -> None:
                states[self.name].append(state)

        first, second, third = (Takeover(loop, Owner(name)) for name in "abc")
        for process in (first, second, third):
            await process.begin(tmp_path)
        assert overrides["b"] == ["out-a"]
        assert overrides["c"] == ["out-b"]
        assert [part.tenant_usage for part in states["c"] if part.tenant_usage] == [{"b": 1.0}]
        assert not states["a"]
        third.broadcast(OverrideChanged("s", True, 5))
        while "s" not in overrides["a"]:
            changed.clear()
            await asyncio.wait_for(changed.wait(), LIMIT_S)
        assert (overrides["a"], overrides["b"], overrides["c"]) == (["s"], ["out-a", "s"], ["out-b"])
        for process in (first, second, third):
            process.close()
        assert not list(tmp_path.iterdir())

    run(test)


def test_an_old_process_that_does_not_answer_is_given_up_after_the_timeout(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The old process accepts the link and says nothing. The new one waits for HELLO_TIMEOUT_S, and then
    starts without knowing the overrides.
    """
    monkeypatch.setattr("holdgw.operation.takeover.HELLO_TIMEOUT_S", 0.05)

    async def test() -> None:
        stuck = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        stuck.bind(str(tmp_path / "holdgw.link"))
        stuck.listen()
        process = Takeover(asyncio.get_running_loop(), RecordingOwner("new"))
        await process.begin(tmp_path)
        assert process.linked
        assert process.new_process is None
        assert msg(stuck) == Hello(1)
        process.close()
        stuck.close()

    def msg(stuck: socket.socket) -> Message:
        peer, _ = stuck.accept()
        with peer:
            return msgspec.msgpack.decode(peer.recv(1000), type=Message)

    run(test)


# Handover state


def test_a_new_process_restores_the_handover_state_of_the_old_one() -> None:
    old = started(settings(), fleet(3))
    # An origin that answers badly has led to low limits, and a dead endpoint to its ejection.
    for number in range(40):
        now = number * 100 * MS
        send = only_send(old.handle(request(f"r{number}", now, key=f"k{number}"), now))
        (fetch, *_) = sends(old.handle(ended(send, Outcome.MISS), now)) or (None,)
        if fetch is not None:
            old.handle(ended(fetch, Outcome.ERROR, attempt=1, closed=True), now + MS)
    dead = next(iter(old._caches.endpoints.values()))
    for _ in range(4):
        dead.health.record(AttemptResult(Outcome.CONNECT_FAILED, False, 4 * S))
    assert old.ejected() == [dead.entry.id]
    new = started(settings(), fleet(3), now=4 * S)
    fresh = new._origin_limiters["a"].rate_limit
    for part in split_handover(old.handover_state(4 * S)):
        new.restore(msgspec.msgpack.decode(msgspec.msgpack.encode(part), type=HandoverState), 4 * S)
    assert new.ejected() == old.ejected()
    assert new._origin_limiters["a"].rate_limit == old._origin_limiters["a"].rate_limit < fresh / 2
    assert (
        new._origin_limiters["a"].accepted_calls(4 * S) == old._origin_limiters["a"].accepted_calls(4 * S) > 0
    )
    assert new._origin_limiters["a"].declined == old._origin_limiters["a"].declined
    assert new.handover_state(4 * S) == old.handover_state(4 * S)


def test_handover_state_that_comes_late_is_restored_too(tmp_path: Path) -> None:
    # Found on reading: parts that came once there was an endpoint list were kept, and never restored.
    async def test() -> None:
        program = Program(config(tmp_path, 9))
        early, late = (HandoverState(tenant_usage={name: 2.0}) for name in ("early", "late"))
        program.restore_state(early)
        assert not program.dispatcher.handover_state().tenant_usage
        program._become_ready()
        program.restore_state(late)
        assert program.dispatcher.handover_state().tenant_usage == {"early": 2.0, "late": 2.0}
        assert not program._states_to_restore
        program.dispatcher.close()
        program.clients.close()
        program.pool.close()

    run(test)


def test_handover_state_of_unknown_endpoints_and_tenants_is_ignored() -> None:
    router = started(settings(), fleet(1))
    before = router.handover_state(0)
    gone = EndpointHandover(0.1, True, 0.1, 1.0, 1.0, 1.0)
    router.restore(HandoverState(endpoints={"gone": gone}, tenants={"none": TenantHandover(1.0, ())}), 0)
    assert router.handover_state(0) == before


def test_handover_state_of_a_large_router_comes_in_messages_of_bounded_size() -> None:
    server = EndpointHandover(0.123456789, True, 0.987654321, 0.111111111, 1e9, 7.7777777)
    calls = tuple((1 << 60, True) for _ in range(50_000))
    state = HandoverState(
        endpoints={f"server-with-a-long-id-{i:06}": server for i in range(5000)},
        tenants={f"tenant-{i}": TenantHandover(1.0, calls) for i in range(3)},
        slot_popularity=dict.fromkeys(range(8192), 1.0),
        tenant_usage={f"tenant-{i}": 1.0 for i in range(3)},
    )
    cut = list(split_handover(state))
    assert max(len(msgspec.msgpack.encode(HandoverPart(part))) for part in cut) < MAX_MESSAGE_BYTES
    assert sum(len(part.endpoints) for part in cut) == 5000
    assert sum(len(part.slot_popularity) for part in cut) == 8192
