"""`holdgw run`: one router."""

from __future__ import annotations

import typer

from holdgw.router.__main__ import main as run_router


def run() -> None:
    """Run one router, configured by LB_CONFIG and the variables beside it (deploy/balancer.toml's `run`)."""
    raise typer.Exit(run_router())
