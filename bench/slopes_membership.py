"""What knowing one another costs and how soon it learns, and what carrying other changes that way would take.

Simulated time, memberships alone over 43 sites with 1 % of datagrams lost (bench.slopes_tier).
"""

from __future__ import annotations

import statistics

from bench.capacity_model import Measurement, Scale
from bench.membership import falsely, learn_of_deaths
from bench.slopes import REPEATS, ROUTER_COUNTS, Readings, build_measurement, measure_heap_bytes
from bench.slopes_tier import make_tier, membership_converged, timed
from holdgw.peers.datagram import MemberState, MemberUpdate, Message, MessageKind
from holdgw.peers.membership import Membership
from holdgw.simulation.membership_tier import MembershipTier

REST_S = 20.0
FALSELY_S = 60.0
DEATHS = 3
LEARN_MOST_S = 90.0
CHANGES_PER_S = 13
CHANGES_S = 20
STEP_S = 0.1


def at_rest(readings: Readings, size: int, seed: int) -> None:
    """Bytes, messages and processor time of a router while nothing happens."""
    tier = make_tier(size, seed)
    spent = timed(tier)
    bytes_before, sent_before = sum(tier.bytes.values()), sum(tier.sent.values())
    tier.run(REST_S)
    by = size * REST_S
    readings.add("bytes at rest", size, (sum(tier.bytes.values()) - bytes_before) / by)
    readings.add("messages at rest", size, (sum(tier.sent.values()) - sent_before) / by)
    readings.add("processor at rest", size, spent[0] / by * 100)


def death(readings: Readings, size: int, seed: int) -> None:
    """Seconds until all learn of a death, the median of some."""
    tier = make_tier(size, seed)
    first, last = learn_of_deaths(tier, DEATHS, LEARN_MOST_S, unlearnt=LEARN_MOST_S)
    readings.add("death learnt by the first", size, statistics.median(first))
    readings.add("death learnt by all", size, statistics.median(last))


def wrong(readings: Readings, size: int, seed: int) -> None:
    """False suspicions and deaths an hour and router: 5 % lost, a tenth of the routers slow."""
    found = falsely(size, seed, FALSELY_S)
    readings.add("well ones suspected", size, found["suspected"] / size)
    readings.add("slow ones suspected", size, found["of slow"] / size)
    readings.add("held for gone falsely", size, found["gone"] / size)


class ChangePropagation:
    """Changes on their way over a tier, and how long each took to be everywhere.

    A change is a router's own next incarnation: small, versioned, and spread by what is there today.
    """

    def __init__(self, tier: MembershipTier) -> None:
        self._tier = tier
        self._open: dict[int, tuple[int, int, set[int]]] = {}  # by router: incarnation, since, who lacks it
        self.durations_s: list[float] = []

    def change(self, number: int) -> None:
        """This router's state changes."""
        member = self._tier.members[number]
        if member is None or number in self._open:
            return
        update = MemberUpdate(number, MemberState.GONE, member.incarnation, 0)
        other = (number + 1) % self._tier.size
        neighbour = self._tier.members[other]
        boot_id = neighbour.boot_id if neighbour is not None else 1
        message = Message(MessageKind.UPDATES, other, boot_id, 0, 0, 0, 0, (update,))
        member.receive(message, self._tier.now)
        lacking = set(range(self._tier.size)) - {number}
        self._open[number] = member.incarnation, self._tier.now, lacking

    def update(self) -> None:
        """Note which changes are everywhere by now."""
        for number, (incarnation, since, lacking) in list(self._open.items()):
            for who in list(lacking):
                member = self._tier.members[who]
                if member is not None and member.members[number].incarnation >= incarnation:
                    lacking.discard(who)
            if not lacking:
                self.durations_s.append((self._tier.now - since) / 1e9)
                del self._open[number]

    @property
    def pending(self) -> int:
        """Changes that are not everywhere yet."""
        return len(self._open)


def changes(readings: Readings, size: int, seed: int) -> None:
    """One change alone, and 13 a second: until all routers have it, and bytes of a router."""
    tier = make_tier(size, seed)
    told = ChangePropagation(tier)
    told.change(0)
    while told.pending and tier.now < 120e9:
        tier.run(STEP_S)
        told.update()
    readings.add("one change everywhere", size, told.durations_s[0] if told.durations_s else LEARN_MOST_S)
    tier = make_tier(size, seed)
    told = ChangePropagation(tier)
    spent = timed(tier)
    before = sum(tier.bytes.values())
    for step in range(round(CHANGES_S / STEP_S)):
        due = int((step + 1) * STEP_S * CHANGES_PER_S) - int(step * STEP_S * CHANGES_PER_S)
        for _ in range(due):
            told.change(tier.random.randrange(size))
        tier.run(STEP_S)
        told.update()
    readings.add("bytes at 13 changes a second", size, (sum(tier.bytes.values()) - before) / CHANGES_S / size)
    readings.add("processor at 13 changes a second", size, spent[0] / CHANGES_S / size * 100)
    ends = tier.now + int(LEARN_MOST_S / 3 * 1e9)
    while told.pending and tier.now < ends:
        tier.run(STEP_S)
        told.update()
    took = sorted(told.durations_s) + [LEARN_MOST_S] * told.pending
    readings.add("13 changes a second: median", size, took[len(took) // 2])
    readings.add("13 changes a second: slowest of 100", size, took[int(len(took) * 0.99)])
    readings.add("13 changes a second: not everywhere", size, told.pending / max(len(took), 1))


def memory(readings: Readings, size: int) -> None:
    """What Python holds for one router's membership."""
    held, _ = measure_heap_bytes(lambda: Membership(0, size, 0, 1, 0))
    readings.add("memory", size, held / 1e6)


SERIES = (
    ("bytes at rest", "bytes a second"),
    ("messages at rest", "a second"),
    ("processor at rest", "% of a core"),
    ("well ones suspected", "an hour and router"),
    ("slow ones suspected", "an hour and router"),
    ("held for gone falsely", "an hour and router"),
    ("bytes at 13 changes a second", "bytes a second"),
    ("processor at 13 changes a second", "% of a core"),
    ("13 changes a second: not everywhere", "of all changes"),
    ("memory", "MB"),
)
BY_LOG = (
    "death learnt by the first",
    "death learnt by all",
    "one change everywhere",
    "13 changes a second: median",
    "13 changes a second: slowest of 100",
)


def measure() -> Measurement:
    """All of it; some ten minutes on one core."""
    readings = Readings()
    for name, unit in SERIES:
        readings.declare_series(name, "routers", unit)
    for name in BY_LOG:
        readings.declare_series(name, "routers", "s", Scale.LOG2)
    for size in ROUTER_COUNTS:
        memory(readings, size)
        for seed in range(1, REPEATS + 1):
            at_rest(readings, size, seed)
            death(readings, size, seed)
            changes(readings, size, seed)
            wrong(readings, size, seed)
    assert membership_converged(make_tier(ROUTER_COUNTS[0], 1), range(ROUTER_COUNTS[0]))
    return build_measurement("membership", readings)
