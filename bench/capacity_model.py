"""What a size takes, worked out from measured slopes; pure: measured points in, lines and estimates out.

A line is fitted by ordinary least squares (scipy.stats.linregress) over all points of a series, repeats
among them. Its slope has the 95 % interval of Student's t with n - 2 degrees of freedom; what the line says
at a size has the interval of the mean response there (Draper and Smith, Applied Regression Analysis, 3rd ed.,
section 1.4).
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from scipy import stats  # type: ignore[import-untyped]

CONFIDENCE = 0.95
SIZES_LEAST = 4  # different sizes that a line rests on


class FitError(Exception):
    """No line can be fitted; one plain sentence says why."""


class Scale(Enum):
    """By what of its size a quantity is taken to grow."""

    LINEAR = "linear"
    LOG2 = "log2"
    INVERSE = "inverse"
    INVERSE_ROOT = "inverse root"


SCALES: dict[Scale, Callable[[float], float]] = {
    Scale.LINEAR: float,
    Scale.LOG2: math.log2,
    Scale.INVERSE: lambda size: 1.0 / size,
    Scale.INVERSE_ROOT: lambda size: 1.0 / math.sqrt(size),
}


@dataclass(frozen=True, slots=True)
class Point:
    """One reading at one size."""

    size: float
    value: float


@dataclass(frozen=True, slots=True)
class Series:
    """Readings of one quantity over several sizes; `size_unit` and `unit` are those of its points."""

    name: str
    size_unit: str
    unit: str
    points: tuple[Point, ...]
    scale: Scale = Scale.LINEAR


@dataclass(frozen=True, slots=True)
class Measurement:
    """What one command measured, on what, and when."""

    name: str
    command: str
    commit: str
    date: str
    cores: int
    compiled: bool
    """Whether the decisions ran compiled."""
    pace: float
    """Processor time of a fixed loop beside it, ms: on a busy machine all processor times are as much longer.
    0: not noted.
    """
    series: tuple[Series, ...]

    def find(self, name: str) -> Series:
        """The series of that name; raises KeyError."""
        for one in self.series:
            if one.name == name:
                return one
        raise KeyError(f"{self.name}: no series {name!r}")


@dataclass(frozen=True, slots=True)
class Interval:
    """A value with its 95 % interval."""

    value: float
    low: float
    high: float

    def scaled(self, factor: float, plus: float) -> Interval:
        """So many times as much, and a constant more; `factor` is positive."""
        return Interval(self.value * factor + plus, self.low * factor + plus, self.high * factor + plus)


@dataclass(frozen=True, slots=True)
class Fit:
    """A fitted line: value = intercept + slope * scaled size."""

    scale: Scale
    slope: Interval
    intercept: float
    largest_residual: float
    """Of all points, in the value's unit."""
    points: int
    sizes: int
    least_size: float
    largest_size: float
    mean_scaled: float
    spread: float
    """Sum of the squared distances of the scaled sizes from their mean."""
    deviation: float
    """Standard deviation of the residuals, n - 2 degrees of freedom."""

    def at(self, size: float) -> Interval:
        """What the line says at a size, with the interval of the mean response there."""
        scaled = SCALES[self.scale](size)
        value = self.intercept + self.slope.value * scaled
        away = (scaled - self.mean_scaled) ** 2 / self.spread
        half = quantile(self.points) * self.deviation * math.sqrt(1.0 / self.points + away)
        return Interval(value, value - half, value + half)

    def stretch(self, size: float) -> float:
        """How far a size is beyond what was measured: over the largest, under the smallest; 1 between."""
        if size < self.least_size:
            return self.least_size / size
        return max(size / self.largest_size, 1.0)


def quantile(points: int) -> float:
    """Student's t for the two-sided 95 % interval of a line through so many points."""
    return float(stats.t.ppf((1.0 + CONFIDENCE) / 2.0, points - 2))


def fit(series: Series) -> Fit:
    """The line through a series; raises FitError where it rests on fewer than four sizes."""
    sizes = {point.size for point in series.points}
    if len(sizes) < SIZES_LEAST:
        raise FitError(f"{series.name}: {len(sizes)} sizes, {SIZES_LEAST} are needed")
    scaled = [SCALES[series.scale](point.size) for point in series.points]
    values = [point.value for point in series.points]
    found = stats.linregress(scaled, values)
    slope, intercept = float(found.slope), float(found.intercept)
    residuals = [value - intercept - slope * at for at, value in zip(scaled, values, strict=True)]
    mean = sum(scaled) / len(scaled)
    deviation = math.sqrt(sum(one * one for one in residuals) / (len(values) - 2))
    spread = sum((at - mean) ** 2 for at in scaled)
    half = quantile(len(values)) * deviation / math.sqrt(spread)  # found.stderr is nan where all are equal
    return Fit(
        scale=series.scale,
        slope=Interval(slope, slope - half, slope + half),
        intercept=intercept,
        largest_residual=max(map(abs, residuals)),
        points=len(values),
        sizes=len(sizes),
        least_size=min(sizes),
        largest_size=max(sizes),
        mean_scaled=mean,
        spread=spread,
        deviation=deviation,
    )


class Bound(Enum):
    """Which side of a need is wanted."""

    AT_MOST = "at most"
    AT_LEAST = "at least"


@dataclass(frozen=True, slots=True)
class Need:
    """What the size asks for, or allows."""

    amount: float
    bound: Bound
    whose: str
    """Where the amount comes from, in a few words."""

    def gap(self, found: float) -> float:
        """By what factor what is found misses the need: over 1 it does. Infinity: there is nothing."""
        if self.bound is Bound.AT_MOST:
            return found / self.amount
        return self.amount / found if found > 0 else math.inf


def measurement_to_json(measurement: Measurement) -> dict[str, Any]:
    """A measurement as its JSON object."""
    return {
        "name": measurement.name,
        "command": measurement.command,
        "commit": measurement.commit,
        "date": measurement.date,
        "cores": measurement.cores,
        "compiled": measurement.compiled,
        "pace_ms": measurement.pace,
        "series": [
            {
                "name": one.name,
                "of": one.size_unit,
                "unit": one.unit,
                "scale": one.scale.value,
                "points": [[point.size, point.value] for point in one.points],
            }
            for one in measurement.series
        ],
    }


def measurement_from_json(told: dict[str, Any]) -> Measurement:
    """A measurement of its JSON object; raises KeyError, TypeError or ValueError where it is none."""
    series = tuple(
        Series(
            one["name"],
            one["of"],
            one["unit"],
            tuple(Point(float(size), float(value)) for size, value in one["points"]),
            Scale(one["scale"]),
        )
        for one in told["series"]
    )
    return Measurement(
        told["name"],
        told["command"],
        told["commit"],
        told["date"],
        int(told["cores"]),
        bool(told["compiled"]),
        float(told.get("pace_ms", 0.0)),
        series,
    )
