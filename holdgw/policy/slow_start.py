"""Slow start: bounds the requests to endpoints that are warming up, by warm-up weight and answer rate."""

from __future__ import annotations

import math
import random

from holdgw.policy.pending_request import PendingRequest
from holdgw.policy.settings import Settings
from holdgw.policy.slot_table import SlotTable
from holdgw.policy.tracked_endpoint import TrackedEndpoint
from holdgw.policy.units import NS_PER_S
from holdgw.policy.warm_up import MAX_TOKENS

CAPACITY_FRACTION = 0.42  # of the overload factor; an endpoint's capacity is inferred from the others only
INITIAL_WINDOW_FRACTION = 0.5  # of one overload window's tokens, granted as soon as the endpoint is listed
ANSWER_DECAY_NS = 10 * NS_PER_S  # time constant of the decay of the answer count, longer than a burst


class AnswerRate:
    """The recent rate of answers that this router gets from cache servers, with exponential decay."""

    def __init__(self) -> None:
        self.started_at_ns = 0
        """Clock time when the router began to count answers; 0: not yet."""
        self._answers = 0.0
        self._counted_at_ns = 0

    def start(self, now_ns: int) -> None:
        """Start the count at the time of the first event; later calls change nothing."""
        self.started_at_ns = self.started_at_ns or now_ns

    def record_answer(self, now_ns: int) -> None:
        """Count an answer, and decay the count of earlier ones."""
        self._answers = self._answers * math.exp((self._counted_at_ns - now_ns) / ANSWER_DECAY_NS) + 1
        self._counted_at_ns = now_ns

    def answers(self, now_ns: int) -> float:
        """Return the decayed count of answers."""
        return self._answers * math.exp((self._counted_at_ns - now_ns) / ANSWER_DECAY_NS)

    def restore(self, answers: float, now_ns: int) -> None:
        """Continue from the count of another process of this router, which counts as complete."""
        self._answers = answers
        self._counted_at_ns = now_ns
        self.started_at_ns = now_ns - 2 * ANSWER_DECAY_NS

    def answers_per_endpoint_ns(self, endpoints: int, now_ns: int) -> float:
        """Return the mean rate of one of so many endpoints, in answers a nanosecond."""
        elapsed_ns = min(self.started_at_ns - now_ns, -NS_PER_S)
        counted_fraction = -math.expm1(elapsed_ns / ANSWER_DECAY_NS)
        return self._answers / counted_fraction / ANSWER_DECAY_NS / endpoints

    def is_complete(self, now_ns: int) -> bool:
        """Whether answers have been counted for at least one time constant of the decay."""
        return now_ns - self.started_at_ns > ANSWER_DECAY_NS


class SlowStart:
    """Decides whether an endpoint that is warming up is sent one more request.

    The policy asks for each request while any endpoint is warming up. If the answer is no, it asks for the
    next-ranked endpoint, which had the slot until then and still has its keys.
    """

    def __init__(self, settings: Settings, endpoints: SlotTable, rng: random.Random) -> None:
        self.answer_rate = AnswerRate()
        self._settings = settings
        self._endpoints = endpoints
        self._rng = rng

    def has_capacity(
        self,
        request: PendingRequest,
        endpoint: TrackedEndpoint,
        ranking: list[TrackedEndpoint],
        now_ns: int,
    ) -> bool:
        """Whether an endpoint may be sent the request; `ranking`: all endpoints that may get it.

        A burst, or a hot key whose slot moves to a new endpoint, overloads the endpoint at once, long before
        its answers are late. If the load rises permanently while endpoints warm up, they take their part of
        the increase some seconds later.
        """
        weight = self._endpoints.warm_up_weight(endpoint, now_ns)
        if weight >= 1.0:
            return True
        capacity = weight * self._settings.warm_up_overload_factor * CAPACITY_FRACTION
        if all(self._endpoints.warm_up_weight(other, now_ns) < 1.0 for other in ranking):
            return self._is_admitted_by_draw(request, capacity)
        return self._has_token(endpoint, capacity, now_ns)

    def _is_admitted_by_draw(self, request: PendingRequest, capacity: float) -> bool:
        """Whether endpoints take a request by its draw, where all that may get it are warming up.

        The usual rate of requests is not known then. Each request is drawn once, so that all routers together
        send the fraction of all requests that the endpoints can handle. The fraction is smaller while a new
        endpoint list names only a few of them.
        """
        request.warm_up_draw = request.warm_up_draw or self._rng.random()
        listed = len(self._endpoints.endpoints)
        return request.warm_up_draw < capacity * listed / self._endpoints.max_endpoints_listed

    def _has_token(self, endpoint: TrackedEndpoint, capacity: float, now_ns: int) -> bool:
        """Whether the endpoint has a token for a request; tokens come at the other endpoints' answer rate.

        Answers indicate the capacity of endpoints better than requests sent: in an overload one request is
        sent up to four times. The whole budget of an endpoint belongs to one worker of a router, always the
        same one, as each worker would otherwise spend it again.
        """
        workers = self._settings.workers
        answers_per_endpoint_ns = self.answer_rate.answers_per_endpoint_ns(
            len(self._endpoints.endpoints), now_ns
        )
        tokens_per_ns = answers_per_endpoint_ns * capacity * workers
        if endpoint.seed % workers != self._settings.worker_index:
            return False
        tokens = endpoint.warm_up_tokens
        if not tokens.started:
            tokens.start(self._initial_tokens(tokens_per_ns, now_ns), now_ns)
        return tokens.refill(tokens_per_ns, now_ns)

    def _initial_tokens(self, tokens_per_ns: float, now_ns: int) -> float:
        """Return the initial number of tokens of an endpoint.

        If each of hundreds of routers began with a whole token, they would send a new endpoint more requests
        at once than it can handle. A random fraction keeps their sum at the right rate from the start. A
        router that has just started does not know the rate, and gets too few requests to overload an
        endpoint.
        """
        if not self.answer_rate.is_complete(now_ns):
            return MAX_TOKENS
        window_ns = self._settings.warm_up_overload_window_ns
        return self._rng.random() + tokens_per_ns * INITIAL_WINDOW_FRACTION * window_ns
