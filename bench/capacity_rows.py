"""The types of the rows of docs/CAPACITY.md, and the planned size and limits that the rows share.

A row states one figure at the planned size, the need that it has to meet, and the mechanism that provides it.
The texts and numbers of the rows are written into the page as they are.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from bench.capacity_model import Bound, Need


class Role(Enum):
    """The part of the system that a row is about; the enum's value is a heading of the page."""

    PATH = "A router's request path"
    CONTROL = "A router's control part"
    SERVER = "A cache server as routers burden it"
    LISTS = "The list service"
    MACHINES = "The four control machines"


class Kind(Enum):
    """What a row's figure counts; the enum's value is the text of the cell on the page."""

    STATE = "state"
    MESSAGES = "messages"
    PROCESSOR = "processor"
    MEMORY = "memory"
    DESCRIPTORS = "descriptors"


@dataclass(frozen=True, slots=True)
class FittedFigure:
    """A figure from the line that is fitted to a measured series: `value at size * factor + offset`.

    Attributes:
        measurement: Name of the measurement, as in `bench.capacity.MEASUREMENTS` or of a scale run's file.
        series: Name of the series in the measurement.
        size: The size to read the line at, in the size unit of the series.
        factor: Multiplier of the value, such as a unit conversion or a number of servers.
        offset: Constant added after the multiplication, in the row's unit.
    """

    measurement: str
    series: str
    size: float
    factor: float = 1.0
    offset: float = 0.0


@dataclass(frozen=True, slots=True)
class ComputedFigure:
    """A figure that follows from the operators' letter or the program's constants, without a measurement.

    Attributes:
        value: The figure, in the row's unit.
        how: The calculation, as the page shows it.
    """

    value: float
    how: str


@dataclass(frozen=True, slots=True)
class AbsentFigure:
    """No mechanism provides what the row describes, so it has no figure; the gap to its need is infinite."""


@dataclass(frozen=True, slots=True)
class TextFigure:
    """A text in place of a figure."""

    text: str


@dataclass(frozen=True, slots=True)
class UnknownFigure:
    """A figure that can't be measured on one machine; `unknown` is the number of its `Unknown`."""

    unknown: str


@dataclass(frozen=True, slots=True)
class Row:
    """One row of the page.

    Attributes:
        number: Label of the row, such as "P5", unique on the page.
        role: The part of the system that the row is about.
        kind: What the figure counts.
        what: Description of the figure.
        unit: Unit of the figure and of `need`.
        figure: The figure, or why there is none.
        caveat: Effects under which the fitted line would no longer hold.
        mechanism: The modules and constants that provide the figure.
        need: The bound that the figure has to meet; None if none is stated.
        affects_decisions: Whether the current program decides by the figure. The gaps of such rows are ranked
            first.
    """

    number: str
    role: Role
    kind: Kind
    what: str
    unit: str
    figure: FittedFigure | ComputedFigure | AbsentFigure | TextFigure | UnknownFigure
    caveat: str
    mechanism: str
    need: Need | None = None
    affects_decisions: bool = False


@dataclass(frozen=True, slots=True)
class Unknown:
    """A property of the deployment that can't be measured or extrapolated on one machine.

    Attributes:
        number: Label, such as "U4", unique on the page.
        what: Description of the property.
        why: Why one machine can't show it.
        how: How to find it out in service.
    """

    number: str
    what: str
    why: str
    how: str


def at_most(amount: float, source: str) -> Need:
    """Return a need that is met by `amount` or less; `source` tells where the amount comes from."""
    return Need(amount, Bound.AT_MOST, source)


def at_least(amount: float, source: str) -> Need:
    """Return a need that is met by `amount` or more; `source` tells where the amount comes from."""
    return Need(amount, Bound.AT_LEAST, source)


ROUTERS, SITES, SERVERS, REGIONS, ZONES = 760, 43, 96, 8, 25
REQUESTS_PER_S, GBIT_PER_S, MEAN_VALUE_BYTES = 934.0, 3.4, 458_000  # of one router at the peak
OBJECTS = 2_700_000_000
PURGES_PER_S, MAX_PURGE_S = 13.0, 5.3
CHANGES_PER_DAY, MAX_CHANGE_S = 850.0, 5.0
MAX_CONTROL_CPU_PERCENT, MAX_CONTROL_MB, MAX_CONTROL_BYTES_PER_S = 2.2, 32.0, 2_000.0  # of one router
CONTROL_MACHINES = 4
SECONDS_PER_DAY = 86_400.0
ROUTERS_PER_ZONE = ROUTERS / ZONES
OPERATORS_LETTER = "letter"
