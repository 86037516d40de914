"""Import rules between the subpackages of holdgw: imports point downwards only (docs/ARCHITECTURE.md)."""

from __future__ import annotations

import ast
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
MAY_IMPORT = {
    "policy": set(),
    "wire": set(),
    "peers": set(),
    "operation": {"policy", "wire"},
    "router": {"operation", "peers", "policy", "wire"},
    "cores": {"operation", "policy", "router", "wire"},
    "emulators": {"wire"},
    "harness": {"emulators", "wire"},
    "simulation": {"cores", "operation", "peers", "policy", "harness", "router", "emulators", "wire"},
    "cli": {"cores", "operation", "router", "harness", "simulation"},
    "__main__": {"cli"},
    "native": set(),
    "__init__": set(),
}
ROUTER_DEPENDENCIES = {"hiredis", "httptools", "orjson", "uvloop", "msgspec"}
"""Third-party packages that a router may import."""


def imported_names(text: str) -> set[str]:
    """Return all dotted names that a source text imports, at module level or inside functions."""
    names: set[str] = set()
    for node in ast.walk(ast.parse(text)):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, "relative imports hide the imported package"
            names |= {f"{node.module}.{alias.name}" for alias in node.names}
    return names


def packages(names: set[str]) -> set[str]:
    return {name.split(".")[1] for name in names if name.startswith("holdgw.")}


def forbidden_imports(package: str, text: str) -> set[str]:
    return packages(imported_names(text)) - MAY_IMPORT[package] - {package}


def sources() -> list[Path]:
    return sorted((ROOT / "holdgw").rglob("*.py"))


@pytest.mark.parametrize("path", sources(), ids=lambda path: str(path.relative_to(ROOT)))
def test_imports_go_down_only(path: Path) -> None:
    package = path.relative_to(ROOT / "holdgw").parts[0].removesuffix(".py")
    assert package in MAY_IMPORT, f"package {package} is missing in MAY_IMPORT"
    assert not forbidden_imports(package, path.read_text())


def test_an_upward_import_is_detected() -> None:
    assert forbidden_imports("policy", "def f():\n    from holdgw.router import dispatcher\n") == {"router"}
    assert forbidden_imports("router", "import holdgw.harness.report") == {"harness"}


def test_decisions_have_no_io_and_no_clock() -> None:
    pure = [path for path in sorted((ROOT / "holdgw/policy").glob("*.py")) if path.stem != "adapter"]
    for path in pure:
        banned = {"asyncio", "socket", "time", "os", "random", "threading"} & {
            name.split(".")[0] for name in imported_names(path.read_text())
        }
        assert banned <= {"random"}, f"{path.name} imports {banned}"


def test_a_router_imports_no_tool_packages() -> None:
    script = "import sys, holdgw.router.__main__; print('\\n'.join(sys.modules))"
    loaded = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, check=True).stdout
    own = {name for name in loaded.split() if name.startswith("holdgw.")}
    assert packages(own) <= {"operation", "peers", "policy", "wire", "router"}
    others = {name.split(".")[0] for name in loaded.split()} - set(sys.stdlib_module_names) - {"holdgw"}
    assert not others & {"typer", "rich", "click", "matplotlib"}
    assert {name for name in others if not name.startswith("_")} & ROUTER_DEPENDENCIES >= {
        "hiredis",
        "uvloop",
    }
