"""Eight routers and two aggregators as processes, with a false reporter, a false aggregator or a restart.

Each router logs the response times that servers report to it and the load snapshots that it applies
(tests/watching_router.py). From these logs the tests check the bounds of docs/design-aggregation.md, "What
one false member moves", against what correct routers observed.
"""

from __future__ import annotations

import asyncio
import math
import random
import sys
import time
from collections import defaultdict
from collections.abc import Awaitable, Callable, Iterator, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson
import pytest
import uvloop

from holdgw.harness.deployment import Peers
from holdgw.harness.orchestrator import Orchestrator
from holdgw.harness.report import make_report
from holdgw.harness.routers import RouterProcess
from holdgw.harness.scenario import member_names, node_names, read_scenario
from holdgw.harness.schedule import Schedule, ScheduledFault
from holdgw.harness.schedule_drawing import draw_schedule
from holdgw.peers import datagram, merged_view, sequenced_report
from holdgw.peers.aggregated_exchange import AggregatedExchange, ExchangeConfig, Role
from holdgw.peers.aggregator import OutgoingDatagram
from holdgw.peers.datagram import DecodeError
from holdgw.peers.dissemination import OutgoingMessage
from holdgw.peers.heavy_hitters import COUNT_HALF_LIFE_S
from holdgw.peers.load_encoding import ServerSample
from holdgw.peers.load_merge import MAX_MEAN_RATIO, MIN_SLOT_SHARE
from holdgw.peers.load_report import LoadReport, hash_server
from holdgw.peers.load_view import MAX_ROUTER_SHARE, LoadView, Observations
from holdgw.peers.membership import Membership
from holdgw.peers.merged_view import SHARE_STEP, ViewPart
from holdgw.peers.report_table import REPORT_MAX_AGE
from holdgw.peers.sequenced_report import MAX_SAMPLES, MAX_SLOTS, SequencedReport
from holdgw.peers.timing import NS_PER_S
from tests.helpers import MS
from tests.processes.test_aggregation import LIMIT_S, ROUTERS, MetricsByRouter, fallback_changes, view_metric
from tests.processes.test_faults import ROOT, SCENARIO, assert_rules_hold
from tests.processes.test_peers import fetch_metrics
from tests.watching_router import OBSERVED, SNAPSHOT

pytestmark = [pytest.mark.processes, pytest.mark.xdist_group("processes, faults")]

WATCHING = f"exec {sys.executable} -m tests.watching_router"
FAKED_ROUTER, FAKED_AGGREGATOR, RESTARTED = "router07", "aggregator00", "router06"
TICK_S, REPORT_TICKS = 0.1, 10
ATTACK_INTERVAL_S, ATTACK_S = 0.05, 6.0
FALSE_RESPONSE_TIME_NS = 60_000 * MS  # a response time that no server reports
MAX_CLAIM = 0xFFFF  # the most requests that a report can claim
WINDOW_S = 7.0  # before a snapshot; everything that it is based on was observed in this time
SLOTS = 8192
TRUE_SLOT, OTHER_BOOT_ID_SLOT, FORGED_SLOT, FORWARDED_SLOT = range(8000, 8004)
"""Slots without keys in the scenario, each used by one kind of datagram of a false reporter as a marker."""
MARKER_SLOTS = frozenset(range(8000, 8020))
CLAIMED_SLOTS = range(8004, 8020)
"""Slots that a false aggregator claims to receive all requests."""
Alter = Callable[[int, bytes], list[bytes]]
Steps = Callable[["AdversaryOrchestrator"], Awaitable[None]]


class FakedMember(asyncio.DatagramProtocol):
    """A member that the test runs at the member's address; correct until `alter` changes what it sends."""

    def __init__(self, number: int, peers_config: Peers, zone: int, role: Role) -> None:
        now, size = time.monotonic_ns(), len(peers_config.each)
        self.number, self.peers_config = number, peers_config
        self.aggregators = [peers_config.each.index(address) for address in peers_config.aggregators]
        self.membership = Membership(number, size, zone, number, now)
        self.load_view = LoadView(number, self.membership.boot_id)
        exchange_config = ExchangeConfig(number, size, self.aggregators, role, int(TICK_S * 1000) * MS)
        self.exchange = AggregatedExchange(exchange_config, self.membership, self.load_view, number, now)
        self.alter: Alter = lambda _to, data: [data]
        self.slots: dict[int, int] = {}
        """Requests that it reports to observe per second, by slot."""
        self.sent: list[tuple[int, bytes]] = []
        self.views: list[tuple[float, ViewPart]] = []
        self.boot_ids: dict[int, int] = {}
        """Other members' boot ids from their messages, by member number."""
        self._numbers = {address: number for number, address in enumerate(peers_config.each)}
        self._transport: asyncio.DatagramTransport | None = None

    async def run(self) -> None:
        """Take part in membership and send load reports, until cancelled."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self.peers_config.listen
        )
        try:
            for tick in range(1 << 30):
                now = time.monotonic_ns()
                self._send_messages(self.membership.tick(now))
                self.exchange.tick(now)
                if tick % REPORT_TICKS == 0:
                    self.load_view.record(Observations({}, self.slots))
                    self._send_all(self.exchange.report(now))
                await asyncio.sleep(TICK_S)
        finally:
            self._transport.close()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        source, now = self._numbers[addr[0], addr[1]], time.monotonic_ns()
        with suppress(DecodeError):
            if merged_view.is_view(data):
                self.views.append((time.monotonic(), merged_view.decode(data, len(self.peers_config.each))))
            if self.exchange.handles(data):
                self._send_all(self.exchange.receive(data, source, now))
            else:
                message = datagram.decode(data, len(self.peers_config.each))
                self.boot_ids[message.sender] = message.boot_id
                self._send_messages(self.membership.receive(message, now))

    def _send_messages(self, sends: list[OutgoingMessage]) -> None:
        for send in sends:
            self.send(send.to, datagram.encode(send.message))

    def _send_all(self, out: list[OutgoingDatagram]) -> None:
        for outgoing in out:
            for data in self.alter(outgoing.to, outgoing.data):
                self.send(outgoing.to, data)

    def send(self, to: int, data: bytes) -> None:
        """Send a datagram unchanged."""
        self.sent.append((to, data))
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, self.peers_config.each[to])


class AdversaryOrchestrator(Orchestrator):
    """Runs the scenario with one member, if any is named, replaced by the test.

    The process of a replaced router has no peers; the process of a replaced aggregator is not started.
    """

    member: FakedMember

    def __init__(self, schedule: Schedule, logs: Path, faked_name: str | None) -> None:
        super().__init__(schedule, WATCHING, ROOT, logs)
        self._faked_name = faked_name
        self.attack_began = self.attack_ended = 0.0
        self.steps_finished = asyncio.Event()
        """The routers run until this is set, however late the steps are."""

    @property
    def correct_routers(self) -> dict[str, RouterProcess]:
        """All routers except a faked one."""
        return {name: router for name, router in self.routers.items() if name != self._faked_name}

    async def _join_peers(self) -> None:
        await super()._join_peers()
        if self._faked_name is not None:
            number = member_names(self.schedule.scenario).index(self._faked_name)
            role = Role.DEDICATED if self._faked_name == FAKED_AGGREGATOR else Role.ROUTER
            zone = number % len(self.schedule.scenario.fleet.zones)
            self.member = FakedMember(number, self.peers.pop(self._faked_name), zone, role)
            self.spawn(self.member.run())

    async def start_aggregator(self, machine: RouterProcess) -> None:
        if machine.name != self._faked_name:
            await super().start_aggregator(machine)

    async def wait_until_finished(self, progress: Callable[[float], None] = lambda _at: None) -> None:
        await super().wait_until_finished(progress)
        await self.steps_finished.wait()

    async def wait_until(self, second: float) -> None:
        """Wait until this second of the run."""
        await asyncio.sleep(max(self.begun + second - self.clock(), 0.0))

    async def router_metrics(self) -> MetricsByRouter:
        """Return the current metrics of every correct router."""
        all_metrics = await asyncio.gather(
            *(fetch_metrics(router.ops) for router in self.correct_routers.values())
        )
        return dict(zip(self.correct_routers, all_metrics, strict=True))

    async def wait_for_metrics(self, condition: Callable[[MetricsByRouter], bool]) -> MetricsByRouter:
        """Return all correct routers' metrics once the condition holds; fail after LIMIT_S."""
        metrics_by_router: MetricsByRouter = {}
        for _ in range(int(LIMIT_S / 0.25)):
            metrics_by_router = await self.router_metrics()
            if condition(metrics_by_router):
                return metrics_by_router
            await asyncio.sleep(0.25)
        raise AssertionError(metrics_by_router)

    async def wait_for_full_views(self) -> MetricsByRouter:
        """Wait until every correct router uses views that cover all routers, each counted once."""
        metrics_by_router = await self.wait_for_metrics(
            lambda metrics_by_router: all(
                view_metric(metrics, "reporters") >= ROUTERS for metrics in metrics_by_router.values()
            )
        )
        assert all(view_metric(metrics, "reporters") == ROUTERS for metrics in metrics_by_router.values()), (
            metrics_by_router
        )
        return metrics_by_router

    async def attack(
        self, false_datagrams: Callable[[], Iterator[tuple[int, bytes]]]
    ) -> list[MetricsByRouter]:
        """Send these datagrams every ATTACK_INTERVAL_S for ATTACK_S; return the metrics read meanwhile."""
        self.attack_began, readings = time.monotonic(), [await self.router_metrics()]
        reading = asyncio.ensure_future(self.router_metrics())
        while time.monotonic() - self.attack_began < ATTACK_S:
            for to, data in false_datagrams():
                self.member.send(to, data)
            if reading.done():
                readings.append(reading.result())
                reading = asyncio.ensure_future(self.router_metrics())
            await asyncio.sleep(ATTACK_INTERVAL_S)
        readings.append(await reading)
        self.attack_ended = time.monotonic()
        return readings


def run_scenario(steps: Steps, length: float, logs: Path, faked_name: str | None) -> AdversaryOrchestrator:
    """Run a scenario of `length` seconds beside the steps, and assert that no rule is broken."""
    text = SCENARIO.format(length=length) + "[peers]\nallowed = true\naggregators = 2\n"
    orchestrator = AdversaryOrchestrator(draw_schedule(read_scenario(text, "test"), 1), logs, faked_name)

    async def main() -> None:
        scenario_task = asyncio.ensure_future(orchestrator.play())
        while not orchestrator.begun and not scenario_task.done():
            await asyncio.sleep(0.05)
        steps_task = asyncio.ensure_future(steps(orchestrator))
        steps_task.add_done_callback(lambda _: orchestrator.steps_finished.set())
        await asyncio.wait((scenario_task, steps_task), return_when=asyncio.FIRST_COMPLETED)
        await asyncio.wait_for(steps_task, LIMIT_S)
        assert_rules_hold(make_report(await asyncio.wait_for(scenario_task, 90.0)))

    uvloop.run(main())
    return orchestrator


# Logs of correct routers


@dataclass(slots=True)
class LogRecord:
    """One line of a router's log: its observations, or a load snapshot that it applied."""

    name: str
    at: float
    fields: dict[str, Any]

    @property
    def shares(self) -> dict[int, float]:
        """The snapshot's share of all requests by slot."""
        return {int(slot): share for slot, share in self.fields["shares"].items()}


@dataclass(slots=True)
class Records:
    """The observations and the applied load snapshots of all correct routers."""

    observed: list[LogRecord] = field(default_factory=list)
    snapshots: list[LogRecord] = field(default_factory=list)

    @staticmethod
    def read(logs: Path) -> Records:
        records = Records()
        for path in logs.glob("router*.log"):
            for line in path.read_text().splitlines():
                for prefix, into in ((OBSERVED, records.observed), (SNAPSHOT, records.snapshots)):
                    if line.startswith(prefix):
                        fields = orjson.loads(line.removeprefix(prefix))
                        into.append(LogRecord(path.stem, fields.pop("at"), fields))
        return records

    def requested_slots(self) -> set[int]:
        """Return all slots for which any correct router received requests."""
        return {int(slot) for record in self.observed for slot in record.fields["slots"]}

    def response_time_range(self, server: str, at: float) -> tuple[float, float] | None:
        """Return the least and greatest response time, ns, of a server at correct routers in WINDOW_S.

        Returns None if, in some second of this time since any server's first report, at most half of all
        routers received a response time of this server: half of the reports that count at an aggregator may
        have been forwarded, and of one true and one false sample the lower counts, whichever it is.
        """
        samples = [
            (record.at, record.name, record.fields["waits"][server])
            for record in self.observed
            if at - WINDOW_S <= record.at <= at and server in record.fields["waits"]
        ]
        seconds = defaultdict[int, set[str]](set)
        for when, name, _ in samples:
            seconds[int(at - when)].add(name)
        begun = min(record.at for record in self.observed if record.fields["waits"])
        if any(len(seconds[second]) <= ROUTERS / 2 for second in range(int(min(WINDOW_S, at - begun)))):
            return None
        waits = [wait for _, _, wait in samples]
        return min(waits), max(waits)

    def max_true_requests(self, at: float) -> float:
        """Return the most requests that correct routers can contribute to a view at that time.

        This is the sum of each router's greatest decayed request count in the WINDOW_S before.
        """
        counted = defaultdict[str, list[LogRecord]](list)
        for record in self.observed:
            if record.at <= at:
                counted[record.name].append(record)
        return sum(_greatest_count(lines, at - WINDOW_S) for lines in counted.values())


def _greatest_count(records: list[LogRecord], since: float) -> float:
    total, before, greatest = 0.0, records[0].at, 0.0
    for record in sorted(records, key=lambda record: record.at):
        total *= math.pow(0.5, (record.at - before) / COUNT_HALF_LIFE_S)
        total += sum(record.fields["slots"].values())
        before = record.at
        if record.at >= since:
            greatest = max(greatest, total)
    return greatest


def check_response_times(records: Records, snapshots: list[LogRecord]) -> None:
    """Assert that response times in the snapshots lie within those that correct routers observed.

    The lower bound applies only where the router has a recent sample of its own from the server: without one,
    the lower of two views counts.
    """
    checked = 0
    for snapshot in snapshots:
        for server, wait in snapshot.fields["waits"].items():
            allowed = records.response_time_range(server, snapshot.at)
            if allowed is None:
                continue
            assert wait <= allowed[1], (snapshot.name, server, allowed, snapshot)
            if server not in snapshot.fields["own_waits"]:
                continue
            checked += 1
            # Reports and views carry whole milliseconds.
            assert wait >= allowed[0] - MS, (snapshot.name, server, allowed, snapshot)
    assert checked > ROUTERS, "too few response times were checked"


# A false reporter


class FalseReporter:
    """Sends false, replayed and forged reports.

    Forged reports carry another boot id or another router's number, or are forwarded like an aggregator's.
    """

    def __init__(self, member: FakedMember, servers: list[str]) -> None:
        self.member, self.random = member, random.Random(1)
        self.servers = [hash_server(name) for name in servers]
        self.recorded = [data for _, data in member.sent if sequenced_report.is_sequenced_report(data)]
        self.claimed: list[int] = []
        self.repeated_server = self.servers[0]
        size = len(member.peers_config.each)
        self.sequence = max(sequenced_report.decode(data, size).sequence for data in self.recorded)

    def report(self, boot_id: int, slots: dict[int, int], sender: int | None = None) -> LoadReport:
        """Return a report of all servers as very slow or as idle, with one of them repeated."""
        servers = [*self.servers, *[self.repeated_server] * (MAX_SAMPLES - len(self.servers))]
        wait = FALSE_RESPONSE_TIME_NS if self.sequence // 40 % 2 else 0
        samples = tuple(ServerSample(server, wait, 0) for server in servers)
        return LoadReport(
            self.member.number if sender is None else sender, boot_id, samples, MAX_CLAIM, slots
        )

    def false_datagrams(self) -> Iterator[tuple[int, bytes]]:
        """Return one round of datagrams, the same to both aggregators."""
        member, true_id = self.member, self.member.membership.boot_id
        self.sequence += 1
        if self.sequence % 60 == 0 or not self.claimed:  # other slots every 60 rounds, as long as views take
            self.claimed = self.random.sample(range(min(MARKER_SLOTS)), MAX_SLOTS)
            self.repeated_server = self.random.choice(self.servers)
        datagrams = [
            sequenced_report.encode(
                SequencedReport(self.sequence, self.report(true_id, dict.fromkeys(self.claimed, MAX_CLAIM)))
            )
        ]
        datagrams += self.random.choices(self.recorded, k=4) * 2
        newest = (1 << 20) + self.sequence
        other = self.report(self.random.choice((true_id ^ 1, true_id ^ 2)), {OTHER_BOOT_ID_SLOT: MAX_CLAIM})
        datagrams.append(sequenced_report.encode(SequencedReport(newest, other)))
        victim = self.random.randrange(ROUTERS - 1)
        if victim in member.boot_ids:
            boot_id = member.boot_ids[victim]
            forged = self.report(boot_id, {FORGED_SLOT: MAX_CLAIM}, victim)
            datagrams.append(sequenced_report.encode(SequencedReport(newest, forged)))
            claims = sequenced_report.encode(
                SequencedReport(newest, self.report(boot_id, {FORWARDED_SLOT: MAX_CLAIM}, victim))
            )
            datagrams.append(sequenced_report.forward(claims, member.number))
            datagrams.append(sequenced_report.forward(claims, member.aggregators[0]))
        for to in member.aggregators:
            yield from ((to, data) for data in datagrams)


def test_a_reporter_with_false_replayed_and_forged_reports_counts_once_and_within_bounds(
    tmp_path: Path,
) -> None:
    """A false reporter's samples count as one rank of all samples.

    Its requests and slots count for at most 8 times the median reporter's, and for at most 0.3 of all; with
    eight reporters the latter bound is the narrower.
    """
    readings: list[MetricsByRouter] = []
    dropped: list[dict[str, float]] = []

    async def steps(orchestrator: AdversaryOrchestrator) -> None:
        member = orchestrator.member
        member.slots = {TRUE_SLOT: 15}
        await orchestrator.wait_for_full_views()
        await orchestrator.wait_until(2.5)
        false = FalseReporter(member, node_names(orchestrator.schedule.scenario.fleet))
        assert len(false.recorded) >= 3
        member.alter = lambda _to, data: [] if sequenced_report.is_sequenced_report(data) else [data]
        member.views.clear()
        readings.extend(await orchestrator.attack(false.false_datagrams))
        readings.append(await orchestrator.wait_for_full_views())
        dropped.extend([await fetch_metrics(one.ops) for one in orchestrator.aggregators.values()])

    orchestrator = run_scenario(steps, 8.5, tmp_path, FAKED_ROUTER)
    for metrics in (metrics for reading in readings for metrics in reading.values()):
        assert view_metric(metrics, "reporters") <= ROUTERS, metrics
        assert view_metric(metrics, "fallbacks") == 0, metrics
    records = Records.read(tmp_path)
    under_attack = [
        one for one in records.snapshots if orchestrator.attack_began <= one.at <= orchestrator.attack_ended
    ]
    check_response_times(records, under_attack)
    unrequested = set(range(SLOTS)) - records.requested_slots()
    for at, one in orchestrator.member.views:
        assert one.reporters <= ROUTERS, one
        assert one.requests <= most_requests(records, at), one
        check_shares(one.slot_shares, unrequested, MAX_ROUTER_SHARE)
    for record in under_attack:
        assert record.fields["requests"] <= most_requests(records, record.at), record
        check_shares(record.shares, unrequested, MAX_ROUTER_SHARE)
    claimed = [
        one.slot_shares[slot]
        for _, one in orchestrator.member.views
        for slot in unrequested & set(one.slot_shares)
    ]
    assert max(claimed) > 0.1, "no view contains any of its claims"
    check_markers([one for _, one in orchestrator.member.views])
    for metrics in dropped:
        for why in ("forged", "replayed", "unexpected"):
            assert metrics.get(f'lb_peers_dropped{{why="{why}"}}', 0) > 20, (why, metrics)


def most_requests(records: Records, at: float) -> float:
    """Return the most requests in a view, MAX_ROUTER_SHARE of them false; reports carry whole requests."""
    return (records.max_true_requests(at) + ROUTERS) / (1.0 - MAX_ROUTER_SHARE)


def check_shares(shares: Mapping[int, float], unrequested: set[int], bound: float) -> None:
    """Assert that no slot without requests at correct routers has a greater share than the bound."""
    assert all(share <= bound + SHARE_STEP for slot, share in shares.items() if slot in unrequested), shares


def check_markers(views: list[ViewPart]) -> None:
    """Assert that the slot of the false reporter's true reports leaves the views once its false ones arrive.

    No view ever contains the slots that the false reporter sent with another boot id, with another router's
    number or as an aggregator.
    """
    markers = defaultdict[tuple[int, int], set[int]](set)
    for one in views:
        markers[one.aggregator, one.sequence] |= MARKER_SLOTS & set(one.slot_shares)
    for aggregator in {aggregator for aggregator, _ in markers}:
        slots_by_view = [markers[key] for key in sorted(markers) if key[0] == aggregator]
        attack_seen_from = next(index for index, one in enumerate(slots_by_view) if not one)
        assert not any(slots_by_view[attack_seen_from:]), slots_by_view
        assert not any(one - {TRUE_SLOT} for one in slots_by_view), slots_by_view
    assert len({aggregator for aggregator, _ in markers}) == 2


# A false aggregator


class FalseAggregator:
    """Answers with false views, forwards forged reports, and replays views from before the attack."""

    def __init__(self, member: FakedMember, servers: list[str]) -> None:
        self.member, self.random, self.count = member, random.Random(1), 0
        self.servers = [hash_server(name) for name in servers]
        self.recorded = [(to, data) for to, data in member.sent if merged_view.is_view(data)]
        self.size = len(member.peers_config.each)
        (self.other,) = set(member.aggregators) - {member.number}

    @property
    def full(self) -> bool:
        """Whether the claims are now the highest: all servers very slow, and the most requests.

        Otherwise they are the lowest: response times and requests of 0. They alternate every 40 rounds.
        """
        return self.count // 40 % 2 == 0

    def false_view(self, changes: dict[str, Any]) -> bytes:
        """Return a view with all servers at one extreme, and with requests for unrequested slots only."""
        waits = tuple(
            ServerSample(server, FALSE_RESPONSE_TIME_NS if self.full else 0, 0) for server in self.servers
        )
        reporters = MAX_CLAIM if self.count // 80 % 2 else ROUTERS
        fields: dict[str, Any] = {
            "aggregator": self.member.number,
            "boot_id": self.member.membership.boot_id,
            "sequence": (1 << 20) + self.count,
            "reporters": reporters,
            "requests": (1 << 32) - 1 if self.full else 0,
            **changes,
        }
        part = ViewPart(
            age=0,
            part=0,
            parts=1,
            response_times=waits,
            slot_shares=dict.fromkeys(CLAIMED_SLOTS, 1.0),
            **fields,
        )
        return merged_view.to_datagram(merged_view.encode_body(part), 0)

    def false_report(self, reporter: int) -> bytes:
        """Return a forged report, forwarded as if it were the newest of this router."""
        samples = tuple(
            ServerSample(server, FALSE_RESPONSE_TIME_NS if self.full else 0, 0) for server in self.servers
        )
        asked = MAX_CLAIM if self.full else 0
        boot_id = self.member.boot_ids[reporter]
        report = LoadReport(reporter, boot_id, samples, asked, dict.fromkeys(CLAIMED_SLOTS, asked))
        encoded = sequenced_report.encode(SequencedReport((1 << 20) + self.count, report))
        return sequenced_report.forward(encoded, self.member.number)

    def alter(self, _to: int, data: bytes) -> list[bytes]:
        """Replace the member's views by false ones, and drop the reports that it should forward."""
        if merged_view.is_view(data):
            return [self.false_view({})]
        return [] if sequenced_report.is_forwarded_report(data) else [data]

    def false_datagrams(self) -> Iterator[tuple[int, bytes]]:
        """Return one round of datagrams that answer no request."""
        self.count += 1
        for to, data in self.random.sample(self.recorded, 2):
            yield from ((to, data), (to, data))
        to = self.random.randrange(ROUTERS)
        boot_id = self.member.membership.boot_id ^ 1
        yield to, self.false_view({"boot_id": boot_id})
        yield to, self.false_view({})
        if self.other in self.member.boot_ids:
            yield (
                to,
                self.false_view({"aggregator": self.other, "boot_id": self.member.boot_ids[self.other]}),
            )
        for reporter in range(ROUTERS):
            if reporter in self.member.boot_ids:
                yield self.other, self.false_report(reporter)


def test_a_false_aggregator_beside_a_correct_one_moves_no_router_beyond_the_bounds(tmp_path: Path) -> None:
    """A response time moves at most to the other of the correct view's value and the router's own sample.

    No slot becomes hot, and no slot that is hot at this router is hidden; the total of requests stays between
    the correct view's and the router's own estimate. Forwarded reports move the correct view within the
    quartiles of the other reports, and raise a slot's share to at most 0.005.
    """
    readings: list[MetricsByRouter] = []

    async def steps(orchestrator: AdversaryOrchestrator) -> None:
        member = orchestrator.member
        await orchestrator.wait_for_full_views()
        await orchestrator.wait_until(2.5)
        false = FalseAggregator(member, node_names(orchestrator.schedule.scenario.fleet))
        assert len(false.recorded) >= ROUTERS
        member.alter = false.alter
        readings.extend(await orchestrator.attack(false.false_datagrams))

    orchestrator = run_scenario(steps, 8.5, tmp_path, FAKED_AGGREGATOR)
    other = orchestrator.member.aggregators[1]
    records = Records.read(tmp_path)
    under_attack = [
        record
        for record in records.snapshots
        if orchestrator.attack_began <= record.at <= orchestrator.attack_ended
    ]
    checked = [record for record in under_attack if other in record.fields["fresh"]]
    unrequested = set(range(SLOTS)) - records.requested_slots()
    assert len(checked) > len(under_attack) / 2, "too few snapshots use the correct aggregator's view"
    check_response_times(records, checked)
    for record in checked:
        fields, true_requests = record.fields, records.max_true_requests(record.at)
        # Each report that the false aggregator forwarded counts for at most twice the others' mean.
        own = fields["own_requests"] * len(orchestrator.peers["router00"].each)
        assert fields["requests"] <= max(MAX_MEAN_RATIO * (true_requests + ROUTERS), own), (
            record,
            true_requests,
        )
        check_shares(record.shares, unrequested, MIN_SLOT_SHARE)
        for slot, count in fields["own_slots"].items():
            assert record.shares[int(slot)] >= count / fields["requests"] * 0.999, (slot, record)
    for metrics in (metrics for reading in readings for metrics in reading.values()):
        assert view_metric(metrics, "reporters") <= len(orchestrator.peers["router00"].each), metrics
        assert view_metric(metrics, "fallbacks") == 0, metrics
    assert not any(fallback_changes(tmp_path).values())
    for metrics in readings[-1].values():
        assert metrics.get('lb_peers_dropped{why="forged"}', 0) > 5, metrics
        assert metrics.get('lb_peers_dropped{why="replayed"}', 0) > 20, metrics


# A router that is killed and restarted


def test_a_router_killed_and_restarted_is_counted_again_and_nothing_twice(tmp_path: Path) -> None:
    """The new process has another boot id and restarts its sequence numbers."""
    readings: list[MetricsByRouter] = []

    async def steps(orchestrator: AdversaryOrchestrator) -> None:
        await orchestrator.wait_for_full_views()
        await orchestrator.apply_fault(ScheduledFault(0.0, "restart", RESTARTED, {"signal": "KILL"}))
        again = time.monotonic()
        # Reports of its first process count for 3 s, and a view is used for as long.
        while time.monotonic() < again + 2 * REPORT_MAX_AGE / NS_PER_S:
            readings.append(await orchestrator.router_metrics())
            await asyncio.sleep(ATTACK_INTERVAL_S)
        readings.append(await orchestrator.wait_for_full_views())

    orchestrator = run_scenario(steps, 8.5, tmp_path, None)
    assert orchestrator.routers[RESTARTED].starts == 2
    assert len(readings) > 10
    for metrics in (metrics for reading in readings for metrics in reading.values()):
        assert view_metric(metrics, "reporters") <= ROUTERS, metrics
        assert view_metric(metrics, "fallbacks") == 0, metrics
        # 120 requests a second, counted over about 3.6 s, which is 432; counted twice they exceed 600.
        assert metrics['lb_picture{of="requests"}'] < 600, metrics
    assert not any(fallback_changes(tmp_path).values())
