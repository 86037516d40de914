"""Readability rules beyond the linter: short functions, plain comments, wire names in one module each."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
MAX_FUNCTION_LINES = 40
EXEMPT_PACKAGES = {"emulators", "harness", "simulation"}
"""Packages whose functions may still be longer (docs/ROADMAP.md, "What readers still stumble over")."""


def long_functions(text: str) -> list[str]:
    """Return the names of functions in a source text that exceed MAX_FUNCTION_LINES."""
    return [
        node.name
        for node in ast.walk(ast.parse(text))
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)
        and (node.end_lineno or node.lineno) - node.lineno >= MAX_FUNCTION_LINES
    ]


def checked_sources() -> list[Path]:
    sources = sorted((ROOT / "holdgw").rglob("*.py"))
    return [path for path in sources if path.relative_to(ROOT / "holdgw").parts[0] not in EXEMPT_PACKAGES]


@pytest.mark.parametrize("path", checked_sources(), ids=lambda path: str(path.relative_to(ROOT)))
def test_functions_are_short(path: Path) -> None:
    assert long_functions(path.read_text()) == []


def test_a_long_function_is_detected() -> None:
    body = "    pass\n" * MAX_FUNCTION_LINES
    assert long_functions(f"def f():\n{body}") == ["f"]
    assert long_functions(f"def f():\n{body[: -len('    pass') - 1]}") == []


def test_comments_use_no_stock_phrases_for_failures() -> None:
    stock_phrases = ("Danger:", "could do harm")
    paths_with_phrases = [
        str(path.relative_to(ROOT))
        for path in sorted((ROOT / "holdgw").rglob("*.py"))
        if any(phrase in path.read_text() for phrase in stock_phrases)
    ]
    assert paths_with_phrases == []


WIRE_NAMES = {
    "holdgw/wire/resp.py": ('.get("d"', 'fields["c"]', '.get("t")', '.get("r")', '"k" in'),
    "holdgw/router/endpoint_list.py": (
        '"instanceId"',
        '"hostPort"',
        '"lifecycle"',
        '"machineType"',
        '"startedAtMs"',
    ),
    "holdgw/policy/settings_reader.py": (
        '"aimNs"',
        '"giveUpNs"',
        '"dedupWindowNs"',
        '"quotaPerS"',
        '"coldShare"',
    ),
    "holdgw/operation/metrics.py": (
        '"results"',
        '"lb_',
    ),
}
"""By module: code that reads or writes names documented for operators; no other router module contains it."""
EDGE_PACKAGES = ("cores", "operation", "peers", "policy", "router", "wire")


@pytest.mark.parametrize("module", sorted(WIRE_NAMES))
def test_a_wire_name_appears_in_one_module_only(module: str) -> None:
    for wire_name in WIRE_NAMES[module]:
        modules = {
            str(path.relative_to(ROOT))
            for package in EDGE_PACKAGES
            for path in (ROOT / "holdgw" / package).rglob("*.py")
            if wire_name in path.read_text()
        }
        assert modules <= {module}, wire_name
    assert any(wire_name in (ROOT / module).read_text() for wire_name in WIRE_NAMES[module])
