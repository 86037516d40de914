"""Eight routers and two aggregators, each a process, amid false ones: a reporter that lies and replays, a
lying aggregator, a router that is killed and started again.

Each router writes down what it was told by servers and what it goes by (tests/watching_router.py). So the
bounds of docs/design-aggregation.md, "What one false member moves", are judged on what true routers observed.
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
from holdgw.peers.aggregator import Outgoing
from holdgw.peers.datagram import DecodeError
from holdgw.peers.dissemination import Send
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
from tests.processes.test_aggregation import LIMIT_S, ROUTERS, Seen, changes, view
from tests.processes.test_faults import DAY, ROOT, kept
from tests.processes.test_peers import figures
from tests.watching_router import OBSERVED, SNAPSHOT

pytestmark = [pytest.mark.processes, pytest.mark.xdist_group("processes, faults")]

WATCHING = f"exec {sys.executable} -m tests.watching_router"
REPORTER, AGGREGATOR, RESTARTED = "router07", "aggregator00", "router06"
TICK_S, REPORT_TICKS = 0.1, 10
PESTER_S, LYING_S = 0.05, 6.0
LIE = 60_000 * MS  # a server's wait that none has
HUGE = 0xFFFF  # the most that a report can claim
WINDOW_S = 7.0  # before a snapshot, in which all that it rests on was observed
SLOTS = 8192
OLD, OTHER, FORGED, FORWARDED = range(8000, 8004)
"""Slots that no key of the day has: by these it is seen which of its datagrams a false member moved."""
NAMED = frozenset(range(8000, 8020))
CLAIMED = range(8004, 8020)
"""Slots that a lying aggregator claims to be all that is asked for."""
Alter = Callable[[int, bytes], list[bytes]]
Scene = Callable[["FalseStage"], Awaitable[None]]


class Speaker(asyncio.DatagramProtocol):
    """One member, spoken for by the test from its own address: true until `alter` changes what it sends."""

    def __init__(self, number: int, among: Peers, zone: int, role: Role) -> None:
        now, size = time.monotonic_ns(), len(among.each)
        self.number, self.among = number, among
        self.aggregators = [among.each.index(one) for one in among.aggregators]
        self.membership = Membership(number, size, zone, number, now)
        self.load_view = LoadView(number, self.membership.boot_id)
        place = ExchangeConfig(number, size, self.aggregators, role, int(TICK_S * 1000) * MS)
        self.exchange = AggregatedExchange(place, self.membership, self.load_view, number, now)
        self.alter: Alter = lambda _to, data: [data]
        self.slots: dict[int, int] = {}
        """What it observes in a second, by slot."""
        self.sent: list[tuple[int, bytes]] = []
        self.views: list[tuple[float, ViewPart]] = []
        self.boot_ids: dict[int, int] = {}
        """Of other members, as their messages tell."""
        self._numbers = {address: number for number, address in enumerate(among.each)}
        self._transport: asyncio.DatagramTransport | None = None

    async def speak(self) -> None:
        """Say what a member says, until cancelled."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self.among.listen)
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
                self.views.append((time.monotonic(), merged_view.decode(data, len(self.among.each))))
            if self.exchange.handles(data):
                self._send_all(self.exchange.receive(data, source, now))
            else:
                message = datagram.decode(data, len(self.among.each))
                self.boot_ids[message.sender] = message.boot_id
                self._send_messages(self.membership.receive(message, now))

    def _send_messages(self, sends: list[Send]) -> None:
        for send in sends:
            self.say(send.to, datagram.encode(send.message))

    def _send_all(self, out: list[Outgoing]) -> None:
        for one in out:
            for data in self.alter(one.to, one.data):
                self.say(one.to, data)

    def say(self, to: int, data: bytes) -> None:
        """Send a datagram as it is."""
        self.sent.append((to, data))
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, self.among.each[to])


class FalseStage(Orchestrator):
    """The process of one member, if any is named, has no peers, or is not started: the test speaks for it."""

    speaker: Speaker

    def __init__(self, day: Schedule, logs: Path, spoken: str | None) -> None:
        super().__init__(day, WATCHING, ROOT, logs)
        self._spoken = spoken
        self.lied_from = self.lied_until = 0.0
        self.scene_over = asyncio.Event()
        """Until then the routers run on, however late the scene is."""

    @property
    def true(self) -> dict[str, RouterProcess]:
        """Routers that speak for themselves."""
        return {name: router for name, router in self.routers.items() if name != self._spoken}

    async def _join_peers(self) -> None:
        await super()._join_peers()
        if self._spoken is not None:
            number = member_names(self.schedule.scenario).index(self._spoken)
            role = Role.SET_ASIDE if self._spoken == AGGREGATOR else Role.ROUTER
            zone = number % len(self.schedule.scenario.fleet.zones)
            self.speaker = Speaker(number, self.peers.pop(self._spoken), zone, role)
            self.spawn(self.speaker.speak())

    async def start_aggregator(self, machine: RouterProcess) -> None:
        if machine.name != self._spoken:
            await super().start_aggregator(machine)

    async def wait_until_finished(self, progress: Callable[[float], None] = lambda _at: None) -> None:
        await super().wait_until_finished(progress)
        await self.scene_over.wait()

    async def until(self, second: float) -> None:
        """Wait until this second of the day."""
        await asyncio.sleep(max(self.begun + second - self.clock(), 0.0))

    async def doors(self) -> Seen:
        """Every true router's figures now."""
        found = await asyncio.gather(*(figures(one.ops) for one in self.true.values()))
        return dict(zip(self.true, found, strict=True))

    async def soon(self, holds: Callable[[Seen], bool]) -> Seen:
        """Every true router's figures, once they are like that; an error if they never are."""
        seen: Seen = {}
        for _ in range(int(LIMIT_S / 0.25)):
            seen = await self.doors()
            if holds(seen):
                return seen
            await asyncio.sleep(0.25)
        raise AssertionError(seen)

    async def covered(self) -> Seen:
        """Wait until every true router goes by views that rest on all routers, each counted once."""
        seen = await self.soon(lambda seen: all(view(one, "reporters") >= ROUTERS for one in seen.values()))
        assert all(view(one, "reporters") == ROUTERS for one in seen.values()), seen
        return seen

    async def lie(self, lies: Callable[[], Iterator[tuple[int, bytes]]]) -> list[Seen]:
        """Say these lies every PESTER_S for LYING_S; returns figures read meanwhile."""
        self.lied_from, seen = time.monotonic(), [await self.doors()]
        reading = asyncio.ensure_future(self.doors())
        while time.monotonic() - self.lied_from < LYING_S:
            for to, data in lies():
                self.speaker.say(to, data)
            if reading.done():
                seen.append(reading.result())
                reading = asyncio.ensure_future(self.doors())
            await asyncio.sleep(PESTER_S)
        seen.append(await reading)
        self.lied_until = time.monotonic()
        return seen


def play(scene: Scene, length: float, logs: Path, spoken: str | None) -> FalseStage:
    """Play a day through which the scene goes; the rules hold, whatever the scene does."""
    text = DAY.format(length=length) + "[peers]\nallowed = true\naggregators = 2\n"
    stage = FalseStage(draw_schedule(read_scenario(text, "test"), 1), logs, spoken)

    async def main() -> None:
        playing = asyncio.ensure_future(stage.play())
        while not stage.begun and not playing.done():
            await asyncio.sleep(0.05)
        acting = asyncio.ensure_future(scene(stage))
        acting.add_done_callback(lambda _: stage.scene_over.set())
        await asyncio.wait((playing, acting), return_when=asyncio.FIRST_COMPLETED)
        await asyncio.wait_for(acting, LIMIT_S)
        kept(make_report(await asyncio.wait_for(playing, 90.0)))

    uvloop.run(main())
    return stage


# What true routers wrote down


@dataclass(slots=True)
class Written:
    """One line of a router's log: what it observed, or what it goes by."""

    name: str
    at: float
    told: dict[str, Any]

    @property
    def shares(self) -> dict[int, float]:
        """Slots' shares that it goes by."""
        return {int(slot): share for slot, share in self.told["shares"].items()}


@dataclass(slots=True)
class Records:
    """What all true routers observed, and what they went by."""

    observed: list[Written] = field(default_factory=list)
    snapshots: list[Written] = field(default_factory=list)

    @staticmethod
    def read(logs: Path) -> Records:
        found = Records()
        for path in logs.glob("router*.log"):
            for line in path.read_text().splitlines():
                for mark, into in ((OBSERVED, found.observed), (SNAPSHOT, found.snapshots)):
                    if line.startswith(mark):
                        told = orjson.loads(line.removeprefix(mark))
                        into.append(Written(path.stem, told.pop("at"), told))
        return found

    def asked_slots(self) -> set[int]:
        """All slots that any true router was asked for."""
        return {int(slot) for one in self.observed for slot in one.told["slots"]}

    def band(self, server: str, at: float) -> tuple[float, float] | None:
        """The lowest and the highest wait that true routers were told by a server in the WINDOW_S before, ns.

        None where in some second of it, from the first that a server told anything, no more than half of all
        routers were told anything by this one: half of the reports that count at an aggregator may have been
        forwarded, and of one true sample beside a false one the lower counts, whichever that is.
        """
        told = [
            (one.at, one.name, one.told["waits"][server])
            for one in self.observed
            if at - WINDOW_S <= one.at <= at and server in one.told["waits"]
        ]
        seconds = defaultdict[int, set[str]](set)
        for when, name, _ in told:
            seconds[int(at - when)].add(name)
        begun = min(one.at for one in self.observed if one.told["waits"])
        if any(len(seconds[second]) <= ROUTERS / 2 for second in range(int(min(WINDOW_S, at - begun)))):
            return None
        waits = [wait for _, _, wait in told]
        return min(waits), max(waits)

    def requests(self, at: float) -> float:
        """The most that true routers' counts of requests, with decay, can come to in a view at that time: of
        each its greatest count in the WINDOW_S before.
        """
        counted = defaultdict[str, list[Written]](list)
        for one in self.observed:
            if one.at <= at:
                counted[one.name].append(one)
        return sum(_greatest_count(told, at - WINDOW_S) for told in counted.values())


def _greatest_count(told: list[Written], since: float) -> float:
    total, before, greatest = 0.0, told[0].at, 0.0
    for one in sorted(told, key=lambda one: one.at):
        total *= math.pow(0.5, (one.at - before) / COUNT_HALF_LIFE_S)
        total += sum(one.told["slots"].values())
        before = one.at
        if one.at >= since:
            greatest = max(greatest, total)
    return greatest


def check_waits(records: Records, snapshots: list[Written]) -> None:
    """Every server's wait that a true router goes by is within what true ones were told; not below it where
    the server told this router itself lately, since without an own sample the lower of two views counts.
    """
    judged = 0
    for one in snapshots:
        for server, wait in one.told["waits"].items():
            band = records.band(server, one.at)
            if band is None:
                continue
            assert wait <= band[1], (one.name, server, band, one)
            if server not in one.told["own_waits"]:
                continue
            judged += 1
            # A report and a view tell whole milliseconds.
            assert wait >= band[0] - MS, (one.name, server, band, one)
    assert judged > ROUTERS, "hardly any wait was judged"


# A reporter


class FalseReporter:
    """Lies, replays, speaks under another incarnation, under others' numbers, and as if it aggregated."""

    def __init__(self, speaker: Speaker, servers: list[str]) -> None:
        self.speaker, self.random = speaker, random.Random(1)
        self.servers = [hash_server(name) for name in servers]
        self.recorded = [data for _, data in speaker.sent if sequenced_report.is_sequenced_report(data)]
        self.claimed: list[int] = []
        self.named = self.servers[0]
        size = len(speaker.among.each)
        self.sequence = max(sequenced_report.decode(data, size).sequence for data in self.recorded)

    def report(self, boot_id: int, slots: dict[int, int], sender: int | None = None) -> LoadReport:
        """Every server is dead slow, or idle; one is named again and again."""
        named = [*self.servers, *[self.named] * (MAX_SAMPLES - len(self.servers))]
        wait = LIE if self.sequence // 40 % 2 else 0
        samples = tuple(ServerSample(server, wait, 0) for server in named)
        return LoadReport(self.speaker.number if sender is None else sender, boot_id, samples, HUGE, slots)

    def lies(self) -> Iterator[tuple[int, bytes]]:
        """What it says to both aggregators at once."""
        speaker, true_id = self.speaker, self.speaker.membership.boot_id
        self.sequence += 1
        if self.sequence % 60 == 0 or not self.claimed:  # every slot in turn, each for as long as views take
            self.claimed = self.random.sample(range(min(NAMED)), MAX_SLOTS)
            self.named = self.random.choice(self.servers)
        said = [
            sequenced_report.encode(
                SequencedReport(self.sequence, self.report(true_id, dict.fromkeys(self.claimed, HUGE)))
            )
        ]
        said += self.random.choices(self.recorded, k=4) * 2
        newest = (1 << 20) + self.sequence
        other = self.report(self.random.choice((true_id ^ 1, true_id ^ 2)), {OTHER: HUGE})
        said.append(sequenced_report.encode(SequencedReport(newest, other)))
        victim = self.random.randrange(ROUTERS - 1)
        if victim in speaker.boot_ids:
            boot_id = speaker.boot_ids[victim]
            forged = self.report(boot_id, {FORGED: HUGE}, victim)
            said.append(sequenced_report.encode(SequencedReport(newest, forged)))
            claims = sequenced_report.encode(
                SequencedReport(newest, self.report(boot_id, {FORWARDED: HUGE}, victim))
            )
            said.append(sequenced_report.forward(claims, speaker.number))
            said.append(sequenced_report.forward(claims, speaker.aggregators[0]))
        for to in speaker.aggregators:
            yield from ((to, data) for data in said)


def test_a_reporter_that_lies_replays_and_takes_other_names_counts_once_and_within_its_bounds(
    tmp_path: Path,
) -> None:
    """The bounds: "one rank among the samples of all", and of requests and slots "8 times the median
    reporter's, and 0.3 of all": with eight reporters the last is the narrower.
    """
    seen: list[Seen] = []
    dropped: list[dict[str, float]] = []

    async def scene(stage: FalseStage) -> None:
        speaker = stage.speaker
        speaker.slots = {OLD: 15}
        await stage.covered()
        await stage.until(2.5)
        false = FalseReporter(speaker, node_names(stage.schedule.scenario.fleet))
        assert len(false.recorded) >= 3
        speaker.alter = lambda _to, data: [] if sequenced_report.is_sequenced_report(data) else [data]
        speaker.views.clear()
        seen.extend(await stage.lie(false.lies))
        seen.append(await stage.covered())
        dropped.extend([await figures(one.ops) for one in stage.aggregators.values()])

    stage = play(scene, 8.5, tmp_path, REPORTER)
    for found in (found for one in seen for found in one.values()):
        assert view(found, "reporters") <= ROUTERS, found
        assert view(found, "fallbacks") == 0, found
    records = Records.read(tmp_path)
    lied = [one for one in records.snapshots if stage.lied_from <= one.at <= stage.lied_until]
    check_waits(records, lied)
    unasked = set(range(SLOTS)) - records.asked_slots()
    for at, one in stage.speaker.views:
        assert one.reporters <= ROUTERS, one
        assert one.requests <= most_requests(records, at), one
        check_shares(one.slot_shares, unasked, MAX_ROUTER_SHARE)
    for written in lied:
        assert written.told["requests"] <= most_requests(records, written.at), written
        check_shares(written.shares, unasked, MAX_ROUTER_SHARE)
    claimed = [
        one.slot_shares[slot] for _, one in stage.speaker.views for slot in unasked & set(one.slot_shares)
    ]
    assert max(claimed) > 0.1, "none of its claims counted"
    check_marks([one for _, one in stage.speaker.views])
    for found in dropped:
        for why in ("forged", "replayed", "unexpected"):
            assert found.get(f'lb_peers_dropped{{why="{why}"}}', 0) > 20, (why, found)


def most_requests(records: Records, at: float) -> float:
    """All requests, of which a false reporter's are MAX_ROUTER_SHARE; reports tell whole ones."""
    return (records.requests(at) + ROUTERS) / (1.0 - MAX_ROUTER_SHARE)


def check_shares(shares: Mapping[int, float], unasked: set[int], bound: float) -> None:
    """No slot that no true router was asked for has more of all requests."""
    assert all(share <= bound + SHARE_STEP for slot, share in shares.items() if slot in unasked), shares


def check_marks(views: list[ViewPart]) -> None:
    """What it reported truly is in no view any more, once its lies are; and what it sent under another
    incarnation, another's number or as an aggregator never is.
    """
    marks = defaultdict[tuple[int, int], set[int]](set)
    for one in views:
        marks[one.aggregator, one.sequence] |= NAMED & set(one.slot_shares)
    for aggregator in {aggregator for aggregator, _ in marks}:
        found = [marks[key] for key in sorted(marks) if key[0] == aggregator]
        lies_from = next(place for place, one in enumerate(found) if not one)
        assert not any(found[lies_from:]), found
        assert not any(one - {OLD} for one in found), found
    assert len({aggregator for aggregator, _ in marks}) == 2


# An aggregator


class FalseAggregator:
    """Answers with false views, forwards what nobody reported, and replays what it said when it was true."""

    def __init__(self, speaker: Speaker, servers: list[str]) -> None:
        self.speaker, self.random, self.count = speaker, random.Random(1), 0
        self.servers = [hash_server(name) for name in servers]
        self.recorded = [(to, data) for to, data in speaker.sent if merged_view.is_view(data)]
        self.size = len(speaker.among.each)
        (self.other,) = set(speaker.aggregators) - {speaker.number}

    @property
    def full(self) -> bool:
        """Whether it now claims that every server is dead slow, and that there are requests without end; else
        that there is nothing to do.
        """
        return self.count // 40 % 2 == 0

    def false_view(self, changes: dict[str, Any]) -> bytes:
        """A view of every server at one extreme, and of slots that nobody asked for alone."""
        waits = tuple(ServerSample(server, LIE if self.full else 0, 0) for server in self.servers)
        reporters = HUGE if self.count // 80 % 2 else ROUTERS
        told: dict[str, Any] = {
            "aggregator": self.speaker.number,
            "boot_id": self.speaker.membership.boot_id,
            "sequence": (1 << 20) + self.count,
            "reporters": reporters,
            "requests": (1 << 32) - 1 if self.full else 0,
            **changes,
        }
        part = ViewPart(age=0, part=0, parts=1, waits=waits, slot_shares=dict.fromkeys(CLAIMED, 1.0), **told)
        return merged_view.finish(merged_view.encode_body(part), 0)

    def false_report(self, reporter: int) -> bytes:
        """What it forwards as the newest report of a router."""
        samples = tuple(ServerSample(server, LIE if self.full else 0, 0) for server in self.servers)
        asked = HUGE if self.full else 0
        boot_id = self.speaker.boot_ids[reporter]
        report = LoadReport(reporter, boot_id, samples, asked, dict.fromkeys(CLAIMED, asked))
        said = sequenced_report.encode(SequencedReport((1 << 20) + self.count, report))
        return sequenced_report.forward(said, self.speaker.number)

    def alter(self, _to: int, data: bytes) -> list[bytes]:
        """What it makes of a true answer, and of what it should forward."""
        if merged_view.is_view(data):
            return [self.false_view({})]
        return [] if sequenced_report.is_forwarded_report(data) else [data]

    def lies(self) -> Iterator[tuple[int, bytes]]:
        """What it says unasked."""
        self.count += 1
        for to, data in self.random.sample(self.recorded, 2):
            yield from ((to, data), (to, data))
        to = self.random.randrange(ROUTERS)
        boot_id = self.speaker.membership.boot_id ^ 1
        yield to, self.false_view({"boot_id": boot_id})
        yield to, self.false_view({})
        if self.other in self.speaker.boot_ids:
            yield (
                to,
                self.false_view({"aggregator": self.other, "boot_id": self.speaker.boot_ids[self.other]}),
            )
        for reporter in range(ROUTERS):
            if reporter in self.speaker.boot_ids:
                yield self.other, self.false_report(reporter)


def test_a_lying_aggregator_beside_a_true_one_moves_no_router_beyond_its_bounds(tmp_path: Path) -> None:
    """The bounds: "a wait moves to the other of honest view and own sample at most; no slot becomes hot, none
    that is hot here is hidden; requests in all stay between honest view and own estimate". The honest view is
    moved by what is forwarded to it "within the rest's quartiles", and a slot's share to 0.005.
    """
    seen: list[Seen] = []

    async def scene(stage: FalseStage) -> None:
        speaker = stage.speaker
        await stage.covered()
        await stage.until(2.5)
        false = FalseAggregator(speaker, node_names(stage.schedule.scenario.fleet))
        assert len(false.recorded) >= ROUTERS
        speaker.alter = false.alter
        seen.extend(await stage.lie(false.lies))

    stage = play(scene, 8.5, tmp_path, AGGREGATOR)
    other = stage.speaker.aggregators[1]
    records = Records.read(tmp_path)
    lied = [one for one in records.snapshots if stage.lied_from <= one.at <= stage.lied_until]
    judged = [one for one in lied if other in one.told["fresh"]]
    unasked = set(range(SLOTS)) - records.asked_slots()
    assert len(judged) > len(lied) / 2, "hardly any router had the true one's view"
    check_waits(records, judged)
    for written in judged:
        told, true = written.told, records.requests(written.at)
        # The lying one's part of the reports counts for at most twice the others' mean reporter each.
        own = told["own_requests"] * len(stage.peers["router00"].each)
        assert told["requests"] <= max(MAX_MEAN_RATIO * (true + ROUTERS), own), (written, true)
        check_shares(written.shares, unasked, MIN_SLOT_SHARE)
        for slot, count in told["own_slots"].items():
            assert written.shares[int(slot)] >= count / told["requests"] * 0.999, (slot, written)
    for found in (found for one in seen for found in one.values()):
        assert view(found, "reporters") <= len(stage.peers["router00"].each), found
        assert view(found, "fallbacks") == 0, found
    assert not any(changes(tmp_path).values())
    for found in seen[-1].values():
        assert found.get('lb_peers_dropped{why="forged"}', 0) > 5, found
        assert found.get('lb_peers_dropped{why="replayed"}', 0) > 20, found


# A router that is killed, and starts again


def test_a_router_killed_and_started_again_is_counted_again_and_nothing_twice(tmp_path: Path) -> None:
    """Its new process has another boot_id, and its sequence numbers begin again."""
    seen: list[Seen] = []

    async def scene(stage: FalseStage) -> None:
        await stage.covered()
        await stage.apply_fault(ScheduledFault(0.0, "restart", RESTARTED, {"signal": "KILL"}))
        again = time.monotonic()
        # What its first process reported counts for 3 s, and a view for as long.
        while time.monotonic() < again + 2 * REPORT_MAX_AGE / NS_PER_S:
            seen.append(await stage.doors())
            await asyncio.sleep(PESTER_S)
        seen.append(await stage.covered())

    stage = play(scene, 8.5, tmp_path, None)
    assert stage.routers[RESTARTED].starts == 2
    assert len(seen) > 10
    for found in (found for one in seen for found in one.values()):
        assert view(found, "reporters") <= ROUTERS, found
        assert view(found, "fallbacks") == 0, found
        # 120 requests a second, counted over some 3.6 s: not twice that.
        assert found['lb_picture{of="requests"}'] < 600, found
    assert not any(changes(tmp_path).values())
