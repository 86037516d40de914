"""Shared parts of the bench.slopes_* measurements: series of readings, JSON files, processor time, memory."""

from __future__ import annotations

import os
import subprocess
import time
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from datetime import UTC, datetime
from pathlib import Path
from typing import TypeVar

import orjson

from bench.capacity_model import Measurement, Point, Scale, Series, measurement_from_json, measurement_to_json

ROOT = Path(__file__).resolve().parent.parent
DATA_FOLDER = ROOT / "bench/data/slopes"
ROUTER_COUNTS = (50, 100, 200, 400, 760)
REPEATS = 3
REFERENCE_LOOP_STEPS = 1_000_000
T = TypeVar("T")


@dataclass
class Readings:
    """Collects the points of several series; `commit` is the program's commit when the measurement starts."""

    commit: str = field(default_factory=lambda: program_commit())
    _series: dict[str, Series] = field(default_factory=dict)
    _points: dict[str, list[Point]] = field(default_factory=dict)

    def declare_series(self, name: str, size_unit: str, unit: str, scale: Scale = Scale.LINEAR) -> None:
        """Declare a series; `size_unit` is the unit of its sizes, `unit` that of its values."""
        self._series[name] = Series(name, size_unit, unit, (), scale)
        self._points[name] = []

    def add(self, name: str, size: float, value: float) -> None:
        """Add a reading to a declared series, rounded to six significant digits, and print it."""
        self._points[name].append(Point(size, float(f"{value:.6g}")))
        print(f"{name} {size:g}: {value:.6g} {self._series[name].unit}", flush=True)

    def all_series(self) -> tuple[Series, ...]:
        """Return all declared series with their points."""
        return tuple(
            Series(
                declared.name, declared.size_unit, declared.unit, tuple(self._points[name]), declared.scale
            )
            for name, declared in self._series.items()
        )


def program_commit() -> str:
    """Return the last commit that changed `holdgw`, with `+changes` if its files have uncommitted changes."""
    revision = _git("log", "-1", "--format=%h", "--abbrev=8", "--", "holdgw")
    return revision + ("+changes" if _git("status", "--porcelain", "--", "holdgw") else "")


def _git(*arguments: str) -> str:
    completed = subprocess.run(("git", *arguments), cwd=ROOT, capture_output=True, text=True, check=True)
    return completed.stdout.strip()


def build_measurement(name: str, readings: Readings) -> Measurement:
    """Return the series of a finished measurement with its command, commit, date and machine."""
    from holdgw.policy import routing_policy

    return Measurement(
        name=name,
        command=f"python -m bench.capacity --measure {name}",
        commit=readings.commit,
        date=datetime.now(UTC).strftime("%Y-%m-%dT%H:%MZ"),
        cores=os.cpu_count() or 1,
        compiled=not str(routing_policy.__file__).endswith(".py"),
        pace=reference_loop_ms(),
        series=readings.all_series(),
    )


def reference_loop_ms() -> float:
    """Return the processor time of a fixed loop in milliseconds, the minimum of `REPEATS` runs."""

    def loop() -> int:
        return sum(number & 3 for number in range(REFERENCE_LOOP_STEPS))

    return round(min(measure_cpu_seconds(loop)[0] for _ in range(REPEATS)) * 1e3, 1)


def store(measurement: Measurement, folder: Path = DATA_FOLDER) -> None:
    """Write a measurement to its JSON file, named after it, and create the folder if necessary."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / f"{measurement.name}.json").write_bytes(_encode(measurement))


def _encode(measurement: Measurement) -> bytes:
    """Encode as JSON with one line for each series, so that diffs stay readable."""
    document = measurement_to_json(measurement)
    series = document.pop("series")
    head = orjson.dumps(document, option=orjson.OPT_INDENT_2)[:-2]
    lines = b",\n".join(b"    " + orjson.dumps(entry) for entry in series)
    return head + b',\n  "series": [\n' + lines + b"\n  ]\n}\n"


def load(folder: Path = DATA_FOLDER) -> dict[str, Measurement]:
    """Return all stored measurements by name."""
    return {
        path.stem: measurement_from_json(orjson.loads(path.read_bytes()))
        for path in sorted(folder.glob("*.json"))
    }


def measure_cpu_seconds(call: Callable[[], T]) -> tuple[float, T]:
    """Return the processor seconds of this process that a call takes, and the call's result."""
    before = time.process_time()
    result = call()
    return time.process_time() - before, result


def measure_heap_bytes(make: Callable[[], T]) -> tuple[int, T]:
    """Return the bytes that Python still holds after a call that builds an object, and the object."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    result = make()
    held_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return held_bytes, result


class Stopwatch:
    """Adds up the processor seconds that one thread spends inside `running` blocks."""

    def __init__(self) -> None:
        self.seconds = 0.0

    @contextmanager
    def running(self) -> Iterator[None]:
        """Add the processor time of the enclosed block."""
        before = time.thread_time_ns()
        try:
            yield
        finally:
            self.seconds += (time.thread_time_ns() - before) / 1e9
