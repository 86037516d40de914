"""The routing policy: makes every decision of a router, without I/O and clock; events in, actions out."""

from __future__ import annotations

import math
import random
from typing import NamedTuple
from zlib import crc32

from holdgw.policy.actions import Action, SendAttempt, SetTimer, Subscribe
from holdgw.policy.endpoint_health import AttemptResult
from holdgw.policy.endpoint_selection import EndpointSelector
from holdgw.policy.endpoint_subscription import EndpointSubscription
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
from holdgw.policy.fetch_coalescing import FetchCoalescing
from holdgw.policy.handover_state import HandoverState
from holdgw.policy.hot_keys import PopularityCounter, SlotPopularity
from holdgw.policy.load_reports import LoadReports, Observations
from holdgw.policy.load_shedding import LoadShedder
from holdgw.policy.origin_concurrency import OriginConcurrency, OriginVerdict
from holdgw.policy.origin_limiter import OriginLimiter
from holdgw.policy.pending_request import PendingRequest
from holdgw.policy.rejections import RejectionReason, Rejections
from holdgw.policy.retry_policy import Loss, NextStep, RetryPolicy
from holdgw.policy.settings import Idempotency, Settings, Tenant
from holdgw.policy.slot_table import SLOTS, SlotTable
from holdgw.policy.slow_start import SlowStart
from holdgw.policy.tracked_endpoint import TrackedEndpoint

UNKNOWN_TENANT = ""  # requests that name no tenant of the settings
SUBSCRIBE_TOKEN = "subscribe"  # of the subscription's timer; a request's timer has the request id
ANY_SLOT = 0  # queued writes all go to the same origin, whatever their slots


class TableSizes(NamedTuple):
    """Numbers of entries in the policy's tables; all are 0 when every request has ended."""

    requests: int
    coalesced_fetches: int
    queued_writes: int


class RoutingPolicy:
    """Makes one router's decisions: `handle` takes an event and returns the actions to carry out.

    It holds the open requests, and consults one rule at a time: which endpoint a request is sent to
    (`EndpointSelector`, `SlowStart`, `LoadShedder`), whether it may be fetched (`OriginLimiter`,
    `OriginConcurrency`, `FetchCoalescing`), what follows an attempt (`RetryPolicy`, `EndpointHealth`) and how
    the request is rejected (`Rejections`). `docs/decisions.md` lists the rules.
    """

    uses_load_reports = True
    """Whether the policy reads the load reports in events."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self._settings = settings
        self._rng = random.Random(seed)
        self._classes = {cls.name: cls for cls in settings.classes}
        self._origin_limiters = {
            tenant.name: OriginLimiter(tenant, settings.routers, self._rng, settings.workers)
            for tenant in (*settings.tenants, Tenant(UNKNOWN_TENANT, weight=1.0))
        }
        shortest_objective_ns = min(cls.latency_objective_ns for cls in settings.classes)
        self._caches = SlotTable(settings)
        self._origins = SlotTable(settings)
        self._requests: dict[str, PendingRequest] = {}
        self._fetches = FetchCoalescing()
        self._origin_concurrency = OriginConcurrency(shortest_objective_ns)
        self._retries = RetryPolicy(settings)
        self._rejections = Rejections(settings, self._rng)
        self._subscription = EndpointSubscription(settings, self._rng)
        self._tenant_usage = PopularityCounter[str]()
        self._slot_popularity = SlotPopularity()
        self._load_reports = LoadReports(settings, shortest_objective_ns)
        self._load_shedder = LoadShedder(self._rng)
        self._slow_start = SlowStart(settings, self._caches, self._rng)
        self._selector = EndpointSelector(self._caches, self._load_reports, shortest_objective_ns, self._rng)
        self._observations = Observations(settings.gossip_allowed)
        self._now = 0  # clock time (ns) of the event that is being handled
        self._actions: list[Action] = []  # the answer to that event

    def handle(self, event: Event, now: int) -> list[Action]:
        """Handle one event at clock time `now` (ns); return the actions to carry out, in order."""
        self._now = now
        self._actions = []
        self._slow_start.answer_rate.start(now)
        match event:
            case AttemptEnded():
                self._attempt_ended(event)
            case RequestArrived():
                self._request_arrived(event)
            case EndpointsChanged():
                self._endpoints_changed(event)
            case LimitSharesChanged():
                self._limit_shares_changed(event)
            case LoadSnapshotChanged():
                self._load_snapshot_changed(event)
            case StreamStarted():
                self._stream_started(event)
            case TimerFired():
                self._timer_fired(event)
            case RequestCancelled():
                self._request_cancelled(event)
        return self._actions

    # Metrics.

    @property
    def rejections_by_reason(self) -> dict[RejectionReason, int]:
        """Number of requests since the start that the policy itself rejected or failed, by reason."""
        return self._rejections.counts

    def ejected(self) -> list[str]:
        """Return the ids of the ready cache endpoints that are ejected, and get trial requests only."""
        return [name for name, endpoint in self._caches.endpoints.items() if endpoint.ejected]

    def metrics(self, now: int) -> dict[str, float]:
        """Return the policy's metrics, by their names in the interval counters.

        They are: each tenant's rate limit in origin calls a second, the write concurrency limit (-1: none),
        the origin's failure fraction, the fraction of overloaded endpoints, the retry budget, and the numbers
        of cache endpoints that are ejected, that have an admission probability below 1, and that have
        released slots.
        """
        endpoints = self._caches.endpoints.values()
        write_limit = self._origin_concurrency.write_limit
        limiters = self._origin_limiters.items()
        return {
            **{f"limit {name}": limiter.rate_limit for name, limiter in limiters if name != UNKNOWN_TENANT},
            "width": -1.0 if math.isinf(write_limit) else write_limit,
            "origin bad": self._origin_concurrency.failure_fraction,
            "strain": self._load_shedder.overloaded_fraction,
            "budget": self._retries.budget,
            "down": sum(endpoint.ejected for endpoint in endpoints),
            "shy": sum(endpoint.admission_probability(now) < 1.0 for endpoint in endpoints),
            "lean": sum(endpoint.slot_retention < 1.0 for endpoint in endpoints),
        }

    def has_alternative(self, request_id: str, now: int) -> bool:
        """Whether a request whose attempt has begun to answer could be read from another endpoint as well."""
        request = self._requests.get(request_id)
        if request is None or request.is_answered or request.is_at_origin or request.is_write:
            return False
        if request.request_class.idempotency is not Idempotency.IDEMPOTENT:
            return False
        if not self._retries.may_attempt(request, now):
            return False
        used = (request.endpoint, *request.failed_endpoints)
        caches = self._caches.rank(request.slot, now)
        has_other_cache = any(not (endpoint in used or endpoint.ejected) for endpoint in caches)
        return has_other_cache or bool(self._origins.endpoints)

    def table_sizes(self) -> TableSizes:
        """Return the numbers of entries in the policy's tables."""
        return TableSizes(len(self._requests), len(self._fetches), len(self._origin_concurrency))

    def origin_demand(self, now: int) -> dict[str, float]:
        """Return the rate of each tenant's origin calls, admitted or denied, in calls a second."""
        return {name: limiter.observed_rate_per_s(now) for name, limiter in self._origin_limiters.items()}

    def rebalancing_metrics(self) -> dict[str, float]:
        """Return the numbers of donors and receivers of slots, and the lowest slot retention."""
        return self._selector.rebalancer.metrics()

    def take_observations(self) -> tuple[dict[str, tuple[float, int]], dict[int, int]]:
        """Return what this router has observed since the last call, for other routers.

        The first mapping holds each endpoint's reported response time and the clock time of that report, both
        in nanoseconds; the second one the number of requests by slot.
        """
        return self._observations.take()

    # Handover to another process of this router.

    def handover_state(self, now: int) -> HandoverState:
        """Return what another process of this router continues from."""
        return HandoverState(
            endpoints={name: endpoint.handover(now) for name, endpoint in self._caches.endpoints.items()},
            tenants={name: limiter.handover(now) for name, limiter in self._origin_limiters.items()},
            slot_popularity=dict(self._slot_popularity.counts),
            tenant_usage=dict(self._tenant_usage.counts),
            origin_latency_ns=self._origin_concurrency.latency_ns,
            write_concurrency_limit=self._origin_concurrency.write_limit,
            cache_answers=self._slow_start.answer_rate.answers(now),
        )

    def restore(self, state: HandoverState, now: int) -> None:
        """Continue from the state of another process; unknown endpoints and tenants are ignored.

        A process that started with the generous initial limits would flood the origin at every upgrade, and a
        failing endpoint would get its full share of requests again. The old process is still running; its
        state is as of the time when this process connected to it, and decays as if this process had learned
        it.
        """
        for name, endpoint_state in state.endpoints.items():
            endpoint = self._caches.endpoints.get(name)
            if endpoint is not None:
                endpoint.restore(endpoint_state, now)
        for name, tenant_state in state.tenants.items():
            limiter = self._origin_limiters.get(name)
            if limiter is not None:
                limiter.restore(tenant_state, now)
        self._slot_popularity.restore(state.slot_popularity)
        self._tenant_usage.restore(state.tenant_usage)
        self._origin_concurrency.restore(state.origin_latency_ns, state.write_concurrency_limit)
        if state.cache_answers:
            self._slow_start.answer_rate.restore(state.cache_answers, now)

    # Events that are not about a single request.

    def _endpoints_changed(self, event: EndpointsChanged) -> None:
        delay_ns = self._subscription.on_update(event.kind)
        if delay_ns is not None:
            self._actions.append(SetTimer(delay_ns, SUBSCRIBE_TOKEN))
        if event.kind is UpdateKind.FAILED:
            return
        ready = [entry for entry in event.endpoints if entry.state is EndpointState.READY]
        unready_ids = [entry.id for entry in event.endpoints if entry.state is not EndpointState.READY]
        for table, is_origin in ((self._caches, False), (self._origins, True)):
            table_entries = [
                entry for entry in ready if (entry.kind == self._settings.origin_kind) == is_origin
            ]
            removed_ids = list(unready_ids)
            if event.kind is not UpdateKind.DELTA:
                removed_ids += table.endpoints.keys() - {entry.id for entry in table_entries}
            table.update(table_entries, removed_ids)

    def _limit_shares_changed(self, event: LimitSharesChanged) -> None:
        for tenant, share in event.shares.items():
            limiter = self._origin_limiters.get(tenant)
            if limiter is not None and share > 0:
                limiter.set_share(share)

    def _load_snapshot_changed(self, event: LoadSnapshotChanged) -> None:
        """Apply the load view of many routers: response times newer than the known ones, and slot popularity.

        Reports of other routers may be false or old. A report that the endpoint itself sent to this router
        overrides older ones, only this router's own attempts eject an endpoint, and fractions of too few
        requests are ignored.
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

    def _timer_fired(self, event: TimerFired) -> None:
        if event.token == SUBSCRIBE_TOKEN:
            self._subscription.on_timer()
            self._actions.append(Subscribe())
            return
        request = self._requests.get(event.token)
        if request is None or not request.is_waiting:
            return
        if self._now >= request.deadline_ns:
            self._reject_or_fail(request, RejectionReason.DEADLINE)
        elif request.is_write:
            self._send_to_origin(request)

    # The start and the end of a request.

    def _request_arrived(self, event: RequestArrived) -> None:
        tenant = event.tenant or UNKNOWN_TENANT
        limiter = self._origin_limiters.get(tenant, self._origin_limiters[UNKNOWN_TENANT])
        request_class = self._classes[event.request_class]
        slot = self._rng.randrange(SLOTS) if event.key is None else crc32(event.key.encode()) % SLOTS
        request = PendingRequest(event, request_class, limiter, slot)
        self._requests[request.id] = request
        if request.is_write and self._settings.origin_kind is not None:
            self._send_to_origin(request)
            return
        request.slot_popularity = self._slot_popularity.record_request(slot)
        self._observations.count_request(slot)
        limiter.set_usage(self._tenant_usage.add(tenant))
        self._route(request)

    def _request_cancelled(self, event: RequestCancelled) -> None:
        request = self._requests.get(event.request_id)
        if request is not None:
            self._finish(request)

    def _wait(self, request: PendingRequest, delay_ns: int) -> None:
        request.is_waiting = True
        self._actions.append(SetTimer(delay_ns, request.id))

    def _reject_or_fail(self, request: PendingRequest, reason: RejectionReason) -> None:
        """Give the final answer to a request that will not be sent to an endpoint any more."""
        may_reject = self._retries.may_reject(request)
        self._actions.append(self._rejections.final_answer(request.id, reason, may_reject))
        self._finish(request)

    def _finish(self, request: PendingRequest, stored: bool = False) -> None:
        """End a request; `stored`: its fetch has stored the value in the cache server."""
        request.is_answered = True
        request.is_waiting = False
        if not request.in_flight:
            del self._requests[request.id]
        if request.leads_fetch:
            self._complete_fetch(request, stored)

    # Choice of the endpoint.

    def _route(self, request: PendingRequest) -> None:
        """Send to the slot's preferred endpoint, or to the next one if that has failed or is ejected."""
        if not self._retries.may_attempt(request, self._now):
            self._reject_or_fail(request, RejectionReason.NO_ATTEMPT_LEFT)
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
            if endpoint in request.failed_endpoints:
                continue
            if not self._retries.may_send(request, endpoint, self._now):
                continue
            if self._caches.any_warming_up(self._now):
                has_capacity = self._slow_start.has_capacity(request, endpoint, candidates, self._now)
                if not has_capacity:
                    continue
            if self._send_or_reject(request, endpoint, ranking):
                return
        if has_capacity:
            self._fetch_or_wait(request)
        else:  # only endpoints that are warming up are left, and they have no capacity
            self._reject_or_fail(request, RejectionReason.WARMING_UP)

    def _send_or_reject(
        self, request: PendingRequest, endpoint: TrackedEndpoint, ranking: list[TrackedEndpoint]
    ) -> bool:
        """Send to an endpoint, or reject because of its load; False: it is ejected, so try the next one."""
        if self._load_shedder.would_miss_deadline(endpoint, request.deadline_ns - self._now, self._now):
            self._reject_or_fail(request, RejectionReason.ENDPOINT_TOO_SLOW)
            return True
        probability = endpoint.admission_probability(self._now)
        self._load_shedder.record_candidate(endpoint, probability)
        if endpoint.is_donor:
            endpoint.release_slots(ranking[ranking.index(endpoint) + 1 :], self._now)
        if self._load_shedder.admits(endpoint, probability, request.origin_limiter.quota_overuse):
            self._send(request, endpoint)
            return True
        if endpoint.ejected:
            return False
        # Any other endpoint would miss, unless the slot itself migrates to it.
        self._reject_or_fail(request, RejectionReason.ENDPOINT_OVERLOADED)
        return True

    def _fetch_or_wait(self, request: PendingRequest) -> None:
        """Send the request to the origin, or let it wait for the fetch of the same key that is in flight."""
        if self._fetches.join(request):
            self._wait(request, request.deadline_ns - self._now)
        else:
            self._send_to_origin(request)

    def _send_to_origin(self, request: PendingRequest, admitted: bool = False) -> None:
        """Send a write or a read's fetch, if the origin's limits allow it; a write over its limit is queued.

        `admitted`: the limits have admitted this call already.
        """
        request.is_waiting = False
        origins = self._origins.rank(request.slot, self._now)
        if not origins or not self._may_send(request, origins[0]):
            self._reject_or_fail(request, RejectionReason.NO_ORIGIN)
            return
        if request.is_write:
            if not self._origin_concurrency.admits_write(origins[0].in_flight):
                self._origin_concurrency.enqueue(request)
                self._wait(request, request.deadline_ns - self._now)
                return
            request.origin_limiter.record_call(self._now)
        elif not admitted and not request.origin_limiter.admit(self._now):
            self._reject_or_fail(request, RejectionReason.ORIGIN_LIMIT)
            return
        self._fetches.lead(request)
        request.is_at_origin = True
        self._send(request, origins[0])

    def _may_send(self, request: PendingRequest, endpoint: TrackedEndpoint) -> bool:
        may_attempt = self._retries.may_attempt(request, self._now)
        return may_attempt and self._retries.may_send(request, endpoint, self._now)

    def _send(self, request: PendingRequest, endpoint: TrackedEndpoint) -> None:
        purpose = request.begin_attempt(endpoint, self._now)
        endpoint.start_attempt()
        if not request.is_at_origin:
            endpoint.warm_up_tokens.take()
        overloaded_fraction = self._load_shedder.overloaded_fraction
        timeout_ns = self._retries.attempt_timeout_ns(request, endpoint, overloaded_fraction, self._now)
        request.attempt_timeout_ns = timeout_ns
        write_within_ns = self._retries.write_within_ns(request, self._now)
        self._actions.append(SendAttempt(request.id, endpoint.entry.id, timeout_ns, write_within_ns, purpose))

    # The end of an attempt.

    def _stream_started(self, event: StreamStarted) -> None:
        """Count the attempt as no longer in flight, because the endpoint has done its work.

        The duration of the remaining transfer depends on the client and the network. Otherwise a client that
        reads slowly would count as load of its endpoint and of the origin for seconds, and requests that wait
        for the same fetch would wait for its last byte.
        """
        request = self._requests.get(event.request_id)
        if request is None or request.endpoint is None or not request.in_flight or request.is_streaming:
            return
        request.is_streaming = True
        request.endpoint.release_attempt()
        if request.leads_fetch:
            self._complete_fetch(request, stored=True)

    def _attempt_ended(self, event: AttemptEnded) -> None:
        request = self._requests.get(event.request_id)
        if request is None or request.endpoint is None:
            return
        endpoint = request.endpoint
        outcome = event.outcome
        was_at_origin = request.is_at_origin
        if not request.is_streaming:
            endpoint.release_attempt()
        request.end_attempt(may_have_run=not outcome.has_no_effect)
        request.has_begun_value = request.has_begun_value or event.value_broke_off
        if outcome.is_good_answer:
            loss = Loss.NONE
            self._record_good_answer(request, endpoint, event, was_at_origin)
        else:
            loss = self._retries.classify_loss(request, endpoint, event, self._now)
            if outcome.is_answer:
                endpoint.health.record_answer(self._now)
        if was_at_origin:
            self._record_origin_attempt(request, endpoint, event, loss)
        else:
            self._record_cache_attempt(request, endpoint, event, loss)
        if event.request_answered or request.is_answered:
            self._finish(request, stored=was_at_origin and outcome is Outcome.OK)
        else:
            self._take_next_step(request, endpoint, event, loss, was_at_origin)

    def _record_good_answer(
        self, request: PendingRequest, endpoint: TrackedEndpoint, event: AttemptEnded, was_at_origin: bool
    ) -> None:
        """Record a good answer: the endpoint is up, its latency, and the rate of answers from caches."""
        took_ns = event.latency_ns - event.queued_ns
        endpoint.health.record_answer(self._now)
        self._retries.record_answer(request, took_ns)
        if not event.first_on_connection:
            endpoint.record_latency(took_ns)
        if not was_at_origin:
            self._slow_start.answer_rate.record_answer(self._now)

    def _apply_load_report(self, endpoint: TrackedEndpoint, values: tuple[float, ...]) -> None:
        """Record an endpoint's load report, which covers the load that all routers put on it."""
        response_time_ns = self._load_reports.response_time_ns(values)
        if response_time_ns is not None:
            self._observations.record_response_time(endpoint.entry.id, response_time_ns, self._now)
            self._load_reports.record(endpoint, response_time_ns, self._now)

    def _record_cache_attempt(
        self, request: PendingRequest, endpoint: TrackedEndpoint, event: AttemptEnded, loss: Loss
    ) -> None:
        """Record a cache server's load report, and the attempt's outcome in its health.

        A loss in transit is no sign of load, and an attempt that was not sent carries no information.
        """
        outcome = event.outcome
        if event.load_report is not None:
            self._apply_load_report(endpoint, event.load_report)
        if not outcome.was_attempted:
            return
        late = loss is Loss.NONE if outcome is Outcome.TIMEOUT else _is_late(request, event)
        endpoint.health.record(
            AttemptResult(
                outcome,
                late,
                self._now,
                request.sent_at_ns,
                self._load_shedder.most_healthy,
                event.idle_connections_closed,
            )
        )

    def _record_origin_attempt(
        self, request: PendingRequest, endpoint: TrackedEndpoint, event: AttemptEnded, loss: Loss
    ) -> None:
        """Raise or cut the origin's limits, for all tenants at once, then send queued writes that fit."""
        verdict = self._origin_concurrency.record_attempt(
            event.outcome,
            event.latency_ns,
            _is_late(request, event),
            loss is not Loss.NONE,
            endpoint.in_flight,
            self._now,
        )
        if verdict is OriginVerdict.HEALTHY:
            for limiter in self._origin_limiters.values():
                limiter.raise_limit(self._now)
        elif verdict is OriginVerdict.OVERLOADED:
            for limiter in self._origin_limiters.values():
                limiter.cut_limit(self._now)
        self._send_queued_writes()

    def _send_queued_writes(self) -> None:
        """Send queued writes while the origin has capacity.

        The origin's load is that of the currently listed origin. The origin of the attempt that ended may
        have been replaced; by its load, a write would be queued again for ever.
        """
        origins = self._origins.rank(ANY_SLOT, self._now)
        while not origins or self._origin_concurrency.admits_write(origins[0].in_flight):
            write = self._origin_concurrency.dequeue()
            if write is None:
                return
            self._send_to_origin(write)

    def _take_next_step(
        self,
        request: PendingRequest,
        endpoint: TrackedEndpoint,
        event: AttemptEnded,
        loss: Loss,
        was_at_origin: bool,
    ) -> None:
        """Carry out the next step of a request that its attempt has not answered."""
        step = self._retries.next_step(request, event, loss, was_at_origin)
        if step is NextStep.FETCH:
            self._fetch_or_wait(request)
        elif step is NextStep.FETCH_AGAIN:
            self._send_to_origin(request, admitted=True)
        elif step is NextStep.FETCH_FAILED:
            self._origin_attempt_failed(request, event.outcome)
        else:
            if step is NextStep.READ_STORED_VALUE and request.leads_fetch:
                self._complete_fetch(request, stored=True)
            if step is NextStep.NEXT_ENDPOINT:
                request.failed_endpoints.append(endpoint)
            self._route(request)

    def _origin_attempt_failed(self, request: PendingRequest, outcome: Outcome) -> None:
        """Retry a write after a delay; reject a read, which the client may retry, to spare the origin."""
        delay_ns = self._origin_concurrency.retry_delay_ns(self._rng)
        has_time = self._now + delay_ns < request.deadline_ns
        if request.is_write and has_time and outcome is not Outcome.TIMEOUT:
            self._wait(request, delay_ns)
        else:
            self._reject_or_fail(request, RejectionReason.FETCH_FAILED)

    def _complete_fetch(self, leader: PendingRequest, stored: bool) -> None:
        """End a coalesced fetch: its waiters read the stored value, or the first of them fetches instead."""
        for waiter in self._fetches.complete(leader):
            if waiter.is_answered:
                continue
            waiter.is_waiting = False
            if stored:
                self._route(waiter)
            else:
                self._fetch_or_wait(waiter)


def _is_late(request: PendingRequest, event: AttemptEnded) -> bool:
    """Whether an answer took longer than the latency objective because of its endpoint.

    The first request on a connection also bears the cost of its setup, which is highest across zones. If that
    counted as load, healthy endpoints would be shed wherever connections are short-lived. The first request
    is therefore late only after twice the objective.
    """
    objective_ns = request.request_class.latency_objective_ns
    limit_ns = 2 * objective_ns if event.first_on_connection else objective_ns
    return event.latency_ns - event.queued_ns > limit_ns
