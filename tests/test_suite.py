"""Properties of the test run itself: test groups under pytest-xdist, and known failures (conftest.py)."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
from pathlib import Path

GROUPED = """
import os
import pathlib

import pytest


@pytest.mark.xdist_group("one")
@pytest.mark.parametrize("number", range(4))
def test_grouped(number):
    (pathlib.Path(__file__).parent / f"ran-{number}").write_text(os.environ["PYTEST_XDIST_WORKER"])
"""
WORKERS = 3


def test_tests_of_a_group_run_in_one_process(tmp_path: Path) -> None:
    """A pytest newer than pytest-xdist supports ran a group in all processes at once, without a warning."""
    (tmp_path / "test_grouped.py").write_text(GROUPED)
    options = ("-q", "-n", str(WORKERS), "--dist", "loadgroup", "-p", "no:cacheprovider", "--rootdir", ".")
    environment = {name: value for name, value in os.environ.items() if not name.startswith("PYTEST_")}
    completed = subprocess.run(
        [sys.executable, "-m", "pytest", *options, "."],
        cwd=tmp_path,
        env=environment,
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode == 0, completed.stdout + completed.stderr
    worker_by_test = {path.name: path.read_text() for path in tmp_path.glob("ran-*")}
    assert sorted(worker_by_test) == [f"ran-{number}" for number in range(4)]
    assert len(set(worker_by_test.values())) == 1, worker_by_test


KNOWN_RED = """tests/test_red.py::test_by_the_named_assertion [3 - 1 <= 1]: too far apart; issue 0
tests/test_red.py::test_by_another_assertion [3 - 1 <= 1]: too far apart; issue 0
tests/test_red.py::test_passing [3 - 1 <= 1]: too far apart; issue 0
"""
RED_TESTS = """
import pytest


@pytest.mark.xdist_group("one, two")
def test_by_the_named_assertion():
    shown = "figures"
    assert 3 - 1 <= 1, shown


def test_by_another_assertion():
    assert 3 - 1 <= 1 - 1


def test_passing():
    assert 3 - 1 <= 2


def test_unlisted():
    assert 3 - 1 <= 1
"""


def test_a_known_failure_is_expected_by_its_one_assertion_only(tmp_path: Path) -> None:
    """A listed test may pass, and fails by any assertion except the one that its line names."""
    (tmp_path / "tests").mkdir()
    (tmp_path / "KNOWN-RED.txt").write_text(KNOWN_RED)
    (tmp_path / "tests/test_red.py").write_text(RED_TESTS)
    shutil.copy(Path(__file__).with_name("conftest.py"), tmp_path / "tests")
    environment = {name: value for name, value in os.environ.items() if not name.startswith("PYTEST_")}
    options = ("-q", "-rfx", "-p", "no:cacheprovider", "--rootdir", ".", "-n", "1", "--dist", "loadgroup")
    completed = subprocess.run(
        [sys.executable, "-m", "pytest", *options, "tests"],
        cwd=tmp_path,
        env=environment,
        capture_output=True,
        text=True,
        check=False,
    )
    assert "2 failed, 1 passed, 1 xfailed in " in completed.stdout, completed.stdout + completed.stderr
    assert "XFAIL tests/test_red.py::test_by_the_named_assertion@one, two" in completed.stdout
    assert "FAILED tests/test_red.py::test_by_another_assertion" in completed.stdout
    assert "FAILED tests/test_red.py::test_unlisted" in completed.stdout
    assert (
        "KNOWN RED tests/test_red.py::test_passing [3 - 1 <= 1]: too far apart; issue 0" in completed.stdout
    )
