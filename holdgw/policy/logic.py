"""Every decision of the router, without I/O; the settings, events and actions are in interface.py.

Ordinary path: key -> slot -> the ready cache server with the highest weighted hash of (slot, server id);
a read that misses there -> the origin, if its tenant's Suppressor admits the fetch; a write -> the origin.
README.md gives the condition and the reason of every departure.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Mapping
from hashlib import blake2b
from heapq import nlargest
from itertools import takewhile
from operator import itemgetter
from typing import Generic, TypeVar
from zlib import crc32

from holdgw.policy import interface as api
from holdgw.policy.disabled_features import load_report_indexes
from holdgw.policy.interface import NS_PER_S, DedupScope, EndpointState, Idempotency, Outcome, UpdateKind
from holdgw.policy.slot_rebalancing import SlotRebalancer, gives

Key = TypeVar("Key", int, str)

SLOTS = 8192  # far more than servers, so that a slot's load is small beside a server's
DEPTH = 8  # ranked servers remembered for a slot: more than the attempts of any request
SPARE = 4  # and more, so that some may leave before all are ranked anew
CHANGES = 64  # comings and goings remembered; past that every slot is ranked anew when asked for
WORD = (1 << 64) - 1
HARD_LIMIT_FACTOR = 1.5  # the paper's recommendation
CHANCE_CACHED = NS_PER_S // 10  # the paper's default
WINDOW_CALLS = 8  # calls that a window should be able to hold at the generous limit
WINDOW_MIN_S, WINDOW_MAX_S = 5.0, 20.0  # long enough to count, short enough to forget a spike
# A busier tenant's window is shorter, for so many calls: after a cut it is over its limit for a part of it.
WINDOW_BUSY_CALLS, WINDOW_BUSY_S = 400, 1.5
UNSTATED_LIMIT = 1000.0  # generous start for all routers together where no quota is stated
CUT, RISE_S = 0.7, 15.0  # one cut's factor; seconds in which a used limit rises from nothing to its cap
HEAT_SHARE = 0.25  # part of a server's fair load that one slot may bring before it is spread
HEAT_MEMORY = 1024  # requests after which counts are halved: many servers' worth, yet seconds when busy
BAD_SAMPLES, BAD_SHARE = 8, 0.2  # smoothing of the share of bad fetches; two in a row, or one in five, cut
PASS_CUT, PASS_RISE, PASS_FLOOR = 0.7, 0.05, 0.05  # a chance: cut by a late answer, raised by a good one
FULL_CUT = 0.85  # the same by one that says full: it took next to nothing from the server
QUICK_AIM = 0.5  # a connection that breaks within that part of the aim has cost no time to speak of
PATIENCE_AIM, PATIENCE_PACE = 0.5, 5.0  # lost after that part of the aim, and of the usual time
BUDGET_SHARE, BUDGET_MOST = 0.01, 4.0  # of attempts may be taken for lost, and so many at once
LOST_PACE = 4.0  # an answer that is out for so many usual times, while others come, is lost
STRAIN = 0.1  # smoothed share of servers met that are over their load, past which nothing is sent twice
ALONE = 0.3  # the same, past which it is nothing of a server's own that it answers nothing
# What counts a server as dead, in a row: refused connections, resets, errors, attempts with no answer to
# anything meanwhile.
STRIKES, RESETS, ERRORS, MUTE = 3, 6, 4, 3
# A server's share of its slots falls with each request while its smoothed share of late, full or missing
# answers is over the first, and that of the next-ranked server under the second; it comes back in time.
BAD_ANSWERS, LEAN_BAD, LEAN_WELL = 32, 0.25, 0.1
LEAN, LEAN_FLOOR, LEAN_REGAIN = 1 / 16, 0.04, 20 * NS_PER_S
QUEUE_SLOTS = 4.0  # places that those who wait by a load report are taken to wait for
# Over its load by its report: past that part of the aim, and so many times the mean of all.
FULL_AIM, FULL_USUAL = 0.5, 1.6
SHED_RATE, SHED_MOST = 0.5, NS_PER_S  # of its slots a second, at twice that; a report speaks for so long
OWNERS_MORE = 2.0  # times its owners may a hot slot have while these are over their load by their reports
BOUND_AIM = 0.8  # a wait by its report, of the aim, past which a server is sent less in proportion
COLD_EXCESS = 0.42  # of the multiple at which it falls: what it can do is known by the others' load only
COLD_BURST = 2.0  # attempts that a cold server may be sent at once
MIN_SNAPSHOT_REQUESTS = 100.0  # from which many routers' shares of slots tell more than one's own
PRESSED_AIM = 0.3  # of the aim, a reported wait from which on a server gives up slots to be level with others
MAX_OWN_PART = 0.3  # of them its own, from which a router's own counts, which are whole, tell more
MAX_OBSERVED_SLOTS = 1024  # slots counted for other routers between two load reports
COLD_AHEAD = 0.5  # of a window's part, which all routers may send a cold server as they first hear of it
DONE_MEMORY = 10 * NS_PER_S  # longer than a burst that a cold server must not follow
ON_THE_WAY = NS_PER_S // 20  # from when a request is written until it is there, at most
ASK_MOST = 2 * NS_PER_S  # until discovery is asked again; 6 s later what it has counts as told
REGAIN = 60 * NS_PER_S  # time in which a chance comes back by itself, where answers are too few to bring it
DEAD = -0.02  # the chance after a refused connection: none for that part of REGAIN, then trials


class Node:
    """A ready server as this router sees it: own attempts out, and health as the chance to be sent to."""

    def __init__(self, entry: api.Endpoint, weighted: bool) -> None:
        self.entry, self.load = entry, 0
        self.usual_load = 0.0  # smoothed own attempts out when one more was sent
        self.weight = entry.weight if weighted else 1.0  # the list's, where that means size
        self.seed = int.from_bytes(blake2b(entry.id.encode(), digest_size=8).digest(), "big")
        self.down = False  # refuses connections, and no good answer since
        self._refused = 0  # connections in a row that never came up
        self._resets = 0  # connections that broke under a request since the last answer
        self._errors = 0  # errors in a row: one that answers nothing else is of no use, however quick
        self._mute = 0  # attempts in a row during which it answered nothing
        self.answered = 0  # when it last did
        self.pace = 0.0  # smoothed latency of answers
        self._chance, self._since = 1.0, 0
        self.bad = 0.0  # smoothed share of answers that are late, full or missing
        self.bound = math.inf  # of that, past which it is sent less
        # What an answer takes there by its last load report, and as of when.
        self.wait, self.told_at = 0.0, 0
        self.share, self._shared_at = 1.0, 0  # the part of its slots that it keeps, and as of when
        self.room, self.room_at = 0.0, 0  # attempts that it may be sent while cold, and as of when; 0: never

    def keeps(self, slot: int, now: int) -> bool:
        """Whether it keeps this slot; the same ones go first at every router, and come back last."""
        if self.share >= 1.0:
            return True
        if self.bad < LEAN_WELL:
            self.share = min(1.0, self.share + (now - self._shared_at) / LEAN_REGAIN)
        self._shared_at = now
        return not gives(slot, self.seed, self.share)

    def told(self, wait: float, most: float, now: int) -> None:
        """Take a load report: over its load a server gives up slots, by time and not by answers.

        Danger: of forty routers each meets a server twice in a second or less, and would count late answers
        for ten seconds until it knew; the report tells each of them at once what all of them do there. All
        let the same slots go at the same pace. It could do harm where reports lie: a server that says it is
        slow loses slots for as long.
        """
        self.wait = wait
        if wait > most:
            elapsed = min(now - self.told_at, SHED_MOST) / NS_PER_S
            self.share = max(
                self.share * math.exp(-SHED_RATE * min(wait / most - 1.0, 2.0) * elapsed), LEAN_FLOOR
            )
            self._shared_at = now
        self.told_at = now

    def lean(self, now: int) -> None:
        """Give up some of the slots: a request met it over its load, and another server could take it."""
        much = LEAN * (self.bad - LEAN_BAD)
        self.share, self._shared_at = max(self.share * (1.0 - much), LEAN_FLOOR), now

    def _regained(self, now: int) -> float:
        """The chance by what its answers told, come back by itself since."""
        return min(1.0, self._chance + (now - self._since) / REGAIN) if self._chance < 1.0 else 1.0

    def chance(self, now: int) -> float:
        """The chance now; 0 or less for a while after a refused connection."""
        chance = self._regained(now)
        if self.wait > self.bound and (wait := self.waits(now)) > self.bound:
            chance = min(chance, self.bound / wait)
        return chance

    def waits(self, now: int) -> float:
        """What an answer takes there by its last report, which says less with each second."""
        return self.wait * math.pow(0.5, (now - self.told_at) / NS_PER_S)

    def recall(self, learnt: api.EndpointHandover, now: int) -> None:
        """Go on from what another process found out."""
        self._chance, self._since, self.down = learnt.admission_probability, now, learnt.ejected
        self.share, self._shared_at, self.bad = learnt.slot_retention, now, learnt.failure_fraction
        self.pace, self.usual_load = learnt.latency_ns, learnt.usual_in_flight

    def judge(
        self,
        outcome: Outcome,
        late: bool,
        now: int,
        sent: int = 0,
        alone: bool = False,
        deserted: bool = False,
    ) -> None:
        """Learn from an attempt's end; `alone`: the other servers are well.

        Danger: connections that break are everyday (an idle close that crosses a request, a full table, a
        new one reset as it comes up), and a reset is often followed by one; to take them for a death sends
        a server's whole share to the origin. A dead process refuses every connection, and a machine that
        is gone, or a process that hangs, answers nothing at all. In a large fleet each of the routers would
        lose a request for every server that dies, three refusals long: hence one is enough where the server
        closed what rested before (`deserted`). It could do harm when so many servers are
        slow that ours get no answer: hence `alone`.
        """
        chance = self._regained(now)
        broke, mute = outcome in (Outcome.CONNECT_FAILED, Outcome.RESET), outcome is Outcome.TIMEOUT
        self._refused = self._refused + 1 if outcome is Outcome.CONNECT_FAILED else 0
        self._resets = (self._resets + (outcome is Outcome.RESET)) * broke
        self._errors = self._errors + 1 if outcome is Outcome.ERROR else 0
        self._mute = (self._mute + mute) * (self.answered <= sent)
        dead = self._refused >= STRIKES or deserted or self._resets >= RESETS
        dead = dead or self._errors >= ERRORS or (self._mute >= MUTE and alone)
        if dead or (self.down and (broke or mute)):
            chance, self.down = DEAD, True
        elif broke or (mute and (not late or (self._mute and alone))):
            pass  # the next ones tell
        elif late or mute or outcome is Outcome.OVERLOADED:
            chance = max(chance * (FULL_CUT if outcome is Outcome.OVERLOADED else PASS_CUT), PASS_FLOOR)
            self.bad += (1.0 - self.bad) / BAD_ANSWERS
        elif outcome in (Outcome.OK, Outcome.MISS):
            chance, self.down = min(1.0, chance + PASS_RISE), False
            self.bad -= self.bad / BAD_ANSWERS
        self._chance, self._since = chance, now


class SlotTable:
    """Weighted rendezvous hashing of slots over the ready servers, remembered slot by slot."""

    def __init__(self, settings: api.Settings) -> None:
        self.nodes: dict[str, Node] = {}
        self._settings = settings
        self._memo: dict[int, tuple[int, list[tuple[float, Node]]]] = {}  # with the changes it knows of
        self._changes: list[tuple[str, Node | None]] = []  # servers that left or, with a node, came
        self._cold_until = 0
        self.most = 1  # servers listed at a time, so far

    def update(self, ready: list[api.Endpoint], left: list[str]) -> None:
        """Take servers in and out; a slot hears of it when it is next asked for."""
        # Danger: to go through every slot for each newcomer takes a tenth of a second; all requests wait.
        changed = [e for e in ready if e.id not in self.nodes or self.nodes[e.id].entry != e]
        gone = {*left, *(entry.id for entry in changed)}
        self._changes += [(name, None) for name in gone if self.nodes.pop(name, None) is not None]
        for node in [Node(entry, self._settings.weights_state_capacity) for entry in changed]:
            self.nodes[node.entry.id] = node
            self._changes.append((node.entry.id, node))
        if len(self._changes) > CHANGES:
            self._memo, self._changes = {}, []
        self.most = max(self.most, len(self.nodes))
        newest = max((node.entry.started_ns for node in self.nodes.values()), default=0)
        self._cold_until = newest + self._settings.warm_up_ns

    def _score(self, slot: int, node: Node) -> float:
        mixed = (node.seed ^ (slot + 1) * 0x9E3779B97F4A7C15) * 0xD6E8FEB86659FD93 & WORD
        mixed = (mixed ^ mixed >> 32) * 0xD6E8FEB86659FD93 & WORD
        return -node.weight / math.log(((mixed ^ mixed >> 32) + 1) / (WORD + 2))

    def warmth(self, node: Node, now: int) -> float:
        """The part of its full weight that a server has: from the cold share to 1 over the warm-up."""
        age, cold, cold_time = (
            now - node.entry.started_ns,
            self._settings.warm_up_initial_weight,
            self._settings.warm_up_ns,
        )
        warm = not node.entry.started_ns or age >= cold_time
        return 1.0 if warm else cold + (1 - cold) * max(age, 0) / cold_time

    def any_cold(self, now: int) -> bool:
        """Whether some server may not be warm yet."""
        return now < self._cold_until

    def _catch_up(
        self, slot: int, held: list[tuple[float, Node]], changes: list[tuple[str, Node | None]]
    ) -> list[tuple[float, Node]]:
        for name, node in changes:
            if node is None:
                held = [pair for pair in held if pair[1].entry.id != name]
            elif held and (score := self._score(slot, node)) > held[-1][0]:
                held = sorted([*held, (score, node)], key=itemgetter(0), reverse=True)
        return held[: 2 * DEPTH + SPARE] if len(held) > 2 * DEPTH + SPARE else held

    def knows(self, slot: int) -> bool:
        """Whether the slot's ranking is remembered."""
        return slot in self._memo

    def rank(self, slot: int, now: int, depth: int = DEPTH) -> list[Node]:
        """The slot's best servers, at least `depth`, best first, with cold ones at their ramped weight."""
        known, held = self._memo.get(slot, (0, []))
        if known < len(self._changes):
            held = self._catch_up(slot, held, self._changes[known:]) if held else held
            self._memo[slot] = len(self._changes), held
        if len(held) < min(depth, len(self.nodes)):
            scored = ((self._score(slot, node), node) for node in self.nodes.values())
            held = nlargest(depth + SPARE, scored, key=itemgetter(0))
            self._memo[slot] = len(self._changes), held
        if self.any_cold(now):
            # Rule 4, for load and misses alike: a newcomer is given slots only as it warms.
            ramped = [(score * self.warmth(node, now), node) for score, node in held]
            held = sorted(ramped, key=itemgetter(0), reverse=True)
        return [node for _, node in held]


class Heat(Generic[Key]):
    """Each slot's (or tenant's) share of the requests seen lately, by counts halved now and then."""

    def __init__(self) -> None:
        self.counts: dict[Key, float] = {}
        self._total = 0.0

    def add(self, slot: Key) -> float:
        """Count a request; returns the slot's share of those before it."""
        count = self.counts.get(slot, 0.0)
        share = count / max(self._total, 1.0)
        self.counts[slot] = count + 1
        self._total += 1
        if self._total >= HEAT_MEMORY:
            self.counts = {slot: count / 2 for slot, count in self.counts.items() if count > 1}
            self._total = sum(self.counts.values())
        return share

    def recall(self, counts: Mapping[Key, float]) -> None:
        """Add what another process has counted."""
        for slot, count in counts.items():
            self.counts[slot] = self.counts.get(slot, 0.0) + count
        self._total += sum(counts.values())


class Suppressor:
    """One tenant's guard of the origin: sliding-window counts, three regimes, AIMD rate limit."""

    def __init__(self, tenant: api.Tenant, routers: int, rng: random.Random, workers: int = 1) -> None:
        self.weight, self.excess = tenant.weight, 1.0  # excess: (share of requests here / portion) squared
        self._whole = (tenant.quota_per_s or UNSTATED_LIMIT) / routers  # of the router, by all its workers
        self.cap = self.limit = self._whole / workers
        least = min(max(WINDOW_BUSY_CALLS / self.cap, WINDOW_BUSY_S), WINDOW_MIN_S)
        self.window_s = min(max(WINDOW_CALLS / self.cap, least), WINDOW_MAX_S)
        self.floor = min(1 / self.window_s, self.cap)  # one call a window: with none counted a fetch goes
        self._calls: deque[tuple[int, bool]] = deque()  # when, and whether declined
        self.declined = 0
        self._rng = rng
        self._chance, self._chance_until = 1.0, 0
        self._last_rise = 0

    def resize(self, share: float) -> None:
        """Have another part of the router's limit; what is cut of it stays cut in the same proportion."""
        cap = self._whole * share
        self.limit, self.floor = self.limit / self.cap * cap, min(1 / self.window_s, cap)
        self.cap = cap

    def count(self, now: int, declined: bool = False) -> None:
        """Count one call to the origin."""
        self._calls.append((now, declined))
        self.declined += declined

    def recall(self, limit: float, calls: tuple[tuple[int, bool], ...], now: int) -> None:
        """Go on from the limit and the window of another process; what was counted here meanwhile stays."""
        self.limit, self._last_rise = min(max(limit, self.floor), self.cap), now
        self._calls = deque(sorted((*calls, *self._calls)))
        self.declined = sum(declined for _, declined in self._calls)

    def accepted(self, now: int) -> int:
        """Calls of the window that went to the origin."""
        while self._calls and self._calls[0][0] <= now - self.window_s * NS_PER_S:
            self.declined -= self._calls.popleft()[1]
        return len(self._calls) - self.declined

    def admit(self, now: int) -> bool:
        """Decide on one fetch, and count it."""
        accepted, soft = self.accepted(now), self.window_s * self.limit
        over = len(self._calls) >= soft * HARD_LIMIT_FACTOR
        allowed = not (over and accepted >= soft)
        if allowed and self._calls and (over or accepted >= soft):
            # Departure: refusals alone that hold total at the hard limit would pin a tenant there, as
            # every retry counts anew; while accepted is under the soft limit the chance holds instead.
            allowed = self._rng.random() < self.chance(now)
        self.count(now, declined=not allowed)
        return allowed

    def chance(self, now: int) -> float:
        """The chance of a fetch between the limits: rate limit / perceived rate, cached, at most 1."""
        if now >= self._chance_until:
            self._chance_until = now + CHANCE_CACHED
            last = sum(1 for _ in takewhile(lambda call: call[0] > now - NS_PER_S, reversed(self._calls)))
            self._chance = min(1.0, self.limit / max(len(self._calls) / self.window_s, last))
        return self._chance

    def rise(self, now: int) -> None:
        """Additive rise after a good fetch, up to the cap, and only while the limit is in use."""
        if self.accepted(now) * 2 >= self.limit * self.window_s:
            idle = min((now - self._last_rise) / NS_PER_S, self.window_s)
            self.limit = min(self.cap, self.limit + self.cap / RISE_S * idle)
        self._last_rise = now

    def cut(self, now: int) -> None:
        """Multiplicative cut from what was really used, harder for a tenant over its portion."""
        self._last_rise = now
        used = min(self.limit, max(self.accepted(now), 1) / self.window_s)
        self.limit = max(self.floor, used * CUT ** min(max(self.excess, 0.5), 2.0))


class Request:
    """An open request; it lives on after its final answer until its attempt has ended."""

    def __init__(self, event: api.RequestArrived, cls: api.RequestClass, guard: Suppressor) -> None:
        self.id, self.key, self.deadline_ns, self.is_write = (
            event.request_id,
            event.key,
            event.deadline_ns,
            event.is_write,
        )
        self.cls, self.guard = cls, guard
        self.slot = self.sends = self.sent_at = 0
        self.share = 0.0  # its slot's share of the requests here
        self.failed: list[Node] = []
        self.node: Node | None = None
        self.ran: tuple[Node, int] | None = None  # the first attempt that may have run: where, when sent
        self.spared = False  # has been asked for again after an answer that stayed out
        self.lot = 0.0  # by which it is one of those that cold servers bear; 0: not drawn yet
        self.patience = 0  # after which the attempt that is out counts as lost; 0: not at all
        self.fetching = self.out = self.leads = self.waiting = self.done = self.streams = False

    def may_send(self, node: Node, now: int) -> bool:
        """Rule 2: what may have run goes out again only where and while its repeat is dropped."""
        if self.ran is None or self.cls.idempotency is Idempotency.IDEMPOTENT:
            return True
        here, there = node.entry, self.ran[0].entry
        if self.cls.idempotency is Idempotency.NOT_IDEMPOTENT or self.write_within(now) <= 0:
            return False
        if self.cls.dedup_scope is DedupScope.ALL:
            return True
        return here.zone == there.zone and (
            self.cls.dedup_scope is DedupScope.ZONE or here.cell == there.cell
        )

    def write_within(self, now: int) -> int:
        """How long a repeat may still be written for: it must be there while the first one is remembered.

        Danger: a repeat that is decided on in time may wait for a connection, and comes when the first one is
        forgotten. It happens twice then. It costs a class whose window is as short as a dial its repeats.
        """
        assert self.ran is not None
        return self.ran[1] + self.cls.dedup_window_ns - ON_THE_WAY - now

    def may_refuse(self) -> bool:
        """Rule 2: a refusal says that a further try is harmless."""
        keyed_anywhere = (
            self.cls.idempotency is Idempotency.IDEMPOTENCY_KEY and self.cls.dedup_scope is DedupScope.ALL
        )
        return self.ran is None or self.cls.idempotency is Idempotency.IDEMPOTENT or keyed_anywhere


class RoutingPolicy:
    """One router's decisions: feed it events with the time, carry out the actions it returns."""

    uses_load_reports = True
    """Whether the load reports in events make a difference."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self._settings = settings
        self._rng = random.Random(seed)
        self._classes = {cls.name: cls for cls in settings.classes}
        tenants = (*settings.tenants, api.Tenant("", 1.0))  # the last: requests of no known tenant
        self._guards = {
            tenant.name: Suppressor(tenant, settings.routers, self._rng, settings.workers)
            for tenant in tenants
        }
        self._caches, self._origins = SlotTable(settings), SlotTable(settings)
        self._heat, self._usage = Heat[int](), Heat[str]()  # by slot; by tenant
        self._requests: dict[str, Request] = {}
        self._flights: dict[str, list[Request]] = {}  # key whose fetch is out -> requests waiting for it
        aim = min(cls.latency_objective_ns for cls in settings.classes)
        self._origin_time = aim / 2  # smoothed time of good fetches
        self._width, self._last_cut = (
            math.inf,
            0,
        )  # most own attempts out at the origin before writes are held
        self._held: list[Request] = []  # writes waiting for one of them to end; the newest goes first
        self._strain = 0.0
        self._done, self._done_at = 0.0, 0  # caches' answers, fading, and as of when
        self._budget = BUDGET_MOST  # attempts that may be taken for lost by their time
        self._fields = load_report_indexes(settings.load_report_fields)
        self._aim = aim
        self._usual_wait = 0.0  # smoothed over the reports of all servers
        self._origin_bad = 0.0  # smoothed share of bad fetches
        self._origin_broke = 0  # its connections that broke since its last answer
        self._asking, self._failed_calls = False, 0
        self._shares: dict[int, float] | None = None  # of slots, as many routers see them
        self._levels = SlotRebalancer()
        self._observed_waits: dict[str, tuple[float, int]] = {}  # by server: its reported wait, and when
        self._slot_requests: dict[int, int] = {}  # for other routers
        self._now = self._began = 0  # the clock; at the first event
        self._actions: list[api.Action] = []
        self.rejections_by_reason: dict[str, int] = {}  # requests refused or failed, by the reason

    def handle(self, event: api.Event, now: int) -> list[api.Action]:
        """Take one event at clock time `now` and return the actions to carry out, in order."""
        self._now, self._actions = now, []
        self._began = self._began or now
        match event:
            case api.AttemptEnded():
                self._attempt_ended(event)
            case api.RequestArrived():
                self._arrived(event)
            case api.EndpointsChanged():
                self._servers_changed(event)
            case api.LimitSharesChanged():
                for tenant, share in event.shares.items():
                    if tenant in self._guards and share > 0:
                        self._guards[tenant].resize(share)
            case api.LoadSnapshotChanged():
                self._apply_load_snapshot(event)
            case api.StreamStarted() if event.request_id in self._requests:
                self._stream_started(self._requests[event.request_id])
            case api.TimerFired():
                self._timer(event.token)
            case api.RequestCancelled() if event.request_id in self._requests:
                self._finish(self._requests[event.request_id])
        return self._actions

    def ejected(self) -> list[str]:
        """The ready cache servers that are left out by choice, but for a trial now and then."""
        return [name for name, node in self._caches.nodes.items() if node.down]

    def metrics(self, now: int) -> dict[str, float]:
        """What the decisions go by now: limits in fetches a second, shares and counts of servers."""
        nodes = self._caches.nodes.values()
        return {
            **{f"limit {name}": guard.limit for name, guard in self._guards.items() if name},
            "width": -1.0 if math.isinf(self._width) else self._width,
            "origin bad": self._origin_bad,
            "strain": self._strain,
            "budget": self._budget,
            "down": sum(node.down for node in nodes),
            "shy": sum(node.chance(now) < 1.0 for node in nodes),
            "lean": sum(node.share < 1.0 for node in nodes),
        }

    def origin_demand(self, now: int) -> dict[str, float]:
        """Each tenant's calls for the origin a second, admitted or not."""
        for guard in self._guards.values():
            guard.accepted(now)
        return {name: len(guard._calls) / guard.window_s for name, guard in self._guards.items()}

    def handover_state(self, now: int) -> api.HandoverState:
        """What another process of this router may go on from."""
        for guard in self._guards.values():
            guard.accepted(now)
        return api.HandoverState(
            endpoints={
                name: api.EndpointHandover(
                    node.chance(now), node.down, node.share, node.bad, node.pace, node.usual_load
                )
                for name, node in self._caches.nodes.items()
            },
            tenants={
                name: api.TenantHandover(guard.limit, tuple(guard._calls))
                for name, guard in self._guards.items()
            },
            slot_popularity=dict(self._heat.counts),
            tenant_usage=dict(self._usage.counts),
            origin_latency_ns=self._origin_time,
            write_concurrency_limit=self._width,
            cache_answers=self._done * math.exp((self._done_at - now) / DONE_MEMORY),
        )

    def restore(self, learnt: api.HandoverState, now: int) -> None:
        """Go on from what another process of this router has learnt; unknown servers are passed over.

        Danger: to begin anew at the generous limits floods the origin at every upgrade, and to send a dying
        server its full share again costs its requests. It could do harm if what was learnt is long past:
        hence it comes from a process that lives, and fades as if it had been learnt here.
        """
        for name, server in learnt.endpoints.items():
            if (node := self._caches.nodes.get(name)) is not None:
                node.recall(server, now)
        for name, tenant in learnt.tenants.items():
            if (guard := self._guards.get(name)) is not None:
                guard.recall(tenant.rate_limit, tenant.calls, now)
        self._heat.recall(learnt.slot_popularity)
        self._usage.recall(learnt.tenant_usage)
        self._origin_time = learnt.origin_latency_ns or self._origin_time
        self._width = learnt.write_concurrency_limit or self._width
        if learnt.cache_answers:
            self._done, self._done_at = learnt.cache_answers, now
            self._began = now - 2 * DONE_MEMORY

    def _servers_changed(self, event: api.EndpointsChanged) -> None:
        if self._settings.subscription_required:
            self._keep_subscribed(event.kind)
        if event.kind is UpdateKind.FAILED:
            return
        ready = [entry for entry in event.endpoints if entry.state is EndpointState.READY]
        left = [entry.id for entry in event.endpoints if entry.state is not EndpointState.READY]
        for table, is_origin in ((self._caches, False), (self._origins, True)):
            mine = [e for e in ready if (e.kind == self._settings.origin_kind) == is_origin]
            unlisted = table.nodes.keys() - {e.id for e in mine} if event.kind is not UpdateKind.DELTA else ()
            table.update(mine, [*left, *unlisted])

    def _keep_subscribed(self, kind: UpdateKind) -> None:
        """Subscribe at the start and after every failure; jitter and back-off spare discovery."""
        if kind not in (UpdateKind.CACHED, UpdateKind.FAILED):
            self._failed_calls = 0
        elif not self._asking:
            self._asking = True
            # Danger: a change counts as told 6 s after discovery had it and could be reached, whatever failed
            # before: a longer pause alone would use that up.
            most = min(self._settings.poll_within_ns // 2, NS_PER_S << min(self._failed_calls, 8), ASK_MOST)
            self._failed_calls += kind is UpdateKind.FAILED
            self._actions.append(api.SetTimer(self._rng.randint(most // 4, most), "subscribe"))

    def _timer(self, token: str) -> None:
        if token == "subscribe":
            self._asking = False
            self._actions.append(api.Subscribe())
            return
        request = self._requests.get(token)
        if request and request.waiting and self._now >= request.deadline_ns:
            self._give_up(request, "time")
        elif request and request.waiting and request.is_write:
            self._fetch(request)

    def _arrived(self, event: api.RequestArrived) -> None:
        guard = self._guards.get(event.tenant or "", self._guards[""])
        request = Request(event, self._classes[event.request_class], guard)
        request.slot = self._rng.randrange(SLOTS) if event.key is None else crc32(event.key.encode()) % SLOTS
        self._requests[request.id] = request
        if request.is_write and self._settings.origin_kind is not None:
            self._fetch(request)
        else:
            request.share = self._heat.add(request.slot)
            if self._shares is not None:
                request.share = self._shares.get(request.slot, 0.0)
            if self._settings.gossip_allowed and len(self._slot_requests) < MAX_OBSERVED_SLOTS:
                self._slot_requests[request.slot] = self._slot_requests.get(request.slot, 0) + 1
            guard.excess = (self._usage.add(event.tenant or "") / max(guard.weight, 0.001)) ** 2
            self._route(request)

    def _send(self, request: Request, node: Node) -> None:
        request.sends += 1
        why = self._why(request, node)
        request.node, request.sent_at, request.out = node, self._now, True
        node.usual_load += (node.load - node.usual_load) / 32
        node.load += 1
        if not request.fetching:
            node.room -= 1
        request.patience = self._patience(request, node)
        bounded = request.ran is not None and request.cls.idempotency is Idempotency.IDEMPOTENCY_KEY
        within = request.write_within(self._now) if bounded else 0
        self._actions.append(api.SendAttempt(request.id, node.entry.id, request.patience, within, why))

    def _why(self, request: Request, node: Node) -> str:
        """What an attempt is made for, before it is noted."""
        if request.fetching:
            return "write" if request.is_write else "fetch"
        if node.down:
            return "trial"
        return "first" if request.sends == 1 else "again" if node is request.node else "next"

    def _patience(self, request: Request, node: Node) -> int:
        """Departure: how long an answer is waited for before it counts as lost on the way.

        A connection or a single request can fall silent while its server is well; the whole deadline would
        go by. The budget keeps this rare, so that slow servers do not get everything twice.
        """
        if request.spared or self._budget < 1 or request.sends + 2 > self._settings.max_attempts:
            return 0
        if not node.pace or node.chance(self._now) < 1.0 or self._strain > STRAIN:
            return 0  # not known to be well, or the others are not
        patience = int(max(request.cls.latency_objective_ns * PATIENCE_AIM, node.pace * PATIENCE_PACE))
        return patience if self._now + 2 * patience < request.deadline_ns else 0

    def _may_try(self, request: Request) -> bool:
        return request.sends < self._settings.max_attempts and self._now < request.deadline_ns

    def _route(self, request: Request) -> None:
        """Send to the slot's server; to the next-ranked one if that one has failed or is ejected."""
        if not self._may_try(request):
            self._give_up(request, "attempts or time")
            return
        candidates = self._candidates(request)
        keepers = [node for node in candidates if node.down or node.keeps(request.slot, self._now)]
        room = True
        for i, node in enumerate(keepers or candidates[:1]):
            if node in request.failed or not request.may_send(node, self._now):
                continue
            if self._caches.any_cold(self._now) and not (room := self._has_room(request, node, candidates)):
                continue
            # Danger: clients that give a try up early come again, and the server goes on with what nobody
            # waits for: all it does is late then, for as long as they come. It could do harm where a report
            # is too high: whoever waits longer goes there still, and brings a new one.
            left = request.deadline_ns - self._now
            if node.wait > left and node.waits(self._now) > left:
                self._give_up(request, "too late there")
                return
            self._strain += ((not node.down and node.chance(self._now) < 1.0) - self._strain) / 64
            chance = node.chance(self._now)
            if node.bad > LEAN_BAD and not node.down:
                self._lean(node, keepers[i + 1 :])
            # Tenants over their portion are shed first, those well within it last.
            # A server is shed where more than usual is out there, which is when its queue is long.
            crowd = min(0.25 + 0.75 * node.load / max(node.usual_load, 0.25), 2.0)
            if chance >= 1.0 or (
                chance > 0 and self._rng.random() < chance ** (request.guard.excess * crowd)
            ):
                self._send(request, node)
                return
            if not node.down:  # over its load: another server would miss, unless the slot moves for good
                self._give_up(request, "server")
                return
        if room:
            self._missed(request)
        else:  # only a cold server could take it, and that is why it can't
            self._give_up(request, "cold server")

    def _lean(self, node: Node, others: list[Node]) -> None:
        """Departure: a server over its load gives slots to the next-ranked, if that one is well.

        Danger: a server that is slow, or takes only so many a second, would have its keys refused for as
        long as it is so, beside idle servers. To send single requests on would miss each time; a slot that
        moves, the same one at every router, misses once. It should also catch a server that dies by
        degrees, and loads that slots of equal number share out unevenly. It could do harm when all are
        over their load: slots would wander, and miss; hence the other must be well.
        """
        other = next((other for other in others if not other.down), None)
        if other is not None and other.bad < LEAN_WELL:
            node.lean(self._now)

    def _candidates(self, request: Request) -> list[Node]:
        """Departure for hot keys: a slot too hot for one server is shared by the few ranked first."""
        ranking, owners = self._ranked(request.slot, request.share)
        if owners > 1:
            # Where they say that they are over their load, more of those ranked next take a part.
            over = sum(node.wait for node in ranking[:owners]) / owners / self._most_wait()
            if over > 1.0:
                owners = math.ceil(owners * min(over, OWNERS_MORE))
                ranking = self._caches.rank(request.slot, self._now, max(owners, DEPTH))
            return sorted(ranking[:owners], key=self._draw) + ranking[owners:]
        if taker := self._levels.taker(request.slot, ranking):
            return [ranking[taker], *ranking[:taker], *ranking[taker + 1 :]]
        return ranking

    def _has_room(self, request: Request, node: Node, others: list[Node]) -> bool:
        """Departure: whether a cold server may be sent one more, by its warmth and what others usually get.

        Danger: a burst, or a hot key whose slot falls to a newcomer, pushes it over at once, long before it
        answers late; the next-ranked, who held the slot until then, still has the key. It could do harm
        where the load rises for good while servers are cold: they take their part of it some seconds later.
        Where all are cold nobody else has the keys, and what they usually get is not known: each request goes
        by chance then, so that all routers together send the part of what is asked that cold servers bear.
        """
        warmth = self._caches.warmth(node, self._now)
        if warmth >= 1.0:
            return True
        bears = warmth * self._settings.warm_up_overload_factor * COLD_EXCESS
        if all(self._caches.warmth(other, self._now) < 1.0 for other in others):
            # Danger: all that is asked comes to the few that a list names first when everything starts anew.
            request.lot = request.lot or self._rng.random()
            return request.lot < bears * len(self._caches.nodes) / self._caches.most
        # Danger: each worker of a router would spend the bound anew. So one of them has all of it, always the
        # same one for a server; to the others a cold server has no room, and the next-ranked has the key.
        # Danger: what is sent tells less of what servers can do than what they answer. In a storm a request
        # comes four times, and a cold server would be sent its part of that.
        now, workers = self._now, self._settings.workers
        pace = self._usual(now) * bears * workers
        if node.seed % workers != self._settings.worker_index:
            return False
        if not node.room_at:
            # Danger: were each router to begin with a whole attempt or two, hundreds would send a cold
            # server more at once than it bears. A part, drawn, keeps their sum at the pace from the first.
            # One that has just started itself knows too little for that, and is asked too little to do harm.
            ahead = pace * COLD_AHEAD * self._settings.warm_up_overload_window_ns
            node.room = self._rng.random() + ahead if now - self._began > DONE_MEMORY else COLD_BURST
            node.room_at = now
        node.room, node.room_at = min(COLD_BURST, node.room + pace * (now - node.room_at)), now
        return node.room >= 1.0

    def _usual(self, now: int) -> float:
        """Answers a nanosecond of a cache server to this router, as of lately."""
        heard = -math.expm1(min(self._began - now, -NS_PER_S) / DONE_MEMORY)  # the part that is counted yet
        return self._done / heard / DONE_MEMORY / len(self._caches.nodes)

    def _draw(self, node: Node) -> tuple[float, float]:
        """Fewest own attempts out for its weight; ties by a lottery in proportion to the weights."""
        weight = node.weight * self._caches.warmth(node, self._now)
        weight /= max(node.wait, self._usual_wait / 2, 1.0)
        return node.load, self._rng.expovariate(1.0) / weight

    def _missed(self, request: Request) -> None:
        """Fetch, unless this router's fetch of the key is out: then wait for what it stores."""
        flight = None if request.key is None else self._flights.get(request.key)
        if flight is None or request.is_write:
            self._fetch(request)
        else:
            flight.append(request)
            self._wait(request, request.deadline_ns - self._now)

    def _fetch(self, request: Request, again: bool = False) -> None:
        """Ask the origin, if it may be; `again`: for a call that is admitted and counted already."""
        request.waiting = False
        origins = self._origins.rank(request.slot, self._now)
        if not origins or not self._may_try(request) or not request.may_send(origins[0], self._now):
            self._give_up(request, "no origin or attempt")
            return
        if (
            request.is_write and origins[0].load >= self._width
        ):  # held, for more would only queue at the origin
            self._held.append(request)
            self._wait(request, request.deadline_ns - self._now)
            return
        if request.is_write:
            request.guard.count(self._now)
        elif not again and not request.guard.admit(self._now):
            self._give_up(request, "origin limit")
            return
        if request.key is not None and not request.is_write and not request.leads:
            self._flights[request.key] = []
            request.leads = True
        request.fetching = True
        self._send(request, origins[0])

    def _stream_started(self, request: Request) -> None:
        """The server has done its work; how long the value takes from here is the client's and the line's.

        Danger: a client that reads slowly would count as load of its server, and of the origin, for seconds,
        and those who wait for the same key's fetch would wait for its last byte too.
        """
        if request.node is not None and request.out and not request.streams:
            request.streams = True
            request.node.load -= 1
            if request.leads:
                self._land(request, stored=True)

    def _attempt_ended(self, event: api.AttemptEnded) -> None:
        request = self._requests.get(event.request_id)
        if request is None or request.node is None:
            return
        node, fetched, outcome = request.node, request.fetching, event.outcome
        request.out = request.fetching = False
        node.load -= not request.streams
        request.streams = False
        took = event.latency_ns - event.queued_ns
        late = took > request.cls.latency_objective_ns
        # Danger: the first request on a connection bears the cost of setting it up, most of all across zones.
        # To take that for load sheds a well server, whenever connections are short-lived. It could do harm
        # where all are so short-lived that no other answer comes: then only twice the aim tells.
        unsure = event.first_on_connection and took <= 2 * request.cls.latency_objective_ns
        lost = outcome in (Outcome.MALFORMED, Outcome.RESET)
        broke = outcome in (Outcome.CONNECT_FAILED, Outcome.RESET)
        quick = broke and event.latency_ns <= request.cls.latency_objective_ns * QUICK_AIM
        # Danger: what was called off unwritten, or was no attempt at all, is no word of a server. Taken for
        # one, it clears the count of what a dead one refused. No harm: it says nothing either way.
        told = outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT)
        if outcome is Outcome.TIMEOUT:
            early = bool(request.patience) and self._now < request.deadline_ns
            self._budget -= early
            lost = early or self._vanished(node, request, took)
            if lost and not early:
                self._budget = min(BUDGET_MOST, self._budget + 1)
        elif told and not broke:
            node.answered = self._now
        if outcome in (Outcome.OK, Outcome.MISS):
            # A prompt answer to what was asked again shows that the first one was lost.
            proof = request.spared and took <= request.cls.latency_objective_ns * PATIENCE_AIM
            self._budget = min(BUDGET_MOST, self._budget + (1.0 if proof else BUDGET_SHARE))
            if not event.first_on_connection:
                node.pace += (took - node.pace) / 16 if node.pace else took
            if not fetched:
                self._done = self._done * math.exp((self._done_at - self._now) / DONE_MEMORY) + 1
                self._done_at = self._now
        if not fetched and event.load_report is not None and self._fields is not None:
            self._told(node, event.load_report)
        if fetched:
            self._judge_fetch(node, event, late and not unsure, lost)
        elif told:
            # A time-out before the deadline is one of our own patience, and no sign of load.
            slow = not lost if outcome is Outcome.TIMEOUT else late and not unsure
            alone = self._strain <= ALONE
            node.judge(outcome, slow, self._now, request.sent_at, alone, event.idle_connections_closed)
        if not outcome.has_no_effect and request.ran is None:
            request.ran = node, request.sent_at
        if event.request_answered or request.done:
            self._finish(request, stored=fetched and outcome is Outcome.OK)
        elif outcome is Outcome.MISS and not fetched and self._settings.origin_kind is not None:
            self._missed(request)
        elif quick or (lost and not request.spared):
            request.spared = request.spared or not quick
            self._lost_on_the_way(request, event, fetched)
        elif fetched:
            self._fetch_failed(request, outcome)
        else:
            request.failed.append(node)
            self._route(request)

    def _told(self, node: Node, load: tuple[float, ...]) -> None:
        """Take a server's load report, which tells of the whole fleet's load on it."""
        assert self._fields is not None
        latency, queue = load[self._fields[0]], load[self._fields[1]]
        wait = latency * 1e6 * (1.0 + queue / QUEUE_SLOTS)
        if self._settings.gossip_allowed:
            self._observed_waits[node.entry.id] = wait, self._now
        self._heard(node, wait, self._now)

    def _heard(self, node: Node, wait: float, at: int) -> None:
        """A server's wait, by its own report or by what others were told, as of then."""
        self._usual_wait += (wait - self._usual_wait) / 32 if self._usual_wait else wait
        node.bound = self._aim * BOUND_AIM
        node.told(wait, self._most_wait(), at)

    def _apply_load_snapshot(self, event: api.LoadSnapshotChanged) -> None:
        """Take the load view of many routers: waits newer than those held, and shares that rest on enough.

        One router of two hundred sees a hot key once in ten seconds, too seldom to find it alone. Other
        routers' reports may be false or old: a server's own report to this router overrides older samples,
        reachability is judged by own attempts alone, and shares of too few requests are ignored.
        """
        for name, (wait, age) in event.response_times.items():
            node, at = self._caches.nodes.get(name), self._now - age
            if node is not None and at > node.told_at:
                self._heard(node, wait, at)
        # The view names the most frequent slots alone, and undercounts each: a router with a large part of
        # all requests would spread hot keys less by it than by its own counts, which it uses instead.
        enough = (
            event.sampled_requests >= MIN_SNAPSHOT_REQUESTS
            and event.own_requests < MAX_OWN_PART * event.sampled_requests
        )
        self._shares = event.slot_shares if enough else None
        self._levels.take(event.slot_shares if enough else {}, event.sampled_requests * enough, self._now)
        nodes = list(self._caches.nodes.values())
        cold: set[int] = set()
        if self._caches.any_cold(self._now):
            cold = {node.seed for node in nodes if self._caches.warmth(node, self._now) < 1.0}
        self._levels.plan(self._ranked, self._caches.knows, nodes, cold, self._now, self._aim * PRESSED_AIM)

    def _ranked(self, slot: int, share: float) -> tuple[list[Node], int]:
        """The servers ranked for a slot, and how many have it with such a share of the requests."""
        owners = max(math.ceil(share * len(self._caches.nodes) / HEAT_SHARE), 1)
        return self._caches.rank(slot, self._now, max(owners, DEPTH)), owners

    def take_observations(self) -> tuple[dict[str, tuple[float, int]], dict[int, int]]:
        """What this router observed since the last call, for others: servers' waits, requests by slot."""
        observed = self._observed_waits, self._slot_requests
        self._observed_waits, self._slot_requests = {}, {}
        return observed

    def rebalancing_metrics(self) -> dict[str, float]:
        """How many servers give slots up and take some, and the least part that one keeps."""
        return self._levels.state()

    def _most_wait(self) -> float:
        """The reported wait past which a server is over its load."""
        return max(self._aim * FULL_AIM, self._usual_wait * FULL_USUAL)

    def _vanished(self, node: Node, request: Request, took: int) -> bool:
        """Whether an answer that never came was lost on the way, and says nothing of its server's load.

        Danger: a connection or a single request can fall silent at a well server, and to shed the server for
        it refuses a hundred times what was lost. A server over its load answers others late, which tells by
        itself, so it could do harm only where one kind of request is slow: its lateness then tells nothing.
        """
        usual = (
            0 < node.pace * LOST_PACE < took and node.pace < request.cls.latency_objective_ns * PATIENCE_AIM
        )
        return usual and node.answered > request.sent_at

    def _judge_fetch(self, node: Node, event: api.AttemptEnded, late: bool, lost: bool) -> None:
        """Rise while the origin answers well; on failures cut the tenants over their portion first.

        Danger: a broken connection, or an answer that was lost, is no sign of load. To cut for it starves
        every tenant while the origin is idle, and what is not fetched is missed anew. It could do harm with
        an origin that resets what it can't take: hence so many in a row, with no answer between, do count.
        """
        broke = event.outcome in (Outcome.CONNECT_FAILED, Outcome.RESET)
        self._origin_broke = self._origin_broke + 1 if broke else 0
        if (broke or lost) and self._origin_broke < RESETS:
            pass
        elif event.outcome is Outcome.OK and not late:
            self._origin_bad -= self._origin_bad / BAD_SAMPLES
            self._origin_time += (event.latency_ns - self._origin_time) / 16
            self._width += 1 / self._width
            for guard in self._guards.values():
                guard.rise(self._now)
        elif late or event.outcome not in (Outcome.NOT_SENT, Outcome.CANCELLED, Outcome.TIMEOUT):
            # A time-out that is not late had too little time left: not the origin's fault.
            self._origin_bad += (1 - self._origin_bad) / BAD_SAMPLES
            # A lone bad fetch is chance (a heavy tail), and one round-trip's bad fetches are one sign.
            if self._origin_bad >= BAD_SHARE and self._now - self._last_cut >= self._origin_time:
                self._last_cut = self._now
                self._width = max(1.0, min(self._width, node.load + 1) * CUT)
                for guard in self._guards.values():  # the origin is shared: it speaks for all
                    guard.cut(self._now)
        origins = self._origins.rank(0, self._now)
        # Danger: the origin of this fetch may have been listed anew since, and a write that goes by its
        # load would be held again for the new one's, for ever.
        while self._held and (not origins or origins[0].load < self._width):
            waiter = self._held.pop()
            if waiter.waiting:
                self._fetch(waiter)

    def _lost_on_the_way(self, request: Request, event: api.AttemptEnded, fetched: bool) -> None:
        """Departure: what was lost with its connection is asked for again where it was sent.

        The slot's server still holds the key, where the next-ranked one would miss and cost a fetch; a
        write's repeat is dropped there. A fetch that broke before its answer began has stored nothing, and
        goes out again as the same call; what answered otherwise is by now stored where it missed. A quick
        break is bounded by the attempts and by the server's being left out, and has cost nothing; all else
        is asked for once more. It could do harm to a server that breaks what overloads it: it gets a read
        up to four times, until six in a row leave it out.
        """
        if not fetched:
            self._route(request)
        elif request.is_write and event.outcome is Outcome.CONNECT_FAILED:
            self._fetch_failed(request, event.outcome)  # it can wait, and an origin that restarts needs time
        elif request.is_write or (
            event.outcome in (Outcome.CONNECT_FAILED, Outcome.RESET) and not event.response_started
        ):
            self._fetch(request, again=True)
        else:
            if request.leads:
                self._land(request, stored=True)
            self._route(request)

    def _fetch_failed(self, request: Request, outcome: Outcome) -> None:
        """A write is tried again after a pause; a read is the client's to retry, to spare the origin."""
        pause = int(self._origin_time * self._rng.uniform(0.5, 1.5))
        if request.is_write and self._now + pause < request.deadline_ns and outcome is not Outcome.TIMEOUT:
            self._wait(request, pause)
        else:
            self._give_up(request, "fetch failed")

    def _land(self, request: Request, stored: bool) -> None:
        """End a flight: its waiters ask the cache again, or one of them fetches in the leader's place."""
        request.leads = False
        for waiter in self._flights.pop(request.key or "", ()):
            if not waiter.done:
                waiter.waiting = False
                (self._route if stored else self._missed)(waiter)

    def _wait(self, request: Request, delay: int) -> None:
        request.waiting = True
        self._actions.append(api.SetTimer(delay, request.id))

    def _give_up(self, request: Request, why: str) -> None:
        self.rejections_by_reason[why] = self.rejections_by_reason.get(why, 0) + 1
        if request.may_refuse():
            wait = int(self._rng.uniform(0.5, 1.0) * self._settings.max_retry_after_ns)
            self._actions.append(api.Reject(request.id, wait if self._settings.retry_after_allowed else 0))
        else:
            self._actions.append(api.Fail(request.id))
        self._finish(request)

    def _finish(self, request: Request, stored: bool = False) -> None:
        request.done, request.waiting = True, False
        if not request.out:
            del self._requests[request.id]
        if request.leads:
            self._land(request, stored)
