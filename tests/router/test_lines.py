"""Lines that the laboratory cuts: gates in front of stand-ins, and the relay between routers."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import Awaitable, Callable

import pytest
import uvloop

from holdgw.emulators.fault_proxy import FaultProxy, ProxiedListener
from holdgw.emulators.relay import ALL, Relay
from holdgw.emulators.relay_model import MOST_BYTES, PeerWeather, RelayModel
from holdgw.harness.fault_schedule import lines_of_routers
from holdgw.harness.scenario import read_scenario
from holdgw.harness.schedule import PEERS, ScheduledFault
from holdgw.harness.schedule_drawing import draw_schedule
from holdgw.harness.worker import relay_model
from holdgw.simulation.fleet_run import PEER_PORT, SimulatedFleet, SimulatedRouter
from holdgw.simulation.process import Process
from holdgw.wire.address import Address

LIMIT_S = 20.0
A_WHILE_S = 0.25


class Echo(asyncio.Protocol):
    """A stand-in that answers every byte, and tells what it saw."""

    def __init__(self, seen: list[str]) -> None:
        self.seen, self.left = seen, 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.seen.append("made")

    def data_received(self, data: bytes) -> None:
        self.seen.append(f"{data.decode()}{' held' if self.left else ''}")
        self.transport.write(data.upper())  # type: ignore[attr-defined]

    def connection_lost(self, exc: Exception | None) -> None:
        self.seen.append("lost")


def played(act: Callable[[FaultProxy, ProxiedListener, Address, list[str]], Awaitable[None]]) -> None:
    async def scene() -> None:
        loop = asyncio.get_running_loop()
        gate = FaultProxy(loop, loop.time)
        listener = ProxiedListener(gate)
        seen: list[str] = []
        address = listener.open(("127.0.0.1", 0), lambda: Echo(seen))
        try:
            await asyncio.wait_for(act(gate, listener, address, seen), LIMIT_S)
        finally:
            listener.end()

    uvloop.run(scene())


async def nothing_comes(reader: asyncio.StreamReader) -> None:
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(reader.read(1), A_WHILE_S)


def test_a_dial_over_a_cut_line_neither_comes_up_nor_is_refused_and_comes_up_later() -> None:
    async def act(gate: FaultProxy, listener: ProxiedListener, address: Address, seen: list[str]) -> None:
        gate.block("both", 1.0)
        dial = asyncio.create_task(asyncio.open_connection(*address))
        await asyncio.sleep(A_WHILE_S)
        assert not dial.done()
        reader, writer = await dial  # the kernel knocks again
        assert not gate.cut
        writer.write(b"a")
        assert await reader.read(1) == b"A"
        writer.close()

    played(act)


@pytest.mark.parametrize("way", ["to", "from"])
def test_a_line_cut_one_way_carries_the_other_and_loses_nothing(way: str) -> None:
    async def act(gate: FaultProxy, listener: ProxiedListener, address: Address, seen: list[str]) -> None:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"a")
        assert await reader.read(1) == b"A"
        gate.block("to" if way == "to" else "from", 0.8)
        writer.write(b"b")
        await nothing_comes(reader)
        assert seen == ["made", "a"] + ["b"] * (way == "from")
        assert await reader.read(1) == b"B"
        assert seen[2] == ("b held" if way == "to" else "b")
        writer.write(b"c")
        assert await reader.read(1) == b"C"
        assert seen[3] == "c"
        writer.close()

    played(act)


def test_what_came_up_just_before_a_cut_is_up_and_tells_when_its_bytes_were_sent() -> None:
    async def act(gate: FaultProxy, listener: ProxiedListener, address: Address, seen: list[str]) -> None:
        await asyncio.sleep(0)
        with socket.create_connection(address) as early:  # it waits in the listener's queue
            gate.block("both", 0.5)
            early.sendall(b"a")
            early.setblocking(False)
            loop = asyncio.get_running_loop()
            assert await asyncio.wait_for(loop.sock_recv(early, 1), LIMIT_S) == b"A"
        assert seen[:2] == ["made", "a held"]

    played(act)


def test_a_dial_that_came_up_amid_a_cut_is_reset_at_its_end(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("holdgw.emulators.fault_proxy.KNOCKS", 0)  # so that one does

    async def act(gate: FaultProxy, listener: ProxiedListener, address: Address, seen: list[str]) -> None:
        gate.block("both", 0.5)
        with socket.create_connection(address) as amid:
            amid.sendall(b"a")
            amid.setblocking(False)
            with pytest.raises(ConnectionResetError):
                await asyncio.wait_for(asyncio.get_running_loop().sock_recv(amid, 1), LIMIT_S)
        assert not gate.cut
        assert seen == []

    played(act)


def test_cuts_that_overlap_end_with_the_last_one() -> None:
    async def act(gate: FaultProxy, listener: ProxiedListener, address: Address, seen: list[str]) -> None:
        reader, writer = await asyncio.open_connection(*address)
        gate.block("both", 0.3)
        gate.block("both", 1.0)
        writer.write(b"a")
        await asyncio.sleep(0.3 + A_WHILE_S)
        assert gate.cut
        assert "a held" not in seen
        assert await reader.read(1) == b"A"
        writer.close()

    played(act)


def test_what_dies_behind_a_cut_line_is_silent_until_the_line_is_back() -> None:
    async def act(gate: FaultProxy, listener: ProxiedListener, address: Address, seen: list[str]) -> None:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"a")
        assert await reader.read(1) == b"A"
        gate.block("both", 1.2)
        (connection,) = gate._connections
        connection.abort()
        listener.close()
        writer.write(b"b")
        await nothing_comes(reader)
        dial = asyncio.create_task(asyncio.open_connection(*address))
        await asyncio.sleep(A_WHILE_S)
        assert not dial.done()
        assert await reader.read(1) == b""
        with pytest.raises(ConnectionError):
            await dial
        assert "b held" not in seen

    played(act)


def test_a_stand_in_that_is_back_before_its_line_takes_what_comes_then() -> None:
    async def act(gate: FaultProxy, listener: ProxiedListener, address: Address, seen: list[str]) -> None:
        gate.block("both", 0.8)
        listener.close()
        assert listener.open(address, lambda: Echo(seen)) == address
        reader, writer = await asyncio.open_connection(*address)
        assert not gate.cut
        writer.write(b"a")
        assert await reader.read(1) == b"A"
        writer.close()

    played(act)


def test_routers_that_share_a_fate_share_a_line() -> None:
    text = """
name = "x"
length_s = 20.0
[load]
rate = 10.0
[fleet]
routers = 9
[[trouble]]
kind = "partition"
at = 2
seconds = 1
routers = ["router00", "router03", "router01"]
[[trouble]]
kind = "partition"
at = 3
seconds = 1
routers = ["router00"]
"""
    found = lines_of_routers(read_scenario(text, "x"), 1)
    counted = Counter(found.values())
    assert counted["lozenets"] == 1  # router06 alone
    assert len({found["router00"], found["router03"], found["router06"]}) == 3
    assert found["router01"] != found["router04"] == found["router07"] == "mladost"


# Between routers


def model(**weather: float) -> RelayModel:
    return RelayModel(1, lambda a, b: 0.001, PeerWeather(jitter=0.0, **weather))


def test_a_line_between_routers_loses_doubles_and_reorders_its_share() -> None:
    relay = model(loss=0.2, duplicates=0.1, reordered=0.3)
    came = [relay.carries(i * 0.01, "a", "b", 100) for i in range(5000)]
    copies = [delay for delays in came for delay in delays]
    assert len(copies) / 5000 == pytest.approx(1.1 * 0.8, abs=0.03)
    assert sum(delay > 0.001 for delay in copies) / len(copies) == pytest.approx(0.3, abs=0.03)
    assert max(copies) <= 0.051
    assert relay.counts["a"].lost > 800


def test_a_cut_between_two_routers_leaves_the_third_and_the_other_way() -> None:
    relay = model()
    relay.block(["a"], ["b"], 5.0, both=False)
    assert relay.carries(1.0, "a", "b", 10) == []
    assert all(relay.carries(1.0, *pair, 10) for pair in (("b", "a"), ("a", "c"), ("b", "c"), ("c", "b")))
    assert relay.carries(5.0, "a", "b", 10) == [0.001]
    assert relay.counts["a"].cut == 1


def test_a_line_carries_no_more_bytes_than_its_bound_and_no_long_datagram() -> None:
    relay = model(bytes_per_s=1000.0)
    passed = sum(bool(relay.carries(i * 0.01, "a", "b", 100)) for i in range(1000))
    assert 95 <= passed <= 105  # 10 s at 1,000 bytes
    assert relay.carries(100.0, "a", "c", MOST_BYTES)
    assert relay.carries(200.0, "a", "c", MOST_BYTES + 1) == []
    assert relay.counts["a"].long == 1


def test_the_relay_passes_datagrams_from_the_address_that_their_sender_is_known_by() -> None:
    async def scene() -> None:
        loop = asyncio.get_running_loop()
        socks = {name: socket.socket(type=socket.SOCK_DGRAM) for name in "abc"}
        for sock in socks.values():
            sock.bind(("127.0.0.1", 0))
            sock.setblocking(False)
        listens = {name: sock.getsockname() for name, sock in socks.items()}
        relay = Relay(model(), listens, loop.time, "127.0.0.1")
        known = await relay.start()
        socks["a"].sendto(b"one", known["b"])
        assert await loop.sock_recvfrom(socks["b"], 512) == (b"one", known["a"])
        socks["b"].sendto(b"all", known[ALL])
        for name in "ac":
            assert await loop.sock_recvfrom(socks[name], 512) == (b"all", known["b"])
        stranger = socket.socket(type=socket.SOCK_DGRAM)
        stranger.sendto(b"noise", known["a"])
        while not relay.unknown:
            await asyncio.sleep(0.01)
        relay.close()
        for sock in (*socks.values(), stranger):
            sock.close()

    async def limited() -> None:
        await asyncio.wait_for(scene(), LIMIT_S)

    asyncio.run(limited())


def test_simulated_routers_speak_over_the_same_lines() -> None:
    text = """
name = "x"
length_s = 4.0
[load]
rate = 1.0
[fleet]
nodes = 2
routers = 3
[peers]
allowed = true
"""
    scenario = read_scenario(text, "x")
    heard: list[tuple[str, float]] = []

    class Ear(asyncio.DatagramProtocol):
        def __init__(self, name: str) -> None:
            self.name = name

        def datagram_received(self, data: bytes, addr: Address) -> None:
            heard.append((self.name, float(data)))

    async def speaker(router: SimulatedRouter, process: Process, environ: dict[str, str]) -> int:
        ip = process.host.ips[0]
        end, _ = await process.network.datagrams(process, lambda: Ear(process.name), (ip, PEER_PORT), None)
        while process.name == "router00":
            await asyncio.sleep(0.1)
            end.sendto(f"{theatre.clock()}".encode(), theatre.peers["router00"].all)
        return int(await process.loop.create_future())

    async def main() -> int:
        for router in theatre.routers.values():
            await router.start(("10.0.0.3", 1))
        await asyncio.sleep(1.0)
        cut = {"a": ["router00"], "b": ["router01"], "way": "to", "seconds": 1.0}
        begun = theatre.clock()
        await theatre.apply_fault(ScheduledFault(0.0, "partition", PEERS, cut))
        await asyncio.sleep(2.0)
        reached = {name for name, at in heard if begun < at < begun + 1.0}
        assert reached == {"router02"}
        assert {name for name, at in heard if at > begun + 1.0} == {"router01", "router02"}
        return 0

    theatre = SimulatedFleet(draw_schedule(scenario, 1), main=speaker)
    assert theatre.network.peers is not None
    assert theatre.network.peers.weather == relay_model(scenario, 1).weather
    theatre.stage.on_exit = lambda _: theatre.world.stop()
    theatre.stage.start(main())
    theatre.world.run(None)
    assert theatre.stage.faults == []
    assert heard
