"""Errors of the command line: one line, exit code 2."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest


def run_holdgw(*arguments: str, **env: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "holdgw", *arguments], capture_output=True, text=True, env=env, timeout=60
    )


def error_line(completed: subprocess.CompletedProcess[str]) -> str:
    assert completed.returncode == 2
    assert completed.stderr.count("\n") == 1
    return completed.stderr


def test_run_without_a_configuration_names_the_missing_variable() -> None:
    assert "LB_CONFIG is not set" in error_line(run_holdgw("run"))


@pytest.mark.parametrize(
    ("text", "part"),
    [
        ("{", "unexpected"),
        ('{"listen": "127.0.0.1:1"}', "'settings'"),
        ('{"settings": {"classes": []}, "listen": "x", "discovery": "127.0.0.1:1"}', "listen"),
        ('{"settings": {"classes": []}, "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1"}', "classes"),
    ],
)
def test_a_bad_configuration_is_named_with_its_file_and_field(tmp_path: Path, text: str, part: str) -> None:
    path = tmp_path / "config.json"
    path.write_text(text)
    line = error_line(run_holdgw("run", LB_CONFIG=str(path)))
    assert str(path) in line
    assert part in line


def test_an_unknown_command_is_reported_in_one_line() -> None:
    assert "frobnicate" in error_line(run_holdgw("frobnicate"))
