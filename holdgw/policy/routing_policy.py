"""Every decision of the router, without I/O or clock: events in, actions out."""

from __future__ import annotations

import math
import random
from zlib import crc32

from holdgw.policy.actions import Action, AttemptPurpose, Fail, Reject, SendAttempt, SetTimer, Subscribe
from holdgw.policy.disabled_features import load_report_indexes
from holdgw.policy.endpoint_health import (
    DONOR_FAILURE_FRACTION,
    MAX_CONSECUTIVE_RESETS,
    RECEIVER_FAILURE_FRACTION,
    TrackedEndpoint,
)
from holdgw.policy.endpoints import EndpointsChanged, EndpointState, UpdateKind
from holdgw.policy.events import (
    AttemptEnded,
    Event,
    LimitSharesChanged,
    LoadSnapshotChanged,
    Outcome,
    RequestArrived,
    RequestCancelled,
    StreamStarted,
    TimerFired,
)
from holdgw.policy.handover_state import EndpointHandover, HandoverState, TenantHandover
from holdgw.policy.hot_keys import PopularityCounter
from holdgw.policy.origin_limiter import CUT, OriginLimiter
from holdgw.policy.pending_request import PendingRequest
from holdgw.policy.settings import Idempotency, Settings, Tenant
from holdgw.policy.slot_rebalancing import SlotRebalancer
from holdgw.policy.slot_table import RANKING_DEPTH, SLOTS, SlotTable
from holdgw.policy.units import NS_PER_S

HEAT_SHARE = 0.25  # part of a server's fair load that one slot may bring before it is spread
BAD_SAMPLES = 8  # smoothing of the share of bad fetches
BAD_SHARE = 0.2  # two in a row, or one in five, cut
QUICK_AIM = 0.5  # a connection that breaks within that part of the aim has cost no time to speak of
PATIENCE_AIM = 0.5  # lost after that part of the aim
PATIENCE_PACE = 5.0  # and of the usual time
BUDGET_SHARE = 0.01  # of attempts may be taken for lost
BUDGET_MOST = 4.0  # and so many at once
LOST_PACE = 4.0  # an answer that is out for so many usual times, while others come, is lost
STRAIN = 0.1  # smoothed share of servers met that are over their load, past which nothing is sent twice
ALONE = 0.3  # the same, past which it is nothing of a server's own that it answers nothing
QUEUE_SLOTS = 4.0  # places that those who wait by a load report are taken to wait for
# Over its load by its report: past that part of the aim, and so many times the mean of all.
FULL_AIM = 0.5
FULL_USUAL = 1.6
OWNERS_MORE = 2.0  # times its owners may a hot slot have while these are over their load by their reports
BOUND_AIM = 0.8  # a wait by its report, of the aim, past which a server is sent less in proportion
COLD_EXCESS = 0.42  # of the multiple at which it falls: what it can do is known by the others' load only
COLD_BURST = 2.0  # attempts that a cold server may be sent at once
MIN_SNAPSHOT_REQUESTS = 100.0  # from which many routers' shares of slots tell more than one's own
PRESSED_AIM = 0.3  # of the aim, a reported wait from which on a server gives up slots to be level with others
MAX_OWN_PART = 0.3  # of them its own, from which a router's own counts, which are complete, tell more
MAX_OBSERVED_SLOTS = 1024  # slots counted for other routers between two load reports
COLD_AHEAD = 0.5  # of a window's part, which all routers may send a cold server as they first hear of it
DONE_MEMORY = 10 * NS_PER_S  # longer than a burst that a cold server must not follow
ASK_MOST = 2 * NS_PER_S  # until discovery is asked again; 6 s later what it has counts as told


class RoutingPolicy:
    """One router's decisions: feed it events with the time, carry out the actions it returns."""

    uses_load_reports = True
    """Whether the load reports in events make a difference."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self._settings = settings
        self._rng = random.Random(seed)
        self._classes = {cls.name: cls for cls in settings.classes}
        tenants = (*settings.tenants, Tenant("", 1.0))  # the last: requests of no known tenant
        self._guards = {
            tenant.name: OriginLimiter(tenant, settings.routers, self._rng, settings.workers)
            for tenant in tenants
        }
        self._caches, self._origins = SlotTable(settings), SlotTable(settings)
        self._slot_popularity, self._tenant_usage = (
            PopularityCounter[int](),
            PopularityCounter[str](),
        )  # by slot; by tenant
        self._requests: dict[str, PendingRequest] = {}
        self._flights: dict[
            str, list[PendingRequest]
        ] = {}  # key whose fetch is out -> requests waiting for it
        aim = min(cls.latency_objective_ns for cls in settings.classes)
        self._origin_time = aim / 2  # smoothed time of good fetches
        self._width, self._last_cut = (
            math.inf,
            0,
        )  # most own attempts out at the origin before writes are held
        self._held: list[PendingRequest] = []  # writes waiting for one of them to end; the newest goes first
        self._overloaded_fraction = 0.0
        self._cache_answers, self._cache_answers_at_ns = 0.0, 0  # caches' answers, fading, and as of when
        self._budget = BUDGET_MOST  # attempts that may be taken for lost by their time
        self._load_report_indexes = load_report_indexes(settings.load_report_fields)
        self._aim = aim
        self._usual_response_time_ns = 0.0  # smoothed over the reports of all servers
        self._origin_bad = 0.0  # smoothed share of bad fetches
        self._origin_broke = 0  # its connections that broke since its last answer
        self._asking, self._failed_calls = False, 0
        self._shared_popularity: dict[int, float] | None = None  # of slots, as many routers see them
        self._rebalancer = SlotRebalancer()
        self._observed_response_times: dict[
            str, tuple[float, int]
        ] = {}  # by server: its reported wait, and when
        self._slot_requests: dict[int, int] = {}  # for other routers
        self._now = self._started_at_ns = 0  # the clock; at the first event
        self._actions: list[Action] = []
        self.rejections_by_reason: dict[str, int] = {}  # requests refused or failed, by the reason

    def handle(self, event: Event, now: int) -> list[Action]:
        """Take one event at clock time `now` and return the actions to carry out, in order."""
        self._now, self._actions = now, []
        self._started_at_ns = self._started_at_ns or now
        match event:
            case AttemptEnded():
                self._attempt_ended(event)
            case RequestArrived():
                self._arrived(event)
            case EndpointsChanged():
                self._servers_changed(event)
            case LimitSharesChanged():
                for tenant, share in event.shares.items():
                    if tenant in self._guards and share > 0:
                        self._guards[tenant].resize(share)
            case LoadSnapshotChanged():
                self._apply_load_snapshot(event)
            case StreamStarted() if event.request_id in self._requests:
                self._stream_started(self._requests[event.request_id])
            case TimerFired():
                self._timer(event.token)
            case RequestCancelled() if event.request_id in self._requests:
                self._finish(self._requests[event.request_id])
        return self._actions

    def ejected(self) -> list[str]:
        """The ready cache servers that are left out by choice, but for a trial now and then."""
        return [name for name, node in self._caches.endpoints.items() if node.ejected]

    def metrics(self, now: int) -> dict[str, float]:
        """What the decisions go by now: limits in fetches a second, shares and counts of servers."""
        nodes = self._caches.endpoints.values()
        return {
            **{f"limit {name}": guard.limit for name, guard in self._guards.items() if name},
            "width": -1.0 if math.isinf(self._width) else self._width,
            "origin bad": self._origin_bad,
            "strain": self._overloaded_fraction,
            "budget": self._budget,
            "down": sum(node.ejected for node in nodes),
            "shy": sum(node.admission_probability(now) < 1.0 for node in nodes),
            "lean": sum(node.slot_retention < 1.0 for node in nodes),
        }

    def origin_demand(self, now: int) -> dict[str, float]:
        """Each tenant's calls for the origin a second, admitted or not."""
        for guard in self._guards.values():
            guard.accepted(now)
        return {name: len(guard._calls) / guard.window_s for name, guard in self._guards.items()}

    def handover_state(self, now: int) -> HandoverState:
        """What another process of this router may go on from."""
        for guard in self._guards.values():
            guard.accepted(now)
        return HandoverState(
            endpoints={
                name: EndpointHandover(
                    node.admission_probability(now),
                    node.ejected,
                    node.slot_retention,
                    node.failure_fraction,
                    node.latency_ns,
                    node.usual_in_flight,
                )
                for name, node in self._caches.endpoints.items()
            },
            tenants={
                name: TenantHandover(guard.limit, tuple(guard._calls)) for name, guard in self._guards.items()
            },
            slot_popularity=dict(self._slot_popularity.counts),
            tenant_usage=dict(self._tenant_usage.counts),
            origin_latency_ns=self._origin_time,
            write_concurrency_limit=self._width,
            cache_answers=self._cache_answers * math.exp((self._cache_answers_at_ns - now) / DONE_MEMORY),
        )

    def restore(self, learnt: HandoverState, now: int) -> None:
        """Go on from what another process of this router has learnt; unknown servers are passed over.

        Danger: to begin anew at the generous limits floods the origin at every upgrade, and to send a dying
        server its full share again costs its requests. It could do harm if what was learnt is long past:
        hence it comes from a process that lives, and fades as if it had been learnt here.
        """
        for name, server in learnt.endpoints.items():
            if (node := self._caches.endpoints.get(name)) is not None:
                node.restore(server, now)
        for name, tenant in learnt.tenants.items():
            if (guard := self._guards.get(name)) is not None:
                guard.recall(tenant.rate_limit, tenant.calls, now)
        self._slot_popularity.restore(learnt.slot_popularity)
        self._tenant_usage.restore(learnt.tenant_usage)
        self._origin_time = learnt.origin_latency_ns or self._origin_time
        self._width = learnt.write_concurrency_limit or self._width
        if learnt.cache_answers:
            self._cache_answers, self._cache_answers_at_ns = learnt.cache_answers, now
            self._started_at_ns = now - 2 * DONE_MEMORY

    def _servers_changed(self, event: EndpointsChanged) -> None:
        if self._settings.subscription_required:
            self._keep_subscribed(event.kind)
        if event.kind is UpdateKind.FAILED:
            return
        ready = [entry for entry in event.endpoints if entry.state is EndpointState.READY]
        left = [entry.id for entry in event.endpoints if entry.state is not EndpointState.READY]
        for table, is_origin in ((self._caches, False), (self._origins, True)):
            mine = [e for e in ready if (e.kind == self._settings.origin_kind) == is_origin]
            unlisted = (
                table.endpoints.keys() - {e.id for e in mine} if event.kind is not UpdateKind.DELTA else ()
            )
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
            self._actions.append(SetTimer(self._rng.randint(most // 4, most), "subscribe"))

    def _timer(self, token: str) -> None:
        if token == "subscribe":
            self._asking = False
            self._actions.append(Subscribe())
            return
        request = self._requests.get(token)
        if request and request.waiting and self._now >= request.deadline_ns:
            self._give_up(request, "time")
        elif request and request.waiting and request.is_write:
            self._fetch(request)

    def _arrived(self, event: RequestArrived) -> None:
        guard = self._guards.get(event.tenant or "", self._guards[""])
        request = PendingRequest(event, self._classes[event.request_class], guard)
        request.slot = self._rng.randrange(SLOTS) if event.key is None else crc32(event.key.encode()) % SLOTS
        self._requests[request.id] = request
        if request.is_write and self._settings.origin_kind is not None:
            self._fetch(request)
        else:
            request.slot_popularity = self._slot_popularity.add(request.slot)
            if self._shared_popularity is not None:
                request.slot_popularity = self._shared_popularity.get(request.slot, 0.0)
            if self._settings.gossip_allowed and len(self._slot_requests) < MAX_OBSERVED_SLOTS:
                self._slot_requests[request.slot] = self._slot_requests.get(request.slot, 0) + 1
            guard.excess = (self._tenant_usage.add(event.tenant or "") / max(guard.weight, 0.001)) ** 2
            self._route(request)

    def _send(self, request: PendingRequest, node: TrackedEndpoint) -> None:
        request.sends += 1
        purpose = self._purpose(request, node)
        request.node, request.sent_at, request.out = node, self._now, True
        node.usual_in_flight += (node.in_flight - node.usual_in_flight) / 32
        node.in_flight += 1
        if not request.fetching:
            node.warm_up_tokens -= 1
        request.patience = self._patience(request, node)
        bounded = request.ran is not None and request.cls.idempotency is Idempotency.IDEMPOTENCY_KEY
        within = request.write_within(self._now) if bounded else 0
        self._actions.append(SendAttempt(request.id, node.entry.id, request.patience, within, purpose))

    def _purpose(self, request: PendingRequest, node: TrackedEndpoint) -> AttemptPurpose:
        """What an attempt is made for, before it is noted."""
        if request.fetching:
            return AttemptPurpose.WRITE if request.is_write else AttemptPurpose.FETCH
        if node.ejected:
            return AttemptPurpose.TRIAL
        if request.sends == 1:
            return AttemptPurpose.FIRST
        return AttemptPurpose.SAME_ENDPOINT if node is request.node else AttemptPurpose.NEXT_ENDPOINT

    def _patience(self, request: PendingRequest, node: TrackedEndpoint) -> int:
        """Departure: how long an answer is waited for before it counts as lost on the way.

        A connection or a single request can fall silent while its server is well; the whole deadline would
        go by. The budget keeps this rare, so that slow servers do not get everything twice.
        """
        if request.spared or self._budget < 1 or request.sends + 2 > self._settings.max_attempts:
            return 0
        if (
            not node.latency_ns
            or node.admission_probability(self._now) < 1.0
            or self._overloaded_fraction > STRAIN
        ):
            return 0  # not known to be well, or the others are not
        patience = int(max(request.cls.latency_objective_ns * PATIENCE_AIM, node.latency_ns * PATIENCE_PACE))
        return patience if self._now + 2 * patience < request.deadline_ns else 0

    def _may_try(self, request: PendingRequest) -> bool:
        return request.sends < self._settings.max_attempts and self._now < request.deadline_ns

    def _route(self, request: PendingRequest) -> None:
        """Send to the slot's server; to the next-ranked one if that one has failed or is ejected."""
        if not self._may_try(request):
            self._give_up(request, "attempts or time")
            return
        candidates = self._candidates(request)
        keepers = [node for node in candidates if node.ejected or node.retains(request.slot, self._now)]
        room = True
        for i, node in enumerate(keepers or candidates[:1]):
            if node in request.failed or not request.may_send(node, self._now):
                continue
            if self._caches.any_warming_up(self._now) and not (
                room := self._has_warm_up_capacity(request, node, candidates)
            ):
                continue
            # Danger: clients that give a try up early come again, and the server goes on with what nobody
            # waits for: all it does is late then, for as long as they come. It could do harm where a report
            # is too high: whoever waits longer goes there still, and brings a new one.
            left = request.deadline_ns - self._now
            if node.reported_response_time_ns > left and node.expected_response_time_ns(self._now) > left:
                self._give_up(request, "too late there")
                return
            self._overloaded_fraction += (
                (not node.ejected and node.admission_probability(self._now) < 1.0) - self._overloaded_fraction
            ) / 64
            chance = node.admission_probability(self._now)
            if node.failure_fraction > DONOR_FAILURE_FRACTION and not node.ejected:
                self._release_slots(node, keepers[i + 1 :])
            # Tenants over their portion are shed first, those well within it last.
            # A server is shed where more than usual is out there, which is when its queue is long.
            crowd = min(0.25 + 0.75 * node.in_flight / max(node.usual_in_flight, 0.25), 2.0)
            if chance >= 1.0 or (
                chance > 0 and self._rng.random() < chance ** (request.guard.excess * crowd)
            ):
                self._send(request, node)
                return
            if not node.ejected:  # over its load: another server would miss, unless the slot moves for good
                self._give_up(request, "server")
                return
        if room:
            self._missed(request)
        else:  # only a cold server could take it, and that is why it can't
            self._give_up(request, "cold server")

    def _release_slots(self, node: TrackedEndpoint, others: list[TrackedEndpoint]) -> None:
        """Departure: a server over its load gives slots to the next-ranked, if that one is well.

        Danger: a server that is slow, or takes only so many a second, would have its keys refused for as
        long as it is so, beside idle servers. To send single requests on would miss each time; a slot that
        moves, the same one at every router, misses once. It should also catch a server that dies by
        degrees, and loads that slots of equal number share out unevenly. It could do harm when all are
        over their load: slots would wander, and miss; hence the other must be well.
        """
        other = next((other for other in others if not other.ejected), None)
        if other is not None and other.failure_fraction < RECEIVER_FAILURE_FRACTION:
            node.release_slots(self._now)

    def _candidates(self, request: PendingRequest) -> list[TrackedEndpoint]:
        """Departure for hot keys: a slot too hot for one server is shared by the few ranked first."""
        ranking, owners = self._rank_for_popularity(request.slot, request.slot_popularity)
        if owners > 1:
            # Where they say that they are over their load, more of those ranked next take a part.
            over = (
                sum(node.reported_response_time_ns for node in ranking[:owners])
                / owners
                / self._overload_response_time_ns()
            )
            if over > 1.0:
                owners = math.ceil(owners * min(over, OWNERS_MORE))
                ranking = self._caches.rank(request.slot, self._now, max(owners, RANKING_DEPTH))
            return sorted(ranking[:owners], key=self._owner_preference) + ranking[owners:]
        if taker := self._rebalancer.receiver_rank(request.slot, ranking):
            return [ranking[taker], *ranking[:taker], *ranking[taker + 1 :]]
        return ranking

    def _has_warm_up_capacity(
        self, request: PendingRequest, node: TrackedEndpoint, others: list[TrackedEndpoint]
    ) -> bool:
        """Whether a cold server may be sent one more, by its warmth and what others usually get.

        Danger: a burst, or a hot key whose slot falls to a newcomer, pushes it over at once, long before it
        answers late; the next-ranked, who held the slot until then, still has the key. It could do harm
        where the load rises for good while servers are cold: they take their part of it some seconds later.
        Where all are cold nobody else has the keys, and what they usually get is not known: each request goes
        by chance then, so that all routers together send the part of what is asked that cold servers bear.
        """
        warmth = self._caches.warm_up_weight(node, self._now)
        if warmth >= 1.0:
            return True
        bears = warmth * self._settings.warm_up_overload_factor * COLD_EXCESS
        if all(self._caches.warm_up_weight(other, self._now) < 1.0 for other in others):
            # Danger: all that is asked comes to the few that a list names first when everything starts anew.
            request.warm_up_draw = request.warm_up_draw or self._rng.random()
            return (
                request.warm_up_draw < bears * len(self._caches.endpoints) / self._caches.max_endpoints_listed
            )
        # Danger: each worker of a router would spend the bound anew. So one of them has all of it, always the
        # same one for a server; to the others a cold server has no room, and the next-ranked has the key.
        # Danger: what is sent tells less of what servers can do than what they answer. In a storm a request
        # comes four times, and a cold server would be sent its part of that.
        now, workers = self._now, self._settings.workers
        pace = self._usual_answers_per_ns(now) * bears * workers
        if node.seed % workers != self._settings.worker_index:
            return False
        if not node.warm_up_tokens_at_ns:
            # Danger: were each router to begin with a whole attempt or two, hundreds would send a cold
            # server more at once than it bears. A part, drawn, keeps their sum at the pace from the first.
            # One that has just started itself knows too little for that, and is asked too little to do harm.
            ahead = pace * COLD_AHEAD * self._settings.warm_up_overload_window_ns
            node.warm_up_tokens = (
                self._rng.random() + ahead if now - self._started_at_ns > DONE_MEMORY else COLD_BURST
            )
            node.warm_up_tokens_at_ns = now
        node.warm_up_tokens, node.warm_up_tokens_at_ns = (
            min(COLD_BURST, node.warm_up_tokens + pace * (now - node.warm_up_tokens_at_ns)),
            now,
        )
        return node.warm_up_tokens >= 1.0

    def _usual_answers_per_ns(self, now: int) -> float:
        """Answers a nanosecond of a cache server to this router, as of lately."""
        heard = -math.expm1(
            min(self._started_at_ns - now, -NS_PER_S) / DONE_MEMORY
        )  # the part that is counted yet
        return self._cache_answers / heard / DONE_MEMORY / len(self._caches.endpoints)

    def _owner_preference(self, node: TrackedEndpoint) -> tuple[float, float]:
        """Fewest own attempts out for its weight; ties by a lottery in proportion to the weights."""
        weight = node.weight * self._caches.warm_up_weight(node, self._now)
        weight /= max(node.reported_response_time_ns, self._usual_response_time_ns / 2, 1.0)
        return node.in_flight, self._rng.expovariate(1.0) / weight

    def _missed(self, request: PendingRequest) -> None:
        """Fetch, unless this router's fetch of the key is out: then wait for what it stores."""
        flight = None if request.key is None else self._flights.get(request.key)
        if flight is None or request.is_write:
            self._fetch(request)
        else:
            flight.append(request)
            self._wait(request, request.deadline_ns - self._now)

    def _fetch(self, request: PendingRequest, again: bool = False) -> None:
        """Ask the origin, if it may be; `again`: for a call that is admitted and counted already."""
        request.waiting = False
        origins = self._origins.rank(request.slot, self._now)
        if not origins or not self._may_try(request) or not request.may_send(origins[0], self._now):
            self._give_up(request, "no origin or attempt")
            return
        if (
            request.is_write and origins[0].in_flight >= self._width
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

    def _stream_started(self, request: PendingRequest) -> None:
        """The server has done its work; how long the value takes from here is the client's and the line's.

        Danger: a client that reads slowly would count as load of its server, and of the origin, for seconds,
        and those who wait for the same key's fetch would wait for its last byte too.
        """
        if request.node is not None and request.out and not request.streams:
            request.streams = True
            request.node.in_flight -= 1
            if request.leads:
                self._land(request, stored=True)

    def _attempt_ended(self, event: AttemptEnded) -> None:
        request = self._requests.get(event.request_id)
        if request is None or request.node is None:
            return
        node, fetched, outcome = request.node, request.fetching, event.outcome
        request.out = request.fetching = False
        node.in_flight -= not request.streams
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
            node.answered_at_ns = self._now
        if outcome in (Outcome.OK, Outcome.MISS):
            # A prompt answer to what was asked again shows that the first one was lost.
            proof = request.spared and took <= request.cls.latency_objective_ns * PATIENCE_AIM
            self._budget = min(BUDGET_MOST, self._budget + (1.0 if proof else BUDGET_SHARE))
            if not event.first_on_connection:
                node.latency_ns += (took - node.latency_ns) / 16 if node.latency_ns else took
            if not fetched:
                self._cache_answers = (
                    self._cache_answers * math.exp((self._cache_answers_at_ns - self._now) / DONE_MEMORY) + 1
                )
                self._cache_answers_at_ns = self._now
        if not fetched and event.load_report is not None and self._load_report_indexes is not None:
            self._apply_load_report(node, event.load_report)
        if fetched:
            self._judge_fetch(node, event, late and not unsure, lost)
        elif told:
            # A time-out before the deadline is one of our own patience, and no sign of load.
            slow = not lost if outcome is Outcome.TIMEOUT else late and not unsure
            alone = self._overloaded_fraction <= ALONE
            node.record_attempt(
                outcome, slow, self._now, request.sent_at, alone, event.idle_connections_closed
            )
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

    def _apply_load_report(self, node: TrackedEndpoint, load: tuple[float, ...]) -> None:
        """Take a server's load report, which tells of the whole fleet's load on it."""
        assert self._load_report_indexes is not None
        latency, queue = load[self._load_report_indexes[0]], load[self._load_report_indexes[1]]
        wait = latency * 1e6 * (1.0 + queue / QUEUE_SLOTS)
        if self._settings.gossip_allowed:
            self._observed_response_times[node.entry.id] = wait, self._now
        self._apply_response_time(node, wait, self._now)

    def _apply_response_time(self, node: TrackedEndpoint, wait: float, at: int) -> None:
        """A server's wait, by its own report or by what others were told, as of then."""
        self._usual_response_time_ns += (
            (wait - self._usual_response_time_ns) / 32 if self._usual_response_time_ns else wait
        )
        node.max_response_time_ns = self._aim * BOUND_AIM
        node.apply_load_report(wait, self._overload_response_time_ns(), at)

    def _apply_load_snapshot(self, event: LoadSnapshotChanged) -> None:
        """Take the load view of many routers: waits newer than those held, and shares that rest on enough.

        One router of two hundred sees a hot key once in ten seconds, too seldom to find it alone. Other
        routers' reports may be false or old: a server's own report to this router overrides older samples,
        reachability is judged by own attempts alone, and shares of too few requests are ignored.
        """
        for name, (wait, age) in event.response_times.items():
            node, at = self._caches.endpoints.get(name), self._now - age
            if node is not None and at > node.reported_at_ns:
                self._apply_response_time(node, wait, at)
        # The view names the most frequent slots alone, and undercounts each: a router with a large part of
        # all requests would spread hot keys less by it than by its own counts, which it uses instead.
        enough = (
            event.sampled_requests >= MIN_SNAPSHOT_REQUESTS
            and event.own_requests < MAX_OWN_PART * event.sampled_requests
        )
        self._shared_popularity = event.slot_shares if enough else None
        self._rebalancer.add_sample(
            event.slot_shares if enough else {}, event.sampled_requests * enough, self._now
        )
        nodes = list(self._caches.endpoints.values())
        cold: set[int] = set()
        if self._caches.any_warming_up(self._now):
            cold = {node.seed for node in nodes if self._caches.warm_up_weight(node, self._now) < 1.0}
        self._rebalancer.plan(
            self._rank_for_popularity, self._caches.is_ranked, nodes, cold, self._now, self._aim * PRESSED_AIM
        )

    def _rank_for_popularity(self, slot: int, share: float) -> tuple[list[TrackedEndpoint], int]:
        """The servers ranked for a slot, and how many have it with such a share of the requests."""
        owners = max(math.ceil(share * len(self._caches.endpoints) / HEAT_SHARE), 1)
        return self._caches.rank(slot, self._now, max(owners, RANKING_DEPTH)), owners

    def take_observations(self) -> tuple[dict[str, tuple[float, int]], dict[int, int]]:
        """What this router observed since the last call, for others: servers' waits, requests by slot."""
        observed = self._observed_response_times, self._slot_requests
        self._observed_response_times, self._slot_requests = {}, {}
        return observed

    def rebalancing_metrics(self) -> dict[str, float]:
        """How many servers give slots up and take some, and the least part that one keeps."""
        return self._rebalancer.metrics()

    def _overload_response_time_ns(self) -> float:
        """The reported wait past which a server is over its load."""
        return max(self._aim * FULL_AIM, self._usual_response_time_ns * FULL_USUAL)

    def _vanished(self, node: TrackedEndpoint, request: PendingRequest, took: int) -> bool:
        """Whether an answer that never came was lost on the way, and says nothing of its server's load.

        Danger: a connection or a single request can fall silent at a well server, and to shed the server for
        it refuses a hundred times what was lost. A server over its load answers others late, which tells by
        itself, so it could do harm only where one kind of request is slow: its lateness then tells nothing.
        """
        usual = (
            0 < node.latency_ns * LOST_PACE < took
            and node.latency_ns < request.cls.latency_objective_ns * PATIENCE_AIM
        )
        return usual and node.answered_at_ns > request.sent_at

    def _judge_fetch(self, node: TrackedEndpoint, event: AttemptEnded, late: bool, lost: bool) -> None:
        """Rise while the origin answers well; on failures cut the tenants over their portion first.

        Danger: a broken connection, or an answer that was lost, is no sign of load. To cut for it starves
        every tenant while the origin is idle, and what is not fetched is missed anew. It could do harm with
        an origin that resets what it can't take: hence so many in a row, with no answer between, do count.
        """
        broke = event.outcome in (Outcome.CONNECT_FAILED, Outcome.RESET)
        self._origin_broke = self._origin_broke + 1 if broke else 0
        if (broke or lost) and self._origin_broke < MAX_CONSECUTIVE_RESETS:
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
                self._width = max(1.0, min(self._width, node.in_flight + 1) * CUT)
                for guard in self._guards.values():  # the origin is shared: it speaks for all
                    guard.cut(self._now)
        origins = self._origins.rank(0, self._now)
        # Danger: the origin of this fetch may have been listed anew since, and a write that goes by its
        # load would be held again for the new one's, for ever.
        while self._held and (not origins or origins[0].in_flight < self._width):
            waiter = self._held.pop()
            if waiter.waiting:
                self._fetch(waiter)

    def _lost_on_the_way(self, request: PendingRequest, event: AttemptEnded, fetched: bool) -> None:
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

    def _fetch_failed(self, request: PendingRequest, outcome: Outcome) -> None:
        """A write is tried again after a pause; a read is the client's to retry, to spare the origin."""
        pause = int(self._origin_time * self._rng.uniform(0.5, 1.5))
        if request.is_write and self._now + pause < request.deadline_ns and outcome is not Outcome.TIMEOUT:
            self._wait(request, pause)
        else:
            self._give_up(request, "fetch failed")

    def _land(self, request: PendingRequest, stored: bool) -> None:
        """End a flight: its waiters ask the cache again, or one of them fetches in the leader's place."""
        request.leads = False
        for waiter in self._flights.pop(request.key or "", ()):
            if not waiter.done:
                waiter.waiting = False
                (self._route if stored else self._missed)(waiter)

    def _wait(self, request: PendingRequest, delay: int) -> None:
        request.waiting = True
        self._actions.append(SetTimer(delay, request.id))

    def _give_up(self, request: PendingRequest, why: str) -> None:
        self.rejections_by_reason[why] = self.rejections_by_reason.get(why, 0) + 1
        if request.may_refuse():
            wait = int(self._rng.uniform(0.5, 1.0) * self._settings.max_retry_after_ns)
            self._actions.append(Reject(request.id, wait if self._settings.retry_after_allowed else 0))
        else:
            self._actions.append(Fail(request.id))
        self._finish(request)

    def _finish(self, request: PendingRequest, stored: bool = False) -> None:
        request.done, request.waiting = True, False
        if not request.out:
            del self._requests[request.id]
        if request.leads:
            self._land(request, stored)
