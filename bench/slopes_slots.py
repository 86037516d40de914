"""How even slots lie over servers, and what more slots cost in time, moves and memory."""

from __future__ import annotations

from collections import Counter

from bench.capacity_model import Measurement, Scale
from bench.slopes import REPEATS, Readings, build_measurement, measure_cpu_seconds, measure_heap_bytes
from holdgw.policy import Endpoint, RequestClass, Settings
from holdgw.policy.slot_table import SLOTS, SlotTable

SERVERS = (12, 24, 48, 72, 96)
SLOT_COUNTS = (4096, 8192, 16384, 32768, 65536)
FLEET = 96
SETTINGS = Settings(
    classes=(RequestClass("read", latency_objective_ns=300_000_000, deadline_ns=1_000_000_000),)
)


def servers(count: int, seed: int) -> list[Endpoint]:
    """So many servers with addresses of their own for each seed."""
    return [Endpoint(f"10.{seed}.{i // 250}.{i % 250}:6379") for i in range(count)]


def make_table(count: int, seed: int) -> SlotTable:
    """A slot table over so many servers, with nothing ranked yet."""
    found = SlotTable(SETTINGS)
    found.update(servers(count, seed), [])
    return found


def owners(ranked: SlotTable, slots: int) -> list[str]:
    """The server that each slot is at."""
    return [ranked.rank(slot, 0)[0].entry.id for slot in range(slots)]


def excess(held: list[str], count: int) -> float:
    """By what part of the mean the busiest server's slots are over it."""
    return max(Counter(held).values()) * count / len(held) - 1.0


def by_servers(readings: Readings, count: int, seed: int) -> None:
    """Readings at 8,192 slots."""
    ranked = make_table(count, seed)
    seconds, before = measure_cpu_seconds(lambda: owners(ranked, SLOTS))
    readings.add("excess by servers", count, excess(before, count))
    readings.add("rank a slot", count, seconds / SLOTS * 1e6)
    ranked.update([], [before[0]])
    after = owners(ranked, SLOTS)
    moved = sum(a != b for a, b in zip(before, after, strict=True))
    readings.add("moves by servers", count, moved / SLOTS)


def by_slots(readings: Readings, slots: int, seed: int) -> None:
    """Readings over 96 servers."""
    ranked = make_table(FLEET, seed)
    seconds, before = measure_cpu_seconds(lambda: owners(ranked, slots))
    readings.add("excess by slots", slots, excess(before, FLEET))
    readings.add("rank all", slots, seconds * 1e3)
    ranked.update([], [before[0]])
    seconds, _ = measure_cpu_seconds(lambda: owners(ranked, slots))
    readings.add("one server leaves", slots, seconds * 1e3)


def memory_by_slots(readings: Readings, slots: int) -> None:
    """What the whole table holds over 96 servers."""
    ranked = make_table(FLEET, 1)
    held, _ = measure_heap_bytes(lambda: Counter(ranked.rank(slot, 0)[0].entry.id for slot in range(slots)))
    readings.add("table memory", slots, held / 1e6)


def measure() -> Measurement:
    """All of it; a minute."""
    readings = Readings()
    readings.declare_series("excess by servers", "servers", "of the mean")
    readings.declare_series("rank a slot", "servers", "us")
    readings.declare_series("moves by servers", "servers", "of all slots", Scale.INVERSE)
    readings.declare_series("excess by slots", "slots", "of the mean", Scale.INVERSE_ROOT)
    readings.declare_series("rank all", "slots", "ms")
    readings.declare_series("one server leaves", "slots", "ms")
    readings.declare_series("table memory", "slots", "MB")
    for seed in range(1, REPEATS + 3):
        for count in SERVERS:
            by_servers(readings, count, seed)
    for seed in range(1, REPEATS + 1):
        for slots in SLOT_COUNTS:
            by_slots(readings, slots, seed)
    for slots in SLOT_COUNTS:
        memory_by_slots(readings, slots)
    return build_measurement("slots", readings)
