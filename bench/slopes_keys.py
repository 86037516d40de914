"""Measures the memory and time of the routing policy by slots in use, and the error of the hot-slot sketch.

Objects are drawn by Zipf's law with exponent 0.9 over 2.7 billion objects (by the inverse of its integral),
as simulation/fleet.py draws them; slots are computed with the checksum of the routing policy. In the second
half of a stream, when the sketch is full, one further object gets a known share of the requests, and the
sketch's count of its slot is compared with the true one. The memory of the routing policy depends on the
slots in use, at most 8,192, and not on the number of objects.
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
    SendAttempt,
    Settings,
    UpdateKind,
)
from holdgw.policy.slot_table import SLOTS

OBJECTS = 2_700_000_000
EXPONENT = 0.9
HOT_FRACTION = 0.02  # of requests in the second half of a stream, for the hot slot
STREAM_LENGTHS = (1_000, 2_000, 4_000, 8_000, 16_000)
COUNTER_COUNTS = (64, 128, 256, 512, 1024)
SLOTS_IN_USE = (512, 1_024, 2_048, 4_096, 8_192)
KEYS_PER_SLOT = 2
STREAM_LENGTH = 8_000
BATCH_REQUESTS = 280  # in 0.3 s at 934 a second
TIMED_REQUESTS = 20_000


def draw_object(rng: random.Random, objects: int) -> int:
    """Draw an object's number by Zipf's law, with the inverse of its integral from 1 to `objects`."""
    upper = objects ** (1.0 - EXPONENT)
    return int((1.0 + rng.random() * (upper - 1.0)) ** (1.0 / (1.0 - EXPONENT)))


def slot(number: int) -> int:
    """Return the slot of the object with this number."""
    return crc32(b"object-%d" % number) % SLOTS


def draw_batches(stream: int, seed: int) -> list[Counter[int]]:
    """Draw `stream` requests and count each 0.3 s of them by slot; one slot is hot in the second half."""
    rng, hot_slot = random.Random(seed), slot(-1)
    slots = [
        hot_slot if i >= stream // 2 and rng.random() < HOT_FRACTION else slot(draw_object(rng, OBJECTS))
        for i in range(stream)
    ]
    return [Counter(slots[i : i + BATCH_REQUESTS]) for i in range(0, stream, BATCH_REQUESTS)]


def merge_time_us(counter_count: int, batches: list[Counter[int]]) -> float:
    """Return the processor time per request, in microseconds, of merging these batches into a sketch."""
    sketch = HeavyHitters(counter_count)

    def merge_all() -> None:
        for batch in batches:
            sketch.add_counts(batch)

    cpu_s, _ = measure_cpu_seconds(merge_all)
    return cpu_s / sum(batch.total() for batch in batches) * 1e6


def sketch_error(counter_count: int, stream: int, seed: int) -> float:
    """Return by what fraction of all requests the sketch's guaranteed count of the hot slot is too low."""
    sketch, hot_slot, true_count = HeavyHitters(counter_count), slot(-1), 0
    for batch in draw_batches(stream, seed):
        true_count += batch[hot_slot]
        sketch.add_counts(batch)
    return (true_count - sketch.guaranteed(counter_count).get(hot_slot, 0.0)) / stream


def keys_of(slots: int) -> list[str]:
    """Return keys of objects in the first `slots` slots, KEYS_PER_SLOT for each."""
    keys_by_slot: dict[int, list[str]] = {slot_number: [] for slot_number in range(slots)}
    number = 0
    while any(len(keys) < KEYS_PER_SLOT for keys in keys_by_slot.values()):
        slot_number = slot(number)
        if slot_number in keys_by_slot and len(keys_by_slot[slot_number]) < KEYS_PER_SLOT:
            keys_by_slot[slot_number].append(f"object-{number}")
        number += 1
    return [key for keys in keys_by_slot.values() for key in keys]


class PolicyDriver:
    """Passes 934 requests a second to one routing policy with 96 servers; each ends with a hit after 1 ms."""

    def __init__(self, seed: int) -> None:
        classes = (RequestClass("read", latency_objective_ns=300_000_000, deadline_ns=NS_PER_S),)
        self._policy = RoutingPolicy(Settings(classes=classes), seed)
        servers = tuple(Endpoint(f"10.0.0.{i}:6379") for i in range(96))
        self._policy.handle(EndpointsChanged(UpdateKind.FULL, servers), 1)
        self._requests = 0

    def serve(self, keys: Iterable[str]) -> None:
        """Pass one request for each key to the policy."""
        for key in keys:
            self._requests += 1
            now, request_id = self._requests * NS_PER_S // 934, f"r{self._requests}"
            event = RequestArrived(request_id, "read", now + NS_PER_S, key=key)
            (sent, *_) = self._policy.handle(event, now)
            assert isinstance(sent, SendAttempt)
            ended = AttemptEnded(request_id, 0, sent.endpoint_id, Outcome.OK, True, 1_000_000)
            self._policy.handle(ended, now + 1_000_000)


def measure_policy(readings: Readings, slots: int, keys: list[str], seed: int) -> None:
    """Add the memory of a policy with `slots` slots in use, and its time per request in these slots."""

    def serve_all() -> PolicyDriver:
        driver = PolicyDriver(seed)
        driver.serve(keys)
        return driver

    held_bytes, driver = measure_heap_bytes(serve_all)
    readings.add("router memory", slots, held_bytes / 1e6)
    timed_keys = [random.Random(seed).choice(keys) for _ in range(TIMED_REQUESTS)]
    cpu_s, _ = measure_cpu_seconds(lambda: driver.serve(timed_keys))
    readings.add("router time", slots, cpu_s / TIMED_REQUESTS * 1e6)


def measure() -> Measurement:
    """Run the whole measurement, which takes two minutes."""
    readings = Readings()
    readings.declare_series("router memory", "slots in use", "MB")
    readings.declare_series("router time", "slots in use", "us a request")
    readings.declare_series("error by stream", "requests", "of all requests")
    readings.declare_series("error by counters", "counters", "of all requests", Scale.INVERSE)
    readings.declare_series("sketch time", "counters", "us a request")
    keys = {slots: keys_of(slots) for slots in SLOTS_IN_USE}
    for seed in range(1, REPEATS + 1):
        for slots in SLOTS_IN_USE:
            measure_policy(readings, slots, keys[slots], seed)
        for stream in STREAM_LENGTHS:
            readings.add("error by stream", stream, sketch_error(256, stream, seed))
        for counter_count in COUNTER_COUNTS:
            readings.add("error by counters", counter_count, sketch_error(counter_count, STREAM_LENGTH, seed))
            readings.add(
                "sketch time", counter_count, merge_time_us(counter_count, draw_batches(STREAM_LENGTH, seed))
            )
    return build_measurement("keys", readings)
