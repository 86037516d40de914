"""The page of decisions names existing modules, functions and tests, and every rejection reason."""

from __future__ import annotations

import importlib
import re
from functools import reduce
from pathlib import Path

import pytest

from holdgw.policy.rejections import RejectionReason

ROOT = Path(__file__).resolve().parent.parent.parent
PAGE = (ROOT / "docs/decisions.md").read_text()
RULE_COLUMNS = 6


def cells(line: str) -> list[str]:
    return [cell.strip() for cell in line.strip("|").split(" | ")]


def rules() -> list[list[str]]:
    rows = [cells(line) for line in PAGE.splitlines() if line.startswith("| ")]
    return [row for row in rows if len(row) == RULE_COLUMNS and row[0] not in ("rule", "---")]


def names_in_the_suite() -> set[str]:
    names = (
        re.findall(r"^def (test_\w+)", path.read_text(), re.M) for path in (ROOT / "tests").rglob("*.py")
    )
    return {name for names_in_file in names for name in names_in_file}


def test_every_row_of_a_rule_has_all_columns() -> None:
    assert len(rules()) > 40
    assert all(all(row) for row in rules())


@pytest.mark.parametrize("row", rules(), ids=lambda row: row[0])
def test_a_rule_names_functions_and_tests_that_exist(row: list[str]) -> None:
    where, named_tests = row[4], re.findall(r"`(test_\w+)`", row[5])
    named = re.findall(r"`([\w.]+)`", where)
    assert named
    for name in named:
        module, *attributes = name.split(".")
        function = reduce(getattr, attributes, importlib.import_module(f"holdgw.policy.{module}"))
        assert callable(function), name
    assert named_tests
    assert set(named_tests) <= names_in_the_suite()


def test_every_reason_of_a_rejection_is_explained() -> None:
    explained = [cells(line)[0].strip("`") for line in PAGE.splitlines() if line.startswith("| `")]
    assert {reason.value for reason in RejectionReason} <= set(explained)


def test_every_link_within_the_page_has_its_heading() -> None:
    headings = re.findall(r"^## (.*)$", PAGE, re.M)
    anchors = {re.sub(r"[^\w\- ]", "", heading.lower()).replace(" ", "-") for heading in headings}
    assert set(re.findall(r"\]\(#([^)]+)\)", PAGE)) <= anchors
