"""How many requests a warming endpoint is sent, by its warm-up weight and by what the others answer."""

from __future__ import annotations

import math
import random

from holdgw.policy.pending_request import PendingRequest
from holdgw.policy.settings import Settings
from holdgw.policy.slot_table import SlotTable
from holdgw.policy.tracked_endpoint import TrackedEndpoint
from holdgw.policy.units import NS_PER_S
from holdgw.policy.warm_up import MAX_TOKENS

CAPACITY_FRACTION = 0.42  # of the overload factor: what an endpoint can do is known from the others only
INITIAL_WINDOW_FRACTION = 0.5  # of what a window brings may be sent as soon as the endpoint is listed
ANSWER_DECAY_NS = 10 * NS_PER_S  # over which answers are counted: longer than a burst


class AnswerRate:
    """The rate of answers that this router gets from cache servers, as of lately."""

    def __init__(self) -> None:
        self.started_at_ns = 0
        """When the router began to count (clock time); 0: not yet."""
        self._answers = 0.0
        self._counted_at_ns = 0

    def start(self, now_ns: int) -> None:
        """Note the time of an event; the first one begins the count."""
        self.started_at_ns = self.started_at_ns or now_ns

    def record_answer(self, now_ns: int) -> None:
        """Count an answer; what was counted before fades."""
        self._answers = self._answers * math.exp((self._counted_at_ns - now_ns) / ANSWER_DECAY_NS) + 1
        self._counted_at_ns = now_ns

    def answers(self, now_ns: int) -> float:
        """Return the faded count of answers."""
        return self._answers * math.exp((self._counted_at_ns - now_ns) / ANSWER_DECAY_NS)

    def restore(self, answers: float, now_ns: int) -> None:
        """Go on from the count of another process of this router, which is complete."""
        self._answers = answers
        self._counted_at_ns = now_ns
        self.started_at_ns = now_ns - 2 * ANSWER_DECAY_NS

    def per_endpoint_ns(self, endpoints: int, now_ns: int) -> float:
        """Return the answers a nanosecond of one of so many endpoints."""
        elapsed_ns = min(self.started_at_ns - now_ns, -NS_PER_S)
        counted_fraction = -math.expm1(elapsed_ns / ANSWER_DECAY_NS)
        return self._answers / counted_fraction / ANSWER_DECAY_NS / endpoints

    def is_complete(self, now_ns: int) -> bool:
        """Whether answers have been counted for as long as they are remembered."""
        return now_ns - self.started_at_ns > ANSWER_DECAY_NS


class SlowStart:
    """Decides whether a warming endpoint is sent one more request.

    Asked for each request that would go to an endpoint while some endpoint warms up; if the answer is no, the
    endpoint ranked next is asked, which had the slot until then and still has its keys.
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
        """Whether an endpoint may be sent the request; `ranking`: all that may get it.

        A burst, or a hot key whose slot falls to a new endpoint, overloads it at once, long before it answers
        late. Where the load rises for good while endpoints warm up, they take their part of it some seconds
        later.
        """
        weight = self._endpoints.warm_up_weight(endpoint, now_ns)
        if weight >= 1.0:
            return True
        capacity = weight * self._settings.warm_up_overload_factor * CAPACITY_FRACTION
        if all(self._endpoints.warm_up_weight(other, now_ns) < 1.0 for other in ranking):
            return self._is_admitted_by_draw(request, capacity)
        return self._has_token(endpoint, capacity, now_ns)

    def _is_admitted_by_draw(self, request: PendingRequest, capacity: float) -> bool:
        """Whether a request is among those that warming endpoints take where no other has the keys.

        What such endpoints usually get is not known. Each request is drawn once, so that all routers together
        send the part of all requests that the endpoints can take; it is smaller while a list that is new
        names only a few of them.
        """
        request.warm_up_draw = request.warm_up_draw or self._rng.random()
        listed = len(self._endpoints.endpoints)
        return request.warm_up_draw < capacity * listed / self._endpoints.max_endpoints_listed

    def _has_token(self, endpoint: TrackedEndpoint, capacity: float, now_ns: int) -> bool:
        """Whether the endpoint has a token for a request; they come at the rate of the others' answers.

        Answers tell more of what endpoints can do than what is sent: in an overload one request is sent up to
        four times. One worker of a router has the whole budget of an endpoint, always the same one, as each
        would spend it anew.
        """
        workers = self._settings.workers
        per_endpoint_ns = self.answer_rate.per_endpoint_ns(len(self._endpoints.endpoints), now_ns)
        tokens_per_ns = per_endpoint_ns * capacity * workers
        if endpoint.seed % workers != self._settings.worker_index:
            return False
        tokens = endpoint.warm_up_tokens
        if not tokens.started:
            tokens.start(self._initial_tokens(tokens_per_ns, now_ns), now_ns)
        return tokens.refill(tokens_per_ns, now_ns)

    def _initial_tokens(self, tokens_per_ns: float, now_ns: int) -> float:
        """Return the tokens that an endpoint begins with.

        Were each of hundreds of routers to begin with a whole token, they would send a new endpoint more at
        once than it can take: a drawn fraction keeps their sum at the rate from the first. A router that has
        just started knows too little for that, and gets too few requests to do harm.
        """
        if not self.answer_rate.is_complete(now_ns):
            return MAX_TOKENS
        window_ns = self._settings.warm_up_overload_window_ns
        return self._rng.random() + tokens_per_ns * INITIAL_WINDOW_FRACTION * window_ns
