"""Linear regression over measured series, to estimate figures at sizes that were not measured.

The functions are pure. A line is fitted by ordinary least squares (scipy.stats.linregress) over all points
of a series, including repeated readings at one size. The slope has the 95 % confidence interval of Student's
t with n - 2 degrees of freedom; an estimate at a size has the interval of the mean response there (Draper
and Smith, Applied Regression Analysis, 3rd ed., section 1.4).
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from scipy import stats  # type: ignore[import-untyped]

CONFIDENCE = 0.95
MIN_SIZES = 4  # distinct sizes needed to fit a line


class FitError(Exception):
    """A series has too few sizes to fit a line; the message names the series and the counts."""


class Scale(Enum):
    """The function of the size in which a quantity is assumed to be linear."""

    LINEAR = "linear"
    LOG2 = "log2"
    INVERSE = "inverse"
    INVERSE_ROOT = "inverse root"


SCALE_FUNCTIONS: dict[Scale, Callable[[float], float]] = {
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
    """Readings of one quantity at several sizes.

    Attributes:
        name: Name of the quantity, unique in its measurement.
        size_unit: What the size counts, such as "routers".
        unit: Unit of the values.
        points: All readings, including repeated ones at one size.
        scale: The function of the size in which the fit is linear.
    """

    name: str
    size_unit: str
    unit: str
    points: tuple[Point, ...]
    scale: Scale = Scale.LINEAR


@dataclass(frozen=True, slots=True)
class Measurement:
    """The series that one command measured, with the program version, date and machine."""

    name: str
    command: str
    commit: str
    date: str
    cores: int
    compiled: bool
    """Whether the compiled build of the policy modules ran, rather than their Python sources."""
    pace: float
    """Processor time of a fixed reference loop, ms; 0 if it was not recorded.

    On a busy machine all processor times are longer by the same factor as this one.
    """
    series: tuple[Series, ...]

    def find(self, name: str) -> Series:
        """Return the series with this name; raises KeyError if there is none."""
        for series in self.series:
            if series.name == name:
                return series
        raise KeyError(f"{self.name}: no series {name!r}")


@dataclass(frozen=True, slots=True)
class Interval:
    """A value with its 95 % confidence interval."""

    value: float
    low: float
    high: float

    def scaled(self, factor: float, offset: float) -> Interval:
        """Return the interval times `factor`, which must be positive, plus `offset`."""
        return Interval(self.value * factor + offset, self.low * factor + offset, self.high * factor + offset)


@dataclass(frozen=True, slots=True)
class Fit:
    """A fitted line: value = intercept + slope * scaled size."""

    scale: Scale
    slope: Interval
    intercept: float
    largest_residual: float
    """Largest absolute residual over all points, in the unit of the values."""
    points: int
    sizes: int
    smallest_size: float
    largest_size: float
    mean_scaled: float
    scaled_sum_of_squares: float
    """Sum of the squared deviations of the scaled sizes from their mean (Sxx)."""
    residual_deviation: float
    """Standard deviation of the residuals, with n - 2 degrees of freedom."""

    def estimate(self, size: float) -> Interval:
        """Return the fitted value at a size, with the interval of the mean response there."""
        scaled = SCALE_FUNCTIONS[self.scale](size)
        value = self.intercept + self.slope.value * scaled
        distance_term = (scaled - self.mean_scaled) ** 2 / self.scaled_sum_of_squares
        half_width = (
            t_quantile(self.points) * self.residual_deviation * math.sqrt(1.0 / self.points + distance_term)
        )
        return Interval(value, value - half_width, value + half_width)

    def extrapolation_factor(self, size: float) -> float:
        """Return the factor by which a size lies above or below the measured range; 1.0 within it."""
        if size < self.smallest_size:
            return self.smallest_size / size
        return max(size / self.largest_size, 1.0)


def t_quantile(points: int) -> float:
    """Return Student's t for a two-sided 95 % interval of a line that is fitted to `points` points."""
    return float(stats.t.ppf((1.0 + CONFIDENCE) / 2.0, points - 2))


def fit(series: Series) -> Fit:
    """Fit a line to a series; raises FitError if it has fewer than `MIN_SIZES` distinct sizes."""
    sizes = {point.size for point in series.points}
    if len(sizes) < MIN_SIZES:
        raise FitError(f"{series.name}: {len(sizes)} sizes, {MIN_SIZES} are needed")
    scaled = [SCALE_FUNCTIONS[series.scale](point.size) for point in series.points]
    values = [point.value for point in series.points]
    regression = stats.linregress(scaled, values)
    slope, intercept = float(regression.slope), float(regression.intercept)
    residuals = [value - intercept - slope * x for x, value in zip(scaled, values, strict=True)]
    mean_scaled = sum(scaled) / len(scaled)
    deviation = math.sqrt(sum(residual * residual for residual in residuals) / (len(values) - 2))
    sum_of_squares = sum((x - mean_scaled) ** 2 for x in scaled)
    # regression.stderr is nan if all values are equal.
    half_width = t_quantile(len(values)) * deviation / math.sqrt(sum_of_squares)
    return Fit(
        scale=series.scale,
        slope=Interval(slope, slope - half_width, slope + half_width),
        intercept=intercept,
        largest_residual=max(map(abs, residuals)),
        points=len(values),
        sizes=len(sizes),
        smallest_size=min(sizes),
        largest_size=max(sizes),
        mean_scaled=mean_scaled,
        scaled_sum_of_squares=sum_of_squares,
        residual_deviation=deviation,
    )


class Bound(Enum):
    """Whether a need is an upper or a lower bound."""

    AT_MOST = "at most"
    AT_LEAST = "at least"


@dataclass(frozen=True, slots=True)
class Need:
    """A bound that a figure has to meet at the planned size."""

    amount: float
    bound: Bound
    source: str
    """Where the amount comes from, as the page shows it in brackets."""

    def gap(self, value: float) -> float:
        """Return the factor by which a value misses the need.

        Args:
            value: The value, in the unit of `amount`.

        Returns:
            value / amount for an upper bound, amount / value for a lower one: over 1 if the need is missed.
            Infinity if `amount` is a lower bound and the value is 0 or less.
        """
        if self.bound is Bound.AT_MOST:
            return value / self.amount
        return self.amount / value if value > 0 else math.inf


def measurement_to_json(measurement: Measurement) -> dict[str, Any]:
    """Convert a measurement to the JSON object that is stored in bench/data/slopes."""
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
                "name": series.name,
                "of": series.size_unit,
                "unit": series.unit,
                "scale": series.scale.value,
                "points": [[point.size, point.value] for point in series.points],
            }
            for series in measurement.series
        ],
    }


def measurement_from_json(body: dict[str, Any]) -> Measurement:
    """Convert a stored JSON object back; raises KeyError, TypeError or ValueError if it is malformed."""
    series = tuple(
        Series(
            entry["name"],
            entry["of"],
            entry["unit"],
            tuple(Point(float(size), float(value)) for size, value in entry["points"]),
            Scale(entry["scale"]),
        )
        for entry in body["series"]
    )
    return Measurement(
        body["name"],
        body["command"],
        body["commit"],
        body["date"],
        int(body["cores"]),
        bool(body["compiled"]),
        float(body.get("pace_ms", 0.0)),
        series,
    )
