"""The compiled copy: made of the sources as they are or not at all, and the same router to the byte."""

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

DIGESTS = """
import sys
import holdgw.router.dispatcher
from holdgw.harness.scenario import load_scenario
from holdgw.simulation.fleet_run import simulate
print(holdgw.router.dispatcher.__file__)
for name, seed in (("storm", 3), ("storm", 7), ("release-morning", 2)):
    print(simulate(load_scenario(name).cut(6.0), seed).digest)
"""
BY_SOCKETS = (
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


def in_a_process(code: str, *path: Path, words: tuple[str, ...] = ()) -> str:
    done = subprocess.run(
        [sys.executable, "-P", "-c", code, *words],
        env={**os.environ, "PYTHONPATH": os.pathsep.join(map(str, path)), "PYTHONHASHSEED": "0"},
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=LIMIT_S,
        check=False,
    )
    assert done.returncode == 0, done.stdout[-3000:] + done.stderr[-3000:]
    return done.stdout


@pytest.mark.xdist_group("compiled")
def test_simulated_days_are_the_same_to_the_byte_compiled_and_not(compiled: Path) -> None:
    with ThreadPoolExecutor() as pool:
        runs = [pool.submit(in_a_process, DIGESTS, *path) for path in ((ROOT,), (compiled, ROOT))]
    as_sources, as_compiled = (run.result().split() for run in runs)
    assert as_sources[0].endswith(".py")
    assert not as_compiled[0].endswith(".py")
    assert as_compiled[0].startswith(str(compiled))
    assert as_sources[1:] == as_compiled[1:]
    assert len(set(as_sources[1:])) == 3


@pytest.mark.xdist_group("compiled")
def test_what_holds_of_the_sources_holds_of_what_is_compiled(compiled: Path) -> None:
    code = "import sys, holdgw, pytest; sys.exit(pytest.main(sys.argv[1:]))"  # first: pytest changes the path
    words = ("-q", "-p", "no:cacheprovider", "-m", "not sources_only", "--tb=native")

    def play(files: tuple[str, ...]) -> str:
        return in_a_process(code, compiled, ROOT, words=(*words, *files))

    files = [f"tests/{name}.py" for name in BY_SOCKETS]
    halves = tuple(files[0::2]), tuple(files[1::2])
    with ThreadPoolExecutor(len(halves)) as pool:
        for told in pool.map(play, halves):
            assert " passed" in told


def small_project(folder: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    """A package with one module to compile."""
    (folder / "holdgw").mkdir()
    (folder / "holdgw/__init__.py").write_text("")
    (folder / "holdgw/one.py").write_text("def one() -> int:\n    return 1\n")
    monkeypatch.setattr(native, "MODULES", ("one.py",))
    return folder


def told_by(folder: Path) -> str:
    return in_a_process(
        "import holdgw.one as m; print(m.one(), m.__file__)", folder / native.COPY_FOLDER, folder
    )


def test_a_copy_is_made_once_and_anew_when_a_source_changes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    project = small_project(tmp_path, monkeypatch)
    assert native.build(project)
    assert not native.build(project)
    first = told_by(project)
    assert first.startswith("1 ")
    assert not first.strip().endswith(".py")
    (project / "holdgw/one.py").write_text("def one() -> int:\n    return 2\n")
    assert native.digest_of_copy(project) != native.digest(project)
    assert native.build(project)
    assert told_by(project).startswith("2 ")
    assert [path.name for path in project.iterdir() if path.name.startswith(native.COPY_FOLDER)] == [
        native.COPY_FOLDER
    ]


def test_what_does_not_compile_leaves_no_copy_and_the_sources_run(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    project = small_project(tmp_path, monkeypatch)
    native.build(project)
    (project / "holdgw/one.py").write_text("def one() -> int:\n    return 'three'\n")
    with pytest.raises(native.NativeError, match=r"one\.py:2"):
        native.build(project)
    assert [path.name for path in project.iterdir()] == ["holdgw"]
    assert told_by(project).split()[0] == "three"
