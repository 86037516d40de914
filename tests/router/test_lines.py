"""Network partitions of the harness: fault proxies before emulated endpoints, the relay between routers."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import Awaitable, Callable

import pytest
import uvloop

from holdgw.emulators.fault_proxy import FaultProxy, ProxiedListener
from holdgw.emulators.relay import ALL, Relay
from holdgw.emulators.relay_model import MAX_DATAGRAM_BYTES, PeerNetworkConditions, RelayModel
from holdgw.harness.fault_schedule import lines_of_routers
from holdgw.harness.scenario import read_scenario
from holdgw.harness.schedule import PEERS, ScheduledFault
from holdgw.harness.schedule_drawing import draw_schedule
from holdgw.harness.worker import relay_model
from holdgw.simulation.fleet_run import PEER_PORT, SimulatedFleet, SimulatedRouter
from holdgw.simulation.process import Process
from holdgw.wire.address import Address

LIMIT_S = 20.0
SILENCE_S = 0.25


class Echo(asyncio.Protocol):
    """An emulated endpoint that answers every byte, and records its events in `seen`.

    "held" marks data that the fault proxy delayed.
    """

    def __init__(self, seen: list[str]) -> None:
        self.seen, self.held_since = seen, 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.seen.append("made")

    def data_received(self, data: bytes) -> None:
        self.seen.append(f"{data.decode()}{' held' if self.held_since else ''}")
        self.transport.write(data.upper())  # type: ignore[attr-defined]

    def connection_lost(self, exc: Exception | None) -> None:
        self.seen.append("lost")


def run_with_proxy(
    steps: Callable[[FaultProxy, ProxiedListener, Address, list[str]], Awaitable[None]],
) -> None:
    async def run_steps() -> None:
        loop = asyncio.get_running_loop()
        proxy = FaultProxy(loop, loop.time)
        listener = ProxiedListener(proxy)
        seen: list[str] = []
        address = listener.open(("127.0.0.1", 0), lambda: Echo(seen))
        try:
            await asyncio.wait_for(steps(proxy, listener, address, seen), LIMIT_S)
        finally:
            listener.end()

    uvloop.run(run_steps())


async def assert_silent(reader: asyncio.StreamReader) -> None:
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(reader.read(1), SILENCE_S)


def test_a_dial_during_a_partition_hangs_and_succeeds_after_it() -> None:
    async def steps(proxy: FaultProxy, listener: ProxiedListener, address: Address, seen: list[str]) -> None:
        proxy.block("both", 1.0)
        dial = asyncio.create_task(asyncio.open_connection(*address))
        await asyncio.sleep(SILENCE_S)
        assert not dial.done()
        reader, writer = await dial  # the kernel sends another SYN
        assert not proxy.blocked
        writer.write(b"a")
        assert await reader.read(1) == b"A"
        writer.close()

    run_with_proxy(steps)


@pytest.mark.parametrize("way", ["to", "from"])
def test_a_one_way_partition_delays_that_direction_and_loses_no_bytes(way: str) -> None:
    async def steps(proxy: FaultProxy, listener: ProxiedListener, address: Address, seen: list[str]) -> None:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"a")
        assert await reader.read(1) == b"A"
        proxy.block("to" if way == "to" else "from", 0.8)
        writer.write(b"b")
        await assert_silent(reader)
        assert seen == ["made", "a"] + ["b"] * (way == "from")
        assert await reader.read(1) == b"B"
        assert seen[2] == ("b held" if way == "to" else "b")
        writer.write(b"c")
        assert await reader.read(1) == b"C"
        assert seen[3] == "c"
        writer.close()

    run_with_proxy(steps)


def test_a_connection_opened_just_before_a_partition_survives_with_the_send_time_of_its_bytes() -> None:
    async def steps(proxy: FaultProxy, listener: ProxiedListener, address: Address, seen: list[str]) -> None:
        await asyncio.sleep(0)
        with socket.create_connection(address) as client:  # this connection waits in the listener's queue
            proxy.block("both", 0.5)
            client.sendall(b"a")
            client.setblocking(False)
            loop = asyncio.get_running_loop()
            assert await asyncio.wait_for(loop.sock_recv(client, 1), LIMIT_S) == b"A"
        assert seen[:2] == ["made", "a held"]

    run_with_proxy(steps)


def test_a_connection_established_during_a_partition_is_reset_at_its_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        "holdgw.emulators.fault_proxy.FILLER_CONNECTIONS", 0
    )  # leaves room in the listen queue

    async def steps(proxy: FaultProxy, listener: ProxiedListener, address: Address, seen: list[str]) -> None:
        proxy.block("both", 0.5)
        with socket.create_connection(address) as client:
            client.sendall(b"a")
            client.setblocking(False)
            with pytest.raises(ConnectionResetError):
                await asyncio.wait_for(asyncio.get_running_loop().sock_recv(client, 1), LIMIT_S)
        assert not proxy.blocked
        assert seen == []

    run_with_proxy(steps)


def test_overlapping_partitions_end_with_the_last_one() -> None:
    async def steps(proxy: FaultProxy, listener: ProxiedListener, address: Address, seen: list[str]) -> None:
        reader, writer = await asyncio.open_connection(*address)
        proxy.block("both", 0.3)
        proxy.block("both", 1.0)
        writer.write(b"a")
        await asyncio.sleep(0.3 + SILENCE_S)
        assert proxy.blocked
        assert "a held" not in seen
        assert await reader.read(1) == b"A"
        writer.close()

    run_with_proxy(steps)


def test_an_endpoint_that_ends_during_a_partition_is_silent_until_the_partition_ends() -> None:
    async def steps(proxy: FaultProxy, listener: ProxiedListener, address: Address, seen: list[str]) -> None:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"a")
        assert await reader.read(1) == b"A"
        proxy.block("both", 1.2)
        (connection,) = proxy._connections
        connection.abort()
        listener.close()
        writer.write(b"b")
        await assert_silent(reader)
        dial = asyncio.create_task(asyncio.open_connection(*address))
        await asyncio.sleep(SILENCE_S)
        assert not dial.done()
        assert await reader.read(1) == b""
        with pytest.raises(ConnectionError):
            await dial
        assert "b held" not in seen

    run_with_proxy(steps)


def test_an_endpoint_restarted_during_a_partition_serves_after_it() -> None:
    async def steps(proxy: FaultProxy, listener: ProxiedListener, address: Address, seen: list[str]) -> None:
        proxy.block("both", 0.8)
        listener.close()
        assert listener.open(address, lambda: Echo(seen)) == address
        reader, writer = await asyncio.open_connection(*address)
        assert not proxy.blocked
        writer.write(b"a")
        assert await reader.read(1) == b"A"
        writer.close()

    run_with_proxy(steps)


def test_routers_cut_off_by_the_same_partitions_share_a_fault_proxy() -> None:
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
    lines = lines_of_routers(read_scenario(text, "x"), 1)
    counted = Counter(lines.values())
    assert counted["lozenets"] == 1  # only router06
    assert len({lines["router00"], lines["router03"], lines["router06"]}) == 3
    assert lines["router01"] != lines["router04"] == lines["router07"] == "mladost"


# The relay between routers


def model(**weather: float) -> RelayModel:
    return RelayModel(1, lambda a, b: 0.001, PeerNetworkConditions(jitter=0.0, **weather))


def test_the_relay_model_drops_duplicates_and_reorders_the_configured_shares() -> None:
    relay = model(loss=0.2, duplicates=0.1, reordered=0.3)
    delays_by_datagram = [relay.delivery_delays(i * 0.01, "a", "b", 100) for i in range(5000)]
    delays_of_copies = [delay for delays in delays_by_datagram for delay in delays]
    assert len(delays_of_copies) / 5000 == pytest.approx(1.1 * 0.8, abs=0.03)
    assert sum(delay > 0.001 for delay in delays_of_copies) / len(delays_of_copies) == pytest.approx(
        0.3, abs=0.03
    )
    assert max(delays_of_copies) <= 0.051
    assert relay.counts["a"].lost > 800


def test_a_one_way_partition_of_two_routers_spares_a_third_and_the_reverse_direction() -> None:
    relay = model()
    relay.block(["a"], ["b"], 5.0, both=False)
    assert relay.delivery_delays(1.0, "a", "b", 10) == []
    assert all(
        relay.delivery_delays(1.0, *pair, 10) for pair in (("b", "a"), ("a", "c"), ("b", "c"), ("c", "b"))
    )
    assert relay.delivery_delays(5.0, "a", "b", 10) == [0.001]
    assert relay.counts["a"].cut == 1


def test_the_relay_model_limits_the_byte_rate_and_the_datagram_size() -> None:
    relay = model(bytes_per_s=1000.0)
    forwarded = sum(bool(relay.delivery_delays(i * 0.01, "a", "b", 100)) for i in range(1000))
    assert 95 <= forwarded <= 105  # 10 s at 1,000 bytes/s, 100 bytes each
    assert relay.delivery_delays(100.0, "a", "c", MAX_DATAGRAM_BYTES)
    assert relay.delivery_delays(200.0, "a", "c", MAX_DATAGRAM_BYTES + 1) == []
    assert relay.counts["a"].long == 1


def test_the_relay_forwards_datagrams_from_their_senders_relay_address() -> None:
    async def run_steps() -> None:
        loop = asyncio.get_running_loop()
        socks = {name: socket.socket(type=socket.SOCK_DGRAM) for name in "abc"}
        for sock in socks.values():
            sock.bind(("127.0.0.1", 0))
            sock.setblocking(False)
        addresses = {name: sock.getsockname() for name, sock in socks.items()}
        relay = Relay(model(), addresses, loop.time, "127.0.0.1")
        relay_addresses = await relay.start()
        socks["a"].sendto(b"one", relay_addresses["b"])
        assert await loop.sock_recvfrom(socks["b"], 512) == (b"one", relay_addresses["a"])
        socks["b"].sendto(b"all", relay_addresses[ALL])
        for name in "ac":
            assert await loop.sock_recvfrom(socks[name], 512) == (b"all", relay_addresses["b"])
        stranger = socket.socket(type=socket.SOCK_DGRAM)
        stranger.sendto(b"noise", relay_addresses["a"])
        while not relay.unknown:
            await asyncio.sleep(0.01)
        relay.close()
        for sock in (*socks.values(), stranger):
            sock.close()

    async def limited() -> None:
        await asyncio.wait_for(run_steps(), LIMIT_S)

    asyncio.run(limited())


def test_simulated_routers_send_datagrams_through_the_same_relay_model() -> None:
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
    received: list[tuple[str, float]] = []

    class Receiver(asyncio.DatagramProtocol):
        def __init__(self, name: str) -> None:
            self.name = name

        def datagram_received(self, data: bytes, addr: Address) -> None:
            received.append((self.name, float(data)))

    async def run_router(router: SimulatedRouter, process: Process, environ: dict[str, str]) -> int:
        ip = process.host.ips[0]
        end, _ = await process.network.open_datagram_socket(
            process, lambda: Receiver(process.name), (ip, PEER_PORT), None
        )
        while process.name == "router00":
            await asyncio.sleep(0.1)
            end.sendto(f"{simulated_fleet.clock()}".encode(), simulated_fleet.peers["router00"].all)
        return int(await process.loop.create_future())

    async def main() -> int:
        for router in simulated_fleet.routers.values():
            await router.start(("10.0.0.3", 1))
        await asyncio.sleep(1.0)
        cut = {"a": ["router00"], "b": ["router01"], "way": "to", "seconds": 1.0}
        partition_start = simulated_fleet.clock()
        await simulated_fleet.apply_fault(ScheduledFault(0.0, "partition", PEERS, cut))
        await asyncio.sleep(2.0)
        reached = {name for name, at in received if partition_start < at < partition_start + 1.0}
        assert reached == {"router02"}
        assert {name for name, at in received if at > partition_start + 1.0} == {"router01", "router02"}
        return 0

    simulated_fleet = SimulatedFleet(draw_schedule(scenario, 1), main=run_router)
    assert simulated_fleet.network.peers is not None
    assert simulated_fleet.network.peers.conditions == relay_model(scenario, 1).conditions
    simulated_fleet.stage.on_exit = lambda _: simulated_fleet.world.stop()
    simulated_fleet.stage.start(main())
    simulated_fleet.world.run(None)
    assert simulated_fleet.stage.faults == []
    assert received
