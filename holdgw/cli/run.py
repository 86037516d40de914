"""`holdgw run`: a router, in one process or on several cores."""

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
        typer.Option(min=1, help="Serve with this many worker processes behind one address."),
    ] = None,
) -> None:
    """Run one router, configured by LB_CONFIG and the variables beside it (deploy/balancer.toml's `run`)."""
    if cores is None:
        raise typer.Exit(run_router())
    # Replaces the process image, as a supervisor would hold the command line's libraries in memory for good.
    sys.stdout.flush()
    os.execv(sys.executable, python_command("holdgw.cores", str(cores)))
