"""A ready endpoint as this router sees it: attempts in flight, health, slot retention."""

from __future__ import annotations

import math
from hashlib import blake2b

from holdgw.policy.endpoints import Endpoint
from holdgw.policy.events import Outcome
from holdgw.policy.handover_state import EndpointHandover
from holdgw.policy.slot_rebalancing import gives
from holdgw.policy.units import NS_PER_S

PASS_CUT = 0.7  # a chance is cut so by a late answer
PASS_RISE = 0.05  # and raised so by a good one
PASS_FLOOR = 0.05
FULL_CUT = 0.85  # the same by one that says full: it took next to nothing from the server
# What counts a server as dead, in a row: refused connections, resets, errors, attempts with no answer to
# anything meanwhile.
STRIKES = 3
RESETS = 6
ERRORS = 4
MUTE = 3
# A server's share of its slots falls with each request while its smoothed share of late, full or missing
# answers is over the first, and that of the next-ranked server under the second; it comes back in time.
BAD_ANSWERS = 32
LEAN_BAD = 0.25
LEAN_WELL = 0.1
LEAN = 1 / 16
LEAN_FLOOR = 0.04
LEAN_REGAIN = 20 * NS_PER_S
SHED_RATE = 0.5  # of its slots a second, at twice that
SHED_MOST = NS_PER_S  # a report speaks for so long
REGAIN = 60 * NS_PER_S  # time in which a chance comes back by itself, where answers are too few to bring it
DEAD = -0.02  # the chance after a refused connection: none for that part of REGAIN, then trials


class TrackedEndpoint:
    """A ready server as this router sees it: own attempts out, and health as the chance to be sent to."""

    def __init__(self, entry: Endpoint, weighted: bool) -> None:
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

    def recall(self, learnt: EndpointHandover, now: int) -> None:
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
