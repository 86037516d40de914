"""What a router holds of keys, whatever their number, and what a sketch of hot keys misses.

Objects are drawn by a Zipf law of exponent 0.9 over 2.7 billion (inverse of its integral), as
simulation/fleet.py draws them; slots come of the decisions' own checksum. One object beside them is asked for
by a known share in the second half, when the sketch is full, and the sketch says its slot's share. What
decisions hold goes by slots in use: 8,192 at the most, whatever the number of objects.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterable
from zlib import crc32

from bench.capacity_model import Measurement, Scale
from bench.slopes import REPEATS, Readings, build_measurement, measure_cpu_seconds, measure_heap_bytes
from holdgw.peers.heavy_hitters import HeavyHitters
from holdgw.policy import (
    NS_PER_S,
    AttemptEnded,
    Endpoint,
    EndpointsChanged,
    Outcome,
    RequestArrived,
    RequestClass,
    RoutingPolicy,
    Settings,
    UpdateKind,
)
from holdgw.policy.slot_table import SLOTS

OBJECTS = 2_700_000_000
EXPONENT = 0.9
HOT = 0.02  # of all requests, the slot that is to be found
STREAMS = (1_000, 2_000, 4_000, 8_000, 16_000)
COUNTERS = (64, 128, 256, 512, 1024)
SLOTS_IN_USE = (512, 1_024, 2_048, 4_096, 8_192)
KEYS_PER_SLOT = 2
STREAM = 8_000
BATCH = 280  # requests of 0.3 s, 934 a second
REQUESTS = 20_000


def drawn(draw: random.Random, objects: int) -> int:
    """An object's number by Zipf's law, by the inverse of its integral from 1 to `objects`."""
    most = objects ** (1.0 - EXPONENT)
    return int((1.0 + draw.random() * (most - 1.0)) ** (1.0 / (1.0 - EXPONENT)))


def slot(number: int) -> int:
    """The slot of an object."""
    return crc32(b"object-%d" % number) % SLOTS


def batches(stream: int, seed: int) -> list[Counter[int]]:
    """Requests by slot as they are merged, those of 0.3 s at a time; one slot is hot in the second half."""
    draw, hot = random.Random(seed), slot(-1)
    slots = [
        hot if i >= stream // 2 and draw.random() < HOT else slot(drawn(draw, OBJECTS)) for i in range(stream)
    ]
    return [Counter(slots[i : i + BATCH]) for i in range(0, stream, BATCH)]


def sketch_time(counters: int, made: list[Counter[int]]) -> float:
    """Microseconds a request that merging these batches takes."""
    sketch = HeavyHitters(counters)

    def merge_all() -> None:
        for batch in made:
            sketch.add_counts(batch)

    seconds, _ = measure_cpu_seconds(merge_all)
    return seconds / sum(batch.total() for batch in made) * 1e6


def error(counters: int, stream: int, seed: int) -> float:
    """How far the sketch's sure count of the hot slot is under the truth, as a part of all requests."""
    sketch, hot, true = HeavyHitters(counters), slot(-1), 0
    for batch in batches(stream, seed):
        true += batch[hot]
        sketch.add_counts(batch)
    return (true - sketch.certain(counters).get(hot, 0.0)) / stream


def keys_of(slots: int) -> list[str]:
    """Keys of objects that lie in so many slots, KEYS_PER_SLOT in each."""
    found: dict[int, list[str]] = {which: [] for which in range(slots)}
    number = 0
    while any(len(keys) < KEYS_PER_SLOT for keys in found.values()):
        which = slot(number)
        if which in found and len(found[which]) < KEYS_PER_SLOT:
            found[which].append(f"object-{number}")
        number += 1
    return [key for keys in found.values() for key in keys]


class Served:
    """One router's decisions before 96 servers, asked for keys in turn; each answer is a hit after 1 ms."""

    def __init__(self, seed: int) -> None:
        classes = (RequestClass("read", latency_objective_ns=300_000_000, deadline_ns=NS_PER_S),)
        self._router = RoutingPolicy(Settings(classes=classes), seed)
        servers = tuple(Endpoint(f"10.0.0.{i}:6379") for i in range(96))
        self._router.handle(EndpointsChanged(UpdateKind.FULL, servers), 1)
        self._number = 0

    def ask(self, keys: Iterable[str]) -> None:
        """Serve a request for each."""
        for key in keys:
            self._number += 1
            now, name = self._number * NS_PER_S // 934, f"r{self._number}"
            event = RequestArrived(name, "read", now + NS_PER_S, key=key)
            (sent, *_) = self._router.handle(event, now)
            server = getattr(sent, "server", "")
            ended = AttemptEnded(name, 0, server, Outcome.OK, True, 1_000_000)
            self._router.handle(ended, now + 1_000_000)


def decisions(readings: Readings, slots: int, keys: list[str], seed: int) -> None:
    """What decisions hold with so many slots in use, and what a request takes when all of them are known."""

    def made() -> Served:
        served = Served(seed)
        served.ask(keys)
        return served

    held, served = measure_heap_bytes(made)
    readings.add("router memory", slots, held / 1e6)
    again = [random.Random(seed).choice(keys) for _ in range(REQUESTS)]
    seconds, _ = measure_cpu_seconds(lambda: served.ask(again))
    readings.add("router time", slots, seconds / REQUESTS * 1e6)


def measure() -> Measurement:
    """All of it; two minutes."""
    readings = Readings()
    readings.declare_series("router memory", "slots in use", "MB")
    readings.declare_series("router time", "slots in use", "us a request")
    readings.declare_series("error by stream", "requests", "of all requests")
    readings.declare_series("error by counters", "counters", "of all requests", Scale.INVERSE)
    readings.declare_series("sketch time", "counters", "us a request")
    keys = {slots: keys_of(slots) for slots in SLOTS_IN_USE}
    for seed in range(1, REPEATS + 1):
        for slots in SLOTS_IN_USE:
            decisions(readings, slots, keys[slots], seed)
        for stream in STREAMS:
            readings.add("error by stream", stream, error(256, stream, seed))
        for counters in COUNTERS:
            readings.add("error by counters", counters, error(counters, STREAM, seed))
            readings.add("sketch time", counters, sketch_time(counters, batches(STREAM, seed)))
    return build_measurement("keys", readings)
