"""Measures a router's processor time per request by value length, and its memory while values are streamed.

The deploy file's `run` serves on one core over loopback (bench.slopes_run). The router buffers values of up
to 64 KiB whole and streams longer ones, so that each kind has a series and a fitted line of its own.
"""

from __future__ import annotations

from bench.capacity_model import Measurement
from bench.slopes import REPEATS, Readings, build_measurement
from bench.slopes_run import running_rig

BUFFERED_BYTES = (1_000, 8_000, 16_000, 32_000, 64_000)
STREAMED_BYTES = (128_000, 458_000, 1_000_000, 2_000_000, 4_000_000)
OPEN_VALUE_COUNTS = (8, 16, 32, 64, 128)
MEAN_BYTES = 458_000
REQUESTS_PER_S = 934.0
SERVERS, CONNECTIONS, MEASURED_S = 8, 64, 4.0
MAX_RUNS_PER_READING, MAX_FAILURE_FRACTION = 5, 0.03


def measure_cpu(readings: Readings, name: str, size: int) -> None:
    """Add the processor time of a request in microseconds, each reading with a new router.

    Requests come at 934 a second, or at the rate that makes 3.4 Gbit/s if that is lower. A run with too many
    failures is repeated; SystemExit is raised after `MAX_RUNS_PER_READING` of them.
    """
    rate = min(REQUESTS_PER_S, REQUESTS_PER_S * MEAN_BYTES / size)
    for _ in range(REPEATS):
        for _ in range(MAX_RUNS_PER_READING):
            with running_rig(SERVERS, size) as rig:
                result = rig.measure_load(rig.add_router(), CONNECTIONS, rate, MEASURED_S)
            print(f"  {result.answers / result.seconds:.0f} a second, {result.failures} failed", flush=True)
            if result.failures <= result.answers * MAX_FAILURE_FRACTION:
                break
        else:
            raise SystemExit(f"{size} bytes: too many failures in every run")
        readings.add(name, size / 1e6, result.router_cpu_s / result.answers * 1e6)


def measure_memory(readings: Readings, connections: int) -> None:
    """Add the memory of a router, in MB, while each of `connections` clients always receives a long value."""
    with running_rig(SERVERS, MEAN_BYTES) as rig:
        result = rig.measure_load(rig.add_router(), connections, 0.0, MEASURED_S)
    readings.add("memory by long values open", connections, result.router_memory / 1e6)


def measure() -> Measurement:
    """Run the whole measurement, which takes six minutes and about two cores."""
    readings = Readings()
    readings.declare_series("held value", "MB of a value", "us a request")
    readings.declare_series("long value", "MB of a value", "us a request")
    readings.declare_series("memory by long values open", "values", "MB")
    for name, sizes in (("held value", BUFFERED_BYTES), ("long value", STREAMED_BYTES)):
        for size in sizes:
            measure_cpu(readings, name, size)
    for connections in OPEN_VALUE_COUNTS:
        for _ in range(REPEATS):
            measure_memory(readings, connections)
    return build_measurement("requests", readings)
