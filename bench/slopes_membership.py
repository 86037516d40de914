"""Measures the cost of the membership, its detection of deaths, and how it would spread other changes.

Memberships run alone in simulated time over 43 sites, with 1 % of datagrams lost (bench.slopes_tier).
"""

from __future__ import annotations

import statistics

from bench.capacity_model import Measurement, Scale
from bench.membership import false_suspicions, learn_of_deaths
from bench.slopes import REPEATS, ROUTER_COUNTS, Readings, build_measurement, measure_heap_bytes
from bench.slopes_tier import make_tier, measure_members_cpu, membership_converged
from holdgw.peers.datagram import MemberState, MemberUpdate, Message, MessageKind
from holdgw.peers.membership import Membership
from holdgw.simulation.membership_tier import MembershipTier

IDLE_S = 20.0
FALSE_SUSPICIONS_S = 60.0
DEATHS = 3
MAX_SPREAD_S = 90.0
CHANGES_PER_S = 13
CHANGES_S = 20
STEP_S = 0.1


def measure_idle(readings: Readings, size: int, seed: int) -> None:
    """Add bytes, messages and processor time of a router while nothing changes."""
    tier = make_tier(size, seed)
    cpu_s = measure_members_cpu(tier)
    bytes_before, sent_before = sum(tier.bytes.values()), sum(tier.sent.values())
    tier.run(IDLE_S)
    router_seconds = size * IDLE_S
    readings.add("bytes at rest", size, (sum(tier.bytes.values()) - bytes_before) / router_seconds)
    readings.add("messages at rest", size, (sum(tier.sent.values()) - sent_before) / router_seconds)
    readings.add("processor at rest", size, cpu_s[0] / router_seconds * 100)


def measure_deaths(readings: Readings, size: int, seed: int) -> None:
    """Add the seconds until the first and the last router learn of a death, the medians of `DEATHS`."""
    tier = make_tier(size, seed)
    first, last = learn_of_deaths(tier, DEATHS, MAX_SPREAD_S, unlearnt=MAX_SPREAD_S)
    readings.add("death learnt by the first", size, statistics.median(first))
    readings.add("death learnt by all", size, statistics.median(last))


def measure_false_suspicions(readings: Readings, size: int, seed: int) -> None:
    """Add false suspicions and deaths per hour and router: 5 % of datagrams lost, a tenth of routers slow."""
    counts = false_suspicions(size, seed, FALSE_SUSPICIONS_S)
    readings.add("well ones suspected", size, counts["suspected"] / size)
    readings.add("slow ones suspected", size, counts["of slow"] / size)
    readings.add("held for gone falsely", size, counts["gone"] / size)


class ChangePropagation:
    """Starts changes in a tier and measures how long each takes to reach every router.

    A change is a router's next incarnation. It stands for any small versioned change that the membership
    would spread by the same messages.
    """

    def __init__(self, tier: MembershipTier) -> None:
        self._tier = tier
        # By router: incarnation, start in ns, routers that lack the change.
        self._pending: dict[int, tuple[int, int, set[int]]] = {}
        self.durations_s: list[float] = []
        """Durations of the changes that have reached every router."""

    def change(self, number: int) -> None:
        """Make a router start its next incarnation, by a false update that it is gone, which it refutes.

        Nothing is sent if the router doesn't run or if its last change is still pending.
        """
        member = self._tier.members[number]
        if member is None or number in self._pending:
            return
        update = MemberUpdate(number, MemberState.GONE, member.incarnation, 0)
        sender_number = (number + 1) % self._tier.size
        sender = self._tier.members[sender_number]
        boot_id = sender.boot_id if sender is not None else 1
        message = Message(MessageKind.UPDATES, sender_number, boot_id, 0, 0, 0, 0, (update,))
        member.receive(message, self._tier.now)
        lacking = set(range(self._tier.size)) - {number}
        self._pending[number] = member.incarnation, self._tier.now, lacking

    def update(self) -> None:
        """Record the duration of each change that has reached every router by now."""
        for number, (incarnation, since, lacking) in list(self._pending.items()):
            for other in list(lacking):
                member = self._tier.members[other]
                if member is not None and member.members[number].incarnation >= incarnation:
                    lacking.discard(other)
            if not lacking:
                self.durations_s.append((self._tier.now - since) / 1e9)
                del self._pending[number]

    @property
    def pending(self) -> int:
        """Number of changes that have not reached every router yet."""
        return len(self._pending)


def measure_changes(readings: Readings, size: int, seed: int) -> None:
    """Add the time in which changes reach all routers, for a single one and for 13 a second.

    At 13 a second, add also each router's bytes and processor time, and the fraction of changes that don't
    reach all routers in time.
    """
    tier = make_tier(size, seed)
    propagation = ChangePropagation(tier)
    propagation.change(0)
    while propagation.pending and tier.now < 120e9:
        tier.run(STEP_S)
        propagation.update()
    readings.add(
        "one change everywhere", size, propagation.durations_s[0] if propagation.durations_s else MAX_SPREAD_S
    )
    tier = make_tier(size, seed)
    propagation = ChangePropagation(tier)
    cpu_s = measure_members_cpu(tier)
    bytes_before = sum(tier.bytes.values())
    for step in range(round(CHANGES_S / STEP_S)):
        due = int((step + 1) * STEP_S * CHANGES_PER_S) - int(step * STEP_S * CHANGES_PER_S)
        for _ in range(due):
            propagation.change(tier.random.randrange(size))
        tier.run(STEP_S)
        propagation.update()
    readings.add(
        "bytes at 13 changes a second", size, (sum(tier.bytes.values()) - bytes_before) / CHANGES_S / size
    )
    readings.add("processor at 13 changes a second", size, cpu_s[0] / CHANGES_S / size * 100)
    end = tier.now + int(MAX_SPREAD_S / 3 * 1e9)
    while propagation.pending and tier.now < end:
        tier.run(STEP_S)
        propagation.update()
    durations_s = sorted(propagation.durations_s) + [MAX_SPREAD_S] * propagation.pending
    readings.add("13 changes a second: median", size, durations_s[len(durations_s) // 2])
    readings.add("13 changes a second: slowest of 100", size, durations_s[int(len(durations_s) * 0.99)])
    readings.add("13 changes a second: not everywhere", size, propagation.pending / max(len(durations_s), 1))


def measure_memory(readings: Readings, size: int) -> None:
    """Add the memory that Python holds for the membership of one router, in MB."""
    held_bytes, _ = measure_heap_bytes(lambda: Membership(0, size, 0, 1, 0))
    readings.add("memory", size, held_bytes / 1e6)


LINEAR_SERIES = (
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
LOG2_SERIES = (
    "death learnt by the first",
    "death learnt by all",
    "one change everywhere",
    "13 changes a second: median",
    "13 changes a second: slowest of 100",
)


def measure() -> Measurement:
    """Run the whole measurement, which takes about ten minutes on one core."""
    readings = Readings()
    for name, unit in LINEAR_SERIES:
        readings.declare_series(name, "routers", unit)
    for name in LOG2_SERIES:
        readings.declare_series(name, "routers", "s", Scale.LOG2)
    for size in ROUTER_COUNTS:
        measure_memory(readings, size)
        for seed in range(1, REPEATS + 1):
            measure_idle(readings, size, seed)
            measure_deaths(readings, size, seed)
            measure_changes(readings, size, seed)
            measure_false_suspicions(readings, size, seed)
    assert membership_converged(make_tier(ROUTER_COUNTS[0], 1), range(ROUTER_COUNTS[0]))
    return build_measurement("membership", readings)
