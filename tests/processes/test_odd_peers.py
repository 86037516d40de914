"""Eight router processes, three of them faulty members.

One sends false reports, one uses another member's number, one has another member list.
"""

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
from tests.processes.test_faults import ROOT, ROUTER, SCENARIO, assert_rules_hold
from tests.processes.test_peers import fetch_metrics

pytestmark = [pytest.mark.processes, pytest.mark.xdist_group("processes, peers")]

FALSE_REPORTER, IMPERSONATOR, MISCONFIGURED = "router07", "router06", "router05"
CORRECT = [f"router0{i}" for i in range(5)]
ACCUSATIONS_END_S, METRICS_READ_S, LENGTH_S = 4.0, 11.0, 12.5


class FaultyMemberOrchestrator(Orchestrator):
    """Starts the routers with three faulty members.

    The process of FALSE_REPORTER runs without peers; the test sends from its address instead.
    """

    peers_config: Peers

    async def _join_peers(self) -> None:
        await super()._join_peers()
        self.peers_config = self.peers.pop(FALSE_REPORTER)
        misconfigured = self.peers[MISCONFIGURED]
        self.peers[MISCONFIGURED] = replace(
            misconfigured, each=(*misconfigured.each[1:], misconfigured.each[0])
        )

    async def _configure(self, router: Any) -> None:
        if router.name == IMPERSONATOR:
            write = router.configure
            router.configure = lambda settings: write(
                settings | {"settings": settings["settings"] | {"me": 4}}
            )
        await super()._configure(router)


class FalseReporter(asyncio.DatagramProtocol):
    """Sends false reports, random bytes and replayed datagrams every 20 ms, and keeps received datagrams."""

    def __init__(self, peers_config: Peers) -> None:
        self.peers_config, self.random = peers_config, random.Random(1)
        self.received: list[bytes] = []
        self.sent = 0

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.received = [*self.received[-99:], data]

    def false_datagrams(self, with_accusations: bool) -> list[bytes]:
        full = tuple(
            ServerSample(hash_server(name), 60_000_000_000, 0) for name in node_names(SCHEDULE.scenario.fleet)
        )
        slots = dict.fromkeys(self.random.sample(range(8192), MAX_SLOTS), 60_000)
        datagrams = [
            load_report.encode(LoadReport(7, 1, full[:MAX_SERVERS], 60_000, slots)),
            self.random.randbytes(self.random.randrange(1, 257)),
            *self.random.sample(self.received, min(2, len(self.received))),
        ]
        if with_accusations:
            dead = tuple(MemberUpdate(number, MemberState.GONE, 3, 0) for number in range(5))
            datagrams.append(datagram.encode(Message(MessageKind.UPDATES, 7, 1, 9, 0, 1, 0, dead)))
        return datagrams

    async def send_repeatedly(self, transport: asyncio.DatagramTransport, begun: float, clock: Any) -> None:
        while True:
            for data in self.false_datagrams(clock() - begun < ACCUSATIONS_END_S):
                transport.sendto(data, self.peers_config.each[self.random.randrange(5)])
                self.sent += 1
            await asyncio.sleep(0.02)


SCHEDULE = draw_schedule(
    read_scenario(SCENARIO.format(length=LENGTH_S) + "[peers]\nallowed = true\n", "test"), 1
)


def test_false_reports_a_wrong_member_number_and_a_wrong_member_list_harm_no_router() -> None:
    """The correct routers' metrics are read amid false load reports, after the false member updates end."""
    metrics_by_router: dict[str, dict[str, float]] = {}

    async def run() -> None:
        read_time_reached = asyncio.Event()
        orchestrator = FaultyMemberOrchestrator(SCHEDULE, ROUTER, ROOT)
        running = asyncio.create_task(
            orchestrator.play(lambda _, at: read_time_reached.set() if at > METRICS_READ_S else None)
        )
        while not orchestrator.begun:
            await asyncio.sleep(0.05)
        loop = asyncio.get_running_loop()
        transport, reporter = await loop.create_datagram_endpoint(
            lambda: FalseReporter(orchestrator.peers_config), local_addr=orchestrator.peers_config.listen
        )
        sending = asyncio.create_task(
            reporter.send_repeatedly(transport, orchestrator.begun, orchestrator.clock)
        )
        await asyncio.wait_for(read_time_reached.wait(), 60.0)
        for name in CORRECT:
            metrics_by_router[name] = await asyncio.wait_for(
                fetch_metrics(orchestrator.routers[name].ops), 20.0
            )
        sending.cancel()
        transport.close()
        assert reporter.sent > 1000
        assert reporter.received, "it received no datagram, so its own may not have arrived either"
        result = await asyncio.wait_for(running, 90.0)
        assert_rules_hold(make_report(result))
        assert all(life.code == 0 for life in result.history.lives)

    uvloop.run(run())
    for name, metrics in metrics_by_router.items():
        # The correct routers regard one another as alive, since each refutes the updates that call it gone.
        # Datagrams of the impersonator and of the misconfigured member are accepted in no member's name.
        assert metrics['lb_peers{state="alive"}'] >= 5, (name, metrics)
        assert metrics['lb_peers_dropped{why="forged"}'] > 10, (name, metrics)
        assert sum(metrics.get(f'lb_peers_dropped{{why="{why}"}}', 0) for why in ("version", "checksum")) > 10
        # A member that claims 60,000 requests counts for 0.3 of all; a server's response time is the median.
        assert 50 < metrics['lb_picture{of="requests"}'] < 1500, (name, metrics)
        assert metrics['lb_picture{of="servers"}'] == 9
