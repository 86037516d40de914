"""What all commands share: exit codes, and errors that are one plain line."""

from __future__ import annotations

from pathlib import Path

BROKEN = 1
USAGE = 2
FAILED = 4
INTERRUPTED = 130


class UsageError(Exception):
    """Something given can't be used; one plain line."""


def folder_is_there(path: Path | None) -> None:
    """Refuse a file to be written whose folder is missing, before hours of work go into it."""
    if path is not None and not path.absolute().parent.is_dir():
        raise UsageError(f"{path}: the folder is not there")
