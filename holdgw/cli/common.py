"""Exit codes and usage errors, shared by all commands."""

from __future__ import annotations

from pathlib import Path

EXIT_RULE_BROKEN = 1
EXIT_USAGE = 2
EXIT_FAILED = 4
EXIT_INTERRUPTED = 130


class UsageError(Exception):
    """An argument is invalid; the text is one plain line."""


def require_parent_folder(path: Path | None) -> None:
    """Raise UsageError if the folder of an output file is missing; checked before hours of work."""
    if path is not None and not path.absolute().parent.is_dir():
        raise UsageError(f"{path}: the folder is not there")
