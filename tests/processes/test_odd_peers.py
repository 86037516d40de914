"""Eight routers, each a process, three of them odd: one lies, one has another name, one another list."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace
from typing import Any

import pytest
import uvloop

from holdgw.harness.deployment import Peers
from holdgw.harness.orchestrator import Orchestrator
from holdgw.harness.report import make_report
from holdgw.harness.scenario import node_names, read_scenario
from holdgw.harness.schedule_drawing import draw_schedule
from holdgw.peers import datagram, load_report
from holdgw.peers.datagram import MemberState, MemberUpdate, Message, MessageKind
from holdgw.peers.load_encoding import ServerSample
from holdgw.peers.load_report import MAX_SERVERS, MAX_SLOTS, LoadReport, hash_server
from tests.processes.test_faults import DAY, ROOT, ROUTER, kept
from tests.processes.test_peers import figures

pytestmark = [pytest.mark.processes, pytest.mark.xdist_group("processes, peers")]

LIAR, TWIN, ASTRAY = "router07", "router06", "router05"
TRUE = [f"router0{i}" for i in range(5)]
ACCUSES_S, READ_S, LENGTH_S = 4.0, 11.0, 12.5


class OddStage(Orchestrator):
    """The liar's own process has no peers: the test speaks from its address."""

    among: Peers

    async def _join_peers(self) -> None:
        await super()._join_peers()
        self.among = self.peers.pop(LIAR)
        astray = self.peers[ASTRAY]
        self.peers[ASTRAY] = replace(astray, each=(*astray.each[1:], astray.each[0]))

    async def _configure(self, router: Any) -> None:
        if router.name == TWIN:
            write = router.configure
            router.configure = lambda told: write(told | {"settings": told["settings"] | {"me": 4}})
        await super()._configure(router)


class Liar(asyncio.DatagramProtocol):
    """Says every 20 ms what is false, or noise, or what it heard; and counts what it was told."""

    def __init__(self, among: Peers) -> None:
        self.among, self.random = among, random.Random(1)
        self.heard: list[bytes] = []
        self.said = 0

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.heard = [*self.heard[-99:], data]

    def lies(self, accuses: bool) -> list[bytes]:
        full = tuple(
            ServerSample(hash_server(name), 60_000_000_000, 0) for name in node_names(DRAWN.scenario.fleet)
        )
        slots = dict.fromkeys(self.random.sample(range(8192), MAX_SLOTS), 60_000)
        found = [
            load_report.encode(LoadReport(7, 1, full[:MAX_SERVERS], 60_000, slots)),
            self.random.randbytes(self.random.randrange(1, 257)),
            *self.random.sample(self.heard, min(2, len(self.heard))),
        ]
        if accuses:
            dead = tuple(MemberUpdate(number, MemberState.GONE, 3, 0) for number in range(5))
            found.append(datagram.encode(Message(MessageKind.UPDATES, 7, 1, 9, 0, 1, 0, dead)))
        return found

    async def lie(self, transport: asyncio.DatagramTransport, begun: float, clock: Any) -> None:
        while True:
            for data in self.lies(clock() - begun < ACCUSES_S):
                transport.sendto(data, self.among.each[self.random.randrange(5)])
                self.said += 1
            await asyncio.sleep(0.02)


DRAWN = draw_schedule(read_scenario(DAY.format(length=LENGTH_S) + "[peers]\nallowed = true\n", "test"), 1)


def test_one_that_lies_one_under_anothers_name_and_one_with_another_list_harm_nobody() -> None:
    """Read at every true router's door amid the lies about load, once those about routers have ended."""
    seen: dict[str, dict[str, float]] = {}

    async def scene() -> None:
        late = asyncio.Event()
        stage = OddStage(DRAWN, ROUTER, ROOT)
        playing = asyncio.create_task(stage.play(lambda _, at: late.set() if at > READ_S else None))
        while not stage.begun:
            await asyncio.sleep(0.05)
        loop = asyncio.get_running_loop()
        transport, liar = await loop.create_datagram_endpoint(
            lambda: Liar(stage.among), local_addr=stage.among.listen
        )
        lying = asyncio.create_task(liar.lie(transport, stage.begun, stage.clock))
        await asyncio.wait_for(late.wait(), 60.0)
        for name in TRUE:
            seen[name] = await asyncio.wait_for(figures(stage.routers[name].ops), 20.0)
        lying.cancel()
        transport.close()
        assert liar.said > 1000
        assert liar.heard, "nobody spoke to it: its lies did not come either"
        played = await asyncio.wait_for(playing, 90.0)
        kept(make_report(played))
        assert all(life.code == 0 for life in played.history.lives)

    uvloop.run(scene())
    for name, found in seen.items():
        # The true ones hold one another for alive: each contradicts what was said of it. The twin's and the
        # astray one's words are not taken for anybody's.
        assert found['lb_peers{state="alive"}'] >= 5, (name, found)
        assert found['lb_peers_dropped{why="forged"}'] > 10, (name, found)
        assert sum(found.get(f'lb_peers_dropped{{why="{why}"}}', 0) for why in ("version", "checksum")) > 10
        # One that claims 60,000 requests counts for three tenths of all; a server's wait is the median.
        assert 50 < found['lb_picture{of="requests"}'] < 1500, (name, found)
        assert found['lb_picture{of="servers"}'] == 9
