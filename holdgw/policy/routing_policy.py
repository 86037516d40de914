"""Every decision of the router, without I/O or clock: events in, actions out."""

from __future__ import annotations

import math
import random
from zlib import crc32

from holdgw.policy.endpoint_health import MAX_CONSECUTIVE_RESETS, AttemptResult
from holdgw.policy.endpoint_selection import EndpointSelector
from holdgw.policy.hot_keys import PopularityCounter, SlotPopularity
from holdgw.policy.interface import (
    NS_PER_S,
    Action,
    AttemptEnded,
    EndpointsChanged,
    EndpointState,
    Event,
    Fail,
    HandoverState,
    Idempotency,
    LimitSharesChanged,
    LoadSnapshotChanged,
    Outcome,
    Reject,
    RequestArrived,
    RequestCancelled,
    SendAttempt,
    SetTimer,
    Settings,
    StreamStarted,
    Subscribe,
    Tenant,
    TenantHandover,
    TimerFired,
    UpdateKind,
)
from holdgw.policy.load_reports import LoadReports, Observations
from holdgw.policy.load_shedding import LoadShedder
from holdgw.policy.origin_limiter import CUT, OriginLimiter
from holdgw.policy.pending_request import PendingRequest
from holdgw.policy.slot_table import SLOTS, SlotTable
from holdgw.policy.slow_start import SlowStart
from holdgw.policy.tracked_endpoint import TrackedEndpoint

BAD_SAMPLES = 8  # smoothing of the share of bad fetches
BAD_SHARE = 0.2  # two in a row, or one in five, cut
QUICK_AIM = 0.5  # a connection that breaks within that part of the aim has cost no time to speak of
PATIENCE_AIM = 0.5  # lost after that part of the aim
PATIENCE_PACE = 5.0  # and of the usual time
BUDGET_SHARE = 0.01  # of attempts may be taken for lost
BUDGET_MOST = 4.0  # and so many at once
LOST_PACE = 4.0  # an answer that is out for so many usual times, while others come, is lost
STRAIN = 0.1  # smoothed share of servers met that are over their load, past which nothing is sent twice
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
        self._tenant_usage = PopularityCounter[str]()
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
        self._budget = BUDGET_MOST  # attempts that may be taken for lost by their time
        self._origin_bad = 0.0  # smoothed share of bad fetches
        self._origin_broke = 0  # its connections that broke since its last answer
        self._asking, self._failed_calls = False, 0
        self._slot_popularity = SlotPopularity()
        self._load_reports = LoadReports(settings, aim)
        self._load_shedder = LoadShedder(self._rng)
        self._slow_start = SlowStart(settings, self._caches, self._rng)
        self._selector = EndpointSelector(self._caches, self._load_reports, aim, self._rng)
        self._observations = Observations(settings.gossip_allowed)
        self._now = 0
        self._actions: list[Action] = []
        self.rejections_by_reason: dict[str, int] = {}  # requests refused or failed, by the reason

    def handle(self, event: Event, now: int) -> list[Action]:
        """Take one event at clock time `now` and return the actions to carry out, in order."""
        self._now, self._actions = now, []
        self._slow_start.answer_rate.start(now)
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
        """Return the names of the ready cache endpoints that get trial requests only."""
        return [name for name, endpoint in self._caches.endpoints.items() if endpoint.ejected]

    def metrics(self, now: int) -> dict[str, float]:
        """What the decisions go by now: limits in fetches a second, shares and counts of servers."""
        nodes = self._caches.endpoints.values()
        return {
            **{f"limit {name}": guard.limit for name, guard in self._guards.items() if name},
            "width": -1.0 if math.isinf(self._width) else self._width,
            "origin bad": self._origin_bad,
            "strain": self._load_shedder.overloaded_fraction,
            "budget": self._budget,
            "down": sum(node.ejected for node in nodes),
            "shy": sum(node.admission_probability(now) < 1.0 for node in nodes),
            "lean": sum(node.slot_retention < 1.0 for node in nodes),
        }

    def table_sizes(self) -> dict[str, int]:
        """The number of entries in each table: open requests, coalesced fetches, queued writes."""
        return {
            "requests": len(self._requests),
            "coalesced_fetches": len(self._flights),
            "queued_writes": len(self._held),
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
            endpoints={name: node.handover(now) for name, node in self._caches.endpoints.items()},
            tenants={
                name: TenantHandover(guard.limit, tuple(guard._calls)) for name, guard in self._guards.items()
            },
            slot_popularity=dict(self._slot_popularity.counts),
            tenant_usage=dict(self._tenant_usage.counts),
            origin_latency_ns=self._origin_time,
            write_concurrency_limit=self._width,
            cache_answers=self._slow_start.answer_rate.answers(now),
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
            self._slow_start.answer_rate.restore(learnt.cache_answers, now)

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
            request.slot_popularity = self._slot_popularity.record_request(request.slot)
            self._observations.count_request(request.slot)
            guard.excess = (self._tenant_usage.add(event.tenant or "") / max(guard.weight, 0.001)) ** 2
            self._route(request)

    def _send(self, request: PendingRequest, node: TrackedEndpoint) -> None:
        request.sends += 1
        why = self._why(request, node)
        request.node, request.sent_at, request.out = node, self._now, True
        node.start_attempt()
        if not request.fetching:
            node.warm_up_tokens.take()
        request.patience = self._patience(request, node)
        bounded = request.ran is not None and request.cls.idempotency is Idempotency.IDEMPOTENCY_KEY
        within = request.write_within(self._now) if bounded else 0
        self._actions.append(SendAttempt(request.id, node.entry.id, request.patience, within, why))

    def _why(self, request: PendingRequest, node: TrackedEndpoint) -> str:
        """What an attempt is made for, before it is noted."""
        if request.fetching:
            return "write" if request.is_write else "fetch"
        if node.ejected:
            return "trial"
        return "first" if request.sends == 1 else "again" if node is request.node else "next"

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
            or self._load_shedder.overloaded_fraction > STRAIN
        ):
            return 0  # not known to be well, or the others are not
        patience = int(max(request.cls.latency_objective_ns * PATIENCE_AIM, node.latency_ns * PATIENCE_PACE))
        return patience if self._now + 2 * patience < request.deadline_ns else 0

    def _may_try(self, request: PendingRequest) -> bool:
        return request.sends < self._settings.max_attempts and self._now < request.deadline_ns

    def _route(self, request: PendingRequest) -> None:
        """Send to the slot's preferred endpoint; to the next one if it has failed or is ejected."""
        if not self._may_try(request):
            self._give_up(request, "attempts or time")
            return
        candidates = self._selector.candidates(request.slot, request.slot_popularity, self._now)
        retaining = [
            endpoint
            for endpoint in candidates
            if endpoint.ejected or endpoint.retains(request.slot, self._now)
        ]
        ranking = retaining or candidates[:1]
        has_capacity = True
        for endpoint in ranking:
            if endpoint in request.failed or not request.may_send(endpoint, self._now):
                continue
            if self._caches.any_warming_up(self._now):
                has_capacity = self._slow_start.has_capacity(request, endpoint, candidates, self._now)
                if not has_capacity:
                    continue
            if self._send_or_reject(request, endpoint, ranking):
                return
        if has_capacity:
            self._missed(request)
        else:  # only a warming endpoint could take it, and has no capacity
            self._give_up(request, "cold server")

    def _send_or_reject(
        self, request: PendingRequest, endpoint: TrackedEndpoint, ranking: list[TrackedEndpoint]
    ) -> bool:
        """Send to an endpoint, or reject for its load; False: it is ejected, and another is to be tried."""
        if self._load_shedder.is_too_late(endpoint, request.deadline_ns - self._now, self._now):
            self._give_up(request, "too late there")
            return True
        probability = endpoint.admission_probability(self._now)
        self._load_shedder.record_met(endpoint, probability)
        if endpoint.is_donor:
            endpoint.release_slots(ranking[ranking.index(endpoint) + 1 :], self._now)
        if self._load_shedder.admits(endpoint, probability, request.guard.excess):
            self._send(request, endpoint)
            return True
        if endpoint.ejected:
            return False
        self._give_up(request, "server")  # another endpoint would miss, unless the slot migrates for good
        return True

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
            request.node.release_attempt()
            if request.leads:
                self._land(request, stored=True)

    def _attempt_ended(self, event: AttemptEnded) -> None:
        request = self._requests.get(event.request_id)
        if request is None or request.node is None:
            return
        node, fetched, outcome = request.node, request.fetching, event.outcome
        request.out = request.fetching = False
        if not request.streams:
            node.release_attempt()
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
            node.health.record_answer(self._now)
        if outcome in (Outcome.OK, Outcome.MISS):
            # A prompt answer to what was asked again shows that the first one was lost.
            proof = request.spared and took <= request.cls.latency_objective_ns * PATIENCE_AIM
            self._budget = min(BUDGET_MOST, self._budget + (1.0 if proof else BUDGET_SHARE))
            if not event.first_on_connection:
                node.record_latency(took)
            if not fetched:
                self._slow_start.answer_rate.record_answer(self._now)
        if not fetched and event.load_report is not None:
            self._apply_load_report(node, event.load_report)
        if fetched:
            self._judge_fetch(node, event, late and not unsure, lost)
        elif told:
            # A time-out before the deadline is one of our own patience, and no sign of load.
            slow = not lost if outcome is Outcome.TIMEOUT else late and not unsure
            node.health.record(
                AttemptResult(
                    outcome,
                    slow,
                    self._now,
                    request.sent_at,
                    self._load_shedder.most_are_well,
                    event.idle_connections_closed,
                )
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

    def _apply_load_report(self, endpoint: TrackedEndpoint, values: tuple[float, ...]) -> None:
        """Take an endpoint's load report, which tells of the load that all routers bring there."""
        response_time_ns = self._load_reports.response_time_ns(values)
        if response_time_ns is not None:
            self._observations.record_response_time(endpoint.entry.id, response_time_ns, self._now)
            self._load_reports.record(endpoint, response_time_ns, self._now)

    def _apply_load_snapshot(self, event: LoadSnapshotChanged) -> None:
        """Take the load view of many routers: response times newer than those known, and popularity of slots.

        Other routers' reports may be false or old. An endpoint's own report to this router overrides older
        ones, ejection rests on own attempts alone, and fractions of too few requests are ignored.
        """
        for name, (response_time_ns, age_ns) in event.response_times.items():
            endpoint = self._caches.endpoints.get(name)
            reported_at_ns = self._now - age_ns
            if endpoint is not None and reported_at_ns > endpoint.reported.at_ns:
                self._load_reports.record(endpoint, response_time_ns, reported_at_ns)
        usable = self._slot_popularity.apply_snapshot(event)
        popularity = event.slot_shares if usable else {}
        samples = event.sampled_requests if usable else 0.0
        self._selector.apply_popularity(popularity, samples, self._now)

    def take_observations(self) -> tuple[dict[str, tuple[float, int]], dict[int, int]]:
        """Return, and forget, what this router has observed, for others.

        That is the reported response time by endpoint, with its clock time (both ns), and requests by slot.
        """
        return self._observations.take()

    def rebalancing_metrics(self) -> dict[str, float]:
        """Return how many endpoints give up slots and take some, and the least fraction that one keeps."""
        return self._selector.rebalancer.metrics()

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
        return usual and node.health.answered_at_ns > request.sent_at

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
