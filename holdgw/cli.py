"""The command line. What cannot be used ends in one plain line that names file and field, and exit code 2."""

from __future__ import annotations

import sys

import typer

from holdgw.router.__main__ import main as run_router

app = typer.Typer(
    name="holdgw",
    help="A cache router for large fleets and for failure.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)


@app.callback()
def _root() -> None:
    """Keeps the sub-commands named, also while there is only one."""


@app.command()
def run() -> None:
    """Run one router, configured by LB_CONFIG and the variables beside it (deploy/balancer.toml's `run`)."""
    raise typer.Exit(run_router())


def main() -> int:
    """Run the command line; returns the exit code."""
    try:
        code = app(standalone_mode=False)
    except typer.Exit as end:
        return end.exit_code
    except typer.Abort:
        return 130
    except Exception as error:
        # click's usage errors, whichever class this typer raises them by; anything else is a fault of ours.
        message = getattr(error, "format_message", None)
        if message is None:
            raise
        print(f"holdgw: {message()}", file=sys.stderr)
        return 2
    return code if isinstance(code, int) else 0
