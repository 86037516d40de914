"""The command line's errors: one plain line, exit code 2."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest


def holdgw(*words: str, **env: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "holdgw", *words], capture_output=True, text=True, env=env, timeout=60
    )


def one_line(done: subprocess.CompletedProcess[str]) -> str:
    assert done.returncode == 2
    assert done.stderr.count("\n") == 1
    return done.stderr


def test_run_without_a_configuration_says_so() -> None:
    assert "LB_CONFIG is not set" in one_line(holdgw("run"))


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
    line = one_line(holdgw("run", LB_CONFIG=str(path)))
    assert str(path) in line
    assert part in line


def test_a_word_that_is_no_command_is_one_line() -> None:
    assert "frobnicate" in one_line(holdgw("frobnicate"))
