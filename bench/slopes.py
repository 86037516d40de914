"""What the measurements of bench.slopes_* share: readings gathered to series, and their files."""

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
FOLDER = ROOT / "bench/data/slopes"
ROUTERS = (50, 100, 200, 400, 760)
REPEATS = 3
PACE_STEPS = 1_000_000
T = TypeVar("T")


@dataclass
class Readings:
    """Points of several series as they come, of what is checked out as they begin."""

    commit: str = field(default_factory=lambda: commit())
    _series: dict[str, Series] = field(default_factory=dict)
    _points: dict[str, list[Point]] = field(default_factory=dict)

    def series(self, name: str, of: str, unit: str, scale: Scale = Scale.LINEAR) -> None:
        """Declare a series."""
        self._series[name] = Series(name, of, unit, (), scale)
        self._points[name] = []

    def add(self, name: str, size: float, value: float) -> None:
        """Take a reading, rounded to six digits."""
        self._points[name].append(Point(size, float(f"{value:.6g}")))
        print(f"{name} {size:g}: {value:.6g} {self._series[name].unit}", flush=True)

    def all(self) -> tuple[Series, ...]:
        """The series with their points."""
        return tuple(
            Series(one.name, one.size_unit, one.unit, tuple(self._points[name]), one.scale)
            for name, one in self._series.items()
        )


def commit() -> str:
    """The commit that last changed the program, marked where its files differ from what is checked out."""
    found = _git("log", "-1", "--format=%h", "--abbrev=8", "--", "holdgw")
    return found + ("+changes" if _git("status", "--porcelain", "--", "holdgw") else "")


def _git(*words: str) -> str:
    ran = subprocess.run(("git", *words), cwd=ROOT, capture_output=True, text=True, check=True)
    return ran.stdout.strip()


def measurement(name: str, readings: Readings) -> Measurement:
    """What was read, with the circumstances."""
    from holdgw.policy import routing_policy

    return Measurement(
        name=name,
        command=f"python -m bench.capacity --measure {name}",
        commit=readings.commit,
        date=datetime.now(UTC).strftime("%Y-%m-%dT%H:%MZ"),
        cores=os.cpu_count() or 1,
        compiled=not str(routing_policy.__file__).endswith(".py"),
        pace=pace(),
        series=readings.all(),
    )


def pace() -> float:
    """Processor milliseconds of a fixed loop, the least of some."""

    def loop() -> int:
        return sum(number & 3 for number in range(PACE_STEPS))

    return round(min(cpu_of(loop)[0] for _ in range(REPEATS)) * 1e3, 1)


def store(found: Measurement, folder: Path = FOLDER) -> None:
    """Keep a measurement in the repository."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / f"{found.name}.json").write_bytes(_compact(found))


def _compact(found: Measurement) -> bytes:
    """A line for each series, so that a difference can be read."""
    told = measurement_to_json(found)
    series = told.pop("series")
    head = orjson.dumps(told, option=orjson.OPT_INDENT_2)[:-2]
    lines = b",\n".join(b"    " + orjson.dumps(one) for one in series)
    return head + b',\n  "series": [\n' + lines + b"\n  ]\n}\n"


def load(folder: Path = FOLDER) -> dict[str, Measurement]:
    """All measurements that are kept, by name."""
    return {
        path.stem: measurement_from_json(orjson.loads(path.read_bytes()))
        for path in sorted(folder.glob("*.json"))
    }


def cpu_of(act: Callable[[], T]) -> tuple[float, T]:
    """Processor seconds of this process that a call takes, and what it returns."""
    before = time.process_time()
    result = act()
    return time.process_time() - before, result


def bytes_of(make: Callable[[], T]) -> tuple[int, T]:
    """Bytes that Python holds for what a call makes, and that itself."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    made = make()
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return held, made


class Stopwatch:
    """Sums the processor time of stretches of one thread."""

    def __init__(self) -> None:
        self.seconds = 0.0

    @contextmanager
    def running(self) -> Iterator[None]:
        """Count what happens inside."""
        before = time.thread_time_ns()
        try:
            yield
        finally:
            self.seconds += (time.thread_time_ns() - before) / 1e9
