"""Measures how evenly slots are distributed over servers, and the time, moves and memory that slots cost."""

from __future__ import annotations

from collections import Counter

from bench.capacity_model import Measurement, Scale
from bench.slopes import REPEATS, Readings, build_measurement, measure_cpu_seconds, measure_heap_bytes
from holdgw.policy import Endpoint, RequestClass, Settings
from holdgw.policy.slot_table import SLOTS, SlotTable

SERVER_COUNTS = (12, 24, 48, 72, 96)
SLOT_COUNTS = (4096, 8192, 16384, 32768, 65536)
SERVERS = 96
SETTINGS = Settings(
    classes=(RequestClass("read", latency_objective_ns=300_000_000, deadline_ns=1_000_000_000),)
)


def make_servers(count: int, seed: int) -> list[Endpoint]:
    """Return servers whose addresses differ by seed."""
    return [Endpoint(f"10.{seed}.{i // 250}.{i % 250}:6379") for i in range(count)]


def make_table(count: int, seed: int) -> SlotTable:
    """Return a slot table of `count` servers in which no slot is ranked yet."""
    table = SlotTable(SETTINGS)
    table.update(make_servers(count, seed), [])
    return table


def owners(table: SlotTable, slots: int) -> list[str]:
    """Return the id of each slot's first server."""
    return [table.rank(slot, 0)[0].entry.id for slot in range(slots)]


def excess(slot_owners: list[str], count: int) -> float:
    """Return by what fraction the largest number of slots at a server exceeds the mean of `count` servers."""
    return max(Counter(slot_owners).values()) * count / len(slot_owners) - 1.0


def measure_servers(readings: Readings, count: int, seed: int) -> None:
    """Add the readings at `count` servers and 8,192 slots; the moves are those after one server has left."""
    table = make_table(count, seed)
    cpu_s, before = measure_cpu_seconds(lambda: owners(table, SLOTS))
    readings.add("excess by servers", count, excess(before, count))
    readings.add("rank a slot", count, cpu_s / SLOTS * 1e6)
    table.update([], [before[0]])
    after = owners(table, SLOTS)
    moves = sum(old != new for old, new in zip(before, after, strict=True))
    readings.add("moves by servers", count, moves / SLOTS)


def measure_slots(readings: Readings, slots: int, seed: int) -> None:
    """Add the readings at `slots` slots and 96 servers."""
    table = make_table(SERVERS, seed)
    cpu_s, before = measure_cpu_seconds(lambda: owners(table, slots))
    readings.add("excess by slots", slots, excess(before, SERVERS))
    readings.add("rank all", slots, cpu_s * 1e3)
    table.update([], [before[0]])
    cpu_s, _ = measure_cpu_seconds(lambda: owners(table, slots))
    readings.add("one server leaves", slots, cpu_s * 1e3)


def measure_memory(readings: Readings, slots: int) -> None:
    """Add the memory of a table of 96 servers in which all slots are ranked, in MB."""
    table = make_table(SERVERS, 1)
    held_bytes, _ = measure_heap_bytes(
        lambda: Counter(table.rank(slot, 0)[0].entry.id for slot in range(slots))
    )
    readings.add("table memory", slots, held_bytes / 1e6)


def measure() -> Measurement:
    """Run the whole measurement, which takes one minute."""
    readings = Readings()
    readings.declare_series("excess by servers", "servers", "of the mean")
    readings.declare_series("rank a slot", "servers", "us")
    readings.declare_series("moves by servers", "servers", "of all slots", Scale.INVERSE)
    readings.declare_series("excess by slots", "slots", "of the mean", Scale.INVERSE_ROOT)
    readings.declare_series("rank all", "slots", "ms")
    readings.declare_series("one server leaves", "slots", "ms")
    readings.declare_series("table memory", "slots", "MB")
    for seed in range(1, REPEATS + 3):
        for count in SERVER_COUNTS:
            measure_servers(readings, count, seed)
    for seed in range(1, REPEATS + 1):
        for slots in SLOT_COUNTS:
            measure_slots(readings, slots, seed)
    for slots in SLOT_COUNTS:
        measure_memory(readings, slots)
    return build_measurement("slots", readings)
