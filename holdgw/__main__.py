"""The entry point of the command `holdgw` and of `python -m holdgw`."""

from __future__ import annotations

import sys


def main() -> int:
    """Run the command line; returns the exit code."""
    try:
        from holdgw import cli
    except ModuleNotFoundError as error:
        if error.name not in ("typer", "rich"):
            raise
        print(
            f"holdgw: the command line needs {error.name}: install holdgw with its extra 'tools' "
            "(`make setup` does); `python -m holdgw.router` runs a router without it",
            file=sys.stderr,
        )
        return 2
    return cli.main()


if __name__ == "__main__":
    sys.exit(main())
