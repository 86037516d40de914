"""The command line, with one module for each command.

Invalid input ends a command with exit code 2 and one line that names the file and the field.
"""

from __future__ import annotations

import sys

import typer

from holdgw.cli.aggregate import aggregate
from holdgw.cli.common import EXIT_INTERRUPTED, EXIT_USAGE, UsageError
from holdgw.cli.fleet_log import fleet_log
from holdgw.cli.rehearse import rehearse, scenarios
from holdgw.cli.run import run
from holdgw.cli.simulate import simulate
from holdgw.harness.deployment import DeployError
from holdgw.harness.scenario import ScenarioError

app = typer.Typer(
    name="holdgw",
    help="A cache router for large fleets and for failure.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)
for command in (run, aggregate, rehearse, simulate, scenarios, fleet_log):
    app.command()(command)


def main() -> int:
    """Run the command line; returns the exit code."""
    try:
        code = app(standalone_mode=False)
    except typer.Exit as end:
        return end.exit_code
    except typer.Abort:
        return EXIT_INTERRUPTED
    except (ScenarioError, DeployError, UsageError) as error:
        print(f"holdgw: {error}", file=sys.stderr)
        return EXIT_USAGE
    except Exception as error:
        # Usage errors of click: their class depends on the version of typer. Any other exception is a bug.
        message = getattr(error, "format_message", None)
        if message is None:
            raise
        print(f"holdgw: {message()}", file=sys.stderr)
        return EXIT_USAGE
    return code if isinstance(code, int) else 0
