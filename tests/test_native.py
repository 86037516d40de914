"""The compiled copy: built from the current sources or absent, and equal to them in behaviour."""

from __future__ import annotations

import os
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from holdgw import native

ROOT = Path(__file__).resolve().parent.parent
LIMIT_S = 300.0

PRINT_DIGESTS = """
import sys
import holdgw.router.dispatcher
from holdgw.harness.scenario import load_scenario
from holdgw.simulation.fleet_run import simulate
print(holdgw.router.dispatcher.__file__)
for name, seed in (("storm", 3), ("storm", 7), ("release-morning", 2)):
    print(simulate(load_scenario(name).cut(6.0), seed).digest)
"""
REPEATED_TESTS = (
    "policy/test_endpoint_subscription",
    "policy/test_fetch_coalescing",
    "policy/test_origin_concurrency",
    "policy/test_retry_policy",
    "policy/test_routing_policy",
    "policy/test_rules",
    "wire/test_resp",
    "router/test_sockets",
    "router/test_long_values",
    "policy/test_origin_limiter",
    "cores/test_worker_pool",
    "operation/test_takeover",
)


@pytest.fixture(scope="module")
def compiled() -> Path:
    native.build(ROOT)
    return ROOT / native.COPY_FOLDER


def run_python(code: str, *path: Path, arguments: tuple[str, ...] = ()) -> str:
    completed = subprocess.run(
        [sys.executable, "-P", "-c", code, *arguments],
        env={**os.environ, "PYTHONPATH": os.pathsep.join(map(str, path)), "PYTHONHASHSEED": "0"},
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=LIMIT_S,
        check=False,
    )
    assert completed.returncode == 0, completed.stdout[-3000:] + completed.stderr[-3000:]
    return completed.stdout


@pytest.mark.xdist_group("compiled")
def test_simulation_digests_are_the_same_with_and_without_compilation(compiled: Path) -> None:
    with ThreadPoolExecutor() as pool:
        futures = [pool.submit(run_python, PRINT_DIGESTS, *path) for path in ((ROOT,), (compiled, ROOT))]
    from_sources, from_compiled = (future.result().split() for future in futures)
    assert from_sources[0].endswith(".py")
    assert not from_compiled[0].endswith(".py")
    assert from_compiled[0].startswith(str(compiled))
    assert from_sources[1:] == from_compiled[1:]
    assert len(set(from_sources[1:])) == 3


@pytest.mark.xdist_group("compiled")
def test_tests_of_the_sources_pass_on_the_compiled_copy(compiled: Path) -> None:
    code = "import sys, holdgw, pytest; sys.exit(pytest.main(sys.argv[1:]))"  # pytest changes sys.path
    arguments = ("-q", "-p", "no:cacheprovider", "-m", "not sources_only", "--tb=native")

    def run_tests(files: tuple[str, ...]) -> str:
        return run_python(code, compiled, ROOT, arguments=(*arguments, *files))

    files = [f"tests/{name}.py" for name in REPEATED_TESTS]
    halves = tuple(files[0::2]), tuple(files[1::2])
    with ThreadPoolExecutor(len(halves)) as pool:
        for output in pool.map(run_tests, halves):
            assert " passed" in output


def small_project(folder: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    """Create a package with one module to compile."""
    (folder / "holdgw").mkdir()
    (folder / "holdgw/__init__.py").write_text("")
    (folder / "holdgw/one.py").write_text("def one() -> int:\n    return 1\n")
    monkeypatch.setattr(native, "MODULES", ("one.py",))
    return folder


def run_project(folder: Path) -> str:
    return run_python(
        "import holdgw.one as m; print(m.one(), m.__file__)", folder / native.COPY_FOLDER, folder
    )


def test_a_copy_is_built_once_and_rebuilt_when_a_source_changes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    project = small_project(tmp_path, monkeypatch)
    assert native.build(project)
    assert not native.build(project)
    first = run_project(project)
    assert first.startswith("1 ")
    assert not first.strip().endswith(".py")
    (project / "holdgw/one.py").write_text("def one() -> int:\n    return 2\n")
    assert native.digest_of_copy(project) != native.digest(project)
    assert native.build(project)
    assert run_project(project).startswith("2 ")
    assert [path.name for path in project.iterdir() if path.name.startswith(native.COPY_FOLDER)] == [
        native.COPY_FOLDER
    ]


def test_a_failed_compilation_leaves_no_copy_and_the_sources_run(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    project = small_project(tmp_path, monkeypatch)
    native.build(project)
    (project / "holdgw/one.py").write_text("def one() -> int:\n    return 'three'\n")
    with pytest.raises(native.NativeError, match=r"one\.py:2"):
        native.build(project)
    assert [path.name for path in project.iterdir()] == ["holdgw"]
    assert run_project(project).split()[0] == "three"
