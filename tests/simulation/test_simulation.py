"""The simulated world without a fleet: time, spins, processes, links and their faults, disks."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from holdgw.simulation import world as world_module
from holdgw.simulation.determinism_guard import DeterminismGuard, NondeterminismError
from holdgw.simulation.disk import Disk
from holdgw.simulation.network import Cut, Network
from holdgw.simulation.process import Process
from holdgw.simulation.world import NS_PER_S, START_NS, SpinError, World

MS = 1_000_000
DELAY_NS = 5 * MS
SERVER = ("10.0.0.2", 80)


class Fixture:
    """Two hosts with a link of 5 ms between them, and a process on each."""

    def __init__(self, seed: int = 1) -> None:
        self.world = World(seed)
        self.network = Network(self.world, lambda _a, _b: (DELAY_NS, 0))
        self.here = self.network.host("here", "a", "10.0.0.1")
        self.there = self.network.host("there", "b", "10.0.0.2")
        self.client = Process(self.world, self.network, self.here, "client")
        self.server = Process(self.world, self.network, self.there, "server")

    def run(self, seconds: float = 100.0) -> None:
        self.world.run(self.world.now + int(seconds * NS_PER_S))

    def at(self, seconds: float, act: Callable[[], object]) -> None:
        self.world.at(self.world.now + int(seconds * NS_PER_S), None, act)

    def play(self, client: Coroutine[Any, Any, int], server: Coroutine[Any, Any, int] | None = None) -> None:
        if server is not None:
            self.server.start(server)
        self.client.start(client)
        self.run()
        assert self.client.faults == []


class RecordingProtocol(asyncio.Protocol):
    def __init__(self) -> None:
        self.data, self.lost, self.pieces = b"", "", 0
        self.transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.data += data
        self.pieces += 1

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = type(exc).__name__


def listening(accepted: list[RecordingProtocol]) -> Coroutine[Any, Any, int]:
    def make() -> RecordingProtocol:
        accepted.append(RecordingProtocol())
        return accepted[-1]

    async def main() -> int:
        await asyncio.get_running_loop().create_server(make, *SERVER)
        return int(await asyncio.get_running_loop().create_future())

    return main()


async def dial() -> RecordingProtocol:
    _, protocol = await asyncio.get_running_loop().create_connection(RecordingProtocol, *SERVER)
    return protocol


# Time


def test_time_passes_only_when_nothing_is_ready_and_an_hour_costs_nothing() -> None:
    fixture = Fixture()
    elapsed_s: list[float] = []

    async def main() -> int:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        for _ in range(1000):
            await asyncio.sleep(0)
        elapsed_s.append(loop.time() - started_at)
        await asyncio.sleep(3600)
        elapsed_s.append(loop.time() - started_at)
        return 7

    fixture.client.start(main())
    fixture.run(4000)
    assert elapsed_s == [0.0, pytest.approx(3600)]
    assert fixture.client.exit_code == 7


def test_clocks_of_processes_drift_and_wall_clocks_jump() -> None:
    fixture = Fixture()
    fast = Process(fixture.world, fixture.network, fixture.here, "fast", drift_ppm=1000)
    local_start_ns = fast.monotonic_ns()
    unix_start_ns = fast.unix_ns()
    due = fast.world_time(local_start_ns + 10 * NS_PER_S)
    assert 9.98 * NS_PER_S < due - START_NS < 10 * NS_PER_S
    assert fast.local_time(due) >= local_start_ns + 10 * NS_PER_S > fast.local_time(due - 1)
    fast.step_wall_clock(-3600 * NS_PER_S)
    assert fast.unix_ns() == unix_start_ns - 3600 * NS_PER_S
    assert fast.monotonic_ns() == local_start_ns


def test_spin_ends_the_run_and_names_the_callback() -> None:
    fixture = Fixture()

    async def main() -> int:
        loop = asyncio.get_running_loop()

        def spins_for_ever() -> None:
            loop.call_soon(spins_for_ever)

        spins_for_ever()
        return int(await loop.create_future())

    fixture.client.start(main())
    with pytest.raises(SpinError, match="spins_for_ever"):
        fixture.run()

    async def busy() -> int:
        while True:
            await asyncio.sleep(0)

    other = Fixture()
    other.client.start(busy())
    with pytest.raises(SpinError, match="busy"):
        other.run()


def test_many_callbacks_of_one_instant_are_no_spin(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(world_module, "MAX_CALLBACKS_PER_INSTANT", 2_000)
    fixture = Fixture()

    async def main() -> int:
        for _ in range(5):
            for _ in range(500):
                await asyncio.sleep(0)
            await asyncio.sleep(0.001)
        return 0

    fixture.play(main())
    assert fixture.client.exit_code == 0


def test_unsupported_features_raise_not_implemented() -> None:
    fixture = Fixture()

    async def main() -> int:
        loop = asyncio.get_running_loop()
        with pytest.raises(NotImplementedError, match="threads"):
            await asyncio.to_thread(print)
        with pytest.raises(NotImplementedError, match="literal"):
            await loop.getaddrinfo("example.org", 80)
        with pytest.raises(NotImplementedError, match="ssl"):
            await loop.create_connection(RecordingProtocol, *SERVER, ssl=True)
        return 0

    fixture.play(main())


def test_reading_the_real_clock_in_program_code_ends_the_run() -> None:
    fixture = Fixture()
    scope = {"__name__": "holdgw.router.planted", "time": time}
    exec("async def main():\n    return int(time.monotonic())", scope)
    fixture.client.start(scope["main"]())  # type: ignore[operator]
    with (
        DeterminismGuard(fixture.world),
        pytest.raises(NondeterminismError, match=r"planted called time\.monotonic"),
    ):
        fixture.run()
    assert time.monotonic() > 0  # the guard has restored the function


# Processes


def test_signals_call_their_handler_or_end_the_process() -> None:
    fixture = Fixture()
    received: list[str] = []

    async def main() -> int:
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, received.append, "HUP")
        return int(await asyncio.get_running_loop().create_future())

    fixture.client.start(main())
    fixture.at(1, lambda: fixture.client.send_signal(signal.SIGHUP))
    fixture.at(2, lambda: fixture.client.send_signal(signal.SIGTERM))
    fixture.run()
    assert received == ["HUP"]
    assert fixture.client.exit_code == -signal.SIGTERM


def test_process_can_die_at_any_await_and_runs_nothing_afterwards() -> None:
    step_counts = set()
    for callbacks_before_kill in range(1, 14):
        fixture = Fixture()
        steps: list[int] = []

        async def main(steps: list[int] = steps) -> int:
            try:
                for step in range(10):
                    steps.append(step)
                    await asyncio.sleep(0.001)
            finally:
                steps.append(-1)
            return 0

        fixture.client.start(main())
        fixture.client.kill(after=callbacks_before_kill)
        fixture.run()
        assert -1 not in steps  # a dead process runs no `finally` block
        step_counts.add(len(steps))
        fixture.world.end()
    assert step_counts == {1, 2, 3, 4, 5, 6, 7}


def test_stopped_process_loses_no_data_and_its_kernel_accepts_connections() -> None:
    fixture = Fixture()
    accepted: list[RecordingProtocol] = []

    async def main() -> int:
        client = await dial()
        client.transport.write(b"early")
        await asyncio.sleep(1)
        fixture.server.send_signal(signal.SIGSTOP)
        client.transport.write(b" late")
        second = await asyncio.wait_for(dial(), 1)  # the kernel accepts the connection
        await asyncio.sleep(1)
        assert len(accepted) == 1
        assert accepted[0].data == b"early"
        fixture.server.send_signal(signal.SIGCONT)
        await asyncio.sleep(0.1)
        assert accepted[0].data == b"early late"
        assert len(accepted) == 2
        second.transport.abort()
        return 0

    fixture.play(main(), listening(accepted))


def test_death_of_a_process_closes_its_connections() -> None:
    fixture = Fixture()
    accepted: list[RecordingProtocol] = []
    clients: list[RecordingProtocol] = []

    async def main() -> int:
        clients.append(await dial())
        await asyncio.sleep(0.1)
        fixture.server.kill()
        await asyncio.sleep(1)
        with pytest.raises(ConnectionRefusedError):
            await dial()
        return 0

    fixture.play(main(), listening(accepted))
    assert clients[0].lost == "NoneType"
    assert accepted[0].lost == ""  # a dead process gets no callback
    assert not fixture.server.open_descriptors


def test_process_at_its_limit_gets_no_descriptor() -> None:
    fixture = Fixture()
    small = Process(fixture.world, fixture.network, fixture.here, "small", max_descriptors=5)

    async def main() -> int:
        connected = [await dial(), await dial()]
        with pytest.raises(OSError, match="Too many open files"):
            await dial()
        connected[0].transport.abort()
        await asyncio.sleep(0.1)
        await dial()
        return 0

    fixture.server.start(listening([]))
    small.start(main())
    fixture.run()
    assert small.faults == []
    assert small.exit_code == 0


# Links


def test_partition_delays_bytes_in_the_blocked_direction_only() -> None:
    fixture = Fixture()
    accepted: list[RecordingProtocol] = []

    async def main() -> int:
        client = await dial()
        await asyncio.sleep(0.1)
        fixture.network.block([fixture.here], [fixture.there], 2.0, both=False)
        client.transport.write(b"held")
        accepted[0].transport.write(b"free")
        await asyncio.sleep(0.5)
        assert client.data == b"free"
        assert accepted[0].data == b""
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(dial(), 1)
        await asyncio.sleep(5)
        assert accepted[0].data == b"held"
        return 0

    fixture.play(main(), listening(accepted))


def test_silent_machine_resets_old_connections_only_after_its_boot() -> None:
    fixture = Fixture()
    accepted: list[RecordingProtocol] = []

    async def main() -> int:
        client = await dial()
        await asyncio.sleep(0.1)
        fixture.network.power_off(fixture.there)
        fixture.server.kill()
        client.transport.write(b"anybody?")
        await asyncio.sleep(60)
        assert client.lost == ""
        fixture.network.boot(fixture.there)
        await asyncio.sleep(1)
        assert client.lost == "ConnectionResetError"
        return 0

    fixture.play(main(), listening(accepted))


@pytest.mark.parametrize(
    ("phase", "lost_error", "request_arrives"),
    [
        ("accept", "ConnectionResetError", False),
        ("request", "ConnectionResetError", False),
        ("behind", "ConnectionResetError", True),
        ("vanish", "", False),
    ],
)
def test_cut_breaks_a_connection_in_its_phase(phase: str, lost_error: str, request_arrives: bool) -> None:
    fixture = Fixture()
    accepted: list[RecordingProtocol] = []
    clients: list[RecordingProtocol] = []

    async def main() -> int:
        fixture.network.cuts = [Cut(1.0, (phase,), lambda _a, _b: True)]
        clients.append(await dial())
        clients[0].transport.write(b"whole request")
        await asyncio.sleep(5)
        return 0

    fixture.play(main(), listening(accepted))
    assert clients[0].lost == lost_error
    assert any(protocol.data == b"whole request" for protocol in accepted) == request_arrives


def test_split_delayed_and_retransmitted_segments_arrive_complete_and_in_order() -> None:
    fixture = Fixture(seed=5)
    conditions = fixture.network.conditions
    conditions.chop, conditions.loss, conditions.extra_delay_ns, conditions.window = 1.0, 0.2, 40 * MS, 512
    accepted: list[RecordingProtocol] = []
    sent = random.Random(1).randbytes(20_000)

    async def main() -> int:
        client = await dial()
        for offset in range(0, len(sent), 1000):
            client.transport.write(sent[offset : offset + 1000])
            await asyncio.sleep(0.01)
        await asyncio.sleep(90)
        return 0

    fixture.play(main(), listening(accepted))
    assert accepted[0].data == sent
    assert accepted[0].pieces > 40


def test_datagrams_are_lost_duplicated_and_reordered() -> None:
    fixture = Fixture()
    conditions = fixture.network.conditions
    conditions.datagram_loss, conditions.datagram_duplication, conditions.datagram_reordering = 0.2, 0.2, 0.3
    received: list[bytes] = []

    class Datagrams(asyncio.DatagramProtocol):
        def datagram_received(self, data: bytes, addr: Any) -> None:
            received.append(data)

    async def server() -> int:
        await asyncio.get_running_loop().create_datagram_endpoint(Datagrams, local_addr=SERVER)
        return int(await asyncio.get_running_loop().create_future())

    async def main() -> int:
        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            asyncio.DatagramProtocol, remote_addr=SERVER
        )
        for i in range(200):
            transport.sendto(b"%03d" % i)
            await asyncio.sleep(0.001)
        await asyncio.sleep(1)
        transport.close()
        return 0

    fixture.play(main(), server())
    assert 100 < len(set(received)) < 200
    assert len(received) > len(set(received))
    assert received != sorted(received)


def test_full_backlog_makes_the_client_retransmit_its_syn() -> None:
    fixture = Fixture()

    async def server() -> int:
        await asyncio.get_running_loop().create_server(RecordingProtocol, *SERVER, backlog=1)
        await asyncio.sleep(0.1)
        return int(await asyncio.get_running_loop().create_future())

    async def main() -> int:
        fixture.server.stop()
        loop = asyncio.get_running_loop()
        first = loop.create_task(dial())
        second = loop.create_task(dial())
        await asyncio.sleep(0.5)
        assert first.done()
        assert not second.done()
        fixture.server.resume()
        await asyncio.sleep(3)
        assert second.done()
        return 0

    fixture.server.start(server())
    fixture.run(0.01)
    fixture.play(main())


# Disks


def test_synced_data_survives_a_crash_and_a_name_needs_a_directory_sync() -> None:
    outcomes = set()
    for seed in range(60):
        disk = Disk()
        disk.create("log")
        disk.sync_folder()
        disk.append("log", b"safe")
        disk.sync("log")
        disk.append("log", b"x" * 2000)
        disk.create("new")
        disk.append("new", b"content")
        disk.sync("new")
        disk.replace("new", "newer")
        disk.crash(random.Random(seed))
        assert disk.read("log").startswith(b"safe")
        outcomes.add((len(disk.read("log")), tuple(disk.names())))
        for name in ("new", "newer"):
            if name in disk.names():
                assert disk.read(name) == b"content"
    lengths = {length for length, _ in outcomes}
    assert {4, 2004} < lengths  # lost and kept writes, and torn ones between
    assert all((length - 4) % 512 in (0, 2000 % 512, 508) for length in lengths)
    assert {names for _, names in outcomes} == {("log",), ("log", "new"), ("log", "newer")}


@given(
    st.lists(st.tuples(st.sampled_from(["write", "append", "cut", "sync"]), st.integers(0, 40)), max_size=30)
)
def test_process_reads_what_it_wrote_and_a_crash_keeps_the_last_sync_of_untouched_bytes(
    steps: list[tuple[str, int]],
) -> None:
    disk, expected, synced = Disk(), bytearray(), b""
    disk.create("f")
    disk.sync_folder()
    changed_since_sync = False
    for i, (operation, number) in enumerate(steps):
        data = bytes([i % 251]) * (number % 7 + 1)
        if operation == "write":
            disk.write("f", number, data)
            expected.extend(bytes(max(0, number - len(expected))))
            expected[number : number + len(data)] = data
        elif operation == "append":
            disk.append("f", data)
            expected += data
        elif operation == "cut":
            disk.truncate("f", number)
            del expected[number:]
            expected.extend(bytes(number - len(expected)))
        else:
            disk.sync("f")
            synced = bytes(expected)
        changed_since_sync = operation != "sync" if operation == "sync" else True
        assert disk.read("f") == bytes(expected)
    disk.crash(random.Random(len(steps)))
    if steps and steps[-1][0] == "sync" and not changed_since_sync:
        assert disk.read("f") == synced
    with pytest.raises(FileNotFoundError):
        disk.read("g")
