"""`holdgw run`: one router."""

from __future__ import annotations

import os
import sys
from typing import Annotated

import typer

from holdgw.router.__main__ import main as run_router
from holdgw.router.process import python_command


def run(
    cores: Annotated[
        int | None,
        typer.Option(min=1, help="Serve with so many worker processes behind the one address."),
    ] = None,
) -> None:
    """Run one router, configured by LB_CONFIG and the variables beside it (deploy/balancer.toml's `run`)."""
    if cores is None:
        raise typer.Exit(run_router())
    # The same process, without this command's libraries: a supervisor lives as long as the router.
    sys.stdout.flush()
    os.execv(sys.executable, python_command("holdgw.cores", str(cores)))
