"""The types of fields in a scenario's tables, and the base class of the tables."""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import Annotated, Any

import msgspec
from msgspec import Meta

Share = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0)]
AtLeast0 = Annotated[float, Meta(ge=0)]
Count = Annotated[int, Meta(ge=1)]
Span = tuple[AtLeast0, AtLeast0]


class ScenarioTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The base class of all tables of a scenario file; unknown keys are rejected."""


def not_finite(value: Any, where: str = "") -> Iterator[str]:
    """Yield the dotted names of fields that hold an infinity or NaN, both of which TOML allows."""
    if isinstance(value, float):
        if not math.isfinite(value):
            yield where
    elif isinstance(value, msgspec.Struct):
        for name in value.__struct_fields__:
            yield from not_finite(getattr(value, name), f"{where}.{name}" if where else name)
    elif isinstance(value, (tuple, list)):
        for i, element in enumerate(value):
            yield from not_finite(element, f"{where}[{i}]")
