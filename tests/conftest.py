"""Every run of the tests draws the same examples: a verdict must not hang on chance."""

from __future__ import annotations

import pytest
from hypothesis import settings

LONGEST_FIRST = (
    "test_faults",
    "test_native",
    "test_standing",
    "test_simulation_cores",
    "test_simulation_play",
    "test_rehearsal",
)

settings.register_profile("same", derandomize=True, deadline=None)
settings.load_profile("same")


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Begin with what takes longest: the suite ends when the last of several processes does."""

    def place(item: pytest.Item) -> int:
        name = item.path.stem
        return LONGEST_FIRST.index(name) if name in LONGEST_FIRST else len(LONGEST_FIRST)

    items.sort(key=place)
