"""A ready endpoint as this router sees it: attempts in flight, health, slot retention."""

from __future__ import annotations

import math
from hashlib import blake2b

from holdgw.policy.endpoints import Endpoint
from holdgw.policy.events import Outcome
from holdgw.policy.handover_state import EndpointHandover
from holdgw.policy.slot_rebalancing import releases_slot
from holdgw.policy.units import NS_PER_S

LATE_ANSWER_FACTOR = 0.7  # a chance is cut so by a late answer
GOOD_ANSWER_STEP = 0.05  # and raised so by a good one
MIN_ADMISSION_PROBABILITY = 0.05
OVERLOADED_ANSWER_FACTOR = 0.85  # the same by one that says full: it took next to nothing from the server
# What counts a server as dead, in a row: refused connections, resets, errors, attempts with no answer to
# anything meanwhile.
MAX_CONSECUTIVE_CONNECT_FAILURES = 3
MAX_CONSECUTIVE_RESETS = 6
MAX_CONSECUTIVE_ERRORS = 4
MAX_CONSECUTIVE_UNANSWERED = 3
# A server's share of its slots falls with each request while its smoothed share of late, full or missing
# answers is over the first, and that of the next-ranked server under the second; it comes back in time.
FAILURE_FRACTION_SAMPLES = 32
DONOR_FAILURE_FRACTION = 0.25
RECEIVER_FAILURE_FRACTION = 0.1
RELEASE_PER_REQUEST = 1 / 16
MIN_SLOT_RETENTION = 0.04
RETENTION_RECOVERY_NS = 20 * NS_PER_S
RELEASE_RATE_PER_S = 0.5  # of its slots a second, at twice that
MAX_REPORT_INTERVAL_NS = NS_PER_S  # a report speaks for so long
RECOVERY_NS = (
    60 * NS_PER_S
)  # time in which a chance comes back by itself, where answers are too few to bring it
EJECTED_PROBABILITY = (
    -0.02
)  # the chance after a refused connection: none for that part of REGAIN, then trials


class TrackedEndpoint:
    """A ready server as this router sees it: own attempts out, and health as the chance to be sent to."""

    def __init__(self, entry: Endpoint, weighted: bool) -> None:
        self.entry, self.in_flight = entry, 0
        self.usual_in_flight = 0.0  # smoothed own attempts out when one more was sent
        self.weight = entry.weight if weighted else 1.0  # the list's, where that means size
        self.seed = int.from_bytes(blake2b(entry.id.encode(), digest_size=8).digest(), "big")
        self.ejected = False  # refuses connections, and no good answer since
        self._connect_failures = 0  # connections in a row that never came up
        self._resets = 0  # connections that broke under a request since the last answer
        self._errors = 0  # errors in a row: one that answers nothing else is of no use, however quick
        self._unanswered = 0  # attempts in a row during which it answered nothing
        self.answered_at_ns = 0  # when it last did
        self.latency_ns = 0.0  # smoothed latency of answers
        self._probability, self._probability_at_ns = 1.0, 0
        self.failure_fraction = 0.0  # smoothed share of answers that are late, full or missing
        self.max_response_time_ns = math.inf  # of that, past which it is sent less
        # What an answer takes there by its last load report, and as of when.
        self.reported_response_time_ns, self.reported_at_ns = 0.0, 0
        self.slot_retention, self._retention_at_ns = (
            1.0,
            0,
        )  # the part of its slots that it keeps, and as of when
        self.warm_up_tokens, self.warm_up_tokens_at_ns = (
            0.0,
            0,
        )  # attempts that it may be sent while cold, and as of when; 0: never

    def retains(self, slot: int, now: int) -> bool:
        """Whether it keeps this slot; the same ones go first at every router, and come back last."""
        if self.slot_retention >= 1.0:
            return True
        if self.failure_fraction < RECEIVER_FAILURE_FRACTION:
            self.slot_retention = min(
                1.0, self.slot_retention + (now - self._retention_at_ns) / RETENTION_RECOVERY_NS
            )
        self._retention_at_ns = now
        return not releases_slot(slot, self.seed, self.slot_retention)

    def apply_load_report(self, wait: float, most: float, now: int) -> None:
        """Take a load report: over its load a server gives up slots, by time and not by answers.

        Danger: of forty routers each meets a server twice in a second or less, and would count late answers
        for ten seconds until it knew; the report tells each of them at once what all of them do there. All
        let the same slots go at the same pace. It could do harm where reports lie: a server that says it is
        slow loses slots for as long.
        """
        self.reported_response_time_ns = wait
        if wait > most:
            elapsed = min(now - self.reported_at_ns, MAX_REPORT_INTERVAL_NS) / NS_PER_S
            self.slot_retention = max(
                self.slot_retention * math.exp(-RELEASE_RATE_PER_S * min(wait / most - 1.0, 2.0) * elapsed),
                MIN_SLOT_RETENTION,
            )
            self._retention_at_ns = now
        self.reported_at_ns = now

    def release_slots(self, now: int) -> None:
        """Give up some of the slots: a request met it over its load, and another server could take it."""
        much = RELEASE_PER_REQUEST * (self.failure_fraction - DONOR_FAILURE_FRACTION)
        self.slot_retention, self._retention_at_ns = (
            max(self.slot_retention * (1.0 - much), MIN_SLOT_RETENTION),
            now,
        )

    def _recovered_probability(self, now: int) -> float:
        """The chance by what its answers told, come back by itself since."""
        return (
            min(1.0, self._probability + (now - self._probability_at_ns) / RECOVERY_NS)
            if self._probability < 1.0
            else 1.0
        )

    def admission_probability(self, now: int) -> float:
        """The chance now; 0 or less for a while after a refused connection."""
        chance = self._recovered_probability(now)
        if (
            self.reported_response_time_ns > self.max_response_time_ns
            and (wait := self.expected_response_time_ns(now)) > self.max_response_time_ns
        ):
            chance = min(chance, self.max_response_time_ns / wait)
        return chance

    def expected_response_time_ns(self, now: int) -> float:
        """What an answer takes there by its last report, which says less with each second."""
        return self.reported_response_time_ns * math.pow(0.5, (now - self.reported_at_ns) / NS_PER_S)

    def restore(self, learnt: EndpointHandover, now: int) -> None:
        """Go on from what another process found out."""
        self._probability, self._probability_at_ns, self.ejected = (
            learnt.admission_probability,
            now,
            learnt.ejected,
        )
        self.slot_retention, self._retention_at_ns, self.failure_fraction = (
            learnt.slot_retention,
            now,
            learnt.failure_fraction,
        )
        self.latency_ns, self.usual_in_flight = learnt.latency_ns, learnt.usual_in_flight

    def record_attempt(
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
        chance = self._recovered_probability(now)
        broke, mute = outcome in (Outcome.CONNECT_FAILED, Outcome.RESET), outcome is Outcome.TIMEOUT
        self._connect_failures = self._connect_failures + 1 if outcome is Outcome.CONNECT_FAILED else 0
        self._resets = (self._resets + (outcome is Outcome.RESET)) * broke
        self._errors = self._errors + 1 if outcome is Outcome.ERROR else 0
        self._unanswered = (self._unanswered + mute) * (self.answered_at_ns <= sent)
        dead = (
            self._connect_failures >= MAX_CONSECUTIVE_CONNECT_FAILURES
            or deserted
            or self._resets >= MAX_CONSECUTIVE_RESETS
        )
        dead = (
            dead
            or self._errors >= MAX_CONSECUTIVE_ERRORS
            or (self._unanswered >= MAX_CONSECUTIVE_UNANSWERED and alone)
        )
        if dead or (self.ejected and (broke or mute)):
            chance, self.ejected = EJECTED_PROBABILITY, True
        elif broke or (mute and (not late or (self._unanswered and alone))):
            pass  # the next ones tell
        elif late or mute or outcome is Outcome.OVERLOADED:
            chance = max(
                chance * (OVERLOADED_ANSWER_FACTOR if outcome is Outcome.OVERLOADED else LATE_ANSWER_FACTOR),
                MIN_ADMISSION_PROBABILITY,
            )
            self.failure_fraction += (1.0 - self.failure_fraction) / FAILURE_FRACTION_SAMPLES
        elif outcome in (Outcome.OK, Outcome.MISS):
            chance, self.ejected = min(1.0, chance + GOOD_ANSWER_STEP), False
            self.failure_fraction -= self.failure_fraction / FAILURE_FRACTION_SAMPLES
        self._probability, self._probability_at_ns = chance, now
